//! Limits what an upstream may send without completing a head or a part of a body, and tells the
//! end of its responses from a broken connection.
//!
//! `hyper` limits the size of a head, but skips informational responses and reads the size of a
//! chunk without a limit. An upstream that sends either without end would keep the thread busy
//! until the deadline. While memory is short, a connection reads little at a time.
//!
//! The end of a connection may be the end of a response. It is not if the upstream has not received
//! the whole request: it has given up then, and the kernel would report a reset if the upstream had
//! closed its socket a moment later.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use lavenderflow_core::memory::Budget;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::request_state::RequestState;

/// Most bytes without progress: more than `hyper` buffers of a head or of a body that is not read.
const MAX_BYTES: usize = 512 * 1024;

/// Memory that must be free for reads of any size.
const MAX_READ_BYTES: u64 = 64 * 1024;
/// Largest read otherwise.
const SMALL_READ_BYTES: usize = 8 * 1024;

/// Records progress on a connection, which renews the limit.
#[derive(Clone, Debug)]
pub(super) struct Progress(Arc<AtomicUsize>);

impl Progress {
    /// Renews the limit.
    pub(super) fn record(&self) {
        self.0.store(MAX_BYTES, Ordering::Relaxed);
    }
}

/// A stream that fails once it has read too many bytes without progress.
#[derive(Debug)]
pub(super) struct LimitedStream {
    stream: TcpStream,
    remaining: Arc<AtomicUsize>,
    budget: Budget,
    state: RequestState,
}

/// Wraps a stream; returns the wrapper and the handle that renews its limit. The wrapper records in
/// `state` when a request has been written.
pub(super) fn limit(
    stream: TcpStream,
    budget: Budget,
    state: RequestState,
) -> (LimitedStream, Progress) {
    let remaining = Arc::new(AtomicUsize::new(MAX_BYTES));
    let limited = LimitedStream { stream, remaining: Arc::clone(&remaining), budget, state };
    (limited, Progress(remaining))
}

impl LimitedStream {
    /// Returns an error if the upstream closed the connection before it had received the request.
    fn check_end(&self) -> io::Result<()> {
        if !self.state.is_written() {
            let fault = "the connection was closed before the request was written";
            return Err(io::Error::new(io::ErrorKind::ConnectionReset, fault));
        }
        // A read does not report a reset that follows the end of the stream.
        self.stream.take_error()?.map_or(Ok(()), Err)
    }

    fn poll_small(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let length = buffer.remaining().min(SMALL_READ_BYTES);
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(length));
        let polled = Pin::new(&mut self.stream).poll_read(context, &mut part);
        let read = part.filled().len();
        buffer.advance(read);
        polled
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let remaining = self.remaining.load(Ordering::Relaxed);
        if remaining == 0 {
            let fault = "too many bytes without a head or a part of the body";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, fault)));
        }
        let before = buffer.filled().len();
        let polled = if self.budget.has_room(MAX_READ_BYTES) {
            Pin::new(&mut self.stream).poll_read(context, buffer)
        } else {
            self.poll_small(context, buffer)
        };
        let read = buffer.filled().len() - before;
        self.remaining.store(remaining.saturating_sub(read), Ordering::Relaxed);
        if read == 0 && buffer.remaining() > 0 && matches!(polled, Poll::Ready(Ok(()))) {
            self.check_end()?;
        }
        polled
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(context);
        if matches!(flushed, Poll::Ready(Ok(()))) {
            self.state.flush();
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
