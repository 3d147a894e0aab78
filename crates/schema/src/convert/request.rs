//! Conversions of ids and load in request messages.

use std::time::Duration;

use lavenderflow_core::fleet_level::LevelCounts;
use lavenderflow_core::id::{AttemptId, TicketId};
use lavenderflow_core::load::{Condition, Load};

use crate::wire;

impl From<AttemptId> for wire::Attempt {
    fn from(id: AttemptId) -> Self {
        Self { node: id.node, incarnation: id.incarnation, serial: id.serial }
    }
}

impl From<wire::Attempt> for AttemptId {
    fn from(id: wire::Attempt) -> Self {
        Self { node: id.node, incarnation: id.incarnation, serial: id.serial }
    }
}

impl From<TicketId> for wire::Ticket {
    fn from(id: TicketId) -> Self {
        Self { home: id.home, incarnation: id.incarnation, serial: id.serial }
    }
}

impl From<wire::Ticket> for TicketId {
    fn from(id: wire::Ticket) -> Self {
        Self { home: id.home, incarnation: id.incarnation, serial: id.serial }
    }
}

impl From<Condition> for wire::Condition {
    fn from(condition: Condition) -> Self {
        match condition {
            Condition::Healthy => Self::Well,
            Condition::Ejected => Self::Ejected,
            Condition::Trial => Self::Trial,
        }
    }
}

impl From<wire::Condition> for Condition {
    fn from(condition: wire::Condition) -> Self {
        match condition {
            wire::Condition::Well | wire::Condition::Unspecified => Self::Healthy,
            wire::Condition::Ejected => Self::Ejected,
            wire::Condition::Trial => Self::Trial,
        }
    }
}

impl From<LevelCounts> for wire::Level {
    fn from(counts: LevelCounts) -> Self {
        Self { served: counts.served, unserved: counts.unserved }
    }
}

impl From<wire::Level> for LevelCounts {
    fn from(level: wire::Level) -> Self {
        Self { served: level.served, unserved: level.unserved }
    }
}

impl From<Load> for wire::Load {
    fn from(load: Load) -> Self {
        Self {
            busy: load.busy,
            slots: load.slots,
            queued: load.queued,
            pace_us: micros(load.mean_latency),
            condition: wire::Condition::from(load.condition).into(),
            evidence: load.evidence,
            doubt: load.gray_probability,
            rate_wait_us: micros(load.rate_wait),
            rejected_share: load.rejected_share,
            drain_us: micros(load.drain_time),
            level: Some(load.level.into()),
        }
    }
}

impl From<wire::Load> for Load {
    fn from(load: wire::Load) -> Self {
        Self {
            busy: load.busy,
            slots: load.slots,
            queued: load.queued,
            mean_latency: Duration::from_micros(load.pace_us),
            condition: load.condition().into(),
            evidence: load.evidence,
            gray_probability: load.doubt,
            rate_wait: Duration::from_micros(load.rate_wait_us),
            rejected_share: load.rejected_share,
            drain_time: Duration::from_micros(load.drain_us),
            level: load.level.map(Into::into).unwrap_or_default(),
        }
    }
}

/// Returns a duration in whole microseconds, saturating at `u64::MAX`.
pub fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
