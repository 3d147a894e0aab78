//! An upstream that follows the platform's protocol, with injectable faults.
//!
//! It sends heartbeats to the node on its VM, signs its responses and refuses requests that expect
//! another instance. One thread owns the state, one sends heartbeats, and each connection has its
//! own thread; these send their accesses to the state to its thread.

mod endless;

use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{self, Sender};
use std::thread;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use serde_json::json;

pub use self::endless::Part;
use crate::error::Error;
use crate::http::RequestHead;

/// Interval between heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// Interval at which a hanging request checks whether the upstream has stopped.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// How an upstream handles requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mode {
    /// Responds normally.
    Healthy,
    /// Responds before it has read the request body.
    RespondsEarly,
    /// Responds to each request with status 500.
    Errors,
    /// Sends a second response right after the first.
    ExtraResponse,
    /// Runs requests and never responds.
    Hangs,
    /// Responds with the id of another request.
    WrongRequestId,
    /// Responds with bytes that are not HTTP.
    Garbage,
    /// Runs the request and closes the connection without a response.
    Disconnects,
    /// Refuses requests with status 503, marked as not executed.
    Sheds,
    /// Refuses the first request of each connection, runs the others, and sends the refusal once
    /// more before each of their responses.
    RepeatsRefusal {
        /// Whether refusals name their request.
        named: bool,
    },
    /// Closes the connection in the middle of the response head.
    TruncatesHead,
    /// Closes the connection in the middle of the response body.
    Truncates,
    /// Responds without a content length and closes the connection after the body.
    CloseDelimited,
    /// Responds with status 200 but without a signature.
    Unsigned,
    /// Runs the request and sends a part of the response without end.
    Endless(Part),
}

/// Settings of an upstream.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Instance id.
    pub id: String,
    /// Name of the service.
    pub service: String,
    /// Address of the node's heartbeat API.
    pub node: SocketAddr,
    /// Address to listen on.
    pub address: SocketAddr,
    /// Number of slots to report.
    pub slots: u32,
    /// Time that each request takes.
    pub work: Duration,
    /// Unix time of the start in milliseconds; tells lifetimes of one address apart.
    pub generation: u64,
}

/// What the upstream recorded about the requests with one id.
#[derive(Clone, Debug, Default)]
pub struct RequestRecord {
    /// Number of times that the request was run.
    pub run_count: u32,
    /// Headers of the last run, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// Length of the request body and sum of its bytes.
    pub body_digest: (u64, u64),
    /// When the request arrived last.
    pub arrived_at: Option<Instant>,
    /// When the client closed the connection while the request was running.
    pub closed_at: Option<Instant>,
}

impl RequestRecord {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }
}

/// A closure to run on the thread that owns the state.
type Task = Box<dyn FnOnce(&mut State) + Send>;

/// Sends tasks to the thread that owns the state.
#[derive(Clone, Debug)]
struct StateHandle(Sender<Task>);

impl StateHandle {
    fn start(mut state: State) -> Self {
        let (tasks, received) = mpsc::channel::<Task>();
        thread::spawn(move || received.into_iter().for_each(|task| task(&mut state)));
        Self(tasks)
    }

    /// Runs a closure on the state and returns its result.
    fn ask<T: Send + 'static>(
        &self,
        task: impl FnOnce(&mut State) -> T + Send + 'static,
    ) -> Result<T, Error> {
        let (reply, result) = mpsc::channel();
        let task: Task = Box::new(move |state| drop(reply.send(task(state))));
        self.0.send(task).map_err(|_| Error::Stopped)?;
        result.recv().map_err(|_| Error::Stopped)
    }
}

#[derive(Debug)]
struct State {
    mode: Mode,
    response_headers: Vec<(&'static str, String)>,
    phase: &'static str,
    sequence: u64,
    acknowledged: u64,
    requests: IndexMap<String, RequestRecord>,
    is_stopped: bool,
}

/// A running upstream.
#[derive(Debug)]
pub struct PlatformUpstream {
    settings: Settings,
    state: StateHandle,
}

impl PlatformUpstream {
    /// Starts an upstream, which begins to send heartbeats.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub fn start(settings: Settings) -> Result<Self, Error> {
        let listener = TcpListener::bind(settings.address)?;
        let state = StateHandle::start(State {
            mode: Mode::Healthy,
            response_headers: Vec::new(),
            phase: "ready",
            sequence: 0,
            acknowledged: 0,
            requests: IndexMap::new(),
            is_stopped: false,
        });
        let (shared, own) = (state.clone(), settings.clone());
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if shared.ask(|state| state.is_stopped).unwrap_or(true) {
                    return;
                }
                let (shared, own) = (shared.clone(), own.clone());
                thread::spawn(move || drop(serve(stream, &own, &shared)));
            }
        });
        let (shared, own) = (state.clone(), settings.clone());
        thread::spawn(move || drop(announce(&own, &shared)));
        Ok(Self { settings, state })
    }

    /// Changes the mode.
    ///
    /// # Errors
    ///
    /// The upstream has stopped.
    pub fn set_mode(&self, mode: Mode) -> Result<(), Error> {
        self.state.ask(move |state| state.mode = mode)
    }

    /// Sets headers that all further signed responses have.
    ///
    /// # Errors
    ///
    /// The upstream has stopped.
    pub fn set_response_headers(&self, headers: &[(&'static str, &str)]) -> Result<(), Error> {
        let headers = headers.iter().map(|(name, value)| (*name, (*value).to_owned())).collect();
        self.state.ask(move |state| state.response_headers = headers)
    }

    /// Reports `draining` in all further heartbeats, and waits until the node acknowledges one.
    ///
    /// # Errors
    ///
    /// The upstream has stopped, or the node did not acknowledge it in time.
    pub fn drain(&self) -> Result<(), Error> {
        let sequence = self.state.ask(|state| {
            state.phase = "draining";
            state.sequence
        })?;
        crate::fleet::wait_until("the node acknowledges the draining", || {
            self.state.ask(move |state| state.acknowledged > sequence).unwrap_or(false)
        })
    }

    /// Sends one heartbeat with the given sequence number and phase, as if it had been delayed.
    ///
    /// # Errors
    ///
    /// The node did not acknowledge the heartbeat.
    pub fn send_heartbeat(&self, sequence: u64, phase: &str) -> Result<(), Error> {
        send_heartbeat(&agent(), &self.settings, sequence, phase)
    }

    /// Deregisters the upstream from the node.
    ///
    /// # Errors
    ///
    /// The upstream has stopped, or the node did not acknowledge it.
    pub fn deregister(&self) -> Result<(), Error> {
        self.state.ask(|state| state.phase = "gone")?;
        let Settings { node, id, .. } = &self.settings;
        let url = format!("http://{node}/lavenderflow/Instances.Deregister/{id}");
        agent().post(url).send("")?;
        Ok(())
    }

    /// Returns the requests that the upstream has run, by id.
    ///
    /// # Errors
    ///
    /// The upstream has stopped.
    pub fn requests(&self) -> Result<IndexMap<String, RequestRecord>, Error> {
        self.state.ask(|state| state.requests.clone())
    }

    /// Returns the number of runs, including repeated runs of one request.
    ///
    /// # Errors
    ///
    /// The upstream has stopped.
    pub fn run_count(&self) -> Result<u32, Error> {
        self.state.ask(|state| state.requests.values().map(|record| record.run_count).sum())
    }
}

impl Drop for PlatformUpstream {
    fn drop(&mut self) {
        // This fails only if the owner thread has already ended.
        let _ = self.state.ask(|state| state.is_stopped = true);
        // Wakes the accepting thread, so that it ends and frees the address.
        let _ = TcpStream::connect(self.settings.address);
    }
}

fn agent() -> ureq::Agent {
    ureq::Agent::config_builder().timeout_global(Some(Duration::from_secs(1))).build().into()
}

fn announce(settings: &Settings, state: &StateHandle) -> Result<(), Error> {
    let agent = agent();
    loop {
        let next = state.ask(|state| {
            let is_over = state.is_stopped || state.phase == "gone";
            state.sequence += 1;
            (!is_over).then_some((state.sequence, state.phase))
        })?;
        let Some((sequence, phase)) = next else { return Ok(()) };
        // If the node is down, the next heartbeat is the retry.
        if send_heartbeat(&agent, settings, sequence, phase).is_ok() {
            state.ask(move |state| state.acknowledged = sequence)?;
        }
        thread::sleep(HEARTBEAT_INTERVAL);
    }
}

fn send_heartbeat(
    agent: &ureq::Agent,
    settings: &Settings,
    sequence: u64,
    phase: &str,
) -> Result<(), Error> {
    let body = json!({
        "service": settings.service,
        "address": settings.address.to_string(),
        "zone": "zone-a",
        "version": "v1",
        "slots": settings.slots,
        "state": phase,
        "cold_remaining_s": 0,
        "sequence": sequence,
        "born": settings.generation,
    });
    let url = format!("http://{}/lavenderflow/Instances.Heartbeat/{}", settings.node, settings.id);
    agent.post(url).send(body.to_string())?;
    Ok(())
}

/// Returns the body of the response to a request.
pub fn response_body(id: &str) -> String {
    format!("answer to {id} ").repeat(20)
}

fn serve(stream: TcpStream, settings: &Settings, state: &StateHandle) -> Result<(), Error> {
    let peer = stream.peer_addr()?;
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    // The first refusal, by the mode that repeats it.
    let mut refusal: Option<Vec<(&str, String)>> = None;
    while let Some(head) = RequestHead::read(&mut reader, peer)? {
        let id = head.header("lavenderflow-request-id").unwrap_or_default().to_owned();
        if head.header("lavenderflow-expect-instance") != Some(&settings.id) {
            head.read_body(&mut reader, peer)?;
            respond(&mut writer, 421, &[("Lavenderflow-Instance-Id", &settings.id)], "")?;
            continue;
        }
        let mode = state.ask(|state| state.mode)?;
        if mode == Mode::Sheds {
            head.read_body(&mut reader, peer)?;
            write_head(&mut writer, 503, &refusal_headers(Some(&id)), Some(0))?;
            continue;
        }
        if let Mode::RepeatsRefusal { named } = mode
            && refusal.is_none()
        {
            head.read_body(&mut reader, peer)?;
            let headers = refusal_headers(named.then_some(&*id));
            write_head(&mut writer, 503, &headers, Some(0))?;
            refusal = Some(headers);
            continue;
        }
        let (name, headers) = (id.clone(), head.headers.clone());
        state.ask(move |state| {
            let record = state.requests.entry(name).or_default();
            record.run_count += 1;
            record.arrived_at = Some(Instant::now());
            record.headers = headers;
        })?;
        if mode == Mode::RespondsEarly {
            respond_signed(&mut writer, settings, &id, 200, state)?;
        }
        let received = head.read_body(&mut reader, peer)?;
        let name = id.clone();
        state.ask(move |state| state.requests.entry(name).or_default().body_digest = received)?;
        if mode == Mode::RespondsEarly {
            continue;
        }
        thread::sleep(settings.work);
        match mode {
            Mode::Hangs => return hang(&mut writer, &id, state),
            Mode::Endless(part) => {
                let headers = signed_headers(settings, &id, state)?;
                let headers: String =
                    headers.iter().map(|(n, v)| format!("{n}: {v}\r\n")).collect();
                // Sending fails once the node has closed the connection.
                let _ = part.send(&mut writer, &headers, &response_body(&id));
                return record_close(&id, state);
            }
            Mode::Errors => respond_signed(&mut writer, settings, &id, 500, state)?,
            Mode::ExtraResponse => {
                respond_signed(&mut writer, settings, &id, 200, state)?;
                respond_signed(&mut writer, settings, &id, 200, state)?;
            }
            Mode::WrongRequestId => respond_signed(&mut writer, settings, "another", 200, state)?,
            Mode::Garbage => writer.write_all(b"\x00\x01 not an answer\r\n\r\n")?,
            Mode::Disconnects => return Ok(writer.shutdown(Shutdown::Both)?),
            Mode::RepeatsRefusal { .. } => {
                if let Some(headers) = &refusal {
                    write_head(&mut writer, 503, headers, Some(0))?;
                }
                respond_signed(&mut writer, settings, &id, 200, state)?;
            }
            Mode::TruncatesHead => {
                let mut head = Vec::new();
                let body = response_body(&id);
                let headers = signed_headers(settings, &id, state)?;
                write_head(&mut head, 200, &headers, Some(body.len()))?;
                // Each request is cut at another place, the last ones within the final empty line.
                let runs = state.ask(|state| state.requests.len())?;
                let length = head.len() - 1 - runs * 5 % (head.len() - 1);
                writer.write_all(&head[..length])?;
                return Ok(writer.shutdown(Shutdown::Both)?);
            }
            Mode::Truncates => {
                let body = response_body(&id);
                write_head(
                    &mut writer,
                    200,
                    &signed_headers(settings, &id, state)?,
                    Some(body.len()),
                )?;
                writer.write_all(&body.as_bytes()[..body.len() / 2])?;
                return Ok(writer.shutdown(Shutdown::Both)?);
            }
            Mode::CloseDelimited => {
                write_head(&mut writer, 200, &signed_headers(settings, &id, state)?, None)?;
                writer.write_all(response_body(&id).as_bytes())?;
                return Ok(writer.shutdown(Shutdown::Write)?);
            }
            Mode::Unsigned => {
                respond(&mut writer, 200, &[("Lavenderflow-Request-Id", &id)], "made up")?;
            }
            _ => respond_signed(&mut writer, settings, &id, 200, state)?,
        }
    }
    Ok(())
}

/// Holds the connection until the client closes it, and records when that happens.
fn hang(stream: &mut TcpStream, id: &str, state: &StateHandle) -> Result<(), Error> {
    stream.set_read_timeout(Some(POLL_INTERVAL))?;
    loop {
        match stream.read(&mut [0; 64]) {
            Ok(0) => break,
            Ok(_) => {}
            Err(fault) if fault.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => break,
        }
        if state.ask(|state| state.is_stopped)? {
            return Ok(());
        }
    }
    record_close(id, state)
}

fn record_close(id: &str, state: &StateHandle) -> Result<(), Error> {
    let (name, closed_at) = (id.to_owned(), Some(Instant::now()));
    state.ask(move |state| state.requests.entry(name).or_default().closed_at = closed_at)
}

/// Returns the headers of a signed response.
fn signed_headers(
    settings: &Settings,
    id: &str,
    state: &StateHandle,
) -> Result<Vec<(&'static str, String)>, Error> {
    let mut headers = state.ask(|state| state.response_headers.clone())?;
    headers.push(("Lavenderflow-Request-Id", id.to_owned()));
    headers.push(("Lavenderflow-Server-Signature", format!("signed-by-{}", settings.id)));
    Ok(headers)
}

fn respond_signed(
    writer: &mut TcpStream,
    settings: &Settings,
    id: &str,
    status: u16,
    state: &StateHandle,
) -> Result<(), Error> {
    let body = response_body(id);
    write_head(writer, status, &signed_headers(settings, id, state)?, Some(body.len()))?;
    Ok(writer.write_all(body.as_bytes())?)
}

fn respond(
    writer: &mut TcpStream,
    status: u16,
    headers: &[(&'static str, &str)],
    body: &str,
) -> Result<(), Error> {
    let headers: Vec<(&str, String)> = headers.iter().map(|(n, v)| (*n, (*v).to_owned())).collect();
    write_head(writer, status, &headers, Some(body.len()))?;
    Ok(writer.write_all(body.as_bytes())?)
}

/// Returns the headers of a refusal.
fn refusal_headers(id: Option<&str>) -> Vec<(&'static str, String)> {
    let id = id.map(|id| ("Lavenderflow-Request-Id", id.to_owned()));
    std::iter::once(("Lavenderflow-Not-Executed", "1".to_owned())).chain(id).collect()
}

fn write_head(
    writer: &mut impl Write,
    status: u16,
    headers: &[(&str, String)],
    length: Option<usize>,
) -> Result<(), Error> {
    let mut head = format!("HTTP/1.1 {status} status\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    match length {
        Some(length) => head.push_str(&format!("Content-Length: {length}\r\n\r\n")),
        None => head.push_str("Connection: close\r\n\r\n"),
    }
    Ok(writer.write_all(head.as_bytes())?)
}
