//! Attempts that continue in parallel with the next one.

use std::future::poll_fn;
use std::pin::Pin;
use std::task::{Context, Poll};

use lavenderflow_core::request::AttemptReport;
use lavenderflow_schema::wire::frame::Body;
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::attempt::{AttemptLink, AttemptResult, DEADLINE_GRACE, node_ends};
use super::hedge::is_usable;
use crate::net::link::LinkError;
use crate::prelude::Reason;

/// An attempt that continues in parallel with another one. Dropping it abandons the attempt.
pub(super) struct ParallelAttempt(oneshot::Receiver<AttemptResult>);

impl ParallelAttempt {
    /// Starts to follow an attempt whose upstream has the request.
    pub(super) fn stuck(link: AttemptLink) -> Self {
        Self::start(link, None)
    }

    /// Starts to follow an attempt of which its gate has sent nothing yet; `request` is for the log.
    pub(super) fn silent(link: AttemptLink, request: String) -> Self {
        Self::start(link, Some(request))
    }

    fn start(mut link: AttemptLink, silent: Option<String>) -> Self {
        let (mut sender, result) = oneshot::channel();
        tokio::spawn(async move {
            let context = link.context.clone();
            let limit = link.time_left() + DEADLINE_GRACE;
            let result = tokio::select! {
                ended = timeout(limit, link.follow(silent)) => match ended {
                    Ok(Ok(result)) => result,
                    Ok(Err(_)) => AttemptReport::Lost(Reason::Lost).into(),
                    Err(_) => AttemptReport::Lost(Reason::DeadlinePast).into(),
                },
                () = sender.closed() => return,
                () = node_ends(&context) => AttemptReport::Lost(Reason::DeadlinePast).into(),
            };
            // The receiver is gone when another attempt has ended the request.
            let _ = sender.send(result);
        });
        Self(result)
    }
}

impl AttemptLink {
    /// Receives frames until the attempt has ended.
    async fn follow(&mut self, mut silent: Option<String>) -> Result<AttemptResult, LinkError> {
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
                Some(Body::Verdict(verdict)) if verdict.stuck => {}
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
    // The result that is used if no attempt has a usable response.
    failed: Option<Box<AttemptResult>>,
}

impl From<ParallelAttempt> for ParallelAttempts {
    fn from(attempt: ParallelAttempt) -> Self {
        Self { running: vec![attempt], failed: None }
    }
}

impl ParallelAttempts {
    pub(super) fn is_empty(&self) -> bool {
        self.running.is_empty()
    }

    pub(super) fn append(&mut self, mut other: Self) {
        self.running.append(&mut other.running);
        self.failed = other.failed.or(self.failed.take());
    }

    /// Waits for a usable response, or until all attempts have ended without one. Returns `None` if
    /// there are none.
    pub(super) async fn response(&mut self) -> Option<AttemptResult> {
        while !self.running.is_empty() {
            let Some(result) = poll_fn(|context| self.poll_end(context)).await else { continue };
            if is_usable(&result.report) {
                return Some(result);
            }
            if result.held.is_some() || self.failed.is_none() {
                self.failed = Some(Box::new(result));
            }
        }
        self.failed.take().map(|result| *result)
    }

    fn poll_end(&mut self, context: &mut Context<'_>) -> Poll<Option<AttemptResult>> {
        for index in 0..self.running.len() {
            let result = Pin::new(&mut self.running[index].0);
            if let Poll::Ready(result) = result.poll(context) {
                self.running.swap_remove(index);
                return Poll::Ready(result.ok());
            }
        }
        Poll::Pending
    }
}
