//! Who is expelled, by what observers report.

mod support;

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexSet;
use lavenderflow_core::clock::{ManualClock, SharedClock};
use lavenderflow_core::id::{Incarnation, NodeId};
use lavenderflow_core::rings::Rings;
use lavenderflow_core::roster::{Roster, Suspicion};
use support::{clock, member};

const NODES: u64 = 40;

struct World {
    roster: Roster,
    rings: Rings,
    clock: Arc<ManualClock>,
    version: u64,
}

impl World {
    fn new() -> Self {
        let clock = clock();
        let mut roster = Roster::new(clock.clone() as SharedClock, member(1, 1, vec![]));
        roster.merge((2..=NODES).map(|node| member(node, 1, vec![])).collect(), vec![], 2);
        Self { roster, rings: Rings::new(1..=NODES), clock, version: 0 }
    }

    fn observers(&self, subject: NodeId, dead: &IndexSet<NodeId>) -> IndexSet<NodeId> {
        self.rings.observers(subject, |node| node != subject && !dead.contains(&node))
    }

    fn report(&mut self, observer: NodeId, subject: NodeId, of: Incarnation, raised: bool) {
        self.version += 1;
        let version = self.version;
        let suspicion = Suspicion { observer, subject, incarnation: of, version, raised };
        self.roster.merge(vec![], vec![suspicion], 2);
    }

    fn expelled(&self) -> IndexSet<NodeId> {
        let mut expelled: IndexSet<NodeId> = self.roster.expelled().map(|(node, _)| node).collect();
        expelled.sort();
        expelled
    }
}

#[test]
fn a_node_that_one_observer_hears_stays() {
    let mut world = World::new();
    let observers = world.observers(7, &IndexSet::new());
    assert!(observers.len() >= 3, "{observers:?}");
    for observer in observers.iter().skip(1) {
        world.report(*observer, 7, 1, true);
        assert_eq!(world.expelled(), IndexSet::new());
    }
    world.report(observers[0], 7, 1, true);
    assert_eq!(world.expelled(), IndexSet::from([7]));
    world.report(observers[0], 7, 1, false);
    assert_eq!(world.expelled(), IndexSet::new());
}

#[test]
fn suspicions_of_an_earlier_incarnation_do_not_count() {
    let mut world = World::new();
    for observer in world.observers(7, &IndexSet::new()) {
        world.report(observer, 7, 1, true);
    }
    let mut again = member(7, 2, vec![]);
    again.version = 9;
    world.roster.merge(vec![again], vec![], 2);
    assert_eq!(world.expelled(), IndexSet::new());
}

#[test]
fn suspicions_of_nodes_that_are_no_observers_do_not_count() {
    let mut world = World::new();
    let observers = world.observers(7, &IndexSet::new());
    for stranger in (2..=NODES).filter(|node| !observers.contains(node) && *node != 7) {
        world.report(stranger, 7, 1, true);
    }
    assert_eq!(world.expelled(), IndexSet::new());
}

#[test]
fn a_rack_that_dies_at_once_is_expelled_though_its_nodes_observe_each_other() {
    for first in (2..NODES - 12).step_by(3) {
        let mut world = World::new();
        let dead: IndexSet<NodeId> = (first..first + 12).collect();
        // Observers change as nodes are expelled, so reports come in rounds, as pings do.
        for _ in 0..12 {
            for subject in &dead {
                let gone = world.expelled();
                for observer in world.observers(*subject, &gone) {
                    if !dead.contains(&observer) {
                        world.report(observer, *subject, 1, true);
                    }
                }
            }
        }
        assert_eq!(world.expelled(), dead, "rack from {first}");
    }
}

#[test]
fn a_node_that_hears_nobody_suspects_itself() {
    let mut world = World::new();
    let subjects = world.roster.subjects();
    for _ in 0..10 {
        let raised = subjects.iter().filter(|node| world.roster.ping_failed(**node)).count();
        assert!(raised <= subjects.len() / 2, "{raised} of {} suspected", subjects.len());
    }
    let raised = world.roster.suspicions().iter().filter(|(_, suspicion)| suspicion.raised).count();
    assert!(raised * 2 <= subjects.len(), "{raised} of {} suspected", subjects.len());
}

#[test]
fn a_node_restarted_with_a_clock_behind_still_gets_its_record_through() {
    let mut world = World::new();
    let mut old = member(1, 99, vec![]);
    old.version = u64::MAX / 2;
    world.roster.merge(vec![old], vec![], 2);
    let local = world.roster.local();
    assert_eq!(local.incarnation, 1);
    assert!(local.version > u64::MAX / 2);
}

#[test]
fn forgotten_nodes_do_not_come_back_by_old_records() {
    let mut world = World::new();
    for observer in world.observers(7, &IndexSet::new()) {
        world.report(observer, 7, 1, true);
    }
    world.clock.advance(Duration::from_secs(601));
    assert_eq!(world.roster.purge_expelled(), [7]);
    world.roster.merge(vec![member(7, 1, vec![])], vec![], 2);
    assert!(world.roster.members().get(&7).is_none());
    let mut again = member(7, 2, vec![]);
    again.version = 9;
    world.roster.merge(vec![again], vec![], 2);
    assert!(world.roster.members().get(&7).is_some());
}

#[test]
fn few_nodes_per_zone_watch_the_store_and_all_agree_on_them() {
    let clock = clock();
    let delegates = (1..=NODES).filter(|own| {
        let mut roster = Roster::new(clock.clone() as SharedClock, member(*own, 1, vec![]));
        roster.merge((1..=NODES).map(|node| member(node, 1, vec![])).collect(), vec![], 2);
        roster.is_delegate(2)
    });
    assert_eq!(delegates.count(), 2);
}
