//! A fleet of real processes: gatekeepers, the list service and its mirrors as programs of the product, servers, counter
//! and clients as stand-ins, and between any two of them a link.

use super::clients::Clients;
use super::counter::Counter;
use super::datagrams::Datagrams;
use super::gatekeeper::{config, Places};
use super::links::{Network, Party, PARTIES_MAX};
use super::process::{Process, Program};
use super::server::Server;
use super::{FleetError, Own};
use crate::experiment::{Experiment, Folder};
use crate::history::{Event, History, Seen};
use crate::judge::{judge, Terms, Verdict};
use crate::results::{Gatherer, Mark, ProcessRow, Run, ServerRow};
use bytes::Bytes;
use granitelead_list::messages::{LeaseRequest, LeaseResponse, RegisterRequest, Revision, REVISION_PATH};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::handshake;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rustix::process::{getrlimit, Resource, Signal};
use serde::de::DeserializeOwned;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::net::TcpStream;
use tokio::process::ChildStdout;
use tokio::task::{spawn_local, AbortHandle, LocalSet};
use tokio::time::{sleep, timeout, Instant};

/// Processes are looked at so often.
const LOOKS: Duration = Duration::from_millis(20);
/// One that has ended is started again after this, as an operator's supervisor does.
const AGAIN: Duration = Duration::from_millis(500);
/// All have to be up within this.
const STARTS: Duration = Duration::from_secs(60);
/// A server's lease: its time, and how often it is renewed.
const LEASE: (Duration, Duration) = (Duration::from_secs(3), Duration::from_secs(1));
/// A call of a server, or of the rig itself, is given up after this.
const CALL: Duration = Duration::from_secs(2);
/// Answers that are still due when the last request has been asked are waited for so long.
const TAIL: Duration = Duration::from_secs(4);
/// The rig looks so often whether it stands still itself, and says so from then on.
const TICKS: (Duration, Duration) = (Duration::from_millis(10), Duration::from_millis(60));
/// Descriptors of the rig itself: for each gatekeeper and server, for each way between two, and in all.
const DESCRIPTORS: (u64, u64, u64) = (12, 3, 200);

/// How a fleet is played.
#[derive(Clone, Debug, Default)]
pub struct Setup {
    /// Where the programs lie; the laboratory is they where it is absent.
    pub programs: Option<PathBuf>,
    /// In place of gatekeepers: one that does something wrong.
    pub double: Option<String>,
    /// Where folders and logs stay; gone with the run where it is absent.
    pub keep: Option<PathBuf>,
}

/// What a fleet takes of the machine.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sizes {
    /// From its beginning until each gatekeeper was up, s.
    pub started_s: f64,
    /// Memory of all gatekeepers and list services at the end, kB.
    pub processes_kb: u64,
    /// The rig's own, kB.
    pub rig_kb: u64,
    /// Descriptors of the rig at the end.
    pub descriptors: usize,
    /// Connections through its links, and chunks that passed there.
    pub connections: u64,
    /// See `connections`.
    pub chunks: u64,
}

/// Memory that a process uses now, kB; 0 where it is no more.
fn memory_kb(process: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.trim().trim_end_matches(" kB").parse().ok()).unwrap_or(0)
}

/// What a run has shown.
pub struct Played {
    /// The figures.
    pub run: Run,
    /// The judgement.
    pub verdict: Verdict,
    /// All that was seen.
    pub history: Vec<Event>,
    /// What it took of the machine.
    pub sizes: Sizes,
}

/// A gatekeeper's place: its process, if it runs, and what it is to be.
pub(super) struct Gate {
    pub process: RefCell<Process>,
    pub at: SocketAddr,
    /// Whether it is started again when it has ended.
    pub wanted: Cell<bool>,
    /// Holds its port while that is taken.
    pub port: RefCell<Option<TcpListener>>,
    again: Cell<Option<Instant>>,
}

/// A server and its lease.
pub(super) struct Listed {
    pub server: Rc<Server>,
    pub party: Party,
    lease: Cell<Option<u64>>,
    pub leaving: Cell<bool>,
}

/// Everything that stands on loopback.
pub struct Fleet {
    pub(super) experiment: Experiment,
    pub(super) history: Rc<History>,
    pub(super) network: Rc<Network>,
    datagrams: Option<Rc<Datagrams>>,
    pub(super) gates: Vec<Gate>,
    pub(super) lists: Vec<RefCell<Process>>,
    lists_at: Vec<SocketAddr>,
    pub(super) servers: RefCell<Vec<Rc<Listed>>>,
    pub(super) counter: Rc<Counter>,
    pub(super) clients: Rc<Clients>,
    pub(super) rng: RefCell<ChaCha8Rng>,
    seed: u64,
    next: Cell<Party>,
    ended: RefCell<Option<String>>,
    /// Tasks that end with it.
    tasks: RefCell<Vec<AbortHandle>>,
    folder: PathBuf,
    keep: bool,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.tasks.borrow_mut().drain(..).for_each(|task| task.abort());
        // Processes are killed as they are dropped; what can't be removed is in the system's folder for such.
        if !self.keep {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// One call over a connection of its own.
async fn call<T: DeserializeOwned>(at: SocketAddr, path: &str, body: Option<String>) -> Option<T> {
    let asked = async {
        let stream = TcpStream::connect(at).await.ok()?;
        let (mut sender, driver) = handshake(TokioIo::new(stream)).await.ok()?;
        let driver = spawn_local(async move { drop(driver.await) });
        let method = if body.is_some() { "POST" } else { "GET" };
        let body = Full::new(Bytes::from(body.unwrap_or_default()));
        let request = Request::builder().method(method).uri(path).header("host", "lists").body(body).ok()?;
        let answer = sender.send_request(request).await.ok()?;
        let ok = answer.status() == StatusCode::OK;
        let body = answer.into_body().collect().await.ok()?.to_bytes();
        driver.abort();
        serde_json::from_slice(&body).ok().filter(|_| ok)
    };
    timeout(CALL, asked).await.ok().flatten()
}

impl Fleet {
    /// A gatekeeper as a party; they come after the front.
    pub(super) fn gate(&self, number: usize) -> Party {
        1 + number
    }

    /// The list service, or a mirror.
    pub(super) fn list(&self, number: usize) -> Party {
        1 + self.gates.len() + number
    }

    /// The counter.
    pub(super) fn counter_party(&self) -> Party {
        1 + self.gates.len() + self.lists.len()
    }

    /// Starts all of a fleet and waits until each gatekeeper is up.
    async fn start(
        experiment: &Experiment,
        seed: u64,
        run: Run,
        setup: &Setup,
    ) -> Result<Rc<Fleet>, FleetError> {
        let sizes = &experiment.fleet;
        let (gatekeepers, servers) = (sizes.gatekeepers.0 as usize, sizes.servers.0 as usize);
        let lists = 1 + sizes.mirrors as usize;
        let needs = DESCRIPTORS.0 * (gatekeepers + servers) as u64
            + DESCRIPTORS.1 * (gatekeepers * servers) as u64
            + DESCRIPTORS.2;
        let has = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
        if needs > has {
            return Err(FleetError::TooMany { needs, of: "descriptors", has });
        }
        if 2 + gatekeepers + lists + 2 * servers > PARTIES_MAX {
            let needs = (2 + gatekeepers + lists + 2 * servers) as u64;
            return Err(FleetError::TooMany { needs, of: "parties", has: PARTIES_MAX as u64 });
        }
        let name = format!("granitelead-fleet-{}-{seed}", std::process::id());
        let folder = setup.keep.clone().unwrap_or_else(|| std::env::temp_dir().join(name));
        std::fs::create_dir_all(&folder)?;

        let history = Rc::new(History::default());
        let sees = history.clone();
        let network = Network::new(seed, move |party, list| {
            if (1..=gatekeepers).contains(&party) {
                let servers = list.targets.iter().map(|target| (target.uid.clone(), target.is_up()));
                let (rev, all, servers) = (list.rev, list.all, servers.collect());
                sees.sees(Seen::Told { gatekeeper: party - 1, rev, all, servers });
            }
        });
        let longest = (experiment.counter.timeout_ms.0 * 1e3 * experiment.counter.queue.0) as u64;
        let own = Own::new();
        let counter = Counter::start(
            own.counter(),
            experiment.counter.per_s.0,
            experiment.counter.parts.0 as usize,
            longest,
        )
        .await?;

        let mut gates = Vec::new();
        for number in 0..gatekeepers {
            let name = format!("gatekeeper-{number}");
            let program = setup.double.clone().map_or(Program::Gatekeeper, Program::Double);
            let process = Process::new(name, program, setup.programs.clone(), &folder)?;
            let at = own.gatekeeper(number);
            network.join(1 + number, at, false)?;
            let (wanted, port, again) = (Cell::new(true), RefCell::default(), Cell::default());
            gates.push(Gate { process: RefCell::new(process), at, wanted, port, again });
        }
        let (mut services, mut lists_at) = (Vec::new(), Vec::new());
        for number in 0..lists {
            let name = if number == 0 { "list".to_owned() } else { format!("mirror-{number}") };
            let process = Process::new(name, Program::ListService, setup.programs.clone(), &folder)?;
            let at = own.list(number);
            network.join(1 + gatekeepers + number, at, true)?;
            services.push(RefCell::new(process));
            lists_at.push(at);
        }
        network.join(1 + gatekeepers + lists, counter.at, false)?;

        let datagrams = if sizes.peers {
            // Datagrams and connections share a gatekeeper's address.
            let at = gates.iter().enumerate().map(|(n, gate)| (1 + n, gate.at)).collect();
            Some(Datagrams::join(network.clone(), at).await?)
        } else {
            None
        };

        // All parties have joined whose addresses are asked for here.
        let front = (0..gatekeepers).filter_map(|n| network.address(0, 1 + n)).collect();
        let gatherer = Gatherer::new(0, experiment.seconds.0.ceil() as usize, run);
        let clients = Clients::new(experiment.clone(), front, seed, gatherer, history.clone());
        let it = Rc::new(Fleet {
            experiment: experiment.clone(),
            history,
            network,
            datagrams,
            gates,
            lists: services,
            lists_at,
            servers: RefCell::default(),
            counter,
            clients,
            rng: RefCell::new(ChaCha8Rng::seed_from_u64(seed)),
            seed,
            next: Cell::new(2 + gatekeepers + lists),
            ended: RefCell::default(),
            tasks: RefCell::default(),
            folder,
            keep: setup.keep.is_some(),
        });
        for number in 0..lists {
            it.starts_list(number)?;
        }
        it.until_answered("the list service", || async { it.revision().await.is_some() }).await?;
        for number in 0..servers {
            let zone = sizes.zones[number % sizes.zones.len()].clone();
            it.adds_server(zone, true).await?;
        }
        let all = || async { it.servers.borrow().iter().all(|listed| listed.lease.get().is_some()) };
        it.until_answered("the servers' leases", all).await?;
        for number in 0..gatekeepers {
            it.writes_config(number, false)?;
            it.begins(number)?;
        }
        for number in 0..gatekeepers {
            let what = format!("gatekeeper-{number}");
            it.until_answered(&what, || async { it.clients.asks_up(number).await }).await?;
        }
        for process in it.gates.iter().map(|gate| &gate.process).chain(&it.lists) {
            process.borrow().keep_copy()?;
        }
        Ok(it)
    }

    /// Waits until something is there, but not for ever.
    async fn until_answered<F: std::future::Future<Output = bool>>(
        self: &Rc<Self>,
        name: &str,
        is_there: impl Fn() -> F,
    ) -> Result<(), FleetError> {
        let begun = Instant::now();
        while !is_there().await {
            let words = self.gates.iter().map(|gate| &gate.process).chain(&self.lists).find_map(|process| {
                let mut process = process.borrow_mut();
                let (status, _) = process.ended()?;
                Some(format!("{} has ended, {status}: {}", process.name, process.last_words()))
            });
            if words.is_some() || begun.elapsed() > STARTS {
                let why = words.unwrap_or_else(|| format!("not there after {} s", STARTS.as_secs()));
                return Err(FleetError::NoStart { name: name.to_owned(), why });
            }
            sleep(LOOKS).await;
        }
        Ok(())
    }

    async fn revision(&self) -> Option<Revision> {
        call(self.lists_at[0], REVISION_PATH, None).await
    }

    /// Something that goes on until the fleet ends.
    pub(super) fn goes_on(&self, task: impl std::future::Future<Output = ()> + 'static) {
        self.tasks.borrow_mut().push(spawn_local(task).abort_handle());
    }

    pub(super) fn starts_list(&self, number: usize) -> Result<(), FleetError> {
        let mut process = self.lists[number].borrow_mut();
        let at = ["--listen".to_owned(), self.lists_at[number].to_string()];
        let from = match number {
            0 => {
                let settle = LEASE.0.as_millis().to_string();
                let mut words = vec!["--data".into(), process.folder().display().to_string()];
                words.extend(["--settle-ms".into(), settle]);
                // There never was a list before the first one.
                words.extend(self.servers.borrow().is_empty().then(|| "--new".into()));
                words
            }
            // It has joined before its mirrors.
            _ => {
                let writer = self.network.address(self.list(number), self.list(0));
                vec!["--mirror-of".into(), writer.unwrap_or(self.lists_at[0]).to_string()]
            }
        };
        process.tell(at.into_iter().chain(from).collect(), Vec::new());
        process.start().map(drop)
    }

    /// Writes what a gatekeeper is told; `mirrors` says that it is to follow those only.
    fn writes_config(&self, number: usize, mirrors: bool) -> Result<(), FleetError> {
        let gate = &self.gates[number];
        let me = self.gate(number);
        let finds = |party| self.network.address(me, party).unwrap_or(gate.at);
        let places = Places {
            listen: gate.at,
            admin: SocketAddr::new(gate.at.ip(), gate.at.port() + 1),
            lists: (usize::from(mirrors)..self.lists.len()).map(|n| finds(self.list(n))).collect(),
            counter: finds(self.counter_party()),
            peers: self.datagrams.as_ref().and_then(|ways| {
                let peers = (0..self.gates.len()).filter_map(|n| ways.address(me, self.gate(n)));
                Some((gate.at, peers.collect(), ways.address_of_all(me)?))
            }),
        };
        let mut process = gate.process.borrow_mut();
        let file = process.folder().with_extension("json");
        let seed = self.seed + number as u64;
        std::fs::write(&file, config(&self.experiment, number, &places, seed).to_string())?;
        process.tell(Vec::new(), vec![("RELAY_CONFIG", file.display().to_string())]);
        Ok(())
    }

    /// Has a gatekeeper follow the mirrors only, or the list service again.
    pub(super) fn reloads(&self, number: usize, mirrors: bool) {
        match self.writes_config(number, mirrors) {
            Ok(()) => self.gates[number].process.borrow().signal(Signal::HUP),
            Err(error) => self.fails(format!("the file of gatekeeper {number}: {error}")),
        }
    }

    /// Starts a gatekeeper's process as it is told already.
    fn begins(self: &Rc<Self>, number: usize) -> Result<(), FleetError> {
        let said = self.gates[number].process.borrow_mut().start()?;
        self.history.sees(Seen::Started { gatekeeper: number });
        if let Some(said) = said {
            // It ends with the process.
            spawn_local(hears(self.history.clone(), number, said));
        }
        Ok(())
    }

    /// Another server stands in that zone, and calls to be listed for as long as it runs.
    pub(super) async fn adds_server(self: &Rc<Self>, zone: String, warm: bool) -> Result<(), FleetError> {
        let party = self.next.replace(self.next.get() + 1);
        // Its own, also where another one is being added at the same time.
        let number = party - self.counter_party() - 1;
        let uid = format!("s-{}", number + 1);
        let spec = self.experiment.fleet.spec();
        let server =
            Server::start(Own::new().server(number), uid, zone, spec, warm, self.history.clone()).await?;
        self.network.join(party, server.at, false)?;
        let (lease, leaving) = (Cell::default(), Cell::new(false));
        let listed = Rc::new(Listed { server, party, lease, leaving });
        self.servers.borrow_mut().push(listed.clone());
        let it = self.clone();
        self.goes_on(async move { it.keeps_listed(&listed).await });
        Ok(())
    }

    /// A server's own part: registers, renews, and registers anew where that is refused.
    async fn keeps_listed(&self, listed: &Listed) {
        let server = &listed.server;
        let mut boot_ms = u64::MAX;
        // The list has the address at which the rig itself finds it; its way puts in each caller's.
        let Some(endpoint) = self.network.address(0, listed.party) else { return };
        loop {
            if server.runs() && !listed.leaving.get() {
                if boot_ms != server.boot_ms.get() {
                    listed.lease.set(None);
                    boot_ms = server.boot_ms.get();
                }
                let renewed = match listed.lease.get() {
                    Some(_) => self.on_lease(listed, "/discovery/renew").await,
                    None => None,
                };
                if renewed.is_none() {
                    let form = RegisterRequest {
                        uid: server.uid.clone(),
                        endpoint: endpoint.to_string(),
                        az: server.zone.clone(),
                        model: "stand-in".into(),
                        pod_group: 0,
                        capacity_hint: 1.0,
                        boot_ms,
                        ttl_ms: LEASE.0.as_millis() as u64,
                    };
                    let leased: Option<LeaseResponse> =
                        self.call_list(listed, "/discovery/register", &form).await;
                    listed.lease.set(leased.map(|leased| leased.lease).or(listed.lease.get()));
                }
            }
            sleep(LEASE.1).await;
        }
    }

    async fn call_list<T: DeserializeOwned>(
        &self,
        listed: &Listed,
        path: &str,
        form: &impl serde::Serialize,
    ) -> Option<T> {
        let at = self.network.address(listed.party, self.list(0))?;
        call(at, path, serde_json::to_string(form).ok()).await
    }

    /// A call of a server on its lease.
    pub(super) async fn on_lease(&self, listed: &Listed, path: &str) -> Option<LeaseResponse> {
        let form = LeaseRequest { uid: listed.server.uid.clone(), lease: listed.lease.get()? };
        self.call_list(listed, path, &form).await
    }

    /// Sees processes that have ended, and starts those again that are wanted.
    async fn looks_after(self: Rc<Self>) {
        loop {
            for (number, gate) in self.gates.iter().enumerate() {
                let ended = gate.process.borrow_mut().ended();
                if let Some((status, asked)) = ended {
                    // One that finds its port taken can't but end.
                    let asked = asked || gate.port.borrow().is_some();
                    let how = format!("{status}: {}", gate.process.borrow().last_words());
                    if !asked {
                        *self.ended.borrow_mut() = Some(format!("gatekeeper {number} has ended: {how}"));
                    }
                    self.history.sees(Seen::Ended { gatekeeper: number, asked, how });
                    gate.again.set(Some(Instant::now() + AGAIN));
                }
                let due = gate.again.get().is_none_or(|again| Instant::now() >= again);
                let runs = gate.process.borrow().runs();
                if !runs && gate.wanted.get() && due {
                    if let Err(error) = self.begins(number) {
                        self.fails(format!("gatekeeper {number}: {error}"));
                    }
                }
            }
            sleep(LOOKS).await;
        }
    }

    /// What it takes of the machine now.
    fn sizes(&self, started: Duration) -> Sizes {
        let all = self.gates.iter().map(|gate| &gate.process).chain(&self.lists);
        let ids = all.filter_map(|process| process.borrow().id());
        Sizes {
            started_s: started.as_secs_f64(),
            processes_kb: ids.map(|id| memory_kb(&id.to_string())).sum(),
            rig_kb: memory_kb("self"),
            descriptors: std::fs::read_dir("/proc/self/fd").map_or(0, Iterator::count),
            connections: self.network.connections.get(),
            chunks: self.network.chunks.get(),
        }
    }

    /// The rig could not do what the schedule says: the run shows nothing.
    pub(super) fn fails(&self, what: String) {
        self.history.sees(Seen::Failed { what });
    }

    /// Waits until a gatekeeper's process is gone.
    pub(super) async fn until_gone(&self, number: usize) {
        while self.gates[number].process.borrow().runs() {
            sleep(LOOKS / 4).await;
        }
    }

    /// Kills a gatekeeper; with another folder, that is there once it is gone.
    pub(super) async fn kills(&self, number: usize, folder: Folder) {
        let gate = &self.gates[number];
        gate.process.borrow_mut().kill();
        self.until_gone(number).await;
        if let Err(error) = gate.process.borrow().set_folder(folder) {
            self.fails(format!("the folder of gatekeeper {number}: {error}"));
        }
    }

    /// The first gatekeeper that ended by itself, if one did.
    pub fn ended(&self) -> Option<String> {
        self.ended.borrow().clone()
    }

    /// All that is shown of servers while a run goes on: name, zone, requests that reached it, in hand if it runs.
    pub fn servers(&self) -> Vec<(String, String, u64, Option<usize>, bool)> {
        let row = |listed: &Rc<Listed>| {
            let server = &listed.server;
            let cut = (0..self.gates.len()).all(|n| self.network.is_cut(self.gate(n), listed.party));
            (server.uid.clone(), server.zone.clone(), server.attempts.get(), server.inflight(), cut)
        };
        self.servers.borrow().iter().map(row).collect()
    }

    /// What clients have seen so far.
    pub fn clients(&self) -> &Clients {
        &self.clients
    }

    /// The seconds for which clients ask.
    pub fn seconds(&self) -> usize {
        self.experiment.seconds.0.ceil() as usize
    }
}

/// Keeps what a gatekeeper says of its own state, a line of JSON an event.
async fn hears(history: Rc<History>, gatekeeper: usize, said: ChildStdout) {
    let mut lines = BufReader::new(said).lines();
    while let Ok(Some(line)) = lines.next_line().await {
        if let Ok(words) = serde_json::from_str(&line) {
            history.sees(Seen::Said { gatekeeper, words });
        }
    }
}

/// Sees whether the rig itself stands still.
async fn watches_itself(history: Rc<History>) {
    let mut before = Instant::now();
    loop {
        sleep(TICKS.0).await;
        let gap = before.elapsed();
        if gap > TICKS.1 {
            history.sees(Seen::Held { micros: gap.as_micros() as u64 });
        }
        before = Instant::now();
    }
}

/// Plays one run of an experiment on processes. `watch` is called each second; if it says so, or on an interrupt, the
/// run is broken off.
pub fn play(
    name: &str,
    experiment: &Experiment,
    seed: u64,
    setup: &Setup,
    watch: &dyn Fn(&Fleet, u64) -> Result<(), FleetError>,
) -> Result<Played, FleetError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        tokio::select! {
            played = plays(name, experiment, seed, setup, watch) => played,
            _ = tokio::signal::ctrl_c() => Err(FleetError::Ended("stopped".into())),
        }
    })
}

async fn plays(
    name: &str,
    experiment: &Experiment,
    seed: u64,
    setup: &Setup,
    watch: &dyn Fn(&Fleet, u64) -> Result<(), FleetError>,
) -> Result<Played, FleetError> {
    let run = Run::begin(name, experiment, &experiment.variants[0].name, seed);
    let fleet = Fleet::start(experiment, seed, run, setup).await?;
    fleet.goes_on(fleet.clone().looks_after());
    fleet.goes_on(watches_itself(fleet.history.clone()));
    fleet.goes_on(fleet.clients.clone().look_after());
    let started = fleet.history.elapsed();
    let begun = started.as_micros() as u64;
    fleet.clients.begin();
    let asks = spawn_local(fleet.clients.clone().ask(seed));
    fleet.goes_on(fleet.clone().schedule(Instant::now()));
    let mut inflight: Vec<Vec<u32>> = Vec::new();
    let mut second = 0;
    while !asks.is_finished() {
        second += 1;
        tokio::time::sleep_until(fleet.clients.begun() + Duration::from_secs(second)).await;
        let servers = fleet.servers.borrow();
        let in_hand = servers.iter().map(|listed| listed.server.inflight().unwrap_or(0) as u32).collect();
        drop(servers);
        if inflight.len() < fleet.seconds() {
            inflight.push(in_hand);
        }
        watch(&fleet, second)?;
    }
    fleet.history.sees(Seen::Over);
    sleep(TAIL).await;
    if let Some(revision) = fleet.revision().await {
        fleet.history.sees(Seen::Listed { rev: revision.rev });
    }
    let sizes = fleet.sizes(started);
    let (history, dropped) = fleet.history.take();
    let verdict = judge(&history, dropped, &Terms::of(experiment));

    let mut gatherer = fleet.clients.gatherer.replace(Gatherer::new(0, 0, Run::default()));
    let run = gatherer.run();
    let servers = fleet.servers.borrow();
    run.counter_calls = fleet.counter.calls.get();
    run.attempts = servers.iter().map(|listed| listed.server.attempts.get()).sum();
    run.marks = experiment.faults.iter().map(|fault| Mark::of(fault.get_ref())).collect();
    run.broken = verdict.counts.clone();
    run.breaches = verdict.breaches.clone();
    run.undecided = verdict.undecided.clone();
    run.processes = process_rows(&history, fleet.gates.len(), begun);
    let row = |(n, listed): (usize, &Rc<Listed>)| ServerRow {
        name: listed.server.uid.clone(),
        zone: listed.server.zone.clone(),
        attempts: listed.server.attempts.get(),
        inflight: inflight.iter().filter_map(|second| second.get(n).copied()).collect(),
    };
    run.servers = servers.iter().enumerate().map(row).collect();
    Ok(Played { run: gatherer.finish(), verdict, history, sizes })
}

/// What each gatekeeper's process did when, s from when clients began.
fn process_rows(history: &[Event], gatekeepers: usize, begun: u64) -> Vec<ProcessRow> {
    let end = history.last().map_or(begun, |event| event.at);
    let s = |at: u64| (at as f64 - begun as f64) / 1e6;
    let mut rows: Vec<ProcessRow> = (0..gatekeepers)
        .map(|n| ProcessRow { name: format!("gatekeeper {n}"), ..ProcessRow::default() })
        .collect();
    let mut open = BTreeMap::new();
    for Event { at, what } in history {
        let (key, begins) = match what {
            Seen::Ended { gatekeeper, .. } => ((*gatekeeper, "dead".to_owned(), 0), true),
            Seen::Started { gatekeeper } => ((*gatekeeper, "dead".to_owned(), 0), false),
            Seen::Hindered { gatekeeper, what, by } => ((*gatekeeper, what.word().to_owned(), *by), true),
            Seen::Freed { gatekeeper, what, by } => ((*gatekeeper, what.word().to_owned(), *by), false),
            _ => continue,
        };
        if begins {
            open.insert(key, *at);
        } else if let Some(from) = open.remove(&key) {
            rows[key.0].states.push((s(from), s(*at), key.1));
        }
    }
    for ((gatekeeper, word, _), from) in open {
        rows[gatekeeper].states.push((s(from), s(end), word));
    }
    rows
}

/// Where the folders of a run stay.
pub fn kept_at(out: &Path, name: &str, seed: u64) -> PathBuf {
    out.join(format!("{name}-{seed}"))
}
