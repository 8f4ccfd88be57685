//! The core as one marker runs it: when a round is tried, who becomes backup and who joins, which calls wait.
//!
//! The rules stand in [`crate::agreement`]; nothing that is decided here can break them, and nothing there trusts a
//! clock. Time only says when to try.

mod counting;
mod hearing;
mod orders;
mod rounds;

use crate::agreement::{Act, Agreement, Then};
use crate::duties::Duties;
use crate::parts::{Keeping, Millis, Output};
use granitelead_control_protocol::messages::{
    Digest, Document, Duty, Epoch, Ledger, MarkerStatus, Node, PeerMessage, ProposalNumber,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::Ipv4Addr;
use std::sync::Arc;

/// How often a marker says that it is there.
const HEAR: Millis = 150;
/// The same to and from markers outside the core: bytes between zones. Gatekeepers whose home such a one is are missed after
/// 400 ms without a word (`state`): it must be well below.
const HEAR_OUTSIDE: Millis = 2 * HEAR;
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
/// The same for one that waits outside without a disk: what such a one holds ends with its process.
const STANDS_IN: Millis = 30_000;
/// An operator's call that can't be made certain in this time is answered so; callers wait a second.
const CALL: Millis = 900;
/// A primary that was told to end finishes what is under way in this time, and hands over.
const FINISH: Millis = 150;
/// A holder that leaves takes over so much later than others would.
const LEFT: Millis = 1_000;
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
    /// The markers that it said last that it hears.
    hears: Vec<Ipv4Addr>,
    sure: Option<u32>,
    sure_sent: Millis,
    standing: MarkerStatus,
}

impl Heard {
    /// One that others name, and that has said nothing yet.
    fn named(node: Node) -> Heard {
        Heard {
            node,
            at: None,
            led: false,
            hears: Vec::new(),
            sure: None,
            sure_sent: 0,
            standing: MarkerStatus::default(),
        }
    }

    fn lately(&self, now: Millis) -> bool {
        self.at.is_some_and(|at| now < at + HEARD)
    }
}

enum Asked {
    /// With the number of its check, where the ledger says what it is answered.
    Replace {
        document: Arc<Document>,
        digest: Digest,
        nonce: Option<u64>,
    },
    Read {
        nonce: u64,
    },
}

struct Call {
    id: u64,
    asked: Asked,
    until: Millis,
}

impl Call {
    /// The number of the check that it waits for.
    fn nonce(&self) -> Option<u64> {
        match self.asked {
            Asked::Read { nonce } => Some(nonce),
            Asked::Replace { nonce, .. } => nonce,
        }
    }
}

/// What is done once a write is on disk.
enum After {
    Agreed(Then),
    Ballot(Duty, ProposalNumber),
    Vote(Ipv4Addr, Duty, ProposalNumber),
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
    /// How many numbers are held here with their contents, and the highest that was forgotten.
    pub numbers: (usize, Option<u32>),
    /// Orders that this marker has refused for their number since its start.
    pub refused: u64,
    /// Rounds begun and won here.
    pub rounds: (u64, u64),
    /// Who holds each duty, by what is heard here, and under which number.
    pub duties: Vec<(Duty, Option<(Node, ProposalNumber)>)>,
    /// How large the core must be, and how many must hold everything, for the losses to be borne.
    pub needed: (usize, usize),
    /// What is missing for them, as it was said last (each 150 ms); see [`Core::shortages`].
    pub short: Vec<String>,
    /// Whether this marker was told to end.
    pub leaves: bool,
}

/// The core as one marker runs it.
pub struct Core {
    agreement: Agreement,
    duties: Duties,
    seeds: Vec<Ipv4Addr>,
    losses: usize,
    standing: MarkerStatus,
    rng: fastrand::Rng,
    now: Millis,
    started: Millis,
    heard: BTreeMap<Ipv4Addr, Heard>,
    said: Millis,
    said_outside: Millis,
    primary: Option<(Ipv4Addr, Millis)>,
    /// The newest epoch that somebody was heard to lead.
    led_epoch: ProposalNumber,
    /// What is missing, as it was said last.
    short: Vec<String>,
    suspect_after: Millis,
    round_begun: Millis,
    calm: bool,
    next_round: Millis,
    failed_rounds: u32,
    rounds: (u64, u64),
    holding_since: Millis,
    majority_heard: Millis,
    slow: BTreeMap<Ipv4Addr, Millis>,
    /// Those who have less than they had, until a round has copied all to the backups.
    went_back: BTreeSet<Node>,
    calls: Vec<Call>,
    refused: u64,
    nonce: u64,
    ticket: u64,
    written: u64,
    writing_since: Millis,
    then: VecDeque<(u64, After)>,
    leaves_by: Millis,
}

/// The identity of a founder.
fn founder(ip: Ipv4Addr) -> Node {
    Node { ip, replica_id: u64::from(u32::from(ip)) }
}

fn empty(node: Node) -> Keeping {
    let zero = ProposalNumber::default();
    Keeping {
        node,
        promised: zero,
        copied: zero,
        epoch: None,
        document: None,
        ledger: Arc::new(Ledger::default()),
        sure: None,
        ballots: BTreeMap::new(),
    }
}

/// What a marker with an empty folder begins with: one of the founders at the first start of all, else one from
/// outside, whose folder is drawn. Founders may lack a disk: the platform names them before anybody knows. `first_start`
/// is true for one process only at an address, so that no name is used twice.
pub fn begin(ip: Ipv4Addr, seeds: &[Ipv4Addr], first_start: bool, drawn: u64) -> Keeping {
    if !(first_start && seeds.contains(&ip)) {
        return empty(Node { ip, replica_id: drawn | 1 << 63 });
    }
    let mut core: Vec<Node> = seeds.iter().copied().map(founder).collect();
    core.sort();
    core.dedup();
    let founding = Epoch {
        number: ProposalNumber::default(),
        previous_core: core.clone(),
        backups: core.clone(),
        core,
        primary: None,
    };
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
            standing: MarkerStatus::default(),
            rng,
            now,
            started: now,
            heard: BTreeMap::new(),
            said: 0,
            said_outside: 0,
            primary: None,
            led_epoch: ProposalNumber::default(),
            short: Vec::new(),
            suspect_after,
            round_begun: now,
            calm: false,
            next_round: 0,
            failed_rounds: 0,
            rounds: (0, 0),
            holding_since: now,
            majority_heard: now,
            slow: BTreeMap::new(),
            went_back: BTreeSet::new(),
            calls: Vec::new(),
            refused: 0,
            nonce: 0,
            ticket: 0,
            written: 0,
            writing_since: now,
            then: VecDeque::new(),
            leaves_by: now,
        }
    }

    /// The same marker in a zone, with a disk or without.
    pub fn placed(mut self, zone: &str, disk: bool) -> Core {
        self.standing = MarkerStatus { zone: zone.to_owned(), is_volatile: !disk, ..MarkerStatus::default() };
        self
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
            numbers: (self.agreement.ledger().entries().len(), self.agreement.ledger().forgotten()),
            refused: self.refused,
            rounds: self.rounds,
            duties: self.duties.holders(self.now),
            needed: (self.core_needed(), self.losses + 1),
            short: self.short.clone(),
            leaves: self.standing.is_leaving,
        }
    }

    /// The newest configuration that can't be lost any more, as far as is known here.
    pub fn sure(&self) -> Option<&Arc<Document>> {
        self.agreement.sure()
    }

    /// The number under which this marker has a duty now.
    pub fn holds(&self, duty: Duty) -> Option<ProposalNumber> {
        self.duties.held(duty).filter(|_| self.hears_most())
    }

    /// Whether what somebody does as the holder of a duty still counts.
    pub fn allows(&mut self, duty: Duty, number: ProposalNumber) -> bool {
        self.duties.allows(duty, number)
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
                    out.push(Output::Send(to, PeerMessage::Vote(duty, number)));
                }
                Some((_, After::Ballot(duty, number))) => {
                    let (me, core) = (self.me(), self.voters());
                    for node in core.iter().filter(|node| **node != me) {
                        out.push(Output::Send(node.ip, PeerMessage::RequestVote(duty, number)));
                    }
                    self.duties.on_vote(self.now, me, duty, number, &core);
                }
                None => {}
            }
        }
        self.go_on(out);
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
                    self.went_back.clear();
                    (self.majority_heard, self.said, self.said_outside) = (self.now, 0, 0);
                    self.ask_again(&mut more);
                }
                Act::Deposed(number) => log::info!("no longer primary of round {}", number.round),
                Act::Safe(document) => self.on_safe(document, out),
                Act::Entered(entries) => self.on_entered(&entries, out),
                Act::Certain(nonce) => self.on_certain(nonce, out),
            }
            // What follows from an act comes before the other acts.
            more.into_iter().rev().for_each(|act| acts.push_front(act));
        }
    }

    /// Takes in what another marker says.
    pub fn on_word(&mut self, now: Millis, from: Node, word: PeerMessage, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        match word {
            PeerMessage::Heartbeat {
                epoch,
                is_primary: leads,
                has_primary: led,
                committed: sure,
                reachable: others,
                duties,
                status: standing,
            } => {
                self.duties.on_hear(self.now, from, &duties);
                self.on_hear(from, epoch, leads, led, sure, &others, standing, out);
            }
            PeerMessage::RequestVote(duty, number) => {
                if self.voters().contains(&from) && self.duties.on_ballot(self.now, from, duty, number) {
                    self.keep(After::Vote(from.ip, duty, number), out);
                }
            }
            PeerMessage::Vote(duty, number) => {
                let core = self.voters();
                self.duties.on_vote(self.now, from, duty, number, &core);
            }
            PeerMessage::HandOver(number) => {
                let mine = |e: &Epoch| e.number == number && e.holds(self.me());
                let mine = self.agreement.epoch().is_some_and(mine);
                if mine && self.agreement.asks().is_none() && !self.standing.is_leaving && !self.is_old() {
                    self.begin_round(out);
                }
            }
            word => {
                let prepare = match &word {
                    PeerMessage::Prepare(number) => Some(*number),
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

    /// Time passes.
    pub fn on_tick(&mut self, now: Millis, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        let now = self.now;
        if now >= self.said + HEAR {
            self.said = now;
            self.note_shortages();
            self.say_hear(out);
            // What was asked may have been lost with a line.
            self.agree(out, Agreement::again);
            let checks: Vec<u64> = self.calls.iter().filter_map(Call::nonce).collect();
            checks.into_iter().for_each(|nonce| self.agree(out, |a, acts| a.check(nonce, acts)));
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
        } else if self.agreement.asks().is_none() {
            self.watch_as_other(out);
        }
        let may = self.voters().contains(&self.me()) && !self.standing.is_leaving;
        for (duty, number) in self.duties.on_tick(now, may && self.hears_most()) {
            self.keep(After::Ballot(duty, number), out);
        }
        self.go_on(out);
        self.hand_over(out);
    }
}
