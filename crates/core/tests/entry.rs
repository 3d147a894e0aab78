//! Outcomes that the entry reports to callers, depending on the results of the attempts.

mod support;

use std::sync::Arc;
use std::time::Duration;

use lavenderflow_core::clock::{Clock, ManualClock, SharedClock};
use lavenderflow_core::entry::Entry;
use lavenderflow_core::id::TicketId;
use lavenderflow_core::load::{Condition, Load};
use lavenderflow_core::organisation::Organisation;
use lavenderflow_core::reason::{Outcome, Reason};
use lavenderflow_core::request::{Arrival, AttemptReport, Conclusion, EntryAction};
use lavenderflow_core::route::Route;
use lavenderflow_core::ticket::StoredAnswer;
use support::{arrival, clock, entry, first_dispatch, member, service, service_offer};

fn entry_with_gates(gates: u64) -> (Entry, Arc<ManualClock>) {
    let clock = clock();
    let shared: SharedClock = clock.clone();
    let mut entry = entry(1, 10, &shared, 3);
    for node in 2..2 + gates {
        entry.set_node(&member(node, node, vec![service_offer(4, Condition::Healthy, 0.0)]), false);
    }
    (entry, clock)
}

fn answered(status: u16) -> AttemptReport {
    let answer = StoredAnswer { status, headers: vec![], body: "a".into() };
    AttemptReport::Answered { status, load: None, answer: Some(Arc::new(answer)) }
}

/// Begins a request and passes the reports to the entry in order. Returns the number of attempts
/// and the last actions.
fn run_attempts(
    entry: &mut Entry,
    arrival: Arrival,
    reports: &[AttemptReport],
) -> (usize, Vec<EntryAction>) {
    let request = arrival.request;
    let mut actions = entry.begin(arrival);
    let mut attempts = 0;
    for report in reports {
        if first_dispatch(&actions).is_some() {
            attempts += 1;
        }
        actions = entry.report(request, report.clone());
    }
    (attempts, actions)
}

fn first_conclusion(actions: &[EntryAction]) -> Option<&Conclusion> {
    actions.iter().find_map(|action| match action {
        EntryAction::Conclude { conclusion, .. } => Some(conclusion),
        _ => None,
    })
}

#[test]
fn attempt_reports_determine_the_outcome() {
    let full = || AttemptReport::Refused(Reason::QueueFull, Some(Load::default()));
    let lost = || AttemptReport::Lost(Reason::Lost);
    // Method, reports, attempts, and the outcome and reason, or `None` if a response is relayed.
    type Case = (&'static str, Vec<AttemptReport>, usize, Option<(Outcome, Reason)>);
    let cases: Vec<Case> = vec![
        ("GET", vec![answered(200)], 1, None),
        ("POST", vec![answered(200)], 1, None),
        ("POST", vec![answered(500)], 1, None),
        ("GET", vec![answered(500), answered(200)], 2, None),
        ("GET", vec![lost(), answered(200)], 2, None),
        ("POST", vec![lost()], 1, Some((Outcome::Unknown, Reason::Lost))),
        ("POST", vec![full(), answered(200)], 2, None),
        ("POST", vec![full(), lost()], 2, Some((Outcome::Unknown, Reason::Lost))),
        ("POST", vec![full(), full(), full()], 3, Some((Outcome::NotRun, Reason::QueueFull))),
        ("GET", vec![full(), full(), full()], 3, Some((Outcome::NotRun, Reason::QueueFull))),
        ("POST", vec![AttemptReport::Unreachable, answered(200)], 2, None),
        (
            "POST",
            vec![AttemptReport::Refused(Reason::Duplicate, None)],
            1,
            Some((Outcome::Unknown, Reason::Duplicate)),
        ),
        (
            "POST",
            vec![AttemptReport::Refused(Reason::Outdated, None)],
            1,
            Some((Outcome::Unknown, Reason::Outdated)),
        ),
        (
            "POST",
            vec![AttemptReport::Lost(Reason::DeadlinePast)],
            1,
            Some((Outcome::Unknown, Reason::DeadlinePast)),
        ),
        ("POST", vec![AttemptReport::CallerGone], 1, Some((Outcome::Unknown, Reason::CallerGone))),
    ];
    for (method, reports, attempts, expected) in cases {
        let (mut entry, _) = entry_with_gates(5);
        let (made, actions) = run_attempts(&mut entry, arrival(1, method, None), &reports);
        assert_eq!(made, attempts, "{method} {reports:?}");
        let conclusion = first_conclusion(&actions).map(|c| (c.outcome, c.reason));
        assert_eq!(conclusion, expected, "{method} {reports:?}");
        let relayed = actions.iter().any(|a| matches!(a, EntryAction::Relay { .. }));
        assert_eq!(relayed, expected.is_none(), "{method} {reports:?}");
        assert_eq!(entry.in_flight(), 0, "{method} {reports:?}");
    }
}

#[test]
fn a_refused_ticket_is_revoked_and_the_caller_gets_a_new_one() {
    let (mut entry, _) = entry_with_gates(0);
    let ticket = entry.issue_ticket().expect("a ticket");
    let actions = entry.begin(arrival(1, "POST", Some(ticket)));
    let conclusion = first_conclusion(&actions).expect("a conclusion");
    assert_eq!((conclusion.outcome, conclusion.reason), (Outcome::NotRun, Reason::NoGate));
    let new_ticket = conclusion.new_ticket.expect("a new ticket");
    assert_ne!(new_ticket, ticket);
    entry.set_node(&member(2, 2, vec![service_offer(4, Condition::Healthy, 0.0)]), false);
    let actions = entry.begin(arrival(2, "POST", Some(ticket)));
    let conclusion = first_conclusion(&actions).expect("a conclusion");
    assert_eq!((conclusion.outcome, conclusion.reason), (Outcome::NotRun, Reason::TicketRefused));
    assert!(first_dispatch(&entry.begin(arrival(3, "POST", Some(new_ticket)))).is_some());
}

#[test]
fn a_ticket_is_revoked_also_without_a_route() {
    let (mut entry, _) = entry_with_gates(3);
    let ticket = entry.issue_ticket().expect("a ticket");
    entry.set_router(lavenderflow_core::route::Router::default());
    let actions = entry.begin(arrival(1, "POST", Some(ticket)));
    assert_eq!(first_conclusion(&actions).map(|c| c.reason), Some(Reason::NoRoute));
    entry.set_router(support::router());
    let actions = entry.begin(arrival(2, "POST", Some(ticket)));
    assert_eq!(first_conclusion(&actions).map(|c| c.reason), Some(Reason::TicketRefused));
}

#[test]
fn duplicate_requests_wait_for_the_same_answer() {
    let (mut entry, _) = entry_with_gates(3);
    let ticket = entry.issue_ticket().expect("a ticket");
    assert!(first_dispatch(&entry.begin(arrival(1, "POST", Some(ticket)))).is_some());
    let actions = entry.begin(arrival(2, "POST", Some(ticket)));
    assert!(matches!(actions.as_slice(), [EntryAction::Wait { request: 2, .. }]));
    let actions = entry.report(1, answered(201));
    let conclusion = first_conclusion(&actions).expect("a conclusion of the duplicate");
    assert_eq!(conclusion.answer.as_ref().map(|answer| answer.status), Some(201));
    assert_eq!(entry.in_flight(), 0);
}

#[test]
fn another_request_under_the_same_ticket_is_refused() {
    let (mut entry, _) = entry_with_gates(3);
    let ticket = entry.issue_ticket().expect("a ticket");
    entry.begin(arrival(1, "POST", Some(ticket)));
    let other = Arrival { fingerprint: 8, ..arrival(2, "POST", Some(ticket)) };
    let actions = entry.begin(other);
    assert_eq!(first_conclusion(&actions).map(|c| c.reason), Some(Reason::TicketMismatch));
}

#[test]
fn tickets_of_other_nodes_go_to_their_home_or_are_unknown() {
    let (mut entry, _) = entry_with_gates(3);
    let known = TicketId { home: 3, incarnation: 3, serial: 1 };
    let actions = entry.begin(arrival(1, "POST", Some(known)));
    assert!(matches!(actions.as_slice(), [EntryAction::Forward { home: 3, .. }]));
    let actions = entry.report(1, AttemptReport::Lost(Reason::Lost));
    assert_eq!(first_conclusion(&actions).map(|c| c.outcome), Some(Outcome::Unknown));
    let unknown = TicketId { home: 99, ..known };
    let actions = entry.begin(arrival(2, "POST", Some(unknown)));
    assert_eq!(first_conclusion(&actions).map(|c| c.outcome), Some(Outcome::Unknown));
    let earlier = TicketId { home: 1, incarnation: 9, serial: 1 };
    let actions = entry.begin(arrival(3, "POST", Some(earlier)));
    assert_eq!(first_conclusion(&actions).map(|c| c.reason), Some(Reason::TicketExpired));
}

#[test]
fn an_old_ticket_expires_and_never_runs() {
    let (mut entry, clock) = entry_with_gates(3);
    let ticket = entry.issue_ticket().expect("a ticket");
    clock.advance(Duration::from_secs(700));
    entry.tick();
    let actions = entry.begin(arrival(1, "POST", Some(ticket)));
    let conclusion = first_conclusion(&actions).expect("a conclusion");
    assert_eq!((conclusion.outcome, conclusion.reason), (Outcome::Unknown, Reason::TicketExpired));
}

#[test]
fn the_retry_budget_prevents_a_retry_storm() {
    let (mut entry, _) = entry_with_gates(9);
    let mut attempts = 0;
    for request in 1..=1000 {
        let mut actions = entry.begin(arrival(request, "GET", None));
        while first_dispatch(&actions).is_some() {
            attempts += 1;
            actions = entry.report(request, AttemptReport::Refused(Reason::QueueFull, None));
        }
    }
    // A tenth of the requests may be retried, and 10 retries are allowed before the first request.
    assert!(attempts <= 1000 + 100 + 10, "{attempts} attempts");
}

#[test]
fn a_streamed_body_is_not_sent_again_after_admission() {
    let (mut entry, _) = entry_with_gates(5);
    let upload = Arrival { body_buffered: false, body_length: None, ..arrival(1, "PUT", None) };
    let refused = AttemptReport::Refused(Reason::QueueFull, None);
    let (attempts, actions) = run_attempts(&mut entry, upload.clone(), &[refused, answered(200)]);
    assert_eq!((attempts, first_conclusion(&actions)), (2, None), "nothing had been sent yet");
    let admitted = AttemptReport::Admitted(Load::default());
    let lost = AttemptReport::Lost(Reason::Lost);
    let second = Arrival { request: 2, ..upload };
    let (_, actions) = run_attempts(&mut entry, second, &[admitted, lost]);
    assert_eq!(first_conclusion(&actions).map(|c| c.outcome), Some(Outcome::Unknown));
}

#[test]
fn a_draining_entry_refuses_new_requests_and_reports_earlier_outcomes() {
    let (mut entry, _) = entry_with_gates(3);
    let (done, unused) =
        (entry.issue_ticket().expect("a ticket"), entry.issue_ticket().expect("a ticket"));
    run_attempts(&mut entry, arrival(1, "POST", Some(done)), &[answered(200)]);
    entry.drain();
    let actions = entry.begin(arrival(2, "POST", Some(done)));
    assert_eq!(first_conclusion(&actions).map(|c| c.outcome), Some(Outcome::Ran));
    for (request, ticket) in [(3, Some(unused)), (4, None)] {
        let actions = entry.begin(arrival(request, "POST", ticket));
        let conclusion = first_conclusion(&actions).expect("a conclusion");
        assert_eq!((conclusion.outcome, conclusion.reason), (Outcome::NotRun, Reason::Leaving));
    }
}

#[test]
fn an_organisation_over_its_limit_is_refused() {
    let (mut entry, _) = entry_with_gates(3);
    entry.set_organisation(Organisation {
        name: "one".into(),
        concurrency: Some(2),
        ..Organisation::default()
    });
    let from =
        |request| Arrival { organisation: Some("one".into()), ..arrival(request, "GET", None) };
    assert!(first_dispatch(&entry.begin(from(1))).is_some());
    assert!(first_dispatch(&entry.begin(from(2))).is_some());
    let actions = entry.begin(from(3));
    assert_eq!(first_conclusion(&actions).map(|c| c.reason), Some(Reason::OrganisationLimit));
    entry.report(1, answered(200));
    assert!(first_dispatch(&entry.begin(from(4))).is_some());
}

/// Returns an entry with a route that limits the attempts.
fn entry_with_attempt_limit(gates: u64) -> Entry {
    use lavenderflow_core::route::{Idempotency, Route, Router};
    let (mut entry, _) = entry_with_gates(gates);
    let mut router = Router::default();
    router.insert(Route {
        prefix: "/".to_owned(),
        service: service(),
        idempotency: Idempotency::ByMethod,
        attempts: Some(2),
        ..Route::default()
    });
    entry.set_router(router);
    entry
}

#[test]
fn the_only_gate_is_retried_with_a_higher_gray_tolerance() {
    let doubtful = || AttemptReport::Refused(Reason::Doubtful, Some(Load::default()));
    let mut entry = entry_with_attempt_limit(1);
    let actions = entry.begin(arrival(1, "POST", None));
    let (_, _, _, first) = first_dispatch(&actions).expect("a first attempt");
    let actions = entry.report(1, doubtful());
    let (_, _, _, second) = first_dispatch(&actions).expect("a second attempt");
    assert!(second.gray_tolerance > first.gray_tolerance, "{first:?} {second:?}");
    let actions = entry.report(1, doubtful());
    let (_, _, _, third) = first_dispatch(&actions).expect("a last attempt");
    assert!(third.gray_tolerance > second.gray_tolerance, "{second:?} {third:?}");
    let mut actions = entry.report(1, doubtful());
    // The numbers of attempts in a search and of searches are bounded.
    for _ in 0..4 {
        for _ in 0..6 {
            if first_dispatch(&actions).is_some() {
                actions = entry.report(1, doubtful());
            }
        }
        if matches!(actions.as_slice(), [EntryAction::Pause { .. }]) {
            actions = entry.report(1, AttemptReport::Resumed);
        }
    }
    let conclusion = first_conclusion(&actions).expect("a conclusion");
    assert_eq!((conclusion.outcome, conclusion.reason), (Outcome::NotRun, Reason::Doubtful));
}

#[test]
fn a_request_that_may_have_run_is_never_reported_as_not_run() {
    let mut entry = entry_with_attempt_limit(3);
    let actions = entry.begin(arrival(1, "GET", None));
    assert!(first_dispatch(&actions).is_some());
    entry.report(1, AttemptReport::Admitted(Load::default()));
    let mut actions = entry.report(1, AttemptReport::Lost(Reason::Lost));
    for _ in 0..10 {
        if first_dispatch(&actions).is_none() {
            break;
        }
        actions = entry.report(1, AttemptReport::Refused(Reason::QueueFull, Some(Load::default())));
    }
    assert_eq!(first_conclusion(&actions).map(|c| c.outcome), Some(Outcome::Unknown));
}

#[test]
fn callers_refused_for_the_rate_of_upstreams_return_as_late_as_those_of_full_queues() {
    for reason in [Reason::QueueFull, Reason::RateLimited] {
        let (mut entry, _) = entry_with_gates(3);
        let times = (1..200).filter_map(|request| {
            let mut actions = entry.begin(arrival(request, "GET", None));
            while first_conclusion(&actions).is_none() {
                actions = entry.report(request, AttemptReport::Refused(reason, None));
            }
            first_conclusion(&actions)?.retry_after
        });
        let longest = times.max().expect("refused requests");
        assert!(longest > Duration::from_millis(700), "{reason:?}: {longest:?}");
    }
}

/// Guards against requests that are refused during a stop although they were accepted before, and
/// against ones that a stop interrupts without an answer.
#[test]
fn a_stopping_entry_serves_requests_in_progress_while_there_is_time() {
    let (mut entry, clock) = entry_with_gates(1);
    let target_latency = Some(Duration::from_secs(1));
    let route =
        Route { prefix: "/".to_owned(), service: service(), target_latency, ..Route::default() };
    entry.set_route(route, None);
    let before = entry.begin(arrival(1, "GET", None));
    assert!(first_dispatch(&before).is_some());
    entry.limit_deadlines(clock.now() + Duration::from_secs(3));
    entry.drain();
    let in_progress = |request| Arrival { in_progress: true, ..arrival(request, "GET", None) };
    assert!(first_dispatch(&entry.begin(in_progress(2))).is_some());
    let new = entry.begin(arrival(3, "GET", None));
    assert_eq!(first_conclusion(&new).map(|c| c.reason), Some(Reason::Leaving));
    clock.advance(Duration::from_millis(2500));
    let late = entry.begin(in_progress(4));
    assert_eq!(
        first_conclusion(&late).map(|c| c.reason),
        Some(Reason::Leaving),
        "too late for the target latency"
    );
    clock.advance(Duration::from_millis(500));
    let ended = entry.report(1, AttemptReport::Lost(Reason::Lost));
    assert!(first_dispatch(&ended).is_none(), "no retry after the last answer");
}
