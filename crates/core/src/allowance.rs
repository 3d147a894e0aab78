//! Fleet-wide allowances: requests of an organisation are limited over all nodes together by
//! tokens that a root lends to lenders, one set per zone, and these to the entries.
//!
//! Every token is debited where it is granted before the grant is sent, and its life counts from
//! when the draw was sent. So lost, late and repeated messages lose tokens and never create any.

pub mod borrower;
pub mod bucket;
mod clocks;
pub mod demand;
pub mod lender;
pub mod message;
pub mod placement;
pub mod reserve;
pub mod root;

use self::borrower::{Borrower, BorrowerStep, Decision, LimitedOrganisation};
use self::clocks::ClockComparison;
use self::lender::{Lender, LenderStep, Source};
use self::message::{Draw, DrawRole, DrawSerial, Grant, ReplyId};
use self::placement::Placement;
use self::root::Root;
pub use crate::organisation::Allowance;
use crate::prelude::*;
use crate::roster::Member;

/// Time for which a node that did not respond to a draw is not asked again.
const SILENCE_TIME: Duration = Duration::from_secs(1);

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
    Lender,
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
    allowances: IndexMap<OrganisationName, Allowance>,
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
            allowances: IndexMap::new(),
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

    /// Compares the clocks. After a suspension of the machine, which the monotonic clock may leave
    /// out, all tokens are discarded: their age is unknown. Returns whether there was one.
    pub fn compare_clocks(&mut self, now: Instant, system_time: SystemTime) -> bool {
        let was_suspended = self.clocks.observe(now, system_time);
        if was_suspended {
            self.borrower.clear();
            self.lender.clear();
            self.sent.values_mut().for_each(|sent| sent.is_void = true);
        }
        was_suspended
    }

    /// Records a node; returns whether the lenders have changed.
    pub fn set_node(&mut self, member: &Member, expelled: bool, now: Instant) -> bool {
        let share = self.placement.share();
        let has_changed = self.placement.set_node(member, expelled);
        self.update_placement(has_changed, share, now)
    }

    /// Removes a node; returns whether the lenders have changed.
    pub fn remove_node(&mut self, node: NodeId, now: Instant) -> bool {
        let share = self.placement.share();
        let has_changed = self.placement.remove_node(node);
        self.update_placement(has_changed, share, now)
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
        if let Some(SentDraw { origin, organisation, node, .. }) = self.sent.swap_remove(&serial) {
            self.counts.failed += 1;
            self.silent.insert(node, now + SILENCE_TIME);
            self.fail(origin, &organisation, false, now);
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns the organisations whose requests this node has refused lately.
    pub fn limited(&self, now: Instant) -> impl Iterator<Item = LimitedOrganisation> {
        self.borrower.limited(now)
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

    fn update_placement(&mut self, has_changed: bool, share: f64, now: Instant) -> bool {
        if has_changed {
            self.lenders_changed_at = now;
        }
        if has_changed || (self.placement.share() - share).abs() > f64::EPSILON {
            self.update_roots(now);
        }
        has_changed
    }

    fn update_roots(&mut self, now: Instant) {
        let share = self.placement.share();
        for (organisation, allowance) in &self.allowances {
            let is_root = self.placement.roots(organisation).first() == Some(&self.own);
            let allowance = is_root.then_some((*allowance, share));
            self.root.update(organisation, allowance, self.lenders_changed_at, now);
        }
    }

    fn receive(&mut self, source: Source, draw: Draw, now: Instant) {
        if draw.role == DrawRole::Lender {
            let organisation = draw.organisation.clone();
            let step = self.lender.draw(source, draw, now);
            self.follow_lender(&organisation, step, now);
            return;
        }
        if let Some(grant) = self.root.grant(&draw, now) {
            self.counts.lent += u64::from(grant.tokens);
            self.answer(source, grant, now);
            return;
        }
        let roots = self.placement.roots(&draw.organisation);
        let others = roots.into_iter().filter(|node| *node != self.own);
        let next = others.take(1).find(|node| !self.is_silent(*node, now));
        match next.filter(|_| draw.role == DrawRole::Root) {
            Some(node) => {
                let origin = Origin::Relay(source, draw.serial);
                let Draw { organisation, wanted, .. } = draw;
                self.send(node, origin, DrawRole::FinalRoot, &organisation, wanted, now);
            }
            None => self.answer(source, Grant { serial: draw.serial, ..Grant::unavailable() }, now),
        }
    }

    fn answer(&mut self, source: Source, grant: Grant, now: Instant) {
        match source {
            Source::Peer(reply) => self.actions.push(AllowanceAction::Reply(reply, grant)),
            Source::Own => self.settle(grant, now),
        }
    }

    /// Passes a grant on to the part of this node that drew it.
    fn settle(&mut self, grant: Grant, now: Instant) {
        let Some(sent) = self.sent.swap_remove(&grant.serial) else { return };
        let SentDraw { origin, organisation, sent_at, is_void, .. } = sent;
        if grant.unavailable || is_void {
            return self.fail(origin, &organisation, true, now);
        }
        let deadline = sent_at + grant.life;
        match origin {
            Origin::Borrower => {
                let step = self.borrower.granted(&organisation, grant, deadline, now);
                self.follow_borrower(&organisation, step, now);
            }
            Origin::Lender => {
                let step = self.lender.granted(&organisation, grant, deadline, now);
                self.follow_lender(&organisation, step, now);
            }
            Origin::Relay(source, serial) => {
                let life = deadline.saturating_duration_since(now);
                self.answer(source, Grant { serial, life, ..grant }, now);
            }
        }
    }

    fn fail(
        &mut self,
        origin: Origin,
        organisation: &OrganisationName,
        has_responded: bool,
        now: Instant,
    ) {
        match origin {
            Origin::Borrower => {
                let limit = (self.allowances.get(organisation).copied(), self.placement.size());
                let step = self.borrower.failed(organisation, has_responded, limit, now);
                self.counts.fallbacks += u64::from(step.wanted.is_none());
                self.follow_borrower(organisation, step, now);
            }
            Origin::Lender => {
                let step = self.lender.granted(organisation, Grant::unavailable(), now, now);
                self.follow_lender(organisation, step, now);
            }
            Origin::Relay(source, serial) => {
                self.answer(source, Grant { serial, ..Grant::unavailable() }, now);
            }
        }
    }

    fn follow_borrower(
        &mut self,
        organisation: &OrganisationName,
        step: BorrowerStep,
        now: Instant,
    ) {
        let decisions = step.decisions.into_iter();
        self.actions.extend(decisions.map(|(r, d)| AllowanceAction::Decide(r, d)));
        let Some(wanted) = step.wanted else { return };
        let lenders = self.placement.lenders(organisation);
        match lenders.into_iter().find(|node| !self.is_silent(*node, now)) {
            Some(node) => {
                self.send(node, Origin::Borrower, DrawRole::Lender, organisation, wanted, now);
            }
            None => self.fail(Origin::Borrower, organisation, true, now),
        }
    }

    fn follow_lender(&mut self, organisation: &OrganisationName, step: LenderStep, now: Instant) {
        if let Some(wanted) = step.wanted {
            // Another node than the root passes the draw on, if it can reach the root.
            let roots = self.placement.roots(organisation);
            let mut candidates = roots.into_iter().enumerate();
            let usable = candidates.find(|(index, node)| {
                !self.is_silent(*node, now) && (*index == 0 || *node != self.own)
            });
            match usable {
                Some((_, node)) => {
                    self.send(node, Origin::Lender, DrawRole::Root, organisation, wanted, now);
                }
                None => self.fail(Origin::Lender, organisation, true, now),
            }
        }
        for (source, grant) in step.grants {
            self.answer(source, grant, now);
        }
    }

    fn send(
        &mut self,
        node: NodeId,
        origin: Origin,
        role: DrawRole,
        organisation: &OrganisationName,
        wanted: u32,
        now: Instant,
    ) {
        let (serial, organisation) = (self.next_serial, organisation.clone());
        self.next_serial += 1;
        let draw = Draw { serial, organisation: organisation.clone(), wanted, role };
        let sent = SentDraw { origin, organisation, node, sent_at: now, is_void: false };
        self.sent.insert(serial, sent);
        if node == self.own {
            self.receive(Source::Own, draw, now);
        } else {
            self.counts.draws += 1;
            self.actions.push(AllowanceAction::Send(node, draw));
        }
    }

    fn is_silent(&self, node: NodeId, now: Instant) -> bool {
        self.silent.get(&node).is_some_and(|end| now < *end)
    }
}
