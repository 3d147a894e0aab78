//! Owns the counters.

use cadence::StatsdClient;
use stakker::CX;
use tokio::sync::oneshot;

use crate::counter::Counters;
use crate::prelude::*;
use crate::status::Status;

/// Owns the counters.
pub struct CountersActor {
    counters: Counters,
}

impl CountersActor {
    /// Starts the actor.
    pub fn init(_: CX![], client: StatsdClient) -> Option<Self> {
        Some(Self { counters: Counters::new(client) })
    }

    /// Adds one to a counter.
    pub fn add(&mut self, _: CX![], counter: Counter) {
        self.counters.add(counter);
    }

    /// Adds the time that a stage took.
    pub fn measure(&mut self, _: CX![], stage: Stage, time: Duration) {
        self.counters.record_latency(stage, time);
    }

    /// Renders the metrics page.
    pub fn metrics(&mut self, _: CX![], reply: oneshot::Sender<String>) {
        // The operator may not have waited.
        let _ = reply.send(self.counters.render());
    }

    /// Completes a status with the counters and sends it.
    pub fn status(&mut self, _: CX![], mut status: Status, reply: oneshot::Sender<Status>) {
        status.counters = self.counters.snapshot();
        let _ = reply.send(status);
    }
}
