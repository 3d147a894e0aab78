//! Repeated, late and stray responses on a reused connection to an upstream.

mod common;

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;

use lavenderflow_core::reason::Reason;

use common::calls::{Calls, Ended};

/// What the upstream writes to a request: its id, the number of its connection, and its number on
/// that connection, from zero.
type Script = fn(&str, usize, usize) -> String;

fn refusal(id: &str) -> String {
    format!(
        "HTTP/1.1 503 Full\r\nLavenderflow-Request-Id: {id}\r\nLavenderflow-Not-Executed: 1\r\n\
         Content-Length: 0\r\n\r\n"
    )
}

fn response(status: u16, id: &str) -> String {
    format!(
        "HTTP/1.1 {status} status\r\nLavenderflow-Request-Id: {id}\r\n\
         Lavenderflow-Server-Signature: signed\r\nContent-Length: 0\r\n\r\n"
    )
}

/// Starts an upstream whose connections follow a script.
fn start_upstream(script: Script) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("an address");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for (connection, stream) in listener.incoming().map_while(Result::ok).enumerate() {
            thread::spawn(move || serve(stream, connection, script));
        }
    });
    address
}

/// Serves requests without a body until the connection ends.
fn serve(stream: TcpStream, connection: usize, script: Script) -> Option<()> {
    let mut writer = stream.try_clone().ok()?;
    let mut lines = BufReader::new(stream).lines().map_while(Result::ok);
    for number in 0.. {
        let head: Vec<String> = lines.by_ref().take_while(|line| !line.is_empty()).collect();
        let id = head.iter().find_map(|line| line.strip_prefix("lavenderflow-request-id: "))?;
        writer.write_all(script(id, connection, number).as_bytes()).ok()?;
    }
    None
}

/// Guards against a 503 for a request that ran, from the refusal of an earlier attempt (review/6).
#[tokio::test]
async fn a_repeated_refusal_does_not_answer_a_later_attempt() {
    let address = start_upstream(|id, connection, number| match (connection, number) {
        (0, 0 | 1) => refusal(id),
        (0, _) => refusal("a") + &response(200, id),
        _ => response(200, id),
    });
    let calls = Calls::start(address);
    assert_eq!(calls.call("a").await, Ended::NotRun(Reason::Shed));
    assert_eq!(calls.call("b").await, Ended::NotRun(Reason::Shed));
    assert_eq!(calls.call("a").await, Ended::Response(200, 0));
}

/// Guards against the repeated response of one run as the answer of a later run under the same id.
#[tokio::test]
async fn a_repeated_response_does_not_answer_a_request_with_the_same_id() {
    let address = start_upstream(|id, connection, number| match (connection, number) {
        (0, 0) => response(500, id),
        (0, _) => response(500, id) + &response(200, id),
        _ => response(200, id),
    });
    let calls = Calls::start(address);
    assert_eq!(calls.call("a").await, Ended::Response(500, 0));
    assert_eq!(calls.call("a").await, Ended::Response(200, 0));
}

/// Guards against a record of requests that grows with the age of a connection.
#[tokio::test]
async fn a_connection_carries_a_bounded_number_of_requests() {
    const REQUESTS: usize = 1024;
    let address = start_upstream(|id, connection, _| response(200 + connection as u16, id));
    let calls = Calls::start(address);
    for number in 0..2 * REQUESTS {
        let status = 200 + (number / REQUESTS) as u16;
        assert_eq!(calls.call(&number.to_string()).await, Ended::Response(status, 0));
    }
}

/// Guards against a status that HTTP does not have as an answer (issue 53).
#[tokio::test]
async fn a_status_below_100_is_no_answer() {
    for status in [0, 99] {
        let address = start_upstream(match status {
            0 => |id, _, _| response(0, id).replace(" 0 ", " 000 "),
            _ => |id, _, _| response(99, id).replace(" 99 ", " 099 "),
        });
        assert_eq!(Calls::start(address).call("a").await, Ended::Unknown, "{status}");
    }
}

/// Guards against a stray response as the answer to the next request on its connection (review/7).
#[tokio::test]
async fn a_response_without_an_id_is_no_answer_on_a_reused_connection() {
    const UNNAMED: &str = "HTTP/1.1 500 Error\r\nLavenderflow-Server-Signature: signed\r\n\
                           Content-Length: 0\r\n\r\n";
    let address = start_upstream(|id, connection, number| match (connection, number) {
        (0, 0) | (1.., _) => response(200, id),
        (0, _) => UNNAMED.to_owned() + &response(200, id),
    });
    let calls = Calls::start(address);
    assert_eq!(calls.call("a").await, Ended::Response(200, 0));
    // The request has run, and its own response can no longer be told from a stray one.
    assert_eq!(calls.call("b").await, Ended::Unknown);
    assert_eq!(calls.call("c").await, Ended::Response(200, 0));
}

/// A connection that has carried nothing else has no stray responses.
#[tokio::test]
async fn a_failure_without_an_id_is_an_answer_on_a_new_connection() {
    let address = start_upstream(|_, _, _| {
        "HTTP/1.1 500 Error\r\nConnection: close\r\nContent-Length: 0\r\n\r\n".to_owned()
    });
    let calls = Calls::start(address);
    for id in ["a", "b"] {
        assert_eq!(calls.call(id).await, Ended::Response(500, 0));
    }
}
