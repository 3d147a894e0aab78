//! The gate: admits requests to the upstreams of its own VM.
//!
//! Each upstream has a single gate, which reserves a slot before a request is sent. The count of
//! requests in flight is therefore exact.

mod gray_failure;
mod health;
mod idle;
mod lifetimes;
mod order;
mod report;
mod signals;
mod stop;
mod waiting;

use self::order::Claim;
use self::waiting::{expiry_reason, longest_rate_wait, queued_request};
pub use crate::admission::{
    GateAction, RateSignal, RunResult, ServiceOffer, SlotRequest, UpstreamSignals,
};
use crate::drain_rate::DrainRate;
use crate::fair_share::FairShare;
use crate::fleet_level::FleetLevel;
use crate::latency::LatencyDistribution;
use crate::prelude::*;
use crate::queue::{Queue, QueuedRequest};
use crate::upstream::{AnyUpstream, EndedLifetime};
use crate::window::ReplayWindow;

#[derive(Debug)]
struct Running {
    upstream: UpstreamId,
    generation: u64,
    started: Instant,
    long: bool,
    responding: bool,
    stuck: bool,
    abandoned: bool,
}

#[derive(Debug, Default)]
struct ServiceState {
    short_queue: Queue,
    long_queue: Queue,
    shares: FairShare,
    drain_rate: DrainRate,
    profile: Profile,
    latencies: IndexMap<WorkKind, LatencyDistribution>,
    level: FleetLevel,
}

/// Admits requests to upstreams.
#[derive(Debug)]
pub struct Gate {
    clock: SharedClock,
    incarnation: Incarnation,
    upstreams: IndexMap<UpstreamId, AnyUpstream>,
    services: IndexMap<ServiceName, ServiceState>,
    requests: IndexMap<AttemptId, (SlotRequest, Instant)>,
    running: IndexMap<AttemptId, Running>,
    // Lifetimes that the upstream has ended or that were superseded, and have finished requests.
    ended_lifetimes: Vec<EndedLifetime>,
    // Lifetimes that may have taken over although they have an earlier start time.
    claims: IndexMap<UpstreamId, Claim>,
    // Until when all announcements of these upstreams count as late.
    unordered_ends: IndexMap<UpstreamId, Instant>,
    // The ended lifetimes that were last passed on to be stored.
    stored_lifetimes: Vec<EndedLifetime>,
    // Time until which a started node awaits the lifetimes that had ended before.
    recovery_end: Option<Instant>,
    window: ReplayWindow,
    // Time by which all runs must have ended, once the node is stopping.
    last_answer: Option<Instant>,
    draining: bool,
    published: Vec<ServiceOffer>,
}

impl Gate {
    /// Creates a gate without upstreams for one incarnation of a node.
    pub fn new(incarnation: Incarnation, clock: SharedClock) -> Self {
        Self {
            clock,
            incarnation,
            upstreams: IndexMap::new(),
            services: IndexMap::new(),
            requests: IndexMap::new(),
            running: IndexMap::new(),
            ended_lifetimes: Vec::new(),
            claims: IndexMap::new(),
            unordered_ends: IndexMap::new(),
            stored_lifetimes: Vec::new(),
            recovery_end: None,
            window: ReplayWindow::default(),
            last_answer: None,
            draining: false,
            published: Vec::new(),
        }
    }

    /// Sets the profile of a service.
    pub fn set_profile(&mut self, service: &ServiceName, profile: Profile) {
        self.services.entry(service.clone()).or_default().profile = profile;
    }

    /// Starts, queues or refuses an attempt.
    pub fn submit(&mut self, mut request: SlotRequest) -> Vec<GateAction> {
        let now = self.clock.now();
        self.limit_time(&mut request, now);
        if !request.idempotent && request.incarnation != self.incarnation {
            return vec![self.refusal(&request, Reason::Outdated)];
        }
        if !request.idempotent && !self.window.accept(request.attempt) {
            return vec![self.refusal(&request, Reason::Duplicate)];
        }
        // A second entry under the same id would take a slot that no result frees.
        if self.requests.contains_key(&request.attempt) {
            return vec![self.refusal(&request, Reason::Duplicate)];
        }
        let full = self.refusal_reason(&request, now);
        let makes_room = matches!(full, Some(Reason::QueueFull | Reason::RateLimited))
            && self.can_displace(&request);
        let refusal =
            full.filter(|_| !makes_room).or_else(|| self.gray_refusal_reason(&request, now));
        if let Some(reason) = refusal {
            return vec![self.refusal(&request, reason)];
        }
        let displaced = if makes_room { self.displace(&request) } else { None };
        let (attempt, service, long) = (request.attempt, request.service.clone(), request.long);
        let waits = !request.queue_timeout.is_zero();
        let waiting = queued_request(&request, now);
        let deadline = now + request.remaining;
        self.requests.insert(attempt, (request, deadline));
        let state = self.services.entry(service.clone()).or_default();
        if long {
            state.long_queue.push(waiting);
        } else {
            state.short_queue.push(waiting);
        }
        let mut actions = Vec::from_iter(displaced);
        actions.extend(self.fill(&service, now));
        if !self.running.contains_key(&attempt) {
            if !waits {
                actions.extend(self.refuse_queued(attempt, Reason::QueueFull));
            } else if self.is_too_late(attempt, now) {
                actions.extend(self.refuse_queued(attempt, Reason::TooLate));
            }
        }
        actions
    }

    /// Records that the first byte of the response has arrived.
    pub fn response_started(&mut self, attempt: AttemptId) {
        if let Some(running) = self.running.get_mut(&attempt) {
            running.responding = true;
        }
    }

    /// Ends an attempt that nobody waits for any more: removes it from the queue, or frees its
    /// slot.
    pub fn cancel(&mut self, attempt: AttemptId) -> Vec<GateAction> {
        if self.running.contains_key(&attempt) {
            return self.finish(attempt, RunResult::Cancelled).1;
        }
        if let Some((request, _)) = self.requests.swap_remove(&attempt)
            && let Some(state) = self.services.get_mut(&request.service)
        {
            state.short_queue.remove(attempt);
            state.long_queue.remove(attempt);
        }
        Vec::new()
    }

    /// Frees the slot of an attempt and records its result.
    ///
    /// Returns the load of the service afterwards and the actions that follow from the free slot.
    pub fn finish(&mut self, attempt: AttemptId, result: RunResult) -> (Load, Vec<GateAction>) {
        let now = self.clock.now();
        let Some(running) = self.running.swap_remove(&attempt) else {
            return (Load::default(), Vec::new());
        };
        let Some((request, _)) = self.requests.swap_remove(&attempt) else {
            return (Load::default(), Vec::new());
        };
        let profile = self.profile(&request.service);
        if let Some(state) = self.services.get_mut(&request.service) {
            state.shares.finish(&request.organisation, now);
        }
        self.observe_run(&request, &running, result, now);
        let mut changed = false;
        let upstream = self.upstreams.get_mut(&running.upstream);
        if let Some(upstream) = upstream.filter(|u| u.common().generation == running.generation) {
            release_slot(upstream, running.long);
            changed = health::record_result(
                upstream,
                &running,
                result,
                request.median_latency,
                now,
                &profile,
            );
        }
        let mut actions = self.update_likely_gray(now);
        actions.extend(self.fill(&request.service, now));
        if changed {
            actions.extend(self.publish());
        }
        (self.load(&request.service), actions)
    }

    /// Advances upstreams, outlier detection and the queues to the current time.
    pub fn tick(&mut self) -> Vec<GateAction> {
        let now = self.clock.now();
        let upstreams = std::mem::take(&mut self.upstreams);
        self.upstreams = upstreams.into_iter().map(|(id, u)| (id, u.tick(now))).collect();
        for upstream in self.upstreams.values_mut() {
            upstream.common_mut().outlier.tick(now);
        }
        let mut actions = self.review_running(now);
        actions.extend(self.update_likely_gray(now));
        actions.extend(self.report_idle(now));
        self.remove_drained();
        actions.extend(self.forget_unordered_ends(now));
        self.services.values_mut().for_each(|state| state.shares.forget_idle(now));
        actions.extend(self.expire(now));
        actions.extend(self.refuse_late(now));
        actions.extend(self.refuse_waits_without_upstream(now));
        actions.extend(self.refuse_waits_on_gray(now));
        let services: Vec<ServiceName> = self.services.keys().cloned().collect();
        for service in services {
            actions.extend(self.fill(&service, now));
        }
        actions.extend(self.publish());
        actions
    }

    /// Returns whether an attempt waits or runs.
    pub fn holds(&self, attempt: AttemptId) -> bool {
        self.requests.contains_key(&attempt)
    }

    /// Returns the attempts that run.
    pub fn running(&self) -> impl Iterator<Item = AttemptId> {
        self.running.keys().copied()
    }

    /// Returns the number of running attempts.
    pub fn in_flight(&self) -> usize {
        self.running.len()
    }

    /// Returns whether no attempt runs or waits, so that no timer is urgent.
    pub fn is_idle(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns the upstreams with their ids, in the order of their last announcements.
    pub fn upstreams(&self) -> impl Iterator<Item = (&UpstreamId, &AnyUpstream)> {
        self.upstreams.iter()
    }

    fn profile(&self, service: &ServiceName) -> Profile {
        self.services.get(service).map(|state| state.profile.clone()).unwrap_or_default()
    }

    fn refusal_reason(&self, request: &SlotRequest, now: Instant) -> Option<Reason> {
        if self.is_leaving(request) {
            return Some(Reason::Leaving);
        }
        if request.remaining.is_zero() {
            return Some(Reason::DeadlinePast);
        }
        let upstreams = self.upstreams.values().filter(|u| u.common().service == request.service);
        let slots: u32 = upstreams.map(|u| u.limit(now)).sum();
        if slots == 0 {
            let known = self.upstreams.values().any(|u| u.common().service == request.service);
            return Some(if known { Reason::Leaving } else { Reason::NoUpstream });
        }
        if self.rate_wait(request, now) > longest_rate_wait(request) {
            return Some(Reason::RateLimited);
        }
        if request.queue_timeout.is_zero() {
            return (!self.has_free_slot(&request.service, now)).then_some(Reason::QueueFull);
        }
        let wait = self.expected_wait(request, slots, now);
        (wait > request.queue_timeout).then_some(Reason::QueueFull)
    }

    /// Gives free slots to queued requests, short ones first. `now` is the time of the event that
    /// made room: a request that joined the queue at this time has not waited.
    fn fill(&mut self, service: &ServiceName, now: Instant) -> Vec<GateAction> {
        let mut actions = Vec::new();
        for long in [false, true] {
            while let Some(id) = self.free_upstream(service, long, now) {
                let Some(state) = self.services.get_mut(service) else {
                    break;
                };
                let queue = if long { &mut state.long_queue } else { &mut state.short_queue };
                let is_limited =
                    self.upstreams.get(&id).is_some_and(|u| u.common().rate.rate().is_some());
                let next = if is_limited {
                    queue.pop_first_to_expire(&state.shares, now)
                } else {
                    queue.pop(&state.shares, now)
                };
                let Some(waiting) = next else { break };
                actions.extend(self.start(&waiting, &id, long, now));
            }
        }
        actions
    }

    fn start(
        &mut self,
        waiting: &QueuedRequest,
        id: &UpstreamId,
        long: bool,
        now: Instant,
    ) -> Option<GateAction> {
        if now >= waiting.expires_at {
            return self.refuse_waiting(waiting, expiry_reason(waiting));
        }
        let has_waited = now > waiting.queued_at;
        if has_waited && self.is_too_late(waiting.attempt, now) {
            return self.refuse_waiting(waiting, Reason::TooLate);
        }
        let (request, deadline) = self.requests.get(&waiting.attempt)?;
        let (service, deadline) = (request.service.clone(), *deadline);
        let common = self.upstreams.get_mut(id)?.common_mut();
        if let Some(state) = self.services.get_mut(&service) {
            state.shares.start(&waiting.group, now);
            if has_waited {
                state.drain_rate.record(now);
            }
        }
        *(if long { &mut common.long_running } else { &mut common.short_running }) += 1;
        common.last_start = Some(now);
        common.idle.restart(now);
        common.rate.record(now);
        let address = common.address;
        let running = Running {
            upstream: id.clone(),
            generation: common.generation,
            started: now,
            long,
            responding: false,
            stuck: false,
            abandoned: false,
        };
        self.running.insert(waiting.attempt, running);
        let load = self.load(&service);
        let (attempt, upstream) = (waiting.attempt, id.clone());
        Some(GateAction::Start { attempt, upstream, address, deadline, load })
    }

    /// Returns the least busy upstream with a free slot, preferring healthy ones.
    fn free_upstream(&self, service: &ServiceName, long: bool, now: Instant) -> Option<UpstreamId> {
        let share = self.services.get(service)?.profile.caution.long_share;
        let free = self.upstreams.iter().filter(|(_, upstream)| {
            let common = upstream.common();
            let limit = upstream.limit(now);
            common.service == *service
                && common.rate.wait(now).is_zero()
                && common.short_running + common.long_running < limit
                && (!long || common.long_running < long_limit(limit, common.slots, share))
        });
        let best = free.min_by_key(|(id, upstream)| {
            let common = upstream.common();
            let ejected = common.outlier.condition() != Condition::Healthy;
            // A gray failure that is more likely than not outweighs any difference in load.
            let likely_gray = self.gray_probability(id, now) > 0.5;
            (
                ejected,
                likely_gray,
                (common.short_running + common.long_running) * 1000 / common.slots.max(1),
            )
        });
        best.map(|(id, _)| id.clone())
    }
}

/// Returns how many slots long requests may hold. Short requests keep one, unless the upstream has
/// only one.
fn long_limit(limit: u32, slots: u32, share: f64) -> u32 {
    if limit == 1 && slots > 1 {
        return 0;
    }
    ((f64::from(limit) * share) as u32).max(1)
}

fn release_slot(upstream: &mut AnyUpstream, long: bool) {
    let common = upstream.common_mut();
    let count = if long { &mut common.long_running } else { &mut common.short_running };
    *count = count.saturating_sub(1);
}
