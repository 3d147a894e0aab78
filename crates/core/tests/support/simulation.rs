//! Simulates entries and gates under load: upstreams that hang, shed or are slow, requests that
//! arrive at random, and a network with a delay. The clock is simulated, and all random numbers are
//! seeded.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use lavenderflow_core::budget::RetryAllowance;
use lavenderflow_core::clock::{ManualClock, SharedClock};
use lavenderflow_core::entry::{Entry, Identity, TicketLimits};
use lavenderflow_core::fleet_level::LevelCounts;
use lavenderflow_core::gate::{Gate, GateAction, RunResult, SlotRequest};
use lavenderflow_core::hedge::{HedgeEvent, Suppression};
use lavenderflow_core::id::{AttemptId, NodeId, RequestId};
use lavenderflow_core::profile::{Forgiveness, Profile};
use lavenderflow_core::reason::{Outcome, Reason};
use lavenderflow_core::request::{Arrival, AttemptReport, EntryAction};
use lavenderflow_core::route::{Idempotency, Route, Router};
use lavenderflow_core::ticket::StoredAnswer;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{announcement, clock, member, service, slot_request};

/// One-way delay of the network.
const NETWORK_DELAY: Duration = Duration::from_millis(1);
/// Interval between ticks of the entries and gates.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Latency up to which a response is on time.
pub const TARGET_LATENCY: Duration = Duration::from_millis(800);
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time after the start of its last run for which an upstream counts as active.
const ACTIVITY_WINDOW: Duration = Duration::from_secs(2);
/// Time after a gray failure from which an upstream must get work.
const RECOVERY_TIME: Duration = Duration::from_secs(4);
/// Factor by which runs take longer on a cold upstream.
const COLD_SLOWDOWN: f64 = 2.0;
/// Factor by which the runs in the tail take longer.
const TAIL_FACTOR: f64 = 8.0;
/// Factor by which all runs take longer while upstreams are slow.
const SLOW_FACTOR: f64 = 4.0;
/// Factor by which more requests arrive in a load peak.
const PEAK_FACTOR: f64 = 7.5;
/// Path prefix of idempotent requests.
const IDEMPOTENT_PREFIX: &str = "/lookup/";
/// Path prefix of non-idempotent requests.
const NON_IDEMPOTENT_PREFIX: &str = "/assign/";

/// Parameters of a simulation.
#[derive(Clone, Copy, Debug)]
pub struct Workload {
    pub entries: u64,
    pub gates: u64,
    pub slots: u32,
    /// Requests per second.
    pub rate: f64,
    /// Share of the requests that are idempotent.
    pub idempotent_share: f64,
    /// Mean duration of a run, in seconds. Durations have a log-normal distribution.
    pub work_seconds: f64,
    /// Standard deviation of the logarithm of the durations.
    pub log_deviation: f64,
    /// Mean share of the upstreams that are in a gray failure.
    pub gray_share: f64,
    /// Share of the runs that hang during a gray failure.
    pub hang_share: f64,
    /// Whether an upstream answers a run that hangs with 504 at its deadline, instead of not at all.
    pub answers_hangs: bool,
    /// Share of the runs that end with a 500 of the upstream.
    pub error_share: f64,
    /// Mean interval between draws of whether an upstream is in a gray failure.
    pub gray_interval: Duration,
    /// Share of the runs that upstreams shed at random.
    pub shed_share: f64,
    /// Time from the start for which all upstreams are cold, so that runs take [`COLD_SLOWDOWN`]
    /// times as long.
    pub cold_duration: Duration,
    /// Largest share of the requests that may get a second copy.
    pub hedges: f64,
    /// Share of the runs that take [`TAIL_FACTOR`] times as long.
    pub tail_share: f64,
    /// Time from which all runs take [`SLOW_FACTOR`] times as long.
    pub slow_from: Option<Duration>,
    /// Time from which [`PEAK_FACTOR`] times as many requests arrive.
    pub peak_from: Option<Duration>,
    pub duration: Duration,
    pub seed: u64,
}

impl Default for Workload {
    fn default() -> Self {
        Self {
            entries: 24,
            gates: 18,
            slots: 4,
            rate: 80.0,
            idempotent_share: 0.3,
            work_seconds: 0.23,
            log_deviation: 0.8,
            gray_share: 0.0,
            hang_share: 0.75,
            answers_hangs: false,
            error_share: 0.0,
            gray_interval: Duration::from_secs(9),
            shed_share: 0.0,
            cold_duration: Duration::ZERO,
            hedges: 0.0,
            tail_share: 0.0,
            slow_from: None,
            peak_from: None,
            duration: Duration::from_secs(40),
            seed: 1,
        }
    }
}

/// Number of requests by outcome.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestCounts {
    pub total: u32,
    pub on_time: u32,
    pub late: u32,
    pub refused: u32,
    pub unknown: u32,
    /// Total time that refused requests waited for the refusal.
    pub refusal_wait: Duration,
}

impl RequestCounts {
    pub fn served(self) -> u32 {
        self.on_time + self.late
    }

    pub fn served_share(&self) -> f64 {
        self.share(self.served())
    }

    pub fn share(&self, count: u32) -> f64 {
        f64::from(count) / f64::from(self.total.max(1))
    }
}

/// What a simulation measured.
#[derive(Debug)]
pub struct SimulationResult {
    pub non_idempotent: RequestCounts,
    pub idempotent: RequestCounts,
    /// Attempts that were given a slot, without the first one of each request.
    pub extra_starts: u32,
    /// Runs of non-idempotent requests, without the first one of each request.
    pub duplicate_runs: u32,
    /// Lowest share of the upstreams that got work within [`ACTIVITY_WINDOW`].
    pub active_share: f64,
    /// Lowest share that got work within [`ACTIVITY_WINDOW`] of the upstreams without a gray failure
    /// for [`RECOVERY_TIME`].
    pub active_sound_share: f64,
    /// Copies that were sent, with their times.
    pub copies: Vec<Duration>,
    /// Copies that were not sent, with their times.
    pub suppressed: Vec<(Suppression, Duration)>,
    /// Latencies of the idempotent requests that were served, with the times of their arrival.
    pub latencies: Vec<(Duration, Duration)>,
    /// Most runs of one idempotent request.
    pub most_starts: u32,
}

#[derive(Clone, Debug)]
enum Event {
    Arrive,
    Tick,
    RedrawGray,
    /// An attempt arrives at its gate.
    Submit(usize, AttemptId),
    /// A report arrives at its entry.
    Report(usize, RequestId, AttemptId, AttemptReport),
    /// A run ends at its gate.
    Finish(usize, AttemptId, RunResult),
    /// The pause of a request's search for a gate is over.
    Resume(usize, RequestId),
    /// An attempt has run for its hedge delay.
    Overdue(usize, RequestId, AttemptId),
    /// An entry receives the report that an attempt is stuck.
    Stuck(usize, RequestId, AttemptId),
}

#[derive(Debug)]
struct Attempt {
    entry: usize,
    request: RequestId,
    gate: usize,
    slot_request: SlotRequest,
    level: LevelCounts,
    is_finished: bool,
    is_copy: bool,
}

#[derive(Debug)]
struct Request {
    arrived: Duration,
    non_idempotent: bool,
    runs: u32,
    starts: u32,
    is_finished: bool,
}

/// Entries, gates and upstreams under load, with a queue of events in order of time.
pub struct Simulation {
    workload: Workload,
    rng: Pcg64Mcg,
    clock: Arc<ManualClock>,
    now: Duration,
    entries: Vec<Entry>,
    gates: Vec<Gate>,
    gray: Vec<bool>,
    // When the last gray failure of each upstream ended.
    gray_ends: Vec<Duration>,
    events: BinaryHeap<Reverse<(Duration, u64)>>,
    payloads: IndexMap<u64, Event>,
    next_id: u64,
    attempts: IndexMap<AttemptId, Attempt>,
    requests: IndexMap<(usize, RequestId), Request>,
    // Attempts that go on although they are stuck.
    stuck: IndexSet<AttemptId>,
    // When attempts are overdue, and whether they replace stuck ones.
    hedge_delays: IndexMap<AttemptId, (Option<Duration>, bool)>,
    // All attempts of the requests in flight.
    sent: IndexMap<(usize, RequestId), Vec<AttemptId>>,
    last_start: Vec<Duration>,
    result: SimulationResult,
}

/// Runs a simulation to its end.
pub fn simulate(workload: Workload) -> SimulationResult {
    let mut simulation = Simulation::new(workload);
    simulation.run();
    simulation.result
}

fn gate_node(index: usize) -> NodeId {
    1000 + index as u64
}

fn route(prefix: &str, idempotency: Idempotency, rank: u32) -> Route {
    Route {
        prefix: prefix.to_owned(),
        service: service(),
        idempotency,
        host: None,
        timeout: Some(REQUEST_TIMEOUT),
        attempts: Some(2),
        rank,
        target_latency: Some(TARGET_LATENCY),
        ..Route::default()
    }
}

impl Simulation {
    fn new(workload: Workload) -> Self {
        let clock = clock();
        let shared = Arc::clone(&clock) as SharedClock;
        let mut router = Router::default();
        router.insert(route(IDEMPOTENT_PREFIX, Idempotency::Yes, 2));
        router.insert(route(NON_IDEMPOTENT_PREFIX, Idempotency::No, 1));
        let profile = Profile {
            forgiveness: Forgiveness {
                retries: 0.15,
                hedges: workload.hedges,
                ..Profile::default().forgiveness
            },
            ..Profile::default()
        };
        let mut gates: Vec<Gate> = (0..workload.gates)
            .map(|index| {
                let mut gate = Gate::new(1, Arc::clone(&shared));
                gate.set_profile(&service(), profile.clone());
                let mut new = announcement(&format!("upstream-{index}"), workload.slots);
                new.warm_up = Some(workload.cold_duration);
                gate.announce(&new).expect("applied");
                gate
            })
            .collect();
        gates.iter_mut().for_each(|gate| drop(gate.tick()));
        let entries = (0..workload.entries).map(|index| {
            let identity = Identity { node: index + 1, incarnation: 1, zone: "zone-a".into() };
            let limits = TicketLimits { retention: Duration::from_secs(1), answer_bytes: 0 };
            let mut entry =
                Entry::new(identity, limits, Arc::clone(&shared), workload.seed + index);
            entry.set_router(router.clone());
            entry.set_profile(&service(), profile.clone());
            let window = Duration::from_secs(10);
            let nodes = usize::try_from(workload.entries).unwrap_or(1);
            entry.set_allowance(RetryAllowance::per_node(56, window, nodes));
            entry
        });
        let mut simulation = Self {
            workload,
            rng: Pcg64Mcg::seed_from_u64(workload.seed),
            clock,
            now: Duration::ZERO,
            entries: entries.collect(),
            gray: vec![false; gates.len()],
            gray_ends: vec![Duration::ZERO; gates.len()],
            last_start: vec![Duration::ZERO; gates.len()],
            gates,
            events: BinaryHeap::new(),
            payloads: IndexMap::new(),
            next_id: 0,
            attempts: IndexMap::new(),
            requests: IndexMap::new(),
            stuck: IndexSet::new(),
            hedge_delays: IndexMap::new(),
            sent: IndexMap::new(),
            result: SimulationResult {
                non_idempotent: RequestCounts::default(),
                idempotent: RequestCounts::default(),
                extra_starts: 0,
                duplicate_runs: 0,
                active_share: 1.0,
                active_sound_share: 1.0,
                copies: Vec::new(),
                suppressed: Vec::new(),
                latencies: Vec::new(),
                most_starts: 0,
            },
        };
        for gate in 0..simulation.gates.len() {
            simulation.publish(gate);
        }
        for event in [Event::Arrive, Event::Tick, Event::RedrawGray] {
            simulation.schedule(Duration::ZERO, event);
        }
        simulation
    }

    fn run(&mut self) {
        // Requests in flight when arrivals end can still finish.
        let end = self.workload.duration + REQUEST_TIMEOUT * 2;
        while let Some(Reverse((time, id))) = self.events.pop() {
            if time > end {
                return;
            }
            self.clock.advance(time - self.now);
            self.now = time;
            if let Some(event) = self.payloads.swap_remove(&id) {
                self.handle(event);
            }
        }
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        let id = self.next_id;
        self.next_id += 1;
        self.payloads.insert(id, event);
        self.events.push(Reverse((self.now + delay, id)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Tick => self.tick(),
            Event::RedrawGray => self.redraw_gray(),
            Event::Submit(gate, attempt) => self.submit(gate, attempt),
            Event::Report(entry, request, attempt, report) => {
                self.report(entry, request, attempt, report);
            }
            Event::Finish(gate, attempt, result) => self.finish(gate, attempt, result),
            Event::Resume(entry, request) => {
                let actions = self.entries[entry].report(request, AttemptReport::Resumed);
                self.execute_entry_actions(entry, actions);
            }
            Event::Overdue(entry, request, attempt) => {
                let is_first = self.attempts.get(&attempt).is_some_and(|a| !a.is_finished);
                if is_first && self.copy_of(entry, request).is_none() {
                    let actions = self.entries[entry].report(request, AttemptReport::Overdue);
                    self.execute_entry_actions(entry, actions);
                }
            }
            // An attempt with a copy goes on.
            Event::Stuck(entry, request, _) if self.copy_of(entry, request).is_some() => {}
            Event::Stuck(entry, request, attempt) => {
                self.stuck.insert(attempt);
                let actions =
                    self.entries[entry].report(request, AttemptReport::Lost(Reason::Stuck));
                self.execute_entry_actions(entry, actions);
            }
        }
    }

    fn arrive(&mut self) {
        if self.now >= self.workload.duration {
            return;
        }
        let is_peak = self.workload.peak_from.is_some_and(|time| self.now >= time);
        let rate = self.workload.rate * if is_peak { PEAK_FACTOR } else { 1.0 };
        let pause = -(1.0 - self.rng.random::<f64>()).ln() / rate;
        self.schedule(Duration::from_secs_f64(pause), Event::Arrive);
        let entry = self.rng.random_range(0..self.entries.len());
        let request = self.next_id;
        let non_idempotent = !self.rng.random_bool(self.workload.idempotent_share);
        let arrived = self.now;
        let new = Request { arrived, non_idempotent, runs: 0, starts: 0, is_finished: false };
        self.requests.insert((entry, request), new);
        let prefix = if non_idempotent { NON_IDEMPOTENT_PREFIX } else { IDEMPOTENT_PREFIX };
        let arrival = Arrival {
            request,
            method: if non_idempotent { "POST" } else { "GET" }.to_owned(),
            target: format!("{prefix}{request}"),
            body_length: Some(0),
            body_buffered: true,
            timeout: Some(REQUEST_TIMEOUT),
            ..Arrival::default()
        };
        let actions = self.entries[entry].begin(arrival);
        self.execute_entry_actions(entry, actions);
    }

    fn tick(&mut self) {
        if self.now < self.workload.duration + REQUEST_TIMEOUT * 2 {
            self.schedule(TICK_INTERVAL, Event::Tick);
        }
        for gate in 0..self.gates.len() {
            let actions = self.gates[gate].tick();
            self.execute_gate_actions(gate, actions);
        }
        if (ACTIVITY_WINDOW..self.workload.duration).contains(&self.now) {
            let active =
                self.last_start.iter().filter(|time| self.now - **time <= ACTIVITY_WINDOW).count();
            let share = active as f64 / self.last_start.len() as f64;
            self.result.active_share = self.result.active_share.min(share);
            self.measure_sound();
        }
        self.entries.iter_mut().for_each(Entry::tick);
    }

    fn measure_sound(&mut self) {
        let sound = (0..self.gates.len())
            .filter(|gate| !self.gray[*gate] && self.now - self.gray_ends[*gate] >= RECOVERY_TIME);
        let (sound, active) = sound.fold((0, 0), |(sound, active), gate| {
            let is_active = self.now - self.last_start[gate] <= ACTIVITY_WINDOW;
            (sound + 1, active + u32::from(is_active))
        });
        if sound > 0 {
            let share = f64::from(active) / f64::from(sound);
            self.result.active_sound_share = self.result.active_sound_share.min(share);
        }
    }

    /// Draws again whether one upstream is in a gray failure; the others keep their state.
    fn redraw_gray(&mut self) {
        self.schedule(self.workload.gray_interval / self.workload.gates as u32, Event::RedrawGray);
        let gate = self.rng.random_range(0..self.gates.len());
        let was_gray = self.gray[gate];
        self.gray[gate] = self.rng.random_bool(self.workload.gray_share);
        if was_gray {
            self.gray_ends[gate] = self.now;
        }
    }

    fn execute_entry_actions(&mut self, entry: usize, actions: Vec<EntryAction>) {
        for action in actions {
            match action {
                EntryAction::Dispatch {
                    request,
                    attempt,
                    gate,
                    incarnation,
                    spec,
                    hedge_delay,
                    replaces_stuck,
                    ..
                } => {
                    let slot_request = slot_request(attempt, incarnation, &spec);
                    self.send(entry, request, gate, (slot_request, spec.level), false);
                    self.hedge_delays.insert(attempt, (hedge_delay, replaces_stuck));
                }
                EntryAction::Hedge { request, attempt, gate, incarnation, spec } => {
                    let slot_request = slot_request(attempt, incarnation, &spec);
                    self.send(entry, request, gate, (slot_request, spec.level), true);
                    self.result.copies.push(self.now);
                }
                EntryAction::RecordHedge(HedgeEvent::Suppressed(reason)) => {
                    self.result.suppressed.push((reason, self.now));
                }
                EntryAction::KeepWaiting { .. } | EntryAction::RecordHedge(_) => {}
                EntryAction::Conclude { request, conclusion } => {
                    self.conclude(entry, request, conclusion.outcome);
                }
                EntryAction::Relay { request, .. } => self.conclude(entry, request, Outcome::Ran),
                EntryAction::Pause { request, time } => {
                    self.schedule(time, Event::Resume(entry, request));
                }
                EntryAction::Forward { .. }
                | EntryAction::Wait { .. }
                | EntryAction::Draw { .. } => {}
                // All ends of attempts are reported.
                EntryAction::Await { .. } => {}
            }
        }
    }

    fn send(
        &mut self,
        entry: usize,
        request: RequestId,
        gate: NodeId,
        (slot_request, level): (SlotRequest, LevelCounts),
        is_copy: bool,
    ) {
        let attempt = slot_request.attempt;
        let gate = usize::try_from(gate - gate_node(0)).expect("a gate");
        let is_finished = false;
        let new = Attempt { entry, request, gate, slot_request, level, is_finished, is_copy };
        self.attempts.insert(attempt, new);
        self.sent.entry((entry, request)).or_default().push(attempt);
        self.schedule(NETWORK_DELAY, Event::Submit(gate, attempt));
    }

    /// Returns the copy of a request that has not ended.
    fn copy_of(&self, entry: usize, request: RequestId) -> Option<AttemptId> {
        let is_running = |attempt: &&AttemptId| {
            self.attempts.get(*attempt).is_some_and(|known| known.is_copy && !known.is_finished)
        };
        self.sent.get(&(entry, request))?.iter().find(is_running).copied()
    }

    fn conclude(&mut self, entry: usize, request: RequestId, outcome: Outcome) {
        let Some(known) = self.requests.get_mut(&(entry, request)) else { return };
        if std::mem::replace(&mut known.is_finished, true) {
            return;
        }
        let elapsed = self.now - known.arrived;
        let counts = if known.non_idempotent {
            &mut self.result.non_idempotent
        } else {
            &mut self.result.idempotent
        };
        counts.total += 1;
        if !known.non_idempotent {
            self.result.most_starts = self.result.most_starts.max(known.starts);
            if outcome == Outcome::Ran {
                self.result.latencies.push((known.arrived, elapsed));
            }
        }
        match outcome {
            Outcome::Ran if elapsed <= TARGET_LATENCY => counts.on_time += 1,
            Outcome::Ran => counts.late += 1,
            Outcome::NotRun => {
                counts.refused += 1;
                counts.refusal_wait += elapsed;
            }
            Outcome::Unknown => counts.unknown += 1,
        }
        self.cancel_stuck(entry, request);
        // Attempts that the entry still counts on end with the request.
        if self.workload.hedges > 0.0 {
            for attempt in self.sent.swap_remove(&(entry, request)).unwrap_or_default() {
                self.cancel(attempt);
            }
        }
    }

    fn cancel_stuck(&mut self, entry: usize, request: RequestId) {
        for attempt in std::mem::take(&mut self.stuck) {
            let known = &self.attempts[&attempt];
            if (known.entry, known.request) == (entry, request) {
                self.cancel(attempt);
            } else {
                self.stuck.insert(attempt);
            }
        }
    }

    fn cancel(&mut self, attempt: AttemptId) {
        if let Some(known) = self.attempts.get(&attempt) {
            let gate = known.gate;
            self.schedule(NETWORK_DELAY, Event::Finish(gate, attempt, RunResult::Cancelled));
        }
    }

    fn submit(&mut self, gate: usize, attempt: AttemptId) {
        let Some(known) = self.attempts.get(&attempt) else { return };
        let (slot_request, level) = (known.slot_request.clone(), known.level);
        self.gates[gate].record_level(attempt.node, &slot_request.service, level);
        let actions = self.gates[gate].submit(slot_request);
        self.execute_gate_actions(gate, actions);
    }

    fn execute_gate_actions(&mut self, gate: usize, actions: Vec<GateAction>) {
        for action in actions {
            match action {
                GateAction::Start { attempt, deadline, load, .. } => {
                    let Some(known) = self.attempts.get(&attempt) else { continue };
                    let (entry, request) = (known.entry, known.request);
                    let (delay, replaces_stuck) =
                        self.hedge_delays.swap_remove(&attempt).unwrap_or_default();
                    if let Some(delay) = delay {
                        let overdue = Event::Overdue(entry, request, attempt);
                        self.schedule(NETWORK_DELAY + delay, overdue);
                    }
                    if replaces_stuck {
                        self.cancel_stuck(entry, request);
                    }
                    self.schedule(
                        NETWORK_DELAY,
                        Event::Report(entry, request, attempt, AttemptReport::Admitted(load)),
                    );
                    let remaining = deadline.saturating_duration_since(
                        lavenderflow_core::clock::Clock::now(self.clock.as_ref()),
                    );
                    self.start(gate, attempt, remaining);
                }
                GateAction::Refuse { attempt, reason, load } => {
                    let Some(known) = self.attempts.get(&attempt) else { continue };
                    let (entry, request) = (known.entry, known.request);
                    let report = AttemptReport::Refused(reason, Some(load));
                    self.schedule(NETWORK_DELAY, Event::Report(entry, request, attempt, report));
                }
                GateAction::Abandon { attempt } => {
                    let Some(known) = self.attempts.get(&attempt) else { continue };
                    let (entry, request) = (known.entry, known.request);
                    self.schedule(NETWORK_DELAY, Event::Stuck(entry, request, attempt));
                }
                GateAction::Publish => self.publish(gate),
                GateAction::ReportEarlierStart { .. }
                | GateAction::ReportGray { .. }
                | GateAction::ReportIdle(_)
                | GateAction::ReportLeaving { .. }
                | GateAction::ReportOutdated { .. }
                | GateAction::ReportRateLimit { .. }
                | GateAction::StoreLifetimes(_) => {}
            }
        }
    }

    fn publish(&mut self, gate: usize) {
        let record = member(gate_node(gate), 1, self.gates[gate].service_offers());
        self.entries.iter_mut().for_each(|entry| entry.set_node(&record, false));
    }

    /// Starts a run on an upstream. It ends with a response, by shedding or at its deadline.
    fn start(&mut self, gate: usize, attempt: AttemptId, remaining: Duration) {
        self.last_start[gate] = self.now;
        let Some(known) = self.attempts.get(&attempt) else { return };
        if let Some(request) = self.requests.get_mut(&(known.entry, known.request)) {
            request.starts += 1;
            self.result.extra_starts += u32::from(request.starts > 1);
            if request.non_idempotent && request.runs > 0 {
                self.result.duplicate_runs += 1;
            }
        }
        if self.rng.random_bool(self.workload.shed_share) {
            self.schedule(NETWORK_DELAY, Event::Finish(gate, attempt, RunResult::Shed));
            return;
        }
        if let Some(request) = self.requests.get_mut(&(known.entry, known.request)) {
            request.runs += 1;
        }
        let hangs = self.gray[gate] && self.rng.random_bool(self.workload.hang_share);
        let slowdown = if self.now < self.workload.cold_duration { COLD_SLOWDOWN } else { 1.0 };
        let is_slow = self.workload.slow_from.is_some_and(|time| self.now >= time);
        let slowdown = slowdown * if is_slow { SLOW_FACTOR } else { 1.0 };
        // No number is drawn where there is no tail, so that other workloads stay as they are.
        let tail_share = self.workload.tail_share;
        let is_tail = tail_share > 0.0 && self.rng.random_bool(tail_share);
        let slowdown = slowdown * if is_tail { TAIL_FACTOR } else { 1.0 };
        let work =
            if hangs { remaining } else { Duration::from_secs_f64(self.draw_work() * slowdown) };
        // No number is drawn where there are no errors, so that other workloads stay as they are.
        let error_share = self.workload.error_share;
        let has_error = error_share > 0.0 && self.rng.random_bool(error_share);
        let (time, result) = if work < remaining && has_error {
            (work, RunResult::ServerError)
        } else if work < remaining {
            (work, RunResult::Success)
        } else if self.workload.answers_hangs {
            (remaining, RunResult::ServerError)
        } else {
            (remaining, RunResult::TimedOut)
        };
        self.schedule(time, Event::Finish(gate, attempt, result));
    }

    fn draw_work(&mut self) -> f64 {
        // The sum of twelve uniform deviates, less its mean, approximates a normal deviate.
        let normal: f64 = (0..12).map(|_| self.rng.random::<f64>()).sum::<f64>() - 6.0;
        let Workload { work_seconds, log_deviation, .. } = self.workload;
        work_seconds * (log_deviation * normal - log_deviation * log_deviation / 2.0).exp()
    }

    fn finish(&mut self, gate: usize, attempt: AttemptId, result: RunResult) {
        let Some(known) = self.attempts.get_mut(&attempt) else { return };
        if std::mem::replace(&mut known.is_finished, true) {
            return;
        }
        let (entry, request) = (known.entry, known.request);
        // A cancelled attempt may still wait for a slot.
        if result == RunResult::Cancelled {
            self.gates[gate].cancel(attempt);
        }
        let (load, actions) = self.gates[gate].finish(attempt, result);
        let answered = |status| {
            let answer = StoredAnswer { status, headers: Vec::new(), body: Vec::new().into() };
            AttemptReport::Answered { status, load: Some(load), answer: Some(Arc::new(answer)) }
        };
        let report = match result {
            RunResult::Success => answered(200),
            RunResult::ServerError => answered(504),
            RunResult::Shed => AttemptReport::Refused(Reason::Shed, Some(load)),
            RunResult::Cancelled => return self.execute_gate_actions(gate, actions),
            _ => AttemptReport::Lost(Reason::DeadlinePast),
        };
        self.schedule(NETWORK_DELAY, Event::Report(entry, request, attempt, report));
        self.execute_gate_actions(gate, actions);
    }

    fn report(
        &mut self,
        entry: usize,
        request: RequestId,
        attempt: AttemptId,
        report: AttemptReport,
    ) {
        let is_copy = self.attempts.get(&attempt).is_some_and(|known| known.is_copy);
        let report = if self.stuck.swap_remove(&attempt) {
            AttemptReport::Earlier(attempt, Box::new(report))
        } else if is_copy {
            AttemptReport::Copy(Box::new(report))
        } else {
            report
        };
        let actions = self.entries[entry].report(request, report);
        self.execute_entry_actions(entry, actions);
    }
}
