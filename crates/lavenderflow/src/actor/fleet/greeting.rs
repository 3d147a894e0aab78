//! Greets nodes of which only the address is known.

use std::net::SocketAddr;

use lavenderflow_core::gossip::Exchange;
use rand::seq::IteratorRandom;

use super::FleetActor;
use crate::net::endpoint::NetworkCommand;
use crate::prelude::*;

/// Nodes that are greeted at a time.
const GREETED: usize = 3;

impl FleetActor {
    /// Greets the seeds that are not known as nodes.
    pub(super) fn greet(&mut self) {
        let members = self.roster.members();
        let known: IndexSet<SocketAddr> = members
            .iter()
            .filter(|(node, _)| !self.roster.is_expelled(**node))
            .map(|(_, member)| member.peer_address)
            .collect();
        let seeds = self.seeds.iter().chain(&self.introduced);
        let seeds: IndexSet<SocketAddr> =
            seeds.filter(|seed| self.may_greet(seed, &known)).copied().collect();
        // Gossip brings the others.
        for seed in seeds.into_iter().choose_multiple(&mut rand::rng(), GREETED) {
            let mut exchange = Exchange {
                sender: self.roster.local().node,
                incarnation: self.roster.local().incarnation,
                members: vec![self.roster.local().clone()],
                member_digests: self.roster.members().digests().to_vec(),
                document_digests: self.catalog.documents().digests().to_vec(),
                ..Exchange::default()
            };
            exchange.summaries[0] = self.roster.members().summary();
            exchange.summaries[1] = self.catalog.documents().summary();
            if self.send(NetworkCommand::Contact(seed, exchange)) {
                self.greeting.insert(seed);
            }
        }
    }

    /// Tells whether a seed is neither known as a node nor being greeted. Each greeting is a
    /// handshake, and one more while one is slow would make all of them slower.
    fn may_greet(&self, seed: &SocketAddr, known: &IndexSet<SocketAddr>) -> bool {
        !known.contains(seed) && !self.greeting.contains(seed)
    }
}
