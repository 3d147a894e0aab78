//! One attempt at a gate or at a ticket's home.

use std::sync::Arc;

use lavenderflow_core::request::AttemptReport;
use lavenderflow_core::ticket::StoredAnswer;
use lavenderflow_schema::wire::frame::Body;
use lavenderflow_schema::wire::{self, Answer, Begin};
use quinn::Connection;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout};

use super::Request;
use super::admission::Admission;
use super::parallel::{ParallelAttempt, ParallelAttempts};
use crate::net::body::{BODY_CHANNEL_CAPACITY, BodyPart};
use crate::net::connector::{DatagramCount, PeerError};
use crate::net::context::NetworkContext;
use crate::net::link::{self, FrameSink, FrameSource, LinkError};
use crate::prelude::{AttemptId, Duration, NodeId, Reason, RequestId};

/// Extra time after the deadline for the gate's own report that the deadline has passed.
pub(super) const DEADLINE_GRACE: Duration = Duration::from_millis(60);
/// Part of this time after which the entry withdraws an attempt that is still queued. The rest is
/// for the gate's confirmation, with a round trip of up to 11 ms between zones.
const WITHDRAWAL_DELAY: Duration = Duration::from_millis(10);

/// A received response, held until the entry decides what to do with it.
pub(super) struct HeldResponse {
    pub(super) answer: Answer,
    pub(super) source: Option<FrameSource>,
    pub(super) body_timeout: Duration,
}

/// The result of an attempt.
pub(super) struct AttemptResult {
    pub(super) report: AttemptReport,
    pub(super) held: Option<HeldResponse>,
    /// The attempt itself, when it continues in parallel with the next one.
    pub(super) hedged: ParallelAttempts,
}

impl From<AttemptReport> for AttemptResult {
    fn from(report: AttemptReport) -> Self {
        Self { report, held: None, hedged: ParallelAttempts::default() }
    }
}

/// Makes one attempt: sends the request to a node and waits for the response headers.
pub(super) async fn run_attempt(
    context: &NetworkContext,
    request: &mut Request,
    node: NodeId,
    begin: Begin,
    remaining: Duration,
    first_frame_timeout: Duration,
    admission: Admission,
) -> AttemptResult {
    let (link_connection, (mut sink, source)) = match open(context, node).await {
        Ok(link) => link,
        Err(fault) => {
            log::debug!("event=unreachable request={} gate={node:x} fault={fault:?}", request.id);
            return AttemptReport::Unreachable.into();
        }
    };
    let (attempt, on_commit) = (begin.attempt.map(Into::into), begin.on_commit);
    // A frame that was not sent whole cannot be decoded, so no gate has seen the request.
    if let Err(fault) = sink.send(Body::Begin(begin)).await {
        log::info!("event=attempt-lost request={} gate={node:x} fault={fault:?}", request.id);
        return AttemptReport::Unreachable.into();
    }
    let id = request.arrival.request;
    let committed = !on_commit;
    let started = Instant::now();
    let mut link = AttemptLink {
        context: context.clone(),
        id,
        attempt,
        gate: node,
        connection: link_connection,
        sink: Some(sink),
        source,
        remaining,
        started,
        committed,
        is_queued: false,
        is_withdrawn: false,
        admission,
    };
    let limit = remaining + DEADLINE_GRACE;
    let run = timeout(limit, link.run(request, first_frame_timeout.min(limit)));
    let ended = tokio::select! {
        ended = run => ended.map_err(|_| AttemptTimeout),
        () = node_ends(context) => Err(AttemptTimeout),
    };
    let committed = link.committed;
    let is_doubtful = !matches!(&ended, Ok(Ok(result)) if result.report != AttemptReport::Silent);
    if let Some((connection, datagrams)) = link.connection.as_ref().filter(|_| is_doubtful) {
        context.connector.replace_if_silent(node, connection, *datagrams).await;
    }
    let report = match ended {
        Ok(Ok(result)) => return result,
        Ok(Err(_)) if !committed => AttemptReport::Unreachable,
        Ok(Err(_)) => AttemptReport::Lost(Reason::Lost),
        Err(_) if !committed => AttemptReport::Refused(Reason::DeadlinePast, None),
        Err(_) => AttemptReport::Lost(Reason::DeadlinePast),
    };
    log::info!(
        "event=attempt-lost request={} gate={node:x} committed={committed} report={report:?}",
        request.id
    );
    report.into()
}

/// The deadline of an attempt has passed, or the node ends.
struct AttemptTimeout;

/// Waits until a stopping node must answer its requests.
pub(super) async fn node_ends(context: &NetworkContext) {
    context.stop.last_answer(&context.clock).await;
    tokio::time::sleep(DEADLINE_GRACE).await;
}

/// A connection and its datagram count before the attempt; `None` for a link within this node.
type LinkConnection = Option<(Connection, DatagramCount)>;

async fn open(
    context: &NetworkContext,
    node: NodeId,
) -> Result<(LinkConnection, (FrameSink, FrameSource)), PeerError> {
    if node == context.node {
        let (client_end, server_end) = link::local_pair();
        context.local_links.send(server_end).await.map_err(|_| PeerError::Stopping)?;
        return Ok((None, client_end));
    }
    let connection = context.connector.connect_node(node).await?;
    let datagrams = DatagramCount::of(&connection);
    let (sink, source) = connection.open_bi().await?;
    Ok((Some((connection, datagrams)), (FrameSink::Quic(sink), FrameSource::from(source))))
}

/// The link of an attempt to its gate.
pub(super) struct AttemptLink {
    pub(super) context: NetworkContext,
    id: RequestId,
    // `None` where the request is forwarded to the home of its ticket.
    attempt: Option<AttemptId>,
    pub(super) gate: NodeId,
    connection: LinkConnection,
    sink: Option<FrameSink>,
    source: FrameSource,
    remaining: Duration,
    pub(super) started: Instant,
    // Whether the gate may have run the request.
    committed: bool,
    // Whether the gate has queued the request and not yet decided on it.
    pub(super) is_queued: bool,
    is_withdrawn: bool,
    admission: Admission,
}

impl AttemptLink {
    /// Receives frames until the attempt has ended or the response headers have arrived.
    async fn run(
        &mut self,
        request: &mut Request,
        first_frame_timeout: Duration,
    ) -> Result<AttemptResult, LinkError> {
        let Ok(first) = timeout(first_frame_timeout, self.source.receive()).await else {
            self.log_silence(request);
            // The gate may be at work.
            if let Some(attempt) = self.attempt
                && self.committed
                && !self.time_left().is_zero()
            {
                let hedged = ParallelAttempt::silent(attempt, self.detach(), request.id.clone());
                let hedged = hedged.into();
                return Ok(AttemptResult { hedged, ..AttemptReport::Silent.into() });
            }
            return Err(LinkError::Closed);
        };
        let mut frame = first?;
        loop {
            match frame.take() {
                Some(Body::Verdict(verdict)) if verdict.queued => self.is_queued = true,
                Some(Body::Verdict(verdict)) if verdict.stuck => {
                    let attempt = self.attempt.ok_or(LinkError::Unexpected)?;
                    let hedged = ParallelAttempt::stuck(attempt, self.detach()).into();
                    let stuck = AttemptReport::Lost(Reason::Stuck);
                    return Ok(AttemptResult { hedged, ..stuck.into() });
                }
                Some(Body::Verdict(verdict)) if verdict.admitted => {
                    self.is_queued = false;
                    let load = verdict.load.unwrap_or_default().into();
                    self.admission.report(&self.context, self.id, load).await;
                    self.commit(request).await;
                }
                // The request was never committed here, so this gate cannot have run it.
                Some(Body::Verdict(verdict)) if !self.committed && is_stale_refusal(&verdict) => {
                    return Ok(AttemptReport::Unreachable.into());
                }
                frame => return self.end(frame),
            }
            frame = self.next_frame().await?;
        }
    }

    /// Returns the result of an attempt whose last frame this is, before a body that follows.
    pub(super) fn end(&mut self, frame: Option<Body>) -> Result<AttemptResult, LinkError> {
        match frame {
            Some(Body::Verdict(verdict)) => Ok(refused(&verdict).into()),
            Some(Body::Answer(answer)) => {
                let limit = self.time_left() + DEADLINE_GRACE;
                Ok(response_result(answer, self.take_source(), limit))
            }
            Some(Body::Cut(cut)) => {
                let reason = Reason::from_name(&cut.reason).unwrap_or(Reason::UpstreamFailed);
                Ok(AttemptReport::Lost(reason).into())
            }
            Some(_) => Err(LinkError::Unexpected),
            None => Err(LinkError::Closed),
        }
    }

    /// Logs what tells a silent path, a late gate and a late entry apart.
    fn log_silence(&self, request: &Request) {
        let received = match &self.connection {
            Some((connection, datagrams)) => datagrams.later(connection).to_string(),
            None => "local".to_owned(),
        };
        log::info!(
            "event=first-frame-missing request={} gate={:x} committed={} waited_ms={} \
             datagrams={received}",
            request.id,
            self.gate,
            self.committed,
            self.started.elapsed().as_millis()
        );
    }

    /// Receives the next frame. At the deadline, or when the node ends, it withdraws an attempt
    /// that is still queued: the gate then confirms that the request has not run and will not run.
    pub(super) async fn next_frame(&mut self) -> Result<Option<Body>, LinkError> {
        // Until it is committed, an attempt needs no confirmation.
        let mut may_withdraw = self.is_queued && self.committed && !self.is_withdrawn;
        let Self { context, sink, source, remaining, started, .. } = self;
        let withdrawal = *started + *remaining + WITHDRAWAL_DELAY;
        let frame = source.receive();
        tokio::pin!(frame);
        loop {
            tokio::select! {
                frame = &mut frame => return frame,
                () = tokio::time::sleep_until(withdrawal), if may_withdraw => {}
                () = context.stop.last_answer(&context.clock), if may_withdraw => {}
            }
            may_withdraw = false;
            self.is_withdrawn = true;
            if let Some(sink) = sink {
                let reason = Reason::DeadlinePast.name().to_owned();
                sink.send(Body::Cut(wire::Cut { reason, ..wire::Cut::default() })).await?;
            }
        }
    }

    /// Commits the request to the gate: sends the body that the gate waits for, and starts to
    /// stream the rest of it from its owner.
    async fn commit(&mut self, request: &mut Request) {
        let gate_waits = !std::mem::replace(&mut self.committed, true);
        let rest = request.body_rest.take();
        // The gate has read or will read the withdrawal instead of a body.
        if self.is_withdrawn || (!gate_waits && rest.is_none()) {
            return;
        }
        let Some(mut sink) = self.sink.take() else { return };
        if gate_waits {
            let (data, last) = (request.body.clone(), rest.is_none());
            // A gate that no longer waits for the commit says so in its next frame.
            if sink.send(Body::Chunk(wire::Chunk { data, last })).await.is_err() {
                return;
            }
        }
        let Some(rest) = rest else {
            sink.finish().await;
            return;
        };
        let (sender, parts) = mpsc::channel(BODY_CHANNEL_CAPACITY);
        if rest.send(sender).is_ok() {
            tokio::spawn(send_body(sink, parts));
        }
    }

    /// Returns the time until the deadline.
    pub(super) fn time_left(&self) -> Duration {
        self.remaining.saturating_sub(self.started.elapsed())
    }

    /// Takes the link out of an attempt that continues in parallel with the next one.
    fn detach(&mut self) -> Self {
        Self {
            context: self.context.clone(),
            connection: self.connection.clone(),
            sink: self.sink.take(),
            source: self.take_source(),
            admission: Admission::default(),
            ..*self
        }
    }

    fn take_source(&mut self) -> FrameSource {
        let closed = mpsc::channel(1).1;
        std::mem::replace(&mut self.source, FrameSource::Local(closed))
    }
}

fn response_result(answer: Answer, source: FrameSource, body_timeout: Duration) -> AttemptResult {
    let load = answer.load.map(Into::into);
    let status = u16::try_from(answer.status).unwrap_or(502);
    let stored = answer.whole.then(|| Arc::new(stored_answer(&answer, status)));
    // Dropping the source aborts a response in progress; a complete response needs no source.
    let source = (!answer.whole).then_some(source);
    AttemptResult {
        report: AttemptReport::Answered { status, load, answer: stored },
        held: Some(HeldResponse { answer, source, body_timeout }),
        hedged: ParallelAttempts::default(),
    }
}

/// Returns whether a gate refused an attempt as a duplicate or as meant for another incarnation.
fn is_stale_refusal(verdict: &wire::Verdict) -> bool {
    let reason = Reason::from_name(&verdict.reason);
    matches!(reason, Some(Reason::Outdated | Reason::Duplicate))
}

fn refused(verdict: &wire::Verdict) -> AttemptReport {
    let load = verdict.load.map(Into::into);
    match Reason::from_name(&verdict.reason) {
        Some(reason) => AttemptReport::Refused(reason, load),
        // A reason unknown to this version is still proof that the request did not run.
        None => AttemptReport::Refused(Reason::Shed, load),
    }
}

async fn send_body(mut sink: FrameSink, mut parts: mpsc::Receiver<BodyPart>) {
    let mut length = 0;
    while let Some(part) = parts.recv().await {
        let (body, is_end) = match part {
            BodyPart::Data(data) => {
                length += data.len() as u64;
                (Body::Chunk(wire::Chunk { data, last: false }), false)
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

fn stored_answer(answer: &Answer, status: u16) -> StoredAnswer {
    let headers = answer.headers.iter();
    StoredAnswer {
        status,
        headers: headers.map(|field| (field.name.clone(), field.value.clone())).collect(),
        body: answer.body.clone(),
    }
}
