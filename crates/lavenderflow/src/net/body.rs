//! Bodies that are passed on in parts.

use bytes::Bytes;
use tokio::sync::{mpsc, oneshot};

/// Parts that can wait in a channel; with parts of up to 64 KB this bounds the memory of a body.
pub const CHANNEL_PARTS: usize = 2;

/// A part of a request body. A channel that closes without `End` carries a broken body.
#[derive(Debug)]
pub enum BodyPart {
    /// Some bytes.
    Data(Bytes),
    /// The body is whole.
    End,
}

/// Asks the owner of a request body for its rest; parts go to the sender that is sent here.
pub type BodyRequest = oneshot::Sender<mpsc::Sender<BodyPart>>;

/// The answer's body broke off.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the answer broke off")]
pub struct CutError;

/// The parts of an answer's body. A channel that closes carries a whole body.
pub type AnswerParts = mpsc::Receiver<Result<Bytes, CutError>>;
