//! Ordinary clients, which try to get their requests answered.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use crate::Record;
use crate::client::{Client, request};
use crate::deployment::{Node, is_ready};

/// Clients that try, the time for which they do, and the pause after each try.
const CLIENTS: usize = 8;
const TRY_TIME: Duration = Duration::from_secs(20);
const PAUSE: Duration = Duration::from_millis(250);
/// `contact_s` of the site.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Returns whether a node that says it is ready answers none of the clients for `contact_s`, each of
/// which opens a new connection for each try.
pub fn are_locked_out(node: &Node, record: &mut Record) -> bool {
    let (outbound, ready) = (node.outbound, node.ready);
    let started = Instant::now();
    let clients = 0..CLIENTS;
    let tries: Vec<_> = clients
        .map(|client| thread::spawn(move || try_requests(outbound, client, started)))
        .collect();
    let mut not_ready = 0;
    while started.elapsed() < TRY_TIME {
        not_ready += u32::from(!is_ready(ready));
        thread::sleep(Duration::from_secs(1));
    }
    let mut answers: Vec<(Duration, Result<u16, &'static str>)> =
        tries.into_iter().flat_map(|tried| tried.join().expect("a client")).collect();
    answers.sort_by_key(|(time, _)| *time);
    let (mut longest, mut last) = (Duration::ZERO, Duration::ZERO);
    for (time, status) in &answers {
        record.write(&format!("ordinary request, {:.3} s: {status:?}", time.as_secs_f64()));
        if status.is_ok() {
            longest = longest.max(*time - last);
            last = *time;
        }
    }
    longest = longest.max(TRY_TIME.saturating_sub(last));
    let answered = answers.iter().filter(|(_, status)| status.is_ok()).count();
    record.write(&format!(
        "ordinary requests, each on a new connection: {} sent, {answered} answered; longest time \
         without an answer to any client: {:.3} s; readiness checks without a 200: {not_ready}",
        answers.len(),
        longest.as_secs_f64()
    ));
    not_ready == 0 && longest > CONTACT_TIME
}

/// Returns when each try ended, and how.
fn try_requests(
    address: SocketAddr,
    client: usize,
    started: Instant,
) -> Vec<(Duration, Result<u16, &'static str>)> {
    let mut results = Vec::new();
    while started.elapsed() < TRY_TIME {
        let id = format!("ordinary-{client}-{}", results.len());
        let result =
            Client::connect(address).map_err(|_| "no connection").and_then(|mut client| {
                client.send(request("GET", "/read/a", &id).as_bytes()).map_err(|_| "closed")?;
                client.read().map(|answer| answer.status).ok_or("closed without an answer")
            });
        results.push((started.elapsed(), result));
        thread::sleep(PAUSE);
    }
    results
}
