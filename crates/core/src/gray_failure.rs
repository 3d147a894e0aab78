//! Estimates the probability that an upstream is in a gray failure.
//!
//! In a gray failure, an upstream leaves most requests hanging while its probes pass. Failed
//! requests show this only when deadlines pass, so the estimate uses the age of the runs in flight.
//!
//! It is the forward pass of a hidden Markov model with two states, healthy and gray. The result of
//! a run depends on the state at its start, so runs are processed in the order of their starts:
//! each run that is overdue by the latency distribution of its kind raises the probability, and
//! each response lowers it. A long run that was followed by answered runs does not raise it.
//! Between runs the probability decays to the share of time that gray failures last.

use std::collections::VecDeque;

use crate::latency::LatencyDistribution;
use crate::prelude::*;

/// Share of time that an upstream spends in gray failures when nothing is known.
pub(crate) const PRIOR_PROBABILITY: f64 = 0.14;
/// Gray failure probability up to which an upstream is chosen by its load alone.
pub(crate) const NEUTRAL_PROBABILITY: f64 = 0.15;
/// Gray failure probability above which an upstream is likely gray.
pub(crate) const LIKELY_GRAY_PROBABILITY: f64 = 0.4;
/// Gray failure probability up to which an upstream without recent work is probably healthy.
pub(crate) const HEALTHY_PROBABILITY: f64 = 0.2;
/// Time constant of the decay to the prior probability: gray failures last for seconds.
const DECAY_SECONDS: f64 = 6.0;
/// Share of requests that are left without a response during a gray failure.
const HANG_SHARE: f64 = 0.75;
/// Least and greatest probability, so that no observation is ever final.
const PROBABILITY_RANGE: (f64, f64) = (0.002, 0.995);
/// Time to bring a retry to another upstream.
const RETRY_OVERHEAD: Duration = Duration::from_millis(5);
/// Gain in the probability of a timely response that a retry must bring, since it takes capacity.
const MIN_RETRY_GAIN: f64 = 0.25;
/// Value of a late response relative to a response within the target latency.
const LATE_RESPONSE_VALUE: f64 = 0.3;
/// Likelihood ratio of a run that failed without hanging.
const FAILURE_LIKELIHOOD_RATIO: f64 = 6.0;
/// Most finished runs that are kept in the order of their starts; older ones are merged into the
/// probability before them.
const MAX_FINISHED_RUNS: usize = 32;

/// A run without a response, as input of the estimate.
#[derive(Clone, Copy, Debug)]
pub struct InFlight {
    /// Time at which the run started.
    pub started: Instant,
    /// Share of runs of the same kind that take longer than the age of this run.
    pub tail_share: f64,
}

/// Estimates the gray failure probability of one upstream.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use lavenderflow_core::gray_failure::{GrayFailureDetector, InFlight};
///
/// let start = Instant::now();
/// let now = start + Duration::from_secs(1);
/// let mut detector = GrayFailureDetector::new(start);
/// // The run is so old that only one in a hundred takes longer.
/// let old = InFlight { started: start, tail_share: 0.01 };
/// assert!(detector.probability(now, vec![old]) > 0.8);
/// // Runs that started later were answered, so this run merely takes long.
/// for _ in 0..4 {
///     detector.answered(start + Duration::from_millis(500));
/// }
/// assert!(detector.probability(now, vec![old]) < 0.2);
/// ```
#[derive(Clone, Debug)]
pub struct GrayFailureDetector {
    // Probability at `since`, before the runs below.
    prior: f64,
    since: Instant,
    // Start times of finished runs with their likelihood ratios, in order.
    runs: VecDeque<(Instant, f64)>,
}

impl GrayFailureDetector {
    /// Creates a detector without observations.
    pub fn new(now: Instant) -> Self {
        Self { prior: PRIOR_PROBABILITY, since: now, runs: VecDeque::new() }
    }

    /// Returns the gray failure probability, given the runs in flight.
    pub fn probability(&self, now: Instant, mut in_flight: Vec<InFlight>) -> f64 {
        in_flight.sort_by_key(|run| run.started);
        let mut waiting =
            in_flight.iter().map(|run| (run.started, overdue_ratio(run.tail_share))).peekable();
        let mut state = (self.prior, self.since);
        for run in &self.runs {
            while let Some(earlier) = waiting.next_if(|(started, _)| *started < run.0) {
                state = step(state, earlier);
            }
            state = step(state, *run);
        }
        state = waiting.fold(state, step);
        decay_to_prior(state.0, now.saturating_duration_since(state.1))
    }

    /// Returns whether any run has finished.
    pub fn has_observations(&self) -> bool {
        !self.runs.is_empty()
    }

    /// Records a run that was answered.
    pub fn answered(&mut self, started: Instant) {
        self.add(started, 1.0 - HANG_SHARE);
    }

    /// Records a run that failed with an error response or a broken connection.
    pub fn failed(&mut self, started: Instant) {
        self.add(started, FAILURE_LIKELIHOOD_RATIO);
    }

    /// Records a run that timed out or was cancelled without a response. `tail_share` is the share
    /// of runs that take longer.
    pub fn unanswered(&mut self, started: Instant, tail_share: f64) {
        self.add(started, overdue_ratio(tail_share));
    }

    fn add(&mut self, started: Instant, ratio: f64) {
        let place = self.runs.partition_point(|(other, _)| *other <= started);
        self.runs.insert(place, (started, ratio));
        if self.runs.len() > MAX_FINISHED_RUNS
            && let Some(oldest) = self.runs.pop_front()
        {
            (self.prior, self.since) = step((self.prior, self.since), oldest);
        }
    }
}

/// Decays a probability until the start of a run, and applies the likelihood ratio of the run.
fn step((probability, since): (f64, Instant), (started, ratio): (Instant, f64)) -> (f64, Instant) {
    let probability = decay_to_prior(probability, started.saturating_duration_since(since));
    (update_odds(probability, ratio), since.max(started))
}

/// Returns a gray failure probability after `elapsed` without observations.
pub(crate) fn decay_to_prior(probability: f64, elapsed: Duration) -> f64 {
    PRIOR_PROBABILITY
        + (probability - PRIOR_PROBABILITY) * (-elapsed.as_secs_f64() / DECAY_SECONDS).exp()
}

/// A run without a response, with the time that it has left.
#[derive(Clone, Copy, Debug)]
pub struct UnansweredRun<'a> {
    /// Latency distribution of runs of the same kind.
    pub latency: &'a LatencyDistribution,
    /// Age of the run.
    pub age: Duration,
    /// Time left until a response misses the target latency.
    pub target_left: Duration,
    /// Time left until the deadline, after which a response is useless.
    pub deadline_left: Duration,
}

impl UnansweredRun<'_> {
    /// Returns whether a retry elsewhere is worth more than waiting. `gray_probability` is the
    /// gray failure probability of the upstream according to its other runs.
    pub fn should_abandon(&self, gray_probability: f64) -> bool {
        let Self { latency, age, .. } = *self;
        let tail_share = latency.tail_share(age);
        let hangs = gray_probability * HANG_SHARE;
        let hangs = hangs / (hangs + (1.0 - hangs) * tail_share);
        let wait = |time| (1.0 - hangs) * (1.0 - latency.tail_share(age + time) / tail_share);
        let retry = |time: Duration| {
            let time = time.saturating_sub(RETRY_OVERHEAD);
            (1.0 - PRIOR_PROBABILITY * HANG_SHARE) * (1.0 - latency.tail_share(time))
        };
        self.value(retry) > self.value(wait) + MIN_RETRY_GAIN
    }

    /// Returns the value of a response whose probability of arriving within a time is `answered`.
    fn value(&self, answered: impl Fn(Duration) -> f64) -> f64 {
        let (on_time, late) = (answered(self.target_left), answered(self.deadline_left));
        on_time + LATE_RESPONSE_VALUE * (late - on_time).max(0.0)
    }
}

/// Returns how much more likely a run is to be unanswered in a gray failure than outside of one.
fn overdue_ratio(tail_share: f64) -> f64 {
    (HANG_SHARE + (1.0 - HANG_SHARE) * tail_share) / tail_share
}

fn update_odds(probability: f64, ratio: f64) -> f64 {
    let odds = probability / (1.0 - probability) * ratio;
    (odds / (1.0 + odds)).clamp(PROBABILITY_RANGE.0, PROBABILITY_RANGE.1)
}
