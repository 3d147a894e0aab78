//! A settings file that changes while its node runs, with and without a signal.

mod common;

use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant};

use common::deployment::{Deployment, Vm};
use serde_json::{Value, json};

/// Longest time to wait for a line of the log.
const LOG_TIMEOUT: Duration = Duration::from_secs(20);

/// Waits for a line with a text.
fn wait_for_line(lines: &Receiver<String>, text: &str) {
    let end = Instant::now() + LOG_TIMEOUT;
    loop {
        let remaining = end.saturating_duration_since(Instant::now());
        let line = lines.recv_timeout(remaining).unwrap_or_else(|_| panic!("no line {text}"));
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
fn changed_settings_come_into_force_without_a_restart() {
    let mut deployment = Deployment::start(1);
    let lines = deployment.restart_logged(0);
    deployment.wait_ready();
    let vm = &deployment.vms[0];
    let good = std::fs::read(&vm.settings_file).expect("a settings file");

    // Nobody tells the node.
    edit_settings(vm, |value| value["bounds"]["grace_s"] = json!(60));
    wait_for_line(&lines, "event=reload changed=stop at_next_start=none");
    edit_settings(vm, |value| value["bounds"]["budget_extra_retries"] = json!(10));
    wait_for_line(&lines, "event=reload changed=burst at_next_start=none");

    // What cannot be used changes nothing.
    std::fs::write(&vm.settings_file, "{\"node_name\": 1").expect("a settings file");
    vm.process.reload().expect("a signal");
    wait_for_line(&lines, "event=reload-failed");
    assert_eq!(
        deployment.call(0, "GET", "/read/a", "kept").map(|response| response.status),
        Some(200)
    );

    // What cannot change while the node runs is named.
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
fn a_stop_goes_by_the_latest_settings() {
    let mut deployment = Deployment::start(1);
    let lines = deployment.restart_logged(0);
    deployment.wait_ready();
    // Half a second until the end, which is less than the time for which callers may still come.
    edit_settings(&deployment.vms[0], |value| value["bounds"]["grace_s"] = json!(1));
    wait_for_line(&lines, "event=reload changed=stop");
    deployment.vms[0].process.terminate().expect("a signal");
    wait_for_line(&lines, "event=stopped-early");
}
