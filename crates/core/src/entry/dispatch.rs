//! Where a request goes next: a free slot first, then a short queue, then anything that takes it.

use super::{Entry, Flight};
use crate::choice::Wish;
use crate::prelude::*;
use crate::request::{EntryAction, Plan};
use crate::route::Route;

/// Most gates that one request asks for a slot; each costs a round trip within the region.
const MAX_GATES: u32 = 6;
/// Gates that are asked for a free slot before a request waits in a queue.
const PROBED_GATES: usize = 3;
/// Probability of a gray spell that work which may not be repeated accepts at the gates that it
/// asks first: one overdue run is reason enough to look for a better one.
const TOLERANCE: [f32; PROBED_GATES] = [0.04, 0.08, 0.16];
/// The same for work that may be repeated.
const REPEATED_TOLERANCE: [f32; PROBED_GATES] = [0.1, 0.15, 0.2];
/// Probability of a gray spell that a request accepts in the queues of gates.
const LATER_TOLERANCE: f32 = 0.5;
/// Probability of a gray spell that a request accepts at its last gate.
const LAST_TOLERANCE: f32 = 0.8;
/// Part of its remaining time that a request may wait for a slot.
const QUEUE_SHARE: f64 = 0.6;

/// Length that a body sent in chunks is assumed to have, in bytes: that from which work counts as
/// long by default.
const UNKNOWN_BODY: u64 = 64 * 1024;

/// What a request looks for.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Search {
    /// A free slot at a gate that is hardly doubted.
    FreeSlot,
    /// A short queue.
    Queue,
    /// Any gate that takes it, also one that was asked before.
    Anything,
}

/// How often a request may be tried.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptLimits {
    /// Most gates that are asked.
    pub(super) gates: u32,
    /// Most upstreams that the request is sent to.
    pub(super) upstreams: u32,
    /// Whether a gate's refusal costs nothing of the budget, since no upstream has seen it.
    pub(super) free_refusals: bool,
}

impl AttemptLimits {
    /// Returns the limits of a route, or those of its service's profile.
    pub(super) fn new(route: Option<&Route>, profile: &Profile) -> Self {
        match route.and_then(|route| route.attempts) {
            Some(upstreams) => Self { gates: MAX_GATES, upstreams, free_refusals: true },
            None => {
                let most = profile.forgiveness.attempts;
                Self { gates: most, upstreams: most, free_refusals: false }
            }
        }
    }
}

impl Entry {
    pub(super) fn dispatch(
        &mut self,
        mut flight: Flight,
        retry: Option<Reason>,
    ) -> Vec<EntryAction> {
        let now = self.clock.now();
        if now >= flight.deadline {
            return self.refuse(&flight, Reason::DeadlinePast);
        }
        let repeatable = flight.idempotent
            && flight.sent + 1 < flight.limits.upstreams
            && self.budget(&flight.service).has_token(now);
        if flight.tried.len() + 1 >= flight.limits.gates as usize {
            flight.search = Search::Anything;
        } else if flight.tried.len() >= PROBED_GATES {
            flight.search = flight.search.max(Search::Queue);
        }
        let strained = self.service_levels.get(&flight.service).is_some_and(|s| s.is_degraded(now));
        let gate = loop {
            let wish = Wish {
                profile: &flight.profile,
                idempotent: flight.idempotent,
                strained,
                doubts: flight.kind.is_some(),
                queues: flight.search != Search::FreeSlot,
                body: flight.arrival.body_length.unwrap_or(UNKNOWN_BODY),
                excluded: match flight.search {
                    Search::FreeSlot => &flight.tried,
                    Search::Queue => &flight.queued,
                    Search::Anything => &[],
                },
            };
            let gate = self.chooser.pick(&flight.service, &wish, now, &mut self.rng);
            // The few gates of a small service may all have been asked.
            flight.search = match flight.search {
                Search::FreeSlot if gate.is_none() && flight.kind.is_some() => Search::Queue,
                Search::Queue if gate.is_none() && !flight.queued.is_empty() => Search::Anything,
                _ => break gate,
            };
        };
        let Some(gate) = gate else {
            return self.refuse(&flight, retry.unwrap_or(Reason::NoGate));
        };
        let attempt = AttemptId {
            node: self.identity.node,
            incarnation: self.identity.incarnation,
            serial: self.next_attempt,
        };
        self.next_attempt += 1;
        self.chooser.dispatched(&flight.service, gate);
        flight.gate = Some(gate);
        flight.pending = true;
        flight.tried.push(gate);
        if flight.search != Search::FreeSlot {
            flight.queued.push(gate);
        }
        let plan = Plan {
            repeatable,
            strained,
            service: flight.service.clone(),
            long: flight.long,
            idempotent: flight.idempotent,
            patience: queue_time(&flight, now),
            remaining: flight.deadline - now,
            usual: self.chooser.usual(&flight.service),
            rank: flight.rank,
            target: flight.target,
            kind: flight.kind,
            tolerance: tolerance(&flight),
        };
        let (request, ticket) = (flight.arrival.request, flight.ticket);
        self.flights.insert(request, flight);
        let incarnation = self.nodes.get(&gate).copied().unwrap_or_default();
        vec![EntryAction::Dispatch { request, attempt, ticket, gate, incarnation, plan, retry }]
    }

    pub(super) fn may_retry(&mut self, flight: &Flight, now: Instant, costs: bool) -> bool {
        let gates = u32::try_from(flight.tried.len()).unwrap_or(u32::MAX);
        !flight.consumed
            && !flight.streaming
            && gates < flight.limits.gates
            && flight.sent < flight.limits.upstreams
            && now < flight.deadline
            && (!costs || self.budget(&flight.service).withdraw(now))
    }

    /// Goes on after proof that the attempt did not run.
    pub(super) fn retry_refused(
        &mut self,
        flight: Flight,
        reason: Reason,
        now: Instant,
    ) -> Vec<EntryAction> {
        // A gate that is gone is no sign of load, so going elsewhere cannot feed a retry storm.
        let gone = matches!(reason, Reason::Leaving | Reason::NoUpstream | Reason::Unreachable);
        let seen_by_upstream = matches!(reason, Reason::Shed);
        let is_free = gone || (flight.limits.free_refusals && !seen_by_upstream);
        if self.may_retry(&flight, now, !is_free) {
            self.dispatch(flight, Some(reason))
        } else {
            self.refuse(&flight, reason)
        }
    }

    /// Goes on after an attempt that may have run.
    pub(super) fn retry_lost(
        &mut self,
        mut flight: Flight,
        reason: Reason,
        now: Instant,
    ) -> Vec<EntryAction> {
        flight.uncertain = true;
        if flight.idempotent && self.may_retry(&flight, now, true) {
            self.dispatch(flight, Some(reason))
        } else {
            self.lose(&flight, reason)
        }
    }
}

/// Returns the highest probability of a gray spell that a request accepts: less while there are
/// other gates to ask.
fn tolerance(flight: &Flight) -> f32 {
    let first = if flight.idempotent { REPEATED_TOLERANCE } else { TOLERANCE };
    match (flight.kind, flight.search) {
        (None, _) => 1.0,
        (_, Search::FreeSlot) => first[flight.tried.len().clamp(1, PROBED_GATES) - 1],
        (_, Search::Queue) => LATER_TOLERANCE,
        (_, Search::Anything) if flight.idempotent => 1.0,
        (_, Search::Anything) => LAST_TOLERANCE,
    }
}

/// Returns how long a request may wait in a gate's queue: not at all while it asks for a free
/// slot.
fn queue_time(flight: &Flight, now: Instant) -> Duration {
    if !flight.limits.free_refusals {
        return flight.profile.patience.queue;
    }
    if flight.search != Search::Queue {
        return Duration::ZERO;
    }
    (flight.deadline - now).mul_f64(QUEUE_SHARE)
}
