//! Generates messages and configuration with prost.

use std::path::Path;

use crate::error::Error;

const FILES: [&str; 3] = ["wire.proto", "configuration.proto", "state.proto"];
const JSON_ATTRIBUTES: &str = "#[derive(serde::Deserialize, serde::Serialize)]\n\
     #[serde(default, deny_unknown_fields)]";
// A node also reads what another version of this software has stored.
const STATE_ATTRIBUTES: &str = "#[derive(serde::Deserialize, serde::Serialize)]\n\
     #[serde(default)]";

/// Writes one Rust file per protobuf package.
pub fn generate(source: &str, target: &Path) -> Result<(), Error> {
    let files = protox::compile(FILES, [source])?;
    let mut config = prost_build::Config::new();
    config
        .out_dir(target)
        .bytes(["."])
        .type_attribute(".lavenderflow.configuration", JSON_ATTRIBUTES)
        .type_attribute(".lavenderflow.state", STATE_ATTRIBUTES)
        .field_attribute(
            ".lavenderflow.configuration.Stored",
            "#[serde(skip_serializing_if = \"crate::is_default\")]",
        )
        // Nodes of earlier versions reject documents with fields that they do not know.
        .field_attribute(
            ".lavenderflow.configuration.Deployment.unreadable",
            "#[serde(skip_serializing_if = \"crate::is_default\")]",
        );
    config.compile_fds(files)?;
    Ok(())
}
