//! Detects that a service leaves requests unserved, as seen by one entry. [`fleet_level`] adds
//! what other entries see.
//!
//! A request is served if its caller gets a whole response that is no failure: a failure of the
//! upstream counts like one of the fleet.
//!
//! Likely gray upstreams get little work while the others can serve all requests. When requests go
//! unserved all the same, the service needs its whole capacity floor, and the entry offers likely
//! gray upstreams work that they would otherwise not get.

use crate::fleet_level::{self, LevelCounts, STRAINED_SHARE};
use crate::prelude::*;

/// Tracks which share of the recent requests is unserved.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use lavenderflow_core::service_level::ServiceLevel;
///
/// let now = Instant::now();
/// let mut service_level = ServiceLevel::default();
/// (0..10).for_each(|_| service_level.observe(true, now));
/// assert!(!service_level.is_degraded(now));
/// service_level.observe(false, now);
/// assert!(service_level.is_degraded(now));
/// assert!(!service_level.is_degraded(now + Duration::from_secs(60)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct ServiceLevel {
    served: f64,
    unserved: f64,
    last: Option<Instant>,
}

impl ServiceLevel {
    /// Records a finished request.
    pub fn observe(&mut self, is_served: bool, now: Instant) {
        let decay = self.decay(now);
        self.last = Some(now);
        self.served = self.served * decay + f64::from(u8::from(is_served));
        self.unserved = self.unserved * decay + f64::from(u8::from(!is_served));
    }

    /// Returns whether too many requests are unserved.
    pub fn is_degraded(&self, now: Instant) -> bool {
        // A single unserved request counts until half of its weight has decayed.
        let unserved = self.unserved * self.decay(now);
        unserved > 0.5 && self.unserved > STRAINED_SHARE * (self.served + self.unserved)
    }

    /// Returns the recent requests, for the gates.
    pub fn counts(&self, now: Instant) -> LevelCounts {
        let decay = self.decay(now);
        let (served, unserved) = (self.served * decay, self.unserved * decay);
        LevelCounts { served: served as f32, unserved: unserved as f32 }
    }

    fn decay(&self, now: Instant) -> f64 {
        let Some(last) = self.last else { return 0.0 };
        fleet_level::decay(now.saturating_duration_since(last))
    }
}
