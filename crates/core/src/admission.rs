//! The input and output types of a gate.

use std::net::SocketAddr;

use crate::prelude::*;
use crate::upstream::idle::IdleReport;
use crate::upstream::{EndedLifetime, Lifetime};

/// A request for a slot.
#[derive(Clone, Debug)]
pub struct SlotRequest {
    /// The attempt.
    pub attempt: AttemptId,
    /// The incarnation of the gate's node that the attempt is meant for.
    pub incarnation: Incarnation,
    /// The service.
    pub service: ServiceName,
    /// Whether the request is long.
    pub long: bool,
    /// Whether the request is idempotent.
    pub idempotent: bool,
    /// Longest time in the queue; zero when the request may not be queued.
    pub queue_timeout: Duration,
    /// Time left until the deadline.
    pub remaining: Duration,
    /// Median latency of short requests at the service's gates; zero when unknown.
    pub median_latency: Duration,
    /// Priority; 0 is the highest.
    pub rank: u32,
    /// Latency within which a response has its full value, if the route sets one.
    pub target_latency: Option<Duration>,
    /// Whether the request could be retried now if this attempt failed.
    pub retryable: bool,
    /// Whether the service leaves requests unserved, so that likely gray upstreams are needed too.
    pub degraded: bool,
    /// Kind of work, if the route limits attempts. Gates judge the age of a run by the latencies of
    /// its kind.
    pub kind: Option<WorkKind>,
    /// Highest gray failure probability at which an upstream may still get the request.
    pub gray_tolerance: f32,
    /// Configured organisation that the request belongs to.
    pub organisation: Option<OrganisationName>,
    /// Priority of the organisation, which goes before `rank`; 0 is the highest.
    pub organisation_rank: u32,
}

/// What a response says about the rate at which its upstream takes requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum RateSignal {
    /// There is no limit.
    #[default]
    Unlimited,
    /// The upstream takes this many requests per second from all nodes together.
    PerSecond(f64),
    /// A limit that cannot be read.
    Unreadable,
}

/// What an upstream says about itself in a response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UpstreamSignals {
    /// The rate at which it takes requests.
    pub rate: RateSignal,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// How a run on an upstream ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunResult {
    /// A complete response that is not a server error.
    Success,
    /// A complete response with a server error.
    ServerError,
    /// No connection could be opened: the request did not run.
    ConnectFailed,
    /// The upstream refused the request because of its load: it did not run.
    Shed,
    /// The response was truncated or missing.
    Broken,
    /// The deadline passed during the run.
    TimedOut,
    /// The caller or the entry cancelled the request, or its body was truncated.
    Cancelled,
}

/// An action for the owner of the gate to execute.
#[derive(Clone, Debug, PartialEq)]
pub enum GateAction {
    /// Run the attempt on an upstream.
    Start {
        /// The attempt.
        attempt: AttemptId,
        /// The upstream.
        upstream: UpstreamId,
        /// HTTP address of the upstream.
        address: SocketAddr,
        /// Time at which the run must have finished.
        deadline: Instant,
        /// Load of the service.
        load: Load,
    },
    /// Tell the entry that the attempt did not run and will not run.
    Refuse {
        /// The attempt.
        attempt: AttemptId,
        /// Reason for the refusal.
        reason: Reason,
        /// Load of the service.
        load: Load,
    },
    /// Tell the entry not to wait for the attempt, which is stuck and may be retried elsewhere.
    /// The attempt holds its slot until it finishes.
    Abandon {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Publish the current offers of the gate to the other nodes.
    Publish,
    /// Store the ended lifetimes, so that a restarted node knows them.
    StoreLifetimes(Vec<EndedLifetime>),
    /// Log that a lifetime has taken over although it has an earlier start time than the one
    /// before: the time of day went back.
    ReportEarlierStart {
        /// The upstream.
        upstream: UpstreamId,
        /// The lifetime that has taken over.
        announced: Lifetime,
    },
    /// Log that an announcement was ignored, because it arrived late or its lifetime has ended.
    ReportOutdated {
        /// The upstream.
        upstream: UpstreamId,
        /// The lifetime and sequence number of the announcement.
        announced: Lifetime,
    },
    /// Log that an upstream has named another limit for its requests, or none.
    ReportRateLimit {
        /// The upstream.
        upstream: UpstreamId,
        /// Requests per second; `None` without a limit.
        rate: Option<f64>,
    },
    /// Log that an upstream takes requests but has started none for a while.
    ReportIdle(IdleReport),
    /// Log that an upstream has said in a response that it is leaving.
    ReportLeaving {
        /// The upstream.
        upstream: UpstreamId,
    },
    /// Log that an upstream has become likely gray, or is so no longer. Entries learn it from load
    /// reports.
    ReportGray {
        /// The upstream.
        upstream: UpstreamId,
        /// Whether it is likely gray.
        likely_gray: bool,
        /// The gray failure probability.
        probability: f64,
    },
}

/// The capacity that a gate offers for one service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceOffer {
    /// The service.
    pub service: ServiceName,
    /// Total slots of the upstreams.
    pub slots: u32,
    /// Condition of the upstreams.
    pub condition: Condition,
    /// Weight of the evidence against the best upstream.
    pub evidence: f32,
}
