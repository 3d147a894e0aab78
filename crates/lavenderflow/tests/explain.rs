//! Causes of failed requests, found by `explain` from the logs of real nodes alone.

mod common;

use std::path::PathBuf;
use std::process::Command;
use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant};

use common::binary;
use common::deployment::{Caller, Deployment, request};
use lavenderflow_standins::fleet::wait_until;
use lavenderflow_standins::platform_upstream::Mode;

/// Longest time to wait for a line of a log.
const LIMIT: Duration = Duration::from_secs(20);

/// The logs of all nodes of a deployment.
struct Logs {
    lines: Vec<Receiver<String>>,
    texts: Vec<String>,
}

impl Logs {
    /// Starts all nodes anew, so that their logs can be read.
    fn of(deployment: &mut Deployment) -> Self {
        let count = deployment.vms.len();
        let lines: Vec<_> = (0..count).map(|vm| deployment.restart_logged(vm)).collect();
        deployment.wait_ready();
        Self { lines, texts: vec![String::new(); count] }
    }

    /// Waits until a line has all of some texts, and returns what `explain` says of a request.
    fn explain(&mut self, request: &str, last: &[&str]) -> String {
        let end = Instant::now() + LIMIT;
        let is_last = |line: &str| last.iter().all(|text| line.contains(text));
        while !self.texts.iter().any(|text| text.lines().any(is_last)) {
            assert!(Instant::now() < end, "no line with {last:?}");
            for (lines, text) in self.lines.iter().zip(&mut self.texts) {
                // One node may have nothing to say while another has.
                while let Ok(line) = lines.recv_timeout(Duration::from_millis(20)) {
                    text.push_str(&line);
                    text.push('\n');
                }
            }
        }
        let files = self.texts.iter().enumerate().map(|(index, text)| {
            let name = format!("lavenderflow-{}-{request}-{index}.log", std::process::id());
            let file = std::env::temp_dir().join(name);
            std::fs::write(&file, text).expect("a file");
            file
        });
        let files: Vec<PathBuf> = files.collect();
        let output = Command::new(binary()).arg("explain").arg(request).args(&files).output();
        let output = output.expect("an explanation");
        for file in &files {
            std::fs::remove_file(file).expect("a file");
        }
        assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
        String::from_utf8(output.stdout).expect("text")
    }
}

#[test]
fn a_request_that_was_refused_at_a_full_upstream() {
    let mut deployment = Deployment::start(1);
    let mut logs = Logs::of(&mut deployment);
    deployment.upstreams[0].set_mode(Mode::Hangs).expect("an upstream");
    let hanging: Vec<Caller> = (0..4)
        .map(|index| {
            let mut caller = Caller::connect(deployment.vms[0].outbound).expect("a connection");
            let id = format!("hangs-{index}");
            caller.send(&request("POST", "/write/a", &id, 0, 60_000)).expect("a request");
            caller
        })
        .collect();
    wait_until("four requests run", || deployment.runs().len() == 4).expect("runs");
    let seen = deployment.call(0, "POST", "/write/a", "refused").expect("an answer");
    assert_eq!(seen.status, 503);
    let story = logs.explain("refused", &["event=answered", "request=refused "]);
    let cause = story.lines().last().expect("a cause");
    assert!(cause.starts_with("cause: not-run by"), "{story}");
    assert!(cause.contains("busy=4 slots=4"), "{story}");
    drop(hanging);
}

#[test]
fn a_request_whose_upstream_broke_off() {
    let mut deployment = Deployment::start(2);
    let mut logs = Logs::of(&mut deployment);
    for upstream in &deployment.upstreams {
        upstream.set_mode(Mode::Disconnects).expect("an upstream");
    }
    let seen = deployment.call(0, "POST", "/write/a", "broken").expect("an answer");
    assert_eq!(seen.status, 502);
    let story = logs.explain("broken", &["event=ended", "result=Broken"]);
    let cause = story.lines().last().expect("a cause");
    assert!(cause.starts_with("cause: unknown by"), "{story}");
    assert!(cause.contains("result=Broken"), "{story}");
    // The story has the entry's choice and the gate's decision with its inputs.
    assert!(story.contains("event=dispatched") && story.contains("event=admitted"), "{story}");
}

#[test]
fn a_request_on_a_route_that_is_not_there() {
    let mut deployment = Deployment::start(1);
    let mut logs = Logs::of(&mut deployment);
    let seen = deployment.call(0, "GET", "/other/a", "lost").expect("an answer");
    assert_eq!(seen.status, 404);
    let story = logs.explain("lost", &["event=answered", "request=lost "]);
    assert!(story.ends_with("cause: not-run by no-route: no gate was asked\n"), "{story}");
}

#[test]
fn a_request_that_no_log_knows() {
    let output = Command::new(binary()).args(["explain", "nobody", "/dev/null"]).output();
    let output = output.expect("an answer");
    assert_eq!(output.status.code(), Some(2));
    assert!(
        String::from_utf8_lossy(&output.stderr).contains("no log has lines about request nobody")
    );
}
