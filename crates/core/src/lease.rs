//! Leases, as a typestate.

use std::marker::PhantomData;
use std::time::{Duration, Instant};

/// State of a lease that was valid when it was last checked.
#[derive(Debug)]
pub enum Held {}
/// State of a lease that has ended.
#[derive(Debug)]
pub enum Lapsed {}

/// A claim that ends unless it is renewed.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
/// use lavenderflow_core::lease::Lease;
///
/// let start = Instant::now();
/// let lease = Lease::grant(start, Duration::from_secs(3));
/// let lease = lease.check(start + Duration::from_secs(2)).expect("still held");
/// assert!(lease.check(start + Duration::from_secs(3)).is_err());
/// ```
#[derive(Debug)]
pub struct Lease<S> {
    end: Instant,
    state: PhantomData<S>,
}

impl Lease<Held> {
    /// Grants a lease that starts at `now`.
    pub fn grant(now: Instant, length: Duration) -> Self {
        Self { end: now + length, state: PhantomData }
    }

    /// Returns the lease, or its lapsed form if it has ended by `now`.
    pub fn check(self, now: Instant) -> Result<Self, Lease<Lapsed>> {
        if now < self.end { Ok(self) } else { Err(Lease { end: self.end, state: PhantomData }) }
    }

    /// Returns whether the lease is valid at `now`.
    pub fn is_valid(&self, now: Instant) -> bool {
        now < self.end
    }
}

impl<S> Lease<S> {
    /// Returns the time at which the lease ends or ended.
    pub fn end(&self) -> Instant {
        self.end
    }
}
