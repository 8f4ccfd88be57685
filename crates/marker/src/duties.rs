//! Duties that one marker performs for all, each assigned by an election and fenced by the election's
//! number.
//!
//! A candidate asks all core markers for their votes, under a proposal number higher than any it knows.
//! A marker that votes promises, on disk, to accept nothing under a lower number from then on; it votes only while it
//! knows of no live holder. A majority of votes wins the duty. The holder names its duties and their numbers
//! in each heartbeat and puts the number on every action: **a holder that resumes after a freeze with an
//! outdated number can do nothing**, because a majority refuses it.
//!
//! Safety: no two markers hold a duty under the same number (numbers include the candidate's replica
//! identity), and nothing is accepted from a holder after a higher number was promised. Liveness: while a
//! majority of the core can communicate, each duty eventually has a holder.
//!
//! The primary is not one of these duties: which markers are eligible depends on the data they hold, and
//! epochs decide it ([`crate::agreement`]).

use crate::agreement::is_majority;
use crate::types::Millis;
use granitelead_control_protocol::messages::{Duty, Node, ProposalNumber};
use std::collections::{BTreeMap, BTreeSet};

/// All duties.
pub const DUTIES: [Duty; 1] = [Duty::Reaper];
/// A holder without a heartbeat for this long no longer keeps others from voting or standing for election.
const HOLDER_TIMEOUT: Millis = 700;
/// Minimum and maximum of the random delay before a marker starts an election for a vacant duty.
const ELECTION_DELAY: (Millis, Millis) = (100, 600);
/// An election without a majority in this time has failed.
const ELECTION_TIMEOUT: Millis = 600;

struct Election {
    number: ProposalNumber,
    started: Millis,
    votes: BTreeSet<Node>,
}

#[derive(Default)]
struct DutyState {
    holder: Option<(Node, ProposalNumber, Millis)>,
    highest_round: u64,
    held: Option<ProposalNumber>,
    election: Option<Election>,
    next_election: Millis,
}

/// One marker's view of all duties: their holders, its promises and its own elections.
pub struct Duties {
    me: Node,
    promised: BTreeMap<Duty, ProposalNumber>,
    states: BTreeMap<Duty, DutyState>,
    rng: fastrand::Rng,
}

impl Duties {
    /// Creates the state of a marker that made these promises before; `seed` fixes the random election
    /// delays.
    pub fn new(me: Node, promised: BTreeMap<Duty, ProposalNumber>, seed: u64, now: Millis) -> Duties {
        let mut rng = fastrand::Rng::with_seed(seed);
        // Waits long enough for an existing holder's heartbeat to arrive first.
        let state = |duty| {
            (
                duty,
                DutyState {
                    next_election: now + HOLDER_TIMEOUT + rng.u64(ELECTION_DELAY.0..ELECTION_DELAY.1),
                    ..DutyState::default()
                },
            )
        };
        let states = DUTIES.into_iter().map(state).collect();
        Duties { me, promised, states, rng }
    }

    /// The highest proposal number promised for each duty, which must be persistent.
    pub fn promises(&self) -> &BTreeMap<Duty, ProposalNumber> {
        &self.promised
    }

    /// The duties that this marker holds, with their numbers.
    pub fn held_here(&self) -> Vec<(Duty, ProposalNumber)> {
        self.states.iter().filter_map(|(duty, state)| state.held.map(|number| (*duty, number))).collect()
    }

    /// The number under which this marker holds a duty, if it does.
    pub fn held_number(&self, duty: Duty) -> Option<ProposalNumber> {
        self.states.get(&duty).and_then(|state| state.held)
    }

    /// The holder of each duty, as far as this marker knows.
    pub fn holders(&self, now: Millis) -> Vec<(Duty, Option<(Node, ProposalNumber)>)> {
        let holder = |state: &DutyState| match state.held {
            Some(number) => Some((self.me, number)),
            None => state
                .holder
                .filter(|(_, _, at)| now < at + HOLDER_TIMEOUT)
                .map(|(node, number, _)| (node, number)),
        };
        self.states.iter().map(|(duty, state)| (*duty, holder(state))).collect()
    }

    /// Whether an action under this number is still valid, that is, no higher number was promised. A higher
    /// number than any before is remembered, and ends this marker's own hold or election under a lower one.
    pub fn allows(&mut self, duty: Duty, number: ProposalNumber) -> bool {
        let promised = self.promised.entry(duty).or_default();
        let allowed = number >= *promised;
        *promised = number.max(*promised);
        let promised = *promised;
        if let Some(state) = self.states.get_mut(&duty) {
            state.highest_round = state.highest_round.max(number.round);
            if state.held.is_some_and(|held| held < promised) {
                log::info!("{duty:?}: a higher number was promised, this marker holds it no longer");
                state.held = None;
            }
            if state.election.as_ref().is_some_and(|election| election.number < promised) {
                state.election = None;
            }
        }
        allowed
    }

    /// Takes in the duties that another marker names in its heartbeat.
    pub fn on_heartbeat(&mut self, now: Millis, from: Node, duties: &[(Duty, ProposalNumber)]) {
        for (duty, number) in duties {
            if self.allows(*duty, *number) {
                if let Some(state) = self.states.get_mut(duty) {
                    state.holder = Some((from, *number, now));
                }
            }
        }
        for (duty, state) in &mut self.states {
            let holds = duties.iter().any(|(held, _)| held == duty);
            if !holds && state.holder.is_some_and(|(node, ..)| node == from) {
                state.holder = None;
            }
        }
    }

    /// Handles a candidate's request for a vote. Returns whether to vote for it; the promise must be on disk
    /// before the vote is sent.
    pub fn on_vote_request(&mut self, now: Millis, from: Node, duty: Duty, number: ProposalNumber) -> bool {
        let other_holds = |state: &DutyState| {
            let other = state.holder.is_some_and(|(node, _, at)| node != from && now < at + HOLDER_TIMEOUT);
            other || state.held.is_some()
        };
        if self.states.get(&duty).is_none_or(other_holds)
            || self.promised.get(&duty).is_some_and(|p| *p >= number)
        {
            return false;
        }
        if let Some(state) = self.states.get_mut(&duty) {
            // Gives the candidate time to win before this marker starts an election itself.
            state.next_election = state.next_election.max(now + ELECTION_TIMEOUT);
        }
        self.allows(duty, number)
    }

    /// Counts a vote of a core marker for this one.
    pub fn on_vote(&mut self, now: Millis, from: Node, duty: Duty, number: ProposalNumber, core: &[Node]) {
        let Some(state) = self.states.get_mut(&duty) else { return };
        let Some(election) = state.election.as_mut().filter(|election| election.number == number) else {
            return;
        };
        election.votes.insert(from);
        if is_majority(core, |node| election.votes.contains(node)) {
            log::info!(
                "{duty:?}: elected in round {} after {} ms",
                number.round,
                now.saturating_sub(election.started)
            );
            (state.election, state.held) = (None, Some(number));
        }
    }

    /// Advances to `now`. `may` says whether this marker is eligible: it belongs to the core and hears a
    /// majority of it. Returns the elections that it starts: its own vote must be on disk before it asks
    /// others for theirs.
    pub fn on_tick(&mut self, now: Millis, may: bool) -> Vec<(Duty, ProposalNumber)> {
        let mut started = Vec::new();
        for (duty, state) in &mut self.states {
            if !may {
                if state.held.take().is_some() {
                    log::info!("{duty:?}: released, as this marker is not eligible any more");
                }
                state.election = None;
                state.next_election =
                    state.next_election.max(now + self.rng.u64(ELECTION_DELAY.0..ELECTION_DELAY.1));
                continue;
            }
            if state.election.as_ref().is_some_and(|election| now > election.started + ELECTION_TIMEOUT) {
                state.election = None;
                state.next_election = now + self.rng.u64(ELECTION_DELAY.0..ELECTION_DELAY.1);
            }
            let holder_is_live = state.holder.is_some_and(|(_, _, at)| now < at + HOLDER_TIMEOUT);
            if holder_is_live {
                // The delay is drawn again while there is a holder, so that the markers that lose contact
                // with it do not all stand for election at once.
                state.next_election = now + self.rng.u64(ELECTION_DELAY.0..ELECTION_DELAY.1);
            }
            if holder_is_live || state.held.is_some() || state.election.is_some() || now < state.next_election
            {
                continue;
            }
            let promised = self.promised.entry(*duty).or_default();
            let number = ProposalNumber {
                round: state.highest_round.max(promised.round) + 1,
                proposer: self.me.replica_id,
            };
            (*promised, state.highest_round) = (number, number.round);
            state.election = Some(Election { number, started: now, votes: BTreeSet::new() });
            started.push((*duty, number));
        }
        started
    }

    /// Gives up all duties before shutdown, so that the others need not wait for the holder timeout.
    pub fn release_all(&mut self) {
        for state in self.states.values_mut() {
            (state.held, state.election) = (None, None);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use googletest::prelude::*;

    const DUTY: Duty = Duty::Reaper;

    fn nodes() -> Vec<Node> {
        (1..=3).map(|n| Node { ip: [10, 0, 0, n].into(), replica_id: u64::from(n) }).collect()
    }

    fn duties(node: Node) -> Duties {
        Duties::new(node, BTreeMap::new(), node.replica_id, 0)
    }

    /// Two candidates win their first elections at once; only the one with the higher number keeps the duty,
    /// and a majority refuses the other.
    #[gtest]
    fn of_two_concurrent_winners_only_the_higher_number_is_accepted() {
        let core = nodes();
        let (mut a, mut b, mut c) = (duties(core[0]), duties(core[1]), duties(core[2]));
        let (first, second) = (a.on_tick(1_400, true)[0].1, b.on_tick(1_400, true)[0].1);
        expect_that!((first.round, second.round), eq((1, 1)));
        a.on_vote(1_410, core[0], DUTY, first, &core);
        b.on_vote(1_410, core[1], DUTY, second, &core);
        expect_true!(
            c.on_vote_request(1_410, core[0], DUTY, first) && c.on_vote_request(1_411, core[1], DUTY, second)
        );
        a.on_vote(1_420, core[2], DUTY, first, &core);
        b.on_vote(1_420, core[2], DUTY, second, &core);
        expect_that!((a.held_number(DUTY), b.held_number(DUTY)), eq((Some(first), Some(second))));
        expect_false!(c.allows(DUTY, first) || b.allows(DUTY, first));
        expect_true!(c.allows(DUTY, second));
        a.on_heartbeat(1_570, core[1], &b.held_here());
        expect_that!(a.held_number(DUTY), none());
        // No marker starts an election while the holder is heard, and the next number is higher.
        expect_true!(a.on_tick(2_200, true).is_empty());
        expect_false!(
            c.on_vote_request(1_600, core[0], DUTY, ProposalNumber { round: 9, proposer: 1 })
                && c.holders(1_600).is_empty()
        );
        expect_that!(a.on_tick(4_000, true)[0].1, gt(second));
    }

    #[gtest]
    fn promises_survive_a_restart_and_a_frozen_holder_releases_its_duty() {
        let core = nodes();
        let (mut a, mut b) = (duties(core[0]), duties(core[1]));
        let first = a.on_tick(1_400, true)[0].1;
        a.on_vote(1_410, core[0], DUTY, first, &core);
        a.on_vote(1_410, core[2], DUTY, first, &core);
        // Marker a freezes; meanwhile b promises the next number on disk and is then restarted.
        let second = ProposalNumber { round: 2, proposer: 3 };
        expect_true!(b.on_vote_request(9_000, core[2], DUTY, second));
        let mut b = Duties::new(core[1], b.promises().clone(), 5, 0);
        expect_false!(b.allows(DUTY, first));
        // When a resumes, it hears no other marker and releases the duty.
        expect_that!(a.held_number(DUTY), some(eq(first)));
        a.on_tick(9_500, false);
        expect_that!(a.held_number(DUTY), none());
    }
}
