//! Stand-ins for the platform's store, the upstreams, the network and the callers.
//!
//! They are for tests and experiments only and are not shipped.

pub mod error;
pub mod fleet;
pub mod http;
pub mod load;
pub mod platform_upstream;
pub mod process;
pub mod proxy;
pub mod store;
pub mod tcp_proxy;
pub mod upstream;
