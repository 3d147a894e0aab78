//! Uploads that an endpoint answers before it has read their bodies, beside other requests.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::Record;
use crate::client::{Client, request};
use crate::deployment::Deployment;
use crate::endpoint::{Endpoint, Event, Plan};

/// Clients that upload, the time in which they begin uploads, and the size and pace of these.
const UPLOADERS: usize = 3;
const TIME: Duration = Duration::from_secs(8);
const PARTS: usize = 40;
const PART_BYTES: usize = 8 * 1024;
const PART_INTERVAL: Duration = Duration::from_millis(25);
/// Time between two small requests of one other client.
const PAUSE: Duration = Duration::from_millis(100);
/// Part of the time in which the first of two endpoints answers early: 6 s.
const TROUBLE: std::ops::Range<Duration> = Duration::from_secs(1)..Duration::from_secs(7);
/// Time that a request takes.
const WORK: Duration = Duration::from_millis(10);

/// An upload, as its client saw it.
struct Upload {
    id: String,
    sent: usize,
    status: Option<u16>,
    is_signed: bool,
}

pub fn run(program: &Path, has_trouble: bool, record: &mut Record) -> bool {
    let deployment = Deployment::start_nodes(program, 2);
    let started = Instant::now();
    let start = |index: usize| {
        let behaviour = move |id: &str, _: u64| {
            let is_trouble = has_trouble && index == 0 && TROUBLE.contains(&started.elapsed());
            // Two of five.
            let number: usize = id.rsplit('-').next().and_then(|n| n.parse().ok()).unwrap_or(0);
            let is_early = is_trouble && id.starts_with("upload") && number % 5 < 2;
            Plan { work: WORK, is_early, ..Plan::default() }
        };
        Endpoint::start(&deployment.nodes[index], 4, Arc::new(behaviour))
    };
    let endpoints: Vec<Endpoint> = (0..2).map(start).collect();
    deployment.wait_serving();
    let address = deployment.nodes[0].outbound;
    let other = thread::spawn(move || {
        let mut count = 0;
        while started.elapsed() < TIME + Duration::from_secs(2) {
            Client::call(address, "GET", "/read/a", &format!("other-{count}"));
            count += 1;
            thread::sleep(PAUSE);
        }
        count
    });
    let uploaders: Vec<_> = (0..UPLOADERS)
        .map(|client| {
            thread::spawn(move || {
                let mut uploads = Vec::new();
                while started.elapsed() < TIME {
                    let id = format!("upload-{client}-{}", uploads.len());
                    uploads.push(upload(address, id));
                }
                uploads
            })
        })
        .collect();
    let uploads: Vec<Upload> =
        uploaders.into_iter().flat_map(|client| client.join().expect("a client")).collect();
    let others = other.join().expect("a client");
    // The endpoints read what is still on its way.
    thread::sleep(Duration::from_secs(1));
    let all: Vec<_> = endpoints.iter().map(|endpoint| endpoint.events()).collect();
    let mut broken = 0;
    for Upload { id, sent, status, is_signed } in &uploads {
        let events: Vec<Event> =
            all.iter().filter_map(|events| events.get(id)).flatten().cloned().collect();
        let is_success = *is_signed && status.is_some_and(|status| (200..300).contains(&status));
        let is_cut = events.iter().any(|event| matches!(event, Event::Cut(_)));
        let is_broken = is_success && *sent == PARTS * PART_BYTES && is_cut;
        broken += usize::from(is_broken);
        let mark = if is_broken { " BROKEN" } else { "" };
        record.write(&format!(
            "POST {id}: client sent {sent} of {} bytes, answer {status:?} signed={is_signed}; \
             endpoint: {events:?}{mark}",
            PARTS * PART_BYTES
        ));
    }
    record.write(&format!(
        "uploads: {}, beside {others} other requests; with a success, and a body that was cut on \
         its way to the endpoint: {broken}",
        uploads.len()
    ));
    broken > 0
}

/// Sends a whole upload, and reads the answer then.
fn upload(address: std::net::SocketAddr, id: String) -> Upload {
    let mut upload = Upload { id, sent: 0, status: None, is_signed: false };
    let Ok(mut client) = Client::connect(address) else { return upload };
    let head = request("POST", "/upload/a", &upload.id)
        .replace("Content-Length: 0", &format!("Content-Length: {}", PARTS * PART_BYTES));
    if client.send(head.as_bytes()).is_err() {
        return upload;
    }
    for _ in 0..PARTS {
        if client.send(&[b'x'; PART_BYTES]).is_err() {
            return upload;
        }
        upload.sent += PART_BYTES;
        thread::sleep(PART_INTERVAL);
    }
    if let Some(answer) = client.read() {
        (upload.status, upload.is_signed) = (Some(answer.status), answer.is_signed);
    }
    upload
}
