//! What answers and failures say of a server, and of the in-flight limit of all.
use super::*;

/// Avoidance of a server for a class that failed there, µs: at the least, and at the most. It lasts until the
/// next of our requests would meet the server by chance, and doubles with each failure, thrice at the most.
const EJECT_FOR: (f64, f64) = (1e6, 30e6);
/// Good answers, one at a time, that make up for one failure.
const STRIKE: u32 = 3;
/// Samples, and µs after which they count a third, at which a server's own record weighs as much as the mean.
const TRUST: (f64, f64) = (2.0, 10e6);

impl Gatekeeper {
    /// Answers behind a server's record, less by their age.
    fn samples(&self, w: &Server) -> f64 {
        w.samples * (-(self.now.saturating_sub(w.at) as f64) / TRUST.1).exp()
    }

    /// A server's slowness, drawn to the mean where few or old answers speak for it.
    pub(super) fn slow_of(&self, w: &Server) -> f64 {
        1.0 + (w.slow - 1.0) * self.samples(w) / (self.samples(w) + TRUST.0)
    }

    pub(super) fn learn(&mut self, id: ServerId, class: usize, aim: Micros, outcome: Outcome, sent: Micros) {
        let (now, latency) = (self.now, (self.now - sent) as f64);
        let used = self.comes_back(latency);
        let Some(w) = self.servers.get(&id) else { return };
        let (cold, slow, samples) = (self.coldness(w, now), self.slow_of(w), self.samples(w));
        let typical = &mut self.typical[class];
        let Some(w) = self.servers.get_mut(&id) else { return };
        w.inflight = (w.inflight - 1.0).max(0.0);
        if matches!(outcome, Outcome::Cancelled | Outcome::NotSent | Outcome::Timeout) {
            return;
        }
        (w.slow, w.samples, w.at) = (slow, samples + 1.0, now);
        let mut slow_down = outcome == Outcome::Full;
        if slow_down || outcome == Outcome::Ok {
            w.health[class].answered = now;
        }
        if outcome == Outcome::Ok {
            let h = &mut w.health[class];
            h.strikes = h.strikes.saturating_sub(1);
            if h.strikes == 0 {
                h.avoid_until = now;
            }
            // What a warm server would have taken.
            let latency = latency * cold;
            w.slow += ((latency / *typical).min(10.0) - w.slow) * LEARN.1;
            // The first answers weigh more: they come from servers without queues.
            self.answers += 1.0;
            let first = 1.0 / (self.answers + 1.0);
            *typical += (latency.max(100.0) - *typical) * LEARN.0.max(first);
            let slow = w.slow;
            slow_down = self.learn_limit(latency, aim, slow, first, used);
        }
        if slow_down && cold >= 1.0 {
            self.cut_limit();
        }
        match outcome {
            Outcome::ConnectFailed => (0..self.typical.len()).for_each(|each| self.strike(id, each)),
            Outcome::Error | Outcome::Reset => self.strike(id, class),
            _ => {}
        }
    }

    /// A server that failed a class is avoided for it; one that fails two, for all. It covers fast failures,
    /// silence and servers that fail one class only. Harm: a chance failure costs one server for a meeting.
    pub(super) fn strike(&mut self, id: ServerId, class_ix: usize) {
        let meeting = self.send_gap * self.near as f64;
        let now = self.now;
        let Some(h) = self.servers.get_mut(&id).and_then(|w| w.health.get_mut(class_ix)) else { return };
        if now >= h.avoid_until {
            let span = EJECT_FOR.0.max(meeting) * f64::from(1u32 << (h.strikes / STRIKE).min(3));
            h.avoid_until = now + span.min(EJECT_FOR.1) as Micros;
            h.strikes += STRIKE;
            self.find_near();
        }
    }

    /// Avoided servers get nothing; one on trial gets one repeatable request at a time.
    pub(super) fn healthy(&self, r: &Open, w: &Server) -> bool {
        let avoided = w.health.iter().filter(|h| self.now < h.avoid_until).count();
        let h = &w.health[r.class_ix];
        let trial_ok = h.strikes == 0 || (w.inflight == 0.0 && r.class.effect != Effect::AtMostOnce);
        self.now >= h.avoid_until && avoided < 2 && trial_ok
    }
}
