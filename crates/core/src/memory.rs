//! Accounts for the memory that a node holds for callers, peers and upstreams.
//!
//! Budgets form a chain: a connection, the source address of the connection, the node. A share
//! counts against each budget of its chain, and is released when it is dropped.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// Share of the node's memory that may be held for others. The rest is for the program itself, the
/// state of the fleet, and what the allocator keeps beyond the accounted sizes.
const HELD_DIVISOR: u64 = 4;
/// Share of the node's descriptors for connections of callers. The others are for peers,
/// upstreams, the store and operators.
const CONNECTION_DIVISOR: u64 = 2;
/// Share of what is held that may belong to one source address: three quarters, since on the
/// platform all callers of a node can have the address of its VM.
const SOURCE_SHARE: (u64, u64) = (3, 4);
/// Share of what is held that may belong to one connection, and its least value. A connection
/// within the other limits needs less than 256 KB.
const CONNECTION_BYTES_DIVISOR: u64 = 16;
const MIN_CONNECTION_BYTES: u64 = 256 * 1024;

/// Share of the callers' connections that each other port may have, and the range of that number.
const PORT_DIVISOR: usize = 8;
const MIN_PORT_CONNECTIONS: usize = 16;
const MAX_PORT_CONNECTIONS: usize = 128;

/// What memory is held for.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum HeldKind {
    /// Connections of callers, with their buffers.
    Connection,
    /// Bodies of callers' requests.
    Body,
    /// Bodies of requests from other nodes.
    Peer,
    /// Responses on their way to callers.
    Response,
    /// Runs on upstreams, with the responses on their way to the entries.
    Run,
    /// Heads of requests that are being served.
    Head,
}

impl HeldKind {
    /// All kinds.
    pub const ALL: [Self; 6] =
        [Self::Connection, Self::Body, Self::Peer, Self::Response, Self::Run, Self::Head];

    /// Returns the value of the metric label.
    pub fn name(self) -> &'static str {
        match self {
            Self::Connection => "connection",
            Self::Body => "body",
            Self::Peer => "peer",
            Self::Response => "response",
            Self::Run => "run",
            Self::Head => "head",
        }
    }
}

/// Limits on what a node holds for others; `None` sets no limit.
///
/// # Examples
///
/// ```
/// use lavenderflow_core::memory::HoldLimits;
///
/// let limits = HoldLimits::derive(160, 4100);
/// assert_eq!(limits.node_bytes, Some(40 << 20));
/// assert_eq!(limits.connections, Some(2050));
/// assert_eq!(HoldLimits::derive(0, 0), HoldLimits::default());
/// ```
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct HoldLimits {
    /// Bytes that the node holds.
    pub node_bytes: Option<u64>,
    /// Bytes that are held for one source address.
    pub source_bytes: Option<u64>,
    /// Bytes that are held for one connection.
    pub connection_bytes: Option<u64>,
    /// Open connections of callers.
    pub connections: Option<usize>,
    /// Open connections of one source address.
    pub source_connections: Option<usize>,
}

impl HoldLimits {
    /// Derives the limits from the memory in MB and the descriptors that the node may use; 0 sets
    /// no limit.
    pub fn derive(memory_mb: u64, descriptors: u64) -> Self {
        let of_source = |value: u64| (value * SOURCE_SHARE.0 / SOURCE_SHARE.1).max(1);
        let bytes = Some((memory_mb << 20) / HELD_DIVISOR).filter(|bytes| *bytes > 0);
        let connections = (descriptors > 0).then(|| (descriptors / CONNECTION_DIVISOR).max(1));
        let count = |value: u64| usize::try_from(value).unwrap_or(usize::MAX);
        Self {
            node_bytes: bytes,
            source_bytes: bytes.map(of_source),
            connection_bytes: bytes
                .map(|bytes| (bytes / CONNECTION_BYTES_DIVISOR).max(MIN_CONNECTION_BYTES)),
            connections: connections.map(count),
            source_connections: connections.map(of_source).map(count),
        }
    }

    /// Returns the limits of a port that is not for callers. It has one without settings too, since
    /// few programs use it.
    ///
    /// # Examples
    ///
    /// ```
    /// use lavenderflow_core::memory::HoldLimits;
    ///
    /// assert_eq!(HoldLimits::derive(160, 1024).of_port().connections, Some(64));
    /// assert_eq!(HoldLimits::default().of_port().connections, Some(128));
    /// ```
    pub fn of_port(&self) -> Self {
        let share = self.connections.map_or(MAX_PORT_CONNECTIONS, |max| max / PORT_DIVISOR);
        let connections = share.clamp(MIN_PORT_CONNECTIONS, MAX_PORT_CONNECTIONS);
        Self { connections: Some(connections), ..Self::default() }
    }

    /// Returns whether memory is limited.
    pub fn has_bytes(&self) -> bool {
        self.node_bytes.is_some()
    }
}

/// A share exceeds the limit of a budget.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum OverLimit {
    /// The limit of the connection, which waiting does not help.
    #[error("the connection holds as much as it may")]
    Connection,
    /// The limit of the source address or of the node; memory can become free.
    #[error("the node holds as much as it may")]
    Shared,
}

#[derive(Debug)]
struct Account {
    parent: Option<Arc<Account>>,
    limit: u64,
    error: OverLimit,
    held: AtomicU64,
    // A share was refused since the last call of `take_refusal`.
    is_short: AtomicBool,
    // Used in the account of the node only.
    by_kind: [AtomicU64; HeldKind::ALL.len()],
}

/// A limit on memory; clones share one account.
///
/// # Examples
///
/// ```
/// use lavenderflow_core::memory::{Budget, HeldKind};
///
/// let node = Budget::new(Some(100));
/// let source = node.source(Some(60));
/// let mut share = source.claim(HeldKind::Body, 50)?;
/// assert!(source.claim(HeldKind::Body, 20).is_err());
/// share.resize(60)?;
/// assert_eq!(node.held(), 60);
/// drop(share);
/// assert_eq!(node.held(), 0);
/// # Ok::<(), lavenderflow_core::memory::OverLimit>(())
/// ```
#[derive(Clone, Debug)]
pub struct Budget(Arc<Account>);

impl Budget {
    /// Creates the budget of a node.
    pub fn new(limit: Option<u64>) -> Self {
        Self::with_parent(None, limit, OverLimit::Shared)
    }

    /// Creates the budget of a source address, a part of this one.
    pub fn source(&self, limit: Option<u64>) -> Self {
        Self::with_parent(Some(&self.0), limit, OverLimit::Shared)
    }

    /// Creates the budget of a connection, a part of this one.
    pub fn connection(&self, limit: Option<u64>) -> Self {
        Self::with_parent(Some(&self.0), limit, OverLimit::Connection)
    }

    fn with_parent(parent: Option<&Arc<Account>>, limit: Option<u64>, error: OverLimit) -> Self {
        Self(Arc::new(Account {
            parent: parent.cloned(),
            limit: limit.unwrap_or(u64::MAX),
            error,
            held: AtomicU64::new(0),
            is_short: AtomicBool::new(false),
            by_kind: Default::default(),
        }))
    }

    /// Takes a share.
    ///
    /// # Errors
    ///
    /// A budget of the chain would exceed its limit.
    pub fn claim(&self, kind: HeldKind, bytes: u64) -> Result<Share, OverLimit> {
        let mut share = self.hold(kind, 0);
        share.resize(bytes)?;
        Ok(share)
    }

    /// Takes a share for memory that is held already, whatever the limits.
    pub fn hold(&self, kind: HeldKind, bytes: u64) -> Share {
        for account in self.0.chain() {
            account.held.fetch_add(bytes, Ordering::AcqRel);
        }
        self.0.count_kind(kind, 0, bytes);
        Share { account: Arc::clone(&self.0), kind, bytes }
    }

    /// Takes a share if the memory is free. A refusal closes no connections, so this is for memory
    /// that only speeds up a transfer.
    ///
    /// # Examples
    ///
    /// ```
    /// use lavenderflow_core::memory::{Budget, HeldKind};
    ///
    /// let node = Budget::new(Some(100));
    /// assert!(node.claim_spare(HeldKind::Run, 101).is_none());
    /// assert!(!node.take_refusal());
    /// ```
    pub fn claim_spare(&self, kind: HeldKind, bytes: u64) -> Option<Share> {
        let has_room = self.has_room(bytes);
        has_room.then(|| self.hold(kind, bytes))
    }

    /// Takes a share unless this budget would exceed its own limit, whatever others hold of the
    /// budgets that it is a part of. A refusal closes no connections.
    ///
    /// # Examples
    ///
    /// ```
    /// use lavenderflow_core::memory::{Budget, HeldKind};
    ///
    /// let node = Budget::new(Some(100));
    /// let _connections = node.hold(HeldKind::Connection, 100);
    /// let heads = node.source(Some(20));
    /// let share = heads.claim_own(HeldKind::Head, 20);
    /// assert!(share.is_some() && heads.claim_own(HeldKind::Head, 1).is_none());
    /// assert_eq!(node.held(), 120);
    /// ```
    pub fn claim_own(&self, kind: HeldKind, bytes: u64) -> Option<Share> {
        let fits = |held: u64| held.checked_add(bytes).filter(|sum| *sum <= self.0.limit);
        self.0.held.fetch_update(Ordering::AcqRel, Ordering::Acquire, fits).ok()?;
        for account in self.0.chain().skip(1) {
            account.held.fetch_add(bytes, Ordering::AcqRel);
        }
        self.0.count_kind(kind, 0, bytes);
        Some(Share { account: Arc::clone(&self.0), kind, bytes })
    }

    /// Returns whether the whole chain has this much memory free.
    pub fn has_room(&self, bytes: u64) -> bool {
        let fits = |held: u64, limit| held.checked_add(bytes).is_some_and(|sum| sum <= limit);
        self.0.chain().all(|account| fits(account.held.load(Ordering::Acquire), account.limit))
    }

    /// Returns the bytes that are held.
    pub fn held(&self) -> u64 {
        self.0.held.load(Ordering::Acquire)
    }

    /// Returns the bytes that are held, by kind; of the budget of a node only.
    pub fn held_by_kind(&self) -> [(HeldKind, u64); HeldKind::ALL.len()] {
        HeldKind::ALL.map(|kind| (kind, self.0.by_kind[kind as usize].load(Ordering::Acquire)))
    }

    /// Returns the limit in bytes; the largest number if there is none.
    pub fn limit(&self) -> u64 {
        self.0.limit
    }

    /// Returns whether a share was refused by this budget since the last call.
    pub fn take_refusal(&self) -> bool {
        self.0.is_short.swap(false, Ordering::AcqRel)
    }
}

impl Account {
    fn chain(&self) -> impl Iterator<Item = &Self> {
        std::iter::successors(Some(self), |account| account.parent.as_deref())
    }

    fn add(&self, bytes: u64) -> Result<(), OverLimit> {
        let fits = |held: u64| held.checked_add(bytes).filter(|sum| *sum <= self.limit);
        if self.held.fetch_update(Ordering::AcqRel, Ordering::Acquire, fits).is_err() {
            self.is_short.store(true, Ordering::Release);
            return Err(self.error);
        }
        let Some(parent) = &self.parent else { return Ok(()) };
        parent.add(bytes).inspect_err(|_| {
            self.held.fetch_sub(bytes, Ordering::AcqRel);
        })
    }

    fn count_kind(&self, kind: HeldKind, before: u64, now: u64) {
        if let Some(node) = self.chain().last() {
            let count = &node.by_kind[kind as usize];
            if now >= before {
                count.fetch_add(now - before, Ordering::AcqRel);
            } else {
                count.fetch_sub(before - now, Ordering::AcqRel);
            }
        }
    }
}

/// Memory that counts against a budget until it is dropped.
#[derive(Debug)]
pub struct Share {
    account: Arc<Account>,
    kind: HeldKind,
    bytes: u64,
}

impl Share {
    /// Changes the size; a smaller one always succeeds.
    ///
    /// # Errors
    ///
    /// A budget of the chain would exceed its limit; the size stays as it is.
    pub fn resize(&mut self, bytes: u64) -> Result<(), OverLimit> {
        if bytes > self.bytes {
            self.account.add(bytes - self.bytes)?;
        } else {
            self.release(self.bytes - bytes);
        }
        self.account.count_kind(self.kind, self.bytes, bytes);
        self.bytes = bytes;
        Ok(())
    }

    /// Adds another share of the same budget to this one.
    pub fn merge(&mut self, mut other: Self) {
        debug_assert!(Arc::ptr_eq(&self.account, &other.account) && self.kind == other.kind);
        self.bytes += std::mem::take(&mut other.bytes);
    }

    fn release(&self, bytes: u64) {
        for account in self.account.chain() {
            account.held.fetch_sub(bytes, Ordering::AcqRel);
        }
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.release(self.bytes);
        self.account.count_kind(self.kind, self.bytes, 0);
    }
}
