//! Types that most modules import.

pub use lavenderflow_core::prelude::*;

pub use crate::counter::{Counter, Fault, Stage};
pub use crate::message::{Mailbox, Message};
