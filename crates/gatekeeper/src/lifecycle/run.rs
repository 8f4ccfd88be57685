//! Runs one gatekeeper process: reads its configuration, serves until it is stopped, and exits once all
//! requests have been answered.

use crate::clients::http_server::HttpServer;
use crate::config::Config;
use crate::driver::Driver;
use crate::events::StateChange;
use crate::lifecycle::handover::{handover_socket, listen, Predecessor, Upgrade};
use crate::list::{follow, ServerIds};
use crate::operators::admin::AdminServer;
use crate::operators::exclusions::Exclusions;
use crate::peers::Peers;
use crate::timeouts;
use granitelead_base as base;
use granitelead_decisions::ListScope;
use granitelead_list::follower::{Follower, RequestTiming};
use granitelead_list::sources::Sources;
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::watch;
use tokio::task::spawn_local;

/// Shutdown timeout beyond the longest request deadline: by then every request must have been answered.
const STOP_MARGIN: Duration = Duration::from_millis(600);

/// Idle server connections are checked once in this many checks of client connections.
const RETIRE_EVERY: u64 = 4;

/// Runs one gatekeeper, configured by environment variables, until it exits.
pub fn run() -> ExitCode {
    base::run("granitelead", || Config::load(|name| std::env::var(name).ok()), serve)
}

/// Why a gatekeeper fails to start.
#[derive(Debug, Error)]
enum StartError {
    #[error("cannot install signal handlers: {0}")]
    Signals(io::Error),
    #[error("field `{field}`: cannot bind {at}: {error}")]
    Bind { field: &'static str, at: SocketAddr, error: io::Error },
}

/// Builds and connects the components, serves until a termination signal or until a successor has taken
/// over, and returns once all accepted requests have been answered.
async fn serve(config: Config) -> Result<(), StartError> {
    let (mut term, hangup) = (listen_for(SignalKind::terminate())?, listen_for(SignalKind::hangup())?);
    let directory = std::env::var_os("TMPDIR").filter(|directory| !directory.is_empty()).map(PathBuf::from);
    let socket_path = directory.as_deref().map(handover_socket);
    let (listener, predecessor) = clients_listener(config.listen, socket_path.as_deref()).await?;
    let admin_listener = bind_admin(config.admin).await?;

    let driver = Driver::new(&config);
    let side = HttpServer::new(driver.clone(), &config);
    let server_ids = Rc::new(ServerIds::default());
    let exclusions = Exclusions::new(driver.clone(), server_ids.clone(), directory.as_deref());
    let limits = (config.clients_max, config.servers_max);
    let upgrade = Upgrade::new(driver.clone(), side.clone(), server_ids.clone(), exclusions.clone(), limits);

    let peers = start_peers(&config).await?;
    exclusions.reload();
    if let Some(listener) = admin_listener {
        spawn_local(AdminServer::new(side.clone(), exclusions, peers.clone()).run(listener));
    }
    let discovery = follow_list(&config, &driver, &side, server_ids);
    spawn_local(run_counter(driver.clone()));
    spawn_local(reload(hangup, discovery, driver.clone()));
    spawn_local(side.clone().run_queue());
    spawn_local(expire_connections(side.clone(), driver.clone()));
    side.set_accepting(predecessor.is_none());
    let upgrades = spawn_local(handle_upgrades(upgrade, predecessor, listener.clone(), socket_path));

    tokio::select! {
        () = side.accept(&listener) => {}
        () = side.until_drained() => {}
        _ = term.recv() => {}
    }
    driver.events.emit(&StateChange::Stops);
    if let Some(peers) = peers {
        peers.announce_leave().await;
    }
    if !side.is_retired() {
        // The listening socket must not be handed over any more: it closes once its last user has dropped it.
        upgrades.abort();
    }
    side.stop(listener, config.longest_deadline() + STOP_MARGIN).await;
    let (ended, open) = (driver.telemetry.total(), driver.telemetry.inflight());
    eprintln!("granitelead: stopped: {ended:?}, {open} unanswered");
    Ok(())
}

fn listen_for(kind: SignalKind) -> Result<Signal, StartError> {
    signal(kind).map_err(StartError::Signals)
}

/// Takes the listening socket for clients over from the predecessor process, or binds it.
async fn clients_listener(
    at: SocketAddr,
    socket_path: Option<&Path>,
) -> Result<(Rc<TcpListener>, Option<Predecessor>), StartError> {
    let bind = |error| StartError::Bind { field: "listen", at, error };
    let (listener, predecessor) = listen(at, socket_path).await.map_err(bind)?;
    eprintln!("granitelead: listening on {}", listener.local_addr().map_err(bind)?);
    Ok((Rc::new(listener), predecessor))
}

async fn bind_admin(at: Option<SocketAddr>) -> Result<Option<TcpListener>, StartError> {
    let Some(at) = at else { return Ok(None) };
    let bind = |error| StartError::Bind { field: "admin_addr", at, error };
    let listener = TcpListener::bind(at).await.map_err(bind)?;
    eprintln!("granitelead: admin socket on {}", listener.local_addr().map_err(bind)?);
    Ok(Some(listener))
}

/// Starts the membership protocol with the other gatekeepers, if it is configured.
async fn start_peers(config: &Config) -> Result<Option<Rc<Peers>>, StartError> {
    let Some(peers_config) = &config.peers else { return Ok(None) };
    let bind = |error| StartError::Bind { field: "peer_listen", at: peers_config.listen, error };
    let peers = Peers::start(peers_config, config.seed, config.events).await.map_err(bind)?;
    spawn_local(peers.clone().run());
    Ok(Some(peers))
}

/// Applies the server list from the configuration, if there is one, and follows discovery from then on. The
/// returned sender changes the addresses of discovery.
fn follow_list(
    config: &Config,
    driver: &Rc<Driver>,
    side: &Rc<HttpServer>,
    server_ids: Rc<ServerIds>,
) -> watch::Sender<Vec<SocketAddr>> {
    let (discovery, addresses) = watch::channel(config.discovery.clone());
    server_ids.apply(driver, &config.known, ListScope::Cached);
    if !config.known.targets.is_empty() {
        // An outdated list is good enough until discovery answers, which may take long.
        side.set_ready();
    }
    let pace = if config.settings.subscribe {
        RequestTiming::for_shared_service
    } else {
        RequestTiming::for_local_agent
    };
    let pace = pace(config.settings.instances, config.ask_within, config.seed)
        .with_compare_interval(config.discovery_compare);
    let sources = Sources::new(config.discovery.clone(), &config.known);
    let follower = Follower::new(sources, pace, driver.listing.clone());
    let (driver, side, ready) = (driver.clone(), side.clone(), Cell::new(false));
    let updated = driver.clone();
    spawn_local(follow(driver, server_ids, follower, addresses, move || {
        side.set_ready();
        let (rev, epoch) = (updated.listing.rev.get(), updated.listing.epoch.get());
        updated.events.emit(&StateChange::List { rev, epoch });
        if !ready.replace(true) {
            updated.events.emit(&StateChange::Ready);
        }
    }));
    discovery
}

async fn run_counter(driver: Rc<Driver>) {
    driver.counter.run(driver.clone()).await;
}

/// Rereads the addresses of discovery and counter from the file on each SIGHUP.
async fn reload(mut hangup: Signal, discovery: watch::Sender<Vec<SocketAddr>>, driver: Rc<Driver>) {
    while hangup.recv().await.is_some() {
        match Config::reload_addresses(|name| std::env::var(name).ok()) {
            Ok((at, counter)) => {
                eprintln!("granitelead: reloaded: discovery {at:?}, counter {counter:?}");
                discovery.send_if_modified(|current| std::mem::replace(current, at.clone()) != at);
                driver.counter.set_address(counter);
            }
            Err(error) => eprintln!("granitelead: reload failed: {error}"),
        }
    }
}

/// Periodically closes expired connections to clients and idle connections to servers; never returns.
async fn expire_connections(side: Rc<HttpServer>, driver: Rc<Driver>) {
    for round in 1u64.. {
        tokio::time::sleep(timeouts::CHECK_INTERVAL).await;
        side.check_connections();
        if round % RETIRE_EVERY == 0 {
            driver.servers.retire_idle();
        }
    }
}

/// Takes over from the predecessor, if there is one, and then waits for a successor.
async fn handle_upgrades(
    upgrade: Rc<Upgrade>,
    predecessor: Option<Predecessor>,
    listener: Rc<TcpListener>,
    socket_path: Option<PathBuf>,
) {
    if let Some(predecessor) = predecessor {
        upgrade.take_over(predecessor).await;
    }
    if let Some(socket_path) = socket_path {
        upgrade.serve_successors(listener, socket_path).await;
    }
}
