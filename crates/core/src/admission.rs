//! What goes into a gate and what comes out.

use std::net::SocketAddr;

use crate::prelude::*;

/// A request for a slot.
#[derive(Clone, Debug)]
pub struct SlotRequest {
    /// The attempt.
    pub attempt: AttemptId,
    /// The run of the gate's process that the attempt is meant for.
    pub incarnation: Incarnation,
    /// The service.
    pub service: ServiceName,
    /// Whether it is long work.
    pub long: bool,
    /// Whether it may be repeated.
    pub idempotent: bool,
    /// Longest time in the queue.
    pub queue_timeout: Duration,
    /// Time left until the deadline.
    pub remaining: Duration,
    /// Median time of short work at the service's gates; zero when not known.
    pub median_latency: Duration,
    /// Urgency; 0 is the most urgent.
    pub rank: u32,
    /// Time within which an answer is worth most, when the route says so.
    pub target_latency: Option<Duration>,
    /// Whether it could be repeated now if this attempt came to nothing.
    pub retryable: bool,
    /// Whether the service leaves requests unserved, so that doubted upstreams are needed too.
    pub degraded: bool,
    /// What kind of work it is, when its route says; gates judge its age by it.
    pub kind: Option<WorkKind>,
    /// Highest probability of a gray spell at which the upstream still gets it.
    pub gray_tolerance: f32,
}

/// How a run on an upstream ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunResult {
    /// A whole answer that is not a server error.
    Success,
    /// A whole answer with a server error.
    ServerError,
    /// No connection could be opened: the request did not run.
    ConnectFailed,
    /// The upstream refused the request because of its load: it did not run.
    Shed,
    /// The answer broke off or did not come.
    Broken,
    /// The deadline passed during the run.
    TimedOut,
    /// The caller or the entry gave up, or the request body broke off.
    Cancelled,
}

/// What the gate wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum GateAction {
    /// Run the attempt on this upstream before the deadline.
    Start {
        /// The attempt.
        attempt: AttemptId,
        /// The upstream.
        upstream: UpstreamId,
        /// Where the upstream serves HTTP.
        address: SocketAddr,
        /// When the run must have ended.
        deadline: Instant,
        /// Load of the service.
        load: Load,
    },
    /// Tell the entry that the attempt did not run and will not run.
    Refuse {
        /// The attempt.
        attempt: AttemptId,
        /// Why.
        reason: Reason,
        /// Load of the service.
        load: Load,
    },
    /// Tell the entry not to wait for the attempt, which is stuck and may be repeated elsewhere.
    /// It holds its slot until it ends.
    Abandon {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Tell the other nodes what this gate offers now.
    Publish,
}

/// What a gate offers of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceOffer {
    /// The service.
    pub service: ServiceName,
    /// Slots of all upstreams.
    pub slots: u32,
    /// Whether the upstreams are in use.
    pub condition: Condition,
    /// Weight of the evidence against the best upstream.
    pub evidence: f32,
}
