//! Recovery of upstreams from gray failures, as their gate sees it.

mod support;

use std::time::Duration;

use lavenderflow_core::clock::ManualClock;
use lavenderflow_core::gate::{Gate, RunResult, SlotRequest};
use lavenderflow_core::load::Condition;
use support::{attempt, clock, gate, service};

/// Gray failure probability up to which an upstream is probably healthy.
const HEALTHY: f32 = 0.2;

fn trial(serial: u64) -> SlotRequest {
    SlotRequest {
        attempt: attempt(serial),
        incarnation: 1,
        service: service(),
        long: false,
        idempotent: true,
        queue_timeout: Duration::ZERO,
        remaining: Duration::from_secs(4),
        median_latency: Duration::ZERO,
        rank: 0,
        target_latency: Some(Duration::from_millis(800)),
        retryable: true,
        degraded: true,
        kind: Some(1),
        gray_tolerance: 1.0,
        organisation: None,
        organisation_rank: 0,
    }
}

/// Runs `count` trial requests one after the other.
fn run(gate: &mut Gate, clock: &ManualClock, first: u64, count: u64, result: RunResult) {
    for serial in first..first + count {
        gate.submit(trial(serial));
        clock.advance(Duration::from_millis(200));
        gate.finish(attempt(serial), result);
        clock.advance(Duration::from_millis(400));
        gate.tick();
    }
}

#[test]
fn an_upstream_that_answers_again_is_healthy_again_however_often_it_failed() {
    let clock = clock();
    let mut gate = gate(1, &clock, 4);
    for round in 0..5 {
        run(&mut gate, &clock, round * 100, 8, RunResult::ServerError);
        assert!(gate.load(&service()).gray_probability > 0.8, "round {round}");
        run(&mut gate, &clock, round * 100 + 50, 5, RunResult::Success);
        let load = gate.load(&service());
        assert!(load.gray_probability < HEALTHY, "round {round}: {load:?}");
        assert_eq!(load.condition, Condition::Healthy, "round {round}");
    }
}
