//! The rules by which the core agrees, without time and without choice: what comes in, what has to be said and kept.
//!
//! [`crate::core`] decides when to try and whom to take; nothing that it decides can break what stands here. The same
//! code is what `tests/model.rs` explores in every order of events.
//!
//! What must never happen: two primaries that both answer; an answered configuration that is gone while no more
//! than the stated number of folders are lost; a read that is older than an answer; two contents that are confirmed
//! under one number. For the last the ledger is held like the configuration: what is not in it is entered, and held by
//! all backups, before it is confirmed; what is in it is never entered anew.
//!
//! A round, begun by somebody who holds everything, goes: **Ask** (its own promise is on its own disk first, so that no
//! number is ever used twice), **Prepare** (a majority promises to keep no epoch below its number and tells the newest
//! that it keeps), **Copy** (the backups-to-be hold what the beginner holds), **Keep** (a majority keeps the new epoch).
//! Only then is anything answered in it. An epoch that changes the core, by one marker, needs a majority of the core
//! before as well, and so does whatever follows it until one of its kind was kept by both majorities: only who saw that
//! leaves the core before behind, with an epoch that changes nothing. No change is begun before that one.
//!
//! A marker whose folder was lost is another [`Node`]: it has no vote and holds nothing until an epoch names it.

use crate::parts::Keeping;
use granitelead_control_protocol::ledger::VersionState;
use granitelead_control_protocol::messages::{
    Change, Digest, Document, Epoch, Ledger, Node, PeerMessage, ProposalNumber, Snapshot,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::Ipv4Addr;
use std::sync::Arc;

/// Reads that are being made certain at once; of more the oldest is forgotten, and asked for again.
const CHECKS_MAX: usize = 512;

/// What is done once a write is on disk.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Then {
    /// Say that something is kept: what was asked for by whom.
    Promise(Ipv4Addr, ProposalNumber),
    /// See [`Then::Promise`].
    Copied(Ipv4Addr, ProposalNumber),
    /// See [`Then::Promise`].
    Kept(Ipv4Addr, ProposalNumber),
    /// See [`Then::Promise`].
    Held(Ipv4Addr, ProposalNumber, u32),
    /// Ask the others to promise what is promised here.
    Ask(ProposalNumber),
    /// Nothing.
    Nothing,
}

/// What follows from something that came in.
#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    /// Say this to another marker.
    Say(Ipv4Addr, PeerMessage),
    /// Put all that has to last on disk, and give this back to [`Agreement::written`] once it is there.
    Keep(Then),
    /// A majority has promised this round: name the epoch to follow the newest, with [`Agreement::copy`].
    Choose {
        /// The round.
        number: ProposalNumber,
        /// The newest epoch that one of them keeps.
        newest: Epoch,
        /// Who has promised.
        willing: BTreeSet<Node>,
    },
    /// The round goes on to its next step.
    GoesOn,
    /// The round has failed.
    Failed,
    /// This marker is primary from now on.
    Leads(ProposalNumber),
    /// It is no longer.
    Deposed(ProposalNumber),
    /// This configuration can't be lost any more.
    Safe(Arc<Document>),
    /// These numbers stand for these contents, which can't be lost any more: orders of just these are confirmed.
    Entered(BTreeMap<u32, Digest>),
    /// Nothing newer than what is safe here was answered for before this check was begun.
    Certain(u64),
}

/// Orders of operators that are taken in at once.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Orders {
    document: Option<Arc<Document>>,
    entries: BTreeMap<u32, Digest>,
}

impl Orders {
    /// Takes one in as well, unless there is one of its number.
    pub fn add(&mut self, document: &Arc<Document>, digest: Digest) {
        let version = document.version;
        if self.entries.contains_key(&version) {
            return;
        }
        self.entries.insert(version, digest);
        // Whatever is below the newest is overtaken: of that only the content counts.
        if self.document.as_ref().is_none_or(|d| d.version < version) {
            self.document = Some(document.clone());
        }
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn highest(&self) -> Option<u32> {
        self.entries.last_key_value().map(|(version, _)| *version)
    }

    fn change(&self) -> Change {
        Change { document: self.document.as_deref().cloned(), entries: self.entries.clone() }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Asking,
    Preparing(BTreeMap<Node, Option<Epoch>>),
    Copying(Epoch, BTreeSet<Node>),
    Keeping(Epoch, BTreeSet<Node>),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Round {
    number: ProposalNumber,
    step: Step,
    asked: BTreeSet<Node>,
    /// The epoch that it follows, once that is known.
    newest: Option<Epoch>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Leading {
    number: ProposalNumber,
    backups: Vec<Node>,
    /// The orders on their way to be held, and who holds them.
    holding: Option<(Orders, BTreeSet<Node>)>,
    checks: BTreeMap<u64, BTreeSet<Node>>,
}

/// What one marker knows, promises and does of the agreement.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Agreement {
    me: Node,
    promised: ProposalNumber,
    copied: ProposalNumber,
    epoch: Option<Epoch>,
    document: Option<Arc<Document>>,
    ledger: Arc<Ledger>,
    sure: Option<Arc<Document>>,
    highest: u64,
    round: Option<Round>,
    leading: Option<Leading>,
    /// An epoch that changes the core, and was kept by both majorities.
    whole: Option<ProposalNumber>,
    inbox: VecDeque<PeerMessage>,
}

/// Whether more than half of these agree.
pub fn most(of: &[Node], agree: impl Fn(&Node) -> bool) -> bool {
    of.iter().filter(|node| agree(node)).count() * 2 > of.len()
}

impl Agreement {
    /// A marker that has kept this.
    pub fn new(keeping: Keeping) -> Agreement {
        let Keeping { node, promised, copied, epoch, document, ledger, sure, ballots: _ } = keeping;
        // What was safe from loss still is, and may be in force before there is a primary again.
        let safe = document.clone().filter(|d| sure == Some(d.version));
        Agreement {
            me: node,
            promised,
            copied,
            epoch,
            document,
            ledger,
            sure: safe,
            highest: promised.round,
            round: None,
            leading: None,
            whole: None,
            inbox: VecDeque::new(),
        }
    }

    /// All that has to last of the agreement.
    pub fn keeping(&self) -> Keeping {
        // The number alone says too little: two operators may have sent different ones under it.
        let sure = self.document.as_ref().filter(|d| self.sure.as_ref() == Some(d)).map(|d| d.version);
        Keeping {
            node: self.me,
            promised: self.promised,
            copied: self.copied,
            epoch: self.epoch.clone(),
            document: self.document.clone(),
            ledger: self.ledger.clone(),
            sure,
            ballots: BTreeMap::new(),
        }
    }

    /// This marker.
    pub fn me(&self) -> Node {
        self.me
    }

    /// The epoch that is kept here.
    pub fn epoch(&self) -> Option<&Epoch> {
        self.epoch.as_ref()
    }

    /// No epoch below this one is kept here any more.
    pub fn promised(&self) -> ProposalNumber {
        self.promised
    }

    /// The configuration that is held here, which may not be safe yet.
    pub fn document(&self) -> Option<&Arc<Document>> {
        self.document.as_ref()
    }

    /// Which content each number stands for, of what is held here. While this marker is primary and holds nothing that
    /// is on its way, all of it is safe.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// The newest configuration that can't be lost any more, as far as is known here.
    pub fn sure(&self) -> Option<&Arc<Document>> {
        self.sure.as_ref()
    }

    /// The epoch in which this marker is primary, and its backups.
    pub fn leads(&self) -> Option<(ProposalNumber, &[Node])> {
        self.leading.as_ref().map(|l| (l.number, l.backups.as_slice()))
    }

    /// Those who do not yet hold the orders that are on their way.
    pub fn late(&self) -> Vec<Node> {
        let holding = self.leading.iter().filter_map(|l| l.holding.as_ref().map(|(_, held)| (l, held)));
        let late = holding.flat_map(|(l, held)| l.backups.iter().filter(|n| !held.contains(n)));
        late.copied().collect()
    }

    /// Whether orders are on their way to be held.
    pub fn is_holding(&self) -> bool {
        self.leading.as_ref().is_some_and(|l| l.holding.is_some())
    }

    /// The round of this marker that is under way.
    pub fn asks(&self) -> Option<ProposalNumber> {
        self.round.as_ref().map(|round| round.number)
    }

    /// Those whom the round under way waits for to copy.
    pub fn not_copied(&self) -> Vec<Node> {
        match &self.round {
            Some(Round { step: Step::Copying(epoch, copied), .. }) => {
                epoch.backups.iter().filter(|n| !copied.contains(n)).copied().collect()
            }
            _ => Vec::new(),
        }
    }

    /// A higher round is said to have been begun somewhere.
    pub fn learn_round(&mut self, round: u64) {
        self.highest = self.highest.max(round);
    }

    fn say(&mut self, to: Ipv4Addr, word: PeerMessage, acts: &mut Vec<Act>) {
        if to == self.me.ip {
            self.inbox.push_back(word);
        } else {
            acts.push(Act::Say(to, word));
        }
    }

    /// Handles what was said to oneself meanwhile.
    fn work(&mut self, acts: &mut Vec<Act>) {
        while let Some(word) = self.inbox.pop_front() {
            self.on_word(self.me, word, acts);
        }
    }

    /// What was to be done after a write: it is on disk.
    pub fn written(&mut self, then: Then, acts: &mut Vec<Act>) {
        match then {
            Then::Promise(to, number) => {
                // A word that is overtaken by a higher promise is of no use to anybody.
                if number == self.promised {
                    self.say(to, PeerMessage::Promise(number, self.epoch.clone()), acts);
                }
            }
            Then::Copied(to, number) => self.say(to, PeerMessage::SnapshotInstalled(number), acts),
            Then::Kept(to, number) => self.say(to, PeerMessage::EpochAccepted(number), acts),
            Then::Held(to, number, version) => self.say(to, PeerMessage::Replicated(number, version), acts),
            Then::Ask(number) => self.ask(number, acts),
            Then::Nothing => {}
        }
        self.work(acts);
    }

    /// Another marker says something.
    pub fn take(&mut self, from: Node, word: PeerMessage, acts: &mut Vec<Act>) {
        self.on_word(from, word, acts);
        self.work(acts);
    }

    fn on_word(&mut self, from: Node, word: PeerMessage, acts: &mut Vec<Act>) {
        let asked = match &word {
            PeerMessage::Prepare(number) | PeerMessage::InstallSnapshot(number, _) => Some(*number),
            PeerMessage::AcceptEpoch(epoch) => Some(epoch.number),
            _ => None,
        };
        if asked.is_some_and(|number| !self.allows(from, number, acts)) {
            return;
        }
        match word {
            PeerMessage::Prepare(number) => {
                self.promised = number;
                acts.push(Act::Keep(Then::Promise(from.ip, number)));
            }
            PeerMessage::Promise(number, epoch) => self.on_promise(from, number, epoch, acts),
            PeerMessage::InstallSnapshot(number, Snapshot { document, ledger }) => {
                // A second copy of one round may be older than what was held since.
                if number > self.copied {
                    (self.document, self.ledger) = (document.map(Arc::new), Arc::new(ledger));
                }
                (self.promised, self.copied) = (number, number);
                acts.push(Act::Keep(Then::Copied(from.ip, number)));
            }
            PeerMessage::SnapshotInstalled(number) => self.on_copied(from, number, acts),
            PeerMessage::AcceptEpoch(epoch) => {
                let number = epoch.number;
                (self.promised, self.epoch) = (number, Some(epoch));
                acts.push(Act::Keep(Then::Kept(from.ip, number)));
            }
            PeerMessage::EpochAccepted(number) => self.on_kept(from, number, acts),
            PeerMessage::Superseded(number) => {
                self.learn_round(number.round);
                self.yield_to(number, acts);
            }
            PeerMessage::Replicate(number, Change { document, entries }) => {
                if number != self.promised {
                    return self.say(from.ip, PeerMessage::Superseded(self.promised), acts);
                }
                let orders = Orders { document: document.map(Arc::new), entries };
                let Some(highest) = orders.highest() else { return };
                self.enter(orders);
                acts.push(Act::Keep(Then::Held(from.ip, number, highest)));
            }
            PeerMessage::Replicated(number, version) => self.on_held(from, number, version, acts),
            PeerMessage::ConfirmEpoch(number, nonce) if number == self.promised => {
                self.say(from.ip, PeerMessage::EpochConfirmed(number, nonce), acts);
            }
            PeerMessage::ConfirmEpoch(..) => self.say(from.ip, PeerMessage::Superseded(self.promised), acts),
            PeerMessage::EpochConfirmed(number, nonce) => self.on_checked(from, number, nonce, acts),
            PeerMessage::Committed(document) => self.learn_sure(Arc::new(document), acts),
            PeerMessage::LatestEpoch(epoch) => {
                let newer = self.epoch.as_ref().is_none_or(|e| e.number < epoch.number);
                if newer && epoch.number >= self.promised {
                    self.learn_round(epoch.number.round);
                    self.yield_to(epoch.number, acts);
                    (self.promised, self.epoch) = (epoch.number, Some(epoch));
                    // Nobody is told: one that keeps an epoch late decides nothing about it.
                    acts.push(Act::Keep(Then::Nothing));
                }
            }
            _ => {}
        }
    }

    /// Whether nothing higher has been promised; tells the sender otherwise.
    fn allows(&mut self, from: Node, number: ProposalNumber, acts: &mut Vec<Act>) -> bool {
        self.learn_round(number.round);
        if number < self.promised {
            self.say(from.ip, PeerMessage::Superseded(self.promised), acts);
            return false;
        }
        self.yield_to(number, acts);
        true
    }

    /// Gives up what is below a number.
    fn yield_to(&mut self, number: ProposalNumber, acts: &mut Vec<Act>) {
        if self.leading.as_ref().is_some_and(|l| l.number < number) {
            self.depose(acts);
        }
        if self.round.as_ref().is_some_and(|r| r.number < number) {
            self.give_up(acts);
        }
    }

    /// Is primary no longer.
    pub fn depose(&mut self, acts: &mut Vec<Act>) {
        if let Some(leading) = self.leading.take() {
            acts.push(Act::Deposed(leading.number));
        }
    }

    /// Gives up the round under way.
    pub fn give_up(&mut self, acts: &mut Vec<Act>) {
        if self.round.take().is_some() {
            acts.push(Act::Failed);
        }
    }

    /// Begins a round; whoever is primary here is no longer. Gives its number, unless no epoch is kept here.
    pub fn begin(&mut self, acts: &mut Vec<Act>) -> Option<ProposalNumber> {
        let epoch = self.epoch.as_ref()?;
        let asked = epoch.core.iter().chain(&epoch.previous_core).copied().collect();
        let number =
            ProposalNumber { round: self.highest.max(self.promised.round) + 1, proposer: self.me.replica_id };
        self.learn_round(number.round);
        self.depose(acts);
        self.promised = number;
        self.round = Some(Round { number, step: Step::Asking, asked, newest: None });
        // Begun anew after a loss of power, the same number would name two epochs.
        acts.push(Act::Keep(Then::Ask(number)));
        Some(number)
    }

    fn ask(&mut self, number: ProposalNumber, acts: &mut Vec<Act>) {
        let Some(round) = self.round.as_mut().filter(|r| r.number == number) else { return };
        if round.step != Step::Asking {
            return;
        }
        round.step = Step::Preparing(BTreeMap::new());
        let others: Vec<Node> = round.asked.iter().filter(|n| **n != self.me).copied().collect();
        for node in others {
            self.say(node.ip, PeerMessage::Prepare(number), acts);
        }
        self.on_promise(self.me, number, self.epoch.clone(), acts);
    }

    fn on_promise(&mut self, from: Node, number: ProposalNumber, epoch: Option<Epoch>, acts: &mut Vec<Act>) {
        let Some(round) = self.round.as_mut().filter(|r| r.number == number) else { return };
        let Step::Preparing(promises) = &mut round.step else { return };
        promises.insert(from, epoch);
        let newest = promises.values().flatten().max_by_key(|e| e.number);
        let Some(newest) = newest.cloned() else { return };
        let more: Vec<Node> = newest
            .core
            .iter()
            .chain(&newest.previous_core)
            .copied()
            .filter(|n| !round.asked.contains(n))
            .collect();
        let promised = |node: &Node| promises.contains_key(node);
        let enough = most(&newest.core, promised) && most(&newest.previous_core, promised);
        let willing: BTreeSet<Node> = promises.keys().copied().collect();
        round.asked.extend(more.iter().copied());
        for node in more {
            self.say(node.ip, PeerMessage::Prepare(number), acts);
        }
        if !enough {
            return;
        }
        if newest.holds(self.me) {
            self.round.iter_mut().for_each(|round| round.newest = Some(newest.clone()));
            acts.push(Act::Choose { number, newest, willing });
        } else {
            // Somebody else has what was answered for.
            self.give_up(acts);
        }
    }

    /// The epoch that follows is chosen, of those who are willing: its backups are to hold what is held here. Whose
    /// majority has to agree beside that of its core is not a matter of choice, and a core that may not be ends the round.
    pub fn copy(&mut self, mut next: Epoch, acts: &mut Vec<Act>) {
        let Some(round) = self.round.as_mut().filter(|r| r.number == next.number) else { return };
        let Some(newest) = round.newest.take() else { return };
        let settled = newest.core == newest.previous_core;
        let missing = newest.core.iter().filter(|node| !next.core.contains(node)).count();
        let new = next.core.iter().filter(|node| !newest.core.contains(node)).count();
        if missing > 1 || new > 1 || (missing + new > 0 && !settled) {
            return self.give_up(acts);
        }
        // Of a change that may have been kept by few the core before may know nothing yet.
        let left_behind = settled || self.whole == Some(newest.number);
        next.previous_core = if left_behind { newest.core } else { newest.previous_core };
        round.step = Step::Copying(next.clone(), BTreeSet::new());
        acts.push(Act::GoesOn);
        let whole = self.whole();
        for node in &next.backups {
            self.say(node.ip, PeerMessage::InstallSnapshot(next.number, whole.clone()), acts);
        }
        if next.backups.is_empty() {
            self.copied_all(acts);
        }
        self.work(acts);
    }

    fn whole(&self) -> Snapshot {
        Snapshot { document: self.document.as_deref().cloned(), ledger: Ledger::clone(&self.ledger) }
    }

    fn on_copied(&mut self, from: Node, number: ProposalNumber, acts: &mut Vec<Act>) {
        let Some(round) = self.round.as_mut().filter(|r| r.number == number) else { return };
        let Step::Copying(epoch, copied) = &mut round.step else { return };
        copied.insert(from);
        if epoch.backups.iter().all(|node| copied.contains(node)) {
            self.copied_all(acts);
        }
    }

    fn copied_all(&mut self, acts: &mut Vec<Act>) {
        let Some(round) = &mut self.round else { return };
        let Step::Copying(epoch, _) = &round.step else { return };
        let epoch = epoch.clone();
        round.step = Step::Keeping(epoch.clone(), BTreeSet::new());
        acts.push(Act::GoesOn);
        let all: BTreeSet<Node> = epoch.core.iter().chain(&epoch.previous_core).copied().collect();
        for node in all {
            self.say(node.ip, PeerMessage::AcceptEpoch(epoch.clone()), acts);
        }
    }

    fn on_kept(&mut self, from: Node, number: ProposalNumber, acts: &mut Vec<Act>) {
        let Some(round) = self.round.as_mut().filter(|r| r.number == number) else { return };
        let Step::Keeping(epoch, kept) = &mut round.step else { return };
        kept.insert(from);
        let has = |node: &Node| kept.contains(node);
        if !(most(&epoch.core, has) && most(&epoch.previous_core, has)) {
            return;
        }
        let backups = epoch.backups.clone();
        self.whole = Some(number).filter(|_| epoch.core != epoch.previous_core);
        self.round = None;
        self.leading = Some(Leading { number, backups, holding: None, checks: BTreeMap::new() });
        acts.push(Act::Leads(number));
        // What is held here is held by all backups, and by nobody who could come after without it.
        if let Some(document) = self.document.clone() {
            self.learn_sure(document, acts);
        }
    }

    fn learn_sure(&mut self, document: Arc<Document>, acts: &mut Vec<Act>) {
        if self.sure.as_ref().is_some_and(|sure| sure.version >= document.version) {
            return;
        }
        self.sure = Some(document.clone());
        if self.document == self.sure {
            acts.push(Act::Keep(Then::Nothing));
        }
        acts.push(Act::Safe(document));
    }

    /// Takes into what is held what is free and newer.
    fn enter(&mut self, orders: Orders) {
        let ledger = Arc::make_mut(&mut self.ledger);
        orders.entries.into_iter().for_each(|(version, digest)| ledger.record(version, digest));
        if let Some(document) = orders.document {
            if self.document.as_ref().is_none_or(|d| d.version < document.version) {
                self.document = Some(document);
            }
        }
    }

    /// As primary: has these orders held by all backups, as far as their numbers are free, if nothing else is on its
    /// way. An order below what is held changes nothing but the ledger.
    pub fn hold(&mut self, mut orders: Orders, acts: &mut Vec<Act>) {
        let newest = self.document.as_ref().map(|d| d.version);
        orders.entries.retain(|version, _| self.ledger.lookup(*version) == VersionState::Free);
        let entries = &orders.entries;
        let newer = |d: &Arc<Document>| newest < Some(d.version) && entries.contains_key(&d.version);
        orders.document = orders.document.filter(newer);
        let Some(highest) = orders.highest() else { return };
        let Some(leading) = self.leading.as_mut().filter(|l| l.holding.is_none()) else { return };
        let (number, backups) = (leading.number, leading.backups.clone());
        leading.holding = Some((orders.clone(), BTreeSet::new()));
        for node in backups {
            self.say(node.ip, PeerMessage::Replicate(number, orders.change()), acts);
        }
        self.enter(orders);
        acts.push(Act::Keep(Then::Held(self.me.ip, number, highest)));
        self.work(acts);
    }

    fn on_held(&mut self, from: Node, number: ProposalNumber, highest: u32, acts: &mut Vec<Act>) {
        let Some(leading) = self.leading.as_mut().filter(|l| l.number == number) else { return };
        let Some((_, held)) = leading.holding.as_mut().filter(|(o, _)| o.highest() == Some(highest)) else {
            return;
        };
        held.insert(from);
        if leading.backups.iter().chain([&self.me]).all(|node| held.contains(node)) {
            let Some((orders, _)) = leading.holding.take() else { return };
            if let Some(document) = orders.document {
                self.learn_sure(document, acts);
            }
            acts.push(Act::Entered(orders.entries));
        }
    }

    /// Says again what nobody has answered: it may have been lost with a line. Whatever comes twice does no harm.
    pub fn again(&mut self, acts: &mut Vec<Act>) {
        let mut words: Vec<(Ipv4Addr, PeerMessage)> = Vec::new();
        if let Some(Round { number, step, asked, .. }) = &self.round {
            match step {
                Step::Asking => {}
                Step::Preparing(promises) => {
                    let left = asked.iter().filter(|n| !promises.contains_key(n));
                    words.extend(left.map(|n| (n.ip, PeerMessage::Prepare(*number))));
                }
                Step::Copying(..) => {
                    let left = self.not_copied().into_iter();
                    words.extend(left.map(|n| (n.ip, PeerMessage::InstallSnapshot(*number, self.whole()))));
                }
                Step::Keeping(epoch, kept) => {
                    let all: BTreeSet<&Node> = epoch.core.iter().chain(&epoch.previous_core).collect();
                    let left = all.into_iter().filter(|n| !kept.contains(n));
                    words.extend(left.map(|n| (n.ip, PeerMessage::AcceptEpoch(epoch.clone()))));
                }
            }
        }
        if let Some(Leading { number, holding: Some((orders, _)), .. }) = &self.leading {
            let late = self.late().into_iter();
            words.extend(late.map(|n| (n.ip, PeerMessage::Replicate(*number, orders.change()))));
        }
        // What it says to itself is on its way to the disk.
        let me = self.me.ip;
        acts.extend(words.into_iter().filter(|(to, _)| *to != me).map(|(to, word)| Act::Say(to, word)));
    }

    /// As primary: begins to make certain, or goes on, that nothing newer was answered for elsewhere.
    pub fn check(&mut self, nonce: u64, acts: &mut Vec<Act>) {
        let Some(leading) = &mut self.leading else { return };
        let number = leading.number;
        let checked = leading.checks.entry(nonce).or_default();
        let left: Vec<Node> = leading.backups.iter().filter(|n| !checked.contains(n)).copied().collect();
        if left.is_empty() {
            leading.checks.remove(&nonce);
            acts.push(Act::Certain(nonce));
        }
        while leading.checks.len() > CHECKS_MAX {
            leading.checks.pop_first();
        }
        for node in left {
            self.say(node.ip, PeerMessage::ConfirmEpoch(number, nonce), acts);
        }
        self.work(acts);
    }

    fn on_checked(&mut self, from: Node, number: ProposalNumber, nonce: u64, acts: &mut Vec<Act>) {
        let Some(leading) = self.leading.as_mut().filter(|l| l.number == number) else { return };
        let Some(checked) = leading.checks.get_mut(&nonce) else { return };
        checked.insert(from);
        if leading.backups.iter().all(|node| checked.contains(node)) {
            leading.checks.remove(&nonce);
            acts.push(Act::Certain(nonce));
        }
    }
}
