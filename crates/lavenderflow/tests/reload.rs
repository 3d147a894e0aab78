//! Changes of the settings file of a running node take effect, with and without a signal.

mod common;

use std::sync::mpsc::Receiver;
use std::thread;
use std::time::{Duration, Instant};

use common::caller::{Caller, request_head};
use common::deployment::{Deployment, Vm, admin_get};
use lavenderflow_standins::fleet::wait_until;
use lavenderflow_standins::platform_upstream::Mode;
use serde_json::{Value, json};

/// Maximum time to wait for a log line.
const LOG_TIMEOUT: Duration = Duration::from_secs(20);

/// Waits for a log line that contains a text.
fn wait_for_line(lines: &Receiver<String>, text: &str) {
    let end = Instant::now() + LOG_TIMEOUT;
    loop {
        let remaining = end.saturating_duration_since(Instant::now());
        let line =
            lines.recv_timeout(remaining).unwrap_or_else(|_| panic!("no log line contains {text}"));
        if line.contains(text) {
            return;
        }
    }
}

fn edit_settings(vm: &Vm, edit: impl FnOnce(&mut Value)) {
    let text = std::fs::read(&vm.settings_file).expect("a settings file");
    let mut value: Value = serde_json::from_slice(&text).expect("settings");
    edit(&mut value);
    std::fs::write(&vm.settings_file, value.to_string()).expect("a settings file");
}

#[test]
fn changed_settings_take_effect_without_a_restart() {
    let mut deployment = Deployment::start(1);
    let lines = deployment.restart_logged(0);
    deployment.wait_ready();
    let vm = &deployment.vms[0];
    let good = std::fs::read(&vm.settings_file).expect("a settings file");

    // The node notices a changed file without a signal.
    edit_settings(vm, |value| value["bounds"]["grace_s"] = json!(60));
    wait_for_line(&lines, "event=reload changed=stop at_next_start=none");
    edit_settings(vm, |value| value["bounds"]["budget_extra_retries"] = json!(10));
    wait_for_line(&lines, "event=reload changed=burst at_next_start=none");

    // A malformed file changes nothing.
    std::fs::write(&vm.settings_file, "{\"node_name\": 1").expect("a settings file");
    vm.process.reload().expect("a signal");
    wait_for_line(&lines, "event=reload-failed");
    assert_eq!(
        deployment.call(0, "GET", "/read/a", "kept").map(|response| response.status),
        Some(200)
    );

    // Settings that only take effect at the next start are logged.
    std::fs::write(&vm.settings_file, &good).expect("a settings file");
    edit_settings(vm, |value| {
        value["bounds"]["grace_s"] = json!(3);
        value["platform"]["address"] = json!("127.0.0.1:9");
    });
    wait_for_line(&lines, "at_next_start=store");
    assert_eq!(
        deployment.call(0, "GET", "/read/a", "after").map(|response| response.status),
        Some(200)
    );
}

#[test]
fn a_stop_uses_the_latest_settings() {
    let mut deployment = Deployment::start(1);
    let lines = deployment.restart_logged(0);
    deployment.wait_ready();
    deployment.upstreams[0].set_mode(Mode::Hangs).expect("an upstream");
    let node = deployment.vms[0].outbound;
    let caller = thread::spawn(move || {
        Caller::connect(node).expect("a connection").request("POST", "/write/a", "hangs", b"")
    });
    wait_until("the request runs", || deployment.run_counts().contains_key("hangs"))
        .expect("a run");
    // Until then the request could take its two seconds, and the stop six.
    edit_settings(&deployment.vms[0], |value| value["bounds"]["grace_s"] = json!(1));
    wait_for_line(&lines, "event=reload changed=stop");
    let process = &mut deployment.vms[0].process;
    process.terminate().expect("a signal");
    let signalled = Instant::now();
    wait_until("the node has stopped", || process.exit_status().expect("a process").is_some())
        .expect("a stop");
    assert!(signalled.elapsed() < Duration::from_secs(1), "{:?}", signalled.elapsed());
    let response = caller.join().expect("a caller").expect("an answer");
    assert_eq!(response.status, 504);
}

/// Returns the service that a request named as its caller when it ran.
fn caller_service(deployment: &Deployment, id: &str) -> Option<String> {
    deployment.upstreams.iter().find_map(|upstream| {
        let requests = upstream.requests().expect("an upstream");
        let record = requests.get(id)?;
        record.header("lavenderflow-caller-service").map(str::to_owned)
    })
}

fn requests_in_flight(vm: &Vm) -> u64 {
    let status = admin_get(vm, "/v1/status").unwrap_or_default();
    let status: Value = serde_json::from_str(&status).unwrap_or_default();
    status["requests"].as_u64().unwrap_or(0)
}

/// Guards against a node that names the service that its VM had before (review case 5).
#[test]
fn requests_name_the_service_of_the_settings_at_their_start() {
    let mut deployment = Deployment::start(2);
    let lines = deployment.restart_logged(0);
    deployment.wait_ready();
    let vm = &deployment.vms[0];
    deployment.call(0, "POST", "/write/a", "before").expect("an answer");
    assert_eq!(caller_service(&deployment, "before").as_deref(), Some("work"));

    // So long that the request is routed before its body is complete.
    let body = vec![b'x'; 200 * 1024];
    let mut under_way = Caller::connect(vm.outbound).expect("a connection");
    let head = request_head("POST", "/write/a", "under-way", body.len(), 5000);
    under_way.send(&head).and_then(|()| under_way.send(&body[..100 * 1024])).expect("a request");
    wait_until("the request is under way", || requests_in_flight(&deployment.vms[0]) == 1)
        .expect("a request");
    for (service, signals) in [("other", true), ("third", false)] {
        edit_settings(vm, |value| value["service"] = json!(service));
        if signals {
            vm.process.reload().expect("a signal");
        }
        wait_for_line(&lines, "event=reload changed=service at_next_start=none");
        for index in 0..5 {
            let id = format!("{service}-{index}");
            deployment.call(0, "POST", "/write/a", &id).expect("an answer");
            assert_eq!(caller_service(&deployment, &id).as_deref(), Some(service));
        }
    }
    under_way.send(&body[100 * 1024..]).expect("the rest of the body");
    assert_eq!(under_way.read().map(|response| response.status), Some(200));
    assert_eq!(caller_service(&deployment, "under-way").as_deref(), Some("work"));
    // Another VM's settings have not changed.
    deployment.call(1, "POST", "/write/a", "elsewhere").expect("an answer");
    assert_eq!(caller_service(&deployment, "elsewhere").as_deref(), Some("work"));
}

/// Waits until the node of a VM has bound its first address.
fn wait_bound(vm: &Vm) {
    let text = std::fs::read(&vm.settings_file).expect("a settings file");
    let value: Value = serde_json::from_slice(&text).expect("settings");
    let port = value["internal_ports"][0].as_u64().expect("a port");
    // Not by binding it, which the node could meet.
    let address = format!(" 0100007F:{port:04X} ");
    let is_bound =
        || std::fs::read_to_string("/proc/net/udp").is_ok_and(|sockets| sockets.contains(&address));
    let end = Instant::now() + LOG_TIMEOUT;
    while !is_bound() {
        assert!(Instant::now() < end, "the node binds no address");
        thread::sleep(Duration::from_micros(100));
    }
}

/// Guards against a node that a signal ends at once while it starts.
#[test]
fn signals_during_the_start_are_handled() {
    let mut deployment = Deployment::start(1);
    for round in 0..6 {
        deployment.vms[0].process.kill().expect("a node");
        deployment.restart(0);
        wait_bound(&deployment.vms[0]);
        let process = &mut deployment.vms[0].process;
        process.reload().expect("a signal");
        thread::sleep(Duration::from_millis(100));
        assert_eq!(process.exit_status().expect("a process"), None, "round {round}");
    }
    deployment.wait_ready();

    deployment.vms[0].process.kill().expect("a node");
    deployment.restart(0);
    wait_bound(&deployment.vms[0]);
    let process = &mut deployment.vms[0].process;
    process.terminate().expect("a signal");
    let mut status = None;
    wait_until("the node has stopped", || {
        status = process.exit_status().expect("a process");
        status.is_some()
    })
    .expect("a stop");
    assert!(status.is_some_and(|status| status.success()), "{status:?}");
}
