//! Messages between nodes, stored configuration and settings of a node.
//!
//! The types are generated from the files in `schema/`; see `crates/schema-gen`.

pub mod convert;
pub mod credential;
pub mod dialect;
pub mod layout;
pub mod setting;

/// Messages between nodes.
#[allow(clippy::all, clippy::doc_markdown, missing_docs, unused_qualifications)]
pub mod wire {
    include!("generated/lavenderflow.wire.rs");
}

/// Layouts of the messages between nodes.
pub mod layouts {
    include!("generated/layouts.rs");
}

/// Configuration that operators keep in the store.
#[allow(clippy::all, clippy::doc_markdown, missing_docs, unused_qualifications)]
pub mod configuration {
    include!("generated/lavenderflow.configuration.rs");
}

/// State that nodes keep in the store.
#[allow(clippy::all, clippy::doc_markdown, missing_docs, unused_qualifications)]
pub mod state {
    include!("generated/lavenderflow.state.rs");
}

/// Settings of a node.
#[allow(clippy::doc_markdown)]
pub mod settings {
    include!("generated/settings.rs");
}

/// Returns whether a field can be omitted from JSON.
fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}
