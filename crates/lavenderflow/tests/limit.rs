//! Upstreams that say in their responses that they need relief get it.

mod common;

use std::time::{Duration, Instant};

use common::deployment::Deployment;
use lavenderflow::http::native::NativeDialect;
use lavenderflow_core::gate::{RateSignal, UpstreamSignals};
use lavenderflow_schema::dialect::Dialect;

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

#[test]
fn an_upstream_that_says_in_a_response_that_it_leaves_gets_no_further_work() {
    let deployment = Deployment::start(3);
    let leaving = &deployment.upstreams[0];
    leaving.set_response_headers(&[("Server-Leaving", "1")]).expect("an upstream");
    let call = |index: usize, prefix: &str| {
        let path = if index.is_multiple_of(2) { "/read/a" } else { "/write/a" };
        let method = if index.is_multiple_of(2) { "GET" } else { "POST" };
        deployment.call(index % 3, method, path, &format!("{prefix}{index}")).expect("a response")
    };
    let is_leaving = |index| call(index, "before").header("server-leaving") == "1";
    assert!((0..200).any(is_leaving), "the leaving upstream answers");
    let before = leaving.run_count().expect("a count");
    // Its heartbeats still say that it is ready.
    let end = Instant::now() + Duration::from_secs(1);
    let mut index = 0;
    while Instant::now() < end {
        assert_eq!(call(index, "after").status, 200);
        index += 1;
    }
    assert_eq!(leaving.run_count().expect("a count"), before);
}

#[test]
fn upstreams_of_native_nodes_ask_for_relief_with_headers_of_their_own() {
    let headers = [("Lavenderflow-Rate-Limit", "2.5"), ("lavenderflow-leaving", "1")];
    let headers: Vec<_> = headers.map(|(n, v)| (n.to_owned(), v.to_owned())).to_vec();
    let signals = NativeDialect.parse_signals(&headers);
    assert_eq!(signals, UpstreamSignals { rate: RateSignal::PerSecond(2.5), leaving: true });
    assert_eq!(NativeDialect.parse_signals(&[]), UpstreamSignals::default());
}
