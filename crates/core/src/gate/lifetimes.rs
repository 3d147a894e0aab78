//! Which upstreams a gate has: announcements in the order of lifetimes, and those that left.

use super::Gate;
use crate::admission::GateAction;
use crate::prelude::*;
use crate::upstream::{AnnouncedPhase, Announcement, AnyUpstream, Lifetime};

/// Upstreams that are remembered after they said that they are gone.
const MAX_DEREGISTERED: usize = 64;

impl Gate {
    /// Takes in an announcement, unless it is older than what is known.
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
        let deregistered = self.deregistered.get(&announcement.id);
        known.is_some_and(|upstream| upstream.is_outdated(announcement))
            || deregistered.is_some_and(|last| last.covers(announcement))
            // A late announcement of an upstream whose address has a successor.
            || self.upstreams.values().any(|upstream| {
                let common = upstream.common();
                common.address == announcement.address && announcement.generation < common.generation
            })
    }

    /// Takes note that an upstream says it is gone.
    fn deregister(&mut self, announcement: &Announcement, now: Instant) {
        match self.upstreams.swap_remove(&announcement.id) {
            Some(upstream) => {
                let upstream = upstream.renew(announcement, now);
                self.upstreams.insert(announcement.id.clone(), upstream);
            }
            None => self.remember(announcement.id.clone(), Lifetime::of(announcement)),
        }
    }

    /// Remembers an upstream that left, so that its late announcements do not bring it back.
    fn remember(&mut self, id: UpstreamId, lifetime: Lifetime) {
        if self.deregistered.len() >= MAX_DEREGISTERED {
            self.deregistered.shift_remove_index(0);
        }
        self.deregistered.insert(id, lifetime);
    }

    /// Forgets upstreams that have left and finished their work.
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

    /// Ends the upstreams whose address a later lifetime has taken over.
    fn end_superseded(&mut self, announcement: &Announcement) {
        let upstreams = std::mem::take(&mut self.upstreams);
        let is_over = |id: &UpstreamId, upstream: &AnyUpstream| {
            *id != announcement.id
                && upstream.common().address == announcement.address
                && upstream.is_superseded_by(announcement)
        };
        let upstreams = upstreams.into_iter();
        self.upstreams = upstreams
            .map(|(id, u)| if is_over(&id, &u) { (id, u.supersede()) } else { (id, u) })
            .collect();
    }
}
