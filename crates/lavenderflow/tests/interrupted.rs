//! What callers get from a node that closes their connections, or whose configuration and settings
//! change while their requests are in progress.

mod common;

use std::thread;
use std::time::Duration;

use common::caller::{Caller, request_head};
use common::deployment::{Deployment, configuration_json};
use lavenderflow_standins::fleet::wait_until;
use lavenderflow_standins::platform_upstream::Mode;

/// Time within which a request head must have arrived, in the changed configuration.
const HEADER_TIMEOUT: Duration = Duration::from_millis(300);
/// More than the buffers between an upstream and a caller hold.
const DOWNLOAD_BYTES: usize = 8_000_000;
/// Pause before each part of a download that is read slowly.
const READ_PAUSE: Duration = Duration::from_millis(6);
const DEADLINE_MS: u64 = 15_000;

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

/// Guards against a response that is cut when its upstream is ejected: its run was stuck before.
#[test]
fn a_download_is_complete_although_its_upstream_is_ejected() {
    let mut deployment = Deployment::start(1);
    let lines = deployment.restart_logged(0);
    deployment.wait_ready();
    let text = configuration_json(20, "work", "work");
    // The gate takes the runs for stuck only once their upstream is ejected.
    let changed = text.replace("\"timeout_s\":2.0", "\"timeout_s\":12.0");
    let changed = changed.replace("\"max_attempts\":2", "\"max_attempts\":1");
    deployment.store.write("op/config", &changed);
    wait_for_line(&lines, "revision=20 ");
    for index in 0..10 {
        let id = format!("quick-{index}");
        assert!(deployment.call(0, "GET", "/read/a", &id).is_some_and(|r| r.status == 200));
    }
    let outbound = deployment.vms[0].outbound;
    let start = |path: String, id: &'static str, pause: Duration| {
        let mut caller = Caller::connect(outbound).expect("a connection");
        caller.send(&request_head("GET", &path, id, 0, DEADLINE_MS)).expect("a request");
        thread::spawn(move || caller.read_slowly(pause))
    };
    let path = format!("/read/a?work_ms=1000&size={DOWNLOAD_BYTES}");
    let download = start(path, "download", READ_PAUSE);
    thread::sleep(Duration::from_millis(800));
    let hanging = ["hang-1", "hang-2", "hang-3"];
    let hanging = hanging.map(|id| start("/read/a?work_ms=3000".to_owned(), id, Duration::ZERO));
    let response = download.join().expect("a caller").expect("an answer");
    assert_eq!((response.status, response.is_complete), (200, true));
    assert_eq!(response.body.len(), DOWNLOAD_BYTES);
    // The runs that have no response yet are taken for stuck.
    wait_for_line(&lines, "event=stuck request=hang-1");
    for hanging in hanging {
        assert!(hanging.join().expect("a caller").is_some_and(|response| response.is_complete));
    }
}

/// Guards against a loss beside a change of the configuration whose log does not name the change.
#[test]
fn the_log_names_the_change_beside_a_request_without_an_answer() {
    let mut deployment = Deployment::start(1);
    let lines = deployment.restart_logged(0);
    deployment.wait_ready();
    deployment.upstreams[0].set_mode(Mode::Hangs).expect("an upstream");
    let mut caller = Caller::connect(deployment.vms[0].outbound).expect("a connection");
    caller.send(&request_head("POST", "/write/a", "left", 0, 5000)).expect("a request");
    wait_for_line(&lines, "event=admitted request=left");
    let text = configuration_json(20, "work", "work");
    let changed = text.replace("\"timeout_s\":2.0", "\"timeout_s\":3.0");
    assert_ne!(changed, text);
    deployment.store.write("op/config", &changed);
    let change = wait_for_line(&lines, "revision=20 ");
    assert!(change.ends_with("changed=timeouts:2"), "{change}");
    drop(caller);
    let line = wait_for_line(&lines, "event=unanswered request=left reason=caller-gone");
    assert!(line.contains(" revision=20 changes=1 change_age_ms="), "{line}");
}

/// Guards against a refusal that a caller never sees, since the rest of its body arrives unread.
#[test]
fn a_body_beyond_a_lowered_limit_is_refused_with_an_answer() {
    let mut deployment = Deployment::start(1);
    let lines = deployment.restart_logged(0);
    deployment.wait_ready();
    let text = configuration_json(20, "work", "work");
    let changed = text.replace("\"max_body_bytes\":1048576", "\"max_body_bytes\":100000");
    assert_ne!(changed, text);
    deployment.store.write("op/config", &changed);
    wait_for_line(&lines, "revision=20 ");
    let part = vec![b'x'; 50_000];
    for index in 0..10 {
        let mut caller = Caller::connect(deployment.vms[0].outbound).expect("a connection");
        let (id, length) = (format!("large-{index}"), 16 * part.len());
        caller.send(&request_head("POST", "/write/a", &id, length, DEADLINE_MS)).expect("a head");
        for _ in 0..16 {
            thread::sleep(Duration::from_millis(5));
            caller.send(&part).expect("a part of the body");
        }
        assert_eq!(caller.read().expect("an answer").status, 413);
    }
}
