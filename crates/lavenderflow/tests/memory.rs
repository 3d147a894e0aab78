//! What a node holds for each of the others.

mod common;

use common::deployment::Deployment;

/// Most memory per other node, in bytes. A VM of 160 MB that holds half of it for 105 nodes has
/// 0.76 MB for each; half of that is left to what they ask for.
const MAX_BYTES_PER_NODE: u64 = 380 * 1024;

/// Returns the memory of one node of a fleet whose nodes know and ping one another.
fn resident_bytes(nodes: usize) -> u64 {
    let deployment = Deployment::start(nodes);
    deployment.vms[0].process.resident_bytes().expect("the memory of a node")
}

#[test]
fn a_node_holds_little_for_each_of_the_others() {
    let (few, many) = (2, 14);
    let growth = resident_bytes(many).saturating_sub(resident_bytes(few));
    let per_node = growth / (many - few) as u64;
    assert!(per_node < MAX_BYTES_PER_NODE, "{per_node} bytes for each node");
}
