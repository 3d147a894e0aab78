//! Inspects the headers of requests as received, before `hyper` normalizes them.
//!
//! `hyper` drops the content length of a request that also has a transfer encoding. Two servers
//! can disagree on where such a request ends (request smuggling), so it must be refused, which
//! needs the bytes as received. They are scanned as they arrive, and not kept.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use lavenderflow_core::progress::Progress;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::prelude::*;

/// The longer of the two names that are looked for, with its colon.
const MAX_NAME_BYTES: usize = "transfer-encoding:".len();

/// Marks a request that has both a content length and a transfer encoding.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AmbiguousLength;

/// Records the progress of a connection.
#[derive(Clone, Debug)]
pub struct ProgressRecorder {
    /// The record.
    pub progress: Arc<Progress>,
    /// The clock.
    pub clock: SharedClock,
}

/// Finds out whether a head has both a content length and a transfer encoding.
#[derive(Debug, Default)]
struct HeadScanner {
    // The first bytes of the current line.
    line: [u8; MAX_NAME_BYTES],
    line_bytes: usize,
    has_request_line: bool,
    has_length: bool,
    has_encoding: bool,
    is_complete: bool,
}

impl HeadScanner {
    fn scan(&mut self, bytes: &[u8]) {
        for byte in bytes {
            if self.is_complete {
                return;
            }
            match byte {
                b'\n' => self.end_line(),
                b'\r' => {}
                _ => {
                    if let Some(place) = self.line.get_mut(self.line_bytes) {
                        *place = byte.to_ascii_lowercase();
                    }
                    self.line_bytes = self.line_bytes.saturating_add(1);
                }
            }
        }
    }

    fn end_line(&mut self) {
        if self.line_bytes == 0 {
            // Empty lines before the request line do not end the head.
            self.is_complete = self.has_request_line;
        } else if self.has_request_line {
            let start = &self.line[..self.line_bytes.min(MAX_NAME_BYTES)];
            self.has_length |= start.starts_with(b"content-length:");
            self.has_encoding |= start.starts_with(b"transfer-encoding:");
        } else {
            self.has_request_line = true;
        }
        self.line_bytes = 0;
    }
}

/// A stream that scans the first head that is read after each response.
#[derive(Debug)]
pub struct RecordingStream<S> {
    stream: S,
    scanner: HeadScanner,
    is_ambiguous: Arc<AtomicBool>,
    recorder: Option<ProgressRecorder>,
}

/// What a stream found in the heads of requests.
#[derive(Debug)]
pub struct RequestHeads(Arc<AtomicBool>);

/// Wraps a stream; returns the wrapper and what it finds in the heads that it reads.
pub fn record<S>(
    stream: S,
    recorder: Option<ProgressRecorder>,
) -> (RecordingStream<S>, RequestHeads) {
    let is_ambiguous = Arc::new(AtomicBool::new(false));
    let heads = RequestHeads(Arc::clone(&is_ambiguous));
    (RecordingStream { stream, scanner: HeadScanner::default(), is_ambiguous, recorder }, heads)
}

impl RequestHeads {
    /// Returns whether the last head has both a content length and a transfer encoding.
    ///
    /// A request that was pipelined, before the response to the previous one, is not recognized.
    pub fn is_ambiguous(&self) -> bool {
        self.0.load(Ordering::Acquire)
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
        if read.is_empty() {
            return polled;
        }
        if let Some(ProgressRecorder { progress, clock }) = &self.recorder {
            progress.receive(read.len(), clock.now());
        }
        if !self.scanner.is_complete {
            self.scanner.scan(read);
            let HeadScanner { has_length, has_encoding, is_complete, .. } = self.scanner;
            self.is_ambiguous.store(is_complete && has_length && has_encoding, Ordering::Release);
        }
        polled
    }
}

impl<S: AsyncWrite + Unpin> RecordingStream<S> {
    /// Records a write, after which the next request begins.
    fn record_write(&mut self, polled: &Poll<io::Result<usize>>) {
        if let Some(ProgressRecorder { progress, clock }) = &self.recorder {
            let bytes = match polled {
                Poll::Pending => None,
                Poll::Ready(written) => Some(*written.as_ref().unwrap_or(&0)),
            };
            progress.send(bytes, clock.now());
        }
        if self.scanner.has_request_line {
            self.scanner = HeadScanner::default();
            self.is_ambiguous.store(false, Ordering::Release);
        }
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for RecordingStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_write(&polled);
        polled
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.record_write(&polled);
        polled
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
