//! The consensus protocol of the core, as a deterministic state machine without clock or random
//! choices: it takes messages and completed writes, and returns messages to send and state to
//! persist.
//!
//! [`crate::core`] decides when to start a round and which markers to choose; none of its decisions
//! can violate the safety rules in this module. `tests/model.rs` explores the same code under every
//! order of events.
//!
//! Safety properties: at most one primary answers at a time; a confirmed configuration survives as
//! long as no more than the configured number of replicas are lost; a read never returns anything
//! older than what was confirmed before it; no two contents are confirmed under one version. For
//! the last, the version ledger is replicated like the configuration: a version that the ledger
//! lacks is added and stored by all backups before it is confirmed, and a version that the ledger
//! has is never assigned again.
//!
//! A round is started by a marker that stores all committed state, and has four phases. **Persist**:
//! the initiator persists its own promise first, so that no round number is ever used twice.
//! **Prepare**: a majority promises to accept no epoch below this number and returns the newest
//! epoch that it has accepted. **Copy**: the future backups store the full state of the initiator.
//! **Accept**: a majority accepts the new epoch. Only then is any call answered in it. An epoch that
//! changes the core (the voting members) by one marker also needs a majority of the previous core.
//! So does every later epoch until a membership change is known to be accepted by both majorities:
//! only the marker that observed this can drop the previous core, with an epoch that changes no
//! member. No other change starts before that epoch.
//!
//! A marker that lost its data directory is a new [`Node`]: it has no vote and stores nothing until
//! an epoch includes it.

use crate::parts::Keeping;
use granitelead_control_protocol::ledger::VersionState;
use granitelead_control_protocol::messages::{
    Change, Digest, Document, Epoch, Ledger, Node, PeerMessage, ProposalNumber, Snapshot,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::Ipv4Addr;
use std::sync::Arc;

/// Largest number of read checks in progress; beyond it the oldest is dropped, and its caller asks
/// again.
const CHECKS_MAX: usize = 512;

/// The action that follows once a write is on disk.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum AfterWrite {
    /// Answer a prepare request: recipient and round.
    SendPromise(Ipv4Addr, ProposalNumber),
    /// Acknowledge a copy of the full state: recipient and round.
    SendCopied(Ipv4Addr, ProposalNumber),
    /// Acknowledge that an epoch was accepted: recipient and its number.
    SendAccepted(Ipv4Addr, ProposalNumber),
    /// Acknowledge replicated changes: recipient, epoch and the highest version among them.
    SendReplicated(Ipv4Addr, ProposalNumber, u32),
    /// Send prepare requests for the round that was promised locally.
    SendPrepare(ProposalNumber),
    /// No action.
    Nothing,
}

/// An effect that the caller of the state machine must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a message to another marker.
    Send(Ipv4Addr, PeerMessage),
    /// Write the persistent state to disk, then pass the value to [`Agreement::on_written`].
    Persist(AfterWrite),
    /// A majority has promised this round: choose the epoch to follow `newest`, with
    /// [`Agreement::choose_epoch`].
    ChooseEpoch {
        /// The number of the round.
        number: ProposalNumber,
        /// The newest epoch that any of the promising markers has accepted.
        newest: Epoch,
        /// The markers that promised this round.
        willing: BTreeSet<Node>,
    },
    /// The round has entered its next phase.
    PhaseAdvanced,
    /// The round was abandoned.
    RoundFailed,
    /// This marker has become primary.
    BecamePrimary(ProposalNumber),
    /// This marker has stopped being primary.
    SteppedDown(ProposalNumber),
    /// This configuration is committed: the tolerated losses can't remove it any more.
    Committed(Arc<Document>),
    /// These versions and their contents are committed; exactly these changes are confirmed to
    /// their callers.
    VersionsCommitted(BTreeMap<u32, Digest>),
    /// The check succeeded: nothing newer than the committed state here had been confirmed before
    /// it began.
    CheckPassed(u64),
}

/// Changes from operators that are replicated together.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ChangeBatch {
    document: Option<Arc<Document>>,
    entries: BTreeMap<u32, Digest>,
}

impl ChangeBatch {
    /// Adds a change, unless the batch already holds one with its version.
    pub fn add(&mut self, document: &Arc<Document>, digest: Digest) {
        let version = document.version;
        if self.entries.contains_key(&version) {
            return;
        }
        self.entries.insert(version, digest);
        // Versions below the newest are superseded; only their digests are recorded.
        if self.document.as_ref().is_none_or(|d| d.version < version) {
            self.document = Some(document.clone());
        }
    }

    /// Whether the batch is empty.
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
    PersistingPromise,
    Preparing(BTreeMap<Node, Option<Epoch>>),
    Copying(Epoch, BTreeSet<Node>),
    Accepting(Epoch, BTreeSet<Node>),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Round {
    number: ProposalNumber,
    step: Step,
    contacted: BTreeSet<Node>,
    /// The epoch that the new one follows, once it is known.
    newest: Option<Epoch>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PrimaryState {
    number: ProposalNumber,
    backups: Vec<Node>,
    /// The changes being replicated, and the markers that have stored them.
    replicating: Option<(ChangeBatch, BTreeSet<Node>)>,
    checks: BTreeMap<u64, BTreeSet<Node>>,
}

/// The consensus state of one marker: what it has promised and accepted, and the round in progress or the
/// epoch that it leads.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Agreement {
    me: Node,
    promised: ProposalNumber,
    last_copied: ProposalNumber,
    epoch: Option<Epoch>,
    document: Option<Arc<Document>>,
    ledger: Arc<Ledger>,
    committed: Option<Arc<Document>>,
    highest_round: u64,
    round: Option<Round>,
    primary_state: Option<PrimaryState>,
    /// The number of an epoch that changed the core and is known to be accepted by both majorities.
    accepted_core_change: Option<ProposalNumber>,
    inbox: VecDeque<PeerMessage>,
}

/// Whether more than half of the nodes satisfy the predicate.
pub fn is_majority(of: &[Node], predicate: impl Fn(&Node) -> bool) -> bool {
    of.iter().filter(|node| predicate(node)).count() * 2 > of.len()
}

impl Agreement {
    /// Restores a marker from its persistent state.
    pub fn new(state: Keeping) -> Agreement {
        let Keeping { node, promised, copied, epoch, document, ledger, sure, ballots: _ } = state;
        // What was committed stays so, and may be served before there is a primary again.
        let committed = document.clone().filter(|d| sure == Some(d.version));
        Agreement {
            me: node,
            promised,
            last_copied: copied,
            epoch,
            document,
            ledger,
            committed,
            highest_round: promised.round,
            round: None,
            primary_state: None,
            accepted_core_change: None,
            inbox: VecDeque::new(),
        }
    }

    /// The state that must survive a restart.
    pub fn persistent_state(&self) -> Keeping {
        // Comparing versions is not enough: two operators may have sent different contents under
        // one version.
        let sure = self.document.as_ref().filter(|d| self.committed.as_ref() == Some(d)).map(|d| d.version);
        Keeping {
            node: self.me,
            promised: self.promised,
            copied: self.last_copied,
            epoch: self.epoch.clone(),
            document: self.document.clone(),
            ledger: self.ledger.clone(),
            sure,
            ballots: BTreeMap::new(),
        }
    }

    /// The identity of this marker.
    pub fn me(&self) -> Node {
        self.me
    }

    /// The newest epoch accepted here.
    pub fn epoch(&self) -> Option<&Epoch> {
        self.epoch.as_ref()
    }

    /// This marker accepts no epoch below this number.
    pub fn promised(&self) -> ProposalNumber {
        self.promised
    }

    /// The newest configuration stored here, which may not be committed yet.
    pub fn document(&self) -> Option<&Arc<Document>> {
        self.document.as_ref()
    }

    /// The ledger of versions and contents stored here. All of it is committed while this marker is
    /// primary and replicates no change.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// The newest configuration that is known here to be committed.
    pub fn committed(&self) -> Option<&Arc<Document>> {
        self.committed.as_ref()
    }

    /// The epoch in which this marker is primary, and its backups; `None` if it is not primary.
    pub fn leadership(&self) -> Option<(ProposalNumber, &[Node])> {
        self.primary_state.as_ref().map(|primary| (primary.number, primary.backups.as_slice()))
    }

    /// The backups that have not yet stored the changes being replicated.
    pub fn unreplicated_backups(&self) -> Vec<Node> {
        let replicating = self
            .primary_state
            .iter()
            .filter_map(|primary| primary.replicating.as_ref().map(|(_, stored)| (primary, stored)));
        let late =
            replicating.flat_map(|(primary, stored)| primary.backups.iter().filter(|n| !stored.contains(n)));
        late.copied().collect()
    }

    /// Whether changes are being replicated.
    pub fn is_replicating(&self) -> bool {
        self.primary_state.as_ref().is_some_and(|primary| primary.replicating.is_some())
    }

    /// The number of the round in progress that this marker started.
    pub fn round_in_progress(&self) -> Option<ProposalNumber> {
        self.round.as_ref().map(|round| round.number)
    }

    /// The backups that have not yet acknowledged the copy of the round in progress.
    pub fn uncopied_backups(&self) -> Vec<Node> {
        match &self.round {
            Some(Round { step: Step::Copying(epoch, copied), .. }) => {
                epoch.backups.iter().filter(|n| !copied.contains(n)).copied().collect()
            }
            _ => Vec::new(),
        }
    }

    /// Records that a round of this number was started somewhere.
    pub fn observe_round(&mut self, round: u64) {
        self.highest_round = self.highest_round.max(round);
    }

    fn send(&mut self, to: Ipv4Addr, message: PeerMessage, effects: &mut Vec<Effect>) {
        if to == self.me.ip {
            self.inbox.push_back(message);
        } else {
            effects.push(Effect::Send(to, message));
        }
    }

    /// Handles the messages that this marker has sent to itself.
    fn process_inbox(&mut self, effects: &mut Vec<Effect>) {
        while let Some(message) = self.inbox.pop_front() {
            self.handle(self.me, message, effects);
        }
    }

    /// Continues with the action that waited for a write, which is on disk now.
    pub fn on_written(&mut self, action: AfterWrite, effects: &mut Vec<Effect>) {
        match action {
            AfterWrite::SendPromise(to, number) => {
                // A promise that was superseded by a higher one is useless to its recipient.
                if number == self.promised {
                    self.send(to, PeerMessage::Promise(number, self.epoch.clone()), effects);
                }
            }
            AfterWrite::SendCopied(to, number) => {
                self.send(to, PeerMessage::SnapshotInstalled(number), effects)
            }
            AfterWrite::SendAccepted(to, number) => {
                self.send(to, PeerMessage::EpochAccepted(number), effects)
            }
            AfterWrite::SendReplicated(to, number, version) => {
                self.send(to, PeerMessage::Replicated(number, version), effects)
            }
            AfterWrite::SendPrepare(number) => self.send_prepares(number, effects),
            AfterWrite::Nothing => {}
        }
        self.process_inbox(effects);
    }

    /// Handles a message from another marker.
    pub fn on_message(&mut self, from: Node, message: PeerMessage, effects: &mut Vec<Effect>) {
        self.handle(from, message, effects);
        self.process_inbox(effects);
    }

    fn handle(&mut self, from: Node, message: PeerMessage, effects: &mut Vec<Effect>) {
        let requested = match &message {
            PeerMessage::Prepare(number) | PeerMessage::InstallSnapshot(number, _) => Some(*number),
            PeerMessage::AcceptEpoch(epoch) => Some(epoch.number),
            _ => None,
        };
        if requested.is_some_and(|number| !self.check_number(from, number, effects)) {
            return;
        }
        match message {
            PeerMessage::Prepare(number) => {
                self.promised = number;
                effects.push(Effect::Persist(AfterWrite::SendPromise(from.ip, number)));
            }
            PeerMessage::Promise(number, epoch) => self.on_promise(from, number, epoch, effects),
            PeerMessage::InstallSnapshot(number, Snapshot { document, ledger }) => {
                // A repeated copy of the same round may be older than changes stored since.
                if number > self.last_copied {
                    (self.document, self.ledger) = (document.map(Arc::new), Arc::new(ledger));
                }
                (self.promised, self.last_copied) = (number, number);
                effects.push(Effect::Persist(AfterWrite::SendCopied(from.ip, number)));
            }
            PeerMessage::SnapshotInstalled(number) => self.on_copied(from, number, effects),
            PeerMessage::AcceptEpoch(epoch) => {
                let number = epoch.number;
                (self.promised, self.epoch) = (number, Some(epoch));
                effects.push(Effect::Persist(AfterWrite::SendAccepted(from.ip, number)));
            }
            PeerMessage::EpochAccepted(number) => self.on_accepted(from, number, effects),
            PeerMessage::Superseded(number) => {
                self.observe_round(number.round);
                self.yield_to(number, effects);
            }
            PeerMessage::Replicate(number, Change { document, entries }) => {
                if number != self.promised {
                    return self.send(from.ip, PeerMessage::Superseded(self.promised), effects);
                }
                let changes = ChangeBatch { document: document.map(Arc::new), entries };
                let Some(highest) = changes.highest() else { return };
                self.apply(changes);
                effects.push(Effect::Persist(AfterWrite::SendReplicated(from.ip, number, highest)));
            }
            PeerMessage::Replicated(number, version) => self.on_replicated(from, number, version, effects),
            PeerMessage::ConfirmEpoch(number, nonce) if number == self.promised => {
                self.send(from.ip, PeerMessage::EpochConfirmed(number, nonce), effects);
            }
            PeerMessage::ConfirmEpoch(..) => {
                self.send(from.ip, PeerMessage::Superseded(self.promised), effects)
            }
            PeerMessage::EpochConfirmed(number, nonce) => self.on_checked(from, number, nonce, effects),
            PeerMessage::Committed(document) => self.learn_committed(Arc::new(document), effects),
            PeerMessage::LatestEpoch(epoch) => {
                let newer = self.epoch.as_ref().is_none_or(|e| e.number < epoch.number);
                if newer && epoch.number >= self.promised {
                    self.observe_round(epoch.number.round);
                    self.yield_to(epoch.number, effects);
                    (self.promised, self.epoch) = (epoch.number, Some(epoch));
                    // No acknowledgement: an epoch that is accepted late decides nothing.
                    effects.push(Effect::Persist(AfterWrite::Nothing));
                }
            }
            _ => {}
        }
    }

    /// Whether no higher number has been promised; otherwise tells the sender the promised number.
    fn check_number(&mut self, from: Node, number: ProposalNumber, effects: &mut Vec<Effect>) -> bool {
        self.observe_round(number.round);
        if number < self.promised {
            self.send(from.ip, PeerMessage::Superseded(self.promised), effects);
            return false;
        }
        self.yield_to(number, effects);
        true
    }

    /// Steps down and abandons the round in progress where their numbers are lower than this one.
    fn yield_to(&mut self, number: ProposalNumber, effects: &mut Vec<Effect>) {
        if self.primary_state.as_ref().is_some_and(|primary| primary.number < number) {
            self.step_down(effects);
        }
        if self.round.as_ref().is_some_and(|r| r.number < number) {
            self.abandon_round(effects);
        }
    }

    /// Stops being primary.
    pub fn step_down(&mut self, effects: &mut Vec<Effect>) {
        if let Some(primary_state) = self.primary_state.take() {
            effects.push(Effect::SteppedDown(primary_state.number));
        }
    }

    /// Abandons the round in progress.
    pub fn abandon_round(&mut self, effects: &mut Vec<Effect>) {
        if self.round.take().is_some() {
            effects.push(Effect::RoundFailed);
        }
    }

    /// Starts a round and steps down as primary. Returns its number, or `None` where no epoch has
    /// been accepted here.
    pub fn begin_round(&mut self, effects: &mut Vec<Effect>) -> Option<ProposalNumber> {
        let epoch = self.epoch.as_ref()?;
        let contacted = epoch.core.iter().chain(&epoch.previous_core).copied().collect();
        let number = ProposalNumber {
            round: self.highest_round.max(self.promised.round) + 1,
            proposer: self.me.replica_id,
        };
        self.observe_round(number.round);
        self.step_down(effects);
        self.promised = number;
        self.round = Some(Round { number, step: Step::PersistingPromise, contacted, newest: None });
        // The number is persisted first: reused after a power loss, it would identify two epochs.
        effects.push(Effect::Persist(AfterWrite::SendPrepare(number)));
        Some(number)
    }

    fn send_prepares(&mut self, number: ProposalNumber, effects: &mut Vec<Effect>) {
        let Some(round) = self.round.as_mut().filter(|r| r.number == number) else { return };
        if round.step != Step::PersistingPromise {
            return;
        }
        round.step = Step::Preparing(BTreeMap::new());
        let others: Vec<Node> = round.contacted.iter().filter(|n| **n != self.me).copied().collect();
        for node in others {
            self.send(node.ip, PeerMessage::Prepare(number), effects);
        }
        self.on_promise(self.me, number, self.epoch.clone(), effects);
    }

    fn on_promise(
        &mut self,
        from: Node,
        number: ProposalNumber,
        epoch: Option<Epoch>,
        effects: &mut Vec<Effect>,
    ) {
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
            .filter(|n| !round.contacted.contains(n))
            .collect();
        let promised = |node: &Node| promises.contains_key(node);
        let enough = is_majority(&newest.core, promised) && is_majority(&newest.previous_core, promised);
        let willing: BTreeSet<Node> = promises.keys().copied().collect();
        round.contacted.extend(more.iter().copied());
        for node in more {
            self.send(node.ip, PeerMessage::Prepare(number), effects);
        }
        if !enough {
            return;
        }
        if newest.holds(self.me) {
            self.round.iter_mut().for_each(|round| round.newest = Some(newest.clone()));
            effects.push(Effect::ChooseEpoch { number, newest, willing });
        } else {
            // Another marker stores what was confirmed; this one may lack it.
            self.abandon_round(effects);
        }
    }

    /// Continues a round with the chosen epoch: its backups are sent the full state stored here.
    /// The previous core whose majority is also required is determined here, whatever `next` says.
    /// A core with more than one change, or with one before the last change has settled, ends the
    /// round.
    pub fn choose_epoch(&mut self, mut next: Epoch, effects: &mut Vec<Effect>) {
        let Some(round) = self.round.as_mut().filter(|r| r.number == next.number) else { return };
        let Some(newest) = round.newest.take() else { return };
        let settled = newest.core == newest.previous_core;
        let missing = newest.core.iter().filter(|node| !next.core.contains(node)).count();
        let new = next.core.iter().filter(|node| !newest.core.contains(node)).count();
        if missing > 1 || new > 1 || (missing + new > 0 && !settled) {
            return self.abandon_round(effects);
        }
        // A change that only few markers have accepted may be unknown to the previous core.
        let previous_core_done = settled || self.accepted_core_change == Some(newest.number);
        next.previous_core = if previous_core_done { newest.core } else { newest.previous_core };
        round.step = Step::Copying(next.clone(), BTreeSet::new());
        effects.push(Effect::PhaseAdvanced);
        let state = self.full_state();
        for node in &next.backups {
            self.send(node.ip, PeerMessage::InstallSnapshot(next.number, state.clone()), effects);
        }
        if next.backups.is_empty() {
            self.on_all_copied(effects);
        }
        self.process_inbox(effects);
    }

    fn full_state(&self) -> Snapshot {
        Snapshot { document: self.document.as_deref().cloned(), ledger: Ledger::clone(&self.ledger) }
    }

    fn on_copied(&mut self, from: Node, number: ProposalNumber, effects: &mut Vec<Effect>) {
        let Some(round) = self.round.as_mut().filter(|r| r.number == number) else { return };
        let Step::Copying(epoch, copied) = &mut round.step else { return };
        copied.insert(from);
        if epoch.backups.iter().all(|node| copied.contains(node)) {
            self.on_all_copied(effects);
        }
    }

    fn on_all_copied(&mut self, effects: &mut Vec<Effect>) {
        let Some(round) = &mut self.round else { return };
        let Step::Copying(epoch, _) = &round.step else { return };
        let epoch = epoch.clone();
        round.step = Step::Accepting(epoch.clone(), BTreeSet::new());
        effects.push(Effect::PhaseAdvanced);
        let all: BTreeSet<Node> = epoch.core.iter().chain(&epoch.previous_core).copied().collect();
        for node in all {
            self.send(node.ip, PeerMessage::AcceptEpoch(epoch.clone()), effects);
        }
    }

    fn on_accepted(&mut self, from: Node, number: ProposalNumber, effects: &mut Vec<Effect>) {
        let Some(round) = self.round.as_mut().filter(|r| r.number == number) else { return };
        let Step::Accepting(epoch, accepted) = &mut round.step else { return };
        accepted.insert(from);
        let has_accepted = |node: &Node| accepted.contains(node);
        if !(is_majority(&epoch.core, has_accepted) && is_majority(&epoch.previous_core, has_accepted)) {
            return;
        }
        let backups = epoch.backups.clone();
        self.accepted_core_change = Some(number).filter(|_| epoch.core != epoch.previous_core);
        self.round = None;
        self.primary_state =
            Some(PrimaryState { number, backups, replicating: None, checks: BTreeMap::new() });
        effects.push(Effect::BecamePrimary(number));
        // All backups of the new epoch store the local state, and no later primary can lack it.
        if let Some(document) = self.document.clone() {
            self.learn_committed(document, effects);
        }
    }

    fn learn_committed(&mut self, document: Arc<Document>, effects: &mut Vec<Effect>) {
        if self.committed.as_ref().is_some_and(|newest| newest.version >= document.version) {
            return;
        }
        self.committed = Some(document.clone());
        if self.document == self.committed {
            effects.push(Effect::Persist(AfterWrite::Nothing));
        }
        effects.push(Effect::Committed(document));
    }

    /// Applies changes to the local state: versions that are free, and a newer configuration.
    fn apply(&mut self, changes: ChangeBatch) {
        let ledger = Arc::make_mut(&mut self.ledger);
        changes.entries.into_iter().for_each(|(version, digest)| ledger.record(version, digest));
        if let Some(document) = changes.document {
            if self.document.as_ref().is_none_or(|d| d.version < document.version) {
                self.document = Some(document);
            }
        }
    }

    /// As primary: replicates the changes whose versions are free to all backups, unless a
    /// replication is in progress. A change older than the stored configuration only adds to the
    /// ledger.
    pub fn replicate(&mut self, mut changes: ChangeBatch, effects: &mut Vec<Effect>) {
        let newest = self.document.as_ref().map(|d| d.version);
        changes.entries.retain(|version, _| self.ledger.lookup(*version) == VersionState::Free);
        let entries = &changes.entries;
        let newer = |d: &Arc<Document>| newest < Some(d.version) && entries.contains_key(&d.version);
        changes.document = changes.document.filter(newer);
        let Some(highest) = changes.highest() else { return };
        let Some(primary_state) = self.primary_state.as_mut().filter(|primary| primary.replicating.is_none())
        else {
            return;
        };
        let (number, backups) = (primary_state.number, primary_state.backups.clone());
        primary_state.replicating = Some((changes.clone(), BTreeSet::new()));
        for node in backups {
            self.send(node.ip, PeerMessage::Replicate(number, changes.change()), effects);
        }
        self.apply(changes);
        effects.push(Effect::Persist(AfterWrite::SendReplicated(self.me.ip, number, highest)));
        self.process_inbox(effects);
    }

    fn on_replicated(&mut self, from: Node, number: ProposalNumber, highest: u32, effects: &mut Vec<Effect>) {
        let Some(primary_state) = self.primary_state.as_mut().filter(|primary| primary.number == number)
        else {
            return;
        };
        let Some((_, stored)) =
            primary_state.replicating.as_mut().filter(|(changes, _)| changes.highest() == Some(highest))
        else {
            return;
        };
        stored.insert(from);
        if primary_state.backups.iter().chain([&self.me]).all(|node| stored.contains(node)) {
            let Some((changes, _)) = primary_state.replicating.take() else { return };
            if let Some(document) = changes.document {
                self.learn_committed(document, effects);
            }
            effects.push(Effect::VersionsCommitted(changes.entries));
        }
    }

    /// Sends again the requests that have no answer: they may have been lost with a connection. All
    /// messages are idempotent.
    pub fn resend(&mut self, effects: &mut Vec<Effect>) {
        let mut messages: Vec<(Ipv4Addr, PeerMessage)> = Vec::new();
        if let Some(Round { number, step, contacted, .. }) = &self.round {
            match step {
                Step::PersistingPromise => {}
                Step::Preparing(promises) => {
                    let left = contacted.iter().filter(|n| !promises.contains_key(n));
                    messages.extend(left.map(|n| (n.ip, PeerMessage::Prepare(*number))));
                }
                Step::Copying(..) => {
                    let left = self.uncopied_backups().into_iter();
                    messages.extend(
                        left.map(|n| (n.ip, PeerMessage::InstallSnapshot(*number, self.full_state()))),
                    );
                }
                Step::Accepting(epoch, accepted) => {
                    let all: BTreeSet<&Node> = epoch.core.iter().chain(&epoch.previous_core).collect();
                    let left = all.into_iter().filter(|n| !accepted.contains(n));
                    messages.extend(left.map(|n| (n.ip, PeerMessage::AcceptEpoch(epoch.clone()))));
                }
            }
        }
        if let Some(PrimaryState { number, replicating: Some((changes, _)), .. }) = &self.primary_state {
            let late = self.unreplicated_backups().into_iter();
            messages.extend(late.map(|n| (n.ip, PeerMessage::Replicate(*number, changes.change()))));
        }
        // Messages to this marker itself are not lost; they wait for the disk.
        let me = self.me.ip;
        effects.extend(
            messages.into_iter().filter(|(to, _)| *to != me).map(|(to, message)| Effect::Send(to, message)),
        );
    }

    /// As primary: starts or continues a check with the backups that no later epoch has confirmed
    /// anything newer.
    pub fn check(&mut self, nonce: u64, effects: &mut Vec<Effect>) {
        let Some(primary_state) = &mut self.primary_state else { return };
        let number = primary_state.number;
        let checked = primary_state.checks.entry(nonce).or_default();
        let left: Vec<Node> =
            primary_state.backups.iter().filter(|n| !checked.contains(n)).copied().collect();
        if left.is_empty() {
            primary_state.checks.remove(&nonce);
            effects.push(Effect::CheckPassed(nonce));
        }
        while primary_state.checks.len() > CHECKS_MAX {
            primary_state.checks.pop_first();
        }
        for node in left {
            self.send(node.ip, PeerMessage::ConfirmEpoch(number, nonce), effects);
        }
        self.process_inbox(effects);
    }

    fn on_checked(&mut self, from: Node, number: ProposalNumber, nonce: u64, effects: &mut Vec<Effect>) {
        let Some(primary_state) = self.primary_state.as_mut().filter(|primary| primary.number == number)
        else {
            return;
        };
        let Some(checked) = primary_state.checks.get_mut(&nonce) else { return };
        checked.insert(from);
        if primary_state.backups.iter().all(|node| checked.contains(node)) {
            primary_state.checks.remove(&nonce);
            effects.push(Effect::CheckPassed(nonce));
        }
    }
}
