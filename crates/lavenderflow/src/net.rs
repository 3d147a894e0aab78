//! The network task: QUIC between nodes, and the requests that it carries.

pub mod body;
pub mod connector;
pub mod context;
pub mod drive;
pub mod endpoint;
pub mod key;
pub mod link;
pub mod ping;
pub mod serve;
