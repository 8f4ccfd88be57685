//! Markers, their disks and the network between them in virtual time, and timelines as text.
//!
//! Cells of a marker: `up` starts it (with what its disk holds), `kill` ends its process, `power` ends it and loses
//! what is not synced, `wipe` takes its disk too, `freeze` and `thaw`, `cut` and `join` (from and to all others),
//! `deaf` (it sends, and hears nobody), `stop` (SIGTERM), `slow` (its disk takes two seconds). Cells of the operator:
//! `put 7 a` sends version 7 to `a`, following redirects and trying on, `put 7 a B` with the content `B`; `get a` reads.
//! What must have come by then: `acked 7` and `has 7`; of the order of a number and a content `done 7 B`, `refused 7 B`,
//! or `open 7 B`: no clear answer since it was sent last.

#![allow(dead_code)] // Each file of tests uses a part.

use granitelead_common::error_kinds::ErrorKind;
use granitelead_control_protocol::messages::{Document, Node, PeerMessage, ProposalNumber};
use marker::core::{begin, Core};
use marker::parts::{Keeping, Output, Reply};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::Ipv4Addr;

/// What drawn schedules do to a marker, and what ends it.
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
pub enum Life {
    Down,
    Up,
    Frozen,
}

pub struct Place {
    pub ip: Ipv4Addr,
    pub life: Life,
    /// Counts starts, so that what was for a former life is lost.
    pub start: u32,
    pub core: Option<Core>,
    pub disk: Option<Keeping>,
    pub disk_ms: u64,
    pub cut: bool,
    pub deaf: bool,
    pub held: Vec<(Node, PeerMessage)>,
    pub founder: bool,
    /// When it was told to end.
    pub told: u64,
    pub zone: &'static str,
    /// It has no disk: what it holds ends with its process.
    pub forgets: bool,
}

#[derive(Debug)]
pub enum Event {
    Word(usize, u32, Node, Box<PeerMessage>),
    Written(usize, u32, u64, Box<Keeping>),
    Tick(usize, u32),
    Ended(usize, u32),
    /// An operator's call: which, where, how often it was tried.
    Call(u64, usize, u32),
}

pub enum Call {
    Put(u32, String),
    Get { since: u32 },
}

/// What an operator saw of one of its calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seen {
    pub call: Asked,
    /// When it was sent first, ms.
    pub sent: u64,
    /// When it had a clear answer, and which.
    pub end: Option<(u64, Clear)>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Asked {
    Put(u32, String),
    Get,
}

/// An answer after which a call is not sent again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Clear {
    Confirmed,
    /// With 409.
    Refused,
    /// The configuration that is read: its number and content.
    Read(u32, String),
    /// There is no configuration yet.
    Nothing,
}

pub struct World {
    pub now: u64,
    pub places: Vec<Place>,
    pub queue: BinaryHeap<Reverse<(u64, u64)>>,
    pub events: BTreeMap<u64, Event>,
    pub next: u64,
    pub rng: fastrand::Rng,
    pub calls: BTreeMap<u64, Call>,
    /// How often each call was tried.
    pub tries: BTreeMap<u64, u32>,
    /// What the operators saw, by call.
    pub seen: BTreeMap<u64, Seen>,
    /// The numbers and contents that any marker has confirmed, seen or not.
    pub confirmed: BTreeSet<(u32, String)>,
    pub acked: u32,
    pub read: Option<u32>,
    /// Which marker answered in which epoch.
    pub primaries: BTreeMap<ProposalNumber, Ipv4Addr>,
    pub lossy: f64,
    /// How many of the answers to operators are lost.
    pub answers_lost: f64,
    /// Falsifies what markers say.
    pub tamper: Option<fn(&mut PeerMessage)>,
    pub losses: usize,
}

pub fn document(version: u32, content: &str) -> Document {
    let number = version.to_be_bytes();
    Document { version, bytes: number.iter().copied().chain(content.bytes()).collect() }
}

/// The content of a document that was made here.
fn content(document: &Document) -> String {
    assert_eq!(document.bytes[..4], document.version.to_be_bytes());
    String::from_utf8(document.bytes[4..].to_vec()).unwrap()
}

pub fn ip(place: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, 1 + place as u8)
}

impl World {
    pub fn new(places: usize, founders: usize, seed: u64) -> World {
        let place = |n| Place {
            ip: ip(n),
            life: Life::Down,
            start: 0,
            core: None,
            disk: None,
            disk_ms: 5,
            cut: false,
            deaf: false,
            held: Vec::new(),
            founder: n < founders,
            told: 0,
            zone: "",
            forgets: false,
        };
        World {
            now: 0,
            places: (0..places).map(place).collect(),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next: 0,
            rng: fastrand::Rng::with_seed(seed),
            calls: BTreeMap::new(),
            tries: BTreeMap::new(),
            seen: BTreeMap::new(),
            confirmed: BTreeSet::new(),
            acked: 0,
            read: None,
            primaries: BTreeMap::new(),
            lossy: 0.0,
            answers_lost: 0.0,
            tamper: None,
            losses: 1,
        }
    }

    pub fn at(&mut self, after: u64, event: Event) {
        self.next += 1;
        self.queue.push(Reverse((self.now + after, self.next)));
        self.events.insert(self.next, event);
    }

    pub fn up(&mut self, n: usize, first_start: bool) {
        let seeds: Vec<Ipv4Addr> = self.places.iter().filter(|p| p.founder).map(|p| p.ip).collect();
        let seed = self.rng.u64(..);
        let place = &mut self.places[n];
        let fresh = || begin(place.ip, &seeds, first_start, seed);
        let keeping = place.disk.clone().unwrap_or_else(fresh);
        place.disk = Some(keeping.clone());
        place.start += 1;
        place.life = Life::Up;
        let core = Core::new(keeping, &seeds, self.losses, seed, self.now);
        place.core = Some(core.placed(place.zone, !place.forgets));
        let start = place.start;
        self.at(0, Event::Tick(n, start));
    }

    pub fn down(&mut self, n: usize) {
        let place = &mut self.places[n];
        (place.life, place.core) = (Life::Down, None);
        place.disk = place.disk.take().filter(|_| !place.forgets);
        place.start += 1;
        place.held.clear();
    }

    pub fn act(&mut self, n: usize, what: &str) {
        match what {
            "" => {}
            "up" => {
                let first = self.now == 0;
                self.up(n, first);
            }
            "power" => self.down(n),
            "kill" => {
                self.down(n);
                // Its peers see that the process has ended.
                let ip = self.places[n].ip;
                for other in (0..self.places.len()).filter(|m| *m != n) {
                    self.step(other, |core, now, _| core.on_broken(now, ip));
                }
            }
            "wipe" => {
                self.down(n);
                self.places[n].disk = None;
            }
            "freeze" => self.places[n].life = Life::Frozen,
            "thaw" => {
                self.places[n].life = Life::Up;
                let start = self.places[n].start;
                for (from, word) in std::mem::take(&mut self.places[n].held) {
                    self.at(0, Event::Word(n, start, from, Box::new(word)));
                }
                self.at(0, Event::Tick(n, start));
            }
            "cut" => self.places[n].cut = true,
            "join" => (self.places[n].cut, self.places[n].deaf) = (false, false),
            "deaf" => self.places[n].deaf = true,
            "slow" => self.places[n].disk_ms = 2_000,
            "quick" => self.places[n].disk_ms = 5,
            "stop" => {
                self.step(n, |core, now, out| core.on_leave(now, out));
                self.places[n].told = self.now;
                let start = self.places[n].start;
                self.at(400, Event::Ended(n, start));
            }
            other => panic!("what is {other}?"),
        }
    }

    pub fn call(&mut self, call: Call, at: usize) {
        self.next += 1;
        let id = self.next;
        let asked = match &call {
            Call::Put(version, content) => Asked::Put(*version, content.clone()),
            Call::Get { .. } => Asked::Get,
        };
        self.seen.insert(id, Seen { call: asked, sent: self.now, end: None });
        self.calls.insert(id, call);
        self.again(0, id, at);
    }

    pub fn put(&mut self, version: u32, content: &str, at: usize) {
        self.call(Call::Put(version, content.to_owned()), at);
    }

    pub fn step(&mut self, n: usize, take: impl FnOnce(&mut Core, u64, &mut Vec<Output>)) {
        let mut out = Vec::new();
        let start = self.places[n].start;
        let Some(core) = self.places[n].core.as_mut() else { return };
        take(core, self.now, &mut out);
        let (me, view) = (core.me(), core.view());
        for output in out {
            match output {
                Output::Send(to, mut word) => {
                    self.tamper.into_iter().for_each(|tamper| tamper(&mut word));
                    let Some(to) = self.places.iter().position(|p| p.ip == to) else { continue };
                    let lost = self.rng.f64() < self.lossy;
                    if self.places[n].cut || self.places[to].cut || self.places[to].deaf || lost {
                        continue;
                    }
                    let (delay, start) = (self.rng.u64(1..4), self.places[to].start);
                    self.at(delay, Event::Word(to, start, me, Box::new(word)));
                }
                Output::Write(ticket, keeping) => {
                    let delay = self.places[n].disk_ms;
                    self.at(delay, Event::Written(n, start, ticket, Box::new(keeping)));
                }
                Output::Answer(id, reply) => {
                    // One that is told by the primary what is safe may say so too.
                    let epoch = view.epoch.as_ref().filter(|_| view.leads).map(|e| e.number);
                    self.answered(id, n, reply, epoch);
                }
                Output::Tell(..)
                | Output::End(_)
                | Output::Sure(_)
                | Output::Servers(_)
                | Output::Gatekeepers(_) => {}
            }
        }
    }

    pub fn answered(&mut self, id: u64, n: usize, reply: Reply, epoch: Option<ProposalNumber>) {
        if let (Reply::Json(_), Some(Asked::Put(version, content))) =
            (&reply, self.seen.get(&id).map(|s| &s.call))
        {
            self.confirmed.insert((*version, content.clone()));
        }
        if self.answers_lost > 0.0 && self.rng.f64() < self.answers_lost {
            return;
        }
        let mut end = None;
        let again = match (&reply, self.calls.get(&id)) {
            (Reply::Json(_), Some(Call::Put(version, _))) => {
                self.acked = self.acked.max(*version);
                if let Some(epoch) = epoch {
                    let by = *self.primaries.entry(epoch).or_insert(ip(n));
                    assert_eq!(by, ip(n), "two primaries answer in {epoch:?}");
                }
                end = Some(Clear::Confirmed);
                None
            }
            (Reply::Fault(ErrorKind::Conflict, _), Some(Call::Put(..))) => {
                end = Some(Clear::Refused);
                None
            }
            (Reply::Document(read), Some(Call::Get { since })) => {
                assert!(
                    read.version >= *since,
                    "at {}: read {} after {since} was acked",
                    self.now,
                    read.version
                );
                self.read = Some(read.version);
                end = Some(Clear::Read(read.version, content(read)));
                None
            }
            (Reply::Fault(kind, _), Some(Call::Get { since: 0 })) if kind.status() == 404 => {
                end = Some(Clear::Nothing);
                None
            }
            (Reply::Elsewhere(to), Some(_)) => self.places.iter().position(|p| p.ip == *to),
            (_, Some(_)) => Some((n + 1) % self.places.len()),
            (_, None) => None,
        };
        if let (Some(end), Some(seen)) = (end, self.seen.get_mut(&id)) {
            seen.end = Some((self.now, end));
        }
        match again {
            Some(at) => self.again(50, id, at),
            None => drop(self.calls.remove(&id)),
        }
    }

    /// A call is tried again later, and not any more as it was to be.
    pub fn again(&mut self, after: u64, id: u64, at: usize) {
        let tries = self.tries.entry(id).or_default();
        *tries += 1;
        let tries = *tries;
        self.at(after, Event::Call(id, at, tries));
    }

    pub fn run(&mut self, until: u64) {
        while let Some(Reverse((at, id))) = self.queue.peek().copied().filter(|Reverse((at, _))| *at <= until)
        {
            self.queue.pop();
            self.now = at;
            let Some(event) = self.events.remove(&id) else { continue };
            match event {
                Event::Word(n, start, from, word) if self.places[n].start == start => {
                    match self.places[n].life {
                        Life::Up => self.step(n, |core, now, out| core.on_word(now, from, *word, out)),
                        Life::Frozen => self.places[n].held.push((from, *word)),
                        Life::Down => {}
                    }
                }
                Event::Written(n, start, ticket, keeping) if self.places[n].start == start => {
                    self.places[n].disk = Some(*keeping);
                    match self.places[n].life {
                        Life::Frozen => {
                            let keeping = self.places[n].disk.clone().unwrap();
                            self.at(10, Event::Written(n, start, ticket, Box::new(keeping)));
                        }
                        _ => self.step(n, |core, now, out| core.on_written(now, ticket, out)),
                    }
                }
                Event::Tick(n, start) if self.places[n].start == start && self.places[n].life == Life::Up => {
                    self.step(n, |core, now, out| core.on_tick(now, out));
                    self.at(25, Event::Tick(n, start));
                }
                Event::Ended(n, start) if self.places[n].start == start => {
                    let told = self.places[n].told;
                    // As long as what it holds is held by nobody else, and the grace period lasts.
                    let core = self.places[n].core.as_ref();
                    if core.is_some_and(|core| !core.may_end()) && self.now < told + 5_500 {
                        self.at(25, Event::Ended(n, start));
                    } else {
                        self.down(n);
                    }
                }
                Event::Call(id, n, tries) if self.tries.get(&id) == Some(&tries) => {
                    let next = (n + 1) % self.places.len();
                    let reached = self.places[n].life == Life::Up;
                    match self.calls.get(&id) {
                        Some(Call::Put(version, content)) if reached => {
                            let document = document(*version, content);
                            self.step(n, |core, now, out| core.on_replace(now, id, document, out));
                        }
                        Some(Call::Get { .. }) if reached => {
                            self.step(n, |core, now, out| core.on_read(now, id, out))
                        }
                        _ => {}
                    }
                    // Silence for a second: the caller tries the next.
                    if self.calls.contains_key(&id) && self.tries.get(&id) == Some(&tries) {
                        self.again(if reached { 1_000 } else { 100 }, id, next);
                    }
                }
                _ => {}
            }
        }
        self.now = until;
    }

    pub fn primary(&self) -> Option<usize> {
        let leads = |p: &Place| p.life == Life::Up && p.core.as_ref().is_some_and(|core| core.view().leads);
        self.places.iter().position(leads)
    }
}

/// Plays a timeline: its first line names the columns.
pub fn play(founders: usize, timeline: &str) -> World {
    play_with(1, founders, timeline)
}

/// The same where more than one loss is to be borne.
pub fn play_with(losses: usize, founders: usize, timeline: &str) -> World {
    let mut lines = timeline.lines().map(str::trim).filter(|line| !line.is_empty());
    let columns: Vec<&str> = lines.next().unwrap().split('|').map(str::trim).collect();
    let places = columns.len() - 2;
    let mut world = World::new(places, founders, 7);
    world.losses = losses;
    for line in lines {
        let cells: Vec<&str> = line.split('|').map(str::trim).collect();
        assert_eq!(cells.len(), columns.len(), "{line}");
        world.run(cells[0].parse().unwrap());
        for n in 0..places {
            world.act(n, cells[n + 1]);
        }
        let words: Vec<&str> = cells[places + 1].split_whitespace().collect();
        let place = |name: &str| columns.iter().position(|c| *c == name).unwrap() - 1;
        match words[..] {
            [] => {}
            ["put", version, at] => world.put(version.parse().unwrap(), "", place(at)),
            ["put", version, at, content] => world.put(version.parse().unwrap(), content, place(at)),
            [end @ ("done" | "refused" | "open"), version, content] => {
                let order = Asked::Put(version.parse().unwrap(), content.to_owned());
                let last = world.seen.values().rfind(|seen| seen.call == order).unwrap();
                let wanted = match end {
                    "done" => Some(&Clear::Confirmed),
                    "refused" => Some(&Clear::Refused),
                    _ => None,
                };
                assert_eq!(last.end.as_ref().map(|(_, end)| end), wanted, "{line}");
            }
            ["get", at] => {
                let since = world.acked;
                world.read = None;
                world.call(Call::Get { since }, place(at));
            }
            ["acked", version] => assert_eq!(world.acked, version.parse::<u32>().unwrap(), "{line}"),
            ["has", version] => assert_eq!(world.read, Some(version.parse().unwrap()), "{line}"),
            ["primary", name] => assert_eq!(world.primary(), Some(place(name)), "{line}"),
            ["none"] => assert_eq!(world.primary(), None, "{line}"),
            _ => panic!("what is {words:?}?"),
        }
    }
    let numbers: BTreeSet<u32> = world.confirmed.iter().map(|(version, _)| *version).collect();
    assert_eq!(numbers.len(), world.confirmed.len(), "two contents under one number: {:?}", world.confirmed);
    world
}
