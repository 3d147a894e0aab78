//! The HTTP task: serves operators and upstreams at once, and callers once the node is ready.

use std::net::SocketAddr;
use std::sync::Arc;

use lavenderflow_schema::dialect::Dialect;
use tokio::sync::{oneshot, watch};

use super::server::{self, Stopper};
use super::{admin, announcements, callers, metrics, ready};
use crate::error::NodeError;
use crate::prelude::Duration;

/// Addresses of the HTTP task.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators and announcements.
    pub admin: SocketAddr,
    /// For the question whether the node takes new requests.
    pub ready: Option<SocketAddr>,
    /// For announcements in the platform's own form.
    pub announcements: Option<SocketAddr>,
    /// For the metrics page.
    pub metrics: Option<SocketAddr>,
    /// Where the only upstream of this VM serves HTTP; none when there can be several.
    pub upstream: Option<SocketAddr>,
}

/// What the HTTP task is started with.
#[derive(Debug)]
pub struct Setup {
    /// Where to listen.
    pub addresses: Addresses,
    /// What all callers' requests share.
    pub context: callers::Context,
    /// Whether callers are let in before the node is ready, to be told when to come back.
    pub eager: bool,
    /// Comes when the node can serve callers.
    pub ready: oneshot::Receiver<()>,
    /// Whether the node takes new requests.
    pub is_ready: watch::Receiver<bool>,
    /// Comes when the node stops.
    pub stop: oneshot::Receiver<Closing>,
}

/// The end of a stop.
#[derive(Debug)]
pub struct Closing {
    /// Longest time for answers to be written out.
    pub limit: Duration,
    /// Hears when all are, or when the time is over.
    pub done: oneshot::Sender<()>,
}

/// Binds the addresses and serves them until the node stops.
pub async fn run(setup: Setup, bound: oneshot::Sender<Result<(), NodeError>>) {
    let addresses = setup.addresses;
    let others = match start_others(&setup).await {
        Ok(others) => others,
        Err(fault) => {
            // The node hears of it unless it ended meanwhile.
            let _ = bound.send(Err(fault));
            return;
        }
    };
    let _ = bound.send(Ok(()));
    let Setup { context, eager, ready, stop, .. } = setup;
    let callers = addresses.callers;
    let serving = async {
        if !eager && ready.await.is_err() {
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
    // Without an order to close the node has ended already.
    let Ok(Closing { limit, done }) = closing else { return };
    if let Some(callers) = callers {
        callers.stop(limit).await;
    }
    drop(others);
    let _ = done.send(());
}

/// Serves all but callers.
async fn start_others(setup: &Setup) -> Result<Vec<Stopper>, NodeError> {
    let Addresses { callers, admin, ready, announcements, metrics, upstream } = setup.addresses;
    // Callers are refused connections until the node can serve them, so that they go elsewhere;
    // binding their address now only shows whether that will be possible.
    server::bind(callers).await.map(drop)?;
    let net = &setup.context.net;
    let mut others = vec![admin::start(server::bind(admin).await?, net.mailbox.clone())];
    if let Some(address) = ready {
        others.push(ready::start(server::bind(address).await?, setup.is_ready.clone()));
    }
    if let Some(address) = announcements {
        let dialect: Arc<dyn Dialect> = Arc::clone(&net.dialect);
        let context = announcements::Context { mailbox: net.mailbox.clone(), dialect, upstream };
        others.push(announcements::start(server::bind(address).await?, context));
    }
    if let Some(address) = metrics {
        others.push(metrics::start(server::bind(address).await?, net.mailbox.clone()));
    }
    Ok(others)
}
