//! Failures of the stand-ins.

use std::io;
use std::net::SocketAddr;

/// Why a stand-in failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A socket, file or process failed.
    #[error("input or output: {0}")]
    Io(#[from] io::Error),
    /// A request failed.
    #[error("request: {0}")]
    Http(#[from] ureq::Error),
    /// The stand-in's thread has ended.
    #[error("the stand-in has stopped")]
    Stopped,
    /// A condition did not come true in time.
    #[error("{0} did not come true in time")]
    Timeout(&'static str),
    /// A message is malformed.
    #[error("malformed HTTP message from {0}")]
    Malformed(SocketAddr),
    /// A process cannot be signalled.
    #[error("signal: {0}")]
    Signal(#[from] rustix::io::Errno),
    /// The histogram cannot be made.
    #[error("histogram: {0}")]
    Histogram(#[from] hdrhistogram::CreationError),
}
