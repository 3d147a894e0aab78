//! Dispatches requests: first to a free slot, then to a short queue, then to any gate.

use super::hedging::can_hedge;
use super::{ActiveRequest, Entry};
use crate::fleet_level::LevelCounts;
use crate::prelude::*;
use crate::request::{AttemptSpec, EntryAction};
use crate::route::Route;
use crate::selector::GateCriteria;

/// Most gates that one request is sent to; each costs a round trip within the region.
const MAX_GATES: u32 = 6;
/// Gates that are tried for a free slot before a request waits in a queue.
const PROBED_GATES: usize = 3;
/// Probability of a gray failure that a non-idempotent request tolerates at its first gates: a
/// single overdue run on an upstream is reason enough to try another gate.
const NON_IDEMPOTENT_TOLERANCE: [f32; PROBED_GATES] = [0.04, 0.08, 0.16];
/// Probability of a gray failure that an idempotent request tolerates at its first gates.
const IDEMPOTENT_TOLERANCE: [f32; PROBED_GATES] = [0.1, 0.15, 0.2];
/// Probability of a gray failure that a request tolerates in the queue of a gate.
const QUEUE_TOLERANCE: f32 = 0.5;
/// Probability of a gray failure that a non-idempotent request tolerates at its last gate.
const ANY_GATE_TOLERANCE: f32 = 0.8;
/// Searches for a gate after which a request is refused.
const MAX_SEARCHES: u32 = 4;
/// Time from the end of the first search to the next one; it grows with each search. An upstream
/// that may be gray gets a trial request, or has answered one, within a few of these.
const SEARCH_PAUSE: Duration = Duration::from_millis(120);
/// Part of the remaining time that a pause may take.
const MAX_PAUSE_DIVISOR: u32 = 4;
/// Share of its remaining time that a request may wait for a slot.
const QUEUE_TIME_SHARE: f64 = 0.6;

/// Length that is assumed for a body sent in chunks: the default above which a body makes a
/// request long.
const ASSUMED_BODY_BYTES: u64 = 64 * 1024;

/// Stages of the search for a gate, in their order.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum DispatchStage {
    /// A free slot at a gate with a low probability of a gray failure.
    FreeSlot,
    /// A short queue.
    Queue,
    /// Any gate that admits the request, also one that was tried before.
    AnyGate,
}

/// Limits of the attempts of one request.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptLimits {
    /// Most gates that the request is sent to.
    pub(super) gates: u32,
    /// Most upstreams that the request is sent to.
    pub(super) upstreams: u32,
    /// Whether a retry after a gate's refusal takes nothing from the retry budget, since no
    /// upstream has received the request.
    pub(super) free_refusals: bool,
}

impl AttemptLimits {
    /// Returns the limits of a route, or else those of the service's profile.
    pub(super) fn new(route: Option<&Route>, profile: &Profile) -> Self {
        match route.and_then(|route| route.attempts) {
            Some(upstreams) => Self { gates: MAX_GATES, upstreams, free_refusals: true },
            None => {
                let max_attempts = profile.forgiveness.attempts;
                Self { gates: max_attempts, upstreams: max_attempts, free_refusals: false }
            }
        }
    }
}

impl Entry {
    pub(super) fn dispatch(
        &mut self,
        mut active: ActiveRequest,
        retry_reason: Option<Reason>,
    ) -> Vec<EntryAction> {
        let now = self.clock.now();
        if now >= active.deadline {
            return self.give_up(active, Reason::DeadlinePast);
        }
        if active.tried.len() + 1 >= active.limits.gates as usize {
            active.stage = DispatchStage::AnyGate;
        } else if active.tried.len() >= PROBED_GATES {
            active.stage = active.stage.max(DispatchStage::Queue);
        }
        if active.tried.len() == PROBED_GATES {
            self.selector.grow_subset(&active.service, now);
        }
        let degraded = self.is_degraded(&active.service, now);
        let gate = loop {
            let criteria = GateCriteria {
                profile: &active.profile,
                idempotent: active.idempotent,
                degraded,
                avoid_gray: active.kind.is_some(),
                may_queue: active.stage != DispatchStage::FreeSlot,
                body_bytes: self.expected_bytes(&active),
                excluded: match active.stage {
                    DispatchStage::FreeSlot => &active.tried,
                    DispatchStage::Queue => &active.queued,
                    DispatchStage::AnyGate => &[],
                },
            };
            let gate = self.selector.pick(&active.service, &criteria, now, &mut self.rng);
            // All gates of a small service may have been tried.
            active.stage = match active.stage {
                DispatchStage::FreeSlot if gate.is_none() && active.kind.is_some() => {
                    DispatchStage::Queue
                }
                DispatchStage::Queue if gate.is_none() && !active.queued.is_empty() => {
                    DispatchStage::AnyGate
                }
                _ => break gate,
            };
        };
        let Some(gate) = gate else {
            return self.pause_or_refuse(active, retry_reason.unwrap_or(Reason::NoGate), now);
        };
        let attempt = self.new_attempt();
        self.selector.record_dispatch(&active.service, gate);
        active.attempts.start(attempt, gate);
        active.tried.push(gate);
        if active.stage != DispatchStage::FreeSlot {
            active.queued.push(gate);
        }
        let spec = self.attempt_spec(&active, now);
        let hedge_delay = self.hedge_delay(&mut active, now);
        let replaces_stuck = active.hedge.replaces_stuck;
        let (request, ticket) = (active.arrival.request, active.ticket);
        self.active_requests.insert(request, active);
        let incarnation = self.incarnations.get(&gate).copied().unwrap_or_default();
        vec![EntryAction::Dispatch {
            request,
            attempt,
            ticket,
            gate,
            incarnation,
            spec,
            retry_reason,
            hedge_delay,
            replaces_stuck,
        }]
    }

    /// Returns the length of the request's body, and of a large response, in bytes.
    fn expected_bytes(&self, active: &ActiveRequest) -> u64 {
        let response = active.kind.filter(|_| active.large_response);
        let response = response.map_or(0, |kind| self.response_sizes.expected_bytes(kind));
        active.arrival.body_length.unwrap_or(ASSUMED_BODY_BYTES).saturating_add(response)
    }

    /// Returns the parameters of the next attempt of a request.
    pub(super) fn attempt_spec(&mut self, active: &ActiveRequest, now: Instant) -> AttemptSpec {
        let retryable = active.idempotent
            && active.attempts.received() + 1 < active.limits.upstreams
            && self.budget(&active.service).has_token(now);
        AttemptSpec {
            retryable,
            degraded: self.is_strained(&active.service, now),
            level: self.level_counts(&active.service, now),
            service: active.service.clone(),
            long: active.long,
            idempotent: active.idempotent,
            queue_timeout: queue_time(active, now),
            remaining: active.deadline - now,
            median_latency: self.selector.median_latency(&active.service),
            rank: active.rank,
            target_latency: active.target_latency,
            kind: active.kind,
            gray_tolerance: gray_tolerance(active),
            organisation: active.arrival.organisation.clone(),
            organisation_rank: active.organisation_rank,
            organisation_known: active
                .arrival
                .organisation
                .as_ref()
                .is_some_and(|name| self.directory.get(name).is_some()),
            hides_key: self.directory.needs_keys(),
        }
    }

    /// Returns the id of a new attempt.
    pub(super) fn new_attempt(&mut self) -> AttemptId {
        let serial = self.next_attempt;
        self.next_attempt += 1;
        AttemptId { node: self.identity.node, incarnation: self.identity.incarnation, serial }
    }

    /// Returns whether a service leaves requests unserved, by this entry's own requests or by those
    /// of others.
    pub(super) fn is_degraded(&self, service: &ServiceName, now: Instant) -> bool {
        self.service_levels.get(service).is_some_and(|level| level.is_degraded(now))
            || self.fleet_levels.get(service).is_some_and(|level| level.is_median_degraded(now))
    }

    /// Returns whether so many requests are unserved that a gate is to take a due trial request.
    fn is_strained(&self, service: &ServiceName, now: Instant) -> bool {
        let fleet_level = self.fleet_levels.get(service);
        fleet_level.is_some_and(|level| level.is_median_strained(now))
            || self.is_degraded(service, now)
    }

    fn level_counts(&self, service: &ServiceName, now: Instant) -> LevelCounts {
        let level = self.service_levels.get(service);
        level.map(|level| level.counts(now)).unwrap_or_default()
    }

    pub(super) fn may_retry(
        &mut self,
        active: &ActiveRequest,
        now: Instant,
        uses_budget: bool,
    ) -> bool {
        let gates = u32::try_from(active.tried.len()).unwrap_or(u32::MAX);
        !active.is_body_sent()
            && !active.streaming
            && gates < active.limits.gates
            && active.attempts.received() < active.limits.upstreams
            && now < active.deadline
            && (!uses_budget || self.budget(&active.service).withdraw(now))
    }

    /// Retries or refuses a request whose attempt provably did not run.
    pub(super) fn retry_refused(
        &mut self,
        active: ActiveRequest,
        reason: Reason,
        now: Instant,
    ) -> Vec<EntryAction> {
        // A gate that is gone or keeps to the rate of its upstream is no sign of overload, so such
        // retries cannot cause a retry storm.
        let is_harmless = matches!(
            reason,
            Reason::Leaving | Reason::NoUpstream | Reason::RateLimited | Reason::Unreachable
        );
        let seen_by_upstream = matches!(reason, Reason::Shed);
        let is_free = is_harmless || (active.limits.free_refusals && !seen_by_upstream);
        if self.may_retry(&active, now, !is_free) {
            self.dispatch(active, Some(reason))
        } else {
            self.pause_or_refuse(active, reason, now)
        }
    }

    /// Ends a search that found no gate: pauses it if a gate refused only because its upstreams may
    /// be gray, as gray failures end, and refuses the request otherwise. Full gates stay full for
    /// longer than a pause.
    fn pause_or_refuse(
        &mut self,
        mut active: ActiveRequest,
        reason: Reason,
        now: Instant,
    ) -> Vec<EntryAction> {
        active.searches += 1;
        let time = SEARCH_PAUSE * active.searches;
        let left = active.deadline.saturating_duration_since(now);
        let is_untouched = !active.streaming && active.attempts.received() == 0;
        if !active.limits.free_refusals
            || !active.refused_as_gray
            || !is_untouched
            || active.searches >= MAX_SEARCHES
            || left < time * MAX_PAUSE_DIVISOR
        {
            return self.give_up(active, reason);
        }
        let request = active.arrival.request;
        active.attempts.select(None);
        active.tried.clear();
        active.queued.clear();
        active.stage = DispatchStage::FreeSlot;
        active.refused_as_gray = false;
        self.active_requests.insert(request, active);
        vec![EntryAction::Pause { request, time }]
    }

    /// Retries or ends a request whose attempt may have run.
    pub(super) fn retry_lost(
        &mut self,
        active: ActiveRequest,
        reason: Reason,
        now: Instant,
    ) -> Vec<EntryAction> {
        if active.idempotent && self.may_retry(&active, now, true) {
            self.dispatch(active, Some(reason))
        } else {
            self.give_up(active, reason)
        }
    }

    /// Handles an attempt whose gate has sent nothing yet and may be at work: sends another one if
    /// that is allowed, and otherwise waits for this one.
    pub(super) fn retry_silent(
        &mut self,
        mut active: ActiveRequest,
        now: Instant,
    ) -> Vec<EntryAction> {
        if active.hedge.has_copy() {
            self.active_requests.insert(active.arrival.request, active);
            return Vec::new();
        }
        // The next attempt is the second one that a request may have.
        active.hedge.is_used |= can_hedge(&active);
        if active.idempotent && self.may_retry(&active, now, true) {
            return self.dispatch(active, Some(Reason::Lost));
        }
        self.await_attempts(active)
    }
}

/// Returns the highest probability of a gray failure that a request tolerates: less while there are
/// other gates to try.
fn gray_tolerance(active: &ActiveRequest) -> f32 {
    let first = if active.idempotent { IDEMPOTENT_TOLERANCE } else { NON_IDEMPOTENT_TOLERANCE };
    match (active.kind, active.stage) {
        (None, _) => 1.0,
        (_, DispatchStage::FreeSlot) => first[active.tried.len().clamp(1, PROBED_GATES) - 1],
        (_, DispatchStage::Queue) => QUEUE_TOLERANCE,
        (_, DispatchStage::AnyGate) if active.idempotent => 1.0,
        (_, DispatchStage::AnyGate) => ANY_GATE_TOLERANCE,
    }
}

/// Returns the highest probability of a gray failure that a second copy tolerates. It is sent to
/// one gate only, so it tolerates what a first attempt does at its last free slot.
pub(super) fn hedge_tolerance(active: &ActiveRequest) -> f32 {
    if active.kind.is_some() { IDEMPOTENT_TOLERANCE[PROBED_GATES - 1] } else { 1.0 }
}

/// Returns how long a request may wait in a gate's queue. A request that looks for a free slot does
/// not wait.
fn queue_time(active: &ActiveRequest, now: Instant) -> Duration {
    if !active.limits.free_refusals {
        return active.profile.patience.queue;
    }
    if active.stage != DispatchStage::Queue {
        return Duration::ZERO;
    }
    (active.deadline - now).mul_f64(QUEUE_TIME_SHARE)
}
