//! The lavenderflow node and the operators' commands.
//!
//! The decisions are made in `lavenderflow-core`. This crate has the actors that own their state,
//! the tasks and threads that own sockets, and the typed messages between them.

pub mod actor;
pub mod check;
pub mod clock;
pub mod command;
pub mod counter;
pub mod environment;
pub mod error;
pub mod executor;
pub mod explain;
pub mod http;
pub mod logging;
pub mod message;
pub mod net;
pub mod node;
pub mod operator;
pub mod prelude;
pub mod reload;
pub mod shutdown;
pub mod slot;
pub mod status;
pub mod store;
pub mod upstream;
pub mod work;
