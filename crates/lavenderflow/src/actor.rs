//! The actors of the main thread; each owns one part of the node's decision state.

pub mod allowance;
pub mod counters;
pub mod entry;
pub mod fleet;
pub mod gate;
pub mod lifecycle;
