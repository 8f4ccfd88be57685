//! The list service: servers register with it, and gatekeepers watch the list of servers. It runs as the
//! primary, which stores the list, or as a mirror of another list service.

mod change_feed;
mod connection_table;
mod http;
mod registry;
mod service;
mod store;

use change_feed::Position;
use granitelead_list::follower::{Follower, ListStatus, RequestTiming};
use granitelead_list::messages::HostList;
use granitelead_list::sources::Sources;
use http::HttpServer;
use lexopt::{Arg, Parser, ValueExt};
use registry::Registry;
use service::{unix_ms, Service};
use std::ffi::OsString;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use store::{Store, LOG_SIZE_MAX};
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;
use tokio::task::spawn_local;

const USAGE: &str = "usage: granitelead-discovery --listen ADDRESS (--data DIRECTORY | --mirror-of ADDRESS)
    [--settle-ms N] [--guard-ms N] [--connections N] [--new]";
/// Default time that servers have to register again after the list was lost, in ms.
const SETTLE_MS: u64 = 10_000;
/// Default time for which servers stay listed when most of them are silent, in ms.
const GUARD_MS: u64 = 60_000;
/// Maximum of both times, in ms.
const DURATION_MAX_MS: u64 = 3_600_000;
/// Default for the maximum number of connections.
const CONNECTIONS_DEFAULT: usize = 900;
/// Accepted range for the maximum number of connections.
const CONNECTIONS_RANGE: (usize, usize) = (8, 60_000);
/// Time in which a mirror has to repeat a failed request.
const MIRROR_REQUEST_WINDOW: Duration = Duration::from_secs(2);

/// The command line options.
struct Options {
    listen: SocketAddr,
    source: Source,
    settle_time: Duration,
    guard_ms: u64,
    connections: usize,
    /// Whether this is the first start, so that no list can have been lost.
    is_new: bool,
}

/// Why the command line is invalid.
#[derive(Debug, Error)]
enum OptionError {
    #[error("{0}")]
    Parse(#[from] lexopt::Error),
    #[error("unexpected argument `{0}`")]
    UnexpectedArgument(String),
    #[error("{name}: {error}")]
    Value { name: String, error: lexopt::Error },
    #[error("unknown option {0}")]
    UnknownOption(String),
    #[error("exactly one of --data and --mirror-of is required")]
    MissingSource,
    #[error("--listen is required")]
    MissingListen,
    #[error("--settle-ms and --guard-ms must be at most {0}")]
    DurationTooLong(u64),
    #[error("--connections must be from {0} to {1}")]
    Connections(usize, usize),
}

/// Why the service exits with a failure.
#[derive(Debug, Error)]
enum ServeError {
    #[error("can't install a signal handler: {0}")]
    Signals(io::Error),
    #[error("--data {path}: {error}")]
    DataDirectory { path: String, error: io::Error },
    #[error("--listen {address}: {error}")]
    Listen { address: SocketAddr, error: io::Error },
    #[error("the task that writes to disk failed: {0}")]
    Disk(#[from] tokio::task::JoinError),
}

/// Where the list comes from.
enum Source {
    /// Servers register with this process, which stores the list in this directory.
    DataDirectory(PathBuf),
    /// The list service at this address is mirrored.
    Mirror(SocketAddr),
}

impl Options {
    /// Parses the command line; returns none if only the help text was requested.
    fn parse(mut parser: Parser) -> Result<Option<Options>, OptionError> {
        let (mut listen, mut data_dir, mut mirror_of, mut is_new) = (None, None, None, false);
        let (mut settle_ms, mut guard_ms, mut connections) = (SETTLE_MS, GUARD_MS, CONNECTIONS_DEFAULT);
        while let Some(argument) = parser.next()? {
            let name = match &argument {
                Arg::Long(name) => format!("--{name}"),
                Arg::Short(name) => format!("-{name}"),
                Arg::Value(value) => {
                    return Err(OptionError::UnexpectedArgument(value.to_string_lossy().into_owned()))
                }
            };
            let mut value = || parser.value();
            let invalid_value = |error| OptionError::Value { name: name.clone(), error };
            match name.as_str() {
                "--listen" => listen = Some(value()?.parse().map_err(invalid_value)?),
                "--data" => data_dir = Some(PathBuf::from(value()?)),
                "--mirror-of" => mirror_of = Some(value()?.parse().map_err(invalid_value)?),
                "--settle-ms" => settle_ms = value()?.parse().map_err(invalid_value)?,
                "--guard-ms" => guard_ms = value()?.parse().map_err(invalid_value)?,
                "--connections" => connections = value()?.parse().map_err(invalid_value)?,
                "--new" => is_new = true,
                "--help" | "-h" => return Ok(None),
                _ => return Err(OptionError::UnknownOption(name)),
            }
        }
        let source = match (data_dir, mirror_of) {
            (Some(data_dir), None) => Source::DataDirectory(data_dir),
            (None, Some(address)) => Source::Mirror(address),
            _ => return Err(OptionError::MissingSource),
        };
        let listen = listen.ok_or(OptionError::MissingListen)?;
        if settle_ms > DURATION_MAX_MS || guard_ms > DURATION_MAX_MS {
            return Err(OptionError::DurationTooLong(DURATION_MAX_MS));
        }
        let (min, max) = CONNECTIONS_RANGE;
        if !(min..=max).contains(&connections) {
            return Err(OptionError::Connections(min, max));
        }
        let settle_time = Duration::from_millis(settle_ms);
        Ok(Some(Options { listen, source, settle_time, guard_ms, connections, is_new }))
    }
}

/// Runs the list service with the options of the command line until it is terminated.
pub fn run() -> ExitCode {
    granitelead_base::run("granitelead-discovery", || Options::parse(Parser::from_env()), serve)
}

/// Runs the list service with these arguments in place of those of the command line.
pub fn run_with(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    granitelead_base::run("granitelead-discovery", || Options::parse(Parser::from_args(arguments)), serve)
}

async fn serve(options: Option<Options>) -> Result<(), ServeError> {
    let Some(options) = options else {
        println!("{USAGE}");
        return Ok(());
    };
    let mut term = signal(SignalKind::terminate()).map_err(ServeError::Signals)?;
    let (service, store) = match &options.source {
        Source::DataDirectory(data_dir) => {
            let open_error =
                |error| ServeError::DataDirectory { path: data_dir.display().to_string(), error };
            let (service, store) = open(data_dir, &options).map_err(open_error)?;
            (service, Some(store))
        }
        Source::Mirror(address) => (mirror(*address), None),
    };
    let listen_error = |error| ServeError::Listen { address: options.listen, error };
    let listener = TcpListener::bind(options.listen).await.map_err(listen_error)?;
    let bound = listener.local_addr().map_err(listen_error)?;
    let server = HttpServer::new(service.clone(), options.connections);
    spawn_local(service.clone().expire_leases());
    spawn_local(server.accept(listener));
    eprintln!("granitelead-discovery: listening on {bound}");
    let writes = async {
        match store {
            Some(store) => Ok(service.write_changes(store).await?),
            None => std::future::pending().await,
        }
    };
    // Changes are on disk before they are published, so there is nothing to flush on shutdown.
    tokio::select! {
        failed = writes => failed,
        _ = term.recv() => Ok(()),
    }
}

/// Opens the data directory and restores the list. If the directory is empty or damaged, a new epoch is
/// started.
fn open(data_dir: &std::path::Path, options: &Options) -> std::io::Result<(Rc<Service>, Store)> {
    let (mut state, lock) = Store::read(data_dir)?;
    let mut was_list_lost = false;
    let epoch = match state.epoch.filter(|_| state.damage.is_none()) {
        Some(epoch) => epoch,
        None => {
            // Versions that were published and are lost were below the current time in ms and had another
            // epoch.
            let now = unix_ms();
            let epoch = now.max(state.epoch.map_or(0, |epoch| epoch + 1));
            (state.rev, state.lease) = (now.max(state.rev + 1), now.max(state.lease + 1));
            if let Some(damage) = state.damage.take() {
                eprintln!("granitelead-discovery: {damage}; {} leases restored", state.leases.len());
            }
            if !options.is_new {
                was_list_lost = true;
                let ms = options.settle_time.as_millis();
                eprintln!("granitelead-discovery: starting a new list, which is served in {ms} ms");
            }
            epoch
        }
    };
    let leases: Vec<_> = state.leases.values().cloned().collect();
    let position = Position { epoch, rev: state.rev };
    // Versions of this epoch were published at less than one per ms. Starting from the current time in ms, no
    // version is published twice, even if this directory is an older copy.
    let first_rev = unix_ms().max(state.rev + 1);
    let mut registry = Registry::new((state.rev, state.lease), leases.iter().cloned(), options.guard_ms, 0);
    eprintln!("granitelead-discovery: epoch {epoch}, rev {}, {} leases", state.rev, leases.len());
    registry.set_min_next_rev(first_rev);
    let store = Store::open(data_dir, lock, state, (epoch, first_rev), LOG_SIZE_MAX)?;
    let service =
        Service::writer(registry, (position, first_rev), &leases, options.settle_time, was_list_lost);
    Ok((service, store))
}

/// Starts a mirror of the list service at `address`.
fn mirror(address: SocketAddr) -> Rc<Service> {
    let status = ListStatus::new();
    let service = Service::mirror(status.clone());
    let seed = unix_ms() ^ u64::from(std::process::id()) << 32;
    let sources = Sources::new(vec![address], &HostList::default());
    let follower =
        Follower::new(sources, RequestTiming::for_shared_service(1, MIRROR_REQUEST_WINDOW, seed), status);
    let mirrored = service.clone();
    spawn_local(async move {
        // The address of the source doesn't change; the sender is kept as long as the follower runs.
        let (_addresses_tx, addresses) = watch::channel(vec![address]);
        follower.follow(addresses, |list, scope| mirrored.mirror_update(list, scope)).await;
    });
    service
}
