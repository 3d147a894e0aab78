//! The life cycle of an upstream as types.
//!
//! ```text
//! Announced --> Warming --> Serving --> Leaving
//! ```
//!
//! Any state goes to `Leaving` when the upstream says so or its announcement lapses.

use std::net::SocketAddr;

use crate::lease::{Held, Lease};
use crate::prelude::*;
use crate::witness::Witness;

/// Interval at which the slots of a warming upstream double.
pub const WARM_STEP: Duration = Duration::from_millis(500);
/// Interval at which a limit lowered by shedding rises by one slot.
const RAISE_INTERVAL: Duration = Duration::from_secs(1);

/// The phase that an upstream announces.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnnouncedPhase {
    /// It starts and does not take work yet.
    Warming,
    /// It takes work.
    Serving,
    /// It finishes its work and takes none.
    Leaving,
}

/// What an upstream tells the node on its VM.
#[derive(Clone, Debug, PartialEq)]
pub struct Announcement {
    /// Id of the upstream.
    pub id: UpstreamId,
    /// The service that it offers.
    pub service: ServiceName,
    /// Where it serves HTTP.
    pub address: SocketAddr,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Its phase.
    pub phase: AnnouncedPhase,
    /// How long the announcement is valid.
    pub lease: Duration,
}

/// It announced itself and takes no work yet.
#[derive(Debug)]
pub struct Announced;

/// It takes work in steps.
#[derive(Debug)]
pub struct Warming {
    since: Instant,
}

/// It takes work up to its slots.
#[derive(Debug)]
pub struct Serving;

/// It takes no more work.
#[derive(Debug)]
pub struct Leaving;

/// What stays the same in all states.
#[derive(Debug)]
pub struct Common {
    /// Where it serves HTTP.
    pub address: SocketAddr,
    /// The service that it offers.
    pub service: ServiceName,
    /// The announced slots.
    pub slots: u32,
    /// Requests in flight that count as short.
    pub short: u32,
    /// Requests in flight that count as long.
    pub long: u32,
    /// Judge of its health.
    pub witness: Witness,
    lease: Lease<Held>,
    shed_limit: Option<u32>,
    raised: Instant,
}

/// An upstream in one state of its life cycle.
#[derive(Debug)]
pub struct Upstream<S> {
    common: Common,
    state: S,
}

impl Upstream<Announced> {
    /// Takes in a new upstream.
    pub fn new(announcement: &Announcement, now: Instant) -> Self {
        let common = Common {
            address: announcement.address,
            service: announcement.service.clone(),
            slots: announcement.slots,
            short: 0,
            long: 0,
            witness: Witness::default(),
            lease: Lease::grant(now, announcement.lease),
            shed_limit: None,
            raised: now,
        };
        Self { common, state: Announced }
    }

    /// Starts to give it work.
    pub fn warm(self, now: Instant) -> Upstream<Warming> {
        Upstream { common: self.common, state: Warming { since: now } }
    }
}

impl Upstream<Warming> {
    fn open_slots(&self, now: Instant) -> u32 {
        let steps =
            now.saturating_duration_since(self.state.since).as_millis() / WARM_STEP.as_millis();
        let steps = u32::try_from(steps).unwrap_or(u32::MAX).min(16);
        (1 << steps).min(self.common.slots)
    }

    /// Ends the warm-up.
    pub fn serve(self) -> Upstream<Serving> {
        Upstream { common: self.common, state: Serving }
    }
}

impl<S> Upstream<S> {
    /// Stops giving it work.
    pub fn leave(self) -> Upstream<Leaving> {
        Upstream { common: self.common, state: Leaving }
    }
}

/// An upstream in any state.
#[derive(Debug)]
pub enum AnyUpstream {
    /// See [`Announced`].
    Announced(Upstream<Announced>),
    /// See [`Warming`].
    Warming(Upstream<Warming>),
    /// See [`Serving`].
    Serving(Upstream<Serving>),
    /// See [`Leaving`].
    Leaving(Upstream<Leaving>),
}

impl AnyUpstream {
    /// Takes in a new upstream.
    pub fn new(announcement: &Announcement, now: Instant) -> Self {
        Self::Announced(Upstream::new(announcement, now)).advance(announcement.phase, now)
    }

    /// Takes in a repeated announcement.
    #[must_use]
    pub fn renew(mut self, announcement: &Announcement, now: Instant) -> Self {
        let common = self.common_mut();
        common.lease = Lease::grant(now, announcement.lease);
        common.slots = announcement.slots;
        common.address = announcement.address;
        self.advance(announcement.phase, now)
    }

    /// Lets time pass: ends the warm-up, the shedding limit and a lapsed announcement.
    #[must_use]
    pub fn tick(mut self, now: Instant) -> Self {
        let common = self.common_mut();
        if now >= common.raised + RAISE_INTERVAL {
            common.raised = now;
            common.shed_limit =
                common.shed_limit.map(|limit| limit + 1).filter(|l| *l < common.slots);
        }
        if !common.lease.is_valid(now) {
            return self.leave();
        }
        match self {
            Self::Warming(upstream) if upstream.open_slots(now) >= upstream.common.slots => {
                Self::Serving(upstream.serve())
            }
            other => other,
        }
    }

    /// Lowers the limit because the upstream shed a request.
    pub fn shed(&mut self, now: Instant) {
        let common = self.common_mut();
        common.raised = now;
        let busy = common.short + common.long;
        common.shed_limit = Some(busy.saturating_sub(1).max(1));
    }

    /// Returns how many requests it may run at once now.
    pub fn limit(&self, now: Instant) -> u32 {
        let open = match self {
            Self::Announced(_) | Self::Leaving(_) => 0,
            Self::Warming(upstream) => upstream.open_slots(now),
            Self::Serving(upstream) => upstream.common.slots,
        };
        self.common().shed_limit.map_or(open, |limit| limit.min(open))
    }

    /// Tells whether it has finished its last work and takes none.
    pub fn is_gone(&self) -> bool {
        let common = self.common();
        matches!(self, Self::Leaving(_)) && common.short + common.long == 0
    }

    /// Returns what all states share.
    pub fn common(&self) -> &Common {
        match self {
            Self::Announced(upstream) => &upstream.common,
            Self::Warming(upstream) => &upstream.common,
            Self::Serving(upstream) => &upstream.common,
            Self::Leaving(upstream) => &upstream.common,
        }
    }

    /// Returns what all states share, to change it.
    pub fn common_mut(&mut self) -> &mut Common {
        match self {
            Self::Announced(upstream) => &mut upstream.common,
            Self::Warming(upstream) => &mut upstream.common,
            Self::Serving(upstream) => &mut upstream.common,
            Self::Leaving(upstream) => &mut upstream.common,
        }
    }

    /// Returns the name of the state.
    pub fn state(&self) -> &'static str {
        match self {
            Self::Announced(_) => "announced",
            Self::Warming(_) => "warming",
            Self::Serving(_) => "serving",
            Self::Leaving(_) => "leaving",
        }
    }

    fn advance(self, phase: AnnouncedPhase, now: Instant) -> Self {
        match (self, phase) {
            (Self::Announced(upstream), AnnouncedPhase::Serving) => {
                Self::Warming(upstream.warm(now))
            }
            (upstream, AnnouncedPhase::Leaving) => upstream.leave(),
            // An upstream whose announcement lapsed and that speaks again starts anew.
            (Self::Leaving(upstream), AnnouncedPhase::Serving) => {
                Self::Warming(Upstream { common: upstream.common, state: Warming { since: now } })
            }
            (upstream, _) => upstream,
        }
    }

    fn leave(self) -> Self {
        Self::Leaving(match self {
            Self::Announced(upstream) => upstream.leave(),
            Self::Warming(upstream) => upstream.leave(),
            Self::Serving(upstream) => upstream.leave(),
            Self::Leaving(upstream) => upstream,
        })
    }
}
