//! A client that sends bytes as they are and reads answers without a library.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::deployment::HOST;

/// Time that a client waits for a connection, as the pages say, and for an answer.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);

/// An answer.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub is_signed: bool,
    pub body: String,
}

/// A connection of a client.
pub struct Client {
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> std::io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
        Ok(Self { reader: BufReader::new(stream) })
    }

    pub fn send(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.reader.get_mut().write_all(bytes)
    }

    /// Sends a request without a body on a new connection; returns the status of the answer.
    pub fn call(address: SocketAddr, method: &str, path: &str, id: &str) -> Option<u16> {
        let mut client = Self::connect(address).ok()?;
        client.send(request(method, path, id).as_bytes()).ok()?;
        Some(client.read()?.status)
    }

    /// Reads an answer with a length.
    pub fn read(&mut self) -> Option<Answer> {
        let mut line = String::new();
        self.reader.read_line(&mut line).ok()?;
        let status = line.split_whitespace().nth(1)?.parse().ok()?;
        let (mut length, mut is_signed) = (0, false);
        loop {
            let mut line = String::new();
            self.reader.read_line(&mut line).ok()?;
            let Some((name, value)) = line.trim_end().split_once(':') else { break };
            if name.eq_ignore_ascii_case("content-length") {
                length = value.trim().parse().ok()?;
            }
            is_signed |= name.eq_ignore_ascii_case("lavenderflow-server-signature");
        }
        let mut body = vec![0; length];
        self.reader.read_exact(&mut body).ok()?;
        Some(Answer { status, is_signed, body: String::from_utf8_lossy(&body).into_owned() })
    }
}

/// Returns a request without a body.
pub fn request(method: &str, path: &str, id: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nLavenderflow-Request-Id: {id}\r\n\
         Lavenderflow-Deadline-Ms: 2000\r\nContent-Length: 0\r\n\r\n"
    )
}
