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
    next.announce(&heartbeat(5, 1)).expect("late, but known to be");
    assert_eq!(slots(&next), 0);
    // A deregistration without a body names no lifetime, and leaves the stored one in force.
    let mut unordered = announcement(UPSTREAM, 2);
    unordered.phase = AnnouncedPhase::Deregistered;
    next.announce(&unordered).expect("applied");
    next.announce(&heartbeat(5, 1)).expect("late, but known to be");
    assert_eq!(slots(&next), 0);
}
