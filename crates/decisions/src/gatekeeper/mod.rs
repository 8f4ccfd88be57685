//! The decisions of one gatekeeper: events in, actions out. The interface is in `../api.rs`.

mod attempts;
mod ceilings;
mod choice;
mod completion;
mod concurrency;
mod counter;
mod customers;
mod fleet;
mod guards;
mod handover;
mod health;
mod quotas;
mod requests;
mod warmup;

use crate::api::*;
use crate::state::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Housekeeping period, µs: short against any target latency, long against the clock's resolution.
const TICK: Micros = 10_000;
/// Retry budget: retries earned by each first attempt, and the most accumulated. Prevents retry storms.
const RETRY_BUDGET: (f64, f64) = (0.15, 20.0);
/// In-flight limit of one server over all gatekeepers, requests: at start, least, most, and growth with a
/// good answer. Each gatekeeper uses an equal part of it; a part below one is pooled over all servers.
const INFLIGHT: (f64, f64, f64, f64) = (4.0, 0.9, 96.0, 0.15);
/// Weights of a new sample in the learned latency of a class and in a server's slowness (moving averages).
const SMOOTHING: (f64, f64) = (0.05, 0.15);
/// Entries in the customer table at most: the specification's 100k.
const TABLE_SIZE: usize = 100_000;
/// Initial interval between counter calls of all gatekeepers together, µs; each makes its part of them.
const INITIAL_CALL_INTERVAL: f64 = 2_000.0;

/// Longest window, µs: the counter keeps a number for two windows at most.
const MAX_WINDOW: f64 = 30e6;
/// Window of a plan without a rate, µs: the specification's ten seconds.
const DEFAULT_WINDOW: f64 = 10e6;

/// The window in which a plan's use is counted, µs.
fn window(p: &Plan) -> f64 {
    let span = if p.rate > 0.0 { p.burst / p.rate * 1e6 } else { DEFAULT_WINDOW };
    span.clamp(1e5, MAX_WINDOW)
}

/// The decision state machine of one gatekeeper.
#[derive(Default)]
pub struct Gatekeeper {
    settings: Settings,
    rng: fastrand::Rng,
    now: Micros,
    started: Micros,
    customers: BTreeMap<Key, Customer>,
    unpushed: BTreeSet<Key>,
    calls: BTreeMap<CounterName, CounterCall>,
    call_interval: f64,
    good_interval: f64,
    next_call_at: f64,
    last_call_failed: bool,
    pushed_units: f64,
    dropped_units: f64,
    servers: BTreeMap<ServerId, Server>,
    /// Servers that may get new requests, from this gatekeeper's offset on; the first ones are its subset.
    ready: Vec<ServerId>,
    subset_len: usize,
    /// Capacity of the ready servers, in warm servers.
    ready_capacity: f64,
    /// Sends to warm servers in this second; learned rate per warm server, a second, and its sample count.
    warm_sends: f64,
    warm_rate: f64,
    rate_samples: f64,
    /// Servers excluded by an operator, and since when.
    excluded: BTreeMap<ServerId, Micros>,
    requests: BTreeMap<RequestId, OpenRequest>,
    queue: VecDeque<RequestId>,
    timers: BTreeMap<u64, RequestId>,
    next_timer: u64,
    latencies: Vec<f64>,
    /// The usual client timeout for a try of each class, and by how many tries it is ahead of other values.
    timeouts: Vec<(Micros, u32)>,
    /// Mean latency relative to the target, and its low-water mark, which drifts up slowly: without queueing.
    latency_ratio: f64,
    unloaded_ratio: f64,
    answers: f64,
    retry_budget: f64,
    /// Mean interval between our sends, µs, and the time of the last one.
    send_interval: f64,
    last_send_at: Micros,
    /// In-flight limit of an average server, learned from all; attempts in flight; when it was last cut.
    server_limit: f64,
    in_flight: f64,
    cut_at: Micros,
    paused_until: Micros,
    last_expiry: Micros,
    tick_pending: bool,
    handed_over: bool,
}

impl Gatekeeper {
    /// Creates a gatekeeper without any learned state.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Self {
        // A well-sized fleet answers within a quarter of the target; learned from the first answers on.
        let mut latencies: Vec<f64> =
            settings.classes.iter().map(|c| (c.aim as f64 / 4.0).max(1.0)).collect();
        latencies.push(100_000.0);
        let timeouts = vec![(0, 0); settings.classes.len()];
        let n = f64::from(settings.instances.max(1));
        let mut rng = fastrand::Rng::with_seed(seed);
        Gatekeeper {
            settings,
            // Random, so that gatekeepers that start together do not call together.
            next_call_at: now as f64 + rng.f64() * n * INITIAL_CALL_INTERVAL,
            rng,
            now,
            started: now,
            last_expiry: now,
            last_send_at: now,
            next_timer: 1,
            latencies,
            timeouts,
            retry_budget: RETRY_BUDGET.1 / 2.0,
            call_interval: n * INITIAL_CALL_INTERVAL,
            good_interval: n * INITIAL_CALL_INTERVAL,
            server_limit: INFLIGHT.0,
            ..Gatekeeper::default()
        }
    }

    /// Handles one event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if self.next_timer == 1 {
            self.next_timer = 2;
            out.extend(self.settings.subscribe.then_some(Action::Subscribe));
        }
        match event {
            Event::Servers(list) => self.on_servers(list, out),
            Event::Exclusion { server, excluded: true } => {
                self.excluded.entry(server).or_insert(self.now);
                self.update_ready();
            }
            Event::Exclusion { server, excluded: false } => self.end_exclusion(server, out),
            Event::Request(request) => self.on_request(request, out),
            Event::Timer(TimerToken(0)) => self.on_tick(out),
            Event::BodyReceived(id) => self.on_body_received(&id, out),
            Event::BodyReleased(id) => drop(self.requests.entry(id).and_modify(|r| r.body_released = true)),
            Event::Timer(TimerToken(n)) => {
                let id = self.timers.remove(&n).unwrap_or_default();
                // During the upload, and until the extended deadline after it, another timer will expire it.
                let early = |r: &OpenRequest| r.uploading || self.now + self.margin() < r.deadline;
                if !self.requests.get(&id).is_some_and(early) {
                    self.finish(&id, Completion::Failed, out);
                }
            }
            Event::AttemptDone(done) => self.on_attempt_done(done, out),
            Event::StreamStarted { request } => {
                self.requests.entry(request).and_modify(|r| r.streaming = true);
            }
            Event::ClientGone(id) => self.finish(&id, Completion::Answered, out),
            Event::Counter { name, outcome } => self.on_counter(name, outcome, out),
        }
        // Ticks only while there is pending work.
        let idle = self.requests.is_empty() && self.unpushed.is_empty();
        if !(self.tick_pending || idle) {
            self.tick_pending = true;
            out.push(Action::SetTimer { token: TimerToken(0), after: TICK });
        }
    }

    fn on_tick(&mut self, out: &mut Vec<Action>) {
        self.tick_pending = false;
        self.hedge_or_cancel(out);
        self.dispatch_queued(out);
        // When calls are scarce, customers whose local units are the largest share of their quota go first.
        if self.may_call(0.0) {
            let part = |key: &Key| match self.customers.get(key) {
                Some(c) if c.open_calls == 0 => c.pending.abs() / self.plan(key).burst.max(1e-9),
                _ => 0.0,
            };
            let mut due: Vec<(f64, Key)> = self.unpushed.iter().map(|key| (part(key), key.clone())).collect();
            due.sort_by(|a, b| b.0.total_cmp(&a.0));
            for (_, key) in due {
                if self.may_call(0.0) {
                    self.push(&key, 0.0, out);
                }
            }
        }
        if self.now > self.last_expiry + 100 * TICK {
            let span = self.now - self.last_expiry;
            self.last_expiry = self.now;
            self.expire(span);
        }
    }

    fn instances(&self) -> f64 {
        f64::from(self.settings.instances.max(1))
    }
}
