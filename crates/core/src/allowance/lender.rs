//! The lender: draws tokens from the roots in batches and grants them to the entries of its zone.

use std::collections::VecDeque;

use super::bucket::Bucket;
use super::demand::Demand;
use super::fallback::FallbackLimits;
use super::message::{Draw, Grant};
use super::reserve::Reserve;
use super::root::TOKEN_LIFE;
use crate::prelude::*;

/// Time whose demand a batch covers. Longer would let more tokens expire when demand shifts.
const BATCH_TIME: Duration = Duration::from_millis(200);
/// Time whose demand the reserve must cover, or the next batch is drawn ahead.
const AHEAD_TIME: Duration = Duration::from_millis(30);
/// Time whose demand is asked for ahead, which the root adds only with a long life.
const LONG_BATCH_TIME: Duration = Duration::from_secs(2);
/// Least life of tokens that are granted: less would end on the way to the entry.
const MIN_GRANTED_LIFE: Duration = Duration::from_millis(20);
/// Least time between two draws from a root that has no tokens left.
const ROOT_INTERVAL: Duration = Duration::from_millis(50);
/// Greatest such time. The limit may be raised, or the root may be reached again, before there
/// would be another token.
const MAX_ROOT_INTERVAL: Duration = Duration::from_secs(1);
/// Least time after which an entry asks again when there was no token.
const ENTRY_INTERVAL: Duration = Duration::from_millis(100);
/// Greatest such time, when many entries ask.
const MAX_ENTRY_INTERVAL: Duration = Duration::from_millis(250);
/// Draws by entries per interval above which they are told to ask less often: a lender on a tenth
/// of a core then spends at most a tenth of its time on them.
const DRAWS_PER_INTERVAL: u32 = 8;

/// Where a grant goes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// Another node.
    Peer(super::message::ReplyId),
    /// The same node.
    Own,
}

#[derive(Debug)]
struct Waiter {
    source: Source,
    draw: Draw,
}

#[derive(Debug, Default)]
struct Account {
    reserve: Reserve,
    demand: Demand,
    draws: Demand,
    waiters: VecDeque<Waiter>,
    is_drawing: bool,
    // Whether the last tokens had a long life, so that drawing ahead loses none.
    is_calm: bool,
    // Until when the root is not asked again.
    empty_until: Option<Instant>,
    // When the root will have another token.
    token_at: Option<Instant>,
    // Replaces the root while it cannot be reached.
    fallback: Option<Bucket>,
}

impl Account {
    fn empty_time(&self, now: Instant) -> Option<Duration> {
        self.empty_until.filter(|time| now < *time).map(|time| time - now)
    }

    /// Returns the grant for a draw from the reserve; `None` without a token.
    fn grant(&mut self, draw: &Draw, now: Instant) -> Option<Grant> {
        let (tokens, deadline) = self.reserve.take(draw.wanted, now + MIN_GRANTED_LIFE)?;
        let is_empty = tokens < draw.wanted;
        let retry_after = if is_empty { self.entry_interval(now) } else { Duration::ZERO };
        let life = deadline.saturating_duration_since(now);
        Some(Grant { serial: draw.serial, tokens, life, retry_after, unavailable: false })
    }

    fn available(&mut self, now: Instant) -> u32 {
        self.reserve.available(now + MIN_GRANTED_LIFE)
    }

    /// Begins to draw from the root if the reserve is low; returns the tokens to draw now and
    /// ahead.
    fn start_draw(&mut self, now: Instant) -> Option<(u32, u32)> {
        let ahead = self.demand.expected(AHEAD_TIME, now).max(self.is_calm.into());
        let is_low = !self.waiters.is_empty() || self.available(now) < ahead;
        if !is_low || self.is_drawing {
            return None;
        }
        self.is_drawing = true;
        let waiting = self.waiters.iter().map(|waiter| waiter.draw.wanted);
        let waiting = waiting.fold(0, u32::saturating_add);
        let batch = self.demand.expected(BATCH_TIME, now).max(1);
        Some((waiting.max(batch), self.demand.expected(LONG_BATCH_TIME, now)))
    }

    /// Returns when an entry that got no token may ask again. Without any wait for the root, the
    /// next draw may find tokens at once.
    fn entry_interval(&self, now: Instant) -> Duration {
        let Some(empty) = self.empty_time(now) else { return Duration::ZERO };
        let draws = self.draws.expected(ENTRY_INTERVAL, now);
        let stretched = ENTRY_INTERVAL * draws.max(DRAWS_PER_INTERVAL) / DRAWS_PER_INTERVAL;
        let token =
            self.token_at.map_or(Duration::ZERO, |time| time.saturating_duration_since(now));
        empty.max(token).max(stretched.min(MAX_ENTRY_INTERVAL))
    }
}

/// What follows from an event at the lender.
#[derive(Debug, Default)]
pub struct LenderStep {
    /// Grants for entries.
    pub grants: Vec<(Source, Grant)>,
    /// Tokens to draw from the root now, and ahead.
    pub wanted: Option<(u32, u32)>,
}

/// The reserves of a lender, by organisation.
#[derive(Debug, Default)]
pub struct Lender {
    accounts: IndexMap<OrganisationName, Account>,
}

impl Lender {
    /// Decides on the draw of an entry.
    pub fn draw(&mut self, source: Source, draw: Draw, now: Instant) -> LenderStep {
        let account = self.accounts.entry(draw.organisation.clone()).or_default();
        account.demand.add(draw.wanted, now);
        account.draws.add(1, now);
        let mut step = LenderStep::default();
        let empty = account.empty_time(now);
        if let Some(grant) = account.grant(&draw, now) {
            step.grants.push((source, grant));
        } else if empty.is_some() {
            let retry_after = account.entry_interval(now);
            let refusal = Grant { serial: draw.serial, retry_after, ..Grant::default() };
            step.grants.push((source, refusal));
        } else {
            account.waiters.push_back(Waiter { source, draw });
        }
        if empty.is_none() {
            step.wanted = account.start_draw(now);
        }
        step
    }

    /// Grants what the zone's part of the allowance allows while no root can be reached.
    pub fn grant_fallback(
        &mut self,
        organisation: &OrganisationName,
        limits: FallbackLimits,
        wanted: u32,
        now: Instant,
    ) -> LenderStep {
        let Some(account) = self.accounts.get_mut(organisation) else {
            return LenderStep::default();
        };
        let FallbackLimits { rate, capacity } = limits;
        let bucket = account.fallback.get_or_insert_with(|| Bucket::new(rate, capacity, now));
        bucket.set_limits(rate, capacity, now);
        let tokens = bucket.take(wanted, now);
        let is_short = tokens < wanted;
        let time = bucket.time_to_next(now).min(MAX_ROOT_INTERVAL);
        let retry_after = if is_short { time } else { Duration::ZERO };
        let bucket = account.fallback.take();
        let life = TOKEN_LIFE;
        let grant = Grant { tokens, life, retry_after, ..Grant::default() };
        let step = self.granted(organisation, grant, now + life, now);
        if let Some(account) = self.accounts.get_mut(organisation) {
            account.fallback = bucket;
        }
        step
    }

    /// Credits the root's grant and passes it on to the entries that wait for it.
    pub fn granted(
        &mut self,
        organisation: &OrganisationName,
        grant: Grant,
        deadline: Instant,
        now: Instant,
    ) -> LenderStep {
        let mut step = LenderStep::default();
        let Some(account) = self.accounts.get_mut(organisation) else { return step };
        account.is_drawing = false;
        account.fallback = None;
        if grant.unavailable {
            let waiters = account.waiters.drain(..);
            step.grants.extend(waiters.map(|waiter| {
                let serial = waiter.draw.serial;
                (waiter.source, Grant { serial, ..Grant::unavailable() })
            }));
            return step;
        }
        account.reserve.add(grant.tokens, deadline);
        account.is_calm = grant.life > TOKEN_LIFE;
        if !grant.retry_after.is_zero() {
            let interval = grant.retry_after.clamp(ROOT_INTERVAL, MAX_ROOT_INTERVAL);
            account.empty_until = Some(now + interval);
            account.token_at = Some(now + grant.retry_after);
        }
        while let Some(Waiter { source, draw }) = account.waiters.pop_front() {
            if grant.retry_after.is_zero() && account.available(now) == 0 {
                // It arrived after the draw, which was granted in full.
                account.waiters.push_front(Waiter { source, draw });
                step.wanted = account.start_draw(now);
                break;
            }
            let refusal = Grant {
                serial: draw.serial,
                retry_after: account.entry_interval(now).max(ROOT_INTERVAL),
                ..Grant::default()
            };
            step.grants.push((source, account.grant(&draw, now).unwrap_or(refusal)));
        }
        step
    }

    /// Discards all tokens.
    pub fn clear(&mut self) {
        self.accounts.values_mut().for_each(|account| account.reserve.clear());
    }

    /// Returns how many tokens have expired unused since the last call.
    pub fn take_expired(&mut self) -> u64 {
        self.accounts.values_mut().map(|account| account.reserve.take_expired()).sum()
    }

    /// Forgets an organisation that has no allowance any more; its draws end with the grant.
    pub fn remove(&mut self, organisation: &str) {
        if self.accounts.get(organisation).is_some_and(|a| !a.is_drawing && a.waiters.is_empty()) {
            self.accounts.swap_remove(organisation);
        }
    }
}
