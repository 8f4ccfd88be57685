//! A marker as a state machine without I/O: calls, messages and ticks are its input; messages to send, writes
//! and responses are its output.

mod expiry;
mod membership;
mod quorum;
mod server_changes;
mod status;

use crate::core::{Core, CoreStatus};
use crate::members::Members;
use crate::registry::{self, Registry};
use crate::repair::Repair;
use crate::server_log::ServerLog;
use crate::sessions::Sessions;
use crate::tally::Tally;
use crate::types::{Millis, Output, Reply, SessionId, Written};
use granitelead_common::configuration;
use granitelead_common::error_kinds::ErrorKind;
use granitelead_control_protocol::messages::{
    Document, Duty, Instance, InstanceState, Node, PeerMessage, ToGatekeeper, ToMarker, Update,
};
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

/// How often gatekeepers get the totals of admitted requests.
const TOTALS_INTERVAL: Millis = 50;
/// How often other markers are sent which servers sent heartbeats here.
const ALIVE_INTERVAL: Millis = 700;
/// How often markers send each other their sessions where these have changed.
const SESSIONS_INTERVAL: Millis = 125;
/// How often markers send each other the usage of their gatekeepers. It is longer than the interval of totals
/// to limit the traffic between zones.
const USAGE_INTERVAL: Millis = 125;

/// What is known of another marker.
#[derive(Default)]
struct Peer {
    /// Whether it was sent all servers since the connection was opened.
    greeted: bool,
    last_message_at: Millis,
    zone: String,
}

/// Servers to be removed once a majority of the core has accepted the reaper's proposal number and confirms
/// that their heartbeats have stopped there too.
struct ReapRequest {
    ticket: u64,
    at: Millis,
    silent: Vec<Instance>,
    confirmed_by: BTreeSet<Ipv4Addr>,
}

/// A request for the changes missed without a quorum, under a number, and the committed versions of the
/// markers that have answered.
struct CatchUpRequest {
    number: u64,
    at: Millis,
    answers: BTreeMap<Ipv4Addr, Option<u32>>,
}

/// One marker.
pub struct Marker {
    core: Core,
    zone: String,
    registry: Registry,
    server_log: ServerLog,
    sessions: Sessions,
    repair: Repair,
    tally: Tally,
    peers: BTreeMap<Ipv4Addr, Peer>,
    members: Members,
    /// The markers whose gatekeepers share quotas with those attached here.
    counts_with: BTreeSet<Ipv4Addr>,
    /// Whether the number of gatekeepers is known.
    knows_members: bool,
    /// When this process started.
    started_at: Millis,
    sent_member_counts: (u32, u32),
    sent_markers: Vec<Ipv4Addr>,
    sent_attached: Vec<String>,
    sessions_refreshed_at: Millis,
    usage_at: Millis,
    totals_at: Millis,
    alive_at: Millis,
    sessions_at: Millis,
    /// Whether this marker has a quorum of the core and has caught up with it, and when that last changed.
    in_quorum: bool,
    quorum_changed_at: Millis,
    catch_up: Option<CatchUpRequest>,
    last_catch_up_number: u64,
    reap: Option<ReapRequest>,
}

/// A parsed call of a server or an operator.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// The heartbeat of a server, which may say that it is draining.
    Heartbeat {
        /// The id of the server's instance.
        id: String,
        /// The body of the request.
        body: Vec<u8>,
    },
    /// A server deregisters.
    Leave {
        /// The id of the server's instance.
        id: String,
    },
    /// An operator replaces the configuration.
    Replace {
        /// The configuration document as it was sent.
        body: Vec<u8>,
    },
    /// An operator reads the newest configuration.
    Read,
    /// An operator reads the status of this marker.
    Status,
}

impl Marker {
    /// Creates a marker with a restored core, the heartbeat interval of servers in ms, and the stored records
    /// of servers.
    pub fn new(mut core: Core, zone: String, heartbeat_interval: Millis, servers: Vec<Instance>) -> Marker {
        let mut registry = Registry::new(heartbeat_interval);
        registry.restore(core.now(), servers);
        let (ticket, last_catch_up_number, started_at) = (core.draw_nonce(), core.draw_nonce(), core.now());
        Marker {
            core,
            zone,
            registry,
            server_log: ServerLog::default(),
            sessions: Sessions::new(ticket),
            repair: Repair::default(),
            tally: Tally::default(),
            peers: BTreeMap::new(),
            members: Members::default(),
            counts_with: BTreeSet::new(),
            knows_members: false,
            started_at,
            sent_member_counts: (0, 0),
            sent_markers: Vec::new(),
            sent_attached: Vec::new(),
            sessions_refreshed_at: 0,
            usage_at: 0,
            totals_at: 0,
            alive_at: 0,
            sessions_at: 0,
            in_quorum: false,
            quorum_changed_at: 0,
            catch_up: None,
            last_catch_up_number,
            reap: None,
        }
    }

    /// Sets the gatekeepers that were read from disk and the quota window in ms.
    #[must_use]
    pub fn with_stored_gatekeepers(mut self, gatekeepers: Vec<String>, window: Millis) -> Marker {
        self.knows_members = !gatekeepers.is_empty();
        self.members = Members::stored(self.started_at, gatekeepers);
        self.sent_member_counts = self.members.update(self.started_at, false, |_| None);
        self.tally = Tally::new(window, self.started_at);
        self
    }

    /// The address and identity of this marker.
    pub fn me(&self) -> Node {
        self.core.me()
    }

    /// The status of the core.
    pub fn view(&self) -> CoreStatus {
        self.core.view()
    }

    /// All other markers, to which connections are kept open.
    pub fn known_markers(&self) -> BTreeSet<Ipv4Addr> {
        self.core.known_markers()
    }

    /// Replaces the seeds after the settings have changed.
    pub fn set_seeds(&mut self, seeds: &[Ipv4Addr]) {
        self.core.set_seeds(seeds);
    }

    /// Handles a call, which is answered under its id.
    pub fn on_call(&mut self, now: Millis, id: u64, call: Call, out: &mut Vec<Output>) {
        match call {
            Call::Heartbeat { id: instance_id, body } => match registry::parse_heartbeat(&instance_id, &body)
            {
                Err((kind, text)) => out.push(Output::Answer(id, Reply::Failure(kind, text))),
                Ok(instance) => {
                    let leaves = instance.state != InstanceState::Ready;
                    // Heartbeats stay in the server's zone where it has a marker.
                    let reply = self.marker_in_zone(&instance.zone).map_or(Reply::done(), Reply::Heartbeat);
                    let changed = self.registry.on_heartbeat(now, instance);
                    let leaves = self.registry.get(&instance_id).filter(|_| leaves).cloned();
                    self.broadcast_change(now, id, leaves, changed, reply, out);
                }
            },
            Call::Leave { id: instance_id } => {
                let changed = self.registry.on_deregister(now, &instance_id);
                let leaves = self.registry.get(&instance_id).cloned();
                self.broadcast_change(now, id, leaves, changed, Reply::done(), out);
            }
            Call::Replace { body } => match configuration::parse(&body) {
                Err(faults) => {
                    out.push(Output::Answer(
                        id,
                        Reply::Failure(ErrorKind::Configuration, faults.to_string()),
                    ));
                }
                Ok(read) => {
                    let document = Document { version: read.version, bytes: body };
                    self.core.on_replace(now, id, document, out);
                }
            },
            Call::Read => self.core.on_read(now, id, out),
            Call::Status => out.push(Output::Answer(id, Reply::Json(self.status(now)))),
        }
        self.finish_step(now, out);
    }

    /// Handles a message of another marker.
    pub fn on_peer_message(&mut self, now: Millis, from: Node, message: PeerMessage, out: &mut Vec<Output>) {
        self.peers.entry(from.ip).or_default().last_message_at = now;
        match message {
            PeerMessage::Servers(ticket, servers) => self.on_peer_servers(now, from.ip, ticket, servers, out),
            PeerMessage::ConfirmExpired(number, ticket, servers) => {
                if self.core.allows(Duty::Reaper, number) {
                    let alive = self.registry.not_timed_out(now, &servers);
                    let message = if alive.is_empty() {
                        PeerMessage::Delivered(ticket)
                    } else {
                        PeerMessage::Alive(alive)
                    };
                    out.push(Output::SendToMarker(from.ip, message));
                } else {
                    log::info!(
                        "{} reaps with proposal number {}, which is superseded",
                        from.ip,
                        number.round
                    );
                }
            }
            PeerMessage::Delivered(ticket) => {
                self.sessions.on_confirmed(from.ip, ticket);
                self.on_reaped(now, from.ip, ticket, out);
                if self.repair.on_acknowledged(from.ip, ticket) {
                    self.send_missed_batch(from.ip, out);
                }
            }
            PeerMessage::Alive(instances) => {
                let changed = self.registry.on_remote_heartbeats(now, &instances);
                if !changed.is_empty() {
                    self.send_servers(changed, out);
                }
            }
            PeerMessage::Sessions { zone, names, missed, ended } => {
                self.peers.entry(from.ip).or_default().zone = zone;
                let is_counted = self.counts_with.contains(&from.ip);
                self.members.on_report(now, from.ip, names, is_counted);
                self.members.merge_missing(now, missed);
                ended.into_iter().for_each(|(name, age)| self.members.on_end(now, &name, age));
            }
            PeerMessage::GatekeeperLeft(name) => self.members.on_end(now, &name, 0),
            // Usage from outside the quota group is ignored: each group leaves the other its share of the
            // quotas.
            PeerMessage::Usage(usage) if self.counts_with.contains(&from.ip) => {
                self.tally.add_usage(now, &usage)
            }
            PeerMessage::Usage(_) => {}
            PeerMessage::CatchUp(number) => {
                out.push(Output::SendToMarker(from.ip, PeerMessage::Servers(0, self.registry.snapshot())));
                let committed = self.core.committed().map(|d| d.version);
                out.push(Output::SendToMarker(from.ip, PeerMessage::CaughtUp(number, committed)));
            }
            PeerMessage::CaughtUp(number, committed) => {
                if let Some(catch_up) = self.catch_up.as_mut().filter(|catch_up| catch_up.number == number) {
                    catch_up.answers.insert(from.ip, committed);
                }
            }
            message => self.core.on_message(now, from, message, out),
        }
        self.finish_step(now, out);
    }

    /// Handles the opening or the loss of a connection to another marker.
    pub fn on_connection_change(&mut self, now: Millis, ip: Ipv4Addr, up: bool, out: &mut Vec<Output>) {
        if up {
            self.core.on_connected();
            // Requests made while the connection was down were not delivered: send them again.
            if let Some(catch_up) = &mut self.catch_up {
                catch_up.at = 0;
            }
        } else {
            self.core.on_disconnected(now, ip);
        }
        let peer = self.peers.entry(ip).or_default();
        let greets = up && !peer.greeted;
        peer.greeted = up;
        if greets {
            // Servers that are gone come first: another server may have their address by now.
            self.repair.on_connected(ip);
            self.send_missed_batch(ip, out);
            let all = self.registry.live();
            if !all.is_empty() {
                out.push(Output::SendToMarker(ip, PeerMessage::Servers(0, all)));
            }
        }
    }

    /// Handles a message of a gatekeeper.
    pub fn on_gatekeeper_message(
        &mut self,
        now: Millis,
        session: SessionId,
        message: ToMarker,
        out: &mut Vec<Output>,
    ) {
        match message {
            ToMarker::Hello { incarnation, name, in_force, servers } => {
                // After a restart of all markers a gatekeeper may know more servers than this marker.
                let (_, ended) = self.merge_servers(now, servers, out);
                let (all, markers) = (self.registry.live(), self.markers());
                self.sessions.open(
                    now,
                    session,
                    incarnation,
                    name,
                    in_force,
                    self.core.committed(),
                    all,
                    markers,
                    &self.zone,
                    out,
                );
                self.sessions.send(session, Update::Contact(self.in_quorum), out);
                if !ended.is_empty() {
                    self.sessions.send(session, Update::Servers(ended), out);
                }
                if self.knows_members {
                    let (all, missed) = self.sent_member_counts;
                    self.sessions.send(session, Update::Gatekeepers(all, missed), out);
                }
            }
            ToMarker::Ping => {
                self.sessions.on_ping(now, session);
                out.push(Output::SendToGatekeeper(session, ToGatekeeper::Pong));
            }
            ToMarker::Attach(attach) => {
                self.tally.detach(session);
                if let (true, Some(incarnation)) = (attach, self.sessions.incarnation(session)) {
                    self.tally.attach(session, incarnation);
                }
                self.sessions.on_attached(session, attach);
                self.sessions_at = 0;
            }
            ToMarker::Acknowledge(number) => self.sessions.on_acknowledged(session, number, out),
            ToMarker::InForce(revision) => self.sessions.on_in_force(session, revision),
            ToMarker::RequestFull(revision) => self.sessions.on_difference_failed(session, revision, out),
            ToMarker::Usage(number, usage) => self.tally.on_usage(now, session, number, &usage),
            ToMarker::Leave => self.on_gatekeeper_leaving(now, session, out),
        }
        self.finish_step(now, out);
    }

    /// Handles the end of a session; `closed` is whether its peer closed it. A gatekeeper that keeps running
    /// detaches first, so one that closes while attached has ended. A broken or silent connection does not
    /// show that its gatekeeper has ended.
    pub fn on_closed(&mut self, now: Millis, session: SessionId, closed: bool, out: &mut Vec<Output>) {
        let is_attached = self
            .sessions
            .incarnation(session)
            .is_some_and(|incarnation| self.tally.incarnations().contains(&incarnation));
        if closed && is_attached {
            self.on_gatekeeper_leaving(now, session, out);
        }
        self.tally.detach(session);
        self.sessions.close(session);
    }

    /// Handles that a write and all earlier ones of its kind are on disk.
    pub fn on_written(&mut self, now: Millis, written: Written, out: &mut Vec<Output>) {
        match written {
            Written::State(ticket) => self.core.on_written(now, ticket, out),
            Written::Servers(ticket) => self.server_log.on_written(ticket),
            Written::Gatekeepers(ticket) => self.members.on_written(ticket),
        }
        self.finish_step(now, out);
    }

    /// Starts the shutdown of this marker; see [`Marker::may_end`].
    pub fn on_leave(&mut self, now: Millis, out: &mut Vec<Output>) {
        self.core.on_leave(now, out);
    }

    /// See [`Core::may_end`].
    pub fn may_end(&self) -> bool {
        self.core.may_end()
    }

    /// See [`Core::sole_copy_version`].
    pub fn sole_copy_version(&self) -> Option<u32> {
        self.core.sole_copy_version()
    }

    /// Sends the usage reported here to the other markers where that is due, and totals to the gatekeepers.
    fn send_usage(&mut self, now: Millis, peers: &[Ipv4Addr], out: &mut Vec<Output>) {
        let due = now >= self.usage_at + USAGE_INTERVAL;
        let batch = if due { self.tally.take_batch() } else { Vec::new() };
        if !batch.is_empty() {
            self.usage_at = now;
            out.extend(peers.iter().map(|ip| Output::SendToMarker(*ip, PeerMessage::Usage(batch.clone()))));
        }
        for (id, recent) in self.tally.take_recent_use(now) {
            out.push(Output::SendToGatekeeper(id, ToGatekeeper::Recent(recent)));
        }
        let updates = self.tally.take_updates(now).into_iter();
        out.extend(
            updates.map(|(id, number, totals)| {
                Output::SendToGatekeeper(id, ToGatekeeper::Totals(number, totals))
            }),
        );
    }

    /// Sends the other markers which servers sent heartbeats here.
    fn send_alive(&mut self, peers: &[Ipv4Addr], out: &mut Vec<Output>) {
        let alive = self.registry.take_local_heartbeats();
        if !alive.is_empty() {
            out.extend(peers.iter().map(|ip| Output::SendToMarker(*ip, PeerMessage::Alive(alive.clone()))));
        }
    }

    /// Does the periodic work that is due.
    pub fn on_tick(&mut self, now: Millis, out: &mut Vec<Output>) {
        self.core.on_tick(now, out);
        self.sessions.on_tick(now, out);
        self.server_log.remove(self.registry.on_tick(now, !self.in_quorum));
        self.server_log.on_tick(now, out);
        self.reap(now, out);
        let peers: Vec<Ipv4Addr> = self.core.live_markers();
        if now >= self.totals_at + TOTALS_INTERVAL {
            self.totals_at = now;
            self.send_usage(now, &peers, out);
        }
        if now >= self.alive_at + ALIVE_INTERVAL {
            self.alive_at = now;
            self.send_alive(&peers, out);
        }
        if now >= self.sessions_at + SESSIONS_INTERVAL {
            self.sessions_at = now;
            let known = self.core.known_markers();
            self.repair.expire(now, |ip| known.contains(ip));
            self.update_members(now, &peers, out);
            let markers = self.markers();
            if markers != self.sent_markers {
                self.sent_markers.clone_from(&markers);
                self.sessions.send_all(&Update::Markers(markers), out);
            }
        }
        self.finish_step(now, out);
    }

    /// A reachable marker of a zone, if the zone is not this marker's own.
    fn marker_in_zone(&self, zone: &str) -> Option<Ipv4Addr> {
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

    /// Finishes each step: handles committed documents, the quorum state and finished waits.
    fn finish_step(&mut self, now: Millis, out: &mut Vec<Output>) {
        let committed: Vec<_> = out
            .iter()
            .filter_map(|o| match o {
                Output::Committed(document) => Some(document.clone()),
                _ => None,
            })
            .collect();
        out.retain(|o| !matches!(o, Output::Committed(_)));
        for document in committed {
            self.sessions.on_committed(now, &document, out);
        }
        // After the committed documents, so that a gatekeeper that learns of the quorum already has them.
        self.update_quorum_state(now, out);
        for wait in self.sessions.finished_waits(now, self.server_log.durable_ticket()) {
            self.finish_wait(wait, out);
        }
    }
}
