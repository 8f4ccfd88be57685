//! Totals of the requests that gatekeepers admitted, by tenant, for the quotas: batched usage comes in,
//! totals go out.
//!
//! Totals count up from this marker's start. A gatekeeper derives from them how much the others have added
//! since the last update, and enters that at the time of its own clock: no clock is shared, and a marker
//! that restarts can begin at 0. A gatekeeper that attaches to this marker is first sent the recent use, so
//! that it does not start with a full quota.

use crate::types::{Millis, SessionId};
use granitelead_common::recent_use::{RecentUse, WindowUsage};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of tenants with a total.
const TENANTS_MAX: usize = 100_000;

/// For how long after the last usage report empty updates are still sent, ms.
const EMPTY_UPDATES_FOR: Millis = 3_000;
/// Interval between empty updates, ms.
const EMPTY_UPDATE_INTERVAL: Millis = 100;

/// Tenants, each with its total and with the receiver's own part of that.
pub type Totals = Vec<(String, u64, u64)>;

#[derive(Default)]
struct Gatekeeper {
    incarnation: u64,
    /// The usage of this gatekeeper itself, by tenant.
    own: BTreeMap<String, u64>,
    last_number: u64,
    /// The tenants whose totals have changed since the last update.
    changed_tenants: BTreeSet<String>,
    has_new_number: bool,
    /// Whether it has still to be sent the recent use.
    needs_recent_use: bool,
    last_sent: Millis,
}

/// The quota window where the settings name none, ms.
const DEFAULT_WINDOW: Millis = 5_000;

/// The totals of all tenants, and the gatekeepers attached to this marker.
pub struct Tally {
    totals: BTreeMap<String, u64>,
    recent: RecentUse,
    quota_fraction: f64,
    gatekeepers: BTreeMap<SessionId, Gatekeeper>,
    /// Usage reported here that the other markers were not sent yet.
    batch: BTreeMap<String, u64>,
    /// Whether usage was reported since the last updates; `added_at` is the time of the first updates after
    /// the last report.
    has_new_usage: bool,
    added_at: Millis,
}

impl Default for Tally {
    fn default() -> Tally {
        Tally::new(DEFAULT_WINDOW, 0)
    }
}

impl Tally {
    /// Creates empty totals; `window` is the quota window, ms.
    pub fn new(window: Millis, now: Millis) -> Tally {
        Tally {
            totals: BTreeMap::new(),
            recent: RecentUse::new(window, now),
            quota_fraction: 0.0,
            gatekeepers: BTreeMap::new(),
            batch: BTreeMap::new(),
            has_new_usage: false,
            added_at: 0,
        }
    }

    /// A gatekeeper attaches to this marker.
    pub fn attach(&mut self, session: SessionId, incarnation: u64) {
        // It gets an update at once, even an empty one: until then it knows nothing of the other
        // gatekeepers.
        let changed_tenants = self.totals.keys().cloned().collect();
        let gatekeeper = Gatekeeper {
            incarnation,
            changed_tenants,
            has_new_number: true,
            needs_recent_use: true,
            ..Gatekeeper::default()
        };
        self.gatekeepers.insert(session, gatekeeper);
    }

    /// A gatekeeper has attached to another marker, or has gone.
    pub fn detach(&mut self, session: SessionId) {
        self.gatekeepers.remove(&session);
    }

    /// The incarnations of the gatekeepers attached to this marker.
    pub fn incarnations(&self) -> Vec<u64> {
        self.gatekeepers.values().map(|gatekeeper| gatekeeper.incarnation).collect()
    }

    /// Takes in the usage of a gatekeeper since its last report, under a rising sequence number: repeated
    /// reports are ignored.
    pub fn on_usage(&mut self, now: Millis, session: SessionId, number: u64, adds: &[(String, u64)]) {
        let Some(gatekeeper) =
            self.gatekeepers.get_mut(&session).filter(|gatekeeper| number > gatekeeper.last_number)
        else {
            return;
        };
        (gatekeeper.last_number, gatekeeper.has_new_number) = (number, true);
        for (tenant, n) in adds {
            if let Some(own) = gatekeeper.own.get_mut(tenant) {
                *own += n;
            } else if gatekeeper.own.len() < TENANTS_MAX {
                gatekeeper.own.insert(tenant.clone(), *n);
            }
            if self.batch.contains_key(tenant) || self.batch.len() < TENANTS_MAX {
                *self.batch.entry(tenant.clone()).or_default() += n;
            }
        }
        self.add_usage(now, adds);
    }

    /// Takes in usage that was reported to another marker.
    pub fn add_usage(&mut self, now: Millis, adds: &[(String, u64)]) {
        self.has_new_usage |= !adds.is_empty();
        for (tenant, n) in adds {
            if self.totals.len() >= TENANTS_MAX && !self.totals.contains_key(tenant) {
                continue;
            }
            *self.totals.entry(tenant.clone()).or_default() += n;
            self.recent.add(now, tenant, *n);
            for gatekeeper in self.gatekeepers.values_mut() {
                gatekeeper.changed_tenants.insert(tenant.clone());
            }
        }
    }

    /// Takes the usage that the other markers have still to be sent.
    pub fn take_batch(&mut self) -> Vec<(String, u64)> {
        std::mem::take(&mut self.batch).into_iter().collect()
    }

    /// Sets the fraction of each quota that the reachable gatekeepers share.
    pub fn set_quota_fraction(&mut self, now: Millis, fraction: f64) {
        self.quota_fraction = fraction;
        self.recent.grant(now, fraction);
    }

    /// Returns the recent use, once for each gatekeeper that has attached to this marker since the last
    /// call.
    pub fn take_recent_use(&mut self, now: Millis) -> Vec<(SessionId, WindowUsage)> {
        let new = self.gatekeepers.iter_mut().filter_map(|(session, gatekeeper)| {
            std::mem::take(&mut gatekeeper.needs_recent_use).then_some(*session)
        });
        let new: Vec<SessionId> = new.collect();
        if new.is_empty() {
            return Vec::new();
        }
        let recent = self.recent.snapshot(now, self.quota_fraction);
        new.into_iter().map(|session| (session, recent.clone())).collect()
    }

    /// Returns the due updates: for each gatekeeper the number of its newest usage report, and the changed
    /// tenants with total and own part. For a time after the last report empty updates follow as well:
    /// gatekeepers that wait for quota must learn that nothing was added.
    pub fn take_updates(&mut self, now: Millis) -> Vec<(SessionId, u64, Totals)> {
        if std::mem::take(&mut self.has_new_usage) {
            self.added_at = now;
        }
        let (totals, quiet) = (&self.totals, now >= self.added_at + EMPTY_UPDATES_FOR);
        let due = self.gatekeepers.iter_mut().filter(|(_, gatekeeper)| {
            gatekeeper.has_new_number
                || !gatekeeper.changed_tenants.is_empty()
                || !(quiet || now < gatekeeper.last_sent + EMPTY_UPDATE_INTERVAL)
        });
        due.map(|(session, gatekeeper)| {
            (gatekeeper.has_new_number, gatekeeper.last_sent) = (false, now);
            let tenants = std::mem::take(&mut gatekeeper.changed_tenants).into_iter();
            let totals_of_changed = tenants.map(|tenant| {
                let (total, own) = (totals.get(&tenant), gatekeeper.own.get(&tenant));
                (tenant, total.copied().unwrap_or(0), own.copied().unwrap_or(0))
            });
            (*session, gatekeeper.last_number, totals_of_changed.collect())
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
    fn totals_include_all_usage_and_count_repeated_reports_once() {
        let (mut here, mut there) = (Tally::default(), Tally::default());
        here.attach(1, 11);
        here.attach(2, 12);
        there.attach(1, 13);
        here.on_usage(0, 1, 1, &adds(5));
        here.on_usage(0, 1, 1, &adds(5));
        here.on_usage(0, 2, 1, &adds(2));
        here.on_usage(0, 9, 1, &adds(100));
        there.add_usage(0, &here.take_batch());
        expect_that!(
            here.take_updates(50),
            eq(&vec![(1, 1, vec![("t".into(), 7, 5)]), (2, 1, vec![("t".into(), 7, 2)])])
        );
        expect_that!(there.take_updates(50), eq(&vec![(1, 0, vec![("t".into(), 7, 0)])]));
        expect_true!(here.take_updates(60).is_empty() && here.take_batch().is_empty());
        expect_that!(here.take_updates(150), eq(&vec![(1, 1, vec![]), (2, 1, vec![])]));
        expect_true!(here.take_updates(4_000).is_empty());
    }
}
