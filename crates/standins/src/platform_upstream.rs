//! An upstream on the platform, with the faults that it may have.
//!
//! It announces itself to the node on its VM, answers under its own signature and refuses requests
//! that name another upstream. One thread owns its state, one announces, and each connection has a
//! thread of its own; they ask the owner by messages.

use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{self, Sender};
use std::thread;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use serde_json::json;

use crate::error::Error;
use crate::http::RequestHead;

/// Interval of heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// Interval at which a hanging request looks whether its caller is still there.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// How an upstream behaves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mode {
    /// As it should.
    Healthy,
    /// It answers before it has read the body.
    RespondsEarly,
    /// It fails each request with status 500.
    Errors,
    /// It sends a second answer right after the first.
    ExtraResponse,
    /// It runs requests and never answers.
    Hangs,
    /// It answers with the id of another request.
    WrongRequestId,
    /// It answers with bytes that are not HTTP.
    Garbage,
    /// It closes the connection after it has run the request.
    Disconnects,
    /// It refuses requests and says that it has not run them.
    Sheds,
    /// It breaks off in the middle of the answer.
    Truncates,
    /// It answers without a length and closes.
    CloseDelimited,
    /// It answers with success and no signature.
    Unsigned,
}

/// What an upstream is started with.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Id.
    pub id: String,
    /// Service.
    pub service: String,
    /// The node's address for announcements.
    pub node: SocketAddr,
    /// Where it listens.
    pub address: SocketAddr,
    /// Slots.
    pub slots: u32,
    /// Time that a request takes.
    pub work: Duration,
    /// Unix time of its start, in milliseconds.
    pub generation: u64,
}

/// One run of a request, as the upstream saw it.
#[derive(Clone, Debug, Default)]
pub struct RequestRecord {
    /// Times that the request began to run.
    pub run_count: u32,
    /// Header fields.
    pub headers: Vec<(String, String)>,
    /// Length and sum of the bytes of the body.
    pub body_digest: (u64, u64),
    /// When the caller's connection closed while it ran.
    pub closed_at: Option<Instant>,
}

impl RequestRecord {
    /// Finds a header field.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }
}

/// What a thread wants done with the state.
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

    /// Does something with the state and returns what comes of it.
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
    /// Starts an upstream and lets it announce itself.
    ///
    /// # Errors
    ///
    /// Its address cannot be bound.
    pub fn start(settings: Settings) -> Result<Self, Error> {
        let listener = TcpListener::bind(settings.address)?;
        let state = StateHandle::start(State {
            mode: Mode::Healthy,
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

    /// Changes how it behaves.
    ///
    /// # Errors
    ///
    /// The upstream has stopped.
    pub fn set_mode(&self, mode: Mode) -> Result<(), Error> {
        self.state.ask(move |state| state.mode = mode)
    }

    /// Reports `draining` from now on; returns once that is acknowledged.
    ///
    /// # Errors
    ///
    /// The node did not acknowledge it in time.
    pub fn drain(&self) -> Result<(), Error> {
        let sequence = self.state.ask(|state| {
            state.phase = "draining";
            state.sequence
        })?;
        crate::fleet::wait_until("the node acknowledges the draining", || {
            self.state.ask(move |state| state.acknowledged > sequence).unwrap_or(false)
        })
    }

    /// Sends one heartbeat with a number and a phase of its own, as one that was delayed.
    ///
    /// # Errors
    ///
    /// The node did not acknowledge it.
    pub fn send_heartbeat(&self, sequence: u64, phase: &str) -> Result<(), Error> {
        send_heartbeat(&agent(), &self.settings, sequence, phase)
    }

    /// Says that it is gone.
    ///
    /// # Errors
    ///
    /// The node did not acknowledge it.
    pub fn deregister(&self) -> Result<(), Error> {
        self.state.ask(|state| state.phase = "gone")?;
        let Settings { node, id, .. } = &self.settings;
        let url = format!("http://{node}/lavenderflow/Instances.Deregister/{id}");
        agent().post(url).send("")?;
        Ok(())
    }

    /// Returns the requests that it ran.
    ///
    /// # Errors
    ///
    /// The upstream has stopped.
    pub fn requests(&self) -> Result<IndexMap<String, RequestRecord>, Error> {
        self.state.ask(|state| state.requests.clone())
    }

    /// Returns how many requests it ran, repetitions too.
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
        // Without an owner there is nothing left to stop.
        let _ = self.state.ask(|state| state.is_stopped = true);
        // Wakes the thread that accepts, so that the address is free again.
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
        // A node that is down is announced to again soon.
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

/// Returns the body of the answer to a request.
pub fn response_body(id: &str) -> String {
    format!("answer to {id} ").repeat(20)
}

fn serve(stream: TcpStream, settings: &Settings, state: &StateHandle) -> Result<(), Error> {
    let peer = stream.peer_addr()?;
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
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
            respond(&mut writer, 503, &[("Lavenderflow-Not-Executed", "1")], "")?;
            continue;
        }
        let (name, headers) = (id.clone(), head.headers.clone());
        state.ask(move |state| {
            let record = state.requests.entry(name).or_default();
            record.run_count += 1;
            record.headers = headers;
        })?;
        if mode == Mode::RespondsEarly {
            respond_signed(&mut writer, settings, &id, 200)?;
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
            Mode::Errors => respond_signed(&mut writer, settings, &id, 500)?,
            Mode::ExtraResponse => {
                respond_signed(&mut writer, settings, &id, 200)?;
                respond_signed(&mut writer, settings, &id, 200)?;
            }
            Mode::WrongRequestId => respond_signed(&mut writer, settings, "another", 200)?,
            Mode::Garbage => writer.write_all(b"\x00\x01 not an answer\r\n\r\n")?,
            Mode::Disconnects => return Ok(writer.shutdown(Shutdown::Both)?),
            Mode::Truncates => {
                let body = response_body(&id);
                write_head(&mut writer, 200, &signed_headers(settings, &id), Some(body.len()))?;
                writer.write_all(&body.as_bytes()[..body.len() / 2])?;
                return Ok(writer.shutdown(Shutdown::Both)?);
            }
            Mode::CloseDelimited => {
                write_head(&mut writer, 200, &signed_headers(settings, &id), None)?;
                writer.write_all(response_body(&id).as_bytes())?;
                return Ok(writer.shutdown(Shutdown::Write)?);
            }
            Mode::Unsigned => {
                respond(&mut writer, 200, &[("Lavenderflow-Request-Id", &id)], "made up")?;
            }
            _ => respond_signed(&mut writer, settings, &id, 200)?,
        }
    }
    Ok(())
}

/// Keeps the connection until the caller closes it, and notes when.
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
    let (name, closed_at) = (id.to_owned(), Some(Instant::now()));
    state.ask(move |state| state.requests.entry(name).or_default().closed_at = closed_at)
}

fn signed_headers(settings: &Settings, id: &str) -> [(&'static str, String); 2] {
    [
        ("Lavenderflow-Request-Id", id.to_owned()),
        ("Lavenderflow-Server-Signature", format!("signed-by-{}", settings.id)),
    ]
}

fn respond_signed(
    writer: &mut TcpStream,
    settings: &Settings,
    id: &str,
    status: u16,
) -> Result<(), Error> {
    let body = response_body(id);
    write_head(writer, status, &signed_headers(settings, id), Some(body.len()))?;
    Ok(writer.write_all(body.as_bytes())?)
}

fn respond(
    writer: &mut TcpStream,
    status: u16,
    fields: &[(&'static str, &str)],
    body: &str,
) -> Result<(), Error> {
    let fields: Vec<(&str, String)> = fields.iter().map(|(n, v)| (*n, (*v).to_owned())).collect();
    write_head(writer, status, &fields, Some(body.len()))?;
    Ok(writer.write_all(body.as_bytes())?)
}

fn write_head(
    writer: &mut TcpStream,
    status: u16,
    fields: &[(&str, String)],
    length: Option<usize>,
) -> Result<(), Error> {
    let mut head = format!("HTTP/1.1 {status} status\r\n");
    for (name, value) in fields {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    match length {
        Some(length) => head.push_str(&format!("Content-Length: {length}\r\n\r\n")),
        None => head.push_str("Connection: close\r\n\r\n"),
    }
    Ok(writer.write_all(head.as_bytes())?)
}
