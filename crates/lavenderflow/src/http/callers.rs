//! The HTTP server for callers: checks their requests and sends them the responses.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

use bytes::Bytes;
use hyper::Response;
use hyper::body::{Body, Incoming};
use hyper::header::EXPECT;
use lavenderflow_core::catalog::RequestLimits;
use lavenderflow_core::deployment_change::AppliedRevision;
use lavenderflow_core::memory::{HoldLimits, OverLimit, Share};
use lavenderflow_core::progress::Phase;
use lavenderflow_core::request::Arrival;
use lavenderflow_schema::dialect::{Completion, Dialect, HeaderError, Headers, RequestMetadata};
use rand::random;
use tokio::net::TcpListener;
use tokio::sync::{oneshot, watch};

use super::admission::{Admission, CallerConnection};
use super::request_check::{CallerError, check_request};
use super::request_head::AmbiguousLength;
use super::response::{self, Delivery, ResponseBody};
use super::server::{self, ServerHandle};
use super::unanswered::PendingAnswer;
use super::{body, header};
use crate::message::EntryMessage;
use crate::net::context::NetworkContext;
use crate::net::drive::{self, Reply, Request};
use crate::prelude::*;

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
        drain_refused(request);
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
    let checked = metadata.map_err(CallerError::from).and_then(|metadata| {
        let (host, length) = check_request(&request, &headers, limits)?;
        let share = context.net.heads.claim_caller(target(&request), &headers);
        Ok((metadata, host, length, share.ok_or(OverLimit::Shared)?))
    });
    let parsed = match checked {
        Ok((metadata, host, length, share)) => {
            let head = RequestHead { headers, metadata, host, length, share };
            parse_request(&context.net, request, head).await
        }
        Err(fault) => {
            drain_refused(request);
            Err(fault)
        }
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
        Err(fault @ CallerError::LateBody) => {
            log::info!("event=body-too-late request={id} fault={fault}");
            Reply::local(Outcome::NotRun, fault.reason(), None)
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
    // The same for the head.
    head_share: Share,
}

/// The head of a request that was not refused for it.
struct RequestHead {
    headers: Headers,
    metadata: RequestMetadata,
    host: String,
    // Declared length of the body.
    length: Option<u64>,
    // Accounts for the head.
    share: Share,
}

/// Reads the rest of a refused request, so that its caller sees the response.
fn drain_refused(request: hyper::Request<Incoming>) {
    // What follows a body of ambiguous length may have been smuggled in it.
    let is_ambiguous = request.extensions().get::<AmbiguousLength>().is_some();
    // A caller that awaits a go-ahead has sent no body.
    let awaits_reply = request.headers().contains_key(EXPECT);
    if !is_ambiguous && !awaits_reply && !request.body().is_end_stream() {
        tokio::spawn(body::drain(request.into_body()));
    }
}

/// Returns the path and the query of a request.
fn target(request: &hyper::Request<Incoming>) -> &str {
    request.uri().path_and_query().map_or("/", |target| target.as_str())
}

async fn parse_request(
    net: &NetworkContext,
    request: hyper::Request<Incoming>,
    head: RequestHead,
) -> Result<ParsedRequest, CallerError> {
    let RequestHead { headers, metadata, host, length: declared, share: head_share } = head;
    let in_progress = !net.stop.is_refusing();
    let target = target(&request).to_owned();
    let method = request.method().to_string();
    let connection = request.extensions().get::<CallerConnection>().cloned();
    let mut unread_body = request.into_body();
    let started = net.clock.now();
    // A large body is not read until a gate has admitted the request.
    let is_large = declared.is_some_and(|length| length > body::MAX_BUFFERED_BYTES as u64);
    let (body, body_buffered, held) = if is_large || unread_body.is_end_stream() {
        (Bytes::new(), !is_large, None)
    } else {
        set_phase(&connection, Phase::Receiving);
        let received = tokio::select! {
            received = body::buffer(&mut unread_body, connection.as_ref()) => Ok(received?),
            reason = body::closing(connection.clone()) => return Err(CallerError::Closing(reason)),
            () = body_is_too_late(net, in_progress) => Err(CallerError::Stopping),
            () = caller_leaves(metadata.timeout) => Err(CallerError::LateBody),
        };
        set_phase(&connection, Phase::Processing);
        match received {
            Ok(received) => received,
            Err(fault) => {
                tokio::spawn(body::drain(unread_body));
                return Err(fault);
            }
        }
    };
    // The caller has waited since it sent the head.
    let elapsed = net.clock.now().saturating_duration_since(started);
    let length = if body_buffered { Some(body.len() as u64) } else { declared };
    let arrival = Arrival {
        request: random(),
        organisation: metadata.organisation,
        key: metadata.key,
        ticket: metadata.ticket,
        body_length: length,
        body_buffered,
        fingerprint: fingerprint(&method, &target, length, &body),
        timeout: metadata.timeout.map(|timeout| timeout.saturating_sub(elapsed)),
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
        head_share,
    })
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

/// Waits until the caller no longer waits.
async fn caller_leaves(timeout: Option<Duration>) {
    match timeout {
        Some(timeout) => tokio::time::sleep(timeout).await,
        None => std::future::pending().await,
    }
}

/// Serves a request, with a task that streams the rest of its body.
async fn forward(context: &CallerContext, parsed: ParsedRequest, id: &str) -> Reply {
    let ParsedRequest { arrival, headers, body, unread_body, connection, held, head_share } =
        parsed;
    let body_rest = unread_body.map(|body| {
        let (body_request, requested) = oneshot::channel();
        tokio::spawn(body::stream(body, connection, requested));
        body_request
    });
    let request = Request { arrival, id: id.to_owned(), headers, body, body_rest };
    let reply = drive::drive(&context.net, request).await;
    drop((held, head_share));
    reply
}
