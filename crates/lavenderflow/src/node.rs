//! Starts the threads and actors of a node and runs its main loop.

use std::io;
use std::sync::Arc;
use std::thread;

use lavenderflow_core::allowance::Allowances;
use lavenderflow_core::catalog::RequestLimits;
use lavenderflow_core::clock::SharedClock;
use lavenderflow_core::deployment_change::AppliedRevision;
use lavenderflow_core::entry::{Entry, Identity, TicketLimits};
use lavenderflow_core::freshness::Freshness;
use lavenderflow_core::gate::Gate;
use lavenderflow_core::id::node_id;
use lavenderflow_core::memory::{Budget, HoldLimits};
use lavenderflow_core::roster::{Member, Roster};
use lavenderflow_schema::settings::NodeSettings;
use quinn::{ClientConfig, ServerConfig};
use rand::random;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use stakker::{ActorOwn, Stakker, actor, call, fwd_to, ret_nop, ret_shutdown};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::timeout;

use crate::actor::allowance::{AllowanceActor, AllowanceSetup};
use crate::actor::counters::CountersActor;
use crate::actor::entry::EntryActor;
use crate::actor::fleet::{self, FleetActor};
use crate::actor::gate::{GateActor, GateLinks};
use crate::actor::lifecycle::{DrainActors, LifecycleActor, PublishedStates, StopTimes};
use crate::clock::SystemClock;
use crate::counter::{self, Counters};
use crate::environment::{Environment, PeerTrust};
use crate::error::NodeError;
use crate::executor::Executor;
use crate::http::listen::{CloseRequest, HttpAddresses};
use crate::http::{callers, listen};
use crate::net::context::NetworkContext;
use crate::net::endpoint::{self, NetworkCommand, NetworkSender};
use crate::net::tls;
use crate::prelude::*;
use crate::reload::{ReloadableSettings, Reloader};
use crate::shutdown;
use crate::store::{
    ConfigWatcher, LifetimeSetup, LifetimeStore, Registration, RegistrationSetup, Store,
    WatcherSetup,
};
use crate::work::WorkTracker;

/// Longest sleep of the main loop.
const MAX_SLEEP: Duration = Duration::from_secs(60);
/// Longest wait for what an earlier process of this node has stored about its upstreams.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest time to finish writing responses at the end of a stop.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(10);
/// Divisor of the stop time that gives the time for finishing responses.
const CLOSE_DIVISOR: u32 = 40;
/// Part of what a node may hold for others that the windows of one connection between nodes may
/// take, in each direction.
const WINDOW_DIVISOR: u64 = 8;
/// Most further messages taken from the mailbox before the actors run.
const MAX_BATCH_MESSAGES: usize = 256;

/// Runs a node until it is stopped.
///
/// # Errors
///
/// The node cannot start.
pub fn run(settings: &NodeSettings, environment: &Environment) -> Result<(), NodeError> {
    // First, since a signal without a handler ends the process; until they are handled, signals wait.
    let signals = Signals::new([SIGHUP, SIGINT, SIGTERM]).map_err(NodeError::Signal)?;
    let clock: SharedClock = Arc::new(SystemClock);
    let (mailbox, messages) = Mailbox::new();
    let (network, commands) = endpoint::channel();
    let (next_nodes, current_next_nodes) = watch::channel(String::new());
    let (limits, current_limits) = watch::channel(RequestLimits::default());
    let (applied, latest_applied) = watch::channel(AppliedRevision::default());
    let (dialect, current_dialect) = watch::channel(Arc::clone(&environment.dialect));
    let (is_ready, ready_state) = watch::channel(false);
    let (stop_stage, stop_watch) = shutdown::channel();
    let (ready, becomes_ready) = oneshot::channel();
    let (stop, is_stopped) = oneshot::channel();
    let statsd = counter::statsd_client(settings.statsd.first().copied())?;
    let work = WorkTracker::default();
    let hold_limits = HoldLimits::derive(settings.memory, settings.descriptors);
    let budget = Budget::new(hold_limits.node_bytes);
    let executor = Executor::new(settings.threads)?;
    let quic_configs = quic_configs(settings, environment)?;
    let network_setup = endpoint::NetworkSetup {
        node: node_id(&settings.name),
        address: settings.peers,
        quic_configs,
        clock: Arc::clone(&clock),
        mailbox: mailbox.clone(),
        dialect: Arc::clone(&environment.dialect),
        work: work.clone(),
        stop: stop_watch,
        budget: budget.clone(),
        ping_interval: settings.ping,
    };
    let net = start_network(&executor, network_setup, commands)?;
    let max_requests = usize::try_from(settings.workers).unwrap_or(usize::MAX);
    let name = settings.name.clone();
    let http_setup = listen::HttpSetup {
        addresses: addresses(settings, environment),
        context: callers::CallerContext {
            name,
            net,
            next_nodes: current_next_nodes,
            dialect: current_dialect,
            limits: current_limits,
            applied: latest_applied,
            max_requests,
            hold_limits,
        },
        serves_early: environment.awaits_deployment,
        ready: becomes_ready,
        is_ready: ready_state,
        stop: is_stopped,
    };
    start_http(&executor, http_setup)?;
    let reloader = match &environment.node_file {
        Some((path, node_file)) => {
            Some(Reloader::start(path.clone(), node_file.clone(), dialect, mailbox.clone())?)
        }
        None => None,
    };
    start_signals(signals, mailbox.clone(), reloader)?;
    let store = Store::new(settings.store);
    let member = member(settings);
    let (name, peer) = (settings.name.clone(), member.peer_address);
    let setup = RegistrationSetup {
        store: store.clone(),
        name,
        peer,
        mailbox: mailbox.clone(),
        clock: Arc::clone(&clock),
    };
    let registration = Registration::start(setup)?;
    let lifetimes = LifetimeStore::start(LifetimeSetup {
        // Its calls are rare, and an upstream awaits them.
        store: Store::without_reuse(settings.store),
        name: settings.name.clone(),
        mailbox: mailbox.clone(),
        clock: Arc::clone(&clock),
    })?;
    let watchers = environment.sources.iter().map(|source| {
        let (store, mailbox, clock) = (store.clone(), mailbox.clone(), Arc::clone(&clock));
        ConfigWatcher::start(WatcherSetup { store, source: *source, mailbox, clock })
    });
    let ages = environment.sources.iter().map(|source| (source.prefix.into(), source.max_age()));
    let freshness = Freshness::new(ages, random(), clock.now());
    let fleet = fleet::FleetSetup {
        freshness,
        roster: Roster::new(Arc::clone(&clock), member),
        seeds: settings.seeds.clone(),
        ping_interval: settings.ping,
        network: network.clone(),
        registration,
        watchers: watchers.collect::<Result<_, _>>()?,
        profile: environment.profile.clone(),
        next_nodes,
        limits,
        applied,
        awaits_deployment: environment.awaits_deployment,
        burst: settings.burst,
        ready,
    };
    log::info!(
        "event=started node={} peers={} version={}",
        settings.name,
        settings.peers,
        env!("CARGO_PKG_VERSION")
    );
    let states = PublishedStates { is_ready, stop_stage };
    let links = GateLinks { lifetimes, mailbox: mailbox.clone() };
    let counters = Counters::new(statsd, budget);
    let mut main_loop = MainLoop::new(settings, &clock, fleet, links, counters, work, states);
    executor.run(main_loop.run(messages));
    let timeout = CLOSE_TIMEOUT.min(main_loop.stop_timeout / CLOSE_DIVISOR);
    executor.run(close(stop, &network, timeout));
    log::info!("event=ended node={}", settings.name);
    Ok(())
}

fn addresses(settings: &NodeSettings, environment: &Environment) -> HttpAddresses {
    HttpAddresses {
        callers: settings.callers,
        admin: settings.admin,
        ready: environment.ready_address,
        announcements: environment.announcement_address,
        metrics: settings.metrics.first().copied(),
        upstream: environment.upstream_address,
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

fn quic_configs(
    settings: &NodeSettings,
    environment: &Environment,
) -> Result<(ServerConfig, ClientConfig), NodeError> {
    let limits = HoldLimits::derive(settings.memory, settings.descriptors);
    let window = limits.node_bytes.map(|bytes| bytes / WINDOW_DIVISOR);
    Ok(match environment.trust {
        PeerTrust::Certificates => {
            tls::load(&settings.authority, &settings.certificate, &settings.key, window)?
        }
        PeerTrust::Network => tls::self_signed(window)?,
    })
}

/// Starts the network task.
fn start_network(
    executor: &Executor,
    setup: endpoint::NetworkSetup,
    commands: mpsc::Receiver<NetworkCommand>,
) -> Result<NetworkContext, NodeError> {
    let (bound, is_bound) = oneshot::channel();
    executor.start("network", endpoint::run(setup, commands, bound))?;
    executor.run(is_bound).unwrap_or_else(|_| Err(thread_ended()))
}

/// Starts the HTTP task.
fn start_http(executor: &Executor, setup: listen::HttpSetup) -> Result<(), NodeError> {
    let (bound, is_bound) = oneshot::channel();
    executor.start("http", listen::run(setup, bound))?;
    executor.run(is_bound).unwrap_or_else(|_| Err(thread_ended()))
}

fn thread_ended() -> NodeError {
    NodeError::Thread(io::ErrorKind::UnexpectedEof.into())
}

fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> Result<(), NodeError> {
    let builder = thread::Builder::new().name(name.to_owned());
    builder.spawn(run).map(|_| ()).map_err(NodeError::Thread)
}

/// Handles signals: `SIGHUP` reloads the settings file, the others start a graceful stop.
fn start_signals(
    mut signals: Signals,
    mailbox: Mailbox,
    reloader: Option<Reloader>,
) -> Result<(), NodeError> {
    spawn("signals", move || {
        for signal in signals.forever() {
            log::info!("event=signal number={signal}");
            match (&reloader, signal) {
                (Some(reloader), SIGHUP) => reloader.reload(),
                // Settings from flags and environment variables cannot change.
                (None, SIGHUP) => log::info!("event=reload changed=none"),
                _ => mailbox.send_blocking(Message::Drain),
            }
        }
    })
}

/// Waits until responses are written, then closes the connections to other nodes.
async fn close(stop: oneshot::Sender<CloseRequest>, network: &NetworkSender, timeout: Duration) {
    let (done, is_done) = oneshot::channel();
    if stop.send(CloseRequest { timeout, done }).is_ok() && is_done.await.is_err() {
        log::warn!("event=http-ended-early");
    }
    let (done, is_done) = oneshot::channel();
    let closing = NetworkCommand::Close { timeout, done };
    if network.send(closing).await.is_ok() && is_done.await.is_err() {
        log::warn!("event=network-ended-early");
    }
}

/// Owns the actors and dispatches messages to them.
struct MainLoop {
    stakker: Stakker,
    clock: SharedClock,
    counters: ActorOwn<CountersActor>,
    allowance: ActorOwn<AllowanceActor>,
    entry: ActorOwn<EntryActor>,
    gate: ActorOwn<GateActor>,
    fleet: ActorOwn<FleetActor>,
    lifecycle: ActorOwn<LifecycleActor>,
    // By the latest settings.
    stop_timeout: Duration,
}

impl MainLoop {
    fn new(
        settings: &NodeSettings,
        clock: &SharedClock,
        fleet: fleet::FleetSetup,
        links: GateLinks,
        counters: Counters,
        work: WorkTracker,
        states: PublishedStates,
    ) -> Self {
        let mut stakker = Stakker::new(clock.now());
        let s = &mut stakker;
        let local = fleet.roster.local();
        let incarnation = local.incarnation;
        let identity = Identity { node: local.node, incarnation, zone: local.zone.clone() };
        let answer_bytes = usize::try_from(settings.answers * 1024).unwrap_or(usize::MAX);
        let limits = TicketLimits { retention: settings.tickets, answer_bytes };
        let setup = AllowanceSetup {
            allowances: Allowances::new(local.node, local.zone.clone(), clock.now())
                .with_slack(settings.slack as f64),
            clock: Arc::clone(clock),
            network: fleet.network.clone(),
        };
        let mut entry = Entry::new(identity, limits, Arc::clone(clock), random());
        if fleet.awaits_deployment {
            entry.await_routes();
        }
        let counters = actor!(s, CountersActor::init(counters), ret_nop!());
        let count = counters.clone();
        let entry = actor!(s, EntryActor::init(entry, count), ret_shutdown!(s));
        let (handle, count) = (entry.clone(), counters.clone());
        let allowance = actor!(s, AllowanceActor::init(setup, handle, count), ret_shutdown!(s));
        let handle = allowance.clone();
        call!([entry], set_allowance(handle));
        let (handle, count) = (entry.clone(), counters.clone());
        let fleet = actor!(s, FleetActor::init(fleet, handle, count), ret_shutdown!(s));
        let publish =
            fwd_to!([fleet], set_offers() as (Vec<lavenderflow_core::gate::ServiceOffer>));
        let mut gate = Gate::new(incarnation, Arc::clone(clock));
        gate.await_lifetimes(RECOVERY_TIMEOUT);
        let count = counters.clone();
        let gate = actor!(s, GateActor::init(gate, count, publish, links), ret_shutdown!(s));
        let handle = gate.clone();
        call!([fleet], set_gate(handle));
        let actors = DrainActors { entry: entry.clone(), gate: gate.clone(), fleet: fleet.clone() };
        let NodeSettings { notice, linger, stop: timeout, .. } = *settings;
        let stop = StopTimes { notice, linger, timeout };
        let lifecycle =
            actor!(s, LifecycleActor::init(actors, work, stop, states), ret_shutdown!(s));
        let serve = fwd_to!([lifecycle], serve() as (()));
        call!([fleet], set_on_ready(serve));
        let (clock, stop_timeout) = (Arc::clone(clock), timeout);
        Self { stakker, clock, counters, allowance, entry, gate, fleet, lifecycle, stop_timeout }
    }

    /// Dispatches messages until an actor shuts the node down.
    async fn run(&mut self, mut messages: mpsc::Receiver<Message>) {
        self.stakker.run(self.clock.now(), false);
        while self.stakker.not_shutdown() {
            let wait = self.stakker.next_wait_max(self.clock.now(), MAX_SLEEP, false);
            if let Ok(Some(message)) = timeout(wait, messages.recv()).await {
                self.dispatch(message);
                for _ in 0..MAX_BATCH_MESSAGES {
                    let Ok(message) = messages.try_recv() else { break };
                    self.dispatch(message);
                }
            }
            self.stakker.run(self.clock.now(), false);
        }
    }

    fn dispatch(&mut self, message: Message) {
        let Self { counters, allowance, entry, gate, fleet, lifecycle, .. } = self;
        match message {
            Message::Entry(message) => call!([entry], handle(message)),
            Message::Allowance(message) => call!([allowance], handle(message)),
            Message::Gate(message) => call!([gate], handle(message)),
            Message::Fleet(message) => call!([fleet], handle(message)),
            Message::Count(counter) => call!([counters], add(counter)),
            Message::Latency(stage, time) => call!([counters], record_latency(stage, time)),
            Message::Metrics(reply) => call!([counters], metrics(reply)),
            Message::ApplySettings(settings) => self.apply_settings(*settings),
            Message::Drain => call!([lifecycle], drain()),
            Message::Status(reply) => call!([lifecycle], status(reply)),
        }
    }

    /// Applies changed settings.
    fn apply_settings(&mut self, settings: ReloadableSettings) {
        let ReloadableSettings { profile, burst, stop } = settings;
        self.stop_timeout = stop.timeout;
        let Self { fleet, lifecycle, .. } = self;
        call!([fleet], apply_settings(profile, burst));
        call!([lifecycle], set_stop(stop));
    }
}
