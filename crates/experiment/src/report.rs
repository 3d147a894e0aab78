//! Tables of the results of a scenario.

use std::time::Duration;

use indexmap::IndexMap;
use lavenderflow_standins::load::{self, CompletedRequest};

use crate::scenario::{FaultAction, Policy, Scenario};
use crate::site::ScenarioResult;

/// Length of the intervals in which the share of served requests is counted.
const BUCKET_LENGTH: Duration = Duration::from_millis(500);

/// Modes in which an upstream must not be ejected: healthy, or with a normal rate of errors.
const HEALTHY_MODES: [&str; 2] = ["well", "fails:2"];

/// Share of served requests over time, in one run.
#[derive(Clone, Debug)]
pub struct Series {
    /// Policy of the run.
    pub policy: Policy,
    /// Seed of the run.
    pub seed: u64,
    /// Seconds since the start, and the share of served requests in percent.
    pub points: Vec<(f64, f64)>,
}

/// Collects the measurements of all runs.
pub struct Report<'a> {
    scenario: &'a Scenario,
    values: IndexMap<String, IndexMap<&'static str, Vec<f64>>>,
    reasons: IndexMap<&'static str, IndexMap<String, u64>>,
    series: Vec<Series>,
}

impl<'a> Report<'a> {
    /// Creates an empty report.
    pub fn new(scenario: &'a Scenario) -> Self {
        Self { scenario, values: IndexMap::new(), reasons: IndexMap::new(), series: Vec::new() }
    }

    /// Adds the result of a run.
    pub fn add(&mut self, policy: Policy, seed: u64, run: &ScenarioResult) {
        for (index, kind) in self.scenario.kinds.iter().enumerate() {
            let completed: Vec<&CompletedRequest> =
                run.completed.iter().filter(|r| r.kind == index).collect();
            let served = completed.iter().filter(|r| r.is_served()).count();
            let failed = completed.iter().filter(|r| is_failure(r)).count();
            let total = completed.len().max(1) as f64;
            self.record(policy, &format!("{} requests", kind.name), completed.len() as f64);
            self.record(policy, &format!("{} served %", kind.name), served as f64 * 100.0 / total);
            self.record(policy, &format!("{} failed %", kind.name), failed as f64 * 100.0 / total);
            if let Ok(histogram) = load::latency_histogram(completed.iter().copied()) {
                for (name, quantile) in [("p50", 0.5), ("p99", 0.99)] {
                    let ms = histogram.value_at_quantile(quantile) as f64 / 1000.0;
                    self.record(policy, &format!("{} {name} ms", kind.name), ms);
                }
            }
        }
        self.add_phases(policy, run);
        if policy == Policy::Lavenderflow {
            self.add_detection(policy, run);
        }
        let reasons = self.reasons.entry(policy.name()).or_default();
        for (reason, count) in load::count_outcomes(&run.completed) {
            *reasons.entry(reason).or_default() += count;
        }
        self.series.push(Series {
            policy,
            seed,
            points: served_shares(self.scenario, &run.completed),
        });
    }

    /// Returns the share of served requests over time, for each run.
    pub fn series(&self) -> &[Series] {
        &self.series
    }

    /// Renders a table of medians, each with the minimum and the maximum.
    pub fn render(&self) -> String {
        let policies: Vec<&str> = self.reasons.keys().copied().collect();
        let mut lines = vec![format!("## {}", self.scenario.name), String::new()];
        lines.push(format!("| measure | {} |", policies.join(" | ")));
        lines.push(format!("| --- |{}", " --- |".repeat(policies.len())));
        for (measure, values) in &self.values {
            let cells =
                policies.iter().map(|p| values.get(p).map_or("-".to_owned(), |v| format_cell(v)));
            lines.push(format!("| {measure} | {} |", cells.collect::<Vec<_>>().join(" | ")));
        }
        lines.push(String::new());
        for (policy, reasons) in &self.reasons {
            let counts = reasons.iter().map(|(reason, count)| format!("{reason}: {count}"));
            lines.push(format!("{policy}: {}", counts.collect::<Vec<_>>().join("; ")));
        }
        lines.join("\n")
    }

    fn record(&mut self, policy: Policy, measure: &str, value: f64) {
        let values = self.values.entry(measure.to_owned()).or_default();
        values.entry(policy.name()).or_default().push(value);
    }

    /// Records the rate of served requests in each phase.
    fn add_phases(&mut self, policy: Policy, run: &ScenarioResult) {
        let mut start = 0.0;
        for (index, phase) in self.scenario.phases.iter().enumerate() {
            let end = start + phase.seconds;
            let due = |r: &&CompletedRequest| (start..end).contains(&r.due.as_secs_f64());
            let served = run.completed.iter().filter(due).filter(|r| r.is_served()).count();
            let rate = served as f64 / phase.seconds;
            self.record(policy, &format!("phase {} served/s of {}", index + 1, phase.rate), rate);
            start = end;
        }
    }

    /// Returns whether a network partition separates two nodes, so that neither can use the other.
    fn is_partitioned(&self, entry: usize, gate: usize) -> bool {
        let zones = &self.scenario.zones;
        let zone = |index: usize| &zones[index % zones.len()];
        self.scenario.faults.iter().any(|fault| match &fault.action {
            FaultAction::Cut(from, to) => {
                (zone(entry) == from && zone(gate) == to)
                    || (zone(entry) == to && zone(gate) == from)
            }
            _ => false,
        })
    }

    /// Records the detection time of each upstream that becomes faulty, and the ejections of
    /// healthy ones.
    fn add_detection(&mut self, policy: Policy, run: &ScenarioResult) {
        let faulty: Vec<(usize, f64)> = self
            .scenario
            .faults
            .iter()
            .filter_map(|fault| match &fault.action {
                FaultAction::Upstream(index, mode) if !HEALTHY_MODES.contains(&mode.as_str()) => {
                    Some((*index, fault.at))
                }
                _ => None,
            })
            .collect();
        for (index, at) in &faulty {
            if let Some(seconds) = detection_seconds(run, &run.node_ids[*index], *at) {
                self.record(policy, "detection by all entries s", seconds);
            } else {
                self.record(policy, "undetected", 1.0);
            }
        }
        let ejected = run.node_ids.iter().enumerate().filter(|(index, node)| {
            let is_faulty = faulty.iter().any(|(faulty, _)| faulty == index);
            let samples =
                run.samples.iter().filter(|sample| !self.is_partitioned(sample.entry, *index));
            !is_faulty && samples.into_iter().any(|sample| is_ineligible(&sample.chosen, node))
        });
        self.record(policy, "wrongly ejected", ejected.count() as f64);
    }
}

/// Returns whether a request failed. A refusal is not a failure: it truthfully says that the request
/// was not run.
fn is_failure(request: &CompletedRequest) -> bool {
    !request.is_served() && request.outcome != "not-run"
}

fn is_ineligible(chosen: &IndexMap<(String, String), bool>, node: &str) -> bool {
    chosen.iter().any(|((gate, _), chosen)| gate == node && !chosen)
}

/// Returns the time from the fault until every entry has found the gate not eligible at least once.
fn detection_seconds(run: &ScenarioResult, node: &str, at: f64) -> Option<f64> {
    let mut first: IndexMap<usize, f64> = IndexMap::new();
    for sample in run.samples.iter().filter(|sample| sample.at.as_secs_f64() > at) {
        if is_ineligible(&sample.chosen, node) {
            first.entry(sample.entry).or_insert(sample.at.as_secs_f64() - at);
        }
    }
    if first.len() < run.node_ids.len() {
        return None;
    }
    first.values().copied().reduce(f64::max)
}

fn served_shares(scenario: &Scenario, completed: &[CompletedRequest]) -> Vec<(f64, f64)> {
    let count = scenario.duration().as_millis() / BUCKET_LENGTH.as_millis();
    let mut counts = vec![(0_u32, 0_u32); usize::try_from(count).unwrap_or_default() + 1];
    for request in completed {
        let index = usize::try_from(request.due.as_millis() / BUCKET_LENGTH.as_millis());
        if let Some(count) = counts.get_mut(index.unwrap_or_default()) {
            count.0 += 1;
            count.1 += u32::from(request.is_served());
        }
    }
    let points = counts.iter().enumerate().filter(|(_, (total, _))| *total > 0);
    points
        .map(|(index, (total, served))| {
            let seconds = BUCKET_LENGTH.as_secs_f64() * index as f64;
            (seconds, f64::from(*served) * 100.0 / f64::from(*total))
        })
        .collect()
}

fn format_cell(values: &[f64]) -> String {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let median = sorted[sorted.len() / 2];
    let (least, greatest) = (sorted[0], sorted[sorted.len() - 1]);
    format!("{median:.2} ({least:.2} to {greatest:.2})")
}
