//! The actor that owns this node's part of the fleet-wide allowances.

use lavenderflow_core::allowance::borrower::{Decision, LimitedOrganisation};
use lavenderflow_core::allowance::clocks::ClockGap;
use lavenderflow_core::allowance::message::{Draw, DrawSerial, Grant, ReplyId};
use lavenderflow_core::allowance::{Allowance, AllowanceAction, AllowanceCounts, Allowances};
use lavenderflow_core::organisation::{Directory, Organisation};
use lavenderflow_core::request::AttemptReport;
use lavenderflow_core::roster::Member;
use stakker::{Actor, CX, after, call};
use tokio::sync::oneshot;

use super::counters::CountersActor;
use super::entry::EntryActor;
use super::gate::GateActor;
use crate::counter::AllowanceEvent;
use crate::message::{AllowanceMessage, EntryMessage};
use crate::net::endpoint::{NetworkCommand, NetworkSender};
use crate::prelude::*;
use crate::status::{LimitStatus, Status};

/// Interval at which counts and refusals are reported while there are any.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which the clocks are compared while there are allowances.
const CLOCK_INTERVAL: Duration = Duration::from_millis(500);

/// What the actor works with.
pub struct AllowanceSetup {
    /// The state of this node.
    pub allowances: Allowances,
    /// The clock, to detect that the machine was suspended.
    pub clock: SharedClock,
    /// Sends draws to other nodes.
    pub network: NetworkSender,
}

/// Decides which requests an allowance admits, and lends tokens to other nodes.
pub struct AllowanceActor {
    allowances: Allowances,
    clock: SharedClock,
    network: NetworkSender,
    entry: Actor<EntryActor>,
    counters: Actor<CountersActor>,
    replies: IndexMap<ReplyId, oneshot::Sender<Grant>>,
    next_reply: ReplyId,
    is_reporting: bool,
    is_checking: bool,
    used_fallback: bool,
}

impl AllowanceActor {
    /// Starts the actor.
    pub fn init(
        _: CX![],
        setup: AllowanceSetup,
        entry: Actor<EntryActor>,
        counters: Actor<CountersActor>,
    ) -> Option<Self> {
        let AllowanceSetup { allowances, clock, network } = setup;
        Some(Self {
            allowances,
            clock,
            network,
            entry,
            counters,
            replies: IndexMap::new(),
            next_reply: 1,
            is_reporting: false,
            is_checking: false,
            used_fallback: false,
        })
    }

    /// Handles a message from the network task.
    pub fn handle(&mut self, cx: CX![], message: AllowanceMessage) {
        let now = self.compare_clocks(cx);
        let actions = match message {
            AllowanceMessage::Draw(draw, sender) => {
                let reply = self.next_reply;
                self.next_reply += 1;
                self.replies.insert(reply, sender);
                self.allowances.draw(reply, draw, now)
            }
            AllowanceMessage::Granted(grant) => self.allowances.granted(grant, now),
            AllowanceMessage::Failed(serial) => self.allowances.failed(serial, now),
        };
        self.execute(cx, actions);
    }

    /// Decides on a request of the entry.
    pub fn request(&mut self, cx: CX![], request: RequestId, organisation: OrganisationName) {
        let now = self.compare_clocks(cx);
        let actions = self.allowances.request(request, &organisation, now);
        self.execute(cx, actions);
    }

    /// Adds or updates a node.
    pub fn set_node(&mut self, cx: CX![], member: Member, expelled: bool) {
        if self.allowances.set_node(&member, expelled, cx.now()) {
            self.log_roles();
        }
    }

    /// Sets whether this node is probably cut off from most others.
    pub fn set_isolated(&mut self, cx: CX![], is_isolated: bool) {
        self.allowances.set_isolated(is_isolated, cx.now());
    }

    /// Removes a node.
    pub fn remove_node(&mut self, cx: CX![], node: NodeId) {
        if self.allowances.remove_node(node, cx.now()) {
            self.log_roles();
        }
    }

    /// Replaces the allowances of all organisations.
    pub fn set_directory(&mut self, cx: CX![], directory: Directory) {
        let limits = directory.iter().filter_map(|o| Some((o.name.clone(), o.allowance?)));
        let limits: Vec<(OrganisationName, Allowance)> = limits.collect();
        let actions = self.allowances.set_allowances(limits, cx.now());
        self.start_clock_checks(cx);
        self.execute(cx, actions);
    }

    /// Sets the allowance of one organisation.
    pub fn set_organisation(&mut self, cx: CX![], organisation: Organisation) {
        let Organisation { name, allowance, .. } = organisation;
        let actions = self.allowances.set_allowance(&name, allowance, cx.now());
        self.start_clock_checks(cx);
        self.execute(cx, actions);
    }

    /// Adds the organisations at their limit to a status and passes it on to the gate.
    pub fn status(
        &mut self,
        cx: CX![],
        mut status: Status,
        gate: Actor<GateActor>,
        reply: oneshot::Sender<Status>,
    ) {
        let limited = self.allowances.limited(cx.now()).map(|limit| LimitStatus {
            organisation: limit.organisation.to_string(),
            retry_ms: u64::try_from(limit.retry_after.as_millis()).unwrap_or(u64::MAX),
            fallback: limit.is_fallback,
        });
        status.limited = limited.collect();
        let counters = self.counters.clone();
        call!([gate], status(status, counters, reply));
    }

    fn compare_clocks(&mut self, cx: CX![]) -> Instant {
        let now = cx.now();
        let gap = self.allowances.compare_clocks(now, self.clock.system_time());
        if gap != ClockGap::None {
            log::warn!("event=suspended gap={gap:?}");
        }
        now
    }

    /// Observes the clocks from now on if there is an allowance.
    fn start_clock_checks(&mut self, cx: CX![]) {
        if self.allowances.has_limits() && !self.is_checking {
            self.is_checking = true;
            self.check_clocks(cx);
        }
    }

    fn check_clocks(&mut self, cx: CX![]) {
        self.compare_clocks(cx);
        self.is_checking = self.allowances.has_limits();
        if self.is_checking {
            after!(CLOCK_INTERVAL, [cx], check_clocks());
        }
    }

    fn execute(&mut self, cx: CX![], actions: Vec<AllowanceAction>) {
        if !actions.is_empty() && !self.is_reporting {
            self.is_reporting = true;
            after!(REPORT_INTERVAL, [cx], report());
        }
        for action in actions {
            match action {
                AllowanceAction::Send(node, draw) => self.send(cx, node, draw),
                AllowanceAction::Reply(reply, grant) => {
                    // The send fails if the other node no longer waits.
                    if let Some(sender) = self.replies.swap_remove(&reply) {
                        let _ = sender.send(grant);
                    }
                }
                AllowanceAction::Decide(request, decision) => {
                    let report = match decision {
                        Decision::Allowed => AttemptReport::Allowed,
                        Decision::Over(time) => AttemptReport::OverAllowance(time),
                    };
                    let entry = &self.entry;
                    call!([entry], handle(EntryMessage::Report(request, report)));
                }
            }
        }
    }

    fn send(&mut self, cx: CX![], node: NodeId, draw: Draw) {
        let serial = draw.serial;
        if let Err(fault) = self.network.try_send(NetworkCommand::Draw(node, draw)) {
            log::warn!("event=network-behind fault={fault:?}");
            call!([cx], fail(serial));
        }
    }

    fn fail(&mut self, cx: CX![], serial: DrawSerial) {
        let actions = self.allowances.failed(serial, cx.now());
        self.execute(cx, actions);
    }

    /// Reports what happened since the last report, and stops when there was nothing.
    fn report(&mut self, cx: CX![]) {
        let now = cx.now();
        let limited: Vec<LimitedOrganisation> = self.allowances.limited(now).collect();
        let counts = self.allowances.take_counts();
        for limit in limited.iter().filter(|limit| limit.refusals > 0) {
            log::info!(
                "event=over-allowance organisation={} refused={} age_ms={} retry_ms={} fallback={}",
                limit.organisation,
                limit.refusals,
                limit.age.as_millis(),
                limit.retry_after.as_millis(),
                limit.is_fallback
            );
        }
        let uses_fallback = limited.iter().any(|limit| limit.is_fallback);
        if uses_fallback != self.used_fallback {
            self.used_fallback = uses_fallback;
            log::warn!("event=allowance-fallback active={uses_fallback} draws={}", counts.failed);
        }
        self.count(counts);
        self.is_reporting = counts != AllowanceCounts::default() || !limited.is_empty();
        if self.is_reporting {
            after!(REPORT_INTERVAL, [cx], report());
        }
    }

    fn count(&self, counts: AllowanceCounts) {
        let amounts = [
            (AllowanceEvent::Draw, counts.draws),
            (AllowanceEvent::Grant, counts.grants),
            (AllowanceEvent::Failed, counts.failed),
            (AllowanceEvent::Lent, counts.lent),
            (AllowanceEvent::Expired, counts.expired),
            (AllowanceEvent::Fallback, counts.fallbacks),
        ];
        for (event, amount) in amounts.into_iter().filter(|(_, amount)| *amount > 0) {
            let (counters, counter) = (&self.counters, Counter::Allowance(event));
            call!([counters], add_many(counter, amount));
        }
    }

    fn log_roles(&self) {
        let (lenders, roots) = self.allowances.roles();
        if roots > 0 || self.is_reporting {
            let lenders: Vec<String> = lenders.iter().map(|node| format!("{node:x}")).collect();
            log::info!("event=lenders-changed lenders={} roots={roots}", lenders.join(","));
        }
    }
}
