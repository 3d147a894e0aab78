//! Messages to the actors on the main thread.

use lavenderflow_core::catalog::Document;
use lavenderflow_core::gate::{RunResult, SlotRequest};
use lavenderflow_core::gossip::{Exchange, PeerCursor};
use lavenderflow_core::request::{Arrival, AttemptReport, EntryAction};
use lavenderflow_core::upstream::Announcement;
use tokio::sync::{mpsc, oneshot};

use crate::prelude::*;
use crate::reload::ReloadableSettings;
use crate::status::Status;

/// Messages that can wait for the main loop.
const CAPACITY: usize = 8192;

/// A message to the entry.
#[derive(Debug)]
pub enum EntryMessage {
    /// A request has arrived; actions for it go to the sender.
    Begin(Arrival, mpsc::Sender<EntryAction>),
    /// Something happened to an attempt.
    Report(RequestId, AttemptReport),
    /// A caller wants a ticket.
    Issue(oneshot::Sender<Option<TicketId>>),
}

/// What the gate decided on an attempt.
#[derive(Clone, Debug)]
pub enum Decision {
    /// Run it on this upstream.
    Start {
        /// Id of the upstream.
        upstream: UpstreamId,
        /// Where the upstream serves HTTP.
        address: std::net::SocketAddr,
        /// When the run must have ended.
        deadline: Instant,
        /// Load of the service.
        load: Load,
    },
    /// It did not run and will not run.
    Refuse(Reason, Load),
}

/// Where the gate answers to an attempt.
#[derive(Debug)]
pub struct Waiter {
    /// Takes the decision.
    pub reply: oneshot::Sender<Decision>,
    /// Told when the attempt is stuck and its entry must not wait for it.
    pub abandon: oneshot::Sender<()>,
}

/// A message to the gate.
#[derive(Debug)]
pub enum GateMessage {
    /// An attempt wants a slot.
    Offer(SlotRequest, Waiter),
    /// The first byte of the answer has come.
    Progress(AttemptId),
    /// A run has ended; the load after it goes to the sender.
    Finish(AttemptId, RunResult, oneshot::Sender<Load>),
    /// The entry gave up an attempt that waits.
    Cancel(AttemptId),
    /// An upstream announced itself; the sender hears when the gate goes by it.
    Announce(Announcement, oneshot::Sender<()>),
}

/// A message to the fleet actor.
#[derive(Debug)]
pub enum FleetMessage {
    /// Another node sent an exchange; the answer goes to the sender.
    Exchange(Exchange, oneshot::Sender<Exchange>),
    /// A ping ended; `None` when it was not answered.
    Pinged(NodeId, PeerCursor, Option<Exchange>),
    /// A seed at an address answered, or did not.
    Greeted(std::net::SocketAddr, Option<Exchange>),
    /// The store holds these documents.
    Stored {
        /// The documents.
        documents: Vec<Document>,
        /// Whether these are all, so that others are missing there.
        is_all: bool,
    },
    /// A watcher lost or regained the store.
    Attached {
        /// What it watches.
        prefix: &'static str,
        /// Whether it reaches the store.
        attached: bool,
    },
    /// Peer addresses that the store introduced.
    Introduced(Vec<std::net::SocketAddr>),
    /// An operator asks for the documents in force.
    Documents(oneshot::Sender<Vec<Document>>),
}

/// A message to the actors.
#[derive(Debug)]
pub enum Message {
    /// To the entry.
    Entry(EntryMessage),
    /// To the gate.
    Gate(GateMessage),
    /// To the fleet actor.
    Fleet(FleetMessage),
    /// To the counters.
    Count(Counter),
    /// To the latencies.
    Latency(Stage, Duration),
    /// An operator asks for the metrics page.
    Metrics(oneshot::Sender<String>),
    /// An operator asks for the status.
    Status(oneshot::Sender<Status>),
    /// Settings have changed that can while a node runs.
    Tune(Box<ReloadableSettings>),
    /// The node must stop gracefully.
    Drain,
}

/// Sends messages to the actors.
#[derive(Clone, Debug)]
pub struct Mailbox(mpsc::Sender<Message>);

impl Mailbox {
    /// Creates a mailbox and the receiver for the main loop.
    pub fn new() -> (Self, mpsc::Receiver<Message>) {
        let (sender, receiver) = mpsc::channel(CAPACITY);
        (Self(sender), receiver)
    }

    /// Sends a message; waits while the main loop is behind. Does nothing once the node stops.
    pub async fn send(&self, message: Message) {
        let _ = self.0.send(message).await;
    }

    /// Sends a message from a thread outside of the runtime.
    pub fn send_blocking(&self, message: Message) {
        let _ = self.0.blocking_send(message);
    }
}
