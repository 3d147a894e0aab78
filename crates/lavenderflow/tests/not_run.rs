//! What an entry reports of a request that ends before an upstream has answered it. The test plays
//! the actors and the gate.

mod common;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use common::scripted::{Node, REQUEST, admitted, queued, receive, refused, spec};
use lavenderflow::net::connector::Connector;
use lavenderflow::net::tls;
use lavenderflow::shutdown::StopStage;
use lavenderflow_core::reason::{Outcome, Reason};
use lavenderflow_core::request::{AttemptReport, AttemptSpec, EntryAction};
use lavenderflow_schema::wire::frame::Body;

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

/// Guards against an error for an idempotent request that a silent gate has not run, while no retry
/// is left in the budget.
#[tokio::test]
async fn a_last_attempt_that_was_never_committed_has_not_run() {
    let mut node = Node::new();
    let driven = node.begin(true, Bytes::new()).await;
    driven.dispatch_spec(1, AttemptSpec { retryable: false, ..spec(true) }).await;
    let (sink, mut source) = node.links.recv().await.expect("a link");
    receive(&mut source).await;
    drop((sink, source));
    assert_eq!(node.report().await, AttemptReport::Unreachable);
    assert_eq!(driven.end_actors().await.outcome, Outcome::NotRun);
}

/// Guards against "unknown" where the gate refuses the request because the commit came too late.
#[tokio::test]
async fn a_commit_that_the_gate_no_longer_awaits_has_not_run() {
    for idempotent in [false, true] {
        let mut node = Node::new();
        let driven = node.begin(idempotent, Bytes::new()).await;
        driven.dispatch_spec(1, AttemptSpec { retryable: false, ..spec(idempotent) }).await;
        let (mut sink, mut source) = node.links.recv().await.expect("a link");
        receive(&mut source).await;
        drop(source);
        sink.send(admitted()).await.expect("a link");
        sink.send(refused(Reason::Unreachable)).await.expect("a link");
        assert!(matches!(node.report().await, AttemptReport::Admitted(_)));
        assert_eq!(node.report().await, AttemptReport::Refused(Reason::Unreachable, None));
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
    let (server, client) = tls::self_signed(None).expect("keys");
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
