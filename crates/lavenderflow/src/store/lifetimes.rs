//! Keeps the ended lifetimes of this VM's upstreams in the store, so that a restarted node does not
//! use an upstream again that has left.

use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender};
use std::thread;

use lavenderflow_core::upstream::{EndedLifetime, Lifetime};
use lavenderflow_platform::store::LeaseId;
use lavenderflow_schema::convert::state;
use tokio::sync::oneshot;

use super::{Backoff, Store, StoreError};
use crate::error::NodeError;
use crate::message::GateMessage;
use crate::prelude::*;

/// Prefix of the keys that hold the ended lifetimes, one key per node.
const LIFETIMES_KEY_PREFIX: &str = "lifetimes/";
/// Time for which ended lifetimes are kept; the longest lease of the store.
const LIFETIMES_TTL: Duration = Duration::from_secs(600);
/// Age of a lease from which a new one is used.
const LEASE_REUSE_TIME: Duration = Duration::from_secs(60);
/// Most lifetimes in a value.
const MAX_STORED_LIFETIMES: usize = 128;
/// Sleep without work; a command wakes the thread.
const IDLE_WAIT: Duration = Duration::from_secs(3600);

/// Parameters of the lifetime thread.
#[derive(Clone, Debug)]
pub struct LifetimeSetup {
    /// The store.
    pub store: Store,
    /// Name of this node.
    pub name: String,
    /// Mailbox of the actors.
    pub mailbox: Mailbox,
    /// The clock.
    pub clock: SharedClock,
}

#[derive(Debug)]
enum LifetimeCommand {
    Write(Vec<EndedLifetime>),
    Confirm(oneshot::Sender<()>),
}

/// Handle of the lifetime thread, which ends when the handle is dropped.
#[derive(Debug)]
pub struct LifetimeStore {
    commands: Sender<LifetimeCommand>,
}

impl LifetimeStore {
    /// Starts the thread, which first reads what an earlier process of this node has stored and
    /// sends it to the gate.
    ///
    /// # Errors
    ///
    /// The thread cannot be started.
    pub fn start(setup: LifetimeSetup) -> Result<Self, NodeError> {
        let (commands, received) = mpsc::channel();
        let task = LifetimeTask {
            key: format!("{LIFETIMES_KEY_PREFIX}{}", setup.name),
            setup,
            restored: None,
            unwritten: None,
            waiting: Vec::new(),
            lease: None,
            backoff: Backoff::new(),
            failed: false,
        };
        let builder = thread::Builder::new().name("lifetimes".to_owned());
        builder.spawn(move || task.run(&received)).map_err(NodeError::Thread)?;
        Ok(Self { commands })
    }

    /// Replaces the stored lifetimes.
    pub fn write(&self, ended: Vec<EndedLifetime>) {
        self.send(LifetimeCommand::Write(ended));
    }

    /// Notifies the sender once all earlier writes are in the store.
    pub fn confirm(&self, stored: oneshot::Sender<()>) {
        self.send(LifetimeCommand::Confirm(stored));
    }

    fn send(&self, command: LifetimeCommand) {
        if self.commands.send(command).is_err() {
            log::warn!("event=lifetime-store-gone");
        }
    }
}

struct LifetimeTask {
    key: String,
    setup: LifetimeSetup,
    // What an earlier process of this node has stored, and when it was read; `None` until then.
    restored: Option<(Vec<EndedLifetime>, Instant)>,
    unwritten: Option<Vec<EndedLifetime>>,
    // Senders that are notified once everything is written.
    waiting: Vec<oneshot::Sender<()>>,
    lease: Option<(LeaseId, Instant)>,
    backoff: Backoff,
    failed: bool,
}

impl LifetimeTask {
    fn run(mut self, commands: &Receiver<LifetimeCommand>) {
        loop {
            let wait = match self.step() {
                Ok(()) => {
                    if self.failed {
                        log::info!("event=store-regained prefix={LIFETIMES_KEY_PREFIX}");
                    }
                    self.failed = false;
                    self.backoff.reset();
                    IDLE_WAIT
                }
                Err(fault) => {
                    if !self.failed {
                        log::warn!("event=store-lost prefix={LIFETIMES_KEY_PREFIX} fault={fault}");
                    }
                    self.failed = true;
                    self.setup.mailbox.send_blocking(Message::Count(Counter::Fault(Fault::Store)));
                    self.backoff.next()
                }
            };
            match commands.recv_timeout(wait) {
                Ok(command) => {
                    self.accept(command);
                    commands.try_iter().for_each(|command| self.accept(command));
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    fn accept(&mut self, command: LifetimeCommand) {
        match command {
            LifetimeCommand::Write(ended) => self.unwritten = Some(ended),
            LifetimeCommand::Confirm(stored) => self.waiting.push(stored),
        }
    }

    /// Reads what is stored, if that has not succeeded yet, and writes what is not stored.
    fn step(&mut self) -> Result<(), StoreError> {
        if self.restored.is_none() {
            let restored = self.read()?;
            let read_at = self.setup.clock.now();
            let message = GateMessage::RestoreLifetimes(restored.clone());
            self.setup.mailbox.send_blocking(Message::Gate(message));
            self.restored = Some((restored, read_at));
        }
        if let Some(ended) = &self.unwritten {
            let text = self.encode(ended);
            let lease = self.lease()?;
            self.setup.store.put_leased(&self.key, &text, lease).inspect_err(|fault| {
                if matches!(fault, StoreError::NotFound) {
                    self.lease = None;
                }
            })?;
            self.unwritten = None;
        }
        for stored in self.waiting.drain(..) {
            // The send fails if the upstream no longer waits.
            let _ = stored.send(());
        }
        Ok(())
    }

    fn read(&self) -> Result<Vec<EndedLifetime>, StoreError> {
        let Some(entry) = self.setup.store.get(&self.key)? else {
            return Ok(Vec::new());
        };
        match state::decode_ended(&entry.value) {
            Ok(ended) => {
                log::info!("event=lifetimes-restored ended={}", ended.len());
                Ok(ended)
            }
            Err(fault) => {
                log::warn!("event=value-rejected key={} fault={fault}", self.key);
                Ok(Vec::new())
            }
        }
    }

    /// Encodes ended lifetimes, with the restored ones that the gate did not know yet. By the time
    /// for which they count, it has taken over the unordered ones, or has forgotten them.
    fn encode(&self, ended: &[EndedLifetime]) -> String {
        let now = self.setup.clock.now();
        let is_missing = |old: &&EndedLifetime| {
            !ended.iter().any(|new| {
                new.upstream == old.upstream && new.lifetime.generation == old.lifetime.generation
            })
        };
        let restored = self.restored.iter().flat_map(|(restored, read_at)| {
            let is_past = now >= *read_at + Lifetime::UNORDERED_TIME;
            restored.iter().filter(move |old| !is_past || old.lifetime != Lifetime::UNORDERED)
        });
        let restored = restored.filter(is_missing);
        let all: Vec<EndedLifetime> = restored.chain(ended).cloned().collect();
        let oldest = all.len().saturating_sub(MAX_STORED_LIFETIMES);
        state::encode_ended(&all[oldest..])
    }

    /// Returns a lease that lasts for most of the time for which lifetimes are kept.
    fn lease(&mut self) -> Result<LeaseId, StoreError> {
        let now = self.setup.clock.now();
        if let Some((lease, granted)) = self.lease
            && now < granted + LEASE_REUSE_TIME
        {
            return Ok(lease);
        }
        let lease = self.setup.store.grant_lease(LIFETIMES_TTL)?;
        self.lease = Some((lease, now));
        Ok(lease)
    }
}
