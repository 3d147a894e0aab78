//! Measures how fast a queue drains.

use crate::prelude::*;

/// Time constant with which past starts are forgotten. Longer than the fluctuation of single runs,
/// and short enough to follow an upstream that has just become slow.
const MEMORY: Duration = Duration::from_secs(2);
/// Weighted starts below which the rate is not known.
const MIN_STARTS: f64 = 2.0;

/// The rate at which requests that waited get their slots.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use lavenderflow_core::drain_rate::DrainRate;
///
/// let (mut now, mut rate) = (Instant::now(), DrainRate::default());
/// assert_eq!(rate.time_for(10, now), None);
/// for _ in 0..200 {
///     now += Duration::from_millis(50);
///     rate.record(now);
/// }
/// let time = rate.time_for(10, now).expect("a measured rate");
/// assert!((0.4..0.6).contains(&time.as_secs_f64()), "{time:?}");
/// ```
#[derive(Debug, Default)]
pub struct DrainRate {
    // Starts, weighted by age.
    starts: f64,
    updated: Option<Instant>,
}

impl DrainRate {
    /// Records that a request that waited has got a slot.
    pub fn record(&mut self, now: Instant) {
        (self.starts, self.updated) = (self.weighted_starts(now) + 1.0, Some(now));
    }

    /// Returns the time in which as many requests get their slots; `None` if too few have got
    /// theirs recently.
    pub fn time_for(&self, requests: u32, now: Instant) -> Option<Duration> {
        let starts = self.weighted_starts(now);
        (starts >= MIN_STARTS).then(|| MEMORY.mul_f64(f64::from(requests) / starts))
    }

    fn weighted_starts(&self, now: Instant) -> f64 {
        let Some(updated) = self.updated else { return 0.0 };
        let elapsed = now.saturating_duration_since(updated).as_secs_f64();
        self.starts * (-elapsed / MEMORY.as_secs_f64()).exp()
    }
}
