//! Tests the accounting of held memory, and which connections are closed for the limits.

use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use lavenderflow_core::connections::{
    CLOSE_TIMEOUT, CloseReason, Closing, ConnectionId, ConnectionTable, must_drop,
};
use lavenderflow_core::memory::{Budget, HeldKind, HoldLimits, OverLimit, Share};
use lavenderflow_core::progress::{Phase, Progress};
use lavenderflow_core::timeout_history::ProgressTimeouts;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const SECOND: Duration = Duration::from_secs(1);

fn address(last: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 0, 0, last))
}

fn table(limits: HoldLimits) -> (ConnectionTable, Budget) {
    let budget = Budget::new(limits.node_bytes);
    (ConnectionTable::new(limits, budget.clone()), budget)
}

fn open(
    table: &mut ConnectionTable,
    source: IpAddr,
    start: Instant,
) -> (ConnectionId, Budget, Arc<Progress>) {
    let progress = Arc::new(Progress::new(start));
    let (id, budget) = table.open(source, Arc::clone(&progress), None).expect("a connection");
    (id, budget, progress)
}

fn ids(closing: &[Closing], reason: CloseReason) -> Vec<ConnectionId> {
    closing.iter().filter(|c| c.reason == reason).map(|c| c.connection).collect()
}

/// Guards against shares that are released twice or not at all, and against limits that are
/// exceeded, whatever the order of claims, resizes and drops.
#[test]
fn shares_never_exceed_a_limit_and_are_all_released() {
    for seed in 0..200 {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let node = Budget::new(Some(1000));
        let sources = [node.source(Some(600)), node.source(Some(600))];
        let connections: Vec<Budget> =
            (0..8).map(|index| sources[index % 2].connection(Some(250))).collect();
        let mut shares: Vec<(usize, Share, u64)> = Vec::new();
        for _ in 0..300 {
            let bytes = random.random_range(0..200);
            match random.random_range(0..3) {
                0 => {
                    let owner = random.random_range(0..connections.len());
                    let kind = HeldKind::ALL[random.random_range(0..HeldKind::ALL.len())];
                    if let Ok(share) = connections[owner].claim(kind, bytes) {
                        shares.push((owner, share, bytes));
                    }
                }
                1 if !shares.is_empty() => {
                    let index = random.random_range(0..shares.len());
                    let (_, share, size) = &mut shares[index];
                    if share.resize(bytes).is_ok() {
                        *size = bytes;
                    }
                }
                _ if !shares.is_empty() => {
                    shares.swap_remove(random.random_range(0..shares.len()));
                }
                _ => {}
            }
            let held = |owners: &dyn Fn(usize) -> bool| {
                let owned = shares.iter().filter(|(owner, ..)| owners(*owner));
                owned.map(|(_, _, size)| size).sum::<u64>()
            };
            assert_eq!(node.held(), held(&|_| true), "seed {seed}");
            assert!(node.held() <= 1000, "seed {seed}");
            let by_kind: u64 = node.held_by_kind().iter().map(|(_, bytes)| bytes).sum();
            assert_eq!(by_kind, node.held(), "seed {seed}");
            for (index, source) in sources.iter().enumerate() {
                assert_eq!(source.held(), held(&|owner| owner % 2 == index), "seed {seed}");
                assert!(source.held() <= 600, "seed {seed}");
            }
            for (index, connection) in connections.iter().enumerate() {
                assert_eq!(connection.held(), held(&|owner| owner == index), "seed {seed}");
                assert!(connection.held() <= 250, "seed {seed}");
            }
        }
        shares.clear();
        assert_eq!(node.held(), 0, "seed {seed}");
    }
}

/// Guards against a reader that waits for memory which can never become free.
#[test]
fn only_a_limit_that_others_share_is_worth_waiting_for() {
    let node = Budget::new(Some(100));
    let connection = node.source(None).connection(Some(50));
    assert_eq!(connection.claim(HeldKind::Body, 60).unwrap_err(), OverLimit::Connection);
    assert!(!node.take_refusal());
    let _other = node.claim(HeldKind::Body, 80).expect("a share");
    assert_eq!(connection.claim(HeldKind::Body, 40).unwrap_err(), OverLimit::Shared);
    assert!(node.take_refusal());
    assert!(!node.take_refusal());
}

/// Guards against closing requests that are served, or that still arrive, for a shortage.
#[test]
fn the_connections_that_wait_longest_for_their_callers_are_closed_first() {
    let start = Instant::now();
    let limits = HoldLimits { node_bytes: Some(1 << 20), ..HoldLimits::default() };
    let (mut table, node) = table(limits);
    let mut shares = Vec::new();
    let mut opened = Vec::new();
    for last in 0..6 {
        let (id, budget, progress) = open(&mut table, address(last), start);
        progress.set_phase(Phase::Receiving, start + SECOND * u32::from(last));
        shares.push(budget.claim(HeldKind::Body, 130 << 10).expect("a share"));
        opened.push((id, progress));
    }
    let now = start + SECOND * 10;
    opened[0].1.set_phase(Phase::Processing, start);
    opened[1].1.receive(100 << 10, now);
    assert!(node.claim(HeldKind::Body, 100 << 10).is_err());
    let closing = table.sweep(now, ProgressTimeouts::default());
    assert_eq!(ids(&closing, CloseReason::MemoryLimit), [opened[2].0]);
    // It is on its way out, so nothing more is closed for the same shortage.
    assert!(node.claim(HeldKind::Body, 100 << 10).is_err());
    assert_eq!(table.sweep(now, ProgressTimeouts::default()), []);
    shares.remove(2);
    table.close(opened[2].0);
    assert!(node.claim(HeldKind::Body, 100 << 10).is_ok());
    shares.clear();
    opened.iter().for_each(|(id, _)| table.close(*id));
    assert_eq!(node.held(), 0);
}

/// Guards against a crowd that sends a byte now and then and so keeps all others out (review/10).
#[test]
fn callers_that_trickle_make_room_for_others() {
    const TENTH: Duration = Duration::from_millis(100);
    let start = Instant::now();
    let limits = HoldLimits { node_bytes: Some(1 << 20), ..HoldLimits::default() };
    let trickling = [Phase::Head, Phase::Receiving, Phase::Responding];
    for phase in trickling {
        let (mut table, node) = table(limits);
        let opened: Vec<_> = (0..32).map(|_| open(&mut table, address(1), start)).collect();
        opened.iter().for_each(|(_, _, progress)| progress.set_phase(phase, start));
        let mut now = start;
        for _ in 0..20 {
            now += TENTH;
            for (_, _, progress) in &opened {
                if phase == Phase::Responding {
                    progress.send(Some(1), now);
                    progress.send(None, now);
                } else {
                    progress.receive(1, now);
                }
            }
        }
        assert!(node.claim(HeldKind::Connection, 32 << 10).is_err());
        let closing = table.sweep(now, ProgressTimeouts::default());
        let closed = ids(&closing, CloseReason::MemoryLimit);
        assert!(!closed.is_empty() && closed.len() < 4, "{phase:?}: {closed:?}");
    }
}

/// Guards against a crowd whose own new connections take the room that is made for others.
#[test]
fn a_new_connection_replaces_one_that_waits_for_its_caller() {
    let start = Instant::now();
    let limits = HoldLimits { source_bytes: Some(1 << 20), ..HoldLimits::default() };
    let (mut table, node) = table(limits);
    assert_eq!(table.replace_in_source(address(1), start), None);
    let opened: Vec<_> = (0..32).map(|_| open(&mut table, address(1), start)).collect();
    opened.iter().skip(8).for_each(|(_, _, progress)| progress.begin_request(start));
    // Nobody has waited for long enough.
    assert_eq!(table.replace_in_source(address(1), start), None);
    let refused = table.open(address(1), Arc::new(Progress::new(start)), None);
    assert_eq!(refused.map(|_| ()).unwrap_err(), CloseReason::MemoryLimit);
    let now = start + SECOND;
    for (waiting, ..) in &opened[..2] {
        let replaced = table.replace_in_source(address(1), now);
        let closing = replaced.map(|closing| (closing.connection, closing.reason));
        assert_eq!(closing, Some((*waiting, CloseReason::MemoryLimit)));
        assert!(table.open(address(1), Arc::new(Progress::new(now)), replaced).is_ok());
    }
    // The limit is exceeded by a sixteenth at most.
    assert_eq!(table.replace_in_source(address(1), now), None);
    assert_eq!(node.held(), (1 << 20) + (64 << 10));
    assert!(table.open(address(2), Arc::new(Progress::new(now)), None).is_ok());
}

/// Guards against closing uploads and downloads that go on, or that wait for the node.
#[test]
fn callers_that_keep_up_are_not_closed_for_others() {
    const TENTH: Duration = Duration::from_millis(100);
    let start = Instant::now();
    let limits = HoldLimits { node_bytes: Some(96 << 10), ..HoldLimits::default() };
    let (mut table, node) = table(limits);
    let (_, _, upload) = open(&mut table, address(1), start);
    let (_, _, waiting) = open(&mut table, address(1), start);
    let (_, _, download) = open(&mut table, address(1), start);
    upload.set_phase(Phase::Receiving, start);
    download.set_phase(Phase::Responding, start);
    let mut now = start;
    for _ in 0..50 {
        now += TENTH;
        upload.receive(2048, now);
        download.send(Some(2048), now);
        download.send(None, now);
        // A body of which the gate takes a part a second.
        waiting.set_phase(Phase::Processing, now);
        waiting.set_phase(Phase::Receiving, now + TENTH - TENTH / 100);
        waiting.receive(100, now + TENTH);
        assert!(node.claim(HeldKind::Connection, 32 << 10).is_err());
        assert_eq!(table.sweep(now, ProgressTimeouts::default()), []);
    }
}

/// Guards against one source address that keeps all others out, and against a crowd of idle
/// connections that does.
#[test]
fn idle_connections_make_room_for_new_ones() {
    let start = Instant::now();
    let limits = HoldLimits::derive(0, 64);
    assert_eq!((limits.connections, limits.source_connections), (Some(32), Some(24)));
    let (mut table, _) = table(limits);
    let first: Vec<_> = (0..24).map(|_| open(&mut table, address(1), start)).collect();
    let refused = table.open(address(1), Arc::new(Progress::new(start)), None);
    assert_eq!(refused.map(|_| ()).unwrap_err(), CloseReason::ConnectionLimit);
    let others: Vec<_> = (0..8).map(|_| open(&mut table, address(2), start)).collect();
    assert!(!table.has_room());
    // Connections that have just made progress stay.
    assert_eq!(table.sweep(start, ProgressTimeouts::default()), []);
    others.iter().for_each(|(_, _, progress)| progress.set_phase(Phase::Processing, start));
    let closing = table.sweep(start + SECOND, ProgressTimeouts::default());
    let closed = ids(&closing, CloseReason::ConnectionLimit);
    assert!(!closed.is_empty() && closed.len() < 4, "{closed:?}");
    assert!(closed.iter().all(|id| first.iter().any(|(first, ..)| first == id)), "{closed:?}");
    closed.iter().for_each(|id| table.close(*id));
    assert!(table.has_room());
    open(&mut table, address(1), start);
}

/// Guards against requests that never end, and against closing for time where the node itself, or
/// the pause between two requests, is what takes long.
#[test]
fn only_callers_without_progress_meet_the_time_bounds() {
    let start = Instant::now();
    let (mut table, _) = table(HoldLimits::default());
    let timeouts = ProgressTimeouts { head: Some(SECOND * 6), body: Some(SECOND * 30) };
    let phases = [Phase::Idle, Phase::Head, Phase::Receiving, Phase::Processing, Phase::Responding];
    let opened = phases.map(|phase| {
        let (id, _, progress) = open(&mut table, address(1), start);
        progress.set_phase(phase, start);
        (id, progress)
    });
    assert_eq!(table.sweep(start + SECOND * 6, timeouts), []);
    // A head that arrives slowly does not get longer for that.
    opened[1].1.receive(1, start + SECOND * 5);
    let closing = table.sweep(start + SECOND * 7, timeouts);
    assert_eq!(ids(&closing, CloseReason::Timeout), [opened[1].0]);
    // A body and a response do.
    opened[2].1.receive(1, start + SECOND * 20);
    opened[4].1.send(None, start + SECOND * 20);
    assert_eq!(table.sweep(start + SECOND * 29, timeouts), []);
    opened[4].1.send(Some(1), start + SECOND * 29);
    let closing = table.sweep(start + SECOND * 51, timeouts);
    assert_eq!(ids(&closing, CloseReason::Timeout), [opened[2].0]);
    opened[4].1.send(None, start + SECOND * 51);
    let closing = table.sweep(start + SECOND * 82, timeouts);
    assert_eq!(ids(&closing, CloseReason::Timeout), [opened[4].0]);
}

/// Guards against callers that read nothing and keep what is written to them, where no bound is
/// configured.
#[test]
fn responses_that_are_not_read_meet_a_bound_by_default() {
    let start = Instant::now();
    let (mut table, _) = table(HoldLimits::default());
    // The last response of an idle connection can be unread too.
    let opened = [Phase::Responding, Phase::Idle].map(|phase| {
        let (id, _, progress) = open(&mut table, address(1), start);
        progress.set_phase(phase, start);
        progress.send(None, start);
        (id, progress)
    });
    let reader = open(&mut table, address(1), start).2;
    reader.set_phase(Phase::Responding, start);
    let idle = open(&mut table, address(1), start).2;
    idle.set_phase(Phase::Idle, start);
    let later = start + SECOND * 59;
    assert_eq!(table.sweep(later, ProgressTimeouts::default()), []);
    reader.send(Some(1), later);
    reader.send(None, later);
    let closing = table.sweep(start + SECOND * 61, ProgressTimeouts::default());
    assert_eq!(ids(&closing, CloseReason::Timeout), opened.map(|(id, _)| id));
}

/// Guards against requests that are cut because their connection was chosen for closing before they
/// were read, and against connections that never close.
#[test]
fn closing_connections_are_dropped_once_no_caller_waits_for_an_answer() {
    let start = Instant::now();
    for reason in CloseReason::ALL {
        let progress = Progress::new(start);
        progress.set_phase(Phase::Head, start);
        assert!(!must_drop(reason, &progress, start));
        assert!(must_drop(reason, &progress, start + CLOSE_TIMEOUT));
        progress.begin_request(start);
        for phase in [Phase::Receiving, Phase::Processing] {
            progress.set_phase(phase, start);
            assert!(!must_drop(reason, &progress, start + SECOND * 60), "{reason:?}");
        }
        let answered = start + SECOND * 60;
        progress.set_phase(Phase::Responding, answered);
        assert!(!must_drop(reason, &progress, answered));
        // Only a limit on time lets a response take longer that is being read.
        let is_timeout = reason == CloseReason::Timeout;
        let later = answered + CLOSE_TIMEOUT;
        assert_eq!(must_drop(reason, &progress, later), !is_timeout, "{reason:?}");
        progress.send(None, later);
        assert!(must_drop(reason, &progress, later), "{reason:?}");
    }
}

/// Guards against callers that are cut by a bound that came into force after they had begun.
#[test]
fn a_shorter_bound_applies_to_what_begins_after_it() {
    let start = Instant::now();
    let (mut table, _) = table(HoldLimits::default());
    let bounds = |seconds: u32| {
        let bound = Some(SECOND * seconds);
        ProgressTimeouts { head: bound, body: bound }
    };
    let begin = |table: &mut ConnectionTable, phase: Phase, now: Instant| {
        let (id, _, progress) = open(table, address(1), start);
        progress.set_phase(phase, now);
        (id, progress)
    };
    table.sweep(start, bounds(8));
    let early = [Phase::Head, Phase::Receiving].map(|phase| begin(&mut table, phase, start));
    table.sweep(start + SECOND, bounds(2));
    let late = begin(&mut table, Phase::Head, start + SECOND);
    // Another change does not end what the first bound allows.
    assert_eq!(table.sweep(start + SECOND * 2, bounds(3)), []);
    let closing = table.sweep(start + SECOND * 5, bounds(3));
    assert_eq!(ids(&closing, CloseReason::Timeout), [late.0]);
    assert_eq!(table.sweep(start + SECOND * 8, bounds(3)), []);
    let closing = table.sweep(start + SECOND * 9, bounds(3));
    assert_eq!(ids(&closing, CloseReason::Timeout), early.map(|(id, _)| id));
}

/// Guards against a node that stays at its limit because a closing connection awaits an answer.
#[test]
fn another_connection_is_closed_instead_of_one_that_still_awaits_an_answer() {
    let start = Instant::now();
    let (mut table, _) = table(HoldLimits { connections: Some(2), ..HoldLimits::default() });
    let opened = [open(&mut table, address(1), start), open(&mut table, address(2), start)];
    let now = start + SECOND;
    let closing = table.sweep(now, ProgressTimeouts::default());
    assert_eq!(closing.len(), 1);
    let (first, other) = if closing[0].connection == opened[0].0 { (0, 1) } else { (1, 0) };
    assert_eq!(table.sweep(now, ProgressTimeouts::default()), []);
    opened[first].2.begin_request(now);
    let closing = table.sweep(now, ProgressTimeouts::default());
    assert_eq!(ids(&closing, CloseReason::ConnectionLimit), [opened[other].0]);
}
