//! Conversions between messages and the types of the core.

pub mod configuration;
pub mod gossip;
pub mod request;

/// Why a message cannot be used.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ConvertError {
    /// A field is missing.
    #[error("field {0} is missing")]
    Missing(&'static str),
    /// A field has a value that is not allowed.
    #[error("field {field} has the value {value:?}, which is not {expected}")]
    Invalid {
        /// Name of the field.
        field: &'static str,
        /// The value.
        value: String,
        /// What was expected.
        expected: &'static str,
    },
    /// The text is not JSON of the expected form.
    #[error("malformed JSON: {0}")]
    Json(String),
    /// The value stands under a key that does not fit.
    #[error("the value does not belong under the key {0}")]
    Key(String),
}

impl ConvertError {
    /// Names a field, its value and what was expected.
    pub fn invalid(
        field: &'static str,
        value: &(impl ToString + ?Sized),
        expected: &'static str,
    ) -> Self {
        Self::Invalid { field, value: value.to_string(), expected }
    }
}
