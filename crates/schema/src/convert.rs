//! Conversions between messages and the types of the core crate.

pub mod allowance;
pub mod configuration;
pub mod deployment;
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
    /// A field has a value that is not allowed and may contain a key, so that it is not shown.
    #[error("field {field} is not {expected}")]
    InvalidSecret {
        /// Field name.
        field: &'static str,
        /// Description of valid values.
        expected: &'static str,
    },
    /// An entry of a document cannot be used.
    #[error("{entry}: {fault}")]
    Entry {
        /// Kind and name of the entry, such as `routes/r-1`.
        entry: String,
        /// The first error in the entry.
        fault: Box<Self>,
    },
    /// The value does not match its key.
    #[error("the value does not match the key {0}")]
    KeyMismatch(String),
}

impl ConvertError {
    /// Returns the name of the field with the error, if it is known.
    pub fn field(&self) -> Option<&'static str> {
        match self {
            Self::Missing(field)
            | Self::Invalid { field, .. }
            | Self::InvalidSecret { field, .. } => Some(field),
            Self::Entry { fault, .. } => fault.field(),
            Self::Json(_) | Self::KeyMismatch(_) => None,
        }
    }

    /// Adds the kind and name of the entry with the error.
    #[must_use]
    pub fn in_entry(self, entry: impl Into<String>) -> Self {
        Self::Entry { entry: entry.into(), fault: Box::new(self) }
    }

    /// Creates an error for a field with an invalid value.
    pub fn invalid(
        field: &'static str,
        value: &(impl ToString + ?Sized),
        expected: &'static str,
    ) -> Self {
        Self::Invalid { field, value: value.to_string(), expected }
    }
}
