//! Slots of upstreams whose callers leave.

mod common;

use std::thread;
use std::time::{Duration, Instant};

use common::caller::{Caller, request_head};
use common::deployment::{Deployment, status};
use lavenderflow_standins::fleet::wait_until;

/// Callers at the same time, many times the slots of all upstreams.
const CALLERS: u64 = 240;
/// Callers in each ten that leave before the response; the others keep the queues full.
const LEAVING_TENTHS: u64 = 3;
/// Time for which the callers send requests.
const CREST: Duration = Duration::from_secs(12);
/// Longest time that a leaving caller waits.
const MAX_PATIENCE_MS: u64 = 100;
/// Time for which a node is suspended, and between two suspensions. After one, it handles answers
/// of its upstream and callers that have left at once, which makes every order of them likely.
const SUSPENSION: Duration = Duration::from_millis(30);
/// Time that callers set for their requests.
const DEADLINE_MS: u64 = 600;

/// Sends requests, and leaves before the response to each of them if the caller is a leaving one.
fn send_requests(address: std::net::SocketAddr, caller: u64, end: Instant) {
    let leaves = caller % 10 < LEAVING_TENTHS;
    // A linear congruential generator (Knuth's MMIX constants) with a fixed seed per caller.
    let mut random = caller + 1;
    let mut count = 0;
    while Instant::now() < end {
        count += 1;
        random =
            random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let patience = Duration::from_millis(1 + (random >> 33) % MAX_PATIENCE_MS);
        let (method, path) = if count % 2 == 0 { ("GET", "/read/a") } else { ("POST", "/write/a") };
        let Ok(mut connection) = Caller::connect(address) else { continue };
        let id = format!("{caller}-{count}");
        // Without a response there is nothing to check here: what counts is what remains
        // afterwards.
        let _ = connection.send(&request_head(method, path, &id, 0, DEADLINE_MS));
        if leaves {
            thread::sleep(patience);
        } else {
            let _ = connection.read();
        }
    }
}

/// Guards against slots that stay occupied for good when their callers disconnect in the queue
/// (`review/1`).
#[test]
fn callers_that_leave_give_back_their_slots() {
    let deployment = Deployment::start(3);
    let end = Instant::now() + CREST;
    thread::scope(|scope| {
        for caller in 0..CALLERS {
            let address = deployment.vms[caller as usize % deployment.vms.len()].outbound;
            scope.spawn(move || send_requests(address, caller, end));
        }
        for vm in &deployment.vms {
            scope.spawn(move || {
                while Instant::now() < end {
                    vm.process.freeze().expect("a signal");
                    thread::sleep(SUSPENSION);
                    vm.process.thaw().expect("a signal");
                    thread::sleep(SUSPENSION);
                }
            });
        }
    });
    for vm in &deployment.vms {
        let mut seen = status(vm);
        let freed = wait_until("no attempt runs", || {
            seen = status(vm);
            seen["running"] == 0 && seen["upstreams"][0]["busy"] == 0
        });
        assert!(freed.is_ok(), "running {} upstreams {}", seen["running"], seen["upstreams"]);
    }
    for index in 0..8 {
        let response = deployment.call(index % 2, "POST", "/write/a", &format!("after-{index}"));
        assert_eq!(response.expect("a response").status, 200);
    }
}
