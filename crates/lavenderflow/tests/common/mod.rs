//! Starts a site for integration tests: a store stand-in, nodes and upstreams.
//!
//! The nodes are processes of the `lavenderflow` binary.

#![allow(dead_code)]

pub mod caller;
pub mod calls;
pub mod deployment;
pub mod exchange;
pub mod pace;
pub mod scripted;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use indexmap::IndexMap;
use lavenderflow::clock::SystemClock;
use lavenderflow::command::keys;
use lavenderflow::operator::{Assignment, ConfigKind, OperatorClient};
use lavenderflow::store::Store;
use lavenderflow_standins::fleet::{NodeProcess, NodeSettings, wait_until};
use lavenderflow_standins::proxy::UdpProxy;
use lavenderflow_standins::store::StoreStandin;
use lavenderflow_standins::upstream::{self, Settings, UpstreamStandin};
use ureq::Agent;

/// The service that all upstreams offer.
pub const SERVICE: &str = "work";

static NEXT_SITE: AtomicU32 = AtomicU32::new(0);

/// Size and settings of a site.
pub struct SiteConfig {
    /// Availability zone of each node.
    pub zones: Vec<&'static str>,
    /// Number of upstreams per node.
    pub upstreams: usize,
    /// Number of slots per upstream.
    pub slots: u32,
    /// Time that an upstream takes for each request.
    pub work: Duration,
    /// Fields of the service's profile, as `name=value`.
    pub profile: Vec<&'static str>,
    /// Whether nodes reach each other through UDP proxies, which can drop packets.
    pub proxied: bool,
    /// Further command-line arguments of each node.
    pub arguments: Vec<&'static str>,
    /// Environment variables of each node.
    pub variables: Vec<(&'static str, String)>,
}

impl Default for SiteConfig {
    fn default() -> Self {
        Self {
            zones: vec!["zone-a", "zone-a", "zone-b"],
            upstreams: 1,
            slots: 4,
            work: Duration::from_millis(2),
            profile: Vec::new(),
            proxied: false,
            arguments: vec!["--ping", "100", "--linger", "300"],
            variables: Vec::new(),
        }
    }
}

/// A running site; dropping it stops all its processes and threads.
pub struct Site {
    pub store: StoreStandin,
    pub nodes: Vec<NodeProcess>,
    pub proxies: Vec<UdpProxy>,
    pub upstreams: Vec<UpstreamStandin>,
    pub keys: PathBuf,
    pub agent: Agent,
    config: SiteConfig,
}

/// A complete response, as a caller receives it.
#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub headers: IndexMap<String, String>,
    pub body: Vec<u8>,
}

impl Response {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map(String::as_str).unwrap_or_default()
    }

    pub fn outcome(&self) -> &str {
        self.header("lavenderflow-outcome")
    }

    pub fn reason(&self) -> &str {
        self.header("lavenderflow-reason")
    }

    pub fn ticket(&self) -> &str {
        self.header("lavenderflow-ticket")
    }
}

pub fn binary() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_lavenderflow"))
}

pub fn agent() -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .allow_non_standard_methods(true)
        .max_idle_connections(0)
        .timeout_global(Some(Duration::from_secs(60)));
    config.build().into()
}

/// Sends a request and returns the response; `None` if it fails or the response is truncated.
pub fn call(
    agent: &Agent,
    method: &str,
    url: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Option<Response> {
    try_call(agent, method, url, headers, body).ok()
}

/// Sends a request and returns the complete response.
pub fn try_call(
    agent: &Agent,
    method: &str,
    url: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Result<Response, ureq::Error> {
    let mut builder = ureq::http::Request::builder().method(method).uri(url);
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    let response = if body.is_empty() {
        agent.run(builder.body(())?)
    } else {
        agent.run(builder.body(body.to_owned())?)
    };
    let mut response = response?;
    let fields = response.headers().iter();
    let headers = fields
        .map(|(name, value)| (name.to_string(), value.to_str().unwrap_or_default().to_owned()))
        .collect();
    let status = response.status().as_u16();
    let body = response.body_mut().with_config().limit(u64::MAX).read_to_vec()?;
    Ok(Response { status, headers, body })
}

/// Returns whether the connection was refused, so that the request cannot have reached a node.
pub fn is_refused_connection(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::Io(fault) => fault.kind() == std::io::ErrorKind::ConnectionRefused,
        ureq::Error::ConnectionFailed => true,
        _ => false,
    }
}

impl Site {
    pub fn start(config: SiteConfig) -> Self {
        let store = StoreStandin::start(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a store");
        let number = NEXT_SITE.fetch_add(1, Ordering::Relaxed);
        let keys =
            std::env::temp_dir().join(format!("lavenderflow-{}-{number}", std::process::id()));
        let names: Vec<String> = (0..config.zones.len()).map(|i| format!("vm-{i}")).collect();
        keys::generate(&keys, names.iter().map(String::as_str)).expect("keys");
        let mut site = Self {
            store,
            nodes: Vec::new(),
            proxies: Vec::new(),
            upstreams: Vec::new(),
            keys,
            agent: agent(),
            config,
        };
        site.configure();
        for index in 0..names.len() {
            site.start_node(index);
        }
        for index in 0..names.len() {
            for _ in 0..site.config.upstreams {
                site.start_upstream(index, SERVICE);
            }
        }
        site.wait_ready();
        site
    }

    fn configure(&self) {
        self.set(ConfigKind::Profile, "test", &self.config.profile);
        self.set(ConfigKind::Service, SERVICE, &["profile=test"]);
        self.set(ConfigKind::Route, SERVICE, &["prefix=/work", "service=work"]);
    }

    pub fn operator(&self, author: &str) -> OperatorClient {
        OperatorClient {
            store: Store::new(self.store.address()),
            node: None,
            author: author.to_owned(),
            resolve_timeout: Duration::from_secs(20),
            clock: Arc::new(SystemClock),
        }
    }

    pub fn set(&self, kind: ConfigKind, name: &str, fields: &[&str]) {
        let assignments: Vec<Assignment> =
            fields.iter().map(|field| Assignment::parse(field).expect("a field")).collect();
        self.operator("test").set(kind, name, &assignments).expect("an accepted change");
    }

    fn start_node(&mut self, index: usize) {
        let zone = self.config.zones[index];
        let name = format!("vm-{index}");
        let mut settings =
            NodeSettings::new(&name, zone, self.store.address(), &self.keys).expect("free ports");
        settings.extra_args = self.config.arguments.iter().map(ToString::to_string).collect();
        settings.variables = self.config.variables.clone();
        if self.config.proxied {
            let proxy = UdpProxy::start(settings.peers).expect("a proxy");
            settings.advertised = Some(proxy.address());
            self.proxies.push(proxy);
        }
        if let Some(first) = self.nodes.first() {
            let seed = &first.settings;
            settings.seeds = vec![seed.advertised.unwrap_or(seed.peers)];
        }
        self.nodes.push(NodeProcess::start(binary(), settings).expect("a node"));
    }

    /// Restarts a node at the same addresses, with another node as its seed.
    pub fn restart_node(&mut self, index: usize) {
        let mut settings = self.nodes[index].settings.clone();
        let other = &self.nodes[(index + 1) % self.nodes.len()].settings;
        settings.seeds = vec![other.advertised.unwrap_or(other.peers)];
        self.nodes[index] = NodeProcess::start(binary(), settings).expect("a node");
    }

    pub fn start_upstream(&mut self, node: usize, service: &str) -> &UpstreamStandin {
        let settings = Settings {
            id: format!("{service}-{node}-{}", self.upstreams.len()),
            service: service.to_owned(),
            node: self.nodes[node].settings.admin,
            slots: self.config.slots,
            work: self.config.work,
        };
        self.upstreams.push(UpstreamStandin::start(settings).expect("an upstream"));
        &self.upstreams[self.upstreams.len() - 1]
    }

    /// Waits until every node knows all gates and the route.
    pub fn wait_ready(&self) {
        let gates = if self.config.upstreams > 0 { self.nodes.len() } else { 0 };
        wait_until("all nodes know all gates and routes", || {
            self.nodes
                .iter()
                .all(|node| gate_count(node) == gates && revision(node, "routes/work").is_some())
        })
        .expect("a ready site");
    }

    pub fn call(
        &self,
        node: usize,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Option<Response> {
        call(&self.agent, method, &self.nodes[node].url(path), headers, body)
    }

    /// Requests a ticket from a node.
    pub fn ticket(&self, node: usize) -> String {
        let response =
            self.call(node, "POST", "/.lavenderflow/tickets", &[], "x").expect("a ticket");
        response.ticket().to_owned()
    }

    /// Returns how often each request was run, by request id, over all upstreams.
    pub fn run_counts(&self) -> IndexMap<String, u32> {
        let mut total = IndexMap::new();
        for upstream in &self.upstreams {
            for (id, count) in upstream.run_counts().expect("run counts") {
                *total.entry(id).or_default() += count;
            }
        }
        total
    }

    pub fn counter(&self, node: usize, name: &str) -> u64 {
        let status = self.nodes[node].status().expect("a status");
        status["counters"][name].as_u64().unwrap_or_default()
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.nodes.clear();
        let _ = std::fs::remove_dir_all(&self.keys);
    }
}

/// Returns how many gates with slots a node knows, over all services.
pub fn gate_count(node: &NodeProcess) -> usize {
    let Some(status) = node.status() else { return 0 };
    let services = status["services"].as_array().cloned().unwrap_or_default();
    services.iter().filter_map(|s| s["gates"].as_array()).map(Vec::len).sum()
}

/// Returns the active revision of a configuration key on a node.
pub fn revision(node: &NodeProcess, key: &str) -> Option<u64> {
    node.status()?["revisions"][key].as_u64()
}

/// Returns the body of an upstream's response to a request.
pub fn expected_body(id: &str, size: u64) -> Vec<u8> {
    upstream::response_body(id, size)
}
