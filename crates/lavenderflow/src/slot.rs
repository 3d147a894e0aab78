//! The ownership of slots: a claim while an attempt waits, and a slot once it is granted.
//!
//! Each of them gives back what it holds when it is dropped, so that no end of a task can leave an
//! attempt behind at the gate.

use lavenderflow_core::gate::RunResult;
use tokio::sync::{mpsc, oneshot};

use crate::message::{AdmissionDecision, GateMessage};
use crate::prelude::*;

/// An attempt that waits for the gate's decision. Dropping it takes the attempt out of the queue.
#[derive(Debug)]
pub struct SlotClaim {
    attempt: AttemptId,
    mailbox: Mailbox,
    decision: oneshot::Receiver<AdmissionDecision>,
    is_decided: bool,
}

impl SlotClaim {
    /// Creates the claim of an attempt whose decision arrives on a channel.
    pub fn new(
        attempt: AttemptId,
        mailbox: Mailbox,
        decision: oneshot::Receiver<AdmissionDecision>,
    ) -> Self {
        Self { attempt, mailbox, decision, is_decided: false }
    }

    /// Waits for the gate's decision; `None` if the gate has ended. Cancelling the wait loses
    /// nothing.
    pub async fn decision(&mut self) -> Option<AdmissionDecision> {
        let decision = (&mut self.decision).await.ok();
        self.is_decided = true;
        decision
    }
}

impl Drop for SlotClaim {
    fn drop(&mut self) {
        if self.is_decided {
            return;
        }
        // The gate ignores a cancellation as long as somebody can receive its decision. A granted
        // slot that is still in the channel gives itself back.
        self.decision.close();
        self.mailbox.send_detached(Message::Gate(GateMessage::Cancel(self.attempt)));
    }
}

/// A granted slot of an upstream. It is given back exactly once: with the result of the run, or as
/// cancelled when it is dropped.
#[derive(Debug)]
pub struct Slot {
    attempt: AttemptId,
    mailbox: Mailbox,
    abandoned: mpsc::Receiver<()>,
    is_released: bool,
}

impl Slot {
    /// Creates the slot of an attempt, and the gate's sender, which tells the owner that the
    /// attempt is stuck, and the gate whether there is an owner.
    pub fn new(attempt: AttemptId, mailbox: Mailbox) -> (Self, mpsc::Sender<()>) {
        let (abandon, abandoned) = mpsc::channel(1);
        (Self { attempt, mailbox, abandoned, is_released: false }, abandon)
    }

    /// Returns the attempt that has the slot.
    pub fn attempt(&self) -> AttemptId {
        self.attempt
    }

    /// Completes when the gate declares the attempt stuck; never once the gate has ended.
    pub async fn abandoned(&mut self) {
        if self.abandoned.recv().await.is_none() {
            std::future::pending::<()>().await;
        }
    }

    /// Gives the slot back with the result of the run; returns the load after it.
    pub async fn finish(mut self, result: RunResult) -> Option<Load> {
        let (reply, load) = oneshot::channel();
        let finished = GateMessage::Finish(self.attempt, result, reply);
        self.mailbox.send(Message::Gate(finished)).await;
        // Only now: a task that is dropped while the mailbox is full has sent nothing.
        self.is_released = true;
        let load = load.await.ok()?;
        log::info!(
            "event=ended entry={:x} attempt={:x} result={result:?} doubt={:.3} busy={}",
            self.attempt.node,
            self.attempt.serial,
            load.gray_probability,
            load.busy
        );
        Some(load)
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if self.is_released {
            return;
        }
        // The gate ignores a cancellation as long as the slot has an owner.
        self.abandoned.close();
        self.mailbox.send_detached(Message::Gate(GateMessage::Cancel(self.attempt)));
    }
}
