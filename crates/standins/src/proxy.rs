//! A UDP proxy that drops or delays packets by peer, direction and QUIC connection.
//!
//! One thread owns the rules and forwards the packets; reader threads send it what they receive.

use std::net::{SocketAddr, UdpSocket};
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender};
use std::thread;
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};

use crate::error::Error;

/// Largest UDP packet.
const MAX_PACKET_BYTES: usize = 65_536;
/// Longest wait for a command when no packet is due.
const MAX_SLEEP: Duration = Duration::from_secs(3600);

/// Direction of a packet between a peer and the target.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Direction {
    /// From the peer to the target.
    ToTarget,
    /// From the target to the peer.
    FromTarget,
}

#[derive(Debug)]
enum Command {
    Packet(SocketAddr, Direction, Vec<u8>),
    Cut(SocketAddr, Direction),
    CutAll,
    SilenceOpen,
    Heal,
    ForwardedBytes(Sender<u64>),
    Delay(SocketAddr, Duration),
}

/// A running proxy in front of one target.
#[derive(Debug)]
pub struct UdpProxy {
    address: SocketAddr,
    commands: Sender<Command>,
}

impl UdpProxy {
    /// Starts a proxy in front of a target.
    ///
    /// # Errors
    ///
    /// No port can be bound.
    pub fn start(target: SocketAddr) -> Result<Self, Error> {
        let socket = UdpSocket::bind(("127.0.0.1", 0))?;
        let address = socket.local_addr()?;
        let (commands, received) = mpsc::channel();
        let (reader, sender) = (socket.try_clone()?, commands.clone());
        thread::spawn(move || {
            let mut buffer = vec![0; MAX_PACKET_BYTES];
            while let Ok((length, from)) = reader.recv_from(&mut buffer) {
                let packet = Command::Packet(from, Direction::ToTarget, buffer[..length].to_vec());
                if sender.send(packet).is_err() {
                    return;
                }
            }
        });
        let actor = Actor {
            socket,
            target,
            sender: commands.clone(),
            flows: IndexMap::new(),
            cuts: IndexSet::new(),
            cut_all: false,
            open: IndexSet::new(),
            silent: IndexSet::new(),
            delays: IndexMap::new(),
            delayed: Vec::new(),
            forwarded_bytes: 0,
        };
        thread::spawn(move || actor.run(&received));
        Ok(Self { address, commands })
    }

    /// Returns the address that the proxy listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Drops packets of one peer in one direction.
    pub fn cut(&self, peer: SocketAddr, direction: Direction) {
        let _ = self.commands.send(Command::Cut(peer, direction));
    }

    /// Drops all packets.
    pub fn cut_all(&self) {
        let _ = self.commands.send(Command::CutAll);
    }

    /// Drops the packets of the QUIC connections that are open now, and lets new ones work.
    pub fn silence_open(&self) {
        let _ = self.commands.send(Command::SilenceOpen);
    }

    /// Returns how many bytes have been forwarded in both directions, including those delayed.
    ///
    /// # Errors
    ///
    /// The proxy has stopped.
    pub fn forwarded_bytes(&self) -> Result<u64, Error> {
        let (reply, result) = mpsc::channel();
        self.commands.send(Command::ForwardedBytes(reply)).map_err(|_| Error::Stopped)?;
        result.recv().map_err(|_| Error::Stopped)
    }

    /// Stops dropping packets; delays stay.
    pub fn heal(&self) {
        let _ = self.commands.send(Command::Heal);
    }

    /// Delays the packets of one peer in both directions.
    pub fn delay(&self, peer: SocketAddr, delay: Duration) {
        let _ = self.commands.send(Command::Delay(peer, delay));
    }
}

/// The id that an endpoint has chosen for its side of a QUIC connection, of quinn's default length.
type ConnectionId = [u8; 8];

/// Returns the connection id in a packet of an established connection; others have a long header.
fn connection_id(packet: &[u8]) -> Option<ConnectionId> {
    let (first, rest) = packet.split_first()?;
    let has_long_header = first & 0x80 != 0;
    if has_long_header { None } else { rest.first_chunk().copied() }
}

struct DelayedPacket {
    due: Instant,
    peer: SocketAddr,
    direction: Direction,
    packet: Vec<u8>,
}

struct Actor {
    socket: UdpSocket,
    target: SocketAddr,
    sender: Sender<Command>,
    flows: IndexMap<SocketAddr, UdpSocket>,
    cuts: IndexSet<(SocketAddr, Direction)>,
    cut_all: bool,
    // Ids of the QUIC connections whose packets were seen, and of those that are silent.
    open: IndexSet<ConnectionId>,
    silent: IndexSet<ConnectionId>,
    delays: IndexMap<SocketAddr, Duration>,
    delayed: Vec<DelayedPacket>,
    forwarded_bytes: u64,
}

impl Actor {
    fn run(mut self, commands: &Receiver<Command>) {
        loop {
            let due = self.delayed.iter().map(|packet| packet.due).min();
            let wait = due.map_or(MAX_SLEEP, |due| due.saturating_duration_since(Instant::now()));
            match commands.recv_timeout(wait) {
                Ok(command) => self.handle(command),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            self.send_due();
        }
    }

    fn handle(&mut self, command: Command) {
        match command {
            Command::Packet(peer, direction, packet) => {
                if self.cut_all || self.cuts.contains(&(peer, direction)) {
                    return;
                }
                if let Some(id) = connection_id(&packet) {
                    if self.silent.contains(&id) {
                        return;
                    }
                    self.open.insert(id);
                }
                self.forwarded_bytes += packet.len() as u64;
                let delay = self.delays.get(&peer).copied().unwrap_or_default();
                let due = Instant::now() + delay;
                self.delayed.push(DelayedPacket { due, peer, direction, packet });
            }
            Command::Cut(peer, direction) => {
                self.cuts.insert((peer, direction));
            }
            Command::CutAll => self.cut_all = true,
            Command::SilenceOpen => self.silent.extend(self.open.drain(..)),
            Command::Heal => {
                self.cuts.clear();
                self.cut_all = false;
            }
            Command::ForwardedBytes(reply) => drop(reply.send(self.forwarded_bytes)),
            Command::Delay(peer, delay) => {
                self.delays.insert(peer, delay);
            }
        }
    }

    fn send_due(&mut self) {
        let now = Instant::now();
        let delayed = std::mem::take(&mut self.delayed);
        let (due, delayed): (Vec<DelayedPacket>, Vec<DelayedPacket>) =
            delayed.into_iter().partition(|packet| packet.due <= now);
        self.delayed = delayed;
        for DelayedPacket { peer, direction, packet, .. } in due {
            // A packet that cannot be sent is dropped, as on a real network.
            let _ = match direction {
                Direction::ToTarget => self.flow(peer).and_then(|flow| Ok(flow.send(&packet)?)),
                Direction::FromTarget => self.socket.send_to(&packet, peer).map_err(Error::from),
            };
        }
    }

    fn flow(&mut self, peer: SocketAddr) -> Result<&UdpSocket, Error> {
        if !self.flows.contains_key(&peer) {
            let flow = UdpSocket::bind(("127.0.0.1", 0))?;
            flow.connect(self.target)?;
            let (reader, sender) = (flow.try_clone()?, self.sender.clone());
            thread::spawn(move || {
                let mut buffer = vec![0; MAX_PACKET_BYTES];
                loop {
                    // A target that is down causes an error; it may come up again.
                    let Ok(length) = reader.recv(&mut buffer) else {
                        thread::sleep(Duration::from_millis(10));
                        continue;
                    };
                    let packet =
                        Command::Packet(peer, Direction::FromTarget, buffer[..length].to_vec());
                    if sender.send(packet).is_err() {
                        return;
                    }
                }
            });
            self.flows.insert(peer, flow);
        }
        self.flows.get(&peer).ok_or(Error::Stopped)
    }
}
