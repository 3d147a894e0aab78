//! The settings of a machine name another service, SIGHUP says so, and the node goes on to name the
//! old one in the requests that begin on the machine.

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use review_standins::{
    CONTACT, Deployment, Endpoint, EndpointSettings, Record, Route, give_up, has_trouble, request,
    unix_millis,
};

const REQUESTS: usize = 20;
/// `reuse_after_s`.
const REUSE_AFTER: Duration = Duration::from_secs(2);

fn main() {
    let record = Record::new(Path::new("record.txt"));
    let deployment = Deployment::start(&["numeroteur", "numeroteur", "archiveur"]);
    let route = |prefix, service| Route {
        prefix,
        kind: "non_idempotent",
        service,
        timeout_s: 2.0,
        aim_s: 0.8,
    };
    deployment.configure(7, &[route("/num/", "numeroteur"), route("/arch/", "archiveur")]);
    let work = Duration::from_millis(20);
    let mut endpoints = deployment.start_endpoints(work, &record);
    deployment.wait_ready();
    thread::sleep(Duration::from_secs(4));
    let machine = &deployment.vms[0];
    let mut service = "numeroteur";
    if has_trouble() {
        if endpoints[0].deregister(&record).is_none() {
            give_up("no ack of the leaving");
        }
        thread::sleep(Duration::from_secs(3));
        endpoints[0].stop();
        thread::sleep(REUSE_AFTER + Duration::from_millis(200));
        service = "archiveur";
        record.line("the settings name another service; SIGHUP");
        machine.change_service(service);
        let settings = EndpointSettings {
            id: "i-0b".to_owned(),
            service: service.to_owned(),
            address: machine.app,
            control: machine.control,
            born: unix_millis(),
            work,
        };
        endpoints.push(Endpoint::start(settings, &record));
    }
    thread::sleep(CONTACT * 3);
    let from = Instant::now();
    for index in 0..REQUESTS {
        let target = format!("{}/{index}", ["/num", "/arch"][index % 2]);
        request(machine.outbound, "POST", &target, &format!("b{index}"), b"x", 2000, &record);
    }
    let (mut wrong, mut all) = (0, 0);
    for endpoint in &endpoints {
        for run in endpoint.runs.lock().expect("runs").iter().filter(|run| run.at >= from) {
            all += 1;
            wrong += usize::from(run.caller_service != service);
            record.line(&format!(
                "id={} ran at {} with Lavenderflow-Caller-Service: {} (the machine's: {service})",
                run.id, endpoint.settings.id, run.caller_service
            ));
        }
    }
    println!("UNASKED: {wrong} of {all} requests were run with another service than the machine's");
    drop(deployment);
    std::process::exit(i32::from(wrong > 0))
}
