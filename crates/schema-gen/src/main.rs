//! Generates `crates/schema/src/generated` from the files in `schema/`.
//!
//! Run from the root of the repository: `cargo run -p lavenderflow-schema-gen`.

mod error;
mod layouts;
mod messages;
mod settings;

use std::path::Path;

use error::Error;

const SCHEMA_DIR: &str = "schema";
const OUTPUT_DIR: &str = "crates/schema/src/generated";

fn main() -> Result<(), Error> {
    let target = Path::new(OUTPUT_DIR);
    messages::generate(SCHEMA_DIR, target)?;
    layouts::generate(SCHEMA_DIR, target)?;
    settings::generate(SCHEMA_DIR, target)
}
