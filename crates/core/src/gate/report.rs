//! Reports the state of the upstreams: the load that goes with each response, and the capacity
//! that the gate offers.

use super::{Gate, GateAction, ServiceOffer};
use crate::fleet_level::LevelCounts;
use crate::prelude::*;
use crate::upstream::AnyUpstream;

impl Gate {
    /// Records what an entry has counted of its own recent requests of a service.
    pub fn record_level(&mut self, entry: NodeId, service: &ServiceName, counts: LevelCounts) {
        let now = self.clock.now();
        if let Some(state) = self.services.get_mut(service) {
            state.level.record(entry, counts, now);
        }
    }

    /// Returns the load of a service.
    pub fn load(&self, service: &ServiceName) -> Load {
        let now = self.clock.now();
        let upstreams = self.upstreams.values().filter(|u| u.common().service == *service);
        let load = upstreams.fold(None, |load, upstream| Some(add(load, upstream, now)));
        let Some(mut load) = load else { return Load::default() };
        load.gray_probability = self.min_gray_probability(service, now) as f32;
        let queues = self.services.get(service);
        let queued = queues.map_or(0, |state| state.short_queue.len() + state.long_queue.len());
        load.queued = u32::try_from(queued).unwrap_or(u32::MAX);
        let open = self
            .upstreams
            .values()
            .filter(|upstream| upstream.common().service == *service && upstream.limit(now) > 0);
        let waits = open.map(|upstream| upstream.common().rate.wait_behind(load.queued, now));
        load.rate_wait = waits.min().unwrap_or_default();
        let drain_time = queues.and_then(|state| state.drain_rate.time_for(load.queued + 1, now));
        load.drain_time = drain_time.unwrap_or_default();
        load.level = queues.map(|state| state.level.sum(now)).unwrap_or_default();
        load
    }

    /// Returns the capacity that this gate offers for each service.
    pub fn service_offers(&self) -> Vec<ServiceOffer> {
        let now = self.clock.now();
        let mut offers: IndexMap<&ServiceName, (u32, Load)> = IndexMap::new();
        for upstream in self.upstreams.values().filter(|u| u.limit(now) > 0) {
            let common = upstream.common();
            let old = offers.get(&common.service).copied();
            let slots = old.map_or(0, |(slots, _)| slots) + common.slots;
            let load = add(old.map(|(_, load)| load), upstream, now);
            offers.insert(&common.service, (slots, load));
        }
        let offers = offers.into_iter().map(|(service, (slots, load))| {
            let evidence = if load.condition == Condition::Healthy { 0.0 } else { load.evidence };
            ServiceOffer { service: service.clone(), slots, condition: load.condition, evidence }
        });
        offers.collect()
    }

    /// Requests a publication when the slots or the condition of an offer have changed.
    pub(super) fn publish(&mut self) -> Option<GateAction> {
        let offered = self.service_offers();
        let same = offered.len() == self.published.len()
            && offered.iter().all(|new| {
                self.published.iter().any(|old| {
                    (&old.service, old.slots, old.condition)
                        == (&new.service, new.slots, new.condition)
                })
            });
        if same {
            return None;
        }
        self.published = offered;
        Some(GateAction::Publish)
    }
}

/// Adds an upstream to the load of its service.
fn add(load: Option<Load>, upstream: &AnyUpstream, now: Instant) -> Load {
    let common = upstream.common();
    let nothing = Load {
        condition: Condition::Ejected,
        evidence: f32::MAX,
        rejected_share: 1.0,
        ..Load::default()
    };
    let mut load = load.unwrap_or(nothing);
    load.busy += common.short_running + common.long_running;
    load.slots += upstream.limit(now);
    load.mean_latency = load.mean_latency.max(common.outlier.mean_latency());
    let condition = common.condition();
    load.condition = best(load.condition, condition);
    load.evidence = load.evidence.min(common.outlier.evidence());
    load.rejected_share = load.rejected_share.min(common.rejections.share(now) as f32);
    load
}

fn best(one: Condition, other: Condition) -> Condition {
    match (one, other) {
        (Condition::Healthy, _) | (_, Condition::Healthy) => Condition::Healthy,
        (Condition::Trial, _) | (_, Condition::Trial) => Condition::Trial,
        _ => Condition::Ejected,
    }
}
