//! What an entry decides when a gate that may be at work has sent nothing for a while.

mod support;

use std::sync::Arc;
use std::time::Duration;

use lavenderflow_core::clock::{ManualClock, SharedClock};
use lavenderflow_core::entry::Entry;
use lavenderflow_core::id::{AttemptId, NodeId, RequestId};
use lavenderflow_core::load::{Condition, Load};
use lavenderflow_core::profile::{Forgiveness, Profile};
use lavenderflow_core::reason::{Outcome, Reason};
use lavenderflow_core::request::{AttemptReport, Conclusion, EntryAction};
use lavenderflow_core::route::{Idempotency, Route, Router};
use lavenderflow_core::ticket::StoredAnswer;
use support::{arrival, clock, entry, member, service, service_offer};

/// Returns an entry with three gates that sends a request to at most `attempts` of them.
fn limited_entry(attempts: u32) -> (Entry, Arc<ManualClock>) {
    let clock = clock();
    let shared: SharedClock = clock.clone();
    let mut entry = entry(1, 10, &shared, 3);
    let forgiveness = Forgiveness { attempts, ..Profile::default().forgiveness };
    entry.set_profile(&service(), Profile { forgiveness, ..Profile::default() });
    for node in 2..5 {
        entry.set_node(&member(node, node, vec![service_offer(4, Condition::Healthy, 0.0)]), false);
    }
    (entry, clock)
}

fn full() -> AttemptReport {
    AttemptReport::Refused(Reason::QueueFull, Some(Load::default()))
}

fn answered(status: u16) -> AttemptReport {
    let answer = StoredAnswer { status, headers: vec![], body: "a".into() };
    AttemptReport::Answered { status, load: None, answer: Some(Arc::new(answer)) }
}

fn awaits(actions: &[EntryAction], request: RequestId) -> bool {
    actions == [EntryAction::Await { request }]
}

/// Returns why the request is sent again, and to which gate.
fn dispatch(actions: &[EntryAction]) -> Option<(Option<Reason>, NodeId)> {
    actions.iter().find_map(|action| match action {
        EntryAction::Dispatch { retry_reason, gate, .. } => Some((*retry_reason, *gate)),
        _ => None,
    })
}

fn conclusion(actions: &[EntryAction]) -> Option<&Conclusion> {
    actions.iter().find_map(|action| match action {
        EntryAction::Conclude { conclusion, .. } => Some(conclusion),
        _ => None,
    })
}

/// Returns the attempt that is sent.
fn attempt(actions: &[EntryAction]) -> AttemptId {
    let attempts = actions.iter().find_map(|action| match action {
        EntryAction::Dispatch { attempt, .. } => Some(*attempt),
        _ => None,
    });
    attempts.expect("an attempt")
}

fn earlier(attempt: AttemptId, report: AttemptReport) -> AttemptReport {
    AttemptReport::Earlier(attempt, Box::new(report))
}

fn is_relayed(actions: &[EntryAction]) -> bool {
    actions.iter().any(|action| matches!(action, EntryAction::Relay { .. }))
}

/// Guards against an outcome that is decided while an attempt goes on, or that does not follow from
/// the ends of all attempts.
#[test]
fn the_outcome_follows_from_the_ends_of_all_attempts() {
    type Case = (AttemptReport, Option<(Outcome, Reason)>);
    let cases: [Case; 6] = [
        (full(), Some((Outcome::NotRun, Reason::QueueFull))),
        (AttemptReport::Unreachable, Some((Outcome::NotRun, Reason::Unreachable))),
        (
            AttemptReport::Refused(Reason::Duplicate, None),
            Some((Outcome::Unknown, Reason::Duplicate)),
        ),
        (AttemptReport::Lost(Reason::Lost), Some((Outcome::Unknown, Reason::Lost))),
        (answered(200), None),
        (answered(500), None),
    ];
    for (late, expected) in cases {
        let (mut entry, _) = limited_entry(3);
        let actions = entry.begin(arrival(1, "GET", None));
        let (silent, gate) = (attempt(&actions), dispatch(&actions).expect("an attempt").1);
        let actions = entry.report(1, AttemptReport::Silent);
        let (reason, other) = dispatch(&actions).expect("a retry");
        assert_eq!(reason, Some(Reason::Lost));
        assert_ne!(other, gate);
        entry.report(1, full());
        // The silent gate may have run it.
        assert!(awaits(&entry.report(1, full()), 1));
        let actions = entry.report(1, earlier(silent, late.clone()));
        let ended = conclusion(&actions).map(|ended| (ended.outcome, ended.reason));
        assert_eq!(ended, expected, "{late:?}");
        assert_eq!(is_relayed(&actions), expected.is_none(), "{late:?}");
        assert_eq!(entry.in_flight(), 0, "{late:?}");
    }
}

/// Guards against a run that is given up because an earlier attempt has ended.
#[test]
fn the_end_of_an_earlier_attempt_leaves_a_running_one_alone() {
    let ends = [full(), AttemptReport::Lost(Reason::Lost), answered(500)];
    for end in ends {
        let (mut entry, _) = limited_entry(3);
        let silent = attempt(&entry.begin(arrival(1, "GET", None)));
        entry.report(1, AttemptReport::Silent);
        entry.report(1, AttemptReport::Admitted(Load::default()));
        assert_eq!(entry.report(1, earlier(silent, end.clone())), [], "{end:?}");
        assert!(is_relayed(&entry.report(1, answered(200))), "{end:?}");
        assert_eq!(entry.in_flight(), 0, "{end:?}");
    }
}

/// Guards against a load that is taken for that of the gate that was asked last.
#[test]
fn a_late_response_is_credited_to_its_gate() {
    let (mut entry, _) = limited_entry(3);
    let actions = entry.begin(arrival(1, "GET", None));
    let (silent, gate) = (attempt(&actions), dispatch(&actions).expect("an attempt").1);
    let (_, other) = dispatch(&entry.report(1, AttemptReport::Silent)).expect("a retry");
    entry.report(1, AttemptReport::Admitted(Load { busy: 2, ..Load::default() }));
    let late = AttemptReport::Answered {
        status: 200,
        load: Some(Load { busy: 3, ..Load::default() }),
        answer: None,
    };
    assert!(is_relayed(&entry.report(1, earlier(silent, late))));
    let load = Some(Load { busy: 4, ..Load::default() });
    entry.report(1, AttemptReport::Completed { load, bytes: 100_000 });
    let busy = |node| {
        let mut gates = entry.selector().pools().flat_map(|(_, pool)| pool.gates());
        gates.find(|(view, _)| view.node == node).map(|(view, _)| view.load.busy)
    };
    assert_eq!((busy(gate), busy(other)), (Some(4), Some(2)));
    assert_eq!(entry.in_flight(), 0);
}

/// Guards against a request that is given up because no retry is left.
#[test]
fn without_a_retry_a_silent_attempt_is_awaited() {
    type Case = (AttemptReport, Option<(Outcome, Reason)>);
    let cases: [Case; 5] = [
        (answered(200), None),
        (answered(500), None),
        (full(), Some((Outcome::NotRun, Reason::QueueFull))),
        (AttemptReport::Lost(Reason::Lost), Some((Outcome::Unknown, Reason::Lost))),
        (AttemptReport::Lost(Reason::DeadlinePast), Some((Outcome::Unknown, Reason::DeadlinePast))),
    ];
    for (report, expected) in cases {
        let (mut entry, _) = limited_entry(1);
        entry.begin(arrival(1, "GET", None));
        assert!(awaits(&entry.report(1, AttemptReport::Silent), 1));
        assert_eq!(entry.in_flight(), 1);
        let actions = entry.report(1, report.clone());
        let ended = conclusion(&actions).map(|ended| (ended.outcome, ended.reason));
        assert_eq!(ended, expected, "{report:?}");
        let is_relayed = actions.iter().any(|a| matches!(a, EntryAction::Relay { .. }));
        assert_eq!(is_relayed, expected.is_none(), "{report:?}");
        assert_eq!(entry.in_flight(), 0, "{report:?}");
    }
}

/// Guards against a retry budget that silent attempts exceed.
#[test]
fn retries_of_silent_attempts_take_from_the_budget() {
    let (mut entry, _) = limited_entry(3);
    let mut retries = 0;
    for request in 1..=100 {
        entry.begin(arrival(request, "GET", None));
        let actions = entry.report(request, AttemptReport::Silent);
        if dispatch(&actions).is_some() {
            retries += 1;
        } else {
            assert!(awaits(&actions, request));
        }
        entry.report(request, answered(200));
    }
    // Ten that are allowed before the first request, and a share of a tenth.
    assert!((10..=30).contains(&retries), "{retries}");
}

/// Guards against requests that go on to a gate whose path is partitioned.
#[test]
fn a_silent_gate_is_avoided() {
    let (mut entry, clock) = limited_entry(1);
    let mut chosen = [0; 5];
    for request in 1..=600 {
        clock.advance(Duration::from_millis(10));
        entry.refresh_pools();
        let (_, gate) = dispatch(&entry.begin(arrival(request, "GET", None))).expect("an attempt");
        if gate == 2 {
            entry.report(request, AttemptReport::Silent);
            entry.report(request, AttemptReport::Lost(Reason::DeadlinePast));
        } else {
            entry.report(request, AttemptReport::Admitted(Load::default()));
            entry.report(request, answered(200));
        }
        chosen[gate as usize] += 1;
    }
    assert!(chosen[2] < 60, "{chosen:?}");
}

/// Guards against more runs than the route allows: a silent attempt that is awaited may run.
#[test]
fn an_awaited_attempt_counts_as_received_by_an_upstream() {
    let (mut entry, _) = limited_entry(2);
    entry.begin(arrival(1, "GET", None));
    entry.report(1, full());
    assert!(awaits(&entry.report(1, AttemptReport::Silent), 1));
    let actions = entry.report(1, answered(500));
    assert!(dispatch(&actions).is_none(), "{actions:?}");
}

/// Returns an entry with ten gates whose route allows so many upstreams.
fn route_limited_entry(upstreams: u32) -> Entry {
    let shared: SharedClock = clock();
    let mut entry = entry(1, 10, &shared, 3);
    let mut router = Router::default();
    router.insert(Route {
        prefix: "/".to_owned(),
        service: service(),
        idempotency: Idempotency::ByMethod,
        attempts: Some(upstreams),
        ..Route::default()
    });
    entry.set_router(router);
    for node in 2..12 {
        entry.set_node(&member(node, node, vec![service_offer(4, Condition::Healthy, 0.0)]), false);
    }
    entry
}

fn may_run_on_arrival(actions: &[EntryAction]) -> Option<bool> {
    actions.iter().find_map(|action| match action {
        EntryAction::Dispatch { spec, .. } => Some(spec.retryable),
        _ => None,
    })
}

/// Guards against more runs than the route allows: silent attempts go on beside their retries.
#[test]
fn silent_attempts_that_go_on_stay_within_the_upstream_limit() {
    let mut entry = route_limited_entry(2);
    let actions = entry.begin(arrival(1, "GET", None));
    assert_eq!(may_run_on_arrival(&actions), Some(true));
    let actions = entry.report(1, AttemptReport::Silent);
    // The last upstream gets the request only once it has been admitted.
    assert_eq!(may_run_on_arrival(&actions), Some(false));
}

/// Returns an entry that awaits a silent attempt of request 1 for want of budget, which later
/// requests have earned again.
fn awaiting_entry() -> (Entry, AttemptId) {
    let mut entry = route_limited_entry(3);
    let silent = attempt(&entry.begin(arrival(1, "GET", None)));
    let mut other = 100;
    // Others use up the budget.
    let actions = loop {
        other += 1;
        entry.begin(arrival(other, "GET", None));
        let actions = entry.report(other, AttemptReport::Silent);
        if awaits(&actions, other) {
            break entry.report(1, AttemptReport::Silent);
        }
    };
    assert!(awaits(&actions, 1), "{actions:?}");
    for _ in 0..100 {
        other += 1;
        entry.begin(arrival(other, "GET", None));
        entry.report(other, AttemptReport::Admitted(Load::default()));
        entry.report(other, answered(200));
    }
    (entry, silent)
}

/// Guards against a stuck attempt that is not replaced because it was silent before.
#[test]
fn a_silent_attempt_that_is_stuck_is_replaced() {
    let (mut entry, silent) = awaiting_entry();
    let stuck = || earlier(silent, AttemptReport::Lost(Reason::Stuck));
    let actions = entry.report(1, stuck());
    assert_eq!(dispatch(&actions).and_then(|(reason, _)| reason), Some(Reason::Stuck));
    entry.report(1, AttemptReport::Admitted(Load::default()));
    assert!(is_relayed(&entry.report(1, earlier(silent, answered(200)))));
}

/// Guards against a refusal that takes back the count of an attempt that ran before it.
#[test]
fn a_later_refusal_does_not_uncount_an_awaited_run() {
    let (mut entry, _) = awaiting_entry();
    let mut runs = 1;
    let mut actions = entry.report(1, answered(500));
    assert!(dispatch(&actions).is_some(), "{actions:?}");
    actions = entry.report(1, full());
    while dispatch(&actions).is_some() {
        entry.report(1, AttemptReport::Admitted(Load::default()));
        runs += 1;
        actions = entry.report(1, answered(500));
    }
    assert!(runs <= 3, "{runs}");
}

/// Guards against a request that runs on more upstreams than its route allows, since the links to the
/// first ones were lost before their gates sent anything.
#[test]
fn an_attempt_that_was_lost_unheard_counts_against_the_limit_of_upstreams() {
    let mut entry = route_limited_entry(2);
    entry.begin(arrival(1, "GET", None));
    assert!(dispatch(&entry.report(1, AttemptReport::Lost(Reason::Lost))).is_some());
    let actions = entry.report(1, AttemptReport::Lost(Reason::Lost));
    assert_eq!(dispatch(&actions), None);
    assert_eq!(conclusion(&actions).map(|ended| ended.outcome), Some(Outcome::Unknown));
}
