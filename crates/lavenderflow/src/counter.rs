//! The counters of a node.

use std::net::UdpSocket;

use cadence::{CountedExt as _, QueuingMetricSink, StatsdClient, UdpMetricSink};

use crate::error::NodeError;
use crate::prelude::*;

/// Prefix of all counters.
const PREFIX: &str = "lavenderflow";

/// Faulty input, or a failure between processes.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Fault {
    /// An upstream's announcement is malformed.
    Announcement,
    /// A caller's request is malformed.
    Caller,
    /// A stored configuration is malformed.
    Configuration,
    /// A peer cannot be connected to.
    Connect,
    /// A peer's message is too large.
    FrameSize,
    /// A peer's message is malformed or unexpected.
    Frame,
    /// A peer could not prove that it belongs to the fleet.
    Handshake,
    /// The store did not answer as expected.
    Store,
}

impl Fault {
    /// All faults.
    pub const ALL: [Self; 8] = [
        Self::Announcement,
        Self::Caller,
        Self::Configuration,
        Self::Connect,
        Self::FrameSize,
        Self::Frame,
        Self::Handshake,
        Self::Store,
    ];

    fn name(self) -> &'static str {
        match self {
            Self::Announcement => "announcement",
            Self::Caller => "caller",
            Self::Configuration => "configuration",
            Self::Connect => "connect",
            Self::FrameSize => "frame-size",
            Self::Frame => "frame",
            Self::Handshake => "handshake",
            Self::Store => "store",
        }
    }
}

/// One counter.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Counter {
    /// Requests that ended with this outcome.
    Outcome(Outcome),
    /// Requests that ended without an answer from an upstream, by reason.
    Refused(Reason),
    /// Attempts that repeat an earlier one, by the reason why that one ended.
    Retried(Reason),
    /// Attempts that this node's gate refused, by reason.
    Gate(Reason),
    /// Services whose upstreams were ejected.
    Ejected,
    /// Services whose upstreams returned.
    Returned,
    /// Faulty input and failures between processes.
    Fault(Fault),
}

impl Counter {
    /// Returns the name without the prefix.
    ///
    /// # Examples
    ///
    /// ```
    /// use lavenderflow::counter::Counter;
    /// use lavenderflow_core::reason::Reason;
    ///
    /// assert_eq!(Counter::Retried(Reason::QueueFull).name(), "entry.retried.queue-full");
    /// ```
    pub fn name(self) -> String {
        match self {
            Self::Outcome(outcome) => format!("entry.outcome.{}", outcome.name()),
            Self::Refused(reason) => format!("entry.refused.{}", reason.name()),
            Self::Retried(reason) => format!("entry.retried.{}", reason.name()),
            Self::Gate(reason) => format!("gate.refused.{}", reason.name()),
            Self::Ejected => "gate.ejected".to_owned(),
            Self::Returned => "gate.returned".to_owned(),
            Self::Fault(fault) => format!("fault.{}", fault.name()),
        }
    }
}

/// Opens the client that sends counters; they are dropped when no address is given.
///
/// # Errors
///
/// The socket cannot be opened.
pub fn statsd(server: Option<std::net::SocketAddr>) -> Result<StatsdClient, NodeError> {
    let Some(server) = server else {
        return Ok(StatsdClient::from_sink(PREFIX, cadence::NopMetricSink));
    };
    let local = if server.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" };
    let socket = UdpSocket::bind(local)
        .map_err(|fault| NodeError::Listen { address: server, fault: fault.to_string() })?;
    let sink = QueuingMetricSink::from(UdpMetricSink::from(server, socket)?);
    Ok(StatsdClient::from_sink(PREFIX, sink))
}

/// Counts for the status page and sends each count to statsd.
#[derive(Debug)]
pub struct Counters {
    client: StatsdClient,
    counts: IndexMap<Counter, u64>,
}

impl Counters {
    /// Creates counters that stand at zero.
    pub fn new(client: StatsdClient) -> Self {
        Self { client, counts: IndexMap::new() }
    }

    /// Adds one to a counter.
    pub fn add(&mut self, counter: Counter) {
        *self.counts.entry(counter).or_default() += 1;
        if let Err(fault) = self.client.incr(&counter.name()) {
            log::debug!("event=metric-lost fault={fault:?}");
        }
    }

    /// Returns all counters that are not zero, sorted by name.
    pub fn snapshot(&self) -> IndexMap<String, u64> {
        let mut counts: IndexMap<String, u64> =
            self.counts.iter().map(|(counter, count)| (counter.name(), *count)).collect();
        counts.sort_keys();
        counts
    }
}
