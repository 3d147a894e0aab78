//! Keeps ejection from reducing the capacity of a service below its floor.

/// A gate of a service, as input of [`select`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Announced slots.
    pub slots: u32,
    /// Whether its upstreams look unhealthy or it seems to be unreachable.
    pub unhealthy: bool,
    /// Weight of the evidence against it.
    pub evidence: f32,
}

/// Returns which candidates are eligible.
///
/// All healthy candidates are. While they have less than `floor` (0 to 1) of all slots, the
/// unhealthy ones with the least evidence are added back.
///
/// # Examples
///
/// ```
/// use lavenderflow_core::floor::{Candidate, select};
///
/// let healthy = Candidate { slots: 4, unhealthy: false, evidence: 0.0 };
/// let unhealthy = |evidence| Candidate { slots: 4, unhealthy: true, evidence };
/// let eligible = select(&[healthy, unhealthy(20.0), unhealthy(15.0)], 0.6);
/// assert_eq!(eligible, [true, false, true]);
/// ```
pub fn select(candidates: &[Candidate], floor: f64) -> Vec<bool> {
    let total: u32 = candidates.iter().map(|c| c.slots).sum();
    let least = f64::from(total) * floor.clamp(0.0, 1.0);
    let mut eligible: Vec<bool> = candidates.iter().map(|c| !c.unhealthy).collect();
    let mut capacity: u32 = candidates.iter().filter(|c| !c.unhealthy).map(|c| c.slots).sum();
    let mut unhealthy: Vec<usize> = (0..candidates.len()).filter(|i| !eligible[*i]).collect();
    unhealthy.sort_by(|a, b| candidates[*a].evidence.total_cmp(&candidates[*b].evidence));
    for index in unhealthy {
        if f64::from(capacity) >= least {
            break;
        }
        eligible[index] = true;
        capacity += candidates[index].slots;
    }
    eligible
}
