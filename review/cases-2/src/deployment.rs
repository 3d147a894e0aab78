//! Starts the project's program as the deploy file does, with a store and one upstream per node.

use std::fs;
use std::net::{SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::time::Duration;

use lavenderflow_standins::fleet::{free_tcp_port, wait_with_timeout};
use lavenderflow_standins::platform_upstream::{PlatformUpstream, Settings};
use lavenderflow_standins::process::Process;
use lavenderflow_standins::store::StoreStandin;
use serde_json::{Value, json};

use crate::client::Client;

/// Host of all routes.
pub const HOST: &str = "work.example";
/// Memory of a machine where a case names none, in MB.
const MEMORY_MB: u64 = 260;
/// Longest time until all nodes serve.
const START_TIMEOUT: Duration = Duration::from_secs(15);

/// A node with the addresses of its machine.
pub struct Node {
    pub name: String,
    pub outbound: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    pub app: SocketAddr,
    file: PathBuf,
    pub process: Process,
}

/// A running deployment; dropping it ends all of its processes.
pub struct Deployment {
    _store: StoreStandin,
    pub nodes: Vec<Node>,
    pub upstreams: Vec<PlatformUpstream>,
}

/// Returns a configuration with an idempotent, a non-idempotent and an upload route.
pub fn configuration(version: u32, service: &str) -> String {
    let route = |name: &str, prefix: &str, kind: &str, timeout: f64| {
        json!({"resource_type": "routes", "metadata": {"name": name}, "spec": {
            "host": HOST, "path_prefix": prefix, "kind": kind, "timeout_s": timeout,
            "target_latency_s": 0.8, "priority": 1, "service": service, "max_attempts": 2}})
    };
    json!({"version": format!("{version:08x}"), "resources": [
        route("read", "/read/", "idempotent", 2.0),
        route("write", "/write/", "non_idempotent", 2.0),
        route("upload", "/upload/", "upload", 2.0),
        route("download", "/download/", "download", 5.0),
        {"resource_type": "services", "metadata": {"name": service}, "spec": {}},
        {"resource_type": "limits", "metadata": {"name": "limits"}, "spec": {
            "max_header_bytes": 16384, "max_body_bytes": 1_048_576,
            "header_timeout_s": 3, "idle_timeout_s": 15}}
    ]})
    .to_string()
}

impl Deployment {
    /// Starts nodes, each with an upstream, and waits until each serves a request.
    pub fn start(program: &Path, count: usize) -> Self {
        let mut deployment = Self::start_nodes(program, count);
        deployment.upstreams =
            deployment.nodes.iter().map(|node| start_upstream(node, 1)).collect();
        deployment.wait_serving();
        deployment
    }

    /// Starts nodes without upstreams.
    pub fn start_nodes(program: &Path, count: usize) -> Self {
        Self::start_nodes_with(program, count, MEMORY_MB)
    }

    /// Starts nodes without upstreams on machines with this memory.
    pub fn start_nodes_with(program: &Path, count: usize, memory_mb: u64) -> Self {
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let store = StoreStandin::start(address).expect("a store");
        let node = |index| start_node(program, index, memory_mb, store.address());
        let nodes = (0..count).map(node).collect();
        store.write("op/config", &configuration(3, "work"));
        Self { _store: store, nodes, upstreams: Vec::new() }
    }

    /// Waits until each node serves a request.
    pub fn wait_serving(&self) {
        wait_with_timeout("all nodes serve", START_TIMEOUT, || {
            self.nodes.iter().enumerate().all(|(index, node)| {
                let id = format!("start-{index}");
                is_ready(node.ready)
                    && Client::call(node.outbound, "GET", "/read/a", &id) == Some(200)
            })
        })
        .expect("a deployment");
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for node in &self.nodes {
            let _ = fs::remove_file(&node.file);
        }
    }
}

/// Asks a node whether it is ready, as the platform does.
pub fn is_ready(address: SocketAddr) -> bool {
    Client::call(address, "GET", "/lavenderflow/ready", "ready") == Some(200)
}

/// Starts an upstream beside a node; a later lifetime has a higher number.
pub fn start_upstream(node: &Node, lifetime: u64) -> PlatformUpstream {
    PlatformUpstream::start(Settings {
        id: format!("i-{}-{lifetime}", node.name),
        service: "work".to_owned(),
        node: node.control,
        address: node.app,
        slots: 4,
        work: Duration::from_millis(5),
        generation: 1_700_000_000_000 + lifetime * 1000,
    })
    .expect("an upstream")
}

fn start_node(program: &Path, index: usize, memory_mb: u64, store: SocketAddr) -> Node {
    let port = || free_tcp_port().expect("a port");
    let (outbound, ready, control, app, metrics) = (port(), port(), port(), port(), port());
    let first = peer_port();
    let name = format!("sidecar-zone-{index}");
    let settings: Value = json!({
        "node_name": name, "role": "node", "machine_class": "sidecar", "serves": ["sidecar"],
        "ip": "127.0.0.1", "zone": format!("zone-{}", index % 2), "region": "region",
        "listen": {"outbound": outbound.to_string(), "inbound": port().to_string(),
            "ready": ready.to_string(), "control_plane": control.to_string()},
        "internal_ports": [first, first + 1], "seeds": [], "is_first_start": true,
        "limits": {"cpu_share": 0.2, "cores": 1, "memory_mb": memory_mb, "max_fds": 4100,
            "link_mbps": 1000.0, "disk_mb": 0},
        "heartbeat_s": 0.3,
        "bounds": {"contact_s": 3, "drain_s": 2, "grace_s": 6, "retry_budget_ratio": 0.2,
            "budget_extra_retries": 56, "floor_share": 0.7, "config_apply_s": 2},
        "app_address": app.to_string(), "service": "work",
        "platform": {"address": store.to_string(), "form": "kv", "writes_per_s": 400,
            "reads_per_s": 2000, "history_s": 20, "value_bytes": 1_048_576, "ttl_min_s": 1}
    });
    let file = std::env::temp_dir().join(format!("cases-2-{}-{name}.json", std::process::id()));
    fs::write(&file, settings.to_string()).expect("a settings file");
    let process = run(program, &file, metrics);
    Node { name, outbound, ready, control, app, file, process }
}

/// Runs the command of the deploy file. A machine of the platform shows one core, and the program
/// uses one thread there.
fn run(program: &Path, file: &Path, metrics: SocketAddr) -> Process {
    let variables = [
        ("LAVENDERFLOW_NODE_FILE", file.display().to_string()),
        ("LAVENDERFLOW_METRICS", metrics.to_string()),
        ("LAVENDERFLOW_THREADS", "1".to_owned()),
    ];
    Process::start(program, &["platform".to_owned()], &variables).expect("a node")
}

/// Returns a free UDP port whose successor is a free TCP port.
fn peer_port() -> u16 {
    loop {
        let port = free_tcp_port().expect("a port").port() - 1;
        if UdpSocket::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}
