//! The format of scenario files.

use std::fs;
use std::path::Path;
use std::time::Duration;

use lavenderflow_standins::upstream::Mode;
use serde::Deserialize;

use crate::error::Error;

/// A site, a load, and faults over time.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name, also used for the file of the plot.
    pub name: String,
    /// Names of the availability zones; nodes are assigned to them in turn.
    pub zones: Vec<String>,
    /// One-way delay between zones, in milliseconds.
    #[serde(default)]
    pub cross_ms: f64,
    /// Services; each upstream has its own VM with a node.
    pub services: Vec<Service>,
    /// Request rates over time.
    pub phases: Vec<Phase>,
    /// The mix of requests.
    pub kinds: Vec<RequestKind>,
    /// Faults over time.
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// Maximum number of concurrent calls.
    #[serde(default = "default_callers")]
    pub callers: usize,
}

fn default_callers() -> usize {
    400
}

/// A service and its upstreams.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name; requests go to the path `/NAME`.
    pub name: String,
    /// Number of upstreams.
    pub upstreams: usize,
    /// Number of slots of each upstream.
    pub slots: u32,
    /// Fields of the profile, such as `caution.floor_percent=60`.
    #[serde(default)]
    pub profile: Vec<String>,
}

/// A period with a constant request rate.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Phase {
    /// Length in seconds.
    pub seconds: f64,
    /// Requests per second.
    pub rate: f64,
}

/// One kind of request.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestKind {
    /// Name.
    pub name: String,
    /// HTTP method.
    pub method: String,
    /// Service.
    pub service: String,
    /// Time that the request takes on an upstream, in milliseconds.
    pub work_ms: u64,
    /// Length of the request body in bytes.
    #[serde(default)]
    pub body: usize,
    /// Weight in the mix of requests.
    pub weight: u32,
    /// Timeout of the caller, in milliseconds.
    #[serde(default = "default_timeout")]
    pub timeout_ms: u64,
}

fn default_timeout() -> u64 {
    2000
}

/// A fault, or its repair, at a point in time.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Seconds after the start of the load.
    pub at: f64,
    /// What is done.
    #[serde(flatten)]
    pub action: FaultAction,
}

/// Injects or repairs a fault.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultAction {
    /// Changes the mode of an upstream, given by its index over all services in their order.
    Upstream(usize, String),
    /// Kills a node.
    Kill(usize),
    /// Suspends a node.
    Freeze(usize),
    /// Resumes a suspended node.
    Thaw(usize),
    /// Stops a node gracefully.
    Stop(usize),
    /// Drops packets from the nodes of the first zone to those of the second.
    Cut(String, String),
    /// Stops dropping packets at the proxies of one zone's nodes.
    Heal(String),
    /// Takes the store down (`false`) or brings it up (`true`).
    Store(bool),
}

/// What balances the load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// The nodes.
    Lavenderflow,
    /// Callers go to the upstreams in turn, and skip those whose health probes fail.
    RoundRobin,
    /// Callers go to random upstreams, and eject those with consecutive errors.
    Random,
}

impl Policy {
    /// Returns the policy with a given name.
    pub fn from_name(name: &str) -> Result<Self, Error> {
        match name {
            "lavenderflow" => Ok(Self::Lavenderflow),
            "round-robin" => Ok(Self::RoundRobin),
            "random" => Ok(Self::Random),
            other => Err(Error::Unknown(other.to_owned())),
        }
    }

    /// Returns the name of the policy.
    pub fn name(self) -> &'static str {
        match self {
            Self::Lavenderflow => "lavenderflow",
            Self::RoundRobin => "round-robin",
            Self::Random => "random",
        }
    }
}

impl Scenario {
    /// Reads a scenario file.
    pub fn load(path: &Path) -> Result<Self, Error> {
        let text = fs::read_to_string(path)
            .map_err(|fault| Error::File { path: path.to_owned(), fault })?;
        serde_json::from_str(&text)
            .map_err(|fault| Error::Scenario { path: path.to_owned(), fault })
    }

    /// Returns the length of the load.
    pub fn duration(&self) -> Duration {
        Duration::from_secs_f64(self.phases.iter().map(|phase| phase.seconds).sum())
    }

    /// Returns the service of an upstream, given by its index.
    pub fn service_of(&self, upstream: usize) -> Option<&Service> {
        let mut end = 0;
        self.services.iter().find(|service| {
            end += service.upstreams;
            upstream < end
        })
    }

    /// Returns the number of upstreams of all services.
    pub fn upstream_count(&self) -> usize {
        self.services.iter().map(|service| service.upstreams).sum()
    }
}

/// Parses a mode, such as `fails:30` or `stuck`.
pub fn parse_mode(text: &str) -> Result<Mode, Error> {
    let unknown = || Error::Unknown(text.to_owned());
    let (name, value) = text.split_once(':').unwrap_or((text, "0"));
    let number: u32 = value.parse().unwrap_or(0);
    match name {
        "well" => Ok(Mode::Healthy),
        "fails" => Ok(Mode::Fails(number)),
        "fails-method" if value == "POST" => Ok(Mode::FailsMethod("POST")),
        "fails-method" if value == "GET" => Ok(Mode::FailsMethod("GET")),
        "slow" => Ok(Mode::Slow(number)),
        "stuck" => Ok(Mode::Hangs),
        "truncates" => Ok(Mode::Truncates),
        "stalls" => Ok(Mode::Stalls),
        "sheds" => Ok(Mode::Sheds),
        "flaps" => Ok(Mode::Flaps(Duration::from_millis(number.into()))),
        "vanishes" => Ok(Mode::Disconnects),
        _ => Err(unknown()),
    }
}
