//! A home and a gate whose entry does not read what they send, or stops in the middle of a body.

mod common;

use std::time::Duration;

use bytes::Bytes;
use common::scripted::{
    NODE, Node, TEST_TIMEOUT, admitted, grant, receive, spec, submit, submit_frame,
};
use lavenderflow::message::{EntryMessage, GateMessage, Message};
use lavenderflow::net::link::{FrameSink, FrameSource, local_pair};
use lavenderflow::net::serve;
use lavenderflow::upstream::CallEvent;
use lavenderflow_core::gate::UpstreamSignals;
use lavenderflow_core::load::Load;
use lavenderflow_core::request::{AttemptReport, AttemptSpec, EntryAction};
use lavenderflow_schema::wire::frame::Body;
use lavenderflow_schema::wire::{Answer, Begin, Chunk, Purpose};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

/// Time that the entry leaves.
const REMAINING: Duration = Duration::from_secs(1);
/// Time after the deadline by which the home must have ended.
const END_MARGIN: Duration = Duration::from_millis(500);
/// Size of a part of the body.
const PART_BYTES: usize = 64 * 1024;

/// Forwards a request to its home, whose gate sends a response without end; returns the home's task
/// and the entry's ends of the link.
async fn endless_home(node: &mut Node) -> (JoinHandle<()>, FrameSink, FrameSource) {
    let ((entry_sink, entry_source), (home_sink, home_source)) = local_pair();
    let begin = Begin {
        purpose: Purpose::Forward.into(),
        request_id: "r".to_owned(),
        method: "GET".to_owned(),
        target: "/".to_owned(),
        remaining_us: u64::try_from(REMAINING.as_micros()).expect("a time"),
        ..Begin::default()
    };
    let context = node.context.clone();
    let home = tokio::spawn(async move {
        // The test reads the result from the link.
        let _ = serve::serve(&context, begin, home_sink, home_source).await;
    });
    let Message::Entry(EntryMessage::Begin(arrival, actions)) = node.message().await else {
        panic!("no request");
    };
    // The request's id is random.
    let request = arrival.request;
    let dispatch = EntryAction::Dispatch {
        request,
        attempt: common::scripted::ATTEMPT,
        ticket: None,
        gate: NODE,
        incarnation: 1,
        spec: AttemptSpec { remaining: REMAINING, ..spec(true) },
        retry_reason: None,
        hedge_delay: None,
        replaces_stuck: false,
    };
    actions.send(dispatch).await.expect("a request");
    let (mut sink, mut source) = node.links.recv().await.expect("a link");
    assert!(matches!(receive(&mut source).await, Some(Body::Begin(_))));
    sink.send(admitted()).await.expect("a home");
    let head = Answer { request_id: "r".to_owned(), status: 200, ..Answer::default() };
    sink.send(Body::Answer(head)).await.expect("a home");
    loop {
        if let Message::Entry(EntryMessage::Report(_, AttemptReport::Answered { .. })) =
            node.message().await
        {
            break;
        }
    }
    actions.send(EntryAction::Relay { request, ticket: None }).await.expect("a request");
    tokio::spawn(async move {
        let data = Bytes::from(vec![b'x'; PART_BYTES]);
        let part = || Body::Chunk(Chunk { data: data.clone(), last: false });
        while sink.send(part()).await.is_ok() {}
        drop(actions);
    });
    (home, entry_sink, entry_source)
}

#[tokio::test]
async fn a_home_whose_entry_reads_nothing_ends_at_the_deadline() {
    let mut node = Node::new();
    let (home, _sink, _source) = endless_home(&mut node).await;
    let ended = timeout(REMAINING + END_MARGIN, home).await;
    assert!(ended.is_ok(), "the home still waits");
}

#[tokio::test]
async fn a_home_whose_gate_sends_without_end_is_cut_at_the_deadline() {
    let mut node = Node::new();
    let (home, _sink, mut source) = endless_home(&mut node).await;
    let reading = async {
        let mut frames = Vec::new();
        while let Ok(Some(frame)) = source.receive().await {
            frames.push(matches!(frame, Body::End(_)));
            sleep(Duration::from_millis(1)).await;
        }
        frames
    };
    let frames = timeout(REMAINING + END_MARGIN, reading).await.expect("an end");
    assert!(!frames.contains(&true), "a complete response");
    timeout(TEST_TIMEOUT, home).await.expect("in time").expect("a home");
}

/// Guards against a gate that waits for an entry with the last frame of a response.
#[tokio::test]
async fn a_gate_whose_entry_does_not_read_the_end_of_a_response_ends() {
    let mut node = Node::new();
    let (attempt, _sink, _source) = submit(&mut node, false).await;
    // The notice of the queue and the grant fill the link.
    sleep(Duration::from_millis(100)).await;
    let (start, _owner) = grant(&node);
    attempt.reply.send(start).expect("an attempt");
    let call = timeout(TEST_TIMEOUT, node.calls.recv()).await.expect("in time").expect("a call");
    let (status, headers, signals) = (200, Vec::new(), UpstreamSignals::default());
    call.events.send(CallEvent::Head { status, headers, signals }).await.expect("a gate");
    call.events.send(CallEvent::End).await.expect("a gate");
    loop {
        if let Message::Gate(GateMessage::Finish(_, _, load)) = node.message().await {
            load.send(Load::default()).expect("a gate");
            break;
        }
    }
    let ended = timeout(TEST_TIMEOUT + END_MARGIN, attempt.served).await;
    assert!(ended.is_ok(), "the gate still waits");
}

/// Guards against tasks and streams that wait for the body of a request that has ended.
#[tokio::test]
async fn a_body_that_stops_in_the_middle_does_not_outlast_its_run() {
    let mut node = Node::new();
    let body = Bytes::from_static(b"first");
    let begin = Begin { body, body_follows: true, ..Begin::default() };
    let (attempt, sink, source) = submit_frame(&mut node, begin).await;
    let (start, _owner) = grant(&node);
    attempt.reply.send(start).expect("an attempt");
    let call = timeout(TEST_TIMEOUT, node.calls.recv()).await.expect("in time").expect("a call");
    let (status, headers, signals) = (200, Vec::new(), UpstreamSignals::default());
    call.events.send(CallEvent::Head { status, headers, signals }).await.expect("a gate");
    call.events.send(CallEvent::End).await.expect("a gate");
    // The call ends with its response.
    drop(call);
    loop {
        if let Message::Gate(GateMessage::Finish(_, _, load)) = node.message().await {
            load.send(Load::default()).expect("a gate");
            break;
        }
    }
    timeout(TEST_TIMEOUT, attempt.served).await.expect("in time").expect("a gate");
    let closed = timeout(TEST_TIMEOUT, sink.closed()).await;
    assert!(closed.is_ok(), "the gate still waits for the body");
    drop(source);
}
