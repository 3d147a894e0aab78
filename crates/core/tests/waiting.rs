//! The order in which a gate serves requests of different urgency, and its refusals.

mod support;

use std::time::Duration;

use lavenderflow_core::clock::ManualClock;
use lavenderflow_core::gate::{Gate, GateAction, RunResult, SlotRequest};
use lavenderflow_core::id::AttemptId;
use lavenderflow_core::reason::Reason;
use support::{attempt, clock, gate, service};

const SLOTS: u32 = 5;
const RUN_TIME: Duration = Duration::from_millis(400);

/// A request whose caller waits for ten seconds.
fn patient(serial: u64) -> SlotRequest {
    SlotRequest {
        attempt: attempt(serial),
        incarnation: 1,
        service: service(),
        long: false,
        idempotent: false,
        queue_timeout: Duration::from_secs(6),
        remaining: Duration::from_secs(10),
        median_latency: Duration::ZERO,
        rank: 0,
        target_latency: Some(Duration::from_secs(3)),
        retryable: false,
        degraded: false,
        kind: Some(1),
        gray_tolerance: 1.0,
        organisation: None,
        organisation_rank: 0,
    }
}

/// A request whose caller waits for one second.
fn urgent(serial: u64) -> SlotRequest {
    SlotRequest {
        queue_timeout: Duration::from_millis(600),
        remaining: Duration::from_secs(1),
        target_latency: Some(Duration::from_millis(800)),
        kind: Some(2),
        ..patient(serial)
    }
}

fn started(actions: &[GateAction]) -> Vec<AttemptId> {
    let starts = actions.iter().filter_map(|action| match action {
        GateAction::Start { attempt, .. } => Some(*attempt),
        _ => None,
    });
    starts.collect()
}

fn refused(actions: &[GateAction]) -> Vec<Reason> {
    let refusals = actions.iter().filter_map(|action| match action {
        GateAction::Refuse { reason, .. } => Some(*reason),
        _ => None,
    });
    refusals.collect()
}

/// Creates a gate that knows its latency, with all slots busy and `queued` patient requests.
fn busy_gate(clock: &std::sync::Arc<ManualClock>, queued: u64) -> Gate {
    let mut gate = gate(1, clock, SLOTS);
    for serial in 1..=20 {
        gate.submit(patient(serial));
        clock.advance(RUN_TIME);
        gate.finish(attempt(serial), RunResult::Success);
    }
    for serial in 100..100 + u64::from(SLOTS) + queued {
        assert_eq!(refused(&gate.submit(patient(serial))), [], "{serial}");
    }
    assert_eq!(u64::from(gate.load(&service()).queued), queued);
    gate
}

#[test]
fn urgent_requests_do_not_wait_behind_patient_ones() {
    let clock = clock();
    let mut gate = busy_gate(&clock, 20);
    // In the order of arrival it would wait for 21 runs in five slots: 1.7 s.
    assert_eq!(refused(&gate.submit(urgent(500))), []);
    clock.advance(Duration::from_millis(100));
    let (_, actions) = gate.finish(attempt(100), RunResult::Success);
    assert_eq!(started(&actions), [attempt(500)]);
}

#[test]
fn patient_requests_are_served_in_their_turn_beside_urgent_ones() {
    let clock = clock();
    let mut gate = busy_gate(&clock, 1);
    let waiting = attempt(100 + u64::from(SLOTS));
    let mut running = 100;
    // One urgent request per run; the patient one waits no longer than half of its target.
    for serial in 500..510 {
        gate.submit(urgent(serial));
        clock.advance(Duration::from_millis(200));
        let (_, actions) = gate.finish(attempt(running), RunResult::Success);
        let next = started(&actions)[0];
        if next == waiting {
            return;
        }
        running = next.serial;
    }
    panic!("the patient request was not started within 2 s");
}
