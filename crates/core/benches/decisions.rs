//! Benchmarks of single decisions: `cargo bench -p lavenderflow-core`.

use std::sync::Arc;
use std::time::{Duration, Instant};

use divan::{Bencher, black_box};
use lavenderflow_core::catalog::{Catalog, ConfigItem, Document};
use lavenderflow_core::clock::{ManualClock, SharedClock};
use lavenderflow_core::gate::{Gate, RunResult, ServiceOffer, SlotRequest};
use lavenderflow_core::id::{AttemptId, ServiceName};
use lavenderflow_core::ledger::Ledger;
use lavenderflow_core::load::Condition;
use lavenderflow_core::profile::Profile;
use lavenderflow_core::roster::{Member, Roster};
use lavenderflow_core::route::{Idempotency, Route, Router};
use lavenderflow_core::selector::{GateCriteria, GateSelector};
use lavenderflow_core::ticket::StoredAnswer;
use lavenderflow_core::upstream::{AnnouncedPhase, Announcement};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

const OFFERS_PER_NODE: u64 = 54;

fn main() {
    divan::main();
}

fn clock() -> Arc<ManualClock> {
    Arc::new(ManualClock::new(Instant::now()))
}

fn service(index: u64) -> ServiceName {
    format!("service-{index}").into()
}

fn service_offer(index: u64) -> ServiceOffer {
    ServiceOffer { service: service(index), slots: 4, condition: Condition::Healthy, evidence: 0.0 }
}

fn member(node: u64, version: u64) -> Member {
    let address = ([10, 0, 0, 1], 8080).into();
    Member {
        node,
        incarnation: node,
        version,
        name: format!("vm-{node}"),
        peer_address: address,
        caller_address: address,
        zone: format!("zone-{}", node % 13).into(),
        leaving: false,
        detached: false,
        offers: (0..OFFERS_PER_NODE)
            .map(|i| service_offer((node * OFFERS_PER_NODE + i) % 6400))
            .collect(),
    }
}

/// Selects one of `gates` gates of one service.
#[divan::bench(args = [20, 200, 5000])]
fn choice(bencher: Bencher<'_, '_>, gates: u64) {
    let mut selector = GateSelector::new(1, "zone-1".into());
    for node in 0..gates {
        selector.set_node(node, &format!("zone-{}", node % 13).into(), &[service_offer(1)], false);
    }
    let (service, profile, now) = (service(1), Profile::default(), Instant::now());
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let criteria = GateCriteria {
        profile: &profile,
        idempotent: true,
        degraded: false,
        avoid_gray: false,
        may_queue: false,
        body_bytes: 0,
        excluded: &[],
    };
    bencher.bench_local(|| selector.pick(&service, &criteria, now, &mut rng));
}

/// Recomputes which gates are eligible, as happens every 100 ms per service in use.
#[divan::bench(args = [20, 200, 5000])]
fn review(bencher: Bencher<'_, '_>, gates: u64) {
    let mut selector = GateSelector::new(1, "zone-1".into());
    for node in 0..gates {
        selector.set_node(node, &format!("zone-{}", node % 13).into(), &[service_offer(1)], false);
    }
    let mut now = Instant::now();
    bencher.bench_local(|| {
        now += Duration::from_secs(1);
        selector.refresh_pools(now, |_| 0.6);
    });
}

/// Returns a gate with 54 warmed-up upstreams.
fn warm_gate() -> Gate {
    let clock = clock();
    let mut gate = Gate::new(1, Arc::clone(&clock) as SharedClock);
    for index in 0..OFFERS_PER_NODE {
        let announcement = Announcement {
            id: format!("upstream-{index}").into(),
            service: service(index),
            address: ([127, 0, 0, 1], 9).into(),
            slots: 4,
            phase: AnnouncedPhase::Serving,
            lease: Duration::from_secs(3600),
            warm_up: None,
            generation: 0,
            sequence: 0,
        };
        gate.announce(&announcement).expect("applied");
    }
    clock.advance(Duration::from_secs(10));
    gate.tick();
    gate
}

/// Admits and finishes one request at a gate with 54 upstreams.
#[divan::bench]
fn admission(bencher: Bencher<'_, '_>) {
    let mut gate = warm_gate();
    let mut serial = 0;
    bencher.bench_local(|| {
        serial += 1;
        let attempt = AttemptId { node: 1, incarnation: 1, serial };
        let slot_request = SlotRequest {
            attempt,
            incarnation: 1,
            service: service(serial % OFFERS_PER_NODE),
            long: false,
            idempotent: false,
            queue_timeout: Duration::from_secs(1),
            remaining: Duration::from_secs(2),
            median_latency: Duration::ZERO,
            rank: 0,
            target_latency: None,
            retryable: true,
            degraded: false,
            kind: None,
            gray_tolerance: 1.0,
            organisation: None,
            organisation_rank: 0,
        };
        black_box(gate.submit(slot_request));
        gate.finish(attempt, RunResult::Success)
    });
}

/// Ticks a gate with 54 upstreams, as happens every 20 ms.
#[divan::bench]
fn gate_tick(bencher: Bencher<'_, '_>) {
    let mut gate = warm_gate();
    bencher.bench_local(|| gate.tick());
}

/// Issues, claims and completes one ticket in a ledger of `tickets` tickets.
#[divan::bench(args = [1_000, 250_000])]
fn ticket(bencher: Bencher<'_, '_>, tickets: u64) {
    let now = Instant::now();
    let mut ledger = Ledger::new(1, 1, Duration::from_secs(600), 1 << 23);
    let answer = Arc::new(StoredAnswer { status: 200, headers: vec![], body: "done".into() });
    for request in 0..tickets {
        let ticket = ledger.issue(now);
        ledger.claim(ticket, 1, request);
        ledger.complete(ticket, lavenderflow_core::reason::Outcome::Ran, Some(Arc::clone(&answer)));
    }
    bencher.bench_local(|| {
        let ticket = ledger.issue(now);
        ledger.claim(ticket, 1, 1);
        ledger.complete(ticket, lavenderflow_core::reason::Outcome::Ran, Some(Arc::clone(&answer)))
    });
}

/// Merges a changed record of one node into a roster of `nodes` nodes.
#[divan::bench(args = [240, 2400])]
fn roster_merge(bencher: Bencher<'_, '_>, nodes: u64) {
    let clock = clock();
    let mut roster = Roster::new(clock as SharedClock, member(0, 1));
    roster.merge((1..nodes).map(|node| member(node, 1)).collect(), Vec::new(), 1);
    let mut version = 1;
    bencher
        .with_inputs(|| {
            version += 1;
            member(1 + version % (nodes - 1), version)
        })
        .bench_local_values(|member| roster.merge(vec![member], Vec::new(), 2));
}

/// Merges the record of a new node, which rebuilds the rings.
#[divan::bench(args = [240, 2400])]
fn roster_arrival(bencher: Bencher<'_, '_>, nodes: u64) {
    let clock = clock();
    let mut roster = Roster::new(clock as SharedClock, member(0, 1));
    roster.merge((1..nodes).map(|node| member(node, 1)).collect(), Vec::new(), 1);
    let mut node = nodes;
    bencher
        .with_inputs(|| {
            node += 1;
            member(node, 1)
        })
        .bench_local_values(|member| roster.merge(vec![member], Vec::new(), 2));
}

/// Applies a changed route to a catalog of `routes` routes.
#[divan::bench(args = [7_000, 70_000])]
fn configuration_delta(bencher: Bencher<'_, '_>, routes: u64) {
    let route = |index: u64| Route {
        prefix: format!("/p/{index}"),
        service: service(index % 6400),
        idempotency: Idempotency::ByMethod,
        ..Route::default()
    };
    let document = |index: u64, revision: u64| Document {
        key: format!("routes/r{index}").into(),
        revision,
        text: vec![b'x'; 150].into(),
    };
    let mut catalog = Catalog::default();
    let valid = |item: ConfigItem| Ok::<ConfigItem, std::fmt::Error>(item);
    for index in 0..routes {
        catalog.apply(document(index, 1), valid(ConfigItem::Route(route(index))), None);
    }
    let mut revision = 1;
    bencher.bench_local(|| {
        revision += 1;
        let index = revision % routes;
        catalog.apply(document(index, revision), valid(ConfigItem::Route(route(index))), None)
    });
}

/// Finds the route of one request among 70,000 routes.
#[divan::bench]
fn routing(bencher: Bencher<'_, '_>) {
    let mut router = Router::default();
    for index in 0..70_000 {
        router.insert(Route {
            prefix: format!("/p/{index}"),
            service: service(index % 6400),
            idempotency: Idempotency::ByMethod,
            ..Route::default()
        });
    }
    bencher.bench_local(|| {
        router.find("callers.example", black_box("/p/4711/invoices/7?year=2026")).is_some()
    });
}
