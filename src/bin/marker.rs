//! The control plane of the system.

use std::process::ExitCode;

fn main() -> ExitCode {
    marker::run()
}
