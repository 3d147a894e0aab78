//! Starts nodes in platform mode as processes, with a store stand-in and one upstream per VM.

use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::Receiver;
use std::time::Duration;

use lavenderflow_standins::fleet::{free_tcp_port, wait_until};
use lavenderflow_standins::platform_upstream::{PlatformUpstream, Settings};
use lavenderflow_standins::process::Process;
use lavenderflow_standins::store::StoreStandin;
use lavenderflow_standins::tcp_proxy::TcpProxy;
use serde_json::{Value, json};

use super::binary;
use super::caller::{Caller, HOST, Response};

static NEXT_DEPLOYMENT: AtomicU32 = AtomicU32::new(0);

/// A VM: its node, and the addresses of the node and of the upstream.
pub struct Vm {
    pub name: String,
    pub outbound: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    pub upstream: SocketAddr,
    /// Address at which only this VM's node calls the store.
    pub store: SocketAddr,
    pub settings_file: PathBuf,
    pub process: Process,
}

/// A running deployment; dropping it stops all its processes and threads.
pub struct Deployment {
    pub store: StoreStandin,
    pub vms: Vec<Vm>,
    pub upstreams: Vec<PlatformUpstream>,
    /// Proxies through which the nodes reach the store, if any.
    pub store_proxies: Vec<TcpProxy>,
    version: u32,
}

/// Returns a configuration that routes `/read/` (idempotent) and `/write/` (non-idempotent) to
/// these services.
pub fn configuration_json(version: u32, read: &str, write: &str) -> String {
    let route = |name: &str, prefix: &str, kind: &str, service: &str| {
        json!({"resource_type": "routes", "metadata": {"name": name}, "spec": {
            "host": HOST, "path_prefix": prefix, "kind": kind, "timeout_s": 2.0,
            "target_latency_s": 0.8, "priority": 1, "service": service, "max_attempts": 2}})
    };
    json!({"version": format!("{version:08x}"), "resources": [
        route("read", "/read/", "idempotent", read),
        route("write", "/write/", "non_idempotent", write),
        {"resource_type": "limits", "metadata": {}, "spec": {
            "max_header_bytes": 16384, "max_body_bytes": 1_048_576,
            "header_timeout_s": 3, "idle_timeout_s": 15}}
    ]})
    .to_string()
}

impl Deployment {
    /// Starts VMs whose upstreams offer the service `work`, and waits until all nodes are ready.
    pub fn start(count: usize) -> Self {
        let mut deployment = Self::start_unconfigured(count);
        deployment.configure("work", "work");
        deployment.wait_ready();
        deployment
    }

    /// Starts VMs without a configuration.
    pub fn start_unconfigured(count: usize) -> Self {
        Self::start_with_bound(count, 2)
    }

    /// Starts VMs with `limits` in the settings file of each node, and waits until all are ready.
    pub fn start_limited(count: usize, limits: Value) -> Self {
        let mut deployment = Self::start_with(count, 2, false, limits);
        deployment.configure("work", "work");
        deployment.wait_ready();
        deployment
    }

    /// Starts VMs without a configuration; `apply_seconds` is the bound within which a change of
    /// the configuration must take effect.
    pub fn start_with_bound(count: usize, apply_seconds: u32) -> Self {
        Self::start_with(count, apply_seconds, false, json!({}))
    }

    /// Starts VMs whose nodes reach the store through proxies, and waits until all nodes are ready.
    pub fn start_behind_proxies(count: usize) -> Self {
        let mut deployment = Self::start_with(count, 2, true, json!({}));
        deployment.configure("work", "work");
        deployment.wait_ready();
        deployment
    }

    fn start_with(count: usize, apply_seconds: u32, is_proxied: bool, limits: Value) -> Self {
        let store = StoreStandin::start(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a store");
        let addresses = (0..count).map(|_| store.listen().expect("an address"));
        let addresses: Vec<SocketAddr> = addresses.collect();
        let start_proxy = |address: &SocketAddr| TcpProxy::start(*address).expect("a proxy");
        let store_proxies: Vec<TcpProxy> =
            if is_proxied { addresses.iter().map(start_proxy).collect() } else { Vec::new() };
        let number = NEXT_DEPLOYMENT.fetch_add(1, Ordering::Relaxed);
        let vms: Vec<Vm> = (0..count)
            .map(|index| {
                let address = store_proxies.get(index).map_or(addresses[index], TcpProxy::address);
                start_vm(&format!("vm-{number}-{index}"), index, address, apply_seconds, &limits)
            })
            .collect();
        let upstreams =
            vms.iter().map(|vm| start_upstream(vm, 1, Duration::from_millis(5))).collect();
        Self { store, vms, upstreams, store_proxies, version: 0 }
    }

    /// Writes a newer version of the configuration; version numbers need not be consecutive.
    pub fn configure(&mut self, read: &str, write: &str) {
        self.version += 3;
        self.store.write("op/config", &configuration_json(self.version, read, write));
    }

    pub fn wait_ready(&self) {
        wait_until("all nodes are ready and know all upstreams", || {
            self.vms.iter().all(|vm| is_ready(vm.ready) && gate_count(vm) == self.vms.len())
        })
        .expect("a deployment");
    }

    pub fn call(&self, vm: usize, method: &str, path: &str, id: &str) -> Option<Response> {
        let mut caller = Caller::connect(self.vms[vm].outbound).ok()?;
        caller.request(method, path, id, b"")
    }

    /// Restarts the node of a VM with the same settings.
    pub fn restart(&mut self, vm: usize) {
        let vm = &mut self.vms[vm];
        vm.process = start_node(&vm.settings_file);
    }

    /// Restarts the node of a VM and returns the receiver of its log lines.
    pub fn restart_logged(&mut self, vm: usize) -> Receiver<String> {
        let vm = &mut self.vms[vm];
        vm.process.kill().expect("a node");
        let arguments = ["platform".to_owned()];
        let started = Process::start_logged(binary(), &arguments, &environment(&vm.settings_file));
        let (process, lines) = started.expect("a node");
        vm.process = process;
        lines
    }

    /// Returns how often each request was run, by request id, over all upstreams.
    pub fn run_counts(&self) -> BTreeMap<String, u32> {
        let mut runs = BTreeMap::new();
        for upstream in &self.upstreams {
            for (id, record) in upstream.requests().expect("an upstream") {
                *runs.entry(id).or_default() += record.run_count;
            }
        }
        runs
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for vm in &self.vms {
            let _ = std::fs::remove_file(&vm.settings_file);
        }
    }
}

/// Sends a readiness probe, as the platform does.
pub fn is_ready(address: SocketAddr) -> bool {
    let Ok(mut caller) = Caller::connect(address) else { return false };
    let sent = caller.send(b"GET /lavenderflow/ready HTTP/1.1\r\nHost: node\r\n\r\n");
    sent.is_ok() && caller.read().is_some_and(|response| response.status == 200)
}

/// Returns a page of a node's interface for operators.
pub fn admin_get(vm: &Vm, path: &str) -> Option<String> {
    let call = ureq::get(format!("http://{}{path}", admin_address(vm)));
    let call = call.config().timeout_global(Some(Duration::from_secs(2))).build();
    call.call().ok()?.body_mut().read_to_string().ok()
}

/// Returns how many gates of the service `work` a node knows.
fn gate_count(vm: &Vm) -> usize {
    let status = status(vm);
    let services = status["services"].as_array().cloned().unwrap_or_default();
    let own = services.iter().find(|service| service["name"] == "work");
    own.and_then(|service| service["gates"].as_array().map(Vec::len)).unwrap_or(0)
}

/// Returns the status of a node; null if it does not respond.
pub fn status(vm: &Vm) -> Value {
    let call = ureq::get(format!("http://{}/v1/status", admin_address(vm)));
    let call = call.config().timeout_global(Some(Duration::from_secs(2))).build();
    call.call()
        .ok()
        .and_then(|mut response| response.body_mut().read_json().ok())
        .unwrap_or_default()
}

/// Returns the address for operators.
pub fn admin_address(vm: &Vm) -> SocketAddr {
    SocketAddr::from((vm.outbound.ip(), admin_port(&vm.settings_file)))
}

fn admin_port(file: &std::path::Path) -> u16 {
    let text = std::fs::read(file).expect("a settings file");
    let value: Value = serde_json::from_slice(&text).expect("settings");
    let first = value["internal_ports"][0].as_u64().expect("a port");
    u16::try_from(first + 1).expect("a port")
}

/// Returns a free UDP port whose successor is a free TCP port.
///
/// No other caller of [`free_tcp_port`] gets the TCP port.
fn free_port_pair() -> u16 {
    loop {
        let port = free_tcp_port().expect("a port").port() - 1;
        if UdpSocket::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

fn start_vm(name: &str, index: usize, store: SocketAddr, apply_seconds: u32, limits: &Value) -> Vm {
    let port = || free_tcp_port().expect("a port");
    let (outbound, ready, control, upstream) = (port(), port(), port(), port());
    let first = free_port_pair();
    let settings = json!({
        "node_name": name, "role": "node", "machine_class": "sidecar", "ip": "127.0.0.1",
        "zone": if index.is_multiple_of(2) { "zone-a" } else { "zone-b" },
        "listen": {"outbound": outbound.to_string(), "inbound": port().to_string(),
            "ready": ready.to_string(), "control_plane": control.to_string()},
        "internal_ports": [first, first + 1], "heartbeat_s": 0.3,
        "bounds": {"grace_s": 6, "retry_budget_ratio": 0.2, "budget_extra_retries": 56,
            "floor_share": 0.7, "config_apply_s": apply_seconds},
        "limits": limits, "app_address": upstream.to_string(), "service": "work",
        "platform": {"address": store.to_string(), "form": "kv"}
    });
    let settings_file =
        std::env::temp_dir().join(format!("lavenderflow-{}-{name}.json", std::process::id()));
    std::fs::write(&settings_file, settings.to_string()).expect("a settings file");
    let process = start_node(&settings_file);
    Vm { name: name.to_owned(), outbound, ready, control, upstream, store, settings_file, process }
}

fn start_node(file: &std::path::Path) -> Process {
    Process::start(binary(), &["platform".to_owned()], &environment(file)).expect("a node")
}

fn environment(file: &std::path::Path) -> [(&'static str, String); 3] {
    [
        ("LAVENDERFLOW_NODE_FILE", file.display().to_string()),
        ("LAVENDERFLOW_PING", "100".to_owned()),
        // As on the platform, whose VMs have one core.
        ("LAVENDERFLOW_THREADS", "1".to_owned()),
    ]
}

/// Starts the upstream of a VM; a later lifetime at the same address has a higher number.
pub fn start_upstream(vm: &Vm, lifetime: u64, work: Duration) -> PlatformUpstream {
    PlatformUpstream::start(Settings {
        id: format!("i-{}-{lifetime}", vm.name),
        service: "work".to_owned(),
        node: vm.control,
        address: vm.upstream,
        slots: 4,
        work,
        generation: 1_700_000_000_000 + lifetime * 1000,
    })
    .expect("an upstream")
}
