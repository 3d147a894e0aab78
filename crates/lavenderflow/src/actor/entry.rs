//! The actor that owns the entry and the channels to the requests in flight.

use lavenderflow_core::budget::RetryAllowance;
use lavenderflow_core::entry::Entry;
use lavenderflow_core::organisation::{Directory, Organisation};
use lavenderflow_core::pool::GateView;
use lavenderflow_core::request::EntryAction;
use lavenderflow_core::roster::Member;
use lavenderflow_core::route::{Route, Router};
use stakker::{Actor, CX, Fwd, after, call};
use tokio::sync::{mpsc, oneshot};

use super::allowance::AllowanceActor;
use super::counters::CountersActor;
use super::gate::GateActor;
use crate::message::EntryMessage;
use crate::prelude::*;
use crate::status::{GateStatus, ServiceStatus, Status, condition_name};

/// Interval at which the entry's timers are advanced.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Routes requests to gates and retries them.
pub struct EntryActor {
    entry: Entry,
    counters: Actor<CountersActor>,
    allowance: Option<Actor<AllowanceActor>>,
    requests: IndexMap<RequestId, mpsc::Sender<EntryAction>>,
}

impl EntryActor {
    /// Starts the actor.
    pub fn init(cx: CX![], entry: Entry, counters: Actor<CountersActor>) -> Option<Self> {
        after!(TICK_INTERVAL, [cx], tick());
        Some(Self { entry, counters, allowance: None, requests: IndexMap::new() })
    }

    /// Handles a message.
    pub fn handle(&mut self, _: CX![], message: EntryMessage) {
        let actions = match message {
            EntryMessage::Begin(arrival, sender) => {
                self.requests.insert(arrival.request, sender);
                self.entry.begin(arrival)
            }
            EntryMessage::Report(request, report) => self.entry.report(request, report),
            EntryMessage::IssueTicket(reply) => {
                let _ = reply.send(self.entry.issue_ticket());
                return;
            }
        };
        for action in actions {
            self.execute(action);
        }
    }

    /// Sets the allowance actor, which starts after this one.
    pub fn set_allowance(&mut self, _: CX![], allowance: Actor<AllowanceActor>) {
        self.allowance = Some(allowance);
    }

    /// Adds or updates a node.
    pub fn set_node(&mut self, _: CX![], member: Member, expelled: bool) {
        self.entry.set_node(&member, expelled);
        if let Some(allowance) = &self.allowance {
            call!([allowance], set_node(member, expelled));
        }
    }

    /// Sets whether this node is probably cut off from most others.
    pub fn set_isolated(&mut self, _: CX![], is_isolated: bool) {
        if let Some(allowance) = &self.allowance {
            call!([allowance], set_isolated(is_isolated));
        }
    }

    /// Removes a node.
    pub fn remove_node(&mut self, _: CX![], node: NodeId) {
        self.entry.remove_node(node);
        if let Some(allowance) = &self.allowance {
            call!([allowance], remove_node(node));
        }
    }

    /// Adds a route, or replaces an older one.
    pub fn set_route(&mut self, _: CX![], route: Route, replaced: Option<Route>) {
        self.entry.set_route(route, replaced.as_ref());
    }

    /// Replaces all routes.
    pub fn set_router(&mut self, _: CX![], router: Router) {
        self.entry.set_router(router);
    }

    /// Sets how many retries each service may make beyond its share of the requests.
    pub fn set_retry_allowance(&mut self, _: CX![], allowance: RetryAllowance) {
        self.entry.set_allowance(allowance);
    }

    /// Sets the profile of a service.
    pub fn set_profile(&mut self, _: CX![], service: ServiceName, profile: Profile) {
        self.entry.set_profile(&service, profile);
    }

    /// Replaces all organisations.
    pub fn set_directory(&mut self, _: CX![], directory: Directory) {
        if let Some(allowance) = &self.allowance {
            let directory = directory.clone();
            call!([allowance], set_directory(directory));
        }
        self.entry.set_directory(directory);
    }

    /// Adds or replaces an organisation.
    pub fn set_organisation(&mut self, _: CX![], organisation: Organisation) {
        if let Some(allowance) = &self.allowance {
            let organisation = organisation.clone();
            call!([allowance], set_organisation(organisation));
        }
        self.entry.set_organisation(organisation);
    }

    /// Sets the time by which new requests must have their answers.
    pub fn limit_deadlines(&mut self, _: CX![], last: Instant) {
        self.entry.limit_deadlines(last);
    }

    /// Refuses new requests from now on.
    pub fn drain(&mut self, _: CX![]) {
        self.entry.drain();
    }

    /// Replies with the number of requests in flight.
    pub fn report_requests(&mut self, _: CX![], reply: Fwd<usize>) {
        reply.fwd(self.entry.in_flight());
    }

    /// Adds the entry's part to a status and passes it on to the gate.
    pub fn status(
        &mut self,
        _: CX![],
        mut status: Status,
        gate: Actor<GateActor>,
        reply: oneshot::Sender<Status>,
    ) {
        self.entry.refresh_pools();
        status.requests = self.entry.in_flight();
        status.tickets = self.entry.ledger().len();
        status.services = self.services();
        if let Some(allowance) = &self.allowance {
            call!([allowance], status(status, gate, reply));
        }
    }

    fn tick(&mut self, cx: CX![]) {
        after!(TICK_INTERVAL, [cx], tick());
        self.entry.tick();
        self.requests.retain(|_, sender| !sender.is_closed());
    }

    fn execute(&mut self, action: EntryAction) {
        if let EntryAction::Draw { request, organisation } = action {
            if let Some(allowance) = &self.allowance {
                call!([allowance], request(request, organisation));
            }
            return;
        }
        let (request, is_last) = match &action {
            EntryAction::Dispatch { request, retry_reason, .. } => {
                if let Some(reason) = retry_reason {
                    self.count_retry(*reason);
                }
                (*request, false)
            }
            EntryAction::RecordHedge(event) => {
                let counters = &self.counters;
                call!([counters], add(Counter::Hedge(*event)));
                return;
            }
            EntryAction::Forward { request, .. }
            | EntryAction::Draw { request, .. }
            | EntryAction::Hedge { request, .. }
            | EntryAction::KeepWaiting { request, .. }
            | EntryAction::Await { request }
            | EntryAction::Pause { request, .. }
            | EntryAction::Wait { request, .. } => (*request, false),
            EntryAction::Relay { request, .. } | EntryAction::Conclude { request, .. } => {
                (*request, true)
            }
        };
        let Some(sender) = self.requests.get(&request) else { return };
        // The channel has room for all actions that a request can be sent before it reads the
        // next one, so sending fails only when the request no longer waits.
        if sender.try_send(action).is_err() {
            log::debug!("event=action-unwanted request={request:x}");
        }
        if is_last {
            self.requests.swap_remove(&request);
        }
    }

    fn count_retry(&self, reason: Reason) {
        let counters = &self.counters;
        call!([counters], add(Counter::Retried(reason)));
    }

    fn services(&self) -> Vec<ServiceStatus> {
        let pools = self.entry.selector().pools();
        pools
            .map(|(service, pool)| {
                let profile = self.entry.profile(service);
                let gates = pool.gates().map(|(gate, chosen)| self.gate_status(gate, chosen));
                ServiceStatus {
                    name: service.to_string(),
                    profile: profile.name.to_string(),
                    floor_percent: (profile.caution.floor * 100.0).round() as u32,
                    gates: gates.collect(),
                }
            })
            .collect()
    }

    fn gate_status(&self, gate: &GateView, chosen: bool) -> GateStatus {
        let (path, path_evidence) = self.entry.selector().path(gate.node);
        let mut causes = Vec::new();
        if gate.expelled {
            causes.push("no observer can reach it".to_owned());
        }
        if path != Condition::Healthy {
            causes.push(format!("path {} evidence {path_evidence:.1}", condition_name(path)));
        }
        let condition = gate.load.condition;
        if condition != Condition::Healthy {
            let name = condition_name(condition);
            causes.push(format!("upstreams {name} evidence {:.1}", gate.load.evidence));
        }
        if causes.is_empty() && !chosen {
            causes.push(format!("slow: {} ms", gate.load.mean_latency.as_millis()));
        }
        GateStatus {
            node: format!("{:x}", gate.node),
            slots: gate.slots,
            chosen,
            suspicion: causes.join("; "),
        }
    }
}
