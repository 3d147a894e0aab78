//! State shared by all tasks on the network thread.

use std::sync::Arc;

use lavenderflow_core::memory::{Budget, HeldKind, OverLimit, Share};
use lavenderflow_schema::dialect::Dialect;
use lavenderflow_schema::wire::Begin;
use tokio::sync::mpsc;

use super::connector::Connector;
use super::link::{FrameSink, FrameSource};
use crate::prelude::*;
use crate::shutdown::StopWatch;
use crate::upstream::CallSender;
use crate::work::WorkTracker;

/// Links within this node that the channel to the network task buffers.
const LOCAL_LINK_CAPACITY: usize = 256;

/// Bytes of a body that follows its request which are held at a time.
const MAX_PART_BYTES: u64 = 64 * 1024;

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
    /// Interval between pings.
    pub ping_interval: Duration,
}

impl NetworkContext {
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
        let FrameSource::Quic(_) = source else { return Ok(None) };
        let length = begin.body_length.unwrap_or(u64::MAX).min(MAX_PART_BYTES);
        let later = if begin.on_commit || begin.body_follows { length } else { 0 };
        self.budget.claim(HeldKind::Peer, begin.body.len() as u64 + later).map(Some)
    }
}

/// Creates the channel for links within this node.
pub fn local_link_channel() -> (mpsc::Sender<LocalLink>, mpsc::Receiver<LocalLink>) {
    mpsc::channel(LOCAL_LINK_CAPACITY)
}
