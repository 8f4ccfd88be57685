//! The agreement of the core in every order of events, exhaustively: the very code that runs, without time.
//!
//! Three markers, one loss to be borne; also with a fourth that waits outside and takes a place, or one more; also five
//! with two losses. What was said is never taken back: any word comes in any order, any number of
//! times or never, also long after its sender has started again, so loss, doubles, delays, cuts and freezes are all
//! among the orders; only what can change nothing any more is left out. A write is on disk at once or, for one marker at
//! a time, at any later time and, where power is lost, never. Rounds may begin at any time, with either of the others
//! as backup; how many there are of rounds, versions, losses of power and of folders is bounded.
//!
//! Each rule has a variant that breaks it, by tampering with what goes in or comes out, and is caught.

use granitelead_control_protocol::ledger::VersionState;
use granitelead_control_protocol::messages::{
    Digest, Document, Epoch, Ledger, Node, PeerMessage, ProposalNumber, Snapshot,
};
use marker::agreement::{Act, Agreement, Orders, Then};
use marker::core::begin;
use marker::parts::Keeping;
use stateright::{Checker, Model, Property};
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::sync::Arc;

/// How a round changes the core, if it may.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Change {
    /// Not, but for a folder that was lost.
    Nothing,
    /// The last marker, which waits outside, takes the place of this one.
    InPlaceOf(usize),
    /// It is one more.
    OneMore,
}

/// Where all begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Start {
    /// From nothing.
    Nothing,
    /// From a primary, the first, that has answered.
    Led,
    /// The same, and it goes on to change the core so; only it keeps that epoch yet, and all others may hear of it.
    Changing(Change),
}

/// How a rule is broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Broken {
    Nothing,
    /// The primary answers before its backup holds the configuration.
    AnswersEarly,
    /// What was promised is forgotten where power is lost.
    ForgetsPromises,
    /// One whose folder was lost comes back as if it were the same.
    KeepsItsName,
    /// A read is answered without asking the backups.
    ReadsAtOnce,
    /// Others are asked to promise before the own promise is on disk.
    AsksEarly,
    /// A second copy of a round is taken in like the first.
    CopiesAgain,
    /// An epoch counts as kept by the core when one keeps it.
    KeptByOne,
    /// Whoever asks takes over, also one that holds nothing.
    AnybodyLeads,
    /// The core before a change is left behind before most of it has kept the change.
    LeavesBehind,
    /// A copy hands over the configuration only, and not which content each number stands for.
    CopiesNoLedger,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    markers: Vec<Arc<Agreement>>,
    disks: Vec<Kept>,
    /// Writes that are not on disk yet, with what is done after.
    writes: Vec<Option<(Kept, BTreeSet<Then>)>>,
    /// Whom each takes as backups, a bit a marker, and how it changes the core.
    takes: Vec<(u8, Change)>,
    said: BTreeSet<(Node, usize, Arc<PeerMessage>)>,
    begun: u8,
    changed: u8,
    lost_power: u8,
    wiped: u8,
    put: u32,
    overtaken: u8,
    /// The newest version that was answered for, and what was confirmed under each.
    answered: u32,
    contents: BTreeMap<u32, Digest>,
    primaries: BTreeMap<ProposalNumber, Node>,
    /// A read under way: where, and what had been answered for when it was begun.
    reads: Option<(usize, u32)>,
    has_read: bool,
    wrong: Option<&'static str>,
}

/// [`Keeping`] as far as the agreement goes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Kept(
    Node,
    ProposalNumber,
    ProposalNumber,
    Option<Epoch>,
    Option<Arc<Document>>,
    Option<u32>,
    Arc<Ledger>,
);

impl From<Keeping> for Kept {
    fn from(k: Keeping) -> Kept {
        Kept(k.node, k.promised, k.copied, k.epoch, k.document, k.sure, k.ledger)
    }
}

impl From<Kept> for Keeping {
    fn from(kept: Kept) -> Keeping {
        let Kept(node, promised, copied, epoch, document, sure, ledger) = kept;
        Keeping { node, promised, copied, epoch, document, ledger, sure, ballots: BTreeMap::new() }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Event {
    Begin {
        marker: usize,
        takes: u8,
        change: Change,
    },
    Put(usize),
    /// An order that was overtaken before it came, with a content of its own.
    Overtaken(usize),
    Read(usize),
    Written(usize),
    PowerLost(usize),
    Wiped(usize),
    Comes(Node, usize, Arc<PeerMessage>),
}

#[derive(Clone, Copy, Debug)]
struct Core {
    broken: Broken,
    /// Whose writes are on disk some time later; the others' are at once.
    late: Option<usize>,
    start: Start,
    /// How many there are, and how many of them found the core.
    markers: usize,
    founders: usize,
    /// How many of the core may be lost: so many backups.
    losses: u32,
    changes: u8,
    /// Who begins rounds.
    begin: &'static [usize],
    rounds: u8,
    versions: u32,
    /// Orders under number 0, which the first configuration has overtaken.
    overtaken: u8,
    powers: u8,
    wipes: u8,
    reads: bool,
}

fn at(world: &mut World, n: usize) -> &mut Agreement {
    Arc::make_mut(&mut world.markers[n])
}

fn ip(marker: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, 1 + marker as u8)
}

impl Core {
    /// Does what follows from an event at a marker.
    fn follow(&self, world: &mut World, n: usize, acts: Vec<Act>) {
        let mut acts = std::collections::VecDeque::from(acts);
        while let Some(act) = acts.pop_front() {
            let mut more = Vec::new();
            match act {
                Act::Say(to, word) => {
                    let to = (0..self.markers).find(|m| ip(*m) == to).unwrap();
                    let me = world.markers[n].me();
                    match (&word, self.broken) {
                        (PeerMessage::Replicate(number, change), Broken::AnswersEarly) => {
                            let held =
                                PeerMessage::Replicated(*number, *change.entries.keys().next_back().unwrap());
                            let backup = world.markers[n].leads().unwrap().1[0];
                            at(world, n).take(backup, held, &mut more);
                        }
                        (PeerMessage::AcceptEpoch(epoch), Broken::KeptByOne) => {
                            let number = epoch.number;
                            for node in epoch.core.clone() {
                                at(world, n).take(node, PeerMessage::EpochAccepted(number), &mut more);
                            }
                        }
                        _ => {}
                    }
                    world.said.insert((me, to, Arc::new(word)));
                }
                Act::Keep(then) => {
                    if let (Then::Ask(_), Broken::AsksEarly) = (&then, self.broken) {
                        at(world, n).written(then.clone(), &mut more);
                    }
                    let kept = world.markers[n].keeping().into();
                    if self.late != Some(n) {
                        world.disks[n] = kept;
                        at(world, n).written(then, &mut more);
                        more.into_iter().rev().for_each(|act| acts.push_front(act));
                        continue;
                    }
                    let thens = world.writes[n].take().map(|(_, thens)| thens).unwrap_or_default();
                    world.writes[n] = Some((kept, thens.into_iter().chain([then]).collect()));
                }
                Act::Choose { number, newest, willing } => {
                    if world.primaries.keys().any(|led| newest.number < *led && *led < number) {
                        world.wrong = Some("an epoch that led is passed over");
                    }
                    if let Some(next) = self.next(world, n, number, &newest, &willing) {
                        at(world, n).copy(next, &mut more);
                    }
                }
                Act::Leads(number) => {
                    let holds = world.markers[n].document().map_or(0, |d| d.version);
                    // Late news of an epoch that is over does no harm: nothing more is answered in it.
                    let newest = world.primaries.keys().all(|other| *other <= number);
                    if newest && holds < world.answered {
                        world.wrong = Some("a primary lacks what was answered for");
                    }
                    let ledger = world.markers[n].ledger();
                    let lacks = |(version, digest): (&u32, &Digest)| {
                        ledger.lookup(*version) != VersionState::Content(*digest)
                    };
                    if newest && world.contents.iter().any(lacks) {
                        world.wrong = Some("a primary lacks which content a number stands for");
                    }
                    let other = *world.primaries.entry(number).or_insert(world.markers[n].me());
                    if other != world.markers[n].me() {
                        world.wrong = Some("two primaries in one epoch");
                    }
                }
                Act::Safe(document) => self.answered(world, n, &document),
                Act::Entered(entries) => {
                    entries.into_iter().for_each(|(version, digest)| confirmed(world, version, digest));
                }
                Act::Certain(_) => {
                    let read = world.markers[n].sure().map_or(0, |d| d.version);
                    if let Some((_, since)) = world.reads.take().filter(|(at, _)| *at == n) {
                        world.has_read = true;
                        if read < since {
                            world.wrong = Some("an old read");
                        }
                    }
                }
                Act::GoesOn | Act::Failed | Act::Deposed(_) => {}
            }
            more.into_iter().rev().for_each(|act| acts.push_front(act));
        }
    }

    fn answered(&self, world: &mut World, n: usize, document: &Document) {
        let Some((number, _)) = world.markers[n].leads() else { return };
        let version = document.version;
        confirmed(world, version, digest(document.bytes[0]));
        let later = |m: &&Arc<Agreement>| m.leads().is_some_and(|(other, _)| other > number);
        let lacks = |m: &Arc<Agreement>| m.document().is_none_or(|d| d.version < version);
        if world.markers.iter().filter(later).any(lacks) {
            world.wrong = Some("answered in an epoch that was over");
        }
        world.answered = world.answered.max(version);
    }

    /// The epoch that follows: whoever is wanted as backup, and one with a new folder in the place of what it was.
    fn next(
        &self,
        world: &World,
        n: usize,
        number: ProposalNumber,
        newest: &Epoch,
        willing: &BTreeSet<Node>,
    ) -> Option<Epoch> {
        let me = world.markers[n].me();
        let (takes, change) = world.takes[n];
        let mut core = newest.core.clone();
        let now = |node: &Node| world.markers.iter().map(|m| m.me()).find(|m| m.ip == node.ip);
        let waits = world.markers[self.markers - 1].me();
        if newest.core == newest.previous_core {
            if let Some(place) = core.iter().position(|node| now(node) != Some(*node)) {
                core[place] = now(&core[place])?;
            } else if !core.contains(&waits) {
                match change {
                    Change::Nothing => {}
                    Change::InPlaceOf(other) => {
                        let place = core.iter().position(|node| node.ip == ip(other))?;
                        core[place] = waits;
                    }
                    Change::OneMore => core.push(waits),
                }
            }
            core.sort();
        }
        let taken = |node: &&Node| (0..self.markers).any(|m| takes & 1 << m != 0 && ip(m) == node.ip);
        let backups: Vec<Node> = core.iter().filter(taken).copied().collect();
        let enough = backups.len() as u32 == takes.count_ones();
        (enough && backups.iter().all(|node| willing.contains(node))).then(|| Epoch {
            number,
            core,
            previous_core: newest.core.clone(),
            primary: Some(me),
            backups,
        })
    }

    /// All choices of backups.
    fn choices(&self, n: usize) -> impl Iterator<Item = u8> + '_ {
        (0..1 << self.markers)
            .filter(move |takes: &u8| takes & 1 << n == 0 && takes.count_ones() == self.losses)
    }

    /// Every word comes, until nothing changes any more.
    fn calm(&self, mut world: World) -> World {
        while let Some(next) = world
            .said
            .iter()
            .find_map(|(from, n, word)| self.next_state(&world, Event::Comes(*from, *n, word.clone())))
        {
            world = next;
        }
        world
    }

    fn step(&self, world: &mut World, n: usize, take: impl FnOnce(&mut Agreement, &mut Vec<Act>)) {
        let mut acts = Vec::new();
        take(at(world, n), &mut acts);
        self.follow(world, n, acts);
    }

    /// A marker starts with what its disk holds.
    fn start(&self, world: &mut World, n: usize) {
        world.writes[n] = None;
        if self.broken == Broken::ForgetsPromises {
            world.disks[n].1 = ProposalNumber::default();
        }
        world.markers[n] = Arc::new(Agreement::new(world.disks[n].clone().into()));
        if world.reads.is_some_and(|(at, _)| at == n) {
            world.reads = None;
        }
    }
}

fn confirmed(world: &mut World, version: u32, digest: Digest) {
    if *world.contents.entry(version).or_insert(digest) != digest {
        world.wrong = Some("two contents were confirmed under one number");
    }
}

/// Stands for the hash, which costs time and tells nothing more here.
fn digest(content: u8) -> Digest {
    Digest([content; 16])
}

/// An order of a number with a content.
fn order(version: u32, content: u8) -> Orders {
    let document = Document { version, bytes: vec![content] };
    let mut orders = Orders::default();
    orders.add(&Arc::new(document), digest(content));
    orders
}

/// Whether a word may still change anything where it goes to: what is below a promise that is on disk is refused for ever,
/// and nobody waits for answers to what is over.
fn matters(marker: &Agreement, disk: &Kept, word: &PeerMessage) -> bool {
    let waits = |number| marker.asks() == Some(number) || marker.leads().is_some_and(|(n, _)| n == number);
    match word {
        PeerMessage::Prepare(n)
        | PeerMessage::InstallSnapshot(n, _)
        | PeerMessage::Replicate(n, _)
        | PeerMessage::ConfirmEpoch(n, _) => *n >= disk.1,
        PeerMessage::AcceptEpoch(epoch) => epoch.number >= disk.1,
        PeerMessage::Promise(n, _) | PeerMessage::SnapshotInstalled(n) | PeerMessage::EpochAccepted(n) => {
            marker.asks() == Some(*n)
        }
        PeerMessage::Replicated(n, _) | PeerMessage::EpochConfirmed(n, _) => waits(*n),
        // It only makes its hearer give up what could not succeed.
        _ => false,
    }
}

impl Model for Core {
    type State = World;
    type Action = Event;

    fn init_states(&self) -> Vec<World> {
        let seeds: Vec<Ipv4Addr> = (0..self.founders).map(ip).collect();
        let first = |n: usize| begin(ip(n), &seeds, n < self.founders, 0);
        let disks: Vec<Kept> = (0..self.markers).map(|n| first(n).into()).collect();
        let markers = disks.iter().map(|disk| Arc::new(Agreement::new(disk.clone().into()))).collect();
        let mut world = World {
            markers,
            disks,
            writes: vec![None; self.markers],
            takes: vec![(0, Change::Nothing); self.markers],
            said: BTreeSet::new(),
            begun: 0,
            changed: 0,
            lost_power: 0,
            wiped: 0,
            put: 0,
            overtaken: 0,
            answered: 0,
            contents: BTreeMap::new(),
            primaries: BTreeMap::new(),
            reads: None,
            has_read: false,
            wrong: None,
        };
        let calm = Core { late: None, broken: Broken::Nothing, ..*self };
        let takes = (1 << (self.losses + 1)) - 2;
        if self.start != Start::Nothing {
            for event in [Event::Begin { marker: 0, takes, change: Change::Nothing }, Event::Put(0)] {
                world = calm.calm(calm.next_state(&world, event).unwrap());
            }
            assert_eq!((world.answered, world.put), (1, 1));
        }
        if let Start::Changing(change) = self.start {
            world = calm.next_state(&world, Event::Begin { marker: 0, takes, change }).unwrap();
            while !world.said.iter().any(|(_, _, word)| matches!(**word, PeerMessage::AcceptEpoch(_))) {
                let next = |(from, n, word): &(Node, usize, Arc<PeerMessage>)| {
                    calm.next_state(&world, Event::Comes(*from, *n, word.clone()))
                };
                world = world.said.iter().find_map(next).unwrap();
            }
            world.begun = 1;
        }
        vec![world]
    }

    fn actions(&self, world: &World, actions: &mut Vec<Event>) {
        for n in 0..self.markers {
            // The first round is begun by one of them, which is all the same which.
            if world.begun < self.rounds && (world.begun > 0 || n == 0) && self.begin.contains(&n) {
                let mut changes = vec![Change::Nothing];
                if world.changed < self.changes {
                    let others = (0..self.founders).filter(|m| *m != n);
                    changes.extend(others.map(Change::InPlaceOf).chain([Change::OneMore]));
                }
                for takes in self.choices(n).filter(|takes| world.begun > 0 || *takes == 2) {
                    actions.extend(changes.iter().map(|change| Event::Begin {
                        marker: n,
                        takes,
                        change: *change,
                    }));
                }
            }
            if world.writes[n].is_some() {
                actions.push(Event::Written(n));
            }
            if world.lost_power < self.powers && world.begun > 0 {
                actions.push(Event::PowerLost(n));
            }
            if world.wiped < self.wipes && world.answered > 0 {
                actions.push(Event::Wiped(n));
            }
            let leads = world.markers[n].leads().is_some();
            if leads && world.put < self.versions && !world.markers[n].is_holding() {
                actions.push(Event::Put(n));
            }
            if leads && world.overtaken < self.overtaken && !world.markers[n].is_holding() {
                actions.push(Event::Overtaken(n));
            }
            if leads && self.reads && world.reads.is_none() && !world.has_read && world.answered > 0 {
                actions.push(Event::Read(n));
            }
        }
        actions.extend(world.said.iter().map(|(from, to, word)| Event::Comes(*from, *to, word.clone())));
    }

    fn next_state(&self, world: &World, event: Event) -> Option<World> {
        let mut next = world.clone();
        match event {
            Event::Begin { marker, takes, change } => {
                next.takes[marker] = (takes, change);
                next.begun += 1;
                next.changed += u8::from(change != Change::Nothing);
                self.step(&mut next, marker, |a, acts| {
                    a.begin(acts);
                });
            }
            Event::Put(n) => {
                next.put += 1;
                // Two operators that send at once may use one number for two contents.
                let version = next.markers[n].document().map_or(0, |d| d.version) + 1;
                let orders = order(version, next.put as u8);
                self.step(&mut next, n, |a, acts| a.hold(orders, acts));
            }
            Event::Overtaken(n) => {
                next.overtaken += 1;
                let orders = order(0, 100 + next.overtaken);
                self.step(&mut next, n, |a, acts| a.hold(orders, acts));
            }
            Event::Read(n) => {
                next.reads = Some((n, world.answered));
                if self.broken == Broken::ReadsAtOnce {
                    self.follow(&mut next, n, vec![Act::Certain(1)]);
                } else {
                    self.step(&mut next, n, |a, acts| a.check(1, acts));
                }
            }
            Event::Written(n) => {
                let (kept, thens) = next.writes[n].take()?;
                next.disks[n] = kept;
                for then in thens {
                    self.step(&mut next, n, |a, acts| a.written(then, acts));
                }
            }
            Event::PowerLost(n) => {
                next.lost_power += 1;
                self.start(&mut next, n);
            }
            Event::Wiped(n) => {
                next.wiped += 1;
                let seeds: Vec<Ipv4Addr> = (0..self.founders).map(ip).collect();
                let drawn = u64::from(next.wiped);
                next.disks[n] = begin(ip(n), &seeds, self.broken == Broken::KeepsItsName, drawn).into();
                self.start(&mut next, n);
            }
            Event::Comes(from, n, word) => match (self.broken, &*word) {
                (Broken::CopiesAgain, PeerMessage::InstallSnapshot(..)) => {
                    let keeping = Keeping { copied: ProposalNumber::default(), ..next.markers[n].keeping() };
                    next.markers[n] = Arc::new(Agreement::new(keeping));
                    self.step(&mut next, n, |a, acts| a.take(from, PeerMessage::clone(&word), acts));
                }
                (Broken::LeavesBehind, PeerMessage::Promise(number, Some(epoch))) => {
                    let epoch = Epoch { previous_core: epoch.core.clone(), ..epoch.clone() };
                    let word = PeerMessage::Promise(*number, Some(epoch));
                    self.step(&mut next, n, |a, acts| a.take(from, word, acts));
                }
                (Broken::CopiesNoLedger, PeerMessage::InstallSnapshot(number, Snapshot { document, .. })) => {
                    let whole = Snapshot { document: document.clone(), ledger: Ledger::default() };
                    self.step(&mut next, n, |a, acts| {
                        a.take(from, PeerMessage::InstallSnapshot(*number, whole), acts)
                    });
                }
                (Broken::AnybodyLeads, PeerMessage::Promise(number, Some(epoch))) => {
                    let me = next.markers[n].me();
                    let mut epoch = epoch.clone();
                    epoch.backups.push(me);
                    let word = PeerMessage::Promise(*number, Some(epoch));
                    self.step(&mut next, n, |a, acts| a.take(from, word, acts));
                }
                _ => self.step(&mut next, n, |a, acts| a.take(from, PeerMessage::clone(&word), acts)),
            },
        }
        let World { said, markers, disks, .. } = &mut next;
        said.retain(|(_, to, word)| matters(&markers[*to], &disks[*to], word));
        (next != *world).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no rule is broken", |_, world: &World| world.wrong.is_none()),
            Property::sometimes("something is answered", |_, world: &World| world.answered > 0),
            Property::sometimes("a second epoch answers", |_, world: &World| world.primaries.len() > 1),
        ]
    }
}

/// Explores all; gives how many states there are, and what went wrong, with the shortest way to it.
fn explore(core: Core) -> (usize, Option<String>) {
    let checker = core.checker().threads(8).spawn_bfs().join();
    let wrong = checker.discovery("no rule is broken").map(|path| {
        let why = path.last_state().wrong.unwrap_or_default();
        let way = path.into_actions().into_iter().map(|event| format!("{event:?}\n")).collect::<String>();
        format!("{why}:\n{way}")
    });
    assert!(checker.discovery("something is answered").is_some());
    if wrong.is_none() {
        assert!(checker.discovery("a second epoch answers").is_some());
    }
    println!("{core:?}: {} states", checker.unique_state_count());
    (checker.unique_state_count(), wrong)
}

const CORE: Core = Core {
    broken: Broken::Nothing,
    late: None,
    start: Start::Led,
    markers: 3,
    founders: 3,
    losses: 1,
    changes: 0,
    begin: &[0, 1, 2],
    rounds: 3,
    versions: 2,
    overtaken: 0,
    powers: 1,
    wipes: 0,
    reads: false,
};

/// The same with one more that waits outside.
const FOUR: Core = Core { markers: 4, powers: 0, ..CORE };
/// It takes the place of a member that is missed, and lives.
const CHANGING: Start = Start::Changing(Change::InPlaceOf(2));

#[test]
fn every_rule_is_kept_in_every_order() {
    for (core, least) in [
        // Power is lost, two take over, somebody reads.
        (Core { reads: true, ..CORE }, 300_000),
        // All three begin from nothing; two win their first ballots.
        (Core { start: Start::Nothing, versions: 1, powers: 0, ..CORE }, 100_000),
        // The disk of the primary, then of its backup, is late.
        (Core { late: Some(0), ..CORE }, 400_000),
        (Core { late: Some(1), ..CORE }, 800_000),
        // A folder is lost, and power.
        (Core { wipes: 1, ..CORE }, 2_000_000),
        // A fourth marker takes a place, or one more; the next change is begun by another.
        (Core { rounds: 3, changes: 1, versions: 1, begin: &[0, 1], ..FOUR }, 140_000),
        // A change is kept by few, power is lost by the one that takes over, its disk is late.
        (
            Core { start: CHANGING, rounds: 3, versions: 1, begin: &[1], powers: 1, late: Some(1), ..FOUR },
            700_000,
        ),
        // Five, two losses to be borne: any two as backups.
        (
            Core {
                markers: 5,
                founders: 5,
                losses: 2,
                rounds: 2,
                versions: 1,
                begin: &[1],
                powers: 0,
                ..CORE
            },
            7_000,
        ),
        // Two contents under one number that was overtaken.
        (Core { versions: 1, overtaken: 2, ..CORE }, 100_000),
    ] {
        let (states, wrong) = explore(core);
        assert_eq!(wrong, None, "{core:?}");
        assert!(states > least, "{core:?}: only {states} states");
    }
}

#[test]
fn each_rule_is_needed() {
    for core in [
        Core { broken: Broken::AnswersEarly, ..CORE },
        Core { broken: Broken::ForgetsPromises, ..CORE },
        Core { broken: Broken::KeepsItsName, wipes: 1, ..CORE },
        Core { broken: Broken::ReadsAtOnce, reads: true, ..CORE },
        Core { broken: Broken::CopiesAgain, ..CORE },
        Core { broken: Broken::KeptByOne, ..CORE },
        Core { broken: Broken::AnybodyLeads, ..CORE },
        Core { broken: Broken::LeavesBehind, start: CHANGING, versions: 1, begin: &[0, 1], ..FOUR },
        Core { broken: Broken::CopiesNoLedger, overtaken: 2, ..CORE },
        Core { broken: Broken::AsksEarly, late: Some(0), begin: &[0], rounds: 4, ..CORE },
    ] {
        let (_, wrong) = explore(core);
        assert!(wrong.is_some(), "{core:?} breaks nothing");
    }
}
