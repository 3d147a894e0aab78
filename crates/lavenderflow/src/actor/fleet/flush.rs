//! Sends changes to the peers that this node pings, without waiting for the next ping.

use stakker::{CX, timer_min};

use super::FleetActor;
use crate::prelude::*;

/// Time for which changes are batched before they are sent.
const BATCH_TIME: Duration = Duration::from_millis(20);
/// Least interval between two flushes while a peer lacks or requests documents.
const DOCUMENT_INTERVAL: Duration = Duration::from_millis(100);
/// Least interval between two flushes of changes of the membership. It bounds the exchanges per
/// second however many nodes change; in a fleet of hundreds of nodes a change still reaches all of
/// them in about a second.
const MEMBER_INTERVAL: Duration = Duration::from_millis(300);

impl FleetActor {
    /// Schedules a flush, unless an earlier one is already scheduled.
    pub(super) fn schedule_flush(&mut self, cx: CX![]) {
        let subjects = self.roster.subjects();
        let mut peers = subjects.iter();
        let is_urgent =
            peers.any(|node| self.gossip.has_documents(&self.roster, &self.catalog, *node));
        let interval = if is_urgent { DOCUMENT_INTERVAL } else { MEMBER_INTERVAL };
        let now = cx.now();
        let earliest = self.flushed_at.map_or(now, |time| time + interval);
        timer_min!(&mut self.flush_timer, earliest.max(now + BATCH_TIME), [cx], flush());
    }

    /// Pings the subjects that lack changes.
    fn flush(&mut self, cx: CX![]) {
        self.flushed_at = Some(cx.now());
        for node in self.roster.subjects() {
            if self.gossip.has_pending(&self.roster, &self.catalog, node) {
                self.ping(node);
            }
        }
    }
}
