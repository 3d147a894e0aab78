//! Checks the heads of callers' requests before they are routed.

use hyper::Version;
use hyper::body::Incoming;
use lavenderflow_core::catalog::RequestLimits;
use lavenderflow_core::connections::CloseReason;
use lavenderflow_core::memory::OverLimit;
use lavenderflow_schema::dialect::HeaderError;

use super::request_head::AmbiguousLength;
use crate::prelude::*;

/// Default limit of the header section, in bytes.
const DEFAULT_HEADER_BYTES: usize = 16 * 1024;

/// Why a request is rejected before it is routed.
#[derive(Debug, thiserror::Error)]
pub(super) enum CallerError {
    #[error("the header section has {0} bytes")]
    HeadersTooLarge(usize),
    #[error("HTTP version {0:?} cannot signal a truncated response")]
    Version(Version),
    #[error("the request has no Host header, or more than one")]
    Host,
    #[error("the body has {0} bytes")]
    BodyTooLarge(u64),
    #[error(transparent)]
    Fields(#[from] HeaderError),
    #[error("the length of the body is ambiguous")]
    Length,
    #[error("body: {0}")]
    Body(#[from] hyper::Error),
    #[error("the node stops before the body has arrived")]
    Stopping,
    #[error("the body arrives too late for its caller")]
    LateBody,
    #[error("the connection is closed: {}", .0.name())]
    Closing(CloseReason),
    #[error(transparent)]
    Memory(#[from] OverLimit),
    #[error("the body consists of {0} chunks of {1} bytes")]
    SmallChunks(u32, usize),
}

impl CallerError {
    /// Returns the reason that the caller is told.
    pub(super) fn reason(&self) -> Reason {
        match self {
            Self::HeadersTooLarge(_) => Reason::HeadersTooLarge,
            Self::BodyTooLarge(_) => Reason::BodyTooLarge,
            Self::Fields(HeaderError::Ticket(_)) => Reason::TicketInvalid,
            Self::Closing(CloseReason::Timeout) => Reason::RequestTimeout,
            Self::Closing(_) | Self::Memory(_) => Reason::MemoryLimit,
            Self::SmallChunks(..)
            | Self::Version(_)
            | Self::Fields(HeaderError::Deadline)
            | Self::Host
            | Self::Length
            | Self::Body(_) => Reason::BadRequest,
            Self::Stopping => Reason::Leaving,
            Self::LateBody => Reason::DeadlinePast,
        }
    }
}

/// Checks the head of a request; returns its host and the declared length of its body.
pub(super) fn check_request(
    request: &hyper::Request<Incoming>,
    headers: &[(String, String)],
    limits: RequestLimits,
) -> Result<(String, Option<u64>), CallerError> {
    let size: usize = headers.iter().map(|(name, value)| name.len() + value.len() + 4).sum();
    let target = request.uri().path_and_query().map_or("/", |path| path.as_str());
    if size + target.len() > limits.header_bytes.unwrap_or(DEFAULT_HEADER_BYTES) {
        return Err(CallerError::HeadersTooLarge(size));
    }
    if request.version() < Version::HTTP_11 {
        return Err(CallerError::Version(request.version()));
    }
    let mut hosts = headers.iter().filter(|(name, _)| name.eq_ignore_ascii_case("host"));
    let (Some((_, host)), None) = (hosts.next(), hosts.next()) else {
        return Err(CallerError::Host);
    };
    if request.extensions().get::<AmbiguousLength>().is_some() {
        return Err(CallerError::Length);
    }
    let declared = body_length(headers)?;
    if let Some(length) = declared.filter(|length| limits.body_bytes.is_some_and(|m| *length > m)) {
        return Err(CallerError::BodyTooLarge(length));
    }
    Ok((host.clone(), declared))
}

/// Returns the declared length of the body; `None` if it is chunked. Refuses requests whose length
/// this node and an upstream could read differently (request smuggling).
fn body_length(headers: &[(String, String)]) -> Result<Option<u64>, CallerError> {
    let values = |wanted: &str| {
        let matches = headers.iter().filter(|(name, _)| name.eq_ignore_ascii_case(wanted));
        matches.map(|(_, value)| value.as_str()).collect::<Vec<&str>>()
    };
    let (lengths, codings) = (values("content-length"), values("transfer-encoding"));
    let is_number = |text: &str| !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
    match (lengths.as_slice(), codings.as_slice()) {
        ([], []) => Ok(Some(0)),
        ([length], []) if is_number(length) => {
            length.parse().map(Some).map_err(|_| CallerError::Length)
        }
        ([], [coding]) if coding.eq_ignore_ascii_case("chunked") => Ok(None),
        _ => Err(CallerError::Length),
    }
}
