//! Judges a fleet of processes by its history alone, whatever the machine's speed. What must never happen is a breach as
//! soon as it is seen; what must come about in the end is looked for only after the last fault has had its time, and is
//! not decided where the rig was itself held up.

use crate::experiment::{Effect, Experiment};
use crate::history::{Event, Hindrance, Seen};
use crate::oracle::{Breach, Ceiling, Oracle, Rule};
use granitelead_decisions::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// Breaches kept in words.
const KEPT: usize = 20;
/// Nothing new goes to a server so long after its gatekeeper was told: the rule's second, the protocol's 50 ms, and what
/// two loopback ways and a scheduler may take.
const DRAIN_GRACE: u64 = 1_250_000;
/// A repeat has to go out within the time of its key; the same allowance.
const KEY_GRACE: u64 = 250_000;
/// The protocol's slack on a ceiling, of its rate.
const CEILING_SLACK: u64 = 150_000;
/// The end of a process is seen within this.
const DEATH_SEEN: u64 = 100_000;
/// A gatekeeper that got fewer tries at the end shows nothing.
const ASKED: usize = 10;
/// The rig counts as held up where it stood still for longer at once.
const HELD: u64 = 250_000;

/// What the rules go by on the platform that was played.
pub struct Terms {
    /// Effect and time of the keys, µs, by class.
    classes: Vec<(Effect, u64)>,
    /// By plan.
    ceilings: Vec<Option<Ceiling>>,
    gatekeepers: usize,
    settles: u64,
    /// Whether gatekeepers tell each other who lives.
    peers: bool,
}

impl Terms {
    /// Those of an experiment.
    pub fn of(experiment: &Experiment) -> Terms {
        let settings = crate::world::settings(experiment);
        let ceiling = |plan: &granitelead_decisions::Plan| {
            (plan.ceiling_rate > 0.0).then_some(Ceiling {
                rate: plan.ceiling_rate,
                burst: plan.ceiling_burst,
                slack: plan.ceiling_slack,
            })
        };
        Terms {
            classes: experiment.classes.iter().map(|class| (class.effect, class.key_s.micros())).collect(),
            ceilings: settings.plans.iter().map(ceiling).collect(),
            gatekeepers: experiment.fleet.gatekeepers.0 as usize,
            settles: experiment.fleet.settles_s.micros(),
            peers: experiment.fleet.peers,
        }
    }
}

/// The judgement.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Verdict {
    /// How often each rule was broken.
    pub counts: BTreeMap<Rule, u64>,
    /// The first breaches, in words.
    pub breaches: Vec<Breach>,
    /// What could not be decided, and why.
    pub undecided: Vec<String>,
}

impl Verdict {
    /// Whether nothing was broken.
    pub fn is_clean(&self) -> bool {
        self.counts.is_empty()
    }

    /// In a word.
    pub fn word(&self) -> &'static str {
        match (self.is_clean(), self.undecided.is_empty()) {
            (false, _) => "broken",
            (true, false) => "not decided",
            (true, true) => "kept",
        }
    }

    fn breach(&mut self, at: u64, rule: Rule, what: String) {
        *self.counts.entry(rule).or_default() += 1;
        if self.breaches.len() < KEPT {
            self.breaches.push(Breach { at_s: at as f64 / 1e6, rule, what });
        }
    }
}

/// Spans of time.
#[derive(Default)]
struct Spans(Vec<(u64, u64)>);

impl Spans {
    fn meet(&self, from: u64, until: u64) -> bool {
        self.0.iter().any(|(begin, end)| *begin <= until && from <= *end)
    }

    fn longest(&self) -> u64 {
        self.0.iter().map(|(begin, end)| end - begin).max().unwrap_or(0)
    }
}

/// When which gatekeeper could not be held to its times.
struct Excuses {
    hindered: BTreeMap<(usize, Hindrance), Spans>,
    dead: BTreeMap<usize, Spans>,
    held: Spans,
}

impl Excuses {
    fn of(history: &[Event]) -> Excuses {
        let end = history.last().map_or(0, |event| event.at);
        let mut it = Excuses { hindered: BTreeMap::new(), dead: BTreeMap::new(), held: Spans::default() };
        let (mut open, mut down) = (BTreeMap::new(), BTreeMap::new());
        for Event { at, what } in history {
            match what {
                Seen::Hindered { gatekeeper, what, by } => {
                    open.insert((*gatekeeper, *what, *by), *at);
                }
                Seen::Freed { gatekeeper, what, by } => {
                    if let Some(begun) = open.remove(&(*gatekeeper, *what, *by)) {
                        it.hindered.entry((*gatekeeper, *what)).or_default().0.push((begun, *at));
                    }
                }
                Seen::Ended { gatekeeper, .. } => {
                    down.insert(*gatekeeper, *at);
                }
                Seen::Started { gatekeeper } => {
                    if let Some(begun) = down.remove(gatekeeper) {
                        it.dead.entry(*gatekeeper).or_default().0.push((begun, *at));
                    }
                }
                Seen::Held { micros } if *micros > HELD => {
                    it.held.0.push((at.saturating_sub(*micros), *at));
                }
                _ => {}
            }
        }
        for ((gatekeeper, what, _), begun) in open {
            it.hindered.entry((gatekeeper, what)).or_default().0.push((begun, end));
        }
        for (gatekeeper, begun) in down {
            it.dead.entry(gatekeeper).or_default().0.push((begun, end));
        }
        it
    }

    /// Whether a gatekeeper was hindered in one of these at any time of a span.
    fn hindered(&self, gatekeeper: usize, what: &[Hindrance], from: u64, until: u64) -> bool {
        what.iter().any(|what| self.hindered.get(&(gatekeeper, *what)).is_some_and(|it| it.meet(from, until)))
    }

    /// Whether it could not be expected to answer.
    fn no_answer(&self, gatekeeper: usize, from: u64, until: u64) -> bool {
        let dead = self.dead.get(&gatekeeper).is_some_and(|it| it.meet(from, until));
        dead || self.hindered(gatekeeper, &[Hindrance::Runs, Hindrance::Answers], from, until)
    }

    /// Whether what it sent may have arrived late.
    fn late_sends(&self, gatekeeper: usize, from: u64, until: u64) -> bool {
        self.hindered(gatekeeper, &[Hindrance::Runs, Hindrance::Sends], from, until)
    }

    /// The longest for which anything was held up on its way.
    fn longest(&self) -> u64 {
        self.hindered.values().chain([&self.held]).map(Spans::longest).max().unwrap_or(0)
    }
}

/// A try as the history has it.
struct Try {
    gatekeeper: usize,
    asked: u64,
    customer: usize,
    class: usize,
    plan: usize,
    units: f64,
    /// When it first may have run.
    ran: Option<u64>,
    reached: bool,
    ended: bool,
}

/// Judges a history; what has not been kept of it is in `dropped`.
pub fn judge(history: &[Event], dropped: u64, terms: &Terms) -> Verdict {
    let mut verdict = Verdict::default();
    let excuses = Excuses::of(history);
    if dropped > 0 {
        verdict.undecided.push(format!("{dropped} events had no room"));
    }
    for event in history {
        if let Seen::Failed { what } = &event.what {
            verdict.undecided.push(format!("the rig: {what}"));
        }
    }
    safety(history, terms, &excuses, &mut verdict);
    in_the_end(history, terms, &excuses, &mut verdict);
    verdict
}

/// What must never happen.
fn safety(history: &[Event], terms: &Terms, excuses: &Excuses, verdict: &mut Verdict) {
    let mut tries = BTreeMap::<u64, Try>::new();
    // By gatekeeper: servers that take nothing new, and since when it knows.
    let mut shut = vec![BTreeMap::<String, u64>::new(); terms.gatekeepers];
    let mut known = vec![BTreeSet::<String>::new(); terms.gatekeepers];
    let mut ceilings = Oracle::new(0, true);
    let hitch = excuses.longest();
    let mut doubtful = 0u64;
    for Event { at, what } in history {
        let at = *at;
        match what {
            Seen::Asked { id, gatekeeper, customer, class, plan, units, .. } => {
                let it = Try {
                    gatekeeper: *gatekeeper,
                    asked: at,
                    customer: *customer,
                    class: *class,
                    plan: *plan,
                    units: *units,
                    ran: None,
                    reached: false,
                    ended: false,
                };
                tries.insert(*id, it);
            }
            Seen::Answered { id, status, own } => match tries.get_mut(id) {
                None => {
                    verdict.breach(at, Rule::NoneLost, format!("try {id} is answered though nobody asked"))
                }
                Some(it) => {
                    if std::mem::replace(&mut it.ended, true) {
                        verdict.breach(at, Rule::NoneLost, format!("try {id} is answered twice"));
                    } else if *status == 200 && !(*own && it.reached) {
                        verdict.breach(at, Rule::NoneLost, format!("try {id} is served by no server"));
                    }
                }
            },
            Seen::Broke { id, begun } => {
                let Some(it) = tries.get_mut(id) else { continue };
                it.ended = true;
                // A process that dies resets its connections before anybody sees that it is dead; what is closed
                // before anything is done for it counts as refused.
                let excused = excuses.no_answer(it.gatekeeper, it.asked, at + DEATH_SEEN);
                if it.reached && !begun && !excused {
                    verdict.breach(at, Rule::NoneLost, format!("try {id}: its connection ended, no answer"));
                }
            }
            Seen::Silence { id } => {
                let Some(it) = tries.get_mut(id) else { continue };
                it.ended = true;
                let (gatekeeper, asked) = (it.gatekeeper, it.asked);
                if excuses.no_answer(gatekeeper, asked, at) {
                    continue;
                }
                if excuses.held.meet(asked, at) {
                    doubtful += 1;
                } else {
                    let what = format!("try {id} never got an answer from gatekeeper {gatekeeper}");
                    verdict.breach(at, Rule::NoneLost, what);
                }
            }
            Seen::Reached { id, server, ran } => {
                let Some(it) = tries.get_mut(id) else { continue };
                let first = !std::mem::replace(&mut it.reached, true);
                let gatekeeper = it.gatekeeper;
                if let Some(since) = shut[gatekeeper].get(server).filter(|since| at > **since + DRAIN_GRACE) {
                    let ms = (at - since) / 1_000;
                    if excuses.held.meet(*since, at) {
                        doubtful += 1;
                    } else if !excuses.late_sends(gatekeeper, *since, at) {
                        let what =
                            format!("gatekeeper {gatekeeper} sent to {server} {ms} ms after it was told");
                        verdict.breach(at, Rule::OrderlyDrain, what);
                    }
                }
                let (effect, key) = terms.classes[it.class];
                let again = match (effect, it.ran) {
                    (_, None) | (Effect::Idempotent, _) => false,
                    (Effect::Deduplicated, Some(ran)) => at > ran + key + KEY_GRACE,
                    (Effect::AtMostOnce, Some(_)) => true,
                };
                if again && !excuses.late_sends(gatekeeper, it.asked, at) {
                    if excuses.held.meet(it.asked, at) && effect == Effect::Deduplicated {
                        doubtful += 1;
                    } else {
                        let what = format!("try {id} came again though it may have run");
                        verdict.breach(at, Rule::NoDuplicate, what);
                    }
                }
                if *ran {
                    it.ran.get_or_insert(at);
                }
                if let Some(ceiling) = terms.ceilings[it.plan].filter(|_| first) {
                    // What was held up on its way comes all at once.
                    let slack = ceiling.slack + ceiling.rate * (CEILING_SLACK + hitch) as f64 / 1e6;
                    ceilings.spent(at as Micros, it.customer, it.units, Ceiling { slack, ..ceiling });
                }
            }
            Seen::Fell { server } => {
                verdict.breach(at, Rule::OrderlyFailBack, format!("{server} was pushed over"));
            }
            Seen::Told { gatekeeper, all, servers, .. } => {
                let (shut, known) = (&mut shut[*gatekeeper], &mut known[*gatekeeper]);
                if *all {
                    let named: BTreeSet<&String> = servers.iter().map(|(uid, _)| uid).collect();
                    for uid in known.iter().filter(|uid| !named.contains(uid)) {
                        shut.entry(uid.clone()).or_insert(at);
                    }
                }
                for (uid, open) in servers {
                    known.insert(uid.clone());
                    if *open {
                        shut.remove(uid);
                    } else {
                        shut.entry(uid.clone()).or_insert(at);
                    }
                }
            }
            Seen::Ended { gatekeeper, asked: false, how } => {
                verdict.breach(at, Rule::NoCrash, format!("gatekeeper {gatekeeper} ended by itself: {how}"));
            }
            // Its successor has been told nothing yet.
            Seen::Started { gatekeeper } => shut[*gatekeeper].clear(),
            _ => {}
        }
    }
    for (rule, n) in ceilings.counts() {
        *verdict.counts.entry(*rule).or_default() += n;
    }
    verdict
        .breaches
        .extend(ceilings.breaches().iter().take(KEPT.saturating_sub(verdict.breaches.len())).cloned());
    if doubtful > 0 {
        let longest = excuses.held.longest() / 1_000;
        verdict.undecided.push(format!("{doubtful} events: the rig stood still for up to {longest} ms"));
    }
}

/// What must come about in the end.
fn in_the_end(history: &[Event], terms: &Terms, excuses: &Excuses, verdict: &mut Verdict) {
    let Some(over) = history.iter().find(|event| event.what == Seen::Over).map(|event| event.at) else {
        return verdict.undecided.push("the run was broken off".into());
    };
    let faults = history.iter().filter(|event| matches!(event.what, Seen::Fault { .. }));
    let quiet = faults.map(|event| event.at).max().unwrap_or(0);
    let from = quiet + terms.settles;
    let mut served = BTreeSet::<usize>::new();
    let mut asked = BTreeMap::new();
    let mut told = BTreeMap::new();
    let mut listed = None;
    for event in history {
        match event.what {
            Seen::Asked { id, gatekeeper, .. } if event.at >= from => {
                asked.insert(id, gatekeeper);
            }
            Seen::Answered { id, status: 200, .. } => {
                served.extend(asked.get(&id));
            }
            Seen::Told { gatekeeper, rev, .. } => {
                told.insert(gatekeeper, rev);
            }
            Seen::Listed { rev } => listed = Some(rev),
            _ => {}
        }
    }
    let mut missing = Vec::new();
    let mut often = BTreeMap::<usize, usize>::new();
    asked.values().for_each(|gatekeeper| *often.entry(*gatekeeper).or_default() += 1);
    for (gatekeeper, _) in often.into_iter().filter(|(_, tries)| *tries >= ASKED) {
        if !served.contains(&gatekeeper) {
            missing.push((Rule::ServiceReturns, format!("gatekeeper {gatekeeper} serves nothing any more")));
        }
    }
    for gatekeeper in (0..terms.gatekeepers).filter(|it| listed.is_some() && told.get(it) != listed.as_ref())
    {
        let (has, is) = (told.get(&gatekeeper).copied().unwrap_or(0), listed.unwrap_or(0));
        let what = format!("gatekeeper {gatekeeper} was told version {has}, the list is at {is}");
        missing.push((Rule::ListAgrees, what));
    }
    if terms.peers {
        missing.extend(members(history, terms.gatekeepers).map(|what| (Rule::MembersAgree, what)));
    }
    let held: u64 = excuses.held.0.iter().filter(|(begin, _)| *begin > quiet).map(|(a, b)| b - a).sum();
    for (rule, what) in missing {
        if held > terms.settles / 4 {
            verdict.undecided.push(format!("{what}; the rig stood still for {} ms", held / 1_000));
        } else {
            verdict.breach(over, rule, what);
        }
    }
}

/// The first gatekeeper that takes a dead one for alive, or one that lives for dead, by what it last said.
fn members(history: &[Event], gatekeepers: usize) -> Option<String> {
    let mut lives = vec![false; gatekeepers];
    let mut says = vec![BTreeMap::<u64, bool>::new(); gatekeepers];
    for event in history {
        match &event.what {
            Seen::Started { gatekeeper } => {
                lives[*gatekeeper] = true;
                says[*gatekeeper].clear();
            }
            Seen::Ended { gatekeeper, .. } => lives[*gatekeeper] = false,
            Seen::Said { gatekeeper, words } if words["event"] == "member" => {
                let other = words["gatekeeper"].as_u64().zip(words["alive"].as_bool());
                says[*gatekeeper].extend(other);
            }
            _ => {}
        }
    }
    let all = (0..gatekeepers).filter(|n| lives[*n]);
    let mut pairs =
        all.flat_map(|n| (0..gatekeepers).filter(move |other| *other != n).map(move |other| (n, other)));
    let wrong =
        pairs.find(|(n, other)| says[*n].get(&(*other as u64)).copied().unwrap_or(false) != lives[*other]);
    wrong.map(|(n, other)| {
        let word = if lives[other] { "lives" } else { "is dead" };
        format!("gatekeeper {n} does not know that gatekeeper {other} {word}")
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: u64 = 1_000_000;

    /// Its name, what was seen when, the rules that it breaks, and whether it leaves something open.
    type Story<'a> = (&'a str, Vec<(u64, Seen)>, &'a [Rule], bool);

    fn terms() -> Terms {
        let classes =
            vec![(Effect::Idempotent, 4 * S), (Effect::Deduplicated, 4 * S), (Effect::AtMostOnce, S)];
        let ceiling = Ceiling { rate: 1.0, burst: 3.0, slack: 1.0 };
        Terms { classes, ceilings: vec![None, Some(ceiling)], gatekeepers: 2, settles: 5 * S, peers: false }
    }

    fn asked(id: u64, class: usize, plan: usize) -> Seen {
        Seen::Asked { id, gatekeeper: 0, customer: 7, class, plan, units: 1.0, patience: 2 * S }
    }

    fn reached(id: u64, server: &str, ran: bool) -> Seen {
        Seen::Reached { id, server: server.into(), ran }
    }

    fn told(gatekeeper: usize, rev: u64, all: bool, servers: &[(&str, bool)]) -> Seen {
        let servers = servers.iter().map(|(uid, open)| ((*uid).to_owned(), *open)).collect();
        Seen::Told { gatekeeper, rev, all, servers }
    }

    fn hindered(what: Hindrance) -> Seen {
        Seen::Hindered { gatekeeper: 0, what, by: 0 }
    }

    fn verdict(story: &[(u64, Seen)]) -> (Vec<Rule>, bool) {
        let mut history: Vec<Event> =
            story.iter().map(|(at, what)| Event { at: *at, what: what.clone() }).collect();
        history.push(Event { at: 60 * S, what: Seen::Over });
        let verdict = judge(&history, 0, &terms());
        (verdict.counts.into_keys().collect(), !verdict.undecided.is_empty())
    }

    /// Each rule by a story that breaks it, and by twins that don't: what excuses, and what leaves it open.
    #[test]
    fn a_history_is_judged_by_what_it_leaves_no_doubt_of() {
        use Hindrance::*;
        let silence = |id| Seen::Silence { id };
        let broke = |begun| Seen::Broke { id: 1, begun };
        let served = |own| Seen::Answered { id: 1, status: 200, own };
        let ended = |asked| Seen::Ended { gatekeeper: 0, asked, how: String::new() };
        let held = Seen::Held { micros: S };
        let drained =
            [(0, told(0, 1, true, &[("s", true), ("t", true)])), (S, told(0, 2, false, &[("s", false)]))];
        let gone =
            [(0, told(0, 1, true, &[("s", true), ("t", true)])), (S, told(0, 2, true, &[("t", true)]))];
        let sends = |story: &[(u64, Seen)], at| {
            [story, &[(at, asked(1, 0, 0)), (at, reached(1, "s", true))]].concat()
        };
        let units =
            |n: u64| (0..n).flat_map(|id| [(S, asked(id, 0, 1)), (S, reached(id, "s", true))]).collect();
        let again = |class, first, at| {
            vec![(0, asked(1, class, 0)), (0, reached(1, "s", first)), (at, reached(1, "t", true))]
        };
        let stories: Vec<Story> = vec![
            ("served", vec![(0, asked(1, 0, 0)), (S, reached(1, "s", true)), (S, served(true))], &[], false),
            ("served by nobody", vec![(0, asked(1, 0, 0)), (S, served(true))], &[Rule::NoneLost], false),
            (
                "served with other words",
                vec![(0, asked(1, 0, 0)), (S, reached(1, "s", true)), (S, served(false))],
                &[Rule::NoneLost],
                false,
            ),
            ("never answered", vec![(0, asked(1, 0, 0)), (4 * S, silence(1))], &[Rule::NoneLost], false),
            (
                "never answered by a paused one",
                vec![(0, asked(1, 0, 0)), (S, hindered(Runs)), (4 * S, silence(1))],
                &[],
                false,
            ),
            (
                "never answered, its servers far away",
                vec![(0, asked(1, 0, 0)), (S, hindered(Sends)), (4 * S, silence(1))],
                &[Rule::NoneLost],
                false,
            ),
            (
                "never answered while the rig stood still",
                vec![(0, asked(1, 0, 0)), (2 * S, held.clone()), (4 * S, silence(1))],
                &[],
                true,
            ),
            ("broken off unread", vec![(0, asked(1, 0, 0)), (S, broke(false))], &[], false),
            (
                "broken off",
                vec![(0, asked(1, 0, 0)), (S, reached(1, "s", true)), (S, broke(false))],
                &[Rule::NoneLost],
                false,
            ),
            (
                "broken off in an answer",
                vec![(0, asked(1, 0, 0)), (S, reached(1, "s", true)), (S, broke(true))],
                &[],
                false,
            ),
            (
                "broken off by its death",
                vec![
                    (0, asked(1, 0, 0)),
                    (S, reached(1, "s", true)),
                    (S, broke(false)),
                    (S + 9, ended(true)),
                ],
                &[],
                false,
            ),
            ("ended by itself", vec![(S, ended(false))], &[Rule::NoCrash], false),
            ("sent at once", sends(&drained, 2 * S), &[], false),
            ("sent to a draining one", sends(&drained, 3 * S), &[Rule::OrderlyDrain], false),
            ("sent to one that is gone", sends(&gone, 3 * S), &[Rule::OrderlyDrain], false),
            ("again after the key", again(1, true, 5 * S), &[Rule::NoDuplicate], false),
            ("again within the key", again(1, true, 4 * S), &[], false),
            ("again, never run", again(2, false, 5 * S), &[], false),
            ("again, once only", again(2, true, S), &[Rule::NoDuplicate], false),
            ("within a ceiling", units(4), &[], false),
            ("past a ceiling", units(5), &[Rule::Ceiling], false),
            ("pushed over", vec![(S, Seen::Fell { server: "s".into() })], &[Rule::OrderlyFailBack], false),
            (
                "told less than there is",
                vec![
                    (S, told(0, 2, true, &[])),
                    (S, told(1, 1, true, &[])),
                    (2 * S, Seen::Listed { rev: 2 }),
                ],
                &[Rule::ListAgrees],
                false,
            ),
            ("not as the schedule says", vec![(S, Seen::Failed { what: String::new() })], &[], true),
        ];
        for (name, story, rules, open) in stories {
            assert_eq!(verdict(&story), (rules.to_vec(), open), "{name}");
        }
        let member = |alive| Seen::Said {
            gatekeeper: 0,
            words: serde_json::json!({"event": "member", "gatekeeper": 1, "alive": alive}),
        };
        let starts = [0, 1].map(|gatekeeper| (0, Seen::Started { gatekeeper }));
        let mut knows = vec![starts[0].clone(), starts[1].clone(), (S, member(true))];
        let agrees = |story: &[(u64, Seen)]| {
            let events: Vec<Event> =
                story.iter().map(|(at, what)| Event { at: *at, what: what.clone() }).collect();
            members(&events, 2)
        };
        assert!(
            agrees(&starts).is_some() && agrees(&knows).is_some_and(|why| why.contains("gatekeeper 1 does"))
        );
        knows.push((S, Seen::Ended { gatekeeper: 1, asked: true, how: String::new() }));
        assert!(agrees(&knows).is_some_and(|why| why.contains("1 is dead")));
        knows.push((S, member(false)));
        assert_eq!(agrees(&knows), None);
        // Enough is asked at the end, and nothing is served.
        let refused: Vec<(u64, Seen)> = (0..ASKED as u64)
            .flat_map(|id| {
                [(20 * S, asked(id, 0, 0)), (20 * S, Seen::Answered { id, status: 503, own: false })]
            })
            .collect();
        assert_eq!(verdict(&refused), (vec![Rule::ServiceReturns], false));
        assert_eq!(verdict(&refused[2..]), (vec![], false));
        let cut_off = judge(&[Event { at: 0, what: Seen::Fault { number: 0, begins: true } }], 0, &terms());
        assert_eq!(cut_off.word(), "not decided");
    }
}
