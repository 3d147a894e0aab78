//! An upstream that follows the platform's protocol, with injectable faults.
//!
//! It sends heartbeats to the node on its VM, signs its responses and refuses requests that expect
//! another instance. The query of a request sets the time that it takes (`work_ms`) and the size of
//! its response in bytes (`size`). One thread owns the state, one sends heartbeats, and each connection has its
//! own thread; these send their accesses to the state to its thread.

mod endless;
mod serve;

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{self, Sender};
use std::thread;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use serde_json::json;

pub use self::endless::Part;
use self::serve::serve;
pub use self::serve::{EARLY_BODY, response_body};
use crate::error::Error;

/// Interval between heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);

/// How an upstream handles requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mode {
    /// Responds normally.
    Healthy,
    /// Responds before it has read the request body.
    RespondsEarly,
    /// Responds without a content length before it has read the request body, and closes the
    /// connection.
    ClosesEarly,
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
    /// Refuses the first two requests of each connection, and sends the first refusal once more before
    /// each response to the others.
    RepeatsOldRefusal,
    /// Sends a response without the id of a request some milliseconds after each response.
    Strays,
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
    /// The same, a few bytes a second.
    Drips(Part),
    /// Refuses requests with a body that never ends, a few bytes a second.
    DripsRefusal,
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
    /// When the client closed the connection while the request was running, or before it had taken
    /// the whole of a response of a requested size from its socket.
    pub closed_at: Option<Instant>,
    /// When a response of a requested size had been written to the connection.
    pub written_at: Option<Instant>,
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
