//! The gate of a stopping node.

use super::{Gate, GateAction, SlotRequest};
use crate::prelude::*;
use crate::queue::QueuedRequest;

impl Gate {
    /// Goes on admitting requests to the upstreams of a stopping node. Runs that begin from now on,
    /// those of queued requests too, have to end by `last_answer`, and trial requests are refused,
    /// since they may hang until then. So is long work, which another node has more time for.
    pub fn prepare_stop(&mut self, last_answer: Instant) -> Vec<GateAction> {
        self.last_answer = Some(last_answer);
        for (attempt, (_, deadline)) in &mut self.requests {
            if !self.running.contains_key(attempt) {
                *deadline = (*deadline).min(last_answer);
            }
        }
        let queues = self.services.values_mut();
        let long: Vec<QueuedRequest> = queues.flat_map(|s| s.long_queue.clear()).collect();
        self.refuse_leaving(&long)
    }

    /// Stops admitting requests. Queued requests are refused, and running ones continue.
    pub fn drain(&mut self) -> Vec<GateAction> {
        self.draining = true;
        let queues = self.services.values_mut();
        let waiting: Vec<QueuedRequest> =
            queues.flat_map(|s| [s.short_queue.clear(), s.long_queue.clear()]).flatten().collect();
        self.refuse_leaving(&waiting)
    }

    /// Returns whether the node is about to stop and does not admit a request any more.
    pub(super) fn is_leaving(&self, request: &SlotRequest) -> bool {
        self.draining || request.long && self.last_answer.is_some()
    }

    /// Limits the time of a request to that of the node.
    pub(super) fn limit_time(&self, request: &mut SlotRequest, now: Instant) {
        if let Some(end) = self.last_answer {
            request.remaining = request.remaining.min(end.saturating_duration_since(now));
        }
    }

    fn refuse_leaving(&mut self, waiting: &[QueuedRequest]) -> Vec<GateAction> {
        waiting.iter().filter_map(|w| self.refuse_waiting(w, Reason::Leaving)).collect()
    }
}
