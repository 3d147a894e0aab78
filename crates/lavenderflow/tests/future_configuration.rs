//! A configuration of a later version of the platform is served as far as it can be read.

mod common;

use common::caller::{Caller, HOST};
use common::deployment::{Deployment, admin_get, configuration_json};
use lavenderflow_standins::fleet::wait_until;
use serde_json::{Value, json};

const STORE_KEY: &str = "op/config";

/// Returns a configuration of two organisations, with an additional entry.
fn configuration(version: u32, one: &Value, more: &Value) -> Value {
    let mut value: Value =
        serde_json::from_str(&configuration_json(version, "work", "work")).expect("JSON");
    let resources = value["resources"].as_array_mut().expect("a list");
    let tenant = |name, spec: &Value| json!({"resource_type": "tenants", "metadata": {"name": name}, "spec": spec});
    resources.push(tenant("one", one));
    resources.push(tenant("two", &json!({"api_keys": ["k-2"]})));
    resources.push(more.clone());
    value
}

fn extra(prefix: &str) -> Value {
    json!({"resource_type": "routes", "metadata": {"name": "extra"}, "spec": {
        "host": HOST, "path_prefix": prefix, "kind": "streaming", "service": "work",
        "mirror": {"share": 0.1}}})
}

fn status(deployment: &Deployment, path: &str, key: &str) -> u16 {
    let mut caller = Caller::connect(deployment.vms[0].outbound).expect("a connection");
    let head = format!(
        "GET {path} HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Token {key}\r\n\
         Lavenderflow-Deadline-Ms: 2000\r\n\r\n"
    );
    caller.send(head.as_bytes()).expect("a request");
    caller.read().map_or(0, |response| response.status)
}

fn rejected_keys(deployment: &Deployment) -> Vec<String> {
    let text = admin_get(&deployment.vms[0], "/v1/status").unwrap_or_default();
    let status: Value = serde_json::from_str(&text).unwrap_or_default();
    let rejected = status["rejected"].as_array().cloned().unwrap_or_default();
    rejected.iter().filter_map(|entry| entry["key"].as_str().map(str::to_owned)).collect()
}

fn metric(deployment: &Deployment) -> Option<String> {
    let text = admin_get(&deployment.vms[0], "/metrics")?;
    let line = text.lines().find(|line| line.starts_with("lavenderflow_configuration_rejected"))?;
    line.split(' ').nth(1).map(str::to_owned)
}

/// Guards against one entry that takes all others down, against routes that are left out, so that
/// their requests get 404 or another service, and against a fault that operators cannot see.
#[test]
fn what_cannot_be_read_keeps_its_last_good_version_and_is_shown() {
    let mut deployment = Deployment::start(2);
    let write = |value: &Value| deployment.store.write(STORE_KEY, &value.to_string());
    let wait = |what: &'static str, condition: &dyn Fn() -> bool| {
        wait_until(what, condition).expect("a change");
    };
    write(&configuration(20, &json!({"api_keys": ["k-1"]}), &json!({"resource_type": "meshes"})));
    wait("keys are needed", &|| status(&deployment, "/read/a", "none") == 401);
    assert_eq!(status(&deployment, "/read/a", "k-1"), 200);
    assert!(rejected_keys(&deployment).is_empty());

    // One organisation has a limit of an unknown form, and there is a new route.
    let limited = json!({"api_keys": ["k-3"], "rate_per_s": {"per_minute": 600}});
    write(&configuration(23, &limited, &extra("/new/")));
    wait("the new route is served", &|| status(&deployment, "/new/a", "k-2") == 200);
    assert_eq!(status(&deployment, "/read/a", "k-1"), 200, "the last good version");
    assert_eq!(status(&deployment, "/read/a", "k-3"), 401);
    assert_eq!(rejected_keys(&deployment), ["deployment/platform/organisations/one"]);
    assert_eq!(metric(&deployment).as_deref(), Some("1"));

    // A route that cannot be read: without it, requests below `/new/` would get 404.
    write(&configuration(26, &json!({"api_keys": ["k-3"]}), &extra("no path").clone()));
    wait("the version is rejected", &|| {
        rejected_keys(&deployment).contains(&"deployment/platform".to_owned())
    });
    assert_eq!(status(&deployment, "/new/a", "k-2"), 200);
    assert_eq!(status(&deployment, "/read/a", "k-1"), 200);
    assert_eq!(metric(&deployment).as_deref(), Some("2"));
    let mut typeless = configuration(29, &json!({"api_keys": ["k-3"]}), &extra("/new/"));
    typeless["resources"][0]["spec"]["timeout_s"] = json!({"first_byte": 2});
    write(&typeless);
    wait("the next version is rejected too", &|| {
        let text = admin_get(&deployment.vms[0], "/v1/status").unwrap_or_default();
        text.contains("timeout_s")
    });
    assert_eq!(status(&deployment, "/new/a", "k-2"), 200);

    write(&configuration(32, &json!({"api_keys": ["k-3"]}), &extra("/new/")));
    wait("all is read", &|| status(&deployment, "/read/a", "k-3") == 200);
    assert_eq!(status(&deployment, "/read/a", "k-1"), 401);
    assert!(rejected_keys(&deployment).is_empty());
    assert_eq!(metric(&deployment).as_deref(), Some("0"));
    for vm in &mut deployment.vms {
        assert_eq!(vm.process.exit_status().expect("a process"), None);
    }
}
