//! The limit of copies and the rules for each copy, without a network.

mod support;

use std::sync::Arc;
use std::time::Duration;

use lavenderflow_core::clock::{Clock, ManualClock, SharedClock};
use lavenderflow_core::entry::Entry;
use lavenderflow_core::hedge::{
    HedgeConditions, HedgeEvent, HedgePolicy, LIMIT_WINDOW, Suppression,
};
use lavenderflow_core::id::NodeId;
use lavenderflow_core::load::{Condition, Load};
use lavenderflow_core::profile::{Forgiveness, Profile};
use lavenderflow_core::reason::Reason;
use lavenderflow_core::request::{Arrival, AttemptReport, EntryAction};
use lavenderflow_core::roster::Member;
use lavenderflow_core::ticket::StoredAnswer;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use support::{arrival, clock, entry, first_dispatch, member, service, service_offer};

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300, failure_persistence: None, rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    /// However requests, copies and refusals of copies follow one another, the copies in the 10 s
    /// up to each start are within the share of the requests of these 10 s.
    #[test]
    fn no_order_of_events_exceeds_the_limit(
        percent in 1_u32..=30,
        events in vec((0_u64..400, 0_u8..4, 0_u32..60), 1..400),
    ) {
        let start = clock().now();
        let mut now = start;
        let mut policy = HedgePolicy::default();
        let (mut requests, mut copies) = (Vec::new(), Vec::new());
        let limit = f64::from(percent) / 100.0;
        for (pause_ms, kind, count) in events {
            now += Duration::from_millis(pause_ms);
            match kind {
                0 | 1 => (0..count).for_each(|_| {
                    policy.count_request(now);
                    requests.push(now);
                }),
                2 => (0..count).for_each(|_| {
                    if policy.check(&conditions(limit), 1, now).is_ok() {
                        policy.count_copy(now);
                        copies.push(now);
                        let recent = |times: &[_]| {
                            times.iter().filter(|time| now - **time < LIMIT_WINDOW).count() as f64
                        };
                        assert!(recent(&copies) <= limit * recent(&requests));
                    }
                }),
                _ => if let Some(time) = copies.pop() {
                    policy.uncount_copy(time);
                },
            }
        }
    }
}

fn conditions(limit: f64) -> HedgeConditions {
    HedgeConditions {
        limit,
        has_attempts: true,
        degraded: false,
        free_share: Some(1.0),
        remaining: Duration::from_secs(1),
    }
}

#[test]
fn each_condition_suppresses_a_copy() {
    let now = clock().now();
    let mut policy = HedgePolicy::default();
    (0..100).for_each(|_| policy.count_request(now));
    (1..=100).for_each(|ms| policy.observe(1, Duration::from_millis(ms), now));
    assert_eq!(policy.delay(1, now), Some(Duration::from_millis(95)));
    assert_eq!(policy.delay(2, now), None);
    let good = conditions(0.01);
    assert_eq!(policy.check(&good, 1, now), Ok(()));
    let cases = [
        (HedgeConditions { limit: 0.009, ..good }, Suppression::Limit),
        (HedgeConditions { has_attempts: false, ..good }, Suppression::Attempts),
        (HedgeConditions { degraded: true, ..good }, Suppression::Degraded),
        (HedgeConditions { free_share: Some(0.2), ..good }, Suppression::FewSlots),
        (HedgeConditions { free_share: None, ..good }, Suppression::FewSlots),
        (HedgeConditions { remaining: Duration::from_millis(50), ..good }, Suppression::Late),
    ];
    for (conditions, expected) in cases {
        assert_eq!(policy.check(&conditions, 1, now), Err(expected));
    }
}

const LATENCY: Duration = Duration::from_millis(10);

/// Returns an entry in `zone-a` that knows the latency of its requests, with gates 2 and 3 there
/// and gates 4 and 5 in another zone.
fn hedging_entry() -> (Entry, Arc<ManualClock>) {
    let clock = clock();
    let shared: SharedClock = clock.clone();
    let mut entry = entry(1, 10, &shared, 3);
    let forgiveness = Forgiveness { hedges: 0.5, ..Profile::default().forgiveness };
    entry.set_profile(&service(), Profile { forgiveness, ..Profile::default() });
    for node in 2..=5 {
        let zone = if node < 4 { "zone-a" } else { "zone-b" };
        let own = member(node, node, vec![service_offer(4, Condition::Healthy, 0.0)]);
        entry.set_node(&Member { zone: zone.into(), ..own }, false);
    }
    for request in 100..130 {
        entry.begin(arrival(request, "GET", None));
        entry.report(request, AttemptReport::Admitted(load()));
        clock.advance(LATENCY);
        entry.report(request, answered(200));
    }
    (entry, clock)
}

fn load() -> Load {
    Load { slots: 4, busy: 1, mean_latency: LATENCY, ..Load::default() }
}

fn answered(status: u16) -> AttemptReport {
    let answer = StoredAnswer { status, headers: vec![], body: "a".into() };
    AttemptReport::Answered { status, load: Some(load()), answer: Some(Arc::new(answer)) }
}

fn copy(report: AttemptReport) -> AttemptReport {
    AttemptReport::Copy(Box::new(report))
}

/// Starts a request that gets a copy; returns the gates of both attempts.
fn start_with_copy(entry: &mut Entry) -> (NodeId, NodeId) {
    let actions = entry.begin(arrival(1, "GET", None));
    let (_, first, ..) = first_dispatch(&actions).expect("a dispatch");
    entry.report(1, AttemptReport::Admitted(load()));
    let actions = entry.report(1, AttemptReport::Overdue);
    let [EntryAction::RecordHedge(HedgeEvent::Started), EntryAction::Hedge { gate, spec, .. }] =
        actions.as_slice()
    else {
        panic!("{actions:?}")
    };
    assert!(spec.queue_timeout.is_zero() && !spec.retryable);
    (first, *gate)
}

fn event(actions: &[EntryAction]) -> Option<HedgeEvent> {
    actions.iter().find_map(|action| match action {
        EntryAction::RecordHedge(event) => Some(*event),
        _ => None,
    })
}

fn relays(actions: &[EntryAction]) -> usize {
    actions.iter().filter(|action| matches!(action, EntryAction::Relay { .. })).count()
}

#[test]
fn the_first_usable_response_wins_and_is_the_only_one() {
    // The reports in their order, which of them relays a response, and what becomes of the copy.
    let admitted = || copy(AttemptReport::Admitted(load()));
    let lost = || AttemptReport::Lost(Reason::Lost);
    let streamed = AttemptReport::Answered { status: 200, load: None, answer: None };
    let cases = [
        (vec![admitted(), answered(200), copy(answered(200))], 1, HedgeEvent::Lost),
        (vec![admitted(), copy(answered(200)), answered(200)], 1, HedgeEvent::Won),
        (vec![admitted(), copy(streamed.clone()), answered(200)], 1, HedgeEvent::Won),
        (vec![admitted(), streamed, copy(answered(200))], 1, HedgeEvent::Lost),
        (vec![answered(200)], 0, HedgeEvent::Lost),
        (vec![admitted(), copy(answered(500)), answered(200)], 2, HedgeEvent::Lost),
        (vec![admitted(), answered(500), copy(answered(200))], 2, HedgeEvent::Won),
        (vec![admitted(), lost(), copy(answered(200))], 2, HedgeEvent::Won),
        (vec![admitted(), copy(lost()), answered(200)], 2, HedgeEvent::Lost),
        (vec![lost(), admitted(), copy(answered(200))], 2, HedgeEvent::Won),
        (vec![copy(AttemptReport::Unreachable), answered(200)], 1, HedgeEvent::Refused),
    ];
    for (reports, relaying, expected) in cases {
        let (mut entry, _) = hedging_entry();
        start_with_copy(&mut entry);
        let mut events = Vec::new();
        for (index, report) in reports.iter().enumerate() {
            let actions = entry.report(1, report.clone());
            events.extend(event(&actions));
            assert_eq!(relays(&actions), usize::from(index == relaying), "{index} of {reports:?}");
        }
        assert_eq!(events, [expected], "{reports:?}");
    }
}

#[test]
fn both_attempts_that_fail_end_the_request_once() {
    let (mut entry, _) = hedging_entry();
    start_with_copy(&mut entry);
    entry.report(1, copy(AttemptReport::Admitted(load())));
    assert_eq!(entry.report(1, AttemptReport::Lost(Reason::DeadlinePast)), []);
    let mut actions = entry.report(1, copy(AttemptReport::Lost(Reason::Lost)));
    // The third attempt of the profile.
    if first_dispatch(&actions).is_some() {
        actions = entry.report(1, AttemptReport::Lost(Reason::Lost));
    }
    assert!(actions.iter().any(|action| matches!(action, EntryAction::Conclude { .. })));
    assert_eq!(entry.in_flight(), 0);
}

#[test]
fn a_copy_goes_to_another_gate_of_the_own_zone_if_there_is_one() {
    let (mut entry, _) = hedging_entry();
    let (first, second) = start_with_copy(&mut entry);
    assert_eq!([first, second].iter().sum::<u64>(), 5, "gates {first} and {second}");
    let (mut entry, _) = hedging_entry();
    let other = if first == 2 { 3 } else { 2 };
    entry.remove_node(other);
    let (_, second) = start_with_copy(&mut entry);
    assert!(second >= 4, "gate {second}");
}

#[test]
fn requests_that_may_not_be_repeated_get_no_copy() {
    let upload = Arrival { body_buffered: false, ..arrival(1, "PUT", None) };
    for own in [arrival(1, "POST", None), upload] {
        let (mut entry, _) = hedging_entry();
        let actions = entry.begin(own);
        let [EntryAction::Dispatch { hedge_delay, .. }] = actions.as_slice() else {
            panic!("{actions:?}")
        };
        assert_eq!(*hedge_delay, None);
    }
}

#[test]
fn a_gate_that_becomes_likely_gray_starts_a_copy_at_once() {
    let (mut entry, _) = hedging_entry();
    entry.begin(arrival(1, "GET", None));
    let actions = entry.begin(arrival(2, "GET", None));
    let (_, gate, ..) = first_dispatch(&actions).expect("a dispatch");
    entry.report(2, AttemptReport::Admitted(load()));
    let gray = Load { gray_probability: 0.9, ..load() };
    let mut request = 10;
    // Another request is refused by the same gate, with the news of the gray failure.
    let copies = loop {
        let (_, other, ..) =
            first_dispatch(&entry.begin(arrival(request, "GET", None))).expect("a dispatch");
        if other == gate {
            let refused = AttemptReport::Refused(Reason::Doubtful, Some(gray));
            break entry.report(request, refused);
        }
        request += 1;
    };
    let is_copy = |action: &EntryAction| matches!(action, EntryAction::Hedge { request: 2, .. });
    assert!(copies.iter().any(is_copy), "{copies:?}");
    assert_eq!(entry.report(2, AttemptReport::Overdue), [], "the copy was the reply");
}

#[test]
fn copies_end_with_the_retry_budget_and_a_refused_one_is_given_back() {
    let (mut entry, _) = hedging_entry();
    let (mut started, mut suppressed) = (0, Vec::new());
    for request in 1..=40 {
        entry.begin(arrival(request, "GET", None));
        entry.report(request, AttemptReport::Admitted(load()));
        match event(&entry.report(request, AttemptReport::Overdue)) {
            Some(HedgeEvent::Suppressed(reason)) => suppressed.push(reason),
            _ => started += 1,
        }
        let full = AttemptReport::Refused(Reason::QueueFull, Some(load()));
        let report = if request <= 20 { full } else { answered(200) };
        entry.report(request, copy(report));
        entry.report(request, answered(200));
    }
    // 10 retries before the first request, and a tenth of the 70 requests.
    assert!((20 + 13..=20 + 17).contains(&started), "{started} copies");
    assert!(suppressed.iter().all(|reason| *reason == Suppression::Budget), "{suppressed:?}");
}

#[test]
fn slow_first_attempts_count_as_slow_although_copies_won() {
    let (mut entry, clock) = hedging_entry();
    for request in 1..=4 {
        entry.begin(arrival(request, "GET", None));
        entry.report(request, AttemptReport::Admitted(load()));
        clock.advance(10 * LATENCY);
        entry.report(request, AttemptReport::Overdue);
        entry.report(request, copy(AttemptReport::Admitted(load())));
        clock.advance(LATENCY / 2);
        entry.report(request, copy(answered(200)));
    }
    // Of 38 latencies, the last two decide. Without those of the first attempts, the delay would
    // stay at 10 ms, and each copy that wins would make the next ones start earlier.
    let actions = entry.begin(arrival(5, "GET", None));
    let [EntryAction::Dispatch { hedge_delay, .. }] = actions.as_slice() else {
        panic!("{actions:?}")
    };
    assert_eq!(*hedge_delay, Some(10 * LATENCY + LATENCY / 2));
}
