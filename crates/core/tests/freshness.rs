//! Every node that reaches the store learns of a change in time, and a calm fleet does not read it.

use std::time::{Duration, Instant};

use lavenderflow_core::freshness::{Confirmation, Freshness};
use lavenderflow_core::id::{NodeId, node_id};
use lavenderflow_core::rings::Rings;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

const SOURCE: &str = "deployment";
/// Greatest age of a confirmation.
const MAX_AGE: Duration = Duration::from_millis(1300);
/// Time after the last confirmation by which each node must have read the source.
const READ_LIMIT: Duration = Duration::from_millis(1600);
const PING_INTERVAL: Duration = Duration::from_millis(500);
const STEP: Duration = Duration::from_millis(10);
const DELEGATES: usize = 4;
/// Time that an exchange is on its way.
const WAY: Duration = Duration::from_millis(3);
/// Longest wait of a delegate between two confirmations.
const MAX_WAIT: Duration = Duration::from_secs(1);

struct Node {
    freshness: Freshness,
    subjects: Vec<usize>,
    ping_at: Instant,
    confirm_at: Instant,
}

/// A fleet whose first nodes are delegates that confirm the source.
struct Fleet {
    nodes: Vec<Node>,
    random: Pcg32,
    now: Instant,
}

impl Fleet {
    fn new(size: usize, seed: u64) -> Self {
        let mut random = Pcg32::seed_from_u64(seed);
        let now = Instant::now();
        let ids: Vec<NodeId> = (0..size).map(|index| node_id(&format!("vm-{index}"))).collect();
        let rings = Rings::new(ids.iter().copied());
        let nodes = ids.iter().map(|own| {
            let subjects = rings.subjects(*own, |_| true);
            let index = |node: &NodeId| ids.iter().position(|id| id == node).expect("a node");
            Node {
                freshness: Freshness::new([(SOURCE.into(), MAX_AGE)], random.random(), now),
                subjects: subjects.iter().map(index).collect(),
                ping_at: now + PING_INTERVAL.mul_f64(random.random()),
                confirm_at: now + MAX_WAIT.mul_f64(random.random_range(0.2..0.8)),
            }
        });
        Self { nodes: nodes.collect(), random: random.clone(), now }
    }

    /// Advances the time; returns the nodes that read the source. Reads do not succeed.
    fn step(&mut self, are_delegates_deaf: bool) -> Vec<usize> {
        self.now += STEP;
        for index in 0..self.nodes.len() {
            if index < DELEGATES && !are_delegates_deaf && self.nodes[index].confirm_at <= self.now
            {
                self.nodes[index].freshness.confirm(SOURCE, self.now, self.now);
                let wait = MAX_WAIT.mul_f64(self.random.random_range(0.8..1.0));
                self.nodes[index].confirm_at = self.now + wait;
            }
            if self.nodes[index].ping_at <= self.now {
                self.nodes[index].ping_at = self.now + PING_INTERVAL;
                for subject in self.nodes[index].subjects.clone() {
                    self.exchange(index, subject);
                }
            }
        }
        let now = self.now;
        let due = |node: &mut Node| !node.freshness.take_due(now).is_empty();
        let readers = self.nodes.iter_mut().enumerate().filter_map(|(i, n)| due(n).then_some(i));
        readers.collect()
    }

    fn exchange(&mut self, from: usize, to: usize) {
        let sent = self.report(from);
        self.nodes[to].freshness.adopt(&sent, self.now);
        let reply = self.report(to);
        self.nodes[from].freshness.adopt(&reply, self.now);
    }

    /// Returns the confirmations of a node as they arrive, younger by the time on the way.
    fn report(&self, node: usize) -> Vec<Confirmation> {
        let sent = self.nodes[node].freshness.confirmations(self.now);
        sent.into_iter().map(|(name, age)| (name, age.saturating_sub(WAY))).collect()
    }
}

#[test]
fn all_nodes_read_the_source_in_time_when_every_watcher_is_deaf() {
    for (size, seed) in [(8, 1), (31, 2), (105, 3), (354, 4)] {
        let mut fleet = Fleet::new(size, seed);
        let start = fleet.now;
        while fleet.now < start + MAX_WAIT * 10 {
            fleet.step(false);
        }
        let deaf_since = fleet.now;
        let mut is_reader = vec![false; size];
        while fleet.now < deaf_since + READ_LIMIT {
            for reader in fleet.step(true) {
                is_reader[reader] = true;
            }
        }
        assert!(is_reader.iter().all(|is_reader| *is_reader), "{size} nodes: {is_reader:?}");
    }
}

#[test]
fn a_calm_fleet_leaves_the_store_to_its_watchers() {
    for (size, seed) in [(8, 1), (31, 2), (105, 3), (354, 4)] {
        let mut fleet = Fleet::new(size, seed);
        let start = fleet.now;
        let mut reads = 0;
        while fleet.now < start + Duration::from_secs(60) {
            reads += fleet.step(false).len();
        }
        assert!(reads <= size / 8, "{size} nodes: {reads} reads");
    }
}

#[test]
fn nodes_read_rarely_while_no_read_succeeds() {
    let mut fleet = Fleet::new(31, 5);
    let start = fleet.now;
    while fleet.now < start + MAX_WAIT * 5 {
        fleet.step(false);
    }
    let deaf_since = fleet.now;
    let mut reads = 0;
    while fleet.now < deaf_since + Duration::from_secs(8) {
        reads += fleet.step(true).len();
    }
    // After 1.3 to 1.5 s, and again after once and twice that time.
    assert!(reads <= 31 * 3, "{reads} reads");
}

#[test]
fn reads_that_fail_become_rarer() {
    let start = Instant::now();
    let mut freshness = Freshness::new([(SOURCE.into(), MAX_AGE)], 0.0, start);
    let due = |time: &Duration| !freshness.take_due(start + *time).is_empty();
    let times = (0..=4000).map(|step| STEP * step);
    let read: Vec<Duration> = times.filter(due).take(5).collect();
    assert_eq!(read, [1, 2, 4, 8, 12].map(|multiple| MAX_AGE * multiple));
}

#[test]
fn a_confirmation_that_is_older_than_the_known_one_changes_nothing() {
    let start = Instant::now();
    let mut freshness = Freshness::new([(SOURCE.into(), MAX_AGE)], 0.0, start);
    let now = start + MAX_AGE;
    freshness.confirm(SOURCE, now, now);
    freshness.adopt(&[(SOURCE.into(), MAX_AGE / 2), ("unknown".into(), Duration::ZERO)], now);
    assert_eq!(freshness.age(SOURCE, now), Some(Duration::ZERO));
    assert_eq!(freshness.confirmations(now), [(SOURCE.into(), Duration::ZERO)]);
}

#[test]
fn an_overdue_read_is_due_after_a_time_that_a_timer_accepts() {
    let start = Instant::now();
    let mut freshness = Freshness::new([(SOURCE.into(), MAX_AGE)], 0.0, start);
    assert_eq!(freshness.time_to_read(start), Some(MAX_AGE));
    let late = start + MAX_AGE * 3;
    assert!(freshness.time_to_read(late).is_some_and(|time| !time.is_zero()));
    assert_eq!(freshness.take_due(late).len(), 1);
    assert_eq!(freshness.time_to_read(late), Some(MAX_AGE));
}
