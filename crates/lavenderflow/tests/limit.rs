//! Upstreams that say in their responses that they need relief get it.

mod common;

use std::time::{Duration, Instant};

use common::deployment::Deployment;

/// Requests per second that the limited upstream takes.
const LIMIT: u32 = 2;
/// Time within which arrivals are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Most arrivals within that time: one and a half times what the limit allows, and five.
const MAX_ARRIVALS: usize = LIMIT as usize * 4 * 3 / 2 + 5;
/// Time between two requests; each upstream would get several times the limit.
const REQUEST_INTERVAL: Duration = Duration::from_millis(15);

#[test]
fn an_upstream_that_names_a_limit_gets_no_more_from_all_nodes_together() {
    let deployment = Deployment::start(3);
    let limited = &deployment.upstreams[0];
    limited.set_response_headers(&[("Server-Limit", &LIMIT.to_string())]).expect("an upstream");
    let end = Instant::now() + WINDOW + Duration::from_secs(1);
    let mut count = 0;
    while Instant::now() < end {
        let (method, path) = if count % 2 == 0 { ("GET", "/read/a") } else { ("POST", "/write/a") };
        let response = deployment.call(count % 3, method, path, &format!("l{count}"));
        assert_eq!(response.expect("a response").status, 200, "the others have room");
        count += 1;
        std::thread::sleep(REQUEST_INTERVAL);
    }
    let runs = limited.requests().expect("an upstream");
    let start = end - WINDOW;
    let arrivals = runs.values().filter(|run| run.arrived_at.is_some_and(|time| time > start));
    let arrivals = arrivals.count();
    assert!(arrivals <= MAX_ARRIVALS, "{arrivals} requests, allowed are {MAX_ARRIVALS}");
    assert!(arrivals >= LIMIT as usize, "{arrivals} requests: the limit is not used");
}
