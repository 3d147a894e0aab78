//! QUIC connections between nodes, and the requests and gossip that they carry.

pub mod body;
pub mod connector;
pub mod context;
pub mod draw;
pub mod drive;
pub mod endpoint;
pub mod frame_reader;
pub mod link;
pub mod ping;
pub mod serve;
pub mod tls;
