//! The command `explain`.

use std::path::PathBuf;

use argh::FromArgs;

use super::CommandError;
use crate::explain::{NodeLog, explain};

/// trace one request through the logs of the nodes
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct ExplainArgs {
    /// id of the request
    #[argh(positional)]
    request: String,
    /// log files, one for each node
    #[argh(positional)]
    files: Vec<PathBuf>,
}

impl ExplainArgs {
    /// Prints the trace of the request.
    pub fn run(&self) -> Result<(), CommandError> {
        let logs = self.files.iter().map(|path| {
            let text = std::fs::read(path)
                .map_err(|fault| CommandError::Log { path: path.clone(), fault })?;
            let name = path.file_stem().unwrap_or_default().to_string_lossy();
            Ok(NodeLog::parse(&String::from_utf8_lossy(&text), &name))
        });
        let logs = logs.collect::<Result<Vec<NodeLog>, CommandError>>()?;
        let trace = explain(&self.request, &logs);
        let trace = trace.ok_or_else(|| CommandError::UnknownRequest(self.request.clone()))?;
        println!("{trace}");
        Ok(())
    }
}
