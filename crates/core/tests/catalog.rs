//! What stays in force when a configuration, or an entry of it, cannot be read.

use std::fmt;

use lavenderflow_core::catalog::{
    ApplyResult, Catalog, ConfigItem, Deployment, Document, Rejection, UnreadableOrganisation,
};
use lavenderflow_core::organisation::{Directory, Organisation};
use lavenderflow_core::route::Route;

const KEY: &str = "deployment/platform";
const PEER: Option<u64> = Some(2);

fn document(revision: u64) -> Document {
    Document { key: KEY.into(), revision, text: revision.to_string().into_bytes().into() }
}

fn organisation(name: &str, key: u8) -> Organisation {
    Organisation { name: name.into(), keys: vec![[key; 32]], ..Organisation::default() }
}

fn deployment(organisations: Vec<Organisation>, unreadable: &[&str]) -> Deployment {
    let route = Route { prefix: "/".to_owned(), service: "a".into(), ..Route::default() };
    let fault = "field rate_per_s".to_owned();
    let entry = |name: &&str| UnreadableOrganisation { name: (*name).into(), fault: fault.clone() };
    let unreadable = unreadable.iter().map(entry).collect();
    Deployment { routes: vec![route], organisations, unreadable, ..Deployment::default() }
}

/// Applies a version from the store and returns the organisations in force.
fn apply(catalog: &mut Catalog, revision: u64, deployment: Deployment) -> Directory {
    let checked = Ok::<_, fmt::Error>(ConfigItem::Deployment(deployment));
    match catalog.apply(document(revision), checked, None) {
        ApplyResult::Applied(item, _) => match *item {
            ConfigItem::Deployment(deployment) => Directory::new(deployment.organisations),
            other => panic!("{other:?}"),
        },
        other => panic!("{other:?}"),
    }
}

fn name_of(directory: &Directory, key: u8) -> Option<&str> {
    directory.identify(Some([key; 32]), false).ok().flatten().map(|found| &*found.name)
}

/// Guards against an organisation whose callers are refused because of a new field of its entry.
#[test]
fn an_unreadable_organisation_keeps_its_last_good_version() {
    let mut catalog = Catalog::default();
    apply(&mut catalog, 1, deployment(vec![organisation("one", 1), organisation("two", 2)], &[]));
    assert!(catalog.rejected().is_empty());
    for revision in [2, 3] {
        let next = deployment(vec![organisation("two", 3)], &["one"]);
        let directory = apply(&mut catalog, revision, next);
        assert_eq!([1, 2, 3].map(|key| name_of(&directory, key)), [Some("one"), None, Some("two")]);
        let fault = "field rate_per_s".to_owned();
        let key = format!("{KEY}/organisations/one");
        assert_eq!(catalog.rejected(), [Rejection { key, revision, fault }]);
    }
    // A key that a readable organisation has by now is that one's.
    let directory = apply(&mut catalog, 4, deployment(vec![organisation("two", 1)], &["one"]));
    assert_eq!(name_of(&directory, 1), Some("two"));
    // An organisation that is no longer listed at all is gone.
    let directory = apply(&mut catalog, 5, deployment(vec![organisation("two", 2)], &[]));
    assert_eq!(name_of(&directory, 1), None);
    assert!(catalog.rejected().is_empty());
}

/// Guards against a deployment that is open to everyone because no organisation could be read.
#[test]
fn unreadable_organisations_that_were_never_known_open_nothing() {
    let mut catalog = Catalog::default();
    let directory = apply(&mut catalog, 1, deployment(Vec::new(), &["one"]));
    assert!(directory.needs_keys());
    assert!(directory.identify(None, false).is_err());
}

/// Guards against a status that forgets a version that is still unreadable, or keeps one that has
/// been replaced.
#[test]
fn a_rejected_version_is_listed_until_a_readable_one_replaces_it() {
    let mut catalog = Catalog::default();
    let good = || Ok::<_, fmt::Error>(ConfigItem::Deployment(deployment(Vec::new(), &[])));
    let rejection = Rejection { key: KEY.to_owned(), revision: 5, fault: "version".to_owned() };
    catalog.reject(rejection.clone());
    // A peer sends the last good version to a node that has just started.
    assert!(matches!(catalog.apply(document(4), good(), PEER), ApplyResult::Applied(..)));
    assert_eq!(catalog.rejected(), std::slice::from_ref(&rejection));
    // The operator puts the last good version back.
    assert_eq!(catalog.apply(document(4), good(), None), ApplyResult::Unchanged);
    assert!(catalog.rejected().is_empty());
    catalog.reject(rejection);
    assert!(matches!(catalog.apply(document(6), good(), PEER), ApplyResult::Applied(..)));
    assert!(catalog.rejected().is_empty());
}
