//! What a request is reported as when it ends between its entry and an upstream. The test plays the
//! actors and the other side of each link.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use lavenderflow::clock::SystemClock;
use lavenderflow::http::native::NativeDialect;
use lavenderflow::message::{AdmissionDecision, EntryMessage, GateMessage, Mailbox, Message};
use lavenderflow::net::connector::Connector;
use lavenderflow::net::context::{LocalLink, NetworkContext, local_link_channel};
use lavenderflow::net::drive::{Reply, Request, drive};
use lavenderflow::net::link::{FrameSink, FrameSource, local_pair};
use lavenderflow::net::{serve, tls};
use lavenderflow::shutdown::{self, StopSender, StopStage};
use lavenderflow::slot::Slot;
use lavenderflow::upstream::{Call, CallEvent};
use lavenderflow::work::WorkTracker;
use lavenderflow_core::gate::RunResult;
use lavenderflow_core::id::AttemptId;
use lavenderflow_core::load::Load;
use lavenderflow_core::reason::{Outcome, Reason};
use lavenderflow_core::request::{Arrival, AttemptReport, AttemptSpec, EntryAction};
use lavenderflow_schema::wire::frame::Body;
use lavenderflow_schema::wire::{Begin, Chunk, Purpose, Verdict};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::timeout;

const NODE: u64 = 1;
const REQUEST: u64 = 5;
const ATTEMPT: AttemptId = AttemptId { node: NODE, incarnation: 1, serial: 1 };
/// Time that the caller leaves, as long as the entry waits for a gate's first frame.
const REMAINING: Duration = Duration::from_millis(150);
/// Time after which a test fails instead of waiting on.
const TEST_TIMEOUT: Duration = Duration::from_secs(10);

/// The ends of a node's channels that its actors and its upstreams would hold.
struct Node {
    context: NetworkContext,
    messages: mpsc::Receiver<Message>,
    links: mpsc::Receiver<LocalLink>,
    calls: mpsc::Receiver<Call>,
    stop: StopSender,
}

impl Node {
    fn new() -> Self {
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
            ping_interval: Duration::from_secs(1),
        };
        Self { context, messages, links, calls, stop }
    }

    async fn message(&mut self) -> Message {
        timeout(TEST_TIMEOUT, self.messages.recv()).await.expect("in time").expect("a message")
    }

    async fn report(&mut self) -> AttemptReport {
        loop {
            if let Message::Entry(EntryMessage::Report(REQUEST, report)) = self.message().await {
                return report;
            }
        }
    }

    /// Starts a request, on which the entry has not decided yet.
    async fn begin(&mut self, idempotent: bool, body: Bytes) -> Driven {
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
    async fn dispatch(&mut self, idempotent: bool) -> (Driven, FrameSink, FrameSource) {
        let driven = self.begin(idempotent, Bytes::new()).await;
        driven.dispatch(NODE, idempotent).await;
        let (sink, source) = self.links.recv().await.expect("a link");
        (driven, sink, source)
    }
}

/// A request that a task drives.
struct Driven {
    reply: JoinHandle<Reply>,
    actions: mpsc::Sender<EntryAction>,
}

impl Driven {
    async fn dispatch(&self, gate: u64, idempotent: bool) {
        let dispatch = EntryAction::Dispatch {
            request: REQUEST,
            attempt: ATTEMPT,
            ticket: None,
            gate,
            incarnation: 1,
            spec: spec(idempotent),
            retry_reason: None,
        };
        self.actions.send(dispatch).await.expect("a request");
    }

    /// Ends the entry's actor and returns what the caller gets.
    async fn end_actors(self) -> Reply {
        drop(self.actions);
        timeout(TEST_TIMEOUT, self.reply).await.expect("in time").expect("a reply")
    }
}

fn spec(idempotent: bool) -> AttemptSpec {
    AttemptSpec {
        service: "work".into(),
        long: false,
        idempotent,
        queue_timeout: Duration::from_secs(1),
        remaining: REMAINING,
        median_latency: Duration::ZERO,
        rank: 0,
        target_latency: None,
        retryable: false,
        degraded: false,
        kind: None,
        gray_tolerance: 1.0,
        organisation: None,
        organisation_rank: 0,
        organisation_known: false,
        hides_key: false,
    }
}

async fn receive(source: &mut FrameSource) -> Option<Body> {
    timeout(TEST_TIMEOUT, source.receive()).await.expect("in time").expect("a frame")
}

fn queued() -> Body {
    Body::Verdict(Verdict { queued: true, ..Verdict::default() })
}

fn admitted() -> Body {
    Body::Verdict(Verdict { admitted: true, ..Verdict::default() })
}

fn refused(reason: Reason) -> Body {
    Body::Verdict(Verdict { reason: reason.name().to_owned(), ..Verdict::default() })
}

/// Deadline reached in the queue, idempotent: the gate confirms that the request has not run.
#[tokio::test]
async fn a_request_that_its_entry_withdraws_from_the_queue_has_not_run() {
    let mut node = Node::new();
    let (driven, mut sink, mut source) = node.dispatch(true).await;
    assert!(matches!(receive(&mut source).await, Some(Body::Begin(_))));
    sink.send(queued()).await.expect("a link");
    assert!(matches!(receive(&mut source).await, Some(Body::Cut(_))), "a withdrawal");
    sink.send(refused(Reason::DeadlinePast)).await.expect("a link");
    assert_eq!(node.report().await, AttemptReport::Refused(Reason::DeadlinePast, None));
    assert_eq!(driven.end_actors().await.outcome, Outcome::NotRun);
}

/// The same when the gate does not confirm it, or has just admitted the request.
#[tokio::test]
async fn without_confirmation_a_withdrawn_request_may_have_run() {
    for is_admitted in [false, true] {
        let mut node = Node::new();
        let (driven, mut sink, mut source) = node.dispatch(true).await;
        receive(&mut source).await;
        sink.send(queued()).await.expect("a link");
        assert!(matches!(receive(&mut source).await, Some(Body::Cut(_))), "a withdrawal");
        if is_admitted {
            sink.send(admitted()).await.expect("a link");
            assert!(matches!(node.report().await, AttemptReport::Admitted(_)));
        }
        assert_eq!(node.report().await, AttemptReport::Lost(Reason::DeadlinePast));
        assert_eq!(driven.end_actors().await.outcome, Outcome::Unknown);
    }
}

/// Deadline reached in the queue, not idempotent: the entry has not committed the request.
#[tokio::test]
async fn a_request_that_was_never_committed_has_not_run_at_its_deadline() {
    let mut node = Node::new();
    let (driven, mut sink, mut source) = node.dispatch(false).await;
    receive(&mut source).await;
    sink.send(queued()).await.expect("a link");
    assert_eq!(node.report().await, AttemptReport::Refused(Reason::DeadlinePast, None));
    assert_eq!(driven.end_actors().await.outcome, Outcome::NotRun);
}

/// Gate lost before its grant, and link lost before the commit.
#[tokio::test]
async fn a_gate_that_is_lost_before_the_commit_has_not_run_the_request() {
    for is_queued in [false, true] {
        let mut node = Node::new();
        let (driven, mut sink, mut source) = node.dispatch(false).await;
        receive(&mut source).await;
        if is_queued {
            sink.send(queued()).await.expect("a link");
        }
        drop((sink, source));
        assert_eq!(node.report().await, AttemptReport::Unreachable, "queued {is_queued}");
        assert_eq!(driven.end_actors().await.outcome, Outcome::NotRun);
    }
}

/// Guards against a false "not run" where the gate may have started.
#[tokio::test]
async fn a_gate_that_is_lost_after_the_commit_may_have_run_the_request() {
    for idempotent in [false, true] {
        let mut node = Node::new();
        let (driven, mut sink, mut source) = node.dispatch(idempotent).await;
        receive(&mut source).await;
        if !idempotent {
            sink.send(admitted()).await.expect("a link");
            assert!(matches!(receive(&mut source).await, Some(Body::Chunk(_))), "a commit");
            assert!(matches!(node.report().await, AttemptReport::Admitted(_)));
        }
        drop((sink, source));
        assert_eq!(node.report().await, AttemptReport::Lost(Reason::Lost));
        assert_eq!(driven.end_actors().await.outcome, Outcome::Unknown);
    }
}

/// Guards against a request that is reported as lost although the gate cannot have decoded it: the
/// link ends while its frame is being sent.
#[tokio::test]
async fn a_request_that_was_sent_in_part_has_not_run() {
    const OTHER: u64 = 2;
    let (server, client) = tls::self_signed().expect("keys");
    let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
    let gate = quinn::Endpoint::server(server, loopback).expect("a socket");
    let address = gate.local_addr().expect("an address");
    let mut node = Node::new();
    let mut endpoint = quinn::Endpoint::client(loopback).expect("a socket");
    endpoint.set_default_client_config(client);
    node.context.connector = Connector::start(endpoint, node.context.mailbox.clone());
    node.context.connector.set_address(OTHER, 1, address).await;
    // More than a stream may carry before it is read.
    let driven = node.begin(true, Bytes::from(vec![7; 600 * 1024])).await;
    driven.dispatch(OTHER, true).await;
    let incoming = gate.accept().await.expect("a connection");
    let connection = incoming.await.expect("a connection");
    let (_, mut source) = connection.accept_bi().await.expect("a stream");
    source.stop(quinn::VarInt::from_u32(1)).expect("an open stream");
    assert_eq!(node.report().await, AttemptReport::Unreachable);
    assert_eq!(driven.end_actors().await.outcome, Outcome::NotRun);
}

/// Node stopping: a queued request is withdrawn before the node ends.
#[tokio::test]
async fn a_stopping_node_withdraws_queued_requests() {
    let mut node = Node::new();
    let (driven, mut sink, mut source) = node.dispatch(true).await;
    receive(&mut source).await;
    sink.send(queued()).await.expect("a link");
    node.stop.send_replace(StopStage::Refusing { last_answer: Instant::now() });
    assert!(matches!(receive(&mut source).await, Some(Body::Cut(_))), "a withdrawal");
    sink.send(refused(Reason::DeadlinePast)).await.expect("a link");
    assert_eq!(node.report().await, AttemptReport::Refused(Reason::DeadlinePast, None));
    let reply = driven.end_actors().await;
    assert_eq!((reply.outcome, reply.reason), (Outcome::NotRun, Reason::Leaving));
    assert!(reply.retry_after.is_some());
}

/// Guards against a false "not run" of a duplicate whose original may run.
#[tokio::test]
async fn a_duplicate_that_waits_for_the_response_may_have_run() {
    let mut node = Node::new();
    let driven = node.begin(false, Bytes::new()).await;
    let remaining = Duration::from_secs(5);
    driven
        .actions
        .send(EntryAction::Wait { request: REQUEST, remaining })
        .await
        .expect("a request");
    assert_eq!(driven.end_actors().await.outcome, Outcome::Unknown);
}

/// An attempt at this node's gate, and the entry's ends of its link.
async fn submit(node: &mut Node, on_commit: bool) -> (Attempt, FrameSink, FrameSource) {
    let begin = Begin {
        purpose: Purpose::Dispatch.into(),
        attempt: Some(ATTEMPT.into()),
        request_id: "r".to_owned(),
        method: "GET".to_owned(),
        target: "/".to_owned(),
        idempotent: !on_commit,
        on_commit,
        remaining_us: 5_000_000,
        patience_us: 5_000_000,
        ..Begin::default()
    };
    let ((entry_sink, entry_source), (gate_sink, gate_source)) = local_pair();
    let context = node.context.clone();
    let served = tokio::spawn(async move {
        // The test reads the result from the link.
        let _ = serve::serve_as_gate(&context, begin, gate_sink, gate_source).await;
    });
    let Message::Gate(GateMessage::Submit(_, reply)) = node.message().await else {
        panic!("no attempt");
    };
    (Attempt { served, reply }, entry_sink, entry_source)
}

struct Attempt {
    served: JoinHandle<()>,
    reply: tokio::sync::oneshot::Sender<AdmissionDecision>,
}

fn grant(node: &Node) -> (AdmissionDecision, mpsc::Sender<()>) {
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

fn refusal(body: Option<Body>) -> Option<Reason> {
    let Some(Body::Verdict(verdict)) = body else { return None };
    (!verdict.admitted && !verdict.queued).then(|| Reason::from_name(&verdict.reason))?
}

/// Guards against a run or an occupied slot after the gate has confirmed a withdrawal, also when the
/// slot was granted at the same moment.
#[tokio::test]
async fn a_withdrawn_attempt_gets_no_slot() {
    for is_granted in [false, true] {
        let mut node = Node::new();
        let (attempt, mut sink, mut source) = submit(&mut node, false).await;
        assert_eq!(receive(&mut source).await, Some(queued()));
        let cut = lavenderflow_schema::wire::Cut::default();
        sink.send(Body::Cut(cut)).await.expect("a link");
        let mut owner = None;
        if is_granted {
            let (start, sender) = grant(&node);
            owner = Some(sender);
            let _ = attempt.reply.send(start);
        }
        let first = receive(&mut source).await;
        if refusal(first.clone()).is_none() {
            // The grant was faster; the attempt runs, and nothing says that it has not.
            assert!(is_granted, "{first:?}");
            assert!(node.calls.recv().await.is_some());
            continue;
        }
        assert_eq!(refusal(first), Some(Reason::DeadlinePast));
        attempt.served.await.expect("an end");
        assert!(matches!(node.message().await, Message::Gate(GateMessage::Cancel(ATTEMPT))));
        assert!(owner.is_none_or(|owner| owner.is_closed()), "the slot has an owner");
        assert!(node.calls.try_recv().is_err(), "the attempt runs");
    }
}

/// Link lost or late before the commit: the gate frees the slot and says that nothing ran.
#[tokio::test]
async fn an_attempt_without_a_commit_has_not_run() {
    let mut node = Node::new();
    let (attempt, mut sink, mut source) = submit(&mut node, true).await;
    let (start, _owner) = grant(&node);
    attempt.reply.send(start).expect("an attempt");
    assert!(matches!(receive(&mut source).await, Some(Body::Verdict(verdict)) if verdict.admitted));
    let Message::Gate(GateMessage::Finish(ATTEMPT, result, load)) = node.message().await else {
        panic!("no result");
    };
    assert_eq!(result, RunResult::Cancelled);
    load.send(Load::default()).expect("a task");
    assert_eq!(refusal(receive(&mut source).await), Some(Reason::Unreachable));
    // A commit that comes too late has no effect.
    let _ = sink.send(Body::Chunk(Chunk { last: true, ..Chunk::default() })).await;
    attempt.served.await.expect("an end");
    assert!(node.calls.try_recv().is_err(), "the attempt runs");
}

/// Node stopping: the task that calls upstreams has ended.
#[tokio::test]
async fn an_attempt_whose_call_is_not_made_has_not_run() {
    let mut node = Node::new();
    node.calls.close();
    let (attempt, _sink, mut source) = submit(&mut node, false).await;
    let (start, _owner) = grant(&node);
    attempt.reply.send(start).expect("an attempt");
    assert!(matches!(receive(&mut source).await, Some(Body::Verdict(verdict)) if verdict.admitted));
    let Message::Gate(GateMessage::Finish(_, _, load)) = node.message().await else {
        panic!("no result");
    };
    load.send(Load::default()).expect("a task");
    assert_eq!(refusal(receive(&mut source).await), Some(Reason::Leaving));
}

/// Connection to the upstream never opened, and a connection that is closed at once: the request is
/// reported as not run only if no byte of it has reached the upstream.
#[tokio::test]
async fn a_call_without_a_connection_has_not_run() {
    let calls = lavenderflow::upstream::start(Arc::new(SystemClock), Arc::new(NativeDialect));
    let listener = tokio::net::TcpListener::bind(("127.0.0.1", 0)).await.expect("a socket");
    let address = listener.local_addr().expect("an address");
    for _ in 0..50 {
        let received = call(&calls, address);
        let (connection, _) = listener.accept().await.expect("a connection");
        let mut bytes = [0; 1];
        let is_read = matches!(connection.try_read(&mut bytes), Ok(1..));
        drop(connection);
        let not_run = timeout(TEST_TIMEOUT, received).await.expect("in time").expect("a result");
        assert!(!(is_read && not_run.is_some()), "a request that was read is reported as not run");
    }
    drop(listener);
    let received = call(&calls, address);
    let not_run = timeout(TEST_TIMEOUT, received).await.expect("in time").expect("a result");
    assert_eq!(not_run, Some(Reason::ConnectFailed));
}

/// Makes a call and returns why the request certainly did not run.
fn call(calls: &mpsc::Sender<Call>, address: SocketAddr) -> JoinHandle<Option<Reason>> {
    let (events, mut received) = mpsc::channel(2);
    let call = Call {
        address,
        upstream: "upstream".into(),
        id: "r".to_owned(),
        organisation: None,
        deadline: Instant::now() + TEST_TIMEOUT,
        idempotent: false,
        method: "POST".to_owned(),
        target: "/".to_owned(),
        headers: Vec::new(),
        body: Bytes::new(),
        body_rest: None,
        body_length: Some(0),
        events,
    };
    let calls = calls.clone();
    tokio::spawn(async move {
        calls.send(call).await.expect("a task");
        match received.recv().await {
            Some(CallEvent::Failed { not_run, .. }) => not_run,
            other => panic!("{other:?}"),
        }
    })
}
