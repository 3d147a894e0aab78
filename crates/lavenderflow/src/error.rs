//! Errors of nodes and keys.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// An error that keeps a node from starting or makes it stop.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// An address cannot be bound.
    #[error("cannot listen on {address}: {fault}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error that the library reported.
        fault: String,
    },
    /// A thread cannot be started.
    #[error("cannot start a thread: {0}")]
    Thread(io::Error),
    /// Signals cannot be handled.
    #[error("cannot handle signals: {0}")]
    Signal(io::Error),
    /// An asynchronous runtime cannot be created.
    #[error("cannot create the runtime: {0}")]
    Runtime(io::Error),
    /// The keys cannot be used.
    #[error(transparent)]
    Key(#[from] KeyError),
    /// The statsd client cannot be created.
    #[error("cannot send metrics: {0}")]
    Metrics(#[from] cadence::MetricError),
}

/// An error in reading, generating or writing keys.
#[derive(Debug, thiserror::Error)]
pub enum KeyError {
    /// A file is missing or not valid PEM of the expected kind.
    #[error("{path}: {fault}")]
    File {
        /// The file.
        path: PathBuf,
        /// The error.
        fault: rustls::pki_types::pem::Error,
    },
    /// The certificates and the key do not match.
    #[error("certificates: {0}")]
    Tls(#[from] rustls::Error),
    /// The authority cannot verify certificates.
    #[error("authority: {0}")]
    Verifier(#[from] rustls::server::VerifierBuilderError),
    /// The cipher suites lack the one that QUIC requires for initial packets.
    #[error("cipher suites: {0}")]
    Suite(#[from] quinn::crypto::rustls::NoInitialCipherSuite),
    /// Keys cannot be generated.
    #[error("generation: {0}")]
    Generate(#[from] rcgen::Error),
    /// A file cannot be written.
    #[error("cannot write {path}: {fault}")]
    Write {
        /// The file.
        path: PathBuf,
        /// The I/O error.
        fault: io::Error,
    },
}
