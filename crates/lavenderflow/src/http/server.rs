//! An HTTP/1.1 server with one task per connection.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};

use super::request_head::{self, AmbiguousLength};
use crate::error::NodeError;
use crate::prelude::*;

/// Timeout for reading the headers of a request, which includes the idle time before it.
const HEADER_TIMEOUT: Duration = Duration::from_secs(75);
/// Size limit of the buffer per connection and direction, in bytes.
pub const MAX_BUFFER_BYTES: usize = 64 * 1024;
/// Delay after a failed accept before the next one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Stops a server.
#[derive(Debug)]
pub struct ServerHandle {
    stop: watch::Sender<bool>,
    ended: mpsc::Receiver<Infallible>,
}

impl ServerHandle {
    /// Closes each connection after its current response, and waits up to `timeout` for all of them
    /// to end.
    pub async fn stop(mut self, timeout: Duration) {
        self.stop.send_replace(true);
        // Each connection holds a sender, so the receiver ends with the last connection.
        let _ = tokio::time::timeout(timeout, self.ended.recv()).await;
    }
}

/// Binds an address.
///
/// # Errors
///
/// The address cannot be bound.
pub async fn bind(address: SocketAddr) -> Result<TcpListener, NodeError> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|fault| NodeError::Listen { address, fault: fault.to_string() })
}

/// Accepts connections and serves their requests until the server is stopped.
pub fn start<H, F, B>(listener: TcpListener, handle: H) -> ServerHandle
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = bytes::Bytes, Error: std::error::Error + Send + Sync> + Send + 'static,
{
    let (stop, stopped) = watch::channel(false);
    let (alive, ended) = mpsc::channel(1);
    tokio::spawn(accept(listener, handle, stopped, alive));
    ServerHandle { stop, ended }
}

async fn accept<H, F, B>(
    listener: TcpListener,
    handle: H,
    mut stopped: watch::Receiver<bool>,
    alive: mpsc::Sender<Infallible>,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = bytes::Bytes, Error: std::error::Error + Send + Sync> + Send + 'static,
{
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.changed() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::spawn(serve(stream, handle.clone(), stopped.clone(), alive.clone()));
            }
            Err(fault) => {
                log::warn!("event=accept-failed fault={fault:?}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve<H, F, B>(
    stream: TcpStream,
    handle: H,
    mut stopped: watch::Receiver<bool>,
    alive: mpsc::Sender<Infallible>,
) where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = bytes::Bytes, Error: std::error::Error + Send + Sync> + Send + 'static,
{
    let _alive = alive;
    let _ = stream.set_nodelay(true);
    let (stream, heads) = request_head::record(stream);
    // `hyper` takes the service by shared reference, but calls it for one request at a time.
    let heads = Mutex::new(heads);
    let service = service_fn(|mut request: Request<Incoming>| {
        if heads.lock().unwrap_or_else(PoisonError::into_inner).is_ambiguous() {
            request.extensions_mut().insert(AmbiguousLength);
        }
        let response = handle(request);
        async { Ok::<_, Infallible>(response.await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(MAX_BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        _ = stopped.changed() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(fault) = ended {
        log::debug!("event=connection-failed fault={fault:?}");
    }
}
