//! An upstream with a limited number of slots and injectable gray failures.
//!
//! One thread owns the state; each connection has its own thread, which sends it messages.
//!
//! The query of a request sets how it is handled: `work_ms` is the time that it takes, and `size`
//! the length of the response body. The body repeats the request's id, so that a response to
//! another request is noticed.

use std::collections::VecDeque;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender};
use std::thread;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use serde_json::json;

use crate::error::Error;
use crate::http::RequestHead;

/// Interval between announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(300);
/// Lease of an announcement.
const LEASE_MS: u64 = 2000;
/// Length of the response body when the query has no `size`.
const DEFAULT_BODY_BYTES: u64 = 32;
/// Time for which a hanging or stalled request holds its connection.
const HANG_TIME: Duration = Duration::from_secs(30);
/// Largest write of a response body.
const CHUNK_BYTES: usize = 16 * 1024;

/// How an upstream handles requests; health probes always succeed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    /// Responds normally.
    Healthy,
    /// Responds to this share of the requests, in percent, with status 500.
    Fails(u32),
    /// Responds to requests of one method with status 500.
    FailsMethod(&'static str),
    /// Takes this many times as long for each request.
    Slow(u32),
    /// Runs requests and holds back the responses until long after any timeout.
    Hangs,
    /// Closes the connection in the middle of each response body.
    Truncates,
    /// Stops sending in the middle of each response body.
    Stalls,
    /// Refuses requests with status 503, marked as not run.
    Sheds,
    /// Alternates between failing all requests and responding normally, each for this long.
    Flaps(Duration),
    /// Runs the request and closes the connection without a response.
    Disconnects,
}

/// Settings of an upstream.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Id in announcements.
    pub id: String,
    /// Name of the service.
    pub service: String,
    /// Admin address of the node, which receives the announcements.
    pub node: SocketAddr,
    /// Number of slots: announced, and the limit of concurrent requests.
    pub slots: u32,
    /// Time that a request takes when the query has no `work_ms`.
    pub work: Duration,
}

#[derive(Debug)]
enum Command {
    Begin(String, Sender<Mode>),
    End,
    Mode(Mode),
    Phase(&'static str),
    RunCounts(Sender<IndexMap<String, u32>>),
    Concurrency(Sender<(u32, u32)>),
    Stop,
}

/// A running upstream.
#[derive(Debug)]
pub struct UpstreamStandin {
    address: SocketAddr,
    commands: Sender<Command>,
}

impl UpstreamStandin {
    /// Starts an upstream on a free port, which begins to announce itself.
    ///
    /// # Errors
    ///
    /// No port can be bound.
    pub fn start(settings: Settings) -> Result<Self, Error> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let address = listener.local_addr()?;
        let (commands, received) = mpsc::channel();
        let (sender, work) = (commands.clone(), settings.work);
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let sender = sender.clone();
                thread::spawn(move || drop(serve(stream, &sender, work)));
            }
        });
        thread::spawn(move || Actor::new(settings, address).run(&received));
        Ok(Self { address, commands })
    }

    /// Returns the address that the upstream listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the mode.
    pub fn set_mode(&self, mode: Mode) {
        let _ = self.commands.send(Command::Mode(mode));
    }

    /// Changes the announced phase, and announces it at once.
    pub fn set_phase(&self, phase: &'static str) {
        let _ = self.commands.send(Command::Phase(phase));
    }

    /// Returns the number of runs of each request id.
    ///
    /// # Errors
    ///
    /// The upstream has stopped.
    pub fn run_counts(&self) -> Result<IndexMap<String, u32>, Error> {
        self.ask(Command::RunCounts)
    }

    /// Returns the number of requests that are running, and its maximum so far.
    ///
    /// # Errors
    ///
    /// The upstream has stopped.
    pub fn concurrency(&self) -> Result<(u32, u32), Error> {
        self.ask(Command::Concurrency)
    }

    fn ask<T>(&self, command: impl FnOnce(Sender<T>) -> Command) -> Result<T, Error> {
        let (reply, response) = mpsc::channel();
        self.commands.send(command(reply)).map_err(|_| Error::Stopped)?;
        response.recv().map_err(|_| Error::Stopped)
    }
}

impl Drop for UpstreamStandin {
    fn drop(&mut self) {
        let _ = self.commands.send(Command::Stop);
    }
}

struct Actor {
    settings: Settings,
    address: SocketAddr,
    mode: Mode,
    phase: &'static str,
    run_counts: IndexMap<String, u32>,
    running: u32,
    max_running: u32,
    queued: VecDeque<(String, Sender<Mode>)>,
    mode_since: Instant,
    request_count: u32,
    agent: ureq::Agent,
}

impl Actor {
    fn new(settings: Settings, address: SocketAddr) -> Self {
        Self {
            settings,
            address,
            mode: Mode::Healthy,
            phase: "serving",
            run_counts: IndexMap::new(),
            running: 0,
            max_running: 0,
            queued: VecDeque::new(),
            mode_since: Instant::now(),
            request_count: 0,
            agent: ureq::Agent::config_builder()
                .timeout_global(Some(ANNOUNCE_INTERVAL * 2))
                .build()
                .into(),
        }
    }

    fn run(mut self, commands: &Receiver<Command>) {
        let mut next = Instant::now();
        loop {
            let now = Instant::now();
            if now >= next {
                self.announce();
                next = now + ANNOUNCE_INTERVAL;
            }
            match commands.recv_timeout(next.saturating_duration_since(now)) {
                Ok(Command::Stop) | Err(RecvTimeoutError::Disconnected) => return,
                Ok(Command::Phase(phase)) => {
                    self.phase = phase;
                    next = now;
                }
                Ok(command) => self.handle(command),
                Err(RecvTimeoutError::Timeout) => {}
            }
        }
    }

    fn handle(&mut self, command: Command) {
        match command {
            Command::Begin(id, reply) => {
                self.queued.push_back((id, reply));
                self.start_queued();
            }
            Command::End => {
                self.running -= 1;
                self.start_queued();
            }
            Command::Mode(mode) => {
                self.mode = mode;
                self.mode_since = Instant::now();
            }
            Command::RunCounts(reply) => drop(reply.send(self.run_counts.clone())),
            Command::Concurrency(reply) => drop(reply.send((self.running, self.max_running))),
            Command::Phase(_) | Command::Stop => {}
        }
    }

    /// Starts queued requests while there are free slots.
    fn start_queued(&mut self) {
        while self.running < self.settings.slots {
            let Some((id, reply)) = self.queued.pop_front() else { return };
            let mode = self.current_mode();
            if mode != Mode::Sheds {
                *self.run_counts.entry(id).or_default() += 1;
            }
            self.running += 1;
            self.max_running = self.max_running.max(self.running);
            let _ = reply.send(mode);
        }
    }

    /// Returns the effective mode of the next request.
    fn current_mode(&mut self) -> Mode {
        self.request_count = self.request_count.wrapping_add(1);
        match self.mode {
            // Failures are spread evenly rather than at random, so that runs are reproducible.
            Mode::Fails(percent) => {
                let fails = self.request_count.wrapping_mul(37) % 100 < percent;
                if fails { Mode::Fails(100) } else { Mode::Healthy }
            }
            Mode::Flaps(period) => {
                let periods = self.mode_since.elapsed().as_millis() / period.as_millis().max(1);
                if periods.is_multiple_of(2) { Mode::Fails(100) } else { Mode::Healthy }
            }
            mode => mode,
        }
    }

    fn announce(&self) {
        let body = json!({
            "id": self.settings.id,
            "service": self.settings.service,
            "address": self.address.to_string(),
            "slots": self.settings.slots,
            "phase": self.phase,
            "lease_ms": LEASE_MS,
        });
        let url = format!("http://{}/v1/upstreams", self.settings.node);
        // If the node is down, the next announcement is the retry.
        let response = self.agent.post(url).send(body.to_string());
        // The connection is reused only if the body has been read.
        let _ = response.map(|mut response| response.body_mut().read_to_vec());
    }
}

fn serve(stream: TcpStream, commands: &Sender<Command>, work: Duration) -> Result<(), Error> {
    let peer = stream.peer_addr()?;
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(head) = RequestHead::read(&mut reader, peer)? {
        if head.target.starts_with("/healthz") {
            respond(&mut writer, 200, &[], b"ok")?;
            continue;
        }
        let id = head.header("lavenderflow-request-id").unwrap_or_default().to_owned();
        let (reply, mode) = mpsc::channel();
        commands.send(Command::Begin(id.clone(), reply)).map_err(|_| Error::Stopped)?;
        let mode = mode.recv().map_err(|_| Error::Stopped)?;
        let result = run(&head, &id, mode, work, &mut reader, &mut writer, peer);
        commands.send(Command::End).map_err(|_| Error::Stopped)?;
        result?;
    }
    Ok(())
}

fn run(
    head: &RequestHead,
    id: &str,
    mode: Mode,
    work: Duration,
    reader: &mut BufReader<TcpStream>,
    writer: &mut TcpStream,
    peer: SocketAddr,
) -> Result<(), Error> {
    let (length, sum) = head.read_body(reader, peer)?;
    let work = head.query_number("work_ms").map_or(work, Duration::from_millis);
    let size = head.query_number("size").unwrap_or(DEFAULT_BODY_BYTES);
    let body = response_body(id, size);
    let headers = [("standin-id", id.to_owned()), ("standin-received", format!("{length}-{sum}"))];
    match mode {
        Mode::Sheds => {
            return respond(writer, 503, &[("lavenderflow-outcome", "not-run".to_owned())], b"");
        }
        Mode::Hangs => thread::sleep(HANG_TIME),
        Mode::Slow(factor) => thread::sleep(work * factor),
        _ => thread::sleep(work),
    }
    match mode {
        Mode::Fails(_) => respond(writer, 500, &headers, b"failed"),
        Mode::FailsMethod(method) if method == head.method => {
            respond(writer, 500, &headers, b"failed")
        }
        Mode::Truncates | Mode::Stalls => {
            write_head(writer, 200, &headers, body.len())?;
            writer.write_all(&body[..body.len() / 2])?;
            if mode == Mode::Stalls {
                thread::sleep(HANG_TIME);
            }
            Ok(writer.shutdown(Shutdown::Both)?)
        }
        Mode::Disconnects => Ok(writer.shutdown(Shutdown::Both)?),
        _ => respond(writer, 200, &headers, &body),
    }
}

/// Returns the body of the response to a request: its id, repeated up to the given size.
pub fn response_body(id: &str, size: u64) -> Vec<u8> {
    let size = usize::try_from(size).unwrap_or(usize::MAX);
    let pattern = if id.is_empty() { "-" } else { id };
    pattern.bytes().cycle().take(size).collect()
}

fn respond(
    writer: &mut TcpStream,
    status: u16,
    headers: &[(&str, String)],
    body: &[u8],
) -> Result<(), Error> {
    write_head(writer, status, headers, body.len())?;
    for chunk in body.chunks(CHUNK_BYTES) {
        writer.write_all(chunk)?;
    }
    Ok(())
}

fn write_head(
    writer: &mut TcpStream,
    status: u16,
    headers: &[(&str, String)],
    length: usize,
) -> Result<(), Error> {
    let mut head = format!("HTTP/1.1 {status} status\r\ncontent-length: {length}\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    Ok(writer.write_all(head.as_bytes())?)
}
