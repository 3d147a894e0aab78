//! The actor that owns the gate and the channels to the attempts that wait for its decision.

use lavenderflow_core::gate::{Gate, GateAction, RateSignal, ServiceOffer, UpstreamSignals};
use lavenderflow_core::upstream::idle::IdleReport;
use lavenderflow_core::upstream::{Announcement, AnnouncementRefusal, Lifetime};
use stakker::{Actor, CX, Fwd, MinTimerKey, call, timer_min};
use tokio::sync::{mpsc, oneshot};

use super::counters::CountersActor;
use crate::message::{AdmissionDecision, AnnouncementReply, GateMessage};
use crate::prelude::*;
use crate::slot::Slot;
use crate::status::{Status, UpstreamStatus, condition_name};
use crate::store::LifetimeStore;

/// Most announcements that are deferred.
const MAX_DEFERRED: usize = 64;
/// Interval at which the gate's timers are advanced while attempts run or wait.
const BUSY_TICK_INTERVAL: Duration = Duration::from_millis(40);
/// The same while there are none.
const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(200);

/// What the actor uses beside its gate.
pub struct GateLinks {
    /// Keeps the ended lifetimes in the store.
    pub lifetimes: LifetimeStore,
    /// Carries the slots that are given back.
    pub mailbox: Mailbox,
}

/// Admits attempts to the upstreams on this VM.
pub struct GateActor {
    gate: Gate,
    counters: Actor<CountersActor>,
    publish: Fwd<Vec<ServiceOffer>>,
    links: GateLinks,
    // Announcements that await the lifetimes that had ended before the node started.
    deferred: Vec<(Announcement, oneshot::Sender<AnnouncementReply>)>,
    waiting: IndexMap<AttemptId, oneshot::Sender<AdmissionDecision>>,
    // Senders to the owners of the granted slots.
    running: IndexMap<AttemptId, mpsc::Sender<()>>,
    // Running attempts whose slot had no owner at the last tick, and how many had none at two.
    ownerless: IndexSet<AttemptId>,
    orphans: usize,
    published_offers: Vec<ServiceOffer>,
    tick_timer: MinTimerKey,
}

impl GateActor {
    /// Starts the actor; `publish` receives the service offers whenever they change.
    pub fn init(
        cx: CX![],
        gate: Gate,
        counters: Actor<CountersActor>,
        publish: Fwd<Vec<ServiceOffer>>,
        links: GateLinks,
    ) -> Option<Self> {
        let mut actor = Self {
            gate,
            counters,
            publish,
            links,
            deferred: Vec::new(),
            waiting: IndexMap::new(),
            running: IndexMap::new(),
            ownerless: IndexSet::new(),
            orphans: 0,
            published_offers: Vec::new(),
            tick_timer: MinTimerKey::default(),
        };
        actor.schedule_tick(cx);
        Some(actor)
    }

    /// Handles a message.
    pub fn handle(&mut self, cx: CX![], message: GateMessage) {
        let actions = match message {
            GateMessage::Submit(request, _, reply) if self.gate.holds(request.attempt) => {
                // The attempt under this id keeps its own channel.
                self.count(Counter::GateRefused(Reason::Duplicate));
                let load = self.gate.load(&request.service);
                let _ = reply.send(AdmissionDecision::Refuse(Reason::Duplicate, load));
                return;
            }
            GateMessage::Submit(request, level, reply) => {
                self.gate.record_level(request.attempt.node, &request.service, level);
                self.waiting.insert(request.attempt, reply);
                let actions = self.gate.submit(request);
                self.schedule_tick(cx);
                actions
            }
            GateMessage::ResponseStarted(attempt, signals) => {
                self.gate.response_started(attempt);
                self.observe_signals(attempt, signals)
            }
            GateMessage::Signals(attempt, signals) => self.observe_signals(attempt, signals),
            GateMessage::Finish(attempt, result, reply) => {
                self.running.swap_remove(&attempt);
                let (load, actions) = self.gate.finish(attempt, result);
                let _ = reply.send(load);
                actions
            }
            GateMessage::Cancel(attempt) => self.cancel(attempt),
            GateMessage::Announce(announcement, reply) => {
                self.announce(announcement, reply);
                return;
            }
            GateMessage::RestoreLifetimes(ended) => {
                let actions = self.gate.restore_lifetimes(ended);
                self.execute(actions);
                for (announcement, reply) in std::mem::take(&mut self.deferred) {
                    self.announce(announcement, reply);
                }
                return;
            }
        };
        self.execute(actions);
    }

    /// Sets the profile of a service.
    pub fn set_profile(&mut self, _: CX![], service: ServiceName, profile: Profile) {
        self.gate.set_profile(&service, profile);
    }

    /// Prepares for the stop of the node: runs have to end by `last_answer`.
    pub fn prepare_stop(&mut self, _: CX![], last_answer: Instant) {
        let actions = self.gate.prepare_stop(last_answer);
        self.execute(actions);
    }

    /// Refuses new attempts from now on.
    pub fn drain(&mut self, _: CX![]) {
        let actions = self.gate.drain();
        self.execute(actions);
    }

    /// Replies with the number of running attempts.
    pub fn report_running(&mut self, _: CX![], reply: Fwd<usize>) {
        reply.fwd(self.gate.in_flight());
    }

    /// Adds the gate's part to a status and passes it on to the counters.
    pub fn status(
        &mut self,
        _: CX![],
        mut status: Status,
        counters: Actor<CountersActor>,
        reply: oneshot::Sender<Status>,
    ) {
        status.running = self.gate.in_flight();
        status.orphaned = self.orphans;
        status.upstreams = self.upstreams();
        call!([counters], status(status, reply));
    }

    /// Ends an attempt whose claim or slot was dropped. It does nothing while there is an owner:
    /// the message then comes from a duplicate of the attempt.
    fn cancel(&mut self, attempt: AttemptId) -> Vec<GateAction> {
        let is_awaited = self.waiting.get(&attempt).is_some_and(|reply| !reply.is_closed());
        let is_owned = self.running.get(&attempt).is_some_and(|owner| !owner.is_closed());
        if is_awaited || is_owned {
            return Vec::new();
        }
        self.waiting.swap_remove(&attempt);
        self.running.swap_remove(&attempt);
        self.gate.cancel(attempt)
    }

    /// Finds running attempts without an owner. The release of a slot may still be in the mailbox
    /// at one tick, but not at the next.
    fn find_orphans(&mut self) {
        let is_owned =
            |attempt: &AttemptId| self.running.get(attempt).is_some_and(|o| !o.is_closed());
        let ownerless: IndexSet<AttemptId> =
            self.gate.running().filter(|attempt| !is_owned(attempt)).collect();
        let orphans = ownerless.intersection(&self.ownerless).count();
        if orphans != self.orphans {
            log::warn!("event=orphaned attempts={orphans}");
            self.orphans = orphans;
            let counters = &self.counters;
            call!([counters], set_orphaned(orphans));
        }
        self.ownerless = ownerless;
    }

    fn announce(&mut self, announcement: Announcement, reply: oneshot::Sender<AnnouncementReply>) {
        if reply.is_closed() {
            // Nobody awaits the acknowledgement, so the upstream repeats it.
            return;
        }
        let applied = match self.gate.announce(&announcement) {
            Ok(actions) => {
                self.execute(actions);
                let (stored, is_stored) = oneshot::channel();
                if announcement.is_leaving() {
                    self.links.lifetimes.confirm(stored);
                } else {
                    // Nothing has to last. The send fails if the upstream has disconnected.
                    let _ = stored.send(());
                }
                Ok(is_stored)
            }
            Err(AnnouncementRefusal::Recovering) if self.deferred.len() < MAX_DEFERRED => {
                self.deferred.push((announcement, reply));
                return;
            }
            Err(refusal) => {
                let Announcement { id, generation, sequence, .. } = announcement;
                log::info!(
                    "event=announcement-refused upstream={id} generation={generation} \
                     sequence={sequence} reason={refusal}"
                );
                Err(refusal)
            }
        };
        // The send fails if the upstream has disconnected.
        let _ = reply.send(applied);
    }

    fn observe_signals(&mut self, attempt: AttemptId, signals: UpstreamSignals) -> Vec<GateAction> {
        if signals.rate == RateSignal::Unreadable {
            let AttemptId { node, serial, .. } = attempt;
            log::warn!("event=rate-limit-rejected entry={node:x} attempt={serial:x}");
        }
        self.gate.observe_signals(attempt, signals)
    }

    fn tick(&mut self, cx: CX![]) {
        let actions = self.gate.tick();
        self.execute(actions);
        self.find_orphans();
        self.schedule_tick(cx);
    }

    /// Schedules the next tick, unless an earlier one is already scheduled.
    fn schedule_tick(&mut self, cx: CX![]) {
        let interval = if self.gate.is_idle() { IDLE_TICK_INTERVAL } else { BUSY_TICK_INTERVAL };
        let at = cx.now() + interval;
        timer_min!(&mut self.tick_timer, at, [cx], tick());
    }

    fn execute(&mut self, actions: Vec<GateAction>) {
        for action in actions {
            match action {
                GateAction::Start { attempt, upstream, address, deadline, load } => {
                    let (slot, owner) = Slot::new(attempt, self.links.mailbox.clone());
                    self.running.insert(attempt, owner);
                    let start =
                        AdmissionDecision::Start { upstream, address, deadline, load, slot };
                    self.send_decision(attempt, start);
                }
                GateAction::Refuse { attempt, reason, load } => {
                    self.count(Counter::GateRefused(reason));
                    self.send_decision(attempt, AdmissionDecision::Refuse(reason, load));
                }
                GateAction::Abandon { attempt } => {
                    self.count(Counter::GateRefused(Reason::Stuck));
                    // The send fails if the run has just ended; its response is then on the way.
                    let _ = self.running.get(&attempt).map(|owner| owner.try_send(()));
                }
                GateAction::Publish => self.publish(),
                GateAction::StoreLifetimes(ended) => self.links.lifetimes.write(ended),
                GateAction::ReportEarlierStart { upstream, announced } => {
                    let Lifetime { generation, sequence } = announced;
                    log::warn!(
                        "event=lifetime-with-earlier-start upstream={upstream} \
                         generation={generation} sequence={sequence}"
                    );
                }
                GateAction::ReportOutdated { upstream, announced } => {
                    let Lifetime { generation, sequence } = announced;
                    log::info!(
                        "event=announcement-outdated upstream={upstream} \
                         generation={generation} sequence={sequence}"
                    );
                }
                GateAction::ReportRateLimit { upstream, rate } => {
                    log::info!("event=rate-limit upstream={upstream} per_second={rate:?}");
                }
                GateAction::ReportLeaving { upstream } => {
                    log::info!("event=upstream-leaving upstream={upstream}");
                }
                GateAction::ReportIdle(report) => self.log_idle(&report),
                GateAction::ReportGray { upstream, likely_gray, probability } => {
                    log::info!(
                        "event=gray-failure upstream={upstream} likely={likely_gray} \
                         probability={probability:.3}"
                    );
                }
            }
        }
    }

    fn log_idle(&self, report: &IdleReport) {
        self.count(Counter::Idle);
        let refused = report.refused.iter().map(|(reason, offers)| {
            format!("{}:{}/{}", reason.name(), offers.count, offers.degraded)
        });
        let refused: Vec<String> = refused.collect();
        log::info!(
            "event=upstream-idle upstream={} state={} doubt={:.3} busy={} slots={} idle_ms={} \
             refused={}",
            report.upstream,
            report.state,
            report.probability,
            report.busy,
            report.slots,
            report.idle.as_millis(),
            if refused.is_empty() { "none".to_owned() } else { refused.join(",") }
        );
    }

    fn send_decision(&mut self, attempt: AttemptId, decision: AdmissionDecision) {
        // If nobody waits for the decision any more, its slot gives itself back.
        if let Some(reply) = self.waiting.swap_remove(&attempt) {
            let _ = reply.send(decision);
        }
    }

    fn publish(&mut self) {
        let offers = self.gate.service_offers();
        for new in &offers {
            let old = self.published_offers.iter().find(|old| old.service == new.service);
            let old = old.map_or(Condition::Healthy, |old| old.condition);
            match (old, new.condition) {
                (Condition::Healthy, Condition::Ejected) => self.count(Counter::Ejected),
                (Condition::Trial, Condition::Healthy) => self.count(Counter::Returned),
                _ => {}
            }
            if old != new.condition {
                let (service, condition) = (&new.service, condition_name(new.condition));
                log::info!(
                    "event=condition service={service} condition={condition} evidence={:.1}",
                    new.evidence
                );
            }
        }
        self.published_offers.clone_from(&offers);
        self.publish.fwd(offers);
    }

    fn count(&self, counter: Counter) {
        let counters = &self.counters;
        call!([counters], add(counter));
    }

    fn upstreams(&self) -> Vec<UpstreamStatus> {
        let upstreams = self.gate.upstreams().map(|(id, upstream)| {
            let common = upstream.common();
            UpstreamStatus {
                id: id.to_string(),
                service: common.service.to_string(),
                state: upstream.state().to_owned(),
                condition: condition_name(common.outlier.condition()).to_owned(),
                evidence: common.outlier.evidence(),
                busy: common.short_running + common.long_running,
                slots: common.slots,
                pace_us: u64::try_from(common.outlier.mean_latency().as_micros())
                    .unwrap_or(u64::MAX),
            }
        });
        upstreams.collect()
    }
}
