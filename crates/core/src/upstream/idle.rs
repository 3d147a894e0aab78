//! Finds upstreams that take requests but have started none for a while.

use crate::prelude::*;

/// Time without a start after which an upstream is reported for the first time.
const FIRST_REPORT: Duration = Duration::from_secs(2);

/// The offers that were refused for one reason.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RefusedOffers {
    /// All offers.
    pub count: u32,
    /// Those of entries whose service is degraded.
    pub degraded: u32,
}

/// What a gate reports about an idle upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct IdleReport {
    /// The upstream.
    pub upstream: UpstreamId,
    /// State of its life cycle.
    pub state: &'static str,
    /// The gray failure probability.
    pub probability: f64,
    /// Its running requests.
    pub busy: u32,
    /// Requests that it may run concurrently.
    pub slots: u32,
    /// Time since it last started a request, or since it takes requests.
    pub idle: Duration,
    /// Offers that were refused meanwhile, by reason.
    pub refused: IndexMap<Reason, RefusedOffers>,
}

/// Watches for how long one upstream has started no request.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use lavenderflow_core::reason::Reason;
/// use lavenderflow_core::upstream::idle::IdleWatch;
///
/// let start = Instant::now();
/// let mut watch = IdleWatch::new(start);
/// watch.refuse(Reason::Doubtful, true);
/// assert_eq!(watch.take_due(start + Duration::from_secs(1)), None);
/// let now = start + Duration::from_secs(2);
/// assert_eq!(watch.take_due(now), Some(Duration::from_secs(2)));
/// assert_eq!(watch.refused()[&Reason::Doubtful].degraded, 1);
/// // The next report is due when the time has doubled.
/// assert_eq!(watch.take_due(now + Duration::from_secs(1)), None);
/// ```
#[derive(Clone, Debug)]
pub struct IdleWatch {
    since: Instant,
    // Idle time from which the next report is due.
    next_report: Duration,
    refused: IndexMap<Reason, RefusedOffers>,
}

impl IdleWatch {
    /// Creates a watch of an upstream that takes requests from now on.
    pub fn new(now: Instant) -> Self {
        Self { since: now, next_report: FIRST_REPORT, refused: IndexMap::new() }
    }

    /// Begins again, since a request has started or the upstream takes none.
    pub fn restart(&mut self, now: Instant) {
        self.since = now;
        self.next_report = FIRST_REPORT;
        self.refused.clear();
    }

    /// Counts a refused offer.
    pub fn refuse(&mut self, reason: Reason, is_degraded: bool) {
        let offers = self.refused.entry(reason).or_default();
        offers.count = offers.count.saturating_add(1);
        offers.degraded = offers.degraded.saturating_add(u32::from(is_degraded));
    }

    /// Returns the idle time if a report is due. Reports become rarer the longer it lasts.
    pub fn take_due(&mut self, now: Instant) -> Option<Duration> {
        let idle = now.saturating_duration_since(self.since);
        if idle < self.next_report {
            return None;
        }
        self.next_report = idle * 2;
        Some(idle)
    }

    /// Returns the offers that were refused since the last start, by reason.
    pub fn refused(&self) -> &IndexMap<Reason, RefusedOffers> {
        &self.refused
    }
}
