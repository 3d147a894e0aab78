//! The HTTP server for the platform's readiness check.

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use tokio::net::TcpListener;
use tokio::sync::watch;

use super::admission::Admission;
use super::port;
use super::server::ServerHandle;

/// Serves the readiness check at every path of a bound address: 200 if the node accepts new
/// requests, 503 otherwise.
pub fn start(
    listener: TcpListener,
    admission: Admission,
    is_ready: watch::Receiver<bool>,
) -> ServerHandle {
    port::start(listener, admission, move |request| serve(request, is_ready.clone()))
}

async fn serve(_: Request<Incoming>, is_ready: watch::Receiver<bool>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::new()));
    if !*is_ready.borrow() {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}
