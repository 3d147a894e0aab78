//! The entry: takes callers' requests, dispatches them to gates and decides on their outcomes.

mod allowance;
mod attempts;
mod claim;
mod conclusion;
mod dispatch;
mod hedging;
mod report;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use self::attempts::Attempts;
use self::dispatch::{AttemptLimits, DispatchStage};
use self::hedging::RequestHedge;
use crate::budget::{RetryAllowance, RetryBudget};
use crate::fleet_level::FleetLevel;
use crate::hedge::HedgePolicy;
use crate::id::work_kind;
use crate::ledger::{Claim, Ledger};
use crate::organisation::{Directory, Organisation, UnknownKeyError};
use crate::prelude::*;
use crate::request::{Arrival, EntryAction};
use crate::response_size::ResponseSizes;
use crate::roster::Member;
use crate::route::{Route, Router};
use crate::selector::GateSelector;
use crate::service_level::ServiceLevel;

/// A request in flight.
#[derive(Debug)]
struct ActiveRequest {
    arrival: Arrival,
    service: ServiceName,
    profile: Profile,
    idempotent: bool,
    long: bool,
    ticket: Option<TicketId>,
    deadline: Instant,
    attempts: Attempts,
    streaming: bool,
    tried: Vec<NodeId>,
    // Gates that the request was sent to after the stage `FreeSlot`.
    queued: Vec<NodeId>,
    stage: DispatchStage,
    // Whether a gate refused the request in this search because its upstreams may be gray.
    refused_as_gray: bool,
    // Searches for a gate that have ended without one.
    searches: u32,

    limits: AttemptLimits,
    // Whether the upstream's response is a failure.
    upstream_failed: bool,
    rank: u32,
    organisation_rank: u32,
    // Time in which the queue of the last gate drains; zero if that is not known.
    drain_time: Duration,
    target_latency: Option<Duration>,
    kind: Option<WorkKind>,
    large_response: bool,
    hedge: RequestHedge,
}

impl ActiveRequest {
    /// Returns whether a gate has got a body that can be sent only once.
    fn is_body_sent(&self) -> bool {
        !self.arrival.body_buffered && self.attempts.received() > 0
    }
}

/// Identity of an entry's node.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The node.
    pub node: NodeId,
    /// The incarnation of the node.
    pub incarnation: Incarnation,
    /// The zone.
    pub zone: ZoneName,
}

/// Limits of what is kept of tickets.
#[derive(Clone, Copy, Debug)]
pub struct TicketLimits {
    /// How long tickets are kept.
    pub retention: Duration,
    /// Most bytes of stored responses.
    pub answer_bytes: usize,
}

/// Dispatches requests and decides on their outcomes.
#[derive(Debug)]
pub struct Entry {
    clock: SharedClock,
    rng: Pcg64Mcg,
    identity: Identity,
    selector: GateSelector,
    ledger: Ledger,
    router: Router,
    profiles: IndexMap<ServiceName, Profile>,
    directory: Directory,
    budgets: IndexMap<ServiceName, RetryBudget>,
    allowance: Option<RetryAllowance>,
    service_levels: IndexMap<ServiceName, ServiceLevel>,
    fleet_levels: IndexMap<ServiceName, FleetLevel>,
    response_sizes: ResponseSizes,
    hedges: IndexMap<ServiceName, HedgePolicy>,
    organisation_requests: IndexMap<OrganisationName, u32>,
    active_requests: IndexMap<RequestId, ActiveRequest>,
    waiting: IndexMap<RequestId, TicketId>,
    // Requests that need a token of their organisation, with the tickets that they came with.
    drawing: IndexMap<RequestId, (ActiveRequest, Option<TicketId>)>,
    forwarded: IndexSet<RequestId>,
    incarnations: IndexMap<NodeId, Incarnation>,
    next_attempt: Serial,
    draining: bool,
    // Latest deadline of new requests while the node stops.
    last_deadline: Option<Instant>,
    unconfigured: bool,
}

impl Entry {
    /// Creates an entry without routes and gates; `seed` seeds its random generator.
    pub fn new(identity: Identity, limits: TicketLimits, clock: SharedClock, seed: u64) -> Self {
        Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
            selector: GateSelector::new(identity.node, identity.zone.clone()),
            ledger: Ledger::new(
                identity.node,
                identity.incarnation,
                limits.retention,
                limits.answer_bytes,
            ),
            clock,
            identity,
            router: Router::default(),
            profiles: IndexMap::new(),
            directory: Directory::default(),
            budgets: IndexMap::new(),
            allowance: None,
            service_levels: IndexMap::new(),
            fleet_levels: IndexMap::new(),
            response_sizes: ResponseSizes::default(),
            hedges: IndexMap::new(),
            organisation_requests: IndexMap::new(),
            active_requests: IndexMap::new(),
            waiting: IndexMap::new(),
            drawing: IndexMap::new(),
            forwarded: IndexSet::new(),
            incarnations: IndexMap::new(),
            next_attempt: 1,
            draining: false,
            last_deadline: None,
            unconfigured: false,
        }
    }

    /// Refuses requests until routes are set, instead of finding no route for them.
    pub fn await_routes(&mut self) {
        self.unconfigured = true;
    }

    /// Sets the routes.
    pub fn set_router(&mut self, router: Router) {
        self.router = router;
        self.unconfigured = false;
    }

    /// Sets the organisations.
    pub fn set_directory(&mut self, directory: Directory) {
        self.directory = directory;
    }

    /// Sets the retries that each service may make in addition to the profile's share.
    pub fn set_allowance(&mut self, allowance: RetryAllowance) {
        self.allowance = Some(allowance);
        for budget in self.budgets.values_mut() {
            budget.set_allowance(allowance);
        }
    }

    /// Adds a route, which replaces an older one if there is one.
    pub fn set_route(&mut self, route: Route, replaced: Option<&Route>) {
        if let Some(old) = replaced {
            self.router.remove(old);
        }
        self.router.insert(route);
    }

    /// Sets the profile of a service.
    pub fn set_profile(&mut self, service: &ServiceName, profile: Profile) {
        self.profiles.insert(service.clone(), profile);
    }

    /// Adds or replaces an organisation.
    pub fn set_organisation(&mut self, organisation: Organisation) {
        self.directory.insert(organisation);
    }

    /// Returns the organisations.
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Records a node and the services that it offers; a leaving node offers none.
    pub fn set_node(&mut self, member: &Member, expelled: bool) {
        self.incarnations.insert(member.node, member.incarnation);
        let offers = if member.leaving { &[] } else { member.offers.as_slice() };
        self.selector.set_node(member.node, &member.zone, offers, expelled);
    }

    /// Removes a node.
    pub fn remove_node(&mut self, node: NodeId) {
        self.incarnations.swap_remove(&node);
        self.selector.remove_node(node);
    }

    /// Issues a ticket, or returns `None` while draining.
    pub fn issue_ticket(&mut self) -> Option<TicketId> {
        let now = self.clock.now();
        (!self.draining).then(|| self.ledger.issue(now))
    }

    /// Sets the time by which all requests must have their answers, because the node stops then.
    pub fn limit_deadlines(&mut self, last: Instant) {
        self.last_deadline = Some(last);
        let drawing = self.drawing.values_mut().map(|(active, _)| active);
        for active in self.active_requests.values_mut().chain(drawing) {
            active.deadline = active.deadline.min(last);
        }
    }

    /// Refuses new requests from now on, except those that have begun to arrive before.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Returns the number of requests in flight, including forwarded and waiting ones.
    pub fn in_flight(&self) -> usize {
        self.active_requests.len() + self.waiting.len() + self.forwarded.len() + self.drawing.len()
    }

    /// Recomputes the eligible gates of all services where that is due.
    pub fn refresh_pools(&mut self) {
        let profiles = &self.profiles;
        let floor = |service: &ServiceName| {
            profiles.get(service).map_or_else(Profile::default, Clone::clone).caution.floor
        };
        self.selector.refresh_pools(self.clock.now(), floor);
    }

    /// Returns the gate selector.
    pub fn selector(&self) -> &GateSelector {
        &self.selector
    }

    /// Returns the ledger of tickets.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns the profile of a service.
    pub fn profile(&self, service: &ServiceName) -> Profile {
        self.profiles.get(service).cloned().unwrap_or_default()
    }

    /// Advances the ejections of paths and expires tickets.
    pub fn tick(&mut self) {
        let now = self.clock.now();
        self.selector.tick(now);
        self.ledger.expire(now);
    }

    /// Decides on a new request.
    pub fn begin(&mut self, mut arrival: Arrival) -> Vec<EntryAction> {
        let route = self.router.find(&arrival.host, &arrival.target).cloned();
        let route = route.as_ref();
        let is_routed = route.is_some();
        let identified = self.identify(&mut arrival, route);
        // Without a route the request does not run, but its ticket must still be revoked.
        let service = route.map_or_else(|| ServiceName::from(""), |route| self.service(route));
        let idempotent = route.is_none_or(|r| r.idempotency.is_idempotent(&arrival.method))
            && (is_routed || arrival.ticket.is_none());
        let route_long = route.is_some_and(|route| route.long);
        let profile = self.profile(&service);
        let declared = arrival.body_length.is_some_and(|length| length > profile.caution.long_body);
        let long = route_long || declared || !arrival.body_buffered;
        let default_timeout = if long { profile.patience.long } else { profile.patience.deadline };
        let max_timeout = route.and_then(|route| route.timeout).unwrap_or(default_timeout);
        let remaining = arrival.timeout.map_or(max_timeout, |timeout| timeout.min(max_timeout));
        let now = self.clock.now();
        let deadline = now + remaining;
        let active = ActiveRequest {
            deadline: self.last_deadline.map_or(deadline, |last| deadline.min(last)),
            ticket: arrival.ticket.filter(|_| !idempotent),
            limits: AttemptLimits::new(route, &profile),
            rank: route.map_or(0, |route| route.rank),
            organisation_rank: identified.unwrap_or_default(),
            target_latency: route.and_then(|route| route.target_latency),
            kind: route
                .filter(|route| route.attempts.is_some())
                .map(|route| work_kind(route.host.as_deref().unwrap_or_default(), &route.prefix)),
            large_response: route.is_some_and(|route| route.large_responses),
            hedge: RequestHedge::new(route),
            arrival,
            service,
            profile,
            idempotent,
            long,
            attempts: Attempts::default(),
            streaming: false,
            tried: Vec::new(),
            queued: Vec::new(),
            stage: DispatchStage::FreeSlot,
            refused_as_gray: false,
            searches: 0,
            upstream_failed: false,
            drain_time: Duration::ZERO,
        };
        let no_route_reason =
            if self.unconfigured { Reason::NotConfigured } else { Reason::NoRoute };
        match active.ticket {
            Some(ticket) if ticket.home != self.identity.node => self.forward(&active, ticket),
            ticket if !is_routed => self.refuse_arrival(&active, ticket, no_route_reason),
            ticket if identified.is_err() => {
                self.refuse_arrival(&active, ticket, Reason::UnknownKey)
            }
            ticket => self.admit(active, ticket),
        }
    }

    /// Sets the organisation that a request belongs to by its key, and returns the priority of the
    /// organisation. Another entry that forwarded the request has checked the key.
    fn identify(
        &self,
        arrival: &mut Arrival,
        route: Option<&Route>,
    ) -> Result<u32, UnknownKeyError> {
        let organisation = if self.directory.needs_keys() && !arrival.forwarded {
            let is_public = route.is_none_or(|route| route.public);
            let identified = self.directory.identify(arrival.key, is_public);
            arrival.organisation = identified.ok().flatten().map(|known| known.name.clone());
            identified?
        } else {
            arrival.organisation.as_ref().and_then(|name| self.directory.get(name))
        };
        Ok(organisation.and_then(|known| known.rank).unwrap_or_default())
    }

    fn service(&mut self, route: &Route) -> ServiceName {
        if route.service_weights.is_empty() {
            return route.service.clone();
        }
        route.pick_service(self.rng.random())
    }

    /// Decides on a request without a ticket, or with a ticket whose home is this entry.
    fn admit(&mut self, active: ActiveRequest, ticket: Option<TicketId>) -> Vec<EntryAction> {
        match self.refusal_reason(&active) {
            Some(reason) => self.refuse_arrival(&active, ticket, reason),
            None => self.draw(active, ticket),
        }
    }

    /// Claims the ticket of an admitted request and dispatches the request.
    fn start(&mut self, mut active: ActiveRequest, ticket: Option<TicketId>) -> Vec<EntryAction> {
        let request = active.arrival.request;
        if !active.idempotent {
            let now = self.clock.now();
            let ticket = ticket.unwrap_or_else(|| self.ledger.issue(now));
            let claim = self.ledger.claim(ticket, active.arrival.fingerprint, request);
            if claim != Claim::Run {
                return self.answer_claim(&active, ticket, claim);
            }
            active.ticket = Some(ticket);
        }
        if let Some(organisation) = &active.arrival.organisation {
            *self.organisation_requests.entry(organisation.clone()).or_default() += 1;
        }
        let share = active.profile.forgiveness.retries;
        self.budget(&active.service).deposit(share);
        self.count_for_hedging(&active);
        self.dispatch(active, None)
    }

    fn budget(&mut self, service: &ServiceName) -> &mut RetryBudget {
        let allowance = self.allowance;
        let new = || allowance.map_or_else(RetryBudget::default, RetryBudget::new);
        self.budgets.entry(service.clone()).or_insert_with(new)
    }
}
