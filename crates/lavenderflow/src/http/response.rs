//! Responses to callers.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{HeaderName, HeaderValue};
use hyper::{Response, StatusCode};
use lavenderflow_schema::dialect::{Completion, Dialect};

use super::header;
use crate::net::body::{ResponseParts, TruncatedResponse};
use crate::net::drive::{Reply, ReplyBody};
use crate::work::WorkGuard;

/// The body of a response to a caller.
///
/// A truncated body ends with an error, which closes the connection in the middle of the response.
/// The caller thus never takes a truncated response for a complete one.
#[derive(Debug)]
pub struct ResponseBody {
    first: Option<Bytes>,
    parts: Option<ResponseParts>,
    // Makes a graceful stop wait until the body has been sent.
    _guard: WorkGuard,
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = TruncatedResponse;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedResponse>>> {
        if let Some(first) = self.first.take().filter(|first| !first.is_empty()) {
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        let Some(parts) = &mut self.parts else { return Poll::Ready(None) };
        parts.poll_recv(context).map(|part| part.map(|part| part.map(Frame::data)))
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
    guard: WorkGuard,
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
    let body = ResponseBody { first: Some(first), parts, _guard: guard };
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
