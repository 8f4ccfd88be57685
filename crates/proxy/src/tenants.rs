//! Tenants: a bounded, aging table of what each has used, by the decisions that every gatekeeper of the project makes.
//!
//! What the others let in comes as totals. A gatekeeper that does not hear them keeps to its even part of each quota,
//! and those that miss it leave that part to it: on both sides of a cut together the quota holds.
//!
//! Whoever begins to count anew (its process has started, it counts with another marker, a tenant is seen for the first
//! time) begins from what all let in in the last window, and never from a full store; what was let in beyond a quota stays
//! owed through every such change.

use crate::budget::GATEKEEPERS_UNTOLD;
use crate::Millis;
use granitelead_common::configuration::Tenant;
use granitelead_common::recent_use::{RecentUse, WindowUsage};
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
/// Part of a burst that is taken to be left at the begin of what is known of a tenant's use, and of what one that begins to
/// count may let in beyond what the window leaves.
const FRESH: f64 = 0.15;
/// The same where nothing is known of the last window: all have started again, and let in nothing meanwhile.
const FRESH_UNKNOWN: f64 = 0.4;
/// The same for one that counts already: what the rule leaves beyond it is for what is let in unseen.
const WINDOW_SPARE: f64 = 0.3;
/// How long those that are now missed let in requests without being heard, before they were missed, seconds.
const UNHEARD: f64 = 1.0;
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
    /// The plan before, and until when what was let in by it counts in the window.
    former: Option<(Plan, Millis)>,
    seen: Millis,
    /// What may be let in here until the others are heard of again, of what is left for all; and since when.
    room: f64,
    room_at: Millis,
    /// Let in here since the others were heard of, and when that was.
    unheard: u32,
    heard: Millis,
    /// Whether the others were not heard of yet since it began anew.
    is_fresh: bool,
    /// Let in here and by the others, of late.
    lately: (f64, f64),
    /// Let in, and refused, by this process.
    admitted: u64,
    refused: u64,
}

impl Entry {
    /// One that is seen for the first time, of whose store so much is left for all that share it.
    fn new(name: &str, whole: Plan, part: f64, gatekeepers: f64, level: f64, now: Millis) -> Entry {
        let mut entry = Entry {
            customer: Customer::default(),
            plan: whole,
            former: None,
            seen: now,
            room: 0.0,
            room_at: now,
            unheard: 0,
            heard: now,
            is_fresh: true,
            lately: (0.0, 0.0),
            admitted: 0,
            refused: 0,
        };
        entry.begin(name, part, gatekeepers, level, now);
        entry
    }

    /// Begins to count anew, with others than before: its part of the quota, and what is left of it.
    fn begin(&mut self, name: &str, part: f64, gatekeepers: f64, level: f64, now: Millis) {
        let (open, plan) = (self.customer.open, scaled(&self.plan, part));
        self.customer = Customer::new(&plan, &CustomerId(name.to_owned()), 1.0, micros(now), micros(now));
        self.customer.open = open;
        self.customer.drain_to(level);
        (self.lately, self.is_fresh, self.room_at) = ((0.0, 0.0), true, now);
        self.room = level.max(0.0) * self.share(gatekeepers);
    }

    /// Another configuration is in force.
    fn change_plan(&mut self, now: Millis, window: Millis, plan: Plan) {
        if (plan.rate, plan.burst) != (self.plan.rate, self.plan.burst) {
            self.former = Some((std::mem::replace(&mut self.plan, plan), now + window));
        }
    }

    /// The plan by which the last window is judged: a lower limit holds once a window has passed.
    fn window_plan(&self, now: Millis) -> Plan {
        match &self.former {
            Some((former, until)) if now < *until => Plan {
                rate: former.rate.max(self.plan.rate),
                burst: former.burst.max(self.plan.burst),
                ..self.plan.clone()
            },
            _ => self.plan.clone(),
        }
    }

    /// Takes units as used that nobody has counted here.
    fn spend(&mut self, units: f64) {
        let left = self.customer.left();
        self.customer.drain_to(left - units);
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
    /// What all that are heard let in of late, this gatekeeper included; out of touch it is not followed.
    recent: RecentUse,
    /// Since when it counts alone, where it does.
    alone_since: Millis,
    window: Millis,
    swept: Millis,
    rng: fastrand::Rng,
}

fn micros(now: Millis) -> u64 {
    now * 1_000
}

impl Tenants {
    /// None yet, and no word of what the others let in; quotas are judged by such a window, ms.
    pub fn new(seed: u64, window: Millis) -> Tenants {
        Tenants {
            table: HashMap::new(),
            gatekeepers: GATEKEEPERS_UNTOLD,
            missed: 0,
            in_touch: false,
            recent: RecentUse::new(window, 0),
            alone_since: 0,
            window,
            swept: 0,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// So many gatekeepers share each quota, of which so many are not heard by the others. Those that are missed now were
    /// not heard for a while before, and let in their part meanwhile.
    pub fn share(&mut self, now: Millis, gatekeepers: u32, missed: u32) {
        self.recent.grant(now, self.part());
        let more = missed.saturating_sub(self.missed);
        (self.gatekeepers, self.missed) = (gatekeepers.max(1), missed);
        if more > 0 && self.in_touch {
            let unheard = UNHEARD * f64::from(more) / f64::from(self.gatekeepers);
            self.table.values_mut().for_each(|entry| entry.spend(entry.plan.rate * unheard));
        }
    }

    /// The marker that counts from now on tells what all let in of late.
    pub fn begin_from(&mut self, now: Millis, recent: &WindowUsage) {
        self.recent.restore(now, recent);
    }

    /// Whether what the others let in is known.
    pub fn touch(&mut self, now: Millis, in_touch: bool) {
        if in_touch != self.in_touch {
            self.turn(now, in_touch);
        }
        if now > self.swept + IDLE / 16 {
            self.swept = now;
            self.recent.remove_idle(now);
            self.table.retain(|_, entry| entry.customer.open > 0.0 || now < entry.seen + IDLE);
        }
    }

    /// Counts with the others from now on, or alone: counts of before are of another kind, and each entry begins anew. What
    /// was let in beyond the quota stays owed.
    fn turn(&mut self, now: Millis, in_touch: bool) {
        let before = self.part();
        self.recent.grant(now, before);
        self.in_touch = in_touch;
        if !in_touch {
            self.alone_since = now;
        }
        let (n, part) = (self.sharing(), self.part());
        let is_known = in_touch && self.recent.is_complete(now);
        let names: Vec<String> = self.table.keys().cloned().collect();
        for name in names {
            let level = self.beginning(now, &name);
            let Some(entry) = self.table.get_mut(&name) else { continue };
            entry.customer.advance(&scaled(&entry.plan, before), micros(now), false);
            let carried = entry.customer.left() * part / before;
            // Where a whole window is known it holds what is owed as well.
            let level = if is_known { level } else { level.min(carried) };
            entry.begin(&name, part, n, level, now);
        }
    }

    /// What is left of a tenant's store for those that count together here, where nothing is known but what they let in
    /// in the last window: whoever refuses from then on keeps to the quota in each window.
    fn beginning(&self, now: Millis, tenant: &str) -> f64 {
        let Some(entry) = self.table.get(tenant) else { return 0.0 };
        self.level_at_begin(now, tenant, &scaled(&entry.window_plan(now), self.part()))
    }

    /// The same, and no more than a store of such a plan would have left after the window.
    fn level_at_begin(&self, now: Millis, tenant: &str, plan: &Plan) -> f64 {
        let span = if self.in_touch { self.recent.span(now) } else { now.saturating_sub(self.alone_since) };
        let known = (span as f64 / self.window as f64).min(1.0);
        let spare = FRESH * known + FRESH_UNKNOWN * (1.0 - known);
        let level = self.level_of(now, tenant, plan, spare);
        if !self.in_touch {
            return level;
        }
        let rate = plan.rate / self.part() / 1e3;
        level.min(self.recent.remaining(now, tenant, spare * plan.burst, STORE * plan.burst, rate))
    }

    fn level_of(&self, now: Millis, tenant: &str, plan: &Plan, spare: f64) -> f64 {
        let (span, used) = if self.in_touch {
            (self.recent.granted(now, self.part()) / self.part(), self.recent.used(now, tenant) as f64)
        } else {
            (now.saturating_sub(self.alone_since).min(self.window) as f64, 0.0)
        };
        (spare * plan.burst + plan.rate * span / 1e3 - used).min(STORE * plan.burst)
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
            let level = self.level_at_begin(now, &tenant.name, &plan);
            let entry = Entry::new(&tenant.name, whole.clone(), part, n, level, now);
            self.table.insert(tenant.name.clone(), entry);
        }
        let entry = self.table.get_mut(&tenant.name)?;
        entry.change_plan(now, self.window, whole);
        entry.seen = now;
        let judged = scaled(&entry.window_plan(now), part);
        let most = self.level_of(now, &tenant.name, &judged, WINDOW_SPARE);
        let entry = self.table.get_mut(&tenant.name)?;
        entry.customer.advance(&plan, at, false);
        entry.customer.drain_to(most.min(STORE * plan.burst));
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
            if self.in_touch {
                self.recent.add(now, &tenant.name, 1);
            }
        }
        wait.map(|wait| (wait / 1_000).clamp(1, ADVICE))
    }

    /// What the others have let in since the last word; what is not named is as it was.
    pub fn hear(&mut self, now: Millis, news: &[(String, u64)]) {
        let (n, part, at) = (self.sharing(), self.part(), micros(now));
        self.recent.grant(now, part);
        news.iter().for_each(|(tenant, others)| self.recent.add(now, tenant, *others));
        let news: HashMap<&str, u64> = news.iter().map(|(name, n)| (name.as_str(), *n)).collect();
        for (name, entry) in &mut self.table {
            let others = news.get(name.as_str()).copied().unwrap_or(0) as f64;
            let plan = scaled(&entry.plan, part);
            entry.customer.advance(&plan, at, false);
            let left = entry.customer.left();
            entry.customer.hear(&plan, others, true, -DEEPEST * plan.burst, at);
            if std::mem::take(&mut entry.is_fresh) {
                // The first word would else begin with a store of its own.
                entry.customer.drain_to(left - others);
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
