//! Decides which nodes watch the store, and reads it where no watcher confirms the configuration.

use lavenderflow_core::freshness::Confirmation;
use lavenderflow_core::gossip::{Exchange, PeerCursor};
use stakker::{CX, timer_min};

use super::FleetActor;
use crate::prelude::*;
use crate::store::StoreRole;

/// Nodes that watch the store for the fleet: more than one, so that a change is seen at once also
/// while some of them are down or cannot reach the store.
const DELEGATES: usize = 4;
/// Ping intervals after which a node without peers watches the store itself.
const LONE_PINGS: u32 = 4;

impl FleetActor {
    /// Tells the store threads whether this node has joined and whether it is a delegate.
    pub(super) fn update_store_role(&mut self) {
        let joined = self.roster.members().len() > 1;
        let may_watch = joined || self.ping_rounds > LONE_PINGS;
        let delegate = may_watch && self.roster.is_delegate(DELEGATES);
        self.watchers.iter_mut().for_each(|watcher| watcher.set_delegate(delegate));
        self.registration.set_role(StoreRole { joined, delegate });
    }

    /// Records whether a watcher reaches the store. While one does not, this node is marked as
    /// detached, so that another node becomes a delegate.
    pub(super) fn set_attached(&mut self, cx: CX![], prefix: &'static str, attached: bool) {
        if attached {
            self.detached_prefixes.swap_remove(prefix);
        } else {
            self.detached_prefixes.insert(prefix);
        }
        let is_detached = !self.detached_prefixes.is_empty();
        if self.roster.local().detached != is_detached {
            log::info!("event=store-path attached={attached} prefix={prefix}");
            self.roster.update_local(|local| local.detached = is_detached);
            let own = self.roster.local().node;
            self.notify_changed(cx, &[own]);
        }
    }

    /// Builds the next exchange for a peer.
    pub(super) fn compose(&mut self, peer: NodeId) -> (Exchange, PeerCursor) {
        let (mut exchange, cursor) = self.gossip.compose(&self.roster, &self.catalog, peer);
        exchange.confirmations = self.freshness.confirmations(self.roster.now());
        (exchange, cursor)
    }

    /// Records when the sources were last read, as a peer with the same documents reports it.
    pub(super) fn adopt_confirmations(&mut self, cx: CX![], confirmations: &[Confirmation]) {
        self.freshness.adopt(confirmations, self.roster.now());
        self.schedule_check(cx);
    }

    /// Schedules the next check, unless an earlier one is already scheduled.
    pub(super) fn schedule_check(&mut self, cx: CX![]) {
        let now = cx.now();
        if let Some(time) = self.freshness.time_to_read(now) {
            timer_min!(&mut self.freshness_timer, now + time, [cx], check_freshness());
        }
    }

    /// Reads the sources that have not been confirmed for too long.
    fn check_freshness(&mut self, cx: CX![]) {
        let now = self.roster.now();
        for name in self.freshness.take_due(now) {
            let watcher = self.watchers.iter().find(|watcher| watcher.prefix() == &*name);
            let Some(watcher) = watcher else { continue };
            let age = self.freshness.age(&name, now);
            let delegate = watcher.is_delegate();
            log::info!("event=configuration-aged prefix={name} age={age:?} delegate={delegate}");
            watcher.read();
        }
        self.schedule_check(cx);
    }
}
