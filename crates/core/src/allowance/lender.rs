//! The lender: draws tokens from the roots in batches and grants them to the entries of its zone.

use std::collections::VecDeque;

use super::demand::Demand;
use super::message::{Draw, Grant};
use super::reserve::Reserve;
use crate::prelude::*;

/// Time whose demand a batch covers. Longer would let more tokens expire when demand shifts.
const BATCH_TIME: Duration = Duration::from_millis(200);
/// Time whose demand the reserve must cover, or the next batch is drawn ahead.
const AHEAD_TIME: Duration = Duration::from_millis(30);
/// Least time between two draws from a root that has no tokens left.
const ROOT_INTERVAL: Duration = Duration::from_millis(50);
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
    empty_until: Option<Instant>,
}

impl Account {
    fn empty_time(&self, now: Instant) -> Option<Duration> {
        self.empty_until.filter(|time| now < *time).map(|time| time - now)
    }

    /// Returns the grant for a draw from the reserve; `None` without a token.
    fn grant(&mut self, draw: &Draw, now: Instant) -> Option<Grant> {
        let (tokens, deadline) = self.reserve.take(draw.wanted, now)?;
        let is_empty = tokens < draw.wanted;
        let retry_after = if is_empty { self.entry_interval(now) } else { Duration::ZERO };
        let life = deadline.saturating_duration_since(now);
        Some(Grant { serial: draw.serial, tokens, life, retry_after, unavailable: false })
    }

    /// Returns when an entry that got no token may ask again. Without any wait for the root, the
    /// next draw may find tokens at once.
    fn entry_interval(&self, now: Instant) -> Duration {
        let Some(empty) = self.empty_time(now) else { return Duration::ZERO };
        let draws = self.draws.expected(ENTRY_INTERVAL, now);
        let stretched = ENTRY_INTERVAL * draws.max(DRAWS_PER_INTERVAL) / DRAWS_PER_INTERVAL;
        empty.max(stretched.min(MAX_ENTRY_INTERVAL))
    }
}

/// What follows from an event at the lender.
#[derive(Debug, Default)]
pub struct LenderStep {
    /// Grants for entries.
    pub grants: Vec<(Source, Grant)>,
    /// Tokens to draw from the root.
    pub wanted: Option<u32>,
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
        let ahead = account.demand.expected(AHEAD_TIME, now);
        let is_low = !account.waiters.is_empty() || account.reserve.available(now) < ahead;
        if is_low && empty.is_none() && !account.is_drawing {
            account.is_drawing = true;
            let waiting: u32 =
                account.waiters.iter().fold(0, |sum, w| sum.saturating_add(w.draw.wanted));
            step.wanted = Some(waiting.max(account.demand.expected(BATCH_TIME, now)).max(1));
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
        if grant.unavailable {
            let waiters = account.waiters.drain(..);
            step.grants.extend(waiters.map(|waiter| {
                let serial = waiter.draw.serial;
                (waiter.source, Grant { serial, ..Grant::unavailable() })
            }));
            return step;
        }
        account.reserve.add(grant.tokens, deadline);
        if !grant.retry_after.is_zero() {
            account.empty_until = Some(now + grant.retry_after.max(ROOT_INTERVAL));
        }
        while let Some(Waiter { source, draw }) = account.waiters.pop_front() {
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
