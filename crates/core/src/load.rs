//! The state of a service behind a gate, as gates report it.

use std::time::Duration;

/// Whether a gate's upstreams of one service are in use.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Condition {
    /// At least one upstream is healthy.
    #[default]
    Healthy,
    /// Every upstream is ejected.
    Ejected,
    /// Ejection is over, and a few idempotent requests test the upstreams.
    Trial,
}

/// The load of one service behind one gate.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests that run on the upstreams.
    pub busy: u32,
    /// Requests that may run at once.
    pub slots: u32,
    /// Requests that wait for a slot.
    pub queued: u32,
    /// Smoothed time that short work takes on an upstream.
    pub mean_latency: Duration,
    /// Whether the upstreams are in use.
    pub condition: Condition,
    /// Weight of the evidence against the upstreams, as a log-likelihood ratio.
    pub evidence: f32,
    /// Probability that the best of the upstreams is in a gray spell.
    pub gray_probability: f32,
}
