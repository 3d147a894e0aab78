//! Decides which connections from other nodes are accepted.

use std::net::IpAddr;

use crate::memory::{Budget, HeldKind, Share};
use crate::prelude::*;

/// Memory that an open connection is accounted with: its state, its windows and its streams.
const CONNECTION_BYTES: u64 = 64 * 1024;
/// Part of what a node may hold that connections from other nodes may take.
const CONNECTIONS_DIVISOR: u64 = 2;
/// Share of that part which connections from one address may take.
const SOURCE_SHARE: (u64, u64) = (3, 4);

/// The connections from other nodes, accounted by their source address.
///
/// # Examples
///
/// ```
/// use lavenderflow_core::memory::Budget;
/// use lavenderflow_core::peer_connections::PeerConnections;
///
/// let node = Budget::new(Some(1 << 20));
/// let mut peers = PeerConnections::new(&node);
/// let open: Vec<_> = (0..9).map_while(|_| peers.open([10, 0, 0, 1].into())).collect();
/// assert_eq!(open.len(), 6);
/// assert!(peers.open([10, 0, 0, 2].into()).is_some());
/// drop(open);
/// assert!(peers.open([10, 0, 0, 1].into()).is_some());
/// ```
#[derive(Debug)]
pub struct PeerConnections {
    budget: Budget,
    sources: IndexMap<IpAddr, Budget>,
}

impl PeerConnections {
    /// Creates an empty account, a part of the budget of the node.
    pub fn new(node: &Budget) -> Self {
        let budget = node.source(Some(node.limit() / CONNECTIONS_DIVISOR));
        Self { budget, sources: IndexMap::new() }
    }

    /// Accounts for a connection until the share is dropped; `None` if there is no memory for it.
    pub fn open(&mut self, source: IpAddr) -> Option<Share> {
        self.sources.retain(|_, budget| budget.held() > 0);
        let limit = self.budget.limit() / SOURCE_SHARE.1 * SOURCE_SHARE.0;
        let budget = &self.budget;
        let owner = self.sources.entry(source).or_insert_with(|| budget.source(Some(limit)));
        let has_room = owner.held().saturating_add(CONNECTION_BYTES) <= limit
            && budget.held().saturating_add(CONNECTION_BYTES) <= budget.limit();
        has_room.then(|| owner.hold(HeldKind::Peer, CONNECTION_BYTES))
    }
}
