//! A simulator in virtual time of markers, their disks and the network between them, driven by
//! timelines in text form.
//!
//! Cells of a marker: `up` starts it (from what its disk holds), `kill` ends its process, `power`
//! ends it and loses writes that are not synced, `wipe` also erases its disk, `freeze` and `thaw`
//! pause and resume it, `cut` and `join` cut and restore its links in both directions, `deaf` cuts
//! only what it receives, `stop` sends SIGTERM, `slow` makes its disk writes take two seconds, and
//! `quick` ends that.
//!
//! Cells of the operator: `put 7 a` sends version 7 to `a`, following redirects and retrying, `put
//! 7 a B` the same with the content `B`; `get a` reads. Assertions: `acked 7` and `has 7`; for a
//! version and content `done 7 B`, `refused 7 B`, or `open 7 B` (no definite answer since it was
//! last sent); `primary a` and `none` for the current primary.

#![allow(dead_code)] // Each file of tests uses a part.

use granitelead_common::error_kinds::ErrorKind;
use granitelead_control_protocol::messages::{Document, Node, PeerMessage, ProposalNumber};
use marker::core::{initial_state, Core};
use marker::types::{Output, PersistentState, Reply};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::Ipv4Addr;

/// The faults of random schedules, each with the action that ends it.
pub const FAULTS: [(&str, &str); 7] = [
    ("kill", "up"),
    ("power", "up"),
    ("wipe", "up"),
    ("freeze", "thaw"),
    ("cut", "join"),
    ("deaf", "join"),
    ("slow", "quick"),
];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessState {
    Down,
    Up,
    Frozen,
}

pub struct Machine {
    pub ip: Ipv4Addr,
    pub state: ProcessState,
    /// Counts starts, so that events for an earlier process are dropped.
    pub incarnation: u32,
    pub core: Option<Core>,
    pub disk: Option<PersistentState>,
    pub disk_ms: u64,
    pub cut: bool,
    pub deaf: bool,
    pub queued: Vec<(Node, PeerMessage)>,
    pub founder: bool,
    /// When it was told to shut down, ms.
    pub stop_requested_at: u64,
    pub zone: &'static str,
    /// Whether it has no disk, so that its state ends with its process.
    pub diskless: bool,
}

#[derive(Debug)]
pub enum Event {
    Message(usize, u32, Node, Box<PeerMessage>),
    Written(usize, u32, u64, Box<PersistentState>),
    Tick(usize, u32),
    CheckExit(usize, u32),
    /// An operator's call: its number, the marker it goes to, and the number of attempts.
    Call(u64, usize, u32),
}

pub enum Call {
    Put(u32, String),
    Get { since: u32 },
}

/// What an operator observed of one of its calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObservedCall {
    pub operation: Operation,
    /// When it was first sent, ms.
    pub sent: u64,
    /// When it had a definite answer, ms, and which.
    pub outcome: Option<(u64, Outcome)>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operation {
    Put(u32, String),
    Get,
}

/// An answer after which a call is not retried.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    Confirmed,
    /// Answered with 409.
    Refused,
    /// The configuration that was read: its version and content.
    Read(u32, String),
    /// No configuration has been set yet.
    NotConfigured,
}

pub struct World {
    pub now: u64,
    pub machines: Vec<Machine>,
    pub queue: BinaryHeap<Reverse<(u64, u64)>>,
    pub events: BTreeMap<u64, Event>,
    pub next: u64,
    pub rng: fastrand::Rng,
    pub calls: BTreeMap<u64, Call>,
    /// The number of attempts of each call.
    pub attempts: BTreeMap<u64, u32>,
    /// What the operators observed, by call.
    pub observed: BTreeMap<u64, ObservedCall>,
    /// The versions and contents that any marker confirmed, whether or not the operator got the
    /// answer.
    pub confirmed: BTreeSet<(u32, String)>,
    pub acked: u32,
    pub read: Option<u32>,
    /// The marker that answered in each epoch.
    pub primaries: BTreeMap<ProposalNumber, Ipv4Addr>,
    pub message_loss: f64,
    /// The share of answers to operators that is lost.
    pub answer_loss: f64,
    /// Alters the messages that markers send.
    pub tamper: Option<fn(&mut PeerMessage)>,
    pub losses: usize,
}

pub fn document(version: u32, content: &str) -> Document {
    let prefix = version.to_be_bytes();
    Document { version, bytes: prefix.iter().copied().chain(content.bytes()).collect() }
}

/// The content of a document made by [`document`].
fn content(document: &Document) -> String {
    assert_eq!(document.bytes[..4], document.version.to_be_bytes());
    String::from_utf8(document.bytes[4..].to_vec()).unwrap()
}

pub fn ip(machine: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, 1 + machine as u8)
}

impl World {
    pub fn new(machines: usize, founders: usize, seed: u64) -> World {
        let machine = |n| Machine {
            ip: ip(n),
            state: ProcessState::Down,
            incarnation: 0,
            core: None,
            disk: None,
            disk_ms: 5,
            cut: false,
            deaf: false,
            queued: Vec::new(),
            founder: n < founders,
            stop_requested_at: 0,
            zone: "",
            diskless: false,
        };
        World {
            now: 0,
            machines: (0..machines).map(machine).collect(),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next: 0,
            rng: fastrand::Rng::with_seed(seed),
            calls: BTreeMap::new(),
            attempts: BTreeMap::new(),
            observed: BTreeMap::new(),
            confirmed: BTreeSet::new(),
            acked: 0,
            read: None,
            primaries: BTreeMap::new(),
            message_loss: 0.0,
            answer_loss: 0.0,
            tamper: None,
            losses: 1,
        }
    }

    pub fn schedule(&mut self, after: u64, event: Event) {
        self.next += 1;
        self.queue.push(Reverse((self.now + after, self.next)));
        self.events.insert(self.next, event);
    }

    pub fn start(&mut self, n: usize, first_start: bool) {
        let seeds: Vec<Ipv4Addr> = self.machines.iter().filter(|p| p.founder).map(|p| p.ip).collect();
        let seed = self.rng.u64(..);
        let machine = &mut self.machines[n];
        let initial = || initial_state(machine.ip, &seeds, first_start, seed);
        let keeping = machine.disk.clone().unwrap_or_else(initial);
        machine.disk = Some(keeping.clone());
        machine.incarnation += 1;
        machine.state = ProcessState::Up;
        let core = Core::new(keeping, &seeds, self.losses, seed, self.now);
        machine.core = Some(core.with_placement(machine.zone, !machine.diskless));
        let incarnation = machine.incarnation;
        self.schedule(0, Event::Tick(n, incarnation));
    }

    pub fn stop(&mut self, n: usize) {
        let machine = &mut self.machines[n];
        (machine.state, machine.core) = (ProcessState::Down, None);
        machine.disk = machine.disk.take().filter(|_| !machine.diskless);
        machine.incarnation += 1;
        machine.queued.clear();
    }

    pub fn inject(&mut self, n: usize, what: &str) {
        match what {
            "" => {}
            "up" => {
                let first = self.now == 0;
                self.start(n, first);
            }
            "power" => self.stop(n),
            "kill" => {
                self.stop(n);
                // Its peers see the connections close.
                let ip = self.machines[n].ip;
                for other in (0..self.machines.len()).filter(|m| *m != n) {
                    self.step(other, |core, now, _| core.on_disconnected(now, ip));
                }
            }
            "wipe" => {
                self.stop(n);
                self.machines[n].disk = None;
            }
            "freeze" => self.machines[n].state = ProcessState::Frozen,
            "thaw" => {
                self.machines[n].state = ProcessState::Up;
                let incarnation = self.machines[n].incarnation;
                for (from, message) in std::mem::take(&mut self.machines[n].queued) {
                    self.schedule(0, Event::Message(n, incarnation, from, Box::new(message)));
                }
                self.schedule(0, Event::Tick(n, incarnation));
            }
            "cut" => self.machines[n].cut = true,
            "join" => (self.machines[n].cut, self.machines[n].deaf) = (false, false),
            "deaf" => self.machines[n].deaf = true,
            "slow" => self.machines[n].disk_ms = 2_000,
            "quick" => self.machines[n].disk_ms = 5,
            "stop" => {
                self.step(n, |core, now, out| core.on_leave(now, out));
                self.machines[n].stop_requested_at = self.now;
                let incarnation = self.machines[n].incarnation;
                self.schedule(400, Event::CheckExit(n, incarnation));
            }
            other => panic!("unknown action {other}"),
        }
    }

    pub fn call(&mut self, call: Call, at: usize) {
        self.next += 1;
        let id = self.next;
        let operation = match &call {
            Call::Put(version, content) => Operation::Put(*version, content.clone()),
            Call::Get { .. } => Operation::Get,
        };
        self.observed.insert(id, ObservedCall { operation, sent: self.now, outcome: None });
        self.calls.insert(id, call);
        self.schedule_attempt(0, id, at);
    }

    pub fn put(&mut self, version: u32, content: &str, at: usize) {
        self.call(Call::Put(version, content.to_owned()), at);
    }

    pub fn step(&mut self, n: usize, take: impl FnOnce(&mut Core, u64, &mut Vec<Output>)) {
        let mut out = Vec::new();
        let incarnation = self.machines[n].incarnation;
        let Some(core) = self.machines[n].core.as_mut() else { return };
        take(core, self.now, &mut out);
        let (me, view) = (core.me(), core.view());
        for output in out {
            match output {
                Output::SendToMarker(to, mut message) => {
                    self.tamper.into_iter().for_each(|tamper| tamper(&mut message));
                    let Some(to) = self.machines.iter().position(|p| p.ip == to) else { continue };
                    let lost = self.rng.f64() < self.message_loss;
                    if self.machines[n].cut || self.machines[to].cut || self.machines[to].deaf || lost {
                        continue;
                    }
                    let (delay, incarnation) = (self.rng.u64(1..4), self.machines[to].incarnation);
                    self.schedule(delay, Event::Message(to, incarnation, me, Box::new(message)));
                }
                Output::Persist(ticket, keeping) => {
                    let delay = self.machines[n].disk_ms;
                    self.schedule(delay, Event::Written(n, incarnation, ticket, Box::new(keeping)));
                }
                Output::Answer(id, reply) => {
                    // A marker that learned of the commit from the primary may confirm as well;
                    // only answers of primaries are recorded here.
                    let epoch = view.epoch.as_ref().filter(|_| view.is_primary).map(|e| e.number);
                    self.on_answer(id, n, reply, epoch);
                }
                Output::SendToGatekeeper(..)
                | Output::CloseSession(_)
                | Output::Committed(_)
                | Output::StoreServers(_)
                | Output::StoreGatekeepers(..) => {}
            }
        }
    }

    pub fn on_answer(&mut self, id: u64, n: usize, reply: Reply, epoch: Option<ProposalNumber>) {
        if let (Reply::Json(_), Some(Operation::Put(version, content))) =
            (&reply, self.observed.get(&id).map(|s| &s.operation))
        {
            self.confirmed.insert((*version, content.clone()));
        }
        if self.answer_loss > 0.0 && self.rng.f64() < self.answer_loss {
            return;
        }
        let mut outcome = None;
        let next_machine = match (&reply, self.calls.get(&id)) {
            (Reply::Json(_), Some(Call::Put(version, _))) => {
                self.acked = self.acked.max(*version);
                if let Some(epoch) = epoch {
                    let by = *self.primaries.entry(epoch).or_insert(ip(n));
                    assert_eq!(by, ip(n), "two primaries answer in {epoch:?}");
                }
                outcome = Some(Outcome::Confirmed);
                None
            }
            (Reply::Failure(ErrorKind::Conflict, _), Some(Call::Put(..))) => {
                outcome = Some(Outcome::Refused);
                None
            }
            (Reply::Document(read), Some(Call::Get { since })) => {
                assert!(
                    read.version >= *since,
                    "at {} ms: read {} after {since} was confirmed",
                    self.now,
                    read.version
                );
                self.read = Some(read.version);
                outcome = Some(Outcome::Read(read.version, content(read)));
                None
            }
            (Reply::Failure(kind, _), Some(Call::Get { since: 0 })) if kind.status() == 404 => {
                outcome = Some(Outcome::NotConfigured);
                None
            }
            (Reply::Redirect(to), Some(_)) => self.machines.iter().position(|p| p.ip == *to),
            (_, Some(_)) => Some((n + 1) % self.machines.len()),
            (_, None) => None,
        };
        if let (Some(outcome), Some(call)) = (outcome, self.observed.get_mut(&id)) {
            call.outcome = Some((self.now, outcome));
        }
        match next_machine {
            Some(at) => self.schedule_attempt(50, id, at),
            None => drop(self.calls.remove(&id)),
        }
    }

    /// Schedules the next attempt of a call, which replaces the one scheduled before.
    pub fn schedule_attempt(&mut self, after: u64, id: u64, at: usize) {
        let attempts = self.attempts.entry(id).or_default();
        *attempts += 1;
        let attempts = *attempts;
        self.schedule(after, Event::Call(id, at, attempts));
    }

    pub fn run(&mut self, until: u64) {
        while let Some(Reverse((at, id))) = self.queue.peek().copied().filter(|Reverse((at, _))| *at <= until)
        {
            self.queue.pop();
            self.now = at;
            let Some(event) = self.events.remove(&id) else { continue };
            match event {
                Event::Message(n, incarnation, from, message)
                    if self.machines[n].incarnation == incarnation =>
                {
                    match self.machines[n].state {
                        ProcessState::Up => {
                            self.step(n, |core, now, out| core.on_message(now, from, *message, out))
                        }
                        ProcessState::Frozen => self.machines[n].queued.push((from, *message)),
                        ProcessState::Down => {}
                    }
                }
                Event::Written(n, incarnation, ticket, keeping)
                    if self.machines[n].incarnation == incarnation =>
                {
                    self.machines[n].disk = Some(*keeping);
                    match self.machines[n].state {
                        ProcessState::Frozen => {
                            let keeping = self.machines[n].disk.clone().unwrap();
                            self.schedule(10, Event::Written(n, incarnation, ticket, Box::new(keeping)));
                        }
                        _ => self.step(n, |core, now, out| core.on_written(now, ticket, out)),
                    }
                }
                Event::Tick(n, incarnation)
                    if self.machines[n].incarnation == incarnation
                        && self.machines[n].state == ProcessState::Up =>
                {
                    self.step(n, |core, now, out| core.on_tick(now, out));
                    self.schedule(25, Event::Tick(n, incarnation));
                }
                Event::CheckExit(n, incarnation) if self.machines[n].incarnation == incarnation => {
                    let stop_requested_at = self.machines[n].stop_requested_at;
                    // A marker exits once its state is stored elsewhere, or at the end of the grace
                    // period.
                    let core = self.machines[n].core.as_ref();
                    if core.is_some_and(|core| !core.may_end()) && self.now < stop_requested_at + 5_500 {
                        self.schedule(25, Event::CheckExit(n, incarnation));
                    } else {
                        self.stop(n);
                    }
                }
                Event::Call(id, n, attempts) if self.attempts.get(&id) == Some(&attempts) => {
                    let next = (n + 1) % self.machines.len();
                    let is_up = self.machines[n].state == ProcessState::Up;
                    match self.calls.get(&id) {
                        Some(Call::Put(version, content)) if is_up => {
                            let document = document(*version, content);
                            self.step(n, |core, now, out| core.on_replace(now, id, document, out));
                        }
                        Some(Call::Get { .. }) if is_up => {
                            self.step(n, |core, now, out| core.on_read(now, id, out))
                        }
                        _ => {}
                    }
                    // Without an answer for a second, the caller tries the next marker.
                    if self.calls.contains_key(&id) && self.attempts.get(&id) == Some(&attempts) {
                        self.schedule_attempt(if is_up { 1_000 } else { 100 }, id, next);
                    }
                }
                _ => {}
            }
        }
        self.now = until;
    }

    pub fn primary(&self) -> Option<usize> {
        let leads = |p: &Machine| {
            p.state == ProcessState::Up && p.core.as_ref().is_some_and(|core| core.view().is_primary)
        };
        self.machines.iter().position(leads)
    }
}

/// Plays a timeline, whose first line names the columns.
pub fn play(founders: usize, timeline: &str) -> World {
    play_with(1, founders, timeline)
}

/// Plays a timeline with this number of losses to tolerate.
pub fn play_with(losses: usize, founders: usize, timeline: &str) -> World {
    let mut lines = timeline.lines().map(str::trim).filter(|line| !line.is_empty());
    let columns: Vec<&str> = lines.next().unwrap().split('|').map(str::trim).collect();
    let machines = columns.len() - 2;
    let mut world = World::new(machines, founders, 7);
    world.losses = losses;
    for line in lines {
        let cells: Vec<&str> = line.split('|').map(str::trim).collect();
        assert_eq!(cells.len(), columns.len(), "{line}");
        world.run(cells[0].parse().unwrap());
        for n in 0..machines {
            world.inject(n, cells[n + 1]);
        }
        let operator: Vec<&str> = cells[machines + 1].split_whitespace().collect();
        let machine_named = |name: &str| columns.iter().position(|c| *c == name).unwrap() - 1;
        match operator[..] {
            [] => {}
            ["put", version, at] => world.put(version.parse().unwrap(), "", machine_named(at)),
            ["put", version, at, content] => world.put(version.parse().unwrap(), content, machine_named(at)),
            [end @ ("done" | "refused" | "open"), version, content] => {
                let change = Operation::Put(version.parse().unwrap(), content.to_owned());
                let last = world.observed.values().rfind(|call| call.operation == change).unwrap();
                let wanted = match end {
                    "done" => Some(&Outcome::Confirmed),
                    "refused" => Some(&Outcome::Refused),
                    _ => None,
                };
                assert_eq!(last.outcome.as_ref().map(|(_, outcome)| outcome), wanted, "{line}");
            }
            ["get", at] => {
                let since = world.acked;
                world.read = None;
                world.call(Call::Get { since }, machine_named(at));
            }
            ["acked", version] => assert_eq!(world.acked, version.parse::<u32>().unwrap(), "{line}"),
            ["has", version] => assert_eq!(world.read, Some(version.parse().unwrap()), "{line}"),
            ["primary", name] => assert_eq!(world.primary(), Some(machine_named(name)), "{line}"),
            ["none"] => assert_eq!(world.primary(), None, "{line}"),
            _ => panic!("unknown operator cell {operator:?}"),
        }
    }
    let versions: BTreeSet<u32> = world.confirmed.iter().map(|(version, _)| *version).collect();
    assert_eq!(
        versions.len(),
        world.confirmed.len(),
        "two contents under one version: {:?}",
        world.confirmed
    );
    world
}
