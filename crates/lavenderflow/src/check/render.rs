//! Renders the result of a check for a terminal.

use super::{Change, Finding, Format, Report, Severity};

impl Report {
    /// Renders the result for a terminal.
    pub fn render(&self) -> String {
        let format = match self.format {
            Format::Platform => "the platform's format",
            Format::Product => "the product's format",
        };
        let (routes, organisations) = (self.routes, self.organisations);
        let mut lines = vec![format!(
            "version {:x} in {format}: routes {routes}, organisations {organisations}",
            self.version
        )];
        lines.extend(self.findings.iter().map(render_finding));
        if let Some(changes) = &self.changes {
            lines.push(format!("changes for callers: {}", changes.len()));
            lines.extend(
                changes
                    .iter()
                    .map(|Change { kind, entry, effect }| format!("  {kind} {entry}: {effect}")),
            );
        }
        let count = |severity| self.findings.iter().filter(|f| f.severity == severity).count();
        let (errors, warnings) = (count(Severity::Error), count(Severity::Warning));
        lines.push(format!("errors {errors}, warnings {warnings}"));
        lines.join("\n")
    }
}

fn render_finding(finding: &Finding) -> String {
    let severity = match finding.severity {
        Severity::Error => "error",
        Severity::Warning => "warning",
    };
    let Finding { line, entry, field, message, .. } = finding;
    let line = line.map(|line| format!(" line {line}")).unwrap_or_default();
    let mut place = entry.clone();
    // Errors of the conversion name their field already.
    if !field.is_empty() && !message.contains(&format!("field {field} ")) {
        place = format!("{place} {field}").trim_start().to_owned();
    }
    let place = if place.is_empty() { String::new() } else { format!(" {place}:") };
    format!("{severity}{line}{place} {message}")
}
