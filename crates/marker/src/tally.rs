//! Totals of what gatekeepers let in, by tenant: batched adds come in, totals go out.
//!
//! Totals count up from this marker's start. A gatekeeper takes from them how much the others have added since it
//! last looked, and holds that against its own clock: no clock is shared, and a marker that starts again begins at 0
//! without harm. What was let in of late is told first to whoever makes this marker its home: it begins from that, and
//! not from a full store.

use crate::parts::{Millis, SessionId};
use granitelead_common::recent_use::{RecentUse, WindowUsage};
use std::collections::{BTreeMap, BTreeSet};

/// Tenants that are counted at once.
const TENANTS_MAX: usize = 100_000;

/// For how long after something was added it is told that nothing was since, and how often.
const LATELY: Millis = 3_000;
const AGAIN: Millis = 100;

/// Tenants with their totals, and the part of whoever is told.
pub type Totals = Vec<(String, u64, u64)>;

#[derive(Default)]
struct Told {
    life: u64,
    /// Its own part of the totals, by tenant.
    own: BTreeMap<String, u64>,
    number: u64,
    /// Whether something changed that it has to know.
    changed: BTreeSet<String>,
    new_number: bool,
    /// Whether it is to be told what was let in of late.
    begins: bool,
    sent: Millis,
}

/// The quotas' window where the settings name none, ms.
const WINDOW: Millis = 5_000;

/// Totals of all tenants.
pub struct Tally {
    totals: BTreeMap<String, u64>,
    recent: RecentUse,
    part: f64,
    homes: BTreeMap<SessionId, Told>,
    /// What came from sessions here since the other markers were told.
    batch: BTreeMap<String, u64>,
    /// Whether anything was added since the totals were last told, and when anything was.
    added: bool,
    added_at: Millis,
}

impl Default for Tally {
    fn default() -> Tally {
        Tally::new(WINDOW, 0)
    }
}

impl Tally {
    /// Nothing was added yet; quotas are judged by such a window, ms.
    pub fn new(window: Millis, now: Millis) -> Tally {
        Tally {
            totals: BTreeMap::new(),
            recent: RecentUse::new(window, now),
            part: 0.0,
            homes: BTreeMap::new(),
            batch: BTreeMap::new(),
            added: false,
            added_at: 0,
        }
    }

    /// A gatekeeper makes this marker its home.
    pub fn open(&mut self, session: SessionId, life: u64) {
        // It is told at once, also that there is nothing: until then it knows nothing of the others.
        let changed = self.totals.keys().cloned().collect();
        let told = Told { life, changed, new_number: true, begins: true, ..Told::default() };
        self.homes.insert(session, told);
    }

    /// It has another home, or has gone.
    pub fn close(&mut self, session: SessionId) {
        self.homes.remove(&session);
    }

    /// The lives whose home is here.
    pub fn lives(&self) -> Vec<u64> {
        self.homes.values().map(|told| told.life).collect()
    }

    /// Adds of a gatekeeper, under a number that rises.
    pub fn on_adds(&mut self, now: Millis, session: SessionId, number: u64, adds: &[(String, u64)]) {
        let Some(told) = self.homes.get_mut(&session).filter(|told| number > told.number) else { return };
        (told.number, told.new_number) = (number, true);
        for (tenant, n) in adds {
            if let Some(own) = told.own.get_mut(tenant) {
                *own += n;
            } else if told.own.len() < TENANTS_MAX {
                told.own.insert(tenant.clone(), *n);
            }
            if self.batch.contains_key(tenant) || self.batch.len() < TENANTS_MAX {
                *self.batch.entry(tenant.clone()).or_default() += n;
            }
        }
        self.count(now, adds);
    }

    /// Adds that another marker has taken in.
    pub fn count(&mut self, now: Millis, adds: &[(String, u64)]) {
        self.added |= !adds.is_empty();
        for (tenant, n) in adds {
            if self.totals.len() >= TENANTS_MAX && !self.totals.contains_key(tenant) {
                continue;
            }
            *self.totals.entry(tenant.clone()).or_default() += n;
            self.recent.add(now, tenant, *n);
            for told in self.homes.values_mut() {
                told.changed.insert(tenant.clone());
            }
        }
    }

    /// What the other markers have to be told.
    pub fn batch(&mut self) -> Vec<(String, u64)> {
        std::mem::take(&mut self.batch).into_iter().collect()
    }

    /// Such a part of each quota is that of the gatekeepers that are heard.
    pub fn grant(&mut self, now: Millis, part: f64) {
        self.part = part;
        self.recent.grant(now, part);
    }

    /// What those that have made this marker their home since the last time are told first: what was let in of late.
    pub fn beginnings(&mut self, now: Millis) -> Vec<(SessionId, WindowUsage)> {
        let begin = self
            .homes
            .iter_mut()
            .filter_map(|(session, told)| std::mem::take(&mut told.begins).then_some(*session));
        let begin: Vec<SessionId> = begin.collect();
        if begin.is_empty() {
            return Vec::new();
        }
        let recent = self.recent.snapshot(now, self.part);
        begin.into_iter().map(|session| (session, recent.clone())).collect()
    }

    /// What each gatekeeper has to be told: the number of its newest adds, and tenants with total and own part.
    /// For a time after something was added also that nothing was since: those who wait for room must know.
    pub fn news(&mut self, now: Millis) -> Vec<(SessionId, u64, Totals)> {
        if std::mem::take(&mut self.added) {
            self.added_at = now;
        }
        let (totals, quiet) = (&self.totals, now >= self.added_at + LATELY);
        let due = self.homes.iter_mut().filter(|(_, told)| {
            told.new_number || !told.changed.is_empty() || !(quiet || now < told.sent + AGAIN)
        });
        due.map(|(session, told)| {
            (told.new_number, told.sent) = (false, now);
            let changed = std::mem::take(&mut told.changed).into_iter();
            let news = changed.map(|tenant| {
                let (total, own) = (totals.get(&tenant), told.own.get(&tenant));
                (tenant, total.copied().unwrap_or(0), own.copied().unwrap_or(0))
            });
            (*session, told.number, news.collect())
        })
        .collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use googletest::prelude::*;

    fn adds(n: u64) -> Vec<(String, u64)> {
        vec![("t".into(), n)]
    }

    #[gtest]
    fn totals_hold_what_all_added_and_adds_that_come_twice_count_once() {
        let (mut here, mut there) = (Tally::default(), Tally::default());
        here.open(1, 11);
        here.open(2, 12);
        there.open(1, 13);
        here.on_adds(0, 1, 1, &adds(5));
        here.on_adds(0, 1, 1, &adds(5));
        here.on_adds(0, 2, 1, &adds(2));
        here.on_adds(0, 9, 1, &adds(100));
        there.count(0, &here.batch());
        expect_that!(
            here.news(50),
            eq(&vec![(1, 1, vec![("t".into(), 7, 5)]), (2, 1, vec![("t".into(), 7, 2)])])
        );
        expect_that!(there.news(50), eq(&vec![(1, 0, vec![("t".into(), 7, 0)])]));
        expect_true!(here.news(60).is_empty() && here.batch().is_empty());
        expect_that!(here.news(150), eq(&vec![(1, 1, vec![]), (2, 1, vec![])]));
        expect_true!(here.news(4_000).is_empty());
    }
}
