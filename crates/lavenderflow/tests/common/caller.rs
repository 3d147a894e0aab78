//! A caller that speaks HTTP over one connection.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use super::pace::Pace;

/// Host of the requests and of the routes.
pub const HOST: &str = "work.example";

/// Size of the parts in which a body is read.
const PART_BYTES: usize = 16 * 1024;

/// A response, as a caller receives it.
#[derive(Clone, Debug, Default)]
pub struct Response {
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
    /// Whether the body arrived up to its declared length or its last chunk.
    pub is_complete: bool,
}

impl Response {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map(String::as_str).unwrap_or_default()
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A caller's connection, read without an HTTP library so that every byte is visible.
pub struct Caller {
    reader: BufReader<TcpStream>,
}

impl Caller {
    pub fn connect(address: SocketAddr) -> std::io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(20)))?;
        Ok(Self { reader: BufReader::new(stream) })
    }

    /// Returns a second handle of the connection, which must not be read from both.
    pub fn try_clone(&self) -> std::io::Result<Self> {
        Ok(Self { reader: BufReader::new(self.reader.get_ref().try_clone()?) })
    }

    pub fn send(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.reader.get_mut().write_all(bytes)
    }

    /// Sends a request with a `Content-Length` header and reads the response.
    pub fn request(&mut self, method: &str, path: &str, id: &str, body: &[u8]) -> Option<Response> {
        self.send(&request_head(method, path, id, body.len(), 5000)).ok()?;
        self.send(body).ok()?;
        self.read()
    }

    /// Reads a response; `None` if the connection ends before its head or the status is malformed.
    pub fn read(&mut self) -> Option<Response> {
        self.read_slowly(Duration::ZERO)
    }

    /// Reads a response as [`read`](Self::read) does, with a pause before each part of its body. A
    /// reader that is late makes no pause until it has caught up.
    pub fn read_slowly(&mut self, pause: Duration) -> Option<Response> {
        let mut line = String::new();
        self.reader.read_line(&mut line).ok()?;
        let status = line.split_whitespace().nth(1)?.parse().ok()?;
        let mut response = Response { status, ..Response::default() };
        loop {
            let mut line = String::new();
            self.reader.read_line(&mut line).ok()?;
            let Some((name, value)) = line.trim_end().split_once(':') else { break };
            response.headers.insert(name.to_lowercase(), value.trim().to_owned());
        }
        if response.header("transfer-encoding") == "chunked" {
            response.is_complete = self.read_chunks(&mut response.body, pause);
        } else {
            let length: usize = response.header("content-length").parse().unwrap_or(0);
            response.body = vec![0; length];
            let mut parts = response.body.chunks_mut(PART_BYTES);
            let mut pace = Pace::new(pause);
            response.is_complete = parts.all(|part| {
                pace.wait();
                self.reader.read_exact(part).is_ok()
            });
        }
        Some(response)
    }

    fn read_chunks(&mut self, body: &mut Vec<u8>, pause: Duration) -> bool {
        let mut pace = Pace::new(pause);
        loop {
            pace.wait();
            let mut line = String::new();
            if self.reader.read_line(&mut line).unwrap_or(0) == 0 {
                return false;
            }
            let Ok(size) = usize::from_str_radix(line.trim(), 16) else { return false };
            let mut chunk = vec![0; size + 2];
            if self.reader.read_exact(&mut chunk).is_err() {
                return false;
            }
            if size == 0 {
                return true;
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
}

/// Returns the head of a request with a body of `length` bytes.
pub fn request_head(
    method: &str,
    path: &str,
    id: &str,
    length: usize,
    deadline_ms: u64,
) -> Vec<u8> {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nLavenderflow-Request-Id: {id}\r\n\
         Lavenderflow-Deadline-Ms: {deadline_ms}\r\nContent-Length: {length}\r\n\r\n"
    )
    .into_bytes()
}
