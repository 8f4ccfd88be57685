//! The core: who may answer operators, and what is held so that it can't be lost.
//!
//! An [`Epoch`] names a primary and its backups. The primary writes a configuration to every backup before it
//! answers. All markers of the core keep epochs, also those that hold no configuration: these are the witnesses,
//! and a majority decides which epoch is the last. Nothing here trusts a clock: time only says when to try.
//!
//! What must never happen: two primaries that both answer; an answered configuration that is gone while no more
//! than the stated number of folders are lost; a read that is older than an answer.
//!
//! A round, begun by somebody who holds everything, goes: **Prepare** (a majority promises to keep no epoch below
//! its number and tells the newest that it keeps), **Copy** (the backups-to-be hold what the beginner holds),
//! **Keep** (a majority keeps the new epoch). Only then is anything answered in it. An epoch that changes the core
//! needs a majority of the core before as well, and is followed by one that changes nothing.
//!
//! A marker whose folder was lost is another [`Node`]: it has no vote and holds nothing until an epoch names it.

use crate::parts::{Keeping, Output, Reply};
use plugboard::kinds::Kind;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::Ipv4Addr;
use std::sync::Arc;
use trunk::words::{Between, Document, Epoch, Node, Number};

/// Points in time and spans, ms of a clock that never goes back.
pub type Millis = u64;

/// How often a marker says that it is there.
const HEAR: Millis = 150;
/// Without a word for so long a marker counts as not heard.
const HEARD: Millis = 700;
/// Without a primary for between the first and the second, whoever holds everything begins a round; drawn.
const SUSPECT: (Millis, Millis) = (750, 1_150);
/// The same at a start: for the last primary or the first founder, and for others that much later; drawn.
const START: (Millis, Millis, Millis) = (2 * HEAR / 3, 150, 450);
/// A round that does not get on in this time is given up, and another is begun after a drawn wait.
const ROUND: Millis = 600;
/// The wait before another round, drawn up to the second; doubled up to the third while rounds fail.
const AGAIN: (Millis, Millis, Millis) = (50, 300, 2_000);
/// A backup that takes longer to hold a configuration is replaced.
const SLOW: Millis = 450;
/// For how long a slow one is not chosen where there are others.
const SLOW_FOR: Millis = 3_000;
/// A primary whose own disk takes longer hands over.
const DISK: Millis = 900;
/// A primary that hears no majority for so long is none.
const ALONE: Millis = 600;
/// A member of the core that is silent for so long gives its place to one that waits outside.
const LOST: Millis = 2_500;
/// An operator's call that can't be made certain in this time is answered so; callers wait a second.
const CALL: Millis = 900;
/// Calls that wait at once.
const CALLS_MAX: usize = 256;
/// Markers that are known at once.
const KNOWN_MAX: usize = 64;
/// Markers outside the core are forgotten when silent for so long.
const FORGET: Millis = 60_000;

struct Heard {
    node: Node,
    at: Millis,
    led: bool,
    sure: Option<u32>,
    sure_sent: Millis,
}

enum Step {
    Preparing(BTreeMap<Node, Option<Epoch>>),
    Copying(Epoch, BTreeSet<Node>),
    Keeping(Epoch, BTreeSet<Node>),
}

struct Round {
    number: Number,
    begun: Millis,
    step: Step,
    asked: BTreeSet<Node>,
}

/// A configuration on its way to be held.
struct Holding {
    document: Arc<Document>,
    held: BTreeSet<Node>,
    since: Millis,
}

struct Leading {
    number: Number,
    backups: Vec<Node>,
    holding: Option<Holding>,
}

/// What waits for an answer.
enum Asked {
    Replace(Arc<Document>),
    Read { nonce: u64, checked: BTreeSet<Node> },
}

struct Call {
    id: u64,
    asked: Asked,
    until: Millis,
}

/// What is done once a write is on disk.
enum Then {
    Say(Ipv4Addr, Between),
    HeldHere(Number, u32),
    Nothing,
}

/// What one sees of the core from outside.
#[derive(Clone, Debug, PartialEq)]
pub struct View {
    /// The epoch that is kept here.
    pub epoch: Option<Epoch>,
    /// Whether this marker is its primary and a majority keeps it.
    pub leads: bool,
    /// The newest configuration that can't be lost any more.
    pub sure: Option<u32>,
    /// Rounds begun and won here.
    pub rounds: (u64, u64),
}

/// The core as one marker runs it.
pub struct Core {
    me: Node,
    seeds: Vec<Ipv4Addr>,
    losses: usize,
    rng: fastrand::Rng,
    now: Millis,
    started: Millis,
    promised: Number,
    epoch: Option<Epoch>,
    document: Option<Arc<Document>>,
    /// The newest one that can't be lost any more.
    sure: Option<Arc<Document>>,
    heard: BTreeMap<Ipv4Addr, Heard>,
    said: Millis,
    primary: Option<(Ipv4Addr, Millis)>,
    suspect_after: Millis,
    highest: u64,
    round: Option<Round>,
    next_round: Millis,
    failed_rounds: u32,
    rounds: (u64, u64),
    leading: Option<Leading>,
    majority_heard: Millis,
    slow: BTreeMap<Ipv4Addr, Millis>,
    calls: Vec<Call>,
    nonce: u64,
    ticket: u64,
    written: u64,
    writing_since: Millis,
    then: VecDeque<(u64, Then)>,
    inbox: VecDeque<Between>,
    leaving: bool,
}

/// The identity of a founder.
fn founder(ip: Ipv4Addr) -> Node {
    Node { ip, folder: u64::from(u32::from(ip)) }
}

/// What a marker with an empty folder begins with: one of the founders at the first start of all, else one from
/// outside, whose folder is drawn.
pub fn begin(ip: Ipv4Addr, seeds: &[Ipv4Addr], first_start: bool, drawn: u64) -> Keeping {
    if !(first_start && seeds.contains(&ip)) {
        let node = Node { ip, folder: drawn | 1 << 63 };
        return Keeping { node, promised: Number::default(), epoch: None, document: None, sure: None };
    }
    let mut core: Vec<Node> = seeds.iter().copied().map(founder).collect();
    core.sort();
    core.dedup();
    let founding =
        Epoch { number: Number::default(), before: core.clone(), backups: core.clone(), core, primary: None };
    let (node, epoch) = (founder(ip), Some(founding));
    Keeping { node, promised: Number::default(), epoch, document: None, sure: None }
}

fn most(of: &[Node], agree: impl Fn(&Node) -> bool) -> bool {
    of.iter().filter(|node| agree(node)).count() * 2 > of.len()
}

impl Core {
    /// A marker that has kept this.
    pub fn new(keeping: Keeping, seeds: &[Ipv4Addr], losses: usize, seed: u64, now: Millis) -> Core {
        let Keeping { node, promised, epoch, document, sure } = keeping;
        let mut rng = fastrand::Rng::with_seed(seed);
        // Nobody has been heard yet, and so nobody missed: whoever held everything last begins soon. Where there is
        // a primary the others say so before.
        let first = epoch.as_ref().is_some_and(|e| match e.primary {
            Some(primary) => primary == node,
            None => e.core.first() == Some(&node),
        });
        let suspect_after = START.0 + if first { 0 } else { rng.u64(START.1..START.2) };
        // What was safe from loss still is, and may be in force before there is a primary again.
        let safe = document.clone().filter(|d| sure.is_some_and(|sure| d.version <= sure));
        Core {
            me: node,
            seeds: seeds.to_vec(),
            losses,
            rng,
            now,
            started: now,
            promised,
            epoch,
            document,
            sure: safe,
            heard: BTreeMap::new(),
            said: 0,
            primary: None,
            suspect_after,
            highest: promised.round,
            round: None,
            next_round: 0,
            failed_rounds: 0,
            rounds: (0, 0),
            leading: None,
            majority_heard: now,
            slow: BTreeMap::new(),
            calls: Vec::new(),
            nonce: 0,
            ticket: 0,
            written: 0,
            writing_since: now,
            then: VecDeque::new(),
            inbox: VecDeque::new(),
            leaving: false,
        }
    }

    /// This marker.
    pub fn me(&self) -> Node {
        self.me
    }

    /// What one sees of it from outside.
    pub fn view(&self) -> View {
        View {
            epoch: self.epoch.clone(),
            leads: self.leading.is_some(),
            sure: self.sure.as_ref().map(|d| d.version),
            rounds: self.rounds,
        }
    }

    /// The newest configuration that can't be lost any more, as far as is known here.
    pub fn sure(&self) -> Option<&Arc<Document>> {
        self.sure.as_ref()
    }

    /// All other markers that are known.
    pub fn known(&self) -> BTreeSet<Ipv4Addr> {
        let core = self.epoch.iter().flat_map(|e| e.core.iter().chain(&e.before)).map(|node| node.ip);
        let mut known: BTreeSet<Ipv4Addr> = core.chain(self.seeds.iter().copied()).collect();
        known.extend(self.heard.keys().copied());
        known.remove(&self.me.ip);
        known
    }

    /// All markers that are heard now.
    pub fn live(&self) -> Vec<Ipv4Addr> {
        let heard = self.heard.iter().filter(|(_, h)| self.now < h.at + HEARD);
        heard.map(|(ip, _)| *ip).collect()
    }

    /// Whether this marker hears most of the core, itself included.
    pub fn hears_most(&self) -> bool {
        self.epoch.as_ref().is_some_and(|e| most(&e.core, |node| self.hears(*node)))
    }

    /// The seeds as a new settings file names them.
    pub fn reseed(&mut self, seeds: &[Ipv4Addr]) {
        self.seeds = seeds.to_vec();
    }

    fn hears(&self, node: Node) -> bool {
        let heard = |h: &Heard| h.node == node && self.now < h.at + HEARD;
        node == self.me || self.heard.get(&node.ip).is_some_and(heard)
    }

    fn has_primary(&self) -> bool {
        self.leading.is_some() || self.primary.is_some_and(|(_, at)| self.now < at + HEARD)
    }

    fn say(&mut self, to: Ipv4Addr, word: Between, out: &mut Vec<Output>) {
        if to == self.me.ip {
            self.inbox.push_back(word);
        } else {
            out.push(Output::Send(to, word));
        }
    }

    /// Puts all that has to last on disk, and does something once it is there.
    fn keep(&mut self, then: Then, out: &mut Vec<Output>) {
        if self.ticket == self.written {
            self.writing_since = self.now;
        }
        self.ticket += 1;
        self.then.push_back((self.ticket, then));
        let keeping = Keeping {
            node: self.me,
            promised: self.promised,
            epoch: self.epoch.clone(),
            document: self.document.clone(),
            sure: self.sure.as_ref().map(|d| d.version),
        };
        out.push(Output::Write(self.ticket, keeping));
    }

    /// All writes up to this ticket are on disk.
    pub fn on_written(&mut self, now: Millis, ticket: u64, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        self.written = self.written.max(ticket);
        self.writing_since = self.now;
        while self.then.front().is_some_and(|(t, _)| *t <= self.written) {
            match self.then.pop_front() {
                Some((_, Then::Say(to, word))) => self.say(to, word, out),
                Some((_, Then::HeldHere(number, version))) => self.on_held(self.me, number, version, out),
                Some((_, Then::Nothing)) | None => {}
            }
        }
        self.work(out);
    }

    /// Handles what was said to oneself meanwhile.
    fn work(&mut self, out: &mut Vec<Output>) {
        while let Some(word) = self.inbox.pop_front() {
            self.take(self.me, word, out);
        }
    }

    /// Takes in what another marker says.
    pub fn on_word(&mut self, now: Millis, from: Node, word: Between, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        self.take(from, word, out);
        self.work(out);
    }

    fn take(&mut self, from: Node, word: Between, out: &mut Vec<Output>) {
        match word {
            Between::Hear { epoch, leads, led, sure, others } => {
                self.on_hear(from, epoch, leads, led, sure, &others, out);
            }
            Between::Prepare(number) => self.on_prepare(from, number, out),
            Between::Promise(number, epoch) => self.on_promise(from, number, epoch, out),
            Between::Copy(number, document) => {
                if !self.allows(from, number, out) {
                    return;
                }
                self.promised = number;
                self.document = document.map(Arc::new);
                self.keep(Then::Say(from.ip, Between::Copied(number)), out);
            }
            Between::Copied(number) => self.on_copied(from, number, out),
            Between::Keep(epoch) => {
                let number = epoch.number;
                if !self.allows(from, number, out) {
                    return;
                }
                (self.promised, self.epoch) = (number, Some(epoch));
                self.keep(Then::Say(from.ip, Between::Kept(number)), out);
            }
            Between::Kept(number) => self.on_kept(from, number, out),
            Between::Over(number) => self.on_over(number),
            Between::Hold(number, document) => {
                if number != self.promised {
                    return self.say(from.ip, Between::Over(self.promised), out);
                }
                let version = document.version;
                if self.document.as_ref().is_none_or(|d| d.version < version) {
                    self.document = Some(Arc::new(document));
                }
                self.keep(Then::Say(from.ip, Between::Held(number, version)), out);
            }
            Between::Held(number, version) => self.on_held(from, number, version, out),
            Between::Check(number, nonce) if number == self.promised => {
                self.say(from.ip, Between::Checked(number, nonce), out);
            }
            Between::Check(..) => self.say(from.ip, Between::Over(self.promised), out),
            Between::Checked(number, nonce) => self.on_checked(from, number, nonce, out),
            Between::Sure(document) => self.learn_sure(Arc::new(document), out),
            Between::Latest(epoch) => {
                let newer = self.epoch.as_ref().is_none_or(|e| e.number < epoch.number);
                if newer && epoch.number >= self.promised {
                    self.highest = self.highest.max(epoch.number.round);
                    (self.promised, self.epoch) = (epoch.number, Some(epoch));
                    // Nobody is told: one that keeps an epoch late decides nothing about it.
                    self.keep(Then::Nothing, out);
                }
            }
            Between::HandOver(number) => {
                let mine = self.epoch.as_ref().is_some_and(|e| e.number == number && e.holds(self.me));
                if mine && self.round.is_none() && !self.leaving {
                    self.begin_round(out);
                }
            }
            _ => {}
        }
    }

    /// Whether nothing higher has been promised; tells the sender otherwise.
    fn allows(&mut self, from: Node, number: Number, out: &mut Vec<Output>) -> bool {
        self.highest = self.highest.max(number.round);
        if number < self.promised {
            self.say(from.ip, Between::Over(self.promised), out);
            return false;
        }
        self.yield_to(number);
        true
    }

    /// Gives up what is below a number.
    fn yield_to(&mut self, number: Number) {
        if self.leading.as_ref().is_some_and(|l| l.number < number) {
            log::info!("no longer primary: round {} is begun", number.round);
            self.leading = None;
        }
        if self.round.as_ref().is_some_and(|r| r.number < number) {
            self.fail_round();
        }
    }

    fn fail_round(&mut self) {
        self.round = None;
        let longest = (AGAIN.1 << self.failed_rounds.min(8)).min(AGAIN.2);
        self.failed_rounds += 1;
        self.next_round = self.now + self.rng.u64(AGAIN.0..=longest);
    }

    fn on_over(&mut self, number: Number) {
        self.highest = self.highest.max(number.round);
        self.yield_to(number);
    }

    fn on_prepare(&mut self, from: Node, number: Number, out: &mut Vec<Output>) {
        if !self.allows(from, number, out) {
            return;
        }
        self.promised = number;
        if from != self.me {
            // Whoever began has its time.
            self.next_round = self.next_round.max(self.now + ROUND);
        }
        self.keep(Then::Say(from.ip, Between::Promise(number, self.epoch.clone())), out);
    }

    fn begin_round(&mut self, out: &mut Vec<Output>) {
        let Some(epoch) = &self.epoch else { return };
        let round = self.highest.max(self.promised.round) + 1;
        let number = Number { round, by: self.me.folder };
        let asked: BTreeSet<Node> = epoch.core.iter().chain(&epoch.before).copied().collect();
        self.highest = round;
        self.rounds.0 += 1;
        if let Some(Leading { holding: Some(_), .. }) = self.leading.take() {
            log::info!("round {round} while a configuration is on its way");
        }
        let step = Step::Preparing(BTreeMap::new());
        self.round = Some(Round { number, begun: self.now, step, asked: asked.clone() });
        for node in asked {
            self.say(node.ip, Between::Prepare(number), out);
        }
    }

    fn on_promise(&mut self, from: Node, number: Number, epoch: Option<Epoch>, out: &mut Vec<Output>) {
        let Some(round) = self.round.as_mut().filter(|r| r.number == number) else { return };
        let Step::Preparing(promises) = &mut round.step else { return };
        promises.insert(from, epoch);
        let newest = promises.values().flatten().max_by_key(|e| e.number);
        let Some(newest) = newest.cloned() else { return };
        let more: Vec<Node> =
            newest.core.iter().chain(&newest.before).copied().filter(|n| !round.asked.contains(n)).collect();
        let promised = |node: &Node| promises.contains_key(node);
        let enough = most(&newest.core, promised) && most(&newest.before, promised);
        let willing: BTreeSet<Node> = promises.keys().copied().collect();
        round.asked.extend(more.iter().copied());
        for node in more {
            self.say(node.ip, Between::Prepare(number), out);
        }
        if !enough {
            return;
        }
        if !newest.holds(self.me) {
            // Somebody else has what was answered for.
            return self.fail_round();
        }
        let Some(next) = self.next_epoch(number, &newest, &willing) else { return };
        let Some(round) = self.round.as_mut() else { return };
        round.begun = self.now;
        round.step = Step::Copying(next.clone(), BTreeSet::new());
        let document = self.document.as_ref().map(|d| Document::clone(d));
        for node in &next.backups {
            self.say(node.ip, Between::Copy(number, document.clone()), out);
        }
        if next.backups.is_empty() {
            self.copied_all(out);
        }
    }

    /// The epoch to follow, unless too few are there to hold what it needs.
    fn next_epoch(&self, number: Number, newest: &Epoch, willing: &BTreeSet<Node>) -> Option<Epoch> {
        let core = self.next_core(newest);
        let wanted = self.losses.min(core.len().saturating_sub(1));
        let can = |node: &&Node| **node != self.me && willing.contains(node);
        let mut backups: Vec<Node> = core.iter().filter(can).copied().collect();
        let is_slow = |node: &Node| self.slow.get(&node.ip).is_some_and(|until| self.now < *until);
        backups.sort_by_key(|node| (is_slow(node), !self.hears(*node), !newest.holds(*node), *node));
        backups.truncate(wanted);
        let primary = Some(self.me);
        (backups.len() == wanted).then(|| Epoch {
            number,
            core,
            before: newest.core.clone(),
            primary,
            backups,
        })
    }

    /// The core to be: with one that waits outside in the place of one that is lost, or as one more.
    fn next_core(&self, newest: &Epoch) -> Vec<Node> {
        let mut core = newest.core.clone();
        // One change at a time, and only from a core that has settled.
        if newest.core != newest.before {
            return core;
        }
        let live = self.heard.values().filter(|h| self.now < h.at + HEARD).map(|h| h.node);
        for node in live.filter(|node| !newest.core.contains(node)) {
            let same = core.iter().position(|other| other.ip == node.ip);
            let place = same.or_else(|| core.iter().position(|other| self.is_lost(*other)));
            if let Some(place) = place {
                core[place] = node;
            } else if core.len() < (2 * self.losses + 1).max(3) {
                core.push(node);
            } else {
                continue;
            }
            core.sort();
            return core;
        }
        core
    }

    fn is_lost(&self, node: Node) -> bool {
        let silent = match self.heard.get(&node.ip) {
            Some(heard) => self.now > heard.at + LOST,
            None => self.now > self.started + LOST,
        };
        node != self.me && silent
    }

    fn on_copied(&mut self, from: Node, number: Number, out: &mut Vec<Output>) {
        let Some(round) = self.round.as_mut().filter(|r| r.number == number) else { return };
        let Step::Copying(epoch, copied) = &mut round.step else { return };
        copied.insert(from);
        if epoch.backups.iter().all(|node| copied.contains(node)) {
            self.copied_all(out);
        }
    }

    fn copied_all(&mut self, out: &mut Vec<Output>) {
        let Some(round) = &mut self.round else { return };
        let Step::Copying(epoch, _) = &round.step else { return };
        let epoch = epoch.clone();
        round.begun = self.now;
        round.step = Step::Keeping(epoch.clone(), BTreeSet::new());
        let all: BTreeSet<Node> = epoch.core.iter().chain(&epoch.before).copied().collect();
        for node in all {
            self.say(node.ip, Between::Keep(epoch.clone()), out);
        }
    }

    fn on_kept(&mut self, from: Node, number: Number, out: &mut Vec<Output>) {
        let Some(round) = self.round.as_mut().filter(|r| r.number == number) else { return };
        let Step::Keeping(epoch, kept) = &mut round.step else { return };
        kept.insert(from);
        let has = |node: &Node| kept.contains(node);
        if !(most(&epoch.core, has) && most(&epoch.before, has)) {
            return;
        }
        log::info!("primary of round {} with backups {:?}", number.round, epoch.backups);
        let backups = epoch.backups.clone();
        (self.round, self.failed_rounds) = (None, 0);
        self.rounds.1 += 1;
        self.majority_heard = self.now;
        self.leading = Some(Leading { number, backups, holding: None });
        // What is held here is held by all backups, and by nobody who could come after without it.
        if let Some(document) = self.document.clone() {
            self.learn_sure(document, out);
        }
        self.said = 0;
        self.ask_again(out);
        self.go_on(out);
    }

    fn learn_sure(&mut self, document: Arc<Document>, out: &mut Vec<Output>) {
        if self.sure.as_ref().is_some_and(|sure| sure.version >= document.version) {
            return;
        }
        let version = document.version;
        self.sure = Some(document.clone());
        if self.document.as_ref().is_some_and(|d| d.version == version) {
            self.keep(Then::Nothing, out);
        }
        if self.leading.is_some() {
            for ip in self.live() {
                self.say(ip, Between::Sure(Document::clone(&document)), out);
            }
        }
        out.push(Output::Sure(document));
        self.answer(
            |asked| matches!(asked, Asked::Replace(d) if d.version <= version),
            out,
            |_| Reply::done(),
        );
    }

    /// Answers the calls that are meant, where an answer to one is certain.
    fn answer(
        &mut self,
        meant: impl Fn(&Asked) -> bool,
        out: &mut Vec<Output>,
        reply: impl Fn(&Asked) -> Reply,
    ) {
        self.calls.retain(|call| {
            let ends = meant(&call.asked);
            if ends {
                out.push(Output::Answer(call.id, reply(&call.asked)));
            }
            !ends
        });
    }

    /// A valid configuration comes from an operator.
    pub fn on_replace(&mut self, now: Millis, id: u64, document: Document, out: &mut Vec<Output>) {
        self.on_call(now, id, Asked::Replace(Arc::new(document)), out);
    }

    /// An operator asks for the newest configuration.
    pub fn on_read(&mut self, now: Millis, id: u64, out: &mut Vec<Output>) {
        self.nonce += 1;
        self.on_call(now, id, Asked::Read { nonce: self.nonce, checked: BTreeSet::new() }, out);
    }

    fn on_call(&mut self, now: Millis, id: u64, asked: Asked, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        if self.calls.len() >= CALLS_MAX {
            return out.push(Output::Answer(id, Reply::fault(Kind::NoRoom, "too many calls wait")));
        }
        if self.leaving {
            return out.push(Output::Answer(id, Reply::fault(Kind::NotReady, "this marker leaves")));
        }
        self.calls.push(Call { id, asked, until: self.now + CALL });
        self.go_on(out);
        self.work(out);
    }

    /// Does for the calls that wait what can be done.
    fn go_on(&mut self, out: &mut Vec<Output>) {
        self.calls.retain(|call| {
            let late = self.now >= call.until;
            if late {
                out.push(Output::Answer(call.id, Reply::fault(Kind::Uncertain, "not certain in time")));
            }
            !late
        });
        let Some(leading) = &self.leading else {
            if let Some((ip, _)) = self.primary.filter(|(_, at)| self.now < *at + HEARD) {
                self.answer(|_| true, out, |_| Reply::elsewhere(ip));
            }
            return;
        };
        let (number, backups) = (leading.number, leading.backups.clone());
        // The newest that waits goes first: whatever is below it is overtaken, and answered with it.
        let wanted = self.calls.iter().filter_map(|call| match &call.asked {
            Asked::Replace(document) => Some(document),
            Asked::Read { .. } => None,
        });
        let newest = wanted.max_by_key(|d| d.version).cloned();
        let sure = self.sure.as_ref().map(|d| d.version);
        if leading.holding.is_none() {
            self.answer(
                |asked| matches!(asked, Asked::Replace(d) if sure.is_some_and(|sure| d.version <= sure)),
                out,
                |_| Reply::done(),
            );
            if let Some(document) = newest.filter(|d| sure.is_none_or(|sure| d.version > sure)) {
                self.hold(document, number, &backups, out);
            }
        }
        let asks: Vec<(u64, Vec<Node>)> = self
            .calls
            .iter()
            .filter_map(|call| match &call.asked {
                Asked::Read { nonce, checked } if checked.is_empty() => Some((*nonce, backups.clone())),
                _ => None,
            })
            .collect();
        for (nonce, nodes) in asks {
            for node in nodes {
                self.say(node.ip, Between::Check(number, nonce), out);
            }
        }
        self.answer_reads(out);
    }

    fn hold(&mut self, document: Arc<Document>, number: Number, backups: &[Node], out: &mut Vec<Output>) {
        let version = document.version;
        self.document = Some(document.clone());
        for node in backups {
            self.say(node.ip, Between::Hold(number, Document::clone(&document)), out);
        }
        let holding = Holding { document, held: BTreeSet::new(), since: self.now };
        if let Some(leading) = &mut self.leading {
            leading.holding = Some(holding);
        }
        self.keep(Then::HeldHere(number, version), out);
    }

    fn on_held(&mut self, from: Node, number: Number, version: u32, out: &mut Vec<Output>) {
        let me = self.me;
        let Some(leading) = self.leading.as_mut().filter(|l| l.number == number) else { return };
        let Some(holding) = leading.holding.as_mut().filter(|h| h.document.version == version) else {
            return;
        };
        holding.held.insert(from);
        let all = leading.backups.iter().chain([&me]).all(|node| holding.held.contains(node));
        if all {
            let document = holding.document.clone();
            leading.holding = None;
            self.learn_sure(document, out);
            self.go_on(out);
        }
    }

    /// Calls that wait are begun again in a new epoch.
    fn ask_again(&mut self, out: &mut Vec<Output>) {
        let mut nonce = self.nonce;
        for call in &mut self.calls {
            if let Asked::Read { nonce: n, checked } = &mut call.asked {
                nonce += 1;
                (*n, *checked) = (nonce, BTreeSet::new());
            }
        }
        self.nonce = nonce;
        // What has been held in the meantime may be enough already.
        if let Some(sure) = self.sure.as_ref().map(|d| d.version) {
            self.answer(
                |asked| matches!(asked, Asked::Replace(d) if d.version <= sure),
                out,
                |_| Reply::done(),
            );
        }
    }

    fn on_checked(&mut self, from: Node, number: Number, nonce: u64, out: &mut Vec<Output>) {
        if self.leading.as_ref().is_none_or(|l| l.number != number) {
            return;
        }
        for call in &mut self.calls {
            if let Asked::Read { nonce: n, checked } = &mut call.asked {
                if *n == nonce {
                    checked.insert(from);
                }
            }
        }
        self.answer_reads(out);
    }

    fn answer_reads(&mut self, out: &mut Vec<Output>) {
        let Some(leading) = &self.leading else { return };
        let backups = leading.backups.clone();
        let sure = self.sure.clone();
        let certain = |asked: &Asked| match asked {
            Asked::Read { checked, .. } => backups.iter().all(|node| checked.contains(node)),
            Asked::Replace(_) => false,
        };
        self.answer(certain, out, |_| match &sure {
            Some(document) => Reply::document(document.clone()),
            None => Reply::fault(Kind::Unknown, "there is no configuration yet"),
        });
    }

    #[allow(clippy::too_many_arguments)] // The fields of one word.
    fn on_hear(
        &mut self,
        from: Node,
        epoch: Number,
        leads: bool,
        led: bool,
        sure: Option<u32>,
        others: &[Ipv4Addr],
        out: &mut Vec<Output>,
    ) {
        let now = self.now;
        if from.ip == self.me.ip {
            return;
        }
        if self.heard.len() < KNOWN_MAX || self.heard.contains_key(&from.ip) {
            let heard =
                self.heard.entry(from.ip).or_insert(Heard { node: from, at: now, led, sure, sure_sent: 0 });
            (heard.node, heard.at, heard.led, heard.sure) = (from, now, led, sure);
        }
        // Those that others hear are dialled too; they are heard once they answer.
        for ip in others.iter().filter(|ip| **ip != self.me.ip) {
            if self.heard.len() < KNOWN_MAX {
                let node = Node { ip: *ip, folder: 0 };
                self.heard.entry(*ip).or_insert(Heard { node, at: 0, led: false, sure: None, sure_sent: 0 });
            }
        }
        let mine = self.epoch.as_ref().map(|e| e.number).unwrap_or_default();
        self.highest = self.highest.max(epoch.round);
        if leads && epoch >= mine && epoch >= self.promised {
            self.primary = Some((from.ip, now));
        } else if self.primary.is_some_and(|(ip, _)| ip == from.ip) {
            self.primary = None;
        }
        if epoch < mine && (self.leading.is_some() || !led) {
            if let Some(epoch) = self.epoch.clone().filter(|_| self.leading.is_some()) {
                self.say(from.ip, Between::Latest(epoch), out);
            }
        }
        let behind = self.sure.clone().filter(|mine| sure.is_none_or(|theirs| theirs < mine.version));
        if let Some(document) = behind.filter(|_| self.leading.is_some() || !led) {
            if let Some(heard) = self.heard.get_mut(&from.ip).filter(|h| now >= h.sure_sent + 2 * HEAR) {
                heard.sure_sent = now;
                self.say(from.ip, Between::Sure(Document::clone(&document)), out);
            }
        }
    }

    /// Time passes.
    pub fn on_tick(&mut self, now: Millis, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        if self.now >= self.said + HEAR {
            self.said = self.now;
            let epoch = self.epoch.as_ref().map(|e| e.number).unwrap_or_default();
            let (leads, led, others) = (self.leading.is_some(), self.has_primary(), self.live());
            let sure = self.sure.as_ref().map(|d| d.version);
            for ip in self.known() {
                let others = others.clone();
                self.say(ip, Between::Hear { epoch, leads, led, sure, others }, out);
            }
        }
        let kept: BTreeSet<Ipv4Addr> = self
            .epoch
            .iter()
            .flat_map(|e| e.core.iter())
            .map(|n| n.ip)
            .chain(self.seeds.iter().copied())
            .collect();
        let (now, started) = (self.now, self.started);
        self.heard.retain(|ip, h| kept.contains(ip) || now < h.at.max(started) + FORGET);
        if self.hears_most() {
            self.majority_heard = now;
        }
        if self.round.as_ref().is_some_and(|r| now > r.begun + ROUND) {
            self.mark_slow();
            self.fail_round();
        }
        if self.leading.is_some() {
            self.watch_as_primary(out);
        } else if self.round.is_none() && !self.leaving {
            self.watch_as_other(out);
        }
        self.go_on(out);
        self.work(out);
    }

    /// Those who did not copy in time are not asked next time, where there are others.
    fn mark_slow(&mut self) {
        let Some(Round { step: Step::Copying(epoch, copied), .. }) = &self.round else { return };
        let slow: Vec<Ipv4Addr> =
            epoch.backups.iter().filter(|n| !copied.contains(n)).map(|n| n.ip).collect();
        let until = self.now + SLOW_FOR;
        self.slow.extend(slow.into_iter().map(|ip| (ip, until)));
    }

    fn watch_as_other(&mut self, out: &mut Vec<Output>) {
        let Some(epoch) = &self.epoch else { return };
        if self.has_primary() {
            let (_, at) = self.primary.unwrap_or((self.me.ip, self.now));
            // Drawn anew once there is one, so that those who miss it do not all begin at once.
            if self.now < at + HEAR {
                self.suspect_after = self.rng.u64(SUSPECT.0..SUSPECT.1);
            }
            return;
        }
        let since = self.primary.map_or(self.started, |(_, at)| at);
        if !epoch.holds(self.me) || self.now < since + self.suspect_after || self.now < self.next_round {
            return;
        }
        // Most of the core must miss a primary: one that hears nobody, or is alone in not hearing it, waits.
        let misses = |node: &Node| {
            let missing = |h: &Heard| h.node == *node && !h.led && self.now < h.at + HEARD;
            *node == self.me || self.heard.get(&node.ip).is_some_and(missing)
        };
        if most(&epoch.core, misses) {
            self.begin_round(out);
        }
    }

    fn watch_as_primary(&mut self, out: &mut Vec<Output>) {
        let now = self.now;
        let Some(leading) = &self.leading else { return };
        if now > self.majority_heard + ALONE {
            log::info!("no longer primary: most of the core is not heard");
            self.leading = None;
            return;
        }
        if self.ticket > self.written && now > self.writing_since + DISK {
            log::info!("no longer primary: the disk does not answer");
            let (number, backups) = (leading.number, leading.backups.clone());
            self.leading = None;
            self.next_round = now + SLOW_FOR;
            for node in backups {
                self.say(node.ip, Between::HandOver(number), out);
            }
            return;
        }
        let Some(epoch) = &self.epoch else { return };
        let late: Vec<Ipv4Addr> = match &leading.holding {
            Some(h) if now > h.since + SLOW => {
                leading.backups.iter().filter(|n| !h.held.contains(n)).map(|n| n.ip).collect()
            }
            _ => Vec::new(),
        };
        let silent = leading.backups.iter().any(|node| !self.hears(*node));
        let unsettled = epoch.core != epoch.before || self.next_core(epoch) != epoch.core;
        let until = now + SLOW_FOR;
        let any_late = !late.is_empty();
        self.slow.extend(late.into_iter().map(|ip| (ip, until)));
        if (silent || any_late || unsettled) && now >= self.next_round && self.hears_most() {
            self.begin_round(out);
        }
    }

    /// The process is about to end: whoever can take over does so at once.
    pub fn on_leave(&mut self, now: Millis, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        if std::mem::replace(&mut self.leaving, true) {
            return;
        }
        self.round = None;
        if let Some(leading) = &self.leading {
            let (number, first) = (leading.number, leading.backups.first().copied());
            if leading.holding.is_none() {
                self.leading = None;
            }
            if let Some(node) = first {
                self.say(node.ip, Between::HandOver(number), out);
            }
        }
        self.work(out);
    }
}
