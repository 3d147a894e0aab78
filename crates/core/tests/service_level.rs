//! What an entry counts as served when it decides whether a service is degraded.

mod support;

use std::sync::Arc;

use lavenderflow_core::clock::SharedClock;
use lavenderflow_core::entry::Entry;
use lavenderflow_core::id::RequestId;
use lavenderflow_core::load::{Condition, Load};
use lavenderflow_core::request::AttemptReport;
use lavenderflow_core::ticket::StoredAnswer;
use support::{arrival, clock, entry, first_dispatch, member, service_offer};

fn answer(status: u16) -> Option<Arc<StoredAnswer>> {
    Some(Arc::new(StoredAnswer { status, headers: Vec::new(), body: Vec::new().into() }))
}

/// Begins a request, and returns whether its attempt says that the service is degraded.
fn begin(entry: &mut Entry, request: RequestId) -> bool {
    let actions = entry.begin(arrival(request, "POST", None));
    let (_, _, _, spec) = first_dispatch(&actions).expect("a dispatch");
    entry.report(request, AttemptReport::Admitted(Load::default()));
    spec.degraded
}

/// Returns an entry with one gate.
fn connected_entry() -> Entry {
    let shared: SharedClock = clock();
    let mut entry = entry(1, 1, &shared, 1);
    entry.set_node(&member(2, 1, vec![service_offer(4, Condition::Healthy, 0.0)]), false);
    entry
}

#[test]
fn requests_that_upstreams_fail_degrade_a_service() {
    for status in [500, 504] {
        let mut entry = connected_entry();
        assert!(!begin(&mut entry, 1));
        entry.report(1, AttemptReport::Answered { status, load: None, answer: answer(status) });
        assert!(begin(&mut entry, 2), "status {status}");
    }
}

#[test]
fn streamed_failures_and_cut_responses_degrade_a_service() {
    for (status, end) in
        [(503, AttemptReport::Completed { bytes: 1, load: None }), (200, AttemptReport::Truncated)]
    {
        let mut entry = connected_entry();
        assert!(!begin(&mut entry, 1));
        entry.report(1, AttemptReport::Answered { status, load: None, answer: None });
        entry.report(1, end);
        assert!(begin(&mut entry, 2), "status {status}");
    }
}

#[test]
fn requests_that_upstreams_answer_keep_a_service_level() {
    for status in [200, 404] {
        let mut entry = connected_entry();
        assert!(!begin(&mut entry, 1));
        entry.report(1, AttemptReport::Answered { status, load: None, answer: answer(status) });
        assert!(!begin(&mut entry, 2), "status {status}");
    }
}
