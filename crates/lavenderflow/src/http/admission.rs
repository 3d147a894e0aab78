//! Opens and closes the connections of callers within the limits of the node.

use std::net::IpAddr;
use std::sync::Arc;

use lavenderflow_core::catalog::RequestLimits;
use lavenderflow_core::connections::{CloseReason, Closing, ConnectionId, ConnectionTable};
use lavenderflow_core::memory::{Budget, HeldKind, HoldLimits, OverLimit, Share};
use lavenderflow_core::progress::{Phase, Progress};
use lavenderflow_core::timeout_history::ProgressTimeouts;
use tokio::sync::{mpsc, watch};

use super::request_head::ProgressRecorder;
use crate::prelude::*;

/// Size limit of the buffer per connection and direction where memory is not limited, in bytes.
pub const MAX_BUFFER_BYTES: usize = 64 * 1024;
/// The same where memory is limited, for heads of the default size and the start of their bodies.
const LIMITED_BUFFER_BYTES: usize = 32 * 1024;
/// Space in the buffer beyond a configured limit of the header section, so that larger ones are
/// refused with a reason.
const HEADER_MARGIN_BYTES: usize = 16 * 1024;
/// Interval at which a reader that waits for memory tries again.
const CLAIM_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Time for a head at the ports that are not for callers, and longest pause in a body or in the
/// reading of a response.
const PORT_TIMEOUT: Duration = Duration::from_secs(5);
/// Factor between the times that callers are given by the configuration and those after which their
/// connections are closed, so that no caller within the former meets the latter.
const TIMEOUT_FACTOR: u32 = 2;

/// What the connections of a server may hold.
#[derive(Clone, Debug)]
pub struct Admission {
    /// The limits.
    pub limits: HoldLimits,
    /// Accounts for what the node holds for others.
    pub budget: Budget,
    /// Limits for the requests of callers.
    pub request_limits: watch::Receiver<RequestLimits>,
    /// The clock.
    pub clock: SharedClock,
    /// Sends messages to the actors.
    pub mailbox: Mailbox,
    /// Whether a new connection replaces, at the limit, the one that waited longest for its caller.
    pub replaces: bool,
}

impl Admission {
    /// Creates the admission for a port that is not for callers.
    pub fn of_port(limits: &HoldLimits, clock: SharedClock, mailbox: Mailbox) -> Self {
        let timeout = Some(PORT_TIMEOUT / TIMEOUT_FACTOR);
        let limits = limits.of_port();
        let request_limits = RequestLimits {
            header_timeout: timeout,
            idle_timeout: timeout,
            ..RequestLimits::default()
        };
        let (_, request_limits) = watch::channel(request_limits);
        // Operators and upstreams are served whatever callers hold.
        let budget = Budget::new(None);
        Self { limits, budget, request_limits, clock, mailbox, replaces: true }
    }

    /// Returns the size limit of a connection's buffers.
    pub fn buffer_bytes(&self) -> usize {
        if !self.limits.has_bytes() {
            return MAX_BUFFER_BYTES;
        }
        let header_bytes = self.request_limits.borrow().header_bytes;
        let needed = header_bytes.map_or(0, |bytes| bytes.saturating_add(HEADER_MARGIN_BYTES));
        needed.max(LIMITED_BUFFER_BYTES)
    }

    fn timeouts(&self) -> ProgressTimeouts {
        let limits = *self.request_limits.borrow();
        ProgressTimeouts {
            head: limits.header_timeout.map(|timeout| timeout * TIMEOUT_FACTOR),
            body: limits.idle_timeout.map(|timeout| timeout * TIMEOUT_FACTOR),
        }
    }
}

/// A connection of a caller, as the handlers of its requests see it.
#[derive(Clone, Debug)]
pub struct CallerConnection {
    budget: Budget,
    recorder: ProgressRecorder,
    closing: watch::Receiver<Option<CloseReason>>,
    is_limited: bool,
    is_replaceable: bool,
}

impl CallerConnection {
    /// Returns whether the connection, when it is closed, is dropped as soon as it waits for its
    /// caller.
    pub fn is_replaceable(&self) -> bool {
        self.is_replaceable
    }

    /// Returns the recorder of the connection's progress.
    pub fn recorder(&self) -> &ProgressRecorder {
        &self.recorder
    }

    /// Returns whether memory is limited.
    pub fn is_limited(&self) -> bool {
        self.is_limited
    }

    /// Records that a request was read.
    pub fn begin_request(&self) {
        self.recorder.progress.begin_request(self.recorder.clock.now());
    }

    /// Records what the connection waits for.
    pub fn set_phase(&self, phase: Phase) {
        self.recorder.progress.set_phase(phase, self.recorder.clock.now());
    }

    /// Records that the response has been sent, unless the next request has begun.
    pub fn finish_response(&self) {
        if self.recorder.progress.phase() == Phase::Responding {
            self.set_phase(Phase::Idle);
        }
    }

    /// Completes when the connection must be closed.
    pub async fn closing(&mut self) -> CloseReason {
        match self.closing.wait_for(Option::is_some).await.map(|reason| *reason) {
            Ok(Some(reason)) => reason,
            // The server stops, and closes its connections itself.
            _ => std::future::pending().await,
        }
    }

    /// Follows whether the connection must be closed, and why.
    pub fn closing_watch(&self) -> watch::Receiver<Option<CloseReason>> {
        self.closing.clone()
    }

    /// Accounts for memory that the connection holds already.
    pub fn hold(&self, kind: HeldKind, bytes: u64) -> Share {
        self.budget.hold(kind, bytes)
    }

    /// Enlarges a share; waits while the node or the source address holds as much as it may.
    ///
    /// # Errors
    ///
    /// The connection would hold more than it may.
    pub async fn enlarge(&self, share: &mut Share, bytes: u64) -> Result<(), OverLimit> {
        loop {
            match share.resize(bytes) {
                Err(OverLimit::Shared) => tokio::time::sleep(CLAIM_RETRY_INTERVAL).await,
                result => return result,
            }
        }
    }
}

/// Notifies the owner of the table that a connection has ended, when dropped.
#[derive(Debug)]
pub struct OpenGuard {
    connection: ConnectionId,
    ended: mpsc::UnboundedSender<ConnectionId>,
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        // The send fails if the server has stopped accepting.
        let _ = self.ended.send(self.connection);
    }
}

/// The connections of a server, owned by the task that accepts them.
#[derive(Debug)]
pub struct Connections {
    admission: Admission,
    table: ConnectionTable,
    closers: IndexMap<ConnectionId, watch::Sender<Option<CloseReason>>>,
    // Holds at most one message for each open connection.
    ended: (mpsc::UnboundedSender<ConnectionId>, mpsc::UnboundedReceiver<ConnectionId>),
}

impl Connections {
    /// Creates an empty collection.
    pub fn new(admission: Admission) -> Self {
        Self {
            table: ConnectionTable::new(admission.limits, admission.budget.clone()),
            admission,
            closers: IndexMap::new(),
            ended: mpsc::unbounded_channel(),
        }
    }

    /// Returns whether a connection may be accepted.
    pub fn has_room(&self) -> bool {
        if self.admission.replaces {
            let max = self.admission.limits.connections.unwrap_or(usize::MAX);
            return self.table.len() < max.saturating_mul(2);
        }
        self.table.has_room()
    }

    /// Returns whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.table.is_empty()
    }

    /// Opens a connection; `None` if its source address may not have another one.
    pub fn open(&mut self, source: IpAddr) -> Option<(CallerConnection, OpenGuard)> {
        let clock = Arc::clone(&self.admission.clock);
        let now = clock.now();
        if self.admission.replaces {
            let replaced = self.table.replace(now);
            replaced.into_iter().for_each(|closing| self.close(closing));
        }
        let replaced = self.table.replace_in_source(source, now);
        replaced.into_iter().for_each(|closing| self.close(closing));
        let progress = Arc::new(Progress::new(now));
        let opened = self.table.open(source, Arc::clone(&progress), replaced);
        let (connection, budget) = match opened {
            Ok(opened) => opened,
            Err(reason) => {
                log::info!("event=connection-refused source={source} reason={}", reason.name());
                self.count(reason);
                return None;
            }
        };
        let (closer, closing) = watch::channel(None);
        self.closers.insert(connection, closer);
        let recorder = ProgressRecorder { progress, clock };
        let is_limited = self.admission.limits.has_bytes();
        let guard = OpenGuard { connection, ended: self.ended.0.clone() };
        let is_replaceable = self.admission.replaces;
        let connection = CallerConnection { budget, recorder, closing, is_limited, is_replaceable };
        Some((connection, guard))
    }

    /// Waits until a connection ends, and removes it.
    pub async fn remove_ended(&mut self) {
        // The sender is held here, so the channel does not close.
        if let Some(connection) = self.ended.1.recv().await {
            self.table.close(connection);
            self.closers.swap_remove(&connection);
        }
    }

    /// Closes the connections beyond the limits.
    pub fn sweep(&mut self) {
        let now = self.admission.clock.now();
        let closing = self.table.sweep(now, self.admission.timeouts());
        closing.into_iter().for_each(|closing| self.close(closing));
    }

    fn close(&self, Closing { connection, reason, idle }: Closing) {
        log::info!(
            "event=connection-closed reason={} idle_ms={} held_kb={}",
            reason.name(),
            idle.as_millis(),
            self.admission.budget.held() / 1024
        );
        self.count(reason);
        if let Some(closer) = self.closers.get(&connection) {
            closer.send_replace(Some(reason));
        }
    }

    /// Counts a closed connection, if the mailbox of the actors is not full.
    fn count(&self, reason: CloseReason) {
        self.admission.mailbox.try_send(Message::Count(Counter::Closed(reason)));
    }
}
