//! The command `check`: checks a configuration, or the settings and keys of a node.

use std::fs;
use std::path::Path;

use lavenderflow_platform::node_file;
use lavenderflow_schema::settings::CheckArgs;

use super::{CommandError, node};
use crate::check::{Finding, Severity, check};

/// Checks the configuration and prints the findings, or without one checks the settings and keys.
/// Returns the exit status.
///
/// # Errors
///
/// A file cannot be read, or the settings and keys are invalid.
pub fn run(args: &CheckArgs) -> Result<u8, CommandError> {
    let Some(file) = &args.file else {
        return node::check(args).map(|()| 0);
    };
    let text = read(file)?;
    let active = args.against.as_deref().map(read).transpose()?;
    let settings = args.settings.as_deref().map(node_file::read).transpose();
    let mut report =
        check(&text, active.as_deref(), settings.as_ref().ok().and_then(Option::as_ref));
    if let Err(fault) = settings {
        let finding = Finding {
            severity: Severity::Error,
            line: None,
            entry: "settings".to_owned(),
            field: String::new(),
            message: fault.to_string(),
        };
        report.findings.insert(0, finding);
    }
    if args.json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        println!("{}", report.render());
    }
    Ok(report.exit_status())
}

fn read(path: &Path) -> Result<Vec<u8>, CommandError> {
    fs::read(path).map_err(|fault| CommandError::File { path: path.to_owned(), fault })
}
