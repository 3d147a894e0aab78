//! Non-idempotent requests run at most once despite failures, and a request that is reported as
//! `not-run` does not run.

mod common;

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use common::{Response, Site, SiteConfig, agent, call};
use indexmap::IndexMap;
use lavenderflow_standins::fleet::wait_until;
use lavenderflow_standins::proxy::Direction;
use lavenderflow_standins::store::Mode as StoreMode;
use lavenderflow_standins::upstream::Mode;

/// Outcomes that callers received, by request id.
type ReportedOutcomes = IndexMap<String, Vec<String>>;

/// Sends each request twice with one ticket, through different nodes and at the same time.
fn send_duplicates(
    urls: Vec<String>,
    tickets: Vec<String>,
) -> thread::JoinHandle<ReportedOutcomes> {
    thread::spawn(move || {
        let callers = (0..8).map(|caller| {
            let (urls, tickets) = (urls.clone(), tickets.clone());
            thread::spawn(move || {
                let agent = agent();
                let mut reported = ReportedOutcomes::new();
                for (number, ticket) in
                    tickets.iter().enumerate().filter(|(n, _)| n % 4 == caller % 4)
                {
                    let url = &urls[(number + caller) % urls.len()];
                    let id = format!("deposit-{number}");
                    let headers = [
                        ("lavenderflow-ticket", ticket.as_str()),
                        ("lavenderflow-request-id", id.as_str()),
                    ];
                    let response = call(&agent, "POST", url, &headers, "deposit");
                    let outcome = response.as_ref().map_or("failed", Response::outcome).to_owned();
                    reported.entry(id).or_default().push(outcome);
                }
                reported
            })
        });
        let callers: Vec<_> = callers.collect();
        let mut all = ReportedOutcomes::new();
        for caller in callers {
            for (id, outcomes) in caller.join().expect("a caller") {
                all.entry(id).or_default().extend(outcomes);
            }
        }
        all
    })
}

/// Checks the reported outcomes against the records of the upstreams; returns how many outcomes
/// were `unknown`.
fn verify_outcomes(site: &Site, reported: &ReportedOutcomes) -> usize {
    let ran = site.run_counts();
    for (id, count) in ran.iter().filter(|(id, _)| id.starts_with("deposit")) {
        assert!(*count <= 1, "{id} ran {count} times; callers saw {:?}", reported.get(id));
    }
    for (id, outcomes) in reported {
        let has_run = ran.contains_key(id);
        for outcome in outcomes {
            match outcome.as_str() {
                "ran" => assert!(has_run, "{id} did not run; callers saw {outcomes:?}"),
                "not-run" => assert!(!has_run, "{id} ran; callers saw {outcomes:?}"),
                _ => {}
            }
        }
    }
    reported.values().flatten().filter(|outcome| *outcome == "unknown").count()
}

fn tickets(site: &Site, count: usize) -> Vec<String> {
    (0..count).map(|number| site.ticket(number % site.nodes.len())).collect()
}

fn urls(site: &Site) -> Vec<String> {
    site.nodes.iter().map(|node| node.url("/work")).collect()
}

fn proxied_config() -> SiteConfig {
    SiteConfig { work: Duration::from_millis(10), proxied: true, ..SiteConfig::default() }
}

fn run_with_fault(config: SiteConfig, fault: impl FnOnce(&mut Site)) -> (ReportedOutcomes, usize) {
    let mut site = Site::start(config);
    let callers = send_duplicates(urls(&site), tickets(&site, 400));
    thread::sleep(Duration::from_millis(150));
    fault(&mut site);
    let reported = callers.join().expect("the callers");
    // Gives delayed duplicates the time to run.
    thread::sleep(Duration::from_millis(200));
    let unknown = verify_outcomes(&site, &reported);
    println!(
        "{} requests, {unknown} unknown outcomes of {}",
        reported.len(),
        reported.values().flatten().count()
    );
    (reported, unknown)
}

#[test]
fn without_faults_everything_runs_once_and_nothing_is_unknown() {
    let (reported, unknown) = run_with_fault(proxied_config(), |_| {});
    assert_eq!(unknown, 0);
    assert_eq!(reported.len(), 400);
}

#[test]
fn requests_run_at_most_once_with_a_killed_node() {
    run_with_fault(proxied_config(), |site| site.nodes[1].kill().expect("a signal"));
}

#[test]
fn requests_run_at_most_once_with_a_node_restarted_at_the_same_address() {
    run_with_fault(proxied_config(), |site| {
        site.nodes[1].kill().expect("a signal");
        site.restart_node(1);
    });
}

#[test]
fn requests_run_at_most_once_with_a_suspended_and_resumed_node() {
    // Long enough that each upstream has a running request when the node is suspended.
    let work = Duration::from_millis(100);
    run_with_fault(SiteConfig { work, ..proxied_config() }, |site| {
        // A node in the zone that the other home nodes prefer.
        site.nodes[1].freeze().expect("a signal");
        thread::sleep(Duration::from_secs(4));
        site.nodes[1].thaw().expect("a signal");
    });
}

#[test]
fn requests_run_at_most_once_with_a_one_way_partition() {
    run_with_fault(proxied_config(), |site| {
        let peer: SocketAddr = site.nodes[0].settings.peers;
        site.proxies[1].cut(peer, Direction::ToTarget);
        site.proxies[0].cut(site.nodes[1].settings.peers, Direction::FromTarget);
        thread::sleep(Duration::from_secs(3));
        site.proxies.iter().for_each(|proxy| proxy.heal());
    });
}

#[test]
fn requests_run_at_most_once_with_lost_responses() {
    run_with_fault(proxied_config(), |site| {
        for node in 0..3 {
            let peer = site.nodes[node].settings.peers;
            site.proxies[(node + 1) % 3].cut(peer, Direction::FromTarget);
        }
        thread::sleep(Duration::from_secs(3));
        site.proxies.iter().for_each(|proxy| proxy.heal());
    });
}

#[test]
fn requests_run_at_most_once_with_faulty_upstreams() {
    run_with_fault(proxied_config(), |site| {
        site.upstreams[0].set_mode(Mode::Disconnects);
        site.upstreams[1].set_mode(Mode::Truncates);
        site.upstreams[2].set_mode(Mode::Sheds);
        thread::sleep(Duration::from_millis(500));
        site.upstreams[1].set_mode(Mode::Fails(50));
    });
}

#[test]
fn requests_run_at_most_once_with_a_node_restarted_while_the_store_is_down() {
    run_with_fault(proxied_config(), |site| {
        site.store.set_mode(StoreMode::Down);
        site.nodes[0].kill().expect("a signal");
        site.restart_node(0);
    });
}

#[test]
fn requests_refused_by_full_queues_do_not_run() {
    let profile = vec!["patience.queue_ms=20", "forgiveness.attempts=2"];
    let work = Duration::from_millis(30);
    let (reported, _) =
        run_with_fault(SiteConfig { slots: 1, work, profile, ..proxied_config() }, |_| {});
    let refused = reported.values().flatten().filter(|outcome| *outcome == "not-run").count();
    assert!(refused > 0, "the load does not exceed the slots");
}

#[test]
fn a_refused_ticket_never_runs_later() {
    let site = Site::start(proxied_config());
    let ticket = site.ticket(0);
    let headers =
        [("lavenderflow-ticket", ticket.as_str()), ("lavenderflow-request-id", "deposit-1")];
    for upstream in &site.upstreams {
        upstream.set_phase("leaving");
    }
    wait_until("no gate admits requests", || {
        let response = site.call(1, "POST", "/work", &[], "x");
        response.is_some_and(|response| response.outcome() == "not-run")
    })
    .expect("refusals");
    let refused = site.call(1, "POST", "/work", &headers, "x").expect("a response");
    assert_eq!(refused.outcome(), "not-run");
    for upstream in &site.upstreams {
        upstream.set_phase("serving");
    }
    wait_until("gates admit requests again", || {
        let response = site.call(1, "POST", "/work", &[], "x");
        response.is_some_and(|response| response.status == 200)
    })
    .expect("responses");
    let late = site.call(2, "POST", "/work", &headers, "x").expect("a response");
    assert_eq!((late.outcome(), late.reason()), ("not-run", "ticket-refused"));
    assert!(!site.run_counts().contains_key("deposit-1"));
    let new_ticket = refused.ticket();
    let headers = [("lavenderflow-ticket", new_ticket), ("lavenderflow-request-id", "deposit-1")];
    let response = site.call(2, "POST", "/work", &headers, "x").expect("a response");
    assert_eq!((response.status, response.outcome()), (200, "ran"));
    assert_eq!(site.run_counts().get("deposit-1"), Some(&1));
}

#[test]
fn a_ticket_of_an_earlier_incarnation_of_its_home_is_unknown() {
    let mut site = Site::start(proxied_config());
    let ticket = site.ticket(1);
    let headers =
        [("lavenderflow-ticket", ticket.as_str()), ("lavenderflow-request-id", "deposit-1")];
    assert_eq!(site.call(0, "POST", "/work", &headers, "x").expect("a response").outcome(), "ran");
    site.nodes[1].kill().expect("a signal");
    let response = site.call(0, "POST", "/work", &headers, "x").expect("a response");
    assert_eq!(response.outcome(), "unknown");
    site.restart_node(1);
    wait_until("the home node responds again", || {
        let response = site.call(0, "POST", "/work", &headers, "x").expect("a response");
        assert_eq!(response.outcome(), "unknown");
        response.reason() == "ticket-expired"
    })
    .expect("a response of the home node");
    assert_eq!(site.run_counts().get("deposit-1"), Some(&1));
}
