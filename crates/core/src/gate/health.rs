//! Derives the health of upstreams from running and finished requests.

use super::{Gate, GateAction, RunResult, Running};
use crate::outlier::Observation;
use crate::prelude::*;
use crate::upstream::AnyUpstream;

/// A short request that runs longer than this multiple of the mean latency counts as stuck.
const STUCK_FACTOR: u32 = 10;
/// A response is slow when it takes more than this multiple of the service's median latency.
const SLOW_FACTOR: u32 = 5;
/// A response is slow only when it takes this much longer than the median latency.
const SLOW_MARGIN: Duration = Duration::from_millis(20);
/// A short request counts as stuck after this part of the profile's deadline at the earliest.
const STUCK_DEADLINE_DIVISOR: u32 = 4;

impl Gate {
    /// Counts requests that run for long as long, and stuck requests as failed.
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

    /// Abandons stuck idempotent requests without a response once their upstream is ejected. On a
    /// healthy upstream they may merely take long.
    fn abandon_stuck(&mut self) -> Vec<GateAction> {
        let mut actions = Vec::new();
        for (attempt, running) in &mut self.running {
            let upstream = self.upstreams.get(&running.upstream);
            let is_ejected =
                upstream.is_some_and(|u| u.common().outlier.condition() == Condition::Ejected);
            let idempotent =
                self.requests.get(attempt).is_some_and(|(request, _)| request.idempotent);
            let is_stuck = running.stuck && !running.responding;
            if is_ejected && idempotent && is_stuck && !running.abandoned {
                running.abandoned = true;
                actions.push(GateAction::Abandon { attempt: *attempt });
            }
        }
        actions
    }
}

/// Records the result of a run and returns whether the condition of the upstream changed.
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
    if result != RunResult::Cancelled {
        upstream.record_rejection(result == RunResult::Shed, now);
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
    // A stuck request has already been counted as failed.
    !running.stuck && outlier.observe(observation, now, rules)
}

/// Returns whether a response, and on average those before it, took far longer than the median at
/// the service's gates. The average keeps a few requests that are slow everywhere from counting.
fn is_slow(elapsed: Duration, mean_latency: Duration, median_latency: Duration) -> bool {
    let limit = (median_latency * SLOW_FACTOR).max(median_latency + SLOW_MARGIN);
    !median_latency.is_zero() && elapsed.min(mean_latency) > limit
}
