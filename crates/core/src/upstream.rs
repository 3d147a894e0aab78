//! The life cycle of an upstream, as a typestate.
//!
//! ```text
//! Announced --> Warming --> Serving --> Leaving
//! ```
//!
//! Any state goes to `Leaving` when the upstream announces it, its lease lapses or a later lifetime
//! supersedes it.

mod announcement;
pub mod idle;
pub mod rejection;

use std::net::SocketAddr;

pub use self::announcement::{
    AnnouncedPhase, Announcement, AnnouncementRefusal, EndedLifetime, Lifetime,
};
use crate::gray_failure::GrayFailureDetector;
use crate::lease::{Held, Lease};
use crate::outlier::OutlierDetector;
use crate::prelude::*;
use crate::rate_limit::RateLimiter;
use crate::upstream::idle::IdleWatch;
use crate::upstream::rejection::Rejections;

/// Interval at which the open slots of a warming upstream double.
pub const WARM_UP_STEP: Duration = Duration::from_millis(500);
/// Latency, relative to the usual one, that is assumed of an upstream that announces a warm-up.
const COLD_LATENCY_FACTOR: u32 = 2;

/// State of an upstream that has announced itself and takes no requests yet.
#[derive(Debug)]
pub struct Announced;

/// State of an upstream that takes requests up to a rising limit.
#[derive(Debug)]
pub struct Warming {
    since: Instant,
    // End of the announced warm-up.
    until: Option<Instant>,
}

/// State of an upstream that takes requests up to its slots.
#[derive(Debug)]
pub struct Serving;

/// State of an upstream that takes no new requests.
#[derive(Debug)]
pub struct Leaving;

/// The data of an upstream in any state.
#[derive(Debug)]
pub struct Common {
    /// HTTP address of the upstream.
    pub address: SocketAddr,
    /// The service that it offers.
    pub service: ServiceName,
    /// The announced slots.
    pub slots: u32,
    /// Requests in flight that count as short.
    pub short_running: u32,
    /// Requests in flight that count as long.
    pub long_running: u32,
    /// Outlier detection by the results of its requests.
    pub outlier: OutlierDetector,
    /// Estimate of its gray failure probability.
    pub gray_failure: GrayFailureDetector,
    /// Whether it is likely in a gray failure.
    pub likely_gray: bool,
    /// Keeps the rate of its requests within the limit that it has named.
    pub rate: RateLimiter,
    /// Time of its last announcement.
    pub heard: Instant,
    /// Time at which it last started a request.
    pub last_start: Option<Instant>,
    /// Watches for how long it has started no request.
    pub idle: IdleWatch,
    /// Start time of its lifetime.
    pub generation: u64,
    sequence: u64,
    // Whether the upstream ended this lifetime or a later one superseded it, so that only a later
    // lifetime can serve again.
    ended: bool,
    lease: Lease<Held>,
    pub(crate) rejections: Rejections,
}

impl Common {
    /// Returns the condition by outlier detection; healthy where gray failures are detected.
    ///
    /// There only the gray failure probability counts: it sees the end of a failure within a few
    /// answers, while an ejection lasts for its whole time.
    pub fn condition(&self) -> Condition {
        if self.gray_failure.has_observations() {
            return Condition::Healthy;
        }
        self.outlier.condition()
    }

    /// Ends the lifetime, unless the upstream announces neither a generation nor a sequence: such
    /// an upstream may serve again.
    fn end_if_ordered(&mut self) {
        self.ended = self.lifetime().is_ordered();
    }

    /// Returns the lifetime and its last sequence number.
    pub fn lifetime(&self) -> Lifetime {
        Lifetime { generation: self.generation, sequence: self.sequence }
    }

    /// Returns the lifetime if the upstream ended it itself or a later lifetime superseded it.
    pub fn final_lifetime(&self) -> Option<Lifetime> {
        self.ended.then_some(self.lifetime())
    }
}

/// An upstream in one state of its life cycle.
#[derive(Debug)]
pub struct Upstream<S> {
    common: Common,
    state: S,
}

impl Upstream<Announced> {
    /// Creates an upstream from its first announcement.
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
            rate: RateLimiter::default(),
            heard: now,
            last_start: None,
            idle: IdleWatch::new(now),
            generation: announcement.generation,
            sequence: announcement.sequence,
            ended: false,
            lease: Lease::grant(now, announcement.lease),
            rejections: Rejections::new(now),
        };
        Self { common, state: Announced }
    }

    /// Starts the warm-up.
    pub fn start_warm_up(self, warm_up: Option<Duration>, now: Instant) -> Upstream<Warming> {
        let until = warm_up.map(|time| now + time);
        Upstream { common: self.common, state: Warming { since: now, until } }
    }
}

impl Upstream<Warming> {
    fn open_slots(&self, now: Instant) -> u32 {
        let slots = self.common.slots;
        if self.state.until.is_some() {
            // An upstream that announces its warm-up can use all of its slots meanwhile.
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
    /// Stops admitting requests to the upstream.
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
    /// Creates an upstream from its first announcement.
    pub fn new(announcement: &Announcement, now: Instant) -> Self {
        Self::Announced(Upstream::new(announcement, now)).advance(announcement, now)
    }

    /// Applies a later announcement and renews the lease.
    #[must_use]
    pub fn renew(mut self, announcement: &Announcement, now: Instant) -> Self {
        let common = self.common_mut();
        common.lease = Lease::grant(now, announcement.lease);
        common.heard = now;
        common.sequence = common.sequence.max(announcement.sequence);
        if announcement.phase != AnnouncedPhase::Deregistered {
            common.slots = announcement.slots;
            common.address = announcement.address;
        }
        self.advance(announcement, now)
    }

    /// Ends this lifetime because a later one has begun.
    #[must_use]
    pub fn supersede(mut self) -> Self {
        self.common_mut().ended = true;
        self.leave()
    }

    /// Applies the upstream's word in a response that it is leaving. Its announcements of this
    /// lifetime do not bring it back.
    #[must_use]
    pub fn retire(mut self) -> Self {
        self.common_mut().end_if_ordered();
        self.leave()
    }

    /// Ends a finished warm-up, raises a lowered limit and applies a lapsed lease.
    #[must_use]
    pub fn tick(mut self, now: Instant) -> Self {
        let common = self.common_mut();
        common.rejections.tick(common.slots, now);
        if !common.lease.is_valid(now) {
            return self.leave();
        }
        self.finish_if_warm(now)
    }

    /// Records whether the upstream rejected a finished request, whose slot is free again.
    pub fn record_rejection(&mut self, is_rejected: bool, now: Instant) {
        let common = self.common_mut();
        let others = common.short_running + common.long_running;
        common.rejections.record(is_rejected, others, common.slots, now);
    }

    /// Returns the factor by which an announced warm-up lengthens the latency; 1 without one.
    pub fn latency_factor(&self) -> u32 {
        match self {
            Self::Warming(upstream) if upstream.state.until.is_some() => COLD_LATENCY_FACTOR,
            _ => 1,
        }
    }

    /// Returns how many requests it may run concurrently now and still be as fast as others.
    pub fn on_time_limit(&self, now: Instant) -> u32 {
        self.limit(now).div_ceil(self.latency_factor())
    }

    /// Returns how many requests it may run concurrently now.
    pub fn limit(&self, now: Instant) -> u32 {
        let open = match self {
            Self::Announced(_) | Self::Leaving(_) => 0,
            Self::Warming(upstream) => upstream.open_slots(now),
            Self::Serving(upstream) => upstream.common.slots,
        };
        self.common().rejections.limit(open)
    }

    /// Returns whether it is leaving and has finished all requests.
    pub fn is_drained(&self) -> bool {
        let common = self.common();
        matches!(self, Self::Leaving(_)) && common.short_running + common.long_running == 0
    }

    /// Returns the data of an upstream in any state.
    pub fn common(&self) -> &Common {
        match self {
            Self::Announced(upstream) => &upstream.common,
            Self::Warming(upstream) => &upstream.common,
            Self::Serving(upstream) => &upstream.common,
            Self::Leaving(upstream) => &upstream.common,
        }
    }

    /// Returns the data of an upstream in any state, mutably.
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
        if announcement.is_leaving() {
            self.common_mut().end_if_ordered();
        }
        match (self, phase) {
            (Self::Announced(upstream), AnnouncedPhase::Serving) => {
                Self::Warming(upstream.start_warm_up(announcement.warm_up, now)).finish_if_warm(now)
            }
            (upstream, AnnouncedPhase::Leaving | AnnouncedPhase::Deregistered) => upstream.leave(),
            // An upstream that announces itself again after its lease lapsed starts a new warm-up.
            (Self::Leaving(upstream), AnnouncedPhase::Serving) if !upstream.common.ended => {
                let until = announcement.warm_up.map(|time| now + time);
                let state = Warming { since: now, until };
                Self::Warming(Upstream { common: upstream.common, state }).finish_if_warm(now)
            }
            (upstream, _) => upstream,
        }
    }

    /// Ends the warm-up if it is over.
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
