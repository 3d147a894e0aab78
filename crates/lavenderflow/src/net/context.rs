//! What all tasks on the network thread share.

use std::sync::Arc;

use lavenderflow_schema::dialect::Dialect;
use tokio::sync::mpsc;

use super::connector::Connector;
use super::link::{Sink, Source};
use crate::prelude::*;
use crate::upstream::Calls;
use crate::work::Work;

/// Requests of this node to itself that can wait for the network task.
const LOCAL_LINK_CAPACITY: usize = 256;

/// A link of this node to itself, which is served like one from another node.
pub type LocalLink = (Sink, Source);

/// What the tasks on the network thread share.
#[derive(Clone, Debug)]
pub struct Context {
    /// This node.
    pub node: NodeId,
    /// The clock.
    pub clock: SharedClock,
    /// To the actors.
    pub mailbox: Mailbox,
    /// To the connections.
    pub connector: Connector,
    /// To this node's own gate.
    pub local: mpsc::Sender<LocalLink>,
    /// To the upstreams.
    pub calls: Calls,
    /// How callers and upstreams spell what they say.
    pub dialect: Arc<dyn Dialect>,
    /// Counts what a graceful stop waits for.
    pub work: Work,
    /// Interval of pings.
    pub ping: Duration,
}

/// Creates the channel for links of this node to itself.
pub fn local_links() -> (mpsc::Sender<LocalLink>, mpsc::Receiver<LocalLink>) {
    mpsc::channel(LOCAL_LINK_CAPACITY)
}
