//! Requests of organisations with keys, against nodes that run as processes.

mod common;

use common::caller::{Caller, HOST, Response};
use common::deployment::{Deployment, configuration_json};
use lavenderflow_standins::fleet::wait_until;
use serde_json::{Value, json};

/// Returns a configuration in which an organisation has these keys and `/read/` is public.
fn configuration(version: u32, keys: &[&str]) -> String {
    let text = configuration_json(version, "work", "work");
    let mut value: Value = serde_json::from_str(&text).expect("JSON");
    let resources = value["resources"].as_array_mut().expect("resources");
    resources[0]["spec"]["public"] = json!(true);
    resources.push(json!({"resource_type": "tenants", "metadata": {"name": "one"},
        "spec": {"api_keys": keys, "priority": 1}}));
    value.to_string()
}

fn start(keys: &[&str]) -> Deployment {
    let deployment = Deployment::start(3);
    deployment.store.write("op/config", &configuration(100, keys));
    wait_until("keys are required by all nodes", || {
        (0..3).all(|vm| call(&deployment, vm, "/write/a", "before", "") == 401)
    })
    .expect("organisations");
    deployment
}

/// Sends a request with these additional header lines on a connection.
fn send(caller: &mut Caller, path: &str, id: &str, lines: &str) -> Option<Response> {
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nLavenderflow-Request-Id: {id}\r\n\
         Lavenderflow-Deadline-Ms: 5000\r\nContent-Length: 0\r\n{lines}\r\n"
    );
    caller.send(head.as_bytes()).ok()?;
    caller.read()
}

/// Returns the status of a request on a new connection; 0 if there is no response.
fn call(deployment: &Deployment, vm: usize, path: &str, id: &str, lines: &str) -> u16 {
    let caller = Caller::connect(deployment.vms[vm].outbound).ok();
    let response = caller.and_then(|mut caller| send(&mut caller, path, id, lines));
    response.map_or(0, |response| response.status)
}

/// Guards against requests that run without a valid key, under another organisation's name, or with
/// the key in an upstream's hands.
#[test]
fn upstreams_see_the_organisation_and_never_the_key() {
    let deployment = start(&["k-1"]);
    let key = "Authorization: Token k-1\r\nLavenderflow-Tenant: two\r\n";
    for (id, path, lines, status) in [
        ("known", "/write/a", key, 200),
        ("public", "/read/a", "", 200),
        (
            "public-unknown",
            "/read/a",
            "Authorization: Token k-9\r\nLavenderflow-Tenant: x\r\n",
            200,
        ),
        ("unknown", "/write/a", "Authorization: Token k-9\r\n", 401),
        ("other-scheme", "/write/a", "Authorization: Basic k-1\r\n", 401),
        ("no-key", "/write/a", "Authorization: Token \r\n", 401),
        ("two-keys", "/write/a", "Authorization: Token k-1\r\nAuthorization: Token k-1\r\n", 401),
    ] {
        for vm in 0..3 {
            let id = format!("{id}-{vm}");
            assert_eq!(call(&deployment, vm, path, &id, lines), status, "{id}");
        }
    }
    let long = format!("Authorization: Token {}\r\n", "k".repeat(10_000));
    assert_eq!(call(&deployment, 0, "/write/a", "long", &long), 401);
    let mut runs = 0;
    for upstream in &deployment.upstreams {
        for (id, run) in upstream.requests().expect("an upstream") {
            let organisation = id.starts_with("known").then_some("one");
            if id != "before" {
                assert_eq!(run.header("lavenderflow-tenant"), organisation, "{id}");
                assert_eq!(run.header("authorization"), None, "{id}");
                runs += run.run_count;
            }
        }
    }
    assert_eq!(runs, 9);
}

/// Guards against a withdrawn key that still works on an open connection, or works again after a
/// restart without the store.
#[test]
fn a_withdrawn_key_stays_withdrawn() {
    let mut deployment = start(&["k-1", "k-2"]);
    let mut kept = Caller::connect(deployment.vms[0].outbound).expect("a connection");
    let lines = "Authorization: Token k-2\r\n";
    let status = |caller: &mut Caller, id: &str| {
        send(caller, "/write/a", id, lines).map(|response| response.status)
    };
    assert_eq!(status(&mut kept, "first"), Some(200));
    deployment.store.write("op/config", &configuration(200, &["k-1"]));
    wait_until("the key is refused on the open connection", || {
        status(&mut kept, "kept") == Some(401)
    })
    .expect("a withdrawn key");
    wait_until("all nodes refuse the key", || {
        (0..3).all(|vm| call(&deployment, vm, "/write/a", "all", lines) == 401)
    })
    .expect("a withdrawn key");
    // The restarted node learns the configuration from its peers.
    deployment.store.silence([deployment.vms[0].store]);
    deployment.vms[0].process.kill().expect("a signal");
    deployment.restart(0);
    wait_until("the restarted node knows the other key", || {
        let outcome = call(&deployment, 0, "/write/a", "other", "Authorization: Token k-1\r\n");
        assert_ne!(call(&deployment, 0, "/write/a", "again", lines), 200);
        outcome == 200
    })
    .expect("a node that serves");
    assert_eq!(call(&deployment, 0, "/write/a", "last", lines), 401);
}
