//! Model checks the handling of one ticket: explores all orders of events up to a depth.
//!
//! The model has one home, two gates and three duplicate requests with one ticket. Each message can
//! be delivered late, twice or never. The home and the gates can crash and restart, the home can
//! lose an attempt, and a reconfiguration can make the home refuse requests. The state machines are
//! the real ones. Each path is replayed from the start, and equal states are visited once.

mod support;

use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

use lavenderflow_core::clock::SharedClock;
use lavenderflow_core::entry::Entry;
use lavenderflow_core::gate::{Gate, GateAction, RunResult, SlotRequest};
use lavenderflow_core::id::{AttemptId, Incarnation, NodeId, RequestId, TicketId};
use lavenderflow_core::load::{Condition, Load};
use lavenderflow_core::reason::{Outcome, Reason};
use lavenderflow_core::request::{AttemptReport, AttemptSpec, Conclusion, EntryAction};
use lavenderflow_core::route::Router;
use lavenderflow_core::ticket::StoredAnswer;
use support::{arrival, clock, entry, gate, member, router, service_offer, slot_request};

const HOME_NODE: NodeId = 1;
const GATE_NODES: [NodeId; 2] = [2, 3];
const REQUEST_COUNT: RequestId = 3;
/// Most deliveries of each message.
const MAX_DELIVERIES: u32 = 2;

/// A rule that the model leaves out, to check that it finds the violation that the rule prevents.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum OmittedRule {
    None,
    /// The home revokes the ticket of a refused request.
    TicketRevocation,
    /// Gates refuse an attempt that they received before.
    ReplayWindow,
    /// Gates refuse attempts addressed to an earlier incarnation.
    GateIncarnation,
    /// A home does not treat tickets of its earlier incarnations as unused.
    HomeIncarnation,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Step {
    /// One of the duplicate requests arrives at the home.
    Arrive(RequestId),
    /// A message is delivered.
    Deliver(usize),
    /// An upstream finishes a run and responds.
    Finish(usize),
    /// The home loses contact with the gate of an attempt.
    Lose(RequestId),
    /// The home's process crashes and restarts.
    CrashHome,
    /// A gate's process crashes and restarts.
    CrashGate(usize),
    /// The home starts or stops refusing requests.
    ToggleRefusing,
}

#[derive(Clone, Debug)]
enum Message {
    Dispatch { request: RequestId, gate: usize, slot_request: SlotRequest },
    Report { home: Incarnation, request: RequestId, report: AttemptReport },
}

struct Model {
    omitted: OmittedRule,
    clock: Arc<lavenderflow_core::clock::ManualClock>,
    home: Entry,
    home_incarnation: Incarnation,
    gates: Vec<Gate>,
    gate_incarnations: Vec<Incarnation>,
    ticket: TicketId,
    messages: Vec<(Message, u32)>,
    running: Vec<(usize, AttemptId, RequestId, Incarnation)>,
    pending: Vec<(RequestId, Incarnation)>,
    arrived: HashSet<RequestId>,
    refusing: bool,
    crashes: u32,
    runs: u32,
    outcomes: Vec<Outcome>,
}

impl Model {
    fn new(omitted: OmittedRule) -> Self {
        let clock = clock();
        let gates: Vec<Gate> = GATE_NODES.iter().map(|node| gate(node * 10, &clock, 4)).collect();
        let shared: SharedClock = clock.clone();
        let mut home = entry(HOME_NODE, 100, &shared, 1);
        let ticket = home.issue_ticket().expect("a ticket");
        let mut model = Self {
            omitted,
            clock,
            home,
            home_incarnation: 100,
            gates,
            gate_incarnations: GATE_NODES.iter().map(|node| node * 10).collect(),
            ticket,
            messages: Vec::new(),
            running: Vec::new(),
            pending: Vec::new(),
            arrived: HashSet::new(),
            refusing: false,
            crashes: 0,
            runs: 0,
            outcomes: Vec::new(),
        };
        model.register_gates();
        model
    }

    fn register_gates(&mut self) {
        for (gate, incarnation) in GATE_NODES.iter().zip(&self.gate_incarnations) {
            let offers = vec![service_offer(4, Condition::Healthy, 0.0)];
            self.home.set_node(&member(*gate, *incarnation, offers), false);
        }
    }

    fn steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        steps.extend(
            (1..=REQUEST_COUNT)
                .filter(|request| !self.arrived.contains(request))
                .map(Step::Arrive)
                .take(1),
        );
        let messages = self.messages.iter().enumerate();
        let deliverable = messages.filter(|(_, (_, count))| *count < MAX_DELIVERIES);
        steps.extend(deliverable.map(|(index, _)| Step::Deliver(index)));
        steps.extend((0..self.running.len()).map(Step::Finish));
        let pending = self.pending.iter().filter(|p| p.1 == self.home_incarnation);
        steps.extend(pending.map(|(request, _)| Step::Lose(*request)));
        if self.crashes < 2 {
            steps.push(Step::CrashHome);
            steps.extend((0..GATE_NODES.len()).map(Step::CrashGate));
        }
        steps.push(Step::ToggleRefusing);
        steps
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Arrive(request) => {
                self.arrived.insert(request);
                self.begin(request);
            }
            Step::Deliver(index) => {
                self.messages[index].1 += 1;
                let message = self.messages[index].0.clone();
                self.deliver(message);
            }
            Step::Finish(index) => self.finish_run(index),
            Step::Lose(request) => self.report(request, AttemptReport::Lost(Reason::Lost)),
            Step::CrashHome => {
                self.crashes += 1;
                self.home_incarnation += 1;
                let incarnation = if self.omitted == OmittedRule::HomeIncarnation {
                    self.ticket.incarnation
                } else {
                    self.home_incarnation
                };
                let shared: SharedClock = self.clock.clone();
                self.home = entry(HOME_NODE, incarnation, &shared, 1);
                self.home.issue_ticket();
                self.register_gates();
                self.set_refusing(self.refusing);
            }
            Step::CrashGate(index) => {
                self.crashes += 1;
                if self.omitted != OmittedRule::GateIncarnation {
                    self.gate_incarnations[index] += 1;
                }
                self.gates[index] = gate(self.gate_incarnations[index], &self.clock, 4);
                self.running.retain(|(gate, ..)| *gate != index);
                self.register_gates();
            }
            Step::ToggleRefusing => self.set_refusing(!self.refusing),
        }
    }

    fn set_refusing(&mut self, refusing: bool) {
        self.refusing = refusing;
        self.home.set_router(if refusing { Router::default() } else { router() });
    }

    fn begin(&mut self, request: RequestId) {
        if self.omitted == OmittedRule::TicketRevocation && self.refusing {
            self.outcomes.push(Outcome::NotRun);
            return;
        }
        let actions = self.home.begin(arrival(request, "POST", Some(self.ticket)));
        self.execute(actions);
    }

    fn report(&mut self, request: RequestId, report: AttemptReport) {
        let actions = self.home.report(request, report);
        self.execute(actions);
    }

    fn execute(&mut self, actions: Vec<EntryAction>) {
        for action in actions {
            match action {
                EntryAction::Dispatch { request, attempt, gate, incarnation, spec, .. } => {
                    self.dispatch(request, attempt, gate, incarnation, &spec);
                }
                EntryAction::Relay { request, .. } => {
                    self.pending.retain(|(pending, _)| *pending != request);
                    self.outcomes.push(Outcome::Ran);
                }
                EntryAction::Conclude { request, conclusion } => {
                    self.pending.retain(|(pending, _)| *pending != request);
                    let Conclusion { outcome, .. } = conclusion;
                    self.outcomes.push(outcome);
                }
                EntryAction::Wait { request, .. } => {
                    self.pending.push((request, self.home_incarnation));
                }
                EntryAction::Forward { .. }
                | EntryAction::Pause { .. }
                | EntryAction::Draw { .. } => {}
                // No profile of this test enables hedging, and no attempt is reported as silent: only
                // one that may run without a commit can be.
                EntryAction::Await { .. }
                | EntryAction::Hedge { .. }
                | EntryAction::KeepWaiting { .. }
                | EntryAction::RecordHedge(_) => unreachable!("{action:?}"),
            }
        }
    }

    fn dispatch(
        &mut self,
        request: RequestId,
        attempt: AttemptId,
        gate: NodeId,
        incarnation: Incarnation,
        spec: &AttemptSpec,
    ) {
        let Some(gate) = GATE_NODES.iter().position(|node| *node == gate) else { return };
        if !self.pending.contains(&(request, self.home_incarnation)) {
            self.pending.push((request, self.home_incarnation));
        }
        let slot_request = slot_request(attempt, incarnation, spec);
        self.messages.push((Message::Dispatch { request, gate, slot_request }, 0));
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Dispatch { request, gate, mut slot_request } => {
                // Gates check the replay window for non-idempotent requests only.
                slot_request.idempotent = self.omitted == OmittedRule::ReplayWindow;
                let actions = self.gates[gate].submit(slot_request);
                self.execute_gate_actions(gate, request, actions);
            }
            Message::Report { home, request, report } if home == self.home_incarnation => {
                self.report(request, report);
            }
            Message::Report { .. } => {}
        }
    }

    fn execute_gate_actions(&mut self, gate: usize, request: RequestId, actions: Vec<GateAction>) {
        let home = self.home_incarnation;
        for action in actions {
            match action {
                GateAction::Start { attempt, .. } => {
                    self.runs += 1;
                    self.running.push((gate, attempt, request, home));
                }
                GateAction::Refuse { reason, load, .. } => {
                    let report = AttemptReport::Refused(reason, Some(load));
                    self.messages.push((Message::Report { home, request, report }, 0));
                }
                GateAction::Abandon { .. }
                | GateAction::Publish
                | GateAction::ReportEarlierStart { .. }
                | GateAction::ReportGray { .. }
                | GateAction::ReportIdle(_)
                | GateAction::ReportLeaving { .. }
                | GateAction::ReportOutdated { .. }
                | GateAction::ReportRateLimit { .. }
                | GateAction::StoreLifetimes(_) => {}
            }
        }
    }

    fn finish_run(&mut self, index: usize) {
        let (gate, attempt, request, home) = self.running.remove(index);
        self.gates[gate].finish(attempt, RunResult::Success);
        let answer = Arc::new(StoredAnswer { status: 200, headers: vec![], body: "1".into() });
        let load = Some(Load::default());
        let report = AttemptReport::Answered { status: 200, load, answer: Some(answer) };
        self.messages.push((Message::Report { home, request, report }, 0));
    }

    fn violation(&self) -> Option<&'static str> {
        if self.runs > 1 {
            return Some("ran twice");
        }
        let reported_not_run = self.outcomes.contains(&Outcome::NotRun);
        if reported_not_run && self.runs > 0 {
            return Some("reported not-run, but it ran");
        }
        let reported_ran = self.outcomes.contains(&Outcome::Ran);
        (reported_ran && self.runs == 0).then_some("reported ran, but it did not run")
    }

    fn state_hash(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        let state = (
            format!("{:?}", self.home),
            format!("{:?}", self.gates),
            format!("{:?}", self.messages),
            format!("{:?}{:?}{:?}", self.running, self.pending, self.outcomes),
            (self.runs, self.crashes, self.refusing, self.home_incarnation),
        );
        state.hash(&mut hasher);
        hasher.finish()
    }
}

struct Exploration {
    states: usize,
    outcomes: HashSet<Outcome>,
    violation: Option<(Vec<Step>, &'static str)>,
}

/// Visits all states up to a depth, breadth first.
fn explore(omitted: OmittedRule, depth: usize) -> Exploration {
    let mut seen = HashSet::new();
    let mut exploration = Exploration { states: 0, outcomes: HashSet::new(), violation: None };
    let mut level: Vec<Vec<Step>> = vec![Vec::new()];
    for _ in 0..=depth {
        let mut next = Vec::new();
        for path in level {
            let mut model = Model::new(omitted);
            path.iter().for_each(|step| model.apply(*step));
            if !seen.insert(model.state_hash()) {
                continue;
            }
            exploration.states += 1;
            exploration.outcomes.extend(model.outcomes.iter().copied());
            if let Some(violation) = model.violation() {
                exploration.violation = Some((path, violation));
                return exploration;
            }
            next.extend(model.steps().into_iter().map(|step| [path.as_slice(), &[step]].concat()));
        }
        level = next;
    }
    exploration
}

#[test]
fn no_order_of_events_runs_a_ticket_twice_or_reports_a_wrong_outcome() {
    const DEPTH: usize = 8;
    let exploration = explore(OmittedRule::None, DEPTH);
    println!("{} states to depth {DEPTH}", exploration.states);
    assert_eq!(exploration.violation, None);
    for outcome in [Outcome::Ran, Outcome::NotRun, Outcome::Unknown] {
        assert!(exploration.outcomes.contains(&outcome), "{outcome:?} was never reported");
    }
}

#[test]
fn the_model_detects_each_omitted_rule() {
    let rules = [
        OmittedRule::TicketRevocation,
        OmittedRule::ReplayWindow,
        OmittedRule::GateIncarnation,
        OmittedRule::HomeIncarnation,
    ];
    for omitted in rules {
        let exploration = explore(omitted, 6);
        let (path, violation) =
            exploration.violation.unwrap_or_else(|| panic!("{omitted:?} was not found"));
        println!("{omitted:?}: {violation} after {path:?}");
    }
}
