//! Calls upstreams over HTTP/1.1.
//!
//! One task owns the idle connections. Each call is a task of its own that holds one connection
//! until the response has ended. A connection that received anything unexpected is closed.

pub mod body;
mod pool;
mod read_limit;
mod request_state;
mod response;

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Request, Response};
use lavenderflow_core::gate::{RunResult, UpstreamSignals};
use lavenderflow_core::memory::Budget;
use lavenderflow_schema::dialect::{Dialect, Headers, ResponseClass, UpstreamCall};
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};

use self::body::CallBody;
use self::pool::{ConnectionPool, PooledConnection, connect};
pub use self::response::ResponsePart;
use self::response::{drain, relay, send};
use crate::http::header;
use crate::net::body::BodyPart;
use crate::prelude::{Duration, Reason, SharedClock};
use crate::work::WorkTracker;

/// Calls that the channel to the task buffers.
const CALL_CAPACITY: usize = 256;
/// Extra time after the deadline for the upstream's own response that the deadline has passed.
const RESPONSE_MARGIN: Duration = Duration::from_millis(30);

/// Longest wait for the rest of a refusal, after which its connection is closed.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(50);

/// Part of what runs may hold that the parts of their responses may take.
const PARTS_DIVISOR: u64 = 2;

/// A call to an upstream.
#[derive(Debug)]
pub struct Call {
    /// HTTP address of the upstream.
    pub address: SocketAddr,
    /// Id of the upstream.
    pub upstream: Arc<str>,
    /// Id of the request.
    pub id: String,
    /// Organisation that the request belongs to.
    pub organisation: Option<String>,
    /// Time by which the call must have ended.
    pub deadline: std::time::Instant,
    /// Whether the request is idempotent.
    pub idempotent: bool,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Request headers.
    pub headers: Headers,
    /// The complete body, or its first part.
    pub body: Bytes,
    /// The rest of the body.
    pub body_rest: Option<mpsc::Receiver<BodyPart>>,
    /// Declared length of the body in bytes.
    pub body_length: Option<u64>,
    /// Receives the events of the call. Dropping the receiver cancels the call.
    pub events: mpsc::Sender<CallEvent>,
}

/// An event of a call.
#[derive(Debug)]
pub enum CallEvent {
    /// The status and the headers of the response.
    Head {
        /// HTTP status.
        status: u16,
        /// Response headers.
        headers: Headers,
        /// What the response says about the upstream.
        signals: UpstreamSignals,
    },
    /// The upstream refused the request, and this is what the refusal says about the upstream.
    Signals(UpstreamSignals),
    /// A part of the response body.
    Data(ResponsePart),
    /// The response is complete.
    End,
    /// The call failed; the request did not run when `not_run` gives a reason.
    Failed {
        /// The result of the run, for the gate.
        result: RunResult,
        /// Reason for which the request certainly did not run.
        not_run: Option<Reason>,
    },
}

/// Sends calls to the task that makes them.
pub type CallSender = mpsc::Sender<Call>;

/// Starts the task that makes calls; it ends when the last sender is dropped. `budget` is what runs
/// may hold. Requests that are still being written after their responses count as `work`.
pub fn start(
    clock: SharedClock,
    dialect: Arc<dyn Dialect>,
    budget: &Budget,
    work: WorkTracker,
) -> CallSender {
    let budget = budget.source(Some(budget.limit() / PARTS_DIVISOR));
    let (calls, mut call_receiver) = mpsc::channel::<Call>(CALL_CAPACITY);
    let (idle_sender, mut idle_receiver) = mpsc::channel::<PooledConnection>(CALL_CAPACITY);
    tokio::spawn(async move {
        let mut pool = ConnectionPool::default();
        loop {
            tokio::select! {
                call = call_receiver.recv() => {
                    let Some(call) = call else { return };
                    let pooled = pool.take(&call);
                    let clock = Arc::clone(&clock);
                    let task = CallTask {
                        clock,
                        dialect: Arc::clone(&dialect),
                        budget: budget.clone(),
                        work: work.clone(),
                        idle_sender: idle_sender.clone(),
                    };
                    tokio::spawn(task.run(call, pooled));
                }
                Some(connection) = idle_receiver.recv() => pool.put(connection),
            }
        }
    });
    calls
}

/// Returns the time by which a call with this deadline must have its whole response.
pub fn response_deadline(clock: &SharedClock, deadline: std::time::Instant) -> Instant {
    Instant::now() + deadline.saturating_duration_since(clock.now()) + RESPONSE_MARGIN
}

/// Why a call has no complete response.
#[derive(Debug, thiserror::Error)]
enum CallFailure {
    #[error("the deadline had passed before the call")]
    Late,
    #[error("the upstream refused the request: {0:?}")]
    Refused(Reason),
    #[error("the request body was truncated")]
    Body,
    #[error("the receiver of the response was dropped")]
    Unwanted,
    #[error("cannot connect to the upstream: {0}")]
    Connect(std::io::Error),
    #[error("cannot connect to the upstream in time")]
    ConnectTimeout,
    #[error("the connection was closed before the request was sent")]
    Unsent,
    #[error("the upstream did not respond in time")]
    Timeout,
    #[error("the response was not read in time")]
    Unread,
    #[error("the response does not belong to the request")]
    Foreign,
    #[error("malformed request: {0}")]
    Request(#[from] hyper::http::Error),
    #[error("the HTTP exchange failed: {0}")]
    Exchange(#[from] hyper::Error),
}

impl CallFailure {
    fn classify(&self) -> (RunResult, Option<Reason>) {
        match self {
            Self::Late => (RunResult::Cancelled, Some(Reason::DeadlinePast)),
            Self::Refused(reason) => (RunResult::Shed, Some(*reason)),
            Self::Request(_) => (RunResult::Cancelled, Some(Reason::BadRequest)),
            Self::Body | Self::Unwanted | Self::Unread => (RunResult::Cancelled, None),
            // This VM is out of ports or file descriptors, which says nothing about the upstream.
            Self::Connect(fault) if is_local_error(fault) => {
                (RunResult::Cancelled, Some(Reason::ConnectFailed))
            }
            Self::Connect(_) | Self::ConnectTimeout | Self::Unsent => {
                (RunResult::ConnectFailed, Some(Reason::ConnectFailed))
            }
            Self::Timeout => (RunResult::TimedOut, None),
            Self::Foreign | Self::Exchange(_) => (RunResult::Broken, None),
        }
    }
}

fn is_local_error(fault: &std::io::Error) -> bool {
    /// Too many open files, on Linux.
    const EMFILE: i32 = 24;
    fault.kind() == std::io::ErrorKind::AddrNotAvailable || fault.raw_os_error() == Some(EMFILE)
}

struct CallTask {
    clock: SharedClock,
    dialect: Arc<dyn Dialect>,
    budget: Budget,
    work: WorkTracker,
    idle_sender: mpsc::Sender<PooledConnection>,
}

impl CallTask {
    /// Makes a call and sends its events.
    async fn run(self, mut call: Call, pooled: Option<PooledConnection>) {
        let (body, truncation) =
            CallBody::new(std::mem::take(&mut call.body), call.body_rest.take(), call.body_length);
        let events = call.events.clone();
        let result = tokio::select! {
            result = self.exchange(&call, body, pooled) => result,
            () = events.closed() => Err(CallFailure::Unwanted),
        };
        let Err(failure) = result else { return };
        let failure = if truncation.is_set() { CallFailure::Body } else { failure };
        let (result, not_run) = failure.classify();
        log::info!(
            "event=call-failed request={} upstream={} result={result:?} not_run={} fault={failure:?}",
            call.id,
            call.upstream,
            not_run.map_or("unknown", Reason::name)
        );
        // The receiver is gone if the call was cancelled.
        let _ = events.send(CallEvent::Failed { result, not_run }).await;
    }

    async fn exchange(
        &self,
        call: &Call,
        body: CallBody,
        pooled: Option<PooledConnection>,
    ) -> Result<(), CallFailure> {
        // The deadline may pass here if the process was suspended after the admission.
        let remaining = call.deadline.saturating_duration_since(self.clock.now());
        if remaining.is_zero() {
            return Err(CallFailure::Late);
        }
        let deadline = response_deadline(&self.clock, call.deadline);
        let request = self.request(call, body, remaining)?;
        let (mut connection, response) = self.send(call, request, pooled, deadline).await?;
        let (parts, incoming) = response.into_parts();
        let (status, headers) = (parts.status.as_u16(), header::text_headers(&parts.headers));
        let mut class = self.dialect.classify_response(&call.id, status, &headers);
        if connection.is_reused() {
            class = class.on_reused_connection();
        }
        if !matches!(class, ResponseClass::Answer { .. }) {
            log::info!(
                "event=response-rejected request={} upstream={} port={} reused={} status={status} \
                 class={class:?}",
                call.id,
                call.upstream,
                connection.port(),
                connection.is_reused()
            );
        }
        match class {
            ResponseClass::Answer { .. } => {}
            ResponseClass::NotRun { reason, .. } => {
                // Another refusal may come from another upstream at the same address.
                if reason == Reason::Shed {
                    send(call, CallEvent::Signals(self.dialect.parse_signals(&headers))).await?;
                }
                // The connection can be reused when the refusal was read completely.
                if drain(incoming, deadline.min(Instant::now() + REFUSAL_TIMEOUT)).await {
                    connection.idle_time = pool::idle_time(&headers);
                    self.release(call, connection, deadline).await;
                }
                return Err(CallFailure::Refused(reason));
            }
            ResponseClass::Foreign => return Err(CallFailure::Foreign),
        }
        let idle_time = pool::idle_time(&headers);
        let signals = self.dialect.parse_signals(&headers);
        send(call, CallEvent::Head { status, headers, signals }).await?;
        relay(call, incoming, &connection, &self.budget, deadline).await?;
        connection.idle_time = idle_time;
        // Return the connection before the end event, so that the next call finds it.
        self.release(call, connection, deadline).await;
        send(call, CallEvent::End).await
    }

    /// Returns a connection to the pool, at once or when the rest of its request has been written.
    async fn release(&self, call: &Call, connection: PooledConnection, deadline: Instant) {
        if connection.is_written() {
            // Sending fails only when the node stops; the connection is closed then.
            let _ = self.idle_sender.send(connection).await;
        } else {
            // The upstream has responded early, and may read on.
            let (id, guard) = (call.id.clone(), self.work.begin());
            let finish = finish_request(id, connection, self.idle_sender.clone(), deadline);
            tokio::spawn(async move {
                finish.await;
                drop(guard);
            });
        }
    }

    /// Sends the request. Falls back to a new connection if the pooled one turns out to be closed
    /// before anything was sent.
    async fn send(
        &self,
        call: &Call,
        mut request: Request<CallBody>,
        pooled: Option<PooledConnection>,
        deadline: Instant,
    ) -> Result<(PooledConnection, Response<Incoming>), CallFailure> {
        if let Some(mut connection) = pooled {
            match timeout_at(deadline, connection.send(&call.id, request)).await {
                Err(_) => return Err(CallFailure::Timeout),
                Ok(Ok(response)) => return Ok((connection, response)),
                Ok(Err(mut fault)) => match fault.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(fault.into_error().into()),
                },
            }
        }
        let mut connection = connect(call.address, &self.budget, deadline).await?;
        match timeout_at(deadline, connection.send(&call.id, request)).await {
            Err(_) => Err(CallFailure::Timeout),
            Ok(Ok(response)) => Ok((connection, response)),
            // The HTTP library returns a request of which it has written nothing.
            Ok(Err(mut fault)) => match fault.take_message() {
                Some(_) => Err(CallFailure::Unsent),
                None => Err(fault.into_error().into()),
            },
        }
    }

    fn request(
        &self,
        call: &Call,
        body: CallBody,
        remaining: Duration,
    ) -> Result<Request<CallBody>, CallFailure> {
        let mut headers = call.headers.clone();
        headers.retain(|(name, _)| !header::is_hop_by_hop(name));
        let upstream_call = UpstreamCall {
            upstream: &call.upstream,
            remaining,
            organisation: call.organisation.as_deref(),
        };
        self.dialect.set_upstream_headers(&mut headers, &upstream_call);
        let mut builder = Request::builder().method(call.method.as_str()).uri(call.target.as_str());
        if header::find_header(&headers, "host").is_none() {
            builder = builder.header("host", call.address.to_string());
        }
        for (name, value) in &headers {
            builder = builder.header(name, value);
        }
        // An empty body is declared only if the caller declared it, as is usual for some methods.
        if call.body_length == Some(0)
            && header::find_header(&call.headers, "content-length").is_some()
        {
            builder = builder.header("content-length", "0");
        }
        Ok(builder.body(body)?)
    }
}

/// Keeps a connection open until the rest of its request has been written, and returns it to the
/// pool. The connection is closed if the body is truncated, and at the deadline.
async fn finish_request(
    id: String,
    mut connection: PooledConnection,
    idle_sender: mpsc::Sender<PooledConnection>,
    deadline: Instant,
) {
    match timeout_at(deadline, connection.wait_idle()).await {
        Ok(Ok(())) => drop(idle_sender.send(connection).await),
        // The upstream has announced that it closes the connection.
        Ok(Err(_)) if connection.is_written() => {}
        ended => {
            log::info!("event=upload-cut request={id} port={} ended={ended:?}", connection.port());
        }
    }
}
