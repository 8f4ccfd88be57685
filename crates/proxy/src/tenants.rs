//! Tenants: a bounded, aging table of what each has used, by the decisions that every gatekeeper of the project makes.
//!
//! What the others let in comes as totals. A gatekeeper that does not hear them keeps to its even part of each quota,
//! and those that miss it leave that part to it: on both sides of a cut together the quota holds.

use crate::Millis;
use granitelead_common::configuration::Tenant;
use granitelead_decisions::{Customer, CustomerId, Plan};
use std::collections::HashMap;

/// Tenants in the table; the write-up's 100k.
const TABLE_MAX: usize = 100_000;
/// An entry that was idle for so long is forgotten: by then its counts and box have lapsed.
const IDLE: Millis = 240_000;
/// Requests of a tenant that may be open at once: its requests of so many seconds, and never fewer than the second.
const OPEN: (f64, f64) = (3.0, 20.0);
/// How far a store may be overdrawn by what was let in unseen, in bursts: it is made up for before more is let in.
const DEEPEST: f64 = 3.0;
/// Part of a burst that the store holds: the rest is what may be let in unseen, as words of others are late, while a
/// tenant begins to ask too much, a cut begins and a home is lost, all within the rule's window.
const STORE: f64 = 0.6;
/// Part of the store that is taken to be left where what was let in just before is not known.
const FRESH: f64 = 0.15;
/// Least burst, in seconds of the rate, and in requests.
const BURST: (f64, f64) = (0.2, 1.0);
/// Time, ms, after which what was let in counts a third in the parts of all.
const LATELY: f64 = 2_000.0;
/// When there is room here again, as a rule: once the others are heard of.
const ROOM: Millis = 100;
/// Longest advice on when to come back.
const ADVICE: Millis = 2_000;

struct Entry {
    customer: Customer,
    plan: Plan,
    seen: Millis,
    /// What may be let in here until the others are heard of again, of what is left for all; and since when.
    room: f64,
    room_at: Millis,
    /// Let in here since the others were heard of, and when that was.
    unheard: u32,
    heard: Millis,
    /// Whether the others were not heard of yet since it began anew.
    fresh: bool,
    /// Let in here and by the others, of late.
    lately: (f64, f64),
    /// Let in, and refused, by this process.
    admitted: u64,
    refused: u64,
}

impl Entry {
    fn new(customer: Customer, plan: Plan, now: Millis) -> Entry {
        let room = customer.left();
        Entry {
            customer,
            plan,
            seen: now,
            room,
            room_at: now,
            unheard: 0,
            heard: now,
            fresh: false,
            lately: (0.0, 0.0),
            admitted: 0,
            refused: 0,
        }
    }

    fn standing(&self) -> Standing {
        let (admitted, refused) = (self.admitted, self.refused);
        Standing { admitted, refused, level: self.customer.left(), room: self.room }
    }

    /// The part of the store that may be taken here: half by what was let in here of all, half even, so that whoever
    /// had much does not keep the others from having any.
    fn share(&self, gatekeepers: f64) -> f64 {
        let (mine, all) = (self.lately.0, self.lately.0 + self.lately.1);
        let even = 1.0 / gatekeepers;
        (even + if all > 0.0 { mine / all } else { even }) / 2.0
    }

    /// Whether there is room here for one more. All see the same store: each may take its part of it until it hears
    /// what the others took, and one request in any case.
    fn has_room(&mut self, now: Millis, plan: &Plan, gatekeepers: f64) -> bool {
        let share = self.share(gatekeepers);
        let gain = plan.rate * share * (now - self.room_at) as f64 / 1e3;
        self.room = (self.room + gain).min(plan.burst * share);
        self.room_at = now;
        self.room >= 1.0 || self.unheard == 0
    }
}

/// What decides on a tenant's next request here, for the figures and for tests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Standing {
    /// Requests let in by this process.
    pub admitted: u64,
    /// Requests refused by this process.
    pub refused: u64,
    /// Requests that are left for all gatekeepers of the pool, as far as known here.
    pub level: f64,
    /// Requests that may be let in here until the others are heard of again.
    pub room: f64,
}

/// How a gatekeeper takes part in all quotas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Membership {
    /// Gatekeepers that share each quota.
    pub gatekeepers: u32,
    /// How many of them are not heard.
    pub missed: u32,
    /// Whether what the others let in is known.
    pub in_touch: bool,
}

/// All tenants as one gatekeeper counts them.
pub struct Tenants {
    table: HashMap<String, Entry>,
    gatekeepers: u32,
    missed: u32,
    in_touch: bool,
    swept: Millis,
    rng: fastrand::Rng,
}

fn micros(now: Millis) -> u64 {
    now * 1_000
}

impl Tenants {
    /// None yet, and no word of what the others let in.
    pub fn new(seed: u64) -> Tenants {
        let rng = fastrand::Rng::with_seed(seed);
        Tenants { table: HashMap::new(), gatekeepers: 1, missed: 0, in_touch: false, swept: 0, rng }
    }

    /// So many gatekeepers share each quota, of which so many are not heard by the others.
    pub fn share(&mut self, gatekeepers: u32, missed: u32) {
        (self.gatekeepers, self.missed) = (gatekeepers.max(1), missed);
    }

    /// Whether what the others let in is known.
    pub fn touch(&mut self, now: Millis, in_touch: bool) {
        if in_touch != self.in_touch {
            self.in_touch = in_touch;
            // Counts of before are of another kind: each entry begins anew, with its part only.
            let (n, part) = (self.sharing(), self.part());
            for (name, entry) in &mut self.table {
                let plan = scaled(&entry.plan, part);
                let open = entry.customer.open;
                entry.customer = Customer::new(&plan, &CustomerId(name.clone()), n, micros(now), micros(now));
                entry.customer.open = open;
                // What was let in just before is not known any more: most of the store is taken as spent.
                entry.customer.drain_to(plan.burst * FRESH);
                (entry.room, entry.fresh) = (entry.customer.left(), true);
            }
        }
        if now > self.swept + IDLE / 16 {
            self.swept = now;
            self.table.retain(|_, entry| entry.customer.open > 0.0 || now < entry.seen + IDLE);
        }
    }

    /// The part of each quota that those share who hear each other; alone, the even part of one.
    fn part(&self) -> f64 {
        let all = f64::from(self.gatekeepers);
        if self.in_touch {
            (all - f64::from(self.missed)).max(1.0) / all
        } else {
            1.0 / all
        }
    }

    fn sharing(&self) -> f64 {
        if self.in_touch {
            f64::from(self.gatekeepers.saturating_sub(self.missed).max(1))
        } else {
            1.0
        }
    }

    /// Whether a request of a tenant is beyond what it may ask; if not, it is counted. Gives when to come back, ms.
    pub fn beyond(&mut self, now: Millis, tenant: &Tenant) -> Option<Millis> {
        if tenant.rate <= 0.0 {
            return None;
        }
        let (n, part, at) = (self.sharing(), self.part(), micros(now));
        let whole = Plan {
            rate: tenant.rate,
            burst: tenant.burst.max(tenant.rate * BURST.0).max(BURST.1),
            open: (tenant.rate * OPEN.0).max(OPEN.1),
            ..Plan::default()
        };
        let plan = scaled(&whole, part);
        if !self.table.contains_key(&tenant.name) {
            if self.table.len() >= TABLE_MAX {
                return Some(ADVICE);
            }
            let customer = Customer::new(&plan, &CustomerId(tenant.name.clone()), n, at, at);
            self.table.insert(tenant.name.clone(), Entry::new(customer, whole.clone(), now));
        }
        let entry = self.table.get_mut(&tenant.name)?;
        (entry.plan, entry.seen) = (whole, now);
        entry.customer.advance(&plan, at, false);
        entry.customer.drain_to(plan.burst * STORE);
        let mut wait = entry.customer.beyond(&plan, 1.0, 0.0, at, self.rng.f64());
        if wait.is_none() && !entry.has_room(now, &plan, n) {
            wait = Some(ROOM * 1_000);
        }
        if wait.is_some() {
            entry.refused += 1;
        } else {
            entry.admitted += 1;
            entry.customer.take(1.0);
            entry.room -= 1.0;
            entry.unheard += 1;
            entry.lately.0 += 1.0;
        }
        wait.map(|wait| (wait / 1_000).clamp(1, ADVICE))
    }

    /// What the others have let in since the last word; what is not named is as it was.
    pub fn hear(&mut self, now: Millis, news: &[(String, u64)]) {
        let (n, part, at) = (self.sharing(), self.part(), micros(now));
        let news: HashMap<&str, u64> = news.iter().map(|(name, n)| (name.as_str(), *n)).collect();
        for (name, entry) in &mut self.table {
            let others = news.get(name.as_str()).copied().unwrap_or(0) as f64;
            let plan = scaled(&entry.plan, part);
            entry.customer.advance(&plan, at, false);
            entry.customer.hear(&plan, others, true, -DEEPEST * plan.burst, at);
            if std::mem::take(&mut entry.fresh) {
                entry.customer.drain_to(plan.burst * FRESH);
            }
            let keeps = (-(now.saturating_sub(entry.heard) as f64) / LATELY).exp();
            entry.lately = (entry.lately.0 * keeps, entry.lately.1 * keeps + others);
            entry.room = entry.customer.left().max(0.0) * entry.share(n);
            (entry.room_at, entry.heard, entry.unheard) = (now, now, 0);
        }
    }

    /// How it takes part in all quotas.
    pub fn membership(&self) -> Membership {
        Membership { gatekeepers: self.gatekeepers, missed: self.missed, in_touch: self.in_touch }
    }

    /// What decides on a tenant's next request, if it is in the table.
    pub fn standing(&self, tenant: &str) -> Option<Standing> {
        self.table.get(tenant).map(Entry::standing)
    }

    /// The tenants with the most requests here, so many at the most, and what decides on their next ones.
    pub fn busiest(&self, most: usize) -> Vec<(&str, Standing)> {
        let mut all: Vec<_> = self.table.iter().map(|(name, e)| (name.as_str(), e.standing())).collect();
        all.sort_by_key(|(name, s)| (std::cmp::Reverse(s.admitted + s.refused), *name));
        all.truncate(most);
        all
    }

    /// A request of a tenant begins, or ends.
    pub fn open(&mut self, tenant: &str, by: f64) {
        if let Some(entry) = self.table.get_mut(tenant) {
            entry.customer.open = (entry.customer.open + by).max(0.0);
        }
    }
}

/// A part of a plan.
fn scaled(plan: &Plan, part: f64) -> Plan {
    Plan { rate: plan.rate * part, burst: plan.burst * part, ..plan.clone() }
}
