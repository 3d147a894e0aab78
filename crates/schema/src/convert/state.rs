//! Conversions of the state that nodes keep in the store.

use lavenderflow_core::upstream::{EndedLifetime, Lifetime};

use super::ConvertError;
use crate::state;

/// Encodes ended lifetimes as JSON.
///
/// # Examples
///
/// ```
/// use lavenderflow_core::upstream::{EndedLifetime, Lifetime};
/// use lavenderflow_schema::convert::state;
///
/// let lifetime = Lifetime { generation: 1_700_000_000_000, sequence: 4 };
/// let ended = vec![EndedLifetime { upstream: "i-1".into(), lifetime }];
/// let text = state::encode_ended(&ended);
/// assert_eq!(state::decode_ended(&text)?, ended);
/// # Ok::<(), lavenderflow_schema::convert::ConvertError>(())
/// ```
pub fn encode_ended(ended: &[EndedLifetime]) -> String {
    let lifetimes = ended.iter().map(|ended| state::EndedLifetime {
        upstream: ended.upstream.to_string(),
        generation: ended.lifetime.generation,
        sequence: ended.lifetime.sequence,
    });
    let value = state::EndedLifetimes { lifetimes: lifetimes.collect() };
    serde_json::json!(value).to_string()
}

/// Decodes ended lifetimes from JSON.
///
/// # Errors
///
/// Returns an error if the text is malformed.
pub fn decode_ended(text: &str) -> Result<Vec<EndedLifetime>, ConvertError> {
    let value: state::EndedLifetimes =
        serde_json::from_str(text).map_err(|fault| ConvertError::Json(fault.to_string()))?;
    let lifetimes = value.lifetimes.into_iter().map(|ended| EndedLifetime {
        upstream: ended.upstream.into(),
        lifetime: Lifetime { generation: ended.generation, sequence: ended.sequence },
    });
    Ok(lifetimes.collect())
}
