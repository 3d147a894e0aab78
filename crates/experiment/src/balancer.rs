//! The baseline policies: callers that balance the load over the upstreams themselves.
//!
//! One thread owns the state; callers send it messages.

use std::net::SocketAddr;
use std::sync::mpsc::{self, Receiver, Sender};
use std::thread;
use std::time::{Duration, Instant};

use lavenderflow_standins::load::TargetSelector;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::scenario::Policy;

/// Pause between rounds of health probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of a health probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of consecutive errors after which an upstream is ejected.
const CONSECUTIVE_ERRORS: u32 = 5;
/// Time for which an upstream is ejected.
const EJECTION_TIME: Duration = Duration::from_secs(30);
/// Largest share of the upstreams of a service that is ejected at once.
const MAX_EJECTED_PERCENT: usize = 50;

enum Command {
    Pick(usize, Sender<usize>),
    Report(usize, usize, bool),
    Probed(usize, usize, bool),
}

/// Selects upstreams on behalf of callers.
pub struct Balancer(Sender<Command>);

#[derive(Clone, Default)]
struct Target {
    errors: u32,
    ejected_until: Option<Instant>,
    probe_failed: bool,
}

struct Actor {
    policy: Policy,
    // The state of each upstream, by kind of request.
    targets: Vec<Vec<Target>>,
    next: usize,
    rng: Pcg64Mcg,
}

impl Balancer {
    /// Starts a balancer; `addresses` holds the upstreams of each kind of request.
    pub fn start(policy: Policy, addresses: Vec<Vec<SocketAddr>>, seed: u64) -> Self {
        let (sender, commands) = mpsc::channel();
        let targets = addresses.iter().map(|a| vec![Target::default(); a.len()]).collect();
        let rng = Pcg64Mcg::seed_from_u64(seed);
        let actor = Actor { policy, targets, next: 0, rng };
        thread::spawn(move || actor.run(&commands));
        if policy == Policy::RoundRobin {
            let probes = sender.clone();
            thread::spawn(move || probe(&addresses, &probes));
        }
        Self(sender)
    }
}

impl TargetSelector for Balancer {
    fn pick(&self, kind: usize, _: usize) -> usize {
        let (reply, answer) = mpsc::channel();
        let _ = self.0.send(Command::Pick(kind, reply));
        answer.recv().unwrap_or_default()
    }

    fn report(&self, kind: usize, target: usize, succeeded: bool) {
        let _ = self.0.send(Command::Report(kind, target, succeeded));
    }
}

impl Actor {
    fn run(mut self, commands: &Receiver<Command>) {
        while let Ok(command) = commands.recv() {
            match command {
                Command::Pick(kind, reply) => {
                    let _ = reply.send(self.pick(kind));
                }
                Command::Report(kind, target, succeeded) => {
                    self.report(kind, target, succeeded);
                }
                Command::Probed(kind, target, succeeded) => {
                    self.targets[kind][target].probe_failed = !succeeded;
                }
            }
        }
    }

    fn pick(&mut self, kind: usize) -> usize {
        let now = Instant::now();
        let targets = &self.targets[kind];
        let is_usable =
            |t: &Target| !t.probe_failed && t.ejected_until.is_none_or(|until| now >= until);
        let usable: Vec<usize> = (0..targets.len()).filter(|i| is_usable(&targets[*i])).collect();
        let all: Vec<usize> = (0..targets.len()).collect();
        let usable = if usable.is_empty() { all } else { usable };
        self.next = self.next.wrapping_add(1);
        match self.policy {
            Policy::RoundRobin => usable[self.next % usable.len()],
            _ => usable[self.rng.random_range(0..usable.len())],
        }
    }

    fn report(&mut self, kind: usize, target: usize, succeeded: bool) {
        if self.policy != Policy::Random {
            return;
        }
        let now = Instant::now();
        let targets = &mut self.targets[kind];
        let ejected =
            targets.iter().filter(|t| t.ejected_until.is_some_and(|until| now < until)).count();
        let may_eject = (ejected + 1) * 100 <= targets.len() * MAX_EJECTED_PERCENT;
        let state = &mut targets[target];
        state.errors = if succeeded { 0 } else { state.errors + 1 };
        if state.errors >= CONSECUTIVE_ERRORS && may_eject {
            state.ejected_until = Some(now + EJECTION_TIME);
            state.errors = 0;
        }
    }
}

fn probe(addresses: &[Vec<SocketAddr>], results: &Sender<Command>) {
    loop {
        for (kind, addresses) in addresses.iter().enumerate() {
            for (target, address) in addresses.iter().enumerate() {
                let url = format!("http://{address}/healthz");
                let call = ureq::get(url).config().timeout_global(Some(PROBE_TIMEOUT)).build();
                let succeeded = call.call().is_ok();
                if results.send(Command::Probed(kind, target, succeeded)).is_err() {
                    return;
                }
            }
        }
        thread::sleep(PROBE_INTERVAL);
    }
}
