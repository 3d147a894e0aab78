//! Selection of the gate that a request is dispatched to.

mod support;

use std::time::{Duration, Instant};

use lavenderflow_core::load::{Condition, Load};
use lavenderflow_core::profile::Profile;
use lavenderflow_core::selector::{GateCriteria, GateSelector};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use support::{service, service_offer};

const SAME_ZONE_GATE: u64 = 1;
const OTHER_ZONE_GATE: u64 = 2;

/// Returns how many of 100 requests with a body of `body_bytes` bytes go to the full gate in the
/// entry's zone instead of the idle gate in another zone.
fn count_same_zone(body_bytes: u64) -> usize {
    let now = Instant::now();
    let mut selector = GateSelector::new(0, "zone-a".into());
    let offers = [service_offer(4, Condition::Healthy, 0.0)];
    selector.set_node(SAME_ZONE_GATE, &"zone-a".into(), &offers, false);
    selector.set_node(OTHER_ZONE_GATE, &"zone-b".into(), &offers, false);
    let mean_latency = Duration::from_millis(400);
    let load = Load { slots: 4, mean_latency, ..Load::default() };
    // All 4 slots are taken for 400 ms on average, so the next request waits about 100 ms.
    selector.record_load(&service(), SAME_ZONE_GATE, Load { busy: 4, ..load }, now);
    selector.record_load(&service(), OTHER_ZONE_GATE, load, now);
    let profile = Profile::default();
    let criteria = GateCriteria {
        profile: &profile,
        idempotent: false,
        degraded: false,
        avoid_gray: true,
        may_queue: true,
        body_bytes,
        excluded: &[],
    };
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let picks = (0..100).map(|_| selector.pick(&service(), &criteria, now, &mut rng));
    picks.filter(|node| *node == Some(SAME_ZONE_GATE)).count()
}

#[test]
fn small_requests_cross_zones_for_a_free_slot_and_uploads_stay_in_their_zone() {
    assert_eq!(count_same_zone(300), 0);
    assert_eq!(count_same_zone(60_000), 100);
}
