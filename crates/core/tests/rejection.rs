//! Load at upstreams of which some reject a part of their requests at any concurrency.

mod support;

use std::time::{Duration, Instant};

use lavenderflow_core::load::{Condition, Load};
use lavenderflow_core::profile::Profile;
use lavenderflow_core::selector::{GateCriteria, GateSelector};
use lavenderflow_core::upstream::rejection::Rejections;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use support::{service, service_offer};

const SLOTS: u32 = 8;
const ROUNDS: u32 = 400;
const SEED: u64 = 11;

/// Guards against slots that stay unused because an upstream rejects requests whatever its load.
#[test]
fn an_upstream_that_rejects_at_any_concurrency_keeps_its_slots() {
    let mut now = Instant::now();
    let mut rejections = Rejections::new(now);
    let mut rng = Pcg64Mcg::seed_from_u64(SEED);
    let mut offered = 0;
    // All slots are busy, and a request finishes each 20 ms.
    for _ in 0..ROUNDS {
        now += Duration::from_millis(20);
        rejections.record(rng.random_bool(0.4), rejections.limit(SLOTS) - 1, SLOTS, now);
        rejections.tick(SLOTS, now);
        offered += rejections.limit(SLOTS);
    }
    assert!(offered * 10 > SLOTS * ROUNDS * 9, "{offered} of {}", SLOTS * ROUNDS);
    let share = rejections.share(now);
    assert!((0.25..0.5).contains(&share), "{share}");
}

/// Guards against an upstream that is flooded although it bears fewer requests than it announces.
#[test]
fn an_upstream_that_rejects_only_above_a_concurrency_gets_fewer_requests() {
    const BORNE: u32 = 5;
    let mut now = Instant::now();
    let mut rejections = Rejections::new(now);
    let mut rejected = 0;
    for _ in 0..ROUNDS {
        now += Duration::from_millis(20);
        let in_flight = rejections.limit(SLOTS);
        let is_rejected = in_flight > BORNE;
        rejections.record(is_rejected, in_flight - 1, SLOTS, now);
        rejections.tick(SLOTS, now);
        rejected += u32::from(is_rejected);
    }
    // The limit is raised by one a second to find out whether the upstream bears more again.
    assert!(rejected * 20 < ROUNDS, "{rejected} of {ROUNDS}");
}

/// Guards against requests that go to an upstream that rejects them while another one runs them.
#[test]
fn requests_prefer_upstreams_that_do_not_reject_them() {
    let now = Instant::now();
    let mut selector = GateSelector::new(0, "zone-a".into());
    for node in [1, 2] {
        let offers = [service_offer(4, Condition::Healthy, 0.0)];
        selector.set_node(node, &"zone-a".into(), &offers, false);
    }
    let load = Load { slots: 4, mean_latency: Duration::from_millis(400), ..Load::default() };
    selector.record_load(&service(), 1, Load { rejected_share: 0.4, ..load }, now);
    let profile = Profile::default();
    let criteria = GateCriteria {
        profile: &profile,
        idempotent: false,
        degraded: false,
        avoid_gray: true,
        may_queue: true,
        body_bytes: 300,
        excluded: &[],
    };
    let mut rng = Pcg64Mcg::seed_from_u64(SEED);
    // One request waits ahead at the other upstream, which costs less than a likely rejection.
    selector.record_load(&service(), 2, Load { busy: 4, ..load }, now);
    let mut picks = |now| {
        let picked = (0..50).map(|_| selector.pick(&service(), &criteria, now, &mut rng));
        picked.filter(|node| *node == Some(2)).count()
    };
    assert_eq!(picks(now), 50);
    // What was reported long ago no longer counts.
    assert!(picks(now + Duration::from_secs(20)) < 50);
}
