//! The retry budget: repeats are a bounded share of recent requests.

use crate::prelude::*;

/// Most repeats that can be saved up.
const MAX_TOKENS: f64 = 50.0;
/// Repeats that are allowed before any request was counted.
const INITIAL_TOKENS: f64 = 10.0;

/// What a budget allows beside its share of the requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryAllowance {
    /// Repeats that can be saved up.
    pub burst: f64,
    /// Repeats that are added each second.
    pub rate: f64,
}

impl RetryAllowance {
    /// Divides the repeats that a fleet of `nodes` may make in any `window` beside the share of
    /// its requests: half may come at once, most of the others one by one.
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
    pub fn per_node(repeats: u64, window: Duration, nodes: usize) -> Self {
        /// Part that may come at once.
        const BURST_SHARE: f64 = 0.5;
        /// Part that comes one by one; the rest covers what nodes count differently.
        const RATE_SHARE: f64 = 0.4;
        let own = repeats as f64 / nodes.max(1) as f64;
        // A node that may save up less than one repeat could never make any.
        Self { burst: (own * BURST_SHARE).max(1.0), rate: own * RATE_SHARE / window.as_secs_f64() }
    }
}

/// A token bucket that requests fill and repeats empty.
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
    /// Creates a full budget. Over any time the repeats are at most the allowance and the share
    /// of the requests.
    pub fn new(allowance: RetryAllowance) -> Self {
        Self { tokens: allowance.burst, allowance, refilled_at: None }
    }

    /// Changes what is allowed beside the share.
    pub fn set_allowance(&mut self, allowance: RetryAllowance) {
        self.allowance = allowance;
        self.tokens = self.tokens.min(allowance.burst);
    }

    /// Counts a first attempt; `share` of it can be spent on repeats.
    pub fn deposit(&mut self, share: f64) {
        self.tokens = (self.tokens + share).min(self.allowance.burst);
    }

    /// Tells whether a repeat can be taken.
    pub fn has_token(&mut self, now: Instant) -> bool {
        // Sums of tenths fall short of whole numbers by rounding.
        const EPSILON: f64 = 1e-9;
        let since = self.refilled_at.replace(now).unwrap_or(now);
        let elapsed = now.saturating_duration_since(since).as_secs_f64();
        self.deposit(elapsed * self.allowance.rate);
        self.tokens + EPSILON >= 1.0
    }

    /// Takes one repeat, or returns false when the budget is spent.
    pub fn withdraw(&mut self, now: Instant) -> bool {
        let allowed = self.has_token(now);
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}
