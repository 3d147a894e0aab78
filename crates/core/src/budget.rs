//! The retry budget: retries are a bounded share of recent requests.

use crate::prelude::*;

/// Most retries that can be saved up.
const MAX_TOKENS: f64 = 50.0;
/// Retries that are allowed before the first request.
const INITIAL_TOKENS: f64 = 10.0;

/// Retries that a budget allows in addition to its share of the requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryAllowance {
    /// Retries that can be saved up.
    pub burst: f64,
    /// Retries that are added per second.
    pub rate: f64,
}

impl RetryAllowance {
    /// Returns one node's part of the retries that a fleet of `nodes` may make in any `window` in
    /// addition to the share of its requests. Half may come in one burst, most of the others at a
    /// steady rate.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use lavenderflow_core::budget::RetryAllowance;
    ///
    /// let window = Duration::from_secs(10);
    /// let own = RetryAllowance::per_node(100, window, 10);
    /// assert!((own.burst + own.rate * 10.0) * 10.0 <= 100.0);
    /// ```
    pub fn per_node(retries: u64, window: Duration, nodes: usize) -> Self {
        /// Share that may come in one burst.
        const BURST_SHARE: f64 = 0.5;
        /// Share that comes at a steady rate; the rest covers differences between nodes' counts.
        const RATE_SHARE: f64 = 0.4;
        let own = retries as f64 / nodes.max(1) as f64;
        // A node that could save up less than one retry could never make any.
        Self { burst: (own * BURST_SHARE).max(1.0), rate: own * RATE_SHARE / window.as_secs_f64() }
    }
}

/// A token bucket that requests fill and retries drain.
///
/// # Examples
///
/// ```
/// use std::time::Instant;
///
/// use lavenderflow_core::budget::RetryBudget;
///
/// let now = Instant::now();
/// let mut budget = RetryBudget::default();
/// while budget.withdraw(now) {}
/// (0..10).for_each(|_| budget.deposit(0.1));
/// assert!(budget.withdraw(now));
/// assert!(!budget.withdraw(now));
/// ```
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: f64,
    allowance: RetryAllowance,
    refilled_at: Option<Instant>,
}

impl Default for RetryBudget {
    fn default() -> Self {
        let allowance = RetryAllowance { burst: MAX_TOKENS, rate: 0.0 };
        Self { tokens: INITIAL_TOKENS, allowance, refilled_at: None }
    }
}

impl RetryBudget {
    /// Creates a full budget. In any period there are at most as many retries as the allowance and
    /// the share of the requests add up to.
    pub fn new(allowance: RetryAllowance) -> Self {
        Self { tokens: allowance.burst, allowance, refilled_at: None }
    }

    /// Changes the retries that are allowed in addition to the share.
    pub fn set_allowance(&mut self, allowance: RetryAllowance) {
        self.allowance = allowance;
        self.tokens = self.tokens.min(allowance.burst);
    }

    /// Counts a first attempt, which allows `share` of a retry.
    pub fn deposit(&mut self, share: f64) {
        self.tokens = (self.tokens + share).min(self.allowance.burst);
    }

    /// Returns whether a retry is allowed.
    pub fn has_token(&mut self, now: Instant) -> bool {
        // Sums of tenths are slightly less than whole numbers, due to rounding.
        const EPSILON: f64 = 1e-9;
        let since = self.refilled_at.replace(now).unwrap_or(now);
        let elapsed = now.saturating_duration_since(since).as_secs_f64();
        self.deposit(elapsed * self.allowance.rate);
        self.tokens + EPSILON >= 1.0
    }

    /// Takes one retry, or returns false when the budget is spent.
    pub fn withdraw(&mut self, now: Instant) -> bool {
        let allowed = self.has_token(now);
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}
