//! Documents that peers have announced and this node lacks.
//!
//! A node with four neighbours on each side would receive a large document up to eight times if each
//! sent it. They announce it instead, and the node requests it from one of them.

use crate::catalog::{Catalog, DocumentKey};
use crate::prelude::*;

/// Time after which a document that has not arrived is requested from another peer.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(300);

#[derive(Debug)]
struct PendingDocument {
    revision: Revision,
    sources: IndexSet<NodeId>,
    requested_at: Option<Instant>,
}

/// Tracks the documents that this node lacks, and which peers have them.
///
/// # Examples
///
/// ```
/// use std::time::Instant;
///
/// use lavenderflow_core::catalog::Catalog;
/// use lavenderflow_core::pending::PendingDocuments;
///
/// let (catalog, now) = (Catalog::default(), Instant::now());
/// let mut pending = PendingDocuments::default();
/// pending.announce(&catalog, 1, "deployment".into(), 7);
/// pending.announce(&catalog, 2, "deployment".into(), 7);
/// // It is requested from one of the two peers.
/// assert_eq!(pending.request(1, now), ["deployment".into()]);
/// assert!(pending.request(2, now).is_empty());
/// ```
#[derive(Debug, Default)]
pub struct PendingDocuments {
    documents: IndexMap<DocumentKey, PendingDocument>,
}

impl PendingDocuments {
    /// Records that a peer has a revision of a document.
    pub fn announce(
        &mut self,
        catalog: &Catalog,
        peer: NodeId,
        key: DocumentKey,
        revision: Revision,
    ) {
        let known = catalog.documents().get(&key);
        if known.is_some_and(|document| document.revision >= revision) {
            return;
        }
        let new = || PendingDocument { revision, sources: IndexSet::new(), requested_at: None };
        let pending = self.documents.entry(key).or_insert_with(new);
        if pending.revision < revision {
            *pending = new();
        }
        if pending.revision == revision {
            pending.sources.insert(peer);
        }
    }

    /// Removes a document that a peer has sent, also if this node does not accept it.
    pub fn remove(&mut self, key: &DocumentKey, revision: Revision) {
        if self.documents.get(key).is_some_and(|pending| pending.revision <= revision) {
            self.documents.swap_remove(key);
        }
    }

    /// Removes the documents that have become known, for example from the store.
    pub fn remove_known(&mut self, catalog: &Catalog) {
        self.documents.retain(|key, pending| {
            catalog.documents().get(key).is_none_or(|known| known.revision < pending.revision)
        });
    }

    /// Returns whether a document is to be requested from a peer now.
    pub fn has_request(&self, peer: NodeId, now: Instant) -> bool {
        self.documents.values().any(|pending| is_due(pending, peer, now))
    }

    /// Returns the documents to request from a peer now.
    pub fn request(&mut self, peer: NodeId, now: Instant) -> Vec<DocumentKey> {
        let due = self.documents.iter_mut().filter(|(_, pending)| is_due(pending, peer, now));
        due.map(|(key, pending)| {
            pending.requested_at = Some(now);
            // If the request is lost, another source is asked before this one.
            if pending.sources.len() > 1 {
                pending.sources.swap_remove(&peer);
            }
            key.clone()
        })
        .collect()
    }
}

fn is_due(pending: &PendingDocument, peer: NodeId, now: Instant) -> bool {
    pending.sources.contains(&peer)
        && pending.requested_at.is_none_or(|time| now >= time + REQUEST_TIMEOUT)
}
