//! Quotas: units against the burst of a window, the penalty box, and the cap on open requests.
use super::*;

/// How far the others' use may be off its forecast, as a part of it and in largest requests.
const UNSURE: (f64, f64) = (2.0, 0.5);
/// Age up to which a total counts as fresh, µs: about one call.
const FRESH: Micros = 5_000;

impl Customer {
    /// Units of the last window, all gatekeepers together, as far as known.
    pub(super) fn count(&self, now: Micros, window: f64) -> f64 {
        let left = 1.0 - ((now + self.shift) % window as u64) as f64 / window;
        let last = (self.prev.mine + self.prev.others) * left;
        self.cur.mine + self.cur.others + last + self.pending + self.flying + self.predicted - self.prepaid
    }

    /// The design's ordinary path: count against the quota, the box, the open cap. `Some`: retry advice, µs.
    /// Of `units`, `prepaid` are in the count already; `dice` is drawn from 0 to 1.
    pub fn beyond(&mut self, p: &Plan, units: f64, prepaid: f64, now: Micros, dice: f64) -> Option<Micros> {
        let window = window(p);
        let count = self.count(now, window) - prepaid + units;
        if p.open > 0.0 {
            let (mine, all) =
                (self.cur.mine + self.prev.mine + self.pending, self.cur.others + self.prev.others);
            let share =
                if self.known && mine + all > 0.0 { mine / (mine + all) } else { 1.0 / self.gatekeepers };
            if self.open >= (p.open * share).floor().max(1.0) {
                return Some(window as Micros / 4);
            }
        }
        if p.rate <= 0.0 {
            return None;
        }
        let part = p.burst / self.gatekeepers;
        // Until a total is read the others are taken to use as much as this gatekeeper.
        if count > if self.known { p.burst } else { part.max(units) } {
            self.boxed_until = now + window as Micros;
        }
        if now >= self.boxed_until || self.level >= units {
            return None;
        }
        // Where a part of the burst is less than one request, and no total could be had, what has gathered is
        // rounded at random, so that the expected use stays the share.
        if part < units && dice * units < self.level && !(self.known && now <= self.read_at + FRESH) {
            return None;
        }
        let gain = (p.rate - self.others_rate).max(p.rate / self.gatekeepers / 2.0);
        Some(((units - self.level) / gain * 1e6) as Micros)
    }
}

impl Gatekeeper {
    pub(super) fn beyond_quota(&mut self, key: &Key, units: f64, prepaid: f64) -> Option<Micros> {
        let (dice, p) = (self.rng.f64(), &self.set.plans[key.0]);
        let wait = self.customers.get_mut(key)?.beyond(p, units, prepaid, self.now, dice)?;
        Some(wait.min(self.set.limits.max_retry_after))
    }

    /// Whether a total could turn the decision: the others' use since the last one, or none read yet.
    pub(super) fn unsure(&self, key: &Key, units: f64) -> bool {
        let (Some(c), p) = (self.customers.get(key), self.plan(key)) else { return false };
        let spread = c.predicted * UNSURE.0 + UNSURE.1 * self.set.most_units;
        let near = c.level + c.predicted >= units && c.level < units + spread;
        let open = if c.known { near && self.now > c.read_at + FRESH } else { c.level < units };
        open && self.set.counter && p.rate > 0.0 && !key.1 .0.is_empty()
    }

    /// Takes units from the store, and notes those that the counter has yet to hear of.
    pub(super) fn charge(&mut self, key: &Key, units: f64, unheard: f64) {
        let (now, p) = (self.now, &self.set.plans[key.0]);
        let Some(c) = self.customers.get_mut(key) else { return };
        c.level -= units;
        if unheard != 0.0 {
            c.pending_since = if c.pending == 0.0 { now } else { c.pending_since };
            c.pending += unheard;
            if self.set.counter && (p.rate > 0.0 || p.open > 0.0) && !key.1 .0.is_empty() {
                self.unpushed.insert(key.clone());
            }
        }
    }
}
