//! The network task: owns the QUIC endpoint, accepts connections and executes commands.

use std::net::SocketAddr;
use std::sync::Arc;

use lavenderflow_core::allowance::message::Draw;
use lavenderflow_core::gossip::{Exchange, PeerCursor};
use lavenderflow_core::memory::{Budget, HeldKind, Share};
use lavenderflow_core::peer_connections::PeerConnections;
use lavenderflow_schema::dialect::Dialect;
use lavenderflow_schema::wire::frame::Body;
use quinn::{ClientConfig, Connection, ConnectionError, Endpoint, Incoming, ServerConfig, VarInt};
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

use super::connector::Connector;
use super::context::{self, HeadBudgets, LocalLink, NetworkContext};
use super::link::{FrameSink, FrameSource, LinkError};
use super::{draw, ping, serve};
use crate::error::NodeError;
use crate::prelude::*;
use crate::shutdown::StopWatch;
use crate::upstream;
use crate::work::WorkTracker;

/// Commands that the channel to the network task buffers.
const COMMAND_CAPACITY: usize = 4096;

/// Time within which another node must have opened a connection, as on its side.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time within which the first frame of a stream must have arrived: that after which a connection
/// without a packet is lost.
const FIRST_FRAME_TIMEOUT: Duration = Duration::from_secs(6);

/// A command to the network task.
#[derive(Debug)]
pub enum NetworkCommand {
    /// Ping a node with a gossip exchange.
    Ping(NodeId, Exchange, PeerCursor),
    /// Send a draw of tokens to a node.
    Draw(NodeId, Draw),
    /// Send a gossip exchange to a seed address.
    Contact(SocketAddr, Exchange),
    /// Set the address of a node's incarnation.
    SetAddress(NodeId, Incarnation, SocketAddr),
    /// Remove a node and close its connection.
    RemoveNode(NodeId),
    /// Close all connections.
    Close {
        /// Longest time to wait for the peers.
        timeout: Duration,
        /// Notified when all connections are closed or the time is over.
        done: oneshot::Sender<()>,
    },
}

/// Sends commands to the network task.
pub type NetworkSender = mpsc::Sender<NetworkCommand>;

/// Creates the channel to the network task.
pub fn channel() -> (NetworkSender, mpsc::Receiver<NetworkCommand>) {
    mpsc::channel(COMMAND_CAPACITY)
}

/// Parameters of the network task.
#[derive(Debug)]
pub struct NetworkSetup {
    /// Id of this node.
    pub node: NodeId,
    /// Address to listen on for other nodes.
    pub address: SocketAddr,
    /// QUIC configurations for incoming and outgoing connections.
    pub quic_configs: (ServerConfig, ClientConfig),
    /// The clock.
    pub clock: SharedClock,
    /// Sends messages to the actors.
    pub mailbox: Mailbox,
    /// Converts HTTP headers and statuses.
    pub dialect: Arc<dyn Dialect>,
    /// Counts the unfinished work that a graceful stop waits for.
    pub work: WorkTracker,
    /// Follows a graceful stop.
    pub stop: StopWatch,
    /// Accounts for what the node holds for others.
    pub budget: Budget,
    /// Interval between pings.
    pub ping_interval: Duration,
}

/// Binds the endpoint and serves until a close command arrives or the command channel closes.
///
/// # Errors
///
/// The address cannot be bound; `bound` receives the error.
pub async fn run(
    setup: NetworkSetup,
    mut commands: mpsc::Receiver<NetworkCommand>,
    bound: oneshot::Sender<Result<NetworkContext, NodeError>>,
) {
    let (server, client) = setup.quic_configs;
    let endpoint = match Endpoint::server(server, setup.address) {
        Ok(endpoint) => endpoint,
        Err(fault) => {
            let error = NodeError::Listen { address: setup.address, fault: fault.to_string() };
            let _ = bound.send(Err(error));
            return;
        }
    };
    let mut endpoint = endpoint;
    endpoint.set_default_client_config(client);
    let (local_links, incoming_links) = context::local_link_channel();
    let runs = context::run_budget(&setup.budget);
    let heads = HeadBudgets::new(&setup.budget);
    let context = NetworkContext {
        node: setup.node,
        calls: upstream::start(
            Arc::clone(&setup.clock),
            Arc::clone(&setup.dialect),
            &runs,
            setup.work.clone(),
        ),
        clock: setup.clock,
        local_links,
        dialect: setup.dialect,
        mailbox: setup.mailbox.clone(),
        connector: Connector::start(endpoint.clone(), setup.mailbox),
        work: setup.work,
        stop: setup.stop,
        budget: setup.budget,
        runs,
        heads,
        ping_interval: setup.ping_interval,
    };
    let _ = bound.send(Ok(context.clone()));
    tokio::spawn(accept(context.clone(), endpoint.clone()));
    tokio::spawn(accept_local(context.clone(), incoming_links));
    while let Some(command) = commands.recv().await {
        if let NetworkCommand::Close { timeout: limit, done } = command {
            endpoint.close(VarInt::from_u32(0), b"stopped");
            if timeout(limit, endpoint.wait_idle()).await.is_err() {
                log::debug!("event=close-incomplete");
            }
            let _ = done.send(());
            return;
        }
        execute(&context, command).await;
    }
}

async fn execute(context: &NetworkContext, command: NetworkCommand) {
    match command {
        NetworkCommand::Ping(node, exchange, cursor) => {
            tokio::spawn(ping::ping(context.clone(), node, exchange, cursor));
        }
        NetworkCommand::Draw(node, draw) => {
            tokio::spawn(draw::draw(context.clone(), node, draw));
        }
        NetworkCommand::Contact(address, exchange) => {
            tokio::spawn(ping::contact(context.clone(), address, exchange));
        }
        NetworkCommand::SetAddress(node, incarnation, address) => {
            context.connector.set_address(node, incarnation, address).await;
        }
        NetworkCommand::RemoveNode(node) => context.connector.remove_node(node).await,
        NetworkCommand::Close { .. } => {}
    }
}

async fn accept(context: NetworkContext, endpoint: Endpoint) {
    let mut peers = PeerConnections::new(&context.budget);
    while let Some(incoming) = endpoint.accept().await {
        match peers.open(incoming.remote_address().ip()) {
            Some(share) => drop(tokio::spawn(handshake(context.clone(), incoming, share))),
            None => {
                log::warn!("event=peer-refused peer={}", incoming.remote_address());
                incoming.refuse();
                context.mailbox.try_send(Message::Count(Counter::Fault(Fault::Handshake)));
            }
        }
    }
}

async fn accept_local(context: NetworkContext, mut links: mpsc::Receiver<LocalLink>) {
    while let Some((sink, source)) = links.recv().await {
        tokio::spawn(serve_link(context.clone(), sink, source));
    }
}

async fn serve_link(context: NetworkContext, sink: FrameSink, source: FrameSource) {
    if let Err(fault) = serve_stream(&context, sink, source).await {
        count_fault(&context, &fault).await;
    }
}

/// Opens and serves a connection, which is accounted until it ends.
async fn handshake(context: NetworkContext, incoming: Incoming, _held: Share) {
    let address = incoming.remote_address();
    let opened = timeout(HANDSHAKE_TIMEOUT, incoming).await;
    match opened.unwrap_or(Err(ConnectionError::TimedOut)) {
        Ok(connection) => serve_connection(context, connection).await,
        Err(fault) => {
            log::warn!("event=handshake-failed peer={address} fault={fault:?}");
            context.mailbox.send(Message::Count(Counter::Fault(Fault::Handshake))).await;
        }
    }
}

async fn serve_connection(context: NetworkContext, connection: Connection) {
    let budget = context.frame_budget();
    while let Ok((sink, source)) = connection.accept_bi().await {
        let source = FrameSource::Accepted(source.into(), budget.hold(HeldKind::Peer, 0));
        tokio::spawn(serve_link(context.clone(), FrameSink::Quic(sink), source));
    }
}

async fn serve_stream(
    context: &NetworkContext,
    sink: FrameSink,
    mut source: FrameSource,
) -> Result<(), LinkError> {
    let first = timeout(FIRST_FRAME_TIMEOUT, source.receive()).await;
    match first.unwrap_or(Err(LinkError::Closed))? {
        Some(Body::Begin(begin)) => serve::serve(context, begin, sink, source).await,
        Some(Body::Exchange(exchange)) => ping::respond(context, exchange, sink).await,
        Some(Body::Draw(draw)) => draw::respond(context, draw, sink).await,
        Some(_) => Err(LinkError::Unexpected),
        None => Ok(()),
    }
}

async fn count_fault(context: &NetworkContext, fault: &LinkError) {
    log::debug!("event=stream-failed fault={fault:?}");
    let fault = match fault {
        LinkError::TooLarge(_) => Fault::FrameSize,
        LinkError::Malformed(_) | LinkError::Unexpected => Fault::Frame,
        LinkError::Memory(_)
        | LinkError::Closed
        | LinkError::Unread
        | LinkError::Read(_)
        | LinkError::Write(_) => return,
    };
    context.mailbox.send(Message::Count(Counter::Fault(fault))).await;
}
