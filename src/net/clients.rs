//! Whose connections may stay, and for how long: one manager for all that clients open. No I/O; time is passed in.

use crate::net::times;
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::{Duration, Instant};

/// A source with so many times as many connections as any other has by far the most.
const BY_FAR: usize = 2;

/// How many connections there may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// In all, but for those that wait for a place.
    pub all: usize,
    /// Newcomers that wait for one.
    pub waiting: usize,
    /// Of one source.
    pub per_source: usize,
    /// Heads being read.
    pub heads: usize,
    /// The greatest age of one, if there is any.
    pub max_age: Option<Duration>,
}

/// Why a connection is ended from here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// It makes room for another.
    Room,
    /// No first request in time.
    First,
    /// A further head hangs.
    Head,
    /// Too many heads.
    Heads,
    /// Nothing for long.
    Idle,
    /// Its answer is not taken.
    Answer,
    /// It is old.
    Age,
    /// No place, and too many that wait for one.
    Crowd,
}

impl Reason {
    /// All of them, with their names in the figures.
    const ALL: [(Reason, &'static str); 8] = [
        (Reason::Room, "room"),
        (Reason::First, "first"),
        (Reason::Head, "head"),
        (Reason::Heads, "heads"),
        (Reason::Idle, "idle"),
        (Reason::Answer, "answer"),
        (Reason::Age, "age"),
        (Reason::Crowd, "crowd"),
    ];

    /// Whether what is on its way is let finish.
    pub fn is_gentle(self) -> bool {
        matches!(self, Reason::Room | Reason::Idle | Reason::Age)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// For a place.
    Waiting,
    /// No byte yet.
    New,
    /// In a head that began then.
    Head(Instant),
    /// Between two requests since then.
    Idle(Instant),
    /// A body, a wait or an answer.
    Busy,
}

struct Conn {
    source: IpAddr,
    since: Instant,
    state: State,
    /// In what order connections fell idle.
    turn: u64,
    /// Whether a proper request has come, and whether one was answered.
    taken: bool,
    served: bool,
    /// When some of the answer was last taken, while there is one.
    answering: Option<Instant>,
    /// When it is too old.
    ages: Option<Instant>,
    /// It is being ended.
    ends: bool,
}

impl Conn {
    /// The order in which those that can make room do: newcomers without a byte, clients between two requests,
    /// heads that have had their time.
    fn makes_room(&self, now: Instant) -> Option<u8> {
        match self.state {
            _ if self.ends => None,
            State::Waiting | State::Busy => None,
            State::New => (now - self.since >= times::NEW).then_some(0),
            State::Idle(_) => Some(1),
            State::Head(since) => (now - since >= times::HEAD).then_some(2),
        }
    }

    fn overdue(&self, now: Instant) -> Option<Reason> {
        let late = |since: Instant, time| now.saturating_duration_since(since) >= time;
        match self.state {
            _ if !self.taken && late(self.since, times::FIRST) => Some(Reason::First),
            State::Head(since) if late(since, times::FIRST) => Some(Reason::Head),
            State::Idle(since) if late(since, times::IDLE) => Some(Reason::Idle),
            State::Idle(_) if self.ages.is_some_and(|at| now >= at) => Some(Reason::Age),
            State::Busy if self.answering.is_some_and(|moved| late(moved, times::FLOW_STALL)) => {
                Some(Reason::Answer)
            }
            _ => None,
        }
    }
}

#[derive(Clone, Copy, Default)]
struct Source {
    /// Connections that have a place.
    held: usize,
    waiting: usize,
    heads: usize,
    /// Of those held, being ended.
    ending: usize,
    /// Of those that wait, how many another one is being ended for.
    promised: usize,
}

impl Source {
    fn staying(&self) -> usize {
        self.held - self.ending
    }

    /// How many it has once what is under way is done.
    fn share(&self) -> usize {
        self.staying() + self.promised.min(self.waiting)
    }
}

/// What becomes of a newcomer.
#[derive(Debug, PartialEq, Eq)]
pub enum Entry {
    /// It has a place.
    In,
    /// It is told when it has one.
    Waits,
    /// There are too many that wait: this one, of the source with by far the most, is closed.
    Crowded(u64),
}

/// All clients' connections, by number.
pub struct Clients {
    limits: Limits,
    conns: BTreeMap<u64, Conn>,
    sources: BTreeMap<IpAddr, Source>,
    turn: u64,
    ended: BTreeMap<Reason, u64>,
    rng: fastrand::Rng,
}

impl Clients {
    /// Nobody is there yet; `seed` draws greatest ages.
    pub fn new(limits: Limits, seed: u64) -> Clients {
        Clients {
            limits,
            conns: BTreeMap::new(),
            sources: BTreeMap::new(),
            turn: 0,
            ended: BTreeMap::new(),
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// How many have a place.
    pub fn held(&self) -> usize {
        self.sources.values().map(|source| source.held).sum()
    }

    /// How many there are, waiting or not.
    pub fn len(&self) -> usize {
        self.conns.len()
    }

    /// Whether nobody is there.
    pub fn is_empty(&self) -> bool {
        self.conns.is_empty()
    }

    fn waiting(&self) -> usize {
        self.sources.values().map(|source| source.waiting).sum()
    }

    fn source(&self, of: IpAddr) -> Source {
        self.sources.get(&of).copied().unwrap_or_default()
    }

    /// Whether another newcomer is to be looked at. With the room for waiting full, only where one source has by
    /// far the most, which has to let others through; else newcomers wait in the system's line.
    pub fn accepts(&self) -> bool {
        let waiting = self.waiting();
        if waiting < self.limits.waiting {
            return true;
        }
        let mut totals: Vec<_> = self.sources.values().map(|source| source.held + source.waiting).collect();
        totals.sort_unstable_by(|a, b| b.cmp(a));
        waiting == self.limits.waiting && matches!(totals[..], [most, next, ..] if most >= BY_FAR * next)
    }

    /// Somebody connects.
    pub fn arrive(&mut self, now: Instant, from: IpAddr) -> (u64, Entry) {
        self.turn += 1;
        let number = self.turn;
        let ages = self.limits.max_age.map(|age| now + age.mul_f64(0.8 + 0.4 * self.rng.f64()));
        let has_place = self.held() < self.limits.all && self.source(from).held < self.limits.per_source;
        let state = if has_place { State::New } else { State::Waiting };
        let conn = Conn {
            source: from,
            since: now,
            state,
            turn: number,
            taken: false,
            served: false,
            answering: None,
            ages,
            ends: false,
        };
        self.conns.insert(number, conn);
        let source = self.sources.entry(from).or_default();
        if has_place {
            source.held += 1;
            return (number, Entry::In);
        }
        source.waiting += 1;
        if self.waiting() <= self.limits.waiting {
            return (number, Entry::Waits);
        }
        let greediest = self.sources.iter().filter(|(_, source)| source.waiting > 0);
        let greediest = greediest.max_by_key(|(_, source)| source.held + source.waiting).map(|(at, _)| *at);
        let newest = self.conns.iter().rev();
        let mut newest = newest.filter(|(_, c)| c.state == State::Waiting && Some(c.source) == greediest);
        let crowded = newest.next().map_or(number, |(number, _)| *number);
        self.end(crowded, Reason::Crowd);
        (number, Entry::Crowded(crowded))
    }

    /// Who is to be ended for those that wait: for each one, of the source with most connections that has one
    /// to give and no fewer than the waiting one's, what loses least.
    pub fn make_room(&mut self, now: Instant) -> Vec<u64> {
        std::iter::from_fn(|| self.give_way(now)).map(|(_, victim)| victim).collect()
    }

    /// Ends one for another; gives for whom, and which.
    fn give_way(&mut self, now: Instant) -> Option<(IpAddr, u64)> {
        let ending: usize = self.sources.values().map(|source| source.ending).sum();
        let (wanting, victim) = self.victim(now).filter(|_| ending < self.waiting())?;
        self.end(victim, Reason::Room);
        self.sources.entry(wanting).and_modify(|source| source.promised += 1);
        Some((wanting, victim))
    }

    /// For whom somebody can be ended, and who.
    fn victim(&self, now: Instant) -> Option<(IpAddr, u64)> {
        let mut wants: Vec<_> =
            self.sources.iter().filter(|(_, source)| source.waiting > source.promised).collect();
        wants.sort_by_key(|(_, source)| source.share());
        wants.into_iter().find_map(|(from, wanting)| {
            let full = wanting.share() >= self.limits.per_source;
            let least = wanting.share().max(1);
            let gives = |at: IpAddr| at == *from || (!full && self.source(at).share() >= least);
            Some((*from, self.least_lost(now, gives)?))
        })
    }

    /// What loses least, of the source with most connections among these.
    fn least_lost(&self, now: Instant, gives: impl Fn(IpAddr) -> bool) -> Option<u64> {
        let can = self.conns.iter().filter(|(_, conn)| gives(conn.source));
        let can = can.filter_map(|(number, conn)| Some((conn.makes_room(now)?, number, conn)));
        let first = can.min_by_key(|(order, _, conn)| {
            (std::cmp::Reverse(self.source(conn.source).share()), *order, conn.turn)
        });
        first.map(|(_, number, _)| *number)
    }

    /// The system has no descriptor left: who is to be ended, if anybody can be.
    pub fn shed(&mut self, now: Instant) -> Option<u64> {
        let victim = self.least_lost(now, |_| true)?;
        self.end(victim, Reason::Room);
        Some(victim)
    }

    /// There may be so many from now on: who is to be ended, the longest idle first.
    pub fn set_all(&mut self, all: usize) -> Vec<u64> {
        self.limits.all = all;
        let staying: usize = self.sources.values().map(Source::staying).sum();
        let mut idle = self.idle(false);
        idle.retain(|number| self.conns.get(number).is_some_and(|conn| !conn.ends));
        idle.sort_by_key(|number| self.conns.get(number).map(|conn| conn.turn));
        idle.truncate(staying.saturating_sub(all));
        idle.iter().for_each(|number| self.end(*number, Reason::Room));
        idle
    }

    fn end(&mut self, number: u64, reason: Reason) {
        let Some(conn) = self.conns.get_mut(&number).filter(|conn| !conn.ends) else { return };
        conn.ends = true;
        *self.ended.entry(reason).or_default() += 1;
        if conn.state != State::Waiting {
            self.sources.entry(conn.source).and_modify(|source| source.ending += 1);
        }
    }

    /// A connection has ended, from whichever side: who has a place now.
    pub fn gone(&mut self, number: u64) -> Vec<u64> {
        if let Some(conn) = self.conns.remove(&number) {
            let source = self.sources.entry(conn.source).or_default();
            match conn.state {
                State::Waiting => {
                    source.waiting -= 1;
                    source.promised = source.promised.min(source.waiting);
                }
                State::Head(_) => {
                    source.held -= 1;
                    source.heads -= 1;
                }
                _ => source.held -= 1,
            }
            if conn.ends && conn.state != State::Waiting {
                source.ending -= 1;
            }
            if source.held + source.waiting == 0 {
                self.sources.remove(&conn.source);
            }
        }
        std::iter::from_fn(|| self.let_in()).collect()
    }

    /// The oldest that waits of the source with fewest connections.
    fn let_in(&mut self) -> Option<u64> {
        if self.held() >= self.limits.all {
            return None;
        }
        let may = |conn: &Conn| {
            conn.state == State::Waiting
                && !conn.ends
                && self.source(conn.source).held < self.limits.per_source
        };
        let waiting = self.conns.iter().filter(|(_, conn)| may(conn));
        let (number, _) = waiting.min_by_key(|(number, conn)| (self.source(conn.source).held, **number))?;
        let number = *number;
        let conn = self.conns.get_mut(&number)?;
        conn.state = State::New;
        let source = self.sources.entry(conn.source).or_default();
        (source.waiting, source.held) = (source.waiting - 1, source.held + 1);
        source.promised = source.promised.saturating_sub(1);
        Some(number)
    }

    fn set_state(&mut self, number: u64, state: State) {
        let Some(conn) = self.conns.get_mut(&number) else { return };
        let source = self.sources.entry(conn.source).or_default();
        source.heads -= usize::from(matches!(conn.state, State::Head(_)));
        source.heads += usize::from(matches!(state, State::Head(_)));
        conn.state = state;
    }

    /// Something came of a head: which connection is to be ended where there are too many heads.
    pub fn read(&mut self, number: u64, now: Instant) -> Option<u64> {
        let begins = self.conns.get(&number).is_some_and(|c| matches!(c.state, State::New | State::Idle(_)));
        if !begins {
            return None;
        }
        self.set_state(number, State::Head(now));
        let heads: usize = self.sources.values().map(|source| source.heads).sum();
        if heads <= self.limits.heads {
            return None;
        }
        let began = |conn: &Conn| match conn.state {
            State::Head(since) if !conn.ends => Some(since),
            _ => None,
        };
        let all = self.conns.iter().filter_map(|(number, conn)| Some((began(conn)?, number, conn)));
        let oldest = all.min_by_key(|(since, _, conn)| {
            (std::cmp::Reverse(self.source(conn.source).heads), *since, conn.turn)
        });
        let oldest = oldest.map(|(_, number, _)| *number)?;
        self.end(oldest, Reason::Heads);
        Some(oldest)
    }

    /// Its head is whole.
    pub fn begin(&mut self, number: u64) {
        self.set_state(number, State::Busy);
    }

    /// A proper request has come, or its body has begun; whether it is the first.
    pub fn taken(&mut self, number: u64) -> bool {
        let conn = self.conns.get_mut(&number);
        conn.is_some_and(|conn| !std::mem::replace(&mut conn.taken, true))
    }

    /// Some of an answer is being taken, or could be from now on.
    pub fn answers(&mut self, number: u64, now: Instant) {
        if let Some(conn) = self.conns.get_mut(&number) {
            conn.answering = Some(now);
        }
    }

    /// The client has taken something; counts while there is an answer.
    pub fn took(&mut self, number: u64, now: Instant) {
        if let Some(moved) = self.conns.get_mut(&number).and_then(|conn| conn.answering.as_mut()) {
            *moved = now;
        }
    }

    /// Its answer is written.
    pub fn done(&mut self, number: u64, now: Instant) {
        self.turn += 1;
        self.set_state(number, State::Idle(now));
        if let Some(conn) = self.conns.get_mut(&number) {
            (conn.answering, conn.served, conn.turn) = (None, true, self.turn);
        }
    }

    /// Whether it is old enough to end with its next answer.
    pub fn is_old(&self, number: u64, now: Instant) -> bool {
        self.conns.get(&number).and_then(|conn| conn.ages).is_some_and(|at| now >= at)
    }

    /// Whether it has nothing under way that a close could cut, its head aside.
    pub fn is_between(&self, number: u64) -> bool {
        self.conns.get(&number).is_some_and(|conn| conn.taken && !matches!(conn.state, State::Head(_)))
    }

    /// All that are at no request; `served` leaves out those that never were answered.
    pub fn idle(&self, served: bool) -> Vec<u64> {
        let at_none = |conn: &Conn| !matches!(conn.state, State::Waiting | State::Busy);
        let idle = self.conns.iter().filter(|(_, conn)| at_none(conn) && (conn.served || !served));
        idle.map(|(number, _)| *number).collect()
    }

    /// Who has had its time, and why. To be called every [`times::LOOK`].
    pub fn due(&mut self, now: Instant) -> Vec<(u64, Reason)> {
        let late = self.conns.iter().filter(|(_, conn)| !conn.ends);
        let late: Vec<_> = late.filter_map(|(number, conn)| Some((*number, conn.overdue(now)?))).collect();
        late.iter().for_each(|(number, reason)| self.end(*number, *reason));
        late
    }

    /// The figures: by state, by reason of closing, and how many sources there are and what one holds at most.
    pub fn figures(&self) -> Vec<(String, u64)> {
        let mut states = BTreeMap::from([("busy", 0), ("head", 0), ("idle", 0), ("new", 0), ("waiting", 0)]);
        for conn in self.conns.values() {
            let name = match conn.state {
                State::Waiting => "waiting",
                State::New => "new",
                State::Head(_) => "head",
                State::Idle(_) => "idle",
                State::Busy => "busy",
            };
            *states.entry(name).or_default() += 1;
        }
        let states = states.into_iter().map(|(name, n)| (format!("clients{{state=\"{name}\"}}"), n));
        let ended = Reason::ALL.iter().map(|(reason, name)| {
            let n = self.ended.get(reason).copied().unwrap_or(0);
            (format!("clients_closed{{reason=\"{name}\"}}"), n)
        });
        let most = self.sources.values().map(|source| source.held).max().unwrap_or(0);
        let sources = [
            ("client_sources".to_owned(), self.sources.len() as u64),
            ("client_source_most".to_owned(), most as u64),
        ];
        states.chain(ended).chain(sources).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const WAITING: usize = 16;

    fn limits(all: usize) -> Limits {
        Limits { all, waiting: WAITING, per_source: all, heads: all, max_age: None }
    }

    fn at(n: u8) -> IpAddr {
        IpAddr::from([127, 0, 0, n])
    }

    const NOBODY: [u64; 0] = [];

    /// Connects.
    fn arrive(it: &mut Clients, now: Instant, from: u8) -> u64 {
        it.arrive(now, at(from)).0
    }

    /// One that was answered and idles.
    fn idle(it: &mut Clients, now: Instant, from: u8) -> u64 {
        let number = arrive(it, now, from);
        it.read(number, now);
        it.begin(number);
        it.taken(number);
        it.done(number, now);
        number
    }

    #[test]
    fn one_source_may_have_all_and_gives_what_it_loses_least() {
        let start = Instant::now();
        let mut it = Clients::new(limits(4), 7);
        let (first, second) = (idle(&mut it, start, 1), idle(&mut it, start, 1));
        let (head, new) = (arrive(&mut it, start, 1), arrive(&mut it, start, 1));
        it.read(head, start);
        let now = start + times::HEAD;
        for victim in [new, first, second, head] {
            let (number, entry) = it.arrive(now, at(1));
            assert_eq!(entry, Entry::Waits);
            assert_eq!(it.make_room(now), [victim]);
            assert_eq!(it.make_room(now), NOBODY, "one for each");
            assert_eq!(it.gone(victim), [number]);
            it.begin(number);
        }
        assert_eq!(it.arrive(now, at(1)).1, Entry::Waits);
        assert_eq!(it.make_room(now + times::IDLE), NOBODY, "all are at work");
    }

    #[test]
    fn a_quiet_source_takes_from_the_one_with_most_and_not_the_other_way() {
        let now = Instant::now();
        let mut it = Clients::new(limits(10), 7);
        let quiet = [idle(&mut it, now, 2), idle(&mut it, now, 2)];
        let many: Vec<u64> = (0..8).map(|_| idle(&mut it, now, 1)).collect();
        let (number, _) = it.arrive(now, at(2));
        assert_eq!(it.make_room(now), [many[0]]);
        assert_eq!(it.gone(many[0]), [number]);
        let (number, _) = it.arrive(now, at(1));
        assert_eq!(it.make_room(now), [many[1]], "its own, not one of {quiet:?}");
        assert_eq!(it.gone(many[1]), [number]);
    }

    #[test]
    fn the_room_for_waiting_is_bounded_and_the_greedy_are_turned_away() {
        let now = Instant::now();
        let mut it = Clients::new(limits(4), 7);
        for _ in 0..4 {
            let number = arrive(&mut it, now, 1);
            it.begin(number);
        }
        let quiet = arrive(&mut it, now, 2);
        let greedy: Vec<u64> = (1..WAITING).map(|_| arrive(&mut it, now, 1)).collect();
        assert!(it.accepts(), "somebody quiet may come");
        let (number, entry) = it.arrive(now, at(1));
        assert_eq!(entry, Entry::Crowded(number));
        assert_eq!(it.gone(number), NOBODY);
        let (other, entry) = it.arrive(now, at(3));
        assert_eq!(entry, Entry::Crowded(greedy[WAITING - 2]));
        assert_eq!(it.gone(greedy[WAITING - 2]), NOBODY);
        // The first places go to the quiet ones.
        assert_eq!(it.gone(1), [quiet]);
        assert_eq!(it.gone(2), [other]);
        assert_eq!(it.gone(3), [greedy[0]]);
    }

    #[test]
    fn nobody_is_turned_away_while_nobody_else_asks_or_shares_are_even() {
        let now = Instant::now();
        for sources in [1, 2] {
            let mut it = Clients::new(limits(4), 7);
            for n in 0..4 {
                let number = arrive(&mut it, now, n % sources);
                it.begin(number);
            }
            for n in 0..WAITING as u8 {
                assert!(it.accepts());
                assert_eq!(it.arrive(now, at(n % sources)).1, Entry::Waits);
            }
            assert!(!it.accepts(), "they wait in the system's line");
        }
    }

    #[test]
    fn limits_for_a_source_and_for_heads_hold() {
        let now = Instant::now();
        let mut it = Clients::new(Limits { per_source: 2, heads: 3, ..limits(10) }, 7);
        let (first, second) = (arrive(&mut it, now, 1), idle(&mut it, now, 1));
        let (third, entry) = it.arrive(now, at(1));
        assert_eq!(entry, Entry::Waits);
        let others: Vec<u64> = (2..6).map(|from| idle(&mut it, now, from)).collect();
        assert_eq!(it.make_room(now), [second], "no other source can help it");
        assert_eq!(it.gone(second), [third]);
        assert_eq!(it.read(first, now), None);
        assert_eq!(it.read(third, now), None);
        assert_eq!(it.read(others[0], now), None);
        assert_eq!(it.read(others[1], now), Some(first), "the oldest of the source with most heads");
    }

    #[test]
    fn each_time_limit_has_its_end() {
        let start = Instant::now();
        let mut it = Clients::new(Limits { max_age: Some(Duration::from_secs(20)), ..limits(10) }, 7);
        let silent = arrive(&mut it, start, 1);
        let half = arrive(&mut it, start, 1);
        it.read(half, start);
        let (hangs, stuck, idles) =
            (idle(&mut it, start, 1), idle(&mut it, start, 1), idle(&mut it, start, 1));
        it.read(hangs, start);
        it.begin(stuck);
        it.answers(stuck, start);
        it.took(stuck, start + Duration::from_secs(1));
        assert_eq!(it.due(start + times::FIRST - times::LOOK), []);
        let due = it.due(start + times::FIRST);
        assert_eq!(due, [(silent, Reason::First), (half, Reason::First), (hangs, Reason::Head)]);
        assert_eq!(it.due(start + times::FIRST), [], "once");
        assert_eq!(it.due(start + times::FLOW_STALL), []);
        let due = it.due(start + times::FLOW_STALL + Duration::from_secs(1));
        assert_eq!(due, [(stuck, Reason::Answer)]);
        assert_eq!(it.due(start + Duration::from_secs(15)), [], "not before 0.8 of its age");
        assert_eq!(it.due(start + Duration::from_secs(25)), [(idles, Reason::Age)]);
        let mut it = Clients::new(limits(10), 7);
        let idles = idle(&mut it, start, 1);
        assert_eq!(it.due(start + times::IDLE), [(idles, Reason::Idle)]);
    }

    #[test]
    fn fewer_places_end_the_longest_idle() {
        let now = Instant::now();
        let mut it = Clients::new(limits(10), 7);
        let all: Vec<u64> = (0..6).map(|from| idle(&mut it, now, from)).collect();
        it.begin(all[0]);
        assert_eq!(it.set_all(4), [all[1], all[2]]);
        assert_eq!(it.set_all(4), NOBODY, "they are on their way");
        assert_eq!(it.shed(now), Some(all[3]));
    }

    /// Anything in any order: limits are never passed, nobody at work is ended for another, what is ended for
    /// room is of a source with no fewer than the one that waits, and nobody waits for ever.
    #[test]
    fn whatever_happens_shares_are_fair_and_limits_hold() {
        for seed in 0..200 {
            let mut rng = fastrand::Rng::with_seed(seed);
            let all = rng.usize(1..12);
            let per_source = rng.usize(1..=all);
            let mut it = Clients::new(Limits { per_source, ..limits(all) }, seed);
            let mut now = Instant::now();
            let mut begun: BTreeMap<u64, Instant> = BTreeMap::new();
            for _ in 0..600 {
                now += Duration::from_millis(rng.u64(0..80));
                let numbers: Vec<u64> = it.conns.keys().copied().collect();
                let one = numbers.get(rng.usize(..numbers.len().max(1))).copied().unwrap_or(0);
                let state = it.conns.get(&one).map(|conn| conn.state);
                let mut over = Vec::new();
                match (rng.u32(..8), state) {
                    (0..=3, _) if it.accepts() => {
                        let (number, entry) = it.arrive(now, at(rng.u8(1..4)));
                        begun.insert(number, now);
                        if let Entry::Crowded(other) = entry {
                            assert_eq!(it.conns[&other].state, State::Waiting);
                            over.push(other);
                        }
                    }
                    (4, Some(State::New | State::Idle(_))) => over.extend(it.read(one, now)),
                    (5, Some(State::Head(_))) => {
                        it.begin(one);
                        it.taken(one);
                    }
                    (6, Some(State::Busy)) => it.done(one, now),
                    (7, Some(state)) if state != State::Waiting => over.push(one),
                    _ => {}
                }
                loop {
                    let before: BTreeMap<IpAddr, usize> =
                        it.sources.iter().map(|(at, source)| (*at, source.share())).collect();
                    let Some((wanting, victim)) = it.give_way(now) else { break };
                    let conn = &it.conns[&victim];
                    assert!(!matches!(conn.state, State::Busy | State::Waiting), "seed {seed}");
                    assert!(before[&conn.source] >= before[&wanting], "seed {seed}");
                    over.push(victim);
                }
                over.extend(it.due(now).into_iter().map(|(number, _)| number));
                for number in over {
                    it.gone(number);
                }
                assert!(it.held() <= all && it.waiting() <= WAITING, "seed {seed}");
                assert!(it.sources.values().all(|source| source.held <= per_source), "seed {seed}");
                let waits = it.conns.iter().filter(|(_, conn)| conn.state == State::Waiting);
                assert!(waits.clone().all(|(n, _)| now - begun[n] < times::FIRST), "seed {seed}");
                let room = it.held() < all;
                let mut waits = waits;
                assert!(!room || waits.all(|(_, c)| it.source(c.source).held >= per_source), "seed {seed}");
            }
        }
    }
}
