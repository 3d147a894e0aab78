//! What an upstream announces, and the order of announcements.

use std::net::SocketAddr;

use crate::prelude::*;

/// The phase that an upstream announces.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnnouncedPhase {
    /// The upstream is starting and does not take requests yet.
    Warming,
    /// The upstream takes requests.
    Serving,
    /// The upstream finishes its requests and takes no new ones.
    Leaving,
    /// The upstream has deregistered and no longer belongs to its service.
    Deregistered,
}

/// An announcement of an upstream to the node on its VM.
#[derive(Clone, Debug, PartialEq)]
pub struct Announcement {
    /// Id of the upstream.
    pub id: UpstreamId,
    /// The service that it offers.
    pub service: ServiceName,
    /// HTTP address of the upstream.
    pub address: SocketAddr,
    /// Requests that it can run concurrently.
    pub slots: u32,
    /// Phase of the upstream.
    pub phase: AnnouncedPhase,
    /// Time for which the announcement is valid.
    pub lease: Duration,
    /// Time for which the upstream stays slow after its start; none when not announced.
    pub warm_up: Option<Duration>,
    /// Start time of the lifetime, which orders lifetimes; 0 when not announced.
    pub generation: u64,
    /// Orders the announcements of one lifetime; 0 when not announced.
    pub sequence: u64,
}

impl Announcement {
    /// Returns whether the upstream leaves its service.
    pub fn is_leaving(&self) -> bool {
        matches!(self.phase, AnnouncedPhase::Leaving | AnnouncedPhase::Deregistered)
    }

    /// Returns whether the announcement can be told from earlier and later ones.
    pub fn is_ordered(&self) -> bool {
        Lifetime::of(self).is_ordered()
    }
}

/// The last known state of one lifetime of an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Lifetime {
    /// Start time of the lifetime; 0 when not announced.
    pub generation: u64,
    /// Sequence number of the last announcement; 0 when not announced.
    pub sequence: u64,
}

/// A lifetime of an upstream that has ended: the upstream serves again only in a later one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndedLifetime {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The lifetime.
    pub lifetime: Lifetime,
}

/// Why an announcement was not applied.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum AnnouncementRefusal {
    /// The node has started and does not know yet which lifetimes had ended before.
    #[error("the node does not know yet which upstreams have left")]
    Recovering,
    /// Another lifetime has a later start time, and may still be alive.
    #[error("another lifetime of the upstream or its address has a later start time")]
    Unconfirmed,
    /// A field (`service`, `address` or `start time`) differs from what the upstream has announced,
    /// and may not change. What it has announced stays in force.
    #[error("the announced {0} contradicts what the upstream has announced before")]
    Contradiction(&'static str),
}

impl Lifetime {
    /// A lifetime that ended before any of its announcements was known. It includes all lifetimes.
    pub const UNORDERED: Self = Self { generation: 0, sequence: u64::MAX };
    /// Time for which such an end counts. The upstream may go on to announce itself until it exits.
    pub const UNORDERED_TIME: Duration = Duration::from_secs(30);

    /// Returns the lifetime that an announcement belongs to.
    pub fn of(announcement: &Announcement) -> Self {
        Self { generation: announcement.generation, sequence: announcement.sequence }
    }

    /// Returns whether the lifetime can be told from earlier and later ones.
    pub fn is_ordered(&self) -> bool {
        self.generation != 0 || self.sequence != 0
    }

    /// Returns whether `other` is this lifetime, in any state of it. Without generations, only the
    /// sequence numbers decide.
    ///
    /// # Examples
    ///
    /// ```
    /// use lavenderflow_core::upstream::Lifetime;
    ///
    /// let ended = Lifetime { generation: 7, sequence: 2 };
    /// assert!(ended.includes(Lifetime { generation: 7, sequence: 3 }));
    /// assert!(!ended.includes(Lifetime { generation: 6, sequence: 1 }));
    /// ```
    pub fn includes(&self, other: Self) -> bool {
        match (self.generation, other.generation) {
            (0, _) | (_, 0) => other.sequence != 0 && other.sequence <= self.sequence,
            (own, other) => other == own,
        }
    }

    /// Returns whether the start time is earlier than that of `other`; not so without generations.
    ///
    /// # Examples
    ///
    /// ```
    /// use lavenderflow_core::upstream::Lifetime;
    ///
    /// let known = Lifetime { generation: 7, sequence: 2 };
    /// assert!(Lifetime { generation: 6, sequence: 9 }.starts_before(known));
    /// assert!(!Lifetime { generation: 0, sequence: 9 }.starts_before(known));
    /// ```
    pub fn starts_before(&self, other: Self) -> bool {
        self.generation != 0 && self.generation < other.generation
    }
}
