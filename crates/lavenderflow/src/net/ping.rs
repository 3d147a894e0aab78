//! Gossip exchanges over streams.

use std::net::SocketAddr;

use lavenderflow_core::gossip::{Exchange, PeerCursor};
use lavenderflow_schema::wire::frame::Body;
use quinn::Connection;
use tokio::sync::oneshot;

use super::connector::{Mark, PeerError};
use super::context::Context;
use super::link::{LinkError, Sink, Source};
use crate::message::FleetMessage;
use crate::prelude::*;

/// Pings that may be lost before the next one would be answered late, in intervals.
const TIMEOUT_FACTOR: u32 = 2;

/// Sends an exchange to a node and reports the answer.
pub async fn ping(context: Context, node: NodeId, exchange: Exchange, cursor: PeerCursor) {
    let limit = context.ping * TIMEOUT_FACTOR;
    let end = tokio::time::Instant::now() + limit;
    let answer = match tokio::time::timeout_at(end, context.connector.node(node)).await {
        Ok(Ok(connection)) => {
            let mark = Mark::of(&connection);
            let swapped = tokio::time::timeout_at(end, swap(&connection, &exchange)).await;
            if swapped.is_err() {
                context.connector.check(node, &connection, mark).await;
            }
            swapped.ok().and_then(Result::ok)
        }
        _ => None,
    };
    context.mailbox.send(Message::Fleet(FleetMessage::PingEnded(node, cursor, answer))).await;
}

/// Sends an exchange to an address and reports the answer.
pub async fn greet(context: Context, address: SocketAddr, exchange: Exchange) {
    let opened: Result<Connection, PeerError> = context.connector.address(address).await;
    let answer = match opened {
        Ok(connection) => swap(&connection, &exchange).await.ok(),
        Err(fault) => {
            log::info!("event=seed-unreachable peer={address} fault={fault:?}");
            None
        }
    };
    context.mailbox.send(Message::Fleet(FleetMessage::SeedContacted(address, answer))).await;
}

/// Answers an exchange from another node.
///
/// # Errors
///
/// The exchange is malformed or the link failed.
pub async fn answer(
    context: &Context,
    exchange: lavenderflow_schema::wire::Exchange,
    mut sink: Sink,
) -> Result<(), LinkError> {
    let exchange = Exchange::try_from(exchange).map_err(|_| LinkError::Unexpected)?;
    let (reply, answer) = oneshot::channel();
    context.mailbox.send(Message::Fleet(FleetMessage::Exchange(exchange, reply))).await;
    let Ok(answer) = answer.await else { return Err(LinkError::Closed) };
    sink.send(Body::Exchange((&answer).into())).await?;
    sink.finish().await;
    Ok(())
}

async fn swap(connection: &Connection, exchange: &Exchange) -> Result<Exchange, LinkError> {
    let (sink, source) = connection.open_bi().await.map_err(quinn::WriteError::from)?;
    let (mut sink, mut source) = (Sink::Quic(sink), Source::Quic(source));
    sink.send(Body::Exchange(exchange.into())).await?;
    match source.receive().await? {
        Some(Body::Exchange(answer)) => answer.try_into().map_err(|_| LinkError::Unexpected),
        _ => Err(LinkError::Unexpected),
    }
}
