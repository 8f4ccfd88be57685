//! Runs a gatekeeper: connects its state machines with sockets and signals.

use crate::connections::ClientConnections;
use crate::control::Control;
use crate::gate::Gate;
use crate::listeners::{accept_clients, serve_readiness};
use crate::pool::ConnectionPool;
use crate::sessions::Sessions;
use crate::shared_state::SharedState;
use crate::shutdown::shut_down;
use granitelead_common::settings::{self, Settings};
use snafu::{ResultExt, Snafu};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::Notify;
use tokio::task::spawn_local;

/// Interval of the checks for idle connections and of reloading the settings file.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_secs(1);
/// File descriptors reserved for uses other than connections of clients and servers.
const RESERVED_DESCRIPTORS: u64 = 300;
/// Request bodies may take one part in this many of the memory.
const BODY_MEMORY_DIVISOR: usize = 4;

/// Why a gatekeeper can't run.
#[derive(Debug, Snafu)]
pub enum ServeError {
    /// Listening on an address failed.
    #[snafu(display("{address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// Installing a signal handler failed.
    #[snafu(display("signals: {source}"))]
    Signals {
        /// The error of the operating system.
        source: std::io::Error,
    },
}

async fn listen(address: SocketAddrV4) -> Result<TcpListener, ServeError> {
    let address = SocketAddr::from(address);
    TcpListener::bind(address).await.context(ListenSnafu { address })
}

fn seed_addresses(settings: &Settings) -> Vec<Ipv4Addr> {
    settings.seeds.iter().map(|seed| *seed.ip()).collect()
}

/// Runs a gatekeeper until SIGTERM and the shutdown that follows.
///
/// # Errors
///
/// An address can't be listened on, or a signal handler can't be installed.
pub async fn serve(
    settings: Settings,
    front_address: SocketAddrV4,
    readiness_address: SocketAddrV4,
) -> Result<(), ServeError> {
    // Before listening on any address, so that an early signal leads to an orderly shutdown too.
    let mut terminate = signal(SignalKind::terminate()).context(SignalsSnafu)?;
    let hang_up = signal(SignalKind::hangup()).context(SignalsSnafu)?;
    let control = Control::new(&settings.name, &settings.zone, seed_addresses(&settings), fastrand::u64(..));
    let gate = Gate::new(control, &settings.zone, &settings.bounds, fastrand::u64(..));
    let connections_max = settings.descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(64) as usize / 2;
    let buffered_bytes_max = settings.memory_mb as usize * (1 << 20) / BODY_MEMORY_DIVISOR;
    let shared = Rc::new(SharedState::new(gate, ConnectionPool::new(connections_max), buffered_bytes_max));
    let connections = Rc::new(ClientConnections::default());
    let (listener, readiness_listener) = (listen(front_address).await?, listen(readiness_address).await?);
    let stop_accepting = Rc::new(Notify::new());
    spawn_local(accept_clients(
        shared.clone(),
        connections.clone(),
        listener,
        connections_max,
        stop_accepting.clone(),
    ));
    spawn_local(serve_readiness(shared.clone(), readiness_listener));
    let sessions = Sessions::new(shared.clone(), settings.internal_port);
    spawn_local(sessions.clone().run());
    tokio::select! {
        _ = terminate.recv() => {}
        () = run_housekeeping(&shared, &connections, hang_up) => {}
    }
    let report = shut_down(&shared, &connections, &stop_accepting, settings.bounds.grace).await;
    sessions.announce_shutdown().await;
    granitelead_common::logs::write_line(&format!(
        "granitelead-proxy: exits: {report}; aborted attempts: {}",
        shared.aborts
    ));
    Ok(())
}

/// Reloads the settings file, each second and at SIGHUP, and closes connections that have been idle for too
/// long.
async fn run_housekeeping(shared: &SharedState, connections: &ClientConnections, mut hang_up: Signal) {
    loop {
        tokio::select! {
            _ = hang_up.recv() => {}
            () = tokio::time::sleep(HOUSEKEEPING_INTERVAL) => {}
        }
        match settings::load() {
            Ok(settings) => shared.gate.borrow_mut().control.reseed(seed_addresses(&settings)),
            Err(faults) => {
                log::warn!("settings file not reloaded, the former settings stay in force: {faults}")
            }
        }
        let limits =
            shared.gate.borrow().configuration.as_ref().map(|c| c.limits.clone()).unwrap_or_default();
        connections.close_stale(limits.header_timeout, limits.idle_timeout);
        shared.pool.sweep(|_| true);
    }
}
