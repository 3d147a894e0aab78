//! Admission by the gate: slots, queues, long requests, cold starts and health.

mod support;

use std::time::Duration;

use lavenderflow_core::clock::{ManualClock, SharedClock};
use lavenderflow_core::gate::{Gate, GateAction, RunResult, SlotRequest};
use lavenderflow_core::id::AttemptId;
use lavenderflow_core::load::Condition;
use lavenderflow_core::profile::Profile;
use lavenderflow_core::reason::Reason;
use lavenderflow_core::upstream::AnnouncedPhase;
use std::sync::Arc;
use support::{announcement, attempt, clock, gate, service};

const INCARNATION: u64 = 1;

fn short(serial: u64) -> SlotRequest {
    SlotRequest {
        attempt: attempt(serial),
        incarnation: INCARNATION,
        service: service(),
        long: false,
        idempotent: true,
        queue_timeout: Duration::from_millis(500),
        remaining: Duration::from_secs(2),
        median_latency: Duration::ZERO,
        rank: 0,
        target_latency: None,
        retryable: true,
        degraded: false,
        kind: None,
        gray_tolerance: 1.0,
        organisation: None,
        organisation_rank: 0,
    }
}

fn long(serial: u64) -> SlotRequest {
    SlotRequest { long: true, remaining: Duration::from_secs(600), ..short(serial) }
}

fn started(actions: &[GateAction]) -> Vec<AttemptId> {
    let starts = actions.iter().filter_map(|action| match action {
        GateAction::Start { attempt, .. } => Some(*attempt),
        _ => None,
    });
    starts.collect()
}

fn refused(actions: &[GateAction]) -> Vec<(AttemptId, Reason)> {
    let refusals = actions.iter().filter_map(|action| match action {
        GateAction::Refuse { attempt, reason, .. } => Some((*attempt, *reason)),
        _ => None,
    });
    refusals.collect()
}

/// Runs 20 short requests of 10 ms each, so that the gate knows their latency.
fn record_short_runs(gate: &mut Gate, clock: &ManualClock, first: u64) {
    for serial in first..first + 20 {
        gate.submit(short(serial));
        clock.advance(Duration::from_millis(10));
        gate.finish(attempt(serial), RunResult::Success);
    }
}

#[test]
fn slots_are_never_exceeded_and_freed_slots_go_to_queued_requests() {
    let clock = clock();
    let mut gate = gate(INCARNATION, &clock, 2);
    assert_eq!(started(&gate.submit(short(1))).len(), 1);
    assert_eq!(started(&gate.submit(short(2))).len(), 1);
    assert_eq!(gate.submit(short(3)), []);
    assert_eq!(gate.load(&service()).queued, 1);
    let (load, actions) = gate.finish(attempt(1), RunResult::Success);
    assert_eq!(started(&actions), [attempt(3)]);
    assert_eq!((load.busy, load.queued), (2, 0));
}

#[test]
fn refusals_have_reasons() {
    type Prepare = fn(&mut Gate, &ManualClock);
    let cases: [(&str, Prepare, SlotRequest, Reason); 6] = [
        ("draining", |gate, _| drop(gate.drain()), short(99), Reason::Leaving),
        (
            "no time left",
            |_, _| {},
            SlotRequest { remaining: Duration::ZERO, ..short(99) },
            Reason::DeadlinePast,
        ),
        (
            "another service",
            |_, _| {},
            SlotRequest { service: "other".into(), ..short(99) },
            Reason::NoUpstream,
        ),
        (
            "the upstream leaves",
            |gate, _| {
                gate.submit(short(1));
                let mut leaving = announcement("upstream", 2);
                leaving.phase = AnnouncedPhase::Leaving;
                gate.announce(&leaving).expect("applied");
            },
            short(99),
            Reason::Leaving,
        ),
        (
            "an earlier incarnation",
            |_, _| {},
            SlotRequest { incarnation: 9, idempotent: false, ..short(99) },
            Reason::Outdated,
        ),
        (
            "the expected wait exceeds the queue timeout",
            |gate, clock| {
                record_short_runs(gate, clock, 100);
                (1..=110).for_each(|serial| drop(gate.submit(short(serial))));
            },
            short(99_999),
            Reason::QueueFull,
        ),
    ];
    for (name, prepare, request, reason) in cases {
        let clock = clock();
        let mut gate = gate(INCARNATION, &clock, 2);
        prepare(&mut gate, &clock);
        let attempt = request.attempt;
        assert_eq!(refused(&gate.submit(request)), [(attempt, reason)], "{name}");
    }
}

#[test]
fn a_non_idempotent_attempt_is_accepted_once() {
    let clock = clock();
    let mut gate = gate(INCARNATION, &clock, 2);
    let once = SlotRequest { idempotent: false, ..short(1) };
    assert_eq!(started(&gate.submit(once.clone())).len(), 1);
    assert_eq!(refused(&gate.submit(once.clone())), [(attempt(1), Reason::Duplicate)]);
    gate.finish(attempt(1), RunResult::Success);
    assert_eq!(refused(&gate.submit(once)), [(attempt(1), Reason::Duplicate)]);
}

#[test]
fn waiting_ends_with_the_queue_timeout_or_the_deadline() {
    let clock = clock();
    let mut gate = gate(INCARNATION, &clock, 1);
    gate.submit(short(1));
    gate.submit(short(2));
    gate.submit(SlotRequest { remaining: Duration::from_millis(100), ..short(3) });
    clock.advance(Duration::from_millis(100));
    assert_eq!(refused(&gate.tick()), [(attempt(3), Reason::DeadlinePast)]);
    clock.advance(Duration::from_millis(400));
    assert_eq!(refused(&gate.tick()), [(attempt(2), Reason::PatienceSpent)]);
}

#[test]
fn an_overloaded_queue_serves_the_newest_first() {
    let clock = clock();
    let mut gate = gate(INCARNATION, &clock, 1);
    gate.submit(short(1));
    gate.submit(short(2));
    clock.advance(Duration::from_millis(10));
    gate.submit(short(3));
    let (_, actions) = gate.finish(attempt(1), RunResult::Success);
    assert_eq!(started(&actions), [attempt(2)], "first come, first served while waits are short");
    gate.submit(short(4));
    clock.advance(Duration::from_millis(300));
    let (_, actions) = gate.finish(attempt(2), RunResult::Success);
    assert_eq!(started(&actions), [attempt(4)], "the newest once waits are long");
}

#[test]
fn long_work_leaves_slots_to_short_work() {
    let clock = clock();
    let mut gate = gate(INCARNATION, &clock, 4);
    let starts: usize = (1..=6).map(|serial| started(&gate.submit(long(serial))).len()).sum();
    assert_eq!(starts, 2, "half of the slots");
    let starts: usize = (11..=12).map(|serial| started(&gate.submit(short(serial))).len()).sum();
    assert_eq!(starts, 2);
    let (_, actions) = gate.finish(attempt(11), RunResult::Success);
    assert_eq!(started(&actions), [], "a short slot is not given to long work");
    let (_, actions) = gate.finish(attempt(1), RunResult::Success);
    assert_eq!(started(&actions), [attempt(3)]);
}

#[test]
fn short_work_that_runs_long_counts_as_long() {
    let clock = clock();
    let mut gate = gate(INCARNATION, &clock, 4);
    gate.submit(short(1));
    gate.submit(short(2));
    clock.advance(Duration::from_secs(2));
    gate.tick();
    assert_eq!(gate.submit(long(3)), [], "the share of long work is used up");
    assert_eq!(started(&gate.submit(short(4))).len(), 1);
}

#[test]
fn a_cold_upstream_opens_its_slots_in_steps() {
    let clock = clock();
    let mut gate = Gate::new(INCARNATION, Arc::clone(&clock) as SharedClock);
    gate.set_profile(&service(), Profile::default());
    gate.announce(&announcement("upstream", 8)).expect("applied");
    let mut limits = Vec::new();
    for _ in 0..5 {
        limits.push(gate.load(&service()).slots);
        clock.advance(Duration::from_millis(500));
        gate.tick();
    }
    assert_eq!(limits, [1, 2, 4, 8, 8]);
}

#[test]
fn shedding_lowers_the_limit_for_a_while() {
    let clock = clock();
    let mut gate = gate(INCARNATION, &clock, 4);
    (1..=4).for_each(|serial| drop(gate.submit(short(serial))));
    let (load, _) = gate.finish(attempt(1), RunResult::Shed);
    assert_eq!(load.slots, 2);
    assert_eq!(load.condition, Condition::Healthy, "shedding is not a failure");
    clock.advance(Duration::from_secs(1));
    gate.tick();
    assert_eq!(gate.load(&service()).slots, 3);
}

#[test]
fn an_expired_announcement_removes_the_upstream() {
    let clock = clock();
    let mut gate = gate(INCARNATION, &clock, 4);
    gate.submit(short(1));
    clock.advance(Duration::from_secs(3601));
    gate.tick();
    assert!(gate.service_offers().is_empty());
    assert_eq!(gate.in_flight(), 1, "its request continues");
    gate.finish(attempt(1), RunResult::Success);
    gate.tick();
    assert_eq!(gate.upstreams().count(), 0);
}

#[test]
fn failures_eject_an_upstream_and_a_trial_restores_it() {
    let clock = clock();
    let mut gate = gate(INCARNATION, &clock, 4);
    record_short_runs(&mut gate, &clock, 1);
    for serial in 100..110 {
        gate.submit(short(serial));
        gate.finish(attempt(serial), RunResult::ServerError);
    }
    assert_eq!(gate.load(&service()).condition, Condition::Ejected);
    assert_eq!(gate.service_offers()[0].condition, Condition::Ejected);
    // An ejected upstream still serves requests that entries send to keep the capacity floor.
    assert_eq!(started(&gate.submit(short(200))).len(), 1);
    gate.finish(attempt(200), RunResult::Success);
    clock.advance(Duration::from_secs(2));
    gate.tick();
    assert_eq!(gate.load(&service()).condition, Condition::Trial);
    for serial in 300..305 {
        gate.submit(short(serial));
        gate.finish(attempt(serial), RunResult::Success);
    }
    assert_eq!(gate.load(&service()).condition, Condition::Healthy);
}

#[test]
fn stuck_requests_count_as_failures_before_they_end() {
    let clock = clock();
    let mut gate = gate(INCARNATION, &clock, 4);
    record_short_runs(&mut gate, &clock, 1);
    (100..104).for_each(|serial| drop(gate.submit(short(serial))));
    clock.advance(Duration::from_millis(510));
    gate.tick();
    assert_eq!(gate.load(&service()).condition, Condition::Ejected);
}

#[test]
fn stuck_idempotent_work_is_abandoned_once() {
    let clock = clock();
    let mut gate = gate(INCARNATION, &clock, 4);
    record_short_runs(&mut gate, &clock, 1);
    gate.submit(short(100));
    clock.advance(Duration::from_millis(510));
    assert_eq!(gate.tick(), [], "one request may just take long");
    (101..103).for_each(|serial| drop(gate.submit(short(serial))));
    gate.submit(SlotRequest { idempotent: false, ..short(103) });
    clock.advance(Duration::from_millis(510));
    let actions = gate.tick();
    for serial in 100..103 {
        assert!(actions.contains(&GateAction::Abandon { attempt: attempt(serial) }), "{serial}");
    }
    assert!(!actions.contains(&GateAction::Abandon { attempt: attempt(103) }));
    assert_eq!(gate.load(&service()).busy, 4, "the slots stay taken");
    assert_eq!(gate.tick(), []);
}

/// Guards against a response that is cut because its run was stuck before the response began.
#[test]
fn stuck_work_that_has_begun_to_respond_is_not_abandoned() {
    let clock = clock();
    let mut gate = gate(INCARNATION, &clock, 4);
    record_short_runs(&mut gate, &clock, 1);
    gate.submit(short(100));
    clock.advance(Duration::from_millis(510));
    assert_eq!(gate.tick(), []);
    gate.response_started(attempt(100));
    (101..104).for_each(|serial| drop(gate.submit(short(serial))));
    clock.advance(Duration::from_millis(510));
    let actions = gate.tick();
    assert!(actions.contains(&GateAction::Abandon { attempt: attempt(101) }), "{actions:?}");
    assert!(!actions.contains(&GateAction::Abandon { attempt: attempt(100) }), "{actions:?}");
}

/// Runs 200 requests of which every `nth` takes `slow` and the others 10 ms; returns the condition.
fn condition_after(median_latency: Duration, nth: u64, slow: Duration) -> Condition {
    let clock = clock();
    let mut gate = gate(INCARNATION, &clock, 4);
    record_short_runs(&mut gate, &clock, 1);
    for serial in 100..300 {
        gate.submit(SlotRequest { median_latency, ..short(serial) });
        let is_slow = serial % nth == 0;
        clock.advance(if is_slow { slow } else { Duration::from_millis(10) });
        gate.finish(attempt(serial), RunResult::Success);
    }
    gate.load(&service()).condition
}

#[test]
fn an_upstream_far_slower_than_the_others_is_ejected() {
    let (median_latency, slow) = (Duration::from_millis(10), Duration::from_millis(100));
    assert_eq!(condition_after(median_latency, 1, slow), Condition::Ejected);
    // A few slow requests are no failure, nor is a latency that is normal at the other gates.
    assert_eq!(condition_after(median_latency, 5, slow), Condition::Healthy);
    assert_eq!(condition_after(slow, 1, slow), Condition::Healthy);
    assert_eq!(condition_after(Duration::ZERO, 1, slow), Condition::Healthy);
}

#[test]
fn cancelled_and_shed_requests_do_not_count_as_failures() {
    let clock = clock();
    let mut gate = gate(INCARNATION, &clock, 4);
    for serial in 1..200 {
        gate.submit(short(serial));
        let result = if serial % 2 == 0 { RunResult::Cancelled } else { RunResult::Shed };
        gate.finish(attempt(serial), result);
        clock.advance(Duration::from_secs(1));
        gate.tick();
    }
    assert_eq!(gate.load(&service()).condition, Condition::Healthy);
}

#[test]
fn draining_refuses_queued_requests_and_finishes_running_ones() {
    let clock = clock();
    let mut gate = gate(INCARNATION, &clock, 1);
    gate.submit(short(1));
    gate.submit(short(2));
    assert_eq!(refused(&gate.drain()), [(attempt(2), Reason::Leaving)]);
    assert_eq!(gate.in_flight(), 1);
    gate.finish(attempt(1), RunResult::Success);
    assert_eq!(gate.in_flight(), 0);
}
