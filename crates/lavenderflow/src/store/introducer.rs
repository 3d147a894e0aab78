//! The thread that introduces this node to the others by an entry in the store.
//!
//! Entries serve nodes that start: they find some node of the fleet, and gossip brings the rest.
//! A node keeps its entry until it has joined; from then on only the delegates of each zone do, so
//! the store is not asked more by more nodes.

use std::net::SocketAddr;
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender};
use std::thread;

use lavenderflow_platform::store::LeaseId;

use super::{Backoff, Consistency, Store, StoreError};
use crate::error::NodeError;
use crate::message::FleetMessage;
use crate::prelude::*;

/// Prefix of the keys with the peer addresses of nodes.
const NODES: &str = "nodes/";
/// How long an entry outlives its node.
const LEASE: Duration = Duration::from_secs(10);
/// Interval at which the lease is renewed, a few times within it.
const RENEW: Duration = Duration::from_secs(3);
/// Interval at which a node that has not joined looks for others.
const SEARCH: Duration = Duration::from_millis(500);
/// Renewals after which a delegate looks for others: this joins fleets that started apart.
const REVIEW_RENEWALS: u32 = 5;
/// Sleep of a node whose entry is not needed; a change of its standing wakes it.
const IDLE: Duration = Duration::from_secs(3600);

/// What an introducer is started with.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The store.
    pub store: Store,
    /// Name of this node.
    pub name: String,
    /// Where other nodes reach it.
    pub peer: SocketAddr,
    /// To the actors.
    pub mailbox: Mailbox,
}

/// How much the fleet needs this node's entry.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Standing {
    /// Whether it knows other nodes.
    pub joined: bool,
    /// Whether it is one of its zone's delegates.
    pub delegate: bool,
}

/// Tells the thread how much the entry is needed; the thread ends with it.
#[derive(Debug)]
pub struct Introducer {
    standing: Standing,
    changes: Sender<Standing>,
}

impl Introducer {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// The thread cannot be started.
    pub fn start(setup: Setup) -> Result<Self, NodeError> {
        let (changes, received) = mpsc::channel();
        let task = Task {
            setup,
            standing: Standing::default(),
            lease: None,
            renewals: 0,
            backoff: Backoff::new(),
            failed: false,
        };
        let builder = thread::Builder::new().name("introducer".to_owned());
        builder.spawn(move || task.run(&received)).map_err(NodeError::Thread)?;
        Ok(Self { standing: Standing::default(), changes })
    }

    /// Says how much the entry is needed.
    pub fn set_standing(&mut self, standing: Standing) {
        if self.standing == standing {
            return;
        }
        self.standing = standing;
        if self.changes.send(standing).is_err() {
            log::warn!("event=introducer-gone");
        }
    }
}

struct Task {
    setup: Setup,
    standing: Standing,
    lease: Option<LeaseId>,
    renewals: u32,
    backoff: Backoff,
    failed: bool,
}

impl Task {
    fn run(mut self, changes: &Receiver<Standing>) {
        loop {
            let wait = match self.step() {
                Ok(wait) => {
                    if self.failed {
                        log::info!("event=store-regained prefix={NODES}");
                    }
                    self.failed = false;
                    self.backoff.reset();
                    wait
                }
                Err(fault) => {
                    if !self.failed {
                        log::warn!("event=store-lost prefix={NODES} fault={fault}");
                    }
                    self.failed = true;
                    self.setup.mailbox.send_blocking(Message::Count(Counter::Fault(Fault::Store)));
                    self.backoff.next()
                }
            };
            match changes.recv_timeout(wait) {
                Ok(standing) => self.standing = standing,
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    /// Does what is due and returns when to look again.
    fn step(&mut self) -> Result<Duration, StoreError> {
        match self.standing {
            Standing { joined: true, delegate: false } => {
                self.withdraw()?;
                Ok(IDLE)
            }
            Standing { joined: true, delegate: true } => {
                self.keep()?;
                self.renewals += 1;
                if self.renewals >= REVIEW_RENEWALS {
                    self.renewals = 0;
                    self.search(Consistency::Stale)?;
                }
                Ok(RENEW)
            }
            Standing { joined: false, .. } => {
                // Of two nodes that start together, the one that writes later finds the other.
                self.keep()?;
                self.search(Consistency::Linearizable)?;
                Ok(SEARCH)
            }
        }
    }

    /// Renews the entry, or writes it if there is none.
    fn keep(&mut self) -> Result<(), StoreError> {
        if let Some(lease) = self.lease {
            match self.setup.store.renew_lease(lease) {
                Err(StoreError::NotFound) => {
                    log::warn!("event=lease-lapsed lease={lease}");
                    self.lease = None;
                }
                kept => return kept,
            }
        }
        let Setup { store, name, peer, .. } = &self.setup;
        let lease = store.grant_lease(LEASE)?;
        store.put_leased(&format!("{NODES}{name}"), &peer.to_string(), lease)?;
        self.lease = Some(lease);
        Ok(())
    }

    fn withdraw(&mut self) -> Result<(), StoreError> {
        if let Some(lease) = self.lease {
            self.setup.store.revoke_lease(lease)?;
            self.lease = None;
        }
        Ok(())
    }

    fn search(&self, consistency: Consistency) -> Result<(), StoreError> {
        let listing = self.setup.store.list(NODES, consistency)?;
        let mut peers = Vec::new();
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
