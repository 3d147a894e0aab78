//! The actor that owns the counters.

use stakker::CX;
use tokio::sync::oneshot;

use crate::counter::Counters;
use crate::prelude::*;
use crate::status::Status;

/// Counts events and latencies for the metrics and status pages.
pub struct CountersActor {
    counters: Counters,
}

impl CountersActor {
    /// Starts the actor.
    pub fn init(_: CX![], counters: Counters) -> Option<Self> {
        Some(Self { counters })
    }

    /// Increments a counter.
    pub fn add(&mut self, _: CX![], counter: Counter) {
        self.counters.add(counter);
    }

    /// Sets the number of running attempts whose slot has no owner.
    pub fn set_orphaned(&mut self, _: CX![], attempts: usize) {
        self.counters.set_orphaned(attempts);
    }

    /// Increases a counter by `count`.
    pub fn add_many(&mut self, _: CX![], counter: Counter, count: u64) {
        self.counters.add_many(counter, count);
    }

    /// Records the latency of a stage.
    pub fn record_latency(&mut self, _: CX![], stage: Stage, time: Duration) {
        self.counters.record_latency(stage, time);
    }

    /// Sets the number of configuration documents and entries that are not in force.
    pub fn set_rejected(&mut self, _: CX![], count: usize) {
        self.counters.set_rejected(count);
    }

    /// Renders the metrics page.
    pub fn metrics(&mut self, _: CX![], reply: oneshot::Sender<String>) {
        // The send fails if the operator has disconnected.
        let _ = reply.send(self.counters.render());
    }

    /// Adds the counters to a status, which is then complete, and replies with it.
    pub fn status(&mut self, _: CX![], mut status: Status, reply: oneshot::Sender<Status>) {
        status.counters = self.counters.snapshot();
        let _ = reply.send(status);
    }
}
