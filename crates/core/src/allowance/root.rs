//! The root: holds the token bucket of an organisation for the whole fleet.

use std::collections::VecDeque;

use super::bucket::Bucket;
use super::message::{Draw, Grant};
use crate::organisation::Allowance;
use crate::prelude::*;

/// Time for which granted tokens can be used, at lenders and entries together. In a window of 5 s
/// it adds the refill of this time to what runs, which is 6% of a tolerance of 10%.
pub const TOKEN_LIFE: Duration = Duration::from_millis(300);
/// Time for which tokens can be used that are granted while the organisation is well below its
/// allowance. They stay part of the bucket's capacity meanwhile, so they add nothing to what runs
/// in any window. A lowered limit binds after a window of 5 s, so the time must be shorter.
pub const LONG_TOKEN_LIFE: Duration = Duration::from_secs(4);
/// Divisor of the capacity that gives the level below which no such tokens are granted, and the
/// most of them at a time.
const LONG_SHARE_DIVISOR: f64 = 2.0;
/// Least capacity of a bucket, as refill time: lenders ask every 50 to 100 ms, and a smaller bucket
/// would overflow in between. It adds 3% at most, and only where the burst is smaller.
const MIN_CAPACITY_TIME: Duration = Duration::from_millis(150);
/// Time from when a node becomes first in the order of roots until it grants tokens. By then the
/// former root has learned of it and has stopped.
pub const TAKEOVER_DELAY: Duration = Duration::from_millis(1500);
/// Time for which a node that is no longer first still grants tokens, which the new root relays to.
const HANDOVER_TIME: Duration = Duration::from_millis(1000);

#[derive(Debug)]
struct Tenure {
    bucket: Bucket,
    rate: f64,
    capacity: f64,
    // Tokens with a long life that may not have been used yet, and the end of their life.
    outstanding: VecDeque<(Instant, u32)>,
    starts_at: Instant,
    // Set once another node has become the root.
    ends_at: Option<Instant>,
}

impl Tenure {
    fn is_over(&self, now: Instant) -> bool {
        self.ends_at.is_some_and(|end| now >= end)
    }

    fn set_limits(&mut self, (rate, capacity): (f64, f64), now: Instant) {
        (self.rate, self.capacity) = (rate, capacity);
        let outstanding = self.outstanding_tokens(now);
        // More than this part is outstanding only after a limit was lowered. These tokens were
        // granted under the old limit and end before the new one binds, so the refill goes on
        // meanwhile.
        let rest = (capacity - outstanding).max(capacity / LONG_SHARE_DIVISOR);
        self.bucket.set_limits(rate, rest, now);
    }

    fn outstanding_tokens(&mut self, now: Instant) -> f64 {
        while self.outstanding.front().is_some_and(|(end, _)| now >= *end) {
            self.outstanding.pop_front();
        }
        self.outstanding.iter().map(|(_, tokens)| f64::from(*tokens)).sum()
    }

    /// Takes the wanted tokens and those for later, if what remains allows for a long life.
    fn take_long(&mut self, draw: &Draw, now: Instant) -> Option<u32> {
        let outstanding = self.outstanding_tokens(now);
        // The capacity must grow again before the level is read.
        self.set_limits((self.rate, self.capacity), now);
        let part = self.capacity / LONG_SHARE_DIVISOR;
        let spare = (self.bucket.level(now) - part).min(part - outstanding);
        if spare < f64::from(draw.wanted) {
            return None;
        }
        // At most `spare`, so the cast loses only the fraction.
        let wanted = f64::from(draw.wanted.saturating_add(draw.ahead)).min(spare) as u32;
        let tokens = self.bucket.take(wanted, now);
        self.outstanding.push_back((now + LONG_TOKEN_LIFE, tokens));
        self.set_limits((self.rate, self.capacity), now);
        Some(tokens)
    }
}

/// The buckets of the organisations whose root this node is.
#[derive(Debug, Default)]
pub struct Root {
    tenures: IndexMap<OrganisationName, Tenure>,
}

impl Root {
    /// Begins, continues or ends being the root of an organisation. `stable_since` is when the
    /// lenders last changed; `share` is the part of the allowance that this root may grant.
    pub fn update(
        &mut self,
        organisation: &OrganisationName,
        allowance: Option<(Allowance, f64)>,
        stable_since: Instant,
        now: Instant,
    ) {
        if self.tenures.get(organisation).is_some_and(|tenure| tenure.is_over(now)) {
            self.tenures.swap_remove(organisation);
        }
        let Some((allowance, share)) = allowance else {
            let tenure = self.tenures.get_mut(organisation);
            if tenure.as_ref().is_some_and(|tenure| now < tenure.starts_at) {
                self.tenures.swap_remove(organisation);
            } else if let Some(tenure) = tenure {
                tenure.ends_at.get_or_insert(now + HANDOVER_TIME);
            }
            return;
        };
        let (rate, capacity) = limits(allowance, share);
        let tenure = self.tenures.entry(organisation.clone()).or_insert_with(|| {
            let starts_at = now.max(stable_since + TAKEOVER_DELAY);
            let bucket = Bucket::new(rate, capacity, starts_at);
            let outstanding = VecDeque::new();
            Tenure { bucket, rate, capacity, outstanding, starts_at, ends_at: None }
        });
        tenure.ends_at = None;
        tenure.set_limits((rate, capacity), now);
    }

    /// Forgets an organisation that has no allowance any more.
    pub fn remove(&mut self, organisation: &str) {
        self.tenures.swap_remove(organisation);
    }

    /// Begins again with empty buckets after the takeover delay.
    pub fn restart(&mut self, now: Instant) {
        self.tenures.retain(|_, tenure| tenure.ends_at.is_none());
        for tenure in self.tenures.values_mut() {
            tenure.starts_at = now + TAKEOVER_DELAY;
            tenure.bucket = Bucket::new(tenure.rate, tenure.capacity, tenure.starts_at);
            tenure.outstanding.clear();
        }
    }

    /// Returns the organisations whose buckets are here.
    pub fn organisations(&self) -> impl Iterator<Item = &OrganisationName> {
        self.tenures.keys()
    }

    /// Grants what the bucket has; `None` if this node does not act as the root.
    pub fn grant(&mut self, draw: &Draw, now: Instant) -> Option<Grant> {
        let tenure = self.tenures.get_mut(&draw.organisation)?;
        if now < tenure.starts_at || tenure.is_over(now) {
            return None;
        }
        let serial = draw.serial;
        if let Some(tokens) = tenure.take_long(draw, now) {
            return Some(Grant { serial, tokens, life: LONG_TOKEN_LIFE, ..Grant::default() });
        }
        let tokens = tenure.bucket.take(draw.wanted, now);
        let is_short = tokens < draw.wanted;
        let retry_after = if is_short { tenure.bucket.time_to_next(now) } else { Duration::ZERO };
        Some(Grant { serial, tokens, life: TOKEN_LIFE, retry_after, unavailable: false })
    }
}

/// Returns the rate and the capacity of a bucket.
fn limits(allowance: Allowance, share: f64) -> (f64, f64) {
    let rate = allowance.rate * share;
    let least = (rate * MIN_CAPACITY_TIME.as_secs_f64()).max(1.0);
    (rate, (allowance.burst * share).max(least))
}
