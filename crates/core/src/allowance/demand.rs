//! An estimate of the recent demand for tokens.

use crate::prelude::*;

/// Time constant of the estimate. A reserve is sized for less than this, so the demand of the last
/// half second predicts it well enough, and the estimate follows a shift of demand within 1 s.
const TIME_CONSTANT: Duration = Duration::from_millis(500);

/// Tokens wanted per second, as an exponentially decaying average.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use lavenderflow_core::allowance::demand::Demand;
///
/// let start = Instant::now();
/// let mut demand = Demand::default();
/// for step in 0..200 {
///     demand.add(1, start + Duration::from_millis(10 * step));
/// }
/// let during = demand.expected(Duration::from_millis(200), start + Duration::from_secs(2));
/// assert!((17..=22).contains(&during));
/// assert_eq!(demand.expected(Duration::from_millis(200), start + Duration::from_secs(8)), 0);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    per_second: f64,
    updated_at: Option<Instant>,
}

impl Demand {
    /// Records that tokens are wanted.
    pub fn add(&mut self, tokens: u32, now: Instant) {
        self.per_second = self.at(now) + f64::from(tokens) / TIME_CONSTANT.as_secs_f64();
        self.updated_at = Some(now);
    }

    /// Returns how many whole tokens will be wanted within a time.
    pub fn expected(&self, time: Duration, now: Instant) -> u32 {
        // The cast saturates.
        (self.at(now) * time.as_secs_f64()) as u32
    }

    fn at(&self, now: Instant) -> f64 {
        let Some(updated_at) = self.updated_at else { return 0.0 };
        let elapsed = now.saturating_duration_since(updated_at).as_secs_f64();
        self.per_second * (-elapsed / TIME_CONSTANT.as_secs_f64()).exp()
    }
}
