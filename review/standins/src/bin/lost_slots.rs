//! Clients that leave while their requests are queued cost an endpoint its slots for good, until
//! the endpoints that still get requests are fewer than the floor.

use std::collections::BTreeSet;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use review_standins::{
    Answer, CONTACT, Deployment, Endpoint, HOST, Record, Route, give_up, has_trouble, request,
};

/// Machines with an endpoint of the service.
const ENDPOINTS: usize = 3;
/// Time that an endpoint works on a request; it has 4 slots.
const WORK: Duration = Duration::from_millis(8);
/// Clients during a crest, each with one request at a time.
const CREST_CLIENTS: usize = 240;
/// Share of the clients that leave early, in tenths (`give_up`, share 0.3).
const LEAVING_TENTHS: usize = 3;
/// Leaving clients leave within half of the latency objective of 200 ms.
const LEAVE_WITHIN_MS: u64 = 100;
/// Length of a crest (`give_up`, `for_s` 5.5).
const CREST: Duration = Duration::from_millis(5500);
/// Share of the sound endpoints that must get requests (`floor_share`).
const FLOOR_SHARE: f64 = 0.7;
/// Window of the rule.
const WINDOW: Duration = Duration::from_secs(2);
/// Requests a second in the first check; all endpoints together can run 1,500.
const CHECK_RATE: u32 = 300;
/// Requests a second in a check, at most.
const HIGHEST_RATE: f64 = 1600.0;
/// Checks after it, at most. Each one's rate lies between the last rate at which nearly all requests
/// were served and the last one at which half of them were not, as the rule speaks of the time between.
const CALM_CHECKS: u32 = 7;
/// Shares of requests that aren't served between which the rule applies.
const UNSERVED: std::ops::Range<f64> = 0.1..0.5;
/// Time of the case after which no further crest begins.
const LAST_CREST: Duration = Duration::from_secs(60);

fn main() {
    let start = Instant::now();
    let record = Record::new(Path::new("record.txt"));
    let quiet = Record::new(Path::new("/dev/null"));
    let mut services = vec!["numeroteur"; ENDPOINTS];
    services.push("archiveur");
    let mut deployment = Deployment::start(&services);
    deployment.configure(
        7,
        &[
            Route {
                prefix: "/num/",
                kind: "non_idempotent",
                service: "numeroteur",
                timeout_s: 0.6,
                aim_s: 0.2,
            },
            Route {
                prefix: "/seq/",
                kind: "idempotent",
                service: "numeroteur",
                timeout_s: 0.6,
                aim_s: 0.2,
            },
        ],
    );
    let endpoints = deployment.start_endpoints(WORK, &quiet);
    deployment.wait_ready();
    thread::sleep(Duration::from_secs(4));
    for index in 0..12 {
        let to = deployment.vms[index % deployment.vms.len()].outbound;
        let answer =
            request(to, "POST", &format!("/num/{index}"), &format!("a{index}"), b"x", 600, &record);
        if answer.is_none_or(|answer| answer.status != 200) {
            give_up("a request before the disruption was not served");
        }
    }
    let nodes: Vec<SocketAddr> = deployment.vms.iter().map(|vm| vm.outbound).collect();
    let mut crest_number = 0;
    let mut is_broken = false;
    while start.elapsed() < LAST_CREST {
        crest_number += 1;
        let (sent, left) = crest(&nodes, crest_number);
        record.line(&format!(
            "crest {crest_number}: {sent} requests sent, in {left} the client left"
        ));
        thread::sleep(Duration::from_millis(500));
        let first = check(&nodes, &endpoints, CHECK_RATE, "first", crest_number, &record);
        if first.working as f64 >= FLOOR_SHARE * ENDPOINTS as f64 {
            continue;
        }
        if first.working == 0 {
            record.line("no endpoint gets requests; the nodes of two machines are restarted");
            for vm in &mut deployment.vms[..2] {
                vm.kill_node();
                vm.start_node();
            }
            deployment.wait_ready();
        }
        // Twice `contact_s` without any disruption.
        thread::sleep(CONTACT * 2);
        let mut result = check(&nodes, &endpoints, CHECK_RATE, "calm", crest_number, &record);
        let (mut low, mut high) = (result.served_rate.max(20.0), HIGHEST_RATE);
        for number in 1..=CALM_CHECKS {
            if result.is_broken {
                is_broken = true;
                break;
            }
            let rate = (low * high).sqrt() as u32;
            let name = format!("calm-{number}");
            result = check(&nodes, &endpoints, rate, &name, crest_number, &record);
            if result.unserved_share < UNSERVED.end {
                low = f64::from(rate);
            }
            if result.unserved_share > UNSERVED.start {
                high = f64::from(rate);
            }
        }
        is_broken |= result.is_broken;
        break;
    }
    println!("FLOOR: {}", if is_broken { "broken" } else { "held" });
    drop(deployment);
    std::process::exit(i32::from(is_broken));
}

/// Many clients come at once, and some of them leave early. Returns how many requests were sent,
/// and from how many the client left.
fn crest(nodes: &[SocketAddr], number: usize) -> (usize, usize) {
    let is_over = Arc::new(AtomicBool::new(false));
    let counts = Arc::new((AtomicUsize::new(0), AtomicUsize::new(0)));
    let clients: Vec<_> = (0..CREST_CLIENTS)
        .map(|client| {
            let (is_over, counts) = (Arc::clone(&is_over), Arc::clone(&counts));
            let to = nodes[client % nodes.len()];
            let leaves = has_trouble() && client % 10 < LEAVING_TENTHS;
            thread::spawn(move || {
                let mut random = Random(0x9e37_79b9 + (number * 1000 + client) as u64);
                let mut requests = 0;
                while !is_over.load(Ordering::Relaxed) {
                    requests += 1;
                    let patience = if leaves { random.below(LEAVE_WITHIN_MS) + 1 } else { 3000 };
                    let id = format!("c{number}-{client}-{requests}");
                    let is_read = requests % 2 == 0;
                    let (_, has_left) = send(to, &id, is_read, Duration::from_millis(patience));
                    counts.0.fetch_add(1, Ordering::Relaxed);
                    counts.1.fetch_add(usize::from(has_left), Ordering::Relaxed);
                }
            })
        })
        .collect();
    thread::sleep(CREST);
    is_over.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));
    (counts.0.load(Ordering::Relaxed), counts.1.load(Ordering::Relaxed))
}

struct CheckResult {
    /// Endpoints that got requests.
    working: usize,
    /// Requests a second that were served.
    served_rate: f64,
    unserved_share: f64,
    is_broken: bool,
}

/// Sends requests of sound clients at a steady rate and applies the rule to a window.
fn check(
    nodes: &[SocketAddr],
    endpoints: &[Endpoint],
    rate: u32,
    name: &str,
    number: usize,
    record: &Record,
) -> CheckResult {
    let begin = Instant::now();
    let served = Arc::new(Mutex::new(Vec::new()));
    // Longer than the window, so that queues are in their steady state in it.
    let settle = Duration::from_millis(1000);
    let total = ((WINDOW + settle).as_secs_f64() * f64::from(rate)) as u32;
    let mut clients = Vec::new();
    for index in 0..total {
        let at = begin + Duration::from_secs(1) * index / rate;
        thread::sleep(at.saturating_duration_since(Instant::now()));
        let (served, to) = (Arc::clone(&served), nodes[index as usize % nodes.len()]);
        let id = format!("k{number}-{name}-{rate}-{index}");
        clients.push(thread::spawn(move || {
            let sent = Instant::now();
            let (status, _) = send(to, &id, index % 2 == 0, Duration::from_millis(1500));
            served.lock().expect("a list").push((sent, status));
        }));
    }
    let end = Instant::now();
    clients.into_iter().for_each(|client| drop(client.join()));
    let from = end - WINDOW;
    let served = served.lock().expect("a list");
    let in_window: Vec<_> = served.iter().filter(|(sent, _)| *sent >= from).collect();
    let unserved = in_window.iter().filter(|(_, status)| *status != 200).count();
    let refused = in_window.iter().filter(|(_, status)| *status == 503).count();
    let share = unserved as f64 / in_window.len().max(1) as f64;
    let working: BTreeSet<&str> = endpoints
        .iter()
        .filter(|endpoint| endpoint.settings.service == "numeroteur")
        .filter(|endpoint| {
            let runs = endpoint.runs.lock().expect("runs");
            runs.iter().rev().take_while(|run| run.at >= from).any(|run| run.at <= end)
        })
        .map(|endpoint| endpoint.settings.id.as_str())
        .collect();
    let is_below = !working.is_empty() && (working.len() as f64) < FLOOR_SHARE * ENDPOINTS as f64;
    let is_broken = is_below && share > UNSERVED.start && share < UNSERVED.end;
    record.line(&format!(
        "check {name} after crest {number} at {rate} a second, window of 2 s: {} requests, {unserved} \
         not served ({refused} with 503), {} of {ENDPOINTS} endpoints got requests {working:?}, \
         FLOOR broken: {is_broken}",
        in_window.len(),
        working.len()
    ));
    let served_rate = (in_window.len() - unserved) as f64 / WINDOW.as_secs_f64();
    CheckResult { working: working.len(), served_rate, unserved_share: share, is_broken }
}

/// Sends a request on a new connection; returns the status, 0 without an answer, and whether the
/// client left before the answer.
fn send(to: SocketAddr, id: &str, is_read: bool, patience: Duration) -> (u16, bool) {
    let exchange = || -> std::io::Result<u16> {
        let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        let (line, length) =
            if is_read { ("GET /seq/a", "") } else { ("POST /num/a", "Content-Length: 0\r\n") };
        let text = format!(
            "{line} HTTP/1.1\r\nHost: {HOST}\r\nLavenderflow-Request-Id: {id}\r\n\
             Lavenderflow-Deadline-Ms: 600\r\n{length}\r\n"
        );
        stream.write_all(text.as_bytes())?;
        stream.set_read_timeout(Some(patience))?;
        let mut first = [0];
        if stream.read(&mut first)? == 0 {
            return Ok(0);
        }
        let rest = Answer::read(&mut BufReader::new((&first[..]).chain(stream)))?;
        Ok(if rest.complete { rest.status } else { 0 })
    };
    match exchange() {
        Ok(status) => (status, false),
        Err(fault) => (0, fault.kind() == std::io::ErrorKind::WouldBlock),
    }
}

/// A small generator with a fixed seed (xorshift).
struct Random(u64);

impl Random {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % limit
    }
}
