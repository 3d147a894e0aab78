//! One exchange of a call with an upstream that a test plays.

use bytes::Bytes;
use lavenderflow::net::body::BodyPart;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

use super::calls::{Calls, Events};

/// Headers of a response to the call, without those for its length.
pub const HEAD: &str = "HTTP/1.1 200 OK\r\nLavenderflow-Request-Id: a\r\n\
                        Lavenderflow-Server-Signature: signed\r\n";
/// A part of a request body.
pub const PART: &[u8] = &[b'x'; 8192];

/// An upstream that has read the head of a call's request, of whose body nothing has been sent.
pub struct Exchange {
    pub calls: Calls,
    pub listener: TcpListener,
    pub stream: TcpStream,
    pub body: mpsc::Sender<BodyPart>,
    pub events: Events,
    pub is_chunked: bool,
}

impl Exchange {
    pub async fn begin(length: Option<u64>) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("an address");
        let calls = Calls::start(listener.local_addr().expect("an address"));
        let (body, rest) = mpsc::channel(2);
        let events = calls.begin("a", Some(rest), length).await;
        let (mut stream, _) = listener.accept().await.expect("a connection");
        read_head(&mut stream).await;
        Self { calls, listener, stream, body, events, is_chunked: length.is_none() }
    }

    /// Sends a response that ends with the connection.
    pub async fn respond_open(&mut self, body: &[u8]) {
        let head = HEAD.to_owned() + "Connection: close\r\n\r\n";
        self.write(&[head.as_bytes(), body].concat()).await;
    }

    pub async fn write(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).await.expect("a connection");
    }

    /// Sends a part of the request and waits until the upstream has read it.
    pub async fn upload(&mut self) {
        self.body.send(BodyPart::Data(Bytes::from_static(PART))).await.expect("a call");
        let framing = if self.is_chunked { "2000\r\n\r\n".len() } else { 0 };
        self.read(PART.len() + framing).await;
    }

    pub async fn read(&mut self, length: usize) {
        self.stream.read_exact(&mut vec![0; length]).await.expect("a part");
    }
}

/// Reads a request up to the end of its headers.
pub async fn read_head(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.expect("a head"));
    }
    String::from_utf8_lossy(&head).into_owned()
}
