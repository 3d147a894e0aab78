//! A table of versioned records that gossip replicates to all nodes.
//!
//! Each change gets a local sequence number, so that a peer is sent only what is new to it. Digests
//! find records that a peer missed: keys are hashed into buckets, and the digest of a bucket is
//! the sum of the hashes of its records.

use std::collections::BTreeMap;
use std::hash::Hash;

use indexmap::IndexMap;

use crate::id::{NodeId, Version, hash};

/// Number of buckets, and so of digests, of a table.
pub const BUCKET_COUNT: usize = 256;

/// Numbers the changes of one table in one process.
pub type Sequence = u64;

/// A record whose versions have a total order.
pub trait Versioned {
    /// Returns the version and a tie-breaker; the record with the greatest pair is kept.
    fn version(&self) -> (Version, u64);
}

#[derive(Debug)]
struct Record<V> {
    value: V,
    sequence: Sequence,
    source: Option<NodeId>,
}

/// Holds the newest version of each record.
#[derive(Debug)]
pub struct Table<K, V> {
    records: IndexMap<K, Record<V>>,
    changes: BTreeMap<Sequence, K>,
    next: Sequence,
    digests: Vec<u64>,
}

impl<K, V> Default for Table<K, V> {
    fn default() -> Self {
        Self {
            records: IndexMap::new(),
            changes: BTreeMap::new(),
            next: 1,
            digests: vec![0; BUCKET_COUNT],
        }
    }
}

impl<K: Clone + Eq + Hash, V: Clone + Versioned> Table<K, V> {
    /// Merges a record unless the same or a newer version is present; returns whether the table
    /// changed.
    ///
    /// `source` is the peer that sent the record; it is not sent back to that peer.
    pub fn merge(&mut self, key: K, value: V, source: Option<NodeId>) -> bool {
        let old = self.records.get(&key);
        if old.is_some_and(|record| record.value.version() >= value.version()) {
            return false;
        }
        if let Some(sequence) = old.map(|record| record.sequence) {
            self.changes.remove(&sequence);
        }
        self.remove_digest(&key);
        self.add_digest(&key, value.version());
        self.changes.insert(self.next, key.clone());
        self.records.insert(key, Record { value, sequence: self.next, source });
        self.next += 1;
        true
    }

    /// Removes a record.
    pub fn remove(&mut self, key: &K) -> Option<V> {
        self.remove_digest(key);
        let record = self.records.swap_remove(key)?;
        self.changes.remove(&record.sequence);
        Some(record.value)
    }

    /// Returns a record.
    pub fn get(&self, key: &K) -> Option<&V> {
        self.records.get(key).map(|record| &record.value)
    }

    /// Returns all records.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        self.records.iter().map(|(key, record)| (key, &record.value))
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether the table has no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the sequence number of the latest change.
    pub fn last_sequence(&self) -> Sequence {
        self.next - 1
    }

    /// Returns the changes after `cursor` that were not received from `peer`, oldest first.
    pub fn changes_since(
        &self,
        cursor: Sequence,
        peer: NodeId,
    ) -> impl Iterator<Item = (Sequence, &V)> {
        let changes = self.changes.range(cursor + 1..);
        changes.filter_map(move |(sequence, key)| {
            let record = self.records.get(key)?;
            (record.source != Some(peer)).then_some((*sequence, &record.value))
        })
    }

    /// Returns the digest of each bucket.
    pub fn digests(&self) -> &[u64] {
        &self.digests
    }

    /// Returns a single digest of all records.
    pub fn summary(&self) -> u64 {
        self.digests.iter().fold(0, |sum, digest| sum.wrapping_add(*digest))
    }

    /// Returns the records in the buckets whose digests differ from `digests`.
    pub fn in_differing_buckets(&self, digests: &[u64]) -> impl Iterator<Item = &V> {
        let differs: Vec<bool> =
            self.digests.iter().enumerate().map(|(i, own)| digests.get(i) != Some(own)).collect();
        let records = self.records.iter();
        records.filter(move |(key, _)| differs[bucket(key)]).map(|(_, record)| &record.value)
    }

    fn add_digest(&mut self, key: &K, version: (Version, u64)) {
        let digest = &mut self.digests[bucket(key)];
        *digest = digest.wrapping_add(hash(&(key, version)));
    }

    fn remove_digest(&mut self, key: &K) {
        if let Some(record) = self.records.get(key) {
            let digest = &mut self.digests[bucket(key)];
            *digest = digest.wrapping_sub(hash(&(key, record.value.version())));
        }
    }
}

fn bucket<K: Hash>(key: &K) -> usize {
    // The cast cannot truncate: the remainder is below BUCKET_COUNT.
    (hash(key) % BUCKET_COUNT as u64) as usize
}
