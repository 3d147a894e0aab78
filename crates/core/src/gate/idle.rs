//! Refuses offers, and reports upstreams that take requests but have started none for a while.

use super::{Gate, GateAction, SlotRequest};
use crate::prelude::*;
use crate::upstream::idle::IdleReport;

impl Gate {
    /// Refuses a request and counts it for the idle upstreams of its service.
    pub(super) fn refusal(&mut self, request: &SlotRequest, reason: Reason) -> GateAction {
        for upstream in self.upstreams.values_mut() {
            let common = upstream.common_mut();
            if common.service == request.service {
                common.idle.refuse(reason, request.degraded);
            }
        }
        GateAction::Refuse { attempt: request.attempt, reason, load: self.load(&request.service) }
    }

    /// Reports the upstreams that have been idle for long enough.
    pub(super) fn report_idle(&mut self, now: Instant) -> Vec<GateAction> {
        let mut due = Vec::new();
        for (id, upstream) in &mut self.upstreams {
            if self.draining || upstream.limit(now) == 0 {
                upstream.common_mut().idle.restart(now);
            } else if let Some(idle) = upstream.common_mut().idle.take_due(now) {
                due.push((id.clone(), idle));
            }
        }
        let reports = due.into_iter().filter_map(|(upstream, idle)| {
            let known = self.upstreams.get(&upstream)?;
            let common = known.common();
            Some(GateAction::ReportIdle(IdleReport {
                state: known.state(),
                probability: self.gray_probability(&upstream, now),
                busy: common.short_running + common.long_running,
                slots: known.limit(now),
                idle,
                refused: common.idle.refused().clone(),
                upstream,
            }))
        });
        reports.collect()
    }
}
