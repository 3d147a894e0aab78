//! Gossip exchanges over QUIC streams.

use std::net::SocketAddr;

use lavenderflow_core::gossip::{Exchange, PeerCursor};
use lavenderflow_schema::wire::frame::Body;
use quinn::Connection;
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout};

use super::connector::{DatagramCount, PeerError};
use super::context::NetworkContext;
use super::link::{FrameSink, FrameSource, LinkError};
use crate::message::FleetMessage;
use crate::prelude::*;

/// Timeout of a ping, in ping intervals. Until then, no further ping is sent to the same node.
const PING_TIMEOUT_INTERVALS: u32 = 2;

/// Sends an exchange to a node and reports the response.
pub async fn ping(context: NetworkContext, node: NodeId, exchange: Exchange, cursor: PeerCursor) {
    let limit = context.ping_interval * PING_TIMEOUT_INTERVALS;
    let deadline = Instant::now() + limit;
    let reply = match tokio::time::timeout_at(deadline, context.connector.connect_node(node)).await
    {
        Ok(Ok(connection)) => {
            let datagrams = DatagramCount::of(&connection);
            let result =
                tokio::time::timeout_at(deadline, send_exchange(&connection, &exchange)).await;
            if result.is_err() {
                context.connector.replace_if_silent(node, &connection, datagrams).await;
            }
            result.ok().and_then(Result::ok)
        }
        _ => None,
    };
    context.mailbox.send(Message::Fleet(FleetMessage::PingEnded(node, cursor, reply))).await;
}

/// Longest wait for the response of a seed, as for opening a connection to it.
const SEED_TIMEOUT: Duration = Duration::from_secs(5);

/// Sends an exchange to a seed address and reports the response.
pub async fn contact(context: NetworkContext, address: SocketAddr, exchange: Exchange) {
    let result: Result<Connection, PeerError> = context.connector.connect_address(address).await;
    let response = match result {
        Ok(connection) => {
            let exchanged = timeout(SEED_TIMEOUT, send_exchange(&connection, &exchange)).await;
            exchanged.ok().and_then(Result::ok)
        }
        Err(fault) => {
            log::info!("event=seed-unreachable peer={address} fault={fault:?}");
            None
        }
    };
    context.mailbox.send(Message::Fleet(FleetMessage::SeedContacted(address, response))).await;
}

/// Responds to an exchange from another node.
///
/// # Errors
///
/// The exchange is malformed or the link failed.
pub async fn respond(
    context: &NetworkContext,
    exchange: lavenderflow_schema::wire::Exchange,
    sink: FrameSink,
) -> Result<(), LinkError> {
    let exchange = Exchange::try_from(exchange).map_err(|_| LinkError::Unexpected)?;
    let (reply, response) = oneshot::channel();
    context.mailbox.send(Message::Fleet(FleetMessage::Exchange(exchange, reply))).await;
    let Ok(response) = response.await else { return Err(LinkError::Closed) };
    sink.send_last(Body::Exchange((&response).into()), Instant::now()).await
}

async fn send_exchange(
    connection: &Connection,
    exchange: &Exchange,
) -> Result<Exchange, LinkError> {
    let (sink, source) = connection.open_bi().await.map_err(quinn::WriteError::from)?;
    let (mut sink, mut source) = (FrameSink::Quic(sink), FrameSource::from(source));
    sink.send(Body::Exchange(exchange.into())).await?;
    match source.receive().await? {
        Some(Body::Exchange(response)) => response.try_into().map_err(|_| LinkError::Unexpected),
        _ => Err(LinkError::Unexpected),
    }
}
