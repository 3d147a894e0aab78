//! Additional bytes after complete answers, which look like an answer without the id of a request.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::Record;
use crate::client::{Client, request};
use crate::deployment::Deployment;
use crate::endpoint::{Endpoint, Event, Plan};

/// Clients, and the time for which they send.
const CLIENTS: usize = 6;
const TIME: Duration = Duration::from_secs(9);
/// Part of it in which one of the two endpoints sends additional bytes: 5 s.
const TROUBLE: std::ops::Range<Duration> = Duration::from_secs(2)..Duration::from_secs(7);
/// Time that a request takes.
const WORK: Duration = Duration::from_millis(60);
/// One in so many answers of a connection is followed by additional bytes: 2%.
const GARBLED: u64 = 50;
/// Time after the answer at which they come.
const DELAY: Duration = Duration::from_millis(20);
const BYTES: &str = "HTTP/1.1 500 Internal Server Error\r\n\
     Lavenderflow-Server-Signature: signed-before\r\nContent-Length: 5\r\n\r\nerror";

pub fn run(program: &Path, has_trouble: bool, record: &mut Record) -> bool {
    let deployment = Deployment::start_nodes(program, 2);
    let started = Instant::now();
    let start = |index: usize| {
        let behaviour = move |_: &str, number: u64| {
            let is_trouble = has_trouble && index == 0 && TROUBLE.contains(&started.elapsed());
            let is_followed = is_trouble && number.is_multiple_of(GARBLED);
            let extra = is_followed.then(|| (DELAY, BYTES.as_bytes().to_vec()));
            Plan { work: WORK, extra, ..Plan::default() }
        };
        Endpoint::start(&deployment.nodes[index], 4, Arc::new(behaviour))
    };
    let endpoints: Vec<Endpoint> = (0..2).map(start).collect();
    deployment.wait_serving();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let address = deployment.nodes[client % 2].outbound;
            thread::spawn(move || {
                let mut answers = Vec::new();
                while started.elapsed() < TIME {
                    let id = format!("c{client}-{}", answers.len());
                    let answer = Client::connect(address).ok().and_then(|mut connection| {
                        connection.send(request("POST", "/write/a", &id).as_bytes()).ok()?;
                        connection.read()
                    });
                    answers.push((id, answer));
                }
                answers
            })
        })
        .collect();
    let answers: Vec<_> =
        clients.into_iter().flat_map(|client| client.join().expect("a client")).collect();
    let all: Vec<_> = endpoints.iter().map(|endpoint| endpoint.events()).collect();
    let mut broken = 0;
    for (id, answer) in &answers {
        let events: Vec<Vec<Event>> =
            all.iter().map(|events| events.get(id).cloned().unwrap_or_default()).collect();
        let Some(answer) = answer else {
            record.write(&format!("POST {id}: no answer; endpoints: {events:?}"));
            continue;
        };
        let was_given = events.iter().flatten().any(|e| *e == Event::Answered(answer.status));
        // A failure with the signature of an endpoint, and another status than one has given.
        let is_broken = answer.is_signed && answer.status >= 300 && !was_given;
        broken += usize::from(is_broken);
        let mark = if is_broken { " BROKEN" } else { "" };
        record.write(&format!(
            "POST {id}: answer {} signed={} {:?}; endpoints: {events:?}{mark}",
            answer.status, answer.is_signed, answer.body
        ));
    }
    record.write(&format!(
        "requests: {}; answered with a signed failure that no endpoint gave them: {broken}",
        answers.len()
    ));
    broken > 0
}
