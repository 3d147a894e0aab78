//! Gossip makes the members and documents of all nodes equal although exchanges are lost, and no
//! record is replaced by an older one.

mod support;

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use lavenderflow_core::catalog::{Catalog, ConfigItem, Document, DocumentKey};
use lavenderflow_core::clock::SharedClock;
use lavenderflow_core::gossip::{Exchange, Gossip};
use lavenderflow_core::id::Revision;
use lavenderflow_core::organisation::Organisation;
use lavenderflow_core::roster::{Member, Roster};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use support::{clock, member};

struct Node {
    roster: Roster,
    catalog: Catalog,
    gossip: Gossip,
}

impl Node {
    fn new(id: u64, clock: &SharedClock) -> Self {
        let roster = Roster::new(Arc::clone(clock), member(id, id, vec![]));
        Self { roster, catalog: Catalog::default(), gossip: Gossip::default() }
    }

    fn apply(&mut self, document: Document, source: Option<u64>) {
        let item: Result<ConfigItem, std::fmt::Error> =
            Ok(ConfigItem::Organisation(Organisation::default()));
        self.catalog.apply(document, item, source);
    }

    fn receive(&mut self, mut exchange: Exchange) {
        let source = exchange.sender;
        self.roster.merge(
            std::mem::take(&mut exchange.members),
            std::mem::take(&mut exchange.suspicions),
            source,
        );
        for document in std::mem::take(&mut exchange.documents) {
            self.gossip.mark_received(&document);
            self.apply(document, Some(source));
        }
        self.gossip.compare_summaries(&self.roster, &self.catalog, &exchange);
    }

    fn revisions(&self) -> IndexMap<DocumentKey, Revision> {
        let documents = self.catalog.documents().iter();
        let mut revisions: IndexMap<DocumentKey, Revision> =
            documents.map(|(key, document)| (key.clone(), document.revision)).collect();
        revisions.sort_keys();
        revisions
    }
}

/// Interval between two exchanges.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(100);

/// Sends an exchange from one node to another, and one back; returns the number of documents in
/// them. `lost` says whether the request and the response are lost.
fn run_exchange(nodes: &mut [Node], from: usize, to: usize, lost: (bool, bool)) -> usize {
    let (from_id, to_id) = (nodes[from].roster.local().node, nodes[to].roster.local().node);
    let node = &mut nodes[from];
    let (request, cursor) = node.gossip.compose(&node.roster, &node.catalog, to_id);
    let mut documents = request.documents.len();
    if lost.0 {
        return documents;
    }
    nodes[to].receive(request);
    let node = &mut nodes[to];
    let (response, response_cursor) = node.gossip.compose(&node.roster, &node.catalog, from_id);
    node.gossip.mark_delivered(from_id, response_cursor);
    documents += response.documents.len();
    if !lost.1 {
        nodes[from].gossip.mark_delivered(to_id, cursor);
        nodes[from].receive(response);
    }
    documents
}

fn document(key: u8, revision: u64) -> Document {
    let text = format!("{key} {revision}");
    Document { key: format!("organisations/{key}").into(), revision, text: text.as_bytes().into() }
}

/// Returns a document that is so large that it is announced and sent on request.
fn large_document(key: u8, revision: u64) -> Document {
    let small = document(key, revision);
    Document { text: small.text.repeat(500).into(), ..small }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 60,
        rng_seed: RngSeed::Fixed(30),
        ..ProptestConfig::default()
    })]
    #[test]
    fn nodes_converge_and_revisions_never_decrease(
        changes in vec((0_usize..5, 0_u8..6, 1_u64..9), 1..30),
        exchanges in vec((0_usize..5, 0_usize..5, any::<bool>(), any::<bool>()), 0..80),
    ) {
        let time = clock();
        let clock: SharedClock = time.clone();
        let mut nodes: Vec<Node> = (1..=5).map(|id| Node::new(id, &clock)).collect();
        let mut changes = changes.into_iter();
        for (from, to, request_lost, response_lost) in exchanges {
            if let Some((node, key, revision)) = changes.next() {
                let document = if key % 2 == 0 { document } else { large_document };
                nodes[node].apply(document(key, revision), None);
            }
            time.advance(EXCHANGE_INTERVAL);
            let before: Vec<_> = nodes.iter().map(Node::revisions).collect();
            if from != to {
                run_exchange(&mut nodes, from, to, (request_lost, response_lost));
            }
            for (node, before) in nodes.iter().zip(before) {
                let after = node.revisions();
                prop_assert!(before.iter().all(|(key, revision)| after[key] >= *revision));
            }
        }
        for _ in 0..12 {
            for node in 0..5 {
                time.advance(EXCHANGE_INTERVAL);
                run_exchange(&mut nodes, node, (node + 1) % 5, (false, false));
            }
        }
        for node in &nodes {
            prop_assert_eq!(node.revisions(), nodes[0].revisions());
            prop_assert_eq!(node.roster.members().len(), 5);
            prop_assert_eq!(node.roster.members().summary(), nodes[0].roster.members().summary());
        }
    }
}

#[test]
fn a_new_node_gets_all_documents_and_later_exchanges_are_small() {
    let clock: SharedClock = clock();
    let mut nodes: Vec<Node> = (1..=2).map(|id| Node::new(id, &clock)).collect();
    for key in 0..200 {
        nodes[0].apply(document(key, 1), None);
    }
    for _ in 0..6 {
        run_exchange(&mut nodes, 1, 0, (false, false));
    }
    assert_eq!(nodes[1].revisions().len(), 200);
    let node = &mut nodes[1];
    let (exchange, _) = node.gossip.compose(&node.roster, &node.catalog, 1);
    assert!(exchange.members.is_empty() && exchange.documents.is_empty());
    assert!(exchange.member_digests.is_empty());
    nodes[0].apply(document(7, 2), None);
    let node = &mut nodes[0];
    let (exchange, _) = node.gossip.compose(&node.roster, &node.catalog, 2);
    assert_eq!(exchange.documents, [document(7, 2)]);
}

#[test]
fn a_large_document_is_sent_to_each_node_once() {
    const NODES: u64 = 9;
    let time = clock();
    let clock: SharedClock = time.clone();
    let mut nodes: Vec<Node> = (1..=NODES).map(|id| Node::new(id, &clock)).collect();
    let exchange_all = |nodes: &mut Vec<Node>, rounds: usize| -> usize {
        let mut copies = 0;
        for _ in 0..rounds {
            // Each node exchanges with four others.
            for from in 0..nodes.len() {
                for step in 1..=4 {
                    time.advance(Duration::from_millis(1));
                    let to = (from + step) % nodes.len();
                    copies += run_exchange(nodes, from, to, (false, false));
                }
            }
        }
        copies
    };
    exchange_all(&mut nodes, 8);
    nodes[0].apply(large_document(7, 2), None);
    let copies = exchange_all(&mut nodes, 4);
    assert!(nodes.iter().all(|node| node.revisions() == nodes[0].revisions()));
    assert_eq!(copies as u64, NODES - 1);
}

#[test]
fn a_document_that_is_not_accepted_is_not_requested_again() {
    let time = clock();
    let clock: SharedClock = time.clone();
    let mut nodes: Vec<Node> = (1..=2).map(|id| Node::new(id, &clock)).collect();
    run_exchange(&mut nodes, 0, 1, (false, false));
    nodes[0].apply(large_document(7, 2), None);
    let mut requests = 0;
    for _ in 0..60 {
        time.advance(Duration::from_millis(500));
        let node = &mut nodes[0];
        let (request, cursor) = node.gossip.compose(&node.roster, &node.catalog, 2);
        node.gossip.mark_delivered(2, cursor);
        // The other node does not apply the document, as if it were malformed.
        request.documents.iter().for_each(|document| nodes[1].gossip.mark_received(document));
        let request = Exchange { documents: Vec::new(), document_digests: Vec::new(), ..request };
        nodes[1].receive(request);
        let node = &mut nodes[1];
        let (response, _) = node.gossip.compose(&node.roster, &node.catalog, 1);
        requests += response.requested.len();
        nodes[0].receive(Exchange { documents: Vec::new(), ..response });
    }
    assert_eq!(requests, 1);
}

#[test]
fn nodes_agree_on_a_replaced_node_for_any_order_of_records() {
    let clock: SharedClock = clock();
    let mut nodes: Vec<Node> = (1..=3).map(|id| Node::new(id, &clock)).collect();
    let old = Member {
        peer_address: "10.0.0.77:9".parse().expect("an address"),
        ..member(10, 1, vec![])
    };
    let new = Member { node: 11, version: old.version + 1, ..old.clone() };
    nodes[0].roster.merge(vec![old.clone(), new.clone()], vec![], 9);
    nodes[1].roster.merge(vec![new, old], vec![], 9);
    for _ in 0..12 {
        run_exchange(&mut nodes, 0, 1, (false, false));
        run_exchange(&mut nodes, 1, 2, (false, false));
    }
    for node in &nodes {
        assert!(node.roster.members().get(&10).is_none(), "node {}", node.roster.local().node);
        assert_eq!(node.roster.members().summary(), nodes[0].roster.members().summary());
    }
}

#[test]
fn digests_are_sent_rarely_while_nodes_cannot_converge() {
    let clock: SharedClock = clock();
    let mut nodes: Vec<Node> = (1..=2).map(|id| Node::new(id, &clock)).collect();
    // Only one node accepts this document, as when the other runs an earlier release.
    nodes[0].apply(document(1, 1), None);
    let mut digests = 0;
    for _ in 0..80 {
        let node = &mut nodes[0];
        let (exchange, cursor) = node.gossip.compose(&node.roster, &node.catalog, 2);
        digests += usize::from(!exchange.member_digests.is_empty());
        node.gossip.mark_delivered(2, cursor);
        let summaries = [exchange.summaries[0], 0, exchange.summaries[2]];
        let response = Exchange { sender: 2, summaries, ..Exchange::default() };
        nodes[0].receive(response);
    }
    // Digests take a few kilobytes: one in eight exchanges at most has them, besides the first one.
    assert!((2..=11).contains(&digests), "{digests} of 80 exchanges");
}
