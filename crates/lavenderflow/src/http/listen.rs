//! The HTTP task: serves operators at once, and callers once the node is ready.

use std::net::SocketAddr;

use tokio::sync::oneshot;

use super::{admin, callers, server};
use crate::error::NodeError;

/// What the HTTP task is started with.
#[derive(Debug)]
pub struct Setup {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators and announcements.
    pub admin: SocketAddr,
    /// What all callers' requests share.
    pub context: callers::Context,
    /// Comes when the node can serve callers.
    pub ready: oneshot::Receiver<()>,
    /// Comes when the node stops; the sender hears when all answers are written out.
    pub stop: oneshot::Receiver<oneshot::Sender<()>>,
}

/// Binds both addresses and serves them until the node stops.
pub async fn run(setup: Setup, bound: oneshot::Sender<Result<(), NodeError>>) {
    // Callers are refused connections until the node can serve them, so that they go elsewhere;
    // binding their address now only shows whether that will be possible.
    let checked = server::bind(setup.callers).await.map(drop);
    let listener = match (checked, server::bind(setup.admin).await) {
        (Ok(()), Ok(listener)) => listener,
        (Err(fault), _) | (_, Err(fault)) => {
            let _ = bound.send(Err(fault));
            return;
        }
    };
    let _ = bound.send(Ok(()));
    let admin = admin::start(listener, setup.context.net.mailbox.clone());
    let Setup { callers, context, ready, stop, .. } = setup;
    let serving = async {
        if ready.await.is_err() {
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
    let (callers, done) = tokio::select! {
        callers = &mut serving => (callers, stop.await),
        done = &mut stop => (None, done),
    };
    if let Some(callers) = callers {
        callers.stop().await;
    }
    drop(admin);
    if let Ok(done) = done {
        let _ = done.send(());
    }
}
