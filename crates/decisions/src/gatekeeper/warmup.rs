//! Slow start: limits the rate at which all gatekeepers together send to a server that warms up.
use super::*;

/// Share of its estimated present capacity that a cold server is sent. Well below the rule's multiple: random
/// variation, and gatekeepers that learn at different times, exceed it now and then.
const COLD_SHARE: f64 = 1.0;
/// Learning of the rate of a warm server, once a second: the weights of a higher and of a lower sample; the
/// sends in that second from which on a higher one has full weight; the share of servers that must be warm.
const WARM_RATE: (f64, f64, f64, f64) = (0.1, 0.02, 20.0, 0.5);
/// Rate at a warm server, sends a second by all gatekeepers, from which on it indicates its capacity.
const MIN_WARM_RATE: f64 = 4.0;

impl Gatekeeper {
    /// The least share of its full capacity that a server has by its age; 1 when warm.
    pub(super) fn warmth(&self, w: &Server, now: Micros) -> f64 {
        let started = w.info.started.max(w.returned);
        let age = started.map_or(f64::MAX, |at| now.saturating_sub(at) as f64);
        let (from, warm) = (self.settings.rules.cold_from, self.settings.rules.cold_for.max(1) as f64);
        (from + (1.0 - from) * age / warm).min(1.0)
    }

    /// Credit, in sends, that a cold server has accumulated: our share of the rate that keeps it busy if it
    /// has one core, or of the rate seen at warm servers where that is higher, scaled by its warmth.
    pub(super) fn credit(&self, w: &Server) -> f64 {
        if !w.in_subset {
            return 0.0;
        }
        // The typical latency over all classes; the last entry is for classes that the settings do not name.
        let named = &self.latencies[..self.settings.classes.len().max(1)];
        let one_core = 1e6 / (named.iter().sum::<f64>() / named.len() as f64) / self.sharing();
        let rate = COLD_SHARE * one_core.max(self.warm_rate);
        let span = self.now.saturating_sub(w.credit_at);
        let mean = self.warmth(w, self.now - span / 2);
        (w.credit + rate * mean * secs(span)).min(1.0)
    }

    /// Learns from the rate sent to warm servers what a server can take, while most servers are warm.
    pub(super) fn learn_warm_rate(&mut self, span: Micros) {
        let subset = self.ready[..self.subset_len].iter().filter_map(|id| self.servers.get(id));
        let warm = subset.filter(|w| self.warmth(w, self.now) >= 1.0).count() as f64;
        let sent = std::mem::take(&mut self.warm_sends) / secs(span);
        let significant = sent * self.sharing() >= MIN_WARM_RATE * warm || self.warm_rate > 0.0;
        if warm >= (WARM_RATE.3 * self.subset_len as f64).max(1.0) && significant {
            let gets = sent / warm;
            let up = (WARM_RATE.0 * sent / WARM_RATE.2).clamp(WARM_RATE.1, WARM_RATE.0);
            // The first samples have equal weight.
            self.rate_samples += 1.0;
            let weight = if gets > self.warm_rate { up } else { WARM_RATE.1 }.max(1.0 / self.rate_samples);
            self.warm_rate += (gets - self.warm_rate) * weight;
        }
    }
}
