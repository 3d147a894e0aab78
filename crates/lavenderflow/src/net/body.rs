//! Channels that stream request and response bodies in parts.

use bytes::Bytes;
use tokio::sync::{mpsc, oneshot};

/// Parts that a channel buffers. With parts of up to 64 KB this bounds the memory of one body.
pub const BODY_CHANNEL_CAPACITY: usize = 2;

/// A part of a request body. A channel that closes without `End` carries a truncated body.
#[derive(Debug)]
pub enum BodyPart {
    /// The next bytes.
    Data(Bytes),
    /// The body is complete.
    End,
}

/// Requests the rest of a request body from its owner, which sends the parts to the given sender.
pub type BodyRequest = oneshot::Sender<mpsc::Sender<BodyPart>>;

/// The response body ended early.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the response body was truncated")]
pub struct TruncatedResponse;

/// The parts of a response body. The body is complete when the channel closes without an error.
pub type ResponseParts = mpsc::Receiver<Result<Bytes, TruncatedResponse>>;
