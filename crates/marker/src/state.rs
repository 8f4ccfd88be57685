//! A marker as a state machine without I/O: calls, messages and ticks are its input; messages to send, writes
//! and responses are its output.

use crate::core::{Core, CoreStatus};
use crate::members::Members;
use crate::registry::{self, Merged, Registry};
use crate::repair::Repair;
use crate::server_log::ServerLog;
use crate::sessions::{FinishedWait, Sessions, Waiter};
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
/// How often they do so where nothing has changed.
const SESSIONS_REFRESH_INTERVAL: Millis = 1_000;
/// How often markers send each other the usage of their gatekeepers. It is longer than the interval of totals
/// to limit the traffic between zones.
const USAGE_INTERVAL: Millis = 125;
/// This long after its start a marker has received the sessions of all others. Only then, or if it has read
/// the gatekeepers from its disk, does it send how many there are.
const MEMBERS_KNOWN_AFTER: Millis = 1_200;
/// How often markers that have not answered a catch-up request are sent it again.
const CATCH_UP_RETRY_INTERVAL: Millis = 300;
/// How often the reaper asks again for confirmation that servers have timed out.
const REAP_RETRY_INTERVAL: Millis = 600;

/// What is known of another marker.
#[derive(Default)]
struct Peer {
    /// Whether it was sent all servers since the connection was opened.
    greeted: bool,
    last_message_at: Millis,
    zone: String,
}

/// A request for the changes missed without a quorum, under a number, and the committed versions of the
/// markers that have answered.
struct CatchUpRequest {
    number: u64,
    at: Millis,
    answers: BTreeMap<Ipv4Addr, Option<u32>>,
}

/// Servers to be removed once a majority of the core has accepted the reaper's proposal number and confirms
/// that their heartbeats have stopped there too.
struct ReapRequest {
    ticket: u64,
    at: Millis,
    silent: Vec<Instance>,
    confirmed_by: BTreeSet<Ipv4Addr>,
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

    /// Sends changes of servers to all gatekeepers and markers. A server that leaves is answered once all
    /// have acknowledged it and a majority of the core has it on disk, so that no restart forgets it. Its
    /// leaving is forwarded again with each of its calls, as earlier acknowledgements are not stored. Without a quorum the change is applied and forwarded but not
    /// acknowledged: the server then calls another marker, which may reach the others.
    fn broadcast_change(
        &mut self,
        now: Millis,
        id: u64,
        leaves: Option<Instance>,
        changed: Vec<Instance>,
        reply: Reply,
        out: &mut Vec<Output>,
    ) {
        if !changed.is_empty() {
            self.send_servers(changed.clone(), out);
        }
        let ticket = if !self.in_quorum {
            out.push(Output::Answer(id, Reply::failure(ErrorKind::Uncertain, "this marker has no quorum")));
            0
        } else if leaves.is_some() {
            let (live, write) = (self.core.live_markers(), self.server_log.write(now, out));
            self.sessions.start_wait(now, Waiter::Call(id), &live, write)
        } else {
            out.push(Output::Answer(id, reply));
            0
        };
        let changes = match leaves {
            Some(leaves) if !changed.contains(&leaves) => changed.into_iter().chain([leaves]).collect(),
            _ => changed,
        };
        self.forward_to_markers(now, changes, ticket, None, out);
    }

    /// Forwards changes of servers to the other markers. Servers that are gone are recorded for markers that
    /// can't be reached now.
    fn forward_to_markers(
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
        let ticket = if ticket == 0 && !ended.is_empty() { self.sessions.next_ticket() } else { ticket };
        for ip in self.core.known_markers().into_iter().filter(|ip| Some(*ip) != except) {
            self.repair.record_ends(now, ip, &ended, ticket);
            out.push(Output::SendToMarker(ip, PeerMessage::Servers(ticket, changed.clone())));
        }
    }

    /// Sends a marker the next batch of the changes that it missed.
    fn send_missed_batch(&mut self, ip: Ipv4Addr, out: &mut Vec<Output>) {
        let ticket = self.sessions.next_ticket();
        let part = self.repair.next_batch(ip, ticket);
        if !part.is_empty() {
            out.push(Output::SendToMarker(ip, PeerMessage::Servers(ticket, part)));
        }
    }

    /// Merges servers sent by another process and sends the changes to gatekeepers. Returns the changes, and
    /// the servers that are gone without the sender knowing it.
    fn merge_servers(
        &mut self,
        now: Millis,
        servers: Vec<Instance>,
        out: &mut Vec<Output>,
    ) -> (Vec<Instance>, Vec<Instance>) {
        let (mut changed, mut ended) = (Vec::new(), Vec::new());
        for server in servers {
            match self.registry.merge(now, server) {
                Merged::Changed(updates) => changed.extend(updates),
                Merged::Ended(end) => ended.push(end),
            }
        }
        if !changed.is_empty() {
            self.send_servers(changed.clone(), out);
        }
        (changed, ended)
    }

    /// Merges servers sent by another marker, and acknowledges once all gatekeepers with a session here have
    /// confirmed and the changes are on disk.
    fn on_peer_servers(
        &mut self,
        now: Millis,
        from: Ipv4Addr,
        ticket: u64,
        servers: Vec<Instance>,
        out: &mut Vec<Output>,
    ) {
        let (mut changed, ended) = self.merge_servers(now, servers, out);
        // Servers that leave are forwarded once more: the sender may not reach all markers that are reachable
        // from here.
        changed.retain(|server| server.state != InstanceState::Ready);
        self.forward_to_markers(now, changed, 0, Some(from), out);
        if !ended.is_empty() {
            let ticket = self.sessions.next_ticket();
            self.repair.record_ends(now, from, &ended, ticket);
            out.push(Output::SendToMarker(from, PeerMessage::Servers(ticket, ended)));
        }
        if ticket > 0 {
            let write = self.server_log.write(now, out);
            self.sessions.start_wait(now, Waiter::Marker(from, ticket), &[], write);
        }
    }

    fn send_servers(&mut self, changed: Vec<Instance>, out: &mut Vec<Output>) {
        self.server_log.record(&changed);
        self.sessions.send_all(&Update::Servers(changed), out);
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

    /// Handles the shutdown of a gatekeeper, whose share of each quota passes to the others.
    fn on_gatekeeper_leaving(&mut self, now: Millis, session: SessionId, out: &mut Vec<Output>) {
        let Some(name) = self.sessions.name(session) else { return };
        self.tally.detach(session);
        self.members.on_end(now, &name, 0);
        for ip in self.core.known_markers() {
            out.push(Output::SendToMarker(ip, PeerMessage::GatekeeperLeft(name.clone())));
        }
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
            let due = now >= self.usage_at + USAGE_INTERVAL;
            let batch = if due { self.tally.take_batch() } else { Vec::new() };
            if !batch.is_empty() {
                self.usage_at = now;
                out.extend(
                    peers.iter().map(|ip| Output::SendToMarker(*ip, PeerMessage::Usage(batch.clone()))),
                );
            }
            for (id, recent) in self.tally.take_recent_use(now) {
                out.push(Output::SendToGatekeeper(id, ToGatekeeper::Recent(recent)));
            }
            let updates = self.tally.take_updates(now).into_iter();
            out.extend(updates.map(|(id, number, totals)| {
                Output::SendToGatekeeper(id, ToGatekeeper::Totals(number, totals))
            }));
        }
        if now >= self.alive_at + ALIVE_INTERVAL {
            self.alive_at = now;
            let alive = self.registry.take_local_heartbeats();
            if !alive.is_empty() {
                out.extend(
                    peers.iter().map(|ip| Output::SendToMarker(*ip, PeerMessage::Alive(alive.clone()))),
                );
            }
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

    /// Sends the other markers the gatekeepers attached here, and gatekeepers their number where it has
    /// changed.
    fn update_members(&mut self, now: Millis, peers: &[Ipv4Addr], out: &mut Vec<Output>) {
        let here = self.sessions.names(now, &self.tally.incarnations());
        self.members.on_report(now, self.core.me().ip, here.clone(), true);
        if here != self.sent_attached || now >= self.sessions_refreshed_at + SESSIONS_REFRESH_INTERVAL {
            (self.sent_attached, self.sessions_refreshed_at) = (here.clone(), now);
            let (missed, ended) = (self.members.missing(now), self.members.ended(now));
            let message = PeerMessage::Sessions { zone: self.zone.clone(), names: here, missed, ended };
            out.extend(peers.iter().map(|ip| Output::SendToMarker(*ip, message.clone())));
        }
        self.counts_with = self.core.quota_group();
        let all_together = self.core.quota_group_is_complete(&self.counts_with);
        let (counted, peers_by_ip) = (&self.counts_with, &self.peers);
        let counts = self.members.update(now, all_together, |ip| {
            peers_by_ip.get(&ip).filter(|_| counted.contains(&ip)).map(|peer| peer.last_message_at)
        });
        let has_received_all = now >= self.started_at + MEMBERS_KNOWN_AFTER;
        self.knows_members |= has_received_all && self.members.any_counted();
        if self.knows_members {
            let (all, missed) = self.sent_member_counts;
            self.tally.set_quota_fraction(now, f64::from(all - missed.min(all)) / f64::from(all.max(1)));
        }
        if counts != self.sent_member_counts && self.knows_members {
            self.sent_member_counts = counts;
            self.sessions.send_all(&Update::Gatekeepers(counts.0, counts.1), out);
        }
        if let Some((ticket, names)) = has_received_all.then(|| self.members.write()).flatten() {
            out.push(Output::StoreGatekeepers(ticket, names));
        }
    }

    /// Starts removing servers whose heartbeats have stopped, if this marker holds the duty of the reaper.
    fn reap(&mut self, now: Millis, out: &mut Vec<Output>) {
        let Some(number) = self.core.holds(Duty::Reaper).filter(|_| self.in_quorum) else {
            self.reap = None;
            return;
        };
        let waits = self.reap.as_ref().is_some_and(|reap| now < reap.at + REAP_RETRY_INTERVAL);
        let silent = if waits { Vec::new() } else { self.registry.timed_out(now) };
        if silent.is_empty() {
            return;
        }
        let ticket = self.sessions.next_ticket();
        for ip in self.core.known_markers() {
            out.push(Output::SendToMarker(ip, PeerMessage::ConfirmExpired(number, ticket, silent.clone())));
        }
        self.reap = Some(ReapRequest { ticket, at: now, silent, confirmed_by: BTreeSet::new() });
        self.on_reaped(now, self.core.me().ip, ticket, out);
    }

    /// Handles the confirmation of a marker that the servers have timed out there too. They are removed once
    /// a majority of the core has confirmed, so that a marker that was cut off, or misses the messages of one
    /// other, removes no server whose heartbeats the majority receives.
    fn on_reaped(&mut self, now: Millis, from: Ipv4Addr, ticket: u64, out: &mut Vec<Output>) {
        let Some(reap) = self.reap.as_mut().filter(|reap| reap.ticket == ticket) else { return };
        reap.confirmed_by.insert(from);
        if !self.core.majority_of_core(|ip| reap.confirmed_by.contains(&ip)) {
            return;
        }
        let Some(ReapRequest { silent, .. }) = self.reap.take() else { return };
        let ended = self.registry.end_timed_out(now, silent);
        if !ended.is_empty() {
            self.send_servers(ended.clone(), out);
            self.forward_to_markers(now, ended, 0, None, out);
        }
    }

    /// Reports the loss of the quorum when no majority is reachable in both directions. Reports the quorum
    /// again once a majority has answered a catch-up request made since then and the newest version named in
    /// the answers is committed here. Answers are matched by the number of the request, not by time.
    fn update_quorum_state(&mut self, now: Millis, out: &mut Vec<Output>) {
        if !self.core.has_quorum() {
            self.catch_up = None;
            if std::mem::take(&mut self.in_quorum) {
                self.announce_quorum_state(now, out);
            }
            return;
        }
        if self.in_quorum {
            return;
        }
        if self.catch_up.is_none() {
            self.last_catch_up_number += 1;
            self.catch_up =
                Some(CatchUpRequest { number: self.last_catch_up_number, at: 0, answers: BTreeMap::new() });
        }
        let (live, committed) = (self.core.live_markers(), self.core.committed().map(|d| d.version));
        let Some(catch_up) = self.catch_up.as_mut() else { return };
        if now >= catch_up.at + CATCH_UP_RETRY_INTERVAL || catch_up.at == 0 {
            catch_up.at = now;
            for ip in live.into_iter().filter(|ip| !catch_up.answers.contains_key(ip)) {
                out.push(Output::SendToMarker(ip, PeerMessage::CatchUp(catch_up.number)));
            }
        }
        let answered = self.core.majority_of_core(|ip| catch_up.answers.contains_key(&ip));
        if answered && catch_up.answers.values().all(|theirs| *theirs <= committed) {
            (self.in_quorum, self.catch_up) = (true, None);
            self.announce_quorum_state(now, out);
        }
    }

    /// Logs a change of the quorum state and sends it to all gatekeepers.
    fn announce_quorum_state(&mut self, now: Millis, out: &mut Vec<Output>) {
        let since = now - self.quorum_changed_at;
        log::info!("quorum {} after {since} ms", if self.in_quorum { "regained" } else { "lost" });
        self.quorum_changed_at = now;
        self.sessions.send_all(&Update::Contact(self.in_quorum), out);
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

    /// Answers the server or the marker that waits until a change is known and stored.
    fn finish_wait(&self, wait: FinishedWait, out: &mut Vec<Output>) {
        let FinishedWait { waiter, confirmed_by, is_durable } = wait;
        let id = match waiter {
            Waiter::Marker(ip, ticket) => {
                return out.push(Output::SendToMarker(ip, PeerMessage::Delivered(ticket)));
            }
            Waiter::Call(id) => id,
        };
        // A gatekeeper in sync has a session with a marker of any majority, or receives all servers when it
        // opens one. A quorum after a restart includes a marker of any majority.
        let is_stored = self.core.is_stored_by_majority(is_durable, |ip| confirmed_by.contains(&ip));
        let reply = if self.in_quorum && is_stored {
            Reply::done()
        } else {
            Reply::failure(
                ErrorKind::Uncertain,
                "a majority of markers has not confirmed that all gatekeepers have the change and that it is on disk",
            )
        };
        out.push(Output::Answer(id, reply));
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
        let (kept, handed, dropped) = self.repair.counters();
        let (have, of) = view.committed.map_or((0, 0), |version| self.sessions.count_in_force(version));
        serde_json::json!({
            "marker": self.me().ip.to_string(),
            "leads": view.is_primary,
            "contact": self.in_quorum,
            "contact-for-ms": now - self.quorum_changed_at,
            "epoch": epoch,
            "version": view.committed.map(|v| format!("{v:08x}")),
            "numbers-held": view.versions.0,
            "numbers-forgotten": view.versions.1.map(|v| format!("{v:08x}")),
            "orders-refused": view.refused,
            "sessions": of,
            "sessions-with-version": have,
            "gatekeepers": self.members.names(),
            "markers": self.markers().iter().map(ToString::to_string).collect::<Vec<_>>(),
            "servers": self.registry.live().len(),
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
