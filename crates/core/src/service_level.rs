//! Whether a service leaves requests without answers, as one entry sees it.
//!
//! Upstreams that are probably in a gray spell get little work while the others serve everybody.
//! When requests go unserved all the same, the service needs the whole floor of its capacity, and
//! the entry offers doubted upstreams work that they would else be spared.

use crate::prelude::*;

/// Time after which a request has lost most of its weight: the floor is counted over two seconds.
const DECAY_TIME: Duration = Duration::from_secs(2);
/// Share of unserved requests from which a service is strained: half of the tenth from which the
/// floor is owed, since one entry sees few requests.
const MAX_UNSERVED_SHARE: f64 = 0.05;

/// The share of the latest requests that were not served.
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
    /// Counts a request that has ended.
    pub fn observe(&mut self, is_served: bool, now: Instant) {
        let decay = self.decay(now);
        self.last = Some(now);
        self.served = self.served * decay + f64::from(u8::from(is_served));
        self.unserved = self.unserved * decay + f64::from(u8::from(!is_served));
    }

    /// Tells whether too many requests are not served.
    pub fn is_degraded(&self, now: Instant) -> bool {
        // Half of a request is what is left of one after some time.
        let unserved = self.unserved * self.decay(now);
        unserved > 0.5 && self.unserved > MAX_UNSERVED_SHARE * (self.served + self.unserved)
    }

    fn decay(&self, now: Instant) -> f64 {
        let Some(last) = self.last else { return 0.0 };
        (-now.saturating_duration_since(last).as_secs_f64() / DECAY_TIME.as_secs_f64()).exp()
    }
}
