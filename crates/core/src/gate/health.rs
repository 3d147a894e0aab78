//! What a gate learns from work that runs and from work that has ended.

use super::{Gate, GateAction, RunResult, Running};
use crate::outlier::Observation;
use crate::prelude::*;
use crate::upstream::AnyUpstream;

/// Short work that runs longer than this multiple of the usual time counts as stuck.
const STUCK_FACTOR: u32 = 10;
/// Answers are slow when they take this many times the usual time.
const SLOW_FACTOR: u32 = 5;
/// Answers are slow only when they take this much longer than usual.
const SLOW_MARGIN: Duration = Duration::from_millis(20);
/// Short work counts as stuck after this part of its deadline at the earliest.
const STUCK_DEADLINE_DIVISOR: u32 = 4;

impl Gate {
    /// Counts old work as long and stuck work as failed.
    pub(super) fn review_running(&mut self, now: Instant) -> Vec<GateAction> {
        for (attempt, running) in &mut self.running {
            let Some((request, _)) = self.requests.get(attempt) else {
                continue;
            };
            let Some(state) = self.services.get(&request.service) else {
                continue;
            };
            let Some(upstream) = self.upstreams.get_mut(&running.upstream) else {
                continue;
            };
            let common = upstream.common_mut();
            if common.generation != running.generation {
                continue;
            }
            let age = now.saturating_duration_since(running.started);
            if !running.long && age > state.profile.caution.long_after {
                running.long = true;
                common.short_running -= 1;
                common.long_running += 1;
            }
            let slow_after = common.outlier.mean_latency() * STUCK_FACTOR;
            let stuck_after =
                slow_after.max(state.profile.patience.deadline / STUCK_DEADLINE_DIVISOR);
            if !request.long && !running.responding && !running.stuck && age > stuck_after {
                running.stuck = true;
                common.outlier.observe(Observation::Failure, now, &state.profile.forgiveness);
            }
        }
        let mut actions = self.abandon_stuck();
        actions.extend(self.abandon_hanging(now));
        actions
    }

    /// Gives up stuck requests that may be repeated, once their upstream is ejected. On a healthy
    /// one they may just take long.
    fn abandon_stuck(&mut self) -> Vec<GateAction> {
        let mut actions = Vec::new();
        for (attempt, running) in &mut self.running {
            let upstream = self.upstreams.get(&running.upstream);
            let is_ejected =
                upstream.is_some_and(|u| u.common().outlier.condition() == Condition::Ejected);
            let idempotent =
                self.requests.get(attempt).is_some_and(|(request, _)| request.idempotent);
            if is_ejected && idempotent && running.stuck && !running.abandoned {
                running.abandoned = true;
                actions.push(GateAction::Abandon { attempt: *attempt });
            }
        }
        actions
    }
}

/// Learns from a run that has ended; returns whether the condition of the upstream changed.
pub(super) fn record_result(
    upstream: &mut AnyUpstream,
    running: &Running,
    result: RunResult,
    median_latency: Duration,
    now: Instant,
    profile: &Profile,
) -> bool {
    let rules = &profile.forgiveness;
    let elapsed = now.saturating_duration_since(running.started);
    if result == RunResult::Shed {
        upstream.lower_limit(now);
    }
    let outlier = &mut upstream.common_mut().outlier;
    if result == RunResult::Success && !running.long {
        outlier.record_latency(elapsed);
    }
    let observation = match result {
        RunResult::Success
            if !running.long && is_slow(elapsed, outlier.mean_latency(), median_latency) =>
        {
            Observation::Failure
        }
        RunResult::Success => Observation::Success,
        RunResult::ServerError
        | RunResult::ConnectFailed
        | RunResult::Broken
        | RunResult::TimedOut => Observation::Failure,
        RunResult::Shed | RunResult::Cancelled => return false,
    };
    // Stuck work has been counted as failed already.
    !running.stuck && outlier.observe(observation, now, rules)
}

/// Tells whether an answer, and the answers before it on average, took far longer than usual at
/// the other gates. The average keeps a few requests that are slow everywhere from counting.
fn is_slow(elapsed: Duration, mean_latency: Duration, median_latency: Duration) -> bool {
    let limit = (median_latency * SLOW_FACTOR).max(median_latency + SLOW_MARGIN);
    !median_latency.is_zero() && elapsed.min(mean_latency) > limit
}
