//! Runs the decision logic behind the simulator's text protocol.

use std::process::ExitCode;

fn main() -> ExitCode {
    granitelead_simwire::run()
}
