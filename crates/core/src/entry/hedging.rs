//! Second copies of slow attempts: when they start, and what their reports mean for a request.

use super::dispatch::hedge_tolerance;
use super::{ActiveRequest, Entry};
use crate::gray_failure::LIKELY_GRAY_PROBABILITY;
use crate::hedge::{HedgeConditions, HedgeEvent, HedgePolicy, Suppression};
use crate::id::work_kind;
use crate::prelude::*;
use crate::request::{AttemptReport, AttemptSpec, EntryAction};
use crate::route::Route;
use crate::selector::GateCriteria;

/// The part of a request's state that hedging uses.
#[derive(Debug, Default)]
pub(super) struct RequestHedge {
    kind: WorkKind,
    // Time at which the first attempt got its slot.
    admitted_at: Option<Instant>,
    // Whether the upstream was likely gray by then, so that the attempt is a trial.
    is_trial: bool,
    copy: Option<RunningCopy>,
    // Whether a copy was sent, or an attempt beside one that goes on; a request gets at most one.
    pub(super) is_used: bool,
    // Whether a suppressed copy was counted.
    is_suppressed: bool,
    // Whether the next attempt replaces a stuck one instead of running beside it.
    pub(super) replaces_stuck: bool,
}

impl RequestHedge {
    pub(super) fn new(route: Option<&Route>) -> Self {
        let kind = route.map(|r| work_kind(r.host.as_deref().unwrap_or_default(), &r.prefix));
        Self { kind: kind.unwrap_or_default(), ..Self::default() }
    }

    /// Returns whether a copy runs.
    pub(super) fn has_copy(&self) -> bool {
        self.copy.is_some()
    }

    /// Forgets when the first attempt got its slot.
    pub(super) fn forget_admission(&mut self) {
        self.admitted_at = None;
    }

    /// Records that the first attempt got a slot.
    pub(super) fn admit(&mut self, load: Load, now: Instant) {
        self.admitted_at = Some(now);
        self.is_trial = is_likely_gray(load);
    }
}

#[derive(Clone, Copy, Debug)]
struct RunningCopy {
    attempt: AttemptId,
    sent_at: Instant,
    admitted_at: Option<Instant>,
    // Whether the first attempt has ended, so that the request depends on the copy.
    is_alone: bool,
}

impl Entry {
    /// Counts a request, of which the limit is a share.
    pub(super) fn count_for_hedging(&mut self, active: &ActiveRequest) {
        if active.profile.forgiveness.hedges > 0.0 {
            let now = self.clock.now();
            self.hedge_policy(&active.service).count_request(now);
        }
    }

    /// Returns the time after its admission at which an attempt is to be reported as overdue. While
    /// the usual latency is unknown it is the deadline, so that only a gray failure starts a copy.
    pub(super) fn hedge_delay(
        &mut self,
        active: &mut ActiveRequest,
        now: Instant,
    ) -> Option<Duration> {
        // The slot of an attempt before says nothing about the one that is dispatched now.
        active.hedge.admitted_at = None;
        if !can_hedge(active) || active.hedge.is_used {
            return None;
        }
        let delay = self.hedge_policy(&active.service).delay(active.hedge.kind, now);
        Some(delay.unwrap_or(active.deadline - now))
    }

    /// Decides whether an overdue attempt gets a copy.
    pub(super) fn overdue(&mut self, mut active: ActiveRequest, now: Instant) -> Vec<EntryAction> {
        let request = active.arrival.request;
        // A copy that was sent since then is the reply to this report.
        let started =
            if active.hedge.is_used { Ok(Vec::new()) } else { self.start_copy(&mut active, now) };
        self.active_requests.insert(request, active);
        started.unwrap_or_else(|suppression| {
            let event = HedgeEvent::Suppressed(suppression);
            vec![EntryAction::RecordHedge(event), EntryAction::KeepWaiting { request, suppression }]
        })
    }

    /// Handles an attempt that its gate reports as stuck, while hedging is enabled: sends a copy if
    /// the limit allows it, and otherwise an attempt that replaces the stuck one.
    pub(super) fn stuck(&mut self, mut active: ActiveRequest, now: Instant) -> Vec<EntryAction> {
        if active.hedge.copy.is_some() {
            self.active_requests.insert(active.arrival.request, active);
            return Vec::new();
        }
        let mut actions = Vec::new();
        if !active.hedge.is_used {
            match self.start_copy(&mut active, now) {
                Ok(actions) => {
                    self.active_requests.insert(active.arrival.request, active);
                    return actions;
                }
                Err(suppression) => {
                    actions.push(EntryAction::RecordHedge(HedgeEvent::Suppressed(suppression)));
                }
            }
        }
        active.hedge.is_used = true;
        active.hedge.replaces_stuck = true;
        actions.extend(self.retry_lost(active, Reason::Stuck, now));
        actions
    }

    /// Sends copies of the other attempts at a gate, if a report on one of them shows that its
    /// upstreams have become likely gray.
    pub(super) fn hedge_by_load(
        &mut self,
        active: &ActiveRequest,
        report: &AttemptReport,
        now: Instant,
    ) -> Vec<EntryAction> {
        let load = match report {
            AttemptReport::Admitted(load) => Some(*load),
            AttemptReport::Refused(_, load) | AttemptReport::Answered { load, .. } => *load,
            _ => None,
        };
        let has_limit = active.profile.forgiveness.hedges > 0.0;
        match active.attempts.gate().filter(|_| has_limit && load.is_some_and(is_likely_gray)) {
            Some(gate) => self.hedge_gray_gate(&active.service, gate, now),
            None => Vec::new(),
        }
    }

    /// Sends copies of the attempts at a gate whose upstreams have become likely gray.
    fn hedge_gray_gate(
        &mut self,
        service: &ServiceName,
        gate: NodeId,
        now: Instant,
    ) -> Vec<EntryAction> {
        let is_affected = |active: &ActiveRequest| {
            let hedge = &active.hedge;
            let is_open = !hedge.is_used && !hedge.is_trial && !hedge.is_suppressed;
            let is_running = hedge.admitted_at.is_some() && !active.streaming;
            let is_there = active.attempts.gate() == Some(gate) && active.service == *service;
            is_there && is_running && is_open && can_hedge(active)
        };
        let affected = self.active_requests.iter().filter(|(_, active)| is_affected(active));
        let affected: Vec<RequestId> = affected.map(|(request, _)| *request).collect();
        let mut actions = Vec::new();
        for request in affected {
            let Some(mut active) = self.active_requests.swap_remove(&request) else { continue };
            match self.start_copy(&mut active, now) {
                Ok(started) => actions.extend(started),
                Err(suppression) => {
                    active.hedge.is_suppressed = true;
                    actions.push(EntryAction::RecordHedge(HedgeEvent::Suppressed(suppression)));
                }
            }
            self.active_requests.insert(request, active);
        }
        actions
    }

    /// Starts a copy, or returns what speaks against it.
    fn start_copy(
        &mut self,
        active: &mut ActiveRequest,
        now: Instant,
    ) -> Result<Vec<EntryAction>, Suppression> {
        let service = active.service.clone();
        let degraded = self.is_degraded(&service, now);
        let gates = u32::try_from(active.tried.len()).unwrap_or(u32::MAX);
        let conditions = HedgeConditions {
            limit: active.profile.forgiveness.hedges,
            has_attempts: active.attempts.received() < active.limits.upstreams
                && gates < active.limits.gates,
            degraded,
            free_share: self.selector.free_share(&service, now),
            remaining: active.deadline.saturating_duration_since(now),
        };
        self.hedge_policy(&service).check(&conditions, active.hedge.kind, now)?;
        let criteria = GateCriteria {
            profile: &active.profile,
            idempotent: true,
            degraded,
            avoid_gray: active.kind.is_some(),
            may_queue: false,
            body_bytes: active.arrival.body_length.unwrap_or_default(),
            excluded: &active.tried,
        };
        let gate = self.selector.pick_idle(&service, &criteria, now, &mut self.rng);
        let gate = gate.ok_or(Suppression::NoGate)?;
        if !self.budget(&service).withdraw(now) {
            return Err(Suppression::Budget);
        }
        self.hedge_policy(&service).count_copy(now);
        self.selector.record_dispatch(&service, gate);
        active.tried.push(gate);
        active.hedge.is_used = true;
        let attempt = self.new_attempt();
        active.attempts.start_copy(attempt, gate);
        active.hedge.copy =
            Some(RunningCopy { attempt, sent_at: now, admitted_at: None, is_alone: false });
        let spec = AttemptSpec {
            queue_timeout: Duration::ZERO,
            retryable: false,
            gray_tolerance: hedge_tolerance(active),
            ..self.attempt_spec(active, now)
        };
        let action = EntryAction::Hedge {
            request: active.arrival.request,
            attempt,
            gate,
            incarnation: self.incarnations.get(&gate).copied().unwrap_or_default(),
            spec,
        };
        Ok(vec![EntryAction::RecordHedge(HedgeEvent::Started), action])
    }

    /// Handles a report on the copy of a request.
    pub(super) fn report_copy(
        &mut self,
        mut active: ActiveRequest,
        report: AttemptReport,
        now: Instant,
    ) -> Vec<EntryAction> {
        let request = active.arrival.request;
        let Some(mut copy) = active.hedge.copy.take() else {
            self.active_requests.insert(request, active);
            return Vec::new();
        };
        active.attempts.record(copy.attempt, &report);
        self.update_selector(&mut active, copy.attempt, &report, now);
        let is_running = active.attempts.is_running();
        let goes_on = active.attempts.goes_on();
        let is_alone = copy.is_alone || !is_running && !goes_on;
        // The first attempt goes on as a silent or stuck one, which the copy was to replace.
        let is_last = !is_alone && !is_running;
        let mut actions = Vec::new();
        match report {
            AttemptReport::Admitted(_) => {
                copy.admitted_at = Some(now);
                active.hedge.copy = Some(copy);
            }
            AttemptReport::Refused(reason, _) => {
                actions.push(self.refund_copy(&active, copy));
                if is_alone {
                    actions.extend(self.retry_refused(active, reason, now));
                    return actions;
                }
            }
            AttemptReport::Unreachable => {
                actions.push(self.refund_copy(&active, copy));
                if is_alone {
                    actions.extend(self.retry_refused(active, Reason::Unreachable, now));
                    return actions;
                }
            }
            AttemptReport::Answered { status, answer, .. } => {
                let is_usable = status < 500 || answer.is_none();
                if is_usable {
                    self.observe_winner(&active, copy, now);
                }
                let event = if is_usable { HedgeEvent::Won } else { HedgeEvent::Lost };
                actions.push(EntryAction::RecordHedge(event));
                if is_usable || is_alone {
                    active.attempts.select(Some(copy.attempt));
                    active.hedge.admitted_at = None;
                    actions.extend(self.answered(active, status, answer, now));
                    return actions;
                }
            }
            other => {
                actions.push(EntryAction::RecordHedge(HedgeEvent::Lost));
                if is_alone {
                    let lost =
                        if let AttemptReport::Lost(reason) = other { reason } else { Reason::Lost };
                    active.hedge.replaces_stuck = lost == Reason::Stuck;
                    actions.extend(self.retry_lost(active, lost, now));
                    return actions;
                }
            }
        }
        if is_last {
            active.hedge.replaces_stuck = true;
            actions.extend(self.retry_lost(active, Reason::Stuck, now));
        } else {
            self.active_requests.insert(request, active);
        }
        actions
    }

    /// Lets a request go on with its copy after the first attempt has ended without a usable
    /// response. Returns the request if there is no copy.
    pub(super) fn continue_with_copy(
        &mut self,
        mut active: ActiveRequest,
    ) -> Option<ActiveRequest> {
        let Some(copy) = &mut active.hedge.copy else { return Some(active) };
        copy.is_alone = true;
        active.attempts.select(None);
        self.active_requests.insert(active.arrival.request, active);
        None
    }

    /// Records the latency of the first attempt when its response is used, and ends the copy.
    pub(super) fn end_hedging(
        &mut self,
        active: &mut ActiveRequest,
        is_answered: bool,
        now: Instant,
    ) -> Option<EntryAction> {
        if is_answered
            && can_hedge(active)
            && let Some(admitted_at) = active.hedge.admitted_at
        {
            let kind = active.hedge.kind;
            self.hedge_policy(&active.service).observe(kind, now - admitted_at, now);
        }
        let copy = active.hedge.copy.take()?;
        if let Some((gate, true)) = active.attempts.take_report(copy.attempt) {
            self.selector.resolve_dispatch(&active.service, gate, None, now);
        }
        Some(EntryAction::RecordHedge(HedgeEvent::Lost))
    }

    /// Records the latency of a copy whose response is used. The age of the first attempt counts
    /// too, as the least that its latency would have been: without it, the slow latencies would be
    /// missing, and copies would start earlier and earlier.
    fn observe_winner(&mut self, active: &ActiveRequest, copy: RunningCopy, now: Instant) {
        let kind = active.hedge.kind;
        let first = active.hedge.admitted_at.filter(|_| !copy.is_alone);
        for admitted_at in [first, copy.admitted_at].into_iter().flatten() {
            self.hedge_policy(&active.service).observe(kind, now - admitted_at, now);
        }
    }

    /// Takes back the costs of a copy that did not run.
    fn refund_copy(&mut self, active: &ActiveRequest, copy: RunningCopy) -> EntryAction {
        self.hedge_policy(&active.service).uncount_copy(copy.sent_at);
        self.budget(&active.service).deposit(1.0);
        EntryAction::RecordHedge(HedgeEvent::Refused)
    }

    fn hedge_policy(&mut self, service: &ServiceName) -> &mut HedgePolicy {
        self.hedges.entry(service.clone()).or_default()
    }
}

/// Returns whether a request may get a copy at all: only one that may be repeated, whose body is
/// buffered, and that is not long, since a copy of long work costs more than a slow response.
pub(super) fn can_hedge(active: &ActiveRequest) -> bool {
    let has_limit = active.profile.forgiveness.hedges > 0.0;
    has_limit && active.idempotent && active.arrival.body_buffered && !active.long
}

/// Returns whether a report ends an attempt without a usable response.
pub(super) fn is_failed(report: &AttemptReport) -> bool {
    match report {
        AttemptReport::Refused(..) | AttemptReport::Unreachable => true,
        AttemptReport::Answered { status, answer, .. } => *status >= 500 && answer.is_some(),
        // Stuck and silent attempts go on.
        AttemptReport::Lost(reason) => *reason != Reason::Stuck,
        _ => false,
    }
}

fn is_likely_gray(load: Load) -> bool {
    f64::from(load.gray_probability) > LIKELY_GRAY_PROBABILITY
}
