//! What the rejections of an upstream say about it.
//!
//! Answers load at upstreams that reject part of their requests without running them. Where they do
//! so because of their concurrency, the gate lowers the number of requests in flight. Where they do
//! so at any concurrency, a lower number only wastes slots, and requests should go elsewhere.

use crate::prelude::*;

/// Interval at which a lowered limit is raised by one.
const RAISE_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which rejections do not lower the limit after they were seen at the least one.
const INDEPENDENT_TIME: Duration = Duration::from_secs(4);
/// Time constant of the share of rejected requests, in seconds.
const DECAY_S: f64 = 3.0;
/// Requests that are assumed to have run, so that a single rejection is not taken for a pattern.
const ASSUMED_RUNS: f64 = 2.0;

/// Tracks the rejections of one upstream.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use lavenderflow_core::upstream::rejection::Rejections;
///
/// let now = Instant::now();
/// let mut rejections = Rejections::new(now);
/// // Rejected with seven others in flight: six are tried from now on.
/// rejections.record(true, 7, 8, now);
/// assert_eq!(rejections.limit(8), 6);
/// rejections.record(true, 5, 8, now);
/// assert_eq!(rejections.limit(8), 4);
/// // Rejected again with half of the slots in use: the concurrency is not the reason.
/// rejections.record(true, 3, 8, now);
/// assert_eq!(rejections.limit(8), 8);
/// assert!(rejections.share(now) > 0.4);
/// assert!(rejections.share(now + Duration::from_secs(30)) < 0.01);
/// ```
#[derive(Clone, Debug)]
pub struct Rejections {
    lowered: Option<u32>,
    changed_at: Instant,
    independent_until: Option<Instant>,
    rejected: f64,
    ran: f64,
    counted_at: Instant,
}

impl Rejections {
    /// Creates a tracker without observations.
    pub fn new(now: Instant) -> Self {
        Self {
            lowered: None,
            changed_at: now,
            independent_until: None,
            rejected: 0.0,
            ran: 0.0,
            counted_at: now,
        }
    }

    /// Records a finished request; `others` is the number of other requests in flight.
    pub fn record(&mut self, is_rejected: bool, others: u32, slots: u32, now: Instant) {
        let decay = self.decay(now);
        self.counted_at = now;
        self.rejected = self.rejected * decay + f64::from(u8::from(is_rejected));
        self.ran = self.ran * decay + f64::from(u8::from(!is_rejected));
        if !is_rejected || self.independent_until.is_some_and(|end| now < end) {
            return;
        }
        self.changed_at = now;
        let least = slots.div_ceil(2);
        if self.lowered == Some(least) && others < least {
            self.lowered = None;
            self.independent_until = Some(now + INDEPENDENT_TIME);
        } else {
            self.lowered = Some(others.saturating_sub(1).max(least));
        }
    }

    /// Raises a lowered limit when that is due.
    pub fn tick(&mut self, slots: u32, now: Instant) {
        if now >= self.changed_at + RAISE_INTERVAL {
            self.changed_at = now;
            self.lowered = self.lowered.map(|limit| limit + 1).filter(|limit| *limit < slots);
        }
    }

    /// Returns how many of `slots` requests may be in flight.
    pub fn limit(&self, slots: u32) -> u32 {
        self.lowered.map_or(slots, |limit| limit.min(slots))
    }

    /// Returns the share of the recent requests that were rejected.
    pub fn share(&self, now: Instant) -> f64 {
        let decay = self.decay(now);
        self.rejected * decay / ((self.rejected + self.ran) * decay + ASSUMED_RUNS)
    }

    fn decay(&self, now: Instant) -> f64 {
        decay(now.saturating_duration_since(self.counted_at))
    }
}

/// Returns the weight that is left of an observation of this age.
pub(crate) fn decay(age: Duration) -> f64 {
    (-age.as_secs_f64() / DECAY_S).exp()
}
