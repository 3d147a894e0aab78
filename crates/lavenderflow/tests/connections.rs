//! Open connections of some callers do not delay requests of others.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Barrier};
use std::thread;
use std::time::Duration;

use common::{Site, SiteConfig};

/// Longer than the deadline of the request.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Opens connections simultaneously and sends a request on each; returns those that got a response
/// with status 200, still open.
fn send_burst(address: SocketAddr, count: usize) -> Vec<TcpStream> {
    let barrier = Arc::new(Barrier::new(count));
    let callers = (0..count).map(|_| {
        let barrier = Arc::clone(&barrier);
        thread::spawn(move || {
            barrier.wait();
            let mut stream = TcpStream::connect(address).ok()?;
            stream.set_read_timeout(Some(RESPONSE_TIMEOUT)).ok()?;
            stream.write_all(b"GET /work HTTP/1.1\r\nhost: node\r\n\r\n").ok()?;
            let mut response = [0; 1024];
            let length = stream.read(&mut response).ok()?;
            response[..length].starts_with(b"HTTP/1.1 200").then_some(stream)
        })
    });
    let callers: Vec<_> = callers.collect();
    callers.into_iter().filter_map(|caller| caller.join().expect("a caller")).collect()
}

#[test]
fn every_new_connection_is_served_while_others_stay_open() {
    let profile = vec!["patience.queue_ms=5000", "patience.deadline_ms=8000"];
    let site = Site::start(SiteConfig { slots: 16, profile, ..SiteConfig::default() });
    let address = site.nodes[0].settings.callers;
    let mut open = Vec::new();
    for round in 0..20 {
        // Closes some connections, so that an HTTP server with a thread pool has idle threads.
        drop(send_burst(address, 3));
        let served = send_burst(address, 8);
        assert_eq!(served.len(), 8, "round {round}");
        open.extend(served);
    }
}
