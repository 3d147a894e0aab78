//! The command `node`, and the check of its settings.

use std::env;

use lavenderflow_schema::setting::SettingsError;
use lavenderflow_schema::settings::{CheckArgs, NodeArgs, NodeSettings};

use super::CommandError;
use crate::environment::Environment;
use crate::net::tls;

/// Runs a node until it is stopped.
pub fn run(args: &NodeArgs) -> Result<(), CommandError> {
    let settings = read(|name| args.value(name))?;
    Ok(crate::node::run(&settings, &Environment::native(&settings))?)
}

/// Checks settings and keys without starting a node.
pub fn check(args: &CheckArgs) -> Result<(), CommandError> {
    let settings = read(|name| args.value(name))?;
    tls::load(&settings.authority, &settings.certificate, &settings.key, None)?;
    println!("settings of node {} are valid", settings.name);
    Ok(())
}

fn read<'a>(value: impl Fn(&str) -> Option<&'a str>) -> Result<NodeSettings, SettingsError> {
    NodeSettings::read(|name| value(name).map(str::to_owned), |variable| env::var(variable).ok())
}
