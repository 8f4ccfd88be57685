//! The shared counter: pushes of local units, the rate of calls, and totals that report the others' use.
use super::*;

/// Share of the remaining quota that local units may reach before they are pushed at once.
const PUSH_SHARE: f64 = 0.1;
/// Share of a window after which local units are pushed in any case.
const PUSH_AFTER: f64 = 0.25;
/// Calls in flight at most: bounds what an unresponsive counter can lose at once.
const MAX_CALLS: usize = 32;
/// Factors on the call interval after a failed or late call, after a good one while above the interval last
/// known to work, and after a quick one otherwise; its maximum is twice the latter, at least this many µs.
const PACING: (f64, f64, f64, f64) = (1.3, 0.7, 0.85, 1e5);
/// Shortest interval between calls, µs.
const MIN_CALL_INTERVAL: f64 = 500.0;
/// Shares of a call's timeout below which its answer is quick, and from which on it is late.
const CALL_LATENCY: (f64, f64) = (0.125, 0.5);
/// Calls accumulated while none is needed, and how many of them a call without a decision must leave.
const CALL_BURST: (f64, f64) = (2.0, 1.5);
/// Share of the burst assumed left at the start of a slot when the slot before was not read.
const SLOT_START_LEVEL: f64 = 0.5;
/// Upper bound of the scale factor on pushed units.
const MAX_SCALE: f64 = 4.0;

impl Gatekeeper {
    /// Whether the call rate allows a call now: the larger the decision, the fewer saved calls it needs.
    pub(super) fn may_call(&self, needed: f64) -> bool {
        let left = CALL_BURST.1 * (1.0 - needed / self.settings.max_request_units.max(1.0)).clamp(0.0, 1.0);
        self.calls.len() < MAX_CALLS && self.now as f64 >= self.next_call_at + left * self.call_interval
    }

    /// Pushes a customer's local units when they are due or a decision on `needed` units needs a total, if
    /// the call rate allows. Returns the scale factor on the pushed units, 0 without a call.
    pub(super) fn push(&mut self, key: &Key, needed: f64, out: &mut Vec<Action>) -> f64 {
        self.advance(key);
        let window = window(self.plan(key));
        let Some(c) = self.customers.get(key) else { return 0.0 };
        let waited = (self.now - c.pending_since) as f64 > PUSH_AFTER * window;
        let is_large = c.pending > PUSH_SHARE * c.level.max(0.0);
        let name = counter_name(key, c.slot);
        if !(needed > 0.0 || waited || is_large) || !self.may_call(needed) || self.calls.contains_key(&name) {
            return 0.0;
        }
        let Some(c) = self.customers.get_mut(key) else { return 0.0 };
        // Scaled up to include units that no call could carry, so that totals are right on average.
        let scale = (1.0 + self.dropped_units / self.pushed_units.max(1e-9)).clamp(1.0, MAX_SCALE);
        self.pushed_units += c.pending.max(0.0);
        let (slot, units, amount) = (c.slot, c.pending, c.pending * scale);
        (c.in_flight, c.pending, c.open_calls) = (c.in_flight + amount, 0.0, c.open_calls + 1);
        self.unpushed.remove(key);
        out.push(Action::Count { name: name.clone(), amount, keep: (2.0 * window) as Micros });
        self.calls.insert(name, CounterCall { key: key.clone(), slot, amount, units, sent: self.now });
        let saved = self.now as f64 - CALL_BURST.0 * self.call_interval;
        self.next_call_at = self.next_call_at.max(saved) + self.call_interval;
        scale
    }

    /// Adapts the call rate to what succeeds for all gatekeepers together: slower after each failure or late
    /// answer, quickly back to the rate that worked before an outage, faster while answers are quick.
    fn adapt_call_rate(&mut self, ok: bool, took: Micros) {
        let part = took as f64 / self.settings.counter_timeout.max(1) as f64;
        let good = ok && part < CALL_LATENCY.1;
        if !good {
            self.call_interval = (self.call_interval * PACING.0).min(PACING.3.max(2.0 * self.good_interval));
            if !self.last_call_failed {
                self.good_interval = self.call_interval;
            }
        } else if self.call_interval > self.good_interval {
            self.call_interval = (self.call_interval * PACING.1).max(self.good_interval);
        } else if part < CALL_LATENCY.0 {
            self.call_interval = (self.call_interval * PACING.2).max(MIN_CALL_INTERVAL);
            self.good_interval = self.call_interval;
        }
        self.last_call_failed = !good;
    }

    pub(super) fn on_counter(&mut self, name: CounterName, outcome: CounterOutcome, out: &mut Vec<Action>) {
        let Some(call) = self.calls.remove(&name) else { return };
        let (key, ok) = (call.key, matches!(outcome, CounterOutcome::Total(n) if n.is_finite()));
        self.adapt_call_rate(ok, self.now - call.sent);
        self.advance(&key);
        let count_floor = if self.settings.estimated_units { -self.settings.max_request_units } else { 0.0 };
        let Some(c) = self.customers.get_mut(&key) else { return };
        c.in_flight -= call.amount;
        c.open_calls = c.open_calls.saturating_sub(1);
        let age = c.slot.wrapping_sub(call.slot);
        let refused = outcome == CounterOutcome::Refused;
        let mut lost = if refused { call.units } else { 0.0 };
        if !refused && age <= 1 {
            // A call that timed out may have been applied. Assuming so never counts a unit twice; if it was
            // not applied, a later total below our own adds shows it, and the units are added again.
            let s = if age == 0 { &mut c.cur } else { &mut c.prev };
            s.own += call.amount;
            if let (CounterOutcome::Total(total), true) = (outcome, ok) {
                let others = total - s.own;
                if others < -1e-3 * (1.0 + s.own) {
                    // The counter restarted empty (or a late add was never applied): add our units again.
                    lost = -others;
                    s.own += others;
                }
                let new_units = (others - s.others).max(0.0);
                c.apply_total(&self.settings.plans[key.0], new_units, age == 0, count_floor, self.now);
            }
        }
        c.pending += lost;
        if c.pending != 0.0 {
            self.unpushed.insert(key.clone());
        }
        if c.open_calls == 0 {
            for id in std::mem::take(&mut c.waiting) {
                self.admit(&id, out);
            }
        }
        self.dispatch_queued(out);
    }
}

impl Customer {
    /// Applies a total: the others have used `new_units` more, in the present slot or the last one. The level
    /// is not lowered below `least`.
    pub fn apply_total(&mut self, p: &Plan, new_units: f64, now_slot: bool, least: f64, now: Micros) {
        let (window, mut dt) = (window(p), secs(now - self.read_at).max(1e-3));
        self.level = if self.known { self.level + self.predicted - new_units } else { p.burst };
        let s = if now_slot { &mut self.cur } else { &mut self.prev };
        s.others += new_units;
        if now_slot && !(s.read && self.known) {
            // First total of this slot: assumes the quota's bucket half full at its start.
            let span = secs((now + self.shift) % window as u64);
            let used = s.others + s.own - self.counted;
            self.level = self.level.min(SLOT_START_LEVEL * p.burst + p.rate * span - used);
            dt = dt.min(span).max(1e-3);
        }
        s.read = true;
        let weight = 1.0 - (-dt * 1e6 / window).exp();
        self.others_rate += (new_units / dt - self.others_rate) * weight;
        self.level = self.level.max(least).min(p.burst);
        (self.known, self.predicted, self.read_at) = (true, 0.0, now);
    }
}
