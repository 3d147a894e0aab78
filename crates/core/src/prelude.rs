//! Imports used by most modules.

pub use std::time::{Duration, Instant, SystemTime};

pub use indexmap::{IndexMap, IndexSet};

pub use crate::clock::{Clock, SharedClock};
pub use crate::id::{
    AttemptId, Incarnation, KeyDigest, NodeId, OrganisationName, ProfileName, RequestId, Revision,
    Serial, ServiceName, TicketId, UpstreamId, Version, WorkKind, ZoneName,
};
pub use crate::load::{Condition, Load};
pub use crate::profile::Profile;
pub use crate::reason::{Outcome, Reason};
