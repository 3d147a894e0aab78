//! The gates that offer one service, as one entry sees them.

use rand::Rng;
use rand::seq::IteratorRandom;

use crate::floor::{self, Candidate};
use crate::gray_failure;
use crate::prelude::*;
use crate::selector::GateCriteria;

/// Interval at which the choice is made anew without news.
const REFRESH_INTERVAL: Duration = Duration::from_millis(100);
/// Gates with known times from which on their median says what is usual.
const MIN_MEDIAN_GATES: usize = 4;
/// Evidence against a node that no observer can reach.
const EXPELLED_EVIDENCE: f32 = 50.0;
/// Age at which a load report no longer says how busy a gate is.
const MAX_REPORT_AGE: Duration = Duration::from_millis(250);
/// Time of short work that is assumed before the first report.
const INITIAL_LATENCY: Duration = Duration::from_millis(5);
/// Least interval between two trial requests to one gate.
const MIN_TRIAL_INTERVAL: Duration = Duration::from_millis(200);

/// Time within which the whole fleet asks each doubtful gate about once whether it takes a trial.
const TRIAL_PERIOD: Duration = Duration::from_millis(600);
/// The same while the service leaves requests unserved: each gate must get some work within two
/// seconds then. One that is not due refuses, so asking costs a round trip only.
const DEGRADED_TRIAL_PERIOD: Duration = Duration::from_millis(300);
/// Largest share of the requests that may be repeated which ask for a trial.
const MAX_IDEMPOTENT_TRIAL_SHARE: f64 = 0.4;
/// Largest share of the other requests which ask for a trial, where the first kind is too rare.
const MAX_ONCE_TRIAL_SHARE: f64 = 0.2;
/// Time over which arrivals are averaged.
const RATE_TIME_CONSTANT: Duration = Duration::from_secs(5);

/// Smoothed number of arrivals per second.
#[derive(Debug, Default)]
struct ArrivalRate {
    rate: f64,
    last: Option<Instant>,
}

impl ArrivalRate {
    /// Counts an arrival and returns the rate, which is never zero.
    fn count(&mut self, now: Instant) -> f64 {
        self.rate = self.at(now) + 1.0 / RATE_TIME_CONSTANT.as_secs_f64();
        self.last = Some(now);
        self.rate
    }

    /// Returns the rate.
    fn at(&self, now: Instant) -> f64 {
        let Some(last) = self.last else { return 0.0 };
        let elapsed = now.saturating_duration_since(last).as_secs_f64();
        self.rate * (-elapsed / RATE_TIME_CONSTANT.as_secs_f64()).exp()
    }
}

/// One gate, as one entry sees it.
#[derive(Clone, Debug)]
pub struct GateView {
    /// The gate's node.
    pub node: NodeId,
    /// Whether it is in the entry's own zone.
    pub same_zone: bool,
    /// Announced slots.
    pub slots: u32,
    /// Whether no observer can reach the node.
    pub expelled: bool,
    /// The last load report.
    pub load: Load,
    /// Requests dispatched by this entry and not yet in a load report.
    pub unreported: u32,
    reported_at: Option<Instant>,
    last_trial: Option<Instant>,
}

impl GateView {
    /// Creates the view of a gate without a load report.
    pub fn new(node: NodeId, same_zone: bool) -> Self {
        Self {
            node,
            same_zone,
            slots: 0,
            expelled: false,
            load: Load::default(),
            unreported: 0,
            reported_at: None,
            last_trial: None,
        }
    }

    /// Estimates how long a request would wait and run.
    pub fn expected_time(&self, now: Instant, cross_zone_latency: Duration) -> Duration {
        let fresh = self.reported_at.is_some_and(|time| now < time + MAX_REPORT_AGE);
        let busy = if fresh { self.load.busy + self.load.queued } else { 0 };
        let latency =
            if self.load.mean_latency.is_zero() { INITIAL_LATENCY } else { self.load.mean_latency };
        let work = latency * (busy + self.unreported + 1) / self.slots.max(1);
        if self.same_zone { work } else { work + cross_zone_latency }
    }
}

impl GateView {
    /// Estimates the probability of a gray spell from the last report and its age.
    pub fn gray_probability(&self, now: Instant) -> f64 {
        match self.reported_at {
            Some(time) => gray_failure::decay_to_prior(
                self.load.gray_probability.into(),
                now.saturating_duration_since(time),
            ),
            None => gray_failure::PRIOR_PROBABILITY,
        }
    }

    /// Estimates the wait for a slot; `None` when the last report is too old to say.
    pub fn known_wait(&self, now: Instant) -> Option<Duration> {
        let is_fresh = self.reported_at.is_some_and(|time| now < time + MAX_REPORT_AGE);
        if !is_fresh {
            return None;
        }
        let busy = self.load.busy + self.load.queued;
        let ahead = (busy + self.unreported + 1).saturating_sub(self.slots);
        let latency =
            if self.load.mean_latency.is_zero() { INITIAL_LATENCY } else { self.load.mean_latency };
        Some(latency * ahead / self.slots.max(1))
    }
}

/// The gates of one service and which of them are in the choice.
#[derive(Debug, Default)]
pub struct GatePool {
    gates: IndexMap<NodeId, GateView>,
    eligible: Vec<usize>,
    same_zone: Vec<usize>,
    trials: Vec<usize>,
    median_latency: Duration,
    refreshed_at: Option<Instant>,
    // Whether gates that are out are tried all the time, since their own doubt protects callers.
    gray_trials: bool,
    // Arrivals of requests that may be repeated, and of the others.
    idempotent_rate: ArrivalRate,
    once_rate: ArrivalRate,
}

/// Evidence against the path to a gate: whether it is suspect, and how strong the evidence is.
pub type PathEvidence = (Condition, f32);

impl GatePool {
    /// Returns a gate, to change it. The choice is made anew.
    pub fn gate_mut(&mut self, node: NodeId, same_zone: bool) -> &mut GateView {
        self.refreshed_at = None;
        self.gates.entry(node).or_insert_with(|| GateView::new(node, same_zone))
    }

    /// Removes a gate.
    pub fn remove(&mut self, node: NodeId) {
        self.refreshed_at = None;
        self.gates.swap_remove(&node);
    }

    /// Makes the choice anew, when the evidence against a path has changed.
    pub fn invalidate(&mut self) {
        self.refreshed_at = None;
    }

    /// Tells whether there is no gate.
    pub fn is_empty(&self) -> bool {
        self.gates.is_empty()
    }

    /// Returns all gates, with whether each is in the choice.
    pub fn gates(&self) -> impl Iterator<Item = (&GateView, bool)> {
        self.gates.values().enumerate().map(|(i, gate)| (gate, self.eligible.contains(&i)))
    }

    /// Counts a dispatch that no load report includes yet.
    pub fn record_dispatch(&mut self, node: NodeId) {
        if let Some(gate) = self.gates.get_mut(&node) {
            gate.unreported += 1;
        }
    }

    /// Uncounts a dispatch that a load report includes or that came to nothing.
    pub fn resolve_dispatch(&mut self, node: NodeId) {
        if let Some(gate) = self.gates.get_mut(&node) {
            gate.unreported = gate.unreported.saturating_sub(1);
        }
    }

    /// Takes in a load report.
    pub fn record_load(&mut self, node: NodeId, load: Load, now: Instant) {
        let Some(gate) = self.gates.get_mut(&node) else {
            return;
        };
        if gate.load.condition != load.condition {
            self.refreshed_at = None;
        }
        gate.load = load;
        gate.reported_at = Some(now);
    }

    /// Decides which gates are in the choice, if that is due.
    pub fn refresh(&mut self, now: Instant, floor: f64, path: impl Fn(NodeId) -> PathEvidence) {
        if self.refreshed_at.is_some_and(|time| now < time + REFRESH_INTERVAL) {
            return;
        }
        self.refreshed_at = Some(now);
        self.median_latency = self.compute_median_latency();
        let gates = self.gates.values();
        let candidates: Vec<Candidate> = gates.map(|gate| candidate(gate, &path)).collect();
        let chosen = floor::select(&candidates, floor);
        self.eligible = (0..chosen.len()).filter(|i| chosen[*i]).collect();
        self.same_zone =
            self.eligible.iter().copied().filter(|i| self.gates[*i].same_zone).collect();
        let on_trial = |i: &usize| {
            let gate = &self.gates[*i];
            let is_due = if self.gray_trials {
                gate.load.condition != Condition::Healthy
                    || gate.gray_probability(now) > gray_failure::HEALTHY_PROBABILITY
            } else {
                !chosen[*i] && gate.load.condition != Condition::Ejected
            };
            is_due && !gate.expelled && path(gate.node).0 != Condition::Ejected
        };
        self.trials = (0..chosen.len()).filter(on_trial).collect();
    }

    /// Returns the gates in the choice: those in the own zone and all.
    pub fn eligible(&self) -> (&[usize], &[usize]) {
        (&self.same_zone, &self.eligible)
    }

    /// Returns the gate at an index of [`GatePool::eligible`].
    pub fn gate(&self, index: usize) -> &GateView {
        &self.gates[index]
    }

    /// Counts a request and returns the probability with which it asks a doubtful gate for a
    /// trial, so that a fleet of `entries` asks each of these about once in [`TRIAL_PERIOD`].
    /// Requests that may be repeated go first, since a trial can leave them without an answer;
    /// the others follow only while the service is strained.
    pub fn trial_share(
        &mut self,
        criteria: &GateCriteria<'_>,
        entries: usize,
        now: Instant,
    ) -> f64 {
        self.gray_trials = true;
        let entries = entries.max(1) as f64;
        let period = if criteria.degraded { DEGRADED_TRIAL_PERIOD } else { TRIAL_PERIOD };
        let wanted = self.trials.len() as f64 / period.as_secs_f64() / entries;
        if criteria.idempotent {
            let rate = self.idempotent_rate.count(now);
            return (wanted / rate).min(MAX_IDEMPOTENT_TRIAL_SHARE);
        }
        let rate = self.once_rate.count(now);
        let missing = wanted - self.idempotent_rate.at(now) * MAX_IDEMPOTENT_TRIAL_SHARE;
        if criteria.degraded { (missing / rate).clamp(0.0, MAX_ONCE_TRIAL_SHARE) } else { 0.0 }
    }

    /// Returns how many gates wait for trial requests.
    pub fn trials(&self) -> usize {
        self.trials.len()
    }

    /// Takes a gate for a trial request, if one is due. Any of them will do: entries that follow an
    /// order would all try the same one.
    pub fn take_trial(&mut self, now: Instant, rng: &mut impl Rng) -> Option<NodeId> {
        let due =
            |gate: &GateView| gate.last_trial.is_none_or(|time| now >= time + MIN_TRIAL_INTERVAL);
        let due = self.trials.iter().copied().filter(|i| due(&self.gates[*i]));
        let index = due.choose(rng)?;
        let gate = &mut self.gates[index];
        gate.last_trial = Some(now);
        Some(gate.node)
    }

    /// Returns the median time of short work at the gates; zero when too few are known.
    pub fn median_latency(&self) -> Duration {
        self.median_latency
    }

    fn compute_median_latency(&self) -> Duration {
        let latencies = self.gates.values().map(|gate| gate.load.mean_latency);
        let mut latencies: Vec<Duration> = latencies.filter(|pace| !pace.is_zero()).collect();
        if latencies.len() < MIN_MEDIAN_GATES {
            return Duration::ZERO;
        }
        latencies.sort_unstable();
        latencies[latencies.len() / 2]
    }
}

fn candidate(gate: &GateView, path: impl Fn(NodeId) -> PathEvidence) -> Candidate {
    let (path_condition, path_evidence) = path(gate.node);
    let is_unhealthy = gate.load.condition != Condition::Healthy;
    let unreachable = path_condition != Condition::Healthy;
    let mut evidence = 0.0;
    evidence += if is_unhealthy { gate.load.evidence } else { 0.0 };
    evidence += if unreachable { path_evidence } else { 0.0 };
    evidence += if gate.expelled { EXPELLED_EVIDENCE } else { 0.0 };
    Candidate { slots: gate.slots, suspect: is_unhealthy || unreachable || gate.expelled, evidence }
}
