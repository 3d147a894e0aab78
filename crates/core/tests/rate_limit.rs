//! An upstream that names a limit gets no more requests than that, and the requests that a gate
//! admits meanwhile are served in time.

mod support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use lavenderflow_core::clock::{Clock, ManualClock, SharedClock};
use lavenderflow_core::gate::{
    Gate, GateAction, RateSignal, RunResult, SlotRequest, UpstreamSignals,
};
use lavenderflow_core::load::{Condition, Load};
use lavenderflow_core::profile::Profile;
use lavenderflow_core::rate_limit::RateLimiter;
use lavenderflow_core::reason::Reason;
use lavenderflow_core::selector::{GateCriteria, GateSelector};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use support::{announcement, attempt, clock, gate, service, service_offer};

const INCARNATION: u64 = 1;
/// Period within which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
const STEP: Duration = Duration::from_millis(10);

/// Returns the most requests that an upstream with this limit may get within [`WINDOW`].
fn allowed(rate: f64) -> usize {
    (rate * WINDOW.as_secs_f64() * 1.5 + 5.0) as usize
}

/// Returns the most requests within any [`WINDOW`].
fn most_in_window(times: &[Instant]) -> usize {
    let count = |start: &Instant| {
        times.iter().filter(|time| (*start..*start + WINDOW).contains(*time)).count()
    };
    times.iter().map(count).max().unwrap_or(0)
}

fn request(serial: u64, queue_timeout: Duration) -> SlotRequest {
    SlotRequest {
        attempt: attempt(serial),
        incarnation: INCARNATION,
        service: service(),
        long: false,
        idempotent: true,
        queue_timeout,
        remaining: Duration::from_secs(3),
        median_latency: Duration::ZERO,
        rank: 0,
        target_latency: None,
        retryable: true,
        degraded: false,
        kind: Some(1),
        gray_tolerance: 1.0,
        organisation: None,
        organisation_rank: 0,
    }
}

fn limit(rate: f64) -> UpstreamSignals {
    UpstreamSignals { rate: RateSignal::PerSecond(rate), leaving: false }
}

/// Returns a gate whose upstream has named a limit long ago.
fn limited_gate(clock: &Arc<ManualClock>, slots: u32, rate: f64) -> Gate {
    let mut gate = gate(INCARNATION, clock, slots);
    gate.submit(request(0, Duration::ZERO));
    gate.observe_signals(attempt(0), limit(rate));
    gate.finish(attempt(0), RunResult::Success);
    clock.advance(Duration::from_secs(10));
    gate.tick();
    gate
}

fn is_started(actions: &[GateAction], serial: u64) -> bool {
    let wanted = attempt(serial);
    actions.iter().any(|a| matches!(a, GateAction::Start { attempt, .. } if *attempt == wanted))
}

fn refusal(actions: &[GateAction]) -> Option<Reason> {
    actions.iter().find_map(|action| match action {
        GateAction::Refuse { reason, .. } => Some(*reason),
        _ => None,
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(28),
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_window_has_more_requests_than_the_limit_allows(
        first in 0.0..20.0_f64,
        second in 0.0..20.0_f64,
        idle in 0..5_000_u64,
    ) {
        let start = Instant::now();
        let mut limiter = RateLimiter::default();
        limiter.set_rate(Some(first), start);
        let (mut now, mut sent) = (start + Duration::from_millis(idle), [vec![], vec![]]);
        for (rate, times) in [first, second].into_iter().zip(&mut sent) {
            limiter.set_rate(Some(rate), now);
            let end = now + WINDOW * 2;
            while now < end {
                if limiter.wait(now).is_zero() {
                    limiter.record(now);
                    times.push(now);
                }
                now += STEP;
            }
            prop_assert!(most_in_window(times) <= allowed(rate), "{} at {rate}", times.len());
            let least = (rate * WINDOW.as_secs_f64() * 2.0) as usize;
            prop_assert!(times.len() + 21 > least, "{} at {rate}: not used", times.len());
        }
    }
}

#[test]
fn a_limit_that_falls_after_a_burst_does_not_block_the_upstream() {
    let now = Instant::now();
    let mut limiter = RateLimiter::default();
    limiter.set_rate(Some(50.0), now);
    while limiter.wait(now).is_zero() {
        limiter.record(now);
    }
    limiter.set_rate(Some(0.5), now);
    assert!(limiter.wait(now) <= Duration::from_secs(2), "{:?}", limiter.wait(now));
}

#[test]
fn a_limited_upstream_gets_its_limit_and_no_more_under_pressure() {
    for rate in [0.4, 1.0, 2.7, 8.0] {
        let clock = clock();
        let mut gate = limited_gate(&clock, 4, rate);
        let (mut starts, start) = (Vec::new(), clock.now());
        let mut serial = 1;
        while clock.now() < start + WINDOW * 3 {
            let actions = gate.submit(request(serial, Duration::ZERO));
            if is_started(&actions, serial) {
                starts.push(clock.now());
                gate.finish(attempt(serial), RunResult::Success);
            } else {
                assert_eq!(refusal(&actions), Some(Reason::RateLimited));
            }
            serial += 1;
            clock.advance(STEP);
            gate.tick();
        }
        assert!(most_in_window(&starts) <= allowed(rate), "{rate}");
        let expected = rate * WINDOW.as_secs_f64() * 3.0;
        assert!(starts.len() as f64 >= expected.floor(), "{} at {rate}", starts.len());
    }
}

#[test]
fn a_gate_that_restarts_and_learns_the_limit_late_stays_within_it() {
    for rate in [0.2, 0.5, 1.0, 3.0] {
        let clock = clock();
        let mut gate = gate(INCARNATION, &clock, 5);
        let (mut starts, start) = (Vec::new(), clock.now());
        let mut serial = 1;
        while clock.now() < start + WINDOW * 2 {
            if is_started(&gate.submit(request(serial, Duration::ZERO)), serial) {
                starts.push(clock.now());
            }
            serial += 1;
            clock.advance(STEP);
            gate.tick();
            // All slots are taken before the first response.
            if starts.len() == 5 {
                gate.observe_signals(attempt(1), limit(rate));
                (1..=5).for_each(|serial| drop(gate.finish(attempt(serial), RunResult::Success)));
            } else if starts.len() > 5 {
                gate.finish(attempt(serial - 1), RunResult::Success);
            }
        }
        let most = most_in_window(&starts);
        assert!(most <= allowed(rate), "{most} at {rate}");
    }
}

#[test]
fn requests_that_are_admitted_to_wait_for_the_limit_start_in_time() {
    let mut random = Pcg64Mcg::seed_from_u64(5);
    let clock = clock();
    let mut gate = limited_gate(&clock, 4, 2.0);
    let start = clock.now();
    let mut admitted = IndexMap::new();
    let mut serial = 1;
    while clock.now() < start + Duration::from_secs(20) {
        let mut actions = Vec::new();
        if random.random_bool(0.2) {
            let timeout = Duration::from_millis(random.random_range(0..1500));
            actions = gate.submit(request(serial, timeout));
            if refusal(&actions).is_none() {
                admitted.insert(attempt(serial), timeout);
            }
            serial += 1;
        }
        clock.advance(STEP);
        actions.extend(gate.tick());
        assert_eq!(refusal(&actions).filter(|reason| *reason != Reason::RateLimited), None);
        for action in actions {
            if let GateAction::Start { attempt, .. } = action {
                admitted.swap_remove(&attempt);
                gate.finish(attempt, RunResult::Success);
            }
        }
    }
    // Those that still wait at the end were admitted within their timeout.
    assert!(admitted.len() <= 3, "{admitted:?}");
}

#[test]
fn a_limit_that_is_no_longer_named_ends_at_once_and_serves_the_queue() {
    let clock = clock();
    let mut gate = limited_gate(&clock, 4, 1.0);
    let first = gate.submit(request(1, Duration::ZERO));
    assert!(is_started(&first, 1));
    assert_eq!(gate.submit(request(2, Duration::from_millis(1500))), []);
    assert!(gate.load(&service()).rate_wait > Duration::from_secs(1));
    // A limit that cannot be read leaves the last one in force.
    let unreadable = UpstreamSignals { rate: RateSignal::Unreadable, leaving: false };
    assert_eq!(gate.observe_signals(attempt(1), unreadable), []);
    let actions = gate.observe_signals(attempt(1), UpstreamSignals::default());
    assert!(is_started(&actions, 2));
    assert_eq!(gate.load(&service()).rate_wait, Duration::ZERO);
}

#[test]
fn a_limit_says_nothing_about_health_or_capacity() {
    let clock = clock();
    let mut gate = gate(INCARNATION, &clock, 4);
    let (offers, load) = (gate.service_offers(), gate.load(&service()));
    gate.submit(request(1, Duration::ZERO));
    gate.observe_signals(attempt(1), limit(0.0));
    gate.finish(attempt(1), RunResult::Success);
    for serial in 2..100 {
        assert_eq!(
            refusal(&gate.submit(request(serial, Duration::ZERO))),
            Some(Reason::RateLimited)
        );
    }
    assert_eq!(gate.service_offers(), offers);
    let after = gate.load(&service());
    assert_eq!((after.slots, after.condition), (load.slots, load.condition));
    assert!(after.gray_probability <= load.gray_probability);
    // Only a response can lift the limit, so even this upstream is asked now and then.
    clock.advance(Duration::from_secs(11));
    gate.tick();
    assert!(is_started(&gate.submit(request(100, Duration::ZERO)), 100));
}

#[test]
fn a_response_of_an_earlier_lifetime_sets_no_limit() {
    let clock = clock();
    let mut gate = Gate::new(INCARNATION, Arc::clone(&clock) as SharedClock);
    let mut lifetime = announcement("upstream", 4);
    lifetime.generation = 1;
    gate.announce(&lifetime).expect("applied");
    assert!(is_started(&gate.submit(request(1, Duration::ZERO)), 1));
    lifetime.generation = 2;
    gate.announce(&lifetime).expect("applied");
    assert_eq!(gate.observe_signals(attempt(1), limit(1.0)), []);
}

#[test]
fn requests_without_time_to_wait_avoid_gates_that_are_known_to_be_limited() {
    let now = Instant::now();
    let mut selector = GateSelector::new(0, "zone-a".into());
    let offers = [service_offer(4, Condition::Healthy, 0.0)];
    selector.set_node(1, &"zone-a".into(), &offers, false);
    selector.set_node(2, &"zone-b".into(), &offers, false);
    let rate_wait = Duration::from_secs(1);
    selector.record_load(&service(), 1, Load { slots: 4, rate_wait, ..Load::default() }, now);
    let profile = Profile::default();
    let criteria = |may_queue| GateCriteria {
        profile: &profile,
        idempotent: false,
        degraded: false,
        avoid_gray: true,
        may_queue,
        body_bytes: 300,
        excluded: &[2],
    };
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let mut pick =
        |may_queue, time| selector.pick(&service(), &criteria(may_queue), time, &mut random);
    assert_eq!(pick(false, now), None);
    assert_eq!(pick(true, now), Some(1));
    // The wait is known for longer than the rest of a load report.
    assert_eq!(pick(false, now + rate_wait * 9 / 10), None);
    assert_eq!(pick(false, now + rate_wait), Some(1));
}

#[test]
fn a_request_that_would_wait_too_long_for_the_rate_to_be_on_time_is_refused_at_once() {
    let clock = clock();
    let mut gate = limited_gate(&clock, 4, 1.0);
    assert!(is_started(&gate.submit(request(1, Duration::ZERO)), 1));
    let patient = Duration::from_secs(2);
    let with_target = |serial, millis| SlotRequest {
        target_latency: Some(Duration::from_millis(millis)),
        ..request(serial, patient)
    };
    assert_eq!(refusal(&gate.submit(with_target(2, 1200))), Some(Reason::RateLimited));
    assert_eq!(gate.submit(with_target(3, 2400)), []);
}
