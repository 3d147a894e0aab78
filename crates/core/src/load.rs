//! The load reports that gates send about their services.

use std::time::Duration;

use crate::fleet_level::LevelCounts;

/// The condition of an upstream, of a path, or of all upstreams of a service behind a gate.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Condition {
    /// Healthy; for several upstreams, at least one is.
    #[default]
    Healthy,
    /// Ejected; for several upstreams, all are.
    Ejected,
    /// Ejection is over, and a few requests test the upstreams, idempotent ones first.
    Trial,
}

/// The load of one service behind one gate.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests running on the upstreams.
    pub busy: u32,
    /// Requests that may run concurrently.
    pub slots: u32,
    /// Requests queued for a slot.
    pub queued: u32,
    /// Smoothed latency of short requests on the slowest upstream.
    pub mean_latency: Duration,
    /// Condition of the upstreams.
    pub condition: Condition,
    /// Evidence against the best of the upstreams, as a natural log-likelihood ratio.
    pub evidence: f32,
    /// Gray failure probability of the best of the upstreams.
    pub gray_probability: f32,
    /// Time until the upstreams that limit the rate of their requests take another one.
    pub rate_wait: Duration,
    /// Share of the recent requests that the upstreams rejected without running them.
    pub rejected_share: f32,
    /// Time in which the queue drains at its measured rate; zero if that is not known.
    pub drain_time: Duration,
    /// Recent requests of entries that the gate has heard of.
    pub level: LevelCounts,
}
