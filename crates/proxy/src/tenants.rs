//! Per-tenant quotas: a bounded, aging table of each tenant's usage, based on the decision module that all
//! gatekeepers share.
//!
//! The requests admitted by the other gatekeepers arrive as totals. A gatekeeper that doesn't receive them
//! limits itself to an even share of each quota, and the gatekeepers that can't reach it leave that share
//! unused, so that the quota holds across both sides of a network partition.
//!
//! A gatekeeper that starts counting from scratch (its process has started, its attached marker has changed, a
//! tenant is seen for the first time) starts from what all gatekeepers admitted in the last window, never
//! from a full bucket. Usage in excess of a quota remains a debt across each such change.

use crate::budget::GATEKEEPERS_ASSUMED;
use crate::Millis;
use granitelead_common::configuration::Tenant;
use granitelead_common::recent_use::{RecentUse, WindowUsage};
use granitelead_decisions::{Customer, CustomerId, Plan};
use std::collections::HashMap;

/// Maximum number of tenants in the table; the capacity target is 100,000.
const TABLE_MAX: usize = 100_000;
/// Idle time after which an entry is removed: its counters have decayed by then.
const IDLE_TIMEOUT: Millis = 240_000;
/// Limit on a tenant's open requests: seconds of its rate, and the minimum number of requests.
const OPEN_REQUESTS_MAX: (f64, f64) = (3.0, 20.0);
/// Maximum debt of a bucket, in bursts, from requests that other gatekeepers admitted before they were
/// reported here. The debt is repaid before more requests are admitted.
const DEBT_MAX: f64 = 3.0;
/// Capacity of the bucket as a fraction of the burst. The remainder covers requests that are admitted before
/// they are reported, because reports are delayed, while a tenant starts to exceed its quota, a partition
/// begins and an attached marker is lost, all within one quota window.
const BUCKET_FRACTION: f64 = 0.6;
/// Fraction of the burst assumed to remain at the start of the known usage history, and the fraction that a
/// gatekeeper which starts counting may admit in excess of what the window leaves.
const INITIAL_FRACTION: f64 = 0.15;
/// The same if nothing is known of the last window: all gatekeepers have restarted, and admitted nothing
/// meanwhile.
const INITIAL_FRACTION_UNKNOWN: f64 = 0.4;
/// The same for a gatekeeper that is already counting: the rest of the rule's tolerance covers requests that
/// are admitted before they are reported.
const WINDOW_SPARE: f64 = 0.3;
/// How long gatekeepers admit requests without being reported before they are known to be missing,
/// seconds.
const UNREPORTED_S: f64 = 1.0;
/// Minimum burst: seconds of the rate, and requests.
const BURST_MIN: (f64, f64) = (0.2, 1.0);
/// Slots of the requests that may not be reported yet, and the length of one, ms. Together they span the time
/// until the others know of a request: its report, the exchange between markers, and the next totals.
const UNREPORTED_SLOTS: (usize, Millis) = (5, 50);
/// How much more than its share of a bucket a gatekeeper may take before the others know of it, as most often some
/// of them take less. If all do, they take one burst together.
const SHARE_OVERCOMMIT: f64 = 1.0 / BUCKET_FRACTION;
/// Time constant, ms, of the decaying counts that determine each gatekeeper's share.
const DECAY_MS: f64 = 2_000.0;
/// Retry delay if the allowance is used up: it is renewed with the next report of the others' usage.
const ALLOWANCE_WAIT: Millis = 100;
/// Maximum retry delay.
const RETRY_DELAY_MAX: Millis = 2_000;

/// Requests admitted here that the others may not know of yet. What they have admitted meanwhile is unknown
/// here for as long.
#[derive(Default)]
struct Unreported {
    newest: Millis,
    slots: [u32; UNREPORTED_SLOTS.0],
}

impl Unreported {
    /// Advances to `now`. Returns the number of requests that are reported by now.
    fn advance(&mut self, now: Millis) -> u32 {
        let (slot, length) = (now / UNREPORTED_SLOTS.1, self.slots.len());
        let passed = slot.saturating_sub(self.newest).min(length as Millis) as usize;
        self.newest = self.newest.max(slot);
        let reported = self.slots[length - passed..].iter().sum();
        self.slots.rotate_right(passed);
        self.slots[..passed].fill(0);
        reported
    }

    /// Counts a request admitted in the newest slot.
    fn count(&mut self) {
        self.slots[0] = self.slots[0].saturating_add(1);
    }

    fn sum(&self) -> f64 {
        f64::from(self.slots.iter().sum::<u32>())
    }
}

struct Entry {
    customer: Customer,
    plan: Plan,
    /// The previous plan, and until when requests admitted under it count in the window.
    previous_plan: Option<(Plan, Millis)>,
    last_seen: Millis,
    /// Requests that may be admitted here until the next update of the others' usage, out of what remains for
    /// all; and when this was computed.
    allowance: f64,
    allowance_at: Millis,
    /// Requests admitted here since the last update of the others' usage, and when that update came.
    admitted_since_update: u32,
    updated_at: Millis,
    /// Whether the first update of the others' usage since the last reset is still to come.
    awaits_first_update: bool,
    /// Requests admitted here and by the others, as far as they are reported, exponentially decayed.
    recent_requests: (f64, f64),
    unreported: Unreported,
    /// Requests that this process admitted and refused.
    admitted: u64,
    refused: u64,
}

impl Entry {
    /// Creates the entry of a tenant that is seen for the first time; `level` is what remains for all who
    /// share the bucket.
    fn new(
        name: &str,
        full_plan: Plan,
        part: f64,
        gatekeepers: f64,
        level: f64,
        now: Millis,
        window: Millis,
    ) -> Entry {
        let mut entry = Entry {
            customer: Customer::default(),
            plan: full_plan,
            previous_plan: None,
            last_seen: now,
            allowance: 0.0,
            allowance_at: now,
            admitted_since_update: 0,
            updated_at: now,
            awaits_first_update: true,
            recent_requests: (0.0, 0.0),
            unreported: Unreported::default(),
            admitted: 0,
            refused: 0,
        };
        entry.reset(name, part, gatekeepers, level, now, window);
        entry
    }

    /// Resets the counters to another share of the quota and to what remains of it. The counters don't include
    /// what was used in the last window, so the level is enforced for `window` ms, unless the bucket is full.
    fn reset(&mut self, name: &str, part: f64, gatekeepers: f64, level: f64, now: Millis, window: Millis) {
        let (open, plan) = (self.customer.open, scaled(&self.plan, part));
        self.customer = Customer::new(&plan, &CustomerId(name.to_owned()), 1.0, micros(now), micros(now));
        self.customer.open = open;
        self.customer.cap_level(level);
        if level < BUCKET_FRACTION * plan.burst {
            self.customer.enforce_level(micros(now + window));
        }
        (self.recent_requests, self.awaits_first_update, self.allowance_at) = ((0.0, 0.0), true, now);
        self.unreported.advance(now);
        self.renew_allowance(gatekeepers);
    }

    /// Computes the allowance from what remains. Of what remained before the unreported requests this
    /// gatekeeper may take its share and a little more; the others take theirs at the same time, unseen.
    fn renew_allowance(&mut self, gatekeepers: f64) {
        let unreported = self.unreported.sum();
        let before = (self.customer.remaining() + unreported).max(0.0);
        let share = (self.share(gatekeepers) * SHARE_OVERCOMMIT).min(1.0);
        self.allowance = (before * share - unreported).max(0.0);
    }

    /// Takes in the limits of another configuration.
    fn change_plan(&mut self, now: Millis, window: Millis, plan: Plan) {
        if (plan.rate, plan.burst) != (self.plan.rate, self.plan.burst) {
            self.previous_plan = Some((std::mem::replace(&mut self.plan, plan), now + window));
        }
    }

    /// The plan that applies to the last window: a lower limit takes full effect once a window has passed.
    fn window_plan(&self, now: Millis) -> Plan {
        match &self.previous_plan {
            Some((previous, until)) if now < *until => Plan {
                rate: previous.rate.max(self.plan.rate),
                burst: previous.burst.max(self.plan.burst),
                ..self.plan.clone()
            },
            _ => self.plan.clone(),
        }
    }

    /// Deducts units that no counter here includes.
    fn deduct(&mut self, units: f64) {
        let left = self.customer.remaining();
        self.customer.cap_level(left - units);
    }

    fn status(&self) -> TenantStatus {
        let (admitted, refused) = (self.admitted, self.refused);
        TenantStatus { admitted, refused, level: self.customer.remaining(), allowance: self.allowance }
    }

    /// The share of the bucket that may be taken here: the mean of this gatekeeper's share of recent requests
    /// and an even share, so that gatekeepers with much traffic don't starve the others.
    fn share(&self, gatekeepers: f64) -> f64 {
        let (mine, all) = (self.recent_requests.0, self.recent_requests.0 + self.recent_requests.1);
        let even = 1.0 / gatekeepers;
        (even + if all > 0.0 { mine / all } else { even }) / 2.0
    }

    /// Whether the allowance permits one more request. All gatekeepers see the same bucket: each may take its
    /// share until it receives the others' usage, and one request in any case.
    fn has_allowance(&mut self, now: Millis, plan: &Plan, gatekeepers: f64) -> bool {
        let share = self.share(gatekeepers);
        let gain = plan.rate * share * (now - self.allowance_at) as f64 / 1e3;
        self.allowance = (self.allowance + gain).min(plan.burst * share);
        self.allowance_at = now;
        self.allowance >= 1.0 || self.admitted_since_update == 0
    }
}

/// The state that decides on a tenant's next request here, for metrics and tests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantStatus {
    /// Requests admitted by this process.
    pub admitted: u64,
    /// Requests refused by this process.
    pub refused: u64,
    /// Requests that remain for all gatekeepers in sync, as far as known here.
    pub level: f64,
    /// Requests that may be admitted here until the next update of the others' usage.
    pub allowance: f64,
}

/// How a gatekeeper takes part in the shared quotas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Membership {
    /// Gatekeepers that share each quota.
    pub gatekeepers: u32,
    /// How many of them are missing.
    pub missing: u32,
    /// Whether the usage of the other gatekeepers is known.
    pub in_sync: bool,
}

/// The tenants as counted by one gatekeeper.
pub struct Tenants {
    table: HashMap<String, Entry>,
    gatekeepers: u32,
    missing: u32,
    in_sync: bool,
    /// Recent usage by all reachable gatekeepers including this one; not maintained while out of sync.
    recent: RecentUse,
    /// Since when this gatekeeper has been counting alone, if it does.
    alone_since: Millis,
    window: Millis,
    swept_at: Millis,
    rng: fastrand::Rng,
}

fn micros(now: Millis) -> u64 {
    now * 1_000
}

impl Tenants {
    /// Creates an empty table that is out of sync; quotas apply to a sliding window of `window` ms.
    pub fn new(seed: u64, window: Millis) -> Tenants {
        Tenants {
            table: HashMap::new(),
            gatekeepers: GATEKEEPERS_ASSUMED,
            missing: 0,
            in_sync: false,
            recent: RecentUse::new(window, 0),
            alone_since: 0,
            window,
            swept_at: 0,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Sets how many gatekeepers share each quota and how many of them are missing. Those that have just
    /// become missing admitted their share without reports for a while before: this is deducted.
    pub fn set_gatekeepers(&mut self, now: Millis, gatekeepers: u32, missing: u32) {
        self.recent.grant(now, self.part());
        let more = missing.saturating_sub(self.missing);
        (self.gatekeepers, self.missing) = (gatekeepers.max(1), missing);
        if more > 0 && self.in_sync {
            let unreported = UNREPORTED_S * f64::from(more) / f64::from(self.gatekeepers);
            self.table.values_mut().for_each(|entry| entry.deduct(entry.plan.rate * unreported));
        }
    }

    /// Replaces the recent usage by that of a new attached marker.
    pub fn replace_recent_use(&mut self, now: Millis, recent: &WindowUsage) {
        self.recent.restore(now, recent);
    }

    /// Sets whether the usage of the others is known, and removes idle entries from time to time.
    pub fn set_in_sync(&mut self, now: Millis, in_sync: bool) {
        if in_sync != self.in_sync {
            self.switch_mode(now, in_sync);
        }
        if now > self.swept_at + IDLE_TIMEOUT / 16 {
            self.swept_at = now;
            self.recent.remove_idle(now);
            self.table.retain(|_, entry| entry.customer.open > 0.0 || now < entry.last_seen + IDLE_TIMEOUT);
        }
    }

    /// Switches between counting with the others and counting alone. The counters of the two modes aren't
    /// comparable, so each entry is reset; usage in excess of the quota remains a debt.
    fn switch_mode(&mut self, now: Millis, in_sync: bool) {
        let before = self.part();
        self.recent.grant(now, before);
        self.in_sync = in_sync;
        if !in_sync {
            self.alone_since = now;
        }
        let (n, part) = (self.sharers(), self.part());
        let is_known = in_sync && self.recent.is_complete(now);
        let names: Vec<String> = self.table.keys().cloned().collect();
        for name in names {
            let level = self.initial_level(now, &name);
            let Some(entry) = self.table.get_mut(&name) else { continue };
            entry.customer.advance(&scaled(&entry.plan, before), micros(now), false);
            let carried = entry.customer.remaining() * part / before;
            // A history of a whole window includes the debt.
            let level = if is_known { level } else { level.min(carried) };
            entry.reset(&name, part, n, level, now, self.window);
        }
    }

    /// What remains of a tenant's bucket for all who count together, if only their usage in the last window
    /// is known: who refuses requests beyond this keeps the quota in each window.
    fn initial_level(&self, now: Millis, tenant: &str) -> f64 {
        let Some(entry) = self.table.get(tenant) else { return 0.0 };
        self.capped_level(now, tenant, &scaled(&entry.window_plan(now), self.part()))
    }

    /// The same for a given plan, capped by what a bucket of this plan would hold after the window.
    fn capped_level(&self, now: Millis, tenant: &str, plan: &Plan) -> f64 {
        let span = if self.in_sync { self.recent.span(now) } else { now.saturating_sub(self.alone_since) };
        let known = (span as f64 / self.window as f64).min(1.0);
        let spare = INITIAL_FRACTION * known + INITIAL_FRACTION_UNKNOWN * (1.0 - known);
        let level = self.window_level(now, tenant, plan, spare);
        if !self.in_sync {
            return level;
        }
        let rate = plan.rate / self.part() / 1e3;
        level.min(self.recent.remaining(now, tenant, spare * plan.burst, BUCKET_FRACTION * plan.burst, rate))
    }

    fn window_level(&self, now: Millis, tenant: &str, plan: &Plan, spare: f64) -> f64 {
        let (span, used) = if self.in_sync {
            (self.recent.granted(now, self.part()) / self.part(), self.recent.used(now, tenant) as f64)
        } else {
            (now.saturating_sub(self.alone_since).min(self.window) as f64, 0.0)
        };
        (spare * plan.burst + plan.rate * span / 1e3 - used).min(BUCKET_FRACTION * plan.burst)
    }

    /// The share of each quota that belongs to the gatekeepers in sync with this one; when alone, one even
    /// share.
    fn part(&self) -> f64 {
        let all = f64::from(self.gatekeepers);
        if self.in_sync {
            (all - f64::from(self.missing)).max(1.0) / all
        } else {
            1.0 / all
        }
    }

    fn sharers(&self) -> f64 {
        if self.in_sync {
            f64::from(self.gatekeepers.saturating_sub(self.missing).max(1))
        } else {
            1.0
        }
    }

    /// Counts a request of a tenant if its quota permits it; otherwise returns the retry delay, ms.
    pub fn rate_limit(&mut self, now: Millis, tenant: &Tenant) -> Option<Millis> {
        if tenant.rate <= 0.0 {
            return None;
        }
        let (n, part, at) = (self.sharers(), self.part(), micros(now));
        let full_plan = Plan {
            rate: tenant.rate,
            burst: tenant.burst.max(tenant.rate * BURST_MIN.0).max(BURST_MIN.1),
            open: (tenant.rate * OPEN_REQUESTS_MAX.0).max(OPEN_REQUESTS_MAX.1),
            ..Plan::default()
        };
        let plan = scaled(&full_plan, part);
        if !self.table.contains_key(&tenant.name) {
            if self.table.len() >= TABLE_MAX {
                return Some(RETRY_DELAY_MAX);
            }
            let level = self.capped_level(now, &tenant.name, &plan);
            let entry = Entry::new(&tenant.name, full_plan.clone(), part, n, level, now, self.window);
            self.table.insert(tenant.name.clone(), entry);
        }
        let entry = self.table.get_mut(&tenant.name)?;
        entry.change_plan(now, self.window, full_plan);
        entry.last_seen = now;
        let window_plan = scaled(&entry.window_plan(now), part);
        let window_limit = self.window_level(now, &tenant.name, &window_plan, WINDOW_SPARE);
        let entry = self.table.get_mut(&tenant.name)?;
        entry.customer.advance(&plan, at, false);
        entry.customer.cap_level(window_limit.min(BUCKET_FRACTION * plan.burst));
        let mut wait = entry.customer.beyond(&plan, 1.0, 0.0, at, self.rng.f64());
        if wait.is_none() && !entry.has_allowance(now, &plan, n) {
            wait = Some(ALLOWANCE_WAIT * 1_000);
        }
        if wait.is_some() {
            entry.refused += 1;
        } else {
            entry.admitted += 1;
            entry.customer.charge(1.0);
            entry.allowance -= 1.0;
            entry.admitted_since_update += 1;
            entry.recent_requests.0 += f64::from(entry.unreported.advance(now));
            entry.unreported.count();
            if self.in_sync {
                self.recent.add(now, &tenant.name, 1);
            }
        }
        wait.map(|wait| (wait / 1_000).clamp(1, RETRY_DELAY_MAX))
    }

    /// Adds what the others have admitted since the last update; tenants that aren't listed have no new
    /// usage.
    pub fn add_others_use(&mut self, now: Millis, increments: &[(String, u64)]) {
        let (n, part, at) = (self.sharers(), self.part(), micros(now));
        self.recent.grant(now, part);
        increments.iter().for_each(|(tenant, others)| self.recent.add(now, tenant, *others));
        let increments: HashMap<&str, u64> = increments.iter().map(|(name, n)| (name.as_str(), *n)).collect();
        for (name, entry) in &mut self.table {
            let others = increments.get(name.as_str()).copied().unwrap_or(0) as f64;
            let plan = scaled(&entry.plan, part);
            entry.customer.advance(&plan, at, false);
            let left = entry.customer.remaining();
            entry.customer.apply_total(&plan, others, true, -DEBT_MAX * plan.burst, at);
            if std::mem::take(&mut entry.awaits_first_update) {
                // Without this the first update would start with a full bucket.
                entry.customer.cap_level(left - others);
            }
            let keeps = (-(now.saturating_sub(entry.updated_at) as f64) / DECAY_MS).exp();
            let reported = f64::from(entry.unreported.advance(now));
            entry.recent_requests =
                (entry.recent_requests.0 * keeps + reported, entry.recent_requests.1 * keeps + others);
            entry.renew_allowance(n);
            (entry.allowance_at, entry.updated_at, entry.admitted_since_update) = (now, now, 0);
        }
    }

    /// How this gatekeeper takes part in the shared quotas.
    pub fn membership(&self) -> Membership {
        Membership { gatekeepers: self.gatekeepers, missing: self.missing, in_sync: self.in_sync }
    }

    /// The state that decides on a tenant's next request, if the tenant is in the table.
    pub fn status(&self, tenant: &str) -> Option<TenantStatus> {
        self.table.get(tenant).map(Entry::status)
    }

    /// Up to `most` tenants with the most requests here, each with the state that decides on its next
    /// request.
    pub fn busiest(&self, most: usize) -> Vec<(&str, TenantStatus)> {
        let mut all: Vec<_> = self.table.iter().map(|(name, e)| (name.as_str(), e.status())).collect();
        all.sort_by_key(|(name, s)| (std::cmp::Reverse(s.admitted + s.refused), *name));
        all.truncate(most);
        all
    }

    /// Changes the number of a tenant's open requests.
    pub fn add_open_requests(&mut self, tenant: &str, by: f64) {
        if let Some(entry) = self.table.get_mut(tenant) {
            entry.customer.open = (entry.customer.open + by).max(0.0);
        }
    }
}

/// A share of a plan.
fn scaled(plan: &Plan, part: f64) -> Plan {
    Plan { rate: plan.rate * part, burst: plan.burst * part, ..plan.clone() }
}
