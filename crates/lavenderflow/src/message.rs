//! Messages that other threads send to the actors on the main thread.

use lavenderflow_core::allowance::message::{Draw, DrawSerial, Grant};
use lavenderflow_core::catalog::{Document, Rejection};
use lavenderflow_core::fleet_level::LevelCounts;
use lavenderflow_core::gate::{RunResult, SlotRequest, UpstreamSignals};
use lavenderflow_core::gossip::{Exchange, PeerCursor};
use lavenderflow_core::request::{Arrival, AttemptReport, EntryAction};
use lavenderflow_core::upstream::{Announcement, AnnouncementRefusal, EndedLifetime};
use tokio::runtime::Handle;
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::{mpsc, oneshot};

use crate::prelude::*;
use crate::reload::ReloadableSettings;
use crate::slot::Slot;
use crate::status::Status;

/// Capacity of the mailbox, in messages.
const MAILBOX_CAPACITY: usize = 8192;

/// A message to the entry actor.
#[derive(Debug)]
pub enum EntryMessage {
    /// A request has arrived; its actions go to the sender.
    Begin(Arrival, mpsc::Sender<EntryAction>),
    /// The network task reports on an attempt of a request.
    Report(RequestId, AttemptReport),
    /// A caller asks for a ticket.
    IssueTicket(oneshot::Sender<Option<TicketId>>),
}

/// The gate's decision on an attempt.
#[derive(Debug)]
pub enum AdmissionDecision {
    /// Run the attempt on this upstream.
    Start {
        /// The upstream.
        upstream: UpstreamId,
        /// The upstream's HTTP address.
        address: std::net::SocketAddr,
        /// Deadline of the run.
        deadline: Instant,
        /// Current load of the service.
        load: Load,
        /// The slot, which is given back wherever the decision ends.
        slot: Slot,
    },
    /// The attempt has not run and will not run.
    Refuse(Reason, Load),
}

/// The gate's reply to an announcement that it has applied, or why it has not.
///
/// The channel is notified once what the upstream has ended is in the store.
pub type AnnouncementReply = Result<oneshot::Receiver<()>, AnnouncementRefusal>;

/// A message to the gate actor.
#[derive(Debug)]
pub enum GateMessage {
    /// An attempt asks for a slot, and its entry tells of its recent requests; the sender receives
    /// the decision.
    Submit(SlotRequest, LevelCounts, oneshot::Sender<AdmissionDecision>),
    /// The head of the response has arrived.
    ResponseStarted(AttemptId, UpstreamSignals),
    /// The upstream has refused the attempt.
    Signals(AttemptId, UpstreamSignals),
    /// A run has ended; the sender receives the load after it.
    Finish(AttemptId, RunResult, oneshot::Sender<Load>),
    /// Nobody waits any more for the decision on an attempt, or nobody has its slot any more.
    Cancel(AttemptId),
    /// An upstream sent an announcement; the sender receives the gate's reply.
    Announce(Announcement, oneshot::Sender<AnnouncementReply>),
    /// The lifetimes that had ended before the node started were read from the store.
    RestoreLifetimes(Vec<EndedLifetime>),
}

/// A message to the allowance actor.
#[derive(Debug)]
pub enum AllowanceMessage {
    /// Another node draws tokens; the grant goes to the sender.
    Draw(Draw, oneshot::Sender<Grant>),
    /// Another node has granted tokens.
    Granted(Grant),
    /// No grant came in time.
    Failed(DrawSerial),
}

/// A message to the fleet actor.
#[derive(Debug)]
pub enum FleetMessage {
    /// Another node sent a gossip exchange; the reply goes to the sender.
    Exchange(Exchange, oneshot::Sender<Exchange>),
    /// A ping ended; the exchange is `None` if the peer did not reply.
    PingEnded(NodeId, PeerCursor, Option<Exchange>),
    /// An attempt to join through a seed ended; the exchange is `None` if the seed did not reply.
    SeedContacted(std::net::SocketAddr, Option<Exchange>),
    /// A watcher read documents from the store.
    StoreRead {
        /// The documents.
        documents: Vec<Document>,
        /// What could not be read.
        rejected: Vec<Rejection>,
        /// Whether the list is complete, so that any other document is missing in the store.
        is_complete: bool,
    },
    /// A source of configuration contained nothing newer than what was read, at some time.
    StoreConfirmed {
        /// Key prefix of the source.
        prefix: &'static str,
        /// The time.
        time: Instant,
    },
    /// A watcher lost or regained its connection to the store.
    StoreConnection {
        /// Key prefix that it watches.
        prefix: &'static str,
        /// Whether it is connected.
        attached: bool,
    },
    /// Peer addresses that are registered in the store.
    RegisteredPeers(Vec<std::net::SocketAddr>),
    /// An operator asks for the active documents.
    Documents(oneshot::Sender<Vec<Document>>),
}

/// A message to the actors.
#[derive(Debug)]
pub enum Message {
    /// To the entry actor.
    Entry(EntryMessage),
    /// To the gate actor.
    Gate(GateMessage),
    /// To the allowance actor.
    Allowance(AllowanceMessage),
    /// To the fleet actor.
    Fleet(FleetMessage),
    /// Increments a counter.
    Count(Counter),
    /// Records the latency of a stage.
    Latency(Stage, Duration),
    /// An operator asks for the metrics page.
    Metrics(oneshot::Sender<String>),
    /// An operator asks for the status.
    Status(oneshot::Sender<Status>),
    /// Settings that can be reloaded have changed.
    ApplySettings(Box<ReloadableSettings>),
    /// The node must stop gracefully.
    Drain,
}

/// Sends messages to the actors.
#[derive(Clone, Debug)]
pub struct Mailbox(mpsc::Sender<Message>);

impl Mailbox {
    /// Creates a mailbox and the receiver for the main loop.
    pub fn new() -> (Self, mpsc::Receiver<Message>) {
        let (sender, receiver) = mpsc::channel(MAILBOX_CAPACITY);
        (Self(sender), receiver)
    }

    /// Sends a message; waits while the mailbox is full. Does nothing once the main loop has
    /// ended.
    pub async fn send(&self, message: Message) {
        let _ = self.0.send(message).await;
    }

    /// Sends a message unless the mailbox is full, for messages that may be lost.
    pub fn try_send(&self, message: Message) {
        let _ = self.0.try_send(message);
    }

    /// Sends a message where nothing can wait, as when a value is dropped. While the mailbox is
    /// full, a task of the async runtime waits instead.
    pub fn send_detached(&self, message: Message) {
        if let Err(TrySendError::Full(message)) = self.0.try_send(message)
            && let Ok(runtime) = Handle::try_current()
        {
            let mailbox = self.clone();
            runtime.spawn(async move { mailbox.send(message).await });
        }
    }

    /// Sends a message from a thread outside of the async runtime; waits while the mailbox is
    /// full.
    pub fn send_blocking(&self, message: Message) {
        let _ = self.0.blocking_send(message);
    }
}
