//! The ledger of the tickets that one incarnation of a node issued.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use crate::prelude::*;
use crate::ticket::{AnyTicket, Dispatched, StoredAnswer, Ticket};

/// Least interval between watermarks: serial numbers with the time of their issue, by which tickets
/// expire.
const WATERMARK_INTERVAL: Duration = Duration::from_secs(1);

/// What a ticket lets a request do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Claim {
    /// The ticket was unused and is now bound to the request, which may run.
    Run,
    /// The request may be running; wait for its response.
    Wait,
    /// The request ran, and this is its response.
    Replay(Arc<StoredAnswer>),
    /// The request ended with this outcome, and no response is stored.
    Finished(Outcome),
    /// The request was refused for this reason and will never run.
    Refused(Reason),
    /// The ticket is bound to another request.
    Mismatch,
    /// The ticket was never issued.
    Invalid,
    /// The ticket is too old for its outcome to be known.
    Expired,
}

/// Records the state of the tickets of one incarnation of a node.
///
/// A ticket without a record is unused. Tickets expire after the retention time: no request can run
/// with an expired ticket.
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
    /// Creates an empty ledger that keeps tickets for `retention` and stores up to `max_bytes` of
    /// responses.
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

    /// Revokes the ticket if it is unused, so that a delayed copy of the request cannot run.
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

    /// Revokes a dispatched ticket on proof that its request did not run.
    ///
    /// Returns the duplicate requests that wait for the response.
    pub fn refuse(&mut self, id: TicketId, reason: Reason) -> Vec<RequestId> {
        self.replace(id, |ticket| {
            let (ticket, waiters) = ticket.refuse(reason);
            (AnyTicket::Refused(ticket), waiters)
        })
    }

    /// Completes a dispatched ticket and returns the duplicate requests that wait for the response.
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

    /// Removes tickets that are older than the retention time, except those of running requests.
    pub fn expire(&mut self, now: Instant) {
        while let Some((time, _)) = self.watermarks.front() {
            // A watermark covers all serial numbers up to the next watermark.
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

    /// Returns whether no ticket has a record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the memory that the stored responses take, in bytes.
    pub fn stored_bytes(&self) -> usize {
        self.stored_bytes
    }

    fn check(&self, id: TicketId) -> Option<Claim> {
        if id.home != self.home || id.incarnation != self.incarnation {
            // The request may have run under another incarnation.
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
