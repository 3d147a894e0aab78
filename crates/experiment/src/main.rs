//! Runs scenarios with real processes on this machine, and measures them.
//!
//! Build everything first: `cargo build --release --workspace`. Then
//! `target/release/lavenderflow-experiment run crates/experiment/scenarios/NAME.json`.

mod balancer;
mod capacity;
mod error;
mod latency;
mod plot;
mod report;
mod scenario;
mod site;
mod status_poller;

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;

use error::Error;
use peak_alloc::PeakAlloc;
use report::Report;
use scenario::{Policy, Scenario};

/// Counts the memory that this process has allocated.
#[global_allocator]
static ALLOCATOR: PeakAlloc = PeakAlloc;

/// Runs scenarios and measures them.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    action: Action,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Action {
    Run(RunArguments),
    Latency(latency::Arguments),
    Capacity(capacity::Arguments),
}

/// run a scenario file with each policy and seed, interleaved
#[derive(FromArgs)]
#[argh(subcommand, name = "run")]
struct RunArguments {
    /// number of seeds (default 3)
    #[argh(option, default = "3")]
    seeds: u64,
    /// policies, separated by commas: lavenderflow, round-robin, random (default all)
    #[argh(option, default = "String::from(\"lavenderflow,round-robin,random\")")]
    policies: String,
    /// directory for a plot of the served share over time
    #[argh(option)]
    plots: Option<PathBuf>,
    /// scenario file
    #[argh(positional)]
    scenario: PathBuf,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let result = match &arguments.action {
        Action::Run(arguments) => run(arguments),
        Action::Latency(arguments) => latency::run(arguments),
        Action::Capacity(arguments) => capacity::run(arguments),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("experiment: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(arguments: &RunArguments) -> Result<(), Error> {
    let scenario = Scenario::load(&arguments.scenario)?;
    let policies: Result<Vec<Policy>, Error> =
        arguments.policies.split(',').map(Policy::from_name).collect();
    let policies = policies?;
    let mut report = Report::new(&scenario);
    for seed in 1..=arguments.seeds {
        for policy in &policies {
            let run = site::run(&scenario, *policy, seed)?;
            report.add(*policy, seed, &run);
        }
    }
    println!("{}", report.render());
    if let Some(directory) = &arguments.plots {
        plot::draw(&directory.join(format!("{}.svg", scenario.name)), &scenario, report.series())?;
    }
    Ok(())
}
