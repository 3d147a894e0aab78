//! The order of an upstream's lifetimes, also beyond a restart of its node.

mod support;

use std::time::Duration;

use lavenderflow_core::clock::SharedClock;
use lavenderflow_core::gate::{Gate, GateAction};
use lavenderflow_core::upstream::{
    AnnouncedPhase, Announcement, AnnouncementRefusal, EndedLifetime, Lifetime,
};
use support::{announcement, clock};

const INCARNATION: u64 = 1;
const UPSTREAM: &str = "upstream";

fn heartbeat(generation: u64, sequence: u64) -> Announcement {
    let mut heartbeat = announcement(UPSTREAM, 2);
    (heartbeat.generation, heartbeat.sequence) = (generation, sequence);
    heartbeat.warm_up = Some(Duration::ZERO);
    heartbeat
}

fn leaving(generation: u64, sequence: u64) -> Announcement {
    Announcement { phase: AnnouncedPhase::Leaving, ..heartbeat(generation, sequence) }
}

fn slots(gate: &Gate) -> u32 {
    gate.service_offers().iter().map(|offer| offer.slots).sum()
}

fn stored(actions: &[GateAction]) -> Option<Vec<EndedLifetime>> {
    actions.iter().find_map(|action| match action {
        GateAction::StoreLifetimes(ended) => Some(ended.clone()),
        _ => None,
    })
}

/// Guards against a late heartbeat that a restarted node takes for news from its upstream.
#[test]
fn a_gate_that_awaits_its_lifetimes_accepts_only_leavings() {
    let clock = clock();
    let mut gate = Gate::new(INCARNATION, clock.clone() as SharedClock);
    gate.await_lifetimes(Duration::from_secs(2));
    assert_eq!(gate.announce(&heartbeat(5, 3)), Err(AnnouncementRefusal::Recovering));
    let actions = gate.announce(&leaving(5, 4)).expect("applied");
    assert!(stored(&actions).is_some());
    gate.restore_lifetimes(Vec::new());
    gate.announce(&heartbeat(5, 3)).expect("late, but known to be");
    assert_eq!(slots(&gate), 0);
    gate.announce(&heartbeat(6, 1)).expect("applied");
    assert_eq!(slots(&gate), 2);
}

#[test]
fn a_gate_uses_upstreams_without_its_lifetimes_after_the_timeout() {
    let clock = clock();
    let mut gate = Gate::new(INCARNATION, clock.clone() as SharedClock);
    gate.await_lifetimes(Duration::from_secs(2));
    clock.advance(Duration::from_secs(2));
    gate.announce(&heartbeat(5, 3)).expect("applied");
    assert_eq!(slots(&gate), 2);
    let lifetime = Lifetime { generation: 5, sequence: 4 };
    let actions =
        gate.restore_lifetimes(vec![EndedLifetime { upstream: UPSTREAM.into(), lifetime }]);
    assert!(actions.contains(&GateAction::Publish));
    assert_eq!(slots(&gate), 0, "what was stored still counts");
}

#[test]
fn ended_lifetimes_are_stored_once_and_hold_for_the_next_process() {
    let clock = clock();
    let mut gate = Gate::new(INCARNATION, clock.clone() as SharedClock);
    assert_eq!(stored(&gate.announce(&heartbeat(5, 1)).expect("applied")), None);
    let ended = stored(&gate.announce(&leaving(5, 2)).expect("applied")).expect("stored");
    assert_eq!(stored(&gate.announce(&leaving(5, 3)).expect("applied")), None);
    let mut next = Gate::new(INCARNATION + 1, clock as SharedClock);
    next.await_lifetimes(Duration::from_secs(2));
    next.restore_lifetimes(ended);
    let actions = next.announce(&heartbeat(5, 1)).expect("late, but known to be");
    assert_eq!((slots(&next), stored(&actions)), (0, None));
    // A deregistration without a body names no lifetime, and leaves the stored one in force.
    let mut unordered = announcement(UPSTREAM, 2);
    unordered.phase = AnnouncedPhase::Deregistered;
    next.announce(&unordered).expect("applied");
    next.announce(&heartbeat(5, 1)).expect("late, but known to be");
    assert_eq!(slots(&next), 0);
}

/// Interval between the announcements of an upstream, a twentieth of its lease.
const INTERVAL: Duration = Duration::from_millis(1500);

fn with_lease(announcement: Announcement) -> Announcement {
    Announcement { lease: INTERVAL * 20, ..announcement }
}

/// Guards against a leaving that is acknowledged and ignored, because the time of day went back
/// between the starts of two lifetimes.
#[test]
fn a_lifetime_with_an_earlier_start_time_takes_over_and_leaves() {
    for is_same_id in [true, false] {
        let clock = clock();
        let mut gate = Gate::new(INCARNATION, clock.clone() as SharedClock);
        gate.announce(&with_lease(heartbeat(7, 2))).expect("applied");
        let next = |announcement: Announcement| {
            let id = if is_same_id { UPSTREAM } else { "next" };
            with_lease(Announcement { id: id.into(), ..announcement })
        };
        let mut sequence = 1;
        while gate.announce(&next(heartbeat(6, sequence))).is_err() {
            clock.advance(INTERVAL);
            sequence += 1;
            assert!(sequence <= 4, "not applied after {sequence} heartbeats");
        }
        assert_eq!(slots(&gate), 2);
        gate.announce(&next(leaving(6, sequence + 1))).expect("applied");
        assert_eq!(slots(&gate), 0);
        gate.announce(&with_lease(heartbeat(7, 3))).expect("late, but known to be");
        gate.announce(&next(heartbeat(6, sequence))).expect("late, but known to be");
        assert_eq!(slots(&gate), 0);
    }
}

/// Guards against the same where the earlier lifetime had left before the time of day went back.
#[test]
fn a_lifetime_with_an_earlier_start_time_than_one_that_left_is_used() {
    let clock = clock();
    let mut gate = Gate::new(INCARNATION, clock.clone() as SharedClock);
    gate.announce(&with_lease(heartbeat(7, 2))).expect("applied");
    gate.announce(&with_lease(leaving(7, 3))).expect("applied");
    for sequence in 1..=3 {
        // Refused until it is clear that the announcement is not late.
        let _ = gate.announce(&with_lease(heartbeat(6, sequence)));
        clock.advance(INTERVAL);
    }
    assert_eq!(slots(&gate), 2);
}

#[test]
fn late_announcements_of_an_earlier_lifetime_do_not_take_over() {
    let clock = clock();
    let mut gate = Gate::new(INCARNATION, clock.clone() as SharedClock);
    for sequence in 1..=8 {
        gate.announce(&with_lease(heartbeat(7, sequence))).expect("applied");
        clock.advance(INTERVAL / 2);
        for late in [heartbeat(6, sequence), leaving(6, sequence)] {
            assert_eq!(
                gate.announce(&with_lease(late)),
                Err(AnnouncementRefusal::Unconfirmed),
                "what was not applied must not be acknowledged"
            );
        }
        clock.advance(INTERVAL / 2);
        assert_eq!(slots(&gate), 2);
    }
    // Some that arrive together say nothing about how long their lifetime lasts.
    clock.advance(INTERVAL * 4);
    for sequence in 10..20 {
        assert!(gate.announce(&with_lease(heartbeat(5, sequence))).is_err());
    }
}

fn deregistration() -> Announcement {
    Announcement { phase: AnnouncedPhase::Deregistered, ..heartbeat(0, 0) }
}

/// Guards against work for an upstream that deregistered right after its node had restarted, and
/// whose heartbeats go on.
#[test]
fn an_unknown_upstream_that_deregisters_without_an_order_gets_no_work() {
    let clock = clock();
    let mut gate = Gate::new(INCARNATION, clock.clone() as SharedClock);
    gate.await_lifetimes(Duration::from_secs(2));
    let ended = stored(&gate.announce(&deregistration()).expect("applied")).expect("stored");
    gate.restore_lifetimes(Vec::new());
    for generation in [0, 5] {
        gate.announce(&heartbeat(generation, 8)).expect("late");
        assert_eq!(slots(&gate), 0);
    }
    // It holds for the next process of the node as well.
    let mut next = Gate::new(INCARNATION + 1, clock.clone() as SharedClock);
    next.restore_lifetimes(ended);
    for gate in [&mut gate, &mut next] {
        gate.announce(&heartbeat(5, 9)).expect("late");
        assert_eq!(slots(gate), 0);
        // A later lifetime may have the id again.
        clock.advance(Duration::from_secs(31));
        gate.tick();
        gate.announce(&heartbeat(0, 1)).expect("applied");
        assert_eq!(slots(gate), 2);
    }
}

#[test]
fn a_deregistration_without_an_order_leaves_a_known_end_as_it_is() {
    let clock = clock();
    let mut gate = Gate::new(INCARNATION, clock.clone() as SharedClock);
    gate.announce(&heartbeat(0, 4)).expect("applied");
    gate.announce(&leaving(0, 5)).expect("applied");
    gate.announce(&deregistration()).expect("applied");
    gate.announce(&heartbeat(0, 5)).expect("late");
    assert_eq!(slots(&gate), 0);
    gate.announce(&heartbeat(0, 6)).expect("applied");
    assert_eq!(slots(&gate), 2);
}

/// Guards against an end without an order that holds up a sound upstream after each restart of its
/// node.
#[test]
fn an_end_without_an_order_is_forgotten_in_the_store_as_well() {
    let clock = clock();
    let mut gate = Gate::new(INCARNATION, clock.clone() as SharedClock);
    let ended = stored(&gate.announce(&deregistration()).expect("applied")).expect("stored");
    clock.advance(Duration::from_secs(31));
    let ended = stored(&gate.tick()).unwrap_or(ended);
    gate.announce(&heartbeat(7, 1)).expect("applied");
    assert_eq!(slots(&gate), 2);
    let mut next = Gate::new(INCARNATION + 1, clock as SharedClock);
    next.restore_lifetimes(ended);
    next.announce(&heartbeat(7, 2)).expect("applied");
    assert_eq!(slots(&next), 2);
}
