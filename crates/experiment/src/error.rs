//! Failures of experiments.

use std::path::PathBuf;

/// Why an experiment failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A stand-in failed.
    #[error(transparent)]
    Standin(#[from] lavenderflow_standins::error::Error),
    /// Keys cannot be made.
    #[error(transparent)]
    Key(#[from] lavenderflow::error::KeyError),
    /// The site cannot be configured.
    #[error(transparent)]
    Operator(#[from] lavenderflow::operator::OperatorError),
    /// A file cannot be read or written.
    #[error("{path}: {fault}")]
    File {
        /// The file.
        path: PathBuf,
        /// The fault.
        fault: std::io::Error,
    },
    /// A scenario is malformed.
    #[error("{path}: {fault}")]
    Scenario {
        /// The file.
        path: PathBuf,
        /// The fault.
        fault: serde_json::Error,
    },
    /// A scenario names something that is not there.
    #[error("scenario: {0} is not known")]
    Unknown(String),
    /// A histogram cannot be made.
    #[error(transparent)]
    Histogram(#[from] hdrhistogram::CreationError),
    /// A plot cannot be drawn.
    #[error("plot: {0}")]
    Plot(String),
    /// Input or output failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}
