//! Pool of idle connections to upstreams.

use std::hash::BuildHasher;
use std::io;
use std::net::SocketAddr;

use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use lavenderflow_core::memory::Budget;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout_at};

use super::body::CallBody;
use super::read_limit::{self, Progress};
use super::request_state::RequestState;
use super::{Call, CallFailure};
use crate::http::header;
use crate::prelude::{Duration, IndexMap, IndexSet};

/// Size limit of the buffer per connection and direction, in bytes. It bounds the head of a
/// response and the parts of its body, several of which wait in the channels to the caller. The
/// default of the HTTP library of 417 KB made a large response to a slow reader take 3 to 4 MB.
pub(super) const MAX_BUFFER_BYTES: usize = 64 * 1024;
/// Longest time to open a connection to an upstream, which is on the same VM.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum idle connections per upstream.
const MAX_IDLE_CONNECTIONS: usize = 16;
/// Most requests that a connection carries, so that what it records about them is bounded.
const MAX_REQUESTS: usize = 1024;
/// Idle time of a connection when the upstream does not announce one.
const DEFAULT_IDLE_TIME: Duration = Duration::from_secs(5);
/// Longest idle time of a connection, whatever the upstream announces.
const MAX_IDLE_TIME: Duration = Duration::from_secs(3600);
/// Time before the announced end of a connection from which it is no longer used, so that a request
/// does not race with the upstream's close.
const IDLE_MARGIN: Duration = Duration::from_millis(1500);
/// Longest idle time after which a connection still carries a non-idempotent request: an upstream
/// may drop an idle connection silently, and such a request would be lost with it.
const MAX_NON_IDEMPOTENT_IDLE: Duration = Duration::from_secs(2);

/// A connection, held by one call or idle in the pool.
#[derive(Debug)]
pub(super) struct PooledConnection {
    address: SocketAddr,
    port: u16,
    sender: SendRequest<CallBody>,
    driver: AbortHandle,
    progress: Progress,
    state: RequestState,
    /// How long the connection may stay idle; zero when it must not be reused.
    pub(super) idle_time: Duration,
    idle_since: Instant,
    is_reused: bool,
    /// Hashes of the ids of the requests that the connection has carried.
    carried: IndexSet<u64>,
}

impl Drop for PooledConnection {
    /// Closes the connection, so that the upstream can cancel its request.
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl PooledConnection {
    /// Sends a request and waits for the response headers.
    pub(super) async fn send(
        &mut self,
        id: &str,
        mut request: Request<CallBody>,
    ) -> Result<Response<Incoming>, TrySendError<Request<CallBody>>> {
        self.carried.insert(self.hash(id));
        self.state.begin();
        request.body_mut().track(self.state.clone());
        self.progress.record();
        let response = self.sender.try_send_request(request).await;
        self.progress.record();
        response
    }

    /// Returns whether the connection has carried an earlier request.
    pub(super) fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// Returns whether the connection may have carried a request with this id. It must not carry
    /// another one: the upstream may repeat its response to the first, at any later time, and the id
    /// could not tell the two apart.
    fn has_carried(&self, id: &str) -> bool {
        self.carried.contains(&self.hash(id))
    }

    fn hash(&self, id: &str) -> u64 {
        self.carried.hasher().hash_one(id)
    }

    /// Returns the local port, which identifies the connection in logs.
    pub(super) fn port(&self) -> u16 {
        self.port
    }

    /// Returns whether the whole request has been written.
    pub(super) fn is_written(&self) -> bool {
        self.state.is_written()
    }

    /// Waits until the connection can carry another request.
    ///
    /// # Errors
    ///
    /// The connection was closed.
    pub(super) async fn wait_idle(&mut self) -> hyper::Result<()> {
        self.sender.ready().await
    }

    /// Records that a part of the response body has arrived.
    pub(super) fn record_progress(&self) {
        self.progress.record();
    }
}

/// Opens a connection to an upstream; it reads less at a time while `budget` has no room.
pub(super) async fn connect(
    address: SocketAddr,
    budget: &Budget,
    deadline: Instant,
) -> Result<PooledConnection, CallFailure> {
    let deadline = deadline.min(Instant::now() + CONNECT_TIMEOUT);
    let opened = timeout_at(deadline, TcpStream::connect(address)).await;
    let stream = opened.map_err(|_| CallFailure::ConnectTimeout)?.map_err(CallFailure::Connect)?;
    stream.set_nodelay(true).map_err(CallFailure::Connect)?;
    let port = stream.local_addr().map_err(CallFailure::Connect)?.port();
    let state = RequestState::idle();
    let (stream, progress) = read_limit::limit(stream, budget.clone(), state.clone());
    let (sender, http_connection) = http1::Builder::new()
        .max_buf_size(MAX_BUFFER_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|fault| CallFailure::Connect(io::Error::other(fault)))?;
    let driver = tokio::spawn(async move {
        if let Err(fault) = http_connection.await {
            log::debug!("event=upstream-connection-failed address={address} fault={fault:?}");
        }
    });
    let (idle_time, idle_since) = (Duration::ZERO, Instant::now());
    let driver = driver.abort_handle();
    Ok(PooledConnection {
        address,
        port,
        sender,
        driver,
        progress,
        state,
        idle_time,
        idle_since,
        is_reused: false,
        carried: IndexSet::new(),
    })
}

/// Returns how long the upstream keeps a connection after a response with these headers.
pub(super) fn idle_time(headers: &[(String, String)]) -> Duration {
    let closes = header::find_header(headers, "connection")
        .is_some_and(|value| value.to_ascii_lowercase().contains("close"));
    if closes {
        return Duration::ZERO;
    }
    let seconds = header::find_header(headers, "keep-alive").and_then(|value| {
        let mut parts = value.split(',').filter_map(|part| part.trim().split_once('='));
        parts.find(|(name, _)| name.eq_ignore_ascii_case("timeout"))?.1.parse().ok()
    });
    seconds.map_or(DEFAULT_IDLE_TIME, Duration::from_secs).min(MAX_IDLE_TIME)
}

/// Idle connections by address, the most recently used last.
#[derive(Debug, Default)]
pub(super) struct ConnectionPool {
    idle: IndexMap<SocketAddr, Vec<PooledConnection>>,
}

impl ConnectionPool {
    /// Takes the most recently used connection that may carry a call.
    pub(super) fn take(&mut self, call: &Call) -> Option<PooledConnection> {
        let now = Instant::now();
        self.expire(now);
        let idle = self.idle.get_mut(&call.address)?;
        let may_carry = |connection: &PooledConnection| {
            let is_recent = now < connection.idle_since + MAX_NON_IDEMPOTENT_IDLE;
            (call.idempotent || is_recent) && !connection.has_carried(&call.id)
        };
        let place = idle.iter().rposition(may_carry)?;
        Some(idle.remove(place))
    }

    /// Adds a connection after its response has ended.
    pub(super) fn put(&mut self, mut connection: PooledConnection) {
        let now = Instant::now();
        self.expire(now);
        connection.idle_since = now;
        connection.is_reused = true;
        let idle = self.idle.entry(connection.address).or_default();
        if idle.len() < MAX_IDLE_CONNECTIONS && is_usable(&connection, now) {
            idle.push(connection);
        }
    }

    fn expire(&mut self, now: Instant) {
        for idle in self.idle.values_mut() {
            idle.retain(|connection| is_usable(connection, now));
        }
        self.idle.retain(|_, idle| !idle.is_empty());
    }
}

fn is_usable(connection: &PooledConnection, now: Instant) -> bool {
    let expires_at = connection.idle_since + connection.idle_time.saturating_sub(IDLE_MARGIN);
    let has_requests = connection.carried.len() < MAX_REQUESTS;
    now < expires_at && has_requests && !connection.sender.is_closed()
}
