//! Organisations get no more than their allowance from all nodes together, and are told so before
//! anything runs.

mod common;

use std::time::{Duration, Instant};

use common::caller::{Caller, HOST, Response};
use common::deployment::Deployment;
use serde_json::{Value, json};

/// Requests per second that the limited organisation may make.
const RATE: f64 = 20.0;
/// Requests that it can save up.
const BURST: f64 = 5.0;
/// Window of the bound.
const WINDOW: Duration = Duration::from_secs(5);
const LIMITED: &str = "limited-key";
const UNLIMITED: &str = "unlimited-key";

fn configuration() -> String {
    let limits = json!({"resource_type": "limits", "metadata": {}, "spec": {
        "max_header_bytes": 16384, "max_body_bytes": 1_048_576,
        "header_timeout_s": 3, "idle_timeout_s": 15}});
    let route = json!({"resource_type": "routes", "metadata": {"name": "read"}, "spec": {
        "host": HOST, "path_prefix": "/read/", "kind": "idempotent", "timeout_s": 2.0,
        "target_latency_s": 0.8, "priority": 1, "service": "work", "max_attempts": 2}});
    let tenant = |name: &str, spec: Value| json!({"resource_type": "tenants", "metadata": {"name": name}, "spec": spec});
    let limited = tenant(
        "limited",
        json!({"api_keys": [LIMITED], "priority": 1, "rate_per_s": RATE, "burst": BURST}),
    );
    let unlimited = tenant("unlimited", json!({"api_keys": [UNLIMITED], "priority": 1}));
    json!({"version": "00000003", "resources": [route, limits, limited, unlimited]}).to_string()
}

fn call(deployment: &Deployment, vm: usize, key: &str, id: &str) -> Response {
    let mut caller = Caller::connect(deployment.vms[vm].outbound).expect("a connection");
    let head = format!(
        "GET /read/a HTTP/1.1\r\nHost: {HOST}\r\nLavenderflow-Request-Id: {id}\r\n\
         Lavenderflow-Deadline-Ms: 2000\r\nAuthorization: Token {key}\r\n\
         Content-Length: 0\r\n\r\n"
    );
    caller.send(head.as_bytes()).expect("a request");
    caller.read().expect("a response")
}

#[test]
fn an_organisation_over_its_allowance_gets_429_and_no_more_runs_than_the_bound() {
    let deployment = Deployment::start_unconfigured(4);
    deployment.store.write("op/config", &configuration());
    deployment.wait_ready();
    let start = Instant::now();
    let end = start + WINDOW + Duration::from_secs(2);
    let (mut allowed, mut refused, mut count) = (Vec::new(), 0, 0);
    while Instant::now() < end {
        let response = call(&deployment, count % 4, LIMITED, &format!("l{count}"));
        match response.status {
            200 => allowed.push(Instant::now()),
            429 => {
                let retry: f64 = response.header("retry-after").parse().expect("a number");
                assert!(retry > 0.0 && retry < 5.0, "{retry}");
                refused += 1;
            }
            status => panic!("{status}"),
        }
        if count.is_multiple_of(10) {
            let other = call(&deployment, count % 4, UNLIMITED, &format!("u{count}"));
            assert_eq!(other.status, 200, "others are not limited");
        }
        count += 1;
        std::thread::sleep(Duration::from_millis(5));
    }
    let bound = (RATE * WINDOW.as_secs_f64() + BURST) * 1.1 + 20.0;
    for (index, first) in allowed.iter().enumerate() {
        let within = allowed[index..].iter().take_while(|time| **time < *first + WINDOW).count();
        assert!(within as f64 <= bound, "{within} requests within 5 s, bound {bound}");
    }
    assert!(refused > 0, "the load exceeds the allowance");
    // The first two seconds may pass before the roots grant anything.
    let late = allowed.iter().filter(|time| **time >= end - WINDOW).count();
    assert!(late as f64 >= RATE * WINDOW.as_secs_f64() * 0.8, "{late} requests in the last 5 s");
    let runs = deployment.run_counts();
    let limited_runs = runs.iter().filter(|(id, _)| id.starts_with('l')).count();
    assert_eq!(limited_runs, allowed.len(), "what was refused did not run");
}
