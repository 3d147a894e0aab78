//! The task that owns the connections to other nodes.

use std::net::SocketAddr;

use quinn::{ConnectError, Connection, ConnectionError, Endpoint, VarInt};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, interval, timeout};

use super::tls::SERVER_NAME;
use crate::prelude::{Counter, Duration, Fault, Incarnation, IndexMap, Mailbox, Message, NodeId};

/// Longest time to open a connection.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest time that a request waits for a connection. The handshake continues after it: many
/// handshakes run at once when traffic starts, and aborting them would waste their work.
const CONNECTION_WAIT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which an unused connection is closed: its keep-alive packets cost more in this time
/// than another handshake.
const UNUSED_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which unused connections are looked for.
const REVIEW_INTERVAL: Duration = Duration::from_secs(5);
/// Messages that the channel to the task buffers.
const MESSAGE_CAPACITY: usize = 1024;
/// QUIC error code of a connection to a removed node, or to an earlier incarnation or address.
const OUTDATED_CODE: VarInt = VarInt::from_u32(2);

/// Why there is no connection to a node. Nothing was sent to it.
#[derive(Clone, Debug, thiserror::Error)]
pub enum PeerError {
    /// The node's address is not known.
    #[error("the node is not known")]
    Unknown,
    /// The connection cannot be started.
    #[error("cannot connect: {0}")]
    Connect(#[from] ConnectError),
    /// The connection attempt or the connection failed.
    #[error("connection failed: {0}")]
    Connection(#[from] ConnectionError),
    /// The node did not respond in time.
    #[error("the node did not respond in time")]
    Timeout,
    /// This node is stopping.
    #[error("this node is stopping")]
    Stopping,
}

type ConnectResult = Result<Connection, PeerError>;

enum PeerMessage {
    ConnectNode(NodeId, oneshot::Sender<ConnectResult>),
    ConnectAddress(SocketAddr, oneshot::Sender<ConnectResult>),
    Connected(NodeId, ConnectResult),
    SetAddress(NodeId, Incarnation, SocketAddr),
    Replace(NodeId, usize),
    RemoveNode(NodeId),
}

/// Number of UDP datagrams received on a connection up to some time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DatagramCount(u64);

impl DatagramCount {
    /// Returns the current count of a connection.
    pub fn of(connection: &Connection) -> Self {
        Self(connection.stats().udp_rx.datagrams)
    }

    /// Returns how many datagrams the connection has received since.
    pub fn later(self, connection: &Connection) -> u64 {
        Self::of(connection).0.saturating_sub(self.0)
    }
}

/// Opens and shares connections to other nodes.
#[derive(Clone, Debug)]
pub struct Connector(mpsc::Sender<PeerMessage>);

impl Connector {
    /// Starts the task that owns the connections.
    pub fn start(endpoint: Endpoint, mailbox: Mailbox) -> Self {
        let (sender, receiver) = mpsc::channel(MESSAGE_CAPACITY);
        let task =
            ConnectorTask { endpoint, mailbox, peers: IndexMap::new(), sender: sender.clone() };
        tokio::spawn(task.run(receiver));
        Self(sender)
    }

    /// Returns a connection to a node; reuses an open one if possible.
    ///
    /// # Errors
    ///
    /// The node cannot be reached; nothing was sent to it.
    pub async fn connect_node(&self, node: NodeId) -> ConnectResult {
        let result = timeout(
            CONNECTION_WAIT_TIMEOUT,
            self.request(|reply| PeerMessage::ConnectNode(node, reply)),
        )
        .await;
        result.unwrap_or(Err(PeerError::Timeout))
    }

    /// Opens a connection to an address whose node is not known.
    ///
    /// # Errors
    ///
    /// The address cannot be reached.
    pub async fn connect_address(&self, address: SocketAddr) -> ConnectResult {
        self.request(|reply| PeerMessage::ConnectAddress(address, reply)).await
    }

    /// Sets the address of a node's incarnation.
    pub async fn set_address(&self, node: NodeId, incarnation: Incarnation, address: SocketAddr) {
        let _ = self.0.send(PeerMessage::SetAddress(node, incarnation, address)).await;
    }

    /// Replaces a connection for new requests if it has received nothing since `datagrams` was
    /// counted: the path may have failed, or the connection may lead to an earlier incarnation of
    /// the node. Requests in progress on the old connection continue.
    pub async fn replace_if_silent(
        &self,
        node: NodeId,
        connection: &Connection,
        datagrams: DatagramCount,
    ) {
        if datagrams.later(connection) == 0 {
            log::info!("event=connection-silent peer={node:x}");
            let _ = self.0.send(PeerMessage::Replace(node, connection.stable_id())).await;
        }
    }

    /// Removes a node and closes its connection.
    pub async fn remove_node(&self, node: NodeId) {
        let _ = self.0.send(PeerMessage::RemoveNode(node)).await;
    }

    async fn request(
        &self,
        message: impl FnOnce(oneshot::Sender<ConnectResult>) -> PeerMessage,
    ) -> ConnectResult {
        let (reply, response) = oneshot::channel();
        self.0.send(message(reply)).await.map_err(|_| PeerError::Stopping)?;
        response.await.map_err(|_| PeerError::Stopping)?
    }
}

struct Peer {
    address: SocketAddr,
    incarnation: Incarnation,
    connection: Option<Connection>,
    used_at: Instant,
    // Set after a failed attempt; requests fail immediately with it while a new attempt runs.
    last_error: Option<PeerError>,
    connecting_since: Option<Instant>,
    waiters: Vec<oneshot::Sender<ConnectResult>>,
}

struct ConnectorTask {
    endpoint: Endpoint,
    mailbox: Mailbox,
    peers: IndexMap<NodeId, Peer>,
    sender: mpsc::Sender<PeerMessage>,
}

impl ConnectorTask {
    async fn run(mut self, mut messages: mpsc::Receiver<PeerMessage>) {
        let mut review = interval(REVIEW_INTERVAL);
        loop {
            tokio::select! {
                message = messages.recv() => match message {
                    Some(message) => self.handle(message).await,
                    None => return,
                },
                _ = review.tick() => self.release_unused(Instant::now()),
            }
        }
    }

    async fn handle(&mut self, message: PeerMessage) {
        match message {
            PeerMessage::ConnectNode(node, reply) => self.connect_node(node, reply),
            PeerMessage::ConnectAddress(address, reply) => self.connect_address(address, reply),
            PeerMessage::Connected(node, result) => self.finish_connect(node, result).await,
            PeerMessage::SetAddress(node, incarnation, address) => {
                self.set_address(node, incarnation, address);
            }
            PeerMessage::Replace(node, connection) => self.replace(node, connection),
            PeerMessage::RemoveNode(node) => self.remove_node(node),
        }
    }

    /// Releases connections that have not been used for a while. Each closes once the last request
    /// on it has ended.
    fn release_unused(&mut self, now: Instant) {
        for peer in self.peers.values_mut() {
            if now >= peer.used_at + UNUSED_TIMEOUT {
                peer.connection = None;
            }
        }
    }

    fn connect_node(&mut self, node: NodeId, reply: oneshot::Sender<ConnectResult>) {
        let Some(peer) = self.peers.get_mut(&node) else {
            let _ = reply.send(Err(PeerError::Unknown));
            return;
        };
        let now = Instant::now();
        peer.used_at = now;
        if let Some(connection) = peer.connection.as_ref().filter(|c| c.close_reason().is_none()) {
            let _ = reply.send(Ok(connection.clone()));
            return;
        }
        peer.connection = None;
        let is_overdue =
            peer.connecting_since.is_some_and(|since| now >= since + CONNECTION_WAIT_TIMEOUT);
        match &peer.last_error {
            Some(fault) => drop(reply.send(Err(fault.clone()))),
            None if is_overdue => drop(reply.send(Err(PeerError::Timeout))),
            None => peer.waiters.push(reply),
        }
        if peer.connecting_since.is_none() {
            peer.connecting_since = Some(now);
            let (endpoint, address) = (self.endpoint.clone(), peer.address);
            let sender = self.sender.clone();
            tokio::spawn(async move {
                let result = connect(endpoint, address).await;
                let _ = sender.send(PeerMessage::Connected(node, result)).await;
            });
        }
    }

    fn connect_address(&self, address: SocketAddr, reply: oneshot::Sender<ConnectResult>) {
        let endpoint = self.endpoint.clone();
        tokio::spawn(async move {
            let _ = reply.send(connect(endpoint, address).await);
        });
    }

    async fn finish_connect(&mut self, node: NodeId, result: ConnectResult) {
        if let Err(error) = &result {
            log::debug!("event=connect-failed peer={node:x} fault={error:?}");
            self.mailbox.send(Message::Count(Counter::Fault(Fault::Connect))).await;
        }
        let Some(peer) = self.peers.get_mut(&node) else { return };
        peer.connecting_since = None;
        peer.connection = result.as_ref().ok().cloned();
        peer.last_error = result.as_ref().err().cloned();
        for reply in peer.waiters.drain(..) {
            let _ = reply.send(result.clone());
        }
    }

    fn set_address(&mut self, node: NodeId, incarnation: Incarnation, address: SocketAddr) {
        let peer = self.peers.entry(node).or_insert_with(|| Peer {
            address,
            incarnation,
            connection: None,
            used_at: Instant::now(),
            last_error: None,
            connecting_since: None,
            waiters: Vec::new(),
        });
        if (peer.incarnation, peer.address) != (incarnation, address) {
            peer.incarnation = incarnation;
            peer.address = address;
            peer.last_error = None;
            // Requests on the old connection would get no response; closing it fails them at once.
            if let Some(connection) = peer.connection.take() {
                connection.close(OUTDATED_CODE, b"outdated");
            }
        }
    }

    /// Drops a connection from the peer, unless another one has already replaced it.
    fn replace(&mut self, node: NodeId, id: usize) {
        let Some(peer) = self.peers.get_mut(&node) else { return };
        if peer.connection.as_ref().is_some_and(|connection| connection.stable_id() == id) {
            peer.connection = None;
        }
    }

    fn remove_node(&mut self, node: NodeId) {
        if let Some(connection) = self.peers.swap_remove(&node).and_then(|peer| peer.connection) {
            connection.close(OUTDATED_CODE, b"forgotten");
        }
    }
}

async fn connect(endpoint: Endpoint, address: SocketAddr) -> ConnectResult {
    let connecting = endpoint.connect(address, SERVER_NAME)?;
    match timeout(HANDSHAKE_TIMEOUT, connecting).await {
        Ok(connected) => Ok(connected?),
        Err(_) => Err(PeerError::Timeout),
    }
}
