//! The data plane of the system.

use std::process::ExitCode;

fn main() -> ExitCode {
    granitelead_proxy::run()
}
