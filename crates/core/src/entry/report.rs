//! What an entry does when it hears what became of an attempt.

use std::sync::Arc;

use super::ending::{conclude, lost_reason};
use super::{Entry, Flight};
use crate::outlier::Observation;
use crate::prelude::*;
use crate::request::{EntryAction, Report};
use crate::ticket::StoredAnswer;

impl Entry {
    /// Takes in what happened to the attempt or the forwarded copy of a request.
    pub fn report(&mut self, request: RequestId, report: Report) -> Vec<EntryAction> {
        let now = self.clock.now();
        if self.waiting.swap_remove(&request).is_some() {
            return conclude(request, Outcome::Unknown, lost_reason(&report));
        }
        if self.forwarded.swap_remove(&request) {
            return self.report_forwarded(request, &report);
        }
        let Some(mut flight) = self.flights.swap_remove(&request) else {
            return Vec::new();
        };
        self.learn(&mut flight, &report, now);
        match report {
            Report::Admitted(_) => {
                flight.sent += 1;
                // From now on the caller's body is on its way to this gate.
                flight.consumed = !flight.arrival.whole;
                self.flights.insert(request, flight);
                Vec::new()
            }
            // Another copy of the attempt may have run.
            Report::Refused(reason @ (Reason::Duplicate | Reason::Outdated), _) => {
                self.retry_lost(flight, reason, now)
            }
            Report::Refused(reason, _) => self.retry_refused(flight, reason, now),
            Report::Unreachable => self.retry_refused(flight, Reason::Unreachable, now),
            Report::Answered { status, answer, .. } => self.answered(flight, status, answer, now),
            Report::Completed(_) => self.finish(&flight, Outcome::Ran, None),
            Report::Cut => self.finish(&flight, Outcome::Unknown, None),
            Report::Lost(reason) => self.retry_lost(flight, reason, now),
            Report::Abandoned => self.lose(&flight, Reason::CallerGone),
        }
    }

    /// Updates the load and the evidence about the path.
    fn learn(&mut self, flight: &mut Flight, report: &Report, now: Instant) {
        let Some(gate) = flight.gate else { return };
        let load = match report {
            Report::Admitted(load) => Some(*load),
            Report::Refused(_, load) | Report::Completed(load) => *load,
            Report::Answered { load, .. } => *load,
            _ => None,
        };
        let was_pending = std::mem::take(&mut flight.pending);
        if was_pending {
            self.chooser.settled(&flight.service, gate, load, now);
        } else if let Some(load) = load {
            self.chooser.report(&flight.service, gate, load, now);
        }
        let observation = match report {
            Report::Unreachable | Report::Lost(Reason::Lost) => Observation::Failure,
            // The gate has not even decided on the attempt.
            Report::Lost(Reason::DeadlinePast) if was_pending => Observation::Failure,
            Report::Admitted(_) | Report::Refused(..) => Observation::Success,
            _ => return,
        };
        self.chooser.observe_path(gate, observation, now, &flight.profile);
    }

    /// Passes an answer on, or tries a failed request once more.
    fn answered(
        &mut self,
        mut flight: Flight,
        status: u16,
        answer: Option<Arc<StoredAnswer>>,
        now: Instant,
    ) -> Vec<EntryAction> {
        let failed = status >= 500 && answer.is_some();
        flight.uncertain = true;
        if failed && flight.idempotent && self.may_retry(&flight, now, true) {
            return self.dispatch(flight, Some(Reason::UpstreamFailed));
        }
        let (request, ticket) = (flight.arrival.request, flight.ticket);
        let relay = EntryAction::Relay { request, ticket };
        if answer.is_none() {
            flight.streaming = true;
            self.flights.insert(request, flight);
            return vec![relay];
        }
        let mut actions = vec![relay];
        actions.extend(self.finish(&flight, Outcome::Ran, answer));
        actions
    }
}
