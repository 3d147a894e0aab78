//! A run that its gate takes for stuck while its response is on the way to the caller.

mod common;

use bytes::Bytes;
use common::scripted::{
    ATTEMPT, Attempt, NODE, Node, REQUEST, TEST_TIMEOUT, admitted, grant, receive, response_part,
    spec, submit,
};
use lavenderflow::message::{GateMessage, Message};
use lavenderflow::net::drive::ReplyBody;
use lavenderflow::upstream::CallEvent;
use lavenderflow_core::gate::{RunResult, UpstreamSignals};
use lavenderflow_core::load::Load;
use lavenderflow_core::request::{AttemptReport, AttemptSpec, EntryAction};
use lavenderflow_schema::wire::frame::Body;
use lavenderflow_schema::wire::{Answer, Chunk, End, Verdict};
use tokio::time::timeout;

/// More than a gate sends in one frame.
const PART_BYTES: usize = 80 * 1024;

fn stuck() -> Body {
    Body::Verdict(Verdict { stuck: true, ..Verdict::default() })
}

/// Guards against a verdict in the middle of a body, which entries take for a broken link.
#[tokio::test]
async fn a_gate_sends_no_verdict_once_the_response_has_begun() {
    let mut node = Node::new();
    let (Attempt { reply, .. }, _sink, mut source) = submit(&mut node, false).await;
    let (start, owner) = grant(&node);
    reply.send(start).expect("an attempt");
    assert!(receive(&mut source).await.is_some(), "an admission");
    let call = node.calls.recv().await.expect("a call");
    let (headers, signals) = (Vec::new(), UpstreamSignals::default());
    let send = |event| call.events.send(event);
    send(CallEvent::Head { status: 200, headers, signals }).await.expect("a task");
    let started = node.message().await;
    assert!(matches!(started, Message::Gate(GateMessage::ResponseStarted(ATTEMPT, _))));
    owner.send(()).await.expect("an owner");
    let part = response_part(&vec![b'x'; PART_BYTES].into());
    send(CallEvent::Data(part)).await.expect("a task");
    assert!(matches!(receive(&mut source).await, Some(Body::Answer(_))));
    send(CallEvent::End).await.expect("a task");
    let Message::Gate(GateMessage::Finish(ATTEMPT, RunResult::Success, load)) =
        node.message().await
    else {
        panic!("no end");
    };
    load.send(Load::default()).expect("a task");
    let end = receive(&mut source).await;
    assert!(matches!(&end, Some(Body::End(end)) if end.length == PART_BYTES as u64), "{end:?}");
}

/// Guards against cut responses of gates of earlier versions, which send a verdict in the body.
#[tokio::test]
async fn a_response_goes_on_after_a_verdict_that_its_run_is_stuck() {
    let mut node = Node::new();
    let mut driven = node.begin(true, Bytes::new()).await;
    driven.dispatch_spec(NODE, AttemptSpec { remaining: TEST_TIMEOUT, ..spec(true) }).await;
    let (mut sink, mut source) = node.links.recv().await.expect("a link");
    assert!(matches!(receive(&mut source).await, Some(Body::Begin(_))));
    sink.send(admitted()).await.expect("an entry");
    let head = Answer { request_id: "r".to_owned(), status: 200, ..Answer::default() };
    sink.send(Body::Answer(head)).await.expect("an entry");
    while !matches!(node.report().await, AttemptReport::Answered { .. }) {}
    let relay = EntryAction::Relay { request: REQUEST, ticket: None };
    driven.actions.send(relay).await.expect("a request");
    let reply = timeout(TEST_TIMEOUT, &mut driven.reply).await.expect("in time").expect("a reply");
    let ReplyBody::Streamed(_, mut parts) = reply.body else { panic!("no body") };
    let part = Body::Chunk(Chunk { data: Bytes::from_static(b"x"), last: false });
    for frame in [part.clone(), stuck(), part, Body::End(End { length: 2, load: None })] {
        sink.send(frame).await.expect("an entry");
    }
    let mut body = Vec::new();
    while let Some(part) = timeout(TEST_TIMEOUT, parts.recv()).await.expect("in time") {
        body.extend_from_slice(&part.expect("a part"));
    }
    assert_eq!(body, b"xx");
    assert_eq!(node.report().await, AttemptReport::Completed { load: None, bytes: 2 });
}
