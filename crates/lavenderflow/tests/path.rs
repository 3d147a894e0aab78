//! Requests pass from a caller through two nodes to an upstream, and the responses back.

mod common;

use std::io::Read;
use std::thread;

use common::{Site, SiteConfig, agent, call, expected_body};
use lavenderflow_standins::fleet::{NodeProcess, wait_until};

#[test]
fn each_caller_gets_the_whole_answer_to_its_own_request() {
    let site = Site::start(SiteConfig::default());
    let urls: Vec<String> = site.nodes.iter().map(|node| node.url("/work")).collect();
    let callers = (0..12).map(|caller| {
        let url = urls[caller % urls.len()].clone();
        thread::spawn(move || {
            let agent = agent();
            for number in 0..40_u64 {
                let id = format!("caller-{caller}-{number}");
                // Sizes below, at and above the limit from which responses are streamed.
                let size = [10, 5_000, 65_536, 70_000, 300_000][number as usize % 5];
                let url = format!("{url}?size={size}");
                let method = if number % 2 == 0 { "GET" } else { "POST" };
                let response = call(&agent, method, &url, &[("lavenderflow-request-id", &id)], "");
                let Some(response) = response else { return Err(format!("{id}: incomplete")) };
                if response.status != 200 && response.outcome() == "not-run" {
                    continue;
                }
                if response.status != 200 || response.body != expected_body(&id, size) {
                    return Err(format!("{id}: {} {}", response.status, response.body.len()));
                }
            }
            Ok(())
        })
    });
    let callers: Vec<_> = callers.collect();
    for caller in callers {
        assert_eq!(caller.join().expect("a caller"), Ok(()));
    }
    // Only idempotent requests run again, and only as often as the nodes report retries.
    let retries: u64 = site.nodes.iter().map(retry_count).sum();
    let mut extra_runs = 0;
    for (id, count) in site.run_counts() {
        let number: u64 = id.rsplit('-').next().and_then(|n| n.parse().ok()).expect("a number");
        assert!(count == 1 || number.is_multiple_of(2), "{id} ran {count} times");
        extra_runs += u64::from(count - 1);
    }
    assert!(extra_runs <= retries, "{extra_runs} extra runs, {retries} retries");
}

/// Returns how many retries of requests that may have run a node has counted.
fn retry_count(node: &NodeProcess) -> u64 {
    let status = node.status().expect("a status");
    let counters = status["counters"].as_object().expect("counters");
    let lost = counters.iter().filter(|(name, _)| {
        ["lost", "stuck", "deadline-past", "upstream-failed"]
            .iter()
            .any(|reason| **name == format!("entry.retried.{reason}"))
    });
    lost.filter_map(|(_, count)| count.as_u64()).sum()
}

#[test]
fn a_ticket_runs_once_through_any_node() {
    let site = Site::start(SiteConfig::default());
    let ticket = site.ticket(0);
    let headers =
        [("lavenderflow-ticket", ticket.as_str()), ("lavenderflow-request-id", "invoice")];
    let first = site.call(1, "POST", "/work", &headers, "a").expect("a response");
    let second = site.call(2, "POST", "/work", &headers, "a").expect("a response");
    let other = site.call(0, "POST", "/work", &headers, "b").expect("a response");
    assert_eq!((first.status, first.outcome()), (200, "ran"));
    assert_eq!((second.status, second.outcome()), (200, "ran"));
    assert_eq!(first.body, second.body);
    assert_eq!((other.status, other.reason()), (422, "ticket-mismatch"));
    assert_eq!(site.run_counts().get("invoice"), Some(&1));
}

#[test]
fn a_large_upload_streams_with_bounded_memory() {
    const UPLOAD_BYTES: u64 = 256 * 1024 * 1024;
    const MAX_GROWTH_BYTES: u64 = 16 * 1024 * 1024;
    let site = Site::start(SiteConfig::default());
    // Warm-up: creates the threads and connections before memory is measured.
    for node in 0..3 {
        assert_eq!(site.call(node, "POST", "/work", &[], "x").expect("a response").status, 200);
    }
    let before: Vec<u64> = site.nodes.iter().filter_map(|node| node.resident_bytes()).collect();
    let url = site.nodes[0].url("/work");
    let upload = thread::spawn(move || {
        let body = ureq::SendBody::from_owned_reader(std::io::repeat(1).take(UPLOAD_BYTES));
        let builder = ureq::http::Request::builder().method("PUT").uri(url);
        let request = builder.header("content-length", UPLOAD_BYTES.to_string()).body(body);
        agent().run(request.expect("a request"))
    });
    let mut peak = vec![0; before.len()];
    wait_until("the upload is finished", || {
        for (peak, node) in peak.iter_mut().zip(&site.nodes) {
            *peak = node.resident_bytes().unwrap_or_default().max(*peak);
        }
        upload.is_finished()
    })
    .expect("a finished upload");
    let response = upload.join().expect("a caller").expect("a response");
    assert_eq!(response.headers()["standin-received"], format!("{UPLOAD_BYTES}-{UPLOAD_BYTES}"));
    for (peak, before) in peak.iter().zip(&before) {
        assert!(peak - before.min(peak) < MAX_GROWTH_BYTES, "{} bytes more", peak - before);
    }
}
