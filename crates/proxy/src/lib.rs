//! The data plane of the system.
//!
//! A gatekeeper accepts requests from clients and forwards each to a server, according to the configuration
//! and the list of servers that markers push to it. [`gate`] holds this state and admits requests. Client
//! connections are accepted in [`listeners`] and tracked in [`connections`]. A request passes through
//! [`handler`] and [`forward`], whose decisions are made in [`request_state`], to a connection of the
//! [`pool`]. [`run`] connects all of this with sockets and signals; [`shutdown`] drains and ends the process.

pub mod aborts;
pub mod budget;
pub mod client_stream;
pub mod concurrency_limits;
pub mod connections;
pub mod control;
pub mod drain;
pub mod forward;
pub mod gate;
pub mod handler;
pub mod listeners;
pub mod messages;
pub mod metrics;
pub mod pipeline;
pub mod pool;
pub mod request_state;
pub mod run;
pub mod servers;
pub mod sessions;
pub mod shared_state;
pub mod shutdown;
pub mod split;
pub mod tenants;

use std::process::ExitCode;

/// Points in time and durations, ms of a monotonic clock.
pub type Millis = u64;

const HELP: &str = "\
granitelead-proxy: the data plane of granitelead

USAGE: granitelead-proxy [--help | --version]

Reads the settings file that GRANITELEAD_NODE_FILE names (default /etc/granitelead/node.toml). SIGHUP reloads
it. SIGTERM finishes the requests in flight and exits. The log is a ring buffer in memory, written to standard
error when something goes wrong.

EXIT STATUS: 0 after SIGTERM, 1 after a fatal error, 2 for invalid settings or an invalid command line

EXAMPLE: GRANITELEAD_NODE_FILE=/etc/granitelead/node.toml granitelead-proxy";

/// Parses the command line and runs a gatekeeper; returns the exit status.
pub fn run() -> ExitCode {
    if let Some(status) = granitelead_common::command::parse_command_line("granitelead-proxy", HELP) {
        return status;
    }
    start()
}

/// Runs a gatekeeper without parsing the command line; returns the exit status.
pub fn start() -> ExitCode {
    let settings = match granitelead_common::command::initialize("granitelead-proxy") {
        Ok(settings) => settings,
        Err(status) => return status,
    };
    let (Some(front), Some(readiness)) = (settings.front, settings.readiness) else {
        eprintln!("granitelead-proxy: settings: listen-addresses: front and readiness are required");
        return ExitCode::from(granitelead_common::command::EXIT_INVALID_INPUT);
    };
    granitelead_base::run(
        "granitelead-proxy",
        || Ok::<_, Infallible>(settings),
        |settings| run::serve(settings, front, readiness),
    )
}

use std::convert::Infallible;
