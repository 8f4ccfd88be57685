//! Drives the consensus protocol on one marker: decides when to start rounds, chooses backups and
//! core members, and holds operators' calls until they can be answered.
//!
//! The safety rules are in [`crate::agreement`], which uses no clock; no decision made here can
//! violate them. Time only determines when something is attempted.

mod heartbeats;
mod operator_calls;
mod quota_group;
mod rounds;

use crate::agreement::{AfterWrite, Agreement, Effect};
use crate::duties::Duties;
use crate::parts::{Keeping, Millis, Output};
use granitelead_control_protocol::messages::{
    Digest, Document, Duty, Epoch, Ledger, MarkerStatus, Node, PeerMessage, ProposalNumber,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::Ipv4Addr;
use std::sync::Arc;

/// Interval between heartbeats to other members of the core.
const HEARTBEAT_INTERVAL: Millis = 150;
/// Interval between heartbeats to and from markers outside the core; longer, to save traffic
/// between zones. It must be well below the 400 ms after which gatekeepers whose home is such a
/// marker count as missed (`state`).
const OUTSIDE_HEARTBEAT_INTERVAL: Millis = 2 * HEARTBEAT_INTERVAL;
/// A marker that sent no heartbeat for this time counts as down.
const HEARTBEAT_TIMEOUT: Millis = 700;
/// Range of the random time without a primary after which a marker that stores all committed state
/// starts a round.
const ELECTION_TIMEOUT: (Millis, Millis) = (750, 1_150);
/// The same range where the connection to the primary broke: a process that exits closes its
/// connections at once. The lower bound leaves a live primary time for one more heartbeat.
const DISCONNECT_ELECTION_TIMEOUT: (Millis, Millis) = (HEARTBEAT_INTERVAL + 25, 400);
/// The same time after a start: the first value applies to the last primary or the first founder;
/// other markers wait longer by a random time between the second and the third.
const STARTUP_ELECTION_TIMEOUT: (Millis, Millis, Millis) = (2 * HEARTBEAT_INTERVAL / 3, 150, 450);
/// A round that makes no progress for this time is abandoned; the next one starts after a random
/// backoff.
const ROUND_TIMEOUT: Millis = 600;
/// Backoff before the next round: the minimum, the initial maximum (doubled with each failed
/// round), and the cap.
const ROUND_BACKOFF: (Millis, Millis, Millis) = (50, 300, 2_000);
/// A backup that takes longer than this to store a change is replaced.
const REPLICATION_TIMEOUT: Millis = 450;
/// For how long a slow backup is avoided where there are others.
const SLOW_BACKUP_PENALTY: Millis = 3_000;
/// A primary whose disk does not complete a write within this time hands over.
const DISK_TIMEOUT: Millis = 900;
/// A primary that hears no majority of the core for this time steps down.
const MAJORITY_TIMEOUT: Millis = 600;
/// A core member that is silent for this time is replaced by a marker from outside the core.
const MEMBER_REPLACEMENT_DELAY: Millis = 2_500;
/// The same delay for a replacement without a disk, whose state ends with its process.
const DISKLESS_REPLACEMENT_DELAY: Millis = 30_000;
/// Deadline of an operator's call, after which it is answered as uncertain; below the callers'
/// timeout of one second.
const CALL_TIMEOUT: Millis = 900;
/// How long a primary that is shutting down waits for the replication in progress before it hands
/// over.
const HANDOVER_TIMEOUT: Millis = 150;
/// Extra delay before a holder that is shutting down starts a round, so that others take over
/// first.
const LEAVING_ELECTION_DELAY: Millis = 1_000;
/// Largest number of calls that wait at once.
const CALLS_MAX: usize = 256;
/// Largest number of other markers that are tracked.
const KNOWN_MAX: usize = 64;
/// A silent marker that is neither in the core nor a seed is forgotten after this time.
const FORGET_AFTER: Millis = 60_000;

struct Peer {
    node: Node,
    /// The time of the last heartbeat; `None` for a marker that only others have named.
    last_heard: Option<Millis>,
    has_primary: bool,
    /// The markers that it reported as alive in its last heartbeat.
    hears: Vec<Ipv4Addr>,
    committed: Option<u32>,
    committed_sent_at: Millis,
    standing: MarkerStatus,
}

impl Peer {
    /// A marker that others name and that has sent nothing yet.
    fn unheard(node: Node) -> Peer {
        Peer {
            node,
            last_heard: None,
            has_primary: false,
            hears: Vec::new(),
            committed: None,
            committed_sent_at: 0,
            standing: MarkerStatus::default(),
        }
    }

    fn is_alive(&self, now: Millis) -> bool {
        self.last_heard.is_some_and(|at| now < at + HEARTBEAT_TIMEOUT)
    }
}

enum Request {
    /// `nonce` identifies the check that the call waits for, if its version was not free.
    Replace {
        document: Arc<Document>,
        digest: Digest,
        nonce: Option<u64>,
    },
    Read {
        nonce: u64,
    },
}

struct PendingCall {
    id: u64,
    request: Request,
    deadline: Millis,
}

impl PendingCall {
    /// The number of the check that the call waits for.
    fn nonce(&self) -> Option<u64> {
        match self.request {
            Request::Read { nonce } => Some(nonce),
            Request::Replace { nonce, .. } => nonce,
        }
    }
}

/// The action that follows once a write is on disk.
enum WriteFollowUp {
    Agreement(AfterWrite),
    Ballot(Duty, ProposalNumber),
    Vote(Ipv4Addr, Duty, ProposalNumber),
}

/// A snapshot of the core's state for status reports and tests.
#[derive(Clone, Debug, PartialEq)]
pub struct CoreStatus {
    /// The newest epoch accepted here.
    pub epoch: Option<Epoch>,
    /// Whether this marker is the primary of that epoch, accepted by a majority.
    pub is_primary: bool,
    /// The newest version known to be committed.
    pub committed: Option<u32>,
    /// How many versions the ledger holds, and the highest one that it has dropped.
    pub versions: (usize, Option<u32>),
    /// How many changes this marker has refused since its start because their version holds another
    /// content.
    pub refused: u64,
    /// How many rounds this marker has started, and how many it has won.
    pub rounds: (u64, u64),
    /// The known holder of each duty, and the number under which it holds it.
    pub duties: Vec<(Duty, Option<(Node, ProposalNumber)>)>,
    /// The size of the core and the number of copies that the configured losses require.
    pub needed: (usize, usize),
    /// What is missing to tolerate the configured losses, refreshed every 150 ms; see
    /// [`Core::shortages`].
    pub shortages: Vec<String>,
    /// Whether this marker is shutting down.
    pub shutting_down: bool,
}

/// The consensus driver of one marker.
pub struct Core {
    agreement: Agreement,
    duties: Duties,
    seeds: Vec<Ipv4Addr>,
    losses: usize,
    standing: MarkerStatus,
    rng: fastrand::Rng,
    now: Millis,
    started: Millis,
    peers: BTreeMap<Ipv4Addr, Peer>,
    last_heartbeat: Millis,
    last_outside_heartbeat: Millis,
    primary: Option<(Ipv4Addr, Millis)>,
    /// The highest epoch whose primary sent a heartbeat.
    highest_led_epoch: ProposalNumber,
    /// The shortages that were logged last.
    logged_shortages: Vec<String>,
    election_timeout: Millis,
    round_progressed_at: Millis,
    core_all_alive: bool,
    next_round_at: Millis,
    failed_rounds: u32,
    rounds: (u64, u64),
    replicating_since: Millis,
    majority_heard_at: Millis,
    slow_until: BTreeMap<Ipv4Addr, Millis>,
    /// Markers that store less than they did before, until a round has copied the full state to its
    /// backups.
    regressed: BTreeSet<Node>,
    calls: Vec<PendingCall>,
    refused: u64,
    last_nonce: u64,
    last_ticket: u64,
    written_ticket: u64,
    writing_since: Millis,
    follow_ups: VecDeque<(u64, WriteFollowUp)>,
    handover_deadline: Millis,
}

/// The identity of a founding member, derived from its address.
fn founder(ip: Ipv4Addr) -> Node {
    Node { ip, replica_id: u64::from(u32::from(ip)) }
}

fn empty_state(node: Node) -> Keeping {
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

/// The persistent state of a marker with an empty data directory. At the first start of the
/// deployment a seed becomes a founding member, also without a disk, because the platform chooses
/// the seeds before disks are known. Any other marker starts outside the core with the random
/// identity `drawn`. `first_start` must be true for at most one process at an address, so that no
/// identity is used twice.
pub fn initial_state(ip: Ipv4Addr, seeds: &[Ipv4Addr], first_start: bool, drawn: u64) -> Keeping {
    if !(first_start && seeds.contains(&ip)) {
        return empty_state(Node { ip, replica_id: drawn | 1 << 63 });
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
    Keeping { epoch, ..empty_state(node) }
}

impl Core {
    /// Creates the driver from the persistent state of this marker.
    pub fn new(state: Keeping, seeds: &[Ipv4Addr], losses: usize, seed: u64, now: Millis) -> Core {
        let mut rng = fastrand::Rng::with_seed(seed);
        // No heartbeat has been received yet, so no primary can be missed yet. The last primary,
        // which stores all committed state, starts a round soon; where there is a primary, its
        // heartbeats come first.
        let first = state.epoch.as_ref().is_some_and(|e| match e.primary {
            Some(primary) => primary == state.node,
            None => e.core.first() == Some(&state.node),
        });
        let election_timeout = STARTUP_ELECTION_TIMEOUT.0
            + if first { 0 } else { rng.u64(STARTUP_ELECTION_TIMEOUT.1..STARTUP_ELECTION_TIMEOUT.2) };
        Core {
            duties: Duties::new(state.node, state.ballots.clone(), rng.u64(..), now),
            agreement: Agreement::new(state),
            seeds: seeds.to_vec(),
            losses,
            standing: MarkerStatus::default(),
            rng,
            now,
            started: now,
            peers: BTreeMap::new(),
            last_heartbeat: 0,
            last_outside_heartbeat: 0,
            primary: None,
            highest_led_epoch: ProposalNumber::default(),
            logged_shortages: Vec::new(),
            election_timeout,
            round_progressed_at: now,
            core_all_alive: false,
            next_round_at: 0,
            failed_rounds: 0,
            rounds: (0, 0),
            replicating_since: now,
            majority_heard_at: now,
            slow_until: BTreeMap::new(),
            regressed: BTreeSet::new(),
            calls: Vec::new(),
            refused: 0,
            last_nonce: 0,
            last_ticket: 0,
            written_ticket: 0,
            writing_since: now,
            follow_ups: VecDeque::new(),
            handover_deadline: now,
        }
    }

    /// Sets the zone of this marker, and whether it has a disk.
    pub fn with_placement(mut self, zone: &str, disk: bool) -> Core {
        self.standing = MarkerStatus { zone: zone.to_owned(), is_volatile: !disk, ..MarkerStatus::default() };
        self
    }

    /// The identity of this marker.
    pub fn me(&self) -> Node {
        self.agreement.me()
    }

    /// A snapshot for status reports.
    pub fn view(&self) -> CoreStatus {
        CoreStatus {
            epoch: self.agreement.epoch().cloned(),
            is_primary: self.agreement.leadership().is_some(),
            committed: self.agreement.committed().map(|d| d.version),
            versions: (self.agreement.ledger().entries().len(), self.agreement.ledger().forgotten()),
            refused: self.refused,
            rounds: self.rounds,
            duties: self.duties.holders(self.now),
            needed: (self.core_needed(), self.losses + 1),
            shortages: self.logged_shortages.clone(),
            shutting_down: self.standing.is_leaving,
        }
    }

    /// The newest configuration that is known here to be committed.
    pub fn committed(&self) -> Option<&Arc<Document>> {
        self.agreement.committed()
    }

    /// The number under which this marker holds a duty, while it hears a majority of the core.
    pub fn holds(&self, duty: Duty) -> Option<ProposalNumber> {
        self.duties.held(duty).filter(|_| self.hears_majority())
    }

    /// Whether an action by the holder of a duty under this number is still valid.
    pub fn allows(&mut self, duty: Duty, number: ProposalNumber) -> bool {
        self.duties.allows(duty, number)
    }

    fn persist(&mut self, follow_up: WriteFollowUp, out: &mut Vec<Output>) {
        if self.last_ticket == self.written_ticket {
            self.writing_since = self.now;
        }
        self.last_ticket += 1;
        self.follow_ups.push_back((self.last_ticket, follow_up));
        let state = Keeping { ballots: self.duties.ballots().clone(), ..self.agreement.persistent_state() };
        out.push(Output::Write(self.last_ticket, state));
    }

    /// Handles the completion of all writes up to this ticket.
    pub fn on_written(&mut self, now: Millis, ticket: u64, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        self.written_ticket = self.written_ticket.max(ticket);
        self.writing_since = self.now;
        while self.follow_ups.front().is_some_and(|(t, _)| *t <= self.written_ticket) {
            match self.follow_ups.pop_front() {
                Some((_, WriteFollowUp::Agreement(action))) => {
                    self.step_agreement(out, |a, effects| a.on_written(action, effects))
                }
                Some((_, WriteFollowUp::Vote(to, duty, number))) => {
                    out.push(Output::Send(to, PeerMessage::Vote(duty, number)));
                }
                Some((_, WriteFollowUp::Ballot(duty, number))) => {
                    let (me, core) = (self.me(), self.core_members());
                    for node in core.iter().filter(|node| **node != me) {
                        out.push(Output::Send(node.ip, PeerMessage::RequestVote(duty, number)));
                    }
                    self.duties.on_vote(self.now, me, duty, number, &core);
                }
                None => {}
            }
        }
        self.process_calls(out);
    }

    fn core_members(&self) -> Vec<Node> {
        self.agreement.epoch().map(|e| e.core.clone()).unwrap_or_default()
    }

    /// Runs a step of the agreement and carries out its effects.
    fn step_agreement(&mut self, out: &mut Vec<Output>, step: impl FnOnce(&mut Agreement, &mut Vec<Effect>)) {
        let mut effects = Vec::new();
        step(&mut self.agreement, &mut effects);
        let mut effects = VecDeque::from(effects);
        while let Some(effect) = effects.pop_front() {
            let mut more = Vec::new();
            match effect {
                Effect::Send(to, message) => out.push(Output::Send(to, message)),
                Effect::Persist(action) => self.persist(WriteFollowUp::Agreement(action), out),
                Effect::ChooseEpoch { number, newest, willing } => {
                    if let Some(next) = self.next_epoch(number, &newest, &willing) {
                        self.agreement.choose_epoch(next, &mut more);
                    }
                }
                Effect::PhaseAdvanced => self.round_progressed_at = self.now,
                Effect::RoundFailed => {
                    let longest = (ROUND_BACKOFF.1 << self.failed_rounds.min(8)).min(ROUND_BACKOFF.2);
                    self.failed_rounds += 1;
                    self.next_round_at = self.now + self.rng.u64(ROUND_BACKOFF.0..=longest);
                }
                Effect::BecamePrimary(number) => {
                    log::info!("became primary in round {}: {:?}", number.round, self.agreement.leadership());
                    self.failed_rounds = 0;
                    self.rounds.1 += 1;
                    self.regressed.clear();
                    (self.majority_heard_at, self.last_heartbeat, self.last_outside_heartbeat) =
                        (self.now, 0, 0);
                    self.restart_checks(&mut more);
                }
                Effect::SteppedDown(number) => log::info!("stopped being primary of round {}", number.round),
                Effect::Committed(document) => self.on_committed(document, out),
                Effect::VersionsCommitted(entries) => self.on_versions_committed(&entries, out),
                Effect::CheckPassed(nonce) => self.on_check_passed(nonce, out),
            }
            // The effects of an effect come before the remaining ones.
            more.into_iter().rev().for_each(|effect| effects.push_front(effect));
        }
    }

    /// Handles a message from another marker.
    pub fn on_message(&mut self, now: Millis, from: Node, message: PeerMessage, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        match message {
            PeerMessage::Heartbeat {
                epoch,
                is_primary,
                has_primary,
                committed,
                reachable,
                duties,
                status,
            } => {
                self.duties.on_hear(self.now, from, &duties);
                self.on_heartbeat(from, epoch, is_primary, has_primary, committed, &reachable, status, out);
            }
            PeerMessage::RequestVote(duty, number) => {
                if self.core_members().contains(&from) && self.duties.on_ballot(self.now, from, duty, number)
                {
                    self.persist(WriteFollowUp::Vote(from.ip, duty, number), out);
                }
            }
            PeerMessage::Vote(duty, number) => {
                let core = self.core_members();
                self.duties.on_vote(self.now, from, duty, number, &core);
            }
            PeerMessage::HandOver(number) => {
                let mine = |e: &Epoch| e.number == number && e.holds(self.me());
                let mine = self.agreement.epoch().is_some_and(mine);
                if mine
                    && self.agreement.round_in_progress().is_none()
                    && !self.standing.is_leaving
                    && !self.is_outdated()
                {
                    self.begin_round(out);
                }
            }
            message => {
                let prepare = match &message {
                    PeerMessage::Prepare(number) => Some(*number),
                    _ => None,
                };
                self.step_agreement(out, |a, effects| a.on_message(from, message, effects));
                if prepare.is_some_and(|number| number == self.agreement.promised()) {
                    // Leaves the initiator time to complete its round.
                    self.next_round_at = self.next_round_at.max(self.now + ROUND_TIMEOUT);
                }
                self.process_calls(out);
                self.hand_over(out);
            }
        }
    }

    /// Runs periodic work: heartbeats, timeouts and retries.
    pub fn on_tick(&mut self, now: Millis, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        let now = self.now;
        if now >= self.last_heartbeat + HEARTBEAT_INTERVAL {
            self.last_heartbeat = now;
            self.log_shortages();
            self.send_heartbeats(out);
            // Earlier requests may have been lost with a connection.
            self.step_agreement(out, Agreement::resend);
            let checks: Vec<u64> = self.calls.iter().filter_map(PendingCall::nonce).collect();
            checks
                .into_iter()
                .for_each(|nonce| self.step_agreement(out, |a, effects| a.check(nonce, effects)));
        }
        let core = self.agreement.epoch().into_iter().flat_map(|e| e.core.iter()).map(|n| n.ip);
        let retained: BTreeSet<Ipv4Addr> = core.chain(self.seeds.iter().copied()).collect();
        let started = self.started;
        self.peers.retain(|ip, peer| {
            retained.contains(ip) || now < peer.last_heard.unwrap_or(started) + FORGET_AFTER
        });
        if self.hears_majority() {
            self.majority_heard_at = now;
        }
        if self.agreement.round_in_progress().is_some() && now > self.round_progressed_at + ROUND_TIMEOUT {
            // Backups that did not store the copy in time are avoided next time, where there are
            // others.
            let until = now + SLOW_BACKUP_PENALTY;
            self.slow_until
                .extend(self.agreement.uncopied_backups().into_iter().map(|node| (node.ip, until)));
            self.step_agreement(out, Agreement::abandon_round);
        }
        if self.agreement.leadership().is_some() {
            self.watch_as_primary(out);
        } else if self.agreement.round_in_progress().is_none() {
            self.watch_as_follower(out);
        }
        let eligible = self.core_members().contains(&self.me()) && !self.standing.is_leaving;
        for (duty, number) in self.duties.on_tick(now, eligible && self.hears_majority()) {
            self.persist(WriteFollowUp::Ballot(duty, number), out);
        }
        self.process_calls(out);
        self.hand_over(out);
    }
}
