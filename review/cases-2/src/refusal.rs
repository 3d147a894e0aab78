//! Refusals that an endpoint sends a second time, later, while it has the refused request again.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::Record;
use crate::client::{Client, request};
use crate::deployment::Deployment;
use crate::endpoint::{self, Endpoint, Event, Plan};

/// Slots of the endpoint, and clients: one more, so that a request waits now and then.
const SLOTS: u32 = 4;
const CLIENTS: usize = 5;
/// Time for which the clients send.
const TIME: Duration = Duration::from_secs(9);
/// Part of it in which the endpoint refuses requests and sends refusals again: 5 s.
const TROUBLE: std::ops::Range<Duration> = Duration::from_secs(2)..Duration::from_secs(7);
/// Time that a request takes.
const WORK: Duration = Duration::from_millis(20);
/// Of so many requests on a connection the first two are refused, and the refusal of the first one
/// is sent again: 2.9% of the answers, and 5.9% are refusals.
const PERIOD: u64 = 34;
const REFUSED: u64 = 2;
/// Time between a refusal and its second copy.
const DELAY: Duration = Duration::from_millis(10);
/// Statuses that promise that the request has not run and will not run.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

pub fn run(program: &Path, has_trouble: bool, record: &mut Record) -> bool {
    let deployment = Deployment::start_nodes(program, 1);
    let started = Instant::now();
    let behaviour = move |id: &str, number: u64| {
        let is_trouble = has_trouble && TROUBLE.contains(&started.elapsed());
        let refuses = is_trouble && number % PERIOD < REFUSED;
        let is_repeated = refuses && number.is_multiple_of(PERIOD);
        let extra = is_repeated.then(|| (DELAY, endpoint::refusal(id).into_bytes()));
        Plan { refuses, work: WORK, extra, ..Plan::default() }
    };
    let endpoint = Endpoint::start(&deployment.nodes[0], SLOTS, Arc::new(behaviour));
    deployment.wait_serving();
    let address = deployment.nodes[0].outbound;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
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
    // The last copies of refusals are sent, and the last runs end.
    thread::sleep(Duration::from_secs(1));
    let all = endpoint.events();
    let (mut refused, mut twice) = (0, 0);
    for (id, answer) in &answers {
        let events = all.get(id).cloned().unwrap_or_default();
        let runs = events.iter().filter(|event| **event == Event::Ran).count();
        let status = answer.as_ref().map(|answer| answer.status);
        let is_false = runs > 0 && status.is_some_and(|status| NOT_RUN.contains(&status));
        refused += usize::from(is_false);
        twice += usize::from(runs > 1);
        let mark = if is_false || runs > 1 { " BROKEN" } else { "" };
        record.write(&format!("POST {id}: answer {status:?}; endpoint: {events:?}{mark}"));
    }
    record.write(&format!(
        "requests: {}; told that they have not run, and ran: {refused}; ran twice: {twice}",
        answers.len()
    ));
    refused + twice > 0
}
