//! A gate that calls a run stuck after it was silent for a while, seen by the entry.

mod common;

use std::time::Duration;

use bytes::Bytes;
use common::scripted::{ATTEMPT, NODE, Node, REQUEST, admitted, receive, spec};
use lavenderflow_core::reason::Reason;
use lavenderflow_core::request::{AttemptReport, AttemptSpec, EntryAction};
use lavenderflow_schema::wire::frame::Body;
use lavenderflow_schema::wire::{Answer, Verdict};

const REMAINING: Duration = Duration::from_secs(5);

/// Guards against a silent attempt that is not replaced when its run is called stuck.
#[tokio::test]
async fn a_silent_attempt_that_is_stuck_is_reported() {
    let mut node = Node::new();
    let driven = node.begin(true, Bytes::new()).await;
    driven.dispatch_spec(NODE, AttemptSpec { remaining: REMAINING, ..spec(true) }).await;
    let (mut sink, mut source) = node.links.recv().await.expect("a link");
    assert!(matches!(receive(&mut source).await, Some(Body::Begin(_))));
    assert_eq!(node.report().await, AttemptReport::Silent);
    driven.actions.send(EntryAction::Await { request: REQUEST }).await.expect("a request");
    let stuck = Verdict { stuck: true, ..Verdict::default() };
    for frame in [admitted(), Body::Verdict(stuck)] {
        sink.send(frame).await.expect("an entry");
    }
    let earlier = |report| AttemptReport::Earlier(ATTEMPT, Box::new(report));
    assert_eq!(node.report().await, earlier(AttemptReport::Lost(Reason::Stuck)));
    // It goes on.
    driven.actions.send(EntryAction::Await { request: REQUEST }).await.expect("a request");
    let answer = Answer { status: 200, whole: true, ..Answer::default() };
    sink.send(Body::Answer(answer)).await.expect("an entry");
    let report = node.report().await;
    assert!(
        matches!(&report, AttemptReport::Earlier(ATTEMPT, end)
            if matches!(**end, AttemptReport::Answered { status: 200, .. })),
        "{report:?}"
    );
}
