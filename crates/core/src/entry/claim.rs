//! Requests with tickets: claims, forwarding to home nodes, and refusals before any dispatch.

use super::conclusion::conclude;
use super::{ActiveRequest, Entry};
use crate::ledger::Claim;
use crate::prelude::*;
use crate::request::{AttemptReport, Conclusion, EntryAction};

impl Entry {
    /// Returns whether a request that began to arrive before the node refused new ones can have its
    /// answer in time.
    fn can_finish(&self, active: &ActiveRequest) -> bool {
        let remaining = active.deadline.saturating_duration_since(self.clock.now());
        active.arrival.in_progress
            && active.target_latency.is_none_or(|latency| remaining >= latency)
    }

    pub(super) fn refusal_reason(&self, active: &ActiveRequest) -> Option<Reason> {
        if self.draining && !self.can_finish(active) {
            return Some(Reason::Leaving);
        }
        let organisation = active.arrival.organisation.as_ref()?;
        let limit = self.directory.get(organisation)?.concurrency?;
        let in_flight = self.organisation_requests.get(organisation).copied().unwrap_or_default();
        (in_flight >= limit).then_some(Reason::OrganisationLimit)
    }

    /// Refuses a request that was not dispatched. Revokes its ticket first.
    pub(super) fn refuse_arrival(
        &mut self,
        active: &ActiveRequest,
        ticket: Option<TicketId>,
        reason: Reason,
    ) -> Vec<EntryAction> {
        let request = active.arrival.request;
        let Some(ticket) = ticket else {
            return self.conclude_not_run(request, reason, !active.idempotent);
        };
        match self.ledger.revoke(ticket, active.arrival.fingerprint, request, reason) {
            Claim::Refused(_) => self.conclude_not_run(request, reason, true),
            claim => self.answer_claim(active, ticket, claim),
        }
    }

    pub(super) fn answer_claim(
        &mut self,
        active: &ActiveRequest,
        ticket: TicketId,
        claim: Claim,
    ) -> Vec<EntryAction> {
        let request = active.arrival.request;
        match claim {
            // Only `admit` claims tickets in order to run their requests.
            Claim::Run => Vec::new(),
            Claim::Wait => {
                self.waiting.insert(request, ticket);
                let remaining = active.deadline.saturating_duration_since(self.clock.now());
                vec![EntryAction::Wait { request, remaining }]
            }
            Claim::Replay(answer) => {
                let conclusion = Conclusion {
                    outcome: Outcome::Ran,
                    reason: Reason::Answered,
                    answer: Some(answer),
                    new_ticket: None,
                    retry_after: None,
                };
                vec![EntryAction::Conclude { request, conclusion }]
            }
            Claim::Finished(Outcome::Ran) => conclude(request, Outcome::Ran, Reason::AnswerGone),
            Claim::Finished(outcome) => conclude(request, outcome, Reason::Lost),
            Claim::Refused(_) => self.conclude_not_run(request, Reason::TicketRefused, true),
            Claim::Mismatch => self.conclude_not_run(request, Reason::TicketMismatch, true),
            // The serial number may be issued later, so the request may still run.
            Claim::Invalid => conclude(request, Outcome::Unknown, Reason::TicketInvalid),
            Claim::Expired => conclude(request, Outcome::Unknown, Reason::TicketExpired),
        }
    }

    pub(super) fn forward(&mut self, active: &ActiveRequest, ticket: TicketId) -> Vec<EntryAction> {
        let request = active.arrival.request;
        if active.arrival.forwarded || !self.incarnations.contains_key(&ticket.home) {
            return conclude(request, Outcome::Unknown, Reason::HomeLost);
        }
        self.forwarded.insert(request);
        let remaining = active.deadline.saturating_duration_since(self.clock.now());
        vec![EntryAction::Forward {
            request,
            home: ticket.home,
            ticket,
            remaining,
            organisation: active.arrival.organisation.clone(),
            hides_key: self.directory.needs_keys(),
        }]
    }

    pub(super) fn report_forwarded(
        &mut self,
        request: RequestId,
        report: &AttemptReport,
    ) -> Vec<EntryAction> {
        match report {
            AttemptReport::Answered { answer: Some(_), .. } => {
                vec![EntryAction::Relay { request, ticket: None }]
            }
            AttemptReport::Answered { answer: None, .. } => {
                self.forwarded.insert(request);
                vec![EntryAction::Relay { request, ticket: None }]
            }
            AttemptReport::Completed { .. } | AttemptReport::Truncated => Vec::new(),
            _ => conclude(request, Outcome::Unknown, Reason::HomeLost),
        }
    }
}
