//! Selects the gate that a request is dispatched to.

use rand::Rng;
use rand::seq::IndexedRandom;

use crate::gate::ServiceOffer;
use crate::gray_failure;
use crate::outlier::{Observation, OutlierDetector};
use crate::pool::{GatePool, GateView};
use crate::prelude::*;

/// Round-trip time between availability zones.
const CROSS_ZONE_LATENCY: Duration = Duration::from_millis(3);
/// Share of idempotent requests that are sent to a gate that is not eligible, as trial requests.
const TRIAL_SHARE: f64 = 0.02;

/// Cost of a request to another zone, as the delay that it is worth, in seconds.
const CROSS_ZONE_COST_S: f64 = 0.04;
/// Cost of each byte of a body that is sent to another zone, in seconds: traffic between zones is
/// billed, so an upload or a download waits for a slot in its own zone.
const CROSS_ZONE_BYTE_COST_S: f64 = 0.5 / 65_536.0;
/// Largest cost of another zone, in seconds. It is below [`GRAY_COST_S`].
const MAX_CROSS_ZONE_COST_S: f64 = 0.6;
/// Cost of a gray failure for a non-idempotent request, in seconds.
const GRAY_COST_S: f64 = 1.0;
/// Cost of a gray failure for an idempotent request, in seconds: it is abandoned early and retried.
const RETRIED_GRAY_COST_S: f64 = 0.2;
/// Cost of a rejection by the upstream, in seconds: another try takes a retry from the budget of
/// the whole fleet, and the request is refused once that is spent.
const REJECTION_COST_S: f64 = 0.6;
/// Cost of a gate that has just failed to respond, in seconds.
const UNRESPONSIVE_COST_S: f64 = 1.0;
/// Time constant with which the cost of an unresponsive gate decays, in seconds.
const UNRESPONSIVE_DECAY_S: f64 = 2.0;
/// Random addition to the cost of each gate, in seconds, so that the entries do not all select the
/// same gate among several of similar cost.
const COST_JITTER_S: f64 = 0.03;

/// What a request requires of a gate.
#[derive(Clone, Copy, Debug)]
pub struct GateCriteria<'a> {
    /// The profile of the request's service.
    pub profile: &'a Profile,
    /// Whether the request is idempotent.
    pub idempotent: bool,
    /// Whether the service leaves requests unserved.
    pub degraded: bool,
    /// Whether gates are compared by cost, which includes the probability of a gray failure.
    pub avoid_gray: bool,
    /// Whether the request may wait in the gate's queue for a slot.
    pub may_queue: bool,
    /// Length of the bodies of the request and of a large response in bytes, or an estimate of it.
    pub body_bytes: u64,
    /// Gates that are not selected, since the request was sent to them before.
    pub excluded: &'a [NodeId],
}

/// Selects among the gates of each service: by least cost where gray failures are avoided, by the
/// power of two random choices on the expected latency elsewhere.
#[derive(Debug)]
pub struct GateSelector {
    entry: NodeId,
    zone: ZoneName,
    pools: IndexMap<ServiceName, GatePool>,
    node_services: IndexMap<NodeId, Vec<ServiceName>>,
    paths: IndexMap<NodeId, OutlierDetector>,
    // Time of the last failure to respond, for gates that have not responded since.
    unresponsive: IndexMap<NodeId, Instant>,
}

impl GateSelector {
    /// Creates a selector for an entry in `zone`.
    pub fn new(entry: NodeId, zone: ZoneName) -> Self {
        Self {
            entry,
            zone,
            pools: IndexMap::new(),
            node_services: IndexMap::new(),
            paths: IndexMap::new(),
            unresponsive: IndexMap::new(),
        }
    }

    /// Replaces the services that a node offers; a leaving node offers none.
    pub fn set_node(
        &mut self,
        node: NodeId,
        zone: &ZoneName,
        offers: &[ServiceOffer],
        expelled: bool,
    ) {
        let same_zone = *zone == self.zone;
        let services: Vec<ServiceName> = offers.iter().map(|offer| offer.service.clone()).collect();
        let old = self.node_services.insert(node, services).unwrap_or_default();
        for service in old.iter().filter(|s| !offers.iter().any(|offer| offer.service == **s)) {
            if let Some(pool) = self.pools.get_mut(service) {
                pool.remove(node);
            }
        }
        for offer in offers {
            let pool = self.pools.entry(offer.service.clone()).or_default();
            let gate = pool.gate_mut(node, same_zone);
            gate.slots = offer.slots;
            gate.expelled = expelled;
            gate.load.condition = offer.condition;
            gate.load.evidence = offer.evidence;
        }
    }

    /// Removes a node.
    pub fn remove_node(&mut self, node: NodeId) {
        for service in self.node_services.swap_remove(&node).unwrap_or_default() {
            if let Some(pool) = self.pools.get_mut(&service) {
                pool.remove(node);
            }
        }
        self.paths.swap_remove(&node);
        self.unresponsive.swap_remove(&node);
    }

    /// Selects a gate that is not excluded.
    pub fn pick(
        &mut self,
        service: &ServiceName,
        criteria: &GateCriteria<'_>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<NodeId> {
        let pool = self.pools.get_mut(service)?;
        let paths = &self.paths;
        let floor = criteria.profile.caution.floor;
        pool.refresh(self.entry, now, floor, |node| path_evidence(paths, node));
        let share = match criteria.excluded.is_empty() {
            true if criteria.avoid_gray => {
                pool.trial_share(criteria, self.node_services.len(), now)
            }
            true if criteria.idempotent => TRIAL_SHARE,
            _ => 0.0,
        };
        if rng.random_bool(share)
            && let Some(node) = pool.take_trial(now, rng)
        {
            return Some(node);
        }
        let (same_zone, all) = pool.subset();
        if criteria.avoid_gray {
            return least_cost(pool, all, &self.unresponsive, criteria, now, rng);
        }
        let mut samples: Vec<usize> = same_zone.choose_multiple(rng, 2).copied().collect();
        samples.extend(all.choose_multiple(rng, if same_zone.is_empty() { 2 } else { 1 }));
        let best = best_of(pool, &samples, criteria.excluded, now);
        // All samples may be excluded; then every eligible gate is considered.
        best.or_else(|| best_of(pool, all, criteria.excluded, now))
    }

    /// Selects a gate for a second copy of a request: one that is healthy, likely to have a free
    /// slot and not excluded, in another zone only if the entry's own zone has none.
    pub fn pick_idle(
        &mut self,
        service: &ServiceName,
        criteria: &GateCriteria<'_>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<NodeId> {
        let pool = self.pools.get_mut(service)?;
        let paths = &self.paths;
        let floor = criteria.profile.caution.floor;
        pool.refresh(self.entry, now, floor, |node| path_evidence(paths, node));
        let is_idle = |index: &&usize| {
            let gate = pool.gate(**index);
            let wait = gate.known_wait(now).unwrap_or_default();
            wait.is_zero()
                && !gate.is_unhealthy(now)
                && path_evidence(paths, gate.node).0 == Condition::Healthy
        };
        let (same_zone, all) = pool.subset();
        [same_zone, all].into_iter().find_map(|indexes| {
            let idle: Vec<usize> = indexes.iter().filter(is_idle).copied().collect();
            least_cost(pool, &idle, &self.unresponsive, criteria, now, rng)
        })
    }

    /// Returns the share of free slots that recent load reports of a service's gates show.
    pub fn free_share(&self, service: &ServiceName, now: Instant) -> Option<f64> {
        self.pools.get(service)?.free_share(now)
    }

    /// Adds gates to those that requests for a service are sent to.
    pub fn grow_subset(&mut self, service: &ServiceName, now: Instant) {
        if let Some(pool) = self.pools.get_mut(service) {
            pool.grow_subset(now);
        }
    }

    /// Returns the median latency of short requests over a service's gates; zero when unknown.
    pub fn median_latency(&self, service: &ServiceName) -> Duration {
        self.pools.get(service).map_or(Duration::ZERO, GatePool::median_latency)
    }

    /// Counts a dispatch that is not in a load report yet.
    pub fn record_dispatch(&mut self, service: &ServiceName, node: NodeId) {
        if let Some(pool) = self.pools.get_mut(service) {
            pool.record_dispatch(node);
        }
    }

    /// Stops counting a dispatch, and records the load report that includes it if there is one.
    pub fn resolve_dispatch(
        &mut self,
        service: &ServiceName,
        node: NodeId,
        load: Option<Load>,
        now: Instant,
    ) {
        if let Some(pool) = self.pools.get_mut(service) {
            pool.resolve_dispatch(node);
            if let Some(load) = load {
                pool.record_load(node, load, now);
            }
        }
    }

    /// Records a load report.
    pub fn record_load(&mut self, service: &ServiceName, node: NodeId, load: Load, now: Instant) {
        if let Some(pool) = self.pools.get_mut(service) {
            pool.record_load(node, load, now);
        }
    }

    /// Records an observation of the path to a node. It affects this entry only.
    pub fn observe_path(
        &mut self,
        node: NodeId,
        observation: Observation,
        now: Instant,
        profile: &Profile,
    ) {
        match observation {
            Observation::Failure => self.unresponsive.insert(node, now),
            Observation::Success => self.unresponsive.swap_remove(&node),
        };
        let detector = self.paths.entry(node).or_default();
        if detector.observe(observation, now, &profile.forgiveness) {
            self.invalidate(node);
        }
    }

    /// Advances the ejections of paths: those whose time is over go on trial.
    pub fn tick(&mut self, now: Instant) {
        let paths = self.paths.iter_mut();
        let changed: Vec<NodeId> =
            paths.filter_map(|(node, detector)| detector.tick(now).then_some(*node)).collect();
        for node in changed {
            self.invalidate(node);
        }
    }

    /// Recomputes the eligible gates of all services where that is due.
    pub fn refresh_pools(&mut self, now: Instant, floor: impl Fn(&ServiceName) -> f64) {
        let paths = &self.paths;
        for (service, pool) in &mut self.pools {
            pool.refresh(self.entry, now, floor(service), |node| path_evidence(paths, node));
        }
    }

    /// Returns the services and their pools.
    pub fn pools(&self) -> impl Iterator<Item = (&ServiceName, &GatePool)> {
        self.pools.iter()
    }

    /// Returns the condition of the path to a node and the evidence against it.
    pub fn path(&self, node: NodeId) -> (Condition, f32) {
        path_evidence(&self.paths, node)
    }

    fn invalidate(&mut self, node: NodeId) {
        for service in self.node_services.get(&node).into_iter().flatten() {
            if let Some(pool) = self.pools.get_mut(service) {
                pool.invalidate();
            }
        }
    }
}

fn path_evidence(paths: &IndexMap<NodeId, OutlierDetector>, node: NodeId) -> (Condition, f32) {
    let detector = paths.get(&node);
    detector.map_or((Condition::Healthy, 0.0), |d| (d.condition(), d.evidence()))
}

/// Returns the gate with the least cost for a request. The cost adds up the probabilities of a gray
/// failure and of a rejection, the expected wait, the zone and whether the gate is unresponsive.
fn least_cost(
    pool: &GatePool,
    indexes: &[usize],
    unresponsive: &IndexMap<NodeId, Instant>,
    criteria: &GateCriteria<'_>,
    now: Instant,
    rng: &mut impl Rng,
) -> Option<NodeId> {
    let gray_cost = if criteria.idempotent { RETRIED_GRAY_COST_S } else { GRAY_COST_S };
    let gates = || indexes.iter().map(|index| pool.gate(*index));
    // For a request that may queue, a gate without a recent load report is assumed to have the mean
    // wait of the others.
    let unlimited = gates().filter(|gate| gate.rate_wait(now).is_zero());
    let known_waits: Vec<f64> =
        unlimited.filter_map(|gate| gate.known_wait(now)).map(seconds).collect();
    let assumed_wait = match known_waits.len() {
        count if criteria.may_queue && count > 0 => known_waits.iter().sum::<f64>() / count as f64,
        _ => 0.0,
    };
    let cross_zone = CROSS_ZONE_COST_S + criteria.body_bytes as f64 * CROSS_ZONE_BYTE_COST_S;
    let cross_zone = cross_zone.min(MAX_CROSS_ZONE_COST_S);
    let free = gates().filter(|gate| {
        let takes_any = criteria.may_queue || gate.rate_wait(now).is_zero();
        takes_any && !criteria.excluded.contains(&gate.node)
    });
    let costs = free.map(|gate| {
        let cross_zone = if gate.same_zone { 0.0 } else { cross_zone };
        let unresponsiveness =
            unresponsive.get(&gate.node).map_or(0.0, |time| unresponsive_cost(*time, now));
        let wait = gate.known_wait(now).map_or(assumed_wait, seconds);
        // Among gates that are probably healthy the load decides, so that all of them get work.
        let gray_excess = (gate.gray_probability(now) - gray_failure::NEUTRAL_PROBABILITY).max(0.0);
        let rejection = gate.rejected_share(now) * REJECTION_COST_S;
        let cost = gray_excess * gray_cost + rejection + wait + cross_zone + unresponsiveness;
        (cost + rng.random_range(0.0..COST_JITTER_S), gate.node)
    });
    costs.min_by(|one, other| one.0.total_cmp(&other.0)).map(|(_, node)| node)
}

fn seconds(time: Duration) -> f64 {
    time.as_secs_f64()
}

/// Returns the cost of a gate that failed to respond at `time`, in seconds.
fn unresponsive_cost(time: Instant, now: Instant) -> f64 {
    let age = now.saturating_duration_since(time).as_secs_f64();
    UNRESPONSIVE_COST_S * (-age / UNRESPONSIVE_DECAY_S).exp()
}

fn best_of(
    pool: &GatePool,
    indexes: &[usize],
    excluded: &[NodeId],
    now: Instant,
) -> Option<NodeId> {
    let gates = indexes.iter().map(|index| pool.gate(*index));
    let free = gates.filter(|gate| !excluded.contains(&gate.node));
    free.min_by_key(|gate: &&GateView| gate.expected_time(now, CROSS_ZONE_LATENCY))
        .map(|gate| gate.node)
}
