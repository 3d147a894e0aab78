//! The HTTP server for callers: checks their requests and sends them the responses.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::{Response, Version};
use lavenderflow_core::catalog::RequestLimits;
use lavenderflow_core::connections::CloseReason;
use lavenderflow_core::deployment_change::AppliedRevision;
use lavenderflow_core::memory::{HoldLimits, OverLimit, Share};
use lavenderflow_core::progress::Phase;
use lavenderflow_core::request::Arrival;
use lavenderflow_schema::dialect::{Completion, Dialect, HeaderError, Headers, RequestMetadata};
use rand::random;
use tokio::net::TcpListener;
use tokio::sync::{oneshot, watch};

use super::admission::{Admission, CallerConnection};
use super::request_head::AmbiguousLength;
use super::response::{self, Delivery, ResponseBody};
use super::server::{self, ServerHandle};
use super::unanswered::PendingAnswer;
use super::{body, header};
use crate::message::EntryMessage;
use crate::net::context::NetworkContext;
use crate::net::drive::{self, Reply, Request};
use crate::prelude::*;

/// Default limit of the header section, in bytes.
const DEFAULT_HEADER_BYTES: usize = 16 * 1024;
/// Time within which the body of a request must arrive that a stopping node refuses anyway, so that
/// it is refused by the rules for all requests.
const REFUSED_BODY_TIMEOUT: Duration = Duration::from_millis(100);
/// Time after which a caller may retry a request whose body a stopping node could not await.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Time after which a caller may retry a request for whose body there was no memory.
const MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Prefix of the paths that the node itself serves.
const RESERVED_PREFIX: &str = "/.lavenderflow/";
/// Path that issues tickets.
const TICKETS_PATH: &str = "/.lavenderflow/tickets";

/// What the handlers of all requests share.
#[derive(Clone, Debug)]
pub struct CallerContext {
    /// Name of this node.
    pub name: String,
    /// The actors, the connections to other nodes and the upstreams.
    pub net: NetworkContext,
    /// Other nodes that refused callers are told to try.
    pub next_nodes: watch::Receiver<String>,
    /// Converts headers and statuses of requests that begin now; names the service of this VM.
    pub dialect: watch::Receiver<Arc<dyn Dialect>>,
    /// Limits on the size of requests.
    pub limits: watch::Receiver<RequestLimits>,
    /// The latest configuration.
    pub applied: watch::Receiver<AppliedRevision>,
    /// Limit of concurrent requests.
    pub max_requests: usize,
    /// Limits on what connections may hold.
    pub hold_limits: HoldLimits,
}

/// Why a request is rejected before it is routed.
#[derive(Debug, thiserror::Error)]
pub(super) enum CallerError {
    #[error("the header section has {0} bytes")]
    HeadersTooLarge(usize),
    #[error("HTTP version {0:?} cannot signal a truncated response")]
    Version(Version),
    #[error("the request has no Host header, or more than one")]
    Host,
    #[error("the body has {0} bytes")]
    BodyTooLarge(u64),
    #[error(transparent)]
    Fields(#[from] HeaderError),
    #[error("the length of the body is ambiguous")]
    Length,
    #[error("body: {0}")]
    Body(#[from] hyper::Error),
    #[error("the node stops before the body has arrived")]
    Stopping,
    #[error("the connection is closed: {}", .0.name())]
    Closing(CloseReason),
    #[error(transparent)]
    Memory(#[from] OverLimit),
    #[error("the body consists of {0} chunks of {1} bytes")]
    SmallChunks(u32, usize),
}

impl CallerError {
    fn reason(&self) -> Reason {
        match self {
            Self::HeadersTooLarge(_) => Reason::HeadersTooLarge,
            Self::BodyTooLarge(_) => Reason::BodyTooLarge,
            Self::Fields(HeaderError::Ticket(_)) => Reason::TicketInvalid,
            Self::Closing(CloseReason::Timeout) => Reason::RequestTimeout,
            Self::Closing(_) | Self::Memory(_) => Reason::MemoryLimit,
            Self::SmallChunks(..)
            | Self::Version(_)
            | Self::Fields(HeaderError::Deadline)
            | Self::Host
            | Self::Length
            | Self::Body(_) => Reason::BadRequest,
            Self::Stopping => Reason::Leaving,
        }
    }
}

/// Serves callers on a bound address.
pub fn start(listener: TcpListener, context: CallerContext) -> ServerHandle {
    let admission = Admission {
        limits: context.hold_limits,
        budget: context.net.budget.clone(),
        request_limits: context.limits.clone(),
        clock: Arc::clone(&context.net.clock),
        mailbox: context.net.mailbox.clone(),
        replaces: false,
    };
    server::start(listener, admission, move |request| serve(context.clone(), request))
}

async fn serve(
    context: CallerContext,
    request: hyper::Request<Incoming>,
) -> Response<ResponseBody> {
    let guard = context.net.work.begin();
    let connection = request.extensions().get::<CallerConnection>().cloned();
    if let Some(connection) = &connection {
        connection.begin_request();
    }
    let headers = header::text_headers(request.headers());
    // A request keeps the dialect that it began with.
    let dialect = Arc::clone(&context.dialect.borrow());
    let metadata = dialect.parse_request(&headers);
    let id = metadata.as_ref().ok().and_then(|metadata| metadata.id.clone());
    let id = id.unwrap_or_else(|| format!("{:016x}", random::<u64>()));
    let applied = context.applied.clone();
    let pending = PendingAnswer::new(&context.net, connection.as_ref(), applied, &id);
    let line = format!("{} {}", request.method(), request.uri().path());
    let reply = if context.net.work.unfinished() > context.max_requests {
        Reply::local(Outcome::NotRun, Reason::WorkersBusy, None)
    } else if request.uri().path().starts_with(RESERVED_PREFIX) {
        serve_reserved(&context, request.uri().path()).await
    } else {
        let mut headers = headers;
        dialect.set_forward_headers(&mut headers, &id);
        serve_routed(&context, request, headers, metadata, &id).await
    };
    set_phase(&connection, Phase::Responding);
    count_outcome(&context, &reply).await;
    let elapsed = pending.elapsed();
    send(&context, Message::Latency(Stage::Request, elapsed)).await;
    log::info!(
        "event=answered request={id} node={} outcome={} reason={} upstream_status={} ms={} {line}",
        context.name,
        reply.outcome.name(),
        reply.reason.name(),
        reply.status,
        elapsed.as_millis()
    );
    let completion = Completion {
        id,
        outcome: reply.outcome,
        reason: reply.reason,
        ticket: reply.ticket,
        next_nodes: context.next_nodes.borrow().clone(),
        retry_after: reply.retry_after,
        relayed: reply.relayed,
    };
    let delivery = Delivery::new(connection, &reply, pending, guard);
    response::build_response(reply, &completion, dialect.as_ref(), delivery)
}

fn set_phase(connection: &Option<CallerConnection>, phase: Phase) {
    if let Some(connection) = connection {
        connection.set_phase(phase);
    }
}

async fn serve_routed(
    context: &CallerContext,
    request: hyper::Request<Incoming>,
    headers: Headers,
    metadata: Result<RequestMetadata, HeaderError>,
    id: &str,
) -> Reply {
    let limits = *context.limits.borrow();
    let parsed = match metadata {
        Ok(metadata) => parse_request(&context.net, request, headers, metadata, limits).await,
        Err(fault) => Err(fault.into()),
    };
    match parsed {
        Ok(parsed) => forward(context, parsed, id).await,
        Err(fault @ CallerError::Stopping) => {
            log::info!("event=body-too-late request={id} fault={fault}");
            Reply {
                retry_after: Some(STOPPING_RETRY_AFTER),
                ..Reply::local(Outcome::NotRun, fault.reason(), None)
            }
        }
        Err(fault @ (CallerError::Closing(_) | CallerError::Memory(_))) => {
            log::info!("event=body-refused request={id} fault={fault}");
            Reply {
                retry_after: Some(MEMORY_RETRY_AFTER),
                ..Reply::local(Outcome::NotRun, fault.reason(), None)
            }
        }
        Err(fault) => {
            log::info!("event=bad-request request={id} fault={fault:?}");
            send(context, Message::Count(Counter::Fault(Fault::Caller))).await;
            Reply::local(Outcome::NotRun, fault.reason(), None)
        }
    }
}

async fn send(context: &CallerContext, message: Message) {
    context.net.mailbox.send(message).await;
}

async fn count_outcome(context: &CallerContext, reply: &Reply) {
    send(context, Message::Count(Counter::Outcome(reply.outcome))).await;
    if reply.reason != Reason::Answered {
        send(context, Message::Count(Counter::EntryRefused(reply.reason))).await;
    }
}

/// Serves the node's own paths, of which there is only the one for tickets.
async fn serve_reserved(context: &CallerContext, path: &str) -> Reply {
    if path != TICKETS_PATH {
        return Reply::local(Outcome::NotRun, Reason::NoRoute, None);
    }
    let (reply, ticket) = oneshot::channel();
    send(context, Message::Entry(EntryMessage::IssueTicket(reply))).await;
    match ticket.await.ok().flatten() {
        Some(ticket) => Reply::local(Outcome::Ran, Reason::Answered, Some(ticket)),
        None => Reply::local(Outcome::NotRun, Reason::Leaving, None),
    }
}

/// A request whose headers, and whose body if it is small, have been read.
struct ParsedRequest {
    arrival: Arrival,
    headers: Headers,
    body: Bytes,
    unread_body: Option<Incoming>,
    connection: Option<CallerConnection>,
    // Accounts for the body as long as the request is served.
    held: Option<Share>,
}

async fn parse_request(
    net: &NetworkContext,
    request: hyper::Request<Incoming>,
    headers: Headers,
    metadata: RequestMetadata,
    limits: RequestLimits,
) -> Result<ParsedRequest, CallerError> {
    let in_progress = !net.stop.is_refusing();
    let size: usize = headers.iter().map(|(name, value)| name.len() + value.len() + 4).sum();
    let target = request.uri().path_and_query().map_or("/", |path| path.as_str()).to_owned();
    if size + target.len() > limits.header_bytes.unwrap_or(DEFAULT_HEADER_BYTES) {
        return Err(CallerError::HeadersTooLarge(size));
    }
    if request.version() < Version::HTTP_11 {
        return Err(CallerError::Version(request.version()));
    }
    let mut hosts = headers.iter().filter(|(name, _)| name.eq_ignore_ascii_case("host"));
    let (Some((_, host)), None) = (hosts.next(), hosts.next()) else {
        return Err(CallerError::Host);
    };
    let host = host.clone();
    if request.extensions().get::<AmbiguousLength>().is_some() {
        return Err(CallerError::Length);
    }
    let declared = body_length(&headers)?;
    if let Some(length) = declared.filter(|length| limits.body_bytes.is_some_and(|m| *length > m)) {
        return Err(CallerError::BodyTooLarge(length));
    }
    let method = request.method().to_string();
    let connection = request.extensions().get::<CallerConnection>().cloned();
    let mut unread_body = request.into_body();
    // A large body is not read until a gate has admitted the request.
    let is_large = declared.is_some_and(|length| length > body::MAX_BUFFERED_BYTES as u64);
    let (body, body_buffered, held) = if is_large || unread_body.is_end_stream() {
        (Bytes::new(), !is_large, None)
    } else {
        set_phase(&connection, Phase::Receiving);
        let received = tokio::select! {
            received = body::buffer(&mut unread_body, connection.as_ref()) => Some(received?),
            reason = body::closing(connection.clone()) => return Err(CallerError::Closing(reason)),
            () = body_is_too_late(net, in_progress) => None,
        };
        let Some(received) = received else {
            tokio::spawn(body::drain(unread_body));
            return Err(CallerError::Stopping);
        };
        set_phase(&connection, Phase::Processing);
        received
    };
    let length = if body_buffered { Some(body.len() as u64) } else { declared };
    let arrival = Arrival {
        request: random(),
        organisation: metadata.organisation,
        key: metadata.key,
        ticket: metadata.ticket,
        body_length: length,
        body_buffered,
        fingerprint: fingerprint(&method, &target, length, &body),
        timeout: metadata.timeout,
        in_progress,
        forwarded: false,
        method,
        target,
        host,
    };
    Ok(ParsedRequest {
        arrival,
        headers,
        body,
        unread_body: (!body_buffered).then_some(unread_body),
        connection,
        held,
    })
}

/// Returns the declared length of the body; `None` if it is chunked. Refuses requests whose length
/// this node and an upstream could read differently (request smuggling).
fn body_length(headers: &[(String, String)]) -> Result<Option<u64>, CallerError> {
    let values = |wanted: &str| {
        let matches = headers.iter().filter(|(name, _)| name.eq_ignore_ascii_case(wanted));
        matches.map(|(_, value)| value.as_str()).collect::<Vec<&str>>()
    };
    let (lengths, codings) = (values("content-length"), values("transfer-encoding"));
    let is_number = |text: &str| !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
    match (lengths.as_slice(), codings.as_slice()) {
        ([], []) => Ok(Some(0)),
        ([length], []) if is_number(length) => {
            length.parse().map(Some).map_err(|_| CallerError::Length)
        }
        ([], [coding]) if coding.eq_ignore_ascii_case("chunked") => Ok(None),
        _ => Err(CallerError::Length),
    }
}

/// Returns a hash that binds a ticket to a request: a duplicate with the same ticket must be the
/// same request.
fn fingerprint(method: &str, target: &str, length: Option<u64>, body: &Bytes) -> u64 {
    let mut hasher = DefaultHasher::new();
    (method, target, length, body).hash(&mut hasher);
    hasher.finish()
}

/// Waits until a stopping node can no longer serve a request whose body it is still reading.
async fn body_is_too_late(net: &NetworkContext, in_progress: bool) {
    if in_progress {
        net.stop.last_answer(&net.clock).await;
    } else {
        tokio::time::sleep(REFUSED_BODY_TIMEOUT).await;
    }
}

/// Serves a request, with a task that streams the rest of its body.
async fn forward(context: &CallerContext, parsed: ParsedRequest, id: &str) -> Reply {
    let ParsedRequest { arrival, headers, body, unread_body, connection, held } = parsed;
    let body_rest = unread_body.map(|body| {
        let (body_request, requested) = oneshot::channel();
        tokio::spawn(body::stream(body, connection, requested));
        body_request
    });
    let request = Request { arrival, id: id.to_owned(), headers, body, body_rest };
    let reply = drive::drive(&context.net, request).await;
    drop(held);
    reply
}
