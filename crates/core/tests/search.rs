//! Searches for a gate that find none, and go on after a pause where that may help.

mod support;

use std::sync::Arc;
use std::time::Duration;

use lavenderflow_core::clock::{ManualClock, SharedClock};
use lavenderflow_core::entry::Entry;
use lavenderflow_core::id::RequestId;
use lavenderflow_core::load::{Condition, Load};
use lavenderflow_core::reason::{Outcome, Reason};
use lavenderflow_core::request::{Arrival, AttemptReport, EntryAction};
use lavenderflow_core::route::{Idempotency, Route, Router};
use support::{arrival, clock, entry, first_dispatch, member, service, service_offer};

const REQUEST: RequestId = 1;

/// Creates an entry with a route that limits attempts, and `gates` gates.
fn entry_with_gates(clock: &Arc<ManualClock>, gates: u64) -> Entry {
    let mut entry = entry(100, 1, &(Arc::clone(clock) as SharedClock), 1);
    let mut router = Router::default();
    router.insert(Route {
        prefix: "/".to_owned(),
        service: service(),
        idempotency: Idempotency::ByMethod,
        attempts: Some(2),
        timeout: Some(Duration::from_secs(4)),
        ..Route::default()
    });
    entry.set_router(router);
    for node in 1..=gates {
        entry.set_node(&member(node, node, vec![service_offer(4, Condition::Healthy, 0.0)]), false);
    }
    entry
}

fn post(timeout: Duration) -> Arrival {
    Arrival { timeout: Some(timeout), ..arrival(REQUEST, "POST", None) }
}

/// Reports a refusal of each dispatch until the entry does something else; returns what it does.
fn refuse_all(entry: &mut Entry, mut actions: Vec<EntryAction>, reason: Reason) -> EntryAction {
    let load = Load { gray_probability: 0.9, ..Load::default() };
    while first_dispatch(&actions).is_some() {
        actions = entry.report(REQUEST, AttemptReport::Refused(reason, Some(load)));
    }
    actions.remove(0)
}

#[test]
fn a_request_waits_for_upstreams_that_may_be_gray() {
    let clock = clock();
    let mut entry = entry_with_gates(&clock, 3);
    let actions = entry.begin(post(Duration::from_secs(4)));
    let paused = refuse_all(&mut entry, actions, Reason::Doubtful);
    let EntryAction::Pause { time, .. } = paused else { panic!("{paused:?}") };
    assert!(time < Duration::from_millis(500), "{time:?}");
    clock.advance(time);
    let actions = entry.report(REQUEST, AttemptReport::Resumed);
    assert!(first_dispatch(&actions).is_some(), "{actions:?}");
    entry.report(REQUEST, AttemptReport::Admitted(Load::default()));
    assert_eq!(entry.in_flight(), 1);
}

#[test]
fn a_request_is_refused_after_a_few_searches_and_has_not_run() {
    let clock = clock();
    let mut entry = entry_with_gates(&clock, 3);
    let mut actions = entry.begin(post(Duration::from_secs(4)));
    let mut waited = Duration::ZERO;
    let conclusion = loop {
        match refuse_all(&mut entry, actions, Reason::Doubtful) {
            EntryAction::Pause { time, .. } => {
                waited += time;
                clock.advance(time);
                actions = entry.report(REQUEST, AttemptReport::Resumed);
            }
            EntryAction::Conclude { conclusion, .. } => break conclusion,
            other => panic!("{other:?}"),
        }
    };
    assert_eq!((conclusion.outcome, conclusion.reason), (Outcome::NotRun, Reason::Doubtful));
    // A quarter of the time that the caller waits.
    assert!(waited <= Duration::from_secs(1), "{waited:?}");
    assert_eq!(entry.in_flight(), 0);
}

#[test]
fn full_gates_and_short_deadlines_are_refused_at_once() {
    for (reason, timeout) in [(Reason::QueueFull, 4000), (Reason::Doubtful, 300)] {
        let clock = clock();
        let mut entry = entry_with_gates(&clock, 3);
        let actions = entry.begin(post(Duration::from_millis(timeout)));
        let ended = refuse_all(&mut entry, actions, reason);
        assert!(matches!(ended, EntryAction::Conclude { .. }), "{reason:?}: {ended:?}");
    }
}

#[test]
fn requests_that_arrive_during_a_stop_are_answered_before_its_end() {
    let clock = clock();
    let mut entry = entry_with_gates(&clock, 1);
    let end = lavenderflow_core::clock::Clock::now(clock.as_ref()) + Duration::from_secs(3);
    entry.limit_deadlines(end);
    clock.advance(Duration::from_secs(1));
    let actions = entry.begin(post(Duration::from_secs(4)));
    let (.., spec) = first_dispatch(&actions).expect("an attempt");
    assert_eq!(spec.remaining, Duration::from_secs(2));
    // Past the end nothing is dispatched.
    clock.advance(Duration::from_secs(2));
    let late = Arrival { request: 2, ..post(Duration::from_secs(4)) };
    let actions = entry.begin(late);
    let [EntryAction::Conclude { conclusion, .. }] = actions.as_slice() else {
        panic!("{actions:?}")
    };
    assert_eq!(conclusion.outcome, Outcome::NotRun);
}
