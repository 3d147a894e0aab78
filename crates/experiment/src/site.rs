//! Starts the processes of a scenario, generates the load and injects the faults.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use lavenderflow::clock::SystemClock;
use lavenderflow::command::keys;
use lavenderflow::operator::{Assignment, ConfigKind, OperatorClient};
use lavenderflow::store::Store;
use lavenderflow_core::id::node_id;
use lavenderflow_standins::fleet::{NodeProcess, NodeSettings, wait_until};
use lavenderflow_standins::load::{
    self, CompletedRequest, Phase, Plan, RequestKind, TargetSelector,
};
use lavenderflow_standins::proxy::{Direction, UdpProxy};
use lavenderflow_standins::store::{Mode as StoreMode, StoreStandin};
use lavenderflow_standins::upstream::{Settings, UpstreamStandin};

use crate::balancer::Balancer;
use crate::error::Error;
use crate::scenario::{Fault, FaultAction, Policy, Scenario, Service, parse_mode};
use crate::status_poller::{StatusPoller, StatusSample};

/// The results of one run of a scenario.
pub struct ScenarioResult {
    /// The result of each request.
    pub completed: Vec<CompletedRequest>,
    /// Which gates were eligible at which entries; empty for the baseline policies.
    pub samples: Vec<StatusSample>,
    /// Node id of each upstream, in hexadecimal.
    pub node_ids: Vec<String>,
}

/// A running fleet with its store, upstreams and UDP proxies.
pub struct Site {
    /// The store of the fleet.
    pub store: StoreStandin,
    /// One node per upstream.
    pub nodes: Vec<NodeProcess>,
    /// The proxy in front of each node.
    pub proxies: Vec<UdpProxy>,
    /// The upstreams.
    pub upstreams: Vec<UpstreamStandin>,
    zones: Vec<String>,
    directory: PathBuf,
}

/// Returns the path of the node's binary, in the directory of this program.
pub fn node_binary() -> Result<PathBuf, Error> {
    Ok(std::env::current_exe()?.with_file_name("lavenderflow"))
}

/// Runs a scenario once.
pub fn run(scenario: &Scenario, policy: Policy, seed: u64) -> Result<ScenarioResult, Error> {
    let mut site = Site::start(scenario)?;
    let plan = site.plan(scenario, policy, seed);
    let start = Instant::now();
    let admin = site.nodes.iter().map(|node| node.settings.admin).collect();
    let poller = (policy == Policy::Lavenderflow).then(|| StatusPoller::start(admin, start));
    let load = thread::spawn(move || load::run(&plan));
    for fault in &scenario.faults {
        thread::sleep(Duration::from_secs_f64(fault.at).saturating_sub(start.elapsed()));
        site.inject(fault)?;
    }
    let completed = load.join().unwrap_or_else(|_| Ok(Vec::new()))?;
    let samples = poller.map(StatusPoller::finish).unwrap_or_default();
    let node_ids = site.nodes.iter().map(|node| format!("{:x}", node_id(&node.settings.name)));
    Ok(ScenarioResult { completed, samples, node_ids: node_ids.collect() })
}

impl Site {
    /// Starts the store, the nodes and the upstreams, and waits until every node knows all gates.
    pub fn start(scenario: &Scenario) -> Result<Self, Error> {
        let store = StoreStandin::start(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let directory = std::env::temp_dir().join(format!(
            "lavenderflow-experiment-{}-{}",
            std::process::id(),
            store.address().port()
        ));
        let count = scenario.upstream_count();
        let names: Vec<String> = (0..count).map(|index| format!("vm-{index}")).collect();
        keys::generate(&directory, names.iter().map(String::as_str))?;
        let zones = (0..count).map(|i| scenario.zones[i % scenario.zones.len()].clone()).collect();
        let mut site = Self {
            store,
            nodes: Vec::new(),
            proxies: Vec::new(),
            upstreams: Vec::new(),
            zones,
            directory,
        };
        site.configure(scenario)?;
        for (index, name) in names.iter().enumerate() {
            site.start_node(index, name)?;
        }
        site.delay(scenario);
        for index in 0..count {
            let service = scenario.service_of(index).ok_or(Error::Unknown(index.to_string()))?;
            site.start_upstream(index, service)?;
        }
        wait_until("all nodes know all gates", || {
            site.nodes.iter().all(|n| gate_count(n) == count)
        })?;
        Ok(site)
    }

    fn configure(&self, scenario: &Scenario) -> Result<(), Error> {
        let operator = OperatorClient {
            store: Store::new(self.store.address()),
            node: None,
            author: "experiment".to_owned(),
            resolve_timeout: Duration::from_secs(5),
            clock: Arc::new(SystemClock),
        };
        let parse = |text: &str| Assignment::parse(text);
        for service in &scenario.services {
            let name = service.name.as_str();
            let fields: Result<Vec<_>, _> = service.profile.iter().map(|f| parse(f)).collect();
            operator.set(ConfigKind::Profile, name, &fields?)?;
            operator.set(ConfigKind::Service, name, &[parse(&format!("profile={name}"))?])?;
            let prefix = parse(&format!("prefix=/{name}"))?;
            operator.set(ConfigKind::Route, name, &[prefix, parse(&format!("service={name}"))?])?;
        }
        Ok(())
    }

    fn start_node(&mut self, index: usize, name: &str) -> Result<(), Error> {
        let mut settings =
            NodeSettings::new(name, &self.zones[index], self.store.address(), &self.directory)?;
        let proxy = UdpProxy::start(settings.peers)?;
        settings.advertised = Some(proxy.address());
        settings.seeds = self.proxies.first().map(UdpProxy::address).into_iter().collect();
        self.proxies.push(proxy);
        self.nodes.push(NodeProcess::start(&node_binary()?, settings)?);
        Ok(())
    }

    /// Delays packets between zones.
    fn delay(&self, scenario: &Scenario) {
        let delay = Duration::from_secs_f64(scenario.cross_ms / 1000.0);
        for (to, proxy) in self.proxies.iter().enumerate() {
            for (from, node) in self.nodes.iter().enumerate() {
                if self.zones[from] != self.zones[to] {
                    proxy.delay(node.settings.peers, delay);
                }
            }
        }
    }

    fn start_upstream(&mut self, index: usize, service: &Service) -> Result<(), Error> {
        let settings = Settings {
            id: format!("{}-{index}", service.name),
            service: service.name.clone(),
            node: self.nodes[index].settings.admin,
            slots: service.slots,
            work: Duration::ZERO,
        };
        self.upstreams.push(UpstreamStandin::start(settings)?);
        Ok(())
    }

    fn plan(&self, scenario: &Scenario, policy: Policy, seed: u64) -> Plan {
        let addresses: Vec<Vec<SocketAddr>> = scenario
            .kinds
            .iter()
            .map(|kind| self.targets(scenario, policy, &kind.service))
            .collect();
        let kinds = scenario.kinds.iter().zip(&addresses).map(|(kind, addresses)| RequestKind {
            name: kind.name.clone(),
            method: kind.method.clone(),
            urls: addresses
                .iter()
                .map(|a| format!("http://{a}/{}?work_ms={}", kind.service, kind.work_ms))
                .collect(),
            body_bytes: kind.body,
            weight: kind.weight,
            timeout: Duration::from_millis(kind.timeout_ms),
            retries: u32::from(policy != Policy::Lavenderflow && kind.method == "GET"),
        });
        let kinds = kinds.collect();
        let selector = (policy != Policy::Lavenderflow)
            .then(|| Arc::new(Balancer::start(policy, addresses, seed)) as Arc<dyn TargetSelector>);
        let phases = scenario.phases.iter().map(|phase| Phase {
            duration: Duration::from_secs_f64(phase.seconds),
            rate: phase.rate,
        });
        Plan { phases: phases.collect(), kinds, seed, max_callers: scenario.callers, selector }
    }

    /// Returns the addresses that callers of a service use: all nodes, or its upstreams.
    fn targets(&self, scenario: &Scenario, policy: Policy, service: &str) -> Vec<SocketAddr> {
        if policy == Policy::Lavenderflow {
            return self.nodes.iter().map(|node| node.settings.callers).collect();
        }
        let upstreams = self.upstreams.iter().enumerate();
        let of_service =
            upstreams.filter(|(i, _)| scenario.service_of(*i).is_some_and(|s| s.name == service));
        of_service.map(|(_, upstream)| upstream.address()).collect()
    }

    fn inject(&mut self, fault: &Fault) -> Result<(), Error> {
        match &fault.action {
            FaultAction::Upstream(i, mode) => self.upstreams[*i].set_mode(parse_mode(mode)?),
            FaultAction::Kill(index) => self.nodes[*index].kill()?,
            FaultAction::Freeze(index) => self.nodes[*index].freeze()?,
            FaultAction::Thaw(index) => self.nodes[*index].thaw()?,
            FaultAction::Stop(index) => self.nodes[*index].terminate()?,
            FaultAction::Cut(from, to) => self.cut(from, to),
            FaultAction::Heal(zone) => {
                let proxies = self.proxies.iter().zip(&self.zones);
                proxies.filter(|(_, z)| *z == zone).for_each(|(proxy, _)| proxy.heal());
            }
            FaultAction::Store(true) => self.store.set_mode(StoreMode::Up),
            FaultAction::Store(false) => self.store.set_mode(StoreMode::Down),
        }
        Ok(())
    }

    /// Drops packets from the nodes of one zone to those of another.
    fn cut(&self, from: &str, to: &str) {
        for (sender, node) in self.nodes.iter().enumerate().filter(|(i, _)| self.zones[*i] == from)
        {
            let receivers = (0..self.nodes.len()).filter(|i| self.zones[*i] == to);
            for receiver in receivers {
                self.proxies[receiver].cut(node.settings.peers, Direction::ToTarget);
                self.proxies[sender]
                    .cut(self.nodes[receiver].settings.peers, Direction::FromTarget);
            }
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.nodes.clear();
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// Returns how many gates with slots a node knows.
pub fn gate_count(node: &NodeProcess) -> usize {
    let Some(status) = node.status() else { return 0 };
    let services = status["services"].as_array().cloned().unwrap_or_default();
    services.iter().filter_map(|s| s["gates"].as_array()).map(Vec::len).sum()
}
