//! Gates that send nothing for a while about an idempotent request that they may have begun to run.
//! The entry decides as in a node; the test plays the gates, over connections like those of other
//! nodes.

mod common;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use common::scripted::{NODE, Node, TEST_TIMEOUT, admitted, refused};
use lavenderflow::clock::SystemClock;
use lavenderflow::message::{EntryMessage, Message};
use lavenderflow::net::body::BodyRequest;
use lavenderflow::net::connector::Connector;
use lavenderflow::net::drive::{Reply, ReplyBody, Request, drive};
use lavenderflow::net::link::{FrameSink, FrameSource};
use lavenderflow::net::tls;
use lavenderflow_core::entry::{Entry, Identity, TicketLimits};
use lavenderflow_core::gate::ServiceOffer;
use lavenderflow_core::load::Condition;
use lavenderflow_core::profile::{Forgiveness, Profile};
use lavenderflow_core::reason::{Outcome, Reason};
use lavenderflow_core::request::Arrival;
use lavenderflow_core::roster::Member;
use lavenderflow_core::route::{Idempotency, Route, Router};
use lavenderflow_schema::wire::frame::Body;
use lavenderflow_schema::wire::{Answer, Chunk, End, Frame, Verdict};
use prost::Message as _;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

/// Time after which the silent gate sends its first frame: twice as long as the entry waits.
const LATE: Duration = Duration::from_millis(300);
/// Time in which the end of a link would be seen.
const QUIET_TIME: Duration = Duration::from_millis(50);
/// Time that the caller leaves.
const REMAINING: Duration = Duration::from_secs(5);
const SERVICE: &str = "work";

/// An attempt as its gate sees it.
struct Attempt {
    sink: FrameSink,
    // Dropping it would close the link.
    _source: FrameSource,
    connection: quinn::Connection,
    // Whether the gate runs the request only once the entry has heard of its admission.
    on_commit: bool,
}

impl Attempt {
    async fn serve(mut self) {
        self.sink.send(admitted()).await.expect("a link");
        let body = Bytes::from_static(b"late");
        let answer = Answer { status: 200, body, whole: true, ..Answer::default() };
        self.sink.send(Body::Answer(answer)).await.expect("a link");
        self.sink.finish().await;
    }

    /// Responds with a body that is streamed, in the midst of which it calls the run stuck.
    async fn stream_with_notice(mut self) {
        let answer = Answer { status: 200, ..Answer::default() };
        let stuck = Verdict { stuck: true, ..Verdict::default() };
        let data = Bytes::from_static(b"late");
        let chunk = Body::Chunk(Chunk { data, last: false });
        let end = Body::End(End { length: 8, load: None });
        let head = [admitted(), Body::Answer(answer), chunk.clone()];
        for frame in head.into_iter().chain([Body::Verdict(stuck), chunk, end]) {
            self.sink.send(frame).await.expect("a link");
        }
        self.sink.finish().await;
    }

    async fn refuse(mut self) {
        self.sink.send(refused(Reason::QueueFull)).await.expect("a link");
        self.sink.finish().await;
    }

    /// Sends the start of the first frame, and the rest of it only after the entry has given up the
    /// wait for it.
    async fn serve_in_parts(mut self) {
        let mut frame = vec![0; 4];
        Frame { body: Some(admitted()) }.encode(&mut frame).expect("room");
        let length = u32::try_from(frame.len() - 4).expect("a small frame");
        frame[..4].copy_from_slice(&length.to_be_bytes());
        let FrameSink::Quic(stream) = &mut self.sink else { panic!("no stream") };
        stream.write_all(&frame[..5]).await.expect("a link");
        sleep(LATE).await;
        stream.write_all(&frame[5..]).await.expect("a link");
        let body = Bytes::from_static(b"late");
        let answer = Answer { status: 200, body, whole: true, ..Answer::default() };
        self.sink.send(Body::Answer(answer)).await.expect("a link");
        self.sink.finish().await;
    }

    async fn is_open(&self) -> bool {
        timeout(QUIET_TIME, self.sink.closed()).await.is_err()
    }
}

/// A node whose entry uses gates on other nodes, which the test plays.
struct Fleet {
    context: lavenderflow::net::context::NetworkContext,
    attempts: mpsc::Receiver<Attempt>,
}

impl Fleet {
    /// Starts an entry that may send a request to so many gates.
    async fn start(gates: u64, limit: u32) -> Self {
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        let Node { mut context, messages, .. } = Node::new();
        let (_, client) = tls::self_signed(None).expect("keys");
        let mut endpoint = quinn::Endpoint::client(loopback).expect("a socket");
        endpoint.set_default_client_config(client);
        context.connector = Connector::start(endpoint, context.mailbox.clone());
        let (sender, attempts) = mpsc::channel(16);
        let mut entry = entry(limit);
        for gate in 2..2 + gates {
            let (server, _) = tls::self_signed(None).expect("keys");
            let endpoint = quinn::Endpoint::server(server, loopback).expect("a socket");
            let address = endpoint.local_addr().expect("an address");
            context.connector.set_address(gate, 1, address).await;
            entry.set_node(&member(gate, address), false);
            tokio::spawn(accept(endpoint, sender.clone()));
            // A gate without a connection would use up an attempt.
            while context.connector.connect_node(gate).await.is_err() {
                sleep(QUIET_TIME).await;
            }
        }
        tokio::spawn(decide(entry, messages));
        Self { context, attempts }
    }

    fn request(&self) -> JoinHandle<Reply> {
        self.send(arrival("GET"), None)
    }

    fn send(&self, arrival: Arrival, body_rest: Option<BodyRequest>) -> JoinHandle<Reply> {
        let context = self.context.clone();
        let (headers, body) = (Vec::new(), Bytes::new());
        let request = Request { arrival, id: "r".to_owned(), headers, body, body_rest };
        tokio::spawn(async move { drive(&context, request).await })
    }

    async fn next_attempt(&mut self) -> Attempt {
        timeout(TEST_TIMEOUT, self.attempts.recv()).await.expect("in time").expect("an attempt")
    }

    /// Returns the next attempt, which its gate may run.
    async fn attempt(&mut self) -> Attempt {
        let attempt = self.next_attempt().await;
        assert!(!attempt.on_commit, "the gate must be free to run the request");
        attempt
    }

    /// Refuses all further attempts.
    fn fill(mut self) {
        tokio::spawn(async move {
            while let Some(attempt) = self.attempts.recv().await {
                attempt.refuse().await;
            }
        });
    }
}

fn arrival(method: &str) -> Arrival {
    Arrival {
        request: 5,
        method: method.to_owned(),
        target: "/".to_owned(),
        body_buffered: true,
        body_length: Some(0),
        timeout: Some(REMAINING),
        ..Arrival::default()
    }
}

fn entry(limit: u32) -> Entry {
    let identity = Identity { node: NODE, incarnation: 1, zone: "zone".into() };
    let limits = TicketLimits { retention: REMAINING, answer_bytes: 1 << 20 };
    let mut entry = Entry::new(identity, limits, Arc::new(SystemClock), 3);
    let mut router = Router::default();
    router.insert(Route {
        prefix: "/".to_owned(),
        service: SERVICE.into(),
        idempotency: Idempotency::ByMethod,
        ..Route::default()
    });
    entry.set_router(router);
    let forgiveness = Forgiveness { attempts: limit, ..Profile::default().forgiveness };
    entry.set_profile(&SERVICE.into(), Profile { forgiveness, ..Profile::default() });
    entry
}

fn member(node: u64, peer_address: SocketAddr) -> Member {
    let offer = ServiceOffer {
        service: SERVICE.into(),
        slots: 4,
        condition: Condition::Healthy,
        evidence: 0.0,
    };
    Member {
        node,
        incarnation: 1,
        version: 1,
        name: format!("vm-{node}"),
        peer_address,
        caller_address: peer_address,
        zone: "zone".into(),
        leaving: false,
        detached: false,
        offers: vec![offer],
    }
}

/// Plays the actor of the entry.
async fn decide(mut entry: Entry, mut messages: mpsc::Receiver<Message>) {
    let mut requests = HashMap::new();
    while let Some(message) = messages.recv().await {
        let (request, actions) = match message {
            Message::Entry(EntryMessage::Begin(arrival, sender)) => {
                requests.insert(arrival.request, sender);
                (arrival.request, entry.begin(arrival))
            }
            Message::Entry(EntryMessage::Report(request, report)) => {
                (request, entry.report(request, report))
            }
            _ => continue,
        };
        for action in actions {
            // The request may have ended.
            let _ = requests[&request].try_send(action);
        }
    }
}

async fn accept(endpoint: quinn::Endpoint, attempts: mpsc::Sender<Attempt>) {
    while let Some(incoming) = endpoint.accept().await {
        let (connection, attempts) = (incoming.await.expect("a connection"), attempts.clone());
        tokio::spawn(async move {
            while let Ok((sink, source)) = connection.accept_bi().await {
                let (sink, mut source) = (FrameSink::Quic(sink), FrameSource::from(source));
                if let Ok(Some(Body::Begin(begin))) = source.receive().await {
                    let (connection, on_commit) = (connection.clone(), begin.on_commit);
                    let attempt = Attempt { sink, _source: source, connection, on_commit };
                    let _ = attempts.send(attempt).await;
                }
            }
        });
    }
}

async fn reply(request: JoinHandle<Reply>) -> Reply {
    timeout(TEST_TIMEOUT, request).await.expect("in time").expect("a reply")
}

fn assert_served(reply: &Reply) {
    assert_eq!((reply.status, reply.outcome), (200, Outcome::Ran), "{reply:?}");
    assert!(matches!(&reply.body, ReplyBody::Buffered(body) if body == "late"), "{reply:?}");
}

/// Guards against a request that is given up at a late gate after all others refused it.
#[tokio::test]
async fn a_late_response_is_used_after_all_other_gates_refused() {
    let mut fleet = Fleet::start(3, 3).await;
    let request = fleet.request();
    let silent = fleet.attempt().await;
    fleet.fill();
    sleep(LATE).await;
    assert!(silent.is_open().await, "the run is cut");
    silent.serve().await;
    assert_served(&reply(request).await);
}

/// Guards against a request that is given up at a late gate because no retry is left.
#[tokio::test]
async fn a_late_response_is_used_after_the_last_attempt() {
    let mut fleet = Fleet::start(3, 3).await;
    let request = fleet.request();
    fleet.attempt().await.refuse().await;
    let first = fleet.attempt().await;
    let last = fleet.attempt().await;
    sleep(LATE).await;
    assert!(first.is_open().await, "the first run is cut");
    assert!(last.is_open().await, "the last run is cut");
    first.serve().await;
    assert_served(&reply(request).await);
}

/// Guards against an error for a request that a late gate has refused.
#[tokio::test]
async fn a_late_refusal_proves_that_the_request_has_not_run() {
    let mut fleet = Fleet::start(3, 2).await;
    let request = fleet.request();
    fleet.attempt().await.refuse().await;
    let last = fleet.attempt().await;
    sleep(LATE).await;
    last.refuse().await;
    let reply = reply(request).await;
    assert_eq!((reply.outcome, reply.reason), (Outcome::NotRun, Reason::QueueFull), "{reply:?}");
}

/// Guards against a run that is cut for a retry which then fails.
#[tokio::test]
async fn a_silent_attempt_goes_on_until_another_one_is_answered() {
    let mut fleet = Fleet::start(3, 3).await;
    let request = fleet.request();
    let silent = fleet.attempt().await;
    let mut other = fleet.attempt().await;
    other.sink.send(admitted()).await.expect("a link");
    assert!(silent.is_open().await, "the run is cut");
    other.serve().await;
    timeout(TEST_TIMEOUT, silent.sink.closed()).await.expect("the end of the link");
    assert_served(&reply(request).await);
}

/// Guards against a request that may run at a late gate although its body can be sent only once.
#[tokio::test]
async fn a_streamed_body_waits_for_the_word_of_its_gate() {
    let mut fleet = Fleet::start(3, 3).await;
    let (rest, _requested) = oneshot::channel();
    let body = Arrival { body_buffered: false, body_length: Some(100_000), ..arrival("PUT") };
    let request = fleet.send(body, Some(rest));
    let silent = fleet.next_attempt().await;
    assert!(silent.on_commit, "the gate may run the request");
    fleet.fill();
    let reply = reply(request).await;
    assert_eq!((reply.outcome, reply.reason), (Outcome::NotRun, Reason::QueueFull), "{reply:?}");
}

/// Guards against a caller that waits until its deadline for a gate whose connection is lost.
#[tokio::test]
async fn a_lost_connection_ends_the_wait() {
    let mut fleet = Fleet::start(3, 3).await;
    let request = fleet.request();
    let silent = fleet.attempt().await;
    fleet.fill();
    sleep(LATE).await;
    assert!(!request.is_finished(), "the run is cut");
    silent.connection.close(quinn::VarInt::from_u32(0), b"");
    let reply = timeout(REMAINING / 2, request).await.expect("in time").expect("a reply");
    assert_eq!(reply.outcome, Outcome::Unknown, "{reply:?}");
}

/// Guards against a request that is called unknown although every gate has refused it.
#[tokio::test]
async fn a_late_refusal_after_a_refused_retry_proves_that_nothing_ran() {
    let mut fleet = Fleet::start(2, 2).await;
    let request = fleet.request();
    let silent = fleet.attempt().await;
    fleet.next_attempt().await.refuse().await;
    sleep(LATE).await;
    silent.refuse().await;
    let reply = reply(request).await;
    assert_eq!((reply.outcome, reply.reason), (Outcome::NotRun, Reason::QueueFull), "{reply:?}");
}

/// Guards against a response that is cut since its gate, of an earlier version, called its run stuck.
#[tokio::test]
async fn a_response_goes_on_after_its_run_was_called_stuck() {
    let mut fleet = Fleet::start(1, 1).await;
    let request = fleet.request();
    let attempt = fleet.next_attempt().await;
    tokio::spawn(attempt.stream_with_notice());
    let reply = reply(request).await;
    let ReplyBody::Streamed(first, mut parts) = reply.body else { panic!("no body") };
    let mut length = first.len();
    while let Some(part) = timeout(TEST_TIMEOUT, parts.recv()).await.expect("in time") {
        length += part.expect("the whole body").len();
    }
    assert_eq!(length, 8);
}

/// Guards against a frame whose start is lost with the wait for it.
#[tokio::test]
async fn a_first_frame_that_arrives_in_parts_is_read_whole() {
    let mut fleet = Fleet::start(2, 3).await;
    let request = fleet.request();
    let attempt = fleet.attempt().await;
    fleet.fill();
    attempt.serve_in_parts().await;
    let reply = reply(request).await;
    assert_eq!((reply.status, reply.outcome), (200, Outcome::Ran));
}
