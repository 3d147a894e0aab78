//! `platform`.

use lavenderflow_platform::placement;

use super::{CommandError, PlatformArgs};
use crate::node;
use crate::site::Site;

/// Runs a node on the platform until it is stopped, or checks its settings.
pub fn run(args: &PlatformArgs) -> Result<(), CommandError> {
    let path = placement::path()?;
    let placement = placement::read(&path)?;
    if args.check {
        println!("settings of node {} are valid", placement.settings.name);
        return Ok(());
    }
    Ok(node::run(&placement.settings, &Site::platform(path, &placement))?)
}
