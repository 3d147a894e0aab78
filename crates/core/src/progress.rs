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
    blocked_ms: AtomicU64,
    /// Time for which the current part has waited for the caller before it waited last.
    waited_ms: AtomicU64,
    /// Bytes of the current part that the caller has sent or read.
    part_bytes: AtomicU64,
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
            blocked_ms: AtomicU64::new(0),
            waited_ms: AtomicU64::new(0),
            part_bytes: AtomicU64::new(0),
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
        self.begin_part();
    }

    /// Returns whether a request was read to which no response has begun.
    pub fn awaits_answer(&self) -> bool {
        self.awaits_answer.load(Ordering::Acquire)
    }

    /// Begins a phase.
    pub fn set_phase(&self, phase: Phase, now: Instant) {
        if matches!(self.phase(), Phase::Head | Phase::Receiving) {
            self.add_wait(self.phase_time(now));
        }
        if phase == Phase::Responding {
            self.awaits_answer.store(false, Ordering::Release);
            self.begin_part();
        }
        self.phase.store(phase as u8, Ordering::Release);
        self.phase_ms.store(self.millis(now), Ordering::Release);
        self.record(now);
    }

    /// Records that this many bytes were received from the caller.
    pub fn receive(&self, bytes: usize, now: Instant) {
        if self.phase() == Phase::Idle {
            self.begin_part();
            self.set_phase(Phase::Head, now);
        } else {
            self.record(now);
        }
        self.add_bytes(bytes);
    }

    /// Records that this many bytes were sent to the caller; `None` if it reads nothing.
    pub fn send(&self, bytes: Option<usize>, now: Instant) {
        let is_blocked = bytes.is_none();
        let was_blocked = self.is_write_blocked.swap(is_blocked, Ordering::AcqRel);
        match bytes {
            Some(bytes) => {
                if was_blocked {
                    self.add_wait(self.since(&self.blocked_ms, now));
                }
                self.add_bytes(bytes);
                self.record(now);
            }
            None if !was_blocked => self.blocked_ms.store(self.millis(now), Ordering::Release),
            None => {}
        }
    }

    fn begin_part(&self) {
        self.waited_ms.store(0, Ordering::Release);
        self.part_bytes.store(0, Ordering::Release);
    }

    fn add_wait(&self, time: Duration) {
        let millis = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        self.waited_ms.fetch_add(millis, Ordering::AcqRel);
    }

    fn add_bytes(&self, bytes: usize) {
        self.part_bytes.fetch_add(bytes as u64, Ordering::AcqRel);
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

    /// Returns how far the caller is behind one that sends or reads this many bytes a second, in the
    /// current head, body or response. The time in which the connection does not wait for its
    /// caller does not count.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    ///
    /// use lavenderflow_core::progress::Progress;
    ///
    /// let (start, second) = (Instant::now(), Duration::from_secs(1));
    /// let progress = Progress::new(start);
    /// progress.receive(100, start);
    /// progress.receive(100, start + second * 9);
    /// assert_eq!(progress.lag(100, start + second * 10), second * 8);
    /// ```
    pub fn lag(&self, rate: u64, now: Instant) -> Duration {
        let current = match self.phase() {
            Phase::Head | Phase::Receiving => self.phase_time(now),
            Phase::Idle | Phase::Responding if self.is_write_blocked() => {
                self.since(&self.blocked_ms, now)
            }
            Phase::Idle | Phase::Processing | Phase::Responding => return Duration::ZERO,
        };
        let waited = Duration::from_millis(self.waited_ms.load(Ordering::Acquire));
        let bytes = self.part_bytes.load(Ordering::Acquire);
        let allowed = Duration::from_millis(bytes.saturating_mul(1000) / rate.max(1));
        (waited + current).saturating_sub(allowed)
    }
}
