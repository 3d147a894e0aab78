//! An accepted configuration change takes effect on all nodes and is never reverted.

mod common;

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use common::{Site, SiteConfig, revision};
use lavenderflow::operator::{Assignment, ConfigKind, OperatorError};
use lavenderflow_standins::fleet::{wait_until, wait_with_timeout};
use lavenderflow_standins::store::Mode;

/// Specified maximum time until a change is active on all nodes.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(11);

fn assignments(text: &str) -> Vec<Assignment> {
    vec![Assignment::parse(text).expect("a field")]
}

fn wait_until_active(site: &Site, key: &str, wanted: u64) {
    wait_with_timeout("the revision is active on all nodes", PROPAGATION_LIMIT, || {
        site.nodes.iter().all(|node| revision(node, key) == Some(wanted))
    })
    .expect("an active revision");
}

/// Returns the active `floor_percent` of each node's entry.
fn floor_percents(site: &Site) -> Vec<u64> {
    let statuses = site.nodes.iter().filter_map(|node| node.status());
    statuses.filter_map(|status| status["services"][0]["floor_percent"].as_u64()).collect()
}

#[test]
fn a_change_reaches_all_nodes_although_the_store_fails_right_after() {
    let site = Site::start(SiteConfig::default());
    site.set(ConfigKind::Profile, "test", &["caution.floor_percent=40"]);
    // The store fails once one watcher has the change; the other nodes get it from their peers.
    wait_until("one node has the change", || {
        site.nodes.iter().any(|node| revision(node, "profiles/test") == Some(2))
    })
    .expect("a change");
    site.store.set_mode(Mode::Down);
    wait_until_active(&site, "profiles/test", 2);
    assert_eq!(floor_percents(&site), [40, 40, 40]);
}

#[test]
fn a_lost_response_is_resolved_and_nothing_is_applied_twice() {
    let site = Arc::new(Site::start(SiteConfig::default()));
    site.store.set_mode(Mode::LosesResponses);
    let change = site.operator("one").set(
        ConfigKind::Profile,
        "test",
        &assignments("caution.floor_percent=41"),
    );
    assert_eq!(change.expect("an accepted change").revision(), 2);
    wait_until_active(&site, "profiles/test", 2);
    assert_eq!(floor_percents(&site), [41, 41, 41]);
}

#[test]
fn a_change_fails_and_is_not_stored_while_the_store_is_down() {
    let site = Site::start(SiteConfig::default());
    site.store.set_mode(Mode::Down);
    let result = site.operator("one").set(
        ConfigKind::Profile,
        "test",
        &assignments("caution.floor_percent=42"),
    );
    assert!(matches!(result, Err(OperatorError::Store(_))));
    site.store.set_mode(Mode::Up);
    assert_eq!(
        site.operator("one").show(ConfigKind::Profile, "test").expect("a value").revision,
        1
    );
}

#[test]
fn concurrent_operators_learn_whose_change_was_accepted() {
    let site = Arc::new(Site::start(SiteConfig::default()));
    site.store.set_mode(Mode::Slow(Duration::from_millis(20)));
    let operators = (0..6).map(|number| {
        let site = Arc::clone(&site);
        thread::spawn(move || {
            let author = format!("operator-{number}");
            let fields = assignments(&format!("caution.floor_percent={}", 50 + number));
            site.operator(&author).set(ConfigKind::Profile, "test", &fields)
        })
    });
    let operators: Vec<_> = operators.collect();
    let results: Vec<_> = operators.into_iter().map(|o| o.join().expect("an operator")).collect();
    let stored = site.operator("").show(ConfigKind::Profile, "test").expect("a value");
    let accepted = results.iter().filter(|result| result.is_ok()).count() as u64;
    assert_eq!(stored.revision, 1 + accepted);
    for (number, result) in results.iter().enumerate() {
        match result {
            Ok(_) => {}
            Err(OperatorError::Conflict { author, .. }) => {
                assert_ne!(*author, format!("operator-{number}"));
                assert!(author.starts_with("operator-"), "{author}");
            }
            Err(other) => panic!("{other}"),
        }
    }
    wait_until_active(&site, "profiles/test", stored.revision);
}

#[test]
fn a_store_restored_from_an_old_snapshot_reverts_no_node() {
    let site = Site::start(SiteConfig::default());
    let snapshot = site.store.snapshot().expect("a snapshot");
    site.set(ConfigKind::Profile, "test", &["caution.floor_percent=43"]);
    wait_until_active(&site, "profiles/test", 2);
    site.store.restore(snapshot);
    wait_until("the accepted value is stored again", || {
        site.operator("").show(ConfigKind::Profile, "test").is_ok_and(|stored| stored.revision == 2)
    })
    .expect("a repaired store");
    assert_eq!(floor_percents(&site), [43, 43, 43]);
    site.set(ConfigKind::Profile, "test", &["caution.floor_percent=44"]);
    wait_until_active(&site, "profiles/test", 3);
}

#[test]
fn a_change_right_after_a_store_restore_is_based_on_the_active_revision() {
    let site = Site::start(SiteConfig::default());
    let snapshot = site.store.snapshot().expect("a snapshot");
    site.set(ConfigKind::Profile, "test", &["caution.floor_percent=43"]);
    wait_until_active(&site, "profiles/test", 2);
    site.store.restore(snapshot);
    let mut operator = site.operator("one");
    operator.node = Some(site.nodes[0].settings.admin);
    let change = operator.set(ConfigKind::Profile, "test", &assignments("patience.queue_ms=77"));
    // If the watcher restores the value first, the change conflicts and is made again.
    if let Err(error) = change {
        assert!(matches!(error, OperatorError::Conflict { .. }), "{error}");
        operator
            .set(ConfigKind::Profile, "test", &assignments("patience.queue_ms=77"))
            .expect("a change");
    }
    wait_until_active(&site, "profiles/test", 3);
    // The change was applied to the active value, not to the restored snapshot.
    assert_eq!(floor_percents(&site), [43, 43, 43]);
}

#[test]
fn a_node_started_during_a_store_outage_gets_the_configuration_from_its_peers() {
    let mut site = Site::start(SiteConfig::default());
    site.set(ConfigKind::Profile, "test", &["caution.floor_percent=45"]);
    wait_until_active(&site, "profiles/test", 2);
    site.store.set_mode(Mode::Down);
    site.nodes[2].kill().expect("a signal");
    site.restart_node(2);
    wait_until_active(&site, "profiles/test", 2);
    site.wait_ready();
    assert_eq!(floor_percents(&site), [45, 45, 45]);
}
