//! Faulty upstreams change neither what callers are told about their requests nor how often they run.

mod common;

use std::thread;
use std::time::Duration;

use common::caller::{Caller, request_head};
use common::deployment::Deployment;
use lavenderflow_standins::platform_upstream::{Mode, response_body};

/// Statuses that state that the request has not run and will not run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Sends requests while all upstreams have a mode, and checks each response against the runs.
fn check(vms: usize, mode: Mode) {
    let deployment = Deployment::start(vms);
    for upstream in &deployment.upstreams {
        upstream.set_mode(mode).expect("an upstream");
    }
    for index in 0..40 {
        let id = format!("f{index}");
        let (method, path) = if index % 4 == 0 { ("GET", "/read/a") } else { ("POST", "/write/a") };
        let response = deployment.call(index % vms, method, path, &id);
        let ran = deployment.run_counts().get(&id).copied().unwrap_or(0);
        assert!(method == "GET" || ran <= 1, "{mode:?}: {id} ran {ran} times");
        let Some(response) = response else { continue };
        if NOT_RUN_STATUSES.contains(&response.status) {
            assert_eq!(ran, 0, "{mode:?}: {id} ran although its status says that it did not");
        }
        if response.status == 200 && response.is_complete {
            assert_eq!(response.text(), response_body(&id), "{mode:?}");
        }
    }
}

#[test]
fn a_refusal_that_is_sent_again_says_nothing_about_a_later_request() {
    for vms in [1, 2] {
        check(vms, Mode::RepeatsRefusal { named: true });
        check(vms, Mode::RepeatsRefusal { named: false });
    }
}

#[test]
fn a_response_cut_in_its_head_is_never_a_success() {
    let deployment = Deployment::start(1);
    deployment.upstreams[0].set_mode(Mode::TruncatesHead).expect("an upstream");
    for index in 0..60 {
        let response = deployment.call(0, "POST", "/write/a", &format!("h{index}"));
        let response = response.expect("a response");
        let ran = deployment.run_counts().contains_key(&format!("h{index}"));
        // Once the upstream is known to fail, requests are refused.
        assert_eq!(response.status, if ran { 502 } else { 503 }, "{}", response.text());
    }
}

/// Guards against a part of a response as a complete one, where the socket closes early (issue 53).
#[test]
fn an_upload_gets_no_complete_response_from_an_upstream_that_closes_early() {
    const PARTS: usize = 40;
    const PART: &[u8] = &[b'x'; 8 * 1024];
    let deployment = Deployment::start(1);
    deployment.upstreams[0].set_mode(Mode::ClosesEarly).expect("an upstream");
    for (number, pause) in [0, 2, 10].map(Duration::from_millis).into_iter().enumerate() {
        let mut caller = Caller::connect(deployment.vms[0].outbound).expect("a connection");
        let id = format!("u{number}");
        let head = request_head("POST", "/write/a", &id, PARTS * PART.len(), 5000);
        caller.send(&head).expect("a connection");
        // The node may answer, and close the connection, before it has the whole body.
        for _ in 0..PARTS {
            thread::sleep(pause);
            let _ = caller.send(PART);
        }
        let response = caller.read();
        assert!(deployment.run_counts().contains_key(&id), "{id} did not run");
        assert!(
            response.is_none_or(|response| response.status == 502 || !response.is_complete),
            "{id}: a complete response"
        );
    }
}
