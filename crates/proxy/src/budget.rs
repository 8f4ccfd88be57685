//! The retry budget: a fraction of the first attempts, plus this gatekeeper's share of a fixed allowance.
//!
//! All gatekeepers together stay within `ratio` x requests + `slack` in each window because each stays within
//! its own share: the tokens earned by its own requests, and its even share of the slack at most once per
//! window.

use crate::Millis;
use std::collections::BTreeMap;

/// Fraction of the permitted retries that is used.
const USED_FRACTION: f64 = 0.7;

/// Number of gatekeepers to assume until a marker reports it.
pub const GATEKEEPERS_ASSUMED: u32 = 64;

struct Bucket {
    tokens: f64,
    at: Millis,
}

/// The retry budgets of all services.
pub struct Budget {
    ratio: f64,
    slack: f64,
    window: Millis,
    gatekeepers: u32,
    buckets: BTreeMap<String, Bucket>,
}

impl Budget {
    /// Creates the budgets: retries per request, retries allowed in addition, and the window, ms.
    pub fn new(ratio: f64, slack: f64, window: Millis) -> Budget {
        Budget {
            ratio,
            slack,
            window: window.max(1),
            gatekeepers: GATEKEEPERS_ASSUMED,
            buckets: BTreeMap::new(),
        }
    }

    /// Sets how many gatekeepers share the slack.
    pub fn set_gatekeepers(&mut self, gatekeepers: u32) {
        self.gatekeepers = gatekeepers.max(1);
    }

    fn slack_share(&self) -> f64 {
        self.slack * USED_FRACTION / f64::from(self.gatekeepers)
    }

    fn bucket(&mut self, now: Millis, service: &str) -> &mut Bucket {
        let share = self.slack_share();
        if !self.buckets.contains_key(service) {
            self.buckets.insert(service.to_owned(), Bucket { tokens: share / 2.0, at: now });
        }
        // The slack is refilled over a window, and at most half of it is available at once.
        let gain = share / 2.0 / self.window as f64;
        let bucket = self.buckets.entry(service.to_owned()).or_insert(Bucket { tokens: 0.0, at: now });
        bucket.tokens = (bucket.tokens + gain * now.saturating_sub(bucket.at) as f64).min(share.max(1.0));
        bucket.at = now;
        bucket
    }

    /// Earns tokens for the first attempt of a request.
    pub fn earn(&mut self, now: Millis, service: &str) {
        let (ratio, max) = (self.ratio * USED_FRACTION, self.slack_share().max(1.0));
        let bucket = self.bucket(now, service);
        bucket.tokens = (bucket.tokens + ratio).min(max);
    }

    /// Whether a retry is permitted, so that [`Budget::spend`] would succeed.
    pub fn has(&mut self, now: Millis, service: &str) -> bool {
        self.bucket(now, service).tokens >= 1.0
    }

    /// Takes the token for one retry; returns whether there was one.
    pub fn spend(&mut self, now: Millis, service: &str) -> bool {
        let bucket = self.bucket(now, service);
        let has_token = bucket.tokens >= 1.0;
        if has_token {
            bucket.tokens -= 1.0;
        }
        has_token
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use googletest::prelude::*;

    #[gtest]
    fn a_gatekeeper_without_a_reported_number_does_not_use_all_of_the_slack() {
        let mut budget = Budget::new(0.2, 62.0, 10_000);
        let spent = (0..10_000).filter(|now| budget.spend(*now, "s")).count();
        expect_that!(spent, le(2));
    }

    #[gtest]
    fn gatekeepers_that_use_all_permitted_retries_stay_within_the_rule_together() {
        let (gatekeepers, requests) = (11, 40);
        let mut all: Vec<Budget> = (0..gatekeepers).map(|_| Budget::new(0.2, 62.0, 10_000)).collect();
        all.iter_mut().for_each(|budget| budget.set_gatekeepers(gatekeepers));
        let mut retries = Vec::new();
        for now in (0..40_000).step_by(1_000 / requests) {
            for budget in &mut all {
                budget.earn(now, "s");
                while budget.spend(now, "s") {
                    retries.push(now);
                }
            }
        }
        for begin in (0..30_000).step_by(500) {
            let in_window = retries.iter().filter(|at| (begin..begin + 10_000).contains(*at)).count() as f64;
            let allowed = 0.2 * (requests as u32 * 10 * gatekeepers) as f64 + 62.0;
            expect_that!(in_window, le(allowed), "{begin}");
            expect_that!(in_window, ge(allowed * 0.5), "{begin}");
        }
    }
}
