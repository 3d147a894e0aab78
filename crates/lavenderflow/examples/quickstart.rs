//! Runs a small site on one machine: a store stand-in, three nodes in two availability zones and
//! six upstreams.
//!
//! `cargo run --release --example quickstart [-- --seconds N]`

use std::env;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::{Arc, mpsc};
use std::thread;
use std::time::Duration;

use argh::FromArgs;
use lavenderflow::clock::SystemClock;
use lavenderflow::command::{self, keys};
use lavenderflow::error::KeyError;
use lavenderflow::operator::{Assignment, ConfigKind, OperatorClient, OperatorError};
use lavenderflow::store::Store;
use lavenderflow_standins::error::Error as StandinError;
use lavenderflow_standins::fleet::{NodeProcess, NodeSettings, wait_until};
use lavenderflow_standins::store::StoreStandin;
use lavenderflow_standins::upstream::{Settings, UpstreamStandin};
use rustix::process::{Signal, set_parent_process_death_signal};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// Names and availability zones of the nodes.
const NODES: [(&str, &str); 3] = [("vm-1", "zone-a"), ("vm-2", "zone-a"), ("vm-3", "zone-b")];
/// Services; each node has one upstream of each.
const SERVICES: [&str; 2] = ["bookings", "fittings"];

/// A small site on one machine.
#[derive(FromArgs)]
struct Arguments {
    /// stop after this many seconds
    #[argh(option)]
    seconds: Option<u64>,
    /// port of the first node for callers (default: a free one)
    #[argh(option)]
    port: Option<u16>,
}

#[derive(Debug, thiserror::Error)]
enum Error {
    #[error(transparent)]
    Standin(#[from] StandinError),
    #[error(transparent)]
    Key(#[from] KeyError),
    #[error(transparent)]
    Operator(#[from] OperatorError),
    #[error("cannot find this program: {0}")]
    Program(#[from] std::io::Error),
}

fn main() -> ExitCode {
    // The nodes are processes of this program, with `node` as the first argument.
    if env::args().nth(1).as_deref() == Some("node") {
        // The node must also end when this program cannot stop it, as after a kill.
        if let Err(fault) = set_parent_process_death_signal(Some(Signal::KILL)) {
            eprintln!("quickstart: the node may outlast this program: {fault}");
        }
        return command::main();
    }
    match run(&argh::from_env()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("quickstart: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(arguments: &Arguments) -> Result<(), Error> {
    let store = StoreStandin::start(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    configure(&store)?;
    let directory = env::temp_dir().join(format!("lavenderflow-quickstart-{}", std::process::id()));
    keys::generate(&directory, NODES.map(|(name, _)| name))?;
    let nodes = start_nodes(&store, &directory, arguments.port)?;
    let _upstreams = start_upstreams(&nodes)?;
    wait_until("every node knows all gates", || nodes.iter().all(is_configured))?;
    let (stop, stopped) = mpsc::channel();
    let mut signals = Signals::new([SIGINT, SIGTERM])?;
    thread::spawn(move || signals.forever().next().map(|_| stop.send(())));
    print_help(&nodes);
    // Both a signal and the end of the time end the nodes, which are killed when dropped.
    let time = arguments.seconds.map_or(Duration::MAX, Duration::from_secs);
    let _ = stopped.recv_timeout(time);
    drop(nodes);
    let _ = std::fs::remove_dir_all(directory);
    Ok(())
}

fn configure(store: &StoreStandin) -> Result<(), Error> {
    let operator = OperatorClient {
        store: Store::new(store.address()),
        node: None,
        author: "quickstart".to_owned(),
        resolve_timeout: Duration::from_secs(5),
        clock: Arc::new(SystemClock),
    };
    operator.set(
        ConfigKind::Profile,
        "careful",
        &[Assignment::parse("caution.floor_percent=60")?],
    )?;
    for service in SERVICES {
        operator.set(ConfigKind::Service, service, &[Assignment::parse("profile=careful")?])?;
        let prefix = Assignment::parse(&format!("prefix=/{service}"))?;
        let target = Assignment::parse(&format!("service={service}"))?;
        operator.set(ConfigKind::Route, service, &[prefix, target])?;
    }
    Ok(())
}

fn start_nodes(
    store: &StoreStandin,
    keys: &std::path::Path,
    port: Option<u16>,
) -> Result<Vec<NodeProcess>, Error> {
    let program: PathBuf = env::current_exe()?;
    let mut nodes = Vec::new();
    for (name, zone) in NODES {
        let mut settings = NodeSettings::new(name, zone, store.address(), keys)?;
        if let Some(port) = port.filter(|_| nodes.is_empty()) {
            settings.callers.set_port(port);
        }
        nodes.push(NodeProcess::start(&program, settings)?);
    }
    Ok(nodes)
}

fn start_upstreams(nodes: &[NodeProcess]) -> Result<Vec<UpstreamStandin>, Error> {
    let mut upstreams = Vec::new();
    for node in nodes {
        for service in SERVICES {
            let settings = Settings {
                id: format!("{service}-{}", node.settings.name),
                service: service.to_owned(),
                node: node.settings.admin,
                slots: 4,
                work: Duration::from_millis(5),
            };
            upstreams.push(UpstreamStandin::start(settings)?);
        }
    }
    Ok(upstreams)
}

/// Returns whether a node knows the routes and the gates of both services.
fn is_configured(node: &NodeProcess) -> bool {
    let Some(status) = node.status() else { return false };
    let services = status["services"].as_array().cloned().unwrap_or_default();
    let gates = services.iter().filter_map(|service| service["gates"].as_array());
    gates.map(Vec::len).sum::<usize>() == NODES.len() * SERVICES.len()
        && status["revisions"].get("routes/fittings").is_some()
}

fn print_help(nodes: &[NodeProcess]) {
    let first = &nodes[0];
    println!("ready {}", first.url("/bookings"));
    println!();
    println!("curl -i {}", first.url("/bookings/saturday"));
    println!("curl -i -X POST -d yard=7 {}", first.url("/bookings"));
    println!("curl -i -X POST {}", first.url("/.lavenderflow/tickets"));
    println!(
        "curl -i -X POST -H 'Lavenderflow-Ticket: TICKET' -d yard=7 {}",
        first.url("/bookings")
    );
    println!("cargo run --release -p lavenderflow -- status --node {}", first.settings.admin);
}
