//! Whom a marker hears, and who is said to be primary: what all trying goes by, and nothing else.

use super::{Core, Heard, BROKE, HEAR, HEARD, HEAR_OUTSIDE, KNOWN_MAX};
use crate::agreement::most;
use crate::parts::{Millis, Output};
use granitelead_control_protocol::messages::{Document, MarkerStatus, Node, PeerMessage, ProposalNumber};
use std::collections::BTreeSet;
use std::net::Ipv4Addr;

impl Core {
    /// All other markers that are known.
    pub fn known(&self) -> BTreeSet<Ipv4Addr> {
        let core = self.agreement.epoch().into_iter();
        let core = core.flat_map(|e| e.core.iter().chain(&e.previous_core)).map(|node| node.ip);
        let mut known: BTreeSet<Ipv4Addr> = core.chain(self.seeds.iter().copied()).collect();
        known.extend(self.heard.keys().copied());
        known.remove(&self.me().ip);
        known
    }

    /// All markers that are heard now.
    pub fn live(&self) -> Vec<Ipv4Addr> {
        let heard = self.heard.iter().filter(|(_, h)| h.lately(self.now));
        heard.map(|(ip, _)| *ip).collect()
    }

    /// Whether this marker hears most of the core, itself included.
    pub fn hears_most(&self) -> bool {
        self.agreement.epoch().is_some_and(|e| most(&e.core, |node| self.hears(*node)))
    }

    /// Says to all that this marker is there; to and from those outside the core less often.
    pub(super) fn say_hear(&mut self, out: &mut Vec<Output>) {
        let epoch = self.agreement.epoch().map(|e| e.number).unwrap_or_default();
        let (leads, led, others) = (self.agreement.leads().is_some(), self.has_primary(), self.live());
        let sure = self.agreement.sure().map(|d| d.version);
        let standing = MarkerStatus { group: self.group().into_iter().collect(), ..self.standing.clone() };
        let all = self.now >= self.said_outside + HEAR_OUTSIDE;
        if all {
            self.said_outside = self.now;
        }
        let core = self.agreement.epoch().map(|e| e.core.clone()).unwrap_or_default();
        let inside = |ip: Ipv4Addr| core.iter().any(|node| node.ip == ip);
        let mine = core.contains(&self.me());
        for ip in self.known().into_iter().filter(|ip| all || mine && inside(*ip)) {
            let (others, duties, standing) = (others.clone(), self.duties.mine(), standing.clone());
            out.push(Output::Send(
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

    /// What is known of a marker's standing; of one that was never heard nothing is held against it.
    pub(super) fn standing(&self, node: Node) -> MarkerStatus {
        if node == self.me() {
            return self.standing.clone();
        }
        let heard = self.heard.get(&node.ip).filter(|heard| heard.node == node);
        heard.map(|heard| heard.standing.clone()).unwrap_or_default()
    }

    /// The present, as this marker was told it last.
    pub fn now(&self) -> Millis {
        self.now
    }

    /// Whether most of the core is heard here and says that it hears this marker, itself included.
    pub fn in_contact(&self) -> bool {
        self.most_of_core(|ip| self.heard.get(&ip).is_some_and(|h| h.hears.contains(&self.me().ip)))
    }

    /// Whether most of the core is heard and meant by `has`, this marker included; never where no epoch is kept.
    pub fn most_of_core(&self, has: impl Fn(Ipv4Addr) -> bool) -> bool {
        let meant = |node: &Node| *node == self.me() || self.hears(*node) && has(node.ip);
        self.agreement.epoch().is_some_and(|e| most(&e.core, meant))
    }

    /// A number that no former life of this process has used, but for chance.
    pub fn draw(&mut self) -> u64 {
        self.rng.u64(1 << 32..1 << 48)
    }

    /// The seeds as a new settings file names them.
    pub fn reseed(&mut self, seeds: &[Ipv4Addr]) {
        self.seeds = seeds.to_vec();
    }

    pub(super) fn hears(&self, node: Node) -> bool {
        let heard = |h: &Heard| h.node == node && h.lately(self.now);
        node == self.me() || self.heard.get(&node.ip).is_some_and(heard)
    }

    /// Whether somebody knows to be safe what is newer than what is held here: the folder is old, and what it is said to
    /// hold is not there.
    pub(super) fn is_old(&self) -> bool {
        let held = self.agreement.document().map(|d| d.version);
        let heard = self.heard.values().filter(|h| h.lately(self.now)).map(|h| h.sure);
        heard.chain([self.agreement.sure().map(|d| d.version)]).any(|sure| sure > held)
    }

    pub(super) fn has_primary(&self) -> bool {
        let heard = self.primary.is_some_and(|(_, at)| self.now < at + HEARD);
        self.agreement.leads().is_some() || heard
    }

    #[allow(clippy::too_many_arguments)] // The fields of one word.
    pub(super) fn on_hear(
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
        if self.heard.len() < KNOWN_MAX || self.heard.contains_key(&from.ip) {
            let heard = self.heard.entry(from.ip).or_insert_with(|| Heard::named(from));
            let known = heard.node == from && heard.lately(now);
            // A folder that was set back to an older copy of itself does not have what it once had.
            if heard.node == from && heard.at.is_some() && sure < heard.sure {
                log::warn!(
                    "{} has {sure:?} and had {:?}: its folder is older than it was",
                    from.ip,
                    heard.sure
                );
                self.went_back.insert(from);
            }
            (heard.node, heard.at, heard.led, heard.sure) = (from, Some(now), led, sure);
            (heard.hears, heard.standing) = (others.to_vec(), standing);
            if !known {
                // It waits to be told that it is heard.
                (self.said, self.said_outside) = (0, 0);
            }
        }
        // Those that others hear are dialled too; they are heard once they answer.
        for ip in others.iter().filter(|ip| **ip != me.ip) {
            if self.heard.len() < KNOWN_MAX {
                let node = Node { ip: *ip, replica_id: 0 };
                self.heard.entry(*ip).or_insert_with(|| Heard::named(node));
            }
        }
        let mine = self.agreement.epoch().map(|e| e.number).unwrap_or_default();
        self.agreement.learn_round(epoch.round);
        if leads {
            self.led_epoch = self.led_epoch.max(epoch);
        }
        if leads && epoch >= mine && epoch >= self.agreement.promised() {
            self.primary = Some((from.ip, now));
        } else if self.primary.is_some_and(|(ip, _)| ip == from.ip) {
            self.primary = None;
        }
        let tells = self.agreement.leads().is_some();
        if let Some(epoch) = self.agreement.epoch().filter(|_| tells && epoch < mine) {
            out.push(Output::Send(from.ip, PeerMessage::LatestEpoch(epoch.clone())));
        }
        let behind =
            self.agreement.sure().filter(|mine| sure.is_none_or(|theirs| theirs < mine.version)).cloned();
        if let Some(document) = behind.filter(|_| tells || !led) {
            if let Some(heard) = self.heard.get_mut(&from.ip).filter(|h| now >= h.sure_sent + 2 * HEAR) {
                heard.sure_sent = now;
                out.push(Output::Send(from.ip, PeerMessage::Committed(Document::clone(&document))));
            }
        }
    }

    /// The line to another marker is up: it hears at once that this one is there, not when that is due.
    pub fn on_reached(&mut self) {
        (self.said, self.said_outside) = (0, 0);
    }

    /// The line to another marker broke: if that is the primary, it may have ended.
    pub fn on_broken(&mut self, now: Millis, ip: Ipv4Addr) {
        self.now = self.now.max(now);
        // A process that ends breaks its line at once; one that lives is heard again before it counts as silent.
        let until = self.now + BROKE.0 + HEAR / 2;
        if let Some(at) = self.heard.get_mut(&ip).and_then(|heard| heard.at.as_mut()) {
            *at = (*at).min(until.saturating_sub(HEARD));
        }
        let Some((_, at)) = self.primary.filter(|(primary, at)| *primary == ip && self.now < *at + HEARD)
        else {
            return;
        };
        // Calls wait for the next one rather than being sent to where nobody is, and the others are told at once.
        self.primary = Some((ip, at.min(self.now.saturating_sub(HEARD))));
        self.suspect_after = HEARD + self.rng.u64(BROKE.0..BROKE.1);
        (self.said, self.said_outside) = (0, 0);
    }
}
