//! Traces one request through the logs of the nodes that handled it.
//!
//! Log lines have timestamps in whole seconds, so the order comes from the lines themselves: the
//! lines of the entry are in order, and each `dispatched` line names the gate whose lines follow
//! it.

use std::fmt::{self, Display, Formatter};

use lavenderflow_core::id::node_id;

use crate::prelude::*;

/// The log of one node, oldest line first.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NodeLog {
    /// Name of the node.
    pub name: String,
    /// The log lines.
    pub lines: Vec<String>,
}

impl NodeLog {
    /// Parses the text of a log. The node's name comes from the `started` line; without one it is
    /// `fallback`.
    ///
    /// # Examples
    ///
    /// ```
    /// use lavenderflow::explain::NodeLog;
    ///
    /// let log = NodeLog::parse("event=started node=vm-1 peers=127.0.0.1:1", "file");
    /// assert_eq!(log.name, "vm-1");
    /// ```
    pub fn parse(text: &str, fallback: &str) -> Self {
        let lines: Vec<String> = text.lines().map(str::to_owned).collect();
        let started = lines.iter().find(|line| field(line, "event") == Some("started"));
        let name = started.and_then(|line| field(line, "node")).unwrap_or(fallback).to_owned();
        Self { name, lines }
    }

    fn lines_of<'a>(&'a self, request: &'a str) -> impl Iterator<Item = &'a str> {
        let lines = self.lines.iter().map(String::as_str);
        lines.filter(move |line| field(line, "request") == Some(request))
    }
}

/// A line of a trace.
#[derive(Clone, Debug, PartialEq)]
pub struct TraceLine {
    /// The node that logged the line.
    pub node: String,
    /// Whether the node logged the line as the gate of an attempt.
    pub is_gate: bool,
    /// The line, starting at `event=`.
    pub text: String,
}

/// The log lines about a request, and the cause of its outcome.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestTrace {
    /// The lines, in causal order.
    pub lines: Vec<TraceLine>,
    /// The cause of the outcome, on one line.
    pub cause: String,
}

impl Display for RequestTrace {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for line in &self.lines {
            let indent = if line.is_gate { "    " } else { "" };
            writeln!(f, "{indent}{}: {}", line.node, line.text)?;
        }
        write!(f, "cause: {}", self.cause)
    }
}

/// Traces a request; returns `None` if no log has lines about it.
///
/// # Examples
///
/// ```
/// use lavenderflow::explain::{NodeLog, explain};
///
/// let text = "event=answered request=r1 outcome=not-run reason=not-configured";
/// let trace = explain("r1", &[NodeLog::parse(text, "vm-1")]).expect("a trace");
/// assert_eq!(trace.cause, "not-run by not-configured: no gate was asked");
/// assert!(explain("r2", &[]).is_none());
/// ```
pub fn explain(request: &str, logs: &[NodeLog]) -> Option<RequestTrace> {
    let is_entry = |log: &&NodeLog| {
        log.lines_of(request).any(|line| {
            matches!(field(line, "event"), Some("dispatched" | "answered" | "bad-request"))
        })
    };
    let entry = logs.iter().find(is_entry);
    let mut gates: IndexMap<NodeId, GateLines<'_>> = IndexMap::new();
    for log in logs {
        gates.insert(node_id(&log.name), GateLines::new(log, request));
    }
    let mut lines = Vec::new();
    for line in entry.into_iter().flat_map(|log| log.lines_of(request)) {
        if !is_entry_line(line) {
            continue;
        }
        lines.extend(entry.map(|log| trace_line(&log.name, line, false)));
        let gate = field(line, "gate").and_then(|gate| NodeId::from_str_radix(gate, 16).ok());
        let attempt = field(line, "attempt");
        if matches!(field(line, "event"), Some("dispatched" | "hedge-started"))
            && let Some(gate_lines) = gate.and_then(|gate| gates.get_mut(&gate))
        {
            let entry = entry.map(|log| node_id(&log.name)).unwrap_or_default();
            lines.extend(gate_lines.take_attempt(entry, attempt.unwrap_or_default()));
        }
    }
    // Lines that no dispatch accounts for, for example when the log of the entry is missing.
    for gate_lines in gates.values_mut() {
        lines.extend(gate_lines.take_rest());
    }
    let cause = cause(&lines);
    (!lines.is_empty()).then_some(RequestTrace { lines, cause })
}

/// The lines that one node logged as a gate, in the order of its log.
struct GateLines<'a> {
    log: &'a NodeLog,
    lines: Vec<&'a str>,
    next: usize,
}

impl<'a> GateLines<'a> {
    fn new(log: &'a NodeLog, request: &'a str) -> Self {
        let lines = log.lines_of(request).filter(|line| !is_entry_line(line)).collect();
        Self { log, lines, next: 0 }
    }

    /// Takes the lines of the next attempt: the admission decision, the lines up to the next
    /// decision, and the `ended` line of the attempt.
    fn take_attempt(&mut self, entry: NodeId, attempt: &str) -> Vec<TraceLine> {
        let remaining = &self.lines[self.next..];
        let is_decision =
            |line: &&str| matches!(field(line, "event"), Some("admitted" | "refused"));
        let length =
            remaining.iter().skip(1).position(is_decision).map_or(remaining.len(), |at| at + 1);
        self.next += length;
        let mut lines: Vec<TraceLine> =
            remaining[..length].iter().map(|line| trace_line(&self.log.name, line, true)).collect();
        let entry = format!("{entry:x}");
        let is_end = |line: &&String| {
            let is_same = field(line, "attempt") == Some(attempt);
            field(line, "event") == Some("ended") && is_same && field(line, "entry") == Some(&entry)
        };
        let end = self.log.lines.iter().find(is_end);
        lines.extend(end.map(|line| trace_line(&self.log.name, line, true)));
        lines
    }

    fn take_rest(&mut self) -> Vec<TraceLine> {
        let remaining = &self.lines[self.next..];
        self.next = self.lines.len();
        remaining.iter().map(|line| trace_line(&self.log.name, line, true)).collect()
    }
}

/// Returns whether a node logged a line as the entry of a request.
fn is_entry_line(line: &str) -> bool {
    let event = field(line, "event").unwrap_or_default();
    event.starts_with("hedge-")
        || matches!(
            event,
            "answered"
                | "attempt-lost"
                | "bad-request"
                | "dispatched"
                | "field-dropped"
                | "first-frame-late"
                | "first-frame-missing"
                | "response-truncated"
                | "unanswered"
        )
}

fn trace_line(node: &str, line: &str, is_gate: bool) -> TraceLine {
    let text = line.find("event=").map_or(line, |start| &line[start..]);
    TraceLine { node: node.to_owned(), is_gate, text: text.to_owned() }
}

/// Describes the cause of the outcome: the decision of the last gate, or how its run ended.
fn cause(lines: &[TraceLine]) -> String {
    let last_of = |event| lines.iter().rev().find(|line| field(&line.text, "event") == Some(event));
    if let Some(unanswered) = last_of("unanswered") {
        let value_of = |name| field(&unanswered.text, name).unwrap_or("unknown");
        let (reason, bytes) = (value_of("reason"), value_of("sent_bytes"));
        return format!("no complete answer by {reason}: bytes sent {bytes}");
    }
    let Some(answered) = last_of("answered") else {
        return "unknown: the `answered` line is missing".to_owned();
    };
    let value_of = |name| field(&answered.text, name).unwrap_or("unknown");
    let (outcome, reason) = (value_of("outcome"), value_of("reason"));
    let last = lines.iter().rev().find(|line| line.is_gate);
    let Some(last) = last else {
        return format!("{outcome} by {reason}: no gate was asked");
    };
    let dispatched = lines.iter().filter(|line| field(&line.text, "event") == Some("dispatched"));
    let result = last.text.strip_prefix("event=").unwrap_or(&last.text);
    format!(
        "{outcome} by {reason} after {} gates; last, {}: {result}",
        dispatched.count(),
        last.node
    )
}

/// Returns the value of a key in a line.
fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let words = line.split_ascii_whitespace();
    words.filter_map(|word| word.split_once('=')).find(|(key, _)| *key == name).map(|(_, v)| v)
}
