//! Reads the bodies of callers' requests within the limits of their connections.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use lavenderflow_core::connections::CloseReason;
use lavenderflow_core::memory::{HeldKind, Share};
use lavenderflow_core::progress::Phase;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

use super::admission::CallerConnection;
use super::request_check::CallerError;
use crate::net::body::BodyPart;
use crate::prelude::*;

/// Largest body that is buffered before the request is dispatched, in bytes.
pub(super) const MAX_BUFFERED_BYTES: usize = 64 * 1024;
/// Sizes of the buffer of a body, in bytes: few, since each step leaves a gap in the heap. The last
/// one has room for the read by which a body exceeds [`MAX_BUFFERED_BYTES`].
const BUFFER_SIZES: [usize; 3] = [4 * 1024, 16 * 1024, 96 * 1024];
/// Memory of a body in transfer beyond what is buffered: the reads of the connection, and the parts
/// on their way to the gate.
const TRANSFER_BYTES: u64 = 32 * 1024;
/// Time for which the body of a refused request is read, so that the caller sees the response.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(10);
/// Chunks after which a body must carry [`MIN_CHUNK_BYTES`] per chunk on average. Each chunk costs
/// about as much processor time as a kilobyte of a large one.
const MAX_SMALL_CHUNKS: u32 = 16 * 1024;
/// Least average size of the chunks of a body with many of them.
const MIN_CHUNK_BYTES: usize = 8;

/// Counts the chunks of a body and the bytes that they carry.
#[derive(Debug, Default)]
struct ChunkCount {
    chunks: u32,
    bytes: usize,
}

impl ChunkCount {
    /// Adds a chunk.
    ///
    /// # Errors
    ///
    /// The body has cost far more than its bytes are worth.
    fn add(&mut self, data: &Bytes) -> Result<(), CallerError> {
        self.chunks = self.chunks.saturating_add(1);
        self.bytes = self.bytes.saturating_add(data.len());
        let average = self.bytes / self.chunks as usize;
        if self.chunks > MAX_SMALL_CHUNKS && average < MIN_CHUNK_BYTES {
            return Err(CallerError::SmallChunks(self.chunks, average));
        }
        Ok(())
    }
}

/// Completes when the connection must be closed.
pub(super) async fn closing(connection: Option<CallerConnection>) -> CloseReason {
    match connection {
        Some(mut connection) => connection.closing().await,
        None => std::future::pending().await,
    }
}

/// Reads until the body ends or exceeds [`MAX_BUFFERED_BYTES`]; returns the data, whether the body
/// ended, and the share of memory that the data takes. Does not read while the node holds as much
/// as it may.
///
/// # Errors
///
/// The body is malformed or exceeds the limits of its connection.
pub(super) async fn buffer(
    body: &mut Incoming,
    connection: Option<&CallerConnection>,
) -> Result<(Bytes, bool, Option<Share>), CallerError> {
    let mut share = connection.map(|connection| connection.hold(HeldKind::Body, 0));
    let mut count = ChunkCount::default();
    let mut first = Vec::new();
    if let (Some(connection), Some(share)) = (connection, &mut share) {
        connection.enlarge(share, TRANSFER_BYTES).await?;
    }
    let mut has_ended = false;
    while first.len() <= MAX_BUFFERED_BYTES {
        let Some(frame) = body.frame().await else {
            has_ended = true;
            break;
        };
        let Ok(data) = frame?.into_data() else { continue };
        if connection.is_some_and(CallerConnection::is_limited) {
            count.add(&data)?;
        }
        let needed = first.len() + data.len();
        if needed > first.capacity() {
            let declared = declared_bytes(body, needed);
            let sizes = BUFFER_SIZES.into_iter().find(|size| *size >= needed);
            let capacity = sizes.unwrap_or(needed).min(declared).max(needed);
            if let (Some(connection), Some(share)) = (connection, &mut share) {
                connection.enlarge(share, capacity as u64 + TRANSFER_BYTES).await?;
            }
            first.reserve_exact(capacity - first.len());
        }
        first.extend_from_slice(&data);
        // Lets other connections run in between.
        tokio::task::consume_budget().await;
    }
    if has_ended {
        first.shrink_to_fit();
    }
    if has_ended && let Some(share) = &mut share {
        share.resize(first.capacity() as u64)?;
    }
    Ok((Bytes::from(first), has_ended, share))
}

/// Returns the size of a body as far as its length is known.
fn declared_bytes(body: &Incoming, received: usize) -> usize {
    let rest = body.size_hint().upper().map(|rest| usize::try_from(rest).unwrap_or(usize::MAX));
    rest.map_or(usize::MAX, |rest| rest.saturating_add(received))
}

/// Streams the rest of a body; if the caller aborts it, no [`BodyPart::End`] is sent. If nobody
/// reads the rest, drains it for up to [`DRAIN_TIMEOUT`], so that the caller sees the response.
pub(super) async fn stream(
    body: Incoming,
    connection: Option<CallerConnection>,
    requested: oneshot::Receiver<mpsc::Sender<BodyPart>>,
) {
    let set_phase = |phase: Phase| {
        if let Some(connection) = &connection {
            connection.set_phase(phase);
        }
    };
    let streaming = async {
        match requested.await {
            Ok(parts) => stream_parts(body, parts, connection.as_ref(), set_phase).await,
            Err(_) => Some(body),
        }
    };
    let rest = tokio::select! {
        rest = streaming => rest,
        reason = closing(connection.clone()) => {
            log::info!("event=body-cut reason={}", reason.name());
            return;
        }
    };
    if let Some(body) = rest {
        drain(body).await;
    }
}

/// Streams a body; returns it if nobody reads it any more.
async fn stream_parts(
    mut body: Incoming,
    parts: mpsc::Sender<BodyPart>,
    connection: Option<&CallerConnection>,
    set_phase: impl Fn(Phase),
) -> Option<Incoming> {
    let _share = connection.map(|connection| connection.hold(HeldKind::Body, TRANSFER_BYTES));
    let mut count = ChunkCount::default();
    loop {
        set_phase(Phase::Receiving);
        let frame = body.frame().await;
        set_phase(Phase::Processing);
        let part = match frame {
            None => BodyPart::End,
            Some(Ok(frame)) => match frame.into_data() {
                Ok(data) => BodyPart::Data(data),
                Err(_) => continue,
            },
            Some(Err(fault)) => {
                log::info!("event=caller-gone fault={fault:?}");
                return None;
            }
        };
        if let BodyPart::Data(data) = &part
            && connection.is_some_and(CallerConnection::is_limited)
            && let Err(fault) = count.add(data)
        {
            log::info!("event=body-cut fault={fault}");
            return None;
        }
        let is_end = matches!(part, BodyPart::End);
        if parts.send(part).await.is_err() {
            return Some(body);
        }
        if is_end {
            return None;
        }
    }
}

/// Reads the rest of a body that nobody needs, for up to [`DRAIN_TIMEOUT`].
pub(super) async fn drain(mut body: Incoming) {
    let drain = async { while let Some(Ok(_)) = body.frame().await {} };
    let _ = timeout(DRAIN_TIMEOUT, drain).await;
}
