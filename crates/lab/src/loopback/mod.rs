//! The platform on sockets of loopback: stand-ins for resale servers, discovery, counter and clients, around real
//! gatekeepers. Addresses are of 127.0.0.0/8 and nowhere else; every loop ends with its fleet.

pub mod clients;
pub mod counter;
pub mod datagrams;
pub mod demo;
pub mod double;
pub mod faults;
pub mod fleet;
pub mod gatekeeper;
pub mod links;
pub mod process;
pub mod server;
pub mod system;

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

/// Addresses of a rig's own, with ports that the system gives to nobody by itself: below those that it draws from.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Own {
    net: u8,
    port: u16,
}

impl Own {
    /// Those of this process: no two that run have the same.
    pub fn new() -> Own {
        let (a, b) = (std::process::id() % 90, std::process::id() / 90);
        Own { net: 2 + a as u8, port: 10_000 + 2 * (b % 10_000) as u16 }
    }

    fn at(self, from: usize, number: usize) -> SocketAddr {
        let ip = Ipv4Addr::new(127, self.net, (from + number / 250) as u8, 1 + (number % 250) as u8);
        (ip, self.port).into()
    }

    /// Where a gatekeeper listens; its operators' door is at the next port.
    pub fn gatekeeper(self, number: usize) -> SocketAddr {
        self.at(1, number)
    }

    /// Where a server listens.
    pub fn server(self, number: usize) -> SocketAddr {
        self.at(100, number)
    }

    /// Where the list service listens, or a mirror.
    pub fn list(self, number: usize) -> SocketAddr {
        self.at(200, number)
    }

    /// Where a marker listens; its talk with others is at the next port.
    pub fn marker(self, number: usize) -> SocketAddr {
        self.at(202, number)
    }

    /// Where a gatekeeper of the system listens.
    pub fn proxy(self, number: usize) -> SocketAddr {
        self.at(210, number)
    }

    /// Where the counter listens.
    pub fn counter(self) -> SocketAddr {
        self.at(201, 0)
    }
}

/// A listener on an address of loopback.
async fn listener(what: &'static str, at: SocketAddr) -> Result<(TcpListener, SocketAddr), FleetError> {
    let bad = |error| FleetError::Socket { what, error };
    let listener = TcpListener::bind(at).await.map_err(bad)?;
    let at = listener.local_addr().map_err(bad)?;
    Ok((listener, at))
}
