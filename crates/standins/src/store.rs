//! The platform's key-value store: conditional transactions, leases, watches and injectable faults.
//!
//! One thread owns the values; the threads of the HTTP connections send it messages.

mod actor;
mod protocol;

use std::io::{BufReader, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{self, Sender};
use std::thread;
use std::time::Duration;

use indexmap::IndexSet;

use crate::error::Error;
use crate::http::RequestHead;

pub use self::actor::Snapshot;
use self::actor::{Actor, Command, ResponseAction};

/// How the store handles calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mode {
    /// Responds normally.
    Up,
    /// Fails every call with status 503 and changes nothing.
    Down,
    /// Reads calls and never responds.
    Silent,
    /// Resets connections instead of responding.
    Resets,
    /// Refuses calls with status 429.
    RateLimited,
    /// Fails calls from one address with status 503 and responds normally to others.
    DownFor(IpAddr),
    /// Commits transactions and never responds to them.
    LosesResponses,
    /// Responds after a delay.
    Slow(Duration),
}

/// What happens to leases while the store is down.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LeasePolicy {
    /// Leases keep running and may expire.
    #[default]
    Expires,
    /// Leases are extended by the length of the outage.
    Pauses,
}

/// A running store.
#[derive(Debug)]
pub struct StoreStandin {
    address: SocketAddr,
    commands: Sender<Command>,
}

impl StoreStandin {
    /// Starts a store; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub fn start(address: SocketAddr) -> Result<Self, Error> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let (commands, received) = mpsc::channel();
        thread::spawn(move || Actor::default().run(&received));
        serve_all(listener, commands.clone());
        Ok(Self { address, commands })
    }

    /// Returns the address that the store listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Opens a further address at which the store serves the same values.
    ///
    /// # Errors
    ///
    /// No port can be bound.
    pub fn listen(&self) -> Result<SocketAddr, Error> {
        let listener = TcpListener::bind((self.address.ip(), 0))?;
        let address = listener.local_addr()?;
        serve_all(listener, self.commands.clone());
        Ok(address)
    }

    /// Never responds again to calls at these addresses, including pending watches.
    pub fn silence(&self, addresses: impl IntoIterator<Item = SocketAddr>) {
        let _ = self.commands.send(Command::Silence(addresses.into_iter().collect()));
    }

    /// Returns the addresses at which a watch on the prefix is pending.
    ///
    /// # Errors
    ///
    /// The store has stopped.
    pub fn watched_addresses(&self, prefix: &str) -> Result<IndexSet<SocketAddr>, Error> {
        let prefix = prefix.to_owned();
        self.ask(|reply| Command::WatchedAddresses(prefix, reply))
    }

    /// Changes the mode, which applies to pending watches at once.
    pub fn set_mode(&self, mode: Mode) {
        let _ = self.commands.send(Command::Mode(mode));
    }

    /// Sets what happens to leases while the store is down.
    pub fn set_lease_policy(&self, policy: LeasePolicy) {
        let _ = self.commands.send(Command::LeasePolicy(policy));
    }

    /// Discards the history of changes, and resets the connections of pending watches.
    pub fn compact(&self) {
        let _ = self.commands.send(Command::Compact);
    }

    /// Writes a value as the platform does, including under reserved prefixes.
    pub fn write(&self, key: &str, value: &str) {
        let (key, value) = (key.to_owned(), value.to_owned());
        let _ = self.commands.send(Command::Write(key, value));
    }

    /// Returns all keys.
    ///
    /// # Errors
    ///
    /// The store has stopped.
    pub fn keys(&self) -> Result<Vec<String>, Error> {
        self.ask(Command::Keys)
    }

    /// Returns how many calls the store has received; a watch counts once, however long it waits.
    ///
    /// # Errors
    ///
    /// The store has stopped.
    pub fn call_count(&self) -> Result<u64, Error> {
        self.ask(Command::CallCount)
    }

    /// Returns a copy of all values.
    ///
    /// # Errors
    ///
    /// The store has stopped.
    pub fn snapshot(&self) -> Result<Snapshot, Error> {
        self.ask(Command::Snapshot)
    }

    /// Replaces all values by those of a snapshot, and discards the history of changes.
    pub fn restore(&self, snapshot: Snapshot) {
        let _ = self.commands.send(Command::Restore(snapshot));
    }

    fn ask<T>(&self, command: impl FnOnce(Sender<T>) -> Command) -> Result<T, Error> {
        let (reply, response) = mpsc::channel();
        self.commands.send(command(reply)).map_err(|_| Error::Stopped)?;
        response.recv().map_err(|_| Error::Stopped)
    }
}

fn serve_all(listener: TcpListener, commands: Sender<Command>) {
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let commands = commands.clone();
            thread::spawn(move || drop(serve(stream, &commands)));
        }
    });
}

fn serve(stream: TcpStream, commands: &Sender<Command>) -> Result<(), Error> {
    let (peer, at) = (stream.peer_addr()?, stream.local_addr()?);
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(head) = RequestHead::read(&mut reader, peer)? {
        let text = head.read_text(&mut reader, peer)?;
        let call = protocol::parse_call(&head, &text).ok_or(Error::Malformed(peer))?;
        let (reply, response) = mpsc::channel();
        let command = Command::Call { call, from: peer.ip(), at, reply };
        commands.send(command).map_err(|_| Error::Stopped)?;
        match response.recv().map_err(|_| Error::Stopped)? {
            ResponseAction::Respond(status, body, delay) => {
                thread::sleep(delay);
                let length = body.len();
                let text = format!(
                    "HTTP/1.1 {status} status\r\ncontent-length: {length}\r\n\
                     content-type: application/json\r\n\r\n{body}"
                );
                writer.write_all(text.as_bytes())?;
            }
            // After a lost response, nothing more is sent until the client closes the connection.
            ResponseAction::Silence => {
                let mut rest = String::new();
                return std::io::Read::read_to_string(&mut reader, &mut rest)
                    .map(drop)
                    .map_err(Error::from);
            }
            // Closing a socket with unread bytes sends a reset.
            ResponseAction::Reset => return Ok(()),
        }
    }
    Ok(())
}
