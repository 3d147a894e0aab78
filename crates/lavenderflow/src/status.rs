//! The status of a node, as reported to operators.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// The status of a node.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Status {
    /// Name of the node.
    pub node: String,
    /// Availability zone.
    pub zone: String,
    /// State of the node's life cycle.
    pub state: String,
    /// Requests in flight at the entry.
    pub requests: usize,
    /// Attempts that the gate runs on upstreams.
    pub running: usize,
    /// Running attempts whose slot has no owner, and which therefore never end; always 0.
    #[serde(default)]
    pub orphaned: usize,
    /// Tickets in the ledger.
    pub tickets: usize,
    /// Upstreams on this VM.
    pub upstreams: Vec<UpstreamStatus>,
    /// Services known to this entry.
    pub services: Vec<ServiceStatus>,
    /// Organisations whose requests this node refuses, because they have used up their allowance.
    #[serde(default)]
    pub limited: Vec<LimitStatus>,
    /// All nodes of the fleet.
    pub members: Vec<MemberStatus>,
    /// Revision of each configuration key.
    pub revisions: IndexMap<String, Revision>,
    /// Configuration documents that cannot be read, and organisations of a deployment whose entries
    /// cannot; the last good versions stay active.
    pub rejected: Vec<RejectedStatus>,
    /// Nonzero counters.
    pub counters: IndexMap<String, u64>,
}

/// An upstream on the node's VM.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct UpstreamStatus {
    /// Id.
    pub id: String,
    /// Service.
    pub service: String,
    /// State of its life cycle.
    pub state: String,
    /// `well`, `ejected` or `trial`.
    pub condition: String,
    /// Evidence of failures, as weighed by outlier detection.
    pub evidence: f32,
    /// Running requests.
    pub busy: u32,
    /// Current limit of concurrent requests.
    pub slots: u32,
    /// Smoothed latency of short requests, in microseconds.
    pub pace_us: u64,
}

/// A service, as seen by an entry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServiceStatus {
    /// Name.
    pub name: String,
    /// Name of its profile.
    pub profile: String,
    /// Minimum share of slots that stay eligible, in percent.
    pub floor_percent: u32,
    /// Gates that offer it.
    pub gates: Vec<GateStatus>,
}

/// A gate, as seen by an entry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct GateStatus {
    /// Node id of the gate, in hexadecimal.
    pub node: String,
    /// Announced slots.
    pub slots: u32,
    /// Whether the gate is eligible for requests.
    pub chosen: bool,
    /// Signs of a failure, or why the gate is not eligible; empty if there are none.
    pub suspicion: String,
}

/// An organisation that has used up its allowance, as seen by an entry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LimitStatus {
    /// Name.
    pub organisation: String,
    /// Time until a request may be allowed, in milliseconds.
    pub retry_ms: u64,
    /// Whether no lender can be reached, so that the entry uses the fallback.
    pub fallback: bool,
}

/// A node, as seen by another node.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct MemberStatus {
    /// Id in hexadecimal.
    pub id: String,
    /// Name.
    pub name: String,
    /// Zone.
    pub zone: String,
    /// Address for callers.
    pub callers: String,
    /// `alive`, `leaving` or `expelled`.
    pub state: String,
}

/// A configuration document, or an entry of one, that cannot be read.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RejectedStatus {
    /// Key.
    pub key: String,
    /// Revision.
    pub revision: Revision,
    /// The error in the document.
    pub fault: String,
}

/// Returns the name of a condition in the status and the log.
pub fn condition_name(condition: Condition) -> &'static str {
    match condition {
        Condition::Healthy => "well",
        Condition::Ejected => "ejected",
        Condition::Trial => "trial",
    }
}

impl Status {
    /// Renders the status for a terminal.
    pub fn render(&self) -> String {
        let mut lines = vec![
            format!("node {} zone {} {}", self.node, self.zone, self.state),
            format!(
                "requests {} running {} orphaned {} tickets {}",
                self.requests, self.running, self.orphaned, self.tickets
            ),
            String::new(),
            format!("members {}", self.members.len()),
        ];
        for member in &self.members {
            let MemberStatus { name, zone, callers, state, .. } = member;
            lines.push(format!("  {name:<16} {zone:<12} {callers:<22} {state}"));
        }
        lines.push(String::new());
        lines.push(format!("upstreams {}", self.upstreams.len()));
        for upstream in &self.upstreams {
            let UpstreamStatus { id, service, state, condition, busy, slots, .. } = upstream;
            lines
                .push(format!("  {id:<16} {service:<12} {state:<9} {condition:<8} {busy}/{slots}"));
        }
        for service in &self.services {
            lines.push(String::new());
            lines.extend(render_service(service));
        }
        if !self.limited.is_empty() {
            lines.push(String::new());
            lines.push(format!("organisations over their allowance {}", self.limited.len()));
        }
        for LimitStatus { organisation, retry_ms, fallback } in &self.limited {
            let source = if *fallback { "fallback" } else { "lender" };
            lines.push(format!("  {organisation:<16} retry in {retry_ms} ms, by {source}"));
        }
        lines.push(String::new());
        lines.push("configuration".to_owned());
        lines.extend(self.revisions.iter().map(|(key, revision)| format!("  {key} {revision}")));
        for RejectedStatus { key, revision, fault } in &self.rejected {
            lines.push(format!("  {key} {revision} REJECTED: {fault}"));
        }
        lines.push(String::new());
        lines.push("counters".to_owned());
        lines.extend(self.counters.iter().map(|(name, count)| format!("  {name} {count}")));
        lines.join("\n")
    }
}

fn render_service(service: &ServiceStatus) -> Vec<String> {
    let out = service.gates.iter().filter(|gate| !gate.chosen).count();
    let held = service.gates.iter().filter(|g| g.chosen && !g.suspicion.is_empty()).count();
    let mut lines = vec![format!(
        "service {} profile {} floor {}%: {} gates, {out} out, {held} held in by the floor",
        service.name,
        service.profile,
        service.floor_percent,
        service.gates.len(),
    )];
    for gate in service.gates.iter().filter(|gate| !gate.suspicion.is_empty()) {
        let place = if gate.chosen { "held in" } else { "out" };
        lines.push(format!("  {} slots {} {place}: {}", gate.node, gate.slots, gate.suspicion));
    }
    lines
}
