//! Expulsion of nodes by the reports of their observers.

mod support;

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexSet;
use lavenderflow_core::clock::{ManualClock, SharedClock};
use lavenderflow_core::id::{Incarnation, NodeId};
use lavenderflow_core::rings::Rings;
use lavenderflow_core::roster::{Member, Roster, Suspicion};
use support::{clock, member};

const NODES: u64 = 40;

struct Fixture {
    roster: Roster,
    rings: Rings,
    clock: Arc<ManualClock>,
    version: u64,
}

impl Fixture {
    fn new() -> Self {
        let clock = clock();
        let mut roster = Roster::new(clock.clone() as SharedClock, member(1, 1, vec![]));
        roster.merge((2..=NODES).map(|node| member(node, 1, vec![])).collect(), vec![], 2);
        Self { roster, rings: Rings::new(1..=NODES), clock, version: 0 }
    }

    fn observers(&self, subject: NodeId, dead: &IndexSet<NodeId>) -> IndexSet<NodeId> {
        self.rings.observers(subject, |node| node != subject && !dead.contains(&node))
    }

    fn report(
        &mut self,
        observer: NodeId,
        subject: NodeId,
        incarnation: Incarnation,
        raised: bool,
    ) {
        self.version += 1;
        let version = self.version;
        let suspicion = Suspicion { observer, subject, incarnation, version, raised };
        self.roster.merge(vec![], vec![suspicion], 2);
    }

    fn expelled(&self) -> IndexSet<NodeId> {
        let mut expelled: IndexSet<NodeId> = self.roster.expelled().map(|(node, _)| node).collect();
        expelled.sort();
        expelled
    }
}

#[test]
fn a_node_is_expelled_only_while_all_observers_suspect_it() {
    let mut fixture = Fixture::new();
    let observers = fixture.observers(7, &IndexSet::new());
    assert!(observers.len() >= 3, "{observers:?}");
    for observer in observers.iter().skip(1) {
        fixture.report(*observer, 7, 1, true);
        assert_eq!(fixture.expelled(), IndexSet::new());
    }
    fixture.report(observers[0], 7, 1, true);
    assert_eq!(fixture.expelled(), IndexSet::from([7]));
    fixture.report(observers[0], 7, 1, false);
    assert_eq!(fixture.expelled(), IndexSet::new());
}

#[test]
fn suspicions_of_an_earlier_incarnation_do_not_count() {
    let mut fixture = Fixture::new();
    for observer in fixture.observers(7, &IndexSet::new()) {
        fixture.report(observer, 7, 1, true);
    }
    let mut again = member(7, 2, vec![]);
    again.version = 9;
    fixture.roster.merge(vec![again], vec![], 2);
    assert_eq!(fixture.expelled(), IndexSet::new());
}

#[test]
fn suspicions_of_non_observers_do_not_count() {
    let mut fixture = Fixture::new();
    let observers = fixture.observers(7, &IndexSet::new());
    for other in (2..=NODES).filter(|node| !observers.contains(node) && *node != 7) {
        fixture.report(other, 7, 1, true);
    }
    assert_eq!(fixture.expelled(), IndexSet::new());
}

#[test]
fn a_rack_that_fails_at_once_is_expelled_although_its_nodes_observe_each_other() {
    for first in (2..NODES - 12).step_by(3) {
        let mut fixture = Fixture::new();
        let dead: IndexSet<NodeId> = (first..first + 12).collect();
        // The observers change as nodes are expelled, so they report in rounds, as with pings.
        for _ in 0..12 {
            for subject in &dead {
                let expelled = fixture.expelled();
                for observer in fixture.observers(*subject, &expelled) {
                    if !dead.contains(&observer) {
                        fixture.report(observer, *subject, 1, true);
                    }
                }
            }
        }
        assert_eq!(fixture.expelled(), dead, "rack from {first}");
    }
}

#[test]
fn an_isolated_node_suspects_at_most_half_of_its_subjects() {
    let mut fixture = Fixture::new();
    let subjects = fixture.roster.subjects();
    for _ in 0..10 {
        let raised = subjects.iter().filter(|node| fixture.roster.ping_failed(**node)).count();
        assert!(raised <= subjects.len() / 2, "{raised} of {} suspected", subjects.len());
    }
    let raised =
        fixture.roster.suspicions().iter().filter(|(_, suspicion)| suspicion.raised).count();
    assert!(raised * 2 <= subjects.len(), "{raised} of {} suspected", subjects.len());
}

#[test]
fn a_node_restarted_with_a_clock_that_is_behind_supersedes_its_old_record() {
    let mut fixture = Fixture::new();
    let mut old = member(1, 99, vec![]);
    old.version = u64::MAX / 2;
    fixture.roster.merge(vec![old], vec![], 2);
    let local = fixture.roster.local();
    assert_eq!(local.incarnation, 1);
    assert!(local.version > u64::MAX / 2);
}

#[test]
fn old_records_do_not_restore_purged_nodes() {
    let mut fixture = Fixture::new();
    for observer in fixture.observers(7, &IndexSet::new()) {
        fixture.report(observer, 7, 1, true);
    }
    fixture.clock.advance(Duration::from_secs(601));
    assert_eq!(fixture.roster.purge_expelled(), [7]);
    fixture.roster.merge(vec![member(7, 1, vec![])], vec![], 2);
    assert!(fixture.roster.members().get(&7).is_none());
    let mut again = member(7, 2, vec![]);
    again.version = 9;
    fixture.roster.merge(vec![again], vec![], 2);
    assert!(fixture.roster.members().get(&7).is_some());
}

#[test]
fn all_nodes_agree_on_the_store_delegates() {
    let clock = clock();
    let zones = ["zone-a", "zone-b", "zone-c"];
    let in_zone = |node: u64, detached: bool| Member {
        zone: zones[node as usize % zones.len()].into(),
        detached,
        ..member(node, 1, vec![])
    };
    let delegates = |detached: &[u64]| -> Vec<u64> {
        let members = || (1..=NODES).map(|node| in_zone(node, detached.contains(&node)));
        let is_delegate = |own: &u64| {
            let local = in_zone(*own, detached.contains(own));
            let mut roster = Roster::new(clock.clone() as SharedClock, local);
            roster.merge(members().collect(), vec![], 2);
            roster.is_delegate(4)
        };
        (1..=NODES).filter(is_delegate).collect()
    };
    let first = delegates(&[]);
    assert_eq!(first.len(), 4);
    // Those that cannot reach the store are replaced.
    let second = delegates(&first[..2]);
    assert_eq!(second.len(), 4);
    assert!(second.iter().all(|node| !first[..2].contains(node)), "{first:?} {second:?}");
    assert!(first[2..].iter().all(|node| second.contains(node)), "{first:?} {second:?}");
}
