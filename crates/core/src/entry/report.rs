//! Handles reports on attempts: ends the request, retries it or relays the response.

use std::sync::Arc;

use super::conclusion::{conclude, lost_reason};
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
        let Some(mut active) = self.active_requests.swap_remove(&request) else {
            return Vec::new();
        };
        self.update_selector(&mut active, &report, now);
        match report {
            AttemptReport::Admitted(_) => {
                active.admitted += 1;
                // A body that is not buffered is streamed to this gate from now on.
                active.body_sent = !active.arrival.body_buffered;
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
                    return self.refuse(&active, reason);
                }
                self.retry_refused(active, reason, now)
            }
            AttemptReport::Unreachable => self.retry_refused(active, Reason::Unreachable, now),
            AttemptReport::Answered { status, answer, .. } => {
                self.answered(active, status, answer, now)
            }
            AttemptReport::Completed(_) => self.finish(&active, Outcome::Ran, None),
            AttemptReport::Truncated => self.finish(&active, Outcome::Unknown, None),
            AttemptReport::Lost(reason) => self.retry_lost(active, reason, now),
            AttemptReport::CallerGone => self.end_unknown(&active, Reason::CallerGone),
            AttemptReport::Resumed => self.dispatch(active, None),
        }
    }

    /// Records the gate's load and the observation of the path to it.
    fn update_selector(
        &mut self,
        active: &mut ActiveRequest,
        report: &AttemptReport,
        now: Instant,
    ) {
        let Some(gate) = active.gate else { return };
        let load = match report {
            AttemptReport::Admitted(load) => Some(*load),
            AttemptReport::Refused(_, load) | AttemptReport::Completed(load) => *load,
            AttemptReport::Answered { load, .. } => *load,
            _ => None,
        };
        let was_unreported = std::mem::take(&mut active.unreported);
        if was_unreported {
            self.selector.resolve_dispatch(&active.service, gate, load, now);
        } else if let Some(load) = load {
            self.selector.record_load(&active.service, gate, load, now);
        }
        let observation = match report {
            AttemptReport::Unreachable | AttemptReport::Lost(Reason::Lost) => Observation::Failure,
            // The gate did not even decide on the attempt.
            AttemptReport::Lost(Reason::DeadlinePast) if was_unreported => Observation::Failure,
            AttemptReport::Admitted(_) | AttemptReport::Refused(..) => Observation::Success,
            _ => return,
        };
        self.selector.observe_path(gate, observation, now, &active.profile);
    }

    /// Relays a response, or retries a request that the upstream failed.
    fn answered(
        &mut self,
        mut active: ActiveRequest,
        status: u16,
        answer: Option<Arc<StoredAnswer>>,
        now: Instant,
    ) -> Vec<EntryAction> {
        let failed = status >= 500 && answer.is_some();
        active.may_have_run = true;
        if failed && active.idempotent && self.may_retry(&active, now, true) {
            return self.dispatch(active, Some(Reason::UpstreamFailed));
        }
        let (request, ticket) = (active.arrival.request, active.ticket);
        let relay = EntryAction::Relay { request, ticket };
        if answer.is_none() {
            active.streaming = true;
            self.active_requests.insert(request, active);
            return vec![relay];
        }
        let mut actions = vec![relay];
        actions.extend(self.finish(&active, Outcome::Ran, answer));
        actions
    }
}
