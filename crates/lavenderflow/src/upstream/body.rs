//! Bodies of requests to upstreams.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

use super::request_state::RequestState;
use crate::net::body::BodyPart;

/// The request body ended early.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the request body was truncated")]
pub struct TruncatedBody;

/// Records whether a body was truncated, after ownership of the body has passed to hyper.
#[derive(Clone, Debug, Default)]
pub struct TruncationFlag(Arc<AtomicBool>);

impl TruncationFlag {
    /// Returns whether the body was truncated.
    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// A body made of its first part and the channel with the rest.
#[derive(Debug)]
pub struct CallBody {
    first: Bytes,
    rest: Option<mpsc::Receiver<BodyPart>>,
    remaining_bytes: Option<u64>,
    truncation: TruncationFlag,
    state: Option<RequestState>,
}

impl CallBody {
    /// Creates a body; `length` is its declared length in bytes.
    pub fn new(
        first: Bytes,
        rest: Option<mpsc::Receiver<BodyPart>>,
        length: Option<u64>,
    ) -> (Self, TruncationFlag) {
        let truncation = TruncationFlag::default();
        let body = Self {
            first,
            rest,
            remaining_bytes: length,
            truncation: truncation.clone(),
            state: None,
        };
        (body, truncation)
    }

    /// Makes the body record in `state` when it has ended.
    pub(super) fn track(&mut self, state: RequestState) {
        self.state = Some(state);
        self.record_end();
    }

    fn count(&mut self, data: &Bytes) {
        self.remaining_bytes =
            self.remaining_bytes.map(|bytes| bytes.saturating_sub(data.len() as u64));
        self.record_end();
    }

    /// Records the end if there is no further part. A body with a length is not read up to its end.
    fn record_end(&self) {
        let has_ended = self.remaining_bytes == Some(0) || self.is_end_stream();
        if let Some(state) = self.state.as_ref().filter(|_| has_ended) {
            state.end();
        }
    }
}

impl Body for CallBody {
    type Data = Bytes;
    type Error = TruncatedBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedBody>>> {
        if !self.first.is_empty() {
            let first = std::mem::take(&mut self.first);
            self.count(&first);
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        let Some(rest) = &mut self.rest else { return Poll::Ready(None) };
        match rest.poll_recv(context) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(BodyPart::Data(data))) => {
                self.count(&data);
                Poll::Ready(Some(Ok(Frame::data(data))))
            }
            Poll::Ready(Some(BodyPart::End)) => {
                self.rest = None;
                self.record_end();
                Poll::Ready(None)
            }
            Poll::Ready(None) => {
                self.rest = None;
                self.truncation.0.store(true, Ordering::Release);
                Poll::Ready(Some(Err(TruncatedBody)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.first.is_empty() && self.rest.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        match (&self.rest, self.remaining_bytes) {
            (_, Some(bytes)) => SizeHint::with_exact(bytes),
            (None, None) => SizeHint::with_exact(self.first.len() as u64),
            (Some(_), None) => SizeHint::default(),
        }
    }
}
