//! Calls without end at the ports for announcements, readiness and operators.

mod common;

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use common::caller::Caller;
use common::deployment::{Deployment, admin_address, is_ready, status};
use lavenderflow_standins::platform_upstream::response_body;
use serde_json::json;

/// Most memory that a node may use in addition.
const MAX_GROWTH_BYTES: u64 = 24 * 1024 * 1024;
/// Connections at the same time.
const CONNECTIONS: usize = 200;
/// Time for which they are driven.
const CROWD_TIME: Duration = Duration::from_secs(3);

/// Pause between two bytes of an announcement.
const BYTE_PAUSE: Duration = Duration::from_millis(100);
/// Time for which an upstream waits for the response to an announcement, with as much again.
const MAX_CALL_TIME: Duration = Duration::from_secs(2);

/// Time within which a head must have ended, with as much again.
const MAX_HEAD_TIME: Duration = Duration::from_secs(10);
/// Descriptors that the node may use.
const MAX_DESCRIPTORS: usize = 256;

const HEAD: &str = "POST /lavenderflow/Instances.Heartbeat/i-x HTTP/1.1\r\nHost: node\r\n";

/// What each connection sends: its start, and what is repeated.
const CALLS: [(&str, &str); 4] = [
    ("", "x"),
    ("POST / HTTP/1.1\r\n", "Endless: yes\r\n"),
    ("Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"),
    ("Content-Length: 65000\r\n\r\n", ""),
];

fn drive(address: SocketAddr, started: Instant) -> Vec<TcpStream> {
    let mut streams: Vec<TcpStream> = Vec::new();
    for index in 0..CONNECTIONS {
        let (start, unit) = CALLS[index % CALLS.len()];
        let Ok(mut stream) = TcpStream::connect(address) else { continue };
        let head = if start.starts_with("Tr") || start.starts_with("Co") { HEAD } else { "" };
        let _ = stream.write_all(format!("{head}{start}{}", unit.repeat(4000)).as_bytes());
        let rest = if unit.is_empty() { "y".repeat(64_900) } else { String::new() };
        let _ = stream.write_all(rest.as_bytes());
        stream.set_nonblocking(true).expect("a socket");
        streams.push(stream);
    }
    while started.elapsed() < CROWD_TIME {
        for (index, stream) in streams.iter_mut().enumerate() {
            let (_, unit) = CALLS[index % CALLS.len()];
            let _ = stream.write(unit.repeat(512).as_bytes());
            let _ = stream.read(&mut [0; 1024]);
        }
        thread::sleep(Duration::from_millis(5));
    }
    streams
}

#[test]
fn endless_calls_at_the_other_ports_cost_bounded_memory_and_stop_no_requests() {
    let deployment = Deployment::start(2);
    let vm = &deployment.vms[0];
    for address in [vm.control, vm.ready] {
        let before = vm.process.resident_bytes().expect("a node");
        let started = Instant::now();
        let crowd = thread::spawn(move || drive(address, started));
        let (mut peak, mut served) = (before, 0);
        while !crowd.is_finished() {
            let id = format!("beside-{served}-{}", address.port());
            let mut caller = Caller::connect(vm.outbound).expect("a node");
            let response = caller.request("GET", "/read/a", &id, b"").expect("a response");
            assert_eq!(response.text(), response_body(&id));
            served += 1;
            peak = vm.process.resident_bytes().expect("a node").max(peak);
            thread::sleep(Duration::from_millis(20));
        }
        let streams = crowd.join().expect("a crowd");
        assert!(served > 0, "no request beside the crowd");
        assert!(is_ready(vm.ready), "readiness beside a crowd");
        assert!(!status(vm).is_null(), "status beside a crowd");
        drop(streams);
        assert!(peak - before < MAX_GROWTH_BYTES, "{} bytes more", peak - before);
    }
}

/// Guards against connections at the other ports that are kept without a limit, and against limits
/// that turn the platform's questions away.
#[test]
fn connections_at_the_other_ports_are_bounded_and_turn_nobody_away() {
    let limits = json!({"memory_mb": 40, "max_fds": MAX_DESCRIPTORS});
    let deployment = Deployment::start_limited(1, limits);
    let vm = &deployment.vms[0];
    let mut crowds = Vec::new();
    for address in [vm.control, vm.ready, admin_address(vm)] {
        for index in 0..MAX_DESCRIPTORS {
            let Ok(mut stream) = TcpStream::connect(address) else { continue };
            // Heads without an end, and connections on which nothing is sent.
            let start = if index.is_multiple_of(2) { HEAD } else { "" };
            let _ = stream.write_all(start.as_bytes());
            crowds.push(stream);
            if index % 16 == 0 {
                let started = Instant::now();
                assert!(is_ready(vm.ready), "readiness beside {} connections", crowds.len());
                assert!(!status(vm).is_null(), "status beside {} connections", crowds.len());
                assert!(started.elapsed() < MAX_CALL_TIME, "{:?}", started.elapsed());
            }
        }
    }
    // Heartbeats go on.
    thread::sleep(Duration::from_secs(1));
    let id = "beside-idle";
    let response = deployment.call(0, "GET", "/read/a", id).expect("a response");
    assert_eq!(response.text(), response_body(id));
    let open = vm.process.open_descriptors().expect("a node");
    assert!(open < MAX_DESCRIPTORS, "{open} descriptors");
}

#[test]
fn a_head_that_never_ends_does_not_hold_its_connection_at_the_other_ports() {
    let deployment = Deployment::start(1);
    let vm = &deployment.vms[0];
    let started = Instant::now();
    let mut streams: Vec<TcpStream> = [vm.control, vm.ready, admin_address(vm)]
        .into_iter()
        .map(|address| TcpStream::connect(address).expect("a node"))
        .collect();
    for stream in &mut streams {
        stream.set_read_timeout(Some(BYTE_PAUSE)).expect("a socket");
        stream.write_all(HEAD.as_bytes()).expect("a connection");
    }
    while !streams.is_empty() {
        streams.retain_mut(|stream| {
            let _ = stream.write(b"a");
            match stream.read(&mut [0; 1024]) {
                Ok(count) => count > 0,
                Err(fault) => fault.kind() == ErrorKind::WouldBlock,
            }
        });
        let elapsed = started.elapsed();
        assert!(elapsed < MAX_HEAD_TIME, "{} connections after {elapsed:?}", streams.len());
    }
}

#[test]
fn an_announcement_that_never_ends_does_not_hold_its_connection() {
    let deployment = Deployment::start(1);
    let mut stream = TcpStream::connect(deployment.vms[0].control).expect("a node");
    stream.set_read_timeout(Some(BYTE_PAUSE)).expect("a socket");
    let head = format!("{HEAD}Content-Length: 60000\r\n\r\n");
    stream.write_all(head.as_bytes()).expect("a connection");
    let started = Instant::now();
    let mut received = Vec::new();
    loop {
        let _ = stream.write(b" ");
        let mut buffer = [0; 1024];
        match stream.read(&mut buffer) {
            Ok(0) => break,
            Ok(count) => received.extend_from_slice(&buffer[..count]),
            Err(fault) if fault.kind() == ErrorKind::WouldBlock => {}
            Err(_) => break,
        }
        assert!(started.elapsed() < MAX_CALL_TIME, "the connection is still open");
    }
    assert!(!received.starts_with(b"HTTP/1.1 2"), "{}", String::from_utf8_lossy(&received));
}
