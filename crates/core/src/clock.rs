//! The source of time, which tests replace.

use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime};

/// A source of monotonic and wall-clock time.
pub trait Clock: fmt::Debug + Send + Sync {
    /// Returns the monotonic time, for intervals and deadlines.
    fn now(&self) -> Instant;

    /// Returns the wall-clock time, for versions that must increase across restarts.
    fn system_time(&self) -> SystemTime;
}

/// A clock shared by several state machines.
pub type SharedClock = Arc<dyn Clock>;

/// A clock that only moves when it is advanced.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
/// use lavenderflow_core::clock::{Clock, ManualClock};
///
/// let start = Instant::now();
/// let clock = ManualClock::new(start);
/// clock.advance(Duration::from_secs(2));
/// assert_eq!(clock.now(), start + Duration::from_secs(2));
/// ```
#[derive(Debug)]
pub struct ManualClock {
    start: Instant,
    elapsed: Mutex<Duration>,
}

impl ManualClock {
    /// Creates a clock whose monotonic time is `start`.
    pub fn new(start: Instant) -> Self {
        Self { start, elapsed: Mutex::new(Duration::ZERO) }
    }

    /// Moves the clock forward.
    pub fn advance(&self, step: Duration) {
        let mut elapsed = self.elapsed.lock().unwrap_or_else(PoisonError::into_inner);
        *elapsed += step;
    }

    fn elapsed(&self) -> Duration {
        *self.elapsed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        self.start + self.elapsed()
    }

    fn system_time(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.elapsed()
    }
}
