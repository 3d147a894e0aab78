//! An HTTP/1.1 server with one task per connection.

use std::convert::Infallible;
use std::net::SocketAddr;

use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use lavenderflow_core::connections::{self, CLOSE_TIMEOUT, CloseReason};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, MissedTickBehavior, interval_at};

use super::admission::{Admission, CallerConnection, Connections, OpenGuard};
use super::request_head::{self, AmbiguousLength, ProgressRecorder};
use crate::error::NodeError;
use crate::prelude::Duration;

/// Timeout for reading the headers of a request, which includes the idle time before it.
const HEADER_TIMEOUT: Duration = Duration::from_secs(75);
/// Interval at which connections are checked against the limits.
const SWEEP_INTERVAL: Duration = Duration::from_millis(200);
/// The same at the ports that are not for callers.
const PORT_SWEEP_INTERVAL: Duration = Duration::from_secs(1);
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

/// Accepts connections within limits and serves their requests until the server is stopped. Requests
/// carry their [`CallerConnection`] as an extension.
pub fn start<H, F, B>(listener: TcpListener, admission: Admission, handle: H) -> ServerHandle
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = bytes::Bytes, Error: std::error::Error + Send + Sync> + Send + 'static,
{
    let (stop, stopped) = watch::channel(false);
    let (alive, ended) = mpsc::channel(1);
    tokio::spawn(accept(listener, admission, handle, stopped, alive));
    ServerHandle { stop, ended }
}

async fn accept<H, F, B>(
    listener: TcpListener,
    admission: Admission,
    handle: H,
    mut stopped: watch::Receiver<bool>,
    alive: mpsc::Sender<Infallible>,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = bytes::Bytes, Error: std::error::Error + Send + Sync> + Send + 'static,
{
    let mut connections = Connections::new(admission.clone());
    let sweep_interval = if admission.replaces { PORT_SWEEP_INTERVAL } else { SWEEP_INTERVAL };
    let mut sweep = tokio::time::interval(sweep_interval);
    sweep.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let (has_room, is_empty) = (connections.has_room(), connections.is_empty());
        let accepted = tokio::select! {
            accepted = listener.accept(), if has_room => accepted,
            () = connections.remove_ended(), if !is_empty => continue,
            // Without room, memory that others held may have become free.
            _ = sweep.tick(), if !is_empty || !has_room => {
                connections.sweep();
                continue;
            }
            _ = stopped.changed() => return,
        };
        match accepted {
            Ok((stream, source)) => {
                let Some(caller) = connections.open(source.ip()) else { continue };
                let buffer_bytes = admission.buffer_bytes();
                let server = (handle.clone(), stopped.clone(), alive.clone());
                tokio::spawn(serve(stream, buffer_bytes, caller, server));
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
    buffer_bytes: usize,
    (caller, _guard): (CallerConnection, OpenGuard),
    (handle, mut stopped, alive): (H, watch::Receiver<bool>, mpsc::Sender<Infallible>),
) where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = bytes::Bytes, Error: std::error::Error + Send + Sync> + Send + 'static,
{
    let _alive = alive;
    let _ = stream.set_nodelay(true);
    let (stream, heads) = request_head::record(stream, Some(caller.recorder().clone()));
    let service = service_fn(|mut request: Request<Incoming>| {
        if heads.is_ambiguous() {
            request.extensions_mut().insert(AmbiguousLength);
        }
        request.extensions_mut().insert(caller.clone());
        // Boxed, so that a connection without a request does not hold the space for one.
        let response = Box::pin(handle(request));
        async { Ok::<_, Infallible>(response.await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(buffer_bytes)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let mut closed = caller.clone();
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        _ = stopped.changed() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
        reason = closed.closing() => {
            connection.as_mut().graceful_shutdown();
            tokio::select! {
                ended = connection => ended,
                // Dropping the connection closes it.
                () = drop_time(&caller, reason) => Ok(()),
            }
        }
    };
    if let Err(fault) = ended {
        log::debug!("event=connection-failed fault={fault:?}");
    }
}

/// Completes when a connection that is being closed must be dropped.
async fn drop_time(caller: &CallerConnection, reason: CloseReason) {
    let ProgressRecorder { progress, clock } = caller.recorder();
    let delay = if caller.is_replaceable() { Duration::ZERO } else { CLOSE_TIMEOUT };
    let mut review = interval_at(Instant::now() + delay, SWEEP_INTERVAL);
    review.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        review.tick().await;
        if caller.is_replaceable() && progress.idle_time(clock.now()).is_some() {
            return;
        }
        if connections::must_drop(reason, progress, clock.now()) {
            return;
        }
    }
}
