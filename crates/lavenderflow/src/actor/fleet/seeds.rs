//! Joins the fleet through nodes of which only the address is known.

use std::net::SocketAddr;

use lavenderflow_core::gossip::Exchange;
use rand::seq::IteratorRandom;

use super::FleetActor;
use crate::net::endpoint::NetworkCommand;
use crate::prelude::*;

/// Seeds that are contacted per round.
const SEEDS_PER_ROUND: usize = 3;

impl FleetActor {
    /// Contacts a few of the seeds that are not known as members.
    pub(super) fn contact_seeds(&mut self) {
        let members = self.roster.members();
        let known: IndexSet<SocketAddr> = members
            .iter()
            .filter(|(node, _)| !self.roster.is_expelled(**node))
            .map(|(_, member)| member.peer_address)
            .collect();
        let seeds = self.seeds.iter().chain(&self.registered_peers);
        let seeds: IndexSet<SocketAddr> =
            seeds.filter(|seed| self.may_contact(seed, &known)).copied().collect();
        // A few seeds are enough: gossip brings the other members.
        for seed in seeds.into_iter().choose_multiple(&mut rand::rng(), SEEDS_PER_ROUND) {
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
                self.contacting.insert(seed);
            }
        }
    }

    /// Returns whether a seed is neither a known member nor being contacted. Each contact needs a
    /// handshake, and further ones while one is slow would slow down all of them.
    fn may_contact(&self, seed: &SocketAddr, known: &IndexSet<SocketAddr>) -> bool {
        !known.contains(seed) && !self.contacting.contains(seed)
    }
}
