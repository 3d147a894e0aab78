//! Types of identifiers, and functions that derive them from names.

use std::fmt;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::str::FromStr;
use std::sync::Arc;

/// Identifies a node; the hash of its name.
pub type NodeId = u64;
/// Identifies one run of a node's process; chosen at random when the process starts.
pub type Incarnation = u64;
/// Numbers the tickets or attempts of one incarnation, from 1.
pub type Serial = u64;
/// Version of a record; the highest is the newest.
pub type Version = u64;
/// Orders the accepted changes of one configuration key.
pub type Revision = u64;
/// Identifies a request within one entry.
pub type RequestId = u64;
/// Groups requests with similar execution times.
pub type WorkKind = u64;
/// Names an upstream.
pub type UpstreamId = Arc<str>;
/// Names a service.
pub type ServiceName = Arc<str>;
/// Names an availability zone.
pub type ZoneName = Arc<str>;
/// Names a profile.
pub type ProfileName = Arc<str>;
/// Names a source of configuration; the prefix of its keys in the store.
pub type SourceName = Arc<str>;
/// Names an organisation.
pub type OrganisationName = Arc<str>;
/// SHA-256 digest of a key that identifies an organisation.
pub type KeyDigest = [u8; 32];

/// Identifies one attempt to run a request on an upstream.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct AttemptId {
    /// The node whose entry made the attempt.
    pub node: NodeId,
    /// The incarnation of that node.
    pub incarnation: Incarnation,
    /// The number of the attempt.
    pub serial: Serial,
}

/// Identifies a ticket, the permission to run one request at most once.
///
/// # Examples
///
/// ```
/// use lavenderflow_core::id::TicketId;
///
/// let ticket = TicketId { home: 10, incarnation: 11, serial: 12 };
/// assert_eq!(ticket.to_string(), "a-b-c");
/// assert_eq!("a-b-c".parse(), Ok(ticket));
/// ```
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TicketId {
    /// The only node that may dispatch the request.
    pub home: NodeId,
    /// The only incarnation of that node that may dispatch the request.
    pub incarnation: Incarnation,
    /// The number of the ticket.
    pub serial: Serial,
}

/// The text is not a valid ticket id.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("a ticket has three hexadecimal numbers joined by hyphens")]
pub struct TicketError;

impl fmt::Display for TicketId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}-{:x}-{:x}", self.home, self.incarnation, self.serial)
    }
}

impl FromStr for TicketId {
    type Err = TicketError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text.split('-').map(|part| u64::from_str_radix(part, 16));
        let mut next = || parts.next().and_then(Result::ok).ok_or(TicketError);
        let ticket = Self { home: next()?, incarnation: next()?, serial: next()? };
        if parts.next().is_some() { Err(TicketError) } else { Ok(ticket) }
    }
}

/// Returns the id of the node with this name.
///
/// # Examples
///
/// ```
/// use lavenderflow_core::id::node_id;
///
/// assert_eq!(node_id("vm-1"), node_id("vm-1"));
/// assert_ne!(node_id("vm-1"), node_id("vm-2"));
/// ```
pub fn node_id(name: &str) -> NodeId {
    hash(&name)
}

/// Returns the kind of work of a route's requests.
///
/// # Examples
///
/// ```
/// use lavenderflow_core::id::work_kind;
///
/// assert_ne!(work_kind("a.example", "/a/"), work_kind("a.example", "/b/"));
/// ```
pub fn work_kind(host: &str, prefix: &str) -> WorkKind {
    hash(&(host, prefix))
}

/// Returns a hash that is equal in all processes of one build.
pub(crate) fn hash(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
