//! Plays a load on entries and gates: upstreams with slots that hang, shed or take long, callers
//! that come in waves, and a network with a delay. Time is simulated and all chance is seeded.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use lavenderflow_core::budget::RetryAllowance;
use lavenderflow_core::clock::{ManualClock, SharedClock};
use lavenderflow_core::entry::{Entry, Identity, TicketLimits};
use lavenderflow_core::gate::{Gate, GateAction, RunResult};
use lavenderflow_core::id::{AttemptId, NodeId, RequestId};
use lavenderflow_core::profile::{Forgiveness, Profile};
use lavenderflow_core::reason::{Outcome, Reason};
use lavenderflow_core::request::{Arrival, AttemptReport, EntryAction};
use lavenderflow_core::route::{Idempotency, Route, Router};
use lavenderflow_core::ticket::StoredAnswer;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{announcement, clock, member, offer, service};

/// Delay of the network, one way.
const DELAY: Duration = Duration::from_millis(1);
/// Interval of ticks and of the callers' arrivals being drawn.
const TICK: Duration = Duration::from_millis(20);
/// Time within which an answer is prompt.
pub const TARGET: Duration = Duration::from_millis(800);
const TIMEOUT: Duration = Duration::from_millis(1500);
/// Time within which upstreams must get work.
const WINDOW: Duration = Duration::from_secs(2);
/// How much longer work takes on an upstream that has just started.
const COLD_FACTOR: f64 = 2.0;
/// Path of requests that may be repeated, and of those that may not.
const REPEATABLE: &str = "/lookup/";
const ONCE: &str = "/assign/";

/// What is played.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub entries: u64,
    pub gates: u64,
    pub slots: u32,
    /// Requests per second.
    pub rate: f64,
    /// Share of the requests that may be repeated.
    pub repeatable: f64,
    /// Mean time of work, in seconds; its spread is that of the logarithm.
    pub work: f64,
    pub spread: f64,
    /// Share of the upstreams in a gray spell at any time.
    pub gray: f64,
    /// Share of the work that hangs in a spell.
    pub hangs: f64,
    /// Length of a spell.
    pub spell: Duration,
    /// Share of the work that upstreams shed for no reason.
    pub sheds: f64,
    /// Time for which all upstreams have just started and take twice as long.
    pub cold: Duration,
    pub length: Duration,
    pub seed: u64,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            entries: 24,
            gates: 18,
            slots: 4,
            rate: 80.0,
            repeatable: 0.3,
            work: 0.23,
            spread: 0.8,
            gray: 0.0,
            hangs: 0.75,
            spell: Duration::from_secs(9),
            sheds: 0.0,
            cold: Duration::ZERO,
            length: Duration::from_secs(40),
            seed: 1,
        }
    }
}

/// What callers got.
#[derive(Clone, Copy, Debug, Default)]
pub struct Got {
    pub asked: u32,
    pub prompt: u32,
    pub late: u32,
    pub refused: u32,
    pub unknown: u32,
    /// Time that refused callers waited, together.
    pub held: Duration,
}

impl Got {
    pub fn count(self) -> u32 {
        self.prompt + self.late
    }

    pub fn served(&self) -> f64 {
        self.share(self.count())
    }

    pub fn share(&self, count: u32) -> f64 {
        f64::from(count) / f64::from(self.asked.max(1))
    }
}

/// What came of a play.
#[derive(Debug)]
pub struct Outcomes {
    pub once: Got,
    pub repeatable: Got,
    /// Times that upstreams were offered work, beside the first of each request.
    pub repeats: u32,
    /// Runs of requests that may not be repeated, beside the first.
    pub doubles: u32,
    /// The least share of the upstreams that got work within [`WINDOW`].
    pub at_work: f64,
}

#[derive(Clone, Debug)]
enum Event {
    Arrive,
    Tick,
    Spells,
    /// An attempt reaches its gate.
    Offer(usize, AttemptId),
    /// A report reaches its entry.
    Report(usize, RequestId, AttemptId, AttemptReport),
    /// A run ends at its gate.
    End(usize, AttemptId, RunResult),
    /// An entry hears that an attempt is stuck.
    Stuck(usize, RequestId, AttemptId),
}

#[derive(Debug)]
struct Attempt {
    entry: usize,
    request: RequestId,
    gate: usize,
    offer: lavenderflow_core::gate::SlotRequest,
    is_over: bool,
}

#[derive(Debug)]
struct Request {
    since: Duration,
    is_once: bool,
    runs: u32,
    offers: u32,
    is_over: bool,
}

/// A fleet under load.
pub struct Play {
    load: Load,
    rng: Pcg64Mcg,
    clock: Arc<ManualClock>,
    now: Duration,
    entries: Vec<Entry>,
    gates: Vec<Gate>,
    gray: Vec<bool>,
    events: BinaryHeap<Reverse<(Duration, u64)>>,
    payloads: IndexMap<u64, Event>,
    next: u64,
    attempts: IndexMap<AttemptId, Attempt>,
    requests: IndexMap<(usize, RequestId), Request>,
    parked: IndexMap<(usize, RequestId), AttemptId>,
    worked: Vec<Duration>,
    outcomes: Outcomes,
}

/// Plays a load to its end.
pub fn play(load: Load) -> Outcomes {
    let mut play = Play::new(load);
    play.run();
    play.outcomes
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
        timeout: Some(TIMEOUT),
        attempts: Some(2),
        rank,
        target_latency: Some(TARGET),
        ..Route::default()
    }
}

impl Play {
    fn new(load: Load) -> Self {
        let clock = clock();
        let shared = Arc::clone(&clock) as SharedClock;
        let mut router = Router::default();
        router.insert(route(REPEATABLE, Idempotency::Yes, 2));
        router.insert(route(ONCE, Idempotency::No, 1));
        let profile = Profile {
            forgiveness: Forgiveness { retries: 0.15, ..Profile::default().forgiveness },
            ..Profile::default()
        };
        let mut gates: Vec<Gate> = (0..load.gates)
            .map(|index| {
                let mut gate = Gate::new(1, Arc::clone(&shared));
                gate.set_profile(&service(), profile.clone());
                let mut new = announcement(&format!("upstream-{index}"), load.slots);
                new.warm_up = Some(load.cold);
                gate.announce(&new);
                gate
            })
            .collect();
        gates.iter_mut().for_each(|gate| drop(gate.tick()));
        let entries = (0..load.entries).map(|index| {
            let identity = Identity { node: index + 1, incarnation: 1, zone: "zone-a".into() };
            let limits = TicketLimits { retention: Duration::from_secs(1), answer_bytes: 0 };
            let mut entry = Entry::new(identity, limits, Arc::clone(&shared), load.seed + index);
            entry.set_router(router.clone());
            entry.set_profile(&service(), profile.clone());
            let window = Duration::from_secs(10);
            let nodes = usize::try_from(load.entries).unwrap_or(1);
            entry.set_allowance(RetryAllowance::per_node(56, window, nodes));
            entry
        });
        let mut play = Self {
            load,
            rng: Pcg64Mcg::seed_from_u64(load.seed),
            clock,
            now: Duration::ZERO,
            entries: entries.collect(),
            gray: vec![false; gates.len()],
            worked: vec![Duration::ZERO; gates.len()],
            gates,
            events: BinaryHeap::new(),
            payloads: IndexMap::new(),
            next: 0,
            attempts: IndexMap::new(),
            requests: IndexMap::new(),
            parked: IndexMap::new(),
            outcomes: Outcomes {
                once: Got::default(),
                repeatable: Got::default(),
                repeats: 0,
                doubles: 0,
                at_work: 1.0,
            },
        };
        for gate in 0..play.gates.len() {
            play.publish(gate);
        }
        for event in [Event::Arrive, Event::Tick, Event::Spells] {
            play.at(Duration::ZERO, event);
        }
        play
    }

    fn run(&mut self) {
        // Requests that are under way at the end have their time.
        let end = self.load.length + TIMEOUT * 2;
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

    fn at(&mut self, delay: Duration, event: Event) {
        let id = self.next;
        self.next += 1;
        self.payloads.insert(id, event);
        self.events.push(Reverse((self.now + delay, id)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Tick => self.tick(),
            Event::Spells => self.turn_spells(),
            Event::Offer(gate, attempt) => self.offer(gate, attempt),
            Event::Report(entry, request, attempt, report) => {
                self.report(entry, request, attempt, report);
            }
            Event::End(gate, attempt, result) => self.end(gate, attempt, result),
            Event::Stuck(entry, request, attempt) => {
                self.parked.insert((entry, request), attempt);
                let actions =
                    self.entries[entry].report(request, AttemptReport::Lost(Reason::Stuck));
                self.act(entry, actions);
            }
        }
    }

    fn arrive(&mut self) {
        if self.now >= self.load.length {
            return;
        }
        let pause = -(1.0 - self.rng.random::<f64>()).ln() / self.load.rate;
        self.at(Duration::from_secs_f64(pause), Event::Arrive);
        let entry = self.rng.random_range(0..self.entries.len());
        let request = self.next;
        let is_once = !self.rng.random_bool(self.load.repeatable);
        let since = self.now;
        let new = Request { since, is_once, runs: 0, offers: 0, is_over: false };
        self.requests.insert((entry, request), new);
        let prefix = if is_once { ONCE } else { REPEATABLE };
        let arrival = Arrival {
            request,
            method: if is_once { "POST" } else { "GET" }.to_owned(),
            target: format!("{prefix}{request}"),
            body_length: Some(0),
            body_buffered: true,
            timeout: Some(TIMEOUT),
            ..Arrival::default()
        };
        let actions = self.entries[entry].begin(arrival);
        self.act(entry, actions);
    }

    fn tick(&mut self) {
        if self.now < self.load.length + TIMEOUT * 2 {
            self.at(TICK, Event::Tick);
        }
        for gate in 0..self.gates.len() {
            let actions = self.gates[gate].tick();
            self.gate_act(gate, actions);
        }
        if (WINDOW..self.load.length).contains(&self.now) {
            let at_work = self.worked.iter().filter(|time| self.now - **time <= WINDOW).count();
            let share = at_work as f64 / self.worked.len() as f64;
            self.outcomes.at_work = self.outcomes.at_work.min(share);
        }
        self.entries.iter_mut().for_each(Entry::tick);
    }

    /// Draws which upstreams are in a spell; the others of the last spell recover.
    fn turn_spells(&mut self) {
        self.at(self.load.spell / self.load.gates as u32, Event::Spells);
        let gate = self.rng.random_range(0..self.gates.len());
        self.gray[gate] = self.rng.random_bool(self.load.gray);
    }

    fn act(&mut self, entry: usize, actions: Vec<EntryAction>) {
        for action in actions {
            match action {
                EntryAction::Dispatch { request, attempt, gate, incarnation, spec, .. } => {
                    let offer = offer(attempt, incarnation, &spec);
                    let gate = usize::try_from(gate - gate_node(0)).expect("a gate");
                    let new = Attempt { entry, request, gate, offer, is_over: false };
                    self.attempts.insert(attempt, new);
                    self.at(DELAY, Event::Offer(gate, attempt));
                }
                EntryAction::Conclude { request, conclusion } => {
                    let is_parked = self.parked.contains_key(&(entry, request));
                    // The first attempt of a request without a second one still runs.
                    if !(is_parked && conclusion.outcome == Outcome::Unknown) {
                        self.conclude(entry, request, conclusion.outcome);
                    }
                }
                EntryAction::Relay { request, .. } => self.conclude(entry, request, Outcome::Ran),
                EntryAction::Forward { .. } | EntryAction::Wait { .. } => {}
            }
        }
    }

    fn conclude(&mut self, entry: usize, request: RequestId, outcome: Outcome) {
        let Some(known) = self.requests.get_mut(&(entry, request)) else { return };
        if std::mem::replace(&mut known.is_over, true) {
            return;
        }
        let elapsed = self.now - known.since;
        let got =
            if known.is_once { &mut self.outcomes.once } else { &mut self.outcomes.repeatable };
        got.asked += 1;
        match outcome {
            Outcome::Ran if elapsed <= TARGET => got.prompt += 1,
            Outcome::Ran => got.late += 1,
            Outcome::NotRun => {
                got.refused += 1;
                got.held += elapsed;
            }
            Outcome::Unknown => got.unknown += 1,
        }
        if let Some(attempt) = self.parked.swap_remove(&(entry, request)) {
            self.cancel(attempt);
        }
    }

    fn cancel(&mut self, attempt: AttemptId) {
        if let Some(known) = self.attempts.get(&attempt) {
            let gate = known.gate;
            self.at(DELAY, Event::End(gate, attempt, RunResult::Cancelled));
        }
    }

    fn offer(&mut self, gate: usize, attempt: AttemptId) {
        let Some(known) = self.attempts.get(&attempt) else { return };
        let offer = known.offer.clone();
        let actions = self.gates[gate].submit(offer);
        self.gate_act(gate, actions);
    }

    fn gate_act(&mut self, gate: usize, actions: Vec<GateAction>) {
        for action in actions {
            match action {
                GateAction::Start { attempt, deadline, load, .. } => {
                    let Some(known) = self.attempts.get(&attempt) else { continue };
                    let (entry, request) = (known.entry, known.request);
                    self.at(
                        DELAY,
                        Event::Report(entry, request, attempt, AttemptReport::Admitted(load)),
                    );
                    let left = deadline.saturating_duration_since(
                        lavenderflow_core::clock::Clock::now(self.clock.as_ref()),
                    );
                    self.start(gate, attempt, left);
                }
                GateAction::Refuse { attempt, reason, load } => {
                    let Some(known) = self.attempts.get(&attempt) else { continue };
                    let (entry, request) = (known.entry, known.request);
                    let report = AttemptReport::Refused(reason, Some(load));
                    self.at(DELAY, Event::Report(entry, request, attempt, report));
                }
                GateAction::Abandon { attempt } => {
                    let Some(known) = self.attempts.get(&attempt) else { continue };
                    let (entry, request) = (known.entry, known.request);
                    self.at(DELAY, Event::Stuck(entry, request, attempt));
                }
                GateAction::Publish => self.publish(gate),
            }
        }
    }

    fn publish(&mut self, gate: usize) {
        let record = member(gate_node(gate), 1, self.gates[gate].service_offers());
        self.entries.iter_mut().for_each(|entry| entry.set_node(&record, false));
    }

    /// Begins a run at an upstream, which ends by an answer, by shedding or by its deadline.
    fn start(&mut self, gate: usize, attempt: AttemptId, left: Duration) {
        self.worked[gate] = self.now;
        let Some(known) = self.attempts.get(&attempt) else { return };
        if let Some(request) = self.requests.get_mut(&(known.entry, known.request)) {
            request.offers += 1;
            self.outcomes.repeats += u32::from(request.offers > 1);
            if request.is_once && request.runs > 0 {
                self.outcomes.doubles += 1;
            }
        }
        if self.rng.random_bool(self.load.sheds) {
            self.at(DELAY, Event::End(gate, attempt, RunResult::Shed));
            return;
        }
        if let Some(request) = self.requests.get_mut(&(known.entry, known.request)) {
            request.runs += 1;
        }
        let hangs = self.gray[gate] && self.rng.random_bool(self.load.hangs);
        let slowness = if self.now < self.load.cold { COLD_FACTOR } else { 1.0 };
        let work = if hangs { left } else { Duration::from_secs_f64(self.draw_work() * slowness) };
        let (time, result) =
            if work < left { (work, RunResult::Success) } else { (left, RunResult::TimedOut) };
        self.at(time, Event::End(gate, attempt, result));
    }

    fn draw_work(&mut self) -> f64 {
        // A normal deviate by the sum of twelve uniform ones.
        let normal: f64 = (0..12).map(|_| self.rng.random::<f64>()).sum::<f64>() - 6.0;
        let Load { work, spread, .. } = self.load;
        work * (spread * normal - spread * spread / 2.0).exp()
    }

    fn end(&mut self, gate: usize, attempt: AttemptId, result: RunResult) {
        let Some(known) = self.attempts.get_mut(&attempt) else { return };
        if std::mem::replace(&mut known.is_over, true) {
            return;
        }
        let (entry, request) = (known.entry, known.request);
        let (load, actions) = self.gates[gate].finish(attempt, result);
        let stored = StoredAnswer { status: 200, headers: Vec::new(), body: Vec::new().into() };
        let report = match result {
            RunResult::Success => AttemptReport::Answered {
                status: 200,
                load: Some(load),
                answer: Some(Arc::new(stored)),
            },
            RunResult::Shed => AttemptReport::Refused(Reason::Shed, Some(load)),
            RunResult::Cancelled => return self.gate_act(gate, actions),
            _ => AttemptReport::Lost(Reason::DeadlinePast),
        };
        self.at(DELAY, Event::Report(entry, request, attempt, report));
        self.gate_act(gate, actions);
    }

    fn report(
        &mut self,
        entry: usize,
        request: RequestId,
        attempt: AttemptId,
        report: AttemptReport,
    ) {
        let is_parked = self.parked.get(&(entry, request)) == Some(&attempt);
        let is_answer = matches!(report, AttemptReport::Answered { .. });
        if is_parked && !is_answer {
            // The second attempt decides, or there is none.
            self.parked.swap_remove(&(entry, request));
            let has_second = self
                .attempts
                .iter()
                .any(|(id, other)| *id != attempt && other.request == request && !other.is_over);
            if !has_second {
                self.conclude(entry, request, Outcome::Unknown);
            }
            return;
        }
        let actions = self.entries[entry].report(request, report);
        let is_gone = actions.is_empty() && is_answer;
        self.act(entry, actions);
        if is_gone {
            // The entry had given the request up, but its first attempt was kept.
            self.conclude(entry, request, Outcome::Ran);
        }
    }
}
