//! A node that is restarted while it does not reach the store, and a check-in that arrives late.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::Record;
use crate::client::{Client, request};
use crate::deployment::Deployment;
use crate::endpoint::{Endpoint, Event, Plan};

/// Time that a request takes, long enough for some to be answered after the endpoint leaves.
const WORK: Duration = Duration::from_millis(150);
/// Times of the steps, from the start of the outage of the store for one machine.
const DEREGISTERED_AT: Duration = Duration::from_millis(500);
const KILLED_AT: Duration = Duration::from_millis(1500);
const LATE_AT: Duration = Duration::from_millis(4500);
const END: Duration = Duration::from_millis(7000);
/// `drain_s` of the site.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// An answer, with when its request was sent and when it arrived.
struct Exchange {
    id: String,
    sent: Duration,
    answered: Duration,
    status: Option<u16>,
    says_leaving: bool,
}

pub fn run(program: &Path, has_trouble: bool, record: &mut Record) -> bool {
    let mut deployment = Deployment::start_nodes(program, 3);
    let start = |node| {
        Endpoint::start(node, 4, Arc::new(|_: &str, _| Plan { work: WORK, ..Plan::default() }))
    };
    let endpoints: Vec<Arc<Endpoint>> = deployment.nodes.iter().map(start).collect();
    deployment.wait_serving();
    thread::sleep(Duration::from_secs(2));
    // The machine of the clients is the first one; the endpoint that leaves is beside the last one.
    let (address, last) = (deployment.nodes[0].outbound, 2);
    let leaving = Arc::clone(&endpoints[last]);
    if has_trouble {
        record.write("the store does not answer the last machine any more");
        deployment.store.silence([deployment.nodes[last].store]);
    }
    let started = Instant::now();
    let clients: Vec<_> = (0..10_u64)
        .map(|client| {
            thread::spawn(move || {
                let mut exchanges = Vec::new();
                while started.elapsed() < END {
                    let id = format!("c{client}-{}", exchanges.len());
                    exchanges.push(exchange(address, id, started));
                    thread::sleep(Duration::from_millis(10 + 7 * client));
                }
                exchanges
            })
        })
        .collect();
    let wait = |time: Duration| thread::sleep(time.saturating_sub(started.elapsed()));
    wait(DEREGISTERED_AT);
    // Sent before the deregistration, and on its way until LATE_AT.
    let late = leaving.next_sequence();
    let status = leaving.deregister();
    record.write(&format!(
        "{} deregisters, answer {status:?} after {:.3} s",
        leaving.id(),
        started.elapsed().as_secs_f64()
    ));
    wait(KILLED_AT);
    if has_trouble {
        record.write("the last node is killed and started again");
        deployment.restart(program, last);
    }
    wait(LATE_AT);
    let status = leaving.check_in(late);
    record.write(&format!(
        "the late check-in {late} arrives, answer {status:?} after {:.3} s",
        started.elapsed().as_secs_f64()
    ));
    let exchanges: Vec<Exchange> =
        clients.into_iter().flat_map(|client| client.join().expect("a client")).collect();
    let told = exchanges.iter().filter(|e| e.says_leaving).map(|e| e.answered).min();
    record.write(&format!(
        "the first machine passed on an answer with Server-Leaving after {told:?}"
    ));
    let Some(told) = told else { panic!("no answer says that the endpoint leaves") };
    let events = leaving.events();
    let mut broken = 0;
    for Exchange { id, sent, answered, status, says_leaving } in &exchanges {
        let has_reached = events.get(id).is_some_and(|events| events.contains(&Event::Ran));
        let is_broken = has_reached && *sent > told + DRAIN_TIME;
        broken += usize::from(is_broken);
        let mark = if is_broken { " BROKEN" } else { "" };
        record.write(&format!(
            "{id}: sent {:.3} s, {status:?} after {:.3} s, leaving={says_leaving}, reached the leaving \
             endpoint={has_reached}{mark}",
            sent.as_secs_f64(),
            answered.as_secs_f64()
        ));
    }
    record
        .write(&format!("requests: {}, at the endpoint that had left: {broken}", exchanges.len()));
    broken > 0
}

fn exchange(address: std::net::SocketAddr, id: String, started: Instant) -> Exchange {
    let sent = started.elapsed();
    let answer = Client::connect(address).ok().and_then(|mut client| {
        client.send(request("POST", "/write/a", &id).as_bytes()).ok()?;
        client.read()
    });
    let (status, says_leaving) =
        answer.map_or((None, false), |answer| (Some(answer.status), answer.says_leaving));
    Exchange { id, sent, answered: started.elapsed(), status, says_leaving }
}
