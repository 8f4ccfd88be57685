//! Adaptive concurrency limit, learned from latency, and the queue of requests that wait for capacity.
use super::*;

/// Factor on the limit after a slow answer, applied at most once every ten ticks.
const INFLIGHT_CUT: f64 = 0.92;
/// Share of the target latency from which on an answer counts as slow and cuts the limit.
const SLOW_SHARE: f64 = 0.5;
/// Multiple of the unloaded latency from which on servers count as saturated, and the growth of the unloaded
/// latency with each answer, so that it adapts when the fleet changes.
const SATURATION: (f64, f64) = (2.3, 1.0001);
/// Share of the target latency that a request may be queued before it is refused.
const QUEUE_SHARE: f64 = 0.12;

impl Gatekeeper {
    /// Attempts that this gatekeeper may have in flight in total.
    pub(super) fn concurrency_limit(&self) -> f64 {
        self.server_limit * self.ready_capacity / self.instances()
    }

    /// An attempt has ended; returns whether the limit was in use. A limit below one is enforced by a pause.
    pub(super) fn end_attempt(&mut self, latency: f64) -> bool {
        self.in_flight = (self.in_flight - 1.0).max(0.0);
        let limit = self.concurrency_limit();
        self.paused_until = self.now + (latency * (1.0 / limit - 1.0).clamp(0.0, 100.0)) as Micros;
        self.in_flight + 1.0 >= limit / 2.0
    }

    /// Learns from a good answer of a server; `first` is the weight of one sample among all answers.
    pub(super) fn learn_limit(
        &mut self,
        latency: f64,
        target: Micros,
        slowness: f64,
        first: f64,
        used: bool,
    ) -> bool {
        // Relative to targets, latencies of all classes make one signal; each alone has few samples.
        self.latency_ratio += (latency / target.max(1) as f64 - self.latency_ratio) * SMOOTHING.0.max(first);
        let least = if first > SMOOTHING.0 { f64::MAX } else { self.unloaded_ratio * SATURATION.1 };
        self.unloaded_ratio = least.min(self.latency_ratio);
        let queued = slowness * self.latency_ratio > SATURATION.0 * self.unloaded_ratio;
        let slow_down = queued || latency > SLOW_SHARE * target as f64;
        if !slow_down && used {
            self.server_limit = (self.server_limit + INFLIGHT.3).min(INFLIGHT.2);
        }
        slow_down
    }

    /// Cuts the limit: saturated servers lose most of their throughput, and recover only under less load.
    pub(super) fn cut_limit(&mut self) {
        if self.now > self.cut_at + 10 * TICK {
            (self.server_limit, self.cut_at) = ((self.server_limit * INFLIGHT_CUT).max(INFLIGHT.1), self.now);
        }
    }

    pub(super) fn dispatch_or_queue(&mut self, id: &RequestId, out: &mut Vec<Action>) {
        if !self.dispatch(id, out) {
            if let Some(r) = self.requests.get_mut(id).filter(|r| !r.queued) {
                r.queued = true;
                self.queue.push_back(id.clone());
            }
        }
    }

    /// Dispatches queued requests as capacity frees up, newest first: in a long overload a first-in-first-out
    /// queue serves the class with the longest deadline, and serves it late. Old requests are refused early.
    pub(super) fn dispatch_queued(&mut self, out: &mut Vec<Action>) {
        let mut waiting = VecDeque::new();
        while let Some(id) = self.queue.pop_back() {
            let Some(r) = self.requests.get(&id).filter(|r| r.queued && !r.closed) else { continue };
            let queue_time = (r.class.aim as f64 * QUEUE_SHARE) as Micros;
            let since = if r.attempts.is_empty() { r.arrived } else { r.arrived + queue_time };
            if self.now > since + queue_time {
                let wait = self
                    .rng
                    .u64(queue_time / 2..=queue_time.max(1))
                    .min(self.settings.limits.max_retry_after);
                self.finish(&id, Completion::Refused(wait), out);
            } else if !self.dispatch(&id, out) {
                waiting.push_front(id);
            }
        }
        self.queue = waiting;
    }
}
