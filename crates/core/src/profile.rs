//! Profiles: how patient, cautious and forgiving traffic to a service is.

use std::time::Duration;

use crate::id::ProfileName;

/// A named set of limits for the services that follow it.
#[derive(Clone, Debug, PartialEq)]
pub struct Profile {
    /// Name.
    pub name: ProfileName,
    /// How long work may wait and run.
    pub patience: Patience,
    /// How much capacity is protected.
    pub caution: Caution,
    /// How failures are forgiven.
    pub forgiveness: Forgiveness,
}

/// How long work may wait and run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Patience {
    /// Longest time in a gate's queue.
    pub queue: Duration,
    /// Deadline of short work.
    pub deadline: Duration,
    /// Deadline of long work.
    pub long: Duration,
}

/// How much capacity is protected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Caution {
    /// Least share of the announced capacity that stays in the choice, 0 to 1.
    pub floor: f64,
    /// Largest share of an upstream's slots that long work may hold, 0 to 1.
    pub long_share: f64,
    /// Bodies above this size in bytes make a request long.
    pub long_body: u64,
    /// Work that runs longer than this counts as long.
    pub long_after: Duration,
}

/// How failures are forgiven.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Forgiveness {
    /// Share of recent requests that may be repeated, 0 to 1.
    pub retries: f64,
    /// Most attempts per request.
    pub attempts: u32,
    /// First ejection time, doubled with each repetition.
    pub ejection: Duration,
    /// Share of failures that counts as normal, 0 to 1.
    pub errors: f64,
}

impl Default for Profile {
    fn default() -> Self {
        Self {
            name: "default".into(),
            patience: Patience {
                queue: Duration::from_millis(500),
                deadline: Duration::from_secs(2),
                long: Duration::from_secs(3600),
            },
            caution: Caution {
                floor: 0.6,
                long_share: 0.5,
                long_body: 64 * 1024,
                long_after: Duration::from_secs(1),
            },
            forgiveness: Forgiveness {
                retries: 0.1,
                attempts: 3,
                ejection: Duration::from_secs(2),
                errors: 0.03,
            },
        }
    }
}
