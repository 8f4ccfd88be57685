//! Runs a marker: one node of the control plane.

use std::process::ExitCode;

fn main() -> ExitCode {
    marker::run()
}
