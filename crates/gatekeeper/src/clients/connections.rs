//! Whose connections may stay, and for how long: one manager for all that clients open. No I/O; time is
//! passed in.

use crate::times;
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};
use std::time::{Duration, Instant};

/// Who has so many times as many connections as another would have with one more has by far the most.
const BY_FAR: usize = 2;

/// The network that an address belongs to: whoever has one address of it can have them all.
pub fn network(of: IpAddr) -> IpAddr {
    match of.to_canonical() {
        IpAddr::V4(at) => IpAddr::V4(Ipv4Addr::from_bits(at.to_bits() & !0xff)),
        IpAddr::V6(at) => IpAddr::V6(Ipv6Addr::from_bits(at.to_bits() >> 64 << 64)),
    }
}

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
    /// The order in which those that can make room do: newcomers without a byte, clients between two
    /// requests, heads that have had their time; for one whose share is `short` of what it is owed also any
    /// head that hangs.
    fn makes_room(&self, now: Instant, short: bool) -> Option<u8> {
        match self.state {
            _ if self.ends => None,
            State::Waiting | State::Busy => None,
            State::New => self.hangs(now).then_some(0),
            State::Idle(_) => Some(1),
            State::Head(since) if now - since >= times::HEAD => Some(2),
            State::Head(_) => (short && self.hangs(now)).then_some(if self.taken { 4 } else { 3 }),
        }
    }

    /// Whether it holds a place and has sent no whole head for longer than one takes that is sent in one go.
    fn hangs(&self, now: Instant) -> bool {
        match self.state {
            State::New => now - self.since >= times::NEW,
            State::Head(since) => now - since >= times::NEW,
            State::Waiting | State::Idle(_) | State::Busy => false,
        }
    }

    /// Whether it makes room now or after a while, unless it sends a request.
    fn may_make_room(&self) -> bool {
        !self.ends && matches!(self.state, State::New | State::Head(_) | State::Idle(_))
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

/// What an address has, or a network.
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
    /// There are too many that wait: this one, of the source with most, is closed: the longest there without
    /// a byte, else the newest.
    Crowded(u64),
}

/// All clients' connections, by number.
pub struct Clients {
    limits: Limits,
    conns: BTreeMap<u64, Conn>,
    sources: BTreeMap<IpAddr, Source>,
    /// The same, by [`network`].
    networks: BTreeMap<IpAddr, Source>,
    /// Until when newcomers are looked at though the room for waiting is full.
    looks_until: Option<Instant>,
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
            networks: BTreeMap::new(),
            looks_until: None,
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

    fn ending(&self) -> usize {
        self.sources.values().map(|source| source.ending).sum()
    }

    fn source(&self, of: IpAddr) -> Source {
        self.sources.get(&of).copied().unwrap_or_default()
    }

    fn network(&self, of: IpAddr) -> Source {
        self.networks.get(&network(of)).copied().unwrap_or_default()
    }

    /// Changes what an address has, and its network with it.
    fn count(&mut self, of: IpAddr, change: impl Fn(&mut Source)) {
        change(self.sources.entry(of).or_default());
        change(self.networks.entry(network(of)).or_default());
    }

    /// What a source has in the eyes of another: of another network it is seen with all of its own.
    fn seen_from(&self, other: IpAddr, source: IpAddr) -> Source {
        match network(other) == network(source) {
            true => self.source(source),
            false => self.network(source),
        }
    }

    /// Whether a source has so much more than another that this one is short of its share.
    fn has_by_far_more(&self, source: IpAddr, than: IpAddr) -> bool {
        self.seen_from(than, source).share() >= BY_FAR * (self.seen_from(source, than).share() + 1)
    }

    /// Whether another newcomer is to be looked at. With the room for waiting full, only where one source has
    /// by far the most, which has to let others through, or where the places are held by what hangs; else
    /// newcomers wait in the system's line, as those of a source whose requests are at work should.
    pub fn accepts(&self, now: Instant) -> bool {
        let waiting = self.waiting();
        if waiting < self.limits.waiting {
            return true;
        }
        let sources = if self.networks.len() > 1 { &self.networks } else { &self.sources };
        let mut totals: Vec<_> = sources.values().map(|source| source.held + source.waiting).collect();
        totals.sort_unstable_by(|a, b| b.cmp(a));
        let by_far = matches!(totals[..], [most, next, ..] if most >= BY_FAR * next);
        let looks = by_far || self.looks_until.is_some_and(|until| now < until);
        // Those that wait and have somebody ended for them make room themselves in a moment.
        looks && waiting == self.limits.waiting && self.ending() < waiting
    }

    /// Somebody connects. `silent` tells of those that wait, and of this one, whether nothing has come from
    /// them.
    pub fn arrive(&mut self, now: Instant, from: IpAddr, silent: impl Fn(u64) -> bool) -> (u64, Entry) {
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
        if has_place {
            self.count(from, |source| source.held += 1);
            return (number, Entry::In);
        }
        self.count(from, |source| source.waiting += 1);
        if self.waiting() <= self.limits.waiting {
            return (number, Entry::Waits);
        }
        let total = |source: Source| source.held + source.waiting;
        let greediest = self.sources.iter().filter(|(_, source)| source.waiting > 0);
        let greediest = greediest.max_by_key(|(at, source)| (total(self.network(**at)), total(**source)));
        let greediest = greediest.map(|(at, _)| *at);
        let of_it = |conn: &Conn| conn.state == State::Waiting && Some(conn.source) == greediest;
        let all: Vec<u64> = self.conns.iter().filter(|(_, c)| of_it(c)).map(|(number, _)| *number).collect();
        let crowded = all.iter().find(|number| silent(**number)).or(all.last()).copied().unwrap_or(number);
        self.end(crowded, Reason::Crowd);
        (number, Entry::Crowded(crowded))
    }

    /// Who is to be ended for those that wait: for each one, of the source with most connections that has one
    /// to give and no fewer than the waiting one's, what loses least. To be called whenever one comes, and
    /// every [`times::ROOM`] while any waits.
    pub fn make_room(&mut self, now: Instant) -> Vec<u64> {
        let hang = self.conns.values().filter(|conn| conn.hangs(now)).count();
        if 2 * hang >= self.limits.all {
            // In a flood those that come instead hang too, which can't be seen for a while.
            self.looks_until = Some(now + times::FIRST);
        }
        std::iter::from_fn(|| self.give_way(now)).map(|(_, victim)| victim).collect()
    }

    /// Ends one for another; gives for whom, and which.
    fn give_way(&mut self, now: Instant) -> Option<(IpAddr, u64)> {
        let (wanting, victim) = self.victim(now).filter(|_| self.ending() < self.waiting())?;
        self.end(victim, Reason::Room);
        self.count(wanting, |source| source.promised += 1);
        Some((wanting, victim))
    }

    /// For whom somebody can be ended, and who.
    fn victim(&self, now: Instant) -> Option<(IpAddr, u64)> {
        let mut wants: Vec<_> =
            self.sources.iter().filter(|(_, source)| source.waiting > source.promised).collect();
        wants.sort_by_key(|(at, source)| (self.network(**at).share(), source.share()));
        wants.into_iter().find_map(|(from, _)| Some((*from, self.victim_for(now, *from)?)))
    }

    fn victim_for(&self, now: Instant, from: IpAddr) -> Option<u64> {
        let full = self.source(from).share() >= self.limits.per_source;
        // While a source with far more has some to give, now or in a moment, nobody gives up one of its own.
        let far_more = |conn: &Conn| conn.may_make_room() && self.has_by_far_more(conn.source, from);
        if !full && self.conns.values().any(far_more) {
            return self.least_lost(now, |conn| far_more(conn).then_some(true));
        }
        let gives = |at| self.seen_from(from, at).share() >= self.seen_from(at, from).share().max(1);
        self.least_lost(now, |conn| (conn.source == from || (!full && gives(conn.source))).then_some(false))
    }

    /// What loses least, of the source with most connections among those that give, and are asked to as by
    /// one that is short of its share or not.
    fn least_lost(&self, now: Instant, gives: impl Fn(&Conn) -> Option<bool>) -> Option<u64> {
        let all = self.conns.iter();
        let can = all.filter_map(|(number, conn)| Some((conn.makes_room(now, gives(conn)?)?, number, conn)));
        let first = can.min_by_key(|(order, _, conn)| {
            let shares = (self.network(conn.source).share(), self.source(conn.source).share());
            (std::cmp::Reverse(shares), *order, conn.turn)
        });
        first.map(|(_, number, _)| *number)
    }

    /// The system has no descriptor left: who is to be ended, if anybody can be.
    pub fn shed(&mut self, now: Instant) -> Option<u64> {
        let victim = self.least_lost(now, |_| Some(false))?;
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
        let (source, held) = (conn.source, conn.state != State::Waiting);
        self.count(source, |source| source.ending += usize::from(held));
    }

    /// A connection has ended, from whichever side: who has a place now.
    pub fn gone(&mut self, number: u64) -> Vec<u64> {
        if let Some(conn) = self.conns.remove(&number) {
            self.count(conn.source, |source| {
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
                source.ending -= usize::from(conn.ends && conn.state != State::Waiting);
            });
            for (all, at) in [(&mut self.sources, conn.source), (&mut self.networks, network(conn.source))] {
                if all.get(&at).is_some_and(|source| source.held + source.waiting == 0) {
                    all.remove(&at);
                }
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
        let (number, _) = waiting.min_by_key(|(number, conn)| {
            (self.network(conn.source).held, self.source(conn.source).held, **number)
        })?;
        let number = *number;
        let conn = self.conns.get_mut(&number)?;
        conn.state = State::New;
        let source = conn.source;
        self.count(source, |source| {
            (source.waiting, source.held) = (source.waiting - 1, source.held + 1);
            source.promised = source.promised.saturating_sub(1);
        });
        Some(number)
    }

    fn set_state(&mut self, number: u64, state: State) {
        let Some(conn) = self.conns.get_mut(&number) else { return };
        let (source, before) = (conn.source, std::mem::replace(&mut conn.state, state));
        self.count(source, |source| {
            source.heads += usize::from(matches!(state, State::Head(_)));
            source.heads -= usize::from(matches!(before, State::Head(_)));
        });
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
            let heads = (self.network(conn.source).heads, self.source(conn.source).heads);
            (std::cmp::Reverse(heads), *since, conn.turn)
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

    /// The figures: by state, by reason of closing, and how many sources there are and what one holds at
    /// most.
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
        it.arrive(now, at(from), |_| false).0
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
            let (number, entry) = it.arrive(now, at(1), |_| false);
            assert_eq!(entry, Entry::Waits);
            assert_eq!(it.make_room(now), [victim]);
            assert_eq!(it.make_room(now), NOBODY, "one for each");
            assert_eq!(it.gone(victim), [number]);
            it.begin(number);
        }
        assert_eq!(it.arrive(now, at(1), |_| false).1, Entry::Waits);
        assert_eq!(it.make_room(now + times::IDLE), NOBODY, "all are at work");
    }

    #[test]
    fn a_quiet_source_takes_from_the_one_with_most_and_not_the_other_way() {
        let now = Instant::now();
        let mut it = Clients::new(limits(10), 7);
        let quiet = [idle(&mut it, now, 2), idle(&mut it, now, 2)];
        let many: Vec<u64> = (0..8).map(|_| idle(&mut it, now, 1)).collect();
        let (number, _) = it.arrive(now, at(2), |_| false);
        assert_eq!(it.make_room(now), [many[0]]);
        assert_eq!(it.gone(many[0]), [number]);
        let (number, _) = it.arrive(now, at(1), |_| false);
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
        assert!(it.accepts(now), "somebody quiet may come");
        let (number, entry) = it.arrive(now, at(1), |_| false);
        assert_eq!(entry, Entry::Crowded(number));
        assert_eq!(it.gone(number), NOBODY);
        let (other, entry) = it.arrive(now, at(3), |_| false);
        assert_eq!(entry, Entry::Crowded(greedy[WAITING - 2]));
        assert_eq!(it.gone(greedy[WAITING - 2]), NOBODY);
        // The first places go to the quiet ones.
        assert_eq!(it.gone(1), [quiet]);
        assert_eq!(it.gone(2), [other]);
        assert_eq!(it.gone(3), [greedy[0]]);
    }

    #[test]
    fn in_a_crowd_of_one_source_who_has_spoken_is_spared() {
        let start = Instant::now();
        let mut it = Clients::new(Limits { waiting: 2, ..limits(4) }, 7);
        let hang: Vec<u64> = (0..4).map(|_| arrive(&mut it, start, 1)).collect();
        hang.iter().for_each(|number| assert_eq!(it.read(*number, start), None));
        let now = start + times::NEW;
        let (speaks, silent) = (arrive(&mut it, now, 1), arrive(&mut it, now, 1));
        assert!(!it.accepts(now), "those at work keep newcomers in the line");
        assert_eq!(it.make_room(now), NOBODY, "a head of its own source is young");
        assert!(it.accepts(now), "all places hang");
        let (newest, entry) = it.arrive(now, at(1), |number| number == silent);
        assert_eq!(entry, Entry::Crowded(silent));
        assert_eq!(it.gone(silent), NOBODY);
        assert_eq!(it.arrive(now, at(1), |_| false).1, Entry::Crowded(newest + 1), "the newest");
        assert_eq!(it.gone(newest + 1), NOBODY);
        assert_eq!(it.make_room(start + times::HEAD), hang[..2]);
        assert!(!it.accepts(start + times::HEAD), "room is being made");
        assert_eq!(it.gone(hang[0]), [speaks]);
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
                assert!(it.accepts(now));
                assert_eq!(it.arrive(now, at(n % sources), |_| false).1, Entry::Waits);
            }
            assert!(!it.accepts(now), "they wait in the system's line");
        }
    }

    #[test]
    fn limits_for_a_source_and_for_heads_hold() {
        let now = Instant::now();
        let mut it = Clients::new(Limits { per_source: 2, heads: 3, ..limits(10) }, 7);
        let (first, second) = (arrive(&mut it, now, 1), idle(&mut it, now, 1));
        let (third, entry) = it.arrive(now, at(1), |_| false);
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
                    (0..=3, _) if it.accepts(now) => {
                        let (number, entry) = it.arrive(now, at(rng.u8(1..4)), |_| false);
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

    /// What a flood does with a place once it has one.
    #[derive(Clone, Copy, Debug, PartialEq)]
    enum Flood {
        Idles,
        Drips,
        /// An answered request, then nothing.
        Keeps,
    }

    /// A source that asks for one connection now and then, and keeps another, beside a flood that fills
    /// places, room and the system's line, from one address or from all of a network. A newcomer of the quiet
    /// one is in after what it takes the flood to hang, twice: once until the line is looked through, once
    /// for a place; and the time in which the line's length is taken in. None of its connections is ended
    /// where there are places enough that the flood has by far the most.
    #[test]
    fn a_quiet_newcomer_waits_for_a_bounded_time_beside_any_flood() {
        const LINE: usize = 1_024;
        const TAKEN_IN_A_MS: usize = 20;
        const END: u64 = 2_000;
        for seed in 0..24 {
            let mut rng = fastrand::Rng::with_seed(seed);
            let does = [Flood::Idles, Flood::Drips, Flood::Keeps][rng.usize(..3)];
            let (wide, a_ms) = (rng.bool(), rng.usize(1..12));
            let all = rng.usize(8..40);
            let line_time = Duration::from_millis((LINE / TAKEN_IN_A_MS.min(all)) as u64 + 1);
            let bound = 2 * (times::NEW + times::ROOM) + line_time;
            let mut it = Clients::new(Limits { waiting: rng.usize(1..=WAITING), ..limits(all) }, seed);
            let (start, quiet) = (Instant::now(), at(1));
            let mut line = std::collections::VecDeque::new();
            let (mut waits, mut own) = (BTreeMap::new(), Vec::new());
            let mut asking = std::collections::VecDeque::new();
            let mut freed = Vec::new();
            let (mut longest, mut came) = (Duration::ZERO, 0);
            for ms in 0..END {
                let now = start + Duration::from_millis(ms);
                for _ in 0..a_ms {
                    let host = if wide { rng.u8(1..255) } else { 2 };
                    let from = IpAddr::from([127, 0, u8::from(wide), host]);
                    if line.len() < LINE {
                        line.push_back((from, now));
                    }
                }
                asking.extend((ms % 400 == 99).then_some(now));
                // Where the line is full it knocks again.
                if let (Some(since), true) = (asking.front(), line.len() < LINE) {
                    line.push_back((quiet, *since));
                    asking.pop_front();
                }
                let mut over = it.due(now).into_iter().map(|(number, _)| number).collect::<Vec<_>>();
                let mut let_in = std::mem::take(&mut freed);
                if ms % times::ROOM.as_millis() as u64 == 0 {
                    over.extend(it.make_room(now));
                }
                for _ in 0..TAKEN_IN_A_MS {
                    if !it.accepts(now) {
                        break;
                    }
                    let Some((from, since)) = line.pop_front() else { break };
                    let (number, entry) =
                        it.arrive(now, from, |number| does == Flood::Idles && !own.contains(&number));
                    if from == quiet {
                        waits.insert(number, since);
                        own.push(number);
                        came += 1;
                    }
                    match entry {
                        Entry::In => let_in.push(number),
                        Entry::Waits => {}
                        Entry::Crowded(other) => over.push(other),
                    }
                    over.extend(it.make_room(now));
                    for number in over.drain(..) {
                        assert!(!own.contains(&number), "seed {seed}: {does:?} ends a quiet one at {ms} ms");
                        let_in.extend(it.gone(number));
                    }
                }
                for number in over {
                    assert!(!own.contains(&number), "seed {seed}: {does:?} ends a quiet one at {ms} ms");
                    let_in.extend(it.gone(number));
                }
                for number in let_in {
                    if let Some(since) = waits.remove(&number) {
                        longest = longest.max(now - since);
                    }
                    let quiet = own.contains(&number);
                    if quiet || does != Flood::Idles {
                        it.read(number, now);
                    }
                    if quiet || does == Flood::Keeps {
                        it.begin(number);
                        it.taken(number);
                        it.done(number, now);
                        let over = it.make_room(now);
                        assert!(over.iter().all(|number| !own.contains(number)), "seed {seed}: {does:?}");
                        over.into_iter().for_each(|number| freed.extend(it.gone(number)));
                    }
                }
                // It keeps the newest.
                while own.len() > 1 && !waits.contains_key(&own[1]) {
                    it.gone(own.remove(0));
                }
            }
            let end = start + Duration::from_millis(END);
            let in_line = line.iter().filter(|(from, _)| *from == quiet).map(|(_, since)| *since);
            let mut still = waits.into_values().chain(in_line).chain(asking);
            assert!(still.all(|since| end - since <= bound), "seed {seed}: {does:?}, wide {wide}, {all}");
            assert!(longest <= bound, "seed {seed}: {does:?}, wide {wide}, {all}: {longest:?}");
            assert!(came >= 4, "seed {seed}: {does:?}: {came}");
        }
    }
}
