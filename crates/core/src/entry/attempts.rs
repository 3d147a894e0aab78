//! The attempts of a request, and how far each of them has come.

use crate::prelude::*;
use crate::request::AttemptReport;

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum AttemptState {
    /// Its gate has not decided on it.
    Sent,
    /// It has a slot.
    Admitted,
    /// Its gate may be at work, and has sent nothing yet.
    Silent,
    /// Its gate has given it up as stuck, and its upstream may still respond.
    Stuck,
    /// It provably did not run; an upstream may have received it.
    NotRun {
        /// Whether it had a slot.
        had_slot: bool,
    },
    /// It has ended and may have run.
    Ended {
        /// Whether an upstream may have received it.
        is_received: bool,
    },
}

impl AttemptState {
    /// Returns the state after a report.
    fn after(self, report: &AttemptReport) -> Self {
        match report {
            AttemptReport::Admitted(_) => Self::Admitted,
            AttemptReport::Silent => Self::Silent,
            AttemptReport::Lost(Reason::Stuck) => Self::Stuck,
            AttemptReport::Refused(..) | AttemptReport::Unreachable if !report.may_have_run() => {
                Self::NotRun { had_slot: matches!(self, Self::Admitted | Self::Stuck) }
            }
            AttemptReport::Refused(..) => Self::Ended { is_received: self.is_received() },
            // It was committed, although its gate may not have said that it has a slot.
            AttemptReport::Answered { .. } | AttemptReport::Lost(_) => {
                Self::Ended { is_received: true }
            }
            _ => self,
        }
    }

    fn goes_on(self) -> bool {
        matches!(self, Self::Silent | Self::Stuck)
    }

    /// Returns whether an upstream may have received the request.
    fn is_received(self) -> bool {
        match self {
            Self::Sent => false,
            Self::Admitted | Self::Silent | Self::Stuck => true,
            Self::NotRun { had_slot } => had_slot,
            Self::Ended { is_received } => is_received,
        }
    }
}

/// One attempt.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    id: AttemptId,
    gate: NodeId,
    state: AttemptState,
    // Whether the gate has not reported on it, so that its load does not include it.
    is_unreported: bool,
}

/// The attempts of one request, in the order in which they were sent.
#[derive(Debug, Default)]
pub(super) struct Attempts {
    sent: Vec<Attempt>,
    // The attempt that reports are about unless they say otherwise.
    current: Option<AttemptId>,
}

impl Attempts {
    /// Adds an attempt, which becomes the current one.
    pub(super) fn start(&mut self, id: AttemptId, gate: NodeId) {
        self.start_copy(id, gate);
        self.current = Some(id);
    }

    /// Adds an attempt beside the current one.
    pub(super) fn start_copy(&mut self, id: AttemptId, gate: NodeId) {
        self.sent.push(Attempt { id, gate, state: AttemptState::Sent, is_unreported: true });
    }

    /// Returns the current attempt.
    pub(super) fn current(&self) -> Option<AttemptId> {
        self.current
    }

    /// Returns the gate of the current attempt.
    pub(super) fn gate(&self) -> Option<NodeId> {
        let current = self.current?;
        self.sent.iter().find(|attempt| attempt.id == current).map(|attempt| attempt.gate)
    }

    /// Sets the current attempt.
    pub(super) fn select(&mut self, current: Option<AttemptId>) {
        self.current = current;
    }

    /// Records a report on an attempt.
    pub(super) fn record(&mut self, id: AttemptId, report: &AttemptReport) {
        if let Some(attempt) = self.find(id) {
            attempt.state = attempt.state.after(report);
        }
    }

    /// Returns the gate of an attempt, and whether this is the first report of the gate.
    pub(super) fn take_report(&mut self, id: AttemptId) -> Option<(NodeId, bool)> {
        let attempt = self.find(id)?;
        Some((attempt.gate, std::mem::take(&mut attempt.is_unreported)))
    }

    /// Returns the gates of the attempts that they have not reported on, once for each.
    pub(super) fn take_unreported(&mut self) -> Vec<NodeId> {
        let unreported = self.sent.iter_mut().filter(|attempt| attempt.is_unreported);
        let gates = unreported.map(|attempt| {
            attempt.is_unreported = false;
            attempt.gate
        });
        gates.collect()
    }

    /// Returns whether an attempt may have run, so that the outcome cannot be [`Outcome::NotRun`].
    pub(super) fn may_have_run(&self) -> bool {
        self.sent.iter().any(|attempt| match attempt.state {
            AttemptState::Sent | AttemptState::NotRun { .. } => false,
            AttemptState::Admitted
            | AttemptState::Silent
            | AttemptState::Stuck
            | AttemptState::Ended { .. } => true,
        })
    }

    /// Returns whether there is an attempt that has not been reported as silent or stuck, and whose
    /// end the request waits for.
    pub(super) fn is_running(&self) -> bool {
        let is_running = |state| matches!(state, AttemptState::Sent | AttemptState::Admitted);
        self.sent.iter().any(|attempt| is_running(attempt.state))
    }

    /// Returns whether a silent or stuck attempt goes on.
    pub(super) fn goes_on(&self) -> bool {
        self.sent.iter().any(|attempt| attempt.state.goes_on())
    }

    /// Records that the silent and stuck attempts are cancelled.
    pub(super) fn cancel(&mut self) {
        for attempt in self.sent.iter_mut().filter(|attempt| attempt.state.goes_on()) {
            attempt.state = AttemptState::Ended { is_received: true };
        }
    }

    /// Returns how many attempts an upstream may have received.
    pub(super) fn received(&self) -> u32 {
        let received = self.sent.iter().filter(|attempt| attempt.state.is_received()).count();
        u32::try_from(received).unwrap_or(u32::MAX)
    }

    fn find(&mut self, id: AttemptId) -> Option<&mut Attempt> {
        self.sent.iter_mut().find(|attempt| attempt.id == id)
    }
}
