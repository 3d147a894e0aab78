//! Entries, gates, records and requests for tests, with a manual clock.

#![allow(dead_code)]

pub mod allowance_fleet;
pub mod simulation;

use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use lavenderflow_core::clock::{ManualClock, SharedClock};
use lavenderflow_core::entry::{Entry, Identity, TicketLimits};
use lavenderflow_core::gate::{Gate, ServiceOffer, SlotRequest};
use lavenderflow_core::id::{AttemptId, Incarnation, NodeId, RequestId, ServiceName, TicketId};
use lavenderflow_core::load::Condition;
use lavenderflow_core::profile::Profile;
use lavenderflow_core::request::{Arrival, AttemptSpec, EntryAction};
use lavenderflow_core::roster::Member;
use lavenderflow_core::route::{Idempotency, Route, Router};
use lavenderflow_core::upstream::{AnnouncedPhase, Announcement};

pub const SERVICE_NAME: &str = "numbering";

/// Returns a clock that starts at the same time in the whole process, so that states with instants
/// can be compared.
pub fn clock() -> Arc<ManualClock> {
    static START: OnceLock<Instant> = OnceLock::new();
    Arc::new(ManualClock::new(*START.get_or_init(Instant::now)))
}

pub fn service() -> ServiceName {
    SERVICE_NAME.into()
}

pub fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

pub fn service_offer(slots: u32, condition: Condition, evidence: f32) -> ServiceOffer {
    ServiceOffer { service: service(), slots, condition, evidence }
}

pub fn member(node: NodeId, incarnation: Incarnation, offers: Vec<ServiceOffer>) -> Member {
    Member {
        node,
        incarnation,
        version: 1,
        name: format!("vm-{node}"),
        // Each node has its own address, since a node with the address of another one replaces it.
        peer_address: address(1000 + node as u16),
        caller_address: address(2),
        zone: "zone-a".into(),
        leaving: false,
        detached: false,
        offers,
    }
}

pub fn router() -> Router {
    let mut router = Router::default();
    let route = Route {
        prefix: "/".to_owned(),
        service: service(),
        idempotency: Idempotency::ByMethod,
        ..Route::default()
    };
    router.insert(route);
    router
}

pub fn entry(node: NodeId, incarnation: Incarnation, clock: &SharedClock, seed: u64) -> Entry {
    let identity = Identity { node, incarnation, zone: "zone-a".into() };
    let limits = TicketLimits { retention: Duration::from_secs(600), answer_bytes: 1 << 20 };
    let mut entry = Entry::new(identity, limits, Arc::clone(clock), seed);
    entry.set_router(router());
    entry.set_profile(&service(), Profile::default());
    entry
}

pub fn announcement(id: &str, slots: u32) -> Announcement {
    Announcement {
        id: id.into(),
        service: service(),
        address: address(9),
        slots,
        phase: AnnouncedPhase::Serving,
        lease: Duration::from_secs(3600),
        warm_up: None,
        generation: 0,
        sequence: 0,
    }
}

/// Creates a gate with one warm upstream.
pub fn gate(incarnation: Incarnation, clock: &Arc<ManualClock>, slots: u32) -> Gate {
    let mut gate = Gate::new(incarnation, Arc::clone(clock) as SharedClock);
    gate.set_profile(&service(), Profile::default());
    gate.announce(&announcement("upstream", slots)).expect("applied");
    clock.advance(Duration::from_secs(10));
    gate.tick();
    gate
}

pub fn arrival(request: RequestId, method: &str, ticket: Option<TicketId>) -> Arrival {
    Arrival {
        request,
        method: method.to_owned(),
        target: "/invoices".to_owned(),
        host: "callers.example".to_owned(),
        organisation: None,
        key: None,
        ticket,
        body_length: Some(0),
        body_buffered: true,
        fingerprint: 7,
        timeout: None,
        in_progress: false,
        forwarded: false,
    }
}

pub fn slot_request(
    attempt: AttemptId,
    incarnation: Incarnation,
    spec: &AttemptSpec,
) -> SlotRequest {
    SlotRequest {
        attempt,
        incarnation,
        service: spec.service.clone(),
        long: spec.long,
        idempotent: spec.idempotent,
        queue_timeout: spec.queue_timeout,
        remaining: spec.remaining,
        median_latency: spec.median_latency,
        rank: spec.rank,
        target_latency: spec.target_latency,
        retryable: spec.retryable,
        degraded: spec.degraded,
        kind: spec.kind,
        gray_tolerance: spec.gray_tolerance,
        organisation: spec.organisation.clone().filter(|_| spec.organisation_known),
        organisation_rank: spec.organisation_rank,
    }
}

pub fn attempt(serial: u64) -> AttemptId {
    AttemptId { node: 1, incarnation: 1, serial }
}

/// Returns the first dispatch among the actions.
pub fn first_dispatch(
    actions: &[EntryAction],
) -> Option<(AttemptId, NodeId, Incarnation, AttemptSpec)> {
    actions.iter().find_map(|action| match action {
        EntryAction::Dispatch { attempt, gate, incarnation, spec, .. } => {
            Some((*attempt, *gate, *incarnation, spec.clone()))
        }
        _ => None,
    })
}
