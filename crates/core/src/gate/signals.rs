//! Applies what upstreams say about themselves in their responses.

use super::{Gate, GateAction, RateSignal, UpstreamSignals};
use crate::prelude::*;
use crate::upstream::AnyUpstream;

impl Gate {
    /// Applies what the response to an attempt says about its upstream.
    pub fn observe_signals(
        &mut self,
        attempt: AttemptId,
        signals: UpstreamSignals,
    ) -> Vec<GateAction> {
        let now = self.clock.now();
        let Some(running) = self.running.get(&attempt) else { return Vec::new() };
        let (id, generation) = (running.upstream.clone(), running.generation);
        let upstream = self.upstreams.get_mut(&id);
        let Some(upstream) = upstream.filter(|u| u.common().generation == generation) else {
            return Vec::new();
        };
        let service = upstream.common().service.clone();
        let mut actions = Vec::new();
        let limiter = &mut upstream.common_mut().rate;
        let old = limiter.rate();
        match signals.rate {
            RateSignal::Unlimited => limiter.set_rate(None, now),
            RateSignal::PerSecond(rate) => limiter.set_rate(Some(rate), now),
            // The last limit that could be read stays.
            RateSignal::Unreadable => {}
        }
        let rate = limiter.rate();
        if rate != old {
            actions.push(GateAction::ReportRateLimit { upstream: id.clone(), rate });
        }
        if signals.leaving {
            actions.extend(self.retire(&id));
            actions.extend(self.refuse_waits_without_upstream(now));
        }
        if rate != old {
            // A higher limit makes room for requests in the queue.
            actions.extend(self.fill(&service, now));
        }
        actions
    }

    /// Gives an upstream that is leaving no further work.
    fn retire(&mut self, id: &UpstreamId) -> Vec<GateAction> {
        let is_leaving = |upstream: &AnyUpstream| matches!(upstream, AnyUpstream::Leaving(_));
        if self.upstreams.get(id).is_none_or(is_leaving) {
            return Vec::new();
        }
        if let Some(upstream) = self.upstreams.swap_remove(id) {
            self.upstreams.insert(id.clone(), upstream.retire());
        }
        let mut actions = vec![GateAction::ReportLeaving { upstream: id.clone() }];
        actions.extend(self.publish());
        actions.extend(self.store_lifetimes());
        actions
    }
}
