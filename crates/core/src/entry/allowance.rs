//! Requests of organisations with an allowance: they need a token before anything else happens.

use super::conclusion::conclude;
use super::{ActiveRequest, Entry};
use crate::prelude::*;
use crate::request::{AttemptReport, EntryAction};

impl Entry {
    /// Has a request wait for a token if its organisation has an allowance, else starts it.
    pub(super) fn draw(
        &mut self,
        active: ActiveRequest,
        ticket: Option<TicketId>,
    ) -> Vec<EntryAction> {
        let name = active.arrival.organisation.as_ref();
        let organisation = name.and_then(|name| self.directory.get(name));
        match organisation.filter(|known| known.allowance.is_some()) {
            None => self.start(active, ticket),
            Some(known) => {
                let (request, organisation) = (active.arrival.request, known.name.clone());
                self.drawing.insert(request, (active, ticket));
                vec![EntryAction::Draw { request, organisation }]
            }
        }
    }

    /// Starts or refuses a request that waited for a token. Until then no ticket was claimed and
    /// nothing was sent, so a refusal is true.
    pub(super) fn report_draw(
        &mut self,
        active: ActiveRequest,
        ticket: Option<TicketId>,
        report: &AttemptReport,
    ) -> Vec<EntryAction> {
        let request = active.arrival.request;
        match report {
            // The node may have begun to stop meanwhile.
            AttemptReport::Allowed => match self.refusal_reason(&active) {
                Some(reason) => self.refuse_arrival(&active, ticket, reason),
                None => self.start(active, ticket),
            },
            AttemptReport::OverAllowance(time) => {
                let mut actions = self.refuse_arrival(&active, ticket, Reason::OverAllowance);
                for action in &mut actions {
                    if let EntryAction::Conclude { conclusion, .. } = action
                        && conclusion.reason == Reason::OverAllowance
                    {
                        conclusion.retry_after = Some(*time);
                    }
                }
                actions
            }
            AttemptReport::CallerGone => conclude(request, Outcome::NotRun, Reason::CallerGone),
            _ => {
                self.drawing.insert(request, (active, ticket));
                Vec::new()
            }
        }
    }
}
