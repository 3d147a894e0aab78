//! What the callers of several organisations get from a gate that has more work than slots.

mod support;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use lavenderflow_core::clock::ManualClock;
use lavenderflow_core::fair_share::FairShare;
use lavenderflow_core::gate::{Gate, GateAction, RunResult, SlotRequest};
use lavenderflow_core::id::AttemptId;
use lavenderflow_core::queue::{Queue, QueuedRequest};
use lavenderflow_core::reason::Reason;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use support::{attempt, clock, gate, service};

const SLOTS: u32 = 4;
const RUN_TIME: Duration = Duration::from_millis(50);
/// Requests per second that the slots can run.
const CAPACITY: f64 = 80.0;
const STEP: Duration = Duration::from_millis(1);
const DURATION: Duration = Duration::from_secs(20);
const WINDOW: Duration = Duration::from_secs(5);
/// Share of its fair share that an organisation must get in each window.
const LEAST_SHARE: f64 = 0.8;
/// How far the load of the heavy organisation exceeds its usual one.
const EXCESS: f64 = 7.5;
const SMALL: [&str; 6] = ["a", "b", "c", "d", "e", "f"];
const HEAVY: &str = "heavy";

fn request(serial: u64, organisation: Option<&str>) -> SlotRequest {
    SlotRequest {
        attempt: attempt(serial),
        incarnation: 1,
        service: service(),
        long: false,
        idempotent: false,
        queue_timeout: Duration::from_millis(600),
        remaining: Duration::from_secs(1),
        median_latency: Duration::ZERO,
        rank: 0,
        target_latency: Some(Duration::from_millis(400)),
        retryable: false,
        degraded: false,
        kind: None,
        gray_tolerance: 1.0,
        organisation: organisation.map(Into::into),
        organisation_rank: 0,
    }
}

/// Time and organisation of each request.
type Times = Vec<(Duration, &'static str)>;

/// A gate under load. Arrivals are a Poisson process per organisation.
struct Load {
    gate: Gate,
    clock: Arc<ManualClock>,
    now: Duration,
    running: BTreeMap<AttemptId, Duration>,
    owners: BTreeMap<AttemptId, &'static str>,
    sent: Times,
    started: Times,
}

impl Load {
    fn new() -> Self {
        let clock = clock();
        let mut gate = gate(1, &clock, SLOTS);
        // The gate learns how long a run takes.
        for serial in 1..=20 {
            gate.submit(request(serial, None));
            clock.advance(RUN_TIME);
            gate.finish(attempt(serial), RunResult::Success);
        }
        let (running, owners) = (BTreeMap::new(), BTreeMap::new());
        let now = Duration::ZERO;
        Self { gate, clock, now, running, owners, sent: Vec::new(), started: Vec::new() }
    }

    fn apply(&mut self, actions: Vec<GateAction>) {
        for action in actions {
            if let GateAction::Start { attempt, .. } = action {
                self.running.insert(attempt, self.now + RUN_TIME);
                self.started.push((self.now, self.owners[&attempt]));
            }
        }
    }

    /// Plays the load. `rates` are requests per second; with `names`, requests carry the names of
    /// their organisations.
    fn play(&mut self, rates: &[(&'static str, f64)], names: bool) {
        let mut rng = Pcg64Mcg::seed_from_u64(7);
        let mut serial = 100;
        while self.now < DURATION {
            self.now += STEP;
            self.clock.advance(STEP);
            let ended: Vec<AttemptId> =
                self.running.iter().filter(|(_, end)| **end <= self.now).map(|(a, _)| *a).collect();
            for attempt in ended {
                self.running.remove(&attempt);
                let (_, actions) = self.gate.finish(attempt, RunResult::Success);
                self.apply(actions);
            }
            for (name, rate) in rates {
                if !rng.random_bool(rate * STEP.as_secs_f64()) {
                    continue;
                }
                serial += 1;
                self.owners.insert(attempt(serial), name);
                self.sent.push((self.now, name));
                let actions = self.gate.submit(request(serial, names.then_some(*name)));
                self.apply(actions);
            }
            if self.now.as_millis().is_multiple_of(40) {
                let actions = self.gate.tick();
                self.apply(actions);
            }
            let load = self.gate.load(&service());
            assert!(
                load.queued == 0 || load.busy == SLOTS,
                "idle slot at {:?}: {load:?}",
                self.now
            );
        }
    }

    /// Returns the least part of its fair share that an organisation got in any window. What it did
    /// not ask for does not count.
    fn least_share(&self, name: &str, fair: f64) -> f64 {
        let count = |times: &Times, start: Duration| {
            let own = times.iter().filter(|(_, owner)| *owner == name);
            own.filter(|(time, _)| (start..start + WINDOW).contains(time)).count() as f64
        };
        let starts = (0..=150).map(|tenth| Duration::from_millis(tenth * 100));
        starts
            .map(|start| {
                let wanted = count(&self.sent, start).min(fair * WINDOW.as_secs_f64());
                count(&self.started, start) / wanted.max(1.0)
            })
            .fold(f64::INFINITY, f64::min)
    }

    fn served_share(&self, name: Option<&str>) -> f64 {
        let count = |times: &Times| {
            times.iter().filter(|(_, owner)| name.is_none_or(|name| *owner == name)).count() as f64
        };
        count(&self.started) / count(&self.sent)
    }
}

/// Guards against an organisation whose load crowds out the others.
#[test]
fn an_organisation_far_above_its_usual_load_takes_nothing_from_the_others() {
    // All organisations together usually need a little less than there is.
    let usual = CAPACITY * 0.9 / (SMALL.len() + 1) as f64;
    let mut rates: Vec<(&str, f64)> = SMALL.iter().map(|name| (*name, usual)).collect();
    rates.push((HEAVY, usual * EXCESS));
    let fair = CAPACITY / rates.len() as f64;
    let mut load = Load::new();
    load.play(&rates, true);
    for name in SMALL {
        let least = load.least_share(name, fair);
        assert!(least >= LEAST_SHARE, "{name} got {least:.2} of its fair share in a window");
        let (own, all) = (load.served_share(Some(name)), load.served_share(None));
        assert!(own >= all / 4.0, "{name} was served {own:.2}, all {all:.2}");
    }
    let heavy = load.least_share(HEAVY, fair);
    assert!(heavy >= LEAST_SHARE, "{HEAVY} got {heavy:.2} of its fair share in a window");
    // The load is one that needs sharing: in a common queue the others get far less.
    let mut common = Load::new();
    common.play(&rates, false);
    let least = SMALL.map(|name| common.least_share(name, fair)).into_iter().fold(1.0, f64::min);
    assert!(least < LEAST_SHARE, "{least:.2} without names");
}

/// Guards against slots that are kept for organisations that do not need them.
#[test]
fn an_organisation_alone_gets_all_slots() {
    let mut load = Load::new();
    load.play(&[(HEAVY, CAPACITY * 2.0)], true);
    let served = load.started.len() as f64 / DURATION.as_secs_f64();
    assert!(served > CAPACITY * 0.95, "{served} of {CAPACITY} a second");
}

/// Guards against another order of service where there are no organisations.
#[test]
fn without_organisations_the_order_is_by_time_left_and_priority_alone() {
    let start = Instant::now();
    let mut rng = Pcg64Mcg::seed_from_u64(11);
    for round in 0..500 {
        let mut queue = Queue::default();
        let mut expected = Vec::new();
        for serial in 0..rng.random_range(1..12) {
            let mut time = |limit| start + Duration::from_millis(rng.random_range(0..limit));
            let (queued_at, on_time_until, expires_at) = (time(500), time(1500), time(3000));
            let waiting = QueuedRequest {
                attempt: attempt(serial),
                queued_at,
                on_time_until,
                expires_at,
                at_deadline: false,
                rank: rng.random_range(0..3),
                group: None,
                group_rank: 0,
            };
            queue.push(waiting.clone());
            expected.push(waiting);
        }
        let now = start + Duration::from_millis(rng.random_range(500..2000));
        let mut shares = FairShare::default();
        shares.start(&None, now);
        while let Some(next) = queue.pop(&shares, now) {
            // Requests on time first, by their latest start; then late ones, the youngest first.
            // Equal ones in the order of arrival if on time, and in the opposite order if late.
            let place = |(index, w): &(usize, &QueuedRequest)| {
                let head_start = Duration::from_millis(250) * w.rank;
                match now < w.on_time_until {
                    true => (0, w.on_time_until - start + head_start, *index),
                    false => (1, now - w.queued_at + head_start, usize::MAX - index),
                }
            };
            let (index, _) = expected.iter().enumerate().min_by_key(place).expect("a request");
            assert_eq!(next.attempt, expected.remove(index).attempt, "round {round}");
        }
        assert!(expected.is_empty());
    }
}

fn started(actions: &[GateAction]) -> Vec<u64> {
    let starts = actions.iter().filter_map(|action| match action {
        GateAction::Start { attempt, .. } => Some(attempt.serial),
        _ => None,
    });
    starts.collect()
}

/// Returns a gate whose slots are all taken by requests without an organisation.
fn full_gate(clock: &Arc<ManualClock>) -> Gate {
    let mut gate = gate(1, clock, SLOTS);
    for serial in 1..=u64::from(SLOTS) {
        assert_eq!(started(&gate.submit(request(serial, None))), [serial]);
    }
    gate
}

/// Guards against a route's priority that outweighs the organisation's.
#[test]
fn the_priority_of_the_organisation_goes_before_that_of_the_route() {
    let clock = clock();
    let mut gate = full_gate(&clock);
    let low = SlotRequest { organisation_rank: 1, rank: 0, ..request(10, Some("low")) };
    let high = SlotRequest { organisation_rank: 0, rank: 5, ..request(11, Some("high")) };
    gate.submit(low);
    gate.submit(high);
    assert_eq!(started(&gate.finish(attempt(1), RunResult::Success).1), [11]);
    assert_eq!(started(&gate.finish(attempt(2), RunResult::Success).1), [10]);
}

/// Guards against a priority that outweighs the shares.
#[test]
fn an_organisation_that_holds_slots_waits_for_one_that_holds_none() {
    let clock = clock();
    let mut gate = full_gate(&clock);
    gate.submit(SlotRequest { rank: 0, ..request(10, Some("one")) });
    assert_eq!(started(&gate.finish(attempt(1), RunResult::Success).1), [10]);
    gate.submit(SlotRequest { organisation_rank: 0, ..request(11, Some("one")) });
    gate.submit(SlotRequest { organisation_rank: 9, ..request(12, Some("two")) });
    assert_eq!(started(&gate.finish(attempt(2), RunResult::Success).1), [12]);
    assert_eq!(started(&gate.finish(attempt(3), RunResult::Success).1), [11]);
}

/// Guards against a full queue that only the organisation that filled it can use.
#[test]
fn a_full_queue_has_room_for_an_organisation_with_fewer_requests_in_it() {
    let mut load = Load::new();
    let mut refused = Vec::new();
    let mut submit = |serial: u64, name: Option<&str>| {
        let actions = load.gate.submit(request(serial, name));
        refused.extend(actions.into_iter().filter_map(|action| match action {
            GateAction::Refuse { attempt, reason, .. } => Some((attempt.serial, reason)),
            _ => None,
        }));
        refused.pop()
    };
    let first_refused =
        (100..).find_map(|serial| submit(serial, Some(HEAVY))).expect("a full queue");
    assert_eq!(first_refused.1, Reason::QueueFull);
    // The newest request that waits gives way, and the organisation that fills the queue gets no
    // more.
    let newest = first_refused.0 - 1;
    assert_eq!(submit(1000, Some("a")), Some((newest, Reason::QueueFull)));
    assert_eq!(submit(1001, None), Some((newest - 1, Reason::QueueFull)));
    assert_eq!(submit(1002, Some(HEAVY)), Some((1002, Reason::QueueFull)));
    // A request that may not wait displaces none.
    let hasty = SlotRequest { queue_timeout: Duration::ZERO, ..request(1003, Some("b")) };
    assert_eq!(load.gate.submit(hasty).len(), 1);
    assert!(load.gate.holds(attempt(newest - 2)));
}
