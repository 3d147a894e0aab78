//! An open-loop load generator: new requests do not wait for the responses to earlier ones.

use std::sync::mpsc::{self, Receiver, Sender};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use indexmap::IndexMap;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::error::Error;

/// Stack size of a caller thread.
const STACK_BYTES: usize = 128 * 1024;

/// A period with a constant request rate.
#[derive(Clone, Copy, Debug)]
pub struct Phase {
    /// Length of the period.
    pub duration: Duration,
    /// Requests per second.
    pub rate: f64,
}

/// Selects a target before each call, and is told the result after it.
pub trait TargetSelector: Send + Sync {
    /// Returns the index of one of the `count` targets for a kind of request.
    fn pick(&self, kind: usize, count: usize) -> usize;

    /// Records whether a call to a target succeeded.
    fn report(&self, kind: usize, target: usize, succeeded: bool);
}

/// One kind of request.
#[derive(Clone, Debug)]
pub struct RequestKind {
    /// Name in the report.
    pub name: String,
    /// HTTP method.
    pub method: String,
    /// URLs of the targets.
    pub urls: Vec<String>,
    /// Timeout, counted from when the request is due.
    pub timeout: Duration,
    /// Number of retries after a failure, each at another target.
    pub retries: u32,
    /// Length of the request body in bytes.
    pub body_bytes: usize,
    /// Weight in the mix of requests.
    pub weight: u32,
}

/// A load to generate.
#[derive(Clone)]
pub struct Plan {
    /// Request rates over time.
    pub phases: Vec<Phase>,
    /// The mix of requests.
    pub kinds: Vec<RequestKind>,
    /// Seed of the random arrival times and of the mix.
    pub seed: u64,
    /// Maximum number of concurrent calls.
    pub max_callers: usize,
    /// Selects the targets; without it, targets are random.
    pub selector: Option<Arc<dyn TargetSelector>>,
}

/// The result of a request.
#[derive(Clone, Debug)]
pub struct CompletedRequest {
    /// Request id.
    pub id: String,
    /// Index of its kind in the plan.
    pub kind: usize,
    /// When the request was due, since the start of the load.
    pub due: Duration,
    /// Time from when the request was due to the end of the response.
    pub latency: Duration,
    /// HTTP status; `None` when there was no complete response.
    pub status: Option<u16>,
    /// Value of the `lavenderflow-outcome` header.
    pub outcome: String,
    /// Value of the `lavenderflow-reason` header, or why there was no complete response.
    pub reason: String,
}

impl CompletedRequest {
    /// Returns whether the response has a status below 400.
    pub fn is_served(&self) -> bool {
        self.status.is_some_and(|status| status < 400)
    }
}

struct Job {
    id: String,
    kind: usize,
    target: usize,
    due: Instant,
}

struct CallerPool {
    kinds: Vec<RequestKind>,
    selector: Option<Arc<dyn TargetSelector>>,
    start: Instant,
    // All callers share one connection pool, because closed connections would exhaust the
    // machine's ports.
    agent: ureq::Agent,
}

/// Generates a load and returns the result of each request.
///
/// # Errors
///
/// A thread cannot be started.
pub fn run(plan: &Plan) -> Result<Vec<CompletedRequest>, Error> {
    let (jobs, queue) = mpsc::channel();
    let (results, completed) = mpsc::channel();
    let queue = Arc::new(Mutex::new(queue));
    let start = Instant::now();
    let config = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .allow_non_standard_methods(true)
        .max_idle_connections(plan.max_callers * 4)
        .max_idle_connections_per_host(plan.max_callers);
    let (kinds, selector) = (plan.kinds.clone(), plan.selector.clone());
    let callers = CallerPool { kinds, selector, start, agent: config.build().into() };
    let callers = Arc::new(callers);
    for _ in 0..plan.max_callers {
        let (queue, results) = (Arc::clone(&queue), results.clone());
        let callers = Arc::clone(&callers);
        let builder = thread::Builder::new().stack_size(STACK_BYTES);
        builder.spawn(move || callers.run(&queue, &results))?;
    }
    drop(results);
    send_jobs(plan, start, &jobs);
    drop(jobs);
    Ok(completed.iter().collect())
}

fn send_jobs(plan: &Plan, start: Instant, jobs: &Sender<Job>) {
    let mut rng = Pcg64Mcg::seed_from_u64(plan.seed);
    let total: u32 = plan.kinds.iter().map(|kind| kind.weight).sum();
    let mut due = start;
    let mut end = start;
    for phase in &plan.phases {
        end += phase.duration;
        loop {
            // Exponential gaps make the arrivals independent of each other.
            let gap = -(1.0 - rng.random::<f64>()).ln() / phase.rate;
            due += Duration::from_secs_f64(gap);
            if due >= end {
                due = end;
                break;
            }
            let kind = pick_kind(&plan.kinds, rng.random_range(0..total.max(1)));
            let target = rng.random_range(0..plan.kinds[kind].urls.len());
            let id = format!("{:016x}", rng.random::<u64>());
            thread::sleep(due.saturating_duration_since(Instant::now()));
            if jobs.send(Job { id, kind, target, due }).is_err() {
                return;
            }
        }
    }
}

fn pick_kind(kinds: &[RequestKind], mut point: u32) -> usize {
    for (index, kind) in kinds.iter().enumerate() {
        if point < kind.weight {
            return index;
        }
        point -= kind.weight;
    }
    0
}

impl CallerPool {
    fn run(&self, queue: &Mutex<Receiver<Job>>, results: &Sender<CompletedRequest>) {
        let agent = &self.agent;
        loop {
            let job = queue.lock().unwrap_or_else(PoisonError::into_inner).recv();
            let Ok(job) = job else { return };
            let kind = &self.kinds[job.kind];
            let mut target = job.target;
            let mut result = self.call(agent, &job, &mut target);
            for _ in 0..kind.retries {
                if result.status.is_some_and(|status| status < 500) {
                    break;
                }
                target = (target + 1) % kind.urls.len();
                result = self.call(agent, &job, &mut target);
            }
            let completed = CompletedRequest {
                id: job.id,
                kind: job.kind,
                due: job.due - self.start,
                latency: job.due.elapsed(),
                status: result.status,
                outcome: result.outcome,
                reason: result.reason,
            };
            if results.send(completed).is_err() {
                return;
            }
        }
    }

    fn call(&self, agent: &ureq::Agent, job: &Job, target: &mut usize) -> CallResult {
        let kind = &self.kinds[job.kind];
        if let Some(selector) = &self.selector {
            *target = selector.pick(job.kind, kind.urls.len());
        }
        // The time that the request waited for a free thread counts towards its timeout.
        let remaining = kind.timeout.saturating_sub(job.due.elapsed());
        let result = if remaining.is_zero() {
            CallResult::failure("late")
        } else {
            call(agent, &job.id, kind, &kind.urls[*target], remaining)
        };
        if let Some(selector) = &self.selector {
            let succeeded = result.status.is_some_and(|status| status < 500);
            selector.report(job.kind, *target, succeeded);
        }
        result
    }
}

struct CallResult {
    status: Option<u16>,
    outcome: String,
    reason: String,
}

impl CallResult {
    fn failure(reason: &str) -> Self {
        Self { status: None, outcome: String::new(), reason: reason.to_owned() }
    }
}

fn call(
    agent: &ureq::Agent,
    id: &str,
    kind: &RequestKind,
    url: &str,
    remaining: Duration,
) -> CallResult {
    let builder = ureq::http::Request::builder()
        .method(kind.method.as_str())
        .uri(url)
        .header("lavenderflow-request-id", id);
    let sent = if kind.body_bytes == 0 {
        builder.body(()).map(|request| {
            agent.run(agent.configure_request(request).timeout_global(Some(remaining)).build())
        })
    } else {
        builder.body(vec![b'x'; kind.body_bytes]).map(|request| {
            agent.run(agent.configure_request(request).timeout_global(Some(remaining)).build())
        })
    };
    let mut response = match sent {
        Ok(Ok(response)) => response,
        Ok(Err(ureq::Error::Timeout(_))) => return CallResult::failure("timeout"),
        Ok(Err(_)) | Err(_) => return CallResult::failure("connection"),
    };
    let header = |name: &str| {
        let value = response.headers().get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let (outcome, reason) = (header("lavenderflow-outcome"), header("lavenderflow-reason"));
    let status = response.status().as_u16();
    match response.body_mut().with_config().limit(u64::MAX).read_to_vec() {
        Ok(_) => CallResult { status: Some(status), outcome, reason },
        Err(_) => CallResult::failure("cut"),
    }
}

/// Returns the latencies of the served requests, in microseconds.
///
/// # Errors
///
/// The histogram cannot be created.
pub fn latency_histogram<'a>(
    completed: impl IntoIterator<Item = &'a CompletedRequest>,
) -> Result<Histogram<u64>, Error> {
    let mut histogram = Histogram::new(3)?;
    for request in completed.into_iter().filter(|request| request.is_served()) {
        // The histogram resizes itself, so only values beyond 64 bits cannot be recorded.
        let _ = histogram.record(u64::try_from(request.latency.as_micros()).unwrap_or(u64::MAX));
    }
    Ok(histogram)
}

/// Counts the requests by status, outcome and reason.
pub fn count_outcomes<'a>(
    completed: impl IntoIterator<Item = &'a CompletedRequest>,
) -> IndexMap<String, u64> {
    let mut counts = IndexMap::new();
    for request in completed {
        let status = request.status.map_or_else(|| "none".to_owned(), |status| status.to_string());
        *counts.entry(format!("{status} {} {}", request.outcome, request.reason)).or_default() += 1;
    }
    counts.sort_keys();
    counts
}
