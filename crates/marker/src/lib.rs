//! The control plane of the system.
//!
//! A marker receives the heartbeats of servers and the calls of operators, replicates the configuration with
//! the other markers, and pushes servers and configuration to the gatekeepers that have sessions with it.
//! [`state`] combines the parts, which are state machines without I/O; [`run`] connects them to sockets, disk
//! and signals.

pub mod agreement;
pub mod calls;
pub mod core;
pub mod duties;
pub mod members;
pub mod pushes;
pub mod registry;
pub mod repair;
pub mod run;
pub mod server_log;
pub mod sessions;
pub mod state;
pub mod store;
pub mod tally;
pub mod types;

use std::process::ExitCode;

const HELP: &str = "\
marker: the control plane of granitelead

USAGE: marker [--help | --version]

Reads the settings file that GRANITELEAD_NODE_FILE names (/etc/granitelead/node.toml without it). SIGHUP reads
it again, SIGTERM hands over and exits. The log is a ring buffer in memory, written to standard error after an
error.

EXIT STATUS: 0 after SIGTERM, 1 after a fatal error, 2 for invalid settings or an invalid command line

EXAMPLE: GRANITELEAD_NODE_FILE=/etc/granitelead/node.toml marker";

/// Parses the command line and runs a marker. Returns the exit status.
pub fn run() -> ExitCode {
    if let Some(status) = granitelead_common::command::parse_command_line("marker", HELP) {
        return status;
    }
    start()
}

/// Runs a marker without parsing the command line. Returns the exit status.
pub fn start() -> ExitCode {
    let settings = match granitelead_common::command::initialize("marker") {
        Ok(settings) => settings,
        Err(status) => return status,
    };
    let Some(control) = settings.control else {
        eprintln!("marker: settings: listen-addresses.control-plane: missing: an address is expected");
        return ExitCode::from(granitelead_common::command::EXIT_INVALID_INPUT);
    };
    granitelead_base::run(
        "marker",
        || Ok::<_, std::convert::Infallible>(settings),
        |settings| run::serve(settings, control),
    )
}
