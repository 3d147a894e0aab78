//! Serves requests as the home of their tickets.

use lavenderflow_core::request::Arrival;
use lavenderflow_schema::wire::frame::Body;
use lavenderflow_schema::wire::{self, Answer, Begin, Header};
use rand::random;
use tokio::sync::oneshot;
use tokio::time::timeout_at;

use super::receive_body;
use crate::net::body::BodyRequest;
use crate::net::context::NetworkContext;
use crate::net::drive::{self, ReplyBody, Request};
use crate::net::link::{FrameSink, FrameSource, LinkError};
use crate::prelude::*;
use crate::upstream;

/// Serves a request whose ticket has this node as its home.
pub(super) async fn serve(
    context: &NetworkContext,
    begin: Begin,
    mut sink: FrameSink,
    source: FrameSource,
) -> Result<(), LinkError> {
    let deadline = context.clock.now() + Duration::from_micros(begin.remaining_us);
    let deadline = upstream::response_deadline(&context.clock, deadline);
    let (body_request, body_requested) = oneshot::channel();
    let request = forwarded_request(begin, body_request);
    let driving = drive::drive(context, request);
    tokio::pin!(driving);
    let reply = tokio::select! {
        reply = &mut driving => reply,
        Ok(sender) = body_requested => {
            let verdict = wire::Verdict { admitted: true, ..wire::Verdict::default() };
            sink.send(Body::Verdict(verdict)).await?;
            tokio::spawn(receive_body(source, sender));
            driving.await
        }
    };
    let whole = matches!(reply.body, ReplyBody::Buffered(_));
    let (first, parts) = match reply.body {
        ReplyBody::Buffered(body) => (body, None),
        ReplyBody::Streamed(first, parts) => (first, Some(parts)),
    };
    let headers = reply.headers.into_iter().map(|(name, value)| Header { name, value });
    let mut total = first.len() as u64;
    let answer = Answer {
        request_id: String::new(),
        status: reply.status.into(),
        headers: headers.collect(),
        body: first,
        whole,
        load: None,
        outcome: reply.outcome.name().to_owned(),
        reason: reply.reason.name().to_owned(),
        fresh: reply.ticket.map(Into::into),
    };
    let Some(mut parts) = parts else {
        return sink.send_last(Body::Answer(answer), deadline).await;
    };
    let sending = async {
        sink.send(Body::Answer(answer)).await?;
        while let Some(part) = parts.recv().await {
            let data = part.map_err(|_| LinkError::Closed)?;
            total += data.len() as u64;
            sink.send(Body::Chunk(wire::Chunk { data, last: false })).await?;
        }
        Ok(())
    };
    if let Err(fault) = timeout_at(deadline, sending).await.unwrap_or(Err(LinkError::Unread)) {
        sink.reset();
        return Err(fault);
    }
    sink.send_last(Body::End(wire::End { length: total, load: None }), deadline).await
}

fn forwarded_request(begin: Begin, body_request: BodyRequest) -> Request {
    let organisation = Some(begin.organisation.as_str()).filter(|name| !name.is_empty());
    Request {
        arrival: Arrival {
            request: random(),
            organisation: organisation.map(Into::into),
            key: None,
            ticket: begin.ticket.map(Into::into),
            body_length: begin.body_length,
            body_buffered: !begin.body_follows,
            fingerprint: begin.fingerprint,
            timeout: Some(Duration::from_micros(begin.remaining_us)),
            in_progress: false,
            forwarded: true,
            method: begin.method,
            target: begin.target,
            host: String::new(),
        },
        id: begin.request_id,
        headers: begin.headers.into_iter().map(|field| (field.name, field.value)).collect(),
        body: begin.body,
        body_rest: begin.body_follows.then_some(body_request),
    }
}
