//! Responses to callers.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{HeaderName, HeaderValue};
use hyper::{Response, StatusCode};
use lavenderflow_core::memory::{HeldKind, Share};
use lavenderflow_schema::dialect::{Completion, Dialect};

use super::admission::CallerConnection;
use super::header;
use super::unanswered::PendingAnswer;
use crate::net::body::{BODY_CHANNEL_CAPACITY, ResponseParts, TruncatedResponse};
use crate::net::drive::{Reply, ReplyBody};
use crate::work::WorkGuard;

/// Memory of a response that is streamed: the window of its stream, the parts in its channel, and
/// those that are decoded and written, of 64 KB each.
const STREAMED_BYTES: u64 = 256 * 1024 + (BODY_CHANNEL_CAPACITY as u64 + 2) * 64 * 1024;

/// The body of a response to a caller.
///
/// A truncated body ends with an error, which closes the connection in the middle of the response.
/// The caller thus never takes a truncated response for a complete one.
#[derive(Debug)]
pub struct ResponseBody {
    first: Option<Bytes>,
    parts: Option<ResponseParts>,
    delivery: Delivery,
}

/// What lasts until the body of a response has been sent.
#[derive(Debug)]
pub struct Delivery {
    // Gone once the response is complete.
    pending: Option<PendingAnswer>,
    connection: Option<CallerConnection>,
    // Accounts for the body.
    _share: Option<Share>,
    // Makes a graceful stop wait until the body has been sent.
    _guard: WorkGuard,
}

impl Delivery {
    /// Accounts for a response to a connection.
    pub fn new(
        connection: Option<CallerConnection>,
        reply: &Reply,
        pending: PendingAnswer,
        guard: WorkGuard,
    ) -> Self {
        let bytes = match &reply.body {
            ReplyBody::Buffered(body) => body.len() as u64,
            ReplyBody::Streamed(..) => STREAMED_BYTES,
        };
        let held = connection.as_ref().filter(|_| bytes > 0);
        let share = held.map(|connection| connection.hold(HeldKind::Response, bytes));
        Self { pending: Some(pending), connection, _share: share, _guard: guard }
    }

    /// Records a part of the body, or its end, on its way to the connection.
    fn record(&mut self, part: Option<&Result<Bytes, TruncatedResponse>>, is_end: bool) {
        match (&mut self.pending, part) {
            (Some(pending), Some(Ok(part))) => pending.record_sent(part.len()),
            (Some(pending), Some(Err(_))) => pending.truncate(),
            _ => {}
        }
        if is_end && let Some(pending) = self.pending.take() {
            pending.complete();
        }
    }
}

impl Drop for Delivery {
    fn drop(&mut self) {
        if let Some(connection) = &self.connection {
            connection.finish_response();
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = TruncatedResponse;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedResponse>>> {
        if let Some(first) = self.first.take().filter(|first| !first.is_empty()) {
            let is_end = self.parts.is_none();
            self.delivery.record(Some(&Ok(first.clone())), is_end);
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        let Some(parts) = &mut self.parts else { return Poll::Ready(None) };
        let polled = parts.poll_recv(context);
        if let Poll::Ready(part) = &polled {
            self.delivery.record(part.as_ref(), part.is_none());
        }
        polled.map(|part| part.map(|part| part.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        self.parts.is_none() && self.first.as_ref().is_none_or(Bytes::is_empty)
    }

    fn size_hint(&self) -> SizeHint {
        match (&self.first, &self.parts) {
            (first, None) => SizeHint::with_exact(first.as_ref().map_or(0, |f| f.len() as u64)),
            _ => SizeHint::default(),
        }
    }
}

/// Builds the response to a caller.
pub fn build_response(
    reply: Reply,
    completion: &Completion,
    dialect: &dyn Dialect,
    delivery: Delivery,
) -> Response<ResponseBody> {
    let (first, parts) = match reply.body {
        ReplyBody::Buffered(body) => (body, None),
        ReplyBody::Streamed(first, parts) => (first, Some(parts)),
    };
    let status = if reply.relayed {
        reply.status
    } else {
        dialect.response_status(reply.outcome, reply.reason)
    };
    let mut delivery = delivery;
    // The connection does not ask for a body that is empty.
    delivery.record(None, first.is_empty() && parts.is_none());
    let body = ResponseBody { first: Some(first), parts, delivery };
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut reply_headers = reply.headers;
    reply_headers.retain(|(name, _)| !header::is_hop_by_hop(name));
    dialect.set_response_headers(&mut reply_headers, completion);
    let headers = response.headers_mut();
    for (name, value) in reply_headers {
        match (name.parse::<HeaderName>(), HeaderValue::from_bytes(value.as_bytes())) {
            (Ok(name), Ok(value)) => {
                headers.append(name, value);
            }
            _ => log::warn!("event=field-dropped request={} field={name:?}", completion.id),
        }
    }
    response
}
