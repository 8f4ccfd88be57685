//! The list service, or a mirror of one.

use std::process::ExitCode;

fn main() -> ExitCode {
    granitelead_list_service::run()
}
