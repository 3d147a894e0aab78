//! A crowd whose clients send the bodies of their requests a byte at a time.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::Record;
use crate::deployment::{Deployment, HOST};
use crate::ordinary;

/// Clients of the crowd, all on the machine of the node.
const CROWD: usize = 760;
/// Time between two bytes of a body. A pause may be 15 s by `idle_timeout_s`.
const BYTE_INTERVAL: Duration = Duration::from_millis(100);
/// Length of each body, far below `max_body_bytes`.
const BODY_BYTES: usize = 60_000;
/// Time that the crowd gets to connect.
const SETTLE_TIME: Duration = Duration::from_secs(12);
pub fn run(program: &Path, has_trouble: bool, record: &mut Record) -> bool {
    let mut deployment = Deployment::start(program, 2);
    let outbound = deployment.nodes[0].outbound;
    let is_over = Arc::new(AtomicBool::new(false));
    let connected = Arc::new(AtomicUsize::new(0));
    let crowd = has_trouble.then(|| {
        let (is_over, connected) = (Arc::clone(&is_over), Arc::clone(&connected));
        thread::spawn(move || drive_crowd(outbound, &is_over, &connected))
    });
    thread::sleep(SETTLE_TIME);
    record.write(&format!(
        "clients of the crowd that are connected: {}",
        connected.load(Ordering::Relaxed)
    ));
    let is_broken = ordinary::are_locked_out(&deployment.nodes[0], record);
    record.write(&format!(
        "clients of the crowd that are connected: {}",
        connected.load(Ordering::Relaxed)
    ));
    is_over.store(true, Ordering::Relaxed);
    if let Some(crowd) = crowd {
        crowd.join().expect("the crowd");
    }
    let status = deployment.nodes[0].process.exit_status().expect("a status");
    record.write(&format!("exit status of the node: {status:?}"));
    is_broken
}

/// Keeps the clients of the crowd connected and sends a byte on each connection now and then.
fn drive_crowd(address: SocketAddr, is_over: &AtomicBool, connected: &AtomicUsize) {
    let mut streams: Vec<Option<TcpStream>> = (0..CROWD).map(|_| None).collect();
    while !is_over.load(Ordering::Relaxed) {
        let round = Instant::now();
        let mut opened = 0;
        for (index, place) in streams.iter_mut().enumerate() {
            let is_open = match place {
                Some(stream) => send_byte(stream),
                None => false,
            };
            if is_open {
                continue;
            }
            *place = None;
            // A few at a time, so that the bytes of the others are not late.
            if opened < 25 {
                opened += 1;
                *place = begin(address, index);
            }
        }
        connected.store(streams.iter().flatten().count(), Ordering::Relaxed);
        thread::sleep(BYTE_INTERVAL.saturating_sub(round.elapsed()));
    }
}

fn begin(address: SocketAddr, index: usize) -> Option<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(100)).ok()?;
    let head = format!(
        "POST /write/a HTTP/1.1\r\nHost: {HOST}\r\nLavenderflow-Request-Id: crowd-{index}\r\n\
         Lavenderflow-Deadline-Ms: 2000\r\nContent-Length: {BODY_BYTES}\r\n\r\nx"
    );
    stream.write_all(head.as_bytes()).ok()?;
    stream.set_nonblocking(true).ok()?;
    Some(stream)
}

/// Sends a byte; returns whether the connection is still open.
fn send_byte(stream: &mut TcpStream) -> bool {
    let is_closed = match stream.read(&mut [0; 1024]) {
        Ok(_) => true,
        Err(fault) => fault.kind() != ErrorKind::WouldBlock,
    };
    !is_closed && stream.write_all(b"x").is_ok()
}
