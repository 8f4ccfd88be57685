//! The gatekeeper process: runs a [`granitelead_decisions::Gatekeeper`] on real sockets, passing it events
//! and performing its actions.
//!
//! A module imports only modules that follow it in this list: `lifecycle` (start, reload, upgrade, stop),
//! `operators`, `clients` and `list` (sources of events), `driver` (the decision logic), `peers`
//! (membership), `servers` and `counter` (performing actions), `body`, `telemetry`, `config`, `events`,
//! `timeouts`.

pub mod body;
pub mod clients;
pub mod config;
pub mod counter;
pub mod driver;
pub mod events;
pub mod lifecycle;
pub mod list;
pub mod operators;
pub mod peers;
pub mod servers;
pub mod telemetry;
pub mod timeouts;

pub use lifecycle::run::run;
