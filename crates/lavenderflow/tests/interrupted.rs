//! What callers get from a node that closes their connections, or whose configuration and settings
//! change while their requests are in progress.

mod common;

use std::thread;
use std::time::Duration;

use common::deployment::{Caller, Deployment, configuration_json, request_head};
use lavenderflow_standins::fleet::wait_until;
use lavenderflow_standins::platform_upstream::Mode;

/// Time within which a request head must have arrived, in the changed configuration.
const HEADER_TIMEOUT: Duration = Duration::from_millis(300);

/// Waits for a log line that contains a text.
fn wait_for_line(lines: &std::sync::mpsc::Receiver<String>, text: &'static str) -> String {
    let mut found = None;
    wait_until(text, || {
        found = found.take().or_else(|| lines.try_iter().find(|line| line.contains(text)));
        found.is_some()
    })
    .expect("a log line");
    found.unwrap_or_default()
}

/// Guards against a request that is read whole, passed on and then cut because its connection was
/// being closed for a limit.
#[test]
fn a_request_read_on_a_connection_that_closes_is_answered() {
    let mut deployment = Deployment::start(1);
    let lines = deployment.restart_logged(0);
    deployment.wait_ready();
    deployment.upstreams[0].set_mode(Mode::Hangs).expect("an upstream");
    let text = configuration_json(20, "work", "work");
    let timeout = format!("\"header_timeout_s\":{}", HEADER_TIMEOUT.as_secs_f64());
    let changed = text.replace("\"header_timeout_s\":3", &timeout);
    assert_ne!(changed, text);
    deployment.store.write("op/config", &changed);
    wait_for_line(&lines, "revision=20 ");
    let mut caller = Caller::connect(deployment.vms[0].outbound).expect("a connection");
    let head = request_head("POST", "/write/a", "late", 0, 5000);
    let (first, rest) = head.split_at(20);
    caller.send(first).expect("the start of a request");
    wait_for_line(&lines, "event=connection-closed reason=timeout");
    caller.send(rest).expect("the rest of a request");
    let reader = thread::spawn(move || caller.read());
    let response = reader.join().expect("a caller").expect("an answer");
    assert!(response.is_complete);
    assert!([502, 504].contains(&response.status), "{}", response.status);
    assert_eq!(deployment.run_counts().get("late"), Some(&1));
}
