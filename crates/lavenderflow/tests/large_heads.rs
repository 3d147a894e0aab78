//! Crowds of requests with large heads stay within what the node may hold for others.

mod common;

use std::thread;
use std::time::Duration;

use common::caller::{Caller, HOST};
use common::deployment::Deployment;
use lavenderflow::net::context::HeadBudgets;
use lavenderflow_core::memory::{Budget, HeldKind};
use lavenderflow_schema::wire::{Begin, Header};
use serde_json::json;

/// Memory and descriptors that the node under test may use.
const MEMORY_MB: u64 = 40;
const MAX_DESCRIPTORS: usize = 512;
/// Callers that each send a large head at the same time.
const CALLERS: usize = 60;
/// Headers of a large head and the length of their values: 15.8 KB, below the limit.
const HEADERS: usize = 95;
const VALUE_BYTES: usize = 155;

fn large_head() -> Vec<(String, String)> {
    (0..HEADERS).map(|number| (format!("x{number:02}"), "v".repeat(VALUE_BYTES))).collect()
}

/// Guards against heads that are in no account (review/9).
#[test]
fn heads_hold_a_bounded_part_of_the_memory() {
    let node = Budget::new(Some(8 << 20));
    let heads = HeadBudgets::new(&node);
    // What connections hold refuses no request.
    let _connections = node.hold(HeldKind::Connection, 8 << 20);
    let head = large_head();
    let claims = || (0..1000).map_while(|_| heads.claim_caller("/", &head));
    let shares: Vec<_> = claims().collect();
    let bytes = (HEADERS * VALUE_BYTES * shares.len()) as u64;
    assert!(!shares.is_empty() && bytes < 1 << 20, "{}", shares.len());
    // Requests from other nodes have their own part.
    let headers =
        head.iter().map(|(name, value)| Header { name: name.clone(), value: value.clone() });
    let begin = Begin { headers: headers.collect(), ..Begin::default() };
    let peers = (0..1000).map_while(|_| heads.claim_peer(&begin)).collect::<Vec<_>>();
    assert_eq!(peers.len(), shares.len());
    // A long target is part of the head.
    drop(shares);
    let target = format!("/?{}", "q".repeat(HEADERS * VALUE_BYTES));
    let targets = (0..1000).map_while(|_| heads.claim_caller(&target, &[])).collect::<Vec<_>>();
    assert!(targets.len() < 100, "{}", targets.len());
    drop((targets, peers));
    assert_eq!(node.held(), 8 << 20);
    assert!(claims().count() > 0);
}

/// Guards against a crowd of large heads that takes the memory, or keeps other callers out.
#[test]
fn large_heads_beyond_the_limit_are_refused_and_others_are_served() {
    let limits = json!({"memory_mb": MEMORY_MB, "max_fds": MAX_DESCRIPTORS});
    let deployment = Deployment::start_limited(1, limits);
    let headers: String =
        large_head().iter().map(|(name, value)| format!("{name}: {value}\r\n")).collect();
    let address = deployment.vms[0].outbound;
    // Half of the large heads are a long query.
    let query = "q".repeat(HEADERS * VALUE_BYTES);
    let request = |id: &str, query: &str, headers: &str| {
        format!(
            "GET /read/a?work_ms=300{query} HTTP/1.1\r\nHost: {HOST}\r\nLavenderflow-Request-Id: {id}\r\n\
             Lavenderflow-Deadline-Ms: 5000\r\n{headers}\r\n"
        )
    };
    let call = |id: String, query: &str, headers: &str| {
        let mut caller = Caller::connect(address).expect("a connection");
        caller.send(request(&id, query, headers).as_bytes()).expect("a connection");
        (id, caller.read().expect("a response"))
    };
    let (large, small) = thread::scope(|scope| {
        let large: Vec<_> = (0..CALLERS)
            .map(|number| {
                let (call, headers, query) = (&call, &headers, format!("&{query}"));
                scope.spawn(move || match number % 2 {
                    0 => call(format!("l{number}"), "", headers),
                    _ => call(format!("l{number}"), &query, ""),
                })
            })
            .collect();
        // The queue of the upstream may be full for a moment.
        let small = (0..10).map(|number| {
            thread::sleep(Duration::from_millis(100));
            call(format!("s{number}"), "", "").1.status
        });
        let small: Vec<u16> = small.collect();
        let large = large.into_iter().map(|caller| caller.join().expect("a caller"));
        (large.collect::<Vec<_>>(), small)
    });
    assert!(small.contains(&200), "{small:?}");
    let runs = deployment.run_counts();
    let refused = large.iter().filter(|(_, response)| response.header("retry-after") == "1.000");
    let refused: Vec<_> = refused.collect();
    assert!(refused.len() >= CALLERS / 4, "{} of {CALLERS} refused", refused.len());
    for (id, response) in refused {
        assert_eq!((response.status, runs.get(id)), (503, None), "{id}");
    }
    assert!(large.iter().any(|(_, response)| response.status == 200));
}
