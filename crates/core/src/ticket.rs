//! The life cycle of a ticket, as a typestate.
//!
//! ```text
//! Unused --dispatch--> Dispatched --complete--> Done
//!    \                     \--refuse--> Refused
//!     \--refuse--> Refused
//! ```
//!
//! A ticket that is `Done` or `Refused` never runs again.

use std::sync::Arc;

use bytes::Bytes;

use crate::id::{RequestId, TicketId};
use crate::reason::{Outcome, Reason};

/// A whole response that is stored for duplicate requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Bytes,
}

impl StoredAnswer {
    /// Returns the memory that the response takes, in bytes.
    pub fn size_bytes(&self) -> usize {
        let headers: usize =
            self.headers.iter().map(|(name, value)| name.len() + value.len()).sum();
        headers + self.body.len()
    }
}

/// The request has not been dispatched.
#[derive(Debug)]
pub struct Unused;

/// The request was dispatched and may be running.
#[derive(Debug)]
pub struct Dispatched {
    fingerprint: u64,
    waiters: Vec<RequestId>,
}

/// The request has ended, with the outcome `Ran` or `Unknown`.
#[derive(Debug)]
pub struct Done {
    fingerprint: u64,
    outcome: Outcome,
    answer: Option<Arc<StoredAnswer>>,
}

/// The request did not run and will not run.
#[derive(Debug)]
pub struct Refused {
    fingerprint: u64,
    reason: Reason,
}

/// The permission to run one request at most once.
#[derive(Debug)]
pub struct Ticket<S> {
    id: TicketId,
    state: S,
}

impl Ticket<Unused> {
    /// Creates a ticket for a request that was never dispatched.
    pub fn new(id: TicketId) -> Self {
        Self { id, state: Unused }
    }

    /// Binds the ticket to the request with this fingerprint, which is dispatched.
    pub fn dispatch(self, fingerprint: u64) -> Ticket<Dispatched> {
        Ticket { id: self.id, state: Dispatched { fingerprint, waiters: Vec::new() } }
    }

    /// Revokes the ticket, which was never used.
    pub fn refuse(self, fingerprint: u64, reason: Reason) -> Ticket<Refused> {
        Ticket { id: self.id, state: Refused { fingerprint, reason } }
    }
}

impl Ticket<Dispatched> {
    /// Adds a duplicate request that waits for the same response.
    pub fn wait(&mut self, waiter: RequestId) {
        self.state.waiters.push(waiter);
    }

    /// Ends the request and returns the duplicate requests that waited for it.
    pub fn complete(
        self,
        outcome: Outcome,
        answer: Option<Arc<StoredAnswer>>,
    ) -> (Ticket<Done>, Vec<RequestId>) {
        let state = Done { fingerprint: self.state.fingerprint, outcome, answer };
        (Ticket { id: self.id, state }, self.state.waiters)
    }

    /// Revokes the ticket on proof that the request did not run, and returns the duplicate requests
    /// that waited for it.
    pub fn refuse(self, reason: Reason) -> (Ticket<Refused>, Vec<RequestId>) {
        let state = Refused { fingerprint: self.state.fingerprint, reason };
        (Ticket { id: self.id, state }, self.state.waiters)
    }
}

impl Ticket<Done> {
    /// Returns the outcome.
    pub fn outcome(&self) -> Outcome {
        self.state.outcome
    }

    /// Returns the response while it is stored.
    pub fn answer(&self) -> Option<&Arc<StoredAnswer>> {
        self.state.answer.as_ref()
    }

    /// Removes the stored response and returns it.
    pub fn take_answer(&mut self) -> Option<Arc<StoredAnswer>> {
        self.state.answer.take()
    }
}

impl Ticket<Refused> {
    /// Returns why the request was refused.
    pub fn reason(&self) -> Reason {
        self.state.reason
    }
}

/// A ticket in one of the states that a ledger records.
#[derive(Debug)]
pub enum AnyTicket {
    /// See [`Dispatched`].
    Dispatched(Ticket<Dispatched>),
    /// See [`Done`].
    Done(Ticket<Done>),
    /// See [`Refused`].
    Refused(Ticket<Refused>),
}

impl AnyTicket {
    /// Returns the fingerprint of the request that the ticket is bound to.
    pub fn fingerprint(&self) -> u64 {
        match self {
            Self::Dispatched(ticket) => ticket.state.fingerprint,
            Self::Done(ticket) => ticket.state.fingerprint,
            Self::Refused(ticket) => ticket.state.fingerprint,
        }
    }
}
