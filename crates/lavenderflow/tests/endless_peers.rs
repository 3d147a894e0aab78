//! Other nodes whose frames and streams do not end.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use common::caller::Caller;
use common::deployment::{Deployment, Vm};
use lavenderflow::net::link::MAX_FRAME_BYTES;
use lavenderflow::net::tls::{SERVER_NAME, self_signed};
use lavenderflow_standins::platform_upstream::response_body;
use quinn::{Connection, Endpoint};
use serde_json::{Value, json};
use tokio::task::spawn_blocking;
use tokio::time::{Instant, sleep, timeout};

/// Memory that the nodes may use, which the tests check as a bound.
const MEMORY_MB: u64 = 40;
/// Streams on which a frame does not end.
const STREAMS: usize = 96;
/// Connections that the peer opens.
const CONNECTIONS: usize = 400;
/// Time for which the peer sends.
const SEND_TIME: Duration = Duration::from_secs(3);

fn peer_address(vm: &Vm) -> SocketAddr {
    let text = std::fs::read(&vm.settings_file).expect("a settings file");
    let settings: Value = serde_json::from_slice(&text).expect("settings");
    let port = settings["internal_ports"][0].as_u64().expect("a port");
    SocketAddr::from(([127, 0, 0, 1], u16::try_from(port).expect("a port")))
}

async fn connect(vm: &Vm) -> (Endpoint, Connection) {
    let (_, client) = self_signed(None).expect("keys");
    let mut endpoint = Endpoint::client(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a socket");
    endpoint.set_default_client_config(client);
    let connecting = endpoint.connect(peer_address(vm), SERVER_NAME).expect("an address");
    (endpoint, connecting.await.expect("a connection"))
}

async fn assert_serves(vm: &Vm, id: String) {
    let (address, body) = (vm.outbound, response_body(&id));
    let call = spawn_blocking(move || {
        let mut caller = Caller::connect(address).expect("a node");
        caller.request("GET", "/read/a", &id, b"").expect("a response")
    });
    assert_eq!(call.await.expect("a call").text(), body);
}

#[tokio::test]
async fn frames_of_a_peer_that_never_end_stay_within_the_memory_of_a_node() {
    let limits = json!({"memory_mb": MEMORY_MB, "max_fds": 1024});
    let deployment = Deployment::start_limited(2, limits);
    let (_endpoint, connection) = connect(&deployment.vms[0]).await;
    let length = u32::try_from(MAX_FRAME_BYTES).expect("a length");
    let mut frame = length.to_be_bytes().to_vec();
    frame.resize(MAX_FRAME_BYTES, 0);
    let frame = Bytes::from(frame);
    for _ in 0..STREAMS {
        let (mut sink, source) = connection.open_bi().await.expect("a stream");
        let frame = frame.clone();
        tokio::spawn(async move {
            // The node may reset the stream.
            let _ = sink.write_chunk(frame).await;
            std::future::pending::<()>().await;
            drop(source);
        });
    }
    let started = Instant::now();
    let mut peak = 0;
    let mut served = 0;
    while started.elapsed() < SEND_TIME {
        assert_serves(&deployment.vms[0], format!("beside-{served}")).await;
        served += 1;
        peak = deployment.vms[0].process.resident_bytes().expect("a node").max(peak);
        sleep(Duration::from_millis(20)).await;
    }
    assert!(peak < MEMORY_MB << 20, "{peak} bytes");
}

/// Guards against messages of two bytes that take a hundred times that once decoded.
#[tokio::test]
async fn an_exchange_of_empty_records_stays_within_the_memory_of_a_node() {
    let limits = json!({"memory_mb": MEMORY_MB, "max_fds": 1024});
    let deployment = Deployment::start_limited(2, limits);
    let (_endpoint, connection) = connect(&deployment.vms[0]).await;
    // Field 7 of a frame is an exchange, whose fields 3, 4, 5, 11 and 13 are records.
    for field in [3u8, 4, 5, 11, 13] {
        let records = [field << 3 | 2, 0].repeat(MAX_FRAME_BYTES / 2 - 8);
        let mut exchange = vec![7 << 3 | 2];
        prost::encode_length_delimiter(records.len(), &mut exchange).expect("a length");
        exchange.extend_from_slice(&records);
        let length = u32::try_from(exchange.len()).expect("a length");
        let frame = [length.to_be_bytes().to_vec(), exchange].concat();
        let (mut sink, mut source) = connection.open_bi().await.expect("a stream");
        let mut peak = 0;
        // The node may stop reading.
        let _ = sink.write_all(&frame).await;
        let _ = sink.finish();
        let ended = timeout(SEND_TIME, source.read_to_end(MAX_FRAME_BYTES));
        tokio::pin!(ended);
        while timeout(Duration::from_millis(5), &mut ended).await.is_err() {
            peak = deployment.vms[0].process.resident_bytes().expect("a node").max(peak);
        }
        assert!(peak < MEMORY_MB << 20, "field {field}: {peak} bytes");
        assert_serves(&deployment.vms[0], format!("after-{field}")).await;
    }
}

/// Guards against connections of other nodes without a limit, each of which takes memory.
#[tokio::test]
async fn connections_of_a_peer_without_end_stay_within_the_memory_of_a_node() {
    let limits = json!({"memory_mb": MEMORY_MB, "max_fds": 1024});
    let deployment = Deployment::start_limited(2, limits);
    let vm = &deployment.vms[0];
    let (_, client) = self_signed(None).expect("keys");
    let mut endpoint = Endpoint::client(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a socket");
    endpoint.set_default_client_config(client);
    let mut connections = Vec::new();
    let mut peak = 0;
    for index in 0..CONNECTIONS {
        let connecting = endpoint.connect(peer_address(vm), SERVER_NAME).expect("an address");
        // The node may refuse the connection.
        connections.extend(timeout(SEND_TIME, connecting).await.into_iter().flatten());
        peak = vm.process.resident_bytes().expect("a node").max(peak);
        if index % 100 == 0 {
            assert_serves(vm, format!("beside-{index}")).await;
        }
    }
    println!("{} connections, {peak} bytes", connections.len());
    assert!(peak < MEMORY_MB << 20, "{peak} bytes with {} connections", connections.len());
}

#[tokio::test]
async fn streams_on_which_a_peer_sends_nothing_end() {
    let deployment = Deployment::start(2);
    let (_endpoint, connection) = connect(&deployment.vms[0]).await;
    let (mut sink, mut source) = connection.open_bi().await.expect("a stream");
    // The first byte opens the stream at the other end.
    sink.write_all(&[0]).await.expect("a stream");
    let ended = timeout(Duration::from_secs(8), source.read(&mut [0; 16])).await;
    assert!(ended.is_ok(), "the stream is still open");
}
