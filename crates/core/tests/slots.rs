//! Slots of a gate under any order of grants, results, cancellations and timeouts.

mod support;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use lavenderflow_core::clock::ManualClock;
use lavenderflow_core::gate::{Gate, GateAction, RunResult, SlotRequest};
use lavenderflow_core::id::AttemptId;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use support::{attempt, clock, gate, service};

const SLOTS: u32 = 4;
const SEEDS: u64 = 200;
const STEPS: usize = 300;
const RESULTS: [RunResult; 6] = [
    RunResult::Success,
    RunResult::ServerError,
    RunResult::ConnectFailed,
    RunResult::Broken,
    RunResult::TimedOut,
    RunResult::Cancelled,
];

/// A gate and the attempts that its callers have there.
struct Callers {
    gate: Gate,
    clock: Arc<ManualClock>,
    rng: Pcg64Mcg,
    waiting: BTreeSet<AttemptId>,
    running: BTreeSet<AttemptId>,
    next: u64,
}

impl Callers {
    fn new(seed: u64) -> Self {
        let clock = clock();
        let gate = gate(1, &clock, SLOTS);
        let (waiting, running) = (BTreeSet::new(), BTreeSet::new());
        Self { gate, clock, rng: Pcg64Mcg::seed_from_u64(seed), waiting, running, next: 1 }
    }

    fn request(&mut self) -> SlotRequest {
        let serial = self.next;
        self.next += 1;
        let long = self.rng.random_bool(0.2);
        let organisation = [None, Some("one"), Some("two")][self.rng.random_range(0..3)];
        SlotRequest {
            attempt: attempt(serial),
            incarnation: 1,
            service: service(),
            long,
            idempotent: self.rng.random_bool(0.5),
            queue_timeout: Duration::from_millis(self.rng.random_range(0..4) * 100),
            remaining: Duration::from_millis(self.rng.random_range(1..20) * 50),
            median_latency: Duration::ZERO,
            rank: self.rng.random_range(0..3),
            target_latency: self.rng.random_bool(0.5).then_some(Duration::from_millis(200)),
            retryable: true,
            degraded: false,
            kind: self.rng.random_bool(0.5).then_some(1),
            gray_tolerance: self.rng.random_range(0.0..1.0),
            organisation: organisation.map(Into::into),
            organisation_rank: self.rng.random_range(0..3),
        }
    }

    fn pick(&mut self, from: fn(&Self) -> &BTreeSet<AttemptId>) -> Option<AttemptId> {
        let count = from(self).len();
        let index = self.rng.random_range(0..count.max(1));
        from(self).iter().nth(index).copied()
    }

    fn apply(&mut self, actions: Vec<GateAction>) {
        for action in actions {
            match action {
                GateAction::Start { attempt, .. } => {
                    assert!(self.waiting.remove(&attempt), "{attempt:?} started twice");
                    self.running.insert(attempt);
                }
                GateAction::Refuse { attempt, .. } => {
                    assert!(self.waiting.remove(&attempt), "{attempt:?} has already been decided");
                }
                _ => {}
            }
        }
    }

    fn step(&mut self) {
        let actions = match self.rng.random_range(0..10) {
            0..4 => {
                let request = self.request();
                self.waiting.insert(request.attempt);
                self.gate.submit(request)
            }
            4 | 5 => {
                let Some(attempt) = self.pick(|callers| &callers.running) else { return };
                self.running.remove(&attempt);
                let result = RESULTS[self.rng.random_range(0..RESULTS.len())];
                self.gate.finish(attempt, result).1
            }
            6 => {
                let Some(attempt) = self.pick(|callers| &callers.waiting) else { return };
                self.waiting.remove(&attempt);
                self.gate.cancel(attempt)
            }
            7 => {
                let Some(attempt) = self.pick(|callers| &callers.running) else { return };
                self.running.remove(&attempt);
                self.gate.cancel(attempt)
            }
            8 => self.gate.cancel(attempt(self.next + 1000)),
            _ => {
                self.clock.advance(Duration::from_millis(self.rng.random_range(1..120)));
                self.gate.tick()
            }
        };
        self.apply(actions);
    }

    /// Checks that each slot is either free or has a caller, and that no slot is free while a
    /// request waits for one.
    fn check(&self, context: &str) {
        let load = self.gate.load(&service());
        assert_eq!(self.gate.in_flight(), self.running.len(), "running attempts, {context}");
        assert_eq!(load.busy as usize, self.running.len(), "busy slots, {context}");
        assert!(load.busy <= SLOTS, "{} of {SLOTS} slots are busy, {context}", load.busy);
        assert_eq!(load.queued as usize, self.waiting.len(), "queued attempts, {context}");
    }
}

/// Guards against slots that stay occupied after their callers have gone (`review/1`).
#[test]
fn every_slot_is_free_or_has_a_caller() {
    for seed in 0..SEEDS {
        let mut callers = Callers::new(seed);
        for step in 0..STEPS {
            callers.step();
            callers.check(&format!("seed {seed} step {step}"));
        }
        // All callers leave, in any order.
        while let Some(attempt) = callers.pick(|callers| &callers.running) {
            callers.running.remove(&attempt);
            let actions = callers.gate.cancel(attempt);
            callers.apply(actions);
        }
        while let Some(attempt) = callers.pick(|callers| &callers.waiting) {
            callers.waiting.remove(&attempt);
            let actions = callers.gate.cancel(attempt);
            callers.apply(actions);
        }
        callers.check(&format!("seed {seed} at the end"));
        assert_eq!((callers.gate.in_flight(), callers.gate.is_idle()), (0, true), "seed {seed}");
    }
}

/// Guards against a duplicate of an attempt that takes a slot for which only one result arrives.
#[test]
fn a_duplicate_of_an_attempt_takes_no_slot() {
    let mut callers = Callers::new(1);
    let request = SlotRequest { idempotent: true, kind: None, ..callers.request() };
    let request = SlotRequest { queue_timeout: Duration::from_secs(1), ..request };
    callers.gate.submit(request.clone());
    callers.gate.submit(request);
    assert_eq!(callers.gate.load(&service()).busy, 1);
    callers.gate.cancel(attempt(1));
    assert_eq!(callers.gate.load(&service()).busy, 0);
}
