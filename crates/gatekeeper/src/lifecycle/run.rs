//! One gatekeeper: reads its configuration, serves until told to stop, and exits when all is answered.

use crate::clients::side::ClientSide;
use crate::config::Config;
use crate::driver::Driver;
use crate::events::Own;
use crate::lifecycle::handover::{listen, meeting_place, Predecessor, Upgrade};
use crate::list::{follow, Book};
use crate::operators::by_hand::ByHand;
use crate::operators::door::Door;
use crate::peers::Peers;
use crate::times;
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

/// Past the longest deadline after the call to stop nothing can be owed any more.
const STOP_SPARE: Duration = Duration::from_millis(600);

/// Idle connections to servers are looked at once in so many looks at clients.
const RETIRE_EVERY: u64 = 4;

/// Runs one gatekeeper to its end, as its environment says.
pub fn run() -> ExitCode {
    base::run("granitelead", || Config::load(|name| std::env::var(name).ok()), serve)
}

/// Why a gatekeeper does not start.
#[derive(Debug, Error)]
enum StartError {
    #[error("no signals: {0}")]
    Signals(io::Error),
    #[error("field `{field}`: {at}: {error}")]
    Bind { field: &'static str, at: SocketAddr, error: io::Error },
}

/// A gatekeeper's life: its sides are built and joined, then it serves until it is told to stop or a successor has
/// taken over, and ends once all that was taken is answered.
async fn serve(config: Config) -> Result<(), StartError> {
    let (mut term, hangup) = (on(SignalKind::terminate())?, on(SignalKind::hangup())?);
    let folder = std::env::var_os("TMPDIR").filter(|folder| !folder.is_empty()).map(PathBuf::from);
    let place = folder.as_deref().map(meeting_place);
    let (listener, predecessor) = clients_listener(config.listen, place.as_deref()).await?;
    let door = operators_listener(config.admin).await?;

    let driver = Driver::new(&config);
    let side = ClientSide::new(driver.clone(), &config);
    let book = Rc::new(Book::default());
    let by_hand = ByHand::new(driver.clone(), book.clone(), folder.as_deref());
    let limits = (config.clients_max, config.servers_max);
    let upgrade = Upgrade::new(driver.clone(), side.clone(), book.clone(), by_hand.clone(), limits);

    let peers = others(&config).await?;
    by_hand.follow();
    if let Some(listener) = door {
        spawn_local(Door::new(side.clone(), by_hand, peers.clone()).answer_calls(listener));
    }
    let discovery = follow_list(&config, &driver, &side, book);
    spawn_local(keep_counter(driver.clone()));
    spawn_local(reload(hangup, discovery, driver.clone()));
    spawn_local(side.clone().take_turns());
    spawn_local(look_after_connections(side.clone(), driver.clone()));
    side.set_accepts(predecessor.is_none());
    let upgrades = spawn_local(upgrade_both_ways(upgrade, predecessor, listener.clone(), place));

    tokio::select! {
        () = side.accept(&listener) => {}
        () = side.until_left() => {}
        _ = term.recv() => {}
    }
    driver.says.says(&Own::Stops);
    if let Some(peers) = peers {
        peers.leaves().await;
    }
    if !side.is_retired() {
        // The listening socket closes with its last user, and is not to be passed on any more.
        upgrades.abort();
    }
    side.stop(listener, config.longest_deadline() + STOP_SPARE).await;
    let (ended, open) = (driver.telemetry.total(), driver.telemetry.inflight());
    eprintln!("granitelead: stopped: {ended:?}, {open} unanswered");
    Ok(())
}

fn on(kind: SignalKind) -> Result<Signal, StartError> {
    signal(kind).map_err(StartError::Signals)
}

/// The clients' listening socket, from the process before where there is one.
async fn clients_listener(
    at: SocketAddr,
    place: Option<&Path>,
) -> Result<(Rc<TcpListener>, Option<Predecessor>), StartError> {
    let bind = |error| StartError::Bind { field: "listen", at, error };
    let (listener, predecessor) = listen(at, place).await.map_err(bind)?;
    eprintln!("granitelead: listening on {}", listener.local_addr().map_err(bind)?);
    Ok((Rc::new(listener), predecessor))
}

async fn operators_listener(at: Option<SocketAddr>) -> Result<Option<TcpListener>, StartError> {
    let Some(at) = at else { return Ok(None) };
    let bind = |error| StartError::Bind { field: "admin_addr", at, error };
    let listener = TcpListener::bind(at).await.map_err(bind)?;
    eprintln!("granitelead: operators call at {}", listener.local_addr().map_err(bind)?);
    Ok(Some(listener))
}

/// The other gatekeepers, where this one is to know who of them lives.
async fn others(config: &Config) -> Result<Option<Rc<Peers>>, StartError> {
    let Some(told) = &config.peers else { return Ok(None) };
    let bind = |error| StartError::Bind { field: "peer_listen", at: told.listen, error };
    let peers = Peers::start(told, config.seed, config.events).await.map_err(bind)?;
    spawn_local(peers.clone().run());
    Ok(Some(peers))
}

/// Begins with the list of before, where there is one, and follows discovery from then on; the sender says where it
/// is.
fn follow_list(
    config: &Config,
    driver: &Rc<Driver>,
    side: &Rc<ClientSide>,
    book: Rc<Book>,
) -> watch::Sender<Vec<SocketAddr>> {
    let (discovery, places) = watch::channel(config.discovery.clone());
    book.apply(driver, &config.known, ListScope::Cached);
    if !config.known.targets.is_empty() {
        // The list of before serves well enough until discovery answers, which may take long.
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
    let told = driver.clone();
    spawn_local(follow(driver, book, follower, places, move || {
        side.set_ready();
        let (rev, epoch) = (told.listing.rev.get(), told.listing.epoch.get());
        told.says.says(&Own::List { rev, epoch });
        if !ready.replace(true) {
            told.says.says(&Own::Ready);
        }
    }));
    discovery
}

async fn keep_counter(driver: Rc<Driver>) {
    driver.counter.run(driver.clone()).await;
}

/// Reads the file again at each hangup, for the addresses that may move.
async fn reload(mut hangup: Signal, discovery: watch::Sender<Vec<SocketAddr>>, driver: Rc<Driver>) {
    while hangup.recv().await.is_some() {
        match Config::moved(|name| std::env::var(name).ok()) {
            Ok((at, counter)) => {
                eprintln!("granitelead: reloaded: discovery {at:?}, counter {counter:?}");
                discovery.send_if_modified(|known| std::mem::replace(known, at.clone()) != at);
                driver.counter.move_to(counter);
            }
            Err(error) => eprintln!("granitelead: not reloaded: {error}"),
        }
    }
}

/// Ends connections that have had their time, on both sides, for ever.
async fn look_after_connections(side: Rc<ClientSide>, driver: Rc<Driver>) {
    for turn in 1u64.. {
        tokio::time::sleep(times::LOOK).await;
        side.look();
        if turn % RETIRE_EVERY == 0 {
            driver.servers.retire_idle();
        }
    }
}

/// Takes over from the process before, and then waits for the next one.
async fn upgrade_both_ways(
    upgrade: Rc<Upgrade>,
    predecessor: Option<Predecessor>,
    listener: Rc<TcpListener>,
    place: Option<PathBuf>,
) {
    if let Some(predecessor) = predecessor {
        upgrade.take_over(predecessor).await;
    }
    if let Some(place) = place {
        upgrade.offer(listener, place).await;
    }
}
