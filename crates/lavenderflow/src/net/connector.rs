//! The task that owns the connections to other nodes.

use std::net::SocketAddr;

use quinn::{ConnectError, Connection, ConnectionError, Endpoint, VarInt};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, timeout};

use super::key::SERVER_NAME;
use crate::prelude::{Counter, Duration, Fault, Incarnation, IndexMap, Mailbox, Message, NodeId};

/// Longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest time that a request waits for a connection. The attempt goes on after it: giving it up
/// would waste the handshake, of which many run at once when traffic starts.
const CONNECT_WAIT: Duration = Duration::from_millis(500);
/// Requests for connections that can wait.
const CAPACITY: usize = 1024;
/// Error code of a connection to an earlier run of a node's process.
const OUTDATED: VarInt = VarInt::from_u32(2);

/// Why there is no connection to a node. Nothing was sent to it.
#[derive(Clone, Debug, thiserror::Error)]
pub enum PeerError {
    /// The node's address is not known.
    #[error("the node is not known")]
    Unknown,
    /// The connection cannot be started.
    #[error("cannot connect: {0}")]
    Connect(#[from] ConnectError),
    /// The connection failed.
    #[error("connection failed: {0}")]
    Connection(#[from] ConnectionError),
    /// The node did not answer in time.
    #[error("no answer in time")]
    Timeout,
    /// The node is stopping.
    #[error("this node is stopping")]
    Stopping,
}

type Opened = Result<Connection, PeerError>;

enum Request {
    Node(NodeId, oneshot::Sender<Opened>),
    Address(SocketAddr, oneshot::Sender<Opened>),
    Opened(NodeId, Opened),
    Member(NodeId, Incarnation, SocketAddr),
    Silent(NodeId, usize),
    Forget(NodeId),
}

/// How much had come over a connection at some time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Mark(u64);

impl Mark {
    /// Returns the mark of this moment.
    pub fn of(connection: &Connection) -> Self {
        Self(connection.stats().udp_rx.datagrams)
    }
}

/// Asks the connector for connections.
#[derive(Clone, Debug)]
pub struct Connector(mpsc::Sender<Request>);

impl Connector {
    /// Starts the task.
    pub fn start(endpoint: Endpoint, mailbox: Mailbox) -> Self {
        let (sender, receiver) = mpsc::channel(CAPACITY);
        let peers = Peers { endpoint, mailbox, peers: IndexMap::new(), sender: sender.clone() };
        tokio::spawn(peers.run(receiver));
        Self(sender)
    }

    /// Returns a connection to a node, an open one if there is.
    ///
    /// # Errors
    ///
    /// The node cannot be reached; nothing was sent to it.
    pub async fn node(&self, node: NodeId) -> Opened {
        let opened = timeout(CONNECT_WAIT, self.ask(|reply| Request::Node(node, reply))).await;
        opened.unwrap_or(Err(PeerError::Timeout))
    }

    /// Opens a connection to an address of which the node is not known.
    ///
    /// # Errors
    ///
    /// The address cannot be reached.
    pub async fn address(&self, address: SocketAddr) -> Opened {
        self.ask(|reply| Request::Address(address, reply)).await
    }

    /// Notes where a node is.
    pub async fn set_member(&self, node: NodeId, incarnation: Incarnation, address: SocketAddr) {
        let _ = self.0.send(Request::Member(node, incarnation, address)).await;
    }

    /// Lets further requests use a new connection when nothing at all has come over this one since
    /// `mark`: it may have gone silent for good, or lead to an earlier run of the node. What is
    /// under way on it goes on.
    pub async fn check(&self, node: NodeId, connection: &Connection, mark: Mark) {
        if Mark::of(connection) == mark {
            log::info!("event=connection-silent peer={node:x}");
            let _ = self.0.send(Request::Silent(node, connection.stable_id())).await;
        }
    }

    /// Forgets a node.
    pub async fn forget(&self, node: NodeId) {
        let _ = self.0.send(Request::Forget(node)).await;
    }

    async fn ask(&self, request: impl FnOnce(oneshot::Sender<Opened>) -> Request) -> Opened {
        let (reply, answer) = oneshot::channel();
        self.0.send(request(reply)).await.map_err(|_| PeerError::Stopping)?;
        answer.await.map_err(|_| PeerError::Stopping)?
    }
}

struct Peer {
    address: SocketAddr,
    incarnation: Incarnation,
    connection: Option<Connection>,
    // Requests fail at once while a node that could not be reached is tried again.
    failed: Option<PeerError>,
    connecting: Option<Instant>,
    waiting: Vec<oneshot::Sender<Opened>>,
}

struct Peers {
    endpoint: Endpoint,
    mailbox: Mailbox,
    peers: IndexMap<NodeId, Peer>,
    sender: mpsc::Sender<Request>,
}

impl Peers {
    async fn run(mut self, mut requests: mpsc::Receiver<Request>) {
        while let Some(request) = requests.recv().await {
            match request {
                Request::Node(node, reply) => self.open(node, reply),
                Request::Address(address, reply) => self.open_address(address, reply),
                Request::Opened(node, opened) => self.opened(node, opened).await,
                Request::Member(node, incarnation, address) => {
                    self.set_member(node, incarnation, address);
                }
                Request::Silent(node, connection) => self.replace(node, connection),
                Request::Forget(node) => self.forget(node),
            }
        }
    }

    fn open(&mut self, node: NodeId, reply: oneshot::Sender<Opened>) {
        let Some(peer) = self.peers.get_mut(&node) else {
            let _ = reply.send(Err(PeerError::Unknown));
            return;
        };
        if let Some(connection) = peer.connection.as_ref().filter(|c| c.close_reason().is_none()) {
            let _ = reply.send(Ok(connection.clone()));
            return;
        }
        peer.connection = None;
        let now = Instant::now();
        let is_late = peer.connecting.is_some_and(|since| now >= since + CONNECT_WAIT);
        match &peer.failed {
            Some(fault) => drop(reply.send(Err(fault.clone()))),
            None if is_late => drop(reply.send(Err(PeerError::Timeout))),
            None => peer.waiting.push(reply),
        }
        if peer.connecting.is_none() {
            peer.connecting = Some(now);
            let (endpoint, address) = (self.endpoint.clone(), peer.address);
            let sender = self.sender.clone();
            tokio::spawn(async move {
                let opened = connect(endpoint, address).await;
                let _ = sender.send(Request::Opened(node, opened)).await;
            });
        }
    }

    fn open_address(&self, address: SocketAddr, reply: oneshot::Sender<Opened>) {
        let endpoint = self.endpoint.clone();
        tokio::spawn(async move {
            let _ = reply.send(connect(endpoint, address).await);
        });
    }

    async fn opened(&mut self, node: NodeId, opened: Opened) {
        if let Err(error) = &opened {
            log::debug!("event=connect-failed peer={node:x} fault={error:?}");
            self.mailbox.send(Message::Count(Counter::Fault(Fault::Connect))).await;
        }
        let Some(peer) = self.peers.get_mut(&node) else { return };
        peer.connecting = None;
        peer.connection = opened.as_ref().ok().cloned();
        peer.failed = opened.as_ref().err().cloned();
        for reply in peer.waiting.drain(..) {
            let _ = reply.send(opened.clone());
        }
    }

    fn set_member(&mut self, node: NodeId, incarnation: Incarnation, address: SocketAddr) {
        let peer = self.peers.entry(node).or_insert_with(|| Peer {
            address,
            incarnation,
            connection: None,
            failed: None,
            connecting: None,
            waiting: Vec::new(),
        });
        if (peer.incarnation, peer.address) != (incarnation, address) {
            peer.incarnation = incarnation;
            peer.address = address;
            peer.failed = None;
            // Requests on the old connection will never be answered; they fail at once.
            if let Some(connection) = peer.connection.take() {
                connection.close(OUTDATED, b"outdated");
            }
        }
    }

    /// Drops a connection, unless another one has taken its place.
    fn replace(&mut self, node: NodeId, id: usize) {
        let Some(peer) = self.peers.get_mut(&node) else { return };
        if peer.connection.as_ref().is_some_and(|connection| connection.stable_id() == id) {
            peer.connection = None;
        }
    }

    fn forget(&mut self, node: NodeId) {
        if let Some(connection) = self.peers.swap_remove(&node).and_then(|peer| peer.connection) {
            connection.close(OUTDATED, b"forgotten");
        }
    }
}

async fn connect(endpoint: Endpoint, address: SocketAddr) -> Opened {
    let connecting = endpoint.connect(address, SERVER_NAME)?;
    match timeout(CONNECT_TIMEOUT, connecting).await {
        Ok(connected) => Ok(connected?),
        Err(_) => Err(PeerError::Timeout),
    }
}
