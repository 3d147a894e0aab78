//! Simulates the allowances of a fleet: nodes that draw tokens over a network that delays, loses,
//! repeats and reorders messages. The clock is simulated, and all random numbers are seeded.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant, SystemTime};

use lavenderflow_core::allowance::borrower::Decision;
use lavenderflow_core::allowance::message::{Draw, DrawRole, Grant, ReplyId};
use lavenderflow_core::allowance::{Allowance, AllowanceAction, Allowances};
use lavenderflow_core::id::OrganisationName;
use lavenderflow_core::roster::Member;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::member;

pub const WINDOW: Duration = Duration::from_secs(5);
const SAME_ZONE_DELAY: Duration = Duration::from_micros(300);
const OTHER_ZONE_DELAY: Duration = Duration::from_micros(5400);
/// Time-outs of the network task.
const ROOT_TIMEOUT: Duration = Duration::from_millis(120);
const FINAL_ROOT_TIMEOUT: Duration = Duration::from_millis(80);
const LENDER_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval at which nodes compare their clocks.
const CLOCK_INTERVAL: Duration = Duration::from_millis(500);

#[derive(Clone, Debug)]
enum Event {
    Arrive { node: usize, organisation: usize, epoch: u64 },
    Draw { from: usize, incarnation: u64, to: usize, draw: Draw },
    Grant { to: usize, incarnation: u64, grant: Grant },
    Timeout { node: usize, incarnation: u64, serial: u64 },
    See { viewer: usize, subject: usize, expelled: bool, leaving: bool },
    Isolate { node: usize, is_isolated: bool },
    Tick { node: usize },
}

struct SimNode {
    allowances: Allowances,
    incarnation: u64,
    is_alive: bool,
    frozen_until: Duration,
    // Time that the monotonic clock has left out.
    suspended: Duration,
}

/// A fleet of nodes, numbered from 0 and placed in the zones in turn.
pub struct Fleet {
    start: Instant,
    pub now: Duration,
    nodes: Vec<SimNode>,
    zones: usize,
    limits: Vec<(OrganisationName, Allowance)>,
    events: BTreeMap<(Duration, u64), Event>,
    next_event: u64,
    rng: Pcg64Mcg,
    demand: BTreeMap<(usize, usize), (f64, u64)>,
    replies: BTreeMap<ReplyId, (usize, u64)>,
    pub cut_links: BTreeSet<(usize, usize)>,
    pub lost_share: f64,
    pub repeated_share: f64,
    pub jitter: Duration,
    pub messages: u64,
    links: BTreeSet<(usize, usize)>,
    pub allowed: Vec<Duration>,
    pub refused: Vec<Duration>,
}

impl Fleet {
    /// Starts nodes that know each other, with these allowances by organisation.
    pub fn start(count: usize, zones: usize, limits: Vec<Allowance>, seed: u64) -> Self {
        let named = |(index, limit)| (OrganisationName::from(format!("o{index}")), limit);
        let mut fleet = Self {
            start: Instant::now(),
            now: Duration::ZERO,
            nodes: Vec::new(),
            zones,
            limits: limits.into_iter().enumerate().map(named).collect(),
            events: BTreeMap::new(),
            next_event: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            demand: BTreeMap::new(),
            replies: BTreeMap::new(),
            cut_links: BTreeSet::new(),
            lost_share: 0.0,
            repeated_share: 0.0,
            jitter: Duration::from_micros(100),
            messages: 0,
            links: BTreeSet::new(),
            allowed: Vec::new(),
            refused: Vec::new(),
        };
        for index in 0..count {
            fleet.nodes.push(SimNode {
                allowances: Allowances::new(1, "zone".into(), fleet.start),
                incarnation: 0,
                is_alive: true,
                frozen_until: Duration::ZERO,
                suspended: Duration::ZERO,
            });
            fleet.restart(index, 0..count);
            fleet.push(Duration::ZERO, Event::Tick { node: index });
        }
        fleet
    }

    fn member(&self, node: usize, leaving: bool) -> Member {
        let zone = format!("zone-{}", node % self.zones).into();
        Member { zone, leaving, ..member(node as u64 + 1, 1, Vec::new()) }
    }

    fn instant(&self, node: usize) -> Instant {
        self.start + self.now - self.nodes[node].suspended
    }

    /// Replaces a node by a new process that knows these nodes at once.
    pub fn restart(&mut self, node: usize, known: impl IntoIterator<Item = usize>) {
        let zone = format!("zone-{}", node % self.zones).into();
        let now = self.instant(node);
        let mut allowances = Allowances::new(node as u64 + 1, zone, now);
        allowances.set_allowances(self.limits.clone(), now);
        for other in known {
            allowances.set_node(&self.member(other, false), false, now);
        }
        let sim = &mut self.nodes[node];
        sim.allowances = allowances;
        sim.incarnation += 1;
        sim.is_alive = true;
    }

    pub fn kill(&mut self, node: usize) {
        self.nodes[node].is_alive = false;
    }

    /// Stops a node's process for a time; its messages wait.
    pub fn freeze(&mut self, node: usize, time: Duration) {
        self.nodes[node].frozen_until = self.now + time;
    }

    /// Suspends a node's machine for a time that its monotonic clock leaves out.
    pub fn suspend(&mut self, node: usize, time: Duration) {
        self.freeze(node, time);
        self.nodes[node].suspended += time;
    }

    /// Lets nodes see others as expelled or leaving, or as healthy again, after a delay.
    pub fn see(
        &mut self,
        viewers: &[usize],
        subjects: &[usize],
        (expelled, leaving): (bool, bool),
        delay: Duration,
    ) {
        for &viewer in viewers {
            // Gossip and pings reach nodes at different times.
            let skew = Duration::from_millis(self.rng.random_range(0..300));
            for &subject in subjects {
                let event = Event::See { viewer, subject, expelled, leaving };
                self.push(self.now + delay + skew, event);
            }
        }
    }

    /// Lets nodes take themselves for isolated, or no longer, after a delay.
    pub fn isolate(&mut self, nodes: &[usize], is_isolated: bool, delay: Duration) {
        for &node in nodes {
            let skew = Duration::from_millis(self.rng.random_range(0..300));
            self.push(self.now + delay + skew, Event::Isolate { node, is_isolated });
        }
    }

    /// Cuts all links between two groups of nodes, in both directions.
    pub fn partition(&mut self, left: &[usize], right: &[usize]) {
        for (a, b) in left.iter().flat_map(|a| right.iter().map(move |b| (*a, *b))) {
            self.cut_links.extend([(a, b), (b, a)]);
        }
    }

    /// Sets the limits at all nodes.
    pub fn set_limits(&mut self, limits: Vec<Option<Allowance>>) {
        let named = |(index, limit): (usize, Option<Allowance>)| {
            Some((OrganisationName::from(format!("o{index}")), limit?))
        };
        self.limits = limits.into_iter().enumerate().filter_map(named).collect();
        for node in 0..self.nodes.len() {
            let now = self.instant(node);
            let actions = self.nodes[node].allowances.set_allowances(self.limits.clone(), now);
            self.execute(node, actions);
        }
    }

    /// Sets the requests per second of an organisation at a node.
    pub fn set_demand(&mut self, node: usize, organisation: usize, rate: f64) {
        let epoch = self.next_event;
        self.demand.insert((node, organisation), (rate, epoch));
        self.schedule_arrival(node, organisation, epoch);
    }

    /// Spreads the requests of organisation 0 over some nodes, and ends those elsewhere.
    pub fn spread_demand(&mut self, nodes: &[usize], rate: f64) {
        for node in 0..self.nodes.len() {
            let share = if nodes.contains(&node) { rate / nodes.len() as f64 } else { 0.0 };
            self.set_demand(node, 0, share);
        }
    }

    /// Returns the node that holds the bucket of organisation 0.
    pub fn root(&self) -> usize {
        let is_root = |node: &SimNode| node.is_alive && node.allowances.roles().1 > 0;
        self.nodes.iter().position(is_root).expect("a root")
    }

    /// Runs the simulation for a time.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(entry) = self.events.first_entry().filter(|entry| entry.key().0 <= end) {
            self.now = entry.key().0;
            let event = entry.remove();
            self.handle(event);
        }
        self.now = end;
    }

    /// Returns the requests that were allowed in a period.
    pub fn allowed_between(&self, from: Duration, to: Duration) -> usize {
        self.allowed.iter().filter(|time| (from..to).contains(time)).count()
    }

    /// Returns the greatest number of requests that were allowed within 5 s.
    pub fn peak(&self) -> usize {
        let until = |end| self.allowed.partition_point(|time| *time < end);
        let counts = self.allowed.iter().enumerate();
        counts.map(|(index, time)| until(*time + WINDOW) - index).max().unwrap_or(0)
    }

    /// Returns how many nodes each node has sent draws to.
    pub fn peer_counts(&self) -> impl Iterator<Item = usize> {
        (0..self.nodes.len()).map(|node| self.links.range((node, 0)..(node + 1, 0)).count())
    }

    fn push(&mut self, time: Duration, event: Event) {
        self.next_event += 1;
        self.events.insert((time, self.next_event), event);
    }

    fn schedule_arrival(&mut self, node: usize, organisation: usize, epoch: u64) {
        let (rate, _) = self.demand[&(node, organisation)];
        if rate > 0.0 {
            let wait = -self.rng.random_range(f64::EPSILON..1.0_f64).ln() / rate;
            let event = Event::Arrive { node, organisation, epoch };
            self.push(self.now + Duration::from_secs_f64(wait), event);
        }
    }

    fn handle(&mut self, event: Event) {
        let node = match &event {
            Event::Arrive { node, .. }
            | Event::Timeout { node, .. }
            | Event::Isolate { node, .. }
            | Event::Tick { node } => *node,
            Event::Draw { to, .. } | Event::Grant { to, .. } => *to,
            Event::See { viewer, .. } => *viewer,
        };
        let resumes_at = self.nodes[node].frozen_until;
        if self.now < resumes_at {
            return self.push(resumes_at, event);
        }
        if let Event::Arrive { organisation, epoch, .. } = event {
            if self.demand[&(node, organisation)].1 != epoch {
                return;
            }
            self.schedule_arrival(node, organisation, epoch);
        }
        if let Event::Tick { node } = event {
            self.push(self.now + CLOCK_INTERVAL, Event::Tick { node });
        }
        if !self.nodes[node].is_alive {
            return;
        }
        let now = self.instant(node);
        let system_time = SystemTime::UNIX_EPOCH + self.now;
        self.nodes[node].allowances.compare_clocks(now, system_time);
        let own = self.nodes[node].incarnation;
        let allowances = &mut self.nodes[node].allowances;
        let actions = match event {
            Event::Arrive { organisation, .. } => {
                allowances.request(0, &format!("o{organisation}").into(), now)
            }
            Event::Draw { from, incarnation, draw, .. } => {
                self.next_event += 1;
                self.replies.insert(self.next_event, (from, incarnation));
                allowances.draw(self.next_event, draw, now)
            }
            Event::Grant { incarnation, grant, .. } if incarnation == own => {
                allowances.granted(grant, now)
            }
            Event::Timeout { incarnation, serial, .. } if incarnation == own => {
                allowances.failed(serial, now)
            }
            Event::Isolate { is_isolated, .. } => {
                allowances.set_isolated(is_isolated, now);
                return;
            }
            Event::See { subject, expelled, leaving, .. } => {
                let member = self.member(subject, leaving);
                self.nodes[node].allowances.set_node(&member, expelled, now);
                return;
            }
            Event::Grant { .. } | Event::Timeout { .. } | Event::Tick { .. } => return,
        };
        self.execute(node, actions);
    }

    fn execute(&mut self, node: usize, actions: Vec<AllowanceAction>) {
        let incarnation = self.nodes[node].incarnation;
        for action in actions {
            match action {
                AllowanceAction::Send(to, draw) => {
                    let limit = match draw.role {
                        DrawRole::Lender => LENDER_TIMEOUT,
                        DrawRole::Root => ROOT_TIMEOUT,
                        DrawRole::FinalRoot => FINAL_ROOT_TIMEOUT,
                    };
                    let timeout = Event::Timeout { node, incarnation, serial: draw.serial };
                    self.push(self.now + limit, timeout);
                    let to = to as usize - 1;
                    self.links.insert((node, to));
                    self.transmit(node, to, Event::Draw { from: node, incarnation, to, draw });
                }
                AllowanceAction::Reply(reply, grant) => {
                    let (to, incarnation) = self.replies.remove(&reply).expect("a draw");
                    self.transmit(node, to, Event::Grant { to, incarnation, grant });
                }
                AllowanceAction::Decide(_, Decision::Allowed) => self.allowed.push(self.now),
                AllowanceAction::Decide(_, Decision::Over(_)) => self.refused.push(self.now),
            }
        }
    }

    fn transmit(&mut self, from: usize, to: usize, event: Event) {
        self.messages += 1;
        if self.cut_links.contains(&(from, to)) {
            return;
        }
        let copies = 1 + u32::from(self.rng.random_bool(self.repeated_share));
        for _ in 0..copies {
            if !self.rng.random_bool(self.lost_share) {
                let same_zone = from % self.zones == to % self.zones;
                let delay = if same_zone { SAME_ZONE_DELAY } else { OTHER_ZONE_DELAY };
                let jitter = self.jitter.mul_f64(self.rng.random());
                self.push(self.now + delay + jitter, event.clone());
            }
        }
    }
}
