//! The format of scenario files.

use std::fs;
use std::path::Path;
use std::time::Duration;

use lavenderflow_standins::upstream::Mode;
use serde::Deserialize;

use crate::error::Error;

/// A site, a load and faults over time.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name, also of the plot's file.
    pub name: String,
    /// Names of the availability zones; nodes are spread over them in turn.
    pub zones: Vec<String>,
    /// One-way time between zones, in milliseconds.
    #[serde(default)]
    pub cross_ms: f64,
    /// Services; each upstream has a VM with a node of its own.
    pub services: Vec<Service>,
    /// Demand over time.
    pub phases: Vec<Phase>,
    /// The mix of requests.
    pub kinds: Vec<RequestKind>,
    /// Faults over time.
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// Most callers at once.
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
    /// Slots of each.
    pub slots: u32,
    /// Fields of the profile, such as `caution.floor_percent=60`.
    #[serde(default)]
    pub profile: Vec<String>,
}

/// A stretch of constant demand.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Phase {
    /// Length.
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
    /// Time that it takes on an upstream, in milliseconds.
    pub work_ms: u64,
    /// Length of the request body in bytes.
    #[serde(default)]
    pub body: usize,
    /// Weight in the mix.
    pub weight: u32,
    /// Longest time that a caller waits, in milliseconds.
    #[serde(default = "default_timeout")]
    pub timeout_ms: u64,
}

fn default_timeout() -> u64 {
    2000
}

/// Something that happens at a time.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Seconds after the start of the load.
    pub at: f64,
    /// What happens.
    #[serde(flatten)]
    pub action: FaultAction,
}

/// What happens.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultAction {
    /// An upstream behaves differently: its number in the order of the services, and the mode.
    Upstream(usize, String),
    /// A node is killed.
    Kill(usize),
    /// A node is frozen.
    Freeze(usize),
    /// A frozen node goes on.
    Thaw(usize),
    /// A node is stopped gracefully.
    Stop(usize),
    /// Packets from the first zone's nodes to the second's are dropped.
    Cut(String, String),
    /// Packets to one zone's nodes are dropped no more.
    Heal(String),
    /// The store is down, or up again.
    Store(bool),
}

/// Who spreads the load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// The nodes.
    Lavenderflow,
    /// Callers go to upstreams in turn; probes take upstreams out.
    RoundRobin,
    /// Callers go to random upstreams; errors in a row take upstreams out.
    Random,
}

impl Policy {
    /// Finds a policy by its name.
    pub fn from_name(name: &str) -> Result<Self, Error> {
        match name {
            "lavenderflow" => Ok(Self::Lavenderflow),
            "round-robin" => Ok(Self::RoundRobin),
            "random" => Ok(Self::Random),
            other => Err(Error::Unknown(other.to_owned())),
        }
    }

    /// Returns the name.
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

    /// Returns the service of an upstream by its number.
    pub fn service_of(&self, upstream: usize) -> Option<&Service> {
        let mut end = 0;
        self.services.iter().find(|service| {
            end += service.upstreams;
            upstream < end
        })
    }

    /// Returns the number of upstreams.
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
