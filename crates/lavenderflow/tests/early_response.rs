//! Upstreams may answer before they have read a request, and read on then.

mod common;

use bytes::Bytes;
use lavenderflow::net::body::BodyPart;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::timeout;

use common::calls::Ended;
use common::exchange::{Exchange, HEAD, PART, read_head};
use common::scripted::TEST_TIMEOUT;

const LENGTH: u64 = 4 * PART.len() as u64;

const ANSWER: &str = "Content-Length: 0\r\n\r\n";
const REFUSAL: &str = "Lavenderflow-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

/// Begins a call whose response, with these last headers, ends after the first part of its request.
async fn respond_early(headers: &str) -> Exchange {
    let mut exchange = Exchange::begin(Some(LENGTH)).await;
    exchange.upload().await;
    let response = HEAD.to_owned() + headers;
    exchange.write(response.as_bytes()).await;
    exchange.events.wait_end().await;
    exchange
}

/// Makes a call that the upstream gets on a new connection.
async fn call_beside(exchange: &Exchange) {
    let beside = exchange.calls.call("b");
    let upstream = async {
        let (mut stream, _) = exchange.listener.accept().await.expect("a connection");
        read_head(&mut stream).await;
        let response = HEAD.replace(": a\r\n", ": b\r\n") + "Content-Length: 0\r\n\r\n";
        stream.write_all(response.as_bytes()).await.expect("a connection");
        stream
    };
    let (ended, _stream) = tokio::join!(beside, upstream);
    assert_eq!(ended, Ended::Response(200, 0));
}

/// Guards against an upload that the next request cuts although its caller has a success (review/8).
#[tokio::test]
async fn a_request_does_not_cut_an_upload_that_has_its_response() {
    for headers in [ANSWER, REFUSAL] {
        check_upload(respond_early(headers).await).await;
    }
}

/// Checks that an upload goes on beside another request, and its connection carries further ones.
async fn check_upload(mut exchange: Exchange) {
    call_beside(&exchange).await;
    for _ in 0..3 {
        exchange.upload().await;
    }
    let _ = exchange.body.send(BodyPart::End).await;
    // The connection is used again once the request has been written.
    let mut is_reused = false;
    while !is_reused {
        let next = exchange.calls.call("c");
        let upstream = async {
            let (mut accepted, mut byte) = (None, [0]);
            let stream = tokio::select! {
                stream = exchange.listener.accept() => &mut accepted.insert(stream.expect("one")).0,
                // Unlike readable, this waits for bytes.
                _ = exchange.stream.peek(&mut byte) => &mut exchange.stream,
            };
            read_head(stream).await;
            let headers = "Connection: close\r\nContent-Length: 0\r\n\r\n";
            let response = HEAD.replace(": a\r\n", ": c\r\n") + headers;
            stream.write_all(response.as_bytes()).await.expect("a connection");
            accepted.is_none()
        };
        let (ended, is_first) = tokio::join!(next, upstream);
        assert_eq!(ended, Ended::Response(200, 0));
        is_reused = is_first;
    }
}

/// Guards against a stop that cuts an upload whose response has been sent.
#[tokio::test]
async fn an_upload_that_has_its_response_is_unfinished_work() {
    let mut exchange = respond_early(ANSWER).await;
    let work = exchange.calls.work.clone();
    assert_eq!(work.unfinished(), 1);
    for _ in 0..3 {
        exchange.upload().await;
    }
    let finished = async {
        while work.unfinished() > 0 {
            tokio::task::yield_now().await;
        }
    };
    timeout(TEST_TIMEOUT, finished).await.expect("in time");
}

/// Guards against an upload that is cut by the announced end of its connection.
#[tokio::test]
async fn an_upload_goes_on_where_its_response_closes_the_connection() {
    for headers in [ANSWER, REFUSAL] {
        let mut exchange = respond_early(&format!("Connection: close\r\n{headers}")).await;
        for _ in 0..3 {
            exchange.upload().await;
        }
        let read = timeout(TEST_TIMEOUT, exchange.stream.read(&mut [0; 1])).await;
        assert!(matches!(read, Ok(Ok(0))), "{read:?}");
    }
}

/// Guards against a connection that stays open for an upload that its caller has given up.
#[tokio::test]
async fn an_upload_that_breaks_off_after_an_early_answer_closes_its_connection() {
    let mut exchange = respond_early(ANSWER).await;
    drop(exchange.body);
    let read = timeout(TEST_TIMEOUT, exchange.stream.read(&mut [0; 1])).await.expect("in time");
    assert!(matches!(read, Ok(0) | Err(_)), "{read:?}");
}

/// Guards against a body that never ends: the connection is held only up to the deadline.
#[tokio::test]
async fn an_upload_that_stalls_after_an_early_answer_ends_at_its_deadline() {
    let mut exchange = respond_early(ANSWER).await;
    exchange.body.send(BodyPart::Data(Bytes::from_static(PART))).await.expect("a call");
    exchange.read(PART.len()).await;
    let read = timeout(2 * TEST_TIMEOUT, exchange.stream.read(&mut [0; 1])).await.expect("in time");
    assert!(matches!(read, Ok(0) | Err(_)), "{read:?}");
}
