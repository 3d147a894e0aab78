//! Runs nodes as processes, and waits for conditions.

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::ExitStatus;
use std::sync::PoisonError;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;

use crate::error::Error;
use crate::process::{Process, SPAWN_LOCK};

/// Timeout of [`wait_until`].
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Settings of a node process.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Name of the node.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Address of the store.
    pub store: SocketAddr,
    /// Peer addresses of the nodes to join through.
    pub seeds: Vec<SocketAddr>,
    /// Peer address that is advertised to other nodes, if it differs from `peers`.
    pub advertised: Option<SocketAddr>,
    /// Address to listen on for other nodes.
    pub peers: SocketAddr,
    /// Address to listen on for callers.
    pub callers: SocketAddr,
    /// Address of the admin API.
    pub admin: SocketAddr,
    /// Directory with the fleet's keys and certificates.
    pub keys: PathBuf,
    /// Further command-line arguments.
    pub extra_args: Vec<String>,
    /// Environment variables.
    pub variables: Vec<(&'static str, String)>,
}

impl NodeSettings {
    /// Creates settings with free ports and without seeds.
    ///
    /// # Errors
    ///
    /// No port is free.
    pub fn new(name: &str, zone: &str, store: SocketAddr, keys: &Path) -> Result<Self, Error> {
        Ok(Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            store,
            seeds: Vec::new(),
            advertised: None,
            peers: free_udp_port()?,
            callers: free_tcp_port()?,
            admin: free_tcp_port()?,
            keys: keys.to_owned(),
            extra_args: Vec::new(),
            variables: Vec::new(),
        })
    }

    /// Returns the command-line arguments of the node.
    pub fn arguments(&self) -> Vec<String> {
        let key_path = |file: String| self.keys.join(file).display().to_string();
        let list = |addresses: &[SocketAddr]| {
            addresses.iter().map(ToString::to_string).collect::<Vec<_>>().join(",")
        };
        let pairs = [
            ("--name", self.name.clone()),
            ("--zone", self.zone.clone()),
            ("--store", self.store.to_string()),
            ("--seeds", list(&self.seeds)),
            ("--advertised", list(self.advertised.as_slice())),
            ("--peers", self.peers.to_string()),
            ("--callers", self.callers.to_string()),
            ("--admin", self.admin.to_string()),
            ("--authority", key_path("authority.pem".to_owned())),
            ("--certificate", key_path(format!("{}.pem", self.name))),
            ("--key", key_path(format!("{}.key", self.name))),
        ];
        let pairs = pairs.into_iter().flat_map(|(flag, value)| [flag.to_owned(), value]);
        std::iter::once("node".to_owned())
            .chain(pairs)
            .chain(self.extra_args.iter().cloned())
            .collect()
    }
}

/// A node process, killed on drop.
#[derive(Debug)]
pub struct NodeProcess {
    /// Settings that the node was started with.
    pub settings: NodeSettings,
    process: Process,
}

impl NodeProcess {
    /// Starts a node.
    ///
    /// # Errors
    ///
    /// The process cannot be started.
    pub fn start(binary: &Path, settings: NodeSettings) -> Result<Self, Error> {
        let process = Process::start(binary, &settings.arguments(), &settings.variables)?;
        Ok(Self { process, settings })
    }

    /// Returns the URL of a path at the address for callers.
    pub fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.settings.callers)
    }

    /// Returns the node's status; `None` if the node does not respond.
    pub fn status(&self) -> Option<Value> {
        let url = format!("http://{}/v1/status", self.settings.admin);
        let call = ureq::get(url).config().timeout_global(Some(Duration::from_secs(2))).build();
        let mut response = call.call().ok()?;
        response.body_mut().with_config().limit(u64::MAX).read_json().ok()
    }

    /// Stops the node gracefully (`SIGTERM`).
    ///
    /// # Errors
    ///
    /// The process cannot be signalled.
    pub fn terminate(&self) -> Result<(), Error> {
        self.process.terminate()
    }

    /// Kills the node (`SIGKILL`).
    ///
    /// # Errors
    ///
    /// The process cannot be signalled.
    pub fn kill(&mut self) -> Result<(), Error> {
        self.process.kill()
    }

    /// Suspends the process (`SIGSTOP`) until [`NodeProcess::thaw`].
    ///
    /// # Errors
    ///
    /// The process cannot be signalled.
    pub fn freeze(&self) -> Result<(), Error> {
        self.process.freeze()
    }

    /// Resumes a frozen process (`SIGCONT`).
    ///
    /// # Errors
    ///
    /// The process cannot be signalled.
    pub fn thaw(&self) -> Result<(), Error> {
        self.process.thaw()
    }

    /// Returns the exit status, if the process has ended.
    ///
    /// # Errors
    ///
    /// The status of the process cannot be read.
    pub fn exit_status(&mut self) -> Result<Option<ExitStatus>, Error> {
        self.process.exit_status()
    }

    /// Returns the resident memory of the process.
    pub fn resident_bytes(&self) -> Option<u64> {
        self.process.resident_bytes()
    }

    /// Returns the number of descriptors that the process has open.
    pub fn open_descriptors(&self) -> Option<usize> {
        self.process.open_descriptors()
    }

    /// Returns the CPU time that the process has used.
    pub fn cpu_time(&self) -> Option<Duration> {
        self.process.cpu_time()
    }
}

/// Waits until a condition is true, for at most [`WAIT_TIMEOUT`].
///
/// # Errors
///
/// The condition did not become true in time.
pub fn wait_until(what: &'static str, condition: impl FnMut() -> bool) -> Result<(), Error> {
    wait_with_timeout(what, WAIT_TIMEOUT, condition)
}

/// Waits until a condition is true, for at most `limit`.
///
/// # Errors
///
/// The condition did not become true in time.
pub fn wait_with_timeout(
    what: &'static str,
    limit: Duration,
    mut condition: impl FnMut() -> bool,
) -> Result<(), Error> {
    let end = Instant::now() + limit;
    while !condition() {
        if Instant::now() >= end {
            return Err(Error::Timeout(what));
        }
        thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}

/// Returns a loopback address with a free TCP port.
///
/// # Errors
///
/// No port is free.
pub fn free_tcp_port() -> Result<SocketAddr, Error> {
    free_port(|address| TcpListener::bind(address).is_ok())
}

/// Returns a loopback address with a free UDP port.
///
/// # Errors
///
/// No port is free.
pub fn free_udp_port() -> Result<SocketAddr, Error> {
    free_port(|address| UdpSocket::bind(address).is_ok())
}

/// Finds a free port below the system's ephemeral range; never returns the same port twice.
fn free_port(is_free: impl Fn(SocketAddr) -> bool) -> Result<SocketAddr, Error> {
    const FIRST_PORT: u32 = 10_000;
    const PORT_COUNT: u32 = 20_000;
    static NEXT_OFFSET: AtomicU32 = AtomicU32::new(0);
    let _guard = SPAWN_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    // Concurrent test processes start at different offsets, so that they try different ports.
    let start = std::process::id().wrapping_mul(997);
    for _ in 0..PORT_COUNT {
        let offset = start.wrapping_add(NEXT_OFFSET.fetch_add(1, Ordering::Relaxed)) % PORT_COUNT;
        let port = u16::try_from(FIRST_PORT + offset).unwrap_or_default();
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if is_free(address) {
            return Ok(address);
        }
    }
    Err(Error::Timeout("a free port"))
}
