//! The retry budget: repeats are a bounded share of recent requests.

/// Most repeats that can be saved up.
const MAX_TOKENS: f64 = 50.0;
/// Repeats that are allowed before any request was counted.
const FIRST_TOKENS: f64 = 10.0;

/// A token bucket that requests fill and repeats empty.
///
/// # Examples
///
/// ```
/// use lavenderflow_core::budget::Budget;
///
/// let mut budget = Budget::default();
/// while budget.withdraw() {}
/// (0..10).for_each(|_| budget.deposit(0.1));
/// assert!(budget.withdraw());
/// assert!(!budget.withdraw());
/// ```
#[derive(Clone, Debug)]
pub struct Budget {
    tokens: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { tokens: FIRST_TOKENS }
    }
}

impl Budget {
    /// Counts a first attempt; `share` of it can be spent on repeats.
    pub fn deposit(&mut self, share: f64) {
        self.tokens = (self.tokens + share).min(MAX_TOKENS);
    }

    /// Takes one repeat, or returns false when the budget is spent.
    pub fn withdraw(&mut self) -> bool {
        // Sums of tenths fall short of whole numbers by rounding.
        const ROUNDING: f64 = 1e-9;
        let allowed = self.tokens + ROUNDING >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}
