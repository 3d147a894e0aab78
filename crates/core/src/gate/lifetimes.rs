//! Tracks the upstreams of a gate: applies announcements in the order of their lifetimes and
//! remembers those that have ended.

use super::Gate;
use super::order::Order;
use crate::admission::GateAction;
use crate::prelude::*;
use crate::upstream::{
    AnnouncedPhase, Announcement, AnnouncementRefusal, AnyUpstream, EndedLifetime, Lifetime,
};

/// Most ended lifetimes that are remembered.
const MAX_ENDED_LIFETIMES: usize = 64;

impl Gate {
    /// Accepts announcements of ordered lifetimes only after [`Gate::restore_lifetimes`], or after
    /// `timeout`: before, a late one could bring an upstream back that has left.
    pub fn await_lifetimes(&mut self, timeout: Duration) {
        self.recovery_end = Some(self.clock.now() + timeout);
    }

    /// Takes over the lifetimes that had ended before the node started.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::sync::Arc;
    /// use std::time::{Duration, Instant};
    ///
    /// use lavenderflow_core::clock::ManualClock;
    /// use lavenderflow_core::gate::Gate;
    /// use lavenderflow_core::upstream::{EndedLifetime, Lifetime};
    ///
    /// let mut gate = Gate::new(1, Arc::new(ManualClock::new(Instant::now())));
    /// gate.await_lifetimes(Duration::from_secs(2));
    /// let lifetime = Lifetime { generation: 7, sequence: 2 };
    /// gate.restore_lifetimes(vec![EndedLifetime { upstream: "i-1".into(), lifetime }]);
    /// ```
    pub fn restore_lifetimes(&mut self, ended: Vec<EndedLifetime>) -> Vec<GateAction> {
        self.recovery_end = None;
        self.stored_lifetimes.extend(ended.iter().cloned());
        let end = self.clock.now() + Lifetime::UNORDERED_TIME;
        for EndedLifetime { upstream: id, lifetime } in ended {
            if lifetime == Lifetime::UNORDERED {
                self.unordered_ends.insert(id.clone(), end);
            }
            if let Some(upstream) = self.upstreams.swap_remove(&id) {
                let has_ended = lifetime.includes(upstream.common().lifetime());
                let upstream = if has_ended { upstream.supersede() } else { upstream };
                self.upstreams.insert(id.clone(), upstream);
            }
            self.remember(id, lifetime);
        }
        self.tick()
    }

    /// Applies an announcement, unless it is older than the known state.
    ///
    /// # Errors
    ///
    /// The announcement must be repeated, as it cannot be applied yet, or it contradicts an earlier
    /// one.
    pub fn announce(
        &mut self,
        announcement: &Announcement,
    ) -> Result<Vec<GateAction>, AnnouncementRefusal> {
        let now = self.clock.now();
        if self.is_recovering(now) && announcement.is_ordered() && !announcement.is_leaving() {
            return Err(AnnouncementRefusal::Recovering);
        }
        let (upstream, announced) = (announcement.id.clone(), Lifetime::of(announcement));
        let order = self.order(announcement);
        if order == Order::Outdated {
            return Ok(vec![GateAction::ReportOutdated { upstream, announced }]);
        }
        self.check_unchanged(announcement)?;
        let mut actions = match order {
            Order::Unclear if self.confirm_claim(announcement, now) => {
                let mut actions = vec![GateAction::ReportEarlierStart { upstream, announced }];
                actions.extend(self.apply(announcement, Order::Later, now));
                actions
            }
            // It has never been given work, so it has left once that is remembered.
            Order::Unclear
                if announcement.is_leaving() && !self.upstreams.contains_key(&upstream) =>
            {
                self.remember(upstream, announced);
                Vec::new()
            }
            Order::Unclear => return Err(AnnouncementRefusal::Unconfirmed),
            order => self.apply(announcement, order, now),
        };
        actions.extend(self.store_lifetimes());
        Ok(actions)
    }

    fn is_recovering(&self, now: Instant) -> bool {
        self.recovery_end.is_some_and(|end| now < end)
    }

    fn apply(
        &mut self,
        announcement: &Announcement,
        order: Order,
        now: Instant,
    ) -> Vec<GateAction> {
        self.claims.swap_remove(&announcement.id);
        if order == Order::Later && announcement.generation != 0 {
            self.end_replaced(announcement);
        }
        if announcement.phase == AnnouncedPhase::Deregistered {
            self.deregister(announcement, now);
            return self.tick();
        }
        self.services.entry(announcement.service.clone()).or_default();
        let upstream = match self.upstreams.swap_remove(&announcement.id) {
            Some(upstream) => upstream.renew(announcement, now),
            None => AnyUpstream::new(announcement, now),
        };
        self.upstreams.insert(announcement.id.clone(), upstream);
        self.tick()
    }

    /// Applies the deregistration of an upstream.
    fn deregister(&mut self, announcement: &Announcement, now: Instant) {
        match self.upstreams.swap_remove(&announcement.id) {
            Some(upstream) => {
                let upstream = upstream.renew(announcement, now);
                self.upstreams.insert(announcement.id.clone(), upstream);
            }
            None if announcement.is_ordered() => {
                self.remember(announcement.id.clone(), Lifetime::of(announcement));
            }
            None if !self.ended_lifetimes.iter().any(|ended| ended.upstream == announcement.id) => {
                let id = announcement.id.clone();
                self.unordered_ends.insert(id.clone(), now + Lifetime::UNORDERED_TIME);
                self.remember(id, Lifetime::UNORDERED);
            }
            None => {}
        }
    }

    /// Lets upstreams announce themselves again whose unordered ends are long past. Returns the
    /// action that stores the others, so that a later process does not hold them up again.
    pub(super) fn forget_unordered_ends(&mut self, now: Instant) -> Option<GateAction> {
        let ends = std::mem::take(&mut self.unordered_ends);
        let (past, left): (IndexMap<_, _>, IndexMap<_, _>) =
            ends.into_iter().partition(|(_, end)| now >= *end);
        self.unordered_ends = left;
        if past.is_empty() {
            return None;
        }
        self.ended_lifetimes.retain(|ended| {
            ended.lifetime != Lifetime::UNORDERED || !past.contains_key(&ended.upstream)
        });
        self.stored_lifetimes = self.final_lifetimes();
        Some(GateAction::StoreLifetimes(self.stored_lifetimes.clone()))
    }

    /// Returns the action that stores the ended lifetimes, if one has ended since the last call.
    pub(super) fn store_lifetimes(&mut self) -> Option<GateAction> {
        let ended = self.final_lifetimes();
        let identity = |ended: &EndedLifetime| (ended.upstream.clone(), ended.lifetime.generation);
        let known: IndexSet<_> = self.stored_lifetimes.iter().map(identity).collect();
        let is_new = ended.iter().any(|ended| !known.contains(&identity(ended)));
        if !is_new {
            return None;
        }
        self.stored_lifetimes.clone_from(&ended);
        Some(GateAction::StoreLifetimes(ended))
    }

    /// Returns the lifetimes that have ended, including those that still finish requests.
    fn final_lifetimes(&self) -> Vec<EndedLifetime> {
        let leaving = self.upstreams.iter().filter_map(|(id, upstream)| {
            let lifetime = upstream.common().final_lifetime()?;
            Some(EndedLifetime { upstream: id.clone(), lifetime })
        });
        let gone = self.ended_lifetimes.iter().cloned();
        gone.chain(leaving).filter(|ended| ended.lifetime.is_ordered()).collect()
    }

    /// Remembers an ended lifetime, so that late announcements do not bring the upstream back.
    fn remember(&mut self, upstream: UpstreamId, lifetime: Lifetime) {
        self.ended_lifetimes.retain(|ended| {
            ended.upstream != upstream || ended.lifetime.generation != lifetime.generation
        });
        if self.ended_lifetimes.len() >= MAX_ENDED_LIFETIMES {
            self.ended_lifetimes.remove(0);
        }
        self.ended_lifetimes.push(EndedLifetime { upstream, lifetime });
    }

    /// Removes upstreams that are leaving and have finished their requests.
    pub(super) fn remove_drained(&mut self) {
        let upstreams = std::mem::take(&mut self.upstreams);
        let (gone, left): (Vec<_>, Vec<_>) =
            upstreams.into_iter().partition(|(_, upstream)| upstream.is_drained());
        self.upstreams = left.into_iter().collect();
        for (id, upstream) in gone {
            if let Some(lifetime) = upstream.common().final_lifetime() {
                self.remember(id, lifetime);
            }
        }
    }

    /// Ends the earlier lifetime of an upstream, and the upstreams that had its address.
    fn end_replaced(&mut self, announcement: &Announcement) {
        let known = self.upstreams.swap_remove(&announcement.id);
        let known = known.map(|upstream| upstream.common().lifetime());
        if let Some(lifetime) = known.filter(|lifetime| lifetime.generation != 0) {
            self.remember(announcement.id.clone(), lifetime);
        }
        let upstreams = std::mem::take(&mut self.upstreams);
        let is_replaced = |u: &AnyUpstream| u.common().address == announcement.address;
        let upstreams = upstreams.into_iter();
        self.upstreams = upstreams
            .map(|(id, u)| if is_replaced(&u) { (id, u.supersede()) } else { (id, u) })
            .collect();
    }
}
