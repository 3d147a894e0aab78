//! The subset of a service's gates that one entry sends requests to.
//!
//! With hundreds of gates, an entry that used all of them would keep a connection to each and would
//! know little of any of them, since its reports on each would be rare and old. Each entry prefers
//! the gates in an order of its own (rendezvous hashing), so that the load is spread and every gate
//! is in the subsets of several entries.

use std::cmp::Reverse;

use crate::id::hash;
use crate::prelude::*;

/// Least number of gates in the entry's own zone. The other zones together count half as many.
pub const MIN_GATES: usize = 12;
/// Number by which a subset grows when its gates are full or gray.
const GROWTH_STEP: usize = 4;
/// Greatest number of gates in the entry's own zone.
const MAX_GATES: usize = 256;
/// Time without growth after which a subset shrinks by one step.
const SHRINK_INTERVAL: Duration = Duration::from_secs(5);

/// The size of an entry's subset, which follows the demand.
#[derive(Clone, Copy, Debug)]
pub struct SubsetSize {
    gates: usize,
    changed_at: Option<Instant>,
}

impl Default for SubsetSize {
    fn default() -> Self {
        Self { gates: MIN_GATES, changed_at: None }
    }
}

impl SubsetSize {
    /// Grows by a step, because the gates in the subset refused a request.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    ///
    /// use lavenderflow_core::subset::{MIN_GATES, SubsetSize};
    ///
    /// let now = Instant::now();
    /// let mut size = SubsetSize::default();
    /// size.grow(now);
    /// assert!(size.gates() > MIN_GATES);
    /// size.shrink(now + Duration::from_secs(60));
    /// assert_eq!(size.gates(), MIN_GATES);
    /// ```
    pub fn grow(&mut self, now: Instant) {
        self.gates = (self.gates + GROWTH_STEP).min(MAX_GATES);
        self.changed_at = Some(now);
    }

    /// Shrinks by a step if the subset has not grown for a while.
    pub fn shrink(&mut self, now: Instant) {
        if self.changed_at.is_some_and(|time| now >= time + SHRINK_INTERVAL) {
            self.gates = self.gates.saturating_sub(GROWTH_STEP).max(MIN_GATES);
            self.changed_at = Some(now);
        }
    }

    /// Returns the number of gates in the entry's own zone.
    pub fn gates(&self) -> usize {
        self.gates
    }
}

/// Returns the gates that are first in the order of `entry`: `count` of them in the entry's zone
/// and half as many in the others.
///
/// `gates` has the index of each gate, its node and whether it is in the entry's zone.
///
/// # Examples
///
/// ```
/// use lavenderflow_core::subset::select;
///
/// let gates = (0..100).map(|index| (index, index as u64, index < 50));
/// let subset = select(7, gates, 12);
/// assert_eq!(subset.iter().filter(|index| **index < 50).count(), 12);
/// assert_eq!(subset.len(), 18);
/// ```
pub fn select(
    entry: NodeId,
    gates: impl Iterator<Item = (usize, NodeId, bool)>,
    count: usize,
) -> Vec<usize> {
    let (mut near, mut far): (Vec<_>, Vec<_>) = gates.partition(|(.., same_zone)| *same_zone);
    let mut subset = Vec::new();
    for (gates, count) in [(&mut near, count), (&mut far, count / 2)] {
        if gates.len() > count {
            gates.sort_by_cached_key(|(_, node, _)| Reverse(hash(&("subset", entry, *node))));
            gates.truncate(count);
        }
        subset.extend(gates.iter().map(|(index, ..)| *index));
    }
    subset.sort_unstable();
    subset
}
