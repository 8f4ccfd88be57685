//! The data plane of the system.
//!
//! A gatekeeper takes requests from clients and sends each to a server, by the configuration and the servers that
//! markers push to it. [`gate`] joins what it holds and decides with. A client's connection is accepted in [`listeners`]
//! and kept in [`connections`]; a request of it goes through [`handler`] and [`forward`], whose decisions are in
//! [`request_state`], to a connection of the [`pool`]. [`run`] joins all to sockets and signals; [`shutdown`] ends it.

pub mod break_offs;
pub mod budget;
pub mod client_stream;
pub mod connections;
pub mod control;
pub mod drain;
pub mod forward;
pub mod front;
pub mod gate;
pub mod handler;
pub mod listeners;
pub mod messages;
pub mod metrics;
pub mod pipeline;
pub mod pool;
pub mod request_state;
pub mod room;
pub mod run;
pub mod servers;
pub mod sessions;
pub mod shutdown;
pub mod split;
pub mod tenants;

use std::process::ExitCode;

/// Points in time and spans, ms of a clock that never goes back.
pub type Millis = u64;

const HELP: &str = "\
granitelead-proxy: the data plane of granitelead

USAGE: granitelead-proxy [--help | --version]

Reads the settings file that GRANITELEAD_NODE_FILE names (/etc/granitelead/node.toml without it). SIGHUP reads it
again, SIGTERM answers what is under way and ends. The log is a ring in memory, written to standard error when
something goes wrong.

EXIT STATUS: 0 after SIGTERM, 1 when it can't go on, 2 for settings or a command line that can't be used

EXAMPLE: GRANITELEAD_NODE_FILE=/etc/granitelead/node.toml granitelead-proxy";

/// Runs a gatekeeper; its exit status.
pub fn run() -> ExitCode {
    if let Some(status) = granitelead_common::command::parse_command_line("granitelead-proxy", HELP) {
        return status;
    }
    start()
}

/// Runs a gatekeeper without looking at the command line; its exit status.
pub fn start() -> ExitCode {
    let settings = match granitelead_common::command::initialize("granitelead-proxy") {
        Ok(settings) => settings,
        Err(status) => return status,
    };
    let (Some(front), Some(readiness)) = (settings.front, settings.readiness) else {
        eprintln!("granitelead-proxy: settings: listen-addresses: front and readiness are expected");
        return ExitCode::from(granitelead_common::command::EXIT_INVALID_INPUT);
    };
    granitelead_base::run(
        "granitelead-proxy",
        || Ok::<_, Infallible>(settings),
        |settings| run::serve(settings, front, readiness),
    )
}

use std::convert::Infallible;
