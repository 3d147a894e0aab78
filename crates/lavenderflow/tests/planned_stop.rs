//! What callers get from a node that is stopped: each request that was accepted has an answer.

mod common;

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use common::caller::{Caller, Response, request_head};
use common::deployment::{Deployment, configuration_json, is_ready, status};
use lavenderflow_standins::fleet::wait_until;
use lavenderflow_standins::platform_upstream::Mode;

/// Time that the caller waits, longer than a stop takes.
const DEADLINE_MS: u64 = 20_000;
const BODY_BYTES: usize = 2000;

/// Starts a deployment whose routes allow more time than a stop takes.
fn start_patient(count: usize) -> Deployment {
    let deployment = Deployment::start_unconfigured(count);
    let text = configuration_json(1, "work", "work");
    let patient = text.replace("\"timeout_s\":2.0", "\"timeout_s\":15.0");
    assert_ne!(patient, text);
    deployment.store.write("op/config", &patient);
    deployment.wait_ready();
    deployment
}

/// Sends a request whose body arrives in parts over `duration`. Returns the response and how long
/// after the first byte it came.
fn send_slowly(
    node: SocketAddr,
    id: &str,
    duration: Duration,
) -> thread::JoinHandle<Option<(Response, Duration)>> {
    const PARTS: usize = 10;
    let head = request_head("POST", "/write/a", id, BODY_BYTES, DEADLINE_MS);
    thread::spawn(move || {
        let mut caller = Caller::connect(node).ok()?;
        let started = Instant::now();
        caller.send(&head).ok()?;
        let mut reader = caller.try_clone().ok()?;
        let response = thread::spawn(move || Some((reader.read()?, started.elapsed())));
        for _ in 0..PARTS {
            thread::sleep(duration / PARTS as u32);
            if caller.send(&[7; BODY_BYTES / PARTS]).is_err() {
                break;
            }
        }
        response.join().expect("a reader")
    })
}

fn run_count(deployment: &Deployment, id: &str) -> u32 {
    deployment.run_counts().get(id).copied().unwrap_or(0)
}

fn wait_ended(deployment: &mut Deployment) {
    let process = &mut deployment.vms[0].process;
    let mut status = None;
    wait_until("the node has stopped", || {
        status = process.exit_status().expect("a process");
        status.is_some()
    })
    .expect("a stop");
    assert!(status.is_some_and(|status| status.success()));
}

/// Guards against a connection that ends without an answer, because the request was accepted before
/// the stop and its upstream needs longer than the stop.
#[test]
fn requests_that_outlast_a_stop_are_answered() {
    let mut deployment = start_patient(2);
    for upstream in &deployment.upstreams {
        upstream.set_mode(Mode::Hangs).expect("an upstream");
    }
    let early = send_slowly(deployment.vms[0].outbound, "early", Duration::ZERO);
    wait_until("the request runs", || run_count(&deployment, "early") == 1).expect("a run");
    deployment.vms[0].process.terminate().expect("a signal");
    let late = send_slowly(deployment.vms[0].outbound, "late", Duration::ZERO);
    for caller in [early, late] {
        let (response, _) = caller.join().expect("a caller").expect("an answer");
        assert!(response.is_complete);
        assert!([502, 504].contains(&response.status), "{}", response.status);
    }
    assert_eq!((run_count(&deployment, "early"), run_count(&deployment, "late")), (1, 1));
    wait_ended(&mut deployment);
}

/// Guards against requests that are read during a stop and then refused or cut, although there was
/// time to serve them, or it was known from the start that they could not be served.
#[test]
fn bodies_that_arrive_during_a_stop_are_served_or_refused_at_once() {
    let mut deployment = start_patient(2);
    let node = deployment.vms[0].outbound;
    // Its body ends when the node refuses new requests already.
    let accepted = send_slowly(node, "accepted", Duration::from_millis(3000));
    // Keeps the node from ending early.
    let unfinished = send_slowly(node, "unfinished", Duration::from_millis(7000));
    thread::sleep(Duration::from_millis(100));
    deployment.vms[0].process.terminate().expect("a signal");
    wait_until("the node refuses new requests", || {
        deployment.call(0, "POST", "/write/a", "probe").is_some_and(|r| r.status == 503)
    })
    .expect("a refusal");
    let refused = send_slowly(node, "refused", Duration::from_millis(2000));
    let (response, elapsed) = refused.join().expect("a caller").expect("a refusal");
    assert_eq!((response.status, run_count(&deployment, "refused")), (503, 0));
    assert!(elapsed < Duration::from_millis(1000), "refused after {elapsed:?}");
    let (response, _) = accepted.join().expect("a caller").expect("an answer");
    assert_eq!((response.status, run_count(&deployment, "accepted")), (200, 1));
    let (response, _) = unfinished.join().expect("a caller").expect("a refusal");
    assert_eq!((response.status, run_count(&deployment, "unfinished")), (503, 0));
    wait_ended(&mut deployment);
}

/// Guards against a sound upstream that gets nothing from the first moment of its node's stop.
#[test]
fn a_stopping_node_passes_on_requests_of_others_while_it_serves_callers() {
    let mut deployment = start_patient(2);
    // Only the upstream beside the stopping node is left.
    deployment.upstreams[1].deregister().expect("a leaving upstream");
    wait_until("one gate is left", || {
        let upstreams = &status(&deployment.vms[1])["upstreams"];
        upstreams.as_array().is_some_and(Vec::is_empty)
    })
    .expect("a gate");
    deployment.vms[0].process.terminate().expect("a signal");
    let stopping = Instant::now();
    wait_until("the stop has begun", || !is_ready(deployment.vms[0].ready)).expect("a stop");
    let mut statuses = Vec::new();
    while stopping.elapsed() < Duration::from_millis(1200) {
        let id = format!("during-{}", statuses.len());
        statuses.push(deployment.call(1, "POST", "/write/a", &id).map(|r| r.status));
        thread::sleep(Duration::from_millis(100));
    }
    assert!(statuses.iter().all(|status| *status == Some(200)), "{statuses:?}");
    assert!(statuses.len() > 1, "{statuses:?}");
    wait_ended(&mut deployment);
}
