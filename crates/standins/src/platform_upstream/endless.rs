//! Responses that never end: bytes are sent until the other side closes the connection.

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

/// Bytes of one write.
const WRITE_BYTES: usize = 8192;
/// Pause between two writes of a body, which bounds what reaches the caller.
const BODY_PAUSE: Duration = Duration::from_millis(2);
/// Pause between two bytes of a slow response.
const BYTE_PAUSE: Duration = Duration::from_millis(250);

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
    /// The extension of the first chunk.
    Extension,
    /// The trailers after the last chunk.
    Trailers,
    /// Bytes after a complete response.
    Excess,
    /// A body without a length, as fast as it is read.
    FastBody,
    /// Large chunks, as fast as they are read.
    FastChunks,
    /// A body with the largest possible length, as fast as it is read.
    FastLength,
}

impl Part {
    /// All parts but those that are sent as fast as they are read.
    pub const ALL: [Self; 9] = [
        Self::StatusLine,
        Self::Headers,
        Self::Informational,
        Self::Body,
        Self::Chunks,
        Self::ChunkSize,
        Self::Extension,
        Self::Trailers,
        Self::Excess,
    ];
    /// Bodies that are sent as fast as they are read, and sound as far as they are sent.
    pub const SOUND: [Self; 3] = [Self::FastBody, Self::FastChunks, Self::FastLength];

    /// Sends the response, whose headers are `headers` and whose body would be `body`, until the
    /// other side closes the connection.
    ///
    /// # Errors
    ///
    /// The connection was closed.
    pub fn send(self, writer: &mut TcpStream, headers: &str, body: &str) -> std::io::Result<()> {
        writer.write_all(self.start(headers, body).as_bytes())?;
        let unit = self.unit();
        let block = unit.repeat((WRITE_BYTES / unit.len()).max(1));
        loop {
            writer.write_all(block.as_bytes())?;
            if matches!(self, Self::Body | Self::Chunks) {
                thread::sleep(BODY_PAUSE);
            }
        }
    }

    /// Sends the same a few bytes a second.
    ///
    /// # Errors
    ///
    /// The connection was closed.
    pub fn drip(self, writer: &mut TcpStream, headers: &str, body: &str) -> std::io::Result<()> {
        writer.write_all(self.start(headers, body).as_bytes())?;
        self.drip_body(writer)
    }

    /// Sends what is repeated a few bytes a second, without what comes before it.
    ///
    /// # Errors
    ///
    /// The connection was closed.
    pub fn drip_body(self, writer: &mut TcpStream) -> std::io::Result<()> {
        for byte in self.unit().bytes().cycle() {
            writer.write_all(&[byte])?;
            thread::sleep(BYTE_PAUSE);
        }
        Ok(())
    }

    /// Returns what comes before the part.
    fn start(self, headers: &str, body: &str) -> String {
        let status = "HTTP/1.1 200 OK\r\n";
        let chunked = "Transfer-Encoding: chunked\r\n\r\n";
        match self {
            Self::StatusLine | Self::Informational => String::new(),
            Self::Headers => status.to_owned(),
            Self::Body | Self::FastBody => format!("{status}{headers}Connection: close\r\n\r\n"),
            Self::Chunks | Self::ChunkSize | Self::FastChunks => {
                format!("{status}{headers}{chunked}")
            }
            Self::Extension => format!("{status}{headers}{chunked}1;"),
            Self::Trailers => format!("{status}{headers}{chunked}1\r\nx\r\n0\r\n"),
            Self::Excess => {
                let length = body.len();
                format!("{status}{headers}Content-Length: {length}\r\n\r\n{body}")
            }
            Self::FastLength => {
                format!("{status}{headers}Content-Length: {}\r\n\r\n", i64::MAX)
            }
        }
    }

    /// Returns what is repeated.
    fn unit(self) -> String {
        match self {
            Self::StatusLine | Self::Body | Self::Excess | Self::FastBody | Self::FastLength => {
                "x".to_owned()
            }
            Self::Headers | Self::Trailers => "Endless: yes\r\n".to_owned(),
            Self::Informational => "HTTP/1.1 103 Early Hints\r\n\r\n".to_owned(),
            Self::Chunks => format!("10\r\n{}\r\n", "x".repeat(16)),
            Self::ChunkSize => "0".to_owned(),
            Self::Extension => "e".to_owned(),
            Self::FastChunks => format!("4000\r\n{}\r\n", "x".repeat(0x4000)),
        }
    }
}
