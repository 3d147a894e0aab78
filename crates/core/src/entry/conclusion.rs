//! Concludes requests: frees what they hold, updates their tickets and concludes the duplicate
//! requests that wait for them.

use std::sync::Arc;

use rand::Rng;

use super::{ActiveRequest, Entry};
use crate::prelude::*;
use crate::request::{AttemptReport, Conclusion, EntryAction};
use crate::ticket::StoredAnswer;

/// Time after which a gate that was not available may be available again.
const RETRY_AFTER: Duration = Duration::from_millis(300);
/// Least time after which a caller may retry where the drain rate of the queue is known.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Part of the time left that this time may take.
const RETRY_TIME_DIVISOR: u32 = 3;
/// Time after which a queue that was full may have room again.
const RETRY_AFTER_OVERLOAD: Duration = Duration::from_millis(500);

impl Entry {
    /// Ends a request that gets no further attempt, once the attempts that go on have ended.
    pub(super) fn give_up(&mut self, active: ActiveRequest, reason: Reason) -> Vec<EntryAction> {
        if active.attempts.goes_on() {
            self.await_attempts(active)
        } else if active.attempts.may_have_run() {
            self.end_unknown(&active, reason)
        } else {
            self.refuse(&active, reason)
        }
    }

    /// Waits for the attempts that go on.
    pub(super) fn await_attempts(&mut self, active: ActiveRequest) -> Vec<EntryAction> {
        let request = active.arrival.request;
        self.active_requests.insert(request, active);
        vec![EntryAction::Await { request }]
    }

    /// Ends a request on proof that none of its attempts has run. Revokes its ticket first.
    fn refuse(&mut self, active: &ActiveRequest, reason: Reason) -> Vec<EntryAction> {
        self.record_end(active, false);
        self.release(active);
        let waiters = active.ticket.map(|ticket| self.ledger.refuse(ticket, reason));
        let wants_ticket = !active.idempotent;
        let retry_after =
            self.drained_after(active, reason).unwrap_or_else(|| self.retry_after(reason));
        let new_ticket = if wants_ticket { self.issue_ticket() } else { None };
        let conclusion = Conclusion {
            outcome: Outcome::NotRun,
            reason,
            answer: None,
            new_ticket,
            retry_after: Some(retry_after),
        };
        let request = active.arrival.request;
        let mut actions = vec![EntryAction::Conclude { request, conclusion }];
        for request in waiters.into_iter().flatten() {
            if self.waiting.swap_remove(&request).is_some() {
                actions.extend(self.conclude_not_run(request, reason, wants_ticket));
            }
        }
        actions
    }

    /// Ends a request that may have run.
    pub(super) fn end_unknown(
        &mut self,
        active: &ActiveRequest,
        reason: Reason,
    ) -> Vec<EntryAction> {
        let request = active.arrival.request;
        // A caller that disconnects is no evidence against the service.
        if reason != Reason::CallerGone {
            self.record_end(active, false);
        }
        let mut actions = conclude(request, Outcome::Unknown, reason);
        actions.extend(self.finish(active, Outcome::Unknown, None));
        actions
    }

    /// Frees what a request holds and concludes the duplicate requests that wait for it.
    pub(super) fn finish(
        &mut self,
        active: &ActiveRequest,
        outcome: Outcome,
        answer: Option<Arc<StoredAnswer>>,
    ) -> Vec<EntryAction> {
        if outcome == Outcome::Ran {
            self.record_end(active, !active.upstream_failed);
        }
        self.release(active);
        let Some(ticket) = active.ticket else {
            return Vec::new();
        };
        let waiters = self.ledger.complete(ticket, outcome, answer.clone());
        let reason = match (outcome, &answer) {
            (Outcome::Ran, Some(_)) => Reason::Answered,
            (Outcome::Ran, None) => Reason::AnswerGone,
            _ => Reason::Lost,
        };
        let conclusion =
            Conclusion { outcome, reason, answer, new_ticket: None, retry_after: None };
        waiters
            .into_iter()
            .filter(|request| self.waiting.swap_remove(request).is_some())
            .map(|request| EntryAction::Conclude { request, conclusion: conclusion.clone() })
            .collect()
    }

    /// Records for the service level whether a request was served.
    pub(super) fn record_end(&mut self, active: &ActiveRequest, is_served: bool) {
        let now = self.clock.now();
        self.service_levels.entry(active.service.clone()).or_default().observe(is_served, now);
    }

    pub(super) fn release(&mut self, active: &ActiveRequest) {
        let Some(organisation) = &active.arrival.organisation else {
            return;
        };
        if let Some(in_flight) = self.organisation_requests.get_mut(organisation) {
            *in_flight -= 1;
            if *in_flight == 0 {
                self.organisation_requests.swap_remove(organisation);
            }
        }
    }

    /// Returns the time after which a refused caller may retry, randomised so that callers do not
    /// retry at the same time.
    fn retry_after(&mut self, reason: Reason) -> Duration {
        let base = match reason {
            Reason::QueueFull | Reason::PatienceSpent | Reason::RateLimited | Reason::Shed => {
                RETRY_AFTER_OVERLOAD
            }
            _ => RETRY_AFTER,
        };
        base.mul_f64(self.rng.random_range(0.5..1.5))
    }

    /// Returns the time after which a caller that a queue had no room for may retry, from the
    /// measured rate at which the queue drains. It is randomised, and lies between
    /// [`MIN_RETRY_AFTER`] and a part of the time that the caller has left, so that there is time
    /// for another try.
    fn drained_after(&mut self, active: &ActiveRequest, reason: Reason) -> Option<Duration> {
        let from_queue = matches!(
            reason,
            Reason::QueueFull | Reason::PatienceSpent | Reason::TooLate | Reason::DeadlinePast
        );
        if !from_queue || active.drain_time.is_zero() {
            return None;
        }
        let left = active.deadline.saturating_duration_since(self.clock.now());
        let longest = (left / RETRY_TIME_DIVISOR).max(MIN_RETRY_AFTER);
        let drained = active.drain_time.clamp(MIN_RETRY_AFTER, longest);
        let earliest = (drained / 2).max(MIN_RETRY_AFTER);
        // Callers with hardly any time left are spread too.
        let has_time = longest > MIN_RETRY_AFTER;
        let latest = if has_time { (drained * 3 / 2).min(longest) } else { earliest * 3 / 2 };
        Some(earliest + (latest - earliest).mul_f64(self.rng.random_range(0.0..1.0)))
    }

    pub(super) fn conclude_not_run(
        &mut self,
        request: RequestId,
        reason: Reason,
        wants_ticket: bool,
    ) -> Vec<EntryAction> {
        let new_ticket = if wants_ticket { self.issue_ticket() } else { None };
        // Time does not make a key known.
        let retry_after = (reason != Reason::UnknownKey).then(|| self.retry_after(reason));
        let outcome = Outcome::NotRun;
        let conclusion = Conclusion { outcome, reason, answer: None, new_ticket, retry_after };
        vec![EntryAction::Conclude { request, conclusion }]
    }
}

/// Concludes a request that holds no resources.
pub(super) fn conclude(request: RequestId, outcome: Outcome, reason: Reason) -> Vec<EntryAction> {
    let conclusion =
        Conclusion { outcome, reason, answer: None, new_ticket: None, retry_after: None };
    vec![EntryAction::Conclude { request, conclusion }]
}

/// Returns the reason why a request that waited for another request's response gets none.
pub(super) fn lost_reason(report: &AttemptReport) -> Reason {
    match report {
        AttemptReport::Lost(reason) => *reason,
        AttemptReport::CallerGone => Reason::CallerGone,
        _ => Reason::Lost,
    }
}
