//! Relays a response body from its gate.

use bytes::Bytes;
use lavenderflow_core::request::AttemptReport;
use lavenderflow_schema::wire::frame::Body;
use tokio::sync::mpsc;
use tokio::time::timeout;

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
        let limit = self.limit;
        let copied = timeout(limit, self.copy(&parts)).await;
        let Self { id, name, source, .. } = self;
        // The gate must not wait for a caller that does not read.
        drop(source);
        match copied.unwrap_or(Err(Truncation::Timeout)) {
            Ok(report) => send_report(&context, id, report).await,
            Err(fault) => {
                log::info!("event=response-truncated request={name} fault={fault:?}");
                send_report(&context, id, AttemptReport::Truncated).await;
                let _ = parts.send(Err(TruncatedResponse)).await;
            }
        }
    }

    async fn copy(
        &mut self,
        parts: &mpsc::Sender<Result<Bytes, TruncatedResponse>>,
    ) -> Result<AttemptReport, Truncation> {
        let mut total = self.first_length;
        loop {
            match self.source.receive().await? {
                Some(Body::Chunk(chunk)) => {
                    total += chunk.data.len() as u64;
                    if parts.send(Ok(chunk.data)).await.is_err() {
                        return Ok(AttemptReport::CallerGone);
                    }
                }
                Some(Body::End(end)) if end.length == total => {
                    let load = end.load.map(Into::into);
                    return Ok(AttemptReport::Completed { load, bytes: total });
                }
                Some(Body::End(end)) => return Err(Truncation::Length(total, end.length)),
                Some(Body::Cut(cut)) => return Err(Truncation::Cut(cut.reason)),
                Some(_) => return Err(LinkError::Unexpected.into()),
                None => return Err(LinkError::Closed.into()),
            }
        }
    }
}
