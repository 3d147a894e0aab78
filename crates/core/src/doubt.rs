//! The probability that an upstream is in a spell of leaving work without answers.
//!
//! An upstream can fail grayly: its probes pass while it leaves most of its work hanging. Failures
//! tell so only when deadlines pass. This filter uses the age of the work in flight instead: each
//! run that is overdue, against the times that such work usually takes, raises the probability,
//! and each answer lowers it. Between observations it drifts to the share of time that spells
//! last.

use crate::prelude::*;
use crate::survival::Survival;

/// Share of time that an upstream spends in gray spells when nothing is known.
pub(crate) const BASE: f64 = 0.08;
/// Time after which what was observed has lost most of its weight: spells last for seconds.
const MEMORY: f64 = 4.0;
/// Share of the work that is left without an answer during a spell.
const HANGING: f64 = 0.75;
/// Least and most probability, so that no observation is ever final.
const RANGE: (f64, f64) = (0.002, 0.995);
/// Time to bring a repeat to another upstream.
const REPEAT_TIME: Duration = Duration::from_millis(5);
/// Gain in the probability of an answer in time that a repeat must bring: it takes capacity.
const GAIN: f64 = 0.15;
/// Worth of a late answer, as a part of that of a prompt one.
const LATE_WORTH: f64 = 0.3;
/// Weight of a failure that was answered, as a likelihood ratio.
const FAILURE_RATIO: f64 = 6.0;

/// Estimates whether one upstream is in a gray spell.
///
/// # Examples
///
/// ```
/// use std::time::Instant;
///
/// use lavenderflow_core::doubt::Doubt;
///
/// let now = Instant::now();
/// let mut doubt = Doubt::new(now);
/// // One run is so old that only one in a hundred takes longer.
/// let one = doubt.probability(now, [0.01]);
/// assert!(one > 0.8);
/// doubt.answered(now);
/// assert!(doubt.probability(now, [0.01]) < one);
/// ```
#[derive(Clone, Debug)]
pub struct Doubt {
    probability: f64,
    updated: Instant,
}

impl Doubt {
    /// Starts without observations.
    pub fn new(now: Instant) -> Self {
        Self { probability: BASE, updated: now }
    }

    /// Returns the probability of a spell, given the work in flight: for each run the share of
    /// such work that takes longer than its age.
    pub fn probability(&self, now: Instant, beyond: impl IntoIterator<Item = f64>) -> f64 {
        let ratio: f64 = beyond.into_iter().map(overdue_ratio).product();
        update(self.drifted(now), ratio)
    }

    /// Takes in an answer.
    pub fn answered(&mut self, now: Instant) {
        self.observe(now, 1.0 - HANGING);
    }

    /// Takes in a failure that the upstream answered with, or a connection that it broke.
    pub fn failed(&mut self, now: Instant) {
        self.observe(now, FAILURE_RATIO);
    }

    /// Takes in a run that was given up; `beyond` is the share of such work that takes longer.
    pub fn given_up(&mut self, now: Instant, beyond: f64) {
        self.observe(now, overdue_ratio(beyond));
    }

    fn observe(&mut self, now: Instant, ratio: f64) {
        self.probability = update(self.drifted(now), ratio);
        self.updated = now;
    }

    fn drifted(&self, now: Instant) -> f64 {
        drift(self.probability, now.saturating_duration_since(self.updated))
    }
}

/// Returns what is left of a probability after some time without observations.
pub(crate) fn drift(probability: f64, elapsed: Duration) -> f64 {
    BASE + (probability - BASE) * (-elapsed.as_secs_f64() / MEMORY).exp()
}

/// A run that has not been answered yet, and the time that is left for it.
#[derive(Clone, Copy, Debug)]
pub struct Waiting<'a> {
    /// How long such work takes.
    pub survival: &'a Survival,
    /// Its age.
    pub age: Duration,
    /// Time left until an answer is late.
    pub prompt: Duration,
    /// Time left until an answer is useless.
    pub left: Duration,
}

impl Waiting<'_> {
    /// Tells whether running the work anew elsewhere is worth more than waiting on, when its
    /// upstream is in a spell with probability `spell`.
    pub fn should_give_up(&self, spell: f64) -> bool {
        let Self { survival, age, .. } = *self;
        let beyond = survival.beyond(age);
        let hangs = spell * HANGING;
        let hangs = hangs / (hangs + (1.0 - hangs) * beyond);
        let wait = |time| (1.0 - hangs) * (1.0 - survival.beyond(age + time) / beyond);
        let anew = |time: Duration| {
            let time = time.saturating_sub(REPEAT_TIME);
            (1.0 - BASE * HANGING) * (1.0 - survival.beyond(time))
        };
        self.value(anew) > self.value(wait) + GAIN
    }

    /// Returns the worth of an answer that has come after some time with a given probability.
    fn value(&self, answered: impl Fn(Duration) -> f64) -> f64 {
        let (prompt, late) = (answered(self.prompt), answered(self.left));
        prompt + LATE_WORTH * (late - prompt).max(0.0)
    }
}

/// How much likelier a run of this age is in a spell than outside of one.
fn overdue_ratio(beyond: f64) -> f64 {
    (HANGING + (1.0 - HANGING) * beyond) / beyond
}

fn update(probability: f64, ratio: f64) -> f64 {
    let odds = probability / (1.0 - probability) * ratio;
    (odds / (1.0 + odds)).clamp(RANGE.0, RANGE.1)
}
