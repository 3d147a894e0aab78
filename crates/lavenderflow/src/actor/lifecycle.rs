//! The actor that owns the node's life cycle and carries out a graceful stop.

use lavenderflow_core::node::{AnyNode, Node};
use stakker::{Actor, CX, StopCause, after, call, fwd_to};
use tokio::sync::{oneshot, watch};

use super::entry::EntryActor;
use super::fleet::FleetActor;
use super::gate::GateActor;
use crate::prelude::*;
use crate::shutdown::{StopSender, StopStage};
use crate::status::Status;
use crate::work::WorkTracker;

/// Interval at which a stopping node checks whether it is idle.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time before the end of a stop by which all requests must have their answers, so that these can
/// still be written.
const ANSWER_MARGIN: Duration = Duration::from_millis(250);
/// Divisor of the stop time that limits that margin.
const ANSWER_MARGIN_DIVISOR: u32 = 10;
/// Share of the notice for which the gate admits requests. What it admits last ends with the notice,
/// as a rule, so that the stop takes no longer.
const ADMISSION_SHARE: f64 = 0.75;

/// The actors that take part in a stop.
#[derive(Clone)]
pub struct DrainActors {
    /// Refuses new requests.
    pub entry: Actor<EntryActor>,
    /// Refuses new attempts.
    pub gate: Actor<GateActor>,
    /// Announces that the node is leaving.
    pub fleet: Actor<FleetActor>,
}

/// What the actor publishes to the tasks that serve requests.
pub struct PublishedStates {
    /// Whether the node accepts new requests.
    pub is_ready: watch::Sender<bool>,
    /// The stage of a graceful stop.
    pub stop_stage: StopSender,
}

/// Durations of the phases of a graceful stop.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StopTimes {
    /// Time for which new requests of callers are still accepted.
    pub notice: Duration,
    /// Time to keep running after the last request.
    pub linger: Duration,
    /// Time after which the node stops even if work is unfinished.
    pub timeout: Duration,
}

/// Owns the life cycle of the node.
pub struct LifecycleActor {
    node: AnyNode,
    actors: DrainActors,
    work: WorkTracker,
    stop: StopTimes,
    states: PublishedStates,
    idle_since: Option<Instant>,
    requests: usize,
    running: usize,
}

impl LifecycleActor {
    /// Starts the actor; a graceful stop waits until `work` is finished.
    pub fn init(
        _: CX![],
        actors: DrainActors,
        work: WorkTracker,
        stop: StopTimes,
        states: PublishedStates,
    ) -> Option<Self> {
        Some(Self {
            node: AnyNode::Starting(Node::new()),
            actors,
            work,
            stop,
            states,
            idle_since: None,
            requests: 0,
            running: 0,
        })
    }

    /// Records that the node serves callers.
    pub fn serve(&mut self, _: CX![], (): ()) {
        self.advance(|node| match node {
            AnyNode::Starting(node) => AnyNode::Serving(node.serve()),
            other => other,
        });
        let is_serving = matches!(self.node, AnyNode::Serving(_));
        if self.states.is_ready.send_replace(is_serving) != is_serving {
            log::info!("event=ready is_ready={is_serving}");
        }
    }

    /// Sets the durations for a graceful stop that has not begun.
    pub fn set_stop(&mut self, _: CX![], stop: StopTimes) {
        self.stop = stop;
    }

    /// Begins a graceful stop, unless one has begun already.
    pub fn drain(&mut self, cx: CX![]) {
        if matches!(self.node, AnyNode::Draining(_)) {
            return;
        }
        log::info!("event=draining");
        let now = cx.now();
        self.advance(|node| match node {
            AnyNode::Starting(node) => AnyNode::Draining(node.serve().drain(now)),
            AnyNode::Serving(node) => AnyNode::Draining(node.drain(now)),
            AnyNode::Draining(node) => AnyNode::Draining(node),
        });
        self.states.is_ready.send_replace(false);
        let margin = ANSWER_MARGIN.min(self.stop.timeout / ANSWER_MARGIN_DIVISOR);
        let last_answer = now + self.stop.timeout - margin;
        self.states.stop_stage.send_replace(StopStage::Noticed { last_answer });
        let DrainActors { entry, gate, .. } = &self.actors;
        call!([entry], limit_deadlines(last_answer));
        call!([gate], prepare_stop(last_answer));
        if self.stop.notice.is_zero() {
            self.leave(cx);
            self.stop_accepting(cx, last_answer);
        } else {
            after!(self.stop.notice.mul_f64(ADMISSION_SHARE), [cx], leave());
            after!(self.stop.notice, [cx], stop_accepting(last_answer));
        }
        after!(self.stop.timeout, [cx], stop_early());
    }

    /// Takes no more work from other nodes.
    fn leave(&mut self, _: CX![]) {
        let DrainActors { gate, fleet, .. } = &self.actors;
        call!([fleet], leave());
        call!([gate], drain());
    }

    /// Refuses new requests from now on and waits until the node is idle.
    fn stop_accepting(&mut self, cx: CX![], last_answer: Instant) {
        self.states.stop_stage.send_replace(StopStage::Refusing { last_answer });
        let entry = &self.actors.entry;
        call!([entry], drain());
        self.query_in_flight(cx);
        after!(IDLE_CHECK_INTERVAL, [cx], check_idle());
    }

    /// Stops the node although work is unfinished.
    fn stop_early(&mut self, cx: CX![]) {
        let (requests, running, unfinished) = (self.requests, self.running, self.work.unfinished());
        log::warn!(
            "event=stopped-early requests={requests} running={running} unfinished={unfinished}"
        );
        cx.shutdown(StopCause::Stopped);
    }

    /// Begins a status with the node's state and passes it on to the fleet actor.
    pub fn status(&mut self, _: CX![], reply: oneshot::Sender<Status>) {
        let state = self.node.state_name();
        let DrainActors { fleet, gate, .. } = &self.actors;
        let gate = gate.clone();
        call!([fleet], status(state, gate, reply));
    }

    fn advance(&mut self, step: impl FnOnce(AnyNode) -> AnyNode) {
        let node = std::mem::replace(&mut self.node, AnyNode::Starting(Node::new()));
        self.node = step(node);
    }

    fn query_in_flight(&mut self, cx: CX![]) {
        let DrainActors { entry, gate, .. } = &self.actors;
        let requests = fwd_to!([cx], set_requests() as (usize));
        call!([entry], report_requests(requests));
        let running = fwd_to!([cx], set_running() as (usize));
        call!([gate], report_running(running));
    }

    fn set_requests(&mut self, _: CX![], requests: usize) {
        self.requests = requests;
    }

    fn set_running(&mut self, _: CX![], running: usize) {
        self.running = running;
    }

    /// Stops the node once nothing has been in flight for the linger time.
    fn check_idle(&mut self, cx: CX![]) {
        let is_idle = self.requests == 0 && self.running == 0 && self.work.unfinished() == 0;
        let idle_since = self.idle_since.filter(|_| is_idle);
        self.idle_since = idle_since.or_else(|| is_idle.then(|| cx.now()));
        if idle_since.is_some_and(|since| cx.now() >= since + self.stop.linger) {
            log::info!("event=stopped");
            cx.shutdown(StopCause::Stopped);
            return;
        }
        self.query_in_flight(cx);
        after!(IDLE_CHECK_INTERVAL, [cx], check_idle());
    }
}
