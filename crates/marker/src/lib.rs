//! The control plane of the system.
//!
//! A marker takes the beats of servers and the calls of operators, keeps the configuration together with the other
//! markers, and pushes both to the gatekeepers that hold sessions with it. [`state`] joins the parts, which are state
//! machines without input or output of their own; [`run`] joins them to sockets, disk and signals.

pub mod agreement;
pub mod calls;
pub mod core;
pub mod duties;
pub mod members;
pub mod parts;
pub mod pushes;
pub mod registry;
pub mod repair;
pub mod run;
pub mod sessions;
pub mod state;
pub mod store;
pub mod tally;

use std::process::ExitCode;

const HELP: &str = "\
marker: the control plane of granitelead

USAGE: marker [--help | --version]

Reads the settings file that GRANITELEAD_NODE_FILE names (/etc/granitelead/node.toml without it). SIGHUP reads it
again, SIGTERM hands over and ends. The log is a ring in memory, written to standard error when something goes wrong.

EXIT STATUS: 0 after SIGTERM, 1 when it can't go on, 2 for settings or a command line that can't be used

EXAMPLE: GRANITELEAD_NODE_FILE=/etc/granitelead/node.toml marker";

/// Runs a marker; its exit status.
pub fn run() -> ExitCode {
    if let Some(status) = granitelead_common::command::parse_command_line("marker", HELP) {
        return status;
    }
    start()
}

/// Runs a marker without looking at the command line; its exit status.
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
        |s| run::serve(s, control),
    )
}
