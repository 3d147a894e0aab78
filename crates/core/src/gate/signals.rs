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
        let Some(running) = self.running.get(&attempt) else { return Vec::new() };
        let (id, generation) = (running.upstream.clone(), running.generation);
        let upstream = self.upstreams.get_mut(&id);
        let Some(upstream) = upstream.filter(|u| u.common().generation == generation) else {
            return Vec::new();
        };
        let common = upstream.common_mut();
        let rate = match signals.rate {
            RateSignal::Unlimited => None,
            RateSignal::PerSecond(rate) => Some(rate),
            // The last limit that could be read stays.
            RateSignal::Unreadable => common.rate_limit,
        };
        if common.rate_limit == rate {
            return Vec::new();
        }
        common.rate_limit = rate;
        vec![GateAction::ReportRateLimit { upstream: id, rate }]
    }
}
