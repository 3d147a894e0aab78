//! The command `platform`.

use lavenderflow_platform::node_file;

use super::{CommandError, PlatformArgs};
use crate::environment::Environment;
use crate::node;

/// Runs a node on the platform until it is stopped, or checks its settings.
pub fn run(args: &PlatformArgs) -> Result<(), CommandError> {
    let path = node_file::path()?;
    let node_file = node_file::read(&path)?;
    if args.check {
        println!("settings of node {} are valid", node_file.settings.name);
        return Ok(());
    }
    Ok(node::run(&node_file.settings, &Environment::platform(path, &node_file))?)
}
