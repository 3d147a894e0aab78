//! The stages of a graceful stop, as the tasks that serve requests see them.

use std::future;

use tokio::sync::watch;

use crate::prelude::*;

/// A stage of a node's life.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StopStage {
    /// No stop has begun.
    #[default]
    Running,
    /// New requests are still accepted.
    Noticed {
        /// Time by which all requests must have their answers.
        last_answer: Instant,
    },
    /// New requests are refused.
    Refusing {
        /// Time by which all requests must have their answers.
        last_answer: Instant,
    },
}

/// Publishes the stage.
pub type StopSender = watch::Sender<StopStage>;

/// Follows the stages of a graceful stop; clones follow the same one.
#[derive(Clone, Debug)]
pub struct StopWatch(watch::Receiver<StopStage>);

/// Creates the channel that publishes the stages.
///
/// # Examples
///
/// ```
/// use std::time::Instant;
///
/// use lavenderflow::shutdown::{self, StopStage};
///
/// let (stage, stop) = shutdown::channel();
/// assert!(!stop.is_refusing());
/// stage.send_replace(StopStage::Refusing { last_answer: Instant::now() });
/// assert!(stop.is_refusing());
/// ```
pub fn channel() -> (StopSender, StopWatch) {
    let (sender, receiver) = watch::channel(StopStage::default());
    (sender, StopWatch(receiver))
}

impl StopWatch {
    /// Returns the name of the stage that logs use.
    pub fn stage_name(&self) -> &'static str {
        match *self.0.borrow() {
            StopStage::Running => "running",
            StopStage::Noticed { .. } => "noticed",
            StopStage::Refusing { .. } => "refusing",
        }
    }

    /// Returns whether new requests are refused.
    pub fn is_refusing(&self) -> bool {
        matches!(*self.0.borrow(), StopStage::Refusing { .. })
    }

    /// Waits for the time by which all requests must have their answers, which comes only if a stop
    /// begins.
    pub async fn last_answer(&self, clock: &SharedClock) {
        let mut stages = self.0.clone();
        loop {
            let stage = *stages.borrow_and_update();
            if let StopStage::Noticed { last_answer } | StopStage::Refusing { last_answer } = stage
            {
                tokio::time::sleep(last_answer.saturating_duration_since(clock.now())).await;
                return;
            }
            if stages.changed().await.is_err() {
                // The node has ended without a graceful stop.
                return future::pending().await;
            }
        }
    }
}
