//! Behaviour of nodes in platform mode, run as processes.

mod common;

use std::time::{Duration, Instant};

use common::caller::{Caller, HOST, request_head};
use common::deployment::{Deployment, configuration_json, is_ready, start_upstream};
use lavenderflow_standins::fleet::wait_until;
use lavenderflow_standins::platform_upstream::{Mode, response_body};
use lavenderflow_standins::store::Mode as StoreMode;

/// Statuses that state that the request has not run and will not run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

#[test]
fn requests_are_served_from_end_to_end() {
    let deployment = Deployment::start(3);
    for (index, method) in ["GET", "POST"].iter().cycle().take(30).enumerate() {
        let path = if *method == "GET" { "/read/a?b=c" } else { "/write/a" };
        let id = format!("r{index}");
        let response = deployment.call(index % 3, method, path, &id).expect("a response");
        assert_eq!((response.status, response.text()), (200, response_body(&id)));
        assert_eq!(response.header("lavenderflow-request-id"), id);
        assert!(response.header("lavenderflow-server-signature").starts_with("signed-by-"));
    }
    let mut ran = 0;
    for endpoint in &deployment.upstreams {
        for run in endpoint.requests().expect("an upstream").values() {
            ran += run.run_count;
            assert_eq!(run.header("lavenderflow-caller-service"), Some("work"));
            assert_eq!(run.header("host"), Some(HOST));
            let remaining_ms: u64 =
                run.header("lavenderflow-deadline-ms").unwrap().parse().unwrap();
            assert!(
                (1..=2000).contains(&remaining_ms),
                "the route's timeout bounds it: {remaining_ms}"
            );
        }
    }
    assert_eq!(ran, 30);
}

#[test]
fn requests_before_the_first_configuration_get_503_with_retry_after() {
    let mut deployment = Deployment::start_unconfigured(2);
    wait_until("the nodes listen", || {
        deployment.vms.iter().all(|vm| Caller::connect(vm.outbound).is_ok())
    })
    .expect("nodes");
    let response = deployment.call(0, "GET", "/read/a", "early").expect("a response");
    assert_eq!(response.status, 503);
    assert!(response.header("retry-after").parse::<f64>().is_ok_and(|seconds| seconds > 0.0));
    assert!(!is_ready(deployment.vms[0].ready));
    deployment.configure("work", "work");
    deployment.wait_ready();
    assert_eq!(deployment.call(0, "GET", "/other/a", "gone").expect("a response").status, 404);
    assert_eq!(deployment.call(0, "GET", "/read", "short").expect("a response").status, 404);
}

#[test]
fn ambiguous_and_oversized_requests_are_refused() {
    let deployment = Deployment::start(1);
    let head = |fields: &str| format!("POST /write/a HTTP/1.1\r\n{fields}\r\n\r\n");
    let both = format!("Host: {HOST}\r\nContent-Length: 3\r\nTransfer-Encoding: chunked");
    let two = format!("Host: {HOST}\r\nHost: {HOST}\r\nContent-Length: 0");
    for fields in [both.as_str(), two.as_str(), "Content-Length: 0"] {
        let mut caller = Caller::connect(deployment.vms[0].outbound).expect("a connection");
        caller.send(head(fields).as_bytes()).expect("a request");
        assert_eq!(caller.read().map(|response| response.status), Some(400), "{fields}");
    }
    let mut caller = Caller::connect(deployment.vms[0].outbound).expect("a connection");
    caller.send(&request_head("POST", "/write/a", "big", 2_000_000, 2000)).expect("a request");
    assert_eq!(caller.read().map(|response| response.status), Some(413));
    assert_eq!(deployment.run_counts().len(), 0);
}

#[test]
fn bodies_of_all_sizes_and_chunked_bodies_arrive_complete() {
    let deployment = Deployment::start(2);
    let mut caller = Caller::connect(deployment.vms[0].outbound).expect("a connection");
    for (index, size) in [0, 1, 4000, 70_000, 400_000].into_iter().enumerate() {
        let (id, sent) = (format!("b{index}"), vec![7; size]);
        let response = caller.request("POST", "/write/a", &id, &sent).expect("a response");
        assert_eq!((response.status, response.text()), (200, response_body(&id)), "{size}");
    }
    let chunked = format!(
        "POST /write/a HTTP/1.1\r\nHost: {HOST}\r\nLavenderflow-Request-Id: chunked\r\n\
         Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n3\r\nfgh\r\n0\r\n\r\n"
    );
    caller.send(chunked.as_bytes()).expect("a request");
    assert_eq!(caller.read().map(|response| response.status), Some(200));
    let runs: Vec<_> = deployment.upstreams.iter().flat_map(|u| u.requests().unwrap()).collect();
    let length =
        |id: &str| runs.iter().find(|(name, _)| name == id).map(|(_, run)| run.body_digest.0);
    assert_eq!([length("b0"), length("b3"), length("chunked")], [Some(0), Some(70_000), Some(8)]);
}

#[test]
fn faulty_responses_never_become_successes_or_reach_another_request() {
    let deployment = Deployment::start(2);
    let modes = [
        Mode::RespondsEarly,
        Mode::Errors,
        Mode::ExtraResponse,
        Mode::WrongRequestId,
        Mode::Garbage,
        Mode::Disconnects,
        Mode::Sheds,
        Mode::Truncates,
        Mode::CloseDelimited,
        Mode::Unsigned,
    ];
    for mode in modes {
        deployment.upstreams[0].set_mode(mode).expect("an upstream");
        let mut connection = None;
        for index in 0..12 {
            let id = format!("{mode:?}-{index}");
            let vm = deployment.vms[index % 2].outbound;
            let caller =
                connection.get_or_insert_with(|| Caller::connect(vm).expect("a connection"));
            let (method, path) =
                if index % 3 == 0 { ("GET", "/read/a") } else { ("POST", "/write/a") };
            let Some(response) = caller.request(method, path, &id, b"body") else {
                connection = None;
                continue;
            };
            if response.status == 200 && response.is_complete {
                assert_eq!(response.text(), response_body(&id), "{mode:?}");
                assert_eq!(response.header("lavenderflow-request-id"), id, "{mode:?}");
            }
            if !response.is_complete {
                connection = None;
            }
            let ran = deployment.run_counts().get(&id).copied().unwrap_or(0);
            if method == "POST" {
                assert!(ran <= 1, "{mode:?}: {id} ran {ran} times");
            }
            if NOT_RUN_STATUSES.contains(&response.status) {
                assert_eq!(ran, 0, "{mode:?}: {id} ran although its status says that it did not");
            }
        }
    }
}

#[test]
fn the_upstream_connection_closes_when_the_caller_disconnects() {
    let deployment = Deployment::start(2);
    for endpoint in &deployment.upstreams {
        endpoint.set_mode(Mode::Hangs).expect("an upstream");
    }
    let mut caller = Caller::connect(deployment.vms[0].outbound).expect("a connection");
    caller.send(&request_head("GET", "/read/a", "leaver", 0, 5000)).expect("a request");
    let run = || {
        let mut runs = deployment.upstreams.iter().flat_map(|u| u.requests().unwrap_or_default());
        runs.find(|(id, _)| id == "leaver").map(|(_, run)| run)
    };
    wait_until("the request runs", || run().is_some()).expect("a run");
    let disconnected = Instant::now();
    drop(caller);
    wait_until("the upstream sees that the connection is closed", || {
        run().is_some_and(|run| run.closed_at.is_some())
    })
    .expect("a closed connection");
    let closed = run().and_then(|run| run.closed_at).expect("a closed connection");
    assert!(closed - disconnected < Duration::from_millis(500), "{:?}", closed - disconnected);
}

#[test]
fn a_hanging_request_gets_504_at_the_timeout_of_its_route() {
    let deployment = Deployment::start(1);
    deployment.upstreams[0].set_mode(Mode::Hangs).expect("an upstream");
    let started = Instant::now();
    let response = deployment.call(0, "POST", "/write/a", "slow").expect("a response");
    let elapsed = started.elapsed();
    assert_eq!(response.status, 504);
    let bounds = Duration::from_millis(1950)..Duration::from_millis(2250);
    assert!(bounds.contains(&elapsed), "{elapsed:?}");
}

#[test]
fn a_leaving_upstream_gets_no_work_even_after_late_heartbeats() {
    let deployment = Deployment::start(3);
    let leaving = &deployment.upstreams[0];
    leaving.drain().expect("an acknowledgement");
    let before = leaving.run_count().expect("a count");
    // A heartbeat that was sent before the drain and arrives after it.
    leaving.send_heartbeat(1, "ready").expect("an acknowledgement");
    for index in 0..40 {
        let id = format!("d{index}");
        let response = deployment.call(index % 3, "POST", "/write/a", &id).expect("a response");
        assert_eq!(response.status, 200);
    }
    assert_eq!(leaving.run_count().expect("a count"), before);
    // This upstream deregisters without draining first.
    let silent = &deployment.upstreams[1];
    silent.deregister().expect("an acknowledgement");
    let before = silent.run_count().expect("a count");
    silent.send_heartbeat(2, "ready").expect("an acknowledgement");
    for index in 0..40 {
        let id = format!("e{index}");
        let response = deployment.call(index % 3, "POST", "/write/a", &id).expect("a response");
        assert_eq!(response.status, 200);
    }
    assert_eq!(silent.run_count().expect("a count"), before);
}

#[test]
fn a_later_lifetime_at_the_same_address_gets_work() {
    let mut deployment = Deployment::start(1);
    drop(deployment.upstreams.pop());
    let vm = &deployment.vms[0];
    let next = start_next_upstream(vm);
    wait_until("the new lifetime serves requests", || {
        let response = deployment.call(0, "GET", "/read/a", "next");
        response.is_some_and(|response| response.status == 200)
    })
    .expect("a response");
    assert!(next.run_count().expect("a count") > 0);
}

/// Starts the next lifetime of a VM's upstream, once its address is free.
fn start_next_upstream(
    vm: &common::deployment::Vm,
) -> lavenderflow_standins::platform_upstream::PlatformUpstream {
    wait_until("the address is free", || std::net::TcpListener::bind(vm.upstream).is_ok())
        .expect("an address");
    start_upstream(vm, 2, Duration::from_millis(5))
}

#[test]
fn a_stopping_node_accepts_requests_for_a_while_and_interrupts_none() {
    let mut deployment = Deployment::start(3);
    let outbound = deployment.vms[0].outbound;
    let mut connection = Caller::connect(outbound).expect("a connection");
    assert_eq!(
        connection.request("GET", "/read/a", "first", b"").map(|response| response.status),
        Some(200)
    );
    let started = Instant::now();
    deployment.vms[0].process.terminate().expect("a signal");
    wait_until("the node is no longer ready", || !is_ready(deployment.vms[0].ready))
        .expect("a stop");
    // Callers continue to send requests until they learn of the stop.
    let mut served = 0;
    while started.elapsed() < Duration::from_millis(1800) {
        let id = format!("s{served}");
        let response = connection.request("POST", "/write/a", &id, b"body").expect("a response");
        assert_eq!((response.status, response.text()), (200, response_body(&id)));
        served += 1;
    }
    assert!(served > 0);
    wait_until("the node has exited", || {
        deployment.vms[0].process.exit_status().unwrap().is_some()
    })
    .expect("an exit");
    assert!(started.elapsed() < Duration::from_secs(6), "{:?}", started.elapsed());
    assert!(deployment.vms[0].process.exit_status().unwrap().unwrap().success());
    let response = deployment.call(1, "GET", "/read/a", "after").expect("a response");
    assert_eq!(response.status, 200);
}

#[test]
fn a_configuration_reaches_all_nodes_and_is_not_replaced_by_an_older_one() {
    let mut deployment = Deployment::start(3);
    deployment.configure("nobody", "work");
    let written = Instant::now();
    let is_moved = |vm: usize| {
        deployment
            .call(vm, "GET", "/read/a", "moved")
            .is_some_and(|response| response.status == 503)
    };
    wait_until("all nodes use the new route", || (0..3).all(is_moved)).expect("a change");
    assert!(written.elapsed() < Duration::from_secs(2), "{:?}", written.elapsed());
    // An older version and a malformed one change nothing.
    deployment.store.write("op/config", &configuration_json(1, "work", "work"));
    deployment.store.write("op/config", "{\"version\": 12");
    std::thread::sleep(Duration::from_secs(1));
    assert!((0..3).all(is_moved));
}

#[test]
fn a_node_started_during_a_store_outage_becomes_ready_through_its_peers() {
    let mut deployment = Deployment::start(4);
    deployment.store.set_mode(StoreMode::Down);
    deployment.vms[1].process.kill().expect("a signal");
    deployment.restart(1);
    let started = Instant::now();
    wait_until("the restarted node is ready", || is_ready(deployment.vms[1].ready))
        .expect("a start");
    assert!(started.elapsed() < Duration::from_secs(3), "{:?}", started.elapsed());
    wait_until("the restarted node serves requests", || {
        let response = deployment.call(1, "GET", "/read/a", "again");
        response.is_some_and(|response| response.status == 200)
    })
    .expect("a response");
}

#[test]
fn nodes_killed_and_restarted_together_serve_within_three_seconds() {
    let mut deployment = Deployment::start(4);
    for vm in &mut deployment.vms {
        vm.process.kill().expect("a signal");
    }
    (0..4).for_each(|vm| deployment.restart(vm));
    let started = Instant::now();
    let is_served = |vm: usize| {
        let response = deployment.call(vm, "POST", "/write/a", &format!("k{vm}"));
        response.is_some_and(|response| response.status == 200)
    };
    wait_until("all nodes serve requests", || (0..4).all(is_served)).expect("responses");
    assert!(started.elapsed() < Duration::from_secs(3), "{:?}", started.elapsed());
}
