//! Serves callers over HTTP. Each request has a thread that owns its connection meanwhile.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::io::{self, Read};
use std::net::SocketAddr;
use std::thread;

use bytes::Bytes;
use lavenderflow_core::id::TicketError;
use lavenderflow_core::request::Arrival;
use rand::random;
use tiny_http::{HTTPVersion, Server};
use tokio::sync::{mpsc, oneshot, watch};

use super::{answer, header};
use crate::error::NodeError;
use crate::message::EntryMessage;
use crate::net::body::BodyPart;
use crate::net::drive::{Reply, Request};
use crate::net::endpoint::{Command, Network};
use crate::prelude::*;
use crate::work::Work;
use crate::workers::Workers;

/// Bodies up to this size are read whole before the request is served, in bytes.
const WHOLE_BYTES: usize = 64 * 1024;
/// Largest header section, in bytes.
const MAX_HEADER_BYTES: usize = 16 * 1024;
/// Paths that the node itself serves.
const OWN_PREFIX: &str = "/.lavenderflow/";
/// Path at which callers get tickets.
const TICKETS: &str = "/.lavenderflow/tickets";

/// What all workers share.
#[derive(Clone, Debug)]
pub struct Context {
    /// Name of this node.
    pub name: String,
    /// To the actors.
    pub mailbox: Mailbox,
    /// To the network task.
    pub network: Network,
    /// Counts what a graceful stop waits for.
    pub work: Work,
    /// Where refused callers can go.
    pub next: watch::Receiver<String>,
}

/// Why a request is not served.
#[derive(Debug, thiserror::Error)]
enum CallerError {
    #[error("the header section has {0} bytes")]
    HeadersTooLarge(usize),
    #[error("HTTP version {0} cannot show an answer that breaks off")]
    Version(HTTPVersion),
    #[error("ticket: {0}")]
    Ticket(#[from] TicketError),
    #[error("the deadline is not a whole number of milliseconds")]
    Deadline,
    #[error("the length of the body is not clear")]
    Length,
    #[error("body: {0}")]
    Body(#[from] io::Error),
}

impl CallerError {
    fn reason(&self) -> Reason {
        match self {
            Self::HeadersTooLarge(_) => Reason::HeadersTooLarge,
            Self::Ticket(_) => Reason::TicketInvalid,
            Self::Version(_) | Self::Deadline | Self::Length | Self::Body(_) => Reason::BadRequest,
        }
    }
}

/// Binds the address and serves callers on threads of their own.
///
/// # Errors
///
/// The address cannot be bound or no thread can be started.
pub fn start(address: SocketAddr, workers: usize, context: Context) -> Result<(), NodeError> {
    let server = Server::http(address)
        .map_err(|fault| NodeError::Listen { address, fault: fault.to_string() })?;
    let shared = context.clone();
    let mut workers = Workers::new("caller", workers, move |request| serve(&shared, request));
    let accept = move || {
        while let Ok(request) = server.recv() {
            if let Err(request) = workers.submit(request) {
                let reply = Reply::without_answer(Outcome::NotRun, Reason::WorkersBusy, None);
                count(&context, &reply);
                let _ = answer::write(request, reply, &extra(&context, "", Outcome::NotRun));
            }
        }
    };
    thread::Builder::new().name("callers".to_owned()).spawn(accept).map_err(NodeError::Thread)?;
    Ok(())
}

fn serve(context: &Context, mut request: tiny_http::Request) {
    let _piece = context.work.begin();
    let headers = headers(&request);
    let id = header::find(&headers, header::REQUEST_ID).map(str::to_owned);
    let id = id.unwrap_or_else(|| format!("{:016x}", random::<u64>()));
    let reply = if request.url().starts_with(OWN_PREFIX) {
        serve_own(context, request.url())
    } else {
        match read(&mut request, with_id(headers, &id)) {
            Ok(parsed) => forward(context, &mut request, parsed, &id),
            Err(fault) => {
                log::info!("event=bad-request request={id} fault={fault:?}");
                context.mailbox.send_blocking(Message::Count(Counter::Fault(Fault::Caller)));
                Reply::without_answer(Outcome::NotRun, fault.reason(), None)
            }
        }
    };
    count(context, &reply);
    log::debug!(
        "event=answered request={id} node={} outcome={} reason={} status={}",
        context.name,
        reply.outcome.name(),
        reply.reason.name(),
        reply.status
    );
    let extra = extra(context, &id, reply.outcome);
    if let Err(fault) = answer::write(request, reply, &extra) {
        log::info!("event=caller-gone request={id} fault={:?}", fault.kind());
    }
}

fn count(context: &Context, reply: &Reply) {
    context.mailbox.send_blocking(Message::Count(Counter::Outcome(reply.outcome)));
    if reply.reason != Reason::Answered {
        context.mailbox.send_blocking(Message::Count(Counter::Refused(reply.reason)));
    }
}

fn extra(context: &Context, id: &str, outcome: Outcome) -> Vec<(String, String)> {
    let mut fields = vec![(header::REQUEST_ID.to_owned(), id.to_owned())];
    if outcome == Outcome::NotRun {
        fields.push((header::NEXT.to_owned(), context.next.borrow().clone()));
        fields.push(("retry-after".to_owned(), "1".to_owned()));
    }
    fields
}

fn headers(request: &tiny_http::Request) -> Vec<(String, String)> {
    let fields = request.headers().iter();
    fields.map(|f| (f.field.as_str().as_str().to_owned(), f.value.as_str().to_owned())).collect()
}

/// Replaces the request's id, which upstreams and logs share.
fn with_id(mut headers: Vec<(String, String)>, id: &str) -> Vec<(String, String)> {
    headers.retain(|(name, _)| !name.eq_ignore_ascii_case(header::REQUEST_ID));
    headers.push((header::REQUEST_ID.to_owned(), id.to_owned()));
    headers
}

/// Serves the node's own paths: tickets.
fn serve_own(context: &Context, path: &str) -> Reply {
    if path != TICKETS {
        return Reply::without_answer(Outcome::NotRun, Reason::NoRoute, None);
    }
    let (reply, ticket) = oneshot::channel();
    context.mailbox.send_blocking(Message::Entry(EntryMessage::Issue(reply)));
    match ticket.blocking_recv().ok().flatten() {
        Some(ticket) => Reply::without_answer(Outcome::Ran, Reason::Answered, Some(ticket)),
        None => Reply::without_answer(Outcome::NotRun, Reason::Leaving, None),
    }
}

/// A request whose head, and whose body if it is small, have been read.
struct Parsed {
    arrival: Arrival,
    headers: Vec<(String, String)>,
    body: Bytes,
}

fn read(
    request: &mut tiny_http::Request,
    headers: Vec<(String, String)>,
) -> Result<Parsed, CallerError> {
    let size: usize = headers.iter().map(|(name, value)| name.len() + value.len() + 4).sum();
    if size + request.url().len() > MAX_HEADER_BYTES {
        return Err(CallerError::HeadersTooLarge(size));
    }
    if *request.http_version() < HTTPVersion(1, 1) {
        return Err(CallerError::Version(request.http_version().clone()));
    }
    check_length(&headers)?;
    let ticket = header::find(&headers, header::TICKET).map(str::parse).transpose()?;
    let deadline = match header::find(&headers, header::DEADLINE) {
        Some(text) => Some(text.parse().map_err(|_| CallerError::Deadline)?),
        None => None,
    };
    let declared = request.body_length();
    // A large body stays with the caller until a gate has admitted the request.
    let is_large = declared.is_some_and(|length| length > WHOLE_BYTES);
    let body = if is_large { Bytes::new() } else { read_part(request.as_reader(), WHOLE_BYTES)? };
    if let Some(declared) = declared.filter(|length| !is_large && *length != body.len()) {
        log::debug!("event=short-body declared={declared} received={}", body.len());
        return Err(CallerError::Body(io::ErrorKind::UnexpectedEof.into()));
    }
    // Without a declared length, a full first part means that more may follow.
    let whole = !is_large && (declared.is_some() || body.len() < WHOLE_BYTES);
    let method = request.method().to_string();
    let target = request.url().to_owned();
    let length = if whole { Some(body.len() as u64) } else { declared.map(|l| l as u64) };
    let arrival = Arrival {
        request: random(),
        organisation: header::find(&headers, header::ORGANISATION).map(Into::into),
        ticket,
        body_length: length,
        whole,
        fingerprint: fingerprint(&method, &target, length, &body),
        deadline: deadline.map(Duration::from_millis),
        forwarded: false,
        method,
        target,
    };
    Ok(Parsed { arrival, headers, body })
}

/// Refuses what a caller and an upstream could read differently: the HTTP library takes a body
/// whose length it cannot parse for an empty one.
fn check_length(headers: &[(String, String)]) -> Result<(), CallerError> {
    let values = |wanted: &str| {
        let fields = headers.iter().filter(|(name, _)| name.eq_ignore_ascii_case(wanted));
        fields.map(|(_, value)| value.as_str()).collect::<Vec<&str>>()
    };
    let lengths = values("content-length");
    let codings = values("transfer-encoding");
    let is_number = |text: &str| !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
    let is_clear = match (lengths.as_slice(), codings.as_slice()) {
        ([], []) => true,
        ([length], []) => is_number(length) && length.parse::<u64>().is_ok(),
        ([], [coding]) => coding.eq_ignore_ascii_case("chunked"),
        _ => false,
    };
    if is_clear { Ok(()) } else { Err(CallerError::Length) }
}

/// Binds a ticket to a request: repetitions must not differ in what they ask for.
fn fingerprint(method: &str, target: &str, length: Option<u64>, body: &Bytes) -> u64 {
    let mut hasher = DefaultHasher::new();
    (method, target, length, body).hash(&mut hasher);
    hasher.finish()
}

/// Reads up to `size` bytes; fewer only at the end.
fn read_part(reader: &mut dyn Read, size: usize) -> io::Result<Bytes> {
    let mut part = Vec::new();
    reader.take(size as u64).read_to_end(&mut part)?;
    Ok(part.into())
}

/// Hands a request to the network task, feeds it the rest of the body and waits for the reply.
fn forward(context: &Context, request: &mut tiny_http::Request, parsed: Parsed, id: &str) -> Reply {
    let Parsed { arrival, headers, body } = parsed;
    let (rest, asked) = oneshot::channel();
    let rest = (!arrival.whole).then_some(rest);
    let expected = arrival.body_length;
    let whole = arrival.whole;
    let (reply, answer) = oneshot::channel();
    let read = body.len() as u64;
    let driven = Request { arrival, id: id.to_owned(), headers, body, rest };
    let lost = || Reply::without_answer(Outcome::Unknown, Reason::Lost, None);
    if context.network.blocking_send(Command::Drive(driven, reply)).is_err() {
        return Reply::without_answer(Outcome::NotRun, Reason::Leaving, None);
    }
    // The sender is dropped when the request ends before a gate has admitted it.
    if !whole && let Ok(parts) = asked.blocking_recv() {
        send_body(request.as_reader(), &parts, expected, read);
    }
    answer.blocking_recv().unwrap_or_else(|_| lost())
}

/// Passes the rest of a body on; without its end when the caller breaks off.
fn send_body(
    reader: &mut dyn Read,
    parts: &mpsc::Sender<BodyPart>,
    expected: Option<u64>,
    mut total: u64,
) {
    loop {
        let mut buffer = vec![0; WHOLE_BYTES];
        let count = match reader.read(&mut buffer) {
            Ok(count) => count,
            Err(fault) => {
                log::info!("event=caller-gone fault={:?}", fault.kind());
                return;
            }
        };
        if count == 0 {
            break;
        }
        total += count as u64;
        buffer.truncate(count);
        if parts.blocking_send(BodyPart::Data(buffer.into())).is_err() {
            return;
        }
    }
    if expected.is_none_or(|length| length == total) {
        let _ = parts.blocking_send(BodyPart::End);
    }
}
