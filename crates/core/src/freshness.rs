//! How long ago the configuration of this node was confirmed to be the newest.
//!
//! A store without changes looks like a store whose responses do not arrive. Nodes therefore tell
//! each other how long ago a source was read, and a node whose configuration has not been confirmed
//! for too long reads the source itself, whoever is supposed to watch it.

use crate::id::SourceName;
use crate::prelude::*;

/// Share of the greatest age over which the nodes of a fleet spread their reads, since the first of
/// them makes the others needless.
const SPREAD_SHARE: f64 = 0.15;
/// Most times that the interval between two reads is doubled while none succeeds.
const MAX_DOUBLINGS: u32 = 2;

/// Time that is added to an age for the way from the peer, so that a confirmation does not become
/// younger by being passed around.
const TRANSIT_TIME: Duration = Duration::from_millis(10);
/// Shortest time for which a timer is set.
const MIN_TIMER: Duration = Duration::from_millis(1);

/// Age of the last read of a source, by any node, as a peer reports it.
pub type Confirmation = (SourceName, Duration);

#[derive(Debug)]
struct Source {
    max_age: Duration,
    confirmed_at: Option<Instant>,
    next_read: Instant,
    // Reads since the last confirmation.
    reads: u32,
}

/// Tracks when each source of configuration was last confirmed.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use lavenderflow_core::freshness::Freshness;
///
/// let start = Instant::now();
/// let second = Duration::from_secs(1);
/// let mut freshness = Freshness::new([("config/".into(), second)], 0.0, start);
/// freshness.confirm("config/", start + second / 2, start + second / 2);
/// assert!(freshness.take_due(start + second).is_empty());
/// assert_eq!(freshness.take_due(start + second * 2), ["config/".into()]);
/// ```
#[derive(Debug)]
pub struct Freshness {
    sources: IndexMap<SourceName, Source>,
    spread: f64,
}

impl Freshness {
    /// Tracks sources, each with the greatest age of a confirmation.
    ///
    /// `position` is the place of this node, from 0 to 1, in the time over which the nodes of a
    /// fleet spread their reads.
    pub fn new(
        sources: impl IntoIterator<Item = (SourceName, Duration)>,
        position: f64,
        now: Instant,
    ) -> Self {
        let spread = 1.0 + SPREAD_SHARE * position;
        let source = |max_age: Duration| Source {
            max_age,
            confirmed_at: None,
            next_read: now + max_age.mul_f64(spread),
            reads: 0,
        };
        let sources = sources.into_iter().map(|(name, max_age)| (name, source(max_age))).collect();
        Self { sources, spread }
    }

    /// Records that a source contained nothing newer at some time.
    pub fn confirm(&mut self, name: &str, time: Instant, now: Instant) {
        let Some(source) = self.sources.get_mut(name) else { return };
        if source.confirmed_at.is_some_and(|known| time <= known) {
            return;
        }
        source.confirmed_at = Some(time);
        let next_read = time + source.max_age.mul_f64(self.spread);
        // One that is too old changes nothing about the reads that are due.
        if next_read > now {
            source.next_read = next_read;
            source.reads = 0;
        }
    }

    /// Records what a peer with the same configuration reports.
    pub fn adopt(&mut self, confirmations: &[Confirmation], now: Instant) {
        for (name, age) in confirmations {
            if let Some(time) = now.checked_sub(*age + TRANSIT_TIME) {
                self.confirm(name, time, now);
            }
        }
    }

    /// Returns the ages to report to a peer.
    pub fn confirmations(&self, now: Instant) -> Vec<Confirmation> {
        let confirmed = self.sources.iter().filter_map(|(name, source)| {
            Some((name.clone(), now.saturating_duration_since(source.confirmed_at?)))
        });
        confirmed.collect()
    }

    /// Returns the age of the last confirmation of a source, if there was one.
    pub fn age(&self, name: &str, now: Instant) -> Option<Duration> {
        let confirmed_at = self.sources.get(name)?.confirmed_at?;
        Some(now.saturating_duration_since(confirmed_at))
    }

    /// Returns the time until the next source is to be read if nothing confirms it; never zero, so
    /// that it can be set as a timer also when a read is overdue.
    pub fn time_to_read(&self, now: Instant) -> Option<Duration> {
        let next = self.sources.values().map(|source| source.next_read).min()?;
        Some(next.saturating_duration_since(now).max(MIN_TIMER))
    }

    /// Returns the sources that this node is to read now.
    pub fn take_due(&mut self, now: Instant) -> Vec<SourceName> {
        let due = self.sources.iter_mut().filter(|(_, source)| source.next_read <= now);
        due.map(|(name, source)| {
            let doublings = source.reads.min(MAX_DOUBLINGS);
            source.next_read = now + source.max_age.mul_f64(self.spread) * (1 << doublings);
            source.reads += 1;
            name.clone()
        })
        .collect()
    }
}
