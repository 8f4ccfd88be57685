//! Exhaustive model check of the agreement: explores the production state machine, which uses no
//! clock, under every order of events.
//!
//! The models have three markers with one loss to tolerate; a fourth marker that waits outside and
//! replaces a member or is added; and five markers with two losses. A message that was sent stays
//! in the network: it can be delivered in any order, any number of times or never, also long after
//! its sender restarted. Loss, duplication, delay, partitions and freezes are thereby covered; only
//! messages that can have no effect any more are dropped. A write is on disk at once or, for one
//! marker at a time, at any later time and, on a power loss, never. Rounds may start at any time,
//! with any choice of backups. The numbers of rounds, versions, power losses and lost data
//! directories are bounded.
//!
//! For each rule there is a variant that breaks it, by altering inputs or outputs, which the
//! checker must detect.

use granitelead_control_protocol::ledger::VersionState;
use granitelead_control_protocol::messages::{
    Digest, Document, Epoch, Ledger, Node, PeerMessage, ProposalNumber, Snapshot,
};
use marker::agreement::{AfterWrite, Agreement, ChangeBatch, Effect};
use marker::core::initial_state;
use marker::parts::Keeping;
use stateright::{Checker, Model, Property};
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::sync::Arc;

/// How a round changes the core.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Change {
    /// No change, except that a marker which lost its data directory gets its new identity.
    None,
    /// The last marker, which waits outside, replaces this member.
    Replace(usize),
    /// The last marker is added.
    Add,
}

/// The initial state of the exploration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Start {
    /// All markers have empty state.
    Empty,
    /// The first marker is primary and has confirmed a configuration.
    HasPrimary,
    /// As `HasPrimary`, and the primary then starts this change of the core: only it has accepted the new
    /// epoch so far, and its requests to the others are in the network.
    ChangingCore(Change),
}

/// The rule that a variant breaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mutation {
    None,
    /// The primary confirms before its backup stores the configuration.
    ConfirmsBeforeReplication,
    /// A power loss erases the promise.
    LosesPromises,
    /// A marker that lost its data directory returns under its old identity.
    KeepsIdentity,
    /// A read is answered without a check with the backups.
    ReadsWithoutCheck,
    /// Prepare requests are sent before the own promise is on disk.
    PreparesBeforeWrite,
    /// A repeated copy of a round overwrites the state like the first.
    AppliesRepeatedCopy,
    /// One acceptance counts as acceptance by the whole core.
    AcceptedByOne,
    /// A marker that lacks the committed state can win a round.
    AnyMarkerWins,
    /// The previous core is dropped before a majority of it has accepted the change.
    DropsPreviousCore,
    /// A copy contains the configuration without the version ledger.
    CopiesWithoutLedger,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    markers: Vec<Arc<Agreement>>,
    disks: Vec<DiskState>,
    /// Writes that are not on disk yet, with the actions that follow them.
    writes: Vec<Option<(DiskState, BTreeSet<AfterWrite>)>>,
    /// The backups that each marker chooses, as a bit mask, and its change of the core.
    choices: Vec<(u8, Change)>,
    network: BTreeSet<(Node, usize, Arc<PeerMessage>)>,
    rounds_started: u8,
    core_changes: u8,
    power_losses: u8,
    wipes: u8,
    changes_sent: u32,
    superseded: u8,
    /// The newest confirmed version, and the content confirmed under each version.
    confirmed_version: u32,
    contents: BTreeMap<u32, Digest>,
    primaries: BTreeMap<ProposalNumber, Node>,
    /// A read in progress: its marker, and the newest version confirmed before it began.
    read: Option<(usize, u32)>,
    read_done: bool,
    violation: Option<&'static str>,
}

/// The part of [`Keeping`] that the agreement uses, in a hashable form.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct DiskState(
    Node,
    ProposalNumber,
    ProposalNumber,
    Option<Epoch>,
    Option<Arc<Document>>,
    Option<u32>,
    Arc<Ledger>,
);

impl From<Keeping> for DiskState {
    fn from(k: Keeping) -> DiskState {
        DiskState(k.node, k.promised, k.copied, k.epoch, k.document, k.sure, k.ledger)
    }
}

impl From<DiskState> for Keeping {
    fn from(state: DiskState) -> Keeping {
        let DiskState(node, promised, copied, epoch, document, sure, ledger) = state;
        Keeping { node, promised, copied, epoch, document, ledger, sure, ballots: BTreeMap::new() }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Event {
    StartRound {
        marker: usize,
        backups: u8,
        change: Change,
    },
    Put(usize),
    /// A change to a version that is already superseded, with a new content.
    PutSuperseded(usize),
    Read(usize),
    Written(usize),
    PowerLost(usize),
    Wiped(usize),
    Deliver(Node, usize, Arc<PeerMessage>),
}

#[derive(Clone, Copy, Debug)]
struct Scenario {
    mutation: Mutation,
    /// The marker whose writes are delayed; those of the others complete at once.
    slow_disk: Option<usize>,
    start: Start,
    /// The number of markers, and how many of them are founding members.
    markers: usize,
    founders: usize,
    /// The number of losses to tolerate, which is the number of backups.
    losses: u32,
    changes: u8,
    /// The markers that start rounds.
    initiators: &'static [usize],
    rounds: u8,
    versions: u32,
    /// The number of changes under version 0, which the first configuration supersedes.
    superseded: u8,
    power_losses: u8,
    wipes: u8,
    reads: bool,
}

fn marker_mut(world: &mut World, n: usize) -> &mut Agreement {
    Arc::make_mut(&mut world.markers[n])
}

fn ip(marker: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, 1 + marker as u8)
}

impl Scenario {
    /// Carries out the effects of an event at a marker.
    fn apply_effects(&self, world: &mut World, n: usize, effects: Vec<Effect>) {
        let mut effects = std::collections::VecDeque::from(effects);
        while let Some(effect) = effects.pop_front() {
            let mut more = Vec::new();
            match effect {
                Effect::Send(to, message) => {
                    let to = (0..self.markers).find(|m| ip(*m) == to).unwrap();
                    let me = world.markers[n].me();
                    match (&message, self.mutation) {
                        (PeerMessage::Replicate(number, change), Mutation::ConfirmsBeforeReplication) => {
                            let held =
                                PeerMessage::Replicated(*number, *change.entries.keys().next_back().unwrap());
                            let backup = world.markers[n].leadership().unwrap().1[0];
                            marker_mut(world, n).on_message(backup, held, &mut more);
                        }
                        (PeerMessage::AcceptEpoch(epoch), Mutation::AcceptedByOne) => {
                            let number = epoch.number;
                            for node in epoch.core.clone() {
                                marker_mut(world, n).on_message(
                                    node,
                                    PeerMessage::EpochAccepted(number),
                                    &mut more,
                                );
                            }
                        }
                        _ => {}
                    }
                    world.network.insert((me, to, Arc::new(message)));
                }
                Effect::Persist(action) => {
                    if let (AfterWrite::SendPrepare(_), Mutation::PreparesBeforeWrite) =
                        (&action, self.mutation)
                    {
                        marker_mut(world, n).on_written(action.clone(), &mut more);
                    }
                    let state = world.markers[n].persistent_state().into();
                    if self.slow_disk != Some(n) {
                        world.disks[n] = state;
                        marker_mut(world, n).on_written(action, &mut more);
                        more.into_iter().rev().for_each(|effect| effects.push_front(effect));
                        continue;
                    }
                    let actions = world.writes[n].take().map(|(_, actions)| actions).unwrap_or_default();
                    world.writes[n] = Some((state, actions.into_iter().chain([action]).collect()));
                }
                Effect::ChooseEpoch { number, newest, willing } => {
                    if world.primaries.keys().any(|led| newest.number < *led && *led < number) {
                        world.violation = Some("a round skipped an epoch that had a primary");
                    }
                    if let Some(next) = self.next_epoch(world, n, number, &newest, &willing) {
                        marker_mut(world, n).choose_epoch(next, &mut more);
                    }
                }
                Effect::BecamePrimary(number) => {
                    let holds = world.markers[n].document().map_or(0, |d| d.version);
                    // A late message about a superseded epoch is harmless: nothing more is answered
                    // in it.
                    let newest = world.primaries.keys().all(|other| *other <= number);
                    if newest && holds < world.confirmed_version {
                        world.violation = Some("a primary lacks a confirmed configuration");
                    }
                    let ledger = world.markers[n].ledger();
                    let lacks = |(version, digest): (&u32, &Digest)| {
                        ledger.lookup(*version) != VersionState::Content(*digest)
                    };
                    if newest && world.contents.iter().any(lacks) {
                        world.violation = Some("a primary lacks the content of a confirmed version");
                    }
                    let other = *world.primaries.entry(number).or_insert(world.markers[n].me());
                    if other != world.markers[n].me() {
                        world.violation = Some("two primaries in one epoch");
                    }
                }
                Effect::Committed(document) => self.on_confirmed(world, n, &document),
                Effect::VersionsCommitted(entries) => {
                    entries
                        .into_iter()
                        .for_each(|(version, digest)| record_confirmed(world, version, digest));
                }
                Effect::CheckPassed(_) => {
                    let read = world.markers[n].committed().map_or(0, |d| d.version);
                    if let Some((_, since)) = world.read.take().filter(|(at, _)| *at == n) {
                        world.read_done = true;
                        if read < since {
                            world.violation = Some("a read returned an outdated configuration");
                        }
                    }
                }
                Effect::PhaseAdvanced | Effect::RoundFailed | Effect::SteppedDown(_) => {}
            }
            more.into_iter().rev().for_each(|effect| effects.push_front(effect));
        }
    }

    fn on_confirmed(&self, world: &mut World, n: usize, document: &Document) {
        let Some((number, _)) = world.markers[n].leadership() else { return };
        let version = document.version;
        record_confirmed(world, version, digest(document.bytes[0]));
        let later = |m: &&Arc<Agreement>| m.leadership().is_some_and(|(other, _)| other > number);
        let lacks = |m: &Arc<Agreement>| m.document().is_none_or(|d| d.version < version);
        if world.markers.iter().filter(later).any(lacks) {
            world.violation = Some("confirmed in a superseded epoch");
        }
        world.confirmed_version = world.confirmed_version.max(version);
    }

    /// The next epoch, with the chosen backups. A marker that lost its data directory replaces its
    /// old identity.
    fn next_epoch(
        &self,
        world: &World,
        n: usize,
        number: ProposalNumber,
        newest: &Epoch,
        willing: &BTreeSet<Node>,
    ) -> Option<Epoch> {
        let me = world.markers[n].me();
        let (wanted, change) = world.choices[n];
        let mut core = newest.core.clone();
        let now = |node: &Node| world.markers.iter().map(|m| m.me()).find(|m| m.ip == node.ip);
        let waits = world.markers[self.markers - 1].me();
        if newest.core == newest.previous_core {
            if let Some(place) = core.iter().position(|node| now(node) != Some(*node)) {
                core[place] = now(&core[place])?;
            } else if !core.contains(&waits) {
                match change {
                    Change::None => {}
                    Change::Replace(other) => {
                        let place = core.iter().position(|node| node.ip == ip(other))?;
                        core[place] = waits;
                    }
                    Change::Add => core.push(waits),
                }
            }
            core.sort();
        }
        let taken = |node: &&Node| (0..self.markers).any(|m| wanted & 1 << m != 0 && ip(m) == node.ip);
        let backups: Vec<Node> = core.iter().filter(taken).copied().collect();
        let enough = backups.len() as u32 == wanted.count_ones();
        (enough && backups.iter().all(|node| willing.contains(node))).then(|| Epoch {
            number,
            core,
            previous_core: newest.core.clone(),
            primary: Some(me),
            backups,
        })
    }

    /// All sets of backups that a marker can choose, as bit masks.
    fn choices(&self, n: usize) -> impl Iterator<Item = u8> + '_ {
        (0..1 << self.markers)
            .filter(move |backups: &u8| backups & 1 << n == 0 && backups.count_ones() == self.losses)
    }

    /// Delivers every message until nothing changes any more.
    fn deliver_all(&self, mut world: World) -> World {
        while let Some(next) = world.network.iter().find_map(|(from, n, message)| {
            self.next_state(&world, Event::Deliver(*from, *n, message.clone()))
        }) {
            world = next;
        }
        world
    }

    fn step(&self, world: &mut World, n: usize, take: impl FnOnce(&mut Agreement, &mut Vec<Effect>)) {
        let mut effects = Vec::new();
        take(marker_mut(world, n), &mut effects);
        self.apply_effects(world, n, effects);
    }

    /// Restarts a marker from its disk.
    fn restart(&self, world: &mut World, n: usize) {
        world.writes[n] = None;
        if self.mutation == Mutation::LosesPromises {
            world.disks[n].1 = ProposalNumber::default();
        }
        world.markers[n] = Arc::new(Agreement::new(world.disks[n].clone().into()));
        if world.read.is_some_and(|(at, _)| at == n) {
            world.read = None;
        }
    }
}

fn record_confirmed(world: &mut World, version: u32, digest: Digest) {
    if *world.contents.entry(version).or_insert(digest) != digest {
        world.violation = Some("two contents were confirmed under one version");
    }
}

/// Replaces the real hash, which would cost time and add nothing to the model.
fn digest(content: u8) -> Digest {
    Digest([content; 16])
}

/// A batch with one change.
fn change_batch(version: u32, content: u8) -> ChangeBatch {
    let document = Document { version, bytes: vec![content] };
    let mut changes = ChangeBatch::default();
    changes.add(&Arc::new(document), digest(content));
    changes
}

/// Whether a message can still have an effect at its recipient. Requests below a persisted promise
/// are refused forever, and responses to finished requests are ignored.
fn is_relevant(marker: &Agreement, disk: &DiskState, message: &PeerMessage) -> bool {
    let waits = |number| {
        marker.round_in_progress() == Some(number) || marker.leadership().is_some_and(|(n, _)| n == number)
    };
    match message {
        PeerMessage::Prepare(n)
        | PeerMessage::InstallSnapshot(n, _)
        | PeerMessage::Replicate(n, _)
        | PeerMessage::ConfirmEpoch(n, _) => *n >= disk.1,
        PeerMessage::AcceptEpoch(epoch) => epoch.number >= disk.1,
        PeerMessage::Promise(n, _) | PeerMessage::SnapshotInstalled(n) | PeerMessage::EpochAccepted(n) => {
            marker.round_in_progress() == Some(*n)
        }
        PeerMessage::Replicated(n, _) | PeerMessage::EpochConfirmed(n, _) => waits(*n),
        // It only makes its recipient abandon a round or an epoch that can't succeed.
        _ => false,
    }
}

impl Model for Scenario {
    type State = World;
    type Action = Event;

    fn init_states(&self) -> Vec<World> {
        let seeds: Vec<Ipv4Addr> = (0..self.founders).map(ip).collect();
        let first = |n: usize| initial_state(ip(n), &seeds, n < self.founders, 0);
        let disks: Vec<DiskState> = (0..self.markers).map(|n| first(n).into()).collect();
        let markers = disks.iter().map(|disk| Arc::new(Agreement::new(disk.clone().into()))).collect();
        let mut world = World {
            markers,
            disks,
            writes: vec![None; self.markers],
            choices: vec![(0, Change::None); self.markers],
            network: BTreeSet::new(),
            rounds_started: 0,
            core_changes: 0,
            power_losses: 0,
            wipes: 0,
            changes_sent: 0,
            superseded: 0,
            confirmed_version: 0,
            contents: BTreeMap::new(),
            primaries: BTreeMap::new(),
            read: None,
            read_done: false,
            violation: None,
        };
        let plain = Scenario { slow_disk: None, mutation: Mutation::None, ..*self };
        let backups = (1 << (self.losses + 1)) - 2;
        if self.start != Start::Empty {
            for event in [Event::StartRound { marker: 0, backups, change: Change::None }, Event::Put(0)] {
                world = plain.deliver_all(plain.next_state(&world, event).unwrap());
            }
            assert_eq!((world.confirmed_version, world.changes_sent), (1, 1));
        }
        if let Start::ChangingCore(change) = self.start {
            world = plain.next_state(&world, Event::StartRound { marker: 0, backups, change }).unwrap();
            while !world
                .network
                .iter()
                .any(|(_, _, message)| matches!(**message, PeerMessage::AcceptEpoch(_)))
            {
                let next = |(from, n, message): &(Node, usize, Arc<PeerMessage>)| {
                    plain.next_state(&world, Event::Deliver(*from, *n, message.clone()))
                };
                world = world.network.iter().find_map(next).unwrap();
            }
            world.rounds_started = 1;
        }
        vec![world]
    }

    fn actions(&self, world: &World, actions: &mut Vec<Event>) {
        for n in 0..self.markers {
            // The first round always starts at marker 0; the others are symmetric.
            if world.rounds_started < self.rounds
                && (world.rounds_started > 0 || n == 0)
                && self.initiators.contains(&n)
            {
                let mut changes = vec![Change::None];
                if world.core_changes < self.changes {
                    let others = (0..self.founders).filter(|m| *m != n);
                    changes.extend(others.map(Change::Replace).chain([Change::Add]));
                }
                for backups in self.choices(n).filter(|backups| world.rounds_started > 0 || *backups == 2) {
                    actions.extend(changes.iter().map(|change| Event::StartRound {
                        marker: n,
                        backups,
                        change: *change,
                    }));
                }
            }
            if world.writes[n].is_some() {
                actions.push(Event::Written(n));
            }
            if world.power_losses < self.power_losses && world.rounds_started > 0 {
                actions.push(Event::PowerLost(n));
            }
            if world.wipes < self.wipes && world.confirmed_version > 0 {
                actions.push(Event::Wiped(n));
            }
            let leads = world.markers[n].leadership().is_some();
            if leads && world.changes_sent < self.versions && !world.markers[n].is_replicating() {
                actions.push(Event::Put(n));
            }
            if leads && world.superseded < self.superseded && !world.markers[n].is_replicating() {
                actions.push(Event::PutSuperseded(n));
            }
            if leads && self.reads && world.read.is_none() && !world.read_done && world.confirmed_version > 0
            {
                actions.push(Event::Read(n));
            }
        }
        actions.extend(
            world.network.iter().map(|(from, to, message)| Event::Deliver(*from, *to, message.clone())),
        );
    }

    fn next_state(&self, world: &World, event: Event) -> Option<World> {
        let mut next = world.clone();
        match event {
            Event::StartRound { marker, backups, change } => {
                next.choices[marker] = (backups, change);
                next.rounds_started += 1;
                next.core_changes += u8::from(change != Change::None);
                self.step(&mut next, marker, |a, effects| {
                    a.begin_round(effects);
                });
            }
            Event::Put(n) => {
                next.changes_sent += 1;
                // Two operators that send concurrently may use one version for two contents.
                let version = next.markers[n].document().map_or(0, |d| d.version) + 1;
                let changes = change_batch(version, next.changes_sent as u8);
                self.step(&mut next, n, |a, effects| a.replicate(changes, effects));
            }
            Event::PutSuperseded(n) => {
                next.superseded += 1;
                let changes = change_batch(0, 100 + next.superseded);
                self.step(&mut next, n, |a, effects| a.replicate(changes, effects));
            }
            Event::Read(n) => {
                next.read = Some((n, world.confirmed_version));
                if self.mutation == Mutation::ReadsWithoutCheck {
                    self.apply_effects(&mut next, n, vec![Effect::CheckPassed(1)]);
                } else {
                    self.step(&mut next, n, |a, effects| a.check(1, effects));
                }
            }
            Event::Written(n) => {
                let (state, actions) = next.writes[n].take()?;
                next.disks[n] = state;
                for action in actions {
                    self.step(&mut next, n, |a, effects| a.on_written(action, effects));
                }
            }
            Event::PowerLost(n) => {
                next.power_losses += 1;
                self.restart(&mut next, n);
            }
            Event::Wiped(n) => {
                next.wipes += 1;
                let seeds: Vec<Ipv4Addr> = (0..self.founders).map(ip).collect();
                let drawn = u64::from(next.wipes);
                next.disks[n] =
                    initial_state(ip(n), &seeds, self.mutation == Mutation::KeepsIdentity, drawn).into();
                self.restart(&mut next, n);
            }
            Event::Deliver(from, n, message) => match (self.mutation, &*message) {
                (Mutation::AppliesRepeatedCopy, PeerMessage::InstallSnapshot(..)) => {
                    let keeping =
                        Keeping { copied: ProposalNumber::default(), ..next.markers[n].persistent_state() };
                    next.markers[n] = Arc::new(Agreement::new(keeping));
                    self.step(&mut next, n, |a, effects| {
                        a.on_message(from, PeerMessage::clone(&message), effects)
                    });
                }
                (Mutation::DropsPreviousCore, PeerMessage::Promise(number, Some(epoch))) => {
                    let epoch = Epoch { previous_core: epoch.core.clone(), ..epoch.clone() };
                    let message = PeerMessage::Promise(*number, Some(epoch));
                    self.step(&mut next, n, |a, effects| a.on_message(from, message, effects));
                }
                (
                    Mutation::CopiesWithoutLedger,
                    PeerMessage::InstallSnapshot(number, Snapshot { document, .. }),
                ) => {
                    let whole = Snapshot { document: document.clone(), ledger: Ledger::default() };
                    self.step(&mut next, n, |a, effects| {
                        a.on_message(from, PeerMessage::InstallSnapshot(*number, whole), effects)
                    });
                }
                (Mutation::AnyMarkerWins, PeerMessage::Promise(number, Some(epoch))) => {
                    let me = next.markers[n].me();
                    let mut epoch = epoch.clone();
                    epoch.backups.push(me);
                    let message = PeerMessage::Promise(*number, Some(epoch));
                    self.step(&mut next, n, |a, effects| a.on_message(from, message, effects));
                }
                _ => self.step(&mut next, n, |a, effects| {
                    a.on_message(from, PeerMessage::clone(&message), effects)
                }),
            },
        }
        let World { network, markers, disks, .. } = &mut next;
        network.retain(|(_, to, message)| is_relevant(&markers[*to], &disks[*to], message));
        (next != *world).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no rule is violated", |_, world: &World| world.violation.is_none()),
            Property::sometimes("a configuration is confirmed", |_, world: &World| {
                world.confirmed_version > 0
            }),
            Property::sometimes("a second epoch has a primary", |_, world: &World| world.primaries.len() > 1),
        ]
    }
}

/// Explores the whole state space. Returns the number of states, and the first violation with the
/// shortest trace to it.
fn explore(scenario: Scenario) -> (usize, Option<String>) {
    let checker = scenario.checker().threads(8).spawn_bfs().join();
    let violation = checker.discovery("no rule is violated").map(|path| {
        let why = path.last_state().violation.unwrap_or_default();
        let trace = path.into_actions().into_iter().map(|event| format!("{event:?}\n")).collect::<String>();
        format!("{why}:\n{trace}")
    });
    assert!(checker.discovery("a configuration is confirmed").is_some());
    if violation.is_none() {
        assert!(checker.discovery("a second epoch has a primary").is_some());
    }
    println!("{scenario:?}: {} states", checker.unique_state_count());
    (checker.unique_state_count(), violation)
}

const BASE: Scenario = Scenario {
    mutation: Mutation::None,
    slow_disk: None,
    start: Start::HasPrimary,
    markers: 3,
    founders: 3,
    losses: 1,
    changes: 0,
    initiators: &[0, 1, 2],
    rounds: 3,
    versions: 2,
    superseded: 0,
    power_losses: 1,
    wipes: 0,
    reads: false,
};

/// The same with a fourth marker that waits outside.
const FOUR_MARKERS: Scenario = Scenario { markers: 4, power_losses: 0, ..BASE };
/// The fourth marker replaces a member that is considered lost but is alive.
const CHANGING: Start = Start::ChangingCore(Change::Replace(2));

#[test]
fn no_rule_is_violated_in_any_order_of_events() {
    for (scenario, least) in [
        // A power loss, two takeovers and a read.
        (Scenario { reads: true, ..BASE }, 300_000),
        // All three start from empty state, and two win their first rounds.
        (Scenario { start: Start::Empty, versions: 1, power_losses: 0, ..BASE }, 100_000),
        // The disk of the primary, then that of its backup, is slow.
        (Scenario { slow_disk: Some(0), ..BASE }, 400_000),
        (Scenario { slow_disk: Some(1), ..BASE }, 800_000),
        // A data directory is lost, and there is a power loss.
        (Scenario { wipes: 1, ..BASE }, 2_000_000),
        // A fourth marker replaces a member or is added; another marker starts the next change.
        (Scenario { rounds: 3, changes: 1, versions: 1, initiators: &[0, 1], ..FOUR_MARKERS }, 140_000),
        // Few markers have accepted a change; the marker that takes over loses power, and its disk
        // is slow.
        (
            Scenario {
                start: CHANGING,
                rounds: 3,
                versions: 1,
                initiators: &[1],
                power_losses: 1,
                slow_disk: Some(1),
                ..FOUR_MARKERS
            },
            700_000,
        ),
        // Five markers, two losses to tolerate, any two as backups.
        (
            Scenario {
                markers: 5,
                founders: 5,
                losses: 2,
                rounds: 2,
                versions: 1,
                initiators: &[1],
                power_losses: 0,
                ..BASE
            },
            7_000,
        ),
        // Two contents under one version that is already superseded.
        (Scenario { versions: 1, superseded: 2, ..BASE }, 100_000),
    ] {
        let (states, violation) = explore(scenario);
        assert_eq!(violation, None, "{scenario:?}");
        assert!(states > least, "{scenario:?}: only {states} states");
    }
}

#[test]
fn breaking_any_single_rule_is_detected() {
    for scenario in [
        Scenario { mutation: Mutation::ConfirmsBeforeReplication, ..BASE },
        Scenario { mutation: Mutation::LosesPromises, ..BASE },
        Scenario { mutation: Mutation::KeepsIdentity, wipes: 1, ..BASE },
        Scenario { mutation: Mutation::ReadsWithoutCheck, reads: true, ..BASE },
        Scenario { mutation: Mutation::AppliesRepeatedCopy, ..BASE },
        Scenario { mutation: Mutation::AcceptedByOne, ..BASE },
        Scenario { mutation: Mutation::AnyMarkerWins, ..BASE },
        Scenario {
            mutation: Mutation::DropsPreviousCore,
            start: CHANGING,
            versions: 1,
            initiators: &[0, 1],
            ..FOUR_MARKERS
        },
        Scenario { mutation: Mutation::CopiesWithoutLedger, superseded: 2, ..BASE },
        Scenario {
            mutation: Mutation::PreparesBeforeWrite,
            slow_disk: Some(0),
            initiators: &[0],
            rounds: 4,
            ..BASE
        },
    ] {
        let (_, violation) = explore(scenario);
        assert!(violation.is_some(), "{scenario:?}: the checker found no violation");
    }
}
