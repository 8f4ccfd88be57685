//! The world that timelines and drawn schedules of markers and gatekeepers share. Nothing sleeps; what joins the state
//! machines (connections, disks, cuts, callers) is made here.
//!
//! What is sent over a link that is cut waits, as TCP holds it; a line or session that hears nothing for about two seconds breaks,
//! and what waited on it is lost. Each direction of a link is cut by itself.
//!
//! Cells of a marker or gatekeeper: `up`, `end` (of a gatekeeper: it says that it ends), `kill` (ends the process; its peers see it), `power` (they don't), `cut` (both ways:
//! of a gatekeeper from all markers, of a marker from the others), `join` (ends all cuts of it; `back`: only the others'
//! lines to it break). Of a marker also `join m2`, `deaf` (hears no other marker), `mute` (no other marker hears it), `alone` (cut from
//! markers and gatekeepers), `cut gates` (from these only), `cut servers` and `cut operators`; of a gatekeeper `cut m1`.
//!
//! Cells of what happens outside: `put 7` sends a configuration, `read` asks for it, `beat s1`, `drain s1`, `leave s1` are calls
//! of a server, each to the first marker that is up unless a marker is named after it; `order 7` is sent again as operators
//! do, until it is confirmed; `load 40` lets 40 requests a second come to each gatekeeper; `keep s1` has it beat on its
//! own until `dies s1`. What must hold: `have 7` and `know 2` (servers that may get something new) at all gatekeepers
//! that are up and not cut off, `touch` that these hear their homes, `lists m1 2` how many servers a marker knows, `reaper m1`
//! whose duty that is by all markers that are not cut off, `answered s1`, `waits s1` and `says s1 503` of the last call of a server, of
//! `put` or of `read` (`reads 7` what it gave), `confirmed 7` of an order, `contact m1 yes` and `version m1 7` what a marker says of itself and `tells m1
//! g1 no` what it told a gatekeeper last, `sessions 3 6` how many sessions each gatekeeper has with
//! markers in contact, and at the most with all, `ready g1`, `unready g1`, `holds g1 7`, `home g1 m2` (`-` for none, `!m2` for
//! any other).

// Each file of tests uses its part of it.
#![allow(dead_code)]

use granitelead_common::configuration::Tenant;
use granitelead_common::settings::Bounds;
use granitelead_control_protocol::messages::{
    Instance, InstanceState, Message, Node, PeerMessage, ToGatekeeper, ToMarker, Update,
};
use granitelead_proxy::control::Control;
use granitelead_proxy::gate::Gate;
use marker::core::{initial_state, Core};
use marker::state::{Call, Marker};
use marker::types::{Output, PersistentState, Reply};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::time::Duration;

pub const RATE: f64 = 100.0;
/// Those who call markers, as ends of links.
pub const OPERATORS: usize = 900;
pub const SERVERS: usize = 901;
/// A connection breaks when nothing came over it for so long.
const BREAKS: u64 = 2_000;

pub struct Board {
    pub ip: Ipv4Addr,
    pub marker: Option<Marker>,
    disk: Option<PersistentState>,
    servers: Vec<Instance>,
    /// The gatekeepers that its disk names.
    gatekeepers: Vec<String>,
    start: u32,
    /// Sessions that stand here: whose, and when it was heard last.
    sessions: BTreeMap<u64, (usize, u64)>,
}

pub struct Column {
    pub gate: Option<Gate>,
    start: u32,
    /// Sessions by marker: number, and when the marker was heard last.
    sessions: BTreeMap<Ipv4Addr, (u64, u64)>,
    pinged: u64,
    owed: f64,
    /// What markers told of their contact, by this process.
    pub told: BTreeMap<Ipv4Addr, bool>,
    /// The state of each server as each session told it last.
    listed: BTreeMap<Ipv4Addr, BTreeMap<String, InstanceState>>,
}

enum Event {
    PeerMessage(usize, usize, u64, Node, PeerMessage),
    Written(usize, u32, u64, PersistentState),
    ToMarker(usize, usize, u32, u64, ToMarker),
    ToGatekeeper(usize, usize, u32, u64, ToGatekeeper),
}

/// A connection from one marker to another.
#[derive(Default)]
struct Line {
    up: bool,
    /// Counts its breaks: what was on its way is lost.
    life: u64,
    /// Since when nothing gets through, or it may come up.
    since: Option<u64>,
    due: Option<u64>,
}

struct Made {
    name: String,
    by: usize,
}

pub struct World {
    pub now: u64,
    pub boards: Vec<Board>,
    pub columns: Vec<Column>,
    cuts: BTreeSet<(usize, usize)>,
    lines: BTreeMap<(usize, usize), Line>,
    /// What waits on links that are cut, in its order.
    stuck: Vec<(usize, usize, Event)>,
    events: BTreeMap<(u64, u64), Event>,
    next: u64,
    pub load: f64,
    pub ran: Vec<u64>,
    /// Which gatekeeper let each of them in.
    pub ran_by: Vec<usize>,
    pub refused: usize,
    calls: BTreeMap<u64, Made>,
    /// Answers that came: the call, the marker, what.
    pub answers: Vec<(u64, usize, Reply)>,
    last: BTreeMap<String, Reply>,
    /// Orders that are sent again until they are confirmed: the version, and when and where next.
    orders: BTreeMap<u32, (u64, usize)>,
    confirmed: BTreeSet<u32>,
    /// Who said that it is in contact, to whom, and which servers it had told as ready by then.
    pub turned: Vec<(usize, usize, Vec<String>)>,
    sequence: u64,
    /// Whether bytes are counted: what markers told gatekeepers and gatekeepers markers, and markers each other.
    pub weighs: bool,
    pub bytes: (usize, usize),
    pub between: usize,
    /// Servers that beat on their own.
    beats: BTreeSet<String>,
    /// Longest time until a line that broke is dialled again, ms; and whether servers are kept on disk.
    pub redial: u64,
    pub keeps_servers: bool,
    /// Whether a gatekeeper refuses requests until it has a configuration, as `Gate::admit` does.
    pub needs_configuration: bool,
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

pub fn configuration(version: u32) -> Vec<u8> {
    format!(
        r#"{{"version":"{version:08x}","tenants":[{{"name":"t","api-keys":["k"],"requests-per-s":{RATE},"burst-size":{RATE}}}],
        "listeners":[],"upstream-clusters":[]}}"#
    )
    .into_bytes()
}

/// A beat of a server, whose address its name gives.
pub fn beat(id: &str, state: &str, sequence: u64) -> Call {
    let last: u32 = id.trim_start_matches('s').parse().unwrap();
    let body = format!(
        r#"{{"address":"10.9.{}.{}:80","information":{{"service-name":"s","zone":"zone-0","capacity-slots":2}},
        "status":{{"state":"{state}","call-sequence":{sequence}}}}}"#,
        last / 200,
        last % 200
    );
    Call::Beat { id: id.into(), body: body.into_bytes() }
}

pub fn status(reply: &Reply) -> u16 {
    match reply {
        Reply::Json(_) | Reply::Document(_) | Reply::Heartbeat(_) => 200,
        Reply::Redirect(_) => 307,
        Reply::Failure(kind, _) => kind.status(),
    }
}

impl World {
    pub fn new(boards: usize, columns: usize) -> World {
        World::drawn(boards, columns, 11)
    }

    pub fn drawn(boards: usize, columns: usize, seed: u64) -> World {
        let board = |n: usize| Board {
            ip: Ipv4Addr::new(10, 0, 0, 1 + n as u8),
            marker: None,
            disk: None,
            servers: Vec::new(),
            gatekeepers: Vec::new(),
            start: 0,
            sessions: BTreeMap::new(),
        };
        let column = |_| Column {
            gate: None,
            start: 0,
            sessions: BTreeMap::new(),
            pinged: 0,
            owed: 0.0,
            told: BTreeMap::new(),
            listed: BTreeMap::new(),
        };
        World {
            now: 0,
            boards: (0..boards).map(board).collect(),
            columns: (0..columns).map(column).collect(),
            cuts: BTreeSet::new(),
            lines: BTreeMap::new(),
            stuck: Vec::new(),
            events: BTreeMap::new(),
            next: 0,
            load: 0.0,
            ran: Vec::new(),
            ran_by: Vec::new(),
            refused: 0,
            calls: BTreeMap::new(),
            answers: Vec::new(),
            last: BTreeMap::new(),
            orders: BTreeMap::new(),
            confirmed: BTreeSet::new(),
            turned: Vec::new(),
            sequence: 0,
            weighs: true,
            bytes: (0, 0),
            between: 0,
            beats: BTreeSet::new(),
            redial: 0,
            keeps_servers: false,
            needs_configuration: false,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    fn at(&mut self, after: u64, event: Event) {
        self.next += 1;
        self.events.insert((self.now + after, self.next), event);
    }

    fn seeds(&self) -> Vec<Ipv4Addr> {
        self.boards.iter().map(|b| b.ip).collect()
    }

    fn board(&self, ip: Ipv4Addr) -> Option<usize> {
        self.boards.iter().position(|b| b.ip == ip)
    }

    /// The end of links that a gatekeeper is.
    pub fn gate(&self, g: usize) -> usize {
        self.boards.len() + g
    }

    pub fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cuts.contains(&(from, to))
    }

    fn is_apart(&self, a: usize, b: usize) -> bool {
        self.is_cut(a, b) || self.is_cut(b, a)
    }

    /// The other markers that a marker is not cut from, either way.
    pub fn others(&self, n: usize) -> Vec<usize> {
        (0..self.boards.len()).filter(|m| *m != n && !self.is_apart(*m, n)).collect()
    }

    /// Whether anything is cut between an end and any marker.
    pub fn is_cut_off(&self, n: usize) -> bool {
        (0..self.boards.len()).any(|m| self.is_apart(n, m))
    }

    pub fn cut(&mut self, from: usize, to: usize) {
        self.cuts.insert((from, to));
    }

    /// Ends all cuts that are meant; what waited comes.
    pub fn join(&mut self, meant: impl Fn(usize, usize) -> bool) {
        self.cuts.retain(|(from, to)| !meant(*from, *to));
        let (stays, comes): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.stuck).into_iter().partition(|(from, to, _)| self.is_cut(*from, *to));
        self.stuck = stays;
        for (.., event) in comes {
            self.handle(event);
        }
    }

    pub fn act(&mut self, n: usize, what: &str) {
        let (boards, all) = (self.boards.len(), self.boards.len() + self.columns.len());
        let words: Vec<&str> = what.split_whitespace().collect();
        match (n.checked_sub(boards), &words[..]) {
            (_, []) => {}
            (None, ["up"]) => {
                let seeds = self.seeds();
                let (board, seed) = (&mut self.boards[n], self.rng.u64(..));
                let keeping =
                    board.disk.clone().unwrap_or_else(|| initial_state(board.ip, &seeds, true, seed));
                let core = Core::new(keeping, &seeds, (boards - 1) / 2, seed, self.now);
                let marker = Marker::new(core, format!("zone-{n}"), 1_500, board.servers.clone());
                board.marker = Some(marker.remembering(board.gatekeepers.clone(), 5_000));
                board.start += 1;
                // What stood to its former life is reset.
                for other in self.others(n) {
                    self.break_line(other, n);
                }
                if self.redial == 0 {
                    self.mend();
                }
            }
            (None, ["kill" | "power"]) => {
                let sessions = std::mem::take(&mut self.boards[n].sessions);
                (self.boards[n].marker, self.boards[n].start) = (None, self.boards[n].start + 1);
                for other in (0..boards).filter(|other| *other != n) {
                    self.break_line(n, other);
                    if what == "kill" && !self.is_apart(n, other) {
                        self.break_line(other, n);
                    }
                }
                for g in sessions.into_values().map(|(g, _)| g).filter(|_| what == "kill") {
                    if !self.is_cut(n, self.gate(g)) {
                        self.hang_up(g, n);
                    }
                }
            }
            (None, ["cut"]) => (0..boards).filter(|m| *m != n).for_each(|m| {
                self.cuts.extend([(n, m), (m, n)]);
            }),
            (None, ["deaf"]) => (0..boards).filter(|m| *m != n).for_each(|m| self.cut(m, n)),
            (None, ["mute"]) => (0..boards).filter(|m| *m != n).for_each(|m| self.cut(n, m)),
            (None, ["alone"]) => (0..all).filter(|m| *m != n).for_each(|m| {
                self.cuts.extend([(n, m), (m, n)]);
            }),
            (None, ["cut", "gates"]) => (boards..all).for_each(|g| self.cuts.extend([(n, g), (g, n)])),
            (None, ["cut", "servers"]) => self.cuts.extend([(n, SERVERS), (SERVERS, n)]),
            (None, ["cut", "operators"]) => self.cuts.extend([(n, OPERATORS), (OPERATORS, n)]),
            (None, ["join", m]) => {
                let m = self.number(m);
                self.join(|from, to| from == n && to == m || from == m && to == n);
                self.mend();
            }
            (None, ["back"]) => {
                // Its own lines stand: nothing is told anew over them.
                for m in (0..boards).filter(|m| *m != n) {
                    (self.lines.entry((n, m)).or_default()).up = true;
                }
                self.join(|from, to| from == n || to == n);
                self.mend();
            }
            (_, ["join"]) => {
                self.join(|from, to| from == n || to == n);
                if n < boards && self.redial == 0 {
                    // Lines that did not break yet do so now, so that each such moment begins alike.
                    for m in self.others(n) {
                        self.break_line(n, m);
                        self.break_line(m, n);
                    }
                    self.mend();
                }
            }
            (Some(g), ["up"]) => {
                let (seeds, seed) = (self.seeds(), self.rng.u64(..));
                let zone = format!("zone-{}", g % boards);
                let control = Control::new(&format!("g{g}"), &zone, seeds, seed);
                let column = &mut self.columns[g];
                column.gate = Some(Gate::new(control, &zone, &bounds(), seed));
                column.start += 1;
                column.told.clear();
            }
            (Some(g), ["kill" | "power"]) => {
                (self.columns[g].gate, self.columns[g].start) = (None, self.columns[g].start + 1);
                for (ip, (id, _)) in std::mem::take(&mut self.columns[g].sessions) {
                    let m = self.board(ip).unwrap();
                    if what == "kill" && !self.is_cut(n, m) {
                        self.closed(m, id, true);
                    }
                }
            }
            (Some(g), ["end"]) => {
                let words = self.columns[g].sessions.keys().map(|ip| (*ip, ToMarker::Leave)).collect();
                self.say(g, words);
            }
            (Some(_), ["cut"]) => (0..boards).for_each(|m| self.cuts.extend([(n, m), (m, n)])),
            (Some(_), ["cut", m]) => {
                let m = self.number(m);
                self.cuts.extend([(n, m), (m, n)]);
            }
            _ => panic!("what is {what}?"),
        }
    }

    /// The place of a marker or gatekeeper of this name among its like.
    fn number(&self, name: &str) -> usize {
        let n: usize = name[1..].parse().unwrap();
        n - 1
    }

    /// A session ends on the marker's side.
    fn closed(&mut self, m: usize, id: u64, closed: bool) {
        if self.boards[m].sessions.remove(&id).is_some() {
            self.step(m, |marker, now, out| marker.on_closed(now, id, closed, out));
        }
    }

    /// A gatekeeper's session ends on its side.
    fn hang_up(&mut self, g: usize, m: usize) {
        let ip = self.boards[m].ip;
        let Some((id, _)) = self.columns[g].sessions.remove(&ip) else { return };
        self.columns[g].told.remove(&ip);
        let say = self.columns[g].gate.as_mut().map(|gate| gate.control.close(ip));
        if !self.is_cut(self.gate(g), m) {
            self.closed(m, id, true);
        }
        self.say(g, say.into_iter().flatten().collect());
    }

    fn say(&mut self, g: usize, words: Vec<(Ipv4Addr, ToMarker)>) {
        for (ip, word) in words {
            let Some(m) = self.board(ip) else { continue };
            let Some((id, _)) = self.columns[g].sessions.get(&ip).copied() else { continue };
            if self.weighs {
                self.bytes.1 +=
                    granitelead_control_protocol::frames::encode(&Message::ToMarker(word.clone())).len();
            }
            let start = self.boards[m].start;
            self.at(1, Event::ToMarker(g, m, start, id, word));
        }
    }

    fn step(&mut self, n: usize, take: impl FnOnce(&mut Marker, u64, &mut Vec<Output>)) {
        let mut out = Vec::new();
        let Some(marker) = self.boards[n].marker.as_mut() else { return };
        take(marker, self.now, &mut out);
        let (me, start) = (marker.me(), self.boards[n].start);
        for output in out {
            match output {
                Output::SendToMarker(to, word) => {
                    if self.weighs {
                        self.between +=
                            granitelead_control_protocol::frames::encode(&Message::Peer(me, word.clone()))
                                .len();
                    }
                    let Some(to) = self.board(to) else { continue };
                    let line = self.lines.entry((n, to)).or_default();
                    if line.up {
                        let life = line.life;
                        self.at(1, Event::PeerMessage(n, to, life, me, word));
                    }
                }
                Output::SendToGatekeeper(id, word) => {
                    if self.weighs {
                        self.bytes.0 += granitelead_control_protocol::frames::encode(&Message::ToGatekeeper(
                            word.clone(),
                        ))
                        .len();
                    }
                    if let Some((g, _)) = self.boards[n].sessions.get(&id).copied() {
                        let start = self.columns[g].start;
                        self.at(1, Event::ToGatekeeper(n, g, start, id, word));
                    }
                }
                Output::Persist(ticket, keeping) => self.at(5, Event::Written(n, start, ticket, keeping)),
                Output::Answer(id, reply) => {
                    let reaches = self.calls.get(&id).is_some_and(|made| !self.is_cut(n, made.by));
                    if let Some(made) = reaches.then(|| self.calls.remove(&id)).flatten() {
                        self.last.insert(made.name, reply.clone());
                        self.answers.push((id, n, reply));
                    }
                }
                Output::StoreServers(servers) => {
                    if self.keeps_servers {
                        self.boards[n].servers = servers;
                    }
                }
                Output::StoreGatekeepers(names) => self.boards[n].gatekeepers = names,
                Output::CloseSession(_) | Output::Committed(_) => {}
            }
        }
    }

    fn handle(&mut self, event: Event) {
        let (from, to) = match &event {
            Event::PeerMessage(from, to, ..) => (*from, *to),
            Event::Written(n, ..) => (*n, *n),
            Event::ToMarker(g, m, ..) => (self.gate(*g), *m),
            Event::ToGatekeeper(m, g, ..) => (*m, self.gate(*g)),
        };
        if self.is_cut(from, to) {
            return self.stuck.push((from, to, event));
        }
        match event {
            Event::PeerMessage(from, to, life, node, word) => {
                let line = self.lines.entry((from, to)).or_default();
                if line.up && line.life == life {
                    self.step(to, |marker, now, out| marker.on_word(now, node, word, out));
                }
            }
            Event::Written(n, start, ticket, keeping) if self.boards[n].start == start => {
                self.boards[n].disk = Some(keeping);
                self.step(n, |marker, now, out| marker.on_written(now, ticket, out));
            }
            Event::ToMarker(g, m, start, id, word) if self.boards[m].start == start => {
                let (now, opens) = (self.now, matches!(word, ToMarker::Hello { .. }));
                if opens {
                    self.boards[m].sessions.insert(id, (g, now));
                }
                if let Some(session) = self.boards[m].sessions.get_mut(&id) {
                    session.1 = now;
                    self.step(m, |marker, now, out| marker.on_up(now, id, word, out));
                }
            }
            Event::ToGatekeeper(m, g, start, id, word) if self.columns[g].start == start => {
                let (now, ip) = (self.now, self.boards[m].ip);
                let column = &mut self.columns[g];
                let Some(session) = column.sessions.get_mut(&ip).filter(|s| s.0 == id) else { return };
                session.1 = now;
                match &word {
                    ToGatekeeper::Update(1, _) => drop(column.listed.remove(&ip)),
                    ToGatekeeper::Update(_, Update::Contact(contact)) => {
                        column.told.insert(ip, *contact);
                        if *contact {
                            let ready = column.listed.get(&ip).into_iter().flatten();
                            let ready = ready.filter(|(_, state)| **state == InstanceState::Ready);
                            self.turned.push((m, g, ready.map(|(id, _)| id.clone()).collect()));
                        }
                    }
                    _ => {}
                }
                if let ToGatekeeper::Update(_, Update::Servers(servers)) = &word {
                    let listed = column.listed.entry(ip).or_default();
                    listed.extend(servers.iter().map(|server| (server.id.clone(), server.state)));
                }
                let Some(gate) = column.gate.as_mut() else { return };
                let say = gate.on_down(now, ip, word);
                self.say(g, say);
            }
            _ => {}
        }
    }

    /// What a gatekeeper does of itself.
    fn tick(&mut self, g: usize) {
        let now = self.now;
        let deaf: Vec<Ipv4Addr> =
            self.columns[g].sessions.iter().filter(|(_, s)| now > s.1 + 1_800).map(|(ip, _)| *ip).collect();
        for ip in deaf {
            self.hang_up(g, self.board(ip).unwrap());
        }
        let Some(gate) = self.columns[g].gate.as_mut() else { return };
        let batch = gate.on_batch(now);
        let (surplus, wanted) = (gate.control.surplus(), gate.control.wanted(&BTreeSet::new()));
        self.say(g, batch);
        if let Some(m) = surplus.and_then(|ip| self.board(ip)) {
            self.hang_up(g, m);
        }
        let me = self.gate(g);
        let there = |m: &usize| self.boards[*m].marker.is_some() && !self.is_apart(me, *m);
        if let Some(m) = wanted.and_then(|ip| self.board(ip)).filter(there) {
            self.next += 1;
            let (id, ip) = (self.next, self.boards[m].ip);
            let Some(gate) = self.columns[g].gate.as_mut() else { return };
            let (has, servers) = (gate.revision(), gate.servers.all());
            let hello = gate.control.open(now, ip, has, servers);
            self.columns[g].sessions.insert(ip, (id, now));
            self.say(g, vec![(ip, hello)]);
        }
        if now >= self.columns[g].pinged + 150 {
            self.columns[g].pinged = now;
            let all: Vec<Ipv4Addr> = self.columns[g].sessions.keys().copied().collect();
            self.say(g, all.into_iter().map(|ip| (ip, ToMarker::Ping)).collect());
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
            if self.needs_configuration && gate.configuration.is_none() {
                self.refused += 1;
                continue;
            }
            if gate.tenants.beyond(now, &tenant).is_none() {
                gate.control.add("t");
                self.ran.push(now);
                self.ran_by.push(g);
            } else {
                self.refused += 1;
            }
        }
    }

    fn break_line(&mut self, from: usize, to: usize) {
        let line = self.lines.entry((from, to)).or_default();
        (line.since, line.due) = (None, None);
        if std::mem::take(&mut line.up) {
            line.life += 1;
            let ip = self.boards[to].ip;
            self.step(from, |marker, now, out| marker.on_line(now, ip, false, out));
        }
    }

    /// Breaks lines over which nothing gets through, and lets come up those that can.
    fn mend(&mut self) {
        let boards = self.boards.len();
        for (from, to) in (0..boards).flat_map(|from| (0..boards).map(move |to| (from, to))) {
            if from == to || self.boards[from].marker.is_none() {
                continue;
            }
            let (now, ip) = (self.now, self.boards[to].ip);
            let through = self.boards[to].marker.is_some() && !self.is_apart(from, to);
            let wait = if self.redial == 0 { 0 } else { self.rng.u64(1..=self.redial) };
            let line = self.lines.entry((from, to)).or_default();
            match (line.up, through) {
                (true, true) | (false, false) => (line.since, line.due) = (None, None),
                (true, false) => {
                    if now >= *line.since.get_or_insert(now) + BREAKS {
                        self.break_line(from, to);
                    }
                }
                (false, true) => {
                    if now >= *line.due.get_or_insert(now + wait) {
                        (line.up, line.due) = (true, None);
                        self.step(from, |marker, now, out| marker.on_line(now, ip, true, out));
                    }
                }
            }
        }
        for m in 0..boards {
            let silent = self.boards[m].sessions.iter().filter(|(_, (_, heard))| self.now > heard + BREAKS);
            let silent: Vec<(u64, usize)> = silent.map(|(id, (g, _))| (*id, *g)).collect();
            for (id, g) in silent {
                self.closed(m, id, false);
                let ip = self.boards[m].ip;
                let same = self.columns[g].sessions.get(&ip).is_some_and(|s| s.0 == id);
                if same && !self.is_cut(m, self.gate(g)) {
                    self.hang_up(g, m);
                }
            }
        }
    }

    /// How things are, as a marker says.
    pub fn status(&mut self, name: &str) -> Value {
        let n = self.number(name);
        let (now, mut out) = (self.now, Vec::new());
        self.boards[n].marker.as_mut().unwrap().on_call(now, 0, Call::Status, &mut out);
        let answer = |output: &Output| matches!(output, Output::Answer(0, _));
        let text = match out.iter().position(answer).map(|at| out.remove(at)) {
            Some(Output::Answer(_, Reply::Json(text))) => text,
            _ => panic!("no status"),
        };
        serde_json::from_str(&text).unwrap()
    }

    pub fn run(&mut self, until: u64) {
        while self.now < until {
            while let Some(((at, _), _)) = self.events.first_key_value() {
                if *at > self.now {
                    break;
                }
                let Some((_, event)) = self.events.pop_first() else { break };
                self.handle(event);
            }
            if self.now.is_multiple_of(25) {
                self.mend();
                (0..self.boards.len())
                    .for_each(|n| self.step(n, |marker, now, out| marker.on_tick(now, out)));
                self.send_again();
            }
            if self.now.is_multiple_of(1_500) {
                let beats: Vec<String> = self.beats.iter().cloned().collect();
                beats.iter().for_each(|id| self.beat(id, "ready", None));
            }
            for g in 0..self.columns.len() {
                if self.now % 50 == g as u64 % 50 {
                    self.tick(g);
                }
                if self.load > 0.0 && self.now.is_multiple_of(5) {
                    self.requests(g);
                }
            }
            self.now += 1;
        }
    }

    /// Makes a call at a marker, if it gets there. Gives its number.
    pub fn call_at(&mut self, n: usize, name: &str, call: Call) -> u64 {
        self.next += 1;
        let id = self.next;
        let by = if name.starts_with('s') { SERVERS } else { OPERATORS };
        self.last.remove(name);
        self.calls.insert(id, Made { name: name.to_owned(), by });
        if !self.is_cut(by, n) {
            self.step(n, |marker, now, out| marker.on_call(now, id, call, out));
        }
        id
    }

    /// Whether a call still waits for its answer.
    pub fn waits(&self, id: u64) -> bool {
        self.calls.contains_key(&id)
    }

    /// The caller has waited for long enough.
    pub fn forget(&mut self, id: u64) {
        self.calls.remove(&id);
    }

    fn call(&mut self, name: &str, call: Call, at: Option<&str>) {
        let n = match at {
            Some(at) => self.number(at),
            None => self.boards.iter().position(|b| b.marker.is_some()).unwrap(),
        };
        self.call_at(n, name, call);
    }

    fn beat(&mut self, id: &str, state: &str, at: Option<&str>) {
        self.sequence += 1;
        let call = beat(id, state, self.sequence);
        self.call(id, call, at);
    }

    /// What operators do: each order is sent again, to another marker or to where it is sent on.
    fn send_again(&mut self) {
        let boards = self.boards.len();
        for (version, (at, n)) in self.orders.clone() {
            let name = format!("order {version}");
            let (again, next) = match self.last.remove(&name) {
                Some(reply) if status(&reply) == 200 => {
                    self.orders.remove(&version);
                    self.confirmed.insert(version);
                    continue;
                }
                Some(Reply::Redirect(ip)) => (true, self.board(ip).unwrap()),
                Some(reply) => {
                    assert_eq!(status(&reply), 503, "order {version} is refused at {}", self.now);
                    (true, (n + 1) % boards)
                }
                None => (self.now >= at, (n + 1) % boards),
            };
            if again {
                self.orders.insert(version, (self.now + 1_000, next));
                self.call_at(next, &name, Call::Replace { body: configuration(version) });
            }
        }
    }

    /// Gatekeepers that are up and not cut from any marker.
    pub fn reached(&self) -> Vec<&Gate> {
        let reached = |g: &usize| !self.is_cut_off(self.gate(*g));
        (0..self.columns.len()).filter(reached).filter_map(|g| self.columns[g].gate.as_ref()).collect()
    }

    fn named(&self, name: &str) -> &Gate {
        self.columns[self.number(name)].gate.as_ref().unwrap()
    }

    pub fn happen(&mut self, words: &[&str]) {
        let now = self.now;
        match words {
            [] => {}
            ["put", version, at @ ..] => {
                let body = configuration(version.parse().unwrap());
                self.call("put", Call::Replace { body }, at.first().copied());
            }
            ["read", at @ ..] => self.call("read", Call::Read, at.first().copied()),
            ["order", version] => {
                self.orders.insert(version.parse().unwrap(), (now, self.boards.len() - 1));
                self.send_again();
            }
            ["confirmed", version] => {
                assert!(self.confirmed.contains(&version.parse().unwrap()), "order {version} at {now}")
            }
            ["beat", id, at @ ..] => self.beat(id, "ready", at.first().copied()),
            ["keep", id] => {
                self.beats.insert((*id).into());
                self.beat(id, "ready", None);
            }
            ["dies", id] => drop(self.beats.remove(*id)),
            ["lists", name, n] => {
                let servers = self.status(name)["servers"].as_u64();
                assert_eq!(servers, Some(n.parse().unwrap()), "{name} at {now}");
            }
            ["reaper", name] => {
                let ip = self.boards[self.number(name)].ip.to_string();
                for n in 0..self.boards.len() {
                    if self.boards[n].marker.is_none() || self.is_cut_off(n) {
                        continue;
                    }
                    let duties = self.status(&format!("m{}", n + 1))["duties"].clone();
                    assert_eq!(duties["reaper"]["holder"], *ip, "m{} at {now}: {duties}", n + 1);
                }
            }
            ["drain", id, at @ ..] => {
                self.beats.remove(*id);
                self.beat(id, "draining", at.first().copied());
            }
            ["leave", id, at @ ..] => {
                self.beats.remove(*id);
                self.call(id, Call::Leave { id: (*id).into() }, at.first().copied());
            }
            ["load", load] => self.load = load.parse().unwrap(),
            ["have", version] => {
                for gate in self.reached() {
                    let has = gate.configuration.as_ref().map(|c| c.version);
                    assert_eq!(has, Some(version.parse().unwrap()), "at {now}");
                    assert!(gate.is_ready());
                }
            }
            ["touch"] => {
                assert!(self.reached().iter().all(|gate| gate.control.in_touch(now)), "at {now}")
            }
            ["unready"] => {
                assert!(self.columns.iter().filter_map(|c| c.gate.as_ref()).all(|g| !g.is_ready()))
            }
            ["know", n] => {
                for gate in self.reached() {
                    assert_eq!(gate.servers.ready("s"), n.parse::<usize>().unwrap(), "at {now}");
                }
            }
            ["answered", name] => assert!(!self.calls.values().any(|made| made.name == *name), "at {now}"),
            ["waits", name] => assert!(self.calls.values().any(|made| made.name == *name), "at {now}"),
            ["says", name, code] => {
                let said = self.last.get(*name).map(status);
                assert_eq!(said, Some(code.parse().unwrap()), "{name} at {now}");
            }
            ["reads", version] => {
                let read = match self.last.get("read") {
                    Some(Reply::Document(document)) => Some(document.version),
                    _ => None,
                };
                assert_eq!(read, Some(version.parse().unwrap()), "at {now}");
            }
            ["contact", name, yes] => {
                let contact = self.status(name)["contact"].as_bool();
                assert_eq!(contact, Some(*yes == "yes"), "{name} at {now}");
            }
            ["tells", name, to, yes] => {
                let ip = self.boards[self.number(name)].ip;
                let told = self.columns[self.number(to)].told.get(&ip);
                assert_eq!(told, Some(&(*yes == "yes")), "{name} to {to} at {now}");
            }
            ["version", name, version] => {
                let version: u32 = version.parse().unwrap();
                assert_eq!(self.status(name)["version"], format!("{version:08x}"), "{name} at {now}");
            }
            ["sessions", n, all] => {
                for column in &self.columns {
                    let near = column.told.values().filter(|contact| **contact).count();
                    let has = (near, column.sessions.len());
                    let max: usize = all.parse().unwrap();
                    assert!(near == n.parse::<usize>().unwrap() && has.1 <= max, "at {now}: {has:?}");
                }
            }
            ["ready", name] => assert!(self.named(name).is_ready(), "{name} at {now}"),
            ["unready", name] => assert!(!self.named(name).is_ready(), "{name} at {now}"),
            ["holds", name, version] => {
                let has = self.named(name).configuration.as_ref().map(|c| c.version);
                assert_eq!(has, version.parse().ok(), "{name} at {now}");
            }
            ["home", name, of] => {
                let home = self.named(name).control.home().and_then(|ip| self.board(ip));
                if let Some(not) = of.strip_prefix('!') {
                    assert!(home.is_some() && home != Some(self.number(not)), "{name} at {now}: {home:?}");
                } else {
                    let of = (*of != "-").then(|| self.number(of));
                    assert_eq!(home, of, "{name} at {now}");
                }
            }
            _ => panic!("what is {words:?}?"),
        }
    }

    /// The most that ran in five seconds.
    pub fn most(&self) -> usize {
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

/// Plays a timeline: its first line names the columns.
pub fn play(timeline: &str) -> World {
    let mut lines = timeline.lines().map(str::trim).filter(|line| !line.is_empty());
    let columns: Vec<&str> = lines.next().unwrap().split('|').map(str::trim).collect();
    let boards = columns.iter().filter(|name| name.starts_with('m') && **name != "ms").count();
    let mut world = World::new(boards, columns.len() - 2 - boards);
    for line in lines {
        let cells: Vec<&str> = line.split('|').map(str::trim).collect();
        assert_eq!(cells.len(), columns.len(), "{line}");
        let at = cells[0].parse().unwrap();
        assert!(at >= world.now, "{line}: time goes on");
        world.run(at);
        for n in 0..columns.len() - 2 {
            world.act(n, cells[n + 1]);
        }
        let words: Vec<&str> = cells[columns.len() - 1].split_whitespace().collect();
        world.happen(&words);
    }
    world
}
