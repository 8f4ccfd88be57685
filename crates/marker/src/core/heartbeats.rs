//! Heartbeats: which markers are alive, and which one reports itself as primary. This is the only
//! input to the decisions about when to start a round.

use super::{
    Core, Peer, DISCONNECT_ELECTION_TIMEOUT, HEARTBEAT_INTERVAL, HEARTBEAT_TIMEOUT, KNOWN_MAX,
    OUTSIDE_HEARTBEAT_INTERVAL,
};
use crate::agreement::is_majority;
use crate::types::{Millis, Output};
use granitelead_control_protocol::messages::{Document, MarkerStatus, Node, PeerMessage, ProposalNumber};
use std::collections::BTreeSet;
use std::net::Ipv4Addr;

impl Core {
    /// The addresses of all other known markers.
    pub fn known_markers(&self) -> BTreeSet<Ipv4Addr> {
        let core = self.agreement.epoch().into_iter();
        let core = core.flat_map(|e| e.core.iter().chain(&e.previous_core)).map(|node| node.ip);
        let mut known: BTreeSet<Ipv4Addr> = core.chain(self.seeds.iter().copied()).collect();
        known.extend(self.peers.keys().copied());
        known.remove(&self.me().ip);
        known
    }

    /// The markers that are alive according to their heartbeats.
    pub fn live_markers(&self) -> Vec<Ipv4Addr> {
        let alive = self.peers.iter().filter(|(_, peer)| peer.is_alive(self.now));
        alive.map(|(ip, _)| *ip).collect()
    }

    /// Whether this marker hears a majority of the core, itself included.
    pub fn hears_majority(&self) -> bool {
        self.agreement.epoch().is_some_and(|e| is_majority(&e.core, |node| self.is_alive(*node)))
    }

    /// Sends heartbeats to all markers; to and from markers outside the core at a longer interval.
    pub(super) fn send_heartbeats(&mut self, out: &mut Vec<Output>) {
        let epoch = self.agreement.epoch().map(|e| e.number).unwrap_or_default();
        let (leads, led, others) =
            (self.agreement.leadership().is_some(), self.has_primary(), self.live_markers());
        let sure = self.agreement.committed().map(|d| d.version);
        let standing = MarkerStatus { group: self.group().into_iter().collect(), ..self.standing.clone() };
        let all = self.now >= self.last_outside_heartbeat + OUTSIDE_HEARTBEAT_INTERVAL;
        if all {
            self.last_outside_heartbeat = self.now;
        }
        let core = self.agreement.epoch().map(|e| e.core.clone()).unwrap_or_default();
        let in_core = |ip: Ipv4Addr| core.iter().any(|node| node.ip == ip);
        let is_member = core.contains(&self.me());
        for ip in self.known_markers().into_iter().filter(|ip| all || is_member && in_core(*ip)) {
            let (others, duties, standing) = (others.clone(), self.duties.held_here(), standing.clone());
            out.push(Output::SendToMarker(
                ip,
                PeerMessage::Heartbeat {
                    epoch,
                    is_primary: leads,
                    has_primary: led,
                    committed: sure,
                    reachable: others,
                    duties,
                    status: standing,
                },
            ));
        }
    }

    /// The reported attributes of a marker; the defaults for one that has sent none.
    pub(super) fn standing_of(&self, node: Node) -> MarkerStatus {
        if node == self.me() {
            return self.standing.clone();
        }
        let peer = self.peers.get(&node.ip).filter(|peer| peer.node == node);
        peer.map(|peer| peer.standing.clone()).unwrap_or_default()
    }

    /// The current time, as of the last event.
    pub fn now(&self) -> Millis {
        self.now
    }

    /// Whether a majority of the core, this marker included, is alive and reports hearing this
    /// marker.
    pub fn has_quorum(&self) -> bool {
        self.majority_of_core(|ip| self.peers.get(&ip).is_some_and(|peer| peer.hears.contains(&self.me().ip)))
    }

    /// Whether a majority of the core, this marker included, is alive and satisfies `has`. False
    /// where no epoch has been accepted.
    pub fn majority_of_core(&self, has: impl Fn(Ipv4Addr) -> bool) -> bool {
        let counts = |node: &Node| *node == self.me() || self.is_alive(*node) && has(node.ip);
        self.agreement.epoch().is_some_and(|e| is_majority(&e.core, counts))
    }

    /// Whether a majority of the core stores something: this marker if `stored_here`, and the live markers
    /// that satisfy `has`. While the core changes, a majority of the earlier core is needed too, because a
    /// restart may begin with either.
    pub fn is_stored_by_majority(&self, stored_here: bool, has: impl Fn(Ipv4Addr) -> bool) -> bool {
        let stores = |node: &Node| match *node == self.me() {
            true => stored_here,
            false => self.is_alive(*node) && has(node.ip),
        };
        let epoch = self.agreement.epoch();
        epoch.is_some_and(|e| is_majority(&e.core, stores) && is_majority(&e.previous_core, stores))
    }

    /// A random number that differs from those of earlier processes with high probability.
    pub fn draw_nonce(&mut self) -> u64 {
        self.rng.u64(1 << 32..1 << 48)
    }

    /// Replaces the seeds after the settings were reloaded.
    pub fn set_seeds(&mut self, seeds: &[Ipv4Addr]) {
        self.seeds = seeds.to_vec();
    }

    pub(super) fn is_alive(&self, node: Node) -> bool {
        let alive = |peer: &Peer| peer.node == node && peer.is_alive(self.now);
        node == self.me() || self.peers.get(&node.ip).is_some_and(alive)
    }

    /// Whether another marker reports a committed version newer than the one stored here: the data
    /// directory is outdated and lacks state that this marker is recorded to store.
    pub(super) fn is_outdated(&self) -> bool {
        let stored = self.agreement.document().map(|d| d.version);
        let reported = self.peers.values().filter(|peer| peer.is_alive(self.now)).map(|peer| peer.committed);
        reported.chain([self.agreement.committed().map(|d| d.version)]).any(|committed| committed > stored)
    }

    pub(super) fn has_primary(&self) -> bool {
        let alive = self.primary.is_some_and(|(_, at)| self.now < at + HEARTBEAT_TIMEOUT);
        self.agreement.leadership().is_some() || alive
    }

    #[allow(clippy::too_many_arguments)] // The fields of one message.
    pub(super) fn on_heartbeat(
        &mut self,
        from: Node,
        epoch: ProposalNumber,
        leads: bool,
        led: bool,
        sure: Option<u32>,
        others: &[Ipv4Addr],
        standing: MarkerStatus,
        out: &mut Vec<Output>,
    ) {
        let (now, me) = (self.now, self.me());
        if from.ip == me.ip {
            return;
        }
        if self.peers.len() < KNOWN_MAX || self.peers.contains_key(&from.ip) {
            let peer = self.peers.entry(from.ip).or_insert_with(|| Peer::unheard(from));
            let was_alive = peer.node == from && peer.is_alive(now);
            // A data directory that was restored from an older backup lacks state that it once
            // stored.
            if peer.node == from && peer.last_heard.is_some() && sure < peer.committed {
                log::warn!(
                    "{} reports committed version {sure:?} after {:?}: its data directory was set back",
                    from.ip,
                    peer.committed
                );
                self.regressed.insert(from);
            }
            (peer.node, peer.last_heard, peer.has_primary, peer.committed) = (from, Some(now), led, sure);
            (peer.hears, peer.standing) = (others.to_vec(), standing);
            if !was_alive {
                // The new peer waits for a heartbeat to learn that it is heard; send one at once.
                (self.last_heartbeat, self.last_outside_heartbeat) = (0, 0);
            }
        }
        // Markers that others report are contacted too; they count as alive once they answer.
        for ip in others.iter().filter(|ip| **ip != me.ip) {
            if self.peers.len() < KNOWN_MAX {
                let node = Node { ip: *ip, replica_id: 0 };
                self.peers.entry(*ip).or_insert_with(|| Peer::unheard(node));
            }
        }
        let mine = self.agreement.epoch().map(|e| e.number).unwrap_or_default();
        self.agreement.observe_round(epoch.round);
        if leads {
            self.highest_led_epoch = self.highest_led_epoch.max(epoch);
        }
        if leads && epoch >= mine && epoch >= self.agreement.promised() {
            self.primary = Some((from.ip, now));
        } else if self.primary.is_some_and(|(ip, _)| ip == from.ip) {
            self.primary = None;
        }
        let is_primary = self.agreement.leadership().is_some();
        if let Some(epoch) = self.agreement.epoch().filter(|_| is_primary && epoch < mine) {
            out.push(Output::SendToMarker(from.ip, PeerMessage::LatestEpoch(epoch.clone())));
        }
        let behind = self
            .agreement
            .committed()
            .filter(|mine| sure.is_none_or(|theirs| theirs < mine.version))
            .cloned();
        if let Some(document) = behind.filter(|_| is_primary || !led) {
            if let Some(peer) = self
                .peers
                .get_mut(&from.ip)
                .filter(|peer| now >= peer.committed_sent_at + 2 * HEARTBEAT_INTERVAL)
            {
                peer.committed_sent_at = now;
                out.push(Output::SendToMarker(from.ip, PeerMessage::Committed(Document::clone(&document))));
            }
        }
    }

    /// Handles a new connection to another marker: sends it a heartbeat at once instead of at the
    /// next interval.
    pub fn on_connected(&mut self) {
        (self.last_heartbeat, self.last_outside_heartbeat) = (0, 0);
    }

    /// Handles a broken connection to another marker, whose process may have exited.
    pub fn on_disconnected(&mut self, now: Millis, ip: Ipv4Addr) {
        self.now = self.now.max(now);
        // A process that exits closes its connections at once; a live one sends its next heartbeat
        // before this time.
        let until = self.now + DISCONNECT_ELECTION_TIMEOUT.0 + HEARTBEAT_INTERVAL / 2;
        if let Some(at) = self.peers.get_mut(&ip).and_then(|peer| peer.last_heard.as_mut()) {
            *at = (*at).min(until.saturating_sub(HEARTBEAT_TIMEOUT));
        }
        let Some((_, at)) =
            self.primary.filter(|(primary, at)| *primary == ip && self.now < *at + HEARTBEAT_TIMEOUT)
        else {
            return;
        };
        // Calls wait for the next primary instead of being redirected to a dead one, and the other
        // markers are informed at once.
        self.primary = Some((ip, at.min(self.now.saturating_sub(HEARTBEAT_TIMEOUT))));
        self.election_timeout =
            HEARTBEAT_TIMEOUT + self.rng.u64(DISCONNECT_ELECTION_TIMEOUT.0..DISCONNECT_ELECTION_TIMEOUT.1);
        (self.last_heartbeat, self.last_outside_heartbeat) = (0, 0);
    }
}
