//! The ledger of the tickets that one incarnation of a node has issued.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use crate::prelude::*;
use crate::ticket::{AnyTicket, Dispatched, StoredAnswer, Ticket};

/// Interval between two watermarks of the serial numbers that were issued.
const WATERMARK_INTERVAL: Duration = Duration::from_secs(1);

/// What a request with a ticket may do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Claim {
    /// The ticket is now used: run the request.
    Run,
    /// The request runs: wait for its answer.
    Wait,
    /// The request ran and this is its answer.
    Replay(Arc<StoredAnswer>),
    /// The request is over with this outcome, and no answer is stored.
    Finished(Outcome),
    /// The request was refused for this reason and never runs.
    Refused(Reason),
    /// The ticket is bound to another request.
    Mismatch,
    /// The ticket was never issued.
    Invalid,
    /// The ticket is too old to know what became of it.
    Expired,
}

/// Records what became of the tickets of one incarnation.
///
/// A ticket without a record is unused. Tickets older than the retention time expire: nothing
/// runs under them any more.
#[derive(Debug)]
pub struct Ledger {
    home: NodeId,
    incarnation: Incarnation,
    next_serial: Serial,
    first_kept: Serial,
    records: BTreeMap<Serial, AnyTicket>,
    watermarks: VecDeque<(Instant, Serial)>,
    retention: Duration,
    answer_serials: VecDeque<Serial>,
    stored_bytes: usize,
    max_bytes: usize,
}

impl Ledger {
    /// Creates an empty ledger that remembers tickets for `retention` and stores up to
    /// `max_bytes` of answers.
    pub fn new(
        home: NodeId,
        incarnation: Incarnation,
        retention: Duration,
        max_bytes: usize,
    ) -> Self {
        Self {
            home,
            incarnation,
            next_serial: 1,
            first_kept: 1,
            records: BTreeMap::new(),
            watermarks: VecDeque::new(),
            retention,
            answer_serials: VecDeque::new(),
            stored_bytes: 0,
            max_bytes,
        }
    }

    /// Issues a ticket.
    pub fn issue(&mut self, now: Instant) -> TicketId {
        let serial = self.next_serial;
        self.next_serial += 1;
        let due = self.watermarks.back().is_none_or(|(time, _)| now >= *time + WATERMARK_INTERVAL);
        if due {
            self.watermarks.push_back((now, serial));
        }
        TicketId { home: self.home, incarnation: self.incarnation, serial }
    }

    /// Claims a ticket for the request with this fingerprint.
    ///
    /// Returns [`Claim::Run`] at most once per ticket.
    pub fn claim(&mut self, id: TicketId, fingerprint: u64, request: RequestId) -> Claim {
        if let Some(claim) = self.check(id) {
            return claim;
        }
        let Some(record) = self.records.get_mut(&id.serial) else {
            let ticket = Ticket::new(id).dispatch(fingerprint);
            self.records.insert(id.serial, AnyTicket::Dispatched(ticket));
            return Claim::Run;
        };
        if record.fingerprint() != fingerprint {
            return Claim::Mismatch;
        }
        match record {
            AnyTicket::Dispatched(ticket) => {
                ticket.wait(request);
                Claim::Wait
            }
            AnyTicket::Done(ticket) => match ticket.answer() {
                Some(answer) => Claim::Replay(Arc::clone(answer)),
                None => Claim::Finished(ticket.outcome()),
            },
            AnyTicket::Refused(ticket) => Claim::Refused(ticket.reason()),
        }
    }

    /// Burns the ticket if it is unused, so that a late copy of the request cannot run.
    ///
    /// Otherwise returns what [`Ledger::claim`] would return.
    pub fn revoke(
        &mut self,
        id: TicketId,
        fingerprint: u64,
        request: RequestId,
        reason: Reason,
    ) -> Claim {
        if let Some(claim) = self.check(id) {
            return claim;
        }
        if self.records.contains_key(&id.serial) {
            return self.claim(id, fingerprint, request);
        }
        let ticket = Ticket::new(id).refuse(fingerprint, reason);
        self.records.insert(id.serial, AnyTicket::Refused(ticket));
        Claim::Refused(reason)
    }

    /// Burns a dispatched ticket on proof that its request did not run.
    ///
    /// Returns the repetitions that wait for the answer.
    pub fn refuse(&mut self, id: TicketId, reason: Reason) -> Vec<RequestId> {
        self.replace(id, |ticket| {
            let (ticket, waiters) = ticket.refuse(reason);
            (AnyTicket::Refused(ticket), waiters)
        })
    }

    /// Ends a dispatched ticket and returns the repetitions that wait for the answer.
    pub fn complete(
        &mut self,
        id: TicketId,
        outcome: Outcome,
        answer: Option<Arc<StoredAnswer>>,
    ) -> Vec<RequestId> {
        if !matches!(self.records.get(&id.serial), Some(AnyTicket::Dispatched(_))) {
            return Vec::new();
        }
        let size = answer.as_ref().map_or(0, |answer| answer.size_bytes());
        let answer = answer.filter(|_| size <= self.max_bytes);
        if answer.is_some() {
            self.answer_serials.push_back(id.serial);
            self.stored_bytes += size;
        }
        let waiters = self.replace(id, |ticket| {
            let (ticket, waiters) = ticket.complete(outcome, answer);
            (AnyTicket::Done(ticket), waiters)
        });
        self.evict_answers();
        waiters
    }

    /// Forgets tickets that are older than the retention time.
    pub fn expire(&mut self, now: Instant) {
        while let Some((time, _)) = self.watermarks.front() {
            // A mark stands for all serials up to the next one.
            let newest = *time + WATERMARK_INTERVAL;
            if now < newest + self.retention {
                break;
            }
            self.watermarks.pop_front();
            self.first_kept =
                self.watermarks.front().map_or(self.next_serial, |(_, serial)| *serial);
        }
        let first_kept = self.first_kept;
        let expired: Vec<Serial> =
            self.records.range(..first_kept).map(|(serial, _)| *serial).collect();
        for serial in expired {
            if !matches!(self.records.get(&serial), Some(AnyTicket::Dispatched(_))) {
                self.evict_answer(serial);
                self.records.remove(&serial);
            }
        }
        self.answer_serials.retain(|serial| *serial >= first_kept);
    }

    /// Returns the number of tickets with a record.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Tells whether no ticket has a record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the memory of the stored answers, in bytes.
    pub fn stored_bytes(&self) -> usize {
        self.stored_bytes
    }

    fn check(&self, id: TicketId) -> Option<Claim> {
        if id.home != self.home || id.incarnation != self.incarnation {
            // Another incarnation may have run it.
            return Some(Claim::Expired);
        }
        if id.serial >= self.next_serial || id.serial == 0 {
            return Some(Claim::Invalid);
        }
        let expired = id.serial < self.first_kept && !self.records.contains_key(&id.serial);
        expired.then_some(Claim::Expired)
    }

    fn replace(
        &mut self,
        id: TicketId,
        transition: impl FnOnce(Ticket<Dispatched>) -> (AnyTicket, Vec<RequestId>),
    ) -> Vec<RequestId> {
        match self.records.remove(&id.serial) {
            Some(AnyTicket::Dispatched(ticket)) => {
                let (ticket, waiters) = transition(ticket);
                self.records.insert(id.serial, ticket);
                waiters
            }
            Some(other) => {
                self.records.insert(id.serial, other);
                Vec::new()
            }
            None => Vec::new(),
        }
    }

    fn evict_answers(&mut self) {
        while self.stored_bytes > self.max_bytes {
            let Some(serial) = self.answer_serials.pop_front() else {
                break;
            };
            self.evict_answer(serial);
        }
    }

    fn evict_answer(&mut self, serial: Serial) {
        if let Some(AnyTicket::Done(ticket)) = self.records.get_mut(&serial)
            && let Some(answer) = ticket.take_answer()
        {
            self.stored_bytes -= answer.size_bytes();
        }
    }
}
