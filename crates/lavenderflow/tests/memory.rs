//! The memory of a node per other node of the fleet is bounded.

mod common;

use common::deployment::Deployment;

/// Maximum memory per other node. A VM with 160 MB that uses half of it for 105 nodes has 0.76 MB
/// per node; half of that is reserved for their requests.
const MAX_BYTES_PER_NODE: u64 = 380 * 1024;

/// Returns the resident memory of one node in a fleet of `nodes` nodes that ping each other.
fn resident_bytes(nodes: usize) -> u64 {
    let deployment = Deployment::start(nodes);
    deployment.vms[0].process.resident_bytes().expect("the memory of a node")
}

#[test]
fn memory_per_other_node_is_bounded() {
    let (few, many) = (2, 14);
    let growth = resident_bytes(many).saturating_sub(resident_bytes(few));
    let per_node = growth / (many - few) as u64;
    assert!(per_node < MAX_BYTES_PER_NODE, "{per_node} bytes for each node");
}
