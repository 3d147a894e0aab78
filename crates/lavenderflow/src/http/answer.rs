//! Answers to callers.

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

/// The body of an answer to a caller.
///
/// A body that breaks off is an error, upon which the connection is closed in the middle of the
/// answer, so it is never a short success.
#[derive(Debug)]
pub struct AnswerBody {
    first: Option<Bytes>,
    parts: Option<ResponseParts>,
    // A graceful stop waits for the whole answer.
    _piece: WorkGuard,
}

impl Body for AnswerBody {
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

/// Forms the answer to a caller.
pub fn form(
    reply: Reply,
    completion: &Completion,
    dialect: &dyn Dialect,
    piece: WorkGuard,
) -> Response<AnswerBody> {
    let (first, parts) = match reply.body {
        ReplyBody::Buffered(body) => (body, None),
        ReplyBody::Streamed(first, parts) => (first, Some(parts)),
    };
    let status = if reply.relayed {
        reply.status
    } else {
        dialect.response_status(reply.outcome, reply.reason)
    };
    let body = AnswerBody { first: Some(first), parts, _piece: piece };
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut fields = reply.headers;
    fields.retain(|(name, _)| !header::is_hop_by_hop(name));
    dialect.set_response_headers(&mut fields, completion);
    let headers = response.headers_mut();
    for (name, value) in fields {
        match (name.parse::<HeaderName>(), HeaderValue::from_bytes(value.as_bytes())) {
            (Ok(name), Ok(value)) => {
                headers.append(name, value);
            }
            _ => log::warn!("event=field-dropped request={} field={name:?}", completion.id),
        }
    }
    response
}
