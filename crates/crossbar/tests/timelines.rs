//! Markers and gatekeepers together on timelines: a column for each, time downwards. Nothing sleeps.
//!
//! Cells: `up`, `kill` (ends the process; its peers see it), `power` (they don't), `cut` and `join` (from and to all
//! markers; of a marker, from and to the others; `back` where only the others' lines to it broke). Cells of what happens outside: `put 7` sends a configuration,
//! `beat s1`, `drain s1`, `leave s1` are calls of a server at the first marker that is up, `load 40` lets 40 requests a
//! second come to each gatekeeper; `keep s1` has it beat on its own until `dies s1`. What must hold: `have 7` and `know 2` (servers that may get something new) at all
//! gatekeepers that are up and not cut off, `touch` that these hear their homes, `lists m1 2` how many servers a marker knows, `reaper m1` whose duty that is by all
//! markers that are not cut off, `answered s1` and `waits s1` of a server's last call.

use crossbar::control::Control;
use crossbar::gate::Gate;
use googletest::prelude::*;
use marker::core::{begin, Core};
use marker::parts::{Keeping, Output, Reply};
use marker::state::{Call, Marker};
use plugboard::configuration::Tenant;
use plugboard::settings::Bounds;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::time::Duration;
use trunk::words::{Between, Down, Node, Up, Word};

const RATE: f64 = 100.0;

struct Board {
    ip: Ipv4Addr,
    marker: Option<Marker>,
    disk: Option<Keeping>,
    start: u32,
    cut: bool,
}

struct Column {
    gate: Option<Gate>,
    start: u32,
    cut: bool,
    /// Sessions by marker: number, when the marker was heard last, and when the gatekeeper was.
    sessions: BTreeMap<Ipv4Addr, (u64, u64, u64)>,
    pinged: u64,
    owed: f64,
}

enum Event {
    Between(usize, u32, Node, Between),
    Written(usize, u32, u64, Keeping),
    Up(usize, u32, u64, Up),
    Down(usize, u32, Ipv4Addr, u64, Down),
}

struct World {
    now: u64,
    boards: Vec<Board>,
    columns: Vec<Column>,
    events: BTreeMap<(u64, u64), Event>,
    next: u64,
    load: f64,
    ran: Vec<u64>,
    refused: usize,
    calls: BTreeMap<u64, String>,
    sequence: u64,
    /// Bytes that markers told gatekeepers, and gatekeepers markers.
    bytes: (usize, usize),
    /// And markers each other.
    between: usize,
    /// Servers that beat on their own.
    beats: BTreeSet<String>,
    rng: fastrand::Rng,
}

fn bounds() -> Bounds {
    let secs = Duration::from_secs;
    Bounds {
        drain: secs(2),
        grace: secs(6),
        apply: secs(2),
        retry_ratio: 0.2,
        retry_window: secs(10),
        retry_slack: 62.0,
        quota_window: secs(5),
        quota_overshoot: 0.1,
        quota_slack: 20.0,
    }
}

fn configuration(version: u32) -> Vec<u8> {
    format!(
        r#"{{"version":"{version:08x}","tenants":[{{"name":"t","api-keys":["k"],"requests-per-s":{RATE},"burst-size":{RATE}}}],
        "listeners":[],"upstream-clusters":[]}}"#
    )
    .into_bytes()
}

impl World {
    fn new(boards: usize, columns: usize) -> World {
        let board = |n: usize| {
            let ip = Ipv4Addr::new(10, 0, 0, 1 + n as u8);
            Board { ip, marker: None, disk: None, start: 0, cut: false }
        };
        let column =
            |_| Column { gate: None, start: 0, cut: false, sessions: BTreeMap::new(), pinged: 0, owed: 0.0 };
        World {
            now: 0,
            boards: (0..boards).map(board).collect(),
            columns: (0..columns).map(column).collect(),
            events: BTreeMap::new(),
            next: 0,
            load: 0.0,
            ran: Vec::new(),
            refused: 0,
            calls: BTreeMap::new(),
            sequence: 0,
            bytes: (0, 0),
            between: 0,
            beats: BTreeSet::new(),
            rng: fastrand::Rng::with_seed(11),
        }
    }

    fn at(&mut self, after: u64, event: Event) {
        self.next += 1;
        self.events.insert((self.now + after, self.next), event);
    }

    fn seeds(&self) -> Vec<Ipv4Addr> {
        self.boards.iter().map(|b| b.ip).collect()
    }

    fn act(&mut self, n: usize, what: &str) {
        match (n.checked_sub(self.boards.len()), what) {
            (_, "") => {}
            (None, "up") => {
                let seeds = self.seeds();
                let (board, seed) = (&mut self.boards[n], self.rng.u64(..));
                let keeping = board.disk.clone().unwrap_or_else(|| begin(board.ip, &seeds, true, seed));
                let core = Core::new(keeping, &seeds, 1, seed, self.now);
                board.marker = Some(Marker::new(core, format!("zone-{n}"), 1_500, Vec::new()));
                board.start += 1;
                self.lines(n, true);
            }
            (None, "kill") => {
                (self.boards[n].marker, self.boards[n].start) = (None, self.boards[n].start + 1);
                let ip = self.boards[n].ip;
                (0..self.columns.len()).for_each(|g| self.hang_up(g, ip));
            }
            (None, "power") => {
                (self.boards[n].marker, self.boards[n].start) = (None, self.boards[n].start + 1)
            }
            (None, "cut") => self.boards[n].cut = true,
            (None, "join" | "back") => {
                self.boards[n].cut = false;
                self.lines(n, what == "join");
            }
            (Some(g), "up") => {
                let (seeds, seed) = (self.seeds(), self.rng.u64(..));
                let zone = format!("zone-{}", g % self.boards.len());
                let control = Control::new(&format!("g{g}"), &zone, seeds, seed);
                self.columns[g].gate = Some(Gate::new(control, &zone, &bounds(), seed));
                self.columns[g].start += 1;
            }
            (Some(g), "kill" | "power") => {
                (self.columns[g].gate, self.columns[g].start) = (None, self.columns[g].start + 1);
                for (ip, (id, ..)) in std::mem::take(&mut self.columns[g].sessions) {
                    if what == "kill" {
                        self.closed(ip, id, true);
                    }
                }
            }
            (Some(g), "cut" | "join") => self.columns[g].cut = what == "cut",
            _ => panic!("what is {what}?"),
        }
    }

    fn closed(&mut self, ip: Ipv4Addr, id: u64, left: bool) {
        if let Some(n) = self.boards.iter().position(|b| b.ip == ip) {
            self.step(n, |marker, _, out| marker.on_closed(id, left, out));
        }
    }

    /// A gatekeeper's session ends on its side.
    fn hang_up(&mut self, g: usize, ip: Ipv4Addr) {
        let Some((id, ..)) = self.columns[g].sessions.remove(&ip) else { return };
        let say = self.columns[g].gate.as_mut().map(|gate| gate.control.close(ip));
        if !self.columns[g].cut {
            self.closed(ip, id, true);
        }
        self.say(g, say.into_iter().flatten().collect());
    }

    fn say(&mut self, g: usize, words: Vec<(Ipv4Addr, Up)>) {
        for (ip, word) in words {
            let Some(n) = self.boards.iter().position(|b| b.ip == ip) else { continue };
            let Some((id, ..)) = self.columns[g].sessions.get(&ip).copied() else { continue };
            if !self.columns[g].cut {
                let start = self.boards[n].start;
                self.bytes.1 += trunk::frames::write(&Word::Up(word.clone())).len();
                self.at(1, Event::Up(n, start, id, word));
            }
        }
    }

    fn step(&mut self, n: usize, take: impl FnOnce(&mut Marker, u64, &mut Vec<Output>)) {
        let mut out = Vec::new();
        let Some(marker) = self.boards[n].marker.as_mut() else { return };
        take(marker, self.now, &mut out);
        let (me, start, ip) = (marker.me(), self.boards[n].start, self.boards[n].ip);
        for output in out {
            match output {
                Output::Send(to, word) => {
                    self.between += trunk::frames::write(&Word::Between(me, word.clone())).len();
                    let Some(to) = self.boards.iter().position(|b| b.ip == to) else { continue };
                    if !self.boards[n].cut && !self.boards[to].cut {
                        let start = self.boards[to].start;
                        self.at(1, Event::Between(to, start, me, word));
                    }
                }
                Output::Tell(id, word) => {
                    self.bytes.0 += trunk::frames::write(&Word::Down(word.clone())).len();
                    let of = |c: &Column| c.sessions.get(&ip).is_some_and(|(s, ..)| *s == id);
                    if let Some(g) = self.columns.iter().position(of).filter(|g| !self.columns[*g].cut) {
                        let start = self.columns[g].start;
                        self.at(1, Event::Down(g, start, ip, id, word));
                    }
                }
                Output::Write(ticket, keeping) => self.at(5, Event::Written(n, start, ticket, keeping)),
                Output::Answer(id, _) => drop(self.calls.remove(&id)),
                Output::Servers(_) | Output::Sure(_) => {}
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Between(n, start, from, word) if self.boards[n].start == start => {
                self.step(n, |marker, now, out| marker.on_word(now, from, word, out));
            }
            Event::Written(n, start, ticket, keeping) if self.boards[n].start == start => {
                self.boards[n].disk = Some(keeping);
                self.step(n, |marker, now, out| marker.on_written(now, ticket, out));
            }
            Event::Up(n, start, id, word) if self.boards[n].start == start => {
                let (ip, now) = (self.boards[n].ip, self.now);
                let session =
                    self.columns.iter_mut().filter_map(|c| c.sessions.get_mut(&ip)).find(|s| s.0 == id);
                if let Some(session) = session {
                    session.2 = now;
                    self.step(n, |marker, now, out| marker.on_up(now, id, word, out));
                }
            }
            Event::Down(g, start, ip, id, word) if self.columns[g].start == start => {
                let now = self.now;
                let Some(session) = self.columns[g].sessions.get_mut(&ip).filter(|s| s.0 == id) else {
                    return;
                };
                session.1 = now;
                let Some(gate) = self.columns[g].gate.as_mut() else { return };
                let (change, mut say) = gate.control.take(now, ip, word);
                if let Some(change) = change {
                    let version = gate.take(now, change);
                    say.extend(version.map(|version| (ip, Up::Has(version))));
                }
                self.say(g, say);
            }
            _ => {}
        }
    }

    /// What a gatekeeper does of itself.
    fn tick(&mut self, g: usize) {
        let (now, cut) = (self.now, self.columns[g].cut);
        let silent: Vec<(Ipv4Addr, u64)> = self.columns[g]
            .sessions
            .iter()
            .filter(|(_, s)| now > s.2 + 2_000)
            .map(|(ip, s)| (*ip, s.0))
            .collect();
        for (ip, id) in silent {
            self.closed(ip, id, false);
        }
        let deaf: Vec<Ipv4Addr> =
            self.columns[g].sessions.iter().filter(|(_, s)| now > s.1 + 1_800).map(|(ip, _)| *ip).collect();
        deaf.into_iter().for_each(|ip| self.hang_up(g, ip));
        let Some(gate) = self.columns[g].gate.as_mut() else { return };
        let batch = gate.on_batch(now);
        let wanted = gate.control.wanted(&BTreeSet::new());
        self.say(g, batch.into_iter().collect());
        let there = |ip: &Ipv4Addr| self.boards.iter().any(|b| b.ip == *ip && b.marker.is_some());
        if let Some(ip) = wanted.filter(|ip| !cut && there(ip)) {
            self.next += 1;
            let Some(gate) = self.columns[g].gate.as_mut() else { return };
            let has = gate.configuration.as_ref().map(|c| c.version);
            let servers = gate.servers.all();
            let hello = gate.control.open(now, ip, has, servers);
            self.columns[g].sessions.insert(ip, (self.next, now, now));
            self.say(g, vec![(ip, hello)]);
        }
        if now >= self.columns[g].pinged + 150 {
            self.columns[g].pinged = now;
            let all: Vec<Ipv4Addr> = self.columns[g].sessions.keys().copied().collect();
            self.say(g, all.into_iter().map(|ip| (ip, Up::Ping)).collect());
        }
    }

    fn requests(&mut self, g: usize) {
        let now = self.now;
        let column = &mut self.columns[g];
        let Some(gate) = column.gate.as_mut() else { return };
        column.owed += self.load * 0.005;
        let tenant = Tenant { name: "t".into(), priority: None, rate: RATE, burst: RATE };
        while column.owed >= 1.0 {
            column.owed -= 1.0;
            if gate.tenants.beyond(now, &tenant).is_none() {
                gate.control.add("t");
                self.ran.push(now);
            } else {
                self.refused += 1;
            }
        }
    }

    /// The lines of all other markers to one come up anew, and its own to them where it is `both`.
    fn lines(&mut self, n: usize, both: bool) {
        for other in (0..self.boards.len()).filter(|other| *other != n) {
            for (from, to) in [(n, other), (other, n)].into_iter().skip(usize::from(!both)) {
                let ip = self.boards[to].ip;
                if self.boards[to].marker.is_some() {
                    self.step(from, |marker, now, out| marker.on_line(now, ip, false, out));
                    self.step(from, |marker, now, out| marker.on_line(now, ip, true, out));
                }
            }
        }
    }

    /// How things are, as a marker says.
    fn status(&mut self, name: &str) -> Value {
        let n: usize = name.trim_start_matches('m').parse().unwrap();
        let (now, mut out) = (self.now, Vec::new());
        self.boards[n - 1].marker.as_mut().unwrap().on_call(now, 0, Call::Status, &mut out);
        let text = out.into_iter().find_map(|output| match output {
            Output::Answer(0, Reply::Json(text)) => Some(text),
            _ => None,
        });
        serde_json::from_str(&text.unwrap()).unwrap()
    }

    fn run(&mut self, until: u64) {
        while self.now < until {
            while let Some(((at, _), _)) = self.events.first_key_value() {
                if *at > self.now {
                    break;
                }
                let Some((_, event)) = self.events.pop_first() else { break };
                self.handle(event);
            }
            if self.now.is_multiple_of(25) {
                (0..self.boards.len())
                    .for_each(|n| self.step(n, |marker, now, out| marker.on_tick(now, out)));
            }
            if self.now.is_multiple_of(1_500) {
                let beats: Vec<String> = self.beats.iter().cloned().collect();
                beats.iter().for_each(|id| self.beat(id, "ready"));
            }
            for g in 0..self.columns.len() {
                if self.now % 50 == g as u64 % 50 {
                    self.tick(g);
                }
                if self.now.is_multiple_of(5) {
                    self.requests(g);
                }
            }
            self.now += 1;
        }
    }

    fn call(&mut self, name: &str, call: Call) {
        let n = self.boards.iter().position(|b| b.marker.is_some()).unwrap();
        self.next += 1;
        let id = self.next;
        self.calls.insert(id, name.to_owned());
        self.step(n, |marker, now, out| marker.on_call(now, id, call, out));
    }

    fn beat(&mut self, id: &str, state: &str) {
        self.sequence += 1;
        let last = id.trim_start_matches('s');
        let body = format!(
            r#"{{"address":"10.9.0.{last}:80","information":{{"service-name":"s","zone":"zone-0","capacity-slots":2}},
            "status":{{"state":"{state}","call-sequence":{}}}}}"#,
            self.sequence
        );
        self.call(id, Call::Beat { id: id.into(), body: body.into_bytes() });
    }

    fn happen(&mut self, words: &[&str]) {
        let reached = |c: &&Column| c.gate.is_some() && !c.cut;
        match words {
            [] => {}
            ["put", version] => {
                let body = configuration(version.parse().unwrap());
                self.call("operator", Call::Replace { body });
            }
            ["beat", id] => self.beat(id, "ready"),
            ["keep", id] => {
                self.beats.insert((*id).into());
                self.beat(id, "ready");
            }
            ["dies", id] => drop(self.beats.remove(*id)),
            ["lists", name, n] => {
                let servers = self.status(name)["servers"].as_u64();
                assert_eq!(servers, Some(n.parse().unwrap()), "{name} at {}", self.now);
            }
            ["reaper", name] => {
                let n: usize = name.trim_start_matches('m').parse().unwrap();
                let ip = self.boards[n - 1].ip.to_string();
                for n in 0..self.boards.len() {
                    if self.boards[n].marker.is_none() || self.boards[n].cut {
                        continue;
                    }
                    let duties = self.status(&format!("m{}", n + 1))["duties"].clone();
                    assert_eq!(duties["reaper"]["holder"], *ip, "m{} at {}: {duties}", n + 1, self.now);
                }
            }
            ["drain", id] => self.beat(id, "draining"),
            ["leave", id] => self.call(id, Call::Leave { id: (*id).into() }),
            ["load", load] => self.load = load.parse().unwrap(),
            ["have", version] => {
                for gate in self.columns.iter().filter(reached).filter_map(|c| c.gate.as_ref()) {
                    let has = gate.configuration.as_ref().map(|c| c.version);
                    assert_eq!(has, Some(version.parse().unwrap()), "at {}", self.now);
                    assert!(gate.is_ready());
                }
            }
            ["touch"] => {
                for gate in self.columns.iter().filter(reached).filter_map(|c| c.gate.as_ref()) {
                    assert!(gate.control.in_touch(self.now), "at {}", self.now);
                }
            }
            ["unready"] => {
                assert!(self.columns.iter().filter_map(|c| c.gate.as_ref()).all(|g| !g.is_ready()))
            }
            ["know", n] => {
                for gate in self.columns.iter().filter(reached).filter_map(|c| c.gate.as_ref()) {
                    assert_eq!(gate.servers.ready("s"), n.parse::<usize>().unwrap(), "at {}", self.now);
                }
            }
            ["answered", id] => assert!(!self.calls.values().any(|name| name == id), "at {}", self.now),
            ["waits", id] => assert!(self.calls.values().any(|name| name == id), "at {}", self.now),
            _ => panic!("what is {words:?}?"),
        }
    }

    /// The most that ran in five seconds.
    fn most(&self) -> usize {
        let (mut most, mut begin) = (0, 0);
        for end in 0..self.ran.len() {
            while self.ran[end] >= self.ran[begin] + 5_000 {
                begin += 1;
            }
            most = most.max(end + 1 - begin);
        }
        most
    }
}

/// What the rule allows in five seconds.
fn allowed() -> usize {
    ((RATE * 5.0 + RATE) * 1.1 + 20.0) as usize
}

fn play(timeline: &str) -> World {
    let mut lines = timeline.lines().map(str::trim).filter(|line| !line.is_empty());
    let columns: Vec<&str> = lines.next().unwrap().split('|').map(str::trim).collect();
    let boards = columns.iter().filter(|name| name.starts_with('m') && **name != "ms").count();
    let mut world = World::new(boards, columns.len() - 2 - boards);
    for line in lines {
        let cells: Vec<&str> = line.split('|').map(str::trim).collect();
        assert_eq!(cells.len(), columns.len(), "{line}");
        world.run(cells[0].parse().unwrap());
        for n in 0..columns.len() - 2 {
            world.act(n, cells[n + 1]);
        }
        let words: Vec<&str> = cells[columns.len() - 1].split_whitespace().collect();
        world.happen(&words);
    }
    world
}

#[gtest]
fn gatekeepers_find_markers_and_are_ready_once_a_configuration_is_there() {
    play(
        "ms   | m1 | m2   | m3 | g1 | g2 | g3   | outside
         0    | up | up   | up | up | up |      |
         1000 |    |      |    |    |    |      | unready
         1000 |    |      |    |    |    |      | touch
         1000 |    |      |    |    |    |      | put 1
         1100 |    |      |    |    |    |      | have 1
         1100 |    | kill |    |    |    | up   |
         1500 |    |      |    |    |    |      | have 1
         1500 |    |      |    |    |    | kill | put 2
         3500 |    |      |    |    |    | up   |
         4000 |    |      |    |    |    |      | have 2
         4000 |    |      |    |    |    |      | touch",
    );
}

#[gtest]
fn a_configuration_reaches_those_who_were_cut_off_once_they_are_back_and_nobody_goes_back() {
    play(
        "ms    | m1 | m2 | m3 | g1  | g2   | outside
         0     | up | up | up | up  | up   |
         1000  |    |    |    |     |      | put 1
         1500  |    |    |    | cut |      | have 1
         1600  |    |    |    |     |      | put 3
         1700  |    |    |    |     |      | put 2
         2000  |    |    |    |     |      | have 3
         6000  |    |    |    | join |     |
         8500  |    |    |    |     |      | have 3",
    );
}

#[gtest]
fn a_server_starts_drains_and_goes_and_is_answered_once_all_know() {
    play(
        "ms    | m1 | m2   | m3 | g1  | g2 | g3 | outside
         0     | up | up   | up | up  | up | up |
         1000  |    |      |    |     |    |    | put 1
         1100  |    |      |    |     |    |    | beat s1
         1200  |    |      |    |     |    |    | beat s2
         1210  |    |      |    |     |    |    | know 2
         2000  |    |      |    |     |    |    | drain s1
         2001  |    |      |    |     |    |    | waits s1
         2010  |    |      |    |     |    |    | know 1
         2010  |    |      |    |     |    |    | answered s1
         3000  |    |      |    |     |    |    | leave s1
         3500  |    |      |    | cut |    |    | beat s1
         3510  |    |      |    |     |    |    | know 1
         3600  |    |      |    |     |    |    | drain s2
         3900  |    |      |    |     |    |    | waits s2
         4200  |    |      |    |     |    |    | answered s2
         4200  |    |      |    |     |    |    | know 0",
    );
}

#[gtest]
fn the_markers_know_all_servers_again_after_all_of_them_were_killed() {
    play(
        "ms    | m1   | m2   | m3   | g1 | g2 | outside
         0     | up   | up   | up   | up | up |
         1000  |      |      |      |    |    | put 1
         1100  |      |      |      |    |    | beat s1
         2000  | kill | kill | kill |    |    | know 1
         3000  | up   | up   | up   |    |    | know 1
         4500  |      |      |      |    | kill |
         4600  |      |      |      |    | up |
         5500  |      |      |      |    |    | know 1
         5500  |      |      |      |    |    | have 1",
    );
}

const CALM: &str = "ms | m1 | m2 | m3 | g1 | g2 | g3 | g4 | g5 | g6 | g7 | outside
         0     | up | up | up | up | up | up | up | up | up | up |
         2000  |    |    |    |    |    |    |    |    |    |    | load 9";

#[gtest]
fn a_marker_that_missed_the_end_of_a_server_has_it_handed_over() {
    play(
        "ms   | m1 | m2 | m3   | g1 | outside
         0    | up | up | up   | up |
         1000 |    |    |      |    | keep s1
         1000 |    |    |      |    | keep s2
         1500 |    |    | cut  |    | lists m3 2
         1600 |    |    |      |    | dies s1
         1600 |    |    |      |    | leave s1
         4000 |    |    |      |    | lists m1 1
         4000 |    |    | back |    | lists m3 2
         4200 |    |    |      |    | lists m3 1
         4200 |    |    |      |    | know 1",
    );
}

#[gtest]
fn whoever_was_away_does_not_bring_back_a_server_whose_address_is_anothers() {
    play(
        "ms    | m1 | m2 | m3 | g1   | g2 | outside
         0     | up | up | up | up   | up |
         1000  |    |    |    |      |    | keep s1
         1500  |    |    |    | cut  |    | know 1
         1600  |    |    |    |      |    | dies s1
         3600  |    |    |    |      |    | keep ss1
         3700  |    |    |    |      |    | know 1
         40000 |    |    |    | join |    | lists m1 1
         42000 |    |    |    |      |    | know 1
         42000 |    |    |    |      |    | lists m1 1",
    );
}

#[gtest]
fn the_duty_to_end_silent_servers_passes_on_and_is_never_done_by_one_that_is_cut_off() {
    play(
        "ms    | m1   | m2 | m3 | g1 | outside
         0     | up   | up | up | up |
         1000  |      |    |    |    | keep s1
         1000  |      |    |    |    | keep s2
         3000  |      |    |    |    | reaper m3
         4000  |      |    | cut |   | dies s2
         7000  |      |    |    |    | reaper m1
         14000 |      |    |    |    | lists m3 2
         14000 |      |    |    |    | lists m1 1
         14000 |      |    | join |  |
         15000 |      |    |    |    | reaper m1
         15000 |      |    |    |    | lists m3 1
         15000 | kill |    |    |    | know 1
         18000 |      |    |    |    | reaper m2",
    );
}

/// Bytes on held connections: a member's part is the same whether there are 11 of them or 91, and stays far below a link
/// of 2 Mbit/s (250,000 bytes a second).
#[gtest]
fn what_a_member_costs_does_not_grow_with_the_fleet() {
    let mut idle = Vec::new();
    for members in [11, 91] {
        let mut world = World::new(3, members);
        (0..3 + members).for_each(|n| world.act(n, "up"));
        world.run(3_000);
        for n in 1..=36 {
            world.happen(&["keep", &format!("s{n}")]);
        }
        world.happen(&["put", "1"]);
        world.run(6_000);
        let count = |world: &mut World, ms: u64| {
            (world.bytes, world.between) = ((0, 0), 0);
            world.run(world.now + ms);
            let seconds = ms as f64 / 1_000.0;
            let each = |bytes: usize| bytes as f64 / members as f64 / seconds;
            (each(world.bytes.0), each(world.bytes.1), world.between as f64 / 3.0 / seconds)
        };
        let quiet = count(&mut world, 4_500);
        world.happen(&["load", "9"]);
        let busy = count(&mut world, 4_500);
        world.happen(&["load", "0"]);
        world.run(world.now + 4_500);
        world.happen(&["put", "2"]);
        let change = count(&mut world, 1_000);
        println!("{members}: bytes a second down and up for each member, between markers for each marker:");
        println!(
            "  quiet {quiet:.0?}, 9 requests a second each {busy:.0?}, a second with a change {change:.0?}"
        );
        expect_that!(quiet.0 + quiet.1, lt(1_500.0));
        expect_that!(busy.0 + busy.1, lt(6_000.0));
        idle.push(quiet.0 + quiet.1);
    }
    expect_that!(idle[1], lt(idle[0] * 1.2));
}

#[gtest]
fn in_calm_times_nothing_inside_a_quota_is_refused() {
    let mut world = play(CALM);
    world.run(3_500);
    let before = world.refused;
    world.run(20_000);
    expect_that!(world.refused - before, eq(0));
}

#[gtest]
fn a_tenant_at_eight_times_its_usual_has_its_quota_and_no_more() {
    let mut world = play(CALM);
    world.run(8_000);
    world.load = 72.0;
    world.run(24_000);
    expect_that!(world.most(), le(allowed()));
    let late = world.ran.iter().filter(|at| **at >= 14_000).count();
    expect_that!(late, ge((RATE * 10.0 * 0.85) as usize));
}

#[gtest]
fn on_both_sides_of_a_cut_a_quota_holds_whenever_the_cut_comes() {
    for after in [0, 300, 600, 900, 1_500, 2_500] {
        let mut world = play(CALM);
        world.run(8_000);
        world.load = 72.0;
        world.run(8_000 + after);
        (0..3).for_each(|g| world.act(3 + g, "cut"));
        world.run(14_000);
        (0..3).for_each(|g| world.act(3 + g, "join"));
        world.run(20_000);
        expect_that!(world.most(), le(allowed()), "cut after {after} ms");
    }
}

#[gtest]
fn a_quota_holds_while_the_markers_are_cut_apart_and_gatekeepers_start_again() {
    let mut world = play(CALM);
    world.run(8_000);
    world.load = 72.0;
    world.run(9_000);
    world.act(0, "cut");
    world.run(10_000);
    world.act(4, "kill");
    world.act(5, "power");
    world.run(10_200);
    world.act(4, "up");
    world.run(12_000);
    world.act(5, "up");
    world.run(14_000);
    world.act(0, "join");
    world.run(20_000);
    expect_that!(world.most(), le(allowed()));
}

#[gtest]
fn a_quota_holds_while_a_marker_is_cut_from_the_others_but_not_from_gatekeepers() {
    let mut world = World::new(3, 11);
    (0..14).for_each(|n| world.act(n, "up"));
    world.run(2_000);
    world.load = 5.7;
    world.run(8_000);
    world.load = 45.0;
    world.run(10_000);
    world.act(1, "cut");
    world.act(3 + 10, "cut");
    world.run(10_500);
    world.act(2, "power");
    world.act(3 + 2, "power");
    world.run(14_200);
    world.act(2, "up");
    world.act(3 + 2, "up");
    world.run(16_000);
    world.act(1, "join");
    world.act(3 + 10, "join");
    world.run(22_000);
    expect_that!(world.most(), le(allowed()));
    let steady = |from: u64| world.ran.iter().filter(|at| (from..from + 2_000).contains(*at)).count();
    expect_that!(steady(12_000), le((RATE * 2.0 * 1.1) as usize));
    expect_that!(steady(20_000), ge((RATE * 2.0 * 0.8) as usize));
}
