//! Counts the unfinished work that a graceful stop waits for.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Counts unfinished work; clones share one count.
///
/// # Examples
///
/// ```
/// use lavenderflow::work::WorkTracker;
///
/// let work = WorkTracker::default();
/// let guard = work.begin();
/// assert_eq!(work.unfinished(), 1);
/// drop(guard);
/// assert_eq!(work.unfinished(), 0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct WorkTracker(Arc<AtomicUsize>);

/// Represents one unit of unfinished work, which finishes when the guard is dropped.
#[derive(Debug)]
pub struct WorkGuard(Arc<AtomicUsize>);

impl WorkTracker {
    /// Begins a unit of work.
    pub fn begin(&self) -> WorkGuard {
        self.0.fetch_add(1, Ordering::AcqRel);
        WorkGuard(Arc::clone(&self.0))
    }

    /// Returns the number of unfinished units.
    pub fn unfinished(&self) -> usize {
        self.0.load(Ordering::Acquire)
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}
