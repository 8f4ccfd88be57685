//! Duties that one marker does, each won by a round of ballots whenever it falls vacant, and fenced by its number.
//!
//! A candidate asks all of the core for their votes under a number that is higher than any it knows. Whoever votes
//! promises, on disk, to take nothing of a lower number any more, and votes only where nobody is heard to hold the duty. A majority of
//! votes is the duty. Its holder says so in every word that it is heard by, and puts its number on what it does:
//! **who wakes from a freeze with an old number can do nothing**, as a majority refuses it.
//!
//! What must never happen: two hold a duty under one number (numbers end in the folder of whoever asks); something is
//! taken from a holder after a higher number was promised. What must in the end: while most of the core hear each
//! other, somebody holds each duty.
//!
//! The primary is not among these: who may be primary depends on who holds what, and is decided by epochs
//! ([`crate::agreement`]).

use crate::agreement::is_majority;
use crate::parts::Millis;
use granitelead_control_protocol::messages::{Duty, Node, ProposalNumber};
use std::collections::{BTreeMap, BTreeSet};

/// All duties.
pub const DUTIES: [Duty; 1] = [Duty::Reaper];
/// A holder that is not heard for so long holds nothing any more, as far as votes go.
const HEARD: Millis = 700;
/// A vacant duty is asked for after a wait drawn between these.
const WAIT: (Millis, Millis) = (100, 600);
/// A ballot without a majority in this time has failed.
const BALLOT: Millis = 600;

struct Ballot {
    number: ProposalNumber,
    begun: Millis,
    votes: BTreeSet<Node>,
}

#[derive(Default)]
struct State {
    holder: Option<(Node, ProposalNumber, Millis)>,
    highest: u64,
    held: Option<ProposalNumber>,
    ballot: Option<Ballot>,
    next: Millis,
}

/// The duties as one marker knows them.
pub struct Duties {
    me: Node,
    promised: BTreeMap<Duty, ProposalNumber>,
    states: BTreeMap<Duty, State>,
    rng: fastrand::Rng,
}

impl Duties {
    /// For a marker that has promised this.
    pub fn new(me: Node, promised: BTreeMap<Duty, ProposalNumber>, seed: u64, now: Millis) -> Duties {
        let mut rng = fastrand::Rng::with_seed(seed);
        // Whoever holds one says so before anybody asks.
        let state = |duty| (duty, State { next: now + HEARD + rng.u64(WAIT.0..WAIT.1), ..State::default() });
        let states = DUTIES.into_iter().map(state).collect();
        Duties { me, promised, states, rng }
    }

    /// What has to last.
    pub fn ballots(&self) -> &BTreeMap<Duty, ProposalNumber> {
        &self.promised
    }

    /// Those that this marker holds.
    pub fn mine(&self) -> Vec<(Duty, ProposalNumber)> {
        self.states.iter().filter_map(|(duty, state)| state.held.map(|number| (*duty, number))).collect()
    }

    /// The number under which this marker holds a duty.
    pub fn held(&self, duty: Duty) -> Option<ProposalNumber> {
        self.states.get(&duty).and_then(|state| state.held)
    }

    /// Who holds each duty, as far as is heard here.
    pub fn holders(&self, now: Millis) -> Vec<(Duty, Option<(Node, ProposalNumber)>)> {
        let holder = |state: &State| match state.held {
            Some(number) => Some((self.me, number)),
            None => {
                state.holder.filter(|(_, _, at)| now < at + HEARD).map(|(node, number, _)| (node, number))
            }
        };
        self.states.iter().map(|(duty, state)| (*duty, holder(state))).collect()
    }

    /// Whether what is done under this number still counts; a higher one than any before is remembered.
    pub fn allows(&mut self, duty: Duty, number: ProposalNumber) -> bool {
        let promised = self.promised.entry(duty).or_default();
        let allowed = number >= *promised;
        *promised = number.max(*promised);
        let promised = *promised;
        if let Some(state) = self.states.get_mut(&duty) {
            state.highest = state.highest.max(number.round);
            if state.held.is_some_and(|held| held < promised) {
                log::info!("{duty:?} is held by another now");
                state.held = None;
            }
            if state.ballot.as_ref().is_some_and(|ballot| ballot.number < promised) {
                state.ballot = None;
            }
        }
        allowed
    }

    /// Another marker names the duties that it holds.
    pub fn on_hear(&mut self, now: Millis, from: Node, duties: &[(Duty, ProposalNumber)]) {
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

    /// A candidate asks for a vote. If it is to have it, that must be on disk first.
    pub fn on_ballot(&mut self, now: Millis, from: Node, duty: Duty, number: ProposalNumber) -> bool {
        let heard = |state: &State| {
            let other = state.holder.is_some_and(|(node, _, at)| node != from && now < at + HEARD);
            other || state.held.is_some()
        };
        if self.states.get(&duty).is_none_or(heard) || self.promised.get(&duty).is_some_and(|p| *p >= number)
        {
            return false;
        }
        if let Some(state) = self.states.get_mut(&duty) {
            // Whoever asks has its time.
            state.next = state.next.max(now + BALLOT);
        }
        self.allows(duty, number)
    }

    /// Somebody of the core votes for this marker.
    pub fn on_vote(&mut self, now: Millis, from: Node, duty: Duty, number: ProposalNumber, core: &[Node]) {
        let Some(state) = self.states.get_mut(&duty) else { return };
        let Some(ballot) = state.ballot.as_mut().filter(|ballot| ballot.number == number) else { return };
        ballot.votes.insert(from);
        if is_majority(core, |node| ballot.votes.contains(node)) {
            log::info!(
                "{duty:?} under number {}, after {} ms",
                number.round,
                now.saturating_sub(ballot.begun)
            );
            (state.ballot, state.held) = (None, Some(number));
        }
    }

    /// Time passes; `may` says whether this marker may hold duties: it is of the core and hears most of it. Gives the
    /// ballots that it begins: its own vote must be on disk before it asks for others.
    pub fn on_tick(&mut self, now: Millis, may: bool) -> Vec<(Duty, ProposalNumber)> {
        let mut begun = Vec::new();
        for (duty, state) in &mut self.states {
            if !may {
                if state.held.take().is_some() {
                    log::info!("{duty:?} is laid down");
                }
                state.ballot = None;
                state.next = state.next.max(now + self.rng.u64(WAIT.0..WAIT.1));
                continue;
            }
            if state.ballot.as_ref().is_some_and(|ballot| now > ballot.begun + BALLOT) {
                state.ballot = None;
                state.next = now + self.rng.u64(WAIT.0..WAIT.1);
            }
            let heard = state.holder.is_some_and(|(_, _, at)| now < at + HEARD);
            if heard {
                // Drawn anew while there is one, so that those who miss it do not all ask at once.
                state.next = now + self.rng.u64(WAIT.0..WAIT.1);
            }
            if heard || state.held.is_some() || state.ballot.is_some() || now < state.next {
                continue;
            }
            let promised = self.promised.entry(*duty).or_default();
            let number =
                ProposalNumber { round: state.highest.max(promised.round) + 1, proposer: self.me.replica_id };
            (*promised, state.highest) = (number, number.round);
            state.ballot = Some(Ballot { number, begun: now, votes: BTreeSet::new() });
            begun.push((*duty, number));
        }
        begun
    }

    /// The process is about to end: others need not wait until they miss it.
    pub fn lay_down(&mut self) {
        for state in self.states.values_mut() {
            (state.held, state.ballot) = (None, None);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use googletest::prelude::*;

    const D: Duty = Duty::Reaper;

    fn nodes() -> Vec<Node> {
        (1..=3).map(|n| Node { ip: [10, 0, 0, n].into(), replica_id: u64::from(n) }).collect()
    }

    fn duties(node: Node) -> Duties {
        Duties::new(node, BTreeMap::new(), node.replica_id, 0)
    }

    /// Two win their first ballots; only the one with the higher number is left, and a majority refuses the other.
    #[gtest]
    fn of_two_that_win_at_once_one_is_left_and_the_other_can_do_nothing() {
        let core = nodes();
        let (mut a, mut b, mut c) = (duties(core[0]), duties(core[1]), duties(core[2]));
        let (first, second) = (a.on_tick(1_400, true)[0].1, b.on_tick(1_400, true)[0].1);
        expect_that!((first.round, second.round), eq((1, 1)));
        a.on_vote(1_410, core[0], D, first, &core);
        b.on_vote(1_410, core[1], D, second, &core);
        expect_true!(c.on_ballot(1_410, core[0], D, first) && c.on_ballot(1_411, core[1], D, second));
        a.on_vote(1_420, core[2], D, first, &core);
        b.on_vote(1_420, core[2], D, second, &core);
        expect_that!((a.held(D), b.held(D)), eq((Some(first), Some(second))));
        expect_false!(c.allows(D, first) || b.allows(D, first));
        expect_true!(c.allows(D, second));
        a.on_hear(1_570, core[1], &b.mine());
        expect_that!(a.held(D), none());
        // Nobody asks again while the holder is heard, and the next number is higher.
        expect_true!(a.on_tick(2_200, true).is_empty());
        expect_false!(
            c.on_ballot(1_600, core[0], D, ProposalNumber { round: 9, proposer: 1 })
                && c.holders(1_600).is_empty()
        );
        expect_that!(a.on_tick(4_000, true)[0].1, gt(second));
    }

    #[gtest]
    fn whoever_was_frozen_or_started_again_takes_nothing_older_than_it_promised() {
        let core = nodes();
        let (mut a, mut b) = (duties(core[0]), duties(core[1]));
        let first = a.on_tick(1_400, true)[0].1;
        a.on_vote(1_410, core[0], D, first, &core);
        a.on_vote(1_410, core[2], D, first, &core);
        // It froze: meanwhile the next one was promised here, on disk, and here is started again.
        let second = ProposalNumber { round: 2, proposer: 3 };
        expect_true!(b.on_ballot(9_000, core[2], D, second));
        let mut b = Duties::new(core[1], b.ballots().clone(), 5, 0);
        expect_false!(b.allows(D, first));
        // It hears nobody when it wakes, and lays the duty down.
        expect_that!(a.held(D), some(eq(first)));
        a.on_tick(9_500, false);
        expect_that!(a.held(D), none());
    }
}
