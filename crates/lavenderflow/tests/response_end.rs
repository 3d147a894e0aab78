//! The end of a connection is the end of a response only if nothing of the exchange is missing.

mod common;

use bytes::Bytes;
use lavenderflow::net::body::BodyPart;
use tokio::io::AsyncWriteExt;

use common::calls::Ended;
use common::exchange::{Exchange, PART};

/// Guards against a part of a response as a complete one, where the socket closes early (issue 53).
#[tokio::test]
async fn a_response_that_ends_before_its_request_was_sent_is_not_complete() {
    for length in [Some(4 * PART.len() as u64), None] {
        for parts in [0, 1, 3] {
            let mut exchange = Exchange::begin(length).await;
            for _ in 0..parts {
                exchange.upload().await;
            }
            exchange.respond_open(b"part").await;
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
    exchange.stream.peek(&mut [0]).await.expect("a part");
    exchange.respond_open(b"part").await;
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
    exchange.respond_open(&[b'x'; LENGTH]).await;
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
        exchange.respond_open(b"whole").await;
        drop(exchange.stream);
        assert_eq!(exchange.events.end().await, Ended::Response(200, 5), "{length:?}");
    }
}
