//! Conversions of draws and grants.

use std::time::Duration;

use lavenderflow_core::allowance::message::{Draw, DrawRole, Grant};
use lavenderflow_core::allowance::root::LONG_TOKEN_LIFE;

use super::ConvertError;
use super::request::micros;
use crate::wire;

/// Longest time to the next token that is taken over from a peer, so that instants computed from it
/// cannot overflow. A rate of one request an hour needs as much.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(3600);

impl From<Draw> for wire::Draw {
    fn from(draw: Draw) -> Self {
        let role = match draw.role {
            DrawRole::Lender => wire::DrawRole::Lender,
            DrawRole::Root => wire::DrawRole::Root,
            DrawRole::FinalRoot => wire::DrawRole::FinalRoot,
        };
        Self {
            serial: draw.serial,
            organisation: draw.organisation.to_string(),
            wanted: draw.wanted,
            ahead: draw.ahead,
            role: role.into(),
        }
    }
}

impl TryFrom<wire::Draw> for Draw {
    type Error = ConvertError;

    fn try_from(draw: wire::Draw) -> Result<Self, Self::Error> {
        let role = match draw.role() {
            wire::DrawRole::Lender => DrawRole::Lender,
            wire::DrawRole::Root => DrawRole::Root,
            wire::DrawRole::FinalRoot => DrawRole::FinalRoot,
            wire::DrawRole::Unspecified => return Err(ConvertError::Missing("role")),
        };
        let organisation = draw.organisation.into();
        let (serial, wanted, ahead) = (draw.serial, draw.wanted, draw.ahead);
        Ok(Self { serial, organisation, wanted, ahead, role })
    }
}

impl From<Grant> for wire::Grant {
    fn from(grant: Grant) -> Self {
        Self {
            serial: grant.serial,
            tokens: grant.tokens,
            life_us: micros(grant.life),
            retry_after_us: micros(grant.retry_after),
            unavailable: grant.unavailable,
        }
    }
}

impl From<wire::Grant> for Grant {
    fn from(grant: wire::Grant) -> Self {
        Self {
            serial: grant.serial,
            tokens: grant.tokens,
            // No token lives longer, whatever a peer says.
            life: Duration::from_micros(grant.life_us).min(LONG_TOKEN_LIFE),
            retry_after: Duration::from_micros(grant.retry_after_us).min(MAX_RETRY_AFTER),
            unavailable: grant.unavailable,
        }
    }
}
