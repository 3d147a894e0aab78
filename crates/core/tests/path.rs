//! Takes a request through the decisions of the entry and the gate, without codecs and sockets.

mod support;

use std::sync::Arc;

use lavenderflow_core::clock::SharedClock;
use lavenderflow_core::gate::{GateAction, RunResult};
use lavenderflow_core::load::Condition;
use lavenderflow_core::request::{AttemptReport, EntryAction};
use lavenderflow_core::ticket::StoredAnswer;
use support::{
    arrival, clock, entry, first_dispatch, gate, member, service, service_offer, slot_request,
};

#[test]
fn a_request_is_dispatched_admitted_run_and_relayed() {
    let clock = clock();
    let shared: SharedClock = clock.clone();
    let mut gate = gate(20, &clock, 4);
    let mut entry = entry(1, 10, &shared, 1);
    entry.set_node(&member(2, 20, vec![service_offer(4, Condition::Healthy, 0.0)]), false);

    let (attempt, node, incarnation, spec) =
        first_dispatch(&entry.begin(arrival(1, "POST", None))).expect("a dispatch");
    assert_eq!((node, incarnation), (2, 20));
    let actions = gate.submit(slot_request(attempt, incarnation, &spec));
    let [GateAction::Start { load, .. }] = actions.as_slice() else { panic!("{actions:?}") };
    assert_eq!(load.busy, 1);
    assert_eq!(entry.report(1, AttemptReport::Admitted(*load)), []);

    gate.response_started(attempt);
    let (load, _) = gate.finish(attempt, RunResult::Success);
    assert_eq!(load.busy, 0);
    let answer = Arc::new(StoredAnswer { status: 200, headers: vec![], body: "17".into() });
    let report =
        AttemptReport::Answered { status: 200, load: Some(load), answer: Some(answer.clone()) };
    let actions = entry.report(1, report);
    let [EntryAction::Relay { request: 1, ticket: Some(ticket) }] = actions.as_slice() else {
        panic!("{actions:?}")
    };

    let duplicate = entry.begin(arrival(2, "POST", Some(*ticket)));
    let [EntryAction::Conclude { conclusion, .. }] = duplicate.as_slice() else {
        panic!("{duplicate:?}")
    };
    assert_eq!(conclusion.answer, Some(answer));
    assert_eq!(entry.in_flight(), 0);
    assert_eq!(gate.load(&service()).busy, 0);
}
