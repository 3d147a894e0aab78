//! Builds the frames that open an attempt at a gate or at a ticket's home.

use bytes::Bytes;
use lavenderflow_core::request::AttemptSpec;
use lavenderflow_schema::convert::request::micros;
use lavenderflow_schema::credential::KEY_HEADER;
use lavenderflow_schema::wire::{Begin, Header, Purpose};

use super::Request;
use crate::prelude::*;

pub(super) fn dispatch_frame(
    request: &Request,
    attempt: AttemptId,
    ticket: Option<TicketId>,
    spec: &AttemptSpec,
) -> Begin {
    // The gate runs such a request only after this entry has received the admission and committed
    // the request: until then, a lost link proves that it did not run. An idempotent request that
    // cannot be retried needs the proof too, since its caller gets an error otherwise. So does one
    // with a body that is streamed, which can be sent only once.
    let on_commit = !spec.idempotent || !spec.retryable || request.body_rest.is_some();
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
        level: Some(spec.level.into()),
        kind: spec.kind,
        tolerance: spec.gray_tolerance,
        long: spec.long,
        idempotent: spec.idempotent,
        on_commit,
        body: if on_commit { Bytes::new() } else { request.body.clone() },
        organisation: spec.organisation.as_deref().unwrap_or_default().to_owned(),
        organisation_rank: spec.organisation_rank,
        organisation_known: spec.organisation_known,
        ..common_frame(request, spec.hides_key)
    }
}

pub(super) fn forward_frame(
    request: &Request,
    ticket: TicketId,
    remaining: Duration,
    organisation: Option<&str>,
    hides_key: bool,
) -> Begin {
    Begin {
        purpose: Purpose::Forward.into(),
        ticket: Some(ticket.into()),
        remaining_us: micros(remaining),
        organisation: organisation.unwrap_or_default().to_owned(),
        ..common_frame(request, hides_key)
    }
}

fn common_frame(request: &Request, hides_key: bool) -> Begin {
    let is_hidden = |name: &str| hides_key && name.eq_ignore_ascii_case(KEY_HEADER);
    let headers = request.headers.iter().filter(|(name, _)| !is_hidden(name));
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
