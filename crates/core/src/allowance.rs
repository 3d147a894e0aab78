//! Fleet-wide allowances: requests of an organisation are limited over all nodes together by
//! tokens that a root lends to lenders, one set per zone, and these to the entries.
//!
//! Every token is debited where it is granted before the grant is sent, and its life counts from
//! when the draw was sent. So lost, late and repeated messages lose tokens and never create any.

pub mod borrower;
pub mod bucket;
pub mod clocks;
pub mod demand;
pub mod fallback;
pub mod lender;
pub mod message;
pub mod placement;
pub mod reserve;
pub mod root;
mod routing;

use self::borrower::{Borrower, Decision, LimitedOrganisation};
use self::clocks::{ClockComparison, ClockGap};
use self::lender::{Lender, Source};
use self::message::{Draw, DrawSerial, Grant, ReplyId};
use self::placement::Placement;
use self::root::Root;
pub use crate::organisation::Allowance;
use crate::prelude::*;
use crate::roster::Member;

/// Time for which a node that did not respond to a draw is not asked again.
const SILENCE_TIME: Duration = Duration::from_secs(1);

/// Nodes that a lender asks for the tokens of a root.
const MAX_ROOTS: u32 = 2;

/// An action for the owner of [`Allowances`] to execute.
#[derive(Clone, Debug, PartialEq)]
pub enum AllowanceAction {
    /// Send a draw to a node, and report its grant or that there is none in time.
    Send(NodeId, Draw),
    /// Answer the draw of another node.
    Reply(ReplyId, Grant),
    /// A request may run, or not.
    Decide(RequestId, Decision),
}

/// Numbers of events since they were last read.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AllowanceCounts {
    /// Draws sent to other nodes.
    pub draws: u64,
    /// Grants received from other nodes.
    pub grants: u64,
    /// Draws that no node answered in time.
    pub failed: u64,
    /// Tokens granted by buckets of this node.
    pub lent: u64,
    /// Tokens that expired unused at this node.
    pub expired: u64,
    /// Times that draws had to be replaced by the fallback.
    pub fallbacks: u64,
}

#[derive(Clone, Copy, Debug)]
enum Origin {
    Borrower,
    // With the number of nodes that were asked before, and the tokens to draw now and ahead.
    Lender { tried: u32, wanted: (u32, u32) },
    Relay(Source, DrawSerial),
}

#[derive(Debug)]
struct SentDraw {
    origin: Origin,
    organisation: OrganisationName,
    node: NodeId,
    sent_at: Instant,
    // Whether the machine was suspended since, so that the age of the grant is unknown.
    is_void: bool,
}

/// One node's part in the allowances of all organisations: borrower, lender and root.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use lavenderflow_core::allowance::borrower::Decision;
/// use lavenderflow_core::allowance::{Allowance, AllowanceAction, Allowances};
///
/// let start = Instant::now();
/// let mut allowances = Allowances::new(1, "zone-a".into(), start);
/// allowances.set_allowances([("one".into(), Allowance { rate: 10.0, burst: 5.0 })], start);
/// // A node that is alone is its own lender and root: it sends no messages.
/// let later = start + Duration::from_secs(10);
/// let actions = allowances.request(7, &"one".into(), later);
/// assert_eq!(actions, [AllowanceAction::Decide(7, Decision::Allowed)]);
/// ```
#[derive(Debug)]
pub struct Allowances {
    own: NodeId,
    next_serial: DrawSerial,
    placement: Placement,
    lenders_changed_at: Instant,
    // Share of the allowances that this node grants as a root. It is lowered at once and raised
    // when the roots on the other side of a former partition have stopped.
    share: f64,
    raised_at: Instant,
    is_isolated: bool,
    // The present and the former root of each organisation.
    roots: IndexMap<OrganisationName, (Option<NodeId>, Option<NodeId>)>,
    allowances: IndexMap<OrganisationName, Allowance>,
    slack: f64,
    root: Root,
    lender: Lender,
    borrower: Borrower,
    sent: IndexMap<DrawSerial, SentDraw>,
    silent: IndexMap<NodeId, Instant>,
    clocks: ClockComparison,
    counts: AllowanceCounts,
    actions: Vec<AllowanceAction>,
}

impl Allowances {
    /// Creates the state of a node that knows no other node and no allowance.
    pub fn new(own: NodeId, zone: ZoneName, now: Instant) -> Self {
        Self {
            own,
            next_serial: 1,
            placement: Placement::new(own, zone),
            lenders_changed_at: now,
            share: 1.0,
            raised_at: now,
            is_isolated: false,
            roots: IndexMap::new(),
            allowances: IndexMap::new(),
            slack: 0.0,
            root: Root::default(),
            lender: Lender::default(),
            borrower: Borrower::default(),
            sent: IndexMap::new(),
            silent: IndexMap::new(),
            clocks: ClockComparison::default(),
            counts: AllowanceCounts::default(),
            actions: Vec::new(),
        }
    }

    /// Sets how many requests beyond its burst an organisation may save up. Tokens that are lent to
    /// one node cannot be used at another one, which refuses a small organisation's requests
    /// although it is below its allowance.
    #[must_use]
    pub fn with_slack(mut self, requests: f64) -> Self {
        self.slack = requests;
        self
    }

    /// Compares the clocks; to be called before each event, and at least every second while there
    /// are allowances. After a suspension, tokens are discarded, as the monotonic clock may not
    /// show their age. After an absence, buckets start again, as another node may have become the
    /// root.
    pub fn compare_clocks(&mut self, now: Instant, system_time: SystemTime) -> ClockGap {
        let gap = self.clocks.observe(now, system_time);
        if gap != ClockGap::None {
            self.borrower.clear();
            self.lender.clear();
            self.sent.values_mut().for_each(|sent| sent.is_void = true);
        }
        if gap == ClockGap::Absent {
            self.root.restart(now);
        }
        gap
    }

    /// Records a node; returns whether the lenders have changed.
    pub fn set_node(&mut self, member: &Member, expelled: bool, now: Instant) -> bool {
        let has_changed = self.placement.set_node(member, expelled);
        self.update_placement(has_changed, now)
    }

    /// Removes a node; returns whether the lenders have changed.
    pub fn remove_node(&mut self, node: NodeId, now: Instant) -> bool {
        let has_changed = self.placement.remove_node(node);
        self.update_placement(has_changed, now)
    }

    /// Sets whether this node is probably cut off from most others. It then grants nothing as a
    /// root, since the others elect another one.
    pub fn set_isolated(&mut self, is_isolated: bool, now: Instant) {
        self.is_isolated = is_isolated;
        self.update_placement(false, now);
    }

    /// Replaces the allowances of all organisations. Returns decisions on requests that waited for
    /// tokens of an organisation without a limit.
    pub fn set_allowances(
        &mut self,
        allowances: impl IntoIterator<Item = (OrganisationName, Allowance)>,
        now: Instant,
    ) -> Vec<AllowanceAction> {
        let old = std::mem::replace(&mut self.allowances, allowances.into_iter().collect());
        for organisation in old.keys().filter(|name| !self.allowances.contains_key(*name)) {
            self.roots.swap_remove(organisation);
            self.root.remove(organisation);
            self.lender.remove(organisation);
            let freed = self.borrower.remove(organisation);
            self.actions.extend(freed.into_iter().map(|(r, d)| AllowanceAction::Decide(r, d)));
        }
        self.update_roots(now);
        std::mem::take(&mut self.actions)
    }

    /// Sets or removes the allowance of one organisation.
    pub fn set_allowance(
        &mut self,
        organisation: &OrganisationName,
        allowance: Option<Allowance>,
        now: Instant,
    ) -> Vec<AllowanceAction> {
        let mut allowances = self.allowances.clone();
        match allowance {
            Some(allowance) => drop(allowances.insert(organisation.clone(), allowance)),
            None => drop(allowances.swap_remove(organisation)),
        }
        self.set_allowances(allowances, now)
    }

    /// Decides on a request of this node's entry, at once or after a draw.
    pub fn request(
        &mut self,
        request: RequestId,
        organisation: &OrganisationName,
        now: Instant,
    ) -> Vec<AllowanceAction> {
        if !self.allowances.contains_key(organisation) {
            return vec![AllowanceAction::Decide(request, Decision::Allowed)];
        }
        let step = self.borrower.request(organisation, request, now);
        self.follow_borrower(organisation, step, now);
        std::mem::take(&mut self.actions)
    }

    /// Handles the draw of another node.
    pub fn draw(&mut self, reply: ReplyId, draw: Draw, now: Instant) -> Vec<AllowanceAction> {
        self.receive(Source::Peer(reply), draw, now);
        std::mem::take(&mut self.actions)
    }

    /// Handles the grant of another node. A grant that is not awaited is ignored.
    pub fn granted(&mut self, grant: Grant, now: Instant) -> Vec<AllowanceAction> {
        if self.sent.contains_key(&grant.serial) {
            self.counts.grants += 1;
            self.settle(grant, now);
        }
        std::mem::take(&mut self.actions)
    }

    /// Handles that there is no grant for a draw in time.
    pub fn failed(&mut self, serial: DrawSerial, now: Instant) -> Vec<AllowanceAction> {
        let Some(sent) = self.sent.swap_remove(&serial) else { return Vec::new() };
        self.counts.failed += 1;
        self.silent.insert(sent.node, now + SILENCE_TIME);
        match sent.origin {
            Origin::Lender { tried, wanted } if tried + 1 < MAX_ROOTS => {
                self.draw_from_root(&sent.organisation, wanted, tried + 1, now);
            }
            origin => self.fail(origin, &sent.organisation, false, now),
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns the organisations whose requests this node has refused lately.
    pub fn limited(&self, now: Instant) -> impl Iterator<Item = LimitedOrganisation> {
        self.borrower.limited(now)
    }

    /// Returns whether any organisation has an allowance.
    pub fn has_limits(&self) -> bool {
        !self.allowances.is_empty()
    }

    /// Returns the lenders that this node asks, and the number of organisations whose root it is.
    pub fn roles(&self) -> (Vec<NodeId>, usize) {
        (self.placement.lenders(""), self.root.organisations().count())
    }

    /// Returns the numbers of events since the last call.
    pub fn take_counts(&mut self) -> AllowanceCounts {
        self.borrower.reset_refusals();
        let expired = self.borrower.take_expired() + self.lender.take_expired();
        AllowanceCounts { expired, ..std::mem::take(&mut self.counts) }
    }
}
