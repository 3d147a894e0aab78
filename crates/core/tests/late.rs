//! Requests that can no longer be served in time, and the time after which their callers may retry.

mod support;

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use lavenderflow_core::clock::{Clock, ManualClock, SharedClock};
use lavenderflow_core::gate::{Gate, GateAction, RunResult, SlotRequest};
use lavenderflow_core::load::{Condition, Load};
use lavenderflow_core::reason::{Outcome, Reason};
use lavenderflow_core::request::{Arrival, AttemptReport, EntryAction};
use support::{
    announcement, arrival, attempt, clock, entry, first_dispatch, gate, member, service,
    service_offer,
};

const RUN_TIME: Duration = Duration::from_millis(100);
const TICK: Duration = Duration::from_millis(40);

fn request(serial: u64, remaining_ms: u64) -> SlotRequest {
    SlotRequest {
        attempt: attempt(serial),
        incarnation: 1,
        service: service(),
        long: false,
        idempotent: true,
        queue_timeout: Duration::from_secs(5),
        remaining: Duration::from_millis(remaining_ms),
        median_latency: Duration::ZERO,
        rank: 0,
        target_latency: None,
        retryable: false,
        degraded: false,
        kind: Some(1),
        gray_tolerance: 1.0,
        organisation: None,
        organisation_rank: 0,
    }
}

/// Returns a gate with one slot, which is taken, after runs of [`RUN_TIME`].
fn busy_gate(clock: &Arc<ManualClock>, runs: u64) -> Gate {
    let mut gate = gate(1, clock, 1);
    for serial in 1..=runs {
        gate.submit(request(serial, 60_000));
        clock.advance(RUN_TIME);
        gate.finish(attempt(serial), RunResult::Success);
    }
    gate.submit(request(1000, 60_000));
    gate
}

fn refused(actions: &[GateAction]) -> Vec<(u64, Reason)> {
    let refusals = actions.iter().filter_map(|action| match action {
        GateAction::Refuse { attempt, reason, .. } => Some((attempt.serial, *reason)),
        _ => None,
    });
    refusals.collect()
}

/// Guards against requests that wait until their deadline although they cannot be served any more.
#[test]
fn a_late_request_leaves_the_middle_of_the_queue() {
    let clock = clock();
    let mut gate = busy_gate(&clock, 30);
    for (serial, remaining) in [(1, 2000), (2, 150), (3, 2000)] {
        assert_eq!(refused(&gate.submit(request(serial, remaining))), []);
    }
    // 110 ms are enough for the fastest run, which took 100 ms; 70 ms are not.
    clock.advance(TICK);
    assert_eq!(refused(&gate.tick()), []);
    clock.advance(TICK);
    assert_eq!(refused(&gate.tick()), [(2, Reason::TooLate)]);
    assert_eq!(gate.load(&service()).queued, 2);
    // One that is late when it arrives does not wait at all.
    assert_eq!(refused(&gate.submit(request(4, 50))), [(4, Reason::TooLate)]);
}

/// Guards against refusals that rest on no measurement.
#[test]
fn nothing_is_too_late_while_run_times_are_unknown() {
    let clock = clock();
    let mut gate = busy_gate(&clock, 3);
    assert_eq!(refused(&gate.submit(request(2, 50))), []);
    clock.advance(TICK);
    assert_eq!(refused(&gate.tick()), []);
}

/// A clock that moves with each reading, as a real one does.
#[derive(Debug)]
struct RunningClock(Arc<ManualClock>);

impl Clock for RunningClock {
    fn now(&self) -> Instant {
        self.0.advance(Duration::from_micros(1));
        self.0.now()
    }

    fn system_time(&self) -> SystemTime {
        self.0.system_time()
    }
}

/// Guards against a refusal, or a measurement of the queue, because of a request that never waited.
#[test]
fn a_request_that_finds_a_free_slot_starts_with_any_time_left() {
    let clock = clock();
    let mut gate = Gate::new(1, Arc::new(RunningClock(Arc::clone(&clock))));
    gate.announce(&announcement("upstream", 1)).expect("applied");
    clock.advance(Duration::from_secs(10));
    gate.tick();
    for serial in 1..=30 {
        gate.submit(request(serial, 60_000));
        clock.advance(RUN_TIME);
        gate.finish(attempt(serial), RunResult::Success);
    }
    assert_eq!(gate.load(&service()).drain_time, Duration::ZERO);
    let actions = gate.submit(request(100, 50));
    assert!(matches!(actions.as_slice(), [GateAction::Start { .. }]), "{actions:?}");
}

/// Guards against refusals because most runs are slow: some are fast enough.
#[test]
fn the_fastest_recent_run_decides() {
    let clock = clock();
    let mut gate = busy_gate(&clock, 30);
    gate.finish(attempt(1000), RunResult::Success);
    gate.submit(request(1001, 60_000));
    clock.advance(Duration::from_millis(20));
    gate.finish(attempt(1001), RunResult::Success);
    gate.submit(request(1002, 60_000));
    assert_eq!(refused(&gate.submit(request(2, 50))), []);
}

/// Guards against a retry time that does not follow the queue.
#[test]
fn a_gate_measures_how_fast_its_queue_drains() {
    let clock = clock();
    let mut gate = busy_gate(&clock, 30);
    for serial in 1..=40 {
        assert_eq!(refused(&gate.submit(request(serial, 60_000))), []);
    }
    assert_eq!(gate.load(&service()).drain_time, Duration::ZERO, "nothing has drained yet");
    let mut running = attempt(1000);
    for _ in 0..30 {
        clock.advance(RUN_TIME);
        let (_, actions) = gate.finish(running, RunResult::Success);
        let [GateAction::Start { attempt, .. }] = actions.as_slice() else {
            panic!("{actions:?}");
        };
        running = *attempt;
    }
    let load = gate.load(&service());
    // Ten requests and the next one, at ten a second; the measurement has not reached all of its
    // memory.
    assert_eq!(load.queued, 10);
    let seconds = load.drain_time.as_secs_f64();
    assert!((1.0..1.5).contains(&seconds), "{seconds}");
}

/// Returns the retry times of callers that all gates have refused.
fn retry_times(reason: Reason, drain_time: Duration, left: Duration) -> Vec<Duration> {
    let clock = clock();
    let shared: SharedClock = clock;
    let mut entry = entry(1, 1, &shared, 7);
    entry.set_node(&member(2, 2, vec![service_offer(4, Condition::Healthy, 0.0)]), false);
    let load = Load { slots: 4, drain_time, ..Load::default() };
    let times = (1..=200).map(|id| {
        let begun = Arrival { timeout: Some(left), ..arrival(id, "POST", None) };
        let mut actions = entry.begin(begun);
        while first_dispatch(&actions).is_some() {
            actions = entry.report(id, AttemptReport::Refused(reason, Some(load)));
        }
        let [EntryAction::Conclude { conclusion, .. }] = actions.as_slice() else {
            panic!("{actions:?}");
        };
        assert_eq!(conclusion.outcome, Outcome::NotRun);
        conclusion.retry_after.expect("a time")
    });
    times.collect()
}

/// Guards against callers that come back at once, together, or when it is too late.
#[test]
fn retry_times_are_spread_and_leave_time_for_another_try() {
    let ms = Duration::from_millis;
    // Drain time, time left, and the bounds of the retry time.
    let cases = [
        (ms(400), ms(6000), ms(200), ms(600)),
        (ms(10), ms(6000), ms(100), ms(150)),
        (ms(60_000), ms(1500), ms(250), ms(500)),
        (ms(60_000), ms(330), ms(100), ms(110)),
        // A third of the time left is below the least retry time.
        (ms(60_000), ms(30), ms(100), ms(150)),
    ];
    for (drain_time, left, least, most) in cases {
        for reason in [Reason::QueueFull, Reason::PatienceSpent, Reason::TooLate] {
            let times = retry_times(reason, drain_time, left);
            let (first, last) =
                (*times.iter().min().expect("times"), *times.iter().max().expect("times"));
            assert!(first >= least && last <= most, "{reason:?} {left:?}: {first:?} to {last:?}");
            assert!(
                last - first > (most - least) / 2,
                "{reason:?} {left:?}: {first:?} to {last:?}"
            );
        }
    }
}

/// Guards against a request that goes from gate to gate although none can serve it in time.
#[test]
fn a_request_that_is_too_late_is_not_sent_to_another_gate() {
    let clock: SharedClock = clock();
    let mut entry = entry(1, 1, &clock, 7);
    for node in 2..5 {
        entry.set_node(&member(node, 2, vec![service_offer(4, Condition::Healthy, 0.0)]), false);
    }
    entry.begin(arrival(1, "GET", None));
    let actions = entry.report(1, AttemptReport::Refused(Reason::TooLate, Some(Load::default())));
    assert!(matches!(actions.as_slice(), [EntryAction::Conclude { .. }]), "{actions:?}");
}
