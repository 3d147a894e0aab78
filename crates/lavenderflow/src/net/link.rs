//! Links that carry frames over a QUIC stream, or over channels when both ends are in one process.

use bytes::{BufMut, Bytes, BytesMut};
use lavenderflow_core::memory::{OverLimit, Share};
use lavenderflow_schema::wire::{Frame, frame::Body};
use prost::Message as _;
use quinn::{ConnectionError, RecvStream, SendStream, StoppedError, VarInt, WriteError};
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};

use super::frame_reader::FrameReader;
use crate::prelude::Duration;

/// Size limit of a frame.
pub const MAX_FRAME_BYTES: usize = 1024 * 1024;
/// Size of the length prefix of each frame.
pub(super) const LENGTH_PREFIX_BYTES: usize = 4;
/// Frames that a link within a process buffers.
const LOCAL_FRAME_CAPACITY: usize = 2;
/// Time within which a peer must have received the end of a link: that after which a connection
/// without a packet is lost.
const END_TIMEOUT: Duration = Duration::from_secs(6);
/// QUIC error code of an aborted stream.
const ABORTED_CODE: VarInt = VarInt::from_u32(1);

/// Why a link failed.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// The peer closed the link in the middle of a message or a body.
    #[error("the link was closed")]
    Closed,
    /// The frame is too large.
    #[error("frame of {0} bytes exceeds the size limit")]
    TooLarge(usize),
    /// There is no memory for the frame.
    #[error(transparent)]
    Memory(#[from] OverLimit),
    /// The frame cannot be decoded.
    #[error("malformed frame: {0}")]
    Malformed(#[from] prost::DecodeError),
    /// The frame is not allowed at this point of the exchange.
    #[error("unexpected frame")]
    Unexpected,
    /// The receiver has not read the frame in time.
    #[error("the frame was not read in time")]
    Unread,
    /// The stream was reset or the connection was lost.
    #[error("read failed: {0}")]
    Read(#[from] quinn::ReadError),
    /// The stream was stopped or the connection was lost.
    #[error("write failed: {0}")]
    Write(#[from] WriteError),
}

/// Why the receiver of a link no longer reads.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkEnd {
    /// The receiver closed the link, or has received all of it.
    Closed,
    /// The receiver closed the connection, as it does to a node that it considers gone.
    ConnectionClosed,
    /// The connection was lost.
    ConnectionLost,
    /// This node closed the connection, since it ends.
    NodeEnded,
}

impl From<StoppedError> for LinkEnd {
    fn from(error: StoppedError) -> Self {
        match error {
            StoppedError::ConnectionLost(ConnectionError::LocallyClosed) => Self::NodeEnded,
            StoppedError::ConnectionLost(
                ConnectionError::ApplicationClosed(_) | ConnectionError::ConnectionClosed(_),
            ) => Self::ConnectionClosed,
            _ => Self::ConnectionLost,
        }
    }
}

/// Sends frames.
#[derive(Debug)]
pub enum FrameSink {
    /// To another process.
    Quic(SendStream),
    /// Within the process.
    Local(mpsc::Sender<Body>),
}

/// Receives frames.
#[derive(Debug)]
pub enum FrameSource {
    /// From another process.
    Quic(FrameReader),
    /// From another process that opened the stream; what has arrived of a frame, and an exchange
    /// until the end of its stream, count against the budget of its connection.
    Accepted(FrameReader, Share),
    /// Within the process.
    Local(mpsc::Receiver<Body>),
}

/// Creates both ends of a link within the process.
pub fn local_pair() -> ((FrameSink, FrameSource), (FrameSink, FrameSource)) {
    let (first_sink, second_source) = mpsc::channel(LOCAL_FRAME_CAPACITY);
    let (second_sink, first_source) = mpsc::channel(LOCAL_FRAME_CAPACITY);
    let first = (FrameSink::Local(first_sink), FrameSource::Local(first_source));
    (first, (FrameSink::Local(second_sink), FrameSource::Local(second_source)))
}

impl FrameSink {
    /// Sends a frame; waits while the buffer of the link is full.
    ///
    /// # Errors
    ///
    /// The receiver is gone or the frame is too large.
    pub async fn send(&mut self, body: Body) -> Result<(), LinkError> {
        match self {
            Self::Quic(stream) => {
                let bytes = encode_frame(body)?;
                Ok(stream.write_chunk(bytes).await?)
            }
            Self::Local(channel) => channel.send(body).await.map_err(|_| LinkError::Closed),
        }
    }

    /// Closes the link and waits until the peer has received everything.
    pub async fn finish(self) {
        if let Self::Quic(mut stream) = self
            && stream.finish().is_ok()
        {
            let _ = stream.stopped().await;
        }
    }

    /// Sends the last frame and closes the link; aborts it when the peer has not received everything
    /// by the deadline, or within [`END_TIMEOUT`] if that is later.
    ///
    /// # Errors
    ///
    /// The receiver is gone or does not read, or the frame is too large.
    pub async fn send_last(mut self, body: Body, deadline: Instant) -> Result<(), LinkError> {
        let deadline = deadline.max(Instant::now() + END_TIMEOUT);
        let sent = timeout_at(deadline, self.send(body)).await;
        if let Err(fault) = sent.unwrap_or(Err(LinkError::Unread)) {
            self.reset();
            return Err(fault);
        }
        if let Self::Quic(stream) = &mut self
            && stream.finish().is_ok()
            && timeout_at(deadline, stream.stopped()).await.is_err()
        {
            self.reset();
            return Err(LinkError::Unread);
        }
        Ok(())
    }

    /// Aborts the link, so that the peer sees an error.
    pub fn reset(self) {
        if let Self::Quic(mut stream) = self {
            let _ = stream.reset(ABORTED_CODE);
        }
    }

    /// Completes when the receiver has stopped reading, and returns why.
    pub async fn closed(&self) -> LinkEnd {
        match self {
            Self::Quic(stream) => match stream.stopped().await {
                Ok(_) => LinkEnd::Closed,
                Err(error) => error.into(),
            },
            Self::Local(channel) => {
                channel.closed().await;
                LinkEnd::Closed
            }
        }
    }
}

impl From<RecvStream> for FrameSource {
    fn from(stream: RecvStream) -> Self {
        Self::Quic(stream.into())
    }
}

impl FrameSource {
    /// Receives the next frame; `None` at the end of the link. Cancelling it loses nothing.
    ///
    /// # Errors
    ///
    /// The frame is malformed or the link failed.
    pub async fn receive(&mut self) -> Result<Option<Body>, LinkError> {
        match self {
            Self::Quic(reader) => reader.read(None).await,
            Self::Accepted(reader, share) => {
                share.resize(0)?;
                let body = reader.read(Some(share)).await?;
                if !matches!(body, Some(Body::Exchange(_))) {
                    share.resize(0)?;
                }
                Ok(body)
            }
            Self::Local(channel) => Ok(channel.recv().await),
        }
    }
}

fn encode_frame(body: Body) -> Result<Bytes, LinkError> {
    let frame = Frame { body: Some(body) };
    let length = frame.encoded_len();
    if length > MAX_FRAME_BYTES {
        return Err(LinkError::TooLarge(length));
    }
    let mut bytes = BytesMut::with_capacity(LENGTH_PREFIX_BYTES + length);
    // The length is at most MAX_FRAME_BYTES.
    bytes.put_u32(length as u32);
    frame.encode_raw(&mut bytes);
    Ok(bytes.freeze())
}
