//! The agreement of the core in every order of events, exhaustively: the very code that runs, without time.
//!
//! Three markers, one loss to be borne. What was said is never taken back: any word comes in any order, any number of
//! times or never, also long after its sender has started again, so loss, doubles, delays, cuts and freezes are all
//! among the orders; only what can change nothing any more is left out. A write is on disk at once or, for one marker at
//! a time, at any later time and, where power is lost, never. Rounds may begin at any time, with either of the others
//! as backup; how many there are of rounds, versions, losses of power and of folders is bounded.
//!
//! Each rule has a variant that breaks it, by tampering with what goes in or comes out, and is caught.

use marker::agreement::{Act, Agreement, Then};
use marker::core::begin;
use marker::parts::Keeping;
use stateright::{Checker, Model, Property};
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::sync::Arc;
use trunk::words::{Between, Document, Epoch, Node, Number};

const MARKERS: usize = 3;

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
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    markers: Vec<Arc<Agreement>>,
    disks: Vec<Kept>,
    /// Writes that are not on disk yet, with what is done after.
    writes: Vec<Option<(Kept, BTreeSet<Then>)>>,
    /// Whom each takes as its backup.
    takes: Vec<usize>,
    said: BTreeSet<(Node, usize, Arc<Between>)>,
    begun: u8,
    lost_power: u8,
    wiped: u8,
    put: u32,
    /// The newest version that was answered for, and what was sent under it.
    answered: u32,
    contents: BTreeMap<u32, Vec<u8>>,
    primaries: BTreeMap<Number, Node>,
    /// A read under way: where, and what had been answered for when it was begun.
    reads: Option<(usize, u32)>,
    has_read: bool,
    wrong: Option<&'static str>,
}

/// [`Keeping`] as far as the agreement goes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Kept(Node, Number, Number, Option<Epoch>, Option<Arc<Document>>, Option<u32>);

impl From<Keeping> for Kept {
    fn from(k: Keeping) -> Kept {
        Kept(k.node, k.promised, k.copied, k.epoch, k.document, k.sure)
    }
}

impl From<Kept> for Keeping {
    fn from(kept: Kept) -> Keeping {
        let Kept(node, promised, copied, epoch, document, sure) = kept;
        Keeping { node, promised, copied, epoch, document, sure, ballots: BTreeMap::new() }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Event {
    Begin { marker: usize, takes: usize },
    Put(usize),
    Read(usize),
    Written(usize),
    PowerLost(usize),
    Wiped(usize),
    Comes(Node, usize, Arc<Between>),
}

#[derive(Clone, Copy, Debug)]
struct Core {
    broken: Broken,
    /// Whose writes are on disk some time later; the others' are at once.
    late: Option<usize>,
    /// Whether it begins with a primary that has answered, or with nothing.
    led: bool,
    /// Who begins rounds.
    begin: &'static [usize],
    rounds: u8,
    versions: u32,
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
                    let to = (0..MARKERS).find(|m| ip(*m) == to).unwrap();
                    let me = world.markers[n].me();
                    match (&word, self.broken) {
                        (Between::Hold(number, document), Broken::AnswersEarly) => {
                            let held = Between::Held(*number, document.version);
                            let backup = world.markers[n].leads().unwrap().1[0];
                            at(world, n).take(backup, held, &mut more);
                        }
                        (Between::Keep(epoch), Broken::KeptByOne) => {
                            let number = epoch.number;
                            for node in epoch.core.clone() {
                                at(world, n).take(node, Between::Kept(number), &mut more);
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
                    let other = *world.primaries.entry(number).or_insert(world.markers[n].me());
                    if other != world.markers[n].me() {
                        world.wrong = Some("two primaries in one epoch");
                    }
                }
                Act::Safe(document) => self.answered(world, n, &document),
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
        let (version, bytes) = (document.version, document.bytes.clone());
        if world.contents.entry(version).or_insert(bytes.clone()) != &bytes {
            world.wrong = Some("two contents were in force under one version");
        }
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
        number: Number,
        newest: &Epoch,
        willing: &BTreeSet<Node>,
    ) -> Option<Epoch> {
        let me = world.markers[n].me();
        let mut core = newest.core.clone();
        if newest.core == newest.before {
            let now = |node: &Node| world.markers.iter().map(|m| m.me()).find(|m| m.ip == node.ip);
            if let Some(place) = core.iter().position(|node| now(node) != Some(*node)) {
                core[place] = now(&core[place])?;
                core.sort();
            }
        }
        let backup = core.iter().find(|node| node.ip == ip(world.takes[n]) && willing.contains(node));
        let backups = vec![*backup?];
        Some(Epoch { number, core, before: newest.core.clone(), primary: Some(me), backups })
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
            world.disks[n].1 = Number::default();
        }
        world.markers[n] = Arc::new(Agreement::new(world.disks[n].clone().into()));
        if world.reads.is_some_and(|(at, _)| at == n) {
            world.reads = None;
        }
    }
}

/// Whether a word may still change anything where it goes to: what is below a promise that is on disk is refused for ever,
/// and nobody waits for answers to what is over.
fn matters(marker: &Agreement, disk: &Kept, word: &Between) -> bool {
    let waits = |number| marker.asks() == Some(number) || marker.leads().is_some_and(|(n, _)| n == number);
    match word {
        Between::Prepare(n) | Between::Copy(n, _) | Between::Hold(n, _) | Between::Check(n, _) => {
            *n >= disk.1
        }
        Between::Keep(epoch) => epoch.number >= disk.1,
        Between::Promise(n, _) | Between::Copied(n) | Between::Kept(n) => marker.asks() == Some(*n),
        Between::Held(n, _) | Between::Checked(n, _) => waits(*n),
        // It only makes its hearer give up what could not succeed.
        _ => false,
    }
}

impl Model for Core {
    type State = World;
    type Action = Event;

    fn init_states(&self) -> Vec<World> {
        let seeds: Vec<Ipv4Addr> = (0..MARKERS).map(ip).collect();
        let disks: Vec<Kept> = seeds.iter().map(|ip| begin(*ip, &seeds, true, 0).into()).collect();
        let markers = disks.iter().map(|disk| Arc::new(Agreement::new(disk.clone().into()))).collect();
        let mut world = World {
            markers,
            disks,
            writes: vec![None; MARKERS],
            takes: vec![0; MARKERS],
            said: BTreeSet::new(),
            begun: 0,
            lost_power: 0,
            wiped: 0,
            put: 0,
            answered: 0,
            contents: BTreeMap::new(),
            primaries: BTreeMap::new(),
            reads: None,
            has_read: false,
            wrong: None,
        };
        if self.led {
            let calm = Core { late: None, broken: Broken::Nothing, ..*self };
            for event in [Event::Begin { marker: 0, takes: 1 }, Event::Put(0)] {
                world = calm.next_state(&world, event).unwrap();
                // Every word comes, until nothing changes any more.
                while let Some(next) = world.said.iter().find_map(|(from, n, word)| {
                    calm.next_state(&world, Event::Comes(*from, *n, word.clone()))
                }) {
                    world = next;
                }
            }
            assert_eq!((world.answered, world.put), (1, 1));
        }
        vec![world]
    }

    fn actions(&self, world: &World, actions: &mut Vec<Event>) {
        for n in 0..MARKERS {
            // The first round is begun by one of them, which is all the same which.
            if world.begun < self.rounds && (world.begun > 0 || n == 0) && self.begin.contains(&n) {
                let others = (0..MARKERS).filter(|m| *m != n && (world.begun > 0 || *m == 1));
                actions.extend(others.map(|takes| Event::Begin { marker: n, takes }));
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
            if leads && self.reads && world.reads.is_none() && !world.has_read && world.answered > 0 {
                actions.push(Event::Read(n));
            }
        }
        actions.extend(world.said.iter().map(|(from, to, word)| Event::Comes(*from, *to, word.clone())));
    }

    fn next_state(&self, world: &World, event: Event) -> Option<World> {
        let mut next = world.clone();
        match event {
            Event::Begin { marker, takes } => {
                next.takes[marker] = takes;
                next.begun += 1;
                self.step(&mut next, marker, |a, acts| {
                    a.begin(acts);
                });
            }
            Event::Put(n) => {
                next.put += 1;
                // Two operators that send at once may use one number for two contents.
                let version = next.markers[n].document().map_or(0, |d| d.version) + 1;
                let document = Document { version, bytes: vec![next.put as u8] };
                self.step(&mut next, n, |a, acts| a.hold(Arc::new(document), acts));
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
                let seeds: Vec<Ipv4Addr> = (0..MARKERS).map(ip).collect();
                let drawn = u64::from(next.wiped);
                next.disks[n] = begin(ip(n), &seeds, self.broken == Broken::KeepsItsName, drawn).into();
                self.start(&mut next, n);
            }
            Event::Comes(from, n, word) => match (self.broken, &*word) {
                (Broken::CopiesAgain, Between::Copy(..)) => {
                    let keeping = Keeping { copied: Number::default(), ..next.markers[n].keeping() };
                    next.markers[n] = Arc::new(Agreement::new(keeping));
                    self.step(&mut next, n, |a, acts| a.take(from, Between::clone(&word), acts));
                }
                (Broken::AnybodyLeads, Between::Promise(number, Some(epoch))) => {
                    let me = next.markers[n].me();
                    let mut epoch = epoch.clone();
                    epoch.backups.push(me);
                    let word = Between::Promise(*number, Some(epoch));
                    self.step(&mut next, n, |a, acts| a.take(from, word, acts));
                }
                _ => self.step(&mut next, n, |a, acts| a.take(from, Between::clone(&word), acts)),
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
    led: true,
    begin: &[0, 1, 2],
    rounds: 3,
    versions: 2,
    powers: 1,
    wipes: 0,
    reads: false,
};

#[test]
fn every_rule_is_kept_in_every_order() {
    for (core, least) in [
        // Power is lost, two take over, somebody reads.
        (Core { reads: true, ..CORE }, 300_000),
        // All three begin from nothing; two win their first ballots.
        (Core { led: false, versions: 1, powers: 0, ..CORE }, 100_000),
        // The disk of the primary, then of its backup, is late.
        (Core { late: Some(0), ..CORE }, 400_000),
        (Core { late: Some(1), ..CORE }, 800_000),
        // A folder is lost, and power.
        (Core { wipes: 1, ..CORE }, 2_000_000),
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
        Core { broken: Broken::AsksEarly, late: Some(0), begin: &[0], rounds: 4, ..CORE },
    ] {
        let (_, wrong) = explore(core);
        assert!(wrong.is_some(), "{core:?} breaks nothing");
    }
}
