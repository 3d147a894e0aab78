//! The gates that offer one service, as one entry knows them.

use rand::Rng;
use rand::seq::IteratorRandom;

use crate::floor::{self, Candidate};
use crate::gray_failure;
use crate::prelude::*;
use crate::selector::GateCriteria;
use crate::subset::{self, SubsetSize};
use crate::upstream::rejection;

/// Interval at which the eligible gates are recomputed when no condition has changed.
const REFRESH_INTERVAL: Duration = Duration::from_millis(100);
/// Least number of gates with a known latency for a median.
const MIN_MEDIAN_GATES: usize = 4;
/// Evidence that counts against a node that no observer can reach.
const EXPELLED_EVIDENCE: f32 = 50.0;
/// Age from which a load report no longer tells how busy a gate is.
const MAX_REPORT_AGE: Duration = Duration::from_millis(250);
/// Age up to which a load report says how many slots are free. Hedging looks at all gates of the
/// subset, each of which one entry hears from only now and then; a load peak lasts for seconds.
const MAX_FREE_SLOT_AGE: Duration = Duration::from_secs(1);
/// Latency of short requests that is assumed before the first load report.
const INITIAL_LATENCY: Duration = Duration::from_millis(5);
/// Least interval between two trial requests from this entry to one gate.
const MIN_TRIAL_INTERVAL: Duration = Duration::from_millis(200);

/// Period in which the whole fleet offers each gate that is unhealthy or may be gray about one
/// trial request.
const TRIAL_PERIOD: Duration = Duration::from_millis(600);
/// The same period while the service leaves requests unserved: each gate must then get some work
/// within two seconds. A gate at which no trial is due refuses, which costs only a round trip.
const DEGRADED_TRIAL_PERIOD: Duration = Duration::from_millis(300);
/// Largest share of the idempotent requests that are offered as trial requests.
const MAX_IDEMPOTENT_TRIAL_SHARE: f64 = 0.4;
/// Largest share of the other requests that are offered as trial requests, where idempotent ones
/// are too rare.
const MAX_OTHER_TRIAL_SHARE: f64 = 0.2;
/// Time constant of the average over arrivals.
const RATE_TIME_CONSTANT: Duration = Duration::from_secs(5);

/// Exponentially weighted number of arrivals per second.
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

    /// Returns the rate at a time.
    fn at(&self, now: Instant) -> f64 {
        let Some(last) = self.last else { return 0.0 };
        let elapsed = now.saturating_duration_since(last).as_secs_f64();
        self.rate * (-elapsed / RATE_TIME_CONSTANT.as_secs_f64()).exp()
    }
}

/// One gate, as one entry knows it.
#[derive(Clone, Debug)]
pub struct GateView {
    /// The gate's node.
    pub node: NodeId,
    /// Whether the gate is in the entry's own zone.
    pub same_zone: bool,
    /// Slots that the gate announces.
    pub slots: u32,
    /// Whether no observer can reach the node.
    pub expelled: bool,
    /// The last load report.
    pub load: Load,
    /// Requests that this entry dispatched and that are not in a load report yet.
    pub unreported: u32,
    reported_at: Option<Instant>,
    // Time until which the gate takes no request, because of the rate that its upstream allows.
    rate_limited_until: Option<Instant>,
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
            rate_limited_until: None,
            last_trial: None,
        }
    }

    /// Estimates how long a request would wait and run at this gate.
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
    /// Estimates the probability of a gray failure from the last load report and its age.
    pub fn gray_probability(&self, now: Instant) -> f64 {
        match self.reported_at {
            Some(time) => gray_failure::decay_to_prior(
                self.load.gray_probability.into(),
                now.saturating_duration_since(time),
            ),
            None => gray_failure::PRIOR_PROBABILITY,
        }
    }

    /// Estimates the share of requests that its upstreams reject, from the last load report and its
    /// age.
    pub fn rejected_share(&self, now: Instant) -> f64 {
        let age = self.reported_at.map(|time| now.saturating_duration_since(time));
        age.map_or(0.0, |age| f64::from(self.load.rejected_share) * rejection::decay(age))
    }

    /// Returns whether its upstreams are ejected, on trial or likely gray.
    pub fn is_unhealthy(&self, now: Instant) -> bool {
        self.load.condition != Condition::Healthy
            || self.gray_probability(now) > gray_failure::LIKELY_GRAY_PROBABILITY
    }

    /// Returns how long the gate takes no request, because of the rate that its upstream allows.
    pub fn rate_wait(&self, now: Instant) -> Duration {
        self.rate_limited_until.map_or(Duration::ZERO, |end| end.saturating_duration_since(now))
    }

    /// Estimates the wait for a slot; `None` when the last load report is too old.
    pub fn known_wait(&self, now: Instant) -> Option<Duration> {
        let rate_wait = self.rate_wait(now);
        let is_fresh = self.reported_at.is_some_and(|time| now < time + MAX_REPORT_AGE);
        if !is_fresh {
            return (!rate_wait.is_zero()).then_some(rate_wait);
        }
        let busy = self.load.busy + self.load.queued;
        let ahead = (busy + self.unreported + 1).saturating_sub(self.slots);
        let latency =
            if self.load.mean_latency.is_zero() { INITIAL_LATENCY } else { self.load.mean_latency };
        Some((latency * ahead / self.slots.max(1)).max(rate_wait))
    }
}

/// The gates of one service, and which of them are eligible.
#[derive(Debug, Default)]
pub struct GatePool {
    gates: IndexMap<NodeId, GateView>,
    eligible: Vec<usize>,
    // The eligible gates that requests are sent to.
    subset: Vec<usize>,
    subset_size: SubsetSize,
    same_zone: Vec<usize>,
    trials: Vec<usize>,
    median_latency: Duration,
    refreshed_at: Option<Instant>,
    // Whether all gates that are unhealthy or may be gray get trial requests, also ejected ones.
    // Such a gate protects callers: it refuses requests by its own estimate of the gray failure.
    gray_trials: bool,
    // Arrivals of idempotent requests, and of the others.
    idempotent_rate: ArrivalRate,
    other_rate: ArrivalRate,
}

/// The condition of the path to a gate, and the weight of the evidence against it.
pub type PathEvidence = (Condition, f32);

impl GatePool {
    /// Returns a gate to change it, and has the eligible gates recomputed.
    pub fn gate_mut(&mut self, node: NodeId, same_zone: bool) -> &mut GateView {
        self.refreshed_at = None;
        self.gates.entry(node).or_insert_with(|| GateView::new(node, same_zone))
    }

    /// Removes a gate.
    pub fn remove(&mut self, node: NodeId) {
        self.refreshed_at = None;
        self.gates.swap_remove(&node);
    }

    /// Has the eligible gates recomputed, since the evidence against a path has changed.
    pub fn invalidate(&mut self) {
        self.refreshed_at = None;
    }

    /// Returns whether there is no gate.
    pub fn is_empty(&self) -> bool {
        self.gates.is_empty()
    }

    /// Returns all gates, and whether each is eligible.
    pub fn gates(&self) -> impl Iterator<Item = (&GateView, bool)> {
        self.gates.values().enumerate().map(|(i, gate)| (gate, self.eligible.contains(&i)))
    }

    /// Counts a dispatch that is not in a load report yet.
    pub fn record_dispatch(&mut self, node: NodeId) {
        if let Some(gate) = self.gates.get_mut(&node) {
            gate.unreported += 1;
        }
    }

    /// Stops counting a dispatch that is in a load report or did not reach the gate.
    pub fn resolve_dispatch(&mut self, node: NodeId) {
        if let Some(gate) = self.gates.get_mut(&node) {
            gate.unreported = gate.unreported.saturating_sub(1);
        }
    }

    /// Records a load report.
    pub fn record_load(&mut self, node: NodeId, load: Load, now: Instant) {
        let Some(gate) = self.gates.get_mut(&node) else {
            return;
        };
        let was_unhealthy = gate.is_unhealthy(now);
        gate.load = load;
        gate.reported_at = Some(now);
        gate.rate_limited_until = (!load.rate_wait.is_zero()).then(|| now + load.rate_wait);
        if gate.is_unhealthy(now) != was_unhealthy {
            self.refreshed_at = None;
        }
    }

    /// Adds gates to the subset, since those in it refused a request.
    pub fn grow_subset(&mut self, now: Instant) {
        if self.subset.len() < self.eligible.len() {
            self.subset_size.grow(now);
            self.refreshed_at = None;
        }
    }

    /// Recomputes the eligible gates and the subset of `entry`, if that is due.
    pub fn refresh(
        &mut self,
        entry: NodeId,
        now: Instant,
        floor: f64,
        path: impl Fn(NodeId) -> PathEvidence,
    ) {
        if self.refreshed_at.is_some_and(|time| now < time + REFRESH_INTERVAL) {
            return;
        }
        self.refreshed_at = Some(now);
        self.median_latency = self.compute_median_latency();
        let gates = self.gates.values();
        let candidates: Vec<Candidate> = gates.map(|gate| candidate(gate, &path, now)).collect();
        let is_eligible = floor::select(&candidates, floor);
        self.eligible = (0..is_eligible.len()).filter(|i| is_eligible[*i]).collect();
        self.subset_size.shrink(now);
        let eligible = self.eligible.iter().map(|i| {
            let gate = &self.gates[*i];
            (*i, gate.node, gate.same_zone)
        });
        self.subset = subset::select(entry, eligible, self.subset_size.gates());
        self.same_zone = self.subset.iter().copied().filter(|i| self.gates[*i].same_zone).collect();
        let on_trial = |i: &usize| {
            let gate = &self.gates[*i];
            let is_due = if self.gray_trials {
                gate.load.condition != Condition::Healthy
                    || gate.gray_probability(now) > gray_failure::HEALTHY_PROBABILITY
            } else {
                !is_eligible[*i] && gate.load.condition != Condition::Ejected
            };
            is_due && !gate.expelled && path(gate.node).0 != Condition::Ejected
        };
        self.trials = (0..is_eligible.len()).filter(on_trial).collect();
    }

    /// Returns the indexes of the gates in the subset: those in the entry's own zone, and all.
    pub fn subset(&self) -> (&[usize], &[usize]) {
        (&self.same_zone, &self.subset)
    }

    /// Returns the share of free slots at the gates of the subset with recent load reports, or
    /// `None` if there is no such gate.
    pub fn free_share(&self, now: Instant) -> Option<f64> {
        let gates = self.subset.iter().map(|index| &self.gates[*index]);
        let seen = gates
            .filter(|gate| gate.reported_at.is_some_and(|time| now < time + MAX_FREE_SLOT_AGE));
        let (free, slots) = seen.fold((0, 0), |(free, slots), gate| {
            let busy = gate.load.busy + gate.load.queued + gate.unreported;
            (free + gate.slots.saturating_sub(busy), slots + gate.slots)
        });
        (slots > 0).then(|| f64::from(free) / f64::from(slots))
    }

    /// Returns the gate at an index from [`GatePool::subset`].
    pub fn gate(&self, index: usize) -> &GateView {
        &self.gates[index]
    }

    /// Counts a request and returns the probability with which it is to be a trial request, so that
    /// those of all `entries` whose subsets have a gate together offer it about one in
    /// `TRIAL_PERIOD` while it is unhealthy or may be gray. A trial request may get no response, so
    /// idempotent requests are preferred; others are used only while the service is degraded.
    pub fn trial_share(
        &mut self,
        criteria: &GateCriteria<'_>,
        entries: usize,
        now: Instant,
    ) -> f64 {
        self.gray_trials = true;
        let entries = entries as f64 * self.subset.len().max(1) as f64;
        let entries = (entries / self.eligible.len().max(1) as f64).max(1.0);
        let period = if criteria.degraded { DEGRADED_TRIAL_PERIOD } else { TRIAL_PERIOD };
        let wanted = self.trials.len() as f64 / period.as_secs_f64() / entries;
        if criteria.idempotent {
            let rate = self.idempotent_rate.count(now);
            return (wanted / rate).min(MAX_IDEMPOTENT_TRIAL_SHARE);
        }
        let rate = self.other_rate.count(now);
        let missing = wanted - self.idempotent_rate.at(now) * MAX_IDEMPOTENT_TRIAL_SHARE;
        if criteria.degraded { (missing / rate).clamp(0.0, MAX_OTHER_TRIAL_SHARE) } else { 0.0 }
    }

    /// Returns how many gates can get trial requests.
    pub fn trials(&self) -> usize {
        self.trials.len()
    }

    /// Selects a gate for a trial request, if one is due. The selection is random, since entries
    /// that followed an order would all select the same gate.
    pub fn take_trial(&mut self, now: Instant, rng: &mut impl Rng) -> Option<NodeId> {
        let due = |gate: &GateView| {
            gate.rate_wait(now).is_zero()
                && gate.last_trial.is_none_or(|time| now >= time + MIN_TRIAL_INTERVAL)
        };
        let due = self.trials.iter().copied().filter(|i| due(&self.gates[*i]));
        let index = due.choose(rng)?;
        let gate = &mut self.gates[index];
        gate.last_trial = Some(now);
        Some(gate.node)
    }

    /// Returns the median latency of short requests over the gates; zero when too few are known.
    pub fn median_latency(&self) -> Duration {
        self.median_latency
    }

    fn compute_median_latency(&self) -> Duration {
        let latencies = self.gates.values().map(|gate| gate.load.mean_latency);
        let mut latencies: Vec<Duration> = latencies.filter(|latency| !latency.is_zero()).collect();
        if latencies.len() < MIN_MEDIAN_GATES {
            return Duration::ZERO;
        }
        latencies.sort_unstable();
        latencies[latencies.len() / 2]
    }
}

fn candidate(gate: &GateView, path: impl Fn(NodeId) -> PathEvidence, now: Instant) -> Candidate {
    let (path_condition, path_evidence) = path(gate.node);
    let is_unhealthy = gate.is_unhealthy(now);
    let unreachable = path_condition != Condition::Healthy;
    let mut evidence = 0.0;
    evidence += if is_unhealthy { gate.load.evidence.max(gate.load.gray_probability) } else { 0.0 };
    evidence += if unreachable { path_evidence } else { 0.0 };
    evidence += if gate.expelled { EXPELLED_EVIDENCE } else { 0.0 };
    Candidate {
        slots: gate.slots,
        unhealthy: is_unhealthy || unreachable || gate.expelled,
        evidence,
    }
}
