//! How requests, answers and announcements are spelled over HTTP.
//!
//! A node decides the same whatever its callers and upstreams speak; a dialect translates what
//! they say into the types of the core and back.

use std::fmt::Debug;
use std::time::Duration;

use lavenderflow_core::id::{OrganisationName, TicketError, TicketId};
use lavenderflow_core::reason::{Outcome, Reason};
use lavenderflow_core::upstream::Announcement;

use crate::convert::ConvertError;

/// Header fields in their order, names and values.
pub type Fields = Vec<(String, String)>;

/// Finds the value of a field, whatever the case of its name.
///
/// # Examples
///
/// ```
/// use lavenderflow_schema::dialect::find;
///
/// let fields = vec![("Host".to_owned(), "a.example".to_owned())];
/// assert_eq!(find(&fields, "host"), Some("a.example"));
/// ```
pub fn find<'a>(fields: &'a [(String, String)], name: &str) -> Option<&'a str> {
    fields.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
}

/// Sets a field instead of all fields of that name.
pub fn set(fields: &mut Fields, name: &str, value: impl Into<String>) {
    fields.retain(|(n, _)| !n.eq_ignore_ascii_case(name));
    fields.push((name.to_owned(), value.into()));
}

/// What a caller says about its request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallerFields {
    /// Identifies the request in logs and answers.
    pub id: Option<String>,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// The ticket that the request uses.
    pub ticket: Option<TicketId>,
    /// The organisation that the caller belongs to.
    pub organisation: Option<OrganisationName>,
}

/// Why a caller's fields cannot be used.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum FieldError {
    /// The deadline is no number.
    #[error("the deadline is not a whole number of milliseconds")]
    Deadline,
    /// The ticket is malformed.
    #[error("ticket: {0}")]
    Ticket(#[from] TicketError),
}

/// What an upstream's answer says about the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Judgement {
    /// The request ran and this is its answer.
    Answer,
    /// The request did not run and will not run.
    NotRun(Reason),
    /// This is not the request's answer; the request may have run.
    Foreign,
}

/// How a request ended, for the fields of its answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Ending {
    /// Identifies the request.
    pub id: String,
    /// What became of it.
    pub outcome: Outcome,
    /// Why.
    pub reason: Reason,
    /// The ticket under which it ran, or a new one after a refusal.
    pub ticket: Option<TicketId>,
    /// Other nodes to try, after a refusal.
    pub next: String,
    /// When to try again, after a refusal.
    pub retry: Option<Duration>,
    /// Whether the answer is an upstream's.
    pub relayed: bool,
}

/// Translates HTTP fields and statuses.
pub trait Dialect: Debug + Send + Sync {
    /// Reads what a caller says about its request.
    ///
    /// # Errors
    ///
    /// Names the field that cannot be used.
    fn read(&self, fields: &[(String, String)]) -> Result<CallerFields, FieldError>;

    /// Sets what the entry says to the upstream.
    fn forward(&self, fields: &mut Fields, id: &str);

    /// Sets what the gate says to the upstream.
    fn run(&self, fields: &mut Fields, upstream: &str, remaining: Duration);

    /// Tells whether an upstream's answer belongs to the request `id`, and whether it ran.
    fn judge(&self, id: &str, status: u16, fields: &[(String, String)]) -> Judgement;

    /// Returns the status of an answer that is not an upstream's.
    fn status(&self, outcome: Outcome, reason: Reason) -> u16;

    /// Adds what the node says to the caller and removes what an upstream must not say.
    fn answer(&self, fields: &mut Fields, ending: &Ending);

    /// Tells whether upstreams stop work on a request when its connection closes.
    fn stops_when_closed(&self) -> bool;

    /// Parses an announcement that an upstream sent to a path.
    ///
    /// # Errors
    ///
    /// The text is malformed or there is nothing at this path.
    fn announcement(&self, path: &str, text: &[u8]) -> Result<Announcement, ConvertError>;
}
