//! The command `check`: findings in good, odd and contradictory configurations, exit statuses and
//! the comparison with the active version.

use std::path::PathBuf;
use std::process::{Command, Output};

use lavenderflow::check::{Severity, check};
use lavenderflow_platform::node_file;
use serde_json::{Value, json};

const GOOD: &str = r#"{"version": "0000000c", "resources": [
  {"resource_type": "services", "metadata": {"name": "numbers"}, "spec": {"health_path": "/health"}},
  {"resource_type": "services", "metadata": {"name": "archive"}, "spec": {}},
  {"resource_type": "tenants", "metadata": {"name": "one"}, "spec": {
    "api_keys": ["k-1", "k-2"], "priority": 1, "rate_per_s": 100, "burst": 20}},
  {"resource_type": "routes", "metadata": {"name": "read"}, "spec": {
    "host": "a.example", "path_prefix": "/", "kind": "idempotent", "service": "numbers",
    "timeout_s": 2, "target_latency_s": 0.8, "priority": 1, "max_attempts": 2}},
  {"resource_type": "routes", "metadata": {"name": "write"}, "spec": {
    "host": "a.example", "path_prefix": "/write/", "kind": "non_idempotent", "timeout_s": 2,
    "weighted_services": [{"service": "numbers", "weight": 90}, {"service": "archive", "weight": 10}]}},
  {"resource_type": "routes", "metadata": {"name": "files"}, "spec": {
    "host": "a.example", "path_prefix": "/files/", "kind": "download", "public": true,
    "service": "archive"}},
  {"resource_type": "limits", "metadata": {}, "spec": {"max_header_bytes": 16384,
    "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15}}
]}"#;

const ODD: &str = r#"{"version": "d", "resources": [
  {"resource_type": "meshes", "metadata": {"name": "later"}},
  {"resource_type": "tenants", "metadata": {"name": "one"}, "spec": {
    "api_keys": "secret", "rate_per_s": "many"}},
  {"resource_type": "tenants", "metadata": {"name": "two"}, "spec": {
    "api_keys": ["", "with space"], "rate_per_s": -1, "burst": 1e999}},
  {"resource_type": "tenants", "metadata": {}, "spec": {}},
  {"resource_type": "routes", "metadata": {"name": "read"}, "spec": {
    "host": 7, "path_prefix": "read", "kind": "streaming", "timout_s": 2,
    "timeout_s": -1}},
  {"resource_type": "routes", "metadata": {"name": "split"}, "spec": {
    "host": "a.example", "path_prefix": "/split", "kind": "idempotent",
    "weighted_services": [{"service": "a", "weight": "most"}]}},
  {"spec": {}},
  7
]}"#;

const CONTRADICTORY: &str = r#"{"version": "e", "resources": [
  {"resource_type": "services", "metadata": {"name": "numbers"}, "spec": {}},
  {"resource_type": "tenants", "metadata": {"name": "keyless"}, "spec": {}},
  {"resource_type": "tenants", "metadata": {"name": "one"}, "spec": {
    "api_keys": ["k-1"], "rate_per_s": 0.2, "burst": 0.5}},
  {"resource_type": "tenants", "metadata": {"name": "two"}, "spec": {
    "api_keys": ["k-1"], "burst": 5}},
  {"resource_type": "routes", "metadata": {"name": "first"}, "spec": {
    "host": "A.example", "path_prefix": "/a", "kind": "idempotent", "service": "numbers"}},
  {"resource_type": "routes", "metadata": {"name": "second"}, "spec": {
    "host": "a.example", "path_prefix": "/a", "kind": "idempotent", "service": "nobody"}},
  {"resource_type": "routes", "metadata": {"name": "slow"}, "spec": {
    "host": "a.example", "path_prefix": "/slow", "kind": "idempotent", "timeout_s": 8,
    "target_latency_s": 9, "service": "numbers",
    "weighted_services": [{"service": "numbers", "weight": 1}, {"service": "nobody", "weight": 0}]}},
  {"resource_type": "limits", "metadata": {}, "spec": {"max_header_bytes": 16384}},
  {"resource_type": "limits", "metadata": {}, "spec": {"max_header_bytes": 1000000}}
]}"#;

/// Settings of a node that stops within six seconds.
fn settings() -> Value {
    json!({"node_name": "vm-1", "ip": "127.0.0.1", "zone": "zone-a",
        "listen": {"outbound": "127.0.0.1:1", "ready": "127.0.0.1:2", "control_plane": "127.0.0.1:3"},
        "internal_ports": [10, 11], "heartbeat_s": 1.5,
        "bounds": {"grace_s": 6, "retry_budget_ratio": 0.2, "budget_extra_retries": 5,
            "floor_share": 0.7, "config_apply_s": 2},
        "app_address": "127.0.0.1:4", "service": "numbers", "platform": {"address": "127.0.0.1:5"}})
}

fn file(name: &str, text: &str) -> PathBuf {
    let path =
        std::env::temp_dir().join(format!("lavenderflow-check-{}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("a file");
    path
}

fn run(arguments: &[&str]) -> Output {
    let binary = env!("CARGO_BIN_EXE_lavenderflow");
    Command::new(binary).arg("check").args(arguments).output().expect("a run")
}

/// Guards against findings in configurations that are as they should be.
#[test]
fn a_good_configuration_has_no_findings() {
    let report = check(GOOD.as_bytes(), None, None);
    insta::assert_snapshot!("good", report.render());
    assert_eq!(report.exit_status(), 0);
}

/// Guards against an error that hides others, and against keys in the output.
#[test]
fn all_errors_of_an_odd_configuration_are_listed() {
    let report = check(ODD.as_bytes(), None, None);
    insta::assert_snapshot!("odd", report.render());
    assert_eq!(report.exit_status(), 2);
    assert!(!report.render().contains("secret") && !report.render().contains("with space"));
}

#[test]
fn contradictions_and_entries_without_effect_are_warnings() {
    let path = file("settings.json", &settings().to_string());
    let settings = node_file::read(&path).expect("settings");
    let report = check(CONTRADICTORY.as_bytes(), None, Some(&settings));
    insta::assert_snapshot!("contradictory", report.render());
    assert_eq!(report.exit_status(), 1);
    std::fs::remove_file(path).expect("a file");
}

#[test]
fn changes_are_listed_with_what_they_mean_for_callers() {
    let next = GOOD
        .replace("0000000c", "0000000d")
        .replace(
            r#""kind": "non_idempotent", "timeout_s": 2"#,
            r#""kind": "idempotent", "timeout_s": 1"#,
        )
        .replace(r#""weight": 90"#, r#""weight": 30"#)
        .replace("/files/", "/documents/")
        .replace(r#"["k-1", "k-2"]"#, r#"["k-2", "k-3"]"#)
        .replace(r#""rate_per_s": 100"#, r#""rate_per_s": 50"#)
        .replace("67108864", "1048576");
    let report = check(next.as_bytes(), Some(GOOD.as_bytes()), None);
    insta::assert_snapshot!("changes", report.render());
    assert_eq!(report.exit_status(), 0);
    let report = check(GOOD.as_bytes(), Some(next.as_bytes()), None);
    assert_eq!(report.findings[0].field, "version", "an older version is ignored");
    assert_eq!(report.exit_status(), 2);
    let closed = GOOD.replace("tenants", "unknown").replace("0000000c", "0000000b");
    let report = check(GOOD.as_bytes(), Some(closed.as_bytes()), None);
    let changes = report.changes.expect("changes");
    assert!(changes.iter().any(|change| change.effect.contains("401 on 2 routes")), "{changes:?}");
}

/// Guards against two sets of rules: what a node rejects as a whole is an error here.
#[test]
fn errors_are_those_of_a_node() {
    use lavenderflow_platform::deployment::decode;
    use lavenderflow_schema::convert::configuration::validate;
    for (from, to, is_rejected) in [
        ("0000000c", "twelve", true),
        (r#""/write/""#, r#""write""#, true),
        (r#""weight": 90"#, r#""weight": -1"#, true),
        (r#""timeout_s": 2"#, r#""timeout_s": 1e30"#, true),
        (r#""service": "archive""#, r#""service": "a b""#, true),
        (r#""max_header_bytes": 16384"#, r#""max_header_bytes": -1"#, true),
        (r#""resource_type": "limits""#, r#""resource_type": 1"#, true),
        (r#""spec": {"max"#, r#""spec" {"max"#, true),
        // The other entries are used.
        (r#""rate_per_s": 100"#, r#""rate_per_s": -100"#, false),
        (r#"["k-1", "k-2"]"#, "7", false),
    ] {
        let text = GOOD.replacen(from, to, 1);
        assert_ne!(text, GOOD, "{from}");
        let applied = decode(text.as_bytes()).and_then(|document| validate(&document));
        assert_eq!(applied.is_err(), is_rejected, "{to}: {applied:?}");
        let report = check(text.as_bytes(), None, None);
        let errors = report.findings.iter().filter(|f| f.severity == Severity::Error).count();
        assert_eq!(errors, 1, "{to}: {report:?}");
    }
}

/// Guards against warnings about routes that do match, and routes that silently never do.
#[test]
fn routes_that_no_request_matches_are_found_with_the_router_of_a_node() {
    let warnings = |routes: &[(&str, &str)]| {
        let route = |(index, (host, prefix)): (usize, &(&str, &str))| {
            json!({"resource_type": "routes", "metadata": {"name": format!("r-{index}")}, "spec": {
                "host": host, "path_prefix": prefix, "kind": "idempotent", "service": "a"}})
        };
        let routes: Vec<Value> = routes.iter().enumerate().map(route).collect();
        let text = json!({"version": "1", "resources": routes}).to_string();
        let findings = check(text.as_bytes(), None, None).findings;
        findings.into_iter().map(|finding| finding.entry).collect::<Vec<_>>()
    };
    let matching = [("a.example", "/"), ("a.example", "/a"), ("a.example", "/a/"), ("", "/a/")];
    assert!(warnings(&matching).is_empty());
    assert_eq!(warnings(&[("a.example:80", "/"), ("a.example", "/")]), ["routes/r-0"]);
    assert_eq!(warnings(&[("a.example", "/a?b=c"), ("a.example", "/a")]), ["routes/r-0"]);
    assert_eq!(warnings(&[("a.example", "/a"), ("A.EXAMPLE", "/a")]), ["routes/r-0"]);
}

#[test]
fn stored_values_of_the_product_are_checked() {
    let values = json!({
        "routes/read": {"revision": 3, "route": {"name": "read", "prefix": "/a", "service": "a"}},
        "routes/odd": {"revision": 3, "route": {"name": "odd", "prefix": "a", "idempotent": "so"}},
        "profiles/odd": {"revision": 1, "profile": {"name": "odd",
            "patience": {"queue_ms": 1, "deadline_ms": 0, "long_ms": 0}, "caution": {},
            "forgiveness": {}}},
        "organisations/one": {"revision": 1, "organisation": {"name": "two", "burst": 3}},
        "services/a": {"revision": 1, "more": 1}
    });
    let text = serde_json::to_string_pretty(&values).expect("JSON");
    let report = check(text.as_bytes(), None, None);
    insta::assert_snapshot!("product", report.render());
    // One value, as `route show` prints it.
    let one = values["routes/read"].to_string();
    let report = check(one.as_bytes(), None, None);
    assert_eq!((report.findings.as_slice(), report.routes), (&[][..], 1));
}

#[test]
fn the_exit_status_tells_errors_from_warnings() {
    let (good, odd) = (file("good.json", GOOD), file("odd.json", ODD));
    let contradictory = file("contradictory.json", CONTRADICTORY);
    let (settings, broken) =
        (file("good-settings.json", &settings().to_string()), file("broken", "{"));
    let text = |path: &PathBuf| path.display().to_string();
    let (good, odd, contradictory, settings, broken) =
        (text(&good), text(&odd), text(&contradictory), text(&settings), text(&broken));
    for (arguments, status) in [
        (vec![good.as_str()], 0),
        (vec![&good, "--settings", &settings, "--json"], 0),
        (vec![&contradictory], 1),
        (vec![&contradictory, "--against", &good, "--json"], 1),
        (vec![&odd], 2),
        (vec![&good, "--against", &good], 2),
        (vec![&good, "--settings", &broken], 2),
        (vec![&broken], 2),
        (vec!["no-such-file"], 2),
    ] {
        let output = run(&arguments);
        assert_eq!(output.status.code(), Some(status), "{arguments:?}: {output:?}");
        if arguments.contains(&"--json") {
            let report: Value = serde_json::from_slice(&output.stdout).expect("JSON");
            assert!(report["findings"].is_array(), "{report}");
        }
    }
    for path in [good, odd, contradictory, settings, broken] {
        std::fs::remove_file(path).expect("a file");
    }
}
