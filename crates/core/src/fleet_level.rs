//! Detects from what several nodes report that a service leaves requests unserved.
//!
//! The level of a service is a property of the fleet, and one entry may see only one or two of its
//! requests a second. So each attempt tells the gate what its entry has counted itself, and each
//! load report tells the entry the sum of what the gate has heard. Entries do not pass on what
//! gates report, and a later report of a node replaces its earlier one, so that no request counts
//! twice. What a single node claims does not decide.

use crate::prelude::*;

/// Time constant of the weight of a request: the capacity floor is measured over two seconds.
pub(crate) const DECAY_TIME: Duration = Duration::from_secs(2);
/// Share of unserved requests above which a service is degraded, from which the capacity floor must
/// be kept.
const DEGRADED_SHARE: f64 = 0.1;
/// Share above which gates take the due trial requests that they are offered anyway. Requests that
/// hang are counted only when their deadlines pass, and callers also lose some that no entry sees.
pub(crate) const STRAINED_SHARE: f64 = 0.05;
/// Unserved requests that a gate must have heard of.
const MIN_UNSERVED: f64 = 1.0;
/// Requests that the report of a gate must be based on.
const MIN_REPORTED: f64 = 2.0;
/// Age from which a report no longer counts.
const MAX_AGE: Duration = Duration::from_secs(6);

/// Recent requests of a service, each weighted by its age.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LevelCounts {
    /// Served requests.
    pub served: f32,
    /// Unserved requests.
    pub unserved: f32,
}

impl LevelCounts {
    fn total(self) -> f64 {
        f64::from(self.served) + f64::from(self.unserved)
    }

    fn unserved_share(self) -> f64 {
        let total = self.total();
        if total > 0.0 { f64::from(self.unserved) / total } else { 0.0 }
    }

    fn is_valid(self) -> bool {
        [self.served, self.unserved].iter().all(|count| count.is_finite() && *count >= 0.0)
    }
}

/// The last reports of several nodes about one service.
///
/// # Examples
///
/// ```
/// use std::time::Instant;
///
/// use lavenderflow_core::fleet_level::{FleetLevel, LevelCounts};
///
/// let now = Instant::now();
/// let counts = LevelCounts { served: 3.0, unserved: 1.0 };
/// let mut level = FleetLevel::default();
/// level.record(1, counts, now);
/// assert!(!level.is_sum_strained(now));
/// level.record(2, counts, now);
/// assert!(level.is_sum_strained(now));
/// ```
#[derive(Clone, Debug, Default)]
pub struct FleetLevel {
    reports: IndexMap<NodeId, (LevelCounts, Instant)>,
}

impl FleetLevel {
    /// Records the report of a node, in place of its earlier one.
    pub fn record(&mut self, node: NodeId, counts: LevelCounts, now: Instant) {
        self.reports.retain(|_, (_, time)| now < *time + MAX_AGE);
        if counts.is_valid() && counts.total() > 0.0 {
            self.reports.insert(node, (counts, now));
        }
    }

    /// Returns the sum of the reports of entries. The greatest count of a node is taken as the
    /// second greatest, so that no single node decides.
    pub fn sum(&self, now: Instant) -> LevelCounts {
        let served = sum_without_outlier(self.aged(now).map(|counts| counts.served));
        let unserved = sum_without_outlier(self.aged(now).map(|counts| counts.unserved));
        LevelCounts { served, unserved }
    }

    /// Returns whether the sum of the reports of entries shows so many unserved requests that due
    /// trial requests are taken.
    pub fn is_sum_strained(&self, now: Instant) -> bool {
        let sum = self.sum(now);
        f64::from(sum.unserved) >= MIN_UNSERVED && sum.unserved_share() > STRAINED_SHARE
    }

    /// Returns whether the reports of gates show that the service is degraded, so that entries offer
    /// more trial requests.
    pub fn is_median_degraded(&self, now: Instant) -> bool {
        self.median_share(now).is_some_and(|share| share > DEGRADED_SHARE)
    }

    /// Returns whether the reports of gates show so many unserved requests that due trial requests
    /// are to be taken.
    pub fn is_median_strained(&self, now: Instant) -> bool {
        self.median_share(now).is_some_and(|share| share > STRAINED_SHARE)
    }

    /// Returns the median of the unserved shares that gates report. Their sums have requests in
    /// common, so they are not added.
    fn median_share(&self, now: Instant) -> Option<f64> {
        let reported = self.aged(now).filter(|counts| counts.total() >= MIN_REPORTED);
        let mut shares: Vec<f64> = reported.map(LevelCounts::unserved_share).collect();
        shares.sort_unstable_by(f64::total_cmp);
        (shares.len() > 1).then(|| shares[(shares.len() - 1) / 2])
    }

    fn aged(&self, now: Instant) -> impl Iterator<Item = LevelCounts> {
        self.reports.values().map(move |(counts, time)| {
            let weight = decay(now.saturating_duration_since(*time)) as f32;
            LevelCounts { served: counts.served * weight, unserved: counts.unserved * weight }
        })
    }
}

/// Returns the weight of a request of an age.
pub(crate) fn decay(age: Duration) -> f64 {
    (-age.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp()
}

fn sum_without_outlier(counts: impl Iterator<Item = f32>) -> f32 {
    // The greatest count is never added, since a huge one would take the place of all digits.
    let (mut others, mut greatest, mut second) = (0.0, 0.0_f32, 0.0_f32);
    for count in counts {
        others += count.min(greatest);
        second = second.max(count.min(greatest));
        greatest = greatest.max(count);
    }
    others + second
}
