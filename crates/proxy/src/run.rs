//! Runs a gatekeeper: joins its state machines to sockets and signals.

use crate::connections::ClientConnections;
use crate::control::Control;
use crate::front::Front;
use crate::gate::Gate;
use crate::listeners::{accept_clients, tell_readiness};
use crate::pool::ConnectionPool;
use crate::sessions::Sessions;
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

/// How often idle connections and the settings file are looked at.
const SWEEP: Duration = Duration::from_secs(1);
/// Descriptors that are kept for what is not a client's connection or a server's.
const DESCRIPTORS: u64 = 300;
/// Part of the memory that bodies of requests may take.
const BODIES_PART: usize = 4;

/// Why a gatekeeper ends.
#[derive(Debug, Snafu)]
pub enum Failure {
    /// An address can't be listened at.
    #[snafu(display("{address}: {source}"))]
    Listen {
        /// Which.
        address: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
    /// A signal can't be waited for.
    #[snafu(display("signals: {source}"))]
    Signals {
        /// Why.
        source: std::io::Error,
    },
}

async fn listen(address: SocketAddrV4) -> Result<TcpListener, Failure> {
    let address = SocketAddr::from(address);
    TcpListener::bind(address).await.context(ListenSnafu { address })
}

fn seed_addresses(settings: &Settings) -> Vec<Ipv4Addr> {
    settings.seeds.iter().map(|seed| *seed.ip()).collect()
}

/// Runs a gatekeeper until it is told to end.
///
/// # Errors
///
/// Why it can't go on.
pub async fn serve(
    settings: Settings,
    front_at: SocketAddrV4,
    readiness: SocketAddrV4,
) -> Result<(), Failure> {
    // Before anything is listened at: a signal that comes early must find a process that ends in order.
    let mut terminate = signal(SignalKind::terminate()).context(SignalsSnafu)?;
    let hang_up = signal(SignalKind::hangup()).context(SignalsSnafu)?;
    let control = Control::new(&settings.name, &settings.zone, seed_addresses(&settings), fastrand::u64(..));
    let gate = Gate::new(control, &settings.zone, &settings.bounds, fastrand::u64(..));
    let connections_max = settings.descriptors.saturating_sub(DESCRIPTORS).max(64) as usize / 2;
    let held_max = settings.memory_mb as usize * (1 << 20) / BODIES_PART;
    let front = Rc::new(Front::new(gate, ConnectionPool::new(connections_max), held_max));
    let connections = Rc::new(ClientConnections::default());
    let (listener, readiness_listener) = (listen(front_at).await?, listen(readiness).await?);
    let stop_accepting = Rc::new(Notify::new());
    spawn_local(accept_clients(
        front.clone(),
        connections.clone(),
        listener,
        connections_max,
        stop_accepting.clone(),
    ));
    spawn_local(tell_readiness(front.clone(), readiness_listener));
    let sessions = Sessions::new(front.clone(), settings.internal_port);
    spawn_local(sessions.clone().run());
    tokio::select! {
        _ = terminate.recv() => {}
        () = look_after(&front, &connections, hang_up) => {}
    }
    let report = shut_down(&front, &connections, &stop_accepting, settings.bounds.grace).await;
    sessions.leave().await;
    granitelead_common::logs::write_line(&format!(
        "granitelead-proxy: ends: {report}; broken off: {}",
        front.break_offs
    ));
    Ok(())
}

/// Reads the settings file again, each second and at SIGHUP, and closes what has been idle for too long.
async fn look_after(front: &Front, connections: &ClientConnections, mut hang_up: Signal) {
    loop {
        tokio::select! {
            _ = hang_up.recv() => {}
            () = tokio::time::sleep(SWEEP) => {}
        }
        match settings::load() {
            Ok(settings) => front.gate.borrow_mut().control.reseed(seed_addresses(&settings)),
            Err(faults) => log::warn!("settings, which stay as they were: {faults}"),
        }
        let limits = front.gate.borrow().configuration.as_ref().map(|c| c.limits.clone()).unwrap_or_default();
        connections.close_stale(limits.header_timeout, limits.idle_timeout);
        front.pool.sweep(|_| true);
    }
}
