//! What each tenant used in the last window, and what might have been used: counts in slots that age out.
//!
//! Those who count together may use a part of each quota, which changes as they hear more of the others or fewer: that part
//! is added up over the window (as milliseconds of the whole quota), so that use is held against what it was granted from.
//! Whoever begins to count a shared quota anew, as its process has started or it counts with others than before, begins
//! from this and not from a full store. Times are milliseconds of the holder's own clock.

use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// Slots of a window.
const SLOTS: usize = 20;
/// Tenants that are remembered at once; what further ones use is not known.
const TENANTS_MAX: usize = 100_000;

#[derive(Clone, Copy, Default)]
struct Counts {
    newest: u64,
    slots: [u32; SLOTS],
}

impl Counts {
    /// Brings the slots to the present; what is older than the window is gone.
    fn advance(&mut self, slot: u64) {
        let passed = slot.saturating_sub(self.newest).min(SLOTS as u64);
        for step in 1..=passed {
            self.slots[((self.newest + step) % SLOTS as u64) as usize] = 0;
        }
        self.newest = self.newest.max(slot);
    }

    fn add(&mut self, slot: u64, n: u64) {
        self.advance(slot);
        // What is older than the newest slot counts as if it were of that.
        let place = (self.newest % SLOTS as u64) as usize;
        self.slots[place] = self.slots[place].saturating_add(n.min(u64::from(u32::MAX)) as u32);
    }

    fn oldest_first(&self) -> Vec<u32> {
        (1..=SLOTS as u64).map(|step| self.slots[((self.newest + step) % SLOTS as u64) as usize]).collect()
    }

    /// From slots with the oldest first, of which the last is the newest; what is too much is of no slot.
    fn of(newest: u64, oldest_first: &[u32]) -> Counts {
        let mut counts = Counts { newest, slots: [0; SLOTS] };
        for (age, n) in oldest_first.iter().rev().take(SLOTS).enumerate() {
            let place = (newest + SLOTS as u64 - age as u64) % SLOTS as u64;
            counts.slots[place as usize] = *n;
        }
        counts
    }

    fn sum(&self) -> u64 {
        self.slots.iter().map(|n| u64::from(*n)).sum()
    }
}

/// What is known of the last window, in slots of a twentieth of it, the oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Known {
    /// For how long before now it is known, milliseconds.
    pub span: u64,
    /// For how much of each slot the whole of each quota was granted, microseconds.
    pub granted: Vec<u32>,
    /// What was used in each slot, by tenant.
    pub used: Vec<(String, Vec<u32>)>,
}

/// What each tenant used in the last window, as far as it is known.
pub struct RecentUse {
    slot: u64,
    /// For how long the window was known, and when: a process's clock may have begun after that.
    span: u64,
    span_at: u64,
    /// Microseconds of the whole quota that were granted, and until when they are added up.
    granted: Counts,
    granted_at: u64,
    table: HashMap<String, Counts>,
}

impl RecentUse {
    /// Nothing is known of the time before `now`. The window is in milliseconds.
    pub fn new(window: u64, now: u64) -> RecentUse {
        let slot = (window / SLOTS as u64).max(1);
        let granted = Counts { newest: now / slot, ..Counts::default() };
        RecentUse { slot, span: 0, span_at: now, granted, granted_at: now, table: HashMap::new() }
    }

    fn window(&self) -> u64 {
        self.slot * SLOTS as u64
    }

    /// For how much of the last window it is known what was used, milliseconds.
    pub fn span(&self, now: u64) -> u64 {
        (self.span + now.saturating_sub(self.span_at)).min(self.window())
    }

    /// This part of each quota was granted to those who count together since this was last called.
    pub fn grant(&mut self, now: u64, part: f64) {
        let from = self.granted_at.max(now.saturating_sub(self.window()));
        let mut at = from;
        while at < now {
            let end = ((at / self.slot + 1) * self.slot).min(now);
            self.granted.add(at / self.slot, ((end - at) as f64 * part * 1e3) as u64);
            at = end;
        }
        self.granted_at = self.granted_at.max(now);
    }

    /// For how long the whole quota was granted in the slots that are held, milliseconds; `part` is granted since
    /// [`RecentUse::grant`] was last called.
    pub fn granted(&self, now: u64, part: f64) -> f64 {
        let mut granted = self.granted;
        granted.advance(now / self.slot);
        granted.sum() as f64 / 1e3 + now.saturating_sub(self.granted_at).min(self.slot) as f64 * part
    }

    /// Whether it is known what was used in all of the slots.
    pub fn is_whole(&self, now: u64) -> bool {
        self.span(now) + self.slot >= self.window()
    }

    /// A tenant used so many.
    pub fn add(&mut self, now: u64, tenant: &str, n: u64) {
        let slot = now / self.slot;
        if let Some(counts) = self.table.get_mut(tenant) {
            counts.add(slot, n);
            return;
        }
        if self.table.len() >= TENANTS_MAX {
            self.forget_idle(now);
        }
        if self.table.len() < TENANTS_MAX {
            self.table.insert(tenant.to_owned(), Counts { newest: slot, slots: [0; SLOTS] });
            self.add(now, tenant, n);
        }
    }

    /// What a tenant used in the last window, or in the part of it that is known.
    pub fn used(&self, now: u64, tenant: &str) -> u64 {
        self.table.get(tenant).map_or(0, |counts| {
            let mut counts = *counts;
            counts.advance(now / self.slot);
            counts.sum()
        })
    }

    /// What is left of a tenant's store after the window, if it began with `begin`, held `most` at the most, and gained `rate`
    /// a millisecond of the whole quota that was granted.
    pub fn left(&self, now: u64, tenant: &str, begin: f64, most: f64, rate: f64) -> f64 {
        let slot = now / self.slot;
        let (mut granted, mut used) = (self.granted, self.table.get(tenant).copied().unwrap_or_default());
        granted.advance(slot);
        used.advance(slot);
        let slots = granted.oldest_first().into_iter().zip(used.oldest_first());
        slots.fold(begin, |left, (granted, used)| {
            (left + f64::from(granted) / 1e3 * rate).min(most) - f64::from(used)
        })
    }

    /// What is known of the window, for another to begin from; `part` of each quota is granted since
    /// [`RecentUse::grant`] was last called.
    pub fn known(&mut self, now: u64, part: f64) -> Known {
        self.grant(now, part);
        self.forget_idle(now);
        let mut used: Vec<_> =
            self.table.iter().map(|(name, counts)| (name.clone(), counts.oldest_first())).collect();
        used.sort();
        Known { span: self.span(now), granted: self.granted.oldest_first(), used }
    }

    /// Takes over what another knows. Its slots begin at other moments: they are off by one slot at the most.
    pub fn replace(&mut self, now: u64, known: &Known) {
        let slot = now / self.slot;
        (self.span, self.span_at) = (known.span.min(self.window()), now);
        (self.granted, self.granted_at) = (Counts::of(slot, &known.granted), now);
        let used = known.used.iter().take(TENANTS_MAX);
        self.table = used.map(|(tenant, slots)| (tenant.clone(), Counts::of(slot, slots))).collect();
    }

    /// Forgets those that used nothing in the last window.
    pub fn forget_idle(&mut self, now: u64) {
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
    fn what_was_used_ages_out_with_the_window() {
        let mut recent = RecentUse::new(5_000, 1_000);
        recent.add(1_000, "t", 3);
        recent.add(3_000, "t", 4);
        expect_that!(recent.span(3_000), eq(2_000));
        expect_that!(recent.used(5_900, "t"), eq(7));
        expect_that!(recent.used(6_000, "t"), eq(4));
        expect_that!(recent.used(60_000, "t"), eq(0));
        expect_that!(recent.used(60_000, "u"), eq(0));
        expect_that!(recent.span(60_100), eq(5_000));
        expect_true!(recent.is_whole(60_100) && !recent.is_whole(3_000));
        expect_true!(recent.known(60_000, 1.0).used.is_empty());
    }

    #[gtest]
    fn a_window_is_known_to_a_process_that_has_just_begun() {
        let mut recent = RecentUse::new(5_000, 0);
        recent.replace(100, &Known { span: 5_000, granted: vec![250_000; 20], used: Vec::new() });
        expect_that!(recent.span(100), eq(5_000));
        expect_true!(recent.is_whole(100));
        expect_that!(recent.granted(100, 1.0), near(5_000.0, 1.0));
    }

    #[gtest]
    fn a_store_that_was_full_is_not_fuller_for_having_rested() {
        let mut recent = RecentUse::new(5_000, 0);
        recent.grant(10_000, 1.0);
        expect_that!(recent.left(10_000, "t", 15.0, 60.0, 0.1), eq(60.0));
        recent.add(10_000, "t", 100);
        expect_that!(recent.left(10_000, "t", 15.0, 60.0, 0.1), eq(-40.0));
        recent.grant(10_200, 0.5);
        expect_that!(recent.left(10_200, "t", 15.0, 60.0, 0.1), eq(-40.0));
        recent.grant(10_500, 1.0);
        expect_that!(recent.left(10_500, "t", 15.0, 60.0, 0.1), near(-15.0, 0.1));
    }

    #[gtest]
    fn what_another_knows_is_taken_over_and_ages_out_as_it_does_there() {
        let mut there = RecentUse::new(5_000, 8_000);
        there.grant(9_000, 0.5);
        there.add(8_100, "t", 60);
        there.add(9_900, "t", 23);
        let mut here = RecentUse::new(5_000, 0);
        here.add(100, "u", 9);
        here.replace(20_000, &there.known(10_000, 1.0));
        expect_that!(here.used(20_000, "t"), eq(83));
        expect_that!(here.used(20_000, "u"), eq(0));
        expect_that!(here.span(21_000), eq(3_000));
        expect_that!(here.granted(20_000, 1.0), near(1_500.0, 1.0));
        here.grant(21_000, 0.5);
        expect_that!(here.granted(21_000, 0.5), near(2_000.0, 1.0));
        expect_that!(here.used(23_500, "t"), eq(23));
        expect_that!(here.used(25_500, "t"), eq(0));
        here.grant(70_100, 1.0);
        expect_that!(here.granted(70_100, 1.0), near(4_850.0, 1.0));
    }
}
