//! Reports requests that end without a complete answer.

use lavenderflow_core::connections::CloseReason;
use lavenderflow_core::deployment_change::AppliedRevision;
use tokio::sync::watch;

use super::admission::CallerConnection;
use crate::net::context::NetworkContext;
use crate::prelude::*;

/// Why a caller gets no complete answer.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Interruption {
    /// The caller has closed the connection, or the connection has failed.
    CallerGone,
    /// The node has closed the connection for a limit.
    Closed(CloseReason),
    /// The rest of the response did not arrive.
    Truncated,
}

impl Interruption {
    /// All values.
    pub const ALL: [Self; 5] = [
        Self::CallerGone,
        Self::Closed(CloseReason::ConnectionLimit),
        Self::Closed(CloseReason::MemoryLimit),
        Self::Closed(CloseReason::Timeout),
        Self::Truncated,
    ];

    /// Returns the name that logs and counters use.
    pub fn name(self) -> &'static str {
        match self {
            Self::CallerGone => "caller-gone",
            Self::Closed(reason) => reason.name(),
            Self::Truncated => "truncated",
        }
    }
}

/// A request whose caller has no complete answer yet; reports it when dropped before
/// [`complete`](Self::complete).
#[derive(Debug)]
pub struct PendingAnswer {
    id: String,
    started: Instant,
    clock: SharedClock,
    mailbox: Mailbox,
    stop: crate::shutdown::StopWatch,
    closing: Option<watch::Receiver<Option<CloseReason>>>,
    applied: watch::Receiver<AppliedRevision>,
    // Configurations that had taken effect when the request began.
    earlier_changes: u64,
    // Bytes of the response that were passed to the connection; `None` before its head was.
    sent_bytes: Option<u64>,
    is_truncated: bool,
    is_complete: bool,
}

impl PendingAnswer {
    /// Begins with a request that was read.
    pub fn new(
        net: &NetworkContext,
        connection: Option<&CallerConnection>,
        applied: watch::Receiver<AppliedRevision>,
        id: &str,
    ) -> Self {
        let earlier_changes = applied.borrow().count;
        Self {
            id: id.to_owned(),
            started: net.clock.now(),
            clock: net.clock.clone(),
            mailbox: net.mailbox.clone(),
            stop: net.stop.clone(),
            closing: connection.map(CallerConnection::closing_watch),
            applied,
            earlier_changes,
            sent_bytes: None,
            is_truncated: false,
            is_complete: false,
        }
    }

    /// Returns the time since the request was read.
    pub fn elapsed(&self) -> Duration {
        self.clock.now().saturating_duration_since(self.started)
    }

    /// Records that a part of the response was passed to the connection.
    pub fn record_sent(&mut self, bytes: usize) {
        *self.sent_bytes.get_or_insert(0) += bytes as u64;
    }

    /// Records that the rest of the response did not arrive.
    pub fn truncate(&mut self) {
        self.is_truncated = true;
    }

    /// Ends with a complete response.
    pub fn complete(mut self) {
        self.is_complete = true;
    }

    fn interruption(&self) -> Interruption {
        let closed = self.closing.as_ref().and_then(|closing| *closing.borrow());
        match closed {
            _ if self.is_truncated => Interruption::Truncated,
            Some(reason) => Interruption::Closed(reason),
            None => Interruption::CallerGone,
        }
    }
}

impl Drop for PendingAnswer {
    fn drop(&mut self) {
        if self.is_complete {
            return;
        }
        let interruption = self.interruption();
        let AppliedRevision { revision, count, time } = *self.applied.borrow();
        let age = time.map(|time| self.clock.now().saturating_duration_since(time));
        log::info!(
            "event=unanswered request={} reason={} sent_bytes={} stop={} ms={} revision={revision} \
             changes={} change_age_ms={}",
            self.id,
            interruption.name(),
            self.sent_bytes.map_or("none".to_owned(), |bytes| bytes.to_string()),
            self.stop.stage_name(),
            self.elapsed().as_millis(),
            count - self.earlier_changes,
            age.map_or("none".to_owned(), |age| age.as_millis().to_string())
        );
        self.mailbox.try_send(Message::Count(Counter::Unanswered(interruption)));
    }
}
