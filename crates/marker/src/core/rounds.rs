//! Decides when to start a round, which markers form the core and the backups of the next epoch,
//! and how a marker hands over when it shuts down.

use super::{
    Core, Peer, DISKLESS_REPLACEMENT_DELAY, DISK_TIMEOUT, ELECTION_TIMEOUT, HANDOVER_TIMEOUT,
    HEARTBEAT_INTERVAL, LEAVING_ELECTION_DELAY, MAJORITY_TIMEOUT, MEMBER_REPLACEMENT_DELAY,
    REPLICATION_TIMEOUT, SLOW_BACKUP_PENALTY,
};
use crate::agreement::{is_majority, Agreement};
use crate::parts::{Millis, Output};
use granitelead_control_protocol::messages::{Epoch, MarkerStatus, Node, PeerMessage, ProposalNumber};
use std::collections::BTreeSet;

impl Core {
    pub(super) fn begin_round(&mut self, out: &mut Vec<Output>) {
        if self.agreement.is_replicating() {
            log::info!("starting a round while a change is being replicated");
        }
        // A primary that hears the whole core can choose any backups, not only those that answer
        // first.
        let core = self.core_members();
        self.core_all_alive =
            self.agreement.leadership().is_some() && core.iter().all(|node| self.is_alive(*node));
        let mut begun = None;
        self.step_agreement(out, |a, effects| begun = a.begin_round(effects));
        if begun.is_some() {
            self.rounds.0 += 1;
            self.round_progressed_at = self.now;
        }
    }

    /// The next epoch, or `None` if too few markers can act as backups.
    pub(super) fn next_epoch(
        &self,
        number: ProposalNumber,
        newest: &Epoch,
        willing: &BTreeSet<Node>,
    ) -> Option<Epoch> {
        let core = self.next_core(newest);
        let wanted = self.losses.min(core.len().saturating_sub(1));
        let reachable =
            |node: &Node| self.core_all_alive && newest.core.contains(node) && self.is_alive(*node);
        let can = |node: &&Node| **node != self.me() && (willing.contains(node) || reachable(node));
        let mut backups: Vec<Node> = core.iter().filter(can).copied().collect();
        let is_slow = |node: &Node| self.slow_until.get(&node.ip).is_some_and(|until| self.now < *until);
        // A marker that is shutting down becomes a backup only where too few others can; if it then
        // exits early, it reports the version that only it may store ([`Core::sole_copy_version`]).
        let stays = |node: &Node| !self.standing_of(*node).is_leaving;
        if backups.iter().filter(|node| stays(node)).count() >= wanted {
            backups.retain(stays);
        }
        // Among equally suitable markers, prefer zones without a copy, then markers that already
        // store the state.
        let rank = |node: &Node| {
            (!stays(node), is_slow(node), !self.is_alive(*node), self.standing_of(*node).is_volatile)
        };
        let mut zones = vec![self.standing.zone.clone()];
        for place in 0..wanted.min(backups.len()) {
            let zone = |node: &Node| self.standing_of(*node).zone;
            let again = |node: &Node| zones.iter().filter(|z| **z == zone(node)).count();
            backups[place..].sort_by_key(|node| (rank(node), again(node), !newest.holds(*node), *node));
            zones.push(zone(&backups[place]));
        }
        backups.truncate(wanted);
        let primary = Some(self.me());
        (backups.len() == wanted).then(|| Epoch {
            number,
            core,
            previous_core: newest.core.clone(),
            primary,
            backups,
        })
    }

    /// The size of the core at which a majority remains after `machine-losses` members are lost.
    pub(super) fn core_needed(&self) -> usize {
        (2 * self.losses + 1).max(3)
    }

    /// The next core: a marker from outside takes the place of a member that is lost or has no
    /// disk, or is added. A marker without a disk waits longer, and gives up its place to any
    /// marker with one.
    pub(super) fn next_core(&self, newest: &Epoch) -> Vec<Node> {
        let mut core = newest.core.clone();
        // One change at a time, and only once the previous one has settled.
        if newest.core != newest.previous_core {
            return core;
        }
        let outside =
            self.peers.values().filter(|peer| peer.is_alive(self.now) && !newest.core.contains(&peer.node));
        let mut outside: Vec<(Node, &MarkerStatus)> =
            outside.map(|peer| (peer.node, &peer.standing)).collect();
        let members = |zone: &str| core.iter().filter(|node| self.standing_of(**node).zone == zone).count();
        // Preference order: a marker that replaces its own earlier identity, then one with a disk,
        // then one from the zone with the fewest members.
        outside.sort_by_key(|(node, standing)| {
            let back = core.iter().any(|other| other.ip == node.ip);
            (standing.is_leaving, !back, standing.is_volatile, members(&standing.zone), *node)
        });
        let Some((node, standing)) = outside.first().filter(|(_, standing)| !standing.is_leaving) else {
            return core;
        };
        let patience =
            if standing.is_volatile { DISKLESS_REPLACEMENT_DELAY } else { MEMBER_REPLACEMENT_DELAY };
        let silent = |other: &Node| self.silent_ms(*other) > patience;
        let forgets = |other: &Node| *other != self.me() && self.standing_of(*other).is_volatile;
        let place = core.iter().position(|other| other.ip == node.ip);
        let place = place.or_else(|| core.iter().position(silent));
        let place = place.or_else(|| core.iter().position(forgets).filter(|_| !standing.is_volatile));
        let waited = !standing.is_volatile || self.now > self.started + DISKLESS_REPLACEMENT_DELAY;
        match place {
            Some(place) => core[place] = *node,
            None if core.len() < self.core_needed() && waited => core.push(*node),
            None => return core,
        }
        core.sort();
        core
    }

    /// How long a marker has been silent, ms.
    fn silent_ms(&self, node: Node) -> Millis {
        let last = self.peers.get(&node.ip).and_then(|peer| peer.last_heard).unwrap_or(self.started);
        if node == self.me() {
            0
        } else {
            self.now.saturating_sub(last)
        }
    }

    pub(super) fn watch_as_follower(&mut self, out: &mut Vec<Output>) {
        let Some(epoch) = self.agreement.epoch() else { return };
        if self.has_primary() {
            let (_, at) = self.primary.unwrap_or((self.me().ip, self.now));
            // Drawn again while there is a primary, so that the markers that miss it later do not
            // all start rounds at once.
            if self.now < at + HEARTBEAT_INTERVAL {
                self.election_timeout = self.rng.u64(ELECTION_TIMEOUT.0..ELECTION_TIMEOUT.1);
            }
            return;
        }
        let since = self.primary.map_or(self.started, |(_, at)| at);
        let me = self.me();
        // A marker that is shutting down takes over only where no other does.
        let patience =
            self.election_timeout + if self.standing.is_leaving { LEAVING_ELECTION_DELAY } else { 0 };
        if !epoch.holds(me)
            || self.is_outdated()
            || self.now < since + patience
            || self.now < self.next_round_at
        {
            return;
        }
        // A majority of the core must lack a primary: a marker that is isolated, or that alone does
        // not hear the primary, waits.
        let misses = |node: &Node| {
            let missing = |peer: &Peer| peer.node == *node && !peer.has_primary && peer.is_alive(self.now);
            *node == me || self.peers.get(&node.ip).is_some_and(missing)
        };
        if is_majority(&epoch.core, misses) {
            self.begin_round(out);
        }
    }

    pub(super) fn watch_as_primary(&mut self, out: &mut Vec<Output>) {
        let now = self.now;
        let Some((number, backups)) = self.agreement.leadership() else { return };
        let backups = backups.to_vec();
        if now > self.majority_heard_at + MAJORITY_TIMEOUT {
            log::info!("stepping down: no majority of the core is reachable");
            return self.step_agreement(out, Agreement::step_down);
        }
        let has_disk = |node: &&Node| self.is_alive(**node) && !self.standing_of(**node).is_volatile;
        if let Some(node) = backups.iter().find(has_disk).filter(|_| self.standing.is_volatile) {
            if !self.agreement.is_replicating() && now >= self.next_round_at {
                log::info!("handing over to a marker with a disk");
                self.next_round_at = now + SLOW_BACKUP_PENALTY;
                out.push(Output::Send(node.ip, PeerMessage::HandOver(number)));
                return self.step_agreement(out, Agreement::step_down);
            }
        }
        if self.last_ticket > self.written_ticket && now > self.writing_since + DISK_TIMEOUT {
            log::info!("handing over: the disk does not complete writes in time");
            self.next_round_at = now + SLOW_BACKUP_PENALTY;
            self.step_agreement(out, Agreement::step_down);
            for node in backups {
                out.push(Output::Send(node.ip, PeerMessage::HandOver(number)));
            }
            return;
        }
        let Some(epoch) = self.agreement.epoch() else { return };
        let late = if now > self.replicating_since + REPLICATION_TIMEOUT {
            self.agreement.unreplicated_backups()
        } else {
            Vec::new()
        };
        let silent = backups.iter().any(|node| !self.is_alive(*node));
        let leaving = backups.iter().any(|node| self.standing_of(*node).is_leaving);
        let leaving = leaving
            && self.staying_members().iter().filter(|node| **node != self.me()).count() >= backups.len();
        let unsettled = epoch.core != epoch.previous_core || self.next_core(epoch) != epoch.core;
        let regressed = backups.iter().any(|node| self.regressed.contains(node));
        let until = now + SLOW_BACKUP_PENALTY;
        let any_late = !late.is_empty();
        self.slow_until.extend(late.into_iter().map(|node| (node.ip, until)));
        let wanted = silent || any_late || unsettled || regressed || leaving;
        if wanted && now >= self.next_round_at && self.hears_majority() {
            self.begin_round(out);
        }
    }

    /// What is missing to tolerate the configured losses, as messages for operators; empty if
    /// nothing is.
    pub fn shortages(&self) -> Vec<String> {
        let Some(epoch) = self.agreement.epoch() else { return vec!["no core is known".into()] };
        let (losses, needed) = (self.losses, self.core_needed());
        let available = |node: &&Node| self.is_alive(**node) && !self.standing_of(**node).is_leaving;
        let reachable = epoch.core.iter().filter(available).count();
        let tolerated = reachable.saturating_sub(epoch.core.len() / 2 + 1);
        let holders = epoch.primary.iter().chain(&epoch.backups).filter(available).count();
        let outside =
            self.peers.values().filter(|peer| peer.is_alive(self.now) && !epoch.core.contains(&peer.node));
        let core = epoch.core.iter().filter(|node| !self.standing_of(**node).is_volatile);
        let disks = core.count() + outside.filter(|peer| !peer.standing.is_volatile).count();
        let diskless = epoch.core.iter().filter(|node| self.standing_of(**node).is_volatile).count();
        let mut short = Vec::new();
        if epoch.core != epoch.previous_core {
            short.push("a change of the core is in progress".into());
        }
        if epoch.core.len() < needed {
            short.push(format!("the core has {} members, {needed} are needed", epoch.core.len()));
        }
        if tolerated < losses {
            short.push(format!("the core tolerates {tolerated} more losses, {losses} are required"));
        }
        if holders < losses + 1 {
            short.push(format!("{holders} of {} copies are reachable", losses + 1));
        }
        if disks < needed {
            short.push(format!("{disks} markers with a disk are known, {needed} are needed"));
        }
        if diskless > 0 {
            short.push(format!("{diskless} core members have no disk"));
        }
        short
    }

    /// Logs changes of [`Core::shortages`].
    pub(super) fn log_shortages(&mut self) {
        let short = self.shortages();
        if short != self.logged_shortages {
            if short.is_empty() {
                log::info!("the configured number of losses is tolerated again");
            } else {
                log::warn!("redundancy is reduced: {}", short.join("; "));
            }
            self.logged_shortages = short;
        }
    }

    /// The live core members that are not shutting down, this marker included.
    fn staying_members(&self) -> Vec<Node> {
        let stays = |node: &Node| self.is_alive(*node) && !self.standing_of(*node).is_leaving;
        self.core_members().into_iter().filter(stays).collect()
    }

    /// Begins to shut down: informs the other markers, and hands over to one that can take over at
    /// once. The marker keeps working until [`Core::may_end`].
    pub fn on_leave(&mut self, now: Millis, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        if std::mem::replace(&mut self.standing.is_leaving, true) {
            return;
        }
        self.step_agreement(out, Agreement::abandon_round);
        self.duties.lay_down();
        (self.last_outside_heartbeat, self.handover_deadline) = (0, self.now + HANDOVER_TIMEOUT);
        self.send_heartbeats(out);
        self.hand_over(out);
    }

    /// Whether the process can exit without losing state: as far as is known here, all copies of an
    /// epoch accepted by a majority are on other markers, or all other members are shutting down
    /// too.
    pub fn may_end(&self) -> bool {
        let me = self.me();
        let Some(epoch) = self.agreement.epoch() else { return true };
        let leaves = |node: &Node| *node == me || self.standing_of(*node).is_leaving;
        let elsewhere = !epoch.holds(me) && self.highest_led_epoch >= epoch.number;
        elsewhere || epoch.core.iter().all(leaves)
    }

    /// The version that may be stored only here and on other markers that are shutting down, if the
    /// process exits before [`Core::may_end`] holds.
    pub fn sole_copy_version(&self) -> Option<u32> {
        self.agreement.document().filter(|_| !self.may_end()).map(|d| d.version)
    }

    /// While shutting down: hands over to a backup that stays, once the replication in progress has
    /// completed or timed out. Without such a backup this marker continues as primary.
    pub(super) fn hand_over(&mut self, out: &mut Vec<Output>) {
        if !self.standing.is_leaving || (self.agreement.is_replicating() && self.now < self.handover_deadline)
        {
            return;
        }
        let Some((number, backups)) = self.agreement.leadership() else { return };
        let stay = self.staying_members();
        let Some(node) = backups.iter().find(|node| stay.contains(node)).copied() else { return };
        self.step_agreement(out, Agreement::step_down);
        out.push(Output::Send(node.ip, PeerMessage::HandOver(number)));
    }
}
