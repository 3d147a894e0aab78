//! Names of headers, and which headers are forwarded.

use hyper::HeaderMap;

use lavenderflow_schema::dialect::Headers;
pub use lavenderflow_schema::dialect::find_header;

/// Id of a request, for logs and responses.
pub const REQUEST_ID: &str = "lavenderflow-request-id";
/// The ticket of a request, or a new one after a refusal.
pub const TICKET: &str = "lavenderflow-ticket";
/// Outcome of a request.
pub const OUTCOME: &str = "lavenderflow-outcome";
/// Reason for the outcome of a request.
pub const REASON: &str = "lavenderflow-reason";
/// Time remaining for a request, in milliseconds.
pub const DEADLINE: &str = "lavenderflow-deadline-ms";
/// The organisation that a caller belongs to.
pub const ORGANISATION: &str = "lavenderflow-organisation";
/// URLs of other nodes that a refused caller can try, separated by commas.
pub const NEXT_NODES: &str = "lavenderflow-next";

/// Requests per second that an upstream takes from all nodes together.
pub const RATE_LIMIT: &str = "lavenderflow-rate-limit";
/// `1` in the responses of an upstream that is leaving.
pub const LEAVING: &str = "lavenderflow-leaving";

/// Headers that apply to a single connection, or that are set anew on each.
const HOP_BY_HOP: [&str; 11] = [
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Returns whether a header is not forwarded.
///
/// # Examples
///
/// ```
/// use lavenderflow::http::header::is_hop_by_hop;
///
/// assert!(is_hop_by_hop("Transfer-Encoding"));
/// assert!(!is_hop_by_hop("Accept"));
/// ```
pub fn is_hop_by_hop(name: &str) -> bool {
    HOP_BY_HOP.iter().any(|hop| hop.eq_ignore_ascii_case(name))
        || name.eq_ignore_ascii_case(DEADLINE)
}

/// Copies the headers of a map, without those whose values are not UTF-8.
pub fn text_headers(map: &HeaderMap) -> Headers {
    let mut headers = Headers::with_capacity(map.len());
    for (name, value) in map {
        match std::str::from_utf8(value.as_bytes()) {
            Ok(value) => headers.push((name.to_string(), value.to_owned())),
            Err(_) => log::warn!("event=field-not-text field={name}"),
        }
    }
    headers
}
