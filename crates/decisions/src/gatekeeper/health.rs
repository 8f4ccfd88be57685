//! Server health: learning from outcomes, and temporary avoidance of servers that fail (outlier ejection).
use super::*;

/// Least and longest time that a server is avoided for a class that failed there, µs. It lasts until our next
/// request would reach the server by chance, and doubles with each failure, at most three times.
const AVOID_TIME: (f64, f64) = (1e6, 30e6);
/// Good answers that offset one failure.
const FAILURE_SCORE: u32 = 3;
/// Samples at which a server's own record weighs as much as the mean, and their decay time, µs (to a third).
const SAMPLE_TRUST: (f64, f64) = (2.0, 10e6);

impl Gatekeeper {
    /// Number of samples in a server's record, decayed by age.
    fn samples(&self, w: &Server) -> f64 {
        w.samples * (-(self.now.saturating_sub(w.sampled_at) as f64) / SAMPLE_TRUST.1).exp()
    }

    /// A server's slowness, pulled towards the mean where samples are few or old.
    pub(super) fn slowness_of(&self, w: &Server) -> f64 {
        1.0 + (w.slowness - 1.0) * self.samples(w) / (self.samples(w) + SAMPLE_TRUST.0)
    }

    pub(super) fn learn(&mut self, id: ServerId, class: usize, target: Micros, ended: Outcome, sent: Micros) {
        let (now, latency) = (self.now, (self.now - sent) as f64);
        let used = self.end_attempt(latency);
        let Some(w) = self.servers.get(&id) else { return };
        let (cold, slowness, samples) = (self.warmth(w, now), self.slowness_of(w), self.samples(w));
        let typical_latency = &mut self.latencies[class];
        let Some(w) = self.servers.get_mut(&id) else { return };
        w.inflight = (w.inflight - 1.0).max(0.0);
        if matches!(ended, Outcome::Cancelled | Outcome::NotSent | Outcome::Timeout) {
            return;
        }
        (w.slowness, w.samples, w.sampled_at) = (slowness, samples + 1.0, now);
        let mut slow_down = ended == Outcome::Full;
        if slow_down || ended == Outcome::Ok {
            w.health[class].answered = now;
        }
        if ended == Outcome::Ok {
            let h = &mut w.health[class];
            h.failure_score = h.failure_score.saturating_sub(1);
            if h.failure_score == 0 {
                h.avoid_until = now;
            }
            // Scaled to the latency of a warm server.
            let latency = latency * cold;
            w.slowness += ((latency / *typical_latency).min(10.0) - w.slowness) * SMOOTHING.1;
            // The first answers weigh more: they come from servers without queues.
            self.answers += 1.0;
            let first = 1.0 / (self.answers + 1.0);
            *typical_latency += (latency.max(100.0) - *typical_latency) * SMOOTHING.0.max(first);
            let slowness = w.slowness;
            slow_down = self.learn_limit(latency, target, slowness, first, used);
        }
        if slow_down && cold >= 1.0 {
            self.cut_limit();
        }
        match ended {
            Outcome::ConnectFailed => (0..self.latencies.len()).for_each(|i| self.record_failure(id, i)),
            Outcome::Error | Outcome::Reset => self.record_failure(id, class),
            _ => {}
        }
    }

    /// Avoids a server for a class that failed there, or for all after two. Covers fast failures, silence and
    /// failures of one class. The cost: a chance failure takes out a server for about one turn.
    pub(super) fn record_failure(&mut self, id: ServerId, class_index: usize) {
        let turn = self.send_interval * self.subset_len as f64;
        let now = self.now;
        let Some(h) = self.servers.get_mut(&id).and_then(|w| w.health.get_mut(class_index)) else { return };
        if now >= h.avoid_until {
            let span = AVOID_TIME.0.max(turn) * f64::from(1u32 << (h.failure_score / FAILURE_SCORE).min(3));
            h.avoid_until = now + span.min(AVOID_TIME.1) as Micros;
            h.failure_score += FAILURE_SCORE;
            self.update_subset();
        }
    }

    /// Avoided servers get no requests; one on probation gets one repeatable request at a time.
    pub(super) fn is_healthy(&self, r: &OpenRequest, w: &Server) -> bool {
        let avoided = w.health.iter().filter(|h| self.now < h.avoid_until).count();
        let h = &w.health[r.class_index];
        let trial_ok = h.failure_score == 0 || (w.inflight == 0.0 && r.class.effect != Effect::AtMostOnce);
        self.now >= h.avoid_until && avoided < 2 && trial_ok
    }
}
