//! Detects attempts that a gate has received before.

use std::collections::BTreeSet;

use crate::prelude::*;

/// Most serial numbers that are kept per incarnation of an entry.
const MAX_SERIALS: usize = 1024;
/// Most incarnations of entries that are kept.
const MAX_SENDERS: usize = 8192;

#[derive(Debug, Default)]
struct SeenSerials {
    highest_evicted: Serial,
    serials: BTreeSet<Serial>,
}

/// Accepts each attempt at most once.
///
/// While a sender is kept, serial numbers below its kept ones count as seen, so a duplicate is not
/// accepted, however long it is delayed.
///
/// # Examples
///
/// ```
/// use lavenderflow_core::{id::AttemptId, window::ReplayWindow};
///
/// let mut window = ReplayWindow::default();
/// let attempt = AttemptId { node: 1, incarnation: 2, serial: 3 };
/// assert!(window.accept(attempt));
/// assert!(!window.accept(attempt));
/// ```
#[derive(Debug, Default)]
pub struct ReplayWindow {
    senders: IndexMap<(NodeId, Incarnation), SeenSerials>,
}

impl ReplayWindow {
    /// Accepts the attempt, or returns false when it may have been seen before.
    pub fn accept(&mut self, attempt: AttemptId) -> bool {
        let key = (attempt.node, attempt.incarnation);
        if !self.senders.contains_key(&key) && self.senders.len() >= MAX_SENDERS {
            self.senders.shift_remove_index(0);
        }
        let seen = self.senders.entry(key).or_default();
        if attempt.serial <= seen.highest_evicted || !seen.serials.insert(attempt.serial) {
            return false;
        }
        if seen.serials.len() > MAX_SERIALS
            && let Some(oldest) = seen.serials.pop_first()
        {
            seen.highest_evicted = oldest;
        }
        true
    }
}
