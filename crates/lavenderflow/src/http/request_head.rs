//! Inspects the headers of requests as received, before `hyper` normalizes them.
//!
//! `hyper` drops the content length of a request that also has a transfer encoding. Two servers
//! can disagree on where such a request ends (request smuggling), so it must be refused, which
//! needs the bytes as received.

use std::io;
use std::pin::Pin;
use std::sync::mpsc::{self, Receiver, Sender};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Bytes of a request's head that are kept.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Most headers that are parsed.
const MAX_HEADERS: usize = 128;

/// Marks a request that has both a content length and a transfer encoding.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AmbiguousLength;

#[derive(Debug)]
enum StreamEvent {
    Read(Vec<u8>),
    // A response was written, so the next request begins.
    Written,
}

/// A stream that records the first bytes read for each request.
#[derive(Debug)]
pub struct RecordingStream<S> {
    stream: S,
    events: Sender<StreamEvent>,
    remaining_bytes: usize,
}

/// The request heads that were read from a stream.
#[derive(Debug)]
pub struct RequestHeads {
    events: Receiver<StreamEvent>,
    head: Vec<u8>,
}

/// Wraps a stream; returns the wrapper and the request heads that it records.
pub fn record<S>(stream: S) -> (RecordingStream<S>, RequestHeads) {
    let (sender, events) = mpsc::channel();
    (
        RecordingStream { stream, events: sender, remaining_bytes: MAX_HEAD_BYTES },
        RequestHeads { events, head: Vec::new() },
    )
}

impl RequestHeads {
    /// Returns whether the last head has both a content length and a transfer encoding.
    ///
    /// A request that was pipelined, before the response to the previous one, is not recognized.
    pub fn is_ambiguous(&mut self) -> bool {
        while let Ok(event) = self.events.try_recv() {
            match event {
                StreamEvent::Read(bytes) => self.head.extend_from_slice(&bytes),
                StreamEvent::Written => self.head.clear(),
            }
        }
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut request = httparse::Request::new(&mut headers);
        let is_complete = request.parse(&self.head).is_ok_and(|status| status.is_complete());
        let has = |name: &str| request.headers.iter().any(|h| h.name.eq_ignore_ascii_case(name));
        is_complete && has("content-length") && has("transfer-encoding")
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for RecordingStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        let read = &buffer.filled()[before..];
        let kept = read.len().min(self.remaining_bytes);
        if kept > 0 {
            self.remaining_bytes -= kept;
            // The send fails if the connection is about to end.
            let _ = self.events.send(StreamEvent::Read(read[..kept].to_vec()));
        }
        polled
    }
}

impl<S: AsyncWrite + Unpin> RecordingStream<S> {
    fn record_write(&mut self) {
        if self.remaining_bytes < MAX_HEAD_BYTES {
            self.remaining_bytes = MAX_HEAD_BYTES;
            // The send fails if the connection is about to end.
            let _ = self.events.send(StreamEvent::Written);
        }
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for RecordingStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.record_write();
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.record_write();
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
