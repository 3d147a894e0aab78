//! Upstreams whose responses are sound as far as they are sent and never end, and callers that read
//! them fast, slowly or not at all.

mod common;

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use common::caller::request_head;
use common::deployment::{Deployment, Vm, start_upstream};
use lavenderflow_standins::error::Error;
use lavenderflow_standins::fleet::{wait_until, wait_with_timeout};
use lavenderflow_standins::platform_upstream::{Mode, Part, response_body};

/// Timeout of the routes.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after the timeout by which a request must have ended.
const END_MARGIN: Duration = Duration::from_millis(500);
/// Most memory that a node may use in addition, with all requests of a test in flight.
const MAX_GROWTH_BYTES: u64 = 24 * 1024 * 1024;
/// Callers at the same time; each of the two upstreams has four slots.
const CALLERS: usize = 24;

/// How a caller reads the response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Reader {
    Fast,
    Slow,
    Never,
}

/// Starts a request of an even index as idempotent and one of an odd index as non-idempotent.
fn start_request(deployment: &Deployment, name: &str, index: usize) -> TcpStream {
    let mut stream = TcpStream::connect(deployment.vms[0].outbound).expect("a node");
    stream.set_read_timeout(Some(Duration::from_secs(10))).expect("a socket");
    let (method, path) =
        if index.is_multiple_of(2) { ("GET", "/read/a") } else { ("POST", "/write/a") };
    let mut head = request_head(method, path, &format!("{name}-{index}"), 0, 5000);
    head.truncate(head.len() - 2);
    head.extend_from_slice(b"Connection: close\r\n\r\n");
    stream.write_all(&head).expect("a connection");
    stream
}

/// Reads until the connection ends; returns the first bytes and the last ones.
fn read_to_end(stream: &mut TcpStream, pause: Duration) -> (Vec<u8>, Vec<u8>) {
    let mut buffer = vec![0; 64 * 1024];
    let (mut first, mut last) = (Vec::new(), Vec::new());
    while let Ok(count) = stream.read(&mut buffer) {
        if count == 0 {
            break;
        }
        if first.is_empty() {
            first = buffer[..count].to_vec();
        }
        last = buffer[..count].to_vec();
        thread::sleep(pause);
    }
    (first, last)
}

/// Waits until the upstreams' connections of all requests with this name are closed.
fn wait_closed(deployment: &Deployment, name: &str, time: Duration) -> Result<(), Error> {
    wait_with_timeout("all runs have ended", time, || {
        deployment.upstreams.iter().all(|upstream| {
            let records = upstream.requests().expect("an upstream");
            let mut own = records.iter().filter(|(id, _)| id.starts_with(name));
            own.all(|(_, record)| record.closed_at.is_some())
        })
    })
}

fn set_mode(deployment: &Deployment, mode: Mode) {
    for upstream in &deployment.upstreams {
        upstream.set_mode(mode).expect("an upstream");
    }
}

fn memory(deployment: &Deployment) -> Vec<u64> {
    deployment.vms.iter().filter_map(|vm| vm.process.resident_bytes()).collect()
}

/// Requests are served again, at both nodes.
fn assert_serves(deployment: &Deployment, name: &str) {
    for vm in 0..deployment.vms.len() {
        let id = format!("{name}-{vm}");
        wait_with_timeout("the node serves", Duration::from_secs(5), || {
            let response = deployment.call(vm, "GET", "/read/a", &id);
            response.is_some_and(|response| response.text() == response_body(&id))
        })
        .expect("a node that serves");
    }
}

/// Runs requests whose responses never end; returns by how much each node's memory grew.
fn run_endless(deployment: &Deployment, part: Part, reader: Reader) -> Vec<u64> {
    let name = format!("{part:?}-{reader:?}");
    assert_serves(deployment, &format!("before-{name}"));
    let before = memory(deployment);
    set_mode(deployment, Mode::Endless(part));
    let started = Instant::now();
    let mut peak = before.clone();
    let streams: Vec<TcpStream> =
        (0..CALLERS).map(|index| start_request(deployment, &name, index)).collect();
    thread::scope(|scope| {
        let callers: Vec<_> = streams
            .iter()
            .map(|stream| {
                let mut stream = stream.try_clone().expect("a socket");
                scope.spawn(move || match reader {
                    Reader::Fast => Some(read_to_end(&mut stream, Duration::ZERO)),
                    Reader::Slow => Some(read_to_end(&mut stream, Duration::from_millis(50))),
                    Reader::Never => None,
                })
            })
            .collect();
        while started.elapsed() < ROUTE_TIMEOUT + END_MARGIN {
            for (peak, now) in peak.iter_mut().zip(memory(deployment)) {
                *peak = now.max(*peak);
            }
            thread::sleep(Duration::from_millis(10));
        }
        // The callers that read nothing still hold their connections.
        let closed = wait_closed(deployment, &name, Duration::ZERO);
        for caller in callers {
            let Some((first, last)) = caller.join().expect("a caller") else { continue };
            assert!(!last.ends_with(b"0\r\n\r\n") || !first.starts_with(b"HTTP/1.1 200"));
        }
        assert!(closed.is_ok(), "{name}: {closed:?}");
    });
    set_mode(deployment, Mode::Healthy);
    assert_serves(deployment, &format!("after-{name}"));
    before.iter().zip(&peak).map(|(before, peak)| peak - before).collect()
}

fn assert_bounded(deployment: &Deployment, parts: &[Part], reader: Reader) {
    for part in parts {
        let growth = run_endless(deployment, *part, reader);
        assert!(growth.iter().all(|bytes| *bytes < MAX_GROWTH_BYTES), "{part:?}: {growth:?}");
    }
}

#[test]
fn unread_responses_without_end_give_their_slots_back_at_the_deadline() {
    assert_bounded(&Deployment::start(2), &Part::SOUND, Reader::Never);
}

#[test]
fn slowly_read_responses_without_end_give_their_slots_back_at_the_deadline() {
    assert_bounded(&Deployment::start(2), &[Part::FastChunks, Part::FastLength], Reader::Slow);
}

#[test]
fn responses_without_end_that_begin_late_end_at_the_deadline() {
    let mut deployment = Deployment::start(2);
    deployment.upstreams.clear();
    let work = Duration::from_millis(1400);
    let restart = |vm: &Vm| {
        wait_until("the address is free", || TcpListener::bind(vm.upstream).is_ok())
            .expect("a free address");
        start_upstream(vm, 2, work)
    };
    deployment.upstreams = deployment.vms.iter().map(restart).collect();
    assert_bounded(&deployment, &[Part::FastChunks], Reader::Fast);
}

#[test]
fn a_byte_now_and_then_does_not_hold_a_request_beyond_its_deadline() {
    let deployment = Deployment::start(3);
    let parts = Part::ALL.into_iter().chain([Part::FastLength]);
    let callers: Vec<_> = parts
        .filter(|part| *part != Part::Excess)
        .enumerate()
        .map(|(index, part)| {
            set_mode(&deployment, Mode::Drips(part));
            let started = Instant::now();
            let mut stream = start_request(&deployment, "drip", index);
            // The upstream has begun before its mode changes.
            wait_with_timeout("the request runs", ROUTE_TIMEOUT, || {
                deployment.run_counts().contains_key(&format!("drip-{index}"))
            })
            .expect("a run");
            thread::spawn(move || {
                let (_, last) = read_to_end(&mut stream, Duration::ZERO);
                (part, started.elapsed(), last)
            })
        })
        .collect();
    for caller in callers {
        let (part, elapsed, last) = caller.join().expect("a caller");
        assert!(elapsed < ROUTE_TIMEOUT + END_MARGIN, "{part:?}: {elapsed:?}");
        assert!(!last.ends_with(b"0\r\n\r\n"), "{part:?}: a complete response");
    }
    wait_closed(&deployment, "drip", Duration::from_secs(1)).expect("closed connections");
    set_mode(&deployment, Mode::Healthy);
    assert_serves(&deployment, "after");
}

#[test]
fn a_refusal_whose_body_never_ends_is_reported_at_once() {
    let deployment = Deployment::start(2);
    set_mode(&deployment, Mode::DripsRefusal);
    for index in 0..8 {
        let started = Instant::now();
        let mut stream = start_request(&deployment, "refused", index);
        let (first, _) = read_to_end(&mut stream, Duration::ZERO);
        let elapsed = started.elapsed();
        assert!(elapsed < ROUTE_TIMEOUT / 2, "{index}: {elapsed:?}");
        assert!(first.starts_with(b"HTTP/1.1 503"), "{}", String::from_utf8_lossy(&first));
    }
}
