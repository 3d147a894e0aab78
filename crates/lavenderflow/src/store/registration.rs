//! Registers this node in the store and discovers other nodes there.
//!
//! The entries serve nodes that start: they find some node of the fleet, and learn the rest by
//! gossip. A node keeps its entry until it has joined. From then on only the delegates keep theirs,
//! and the other entries lapse, so that the load on the store does not grow with the fleet.

use std::net::SocketAddr;
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender};
use std::thread;

use lavenderflow_platform::store::LeaseId;

use super::{Backoff, Consistency, Store, StoreError};
use crate::error::NodeError;
use crate::message::FleetMessage;
use crate::prelude::*;

/// Prefix of the keys that hold the peer addresses of nodes.
const NODE_KEY_PREFIX: &str = "nodes/";
/// Time to live of the lease, and so of the entry of a failed node.
const LEASE_TTL: Duration = Duration::from_secs(10);
/// Interval of lease renewals, a few within the time to live.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(3);
/// Interval at which a node that has not joined searches for others, at first; it doubles with
/// each search, up to [`RENEWAL_INTERVAL`].
const SEARCH_INTERVAL: Duration = Duration::from_millis(500);
/// Renewals between two searches by a delegate, which join fleets that started separately.
const RENEWALS_PER_SEARCH: u32 = 5;
/// Sleep of a node without an entry; a change of its role wakes it.
const IDLE_WAIT: Duration = Duration::from_secs(3600);

/// Parameters of the registration thread.
#[derive(Clone, Debug)]
pub struct RegistrationSetup {
    /// The store.
    pub store: Store,
    /// Name of this node.
    pub name: String,
    /// Address at which other nodes reach this node.
    pub peer: SocketAddr,
    /// Mailbox of the actors.
    pub mailbox: Mailbox,
    /// The clock.
    pub clock: SharedClock,
}

/// The role of this node, which decides whether it needs an entry.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StoreRole {
    /// Whether the node has joined other nodes.
    pub joined: bool,
    /// Whether the node is a delegate of its zone.
    pub delegate: bool,
}

/// Handle of the registration thread, which ends when the handle is dropped.
#[derive(Debug)]
pub struct Registration {
    role: StoreRole,
    changes: Sender<StoreRole>,
}

impl Registration {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// The thread cannot be started.
    pub fn start(setup: RegistrationSetup) -> Result<Self, NodeError> {
        let (changes, received) = mpsc::channel();
        let task = RegistrationTask {
            setup,
            role: StoreRole::default(),
            lease: None,
            renewed_at: None,
            searches: 0,
            renewals: 0,
            backoff: Backoff::new(),
            failed: false,
        };
        let builder = thread::Builder::new().name("introducer".to_owned());
        builder.spawn(move || task.run(&received)).map_err(NodeError::Thread)?;
        Ok(Self { role: StoreRole::default(), changes })
    }

    /// Sets the role of this node.
    pub fn set_role(&mut self, role: StoreRole) {
        if self.role == role {
            return;
        }
        self.role = role;
        if self.changes.send(role).is_err() {
            log::warn!("event=introducer-gone");
        }
    }
}

struct RegistrationTask {
    setup: RegistrationSetup,
    role: StoreRole,
    lease: Option<LeaseId>,
    renewed_at: Option<Instant>,
    // Searches since the node last had peers.
    searches: u32,
    renewals: u32,
    backoff: Backoff,
    failed: bool,
}

impl RegistrationTask {
    fn run(mut self, changes: &Receiver<StoreRole>) {
        loop {
            let wait = match self.step() {
                Ok(wait) => {
                    if self.failed {
                        log::info!("event=store-regained prefix={NODE_KEY_PREFIX}");
                    }
                    self.failed = false;
                    self.backoff.reset();
                    wait
                }
                Err(fault) => {
                    if !self.failed {
                        log::warn!("event=store-lost prefix={NODE_KEY_PREFIX} fault={fault}");
                    }
                    self.failed = true;
                    self.setup.mailbox.send_blocking(Message::Count(Counter::Fault(Fault::Store)));
                    self.backoff.next()
                }
            };
            match changes.recv_timeout(wait) {
                Ok(role) => self.role = role,
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    /// Carries out one round of work and returns the time until the next.
    fn step(&mut self) -> Result<Duration, StoreError> {
        match self.role {
            StoreRole { joined: true, delegate: false } => {
                // The entry lapses: ending its lease would be one more call.
                self.lease = None;
                self.searches = 0;
                Ok(IDLE_WAIT)
            }
            StoreRole { joined: true, delegate: true } => {
                self.searches = 0;
                self.maintain_entry()?;
                self.renewals += 1;
                if self.renewals >= RENEWALS_PER_SEARCH {
                    self.renewals = 0;
                    self.search(Consistency::Stale)?;
                }
                Ok(RENEWAL_INTERVAL)
            }
            StoreRole { joined: false, .. } => {
                // The entry is written before the search: of two nodes that start at the same time,
                // the one that writes later finds the other.
                self.maintain_entry()?;
                self.search(Consistency::Linearizable)?;
                let wait = (SEARCH_INTERVAL * (1 << self.searches.min(8))).min(RENEWAL_INTERVAL);
                self.searches += 1;
                Ok(wait)
            }
        }
    }

    /// Renews the lease of the entry if that is due, or writes the entry if it has none.
    fn maintain_entry(&mut self) -> Result<(), StoreError> {
        let now = self.setup.clock.now();
        if let Some(lease) = self.lease {
            // Renewals may be a little early, as the rounds that make them are not exact.
            if self.renewed_at.is_some_and(|time| now < time + RENEWAL_INTERVAL / 2) {
                return Ok(());
            }
            self.renewed_at = Some(now);
            match self.setup.store.renew_lease(lease) {
                Err(StoreError::NotFound) => {
                    log::warn!("event=lease-lapsed lease={lease}");
                    self.lease = None;
                }
                result => return result,
            }
        }
        let RegistrationSetup { store, name, peer, .. } = &self.setup;
        let lease = store.grant_lease(LEASE_TTL)?;
        store.put_leased(&format!("{NODE_KEY_PREFIX}{name}"), &peer.to_string(), lease)?;
        self.lease = Some(lease);
        self.renewed_at = Some(now);
        Ok(())
    }

    fn search(&self, consistency: Consistency) -> Result<(), StoreError> {
        let listing = self.setup.store.list(NODE_KEY_PREFIX, consistency)?;
        let mut peers = Vec::new();
        for key in &listing.unreadable {
            log::warn!("event=entry-rejected key={key} fault=encoding");
        }
        for entry in &listing.entries {
            match entry.value.parse() {
                Ok(peer) => peers.push(peer),
                Err(fault) => log::warn!("event=entry-rejected key={} fault={fault}", entry.key),
            }
        }
        self.setup.mailbox.send_blocking(Message::Fleet(FleetMessage::RegisteredPeers(peers)));
        Ok(())
    }
}
