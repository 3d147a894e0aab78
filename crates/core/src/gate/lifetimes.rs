//! Tracks the upstreams of a gate: applies announcements in the order of their lifetimes and
//! remembers those that have ended.

use super::Gate;
use crate::admission::GateAction;
use crate::prelude::*;
use crate::upstream::{AnnouncedPhase, Announcement, AnyUpstream, Lifetime};

/// Most upstreams whose ended lifetimes are remembered.
const MAX_ENDED_LIFETIMES: usize = 64;

impl Gate {
    /// Applies an announcement, unless it is older than the known state.
    pub fn announce(&mut self, announcement: &Announcement) -> Vec<GateAction> {
        let now = self.clock.now();
        if self.is_outdated(announcement) {
            return Vec::new();
        }
        if announcement.phase == AnnouncedPhase::Deregistered {
            self.deregister(announcement, now);
            return self.tick();
        }
        self.services.entry(announcement.service.clone()).or_default();
        self.end_superseded(announcement);
        let known = self.upstreams.swap_remove(&announcement.id);
        let known = known.filter(|u| u.common().service == announcement.service);
        let upstream = match known.filter(|u| !u.is_superseded_by(announcement)) {
            Some(upstream) => upstream.renew(announcement, now),
            None => AnyUpstream::new(announcement, now),
        };
        self.upstreams.insert(announcement.id.clone(), upstream);
        self.tick()
    }

    fn is_outdated(&self, announcement: &Announcement) -> bool {
        let known = self.upstreams.get(&announcement.id);
        let ended = self.ended_lifetimes.get(&announcement.id);
        known.is_some_and(|upstream| upstream.is_outdated(announcement))
            || ended.is_some_and(|last| last.covers(announcement))
            // The announcement is late: a later lifetime has taken over its address.
            || self.upstreams.values().any(|upstream| {
                let common = upstream.common();
                common.address == announcement.address
                    && announcement.generation < common.generation
            })
    }

    /// Applies the deregistration of an upstream.
    fn deregister(&mut self, announcement: &Announcement, now: Instant) {
        match self.upstreams.swap_remove(&announcement.id) {
            Some(upstream) => {
                let upstream = upstream.renew(announcement, now);
                self.upstreams.insert(announcement.id.clone(), upstream);
            }
            None => self.remember(announcement.id.clone(), Lifetime::of(announcement)),
        }
    }

    /// Remembers an ended lifetime, so that late announcements do not bring the upstream back.
    fn remember(&mut self, id: UpstreamId, lifetime: Lifetime) {
        if self.ended_lifetimes.len() >= MAX_ENDED_LIFETIMES {
            self.ended_lifetimes.shift_remove_index(0);
        }
        self.ended_lifetimes.insert(id, lifetime);
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

    /// Ends the upstreams whose address belongs to a later lifetime.
    fn end_superseded(&mut self, announcement: &Announcement) {
        let upstreams = std::mem::take(&mut self.upstreams);
        let is_superseded = |id: &UpstreamId, upstream: &AnyUpstream| {
            *id != announcement.id
                && upstream.common().address == announcement.address
                && upstream.is_superseded_by(announcement)
        };
        let upstreams = upstreams.into_iter();
        self.upstreams = upstreams
            .map(|(id, u)| if is_superseded(&id, &u) { (id, u.supersede()) } else { (id, u) })
            .collect();
    }
}
