//! Which nodes are lenders and roots, as one node sees the fleet.

use crate::id::hash;
use crate::prelude::*;
use crate::roster::Member;

/// Most lenders of a zone. Each entry keeps connections to its zone's lenders only, and each lender
/// to those of all zones.
const MAX_ZONE_LENDERS: usize = 4;
/// Share of expelled nodes up to which roots use the whole allowance. Nodes that cannot be reached
/// may still be serving callers, with at most this share of the allowance. Within the tolerance of
/// 10%, it stays below what the life of tokens leaves.
const NEGLIGIBLE_EXPELLED_SHARE: f64 = 0.05;

#[derive(Clone, Debug, PartialEq)]
struct Place {
    zone: ZoneName,
    leaving: bool,
    expelled: bool,
}

/// The nodes of the fleet and the lenders among them.
#[derive(Clone, Debug)]
pub struct Placement {
    own: NodeId,
    zone: ZoneName,
    nodes: IndexMap<NodeId, Place>,
    lenders: IndexMap<ZoneName, Vec<NodeId>>,
}

impl Placement {
    /// Creates the placement of a node that knows no other one.
    pub fn new(own: NodeId, zone: ZoneName) -> Self {
        let mut nodes = IndexMap::new();
        nodes.insert(own, Place { zone: zone.clone(), leaving: false, expelled: false });
        let mut placement = Self { own, zone, nodes, lenders: IndexMap::new() };
        placement.elect();
        placement
    }

    /// Records a node; returns whether the lenders have changed.
    pub fn set_node(&mut self, member: &Member, expelled: bool) -> bool {
        // What others believe about this node does not change what it can reach.
        let expelled = expelled && member.node != self.own;
        let place = Place { zone: member.zone.clone(), leaving: member.leaving, expelled };
        let old = self.nodes.insert(member.node, place.clone());
        old.as_ref() != Some(&place) && self.elect()
    }

    /// Removes a node; returns whether the lenders have changed.
    pub fn remove_node(&mut self, node: NodeId) -> bool {
        node != self.own && self.nodes.swap_remove(&node).is_some() && self.elect()
    }

    /// Returns the lenders of this node's zone in the order in which they are asked for tokens of
    /// an organisation.
    pub fn lenders(&self, organisation: &str) -> Vec<NodeId> {
        let mut order = self.lenders.get(&self.zone).cloned().unwrap_or_default();
        order.sort_by_cached_key(|node| hash(&("zone-lender", organisation, node)));
        order
    }

    /// Returns the nodes that can be root of an organisation; the first one is.
    pub fn roots(&self, organisation: &str) -> Vec<NodeId> {
        let mut order: Vec<NodeId> = self.lenders.values().flatten().copied().collect();
        order.sort_by_cached_key(|node| hash(&("root", organisation, node)));
        order
    }

    /// Returns whether a node is known and not expelled.
    pub fn is_reachable(&self, node: NodeId) -> bool {
        self.nodes.get(&node).is_some_and(|place| !place.expelled)
    }

    /// Returns the number of nodes that may serve callers, reachable or not.
    pub fn size(&self) -> usize {
        self.nodes.values().filter(|place| !place.leaving).count().max(1)
    }

    /// Returns the number of such nodes in this node's zone.
    pub fn zone_size(&self) -> usize {
        let places = self.nodes.values();
        places.filter(|place| !place.leaving && place.zone == self.zone).count().max(1)
    }

    /// Returns the share of the allowances that this node may grant as a root. Behind a partition,
    /// the nodes on the other side may grant the rest.
    pub fn share(&self) -> f64 {
        let serving = self.nodes.values().filter(|place| !place.leaving);
        let expelled = serving.filter(|place| place.expelled).count() as f64 / self.size() as f64;
        if expelled <= NEGLIGIBLE_EXPELLED_SHARE { 1.0 } else { 1.0 - expelled }
    }

    /// Selects the lenders; returns whether they have changed.
    fn elect(&mut self) -> bool {
        let mut lenders: IndexMap<ZoneName, Vec<NodeId>> = IndexMap::new();
        for (node, place) in &self.nodes {
            if !place.leaving && !place.expelled {
                lenders.entry(place.zone.clone()).or_default().push(*node);
            }
        }
        for nodes in lenders.values_mut() {
            nodes.sort_by_cached_key(|node| hash(&("lender", node)));
            nodes.truncate(MAX_ZONE_LENDERS);
        }
        lenders.sort_keys();
        let has_changed = lenders != self.lenders;
        self.lenders = lenders;
        has_changed
    }
}
