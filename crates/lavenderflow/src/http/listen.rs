//! The HTTP task, which serves operators and upstreams from the start, and callers once the node
//! is ready.

use std::net::SocketAddr;
use std::sync::Arc;

use lavenderflow_schema::dialect::Dialect;
use tokio::sync::{oneshot, watch};

use super::admission::Admission;
use super::server::{self, ServerHandle};
use super::{admin, announcements, callers, metrics, ready};
use crate::error::NodeError;
use crate::prelude::Duration;

/// Addresses that the HTTP task listens on, and that of the upstream.
#[derive(Clone, Copy, Debug)]
pub struct HttpAddresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators and announcements.
    pub admin: SocketAddr,
    /// For the platform's readiness check.
    pub ready: Option<SocketAddr>,
    /// For announcements in the platform's format.
    pub announcements: Option<SocketAddr>,
    /// For the metrics page.
    pub metrics: Option<SocketAddr>,
    /// HTTP address of the only upstream on this VM; `None` if there can be several.
    pub upstream: Option<SocketAddr>,
}

/// What the HTTP task is started with.
#[derive(Debug)]
pub struct HttpSetup {
    /// The addresses.
    pub addresses: HttpAddresses,
    /// What the handlers of callers' requests share.
    pub context: callers::CallerContext,
    /// Whether the node accepts callers before it is ready, to tell them when to retry.
    pub serves_early: bool,
    /// Resolves when the node can serve callers.
    pub ready: oneshot::Receiver<()>,
    /// Whether the node accepts new requests.
    pub is_ready: watch::Receiver<bool>,
    /// Resolves when the node stops.
    pub stop: oneshot::Receiver<CloseRequest>,
}

/// Asks the HTTP task to close, at the end of a stop.
#[derive(Debug)]
pub struct CloseRequest {
    /// Longest time for responses to be written.
    pub timeout: Duration,
    /// Notified when all responses are written, or when the time is over.
    pub done: oneshot::Sender<()>,
}

/// Binds the addresses and serves them until the node stops.
pub async fn run(setup: HttpSetup, bound: oneshot::Sender<Result<(), NodeError>>) {
    let addresses = setup.addresses;
    let others = match start_others(&setup).await {
        Ok(others) => others,
        Err(fault) => {
            // The send fails if the node has ended meanwhile.
            let _ = bound.send(Err(fault));
            return;
        }
    };
    let _ = bound.send(Ok(()));
    let HttpSetup { context, serves_early, ready, stop, .. } = setup;
    let callers = addresses.callers;
    let serving = async {
        if !serves_early && ready.await.is_err() {
            return None;
        }
        match server::bind(callers).await {
            Ok(listener) => {
                log::info!("event=serving node={} callers={callers}", context.name);
                Some(callers::start(listener, context))
            }
            Err(fault) => {
                log::error!("event=not-serving fault={fault}");
                None
            }
        }
    };
    tokio::pin!(serving);
    tokio::pin!(stop);
    let (callers, closing) = tokio::select! {
        callers = &mut serving => (callers, stop.await),
        closing = &mut stop => (None, closing),
    };
    // The sender is dropped only when the node has already ended.
    let Ok(CloseRequest { timeout, done }) = closing else { return };
    if let Some(callers) = callers {
        callers.stop(timeout).await;
    }
    drop(others);
    let _ = done.send(());
}

/// Starts all servers but the one for callers.
async fn start_others(setup: &HttpSetup) -> Result<Vec<ServerHandle>, NodeError> {
    let HttpAddresses { callers, admin, ready, announcements, metrics, upstream } = setup.addresses;
    // Connections are refused until the node can serve them, so that callers try other nodes. The
    // address is bound here only to report early if it cannot be bound.
    server::bind(callers).await.map(drop)?;
    let net = &setup.context.net;
    let admission = || {
        let (clock, mailbox) = (Arc::clone(&net.clock), net.mailbox.clone());
        Admission::of_port(&setup.context.hold_limits, clock, mailbox)
    };
    let mut others = vec![admin::start(server::bind(admin).await?, admission())];
    if let Some(address) = ready {
        others.push(ready::start(
            server::bind(address).await?,
            admission(),
            setup.is_ready.clone(),
        ));
    }
    if let Some(address) = announcements {
        let dialect: Arc<dyn Dialect> = Arc::clone(&net.dialect);
        let context =
            announcements::AnnouncementContext { mailbox: net.mailbox.clone(), dialect, upstream };
        others.push(announcements::start(server::bind(address).await?, admission(), context));
    }
    if let Some(address) = metrics {
        others.push(metrics::start(server::bind(address).await?, admission()));
    }
    Ok(others)
}
