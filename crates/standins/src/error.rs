//! Errors of the stand-ins.

use std::io;
use std::net::SocketAddr;

/// Why a stand-in failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An operation on a socket, file or process failed.
    #[error("I/O error: {0}")]
    Io(#[from] io::Error),
    /// An HTTP request failed.
    #[error("HTTP request failed: {0}")]
    Http(#[from] ureq::Error),
    /// The stand-in's thread has ended.
    #[error("the stand-in has stopped")]
    Stopped,
    /// A condition did not become true in time.
    #[error("timed out waiting for: {0}")]
    Timeout(&'static str),
    /// An HTTP message is malformed.
    #[error("malformed HTTP message from {0}")]
    Malformed(SocketAddr),
    /// A process cannot be signalled.
    #[error("cannot signal the process: {0}")]
    Signal(#[from] rustix::io::Errno),
    /// The histogram cannot be created.
    #[error("cannot create the histogram: {0}")]
    Histogram(#[from] hdrhistogram::CreationError),
}
