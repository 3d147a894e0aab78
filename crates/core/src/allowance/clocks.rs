//! Detects that the machine was suspended.

use crate::prelude::*;

/// Time by which the system clock must run ahead of the monotonic clock to count as a suspension.
/// Corrections of the system clock are smaller, and a wrong detection only loses reserves.
const SUSPENSION_TIME: Duration = Duration::from_millis(100);

/// Compares the advance of the monotonic clock, which stands still while some machines are
/// suspended, with that of the system clock.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ClockComparison(Option<(Instant, SystemTime)>);

impl ClockComparison {
    /// Returns whether the machine was suspended since the last call.
    pub(super) fn observe(&mut self, now: Instant, system_time: SystemTime) -> bool {
        let Some((instant, time)) = self.0.replace((now, system_time)) else { return false };
        let elapsed = now.saturating_duration_since(instant);
        system_time.duration_since(time).is_ok_and(|total| total > elapsed + SUSPENSION_TIME)
    }
}
