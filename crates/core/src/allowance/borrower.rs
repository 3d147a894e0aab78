//! The borrower: decides on an entry's requests with the tokens that it holds.

use super::bucket::Bucket;
use super::demand::Demand;
use super::fallback::FallbackLimits;
use super::message::Grant;
use super::reserve::Reserve;
use crate::prelude::*;

/// Time whose demand the reserve covers. An entry that serves an organisation less than five times
/// a second holds nothing and draws for each request.
const RESERVE_TIME: Duration = Duration::from_millis(200);
/// Time whose demand the reserve must cover, or the next tokens are drawn ahead.
const AHEAD_TIME: Duration = Duration::from_millis(20);
/// Lenders that are asked for one request.
const MAX_LENDERS: u32 = 2;
/// Time for which requests use the fallback before the lenders are asked again. Each question
/// can cost a request the time-outs of two draws.
const FALLBACK_TIME: Duration = Duration::from_millis(500);
/// Least time after which an entry asks again when a grant was smaller than what it wanted, and
/// least retry time of a refusal.
const MIN_REFUSAL_TIME: Duration = Duration::from_millis(10);
/// Greatest such time, as the limit may be raised before there would be another token.
const MAX_REFUSAL_TIME: Duration = Duration::from_secs(1);
/// Longest time that a refusal by the fallback names, because the lenders may return before.
const MAX_FALLBACK_RETRY: Duration = Duration::from_secs(1);
/// Whether a request may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// It may; a token was used up.
    Allowed,
    /// The allowance is used up; there may be a token after this time.
    Over(Duration),
}

#[derive(Debug, Default)]
struct Account {
    reserve: Reserve,
    demand: Demand,
    waiting: Vec<RequestId>,
    is_drawing: bool,
    // Lenders that did not respond to the present draw.
    failed: u32,
    // Until when no lender is asked again, and when there will be another token.
    refused_until: Option<(Instant, Instant)>,
    // When the response was received that refusals are based on.
    informed_at: Option<Instant>,
    // The last refusal, and how many there were since they were last read.
    last_refusal: Option<(Instant, Duration)>,
    refusals: u64,
    fallback: Option<(Bucket, Instant)>,
}

/// What follows from an event at the borrower.
#[derive(Debug, Default)]
pub struct BorrowerStep {
    /// Decisions on requests.
    pub decisions: Vec<(RequestId, Decision)>,
    /// Tokens to draw from a lender.
    pub wanted: Option<u32>,
}

/// Time after its last refusal for which an organisation counts as limited.
const LIMITED_TIME: Duration = Duration::from_secs(1);

/// An organisation at its limit, as one entry sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitedOrganisation {
    /// Organisation.
    pub organisation: OrganisationName,
    /// Age of the response that the last refusal is based on; zero for the fallback.
    pub age: Duration,
    /// Retry time of the last refusal.
    pub retry_after: Duration,
    /// Requests refused since the counts were last taken.
    pub refusals: u64,
    /// Whether no lender can be reached.
    pub is_fallback: bool,
}

/// The tokens that an entry holds, by organisation.
#[derive(Debug, Default)]
pub struct Borrower {
    accounts: IndexMap<OrganisationName, Account>,
}

impl Borrower {
    /// Decides on a request, or has it wait for a draw.
    pub fn request(
        &mut self,
        organisation: &OrganisationName,
        request: RequestId,
        now: Instant,
    ) -> BorrowerStep {
        let account = self.accounts.entry(organisation.clone()).or_default();
        account.demand.add(1, now);
        let mut step = BorrowerStep::default();
        let refused = account.refused_until.filter(|(end, _)| now < *end);
        if account.reserve.take(1, now).is_some() {
            step.decisions.push((request, Decision::Allowed));
        } else if let Some(decision) = account.decide_by_fallback(request, now) {
            step.decisions.push(decision);
            return step;
        } else if let Some((_, token_at)) = refused {
            step.decisions.push(account.refuse(request, token_at - now, now));
        } else {
            account.waiting.push(request);
        }
        let ahead = account.demand.expected(AHEAD_TIME, now);
        let is_low = !account.waiting.is_empty() || account.reserve.available(now) < ahead;
        if is_low && refused.is_none() && !account.is_drawing {
            account.is_drawing = true;
            account.failed = 0;
            step.wanted = Some(account.wanted(now));
        }
        step
    }

    /// Credits a lender's grant and decides on the requests that wait for it.
    pub fn granted(
        &mut self,
        organisation: &OrganisationName,
        grant: Grant,
        deadline: Instant,
        now: Instant,
    ) -> BorrowerStep {
        let mut step = BorrowerStep::default();
        let Some(account) = self.accounts.get_mut(organisation) else { return step };
        account.is_drawing = false;
        account.fallback = None;
        account.reserve.add(grant.tokens, deadline);
        if !grant.retry_after.is_zero() {
            let time = grant.retry_after.max(MIN_REFUSAL_TIME);
            account.refused_until = Some((now + time.min(MAX_REFUSAL_TIME), now + time));
            account.informed_at = Some(now);
        }
        let waiting = std::mem::take(&mut account.waiting);
        let (allowed, rest) = waiting.split_at((grant.tokens as usize).min(waiting.len()));
        let is_late = !allowed.is_empty() && account.reserve.available(now) == 0;
        if is_late && account.failed < MAX_LENDERS {
            // All tokens have expired on the way.
            account.failed += 1;
            account.refused_until = None;
            account.waiting = waiting;
            account.is_drawing = true;
            step.wanted = Some(account.wanted(now));
            return step;
        }
        for request in allowed {
            step.decisions.push(match account.reserve.take(1, now) {
                Some(_) => (*request, Decision::Allowed),
                None => account.refuse(*request, MIN_REFUSAL_TIME, now),
            });
        }
        if !rest.is_empty() && grant.retry_after.is_zero() {
            // Requests that arrived after the draw.
            account.waiting = rest.to_vec();
            account.is_drawing = true;
            account.failed = 0;
            step.wanted = Some(account.wanted(now));
            return step;
        }
        let wait = grant.retry_after.max(MIN_REFUSAL_TIME);
        step.decisions.extend(rest.iter().map(|request| account.refuse(*request, wait, now)));
        step
    }

    /// Handles a draw without a usable response: asks another lender if this one did not respond,
    /// else decides by the fallback, whose bucket holds a part of an even share of the allowance.
    pub fn failed(
        &mut self,
        organisation: &OrganisationName,
        has_responded: bool,
        fallback: Option<FallbackLimits>,
        now: Instant,
    ) -> BorrowerStep {
        let mut step = BorrowerStep::default();
        let Some(account) = self.accounts.get_mut(organisation) else { return step };
        account.failed += 1;
        if !has_responded && account.failed < MAX_LENDERS {
            step.wanted = Some(account.wanted(now));
            return step;
        }
        account.is_drawing = false;
        let waiting = std::mem::take(&mut account.waiting);
        let Some(FallbackLimits { rate, capacity }) = fallback else {
            // The limit was removed meanwhile.
            step.decisions.extend(waiting.into_iter().map(|request| (request, Decision::Allowed)));
            return step;
        };
        let bucket = match account.fallback.take() {
            Some((mut bucket, _)) => {
                bucket.set_limits(rate, capacity, now);
                bucket
            }
            None => Bucket::new(rate, capacity, now),
        };
        account.fallback = Some((bucket, now + FALLBACK_TIME));
        account.refused_until = None;
        for request in waiting {
            step.decisions.extend(account.decide_by_fallback(request, now));
        }
        step
    }

    /// Allows the requests that wait for tokens of an organisation that has no limit any more.
    pub fn remove(&mut self, organisation: &str) -> Vec<(RequestId, Decision)> {
        let account = self.accounts.swap_remove(organisation);
        let waiting = account.map(|account| account.waiting).unwrap_or_default();
        waiting.into_iter().map(|request| (request, Decision::Allowed)).collect()
    }

    /// Discards all tokens.
    pub fn clear(&mut self) {
        self.accounts.values_mut().for_each(|account| account.reserve.clear());
    }

    /// Returns how many tokens have expired unused since the last call.
    pub fn take_expired(&mut self) -> u64 {
        self.accounts.values_mut().map(|account| account.reserve.take_expired()).sum()
    }

    /// Returns the organisations of which requests were refused lately.
    pub fn limited(&self, now: Instant) -> impl Iterator<Item = LimitedOrganisation> {
        self.accounts.iter().filter_map(move |(organisation, account)| {
            let (time, retry_after) = account.last_refusal?;
            let is_recent = now.saturating_duration_since(time) < LIMITED_TIME;
            let is_fallback = account.fallback.as_ref().is_some_and(|(_, end)| now < *end);
            let informed_at = account.informed_at.filter(|_| !is_fallback).unwrap_or(time);
            is_recent.then(|| LimitedOrganisation {
                organisation: organisation.clone(),
                age: time.saturating_duration_since(informed_at),
                retry_after,
                refusals: account.refusals,
                is_fallback,
            })
        })
    }

    /// Resets the numbers of refusals.
    pub fn reset_refusals(&mut self) {
        self.accounts.values_mut().for_each(|account| account.refusals = 0);
    }
}

impl Account {
    fn refuse(
        &mut self,
        request: RequestId,
        time: Duration,
        now: Instant,
    ) -> (RequestId, Decision) {
        // Callers that are told to retry at once would only repeat the refusal.
        let time = time.max(MIN_REFUSAL_TIME);
        self.refusals += 1;
        self.last_refusal = Some((now, time));
        (request, Decision::Over(time))
    }

    fn wanted(&self, now: Instant) -> u32 {
        let waiting = u32::try_from(self.waiting.len()).unwrap_or(u32::MAX);
        let reserve = self.demand.expected(RESERVE_TIME, now);
        waiting.max(reserve).max(1)
    }

    /// Decides by the fallback while it is in use.
    fn decide_by_fallback(
        &mut self,
        request: RequestId,
        now: Instant,
    ) -> Option<(RequestId, Decision)> {
        let (bucket, _) = self.fallback.as_mut().filter(|(_, end)| now < *end)?;
        if bucket.take(1, now) > 0 {
            return Some((request, Decision::Allowed));
        }
        let time = bucket.time_to_next(now).min(MAX_FALLBACK_RETRY);
        Some(self.refuse(request, time, now))
    }
}
