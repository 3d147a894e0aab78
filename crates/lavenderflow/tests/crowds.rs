//! Crowds of clients that leave requests unfinished must not end or hang a node.

mod common;

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use common::caller::{Caller, HOST};
use common::deployment::Deployment;
use common::{Site, SiteConfig};
use lavenderflow_standins::fleet::wait_until;
use lavenderflow_standins::platform_upstream::{Mode, Part};
use serde_json::json;

/// Memory and descriptors that the nodes under test may use; the tests check both as bounds.
const MEMORY_MB: u64 = 40;
const MAX_DESCRIPTORS: usize = 256;
/// Descriptors that a node may have open after a crowd has left.
const MAX_DESCRIPTORS_AFTERWARDS: usize = 96;
/// Clients that send unfinished bodies, and those that send little or nothing.
const BODY_CLIENTS: usize = 150;
const QUIET_CLIENTS: usize = 400;
/// Bytes of a large body, and of a body in chunks of one byte.
const LARGE_BODY_BYTES: usize = 512 * 1024;
const TINY_CHUNKS: usize = 32 * 1024;
/// Bytes of a chunk extension or trailer section that does not end.
const ENDLESS_BYTES: usize = 256 * 1024;
/// Bytes of a head that does not end; the default limit is 16 KB.
const HEAD_BYTES: usize = 16 * 1024 - 64;
/// A crowd has sent what the node takes when no client could send for this long, ...
const STALLED: Duration = Duration::from_secs(1);
/// ... and is not driven for longer than this.
const CROWD_TIME: Duration = Duration::from_secs(15);

/// Crowds need most of a small machine, so only one runs at a time.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// What each client of a crowd sends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Shape {
    /// One large chunk short of its last byte.
    ChunkShort,
    /// Chunks of one byte, without the last chunk.
    TinyChunks,
    /// A large complete chunk, without the last chunk.
    NoLastChunk,
    /// A chunk extension that does not end.
    Extension,
    /// A trailer section that does not end.
    Trailers,
    /// A head that announces a body, and nothing after it.
    Silent,
    /// A head of the largest allowed size without its end.
    Head,
    /// A complete request, followed by further ones with unfinished bodies.
    Pipelined,
    /// Requests whose large responses are not read.
    SlowReader,
}

impl Shape {
    const ALL: [Self; 9] = [
        Self::ChunkShort,
        Self::TinyChunks,
        Self::NoLastChunk,
        Self::Extension,
        Self::Trailers,
        Self::Silent,
        Self::Head,
        Self::Pipelined,
        Self::SlowReader,
    ];

    fn clients(self) -> usize {
        match self {
            Self::Silent | Self::Head => QUIET_CLIENTS,
            _ => BODY_CLIENTS,
        }
    }

    /// Returns what each client sends; the paths are those of the front end under test.
    fn bytes(self, read: &str, write: &str) -> Vec<u8> {
        let head = |method: &str, path: &str, field: &str| {
            format!("{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n{field}\r\n\r\n").into_bytes()
        };
        let chunked = head("POST", write, "Transfer-Encoding: chunked");
        let large = |left_out: usize| {
            let size = format!("{LARGE_BODY_BYTES:x}\r\n").into_bytes();
            [chunked.clone(), size, vec![b'x'; LARGE_BODY_BYTES - left_out]].concat()
        };
        match self {
            Self::ChunkShort => large(1),
            Self::TinyChunks => [chunked, b"1\r\nx\r\n".repeat(TINY_CHUNKS)].concat(),
            Self::NoLastChunk => [large(0), b"\r\n".to_vec()].concat(),
            Self::Extension => [chunked, b"1;".to_vec(), vec![b'e'; ENDLESS_BYTES]].concat(),
            Self::Trailers => {
                let trailers = b"name: value\r\n".repeat(ENDLESS_BYTES / 13);
                [chunked, b"1\r\nx\r\n0\r\n".to_vec(), trailers].concat()
            }
            Self::Silent => head("POST", write, "Content-Length: 10"),
            Self::Head => {
                let mut bytes = head("GET", read, "Name: ");
                bytes.truncate(bytes.len() - 4);
                bytes.resize(HEAD_BYTES, b'v');
                bytes
            }
            Self::Pipelined => {
                let first = head("GET", read, "Accept: */*");
                [first, large(1), chunked, b"1\r\nx\r\n".repeat(TINY_CHUNKS)].concat()
            }
            Self::SlowReader => head("GET", read, "Accept: */*"),
        }
    }
}

/// A client that sends as much as the node takes, and reads nothing but the end of the connection.
struct Client {
    stream: TcpStream,
    sent: usize,
    reads: bool,
}

impl Client {
    fn connect(address: SocketAddr, reads: bool) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2)).ok()?;
        stream.set_nonblocking(true).ok()?;
        Some(Self { stream, sent: 0, reads })
    }

    /// Sends what the connection takes now; returns whether that was anything.
    fn advance(&mut self, bytes: &[u8]) -> bool {
        if self.reads {
            let _ = self.stream.read(&mut [0; 4096]);
        }
        match self.stream.write(&bytes[self.sent..]) {
            Ok(count) => {
                self.sent += count;
                count > 0
            }
            Err(fault) if fault.kind() == ErrorKind::WouldBlock => false,
            // The node has closed the connection, which it may.
            Err(_) => {
                self.sent = bytes.len();
                false
            }
        }
    }
}

/// The largest resident memory and number of open descriptors of any node.
#[derive(Clone, Copy, Debug, Default)]
struct Peak {
    bytes: u64,
    descriptors: usize,
}

impl Peak {
    fn observe(&mut self, usages: &[(u64, usize)]) {
        for (bytes, descriptors) in usages {
            self.bytes = self.bytes.max(*bytes);
            self.descriptors = self.descriptors.max(*descriptors);
        }
    }
}

/// Sends a crowd to an address; returns the clients, still connected.
fn send_crowd(
    address: SocketAddr,
    shape: Shape,
    count: usize,
    bytes: &[u8],
    mut observe: impl FnMut(),
) -> Vec<Client> {
    let reads = shape != Shape::SlowReader;
    let mut clients = Vec::new();
    let started = Instant::now();
    let mut progress = started;
    while progress.elapsed() < STALLED && started.elapsed() < CROWD_TIME {
        if clients.len() < count {
            clients.extend((0..50).filter_map(|_| Client::connect(address, reads)));
            progress = Instant::now();
        }
        for client in &mut clients {
            if client.advance(bytes) {
                progress = Instant::now();
            }
        }
        observe();
        thread::sleep(Duration::from_millis(5));
    }
    clients
}

/// Sends a crowd, lets it go, and returns the faults that were found.
fn check(
    name: &str,
    shape: Shape,
    address: SocketAddr,
    bytes: &[u8],
    usages: impl Fn() -> Option<Vec<(u64, usize)>>,
    is_served: impl Fn() -> bool,
) -> Vec<String> {
    let mut peak = Peak::default();
    let mut is_alive = true;
    let mut observe = || match usages() {
        Some(usages) => peak.observe(&usages),
        None => is_alive = false,
    };
    observe();
    let clients = send_crowd(address, shape, shape.clients(), bytes, &mut observe);
    drop(clients);
    let served = wait_until("an ordinary request is answered", || {
        observe();
        is_served()
    });
    let mut after = Peak::default();
    let freed = wait_until("the descriptors of the crowd are closed", || {
        after = Peak::default();
        after.observe(&usages().unwrap_or_default());
        observe();
        after.descriptors <= MAX_DESCRIPTORS_AFTERWARDS
    });
    println!(
        "{name} {shape:?}: {:.1} MB, {} descriptors; afterwards {:.1} MB, {} descriptors",
        peak.bytes as f64 / 1e6,
        peak.descriptors,
        after.bytes as f64 / 1e6,
        after.descriptors
    );
    let faults = [
        (!is_alive, "a process has ended"),
        (peak.bytes > MEMORY_MB * 1_000_000, "memory"),
        (peak.descriptors > MAX_DESCRIPTORS, "descriptors"),
        (served.is_err(), "no ordinary request is answered afterwards"),
        (freed.is_err(), "descriptors stay open"),
    ];
    let faults = faults.iter().filter(|(is_found, _)| *is_found);
    faults.map(|(_, fault)| format!("{name} {shape:?}: {fault}")).collect()
}

/// Guards against memory or descriptors of a node that grow with the number of unfinished requests
/// at the platform's front end.
#[test]
fn crowds_at_the_front_end_of_the_platform_are_bounded() {
    let _guard = ONE_AT_A_TIME.lock();
    let limits = json!({"memory_mb": MEMORY_MB, "max_fds": MAX_DESCRIPTORS});
    let mut faults = Vec::new();
    for shape in Shape::ALL {
        let mut deployment = Deployment::start_limited(2, limits.clone());
        if shape == Shape::SlowReader {
            let mode = Mode::Endless(Part::Body);
            deployment.upstreams.iter().for_each(|u| u.set_mode(mode).expect("an upstream"));
        }
        let usages = || {
            let usage = |process: &lavenderflow_standins::process::Process| {
                Some((process.resident_bytes()?, process.open_descriptors()?))
            };
            deployment.vms.iter().map(|vm| usage(&vm.process)).collect()
        };
        let is_served = || {
            let mode = Mode::Healthy;
            deployment.upstreams.iter().for_each(|u| u.set_mode(mode).expect("an upstream"));
            let response = Caller::connect(deployment.vms[0].outbound)
                .ok()
                .and_then(|mut caller| caller.request("GET", "/read/a", "ordinary", b""));
            response.is_some_and(|response| response.status == 200 && response.is_complete)
        };
        let bytes = shape.bytes("/read/a", "/write/a");
        let address = deployment.vms[0].outbound;
        faults.extend(check("platform", shape, address, &bytes, usages, is_served));
        for vm in &mut deployment.vms {
            assert_eq!(vm.process.exit_status().expect("a status"), None, "{shape:?}");
        }
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

/// Guards against memory or descriptors of a node that grow with the number of unfinished requests
/// at the product's own front end.
#[test]
fn crowds_at_the_front_end_of_the_product_are_bounded() {
    let _guard = ONE_AT_A_TIME.lock();
    let mut faults = Vec::new();
    for shape in Shape::ALL {
        let mut site = Site::start(SiteConfig {
            zones: vec!["zone-a", "zone-b"],
            variables: vec![
                ("LAVENDERFLOW_MEMORY", MEMORY_MB.to_string()),
                ("LAVENDERFLOW_DESCRIPTORS", MAX_DESCRIPTORS.to_string()),
            ],
            ..SiteConfig::default()
        });
        let usages = || {
            let usage = |node: &lavenderflow_standins::fleet::NodeProcess| {
                Some((node.resident_bytes()?, node.open_descriptors()?))
            };
            site.nodes.iter().map(usage).collect()
        };
        let is_served = || {
            let response = site.call(0, "GET", "/work", &[], "");
            response.is_some_and(|response| response.status == 200)
        };
        let bytes = shape.bytes("/work?size=8000000", "/work");
        let address = site.nodes[0].settings.callers;
        faults.extend(check("product", shape, address, &bytes, usages, is_served));
        for node in &mut site.nodes {
            assert_eq!(node.exit_status().expect("a status"), None, "{shape:?}");
        }
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

/// Prints memory and descriptors against the size of a crowd, with the limits of a VM of 160 MB.
#[test]
#[ignore = "prints measurements and checks nothing"]
fn sizes_of_crowds() {
    let _guard = ONE_AT_A_TIME.lock();
    for clients in [150, 700] {
        for shape in [Shape::ChunkShort, Shape::TinyChunks, Shape::Extension, Shape::Trailers] {
            let limits = json!({"memory_mb": 160, "max_fds": 4100});
            let deployment = Deployment::start_limited(1, limits);
            let process = &deployment.vms[0].process;
            let usage = || {
                let bytes = process.resident_bytes().expect("the memory of a node");
                (bytes, process.open_descriptors().expect("the descriptors of a node"))
            };
            let (before, mut peak) = (usage(), Peak::default());
            let bytes = shape.bytes("/read/a", "/write/a");
            let address = deployment.vms[0].outbound;
            drop(send_crowd(address, shape, clients, &bytes, || peak.observe(&[usage()])));
            let _ = wait_until("the crowd has left", || usage().1 < before.1 + 20);
            let after = usage();
            let [first, last] = [before.0, after.0].map(|bytes| bytes as f64 / 1e6);
            println!(
                "{clients} {shape:?}: {first:.1} MB {} fds, peak {:.1} MB {} fds, after {last:.1} MB \
                 {} fds, {:.1} s of processor time",
                before.1,
                peak.bytes as f64 / 1e6,
                peak.descriptors,
                after.1,
                process.cpu_time().unwrap_or_default().as_secs_f64()
            );
        }
    }
}
