//! Handles reports on attempts: ends the request, retries it or relays the response.

use std::sync::Arc;

use super::conclusion::{conclude, lost_reason};
use super::hedging::{can_hedge, is_failed};
use super::{ActiveRequest, Entry};
use crate::outlier::Observation;
use crate::prelude::*;
use crate::request::{AttemptReport, EntryAction};
use crate::ticket::StoredAnswer;

impl Entry {
    /// Handles a report on the attempt or the forwarded copy of a request.
    pub fn report(&mut self, request: RequestId, report: AttemptReport) -> Vec<EntryAction> {
        let now = self.clock.now();
        if self.waiting.swap_remove(&request).is_some() {
            return conclude(request, Outcome::Unknown, lost_reason(&report));
        }
        if self.forwarded.swap_remove(&request) {
            return self.report_forwarded(request, &report);
        }
        if let Some((active, ticket)) = self.drawing.swap_remove(&request) {
            return self.report_draw(active, ticket, &report);
        }
        let Some(mut active) = self.active_requests.swap_remove(&request) else {
            return Vec::new();
        };
        // A streamed response has begun and is never replaced.
        if active.streaming
            && matches!(report, AttemptReport::Answered { .. } | AttemptReport::Earlier(..))
        {
            self.active_requests.insert(request, active);
            return Vec::new();
        }
        let report = match report {
            AttemptReport::Copy(report) => return self.report_copy(active, *report, now),
            AttemptReport::Earlier(attempt, report) => {
                return self.report_earlier(active, attempt, *report, now);
            }
            report => report,
        };
        if let Some(current) = active.attempts.current() {
            active.attempts.record(current, &report);
            self.update_selector(&mut active, current, &report, now);
        }
        let mut actions = self.hedge_by_load(&active, &report, now);
        if is_failed(&report) {
            match self.continue_with_copy(active) {
                Some(own) => active = own,
                None => return actions,
            }
        }
        actions.extend(self.report_first(active, report, now));
        actions
    }

    /// Handles a report on the only attempt of a request, or on the first one of two.
    fn report_first(
        &mut self,
        mut active: ActiveRequest,
        report: AttemptReport,
        now: Instant,
    ) -> Vec<EntryAction> {
        let request = active.arrival.request;
        match report {
            AttemptReport::Admitted(load) => {
                active.hedge.admit(load, now);
                if active.hedge.replaces_stuck {
                    active.attempts.cancel();
                }
                self.active_requests.insert(request, active);
                Vec::new()
            }
            // Another copy of the attempt may have run.
            AttemptReport::Refused(reason @ (Reason::Duplicate | Reason::Outdated), _) => {
                self.retry_lost(active, reason, now)
            }
            AttemptReport::Refused(reason, load) => {
                active.refused_as_gray |= reason == Reason::Doubtful;
                active.drain_time = load.map_or(Duration::ZERO, |load| load.drain_time);
                if reason == Reason::TooLate {
                    // No gate can serve it in time.
                    return self.give_up(active, reason);
                }
                self.retry_refused(active, reason, now)
            }
            AttemptReport::Unreachable => self.retry_refused(active, Reason::Unreachable, now),
            AttemptReport::Answered { status, answer, .. } => {
                let is_answered = status < 500 || answer.is_none();
                let ended = self.end_hedging(&mut active, is_answered, now);
                let mut actions = self.answered(active, status, answer, now);
                actions.extend(ended);
                actions
            }
            AttemptReport::Completed { bytes, .. } => {
                self.record_size(&active, bytes);
                self.finish(&active, Outcome::Ran, None)
            }
            AttemptReport::Truncated => {
                self.record_end(&active, false);
                self.finish(&active, Outcome::Unknown, None)
            }
            AttemptReport::Lost(Reason::Stuck) if can_hedge(&active) => self.stuck(active, now),
            AttemptReport::Lost(reason) => self.retry_lost(active, reason, now),
            AttemptReport::Silent => self.retry_silent(active, now),
            AttemptReport::CallerGone => {
                let ended = self.end_hedging(&mut active, false, now);
                let mut actions = self.end_unknown(&active, Reason::CallerGone);
                actions.extend(ended);
                actions
            }
            AttemptReport::Resumed => self.dispatch(active, None),
            // Only a request that awaits its draw gets these.
            AttemptReport::Allowed | AttemptReport::OverAllowance(_) => {
                self.active_requests.insert(request, active);
                Vec::new()
            }
            AttemptReport::Overdue => self.overdue(active, now),
            // Handled before.
            AttemptReport::Copy(_) | AttemptReport::Earlier(..) => Vec::new(),
        }
    }

    /// Handles a report on an attempt that goes on beside later ones, or after them.
    fn report_earlier(
        &mut self,
        mut active: ActiveRequest,
        attempt: AttemptId,
        report: AttemptReport,
        now: Instant,
    ) -> Vec<EntryAction> {
        active.attempts.record(attempt, &report);
        self.update_selector(&mut active, attempt, &report, now);
        if active.attempts.is_running() && !is_usable(&report) {
            self.active_requests.insert(active.arrival.request, active);
            return Vec::new();
        }
        self.resolve_dispatches(&mut active, now);
        if active.attempts.current() != Some(attempt) {
            active.attempts.select(Some(attempt));
            // It belongs to a later attempt.
            active.hedge.forget_admission();
        }
        self.report_first(active, report, now)
    }

    /// Forgets the attempts of which no load report is awaited any more.
    fn resolve_dispatches(&mut self, active: &mut ActiveRequest, now: Instant) {
        for gate in active.attempts.take_unreported() {
            self.selector.resolve_dispatch(&active.service, gate, None, now);
        }
    }

    /// Records the load of an attempt's gate and the observation of the path to it.
    pub(super) fn update_selector(
        &mut self,
        active: &mut ActiveRequest,
        attempt: AttemptId,
        report: &AttemptReport,
        now: Instant,
    ) {
        let Some((gate, was_unreported)) = active.attempts.take_report(attempt) else { return };
        let load = match report {
            AttemptReport::Admitted(load) => Some(*load),
            AttemptReport::Refused(_, load) | AttemptReport::Completed { load, .. } => *load,
            AttemptReport::Answered { load, .. } => *load,
            _ => None,
        };
        if let Some(load) = load {
            let level = self.fleet_levels.entry(active.service.clone()).or_default();
            level.record(gate, load.level, now);
        }
        if was_unreported {
            self.selector.resolve_dispatch(&active.service, gate, load, now);
        } else if let Some(load) = load {
            self.selector.record_load(&active.service, gate, load, now);
        }
        let observation = match report {
            AttemptReport::Unreachable
            | AttemptReport::Silent
            | AttemptReport::Lost(Reason::Lost) => Observation::Failure,
            // The gate did not even decide on the attempt.
            AttemptReport::Lost(Reason::DeadlinePast) if was_unreported => Observation::Failure,
            AttemptReport::Admitted(_) | AttemptReport::Refused(..) => Observation::Success,
            _ => return,
        };
        self.selector.observe_path(gate, observation, now, &active.profile);
    }

    fn record_size(&mut self, active: &ActiveRequest, bytes: u64) {
        if let Some(kind) = active.kind.filter(|_| active.large_response) {
            self.response_sizes.record(kind, bytes);
        }
    }

    /// Relays a response, or retries a request that the upstream failed.
    pub(super) fn answered(
        &mut self,
        mut active: ActiveRequest,
        status: u16,
        answer: Option<Arc<StoredAnswer>>,
        now: Instant,
    ) -> Vec<EntryAction> {
        active.upstream_failed = status >= 500;
        let can_replace = active.upstream_failed && answer.is_some();
        if can_replace && active.idempotent && self.may_retry(&active, now, true) {
            return self.dispatch(active, Some(Reason::UpstreamFailed));
        }
        if can_replace && active.attempts.goes_on() {
            return self.await_attempts(active);
        }
        let (request, ticket) = (active.arrival.request, active.ticket);
        let relay = EntryAction::Relay { request, ticket };
        if answer.is_none() {
            active.streaming = true;
            self.active_requests.insert(request, active);
            return vec![relay];
        }
        if let Some(answer) = &answer {
            self.record_size(&active, answer.body.len() as u64);
        }
        let mut actions = vec![relay];
        actions.extend(self.finish(&active, Outcome::Ran, answer));
        actions
    }
}

/// Returns whether a report ends the request with a response: not a complete server error while
/// another attempt may have a better one.
fn is_usable(report: &AttemptReport) -> bool {
    matches!(report, AttemptReport::Answered { status, answer, .. } if *status < 500 || answer.is_none())
}
