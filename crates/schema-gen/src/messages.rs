//! Generates messages and configuration with prost.

use std::path::Path;

use crate::error::Error;

const JSON_ATTRIBUTES: &str = "#[derive(serde::Deserialize, serde::Serialize)]\n\
     #[serde(default, deny_unknown_fields)]";

/// Writes one Rust file per protobuf package.
pub fn generate(source: &str, target: &Path) -> Result<(), Error> {
    let files = protox::compile(["wire.proto", "configuration.proto"], [source])?;
    let mut config = prost_build::Config::new();
    config
        .out_dir(target)
        .bytes(["."])
        .type_attribute(".lavenderflow.configuration", JSON_ATTRIBUTES)
        .field_attribute(
            ".lavenderflow.configuration.Stored",
            "#[serde(skip_serializing_if = \"crate::is_default\")]",
        );
    config.compile_fds(files)?;
    Ok(())
}
