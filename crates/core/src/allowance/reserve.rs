//! Tokens that were granted and have not been used yet.

use std::collections::VecDeque;

use crate::prelude::*;

/// Granted tokens, each of which must be used before its deadline.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use lavenderflow_core::allowance::reserve::Reserve;
///
/// let now = Instant::now();
/// let mut reserve = Reserve::default();
/// reserve.add(3, now + Duration::from_millis(10));
/// assert_eq!(reserve.take(2, now).map(|(tokens, _)| tokens), Some(2));
/// assert_eq!(reserve.take(2, now + Duration::from_millis(10)), None);
/// assert_eq!(reserve.take_expired(), 1);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Reserve {
    batches: VecDeque<(Instant, u32)>,
    expired: u64,
}

impl Reserve {
    /// Adds tokens.
    pub fn add(&mut self, tokens: u32, deadline: Instant) {
        if tokens > 0 {
            let index = self.batches.partition_point(|(other, _)| *other <= deadline);
            self.batches.insert(index, (deadline, tokens));
        }
    }

    /// Takes up to `wanted` tokens, first those with the earliest deadline. Returns how many there
    /// were and the earliest of their deadlines, or `None` without a token.
    pub fn take(&mut self, wanted: u32, now: Instant) -> Option<(u32, Instant)> {
        self.expire(now);
        let (deadline, _) = *self.batches.front()?;
        let mut missing = wanted;
        while let Some((_, tokens)) = self.batches.front_mut() {
            let taken = missing.min(*tokens);
            *tokens -= taken;
            missing -= taken;
            if *tokens > 0 {
                break;
            }
            self.batches.pop_front();
        }
        (missing < wanted).then_some((wanted - missing, deadline))
    }

    /// Returns how many tokens can be used now.
    pub fn available(&mut self, now: Instant) -> u32 {
        self.expire(now);
        self.batches.iter().map(|(_, tokens)| *tokens).sum()
    }

    /// Discards all tokens.
    pub fn clear(&mut self) {
        self.expired += self.batches.drain(..).map(|(_, tokens)| u64::from(tokens)).sum::<u64>();
    }

    /// Returns how many tokens have expired unused since the last call.
    pub fn take_expired(&mut self) -> u64 {
        std::mem::take(&mut self.expired)
    }

    fn expire(&mut self, now: Instant) {
        while let Some((_, tokens)) = self.batches.front().filter(|(deadline, _)| now >= *deadline)
        {
            self.expired += u64::from(*tokens);
            self.batches.pop_front();
        }
    }
}
