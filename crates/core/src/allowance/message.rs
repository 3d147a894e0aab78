//! The messages by which tokens are drawn and granted.

use crate::prelude::*;

/// Numbers the draws of one process.
pub type DrawSerial = u64;
/// Identifies a draw of another node that waits for its grant.
pub type ReplyId = u64;

/// What the receiver of a draw is asked to act as.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DrawRole {
    /// A lender of the sender's zone.
    Lender,
    /// The root of the organisation; a node that is not the root passes the draw on to it.
    Root,
    /// The root, without passing the draw on.
    FinalRoot,
}

/// Asks for tokens of an organisation.
#[derive(Clone, Debug, PartialEq)]
pub struct Draw {
    /// Number that the grant repeats.
    pub serial: DrawSerial,
    /// Organisation.
    pub organisation: OrganisationName,
    /// Number of tokens needed now.
    pub wanted: u32,
    /// Further tokens that a root may add while the organisation is well below its allowance.
    pub ahead: u32,
    /// Role of the receiver.
    pub role: DrawRole,
}

/// The response to a draw.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Grant {
    /// Number of the draw.
    pub serial: DrawSerial,
    /// Number of tokens.
    pub tokens: u32,
    /// Time for which the tokens can be used, counted from when the draw was sent.
    pub life: Duration,
    /// Time after which there will be another token, if there were less than wanted.
    pub retry_after: Duration,
    /// Whether nothing is known of the allowance, because no root can be reached.
    pub unavailable: bool,
}

impl Grant {
    /// Creates a response that says that no root can be reached.
    pub fn unavailable() -> Self {
        Self { unavailable: true, ..Self::default() }
    }
}
