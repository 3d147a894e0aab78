//! Composes and takes in the exchanges that spread members, doubts and documents.

use std::hash::Hash;

use crate::catalog::{Catalog, Document};
use crate::prelude::*;
use crate::roster::{Doubt, Member, Roster};
use crate::table::{Sequence, Table, Versioned};

/// Exchanges with differing summaries after which digests are compared.
const MISMATCHES: u32 = 3;
/// Exchanges after which they are compared once more, when that did not make the summaries equal.
/// Digests are the largest part of an exchange.
const MORE_MISMATCHES: u32 = 8;
/// Most records of one kind in an exchange.
const MAX_RECORDS: usize = 400;
/// Most bytes of documents in an exchange.
const MAX_DOCUMENT_BYTES: usize = 256 * 1024;

/// What one node sends another.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Exchange {
    /// The sender.
    pub sender: NodeId,
    /// The run of the sender's process.
    pub incarnation: Incarnation,
    /// Records of nodes.
    pub members: Vec<Member>,
    /// Doubts.
    pub doubts: Vec<Doubt>,
    /// Configuration.
    pub documents: Vec<Document>,
    /// Digests of the sender's members, when it asks for what it lacks.
    pub member_digests: Vec<u64>,
    /// Digests of the sender's documents, when it asks for what it lacks.
    pub document_digests: Vec<u64>,
    /// Summaries of the sender's members, documents and doubts.
    pub summaries: [u64; 3],
}

/// How far a composed exchange brings its receiver.
#[derive(Clone, Copy, Debug, Default)]
pub struct Position {
    members: Sequence,
    doubts: Sequence,
    documents: Sequence,
}

#[derive(Debug)]
struct Peer {
    position: Position,
    mismatches: u32,
    // Mismatches after which digests are sent.
    limit: u32,
    asked: Option<(Vec<u64>, Vec<u64>)>,
}

/// Remembers what each peer has been sent.
#[derive(Debug, Default)]
pub struct Gossip {
    peers: IndexMap<NodeId, Peer>,
}

impl Gossip {
    /// Composes the next exchange for a peer, and the position to pass to
    /// [`Gossip::delivered`] once it has arrived.
    pub fn compose(
        &mut self,
        roster: &Roster,
        catalog: &Catalog,
        node: NodeId,
    ) -> (Exchange, Position) {
        let (members, doubts, documents) =
            (roster.members(), roster.all_doubts(), catalog.documents());
        let peer = self.peer(roster, catalog, node);
        let mut position = peer.position;
        let mut exchange = Exchange {
            sender: roster.me().node,
            incarnation: roster.me().incarnation,
            summaries: [members.summary(), documents.summary(), doubts.summary()],
            ..Exchange::default()
        };
        (exchange.members, position.members) = news(members, position.members, node, |_| 0);
        (exchange.doubts, position.doubts) = news(doubts, position.doubts, node, |_| 0);
        (exchange.documents, position.documents) =
            news(documents, position.documents, node, |document| document.text.len());
        if let Some((asked_members, asked_documents)) = peer.asked.take() {
            fill(&mut exchange.members, members.differing(&asked_members), |_| 0);
            fill(&mut exchange.documents, documents.differing(&asked_documents), |d| d.text.len());
        }
        if peer.mismatches >= peer.limit {
            peer.mismatches = 0;
            peer.limit = MORE_MISMATCHES;
            exchange.member_digests = members.digests().to_vec();
            exchange.document_digests = documents.digests().to_vec();
        }
        (exchange, position)
    }

    /// Notes that a composed exchange has arrived.
    pub fn delivered(&mut self, node: NodeId, position: Position) {
        if let Some(peer) = self.peers.get_mut(&node) {
            peer.position = position;
        }
    }

    /// Compares summaries and digests after the records of an exchange were taken in.
    pub fn compare(&mut self, roster: &Roster, catalog: &Catalog, exchange: &Exchange) {
        let peer = self.peer(roster, catalog, exchange.sender);
        if !exchange.member_digests.is_empty() {
            peer.asked = Some((exchange.member_digests.clone(), exchange.document_digests.clone()));
        }
        let [members, documents, doubts] = exchange.summaries;
        let equal =
            members == roster.members().summary() && documents == catalog.documents().summary();
        if equal {
            (peer.mismatches, peer.limit) = (0, MISMATCHES);
        } else {
            peer.mismatches = peer.mismatches.saturating_add(1);
        }
        if equal && doubts != roster.all_doubts().summary() {
            peer.position.doubts = 0;
        }
    }

    /// Returns what is known of a peer.
    fn peer(&mut self, roster: &Roster, catalog: &Catalog, node: NodeId) -> &mut Peer {
        // A new peer is brought up to date by digests, not by sending everything.
        self.peers.entry(node).or_insert_with(|| Peer {
            position: Position {
                members: roster.members().sequence(),
                doubts: 0,
                documents: catalog.documents().sequence(),
            },
            mismatches: MISMATCHES,
            limit: MISMATCHES,
            asked: None,
        })
    }

    /// Tells whether a peer should be sent another exchange at once.
    pub fn is_pending(&self, roster: &Roster, catalog: &Catalog, node: NodeId) -> bool {
        let Some(peer) = self.peers.get(&node) else {
            return true;
        };
        peer.asked.is_some()
            || roster.members().since(peer.position.members, node).next().is_some()
            || catalog.documents().since(peer.position.documents, node).next().is_some()
            || roster.all_doubts().since(peer.position.doubts, node).next().is_some()
    }

    /// Forgets peers that are no longer spoken to.
    pub fn retain(&mut self, keep: impl Fn(NodeId) -> bool) {
        self.peers.retain(|node, _| keep(*node));
    }
}

/// Returns the changes after `cursor` that fit, and how far they go.
fn news<K: Clone + Eq + Hash, V: Clone + Versioned>(
    table: &Table<K, V>,
    cursor: Sequence,
    peer: NodeId,
    size: impl Fn(&V) -> usize,
) -> (Vec<V>, Sequence) {
    let mut records = Vec::new();
    let mut bytes = 0;
    let mut reached = cursor;
    for (sequence, value) in table.since(cursor, peer) {
        bytes += size(value);
        if records.len() >= MAX_RECORDS || (bytes > MAX_DOCUMENT_BYTES && !records.is_empty()) {
            return (records, reached);
        }
        records.push(value.clone());
        reached = sequence;
    }
    (records, table.sequence())
}

/// Adds records while they fit.
fn fill<'a, V: Clone + PartialEq + 'a>(
    records: &mut Vec<V>,
    more: impl Iterator<Item = &'a V>,
    size: impl Fn(&V) -> usize,
) {
    let mut bytes: usize = records.iter().map(&size).sum();
    for value in more {
        bytes += size(value);
        if records.len() >= MAX_RECORDS || bytes > MAX_DOCUMENT_BYTES {
            break;
        }
        if !records.contains(value) {
            records.push(value.clone());
        }
    }
}
