//! Detects that the process did not run for a while.

use crate::prelude::*;

/// Time by which the system clock must run ahead of the monotonic clock to count as a suspension.
/// Corrections of the system clock are smaller, and a wrong detection only loses reserves.
const SUSPENSION_TIME: Duration = Duration::from_millis(100);
/// Time between two observations after which other nodes may have replaced this one as a root. They
/// need three pings, 500 ms apart, and the takeover delay of 1.5 s.
const MAX_ABSENCE: Duration = Duration::from_secs(2);

/// What the clocks say about the time since the last observation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClockGap {
    /// Nothing of note.
    None,
    /// The machine was suspended, and the monotonic clock has left out some time.
    Suspended,
    /// The process or the machine has stood still so long that others may have taken its roles.
    Absent,
}

/// Compares the advance of the monotonic clock, which stands still while some machines are
/// suspended, with that of the system clock.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ClockComparison(Option<(Instant, SystemTime)>);

impl ClockComparison {
    pub(super) fn observe(&mut self, now: Instant, system_time: SystemTime) -> ClockGap {
        let Some((instant, time)) = self.0.replace((now, system_time)) else {
            return ClockGap::None;
        };
        let elapsed = now.saturating_duration_since(instant);
        let total = system_time.duration_since(time).unwrap_or_default().max(elapsed);
        if total > MAX_ABSENCE {
            ClockGap::Absent
        } else if total > elapsed + SUSPENSION_TIME {
            ClockGap::Suspended
        } else {
            ClockGap::None
        }
    }
}
