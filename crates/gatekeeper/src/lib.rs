//! One gatekeeper on real sockets: carries events to the one [`granitelead_decisions::Gatekeeper`], and its
//! actions out.
//!
//! Imports run down this list, never up: `lifecycle` (start, reload, upgrade, stop), `operators`, `clients`
//! and `list` (the sides that bring events), `driver` (which owns the decisions), `peers` (who of the others lives), `servers` and `counter`
//! (the sides that carry actions out), `body`, `telemetry`, `config`, `events`, `times`.

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
pub mod times;

pub use lifecycle::run::run;
