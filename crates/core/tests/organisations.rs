//! Tests which requests belong to an organisation, and what that decides.

mod support;

use std::time::Duration;

use lavenderflow_core::clock::SharedClock;
use lavenderflow_core::entry::Entry;
use lavenderflow_core::id::{KeyDigest, RequestId, TicketId};
use lavenderflow_core::load::Condition;
use lavenderflow_core::organisation::{Allowance, Directory, Organisation};
use lavenderflow_core::reason::{Outcome, Reason};
use lavenderflow_core::request::{Arrival, AttemptReport, AttemptSpec, EntryAction};
use lavenderflow_core::route::{Route, Router};
use support::{arrival, clock, entry, member, service, service_offer};

const ONE: KeyDigest = [1; 32];
const TWO: KeyDigest = [2; 32];
const UNKNOWN: KeyDigest = [9; 32];

fn organisation(name: &str, key: KeyDigest, rank: Option<u32>) -> Organisation {
    Organisation { name: name.into(), keys: vec![key], rank, ..Organisation::default() }
}

fn both() -> Directory {
    Directory::new([organisation("one", ONE, Some(2)), organisation("two", TWO, None)])
}

/// Returns an entry with one gate, a route that needs a key and a public one.
fn entry_with(directory: Directory) -> Entry {
    let clock: SharedClock = clock();
    let mut entry = entry(1, 1, &clock, 7);
    let mut router = Router::default();
    for (prefix, public) in [("/", false), ("/open/", true)] {
        let (prefix, service) = (prefix.to_owned(), service());
        router.insert(Route { prefix, service, public, rank: 3, ..Route::default() });
    }
    entry.set_router(router);
    entry.set_directory(directory);
    let offer = service_offer(40, Condition::Healthy, 0.0);
    entry.set_node(&member(2, 2, vec![offer]), false);
    entry
}

fn begin(entry: &mut Entry, target: &str, key: Option<KeyDigest>) -> Result<AttemptSpec, Reason> {
    let request = entry.in_flight() as u64 + 1;
    let target = target.to_owned();
    // What callers claim to be must not count.
    let organisation = Some("claimed".into());
    let arrived = Arrival { target, key, organisation, ..arrival(request, "GET", None) };
    match entry.begin(arrived).remove(0) {
        EntryAction::Dispatch { spec, .. } => Ok(spec),
        EntryAction::Conclude { conclusion, .. } => {
            assert_eq!(conclusion.outcome, Outcome::NotRun);
            Err(conclusion.reason)
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_key_names_the_organisation_and_its_priority() {
    let mut entry = entry_with(both());
    let one = begin(&mut entry, "/a", Some(ONE)).expect("a dispatch");
    assert_eq!((one.organisation.as_deref(), one.organisation_rank, one.rank), (Some("one"), 2, 3));
    assert!(one.hides_key && one.organisation_known);
    let two = begin(&mut entry, "/a", Some(TWO)).expect("a dispatch");
    assert_eq!((two.organisation.as_deref(), two.organisation_rank), (Some("two"), 0));
}

#[test]
fn requests_without_a_known_key_run_only_on_public_routes() {
    let mut entry = entry_with(both());
    for key in [None, Some(UNKNOWN)] {
        assert_eq!(begin(&mut entry, "/a", key).err(), Some(Reason::UnknownKey));
        let public = begin(&mut entry, "/open/a", key).expect("a dispatch");
        assert_eq!(public.organisation, None);
        assert!(public.hides_key, "the key is not passed on by public routes either");
    }
}

#[test]
fn withdrawn_keys_are_unknown_from_the_next_version_on() {
    let mut entry = entry_with(both());
    assert!(begin(&mut entry, "/a", Some(TWO)).is_ok());
    entry.set_directory(Directory::new([organisation("one", ONE, None)]));
    assert_eq!(begin(&mut entry, "/a", Some(TWO)).err(), Some(Reason::UnknownKey));
    // Organisations without keys still need some: nobody can use their routes.
    entry
        .set_directory(Directory::new([Organisation { name: "one".into(), ..Default::default() }]));
    assert_eq!(begin(&mut entry, "/a", Some(ONE)).err(), Some(Reason::UnknownKey));
}

#[test]
fn without_organisations_keys_mean_nothing() {
    let mut entry = entry_with(Directory::default());
    let spec = begin(&mut entry, "/a", Some(UNKNOWN)).expect("a dispatch");
    assert_eq!((spec.organisation.as_deref(), spec.hides_key), (Some("claimed"), false));
    // Gates share no slots by a name that anybody may claim.
    assert!(!spec.organisation_known);
}

#[test]
fn a_key_of_two_organisations_belongs_to_the_first() {
    let mut entry = entry_with(Directory::new([
        organisation("one", ONE, None),
        organisation("two", ONE, None),
    ]));
    let spec = begin(&mut entry, "/a", Some(ONE)).expect("a dispatch");
    assert_eq!(spec.organisation.as_deref(), Some("one"));
}

/// Returns an entry in which the organisation `one` has an allowance and `two` has none.
fn entry_with_allowance() -> Entry {
    let allowance = Some(Allowance { rate: 10.0, burst: 5.0 });
    let one = Organisation { allowance, ..organisation("one", ONE, None) };
    entry_with(Directory::new([one, organisation("two", TWO, None)]))
}

fn keyed(request: RequestId, method: &str, key: KeyDigest, ticket: Option<TicketId>) -> Arrival {
    Arrival { key: Some(key), ..arrival(request, method, ticket) }
}

#[test]
fn only_requests_with_an_allowance_wait_for_a_token_and_run_when_they_have_it() {
    let mut entry = entry_with_allowance();
    let actions = entry.begin(keyed(1, "GET", TWO, None));
    assert!(matches!(actions.as_slice(), [EntryAction::Dispatch { .. }]), "{actions:?}");
    let actions = entry.begin(keyed(2, "GET", ONE, None));
    assert_eq!(actions, [EntryAction::Draw { request: 2, organisation: "one".into() }]);
    let actions = entry.report(2, AttemptReport::Allowed);
    assert!(matches!(actions.as_slice(), [EntryAction::Dispatch { request: 2, .. }]));
}

#[test]
fn a_request_over_the_allowance_is_refused_with_the_retry_time_and_its_ticket_is_revoked() {
    let mut entry = entry_with_allowance();
    let ticket = entry.issue_ticket().expect("a ticket");
    entry.begin(keyed(1, "POST", ONE, Some(ticket)));
    let time = Duration::from_millis(350);
    let actions = entry.report(1, AttemptReport::OverAllowance(time));
    let [EntryAction::Conclude { conclusion, .. }] = actions.as_slice() else {
        panic!("{actions:?}")
    };
    assert_eq!(conclusion.outcome, Outcome::NotRun);
    assert_eq!((conclusion.reason, conclusion.reason.status()), (Reason::OverAllowance, 429));
    assert_eq!(conclusion.retry_after, Some(time));
    assert!(conclusion.new_ticket.is_some());
    assert_eq!(entry.in_flight(), 0);
    // The refusal said that it does not run, so it must not run later under the same ticket.
    entry.begin(keyed(2, "POST", ONE, Some(ticket)));
    let actions = entry.report(2, AttemptReport::Allowed);
    assert!(matches!(actions.as_slice(), [EntryAction::Conclude { .. }]), "{actions:?}");
}

#[test]
fn a_caller_that_leaves_before_the_token_arrives_leaves_nothing_behind() {
    let mut entry = entry_with_allowance();
    entry.begin(keyed(1, "POST", ONE, None));
    assert_eq!(entry.in_flight(), 1);
    entry.report(1, AttemptReport::CallerGone);
    assert_eq!(entry.in_flight(), 0);
    assert!(entry.report(1, AttemptReport::Allowed).is_empty());
}

#[test]
fn a_node_that_begins_to_stop_refuses_a_request_that_has_just_got_its_token() {
    let mut entry = entry_with_allowance();
    entry.begin(keyed(1, "GET", ONE, None));
    entry.drain();
    let actions = entry.report(1, AttemptReport::Allowed);
    let [EntryAction::Conclude { conclusion, .. }] = actions.as_slice() else {
        panic!("{actions:?}")
    };
    assert_eq!((conclusion.outcome, conclusion.reason), (Outcome::NotRun, Reason::Leaving));
}
