//! The quickstart example leaves no processes behind.

mod common;

use std::path::PathBuf;
use std::process::Command;

use common::binary;
use lavenderflow_standins::fleet::wait_until;
use lavenderflow_standins::process::{Process, is_running};

/// Nodes of the example.
const NODES: usize = 3;

/// Builds the example, which the build of a single test leaves out, and returns its path.
fn example() -> PathBuf {
    let arguments = ["build", "-q", "--locked", "-p", "lavenderflow", "--example", "quickstart"];
    let built = Command::new(env!("CARGO")).args(arguments).status().expect("cargo");
    assert!(built.success());
    binary().with_file_name("examples").join("quickstart")
}

/// Guards against nodes that go on after the example has ended, by a signal or by a kill.
#[test]
fn the_nodes_of_the_example_end_with_it() {
    let example = example();
    for is_kill in [false, true] {
        let (mut process, lines) = Process::start_logged(&example, &[], &[]).expect("an example");
        lines.iter().find(|line| line.starts_with("ready ")).expect("a running example");
        let nodes = process.children();
        assert_eq!(nodes.len(), NODES);
        let ended = if is_kill { process.kill() } else { process.terminate() };
        ended.expect("a signal");
        wait_until("the example and its nodes have ended", || {
            let has_ended = process.exit_status().expect("a status").is_some();
            has_ended && !nodes.iter().any(|node| is_running(*node))
        })
        .expect("no process");
    }
}
