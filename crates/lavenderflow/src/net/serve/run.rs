//! Runs of requests on the upstreams of this node's gate.

use bytes::{Bytes, BytesMut};
use lavenderflow_core::gate::{RunResult, UpstreamSignals};
use lavenderflow_core::memory::Share;
use lavenderflow_schema::wire::frame::Body;
use lavenderflow_schema::wire::{self, Answer, Header};
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};

use super::{MAX_BUFFERED_BYTES, refuse, send_gate};
use crate::message::GateMessage;
use crate::net::context::NetworkContext;
use crate::net::link::{FrameSink, LinkEnd, LinkError};
use crate::prelude::Reason;
use crate::slot::Slot;
use crate::upstream::CallEvent;

/// Size up to which a response body is sent in one frame while there is no memory for more.
const MIN_BUFFERED_BYTES: usize = 8 * 1024;

/// A run of a request on an upstream.
pub(super) struct UpstreamRun<'a> {
    pub(super) context: &'a NetworkContext,
    pub(super) slot: Slot,
    pub(super) id: String,
    pub(super) sink: FrameSink,
    pub(super) idempotent: bool,
    /// Time by which the response must have been sent, as long as it occupies the upstream.
    pub(super) deadline: Instant,
    pub(super) _held: Share,
}

impl UpstreamRun<'_> {
    /// Relays the response and gives the slot back when the run has ended.
    pub(super) async fn relay(
        mut self,
        mut events: mpsc::Receiver<CallEvent>,
    ) -> Result<(), LinkError> {
        let mut answer: Option<Answer> = None;
        let mut first = BytesMut::new();
        // Accounts for the first part of the body until it is sent.
        let mut first_share: Option<Share> = None;
        let (mut total, mut is_streamed) = (0, false);
        loop {
            let event = tokio::select! {
                event = events.recv() => event,
                end = self.sink.closed() => return self.finish_unwanted(events, end).await,
                // A response that has begun cannot be replaced.
                () = self.slot.abandoned(), if answer.is_none() => {
                    log::info!("event=stuck request={}", self.id);
                    let stuck = wire::Verdict { stuck: true, ..wire::Verdict::default() };
                    self.sink.send(Body::Verdict(stuck)).await?;
                    continue;
                }
            };
            match event {
                Some(CallEvent::Signals(signals)) => self.send_signals(signals).await,
                Some(CallEvent::Head { status, headers, signals }) => {
                    let attempt = self.slot.attempt();
                    send_gate(self.context, GateMessage::ResponseStarted(attempt, signals)).await;
                    answer = Some(self.response_head(status, headers));
                }
                Some(CallEvent::Data(mut part)) => {
                    total += part.len() as u64;
                    if !is_streamed {
                        first.extend_from_slice(&part.take_data());
                        let limit =
                            if part.is_alone() { MIN_BUFFERED_BYTES } else { MAX_BUFFERED_BYTES };
                        match &mut first_share {
                            Some(share) => share.merge(part.into_share()),
                            None => first_share = Some(part.into_share()),
                        }
                        if first.len() > limit
                            && let Some(answer) = answer.clone()
                        {
                            is_streamed = true;
                            let body = std::mem::take(&mut first).freeze();
                            let head = Body::Answer(Answer { body, ..answer });
                            if let Err(fault) = self.send_part(head).await {
                                return self.abandon(fault).await;
                            }
                            first_share = None;
                        }
                    } else {
                        let chunk =
                            Body::Chunk(wire::Chunk { data: part.take_data(), last: false });
                        if let Err(fault) = self.send_part(chunk).await {
                            return self.abandon(fault).await;
                        }
                    }
                }
                Some(CallEvent::End) => {
                    let first = (!is_streamed).then(|| first.freeze());
                    return self.finish(answer, first, total).await;
                }
                Some(CallEvent::Failed { result, not_run }) => {
                    return self.fail(answer, result, not_run).await;
                }
                None => return Err(LinkError::Closed),
            }
        }
    }

    /// Sends a part of the response. The upstream may send parts without end, so the wait for a
    /// receiver that does not read them ends at the deadline.
    async fn send_part(&mut self, part: Body) -> Result<(), LinkError> {
        let sent = timeout_at(self.deadline, self.sink.send(part)).await;
        sent.unwrap_or(Err(LinkError::Unread))
    }

    /// Ends a run whose response cannot be sent. Dropping the receiver of events closes the
    /// connection to the upstream.
    async fn abandon(self, fault: LinkError) -> Result<(), LinkError> {
        log::info!("event=response-abandoned request={} fault={fault}", self.id);
        self.slot.finish(RunResult::Cancelled).await;
        self.sink.reset();
        Err(fault)
    }

    /// Ends a run whose response is no longer wanted. An idempotent request is cancelled if the
    /// upstream stops work when its connection closes. Otherwise this waits until the upstream
    /// responds: until then the request still occupies the upstream, and freeing the slot here
    /// would overload it.
    async fn finish_unwanted(
        self,
        mut events: mpsc::Receiver<CallEvent>,
        end: LinkEnd,
    ) -> Result<(), LinkError> {
        if self.idempotent && self.context.dialect.cancels_on_close() {
            drop(events);
            log::info!("event=cancelled request={} link={end:?}", self.id);
            self.slot.finish(RunResult::Cancelled).await;
            return Err(LinkError::Closed);
        }
        let result = loop {
            match events.recv().await {
                Some(CallEvent::Signals(signals)) => self.send_signals(signals).await,
                Some(CallEvent::End) => break RunResult::Success,
                Some(CallEvent::Failed { result, .. }) => break result,
                // Dropping the receiver of events closes the connection to the upstream.
                Some(CallEvent::Head { .. } | CallEvent::Data(_)) | None => {
                    break RunResult::Cancelled;
                }
            }
        };
        self.slot.finish(result).await;
        Err(LinkError::Closed)
    }

    fn response_head(&self, status: u16, headers: Vec<(String, String)>) -> Answer {
        let headers = headers.into_iter().map(|(name, value)| Header { name, value }).collect();
        Answer { request_id: self.id.clone(), status: status.into(), headers, ..Answer::default() }
    }

    async fn send_signals(&self, signals: UpstreamSignals) {
        send_gate(self.context, GateMessage::Signals(self.slot.attempt(), signals)).await;
    }

    async fn finish(
        self,
        answer: Option<Answer>,
        whole: Option<Bytes>,
        total: u64,
    ) -> Result<(), LinkError> {
        let answer = answer.unwrap_or_default();
        let failed = answer.status >= 500;
        let result = if failed { RunResult::ServerError } else { RunResult::Success };
        let load = self.slot.finish(result).await.map(Into::into);
        let body = match whole {
            Some(body) => Body::Answer(Answer { body, whole: true, load, ..answer }),
            None => Body::End(wire::End { length: total, load }),
        };
        self.sink.send_last(body, self.deadline).await
    }

    async fn fail(
        self,
        answer: Option<Answer>,
        result: RunResult,
        not_run: Option<Reason>,
    ) -> Result<(), LinkError> {
        let load = self.slot.finish(result).await;
        if let Some(reason) = not_run
            && answer.is_none()
        {
            return refuse(self.sink, reason, load).await;
        }
        let reason = match result {
            RunResult::TimedOut => Reason::DeadlinePast,
            RunResult::Cancelled => Reason::CallerGone,
            _ => Reason::UpstreamFailed,
        };
        let load = load.map(Into::into);
        let cut = wire::Cut { reason: reason.name().to_owned(), load, not_run: false };
        self.sink.send_last(Body::Cut(cut), self.deadline).await
    }
}
