//! The life cycle of an upstream as types.
//!
//! ```text
//! Announced --> Warming --> Serving --> Leaving
//! ```
//!
//! Any state goes to `Leaving` when the upstream says so or its announcement lapses.

use std::net::SocketAddr;

use crate::gray_failure::GrayFailureDetector;
use crate::lease::{Held, Lease};
use crate::outlier::OutlierDetector;
use crate::prelude::*;

/// Interval at which the slots of a warming upstream double.
pub const WARM_UP_STEP: Duration = Duration::from_millis(500);
/// How much longer work is assumed to take on an upstream that says it has just started.
const COLD_LATENCY_FACTOR: u32 = 2;
/// Interval at which a limit lowered by shedding rises by one slot.
const LIMIT_RAISE_INTERVAL: Duration = Duration::from_secs(1);

/// The phase that an upstream announces.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnnouncedPhase {
    /// It starts and does not take work yet.
    Warming,
    /// It takes work.
    Serving,
    /// It finishes its work and takes none.
    Leaving,
    /// It is not one of its service's upstreams any more.
    Deregistered,
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
    /// How much longer it is slow after its start; none when it does not say.
    pub warm_up: Option<Duration>,
    /// Orders the lifetimes of upstreams, by the time of their start; 0 when not told.
    pub generation: u64,
    /// Orders the announcements of one lifetime; 0 when not told.
    pub sequence: u64,
}

/// The last that is known of one lifetime of an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Lifetime {
    /// Its start; 0 when not told.
    pub generation: u64,
    /// The number of its last announcement; 0 when not told.
    pub sequence: u64,
}

impl Lifetime {
    /// Returns the lifetime that an announcement is of.
    pub fn of(announcement: &Announcement) -> Self {
        Self { generation: announcement.generation, sequence: announcement.sequence }
    }

    /// Tells whether an announcement was made in this lifetime or before it. Where lifetimes are
    /// not told, only its number speaks.
    pub fn covers(&self, announcement: &Announcement) -> bool {
        match (self.generation, announcement.generation) {
            (0, _) | (_, 0) => announcement.sequence != 0 && announcement.sequence <= self.sequence,
            (own, other) => other <= own,
        }
    }
}

/// It announced itself and takes no work yet.
#[derive(Debug)]
pub struct Announced;

/// It takes work in steps.
#[derive(Debug)]
pub struct Warming {
    since: Instant,
    // When it is warm, if it said so.
    until: Option<Instant>,
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
    pub short_running: u32,
    /// Requests in flight that count as long.
    pub long_running: u32,
    /// Judge of its health.
    pub outlier: OutlierDetector,
    /// How likely it is in a gray spell.
    pub gray_failure: GrayFailureDetector,
    /// Whether the doubt takes it out of the choice.
    pub likely_gray: bool,
    /// When it last got work.
    pub last_start: Option<Instant>,
    /// Its lifetime.
    pub generation: u64,
    sequence: u64,
    // Whether it said itself that it leaves, so that only a new lifetime comes back.
    deregistered: bool,
    lease: Lease<Held>,
    shed_limit: Option<u32>,
    limit_raised: Instant,
}

impl Common {
    /// Returns its lifetime if the upstream ended it itself.
    pub fn final_lifetime(&self) -> Option<Lifetime> {
        self.deregistered
            .then_some(Lifetime { generation: self.generation, sequence: self.sequence })
    }
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
            short_running: 0,
            long_running: 0,
            outlier: OutlierDetector::default(),
            gray_failure: GrayFailureDetector::new(now),
            likely_gray: false,
            last_start: None,
            generation: announcement.generation,
            sequence: announcement.sequence,
            deregistered: false,
            lease: Lease::grant(now, announcement.lease),
            shed_limit: None,
            limit_raised: now,
        };
        Self { common, state: Announced }
    }

    /// Starts to give it work.
    pub fn start_warm_up(self, warm_up: Option<Duration>, now: Instant) -> Upstream<Warming> {
        let until = warm_up.map(|time| now + time);
        Upstream { common: self.common, state: Warming { since: now, until } }
    }
}

impl Upstream<Warming> {
    fn open_slots(&self, now: Instant) -> u32 {
        let slots = self.common.slots;
        if self.state.until.is_some() {
            // One that says how long it stays slow can use all of its slots meanwhile.
            return slots;
        }
        let steps =
            now.saturating_duration_since(self.state.since).as_millis() / WARM_UP_STEP.as_millis();
        let steps = u32::try_from(steps).unwrap_or(u32::MAX).min(16);
        (1 << steps).min(slots)
    }

    fn is_warm(&self, now: Instant) -> bool {
        let is_over = self.state.until.is_none_or(|until| now >= until);
        is_over && self.open_slots(now) >= self.common.slots
    }

    /// Ends the warm-up.
    pub fn finish_warm_up(self) -> Upstream<Serving> {
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
        Self::Announced(Upstream::new(announcement, now)).advance(announcement, now)
    }

    /// Takes in a repeated announcement.
    #[must_use]
    pub fn renew(mut self, announcement: &Announcement, now: Instant) -> Self {
        let common = self.common_mut();
        common.lease = Lease::grant(now, announcement.lease);
        common.sequence = common.sequence.max(announcement.sequence);
        if announcement.phase != AnnouncedPhase::Deregistered {
            common.slots = announcement.slots;
            common.address = announcement.address;
        }
        self.advance(announcement, now)
    }

    /// Tells whether an announcement of this upstream was sent before one that was taken in, or
    /// by an earlier lifetime.
    pub fn is_outdated(&self, announcement: &Announcement) -> bool {
        let Common { generation, sequence, .. } = *self.common();
        let is_late = announcement.sequence != 0 && announcement.sequence <= sequence;
        let is_told = announcement.generation != 0;
        (is_told && announcement.generation < generation)
            || (announcement.generation == generation && is_late)
    }

    /// Ends a lifetime that a later one has followed.
    #[must_use]
    pub fn supersede(mut self) -> Self {
        self.common_mut().deregistered = true;
        self.leave()
    }

    /// Tells whether an announcement is of a later lifetime than this one.
    pub fn is_superseded_by(&self, announcement: &Announcement) -> bool {
        announcement.generation > self.common().generation
    }

    /// Lets time pass: ends the warm-up, the shedding limit and a lapsed announcement.
    #[must_use]
    pub fn tick(mut self, now: Instant) -> Self {
        let common = self.common_mut();
        if now >= common.limit_raised + LIMIT_RAISE_INTERVAL {
            common.limit_raised = now;
            common.shed_limit =
                common.shed_limit.map(|limit| limit + 1).filter(|l| *l < common.slots);
        }
        if !common.lease.is_valid(now) {
            return self.leave();
        }
        self.finish_if_warm(now)
    }

    /// Lowers the limit because the upstream shed a request, down to half of its slots: one that
    /// sheds with few requests at hand does so for another reason than its load.
    pub fn lower_limit(&mut self, now: Instant) {
        let common = self.common_mut();
        common.limit_raised = now;
        let (busy, least) = (common.short_running + common.long_running, common.slots.div_ceil(2));
        common.shed_limit = Some(busy.saturating_sub(1).max(least));
    }

    /// Returns how much longer than usual its work takes, as far as it says.
    pub fn latency_factor(&self) -> u32 {
        match self {
            Self::Warming(upstream) if upstream.state.until.is_some() => COLD_LATENCY_FACTOR,
            _ => 1,
        }
    }

    /// Returns how many requests it may run at once now and still be as prompt as others.
    pub fn prompt_limit(&self, now: Instant) -> u32 {
        self.limit(now).div_ceil(self.latency_factor())
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
    pub fn is_drained(&self) -> bool {
        let common = self.common();
        matches!(self, Self::Leaving(_)) && common.short_running + common.long_running == 0
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

    fn advance(mut self, announcement: &Announcement, now: Instant) -> Self {
        let phase = announcement.phase;
        if matches!(phase, AnnouncedPhase::Leaving | AnnouncedPhase::Deregistered) {
            // Where lifetimes are not told, an upstream may change its mind.
            let common = self.common_mut();
            common.deregistered = common.generation != 0 || common.sequence != 0;
        }
        match (self, phase) {
            (Self::Announced(upstream), AnnouncedPhase::Serving) => {
                Self::Warming(upstream.start_warm_up(announcement.warm_up, now)).finish_if_warm(now)
            }
            (upstream, AnnouncedPhase::Leaving | AnnouncedPhase::Deregistered) => upstream.leave(),
            // An upstream whose announcement lapsed and that speaks again starts anew.
            (Self::Leaving(upstream), AnnouncedPhase::Serving) if !upstream.common.deregistered => {
                let until = announcement.warm_up.map(|time| now + time);
                let state = Warming { since: now, until };
                Self::Warming(Upstream { common: upstream.common, state }).finish_if_warm(now)
            }
            (upstream, _) => upstream,
        }
    }

    /// Ends a warm-up that is over.
    fn finish_if_warm(self, now: Instant) -> Self {
        match self {
            Self::Warming(upstream) if upstream.is_warm(now) => {
                Self::Serving(upstream.finish_warm_up())
            }
            other => other,
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
