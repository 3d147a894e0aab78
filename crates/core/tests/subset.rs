//! Subsets of gates: every gate is used by several entries, and each entry uses few gates.

use indexmap::IndexMap;
use lavenderflow_core::subset::{MIN_GATES, select};

/// Returns how many entries use each gate, with gates and entries in five zones.
fn users(gates: &[(u64, usize)], entries: &[(u64, usize)]) -> IndexMap<u64, usize> {
    let mut users: IndexMap<u64, usize> = gates.iter().map(|(gate, _)| (*gate, 0)).collect();
    for (entry, zone) in entries {
        let views = gates.iter().enumerate().map(|(i, (gate, place))| (i, *gate, place == zone));
        for index in select(*entry, views, MIN_GATES) {
            *users.get_mut(&gates[index].0).expect("a gate") += 1;
        }
    }
    users
}

#[test]
fn every_gate_is_used_by_several_entries_and_each_entry_uses_few_gates() {
    // Gates of two services on 354 VMs in five zones; each VM has an entry.
    let all: Vec<(u64, usize)> = (0..354).map(|node| (node * 7919, node as usize % 5)).collect();
    let (small, large) = (&all[..62], &all[62..]);
    for gates in [small, large] {
        let users = users(gates, &all);
        let least = users.values().min().copied().unwrap_or_default();
        assert!(least >= 5, "a gate is used by {least} entries only");
        let mean = users.values().sum::<usize>() / all.len();
        assert!(mean <= MIN_GATES + MIN_GATES / 2, "{mean} gates per entry");
    }
}

#[test]
fn a_gate_that_goes_moves_few_others() {
    let gates: Vec<(usize, u64, bool)> = (0..100).map(|i| (i, i as u64 * 31, true)).collect();
    let nodes = |without: u64| -> Vec<u64> {
        let left = gates.iter().copied().filter(|(_, node, _)| *node != without);
        select(7, left, MIN_GATES).into_iter().map(|i| gates[i].1).collect()
    };
    let before = nodes(u64::MAX);
    let after = nodes(before[3]);
    assert_eq!(after.iter().filter(|node| before.contains(node)).count(), MIN_GATES - 1);
}

#[test]
fn a_small_service_is_used_whole() {
    let gates = (0..18).map(|i| (i, i as u64, i < 12));
    assert_eq!(select(1, gates, MIN_GATES).len(), 18);
}
