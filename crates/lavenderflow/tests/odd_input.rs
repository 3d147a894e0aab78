//! Odd values from upstreams and from other writers to the store end no node and stop none from
//! following changes.

mod common;

use std::time::Duration;

use common::caller::Caller;
use common::deployment::Deployment;
use lavenderflow_standins::fleet::wait_until;
use serde_json::{Value, json};

/// Depth at which a recursive parser would run out of stack.
const NESTING_DEPTH: usize = 200_000;

fn nested() -> String {
    format!("{}{}", "[".repeat(NESTING_DEPTH), "]".repeat(NESTING_DEPTH))
}

fn serves(deployment: &Deployment, id: &str) -> bool {
    let response = deployment.call(0, "GET", "/read/a", id);
    response.is_some_and(|response| response.status == 200)
}

/// Returns a whole announcement of a lifetime that starts later than those of the deployment.
fn heartbeat(address: &str) -> Value {
    json!({"service": "work", "address": address, "zone": "zone-a", "version": "v1", "slots": 4,
        "state": "ready", "cold_remaining_s": 0, "sequence": 1, "born": 1_800_000_000_000_u64})
}

/// Sends an announcement; returns the status of the response.
fn announce(deployment: &Deployment, id: &str, text: &str) -> Option<u16> {
    let mut caller = Caller::connect(deployment.vms[0].control).ok()?;
    let head = format!(
        "POST /lavenderflow/Instances.Heartbeat/{id} HTTP/1.1\r\nHost: node\r\n\
         Content-Length: {}\r\n\r\n",
        text.len()
    );
    // The node may close the connection before it has read a long body.
    let _ = caller.send(head.as_bytes()).and_then(|()| caller.send(text.as_bytes()));
    caller.read().map(|response| response.status)
}

#[test]
fn odd_announcements_end_no_node() {
    let mut deployment = Deployment::start(2);
    let address = deployment.vms[0].upstream.to_string();
    let heartbeat = heartbeat(&address);
    let with = |field: &str, value: &str| {
        let mut odd = heartbeat.clone();
        odd[field] = json!("ODD");
        odd.to_string().replace("\"ODD\"", value)
    };
    let odd = [
        with("cold_remaining_s", "1e19"),
        with("cold_remaining_s", "1e308"),
        with("cold_remaining_s", "1e999"),
        with("cold_remaining_s", "-1"),
        with("slots", "4294967295"),
        with("slots", "1e30"),
        with("sequence", "99999999999999999999"),
        with("born", "1e300"),
        with("address", "\"127.0.0.1:99999\""),
        with("state", &nested()),
        with("more", &nested()),
    ];
    for (index, text) in odd.iter().enumerate() {
        let status = announce(&deployment, &format!("odd-{index}"), text);
        let start = &text[..text.len().min(200)];
        assert!(status.is_none_or(|status| status != 200), "{status:?} for {start}");
        assert!(serves(&deployment, &format!("a{index}")), "after {start}");
    }
    assert_eq!(deployment.vms[0].process.exit_status().expect("a process"), None);
}

#[test]
fn odd_entries_of_other_writers_stop_no_node_from_following_changes() {
    let mut deployment = Deployment::start(3);
    for (key, value) in [
        ("nodes/odd-1", nested()),
        ("nodes/odd-2", "127.0.0.1:99999".to_owned()),
        ("config/routes/odd", nested()),
        ("config/profiles/odd", "{\"revision\": 1e999}".to_owned()),
        ("config/profiles/default", "{\"revision\": 99999999999999999999}".to_owned()),
        ("servers/odd", nested()),
    ] {
        deployment.store.write(key, &value);
    }
    // A node that starts reads all of them.
    deployment.vms[1].process.kill().expect("a signal");
    deployment.restart(1);
    deployment.wait_ready();
    deployment.configure("nobody", "work");
    wait_until("all nodes use the new route", || {
        (0..3).all(|vm| {
            let response = deployment.call(vm, "GET", "/read/a", "moved");
            response.is_some_and(|response| response.status == 503)
        })
    })
    .expect("a change");
    std::thread::sleep(Duration::from_millis(500));
    for vm in &mut deployment.vms {
        assert_eq!(vm.process.exit_status().expect("a process"), None);
    }
}

#[test]
fn odd_numbers_in_responses_end_no_calls_to_the_upstream() {
    let deployment = Deployment::start(1);
    let odd = ["timeout=18446744073709551615", "timeout=99999999999999999999", "timeout=-1", "="];
    for (index, keep_alive) in odd.iter().enumerate() {
        let headers = [("Keep-Alive", *keep_alive), ("Server-Limit", "1e308")];
        deployment.upstreams[0].set_response_headers(&headers).expect("an upstream");
        assert!(serves(&deployment, &format!("b{index}")), "{keep_alive}");
        assert!(serves(&deployment, &format!("c{index}")), "after {keep_alive}");
    }
}

/// Guards against an upstream that runs requests of another service, because an announcement of
/// another writer was used in part (review case 2).
#[test]
fn announcements_of_another_writer_change_no_service_of_a_known_upstream() {
    let mut deployment = Deployment::start(2);
    deployment.configure("work", "foreign");
    wait_until("nobody runs the other service", || {
        let response = deployment.call(0, "POST", "/write/a", "configured");
        response.is_some_and(|response| response.status == 503)
    })
    .expect("a change");
    let own = deployment.vms[0].upstream.to_string();
    let (vm, lifetime) = (deployment.vms[0].name.clone(), 1);
    let id = format!("i-{vm}-{lifetime}");
    let mut odd = heartbeat(&own);
    odd["service"] = json!("foreign");
    let whole = odd.clone();
    let mut texts = vec![whole.clone()];
    for field in ["zone", "version", "cold_remaining_s"] {
        let mut odd = whole.clone();
        odd.as_object_mut().expect("an object").remove(field);
        texts.push(odd);
    }
    let mut unordered = whole.clone();
    unordered.as_object_mut().expect("an object").remove("born");
    unordered["sequence"] = json!(1_000_000);
    texts.push(unordered);
    for (index, text) in texts.iter().enumerate() {
        let status = announce(&deployment, &id, &text.to_string());
        assert!(matches!(status, Some(400 | 409)), "{status:?} for {text}");
        for request in 0..5 {
            let request_id = format!("foreign-{index}-{request}");
            let response = deployment.call(0, "POST", "/write/a", &request_id);
            assert_eq!(response.map(|response| response.status), Some(503), "after {text}");
        }
        assert!(serves(&deployment, &format!("own-{index}")), "after {text}");
    }
    assert!(!deployment.run_counts().keys().any(|id| id.starts_with("foreign")));
}
