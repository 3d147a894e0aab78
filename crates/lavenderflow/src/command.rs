//! The command line.

pub mod check;
pub mod configure;
pub mod explain;
pub mod keys;
pub mod node;
pub mod platform;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use argh::FromArgs;
use env_logger::Target;
use lavenderflow_platform::node_file::NodeFileError;
use lavenderflow_schema::setting::SettingsError;
use lavenderflow_schema::settings::{CheckArgs, NodeArgs};

use crate::clock::SystemClock;
use crate::error::{KeyError, NodeError};
use crate::logging::{self, Log};
use crate::operator::{OperatorClient, OperatorError};
use configure::{OrganisationArgs, ProfileArgs, RouteArgs, ServiceArgs};
use explain::ExplainArgs;
use keys::KeysArgs;

/// A proxy fleet for upstreams with gray failures.
#[derive(Debug, FromArgs)]
#[argh(note = "Exit codes: 0 done, 1 wrong usage, 2 invalid settings or values, 3 conflict with \
    another change, 4 the store failed, 5 the node cannot be reached, 6 the node cannot start. \
    check FILE: 0 no findings, 1 warnings only, 2 errors.")]
pub struct CommandLine {
    #[argh(subcommand)]
    action: Action,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Action {
    Check(CheckArgs),
    Drain(DrainArgs),
    Explain(ExplainArgs),
    Keys(KeysArgs),
    Node(NodeArgs),
    Organisation(OrganisationArgs),
    Platform(PlatformArgs),
    Profile(ProfileArgs),
    Route(RouteArgs),
    Service(ServiceArgs),
    Status(StatusArgs),
}

/// show the status of a node and its view of the fleet
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
struct StatusArgs {
    /// the node's address for operators
    #[argh(option)]
    node: SocketAddr,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// run a node on the platform, with the settings file that the platform wrote
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "platform")]
pub struct PlatformArgs {
    /// check the settings file and exit
    #[argh(switch)]
    check: bool,
}

/// stop a node gracefully
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "drain")]
struct DrainArgs {
    /// the node's address for operators
    #[argh(option)]
    node: SocketAddr,
}

/// An error of a command.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// The settings are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The platform's settings file is invalid.
    #[error(transparent)]
    NodeFile(#[from] NodeFileError),
    /// The node cannot run.
    #[error(transparent)]
    Node(#[from] NodeError),
    /// Keys cannot be generated or used.
    #[error(transparent)]
    Key(#[from] KeyError),
    /// An operator's command failed.
    #[error(transparent)]
    Operator(#[from] OperatorError),
    /// A log file cannot be read.
    #[error("{path}: {fault}")]
    Log {
        /// The file.
        path: PathBuf,
        /// The I/O error.
        fault: std::io::Error,
    },
    /// A configuration cannot be read.
    #[error("{path}: {fault}")]
    File {
        /// The file.
        path: PathBuf,
        /// The I/O error.
        fault: std::io::Error,
    },
    /// No log has lines about the request.
    #[error("no log has lines about request {0}")]
    UnknownRequest(String),
    /// The output cannot be serialized.
    #[error("output: {0}")]
    Output(#[from] serde_json::Error),
}

impl CommandError {
    /// Returns the exit code.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Settings(_)
            | Self::NodeFile(_)
            | Self::Key(_)
            | Self::File { .. }
            | Self::Log { .. }
            | Self::UnknownRequest(_) => 2,
            Self::Operator(error) => match error {
                OperatorError::Conflict { .. } => 3,
                OperatorError::Store(_) | OperatorError::Unresolved { .. } => 4,
                OperatorError::NodeUnreachable { .. } => 5,
                _ => 2,
            },
            Self::Node(_) | Self::Output(_) => 6,
        }
    }
}

/// Parses the command line and runs the command.
pub fn main() -> ExitCode {
    let command: CommandLine = argh::from_env();
    let (log, result) = match start_log(&command.action) {
        Ok(log) => (log, run(command.action)),
        Err(error) => (None, Err(error.into())),
    };
    if let Some(log) = log {
        log.flush();
    }
    match result {
        Ok(status) => ExitCode::from(status),
        Err(error) => {
            eprintln!("lavenderflow: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

/// Starts the log. Nodes log to standard output, without blocking on it. Operators' commands print
/// their results there, so they log to standard error.
fn start_log(action: &Action) -> Result<Option<Log>, NodeError> {
    match action {
        Action::Node(_) | Action::Platform(_) => {
            Log::install(std::io::stdout(), Arc::new(SystemClock)).map(Some)
        }
        _ => {
            logging::builder().target(Target::Stderr).init();
            Ok(None)
        }
    }
}

/// Runs the command; returns the exit status.
fn run(action: Action) -> Result<u8, CommandError> {
    let result = match action {
        Action::Check(args) => return check::run(&args),
        Action::Node(args) => node::run(&args),
        Action::Keys(args) => Ok(keys::run(&args)?),
        Action::Explain(args) => args.run(),
        Action::Drain(args) => Ok(OperatorClient::drain(args.node)?),
        Action::Status(args) => status(&args),
        Action::Organisation(args) => args.run(),
        Action::Platform(args) => platform::run(&args),
        Action::Profile(args) => args.run(),
        Action::Route(args) => args.run(),
        Action::Service(args) => args.run(),
    };
    result.map(|()| 0)
}

fn status(args: &StatusArgs) -> Result<(), CommandError> {
    let status = OperatorClient::status(args.node)?;
    if args.json {
        println!("{}", serde_json::to_string_pretty(&status)?);
    } else {
        println!("{}", status.render());
    }
    Ok(())
}
