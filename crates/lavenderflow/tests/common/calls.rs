//! Calls to upstreams without a node around them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use lavenderflow::clock::SystemClock;
use lavenderflow::net::body::BodyPart;
use lavenderflow::upstream::{self, Call, CallEvent, CallSender};
use lavenderflow::work::WorkTracker;
use lavenderflow_core::memory::Budget;
use lavenderflow_core::reason::Reason;
use lavenderflow_platform::header::PlatformDialect;
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::scripted::TEST_TIMEOUT;

/// The end of a call: the status and the length of its response, or the reason for which the
/// request did not run.
#[derive(Debug, Eq, PartialEq)]
pub enum Ended {
    Response(u16, usize),
    NotRun(Reason),
    Unknown,
}

/// The events of a call.
pub struct Events(mpsc::Receiver<CallEvent>);

impl Events {
    /// Waits for the end of the call.
    pub async fn end(mut self) -> Ended {
        self.wait_end().await
    }

    /// Waits for the end of the call, and keeps the receiver of its events.
    pub async fn wait_end(&mut self) -> Ended {
        let (mut status, mut length) = (0, 0);
        loop {
            match timeout(TEST_TIMEOUT, self.0.recv()).await.expect("in time").expect("an event") {
                CallEvent::Head { status: received, .. } => status = received,
                CallEvent::Signals(_) => {}
                CallEvent::Data(part) => length += part.len(),
                CallEvent::End => return Ended::Response(status, length),
                CallEvent::Failed { not_run, .. } => {
                    return not_run.map_or(Ended::Unknown, Ended::NotRun);
                }
            }
        }
    }
}

/// Makes calls to the upstream at one address.
pub struct Calls {
    sender: CallSender,
    address: SocketAddr,
    /// What a stop would wait for.
    pub work: WorkTracker,
}

impl Calls {
    pub fn start(address: SocketAddr) -> Self {
        let (service, heartbeat_interval) = ("work".to_owned(), Duration::from_secs(1));
        let dialect = PlatformDialect { service, heartbeat_interval };
        let (clock, work) = (Arc::new(SystemClock), WorkTracker::default());
        let sender = upstream::start(clock, Arc::new(dialect), &Budget::new(None), work.clone());
        Self { sender, address, work }
    }

    /// Makes a call without a body and waits for its end.
    pub async fn call(&self, id: &str) -> Ended {
        self.begin(id, None, Some(0)).await.end().await
    }

    /// Begins a call with a body of this length, or in chunks.
    pub async fn begin(
        &self,
        id: &str,
        body_rest: Option<mpsc::Receiver<BodyPart>>,
        body_length: Option<u64>,
    ) -> Events {
        let (events, received) = mpsc::channel(1);
        let call = Call {
            address: self.address,
            upstream: "upstream".into(),
            id: id.to_owned(),
            organisation: None,
            deadline: Instant::now() + TEST_TIMEOUT,
            idempotent: false,
            method: "POST".to_owned(),
            target: "/".to_owned(),
            headers: vec![("lavenderflow-request-id".to_owned(), id.to_owned())],
            body: Bytes::new(),
            body_rest,
            body_length,
            events,
        };
        self.sender.send(call).await.expect("the task that makes calls");
        Events(received)
    }
}
