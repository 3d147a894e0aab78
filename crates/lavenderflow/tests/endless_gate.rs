//! A gate whose response does not end, seen by the entry.

mod common;

use std::time::Duration;

use bytes::Bytes;
use common::scripted::{NODE, Node, TEST_TIMEOUT, admitted, receive, spec};
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

#[tokio::test]
async fn a_gate_whose_late_response_never_ends_is_cut_at_the_deadline() {
    let mut node = Node::new();
    let driven = node.begin(true, Bytes::new()).await;
    let started = Instant::now();
    driven.dispatch_spec(NODE, AttemptSpec { remaining: REMAINING, ..spec(true) }).await;
    let (mut sink, mut source) = node.links.recv().await.expect("a link");
    assert!(matches!(receive(&mut source).await, Some(Body::Begin(_))));
    sink.send(admitted()).await.expect("an entry");
    sleep(HEAD_DELAY).await;
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
    let reply = timeout(TEST_TIMEOUT, driven.reply).await.expect("in time").expect("a reply");
    let ReplyBody::Streamed(_, mut parts) = reply.body else { panic!("no body") };
    let mut last = None;
    while let Some(part) = timeout(TEST_TIMEOUT, parts.recv()).await.expect("in time") {
        last = Some(part);
    }
    assert!(matches!(last, Some(Err(_))), "{last:?}");
    assert!(started.elapsed() < REMAINING + END_MARGIN, "{:?}", started.elapsed());
}
