//! Records which gates are eligible at which entries during a run.

use std::net::SocketAddr;
use std::sync::mpsc::{self, Sender};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use lavenderflow::status::Status;
use ureq::Agent;

/// Interval between polls.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of a poll.
const POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// The status of one entry at one point in time.
#[derive(Clone, Debug)]
pub struct StatusSample {
    /// Time since the start of the load.
    pub at: Duration,
    /// Index of the entry's node.
    pub entry: usize,
    /// Whether each gate was eligible, by the gate's node id and the service.
    pub chosen: IndexMap<(String, String), bool>,
}

/// A thread that polls all entries until it is stopped.
pub struct StatusPoller {
    stop: Sender<()>,
    thread: JoinHandle<Vec<StatusSample>>,
}

impl StatusPoller {
    /// Starts to poll entries at their admin addresses.
    pub fn start(entries: Vec<SocketAddr>, start: Instant) -> Self {
        let (stop, stopped) = mpsc::channel();
        let thread = thread::spawn(move || {
            let mut samples = Vec::new();
            // Connections are reused, because closed ones would exhaust the machine's ports.
            let config = Agent::config_builder()
                .max_idle_connections(entries.len())
                .timeout_global(Some(POLL_TIMEOUT));
            let agent: Agent = config.build().into();
            while stopped.recv_timeout(POLL_INTERVAL) == Err(mpsc::RecvTimeoutError::Timeout) {
                for (entry, address) in entries.iter().enumerate() {
                    samples.extend(poll(&agent, entry, *address, start));
                }
            }
            samples
        });
        Self { stop, thread }
    }

    /// Stops polling and returns all samples.
    pub fn finish(self) -> Vec<StatusSample> {
        let _ = self.stop.send(());
        self.thread.join().unwrap_or_default()
    }
}

fn poll(agent: &Agent, entry: usize, address: SocketAddr, start: Instant) -> Option<StatusSample> {
    let mut response = agent.get(format!("http://{address}/v1/status")).call().ok()?;
    let status: Status = response.body_mut().with_config().limit(u64::MAX).read_json().ok()?;
    let mut chosen = IndexMap::new();
    for service in status.services {
        for gate in service.gates {
            chosen.insert((gate.node, service.name.clone()), gate.chosen);
        }
    }
    Some(StatusSample { at: start.elapsed(), entry, chosen })
}
