//! Limits what an upstream may send without completing a head or a part of a body.
//!
//! `hyper` limits the size of a head, but skips informational responses and reads the size of a
//! chunk without a limit. An upstream that sends either without end would keep the thread busy
//! until the deadline. While memory is short, a connection reads little at a time.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use lavenderflow_core::memory::Budget;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

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
pub(super) struct LimitedStream<S> {
    stream: S,
    remaining: Arc<AtomicUsize>,
    budget: Budget,
}

/// Wraps a stream; returns the wrapper and the handle that renews its limit.
pub(super) fn limit<S>(stream: S, budget: Budget) -> (LimitedStream<S>, Progress) {
    let remaining = Arc::new(AtomicUsize::new(MAX_BYTES));
    (LimitedStream { stream, remaining: Arc::clone(&remaining), budget }, Progress(remaining))
}

impl<S: AsyncRead + Unpin> LimitedStream<S> {
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

impl<S: AsyncRead + Unpin> AsyncRead for LimitedStream<S> {
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
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for LimitedStream<S> {
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
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
