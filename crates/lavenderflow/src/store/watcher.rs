//! Watches configuration in the store, and restores values that the store has lost.

use std::ops::Range;
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender};
use std::thread;

use lavenderflow_core::catalog::Document;

use super::{Backoff, Changes, ConfigSource, Consistency, Entry, Store, StoreError, StoreRevision};
use crate::error::NodeError;
use crate::message::FleetMessage;
use crate::prelude::*;

/// Sleep of a node that is no delegate: after the first read it receives changes from its peers. A
/// command wakes it.
const IDLE_WAIT: Duration = Duration::from_secs(3600);

/// Range of the wait of a watch, as a share of its timeout.
const WAIT: Range<f64> = 0.8..1.0;
/// The same after a change, which ends the watches of all delegates at the same time. Without a
/// wide range they would go on confirming at the same time.
const WAIT_AFTER_CHANGE: Range<f64> = 0.2..0.8;

/// Parameters of the watcher thread.
#[derive(Clone, Debug)]
pub struct WatcherSetup {
    /// The store.
    pub store: Store,
    /// The source to watch.
    pub source: ConfigSource,
    /// Mailbox of the actors.
    pub mailbox: Mailbox,
    /// The clock.
    pub clock: SharedClock,
}

#[derive(Debug)]
enum WatcherCommand {
    Delegate(bool),
    Read,
    Restore(Document),
}

/// Handle of the watcher thread, which ends when the handle is dropped.
#[derive(Debug)]
pub struct ConfigWatcher {
    commands: Sender<WatcherCommand>,
    prefix: &'static str,
    is_restorable: bool,
    is_delegate: bool,
}

impl ConfigWatcher {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// The thread cannot be started.
    pub fn start(setup: WatcherSetup) -> Result<Self, NodeError> {
        let (commands, received) = mpsc::channel();
        let ConfigSource { prefix, is_restorable, .. } = setup.source;
        let task = WatchTask {
            setup,
            commands: received,
            is_delegate: false,
            is_read_due: false,
            has_changed: false,
            last_revision: None,
            responded_at: None,
            backoff: Backoff::new(),
            failed: false,
        };
        let builder = thread::Builder::new().name("watcher".to_owned());
        builder.spawn(move || task.run()).map_err(NodeError::Thread)?;
        Ok(Self { commands, prefix, is_restorable, is_delegate: false })
    }

    /// Sets whether this node is a delegate, which watches the store for its zone.
    pub fn set_delegate(&mut self, is_delegate: bool) {
        if self.is_delegate != is_delegate {
            self.is_delegate = is_delegate;
            log::info!("event=store-watch prefix={} active={is_delegate}", self.prefix);
            self.send(WatcherCommand::Delegate(is_delegate));
        }
    }

    /// Reads the source once. Does nothing on a delegate, which watches it anyway.
    pub fn read(&self) {
        if !self.is_delegate {
            self.send(WatcherCommand::Read);
        }
    }

    /// Returns the key prefix of the source.
    pub fn prefix(&self) -> &'static str {
        self.prefix
    }

    /// Returns whether this node watches the source.
    pub fn is_delegate(&self) -> bool {
        self.is_delegate
    }

    /// Restores a document that the store has lost, if the source allows it.
    pub fn restore(&self, document: Document) {
        if self.is_restorable {
            self.send(WatcherCommand::Restore(document));
        }
    }

    fn send(&self, command: WatcherCommand) {
        if self.commands.send(command).is_err() {
            log::warn!("event=watcher-gone");
        }
    }
}

struct WatchTask {
    setup: WatcherSetup,
    commands: Receiver<WatcherCommand>,
    is_delegate: bool,
    is_read_due: bool,
    has_changed: bool,
    last_revision: Option<StoreRevision>,
    responded_at: Option<Instant>,
    backoff: Backoff,
    failed: bool,
}

impl WatchTask {
    fn run(mut self) {
        let mut is_open = true;
        while is_open {
            let is_single_read = std::mem::take(&mut self.is_read_due);
            let wait = match self.step(is_single_read) {
                Ok(confirmed_at) => {
                    if let Some(time) = confirmed_at {
                        self.backoff.reset();
                        self.record_result(None);
                        let prefix = self.setup.source.prefix;
                        let message = FleetMessage::StoreConfirmed { prefix, time };
                        self.setup.mailbox.send_blocking(Message::Fleet(message));
                    }
                    if self.is_delegate { Duration::ZERO } else { IDLE_WAIT }
                }
                Err(StoreError::Compacted) => {
                    log::info!("event=store-history-gone prefix={}", self.setup.source.prefix);
                    self.last_revision = None;
                    Duration::ZERO
                }
                // Another read is requested if nothing confirms the configuration.
                Err(fault) if is_single_read && !self.must_read() => {
                    let prefix = self.setup.source.prefix;
                    log::warn!("event=store-read-failed prefix={prefix} fault={fault}");
                    self.setup.mailbox.send_blocking(Message::Count(Counter::Fault(Fault::Store)));
                    IDLE_WAIT
                }
                Err(fault) => {
                    self.record_result(Some(&fault));
                    self.backoff.next()
                }
            };
            is_open = self.receive_commands(wait);
        }
    }

    /// Logs the loss and return of the store, and reports both to the fleet actor, so that other
    /// delegates can be chosen.
    fn record_result(&mut self, fault: Option<&StoreError>) {
        let prefix = self.setup.source.prefix;
        if self.failed != fault.is_some() {
            let message = FleetMessage::StoreConnection { prefix, attached: fault.is_none() };
            self.setup.mailbox.send_blocking(Message::Fleet(message));
        }
        match fault {
            Some(fault) if !self.failed => {
                let silence = self.responded_at.map(|time| self.setup.clock.now() - time);
                log::warn!(
                    "event=store-lost prefix={prefix} after={:?} silence={silence:?} fault={fault}",
                    self.last_revision
                );
            }
            None if self.failed => log::info!("event=store-regained prefix={prefix}"),
            _ => {}
        }
        self.failed = fault.is_some();
        if fault.is_some() {
            self.setup.mailbox.send_blocking(Message::Count(Counter::Fault(Fault::Store)));
        }
    }

    /// Returns whether this node must read all entries, until it succeeds.
    fn must_read(&self) -> bool {
        let is_needed = self.is_delegate || self.setup.source.is_read_early || self.failed;
        self.last_revision.is_none() && is_needed
    }

    /// Reads all entries, or waits for changes. Returns a time at which the source contained
    /// nothing newer; `None` if there was nothing to do, or if all entries must be read again.
    fn step(&mut self, is_single_read: bool) -> Result<Option<Instant>, StoreError> {
        let source = self.setup.source;
        let started = self.setup.clock.now();
        if is_single_read || self.must_read() {
            let listing = self.setup.store.list(source.prefix, Consistency::Linearizable)?;
            self.publish(&listing, true);
            return Ok(self.last_revision.map(|_| started));
        }
        let Some(after) = self.last_revision.filter(|_| self.is_delegate) else {
            return Ok(None);
        };
        let share = if self.has_changed { WAIT_AFTER_CHANGE } else { WAIT };
        let wait = source.watch_timeout().mul_f64(rand::random_range(share));
        let changes = self.setup.store.watch(source.prefix, after, wait).inspect_err(|fault| {
            // All entries are read in pages instead.
            if matches!(fault, StoreError::TooLarge) {
                self.last_revision = None;
            }
        })?;
        self.publish(&changes, false);
        // The response may have been on its way for any time since the end of the wait.
        let is_full_wait = changes.entries.is_empty() && self.setup.clock.now() >= started + wait;
        let time = if is_full_wait { started + wait } else { started };
        Ok(self.last_revision.map(|_| time))
    }

    fn publish(&mut self, changes: &Changes, is_all: bool) {
        self.responded_at = Some(self.setup.clock.now());
        // The store was restored from an older backup, so all entries must be read again.
        if self.last_revision.is_some_and(|after| changes.revision < after) {
            self.last_revision = None;
            return;
        }
        self.last_revision = Some(changes.revision);
        self.has_changed = !changes.entries.is_empty();
        for key in &changes.unreadable {
            log::warn!("event=value-rejected key={key} fault=encoding");
            let count = Counter::Fault(Fault::Configuration);
            self.setup.mailbox.send_blocking(Message::Count(count));
        }
        if changes.entries.is_empty() && changes.unreadable.is_empty() && !is_all {
            return;
        }
        let (mut documents, mut rejected) = (Vec::new(), Vec::new());
        // A value whose encoding cannot be read is rejected like one without content.
        let unreadable = changes.unreadable.iter().map(|key| Entry {
            key: key.clone(),
            revision: changes.revision,
            value: String::new(),
        });
        for entry in changes.entries.iter().cloned().chain(unreadable) {
            match (self.setup.source.decode)(&entry) {
                Ok(document) => documents.push(document),
                Err(rejection) => {
                    let (key, revision, fault) = (&entry.key, entry.revision, &rejection.fault);
                    log::warn!("event=value-rejected key={key} store={revision} fault={fault}");
                    rejected.push(rejection);
                    let count = Counter::Fault(Fault::Configuration);
                    self.setup.mailbox.send_blocking(Message::Count(count));
                }
            }
        }
        let message = FleetMessage::StoreRead {
            documents,
            rejected,
            is_complete: is_all && self.setup.source.is_restorable,
        };
        self.setup.mailbox.send_blocking(Message::Fleet(message));
    }

    /// Receives commands for at most `wait`; returns `false` if the handle was dropped.
    fn receive_commands(&mut self, wait: Duration) -> bool {
        let deadline = self.setup.clock.now() + wait;
        loop {
            let remaining = deadline.saturating_duration_since(self.setup.clock.now());
            match self.commands.recv_timeout(remaining) {
                Ok(WatcherCommand::Delegate(is_delegate)) => {
                    self.is_delegate = is_delegate;
                    if is_delegate || self.failed {
                        // A new delegate must read what changed in the meantime, and a node that
                        // lost the store must notice when it is back.
                        self.last_revision = None;
                    }
                    return true;
                }
                Ok(WatcherCommand::Read) => {
                    self.is_read_due = true;
                    return true;
                }
                Ok(WatcherCommand::Restore(document)) => self.restore(&document),
                Err(RecvTimeoutError::Timeout) => return true,
                Err(RecvTimeoutError::Disconnected) => return false,
            }
        }
    }

    /// Writes a document to the store if the store has an older one or none.
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
            // The next step reads all entries and finds the outdated one again.
            self.last_revision = None;
        }
    }
}
