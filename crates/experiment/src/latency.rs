//! Measures the latency that the proxies add: one run sends the same requests through two nodes and
//! directly to the upstream.

use std::time::Duration;

use argh::FromArgs;
use lavenderflow_standins::load::{self, CompletedRequest, Phase, Plan, RequestKind};

use crate::error::Error;
use crate::scenario::{Phase as ScenarioPhase, Scenario, Service};
use crate::site::Site;

/// measure the latency that the proxies add
#[derive(FromArgs)]
#[argh(subcommand, name = "latency")]
pub struct Arguments {
    /// requests per second through one node (default 1400)
    #[argh(option, default = "1400.0")]
    rate: f64,
    /// duration of the load in seconds (default 20)
    #[argh(option, default = "20.0")]
    seconds: f64,
    /// time that a request takes on the upstream, in milliseconds (default 5)
    #[argh(option, default = "5")]
    work_ms: u64,
}

/// Runs the measurement and prints a table of the results.
pub fn run(arguments: &Arguments) -> Result<(), Error> {
    let service = Service { name: "work".to_owned(), upstreams: 2, slots: 64, profile: Vec::new() };
    let scenario = Scenario {
        name: "latency".to_owned(),
        zones: vec!["zone-a".to_owned()],
        cross_ms: 0.0,
        services: vec![service],
        phases: vec![ScenarioPhase { seconds: arguments.seconds, rate: arguments.rate }],
        kinds: Vec::new(),
        faults: Vec::new(),
        callers: 256,
    };
    let site = Site::start(&scenario)?;
    // All requests go to the second node's upstream, so that each of them crosses two nodes.
    site.upstreams[0].set_phase("leaving");
    let path = format!("work?work_ms={}", arguments.work_ms);
    let kind = |name: &str, address| RequestKind {
        name: name.to_owned(),
        method: "GET".to_owned(),
        urls: vec![format!("http://{address}/{path}")],
        body_bytes: 0,
        weight: 1,
        timeout: Duration::from_secs(5),
        retries: 0,
    };
    let kinds = vec![
        kind("direct", site.upstreams[1].address()),
        kind("through two nodes", site.nodes[0].settings.callers),
    ];
    let phase =
        |seconds| Phase { duration: Duration::from_secs_f64(seconds), rate: arguments.rate * 2.0 };
    // This load opens the connections and warms the upstream up; its results are not used.
    load::run(&Plan {
        phases: vec![phase(5.0)],
        kinds: kinds.clone(),
        seed: 1,
        max_callers: scenario.callers,
        selector: None,
    })?;
    let before: Vec<Duration> = site.nodes.iter().filter_map(|n| n.cpu_time()).collect();
    let plan = Plan {
        phases: vec![phase(arguments.seconds)],
        kinds: kinds.clone(),
        seed: 2,
        max_callers: scenario.callers,
        selector: None,
    };
    let completed = load::run(&plan)?;
    print_table(&kinds, &completed)?;
    for (node, before) in site.nodes.iter().zip(before) {
        let used = node.cpu_time().unwrap_or_default().saturating_sub(before);
        let through = completed.iter().filter(|r| r.kind == 1).count().max(1);
        let per_request = used.as_secs_f64() * 1e6 / through as f64;
        let memory = node.resident_bytes().unwrap_or_default() / 1024 / 1024;
        println!(
            "{}: {per_request:.0} us of CPU time per request, {memory} MB",
            node.settings.name
        );
    }
    println!("{:?}", load::count_outcomes(&completed));
    Ok(())
}

fn print_table(kinds: &[RequestKind], completed: &[CompletedRequest]) -> Result<(), Error> {
    println!("| path | requests | p50 ms | p99 ms | p99.9 ms |\n| --- | --- | --- | --- | --- |");
    let mut rows = Vec::new();
    for (index, kind) in kinds.iter().enumerate() {
        let histogram = load::latency_histogram(completed.iter().filter(|r| r.kind == index))?;
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0;
        let row = [at(0.5), at(0.99), at(0.999)];
        println!(
            "| {} | {} | {:.2} | {:.2} | {:.2} |",
            kind.name,
            histogram.len(),
            row[0],
            row[1],
            row[2]
        );
        rows.push(row);
    }
    let added: Vec<String> = (0..3).map(|i| format!("{:.2}", rows[1][i] - rows[0][i])).collect();
    println!("| added | | {} |", added.join(" | "));
    Ok(())
}
