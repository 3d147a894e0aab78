//! The decision logic of lavenderflow.
//!
//! Each role of a node is a state machine with one entry point: [`entry::Entry`] routes requests
//! and reports their outcomes, [`gate::Gate`] admits requests to upstreams, [`roster::Roster`]
//! holds the membership and [`catalog::Catalog`] the configuration. Events are method calls and
//! actions are returned as values. The clock and the random generator are passed in; this crate
//! has no sockets, threads or codecs.

mod admission;
pub mod allowance;
pub mod budget;
pub mod catalog;
pub mod change;
pub mod clock;
pub mod connections;
pub mod deployment_change;
pub mod drain_rate;
pub mod entry;
pub mod fair_share;
pub mod fleet_level;
pub mod floor;
pub mod freshness;
pub mod gate;
pub mod gossip;
pub mod gray_failure;
pub mod hedge;
pub mod id;
pub mod latency;
pub mod lease;
pub mod ledger;
pub mod load;
pub mod memory;
pub mod node;
pub mod organisation;
pub mod outlier;
pub mod peer_connections;
pub mod pending;
pub mod pool;
pub mod prelude;
pub mod profile;
pub mod progress;
pub mod queue;
pub mod rate_limit;
pub mod reason;
pub mod request;
pub mod response_size;
pub mod rings;
pub mod roster;
pub mod route;
pub mod selector;
pub mod service_level;
pub mod subset;
pub mod table;
pub mod ticket;
pub mod timeout_history;
pub mod upstream;
pub mod window;
