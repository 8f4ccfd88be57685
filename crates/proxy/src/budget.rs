//! The budget of further tries: a part of what is sent at first, and this gatekeeper's part of what is free.
//!
//! All gatekeepers together stay within `ratio` x requests + `slack` in each window, as each stays within its own part:
//! what it earned by requests of its own, and its even part of the slack, at most once a window.

use crate::Millis;
use std::collections::BTreeMap;

/// Part of what the rule allows that is used.
const USED: f64 = 0.7;

/// How many gatekeepers there are as long as no marker has said.
pub const GATEKEEPERS_UNTOLD: u32 = 64;

struct Purse {
    tokens: f64,
    at: Millis,
}

/// The budgets of all services.
pub struct Budget {
    ratio: f64,
    slack: f64,
    window: Millis,
    gatekeepers: u32,
    purses: BTreeMap<String, Purse>,
}

impl Budget {
    /// By the rule's figures.
    pub fn new(ratio: f64, slack: f64, window: Millis) -> Budget {
        Budget {
            ratio,
            slack,
            window: window.max(1),
            gatekeepers: GATEKEEPERS_UNTOLD,
            purses: BTreeMap::new(),
        }
    }

    /// So many gatekeepers share it.
    pub fn share(&mut self, gatekeepers: u32) {
        self.gatekeepers = gatekeepers.max(1);
    }

    fn part(&self) -> f64 {
        self.slack * USED / f64::from(self.gatekeepers)
    }

    fn purse(&mut self, now: Millis, service: &str) -> &mut Purse {
        let part = self.part();
        if !self.purses.contains_key(service) {
            self.purses.insert(service.to_owned(), Purse { tokens: part / 2.0, at: now });
        }
        // What is free comes back over a window, and never is more than half of it at once.
        let gain = part / 2.0 / self.window as f64;
        let purse = self.purses.entry(service.to_owned()).or_insert(Purse { tokens: 0.0, at: now });
        purse.tokens = (purse.tokens + gain * now.saturating_sub(purse.at) as f64).min(part.max(1.0));
        purse.at = now;
        purse
    }

    /// A request is sent for the first time.
    pub fn earn(&mut self, now: Millis, service: &str) {
        let (ratio, most) = (self.ratio * USED, self.part().max(1.0));
        let purse = self.purse(now, service);
        purse.tokens = (purse.tokens + ratio).min(most);
    }

    /// Whether a request may be sent once more: [`Budget::spend`] would succeed.
    pub fn has(&mut self, now: Millis, service: &str) -> bool {
        self.purse(now, service).tokens >= 1.0
    }

    /// Takes what sending a request once more costs; whether there was enough.
    pub fn spend(&mut self, now: Millis, service: &str) -> bool {
        let purse = self.purse(now, service);
        let enough = purse.tokens >= 1.0;
        if enough {
            purse.tokens -= 1.0;
        }
        enough
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use googletest::prelude::*;

    #[gtest]
    fn a_gatekeeper_that_was_told_of_no_others_does_not_take_all_of_the_slack() {
        let mut budget = Budget::new(0.2, 62.0, 10_000);
        let spent = (0..10_000).filter(|now| budget.spend(*now, "s")).count();
        expect_that!(spent, le(2));
    }

    #[gtest]
    fn all_gatekeepers_that_try_as_often_as_they_may_stay_within_the_rule() {
        let (gatekeepers, requests) = (11, 40);
        let mut all: Vec<Budget> = (0..gatekeepers).map(|_| Budget::new(0.2, 62.0, 10_000)).collect();
        all.iter_mut().for_each(|budget| budget.share(gatekeepers));
        let mut further = Vec::new();
        for now in (0..40_000).step_by(1_000 / requests) {
            for budget in &mut all {
                budget.earn(now, "s");
                while budget.spend(now, "s") {
                    further.push(now);
                }
            }
        }
        for begin in (0..30_000).step_by(500) {
            let in_window = further.iter().filter(|at| (begin..begin + 10_000).contains(*at)).count() as f64;
            let allowed = 0.2 * (requests as u32 * 10 * gatekeepers) as f64 + 62.0;
            expect_that!(in_window, le(allowed), "{begin}");
            expect_that!(in_window, ge(allowed * 0.5), "{begin}");
        }
    }
}
