//! Latency distributions: the share of runs that last longer than a given time.

use std::time::Duration;

/// Shortest time that the buckets distinguish.
const FIRST_BUCKET_SECONDS: f64 = 0.004;
/// Growth of the time from one bucket to the next.
const BUCKET_GROWTH: f64 = 1.2;
/// Number of buckets; the last begins at about 90 s.
const BUCKET_COUNT: usize = 56;
/// Weight of the assumed distribution, in runs.
const PRIOR_RUNS: f64 = 6.0;
/// Share of the counts that is kept with each new run, so that the distribution follows changes.
const RETAINED_SHARE: f64 = 0.99;
/// Runs from which on the fastest time is known.
const MIN_FASTEST_RUNS: f64 = 20.0;
/// Count of a bucket that is left of one run after 300 others.
const NEGLIGIBLE_COUNT: f64 = 0.05;
/// Shape of the assumed log-logistic distribution, which has the tail of mixed work.
const PRIOR_SHAPE: f64 = 2.2;

/// Estimates the latency distribution of one kind of work from finished runs.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use lavenderflow_core::latency::LatencyDistribution;
///
/// let mut latency = LatencyDistribution::new(Duration::from_millis(100));
/// assert_eq!(latency.tail_share(Duration::ZERO), 1.0);
/// assert!((latency.tail_share(Duration::from_millis(100)) - 0.5).abs() < 0.01);
/// for _ in 0..100 {
///     latency.observe(Duration::from_millis(10));
/// }
/// assert!(latency.tail_share(Duration::from_millis(100)) < 0.1);
/// ```
#[derive(Clone, Debug)]
pub struct LatencyDistribution {
    median: f64,
    counts: [f64; BUCKET_COUNT],
    total: f64,
}

impl LatencyDistribution {
    /// Creates a distribution with an assumed median, used until runs have finished.
    pub fn new(median: Duration) -> Self {
        let median = median.as_secs_f64().max(FIRST_BUCKET_SECONDS);
        Self { median, counts: [0.0; BUCKET_COUNT], total: 0.0 }
    }

    /// Records the latency of an answered run.
    pub fn observe(&mut self, time: Duration) {
        for count in &mut self.counts {
            *count *= RETAINED_SHARE;
        }
        self.total = self.total * RETAINED_SHARE + 1.0;
        self.counts[bucket(time)] += 1.0;
    }

    /// Returns the share of runs that last longer than `time`, above 0 and at most 1.
    pub fn tail_share(&self, time: Duration) -> f64 {
        let first = bucket(time);
        // Half of the bucket that contains `time` counts as later.
        let later: f64 = self.counts[first + 1..].iter().sum();
        let longer = later + self.counts[first] / 2.0;
        let prior = 1.0 / (1.0 + (time.as_secs_f64() / self.median).powf(PRIOR_SHAPE));
        ((longer + PRIOR_RUNS * prior) / (self.total + PRIOR_RUNS)).clamp(1e-3, 1.0)
    }

    /// Returns a time below which no recent run has finished; zero until enough runs are known.
    pub fn fastest(&self) -> Duration {
        if self.total < MIN_FASTEST_RUNS {
            return Duration::ZERO;
        }
        // The first bucket also holds all shorter times.
        let first = self.counts.iter().position(|count| *count > NEGLIGIBLE_COUNT).unwrap_or(0);
        if first == 0 { Duration::ZERO } else { bucket_start(first) }
    }

    /// Returns the time within which half of the runs finish.
    pub fn median(&self) -> Duration {
        let index = (0..BUCKET_COUNT).find(|index| self.tail_share(bucket_start(*index)) < 0.5);
        bucket_start(index.unwrap_or(BUCKET_COUNT))
    }
}

fn bucket_start(index: usize) -> Duration {
    Duration::from_secs_f64(FIRST_BUCKET_SECONDS * BUCKET_GROWTH.powi(index as i32))
}

fn bucket(time: Duration) -> usize {
    let steps = (time.as_secs_f64() / FIRST_BUCKET_SECONDS).max(1.0).ln() / BUCKET_GROWTH.ln();
    (steps as usize).min(BUCKET_COUNT - 1)
}
