//! Tests that an organisation gets its allowance over all nodes together, and not more, whatever
//! fails.

mod support;

use std::time::Duration;

use lavenderflow_core::allowance::Allowance;
use support::allowance_fleet::{Fleet, WINDOW};

const NODES: usize = 24;
const ZONES: usize = 3;
const LIMIT: Allowance = Allowance { rate: 100.0, burst: 50.0 };
/// Load in contention, as a multiple of the allowance.
const OVERLOAD: f64 = 7.5;
const MILLISECOND: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);
/// Time until the pings of all observers have failed.
const DETECTION_TIME: Duration = Duration::from_millis(3000);

fn bound(limit: Allowance) -> f64 {
    (limit.rate * WINDOW.as_secs_f64() + limit.burst) * 1.1 + 20.0
}

fn all() -> Vec<usize> {
    (0..NODES).collect()
}

fn zone(number: usize) -> Vec<usize> {
    all().into_iter().filter(|node| node % ZONES == number).collect()
}

fn except(nodes: &[usize]) -> Vec<usize> {
    all().into_iter().filter(|node| !nodes.contains(node)).collect()
}

/// Returns a fleet in which all nodes get requests beyond the allowance for 10 s.
fn overloaded(seed: u64) -> Fleet {
    let mut fleet = Fleet::start(NODES, ZONES, vec![LIMIT], seed);
    fleet.spread_demand(&all(), LIMIT.rate * OVERLOAD);
    fleet.run(10 * SECOND);
    assert_usable(&fleet, 5 * SECOND, 0.95);
    fleet
}

fn assert_bound(fleet: &Fleet) {
    let (peak, bound) = (fleet.peak(), bound(LIMIT));
    assert!(peak as f64 <= bound, "{peak} requests within 5 s, bound {bound}");
}

/// Checks that at least a share of the allowance was used in the last `time`.
fn assert_usable(fleet: &Fleet, time: Duration, share: f64) {
    let allowed = fleet.allowed_between(fleet.now - time, fleet.now) as f64;
    let least = LIMIT.rate * time.as_secs_f64() * share;
    assert!(allowed >= least, "{allowed} requests within {time:?}, at least {least} are usable");
}

#[test]
fn nothing_is_refused_below_the_allowance() {
    // Guards against tokens that are stranded in reserves, and against slow draws.
    for (nodes, rate) in [(all(), 0.6), (vec![3], 0.6), (vec![1, 2], 0.6)] {
        let mut fleet = Fleet::start(NODES, ZONES, vec![LIMIT], 1);
        fleet.run(3 * SECOND);
        fleet.spread_demand(&nodes, LIMIT.rate * rate);
        fleet.run(20 * SECOND);
        assert!(fleet.refused.is_empty(), "{nodes:?}: refused at {:?}", fleet.refused);
    }
}

#[test]
fn the_allowance_is_usable_and_not_exceeded_wherever_the_demand_is() {
    for nodes in [all(), zone(1), vec![5], vec![0, 1]] {
        let mut fleet = Fleet::start(NODES, ZONES, vec![LIMIT], 2);
        fleet.spread_demand(&nodes, LIMIT.rate * OVERLOAD);
        fleet.run(15 * SECOND);
        assert_usable(&fleet, 10 * SECOND, 0.95);
        assert_bound(&fleet);
    }
}

#[test]
fn a_burst_that_was_saved_up_can_be_used_once() {
    let mut fleet = Fleet::start(NODES, ZONES, vec![LIMIT], 3);
    fleet.run(10 * SECOND);
    fleet.spread_demand(&all(), LIMIT.rate * 20.0);
    fleet.run(SECOND);
    let used = fleet.allowed.len() as f64;
    assert!(used >= LIMIT.burst + LIMIT.rate * 0.8, "{used} requests");
    fleet.run(10 * SECOND);
    assert_bound(&fleet);
}

#[test]
fn demand_that_shifts_to_other_nodes_finds_the_allowance_there_within_a_second() {
    let mut fleet = Fleet::start(NODES, ZONES, vec![LIMIT], 4);
    for nodes in [zone(0), zone(1), vec![7], vec![2, 3], all()] {
        fleet.spread_demand(&nodes, LIMIT.rate * 1.5);
        fleet.run(3 * SECOND);
        if fleet.now > 4 * SECOND {
            assert_usable(&fleet, 2 * SECOND, 0.95);
        }
    }
    assert_bound(&fleet);
}

#[test]
fn a_node_that_crashes_or_restarts_at_once_takes_only_its_reserve_with_it() {
    for restarts in [false, true] {
        let mut fleet = overloaded(5);
        let other = (0..NODES).find(|node| *node != fleet.root()).expect("a node");
        if restarts {
            fleet.restart(other, all());
        } else {
            fleet.kill(other);
            fleet.see(&all(), &[other], (true, false), DETECTION_TIME);
        }
        fleet.run(6 * SECOND);
        assert_usable(&fleet, 2 * SECOND, 0.95);
        assert_bound(&fleet);
    }
}

#[test]
fn a_root_that_dies_is_replaced_and_its_bucket_is_not_granted_twice() {
    let mut fleet = overloaded(6);
    let root = fleet.root();
    fleet.kill(root);
    fleet.see(&all(), &[root], (true, false), DETECTION_TIME);
    fleet.run(6 * SECOND);
    assert_ne!(fleet.root(), root);
    assert_usable(&fleet, SECOND, 0.95);
    assert_bound(&fleet);
}

#[test]
fn a_root_that_restarts_at_once_does_not_grant_its_bucket_twice() {
    let mut fleet = overloaded(7);
    let root = fleet.root();
    for _ in 0..3 {
        fleet.restart(root, all());
        fleet.run(SECOND);
    }
    fleet.run(3 * SECOND);
    assert_usable(&fleet, SECOND, 0.95);
    assert_bound(&fleet);
}

#[test]
fn a_root_that_leaves_hands_over_almost_without_a_gap() {
    let mut fleet = overloaded(8);
    let root = fleet.root();
    fleet.see(&all(), &[root], (false, true), Duration::ZERO);
    fleet.run(4 * SECOND);
    // The new root starts half a second after the former one has stopped.
    assert_usable(&fleet, 4 * SECOND, 0.75);
    assert_usable(&fleet, SECOND, 0.95);
    assert_bound(&fleet);
}

#[test]
fn a_node_that_was_frozen_or_suspended_uses_no_old_tokens() {
    for (seed, is_suspended) in [(9, false), (10, true)] {
        let mut fleet = overloaded(seed);
        let root = fleet.root();
        for node in [(root + 1) % NODES, root] {
            if is_suspended {
                fleet.suspend(node, 4 * SECOND);
            } else {
                fleet.freeze(node, 4 * SECOND);
            }
            fleet.run(9 * SECOND);
        }
        assert_usable(&fleet, SECOND, 0.95);
        assert_bound(&fleet);
    }
}

#[test]
fn a_reserve_is_not_used_after_its_life() {
    for is_suspended in [false, true] {
        let mut fleet = Fleet::start(NODES, ZONES, vec![LIMIT], 20);
        fleet.run(3 * SECOND);
        let node = (fleet.root() + 1) % NODES;
        fleet.spread_demand(&[node], LIMIT.rate * 0.5);
        fleet.run(2 * SECOND);
        fleet.partition(&[node], &except(&[node]));
        let before = fleet.allowed.len();
        if is_suspended {
            fleet.suspend(node, 5 * SECOND);
        } else {
            fleet.spread_demand(&[], 0.0);
        }
        fleet.run(5 * SECOND);
        fleet.spread_demand(&[node], LIMIT.rate);
        fleet.run(SECOND);
        let old = fleet.allowed.len() - before;
        assert!(old <= 1, "{old} requests, of which the fallback allows one");
    }
}

#[test]
fn a_root_that_was_frozen_until_another_one_replaced_it_does_not_grant_a_second_burst() {
    let limit = Allowance { rate: 100.0, burst: 300.0 };
    for is_suspended in [false, true] {
        let mut fleet = Fleet::start(NODES, ZONES, vec![limit], 18);
        fleet.run(10 * SECOND);
        let root = fleet.root();
        let others = except(&[root]);
        let time = 12 * SECOND;
        if is_suspended {
            fleet.suspend(root, time);
        } else {
            fleet.freeze(root, time);
        }
        fleet.see(&others, &[root], (true, false), DETECTION_TIME);
        fleet.see(&others, &[root], (false, false), time + 200 * MILLISECOND);
        fleet.run(time - 500 * MILLISECOND);
        // The other root grants its burst now, and the former one returns with its own.
        fleet.spread_demand(&all(), limit.rate * OVERLOAD);
        fleet.run(10 * SECOND);
        assert_usable(&fleet, SECOND, 0.95);
        let (peak, bound) = (fleet.peak(), bound(limit));
        assert!(peak as f64 <= bound, "{peak} requests within 5 s, bound {bound}");
    }
}

#[test]
fn a_link_that_is_cut_in_one_direction_or_both_is_bypassed() {
    for directions in [1, 2] {
        let mut fleet = overloaded(11);
        let root = fleet.root();
        // The lenders of another zone cannot reach the root, or get no answers from it.
        for node in zone((root + 1) % ZONES) {
            fleet.cut_links.insert((root, node));
            if directions == 2 {
                fleet.cut_links.insert((node, root));
            }
        }
        fleet.run(8 * SECOND);
        assert_usable(&fleet, 5 * SECOND, 0.9);
        assert_bound(&fleet);
    }
}

#[test]
fn a_node_that_is_cut_off_goes_on_with_its_part_of_an_even_share() {
    let mut fleet = overloaded(12);
    let lonely = (fleet.root() + 1) % NODES;
    fleet.partition(&[lonely], &except(&[lonely]));
    fleet.see(&except(&[lonely]), &[lonely], (true, false), DETECTION_TIME);
    fleet.run(8 * SECOND);
    assert_usable(&fleet, 5 * SECOND, 0.95);
    fleet.spread_demand(&[lonely], LIMIT.rate);
    fleet.run(10 * SECOND);
    let share = LIMIT.rate / (4.0 * NODES as f64) * 10.0;
    let allowed = fleet.allowed_between(fleet.now - 10 * SECOND, fleet.now) as f64;
    assert!((allowed - share).abs() < 3.0, "{allowed} requests, its share is {share}");
    assert_bound(&fleet);
}

#[test]
fn a_partition_between_zones_exceeds_no_limit_on_any_side() {
    // The smaller side takes itself for isolated, or expels the others as well.
    for (seed, smaller_expels) in [(13, false), (14, true)] {
        for cut_zone in 0..ZONES {
            let mut fleet = overloaded(seed);
            let (inside, outside) = (zone(cut_zone), except(&zone(cut_zone)));
            fleet.partition(&inside, &outside);
            fleet.see(&outside, &inside, (true, false), DETECTION_TIME);
            if smaller_expels {
                fleet.see(&inside, &outside, (true, false), DETECTION_TIME);
            } else {
                fleet.isolate(&inside, true, DETECTION_TIME);
            }
            fleet.run(12 * SECOND);
            assert_usable(&fleet, SECOND, 0.6);
            fleet.cut_links.clear();
            fleet.see(&outside, &inside, (false, false), Duration::ZERO);
            fleet.see(&inside, &outside, (false, false), Duration::ZERO);
            fleet.isolate(&inside, false, Duration::ZERO);
            fleet.run(8 * SECOND);
            assert_usable(&fleet, SECOND, 0.95);
            assert_bound(&fleet);
        }
    }
}

#[test]
fn after_the_loss_of_all_nodes_the_allowance_is_usable_again() {
    let mut fleet = overloaded(15);
    for node in all() {
        fleet.restart(node, [node]);
    }
    for node in all() {
        fleet.see(&[node], &all(), (false, false), 200 * MILLISECOND);
    }
    fleet.run(4 * SECOND);
    assert_usable(&fleet, SECOND, 0.95);
    assert_bound(&fleet);
}

#[test]
fn a_limit_that_is_lowered_raised_or_removed_takes_effect() {
    let mut fleet = overloaded(16);
    let lowered = Allowance { rate: 20.0, burst: 5.0 };
    fleet.set_limits(vec![Some(lowered)]);
    let changed_at = fleet.now;
    fleet.run(10 * SECOND);
    let allowed = fleet.allowed_between(changed_at, changed_at + WINDOW) as f64;
    assert!(allowed <= bound(lowered), "{allowed} requests in the first window");
    let allowed = fleet.allowed_between(changed_at + WINDOW, fleet.now) as f64;
    assert!((95.0..=bound(lowered)).contains(&allowed), "{allowed} requests in the second");
    fleet.set_limits(vec![Some(LIMIT)]);
    fleet.run(2 * SECOND);
    assert_usable(&fleet, SECOND, 0.95);
    fleet.set_limits(vec![Some(Allowance { rate: 0.01, burst: 1.0 })]);
    fleet.run(6 * SECOND);
    // The next token was 100 s away.
    fleet.set_limits(vec![Some(LIMIT)]);
    fleet.run(4 * SECOND);
    assert_usable(&fleet, SECOND, 0.95);
    fleet.set_limits(vec![None]);
    fleet.run(500 * MILLISECOND);
    let (refused, messages) = (fleet.refused.len(), fleet.messages);
    fleet.run(SECOND);
    assert_eq!((fleet.refused.len(), fleet.messages), (refused, messages));
}

#[test]
fn lost_repeated_and_reordered_messages_create_no_tokens() {
    for seed in 0..20 {
        let mut fleet = Fleet::start(NODES, ZONES, vec![LIMIT], 100 + seed);
        fleet.lost_share = 0.05 * (seed % 4) as f64;
        fleet.repeated_share = 0.1 * (seed % 3) as f64;
        fleet.jitter = [1, 20, 120, 300][seed as usize % 4] * MILLISECOND;
        fleet.spread_demand(&all(), LIMIT.rate * OVERLOAD);
        for step in 0..8 {
            let node = (seed as usize * 7 + step * 5) % NODES;
            let others = except(&[node]);
            match (seed as usize + step) % 6 {
                0 => fleet.restart(node, all()),
                1 => fleet.freeze(node, 1500 * MILLISECOND),
                2 => fleet.suspend(node, 700 * MILLISECOND),
                3 => fleet.see(&all(), &[node], (false, true), Duration::ZERO),
                4 => fleet.see(&others, &[node], (true, false), Duration::ZERO),
                _ => drop(fleet.cut_links.insert((node, (node + 1) % NODES))),
            }
            fleet.run(2 * SECOND);
            fleet.see(&all(), &[node], (false, false), Duration::ZERO);
        }
        assert_bound(&fleet);
    }
}

#[test]
fn messages_grow_neither_with_the_nodes_times_the_organisations_nor_beyond_the_requests() {
    const ORGANISATIONS: usize = 79;
    const MAX_LENDERS: usize = 4 * 4;
    let mut measured = Vec::new();
    for nodes in [22, 100, 300] {
        let limit = Allowance { rate: 40.0, burst: 40.0 };
        let mut fleet = Fleet::start(nodes, 4, vec![limit; ORGANISATIONS], 17);
        fleet.run(3 * SECOND);
        // 5 requests a second and organisation; one sends 7.5 times its allowance.
        let rates = (0..ORGANISATIONS).map(|o| if o == 0 { 300.0 } else { 5.0 });
        for (organisation, rate) in rates.enumerate() {
            (0..nodes).for_each(|node| fleet.set_demand(node, organisation, rate / nodes as f64));
        }
        fleet.run(2 * SECOND);
        let (before, decided) = (fleet.messages, fleet.allowed.len() + fleet.refused.len());
        fleet.run(10 * SECOND);
        let per_second = (fleet.messages - before) as f64 / 10.0;
        let requests = (fleet.allowed.len() + fleet.refused.len() - decided) as f64 / 10.0;
        println!("{nodes} nodes: {per_second} messages and {requests} requests a second");
        assert!(per_second <= 3.0 * requests, "{per_second} messages, {requests} requests");
        let many = fleet.peer_counts().filter(|peers| *peers > 4).count();
        assert!(many <= MAX_LENDERS, "{many} nodes with more than 4 connections");
        measured.push(per_second);
    }
    assert!(measured[2] < 1.6 * measured[0], "14 times the nodes: {measured:?} messages a second");
}
