//! The gate of a stopping node.

mod support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use lavenderflow_core::clock::{Clock, ManualClock};
use lavenderflow_core::gate::{Gate, GateAction, RunResult, SlotRequest};
use lavenderflow_core::reason::Reason;
use support::{attempt, clock, gate, service};

const SLOTS: u32 = 4;
const STOP: Duration = Duration::from_secs(5);

fn request(serial: u64) -> SlotRequest {
    SlotRequest {
        attempt: attempt(serial),
        incarnation: 1,
        service: service(),
        long: false,
        idempotent: true,
        queue_timeout: Duration::ZERO,
        remaining: Duration::from_secs(8),
        median_latency: Duration::ZERO,
        rank: 0,
        target_latency: Some(Duration::from_millis(800)),
        retryable: true,
        degraded: true,
        kind: Some(1),
        gray_tolerance: 0.2,
        organisation: None,
        organisation_rank: 0,
    }
}

/// Returns the deadline of a run, or the reason for the refusal.
fn offer(gate: &mut Gate, serial: u64) -> Result<Instant, Reason> {
    let actions = gate.submit(request(serial));
    let decision = actions.iter().find_map(|action| match action {
        GateAction::Start { deadline, .. } => Some(Ok(*deadline)),
        GateAction::Refuse { reason, .. } => Some(Err(*reason)),
        _ => None,
    });
    decision.expect("a decision")
}

fn stopping() -> (Gate, Arc<ManualClock>, Instant) {
    let clock = clock();
    let mut gate = gate(1, &clock, SLOTS);
    let last_answer = clock.now() + STOP;
    gate.prepare_stop(last_answer);
    (gate, clock, last_answer)
}

#[test]
fn a_stopping_gate_admits_what_can_end_before_the_node() {
    let (mut gate, clock, last_answer) = stopping();
    clock.advance(Duration::from_secs(1));
    assert_eq!(offer(&mut gate, 1), Ok(last_answer));
    gate.drain();
    assert_eq!(offer(&mut gate, 2), Err(Reason::Leaving));
    clock.advance(STOP);
    assert_eq!(gate.in_flight(), 1);
}

#[test]
fn a_stopping_gate_sends_no_trial_requests_to_an_upstream_that_may_hang() {
    let clock = clock();
    let mut gate = gate(1, &clock, SLOTS);
    for serial in 1..4 {
        assert!(offer(&mut gate, serial).is_ok(), "trial {serial}");
        clock.advance(Duration::from_secs(3));
        gate.finish(attempt(serial), RunResult::TimedOut);
    }
    assert!(gate.load(&service()).gray_probability > 0.2);
    gate.prepare_stop(clock.now() + STOP);
    assert_eq!(offer(&mut gate, 4), Err(Reason::Doubtful));
}

#[test]
fn what_was_queued_before_the_stop_has_to_end_with_the_node_too() {
    let clock = clock();
    let mut gate = gate(1, &clock, 1);
    assert!(offer(&mut gate, 1).is_ok());
    let waiting = SlotRequest { queue_timeout: Duration::from_secs(2), ..request(2) };
    gate.submit(waiting);
    let last_answer = clock.now() + STOP;
    gate.prepare_stop(last_answer);
    clock.advance(Duration::from_millis(50));
    let (_, actions) = gate.finish(attempt(1), RunResult::Success);
    let deadline = actions.iter().find_map(|action| match action {
        GateAction::Start { deadline, .. } => Some(*deadline),
        _ => None,
    });
    assert_eq!(deadline, Some(last_answer));
}

/// Guards against uploads and other long work that is cut at the end of the stop.
#[test]
fn a_stopping_gate_leaves_long_work_to_others() {
    let clock = clock();
    let mut gate = gate(1, &clock, 1);
    assert!(offer(&mut gate, 1).is_ok());
    let long = |serial| SlotRequest {
        long: true,
        queue_timeout: Duration::from_secs(2),
        ..request(serial)
    };
    gate.submit(long(2));
    gate.prepare_stop(clock.now() + STOP);
    assert!(!gate.holds(attempt(2)));
    gate.submit(long(3));
    assert!(!gate.holds(attempt(3)));
    assert!(gate.holds(attempt(1)));
}
