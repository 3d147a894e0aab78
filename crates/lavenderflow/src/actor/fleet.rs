//! The actor that owns the membership, the configuration and the gossip that replicates both.

mod configure;
mod flush;
mod freshness;
mod seeds;
mod status;

use std::net::SocketAddr;

use lavenderflow_core::budget::RetryAllowance;
use lavenderflow_core::catalog::{Catalog, RequestLimits};
use lavenderflow_core::deployment_change::AppliedRevision;
use lavenderflow_core::freshness::Freshness;
use lavenderflow_core::gate::ServiceOffer;
use lavenderflow_core::gossip::{Exchange, Gossip, PeerCursor};
use lavenderflow_core::roster::Roster;
use stakker::{Actor, CX, Fwd, MinTimerKey, after, call};
use tokio::sync::{oneshot, watch};

use super::counters::CountersActor;
use super::entry::EntryActor;
use super::gate::GateActor;
use crate::message::FleetMessage;
use crate::net::endpoint::{NetworkCommand, NetworkSender};
use crate::prelude::*;
use crate::store::{ConfigWatcher, Registration};

/// Interval at which the seeds are contacted, in ping intervals.
const SEED_INTERVAL_PINGS: u32 = 10;
/// Period over which the fleet may make the retries of the setting `burst`.
const RETRY_WINDOW: Duration = Duration::from_secs(10);
/// Fleet size, in nodes, that is assumed until more nodes are known.
const MIN_FLEET_NODES: usize = 16;
/// Ping intervals after which the node becomes ready even if neither peers nor the store have
/// replied.
const READY_TIMEOUT_PINGS: u32 = 20;
/// Most alternative nodes that a refused caller is told of.
const MAX_NEXT_NODES: usize = 3;

/// What the fleet actor is started with.
#[derive(Debug)]
pub struct FleetSetup {
    /// The membership, of this node alone.
    pub roster: Roster,
    /// Peer addresses from the settings.
    pub seeds: Vec<SocketAddr>,
    /// Interval of pings.
    pub ping_interval: Duration,
    /// Sends commands to the network task.
    pub network: NetworkSender,
    /// Maintains this node's entry in the store.
    pub registration: Registration,
    /// The watchers of the store.
    pub watchers: Vec<ConfigWatcher>,
    /// When the sources of configuration were last confirmed.
    pub freshness: Freshness,
    /// Profile of services that have none in the store.
    pub profile: Profile,
    /// Publishes the nodes that refused callers are told to try.
    pub next_nodes: watch::Sender<String>,
    /// Publishes the limits on callers' requests.
    pub limits: watch::Sender<RequestLimits>,
    /// Publishes the latest configuration.
    pub applied: watch::Sender<AppliedRevision>,
    /// Whether the node becomes ready with its first deployment, which has all routes.
    pub awaits_deployment: bool,
    /// Retries per service that the fleet may make beyond the share in the profile; with 0 each
    /// node has its own budget.
    pub burst: u64,
    /// Notified once the node can serve callers.
    pub ready: oneshot::Sender<()>,
}

/// Replicates the membership and the configuration, and applies changes of both.
pub struct FleetActor {
    roster: Roster,
    catalog: Catalog,
    gossip: Gossip,
    seeds: Vec<SocketAddr>,
    registered_peers: IndexSet<SocketAddr>,
    contacting: IndexSet<SocketAddr>,
    ping_interval: Duration,
    network: NetworkSender,
    registration: Registration,
    watchers: Vec<ConfigWatcher>,
    freshness: Freshness,
    freshness_timer: MinTimerKey,
    detached_prefixes: IndexSet<&'static str>,
    next_nodes: watch::Sender<String>,
    limits: watch::Sender<RequestLimits>,
    applied: watch::Sender<AppliedRevision>,
    awaits_deployment: bool,
    burst: u64,
    rejected_count: usize,
    fleet_size: usize,
    ready: Option<oneshot::Sender<()>>,
    entry: Actor<EntryActor>,
    gate: Option<Actor<GateActor>>,
    on_ready: Option<Fwd<()>>,
    counters: Actor<CountersActor>,
    profiles: IndexMap<ServiceName, Profile>,
    pinging: IndexSet<NodeId>,
    known_expelled: IndexSet<NodeId>,
    is_isolated: bool,
    // Whether this process has known at least half of the nodes that the store listed.
    has_joined: bool,
    ping_rounds: u32,
    flush_timer: MinTimerKey,
    flushed_at: Option<Instant>,
}

impl FleetActor {
    /// Starts the actor.
    pub fn init(
        cx: CX![],
        setup: FleetSetup,
        entry: Actor<EntryActor>,
        counters: Actor<CountersActor>,
    ) -> Option<Self> {
        let mut fleet = Self {
            roster: setup.roster,
            catalog: Catalog::new(setup.profile),
            gossip: Gossip::default(),
            seeds: setup.seeds,
            registered_peers: IndexSet::new(),
            contacting: IndexSet::new(),
            ping_interval: setup.ping_interval,
            network: setup.network,
            registration: setup.registration,
            watchers: setup.watchers,
            freshness: setup.freshness,
            freshness_timer: MinTimerKey::default(),
            detached_prefixes: IndexSet::new(),
            next_nodes: setup.next_nodes,
            limits: setup.limits,
            applied: setup.applied,
            awaits_deployment: setup.awaits_deployment,
            burst: setup.burst,
            rejected_count: 0,
            fleet_size: 0,
            ready: Some(setup.ready),
            entry,
            gate: None,
            on_ready: None,
            counters,
            profiles: IndexMap::new(),
            pinging: IndexSet::new(),
            known_expelled: IndexSet::new(),
            is_isolated: false,
            has_joined: false,
            ping_rounds: 0,
            flush_timer: MinTimerKey::default(),
            flushed_at: None,
        };
        fleet.run_round(cx);
        fleet.schedule_check(cx);
        Some(fleet)
    }

    /// Sets the gate actor, which starts after this one.
    pub fn set_gate(&mut self, _: CX![], gate: Actor<GateActor>) {
        self.gate = Some(gate);
    }

    /// Sets a callback for when the node becomes ready; called at once if it already is.
    pub fn set_on_ready(&mut self, _: CX![], on_ready: Fwd<()>) {
        if self.ready.is_none() {
            on_ready.fwd(());
        }
        self.on_ready = Some(on_ready);
    }

    /// Handles a message.
    pub fn handle(&mut self, cx: CX![], message: FleetMessage) {
        match message {
            FleetMessage::Exchange(exchange, reply) => {
                let peer = exchange.sender;
                self.merge_exchange(cx, exchange);
                let (response, cursor) = self.compose(peer);
                // If the response is lost, digests make up for it.
                self.gossip.mark_delivered(peer, cursor);
                let _ = reply.send(response);
            }
            FleetMessage::PingEnded(node, cursor, reply) => self.end_ping(cx, node, cursor, reply),
            FleetMessage::SeedContacted(address, reply) => {
                self.contacting.swap_remove(&address);
                if let Some(exchange) = reply {
                    self.merge_exchange(cx, exchange);
                }
            }
            FleetMessage::StoreRead { documents, rejected, is_complete } => {
                rejected.into_iter().for_each(|rejection| self.catalog.reject(rejection));
                self.merge_stored(cx, documents, is_complete);
            }
            FleetMessage::StoreConfirmed { prefix, time } => {
                self.freshness.confirm(prefix, time, self.roster.now());
                self.schedule_check(cx);
            }
            FleetMessage::StoreConnection { prefix, attached } => {
                self.set_attached(cx, prefix, attached);
            }
            FleetMessage::RegisteredPeers(addresses) => {
                let own = self.roster.local().peer_address;
                self.registered_peers = addresses.into_iter().filter(|peer| *peer != own).collect();
                self.contact_seeds();
            }
            FleetMessage::Documents(reply) => {
                let documents = self.catalog.documents().iter();
                let _ = reply.send(documents.map(|(_, document)| document.clone()).collect());
            }
        }
    }

    /// Sets the service offers of this node's gate and gossips them.
    pub fn set_offers(&mut self, cx: CX![], offers: Vec<ServiceOffer>) {
        self.roster.update_local(|local| local.offers = offers);
        let own = self.roster.local().node;
        self.notify_changed(cx, &[own]);
    }

    /// Marks this node as leaving, so that other nodes send it no new work.
    pub fn leave(&mut self, cx: CX![]) {
        self.roster.update_local(|local| local.leaving = true);
        let own = self.roster.local().node;
        self.notify_changed(cx, &[own]);
    }

    /// Pings the subjects; every few rounds, contacts seeds and purges expelled nodes.
    fn run_round(&mut self, cx: CX![]) {
        after!(self.ping_interval, [cx], run_round());
        self.ping_rounds = self.ping_rounds.wrapping_add(1);
        for node in self.roster.subjects() {
            self.ping(node);
        }
        if self.ping_rounds > READY_TIMEOUT_PINGS && !self.awaits_deployment {
            self.set_ready();
        }
        let is_alone = self.roster.members().len() < 2;
        if is_alone || self.ping_rounds % SEED_INTERVAL_PINGS == 1 {
            self.contact_seeds();
            for node in self.roster.purge_expelled() {
                self.remove_node(node);
            }
        }
        self.update_store_role();
        self.update_isolation();
    }

    /// Tells the entry when this node becomes isolated: it reaches few of its subjects, or has not
    /// met half of the nodes that were registered in the store when it started.
    fn update_isolation(&mut self) {
        let registered = self.registered_peers.len();
        let has_met_half = self.roster.members().len() * 2 > registered;
        self.has_joined |= registered > 0 && has_met_half;
        let is_isolated = (!self.has_joined && !has_met_half) || self.roster.is_isolated();
        if is_isolated != self.is_isolated {
            self.is_isolated = is_isolated;
            let entry = &self.entry;
            call!([entry], set_isolated(is_isolated));
        }
    }

    fn remove_node(&mut self, node: NodeId) {
        log::info!("event=node-forgotten node={node:x}");
        self.known_expelled.swap_remove(&node);
        let entry = &self.entry;
        call!([entry], remove_node(node));
        self.send(NetworkCommand::RemoveNode(node));
    }

    fn ping(&mut self, node: NodeId) {
        // One exchange at a time per peer: the reply confirms what the peer has received.
        if !self.pinging.insert(node) {
            return;
        }
        let (exchange, cursor) = self.compose(node);
        if !self.send(NetworkCommand::Ping(node, exchange, cursor)) {
            self.pinging.swap_remove(&node);
        }
    }

    fn end_ping(&mut self, cx: CX![], node: NodeId, cursor: PeerCursor, reply: Option<Exchange>) {
        self.pinging.swap_remove(&node);
        let Some(exchange) = reply else {
            if self.roster.ping_failed(node) {
                log::info!("event=doubt subject={node:x}");
                self.notify_changed(cx, &[node]);
            }
            return;
        };
        self.gossip.mark_delivered(node, cursor);
        if self.roster.ping_succeeded(node) {
            log::info!("event=doubt-withdrawn subject={node:x}");
            self.notify_changed(cx, &[node]);
        }
        self.merge_exchange(cx, exchange);
    }

    /// Merges an exchange from a peer.
    fn merge_exchange(&mut self, cx: CX![], mut exchange: Exchange) {
        let source = exchange.sender;
        let members = std::mem::take(&mut exchange.members);
        let nodes = self.roster.merge(members, std::mem::take(&mut exchange.suspicions), source);
        for node in self.roster.take_superseded() {
            self.remove_node(node);
        }
        let mut has_changed = false;
        for document in std::mem::take(&mut exchange.documents) {
            self.gossip.mark_received(&document);
            has_changed |= self.apply_document(document, Some(source));
        }
        self.gossip.compare_summaries(&self.roster, &self.catalog, &exchange);
        // Equal summaries: the peer has no document that this node lacks.
        if self.catalog.documents().summary() == exchange.summaries[1] {
            self.adopt_confirmations(cx, &exchange.confirmations);
            if !self.awaits_deployment {
                self.set_ready();
            }
        }
        if has_changed || !nodes.is_empty() {
            self.notify_changed(cx, &nodes);
        }
        if self.gossip.has_pending(&self.roster, &self.catalog, source) {
            self.schedule_flush(cx);
        }
    }

    /// Tells the entry and the network task about changed nodes, and schedules the gossip of the
    /// changes.
    fn notify_changed(&mut self, cx: CX![], nodes: &[NodeId]) {
        // Expelling a node can change the state of others, so every node that was expelled or
        // readmitted is passed on.
        let expelled: IndexSet<NodeId> = self.roster.expelled().map(|(node, _)| node).collect();
        let affected: IndexSet<NodeId> =
            nodes.iter().chain(&expelled).chain(&self.known_expelled).copied().collect();
        for node in affected {
            let Some(member) = self.roster.members().get(&node) else { continue };
            let is_expelled = expelled.contains(&node);
            if nodes.contains(&node) || is_expelled != self.known_expelled.contains(&node) {
                self.send(NetworkCommand::SetAddress(
                    node,
                    member.incarnation,
                    member.peer_address,
                ));
                let (entry, member) = (&self.entry, member.clone());
                call!([entry], set_node(member, is_expelled));
            }
        }
        self.known_expelled = expelled;
        self.update_isolation();
        self.update_store_role();
        self.update_retry_allowance();
        nodes.iter().for_each(|node| self.set_new_profiles(*node));
        self.update_next_nodes();
        let subjects = self.roster.subjects();
        self.gossip
            .retain(|node| subjects.contains(&node) || self.roster.members().get(&node).is_some());
        self.schedule_flush(cx);
    }

    /// Sets this node's part of the retries that the fleet may make.
    ///
    /// Divides by the largest fleet size seen, as unreachable nodes may still retry.
    fn update_retry_allowance(&mut self) {
        let size = self.roster.members().len().max(MIN_FLEET_NODES);
        if self.burst == 0 || size <= self.fleet_size {
            return;
        }
        self.fleet_size = size;
        let entry = &self.entry;
        let allowance = RetryAllowance::per_node(self.burst, RETRY_WINDOW, size);
        call!([entry], set_retry_allowance(allowance));
    }

    fn update_next_nodes(&self) {
        // Each node has different subjects, which spreads refused callers over the fleet.
        let subjects = self.roster.subjects();
        let members = subjects.iter().filter_map(|node| self.roster.members().get(node));
        let others =
            members.filter(|member| !member.leaving && !self.roster.is_expelled(member.node));
        let urls: Vec<String> = others
            .take(MAX_NEXT_NODES)
            .map(|member| format!("http://{}", member.caller_address))
            .collect();
        self.next_nodes.send_replace(urls.join(", "));
    }

    /// Sends a command; returns false if the network task's channel is full or closed.
    fn send(&self, command: NetworkCommand) -> bool {
        let sent = self.network.try_send(command);
        if let Err(fault) = &sent {
            log::warn!("event=network-behind fault={fault:?}");
        }
        sent.is_ok()
    }
}
