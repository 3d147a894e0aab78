//! Each end of the task that serves an attempt gives the claim or the slot back once.

mod common;

use std::time::Duration;

use common::scripted::{ATTEMPT, Attempt, Node, grant, queued, receive, submit};
use lavenderflow::message::{GateMessage, Message};
use lavenderflow::net::link::{FrameSink, FrameSource};
use lavenderflow::upstream::{Call, CallEvent};
use lavenderflow_core::gate::{RunResult, UpstreamSignals};
use lavenderflow_core::load::Load;
use tokio::sync::mpsc;
use tokio::time::timeout;

/// Time in which a second release would arrive.
const QUIET_TIME: Duration = Duration::from_millis(50);

/// An attempt that runs, with the gate's sender to the owner of its slot.
struct Run {
    attempt: tokio::task::JoinHandle<()>,
    owner: mpsc::Sender<()>,
    sink: FrameSink,
    source: FrameSource,
    call: Call,
}

async fn start(node: &mut Node) -> Run {
    let (Attempt { served, reply, .. }, sink, mut source) = submit(node, false).await;
    let (start, owner) = grant(node);
    reply.send(start).expect("an attempt");
    assert!(receive(&mut source).await.is_some(), "an admission");
    let call = node.calls.recv().await.expect("a call");
    Run { attempt: served, owner, sink, source, call }
}

/// Returns how the attempt gave back what it held; fails if it did so twice or not at all.
async fn released(node: &mut Node) -> Option<RunResult> {
    let mut releases = Vec::new();
    loop {
        let message = match timeout(QUIET_TIME, node.messages.recv()).await {
            Err(_) if releases.is_empty() => node.message().await,
            Err(_) => break,
            Ok(message) => message.expect("a message"),
        };
        match message {
            Message::Gate(GateMessage::Finish(ATTEMPT, result, load)) => {
                releases.push(Some(result));
                // The task may have ended.
                let _ = load.send(Load::default());
            }
            Message::Gate(GateMessage::Cancel(ATTEMPT)) => releases.push(None),
            _ => {}
        }
    }
    assert_eq!(releases.len(), 1, "{releases:?}");
    releases[0]
}

#[tokio::test]
async fn an_answered_attempt_finishes() {
    let mut node = Node::new();
    let run = start(&mut node).await;
    let signals = UpstreamSignals::default();
    let head = CallEvent::Head { status: 200, headers: Vec::new(), signals };
    run.call.events.send(head).await.expect("a task");
    run.call.events.send(CallEvent::End).await.expect("a task");
    assert_eq!(released(&mut node).await, Some(RunResult::Success));
    assert!(run.owner.is_closed());
}

#[tokio::test]
async fn a_failed_call_finishes() {
    let mut node = Node::new();
    let run = start(&mut node).await;
    let failed = CallEvent::Failed { result: RunResult::Broken, not_run: None };
    run.call.events.send(failed).await.expect("a task");
    assert_eq!(released(&mut node).await, Some(RunResult::Broken));
    assert!(run.owner.is_closed());
}

#[tokio::test]
async fn a_call_whose_task_ends_gives_its_slot_back() {
    let mut node = Node::new();
    let run = start(&mut node).await;
    drop(run.call);
    assert_eq!(released(&mut node).await, None);
    assert!(run.owner.is_closed());
}

/// Stream reset, or peer gone, during a run.
#[tokio::test]
async fn a_lost_link_gives_the_slot_back() {
    let mut node = Node::new();
    let run = start(&mut node).await;
    drop((run.sink, run.source));
    // The native dialect does not cancel calls: the slot is held until the upstream responds.
    assert!(timeout(QUIET_TIME, node.messages.recv()).await.is_err());
    run.call.events.send(CallEvent::End).await.expect("a task");
    assert_eq!(released(&mut node).await, Some(RunResult::Success));
    assert!(run.owner.is_closed());
}

#[tokio::test]
async fn a_dropped_task_gives_its_slot_back() {
    let mut node = Node::new();
    let run = start(&mut node).await;
    run.attempt.abort();
    assert_eq!(released(&mut node).await, None);
    assert!(run.owner.is_closed());
}

#[tokio::test]
async fn a_task_that_is_dropped_in_the_queue_leaves_it() {
    let mut node = Node::new();
    let (attempt, _sink, mut source) = submit(&mut node, false).await;
    assert_eq!(receive(&mut source).await, Some(queued()));
    attempt.served.abort();
    assert_eq!(released(&mut node).await, None);
    assert!(attempt.reply.is_closed());
}

/// The entry is gone when the notification of the admission is sent.
#[tokio::test]
async fn an_admission_that_cannot_be_sent_gives_its_slot_back() {
    let mut node = Node::new();
    let (attempt, sink, source) = submit(&mut node, false).await;
    drop((sink, source));
    let (start, owner) = grant(&node);
    attempt.reply.send(start).expect("an attempt");
    assert_eq!(released(&mut node).await, None);
    assert!(owner.is_closed());
}

/// The fault of `review/1`: the decision arrives when its task has already ended.
#[tokio::test]
async fn a_decision_that_nobody_reads_gives_its_slot_back() {
    let mut node = Node::new();
    let (attempt, sink, source) = submit(&mut node, false).await;
    let (start, owner) = grant(&node);
    attempt.reply.send(start).expect("an attempt");
    // The task has not run since; it ends without having seen the decision.
    attempt.served.abort();
    drop((sink, source));
    // The claim and the slot in its channel both report; the gate heeds the first that has no
    // owner.
    let mut cancelled = 0;
    while let Ok(Some(message)) = timeout(QUIET_TIME, node.messages.recv()).await {
        assert!(matches!(message, Message::Gate(GateMessage::Cancel(ATTEMPT))));
        cancelled += 1;
    }
    assert!((1..=2).contains(&cancelled), "{cancelled}");
    assert!(owner.is_closed());
}
