//! Upstreams that send bytes without end, in a head or in a body, until the connection is closed.

mod common;

use std::thread;
use std::time::{Duration, Instant};

use common::caller::Caller;
use common::deployment::Deployment;
use lavenderflow_standins::fleet::wait_with_timeout;
use lavenderflow_standins::platform_upstream::{Mode, Part, response_body};

/// Timeout of the routes, after which a request must have its final answer and its slot be free.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(2);
/// Most memory that a node may use in addition, with all requests of a test in flight.
const MAX_GROWTH_BYTES: u64 = 24 * 1024 * 1024;
/// Requests at the same time; the upstream has four slots.
const REQUESTS: usize = 50;

/// Sends requests at the same time; returns the status of each that got a whole answer and whether
/// the body was the upstream's.
fn send_all(deployment: &Deployment, name: &'static str) -> Vec<Option<(u16, bool)>> {
    let callers = (0..REQUESTS).map(|index| {
        let vm = deployment.vms[index % deployment.vms.len()].outbound;
        thread::spawn(move || {
            let id = format!("{name}-{index}");
            let mut caller = Caller::connect(vm).ok()?;
            let (method, path) =
                if index % 2 == 0 { ("GET", "/read/a") } else { ("POST", "/write/a") };
            let response = caller.request(method, path, &id, b"body")?;
            response.is_complete.then(|| (response.status, response.text() == response_body(&id)))
        })
    });
    let callers: Vec<_> = callers.collect();
    callers.into_iter().map(|caller| caller.join().expect("a caller")).collect()
}

#[test]
fn endless_responses_cost_a_bounded_time_and_memory_and_never_become_successes() {
    for part in Part::ALL {
        let deployment = Deployment::start(2);
        let upstream = &deployment.upstreams[0];
        let memory = || -> Vec<u64> {
            deployment.vms.iter().filter_map(|vm| vm.process.resident_bytes()).collect()
        };
        assert_eq!(send_all(&deployment, "warm").len(), REQUESTS);
        let before = memory();
        upstream.set_mode(Mode::Endless(part)).expect("an upstream");
        let started = Instant::now();
        let (mut peak, mut statuses) = (before.clone(), Vec::new());
        thread::scope(|scope| {
            let calls = scope.spawn(|| send_all(&deployment, "endless"));
            while !calls.is_finished() {
                for (peak, now) in peak.iter_mut().zip(memory()) {
                    *peak = now.max(*peak);
                }
                thread::sleep(Duration::from_millis(5));
            }
            statuses = calls.join().expect("callers");
        });
        // The caller's own deadline of 5 s is not used up: the route's timeout ends the request.
        let elapsed = started.elapsed();
        assert!(elapsed < ROUTE_TIMEOUT + Duration::from_secs(1), "{part:?}: {elapsed:?}");
        for (before, peak) in before.iter().zip(&peak) {
            assert!(peak - before < MAX_GROWTH_BYTES, "{part:?}: {} bytes more", peak - before);
        }
        let made_up = statuses.iter().flatten().filter(|(status, own)| *status == 200 && !own);
        assert_eq!(made_up.count(), 0, "{part:?}: {statuses:?}");
        let served = statuses.iter().flatten().filter(|(status, _)| *status == 200).count();
        assert!(served > 0, "{part:?}: the other upstream serves");
        // Non-idempotent requests ran once at most, and not at all if that was reported.
        let runs = deployment.run_counts();
        for index in (1..REQUESTS).step_by(2) {
            let count = runs.get(&format!("endless-{index}")).copied().unwrap_or_default();
            let refused = statuses[index].is_some_and(|(status, _)| [429, 503].contains(&status));
            let most = if refused { 0 } else { 1 };
            assert!(count <= most, "{part:?}: endless-{index} ran {count} times, {statuses:?}");
        }
        // All connections to the upstream are closed, so its slots are free.
        wait_with_timeout("all runs have ended", Duration::from_secs(1), || {
            let records = upstream.requests().expect("an upstream");
            let mut endless = records.iter().filter(|(id, _)| id.starts_with("endless"));
            endless.all(|(_, record)| record.closed_at.is_some())
        })
        .expect("closed connections");
        upstream.set_mode(Mode::Healthy).expect("an upstream");
        wait_with_timeout("the upstream serves again", Duration::from_secs(10), || {
            let call = deployment.call(0, "GET", "/read/a", "again");
            call.is_some_and(|response| response.text() == response_body("again"))
                && upstream.requests().is_ok_and(|records| records.contains_key("again"))
        })
        .expect("an upstream in use");
    }
}
