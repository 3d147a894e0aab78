//! An open-loop load: arrivals do not wait for answers.

use std::sync::mpsc::{self, Receiver, Sender};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use indexmap::IndexMap;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::error::Error;

/// Stack of a caller thread.
const STACK_BYTES: usize = 128 * 1024;
/// Longest time for a call.
const TIMEOUT: Duration = Duration::from_secs(60);

/// A stretch of constant demand.
#[derive(Clone, Copy, Debug)]
pub struct Phase {
    /// Length.
    pub length: Duration,
    /// Requests per second.
    pub rate: f64,
}

/// One kind of request.
#[derive(Clone, Debug)]
pub struct Kind {
    /// Name in the report.
    pub name: String,
    /// HTTP method.
    pub method: String,
    /// URLs to choose from at random; `{id}` is replaced by the request's id.
    pub urls: Vec<String>,
    /// Length of the request body in bytes.
    pub body: usize,
    /// Weight in the mix.
    pub weight: u32,
}

/// A load to offer.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Demand over time.
    pub phases: Vec<Phase>,
    /// The mix.
    pub kinds: Vec<Kind>,
    /// Seed of the arrivals and of the mix.
    pub seed: u64,
    /// Most callers at once.
    pub callers: usize,
}

/// How one request ended.
#[derive(Clone, Debug)]
pub struct Ended {
    /// Id.
    pub id: String,
    /// Index of its kind.
    pub kind: usize,
    /// When it was due, since the start.
    pub due: Duration,
    /// From when it was due to the end of the answer.
    pub latency: Duration,
    /// HTTP status; none when the connection failed.
    pub status: Option<u16>,
    /// The outcome's name.
    pub outcome: String,
    /// The reason's name.
    pub reason: String,
}

impl Ended {
    /// Tells whether the caller got what it wanted.
    pub fn is_served(&self) -> bool {
        self.status.is_some_and(|status| status < 400)
    }
}

struct Job {
    id: String,
    kind: usize,
    url: String,
    due: Instant,
}

/// Offers a load and returns how each request ended.
///
/// # Errors
///
/// No thread can be started.
pub fn run(plan: &Plan) -> Result<Vec<Ended>, Error> {
    let (jobs, queue) = mpsc::channel();
    let (results, ended) = mpsc::channel();
    let queue = Arc::new(Mutex::new(queue));
    let start = Instant::now();
    let kinds = Arc::new(plan.kinds.clone());
    for _ in 0..plan.callers {
        let (queue, results, kinds) = (Arc::clone(&queue), results.clone(), Arc::clone(&kinds));
        let builder = thread::Builder::new().stack_size(STACK_BYTES);
        builder.spawn(move || call_all(&queue, &results, &kinds, start))?;
    }
    drop(results);
    offer(plan, start, &jobs);
    drop(jobs);
    Ok(ended.iter().collect())
}

fn offer(plan: &Plan, start: Instant, jobs: &Sender<Job>) {
    let mut rng = Pcg64Mcg::seed_from_u64(plan.seed);
    let total: u32 = plan.kinds.iter().map(|kind| kind.weight).sum();
    let mut due = start;
    let mut end = start;
    for phase in &plan.phases {
        end += phase.length;
        loop {
            // Exponential gaps make arrivals independent of each other.
            let gap = -(1.0 - rng.random::<f64>()).ln() / phase.rate;
            due += Duration::from_secs_f64(gap);
            if due >= end {
                due = end;
                break;
            }
            let kind = draw(&plan.kinds, rng.random_range(0..total.max(1)));
            let urls = &plan.kinds[kind].urls;
            let id = format!("{:016x}", rng.random::<u64>());
            let url = urls[rng.random_range(0..urls.len())].replace("{id}", &id);
            thread::sleep(due.saturating_duration_since(Instant::now()));
            if jobs.send(Job { id, kind, url, due }).is_err() {
                return;
            }
        }
    }
}

fn draw(kinds: &[Kind], mut point: u32) -> usize {
    for (index, kind) in kinds.iter().enumerate() {
        if point < kind.weight {
            return index;
        }
        point -= kind.weight;
    }
    0
}

fn call_all(queue: &Mutex<Receiver<Job>>, results: &Sender<Ended>, kinds: &[Kind], start: Instant) {
    let config = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(TIMEOUT))
        .allow_non_standard_methods(true);
    let agent: ureq::Agent = config.build().into();
    loop {
        let job = queue.lock().unwrap_or_else(PoisonError::into_inner).recv();
        let Ok(job) = job else { return };
        let kind = &kinds[job.kind];
        let (status, outcome, reason) = call(&agent, &job, kind);
        let ended = Ended {
            id: job.id,
            kind: job.kind,
            due: job.due - start,
            latency: job.due.elapsed(),
            status,
            outcome,
            reason,
        };
        if results.send(ended).is_err() {
            return;
        }
    }
}

fn call(agent: &ureq::Agent, job: &Job, kind: &Kind) -> (Option<u16>, String, String) {
    let builder = ureq::http::Request::builder()
        .method(kind.method.as_str())
        .uri(&job.url)
        .header("lavenderflow-request-id", &job.id);
    let failed = || (None, String::new(), "connection".to_owned());
    let sent = if kind.body == 0 {
        builder.body(()).map(|request| agent.run(request))
    } else {
        builder.body(vec![b'x'; kind.body]).map(|request| agent.run(request))
    };
    let Ok(Ok(mut response)) = sent else { return failed() };
    let field = |name: &str| {
        let value = response.headers().get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let (outcome, reason) = (field("lavenderflow-outcome"), field("lavenderflow-reason"));
    let status = response.status().as_u16();
    match response.body_mut().with_config().limit(u64::MAX).read_to_vec() {
        Ok(_) => (Some(status), outcome, reason),
        Err(_) => failed(),
    }
}

/// Returns the latencies of the requests that were served, in microseconds.
///
/// # Errors
///
/// The histogram cannot be made.
pub fn latencies<'a>(ended: impl IntoIterator<Item = &'a Ended>) -> Result<Histogram<u64>, Error> {
    let mut histogram = Histogram::new(3)?;
    for request in ended.into_iter().filter(|request| request.is_served()) {
        histogram.saturating_record(u64::try_from(request.latency.as_micros()).unwrap_or(u64::MAX));
    }
    Ok(histogram)
}

/// Counts the requests by status and reason.
pub fn outcomes<'a>(ended: impl IntoIterator<Item = &'a Ended>) -> IndexMap<String, u64> {
    let mut counts = IndexMap::new();
    for request in ended {
        let status = request.status.map_or_else(|| "none".to_owned(), |status| status.to_string());
        *counts.entry(format!("{status} {} {}", request.outcome, request.reason)).or_default() += 1;
    }
    counts.sort_keys();
    counts
}
