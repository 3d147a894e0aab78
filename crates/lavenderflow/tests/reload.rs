//! Changes of the settings file of a running node take effect, with and without a signal.

mod common;

use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant};

use common::deployment::{Deployment, Vm};
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
    // The shutdown gets 0.5 s, less than the time for which a stopping node accepts new requests.
    edit_settings(&deployment.vms[0], |value| value["bounds"]["grace_s"] = json!(1));
    wait_for_line(&lines, "event=reload changed=stop");
    deployment.vms[0].process.terminate().expect("a signal");
    wait_for_line(&lines, "event=stopped-early");
}
