//! A check-in of another writer, with fields missing, makes an endpoint run requests of a service
//! that it doesn't belong to.

use std::path::Path;
use std::thread;
use std::time::Duration;

use review_standins::{
    Deployment, Record, Route, give_up, has_trouble, heartbeat_path, post, request, unix_millis,
};
use serde_json::json;

const REQUESTS: usize = 40;

fn main() {
    let record = Record::new(Path::new("record.txt"));
    let deployment = Deployment::start(&["numeroteur", "numeroteur", "archiveur", "archiveur"]);
    deployment.configure(
        7,
        &[
            Route {
                prefix: "/num/",
                kind: "non_idempotent",
                service: "numeroteur",
                timeout_s: 2.0,
                aim_s: 0.8,
            },
            Route {
                prefix: "/arch/",
                kind: "non_idempotent",
                service: "archiveur",
                timeout_s: 2.0,
                aim_s: 0.8,
            },
        ],
    );
    let endpoints = deployment.start_endpoints(Duration::from_millis(20), &record);
    deployment.wait_ready();
    thread::sleep(Duration::from_secs(5));
    for index in 0..8 {
        let (to, prefix) = (deployment.vms[index % 4].outbound, ["/num", "/arch"][index % 2]);
        let answer = request(
            to,
            "POST",
            &format!("{prefix}/{index}"),
            &format!("a{index}"),
            b"x",
            2000,
            &record,
        );
        if answer.is_none_or(|answer| answer.status != 200) {
            give_up("a request before the disruption was not served");
        }
    }
    if has_trouble() {
        let victim = &endpoints[0].settings;
        // No zone, no version and no remaining time of the cold start.
        let odd = json!({"service": "archiveur", "address": victim.address.to_string(),
            "slots": 4, "state": "ready", "sequence": 1, "born": unix_millis()});
        let path = heartbeat_path(&victim.id);
        let status = post(victim.control, &path, &odd.to_string(), Duration::from_secs(1));
        record.line(&format!("odd check-in at {path}: {odd} status={status:?}"));
    }
    for index in 0..REQUESTS {
        let to = deployment.vms[index % 4].outbound;
        request(to, "POST", &format!("/arch/{index}"), &format!("b{index}"), b"x", 2000, &record);
        thread::sleep(Duration::from_millis(10));
    }
    let mut foreign = 0;
    for endpoint in &endpoints {
        let prefix = if endpoint.settings.service == "archiveur" { "/arch/" } else { "/num/" };
        let runs = endpoint.runs.lock().expect("runs");
        foreign += runs.iter().filter(|run| !run.target.starts_with(prefix)).count();
    }
    record.line(&format!("requests run by a service that no configuration allows: {foreign}"));
    println!(
        "ROUTE: {foreign} of {REQUESTS} requests were run by a service that no configuration allows"
    );
    drop(deployment);
    std::process::exit(i32::from(foreign > 0));
}
