//! Invalid input is refused with a reason and counted, and the node continues to serve.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::time::Duration;

use common::{Site, SiteConfig, revision};
use lavenderflow::command::keys;
use lavenderflow::net::tls::{self, SERVER_NAME};
use lavenderflow::operator::ConfigKind;
use lavenderflow::store::Store;
use lavenderflow_standins::fleet::{NodeProcess, NodeSettings, free_udp_port, wait_until};
use quinn::{Connection, Endpoint};

/// Method, path, headers, status and reason.
type Case<'a> = (&'a str, &'a str, &'a [(&'a str, &'a str)], u16, &'a str);

fn send_raw(address: SocketAddr, text: &str) -> String {
    let mut stream = TcpStream::connect(address).expect("a connection");
    stream.set_read_timeout(Some(Duration::from_secs(10))).expect("a timeout");
    stream.write_all(text.as_bytes()).expect("a request");
    let mut response = [0; 512];
    let length = stream.read(&mut response).unwrap_or_default();
    String::from_utf8_lossy(&response[..length]).into_owned()
}

fn assert_serves(site: &Site) {
    let response = site.call(0, "GET", "/work", &[], "").expect("a response");
    assert_eq!((response.status, response.outcome()), (200, "ran"));
}

#[test]
fn bad_requests_are_refused_and_counted() {
    let site = Site::start(SiteConfig::default());
    let long = "a".repeat(20_000);
    let cases: [Case; 6] = [
        ("GET", "/work", &[("x-long", &long)], 431, "headers-too-large"),
        ("POST", "/work", &[("lavenderflow-ticket", "nonsense")], 400, "ticket-invalid"),
        ("POST", "/work", &[("lavenderflow-ticket", "1-2-3-4")], 400, "ticket-invalid"),
        ("GET", "/work", &[("lavenderflow-deadline-ms", "soon")], 400, "bad-request"),
        ("GET", "/elsewhere", &[], 404, "no-route"),
        ("GET", "/.lavenderflow/other", &[], 404, "no-route"),
    ];
    for (method, path, headers, status, reason) in cases {
        let response = site.call(0, method, path, headers, "").expect("a response");
        assert_eq!(
            (response.status, response.outcome(), response.reason()),
            (status, "not-run", reason)
        );
    }
    let response = send_raw(site.nodes[0].settings.callers, "GET /work HTTP/1.0\r\n\r\n");
    assert!(response.contains("bad-request"), "{response}");
    assert_eq!(site.counter(0, "fault.caller"), 5);
    assert_eq!(site.counter(0, "entry.refused.no-route"), 2);
    send_raw(site.nodes[0].settings.callers, "\u{1}\u{2}garbage\r\n\r\n");
    let lengths = [
        "content-length: x",
        "content-length: -1",
        "content-length: 1\r\ncontent-length: 2",
        "transfer-encoding: gzip",
    ];
    for field in lengths {
        let text = format!("POST /work HTTP/1.1\r\nhost: node\r\n{field}\r\n\r\n0\r\n\r\n");
        send_raw(site.nodes[0].settings.callers, &text);
    }
    assert_serves(&site);
    // Only the request of `assert_serves` reached an upstream.
    assert_eq!(site.run_counts().values().sum::<u32>(), 1);
}

#[test]
fn a_chunked_body_with_a_length_is_refused_and_does_not_run() {
    // RFC 9112, section 6.3, lets a server use the transfer coding or refuse the request. The
    // sender may have used the length (request smuggling), so the node refuses the request and does
    // not parse the bytes after its head as another request.
    let site = Site::start(SiteConfig::default());
    let fields = "content-length: 5\r\ntransfer-encoding: chunked\r\nhost: node";
    let text = format!("POST /work HTTP/1.1\r\n{fields}\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
    let response = send_raw(site.nodes[0].settings.callers, &text);
    assert!(response.starts_with("HTTP/1.1 400"), "{response}");
    assert_eq!(response.matches("HTTP/1.1").count(), 1, "{response}");
    assert_eq!(site.run_counts().len(), 0);
    assert_serves(&site);
}

#[test]
fn a_ticket_that_was_never_issued_is_not_run() {
    let site = Site::start(SiteConfig::default());
    let ticket = site.ticket(0);
    let (issued, _) = ticket.rsplit_once('-').expect("a ticket");
    let future = format!("{issued}-ffff");
    let headers = [("lavenderflow-ticket", future.as_str())];
    let response = site.call(1, "POST", "/work", &headers, "x").expect("a response");
    // The home node can still issue this ticket, so `not-run` might become false.
    assert_eq!((response.outcome(), response.reason()), ("unknown", "ticket-invalid"));
    assert_eq!(site.run_counts().len(), 0);
}

#[test]
fn bad_announcements_are_refused_and_counted() {
    let site = Site::start(SiteConfig::default());
    let url = format!("http://{}/v1/upstreams", site.nodes[0].settings.admin);
    let good = r#""id":"u","service":"s","address":"127.0.0.1:1","slots":1,"phase":"serving","lease_ms":1000"#;
    let cases = [
        "{".to_owned(),
        "[]".to_owned(),
        format!("{{{good},\"color\":1}}"),
        format!("{{{}}}", good.replace("127.0.0.1:1", "localhost")),
        format!("{{{}}}", good.replace("\"slots\":1", "\"slots\":0")),
        format!("{{{}}}", good.replace("serving", "sleeping")),
        format!("{{{}}}", good.replace("\"id\":\"u\"", "\"id\":\"\"")),
        format!("{{{}}}", good.replace("1000", "5")),
    ];
    let agent = common::agent();
    for case in &cases {
        let response = common::call(&agent, "POST", &url, &[], case).expect("a response");
        assert_eq!(response.status, 400, "{case}");
    }
    wait_until("all announcements are counted", || {
        site.counter(0, "fault.announcement") == cases.len() as u64
    })
    .expect("counts");
    assert_serves(&site);
}

#[test]
fn malformed_configuration_keeps_the_last_valid_one_active() {
    let site = Site::start(SiteConfig::default());
    let store = Store::new(site.store.address());
    let entry = store.get("config/routes/work").expect("the store").expect("a route");
    let bad = [
        "nonsense".to_owned(),
        entry.value.replace("\"prefix\"", "\"prefixx\""),
        entry.value.replace("/work", "work"),
    ];
    let mut base = entry.revision;
    for value in &bad {
        base = store.compare_and_swap("config/routes/work", value, base).expect("a change");
        wait_until("the value is rejected", || {
            let status = site.nodes[0].status().expect("a status");
            status["rejected"].as_array().is_some_and(|list| !list.is_empty())
        })
        .expect("a rejection");
        assert_serves(&site);
    }
    let good = entry.value.replace("\"revision\":1", "\"revision\":2");
    store.compare_and_swap("config/routes/work", &good, base).expect("a change");
    wait_until("the valid value is active on all nodes", || {
        site.nodes.iter().all(|node| revision(node, "routes/work") == Some(2))
    })
    .expect("a new revision");
    let status = site.nodes[0].status().expect("a status");
    assert!(status["rejected"].as_array().is_some_and(Vec::is_empty));
}

#[test]
fn a_wrong_value_is_refused_before_it_is_stored() {
    let site = Site::start(SiteConfig::default());
    let operator = site.operator("test");
    for field in
        ["caution.floor_percent=101", "caution.color=1", "patience=3", "forgiveness.attempts=0"]
    {
        let assignment = lavenderflow::operator::Assignment::parse(field).expect("a field");
        assert!(operator.set(ConfigKind::Profile, "test", &[assignment]).is_err(), "{field}");
    }
    assert_eq!(operator.show(ConfigKind::Profile, "test").expect("a profile").revision, 1);
}

#[test]
fn a_node_of_another_certificate_authority_cannot_join() {
    let site = Site::start(SiteConfig::default());
    let directory = site.keys.join("other");
    keys::generate(&directory, ["stranger"]).expect("keys");
    let mut settings =
        NodeSettings::new("stranger", "zone-a", site.store.address(), &directory).expect("ports");
    settings.seeds = vec![site.nodes[0].settings.peers];
    let stranger = NodeProcess::start(common::binary(), settings).expect("a node");
    wait_until("a handshake fails", || {
        site.nodes.iter().enumerate().any(|(i, _)| site.counter(i, "fault.handshake") > 0)
    })
    .expect("a failure");
    let status = stranger.status().expect("a status");
    assert_eq!(status["members"].as_array().map(Vec::len), Some(1));
    let status = site.nodes[0].status().expect("a status");
    assert_eq!(status["members"].as_array().map(Vec::len), Some(3));
    assert_serves(&site);
}

async fn connect(site: &Site) -> (Endpoint, Connection) {
    let file = |name: &str| site.keys.join(name);
    let (_, client) = tls::load(&file("authority.pem"), &file("vm-0.pem"), &file("vm-0.key"), None)
        .expect("keys");
    let mut endpoint = Endpoint::client(free_udp_port().expect("a port")).expect("an endpoint");
    endpoint.set_default_client_config(client);
    let connecting = endpoint.connect(site.nodes[0].settings.peers, SERVER_NAME);
    let connection = connecting.expect("a connection attempt").await.expect("a connection");
    (endpoint, connection)
}

#[test]
fn bad_frames_are_refused_and_counted() {
    let site = Site::start(SiteConfig::default());
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let (_endpoint, connection) = connect(&site).await;
        let frames: [&[u8]; 4] = [
            &[0x7f, 0xff, 0xff, 0xff],       // Exceeds the maximum length.
            &[0, 0, 0, 3, 0xff, 0xff, 0xff], // Not a protobuf message.
            &[0, 0, 0, 2, 0x7a, 0],          // An unknown field.
            &[0, 0, 0, 2, 0x2a, 0],          // An `End` without a `Begin`.
        ];
        for frame in frames {
            let (mut sink, mut source) = connection.open_bi().await.expect("a stream");
            sink.write_all(frame).await.expect("a frame");
            sink.finish().expect("an open stream");
            assert_eq!(source.read_to_end(100).await.unwrap_or_default().len(), 0);
        }
    });
    wait_until("all frames are counted", || {
        site.counter(0, "fault.frame-size") == 1 && site.counter(0, "fault.frame") == 3
    })
    .expect("counts");
    assert_serves(&site);
}

#[test]
fn a_node_serves_requests_after_garbage_datagrams() {
    let site = Site::start(SiteConfig::default());
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a socket");
    for length in 0..1200_usize {
        let packet: Vec<u8> = (0..length).map(|i| (i * 7 + length) as u8).collect();
        socket.send_to(&packet, site.nodes[0].settings.peers).expect("a packet");
    }
    assert_serves(&site);
}
