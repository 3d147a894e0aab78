//! Attempts that continue in parallel with the next one.

use lavenderflow_schema::wire::frame::Body;
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::attempt::{AttemptResult, node_ends, response_result};
use crate::net::context::NetworkContext;
use crate::net::link::{FrameSink, FrameSource};
use crate::prelude::Duration;

/// A stuck attempt that continues in parallel with another one. Dropping it abandons the attempt.
pub(super) struct HedgedAttempt(oneshot::Receiver<AttemptResult>);

impl HedgedAttempt {
    /// Starts waiting for the response to an attempt, up to `limit`.
    pub(super) fn start(
        context: &NetworkContext,
        sink: Option<FrameSink>,
        mut source: FrameSource,
        limit: Duration,
    ) -> Self {
        let context = context.clone();
        let (mut sender, receiver) = oneshot::channel();
        tokio::spawn(async move {
            // Keeps the sink open: the gate would take its end for a caller that disconnected.
            let _sink = sink;
            let answer = async {
                loop {
                    match source.receive().await {
                        Ok(Some(Body::Answer(answer))) => return Some(answer),
                        Ok(Some(Body::Verdict(_))) => {}
                        _ => return None,
                    }
                }
            };
            let answer = tokio::select! {
                answer = timeout(limit, answer) => answer.ok().flatten(),
                () = sender.closed() => return,
                () = node_ends(&context) => return,
            };
            if let Some(answer) = answer {
                // The receiver is gone when the other attempt has ended the request.
                let _ = sender.send(response_result(answer, source, limit));
            }
        });
        Self(receiver)
    }

    /// Waits for the response; `None` when there will be none.
    pub(super) async fn response(&mut self) -> Option<AttemptResult> {
        (&mut self.0).await.ok()
    }
}
