//! What an upstream records of a client that does not take the whole of a response.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use lavenderflow_standins::fleet::{free_tcp_port, wait_until};
use lavenderflow_standins::platform_upstream::{PlatformUpstream, Settings};

/// Less than sockets hold, so that it is written before it is read.
const BODY_BYTES: usize = 100_000;
const SETTLING_TIME: Duration = Duration::from_millis(100);

fn start() -> (PlatformUpstream, SocketAddr) {
    let address = free_tcp_port().expect("a port");
    let upstream = PlatformUpstream::start(Settings {
        id: "i-1".to_owned(),
        service: "work".to_owned(),
        node: free_tcp_port().expect("a port"),
        address,
        slots: 1,
        work: Duration::ZERO,
        generation: 1,
    });
    (upstream.expect("an upstream"), address)
}

fn send(address: SocketAddr, id: &str) -> TcpStream {
    let mut client = TcpStream::connect(address).expect("a connection");
    let head = format!(
        "GET /?work_ms=0&size={BODY_BYTES} HTTP/1.1\r\nHost: h\r\nLavenderflow-Request-Id: {id}\r\n\
         Lavenderflow-Expect-Instance: i-1\r\n\r\n"
    );
    client.write_all(head.as_bytes()).expect("a connection");
    client
}

/// Returns the length of the response, once its head is complete.
fn response_end(taken: &[u8]) -> Option<usize> {
    let head = taken.windows(4).position(|window| window == b"\r\n\r\n")?;
    Some(head + 4 + BODY_BYTES)
}

/// Guards against a response that counts as taken while a part of it is unread.
#[test]
fn a_client_that_leaves_a_part_of_a_response_is_recorded() {
    let (upstream, address) = start();
    let is_recorded = |id: &str, is_done: fn((bool, bool)) -> bool| {
        wait_until("the record", || {
            let records = upstream.requests().expect("an upstream");
            let record = records.get(id);
            record.is_some_and(|r| is_done((r.written_at.is_some(), r.closed_at.is_some())))
        })
        .expect("a record");
    };
    let partial = send(address, "partial");
    is_recorded("partial", |(is_written, _)| is_written);
    drop(partial);
    is_recorded("partial", |(_, is_closed)| is_closed);
    let mut whole = send(address, "whole");
    let (mut taken, mut part) = (Vec::new(), [0; 4096]);
    while response_end(&taken) != Some(taken.len()) {
        let length = whole.read(&mut part).expect("a response");
        taken.extend_from_slice(&part[..length]);
    }
    is_recorded("whole", |(is_written, _)| is_written);
    drop(whole);
    // The end of a connection is recorded within this time, as the first one shows.
    std::thread::sleep(SETTLING_TIME);
    is_recorded("whole", |(_, is_closed)| !is_closed);
}
