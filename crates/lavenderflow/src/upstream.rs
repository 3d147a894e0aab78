//! Calls upstreams. Each call runs on a thread that owns its connection.

use std::io::{self, Read};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use bytes::Bytes;
use lavenderflow_core::gate::RunResult;
use tokio::sync::mpsc;
use ureq::http;
use ureq::{Agent, SendBody};

use crate::http::header;
use crate::net::body::BodyPart;
use crate::prelude::*;

/// Size of the pieces in which an answer is read.
const CHUNK_BYTES: usize = 32 * 1024;
/// Longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Idle connections kept per upstream.
const IDLE_CONNECTIONS: usize = 64;

/// A call to an upstream.
#[derive(Debug)]
pub struct Call {
    /// Where the upstream serves HTTP.
    pub address: SocketAddr,
    /// When the call must have ended.
    pub deadline: Instant,
    /// Whether it may be repeated.
    pub idempotent: bool,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Header fields.
    pub headers: Vec<(String, String)>,
    /// The whole body, or its first part.
    pub body: Bytes,
    /// The rest of the body.
    pub rest: Option<mpsc::Receiver<BodyPart>>,
    /// Declared length of the body.
    pub length: Option<u64>,
    /// Where events go.
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
        headers: Vec<(String, String)>,
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

/// Makes calls.
#[derive(Clone, Debug)]
pub struct Caller {
    clock: SharedClock,
    reuse: Agent,
    once: Agent,
}

impl Caller {
    /// Creates a caller with its own connections.
    pub fn new(clock: SharedClock) -> Self {
        Self { clock, reuse: agent(IDLE_CONNECTIONS), once: agent(0) }
    }

    /// Makes a call and reports it to the call's events.
    pub fn run(&self, mut call: Call) {
        let broken = Arc::new(AtomicBool::new(false));
        let body = BodyReader {
            part: std::mem::take(&mut call.body),
            rest: call.rest.take(),
            broken: Arc::clone(&broken),
        };
        let events = call.events.clone();
        if let Err(failure) = self.exchange(&call, body) {
            let failure = if broken.load(Ordering::Acquire) { CallFailure::Body } else { failure };
            let (result, not_run) = failure.classify();
            log::debug!("event=call-failed upstream={} fault={failure:?}", call.address);
            let _ = events.blocking_send(CallEvent::Failed { result, not_run });
        }
    }

    fn exchange(&self, call: &Call, body: BodyReader) -> Result<(), CallFailure> {
        // A process that was frozen since the admission finds the deadline past here.
        let now = self.clock.now();
        let remaining = call.deadline.saturating_duration_since(now);
        if remaining.is_zero() {
            return Err(CallFailure::Late);
        }
        // On a new connection a failure to connect proves that nothing ran.
        let agent = if call.idempotent { &self.reuse } else { &self.once };
        let response = agent.run(request(agent, call, body, remaining)?)?;
        let (status, headers) = (response.status().as_u16(), header::from_map(response.headers()));
        if status == 503 && header::find(&headers, header::OUTCOME) == Some("not-run") {
            return Err(CallFailure::Shed);
        }
        let length = header::content_length(&headers).filter(|_| call.method != "HEAD");
        send(call, CallEvent::Head { status, headers })?;
        relay(call, &mut response.into_body().into_reader(), length)?;
        send(call, CallEvent::End)
    }
}

/// Why a call has no whole answer.
#[derive(Debug, thiserror::Error)]
enum CallFailure {
    #[error("the deadline had passed before the call")]
    Late,
    #[error("the upstream sheds load")]
    Shed,
    #[error("the request body broke off")]
    Body,
    #[error("the receiver of the answer is gone")]
    Unwanted,
    #[error("the answer has {0} bytes too few or too many")]
    Length(u64),
    #[error("the answer broke off: {0}")]
    Read(#[from] io::Error),
    #[error("malformed request: {0}")]
    Request(#[from] http::Error),
    #[error("call: {0}")]
    Call(#[from] ureq::Error),
}

impl CallFailure {
    fn classify(&self) -> (RunResult, Option<Reason>) {
        match self {
            Self::Late => (RunResult::Cancelled, Some(Reason::DeadlinePast)),
            Self::Shed => (RunResult::Shed, Some(Reason::Shed)),
            Self::Request(_) => (RunResult::Cancelled, Some(Reason::BadRequest)),
            Self::Body | Self::Unwanted => (RunResult::Cancelled, None),
            Self::Length(_) | Self::Read(_) => (RunResult::Broken, None),
            // This machine has no free port: no sign of the upstream's health.
            Self::Call(ureq::Error::Io(fault))
                if fault.kind() == io::ErrorKind::AddrNotAvailable =>
            {
                (RunResult::Cancelled, Some(Reason::ConnectFailed))
            }
            Self::Call(error) if is_connect_failure(error) => {
                (RunResult::ConnectFailed, Some(Reason::ConnectFailed))
            }
            Self::Call(ureq::Error::Timeout(_)) => (RunResult::TimedOut, None),
            Self::Call(_) => (RunResult::Broken, None),
        }
    }
}

fn is_connect_failure(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::ConnectionFailed | ureq::Error::Timeout(ureq::Timeout::Connect) => true,
        ureq::Error::Io(fault) => fault.kind() == io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}

fn agent(idle: usize) -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .max_redirects_will_error(false)
        .allow_non_standard_methods(true)
        .proxy(None)
        .user_agent("")
        .accept("")
        .accept_encoding("")
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .max_idle_connections(idle * 16)
        .max_idle_connections_per_host(idle)
        .build()
        .into()
}

fn request(
    agent: &Agent,
    call: &Call,
    body: BodyReader,
    remaining: Duration,
) -> Result<http::Request<SendBody<'static>>, CallFailure> {
    let uri = format!("http://{}{}", call.address, call.target);
    let mut builder = http::Request::builder().method(call.method.as_str()).uri(uri);
    for (name, value) in call.headers.iter().filter(|(name, _)| !header::is_hop_by_hop(name)) {
        builder = builder.header(name, value);
    }
    builder = builder.header(header::DEADLINE, remaining.as_millis().to_string());
    let is_empty = body.part.is_empty() && body.rest.is_none();
    let expects_body = matches!(call.method.as_str(), "POST" | "PUT" | "PATCH");
    let request = if is_empty && !expects_body {
        builder.body(SendBody::none())?
    } else {
        if let Some(length) = call.length {
            builder = builder.header("content-length", length.to_string());
        }
        builder.body(SendBody::from_owned_reader(body))?
    };
    Ok(agent.configure_request(request).timeout_global(Some(remaining)).build())
}

/// Reads the body of the answer and checks its length.
fn relay(call: &Call, reader: &mut impl Read, length: Option<u64>) -> Result<(), CallFailure> {
    let mut total = 0;
    loop {
        let mut buffer = vec![0; CHUNK_BYTES];
        let count = reader.read(&mut buffer)?;
        if count == 0 {
            break;
        }
        buffer.truncate(count);
        total += count as u64;
        send(call, CallEvent::Data(buffer.into()))?;
    }
    match length {
        Some(length) if length != total => Err(CallFailure::Length(length.abs_diff(total))),
        _ => Ok(()),
    }
}

fn send(call: &Call, event: CallEvent) -> Result<(), CallFailure> {
    call.events.blocking_send(event).map_err(|_| CallFailure::Unwanted)
}

/// Reads a request body from its first part and the channel with the rest.
struct BodyReader {
    part: Bytes,
    rest: Option<mpsc::Receiver<BodyPart>>,
    broken: Arc<AtomicBool>,
}

impl Read for BodyReader {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        while self.part.is_empty() {
            let Some(rest) = &mut self.rest else { return Ok(0) };
            match rest.blocking_recv() {
                Some(BodyPart::Data(part)) => self.part = part,
                Some(BodyPart::End) => self.rest = None,
                None => {
                    self.broken.store(true, Ordering::Release);
                    return Err(io::ErrorKind::BrokenPipe.into());
                }
            }
        }
        let count = self.part.len().min(buffer.len());
        buffer[..count].copy_from_slice(&self.part.split_to(count));
        Ok(count)
    }
}
