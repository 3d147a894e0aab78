//! The probability that an upstream is in a spell of leaving work without answers.
//!
//! An upstream can fail grayly: its probes pass while it leaves most of its work hanging. Failures
//! tell so only when deadlines pass. This filter uses the age of the work in flight instead.
//!
//! It is the forward pass of a hidden Markov model with two states, well and in a spell. What
//! becomes of a run depends on the state at its start, so runs are taken in the order of their
//! starts: each one that is overdue, against the times that such work usually takes, raises the
//! probability, and each answer lowers it. A long run that was followed by answered ones raises
//! no doubt. Between runs the probability drifts to the share of time that spells last.

use std::collections::VecDeque;

use crate::latency::LatencyDistribution;
use crate::prelude::*;

/// Share of time that an upstream spends in spells when nothing is known.
pub(crate) const PRIOR_PROBABILITY: f64 = 0.14;
/// Probability of a spell up to which an upstream is chosen by its load alone.
pub(crate) const NEUTRAL_PROBABILITY: f64 = 0.15;
/// Probability of a spell up to which an upstream without recent work is probably well.
pub(crate) const HEALTHY_PROBABILITY: f64 = 0.2;
/// Time after which what was observed has lost most of its weight, in seconds: spells last for
/// seconds.
const DECAY_SECONDS: f64 = 6.0;
/// Share of the work that is left without an answer during a spell.
const HANG_SHARE: f64 = 0.75;
/// Least and most probability, so that no observation is ever final.
const PROBABILITY_RANGE: (f64, f64) = (0.002, 0.995);
/// Time to bring a repeat to another upstream.
const RETRY_OVERHEAD: Duration = Duration::from_millis(5);
/// Gain in the probability of an answer in time that a repeat must bring: it takes capacity.
const MIN_RETRY_GAIN: f64 = 0.25;
/// Worth of a late answer, as a part of that of a prompt one.
const LATE_RESPONSE_VALUE: f64 = 0.3;
/// Weight of a failure that was answered, as a likelihood ratio.
const FAILURE_LIKELIHOOD_RATIO: f64 = 6.0;
/// Ended runs that are kept in the order of their starts; older ones are summed up.
const MAX_ENDED_RUNS: usize = 32;

/// A run that has not been answered yet.
#[derive(Clone, Copy, Debug)]
pub struct InFlight {
    /// When it started.
    pub started: Instant,
    /// The share of such work that takes longer than its age.
    pub tail_share: f64,
}

/// Estimates whether one upstream is in a spell.
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
/// // One run is so old that only one in a hundred takes longer.
/// let old = InFlight { started: start, tail_share: 0.01 };
/// assert!(detector.probability(now, vec![old]) > 0.8);
/// // Runs that started later were answered, so it just takes long.
/// for _ in 0..4 {
///     detector.answered(start + Duration::from_millis(500));
/// }
/// assert!(detector.probability(now, vec![old]) < 0.2);
/// ```
#[derive(Clone, Debug)]
pub struct GrayFailureDetector {
    // The probability before the runs below.
    prior: f64,
    since: Instant,
    // Starts of ended runs with their likelihood ratios, in order.
    runs: VecDeque<(Instant, f64)>,
}

impl GrayFailureDetector {
    /// Starts without observations.
    pub fn new(now: Instant) -> Self {
        Self { prior: PRIOR_PROBABILITY, since: now, runs: VecDeque::new() }
    }

    /// Returns the probability of a spell, given the work in flight.
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

    /// Takes in the answer to a run.
    pub fn answered(&mut self, started: Instant) {
        self.add(started, 1.0 - HANG_SHARE);
    }

    /// Takes in a run that failed by the upstream's own answer, or whose connection it broke.
    pub fn failed(&mut self, started: Instant) {
        self.add(started, FAILURE_LIKELIHOOD_RATIO);
    }

    /// Takes in a run that was given up; `beyond` is the share of such work that takes longer.
    pub fn abandoned(&mut self, started: Instant, tail_share: f64) {
        self.add(started, overdue_ratio(tail_share));
    }

    fn add(&mut self, started: Instant, ratio: f64) {
        let place = self.runs.partition_point(|(other, _)| *other <= started);
        self.runs.insert(place, (started, ratio));
        if self.runs.len() > MAX_ENDED_RUNS
            && let Some(oldest) = self.runs.pop_front()
        {
            (self.prior, self.since) = step((self.prior, self.since), oldest);
        }
    }
}

/// Moves a probability on to the start of a run, and takes in what became of the run.
fn step((probability, since): (f64, Instant), (started, ratio): (Instant, f64)) -> (f64, Instant) {
    let probability = decay_to_prior(probability, started.saturating_duration_since(since));
    (update_odds(probability, ratio), since.max(started))
}

/// Returns what is left of a probability after some time without observations.
pub(crate) fn decay_to_prior(probability: f64, elapsed: Duration) -> f64 {
    PRIOR_PROBABILITY
        + (probability - PRIOR_PROBABILITY) * (-elapsed.as_secs_f64() / DECAY_SECONDS).exp()
}

/// A run that has not been answered yet, and the time that is left for it.
#[derive(Clone, Copy, Debug)]
pub struct UnansweredRun<'a> {
    /// How long such work takes.
    pub latency: &'a LatencyDistribution,
    /// Its age.
    pub age: Duration,
    /// Time left until an answer is late.
    pub target_left: Duration,
    /// Time left until an answer is useless.
    pub deadline_left: Duration,
}

impl UnansweredRun<'_> {
    /// Tells whether running the work anew elsewhere is worth more than waiting on, when the other
    /// work of its upstream says that it is in a spell with probability `spell`.
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

    /// Returns the worth of an answer that has come after some time with a given probability.
    fn value(&self, answered: impl Fn(Duration) -> f64) -> f64 {
        let (prompt, late) = (answered(self.target_left), answered(self.deadline_left));
        prompt + LATE_RESPONSE_VALUE * (late - prompt).max(0.0)
    }
}

/// How much likelier a run of this age is in a spell than outside of one.
fn overdue_ratio(tail_share: f64) -> f64 {
    (HANG_SHARE + (1.0 - HANG_SHARE) * tail_share) / tail_share
}

fn update_odds(probability: f64, ratio: f64) -> f64 {
    let odds = probability / (1.0 - probability) * ratio;
    (odds / (1.0 + odds)).clamp(PROBABILITY_RANGE.0, PROBABILITY_RANGE.1)
}
