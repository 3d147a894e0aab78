//! The counters and latency histograms of a node.

use std::net::UdpSocket;

use cadence::{
    Counted as _, Gauged as _, QueuingMetricSink, StatsdClient, Timed as _, UdpMetricSink,
};
use hdrhistogram::Histogram;
use lavenderflow_core::connections::CloseReason;
use lavenderflow_core::hedge::HedgeEvent;
use lavenderflow_core::memory::Budget;

use crate::error::NodeError;
use crate::http::unanswered::Interruption;
use crate::prelude::*;

/// Prefix of all metric names.
const METRIC_PREFIX: &str = "lavenderflow";

/// Invalid input, or a failure in the communication between processes.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Fault {
    /// A malformed announcement from an upstream.
    Announcement,
    /// A malformed request from a caller.
    Caller,
    /// A malformed configuration document in the store.
    Configuration,
    /// A failed connection to a peer.
    Connect,
    /// A message from a peer that exceeds the size limit.
    FrameSize,
    /// A malformed or unexpected message from a peer.
    Frame,
    /// A failed handshake: the peer did not prove that it belongs to the fleet.
    Handshake,
    /// A failed call to the store.
    Store,
}

impl Fault {
    /// All variants.
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

/// An event of the fleet-wide allowances.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum AllowanceEvent {
    /// A draw that was sent to another node.
    Draw,
    /// A token that expired unused.
    Expired,
    /// A draw that no node answered in time.
    Failed,
    /// A draw that the fallback had to replace.
    Fallback,
    /// A grant that came from another node.
    Grant,
    /// A token that a bucket of this node granted.
    Lent,
}

impl AllowanceEvent {
    /// All variants.
    pub const ALL: [Self; 6] =
        [Self::Draw, Self::Expired, Self::Failed, Self::Fallback, Self::Grant, Self::Lent];

    fn name(self) -> &'static str {
        match self {
            Self::Draw => "draws",
            Self::Expired => "expired",
            Self::Failed => "draws-failed",
            Self::Fallback => "fallback",
            Self::Grant => "grants",
            Self::Lent => "lent",
        }
    }
}

/// A counter.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Counter {
    /// Events of the fleet-wide allowances.
    Allowance(AllowanceEvent),
    /// Requests that ended with this outcome.
    Outcome(Outcome),
    /// Requests that ended without a response from an upstream, by reason.
    EntryRefused(Reason),
    /// Retries, by the reason why the attempt before ended.
    Retried(Reason),
    /// Attempts that this node's gate refused, by reason.
    GateRefused(Reason),
    /// Ejections of a service's upstreams.
    Ejected,
    /// Returns of a service's upstreams after an ejection.
    Returned,
    /// Upstreams that take requests but have started none for a while, whenever that is reported.
    Idle,
    /// Second copies of slow attempts.
    Hedge(HedgeEvent),
    /// Invalid input and failures in the communication between processes.
    Fault(Fault),
    /// Connections of callers that were closed or refused for a limit.
    Closed(CloseReason),
    /// Requests that were read and ended without a complete answer.
    Unanswered(Interruption),
}

impl Counter {
    /// Returns the metric name without the prefix.
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
            Self::Allowance(event) => format!("allowance.{}", event.name()),
            Self::Outcome(outcome) => format!("entry.outcome.{}", outcome.name()),
            Self::EntryRefused(reason) => format!("entry.refused.{}", reason.name()),
            Self::Retried(reason) => format!("entry.retried.{}", reason.name()),
            Self::GateRefused(reason) => format!("gate.refused.{}", reason.name()),
            Self::Ejected => "gate.ejected".to_owned(),
            Self::Returned => "gate.returned".to_owned(),
            Self::Idle => "gate.idle".to_owned(),
            Self::Hedge(event) => hedge_name(event),
            Self::Fault(fault) => format!("fault.{}", fault.name()),
            Self::Closed(reason) => format!("closed.{}", reason.name()),
            Self::Unanswered(reason) => format!("unanswered.{}", reason.name()),
        }
    }
}

fn hedge_name(event: HedgeEvent) -> String {
    match event {
        HedgeEvent::Started => "entry.hedge.started".to_owned(),
        HedgeEvent::Won => "entry.hedge.won".to_owned(),
        HedgeEvent::Lost => "entry.hedge.lost".to_owned(),
        HedgeEvent::Refused => "entry.hedge.refused".to_owned(),
        HedgeEvent::Suppressed(reason) => format!("entry.hedge.suppressed.{}", reason.name()),
    }
}

/// A stage of a request whose duration is recorded.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Stage {
    /// From the receipt of the request head to the response, at the entry.
    Request,
    /// The time in the queue for a slot, at the gate.
    Queue,
    /// The run on the upstream, as seen by the gate.
    Run,
}

impl Stage {
    /// All variants.
    pub const ALL: [Self; 3] = [Self::Request, Self::Queue, Self::Run];

    /// Returns the value of the metric label.
    pub fn name(self) -> &'static str {
        match self {
            Self::Request => "request",
            Self::Queue => "queue",
            Self::Run => "run",
        }
    }
}

/// Opens a statsd client; without a server address, it discards all metrics.
///
/// # Errors
///
/// The socket cannot be opened.
pub fn statsd_client(server: Option<std::net::SocketAddr>) -> Result<StatsdClient, NodeError> {
    let Some(server) = server else {
        return Ok(StatsdClient::from_sink(METRIC_PREFIX, cadence::NopMetricSink));
    };
    let local = if server.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" };
    let socket = UdpSocket::bind(local)
        .map_err(|fault| NodeError::Listen { address: server, fault: fault.to_string() })?;
    let sink = QueuingMetricSink::from(UdpMetricSink::from(server, socket)?);
    Ok(StatsdClient::from_sink(METRIC_PREFIX, sink))
}

/// Upper bound of the histograms; longer latencies are recorded as this value.
const MAX_LATENCY_US: u64 = 3_600_000_000;
/// Significant decimal digits of histogram values.
const SIGNIFICANT_DIGITS: u8 = 2;
/// Quantiles on the metrics page.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 0.999];

/// Keeps counters and latencies for the status and metrics pages, and sends them to statsd.
#[derive(Debug)]
pub struct Counters {
    client: StatsdClient,
    counts: IndexMap<Counter, u64>,
    latencies: IndexMap<Stage, (Histogram<u64>, Duration)>,
    orphaned: usize,
    rejected: usize,
    budget: Budget,
}

impl Counters {
    /// Creates counters with the value zero; `budget` is what the node holds for others.
    pub fn new(client: StatsdClient, budget: Budget) -> Self {
        let (counts, latencies) = (IndexMap::new(), IndexMap::new());
        Self { client, counts, latencies, orphaned: 0, rejected: 0, budget }
    }

    /// Increments a counter.
    pub fn add(&mut self, counter: Counter) {
        self.add_many(counter, 1);
    }

    /// Increases a counter by `count`.
    pub fn add_many(&mut self, counter: Counter, count: u64) {
        *self.counts.entry(counter).or_default() += count;
        if let Err(fault) = self.client.count(&counter.name(), count) {
            log::debug!("event=metric-lost fault={fault:?}");
        }
    }

    /// Sets the number of running attempts whose slot has no owner.
    pub fn set_orphaned(&mut self, attempts: usize) {
        self.orphaned = attempts;
        if let Err(fault) = self.client.gauge("gate.orphaned", attempts as u64) {
            log::debug!("event=metric-lost fault={fault:?}");
        }
    }

    /// Sets the number of configuration documents and entries that cannot be read, so that their
    /// last good versions are in force.
    pub fn set_rejected(&mut self, count: usize) {
        self.rejected = count;
        let value = u64::try_from(count).unwrap_or(u64::MAX);
        if let Err(fault) = self.client.gauge("configuration.rejected", value) {
            log::debug!("event=metric-lost fault={fault:?}");
        }
    }

    /// Records the duration of a stage.
    pub fn record_latency(&mut self, stage: Stage, time: Duration) {
        if let Err(fault) = self.client.time(&format!("latency.{}", stage.name()), time) {
            log::debug!("event=metric-lost fault={fault:?}");
        }
        let micros =
            u64::try_from(time.as_micros()).unwrap_or(MAX_LATENCY_US).clamp(1, MAX_LATENCY_US);
        if let Some((histogram, sum)) = self.latencies.get_mut(&stage) {
            histogram.saturating_record(micros);
            *sum += time;
            return;
        }
        match Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS) {
            Ok(mut histogram) => {
                histogram.saturating_record(micros);
                self.latencies.insert(stage, (histogram, time));
            }
            Err(fault) => log::error!("event=metric-lost fault={fault:?}"),
        }
    }

    /// Returns all nonzero counters, sorted by name.
    pub fn snapshot(&self) -> IndexMap<String, u64> {
        let mut counts: IndexMap<String, u64> =
            self.counts.iter().map(|(counter, count)| (counter.name(), *count)).collect();
        counts.sort_keys();
        counts
    }

    /// Renders counters and latencies in the Prometheus text format.
    pub fn render(&self) -> String {
        let mut lines = vec![format!("# TYPE {METRIC_PREFIX}_events_total counter")];
        for (name, count) in self.snapshot() {
            lines.push(format!("{METRIC_PREFIX}_events_total{{event=\"{name}\"}} {count}"));
        }
        lines.push(format!("# TYPE {METRIC_PREFIX}_held_bytes gauge"));
        for (kind, bytes) in self.budget.held_by_kind() {
            let kind = kind.name();
            lines.push(format!("{METRIC_PREFIX}_held_bytes{{kind=\"{kind}\"}} {bytes}"));
        }
        let orphaned = format!("{METRIC_PREFIX}_orphaned_attempts");
        lines.push(format!("# TYPE {orphaned} gauge"));
        lines.push(format!("{orphaned} {}", self.orphaned));
        let name = format!("{METRIC_PREFIX}_configuration_rejected");
        lines.push(format!("# TYPE {name} gauge"));
        lines.push(format!("{name} {}", self.rejected));
        let name = format!("{METRIC_PREFIX}_latency_seconds");
        lines.push(format!("# TYPE {name} summary"));
        for (stage, (histogram, sum)) in &self.latencies {
            let stage = stage.name();
            for quantile in QUANTILES {
                let micros = histogram.value_at_quantile(quantile);
                let value = Duration::from_micros(micros).as_secs_f64();
                lines.push(format!("{name}{{stage=\"{stage}\",quantile=\"{quantile}\"}} {value}"));
            }
            let (sum, count) = (sum.as_secs_f64(), histogram.len());
            lines.push(format!("{name}_sum{{stage=\"{stage}\"}} {sum}"));
            lines.push(format!("{name}_count{{stage=\"{stage}\"}} {count}"));
        }
        lines.push(String::new());
        lines.join("\n")
    }
}
