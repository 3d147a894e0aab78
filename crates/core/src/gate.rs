//! The gate: admits work to the upstreams of its own VM.
//!
//! All work for an upstream passes its one gate, and a slot is reserved before the work is sent,
//! so the count of work in flight is exact.

mod lifetimes;
mod report;
mod review;
mod spell;

pub use crate::admission::{GateAction, Offer, Offered, RunResult};
use crate::prelude::*;
use crate::queue::{Queue, Waiting};
use crate::survival::Survival;
use crate::upstream::{AnyUpstream, Lifetime};
use crate::window::ReplayWindow;

/// Part of a route's target latency after which a request in the queue will be late.
const PROMPT_SHARE: f64 = 0.5;

#[derive(Debug)]
struct Running {
    upstream: UpstreamId,
    born: u64,
    started: Instant,
    long: bool,
    progress: bool,
    stuck: bool,
    abandoned: bool,
}

#[derive(Debug, Default)]
struct ServiceState {
    short: Queue,
    long: Queue,
    profile: Profile,
    survivals: IndexMap<WorkKind, Survival>,
}

/// Admits work to upstreams.
#[derive(Debug)]
pub struct Gate {
    clock: SharedClock,
    incarnation: Incarnation,
    upstreams: IndexMap<UpstreamId, AnyUpstream>,
    services: IndexMap<ServiceName, ServiceState>,
    offers: IndexMap<AttemptId, (Offer, Instant)>,
    running: IndexMap<AttemptId, Running>,
    // Upstreams that said they leave, with their last lifetimes.
    resigned: IndexMap<UpstreamId, Lifetime>,
    window: ReplayWindow,
    draining: bool,
    published: Vec<Offered>,
}

impl Gate {
    /// Creates the gate of one run of a node's process, without upstreams.
    pub fn new(incarnation: Incarnation, clock: SharedClock) -> Self {
        Self {
            clock,
            incarnation,
            upstreams: IndexMap::new(),
            services: IndexMap::new(),
            offers: IndexMap::new(),
            running: IndexMap::new(),
            resigned: IndexMap::new(),
            window: ReplayWindow::default(),
            draining: false,
            published: Vec::new(),
        }
    }

    /// Sets the profile of a service.
    pub fn configure(&mut self, service: &ServiceName, profile: Profile) {
        self.services.entry(service.clone()).or_default().profile = profile;
    }

    /// Decides on an attempt: starts it, queues it or refuses it.
    pub fn offer(&mut self, offer: Offer) -> Vec<GateAction> {
        let now = self.clock.now();
        if !offer.idempotent && offer.incarnation != self.incarnation {
            return vec![self.refusal(&offer, Reason::Outdated)];
        }
        if !offer.idempotent && !self.window.accept(offer.attempt) {
            return vec![self.refusal(&offer, Reason::Duplicate)];
        }
        let refusal = self.refuses(&offer, now).or_else(|| self.doubts(&offer, now));
        if let Some(reason) = refusal {
            return vec![self.refusal(&offer, reason)];
        }
        let (attempt, service, long) = (offer.attempt, offer.service.clone(), offer.long);
        let deadline = now + offer.remaining;
        // One that does not wait is turned away below, not when its time is over.
        let waits = !offer.patience.is_zero();
        let patience_end = if waits { now + offer.patience } else { deadline };
        let until = deadline.min(patience_end);
        let prompt = match offer.target {
            Some(target) => target.mul_f64(PROMPT_SHARE),
            None => until.saturating_duration_since(now) / 2,
        };
        let waiting = Waiting {
            attempt,
            since: now,
            prompt_until: now + prompt,
            until,
            deadline: deadline <= patience_end,
            rank: offer.rank,
        };
        self.offers.insert(attempt, (offer, deadline));
        let state = self.services.entry(service.clone()).or_default();
        if long {
            state.long.push(waiting);
        } else {
            state.short.push(waiting);
        }
        let mut actions = self.fill(&service);
        if !waits && !self.running.contains_key(&attempt) {
            actions.extend(self.turn_away(attempt));
        }
        actions
    }

    /// Refuses a request that found no free slot and does not wait.
    fn turn_away(&mut self, attempt: AttemptId) -> Option<GateAction> {
        let (offer, _) = self.offers.swap_remove(&attempt)?;
        if let Some(state) = self.services.get_mut(&offer.service) {
            state.short.remove(attempt);
            state.long.remove(attempt);
        }
        Some(self.refusal(&offer, Reason::QueueFull))
    }

    /// Notes that the first byte of the answer has come.
    pub fn progress(&mut self, attempt: AttemptId) {
        if let Some(running) = self.running.get_mut(&attempt) {
            running.progress = true;
        }
    }

    /// Withdraws an attempt that waits; one that runs ends by [`Gate::finish`].
    pub fn cancel(&mut self, attempt: AttemptId) {
        if self.running.contains_key(&attempt) {
            return;
        }
        if let Some((offer, _)) = self.offers.swap_remove(&attempt)
            && let Some(state) = self.services.get_mut(&offer.service)
        {
            state.short.remove(attempt);
            state.long.remove(attempt);
        }
    }

    /// Frees the slot of an attempt and learns from its result.
    ///
    /// Returns the service's load after it, and what to do with the slot.
    pub fn finish(&mut self, attempt: AttemptId, result: RunResult) -> (Load, Vec<GateAction>) {
        let now = self.clock.now();
        let Some(running) = self.running.swap_remove(&attempt) else {
            return (Load::default(), Vec::new());
        };
        let Some((offer, _)) = self.offers.swap_remove(&attempt) else {
            return (Load::default(), Vec::new());
        };
        let profile = self.profile(&offer.service);
        self.learn_spell(&offer, &running, result, now);
        let mut changed = false;
        let upstream = self.upstreams.get_mut(&running.upstream);
        if let Some(upstream) = upstream.filter(|u| u.common().born == running.born) {
            release(upstream, running.long);
            changed = review::learn(upstream, &running, result, offer.usual, now, &profile);
        }
        self.review_doubts(now);
        let mut actions = self.fill(&offer.service);
        if changed || offer.kind.is_some() {
            actions.extend(self.publish());
        }
        (self.load(&offer.service), actions)
    }

    /// Lets time pass.
    pub fn tick(&mut self) -> Vec<GateAction> {
        let now = self.clock.now();
        let upstreams = std::mem::take(&mut self.upstreams);
        self.upstreams = upstreams.into_iter().map(|(id, u)| (id, u.tick(now))).collect();
        for upstream in self.upstreams.values_mut() {
            upstream.common_mut().witness.tick(now);
        }
        let mut actions = self.review_running(now);
        self.review_doubts(now);
        self.bury();
        actions.extend(self.expire(now));
        actions.extend(self.release_doubting(now));
        let services: Vec<ServiceName> = self.services.keys().cloned().collect();
        for service in services {
            actions.extend(self.fill(&service));
        }
        actions.extend(self.publish());
        actions
    }

    /// Stops admitting work. Work in the queue is refused, work that runs goes on.
    pub fn drain(&mut self) -> Vec<GateAction> {
        self.draining = true;
        let queues = self.services.values_mut();
        let waiting: Vec<Waiting> =
            queues.flat_map(|s| [s.short.clear(), s.long.clear()]).flatten().collect();
        waiting.iter().filter_map(|w| self.refuse_waiting(w, Reason::Leaving)).collect()
    }

    /// Returns how many attempts run.
    pub fn in_flight(&self) -> usize {
        self.running.len()
    }

    /// Returns the upstreams with their ids, in the order of their last announcement.
    pub fn upstreams(&self) -> impl Iterator<Item = (&UpstreamId, &AnyUpstream)> {
        self.upstreams.iter()
    }

    fn profile(&self, service: &ServiceName) -> Profile {
        self.services.get(service).map(|state| state.profile.clone()).unwrap_or_default()
    }

    fn refuses(&self, offer: &Offer, now: Instant) -> Option<Reason> {
        if self.draining {
            return Some(Reason::Leaving);
        }
        if offer.remaining.is_zero() {
            return Some(Reason::DeadlinePast);
        }
        let upstreams = self.upstreams.values().filter(|u| u.common().service == offer.service);
        let slots: u32 = upstreams.map(|u| u.limit(now)).sum();
        if slots == 0 {
            let known = self.upstreams.values().any(|u| u.common().service == offer.service);
            return Some(if known { Reason::Leaving } else { Reason::NoUpstream });
        }
        if offer.patience.is_zero() {
            return (!self.has_prompt_slot(&offer.service, now)).then_some(Reason::QueueFull);
        }
        (self.expected_wait(offer, slots) > offer.patience).then_some(Reason::QueueFull)
    }

    /// Tells whether a request that looks for a free slot finds one here. An upstream that has just
    /// started keeps some of its slots for requests that would have to wait elsewhere.
    fn has_prompt_slot(&self, service: &ServiceName, now: Instant) -> bool {
        let mut own = self.upstreams.values().filter(|u| u.common().service == *service);
        own.any(|u| u.common().short + u.common().long < u.prompt_limit(now))
    }

    /// Estimates the wait of a new request from the work before it.
    fn expected_wait(&self, offer: &Offer, slots: u32) -> Duration {
        let load = self.load(&offer.service);
        let queued = self.services.get(&offer.service);
        let ahead = queued.map_or(0, |s| if offer.long { s.long.len() } else { s.short.len() });
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        load.pace * ahead / slots.max(1)
    }

    fn refusal(&self, offer: &Offer, reason: Reason) -> GateAction {
        GateAction::Refuse { attempt: offer.attempt, reason, load: self.load(&offer.service) }
    }

    fn refuse_waiting(&mut self, waiting: &Waiting, reason: Reason) -> Option<GateAction> {
        let (offer, _) = self.offers.swap_remove(&waiting.attempt)?;
        Some(self.refusal(&offer, reason))
    }

    /// Gives free slots to waiting requests, short work first.
    fn fill(&mut self, service: &ServiceName) -> Vec<GateAction> {
        let now = self.clock.now();
        let mut actions = Vec::new();
        for long in [false, true] {
            while let Some(id) = self.free_upstream(service, long, now) {
                let Some(state) = self.services.get_mut(service) else {
                    break;
                };
                let queue = if long { &mut state.long } else { &mut state.short };
                let Some(waiting) = queue.pop(now) else { break };
                actions.extend(self.start(&waiting, &id, long, now));
            }
        }
        actions
    }

    fn start(
        &mut self,
        waiting: &Waiting,
        id: &UpstreamId,
        long: bool,
        now: Instant,
    ) -> Option<GateAction> {
        if now >= waiting.until {
            return self.refuse_waiting(waiting, spent(waiting));
        }
        let (offer, deadline) = self.offers.get(&waiting.attempt)?;
        let (service, deadline) = (offer.service.clone(), *deadline);
        let common = self.upstreams.get_mut(id)?.common_mut();
        *(if long { &mut common.long } else { &mut common.short }) += 1;
        common.started = Some(now);
        let address = common.address;
        let running = Running {
            upstream: id.clone(),
            born: common.born,
            started: now,
            long,
            progress: false,
            stuck: false,
            abandoned: false,
        };
        self.running.insert(waiting.attempt, running);
        let load = self.load(&service);
        let (attempt, upstream) = (waiting.attempt, id.clone());
        Some(GateAction::Start { attempt, upstream, address, deadline, load })
    }

    /// Returns the least busy upstream with a free slot, healthy ones first.
    fn free_upstream(&self, service: &ServiceName, long: bool, now: Instant) -> Option<UpstreamId> {
        let share = self.services.get(service)?.profile.caution.long_share;
        let free = self.upstreams.iter().filter(|(_, upstream)| {
            let common = upstream.common();
            let limit = upstream.limit(now);
            common.service == *service
                && common.short + common.long < limit
                && (!long || common.long < long_limit(limit, common.slots, share))
        });
        let best = free.min_by_key(|(id, upstream)| {
            let common = upstream.common();
            let ejected = common.witness.condition() != Condition::Well;
            // A spell that is likelier than not is worse than any load.
            let doubted = self.doubt(id, now) > 0.5;
            (ejected, doubted, (common.short + common.long) * 1000 / common.slots.max(1))
        });
        best.map(|(id, _)| id.clone())
    }

    fn expire(&mut self, now: Instant) -> Vec<GateAction> {
        let queues = self.services.values_mut();
        let expired: Vec<Waiting> =
            queues.flat_map(|s| [s.short.expire(now), s.long.expire(now)]).flatten().collect();
        expired.iter().filter_map(|w| self.refuse_waiting(w, spent(w))).collect()
    }
}

/// Returns how many slots long work may hold; short work keeps one unless there is only one.
fn long_limit(limit: u32, slots: u32, share: f64) -> u32 {
    if limit == 1 && slots > 1 {
        return 0;
    }
    ((f64::from(limit) * share) as u32).max(1)
}

fn spent(waiting: &Waiting) -> Reason {
    if waiting.deadline { Reason::DeadlinePast } else { Reason::PatienceSpent }
}

fn release(upstream: &mut AnyUpstream, long: bool) {
    let common = upstream.common_mut();
    let count = if long { &mut common.long } else { &mut common.short };
    *count = count.saturating_sub(1);
}
