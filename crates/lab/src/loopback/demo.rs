//! The first thing to try: a small platform on loopback, clients, a server that dies, a zone that is cut off and comes
//! back, and a report.

use super::clients::Clients;
use super::counter::Counter;
use super::discovery::Discovery;
use super::gatekeeper::{config, Gatekeeper};
use super::server::Server;
use super::FleetError;
use crate::experiment::Experiment;
use crate::report::page;
use crate::results::{Gatherer, Mark, Row, Run, ServerRow};
use std::fmt::Write;
use std::io::IsTerminal;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, sleep_until, Instant};

/// What it plays.
const EXPERIMENT: &str = include_str!("demo.toml");
/// A server dies then, and comes back then, s.
const DIES: (f64, f64) = (5.0, 9.0);
/// A zone is cut off from then to then, s.
const CUT: (f64, f64) = (12.0, 15.0);
/// Discovery tells of a change so long after it.
const TOLD_AFTER: Duration = Duration::from_millis(1_200);
/// Answers that are still due when the last request has been asked are waited for so long.
const TAIL: Duration = Duration::from_secs(3);

/// Everything that stands on loopback.
struct Fleet {
    servers: Vec<Rc<Server>>,
    discovery: Rc<Discovery>,
    counter: Rc<Counter>,
    gatekeepers: Vec<Gatekeeper>,
    /// Files of the gatekeepers, gone with the fleet.
    folder: PathBuf,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        // The gatekeepers are killed as they are dropped; what can't be removed is in the system's folder for such.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Fleet {
    async fn start(experiment: &Experiment, seed: u64) -> Result<Fleet, FleetError> {
        let fleet = &experiment.fleet;
        let discovery = Discovery::start().await?;
        let longest = (experiment.counter.timeout_ms.0 * 1e3 * experiment.counter.queue.0) as u64;
        let parts = experiment.counter.parts.0 as usize;
        let counter = Counter::start(experiment.counter.per_s.0, parts, longest).await?;
        let mut servers = Vec::new();
        for n in 0..fleet.servers.0 as usize {
            let zone = fleet.zones[n % fleet.zones.len()].clone();
            let server = Server::start(format!("s-{}", n + 1), zone, fleet.spec()).await?;
            discovery.tell(server.listed("up"));
            servers.push(server);
        }
        let folder = std::env::temp_dir().join(format!("granitelead-lab-{}", std::process::id()));
        let gatekeepers = Vec::new();
        let mut it = Fleet { servers, discovery, counter, gatekeepers, folder };
        for n in 0..fleet.gatekeepers.0 as usize {
            let told = config(experiment, n, it.discovery.at, it.counter.at, seed + n as u64);
            it.gatekeepers.push(Gatekeeper::start(n, &told, &it.folder).await?);
        }
        Ok(it)
    }
}

/// Plays the demo; gives where the report lies.
pub fn demo(out: &Path, seconds: Option<f64>) -> Result<PathBuf, FleetError> {
    let mut experiment = Experiment::parse(EXPERIMENT, Path::new("demo.toml"))
        .map_err(|error| FleetError::System(std::io::Error::other(error.to_string())))?;
    if let Some(seconds) = seconds.and_then(|s| crate::experiment::Positive::try_from(s).ok()) {
        experiment.seconds = seconds;
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let run = LocalSet::new().block_on(&runtime, play(&experiment))?;
    std::fs::create_dir_all(out)?;
    let report = out.join("demo.html");
    std::fs::write(&report, page(&[run], "real time on loopback")?)?;
    Ok(report)
}

async fn play(experiment: &Experiment) -> Result<Run, FleetError> {
    let seed = experiment.seeds[0];
    let mut fleet = Fleet::start(experiment, seed).await?;
    let at: Vec<_> = fleet.gatekeepers.iter().map(|gatekeeper| gatekeeper.at).collect();
    let run = Run::begin("demo", experiment, &experiment.variants[0].name, seed);
    let seconds = experiment.seconds.0.ceil() as usize;
    until_up(&at).await;
    let clients = Clients::new(experiment.clone(), at, seed, Gatherer::new(0, seconds, run));
    let asks = spawn_local(clients.clone().ask(seed));
    let faults = spawn_local(faults(fleet.servers.clone(), fleet.discovery.clone(), Instant::now()));
    let told = tokio::select! {
        told = watch(&mut fleet, &clients, seconds) => told,
        _ = tokio::signal::ctrl_c() => {
            println!("stopped");
            Ok(Vec::new())
        }
    };
    asks.abort();
    faults.abort();
    for gatekeeper in &mut fleet.gatekeepers {
        gatekeeper.end().await;
    }
    let inflight = told?;
    // Nobody else holds it for longer than a call.
    let mut gatherer = clients.gatherer.replace(Gatherer::new(0, 0, Run::default()));
    let run = gatherer.run();
    run.counter_calls = fleet.counter.calls.get();
    run.attempts = fleet.servers.iter().map(|server| server.attempts.get()).sum();
    let mark = |(from, until), what: &str| Mark { from, until, what: what.into() };
    run.marks = vec![mark(DIES, "a server is dead"), mark(CUT, "zone b is cut off")];
    run.servers = fleet
        .servers
        .iter()
        .enumerate()
        .map(|(n, server)| ServerRow {
            name: server.uid.clone(),
            zone: server.zone.clone(),
            attempts: server.attempts.get(),
            inflight: inflight.iter().map(|second| second[n]).collect(),
        })
        .collect();
    Ok(gatherer.finish())
}

/// Waits until each gatekeeper says that it can serve, for a while.
async fn until_up(at: &[std::net::SocketAddr]) {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let until = Instant::now() + Duration::from_secs(10);
    for at in at {
        loop {
            let asked = async {
                let mut stream = tokio::net::TcpStream::connect(at).await?;
                stream.write_all(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n").await?;
                let mut head = [0; 12];
                stream.read_exact(&mut head).await.map(|_| head)
            };
            if matches!(asked.await, Ok(head) if head.ends_with(b"200")) || Instant::now() > until {
                break;
            }
            sleep(Duration::from_millis(20)).await;
        }
    }
}

/// A server dies and returns; a zone is cut off and comes back.
async fn faults(servers: Vec<Rc<Server>>, discovery: Rc<Discovery>, begun: Instant) {
    let at = |seconds: f64| sleep_until(begun + Duration::from_secs_f64(seconds));
    let victim = servers[0].clone();
    at(DIES.0).await;
    victim.dies();
    sleep(TOLD_AFTER).await;
    discovery.tell(victim.listed("removed"));
    at(DIES.1).await;
    if let Err(error) = victim.returns().await {
        eprintln!("{error}");
    }
    discovery.tell(victim.listed("up"));
    let zone: Vec<_> = servers.iter().filter(|server| server.zone == servers[1].zone).collect();
    at(CUT.0).await;
    zone.iter().for_each(|server| server.set_cut(true));
    at(CUT.1).await;
    zone.iter().for_each(|server| server.set_cut(false));
}

/// Shows a table each second until all is over; gives what each server had in hand.
async fn watch(fleet: &mut Fleet, clients: &Clients, seconds: usize) -> Result<Vec<Vec<u32>>, FleetError> {
    let terminal = std::io::stdout().is_terminal();
    let mut inflight = Vec::new();
    let mut before = Row::default();
    let mut lines = 0;
    let end = Instant::now() + Duration::from_secs(seconds as u64) + TAIL;
    while Instant::now() < end {
        sleep(Duration::from_secs(1)).await;
        for gatekeeper in &mut fleet.gatekeepers {
            gatekeeper.check()?;
        }
        let in_hand = fleet.servers.iter().map(|server| server.inflight().unwrap_or(0) as u32);
        if inflight.len() < seconds {
            inflight.push(in_hand.collect::<Vec<_>>());
        }
        let all = clients.gatherer.borrow_mut().run().all.clone();
        let second = clients.elapsed().as_secs();
        if terminal && lines > 0 {
            // Back over the table of the second before.
            print!("\x1b[{lines}A\x1b[J");
        }
        let text = table(fleet, &all, &before, second, terminal);
        lines = text.lines().count();
        print!("{text}");
        before = all;
        if second as usize >= seconds && before.asked > 0 && Instant::now() + TAIL / 2 > end {
            break;
        }
    }
    Ok(inflight)
}

fn table(fleet: &Fleet, all: &Row, before: &Row, second: u64, whole: bool) -> String {
    let by = |now: u64, then: u64| now - then;
    let mut text = format!(
        "{second:>3} s  answered in time {:>4}  late {:>3}  refused {:>4}  failed {:>3}  served share {:.3}\n",
        by(all.in_time, before.in_time),
        by(all.late, before.late),
        by(all.refused, before.refused),
        by(all.failed, before.failed),
        all.share()
    );
    if whole {
        for server in &fleet.servers {
            let state = match server.inflight() {
                None => "dead".to_owned(),
                Some(n) if server.is_cut() => format!("cut off, {n} in hand"),
                Some(n) => format!("{} {n}", "#".repeat(n.min(40))),
            };
            // Writing to a text can't fail.
            let _ = writeln!(
                text,
                "       {:<5} {:<2} {:>6}  {state}",
                server.uid,
                server.zone,
                server.attempts.get()
            );
        }
    }
    text
}
