//! `explain` finds the cause of a failed request from the logs of the nodes alone.

mod common;

use std::path::PathBuf;
use std::process::Command;
use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant};

use common::binary;
use common::caller::{Caller, request_head};
use common::deployment::Deployment;
use lavenderflow::explain::{NodeLog, explain};
use lavenderflow_core::id::node_id;
use lavenderflow_standins::fleet::wait_until;
use lavenderflow_standins::platform_upstream::Mode;

/// Maximum time to wait for a log line.
const LOG_TIMEOUT: Duration = Duration::from_secs(20);

/// The logs of all nodes of a deployment, collected line by line.
struct NodeLogs {
    lines: Vec<Receiver<String>>,
    texts: Vec<String>,
}

impl NodeLogs {
    /// Restarts all nodes with their logs piped to this test.
    fn restart(deployment: &mut Deployment) -> Self {
        let count = deployment.vms.len();
        let lines: Vec<_> = (0..count).map(|vm| deployment.restart_logged(vm)).collect();
        deployment.wait_ready();
        Self { lines, texts: vec![String::new(); count] }
    }

    /// Waits until a log line contains all expected texts, and returns the output of `explain` for
    /// the request.
    fn explain(&mut self, request: &str, expected: &[&str]) -> String {
        let end = Instant::now() + LOG_TIMEOUT;
        let is_expected = |line: &str| expected.iter().all(|text| line.contains(text));
        while !self.texts.iter().any(|text| text.lines().any(is_expected)) {
            assert!(Instant::now() < end, "no log line contains {expected:?}");
            for (lines, text) in self.lines.iter().zip(&mut self.texts) {
                // A node may log nothing while another one does.
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
        let output = output.expect("a finished process");
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
    let mut logs = NodeLogs::restart(&mut deployment);
    deployment.upstreams[0].set_mode(Mode::Hangs).expect("an upstream");
    let hanging: Vec<Caller> = (0..4)
        .map(|index| {
            let mut caller = Caller::connect(deployment.vms[0].outbound).expect("a connection");
            let id = format!("hangs-{index}");
            caller.send(&request_head("POST", "/write/a", &id, 0, 60_000)).expect("a request");
            caller
        })
        .collect();
    wait_until("four requests run", || deployment.run_counts().len() == 4).expect("runs");
    let response = deployment.call(0, "POST", "/write/a", "refused").expect("a response");
    assert_eq!(response.status, 503);
    let explanation = logs.explain("refused", &["event=answered", "request=refused "]);
    let cause = explanation.lines().last().expect("a cause");
    assert!(cause.starts_with("cause: not-run by"), "{explanation}");
    assert!(cause.contains("busy=4 slots=4"), "{explanation}");
    drop(hanging);
}

#[test]
fn a_request_whose_upstream_disconnected() {
    let mut deployment = Deployment::start(2);
    let mut logs = NodeLogs::restart(&mut deployment);
    for upstream in &deployment.upstreams {
        upstream.set_mode(Mode::Disconnects).expect("an upstream");
    }
    let response = deployment.call(0, "POST", "/write/a", "broken").expect("a response");
    assert_eq!(response.status, 502);
    let explanation = logs.explain("broken", &["event=ended", "result=Broken"]);
    let cause = explanation.lines().last().expect("a cause");
    assert!(cause.starts_with("cause: unknown by"), "{explanation}");
    assert!(cause.contains("result=Broken"), "{explanation}");
    // The output has the entry's choice of a gate, and the gate's decision with its inputs.
    assert!(
        explanation.contains("event=dispatched") && explanation.contains("event=admitted"),
        "{explanation}"
    );
}

#[test]
fn a_request_without_a_matching_route() {
    let mut deployment = Deployment::start(1);
    let mut logs = NodeLogs::restart(&mut deployment);
    let response = deployment.call(0, "GET", "/other/a", "lost").expect("a response");
    assert_eq!(response.status, 404);
    let explanation = logs.explain("lost", &["event=answered", "request=lost "]);
    assert!(
        explanation.ends_with("cause: not-run by no-route: no gate was asked\n"),
        "{explanation}"
    );
}

#[test]
fn a_request_that_is_in_no_log() {
    let output = Command::new(binary()).args(["explain", "nobody", "/dev/null"]).output();
    let output = output.expect("a finished process");
    assert_eq!(output.status.code(), Some(2));
    assert!(
        String::from_utf8_lossy(&output.stderr).contains("no log has lines about request nobody")
    );
}

#[test]
fn a_request_with_a_copy_is_traced_through_both_gates() {
    let entry = "event=started node=vm-1\n\
        event=dispatched request=r1 attempt=1 gate=GATE2 service=work\n\
        event=hedge-started request=r1 attempt=2 gate=GATE3 service=work\n\
        event=hedge-ended request=r1 used=copy\n\
        event=answered request=r1 outcome=ran reason=answered";
    let name = |vm: &str| format!("{:x}", node_id(vm));
    let entry = entry.replace("GATE2", &name("vm-2")).replace("GATE3", &name("vm-3"));
    let gate = |vm: &str, attempt: u32, result: &str| {
        let entry = name("vm-1");
        let text = format!(
            "event=started node={vm}\nevent=admitted request=r1 upstream={vm}\n\
             event=ended entry={entry} attempt={attempt} result={result}"
        );
        NodeLog::parse(&text, vm)
    };
    let logs =
        [NodeLog::parse(&entry, "entry"), gate("vm-2", 1, "Cancelled"), gate("vm-3", 2, "Success")];
    let trace = explain("r1", &logs).expect("a trace");
    let lines = trace.lines.iter();
    let events: Vec<&str> = lines.filter_map(|line| line.text.split_whitespace().next()).collect();
    let expected = [
        "event=dispatched",
        "event=admitted",
        "event=ended",
        "event=hedge-started",
        "event=admitted",
        "event=ended",
        "event=hedge-ended",
        "event=answered",
    ];
    assert_eq!(events, expected, "{trace}");
    assert!(trace.lines[2].text.contains("Cancelled"), "{trace}");
}
