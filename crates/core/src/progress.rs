//! What a connection of a caller waits for, and since when.

use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering};

use crate::prelude::*;

/// What a connection waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum Phase {
    /// For the next request.
    Idle = 0,
    /// For the rest of a head.
    Head = 1,
    /// For the body of a request, from the caller.
    Receiving = 2,
    /// For this node, other nodes or upstreams.
    Processing = 3,
    /// For the caller to read the response.
    Responding = 4,
}

impl Phase {
    fn from_number(number: u8) -> Self {
        match number {
            0 => Self::Idle,
            1 => Self::Head,
            2 => Self::Receiving,
            4 => Self::Responding,
            _ => Self::Processing,
        }
    }
}

/// What a connection waits for, and since when: set by the tasks of the connection, read by the
/// owner of the table.
#[derive(Debug)]
pub struct Progress {
    start: Instant,
    phase: AtomicU8,
    is_write_blocked: AtomicBool,
    awaits_answer: AtomicBool,
    phase_ms: AtomicU64,
    progress_ms: AtomicU64,
}

impl Progress {
    /// Creates the record of a connection that opens.
    pub fn new(now: Instant) -> Self {
        Self {
            start: now,
            phase: AtomicU8::new(Phase::Idle as u8),
            is_write_blocked: AtomicBool::new(false),
            awaits_answer: AtomicBool::new(false),
            phase_ms: AtomicU64::new(0),
            progress_ms: AtomicU64::new(0),
        }
    }

    /// Returns what the connection waits for.
    pub fn phase(&self) -> Phase {
        Phase::from_number(self.phase.load(Ordering::Acquire))
    }

    /// Records that a request was read, whose caller waits for the response from now on.
    pub fn begin_request(&self, now: Instant) {
        self.awaits_answer.store(true, Ordering::Release);
        self.set_phase(Phase::Processing, now);
    }

    /// Returns whether a request was read to which no response has begun.
    pub fn awaits_answer(&self) -> bool {
        self.awaits_answer.load(Ordering::Acquire)
    }

    /// Begins a phase.
    pub fn set_phase(&self, phase: Phase, now: Instant) {
        if phase == Phase::Responding {
            self.awaits_answer.store(false, Ordering::Release);
        }
        self.phase.store(phase as u8, Ordering::Release);
        self.phase_ms.store(self.millis(now), Ordering::Release);
        self.record(now);
    }

    /// Records that bytes were received from the caller.
    pub fn receive(&self, now: Instant) {
        if self.phase() == Phase::Idle {
            self.set_phase(Phase::Head, now);
        } else {
            self.record(now);
        }
    }

    /// Records that bytes were sent to the caller, or that it reads nothing.
    pub fn send(&self, is_blocked: bool, now: Instant) {
        self.is_write_blocked.store(is_blocked, Ordering::Release);
        if !is_blocked {
            self.record(now);
        }
    }

    /// Returns whether bytes wait for the caller to read.
    pub fn is_write_blocked(&self) -> bool {
        self.is_write_blocked.load(Ordering::Acquire)
    }

    fn record(&self, now: Instant) {
        self.progress_ms.store(self.millis(now), Ordering::Release);
    }

    fn millis(&self, now: Instant) -> u64 {
        u64::try_from(now.saturating_duration_since(self.start).as_millis()).unwrap_or(u64::MAX)
    }

    fn since(&self, millis: &AtomicU64, now: Instant) -> Duration {
        let millis = Duration::from_millis(millis.load(Ordering::Acquire));
        now.saturating_duration_since(self.start).saturating_sub(millis)
    }

    /// Returns the time since the phase began.
    pub fn phase_time(&self, now: Instant) -> Duration {
        self.since(&self.phase_ms, now)
    }

    /// Returns for how long the connection has waited for its caller; `None` if it does not.
    pub fn idle_time(&self, now: Instant) -> Option<Duration> {
        let waits = match self.phase() {
            Phase::Idle | Phase::Head | Phase::Receiving => true,
            Phase::Processing => false,
            Phase::Responding => self.is_write_blocked(),
        };
        waits.then(|| self.since(&self.progress_ms, now))
    }
}
