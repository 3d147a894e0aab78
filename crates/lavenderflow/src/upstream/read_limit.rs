//! Limits what an upstream may send without completing a head or a part of a body.
//!
//! `hyper` limits the size of a head, but skips informational responses and reads the size of a
//! chunk without a limit. An upstream that sends either without end would keep the thread busy
//! until the deadline.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Most bytes without progress: more than `hyper` buffers of a head or of a body that is not read.
const MAX_BYTES: usize = 512 * 1024;

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
}

/// Wraps a stream; returns the wrapper and the handle that renews its limit.
pub(super) fn limit<S>(stream: S) -> (LimitedStream<S>, Progress) {
    let remaining = Arc::new(AtomicUsize::new(MAX_BYTES));
    (LimitedStream { stream, remaining: Arc::clone(&remaining) }, Progress(remaining))
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
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
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
