//! Responses that never end: bytes are sent until the other side closes the connection.

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

/// Bytes of one write.
const WRITE_BYTES: usize = 8192;
/// Pause between two writes of a body, which bounds what reaches the caller.
const BODY_PAUSE: Duration = Duration::from_millis(2);

/// The part of a response that never ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Part {
    /// Bytes without a line end, instead of a status line.
    StatusLine,
    /// One header after another.
    Headers,
    /// One informational response after another.
    Informational,
    /// A body without a length.
    Body,
    /// A chunked body.
    Chunks,
    /// The digits of the size of the first chunk.
    ChunkSize,
    /// Bytes after a complete response.
    Excess,
}

impl Part {
    /// All parts.
    pub const ALL: [Self; 7] = [
        Self::StatusLine,
        Self::Headers,
        Self::Informational,
        Self::Body,
        Self::Chunks,
        Self::ChunkSize,
        Self::Excess,
    ];

    /// Sends the response, whose headers are `headers` and whose body would be `body`, until the
    /// other side closes the connection.
    ///
    /// # Errors
    ///
    /// The connection was closed.
    pub fn send(self, writer: &mut TcpStream, headers: &str, body: &str) -> std::io::Result<()> {
        let start = match self {
            Self::StatusLine => String::new(),
            Self::Headers | Self::Informational => {
                if self == Self::Headers { "HTTP/1.1 200 OK\r\n" } else { "" }.to_owned()
            }
            Self::Body => format!("HTTP/1.1 200 OK\r\n{headers}Connection: close\r\n\r\n"),
            Self::Chunks | Self::ChunkSize => {
                format!("HTTP/1.1 200 OK\r\n{headers}Transfer-Encoding: chunked\r\n\r\n")
            }
            Self::Excess => {
                let length = body.len();
                format!("HTTP/1.1 200 OK\r\n{headers}Content-Length: {length}\r\n\r\n{body}")
            }
        };
        writer.write_all(start.as_bytes())?;
        let unit = match self {
            Self::StatusLine | Self::Body | Self::Excess => "x".to_owned(),
            Self::Headers => "Endless: yes\r\n".to_owned(),
            Self::Informational => "HTTP/1.1 103 Early Hints\r\n\r\n".to_owned(),
            Self::Chunks => format!("10\r\n{}\r\n", "x".repeat(16)),
            Self::ChunkSize => "0".to_owned(),
        };
        let block = unit.repeat(WRITE_BYTES / unit.len());
        loop {
            writer.write_all(block.as_bytes())?;
            if matches!(self, Self::Body | Self::Chunks) {
                thread::sleep(BODY_PAUSE);
            }
        }
    }
}
