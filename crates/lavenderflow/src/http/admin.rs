//! The HTTP API for operators and for announcements of the upstreams on the same VM.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use tokio::net::TcpListener;
use tokio::sync::oneshot;

use super::admission::Admission;
use super::announcements::{self, AnnouncementError};
use super::native::NativeDialect;
use super::port;
use super::server::ServerHandle;
use crate::message::FleetMessage;
use crate::prelude::*;
use crate::status::Status;

/// An error of the admin API.
#[derive(Debug, thiserror::Error)]
enum AdminError {
    #[error("there is nothing at this path")]
    NotFound,
    #[error(transparent)]
    Announcement(#[from] AnnouncementError),
    #[error("the node is stopping")]
    Stopping,
    #[error("status: {0}")]
    Json(#[from] serde_json::Error),
}

impl AdminError {
    fn status(&self) -> StatusCode {
        match self {
            Self::NotFound => StatusCode::NOT_FOUND,
            Self::Announcement(fault) => fault.status(),
            Self::Stopping | Self::Json(_) => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// Serves operators and upstreams on a bound address.
pub fn start(listener: TcpListener, admission: Admission) -> ServerHandle {
    let mailbox = admission.mailbox.clone();
    port::start(listener, admission, move |request| serve(mailbox.clone(), request))
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
        (&Method::POST, "/v1/upstreams") => {
            let mailbox = mailbox.clone();
            let dialect = Arc::new(NativeDialect);
            let context = announcements::AnnouncementContext { mailbox, dialect, upstream: None };
            announcements::accept(&context, request).await?;
            Ok(String::new())
        }
        (&Method::GET, "/metrics") => metrics(mailbox).await,
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

async fn metrics(mailbox: &Mailbox) -> Result<String, AdminError> {
    let (reply, page) = oneshot::channel();
    mailbox.send(Message::Metrics(reply)).await;
    page.await.map_err(|_| AdminError::Stopping)
}

/// Returns the active documents as one JSON object with their texts by key.
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
