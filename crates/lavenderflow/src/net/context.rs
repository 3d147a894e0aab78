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
        let has_room = self.runs.held().saturating_add(RUN_BYTES) <= self.runs.limit();
        has_room.then(|| self.runs.hold(HeldKind::Run, RUN_BYTES))
    }

    /// Accounts for the body of a request from another node. Within the node the entry does so.
    ///
    /// # Errors
    ///
    /// The node holds as much for others as it may.
    pub fn claim_body(
        &self,
        begin: &Begin,
        source: &FrameSource,
    ) -> Result<Option<Share>, OverLimit> {
        let FrameSource::Accepted(..) = source else { return Ok(None) };
        let length = begin.body_length.unwrap_or(u64::MAX).min(MAX_PART_BYTES);
        let later = if begin.on_commit || begin.body_follows { length } else { 0 };
        self.budget.claim(HeldKind::Peer, begin.body.len() as u64 + later).map(Some)
    }
}

/// Returns the budget of the runs on upstreams, a part of what the node may hold.
pub fn run_budget(node: &Budget) -> Budget {
    node.source(Some(node.limit() / RUNS_DIVISOR))
}

/// Creates the channel for links within this node.
pub fn local_link_channel() -> (mpsc::Sender<LocalLink>, mpsc::Receiver<LocalLink>) {
    mpsc::channel(LOCAL_LINK_CAPACITY)
}
