//! The core as one marker runs it: when a round is tried, who becomes backup and who joins, which calls wait.
//!
//! The rules stand in [`crate::agreement`]; nothing that is decided here can break them, and nothing there trusts a
//! clock. Time only says when to try.

use crate::agreement::{most, Act, Agreement, Then};
use crate::duties::Duties;
use crate::parts::{Keeping, Millis, Output, Reply};
use plugboard::kinds::Kind;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::Ipv4Addr;
use std::sync::Arc;
use trunk::words::{Between, Document, Duty, Epoch, Node, Number};

/// How often a marker says that it is there.
const HEAR: Millis = 150;
/// Without a word for so long a marker counts as not heard.
const HEARD: Millis = 700;
/// Without a primary for between the first and the second, whoever holds everything begins a round; drawn.
const SUSPECT: (Millis, Millis) = (750, 1_150);
/// The same from when the line to it broke, which a process that ends does at once: one that lives is heard again before.
const BROKE: (Millis, Millis) = (HEAR + 25, 400);
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
/// A primary that was told to end finishes what is under way in this time, and hands over.
const FINISH: Millis = 150;
/// Calls that wait at once.
const CALLS_MAX: usize = 256;
/// Markers that are known at once.
const KNOWN_MAX: usize = 64;
/// Markers outside the core are forgotten when silent for so long.
const FORGET: Millis = 60_000;

struct Heard {
    node: Node,
    /// When it was; never, where only others name it.
    at: Option<Millis>,
    led: bool,
    sure: Option<u32>,
    sure_sent: Millis,
}

impl Heard {
    fn lately(&self, now: Millis) -> bool {
        self.at.is_some_and(|at| now < at + HEARD)
    }
}

enum Asked {
    Replace(Arc<Document>),
    Read { nonce: u64 },
}

struct Call {
    id: u64,
    asked: Asked,
    until: Millis,
}

impl Call {
    /// Of a read that waits: the number of its check.
    fn nonce(&self) -> Option<u64> {
        match self.asked {
            Asked::Read { nonce } => Some(nonce),
            Asked::Replace(_) => None,
        }
    }
}

/// What is done once a write is on disk.
enum After {
    Agreed(Then),
    Ballot(Duty, Number),
    Vote(Ipv4Addr, Duty, Number),
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
    /// Who holds each duty, by what is heard here, and under which number.
    pub duties: Vec<(Duty, Option<(Node, Number)>)>,
}

/// The core as one marker runs it.
pub struct Core {
    agreement: Agreement,
    duties: Duties,
    seeds: Vec<Ipv4Addr>,
    losses: usize,
    rng: fastrand::Rng,
    now: Millis,
    started: Millis,
    heard: BTreeMap<Ipv4Addr, Heard>,
    said: Millis,
    primary: Option<(Ipv4Addr, Millis)>,
    suspect_after: Millis,
    round_begun: Millis,
    next_round: Millis,
    failed_rounds: u32,
    rounds: (u64, u64),
    holding_since: Millis,
    majority_heard: Millis,
    slow: BTreeMap<Ipv4Addr, Millis>,
    calls: Vec<Call>,
    nonce: u64,
    ticket: u64,
    written: u64,
    writing_since: Millis,
    then: VecDeque<(u64, After)>,
    leaving: bool,
    leaves_by: Millis,
}

/// The identity of a founder.
fn founder(ip: Ipv4Addr) -> Node {
    Node { ip, folder: u64::from(u32::from(ip)) }
}

fn empty(node: Node) -> Keeping {
    let zero = Number::default();
    Keeping {
        node,
        promised: zero,
        copied: zero,
        epoch: None,
        document: None,
        sure: None,
        ballots: BTreeMap::new(),
    }
}

/// What a marker with an empty folder begins with: one of the founders at the first start of all, else one from
/// outside, whose folder is drawn.
pub fn begin(ip: Ipv4Addr, seeds: &[Ipv4Addr], first_start: bool, drawn: u64) -> Keeping {
    if !(first_start && seeds.contains(&ip)) {
        return empty(Node { ip, folder: drawn | 1 << 63 });
    }
    let mut core: Vec<Node> = seeds.iter().copied().map(founder).collect();
    core.sort();
    core.dedup();
    let founding =
        Epoch { number: Number::default(), before: core.clone(), backups: core.clone(), core, primary: None };
    let (node, epoch) = (founder(ip), Some(founding));
    Keeping { epoch, ..empty(node) }
}

impl Core {
    /// A marker that has kept this.
    pub fn new(keeping: Keeping, seeds: &[Ipv4Addr], losses: usize, seed: u64, now: Millis) -> Core {
        let mut rng = fastrand::Rng::with_seed(seed);
        // Nobody has been heard yet, and so nobody missed: whoever held everything last begins soon. Where there is
        // a primary the others say so before.
        let first = keeping.epoch.as_ref().is_some_and(|e| match e.primary {
            Some(primary) => primary == keeping.node,
            None => e.core.first() == Some(&keeping.node),
        });
        let suspect_after = START.0 + if first { 0 } else { rng.u64(START.1..START.2) };
        Core {
            duties: Duties::new(keeping.node, keeping.ballots.clone(), rng.u64(..), now),
            agreement: Agreement::new(keeping),
            seeds: seeds.to_vec(),
            losses,
            rng,
            now,
            started: now,
            heard: BTreeMap::new(),
            said: 0,
            primary: None,
            suspect_after,
            round_begun: now,
            next_round: 0,
            failed_rounds: 0,
            rounds: (0, 0),
            holding_since: now,
            majority_heard: now,
            slow: BTreeMap::new(),
            calls: Vec::new(),
            nonce: 0,
            ticket: 0,
            written: 0,
            writing_since: now,
            then: VecDeque::new(),
            leaving: false,
            leaves_by: now,
        }
    }

    /// This marker.
    pub fn me(&self) -> Node {
        self.agreement.me()
    }

    /// What one sees of it from outside.
    pub fn view(&self) -> View {
        View {
            epoch: self.agreement.epoch().cloned(),
            leads: self.agreement.leads().is_some(),
            sure: self.agreement.sure().map(|d| d.version),
            rounds: self.rounds,
            duties: self.duties.holders(self.now),
        }
    }

    /// The newest configuration that can't be lost any more, as far as is known here.
    pub fn sure(&self) -> Option<&Arc<Document>> {
        self.agreement.sure()
    }

    /// The number under which this marker has a duty now.
    pub fn holds(&self, duty: Duty) -> Option<Number> {
        self.duties.held(duty).filter(|_| self.hears_most())
    }

    /// Whether what somebody does as the holder of a duty still counts.
    pub fn allows(&mut self, duty: Duty, number: Number) -> bool {
        self.duties.allows(duty, number)
    }

    /// All other markers that are known.
    pub fn known(&self) -> BTreeSet<Ipv4Addr> {
        let core = self.agreement.epoch().into_iter();
        let core = core.flat_map(|e| e.core.iter().chain(&e.before)).map(|node| node.ip);
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

    /// The seeds as a new settings file names them.
    pub fn reseed(&mut self, seeds: &[Ipv4Addr]) {
        self.seeds = seeds.to_vec();
    }

    fn hears(&self, node: Node) -> bool {
        let heard = |h: &Heard| h.node == node && h.lately(self.now);
        node == self.me() || self.heard.get(&node.ip).is_some_and(heard)
    }

    fn has_primary(&self) -> bool {
        let heard = self.primary.is_some_and(|(_, at)| self.now < at + HEARD);
        self.agreement.leads().is_some() || heard
    }

    fn keep(&mut self, after: After, out: &mut Vec<Output>) {
        if self.ticket == self.written {
            self.writing_since = self.now;
        }
        self.ticket += 1;
        self.then.push_back((self.ticket, after));
        let keeping = Keeping { ballots: self.duties.ballots().clone(), ..self.agreement.keeping() };
        out.push(Output::Write(self.ticket, keeping));
    }

    /// All writes up to this ticket are on disk.
    pub fn on_written(&mut self, now: Millis, ticket: u64, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        self.written = self.written.max(ticket);
        self.writing_since = self.now;
        while self.then.front().is_some_and(|(t, _)| *t <= self.written) {
            match self.then.pop_front() {
                Some((_, After::Agreed(then))) => self.agree(out, |a, acts| a.written(then, acts)),
                Some((_, After::Vote(to, duty, number))) => {
                    out.push(Output::Send(to, Between::Vote(duty, number)));
                }
                Some((_, After::Ballot(duty, number))) => {
                    let (me, core) = (self.me(), self.voters());
                    for node in core.iter().filter(|node| **node != me) {
                        out.push(Output::Send(node.ip, Between::Ballot(duty, number)));
                    }
                    self.duties.on_vote(self.now, me, duty, number, &core);
                }
                None => {}
            }
        }
    }

    fn voters(&self) -> Vec<Node> {
        self.agreement.epoch().map(|e| e.core.clone()).unwrap_or_default()
    }

    /// Has the agreement take something in, and does what follows.
    fn agree(&mut self, out: &mut Vec<Output>, take: impl FnOnce(&mut Agreement, &mut Vec<Act>)) {
        let mut acts = Vec::new();
        take(&mut self.agreement, &mut acts);
        let mut acts = VecDeque::from(acts);
        while let Some(act) = acts.pop_front() {
            let mut more = Vec::new();
            match act {
                Act::Say(to, word) => out.push(Output::Send(to, word)),
                Act::Keep(then) => self.keep(After::Agreed(then), out),
                Act::Choose { number, newest, willing } => {
                    if let Some(next) = self.next_epoch(number, &newest, &willing) {
                        self.agreement.copy(next, &mut more);
                    }
                }
                Act::GoesOn => self.round_begun = self.now,
                Act::Failed => {
                    let longest = (AGAIN.1 << self.failed_rounds.min(8)).min(AGAIN.2);
                    self.failed_rounds += 1;
                    self.next_round = self.now + self.rng.u64(AGAIN.0..=longest);
                }
                Act::Leads(number) => {
                    log::info!("primary of round {} with {:?}", number.round, self.agreement.leads());
                    self.failed_rounds = 0;
                    self.rounds.1 += 1;
                    (self.majority_heard, self.said) = (self.now, 0);
                    self.ask_again(&mut more);
                }
                Act::Deposed(number) => log::info!("no longer primary of round {}", number.round),
                Act::Safe(document) => self.on_safe(document, out),
                Act::Certain(nonce) => {
                    let sure = self.agreement.sure().cloned();
                    self.answer(
                        |asked| matches!(asked, Asked::Read { nonce: n } if *n == nonce),
                        out,
                        |_| match &sure {
                            Some(document) => Reply::document(document.clone()),
                            None => Reply::fault(Kind::Unknown, "there is no configuration yet"),
                        },
                    );
                }
            }
            // What follows from an act comes before the other acts.
            more.into_iter().rev().for_each(|act| acts.push_front(act));
        }
    }

    /// Takes in what another marker says.
    pub fn on_word(&mut self, now: Millis, from: Node, word: Between, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        match word {
            Between::Hear { epoch, leads, led, sure, others, duties } => {
                self.duties.on_hear(self.now, from, &duties);
                self.on_hear(from, epoch, leads, led, sure, &others, out);
            }
            Between::Ballot(duty, number) => {
                if self.voters().contains(&from) && self.duties.on_ballot(self.now, from, duty, number) {
                    self.keep(After::Vote(from.ip, duty, number), out);
                }
            }
            Between::Vote(duty, number) => {
                let core = self.voters();
                self.duties.on_vote(self.now, from, duty, number, &core);
            }
            Between::HandOver(number) => {
                let mine = |e: &Epoch| e.number == number && e.holds(self.me());
                let mine = self.agreement.epoch().is_some_and(mine);
                if mine && self.agreement.asks().is_none() && !self.leaving {
                    self.begin_round(out);
                }
            }
            word => {
                let prepare = match &word {
                    Between::Prepare(number) => Some(*number),
                    _ => None,
                };
                self.agree(out, |a, acts| a.take(from, word, acts));
                if prepare.is_some_and(|number| number == self.agreement.promised()) {
                    // Whoever began has its time.
                    self.next_round = self.next_round.max(self.now + ROUND);
                }
                self.go_on(out);
                self.hand_over(out);
            }
        }
    }

    fn begin_round(&mut self, out: &mut Vec<Output>) {
        if self.agreement.is_holding() {
            log::info!("a round while a configuration is on its way");
        }
        let mut begun = None;
        self.agree(out, |a, acts| begun = a.begin(acts));
        if begun.is_some() {
            self.rounds.0 += 1;
            self.round_begun = self.now;
        }
    }

    /// The epoch to follow, unless too few are there to hold what it needs.
    fn next_epoch(&self, number: Number, newest: &Epoch, willing: &BTreeSet<Node>) -> Option<Epoch> {
        let core = self.next_core(newest);
        let wanted = self.losses.min(core.len().saturating_sub(1));
        let can = |node: &&Node| **node != self.me() && willing.contains(node);
        let mut backups: Vec<Node> = core.iter().filter(can).copied().collect();
        let is_slow = |node: &Node| self.slow.get(&node.ip).is_some_and(|until| self.now < *until);
        backups.sort_by_key(|node| (is_slow(node), !self.hears(*node), !newest.holds(*node), *node));
        backups.truncate(wanted);
        let primary = Some(self.me());
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
        let live = self.heard.values().filter(|h| h.lately(self.now)).map(|h| h.node);
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
        let last = self.heard.get(&node.ip).and_then(|heard| heard.at).unwrap_or(self.started);
        node != self.me() && self.now > last + LOST
    }

    fn on_safe(&mut self, document: Arc<Document>, out: &mut Vec<Output>) {
        let version = document.version;
        if self.agreement.leads().is_some() {
            for ip in self.live() {
                out.push(Output::Send(ip, Between::Sure(Document::clone(&document))));
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
        let nonce = self.nonce;
        self.on_call(now, id, Asked::Read { nonce }, out);
        self.agree(out, |a, acts| a.check(nonce, acts));
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
        if self.agreement.leads().is_none() {
            if let Some((ip, _)) = self.primary.filter(|(_, at)| self.now < *at + HEARD) {
                self.answer(|_| true, out, |_| Reply::elsewhere(ip));
            }
            return;
        }
        if self.agreement.is_holding() {
            return;
        }
        let sure = self.agreement.sure().map(|d| d.version);
        self.answer(
            |asked| matches!(asked, Asked::Replace(d) if sure.is_some_and(|sure| d.version <= sure)),
            out,
            |_| Reply::done(),
        );
        // The newest that waits goes first: whatever is below it is overtaken, and answered with it.
        let wanted = self.calls.iter().filter_map(|call| match &call.asked {
            Asked::Replace(document) => Some(document),
            Asked::Read { .. } => None,
        });
        if let Some(document) = wanted.max_by_key(|d| d.version).cloned() {
            self.holding_since = self.now;
            self.agree(out, |a, acts| a.hold(document, acts));
        }
    }

    /// Reads that wait are begun again in a new epoch.
    fn ask_again(&mut self, acts: &mut Vec<Act>) {
        for call in &mut self.calls {
            if let Asked::Read { nonce } = &mut call.asked {
                self.nonce += 1;
                *nonce = self.nonce;
                self.agreement.check(self.nonce, acts);
            }
        }
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
        let (now, me) = (self.now, self.me());
        if from.ip == me.ip {
            return;
        }
        if self.heard.len() < KNOWN_MAX || self.heard.contains_key(&from.ip) {
            let heard =
                self.heard.entry(from.ip).or_insert(Heard { node: from, at: None, led, sure, sure_sent: 0 });
            (heard.node, heard.at, heard.led, heard.sure) = (from, Some(now), led, sure);
        }
        // Those that others hear are dialled too; they are heard once they answer.
        for ip in others.iter().filter(|ip| **ip != me.ip) {
            if self.heard.len() < KNOWN_MAX {
                let node = Node { ip: *ip, folder: 0 };
                self.heard.entry(*ip).or_insert(Heard {
                    node,
                    at: None,
                    led: false,
                    sure: None,
                    sure_sent: 0,
                });
            }
        }
        let mine = self.agreement.epoch().map(|e| e.number).unwrap_or_default();
        self.agreement.learn_round(epoch.round);
        if leads && epoch >= mine && epoch >= self.agreement.promised() {
            self.primary = Some((from.ip, now));
        } else if self.primary.is_some_and(|(ip, _)| ip == from.ip) {
            self.primary = None;
        }
        let tells = self.agreement.leads().is_some();
        if let Some(epoch) = self.agreement.epoch().filter(|_| tells && epoch < mine) {
            out.push(Output::Send(from.ip, Between::Latest(epoch.clone())));
        }
        let behind =
            self.agreement.sure().filter(|mine| sure.is_none_or(|theirs| theirs < mine.version)).cloned();
        if let Some(document) = behind.filter(|_| tells || !led) {
            if let Some(heard) = self.heard.get_mut(&from.ip).filter(|h| now >= h.sure_sent + 2 * HEAR) {
                heard.sure_sent = now;
                out.push(Output::Send(from.ip, Between::Sure(Document::clone(&document))));
            }
        }
    }

    /// The line to another marker broke: if that is the primary, it may have ended.
    pub fn on_broken(&mut self, now: Millis, ip: Ipv4Addr) {
        self.now = self.now.max(now);
        let Some((_, at)) = self.primary.filter(|(primary, at)| *primary == ip && self.now < *at + HEARD)
        else {
            return;
        };
        // Calls wait for the next one rather than being sent to where nobody is, and the others are told at once.
        self.primary = Some((ip, at.min(self.now.saturating_sub(HEARD))));
        self.suspect_after = HEARD + self.rng.u64(BROKE.0..BROKE.1);
        self.said = 0;
    }

    /// Time passes.
    pub fn on_tick(&mut self, now: Millis, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        let now = self.now;
        if now >= self.said + HEAR {
            self.said = now;
            let epoch = self.agreement.epoch().map(|e| e.number).unwrap_or_default();
            let (leads, led, others) = (self.agreement.leads().is_some(), self.has_primary(), self.live());
            let sure = self.agreement.sure().map(|d| d.version);
            for ip in self.known() {
                let (others, duties) = (others.clone(), self.duties.mine());
                out.push(Output::Send(ip, Between::Hear { epoch, leads, led, sure, others, duties }));
            }
            // What was asked may have been lost with a line.
            self.agree(out, Agreement::again);
            let reads: Vec<u64> = self.calls.iter().filter_map(Call::nonce).collect();
            reads.into_iter().for_each(|nonce| self.agree(out, |a, acts| a.check(nonce, acts)));
        }
        let core = self.agreement.epoch().into_iter().flat_map(|e| e.core.iter()).map(|n| n.ip);
        let kept: BTreeSet<Ipv4Addr> = core.chain(self.seeds.iter().copied()).collect();
        let started = self.started;
        self.heard.retain(|ip, h| kept.contains(ip) || now < h.at.unwrap_or(started) + FORGET);
        if self.hears_most() {
            self.majority_heard = now;
        }
        if self.agreement.asks().is_some() && now > self.round_begun + ROUND {
            // Those who did not copy in time are not asked next time, where there are others.
            let until = now + SLOW_FOR;
            self.slow.extend(self.agreement.not_copied().into_iter().map(|node| (node.ip, until)));
            self.agree(out, Agreement::give_up);
        }
        if self.agreement.leads().is_some() {
            self.watch_as_primary(out);
        } else if self.agreement.asks().is_none() && !self.leaving {
            self.watch_as_other(out);
        }
        let may = self.voters().contains(&self.me()) && !self.leaving;
        for (duty, number) in self.duties.on_tick(now, may && self.hears_most()) {
            self.keep(After::Ballot(duty, number), out);
        }
        self.go_on(out);
        self.hand_over(out);
    }

    fn watch_as_other(&mut self, out: &mut Vec<Output>) {
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
        if !epoch.holds(me) || self.now < since + self.suspect_after || self.now < self.next_round {
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

    fn watch_as_primary(&mut self, out: &mut Vec<Output>) {
        let now = self.now;
        let Some((number, backups)) = self.agreement.leads() else { return };
        let backups = backups.to_vec();
        if now > self.majority_heard + ALONE {
            log::info!("most of the core is not heard");
            return self.agree(out, Agreement::depose);
        }
        if self.ticket > self.written && now > self.writing_since + DISK {
            log::info!("the disk does not answer");
            self.next_round = now + SLOW_FOR;
            self.agree(out, Agreement::depose);
            for node in backups {
                out.push(Output::Send(node.ip, Between::HandOver(number)));
            }
            return;
        }
        let Some(epoch) = self.agreement.epoch() else { return };
        let late = if now > self.holding_since + SLOW { self.agreement.late() } else { Vec::new() };
        let silent = backups.iter().any(|node| !self.hears(*node));
        let unsettled = epoch.core != epoch.before || self.next_core(epoch) != epoch.core;
        let until = now + SLOW_FOR;
        let any_late = !late.is_empty();
        self.slow.extend(late.into_iter().map(|node| (node.ip, until)));
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
        self.agree(out, Agreement::give_up);
        self.duties.lay_down();
        (self.said, self.leaves_by) = (0, self.now + FINISH);
        self.hand_over(out);
    }

    /// Leaves what is to come to a backup, once what is under way here is held or has taken too long.
    fn hand_over(&mut self, out: &mut Vec<Output>) {
        if !self.leaving || (self.agreement.is_holding() && self.now < self.leaves_by) {
            return;
        }
        let Some((number, backups)) = self.agreement.leads() else { return };
        let first = backups.first().copied();
        self.agree(out, Agreement::depose);
        if let Some(node) = first {
            out.push(Output::Send(node.ip, Between::HandOver(number)));
        }
    }
}
