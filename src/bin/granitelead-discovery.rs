//! Runs the list service (service discovery), or a mirror of it.

use std::process::ExitCode;

fn main() -> ExitCode {
    granitelead_list_service::run()
}
