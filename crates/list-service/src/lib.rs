//! The list service: resale servers register in it, gatekeepers watch it. Or a mirror of one.

mod board;
mod doors;
mod http;
mod registry;
mod service;
mod store;

use board::Position;
use granitelead_list::follower::{Follower, Listing, Pace};
use granitelead_list::forms::HostList;
use granitelead_list::sources::Sources;
use http::Front;
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
use store::{Store, LOG_MAX};
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;
use tokio::task::spawn_local;

const USAGE: &str = "usage: granitelead-discovery --listen ADDRESS (--data FOLDER | --mirror-of ADDRESS)
    [--settle-ms N] [--guard-ms N] [--connections N] [--new]";
/// Time for servers to register anew where the list was lost.
const SETTLE_MS: u64 = 10_000;
/// Time for which most of a fleet stays listed though it is silent.
const GUARD_MS: u64 = 60_000;
/// See `GUARD_MS`, `SETTLE_MS`.
const SPAN_MAX_MS: u64 = 3_600_000;
/// Connections, in all.
const CONNECTIONS: usize = 900;
/// Few enough for any system, and enough to serve at all.
const CONNECTIONS_RANGE: (usize, usize) = (8, 60_000);
/// A mirror asks again within this.
const MIRROR_WITHIN: Duration = Duration::from_secs(2);

/// What the command line says.
struct Options {
    listen: SocketAddr,
    from: From,
    settle: Duration,
    guard_ms: u64,
    connections: usize,
    /// There never was a list before.
    new: bool,
}

/// What is wrong with the command line.
#[derive(Debug, Error)]
enum OptionError {
    #[error("{0}")]
    Words(#[from] lexopt::Error),
    #[error("`{0}` is not asked for")]
    NotAskedFor(String),
    #[error("{name}: {error}")]
    Value { name: String, error: lexopt::Error },
    #[error("{0}: no such option")]
    Unknown(String),
    #[error("one of --data and --mirror-of has to be given")]
    NoSource,
    #[error("--listen is missing")]
    NoListen,
    #[error("--settle-ms, --guard-ms: at most {0}")]
    SpanTooLong(u64),
    #[error("--connections: from {0} to {1}")]
    Connections(usize, usize),
}

/// Why the service ends with a failure.
#[derive(Debug, Error)]
enum ServeError {
    #[error("no signals: {0}")]
    Signals(io::Error),
    #[error("--data {folder}: {error}")]
    Folder { folder: String, error: io::Error },
    #[error("--listen {at}: {error}")]
    Listen { at: SocketAddr, error: io::Error },
    #[error("the disk's task: {0}")]
    Disk(#[from] tokio::task::JoinError),
}

enum From {
    Folder(PathBuf),
    Other(SocketAddr),
}

impl Options {
    /// Reads the command line; none where only help is asked for.
    fn read(mut words: Parser) -> Result<Option<Options>, OptionError> {
        let (mut listen, mut folder, mut mirror_of, mut new) = (None, None, None, false);
        let (mut settle_ms, mut guard_ms, mut connections) = (SETTLE_MS, GUARD_MS, CONNECTIONS);
        while let Some(word) = words.next()? {
            let name = match &word {
                Arg::Long(name) => format!("--{name}"),
                Arg::Short(name) => format!("-{name}"),
                Arg::Value(value) => {
                    return Err(OptionError::NotAskedFor(value.to_string_lossy().into_owned()))
                }
            };
            let mut value = || words.value();
            let bad = |error| OptionError::Value { name: name.clone(), error };
            match name.as_str() {
                "--listen" => listen = Some(value()?.parse().map_err(bad)?),
                "--data" => folder = Some(PathBuf::from(value()?)),
                "--mirror-of" => mirror_of = Some(value()?.parse().map_err(bad)?),
                "--settle-ms" => settle_ms = value()?.parse().map_err(bad)?,
                "--guard-ms" => guard_ms = value()?.parse().map_err(bad)?,
                "--connections" => connections = value()?.parse().map_err(bad)?,
                "--new" => new = true,
                "--help" | "-h" => return Ok(None),
                _ => return Err(OptionError::Unknown(name)),
            }
        }
        let from = match (folder, mirror_of) {
            (Some(folder), None) => From::Folder(folder),
            (None, Some(at)) => From::Other(at),
            _ => return Err(OptionError::NoSource),
        };
        let listen = listen.ok_or(OptionError::NoListen)?;
        if settle_ms > SPAN_MAX_MS || guard_ms > SPAN_MAX_MS {
            return Err(OptionError::SpanTooLong(SPAN_MAX_MS));
        }
        let (least, most) = CONNECTIONS_RANGE;
        if !(least..=most).contains(&connections) {
            return Err(OptionError::Connections(least, most));
        }
        let settle = Duration::from_millis(settle_ms);
        Ok(Some(Options { listen, from, settle, guard_ms, connections, new }))
    }
}

/// Runs the list service to its end, as its command line says.
pub fn run() -> ExitCode {
    granitelead_base::run("granitelead-discovery", || Options::read(Parser::from_env()), serve)
}

/// Runs it as these words say, in place of the command line's.
pub fn run_with(words: impl IntoIterator<Item = OsString>) -> ExitCode {
    granitelead_base::run("granitelead-discovery", || Options::read(Parser::from_args(words)), serve)
}

async fn serve(options: Option<Options>) -> Result<(), ServeError> {
    let Some(options) = options else {
        println!("{USAGE}");
        return Ok(());
    };
    let mut term = signal(SignalKind::terminate()).map_err(ServeError::Signals)?;
    let (service, store) = match &options.from {
        From::Folder(folder) => {
            let bad = |error| ServeError::Folder { folder: folder.display().to_string(), error };
            let (service, store) = open(folder, &options).map_err(bad)?;
            (service, Some(store))
        }
        From::Other(at) => (mirror(*at), None),
    };
    let bad = |error| ServeError::Listen { at: options.listen, error };
    let listener = TcpListener::bind(options.listen).await.map_err(bad)?;
    let bound = listener.local_addr().map_err(bad)?;
    let front = Front::new(service.clone(), options.connections);
    spawn_local(service.clone().look_after_leases());
    spawn_local(front.accept(listener));
    eprintln!("granitelead-discovery: listening on {bound}");
    let kept = async {
        match store {
            Some(store) => Ok(service.keep_changes(store).await?),
            None => std::future::pending().await,
        }
    };
    // Whoever is told of a change finds it on the disk, so that nothing is left to do at the end.
    tokio::select! {
        failed = kept => failed,
        _ = term.recv() => Ok(()),
    }
}

fn open(folder: &std::path::Path, options: &Options) -> std::io::Result<(Rc<Service>, Store)> {
    let (mut kept, lock) = Store::read(folder)?;
    let mut lost = false;
    let epoch = match kept.epoch.filter(|_| kept.damage.is_none()) {
        Some(epoch) => epoch,
        None => {
            // What was told and is lost here had lower numbers than the clock in ms, and another epoch.
            let now = unix_ms();
            let epoch = now.max(kept.epoch.map_or(0, |epoch| epoch + 1));
            (kept.rev, kept.lease) = (now.max(kept.rev + 1), now.max(kept.lease + 1));
            if let Some(what) = kept.damage.take() {
                eprintln!("granitelead-discovery: {what}; {} leases kept", kept.leases.len());
            }
            if !options.new {
                lost = true;
                let ms = options.settle.as_millis();
                eprintln!("granitelead-discovery: a new list begins; it is told in {ms} ms");
            }
            epoch
        }
    };
    let leases: Vec<_> = kept.leases.values().cloned().collect();
    let at = Position { epoch, rev: kept.rev };
    // Whatever was told in this line before came slower than one change in a ms, so no version is ever told twice, also
    // where this folder is an older copy.
    let first = unix_ms().max(kept.rev + 1);
    let mut registry = Registry::new((kept.rev, kept.lease), leases.iter().cloned(), options.guard_ms, 0);
    eprintln!("granitelead-discovery: epoch {epoch}, rev {}, {} leases", kept.rev, leases.len());
    registry.leaps_to(first);
    let store = Store::begin(folder, lock, kept, (epoch, first), LOG_MAX)?;
    Ok((Service::writer(registry, (at, first), &leases, options.settle, lost), store))
}

fn mirror(at: SocketAddr) -> Rc<Service> {
    let listing = Listing::new();
    let service = Service::mirror(listing.clone());
    let seed = unix_ms() ^ u64::from(std::process::id()) << 32;
    let sources = Sources::new(vec![at], &HostList::default());
    let follower = Follower::new(sources, Pace::shared(1, MIRROR_WITHIN, seed), listing);
    let hears = service.clone();
    spawn_local(async move {
        // The mirrored one's address does not change; the sender stays for as long as it is followed.
        let (_moves, places) = watch::channel(vec![at]);
        follower.follow(places, |list, scope| hears.hear(list, scope)).await;
    });
    service
}
