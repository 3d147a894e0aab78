//! Requests that wait for a slot: their place in the queue, the expected wait and refusals.

use super::{Gate, GateAction, SlotRequest};
use crate::prelude::*;
use crate::queue::QueuedRequest;

/// Share of a route's target latency that a request can spend in the queue and still be answered on
/// time.
const TARGET_QUEUE_SHARE: f64 = 0.5;

impl Gate {
    /// Returns whether a request that may not be queued finds a free slot. An upstream that has
    /// just started keeps some of its slots for requests that would have to wait elsewhere.
    pub(super) fn has_free_slot(&self, service: &ServiceName, now: Instant) -> bool {
        let mut own = self.upstreams.values().filter(|u| u.common().service == *service);
        own.any(|u| {
            let common = u.common();
            let busy = common.short_running + common.long_running;
            busy < u.on_time_limit(now) && common.rate.wait(now).is_zero()
        })
    }

    /// Takes a request out of its queue and refuses it.
    pub(super) fn refuse_queued(
        &mut self,
        attempt: AttemptId,
        reason: Reason,
    ) -> Option<GateAction> {
        let (request, _) = self.requests.swap_remove(&attempt)?;
        if let Some(state) = self.services.get_mut(&request.service) {
            state.short_queue.remove(attempt);
            state.long_queue.remove(attempt);
        }
        Some(self.refusal(&request, reason))
    }

    /// Returns whether a request that may wait finds a place in a full queue.
    pub(super) fn can_displace(&self, new: &SlotRequest) -> bool {
        let Some(state) = self.services.get(&new.service) else { return false };
        let queue = if new.long { &state.long_queue } else { &state.short_queue };
        !new.queue_timeout.is_zero() && queue.displaced(&new.organisation).is_some()
    }

    /// Makes room for a request in a full queue: refuses a waiting request of the organisation with
    /// the most of them, if the new one's organisation has fewer.
    pub(super) fn displace(&mut self, new: &SlotRequest) -> Option<GateAction> {
        let state = self.services.get_mut(&new.service)?;
        let queue = if new.long { &mut state.long_queue } else { &mut state.short_queue };
        let waiting = queue.displace(&new.organisation)?;
        self.refuse_waiting(&waiting, Reason::QueueFull)
    }

    /// Estimates the time in the queue of a new request from the requests ahead of it.
    pub(super) fn expected_wait(
        &self,
        request: &SlotRequest,
        slots: u32,
        now: Instant,
    ) -> Duration {
        let Some(state) = self.services.get(&request.service) else { return Duration::ZERO };
        let queue = if request.long { &state.long_queue } else { &state.short_queue };
        let ahead = queue.ahead_of(&queued_request(request, now), now);
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        self.load(&request.service).mean_latency * ahead / slots.max(1)
    }

    /// Returns how long a new request waits for the upstreams that limit the rate of their
    /// requests.
    pub(super) fn rate_wait(&self, request: &SlotRequest, now: Instant) -> Duration {
        let queues = self.services.get(&request.service);
        // All count: a request that is admitted must not take the turn of one that waits.
        let ahead = queues.map_or(0, |state| state.short_queue.len() + state.long_queue.len());
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        let open = self.upstreams.values().filter(|upstream| {
            upstream.common().service == request.service && upstream.limit(now) > 0
        });
        open.map(|upstream| upstream.common().rate.wait_behind(ahead, now))
            .min()
            .unwrap_or_default()
    }

    pub(super) fn refuse_waiting(
        &mut self,
        waiting: &QueuedRequest,
        reason: Reason,
    ) -> Option<GateAction> {
        let (request, _) = self.requests.swap_remove(&waiting.attempt)?;
        Some(self.refusal(&request, reason))
    }

    /// Refuses the requests that wait for a service whose upstreams have all left.
    pub(super) fn refuse_waits_without_upstream(&mut self, now: Instant) -> Vec<GateAction> {
        let upstreams = &self.upstreams;
        let is_open = |service: &ServiceName| {
            upstreams.values().any(|u| u.common().service == *service && u.limit(now) > 0)
        };
        let left = self.services.iter_mut().filter(|(service, _)| !is_open(service));
        let waiting: Vec<QueuedRequest> = left
            .flat_map(|(_, state)| [state.short_queue.clear(), state.long_queue.clear()])
            .flatten()
            .collect();
        waiting.iter().filter_map(|w| self.refuse_waiting(w, Reason::Leaving)).collect()
    }

    /// Returns whether a request can no longer be served in time: even the fastest recent run of
    /// its kind took longer than the time that it has left.
    pub(super) fn is_too_late(&self, attempt: AttemptId, now: Instant) -> bool {
        let Some((request, deadline)) = self.requests.get(&attempt) else { return false };
        let state = self.services.get(&request.service);
        let latency = state.zip(request.kind).and_then(|(state, kind)| state.latencies.get(&kind));
        latency.is_some_and(|latency| deadline.saturating_duration_since(now) < latency.fastest())
    }

    /// Refuses waiting requests that can no longer be served in time, wherever they are in the
    /// queue.
    pub(super) fn refuse_late(&mut self, now: Instant) -> Vec<GateAction> {
        let waiting = self.requests.keys().filter(|attempt| !self.running.contains_key(*attempt));
        let late: Vec<AttemptId> =
            waiting.copied().filter(|attempt| self.is_too_late(*attempt, now)).collect();
        late.into_iter()
            .filter_map(|attempt| self.refuse_queued(attempt, Reason::TooLate))
            .collect()
    }

    pub(super) fn expire(&mut self, now: Instant) -> Vec<GateAction> {
        let queues = self.services.values_mut();
        let expired: Vec<QueuedRequest> = queues
            .flat_map(|s| [s.short_queue.expire(now), s.long_queue.expire(now)])
            .flatten()
            .collect();
        expired.iter().filter_map(|w| self.refuse_waiting(w, expiry_reason(w))).collect()
    }
}

/// Returns how long a request may wait for the rate of an upstream. The rate is the same however
/// many wait, so longer queues would only make all responses late.
pub(super) fn longest_rate_wait(request: &SlotRequest) -> Duration {
    let on_time = request.target_latency.map(|target| target.mul_f64(TARGET_QUEUE_SHARE));
    request.queue_timeout.min(request.remaining).min(on_time.unwrap_or(Duration::MAX))
}

/// Returns the place in the queue of a request that joins it now.
pub(super) fn queued_request(request: &SlotRequest, now: Instant) -> QueuedRequest {
    let deadline = now + request.remaining;
    // A request that may not be queued is refused at once, not by expiry.
    let waits = !request.queue_timeout.is_zero();
    let queue_end = if waits { now + request.queue_timeout } else { deadline };
    let expires_at = deadline.min(queue_end);
    let half = expires_at.saturating_duration_since(now) / 2;
    let on_time = request.target_latency.map_or(half, |target| target.mul_f64(TARGET_QUEUE_SHARE));
    QueuedRequest {
        attempt: request.attempt,
        queued_at: now,
        on_time_until: (now + on_time).min(expires_at),
        expires_at,
        at_deadline: deadline <= queue_end,
        rank: request.rank,
        group: request.organisation.clone(),
        group_rank: request.organisation_rank,
    }
}

pub(super) fn expiry_reason(waiting: &QueuedRequest) -> Reason {
    if waiting.at_deadline { Reason::DeadlinePast } else { Reason::PatienceSpent }
}
