//! Generates `crates/schema/src/generated` from the files in `schema/`.
//!
//! Run it at the root of the repository: `cargo run -p lavenderflow-schema-gen`.

mod error;
mod messages;
mod settings;

use std::path::Path;

use error::Error;

const SOURCE: &str = "schema";
const TARGET: &str = "crates/schema/src/generated";

fn main() -> Result<(), Error> {
    let target = Path::new(TARGET);
    messages::generate(SOURCE, target)?;
    settings::generate(SOURCE, target)
}
