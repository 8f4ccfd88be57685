//! Quotas: units against the burst of a window, the penalty period, and the cap on open requests.
use super::*;

/// Uncertainty of the others' use: as a multiple of its forecast, plus a multiple of the largest request.
const UNCERTAINTY: (f64, f64) = (2.0, 0.5);
/// Age up to which a total counts as current, µs: about the duration of one call.
const TOTAL_MAX_AGE: Micros = 5_000;

impl Customer {
    /// Units used in the last window by all gatekeepers together, as far as known.
    pub(super) fn count(&self, now: Micros, window: f64) -> f64 {
        let left = 1.0 - ((now + self.shift) % window as u64) as f64 / window;
        let last = (self.prev.own + self.prev.others) * left;
        self.cur.own + self.cur.others + last + self.pending + self.in_flight + self.predicted - self.counted
    }

    /// Checks `units` against the quota, the penalty period and the cap on open requests; returns the retry
    /// advice in µs when over quota. `counted` of the units are counted already; `draw` is random in 0..1.
    pub fn beyond(&mut self, p: &Plan, units: f64, counted: f64, now: Micros, draw: f64) -> Option<Micros> {
        let window = window(p);
        let count = self.count(now, window) - counted + units;
        if p.open > 0.0 {
            let (own, all) =
                (self.cur.own + self.prev.own + self.pending, self.cur.others + self.prev.others);
            let share =
                if self.known && own + all > 0.0 { own / (own + all) } else { 1.0 / self.gatekeepers };
            if self.open >= (p.open * share).floor().max(1.0) {
                return Some(window as Micros / 4);
            }
        }
        if p.rate <= 0.0 {
            return None;
        }
        let part = p.burst / self.gatekeepers;
        // Until a total is read, the others are assumed to use as much as this gatekeeper.
        if count > if self.known { p.burst } else { part.max(units) } {
            self.penalty_until = now + window as Micros;
        }
        if now >= self.penalty_until || self.level >= units {
            return None;
        }
        // Where our part of the burst is less than one request and there is no current total, the level is
        // rounded at random, so that the expected use equals the part.
        if part < units && draw * units < self.level && !(self.known && now <= self.read_at + TOTAL_MAX_AGE) {
            return None;
        }
        let gain = (p.rate - self.others_rate).max(p.rate / self.gatekeepers / 2.0);
        Some(((units - self.level) / gain * 1e6) as Micros)
    }
}

impl Gatekeeper {
    pub(super) fn quota_wait(&mut self, key: &Key, units: f64, counted: f64) -> Option<Micros> {
        let (draw, p) = (self.rng.f64(), &self.settings.plans[key.0]);
        let wait = self.customers.get_mut(key)?.beyond(p, units, counted, self.now, draw)?;
        Some(wait.min(self.settings.limits.max_retry_after))
    }

    /// Whether a new total could change the decision: by others' use since the last one, or if none was read.
    pub(super) fn needs_total(&self, key: &Key, units: f64) -> bool {
        let (Some(c), p) = (self.customers.get(key), self.plan(key)) else { return false };
        let spread = c.predicted * UNCERTAINTY.0 + UNCERTAINTY.1 * self.settings.max_request_units;
        let is_close = c.level + c.predicted >= units && c.level < units + spread;
        let open = if c.known { is_close && self.now > c.read_at + TOTAL_MAX_AGE } else { c.level < units };
        open && self.settings.counter && p.rate > 0.0 && !key.1 .0.is_empty()
    }

    /// Takes units from the quota's level, and records those that have yet to be pushed to the counter.
    pub(super) fn charge(&mut self, key: &Key, units: f64, to_push: f64) {
        let (now, p) = (self.now, &self.settings.plans[key.0]);
        let Some(c) = self.customers.get_mut(key) else { return };
        c.level -= units;
        if to_push != 0.0 {
            c.pending_since = if c.pending == 0.0 { now } else { c.pending_since };
            c.pending += to_push;
            if self.settings.counter && (p.rate > 0.0 || p.open > 0.0) && !key.1 .0.is_empty() {
                self.unpushed.insert(key.clone());
            }
        }
    }
}
