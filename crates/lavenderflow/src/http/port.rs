//! Servers at the ports that are not for callers: operators, announcements, readiness and metrics.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::{Request, Response};
use lavenderflow_core::progress::Phase;
use tokio::net::TcpListener;

use super::admission::{Admission, CallerConnection};
use super::server::{self, ServerHandle};

/// Serves requests on a bound address within the limits of a port.
pub fn start<H, F>(listener: TcpListener, admission: Admission, handle: H) -> ServerHandle
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    server::start(listener, admission, move |request: Request<Incoming>| {
        let connection = request.extensions().get::<CallerConnection>().cloned();
        if let Some(connection) = &connection {
            connection.begin_request();
        }
        let response = handle(request);
        async move {
            let response = response.await;
            if let Some(connection) = &connection {
                connection.set_phase(Phase::Responding);
            }
            response.map(|body| PortBody { body, connection })
        }
    })
}

/// The body of a response, which records its end on the connection.
struct PortBody {
    body: Full<Bytes>,
    connection: Option<CallerConnection>,
}

impl Drop for PortBody {
    fn drop(&mut self) {
        if let Some(connection) = &self.connection {
            connection.finish_response();
        }
    }
}

impl Body for PortBody {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
