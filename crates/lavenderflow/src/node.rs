//! Assembles a node and runs its main loop.

use std::io;
use std::sync::Arc;
use std::thread;

use lavenderflow_core::catalog::RequestLimits;
use lavenderflow_core::clock::SharedClock;
use lavenderflow_core::entry::{Entry, Identity, TicketLimits};
use lavenderflow_core::gate::Gate;
use lavenderflow_core::id::node_id;
use lavenderflow_core::roster::{Member, Roster};
use lavenderflow_schema::settings::NodeSettings;
use rand::random;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use stakker::{ActorOwn, Stakker, actor, call, fwd_to, ret_nop, ret_shutdown};
use tokio::runtime::Runtime;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::timeout;

use crate::actor::counters::CountersActor;
use crate::actor::entry::EntryActor;
use crate::actor::fleet::{self, FleetActor};
use crate::actor::gate::GateActor;
use crate::actor::lifecycle::{DrainActors, LifecycleActor, StopTimes};
use crate::clock::SystemClock;
use crate::counter;
use crate::error::NodeError;
use crate::http::listen::{CloseRequest, HttpAddresses};
use crate::http::{callers, listen};
use crate::net::context::Context;
use crate::net::endpoint::{self, Command, Network};
use crate::net::key;
use crate::prelude::*;
use crate::reload::{Reloader, Tuning};
use crate::site::{Site, Trust};
use crate::store::{Introducer, IntroducerSetup, Store, Watcher, WatcherSetup};
use crate::work::Work;

/// Longest sleep of the main loop.
const MAX_SLEEP: Duration = Duration::from_secs(60);
/// Longest time for answers to be written out at the end of a stop.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(10);
/// Part of a stop's time that its end may take.
const CLOSE_DIVISOR: u32 = 40;
/// Messages that are handled before the actors run.
const BATCH: usize = 256;

/// Runs a node until it is stopped.
///
/// # Errors
///
/// The node cannot start.
pub fn run(settings: &NodeSettings, site: &Site) -> Result<(), NodeError> {
    let clock: SharedClock = Arc::new(SystemClock);
    let (mailbox, messages) = Mailbox::new();
    let (network, commands) = endpoint::channel();
    let (next_nodes, current_next_nodes) = watch::channel(String::new());
    let (limits, limits_in_force) = watch::channel(RequestLimits::default());
    let (is_ready, ready_state) = watch::channel(false);
    let (ready, becomes_ready) = oneshot::channel();
    let (stop, is_stopped) = oneshot::channel();
    let statsd = counter::statsd(settings.statsd.first().copied())?;
    let work = Work::default();
    let net = start_network(settings, site, &clock, &mailbox, commands, &work)?;
    let max_requests = usize::try_from(settings.workers).unwrap_or(usize::MAX);
    let name = settings.name.clone();
    start_http(listen::HttpSetup {
        addresses: addresses(settings, site),
        context: callers::CallerContext {
            name,
            net,
            next_nodes: current_next_nodes,
            limits: limits_in_force,
            max_requests,
        },
        serves_early: site.deploys,
        ready: becomes_ready,
        is_ready: ready_state,
        stop: is_stopped,
    })?;
    let reloader = match &site.file {
        Some((path, node_file)) => {
            Some(Reloader::start(path.clone(), node_file.clone(), mailbox.clone())?)
        }
        None => None,
    };
    start_signals(mailbox.clone(), reloader)?;
    let store = Store::new(settings.store);
    let member = member(settings);
    let (name, peer) = (settings.name.clone(), member.peer_address);
    let introduction =
        IntroducerSetup { store: store.clone(), name, peer, mailbox: mailbox.clone() };
    let registration = Introducer::start(introduction)?;
    let watchers = site.sources.iter().map(|source| {
        let (store, mailbox, clock) = (store.clone(), mailbox.clone(), Arc::clone(&clock));
        Watcher::start(WatcherSetup { store, source: *source, mailbox, clock })
    });
    let fleet = fleet::FleetSetup {
        roster: Roster::new(Arc::clone(&clock), member),
        seeds: settings.seeds.clone(),
        ping_interval: settings.ping,
        network: network.clone(),
        registration,
        watchers: watchers.collect::<Result<_, _>>()?,
        profile: site.profile.clone(),
        next_nodes,
        limits,
        awaits_deployment: site.deploys,
        burst: settings.burst,
        ready,
    };
    log::info!(
        "event=started node={} peers={} version={}",
        settings.name,
        settings.peers,
        env!("CARGO_PKG_VERSION")
    );
    Main::new(settings, &clock, fleet, statsd, work, is_ready).serve(messages)?;
    close(stop, &network, CLOSE_TIMEOUT.min(settings.stop / CLOSE_DIVISOR));
    log::info!("event=ended node={}", settings.name);
    Ok(())
}

fn addresses(settings: &NodeSettings, site: &Site) -> HttpAddresses {
    HttpAddresses {
        callers: settings.callers,
        admin: settings.admin,
        ready: site.ready,
        announcements: site.announcements,
        metrics: settings.metrics.first().copied(),
        upstream: site.upstream,
    }
}

fn member(settings: &NodeSettings) -> Member {
    Member {
        node: node_id(&settings.name),
        incarnation: random(),
        version: 0,
        name: settings.name.clone(),
        peer_address: settings.advertised.first().copied().unwrap_or(settings.peers),
        caller_address: settings.callers,
        zone: settings.zone.as_str().into(),
        leaving: false,
        detached: false,
        offers: Vec::new(),
    }
}

fn runtime() -> Result<Runtime, NodeError> {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    builder.enable_all().build().map_err(NodeError::Runtime)
}

/// Starts the network thread.
fn start_network(
    settings: &NodeSettings,
    site: &Site,
    clock: &SharedClock,
    mailbox: &Mailbox,
    commands: mpsc::Receiver<Command>,
    work: &Work,
) -> Result<Context, NodeError> {
    let keys = match site.trust {
        Trust::Keys => key::load(&settings.authority, &settings.certificate, &settings.key)?,
        Trust::Network => key::self_signed()?,
    };
    let setup = endpoint::Setup {
        node: node_id(&settings.name),
        address: settings.peers,
        keys,
        clock: Arc::clone(clock),
        mailbox: mailbox.clone(),
        dialect: Arc::clone(&site.dialect),
        work: work.clone(),
        ping: settings.ping,
    };
    let (bound, is_bound) = oneshot::channel();
    let runtime = runtime()?;
    spawn("network", move || runtime.block_on(endpoint::run(setup, commands, bound)))?;
    is_bound.blocking_recv().unwrap_or_else(|_| Err(ended_early()))
}

/// Starts the HTTP thread.
fn start_http(setup: listen::HttpSetup) -> Result<(), NodeError> {
    let (bound, is_bound) = oneshot::channel();
    let runtime = runtime()?;
    spawn("http", move || runtime.block_on(listen::run(setup, bound)))?;
    is_bound.blocking_recv().unwrap_or_else(|_| Err(ended_early()))
}

fn ended_early() -> NodeError {
    NodeError::Thread(io::ErrorKind::UnexpectedEof.into())
}

fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> Result<(), NodeError> {
    let builder = thread::Builder::new().name(name.to_owned());
    builder.spawn(run).map(|_| ()).map_err(NodeError::Thread)
}

/// Turns signals into a graceful stop or a look at the settings file.
fn start_signals(mailbox: Mailbox, reloader: Option<Reloader>) -> Result<(), NodeError> {
    let mut signals = Signals::new([SIGHUP, SIGINT, SIGTERM]).map_err(NodeError::Signal)?;
    spawn("signals", move || {
        for signal in signals.forever() {
            log::info!("event=signal number={signal}");
            match (&reloader, signal) {
                (Some(reloader), SIGHUP) => reloader.reload(),
                // Flags and variables cannot change.
                (None, SIGHUP) => log::info!("event=reload changed=none"),
                _ => mailbox.send_blocking(Message::Drain),
            }
        }
    })
}

/// Waits until answers are written out, then closes the connections to other nodes.
fn close(stop: oneshot::Sender<CloseRequest>, network: &Network, timeout: Duration) {
    let (done, is_done) = oneshot::channel();
    if stop.send(CloseRequest { timeout, done }).is_ok() && is_done.blocking_recv().is_err() {
        log::warn!("event=http-ended-early");
    }
    let (done, is_done) = oneshot::channel();
    let closing = Command::Close { limit: timeout, done };
    if network.blocking_send(closing).is_ok() && is_done.blocking_recv().is_err() {
        log::warn!("event=network-ended-early");
    }
}

/// The actors and the loop that feeds them.
struct Main {
    stakker: Stakker,
    clock: SharedClock,
    counters: ActorOwn<CountersActor>,
    entry: ActorOwn<EntryActor>,
    gate: ActorOwn<GateActor>,
    fleet: ActorOwn<FleetActor>,
    lifecycle: ActorOwn<LifecycleActor>,
}

impl Main {
    fn new(
        settings: &NodeSettings,
        clock: &SharedClock,
        fleet: fleet::FleetSetup,
        statsd: cadence::StatsdClient,
        work: Work,
        is_ready: watch::Sender<bool>,
    ) -> Self {
        let mut stakker = Stakker::new(clock.now());
        let s = &mut stakker;
        let local = fleet.roster.local();
        let incarnation = local.incarnation;
        let identity = Identity { node: local.node, incarnation, zone: local.zone.clone() };
        let answer_bytes = usize::try_from(settings.answers * 1024).unwrap_or(usize::MAX);
        let limits = TicketLimits { retention: settings.tickets, answer_bytes };
        let mut entry = Entry::new(identity, limits, Arc::clone(clock), random());
        if fleet.awaits_deployment {
            entry.await_routes();
        }
        let counters = actor!(s, CountersActor::init(statsd), ret_nop!());
        let count = counters.clone();
        let entry = actor!(s, EntryActor::init(entry, count), ret_shutdown!(s));
        let (handle, count) = (entry.clone(), counters.clone());
        let fleet = actor!(s, FleetActor::init(fleet, handle, count), ret_shutdown!(s));
        let publish =
            fwd_to!([fleet], set_offers() as (Vec<lavenderflow_core::gate::ServiceOffer>));
        let gate = Gate::new(incarnation, Arc::clone(clock));
        let count = counters.clone();
        let gate = actor!(s, GateActor::init(gate, count, publish), ret_shutdown!(s));
        let handle = gate.clone();
        call!([fleet], set_gate(handle));
        let actors = DrainActors { entry: entry.clone(), gate: gate.clone(), fleet: fleet.clone() };
        let NodeSettings { notice, linger, stop: timeout, .. } = *settings;
        let stop = StopTimes { notice, linger, timeout };
        let lifecycle =
            actor!(s, LifecycleActor::init(actors, work, stop, is_ready), ret_shutdown!(s));
        let serve = fwd_to!([lifecycle], serve() as (()));
        call!([fleet], set_on_ready(serve));
        Self { stakker, clock: Arc::clone(clock), counters, entry, gate, fleet, lifecycle }
    }

    /// Hands messages to the actors until one of them ends the node.
    fn serve(&mut self, mut messages: mpsc::Receiver<Message>) -> Result<(), NodeError> {
        let runtime = runtime()?;
        self.stakker.run(self.clock.now(), false);
        while self.stakker.not_shutdown() {
            let wait = self.stakker.next_wait_max(self.clock.now(), MAX_SLEEP, false);
            let next = runtime.block_on(async { timeout(wait, messages.recv()).await });
            if let Ok(Some(message)) = next {
                self.handle(message);
                for _ in 0..BATCH {
                    let Ok(message) = messages.try_recv() else { break };
                    self.handle(message);
                }
            }
            self.stakker.run(self.clock.now(), false);
        }
        Ok(())
    }

    fn handle(&self, message: Message) {
        let Self { counters, entry, gate, fleet, lifecycle, .. } = self;
        match message {
            Message::Entry(message) => call!([entry], handle(message)),
            Message::Gate(message) => call!([gate], handle(message)),
            Message::Fleet(message) => call!([fleet], handle(message)),
            Message::Count(counter) => call!([counters], add(counter)),
            Message::Latency(stage, time) => call!([counters], record_latency(stage, time)),
            Message::Metrics(reply) => call!([counters], metrics(reply)),
            Message::ApplySettings(tuning) => self.tune(*tuning),
            Message::Drain => call!([lifecycle], drain()),
            Message::Status(reply) => call!([lifecycle], status(reply)),
        }
    }

    /// Brings changed settings into force.
    fn tune(&self, tuning: Tuning) {
        let Self { fleet, lifecycle, .. } = self;
        let Tuning { profile, burst, stop } = tuning;
        call!([fleet], apply_settings(profile, burst));
        call!([lifecycle], set_stop(stop));
    }
}
