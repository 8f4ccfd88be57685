//! The platform on sockets of loopback: stand-ins for resale servers, discovery, counter and clients, around real
//! gatekeepers. Addresses are of 127.0.0.0/8 and nowhere else; every loop ends with its fleet.

pub mod clients;
pub mod counter;
pub mod demo;
pub mod double;
pub mod faults;
pub mod fleet;
pub mod gatekeeper;
pub mod links;
pub mod process;
pub mod server;

use std::net::{Ipv4Addr, SocketAddr};
use thiserror::Error;
use tokio::net::TcpListener;

/// Why a fleet can't be had.
#[derive(Debug, Error)]
pub enum FleetError {
    /// No socket.
    #[error("{what}: no socket on loopback: {error}")]
    Socket {
        /// For whom.
        what: &'static str,
        /// Why not.
        error: std::io::Error,
    },
    /// A process does not start.
    #[error("{name} does not start: {why}")]
    NoStart {
        /// Which.
        name: String,
        /// What it said, or what failed.
        why: String,
    },
    /// The machine has too little of something.
    #[error("this needs up to {needs} {of}, the system allows {has}")]
    TooMany {
        /// How many.
        needs: u64,
        /// Of what.
        of: &'static str,
        /// How many there may be.
        has: u64,
    },
    /// A gatekeeper ended though nobody told it to.
    #[error("{0}")]
    Ended(String),
    /// Something else of the system's.
    #[error("{0}")]
    System(#[from] std::io::Error),
    /// The report.
    #[error(transparent)]
    Report(#[from] crate::report::ReportError),
}

/// A listener on a free port of loopback.
async fn listener(what: &'static str) -> Result<(TcpListener, SocketAddr), FleetError> {
    let bad = |error| FleetError::Socket { what, error };
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.map_err(bad)?;
    let at = listener.local_addr().map_err(bad)?;
    Ok((listener, at))
}
