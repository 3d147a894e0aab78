//! The HTTP servers for callers, operators and the upstreams on the same VM.

pub mod admin;
pub mod admission;
pub mod announcements;
mod body;
pub mod callers;
pub mod header;
pub mod listen;
pub mod metrics;
pub mod native;
pub mod port;
pub mod ready;
mod request_check;
pub mod request_head;
pub mod response;
pub mod server;
pub mod unanswered;
