//! Failures of the generator.

/// Why nothing was generated.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A schema file does not compile.
    #[error("schema: {0}")]
    Compile(#[from] protox::Error),
    /// The descriptors cannot be loaded.
    #[error("descriptors: {0}")]
    Descriptor(#[from] prost_reflect::DescriptorError),
    /// The generated code cannot be written.
    #[error("output: {0}")]
    Output(#[from] std::io::Error),
    /// The settings file lacks the named definition.
    #[error("settings.proto: {0} is missing")]
    Missing(&'static str),
}
