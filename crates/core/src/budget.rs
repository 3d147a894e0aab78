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
    most: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { tokens: FIRST_TOKENS, most: MAX_TOKENS }
    }
}

impl Budget {
    /// Creates a full budget that never saves up more than `burst` repeats, so that over any time
    /// the repeats are at most `burst` and the share of the requests.
    pub fn with_burst(burst: f64) -> Self {
        Self { tokens: burst, most: burst }
    }

    /// Changes how many repeats can be saved up.
    pub fn set_burst(&mut self, burst: f64) {
        self.most = burst;
        self.tokens = self.tokens.min(burst);
    }

    /// Counts a first attempt; `share` of it can be spent on repeats.
    pub fn deposit(&mut self, share: f64) {
        self.tokens = (self.tokens + share).min(self.most);
    }

    /// Tells whether a repeat can be taken.
    pub fn has_token(&self) -> bool {
        // Sums of tenths fall short of whole numbers by rounding.
        const ROUNDING: f64 = 1e-9;
        self.tokens + ROUNDING >= 1.0
    }

    /// Takes one repeat, or returns false when the budget is spent.
    pub fn withdraw(&mut self) -> bool {
        let allowed = self.has_token();
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}
