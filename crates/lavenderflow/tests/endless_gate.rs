//! A gate whose response does not end, seen by the entry.

mod common;

use std::time::Duration;

use bytes::Bytes;
use common::scripted::{Driven, NODE, Node, TEST_TIMEOUT, admitted, receive, spec};
use lavenderflow::net::body::ResponseParts;
use lavenderflow::net::drive::ReplyBody;
use lavenderflow_core::request::{AttemptReport, AttemptSpec, EntryAction};
use lavenderflow_schema::wire::frame::Body;
use lavenderflow_schema::wire::{Answer, Chunk};
use tokio::time::{Instant, sleep, timeout};

/// Time that the caller leaves, most of which passes before the head of the response.
const REMAINING: Duration = Duration::from_secs(1);
const HEAD_DELAY: Duration = Duration::from_millis(900);
/// Time between two parts of the body.
const PART_PAUSE: Duration = Duration::from_millis(20);
/// Time after the deadline by which a request must have ended.
const END_MARGIN: Duration = Duration::from_millis(500);

/// Returns a node, a request with this time left, and the body of its response, which has no end.
async fn endless_response(
    remaining: Duration,
    head_delay: Duration,
) -> (Node, Driven, ResponseParts) {
    let mut node = Node::new();
    let mut driven = node.begin(true, Bytes::new()).await;
    driven.dispatch_spec(NODE, AttemptSpec { remaining, ..spec(true) }).await;
    let (mut sink, mut source) = node.links.recv().await.expect("a link");
    assert!(matches!(receive(&mut source).await, Some(Body::Begin(_))));
    sink.send(admitted()).await.expect("an entry");
    sleep(head_delay).await;
    let head = Answer { request_id: "r".to_owned(), status: 200, ..Answer::default() };
    sink.send(Body::Answer(head)).await.expect("an entry");
    while !matches!(node.report().await, AttemptReport::Answered { .. }) {}
    let relay = EntryAction::Relay { request: common::scripted::REQUEST, ticket: None };
    driven.actions.send(relay).await.expect("a request");
    tokio::spawn(async move {
        let part = || Body::Chunk(Chunk { data: Bytes::from_static(b"x"), last: false });
        while sink.send(part()).await.is_ok() {
            sleep(PART_PAUSE).await;
        }
    });
    let reply = timeout(TEST_TIMEOUT, &mut driven.reply).await.expect("in time").expect("a reply");
    let ReplyBody::Streamed(_, parts) = reply.body else { panic!("no body") };
    (node, driven, parts)
}

#[tokio::test]
async fn a_gate_whose_late_response_never_ends_is_cut_at_the_deadline() {
    let started = Instant::now();
    let (mut node, _driven, mut parts) = endless_response(REMAINING, HEAD_DELAY).await;
    let mut last = None;
    while let Some(part) = timeout(TEST_TIMEOUT, parts.recv()).await.expect("in time") {
        last = Some(part);
    }
    assert!(matches!(last, Some(Err(_))), "{last:?}");
    assert!(started.elapsed() < REMAINING + END_MARGIN, "{:?}", started.elapsed());
    assert_eq!(node.report().await, AttemptReport::Truncated);
}

/// Guards against callers that read slowly and are taken for failures of the service.
#[tokio::test]
async fn a_response_that_is_not_read_is_no_failure_of_the_service() {
    let (mut node, _driven, _parts) = endless_response(REMAINING / 2, Duration::ZERO).await;
    assert_eq!(node.report().await, AttemptReport::CallerGone);
}
