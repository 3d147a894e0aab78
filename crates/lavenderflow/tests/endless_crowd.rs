//! Many responses without end at the same time, through other nodes than the upstream's.

mod common;

use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use common::caller::request_head;
use common::deployment::Deployment;
use lavenderflow_standins::fleet::{wait_until, wait_with_timeout};
use lavenderflow_standins::platform_upstream::{
    Mode, Part, PlatformUpstream, Settings, response_body,
};
use serde_json::json;

/// Memory that the nodes may use, which the test checks as a bound.
const MEMORY_MB: u64 = 40;
/// Callers of each entry at the same time, for each of which the upstream has a slot.
const CALLERS: usize = 100;
/// Pause between two requests, in which the gate learns that the upstream responds.
const REQUEST_PAUSE: Duration = Duration::from_millis(10);
/// Timeout of the routes.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs a crowd of requests to an upstream with a slot for each of them, whose callers read nothing;
/// returns the peaks of the memory of the entries and then of the gate.
fn run_crowd(part: Part, entries: usize) -> Vec<u64> {
    let limits = json!({"memory_mb": MEMORY_MB, "max_fds": 1024});
    let mut deployment = Deployment::start_limited(entries + 1, limits);
    deployment.upstreams.clear();
    let vm = &deployment.vms[entries];
    wait_until("the address is free", || TcpListener::bind(vm.upstream).is_ok())
        .expect("an address");
    let upstream = PlatformUpstream::start(Settings {
        id: "i-large".to_owned(),
        service: "work".to_owned(),
        node: vm.control,
        address: vm.upstream,
        slots: u32::try_from(CALLERS * entries).expect("a number of slots"),
        work: Duration::from_millis(5),
        generation: 1_700_000_002_000,
    })
    .expect("an upstream");
    let serves = |id: &str| {
        wait_with_timeout("the upstream serves", Duration::from_secs(10), || {
            let response = deployment.call(0, "GET", "/read/a", id);
            response.is_some_and(|response| response.text() == response_body(id))
        })
    };
    serves("before").expect("an upstream in use");
    upstream.set_mode(Mode::Endless(part)).expect("an upstream");
    let started = Instant::now();
    let mut peaks = vec![0; entries + 1];
    let mut observe = || {
        for (peak, vm) in peaks.iter_mut().zip(&deployment.vms) {
            *peak = vm.process.resident_bytes().unwrap_or_default().max(*peak);
        }
    };
    let connect = |index: usize| TcpStream::connect(deployment.vms[index % entries].outbound);
    let mut callers: Vec<TcpStream> =
        (0..CALLERS * entries).map(|index| connect(index).expect("a node")).collect();
    for (index, caller) in callers.iter_mut().enumerate() {
        let id = format!("crowd-{index}");
        // The node may have closed the connection, which it may.
        let _ = caller.write_all(&request_head("GET", "/read/a", &id, 0, 5000));
        observe();
        thread::sleep(REQUEST_PAUSE);
    }
    while started.elapsed() < ROUTE_TIMEOUT + Duration::from_millis(500) {
        observe();
        thread::sleep(Duration::from_millis(10));
    }
    let records = upstream.requests().expect("an upstream");
    let runs = records.keys().filter(|id| id.starts_with("crowd")).count();
    println!("{part:?}: {runs} runs, {peaks:?} bytes");
    assert!(runs > 0, "no run");
    upstream.set_mode(Mode::Healthy).expect("an upstream");
    serves("after").expect("an upstream in use");
    peaks
}

#[test]
fn a_crowd_of_unread_responses_without_end_stays_within_the_memory_of_the_entry() {
    let peaks = run_crowd(Part::FastChunks, 1);
    let entry = peaks[0];
    assert!(entry < MEMORY_MB << 20, "{entry} bytes");
}

#[test]
fn a_crowd_of_unread_responses_without_end_stays_within_the_memory_of_the_gate() {
    let peaks = run_crowd(Part::FastLength, 3);
    let gate = peaks[3];
    assert!(gate < MEMORY_MB << 20, "{gate} bytes");
}
