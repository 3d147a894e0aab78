//! What lenders and entries go by while no root can be reached.

use crate::organisation::Allowance;

/// Fleet size that is assumed until more nodes are known. When all nodes start at once, their
/// fallbacks then stay below what the roots could grant in the takeover delay.
const MIN_FLEET_NODES: usize = 16;
/// Divisor of an even share of the allowance that the fallback uses. Until the root has learned
/// that nodes are cut off, about 3 s, it still grants all of the allowance to the others.
const DIVISOR: f64 = 4.0;

/// Limits of a bucket that replaces the root for some nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FallbackLimits {
    /// Tokens per second.
    pub rate: f64,
    /// Greatest number of tokens.
    pub capacity: f64,
}

impl FallbackLimits {
    /// Returns the limits for `nodes` of a fleet of `size` nodes: a quarter of their even share.
    ///
    /// # Examples
    ///
    /// ```
    /// use lavenderflow_core::allowance::Allowance;
    /// use lavenderflow_core::allowance::fallback::FallbackLimits;
    ///
    /// let limits = FallbackLimits::new(Allowance { rate: 100.0, burst: 40.0 }, 10, 50);
    /// assert_eq!(limits, FallbackLimits { rate: 5.0, capacity: 2.0 });
    /// ```
    pub fn new(allowance: Allowance, nodes: usize, size: usize) -> Self {
        let share = nodes as f64 / (DIVISOR * size.max(MIN_FLEET_NODES) as f64);
        Self { rate: allowance.rate * share, capacity: (allowance.burst * share).max(1.0) }
    }
}
