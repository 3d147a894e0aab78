//! Changes of the settings file of a running node take effect, with and without a signal.

mod common;

use std::sync::mpsc::Receiver;
use std::thread;
use std::time::{Duration, Instant};

use common::deployment::{Caller, Deployment, Vm};
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
