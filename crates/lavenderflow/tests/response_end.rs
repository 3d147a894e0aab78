//! The end of a connection is the end of a response only if nothing of the exchange is missing.

mod common;

use bytes::Bytes;
use lavenderflow::net::body::BodyPart;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

use common::calls::{Calls, Ended, Events};

const HEAD: &str = "HTTP/1.1 200 OK\r\nLavenderflow-Request-Id: a\r\n\
                    Lavenderflow-Server-Signature: signed\r\nConnection: close\r\n\r\n";
const PART: &[u8] = &[b'x'; 8192];

/// An upstream that has read the head of a call's request, of whose body nothing has been sent.
struct Exchange {
    stream: TcpStream,
    body: mpsc::Sender<BodyPart>,
    events: Events,
    is_chunked: bool,
}

impl Exchange {
    async fn begin(length: Option<u64>) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("an address");
        let calls = Calls::start(listener.local_addr().expect("an address"));
        let (body, rest) = mpsc::channel(2);
        let events = calls.begin("a", Some(rest), length).await;
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(stream.read_u8().await.expect("a head"));
        }
        Self { stream, body, events, is_chunked: length.is_none() }
    }

    async fn respond(&mut self, body: &[u8]) {
        self.stream.write_all(HEAD.as_bytes()).await.expect("a connection");
        self.stream.write_all(body).await.expect("a connection");
    }

    /// Sends a part of the request and waits until the upstream has read it.
    async fn upload(&mut self) {
        self.body.send(BodyPart::Data(Bytes::from_static(PART))).await.expect("a call");
        let framing = if self.is_chunked { "2000\r\n\r\n".len() } else { 0 };
        self.read(PART.len() + framing).await;
    }

    async fn read(&mut self, length: usize) {
        self.stream.read_exact(&mut vec![0; length]).await.expect("a part");
    }
}

/// Guards against a part of a response as a complete one: the upstream answered an upload at once,
/// without a length, and closed its socket before it had the body (issue 53).
#[tokio::test]
async fn a_response_that_ends_before_its_request_was_sent_is_not_complete() {
    for length in [Some(4 * PART.len() as u64), None] {
        for parts in [0, 1, 3] {
            let mut exchange = Exchange::begin(length).await;
            for _ in 0..parts {
                exchange.upload().await;
            }
            exchange.respond(b"part").await;
            let Exchange { stream, body, events, .. } = exchange;
            drop(stream);
            // The rest of the upload comes after the end of the connection.
            let rest = tokio::spawn(async move {
                for _ in parts..4 {
                    let _ = body.send(BodyPart::Data(Bytes::from_static(PART))).await;
                }
                let _ = body.send(BodyPart::End).await;
            });
            assert_eq!(events.end().await, Ended::Unknown, "{length:?}, {parts} parts");
            rest.await.expect("the caller");
        }
    }
}

/// Guards against a reset connection as the end of a response, where the whole request was written.
#[tokio::test]
async fn a_response_before_a_reset_is_not_complete() {
    let mut exchange = Exchange::begin(Some(PART.len() as u64)).await;
    exchange.body.send(BodyPart::Data(Bytes::from_static(PART))).await.expect("a call");
    exchange.stream.readable().await.expect("a part");
    exchange.respond(b"part").await;
    // A socket that is closed with unread bytes resets its connection.
    drop(exchange.stream);
    assert_eq!(exchange.events.end().await, Ended::Unknown);
}

/// Guards against a reset that the kernel hides behind the end of the stream from those who read.
#[tokio::test]
async fn a_response_whose_end_is_followed_by_a_reset_is_not_complete() {
    const LENGTH: usize = 200_000;
    let mut exchange = Exchange::begin(Some(PART.len() as u64)).await;
    exchange.upload().await;
    // The response is read only after the reset.
    exchange.respond(&[b'x'; LENGTH]).await;
    exchange.stream.shutdown().await.expect("a connection");
    exchange.stream.set_zero_linger().expect("a socket");
    drop(exchange.stream);
    assert_eq!(exchange.events.end().await, Ended::Unknown);
}

#[tokio::test]
async fn a_response_that_ends_with_its_connection_is_complete() {
    for length in [Some(2 * PART.len() as u64), None] {
        let mut exchange = Exchange::begin(length).await;
        exchange.upload().await;
        exchange.upload().await;
        let _ = exchange.body.send(BodyPart::End).await;
        if exchange.is_chunked {
            exchange.read("0\r\n\r\n".len()).await;
        }
        exchange.respond(b"whole").await;
        drop(exchange.stream);
        assert_eq!(exchange.events.end().await, Ended::Response(200, 5), "{length:?}");
    }
}
