//! The platform's store: compare-and-swap, leases left out, long-poll watches, and its faults.
//!
//! One thread owns the values; HTTP threads ask it by messages.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender};
use std::thread;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use serde_json::json;

use crate::error::Error;
use crate::http::Head;

/// Longest sleep of the owner.
const MAX_SLEEP: Duration = Duration::from_secs(3600);

/// How the store behaves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mode {
    /// It answers.
    Up,
    /// It fails every call and changes nothing.
    Down,
    /// It makes changes and then fails to say so.
    LosesAnswers,
    /// It answers after a delay.
    Slow(Duration),
}

/// All values, to put a store back to an older copy.
#[derive(Clone, Debug, Default)]
pub struct Copy {
    revision: u64,
    values: IndexMap<String, (u64, String)>,
}

#[derive(Debug)]
enum Command {
    Call(Call, Sender<Answer>),
    Mode(Mode),
    Calls(Sender<u64>),
    Snapshot(Sender<Copy>),
    Restore(Copy),
}

#[derive(Debug)]
enum Call {
    Get(String),
    Put(String, String, u64),
    List { prefix: String, after: u64, until: Instant },
}

#[derive(Clone, Debug)]
struct Answer {
    status: u16,
    revision: u64,
    body: String,
    delay: Duration,
}

/// A running store.
#[derive(Debug)]
pub struct StoreStandin {
    address: SocketAddr,
    commands: Sender<Command>,
}

impl StoreStandin {
    /// Starts a store; port 0 takes any free one.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub fn start(address: SocketAddr) -> Result<Self, Error> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let (commands, received) = mpsc::channel();
        thread::spawn(move || Owner::new().run(&received));
        let sender = commands.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let sender = sender.clone();
                thread::spawn(move || drop(serve(stream, &sender)));
            }
        });
        Ok(Self { address, commands })
    }

    /// Returns where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes how it behaves. Watches that wait end at once.
    pub fn set_mode(&self, mode: Mode) {
        let _ = self.commands.send(Command::Mode(mode));
    }

    /// Returns how many calls it has had; a waiting watch is one.
    ///
    /// # Errors
    ///
    /// The store has stopped.
    pub fn calls(&self) -> Result<u64, Error> {
        self.ask(Command::Calls)
    }

    /// Copies all values.
    ///
    /// # Errors
    ///
    /// The store has stopped.
    pub fn snapshot(&self) -> Result<Copy, Error> {
        self.ask(Command::Snapshot)
    }

    /// Puts the store back to a copy.
    pub fn restore(&self, copy: Copy) {
        let _ = self.commands.send(Command::Restore(copy));
    }

    fn ask<T>(&self, command: impl FnOnce(Sender<T>) -> Command) -> Result<T, Error> {
        let (reply, answer) = mpsc::channel();
        self.commands.send(command(reply)).map_err(|_| Error::Stopped)?;
        answer.recv().map_err(|_| Error::Stopped)
    }
}

struct Watch {
    prefix: String,
    after: u64,
    until: Instant,
    reply: Sender<Answer>,
}

struct Owner {
    mode: Mode,
    copy: Copy,
    calls: u64,
    watches: Vec<Watch>,
}

impl Owner {
    fn new() -> Self {
        Self { mode: Mode::Up, copy: Copy::default(), calls: 0, watches: Vec::new() }
    }

    fn run(mut self, commands: &Receiver<Command>) {
        loop {
            let now = Instant::now();
            let end = self.watches.iter().map(|watch| watch.until).min();
            let wait = end.map_or(MAX_SLEEP, |end| end.saturating_duration_since(now));
            match commands.recv_timeout(wait) {
                Ok(command) => self.handle(command),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            self.answer_watches();
        }
    }

    fn handle(&mut self, command: Command) {
        match command {
            Command::Call(call, reply) => {
                self.calls += 1;
                self.call(call, reply);
            }
            Command::Mode(mode) => self.mode = mode,
            Command::Calls(reply) => drop(reply.send(self.calls)),
            Command::Snapshot(reply) => drop(reply.send(self.copy.clone())),
            Command::Restore(copy) => self.copy = copy,
        }
    }

    fn call(&mut self, call: Call, reply: Sender<Answer>) {
        if self.mode == Mode::Down {
            drop(reply.send(self.answer(503, String::new())));
            return;
        }
        let answer = match call {
            Call::Get(key) => match self.copy.values.get(&key) {
                Some((revision, value)) => {
                    Answer { revision: *revision, ..self.answer(200, value.clone()) }
                }
                None => self.answer(404, String::new()),
            },
            Call::Put(key, value, base) => self.put(key, value, base),
            Call::List { prefix, after, until } => {
                self.watches.push(Watch { prefix, after, until, reply });
                return;
            }
        };
        let _ = reply.send(answer);
    }

    fn put(&mut self, key: String, value: String, base: u64) -> Answer {
        let current = self.copy.values.get(&key).map_or(0, |(revision, _)| *revision);
        if current != base {
            return self.answer(409, String::new());
        }
        self.copy.revision += 1;
        self.copy.values.insert(key, (self.copy.revision, value));
        let status = if self.mode == Mode::LosesAnswers { 504 } else { 200 };
        self.answer(status, String::new())
    }

    fn answer(&self, status: u16, body: String) -> Answer {
        let delay = if let Mode::Slow(delay) = self.mode { delay } else { Duration::ZERO };
        Answer { status, revision: self.copy.revision, body, delay }
    }

    fn answer_watches(&mut self) {
        let now = Instant::now();
        let watches = std::mem::take(&mut self.watches);
        for watch in watches {
            let entries: Vec<_> = self
                .copy
                .values
                .iter()
                .filter(|(key, (revision, _))| {
                    key.starts_with(&watch.prefix) && *revision > watch.after
                })
                .map(|(key, (revision, value))| {
                    json!({"key": key, "revision": revision, "value": value})
                })
                .collect();
            let is_behind = self.copy.revision < watch.after;
            let is_down = self.mode == Mode::Down;
            if entries.is_empty() && !is_behind && !is_down && now < watch.until {
                self.watches.push(watch);
                continue;
            }
            let body = json!({"revision": self.copy.revision, "entries": entries}).to_string();
            let status = if is_down { 503 } else { 200 };
            let _ = watch.reply.send(self.answer(status, body));
        }
    }
}

fn serve(stream: TcpStream, commands: &Sender<Command>) -> Result<(), Error> {
    let peer = stream.peer_addr()?;
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(head) = Head::read(&mut reader, peer)? {
        let value = head.read_text(&mut reader, peer)?;
        let call = parse(&head, value).ok_or(Error::Malformed(peer))?;
        let (reply, answer) = mpsc::channel();
        commands.send(Command::Call(call, reply)).map_err(|_| Error::Stopped)?;
        let answer = answer.recv().map_err(|_| Error::Stopped)?;
        thread::sleep(answer.delay);
        let Answer { status, revision, body, .. } = answer;
        let length = body.len();
        let text = format!(
            "HTTP/1.1 {status} status\r\ncontent-length: {length}\r\n\
             store-revision: {revision}\r\n\r\n{body}"
        );
        writer.write_all(text.as_bytes())?;
    }
    Ok(())
}

fn parse(head: &Head, value: String) -> Option<Call> {
    let path = head.target.split('?').next()?;
    let key = path.strip_prefix("/v1/kv")?.trim_start_matches('/').to_owned();
    match head.method.as_str() {
        "PUT" => Some(Call::Put(key, value, head.number("if")?)),
        "GET" if key.is_empty() => Some(Call::List {
            prefix: head.field("prefix")?.to_owned(),
            after: head.number("after")?,
            until: Instant::now() + Duration::from_millis(head.number("wait_ms")?),
        }),
        "GET" => Some(Call::Get(key)),
        _ => None,
    }
}
