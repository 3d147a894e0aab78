//! Serves operators, and the announcements of upstreams on the same VM.

use std::io::{self, Read};
use std::net::SocketAddr;
use std::thread;

use lavenderflow_schema::convert::ConvertError;
use lavenderflow_schema::convert::configuration;
use tiny_http::{Method, Request, Response, Server};
use tokio::sync::oneshot;

use crate::error::NodeError;
use crate::message::{FleetMessage, GateMessage};
use crate::prelude::*;
use crate::status::Status;

/// Largest announcement, in bytes.
const MAX_BODY: u64 = 64 * 1024;

/// Why a request is refused.
#[derive(Debug, thiserror::Error)]
enum AdminError {
    #[error("there is nothing at this path")]
    NotFound,
    #[error("body: {0}")]
    Body(#[from] io::Error),
    #[error(transparent)]
    Announcement(#[from] ConvertError),
    #[error("the node is stopping")]
    Stopping,
    #[error("status: {0}")]
    Json(#[from] serde_json::Error),
}

impl AdminError {
    fn status(&self) -> u16 {
        match self {
            Self::NotFound => 404,
            Self::Body(_) | Self::Announcement(_) => 400,
            Self::Stopping | Self::Json(_) => 503,
        }
    }
}

/// Binds the address and serves it on a thread of its own.
///
/// # Errors
///
/// The address cannot be bound or the thread cannot be started.
pub fn start(address: SocketAddr, mailbox: Mailbox) -> Result<(), NodeError> {
    let server = Server::http(address)
        .map_err(|fault| NodeError::Listen { address, fault: fault.to_string() })?;
    let serve = move || {
        while let Ok(mut request) = server.recv() {
            let (status, text) = match handle(&mailbox, &mut request) {
                Ok(text) => (200, text),
                Err(fault) => (fault.status(), format!("{fault}\n")),
            };
            let _ = request.respond(Response::from_string(text).with_status_code(status));
        }
    };
    thread::Builder::new().name("admin".to_owned()).spawn(serve).map_err(NodeError::Thread)?;
    Ok(())
}

fn handle(mailbox: &Mailbox, request: &mut Request) -> Result<String, AdminError> {
    match (request.method(), request.url()) {
        (Method::Get, "/v1/status") => Ok(serde_json::to_string(&status(mailbox)?)?),
        (Method::Get, "/v1/documents") => documents(mailbox),
        (Method::Post, "/v1/upstreams") => announce(mailbox, request),
        (Method::Post, "/v1/drain") => {
            mailbox.send_blocking(Message::Drain);
            Ok("draining\n".to_owned())
        }
        _ => Err(AdminError::NotFound),
    }
}

fn status(mailbox: &Mailbox) -> Result<Status, AdminError> {
    let (reply, status) = oneshot::channel();
    mailbox.send_blocking(Message::Status(reply));
    status.blocking_recv().map_err(|_| AdminError::Stopping)
}

/// Returns the texts in force by key, one JSON object.
fn documents(mailbox: &Mailbox) -> Result<String, AdminError> {
    let (reply, documents) = oneshot::channel();
    mailbox.send_blocking(Message::Fleet(FleetMessage::Documents(reply)));
    let documents = documents.blocking_recv().map_err(|_| AdminError::Stopping)?;
    let texts: IndexMap<String, serde_json::Value> = documents
        .iter()
        .filter_map(|d| Some((d.key.to_string(), serde_json::from_slice(&d.text).ok()?)))
        .collect();
    Ok(serde_json::to_string(&texts)?)
}

fn announce(mailbox: &Mailbox, request: &mut Request) -> Result<String, AdminError> {
    let mut text = Vec::new();
    request.as_reader().take(MAX_BODY).read_to_end(&mut text)?;
    let announcement = configuration::announcement(&text).inspect_err(|fault| {
        log::warn!("event=announcement-rejected fault={fault:?}");
        mailbox.send_blocking(Message::Count(Counter::Fault(Fault::Announcement)));
    })?;
    mailbox.send_blocking(Message::Gate(GateMessage::Announce(announcement)));
    Ok(String::new())
}
