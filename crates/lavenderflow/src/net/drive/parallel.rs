//! Attempts that continue in parallel with the next one.

use std::future::poll_fn;
use std::task::{Context, Poll};

use lavenderflow_core::request::AttemptReport;
use lavenderflow_schema::wire::frame::Body;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

use super::attempt::{AttemptLink, AttemptResult, DEADLINE_GRACE, HeldResponse, node_ends};
use super::hedge::is_usable;
use super::send_report;
use crate::net::context::NetworkContext;
use crate::net::link::LinkError;
use crate::prelude::{AttemptId, Reason, RequestId};

/// Results that an attempt has at most: that it is stuck, and its end.
const RESULT_CAPACITY: usize = 2;

/// An attempt that continues in parallel with another one. Dropping it abandons the attempt.
pub(super) struct ParallelAttempt {
    attempt: AttemptId,
    results: mpsc::Receiver<AttemptResult>,
}

impl ParallelAttempt {
    /// Starts to follow an attempt whose upstream has the request.
    pub(super) fn stuck(attempt: AttemptId, link: AttemptLink) -> Self {
        Self::start(attempt, link, None)
    }

    /// Starts to follow an attempt of which its gate has sent nothing yet; `request` is for the log.
    pub(super) fn silent(attempt: AttemptId, link: AttemptLink, request: String) -> Self {
        Self::start(attempt, link, Some(request))
    }

    fn start(attempt: AttemptId, mut link: AttemptLink, silent: Option<String>) -> Self {
        let (sender, results) = mpsc::channel(RESULT_CAPACITY);
        tokio::spawn(async move {
            let context = link.context.clone();
            let limit = link.time_left() + DEADLINE_GRACE;
            let result = tokio::select! {
                ended = timeout(limit, link.follow(silent, &sender)) => match ended {
                    Ok(Ok(result)) => result,
                    Ok(Err(_)) => AttemptReport::Lost(Reason::Lost).into(),
                    Err(_) => AttemptReport::Lost(Reason::DeadlinePast).into(),
                },
                () = sender.closed() => return,
                () = node_ends(&context) => AttemptReport::Lost(Reason::DeadlinePast).into(),
            };
            // The receiver is gone when another attempt has ended the request.
            let _ = sender.send(result).await;
        });
        Self { attempt, results }
    }
}

impl AttemptLink {
    /// Receives frames until the attempt has ended. Reports a silent attempt that becomes stuck.
    async fn follow(
        &mut self,
        mut silent: Option<String>,
        results: &mpsc::Sender<AttemptResult>,
    ) -> Result<AttemptResult, LinkError> {
        let mut was_silent = silent.is_some();
        loop {
            let frame = self.next_frame().await?;
            if let Some(request) = silent.take() {
                let waited = self.started.elapsed().as_millis();
                let gate = self.gate;
                log::info!(
                    "event=first-frame-late request={request} gate={gate:x} waited_ms={waited}"
                );
            }
            match frame {
                Some(Body::Verdict(verdict)) if verdict.queued => self.is_queued = true,
                Some(Body::Verdict(verdict)) if verdict.admitted => self.is_queued = false,
                Some(Body::Verdict(verdict)) if verdict.stuck => {
                    if std::mem::take(&mut was_silent) {
                        let _ = results.send(AttemptReport::Lost(Reason::Stuck).into()).await;
                    }
                }
                frame => return self.end(frame),
            }
        }
    }
}

/// The attempts of one request that continue in parallel with the next one. Dropping them abandons
/// them.
#[derive(Default)]
pub(super) struct ParallelAttempts {
    running: Vec<ParallelAttempt>,
}

impl From<ParallelAttempt> for ParallelAttempts {
    fn from(attempt: ParallelAttempt) -> Self {
        Self { running: vec![attempt] }
    }
}

impl ParallelAttempts {
    pub(super) fn is_empty(&self) -> bool {
        self.running.is_empty()
    }

    pub(super) fn append(&mut self, mut other: Self) {
        self.running.append(&mut other.running);
    }

    /// Waits for the next report on an attempt: its end, or that it is stuck. Returns `None` if
    /// there are no attempts.
    pub(super) async fn next_result(&mut self) -> Option<AttemptResult> {
        if self.running.is_empty() {
            return None;
        }
        Some(poll_fn(|context| self.poll_result(context)).await)
    }

    fn poll_result(&mut self, context: &mut Context<'_>) -> Poll<AttemptResult> {
        for index in 0..self.running.len() {
            let ParallelAttempt { attempt, results } = &mut self.running[index];
            if let Poll::Ready(result) = results.poll_recv(context) {
                let attempt = *attempt;
                let result = result.unwrap_or_else(|| AttemptReport::Lost(Reason::Lost).into());
                if result.report != AttemptReport::Lost(Reason::Stuck) {
                    self.running.swap_remove(index);
                }
                let report = AttemptReport::Earlier(attempt, Box::new(result.report));
                return Poll::Ready(AttemptResult { report, ..result });
            }
        }
        Poll::Pending
    }
}

/// A new attempt beside those that go on.
pub(super) struct Race<'a> {
    pub(super) context: &'a NetworkContext,
    pub(super) id: RequestId,
    pub(super) earlier: &'a mut ParallelAttempts,
    /// Receives the response of an attempt that failed, for callers that get no better one.
    pub(super) held: &'a mut Option<HeldResponse>,
}

impl Race<'_> {
    /// Waits for the end of the new attempt or for a usable response to an earlier one, whichever
    /// comes first; other reports on earlier ones are reported here. With `replaced`, the earlier ones
    /// are cancelled once the new one has a slot.
    pub(super) async fn run(
        &mut self,
        replaced: Option<oneshot::Receiver<()>>,
        next: impl Future<Output = AttemptResult>,
    ) -> AttemptResult {
        tokio::pin!(next);
        let replaced = async {
            let is_replaced = match replaced {
                Some(admitted) => admitted.await.is_ok(),
                None => false,
            };
            if !is_replaced {
                std::future::pending::<()>().await;
            }
        };
        tokio::pin!(replaced);
        loop {
            tokio::select! {
                // A response that has arrived is not cancelled.
                biased;
                result = &mut next => return result,
                Some(result) = self.earlier.next_result() => {
                    if is_usable(&result.report) {
                        return result;
                    }
                    keep(self.held, result.held);
                    send_report(self.context, self.id, result.report).await;
                }
                () = &mut replaced, if !self.earlier.is_empty() => {
                    drop(std::mem::take(self.earlier));
                }
            }
        }
    }
}

/// Keeps a new response, if there is one.
pub(super) fn keep(held: &mut Option<HeldResponse>, new: Option<HeldResponse>) {
    if new.is_some() {
        *held = new;
    }
}
