//! Profiles: time limits, protected capacity and failure handling for the traffic to a service.

use std::time::Duration;

use crate::id::ProfileName;

/// A named set of limits that services refer to.
#[derive(Clone, Debug, PartialEq)]
pub struct Profile {
    /// Name.
    pub name: ProfileName,
    /// How long requests may wait and run.
    pub patience: Patience,
    /// How much capacity is protected.
    pub caution: Caution,
    /// How failures are tolerated and retried.
    pub forgiveness: Forgiveness,
}

/// How long requests may wait and run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Patience {
    /// Longest wait in a gate's queue.
    pub queue: Duration,
    /// Deadline of short requests.
    pub deadline: Duration,
    /// Deadline of long requests.
    pub long: Duration,
}

/// How much capacity is protected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Caution {
    /// Least share of the announced capacity that stays eligible for selection, 0 to 1.
    pub floor: f64,
    /// Largest share of an upstream's slots that long requests may hold, 0 to 1.
    pub long_share: f64,
    /// Body size in bytes above which a request counts as long.
    pub long_body: u64,
    /// Execution time above which a request counts as long.
    pub long_after: Duration,
}

/// How failures are tolerated and retried.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Forgiveness {
    /// Retry budget as a share of recent requests, 0 to 1.
    pub retries: f64,
    /// Most attempts per request.
    pub attempts: u32,
    /// Duration of the first ejection; it doubles with each repeated ejection.
    pub ejection: Duration,
    /// Failure rate that counts as normal, 0 to 1.
    pub errors: f64,
    /// Largest share of the requests that may get a second copy while the first attempt is slow,
    /// 0 to 1. With 0, only attempts that their gates report as stuck get one, without this limit.
    pub hedges: f64,
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
                hedges: 0.0,
            },
        }
    }
}
