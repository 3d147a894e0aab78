//! How entries and gates share what they know about the level of a service.

mod support;

use std::sync::Arc;
use std::time::Duration;

use lavenderflow_core::clock::{Clock, ManualClock, SharedClock};
use lavenderflow_core::fleet_level::{FleetLevel, LevelCounts};
use lavenderflow_core::gate::{Gate, GateAction, RunResult, SlotRequest};
use lavenderflow_core::load::{Condition, Load};
use lavenderflow_core::reason::Reason;
use lavenderflow_core::request::AttemptReport;
use support::{arrival, attempt, clock, entry, first_dispatch, gate, member, service};
use support::{service_offer, slot_request};

const POOR: LevelCounts = LevelCounts { served: 3.0, unserved: 1.0 };
const GOOD: LevelCounts = LevelCounts { served: 4.0, unserved: 0.0 };

/// Returns a non-idempotent offer of an entry that has seen no unserved request.
fn offer(serial: u64) -> SlotRequest {
    let clock: SharedClock = clock();
    let mut entry = entry(1, 1, &clock, 1);
    entry.set_node(&member(2, 1, vec![service_offer(4, Condition::Healthy, 0.0)]), false);
    let actions = entry.begin(arrival(serial, "POST", None));
    let (_, _, incarnation, spec) = first_dispatch(&actions).expect("a dispatch");
    let request = slot_request(attempt(serial), incarnation, &spec);
    SlotRequest { kind: Some(1), gray_tolerance: 0.04, ..request }
}

/// Returns a gate whose upstream is likely gray and due for a trial request.
fn gray_gate(clock: &Arc<ManualClock>) -> Gate {
    let mut gate = gate(1, clock, 4);
    for serial in 1..=4 {
        gate.submit(SlotRequest { gray_tolerance: 1.0, ..offer(serial) });
        gate.finish(attempt(serial), RunResult::ServerError);
    }
    clock.advance(Duration::from_millis(1300));
    gate
}

fn starts(gate: &mut Gate, serial: u64) -> bool {
    let actions = gate.submit(offer(serial));
    actions.iter().any(|action| matches!(action, GateAction::Start { .. }))
}

/// Guards against recovered upstreams whose gate hears only from entries that see no failure.
#[test]
fn a_gate_takes_a_due_trial_request_once_several_entries_report_failures() {
    let clock = clock();
    let mut gate = gray_gate(&clock);
    gate.record_level(11, &service(), POOR);
    assert!(!starts(&mut gate, 10), "one entry alone does not decide");
    gate.record_level(12, &service(), POOR);
    assert!(starts(&mut gate, 11));
    assert!(!starts(&mut gate, 12), "no further one is due");
}

#[test]
fn a_gate_does_not_take_trial_requests_while_the_fleet_serves_its_requests() {
    let clock = clock();
    let mut gate = gray_gate(&clock);
    (11..40).for_each(|entry| gate.record_level(entry, &service(), GOOD));
    gate.record_level(40, &service(), POOR);
    gate.record_level(41, &service(), POOR);
    assert!(!starts(&mut gate, 10), "one in sixty requests is unserved");
    let refused = gate.submit(offer(11));
    assert!(matches!(refused[..], [GateAction::Refuse { reason: Reason::Doubtful, .. }]));
}

/// Guards against entries that do not notice what others lose.
#[test]
fn an_entry_goes_by_what_several_gates_report() {
    let shared: SharedClock = clock();
    let mut entry = entry(1, 1, &shared, 1);
    let mut degraded = Vec::new();
    for gate in [2, 3] {
        entry.set_node(&member(gate, 1, vec![service_offer(4, Condition::Healthy, 0.0)]), false);
        let actions = entry.begin(arrival(gate, "POST", None));
        let (_, _, _, spec) = first_dispatch(&actions).expect("a dispatch");
        degraded.push(spec.degraded);
        assert_eq!(spec.level, LevelCounts::default(), "only what the entry has seen itself");
        let load = Load { level: POOR, ..Load::default() };
        entry.report(gate, AttemptReport::Admitted(load));
        entry.remove_node(gate);
    }
    entry.set_node(&member(4, 1, vec![service_offer(4, Condition::Healthy, 0.0)]), false);
    let actions = entry.begin(arrival(4, "POST", None));
    degraded.push(first_dispatch(&actions).expect("a dispatch").3.degraded);
    assert_eq!(degraded, [false, false, true]);
}

/// Guards against a single node that has a service taken for degraded, or for sound.
#[test]
fn one_node_with_false_counts_does_not_decide() {
    let now = clock().now();
    for wrong in [f32::MAX, 1e9, f32::INFINITY, f32::NAN, -5.0] {
        for counts in [
            LevelCounts { served: 0.0, unserved: wrong },
            LevelCounts { served: wrong, unserved: 0.0 },
        ] {
            for (honest, is_poor) in [(POOR, true), (GOOD, false)] {
                let mut level = FleetLevel::default();
                level.record(1, counts, now);
                (2..6).for_each(|node| level.record(node, honest, now));
                assert_eq!(level.is_sum_strained(now), is_poor, "{counts:?} {honest:?}");
                assert_eq!(level.is_median_degraded(now), is_poor, "{counts:?} {honest:?}");
            }
        }
    }
}

/// Guards against quiet days that pay with more trial requests than gates are offered anyway.
#[test]
fn below_a_tenth_due_trial_requests_are_taken_but_no_more_are_offered() {
    let now = clock().now();
    for (unserved, is_strained, is_degraded) in
        [(0.4, false, false), (0.8, true, false), (1.2, true, true)]
    {
        let mut level = FleetLevel::default();
        (1..6).for_each(|node| {
            level.record(node, LevelCounts { served: 10.0 - unserved, unserved }, now);
        });
        assert_eq!(level.is_sum_strained(now), is_strained, "{unserved}");
        assert_eq!(level.is_median_strained(now), is_strained, "{unserved}");
        assert_eq!(level.is_median_degraded(now), is_degraded, "{unserved}");
    }
}

#[test]
fn reports_lose_their_weight_and_repeated_ones_do_not_add_up() {
    let now = clock().now();
    let mut level = FleetLevel::default();
    for _ in 0..100 {
        (1..4).for_each(|node| level.record(node, POOR, now));
    }
    assert_eq!(level.sum(now), LevelCounts { served: 9.0, unserved: 3.0 });
    let later = now + Duration::from_secs(2);
    assert!((1.0..1.2).contains(&level.sum(later).unserved), "{:?}", level.sum(later));
    assert!(!level.is_sum_strained(now + Duration::from_secs(4)));
}
