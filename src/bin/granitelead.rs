//! One gatekeeper.

use std::process::ExitCode;

fn main() -> ExitCode {
    granitelead_gatekeeper::run()
}
