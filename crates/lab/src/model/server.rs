//! A resale server: cores that share the work in hand, a queue, a cold start that warms or falls over, keys whose repeats
//! are dropped, a limit on connections.
//!
//! Its work is shared evenly among what it works on, at most one core for each request. Holding more than it is good for
//! makes it less efficient.

use granitelead_decisions::Micros;
use std::collections::{BTreeMap, VecDeque};

/// While it warms its speed is taken as even for so long, µs.
const WARMS_EVERY: Micros = 50_000;
/// Room above the rule's budget for the grain of single requests, in requests of the mean size.
const FALL_SLACK: f64 = 4.0;
/// Keys remembered at most; past that the oldest go.
const KEYS_MAX: usize = 100_000;

/// What kind of server it is.
#[derive(Clone, Debug)]
pub struct Spec {
    /// How many requests it works on at full speed.
    pub cores: f64,
    /// How many it works on at all.
    pub slots: usize,
    /// How many wait.
    pub queue: usize,
    /// What it can do at its start, as a part of the whole.
    pub cold_from: f64,
    /// How long it takes to be warm.
    pub cold_for: Micros,
    /// Sent more than this multiple of what it can do ...
    pub fall_multiple: f64,
    /// ... over this time it falls over, while it is cold.
    pub fall_after: Micros,
    /// Requests in hand for each core from which on each further one costs ...
    pub thrash_at: f64,
    /// ... so much more work for all.
    pub thrash: f64,
    /// Connections that it holds.
    pub connections: usize,
}

/// A request that it works on, or that waits.
#[derive(Clone, Copy, Debug)]
struct Job {
    id: u64,
    /// Left to do, µs of one core.
    left: f64,
}

/// What becomes of a request that reaches it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    /// It is worked on, or waits.
    Yes,
    /// The queue is full: turned away unseen.
    Full,
    /// It was too much for a cold server: the process is no more.
    FallsOver,
}

/// One process of a resale server.
#[derive(Debug)]
pub struct ResaleServer {
    spec: Spec,
    /// None for long ago.
    started: Option<Micros>,
    /// How many times slower it is than it should be.
    slow: f64,
    running: Vec<Job>,
    waiting: VecDeque<Job>,
    /// Up to when the work is done.
    at: Micros,
    /// Work that reached it while it was cold, over the time of the rule.
    reached: VecDeque<(Micros, f64)>,
    reached_sum: f64,
    keys: BTreeMap<u64, Micros>,
    /// Connections open to it.
    pub connections: usize,
}

impl ResaleServer {
    /// A process that started then; none for long ago.
    pub fn new(spec: Spec, started: Option<Micros>, now: Micros) -> ResaleServer {
        ResaleServer {
            spec,
            started,
            slow: 1.0,
            running: Vec::new(),
            waiting: VecDeque::new(),
            at: now,
            reached: VecDeque::new(),
            reached_sum: 0.0,
            keys: BTreeMap::new(),
            connections: 0,
        }
    }

    /// The part of its capacity that it has.
    pub fn coldness(&self, now: Micros) -> f64 {
        let age = self.started.map_or(f64::MAX, |at| now.saturating_sub(at) as f64);
        let from = self.spec.cold_from;
        (from + (1.0 - from) * age / self.spec.cold_for.max(1) as f64).min(1.0)
    }

    /// What it can do now, µs of one core each µs, when it holds no more than it is good for.
    pub fn capacity(&self, now: Micros) -> f64 {
        self.spec.cores * self.coldness(now) / self.slow
    }

    /// How many times more work everything is, for what it holds.
    fn burden(&self) -> f64 {
        let beyond = self.inflight() as f64 / self.spec.cores - self.spec.thrash_at;
        1.0 + self.spec.thrash * beyond.max(0.0)
    }

    /// Whether one more connection is taken.
    pub fn has_connection(&self) -> bool {
        self.connections < self.spec.connections
    }

    /// Requests in hand.
    pub fn inflight(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// So many times slower than it should be, from now on.
    pub fn set_slow(&mut self, now: Micros, times: f64) -> Vec<u64> {
        let done = self.step(now);
        self.slow = times;
        done
    }

    /// Whether a repeat of this key is dropped; else it is remembered for so long.
    pub fn drops_repeat(&mut self, now: Micros, key: u64, keep: Micros) -> bool {
        if self.keys.len() >= KEYS_MAX {
            self.keys.retain(|_, until| *until > now);
        }
        if self.keys.get(&key).is_some_and(|until| now < *until) {
            return true;
        }
        self.keys.insert(key, now + keep);
        false
    }

    /// A request has come whole, so much work. What was finished before is to be had from [`Self::step`] first.
    pub fn take(&mut self, now: Micros, id: u64, work: f64) -> Taken {
        if self.coldness(now) < 1.0 {
            self.reached.push_back((now, work));
            self.reached_sum += work;
            while let Some((at, work)) = self.reached.front().copied() {
                if at + self.spec.fall_after > now {
                    break;
                }
                self.reached_sum -= work;
                self.reached.pop_front();
            }
            let mean = self.reached_sum / self.reached.len().max(1) as f64;
            let budget = self.spec.fall_multiple * self.capacity(now) * self.spec.fall_after as f64;
            if self.reached_sum > budget + FALL_SLACK * mean {
                return Taken::FallsOver;
            }
        }
        let job = Job { id, left: work.max(1.0) };
        if self.running.len() < self.spec.slots {
            self.running.push(job);
        } else if self.waiting.len() < self.spec.queue {
            self.waiting.push_back(job);
        } else {
            return Taken::Full;
        }
        Taken::Yes
    }

    /// Nobody waits for it any more: it stops.
    pub fn cancel(&mut self, id: u64) {
        self.waiting.retain(|job| job.id != id);
        self.running.retain(|job| job.id != id);
        self.fill();
    }

    fn fill(&mut self) {
        while self.running.len() < self.spec.slots {
            let Some(job) = self.waiting.pop_front() else { break };
            self.running.push(job);
        }
    }

    /// How much of one core each request in hand gets.
    fn pace(&self) -> f64 {
        let one = self.coldness(self.at) / self.slow;
        (self.capacity(self.at) / self.running.len().max(1) as f64).min(one) / self.burden()
    }

    fn least(&self) -> f64 {
        self.running.iter().map(|job| job.left).fold(f64::INFINITY, f64::min)
    }

    /// Works up to now; gives what was finished on the way, in that order.
    pub fn step(&mut self, now: Micros) -> Vec<u64> {
        let mut done = Vec::new();
        while self.at < now && !self.running.is_empty() {
            let pace = self.pace();
            let cold = self.coldness(self.at) < 1.0;
            let until = if cold { now.min(self.at + WARMS_EVERY) } else { now };
            let first = (self.least() / pace).ceil() as Micros;
            let span = first.min(until - self.at);
            for job in &mut self.running {
                job.left -= pace * span as f64;
            }
            self.at += span;
            done.extend(self.running.iter().filter(|job| job.left <= 0.0).map(|job| job.id));
            self.running.retain(|job| job.left > 0.0);
            self.fill();
        }
        self.at = self.at.max(now);
        done
    }

    /// When something is finished next, as far as is known now.
    pub fn next(&self) -> Option<Micros> {
        if self.running.is_empty() {
            return None;
        }
        let first = self.at + ((self.least() / self.pace()).ceil() as Micros).max(1);
        let cold = self.coldness(self.at) < 1.0;
        Some(if cold { first.min(self.at + WARMS_EVERY) } else { first })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::{RngExt, SeedableRng};
    use rand_chacha::ChaCha8Rng;

    const S: Micros = 1_000_000;

    fn spec() -> Spec {
        Spec {
            cores: 2.0,
            slots: 4,
            queue: 6,
            cold_from: 0.25,
            cold_for: 8 * S,
            fall_multiple: 2.0,
            fall_after: S,
            thrash_at: 5.0,
            thrash: 0.0,
            connections: 10,
        }
    }

    #[test]
    fn work_in_hand_shares_the_cores_and_the_queue_is_bounded() {
        let mut it = ResaleServer::new(spec(), None, 0);
        assert_eq!(it.take(0, 1, 1e6), Taken::Yes);
        assert_eq!(it.next(), Some(S), "one core for one request at most");
        (2..=10).for_each(|id| assert_eq!(it.take(0, id, 1e6), Taken::Yes));
        assert_eq!(it.take(0, 11, 1e6), Taken::Full);
        assert_eq!(it.next(), Some(2 * S), "four share two cores");
        assert_eq!(it.step(2 * S), [1, 2, 3, 4]);
        it.cancel(5);
        assert_eq!(it.inflight(), 5);
        assert_eq!(it.step(4 * S), [6, 7, 8, 9]);
        assert_eq!(it.set_slow(4 * S, 4.0), NOTHING);
        assert_eq!(it.next(), Some(8 * S));
    }

    const NOTHING: [u64; 0] = [];

    #[test]
    fn one_that_holds_too_much_does_less() {
        let time = |held| {
            let spec = Spec { thrash_at: 2.0, thrash: 0.5, ..spec() };
            let mut it = ResaleServer::new(spec, None, 0);
            (0..held).for_each(|id| assert_eq!(it.take(0, id, 1e6), Taken::Yes));
            it.next().unwrap()
        };
        // Two for each core cost nothing, three half as much again of the work of all.
        assert_eq!((time(4), time(6)), (2 * S, 3 * S));
    }

    #[test]
    fn a_cold_one_warms_or_falls_over() {
        let mut it = ResaleServer::new(spec(), Some(0), 0);
        assert_eq!(it.coldness(0), 0.25);
        assert_eq!(it.coldness(8 * S), 1.0);
        // It can do half a second's work each second at its start, and may be sent twice that and a little more.
        let small = 0.1e6;
        let sent = (0..40).take_while(|n| it.take(0, *n, small) != Taken::FallsOver).count();
        assert!((10..=15).contains(&sent), "{sent}");
        let mut warm = ResaleServer::new(spec(), Some(0), 8 * S);
        assert!((0..40).all(|n| warm.take(8 * S, n, small) != Taken::FallsOver));
    }

    #[test]
    fn repeats_of_a_key_are_dropped_for_its_time() {
        let mut it = ResaleServer::new(spec(), None, 0);
        assert!(!it.drops_repeat(0, 7, S));
        assert!(it.drops_repeat(S - 1, 7, S));
        assert!(!it.drops_repeat(S, 7, S));
    }

    /// However often it is looked at, the same work is finished, and no more than its cores can do.
    #[test]
    fn looking_changes_nothing_and_no_work_is_made_or_lost() {
        for seed in 0..100 {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            let cold = rng.random_bool(0.5).then_some(0);
            let spec = Spec { fall_multiple: 1e9, ..spec() };
            let mut often = ResaleServer::new(spec.clone(), cold, 0);
            let mut seldom = ResaleServer::new(spec, cold, 0);
            let (mut one, mut two, mut work) = (Vec::new(), Vec::new(), 0.0);
            let mut now = 0;
            for id in 0..200 {
                now += rng.random_range(0..300_000);
                while let Some(next) = often.next().filter(|next| *next <= now) {
                    one.extend(often.step(next));
                }
                one.extend(often.step(now));
                two.extend(seldom.step(now));
                let size = rng.random_range(1e3..1e6);
                let taken = often.take(now, id, size);
                assert_eq!(seldom.take(now, id, size), taken, "seed {seed}");
                work += if taken == Taken::Yes { size } else { 0.0 };
            }
            let end = now + 100 * S;
            one.extend(often.step(end));
            two.extend(seldom.step(end));
            assert_eq!(one.len(), two.len(), "seed {seed}");
            assert_eq!(often.inflight(), 0);
            assert!(work <= 2.0 * end as f64);
        }
    }
}
