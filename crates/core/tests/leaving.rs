//! An upstream that leaves gets no further work, however it says so.

mod support;

use std::time::Duration;

use lavenderflow_core::gate::{GateAction, RateSignal, SlotRequest, UpstreamSignals};
use lavenderflow_core::reason::Reason;
use lavenderflow_core::upstream::AnnouncedPhase;
use support::{announcement, attempt, clock, gate, service};

const INCARNATION: u64 = 1;
const LEAVING: UpstreamSignals = UpstreamSignals { rate: RateSignal::Unlimited, leaving: true };

fn request(serial: u64) -> SlotRequest {
    SlotRequest {
        attempt: attempt(serial),
        incarnation: INCARNATION,
        service: service(),
        long: false,
        idempotent: false,
        queue_timeout: Duration::from_secs(1),
        remaining: Duration::from_secs(3),
        median_latency: Duration::ZERO,
        rank: 0,
        target_latency: None,
        retryable: false,
        degraded: false,
        kind: Some(1),
        gray_tolerance: 1.0,
        organisation: None,
        organisation_rank: 0,
    }
}

fn is_started(actions: &[GateAction]) -> bool {
    actions.iter().any(|action| matches!(action, GateAction::Start { .. }))
}

#[test]
fn a_response_that_says_leaving_outweighs_later_heartbeats_of_the_same_lifetime() {
    let clock = clock();
    let mut gate = gate(INCARNATION, &clock, 0);
    let mut heartbeat = announcement("other", 2);
    (heartbeat.generation, heartbeat.sequence) = (5, 1);
    // An upstream that announces its warm-up can use all of its slots meanwhile.
    heartbeat.warm_up = Some(Duration::ZERO);
    gate.announce(&heartbeat).expect("applied");
    assert!(is_started(&gate.submit(request(1))));
    let actions = gate.observe_signals(attempt(1), LEAVING);
    assert!(actions.contains(&GateAction::ReportLeaving { upstream: "other".into() }));
    assert!(actions.contains(&GateAction::Publish), "the other nodes learn it at once");
    assert_eq!(gate.observe_signals(attempt(1), LEAVING), []);
    heartbeat.sequence = 2;
    gate.announce(&heartbeat).expect("applied");
    let refused = gate.submit(request(2));
    assert!(
        matches!(refused[..], [GateAction::Refuse { reason: Reason::Leaving, .. }]),
        "{refused:?}"
    );
    (heartbeat.generation, heartbeat.sequence) = (6, 1);
    gate.announce(&heartbeat).expect("applied");
    assert!(is_started(&gate.submit(request(3))), "a later lifetime serves");
}

#[test]
fn requests_that_wait_at_an_upstream_that_leaves_are_refused_at_once() {
    for says_so_in_response in [true, false] {
        let clock = clock();
        let mut gate = gate(INCARNATION, &clock, 1);
        assert!(is_started(&gate.submit(request(1))));
        assert_eq!(gate.submit(request(2)), []);
        let actions = if says_so_in_response {
            gate.observe_signals(attempt(1), LEAVING)
        } else {
            let mut leaving = announcement("upstream", 1);
            leaving.phase = AnnouncedPhase::Leaving;
            gate.announce(&leaving).expect("applied")
        };
        let refused = actions.iter().find_map(|action| match action {
            GateAction::Refuse { attempt, reason, .. } => Some((*attempt, *reason)),
            _ => None,
        });
        assert_eq!(refused, Some((attempt(2), Reason::Leaving)));
    }
}
