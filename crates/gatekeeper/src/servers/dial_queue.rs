//! Limits concurrent connection attempts to servers, queues the requests that wait for a connection, and
//! backs off from unreachable servers. No I/O; time is passed in.

use granitelead_decisions::ServerId;
use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

/// Maximum number of concurrent dials of the whole fleet to one server; each gatekeeper gets an equal share.
const FLEET_DIALS_PER_SERVER: usize = 32;
/// Minimum share of one gatekeeper, however many gatekeepers there are.
const DIALS_PER_SERVER_MIN: usize = 2;
/// Maximum number of concurrent dials of one gatekeeper to all servers.
pub const DIALS_MAX: usize = 64;
/// Consecutive failures after which dialing a server backs off.
const BACKOFF_FAILURES: u32 = 2;
/// Initial and maximum backoff; it doubles with each further failure and is randomized.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(1));
/// Period of the usage peaks: spare connections are kept up to the peak of the current and the previous
/// period.
const PEAK_PERIOD: Duration = Duration::from_secs(10);

/// How a request for a connection is handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DialDecision {
    /// The request is queued and the caller must dial a connection.
    Open,
    /// The request is queued.
    Wait,
    /// The request is rejected because dialing the server is backed off.
    Backoff,
}

#[derive(Default)]
struct Server {
    dialing: usize,
    /// Requests that wait for a connection, oldest first.
    waiting: VecDeque<u64>,
    failures: u32,
    backoff_until: Option<Instant>,
    /// Peak number of connections in use, in the current period and the previous one.
    peaks: (usize, usize),
}

/// Counters since the start of the process.
#[derive(Clone, Copy, Debug, Default)]
pub struct DialMetrics {
    /// Dials started.
    pub started: u64,
    /// Dials that failed.
    pub failed: u64,
    /// Requests that waited for a connection without a dial of their own.
    pub waited: u64,
    /// Requests rejected because of the backoff.
    pub rejected: u64,
}

/// Dials in progress and the requests that wait for a connection.
pub struct DialQueue {
    per_server: usize,
    servers: HashMap<ServerId, Server>,
    dialing: usize,
    period_start: Option<Instant>,
    rng: fastrand::Rng,
    /// Counters of this queue.
    pub metrics: DialMetrics,
}

impl DialQueue {
    /// Creates the queue of one of `gatekeepers` gatekeepers; `seed` seeds the randomized backoff.
    pub fn new(gatekeepers: u32, seed: u64) -> DialQueue {
        DialQueue {
            per_server: (FLEET_DIALS_PER_SERVER / gatekeepers.max(1) as usize).max(DIALS_PER_SERVER_MIN),
            servers: HashMap::new(),
            dialing: 0,
            period_start: None,
            rng: fastrand::Rng::with_seed(seed),
            metrics: DialMetrics::default(),
        }
    }

    /// Requests a connection to a server that has no idle one. `has_capacity` says whether the connection
    /// limit of the server allows one more.
    pub fn request(&mut self, to: ServerId, number: u64, has_capacity: bool, now: Instant) -> DialDecision {
        let server = self.servers.entry(to).or_default();
        if server.backoff_until.is_some_and(|until| now < until) {
            self.metrics.rejected += 1;
            return DialDecision::Backoff;
        }
        server.waiting.push_back(number);
        if has_capacity && self.start_dial(to) {
            return DialDecision::Open;
        }
        self.metrics.waited += 1;
        DialDecision::Wait
    }

    /// Returns whether the caller must dial a further connection to a server now, and counts it as in
    /// progress.
    pub fn start_dial(&mut self, to: ServerId) -> bool {
        let Some(server) = self.servers.get_mut(&to) else { return false };
        // During failures a single dial probes the server on behalf of all waiters.
        let max = if server.failures >= BACKOFF_FAILURES { 1 } else { self.per_server };
        if server.dialing >= server.waiting.len().min(max) || self.dialing >= DIALS_MAX {
            return false;
        }
        server.dialing += 1;
        self.dialing += 1;
        self.metrics.started += 1;
        true
    }

    /// Records the result of a dial. Returns the waiters that fail with it.
    pub fn dial_finished(&mut self, to: ServerId, succeeded: bool, now: Instant) -> Vec<u64> {
        self.dialing -= 1;
        self.metrics.failed += u64::from(!succeeded);
        let Some(server) = self.servers.get_mut(&to) else { return Vec::new() };
        server.dialing = server.dialing.saturating_sub(1);
        if succeeded {
            (server.failures, server.backoff_until) = (0, None);
            return Vec::new();
        }
        server.failures += 1;
        if server.failures < BACKOFF_FAILURES {
            // The dial was made for the oldest waiter.
            return server.waiting.pop_front().into_iter().collect();
        }
        let backoff =
            BACKOFF.0.saturating_mul(1 << (server.failures - BACKOFF_FAILURES).min(10)).min(BACKOFF.1);
        server.backoff_until = Some(now + backoff.mul_f64(0.5 + self.rng.f64()));
        server.waiting.drain(..).collect()
    }

    /// Records a dial that was not made for lack of local capacity, which says nothing about the server.
    /// Returns the waiter that fails with it.
    pub fn dial_skipped(&mut self, to: ServerId) -> Option<u64> {
        self.dialing -= 1;
        let server = self.servers.get_mut(&to)?;
        server.dialing = server.dialing.saturating_sub(1);
        server.waiting.pop_front()
    }

    /// Removes and returns the oldest waiter of a server, which gets a free connection.
    pub fn next_waiter(&mut self, of: ServerId) -> Option<u64> {
        self.servers.get_mut(&of)?.waiting.pop_front()
    }

    /// Removes a waiter.
    pub fn remove_waiter(&mut self, of: ServerId, number: u64) {
        if let Some(server) = self.servers.get_mut(&of) {
            server.waiting.retain(|waiter| *waiter != number);
        }
    }

    /// Returns the servers that have more waiters than dials in progress.
    pub fn servers_to_dial(&self) -> Vec<ServerId> {
        let waiting = self.servers.iter().filter(|(_, server)| server.waiting.len() > server.dialing);
        waiting.map(|(to, _)| *to).collect()
    }

    /// Resets the state of a server whose instance was replaced or removed. Returns the waiters of the former
    /// instance.
    pub fn reset(&mut self, server: ServerId) -> Vec<u64> {
        let waiting = match self.servers.get_mut(&server) {
            // Dials in progress still count.
            Some(known) => {
                let old = std::mem::take(known);
                known.dialing = old.dialing;
                old.waiting
            }
            None => VecDeque::new(),
        };
        if self.servers.get(&server).is_some_and(|known| known.dialing == 0) {
            self.servers.remove(&server);
        }
        waiting.into()
    }

    /// Records that `n` connections to a server are in use.
    pub fn record_in_use(&mut self, of: ServerId, n: usize) {
        let peaks = &mut self.servers.entry(of).or_default().peaks;
        peaks.0 = peaks.0.max(n);
    }

    /// Returns the recent peak number of connections in use to a server. Meant to be polled every second.
    pub fn recent_peak(&self, of: ServerId) -> usize {
        self.servers.get(&of).map_or(0, |server| server.peaks.0.max(server.peaks.1))
    }

    /// Starts a new usage period when the current one is over.
    pub fn advance(&mut self, now: Instant) {
        let period_start = *self.period_start.get_or_insert(now);
        if now - period_start >= PEAK_PERIOD {
            self.period_start = Some(now);
            self.servers.values_mut().for_each(|server| server.peaks = (0, server.peaks.0));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SERVER: ServerId = ServerId(1);
    const NO_WAITERS: [u64; 0] = [];

    #[test]
    fn dials_per_server_are_limited_and_none_is_made_for_a_removed_waiter() {
        let now = Instant::now();
        let mut queue = DialQueue::new(300, 7);
        let asked: Vec<DialDecision> = (0..6).map(|n| queue.request(SERVER, n, true, now)).collect();
        assert_eq!(
            asked,
            [
                DialDecision::Open,
                DialDecision::Open,
                DialDecision::Wait,
                DialDecision::Wait,
                DialDecision::Wait,
                DialDecision::Wait
            ]
        );
        // A returned connection serves the oldest waiter; the next dialed one serves the second.
        assert_eq!(queue.next_waiter(SERVER), Some(0));
        assert_eq!(queue.dial_finished(SERVER, true, now), NO_WAITERS);
        assert_eq!(queue.next_waiter(SERVER), Some(1));
        assert!(queue.start_dial(SERVER));
        [2, 3, 4].iter().for_each(|n| queue.remove_waiter(SERVER, *n));
        assert!(!queue.start_dial(SERVER), "two dials are in progress for the one waiter left");
        assert_eq!((queue.metrics.started, queue.metrics.waited), (3, 4));
    }

    #[test]
    fn dials_to_all_servers_together_are_limited() {
        let now = Instant::now();
        let mut queue = DialQueue::new(1, 7);
        let opened = (0..10).flat_map(|w| (0..20).map(move |n| (ServerId(w), w * 20 + n)));
        let opened = opened.filter(|(w, n)| queue.request(*w, *n, true, now) == DialDecision::Open).count();
        assert_eq!(opened, DIALS_MAX);
        assert_eq!(queue.dial_finished(ServerId(0), true, now), NO_WAITERS);
        let to_dial = queue.servers_to_dial();
        assert!(!to_dial.is_empty() && to_dial.iter().filter(|w| queue.start_dial(**w)).count() == 1);
    }

    #[test]
    fn consecutive_failures_but_not_a_single_one_cause_a_randomized_backoff() {
        let mut backoffs = Vec::new();
        for seed in 0..20 {
            let mut now = Instant::now();
            let mut queue = DialQueue::new(300, seed);
            assert_eq!(queue.request(SERVER, 0, true, now), DialDecision::Open);
            assert_eq!(queue.request(SERVER, 1, true, now), DialDecision::Open);
            assert_eq!(queue.request(SERVER, 2, true, now), DialDecision::Wait);
            assert_eq!(queue.dial_finished(SERVER, false, now), [0]);
            assert_eq!(queue.request(SERVER, 3, true, now), DialDecision::Open);
            assert_eq!(queue.dial_finished(SERVER, false, now), [1, 2, 3]);
            assert_eq!(queue.request(SERVER, 4, true, now), DialDecision::Backoff);
            let mut last = Duration::ZERO;
            for n in 10..20 {
                let backoff_start = now;
                while queue.request(SERVER, n, true, now) == DialDecision::Backoff {
                    now += Duration::from_millis(1);
                }
                last = now - backoff_start;
                assert!(last <= BACKOFF.1.mul_f64(1.5));
                queue.dial_finished(SERVER, false, now);
            }
            backoffs.push(last);
            assert!(last >= BACKOFF.1 / 2, "the backoff grows: {last:?}");
        }
        backoffs.dedup();
        assert!(backoffs.len() > 10, "not synchronized: {backoffs:?}");
    }

    #[test]
    fn a_new_instance_in_the_list_ends_the_backoff() {
        let now = Instant::now();
        let mut queue = DialQueue::new(300, 7);
        for n in 0..2 {
            queue.request(SERVER, n, true, now);
            queue.dial_finished(SERVER, false, now);
        }
        assert_eq!(queue.request(SERVER, 5, true, now), DialDecision::Backoff);
        assert_eq!(queue.reset(SERVER), NO_WAITERS);
        assert_eq!(queue.request(SERVER, 6, true, now), DialDecision::Open);
        assert_eq!(queue.reset(SERVER), [6], "it waited for the former instance");
        assert_eq!(queue.dial_finished(SERVER, true, now), NO_WAITERS);
        assert!(queue.servers.is_empty() || queue.dialing == 0);
    }

    #[test]
    fn the_recent_peak_covers_the_current_and_the_previous_period() {
        let start = Instant::now();
        let mut queue = DialQueue::new(300, 7);
        queue.advance(start);
        queue.record_in_use(SERVER, 5);
        queue.record_in_use(SERVER, 1);
        assert_eq!(queue.recent_peak(SERVER), 5);
        queue.advance(start + PEAK_PERIOD);
        queue.record_in_use(SERVER, 2);
        assert_eq!(queue.recent_peak(SERVER), 5);
        queue.advance(start + 2 * PEAK_PERIOD);
        assert_eq!(queue.recent_peak(SERVER), 2);
    }

    /// Random operations in any order: the limits hold, and a server with waiters always has a dial in
    /// progress.
    #[test]
    fn servers_with_waiters_always_have_a_dial_in_progress() {
        for seed in 0..200 {
            let mut rng = fastrand::Rng::with_seed(seed);
            let mut queue = DialQueue::new(300, seed);
            let mut now = Instant::now();
            for number in 0..500 {
                now += Duration::from_millis(rng.u64(0..30));
                let to = ServerId(rng.u64(0..4));
                let dialing = queue.servers.get(&to).map_or(0, |server| server.dialing);
                match rng.u32(..6) {
                    0..=2 => drop(queue.request(to, number, true, now)),
                    3 if dialing > 0 => {
                        let succeeded = rng.bool();
                        queue.dial_finished(to, succeeded, now);
                        if succeeded {
                            queue.next_waiter(to);
                        }
                        while queue.start_dial(to) {}
                    }
                    4 if dialing > 0 => {
                        queue.dial_skipped(to);
                        while queue.start_dial(to) {}
                    }
                    5 => queue.remove_waiter(to, rng.u64(..number + 1)),
                    _ => {}
                }
                let in_progress: usize = queue.servers.values().map(|server| server.dialing).sum();
                assert_eq!(queue.dialing, in_progress, "seed {seed}");
                for server in queue.servers.values() {
                    assert!(server.dialing <= queue.per_server, "seed {seed}");
                    assert!(server.waiting.is_empty() || server.dialing > 0, "seed {seed}");
                }
            }
        }
    }
}
