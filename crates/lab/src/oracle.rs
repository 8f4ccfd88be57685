//! The rules of the protocol, checked from outside: by what gatekeepers are told and what they do, never by what they
//! think.

use granitelead_decisions::{Availability, Effect, Micros};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Breaches kept in words; the rest are counted.
const KEPT: usize = 20;
/// An answer may come so much after its client's time.
const SLACK: Micros = 50_000;
/// Nothing new goes to a server so long after the gatekeeper was told that it drains or is gone.
const DRAIN_GRACE: Micros = 1_050_000;

/// A rule of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// Every request that was taken gets one final answer in its time.
    NoneLost,
    /// A request runs again only as its class allows.
    NoDuplicate,
    /// Nothing new goes to a server that drains or is gone.
    OrderlyDrain,
    /// No cold server is pushed over.
    OrderlyFailBack,
    /// No ceiling is passed.
    Ceiling,
    /// No gatekeeper ends unless it is told to; on processes only.
    NoCrash,
    /// Once faults are over, each gatekeeper serves; on processes only.
    ServiceReturns,
    /// Once faults are over, all have been told the same list; on processes only.
    ListAgrees,
    /// Once faults are over, each gatekeeper knows which others live; on processes with datagrams only.
    MembersAgree,
}

/// A breach of a rule.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Breach {
    /// When, s from the start.
    pub at_s: f64,
    /// Of which rule.
    pub rule: Rule,
    /// What was seen.
    pub what: String,
}

/// What an attempt is known to have done.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    sent: Micros,
    out: bool,
    never_ran: bool,
}

/// A try that a gatekeeper has taken.
#[derive(Debug)]
struct Try {
    gatekeeper: usize,
    until: Micros,
    effect: Effect,
    key_for: Micros,
    attempts: Vec<Attempt>,
    answered: bool,
}

/// A final answer, as the client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A server's.
    Served,
    /// Trying again is said to be harmless.
    Refused,
    /// Nothing is said.
    Failed,
}

/// A ceiling's store.
#[derive(Clone, Copy, Debug)]
struct Store {
    level: f64,
    at: Micros,
}

/// A ceiling: units a second, units at once, and how far below nothing the store may go.
#[derive(Clone, Copy, Debug)]
pub struct Ceiling {
    /// Units a second.
    pub rate: f64,
    /// Units that the store holds.
    pub burst: f64,
    /// How far it may go below nothing.
    pub slack: f64,
}

/// Watches over all gatekeepers.
#[derive(Debug)]
pub struct Oracle {
    start: Micros,
    second_copies: bool,
    tries: BTreeMap<u64, Try>,
    ran: BTreeMap<u64, u32>,
    stores: BTreeMap<usize, Store>,
    counts: BTreeMap<Rule, u64>,
    kept: Vec<Breach>,
    over: BTreeSet<usize>,
}

impl Oracle {
    /// Has seen nothing; whether two attempts of a request may be out together.
    pub fn new(start: Micros, second_copies: bool) -> Oracle {
        Oracle {
            start,
            second_copies,
            tries: BTreeMap::new(),
            ran: BTreeMap::new(),
            stores: BTreeMap::new(),
            counts: BTreeMap::new(),
            kept: Vec::new(),
            over: BTreeSet::new(),
        }
    }

    /// How often each rule was broken.
    pub fn counts(&self) -> &BTreeMap<Rule, u64> {
        &self.counts
    }

    /// The first breaches, in words.
    pub fn breaches(&self) -> &[Breach] {
        &self.kept
    }

    fn breach(&mut self, now: Micros, rule: Rule, what: String) {
        *self.counts.entry(rule).or_default() += 1;
        if self.kept.len() < KEPT {
            self.kept.push(Breach { at_s: (now - self.start) as f64 / 1e6, rule, what });
        }
    }

    /// A gatekeeper has taken a try, whose client waits until then.
    pub fn taken(&mut self, id: u64, gatekeeper: usize, until: Micros, effect: Effect, key_for: Micros) {
        let attempts = Vec::new();
        self.tries.insert(id, Try { gatekeeper, until, effect, key_for, attempts, answered: false });
    }

    /// It has sent an attempt; `told` is what it was told of the server, and when.
    pub fn sent(&mut self, now: Micros, id: u64, server: u64, told: Option<(Availability, Micros)>) {
        let mut seen = Vec::new();
        if let Some((state, at)) = told {
            if state != Availability::Ready && now > at + DRAIN_GRACE {
                let late = (now - at) / 1_000;
                seen.push((Rule::OrderlyDrain, format!("sent to server {server}, {late} ms after the word")));
            }
        }
        match self.tries.get_mut(&id) {
            None => seen.push((Rule::NoneLost, format!("try {id} is sent on though nobody asked it"))),
            Some(it) => {
                if it.answered {
                    seen.push((Rule::NoneLost, format!("try {id} is sent on after its answer")));
                }
                if !self.second_copies && it.attempts.iter().any(|a| a.out) {
                    seen.push((Rule::NoDuplicate, format!("two attempts of try {id} are out")));
                }
                let first = it.attempts.iter().find(|a| !a.never_ran).map(|a| a.sent);
                let again = match (it.effect, first) {
                    (_, None) | (Effect::Idempotent, _) => false,
                    (Effect::AtMostOnce, Some(_)) => true,
                    (Effect::Deduplicated, Some(first)) => now > first + it.key_for,
                };
                if again {
                    seen.push((Rule::NoDuplicate, format!("try {id} is sent again though it may have run")));
                }
                it.attempts.push(Attempt { sent: now, out: true, never_ran: false });
            }
        }
        seen.into_iter().for_each(|(rule, what)| self.breach(now, rule, what));
    }

    /// An attempt has ended.
    pub fn ended(&mut self, id: u64, attempt: usize, never_ran: bool) {
        if let Some(it) = self.tries.get_mut(&id).and_then(|it| it.attempts.get_mut(attempt)) {
            (it.out, it.never_ran) = (false, never_ran);
        }
        self.forget(id);
    }

    /// The final answer of a try.
    pub fn answered(&mut self, now: Micros, id: u64, answer: Answer) {
        let Some(it) = self.tries.get_mut(&id) else {
            return self.breach(now, Rule::NoneLost, format!("try {id} is answered though nobody asked it"));
        };
        let twice = std::mem::replace(&mut it.answered, true);
        let late = now > it.until + SLACK;
        let ran = it.attempts.iter().any(|a| !a.never_ran);
        let unsafe_refusal = answer == Answer::Refused && ran && it.effect == Effect::AtMostOnce;
        if twice {
            self.breach(now, Rule::NoneLost, format!("try {id} is answered twice"));
        } else if late {
            self.breach(now, Rule::NoneLost, format!("try {id} is answered after its time"));
        }
        if unsafe_refusal {
            self.breach(now, Rule::NoDuplicate, format!("try {id} is refused though it may have run"));
        }
        self.forget(id);
    }

    /// Its client has left, or its time was over: nothing is owed any more.
    pub fn left(&mut self, now: Micros, id: u64) {
        let Some(it) = self.tries.get_mut(&id).filter(|it| !it.answered) else { return };
        it.answered = true;
        if now > it.until + SLACK {
            self.breach(now, Rule::NoneLost, format!("try {id} never got an answer"));
        }
        self.forget(id);
    }

    /// A gatekeeper was killed: what it had is nobody's.
    pub fn killed(&mut self, gatekeeper: usize) {
        self.tries.retain(|_, it| it.gatekeeper != gatekeeper);
    }

    fn forget(&mut self, id: u64) {
        if self.tries.get(&id).is_some_and(|it| it.answered && it.attempts.iter().all(|a| !a.out)) {
            self.tries.remove(&id);
        }
    }

    /// A server has begun to run what a client asked for once.
    pub fn runs(&mut self, now: Micros, asked: u64, effect: Effect) {
        if effect == Effect::Idempotent {
            return;
        }
        let ran = self.ran.entry(asked).or_default();
        *ran += 1;
        let ran = *ran;
        if ran > 1 {
            self.breach(now, Rule::NoDuplicate, format!("request {asked} ran {ran} times"));
        }
    }

    /// A cold server fell over under what it was sent.
    pub fn fell(&mut self, now: Micros, server: u64) {
        self.breach(now, Rule::OrderlyFailBack, format!("server {server} was pushed over"));
    }

    /// The first attempt of a customer's try takes its units.
    pub fn spent(&mut self, now: Micros, customer: usize, units: f64, ceiling: Ceiling) {
        let store = self.stores.entry(customer).or_insert(Store { level: ceiling.burst, at: now });
        let filled = store.level + ceiling.rate * (now - store.at) as f64 / 1e6;
        *store = Store { level: filled.min(ceiling.burst) - units, at: now };
        let below = store.level;
        // Once for each time that it goes below.
        if below >= -ceiling.slack {
            self.over.remove(&customer);
        } else if self.over.insert(customer) {
            self.breach(now, Rule::Ceiling, format!("customer {customer} is {:.1} units past it", -below));
        }
    }

    /// All is over: what has got no answer is lost.
    pub fn end(&mut self, now: Micros) {
        let lost: Vec<u64> = self
            .tries
            .iter()
            .filter(|(_, it)| !it.answered && now > it.until + SLACK)
            .map(|(id, _)| *id)
            .collect();
        for id in lost {
            self.breach(now, Rule::NoneLost, format!("try {id} never got an answer"));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: Micros = 1_000_000;

    /// A small story, and the rule that it breaks.
    fn story(second_copies: bool, effect: Effect, tell: impl Fn(&mut Oracle)) -> Vec<Rule> {
        let mut it = Oracle::new(0, second_copies);
        it.taken(1, 0, 2 * S, effect, S);
        tell(&mut it);
        it.counts().keys().copied().collect()
    }

    #[test]
    fn each_rule_is_broken_by_its_own_story_and_kept_by_its_twin() {
        use Effect::*;
        let send = |it: &mut Oracle, at| it.sent(at, 1, 7, None);
        type Told = fn(&mut Oracle);
        let stories: [(&str, bool, Effect, Told, &[Rule]); 14] = [
            ("in time", true, AtMostOnce, |it| it.answered(2 * S, 1, Answer::Served), &[]),
            ("late", true, AtMostOnce, |it| it.answered(3 * S, 1, Answer::Served), &[Rule::NoneLost]),
            ("never", true, AtMostOnce, |it| it.end(3 * S), &[Rule::NoneLost]),
            ("unasked", true, AtMostOnce, |it| it.answered(0, 2, Answer::Failed), &[Rule::NoneLost]),
            ("its gatekeeper died", true, AtMostOnce, |it| (it.killed(0), it.end(3 * S)).1, &[]),
            ("left before", true, AtMostOnce, |it| (it.left(S, 1), it.end(3 * S)).1, &[]),
            (
                "drains, at once",
                true,
                Idempotent,
                |it| it.sent(S, 1, 7, Some((Availability::Draining, 0))),
                &[],
            ),
            (
                "drains, later",
                true,
                Idempotent,
                |it| it.sent(2 * S, 1, 7, Some((Availability::Gone, 0))),
                &[Rule::OrderlyDrain],
            ),
            ("falls", true, Idempotent, |it| it.fell(0, 7), &[Rule::OrderlyFailBack]),
            (
                "runs twice",
                true,
                AtMostOnce,
                |it| (0..2).for_each(|_| it.runs(0, 9, AtMostOnce)),
                &[Rule::NoDuplicate],
            ),
            ("may run twice", true, Idempotent, |it| (0..2).for_each(|_| it.runs(0, 9, Idempotent)), &[]),
            (
                "refused though it ran",
                true,
                AtMostOnce,
                |it| {
                    it.sent(0, 1, 7, None);
                    it.ended(1, 0, false);
                    it.answered(S, 1, Answer::Refused);
                },
                &[Rule::NoDuplicate],
            ),
            (
                "within a ceiling",
                true,
                Idempotent,
                |it| (0..15).for_each(|_| it.spent(S, 3, 1.0, CEILING)),
                &[],
            ),
            (
                "past it",
                true,
                Idempotent,
                |it| (0..18).for_each(|_| it.spent(S, 3, 1.0, CEILING)),
                &[Rule::Ceiling],
            ),
        ];
        for (name, copies, effect, tell, broken) in stories {
            assert_eq!(story(copies, effect, tell), broken, "{name}");
        }
        // Repeats: by class, by what is proved, by time, and whether the first is still out.
        for (copies, effect, out, never_ran, at, broken) in [
            (true, Idempotent, true, false, S, false),
            (false, Idempotent, true, false, S, true),
            (false, Idempotent, false, false, S, false),
            (true, AtMostOnce, false, false, S, true),
            (true, AtMostOnce, false, true, S, false),
            (true, Deduplicated, false, false, S, false),
            (true, Deduplicated, false, false, S + 1, true),
            (true, Deduplicated, false, true, S + 1, false),
        ] {
            let seen = story(copies, effect, |it| {
                send(it, 0);
                if !out {
                    it.ended(1, 0, never_ran);
                }
                send(it, at);
            });
            assert_eq!(!seen.is_empty(), broken, "{copies} {effect:?} {out} {never_ran} {at}: {seen:?}");
        }
    }

    const CEILING: Ceiling = Ceiling { rate: 1.0, burst: 15.0, slack: 2.0 };
}
