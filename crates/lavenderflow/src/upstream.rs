//! Calls upstreams over HTTP/1.1.
//!
//! One task owns the idle connections. Each call is a task of its own that holds one connection
//! until the answer has ended; a connection on which anything unexpected came is closed.

pub mod body;
mod pool;

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Request, Response};
use lavenderflow_core::gate::RunResult;
use lavenderflow_schema::dialect::{Dialect, Headers, ResponseClass};
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};

use self::body::UpstreamBody;
use self::pool::{Connected, Pool, connect};
use crate::http::header;
use crate::net::body::BodyPart;
use crate::prelude::{Duration, Reason, SharedClock};

/// Calls that can wait for the task.
const CAPACITY: usize = 256;
/// Time after the deadline for the upstream's own answer that it has passed.
const ANSWER_MARGIN: Duration = Duration::from_millis(30);

/// A call to an upstream.
#[derive(Debug)]
pub struct Call {
    /// Where the upstream serves HTTP.
    pub address: SocketAddr,
    /// Id of the upstream.
    pub upstream: Arc<str>,
    /// Id of the request.
    pub id: String,
    /// When the call must have ended.
    pub deadline: std::time::Instant,
    /// Whether it may be repeated.
    pub idempotent: bool,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Header fields.
    pub headers: Headers,
    /// The whole body, or its first part.
    pub body: Bytes,
    /// The rest of the body.
    pub rest: Option<mpsc::Receiver<BodyPart>>,
    /// Declared length of the body.
    pub length: Option<u64>,
    /// Where events go. A receiver that is dropped cancels the call.
    pub events: mpsc::Sender<CallEvent>,
}

/// What happens during a call.
#[derive(Debug)]
pub enum CallEvent {
    /// The head of the answer.
    Head {
        /// HTTP status.
        status: u16,
        /// Header fields.
        headers: Headers,
    },
    /// A part of the body.
    Data(Bytes),
    /// The answer is whole.
    End,
    /// The call failed; nothing was run when `not_run` gives a reason.
    Failed {
        /// What the gate learns from it.
        result: RunResult,
        /// Why the request certainly did not run.
        not_run: Option<Reason>,
    },
}

/// Sends calls to the task that makes them.
pub type Calls = mpsc::Sender<Call>;

/// Starts the task that makes calls; it ends with the last sender.
pub fn start(clock: SharedClock, dialect: Arc<dyn Dialect>) -> Calls {
    let (calls, mut received) = mpsc::channel::<Call>(CAPACITY);
    let (returned, mut idle) = mpsc::channel::<Connected>(CAPACITY);
    tokio::spawn(async move {
        let mut pool = Pool::default();
        loop {
            tokio::select! {
                call = received.recv() => {
                    let Some(call) = call else { return };
                    let kept = pool.take(call.address, call.idempotent);
                    let clock = Arc::clone(&clock);
                    let task = Task { clock, dialect: Arc::clone(&dialect), returned: returned.clone() };
                    tokio::spawn(task.run(call, kept));
                }
                Some(connected) = idle.recv() => pool.put(connected),
            }
        }
    });
    calls
}

/// Why a call has no whole answer.
#[derive(Debug, thiserror::Error)]
enum CallFailure {
    #[error("the deadline had passed before the call")]
    Late,
    #[error("the upstream refused the request: {0:?}")]
    Refused(Reason),
    #[error("the request body broke off")]
    Body,
    #[error("the receiver of the answer is gone")]
    Unwanted,
    #[error("no connection: {0}")]
    Connect(std::io::Error),
    #[error("no connection in time")]
    ConnectTimeout,
    #[error("no answer in time")]
    Timeout,
    #[error("the answer belongs to no request")]
    Foreign,
    #[error("malformed request: {0}")]
    Request(#[from] hyper::http::Error),
    #[error("the exchange failed: {0}")]
    Exchange(#[from] hyper::Error),
}

impl CallFailure {
    fn classify(&self) -> (RunResult, Option<Reason>) {
        match self {
            Self::Late => (RunResult::Cancelled, Some(Reason::DeadlinePast)),
            Self::Refused(reason) => (RunResult::Shed, Some(*reason)),
            Self::Request(_) => (RunResult::Cancelled, Some(Reason::BadRequest)),
            Self::Body | Self::Unwanted => (RunResult::Cancelled, None),
            // This machine has no free port or descriptor: no sign of the upstream's health.
            Self::Connect(fault) if is_own_fault(fault) => {
                (RunResult::Cancelled, Some(Reason::ConnectFailed))
            }
            Self::Connect(_) | Self::ConnectTimeout => {
                (RunResult::ConnectFailed, Some(Reason::ConnectFailed))
            }
            Self::Timeout => (RunResult::TimedOut, None),
            Self::Foreign | Self::Exchange(_) => (RunResult::Broken, None),
        }
    }
}

fn is_own_fault(fault: &std::io::Error) -> bool {
    /// Linux: too many open files.
    const EMFILE: i32 = 24;
    fault.kind() == std::io::ErrorKind::AddrNotAvailable || fault.raw_os_error() == Some(EMFILE)
}

struct Task {
    clock: SharedClock,
    dialect: Arc<dyn Dialect>,
    returned: mpsc::Sender<Connected>,
}

impl Task {
    /// Makes a call and reports it to the call's events.
    async fn run(self, mut call: Call, kept: Option<Connected>) {
        let (body, broken) =
            UpstreamBody::new(std::mem::take(&mut call.body), call.rest.take(), call.length);
        let events = call.events.clone();
        let ended = tokio::select! {
            ended = self.exchange(&call, body, kept) => ended,
            () = events.closed() => Err(CallFailure::Unwanted),
        };
        let Err(failure) = ended else { return };
        let failure = if broken.is_set() { CallFailure::Body } else { failure };
        let (result, not_run) = failure.classify();
        log::info!(
            "event=call-failed request={} upstream={} result={result:?} not_run={} fault={failure:?}",
            call.id,
            call.upstream,
            not_run.map_or("unknown", Reason::name)
        );
        // The receiver may be gone, which is why the call was given up.
        let _ = events.send(CallEvent::Failed { result, not_run }).await;
    }

    async fn exchange(
        &self,
        call: &Call,
        body: UpstreamBody,
        kept: Option<Connected>,
    ) -> Result<(), CallFailure> {
        // A process that was frozen since the admission finds the deadline past here.
        let remaining = call.deadline.saturating_duration_since(self.clock.now());
        if remaining.is_zero() {
            return Err(CallFailure::Late);
        }
        let limit = Instant::now() + remaining + ANSWER_MARGIN;
        let request = self.request(call, body, remaining)?;
        let (mut connected, response) = self.send(call, request, kept, limit).await?;
        let (parts, incoming) = response.into_parts();
        let (status, headers) = (parts.status.as_u16(), header::text_headers(&parts.headers));
        match self.dialect.classify_response(&call.id, status, &headers) {
            ResponseClass::Answer => {}
            ResponseClass::NotRun(reason) => {
                // The connection stays useful when the refusal is whole.
                if drain(incoming, limit).await {
                    self.keep(connected, &headers).await;
                }
                return Err(CallFailure::Refused(reason));
            }
            ResponseClass::Foreign => return Err(CallFailure::Foreign),
        }
        let kept_for = pool::idle_time(&headers);
        send(call, CallEvent::Head { status, headers }).await?;
        relay(call, incoming, limit).await?;
        connected.idle_time = kept_for;
        // Returned before the end is told, so that the next call finds it.
        let _ = self.returned.send(connected).await;
        send(call, CallEvent::End).await
    }

    /// Sends the request, on a new connection if the kept one turns out to be closed before
    /// anything was sent.
    async fn send(
        &self,
        call: &Call,
        mut request: Request<UpstreamBody>,
        kept: Option<Connected>,
        limit: Instant,
    ) -> Result<(Connected, Response<Incoming>), CallFailure> {
        if let Some(mut connected) = kept {
            match timeout_at(limit, connected.send(request)).await {
                Err(_) => return Err(CallFailure::Timeout),
                Ok(Ok(response)) => return Ok((connected, response)),
                Ok(Err(mut fault)) => match fault.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(fault.into_error().into()),
                },
            }
        }
        let mut connected = connect(call.address, limit).await?;
        match timeout_at(limit, connected.send(request)).await {
            Err(_) => Err(CallFailure::Timeout),
            Ok(Ok(response)) => Ok((connected, response)),
            Ok(Err(fault)) => Err(fault.into_error().into()),
        }
    }

    async fn keep(&self, mut connected: Connected, headers: &[(String, String)]) {
        connected.idle_time = pool::idle_time(headers);
        // The task ends with the node; then the connection is closed.
        let _ = self.returned.send(connected).await;
    }

    fn request(
        &self,
        call: &Call,
        body: UpstreamBody,
        remaining: Duration,
    ) -> Result<Request<UpstreamBody>, CallFailure> {
        let mut headers = call.headers.clone();
        headers.retain(|(name, _)| !header::is_hop_by_hop(name));
        self.dialect.set_upstream_headers(&mut headers, &call.upstream, remaining);
        let mut builder = Request::builder().method(call.method.as_str()).uri(call.target.as_str());
        if header::find_header(&headers, "host").is_none() {
            builder = builder.header("host", call.address.to_string());
        }
        for (name, value) in &headers {
            builder = builder.header(name, value);
        }
        // A body of length 0 is declared where one is usual, as the caller did.
        if call.length == Some(0) && header::find_header(&call.headers, "content-length").is_some()
        {
            builder = builder.header("content-length", "0");
        }
        Ok(builder.body(body)?)
    }
}

/// Passes the body of the answer on.
async fn relay(call: &Call, mut incoming: Incoming, limit: Instant) -> Result<(), CallFailure> {
    loop {
        let frame = timeout_at(limit, incoming.frame()).await;
        match frame.map_err(|_| CallFailure::Timeout)? {
            None => return Ok(()),
            Some(frame) => {
                // Trailers are dropped.
                if let Ok(data) = frame?.into_data() {
                    send(call, CallEvent::Data(data)).await?;
                }
            }
        }
    }
}

/// Reads a body that nobody wants; returns whether it was whole.
async fn drain(mut incoming: Incoming, limit: Instant) -> bool {
    loop {
        match timeout_at(limit, incoming.frame()).await {
            Ok(None) => return true,
            Ok(Some(Ok(_))) => {}
            Ok(Some(Err(_))) | Err(_) => return false,
        }
    }
}

async fn send(call: &Call, event: CallEvent) -> Result<(), CallFailure> {
    call.events.send(event).await.map_err(|_| CallFailure::Unwanted)
}
