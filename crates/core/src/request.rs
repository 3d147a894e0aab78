//! The inputs and outputs of the entry: arriving requests, reports on attempts, and actions.

use std::sync::Arc;

use crate::fleet_level::LevelCounts;
use crate::hedge::{HedgeEvent, Suppression};
use crate::prelude::*;
use crate::ticket::StoredAnswer;

/// An arriving request, as far as the entry's decisions need it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Arrival {
    /// Identifies the request within this entry.
    pub request: RequestId,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Host that the caller names.
    pub host: String,
    /// Organisation that the caller names, or to which its key belongs.
    pub organisation: Option<OrganisationName>,
    /// Digest of the key that the caller sent.
    pub key: Option<KeyDigest>,
    /// Ticket that the caller sent.
    pub ticket: Option<TicketId>,
    /// Length of the body in bytes, if known.
    pub body_length: Option<u64>,
    /// Whether the whole body is buffered, so that the request can be sent again.
    pub body_buffered: bool,
    /// Hash of the request, which binds a ticket to it.
    pub fingerprint: u64,
    /// Time until the caller's own deadline.
    pub timeout: Option<Duration>,
    /// Whether it began to arrive before the node refused new requests.
    pub in_progress: bool,
    /// Whether another entry forwarded the request to this one as the home of its ticket.
    pub forwarded: bool,
}

/// Parameters of an attempt, for the gate.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptSpec {
    /// The service.
    pub service: ServiceName,
    /// Whether the request counts as long.
    pub long: bool,
    /// Whether the request is idempotent.
    pub idempotent: bool,
    /// Longest time that the request may wait in the gate's queue.
    pub queue_timeout: Duration,
    /// Time left until the deadline.
    pub remaining: Duration,
    /// Median latency of short requests over the service's gates; zero when unknown.
    pub median_latency: Duration,
    /// Priority; 0 is the highest.
    pub rank: u32,
    /// Latency within which a response has its full value, if the route sets one.
    pub target_latency: Option<Duration>,
    /// Whether the request could be retried now if this attempt failed.
    pub retryable: bool,
    /// Whether the service leaves requests unserved, so that likely gray upstreams are needed too.
    pub degraded: bool,
    /// Recent requests of the service at this entry.
    pub level: LevelCounts,
    /// Kind of work, if the route limits attempts. Gates judge the age of a run by the latencies of
    /// its kind.
    pub kind: Option<WorkKind>,
    /// Highest probability of a gray failure at which an upstream may still get the request.
    pub gray_tolerance: f32,
    /// Organisation that the request belongs to.
    pub organisation: Option<OrganisationName>,
    /// Priority of the organisation, which goes before `rank`; 0 is the highest.
    pub organisation_rank: u32,
    /// Whether the organisation is configured. Gates do not share slots by names that anybody may
    /// claim.
    pub organisation_known: bool,
    /// Whether the header with the caller's key is removed before the request is sent on.
    pub hides_key: bool,
}

/// The end of a request for which there is no response of a gate to relay.
#[derive(Clone, Debug, PartialEq)]
pub struct Conclusion {
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Reason for the outcome.
    pub reason: Reason,
    /// The stored response, if the request ran before.
    pub answer: Option<Arc<StoredAnswer>>,
    /// Ticket for another try.
    pub new_ticket: Option<TicketId>,
    /// Time after which another try may succeed, after a refusal.
    pub retry_after: Option<Duration>,
}

/// An action for the owner of the entry to execute.
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
        /// The incarnation of the gate's node that the attempt is addressed to.
        incarnation: Incarnation,
        /// The parameters for the gate.
        spec: AttemptSpec,
        /// Why the previous attempt ended, if this one is a retry.
        retry_reason: Option<Reason>,
        /// When hedging is enabled, the time after its admission at which the attempt is to be
        /// reported as [`AttemptReport::Overdue`].
        hedge_delay: Option<Duration>,
        /// Whether a stuck attempt that still runs is to be cancelled once this one has a slot,
        /// since the limit of hedging does not allow both to run.
        replaces_stuck: bool,
    },
    /// Send a second copy of the request to another gate, while the first attempt goes on. The
    /// first response ends the other attempt; reports on the copy are wrapped in
    /// [`AttemptReport::Copy`].
    Hedge {
        /// The request.
        request: RequestId,
        /// The attempt that is the copy.
        attempt: AttemptId,
        /// The gate.
        gate: NodeId,
        /// The incarnation of the gate's node that the attempt is addressed to.
        incarnation: Incarnation,
        /// The parameters for the gate.
        spec: AttemptSpec,
    },
    /// Go on with the attempt that was reported as overdue, without a copy.
    KeepWaiting {
        /// The request.
        request: RequestId,
        /// Why there is no copy.
        suppression: Suppression,
    },
    /// Wait for the attempts that go on, and report the next end of one of them, or that a silent
    /// one is stuck, as [`AttemptReport::Earlier`].
    Await {
        /// The request.
        request: RequestId,
    },
    /// Count what happened to a copy.
    RecordHedge(HedgeEvent),
    /// Forward the request to the home of its ticket.
    Forward {
        /// The request.
        request: RequestId,
        /// The home node.
        home: NodeId,
        /// The ticket.
        ticket: TicketId,
        /// Time left until the deadline.
        remaining: Duration,
        /// Organisation that the request belongs to.
        organisation: Option<OrganisationName>,
        /// Whether the header with the caller's key is removed before the request is sent on.
        hides_key: bool,
    },
    /// Relay the reported response.
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
        /// The conclusion.
        conclusion: Conclusion,
    },
    /// Wait before the search for a gate goes on, and then report [`AttemptReport::Resumed`].
    Pause {
        /// The request.
        request: RequestId,
        /// Time to wait.
        time: Duration,
    },
    /// Take a token of the organisation's allowance, and then report [`AttemptReport::Allowed`] or
    /// [`AttemptReport::OverAllowance`].
    Draw {
        /// The request.
        request: RequestId,
        /// The organisation.
        organisation: OrganisationName,
    },
    /// Wait for the response to an earlier request with the same ticket.
    Wait {
        /// The request.
        request: RequestId,
        /// Time left until the deadline.
        remaining: Duration,
    },
}

/// A report on an attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptReport {
    /// The gate gave the attempt a slot.
    Admitted(Load),
    /// The gate refused the attempt, or it was never committed: the request did not run.
    Refused(Reason, Option<Load>),
    /// The gate cannot be reached, or the link failed before the commit: the request did not run.
    Unreachable,
    /// The head of the response came, or the whole response if it is small.
    Answered {
        /// HTTP status.
        status: u16,
        /// Load of the service at the gate.
        load: Option<Load>,
        /// The whole response; `None` if the body follows.
        answer: Option<Arc<StoredAnswer>>,
    },
    /// The body that followed the head is complete.
    Completed {
        /// Load of the service at the gate.
        load: Option<Load>,
        /// Length of the whole body in bytes.
        bytes: u64,
    },
    /// The body that followed the head was truncated.
    Truncated,
    /// The attempt may have run, and no response will come.
    Lost(Reason),
    /// The gate has sent nothing about the attempt yet. The attempt goes on, since the gate may be at
    /// work.
    Silent,
    /// The caller disconnected.
    CallerGone,
    /// The time of an [`EntryAction::Pause`] is over.
    Resumed,
    /// The request has a token of its organisation's allowance.
    Allowed,
    /// The organisation has used up its allowance; there may be a token after this time.
    OverAllowance(Duration),
    /// The attempt has run for its hedge delay without a response. The reply is one
    /// [`EntryAction::Hedge`] or [`EntryAction::KeepWaiting`].
    Overdue,
    /// A report on the second copy of the request. The copy and the first attempt are reported in
    /// the order in which they end. The first of them to end without a usable response gets no
    /// reply, since the request goes on with the other one.
    Copy(Box<AttemptReport>),
    /// A report on an attempt that goes on after it was reported as silent or as
    /// [`Reason::Stuck`]. One without a usable response gets no reply while another attempt runs.
    Earlier(AttemptId, Box<AttemptReport>),
}

impl AttemptReport {
    /// Returns whether the request may have run, as far as this report tells.
    ///
    /// # Examples
    ///
    /// ```
    /// use lavenderflow_core::reason::Reason;
    /// use lavenderflow_core::request::AttemptReport;
    ///
    /// assert!(!AttemptReport::Refused(Reason::QueueFull, None).may_have_run());
    /// // Another copy of the attempt may have run.
    /// assert!(AttemptReport::Refused(Reason::Duplicate, None).may_have_run());
    /// assert!(AttemptReport::Lost(Reason::Lost).may_have_run());
    /// ```
    pub fn may_have_run(&self) -> bool {
        match self {
            Self::Refused(reason, _) => matches!(reason, Reason::Duplicate | Reason::Outdated),
            Self::Unreachable | Self::Resumed => false,
            _ => true,
        }
    }
}
