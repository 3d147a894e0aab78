//! Outlier detection: ejects upstreams and paths by the results of real requests.
//!
//! Two sequential likelihood-ratio tests (CUSUM) run in parallel: one is tuned to an upstream that
//! fails nearly all requests, the other to an upstream that fails a part of them. Both fall towards
//! zero on success, so that errors at the normal rate do not add up.

use crate::prelude::*;
use crate::profile::Forgiveness;

/// Evidence at which an upstream is ejected, as a natural logarithm of the likelihood ratio. Keeps
/// wrong ejections below one in a million requests.
pub const EJECTION_THRESHOLD: f32 = 13.0;
/// Share of failures of an upstream that fails nearly all requests.
const TOTAL_FAILURE_SHARE: f32 = 0.9;
/// Share of failures of an upstream that fails a part of its requests.
const PARTIAL_FAILURE_SHARE: f32 = 0.3;
/// Successes that end a trial.
const TRIAL_SUCCESSES: u32 = 5;
/// Most doublings of the ejection time.
const MAX_DOUBLINGS: u32 = 5;
/// Healthy time after which earlier ejections are forgotten, as a multiple of the next ejection.
const FORGET_FACTOR: u32 = 10;
/// Weight of the newest sample in the mean latency.
const LATENCY_WEIGHT: f64 = 0.2;

/// The result of a finished or stuck request, as evidence for or against an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Observation {
    /// The request succeeded.
    Success,
    /// The request failed because of the upstream or the path.
    Failure,
}

/// A one-sided cumulative sum of log-likelihood ratios.
#[derive(Clone, Copy, Debug, Default)]
struct Cusum(f32);

impl Cusum {
    fn observe(&mut self, observation: Observation, normal: f32, faulty: f32) {
        let ratio = match observation {
            Observation::Success => (1.0 - faulty) / (1.0 - normal),
            Observation::Failure => faulty / normal,
        };
        // The upper bound keeps a long failure from delaying the return to service.
        self.0 = (self.0 + ratio.ln()).clamp(0.0, 2.0 * EJECTION_THRESHOLD);
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Healthy { since: Option<Instant> },
    Ejected { until: Instant },
    Trial { successes: u32 },
}

/// Decides on ejection and return to service from observations.
#[derive(Clone, Debug)]
pub struct OutlierDetector {
    total: Cusum,
    partial: Cusum,
    state: State,
    ejections: u32,
    mean_latency: Duration,
}

impl Default for OutlierDetector {
    fn default() -> Self {
        Self {
            total: Cusum::default(),
            partial: Cusum::default(),
            state: State::Healthy { since: None },
            ejections: 0,
            mean_latency: Duration::ZERO,
        }
    }
}

impl OutlierDetector {
    /// Records an observation and returns whether the condition changed.
    pub fn observe(&mut self, observation: Observation, now: Instant, rules: &Forgiveness) -> bool {
        let before = self.condition();
        let normal = (rules.errors as f32).clamp(0.001, 0.2);
        self.total.observe(observation, normal, TOTAL_FAILURE_SHARE);
        self.partial.observe(observation, normal, PARTIAL_FAILURE_SHARE);
        match (self.state, observation) {
            (State::Healthy { since }, _) if self.evidence() >= EJECTION_THRESHOLD => {
                self.eject(since, now, rules);
            }
            (State::Trial { .. }, Observation::Failure) => self.eject(None, now, rules),
            (State::Trial { successes }, Observation::Success) => {
                self.advance_trial(successes + 1, now);
            }
            _ => {}
        }
        before != self.condition()
    }

    /// Ends an ejection that is over, and returns whether a trial began.
    pub fn tick(&mut self, now: Instant) -> bool {
        match self.state {
            State::Ejected { until } if now >= until => {
                self.state = State::Trial { successes: 0 };
                true
            }
            _ => false,
        }
    }

    /// Records the latency of a short request.
    pub fn record_latency(&mut self, elapsed: Duration) {
        if self.mean_latency.is_zero() {
            self.mean_latency = elapsed;
        } else {
            let smoothed = self.mean_latency.mul_f64(1.0 - LATENCY_WEIGHT);
            self.mean_latency = smoothed + elapsed.mul_f64(LATENCY_WEIGHT);
        }
    }

    /// Returns the exponentially smoothed latency of short requests; zero before the first.
    pub fn mean_latency(&self) -> Duration {
        self.mean_latency
    }

    /// Returns the evidence against the upstream, as a log-likelihood ratio.
    pub fn evidence(&self) -> f32 {
        self.total.0.max(self.partial.0)
    }

    /// Returns the current condition.
    pub fn condition(&self) -> Condition {
        match self.state {
            State::Healthy { .. } => Condition::Healthy,
            State::Ejected { .. } => Condition::Ejected,
            State::Trial { .. } => Condition::Trial,
        }
    }

    fn eject(&mut self, healthy_since: Option<Instant>, now: Instant, rules: &Forgiveness) {
        let length = rules.ejection * (1 << self.ejections.min(MAX_DOUBLINGS));
        let forgotten = healthy_since.is_some_and(|since| now > since + length * FORGET_FACTOR);
        if forgotten {
            self.ejections = 0;
        }
        let length = rules.ejection * (1 << self.ejections.min(MAX_DOUBLINGS));
        self.ejections += 1;
        self.state = State::Ejected { until: now + length };
    }

    fn advance_trial(&mut self, successes: u32, now: Instant) {
        self.state = if successes >= TRIAL_SUCCESSES {
            self.total = Cusum::default();
            self.partial = Cusum::default();
            State::Healthy { since: Some(now) }
        } else {
            State::Trial { successes }
        };
    }
}
