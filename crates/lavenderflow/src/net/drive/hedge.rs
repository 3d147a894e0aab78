//! Runs a second attempt beside a slow one: the first usable response wins, and the other attempt
//! is dropped, which cancels it at its gate.

use std::pin::Pin;

use lavenderflow_core::hedge::Suppression;
use lavenderflow_core::request::{AttemptReport, AttemptSpec, EntryAction};
use lavenderflow_schema::wire::Begin;
use tokio::sync::{mpsc, oneshot};

use super::admission::Admission;
use super::attempt::{AttemptResult, HeldResponse, run_attempt};
use super::frame::dispatch_frame;
use super::parallel::{ParallelAttempts, Race, keep};
use super::{FIRST_FRAME_TIMEOUT, Request, send_report};
use crate::net::context::NetworkContext;
use crate::prelude::*;

/// A copy that the entry has decided on.
pub(super) struct CopyOrder {
    pub(super) attempt: AttemptId,
    pub(super) gate: NodeId,
    pub(super) incarnation: Incarnation,
    pub(super) spec: AttemptSpec,
}

/// The first attempt of a request that has a copy.
pub(super) enum FirstAttempt<'a, F> {
    /// It runs as usual.
    Running(Pin<&'a mut F>),
    /// It was reported as silent or stuck and goes on, maybe beside others.
    Earlier(ParallelAttempts),
}

impl<F: Future<Output = AttemptResult>> FirstAttempt<'_, F> {
    async fn end(&mut self) -> AttemptResult {
        match self {
            Self::Running(attempt) => attempt.as_mut().await,
            Self::Earlier(attempts) => match attempts.next_result().await {
                Some(result) => result,
                None => std::future::pending().await,
            },
        }
    }
}

/// What a race of two attempts needs besides them.
pub(super) struct HedgeContext<'a> {
    pub(super) context: &'a NetworkContext,
    /// The request, without a body that is streamed.
    pub(super) request: Request,
    /// Receives the response of an attempt that failed, for callers that get no better one.
    pub(super) held: &'a mut Option<HeldResponse>,
}

impl HedgeContext<'_> {
    /// Runs an attempt, and a copy of it once the entry decides on one.
    pub(super) async fn run(
        self,
        first: impl Future<Output = AttemptResult>,
        admitted: oneshot::Receiver<()>,
        delay: Duration,
        actions: &mut mpsc::Receiver<EntryAction>,
    ) -> AttemptResult {
        tokio::pin!(first);
        let overdue = async {
            // An attempt that gets no slot is never overdue.
            if admitted.await.is_err() {
                std::future::pending::<()>().await;
            }
            tokio::time::sleep(delay).await;
        };
        let action = tokio::select! {
            result = &mut first => return result,
            action = actions.recv() => action,
            () = overdue => {
                let id = self.request.arrival.request;
                send_report(self.context, id, AttemptReport::Overdue).await;
                // The entry replies at once, with a copy that it decided on before or with this
                // one.
                actions.recv().await
            }
        };
        match action {
            Some(EntryAction::Hedge { attempt, gate, incarnation, spec, .. }) => {
                let order = CopyOrder { attempt, gate, incarnation, spec };
                self.race(FirstAttempt::Running(first), order).await
            }
            Some(EntryAction::KeepWaiting { suppression, .. }) => {
                self.keep_waiting(first, suppression, actions).await
            }
            // The actors have ended.
            _ => first.await,
        }
    }

    /// Goes on without a copy, unless the entry learns of a gray failure.
    async fn keep_waiting<F: Future<Output = AttemptResult>>(
        self,
        mut first: Pin<&mut F>,
        suppression: Suppression,
        actions: &mut mpsc::Receiver<EntryAction>,
    ) -> AttemptResult {
        let reason = suppression.name();
        log::info!("event=hedge-suppressed request={} reason={reason}", self.request.id);
        let action = tokio::select! {
            result = &mut first => return result,
            action = actions.recv() => action,
        };
        match action {
            Some(EntryAction::Hedge { attempt, gate, incarnation, spec, .. }) => {
                let order = CopyOrder { attempt, gate, incarnation, spec };
                self.race(FirstAttempt::Running(first), order).await
            }
            _ => first.await,
        }
    }

    /// Runs a copy beside the first attempt until one of them has a usable response, or both have
    /// ended. The result is that of the attempt that decides; the other one is reported here.
    pub(super) async fn race<F: Future<Output = AttemptResult>>(
        mut self,
        mut first: FirstAttempt<'_, F>,
        order: CopyOrder,
    ) -> AttemptResult {
        let begin = self.log_and_frame(&order);
        let (id, name) = (self.request.arrival.request, self.request.id.clone());
        let limit = order.spec.remaining;
        let (gate, admission) = (order.gate, Admission::copy());
        let copy = run_attempt(
            self.context,
            &mut self.request,
            gate,
            begin,
            limit,
            FIRST_FRAME_TIMEOUT,
            admission,
        );
        tokio::pin!(copy);
        loop {
            tokio::select! {
                result = first.end() => {
                    if is_usable(&result.report) {
                        log::info!("event=hedge-ended request={name} used=first");
                        return result;
                    }
                    keep(self.held, result.held);
                    send_report(self.context, id, result.report).await;
                    if let FirstAttempt::Running(_) = first {
                        first = FirstAttempt::Earlier(result.hedged);
                    }
                }
                result = &mut copy => {
                    log_end(&name, is_usable(&result.report));
                    if is_usable(&result.report) {
                        return as_copy(result);
                    }
                    let mut result = as_copy(result);
                    return match first {
                        FirstAttempt::Running(attempt) => {
                            keep(self.held, result.held);
                            send_report(self.context, id, result.report).await;
                            let mut earlier = result.hedged;
                            let (context, held) = (self.context, self.held);
                            let mut race = Race { context, id, earlier: &mut earlier, held };
                            let mut result = race.run(None, attempt).await;
                            result.hedged.append(earlier);
                            result
                        }
                        FirstAttempt::Earlier(attempts) => {
                            result.hedged.append(attempts);
                            result
                        }
                    };
                }
            }
        }
    }

    /// Runs a copy whose first attempt ended before the entry's decision arrived.
    pub(super) async fn run_alone(mut self, order: CopyOrder) -> AttemptResult {
        let begin = self.log_and_frame(&order);
        let (limit, admission) = (order.spec.remaining, Admission::copy());
        let result = run_attempt(
            self.context,
            &mut self.request,
            order.gate,
            begin,
            limit,
            FIRST_FRAME_TIMEOUT,
            admission,
        );
        let result = result.await;
        log_end(&self.request.id, is_usable(&result.report));
        as_copy(result)
    }

    fn log_and_frame(&self, order: &CopyOrder) -> Begin {
        let CopyOrder { attempt, gate, incarnation, spec } = order;
        log::info!(
            "event=hedge-started request={} attempt={:x} gate={gate:x} service={} tolerance={:.2} \
             left_ms={}",
            self.request.id,
            attempt.serial,
            spec.service,
            spec.gray_tolerance,
            spec.remaining.as_millis()
        );
        Begin { incarnation: *incarnation, ..dispatch_frame(&self.request, *attempt, None, spec) }
    }
}

/// The type of a first attempt that does not exist.
pub(super) type NoAttempt = std::future::Pending<AttemptResult>;

fn log_end(request: &str, is_used: bool) {
    let used = if is_used { "copy" } else { "none" };
    log::info!("event=hedge-ended request={request} used={used}");
}

fn as_copy(result: AttemptResult) -> AttemptResult {
    AttemptResult { report: AttemptReport::Copy(Box::new(result.report)), ..result }
}

/// Returns whether a report ends the request with a response. A complete server error does not
/// while another attempt runs; a response that is streamed does, since it has begun.
pub(super) fn is_usable(report: &AttemptReport) -> bool {
    match report {
        AttemptReport::Answered { status, answer, .. } => *status < 500 || answer.is_none(),
        AttemptReport::Copy(report) | AttemptReport::Earlier(_, report) => is_usable(report),
        _ => false,
    }
}
