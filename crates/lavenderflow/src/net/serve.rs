//! Serves requests from other nodes: as their gate, or as the home of their tickets.

mod home;
mod run;

use std::net::SocketAddr;

use bytes::Bytes;
use lavenderflow_core::gate::{RunResult, SlotRequest};
use lavenderflow_schema::wire::frame::Body;
use lavenderflow_schema::wire::{self, Begin, Purpose};
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

use self::run::UpstreamRun;
use super::body::{BODY_CHANNEL_CAPACITY, BodyPart};
use super::context::NetworkContext;
use super::link::{FrameSink, FrameSource, LinkError};
use crate::message::{AdmissionDecision, GateMessage};
use crate::prelude::*;
use crate::slot::SlotClaim;
use crate::upstream::{self, Call, CallEvent};

/// Time after which the entry is notified that an attempt is queued for a slot.
const QUEUED_NOTICE_DELAY: Duration = Duration::from_millis(20);
/// Longest time between the grant of a slot and the entry's commit of the request.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest wait for the next part of a body that nobody reads any more: the time after which a
/// connection without a packet is lost.
const BODY_END_TIMEOUT: Duration = Duration::from_secs(6);
/// Response bodies up to this size are sent in one frame.
pub const MAX_BUFFERED_BYTES: usize = 64 * 1024;

/// Serves one request.
///
/// # Errors
///
/// The request is malformed or the link failed.
pub async fn serve(
    context: &NetworkContext,
    begin: Begin,
    sink: FrameSink,
    source: FrameSource,
) -> Result<(), LinkError> {
    let _guard = context.work.begin();
    match begin.purpose() {
        Purpose::Dispatch => serve_as_gate(context, begin, sink, source).await,
        Purpose::Forward => home::serve(context, begin, sink, source).await,
        Purpose::Unspecified => Err(LinkError::Unexpected),
    }
}

/// Runs a request on an upstream of this node's gate.
///
/// # Errors
///
/// The request is malformed or the link failed.
pub async fn serve_as_gate(
    context: &NetworkContext,
    begin: Begin,
    mut sink: FrameSink,
    mut source: FrameSource,
) -> Result<(), LinkError> {
    let attempt: AttemptId = begin.attempt.ok_or(LinkError::Unexpected)?.into();
    let Ok(_held) = context.claim_request(&begin, &source) else {
        return refuse(sink, Reason::MemoryLimit, None).await;
    };
    let slot_request = SlotRequest {
        attempt,
        incarnation: begin.incarnation,
        service: begin.service.as_str().into(),
        long: begin.long,
        idempotent: begin.idempotent,
        queue_timeout: Duration::from_micros(begin.patience_us),
        remaining: Duration::from_micros(begin.remaining_us),
        median_latency: Duration::from_micros(begin.usual_us),
        rank: begin.rank,
        target_latency: begin.target_us.map(Duration::from_micros),
        retryable: begin.repeatable,
        degraded: begin.strained,
        kind: begin.kind,
        gray_tolerance: begin.tolerance,
        organisation: begin.organisation_known.then(|| begin.organisation.as_str().into()),
        organisation_rank: begin.organisation_rank,
    };
    let level = begin.level.map(Into::into).unwrap_or_default();
    let (reply, decision) = oneshot::channel();
    let mut claim = SlotClaim::new(attempt, context.mailbox.clone(), decision);
    send_gate(context, GateMessage::Submit(slot_request, level, reply)).await;
    match wait_for_slot(&mut sink, &mut source, &mut claim).await {
        SlotWait::Decided(AdmissionDecision::Start { upstream, address, deadline, load, slot }) => {
            log::info!(
                "event=admitted request={} upstream={upstream} doubt={:.3} busy={} slots={}",
                begin.request_id,
                load.gray_probability,
                load.busy,
                load.slots
            );
            let load = Some(load.into());
            let admitted = wire::Verdict { admitted: true, load, ..wire::Verdict::default() };
            sink.send(Body::Verdict(admitted)).await?;
            let (id, idempotent) = (begin.request_id.clone(), begin.idempotent);
            let Some(held) = context.hold_run() else {
                log::info!("event=no-memory request={id}");
                let load = slot.finish(RunResult::Cancelled).await;
                return refuse(sink, Reason::MemoryLimit, load).await;
            };
            let Some((body, body_rest)) = request_body(&begin, source).await else {
                log::info!("event=not-committed request={id}");
                let load = slot.finish(RunResult::Cancelled).await;
                // The commit may be on its way, and is not read any more.
                return refuse(sink, Reason::Unreachable, load).await;
            };
            let (events, event_receiver) = mpsc::channel(BODY_CHANNEL_CAPACITY);
            let sent_by = upstream::response_deadline(&context.clock, deadline);
            let call = Call {
                body,
                body_rest,
                upstream,
                ..upstream_call(begin, address, deadline, events)
            };
            if context.calls.send(call).await.is_err() {
                // The node ends: nobody has received the call.
                let load = slot.finish(RunResult::Cancelled).await;
                return refuse(sink, Reason::Leaving, load).await;
            }
            UpstreamRun { context, slot, id, sink, idempotent, deadline: sent_by, _held: held }
                .relay(event_receiver)
                .await
        }
        SlotWait::Decided(AdmissionDecision::Refuse(reason, load)) => {
            log::info!(
                "event=refused request={} reason={} doubt={:.3} busy={} slots={} queued={} \
                 degraded={}",
                begin.request_id,
                reason.name(),
                load.gray_probability,
                load.busy,
                load.slots,
                load.queued,
                begin.strained
            );
            refuse(sink, reason, Some(load)).await
        }
        SlotWait::Withdrawn => {
            // Only this task can run the request, and without the claim it gets no slot.
            drop(claim);
            log::info!("event=withdrawn request={}", begin.request_id);
            refuse(sink, Reason::DeadlinePast, None).await
        }
        SlotWait::Closed => Err(LinkError::Closed),
    }
}

/// How the wait for a slot ended.
enum SlotWait {
    /// The gate has decided.
    Decided(AdmissionDecision),
    /// The entry asks not to run the request.
    Withdrawn,
    /// The entry no longer waits, or the gate has ended.
    Closed,
}

impl From<Option<AdmissionDecision>> for SlotWait {
    fn from(decision: Option<AdmissionDecision>) -> Self {
        decision.map_or(Self::Closed, Self::Decided)
    }
}

/// Waits for the gate's decision. Notifies the entry of a longer wait, so that it can distinguish a
/// queue from a network partition.
async fn wait_for_slot(
    sink: &mut FrameSink,
    source: &mut FrameSource,
    claim: &mut SlotClaim,
) -> SlotWait {
    if let Ok(decision) = timeout(QUEUED_NOTICE_DELAY, claim.decision()).await {
        return decision.into();
    }
    let queued = wire::Verdict { queued: true, ..wire::Verdict::default() };
    if sink.send(Body::Verdict(queued)).await.is_err() {
        return SlotWait::Closed;
    }
    // Before the admission an entry sends nothing but a withdrawal, so no other frame is lost here.
    let withdrawal = async {
        if !matches!(source.receive().await, Ok(Some(Body::Cut(_)))) {
            std::future::pending::<()>().await;
        }
    };
    tokio::select! {
        decision = claim.decision() => decision.into(),
        _ = sink.closed() => SlotWait::Closed,
        () = withdrawal => SlotWait::Withdrawn,
    }
}

async fn send_gate(context: &NetworkContext, message: GateMessage) {
    context.mailbox.send(Message::Gate(message)).await;
}

async fn refuse(sink: FrameSink, reason: Reason, load: Option<Load>) -> Result<(), LinkError> {
    let load = load.map(Into::into);
    let reason = reason.name().to_owned();
    let verdict = wire::Verdict { reason, load, ..wire::Verdict::default() };
    sink.send_last(Body::Verdict(verdict), tokio::time::Instant::now()).await
}

/// The first part of a request body and the channel with the others.
type BodyStart = (Bytes, Option<mpsc::Receiver<BodyPart>>);

/// Returns the body of a request; `None` when its entry did not commit it.
async fn request_body(begin: &Begin, mut source: FrameSource) -> Option<BodyStart> {
    let first = if begin.on_commit {
        match timeout(COMMIT_TIMEOUT, source.receive()).await {
            Ok(Ok(Some(Body::Chunk(chunk)))) if chunk.last => return Some((chunk.data, None)),
            Ok(Ok(Some(Body::Chunk(chunk)))) => chunk.data,
            _ => return None,
        }
    } else {
        begin.body.clone()
    };
    if !begin.body_follows {
        return Some((first, None));
    }
    let (sender, rest) = mpsc::channel(BODY_CHANNEL_CAPACITY);
    tokio::spawn(receive_body(source, sender));
    Some((first, Some(rest)))
}

/// Returns the call to the upstream, without the body.
fn upstream_call(
    begin: Begin,
    address: SocketAddr,
    deadline: Instant,
    events: mpsc::Sender<CallEvent>,
) -> Call {
    let buffered_length = Some(begin.body.len() as u64);
    let is_body_separate = begin.body_follows || begin.on_commit;
    Call {
        address,
        upstream: "".into(),
        id: begin.request_id,
        organisation: Some(begin.organisation).filter(|name| !name.is_empty()),
        deadline,
        idempotent: begin.idempotent,
        method: begin.method,
        target: begin.target,
        headers: begin.headers.into_iter().map(|field| (field.name, field.value)).collect(),
        body: Bytes::new(),
        body_rest: None,
        body_length: if is_body_separate { begin.body_length } else { buffered_length },
        events,
    }
}

/// Forwards the rest of a request body; drops the sender without an end when the body is truncated.
async fn receive_body(mut source: FrameSource, parts: mpsc::Sender<BodyPart>) {
    loop {
        let received = {
            let receiving = source.receive();
            tokio::pin!(receiving);
            tokio::select! {
                received = &mut receiving => received,
                // The upstream may have the whole body before its end has arrived.
                () = parts.closed() => match timeout(BODY_END_TIMEOUT, receiving).await {
                    Ok(received) => received,
                    Err(_) => return,
                },
            }
        };
        let (part, is_end) = match received {
            Ok(Some(Body::Chunk(chunk))) => (BodyPart::Data(chunk.data), false),
            Ok(Some(Body::End(_))) => (BodyPart::End, true),
            _ => return,
        };
        if parts.send(part).await.is_err() || is_end {
            return;
        }
    }
}
