//! The queue of one service at a gate.

use std::collections::VecDeque;

use crate::prelude::*;

/// A request that waits for a slot.
#[derive(Clone, Copy, Debug)]
pub struct QueuedRequest {
    /// The attempt.
    pub attempt: AttemptId,
    /// When it joined the queue.
    pub queued_at: Instant,
    /// Until when it can still be answered promptly.
    pub prompt_until: Instant,
    /// When it must have left the queue.
    pub expires_at: Instant,
    /// Whether the end of waiting is the request's own deadline.
    pub at_deadline: bool,
    /// Urgency; 0 is the most urgent.
    pub rank: u32,
}

/// Head start of a request over one that is one rank less urgent.
const RANK_HEAD_START: Duration = Duration::from_millis(250);

/// Holds requests for a bounded time; newest first while it is overloaded.
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
    /// The oldest goes first among those that can still be answered promptly. The others follow,
    /// the newest first, so that those who can still be served in time are. Urgent requests have a
    /// head start either way, but no rank starves another.
    pub fn pop(&mut self, now: Instant) -> Option<QueuedRequest> {
        let waiting = self.waiting.iter().enumerate();
        let next = waiting.min_by_key(|(place, w)| {
            let age = now.saturating_duration_since(w.queued_at);
            if now < w.prompt_until {
                let start = RANK_HEAD_START * w.rank;
                (false, w.queued_at + start, Duration::ZERO, *place)
            } else {
                // The latest place among equals.
                (true, now, age + RANK_HEAD_START * w.rank, usize::MAX - place)
            }
        });
        let place = next.map(|(place, _)| place)?;
        self.waiting.remove(place)
    }

    /// Removes the requests whose time is over.
    pub fn expire(&mut self, now: Instant) -> Vec<QueuedRequest> {
        self.remove_if(|waiting| now >= waiting.expires_at)
    }

    /// Removes the requests for which a condition is true.
    pub fn remove_if(
        &mut self,
        mut is_over: impl FnMut(&QueuedRequest) -> bool,
    ) -> Vec<QueuedRequest> {
        let (over, waiting) = self.waiting.drain(..).partition(|waiting| is_over(waiting));
        self.waiting = waiting;
        Vec::from_iter::<VecDeque<QueuedRequest>>(over)
    }

    /// Removes one request.
    pub fn remove(&mut self, attempt: AttemptId) -> Option<QueuedRequest> {
        let position = self.waiting.iter().position(|w| w.attempt == attempt)?;
        self.waiting.remove(position)
    }

    /// Removes all requests.
    pub fn clear(&mut self) -> Vec<QueuedRequest> {
        self.waiting.drain(..).collect()
    }

    /// Returns how many requests wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Tells whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
