//! The thread that watches configuration in the store.

use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender};
use std::thread;

use lavenderflow_core::catalog::Document;

use super::{Backoff, Changes, Consistency, Source, Store, StoreError, StoreRevision};
use crate::error::NodeError;
use crate::message::FleetMessage;
use crate::prelude::*;

/// Sleep of a node that has read everything once and hears of changes from its peers; a command
/// wakes it.
const IDLE: Duration = Duration::from_secs(3600);

/// What a watcher is started with.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The store.
    pub store: Store,
    /// What to watch.
    pub source: Source,
    /// To the actors.
    pub mailbox: Mailbox,
    /// The clock.
    pub clock: SharedClock,
}

#[derive(Debug)]
enum Command {
    Delegate(bool),
    Restore(Document),
}

/// Sends commands to the thread.
#[derive(Debug)]
pub struct Watcher {
    commands: Sender<Command>,
    restores: bool,
    is_delegate: bool,
}

impl Watcher {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// The thread cannot be started.
    pub fn start(setup: Setup) -> Result<Self, NodeError> {
        let (commands, received) = mpsc::channel();
        let restores = setup.source.restores;
        let task = Task {
            setup,
            commands: received,
            is_delegate: false,
            after: None,
            backoff: Backoff::new(),
            failed: false,
        };
        let builder = thread::Builder::new().name("watcher".to_owned());
        builder.spawn(move || task.run()).map_err(NodeError::Thread)?;
        Ok(Self { commands, restores, is_delegate: false })
    }

    /// Says whether this node watches for its zone.
    pub fn set_delegate(&mut self, is_delegate: bool) {
        if self.is_delegate != is_delegate {
            self.is_delegate = is_delegate;
            self.send(Command::Delegate(is_delegate));
        }
    }

    /// Puts a document back that the store has lost, if it comes from this source.
    pub fn restore(&self, document: Document) {
        if self.restores {
            self.send(Command::Restore(document));
        }
    }

    fn send(&self, command: Command) {
        if self.commands.send(command).is_err() {
            log::warn!("event=watcher-gone");
        }
    }
}

struct Task {
    setup: Setup,
    commands: Receiver<Command>,
    is_delegate: bool,
    after: Option<StoreRevision>,
    backoff: Backoff,
    failed: bool,
}

impl Task {
    fn run(mut self) {
        let mut is_open = true;
        while is_open {
            let wait = match self.step() {
                Ok(()) => {
                    self.backoff.reset();
                    self.note(None);
                    if self.is_delegate { Duration::ZERO } else { IDLE }
                }
                Err(StoreError::Compacted) => {
                    log::info!("event=store-history-gone prefix={}", self.setup.source.prefix);
                    self.after = None;
                    Duration::ZERO
                }
                Err(fault) => {
                    self.note(Some(&fault));
                    self.backoff.next()
                }
            };
            is_open = self.receive(wait);
        }
    }

    /// Logs when the store is lost or regained, and lets the fleet choose other delegates.
    fn note(&mut self, fault: Option<&StoreError>) {
        let prefix = self.setup.source.prefix;
        if self.failed != fault.is_some() {
            let message = FleetMessage::StoreConnection { prefix, attached: fault.is_none() };
            self.setup.mailbox.send_blocking(Message::Fleet(message));
        }
        match fault {
            Some(fault) if !self.failed => {
                log::warn!("event=store-lost prefix={prefix} after={:?} fault={fault}", self.after);
            }
            None if self.failed => log::info!("event=store-regained prefix={prefix}"),
            _ => {}
        }
        self.failed = fault.is_some();
        if fault.is_some() {
            self.setup.mailbox.send_blocking(Message::Count(Counter::Fault(Fault::Store)));
        }
    }

    /// Reads everything, or waits for a change.
    fn step(&mut self) -> Result<(), StoreError> {
        let Source { prefix, watch, .. } = self.setup.source;
        let Some(after) = self.after else {
            let listing = self.setup.store.list(prefix, Consistency::Linearizable)?;
            self.take(&listing, true);
            return Ok(());
        };
        if !self.is_delegate {
            return Ok(());
        }
        let changes = self.setup.store.watch(prefix, after, watch)?;
        self.take(&changes, false);
        Ok(())
    }

    fn take(&mut self, changes: &Changes, is_all: bool) {
        // A store that was put back to an older copy has to be read anew.
        if self.after.is_some_and(|after| changes.revision < after) {
            self.after = None;
            return;
        }
        self.after = Some(changes.revision);
        if changes.entries.is_empty() && !is_all {
            return;
        }
        let mut documents = Vec::new();
        for entry in &changes.entries {
            match (self.setup.source.decode)(entry) {
                Ok(document) => documents.push(document),
                Err(fault) => {
                    let (key, revision) = (&entry.key, entry.revision);
                    log::warn!("event=value-rejected key={key} store={revision} fault={fault}");
                    let count = Counter::Fault(Fault::Configuration);
                    self.setup.mailbox.send_blocking(Message::Count(count));
                }
            }
        }
        let message = FleetMessage::StoreRead {
            documents,
            is_complete: is_all && self.setup.source.restores,
        };
        self.setup.mailbox.send_blocking(Message::Fleet(message));
    }

    /// Takes commands for `wait`; returns false when the node has stopped.
    fn receive(&mut self, wait: Duration) -> bool {
        let end = self.setup.clock.now() + wait;
        loop {
            let left = end.saturating_duration_since(self.setup.clock.now());
            match self.commands.recv_timeout(left) {
                Ok(Command::Delegate(is_delegate)) => {
                    self.is_delegate = is_delegate;
                    if is_delegate || self.failed {
                        // What changed in between is read anew, and a node that does not reach
                        // the store finds out when it does again.
                        self.after = None;
                    }
                    return true;
                }
                Ok(Command::Restore(document)) => self.restore(&document),
                Err(RecvTimeoutError::Timeout) => return true,
                Err(RecvTimeoutError::Disconnected) => return false,
            }
        }
    }

    /// Puts an accepted value back into a store that holds an older one.
    fn restore(&mut self, lost: &Document) {
        let store = &self.setup.store;
        let key = format!("{}{}", self.setup.source.prefix, lost.key);
        let decode = self.setup.source.decode;
        let restored = store.get(&key).and_then(|stored| {
            let base = stored.as_ref().map_or(0, |entry| entry.revision);
            let known = stored.and_then(|entry| decode(&entry).ok()).map_or(0, |d| d.revision);
            let text = String::from_utf8_lossy(&lost.text);
            if known < lost.revision {
                store.compare_and_swap(&key, &text, base).map(drop)
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
