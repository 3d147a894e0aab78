//! Nodes send a second copy of a slow request, within the limit, and cancel the loser.

mod common;

use std::path::Path;

use common::deployment::Deployment;
use lavenderflow_standins::fleet::wait_until;
use lavenderflow_standins::platform_upstream::{Mode, response_body};
use serde_json::Value;

/// Limit of copies, in percent of the requests.
const HEDGE_PERCENT: u64 = 10;
/// Requests without which the usual latency is unknown, and as many that pay for copies.
const WARM_UP_REQUESTS: usize = 60;
/// Restarts the node of a VM with the limit in its settings file.
fn enable_hedging(deployment: &mut Deployment, index: usize) {
    let vm = &mut deployment.vms[index];
    let text = std::fs::read(&vm.settings_file).expect("a settings file");
    let mut settings: Value = serde_json::from_slice(&text).expect("settings");
    settings["hedge_percent"] = HEDGE_PERCENT.into();
    std::fs::write(&vm.settings_file, settings.to_string()).expect("a settings file");
    vm.process.kill().expect("a node");
    deployment.restart(index);
    deployment.wait_ready();
}

/// Returns a counter of a node, from the metrics page at its address for operators.
fn counter(settings_file: &Path, name: &str) -> u64 {
    let text = std::fs::read(settings_file).expect("a settings file");
    let settings: Value = serde_json::from_slice(&text).expect("settings");
    let port = settings["internal_ports"][1].as_u64().expect("a port");
    let url = format!("http://127.0.0.1:{port}/metrics");
    let page = ureq::get(url).call().expect("metrics").body_mut().read_to_string();
    let page = page.expect("a page");
    let line = page.lines().find(|line| line.contains(&format!("event=\"{name}\"")));
    line.and_then(|line| line.split_whitespace().last()?.parse().ok()).unwrap_or(0)
}

#[test]
fn a_copy_answers_for_a_hanging_upstream_and_the_loser_is_cancelled() {
    let mut deployment = Deployment::start(3);
    enable_hedging(&mut deployment, 0);
    let file = &deployment.vms[0].settings_file;
    let read = |id: &str| deployment.call(0, "GET", "/read/a", id).expect("a response");
    // It is in the zone of the entry, which prefers it.
    let hanging = &deployment.upstreams[2];
    // Whether a request that hangs there was run once more elsewhere, and the upstream has learned
    // that nobody waits for it any more.
    let is_cancelled = || {
        let requests = hanging.requests().expect("an upstream");
        let runs = deployment.run_counts();
        requests.iter().any(|(id, record)| record.closed_at.is_some() && runs[id] == 2)
    };
    let mut count = 0;
    // The gate learns from attempts that hang and refuses further requests, and the retry budget of
    // one node allows about two copies at once, so that this may take more than one round.
    wait_until("a copy has won, and its first attempt was cancelled", || {
        hanging.set_mode(Mode::Healthy).expect("an upstream");
        for _ in 0..WARM_UP_REQUESTS {
            assert_eq!(read(&format!("r{count}")).status, 200);
            count += 1;
        }
        hanging.set_mode(Mode::Hangs).expect("an upstream");
        for _ in 0..WARM_UP_REQUESTS / 10 {
            let id = format!("r{count}");
            let response = read(&id);
            // Exactly one complete response, whichever attempt it came from.
            if response.status == 200 {
                assert!(response.is_complete && response.text() == response_body(&id), "{id}");
            }
            count += 1;
        }
        counter(file, "entry.hedge.won") > 0 && is_cancelled()
    })
    .expect("a copy");
    let started = counter(file, "entry.hedge.started");
    let ended = ["won", "lost", "refused"].map(|n| counter(file, &format!("entry.hedge.{n}")));
    assert_eq!(started, ended.iter().sum::<u64>(), "every copy has ended");
    assert!(started * 100 <= HEDGE_PERCENT * count as u64, "{started} copies of {count}");
    // Requests that may not be repeated are never copied.
    hanging.set_mode(Mode::Healthy).expect("an upstream");
    for index in 0..20 {
        deployment.call(0, "POST", "/write/a", &format!("w{index}"));
    }
    let runs = deployment.run_counts();
    let repeated = runs.iter().filter(|(id, runs)| id.starts_with('w') && **runs > 1);
    assert_eq!(repeated.count(), 0);
}
