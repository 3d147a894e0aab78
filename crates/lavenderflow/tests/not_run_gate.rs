//! What a gate reports of an attempt whose upstream has not answered it, or not to the end. The test
//! plays the actors, the entry and the upstream.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use common::scripted::{
    ATTEMPT, Node, TEST_TIMEOUT, grant, queued, receive, response_part, submit, submit_frame,
};
use lavenderflow::clock::SystemClock;
use lavenderflow::http::native::NativeDialect;
use lavenderflow::message::{GateMessage, Message};
use lavenderflow::net::serve::MAX_BUFFERED_BYTES;
use lavenderflow::upstream::{Call, CallEvent};
use lavenderflow::work::WorkTracker;
use lavenderflow_core::gate::{RunResult, UpstreamSignals};
use lavenderflow_core::load::Load;
use lavenderflow_core::memory::Budget;
use lavenderflow_core::reason::Reason;
use lavenderflow_schema::wire::frame::Body;
use lavenderflow_schema::wire::{Begin, Chunk, Cut};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::timeout;

fn refusal(body: Option<Body>) -> Option<Reason> {
    let Some(Body::Verdict(verdict)) = body else { return None };
    (!verdict.admitted && !verdict.queued).then(|| Reason::from_name(&verdict.reason))?
}

/// Guards against a run or an occupied slot after the gate has confirmed a withdrawal, also when
/// the slot was granted at the same moment.
#[tokio::test]
async fn a_withdrawn_attempt_gets_no_slot() {
    for is_granted in [false, true] {
        let mut node = Node::new();
        let (attempt, mut sink, mut source) = submit(&mut node, false).await;
        assert_eq!(receive(&mut source).await, Some(queued()));
        sink.send(Body::Cut(Cut::default())).await.expect("a link");
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
    let calls = lavenderflow::upstream::start(
        Arc::new(SystemClock),
        Arc::new(NativeDialect),
        &Budget::new(None),
        WorkTracker::default(),
    );
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

/// Guards against a response that is cut since its run was given up as stuck when its head came.
#[tokio::test]
async fn an_attempt_that_is_answered_is_not_reported_as_stuck() {
    let mut node = Node::new();
    let (attempt, _sink, mut source) = submit(&mut node, false).await;
    let (start, owner) = grant(&node);
    attempt.reply.send(start).expect("an attempt");
    assert!(matches!(receive(&mut source).await, Some(Body::Verdict(verdict)) if verdict.admitted));
    let call = node.calls.recv().await.expect("a call");
    let signals = UpstreamSignals::default();
    let head = CallEvent::Head { status: 200, headers: Vec::new(), signals };
    call.events.send(head).await.expect("a run");
    let part = Bytes::from(vec![0; MAX_BUFFERED_BYTES + 1]);
    call.events.send(CallEvent::Data(response_part(&part))).await.expect("a run");
    assert!(matches!(receive(&mut source).await, Some(Body::Answer(_))));
    owner.send(()).await.expect("a run");
    // Parts and the notice are taken in any order.
    for _ in 0..20 {
        call.events.send(CallEvent::Data(response_part(&part))).await.expect("a run");
        let frame = receive(&mut source).await;
        assert!(matches!(frame, Some(Body::Chunk(_))), "{frame:?}");
    }
}

/// Guards against an organisation that the gate does not see, and against one that anybody may
/// claim.
#[tokio::test]
async fn a_gate_shares_slots_by_configured_organisations() {
    for organisation_known in [false, true] {
        let mut node = Node::new();
        let organisation = "one".to_owned();
        let frame =
            Begin { organisation, organisation_known, organisation_rank: 3, ..Begin::default() };
        let (attempt, _sink, _source) = submit_frame(&mut node, frame).await;
        let known = organisation_known.then_some("one");
        assert_eq!(attempt.request.organisation.as_deref(), known);
        assert_eq!(attempt.request.organisation_rank, 3);
    }
}
