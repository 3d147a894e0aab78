//! Relays the responses of upstreams to the gate, as far as there is memory for them.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use lavenderflow_core::memory::{Budget, HeldKind, Share};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, timeout_at};

use super::pool::{MAX_BUFFER_BYTES, PooledConnection};
use super::{Call, CallEvent, CallFailure};
use crate::net::body::BODY_CHANNEL_CAPACITY;

/// Parts of one response on their way to the entry: those in the channel, the one that waits for
/// it, and the one that is being sent.
const MAX_PARTS: u32 = BODY_CHANNEL_CAPACITY as u32 + 2;
/// Copies of a part: the one on its way, and the one that the connection reads meanwhile.
const PART_COPIES: u64 = 2;

/// A part of a response body, which is accounted until it is dropped.
#[derive(Debug)]
pub struct ResponsePart {
    data: Bytes,
    share: Share,
    is_alone: bool,
    _permit: Option<OwnedSemaphorePermit>,
}

impl ResponsePart {
    /// Creates a part that `share` accounts for, of a response that has memory for others.
    pub fn new(data: Bytes, share: Share) -> Self {
        Self { data, share, is_alone: false, _permit: None }
    }

    /// Returns the length in bytes.
    pub fn len(&self) -> usize {
        self.data.len()
    }

    /// Returns whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.data.is_empty()
    }

    /// Takes the bytes, which are accounted as long as the part.
    pub fn take_data(&mut self) -> Bytes {
        std::mem::take(&mut self.data)
    }

    /// Returns whether there is no memory for another part of the response beside this one.
    pub fn is_alone(&self) -> bool {
        self.is_alone
    }

    /// Returns the account of bytes that have been copied; the next part may follow.
    pub fn into_share(self) -> Share {
        self.share
    }
}

/// Relays the response body. While no memory is free, one part at a time is on its way, so that
/// each response goes on as long as it is read.
pub(super) async fn relay(
    call: &Call,
    mut incoming: Incoming,
    connection: &PooledConnection,
    budget: &Budget,
    deadline: Instant,
) -> Result<(), CallFailure> {
    let parts = Arc::new(Semaphore::new(MAX_PARTS as usize));
    loop {
        let spare = budget.claim_spare(HeldKind::Run, PART_COPIES * MAX_BUFFER_BYTES as u64);
        let is_alone = spare.is_none();
        let count = if is_alone { MAX_PARTS } else { 1 };
        let permit = timeout_at(deadline, Arc::clone(&parts).acquire_many_owned(count)).await;
        // The semaphore is never closed.
        let Ok(Ok(permit)) = permit else { return Err(CallFailure::Unread) };
        let frame = timeout_at(deadline, incoming.frame()).await;
        connection.record_progress();
        let Some(frame) = frame.map_err(|_| CallFailure::Timeout)? else { return Ok(()) };
        // Trailers are dropped.
        let Ok(data) = frame?.into_data() else { continue };
        let bytes = PART_COPIES * data.len() as u64;
        drop(spare);
        let share = budget.hold(HeldKind::Run, bytes);
        let part =
            ResponsePart { is_alone, _permit: Some(permit), ..ResponsePart::new(data, share) };
        let sent = timeout_at(deadline, send(call, CallEvent::Data(part))).await;
        sent.map_err(|_| CallFailure::Unread)??;
    }
}

/// Reads and discards a body; returns whether it was complete.
pub(super) async fn drain(mut incoming: Incoming, deadline: Instant) -> bool {
    loop {
        match timeout_at(deadline, incoming.frame()).await {
            Ok(None) => return true,
            Ok(Some(Ok(_))) => {}
            Ok(Some(Err(_))) | Err(_) => return false,
        }
    }
}

pub(super) async fn send(call: &Call, event: CallEvent) -> Result<(), CallFailure> {
    call.events.send(event).await.map_err(|_| CallFailure::Unwanted)
}
