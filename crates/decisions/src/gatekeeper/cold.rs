//! Cold servers: how much each may be sent, so that all gatekeepers together don't push it over.
use super::*;

/// Part of what a server of its size could do at its age that a cold one is sent. Well under the rule's
/// multiple: chance, and gatekeepers that learn at different times, make more of it now and then.
const COLD_PART: f64 = 1.0;
/// Weights with which the sends that a warm server gets are learned upwards and downwards, once a second; the
/// sends of that second from which on they tell upwards in full; the part of the fleet that must be warm.
const CARRIED: (f64, f64, f64, f64) = (0.1, 0.02, 20.0, 0.5);
/// Sends to a warm server in a second, by all gatekeepers, that tell anything of its size.
const TELLING: f64 = 4.0;

impl Gatekeeper {
    /// The share of its capacity that a server has at the least.
    pub(super) fn coldness(&self, w: &Server, now: Micros) -> f64 {
        let started = w.info.started.max(w.returned);
        let age = started.map_or(f64::MAX, |at| now.saturating_sub(at) as f64);
        let (from, warm) = (self.set.rules.cold_from, self.set.rules.cold_for.max(1) as f64);
        (from + (1.0 - from) * age / warm).min(1.0)
    }

    /// Sends that a cold server may have had from us and did not: at our part of the rate that keeps it busy
    /// if it has one core, or the size of those that are seen to take more when warm, by its coldness.
    pub(super) fn credit(&self, w: &Server) -> f64 {
        if !w.near {
            return 0.0;
        }
        // What latency says of all classes together; the last is for those that the settings do not name.
        let named = &self.typical[..self.set.classes.len().max(1)];
        let one_core = 1e6 / (named.iter().sum::<f64>() / named.len() as f64) / self.sharing();
        let rate = COLD_PART * one_core.max(self.carried);
        let span = self.now.saturating_sub(w.credit_at);
        let mean = self.coldness(w, self.now - span / 2);
        (w.credit + rate * mean * secs(span)).min(1.0)
    }

    /// What a warm server gets tells what its size can do, as far as most of the fleet is warm.
    pub(super) fn learn_carried(&mut self, span: Micros) {
        let near = self.ready[..self.near].iter().filter_map(|id| self.servers.get(id));
        let warm = near.filter(|w| self.coldness(w, self.now) >= 1.0).count() as f64;
        let sent = std::mem::take(&mut self.sent_warm) / secs(span);
        let telling = sent * self.sharing() >= TELLING * warm || self.carried > 0.0;
        if warm >= (CARRIED.3 * self.near as f64).max(1.0) && telling {
            let gets = sent / warm;
            let upwards = (CARRIED.0 * sent / CARRIED.2).clamp(CARRIED.1, CARRIED.0);
            // The first looks count alike.
            self.looks += 1.0;
            let weight = if gets > self.carried { upwards } else { CARRIED.1 }.max(1.0 / self.looks);
            self.carried += (gets - self.carried) * weight;
        }
    }
}
