//! Carries a request through the actions that the entry decides on.

use std::sync::Arc;

use bytes::Bytes;
use lavenderflow_core::request::{Arrival, Conclusion, EntryAction, Plan, Report};
use lavenderflow_core::ticket::StoredAnswer;
use lavenderflow_schema::convert::request::micros;
use lavenderflow_schema::wire::frame::Body;
use lavenderflow_schema::wire::{self, Answer, Begin, Header, Purpose};
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::body::{AnswerParts, BodyPart, BodyRequest, CHANNEL_PARTS, CutError};
use super::connector::PeerError;
use super::endpoint::Context;
use super::link::{self, LinkError, Sink, Source};
use super::serve;
use crate::message::EntryMessage;
use crate::prelude::*;

/// Time beyond the deadline for the gate's own report that it has passed.
const GRACE: Duration = Duration::from_millis(200);
/// Time after which a gate that is silent counts as lost; it acknowledges attempts that wait.
const SILENCE: Duration = Duration::from_millis(300);
/// Actions for one request that can wait.
const ACTIONS: usize = 4;

/// A request with all that its gate needs.
#[derive(Debug)]
pub struct Request {
    /// What the entry decides on.
    pub arrival: Arrival,
    /// Identifies the request in logs and answers.
    pub id: String,
    /// Header fields.
    pub headers: Vec<(String, String)>,
    /// The whole body, or its first part.
    pub body: Bytes,
    /// Where to ask for the rest of the body, if there is more.
    pub rest: Option<BodyRequest>,
}

/// The body of an answer.
#[derive(Debug)]
pub enum ReplyBody {
    /// All of it.
    Whole(Bytes),
    /// The first part and the source of the others.
    Parts(Bytes, AnswerParts),
}

/// The answer to a request.
#[derive(Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Header fields.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: ReplyBody,
    /// What became of the request.
    pub outcome: Outcome,
    /// Why.
    pub reason: Reason,
    /// The ticket under which it ran, or a new one after a refusal.
    pub ticket: Option<TicketId>,
}

impl Reply {
    /// Creates the reply to a request that has no answer from an upstream.
    pub fn without_answer(outcome: Outcome, reason: Reason, ticket: Option<TicketId>) -> Self {
        Self {
            status: reason.status(),
            headers: Vec::new(),
            body: ReplyBody::Whole(Bytes::new()),
            outcome,
            reason,
            ticket,
        }
    }
}

/// Serves a request: does what the entry decides and reports back until there is a reply.
pub async fn drive(context: &Context, mut request: Request) -> Reply {
    let id = request.arrival.request;
    let (sender, mut actions) = mpsc::channel(ACTIONS);
    let begin = EntryMessage::Begin(request.arrival.clone(), sender);
    context.mailbox.send(Message::Entry(begin)).await;
    let mut held: Option<Held> = None;
    let mut wait = None;
    loop {
        let Some(action) = next_action(context, id, &mut actions, wait.take()).await else {
            // The actors are gone: the node has stopped in the middle of the request.
            return Reply::without_answer(Outcome::Unknown, Reason::Lost, None);
        };
        let attempted = match action {
            EntryAction::Dispatch { attempt, gate, incarnation, plan, ticket, .. } => {
                let begin =
                    Begin { incarnation, ..dispatch_frame(&request, attempt, ticket, &plan) };
                let silence = if plan.idempotent { SILENCE } else { plan.remaining };
                attempt_at(context, &mut request, gate, begin, plan.remaining, silence).await
            }
            EntryAction::Forward { home, ticket, remaining, .. } => {
                let begin = forward_frame(&request, ticket, remaining);
                attempt_at(context, &mut request, home, begin, remaining, remaining).await
            }
            EntryAction::Relay { ticket, .. } => return relay(context, id, held, ticket),
            EntryAction::Conclude { conclusion, .. } => return conclude(conclusion, held),
            EntryAction::Wait { remaining, .. } => {
                wait = Some(remaining);
                continue;
            }
        };
        if attempted.held.is_some() {
            held = attempted.held;
        }
        report(context, id, attempted.report).await;
    }
}

async fn report(context: &Context, id: RequestId, report: Report) {
    context.mailbox.send(Message::Entry(EntryMessage::Report(id, report))).await;
}

async fn next_action(
    context: &Context,
    id: RequestId,
    actions: &mut mpsc::Receiver<EntryAction>,
    limit: Option<Duration>,
) -> Option<EntryAction> {
    let Some(limit) = limit else { return actions.recv().await };
    match timeout(limit, actions.recv()).await {
        Ok(action) => action,
        Err(_) => {
            report(context, id, Report::Lost(Reason::DeadlinePast)).await;
            actions.recv().await
        }
    }
}

/// An answer that came, until the entry decides what to do with it.
struct Held {
    answer: Answer,
    source: Option<Source>,
    deadline: Duration,
}

/// What came of an attempt.
struct Attempted {
    report: Report,
    held: Option<Held>,
}

impl From<Report> for Attempted {
    fn from(report: Report) -> Self {
        Self { report, held: None }
    }
}

async fn attempt_at(
    context: &Context,
    request: &mut Request,
    node: NodeId,
    begin: Begin,
    remaining: Duration,
    silence: Duration,
) -> Attempted {
    let (mut sink, source) = match open(context, node).await {
        Ok(link) => link,
        Err(fault) => {
            log::debug!("event=unreachable request={} gate={node:x} fault={fault:?}", request.id);
            return Report::Unreachable.into();
        }
    };
    if let Err(fault) = sink.send(Body::Begin(begin)).await {
        log::debug!("event=lost request={} gate={node:x} fault={fault:?}", request.id);
        return Report::Lost(Reason::Lost).into();
    }
    let id = request.arrival.request;
    let mut exchange = AttemptLink { context, id, sink: Some(sink), source, remaining };
    let limit = remaining + GRACE;
    match timeout(limit, exchange.run(request, silence.min(limit))).await {
        Ok(Ok(attempted)) => attempted,
        Ok(Err(fault)) => {
            log::debug!("event=lost request={} gate={node:x} fault={fault:?}", request.id);
            Report::Lost(Reason::Lost).into()
        }
        Err(_) => Report::Lost(Reason::DeadlinePast).into(),
    }
}

async fn open(context: &Context, node: NodeId) -> Result<(Sink, Source), PeerError> {
    if node == context.node {
        let (near, (sink, mut source)) = link::local();
        let context = context.clone();
        tokio::spawn(async move {
            if let Ok(Some(Body::Begin(begin))) = source.receive().await {
                let _piece = context.work.begin();
                let _ = serve::serve_gate(&context, begin, sink, source).await;
            }
        });
        return Ok(near);
    }
    let connection = context.connector.node(node).await?;
    let (sink, source) = connection.open_bi().await?;
    Ok((Sink::Quic(sink), Source::Quic(source)))
}

struct AttemptLink<'a> {
    context: &'a Context,
    id: RequestId,
    sink: Option<Sink>,
    source: Source,
    remaining: Duration,
}

impl AttemptLink<'_> {
    /// Receives frames until the attempt has ended or the head of the answer is here.
    async fn run(
        &mut self,
        request: &mut Request,
        silence: Duration,
    ) -> Result<Attempted, LinkError> {
        let first = timeout(silence, self.source.receive()).await;
        let mut frame = first.unwrap_or(Err(LinkError::Closed))?;
        loop {
            match frame.take() {
                Some(Body::Verdict(verdict)) if verdict.queued => {}
                Some(Body::Verdict(verdict)) if verdict.admitted => {
                    let load = verdict.load.unwrap_or_default().into();
                    report(self.context, self.id, Report::Admitted(load)).await;
                    self.send_rest(request);
                }
                Some(Body::Verdict(verdict)) => return Ok(refused(&verdict).into()),
                Some(Body::Answer(answer)) => return Ok(self.answered(answer)),
                Some(Body::Cut(cut)) => {
                    let reason = Reason::from_name(&cut.reason).unwrap_or(Reason::UpstreamFailed);
                    return Ok(Report::Lost(reason).into());
                }
                Some(_) => return Err(LinkError::Unexpected),
                None => return Err(LinkError::Closed),
            }
            frame = self.source.receive().await?;
        }
    }

    /// Starts to pass on the rest of the body; its owner waits for this.
    fn send_rest(&mut self, request: &mut Request) {
        if let (Some(rest), Some(sink)) = (request.rest.take(), self.sink.take()) {
            let (sender, parts) = mpsc::channel(CHANNEL_PARTS);
            if rest.send(sender).is_ok() {
                tokio::spawn(send_body(sink, parts));
            }
        }
    }

    fn answered(&mut self, answer: Answer) -> Attempted {
        let load = answer.load.map(Into::into);
        // A running request can be given up by a stop of the source, a finished one needs nothing.
        let status = u16::try_from(answer.status).unwrap_or(502);
        let stored = answer.whole.then(|| Arc::new(stored(&answer, status)));
        let closed = mpsc::channel(1).1;
        let source = std::mem::replace(&mut self.source, Source::Local(closed));
        let source = (!answer.whole).then_some(source);
        Attempted {
            report: Report::Answered { status, load, answer: stored },
            held: Some(Held { answer, source, deadline: self.remaining }),
        }
    }
}

fn refused(verdict: &wire::Verdict) -> Report {
    let load = verdict.load.map(Into::into);
    match Reason::from_name(&verdict.reason) {
        Some(reason) => Report::Refused(reason, load),
        // A reason of a later version is still a proof of not having run.
        None => Report::Refused(Reason::Shed, load),
    }
}

async fn send_body(mut sink: Sink, mut parts: mpsc::Receiver<BodyPart>) {
    let mut length = 0;
    while let Some(part) = parts.recv().await {
        let (body, is_end) = match part {
            BodyPart::Data(data) => {
                length += data.len() as u64;
                (Body::Chunk(wire::Chunk { data }), false)
            }
            BodyPart::End => (Body::End(wire::End { length, load: None }), true),
        };
        if sink.send(body).await.is_err() {
            return;
        }
        if is_end {
            sink.finish().await;
            return;
        }
    }
    sink.reset();
}

/// Passes on the answer that came.
fn relay(context: &Context, id: RequestId, held: Option<Held>, ticket: Option<TicketId>) -> Reply {
    let Some(Held { answer, source, deadline }) = held else {
        return Reply::without_answer(Outcome::Unknown, Reason::Lost, ticket);
    };
    let body = match source {
        None => ReplyBody::Whole(answer.body.clone()),
        Some(source) => {
            let (sender, parts) = mpsc::channel(CHANNEL_PARTS);
            let first = answer.body.len() as u64;
            tokio::spawn(pass_parts(context.clone(), id, source, sender, first, deadline));
            ReplyBody::Parts(answer.body.clone(), parts)
        }
    };
    Reply {
        status: u16::try_from(answer.status).unwrap_or(502),
        body,
        // A home reports the outcome that it decided on; a gate that answers has run the request.
        outcome: Outcome::from_name(&answer.outcome).unwrap_or(Outcome::Ran),
        reason: Reason::from_name(&answer.reason).unwrap_or(Reason::Answered),
        ticket: answer.fresh.map(Into::into).or(ticket),
        headers: answer.headers.into_iter().map(|field| (field.name, field.value)).collect(),
    }
}

/// Passes on the parts of an answer and checks its length.
async fn pass_parts(
    context: Context,
    id: RequestId,
    mut source: Source,
    parts: mpsc::Sender<Result<Bytes, CutError>>,
    first: u64,
    limit: Duration,
) {
    let copy = async {
        let mut total = first;
        loop {
            match source.receive().await {
                Ok(Some(Body::Chunk(chunk))) => {
                    total += chunk.data.len() as u64;
                    if parts.send(Ok(chunk.data)).await.is_err() {
                        return Report::Abandoned;
                    }
                }
                Ok(Some(Body::End(end))) if end.length == total => {
                    return Report::Completed(end.load.map(Into::into));
                }
                _ => return Report::Cut,
            }
        }
    };
    let ended = timeout(limit, copy).await.unwrap_or(Report::Cut);
    if ended == Report::Cut {
        let _ = parts.send(Err(CutError)).await;
    }
    report(&context, id, ended).await;
}

fn conclude(conclusion: Conclusion, held: Option<Held>) -> Reply {
    if let Some(stored) = conclusion.answer {
        return Reply {
            status: stored.status,
            headers: stored.headers.clone(),
            body: ReplyBody::Whole(stored.body.clone()),
            outcome: conclusion.outcome,
            reason: conclusion.reason,
            ticket: conclusion.fresh,
        };
    }
    // A repeated request that found no second gate still has its first answer.
    if let Some(Held { answer, source: None, .. }) = held {
        return Reply {
            status: u16::try_from(answer.status).unwrap_or(502),
            body: ReplyBody::Whole(answer.body),
            headers: answer.headers.into_iter().map(|f| (f.name, f.value)).collect(),
            outcome: Outcome::Ran,
            reason: Reason::Answered,
            ticket: None,
        };
    }
    Reply::without_answer(conclusion.outcome, conclusion.reason, conclusion.fresh)
}

fn stored(answer: &Answer, status: u16) -> StoredAnswer {
    let headers = answer.headers.iter();
    StoredAnswer {
        status,
        headers: headers.map(|field| (field.name.clone(), field.value.clone())).collect(),
        body: answer.body.clone(),
    }
}

fn dispatch_frame(
    request: &Request,
    attempt: AttemptId,
    ticket: Option<TicketId>,
    plan: &Plan,
) -> Begin {
    Begin {
        purpose: Purpose::Dispatch.into(),
        attempt: Some(attempt.into()),
        ticket: ticket.map(Into::into),
        service: plan.service.to_string(),
        remaining_us: micros(plan.remaining),
        patience_us: micros(plan.patience),
        usual_us: micros(plan.usual),
        long: plan.long,
        idempotent: plan.idempotent,
        ..common_frame(request)
    }
}

fn forward_frame(request: &Request, ticket: TicketId, remaining: Duration) -> Begin {
    Begin {
        purpose: Purpose::Forward.into(),
        ticket: Some(ticket.into()),
        remaining_us: micros(remaining),
        organisation: request.arrival.organisation.as_deref().unwrap_or_default().to_owned(),
        ..common_frame(request)
    }
}

fn common_frame(request: &Request) -> Begin {
    let headers = request.headers.iter();
    Begin {
        request_id: request.id.clone(),
        method: request.arrival.method.clone(),
        target: request.arrival.target.clone(),
        headers: headers
            .map(|(name, value)| Header { name: name.clone(), value: value.clone() })
            .collect(),
        body: request.body.clone(),
        body_follows: !request.arrival.whole,
        body_length: request.arrival.body_length,
        fingerprint: request.arrival.fingerprint,
        ..Begin::default()
    }
}
