//! One gatekeeper: reads its configuration, serves until told to stop, and exits when all is answered.

use crate::clients::side::ClientSide;
use crate::config::Config;
use crate::driver::Driver;
use crate::lifecycle::handover::{listen, meeting_place, Upgrade};
use crate::list::{follow, Book};
use crate::operators::by_hand::ByHand;
use crate::operators::door::Door;
use crate::times;
use granitelead_base as base;
use granitelead_decisions::ListScope;
use granitelead_list::follower::{Follower, Pace};
use granitelead_list::sources::Sources;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
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

async fn serve(config: Config) -> Result<(), String> {
    let mut term = signal(SignalKind::terminate()).map_err(|e| format!("no signals: {e}"))?;
    let mut hangup = signal(SignalKind::hangup()).map_err(|e| format!("no signals: {e}"))?;
    let folder = std::env::var_os("TMPDIR").filter(|folder| !folder.is_empty()).map(PathBuf::from);
    let place = folder.as_deref().map(meeting_place);
    let listened = listen(config.listen, place.as_deref()).await;
    let (listener, predecessor) = listened.map_err(|e| format!("field `listen`: {}: {e}", config.listen))?;
    let listener = Rc::new(listener);
    let bound = listener.local_addr().map_err(|e| format!("field `listen`: {e}"))?;
    eprintln!("granitelead: listening on {bound}");
    let door = match config.admin {
        Some(at) => Some(TcpListener::bind(at).await.map_err(|e| format!("field `admin_addr`: {at}: {e}"))?),
        None => None,
    };
    if let Some(at) = door.as_ref().and_then(|door| door.local_addr().ok()) {
        eprintln!("granitelead: operators call at {at}");
    }
    let driver = Driver::new(&config);
    let summed = driver.clone();
    let side = ClientSide::new(driver.clone(), &config);
    let (discovery, agent) = watch::channel(config.discovery.clone());
    let book = Rc::new(Book::default());
    let by_hand = ByHand::new(driver.clone(), book.clone(), folder.as_deref());
    let limits = (config.clients_max, config.servers_max);
    let upgrade = Upgrade::new(driver.clone(), side.clone(), book.clone(), by_hand.clone(), limits);
    by_hand.follow();
    if let Some(listener) = door {
        spawn_local(Door::new(side.clone(), by_hand).answer_calls(listener));
    }
    book.apply(&driver, &config.known, ListScope::Cached);
    let pace = if config.settings.subscribe { Pace::shared } else { Pace::own };
    let pace = pace(config.settings.instances, config.ask_within, config.seed)
        .comparing_after(config.discovery_compare);
    let follower =
        Follower::new(Sources::new(config.discovery.clone(), &config.known), pace, driver.listing.clone());
    spawn_local({
        let (driver, side) = (driver.clone(), side.clone());
        follow(driver, book, follower, agent, move || side.set_ready())
    });
    if !config.known.targets.is_empty() {
        // The list of before serves well enough until discovery answers, which may take long.
        side.set_ready();
    }
    spawn_local({
        let driver = driver.clone();
        async move { driver.counter.run(driver.clone()).await }
    });
    spawn_local({
        let driver = driver.clone();
        async move {
            while hangup.recv().await.is_some() {
                match Config::moved(|name| std::env::var(name).ok()) {
                    Ok((at, counter)) => {
                        eprintln!("granitelead: reloaded: discovery {at:?}, counter {counter:?}");
                        discovery.send_if_modified(|known| std::mem::replace(known, at.clone()) != at);
                        driver.counter.move_to(counter);
                    }
                    Err(message) => eprintln!("granitelead: not reloaded: {message}"),
                }
            }
        }
    });
    spawn_local(side.clone().take_turns());
    let looks = side.clone();
    spawn_local(async move {
        for turn in 1u64.. {
            tokio::time::sleep(times::LOOK).await;
            looks.look();
            if turn % RETIRE_EVERY == 0 {
                driver.servers.retire_idle();
            }
        }
    });
    side.set_accepts(predecessor.is_none());
    let upgrades = spawn_local({
        let listener = listener.clone();
        async move {
            if let Some(predecessor) = predecessor {
                upgrade.take_over(predecessor).await;
            }
            if let Some(place) = place {
                upgrade.offer(listener, place).await;
            }
        }
    });
    tokio::select! {
        () = side.accept(&listener) => {}
        () = side.until_left() => {}
        _ = term.recv() => {}
    }
    if !side.is_retired() {
        // The listening socket closes with its last user, and is not to be passed on any more.
        upgrades.abort();
    }
    side.stop(listener, config.longest_deadline() + STOP_SPARE).await;
    let (ended, open) = (summed.telemetry.total(), summed.telemetry.inflight());
    eprintln!("granitelead: stopped: {ended:?}, {open} unanswered");
    Ok(())
}
