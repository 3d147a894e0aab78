//! HTTP representation of requests, responses and announcements.
//!
//! A node's decisions do not depend on the HTTP headers that its callers and upstreams use. A
//! dialect converts the headers to types of the core crate and back.

use std::fmt::Debug;
use std::time::Duration;

use lavenderflow_core::gate::{RateSignal, UpstreamSignals};
use lavenderflow_core::id::{KeyDigest, OrganisationName, TicketError, TicketId};
use lavenderflow_core::reason::{Outcome, Reason};
use lavenderflow_core::upstream::Announcement;

use crate::convert::ConvertError;

/// HTTP headers in order, as pairs of name and value.
pub type Headers = Vec<(String, String)>;

/// Returns the value of a header; the name is case-insensitive.
///
/// # Examples
///
/// ```
/// use lavenderflow_schema::dialect::find_header;
///
/// let headers = vec![("Host".to_owned(), "a.example".to_owned())];
/// assert_eq!(find_header(&headers, "host"), Some("a.example"));
/// ```
pub fn find_header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
}

/// Sets a header and removes all others of the same name.
pub fn set_header(headers: &mut Headers, name: &str, value: impl Into<String>) {
    headers.retain(|(n, _)| !n.eq_ignore_ascii_case(name));
    headers.push((name.to_owned(), value.into()));
}

/// The caller's headers of a request, parsed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestMetadata {
    /// Request id for logs and responses.
    pub id: Option<String>,
    /// Time for which the caller waits.
    pub timeout: Option<Duration>,
    /// Ticket that the request uses.
    pub ticket: Option<TicketId>,
    /// Organisation that the caller says it belongs to.
    pub organisation: Option<OrganisationName>,
    /// Digest of the key that identifies the caller's organisation.
    pub key: Option<KeyDigest>,
}

/// An invalid header of a caller's request.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum HeaderError {
    /// The deadline is not a number.
    #[error("the deadline is not a whole number of milliseconds")]
    Deadline,
    /// The ticket is malformed.
    #[error("ticket: {0}")]
    Ticket(#[from] TicketError),
}

/// Parses the value of a header with a limit in requests per second.
///
/// # Examples
///
/// ```
/// use lavenderflow_core::gate::RateSignal;
/// use lavenderflow_schema::dialect::parse_rate;
///
/// assert_eq!(parse_rate(None), RateSignal::Unlimited);
/// assert_eq!(parse_rate(Some("2.5")), RateSignal::PerSecond(2.5));
/// assert_eq!(parse_rate(Some("-1")), RateSignal::Unreadable);
/// ```
pub fn parse_rate(value: Option<&str>) -> RateSignal {
    let Some(value) = value else { return RateSignal::Unlimited };
    match value.trim().parse::<f64>() {
        Ok(rate) if rate.is_finite() && rate >= 0.0 => RateSignal::PerSecond(rate),
        _ => RateSignal::Unreadable,
    }
}

/// What an upstream's response shows about the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResponseClass {
    /// The request ran, and this is its response.
    Answer {
        /// Whether the response names the request, or upstreams need not do so. If it does not, it
        /// may be a stray response on a connection that has carried other requests.
        is_named: bool,
    },
    /// The request did not run and will not run.
    NotRun {
        /// Reason for the refusal.
        reason: Reason,
        /// Whether the response names the request. If it does not, it may repeat the refusal of an
        /// earlier request on the same connection.
        is_named: bool,
    },
    /// The response does not verifiably belong to the request, which may have run.
    Foreign,
}

impl ResponseClass {
    /// Returns the class of the same response on a connection that has carried other requests.
    ///
    /// # Examples
    ///
    /// ```
    /// use lavenderflow_schema::dialect::ResponseClass;
    ///
    /// let stray = ResponseClass::Answer { is_named: false };
    /// assert_eq!(stray.on_reused_connection(), ResponseClass::Foreign);
    /// let own = ResponseClass::Answer { is_named: true };
    /// assert_eq!(own.on_reused_connection(), own);
    /// ```
    #[must_use]
    pub fn on_reused_connection(self) -> Self {
        match self {
            Self::Answer { is_named: false } | Self::NotRun { is_named: false, .. } => {
                Self::Foreign
            }
            class => class,
        }
    }
}

/// The result of a request, from which the headers of its response are set.
#[derive(Clone, Debug, PartialEq)]
pub struct Completion {
    /// Request id.
    pub id: String,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Reason for the outcome.
    pub reason: Reason,
    /// Ticket under which the request ran, or a new ticket after a refusal.
    pub ticket: Option<TicketId>,
    /// Other nodes to try after a refusal.
    pub next_nodes: String,
    /// Time after which to retry a refused request.
    pub retry_after: Option<Duration>,
    /// Whether the response comes from an upstream.
    pub relayed: bool,
}

/// What a gate tells an upstream about a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UpstreamCall<'a> {
    /// Id of the upstream.
    pub upstream: &'a str,
    /// Time left until the deadline.
    pub remaining: Duration,
    /// Organisation that the request belongs to.
    pub organisation: Option<&'a str>,
}

/// Converts HTTP headers and statuses.
pub trait Dialect: Debug + Send + Sync {
    /// Parses the headers of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns an error that names the invalid header.
    fn parse_request(&self, headers: &[(String, String)]) -> Result<RequestMetadata, HeaderError>;

    /// Sets the headers that the entry adds to a request.
    fn set_forward_headers(&self, headers: &mut Headers, id: &str);

    /// Sets the headers that the gate adds to a request for an upstream.
    fn set_upstream_headers(&self, headers: &mut Headers, call: &UpstreamCall<'_>);

    /// Classifies an upstream's response: whether it belongs to the request `id` and whether that
    /// request ran.
    fn classify_response(
        &self,
        id: &str,
        status: u16,
        headers: &[(String, String)],
    ) -> ResponseClass;

    /// Parses what an upstream's response says about the upstream.
    fn parse_signals(&self, headers: &[(String, String)]) -> UpstreamSignals;

    /// Returns the status of a response that the node itself makes.
    fn response_status(&self, outcome: Outcome, reason: Reason) -> u16;

    /// Sets the node's headers on a response and removes headers that an upstream must not set.
    fn set_response_headers(&self, headers: &mut Headers, completion: &Completion);

    /// Returns whether upstreams cancel a request when its connection closes.
    fn cancels_on_close(&self) -> bool;

    /// Parses an announcement that an upstream sent to a path.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is malformed or the path is unknown.
    fn parse_announcement(&self, path: &str, text: &[u8]) -> Result<Announcement, ConvertError>;
}
