//! Applies what upstreams say about themselves in their responses.

use super::{Gate, GateAction, RateSignal, UpstreamSignals};
use crate::prelude::*;

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
        let limiter = &mut upstream.common_mut().rate;
        let old = limiter.rate();
        let rate = match signals.rate {
            RateSignal::Unlimited => None,
            RateSignal::PerSecond(rate) => Some(rate),
            // The last limit that could be read stays.
            RateSignal::Unreadable => old,
        };
        limiter.set_rate(rate, now);
        let rate = limiter.rate();
        if rate == old {
            return Vec::new();
        }
        let service = upstream.common().service.clone();
        let mut actions = vec![GateAction::ReportRateLimit { upstream: id, rate }];
        // A higher limit makes room for requests in the queue.
        actions.extend(self.fill(&service));
        actions
    }
}
