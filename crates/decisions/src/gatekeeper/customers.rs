//! The customer table: bounded, with expiry; use is counted in slots of each plan's own window.
use super::*;

/// Idle windows before an entry may expire: by then its counts and its penalty have lapsed twice over.
const IDLE_WINDOWS: f64 = 4.0;
/// The others are forecast to use at most the whole rate less this share of an equal part.
const MIN_OWN_SHARE: f64 = 0.5;

impl Gatekeeper {
    pub(super) fn plan(&self, key: &Key) -> &Plan {
        &self.settings.plans[key.0]
    }

    /// Whether a customer's plan is soft: its requests over quota earn more than they cost.
    pub(super) fn is_soft(&self, key: &Key) -> bool {
        self.plan(key).over_quota_value > self.plan(key).over_quota_cost
    }

    /// Finds or creates the customer's entry. When the table is full, new customers share one strict entry
    /// per plan, so that a scan of one-time names never evicts customers under a penalty.
    pub(super) fn customer_entry(&mut self, plan: usize, customer: CustomerId, gatekeepers: u32) -> Key {
        let mut key = (plan, customer);
        if !self.customers.contains_key(&key) && self.customers.len() >= TABLE_SIZE {
            key.1 = CustomerId(String::new());
        }
        let p = &self.settings.plans[plan];
        let n = f64::from(gatekeepers.max(1));
        // An earlier process may have used up this gatekeeper's part of the ceiling just before the start:
        // the bucket starts empty at process start, however late the customer first appears.
        let since = if self.handed_over { self.now } else { self.started };
        let new = || Customer::new(p, &key.1, n, self.now, since);
        let c = self.customers.entry(key.clone()).or_insert_with(new);
        c.gatekeepers = c.gatekeepers.max(n);
        c.seen = self.now;
        self.advance(&key);
        key
    }

    pub(super) fn advance(&mut self, key: &Key) {
        let (p, now, handed_over) = (&self.settings.plans[key.0], self.now, self.handed_over);
        self.customers.entry(key.clone()).and_modify(|c| c.advance(p, now, handed_over));
    }

    /// Removes idle customers, and drops units that no call could carry within their window.
    pub(super) fn expire(&mut self, span: Micros) {
        self.update_subset();
        self.learn_warm_rate(span);
        (self.pushed_units, self.dropped_units) = (self.pushed_units * 0.9, self.dropped_units * 0.9);
        self.customers.retain(|key, c| {
            let (p, window) = (&self.settings.plans[key.0], window(&self.settings.plans[key.0]));
            let past = c.pending != 0.0 && (self.now - c.pending_since) as f64 > window;
            self.dropped_units += if past { c.pending.max(0.0) } else { 0.0 };
            c.pending = if past { 0.0 } else { c.pending };
            let idle = ceilings::time_to_fill(p).max(IDLE_WINDOWS * window);
            let busy = c.open > 0.0 || c.open_calls > 0 || self.now <= c.penalty_until || c.pending != 0.0;
            let keep = busy || (self.now - c.seen) as f64 <= idle;
            if past || !keep {
                self.unpushed.remove(key);
            }
            keep
        });
    }
}

impl Customer {
    /// A new entry at one of `gatekeepers` gatekeepers; its ceiling's bucket fills from `since` on.
    pub fn new(p: &Plan, name: &CustomerId, gatekeepers: f64, now: Micros, since: Micros) -> Customer {
        Customer {
            gatekeepers,
            shift: hash(&name.0) % MAX_WINDOW as u64,
            level: p.burst / gatekeepers,
            updated_at: now,
            read_at: now,
            others_rate: p.rate * (1.0 - 1.0 / gatekeepers),
            ceiling_at: since,
            seen: now,
            ..Customer::default()
        }
    }

    /// Brings slots and token buckets up to `now`; with `handed_over` set, the ceiling gets no refill.
    pub fn advance(&mut self, p: &Plan, now: Micros, handed_over: bool) {
        let window = window(p);
        let slot = (now + self.shift) / window as u64;
        if slot != self.slot {
            self.prev = if slot == self.slot + 1 { self.cur } else { Slot::default() };
            // Units to be given back belong to the slot that they were charged in.
            (self.cur, self.slot, self.pending) = (Slot::default(), slot, self.pending.max(0.0));
        }
        let dt = secs(now - self.updated_at);
        let others = self.others_rate.min(p.rate * (1.0 - MIN_OWN_SHARE / self.gatekeepers));
        // Without a total for longer than a window, the forecast stays at one window's use.
        self.predicted = (self.predicted + others * dt).min(others * window / 1e6);
        self.level = (self.level + (p.rate - others) * dt).min(p.burst);
        self.updated_at = now;
        ceilings::fill(self, p, now, handed_over);
    }
}
