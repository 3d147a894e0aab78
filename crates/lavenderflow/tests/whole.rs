//! A caller gets the complete response to its own request or an error, never a truncated success or
//! a hang.

mod common;

use std::thread;
use std::time::{Duration, Instant};

use common::{Site, SiteConfig, agent, call, expected_body};
use lavenderflow_standins::upstream::Mode;

/// Twice the deadline of the profile, to allow for slow machines.
const HANG_LIMIT: Duration = Duration::from_secs(10);

/// Sends requests with responses of several sizes; returns how many were served.
///
/// Checks that no request hangs and that each successful response is complete.
fn count_served(site: &Site, entry: usize) -> usize {
    let url = site.nodes[entry].url("/work");
    let callers = (0..6).map(|caller| {
        let url = url.clone();
        thread::spawn(move || {
            let (agent, mut served) = (agent(), 0);
            for number in 0..10 {
                let id = format!("whole-{caller}-{number}");
                let size = [100, 60_000, 200_000, 2_000_000][number % 4];
                let method = if number % 3 == 0 { "POST" } else { "GET" };
                let started = Instant::now();
                let headers = [("lavenderflow-request-id", id.as_str())];
                let response = call(&agent, method, &format!("{url}?size={size}"), &headers, "");
                assert!(started.elapsed() < HANG_LIMIT, "{id} took {:?}", started.elapsed());
                if let Some(response) = response.filter(|response| response.status == 200) {
                    assert!(
                        response.body == expected_body(&id, size as u64),
                        "{id}: wrong response body"
                    );
                    served += 1;
                }
            }
            served
        })
    });
    let callers: Vec<_> = callers.collect();
    callers.into_iter().map(|caller| caller.join().expect("a caller")).sum()
}

#[test]
fn truncated_or_stalled_responses_are_no_success() {
    let cases = [
        (Mode::Truncates, "truncates"),
        (Mode::Stalls, "stalls"),
        (Mode::Disconnects, "disconnects"),
        (Mode::Hangs, "hangs"),
    ];
    for (mode, name) in cases {
        let site = Site::start(SiteConfig::default());
        site.upstreams.iter().for_each(|upstream| upstream.set_mode(mode));
        let response = call(&agent(), "GET", &site.nodes[0].url("/work?size=500000"), &[], "");
        assert!(response.is_none_or(|response| response.status >= 500), "{name}");
        let response = call(&agent(), "GET", &site.nodes[1].url("/work?size=500"), &[], "");
        assert!(response.is_none_or(|response| response.status >= 500), "{name}");
    }
}

#[test]
fn an_upstream_that_truncates_responses_affects_no_other() {
    let site = Site::start(SiteConfig::default());
    site.upstreams[1].set_mode(Mode::Truncates);
    assert!(count_served(&site, 0) > 0);
}

#[test]
fn a_gate_killed_during_responses_causes_no_truncated_success() {
    let mut site =
        Site::start(SiteConfig { work: Duration::from_millis(30), ..SiteConfig::default() });
    let served = thread::scope(|scope| {
        let mut nodes = std::mem::take(&mut site.nodes);
        let last_node = nodes.pop();
        site.nodes = nodes;
        let running = scope.spawn(|| count_served(&site, 0));
        thread::sleep(Duration::from_millis(200));
        drop(last_node);
        running.join().expect("the callers")
    });
    assert!(served > 0);
}
