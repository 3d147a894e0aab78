//! How far the request that a connection carries has been written.

use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};

/// The body has not ended.
const OPEN: u8 = 0;
/// The body has ended; a part of it may still be buffered.
const ENDED: u8 = 1;
/// All bytes have been written to the socket.
const WRITTEN: u8 = 2;

/// State of a connection's current request, shared by its body, its connection and its stream.
#[derive(Clone, Debug)]
pub(super) struct RequestState(Arc<AtomicU8>);

impl RequestState {
    /// Returns the state of a connection without a request.
    pub(super) fn idle() -> Self {
        Self(Arc::new(AtomicU8::new(WRITTEN)))
    }

    /// Records that another request begins.
    pub(super) fn begin(&self) {
        self.0.store(OPEN, Ordering::Release);
    }

    /// Records that the body has no further part.
    pub(super) fn end(&self) {
        self.0.store(ENDED, Ordering::Release);
    }

    /// Records that nothing is buffered.
    pub(super) fn flush(&self) {
        // Fails unless the body has ended: more of it will be buffered then.
        let _ = self.0.compare_exchange(ENDED, WRITTEN, Ordering::AcqRel, Ordering::Acquire);
    }

    /// Returns whether the whole request has been written.
    pub(super) fn is_written(&self) -> bool {
        self.0.load(Ordering::Acquire) == WRITTEN
    }
}
