//! Measures the growth rates for `docs/CAPACITY.md`: memory of a node, and CPU time and traffic of
//! the control plane by the size of the fleet.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use argh::FromArgs;
use lavenderflow::clock::SystemClock;
use lavenderflow::operator::{Assignment, ConfigKind, OperatorClient};
use lavenderflow::store::Store;
use lavenderflow_core::catalog::{Catalog, ConfigItem, Document};
use lavenderflow_core::clock::SharedClock;
use lavenderflow_core::gate::ServiceOffer;
use lavenderflow_core::load::Condition;
use lavenderflow_core::roster::{Member, Roster};
use lavenderflow_core::selector::GateSelector;
use lavenderflow_schema::convert::ConvertError;
use lavenderflow_schema::convert::configuration;
use lavenderflow_standins::fleet::wait_until;
use lavenderflow_standins::proxy::UdpProxy;

use crate::error::Error;
use crate::scenario::{Scenario, Service};
use crate::site::Site;

/// The planned size of the deployment.
const PLANNED_NODES: u64 = 2400;
const PLANNED_SERVICES: u64 = 6400;
const PLANNED_OFFERS_PER_NODE: u64 = 54;
const PLANNED_ROUTES: u64 = 70_000;
const PLANNED_ORGANISATIONS: u64 = 780_000;
/// Shares of the planned size at which memory is measured.
const SHARES_PERCENT: [u64; 3] = [10, 50, 100];
/// Length of each measurement with processes.
const MEASURE_TIME: Duration = Duration::from_secs(10);
/// Number of configuration changes over which the cost of a change is averaged.
const CHANGE_COUNT: u32 = 20;

/// measure the memory of a node, and the cost of the control plane
#[derive(FromArgs)]
#[argh(subcommand, name = "capacity")]
pub struct Arguments {
    /// numbers of nodes to run as processes, separated by commas (default 10,25,50)
    #[argh(option, default = "String::from(\"10,25,50\")")]
    nodes: String,
}

/// Runs the measurements and prints tables of the results.
pub fn run(arguments: &Arguments) -> Result<(), Error> {
    print_memory();
    println!(
        "\n| nodes | idle: core % | idle: bytes/s | memory MB | per change: bytes | per change: core ms | per change: store calls | change everywhere ms |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for count in arguments.nodes.split(',').filter_map(|text| text.trim().parse().ok()) {
        measure_fleet(count)?;
    }
    Ok(())
}

/// Prints the memory per record, for each kind of record and share of the planned size.
fn print_memory() {
    println!("| records | share % | count | bytes each |\n| --- | --- | --- | --- |");
    for share in SHARES_PERCENT {
        let nodes = PLANNED_NODES * share / 100;
        print_row("members in the roster", share, nodes, || roster(nodes));
        print_row("members in the selector", share, nodes, || selector(nodes));
        let routes = PLANNED_ROUTES * share / 100;
        print_row("routes in the catalog", share, routes, || catalog(routes, route));
        let services = PLANNED_SERVICES * share / 100;
        print_row("services in the catalog", share, services, || catalog(services, service));
        let organisations = PLANNED_ORGANISATIONS * share / 100;
        print_row("organisations in the catalog", share, organisations, || {
            catalog(organisations, organisation)
        });
    }
}

fn print_row<T>(name: &str, share: u64, count: u64, make: impl FnOnce() -> T) {
    let before = crate::ALLOCATOR.current_usage();
    let made = make();
    let used = crate::ALLOCATOR.current_usage() - before;
    println!("| {name} | {share} | {count} | {} |", used as u64 / count.max(1));
    drop(made);
}

fn member(node: u64) -> Member {
    let offers = (0..PLANNED_OFFERS_PER_NODE).map(|index| ServiceOffer {
        service: format!("service-{}", (node * PLANNED_OFFERS_PER_NODE + index) % PLANNED_SERVICES)
            .into(),
        slots: 4,
        condition: Condition::Healthy,
        evidence: 0.0,
    });
    let address = SocketAddr::from(([10, 0, 0, 1], 8080));
    Member {
        node,
        incarnation: node,
        version: 1,
        name: format!("vm-{node}"),
        peer_address: address,
        caller_address: address,
        zone: format!("zone-{}", node % 13).into(),
        leaving: false,
        detached: false,
        offers: offers.collect(),
    }
}

fn roster(count: u64) -> Roster {
    let clock: SharedClock = Arc::new(SystemClock);
    let mut roster = Roster::new(clock, member(0));
    roster.merge((1..count).map(member).collect(), Vec::new(), 1);
    roster
}

fn selector(count: u64) -> GateSelector {
    let mut selector = GateSelector::new(1, "zone-1".into());
    for member in (0..count).map(member) {
        selector.set_node(member.node, &member.zone, &member.offers, false);
    }
    selector
}

fn catalog(count: u64, text: impl Fn(u64) -> (String, String)) -> Catalog {
    let mut catalog = Catalog::default();
    for index in 0..count {
        let (key, text) = text(index);
        let document = Document { key: key.into(), revision: 1, text: text.as_bytes().into() };
        let checked: Result<ConfigItem, ConvertError> = configuration::validate(&document);
        catalog.apply(document, checked, None);
    }
    catalog
}

fn route(index: u64) -> (String, String) {
    let text = format!(
        r#"{{"revision":1,"author":"capacity","route":{{"name":"r{index}","prefix":"/p/{index}","service":"service-{}","idempotent":"auto","long":false}}}}"#,
        index % PLANNED_SERVICES
    );
    (format!("routes/r{index}"), text)
}

fn service(index: u64) -> (String, String) {
    let text = format!(
        r#"{{"revision":1,"author":"capacity","service":{{"name":"s{index}","profile":"default"}}}}"#
    );
    (format!("services/s{index}"), text)
}

fn organisation(index: u64) -> (String, String) {
    let text = format!(
        r#"{{"revision":1,"author":"capacity","organisation":{{"name":"o{index}","concurrency":100}}}}"#
    );
    (format!("organisations/o{index}"), text)
}

/// Resources that all nodes together have used so far.
struct Usage {
    cpu_time: Duration,
    bytes: u64,
    calls: u64,
}

fn total_usage(site: &Site) -> Result<Usage, Error> {
    let cpu_time = site.nodes.iter().filter_map(|node| node.cpu_time()).sum();
    let bytes: Result<u64, _> = site.proxies.iter().map(UdpProxy::forwarded_bytes).sum();
    Ok(Usage { cpu_time, bytes: bytes?, calls: site.store.call_count()? })
}

/// Measures a fleet of processes, first idle and then during changes of the configuration.
fn measure_fleet(count: usize) -> Result<(), Error> {
    let zones = (0..5).map(|zone| format!("zone-{zone}")).collect();
    let service =
        Service { name: "work".to_owned(), upstreams: count, slots: 4, profile: Vec::new() };
    let site = Site::start(&Scenario {
        name: "capacity".to_owned(),
        zones,
        cross_ms: 0.0,
        services: vec![service],
        phases: Vec::new(),
        kinds: Vec::new(),
        faults: Vec::new(),
        callers: 0,
    })?;
    // The membership converges within a few rounds of gossip.
    thread::sleep(Duration::from_secs(5));
    let before = total_usage(&site)?;
    thread::sleep(MEASURE_TIME);
    let idle = total_usage(&site)?;
    let per_second = |value: f64| value / MEASURE_TIME.as_secs_f64() / count as f64;
    let idle_core = per_second((idle.cpu_time - before.cpu_time).as_secs_f64()) * 100.0;
    let idle_bytes = per_second((idle.bytes - before.bytes) as f64);
    let propagation = time_one_change(&site)?;
    let end = Instant::now() + MEASURE_TIME;
    let before_changes = total_usage(&site)?;
    let started = Instant::now();
    make_changes(&site)?;
    thread::sleep(end.saturating_duration_since(Instant::now()));
    let after = total_usage(&site)?;
    let seconds = started.elapsed().as_secs_f64();
    let per_change = |value: f64| value / f64::from(CHANGE_COUNT) / count as f64;
    let bytes = (after.bytes - before_changes.bytes) as f64;
    let bytes = per_change(bytes - idle_bytes * seconds * count as f64);
    let cpu_time = (after.cpu_time - before_changes.cpu_time).as_secs_f64();
    let cpu_time = per_change(cpu_time - idle_core / 100.0 * seconds * count as f64) * 1000.0;
    let calls = (after.calls - before_changes.calls) as f64 / f64::from(CHANGE_COUNT);
    let memory: u64 = site.nodes.iter().filter_map(|node| node.resident_bytes()).sum();
    let memory = memory as f64 / 1024.0 / 1024.0 / count as f64;
    println!(
        "| {count} | {idle_core:.2} | {idle_bytes:.0} | {memory:.1} | {bytes:.0} | {cpu_time:.2} | {calls:.1} | {} |",
        propagation.as_millis()
    );
    Ok(())
}

fn operator(site: &Site) -> OperatorClient {
    OperatorClient {
        store: Store::new(site.store.address()),
        node: None,
        author: "capacity".to_owned(),
        resolve_timeout: Duration::from_secs(5),
        clock: Arc::new(SystemClock),
    }
}

/// Makes one change and returns the time until it is active on every node.
fn time_one_change(site: &Site) -> Result<Duration, Error> {
    let field = [Assignment::parse("patience.queue_ms=400")?];
    let change = operator(site).set(ConfigKind::Profile, "work", &field)?;
    let started = Instant::now();
    wait_until("the change is everywhere", || {
        site.nodes.iter().all(|node| {
            let status = node.status();
            let revision = status.as_ref().and_then(|s| s["revisions"]["profiles/work"].as_u64());
            revision == Some(change.revision())
        })
    })?;
    Ok(started.elapsed())
}

fn make_changes(site: &Site) -> Result<(), Error> {
    let operator = operator(site);
    for number in 0..CHANGE_COUNT {
        let field = [Assignment::parse(&format!("patience.queue_ms={}", 300 + number))?];
        operator.set(ConfigKind::Profile, "work", &field)?;
        thread::sleep(MEASURE_TIME / CHANGE_COUNT / 2);
    }
    Ok(())
}
