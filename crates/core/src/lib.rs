//! The decisions of lavenderflow.
//!
//! Each job of a node is a state machine with one entry point: [`entry::Entry`] decides where a
//! request goes and answers for it, [`gate::Gate`] admits work to upstreams, [`roster::Roster`]
//! keeps the membership and [`catalog::Catalog`] the configuration. Events go in as method calls
//! and actions come out as values. The clock and the random generator are passed in; there are no
//! sockets, threads or codecs here.

mod admission;
pub mod budget;
pub mod catalog;
pub mod change;
pub mod clock;
pub mod doubt;
pub mod entry;
pub mod floor;
pub mod gate;
pub mod gossip;
pub mod id;
pub mod lease;
pub mod ledger;
pub mod load;
pub mod node;
pub mod pool;
pub mod prelude;
pub mod profile;
pub mod queue;
pub mod reason;
pub mod request;
pub mod rings;
pub mod roster;
pub mod route;
pub mod selector;
pub mod strain;
pub mod survival;
pub mod table;
pub mod ticket;
pub mod upstream;
pub mod window;
pub mod witness;
