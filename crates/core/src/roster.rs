//! The membership: which nodes there are and which of them can be reached.
//!
//! A node is expelled while none of its live observers (see [`crate::rings`]) can reach it. Behind a
//! cut that leaves one observer able to reach it, it stays. An observer that fails to reach most of
//! its subjects suspects itself and raises no doubt.

use std::net::SocketAddr;

use crate::gate::ServiceOffer;
use crate::id::hash;
use crate::prelude::*;
use crate::rings::Rings;
use crate::table::{Table, Versioned};

/// Failed pings after which an observer raises a doubt.
const PINGS_TO_DOUBT: u32 = 3;
/// Subjects from which on an observer can suspect itself.
const MIN_SUBJECTS: usize = 3;
/// Time after which an expelled node is forgotten.
const BURY_AFTER: Duration = Duration::from_secs(600);
/// Time for which old records of a forgotten node are not taken in again.
const KEEP_BURIED: Duration = Duration::from_secs(3600);

/// What a node tells the others about itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Id.
    pub node: NodeId,
    /// The run of its process.
    pub incarnation: Incarnation,
    /// Orders its records, across restarts too.
    pub version: Version,
    /// Name.
    pub name: String,
    /// Address for other nodes.
    pub peer: SocketAddr,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Availability zone.
    pub zone: ZoneName,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Whether it fails to reach the store, so that others watch for its zone.
    pub detached: bool,
    /// What its gate offers.
    pub offers: Vec<ServiceOffer>,
}

impl Versioned for Member {
    fn version(&self) -> (Version, u64) {
        (self.version, self.incarnation)
    }
}

/// An observer's report that it cannot reach a node, or that it can again.
#[derive(Clone, Debug, PartialEq)]
pub struct Doubt {
    /// Who reports.
    pub observer: NodeId,
    /// Who cannot be reached.
    pub subject: NodeId,
    /// The run of the subject's process.
    pub incarnation: Incarnation,
    /// Orders the reports.
    pub version: Version,
    /// Whether the doubt stands.
    pub raised: bool,
}

impl Versioned for Doubt {
    fn version(&self) -> (Version, u64) {
        (self.version, self.incarnation)
    }
}

/// Keeps the members and the doubts.
#[derive(Debug)]
pub struct Roster {
    clock: SharedClock,
    me: Member,
    members: Table<NodeId, Member>,
    doubts: Table<(NodeId, NodeId), Doubt>,
    rings: Rings,
    expelled: IndexMap<NodeId, Instant>,
    failures: IndexMap<NodeId, u32>,
    buried: IndexMap<NodeId, (Version, Instant)>,
    superseded: Vec<NodeId>,
}

impl Roster {
    /// Creates a roster of this node alone. The version of `me` is set here.
    pub fn new(clock: SharedClock, me: Member) -> Self {
        let mut roster = Self {
            clock,
            me,
            members: Table::default(),
            doubts: Table::default(),
            rings: Rings::default(),
            expelled: IndexMap::new(),
            failures: IndexMap::new(),
            buried: IndexMap::new(),
            superseded: Vec::new(),
        };
        roster.renew(|_| {});
        roster.arrange();
        roster
    }

    /// Returns this node's own record.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Returns the records of all nodes, this one's too.
    pub fn members(&self) -> &Table<NodeId, Member> {
        &self.members
    }

    /// Returns all doubts.
    pub fn all_doubts(&self) -> &Table<(NodeId, NodeId), Doubt> {
        &self.doubts
    }

    /// Changes this node's own record.
    pub fn renew(&mut self, change: impl FnOnce(&mut Member)) {
        change(&mut self.me);
        self.me.version = self.next_version(self.me.version);
        self.members.merge(self.me.node, self.me.clone(), None);
    }

    /// Takes in records and doubts from a peer; returns the nodes of which there was news.
    pub fn take(
        &mut self,
        members: Vec<Member>,
        doubts: Vec<Doubt>,
        source: NodeId,
    ) -> Vec<NodeId> {
        let count = self.members.len();
        let mut news = Vec::new();
        for member in members {
            let node = member.node;
            if self.merge(member, source) {
                news.push(node);
            }
        }
        for doubt in doubts {
            let key = (doubt.observer, doubt.subject);
            let is_known = self.members.get(&doubt.subject).is_some();
            if is_known && self.doubts.merge(key, doubt, Some(source)) {
                news.push(key.1);
            }
        }
        // The rings are made anew once per exchange: a new node learns of the whole fleet in few.
        if self.members.len() != count {
            self.arrange();
        } else if !news.is_empty() {
            self.review();
        }
        news
    }

    fn merge(&mut self, member: Member, source: NodeId) -> bool {
        if member.node == self.me.node {
            return self.answer_for_self(&member);
        }
        let buried = self.buried.get(&member.node);
        let is_buried = buried.is_some_and(|(version, _)| member.version <= *version);
        // Records come in any order. All nodes must come to hold the same ones.
        if is_buried || self.is_superseded(&member) {
            return false;
        }
        let (node, peer, version) = (member.node, member.peer, member.version);
        let is_news = self.members.merge(node, member, Some(source));
        if is_news {
            self.supersede(node, peer, version);
        }
        is_news
    }

    /// Tells whether a newer node has the address of another one.
    fn is_superseded(&self, member: &Member) -> bool {
        let mut others = self.members.iter().map(|(_, other)| other);
        others.any(|other| {
            let is_other = other.node != member.node;
            is_other && other.peer == member.peer && other.version > member.version
        })
    }

    /// Forgets other nodes that had the address of a newer one: their VMs have been replaced.
    fn supersede(&mut self, node: NodeId, peer: SocketAddr, version: Version) {
        let others = self.members.iter().filter(|(other, member)| {
            let is_other = **other != node && **other != self.me.node;
            is_other && member.peer == peer && member.version < version
        });
        let others: Vec<NodeId> = others.map(|(other, _)| *other).collect();
        let now = self.clock.now();
        for other in others {
            self.forget(other, now);
            self.superseded.push(other);
        }
    }

    /// Returns the nodes that were forgotten since the last call because their VMs have been
    /// replaced.
    pub fn take_superseded(&mut self) -> Vec<NodeId> {
        std::mem::take(&mut self.superseded)
    }

    /// Notes that a ping was answered; returns whether a doubt was withdrawn.
    pub fn reached(&mut self, node: NodeId) -> bool {
        self.failures.swap_remove(&node);
        self.set_doubt(node, false)
    }

    /// Notes that a ping was not answered; returns whether a doubt was raised.
    pub fn missed(&mut self, node: NodeId) -> bool {
        let failures = self.failures.entry(node).or_default();
        *failures = failures.saturating_add(1);
        if *failures < PINGS_TO_DOUBT || self.suspects_self() {
            return false;
        }
        self.set_doubt(node, true)
    }

    /// Returns the nodes that this node pings.
    pub fn subjects(&self) -> IndexSet<NodeId> {
        self.rings.subjects(self.me.node, |node| !self.is_expelled(node))
    }

    /// Tells whether no observer can reach a node.
    pub fn is_expelled(&self, node: NodeId) -> bool {
        self.expelled.contains_key(&node)
    }

    /// Returns the expelled nodes and since when they are.
    pub fn expelled(&self) -> impl Iterator<Item = (NodeId, Instant)> {
        self.expelled.iter().map(|(node, since)| (*node, *since))
    }

    /// Forgets nodes that have been expelled for long; returns them.
    pub fn bury(&mut self) -> Vec<NodeId> {
        let now = self.clock.now();
        self.buried.retain(|_, (_, since)| now < *since + KEEP_BURIED);
        let old: Vec<NodeId> = self
            .expelled()
            .filter(|(_, since)| now >= *since + BURY_AFTER)
            .map(|(n, _)| n)
            .collect();
        for node in &old {
            self.forget(*node, now);
        }
        if !old.is_empty() {
            self.arrange();
        }
        old
    }

    /// Tells whether this node is among the first `count` live ones of its zone, in an order that
    /// all nodes agree on.
    pub fn is_delegate(&self, count: usize) -> bool {
        // Nodes without a way to the store come last, but when there are no others they go on trying.
        let rank = |member: &Member| (member.detached, hash(&("delegate", member.node)));
        let mine = rank(&self.me);
        let peers = self.members.iter().map(|(_, member)| member);
        let ahead = peers.filter(|member| {
            member.zone == self.me.zone
                && !member.leaving
                && !self.is_expelled(member.node)
                && rank(member) < mine
        });
        ahead.count() < count
    }

    fn next_version(&self, old: Version) -> Version {
        let wall = self.clock.wall().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        // Microseconds since 1970 fit into 64 bits.
        (wall.as_micros() as u64).max(old + 1)
    }

    /// Overrules a record of an earlier run of this node that has a higher version.
    fn answer_for_self(&mut self, member: &Member) -> bool {
        let outdated = member.version >= self.me.version && *member != self.me;
        if outdated {
            self.me.version = member.version;
            self.renew(|_| {});
        }
        outdated
    }

    fn set_doubt(&mut self, subject: NodeId, raised: bool) -> bool {
        let Some(incarnation) = self.members.get(&subject).map(|member| member.incarnation) else {
            return false;
        };
        let key = (self.me.node, subject);
        let old = self.doubts.get(&key);
        let stands = old.is_some_and(|d| d.raised && d.incarnation == incarnation);
        if stands == raised {
            return false;
        }
        let version = self.next_version(old.map_or(0, |doubt| doubt.version));
        let doubt = Doubt { observer: self.me.node, subject, incarnation, version, raised };
        self.doubts.merge(key, doubt, None);
        self.review();
        true
    }

    fn suspects_self(&self) -> bool {
        let subjects = self.subjects();
        let live: Vec<&NodeId> = subjects.iter().filter(|node| !self.is_expelled(**node)).collect();
        let failing = live.iter().filter(|node| {
            self.failures.get(**node).is_some_and(|failures| *failures >= PINGS_TO_DOUBT)
        });
        live.len() >= MIN_SUBJECTS && failing.count() * 2 > live.len()
    }

    fn arrange(&mut self) {
        self.rings = Rings::new(self.members.iter().map(|(node, _)| *node));
        self.review();
    }

    /// Recomputes which nodes are expelled, until nothing changes.
    fn review(&mut self) {
        let subjects: IndexSet<NodeId> =
            self.doubts.iter().filter(|(_, doubt)| doubt.raised).map(|(key, _)| key.1).collect();
        let now = self.clock.now();
        self.expelled.retain(|node, _| subjects.contains(node));
        // Expelling one node changes the observers of others; each round settles at least one.
        for _ in 0..=subjects.len() {
            let before = self.expelled.len();
            for subject in &subjects {
                if !self.is_doubted(*subject) {
                    self.expelled.swap_remove(subject);
                } else if !self.is_expelled(*subject) {
                    self.expelled.insert(*subject, now);
                }
            }
            if self.expelled.len() == before {
                break;
            }
        }
    }

    /// Tells whether nobody who looks can reach a node. Observers that are suspect themselves do
    /// not count, or two dead nodes that observe each other would never be expelled.
    fn is_doubted(&self, subject: NodeId) -> bool {
        let observers = self.observers(subject);
        let mut voters =
            observers.iter().filter(|observer| !self.is_suspect(**observer)).peekable();
        voters.peek().is_some() && voters.all(|observer| self.doubts(*observer, subject))
    }

    /// Tells whether at least half of a node's observers cannot reach it.
    fn is_suspect(&self, subject: NodeId) -> bool {
        let observers = self.observers(subject);
        let doubting = observers.iter().filter(|observer| self.doubts(**observer, subject));
        !observers.is_empty() && doubting.count() * 2 >= observers.len()
    }

    fn observers(&self, subject: NodeId) -> IndexSet<NodeId> {
        self.rings.observers(subject, |node| node != subject && !self.is_expelled(node))
    }

    fn doubts(&self, observer: NodeId, subject: NodeId) -> bool {
        let incarnation = self.members.get(&subject).map(|member| member.incarnation);
        let doubt = self.doubts.get(&(observer, subject));
        doubt.is_some_and(|d| d.raised && Some(d.incarnation) == incarnation)
    }

    fn forget(&mut self, node: NodeId, now: Instant) {
        if let Some(member) = self.members.remove(&node) {
            self.buried.insert(node, (member.version, now));
        }
        self.expelled.swap_remove(&node);
        self.failures.swap_remove(&node);
        let keys = self.doubts.iter().map(|(key, _)| *key);
        let about: Vec<(NodeId, NodeId)> = keys.filter(|k| k.0 == node || k.1 == node).collect();
        for key in about {
            self.doubts.remove(&key);
        }
    }
}
