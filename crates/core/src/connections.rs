//! Decides which connections of callers are open, and which one to close when a limit is reached.

use std::cmp::Reverse;
use std::net::IpAddr;
use std::sync::Arc;

use crate::memory::{Budget, HeldKind, HoldLimits, Share};
use crate::prelude::*;
use crate::progress::{Phase, Progress};
use crate::timeout_history::{ProgressTimeouts, TimeoutHistory};

/// Identifies a connection of a caller.
pub type ConnectionId = u64;

/// Memory that an open connection is accounted with: its task, its buffers and an unfinished head.
const CONNECTION_BYTES: u64 = 32 * 1024;
/// Part of a limit that is made free at once when it is reached.
const FREED_DIVISOR: u64 = 16;
/// A connection that made progress within this time is not closed for the limits, so that requests
/// that are being transferred end.
const MIN_IDLE_TIME: Duration = Duration::from_millis(250);

/// Bytes a second below which a caller that sends or reads falls behind.
const MIN_RATE: u64 = 8 * 1024;
/// A connection whose caller is this far behind may be closed for the limits, however recently it
/// made progress: a byte now and then must not keep others out.
const MAX_LAG: Duration = Duration::from_secs(1);

/// Longest time in which a caller reads nothing of a response, where no bound is configured.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(60);

/// Time that a connection which must be closed gets to read the rest of a request, and to send its
/// last response.
pub const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum CloseReason {
    /// The node or the source address has too many connections.
    ConnectionLimit,
    /// The node or the source address holds too much memory.
    MemoryLimit,
    /// The head or the body of a request, or the reading of its response, makes no progress.
    Timeout,
}

impl CloseReason {
    /// All reasons.
    pub const ALL: [Self; 3] = [Self::ConnectionLimit, Self::MemoryLimit, Self::Timeout];

    /// Returns the name that logs and counters use.
    pub fn name(self) -> &'static str {
        match self {
            Self::ConnectionLimit => "connection-limit",
            Self::MemoryLimit => "memory-limit",
            Self::Timeout => "timeout",
        }
    }
}

/// A connection to close.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Closing {
    /// The connection.
    pub connection: ConnectionId,
    /// Why.
    pub reason: CloseReason,
    /// For how long it has waited for its caller.
    pub idle: Duration,
}

/// Returns whether a connection that has been closing for [`CLOSE_TIMEOUT`] is dropped, although it
/// has not ended. A request that was read is answered first.
pub fn must_drop(reason: CloseReason, progress: &Progress, now: Instant) -> bool {
    if progress.awaits_answer() {
        return false;
    }
    let is_overdue = match (progress.phase(), reason) {
        // Memory is not short, so a response may go on as long as it is read.
        (Phase::Responding, CloseReason::Timeout) => progress.idle_time(now),
        _ => Some(progress.phase_time(now)),
    };
    is_overdue.is_some_and(|time| time >= CLOSE_TIMEOUT)
}

#[derive(Debug)]
struct OpenConnection {
    source: IpAddr,
    budget: Budget,
    progress: Arc<Progress>,
    is_closing: bool,
    _share: Share,
}

#[derive(Debug)]
struct Source {
    connections: usize,
    budget: Budget,
}

/// The open connections of callers.
#[derive(Debug)]
pub struct ConnectionTable {
    limits: HoldLimits,
    timeouts: TimeoutHistory,
    budget: Budget,
    next: ConnectionId,
    connections: IndexMap<ConnectionId, OpenConnection>,
    sources: IndexMap<IpAddr, Source>,
}

impl ConnectionTable {
    /// Creates an empty table; `budget` is that of the node.
    pub fn new(limits: HoldLimits, budget: Budget) -> Self {
        let (connections, sources) = (IndexMap::new(), IndexMap::new());
        let timeouts = TimeoutHistory::default();
        Self { limits, timeouts, budget, next: 0, connections, sources }
    }

    /// Returns whether there is no open connection.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Returns whether a connection can be opened; if not, none should be accepted.
    pub fn has_room(&self) -> bool {
        let is_below = self.limits.connections.is_none_or(|max| self.connections.len() < max);
        is_below && self.budget.held().saturating_add(CONNECTION_BYTES) <= self.budget.limit()
    }

    /// Returns the connection to close at once for a new one: where the limit of connections is
    /// reached, the one that has waited longest for its caller.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::sync::Arc;
    /// use std::time::{Duration, Instant};
    ///
    /// use lavenderflow_core::connections::{ConnectionTable, CloseReason};
    /// use lavenderflow_core::memory::{Budget, HoldLimits};
    /// use lavenderflow_core::progress::Progress;
    ///
    /// let limits = HoldLimits { connections: Some(2), ..HoldLimits::default() };
    /// let mut table = ConnectionTable::new(limits, Budget::new(None));
    /// let start = Instant::now();
    /// let mut open = |table: &mut ConnectionTable| {
    ///     let (id, _) = table.open([10, 0, 0, 1].into(), Arc::new(Progress::new(start)), None)?;
    ///     Ok::<_, CloseReason>(id)
    /// };
    /// let first = open(&mut table).unwrap();
    /// assert_eq!(table.replace(start), None);
    /// open(&mut table).unwrap();
    /// let closing = table.replace(start + Duration::from_millis(1)).unwrap();
    /// assert_eq!(closing.connection, first);
    /// ```
    pub fn replace(&mut self, now: Instant) -> Option<Closing> {
        let max = self.limits.connections?;
        let open = self.connections.iter().filter(|(_, connection)| !connection.is_closing);
        if open.clone().count() < max {
            return None;
        }
        let idle = open.filter_map(|(id, c)| Some((c.progress.idle_time(now)?, Reverse(*id))));
        let (_, Reverse(longest)) = idle.max()?;
        self.start_closing(longest, CloseReason::ConnectionLimit, now)
    }

    /// Returns the number of open connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Returns the connection to close at once for a new one of the same source address: where that
    /// holds as much memory as it may, the one that has waited longest for its caller. Until this one
    /// has ended, the new one exceeds the limit by a part that the next sweep would make free.
    pub fn replace_in_source(&mut self, source: IpAddr, now: Instant) -> Option<Closing> {
        let budget = &self.sources.get(&source)?.budget;
        let needed = budget.held().saturating_add(CONNECTION_BYTES);
        let most = budget.limit().saturating_add(budget.limit() / FREED_DIVISOR);
        if needed <= budget.limit() || needed > most {
            return None;
        }
        let longest = *self.by_idle_time(Some(source), now).first()?;
        self.start_closing(longest, CloseReason::MemoryLimit, now)
    }

    /// Opens a connection; returns its id and budget.
    ///
    /// # Errors
    ///
    /// Its source address has as many connections as it may, or holds as much memory and no other
    /// connection was `replaced`.
    pub fn open(
        &mut self,
        source: IpAddr,
        progress: Arc<Progress>,
        replaced: Option<Closing>,
    ) -> Result<(ConnectionId, Budget), CloseReason> {
        let (limits, node) = (self.limits, &self.budget);
        let entry = self.sources.entry(source);
        let owner = entry
            .or_insert_with(|| Source { connections: 0, budget: node.source(limits.source_bytes) });
        if limits.source_connections.is_some_and(|max| owner.connections >= max) {
            return Err(CloseReason::ConnectionLimit);
        }
        let budget = owner.budget.connection(limits.connection_bytes);
        let claimed = if replaced.is_some() {
            Ok(budget.hold(HeldKind::Connection, CONNECTION_BYTES))
        } else {
            budget.claim(HeldKind::Connection, CONNECTION_BYTES)
        };
        let Ok(share) = claimed else {
            if owner.connections == 0 {
                self.sources.swap_remove(&source);
            }
            return Err(CloseReason::MemoryLimit);
        };
        owner.connections += 1;
        let id = self.next;
        self.next += 1;
        let connection = OpenConnection {
            source,
            budget: budget.clone(),
            progress,
            is_closing: false,
            _share: share,
        };
        self.connections.insert(id, connection);
        Ok((id, budget))
    }

    /// Removes a connection that has ended.
    pub fn close(&mut self, connection: ConnectionId) {
        let Some(connection) = self.connections.swap_remove(&connection) else { return };
        if let Some(owner) = self.sources.get_mut(&connection.source) {
            owner.connections -= 1;
            if owner.connections == 0 {
                self.sources.swap_remove(&connection.source);
            }
        }
    }

    /// Returns the connections to close now: those beyond the time bounds, then, where a limit is
    /// reached, those that have waited longest for their callers.
    pub fn sweep(&mut self, now: Instant, timeouts: ProgressTimeouts) -> Vec<Closing> {
        self.timeouts.set(timeouts, now);
        let mut closing = self.close_late(now);
        if let Some(max) = self.limits.connections {
            let open = self.connections.len();
            self.free_connections(None, open, max, now, &mut closing);
        }
        if self.budget.take_refusal() || !self.has_room() {
            let limit = self.budget.limit();
            self.free_bytes(None, self.budget.held(), limit, now, &mut closing);
        }
        for index in 0..self.sources.len() {
            let Some((address, source)) = self.sources.get_index(index) else { continue };
            let (address, open) = (*address, source.connections);
            let is_short = source.budget.take_refusal();
            let (held, limit) = (source.budget.held(), source.budget.limit());
            if let Some(max) = self.limits.source_connections {
                self.free_connections(Some(address), open, max, now, &mut closing);
            }
            if is_short {
                self.free_bytes(Some(address), held, limit, now, &mut closing);
            }
        }
        closing
    }

    fn close_late(&mut self, now: Instant) -> Vec<Closing> {
        let mut closing = Vec::new();
        for (id, connection) in &mut self.connections {
            let progress = &connection.progress;
            let timeouts = |time| self.timeouts.since(now.checked_sub(time).unwrap_or(now));
            let is_late = match progress.phase() {
                Phase::Head => {
                    let time = progress.phase_time(now);
                    timeouts(time).head.is_some_and(|timeout| time > timeout)
                }
                Phase::Processing => false,
                Phase::Receiving => {
                    let idle = progress.idle_time(now);
                    idle.is_some_and(|idle| timeouts(idle).body.is_some_and(|t| idle > t))
                }
                Phase::Idle | Phase::Responding => {
                    let idle = progress.idle_time(now).filter(|_| progress.is_write_blocked());
                    idle.is_some_and(|idle| idle > timeouts(idle).body.unwrap_or(UNREAD_TIMEOUT))
                }
            };
            if is_late && !connection.is_closing {
                connection.is_closing = true;
                let idle = progress.idle_time(now).unwrap_or_default();
                closing.push(Closing { connection: *id, reason: CloseReason::Timeout, idle });
            }
        }
        closing
    }

    fn free_connections(
        &mut self,
        source: Option<IpAddr>,
        open: usize,
        max: usize,
        now: Instant,
        closing: &mut Vec<Closing>,
    ) {
        if open < max {
            return;
        }
        let wanted = open - max + (max / FREED_DIVISOR as usize).max(1);
        let missing = wanted.saturating_sub(self.closing_of(source).count());
        for id in self.by_idle_time(source, now).into_iter().take(missing) {
            closing.extend(self.start_closing(id, CloseReason::ConnectionLimit, now));
        }
    }

    fn free_bytes(
        &mut self,
        source: Option<IpAddr>,
        held: u64,
        limit: u64,
        now: Instant,
        closing: &mut Vec<Closing>,
    ) {
        let wanted = held.saturating_sub(limit - limit / FREED_DIVISOR);
        if wanted == 0 {
            return;
        }
        let mut freed: u64 = self.closing_of(source).map(|c| c.budget.held()).sum();
        for id in self.by_idle_time(source, now) {
            if freed >= wanted {
                return;
            }
            freed += self.connections[&id].budget.held();
            closing.extend(self.start_closing(id, CloseReason::MemoryLimit, now));
        }
    }

    fn closing_of(&self, source: Option<IpAddr>) -> impl Iterator<Item = &OpenConnection> {
        let connections = self.connections.values();
        // One that awaits an answer may take long to close.
        let is_ending = |c: &OpenConnection| c.is_closing && !c.progress.awaits_answer();
        connections.filter(move |c| is_ending(c) && source.is_none_or(|s| s == c.source))
    }

    /// Returns the connections that wait for their callers, those that have waited longest first.
    fn by_idle_time(&self, source: Option<IpAddr>, now: Instant) -> Vec<ConnectionId> {
        let open = self.connections.iter();
        let open = open.filter(|(_, c)| !c.is_closing && source.is_none_or(|s| s == c.source));
        let idle = open.filter_map(|(id, c)| Some((wait_time(&c.progress, now)?, *id)));
        let mut idle: Vec<_> = idle.collect();
        idle.sort_by_key(|(idle, id)| (Reverse(*idle), *id));
        idle.into_iter().map(|(_, id)| id).collect()
    }

    fn start_closing(
        &mut self,
        id: ConnectionId,
        reason: CloseReason,
        now: Instant,
    ) -> Option<Closing> {
        let connection = self.connections.get_mut(&id)?;
        connection.is_closing = true;
        let idle = connection.progress.idle_time(now).unwrap_or_default();
        Some(Closing { connection: id, reason, idle })
    }
}

/// Returns for how long a connection has waited for its caller, if that is long enough to close it
/// for the limits: since its last progress, or beyond the time that its bytes should have taken.
fn wait_time(progress: &Progress, now: Instant) -> Option<Duration> {
    let idle = progress.idle_time(now)?;
    let lag = Some(progress.lag(MIN_RATE, now)).filter(|lag| *lag >= MAX_LAG);
    lag.max(Some(idle).filter(|idle| *idle >= MIN_IDLE_TIME))
}
