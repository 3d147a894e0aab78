//! A node that was restarted forgets that it acknowledged an endpoint's leaving, and a late
//! check-in brings the endpoint back.

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use review_standins::{
    CONTACT, DRAIN, Deployment, Record, Route, check_in, give_up, has_trouble, heartbeat_path,
    post, request,
};

const REQUESTS: usize = 100;
/// How late the check-in arrives.
const LATE: Duration = Duration::from_millis(5000);

fn main() {
    let record = Record::new(Path::new("record.txt"));
    let mut deployment = Deployment::start(&["numeroteur"; 3]);
    deployment.configure(
        7,
        &[Route {
            prefix: "/num/",
            kind: "non_idempotent",
            service: "numeroteur",
            timeout_s: 2.0,
            aim_s: 0.8,
        }],
    );
    let endpoints = deployment.start_endpoints(Duration::from_millis(20), &record);
    deployment.wait_ready();
    thread::sleep(Duration::from_secs(5));
    for index in 0..8 {
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
            give_up("a request before the disruption was not served");
        }
    }
    let leaving = &endpoints[0];
    // A check-in that leaves the endpoint now and arrives late.
    leaving.stop_check_ins();
    thread::sleep(Duration::from_millis(1600));
    let number = leaving.sequence.fetch_add(1, std::sync::atomic::Ordering::SeqCst) + 1;
    let late = check_in(&leaving.settings, "ready", number);
    let sent = Instant::now();
    record.line(&format!("check-in id={} sequence={number} sent, on its way", leaving.settings.id));
    thread::sleep(Duration::from_millis(100));
    let Some(acknowledged) = leaving.deregister(&record) else { give_up("no ack of the leaving") };
    if has_trouble() {
        record.line("the node beside the leaving endpoint is killed and starts again");
        deployment.vms[0].kill_node();
        thread::sleep(Duration::from_millis(200));
        deployment.vms[0].start_node();
    }
    let started = Instant::now();
    thread::sleep((sent + LATE).saturating_duration_since(Instant::now()));
    // Nothing has happened to the machine for `contact_s`.
    thread::sleep((started + CONTACT).saturating_duration_since(Instant::now()));
    let path = heartbeat_path(&leaving.settings.id);
    let status = post(leaving.settings.control, &path, &late.to_string(), Duration::from_secs(1));
    record.line(&format!(
        "the late check-in arrives after {:.1} s: status={status:?}",
        sent.elapsed().as_secs_f64()
    ));
    for index in 0..REQUESTS {
        let to = deployment.vms[index % 3].outbound;
        request(to, "POST", &format!("/num/{index}"), &format!("b{index}"), b"x", 2000, &record);
        thread::sleep(Duration::from_millis(10));
    }
    let runs = leaving.runs.lock().expect("runs");
    let late_runs: Vec<_> = runs.iter().filter(|run| run.at > acknowledged + DRAIN).collect();
    for run in &late_runs {
        let after = (run.at - acknowledged).as_secs_f64();
        record.line(&format!("id={} reached the endpoint {after:.2} s after the ack", run.id));
    }
    let count = late_runs.len();
    println!(
        "DRAIN: {count} of {REQUESTS} requests reached the endpoint later than 2 s after the ack of its leaving"
    );
    drop(runs);
    drop(deployment);
    std::process::exit(i32::from(count > 0));
}
