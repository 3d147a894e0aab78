//! A versioned table that nodes keep equal by gossip.
//!
//! Each change gets a local sequence number, so a peer can be sent just what is new to it. Digests
//! per bucket find what was missed: each is the sum of the hashes of its records.

use std::collections::BTreeMap;
use std::hash::Hash;

use indexmap::IndexMap;

use crate::id::{NodeId, Version, hash};

/// Number of digests of a table.
pub const BUCKETS: usize = 256;

/// Numbers the changes of one table in one process.
pub type Sequence = u64;

/// A record with a total order of its states.
pub trait Versioned {
    /// Returns the version and a tie-breaker; the greatest pair wins.
    fn version(&self) -> (Version, u64);
}

#[derive(Debug)]
struct Slot<V> {
    value: V,
    sequence: Sequence,
    source: Option<NodeId>,
}

/// Records of which only the newest states are kept.
#[derive(Debug)]
pub struct Table<K, V> {
    records: IndexMap<K, Slot<V>>,
    log: BTreeMap<Sequence, K>,
    next: Sequence,
    digests: Vec<u64>,
}

impl<K, V> Default for Table<K, V> {
    fn default() -> Self {
        Self { records: IndexMap::new(), log: BTreeMap::new(), next: 1, digests: vec![0; BUCKETS] }
    }
}

impl<K: Clone + Eq + Hash, V: Clone + Versioned> Table<K, V> {
    /// Takes in a record unless the same or a newer state is known; returns whether it did.
    ///
    /// `source` is the peer it came from, to which it need not be sent back.
    pub fn merge(&mut self, key: K, value: V, source: Option<NodeId>) -> bool {
        let old = self.records.get(&key);
        if old.is_some_and(|slot| slot.value.version() >= value.version()) {
            return false;
        }
        if let Some(sequence) = old.map(|slot| slot.sequence) {
            self.log.remove(&sequence);
        }
        self.remove_digest(&key);
        self.add_digest(&key, value.version());
        self.log.insert(self.next, key.clone());
        self.records.insert(key, Slot { value, sequence: self.next, source });
        self.next += 1;
        true
    }

    /// Forgets a record.
    pub fn remove(&mut self, key: &K) -> Option<V> {
        self.remove_digest(key);
        let slot = self.records.swap_remove(key)?;
        self.log.remove(&slot.sequence);
        Some(slot.value)
    }

    /// Returns a record.
    pub fn get(&self, key: &K) -> Option<&V> {
        self.records.get(key).map(|slot| &slot.value)
    }

    /// Returns all records.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        self.records.iter().map(|(key, slot)| (key, &slot.value))
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Tells whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the sequence number of the newest change.
    pub fn sequence(&self) -> Sequence {
        self.next - 1
    }

    /// Returns the changes after `cursor` that did not come from `peer`, oldest first.
    pub fn since(&self, cursor: Sequence, peer: NodeId) -> impl Iterator<Item = (Sequence, &V)> {
        let changes = self.log.range(cursor + 1..);
        changes.filter_map(move |(sequence, key)| {
            let slot = self.records.get(key)?;
            (slot.source != Some(peer)).then_some((*sequence, &slot.value))
        })
    }

    /// Returns the digest of each bucket.
    pub fn digests(&self) -> &[u64] {
        &self.digests
    }

    /// Returns one digest of all records.
    pub fn summary(&self) -> u64 {
        self.digests.iter().fold(0, |sum, digest| sum.wrapping_add(*digest))
    }

    /// Returns the records in the buckets whose digests differ.
    pub fn differing(&self, digests: &[u64]) -> impl Iterator<Item = &V> {
        let differs: Vec<bool> =
            self.digests.iter().enumerate().map(|(i, own)| digests.get(i) != Some(own)).collect();
        let records = self.records.iter();
        records.filter(move |(key, _)| differs[bucket(key)]).map(|(_, slot)| &slot.value)
    }

    fn add_digest(&mut self, key: &K, version: (Version, u64)) {
        let digest = &mut self.digests[bucket(key)];
        *digest = digest.wrapping_add(hash(&(key, version)));
    }

    fn remove_digest(&mut self, key: &K) {
        if let Some(slot) = self.records.get(key) {
            let digest = &mut self.digests[bucket(key)];
            *digest = digest.wrapping_sub(hash(&(key, slot.value.version())));
        }
    }
}

fn bucket<K: Hash>(key: &K) -> usize {
    // The remainder is below BUCKETS.
    (hash(key) % BUCKETS as u64) as usize
}
