//! One run of a hollow fleet: real markers and one real gatekeeper, hollow ones and servers in threads of this process.

use super::configuration::configuration;
use super::gatekeepers::{self, Shared};
use super::outcome::{times, Outcome};
use super::processes::{resident, usage, Places, Usage};
use super::seen::Seen;
use super::servers;
use super::size::{zone, Machine, Size};
use crate::loopback::process::Process;
use crate::loopback::system::{call, request};
use crate::loopback::Own;
use crate::play::Failure;
use indicatif::{ProgressBar, ProgressStyle};
use serde_json::Value;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::io::IsTerminal;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::sleep;

/// Zones of the operators' target.
const ZONES: usize = 22;
/// Threads of hollow gatekeepers, and how many there are at least in each.
const THREADS: (usize, usize) = (2, 500);
/// How many join in a second.
const JOINS: f64 = 300.0;
/// Time for a step (all to have joined, a change to be in force) before the run fails.
const STEP: Duration = Duration::from_secs(60);
/// Time between the last join and the measuring.
const SETTLES: Duration = Duration::from_secs(2);
/// How long markers are measured before the first join.
const CALM: Duration = Duration::from_secs(1);
/// How often the memory is looked at.
const LOOK: Duration = Duration::from_secs(1);
/// How long a killed marker stays down.
const DOWN: Duration = Duration::from_secs(1);

/// The threads of hollow gatekeepers and servers; they end with it.
#[derive(Default)]
struct Threads {
    ends: Arc<AtomicBool>,
    all: Vec<JoinHandle<()>>,
}

impl Threads {
    /// Starts one that runs what `begin` spawns.
    fn start<F: Future<Output = ()> + 'static>(&mut self, begin: impl FnOnce() -> F + Send + 'static) {
        let ends = self.ends.clone();
        self.all.push(std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let Ok(runtime) = runtime else { return };
            let local = LocalSet::new();
            local.spawn_local(begin());
            local.block_on(&runtime, async {
                while !ends.load(Ordering::Relaxed) {
                    sleep(Duration::from_millis(50)).await;
                }
            });
        }));
    }
}

impl Drop for Threads {
    fn drop(&mut self) {
        self.ends.store(true, Ordering::Relaxed);
        for thread in self.all.drain(..) {
            // A panic has ended the process already.
            let _ = thread.join();
        }
    }
}

/// A folder that goes with its run.
struct Folder(PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        // What can't be removed is the system's to clear: it lies in its folder for such.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// What is counted at one moment.
struct Count {
    at: Instant,
    markers: Vec<Usage>,
    proxy: Usage,
    own: Usage,
    said: BTreeMap<String, (u64, u64)>,
    came: u64,
    /// By marker, what it has said to markers and to gatekeepers, by kind: words and bytes.
    by_marker: Vec<[BTreeMap<String, (u64, u64)>; 2]>,
    beats: (u64, u64),
}

struct Rig {
    size: Size,
    places: Places,
    programs: Option<PathBuf>,
    folder: Folder,
    markers: Vec<Process>,
    proxy: Option<Process>,
    seen: Arc<Seen>,
    version: u32,
    bar: ProgressBar,
    memory_max: u64,
}

impl Rig {
    fn says(&self, what: impl Into<String>) {
        let what = what.into();
        if self.bar.is_hidden() {
            eprintln!("hollow: {what}");
        }
        self.bar.set_message(what);
    }

    /// Whether all of it stays within its part of the memory, and runs.
    fn look(&mut self) -> Result<(), Failure> {
        for process in self.markers.iter_mut().chain(&mut self.proxy) {
            if let Some((status, false)) = process.ended() {
                return Err(format!("{} ended: {status}: {}", process.name, process.last_words()).into());
            }
        }
        let pids = self.markers.iter().chain(&self.proxy).filter_map(Process::id);
        let used: u64 = pids.chain([std::process::id()]).map(resident).sum();
        if used > self.memory_max {
            let (used, most) = (used >> 20, self.memory_max >> 20);
            return Err(format!(
                "all of it has {used} MB, more than half of this machine's: {most}; a smaller fleet would do"
            )
            .into());
        }
        Ok(())
    }

    /// Waits until something is so.
    async fn until(&mut self, what: &str, mut is_so: impl FnMut(&Seen) -> bool) -> Result<(), Failure> {
        let (begun, mut looked) = (Instant::now(), Instant::now());
        let most = STEP + Duration::from_secs_f64(2.0 * self.size.gatekeepers as f64 / JOINS);
        while !is_so(&self.seen) {
            if begun.elapsed() > most {
                return Err(format!("{what}: not after {} s", most.as_secs()).into());
            }
            if looked.elapsed() > LOOK {
                looked = Instant::now();
                self.look()?;
            }
            sleep(Duration::from_millis(10)).await;
        }
        Ok(())
    }

    async fn status(&self, at: SocketAddr) -> Option<Value> {
        let called = call(at, request("GET", "/System.Status", &[("host", "control")], String::new())).await;
        let (_, body) = called.ok().filter(|(status, _)| *status == 200)?;
        serde_json::from_slice(&body).ok()
    }

    /// Where the primary is called, as the first marker that answers sees it.
    async fn primary(&self) -> Option<usize> {
        let control = self.places.control();
        for at in &control {
            let Some(status) = self.status(*at).await else { continue };
            let ip: Option<IpAddr> = status["epoch"]["primary"].as_str().and_then(|ip| ip.parse().ok());
            if let Some(n) = ip.and_then(|ip| control.iter().position(|at| at.ip() == ip)) {
                return Some(n);
            }
        }
        None
    }

    /// Sends the next version until it is acknowledged. Gives when it was first sent, and when it was acknowledged.
    async fn change(&mut self) -> Result<(u32, Instant, Instant), Failure> {
        self.version += 1;
        let body = configuration(&self.size, self.version);
        let begun = Instant::now();
        while begun.elapsed() < STEP {
            if let Some(primary) = self.primary().await {
                let to = self.places.control()[primary];
                let sent = request("POST", "/Configuration.Replace", &[("host", "control")], body.clone());
                match call(to, sent).await {
                    Ok((200, _)) => return Ok((self.version, begun, Instant::now())),
                    Ok((400, text)) => return Err(String::from_utf8_lossy(&text).into()),
                    _ => {}
                }
            }
            sleep(Duration::from_millis(100)).await;
            self.look()?;
        }
        Err(format!("no change was acknowledged in {} s", STEP.as_secs()).into())
    }

    async fn count(&self) -> Count {
        let of = |process: &Process| process.id().map(usage).unwrap_or_default();
        let mut by_marker = Vec::new();
        for at in self.places.control() {
            let status = self.status(at).await.unwrap_or_default();
            let kinds = |name: &str| serde_json::from_value(status[name].clone()).unwrap_or_default();
            by_marker.push([kinds("said-to-markers"), kinds("said-to-gatekeepers")]);
        }
        Count {
            at: Instant::now(),
            markers: self.markers.iter().map(of).collect(),
            proxy: self.proxy.as_ref().map(of).unwrap_or_default(),
            own: usage(std::process::id()),
            said: self.seen.all_said(),
            came: self.seen.all_came(),
            by_marker,
            beats: self.seen.beats(),
        }
    }

    fn start_threads(&self, threads: &mut Threads, begun: Instant) {
        let (size, seen) = (self.size.clone(), self.seen.clone());
        let (zones, internal) = (self.size.markers.min(ZONES), self.places.internal());
        let seeds: Vec<Ipv4Addr> = self.places.seeds().iter().filter_map(v4).collect();
        let n = THREADS.0.min(size.gatekeepers.div_ceil(THREADS.1)).max(1);
        for thread in 0..n {
            let (size, seen, seeds) = (size.clone(), seen.clone(), seeds.clone());
            threads.start(move || async move {
                let shared = Rc::new(Shared::new(seen, begun, internal, size.tenants, size.requests));
                for number in (thread..size.gatekeepers).step_by(n) {
                    let (name, feeds) = (format!("front-{number:05}"), number == thread);
                    let run =
                        gatekeepers::run(shared.clone(), name, zone(number, zones), seeds.clone(), feeds);
                    spawn_local(run);
                    sleep(Duration::from_secs_f64(n as f64 / JOINS)).await;
                }
            });
        }
    }

    fn start_servers(&self, threads: &mut Threads) {
        let (size, seen) = (self.size.clone(), self.seen.clone());
        let (zones, markers) = (self.size.markers.min(ZONES), Arc::from(self.places.control()));
        threads.start(move || async move {
            let pause = servers::BEAT.mul_f64(1.0 / size.servers.max(1) as f64);
            for number in 0..size.servers {
                spawn_local(servers::run(seen.clone(), number, size.services(), zones, Arc::clone(&markers)));
                // Spread over a beat, and not faster than markers take new ones in.
                sleep(pause.max(Duration::from_micros(500))).await;
            }
        });
    }

    /// Kills the primary, starts it again, and waits until all sessions stand and a change is in force everywhere.
    async fn kill(&mut self) -> Result<Duration, Failure> {
        let n = self.primary().await.ok_or("there is no primary to kill")?;
        self.says(format!("marker {n} is killed"));
        let killed = Instant::now();
        self.markers[n].kill();
        sleep(DOWN).await;
        while self.markers[n].ended().is_none() && killed.elapsed() < STEP {
            sleep(Duration::from_millis(10)).await;
        }
        self.markers[n].start()?;
        let (version, ..) = self.change().await?;
        let (all, sessions) = (self.size.gatekeepers, self.size.sessions() as i64);
        self.until("whole after a kill", |seen| {
            seen.sessions() >= sessions && seen.times(version).len() == all
        })
        .await?;
        Ok(killed.elapsed())
    }
}

fn v4(at: &SocketAddr) -> Option<Ipv4Addr> {
    match at.ip() {
        IpAddr::V4(ip) => Some(ip),
        IpAddr::V6(_) => None,
    }
}

fn progress(steps: u64) -> ProgressBar {
    if !std::io::stderr().is_terminal() {
        return ProgressBar::hidden();
    }
    let bar = ProgressBar::new(steps);
    if let Ok(style) = ProgressStyle::with_template("{wide_bar} {pos}/{len} s  {msg}") {
        bar.set_style(style);
    }
    bar
}

type Figures = BTreeMap<String, f64>;

/// Rates between two counts, by role.
fn rates(size: &Size, before: &Count, after: &Count, figures: &mut Figures) {
    let seconds = (after.at - before.at).as_secs_f64();
    let figures = RefCell::new(figures);
    let put = |name: String, value: f64| {
        figures.borrow_mut().insert(name, value);
    };
    let markers = size.markers as f64;
    let per_marker = |of: &dyn Fn(&Usage, &Usage) -> f64| -> Vec<f64> {
        after.markers.iter().zip(&before.markers).map(|(after, before)| of(after, before)).collect()
    };
    let both = |name: &str, unit: &str, all: Vec<f64>| {
        put(format!("marker.{name}.mean {unit}"), all.iter().sum::<f64>() / markers);
        put(format!("marker.{name}.most {unit}"), all.iter().copied().fold(0.0, f64::max));
    };
    let processor = |after: &Usage, before: &Usage| (after.processor - before.processor) / seconds;
    both("processor", "cores", per_marker(&processor));
    both("memory", "MB", per_marker(&|after, _| after.memory as f64 / 1e6));
    both("descriptors", "open", per_marker(&|after, _| after.descriptors as f64));
    both(
        "files",
        "B/s",
        per_marker(&|after, before| after.written.saturating_sub(before.written) as f64 / seconds),
    );
    for (place, to) in ["to-markers", "to-gatekeepers"].iter().enumerate() {
        let said: Vec<BTreeMap<&str, (f64, f64)>> = after
            .by_marker
            .iter()
            .zip(&before.by_marker)
            .map(|(after, before)| {
                let rate = |(kind, counts): (&'_ String, &(u64, u64))| {
                    let was = before[place].get(kind).copied().unwrap_or_default();
                    let per = |now: u64, was: u64| now.saturating_sub(was) as f64 / seconds;
                    (per(counts.0, was.0), per(counts.1, was.1))
                };
                after[place].iter().map(|entry| (entry.0.as_str(), rate(entry))).collect()
            })
            .collect();
        both(to, "B/s", said.iter().map(|kinds| kinds.values().map(|(_, bytes)| bytes).sum()).collect());
        let mut kinds: BTreeMap<&str, (f64, f64)> = BTreeMap::new();
        for (kind, (words, bytes)) in said.iter().flatten() {
            let sum = kinds.entry(kind).or_default();
            *sum = (sum.0 + words / markers, sum.1 + bytes / markers);
        }
        for (kind, (words, bytes)) in kinds {
            put(format!("marker.{to}.{kind}.mean B/s"), bytes);
            put(format!("marker.{to}.{kind}.mean words/s"), words);
        }
    }
    let each = size.gatekeepers as f64;
    put("gatekeeper.in B/s".into(), (after.came - before.came) as f64 / each / seconds);
    let mut out = 0.0;
    for (kind, (_, bytes)) in &after.said {
        let was = before.said.get(kind).map_or(0, |(_, bytes)| *bytes);
        let rate = (bytes - was) as f64 / each / seconds;
        out += rate;
        put(format!("gatekeeper.out.{kind} B/s"), rate);
    }
    put("gatekeeper.out B/s".into(), out);
    put("gatekeeper.real.processor cores".into(), processor(&after.proxy, &before.proxy));
    put("gatekeeper.real.memory MB".into(), after.proxy.memory as f64 / 1e6);
    put("gatekeeper.real.descriptors open".into(), after.proxy.descriptors as f64);
    put(
        "hollow.processor-each cores".into(),
        processor(&after.own, &before.own) / (each + size.servers as f64),
    );
    put("hollow.processor cores".into(), processor(&after.own, &before.own));
    put("hollow.memory MB".into(), after.own.memory as f64 / 1e6);
    put("server.beats beats/s".into(), (after.beats.0 - before.beats.0) as f64 / seconds);
    put("server.beats-lost beats/s".into(), (after.beats.1 - before.beats.1) as f64 / seconds);
}

fn put_times(name: &str, all: Vec<Duration>, figures: &mut Figures) {
    for (part, ms) in ["median", "99%", "longest"].iter().zip(times(all).into_iter().flatten()) {
        figures.insert(format!("{name}.{part} ms"), ms);
    }
}

async fn measure(rig: &mut Rig, threads: &mut Threads) -> Result<Figures, Failure> {
    let mut figures = Figures::new();
    let size = rig.size.clone();
    let document = configuration(&size, 1);
    let parsed = Instant::now();
    granitelead_common::configuration::parse(document.as_bytes())?;
    figures.insert("configuration.read ms".into(), parsed.elapsed().as_secs_f64() * 1e3);
    figures.insert("configuration.size B".into(), document.len() as f64);

    rig.says(format!("{} markers start", size.markers));
    for n in 0..size.markers {
        let marker = rig.places.marker(n, &rig.programs, &rig.folder.0)?;
        rig.markers.push(marker);
    }
    rig.change().await?;
    rig.proxy = Some(rig.places.proxy(&rig.programs, &rig.folder.0)?);
    rig.says(format!("{} servers begin to beat", size.servers));
    rig.start_servers(threads);
    rig.until("all servers have beaten", |seen| seen.servers() >= size.servers).await?;
    sleep(SETTLES).await;
    let calm = rig.count().await;
    sleep(CALM).await;
    let before = rig.count().await;
    rig.says(format!("{} gatekeepers join, {JOINS} a second", size.gatekeepers));
    rig.start_threads(threads, Instant::now());
    let sessions = size.sessions() as i64;
    rig.until("all gatekeepers have joined", |seen| {
        seen.joins().len() >= size.gatekeepers && seen.sessions() >= sessions
    })
    .await?;
    let joined = rig.count().await;
    let spent = |after: &Count, before: &Count| -> f64 {
        after.markers.iter().zip(&before.markers).map(|(a, b)| a.processor - b.processor).sum()
    };
    let idle = spent(&before, &calm) / (before.at - calm.at).as_secs_f64();
    let joins = spent(&joined, &before) - idle * (joined.at - before.at).as_secs_f64();
    // Holds also the upkeep of those that joined before: an upper bound.
    figures.insert("join.markers-processor ms".into(), joins * 1e3 / size.gatekeepers as f64);
    figures.insert("join.in B".into(), (joined.came - before.came) as f64 / size.gatekeepers as f64);
    put_times("join", rig.seen.joins(), &mut figures);
    sleep(SETTLES).await;

    rig.says("measuring");
    rig.bar.set_length(size.seconds);
    let (before, begun) = (rig.count().await, Instant::now());
    let pause = (size.changes_a_minute > 0).then(|| 60.0 / size.changes_a_minute as f64);
    let (mut changes, mut due) = (Vec::new(), pause.map(|pause| pause / 2.0));
    while begun.elapsed().as_secs() < size.seconds {
        sleep(Duration::from_millis(50)).await;
        rig.bar.set_position(begun.elapsed().as_secs());
        if due.is_some_and(|due| begun.elapsed().as_secs_f64() >= due) {
            due = due.zip(pause).map(|(due, pause)| due + pause);
            changes.push(rig.change().await?);
        }
        rig.look()?;
    }
    if let Some((last, ..)) = changes.last() {
        rig.until("the last change is in force everywhere", |seen| {
            seen.times(*last).len() >= size.gatekeepers
        })
        .await?;
    }
    let after = rig.count().await;
    rates(&size, &before, &after, &mut figures);
    let mut in_force = Vec::new();
    for (version, sent, _) in &changes {
        in_force.extend(rig.seen.times(*version).into_iter().map(|at| at - *sent));
    }
    figures.insert("change.count".into(), changes.len() as f64);
    // One that is followed by the next before it came to a gatekeeper is in force there under the next's number.
    let missed = changes.len() * size.gatekeepers - in_force.len();
    figures.insert("change.overtaken".into(), missed as f64);
    put_times("change.in-force", in_force, &mut figures);
    put_times("change.acknowledged", changes.iter().map(|c| c.2 - c.1).collect(), &mut figures);
    if size.kill {
        let whole = rig.kill().await?;
        figures.insert("kill.whole s".into(), whole.as_secs_f64());
    }
    Ok(figures)
}

async fn end(rig: &mut Rig) {
    let mut all: Vec<&mut Process> = rig.markers.iter_mut().chain(&mut rig.proxy).collect();
    all.iter_mut().for_each(|process| process.asks_to_stop());
    while all.iter_mut().any(|process| process.runs() && process.ended().is_none()) {
        sleep(Duration::from_millis(20)).await;
    }
}

async fn play(size: Size, programs: Option<PathBuf>, memory_max: u64) -> Result<Figures, Failure> {
    let folder = std::env::temp_dir().join(format!("granitelead-hollow-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let places = Places::new(Own::new(), size.markers, size.markers.min(ZONES));
    let bar = progress(size.seconds);
    let mut rig = Rig {
        size,
        places,
        programs: programs.map(std::fs::canonicalize).transpose()?,
        folder: Folder(folder),
        markers: Vec::new(),
        proxy: None,
        seen: Arc::default(),
        version: 0,
        bar,
        memory_max,
    };
    let mut threads = Threads::default();
    let measured = tokio::select! {
        measured = measure(&mut rig, &mut threads) => measured,
        _ = tokio::signal::ctrl_c() => Err("interrupted".into()),
    };
    drop(threads);
    rig.bar.finish_and_clear();
    end(&mut rig).await;
    measured
}

/// Runs a hollow fleet and gives what was measured. `programs` is where the built programs lie; this program is they
/// where it is absent.
///
/// # Errors
///
/// A size that is refused, with what would do; what does not start, or is not done in time.
pub fn hollow(size: &Size, programs: Option<PathBuf>) -> Result<Outcome, Failure> {
    let machine = Machine::here();
    // Sizes that are refused are refused before a document of theirs is made.
    size.fits(&machine, 0)?;
    size.fits(&machine, configuration(size, 1).len() as u64)?;
    let command = format!("granitelead-lab hollow {}", size.words().join(" "));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let figures = LocalSet::new().block_on(&runtime, play(size.clone(), programs, machine.memory / 2))?;
    Ok(Outcome { command, size: size.clone(), figures })
}
