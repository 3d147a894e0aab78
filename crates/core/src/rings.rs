//! The monitoring topology: which nodes observe which.
//!
//! Nodes are placed on several rings, each in a different pseudo-random order. On each ring a node
//! is observed by its nearest live predecessor. Together the rings form an expander graph: gossip
//! along its edges reaches every node in a logarithmic number of steps, and the observers of one
//! node are spread over the fleet.

use indexmap::IndexSet;

use crate::id::{NodeId, hash};

/// Number of rings, and so the most observers of one node.
pub const RING_COUNT: u64 = 4;

/// The rings of a fleet.
#[derive(Clone, Debug, Default)]
pub struct Rings {
    orders: Vec<IndexSet<NodeId>>,
}

impl Rings {
    /// Places nodes on the rings.
    pub fn new(nodes: impl IntoIterator<Item = NodeId>) -> Self {
        let nodes: Vec<NodeId> = nodes.into_iter().collect();
        let orders = (0..RING_COUNT).map(|ring| {
            let mut order = nodes.clone();
            order.sort_by_cached_key(|node| hash(&(ring, node)));
            order.into_iter().collect()
        });
        Self { orders: orders.collect() }
    }

    /// Returns the live nodes that observe `subject`: on each ring its nearest live predecessor.
    pub fn observers(&self, subject: NodeId, is_live: impl Fn(NodeId) -> bool) -> IndexSet<NodeId> {
        let find = |order: &IndexSet<NodeId>| {
            let start = order.get_index_of(&subject)?;
            let mut predecessors = successors(order, start).rev();
            predecessors.find(|node| is_live(*node))
        };
        self.orders.iter().filter_map(find).collect()
    }

    /// Returns the nodes that `observer` observes: on each ring the next live node and the dead
    /// nodes between the two.
    pub fn subjects(&self, observer: NodeId, is_live: impl Fn(NodeId) -> bool) -> IndexSet<NodeId> {
        let mut subjects = IndexSet::new();
        for order in &self.orders {
            let Some(start) = order.get_index_of(&observer) else { continue };
            for node in successors(order, start) {
                subjects.insert(node);
                if is_live(node) {
                    break;
                }
            }
        }
        subjects
    }
}

/// Returns the nodes that follow the one at index `start`, once around the ring, without itself.
fn successors(order: &IndexSet<NodeId>, start: usize) -> impl DoubleEndedIterator<Item = NodeId> {
    let count = order.len();
    (start + 1..start + count).map(move |index| order[index % count])
}
