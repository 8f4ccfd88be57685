//! One marker as a state machine: calls, words and ticks come in; what to send, write and answer goes out.

use crate::core::{Core, CoreStatus};
use crate::members::Members;
use crate::parts::{Millis, Output, Reply, SessionId};
use crate::registry::{self, Learnt, Registry};
use crate::repair::Repair;
use crate::sessions::{Sessions, Waiter};
use crate::tally::Tally;
use granitelead_common::configuration;
use granitelead_common::error_kinds::ErrorKind;
use granitelead_control_protocol::messages::{
    Document, Duty, Instance, InstanceState, Node, PeerMessage, ToGatekeeper, ToMarker, Update,
};
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

/// How often totals go out, and what servers have beaten here.
const TOTALS: Millis = 50;
/// See [`TOTALS`].
const ALIVE: Millis = 700;
/// How often markers tell each other their sessions.
const SESSIONS: Millis = 125;
/// How often they do where nothing changed.
const HERE: Millis = 1_000;
/// How often markers tell each other what was let in: bytes between zones.
const ADDS: Millis = 125;
/// A marker has heard of all gatekeepers this long after its start; only then, or if it knows them from its disk, it says
/// how many there are.
const KNOWS: Millis = 1_200;
/// How often the servers are put on disk, where they have changed.
const SERVERS: Millis = 400;
/// How often those that have not answered are asked again what was missed, and most of the core whom to end.
const AGAIN: Millis = 300;
const REAP: Millis = 600;

/// What is known of another marker.
#[derive(Default)]
struct Peer {
    /// Whether it was sent all servers since the connection came up.
    greeted: bool,
    heard: Millis,
    zone: String,
}

/// What was missed out of contact, asked for under a number; the safe versions of those that have answered.
struct Asking {
    number: u64,
    at: Millis,
    answers: BTreeMap<Ipv4Addr, Option<u32>>,
}

/// Servers that are to be ended, once most of the core have taken the reaper's number for it and miss them too.
struct Reaping {
    ticket: u64,
    at: Millis,
    silent: Vec<Instance>,
    told: BTreeSet<Ipv4Addr>,
}

/// One marker.
pub struct Marker {
    core: Core,
    zone: String,
    registry: Registry,
    sessions: Sessions,
    repair: Repair,
    tally: Tally,
    peers: BTreeMap<Ipv4Addr, Peer>,
    members: Members,
    /// The markers whose gatekeepers count together with those here.
    counts_with: BTreeSet<Ipv4Addr>,
    /// The names of the gatekeepers that were put on disk last.
    stored_members: Vec<String>,
    /// Whether it is known how many gatekeepers there are; when this process began.
    knows_members: bool,
    begun: Millis,
    told_members: (u32, u32),
    told_markers: Vec<Ipv4Addr>,
    told_here: Vec<String>,
    here_at: Millis,
    adds_at: Millis,
    totals_at: Millis,
    alive_at: Millis,
    sessions_at: Millis,
    servers_at: Millis,
    servers_changed: bool,
    /// Whether it is in contact with most of the core and has caught up with it; and since when it is so, or not.
    contact: bool,
    contact_at: Millis,
    asking: Option<Asking>,
    asked: u64,
    reaping: Option<Reaping>,
}

/// A call of a server or an operator, taken apart.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// A server says that it is there, or that it will leave.
    Beat {
        /// Its life.
        id: String,
        /// What it says.
        body: Vec<u8>,
    },
    /// A server ends.
    Leave {
        /// Its life.
        id: String,
    },
    /// An operator sends a configuration.
    Replace {
        /// As it was sent.
        body: Vec<u8>,
    },
    /// An operator asks for the newest.
    Read,
    /// An operator asks how things are.
    Status,
}

impl Marker {
    /// One whose core has kept what it has; servers beat so often, and these were known last.
    pub fn new(mut core: Core, zone: String, beat: Millis, servers: Vec<Instance>) -> Marker {
        let mut registry = Registry::new(beat);
        for server in servers {
            registry.take(0, server);
        }
        let (ticket, asked, begun) = (core.draw_nonce(), core.draw_nonce(), core.now());
        Marker {
            core,
            zone,
            registry,
            sessions: Sessions::new(ticket),
            repair: Repair::default(),
            tally: Tally::default(),
            peers: BTreeMap::new(),
            members: Members::default(),
            counts_with: BTreeSet::new(),
            stored_members: Vec::new(),
            knows_members: false,
            begun,
            told_members: (0, 0),
            told_markers: Vec::new(),
            told_here: Vec::new(),
            here_at: 0,
            adds_at: 0,
            totals_at: 0,
            alive_at: 0,
            sessions_at: 0,
            servers_at: 0,
            servers_changed: false,
            contact: false,
            contact_at: 0,
            asking: None,
            asked,
            reaping: None,
        }
    }

    /// With the gatekeepers that its disk names, and the window by which quotas are judged, ms.
    #[must_use]
    pub fn remembering(mut self, gatekeepers: Vec<String>, window: Millis) -> Marker {
        self.knows_members = !gatekeepers.is_empty();
        self.stored_members.clone_from(&gatekeepers);
        self.members = Members::stored(self.begun, gatekeepers);
        self.told_members = self.members.look(self.begun, false, |_| None);
        self.tally = Tally::new(window, self.begun);
        self
    }

    /// This marker.
    pub fn me(&self) -> Node {
        self.core.me()
    }

    /// The core from outside.
    pub fn view(&self) -> CoreStatus {
        self.core.view()
    }

    /// All other markers, to hold connections to.
    pub fn known(&self) -> BTreeSet<Ipv4Addr> {
        self.core.known_markers()
    }

    /// The settings name other seeds.
    pub fn reseed(&mut self, seeds: &[Ipv4Addr]) {
        self.core.set_seeds(seeds);
    }

    /// A call comes; it is answered under its number.
    pub fn on_call(&mut self, now: Millis, id: u64, call: Call, out: &mut Vec<Output>) {
        match call {
            Call::Beat { id: life, body } => match registry::read_beat(&life, &body) {
                Err((kind, text)) => out.push(Output::Answer(id, Reply::Fault(kind, text))),
                Ok(instance) => {
                    let leaves = instance.state != InstanceState::Ready;
                    // Beats stay in the server's zone where a marker is there.
                    let reply = self.marker_of(&instance.zone).map_or(Reply::done(), Reply::Beats);
                    let changed = self.registry.on_beat(now, instance);
                    let leaves = self.registry.get(&life).filter(|_| leaves).cloned();
                    self.spread(now, id, leaves, changed, reply, out);
                }
            },
            Call::Leave { id: life } => {
                let changed = self.registry.on_leave(now, &life);
                let leaves = self.registry.get(&life).cloned();
                self.spread(now, id, leaves, changed, Reply::done(), out);
            }
            Call::Replace { body } => match configuration::parse(&body) {
                Err(faults) => {
                    out.push(Output::Answer(id, Reply::Fault(ErrorKind::Configuration, faults.to_string())));
                }
                Ok(read) => {
                    let document = Document { version: read.version, bytes: body };
                    self.core.on_replace(now, id, document, out);
                }
            },
            Call::Read => self.core.on_read(now, id, out),
            Call::Status => out.push(Output::Answer(id, Reply::Json(self.status(now)))),
        }
        self.after(now, out);
    }

    /// Tells all what has changed of servers. A server that leaves is answered once all know; it is told on again each time
    /// that it says so, as who knew before is not kept. Out of contact what it says is taken in and told on all the same,
    /// but not acknowledged: the server then calls another marker, which the others may hear.
    fn spread(
        &mut self,
        now: Millis,
        id: u64,
        leaves: Option<Instance>,
        changed: Vec<Instance>,
        reply: Reply,
        out: &mut Vec<Output>,
    ) {
        if !changed.is_empty() {
            self.tell_servers(changed.clone(), out);
        }
        let ticket = if !self.contact {
            out.push(Output::Answer(id, Reply::fault(ErrorKind::Uncertain, "this marker is out of contact")));
            0
        } else if leaves.is_some() {
            let live = self.core.live_markers();
            self.sessions.wait(now, Waiter::Call(id), &live)
        } else {
            out.push(Output::Answer(id, reply));
            0
        };
        let words = match leaves {
            Some(leaves) if !changed.contains(&leaves) => changed.into_iter().chain([leaves]).collect(),
            _ => changed,
        };
        self.pass_on(now, words, ticket, None, out);
    }

    /// Tells the other markers what has changed of servers. Who is no more is kept for those that can't be told now.
    fn pass_on(
        &mut self,
        now: Millis,
        changed: Vec<Instance>,
        ticket: u64,
        except: Option<Ipv4Addr>,
        out: &mut Vec<Output>,
    ) {
        if changed.is_empty() {
            return;
        }
        let ended: Vec<Instance> =
            changed.iter().filter(|i| i.state == InstanceState::Gone).cloned().collect();
        let ticket = if ticket == 0 && !ended.is_empty() { self.sessions.ticket() } else { ticket };
        for ip in self.core.known_markers().into_iter().filter(|ip| Some(*ip) != except) {
            self.repair.owe(now, ip, &ended, ticket);
            out.push(Output::Send(ip, PeerMessage::Servers(ticket, changed.clone())));
        }
    }

    /// Hands over to a marker the next part of what it missed.
    fn hand_over(&mut self, ip: Ipv4Addr, out: &mut Vec<Output>) {
        let ticket = self.sessions.ticket();
        let part = self.repair.part(ip, ticket);
        if !part.is_empty() {
            out.push(Output::Send(ip, PeerMessage::Servers(ticket, part)));
        }
    }

    /// Takes in servers that are told on, and tells what changed. Gives that, and those whose end whoever told has missed.
    fn learn(
        &mut self,
        now: Millis,
        servers: Vec<Instance>,
        out: &mut Vec<Output>,
    ) -> (Vec<Instance>, Vec<Instance>) {
        let (mut changed, mut ended) = (Vec::new(), Vec::new());
        for server in servers {
            match self.registry.learn(now, server) {
                Learnt::News(news) => changed.extend(news),
                Learnt::Ended(end) => ended.push(end),
            }
        }
        if !changed.is_empty() {
            self.tell_servers(changed.clone(), out);
        }
        (changed, ended)
    }

    /// Takes in what another marker tells of servers, and says when all here know it.
    fn take_servers(
        &mut self,
        now: Millis,
        from: Ipv4Addr,
        ticket: u64,
        servers: Vec<Instance>,
        out: &mut Vec<Output>,
    ) {
        let (mut changed, ended) = self.learn(now, servers, out);
        // Who leaves is told on once more: whoever told may not reach all that are reached from here.
        changed.retain(|server| server.state != InstanceState::Ready);
        self.pass_on(now, changed, 0, Some(from), out);
        if !ended.is_empty() {
            let ticket = self.sessions.ticket();
            self.repair.owe(now, from, &ended, ticket);
            out.push(Output::Send(from, PeerMessage::Servers(ticket, ended)));
        }
        if ticket > 0 {
            self.sessions.wait(now, Waiter::Marker(from, ticket), &[]);
        }
    }

    fn tell_servers(&mut self, changed: Vec<Instance>, out: &mut Vec<Output>) {
        self.servers_changed = true;
        self.sessions.tell_all(&Update::Servers(changed), out);
    }

    /// Another marker says something.
    pub fn on_word(&mut self, now: Millis, from: Node, word: PeerMessage, out: &mut Vec<Output>) {
        self.peers.entry(from.ip).or_default().heard = now;
        match word {
            PeerMessage::Servers(ticket, servers) => self.take_servers(now, from.ip, ticket, servers, out),
            PeerMessage::ConfirmExpired(number, ticket, servers) => {
                if self.core.allows(Duty::Reaper, number) {
                    let heard = self.registry.heard_of(now, &servers);
                    let word = if heard.is_empty() {
                        PeerMessage::Delivered(ticket)
                    } else {
                        PeerMessage::Alive(heard)
                    };
                    out.push(Output::Send(from.ip, word));
                } else {
                    log::info!("{} reaps under number {}, which is over", from.ip, number.round);
                }
            }
            PeerMessage::Delivered(ticket) => {
                self.sessions.on_told(from.ip, ticket);
                self.on_reaped(now, from.ip, ticket, out);
                if self.repair.told(from.ip, ticket) {
                    self.hand_over(from.ip, out);
                }
            }
            PeerMessage::Alive(lives) => {
                let changed = self.registry.on_alive(now, &lives);
                if !changed.is_empty() {
                    self.tell_servers(changed, out);
                }
            }
            PeerMessage::Sessions { zone, names, missed, ended } => {
                self.peers.entry(from.ip).or_default().zone = zone;
                let is_counted = self.counts_with.contains(&from.ip);
                self.members.take(now, from.ip, names, is_counted);
                self.members.learn_missed(now, missed);
                ended.into_iter().for_each(|(name, age)| self.members.end(now, &name, age));
            }
            PeerMessage::GatekeeperLeft(name) => self.members.end(now, &name, 0),
            // Others count without what is let in here: each leaves the other its part.
            PeerMessage::Usage(adds) if self.counts_with.contains(&from.ip) => self.tally.count(now, &adds),
            PeerMessage::Usage(_) => {}
            PeerMessage::CatchUp(number) => {
                out.push(Output::Send(from.ip, PeerMessage::Servers(0, self.registry.whole())));
                let sure = self.core.committed().map(|d| d.version);
                out.push(Output::Send(from.ip, PeerMessage::CaughtUp(number, sure)));
            }
            PeerMessage::CaughtUp(number, sure) => {
                if let Some(asking) = self.asking.as_mut().filter(|asking| asking.number == number) {
                    asking.answers.insert(from.ip, sure);
                }
            }
            word => self.core.on_message(now, from, word, out),
        }
        self.after(now, out);
    }

    /// A connection to another marker is up, or down.
    pub fn on_line(&mut self, now: Millis, ip: Ipv4Addr, up: bool, out: &mut Vec<Output>) {
        if up {
            self.core.on_connected();
            // What was asked while the line was down went nowhere.
            if let Some(asking) = &mut self.asking {
                asking.at = 0;
            }
        } else {
            self.core.on_disconnected(now, ip);
        }
        let peer = self.peers.entry(ip).or_default();
        let greets = up && !peer.greeted;
        peer.greeted = up;
        if greets {
            // Who is no more comes first: its address may be another's by now.
            self.repair.back(ip);
            self.hand_over(ip, out);
            let all = self.registry.all();
            if !all.is_empty() {
                out.push(Output::Send(ip, PeerMessage::Servers(0, all)));
            }
        }
    }

    /// A gatekeeper says something.
    pub fn on_up(&mut self, now: Millis, session: SessionId, word: ToMarker, out: &mut Vec<Output>) {
        match word {
            ToMarker::Hello { incarnation: life, name, in_force: has, servers } => {
                // What it knows may be more than is known here, after a start of all.
                let (_, ended) = self.learn(now, servers, out);
                let (all, markers) = (self.registry.all(), self.markers());
                self.sessions.open(
                    now,
                    session,
                    life,
                    name,
                    has,
                    self.core.committed(),
                    all,
                    markers,
                    &self.zone,
                    out,
                );
                self.sessions.tell(session, Update::Contact(self.contact), out);
                if !ended.is_empty() {
                    self.sessions.tell(session, Update::Servers(ended), out);
                }
                if self.knows_members {
                    let (all, missed) = self.told_members;
                    self.sessions.tell(session, Update::Gatekeepers(all, missed), out);
                }
            }
            ToMarker::Ping => {
                self.sessions.on_ping(now, session);
                out.push(Output::Tell(session, ToGatekeeper::Pong));
            }
            ToMarker::Attach(home) => {
                self.tally.close(session);
                if let (true, Some(life)) = (home, self.sessions.life(session)) {
                    self.tally.open(session, life);
                }
                self.sessions.on_home(session, home);
                self.sessions_at = 0;
            }
            ToMarker::Acknowledge(number) => self.sessions.on_got(session, number, out),
            ToMarker::InForce(revision) => self.sessions.on_has(session, revision),
            ToMarker::RequestFull(revision) => self.sessions.on_lacks(session, revision, out),
            ToMarker::Usage(number, adds) => self.tally.on_adds(now, session, number, &adds),
            ToMarker::Leave => self.on_leaving(now, session, out),
        }
        self.after(now, out);
    }

    /// A gatekeeper says that its process ends: its part of each quota is the others'.
    fn on_leaving(&mut self, now: Millis, session: SessionId, out: &mut Vec<Output>) {
        let Some(name) = self.sessions.name(session) else { return };
        self.tally.close(session);
        self.members.end(now, &name, 0);
        for ip in self.core.known_markers() {
            out.push(Output::Send(ip, PeerMessage::GatekeeperLeft(name.clone())));
        }
    }

    /// A session ends; `closed` says that its peer closed it. A gatekeeper that goes on says first that this is not its home
    /// any more: one that has not is no more. A broken or silent connection says nothing of its gatekeeper.
    pub fn on_closed(&mut self, now: Millis, session: SessionId, closed: bool, out: &mut Vec<Output>) {
        let is_home = self.sessions.life(session).is_some_and(|life| self.tally.lives().contains(&life));
        if closed && is_home {
            self.on_leaving(now, session, out);
        }
        self.tally.close(session);
        self.sessions.close(session);
    }

    /// All writes up to this ticket are on disk.
    pub fn on_written(&mut self, now: Millis, ticket: u64, out: &mut Vec<Output>) {
        self.core.on_written(now, ticket, out);
        self.after(now, out);
    }

    /// The process is about to end, once it may.
    pub fn on_leave(&mut self, now: Millis, out: &mut Vec<Output>) {
        self.core.on_leave(now, out);
    }

    /// See [`Core::may_end`].
    pub fn may_end(&self) -> bool {
        self.core.may_end()
    }

    /// See [`Core::sole_copy_version`].
    pub fn held_alone(&self) -> Option<u32> {
        self.core.sole_copy_version()
    }

    /// Time passes.
    pub fn on_tick(&mut self, now: Millis, out: &mut Vec<Output>) {
        self.core.on_tick(now, out);
        self.sessions.on_tick(now, out);
        self.registry.on_tick(now, !self.contact);
        self.reap(now, out);
        let peers: Vec<Ipv4Addr> = self.core.live_markers();
        if now >= self.totals_at + TOTALS {
            self.totals_at = now;
            let due = now >= self.adds_at + ADDS;
            let batch = if due { self.tally.batch() } else { Vec::new() };
            if !batch.is_empty() {
                self.adds_at = now;
                out.extend(peers.iter().map(|ip| Output::Send(*ip, PeerMessage::Usage(batch.clone()))));
            }
            for (id, recent) in self.tally.beginnings(now) {
                out.push(Output::Tell(id, ToGatekeeper::Recent(recent)));
            }
            let news = self.tally.news(now).into_iter();
            out.extend(
                news.map(|(id, number, totals)| Output::Tell(id, ToGatekeeper::Totals(number, totals))),
            );
        }
        if now >= self.alive_at + ALIVE {
            self.alive_at = now;
            let beaten = self.registry.beaten();
            if !beaten.is_empty() {
                out.extend(peers.iter().map(|ip| Output::Send(*ip, PeerMessage::Alive(beaten.clone()))));
            }
        }
        if self.servers_changed && now >= self.servers_at + SERVERS {
            (self.servers_at, self.servers_changed) = (now, false);
            out.push(Output::Servers(self.registry.all()));
        }
        if now >= self.sessions_at + SESSIONS {
            self.sessions_at = now;
            let known = self.core.known_markers();
            self.repair.sweep(now, |ip| known.contains(ip));
            self.look_at_members(now, &peers, out);
            let markers = self.markers();
            if markers != self.told_markers {
                self.told_markers.clone_from(&markers);
                self.sessions.tell_all(&Update::Markers(markers), out);
            }
        }
        self.after(now, out);
    }

    /// Tells the other markers whose home this one is, and gatekeepers how many there are, where it has changed.
    fn look_at_members(&mut self, now: Millis, peers: &[Ipv4Addr], out: &mut Vec<Output>) {
        let here = self.sessions.names(now, &self.tally.lives());
        self.members.take(now, self.core.me().ip, here.clone(), true);
        if here != self.told_here || now >= self.here_at + HERE {
            (self.told_here, self.here_at) = (here.clone(), now);
            let (missed, ended) = (self.members.missed(now), self.members.ended(now));
            let word = PeerMessage::Sessions { zone: self.zone.clone(), names: here, missed, ended };
            out.extend(peers.iter().map(|ip| Output::Send(*ip, word.clone())));
        }
        self.counts_with = self.core.quota_group();
        let all_together = self.core.quota_group_is_complete(&self.counts_with);
        let (counted, heard) = (&self.counts_with, &self.peers);
        let counts = self.members.look(now, all_together, |ip| {
            heard.get(&ip).filter(|_| counted.contains(&ip)).map(|peer| peer.heard)
        });
        self.knows_members |= now >= self.begun + KNOWS;
        if self.knows_members {
            let (all, missed) = self.told_members;
            self.tally.grant(now, f64::from(all - missed.min(all)) / f64::from(all.max(1)));
        }
        if counts != self.told_members && self.knows_members {
            self.told_members = counts;
            self.sessions.tell_all(&Update::Gatekeepers(counts.0, counts.1), out);
        }
        let names = self.members.names();
        if names != self.stored_members && now >= self.begun + KNOWS {
            out.push(Output::Gatekeepers(names.clone()));
            self.stored_members = names;
        }
    }

    /// Has the servers ended whose beats have stopped, where that is this marker's duty.
    fn reap(&mut self, now: Millis, out: &mut Vec<Output>) {
        let Some(number) = self.core.holds(Duty::Reaper).filter(|_| self.contact) else {
            self.reaping = None;
            return;
        };
        let waits = self.reaping.as_ref().is_some_and(|reaping| now < reaping.at + REAP);
        let silent = if waits { Vec::new() } else { self.registry.silent(now) };
        if silent.is_empty() {
            return;
        }
        let ticket = self.sessions.ticket();
        for ip in self.core.known_markers() {
            out.push(Output::Send(ip, PeerMessage::ConfirmExpired(number, ticket, silent.clone())));
        }
        self.reaping = Some(Reaping { ticket, at: now, silent, told: BTreeSet::new() });
        self.on_reaped(now, self.core.me().ip, ticket, out);
    }

    /// A marker has taken the reaper's number, and misses those servers too. Once most of the core do they are ended: one
    /// that was away, or to which one other is silent, ends nobody who beats where most hear of it.
    fn on_reaped(&mut self, now: Millis, from: Ipv4Addr, ticket: u64, out: &mut Vec<Output>) {
        let Some(reaping) = self.reaping.as_mut().filter(|reaping| reaping.ticket == ticket) else { return };
        reaping.told.insert(from);
        if !self.core.majority_of_core(|ip| reaping.told.contains(&ip)) {
            return;
        }
        let Some(Reaping { silent, .. }) = self.reaping.take() else { return };
        let ended = self.registry.end(now, silent);
        if !ended.is_empty() {
            self.tell_servers(ended.clone(), out);
            self.pass_on(now, ended, 0, None, out);
        }
    }

    /// Says out of contact when it hears no majority, or is not heard by it; and in contact once a majority has answered, since
    /// then, what was missed, and the newest version that it named is here. The number of the asking decides, not the time.
    fn watch_contact(&mut self, now: Millis, out: &mut Vec<Output>) {
        if !self.core.has_quorum() {
            self.asking = None;
            if std::mem::take(&mut self.contact) {
                self.turn(now, out);
            }
            return;
        }
        if self.contact {
            return;
        }
        if self.asking.is_none() {
            self.asked += 1;
            self.asking = Some(Asking { number: self.asked, at: 0, answers: BTreeMap::new() });
        }
        let (live, sure) = (self.core.live_markers(), self.core.committed().map(|d| d.version));
        let Some(asking) = self.asking.as_mut() else { return };
        if now >= asking.at + AGAIN || asking.at == 0 {
            asking.at = now;
            for ip in live.into_iter().filter(|ip| !asking.answers.contains_key(ip)) {
                out.push(Output::Send(ip, PeerMessage::CatchUp(asking.number)));
            }
        }
        let answered = self.core.majority_of_core(|ip| asking.answers.contains_key(&ip));
        if answered && asking.answers.values().all(|theirs| *theirs <= sure) {
            (self.contact, self.asking) = (true, None);
            self.turn(now, out);
        }
    }

    fn turn(&mut self, now: Millis, out: &mut Vec<Output>) {
        let since = now - self.contact_at;
        log::info!("{} contact, after {since} ms", if self.contact { "in" } else { "out of" });
        self.contact_at = now;
        self.sessions.tell_all(&Update::Contact(self.contact), out);
    }

    /// A marker of a zone that is heard, where it is another than this one's.
    fn marker_of(&self, zone: &str) -> Option<Ipv4Addr> {
        let live = self.core.live_markers();
        let of = |(ip, peer): &(&Ipv4Addr, &Peer)| peer.zone == zone && live.contains(ip);
        let mut peers = self.peers.iter().filter(|_| zone != self.zone);
        peers.find(of).map(|(ip, _)| *ip)
    }

    fn markers(&self) -> Vec<Ipv4Addr> {
        let mut markers = self.core.live_markers();
        markers.push(self.core.me().ip);
        markers.sort();
        markers
    }

    /// What follows from anything.
    fn after(&mut self, now: Millis, out: &mut Vec<Output>) {
        let sure: Vec<_> = out
            .iter()
            .filter_map(|o| match o {
                Output::Sure(document) => Some(document.clone()),
                _ => None,
            })
            .collect();
        out.retain(|o| !matches!(o, Output::Sure(_)));
        for document in sure {
            self.sessions.configure(now, &document, out);
        }
        // After what is safe, so that whoever hears of contact has what came with it.
        self.watch_contact(now, out);
        for (waiter, told) in self.sessions.known(now) {
            // A gatekeeper in touch has a session with one of any majority, or is told all when it opens one.
            let most = || self.contact && self.core.majority_of_core(|ip| told.contains(&ip));
            out.push(match waiter {
                Waiter::Call(id) if most() => Output::Answer(id, Reply::done()),
                Waiter::Call(id) => Output::Answer(
                    id,
                    Reply::fault(ErrorKind::Uncertain, "most markers have not said that all know"),
                ),
                Waiter::Marker(ip, ticket) => Output::Send(ip, PeerMessage::Delivered(ticket)),
            });
        }
    }

    fn status(&self, now: Millis) -> String {
        let view = self.core.view();
        let ip = |node: &Node| node.ip.to_string();
        let epoch = view.epoch.as_ref().map(|e| {
            serde_json::json!({
                "round": e.number.round,
                "core": e.core.iter().map(ip).collect::<Vec<_>>(),
                "primary": e.primary.as_ref().map(ip),
                "backups": e.backups.iter().map(ip).collect::<Vec<_>>(),
            })
        });
        let duties = view.duties.iter().map(|(duty, holder)| {
            let holder =
                holder.map(|(node, number)| serde_json::json!({"holder": ip(&node), "number": number.round}));
            (format!("{duty:?}").to_lowercase(), holder.unwrap_or_default())
        });
        let duties: serde_json::Map<String, serde_json::Value> = duties.collect();
        let (kept, handed, dropped) = self.repair.figures();
        let (have, of) = view.committed.map_or((0, 0), |version| self.sessions.have(version));
        serde_json::json!({
            "marker": self.me().ip.to_string(),
            "leads": view.is_primary,
            "contact": self.contact,
            "contact-for-ms": now - self.contact_at,
            "epoch": epoch,
            "version": view.committed.map(|v| format!("{v:08x}")),
            "numbers-held": view.versions.0,
            "numbers-forgotten": view.versions.1.map(|v| format!("{v:08x}")),
            "orders-refused": view.refused,
            "sessions": of,
            "sessions-with-version": have,
            "gatekeepers": self.members.names(),
            "markers": self.markers().iter().map(ToString::to_string).collect::<Vec<_>>(),
            "servers": self.registry.all().len(),
            "duties": duties,
            "ends-kept": kept,
            "ends-handed-over": handed,
            "ends-dropped": dropped,
            "core-needed": view.needed.0,
            "copies-needed": view.needed.1,
            "too-few": view.shortages,
            "leaves": view.shutting_down,
            "rounds-begun": view.rounds.0,
            "rounds-won": view.rounds.1,
        })
        .to_string()
    }
}
