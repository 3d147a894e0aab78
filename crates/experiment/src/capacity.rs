//! Slopes for docs/CAPACITY.md: what nodes spend on control as the fleet grows.

use argh::FromArgs;

use crate::error::Error;

/// measure what nodes spend on control
#[derive(FromArgs)]
#[argh(subcommand, name = "capacity")]
pub struct Arguments {}

/// Measures and prints a table.
pub fn run(_: &Arguments) -> Result<(), Error> {
    Ok(())
}
