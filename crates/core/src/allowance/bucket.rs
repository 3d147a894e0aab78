//! A token bucket, which starts empty.

use crate::prelude::*;

/// Tokens that refill at a constant rate up to a capacity.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use lavenderflow_core::allowance::bucket::Bucket;
///
/// let now = Instant::now();
/// let mut bucket = Bucket::new(10.0, 5.0, now);
/// assert_eq!(bucket.take(1, now), 0);
/// assert_eq!(bucket.time_to_next(now), Duration::from_millis(100));
/// assert_eq!(bucket.take(8, now + Duration::from_secs(60)), 5);
/// ```
#[derive(Clone, Debug)]
pub struct Bucket {
    rate: f64,
    capacity: f64,
    level: f64,
    updated_at: Instant,
}

impl Bucket {
    /// Creates an empty bucket that refills from `start` on.
    pub fn new(rate: f64, capacity: f64, start: Instant) -> Self {
        Self { rate, capacity, level: 0.0, updated_at: start }
    }

    /// Changes the rate and the capacity; tokens beyond the capacity are lost at once.
    pub fn set_limits(&mut self, rate: f64, capacity: f64, now: Instant) {
        self.refill(now);
        self.rate = rate;
        self.capacity = capacity;
        self.level = self.level.min(capacity);
    }

    /// Returns the number of tokens.
    pub fn level(&mut self, now: Instant) -> f64 {
        self.refill(now);
        self.level
    }

    /// Takes up to `wanted` tokens and returns how many there were.
    pub fn take(&mut self, wanted: u32, now: Instant) -> u32 {
        self.refill(now);
        let taken = self.level.floor().min(f64::from(wanted));
        self.level -= taken;
        // At most `wanted`.
        taken as u32
    }

    /// Returns the time until there is a whole token.
    pub fn time_to_next(&mut self, now: Instant) -> Duration {
        self.refill(now);
        let missing = (1.0 - self.level).max(0.0);
        let wait = Duration::try_from_secs_f64(missing / self.rate).unwrap_or(Duration::MAX);
        wait.saturating_add(self.updated_at.saturating_duration_since(now))
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated_at);
        self.level = (self.level + elapsed.as_secs_f64() * self.rate).min(self.capacity);
        self.updated_at = self.updated_at.max(now);
    }
}
