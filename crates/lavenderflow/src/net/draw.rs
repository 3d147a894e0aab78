//! Draws of tokens and their grants over QUIC streams.

use lavenderflow_core::allowance::message::{Draw, DrawRole, Grant};
use lavenderflow_schema::wire;
use lavenderflow_schema::wire::frame::Body;
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout};

use super::connector::DatagramCount;
use super::context::NetworkContext;
use super::link::{FrameSink, FrameSource, LinkError};
use crate::message::AllowanceMessage;
use crate::prelude::*;

/// Longest wait for a root. The first draw may have to open a connection, whose 8 ms of processor
/// time take 80 ms on a tenth of a core.
const ROOT_TIMEOUT: Duration = Duration::from_millis(120);
/// Longest wait for a root by a node that passes a draw on, whose sender waits for longer.
const FINAL_ROOT_TIMEOUT: Duration = Duration::from_millis(80);
/// Longest wait for a lender, which may try two ways to the root.
const LENDER_TIMEOUT: Duration = Duration::from_millis(300);

/// Sends a draw to a node and reports the grant, or that there was none in time.
pub async fn draw(context: NetworkContext, node: NodeId, draw: Draw) {
    let (serial, role) = (draw.serial, draw.role);
    let limit = match role {
        DrawRole::Lender => LENDER_TIMEOUT,
        DrawRole::Root => ROOT_TIMEOUT,
        DrawRole::FinalRoot => FINAL_ROOT_TIMEOUT,
    };
    let message = match timeout(limit, exchange(&context, node, draw)).await {
        Ok(Ok(grant)) if grant.serial == serial => AllowanceMessage::Granted(grant),
        _ => AllowanceMessage::Failed(serial),
    };
    if matches!(message, AllowanceMessage::Failed(_)) {
        log::info!("event=draw-failed peer={node:x} role={role:?}");
    }
    context.mailbox.send(Message::Allowance(message)).await;
}

async fn exchange(context: &NetworkContext, node: NodeId, draw: Draw) -> Result<Grant, LinkError> {
    let connection = context.connector.connect_node(node).await.map_err(|_| LinkError::Closed)?;
    let mut check = SilenceCheck { context, node, connection: &connection, datagrams: None };
    check.datagrams = Some(DatagramCount::of(&connection));
    let (sink, source) = connection.open_bi().await.map_err(quinn::WriteError::from)?;
    let (mut sink, mut source) = (FrameSink::Quic(sink), FrameSource::from(source));
    sink.send(Body::Draw(draw.into())).await?;
    let grant = match source.receive().await? {
        Some(Body::Grant(grant)) => grant.into(),
        _ => return Err(LinkError::Unexpected),
    };
    check.datagrams = None;
    Ok(grant)
}

/// Replaces a connection that has received nothing when the wait for a grant is given up.
struct SilenceCheck<'a> {
    context: &'a NetworkContext,
    node: NodeId,
    connection: &'a quinn::Connection,
    datagrams: Option<DatagramCount>,
}

impl Drop for SilenceCheck<'_> {
    fn drop(&mut self) {
        let Some(datagrams) = self.datagrams else { return };
        let (connector, node) = (self.context.connector.clone(), self.node);
        let connection = self.connection.clone();
        tokio::spawn(async move {
            connector.replace_if_silent(node, &connection, datagrams).await;
        });
    }
}

/// Responds to the draw of another node.
///
/// # Errors
///
/// The draw is malformed or the link failed.
pub async fn respond(
    context: &NetworkContext,
    draw: wire::Draw,
    sink: FrameSink,
) -> Result<(), LinkError> {
    let draw = Draw::try_from(draw).map_err(|_| LinkError::Unexpected)?;
    let (reply, grant) = oneshot::channel();
    context.mailbox.send(Message::Allowance(AllowanceMessage::Draw(draw, reply))).await;
    let Ok(grant) = grant.await else { return Err(LinkError::Closed) };
    sink.send_last(Body::Grant(grant.into()), Instant::now()).await
}
