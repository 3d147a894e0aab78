//! Reports on upstreams that take requests but start none.

mod support;

use std::time::Duration;

use lavenderflow_core::gate::{Gate, GateAction, RunResult, SlotRequest};
use lavenderflow_core::reason::Reason;
use lavenderflow_core::upstream::AnnouncedPhase;
use lavenderflow_core::upstream::idle::{IdleReport, RefusedOffers};
use support::{announcement, attempt, clock, gate, service};

fn offer(serial: u64, degraded: bool) -> SlotRequest {
    SlotRequest {
        attempt: attempt(serial),
        incarnation: 1,
        service: service(),
        long: false,
        idempotent: false,
        queue_timeout: Duration::ZERO,
        remaining: Duration::from_secs(4),
        median_latency: Duration::ZERO,
        rank: 0,
        target_latency: Some(Duration::from_millis(800)),
        retryable: false,
        degraded,
        kind: Some(1),
        gray_tolerance: 0.04,
        organisation: None,
        organisation_rank: 0,
    }
}

fn report(gate: &mut Gate) -> Option<IdleReport> {
    gate.tick().into_iter().find_map(|action| match action {
        GateAction::ReportIdle(report) => Some(report),
        _ => None,
    })
}

/// Guards against upstreams that stay idle without a line that says why.
#[test]
fn an_idle_upstream_is_reported_with_the_offers_that_it_refused() {
    let clock = clock();
    let mut gate = gate(1, &clock, 4);
    for serial in 1..=4 {
        let mut request = offer(serial, false);
        request.gray_tolerance = 1.0;
        gate.submit(request);
        gate.finish(attempt(serial), RunResult::ServerError);
    }
    clock.advance(Duration::from_millis(500));
    gate.submit(offer(10, false));
    gate.submit(offer(11, true));
    clock.advance(Duration::from_millis(1400));
    assert_eq!(report(&mut gate), None);
    clock.advance(Duration::from_millis(100));
    let found = report(&mut gate).expect("a report");
    assert_eq!((found.state, found.busy, found.slots), ("serving", 0, 4));
    assert_eq!(found.idle, Duration::from_secs(2));
    assert!(found.probability > 0.5, "{found:?}");
    assert_eq!(found.refused[&Reason::Doubtful], RefusedOffers { count: 2, degraded: 1 });
    clock.advance(Duration::from_secs(1));
    assert_eq!(report(&mut gate), None, "the next one is due after 4 s");
}

#[test]
fn an_upstream_that_starts_a_request_or_takes_none_is_not_reported() {
    let clock = clock();
    let mut gate = gate(1, &clock, 4);
    for serial in 1..8 {
        gate.submit(SlotRequest { gray_tolerance: 1.0, ..offer(serial, false) });
        gate.finish(attempt(serial), RunResult::Success);
        clock.advance(Duration::from_millis(1500));
        assert_eq!(report(&mut gate), None);
    }
    let mut leaving = announcement("upstream", 4);
    leaving.phase = AnnouncedPhase::Leaving;
    gate.announce(&leaving).expect("applied");
    clock.advance(Duration::from_secs(8));
    assert_eq!(report(&mut gate), None);
}
