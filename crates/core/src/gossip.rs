//! Anti-entropy exchanges that replicate members, suspicions and documents.

use std::hash::Hash;

use crate::catalog::{Catalog, Document, DocumentKey};
use crate::freshness::Confirmation;
use crate::pending::PendingDocuments;
use crate::prelude::*;
use crate::roster::{Member, Roster, Suspicion};
use crate::table::{Sequence, Table, Versioned};

/// Exchanges with different summaries before digests are sent.
const MISMATCHES_TO_SEND_DIGESTS: u32 = 3;
/// Exchanges with different summaries before digests are sent again, if the first ones did not make
/// the summaries equal. Higher because digests are the largest part of an exchange.
const MISMATCHES_TO_RESEND_DIGESTS: u32 = 8;
/// Most records of one kind in an exchange.
const MAX_RECORDS: usize = 400;
/// Size above which a document is announced and sent on request, in bytes.
const MAX_PUSHED_BYTES: usize = 1024;
/// Most bytes of documents in an exchange.
const MAX_DOCUMENT_BYTES: usize = 256 * 1024;

/// A message with records and summaries from one node to another.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Exchange {
    /// The sender.
    pub sender: NodeId,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// Member records.
    pub members: Vec<Member>,
    /// Suspicions.
    pub suspicions: Vec<Suspicion>,
    /// Configuration documents.
    pub documents: Vec<Document>,
    /// Keys and revisions of large documents that the sender has.
    pub announced: Vec<(DocumentKey, Revision)>,
    /// Keys of announced documents that the sender requests.
    pub requested: Vec<DocumentKey>,
    /// Digests of the sender's members, to request the records that it lacks; empty otherwise.
    pub member_digests: Vec<u64>,
    /// Digests of the sender's documents, to request the ones that it lacks; empty otherwise.
    pub document_digests: Vec<u64>,
    /// How long ago the sources of the sender's documents were read.
    pub confirmations: Vec<Confirmation>,
    /// Summaries of the sender's members, documents and suspicions.
    pub summaries: [u64; 3],
}

/// The sequence numbers up to which a peer has the changes of each table.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerCursor {
    members: Sequence,
    suspicions: Sequence,
    documents: Sequence,
}

#[derive(Debug)]
struct Peer {
    cursor: PeerCursor,
    mismatches: u32,
    // Number of mismatches at which digests are sent.
    limit: u32,
    // Digests that the peer sent to request records.
    requested: Option<(Vec<u64>, Vec<u64>)>,
    // Announced documents that the peer requested.
    requested_documents: IndexSet<DocumentKey>,
}

/// Tracks what has been sent to each peer.
#[derive(Debug, Default)]
pub struct Gossip {
    peers: IndexMap<NodeId, Peer>,
    pending: PendingDocuments,
}

impl Gossip {
    /// Builds the next exchange for a peer. Returns it with the cursor to pass to
    /// [`Gossip::mark_delivered`] once the exchange has arrived.
    pub fn compose(
        &mut self,
        roster: &Roster,
        catalog: &Catalog,
        node: NodeId,
    ) -> (Exchange, PeerCursor) {
        let (members, suspicions, documents) =
            (roster.members(), roster.suspicions(), catalog.documents());
        let peer = self.peer(roster, catalog, node);
        let mut cursor = peer.cursor;
        let mut exchange = Exchange {
            sender: roster.local().node,
            incarnation: roster.local().incarnation,
            summaries: [members.summary(), documents.summary(), suspicions.summary()],
            ..Exchange::default()
        };
        (exchange.members, cursor.members) = changes(members, cursor.members, node, |_| 0);
        (exchange.suspicions, cursor.suspicions) =
            changes(suspicions, cursor.suspicions, node, |_| 0);
        let (changed, reached) = changes(documents, cursor.documents, node, pushed_bytes);
        cursor.documents = reached;
        let (small, large): (Vec<_>, Vec<_>) =
            changed.into_iter().partition(|document| document.text.len() <= MAX_PUSHED_BYTES);
        exchange.documents = small;
        exchange.announced =
            large.into_iter().map(|document| (document.key, document.revision)).collect();
        let requested = std::mem::take(&mut peer.requested_documents);
        let requested = requested.iter().filter_map(|key| documents.get(key));
        append(&mut exchange.documents, requested, |document| document.text.len());
        if let Some((member_digests, document_digests)) = peer.requested.take() {
            append(&mut exchange.members, members.in_differing_buckets(&member_digests), |_| 0);
            append(
                &mut exchange.documents,
                documents.in_differing_buckets(&document_digests),
                |document| document.text.len(),
            );
        }
        if peer.mismatches >= peer.limit {
            peer.mismatches = 0;
            peer.limit = MISMATCHES_TO_RESEND_DIGESTS;
            exchange.member_digests = members.digests().to_vec();
            exchange.document_digests = documents.digests().to_vec();
        }
        self.pending.remove_known(catalog);
        exchange.requested = self.pending.request(node, roster.now());
        (exchange, cursor)
    }

    /// Records that an exchange has arrived.
    pub fn mark_delivered(&mut self, node: NodeId, cursor: PeerCursor) {
        if let Some(peer) = self.peers.get_mut(&node) {
            peer.cursor = cursor;
        }
    }

    /// Records that a peer has sent a document, whether or not this node accepts it.
    pub fn mark_received(&mut self, document: &Document) {
        self.pending.remove(&document.key, document.revision);
    }

    /// Compares the summaries of an exchange after its records were merged, and stores its digests
    /// for the next exchange with the sender.
    pub fn compare_summaries(&mut self, roster: &Roster, catalog: &Catalog, exchange: &Exchange) {
        for (key, revision) in &exchange.announced {
            self.pending.announce(catalog, exchange.sender, key.clone(), *revision);
        }
        let peer = self.peer(roster, catalog, exchange.sender);
        peer.requested_documents.extend(exchange.requested.iter().cloned());
        if !exchange.member_digests.is_empty() {
            peer.requested =
                Some((exchange.member_digests.clone(), exchange.document_digests.clone()));
        }
        let [members, documents, suspicions] = exchange.summaries;
        let equal =
            members == roster.members().summary() && documents == catalog.documents().summary();
        if equal {
            (peer.mismatches, peer.limit) = (0, MISMATCHES_TO_SEND_DIGESTS);
        } else {
            peer.mismatches = peer.mismatches.saturating_add(1);
        }
        // An exchange has no digests of suspicions, so all of them are sent again.
        if equal && suspicions != roster.suspicions().summary() {
            peer.cursor.suspicions = 0;
        }
    }

    /// Returns the state of a peer, which is created on first use.
    fn peer(&mut self, roster: &Roster, catalog: &Catalog, node: NodeId) -> &mut Peer {
        // A new peer gets the members and documents that it lacks by digests, so that not all are
        // sent.
        self.peers.entry(node).or_insert_with(|| Peer {
            cursor: PeerCursor {
                members: roster.members().last_sequence(),
                suspicions: 0,
                documents: catalog.documents().last_sequence(),
            },
            mismatches: MISMATCHES_TO_SEND_DIGESTS,
            limit: MISMATCHES_TO_SEND_DIGESTS,
            requested: None,
            requested_documents: IndexSet::new(),
        })
    }

    /// Returns whether a peer lacks or has requested documents, or has one that this node lacks.
    pub fn has_documents(&self, roster: &Roster, catalog: &Catalog, node: NodeId) -> bool {
        self.pending.has_request(node, roster.now())
            || self.peers.get(&node).is_some_and(|peer| {
                let mut changes = catalog.documents().changes_since(peer.cursor.documents, node);
                !peer.requested_documents.is_empty() || changes.next().is_some()
            })
    }

    /// Returns whether a peer is new, has requested records or lacks changes.
    pub fn has_pending(&self, roster: &Roster, catalog: &Catalog, node: NodeId) -> bool {
        let Some(peer) = self.peers.get(&node) else {
            return true;
        };
        peer.requested.is_some()
            || self.has_documents(roster, catalog, node)
            || roster.members().changes_since(peer.cursor.members, node).next().is_some()
            || roster.suspicions().changes_since(peer.cursor.suspicions, node).next().is_some()
    }

    /// Removes the state of peers that are no longer contacted: those for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(NodeId) -> bool) {
        self.peers.retain(|node, _| keep(*node));
    }
}

/// Returns the bytes of a document that go into an exchange without a request.
fn pushed_bytes(document: &Document) -> usize {
    let length = document.text.len();
    if length <= MAX_PUSHED_BYTES { length } else { document.key.len() }
}

/// Returns the changes after `cursor` that fit into an exchange, and the sequence number up to
/// which they bring the peer.
fn changes<K: Clone + Eq + Hash, V: Clone + Versioned>(
    table: &Table<K, V>,
    cursor: Sequence,
    peer: NodeId,
    size: impl Fn(&V) -> usize,
) -> (Vec<V>, Sequence) {
    let mut records = Vec::new();
    let mut bytes = 0;
    let mut reached = cursor;
    for (sequence, value) in table.changes_since(cursor, peer) {
        bytes += size(value);
        if records.len() >= MAX_RECORDS || (bytes > MAX_DOCUMENT_BYTES && !records.is_empty()) {
            return (records, reached);
        }
        records.push(value.clone());
        reached = sequence;
    }
    (records, table.last_sequence())
}

/// Appends records while they fit into an exchange.
fn append<'a, V: Clone + PartialEq + 'a>(
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
