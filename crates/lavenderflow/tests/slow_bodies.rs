//! The time in which a body arrives is part of the time that its caller waits.

mod common;

use std::thread;
use std::time::{Duration, Instant};

use common::caller::{Caller, request_head};
use common::deployment::Deployment;

/// Guards against a request that is held for its body after its caller has stopped waiting.
#[test]
fn a_body_that_is_too_late_for_its_caller_is_refused() {
    let deployment = Deployment::start(1);
    let mut caller = Caller::connect(deployment.vms[0].outbound).expect("a connection");
    let started = Instant::now();
    caller.send(&request_head("POST", "/write/a", "late", 100, 400)).expect("a connection");
    caller.send(b"x").expect("a connection");
    let response = caller.read().expect("a response");
    assert_eq!(response.status, 503, "{}", response.text());
    assert!(started.elapsed() < Duration::from_secs(2), "{:?}", started.elapsed());
    assert!(!deployment.run_counts().contains_key("late"));
}

/// Guards against an upstream that is given more time than its caller has left.
#[test]
fn an_upstream_gets_the_time_that_is_left_after_the_body() {
    let deployment = Deployment::start(1);
    let mut caller = Caller::connect(deployment.vms[0].outbound).expect("a connection");
    caller.send(&request_head("POST", "/write/a", "slow", 2, 1500)).expect("a connection");
    for _ in 0..2 {
        thread::sleep(Duration::from_millis(300));
        caller.send(b"x").expect("a connection");
    }
    assert_eq!(caller.read().map(|response| response.status), Some(200));
    let runs = deployment.upstreams[0].requests().expect("an upstream");
    let left: u64 =
        runs["slow"].header("lavenderflow-deadline-ms").expect("one").parse().expect("ms");
    assert!(left <= 900, "{left} ms");
}
