//! Conversions between messages and the types of the core crate.

pub mod allowance;
pub mod configuration;
pub mod gossip;
pub mod request;
pub mod state;

/// An error in a message or a stored value.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ConvertError {
    /// A required field is missing.
    #[error("field {0} is missing")]
    Missing(&'static str),
    /// A field has a value that is not allowed.
    #[error("field {field} has the value {value:?}, which is not {expected}")]
    Invalid {
        /// Field name.
        field: &'static str,
        /// Rejected value.
        value: String,
        /// Description of valid values.
        expected: &'static str,
    },
    /// The text is not valid JSON or does not match the schema.
    #[error("malformed JSON: {0}")]
    Json(String),
    /// The value does not match its key.
    #[error("the value does not match the key {0}")]
    KeyMismatch(String),
}

impl ConvertError {
    /// Creates an error for a field with an invalid value.
    pub fn invalid(
        field: &'static str,
        value: &(impl ToString + ?Sized),
        expected: &'static str,
    ) -> Self {
        Self::Invalid { field, value: value.to_string(), expected }
    }
}
