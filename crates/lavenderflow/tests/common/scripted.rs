//! A node's network tasks without its actors and upstreams, whose parts a test plays.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use lavenderflow::clock::SystemClock;
use lavenderflow::http::native::NativeDialect;
use lavenderflow::message::{AdmissionDecision, EntryMessage, GateMessage, Mailbox, Message};
use lavenderflow::net::connector::Connector;
use lavenderflow::net::context::{HeadBudgets, LocalLink, NetworkContext, local_link_channel};
use lavenderflow::net::drive::{Reply, Request, drive};
use lavenderflow::net::link::{FrameSink, FrameSource, local_pair};
use lavenderflow::net::serve;
use lavenderflow::shutdown::{self, StopSender};
use lavenderflow::slot::Slot;
use lavenderflow::upstream::{Call, ResponsePart};
use lavenderflow::work::WorkTracker;
use lavenderflow_core::fleet_level::LevelCounts;
use lavenderflow_core::gate::SlotRequest;
use lavenderflow_core::id::AttemptId;
use lavenderflow_core::load::Load;
use lavenderflow_core::memory::{Budget, HeldKind};
use lavenderflow_core::reason::Reason;
use lavenderflow_core::request::{Arrival, AttemptReport, AttemptSpec, EntryAction};
use lavenderflow_schema::wire::frame::Body;
use lavenderflow_schema::wire::{Begin, Purpose, Verdict};
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;
use tokio::time::timeout;

pub const NODE: u64 = 1;
pub const REQUEST: u64 = 5;
pub const ATTEMPT: AttemptId = AttemptId { node: NODE, incarnation: 1, serial: 1 };
/// Time that the caller leaves, as long as the entry waits for a gate's first frame.
pub const REMAINING: Duration = Duration::from_millis(150);
/// Time after which a test fails instead of waiting on.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Returns a part of a response that an account without a limit holds.
pub fn response_part(data: &Bytes) -> ResponsePart {
    let share = Budget::new(None).hold(HeldKind::Run, data.len() as u64);
    ResponsePart::new(data.clone(), share)
}

/// The ends of a node's channels that its actors and its upstreams would hold.
pub struct Node {
    pub context: NetworkContext,
    pub messages: mpsc::Receiver<Message>,
    pub links: mpsc::Receiver<LocalLink>,
    pub calls: mpsc::Receiver<Call>,
    pub stop: StopSender,
}

impl Node {
    pub fn new() -> Self {
        let (mailbox, messages) = Mailbox::new();
        let (local_links, links) = local_link_channel();
        let (call_sender, calls) = mpsc::channel(4);
        let (stop, stop_watch) = shutdown::channel();
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let endpoint = quinn::Endpoint::client(address).expect("a socket");
        let context = NetworkContext {
            node: NODE,
            clock: Arc::new(SystemClock),
            mailbox: mailbox.clone(),
            connector: Connector::start(endpoint, mailbox),
            local_links,
            calls: call_sender,
            dialect: Arc::new(NativeDialect),
            work: WorkTracker::default(),
            stop: stop_watch,
            budget: Budget::new(None),
            runs: Budget::new(None),
            heads: HeadBudgets::new(&Budget::new(None)),
            ping_interval: Duration::from_secs(1),
        };
        Self { context, messages, links, calls, stop }
    }

    pub async fn message(&mut self) -> Message {
        timeout(TEST_TIMEOUT, self.messages.recv()).await.expect("in time").expect("a message")
    }

    pub async fn report(&mut self) -> AttemptReport {
        loop {
            if let Message::Entry(EntryMessage::Report(REQUEST, report)) = self.message().await {
                return report;
            }
        }
    }

    /// Starts a request, on which the entry has not decided yet.
    pub async fn begin(&mut self, idempotent: bool, body: Bytes) -> Driven {
        let context = self.context.clone();
        let request = Request {
            arrival: Arrival {
                request: REQUEST,
                method: if idempotent { "GET" } else { "POST" }.to_owned(),
                body_buffered: true,
                body_length: Some(body.len() as u64),
                ..Arrival::default()
            },
            id: "r".to_owned(),
            headers: Vec::new(),
            body,
            body_rest: None,
        };
        let reply = tokio::spawn(async move { drive(&context, request).await });
        let Message::Entry(EntryMessage::Begin(_, actions)) = self.message().await else {
            panic!("no request");
        };
        Driven { reply, actions }
    }

    /// Starts a request and dispatches it to this node's own gate.
    pub async fn dispatch(&mut self, idempotent: bool) -> (Driven, FrameSink, FrameSource) {
        let driven = self.begin(idempotent, Bytes::new()).await;
        driven.dispatch(NODE, idempotent).await;
        let (sink, source) = self.links.recv().await.expect("a link");
        (driven, sink, source)
    }
}

/// A request that a task drives.
pub struct Driven {
    pub reply: JoinHandle<Reply>,
    pub actions: mpsc::Sender<EntryAction>,
}

impl Driven {
    pub async fn dispatch(&self, gate: u64, idempotent: bool) {
        self.dispatch_spec(gate, spec(idempotent)).await;
    }

    pub async fn dispatch_spec(&self, gate: u64, spec: AttemptSpec) {
        let dispatch = EntryAction::Dispatch {
            request: REQUEST,
            attempt: ATTEMPT,
            ticket: None,
            gate,
            incarnation: 1,
            spec,
            retry_reason: None,
            hedge_delay: None,
            replaces_stuck: false,
        };
        self.actions.send(dispatch).await.expect("a request");
    }

    /// Ends the entry's actor and returns what the caller gets.
    pub async fn end_actors(self) -> Reply {
        drop(self.actions);
        timeout(TEST_TIMEOUT, self.reply).await.expect("in time").expect("a reply")
    }
}

pub fn spec(idempotent: bool) -> AttemptSpec {
    AttemptSpec {
        service: "work".into(),
        long: false,
        idempotent,
        queue_timeout: Duration::from_secs(1),
        remaining: REMAINING,
        median_latency: Duration::ZERO,
        rank: 0,
        target_latency: None,
        retryable: idempotent,
        degraded: false,
        level: LevelCounts::default(),
        kind: None,
        gray_tolerance: 1.0,
        organisation: None,
        organisation_rank: 0,
        organisation_known: false,
        hides_key: false,
    }
}

pub async fn receive(source: &mut FrameSource) -> Option<Body> {
    timeout(TEST_TIMEOUT, source.receive()).await.expect("in time").expect("a frame")
}

pub fn queued() -> Body {
    Body::Verdict(Verdict { queued: true, ..Verdict::default() })
}

pub fn admitted() -> Body {
    Body::Verdict(Verdict { admitted: true, ..Verdict::default() })
}

pub fn refused(reason: Reason) -> Body {
    Body::Verdict(Verdict { reason: reason.name().to_owned(), ..Verdict::default() })
}

/// An attempt at this node's gate, and the entry's ends of its link.
pub async fn submit(node: &mut Node, on_commit: bool) -> (Attempt, FrameSink, FrameSource) {
    submit_frame(node, Begin { idempotent: !on_commit, on_commit, ..Begin::default() }).await
}

pub async fn submit_frame(node: &mut Node, frame: Begin) -> (Attempt, FrameSink, FrameSource) {
    let begin = Begin {
        purpose: Purpose::Dispatch.into(),
        attempt: Some(ATTEMPT.into()),
        request_id: "r".to_owned(),
        method: "GET".to_owned(),
        target: "/".to_owned(),
        remaining_us: 5_000_000,
        patience_us: 5_000_000,
        ..frame
    };
    let ((entry_sink, entry_source), (gate_sink, gate_source)) = local_pair();
    let context = node.context.clone();
    let served = tokio::spawn(async move {
        // The test reads the result from the link.
        let _ = serve::serve_as_gate(&context, begin, gate_sink, gate_source).await;
    });
    let Message::Gate(GateMessage::Submit(request, _, reply)) = node.message().await else {
        panic!("no attempt");
    };
    (Attempt { served, request, reply }, entry_sink, entry_source)
}

pub struct Attempt {
    pub served: JoinHandle<()>,
    pub request: SlotRequest,
    pub reply: oneshot::Sender<AdmissionDecision>,
}

pub fn grant(node: &Node) -> (AdmissionDecision, mpsc::Sender<()>) {
    let (slot, owner) = Slot::new(ATTEMPT, node.context.mailbox.clone());
    let start = AdmissionDecision::Start {
        upstream: "upstream".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        deadline: Instant::now() + TEST_TIMEOUT,
        load: Load::default(),
        slot,
    };
    (start, owner)
}
