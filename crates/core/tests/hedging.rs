//! Hedging shortens a slow tail within its limit, and yields where it would add load.

mod support;

use std::time::Duration;

use lavenderflow_core::hedge::Suppression;
use support::simulation::{SimulationResult, Workload, simulate};

const LIMIT: f64 = 0.1;
/// Time at which upstreams become slow or the load rises.
const CHANGE: Duration = Duration::from_secs(15);

/// A service with idle slots, whose runs last 50 ms or, in the tail, 400 ms.
fn workload() -> Workload {
    Workload {
        entries: 1,
        gates: 4,
        rate: 40.0,
        idempotent_share: 0.8,
        work_seconds: 0.05,
        log_deviation: 0.3,
        hedges: LIMIT,
        duration: Duration::from_secs(40),
        ..Workload::default()
    }
}

/// Returns a percentile of the latencies of requests that arrived after the start-up.
fn percentile(result: &SimulationResult, share: f64) -> Duration {
    let settled = result.latencies.iter().filter(|(time, _)| *time > Duration::from_secs(5));
    let mut latencies: Vec<Duration> = settled.map(|(_, latency)| *latency).collect();
    latencies.sort_unstable();
    latencies[(latencies.len() as f64 * share) as usize]
}

fn total(result: &SimulationResult) -> f64 {
    f64::from(result.idempotent.total + result.non_idempotent.total)
}

#[test]
fn copies_shorten_a_slow_tail() {
    for seed in [1, 2] {
        let tail = Workload { tail_share: 0.04, seed, ..workload() };
        let (with, without) = (simulate(tail), simulate(Workload { hedges: 0.0, ..tail }));
        let (fast, slow) = (percentile(&with, 0.99), percentile(&without, 0.99));
        assert!(fast < slow * 2 / 3, "seed {seed}: {fast:?} with copies, {slow:?} without");
        assert!(with.copies.len() as f64 <= LIMIT * total(&with), "seed {seed}");
        assert_eq!(with.duplicate_runs, 0, "seed {seed}: only requests that may be repeated");
        assert!(with.most_starts <= 2, "seed {seed}: {}", with.most_starts);
        assert!(without.copies.is_empty() && without.suppressed.is_empty());
    }
}

#[test]
fn upstreams_that_are_all_slow_cause_no_storm_of_copies() {
    for seed in [1, 2] {
        let slow = Workload { slow_from: Some(CHANGE), seed, ..workload() };
        let result = simulate(slow);
        // The percentile adapts after a few dozen responses, so that copies are as rare as before.
        let settled = CHANGE + Duration::from_secs(10);
        let copies = result.copies.iter().filter(|time| **time > settled).count() as f64;
        let share = copies / (slow.rate * (slow.duration - settled).as_secs_f64());
        assert!(share < 0.06, "seed {seed}: {share} of the requests");
        assert!(result.copies.len() as f64 <= LIMIT * total(&result), "seed {seed}");
    }
}

#[test]
fn copies_yield_to_a_load_peak() {
    for seed in [1, 2] {
        let peak = Workload { peak_from: Some(CHANGE), tail_share: 0.04, seed, ..workload() };
        let (with, without) = (simulate(peak), simulate(Workload { hedges: 0.0, ..peak }));
        let settled = CHANGE + Duration::from_secs(1);
        let copies = with.copies.iter().filter(|time| **time > settled).count();
        let yielded = with.suppressed.iter().filter(|(reason, time)| {
            let yields = matches!(reason, Suppression::Degraded | Suppression::FewSlots);
            yields && *time > settled
        });
        assert!(copies <= yielded.count() / 100, "seed {seed}: {copies} copies");
        // All slots are busy during the peak, so the copies must not take any from the others.
        // The random arrivals differ, so their number says nothing.
        let served =
            |r: &SimulationResult| f64::from(r.idempotent.served() + r.non_idempotent.served());
        let (with, without) = (served(&with), served(&without));
        assert!(with > 0.98 * without, "seed {seed}: {with} with copies, {without} without");
    }
}
