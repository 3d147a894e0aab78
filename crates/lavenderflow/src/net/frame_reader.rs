//! Reads frames from a stream of another process.

use bytes::{Buf, BytesMut};
use lavenderflow_core::memory::Share;
use lavenderflow_schema::layouts::FRAME;
use lavenderflow_schema::wire::{Frame, frame::Body};
use prost::Message as _;
use quinn::RecvStream;

use super::link::{LENGTH_PREFIX_BYTES, LinkError, MAX_FRAME_BYTES};

/// Size limit of a frame once it is decoded.
const MAX_DECODED_BYTES: usize = 8 * MAX_FRAME_BYTES;

/// Reads frames. A read may be cancelled: the next one goes on with what has arrived.
#[derive(Debug)]
pub struct FrameReader {
    stream: RecvStream,
    // What has arrived of the next frame, with its length prefix.
    partial: BytesMut,
}

impl From<RecvStream> for FrameReader {
    fn from(stream: RecvStream) -> Self {
        Self { stream, partial: BytesMut::new() }
    }
}

impl FrameReader {
    /// Reads the next frame; `None` at the end of the stream. `share` accounts for it.
    ///
    /// # Errors
    ///
    /// The frame is malformed or too large, or the stream failed.
    pub(super) async fn read(
        &mut self,
        mut share: Option<&mut Share>,
    ) -> Result<Option<Body>, LinkError> {
        if !self.fill(LENGTH_PREFIX_BYTES).await? {
            return if self.partial.is_empty() { Ok(None) } else { Err(LinkError::Closed) };
        }
        let length = self.partial.as_ref().get_u32() as usize;
        if length > MAX_FRAME_BYTES {
            return Err(LinkError::TooLarge(length));
        }
        if let Some(share) = &mut share {
            share.resize(length as u64)?;
        }
        if !self.fill(LENGTH_PREFIX_BYTES + length).await? {
            return Err(LinkError::Closed);
        }
        let mut bytes = std::mem::take(&mut self.partial);
        bytes.advance(LENGTH_PREFIX_BYTES);
        let decoded = FRAME.decoded_size(&bytes).ok_or(LinkError::Unexpected)?;
        if decoded > MAX_DECODED_BYTES {
            return Err(LinkError::TooLarge(decoded));
        }
        if let Some(share) = share {
            share.resize((length + decoded) as u64)?;
        }
        let frame = Frame::decode(bytes.freeze())?;
        frame.body.map(Some).ok_or(LinkError::Unexpected)
    }

    /// Reads until so many bytes of the frame have arrived; returns whether they have, or the
    /// stream has ended before.
    async fn fill(&mut self, length: usize) -> Result<bool, LinkError> {
        self.partial.reserve(length.saturating_sub(self.partial.len()));
        while self.partial.len() < length {
            let missing = length - self.partial.len();
            match self.stream.read_chunk(missing, true).await? {
                Some(chunk) => self.partial.extend_from_slice(&chunk.bytes),
                None => return Ok(false),
            }
        }
        Ok(true)
    }
}
