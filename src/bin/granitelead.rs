//! Runs a gatekeeper: one gateway process in front of the servers.

use std::process::ExitCode;

fn main() -> ExitCode {
    granitelead_gatekeeper::run()
}
