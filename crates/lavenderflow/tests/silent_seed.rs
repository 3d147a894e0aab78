//! A seed that accepts connections and does not answer.

mod common;

use std::net::SocketAddr;

use common::scripted::Node;
use lavenderflow::message::{FleetMessage, Message};
use lavenderflow::net::connector::Connector;
use lavenderflow::net::ping;
use lavenderflow::net::tls::self_signed;
use lavenderflow_core::gossip::Exchange;
use quinn::Endpoint;

/// Guards against a seed that is never contacted again since it has not answered the first time.
#[tokio::test]
async fn a_seed_that_accepts_and_does_not_answer_is_given_up() {
    let (server, client) = self_signed(None).expect("keys");
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let seed = Endpoint::server(server, any).expect("a socket");
    let address = seed.local_addr().expect("an address");
    tokio::spawn(async move {
        let connection = seed.accept().await.expect("a node").await.expect("a node");
        let stream = connection.accept_bi().await;
        std::future::pending::<()>().await;
        drop(stream);
    });
    let mut node = Node::new();
    let mut endpoint = Endpoint::client(any).expect("a socket");
    endpoint.set_default_client_config(client);
    node.context.connector = Connector::start(endpoint, node.context.mailbox.clone());
    tokio::spawn(ping::contact(node.context.clone(), address, Exchange::default()));
    loop {
        if let Message::Fleet(FleetMessage::SeedContacted(seed, response)) = node.message().await {
            assert_eq!((seed, response.is_none()), (address, true));
            return;
        }
    }
}
