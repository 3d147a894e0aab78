//! The frames that open an attempt.

use bytes::Bytes;
use lavenderflow_core::request::Plan;
use lavenderflow_schema::convert::request::micros;
use lavenderflow_schema::wire::{Begin, Header, Purpose};

use super::Request;
use crate::prelude::*;

pub(super) fn dispatch_frame(
    request: &Request,
    attempt: AttemptId,
    ticket: Option<TicketId>,
    plan: &Plan,
) -> Begin {
    Begin {
        purpose: Purpose::Dispatch.into(),
        attempt: Some(attempt.into()),
        ticket: ticket.map(Into::into),
        service: plan.service.to_string(),
        remaining_us: micros(plan.remaining),
        patience_us: micros(plan.patience),
        usual_us: micros(plan.usual),
        rank: plan.rank,
        target_us: plan.target.map(micros),
        repeatable: plan.repeatable,
        strained: plan.strained,
        kind: plan.kind,
        tolerance: plan.tolerance,
        long: plan.long,
        idempotent: plan.idempotent,
        // Work that may not be repeated runs only after this entry has heard that it can: until
        // then a lost link proves that it did not run.
        on_commit: !plan.idempotent,
        body: if plan.idempotent { request.body.clone() } else { Bytes::new() },
        ..common_frame(request)
    }
}

pub(super) fn forward_frame(request: &Request, ticket: TicketId, remaining: Duration) -> Begin {
    Begin {
        purpose: Purpose::Forward.into(),
        ticket: Some(ticket.into()),
        remaining_us: micros(remaining),
        organisation: request.arrival.organisation.as_deref().unwrap_or_default().to_owned(),
        ..common_frame(request)
    }
}

fn common_frame(request: &Request) -> Begin {
    let headers = request.headers.iter();
    Begin {
        request_id: request.id.clone(),
        method: request.arrival.method.clone(),
        target: request.arrival.target.clone(),
        headers: headers
            .map(|(name, value)| Header { name: name.clone(), value: value.clone() })
            .collect(),
        body: request.body.clone(),
        body_follows: !request.arrival.whole,
        body_length: request.arrival.body_length,
        fingerprint: request.arrival.fingerprint,
        ..Begin::default()
    }
}
