//! A TCP proxy whose open connections can go silent while new ones work.
//!
//! One thread accepts connections, and two threads for each connection forward its bytes. Each of
//! these has its own channel, on which it is told to forward nothing more.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{self, Receiver, Sender};
use std::thread;

use crate::error::Error;

/// Most bytes that are forwarded at a time.
const BUFFER_BYTES: usize = 64 * 1024;

#[derive(Debug)]
enum Command {
    Opened(Sender<()>),
    SilenceOpen,
}

/// A running proxy in front of one target.
#[derive(Debug)]
pub struct TcpProxy {
    address: SocketAddr,
    commands: Sender<Command>,
}

impl TcpProxy {
    /// Starts a proxy in front of a target.
    ///
    /// # Errors
    ///
    /// No port can be bound.
    pub fn start(target: SocketAddr) -> Result<Self, Error> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let address = listener.local_addr()?;
        let (commands, received) = mpsc::channel();
        let sender = commands.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                // A client of a target that is down sees its connection closed.
                let Ok(server) = TcpStream::connect(target) else { continue };
                if open(client, server, &sender).is_err() {
                    return;
                }
            }
        });
        thread::spawn(move || own_connections(&received));
        Ok(Self { address, commands })
    }

    /// Returns the address that the proxy listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Forwards nothing more on the connections that are open now, and leaves them open.
    pub fn silence_open(&self) {
        let _ = self.commands.send(Command::SilenceOpen);
    }
}

/// Owns the channels to the threads of all connections.
fn own_connections(commands: &Receiver<Command>) {
    let mut open = Vec::new();
    while let Ok(command) = commands.recv() {
        match command {
            Command::Opened(silence) => open.push(silence),
            Command::SilenceOpen => {
                for silence in open.drain(..) {
                    // The send fails if the connection has been closed.
                    let _ = silence.send(());
                }
            }
        }
    }
}

fn open(client: TcpStream, server: TcpStream, commands: &Sender<Command>) -> Result<(), Error> {
    let ends = [(client.try_clone()?, server.try_clone()?), (server, client)];
    for (from, to) in ends {
        let (silence, silenced) = mpsc::channel();
        commands.send(Command::Opened(silence)).map_err(|_| Error::Stopped)?;
        thread::spawn(move || forward(from, to, &silenced));
    }
    Ok(())
}

fn forward(mut from: TcpStream, mut to: TcpStream, silenced: &Receiver<()>) {
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut is_silent = false;
    while let Ok(length) = from.read(&mut buffer) {
        is_silent |= silenced.try_recv().is_ok();
        if length == 0 {
            break;
        }
        if !is_silent && to.write_all(&buffer[..length]).is_err() {
            break;
        }
    }
    if !is_silent && silenced.try_recv().is_err() {
        // This fails if the other thread has closed the connection.
        let _ = to.shutdown(Shutdown::Write);
    }
}
