//! The queue of short or long requests for one service at a gate.

use std::collections::VecDeque;

use crate::fair_share::{self, FairShare, Group};
use crate::prelude::*;

/// Head start of a request over one of the next lower priority.
const RANK_HEAD_START: Duration = Duration::from_millis(250);

/// A request that waits for a slot.
#[derive(Clone, Debug)]
pub struct QueuedRequest {
    /// The attempt.
    pub attempt: AttemptId,
    /// Time at which the request joined the queue.
    pub queued_at: Instant,
    /// Time until which a start is expected to meet the target latency; without a target, half of
    /// the longest wait.
    pub on_time_until: Instant,
    /// Time at which the request leaves the queue at the latest.
    pub expires_at: Instant,
    /// Whether `expires_at` is the deadline of the request, not its queue timeout.
    pub at_deadline: bool,
    /// Priority; 0 is the highest.
    pub rank: u32,
    /// Organisation that the request belongs to.
    pub group: Group,
    /// Priority of the organisation, which goes before `rank`; 0 is the highest.
    pub group_rank: u32,
}

/// The place of a request in the order in which a queue is served.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Turn {
    /// Latest start with which the request meets its target latency, less its head start.
    OnTime(Instant),
    /// Age of a request that misses its target latency.
    Late(Duration),
}

impl QueuedRequest {
    /// Returns how long it can wait and still be answered on time.
    fn slack(&self) -> Duration {
        self.on_time_until.saturating_duration_since(self.queued_at)
    }

    /// Returns the place in the order of service.
    fn turn(&self, now: Instant) -> Turn {
        let head_start = RANK_HEAD_START * self.rank;
        if now < self.on_time_until {
            Turn::OnTime(self.on_time_until + head_start)
        } else {
            Turn::Late(now.saturating_duration_since(self.queued_at) + head_start)
        }
    }
}

/// Holds requests for a bounded time; serves the newest first under overload.
#[derive(Debug, Default)]
pub struct Queue {
    waiting: VecDeque<QueuedRequest>,
}

impl Queue {
    /// Adds a request.
    pub fn push(&mut self, waiting: QueuedRequest) {
        self.waiting.push_back(waiting);
    }

    /// Takes the next request to run.
    ///
    /// The organisation that has received the least service goes first, then the one with the
    /// highest priority. Among the requests of one organisation, or of all if there are none,
    /// requests that can still be answered on time go first, those with the least time left first,
    /// so that urgent requests do not wait behind patient ones. The others follow, newest first, so
    /// that as many as possible are still served before their deadline. Requests of higher priority
    /// have a head start in both groups, but no rank starves another.
    pub fn pop(&mut self, shares: &FairShare, now: Instant) -> Option<QueuedRequest> {
        let levels = shares.levels(self.groups(), now);
        let waiting = self.waiting.iter().enumerate();
        // Prefers the first position among equals on time, and the last one among late ones.
        let next = waiting.min_by_key(|(place, w)| {
            let turn = match w.turn(now) {
                turn @ Turn::OnTime(_) => (turn, *place),
                turn @ Turn::Late(_) => (turn, usize::MAX - place),
            };
            (levels.of(&w.group), w.group_rank, turn)
        });
        let place = next.map(|(place, _)| place)?;
        self.waiting.remove(place)
    }

    /// Takes the request that leaves the queue first, of the organisation that [`Queue::pop`]
    /// serves next.
    ///
    /// In this order all requests start in time that were admitted when there was time for them
    /// after all others.
    pub fn pop_first_to_expire(
        &mut self,
        shares: &FairShare,
        now: Instant,
    ) -> Option<QueuedRequest> {
        let levels = shares.levels(self.groups(), now);
        let waiting = self.waiting.iter().enumerate();
        let next = waiting.min_by_key(|(_, w)| (levels.of(&w.group), w.group_rank, w.expires_at));
        let place = next.map(|(place, _)| place)?;
        self.waiting.remove(place)
    }

    /// Takes the request that gives way to a new one of a group when the queue is full.
    pub fn displace(&mut self, new: &Group) -> Option<QueuedRequest> {
        let place = self.displaced(new)?;
        self.waiting.remove(place)
    }

    /// Returns the position of the request that gives way to a new one of a group.
    pub fn displaced(&self, new: &Group) -> Option<usize> {
        fair_share::displaced(new, self.groups())
    }

    fn groups(&self) -> impl Iterator<Item = &Group> {
        self.waiting.iter().map(|waiting| &waiting.group)
    }

    /// Returns how many requests are at least as urgent as one that would join now. Priorities do
    /// not count: a lower one would hardly be admitted under overload. Late requests count, if they
    /// are no more patient, to keep the queue short under overload.
    pub fn ahead_of(&self, new: &QueuedRequest, now: Instant) -> usize {
        let is_ahead = |waiting: &&QueuedRequest| match now < waiting.on_time_until {
            true => waiting.on_time_until <= new.on_time_until,
            false => waiting.slack() <= new.slack(),
        };
        self.waiting.iter().filter(is_ahead).count()
    }

    /// Removes and returns the expired requests.
    pub fn expire(&mut self, now: Instant) -> Vec<QueuedRequest> {
        self.remove_if(|waiting| now >= waiting.expires_at)
    }

    /// Removes and returns the requests for which a condition is true.
    pub fn remove_if(
        &mut self,
        mut is_removed: impl FnMut(&QueuedRequest) -> bool,
    ) -> Vec<QueuedRequest> {
        let (removed, waiting) = self.waiting.drain(..).partition(|waiting| is_removed(waiting));
        self.waiting = waiting;
        Vec::from_iter::<VecDeque<QueuedRequest>>(removed)
    }

    /// Removes and returns the request of an attempt.
    pub fn remove(&mut self, attempt: AttemptId) -> Option<QueuedRequest> {
        let position = self.waiting.iter().position(|w| w.attempt == attempt)?;
        self.waiting.remove(position)
    }

    /// Removes and returns all requests.
    pub fn clear(&mut self) -> Vec<QueuedRequest> {
        self.waiting.drain(..).collect()
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
