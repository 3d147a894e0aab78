//! How a gate tells from the age of its work that an upstream is in a gray spell, and what it does.
//!
//! This answers a load in which a part of the upstreams leaves most work hanging for seconds while
//! their probes pass: work that may not be repeated goes where answers come, and work that may be
//! repeated tries the others and is given up as soon as it is likelier to hang than to end.

use super::{Gate, GateAction, RunResult, Running};
use crate::admission::SlotRequest;
use crate::gray_failure::{self, InFlight};
use crate::latency::LatencyDistribution;
use crate::prelude::*;
use crate::queue::QueuedRequest;
use crate::upstream::AnyUpstream;

/// Probability of a spell at which an upstream leaves the choice.
const LIKELY_GRAY_PROBABILITY: f64 = 0.4;
/// Probability of a spell at which it comes back.
const CLEAR_PROBABILITY: f64 = 0.2;
/// Doubt of an upstream that its failures or its slow answers have ejected.
const EJECTED_PROBABILITY: f64 = 0.9;
/// Time without work after which an upstream that is probably well gets some whatever is asked for.
const IDLE_TRIAL_INTERVAL: Duration = Duration::from_millis(800);
/// Least interval between two trials, by requests that can be repeated, of an upstream that is out
/// of the choice.
const RETRYABLE_TRIAL_INTERVAL: Duration = Duration::from_millis(500);
/// Time without work after which a doubted upstream gets work that may be repeated, though the
/// budget of repeats is spent: each upstream must get some work within two seconds, or the floor
/// of the service's capacity is lost.
const IDEMPOTENT_TRIAL_INTERVAL: Duration = Duration::from_millis(1000);
/// The same for work that may not be repeated, while the service leaves requests unserved.
const NON_IDEMPOTENT_TRIAL_INTERVAL: Duration = Duration::from_millis(1200);
/// Part of a route's target latency that its work is assumed to take until runs have ended.
const MEDIAN_TARGET_DIVISOR: u32 = 4;
/// Time that work is assumed to take when its route has no target.
const DEFAULT_MEDIAN: Duration = Duration::from_millis(100);

impl Gate {
    /// Returns the probability that an upstream is in a spell.
    pub(super) fn gray_probability(&self, id: &UpstreamId, now: Instant) -> f64 {
        self.gray_probability_without(id, None, now)
    }

    /// Returns that probability as if one attempt did not run.
    fn gray_probability_without(
        &self,
        id: &UpstreamId,
        excluded: Option<AttemptId>,
        now: Instant,
    ) -> f64 {
        let Some(upstream) = self.upstreams.get(id) else { return 0.0 };
        let common = upstream.common();
        let own = self.running.iter().filter(|(attempt, running)| {
            let is_here = running.upstream == *id && running.generation == common.generation;
            is_here && !running.responding && Some(**attempt) != excluded
        });
        let in_flight = own.filter_map(|(attempt, running)| {
            let (request, _) = self.requests.get(attempt)?;
            let started = running.started;
            let tail_share = self.tail_share(request, self.adjusted_age(running, now))?;
            Some(InFlight { started, tail_share })
        });
        common.gray_failure.probability(now, in_flight.collect())
    }

    /// Returns the least doubt about the upstreams of a service: the probability of a spell, or
    /// that an upstream is ejected.
    pub(super) fn min_gray_probability(&self, service: &ServiceName, now: Instant) -> f64 {
        let upstreams = self.upstreams.iter();
        let own = upstreams.filter(|(_, u)| u.common().service == *service && u.limit(now) > 0);
        let probabilities = own.map(|(id, upstream)| {
            let is_healthy = upstream.common().outlier.condition() == Condition::Healthy;
            self.gray_probability(id, now).max(if is_healthy { 0.0 } else { EJECTED_PROBABILITY })
        });
        probabilities.fold(1.0, f64::min)
    }

    /// Refuses requests that wait for an upstream which has become doubtful, so that they can
    /// wait elsewhere.
    pub(super) fn refuse_waits_on_gray(&mut self, now: Instant) -> Vec<GateAction> {
        let services: Vec<ServiceName> = self.services.keys().cloned().collect();
        let mut actions = Vec::new();
        for service in services {
            let probability = self.min_gray_probability(&service, now);
            let Some(state) = self.services.get_mut(&service) else { continue };
            let requests = &self.requests;
            let is_over = |waiting: &QueuedRequest| {
                let request = requests.get(&waiting.attempt).map(|(request, _)| request);
                request
                    .is_some_and(|r| r.kind.is_some() && probability > f64::from(r.gray_tolerance))
            };
            let mut over = state.short_queue.remove_if(is_over);
            over.extend(state.long_queue.remove_if(is_over));
            for waiting in over {
                if let Some((request, _)) = self.requests.swap_remove(&waiting.attempt) {
                    actions.push(self.refusal(&request, Reason::Doubtful));
                }
            }
        }
        actions
    }

    /// Decides which upstreams the doubt takes out of the choice.
    pub(super) fn update_likely_gray(&mut self, now: Instant) {
        let probabilities: Vec<f64> =
            self.upstreams.keys().map(|id| self.gray_probability(id, now)).collect();
        for (upstream, probability) in self.upstreams.values_mut().zip(probabilities) {
            let common = upstream.common_mut();
            common.likely_gray = if common.likely_gray {
                probability > CLEAR_PROBABILITY
            } else {
                probability > LIKELY_GRAY_PROBABILITY
            };
        }
    }

    /// Tells whether a request must go elsewhere because its upstream may be in a spell.
    ///
    /// An upstream of which nothing is known, since it has had no work, gets some all the same: it
    /// is probably well. One that is doubted gets a request now and then, to find out whether the
    /// spell is over: one that can be repeated if there is any.
    pub(super) fn gray_refusal_reason(
        &mut self,
        request: &SlotRequest,
        now: Instant,
    ) -> Option<Reason> {
        request.kind?;
        let probability = self.min_gray_probability(&request.service, now);
        if probability <= f64::from(request.gray_tolerance) {
            return None;
        }
        let upstreams = self.upstreams.values().map(|upstream| upstream.common());
        let mut own = upstreams.filter(|common| common.service == request.service);
        let is_due = own.any(|common| {
            let is_out = common.likely_gray || common.outlier.condition() != Condition::Healthy;
            let pause = match probability <= gray_failure::HEALTHY_PROBABILITY {
                true => IDLE_TRIAL_INTERVAL,
                false if request.retryable && is_out => RETRYABLE_TRIAL_INTERVAL,
                false if request.idempotent => IDEMPOTENT_TRIAL_INTERVAL,
                false if request.degraded => NON_IDEMPOTENT_TRIAL_INTERVAL,
                false => return false,
            };
            common.last_start.is_none_or(|started| now >= started + pause)
        });
        (!is_due).then_some(Reason::Doubtful)
    }

    /// Learns from a run that has ended.
    pub(super) fn observe_run(
        &mut self,
        request: &SlotRequest,
        running: &Running,
        result: RunResult,
        now: Instant,
    ) {
        let Some(kind) = request.kind else { return };
        let age = self.adjusted_age(running, now);
        let tail_share = self.tail_share(request, age);
        let upstream = self.upstreams.get_mut(&running.upstream);
        let Some(upstream) = upstream.filter(|u| u.common().generation == running.generation)
        else {
            return;
        };
        let detector = &mut upstream.common_mut().gray_failure;
        match result {
            RunResult::Success => detector.answered(running.started),
            RunResult::ServerError | RunResult::Broken | RunResult::ConnectFailed => {
                detector.failed(running.started);
            }
            RunResult::TimedOut | RunResult::Cancelled => {
                if let Some(tail_share) = tail_share.filter(|_| !running.responding) {
                    detector.abandoned(running.started, tail_share);
                }
            }
            RunResult::Shed => {}
        }
        if result == RunResult::Success {
            self.latency_mut(request, kind).observe(age);
        }
    }

    /// Gives up runs that can be repeated where that is worth more than waiting on.
    pub(super) fn abandon_hanging(&mut self, now: Instant) -> Vec<GateAction> {
        let running = self.running.iter();
        let hanging = running.filter(|(attempt, running)| self.is_hanging(**attempt, running, now));
        let hanging: Vec<AttemptId> = hanging.map(|(attempt, _)| *attempt).collect();
        for attempt in &hanging {
            if let Some(running) = self.running.get_mut(attempt) {
                running.abandoned = true;
            }
        }
        hanging.into_iter().map(|attempt| GateAction::Abandon { attempt }).collect()
    }

    fn is_hanging(&self, attempt: AttemptId, running: &Running, now: Instant) -> bool {
        let Some((request, deadline)) = self.requests.get(&attempt) else { return false };
        let Some(kind) = request.kind else { return false };
        if !request.retryable || running.responding || running.abandoned {
            return false;
        }
        let known = self.services.get(&request.service).and_then(|s| s.latencies.get(&kind));
        let new = known.is_none().then(|| assumed_latency(request));
        let Some(latency) = known.or(new.as_ref()) else { return false };
        let elapsed = now.saturating_duration_since(running.started);
        let deadline_left = deadline.saturating_duration_since(now);
        let target_left = request
            .target_latency
            .map_or(deadline_left, |target| target.saturating_sub(elapsed))
            .min(deadline_left);
        let age = self.adjusted_age(running, now);
        let run = gray_failure::UnansweredRun { latency, age, target_left, deadline_left };
        run.should_abandon(self.gray_probability_without(&running.upstream, Some(attempt), now))
    }

    /// Returns how old a run would be on an upstream that has not just started.
    fn adjusted_age(&self, running: &Running, now: Instant) -> Duration {
        let upstream = self.upstreams.get(&running.upstream);
        let latency_factor = upstream.map_or(1, AnyUpstream::latency_factor);
        now.saturating_duration_since(running.started) / latency_factor
    }

    /// Returns the share of such work that takes longer than `age`, when the kind is told.
    fn tail_share(&self, request: &SlotRequest, age: Duration) -> Option<f64> {
        let kind = request.kind?;
        let known = self.services.get(&request.service)?.latencies.get(&kind);
        Some(known.map_or_else(
            || assumed_latency(request).tail_share(age),
            |latency| latency.tail_share(age),
        ))
    }

    fn latency_mut(&mut self, request: &SlotRequest, kind: WorkKind) -> &mut LatencyDistribution {
        let state = self.services.entry(request.service.clone()).or_default();
        state.latencies.entry(kind).or_insert_with(|| assumed_latency(request))
    }
}

fn assumed_latency(request: &SlotRequest) -> LatencyDistribution {
    LatencyDistribution::new(
        request.target_latency.map_or(DEFAULT_MEDIAN, |target| target / MEDIAN_TARGET_DIVISOR),
    )
}
