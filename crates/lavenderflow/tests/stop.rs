//! Graceful stops interrupt no request, and a leaving upstream gets no new requests.

mod common;

use std::io::Read;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use common::{Site, SiteConfig, agent, gate_count, is_refused_connection, try_call};
use lavenderflow_standins::fleet::wait_until;

/// A request body that is read in small chunks, with a pause before each.
struct SlowBody {
    remaining: usize,
    pause: Duration,
}

impl Read for SlowBody {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        const CHUNK_BYTES: usize = 2048;
        thread::sleep(self.pause);
        let count = self.remaining.min(CHUNK_BYTES).min(buffer.len());
        buffer[..count].fill(1);
        self.remaining -= count;
        Ok(count)
    }
}

/// Starts a slow upload; the thread returns what the upstream received.
fn start_slow_upload(
    url: String,
    size: usize,
    pause: Duration,
) -> thread::JoinHandle<Option<String>> {
    thread::spawn(move || {
        let body = ureq::SendBody::from_owned_reader(SlowBody { remaining: size, pause });
        let builder = ureq::http::Request::builder().method("POST").uri(url);
        let request = builder.header("content-length", size.to_string()).body(body).ok()?;
        let response = agent().run(request).ok()?;
        let received = response.headers().get("standin-received")?;
        Some(received.to_str().ok()?.to_owned())
    })
}

fn stop_during_upload(stopped: usize, entry: usize, only_gate: Option<usize>) {
    const UPLOAD_BYTES: usize = 200_000;
    let mut site = Site::start(SiteConfig::default());
    if let Some(gate) = only_gate {
        for (index, upstream) in site.upstreams.iter().enumerate().filter(|(i, _)| *i != gate) {
            upstream.set_phase("leaving");
            let node = &site.nodes[index];
            wait_until("the upstream has left", || {
                node.status().is_some_and(|s| s["upstreams"].as_array().is_some_and(Vec::is_empty))
            })
            .expect("a leaving upstream");
        }
        wait_until("one gate is left", || gate_count(&site.nodes[entry]) == 1).expect("a gate");
    }
    // Takes about 4 s.
    let upload =
        start_slow_upload(site.nodes[entry].url("/work"), UPLOAD_BYTES, Duration::from_millis(40));
    wait_until("the upload has reached an upstream", || {
        site.upstreams.iter().any(|upstream| upstream.concurrency().expect("a count").0 > 0)
    })
    .expect("an upload");
    let response = {
        let url = site.nodes[entry].url("/work?work_ms=1500&size=400000");
        thread::spawn(move || try_call(&agent(), "GET", &url, &[], "").ok())
    };
    thread::sleep(Duration::from_millis(300));
    site.nodes[stopped].terminate().expect("a signal");
    let received = upload.join().expect("a caller");
    assert_eq!(received, Some(format!("{UPLOAD_BYTES}-{UPLOAD_BYTES}")));
    let response = response.join().expect("a caller").expect("a complete response");
    assert_eq!((response.status, response.body.len()), (200, 400_000));
    let mut status = None;
    wait_until("the node has stopped", || {
        status = site.nodes[stopped].exit_status().expect("a process");
        status.is_some()
    })
    .expect("a stop");
    assert!(status.is_some_and(|status| status.success()));
}

#[test]
fn a_stopping_entry_finishes_its_uploads() {
    stop_during_upload(0, 0, Some(1));
}

#[test]
fn a_stopping_gate_finishes_its_uploads() {
    stop_during_upload(1, 0, Some(1));
}

#[test]
fn a_stopping_node_finishes_uploads_of_its_own_upstreams() {
    stop_during_upload(0, 0, Some(0));
}

/// Counts the results of a caller that sends refused requests to another node.
#[derive(Debug, Default)]
struct CallerTally {
    served: u32,
    refused: u32,
    faults: Vec<String>,
}

/// Starts a caller that sends requests until `stop` is set; after a refusal it uses the next node.
fn start_caller(
    urls: Vec<String>,
    number: usize,
    stop: Arc<AtomicBool>,
) -> thread::JoinHandle<CallerTally> {
    thread::spawn(move || {
        let (agent, mut tally) = (agent(), CallerTally::default());
        let mut node = number;
        let method = if number.is_multiple_of(2) { "GET" } else { "POST" };
        while !stop.load(Ordering::Relaxed) {
            let url = &urls[node % urls.len()];
            match try_call(&agent, method, url, &[], "") {
                Ok(response) if response.status == 200 => tally.served += 1,
                Ok(response) if response.outcome() == "not-run" => {
                    tally.refused += 1;
                    node += 1;
                }
                Ok(other) => tally.faults.push(format!("{} {}", other.status, other.reason())),
                Err(error) if is_refused_connection(&error) => node += 1,
                Err(error) => tally.faults.push(error.to_string()),
            }
        }
        tally
    })
}

#[test]
fn a_rolling_restart_under_load_interrupts_no_request() {
    let mut site = Site::start(SiteConfig::default());
    let urls: Vec<String> = site.nodes.iter().map(|node| node.url("/work")).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> =
        (0..8).map(|number| start_caller(urls.clone(), number, Arc::clone(&stop))).collect();
    for node in 0..3 {
        thread::sleep(Duration::from_millis(300));
        site.nodes[node].terminate().expect("a signal");
        let mut status = None;
        wait_until("the node has stopped", || {
            status = site.nodes[node].exit_status().expect("a process");
            status.is_some()
        })
        .expect("a stop");
        assert!(status.is_some_and(|status| status.success()));
        site.restart_node(node);
        site.wait_ready();
    }
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        let tally = caller.join().expect("a caller");
        assert_eq!(tally.faults, Vec::<String>::new(), "{tally:?}");
        assert!(tally.served > 0);
    }
}

#[test]
fn a_leaving_upstream_gets_no_new_work() {
    let site = Site::start(SiteConfig::default());
    let urls: Vec<String> = site.nodes.iter().map(|node| node.url("/work")).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> =
        (0..8).map(|number| start_caller(urls.clone(), number, Arc::clone(&stop))).collect();
    thread::sleep(Duration::from_millis(300));
    site.upstreams[0].set_phase("leaving");
    let announced = Instant::now();
    let count = || site.upstreams[0].run_counts().expect("run counts").values().sum::<u32>();
    // A leaving upstream gets no new requests after a few seconds.
    thread::sleep(Duration::from_secs(3).saturating_sub(announced.elapsed()));
    let after = count();
    thread::sleep(Duration::from_secs(1));
    assert_eq!(count(), after);
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        assert_eq!(caller.join().expect("a caller").faults, Vec::<String>::new());
    }
}

#[test]
fn an_upstream_that_stops_announcing_gets_no_new_work() {
    let mut site = Site::start(SiteConfig::default());
    site.upstreams.remove(0);
    wait_until("the announcement has expired on all nodes", || {
        site.nodes.iter().all(|node| gate_count(node) == 2)
    })
    .expect("two gates");
}
