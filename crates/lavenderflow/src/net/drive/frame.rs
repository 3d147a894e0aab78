//! Builds the frames that open an attempt at a gate or at a ticket's home.

use bytes::Bytes;
use lavenderflow_core::request::AttemptSpec;
use lavenderflow_schema::convert::request::micros;
use lavenderflow_schema::wire::{Begin, Header, Purpose};

use super::Request;
use crate::prelude::*;

pub(super) fn dispatch_frame(
    request: &Request,
    attempt: AttemptId,
    ticket: Option<TicketId>,
    spec: &AttemptSpec,
) -> Begin {
    Begin {
        purpose: Purpose::Dispatch.into(),
        attempt: Some(attempt.into()),
        ticket: ticket.map(Into::into),
        service: spec.service.to_string(),
        remaining_us: micros(spec.remaining),
        patience_us: micros(spec.queue_timeout),
        usual_us: micros(spec.median_latency),
        rank: spec.rank,
        target_us: spec.target_latency.map(micros),
        repeatable: spec.retryable,
        strained: spec.degraded,
        kind: spec.kind,
        tolerance: spec.gray_tolerance,
        long: spec.long,
        idempotent: spec.idempotent,
        // The gate runs a non-idempotent request only after this entry has received the admission
        // and committed the request: until then, a lost link proves that it did not run.
        on_commit: !spec.idempotent,
        body: if spec.idempotent { request.body.clone() } else { Bytes::new() },
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
        body_follows: !request.arrival.body_buffered,
        body_length: request.arrival.body_length,
        fingerprint: request.arrival.fingerprint,
        ..Begin::default()
    }
}
