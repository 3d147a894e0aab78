//! The membership: the nodes of the fleet and which of them are reachable.
//!
//! A node is expelled while none of its live observers (see [`crate::rings`]) can reach it. In a
//! partial network partition, one observer that reaches the node is enough to keep it. An observer
//! that fails to reach most of its subjects assumes that it is isolated itself and raises no
//! suspicion.

use std::net::SocketAddr;

use crate::gate::ServiceOffer;
use crate::id::hash;
use crate::prelude::*;
use crate::rings::Rings;
use crate::table::{Table, Versioned};

/// Consecutive failed pings after which an observer raises a suspicion.
const FAILED_PINGS_TO_SUSPECT: u32 = 3;
/// Least number of live subjects with which an observer can conclude that it is isolated.
const MIN_SUBJECTS_FOR_ISOLATION: usize = 3;
/// Time after which an expelled node is removed from the membership.
const EXPELLED_RETENTION: Duration = Duration::from_secs(600);
/// Time for which the tombstone of a removed node keeps its old records from being merged again.
const TOMBSTONE_RETENTION: Duration = Duration::from_secs(3600);

/// The record that a node publishes about itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Id.
    pub node: NodeId,
    /// Incarnation.
    pub incarnation: Incarnation,
    /// Orders the records of the node, also across restarts.
    pub version: Version,
    /// Name.
    pub name: String,
    /// Address for other nodes.
    pub peer_address: SocketAddr,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneName,
    /// Whether the node accepts no new requests.
    pub leaving: bool,
    /// Whether the node cannot reach the store, so that other nodes of its zone watch the store.
    pub detached: bool,
    /// The services that the node's gate offers.
    pub offers: Vec<ServiceOffer>,
}

impl Versioned for Member {
    fn version(&self) -> (Version, u64) {
        (self.version, self.incarnation)
    }
}

/// An observer's report that it cannot reach a node, or that it can again.
#[derive(Clone, Debug, PartialEq)]
pub struct Suspicion {
    /// The node that reports.
    pub observer: NodeId,
    /// The node that is reported on.
    pub subject: NodeId,
    /// The subject's incarnation.
    pub incarnation: Incarnation,
    /// Orders the reports of the observer on the subject.
    pub version: Version,
    /// True when the suspicion is raised, false when it is withdrawn.
    pub raised: bool,
}

impl Versioned for Suspicion {
    fn version(&self) -> (Version, u64) {
        (self.version, self.incarnation)
    }
}

/// Holds the members and the suspicions.
#[derive(Debug)]
pub struct Roster {
    clock: SharedClock,
    local: Member,
    members: Table<NodeId, Member>,
    suspicions: Table<(NodeId, NodeId), Suspicion>,
    rings: Rings,
    expelled: IndexMap<NodeId, Instant>,
    failed_pings: IndexMap<NodeId, u32>,
    tombstones: IndexMap<NodeId, (Version, Instant)>,
    superseded: Vec<NodeId>,
}

impl Roster {
    /// Creates a roster with only the local node. The version of `local` is set here.
    pub fn new(clock: SharedClock, local: Member) -> Self {
        let mut roster = Self {
            clock,
            local,
            members: Table::default(),
            suspicions: Table::default(),
            rings: Rings::default(),
            expelled: IndexMap::new(),
            failed_pings: IndexMap::new(),
            tombstones: IndexMap::new(),
            superseded: Vec::new(),
        };
        roster.update_local(|_| {});
        roster.rebuild_rings();
        roster
    }

    /// Returns the current time.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Returns the record of the local node.
    pub fn local(&self) -> &Member {
        &self.local
    }

    /// Returns the records of all nodes, including the local one.
    pub fn members(&self) -> &Table<NodeId, Member> {
        &self.members
    }

    /// Returns all suspicions, raised and withdrawn.
    pub fn suspicions(&self) -> &Table<(NodeId, NodeId), Suspicion> {
        &self.suspicions
    }

    /// Changes the record of the local node and increases its version.
    pub fn update_local(&mut self, change: impl FnOnce(&mut Member)) {
        change(&mut self.local);
        self.local.version = self.next_version(self.local.version);
        self.members.merge(self.local.node, self.local.clone(), None);
    }

    /// Merges records and suspicions from a peer; returns the nodes whose records or suspicions
    /// changed.
    pub fn merge(
        &mut self,
        members: Vec<Member>,
        suspicions: Vec<Suspicion>,
        source: NodeId,
    ) -> Vec<NodeId> {
        let count = self.members.len();
        let mut changed = Vec::new();
        for member in members {
            let node = member.node;
            if self.merge_member(member, source) {
                changed.push(node);
            }
        }
        for suspicion in suspicions {
            let key = (suspicion.observer, suspicion.subject);
            let is_known = self.members.get(&suspicion.subject).is_some();
            if is_known && self.suspicions.merge(key, suspicion, Some(source)) {
                changed.push(key.1);
            }
        }
        // The rings are rebuilt once per exchange, not once per member: a new node receives the
        // whole fleet in few exchanges.
        if self.members.len() != count {
            self.rebuild_rings();
        } else if !changed.is_empty() {
            self.update_expelled();
        }
        changed
    }

    fn merge_member(&mut self, member: Member, source: NodeId) -> bool {
        if member.node == self.local.node {
            return self.refute(&member);
        }
        let tombstone = self.tombstones.get(&member.node);
        let is_removed = tombstone.is_some_and(|(version, _)| member.version <= *version);
        // Records arrive in any order, and all nodes must converge to the same ones.
        if is_removed || self.is_superseded(&member) {
            return false;
        }
        let (node, peer_address, version) = (member.node, member.peer_address, member.version);
        let is_newer = self.members.merge(node, member, Some(source));
        if is_newer {
            self.supersede(node, peer_address, version);
        }
        is_newer
    }

    /// Returns whether another node with a newer record has the address of `member`.
    fn is_superseded(&self, member: &Member) -> bool {
        let mut others = self.members.iter().map(|(_, other)| other);
        others.any(|other| {
            let is_other = other.node != member.node;
            is_other && other.peer_address == member.peer_address && other.version > member.version
        })
    }

    /// Removes nodes with older records and the same address: their VMs have been replaced.
    fn supersede(&mut self, node: NodeId, peer_address: SocketAddr, version: Version) {
        let others = self.members.iter().filter(|(other, member)| {
            let is_other = **other != node && **other != self.local.node;
            is_other && member.peer_address == peer_address && member.version < version
        });
        let others: Vec<NodeId> = others.map(|(other, _)| *other).collect();
        let now = self.clock.now();
        for other in others {
            self.remove(other, now);
            self.superseded.push(other);
        }
    }

    /// Returns the nodes that were removed since the last call because their VMs have been
    /// replaced.
    pub fn take_superseded(&mut self) -> Vec<NodeId> {
        std::mem::take(&mut self.superseded)
    }

    /// Records that a ping was answered; returns whether a suspicion was withdrawn.
    pub fn ping_succeeded(&mut self, node: NodeId) -> bool {
        self.failed_pings.swap_remove(&node);
        self.set_suspicion(node, false)
    }

    /// Records that a ping was not answered; returns whether a suspicion was raised.
    pub fn ping_failed(&mut self, node: NodeId) -> bool {
        let failed = self.failed_pings.entry(node).or_default();
        *failed = failed.saturating_add(1);
        if *failed < FAILED_PINGS_TO_SUSPECT || self.is_isolated() {
            return false;
        }
        self.set_suspicion(node, true)
    }

    /// Returns the nodes that the local node pings.
    pub fn subjects(&self) -> IndexSet<NodeId> {
        self.rings.subjects(self.local.node, |node| !self.is_expelled(node))
    }

    /// Returns whether a node is expelled: none of its observers can reach it.
    pub fn is_expelled(&self, node: NodeId) -> bool {
        self.expelled.contains_key(&node)
    }

    /// Returns the expelled nodes and when they were expelled.
    pub fn expelled(&self) -> impl Iterator<Item = (NodeId, Instant)> {
        self.expelled.iter().map(|(node, since)| (*node, *since))
    }

    /// Removes nodes that have been expelled for longer than the retention time; returns them.
    pub fn purge_expelled(&mut self) -> Vec<NodeId> {
        let now = self.clock.now();
        self.tombstones.retain(|_, (_, since)| now < *since + TOMBSTONE_RETENTION);
        let old: Vec<NodeId> = self
            .expelled()
            .filter(|(_, since)| now >= *since + EXPELLED_RETENTION)
            .map(|(n, _)| n)
            .collect();
        for node in &old {
            self.remove(*node, now);
        }
        if !old.is_empty() {
            self.rebuild_rings();
        }
        old
    }

    /// Returns whether the local node is among the first `count` live nodes, in an order on which
    /// all nodes agree. Nodes that a partition separates from the others choose among themselves.
    pub fn is_delegate(&self, count: usize) -> bool {
        // Nodes that cannot reach the store come last. If there are no others, they stay delegates
        // and keep trying.
        let rank = |member: &Member| (member.detached, hash(&("delegate", member.node)));
        let mine = rank(&self.local);
        let peers = self.members.iter().map(|(_, member)| member);
        let ahead = peers.filter(|member| {
            !member.leaving && !self.is_expelled(member.node) && rank(member) < mine
        });
        ahead.count() < count
    }

    fn next_version(&self, old: Version) -> Version {
        let time =
            self.clock.system_time().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        // Microseconds since 1970 fit into 64 bits.
        (time.as_micros() as u64).max(old + 1)
    }

    /// Publishes a higher version of the local record if a peer has one of an earlier incarnation
    /// that would override it. Returns whether it did.
    fn refute(&mut self, member: &Member) -> bool {
        let outdated = member.version >= self.local.version && *member != self.local;
        if outdated {
            self.local.version = member.version;
            self.update_local(|_| {});
        }
        outdated
    }

    fn set_suspicion(&mut self, subject: NodeId, raised: bool) -> bool {
        let Some(incarnation) = self.members.get(&subject).map(|member| member.incarnation) else {
            return false;
        };
        let key = (self.local.node, subject);
        let old = self.suspicions.get(&key);
        let was_raised = old.is_some_and(|s| s.raised && s.incarnation == incarnation);
        if was_raised == raised {
            return false;
        }
        let version = self.next_version(old.map_or(0, |suspicion| suspicion.version));
        let suspicion =
            Suspicion { observer: self.local.node, subject, incarnation, version, raised };
        self.suspicions.merge(key, suspicion, None);
        self.update_expelled();
        true
    }

    /// Returns whether pings to most live subjects fail, so that the local node is probably the one
    /// without a connection.
    pub fn is_isolated(&self) -> bool {
        let subjects = self.subjects();
        let live: Vec<&NodeId> = subjects.iter().filter(|node| !self.is_expelled(**node)).collect();
        let failing = live.iter().filter(|node| {
            self.failed_pings.get(**node).is_some_and(|failed| *failed >= FAILED_PINGS_TO_SUSPECT)
        });
        live.len() >= MIN_SUBJECTS_FOR_ISOLATION && failing.count() * 2 > live.len()
    }

    fn rebuild_rings(&mut self) {
        self.rings = Rings::new(self.members.iter().map(|(node, _)| *node));
        self.update_expelled();
    }

    /// Recomputes which nodes are expelled, until nothing changes.
    fn update_expelled(&mut self) {
        let subjects: IndexSet<NodeId> =
            self.suspicions.iter().filter(|(_, s)| s.raised).map(|(key, _)| key.1).collect();
        let now = self.clock.now();
        self.expelled.retain(|node, _| subjects.contains(node));
        // Expelling one node changes the observers of others. Each round reaches the final state of
        // at least one node.
        for _ in 0..=subjects.len() {
            let before = self.expelled.len();
            for subject in &subjects {
                if !self.is_unreachable(*subject) {
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

    /// Returns whether all reliable observers of a node suspect it. Observers that are suspected
    /// themselves do not count, or two dead nodes that observe each other would never be expelled.
    fn is_unreachable(&self, subject: NodeId) -> bool {
        let observers = self.observers(subject);
        let mut voters =
            observers.iter().filter(|observer| !self.is_suspected(**observer)).peekable();
        voters.peek().is_some() && voters.all(|observer| self.suspects(*observer, subject))
    }

    /// Returns whether at least half of a node's observers suspect it.
    fn is_suspected(&self, subject: NodeId) -> bool {
        let observers = self.observers(subject);
        let suspecting = observers.iter().filter(|observer| self.suspects(**observer, subject));
        !observers.is_empty() && suspecting.count() * 2 >= observers.len()
    }

    fn observers(&self, subject: NodeId) -> IndexSet<NodeId> {
        self.rings.observers(subject, |node| node != subject && !self.is_expelled(node))
    }

    /// Returns whether `observer` suspects the current incarnation of `subject`.
    fn suspects(&self, observer: NodeId, subject: NodeId) -> bool {
        let incarnation = self.members.get(&subject).map(|member| member.incarnation);
        let suspicion = self.suspicions.get(&(observer, subject));
        suspicion.is_some_and(|s| s.raised && Some(s.incarnation) == incarnation)
    }

    fn remove(&mut self, node: NodeId, now: Instant) {
        if let Some(member) = self.members.remove(&node) {
            self.tombstones.insert(node, (member.version, now));
        }
        self.expelled.swap_remove(&node);
        self.failed_pings.swap_remove(&node);
        let keys = self.suspicions.iter().map(|(key, _)| *key);
        let about: Vec<(NodeId, NodeId)> = keys.filter(|k| k.0 == node || k.1 == node).collect();
        for key in about {
            self.suspicions.remove(&key);
        }
    }
}
