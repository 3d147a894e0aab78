//! Requests as the entry sees them: what comes in and what it wants done.

use std::sync::Arc;

use crate::prelude::*;
use crate::ticket::StoredAnswer;

/// A request as the entry sees it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Arrival {
    /// Identifies the request within this entry.
    pub request: RequestId,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// The host that the caller names.
    pub host: String,
    /// The organisation that the caller names.
    pub organisation: Option<OrganisationName>,
    /// The ticket that the caller sent.
    pub ticket: Option<TicketId>,
    /// Declared length of the body in bytes, when it is known.
    pub body_length: Option<u64>,
    /// Whether the whole body is at hand, so that the request can be sent again.
    pub body_buffered: bool,
    /// Binds a ticket to this request.
    pub fingerprint: u64,
    /// The caller's own deadline.
    pub timeout: Option<Duration>,
    /// Whether another entry forwarded the request to this one, the ticket's home.
    pub forwarded: bool,
}

/// How a gate must treat an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptSpec {
    /// The service.
    pub service: ServiceName,
    /// Whether it is long work.
    pub long: bool,
    /// Whether it may be repeated.
    pub idempotent: bool,
    /// Longest time in the gate's queue.
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

/// The end of a request without an answer from a gate at hand.
#[derive(Clone, Debug, PartialEq)]
pub struct Conclusion {
    /// What became of the request.
    pub outcome: Outcome,
    /// Why.
    pub reason: Reason,
    /// The stored answer, when the request ran before.
    pub answer: Option<Arc<StoredAnswer>>,
    /// A ticket for another try.
    pub new_ticket: Option<TicketId>,
    /// When another try may succeed, after a refusal.
    pub retry_after: Option<Duration>,
}

/// What the entry wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryAction {
    /// Send the request to a gate.
    Dispatch {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptId,
        /// The ticket under which it runs.
        ticket: Option<TicketId>,
        /// The gate.
        gate: NodeId,
        /// The run of the gate's process that the attempt is meant for.
        incarnation: Incarnation,
        /// How the gate must treat it.
        spec: AttemptSpec,
        /// Why an earlier attempt ended, when this one repeats it.
        retry_reason: Option<Reason>,
    },
    /// Send the request to its ticket's home.
    Forward {
        /// The request.
        request: RequestId,
        /// The home.
        home: NodeId,
        /// The ticket.
        ticket: TicketId,
        /// Time left until the deadline.
        remaining: Duration,
    },
    /// Pass on the answer at hand.
    Relay {
        /// The request.
        request: RequestId,
        /// The ticket under which it ran.
        ticket: Option<TicketId>,
    },
    /// End the request.
    Conclude {
        /// The request.
        request: RequestId,
        /// How.
        conclusion: Conclusion,
    },
    /// Wait for the answer of an earlier request with the same ticket.
    Wait {
        /// The request.
        request: RequestId,
        /// Time left until the deadline.
        remaining: Duration,
    },
}

/// What happened to an attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptReport {
    /// The gate gave it a slot.
    Admitted(Load),
    /// The gate proved that it did not run.
    Refused(Reason, Option<Load>),
    /// Nothing was sent: the gate cannot be reached.
    Unreachable,
    /// The head of the answer came, with the whole answer if it is small.
    Answered {
        /// HTTP status.
        status: u16,
        /// Load of the service at the gate.
        load: Option<Load>,
        /// The whole answer; none when the body follows.
        answer: Option<Arc<StoredAnswer>>,
    },
    /// The body that followed the head is whole.
    Completed(Option<Load>),
    /// The body that followed the head broke off.
    Truncated,
    /// The attempt may have run, and no answer will come.
    Lost(Reason),
    /// The caller left.
    Abandoned,
}
