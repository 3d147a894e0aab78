//! Checks a configuration without a node: what a node would reject, what can never take effect,
//! what contradicts itself, and what changes for callers.
//!
//! The conversion is the one that nodes apply.

mod change;
mod contradiction;
mod load;
mod reach;
mod render;

use lavenderflow_platform::node_file::NodeFile;
use serde::Serialize;

pub use self::load::Format;
use self::load::Loaded;

/// How serious a finding is.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Severity {
    /// A node rejects the configuration, or does not use the entry.
    Error,
    /// A node uses it, but it cannot mean what its author wanted.
    Warning,
}

/// Something that is wrong with a configuration.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Finding {
    /// How serious it is.
    pub severity: Severity,
    /// Line, from 1; `None` if it belongs to no line.
    pub line: Option<usize>,
    /// Kind and name of the entry, such as `routes/r-1`; empty for the whole.
    pub entry: String,
    /// Name of the field; empty for the whole entry.
    pub field: String,
    /// What is wrong, and what a node does about it.
    pub message: String,
}

/// What changes for callers when a configuration replaces the active one.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Change {
    /// `added`, `removed` or `changed`.
    pub kind: &'static str,
    /// Kind and name of the entry.
    pub entry: String,
    /// What it means for callers.
    pub effect: String,
}

/// The result of a check.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Report {
    /// Format of the configuration.
    pub format: Format,
    /// Its version; 0 if it cannot be read.
    pub version: u64,
    /// Number of routes.
    pub routes: usize,
    /// Number of organisations.
    pub organisations: usize,
    /// What is wrong, errors first, then by line.
    pub findings: Vec<Finding>,
    /// What changes; `None` without an active version to compare with.
    pub changes: Option<Vec<Change>>,
}

/// Exit status of a check without findings.
const CLEAN_STATUS: u8 = 0;
/// Exit status of a check with warnings only.
const WARNING_STATUS: u8 = 1;
/// Exit status of a check with errors.
const ERROR_STATUS: u8 = 2;

impl Report {
    /// Returns the exit status: 0 without findings, 1 with warnings only, 2 with errors.
    pub fn exit_status(&self) -> u8 {
        match self.findings.iter().map(|finding| finding.severity).min() {
            None => CLEAN_STATUS,
            Some(Severity::Warning) => WARNING_STATUS,
            Some(Severity::Error) => ERROR_STATUS,
        }
    }
}

fn is_error(finding: &&Finding) -> bool {
    finding.severity == Severity::Error
}

/// Checks a configuration, with the settings of a node and the active version if they are given.
///
/// # Examples
///
/// ```
/// use lavenderflow::check::check;
///
/// let text = br#"{"version": "c", "resources": [
///     {"resource_type": "routes", "metadata": {"name": "r-1"}, "spec": {
///         "host": "a.example", "path_prefix": "/a", "kind": "idempotent", "service": "a",
///         "timeout_s": "soon"}}]}"#;
/// let report = check(text, None, None);
/// assert_eq!(report.findings[0].line, Some(4));
/// assert_eq!(report.exit_status(), 2);
/// ```
pub fn check(text: &[u8], active: Option<&[u8]>, settings: Option<&NodeFile>) -> Report {
    let loaded = Loaded::read(text);
    let mut findings = loaded.findings.clone();
    // What an entry with errors means depends on defaults in place of its fields.
    let faulty: Vec<String> = findings.iter().filter(is_error).map(|f| f.entry.clone()).collect();
    let further = reach::find(&loaded).into_iter().chain(contradiction::find(&loaded, settings));
    findings.extend(further.filter(|finding| !faulty.contains(&finding.entry)));
    let changes = active.map(|active| {
        let active = Loaded::read(active);
        findings.extend(change::check_version(&loaded, &active));
        change::list(&loaded, &active)
    });
    findings.sort_by_key(|finding| (finding.severity, finding.line));
    Report {
        format: loaded.format,
        version: loaded.revision,
        routes: loaded.stored.routes.len(),
        organisations: loaded.stored.organisations.len() + loaded.stored.unreadable.len(),
        findings,
        changes,
    }
}
