//! Executes the actions that the entry decides on for a request: dispatches attempts to gates and
//! relays the response.

mod admission;
mod attempt;
mod frame;
mod hedge;
mod parallel;
mod stream;

use bytes::Bytes;
use lavenderflow_core::request::{Arrival, AttemptReport, Conclusion, EntryAction};
use lavenderflow_schema::wire::Begin;
use tokio::sync::mpsc;
use tokio::time::timeout;

use self::admission::Admission;
use self::attempt::{HeldResponse, run_attempt};
use self::frame::{dispatch_frame, forward_frame};
use self::hedge::{CopyOrder, FirstAttempt, HedgeContext, NoAttempt, is_usable};
use self::parallel::{ParallelAttempts, Race};
use self::stream::ResponseStream;
use super::body::{BODY_CHANNEL_CAPACITY, BodyRequest, ResponseParts};
use super::context::NetworkContext;
use crate::message::EntryMessage;
use crate::prelude::*;

/// Longest wait for a gate's first frame, after which the gate counts as lost. A gate also sends a
/// frame when it queues an attempt.
const FIRST_FRAME_TIMEOUT: Duration = Duration::from_millis(150);
/// Time after which a caller may retry at another node when this one has stopped.
const STOPPED_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Actions that the channel of one request buffers.
const ACTION_CAPACITY: usize = 4;

/// A request with everything that its gate needs.
#[derive(Debug)]
pub struct Request {
    /// The part of the request that the entry's decisions use.
    pub arrival: Arrival,
    /// Identifies the request in logs and responses.
    pub id: String,
    /// Request headers.
    pub headers: Vec<(String, String)>,
    /// The complete body, or its first part.
    pub body: Bytes,
    /// Requests the rest of the body, if there is more.
    pub body_rest: Option<BodyRequest>,
}

impl Request {
    /// Returns a copy of a request whose body is buffered.
    fn duplicate(&self) -> Self {
        Self {
            arrival: self.arrival.clone(),
            id: self.id.clone(),
            headers: self.headers.clone(),
            body: self.body.clone(),
            body_rest: None,
        }
    }
}

/// The body of a response.
#[derive(Debug)]
pub enum ReplyBody {
    /// The complete body.
    Buffered(Bytes),
    /// The first part and the channel with the others.
    Streamed(Bytes, ResponseParts),
}

/// The response to a request.
#[derive(Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Response headers.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: ReplyBody,
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Reason for the outcome.
    pub reason: Reason,
    /// The ticket under which it ran, or a new one after a refusal.
    pub ticket: Option<TicketId>,
    /// Time after which the caller may retry a refused request.
    pub retry_after: Option<Duration>,
    /// Whether the response comes from an upstream.
    pub relayed: bool,
}

impl Reply {
    /// Creates a local reply, for a request without a response from an upstream.
    pub fn local(outcome: Outcome, reason: Reason, ticket: Option<TicketId>) -> Self {
        Self {
            status: reason.status(),
            headers: Vec::new(),
            body: ReplyBody::Buffered(Bytes::new()),
            outcome,
            reason,
            ticket,
            retry_after: None,
            relayed: false,
        }
    }
}

/// Serves a request: executes the entry's actions and reports the results until there is a reply.
pub async fn drive(context: &NetworkContext, mut request: Request) -> Reply {
    let id = request.arrival.request;
    let (sender, mut actions) = mpsc::channel(ACTION_CAPACITY);
    let begin = EntryMessage::Begin(request.arrival.clone(), sender);
    context.mailbox.send(Message::Entry(begin)).await;
    let mut guard = AbandonGuard { context, request: id, is_finished: false };
    let mut held: Option<HeldResponse> = None;
    let mut hedged = ParallelAttempts::default();
    let mut wait = None;
    let mut may_have_run = false;
    let mut is_answered = false;
    loop {
        let Some(action) = next_action(context, id, &mut actions, wait.take()).await else {
            // The actors have ended: the node stopped during the request.
            guard.is_finished = true;
            return if may_have_run {
                Reply::local(Outcome::Unknown, Reason::Lost, None)
            } else {
                let retry_after = Some(STOPPED_RETRY_AFTER);
                Reply { retry_after, ..Reply::local(Outcome::NotRun, Reason::Leaving, None) }
            };
        };
        let result = match action {
            EntryAction::Dispatch {
                attempt,
                gate,
                incarnation,
                spec,
                ticket,
                retry_reason,
                hedge_delay,
                replaces_stuck,
                ..
            } => {
                log::info!(
                    "event=dispatched request={} attempt={:x} gate={gate:x} service={} retry={} \
                     tolerance={:.2} left_ms={} queue_ms={}",
                    request.id,
                    attempt.serial,
                    spec.service,
                    retry_reason.map_or("none", Reason::name),
                    spec.gray_tolerance,
                    spec.remaining.as_millis(),
                    spec.queue_timeout.as_millis()
                );
                let begin =
                    Begin { incarnation, ..dispatch_frame(&request, attempt, ticket, &spec) };
                let limit = spec.remaining;
                let spare = hedge_delay.map(|delay| (delay, request.duplicate()));
                let (admission, admitted) = Admission::first();
                let next = run_attempt(
                    context,
                    &mut request,
                    gate,
                    begin,
                    limit,
                    FIRST_FRAME_TIMEOUT,
                    admission,
                );
                if let Some((delay, request)) = spare {
                    let hedge = HedgeContext { context, request, held: &mut held };
                    hedge.run(next, admitted, delay, &mut actions).await
                } else {
                    let replaced = replaces_stuck.then_some(admitted);
                    let mut race = Race { context, id, earlier: &mut hedged, held: &mut held };
                    race.run(replaced, next).await
                }
            }
            // The response that ends the request has been reported since.
            EntryAction::Hedge { .. } if is_answered => continue,
            EntryAction::Hedge { attempt, gate, incarnation, spec, .. } => {
                let request = request.duplicate();
                let hedge = HedgeContext { context, request, held: &mut held };
                let order = CopyOrder { attempt, gate, incarnation, spec };
                if hedged.is_empty() {
                    hedge.run_alone(order).await
                } else {
                    let earlier = std::mem::take(&mut hedged);
                    hedge.race(FirstAttempt::<'_, NoAttempt>::Earlier(earlier), order).await
                }
            }
            EntryAction::KeepWaiting { .. } | EntryAction::RecordHedge(_) => continue,
            EntryAction::Forward { home, ticket, remaining, organisation, hides_key, .. } => {
                // An earlier copy under the same ticket may have run.
                may_have_run = true;
                let organisation = organisation.as_deref();
                let begin = forward_frame(&request, ticket, remaining, organisation, hides_key);
                let admission = Admission::default();
                run_attempt(context, &mut request, home, begin, remaining, remaining, admission)
                    .await
            }
            EntryAction::Relay { ticket, .. } => {
                guard.is_finished = true;
                return relay(context, id, held, ticket);
            }
            EntryAction::Conclude { conclusion, .. } => {
                guard.is_finished = true;
                return conclude(conclusion, held);
            }
            EntryAction::Await { .. } => match hedged.next_result().await {
                Some(result) => result,
                None => {
                    log::error!("event=nothing-to-await request={}", request.id);
                    return Reply::local(Outcome::Unknown, Reason::Lost, None);
                }
            },
            EntryAction::Pause { time, .. } => {
                log::info!("event=search-paused request={} ms={}", request.id, time.as_millis());
                tokio::time::sleep(time).await;
                AttemptReport::Resumed.into()
            }
            // The entry's actor has the draw done and reports the result.
            EntryAction::Draw { .. } => continue,
            EntryAction::Wait { remaining, .. } => {
                // The request with the same ticket may run.
                may_have_run = true;
                wait = Some(remaining);
                continue;
            }
        };
        may_have_run |= result.report.may_have_run();
        if result.held.is_some() {
            held = result.held;
        }
        hedged.append(result.hedged);
        is_answered = is_usable(&result.report);
        send_report(context, id, result.report).await;
    }
}

async fn send_report(context: &NetworkContext, id: RequestId, report: AttemptReport) {
    context.mailbox.send(Message::Entry(EntryMessage::Report(id, report))).await;
}

async fn next_action(
    context: &NetworkContext,
    id: RequestId,
    actions: &mut mpsc::Receiver<EntryAction>,
    limit: Option<Duration>,
) -> Option<EntryAction> {
    let Some(limit) = limit else { return actions.recv().await };
    match timeout(limit, actions.recv()).await {
        Ok(action) => action,
        Err(_) => {
            send_report(context, id, AttemptReport::Lost(Reason::DeadlinePast)).await;
            actions.recv().await
        }
    }
}

/// Relays the response that was received.
fn relay(
    context: &NetworkContext,
    id: RequestId,
    held: Option<HeldResponse>,
    ticket: Option<TicketId>,
) -> Reply {
    let Some(HeldResponse { answer, source, body_timeout }) = held else {
        return Reply::local(Outcome::Unknown, Reason::Lost, ticket);
    };
    let body = match source {
        None => ReplyBody::Buffered(answer.body.clone()),
        Some(source) => {
            let (sender, parts) = mpsc::channel(BODY_CHANNEL_CAPACITY);
            let first_length = answer.body.len() as u64;
            let name = answer.request_id.clone();
            let stream = ResponseStream { id, name, source, first_length, limit: body_timeout };
            tokio::spawn(stream.relay(context.clone(), sender));
            ReplyBody::Streamed(answer.body.clone(), parts)
        }
    };
    Reply {
        status: u16::try_from(answer.status).unwrap_or(502),
        body,
        // A home sends the outcome that it decided on. A gate that responds has run the request.
        outcome: Outcome::from_name(&answer.outcome).unwrap_or(Outcome::Ran),
        reason: Reason::from_name(&answer.reason).unwrap_or(Reason::Answered),
        ticket: answer.fresh.map(Into::into).or(ticket),
        retry_after: None,
        relayed: answer.reason.is_empty() || answer.reason == Reason::Answered.name(),
        headers: answer.headers.into_iter().map(|field| (field.name, field.value)).collect(),
    }
}

fn conclude(conclusion: Conclusion, held: Option<HeldResponse>) -> Reply {
    let answered = Reply::local(Outcome::Ran, Reason::Answered, None);
    if let Some(stored) = conclusion.answer {
        return Reply {
            status: stored.status,
            headers: stored.headers.clone(),
            body: ReplyBody::Buffered(stored.body.clone()),
            outcome: conclusion.outcome,
            reason: conclusion.reason,
            ticket: conclusion.new_ticket,
            relayed: true,
            ..answered
        };
    }
    // A retry that found no second gate falls back to the first response.
    if let Some(HeldResponse { answer, source: None, .. }) = held {
        return Reply {
            status: u16::try_from(answer.status).unwrap_or(502),
            body: ReplyBody::Buffered(answer.body),
            headers: answer.headers.into_iter().map(|f| (f.name, f.value)).collect(),
            relayed: true,
            ..answered
        };
    }
    Reply {
        retry_after: conclusion.retry_after,
        ..Reply::local(conclusion.outcome, conclusion.reason, conclusion.new_ticket)
    }
}

/// Reports to the entry that a caller disconnected before its request finished.
struct AbandonGuard<'a> {
    context: &'a NetworkContext,
    request: RequestId,
    is_finished: bool,
}

impl Drop for AbandonGuard<'_> {
    fn drop(&mut self) {
        if self.is_finished {
            return;
        }
        let (mailbox, request) = (self.context.mailbox.clone(), self.request);
        tokio::spawn(async move {
            let report = EntryMessage::Report(request, AttemptReport::CallerGone);
            mailbox.send(Message::Entry(report)).await;
        });
    }
}
