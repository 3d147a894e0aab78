//! Crowds whose requests have heads of nearly the largest size.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Child, Command};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::Record;
use crate::deployment::{Deployment, HOST};
use crate::endpoint::{Endpoint, Plan};

/// Memory of a machine in MB, as in its settings.
const MEMORY_MB: u64 = 160;
/// Clients of the crowd of each machine: fewer than half of the descriptors of a machine.
const CLIENTS: usize = 955;
/// Requests that a client sends at once; it sends as many again when it has got an answer.
const PIPELINED: usize = 3;
/// Headers of a request and the length of their values: 15.8 KB, below `max_header_bytes`.
const HEADERS: usize = 95;
const VALUE_BYTES: usize = 155;
/// Time that a request takes, and the slots of each endpoint.
const WORK: Duration = Duration::from_millis(1100);
const SLOTS: u32 = 5;
/// Time for which the crowds send.
const TIME: Duration = Duration::from_secs(20);
/// Argument that makes the program a crowd.
pub const CROWD: &str = "crowd-with-heads";

pub fn run(program: &Path, has_trouble: bool, record: &mut Record) -> bool {
    let mut deployment = Deployment::start_nodes_with(program, 2, MEMORY_MB);
    let behaviour = |id: &str, _: u64| {
        let work = if id.starts_with("start") { Duration::ZERO } else { WORK };
        Plan { work, ..Plan::default() }
    };
    let start = |node| Endpoint::start(node, SLOTS, Arc::new(behaviour));
    let _endpoints: Vec<Endpoint> = deployment.nodes.iter().map(start).collect();
    deployment.wait_serving();
    let own = std::env::current_exe().expect("this program");
    let start = |address: SocketAddr| {
        Command::new(&own).args([CROWD, &address.to_string()]).spawn().expect("a crowd")
    };
    let addresses = deployment.nodes.iter().map(|node| node.outbound);
    // Each crowd is a process of its own, with the descriptors of one.
    let mut crowds: Vec<Child> =
        if has_trouble { addresses.map(start).collect() } else { Vec::new() };
    let started = Instant::now();
    let mut peaks = vec![0; deployment.nodes.len()];
    let mut has_ended = false;
    while started.elapsed() < TIME {
        thread::sleep(Duration::from_millis(100));
        let second = started.elapsed().as_millis() % 1000 < 100;
        for (index, node) in deployment.nodes.iter_mut().enumerate() {
            let kilobytes = node.process.resident_bytes().unwrap_or(0) / 1024;
            peaks[index] = peaks[index].max(kilobytes);
            has_ended |= node.process.exit_status().expect("a status").is_some();
            if second {
                record.write(&format!("node {index}: {kilobytes} KB resident"));
            }
        }
    }
    for crowd in &mut crowds {
        let _ = crowd.kill();
        let _ = crowd.wait();
    }
    let limit = MEMORY_MB * 1024;
    record.write(&format!(
        "most resident memory of the nodes: {peaks:?} KB; memory of a machine: {limit} KB; a node has \
         ended: {has_ended}"
    ));
    has_ended || peaks.iter().any(|peak| *peak > limit)
}

/// A client of a crowd, with what it has not sent yet.
struct Client {
    stream: TcpStream,
    unsent: Vec<u8>,
}

/// Drives a crowd until the process is killed.
pub fn drive_crowd(address: SocketAddr) -> ! {
    let mut clients: Vec<Option<Client>> = (0..CLIENTS).map(|_| None).collect();
    let mut number = 0;
    loop {
        for place in &mut clients {
            number += 1;
            let is_open = place.as_mut().is_some_and(|client| client.go_on(number));
            if !is_open {
                *place = Client::begin(address, number);
            }
        }
        thread::sleep(Duration::from_millis(1));
    }
}

impl Client {
    fn begin(address: SocketAddr, number: usize) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_millis(200)).ok()?;
        stream.set_nonblocking(true).ok()?;
        let mut client = Self { stream, unsent: requests(number) };
        client.send().then_some(client)
    }

    /// Sends the next requests once an answer has come; returns whether the connection is open.
    fn go_on(&mut self, number: usize) -> bool {
        match self.stream.read(&mut [0; 16 * 1024]) {
            Ok(0) => return false,
            Ok(_) if self.unsent.is_empty() => self.unsent = requests(number),
            Ok(_) => {}
            Err(fault) if fault.kind() == ErrorKind::WouldBlock => {}
            Err(_) => return false,
        }
        self.send()
    }

    fn send(&mut self) -> bool {
        if self.unsent.is_empty() {
            return true;
        }
        match self.stream.write(&self.unsent) {
            Ok(count) => {
                self.unsent.drain(..count);
                true
            }
            Err(fault) => fault.kind() == ErrorKind::WouldBlock,
        }
    }
}

/// Returns the requests that a client sends at once.
fn requests(number: usize) -> Vec<u8> {
    let value = "v".repeat(VALUE_BYTES);
    let headers: String = (0..HEADERS).map(|header| format!("X{header:02}: {value}\r\n")).collect();
    let request = |place: usize| {
        format!(
            "GET /read/a HTTP/1.1\r\nHost: {HOST}\r\nLavenderflow-Request-Id: h{number}-{place}\r\n\
             Lavenderflow-Deadline-Ms: 2000\r\n{headers}\r\n"
        )
    };
    (0..PIPELINED).map(request).collect::<String>().into_bytes()
}
