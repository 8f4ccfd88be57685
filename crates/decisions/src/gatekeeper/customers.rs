//! Customers: a bounded, aging table of what each has used, by slots of its own window.
use super::*;

/// Idle windows before an entry may age out: by then its counts and box have lapsed twice over.
const IDLE_WINDOWS: f64 = 4.0;
/// Largest part of a rate granted to the others by habit is 1 less this share of an even part.
const OWN_LEAST: f64 = 0.5;

impl Gatekeeper {
    pub(super) fn plan(&self, key: &Key) -> &Plan {
        &self.set.plans[key.0]
    }

    /// Whether a customer's plan earns more beyond its quota than that costs.
    pub(super) fn is_soft(&self, key: &Key) -> bool {
        self.plan(key).over_earns > self.plan(key).over_cost
    }

    /// Finds or makes the customer's entry. A full table gives strangers one strict entry for each plan, so
    /// that a scan of one-time names never evicts those who are boxed.
    pub(super) fn enter(&mut self, plan: usize, customer: CustomerId, gatekeepers: u32) -> Key {
        let mut key = (plan, customer);
        if !self.customers.contains_key(&key) && self.customers.len() >= TABLE_MAX {
            key.1 = CustomerId(String::new());
        }
        let p = &self.set.plans[plan];
        let n = f64::from(gatekeepers.max(1));
        // Whatever this gatekeeper's former life drew, it cannot have drawn since it started: the local
        // share is taken as spent at the start, however late the customer shows up.
        let since = if self.retired { self.now } else { self.started };
        let new = || Customer::new(p, &key.1, n, self.now, since);
        let c = self.customers.entry(key.clone()).or_insert_with(new);
        c.gatekeepers = c.gatekeepers.max(n);
        c.seen = self.now;
        self.advance(&key);
        key
    }

    /// Brings a customer's slots and stores to the present.
    pub(super) fn advance(&mut self, key: &Key) {
        let (p, now, retired) = (&self.set.plans[key.0], self.now, self.retired);
        self.customers.entry(key.clone()).and_modify(|c| c.advance(p, now, retired));
    }

    /// Forgets customers that are idle, and units that no call could carry within their window.
    pub(super) fn age_out(&mut self, span: Micros) {
        self.find_near();
        self.learn_carried(span);
        (self.counted, self.uncounted) = (self.counted * 0.9, self.uncounted * 0.9);
        self.customers.retain(|key, c| {
            let (p, window) = (&self.set.plans[key.0], window(&self.set.plans[key.0]));
            let past = c.pending != 0.0 && (self.now - c.pending_since) as f64 > window;
            self.uncounted += if past { c.pending.max(0.0) } else { 0.0 };
            c.pending = if past { 0.0 } else { c.pending };
            let idle = ceilings::time_to_fill(p).max(IDLE_WINDOWS * window);
            let busy = c.open > 0.0 || c.calls_out > 0 || self.now <= c.boxed_until || c.pending != 0.0;
            let keep = busy || (self.now - c.seen) as f64 <= idle;
            if past || !keep {
                self.unpushed.remove(key);
            }
            keep
        });
    }
}

impl Customer {
    /// One that is seen for the first time, at one of so many gatekeepers; its ceiling fills from `since` on.
    pub fn new(p: &Plan, name: &CustomerId, gatekeepers: f64, now: Micros, since: Micros) -> Customer {
        Customer {
            gatekeepers,
            shift: hash(&name.0) % WINDOW_MAX as u64,
            level: p.burst / gatekeepers,
            at: now,
            read_at: now,
            others_rate: p.rate * (1.0 - 1.0 / gatekeepers),
            ceiling_at: since,
            seen: now,
            ..Customer::default()
        }
    }

    /// Brings slots and stores to the present; once `retired`, nothing comes to its ceiling's.
    pub fn advance(&mut self, p: &Plan, now: Micros, retired: bool) {
        let window = window(p);
        let slot = (now + self.shift) / window as u64;
        if slot != self.slot {
            self.prev = if slot == self.slot + 1 { self.cur } else { Slot::default() };
            // Units to give back belong to the slot that they were taken from.
            (self.cur, self.slot, self.pending) = (Slot::default(), slot, self.pending.max(0.0));
        }
        let dt = secs(now - self.at);
        let others = self.others_rate.min(p.rate * (1.0 - OWN_LEAST / self.gatekeepers));
        // Past a window of silence nothing more is known than a window's use.
        self.predicted = (self.predicted + others * dt).min(others * window / 1e6);
        self.level = (self.level + (p.rate - others) * dt).min(p.burst);
        self.at = now;
        ceilings::fill(self, p, now, retired);
    }
}
