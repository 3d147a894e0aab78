//! Receives announcements of the upstreams on this VM.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use lavenderflow_core::progress::Phase;
use lavenderflow_core::upstream::{AnnouncedPhase, AnnouncementRefusal};
use lavenderflow_schema::convert::ConvertError;
use lavenderflow_schema::dialect::Dialect;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::admission::{Admission, CallerConnection};
use super::port;
use super::server::ServerHandle;
use crate::message::GateMessage;
use crate::prelude::*;

/// Largest body of an announcement, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// Time within which the body of an announcement must arrive, for which an upstream waits.
const BODY_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest wait for the store: until it has what must outlast the node, or until a node that has
/// just started knows what it had stored. An upstream waits for a second.
const STORE_TIMEOUT: Duration = Duration::from_millis(700);

/// Why an announcement is rejected.
#[derive(Debug, thiserror::Error)]
pub enum AnnouncementError {
    /// The body is too large.
    #[error("the body is larger than {MAX_BODY_BYTES} bytes")]
    TooLarge,
    /// The connection broke before the end of the body.
    #[error("the body is truncated")]
    TruncatedBody,
    /// The body did not arrive in time.
    #[error("the body has not arrived within {BODY_TIMEOUT:?}")]
    LateBody,
    /// The announcement is malformed.
    #[error(transparent)]
    Malformed(#[from] ConvertError),
    /// The announced address is not that of the upstream on this VM.
    #[error("{0} is not the address of the upstream on this VM")]
    WrongAddress(SocketAddr),
    /// The gate has not applied the announcement.
    #[error(transparent)]
    Refused(#[from] AnnouncementRefusal),
    /// The node is stopping.
    #[error("the node is stopping")]
    Stopping,
}

impl AnnouncementError {
    /// Returns the HTTP status.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::LateBody => StatusCode::REQUEST_TIMEOUT,
            Self::TruncatedBody | Self::Malformed(_) | Self::WrongAddress(_) => {
                StatusCode::BAD_REQUEST
            }
            Self::Refused(AnnouncementRefusal::Contradiction(_)) => StatusCode::CONFLICT,
            Self::Refused(_) | Self::Stopping => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// What the handlers of all announcements share.
#[derive(Clone, Debug)]
pub struct AnnouncementContext {
    /// Sends announcements to the gate.
    pub mailbox: Mailbox,
    /// Parses announcements.
    pub dialect: Arc<dyn Dialect>,
    /// HTTP address of the only upstream on this VM; `None` if there can be several.
    pub upstream: Option<SocketAddr>,
}

/// Serves upstreams' announcements on a bound address.
pub fn start(
    listener: TcpListener,
    admission: Admission,
    context: AnnouncementContext,
) -> ServerHandle {
    port::start(listener, admission, move |request| serve(context.clone(), request))
}

async fn serve(context: AnnouncementContext, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let (status, text) = match accept(&context, request).await {
        Ok(()) => (StatusCode::OK, "{}".to_owned()),
        Err(fault) => (fault.status(), format!("{fault}\n")),
    };
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    response
}

/// Passes an announcement on to the gate; returns once the gate has applied it and, if the upstream
/// leaves, once the store has that. Without the store, only this process knows it for the time
/// being.
///
/// # Errors
///
/// The announcement cannot be read, is malformed, is of another VM's upstream or cannot be applied
/// yet, or the node is stopping.
pub async fn accept(
    context: &AnnouncementContext,
    request: Request<Incoming>,
) -> Result<(), AnnouncementError> {
    let path = request.uri().path().to_owned();
    let connection = request.extensions().get::<CallerConnection>().cloned();
    let set_phase = |phase: Phase| connection.iter().for_each(|c| c.set_phase(phase));
    set_phase(Phase::Receiving);
    let body = Limited::new(request.into_body(), MAX_BODY_BYTES).collect();
    let text = match timeout(BODY_TIMEOUT, body).await {
        Ok(Ok(text)) => Ok(text),
        Ok(Err(fault)) if fault.is::<LengthLimitError>() => Err(AnnouncementError::TooLarge),
        Ok(Err(_)) => Err(AnnouncementError::TruncatedBody),
        Err(_) => Err(AnnouncementError::LateBody),
    };
    set_phase(Phase::Processing);
    let accepted = match text {
        Ok(text) => announce(context, &path, &text.to_bytes()).await,
        Err(fault) => Err(fault),
    };
    if let Err(fault) = &accepted {
        log::warn!("event=announcement-rejected path={path} fault={fault}");
        context.mailbox.send(Message::Count(Counter::Fault(Fault::Announcement))).await;
    }
    accepted
}

async fn announce(
    context: &AnnouncementContext,
    path: &str,
    text: &[u8],
) -> Result<(), AnnouncementError> {
    let announcement = context.dialect.parse_announcement(path, text)?;
    let is_local = announcement.phase == AnnouncedPhase::Deregistered
        || context.upstream.is_none_or(|address| address == announcement.address);
    if !is_local {
        return Err(AnnouncementError::WrongAddress(announcement.address));
    }
    let id = announcement.id.clone();
    let (reply, applied) = oneshot::channel();
    let message = GateMessage::Announce(announcement, reply);
    context.mailbox.send(Message::Gate(message)).await;
    let applied = timeout(STORE_TIMEOUT, applied).await;
    let applied = applied.map_err(|_| AnnouncementRefusal::Recovering)?;
    let is_stored = applied.map_err(|_| AnnouncementError::Stopping)??;
    if !matches!(timeout(STORE_TIMEOUT, is_stored).await, Ok(Ok(()))) {
        log::warn!("event=leaving-not-stored upstream={id} after={STORE_TIMEOUT:?}");
    }
    Ok(())
}
