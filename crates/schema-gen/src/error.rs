//! Errors of the generator.

/// A failed run of the generator.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A schema file does not compile.
    #[error("schema: {0}")]
    Compile(#[from] protox::Error),
    /// The file descriptors cannot be loaded.
    #[error("descriptors: {0}")]
    Descriptor(#[from] prost_reflect::DescriptorError),
    /// The generated code cannot be written.
    #[error("output: {0}")]
    Output(#[from] std::io::Error),
    /// A definition is missing from `settings.proto`.
    #[error("settings.proto: {0} is missing")]
    Missing(&'static str),
}
