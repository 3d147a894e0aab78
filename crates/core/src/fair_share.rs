//! Shares the slots of a service at one gate fairly between the organisations whose requests wait.

use crate::prelude::*;

/// The requests of one organisation, or those without an organisation.
pub type Group = Option<OrganisationName>;

/// Time constant with which past service is forgotten. An organisation that returns after a pause
/// may hold twice its fair share at first. With this constant, that takes about a tenth of the fair
/// share of another one within 5 s, where at most a fifth may be missing.
const MEMORY: Duration = Duration::from_secs(1);
/// Steps into which the fair share is divided. Groups within one step are equal and served by their
/// priority, which therefore moves at most a tenth of a fair share.
const STEPS_PER_SHARE: f64 = 10.0;
/// Share, in slots, below which a group without running requests is forgotten.
const NEGLIGIBLE_SHARE: f64 = 0.001;

/// The service that a group has received.
#[derive(Clone, Copy, Debug)]
struct Usage {
    running: u32,
    // Mean of the running requests over the past, weighted by age.
    recent: f64,
    updated: Instant,
}

impl Usage {
    fn recent(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        let kept = (-elapsed / MEMORY.as_secs_f64()).exp();
        self.recent * kept + f64::from(self.running) * (1.0 - kept)
    }

    /// Returns the slots that the group holds and has held, with equal weight.
    fn share(&self, now: Instant) -> f64 {
        f64::from(self.running) + self.recent(now)
    }

    fn set_running(&mut self, running: u32, now: Instant) {
        *self = Self { running, recent: self.recent(now), updated: now };
    }
}

/// Records the service of each group, and decides whose request is next and whose gives way.
///
/// # Examples
///
/// ```
/// use std::time::Instant;
///
/// use lavenderflow_core::fair_share::FairShare;
///
/// let (now, mut shares) = (Instant::now(), FairShare::default());
/// let (one, two) = (Some("one".into()), Some("two".into()));
/// shares.start(&one, now);
/// let levels = shares.levels([&one, &two], now);
/// assert!(levels.of(&two) < levels.of(&one));
/// ```
#[derive(Debug, Default)]
pub struct FairShare {
    usage: IndexMap<Group, Usage>,
}

impl FairShare {
    /// Records that a request of a group has got a slot.
    pub fn start(&mut self, group: &Group, now: Instant) {
        let new = Usage { running: 0, recent: 0.0, updated: now };
        let usage = self.usage.entry(group.clone()).or_insert(new);
        usage.set_running(usage.running + 1, now);
    }

    /// Records that a request of a group has given its slot back.
    pub fn finish(&mut self, group: &Group, now: Instant) {
        if let Some(usage) = self.usage.get_mut(group) {
            usage.set_running(usage.running.saturating_sub(1), now);
        }
    }

    /// Forgets groups that have had no service lately.
    pub fn forget_idle(&mut self, now: Instant) {
        self.usage.retain(|_, usage| usage.running > 0 || usage.share(now) > NEGLIGIBLE_SHARE);
    }

    /// Compares the groups whose requests wait by the service that they have received.
    pub fn levels<'a>(
        &self,
        waiting: impl IntoIterator<Item = &'a Group>,
        now: Instant,
    ) -> ShareLevels<'a> {
        let groups: IndexSet<&Group> = waiting.into_iter().collect();
        if groups.len() < 2 {
            return ShareLevels::default();
        }
        let share = |group| self.usage.get(group).map_or(0.0, |usage| usage.share(now));
        let shares: Vec<(&Group, f64)> = groups.into_iter().map(|g| (g, share(g))).collect();
        let fair: f64 = shares.iter().map(|(_, share)| share).sum::<f64>() / shares.len() as f64;
        let step = (fair / STEPS_PER_SHARE).max(NEGLIGIBLE_SHARE);
        ShareLevels(
            shares.into_iter().map(|(group, share)| (group, (share / step) as u64)).collect(),
        )
    }
}

/// The service that groups have received, in steps of a part of their fair share.
#[derive(Debug, Default)]
pub struct ShareLevels<'a>(IndexMap<&'a Group, u64>);

impl ShareLevels<'_> {
    /// Returns the level of a group; the lowest one is served first. All groups are equal when none
    /// competes with another one.
    pub fn of(&self, group: &Group) -> u64 {
        self.0.get(group).copied().unwrap_or_default()
    }
}

/// Returns the position of the request that gives way to a new one in a full queue: the newest of
/// the group with the most waiting requests, if the new one's group has fewer.
///
/// `waiting` holds the groups of the waiting requests, in the order of their arrival.
///
/// # Examples
///
/// ```
/// use lavenderflow_core::fair_share::displaced;
///
/// let (one, two) = (Some("one".into()), Some("two".into()));
/// assert_eq!(displaced(&two, [&one, &one, &two]), Some(1));
/// assert_eq!(displaced(&one, [&one, &one, &two]), None);
/// assert_eq!(displaced(&None, [&None, &None]), None);
/// ```
pub fn displaced<'a>(new: &Group, waiting: impl IntoIterator<Item = &'a Group>) -> Option<usize> {
    let mut groups: IndexMap<&Group, (usize, usize)> = IndexMap::new();
    for (place, group) in waiting.into_iter().enumerate() {
        let (count, newest) = groups.entry(group).or_default();
        (*count, *newest) = (*count + 1, place);
    }
    let own = groups.get(new).map_or(0, |(count, _)| *count);
    let (most, newest) = groups.into_values().max()?;
    (own < most).then_some(newest)
}
