//! Limits the rate of requests to one upstream that asks for it.

use crate::prelude::*;

/// Time whose requests may be sent in one burst.
const BURST_TIME: Duration = Duration::from_secs(1);
/// Lowest rate, in requests per second. Only a response can lift a limit, so even an upstream that
/// takes none gets a request now and then.
const MIN_RATE: f64 = 0.1;

#[derive(Debug)]
struct Limit {
    rate: f64,
    // Time at which the requests so far would have been sent at exactly this rate.
    paid_until: Instant,
}

impl Limit {
    fn interval(&self) -> Duration {
        Duration::from_secs_f64(1.0 / self.rate)
    }

    fn wait(&self, now: Instant) -> Duration {
        let burst = BURST_TIME.saturating_sub(self.interval());
        self.paid_until.saturating_duration_since(now + burst)
    }
}

/// Spreads requests in time while an upstream limits their rate.
///
/// In any period, the requests are at most the rate times the period, and those of one burst: the
/// requests of a second, or a single one at rates below one a second.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use lavenderflow_core::rate_limit::RateLimiter;
///
/// let now = Instant::now();
/// let mut limiter = RateLimiter::default();
/// limiter.set_rate(Some(0.5), now);
/// // The requests before the limit count as one burst.
/// assert_eq!(limiter.wait(now), Duration::from_secs(2));
/// let next = now + Duration::from_secs(2);
/// assert!(limiter.wait(next).is_zero());
/// limiter.record(next);
/// assert_eq!(limiter.wait(next), Duration::from_secs(2));
/// limiter.set_rate(None, now);
/// assert!(limiter.wait(now).is_zero());
/// ```
#[derive(Debug, Default)]
pub struct RateLimiter {
    limit: Option<Limit>,
}

impl RateLimiter {
    /// Returns the rate in requests per second; `None` without a limit.
    pub fn rate(&self) -> Option<f64> {
        self.limit.as_ref().map(|limit| limit.rate)
    }

    /// Sets the rate in requests per second, or removes the limit.
    pub fn set_rate(&mut self, rate: Option<f64>, now: Instant) {
        let Some(rate) = rate.map(|rate| rate.max(MIN_RATE)) else {
            self.limit = None;
            return;
        };
        // Requests that were sent before count too, but no more than one burst, which must not block
        // an upstream whose limit falls. How many were sent without a limit is not known: the node
        // may have restarted.
        let burst = (rate * BURST_TIME.as_secs_f64()).max(1.0);
        let unpaid = self.limit.as_ref().map_or(burst, |old| {
            old.paid_until.saturating_duration_since(now).as_secs_f64() * old.rate
        });
        let unpaid = unpaid.min(burst);
        let paid_until = now + Duration::from_secs_f64(unpaid / rate);
        self.limit = Some(Limit { rate, paid_until });
    }

    /// Records that a request is sent.
    pub fn record(&mut self, now: Instant) {
        if let Some(limit) = &mut self.limit {
            limit.paid_until = limit.paid_until.max(now) + limit.interval();
        }
    }

    /// Returns how long the next request has to wait.
    pub fn wait(&self, now: Instant) -> Duration {
        self.limit.as_ref().map_or(Duration::ZERO, |limit| limit.wait(now))
    }

    /// Returns how long a request has to wait that comes after `ahead` others.
    pub fn wait_behind(&self, ahead: u32, now: Instant) -> Duration {
        let Some(limit) = &self.limit else { return Duration::ZERO };
        let start = limit.paid_until.max(now) + limit.interval() * ahead;
        Limit { rate: limit.rate, paid_until: start }.wait(now)
    }
}
