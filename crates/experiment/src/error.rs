//! Errors of experiments.

use std::path::PathBuf;

/// Why an experiment failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A stand-in failed.
    #[error(transparent)]
    Standin(#[from] lavenderflow_standins::error::Error),
    /// Keys cannot be created.
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
        /// The cause.
        fault: std::io::Error,
    },
    /// A scenario is malformed.
    #[error("{path}: {fault}")]
    Scenario {
        /// The file.
        path: PathBuf,
        /// The cause.
        fault: serde_json::Error,
    },
    /// A name in a scenario or in the arguments is unknown.
    #[error("unknown name: {0}")]
    Unknown(String),
    /// A histogram cannot be created.
    #[error(transparent)]
    Histogram(#[from] hdrhistogram::CreationError),
    /// A plot cannot be drawn.
    #[error("cannot draw the plot: {0}")]
    Plot(String),
    /// An I/O operation failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}
