//! The thread that watches the store while its node is a delegate of its zone.

use std::net::SocketAddr;
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender};
use std::thread;

use lavenderflow_core::catalog::Document;
use lavenderflow_schema::convert::configuration;

use crate::error::NodeError;
use crate::message::FleetMessage;
use crate::prelude::*;
use crate::store::{Page, Store, StoreError, StoreRevision};

/// Prefix of the configuration's keys.
pub const CONFIGURATION: &str = "config/";
/// Prefix of the keys with peer addresses of each zone.
const INTRODUCTIONS: &str = "nodes/";
/// Time for which a watch waits.
const WATCH: Duration = Duration::from_secs(5);
/// First time to wait after a failure, doubled with each further one.
const FIRST_BACKOFF: Duration = Duration::from_millis(250);
/// Longest time to wait after a failure.
const MAX_BACKOFF: Duration = Duration::from_secs(8);
/// Interval at which a delegate reviews the introductions.
const INTRODUCE: Duration = Duration::from_secs(10);

/// What the fleet actor wants of the watcher.
#[derive(Clone, Debug, Default)]
pub struct WatchCommand {
    /// Whether this node is to watch the store.
    pub is_delegate: bool,
    /// Peer addresses to store for this node's zone.
    pub introduce: Vec<SocketAddr>,
}

#[derive(Debug)]
enum Command {
    Watch(WatchCommand),
    Restore(Document),
}

/// Sends commands to the watcher.
#[derive(Debug)]
pub struct Watcher(Sender<Command>);

impl Watcher {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// The thread cannot be started.
    pub fn start(
        store: Store,
        zone: ZoneName,
        clock: SharedClock,
        mailbox: Mailbox,
    ) -> Result<Self, NodeError> {
        let (sender, commands) = mpsc::channel();
        let task = Task {
            store,
            zone,
            mailbox,
            commands,
            command: WatchCommand::default(),
            after: None,
            introduced: None,
            backoff: FIRST_BACKOFF,
            clock,
        };
        let builder = thread::Builder::new().name("watcher".to_owned());
        builder.spawn(move || task.run()).map_err(NodeError::Thread)?;
        Ok(Self(sender))
    }

    /// Says whether to watch and what to introduce.
    pub fn send(&self, command: WatchCommand) {
        let _ = self.0.send(Command::Watch(command));
    }

    /// Puts a document back that the store has lost.
    pub fn restore(&self, document: Document) {
        let _ = self.0.send(Command::Restore(document));
    }
}

struct Task {
    store: Store,
    zone: ZoneName,
    mailbox: Mailbox,
    commands: Receiver<Command>,
    command: WatchCommand,
    after: Option<StoreRevision>,
    introduced: Option<Instant>,
    backoff: Duration,
    clock: SharedClock,
}

impl Task {
    fn run(mut self) {
        let mut is_open = true;
        while is_open {
            let result = self.step();
            let wait = match result {
                Ok(()) if self.command.is_delegate => {
                    self.backoff = FIRST_BACKOFF;
                    Duration::ZERO
                }
                Ok(()) => WATCH,
                Err(fault) => {
                    log::warn!("event=store-failed fault={fault}");
                    self.mailbox.send_blocking(Message::Count(Counter::Fault(Fault::Store)));
                    self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
                    self.backoff
                }
            };
            is_open = self.receive(wait);
        }
    }

    /// Introduces itself and others, then watches once.
    fn step(&mut self) -> Result<(), StoreError> {
        let now = self.clock.now();
        let is_first = self.introduced.is_none();
        let is_due = self.introduced.is_some_and(|time| now >= time + INTRODUCE);
        if is_first || (is_due && self.command.is_delegate) {
            self.introduce()?;
            self.introduced = Some(now);
        }
        if !self.command.is_delegate {
            self.after = None;
            return Ok(());
        }
        let wait = if self.after.is_some() { WATCH } else { Duration::ZERO };
        let page = self.store.list(CONFIGURATION, self.after.unwrap_or(0), wait)?;
        self.take(page);
        Ok(())
    }

    fn take(&mut self, page: Page) {
        // A store that was put back to an older copy has to be read anew.
        if self.after.is_some_and(|after| page.revision < after) {
            self.after = None;
            return;
        }
        let is_all = self.after.is_none();
        self.after = Some(page.revision);
        if page.entries.is_empty() && !is_all {
            return;
        }
        let documents = page.entries.iter().map(|entry| document(&entry.key, &entry.value));
        let message = FleetMessage::Stored(documents.collect(), is_all);
        self.mailbox.send_blocking(Message::Fleet(message));
    }

    fn introduce(&mut self) -> Result<(), StoreError> {
        let page = self.store.list(INTRODUCTIONS, 0, Duration::ZERO)?;
        let key = format!("{INTRODUCTIONS}{}", self.zone);
        let own = page.entries.iter().find(|entry| entry.key == key);
        let base = own.map_or(0, |entry| entry.revision);
        let stored: Vec<SocketAddr> = own.map(|e| addresses(&e.value)).unwrap_or_default();
        let all = page.entries.iter().flat_map(|entry| addresses(&entry.value)).collect();
        self.mailbox.send_blocking(Message::Fleet(FleetMessage::Introduced(all)));
        let wanted = &self.command.introduce;
        if !self.command.is_delegate || wanted.is_empty() || *wanted == stored {
            return Ok(());
        }
        let value = serde_json::to_string(wanted).unwrap_or_default();
        match self.store.put(&key, &value, base) {
            // The other delegate was faster; the next review compares again.
            Err(StoreError::Conflict) => Ok(()),
            other => other.map(|_| ()),
        }
    }

    /// Takes commands for `wait`, or until this node becomes a delegate; returns false when the
    /// node has stopped.
    fn receive(&mut self, wait: Duration) -> bool {
        let end = self.clock.now() + wait;
        loop {
            let left = end.saturating_duration_since(self.clock.now());
            match self.commands.recv_timeout(left) {
                Ok(Command::Watch(command)) => {
                    let is_promoted = command.is_delegate && !self.command.is_delegate;
                    self.command = command;
                    if is_promoted {
                        self.introduced = None;
                        return true;
                    }
                }
                Ok(Command::Restore(document)) => self.restore(&document),
                Err(RecvTimeoutError::Timeout) => return true,
                Err(RecvTimeoutError::Disconnected) => return false,
            }
        }
    }

    /// Puts an accepted value back into a store that holds an older one.
    fn restore(&mut self, lost: &Document) {
        let key = format!("{CONFIGURATION}{}", lost.key);
        let restored = self.store.get(&key).and_then(|stored| {
            let base = stored.as_ref().map_or(0, |entry| entry.revision);
            let known = stored.map_or(0, |entry| document(&key, &entry.value).revision);
            let text = String::from_utf8_lossy(&lost.text);
            if known < lost.revision {
                self.store.put(&key, &text, base).map(|_| ())
            } else {
                Ok(())
            }
        });
        if let Err(fault) = restored {
            log::warn!("event=restore-failed key={key} fault={fault}");
            // The next step reads everything anew and finds the old value again.
            self.after = None;
        }
    }
}

/// Returns the document in a stored value; one that cannot be parsed has revision 0 and is
/// rejected where it is checked.
fn document(key: &str, value: &str) -> Document {
    let revision = configuration::parse(value.as_bytes()).map_or(0, |stored| stored.revision);
    let key = key.strip_prefix(CONFIGURATION).unwrap_or(key);
    Document { key: key.into(), revision, text: value.as_bytes().into() }
}

fn addresses(value: &str) -> Vec<SocketAddr> {
    serde_json::from_str(value).unwrap_or_default()
}
