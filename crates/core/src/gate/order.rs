//! Orders announcements of the lifetimes of one upstream, and of upstreams with the same address.
//!
//! Lifetimes are ordered by their start times, which the upstream takes from the time of day. That
//! can go back, so a lifetime with an earlier start time can be the later one. It is told from late
//! announcements by going on to announce itself while the other one is silent.

use super::Gate;
use crate::prelude::*;
use crate::upstream::{AnnouncedPhase, Announcement, AnnouncementRefusal, AnyUpstream, Lifetime};

/// Share of an upstream's lease for which a lifetime with an earlier start time must go on to
/// announce itself, as a divisor: two of the platform's heartbeats.
const CLAIM_LEASE_DIVISOR: u32 = 10;
/// Most upstreams whose claims are remembered.
const MAX_CLAIMS: usize = 64;

/// How an announcement relates to what is known of its upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Order {
    /// It is late, or its lifetime has ended.
    Outdated,
    /// It belongs to the known lifetime.
    Current,
    /// It belongs to a later lifetime.
    Later,
    /// Its lifetime started earlier than a known one, by the time of day.
    Unclear,
}

/// A lifetime that announces itself although a known one has a later start time.
#[derive(Debug)]
pub(super) struct Claim {
    lifetime: Lifetime,
    since: Instant,
}

impl Gate {
    pub(super) fn order(&self, announcement: &Announcement) -> Order {
        let announced = Lifetime::of(announcement);
        let id = &announcement.id;
        let mut ended = self.ended_lifetimes.iter().filter(|ended| ended.upstream == *id);
        if ended.clone().any(|ended| ended.lifetime.includes(announced)) {
            return Order::Outdated;
        }
        let known = self.upstreams.get(id);
        let order = match known {
            Some(upstream) => order_of_known(upstream, announcement),
            None if ended.any(|ended| announced.starts_before(ended.lifetime)) => Order::Unclear,
            None => Order::Later,
        };
        let has_rival =
            self.rivals(announcement).any(|u| announced.starts_before(u.common().lifetime()));
        match order {
            Order::Current | Order::Later if has_rival => Order::Unclear,
            Order::Current | Order::Later
                if announced.generation == 0 && self.is_taken(announcement) =>
            {
                Order::Outdated
            }
            order => order,
        }
    }

    /// Checks that an announcement of a known upstream changes only what may change.
    ///
    /// A service is never changed: work of the known service may be on its way to the upstream, and
    /// another writer's announcement must not hand it work of a service that it does not run. It
    /// may be another one once the known upstream has left.
    ///
    /// # Errors
    ///
    /// A field contradicts what the upstream has announced.
    pub(super) fn check_unchanged(
        &self,
        announcement: &Announcement,
    ) -> Result<(), AnnouncementRefusal> {
        let Some(known) = self.upstreams.get(&announcement.id) else { return Ok(()) };
        if announcement.phase == AnnouncedPhase::Deregistered {
            // It only names the upstream.
            return Ok(());
        }
        let known = known.common();
        let is_same_process = announcement.generation == known.generation;
        let field = if announcement.service != known.service {
            "service"
        } else if announcement.generation == 0 && known.generation != 0 {
            "start time"
        } else if is_same_process && known.generation != 0 && announcement.address != known.address
        {
            "address"
        } else {
            return Ok(());
        };
        Err(AnnouncementRefusal::Contradiction(field))
    }

    /// Returns the other upstreams with the announced address.
    fn rivals<'a>(
        &'a self,
        announcement: &'a Announcement,
    ) -> impl Iterator<Item = &'a AnyUpstream> {
        self.upstreams
            .iter()
            .filter(|(id, upstream)| {
                **id != announcement.id && upstream.common().address == announcement.address
            })
            .map(|(_, upstream)| upstream)
    }

    /// Returns whether an upstream with a start time has the announced address.
    fn is_taken(&self, announcement: &Announcement) -> bool {
        self.rivals(announcement).any(|upstream| upstream.common().generation != 0)
    }

    /// Records an announcement of a lifetime with an earlier start time than a known one. Returns
    /// whether it is the later one nevertheless: only it has announced itself for long enough.
    pub(super) fn confirm_claim(&mut self, announcement: &Announcement, now: Instant) -> bool {
        let lifetime = Lifetime::of(announcement);
        let known = self.upstreams.get(&announcement.id);
        let last_heard = known.into_iter().chain(self.rivals(announcement));
        let last_heard = last_heard.map(|upstream| upstream.common().heard).max();
        let id = &announcement.id;
        let claim = self.claims.get(id).filter(|claim| {
            claim.lifetime.generation == lifetime.generation
                && last_heard.is_none_or(|heard| heard <= claim.since)
        });
        let Some(claim) = claim else {
            if self.claims.len() >= MAX_CLAIMS {
                self.claims.shift_remove_index(0);
            }
            self.claims.insert(id.clone(), Claim { lifetime, since: now });
            return false;
        };
        let is_confirmed = lifetime.sequence > claim.lifetime.sequence
            && now >= claim.since + announcement.lease / CLAIM_LEASE_DIVISOR;
        if is_confirmed {
            self.claims.swap_remove(id);
        }
        is_confirmed
    }
}

fn order_of_known(upstream: &AnyUpstream, announcement: &Announcement) -> Order {
    let common = upstream.common();
    let (known, announced) = (common.lifetime(), Lifetime::of(announcement));
    if announced.starts_before(known) {
        return Order::Unclear;
    }
    if announced.generation > known.generation {
        return Order::Later;
    }
    let is_late = announced.sequence != 0 && announced.sequence <= known.sequence;
    // The end of a lifetime is final, however late its announcement arrives.
    if announced.generation == known.generation && is_late && !announcement.is_leaving() {
        return Order::Outdated;
    }
    Order::Current
}
