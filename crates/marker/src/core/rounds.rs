//! When a round is begun, who belongs to the core and holds what in the epoch to be, and how a marker leaves.

use super::{Core, Heard, ALONE, DISK, FINISH, HEAR, LEFT, LOST, SLOW, SLOW_FOR, STANDS_IN, SUSPECT};
use crate::agreement::{most, Agreement};
use crate::parts::{Millis, Output};
use granitelead_control_protocol::messages::{Epoch, MarkerStatus, Node, PeerMessage, ProposalNumber};
use std::collections::BTreeSet;

impl Core {
    pub(super) fn begin_round(&mut self, out: &mut Vec<Output>) {
        if self.agreement.is_holding() {
            log::info!("a round while a configuration is on its way");
        }
        // A primary that misses nobody need not take whoever answers first.
        let core = self.voters();
        self.calm = self.agreement.leads().is_some() && core.iter().all(|node| self.hears(*node));
        let mut begun = None;
        self.agree(out, |a, acts| begun = a.begin(acts));
        if begun.is_some() {
            self.rounds.0 += 1;
            self.round_begun = self.now;
        }
    }

    /// The epoch to follow, unless too few are there to hold what it needs.
    pub(super) fn next_epoch(
        &self,
        number: ProposalNumber,
        newest: &Epoch,
        willing: &BTreeSet<Node>,
    ) -> Option<Epoch> {
        let core = self.next_core(newest);
        let wanted = self.losses.min(core.len().saturating_sub(1));
        let calm = |node: &Node| self.calm && newest.core.contains(node) && self.hears(*node);
        let can = |node: &&Node| **node != self.me() && (willing.contains(node) || calm(node));
        let mut backups: Vec<Node> = core.iter().filter(can).copied().collect();
        let is_slow = |node: &Node| self.slow.get(&node.ip).is_some_and(|until| self.now < *until);
        // One that leaves holds only where too few others can, and says then what it held.
        let stays = |node: &Node| !self.standing(*node).is_leaving;
        if backups.iter().filter(|node| stays(node)).count() >= wanted {
            backups.retain(stays);
        }
        // Of those that are as good, zones without a holder come first, then who holds already.
        let rank =
            |node: &Node| (!stays(node), is_slow(node), !self.hears(*node), self.standing(*node).is_volatile);
        let mut zones = vec![self.standing.zone.clone()];
        for place in 0..wanted.min(backups.len()) {
            let zone = |node: &Node| self.standing(*node).zone;
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

    /// How large a core must be to decide while as many as `machine-losses` of it are lost.
    pub(super) fn core_needed(&self) -> usize {
        (2 * self.losses + 1).max(3)
    }

    /// The core to be: with one that waits outside in the place of one that is lost or forgets, or as one more. One that
    /// forgets waits longer, and gives its place to any that does not.
    pub(super) fn next_core(&self, newest: &Epoch) -> Vec<Node> {
        let mut core = newest.core.clone();
        // One change at a time, and only from a core that has settled.
        if newest.core != newest.previous_core {
            return core;
        }
        let outside = self.heard.values().filter(|h| h.lately(self.now) && !newest.core.contains(&h.node));
        let mut outside: Vec<(Node, &MarkerStatus)> = outside.map(|h| (h.node, &h.standing)).collect();
        let members = |zone: &str| core.iter().filter(|node| self.standing(**node).zone == zone).count();
        // Whoever comes in the place of its own former self comes first, then whoever keeps what it holds, then the
        // zone with the fewest.
        outside.sort_by_key(|(node, standing)| {
            let back = core.iter().any(|other| other.ip == node.ip);
            (standing.is_leaving, !back, standing.is_volatile, members(&standing.zone), *node)
        });
        let Some((node, standing)) = outside.first().filter(|(_, standing)| !standing.is_leaving) else {
            return core;
        };
        let patience = if standing.is_volatile { STANDS_IN } else { LOST };
        let silent = |other: &Node| self.silent_for(*other) > patience;
        let forgets = |other: &Node| *other != self.me() && self.standing(*other).is_volatile;
        let place = core.iter().position(|other| other.ip == node.ip);
        let place = place.or_else(|| core.iter().position(silent));
        let place = place.or_else(|| core.iter().position(forgets).filter(|_| !standing.is_volatile));
        let waited = !standing.is_volatile || self.now > self.started + STANDS_IN;
        match place {
            Some(place) => core[place] = *node,
            None if core.len() < self.core_needed() && waited => core.push(*node),
            None => return core,
        }
        core.sort();
        core
    }

    /// For how long a marker has said nothing, ms.
    fn silent_for(&self, node: Node) -> Millis {
        let last = self.heard.get(&node.ip).and_then(|heard| heard.at).unwrap_or(self.started);
        if node == self.me() {
            0
        } else {
            self.now.saturating_sub(last)
        }
    }

    pub(super) fn watch_as_other(&mut self, out: &mut Vec<Output>) {
        let Some(epoch) = self.agreement.epoch() else { return };
        if self.has_primary() {
            let (_, at) = self.primary.unwrap_or((self.me().ip, self.now));
            // Drawn anew once there is one, so that those who miss it do not all begin at once.
            if self.now < at + HEAR {
                self.suspect_after = self.rng.u64(SUSPECT.0..SUSPECT.1);
            }
            return;
        }
        let since = self.primary.map_or(self.started, |(_, at)| at);
        let me = self.me();
        // One that leaves takes over only where nobody else does.
        let patience = self.suspect_after + if self.standing.is_leaving { LEFT } else { 0 };
        if !epoch.holds(me) || self.is_old() || self.now < since + patience || self.now < self.next_round {
            return;
        }
        // Most of the core must miss a primary: one that hears nobody, or is alone in not hearing it, waits.
        let misses = |node: &Node| {
            let missing = |h: &Heard| h.node == *node && !h.led && h.lately(self.now);
            *node == me || self.heard.get(&node.ip).is_some_and(missing)
        };
        if most(&epoch.core, misses) {
            self.begin_round(out);
        }
    }

    pub(super) fn watch_as_primary(&mut self, out: &mut Vec<Output>) {
        let now = self.now;
        let Some((number, backups)) = self.agreement.leads() else { return };
        let backups = backups.to_vec();
        if now > self.majority_heard + ALONE {
            log::info!("most of the core is not heard");
            return self.agree(out, Agreement::depose);
        }
        let keeps = |node: &&Node| self.hears(**node) && !self.standing(**node).is_volatile;
        if let Some(node) = backups.iter().find(keeps).filter(|_| self.standing.is_volatile) {
            if !self.agreement.is_holding() && now >= self.next_round {
                log::info!("another with a disk takes over");
                self.next_round = now + SLOW_FOR;
                out.push(Output::Send(node.ip, PeerMessage::HandOver(number)));
                return self.agree(out, Agreement::depose);
            }
        }
        if self.ticket > self.written && now > self.writing_since + DISK {
            log::info!("the disk does not answer");
            self.next_round = now + SLOW_FOR;
            self.agree(out, Agreement::depose);
            for node in backups {
                out.push(Output::Send(node.ip, PeerMessage::HandOver(number)));
            }
            return;
        }
        let Some(epoch) = self.agreement.epoch() else { return };
        let late = if now > self.holding_since + SLOW { self.agreement.late() } else { Vec::new() };
        let silent = backups.iter().any(|node| !self.hears(*node));
        let leaving = backups.iter().any(|node| self.standing(*node).is_leaving);
        let leaving =
            leaving && self.stay().iter().filter(|node| **node != self.me()).count() >= backups.len();
        let unsettled = epoch.core != epoch.previous_core || self.next_core(epoch) != epoch.core;
        let went_back = backups.iter().any(|node| self.went_back.contains(node));
        let until = now + SLOW_FOR;
        let any_late = !late.is_empty();
        self.slow.extend(late.into_iter().map(|node| (node.ip, until)));
        let wanted = silent || any_late || unsettled || went_back || leaving;
        if wanted && now >= self.next_round && self.hears_most() {
            self.begin_round(out);
        }
    }

    /// What is missing for as many losses as are to be borne, as far as is known here, in words; nothing where all is well.
    pub fn shortages(&self) -> Vec<String> {
        let Some(epoch) = self.agreement.epoch() else { return vec!["no core is known".into()] };
        let (losses, needed) = (self.losses, self.core_needed());
        let there = |node: &&Node| self.hears(**node) && !self.standing(**node).is_leaving;
        let heard = epoch.core.iter().filter(there).count();
        let bears = heard.saturating_sub(epoch.core.len() / 2 + 1);
        let holders = epoch.primary.iter().chain(&epoch.backups).filter(there).count();
        let outside = self.heard.values().filter(|h| h.lately(self.now) && !epoch.core.contains(&h.node));
        let core = epoch.core.iter().filter(|node| !self.standing(**node).is_volatile);
        let disks = core.count() + outside.filter(|h| !h.standing.is_volatile).count();
        let forget = epoch.core.iter().filter(|node| self.standing(**node).is_volatile).count();
        let mut short = Vec::new();
        if epoch.core != epoch.previous_core {
            short.push("the core is being changed".into());
        }
        if epoch.core.len() < needed {
            short.push(format!("the core is {}, and {needed} are needed", epoch.core.len()));
        }
        if bears < losses {
            short.push(format!("the core bears {bears} more losses of {losses}"));
        }
        if holders < losses + 1 {
            short.push(format!("{holders} copies of {} are heard", losses + 1));
        }
        if disks < needed {
            short.push(format!("{disks} markers with a disk are known, and {needed} are needed"));
        }
        if forget > 0 {
            short.push(format!("{forget} of the core have no disk"));
        }
        short
    }

    /// Says in the log what changes of [`Core::shortages`].
    pub(super) fn note_shortages(&mut self) {
        let short = self.shortages();
        if short != self.short {
            if short.is_empty() {
                log::info!("as many losses are borne again as must be");
            } else {
                log::warn!("too few: {}", short.join("; "));
            }
            self.short = short;
        }
    }

    /// Those of the core that are heard and stay, this marker included if it does.
    fn stay(&self) -> Vec<Node> {
        let stays = |node: &Node| self.hears(*node) && !self.standing(*node).is_leaving;
        self.voters().into_iter().filter(stays).collect()
    }

    /// The process is to end: others are told, and whoever can take over does so at once. It goes on as it is until
    /// [`Core::may_end`].
    pub fn on_leave(&mut self, now: Millis, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        if std::mem::replace(&mut self.standing.is_leaving, true) {
            return;
        }
        self.agree(out, Agreement::give_up);
        self.duties.lay_down();
        (self.said_outside, self.leaves_by) = (0, self.now + FINISH);
        self.say_hear(out);
        self.hand_over(out);
    }

    /// Whether nothing is lost when the process ends: an epoch that most of the core keeps has all its copies elsewhere, as
    /// far as is known here, or everybody else leaves too.
    pub fn may_end(&self) -> bool {
        let me = self.me();
        let Some(epoch) = self.agreement.epoch() else { return true };
        let leaves = |node: &Node| *node == me || self.standing(*node).is_leaving;
        let elsewhere = !epoch.holds(me) && self.led_epoch >= epoch.number;
        elsewhere || epoch.core.iter().all(leaves)
    }

    /// The version that only this marker and others that leave may hold, where one ends before [`Core::may_end`].
    pub fn held_alone(&self) -> Option<u32> {
        self.agreement.document().filter(|_| !self.may_end()).map(|d| d.version)
    }

    /// Leaves what is to come to a backup that stays, once what is under way here is held or has taken too long. Without
    /// one it goes on as primary.
    pub(super) fn hand_over(&mut self, out: &mut Vec<Output>) {
        if !self.standing.is_leaving || (self.agreement.is_holding() && self.now < self.leaves_by) {
            return;
        }
        let Some((number, backups)) = self.agreement.leads() else { return };
        let stay = self.stay();
        let Some(node) = backups.iter().find(|node| stay.contains(node)).copied() else { return };
        self.agree(out, Agreement::depose);
        out.push(Output::Send(node.ip, PeerMessage::HandOver(number)));
    }
}
