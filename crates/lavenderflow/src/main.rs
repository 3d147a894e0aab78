//! The `lavenderflow` binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    lavenderflow::command::main()
}
