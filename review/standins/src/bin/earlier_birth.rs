//! The time of day jumps back, an endpoint starts again under its id with an earlier `born`, and the
//! node acknowledges its leaving without applying it.

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use review_standins::{
    CONTACT, DRAIN, Deployment, Endpoint, EndpointSettings, Record, Route, check_in, give_up,
    has_trouble, heartbeat_path, post, request, unix_millis,
};

const REQUESTS: usize = 100;
/// By how much the time of day was ahead (`clock_step`, x 2000).
const STEP_MS: u64 = 2000;

fn main() {
    let record = Record::new(Path::new("record.txt"));
    let deployment = Deployment::start(&["numeroteur"; 3]);
    let kind = "non_idempotent";
    deployment.configure(
        7,
        &[Route { prefix: "/num/", kind, service: "numeroteur", timeout_s: 2.0, aim_s: 0.8 }],
    );
    deployment.wait_ready();
    let settings = |index: usize, born: u64| EndpointSettings {
        id: format!("i-{index}a"),
        service: "numeroteur".to_owned(),
        address: deployment.vms[index].app,
        control: deployment.vms[index].control,
        born,
        work: Duration::from_millis(20),
    };
    let others: Vec<Endpoint> =
        (1..3).map(|index| Endpoint::start(settings(index, unix_millis()), &record)).collect();
    // The first lifetime registers, while the time of day is ahead.
    let step = if has_trouble() { STEP_MS } else { 0 };
    let first = settings(0, unix_millis() + step);
    let path = heartbeat_path(&first.id);
    for sequence in 1..=2 {
        let text = check_in(&first, "ready", sequence).to_string();
        let status = post(first.control, &path, &text, Duration::from_secs(1));
        record.line(&format!("first lifetime: {text} ack={status:?}"));
        thread::sleep(Duration::from_millis(500));
    }
    // It ends; the time of day is true again; the endpoint starts under its id.
    let again = Endpoint::start(settings(0, unix_millis()), &record);
    record.line(&format!("it starts again: born={} (before: {})", again.settings.born, first.born));
    thread::sleep(CONTACT * 2);
    for index in 0..12 {
        let to = deployment.vms[index % 3].outbound;
        let answer = request(
            to,
            "POST",
            &format!("/num/{index}"),
            &format!("a{index}"),
            b"x",
            2000,
            &record,
        );
        if answer.is_none_or(|answer| answer.status != 200) {
            give_up("a request before the leaving was not served");
        }
    }
    again.stop_check_ins();
    thread::sleep(Duration::from_millis(1600));
    let mut acknowledged = None;
    // It reports `draining` as often as it checked in before.
    for round in 0..3 {
        let sequence = again.sequence.fetch_add(1, std::sync::atomic::Ordering::SeqCst) + 1;
        let text = check_in(&again.settings, "draining", sequence).to_string();
        let status = post(first.control, &path, &text, Duration::from_secs(1));
        record.line(&format!("{text} ack={status:?}"));
        if status == Some(200) {
            acknowledged.get_or_insert_with(Instant::now);
        }
        if round < 2 {
            thread::sleep(Duration::from_millis(1500));
        }
    }
    let Some(acknowledged) = acknowledged else { give_up("no ack of the leaving") };
    for index in 0..REQUESTS {
        let to = deployment.vms[index % 3].outbound;
        request(to, "POST", &format!("/num/{index}"), &format!("b{index}"), b"x", 2000, &record);
        thread::sleep(Duration::from_millis(10));
    }
    let runs = again.runs.lock().expect("runs");
    let late: Vec<_> = runs.iter().filter(|run| run.at > acknowledged + DRAIN).collect();
    for run in &late {
        let after = (run.at - acknowledged).as_secs_f64();
        record.line(&format!("id={} reached the endpoint {after:.2} s after the ack", run.id));
    }
    let count = late.len();
    println!(
        "DRAIN: {count} of {REQUESTS} requests reached the endpoint later than 2 s after the ack of its leaving"
    );
    drop(runs);
    drop((others, deployment));
    std::process::exit(i32::from(count > 0))
}
