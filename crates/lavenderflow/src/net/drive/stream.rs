//! Relays a response body from its gate.

use bytes::Bytes;
use lavenderflow_core::request::AttemptReport;
use lavenderflow_schema::wire::frame::Body;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};

use super::send_report;
use crate::net::body::TruncatedResponse;
use crate::net::context::NetworkContext;
use crate::net::link::{FrameSource, LinkError};
use crate::prelude::{Duration, RequestId};

/// Why the rest of a response did not arrive.
#[derive(Debug, thiserror::Error)]
enum Truncation {
    #[error("the gate ended the response: {0}")]
    Cut(String),
    #[error("the response has {0} bytes instead of {1}")]
    Length(u64, u64),
    #[error("the link failed: {0}")]
    Link(#[from] LinkError),
    #[error("the time for the body has passed")]
    Timeout,
    #[error("the caller did not read the body in time")]
    Unread,
}

/// The rest of a response whose head has been received.
pub(super) struct ResponseStream {
    /// The request.
    pub(super) id: RequestId,
    /// The id of the request in logs.
    pub(super) name: String,
    /// Where the rest comes from.
    pub(super) source: FrameSource,
    /// Bytes of the body that came with the head.
    pub(super) first_length: u64,
    /// Longest time for the rest.
    pub(super) limit: Duration,
}

impl ResponseStream {
    /// Relays the parts of the body, checks its length and reports the end to the entry.
    pub(super) async fn relay(
        mut self,
        context: NetworkContext,
        parts: mpsc::Sender<Result<Bytes, TruncatedResponse>>,
    ) {
        let copied = self.copy(&parts).await;
        let Self { id, name, source, .. } = self;
        // The gate must not wait for a caller that does not read.
        drop(source);
        match copied {
            Ok(report) => send_report(&context, id, report).await,
            Err(fault) => {
                log::info!("event=response-truncated request={name} fault={fault:?}");
                let report = match fault {
                    // No evidence against the upstream.
                    Truncation::Unread => AttemptReport::CallerGone,
                    _ => AttemptReport::Truncated,
                };
                send_report(&context, id, report).await;
                let _ = parts.send(Err(TruncatedResponse)).await;
            }
        }
    }

    async fn copy(
        &mut self,
        parts: &mpsc::Sender<Result<Bytes, TruncatedResponse>>,
    ) -> Result<AttemptReport, Truncation> {
        let deadline = Instant::now() + self.limit;
        let mut total = self.first_length;
        loop {
            let frame = timeout_at(deadline, self.source.receive()).await;
            match frame.map_err(|_| Truncation::Timeout)?? {
                Some(Body::Chunk(chunk)) => {
                    total += chunk.data.len() as u64;
                    let sent = timeout_at(deadline, parts.send(Ok(chunk.data))).await;
                    if sent.map_err(|_| Truncation::Unread)?.is_err() {
                        return Ok(AttemptReport::CallerGone);
                    }
                }
                Some(Body::End(end)) if end.length == total => {
                    let load = end.load.map(Into::into);
                    return Ok(AttemptReport::Completed { load, bytes: total });
                }
                Some(Body::End(end)) => return Err(Truncation::Length(total, end.length)),
                Some(Body::Cut(cut)) => return Err(Truncation::Cut(cut.reason)),
                // The gate took the run for stuck just before its response began.
                Some(Body::Verdict(verdict)) if verdict.stuck => {}
                Some(_) => return Err(LinkError::Unexpected.into()),
                None => return Err(LinkError::Closed.into()),
            }
        }
    }
}
