//! Counts the unfinished work that a graceful stop waits for.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Counts unfinished work; clones share one count.
///
/// # Examples
///
/// ```
/// use lavenderflow::work::Work;
///
/// let work = Work::default();
/// let piece = work.begin();
/// assert_eq!(work.unfinished(), 1);
/// drop(piece);
/// assert_eq!(work.unfinished(), 0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Work(Arc<AtomicUsize>);

/// Represents one unit of unfinished work, which finishes when the guard is dropped.
#[derive(Debug)]
pub struct Piece(Arc<AtomicUsize>);

impl Work {
    /// Begins a unit of work.
    pub fn begin(&self) -> Piece {
        self.0.fetch_add(1, Ordering::AcqRel);
        Piece(Arc::clone(&self.0))
    }

    /// Returns the number of unfinished units.
    pub fn unfinished(&self) -> usize {
        self.0.load(Ordering::Acquire)
    }
}

impl Drop for Piece {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}
