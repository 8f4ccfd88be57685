//! Plays the schedule of an experiment on processes: what goes wrong, and what ends it.

use super::fleet::{Fleet, Listed};
use super::links::{Direction, Party, Trouble};
use crate::experiment::{Fault, FaultKind, Folder, How, Parties};
use crate::history::{Hindrance, Seen};
use rand::seq::SliceRandom;
use rustix::process::Signal;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, sleep_until, timeout_at, Instant};

/// How long a drained server still runs.
const DRAIN: Duration = Duration::from_secs(3);
/// In a crash loop a process lives so long.
const LIVES: Duration = Duration::from_secs(1);
/// A flood opens a connection again after this.
const AGAIN: Duration = Duration::from_millis(50);
/// A slow process runs for so long at once.
const RUNS: Duration = Duration::from_millis(20);
/// What was held up before a fault ended is on its way for so long after it.
const AFTER: Duration = Duration::from_millis(500);

/// A connection that is none of a client's: silent, garbage or half a request, opened again whenever it is closed.
async fn floods(to: Option<SocketAddr>, turn: usize, until: Instant) {
    let words: [&[u8]; 3] = [b"", b"\x16\x03\x01 garbage\r\n\r\n", b"GET /check/x HTTP/1.1\r\nHost: backend"];
    let Some(to) = to else { return };
    while Instant::now() < until {
        if let Ok(mut stream) = TcpStream::connect(to).await {
            // Whatever comes of it, it is opened again.
            let _ = stream.write_all(words[turn % words.len()]).await;
            let _ = timeout_at(until, stream.read(&mut [0; 256])).await;
        }
        sleep(AGAIN).await;
    }
}

/// What a fault is about, drawn when it begins.
#[derive(Default)]
struct About {
    gatekeepers: Vec<usize>,
    servers: Vec<Rc<Listed>>,
    /// Ways with trouble on them.
    ways: Vec<(Party, Party)>,
}

impl Fleet {
    /// Plays all faults, each at its time.
    pub(super) async fn schedule(self: Rc<Self>, begun: Instant) {
        for number in 0..self.experiment.faults.len() {
            let it = self.clone();
            self.goes_on(async move {
                let fault = it.experiment.faults[number].get_ref().clone();
                sleep_until(begun + Duration::from_secs_f64(fault.at.0)).await;
                it.plays(number, &fault, begun).await;
            });
        }
    }

    async fn plays(self: &Rc<Self>, number: usize, fault: &Fault, begun: Instant) {
        self.history.sees(Seen::Fault { number, begins: true });
        let until = begun + Duration::from_secs_f64(fault.at.0 + fault.lasts.0);
        let about = self.begins_fault(number, fault, until).await;
        sleep_until(until).await;
        self.ends_fault(number, fault, &about).await;
        self.history.sees(Seen::Fault { number, begins: false });
    }

    fn draws<T>(&self, mut all: Vec<T>, share: f64) -> Vec<T> {
        all.shuffle(&mut *self.rng.borrow_mut());
        all.truncate((all.len() as f64 * share).ceil() as usize);
        all
    }

    fn draws_gatekeepers(&self, share: f64) -> Vec<usize> {
        self.draws((0..self.gates.len()).collect(), share)
    }

    fn draws_servers(&self, share: f64) -> Vec<Rc<Listed>> {
        let runs = |listed: &&Rc<Listed>| listed.server.runs() && !listed.leaving.get();
        self.draws(self.servers.borrow().iter().filter(runs).cloned().collect(), share)
    }

    /// All parties of a kind, each with its zone; clients and counter have none of their own.
    fn parties(&self, of: Option<Parties>) -> Vec<(Party, Option<String>)> {
        let zones = &self.experiment.fleet.zones;
        let zone = |n: usize| Some(zones[n % zones.len()].clone());
        let is = |kind| of.is_none() || of == Some(kind);
        let mut all = Vec::new();
        if is(Parties::Clients) {
            all.push((0, None));
        }
        if is(Parties::Gatekeepers) {
            all.extend((0..self.gates.len()).map(|n| (self.gate(n), zone(n))));
        }
        if is(Parties::Lists) {
            all.extend((0..self.lists.len()).map(|n| (self.list(n), zone(n))));
        }
        if is(Parties::Counter) {
            all.push((self.counter_party(), zone(0)));
        }
        if is(Parties::Servers) {
            let servers = self.servers.borrow();
            all.extend(servers.iter().map(|it| (it.party, Some(it.server.zone.clone()))));
        }
        all
    }

    /// The same without their zones.
    fn numbers(&self, of: Option<Parties>) -> Vec<Party> {
        self.parties(of).into_iter().map(|(party, _)| party).collect()
    }

    /// Trouble between each of these and each of those; *out* is away from the first.
    fn troubles(&self, number: usize, of: &[Party], to: &[Party], trouble: Trouble, about: &mut About) {
        let back = Trouble { out: trouble.back, back: trouble.out, refuse: trouble.refuse };
        for (a, b) in of.iter().flat_map(|a| to.iter().map(move |b| (*a, *b))).filter(|(a, b)| a != b) {
            for (from, to, trouble) in [(a, b, trouble), (b, a, back)] {
                self.network.set(from, to, number, Some(trouble));
                about.ways.push((from, to));
            }
        }
        let gates = 1..=self.gates.len();
        let touched = |party: &Party| of.contains(party) || to.contains(party);
        let servers = self.servers.borrow().iter().any(|it| touched(&it.party));
        for party in gates.filter(touched) {
            if touched(&0) {
                self.hinders(party - 1, Hindrance::Answers, number);
            }
            if servers {
                self.hinders(party - 1, Hindrance::Sends, number);
            }
        }
    }

    fn cuts(&self, number: usize, of: &[Party], to: &[Party], about: &mut About) {
        let cut = Direction { cut: true, ..Direction::default() };
        self.troubles(number, of, to, Trouble { out: cut, back: cut, refuse: false }, about);
    }

    fn hinders(&self, gatekeeper: usize, what: Hindrance, by: usize) {
        self.history.sees(Seen::Hindered { gatekeeper, what, by });
    }

    fn frees(&self, gatekeeper: usize, what: Hindrance, by: usize) {
        self.history.sees(Seen::Freed { gatekeeper, what, by });
    }

    async fn begins_fault(self: &Rc<Self>, number: usize, fault: &Fault, until: Instant) -> About {
        use FaultKind::*;
        let share = fault.share.0;
        let mut about = About::default();
        match fault.kind {
            Release | Shrink => {
                about.servers = self.draws_servers(share);
                let step = fault.lasts.0 / about.servers.len().max(1) as f64;
                for (n, listed) in about.servers.iter().cloned().enumerate() {
                    let (it, replaced) = (self.clone(), fault.kind == Release);
                    self.goes_on(async move {
                        sleep(Duration::from_secs_f64(step * n as f64)).await;
                        it.takes_out(&listed, replaced).await;
                    });
                }
            }
            KillServers => {
                about.servers = self.draws_servers(share);
                about.servers.iter().for_each(|listed| listed.server.dies());
            }
            ZoneLost | ZoneCut => {
                let inside = |zone: &Option<String>| zone.is_some() && *zone == fault.zone;
                let lost = if fault.kind == ZoneLost { Some(Parties::Servers) } else { None };
                let of = self.parties(lost).into_iter().filter(|(_, zone)| inside(zone));
                let of: Vec<Party> = of.map(|(party, _)| party).collect();
                // The front reaches all.
                let others = self.parties(None).into_iter().filter(|(party, _)| *party > 0);
                let to = others.filter(|(party, _)| !of.contains(party)).map(|(party, _)| party);
                self.cuts(number, &of, &to.collect::<Vec<_>>(), &mut about);
                if fault.kind == ZoneLost {
                    let servers = self.servers.borrow();
                    about.servers = servers.iter().filter(|it| of.contains(&it.party)).cloned().collect();
                }
            }
            Slow | Failing => {
                about.servers = self.draws_servers(share);
                for listed in &about.servers {
                    if fault.kind == Slow {
                        listed.server.set_slow(fault.times.0);
                    } else {
                        listed.server.set_failing(true);
                    }
                }
            }
            CounterDown | ListSilent => {
                let of = if fault.kind == CounterDown { Parties::Counter } else { Parties::Lists };
                let (of, to) = (self.numbers(Some(of)), self.numbers(Some(Parties::Gatekeepers)));
                self.cuts(number, &of, &to, &mut about);
            }
            PlanSurge => self.surges(fault, true),
            ClientsLeave => self.clients.leave(share),
            Flood => {
                for n in 0..self.gates.len() {
                    for turn in 0..fault.times.0 as usize {
                        self.goes_on(floods(self.network.address(0, self.gate(n)), turn, until));
                    }
                }
            }
            Reload => {
                about.gatekeepers = self.draws_gatekeepers(share);
                about.gatekeepers.iter().for_each(|n| self.reloads(*n, true));
            }
            OneOffs => self.clients.one_offs(share),
            KillGatekeepers | StopGatekeepers | PortTaken => {
                about.gatekeepers = self.draws_gatekeepers(share);
                for n in &about.gatekeepers {
                    self.gates[*n].wanted.set(false);
                    if fault.kind == StopGatekeepers {
                        self.gates[*n].process.borrow_mut().asks_to_stop();
                    }
                }
                for n in about.gatekeepers.iter().filter(|_| fault.kind != StopGatekeepers) {
                    self.kills(*n, fault.folder.unwrap_or(Folder::Kept)).await;
                }
                for n in about.gatekeepers.iter().filter(|_| fault.kind == PortTaken) {
                    let gate = &self.gates[*n];
                    match std::net::TcpListener::bind(gate.at) {
                        Ok(taken) => *gate.port.borrow_mut() = Some(taken),
                        Err(error) => self.fails(format!("the port of gatekeeper {n}: {error}")),
                    }
                    gate.wanted.set(true);
                }
            }
            CrashLoop => {
                about.gatekeepers = self.draws_gatekeepers(share);
                for n in about.gatekeepers.clone() {
                    let it = self.clone();
                    self.goes_on(async move {
                        while Instant::now() < until {
                            it.kills(n, Folder::Kept).await;
                            sleep(LIVES).await;
                        }
                    });
                }
            }
            PauseGatekeepers | SlowGatekeepers => {
                about.gatekeepers = self.draws_gatekeepers(share);
                for n in about.gatekeepers.clone() {
                    self.hinders(n, Hindrance::Runs, number);
                    if fault.kind == PauseGatekeepers {
                        self.gates[n].process.borrow().signal(Signal::STOP);
                        continue;
                    }
                    let (it, pause) = (self.clone(), RUNS.mul_f64((fault.times.0 - 1.0).max(0.0)));
                    self.goes_on(async move {
                        while Instant::now() < until {
                            it.gates[n].process.borrow().signal(Signal::STOP);
                            sleep(pause).await;
                            it.gates[n].process.borrow().signal(Signal::CONT);
                            sleep(RUNS).await;
                        }
                    });
                }
            }
            KillList => {
                self.lists[0].borrow_mut().kill();
                while self.lists[0].borrow_mut().ended().is_none() {
                    sleep(RUNS / 4).await;
                }
                if let Err(error) = self.lists[0].borrow().set_folder(fault.folder.unwrap_or(Folder::Kept)) {
                    self.fails(format!("the folder of the list service: {error}"));
                }
            }
            PauseList => self.lists[0].borrow().signal(Signal::STOP),
            Link => self.link(number, fault, &mut about),
            Split => {
                let all = self.numbers(Some(Parties::Gatekeepers));
                let size = all.len().div_ceil(fault.times.0 as usize).max(1);
                let groups: Vec<&[Party]> = all.chunks(size).collect();
                if let [first, .., last] = groups[..] {
                    self.cuts(number, first, last, &mut about);
                }
            }
            RigPanics => panic!("as the schedule says"),
            RigStalls => std::thread::sleep(until.saturating_duration_since(Instant::now())),
        }
        about
    }

    fn link(&self, number: usize, fault: &Fault, about: &mut About) {
        let of = self.draws(self.numbers(fault.of), fault.share.0);
        let mut to = self.numbers(fault.to);
        to.retain(|party| !of.contains(party));
        let (well, cut) = (Direction::default(), Direction { cut: true, ..Direction::default() });
        let both = |one: Direction| Trouble { out: one, back: one, refuse: false };
        let trouble = match fault.how {
            Some(How::Cut) => both(cut),
            Some(How::CutOut) => Trouble { out: cut, ..Trouble::default() },
            Some(How::CutBack) => Trouble { back: cut, ..Trouble::default() },
            Some(How::Refuse) => Trouble { refuse: true, ..Trouble::default() },
            Some(How::Stall) => both(Direction { stall: true, ..well }),
            Some(How::Delay) => {
                let delay = (fault.ms.map_or(0.0, |ms| ms.0) * 1e3) as u64;
                both(Direction { delay, ..well })
            }
            Some(How::Narrow) => {
                both(Direction { bytes_per_s: fault.bytes_per_s.map_or(0.0, |n| n.0), ..well })
            }
            Some(How::Lose) => both(Direction { lose: fault.part.map_or(0.5, |part| part.0), ..well }),
            Some(How::Double) => both(Direction { double: fault.part.map_or(0.5, |part| part.0), ..well }),
            Some(How::Mix) => both(Direction { mix: (fault.ms.map_or(0.0, |ms| ms.0) * 1e3) as u64, ..well }),
            Some(How::Reset) | None => both(well),
        };
        self.troubles(number, &of, &to, trouble, about);
        if fault.how == Some(How::Reset) {
            about.ways.iter().for_each(|(from, to)| self.network.reset(*from, *to));
        }
    }

    fn surges(&self, fault: &Fault, begins: bool) {
        let plan = self.experiment.plans.iter().position(|plan| Some(&plan.name) == fault.plan.as_ref());
        // The file was refused without it.
        if let Some(plan) = plan {
            self.clients.surges(plan, fault.times.0, begins);
        }
    }

    async fn ends_fault(self: &Rc<Self>, number: usize, fault: &Fault, about: &About) {
        use FaultKind::*;
        if fault.kind == ZoneLost {
            // Its processes are others from now on, and what was open to the old ones is no more.
            about.servers.iter().for_each(|listed| listed.server.dies());
            about.ways.iter().for_each(|(from, to)| self.network.reset(*from, *to));
        }
        about.ways.iter().for_each(|(from, to)| self.network.set(*from, *to, number, None));
        match fault.kind {
            KillServers | ZoneLost => {
                for listed in &about.servers {
                    if let Err(error) = listed.server.returns().await {
                        self.fails(format!("{}: {error}", listed.server.uid));
                    }
                }
            }
            Slow => about.servers.iter().for_each(|listed| listed.server.set_slow(1.0)),
            Failing => about.servers.iter().for_each(|listed| listed.server.set_failing(false)),
            CounterDown => self.counter.restart(),
            PlanSurge => self.surges(fault, false),
            ClientsLeave => self.clients.leave(0.0),
            Reload => about.gatekeepers.iter().for_each(|n| self.reloads(*n, false)),
            OneOffs => self.clients.one_offs(-fault.share.0),
            KillGatekeepers | StopGatekeepers | PortTaken => {
                for gate in about.gatekeepers.iter().map(|n| &self.gates[*n]) {
                    gate.port.borrow_mut().take();
                    gate.wanted.set(true);
                }
            }
            PauseGatekeepers | SlowGatekeepers => {
                for n in &about.gatekeepers {
                    self.gates[*n].process.borrow().signal(Signal::CONT);
                }
            }
            KillList => {
                if let Err(error) = self.starts_list(0) {
                    self.fails(format!("the list service: {error}"));
                }
            }
            PauseList => self.lists[0].borrow().signal(Signal::CONT),
            Release | Shrink | ZoneCut | ListSilent | CrashLoop | Link | Flood | Split | RigStalls
            | RigPanics => {}
        }
        // What was held up is on its way.
        sleep(AFTER).await;
        for n in 0..self.gates.len() {
            [Hindrance::Runs, Hindrance::Answers, Hindrance::Sends]
                .into_iter()
                .for_each(|what| self.frees(n, what, number));
        }
    }

    /// A server drains and stops; with a successor, which starts at once, or without.
    async fn takes_out(self: &Rc<Self>, listed: &Listed, replaced: bool) {
        listed.leaving.set(true);
        // A list service that can't be reached hears of it when the lease lapses.
        let _ = self.on_lease(listed, "/discovery/drain").await;
        if replaced {
            if let Err(error) = self.adds_server(listed.server.zone.clone(), false).await {
                self.fails(format!("a successor of {}: {error}", listed.server.uid));
            }
        }
        sleep(DRAIN).await;
        let _ = self.on_lease(listed, "/discovery/deregister").await;
        listed.server.dies();
    }
}
