//! Answers the platform's question whether the node takes new requests.

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use tokio::net::TcpListener;
use tokio::sync::watch;

use super::server::{self, Stopper};

/// Serves the question on a bound address, whatever its path.
pub fn start(listener: TcpListener, is_ready: watch::Receiver<bool>) -> Stopper {
    server::start(listener, move |request| answer(request, is_ready.clone()))
}

async fn answer(_: Request<Incoming>, is_ready: watch::Receiver<bool>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::new()));
    if !*is_ready.borrow() {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}
