//! Answers to callers.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{HeaderName, HeaderValue};
use hyper::{Response, StatusCode};

use super::header;
use crate::net::body::{AnswerParts, CutError};
use crate::net::drive::{Reply, ReplyBody};
use crate::work::Piece;

/// The body of an answer to a caller.
///
/// A body that breaks off is an error, upon which the connection is closed in the middle of the
/// answer, so it is never a short success.
#[derive(Debug)]
pub struct AnswerBody {
    first: Option<Bytes>,
    parts: Option<AnswerParts>,
    // A graceful stop waits for the whole answer.
    _piece: Piece,
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = CutError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, CutError>>> {
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

/// Forms the answer to a caller; `extra` fields are the node's own.
pub fn form(reply: Reply, extra: &[(&str, String)], piece: Piece) -> Response<AnswerBody> {
    let (first, parts) = match reply.body {
        ReplyBody::Whole(body) => (body, None),
        ReplyBody::Parts(first, parts) => (first, Some(parts)),
    };
    let body = AnswerBody { first: Some(first), parts, _piece: piece };
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    // An upstream does not speak for the proxy.
    let own = [header::OUTCOME, header::REASON, header::TICKET, header::REQUEST_ID];
    let passed = reply.headers.iter().filter(|(name, _)| {
        !header::is_hop_by_hop(name) && !own.iter().any(|own| own.eq_ignore_ascii_case(name))
    });
    for (name, value) in passed {
        if let (Ok(name), Ok(value)) = (name.parse::<HeaderName>(), HeaderValue::from_str(value)) {
            headers.append(name, value);
        }
    }
    let mut fields = extra.to_vec();
    fields.push((header::OUTCOME, reply.outcome.name().to_owned()));
    fields.push((header::REASON, reply.reason.name().to_owned()));
    fields.extend(reply.ticket.map(|ticket| (header::TICKET, ticket.to_string())));
    for (name, value) in fields {
        if let (Ok(name), Ok(value)) = (name.parse::<HeaderName>(), HeaderValue::from_str(&value)) {
            headers.insert(name, value);
        }
    }
    response
}
