//! Open connections go silent for good while new ones work.

mod common;

use std::thread;
use std::time::{Duration, Instant};

use common::deployment::Deployment;
use common::{Site, SiteConfig, gate_count};
use lavenderflow_standins::fleet::wait_until;

/// Time after which a reset of its connections excuses a node no more.
const CONTACT: Duration = Duration::from_secs(3);
/// Time within which a configuration must be in force.
const APPLY_LIMIT: Duration = Duration::from_secs(2);
/// Time within which a request is still on time.
const LATENCY_LIMIT: Duration = Duration::from_secs(1);
const REQUESTS: usize = 60;

/// Guards against connections between nodes that have gone silent and are not replaced, so that
/// requests are lost.
#[test]
fn silent_connections_between_nodes_are_replaced() {
    let site = Site::start(SiteConfig { proxied: true, ..SiteConfig::default() });
    // All requests must go to node 1.
    for left in [0, 2] {
        site.upstreams[left].set_phase("leaving");
    }
    wait_until("the upstreams have left", || gate_count(&site.nodes[0]) == 1).expect("a gate");
    let call = || site.call(0, "POST", "/work", &[], "").map(|response| response.status);
    for _ in 0..REQUESTS {
        assert_eq!(call(), Some(200));
    }
    site.proxies.iter().for_each(|proxy| proxy.silence_open());
    thread::scope(|scope| {
        // Their answers may be lost, and make the node notice.
        let meanwhile = scope.spawn(|| {
            for _ in 0..REQUESTS {
                call();
            }
        });
        thread::sleep(CONTACT);
        for _ in 0..REQUESTS {
            let sent = Instant::now();
            assert_eq!(call(), Some(200));
            assert!(sent.elapsed() < LATENCY_LIMIT, "{:?}", sent.elapsed());
        }
        meanwhile.join().expect("a caller");
    });
}

/// Guards against a configuration or a leaving that is late because of connections to the store that
/// have gone silent.
#[test]
fn the_store_is_used_after_connections_to_it_went_silent() {
    let mut deployment = Deployment::start_behind_proxies(4);
    deployment.store_proxies.iter().for_each(|proxy| proxy.silence_open());
    deployment.upstreams[0].deregister().expect("an acknowledgement");
    let stored = || {
        let keys = deployment.store.keys().expect("a store");
        keys.iter().any(|key| key.starts_with("lifetimes/"))
    };
    assert!(stored(), "acknowledged before it was stored");
    thread::sleep(CONTACT);
    deployment.configure("nobody", "work");
    let written = Instant::now();
    wait_until("all nodes use the new route", || {
        (0..4).all(|vm| {
            let response = deployment.call(vm, "GET", "/read/a", "moved");
            response.is_some_and(|response| response.status == 503)
        })
    })
    .expect("a change");
    assert!(written.elapsed() < APPLY_LIMIT, "{:?}", written.elapsed());
}
