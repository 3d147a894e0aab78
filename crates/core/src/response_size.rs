//! The size of responses on routes with large ones.
//!
//! Answers load with large downloads: traffic between zones is billed by the byte, and the links
//! of small VMs are slow, so a download waits a little for an upstream in its own zone.

use crate::prelude::*;

/// Size that is assumed before the first response, in bytes.
const ASSUMED_BYTES: f64 = 64.0 * 1024.0;
/// Weight of a new response in the average.
const SMOOTHING: f64 = 0.1;

/// Exponentially weighted average sizes of responses, by kind of work.
///
/// # Examples
///
/// ```
/// use lavenderflow_core::response_size::ResponseSizes;
///
/// let mut sizes = ResponseSizes::default();
/// let assumed = sizes.expected_bytes(1);
/// (0..100).for_each(|_| sizes.record(1, 1_000_000));
/// assert!(sizes.expected_bytes(1) > 900_000);
/// assert_eq!(sizes.expected_bytes(2), assumed);
/// ```
#[derive(Clone, Debug, Default)]
pub struct ResponseSizes {
    averages: IndexMap<WorkKind, f64>,
}

impl ResponseSizes {
    /// Records the size of a complete response in bytes.
    pub fn record(&mut self, kind: WorkKind, bytes: u64) {
        let average = self.averages.entry(kind).or_insert(ASSUMED_BYTES);
        *average += (bytes as f64 - *average) * SMOOTHING;
    }

    /// Returns the expected size of a response in bytes.
    pub fn expected_bytes(&self, kind: WorkKind) -> u64 {
        self.averages.get(&kind).copied().unwrap_or(ASSUMED_BYTES) as u64
    }
}
