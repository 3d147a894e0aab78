//! Ejection never reduces the eligible capacity below its floor.

mod support;

use lavenderflow_core::clock::SharedClock;
use lavenderflow_core::floor::{Candidate, select};
use lavenderflow_core::load::{Condition, Load};
use lavenderflow_core::profile::Profile;
use lavenderflow_core::reason::Reason;
use lavenderflow_core::request::AttemptReport;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::time::Duration;
use support::{arrival, clock, entry, first_dispatch, member, service, service_offer};

/// Returns a configuration with a fixed seed, so that each run tests the same cases.
fn fixed_seed(cases: u32) -> ProptestConfig {
    ProptestConfig { cases, rng_seed: RngSeed::Fixed(20), ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(fixed_seed(1000))]
    #[test]
    fn selection_keeps_the_capacity_floor_and_all_healthy_gates(
        gates in vec((1_u32..9, any::<bool>(), 0.0_f32..40.0), 1..40),
        floor in 0.0_f64..1.0,
    ) {
        let candidates: Vec<Candidate> = gates
            .iter()
            .map(|(slots, unhealthy, evidence)| Candidate {
                slots: *slots,
                unhealthy: *unhealthy,
                evidence: *evidence,
            })
            .collect();
        let eligible = select(&candidates, floor);
        let total: u32 = candidates.iter().map(|c| c.slots).sum();
        let pairs = || candidates.iter().zip(&eligible);
        let capacity: u32 = pairs().filter(|(_, eligible)| **eligible).map(|(c, _)| c.slots).sum();
        prop_assert!(f64::from(capacity) >= f64::from(total) * floor);
        prop_assert!(pairs().all(|(c, eligible)| c.unhealthy || *eligible));
        // No unhealthy candidate is eligible while one with less evidence is not.
        let worst_eligible = pairs()
            .filter(|(c, eligible)| c.unhealthy && **eligible)
            .map(|(c, _)| c.evidence);
        let best_excluded = pairs().filter(|(_, eligible)| !**eligible).map(|(c, _)| c.evidence);
        let worst_eligible = worst_eligible.fold(0.0, f32::max);
        prop_assert!(best_excluded.fold(f32::MAX, f32::min) >= worst_eligible);
    }
}

/// What an entry can learn about the gates of a service.
#[derive(Clone, Debug)]
enum Event {
    Condition(u64, Condition, f32),
    Expelled(u64, bool),
    Load(Condition, u64),
    Unreachable,
    Lost,
    Served,
    Advance(u64),
}

fn event() -> impl Strategy<Value = Event> {
    let condition =
        || prop_oneof![Just(Condition::Healthy), Just(Condition::Ejected), Just(Condition::Trial)];
    prop_oneof![
        (2_u64..12, condition(), 0.0_f32..30.0).prop_map(|(n, c, e)| Event::Condition(n, c, e)),
        (2_u64..12, any::<bool>()).prop_map(|(n, e)| Event::Expelled(n, e)),
        (condition(), 0_u64..5000).prop_map(|(c, ms)| Event::Load(c, ms)),
        Just(Event::Unreachable),
        Just(Event::Lost),
        Just(Event::Served),
        (0_u64..3000).prop_map(Event::Advance),
    ]
}

proptest! {
    #![proptest_config(fixed_seed(200))]
    #[test]
    fn an_entry_keeps_the_capacity_floor_for_any_events(
        events in vec(event(), 1..120),
        floor in 0.1_f64..0.95,
        seed in any::<u64>(),
    ) {
        const SLOTS: u32 = 4;
        let clock = clock();
        let shared: SharedClock = clock.clone();
        let mut entry = entry(1, 1, &shared, seed);
        let mut profile = Profile::default();
        profile.caution.floor = floor;
        entry.set_profile(&service(), profile);
        let mut members: Vec<_> = (2..12)
            .map(|node| {
                (member(node, node, vec![service_offer(SLOTS, Condition::Healthy, 0.0)]), false)
            })
            .collect();
        members.iter().for_each(|(member, expelled)| entry.set_node(member, *expelled));
        for (request, event) in (1..).zip(events) {
            let report = match event {
                Event::Condition(node, condition, evidence) => {
                    let (member, expelled) = &mut members[node as usize - 2];
                    member.offers = vec![service_offer(SLOTS, condition, evidence)];
                    entry.set_node(member, *expelled);
                    continue;
                }
                Event::Expelled(node, is_expelled) => {
                    let (member, expelled) = &mut members[node as usize - 2];
                    *expelled = is_expelled;
                    entry.set_node(member, is_expelled);
                    continue;
                }
                Event::Advance(ms) => {
                    clock.advance(Duration::from_millis(ms));
                    entry.tick();
                    continue;
                }
                Event::Load(condition, ms) => {
                    let mean_latency = Duration::from_millis(ms);
                    let load = Load {
                        mean_latency,
                        condition,
                        evidence: 20.0,
                        slots: SLOTS,
                        ..Load::default()
                    };
                    AttemptReport::Refused(Reason::QueueFull, Some(load))
                }
                Event::Unreachable => AttemptReport::Unreachable,
                Event::Lost => AttemptReport::Lost(Reason::Lost),
                Event::Served => AttemptReport::Answered { status: 204, load: None, answer: None },
            };
            let mut actions = entry.begin(arrival(request, "GET", None));
            // The eligible gates were just computed for this request.
            for (_, pool) in entry.selector().pools() {
                let total: u32 = pool.gates().map(|(gate, _)| gate.slots).sum();
                let eligible = pool.gates().filter(|(_, eligible)| *eligible);
                let capacity: u32 = eligible.map(|(gate, _)| gate.slots).sum();
                prop_assert!(f64::from(capacity) >= f64::from(total) * floor);
            }
            while first_dispatch(&actions).is_some() {
                actions = entry.report(request, report.clone());
            }
        }
    }
}
