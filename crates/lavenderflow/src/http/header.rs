//! Header fields.

use hyper::HeaderMap;

use lavenderflow_schema::dialect::Headers;
pub use lavenderflow_schema::dialect::find_header;

/// Identifies a request in logs and answers.
pub const REQUEST_ID: &str = "lavenderflow-request-id";
/// The ticket of a request, or a new one after a refusal.
pub const TICKET: &str = "lavenderflow-ticket";
/// What became of a request.
pub const OUTCOME: &str = "lavenderflow-outcome";
/// Why.
pub const REASON: &str = "lavenderflow-reason";
/// Time left for a request, in milliseconds.
pub const DEADLINE: &str = "lavenderflow-deadline-ms";
/// The organisation that a caller belongs to.
pub const ORGANISATION: &str = "lavenderflow-organisation";
/// Addresses of other nodes to try, separated by commas.
pub const NEXT: &str = "lavenderflow-next";

/// Fields that concern one connection only, or that are set anew on each.
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

/// Tells whether a field is not passed on.
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

/// Copies fields out of a map; those whose values are not text are left out.
pub fn from_map(map: &HeaderMap) -> Headers {
    let mut fields = Headers::with_capacity(map.len());
    for (name, value) in map {
        match std::str::from_utf8(value.as_bytes()) {
            Ok(value) => fields.push((name.to_string(), value.to_owned())),
            Err(_) => log::warn!("event=field-not-text field={name}"),
        }
    }
    fields
}
