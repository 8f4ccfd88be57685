//! Runs the data plane: the proxy that forwards client requests.

use std::process::ExitCode;

fn main() -> ExitCode {
    granitelead_proxy::run()
}
