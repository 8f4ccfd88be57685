//! A deterministic simulation of markers and gatekeepers, shared by the timelines and the random schedules.
//! Nothing sleeps; the environment of the state machines (connections, disks, network faults, callers) is
//! simulated here.
//!
//! Messages on a link that is cut are queued, as TCP does; a line or session that receives nothing for about
//! two seconds breaks, and its queued messages are lost. Each direction of a link is cut separately.
//!
//! Cells of a marker or gatekeeper: `up` starts it, `end` lets a gatekeeper announce its end, `kill` ends the
//! process so that its peers notice, `power` so that they don't, `cut` cuts both directions (of a gatekeeper
//! from all markers, of a marker from the other markers), `join` ends all its cuts (`back`: only the others'
//! lines to it break). Of a marker also `join m2`, `deaf` (receives nothing from other markers), `mute` (no
//! other marker receives from it), `alone` (cut from markers and gatekeepers), `cut gates` (from gatekeepers
//! only), `cut servers` and `cut operators`; of a gatekeeper `cut m1`. `hang` lets no further write of a marker
//! reach its disk, and `wipe` erases the disk of one that is down.
//!
//! Cells of the column `outside`, actions: `put 7` sends a configuration, `read` asks for it, `beat s1`,
//! `drain s1` and `leave s1` are calls of a server; each goes to the first marker that is up unless a marker
//! is named at the end. `order 7` is a configuration that is sent again until it is confirmed, as operators
//! do; `load 40` sends 40 requests a second to each gatekeeper; `keep s1` sends periodic heartbeats of a
//! server until `dies s1`.
//!
//! Cells of the column `outside`, checks: `have 7` and `know 2` (the version in force, and the number of
//! ready servers) hold at all gatekeepers that are up and not cut off, `touch` that these are in sync with
//! their attached markers; `lists m1 2` is the number of servers that a marker knows, `reaper m1` the holder of
//! that duty according to all markers that are not cut off; `answered s1`, `waits s1` and `says s1 503` check
//! the last call of a server, of `put` or of `read` (`reads 7`: the version that was read), `confirmed 7` an
//! order; `contact m1 yes` and `version m1 7` check what a marker reports of itself and `tells m1 g1 no` what
//! it last told a gatekeeper of its quorum; `sessions 3 6` is how many sessions each gatekeeper has with
//! markers that have a quorum, and the maximum with all; `ready g1`, `unready g1`, `holds g1 7`, and `home g1
//! m2` for its attached marker (`-` for none, `!m2` for any other).

// Each test file uses a part of this module.
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
use marker::types::{Output, PersistentState, Reply, ServerWrite, Written};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::time::Duration;

pub const RATE: f64 = 100.0;
/// The callers of markers, as endpoints of links.
pub const OPERATORS: usize = 900;
pub const SERVERS: usize = 901;
/// A connection that receives nothing for this long breaks, ms.
const BREAK_TIMEOUT: u64 = 2_000;

pub struct MarkerNode {
    pub ip: Ipv4Addr,
    pub marker: Option<Marker>,
    disk: Option<PersistentState>,
    /// The records of servers on its disk.
    servers: BTreeMap<String, Instance>,
    /// The gatekeepers listed on its disk.
    gatekeepers: Vec<String>,
    start: u32,
    /// Whether its disk takes in writes and never completes them.
    disk_hangs: bool,
    /// Open sessions by number: the gatekeeper, and when something was last received from it.
    sessions: BTreeMap<u64, (usize, u64)>,
}

pub struct GatekeeperNode {
    pub gate: Option<Gate>,
    start: u32,
    /// Sessions by marker: number, and when something was last received from the marker.
    sessions: BTreeMap<Ipv4Addr, (u64, u64)>,
    pinged: u64,
    due_requests: f64,
    /// What each marker reported about its quorum to this process.
    pub reported_quorum: BTreeMap<Ipv4Addr, bool>,
    /// The state of each server as last reported on each session.
    reported_servers: BTreeMap<Ipv4Addr, BTreeMap<String, InstanceState>>,
}

impl MarkerNode {
    /// Completes a write on its disk.
    fn store(&mut self, write: DiskWrite) -> Written {
        match write {
            DiskWrite::State(ticket, state) => {
                self.disk = Some(state);
                Written::State(ticket)
            }
            DiskWrite::Servers(write) => {
                for (id, record) in write.records {
                    match record {
                        Some(instance) => drop(self.servers.insert(id, instance)),
                        None => drop(self.servers.remove(&id)),
                    }
                }
                Written::Servers(write.ticket)
            }
            DiskWrite::Gatekeepers(ticket, names) => {
                self.gatekeepers = names;
                Written::Gatekeepers(ticket)
            }
        }
    }
}

enum Event {
    Between(usize, usize, u64, Node, PeerMessage),
    Written(usize, u32, DiskWrite),
    Up(usize, usize, u32, u64, ToMarker),
    Down(usize, usize, u32, u64, ToGatekeeper),
}

/// A write that a marker has begun.
enum DiskWrite {
    State(u64, PersistentState),
    Servers(ServerWrite),
    Gatekeepers(u64, Vec<String>),
}

/// How long a disk write takes, ms.
const DISK_WRITE_TIME: u64 = 5;

/// A connection from one marker to another.
#[derive(Default)]
struct Line {
    up: bool,
    /// Incremented when it breaks: messages in transit are lost.
    incarnation: u64,
    /// Since when nothing gets through; when it may be established.
    since: Option<u64>,
    due: Option<u64>,
}

struct PendingCall {
    name: String,
    by: usize,
}

pub struct Simulation {
    pub now: u64,
    pub markers: Vec<MarkerNode>,
    pub gatekeepers: Vec<GatekeeperNode>,
    cuts: BTreeSet<(usize, usize)>,
    lines: BTreeMap<(usize, usize), Line>,
    /// Messages that wait on links that are cut, in order.
    queued: Vec<(usize, usize, Event)>,
    events: BTreeMap<(u64, u64), Event>,
    next: u64,
    pub load: f64,
    /// The only gatekeeper that is sent requests; all of them if none.
    pub load_only: Option<usize>,
    /// The tenant's limits.
    pub rate: f64,
    pub burst: f64,
    pub admitted: Vec<u64>,
    /// The gatekeeper that admitted each of them.
    pub admitted_by: Vec<usize>,
    pub refused: usize,
    calls: BTreeMap<u64, PendingCall>,
    /// Answers that were received: call, marker, reply.
    pub answers: Vec<(u64, usize, Reply)>,
    last: BTreeMap<String, Reply>,
    /// Orders that are sent again until they are confirmed: version, and time and marker of the next attempt.
    orders: BTreeMap<u32, (u64, usize)>,
    confirmed: BTreeSet<u32>,
    /// Reports of a quorum: the marker, the gatekeeper, and the servers that the marker had reported as ready
    /// by then.
    pub quorum_reports: Vec<(usize, usize, Vec<String>)>,
    sequence: u64,
    /// Whether to count bytes: from markers to gatekeepers and back, and between markers.
    pub counts_bytes: bool,
    pub bytes: (usize, usize),
    pub bytes_between: usize,
    /// Servers that send periodic heartbeats.
    beats: BTreeSet<String>,
    /// Maximum time until a broken line is dialled again, ms.
    pub redial_max: u64,
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

/// A heartbeat of a server, whose address is derived from its name.
pub fn beat(id: &str, state: &str, sequence: u64) -> Call {
    let last: u32 = id.trim_start_matches('s').parse().unwrap();
    let body = format!(
        r#"{{"address":"10.9.{}.{}:80","information":{{"service-name":"s","zone":"zone-0","capacity-slots":2}},
        "status":{{"state":"{state}","call-sequence":{sequence}}}}}"#,
        last / 200,
        last % 200
    );
    Call::Heartbeat { id: id.into(), body: body.into_bytes() }
}

pub fn status(reply: &Reply) -> u16 {
    match reply {
        Reply::Json(_) | Reply::Document(_) | Reply::Heartbeat(_) => 200,
        Reply::Redirect(_) => 307,
        Reply::Failure(kind, _) => kind.status(),
    }
}

impl Simulation {
    pub fn new(markers: usize, gatekeepers: usize) -> Simulation {
        Simulation::with_seed(markers, gatekeepers, 11)
    }

    pub fn with_seed(markers: usize, gatekeepers: usize, seed: u64) -> Simulation {
        let marker_node = |n: usize| MarkerNode {
            ip: Ipv4Addr::new(10, 0, 0, 1 + n as u8),
            marker: None,
            disk: None,
            servers: BTreeMap::new(),
            gatekeepers: Vec::new(),
            disk_hangs: false,
            start: 0,
            sessions: BTreeMap::new(),
        };
        let gatekeeper_node = |_| GatekeeperNode {
            gate: None,
            start: 0,
            sessions: BTreeMap::new(),
            pinged: 0,
            due_requests: 0.0,
            reported_quorum: BTreeMap::new(),
            reported_servers: BTreeMap::new(),
        };
        Simulation {
            now: 0,
            markers: (0..markers).map(marker_node).collect(),
            gatekeepers: (0..gatekeepers).map(gatekeeper_node).collect(),
            cuts: BTreeSet::new(),
            lines: BTreeMap::new(),
            queued: Vec::new(),
            events: BTreeMap::new(),
            next: 0,
            load: 0.0,
            load_only: None,
            rate: RATE,
            burst: RATE,
            admitted: Vec::new(),
            admitted_by: Vec::new(),
            refused: 0,
            calls: BTreeMap::new(),
            answers: Vec::new(),
            last: BTreeMap::new(),
            orders: BTreeMap::new(),
            confirmed: BTreeSet::new(),
            quorum_reports: Vec::new(),
            sequence: 0,
            counts_bytes: true,
            bytes: (0, 0),
            bytes_between: 0,
            beats: BTreeSet::new(),
            redial_max: 0,
            needs_configuration: false,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    fn schedule(&mut self, after: u64, event: Event) {
        self.next += 1;
        self.events.insert((self.now + after, self.next), event);
    }

    fn seeds(&self) -> Vec<Ipv4Addr> {
        self.markers.iter().map(|b| b.ip).collect()
    }

    fn marker_at(&self, ip: Ipv4Addr) -> Option<usize> {
        self.markers.iter().position(|b| b.ip == ip)
    }

    /// The link endpoint of a gatekeeper.
    pub fn endpoint(&self, g: usize) -> usize {
        self.markers.len() + g
    }

    pub fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cuts.contains(&(from, to))
    }

    fn is_apart(&self, a: usize, b: usize) -> bool {
        self.is_cut(a, b) || self.is_cut(b, a)
    }

    /// The other markers from which a marker is not cut in either direction.
    pub fn others(&self, n: usize) -> Vec<usize> {
        (0..self.markers.len()).filter(|m| *m != n && !self.is_apart(*m, n)).collect()
    }

    /// Whether anything is cut between an endpoint and any marker.
    pub fn is_cut_off(&self, n: usize) -> bool {
        (0..self.markers.len()).any(|m| self.is_apart(n, m))
    }

    pub fn cut(&mut self, from: usize, to: usize) {
        self.cuts.insert((from, to));
    }

    /// Ends all cuts that match; queued messages are delivered.
    pub fn join(&mut self, matches: impl Fn(usize, usize) -> bool) {
        self.cuts.retain(|(from, to)| !matches(*from, *to));
        let (stays, comes): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.queued).into_iter().partition(|(from, to, _)| self.is_cut(*from, *to));
        self.queued = stays;
        for (.., event) in comes {
            self.handle(event);
        }
    }

    pub fn act(&mut self, n: usize, what: &str) {
        let (markers, all) = (self.markers.len(), self.markers.len() + self.gatekeepers.len());
        let words: Vec<&str> = what.split_whitespace().collect();
        match (n.checked_sub(markers), &words[..]) {
            (_, []) => {}
            (None, ["up"]) => {
                let seeds = self.seeds();
                let (node, seed) = (&mut self.markers[n], self.rng.u64(..));
                let keeping = node
                    .disk
                    .clone()
                    .unwrap_or_else(|| initial_state(node.ip, &seeds, node.start == 0, seed));
                let core = Core::new(keeping, &seeds, (markers - 1) / 2, seed, self.now);
                let marker =
                    Marker::new(core, format!("zone-{n}"), 1_500, node.servers.values().cloned().collect());
                node.marker = Some(marker.with_stored_gatekeepers(node.gatekeepers.clone(), 5_000));
                node.start += 1;
                // Connections to its previous incarnation are reset.
                for other in self.others(n) {
                    self.break_line(other, n);
                }
                if self.redial_max == 0 {
                    self.update_lines();
                }
            }
            (None, ["kill" | "power"]) => {
                let sessions = std::mem::take(&mut self.markers[n].sessions);
                (self.markers[n].marker, self.markers[n].start) = (None, self.markers[n].start + 1);
                for other in (0..markers).filter(|other| *other != n) {
                    self.break_line(n, other);
                    if what == "kill" && !self.is_apart(n, other) {
                        self.break_line(other, n);
                    }
                }
                for g in sessions.into_values().map(|(g, _)| g).filter(|_| what == "kill") {
                    if !self.is_cut(n, self.endpoint(g)) {
                        self.close_at_gatekeeper(g, n);
                    }
                }
            }
            (None, ["wipe"]) => {
                let node = &mut self.markers[n];
                (node.disk, node.servers, node.gatekeepers) = (None, BTreeMap::new(), Vec::new());
            }
            (None, ["hang"]) => self.markers[n].disk_hangs = true,
            (None, ["cut"]) => (0..markers).filter(|m| *m != n).for_each(|m| {
                self.cuts.extend([(n, m), (m, n)]);
            }),
            (None, ["deaf"]) => (0..markers).filter(|m| *m != n).for_each(|m| self.cut(m, n)),
            (None, ["mute"]) => (0..markers).filter(|m| *m != n).for_each(|m| self.cut(n, m)),
            (None, ["alone"]) => (0..all).filter(|m| *m != n).for_each(|m| {
                self.cuts.extend([(n, m), (m, n)]);
            }),
            (None, ["cut", "gates"]) => (markers..all).for_each(|g| self.cuts.extend([(n, g), (g, n)])),
            (None, ["cut", "servers"]) => self.cuts.extend([(n, SERVERS), (SERVERS, n)]),
            (None, ["cut", "operators"]) => self.cuts.extend([(n, OPERATORS), (OPERATORS, n)]),
            (None, ["join", m]) => {
                let m = self.index(m);
                self.join(|from, to| from == n && to == m || from == m && to == n);
                self.update_lines();
            }
            (None, ["back"]) => {
                // Its own lines stay up, so nothing is sent again over them.
                for m in (0..markers).filter(|m| *m != n) {
                    (self.lines.entry((n, m)).or_default()).up = true;
                }
                self.join(|from, to| from == n || to == n);
                self.update_lines();
            }
            (_, ["join"]) => {
                self.join(|from, to| from == n || to == n);
                if n < markers && self.redial_max == 0 {
                    // Lines that haven't broken yet break now, so that each such moment begins in the same
                    // state.
                    for m in self.others(n) {
                        self.break_line(n, m);
                        self.break_line(m, n);
                    }
                    self.update_lines();
                }
            }
            (Some(g), ["up"]) => {
                let (seeds, seed) = (self.seeds(), self.rng.u64(..));
                let zone = format!("zone-{}", g % markers);
                let control = Control::new(&format!("g{g}"), &zone, seeds, seed);
                let node = &mut self.gatekeepers[g];
                node.gate = Some(Gate::new(control, &zone, &bounds(), seed));
                node.start += 1;
                node.reported_quorum.clear();
            }
            (Some(g), ["kill" | "power"]) => {
                (self.gatekeepers[g].gate, self.gatekeepers[g].start) = (None, self.gatekeepers[g].start + 1);
                for (ip, (id, _)) in std::mem::take(&mut self.gatekeepers[g].sessions) {
                    let m = self.marker_at(ip).unwrap();
                    if what == "kill" && !self.is_cut(n, m) {
                        self.close_at_marker(m, id, true);
                    }
                }
            }
            (Some(g), ["end"]) => {
                let words = self.gatekeepers[g].sessions.keys().map(|ip| (*ip, ToMarker::Leave)).collect();
                self.send(g, words);
            }
            (Some(_), ["cut"]) => (0..markers).for_each(|m| self.cuts.extend([(n, m), (m, n)])),
            (Some(_), ["cut", m]) => {
                let m = self.index(m);
                self.cuts.extend([(n, m), (m, n)]);
            }
            _ => panic!("unknown cell: {what}"),
        }
    }

    /// The index of a marker or gatekeeper from its name.
    fn index(&self, name: &str) -> usize {
        let n: usize = name[1..].parse().unwrap();
        n - 1
    }

    /// Closes a session on the marker's side.
    fn close_at_marker(&mut self, m: usize, id: u64, closed: bool) {
        if self.markers[m].sessions.remove(&id).is_some() {
            self.step(m, |marker, now, out| marker.on_closed(now, id, closed, out));
        }
    }

    /// Closes a session on the gatekeeper's side.
    fn close_at_gatekeeper(&mut self, g: usize, m: usize) {
        let ip = self.markers[m].ip;
        let Some((id, _)) = self.gatekeepers[g].sessions.remove(&ip) else { return };
        self.gatekeepers[g].reported_quorum.remove(&ip);
        let messages = self.gatekeepers[g].gate.as_mut().map(|gate| gate.control.close(ip));
        if !self.is_cut(self.endpoint(g), m) {
            self.close_at_marker(m, id, true);
        }
        self.send(g, messages.into_iter().flatten().collect());
    }

    fn send(&mut self, g: usize, words: Vec<(Ipv4Addr, ToMarker)>) {
        for (ip, message) in words {
            let Some(m) = self.marker_at(ip) else { continue };
            let Some((id, _)) = self.gatekeepers[g].sessions.get(&ip).copied() else { continue };
            if self.counts_bytes {
                self.bytes.1 +=
                    granitelead_control_protocol::frames::encode(&Message::ToMarker(message.clone())).len();
            }
            let start = self.markers[m].start;
            self.schedule(1, Event::Up(g, m, start, id, message));
        }
    }

    fn step(&mut self, n: usize, take: impl FnOnce(&mut Marker, u64, &mut Vec<Output>)) {
        let mut out = Vec::new();
        let Some(marker) = self.markers[n].marker.as_mut() else { return };
        take(marker, self.now, &mut out);
        let (me, start) = (marker.me(), self.markers[n].start);
        for output in out {
            match output {
                Output::SendToMarker(to, message) => {
                    if self.counts_bytes {
                        self.bytes_between +=
                            granitelead_control_protocol::frames::encode(&Message::Peer(me, message.clone()))
                                .len();
                    }
                    let Some(to) = self.marker_at(to) else { continue };
                    let line = self.lines.entry((n, to)).or_default();
                    if line.up {
                        let incarnation = line.incarnation;
                        self.schedule(1, Event::Between(n, to, incarnation, me, message));
                    }
                }
                Output::SendToGatekeeper(id, message) => {
                    if self.counts_bytes {
                        self.bytes.0 += granitelead_control_protocol::frames::encode(&Message::ToGatekeeper(
                            message.clone(),
                        ))
                        .len();
                    }
                    if let Some((g, _)) = self.markers[n].sessions.get(&id).copied() {
                        let start = self.gatekeepers[g].start;
                        self.schedule(1, Event::Down(n, g, start, id, message));
                    }
                }
                Output::Persist(ticket, state) => self.write(n, start, DiskWrite::State(ticket, state)),
                Output::StoreServers(write) => self.write(n, start, DiskWrite::Servers(write)),
                Output::StoreGatekeepers(ticket, names) => {
                    self.write(n, start, DiskWrite::Gatekeepers(ticket, names));
                }
                Output::Answer(id, reply) => {
                    let reaches = self.calls.get(&id).is_some_and(|pending| !self.is_cut(n, pending.by));
                    if let Some(pending) = reaches.then(|| self.calls.remove(&id)).flatten() {
                        self.last.insert(pending.name, reply.clone());
                        self.answers.push((id, n, reply));
                    }
                }
                Output::CloseSession(_) | Output::Committed(_) => {}
            }
        }
    }

    /// Begins a write, unless the disk of the marker hangs.
    fn write(&mut self, n: usize, start: u32, write: DiskWrite) {
        if !self.markers[n].disk_hangs {
            self.schedule(DISK_WRITE_TIME, Event::Written(n, start, write));
        }
    }

    fn handle(&mut self, event: Event) {
        let (from, to) = match &event {
            Event::Between(from, to, ..) => (*from, *to),
            Event::Written(n, ..) => (*n, *n),
            Event::Up(g, m, ..) => (self.endpoint(*g), *m),
            Event::Down(m, g, ..) => (*m, self.endpoint(*g)),
        };
        if self.is_cut(from, to) {
            return self.queued.push((from, to, event));
        }
        match event {
            Event::Between(from, to, incarnation, node, message) => {
                let line = self.lines.entry((from, to)).or_default();
                if line.up && line.incarnation == incarnation {
                    self.step(to, |marker, now, out| marker.on_peer_message(now, node, message, out));
                }
            }
            Event::Written(n, start, write) if self.markers[n].start == start => {
                let written = self.markers[n].store(write);
                self.step(n, |marker, now, out| marker.on_written(now, written, out));
            }
            Event::Up(g, m, start, id, message) if self.markers[m].start == start => {
                let (now, opens) = (self.now, matches!(message, ToMarker::Hello { .. }));
                if opens {
                    self.markers[m].sessions.insert(id, (g, now));
                }
                if let Some(session) = self.markers[m].sessions.get_mut(&id) {
                    session.1 = now;
                    self.step(m, |marker, now, out| marker.on_gatekeeper_message(now, id, message, out));
                }
            }
            Event::Down(m, g, start, id, message) if self.gatekeepers[g].start == start => {
                let (now, ip) = (self.now, self.markers[m].ip);
                let node = &mut self.gatekeepers[g];
                let Some(session) = node.sessions.get_mut(&ip).filter(|s| s.0 == id) else { return };
                session.1 = now;
                match &message {
                    ToGatekeeper::Update(1, _) => drop(node.reported_servers.remove(&ip)),
                    ToGatekeeper::Update(_, Update::Contact(contact)) => {
                        node.reported_quorum.insert(ip, *contact);
                        if *contact {
                            let ready = node.reported_servers.get(&ip).into_iter().flatten();
                            let ready = ready.filter(|(_, state)| **state == InstanceState::Ready);
                            self.quorum_reports.push((m, g, ready.map(|(id, _)| id.clone()).collect()));
                        }
                    }
                    _ => {}
                }
                if let ToGatekeeper::Update(_, Update::Servers(servers)) = &message {
                    let reported_servers = node.reported_servers.entry(ip).or_default();
                    reported_servers.extend(servers.iter().map(|server| (server.id.clone(), server.state)));
                }
                let Some(gate) = node.gate.as_mut() else { return };
                let messages = gate.on_message(now, ip, message);
                self.send(g, messages);
            }
            _ => {}
        }
    }

    /// The periodic work of a gatekeeper.
    fn tick(&mut self, g: usize) {
        let now = self.now;
        let silent: Vec<Ipv4Addr> = self.gatekeepers[g]
            .sessions
            .iter()
            .filter(|(_, s)| now > s.1 + 1_800)
            .map(|(ip, _)| *ip)
            .collect();
        for ip in silent {
            self.close_at_gatekeeper(g, self.marker_at(ip).unwrap());
        }
        let Some(gate) = self.gatekeepers[g].gate.as_mut() else { return };
        let batch = gate.on_tick(now);
        let (surplus, wanted) = (gate.control.surplus(), gate.control.next_marker(&BTreeSet::new()));
        self.send(g, batch);
        if let Some(m) = surplus.and_then(|ip| self.marker_at(ip)) {
            self.close_at_gatekeeper(g, m);
        }
        let me = self.endpoint(g);
        let is_reachable = |m: &usize| self.markers[*m].marker.is_some() && !self.is_apart(me, *m);
        if let Some(m) = wanted.and_then(|ip| self.marker_at(ip)).filter(is_reachable) {
            self.next += 1;
            let (id, ip) = (self.next, self.markers[m].ip);
            let Some(gate) = self.gatekeepers[g].gate.as_mut() else { return };
            let (has, servers) = (gate.revision(), gate.servers.all());
            let hello = gate.control.open(now, ip, has, servers);
            self.gatekeepers[g].sessions.insert(ip, (id, now));
            self.send(g, vec![(ip, hello)]);
        }
        if now >= self.gatekeepers[g].pinged + 150 {
            self.gatekeepers[g].pinged = now;
            let all: Vec<Ipv4Addr> = self.gatekeepers[g].sessions.keys().copied().collect();
            self.send(g, all.into_iter().map(|ip| (ip, ToMarker::Ping)).collect());
        }
    }

    fn requests(&mut self, g: usize) {
        let now = self.now;
        let node = &mut self.gatekeepers[g];
        let Some(gate) = node.gate.as_mut() else { return };
        node.due_requests += self.load * 0.005;
        let tenant = Tenant { name: "t".into(), priority: None, rate: self.rate, burst: self.burst };
        while node.due_requests >= 1.0 {
            node.due_requests -= 1.0;
            if self.needs_configuration && gate.configuration.is_none() {
                self.refused += 1;
                continue;
            }
            if gate.tenants.rate_limit(now, &tenant).is_none() {
                gate.control.count_admitted("t");
                self.admitted.push(now);
                self.admitted_by.push(g);
            } else {
                self.refused += 1;
            }
        }
    }

    fn break_line(&mut self, from: usize, to: usize) {
        let line = self.lines.entry((from, to)).or_default();
        (line.since, line.due) = (None, None);
        if std::mem::take(&mut line.up) {
            line.incarnation += 1;
            let ip = self.markers[to].ip;
            self.step(from, |marker, now, out| marker.on_connection_change(now, ip, false, out));
        }
    }

    /// Breaks lines over which nothing gets through, and establishes those that can be.
    fn update_lines(&mut self) {
        let markers = self.markers.len();
        for (from, to) in (0..markers).flat_map(|from| (0..markers).map(move |to| (from, to))) {
            if from == to || self.markers[from].marker.is_none() {
                continue;
            }
            let (now, ip) = (self.now, self.markers[to].ip);
            let is_reachable = self.markers[to].marker.is_some() && !self.is_apart(from, to);
            let wait = if self.redial_max == 0 { 0 } else { self.rng.u64(1..=self.redial_max) };
            let line = self.lines.entry((from, to)).or_default();
            match (line.up, is_reachable) {
                (true, true) | (false, false) => (line.since, line.due) = (None, None),
                (true, false) => {
                    if now >= *line.since.get_or_insert(now) + BREAK_TIMEOUT {
                        self.break_line(from, to);
                    }
                }
                (false, true) => {
                    if now >= *line.due.get_or_insert(now + wait) {
                        (line.up, line.due) = (true, None);
                        self.step(from, |marker, now, out| marker.on_connection_change(now, ip, true, out));
                    }
                }
            }
        }
        for m in 0..markers {
            let silent =
                self.markers[m].sessions.iter().filter(|(_, (_, heard))| self.now > heard + BREAK_TIMEOUT);
            let silent: Vec<(u64, usize)> = silent.map(|(id, (g, _))| (*id, *g)).collect();
            for (id, g) in silent {
                self.close_at_marker(m, id, false);
                let ip = self.markers[m].ip;
                let same = self.gatekeepers[g].sessions.get(&ip).is_some_and(|s| s.0 == id);
                if same && !self.is_cut(m, self.endpoint(g)) {
                    self.close_at_gatekeeper(g, m);
                }
            }
        }
    }

    /// The status that a marker reports.
    pub fn status(&mut self, name: &str) -> Value {
        let n = self.index(name);
        let (now, mut out) = (self.now, Vec::new());
        self.markers[n].marker.as_mut().unwrap().on_call(now, 0, Call::Status, &mut out);
        let answer = |output: &Output| matches!(output, Output::Answer(0, _));
        let text = match out.iter().position(answer).map(|at| out.remove(at)) {
            Some(Output::Answer(_, Reply::Json(text))) => text,
            _ => panic!("no status was returned"),
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
                self.update_lines();
                (0..self.markers.len())
                    .for_each(|n| self.step(n, |marker, now, out| marker.on_tick(now, out)));
                self.retry_orders();
            }
            if self.now.is_multiple_of(1_500) {
                let beats: Vec<String> = self.beats.iter().cloned().collect();
                beats.iter().for_each(|id| self.beat(id, "ready", None));
            }
            for g in 0..self.gatekeepers.len() {
                if self.now % 50 == g as u64 % 50 {
                    self.tick(g);
                }
                if self.load > 0.0
                    && self.now.is_multiple_of(5)
                    && self.load_only.is_none_or(|only| only == g)
                {
                    self.requests(g);
                }
            }
            self.now += 1;
        }
    }

    /// Makes a call at a marker, if it is reachable. Returns the call's number.
    pub fn call_at(&mut self, n: usize, name: &str, call: Call) -> u64 {
        self.next += 1;
        let id = self.next;
        let by = if name.starts_with('s') { SERVERS } else { OPERATORS };
        self.last.remove(name);
        self.calls.insert(id, PendingCall { name: name.to_owned(), by });
        if !self.is_cut(by, n) {
            self.step(n, |marker, now, out| marker.on_call(now, id, call, out));
        }
        id
    }

    /// Whether a call is still pending.
    pub fn waits(&self, id: u64) -> bool {
        self.calls.contains_key(&id)
    }

    /// The caller gives up on a call.
    pub fn forget(&mut self, id: u64) {
        self.calls.remove(&id);
    }

    fn call(&mut self, name: &str, call: Call, at: Option<&str>) {
        let n = match at {
            Some(at) => Some(self.index(at)),
            None => self.markers.iter().position(|b| b.marker.is_some()),
        };
        // While no marker is up, a call fails at once.
        if let Some(n) = n {
            self.call_at(n, name, call);
        }
    }

    fn beat(&mut self, id: &str, state: &str, at: Option<&str>) {
        self.sequence += 1;
        let call = beat(id, state, self.sequence);
        self.call(id, call, at);
    }

    /// Retries of operators: each order is sent again, to another marker or to where it is redirected.
    fn retry_orders(&mut self) {
        let markers = self.markers.len();
        for (version, (at, n)) in self.orders.clone() {
            let name = format!("order {version}");
            let (again, next) = match self.last.remove(&name) {
                Some(reply) if status(&reply) == 200 => {
                    self.orders.remove(&version);
                    self.confirmed.insert(version);
                    continue;
                }
                Some(Reply::Redirect(ip)) => (true, self.marker_at(ip).unwrap()),
                Some(reply) => {
                    assert_eq!(status(&reply), 503, "order {version} is refused at {}", self.now);
                    (true, (n + 1) % markers)
                }
                None => (self.now >= at, (n + 1) % markers),
            };
            if again {
                self.orders.insert(version, (self.now + 1_000, next));
                self.call_at(next, &name, Call::Replace { body: configuration(version) });
            }
        }
    }

    /// Gatekeepers that are up and not cut from any marker.
    pub fn reached(&self) -> Vec<&Gate> {
        let reached = |g: &usize| !self.is_cut_off(self.endpoint(*g));
        (0..self.gatekeepers.len())
            .filter(reached)
            .filter_map(|g| self.gatekeepers[g].gate.as_ref())
            .collect()
    }

    fn gate_named(&self, name: &str) -> &Gate {
        self.gatekeepers[self.index(name)].gate.as_ref().unwrap()
    }

    pub fn execute(&mut self, words: &[&str]) {
        let now = self.now;
        match words {
            [] => {}
            ["put", version, at @ ..] => {
                let body = configuration(version.parse().unwrap());
                self.call("put", Call::Replace { body }, at.first().copied());
            }
            ["read", at @ ..] => self.call("read", Call::Read, at.first().copied()),
            ["order", version] => {
                self.orders.insert(version.parse().unwrap(), (now, self.markers.len() - 1));
                self.retry_orders();
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
                let ip = self.markers[self.index(name)].ip.to_string();
                for n in 0..self.markers.len() {
                    if self.markers[n].marker.is_none() || self.is_cut_off(n) {
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
                assert!(self.reached().iter().all(|gate| gate.control.in_sync(now)), "at {now}")
            }
            ["unready"] => {
                assert!(self.gatekeepers.iter().filter_map(|c| c.gate.as_ref()).all(|g| !g.is_ready()))
            }
            ["know", n] => {
                for gate in self.reached() {
                    assert_eq!(gate.servers.ready("s"), n.parse::<usize>().unwrap(), "at {now}");
                }
            }
            ["answered", name] => {
                assert!(!self.calls.values().any(|pending| pending.name == *name), "at {now}")
            }
            ["waits", name] => assert!(self.calls.values().any(|pending| pending.name == *name), "at {now}"),
            ["says", name, code] => {
                let code_returned = self.last.get(*name).map(status);
                assert_eq!(code_returned, Some(code.parse().unwrap()), "{name} at {now}");
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
                let ip = self.markers[self.index(name)].ip;
                let told = self.gatekeepers[self.index(to)].reported_quorum.get(&ip);
                assert_eq!(told, Some(&(*yes == "yes")), "{name} to {to} at {now}");
            }
            ["version", name, version] => {
                let version: u32 = version.parse().unwrap();
                assert_eq!(self.status(name)["version"], format!("{version:08x}"), "{name} at {now}");
            }
            ["sessions", n, all] => {
                for node in &self.gatekeepers {
                    let with_quorum = node.reported_quorum.values().filter(|contact| **contact).count();
                    let has = (with_quorum, node.sessions.len());
                    let max: usize = all.parse().unwrap();
                    assert!(with_quorum == n.parse::<usize>().unwrap() && has.1 <= max, "at {now}: {has:?}");
                }
            }
            ["ready", name] => assert!(self.gate_named(name).is_ready(), "{name} at {now}"),
            ["unready", name] => assert!(!self.gate_named(name).is_ready(), "{name} at {now}"),
            ["holds", name, version] => {
                let has = self.gate_named(name).configuration.as_ref().map(|c| c.version);
                assert_eq!(has, version.parse().ok(), "{name} at {now}");
            }
            ["home", name, of] => {
                let attached =
                    self.gate_named(name).control.attached_marker().and_then(|ip| self.marker_at(ip));
                if let Some(not) = of.strip_prefix('!') {
                    assert!(
                        attached.is_some() && attached != Some(self.index(not)),
                        "{name} at {now}: {attached:?}"
                    );
                } else {
                    let of = (*of != "-").then(|| self.index(of));
                    assert_eq!(attached, of, "{name} at {now}");
                }
            }
            _ => panic!("unknown cell: {words:?}"),
        }
    }

    /// The maximum number of requests admitted within five seconds.
    pub fn max_in_window(&self) -> usize {
        let (mut most, mut begin) = (0, 0);
        for end in 0..self.admitted.len() {
            while self.admitted[end] >= self.admitted[begin] + 5_000 {
                begin += 1;
            }
            most = most.max(end + 1 - begin);
        }
        most
    }
}

/// Plays a timeline, whose first line names the columns.
pub fn play(timeline: &str) -> Simulation {
    let mut lines = timeline.lines().map(str::trim).filter(|line| !line.is_empty());
    let columns: Vec<&str> = lines.next().unwrap().split('|').map(str::trim).collect();
    let markers = columns.iter().filter(|name| name.starts_with('m') && **name != "ms").count();
    let mut simulation = Simulation::new(markers, columns.len() - 2 - markers);
    for line in lines {
        let cells: Vec<&str> = line.split('|').map(str::trim).collect();
        assert_eq!(cells.len(), columns.len(), "{line}");
        let at = cells[0].parse().unwrap();
        assert!(at >= simulation.now, "{line}: time must not go back");
        simulation.run(at);
        for n in 0..columns.len() - 2 {
            simulation.act(n, cells[n + 1]);
        }
        let words: Vec<&str> = cells[columns.len() - 1].split_whitespace().collect();
        simulation.execute(&words);
    }
    simulation
}
