//! Connections being opened to servers: how many at once, for whom, and when not. No I/O; time is passed in.

use granitelead_decisions::ServerId;
use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

/// Connections that the whole fleet opens to one server at once; each gatekeeper has its share.
const FLEET: usize = 32;
/// What a gatekeeper may open at once to one server at least, however many gatekeepers there are.
const SHARE_LEAST: usize = 2;
/// What a gatekeeper opens at once to all servers.
pub const ALL: usize = 64;
/// Failures in a row after which nothing is opened for a while.
const IN_A_ROW: u32 = 2;
/// That while, doubling with each further failure, and its longest.
const HOLD: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(1));
/// Spare connections are kept to what one or two times this has shown.
const RECENT: Duration = Duration::from_secs(10);

/// What is to be done for one that asks for a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ask {
    /// It waits, and one is to be opened.
    Open,
    /// It waits.
    Wait,
    /// None can be had for now.
    HeldOff,
}

#[derive(Default)]
struct Server {
    opening: usize,
    /// Those that wait, the first first.
    waiting: VecDeque<u64>,
    failures: u32,
    held_off: Option<Instant>,
    /// The most connections in use at once, in this span of time and the one before.
    most: (usize, usize),
}

/// What has been done since the start.
#[derive(Clone, Copy, Debug, Default)]
pub struct Dialed {
    /// Connections begun.
    pub begun: u64,
    /// Of these, not come about.
    pub failed: u64,
    /// Attempts that waited for a connection.
    pub waited: u64,
    /// Attempts that got none because of failures just before.
    pub held_off: u64,
}

/// What is being opened, and who waits for it.
pub struct Dials {
    per_server: usize,
    servers: HashMap<ServerId, Server>,
    opening: usize,
    span: Option<Instant>,
    rng: fastrand::Rng,
    /// What has been done.
    pub dialed: Dialed,
}

impl Dials {
    /// For one of so many gatekeepers; `seed` draws.
    pub fn new(gatekeepers: u32, seed: u64) -> Dials {
        Dials {
            per_server: (FLEET / gatekeepers.max(1) as usize).max(SHARE_LEAST),
            servers: HashMap::new(),
            opening: 0,
            span: None,
            rng: fastrand::Rng::with_seed(seed),
            dialed: Dialed::default(),
        }
    }

    /// Somebody wants a connection to a server, and there is none to be had at once; `room` says whether the
    /// server's limit leaves room for one more.
    pub fn ask(&mut self, to: ServerId, number: u64, room: bool, now: Instant) -> Ask {
        let server = self.servers.entry(to).or_default();
        if server.held_off.is_some_and(|until| now < until) {
            self.dialed.held_off += 1;
            return Ask::HeldOff;
        }
        server.waiting.push_back(number);
        if room && self.open_one(to) {
            return Ask::Open;
        }
        self.dialed.waited += 1;
        Ask::Wait
    }

    /// Whether a further connection to a server is to be opened now, which is then under way.
    pub fn open_one(&mut self, to: ServerId) -> bool {
        let Some(server) = self.servers.get_mut(&to) else { return false };
        // After failures one tries for all.
        let most = if server.failures >= IN_A_ROW { 1 } else { self.per_server };
        if server.opening >= server.waiting.len().min(most) || self.opening >= ALL {
            return false;
        }
        server.opening += 1;
        self.opening += 1;
        self.dialed.begun += 1;
        true
    }

    /// One has come about, or not; gives those that can't hope for any now.
    pub fn opened(&mut self, to: ServerId, is_open: bool, now: Instant) -> Vec<u64> {
        self.opening -= 1;
        self.dialed.failed += u64::from(!is_open);
        let Some(server) = self.servers.get_mut(&to) else { return Vec::new() };
        server.opening = server.opening.saturating_sub(1);
        if is_open {
            (server.failures, server.held_off) = (0, None);
            return Vec::new();
        }
        server.failures += 1;
        if server.failures < IN_A_ROW {
            // This one was opened for the first of them.
            return server.waiting.pop_front().into_iter().collect();
        }
        let hold = HOLD.0.saturating_mul(1 << (server.failures - IN_A_ROW).min(10)).min(HOLD.1);
        server.held_off = Some(now + hold.mul_f64(0.5 + self.rng.f64()));
        server.waiting.drain(..).collect()
    }

    /// One did not come about for want of room here, which tells nothing of the server.
    pub fn no_room(&mut self, to: ServerId) -> Option<u64> {
        self.opening -= 1;
        let server = self.servers.get_mut(&to)?;
        server.opening = server.opening.saturating_sub(1);
        server.waiting.pop_front()
    }

    /// A connection to a server is free: who gets it.
    pub fn first(&mut self, of: ServerId) -> Option<u64> {
        self.servers.get_mut(&of)?.waiting.pop_front()
    }

    /// Somebody waits no more.
    pub fn leave(&mut self, of: ServerId, number: u64) {
        if let Some(server) = self.servers.get_mut(&of) {
            server.waiting.retain(|waits| *waits != number);
        }
    }

    /// Servers for which something could be opened now: those under way have become fewer.
    pub fn wanting(&self) -> Vec<ServerId> {
        let wants = self.servers.iter().filter(|(_, server)| server.waiting.len() > server.opening);
        wants.map(|(to, _)| *to).collect()
    }

    /// The list tells of another process in this one's place, or of none: gives those that waited for the
    /// old.
    pub fn forget(&mut self, server: ServerId) -> Vec<u64> {
        let waiting = match self.servers.get_mut(&server) {
            // What is being opened still counts.
            Some(known) => {
                let old = std::mem::take(known);
                known.opening = old.opening;
                old.waiting
            }
            None => VecDeque::new(),
        };
        if self.servers.get(&server).is_some_and(|known| known.opening == 0) {
            self.servers.remove(&server);
        }
        waiting.into()
    }

    /// So many connections to a server are in use at once.
    pub fn uses(&mut self, of: ServerId, n: usize) {
        let most = &mut self.servers.entry(of).or_default().most;
        most.0 = most.0.max(n);
    }

    /// How many connections to a server recent use has shown to be wanted at once. To be looked at every
    /// second.
    pub fn wanted(&self, of: ServerId) -> usize {
        self.servers.get(&of).map_or(0, |server| server.most.0.max(server.most.1))
    }

    /// Lets what is recent go on.
    pub fn look(&mut self, now: Instant) {
        let span = *self.span.get_or_insert(now);
        if now - span >= RECENT {
            self.span = Some(now);
            self.servers.values_mut().for_each(|server| server.most = (0, server.most.0));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const W: ServerId = ServerId(1);
    const NOBODY: [u64; 0] = [];

    #[test]
    fn few_are_opened_at_once_and_none_for_who_has_gone() {
        let now = Instant::now();
        let mut it = Dials::new(300, 7);
        let asked: Vec<Ask> = (0..6).map(|n| it.ask(W, n, true, now)).collect();
        assert_eq!(asked, [Ask::Open, Ask::Open, Ask::Wait, Ask::Wait, Ask::Wait, Ask::Wait]);
        // One that is given back serves the first; the next to come about is the second's.
        assert_eq!(it.first(W), Some(0));
        assert_eq!(it.opened(W, true, now), NOBODY);
        assert_eq!(it.first(W), Some(1));
        assert!(it.open_one(W));
        [2, 3, 4].iter().for_each(|n| it.leave(W, *n));
        assert!(!it.open_one(W), "two are under way for the one that still waits");
        assert_eq!((it.dialed.begun, it.dialed.waited), (3, 4));
    }

    #[test]
    fn all_together_are_bounded_too() {
        let now = Instant::now();
        let mut it = Dials::new(1, 7);
        let opened = (0..10).flat_map(|w| (0..20).map(move |n| (ServerId(w), w * 20 + n)));
        let opened = opened.filter(|(w, n)| it.ask(*w, *n, true, now) == Ask::Open).count();
        assert_eq!(opened, ALL);
        assert_eq!(it.opened(ServerId(0), true, now), NOBODY);
        let wants = it.wanting();
        assert!(!wants.is_empty() && wants.iter().filter(|w| it.open_one(**w)).count() == 1);
    }

    #[test]
    fn one_failure_holds_nobody_off_and_more_in_a_row_do_for_a_drawn_time() {
        let mut holds = Vec::new();
        for seed in 0..20 {
            let mut now = Instant::now();
            let mut it = Dials::new(300, seed);
            assert_eq!(it.ask(W, 0, true, now), Ask::Open);
            assert_eq!(it.ask(W, 1, true, now), Ask::Open);
            assert_eq!(it.ask(W, 2, true, now), Ask::Wait);
            assert_eq!(it.opened(W, false, now), [0]);
            assert_eq!(it.ask(W, 3, true, now), Ask::Open);
            assert_eq!(it.opened(W, false, now), [1, 2, 3]);
            assert_eq!(it.ask(W, 4, true, now), Ask::HeldOff);
            let mut last = Duration::ZERO;
            for n in 10..20 {
                let begun = now;
                while it.ask(W, n, true, now) == Ask::HeldOff {
                    now += Duration::from_millis(1);
                }
                last = now - begun;
                assert!(last <= HOLD.1.mul_f64(1.5));
                it.opened(W, false, now);
            }
            holds.push(last);
            assert!(last >= HOLD.1 / 2, "it grows: {last:?}");
        }
        holds.dedup();
        assert!(holds.len() > 10, "not in step: {holds:?}");
    }

    #[test]
    fn what_the_list_tells_ends_the_hold() {
        let now = Instant::now();
        let mut it = Dials::new(300, 7);
        for n in 0..2 {
            it.ask(W, n, true, now);
            it.opened(W, false, now);
        }
        assert_eq!(it.ask(W, 5, true, now), Ask::HeldOff);
        assert_eq!(it.forget(W), NOBODY);
        assert_eq!(it.ask(W, 6, true, now), Ask::Open);
        assert_eq!(it.forget(W), [6], "it waited for the old process");
        assert_eq!(it.opened(W, true, now), NOBODY);
        assert!(it.servers.is_empty() || it.opening == 0);
    }

    #[test]
    fn spare_connections_are_what_recent_use_has_shown() {
        let start = Instant::now();
        let mut it = Dials::new(300, 7);
        it.look(start);
        it.uses(W, 5);
        it.uses(W, 1);
        assert_eq!(it.wanted(W), 5);
        it.look(start + RECENT);
        it.uses(W, 2);
        assert_eq!(it.wanted(W), 5);
        it.look(start + 2 * RECENT);
        assert_eq!(it.wanted(W), 2);
    }

    /// Anything in any order: bounds hold, and whoever waits is served, told, or has one opened in its
    /// server's name, unless the bounds forbid.
    #[test]
    fn nobody_waits_without_one_being_opened() {
        for seed in 0..200 {
            let mut rng = fastrand::Rng::with_seed(seed);
            let mut it = Dials::new(300, seed);
            let mut now = Instant::now();
            for number in 0..500 {
                now += Duration::from_millis(rng.u64(0..30));
                let to = ServerId(rng.u64(0..4));
                let opening = it.servers.get(&to).map_or(0, |server| server.opening);
                match rng.u32(..6) {
                    0..=2 => drop(it.ask(to, number, true, now)),
                    3 if opening > 0 => {
                        let is_open = rng.bool();
                        it.opened(to, is_open, now);
                        if is_open {
                            it.first(to);
                        }
                        while it.open_one(to) {}
                    }
                    4 if opening > 0 => {
                        it.no_room(to);
                        while it.open_one(to) {}
                    }
                    5 => it.leave(to, rng.u64(..number + 1)),
                    _ => {}
                }
                let under_way: usize = it.servers.values().map(|server| server.opening).sum();
                assert_eq!(it.opening, under_way, "seed {seed}");
                for server in it.servers.values() {
                    assert!(server.opening <= it.per_server, "seed {seed}");
                    assert!(server.waiting.is_empty() || server.opening > 0, "seed {seed}");
                }
            }
        }
    }
}
