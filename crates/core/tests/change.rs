//! Configuration changes: lost responses of the store, conflicting changes, and what they change.

use std::time::Duration;

use lavenderflow_core::catalog::{Deployment, RequestLimits};
use lavenderflow_core::change::{Change, MAX_CHANGE_IDS, Resolution, StoredState};
use lavenderflow_core::deployment_change::DeploymentChange;
use lavenderflow_core::route::{Route, ServiceWeight};

fn stored_state(revision: u64, changes: &[&str], author: &str) -> StoredState {
    let changes = changes.iter().map(ToString::to_string).collect();
    StoredState { revision, changes, author: author.to_owned() }
}

#[test]
fn reading_back_resolves_a_lost_response() {
    let base = stored_state(3, &["c", "b"], "ann");
    let cases = [
        ("it took effect", stored_state(4, &["mine", "c"], "me"), "accepted"),
        (
            "it took effect and another change followed",
            stored_state(5, &["x", "mine"], "bob"),
            "accepted",
        ),
        ("nothing happened", base.clone(), "pending"),
        ("another change came first", stored_state(4, &["x", "c"], "bob"), "conflict"),
        ("the store was restored to an earlier state", stored_state(2, &["b"], "ann"), "conflict"),
    ];
    for (name, read, expected) in cases {
        let resolution = match Change::propose("mine", 3, 3).resolve(&base, read) {
            Resolution::Accepted(change) => {
                assert_eq!(change.revision(), 4);
                "accepted"
            }
            Resolution::Pending(_) => "pending",
            Resolution::Conflict(_) => "conflict",
        };
        assert_eq!(resolution, expected, "{name}");
    }
}

#[test]
fn a_new_revision_is_above_the_stored_and_the_active_one() {
    assert_eq!(Change::propose("a", 3, 9).revision(), 10);
    assert_eq!(Change::propose("a", 9, 3).revision(), 10);
    assert_eq!(Change::propose("a", 0, 0).revision(), 1);
}

#[test]
fn the_history_is_bounded_and_newest_first() {
    let ids: Vec<String> = (0..40).map(|number| number.to_string()).collect();
    let base = StoredState { revision: 40, changes: ids, author: String::new() };
    let history = Change::propose("new", 40, 40).history(&base);
    assert_eq!(history.len(), MAX_CHANGE_IDS);
    assert_eq!(history[0], "new");
}

#[test]
fn a_change_of_a_deployment_is_told_by_its_parts() {
    let route = |prefix: &str, service: &str| Route {
        prefix: prefix.to_owned(),
        service: service.into(),
        ..Route::default()
    };
    let weights = |weight| vec![ServiceWeight { service: "a".into(), weight }];
    let earlier = Deployment {
        routes: vec![
            route("/kept", "a"),
            route("/moved", "a"),
            Route { service_weights: weights(1), ..route("/split", "") },
            route("/shorter", "a"),
            route("/gone", "a"),
        ],
        ..Deployment::default()
    };
    let later = Deployment {
        routes: vec![
            route("/kept", "a"),
            route("/moved", "b"),
            Route { service_weights: weights(2), ..route("/split", "") },
            Route { timeout: Some(Duration::from_secs(1)), ..route("/shorter", "a") },
            route("/new", "a"),
        ],
        limits: RequestLimits { body_bytes: Some(1), ..RequestLimits::default() },
        ..Deployment::default()
    };
    let change = DeploymentChange::between(&earlier, &later);
    assert_eq!(change.to_string(), "added:1,removed:1,moved:2,timeouts:1,limits");
    assert_eq!(DeploymentChange::between(&later, &later).to_string(), "none");
}
