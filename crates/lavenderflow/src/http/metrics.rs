//! The HTTP server for the metrics page.

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use tokio::net::TcpListener;
use tokio::sync::oneshot;

use super::admission::Admission;
use super::port;
use super::server::ServerHandle;
use crate::prelude::*;

/// Serves the metrics page at every path of a bound address.
pub fn start(listener: TcpListener, admission: Admission) -> ServerHandle {
    let mailbox = admission.mailbox.clone();
    port::start(listener, admission, move |request| serve(request, mailbox.clone()))
}

async fn serve(_: Request<Incoming>, mailbox: Mailbox) -> Response<Full<Bytes>> {
    let (reply, page) = oneshot::channel();
    mailbox.send(Message::Metrics(reply)).await;
    let page = page.await;
    let is_stopping = page.is_err();
    let mut response = Response::new(Full::new(Bytes::from(page.unwrap_or_default())));
    if is_stopping {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}
