//! State shared by all tasks on the network thread.

use std::sync::Arc;

use lavenderflow_core::memory::{Budget, HeldKind, OverLimit, Share};
use lavenderflow_schema::dialect::Dialect;
use lavenderflow_schema::wire::Begin;
use tokio::sync::mpsc;

use super::connector::Connector;
use super::link::{FrameSink, FrameSource, MAX_FRAME_BYTES};
use crate::prelude::*;
use crate::shutdown::StopWatch;
use crate::upstream::CallSender;
use crate::work::WorkTracker;

/// Links within this node that the channel to the network task buffers.
const LOCAL_LINK_CAPACITY: usize = 256;

/// Bytes of a body that follows its request which are held at a time.
const MAX_PART_BYTES: u64 = 64 * 1024;

/// Part of what the node may hold for others that unfinished frames of one connection may take, and
/// the range of that part.
const FRAME_DIVISOR: u64 = 8;
const MIN_FRAME_BUDGET: u64 = 4 * MAX_FRAME_BYTES as u64;
const MAX_FRAME_BUDGET: u64 = 32 * MAX_FRAME_BYTES as u64;

/// Part of what the node may hold for others that runs on upstreams may take.
const RUNS_DIVISOR: u64 = 2;
/// Memory of a run beside the parts of its response: its tasks, the head of the response and the
/// start of its body, and the buffers of the connection to the upstream.
const RUN_BYTES: u64 = 32 * 1024;

/// Part of what the node may hold for others that the heads of callers' requests may take; as much
/// is for the heads of requests from other nodes.
const HEADS_DIVISOR: u64 = 8;
/// Copies of a head: that of the request, that of its attempt, and the one that is being encoded,
/// decoded or written.
const HEAD_COPIES: u64 = 3;
/// Memory of a header beside its text: two strings with their allocations.
const HEADER_BYTES: u64 = 96;

/// The server end of a link within this node, served like a link from another node.
pub type LocalLink = (FrameSink, FrameSource);

/// State shared by all tasks on the network thread.
#[derive(Clone, Debug)]
pub struct NetworkContext {
    /// Id of this node.
    pub node: NodeId,
    /// The clock.
    pub clock: SharedClock,
    /// Sends messages to the actors.
    pub mailbox: Mailbox,
    /// Opens connections to other nodes.
    pub connector: Connector,
    /// Opens links to this node's own gate.
    pub local_links: mpsc::Sender<LocalLink>,
    /// Calls upstreams.
    pub calls: CallSender,
    /// Converts HTTP headers and statuses.
    pub dialect: Arc<dyn Dialect>,
    /// Counts the unfinished work that a graceful stop waits for.
    pub work: WorkTracker,
    /// Follows a graceful stop.
    pub stop: StopWatch,
    /// Accounts for what the node holds for others.
    pub budget: Budget,
    /// Accounts for the runs on upstreams, as a part of it.
    pub runs: Budget,
    /// Accounts for the heads of requests that are being served.
    pub heads: HeadBudgets,
    /// Interval between pings.
    pub ping_interval: Duration,
}

impl NetworkContext {
    /// Returns the budget for the frames that arrive over one connection from another node.
    pub fn frame_budget(&self) -> Budget {
        let limit = self.budget.limit() / FRAME_DIVISOR;
        self.budget.source(Some(limit.clamp(MIN_FRAME_BUDGET, MAX_FRAME_BUDGET)))
    }

    /// Accounts for a run on an upstream; `None` if the runs hold as much as they may. What the node
    /// holds for callers refuses no run.
    pub fn hold_run(&self) -> Option<Share> {
        self.runs.claim_own(HeldKind::Run, RUN_BYTES)
    }

    /// Accounts for the head and the body of a request from another node. Within the node the entry
    /// does so.
    ///
    /// # Errors
    ///
    /// The node holds as much for others as it may.
    pub fn claim_request(
        &self,
        begin: &Begin,
        source: &FrameSource,
    ) -> Result<Option<(Share, Share)>, OverLimit> {
        let FrameSource::Accepted(..) = source else { return Ok(None) };
        let head = self.heads.claim_peer(begin).ok_or(OverLimit::Shared)?;
        let length = begin.body_length.unwrap_or(u64::MAX).min(MAX_PART_BYTES);
        let later = if begin.on_commit || begin.body_follows { length } else { 0 };
        let body = self.budget.claim(HeldKind::Peer, begin.body.len() as u64 + later)?;
        Ok(Some((head, body)))
    }
}

/// Accounts for the heads of requests, apart from what else is held: a crowd of connections refuses
/// no request, and large heads refuse those that have no room beside them.
#[derive(Clone, Debug)]
pub struct HeadBudgets {
    callers: Budget,
    peers: Budget,
}

impl HeadBudgets {
    /// Creates the budgets, as parts of what the node may hold.
    pub fn new(node: &Budget) -> Self {
        let part = || node.source(Some(node.limit() / HEADS_DIVISOR));
        Self { callers: part(), peers: part() }
    }

    /// Accounts for the head of a caller's request; `None` if such heads hold as much as they may.
    pub fn claim_caller(&self, target: &str, headers: &[(String, String)]) -> Option<Share> {
        let fields = headers.iter().map(|(name, value)| name.len() + value.len());
        self.callers.claim_own(HeldKind::Head, head_bytes(target, fields))
    }

    /// The same for a request from another node.
    pub fn claim_peer(&self, begin: &Begin) -> Option<Share> {
        let fields = begin.headers.iter().map(|field| field.name.len() + field.value.len());
        self.peers.claim_own(HeldKind::Head, head_bytes(&begin.target, fields))
    }
}

/// Returns the memory of a head with a target and fields of these sizes.
fn head_bytes(target: &str, fields: impl Iterator<Item = usize>) -> u64 {
    let fields: u64 = fields.map(|bytes| bytes as u64 + HEADER_BYTES).sum();
    HEAD_COPIES * (target.len() as u64 + fields)
}

/// Returns the budget of the runs on upstreams, a part of what the node may hold.
pub fn run_budget(node: &Budget) -> Budget {
    node.source(Some(node.limit() / RUNS_DIVISOR))
}

/// Creates the channel for links within this node.
pub fn local_link_channel() -> (mpsc::Sender<LocalLink>, mpsc::Receiver<LocalLink>) {
    mpsc::channel(LOCAL_LINK_CAPACITY)
}
