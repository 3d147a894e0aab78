//! Which fields of a known upstream a later announcement may change.

mod support;

use std::time::Duration;

use lavenderflow_core::clock::SharedClock;
use lavenderflow_core::gate::Gate;
use lavenderflow_core::upstream::{AnnouncedPhase, Announcement, AnnouncementRefusal};
use support::{announcement, clock, service};

const UPSTREAM: &str = "upstream";
const LEASE: Duration = Duration::from_secs(30);

fn heartbeat(generation: u64, sequence: u64) -> Announcement {
    let mut heartbeat = announcement(UPSTREAM, 2);
    (heartbeat.generation, heartbeat.sequence) = (generation, sequence);
    (heartbeat.warm_up, heartbeat.lease) = (Some(Duration::ZERO), LEASE);
    heartbeat
}

/// Returns the services that a gate offers, with their slots.
fn offers(gate: &Gate) -> Vec<(String, u32)> {
    let offers = gate.service_offers().into_iter().filter(|offer| offer.slots > 0);
    offers.map(|offer| (offer.service.to_string(), offer.slots)).collect()
}

/// Guards against an upstream that is given requests of a service that it does not run (review case
/// 2), or whose lifetimes are no longer ordered.
#[test]
fn an_announcement_that_contradicts_the_known_upstream_changes_nothing() {
    let foreign = |generation, sequence| Announcement {
        service: "foreign".into(),
        slots: 9,
        ..heartbeat(generation, sequence)
    };
    let elsewhere =
        Announcement { address: ([127, 0, 0, 1], 99).into(), slots: 9, ..heartbeat(5, 4) };
    let leaving = Announcement { phase: AnnouncedPhase::Leaving, ..foreign(5, 4) };
    for (odd, field) in [
        (foreign(5, 4), "service"),
        (foreign(6, 1), "service"),
        (foreign(0, 9), "service"),
        (foreign(4, 1), "service"),
        (leaving, "service"),
        (Announcement { slots: 9, ..heartbeat(0, 9) }, "start time"),
        (elsewhere, "address"),
    ] {
        let clock = clock();
        let mut gate = Gate::new(1, clock.clone() as SharedClock);
        gate.announce(&heartbeat(5, 3)).expect("applied");
        let before = offers(&gate);
        assert_eq!(before, [(service().to_string(), 2)]);
        for _ in 0..5 {
            let refusal = gate.announce(&odd).expect_err(&format!("{odd:?}"));
            assert_eq!(refusal, AnnouncementRefusal::Contradiction(field), "{odd:?}");
            clock.advance(Duration::from_millis(100));
        }
        assert_eq!(offers(&gate), before, "{odd:?}");
        // The upstream's own announcements go on to count.
        gate.announce(&Announcement { slots: 3, ..heartbeat(5, 4) }).expect("applied");
        assert_eq!(offers(&gate), [(service().to_string(), 3)], "{odd:?}");
    }
}

#[test]
fn a_later_lifetime_may_change_the_address_and_an_upstream_that_has_left_its_service() {
    let clock = clock();
    let mut gate = Gate::new(1, clock as SharedClock);
    gate.announce(&heartbeat(5, 3)).expect("applied");
    let moved = Announcement { address: ([127, 0, 0, 1], 99).into(), ..heartbeat(6, 1) };
    gate.announce(&moved).expect("applied");
    let leaving = Announcement { phase: AnnouncedPhase::Deregistered, ..heartbeat(6, 2) };
    gate.announce(&leaving).expect("applied");
    gate.announce(&Announcement { service: "foreign".into(), ..heartbeat(7, 1) }).expect("applied");
    assert_eq!(offers(&gate), [("foreign".to_owned(), 2)]);
}

/// Upstreams without a start time, which the native interface has, may restart at another address.
#[test]
fn upstreams_without_lifetimes_may_change_their_address_but_not_their_service() {
    let clock = clock();
    let mut gate = Gate::new(1, clock as SharedClock);
    gate.announce(&heartbeat(0, 0)).expect("applied");
    let moved = Announcement { address: ([127, 0, 0, 1], 99).into(), ..heartbeat(0, 0) };
    gate.announce(&moved).expect("applied");
    let foreign = Announcement { service: "foreign".into(), ..heartbeat(0, 0) };
    let refusal = gate.announce(&foreign).expect_err("a contradiction");
    assert_eq!(refusal, AnnouncementRefusal::Contradiction("service"));
}
