//! Records, over a sliding window of slots, what each tenant used and what share of the quotas was granted.
//!
//! Processes that count quotas together may use a share of each quota, which changes with the number of
//! processes in contact. The share is integrated over the window, as milliseconds of the full quota, so that
//! use is compared with what was granted at that time. A process that starts to count a shared quota, because
//! it has just started or counts with other processes than before, starts from this record and not from a
//! full token bucket. Times are milliseconds of the local clock.

use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// Number of slots in a window.
const SLOTS: usize = 20;
/// Maximum number of tenants that are recorded; the use of further ones is not.
const TENANTS_MAX: usize = 100_000;

#[derive(Clone, Copy, Default)]
struct Counts {
    newest: u64,
    slots: [u32; SLOTS],
}

impl Counts {
    /// Advances the window to this slot and clears the slots that leave it.
    fn advance(&mut self, slot: u64) {
        let passed = slot.saturating_sub(self.newest).min(SLOTS as u64);
        for step in 1..=passed {
            self.slots[((self.newest + step) % SLOTS as u64) as usize] = 0;
        }
        self.newest = self.newest.max(slot);
    }

    fn add(&mut self, slot: u64, n: u64) {
        self.advance(slot);
        // Use in an older slot is counted in the newest one.
        let index = (self.newest % SLOTS as u64) as usize;
        self.slots[index] = self.slots[index].saturating_add(n.min(u64::from(u32::MAX)) as u32);
    }

    fn oldest_first(&self) -> Vec<u32> {
        (1..=SLOTS as u64).map(|step| self.slots[((self.newest + step) % SLOTS as u64) as usize]).collect()
    }

    /// Creates the counts from slots with the oldest first, the last one being `newest`. Surplus old slots are
    /// ignored.
    fn from_oldest_first(newest: u64, oldest_first: &[u32]) -> Counts {
        let mut counts = Counts { newest, slots: [0; SLOTS] };
        for (age, n) in oldest_first.iter().rev().take(SLOTS).enumerate() {
            let index = (newest + SLOTS as u64 - age as u64) % SLOTS as u64;
            counts.slots[index as usize] = *n;
        }
        counts
    }

    fn sum(&self) -> u64 {
        self.slots.iter().map(|n| u64::from(*n)).sum()
    }
}

/// The record of the last window, in slots of a twentieth of it, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowUsage {
    /// How far back from now the record reaches, ms.
    pub span: u64,
    /// For each slot, the granted time of the full quota, µs.
    pub granted: Vec<u32>,
    /// Requests admitted in each slot, by tenant.
    pub used: Vec<(String, Vec<u32>)>,
}

/// What each tenant used in the last window, as far as it was recorded.
pub struct RecentUse {
    slot: u64,
    /// How far back from `span_at` the record reaches. This is kept as a span because the clock of the
    /// process may have started after the beginning of the record.
    span: u64,
    span_at: u64,
    /// Granted microseconds of the full quota, recorded until `granted_at`.
    granted: Counts,
    granted_at: u64,
    table: HashMap<String, Counts>,
}

impl RecentUse {
    /// Creates an empty record that starts at `now`. The window is in milliseconds.
    pub fn new(window: u64, now: u64) -> RecentUse {
        let slot = (window / SLOTS as u64).max(1);
        let granted = Counts { newest: now / slot, ..Counts::default() };
        RecentUse { slot, span: 0, span_at: now, granted, granted_at: now, table: HashMap::new() }
    }

    fn window(&self) -> u64 {
        self.slot * SLOTS as u64
    }

    /// How much of the last window the record covers, ms.
    pub fn span(&self, now: u64) -> u64 {
        (self.span + now.saturating_sub(self.span_at)).min(self.window())
    }

    /// Records that this share of each quota was granted since the last call.
    pub fn grant(&mut self, now: u64, share: f64) {
        let from = self.granted_at.max(now.saturating_sub(self.window()));
        let mut at = from;
        while at < now {
            let end = ((at / self.slot + 1) * self.slot).min(now);
            self.granted.add(at / self.slot, ((end - at) as f64 * share * 1e3) as u64);
            at = end;
        }
        self.granted_at = self.granted_at.max(now);
    }

    /// Granted time of the full quota in the recorded slots, ms. `share` is the share that is granted since
    /// the last call of [`RecentUse::grant`].
    pub fn granted(&self, now: u64, share: f64) -> f64 {
        let mut granted = self.granted;
        granted.advance(now / self.slot);
        granted.sum() as f64 / 1e3 + now.saturating_sub(self.granted_at).min(self.slot) as f64 * share
    }

    /// Whether the record covers all slots of the window.
    pub fn is_complete(&self, now: u64) -> bool {
        self.span(now) + self.slot >= self.window()
    }

    /// Records `n` admitted requests of a tenant.
    pub fn add(&mut self, now: u64, tenant: &str, n: u64) {
        let slot = now / self.slot;
        if let Some(counts) = self.table.get_mut(tenant) {
            counts.add(slot, n);
            return;
        }
        if self.table.len() >= TENANTS_MAX {
            self.remove_idle(now);
        }
        if self.table.len() < TENANTS_MAX {
            self.table.insert(tenant.to_owned(), Counts { newest: slot, slots: [0; SLOTS] });
            self.add(now, tenant, n);
        }
    }

    /// Requests of a tenant in the last window, as far as it is recorded.
    pub fn used(&self, now: u64, tenant: &str) -> u64 {
        self.table.get(tenant).map_or(0, |counts| {
            let mut counts = *counts;
            counts.advance(now / self.slot);
            counts.sum()
        })
    }

    /// Tokens that remain in a tenant's bucket at the end of the window, if it started with `initial` tokens,
    /// has a capacity of `capacity` and is refilled by `rate` for each granted millisecond of the full quota.
    pub fn remaining(&self, now: u64, tenant: &str, initial: f64, capacity: f64, rate: f64) -> f64 {
        let slot = now / self.slot;
        let (mut granted, mut used) = (self.granted, self.table.get(tenant).copied().unwrap_or_default());
        granted.advance(slot);
        used.advance(slot);
        let slots = granted.oldest_first().into_iter().zip(used.oldest_first());
        slots.fold(initial, |remaining, (granted, used)| {
            (remaining + f64::from(granted) / 1e3 * rate).min(capacity) - f64::from(used)
        })
    }

    /// Exports the record for another process to start from. `share` is the share that is granted since the
    /// last call of [`RecentUse::grant`].
    pub fn snapshot(&mut self, now: u64, share: f64) -> WindowUsage {
        self.grant(now, share);
        self.remove_idle(now);
        let mut used: Vec<_> =
            self.table.iter().map(|(name, counts)| (name.clone(), counts.oldest_first())).collect();
        used.sort();
        WindowUsage { span: self.span(now), granted: self.granted.oldest_first(), used }
    }

    /// Replaces the record by one of another process. The slots of the two have different boundaries, which
    /// shifts the record by one slot at most.
    pub fn restore(&mut self, now: u64, usage: &WindowUsage) {
        let slot = now / self.slot;
        (self.span, self.span_at) = (usage.span.min(self.window()), now);
        (self.granted, self.granted_at) = (Counts::from_oldest_first(slot, &usage.granted), now);
        let used = usage.used.iter().take(TENANTS_MAX);
        self.table =
            used.map(|(tenant, slots)| (tenant.clone(), Counts::from_oldest_first(slot, slots))).collect();
    }

    /// Removes tenants that used nothing in the last window.
    pub fn remove_idle(&mut self, now: u64) {
        let slot = now / self.slot;
        self.table.retain(|_, counts| {
            counts.advance(slot);
            counts.sum() > 0
        });
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use googletest::prelude::*;

    #[gtest]
    fn use_expires_with_the_window() {
        let mut recent = RecentUse::new(5_000, 1_000);
        recent.add(1_000, "t", 3);
        recent.add(3_000, "t", 4);
        expect_that!(recent.span(3_000), eq(2_000));
        expect_that!(recent.used(5_900, "t"), eq(7));
        expect_that!(recent.used(6_000, "t"), eq(4));
        expect_that!(recent.used(60_000, "t"), eq(0));
        expect_that!(recent.used(60_000, "u"), eq(0));
        expect_that!(recent.span(60_100), eq(5_000));
        expect_true!(recent.is_complete(60_100) && !recent.is_complete(3_000));
        expect_true!(recent.snapshot(60_000, 1.0).used.is_empty());
    }

    #[gtest]
    fn a_process_that_has_just_started_can_restore_a_full_window() {
        let mut recent = RecentUse::new(5_000, 0);
        recent.restore(100, &WindowUsage { span: 5_000, granted: vec![250_000; 20], used: Vec::new() });
        expect_that!(recent.span(100), eq(5_000));
        expect_true!(recent.is_complete(100));
        expect_that!(recent.granted(100, 1.0), near(5_000.0, 1.0));
    }

    #[gtest]
    fn a_full_bucket_gains_nothing_while_idle() {
        let mut recent = RecentUse::new(5_000, 0);
        recent.grant(10_000, 1.0);
        expect_that!(recent.remaining(10_000, "t", 15.0, 60.0, 0.1), eq(60.0));
        recent.add(10_000, "t", 100);
        expect_that!(recent.remaining(10_000, "t", 15.0, 60.0, 0.1), eq(-40.0));
        recent.grant(10_200, 0.5);
        expect_that!(recent.remaining(10_200, "t", 15.0, 60.0, 0.1), eq(-40.0));
        recent.grant(10_500, 1.0);
        expect_that!(recent.remaining(10_500, "t", 15.0, 60.0, 0.1), near(-15.0, 0.1));
    }

    #[gtest]
    fn a_restored_record_expires_as_it_does_at_its_origin() {
        let mut origin = RecentUse::new(5_000, 8_000);
        origin.grant(9_000, 0.5);
        origin.add(8_100, "t", 60);
        origin.add(9_900, "t", 23);
        let mut local = RecentUse::new(5_000, 0);
        local.add(100, "u", 9);
        local.restore(20_000, &origin.snapshot(10_000, 1.0));
        expect_that!(local.used(20_000, "t"), eq(83));
        expect_that!(local.used(20_000, "u"), eq(0));
        expect_that!(local.span(21_000), eq(3_000));
        expect_that!(local.granted(20_000, 1.0), near(1_500.0, 1.0));
        local.grant(21_000, 0.5);
        expect_that!(local.granted(21_000, 0.5), near(2_000.0, 1.0));
        expect_that!(local.used(23_500, "t"), eq(23));
        expect_that!(local.used(25_500, "t"), eq(0));
        local.grant(70_100, 1.0);
        expect_that!(local.granted(70_100, 1.0), near(4_850.0, 1.0));
    }
}
