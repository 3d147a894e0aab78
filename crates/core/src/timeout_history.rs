//! Time bounds on the progress of requests, and which ones apply after a change.

use std::collections::VecDeque;

use crate::prelude::*;

/// Time bounds on the progress of requests; `None` sets no bound.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ProgressTimeouts {
    /// Longest time from the first byte of a head to its end.
    pub head: Option<Duration>,
    /// Longest time without a byte of a body, or without one of the response being read.
    pub body: Option<Duration>,
}

impl ProgressTimeouts {
    /// Returns the longer of both bounds.
    fn longest(self) -> Duration {
        self.head.max(self.body).unwrap_or_default()
    }

    /// Returns the longer bounds of two; no bound comes from `earlier` where it has none.
    fn extend(self, earlier: Self) -> Self {
        let longer = |own: Option<Duration>, other| own.map(|own| own.max(other));
        Self {
            head: longer(self.head, earlier.head.unwrap_or_default()),
            body: longer(self.body, earlier.body.unwrap_or_default()),
        }
    }
}

/// The bounds in force, and earlier ones: what began under a longer bound may use it up.
#[derive(Debug, Default)]
pub struct TimeoutHistory {
    current: ProgressTimeouts,
    // Until when each was in force, the earliest first.
    earlier: VecDeque<(Instant, ProgressTimeouts)>,
}

impl TimeoutHistory {
    /// Sets the bounds that are in force from now on.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    ///
    /// use lavenderflow_core::timeout_history::{ProgressTimeouts, TimeoutHistory};
    ///
    /// let head = |seconds| Some(Duration::from_secs(seconds));
    /// let (start, mut history) = (Instant::now(), TimeoutHistory::default());
    /// history.set(ProgressTimeouts { head: head(9), body: None }, start);
    /// let later = start + Duration::from_secs(1);
    /// history.set(ProgressTimeouts { head: head(3), body: None }, later);
    /// assert_eq!(history.since(start).head, head(9));
    /// assert_eq!(history.since(later).head, head(3));
    /// ```
    pub fn set(&mut self, timeouts: ProgressTimeouts, now: Instant) {
        if timeouts != self.current {
            self.earlier.push_back((now, self.current));
            self.current = timeouts;
        }
        self.earlier.retain(|(end, timeouts)| {
            end.checked_add(timeouts.longest()).is_none_or(|end| now < end)
        });
    }

    /// Returns the longest bounds that were in force at a time or later.
    pub fn since(&self, start: Instant) -> ProgressTimeouts {
        let earlier = self.earlier.iter().filter(|(end, _)| start < *end);
        earlier.fold(self.current, |longest, (_, timeouts)| longest.extend(*timeouts))
    }
}
