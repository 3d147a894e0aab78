//! Detects gray failures of upstreams from the age of their requests, and acts on them.
//!
//! An upstream in a gray failure leaves most requests hanging for seconds while its probes pass.
//! Non-idempotent requests go to upstreams that respond. Requests that can be retried also try the
//! others, and are abandoned as soon as a retry is worth more than waiting.

use super::{Gate, GateAction, RunResult, Running};
use crate::admission::SlotRequest;
use crate::gray_failure::{HEALTHY_PROBABILITY, InFlight, LIKELY_GRAY_PROBABILITY, UnansweredRun};
use crate::latency::LatencyDistribution;
use crate::prelude::*;
use crate::queue::QueuedRequest;
use crate::upstream::AnyUpstream;

/// Gray failure probability up to which it ceases to be likely gray.
const CLEAR_PROBABILITY: f64 = 0.2;
/// Time since the last start after which an upstream that is probably healthy gets a request of any
/// gray tolerance.
const IDLE_TRIAL_INTERVAL: Duration = Duration::from_millis(800);
/// Least interval between two trials, with retryable requests, of an upstream that may be gray.
const RETRYABLE_TRIAL_INTERVAL: Duration = Duration::from_millis(500);
/// Time since the last start after which an upstream that may be gray gets an idempotent request
/// even if the retry budget is spent. Each upstream must get some work within two seconds, or the
/// capacity floor of the service is lost.
const IDEMPOTENT_TRIAL_INTERVAL: Duration = Duration::from_millis(1000);
/// The same for a non-idempotent request, while the service leaves requests unserved.
const NON_IDEMPOTENT_TRIAL_INTERVAL: Duration = Duration::from_millis(1200);
/// Part of a route's target latency that is the assumed median latency until runs have finished.
const MEDIAN_TARGET_DIVISOR: u32 = 4;
/// Assumed median latency of a route without target latency.
const DEFAULT_MEDIAN: Duration = Duration::from_millis(100);

impl Gate {
    /// Returns the gray failure probability of an upstream.
    pub(super) fn gray_probability(&self, id: &UpstreamId, now: Instant) -> f64 {
        self.gray_probability_without(id, None, now)
    }

    /// Returns the gray failure probability of an upstream as if `excluded` did not run.
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

    /// Returns the least gray failure probability among the upstreams of a service.
    pub(super) fn min_gray_probability(&self, service: &ServiceName, now: Instant) -> f64 {
        let upstreams = self.upstreams.iter();
        let own = upstreams.filter(|(_, u)| u.common().service == *service && u.limit(now) > 0);
        own.map(|(id, _)| self.gray_probability(id, now)).fold(1.0, f64::min)
    }

    /// Refuses queued requests whose gray tolerance has been exceeded, so that they can wait at
    /// another gate.
    pub(super) fn refuse_waits_on_gray(&mut self, now: Instant) -> Vec<GateAction> {
        let services: Vec<ServiceName> = self.services.keys().cloned().collect();
        let mut actions = Vec::new();
        for service in services {
            let probability = self.min_gray_probability(&service, now);
            let Some(state) = self.services.get_mut(&service) else { continue };
            let requests = &self.requests;
            let exceeds_tolerance = |waiting: &QueuedRequest| {
                let request = requests.get(&waiting.attempt).map(|(request, _)| request);
                request
                    .is_some_and(|r| r.kind.is_some() && probability > f64::from(r.gray_tolerance))
            };
            let mut refused = state.short_queue.remove_if(exceeds_tolerance);
            refused.extend(state.long_queue.remove_if(exceeds_tolerance));
            for waiting in refused {
                if let Some((request, _)) = self.requests.swap_remove(&waiting.attempt) {
                    actions.push(self.refusal(&request, Reason::Doubtful));
                }
            }
        }
        actions
    }

    /// Updates which upstreams are likely gray; returns the changes.
    pub(super) fn update_likely_gray(&mut self, now: Instant) -> Vec<GateAction> {
        let mut changes = Vec::new();
        let probabilities: Vec<f64> =
            self.upstreams.keys().map(|id| self.gray_probability(id, now)).collect();
        for ((id, upstream), probability) in self.upstreams.iter_mut().zip(probabilities) {
            let common = upstream.common_mut();
            let limit =
                if common.likely_gray { CLEAR_PROBABILITY } else { LIKELY_GRAY_PROBABILITY };
            let likely_gray = probability > limit;
            if common.likely_gray != likely_gray {
                common.likely_gray = likely_gray;
                changes.push(GateAction::ReportGray {
                    upstream: id.clone(),
                    likely_gray,
                    probability,
                });
            }
        }
        changes
    }

    /// Returns the reason to refuse a request whose upstreams may be in a gray failure.
    ///
    /// An idle upstream, of which nothing recent is known, still gets requests, since it is
    /// probably healthy. An upstream that may be gray gets a trial request from time to time,
    /// preferably a retryable one, to find out whether the gray failure is over.
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
        let state = self.services.get(&request.service);
        let degraded = request.degraded || state.is_some_and(|s| s.level.is_sum_strained(now));
        let upstreams = self.upstreams.values().map(|upstream| upstream.common());
        let mut own = upstreams.filter(|common| common.service == request.service);
        let is_due = own.any(|common| {
            let interval = match probability <= HEALTHY_PROBABILITY {
                true => IDLE_TRIAL_INTERVAL,
                false if request.retryable => RETRYABLE_TRIAL_INTERVAL,
                false if request.idempotent => IDEMPOTENT_TRIAL_INTERVAL,
                false if degraded => NON_IDEMPOTENT_TRIAL_INTERVAL,
                false => return false,
            };
            common.last_start.is_none_or(|started| now >= started + interval)
        });
        (!is_due || self.last_answer.is_some()).then_some(Reason::Doubtful)
    }

    /// Records a finished run in the detector of its upstream and in the latencies of its kind.
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
                    detector.unanswered(running.started, tail_share);
                }
            }
            RunResult::Shed => {}
        }
        if result == RunResult::Success {
            self.latency_mut(request, kind).observe(age);
        }
    }

    /// Abandons retryable runs where a retry elsewhere is worth more than waiting.
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
        let run = UnansweredRun { latency, age, target_left, deadline_left };
        run.should_abandon(self.gray_probability_without(&running.upstream, Some(attempt), now))
    }

    /// Returns the age of a run, scaled down on an upstream that has just started and is slow.
    fn adjusted_age(&self, running: &Running, now: Instant) -> Duration {
        let upstream = self.upstreams.get(&running.upstream);
        let latency_factor = upstream.map_or(1, AnyUpstream::latency_factor);
        now.saturating_duration_since(running.started) / latency_factor
    }

    /// Returns the share of runs of the same kind that take longer than `age`, if the kind is
    /// known.
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
