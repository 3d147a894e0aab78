//! Hedging: decides when a slow attempt gets a second copy, and whether the limit allows it.
//!
//! A copy is extra work for the upstreams, so an operator sets the largest share of a service's
//! requests that may get one. The state belongs to one entry; a limit that holds at each entry
//! holds for all of them together.

use std::collections::VecDeque;

use crate::prelude::*;

/// Period in which the limit holds.
pub const LIMIT_WINDOW: Duration = Duration::from_secs(10);
/// Width of the intervals in which requests and copies are counted.
const INTERVAL: Duration = Duration::from_millis(100);
/// Share of requests whose latency exceeds the delay after which a copy starts.
const TAIL_SHARE: f64 = 0.05;
/// Latencies that are kept per kind of request. The 95th percentile is then the tenth largest, so
/// that a few outliers do not move it.
const MAX_SAMPLES: usize = 200;
/// Latencies without which the percentile is unknown: fewer have no value in the last twentieth.
const MIN_SAMPLES: usize = 20;
/// Age from which latencies are no longer recent. An upstream that has just started, or a gray
/// failure, is over by then.
const MAX_SAMPLE_AGE: Duration = Duration::from_secs(60);
/// Kinds of requests per service for which latencies are kept; routes come and go.
const MAX_KINDS: usize = 256;
/// Least share of the slots seen that must be free. First attempts of a rising load need the rest:
/// within the time of one copy, load does not rise by more than a quarter of the capacity.
const MIN_FREE_SHARE: f64 = 0.25;

/// Why no copy of a slow attempt was sent.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Suppression {
    /// The route's attempts are used up.
    Attempts,
    /// The retry budget is spent.
    Budget,
    /// The service leaves requests unserved.
    Degraded,
    /// A copy could not finish before the deadline.
    Late,
    /// The share of requests that may get a copy is used up.
    Limit,
    /// Few free slots are seen.
    FewSlots,
    /// No gate that was not tried is likely to have a free slot.
    NoGate,
}

impl Suppression {
    /// All variants.
    pub const ALL: [Self; 7] = [
        Self::Attempts,
        Self::Budget,
        Self::Degraded,
        Self::Late,
        Self::Limit,
        Self::FewSlots,
        Self::NoGate,
    ];

    /// Returns the name that logs and counters use.
    pub fn name(self) -> &'static str {
        match self {
            Self::Attempts => "attempts",
            Self::Budget => "budget",
            Self::Degraded => "degraded",
            Self::Late => "late",
            Self::Limit => "limit",
            Self::FewSlots => "few-slots",
            Self::NoGate => "no-gate",
        }
    }
}

/// What happened to a copy, for counters.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum HedgeEvent {
    /// A copy was sent to a gate.
    Started,
    /// The response to a copy was used.
    Won,
    /// A copy ended without its response being used.
    Lost,
    /// The gate of a copy had no slot for it or was not reached, so the copy did not run.
    Refused,
    /// No copy was sent.
    Suppressed(Suppression),
}

/// What a decision on a copy takes into account.
#[derive(Clone, Copy, Debug)]
pub struct HedgeConditions {
    /// Share of the requests that may get a copy, 0 to 1.
    pub limit: f64,
    /// Whether the request may be sent to another upstream.
    pub has_attempts: bool,
    /// Whether the service leaves requests unserved.
    pub degraded: bool,
    /// Share of free slots at the gates with recent load reports; `None` if there are none.
    pub free_share: Option<f64>,
    /// Time left until the deadline.
    pub remaining: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct IntervalCounts {
    index: u64,
    requests: u32,
    copies: u32,
}

/// Decides on the copies of one service's requests.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use lavenderflow_core::hedge::{HedgeConditions, HedgePolicy, Suppression};
///
/// let start = Instant::now();
/// let mut policy = HedgePolicy::default();
/// (0..20).for_each(|_| policy.count_request(start));
/// let conditions = HedgeConditions {
///     limit: 0.05,
///     has_attempts: true,
///     degraded: false,
///     free_share: Some(0.5),
///     remaining: Duration::from_secs(1),
/// };
/// assert_eq!(policy.check(&conditions, 7, start), Ok(()));
/// policy.count_copy(start);
/// assert_eq!(policy.check(&conditions, 7, start), Err(Suppression::Limit));
/// ```
#[derive(Clone, Debug, Default)]
pub struct HedgePolicy {
    start: Option<Instant>,
    counts: VecDeque<IntervalCounts>,
    latencies: IndexMap<WorkKind, RecentLatencies>,
}

impl HedgePolicy {
    /// Counts a request.
    pub fn count_request(&mut self, now: Instant) {
        self.counts_at(now).requests += 1;
    }

    /// Counts a copy.
    pub fn count_copy(&mut self, now: Instant) {
        self.counts_at(now).copies += 1;
    }

    /// Takes back a copy that was counted at `time`, since it did not run.
    pub fn uncount_copy(&mut self, time: Instant) {
        let index = self.interval(time);
        if let Some(counts) = self.counts.iter_mut().find(|counts| counts.index == index) {
            counts.copies = counts.copies.saturating_sub(1);
        }
    }

    /// Records the latency of an attempt, from its admission to its response.
    pub fn observe(&mut self, kind: WorkKind, latency: Duration, now: Instant) {
        if !self.latencies.contains_key(&kind) && self.latencies.len() >= MAX_KINDS {
            self.latencies.shift_remove_index(0);
        }
        self.latencies.entry(kind).or_default().add(latency, now);
    }

    /// Returns the age of an attempt after which a copy starts: the 95th percentile of the recent
    /// latencies of its kind, or `None` while they are unknown.
    pub fn delay(&self, kind: WorkKind, now: Instant) -> Option<Duration> {
        self.latencies.get(&kind)?.quantile(1.0 - TAIL_SHARE, now)
    }

    /// Returns whether a copy may start, or what speaks against it. The retry budget and the choice
    /// of a gate remain to be checked.
    ///
    /// # Errors
    ///
    /// The first of the reasons that holds.
    pub fn check(
        &mut self,
        conditions: &HedgeConditions,
        kind: WorkKind,
        now: Instant,
    ) -> Result<(), Suppression> {
        if !conditions.has_attempts {
            return Err(Suppression::Attempts);
        }
        if conditions.degraded {
            return Err(Suppression::Degraded);
        }
        if conditions.free_share.is_none_or(|share| share < MIN_FREE_SHARE) {
            return Err(Suppression::FewSlots);
        }
        let latencies = self.latencies.get(&kind);
        let median = latencies.and_then(|latencies| latencies.quantile(0.5, now));
        if conditions.remaining <= median.unwrap_or_default() {
            return Err(Suppression::Late);
        }
        let (requests, copies) = self.counts_until(now);
        if f64::from(copies + 1) > conditions.limit * f64::from(requests) {
            return Err(Suppression::Limit);
        }
        Ok(())
    }

    /// Returns the requests and copies in the window that ends now. Of the interval that is partly
    /// before the window, copies count and requests do not, so that the limit holds exactly.
    fn counts_until(&mut self, now: Instant) -> (u32, u32) {
        let last = self.interval(now);
        let first = (last + 1).saturating_sub(window_intervals());
        let in_window = self.counts.iter().filter(|counts| counts.index + 1 >= first);
        in_window.fold((0, 0), |(requests, copies), counts| {
            let is_whole = counts.index >= first;
            (requests + if is_whole { counts.requests } else { 0 }, copies + counts.copies)
        })
    }

    fn counts_at(&mut self, now: Instant) -> &mut IntervalCounts {
        let index = self.interval(now);
        let first = index.saturating_sub(window_intervals());
        while self.counts.front().is_some_and(|counts| counts.index < first) {
            self.counts.pop_front();
        }
        if self.counts.back().is_none_or(|counts| counts.index < index) {
            self.counts.push_back(IntervalCounts { index, ..IntervalCounts::default() });
        }
        let last = self.counts.len() - 1;
        &mut self.counts[last]
    }

    fn interval(&mut self, time: Instant) -> u64 {
        let start = *self.start.get_or_insert(time);
        let elapsed = time.saturating_duration_since(start);
        (elapsed.as_nanos() / INTERVAL.as_nanos()) as u64
    }
}

fn window_intervals() -> u64 {
    (LIMIT_WINDOW.as_nanos() / INTERVAL.as_nanos()) as u64
}

/// The latest latencies of one kind of request, oldest first.
#[derive(Clone, Debug, Default)]
struct RecentLatencies(VecDeque<(Instant, Duration)>);

impl RecentLatencies {
    fn add(&mut self, latency: Duration, now: Instant) {
        if self.0.len() >= MAX_SAMPLES {
            self.0.pop_front();
        }
        self.0.push_back((now, latency));
    }

    /// Returns the smallest latency that at least `share` of the recent ones do not exceed.
    fn quantile(&self, share: f64, now: Instant) -> Option<Duration> {
        let is_recent = |time: Instant| now.saturating_duration_since(time) <= MAX_SAMPLE_AGE;
        let recent = self.0.iter().filter(|(time, _)| is_recent(*time));
        let mut latencies: Vec<Duration> = recent.map(|(_, latency)| *latency).collect();
        if latencies.len() < MIN_SAMPLES {
            return None;
        }
        let rank = (share * latencies.len() as f64).ceil() as usize;
        let index = rank.clamp(1, latencies.len()) - 1;
        Some(*latencies.select_nth_unstable(index).1)
    }
}
