//! Serves operators, and the announcements of upstreams on the same VM.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use lavenderflow_schema::convert::ConvertError;
use lavenderflow_schema::convert::configuration;
use tokio::net::TcpListener;
use tokio::sync::oneshot;

use super::server::{self, Stopper};
use crate::message::{FleetMessage, GateMessage};
use crate::prelude::*;
use crate::status::Status;

/// Largest announcement, in bytes.
const MAX_BODY: usize = 64 * 1024;

/// Why a request is refused.
#[derive(Debug, thiserror::Error)]
enum AdminError {
    #[error("there is nothing at this path")]
    NotFound,
    #[error("the body is larger than {MAX_BODY} bytes")]
    TooLarge,
    #[error("the body broke off")]
    Body,
    #[error(transparent)]
    Announcement(#[from] ConvertError),
    #[error("the node is stopping")]
    Stopping,
    #[error("status: {0}")]
    Json(#[from] serde_json::Error),
}

impl AdminError {
    fn status(&self) -> StatusCode {
        match self {
            Self::NotFound => StatusCode::NOT_FOUND,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Body | Self::Announcement(_) => StatusCode::BAD_REQUEST,
            Self::Stopping | Self::Json(_) => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// Serves operators and upstreams on a bound address.
pub fn start(listener: TcpListener, mailbox: Mailbox) -> Stopper {
    server::start(listener, move |request| serve(mailbox.clone(), request))
}

async fn serve(mailbox: Mailbox, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let (status, text) = match handle(&mailbox, request).await {
        Ok(text) => (StatusCode::OK, text),
        Err(fault) => (fault.status(), format!("{fault}\n")),
    };
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    response
}

async fn handle(mailbox: &Mailbox, request: Request<Incoming>) -> Result<String, AdminError> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/v1/status") => Ok(serde_json::to_string(&status(mailbox).await?)?),
        (&Method::GET, "/v1/documents") => documents(mailbox).await,
        (&Method::POST, "/v1/upstreams") => announce(mailbox, request).await,
        (&Method::POST, "/v1/drain") => {
            mailbox.send(Message::Drain).await;
            Ok("draining\n".to_owned())
        }
        _ => Err(AdminError::NotFound),
    }
}

async fn status(mailbox: &Mailbox) -> Result<Status, AdminError> {
    let (reply, status) = oneshot::channel();
    mailbox.send(Message::Status(reply)).await;
    status.await.map_err(|_| AdminError::Stopping)
}

/// Returns the texts in force by key, one JSON object.
async fn documents(mailbox: &Mailbox) -> Result<String, AdminError> {
    let (reply, documents) = oneshot::channel();
    mailbox.send(Message::Fleet(FleetMessage::Documents(reply))).await;
    let documents = documents.await.map_err(|_| AdminError::Stopping)?;
    let texts: IndexMap<String, serde_json::Value> = documents
        .iter()
        .filter_map(|d| Some((d.key.to_string(), serde_json::from_slice(&d.text).ok()?)))
        .collect();
    Ok(serde_json::to_string(&texts)?)
}

async fn announce(mailbox: &Mailbox, request: Request<Incoming>) -> Result<String, AdminError> {
    let body = Limited::new(request.into_body(), MAX_BODY).collect().await;
    let text = body.map_err(|fault| {
        if fault.is::<LengthLimitError>() { AdminError::TooLarge } else { AdminError::Body }
    });
    let announced = match text {
        Ok(text) => configuration::announcement(&text.to_bytes()).map_err(AdminError::from),
        Err(fault) => Err(fault),
    };
    match announced {
        Ok(announcement) => {
            mailbox.send(Message::Gate(GateMessage::Announce(announcement))).await;
            Ok(String::new())
        }
        Err(fault) => {
            log::warn!("event=announcement-rejected fault={fault:?}");
            mailbox.send(Message::Count(Counter::Fault(Fault::Announcement))).await;
            Err(fault)
        }
    }
}
