//! Adaptive concurrency limits: how many requests this gatekeeper may have in flight at each service.
//!
//! An overloaded service answers everything late. When the response times of a service approach their target
//! latency, the gatekeeper lowers its limit and rejects the excess early, so that the rest is served in time.
//! Each gatekeeper adapts on its own, since all see the same servers. No limit applies until responses are
//! slow for the first time.

use crate::Millis;
use std::collections::BTreeMap;

/// Weight of a response in the moving average of response times, as fractions of their target latency.
const AVERAGE_WEIGHT: f64 = 0.1;
/// Averages above which the limit is decreased, and below which it is increased.
const AVERAGE_THRESHOLDS: (f64, f64) = (0.62, 0.5);
/// Factor of a decrease, and the least time between two in ms: responses to requests sent after the first
/// must arrive.
const DECREASE: (f64, Millis) = (0.88, 120);
/// Increase of the limit for each response while the limit is in use, requests.
const INCREASE: f64 = 0.12;
/// Lowest limit, and the limit at which nothing is limited, requests.
const LIMIT_BOUNDS: (f64, f64) = (1.0, 200.0);
/// Fraction of the limit that must be in use for a response to show that a higher one is possible.
const IN_USE_FRACTION: f64 = 0.8;
/// Factor on the limit by request priority; the last one applies to all lower priorities.
const PRIORITY_FACTORS: [f64; 3] = [1.3, 1.12, 1.0];

struct ServiceLimit {
    limit: f64,
    in_flight: u32,
    average: f64,
    decreased_at: Millis,
}

/// The concurrency limits of all services.
#[derive(Default)]
pub struct ConcurrencyLimits {
    services: BTreeMap<String, ServiceLimit>,
}

impl ConcurrencyLimits {
    fn service(&mut self, name: &str) -> &mut ServiceLimit {
        let new = || ServiceLimit { limit: LIMIT_BOUNDS.1, in_flight: 0, average: 0.0, decreased_at: 0 };
        self.services.entry(name.to_owned()).or_insert_with(new)
    }

    /// Whether a request of this priority may be sent to a service now.
    pub fn has_capacity(&mut self, name: &str, priority: u32) -> bool {
        let service = self.service(name);
        let factor = PRIORITY_FACTORS[(priority as usize).min(PRIORITY_FACTORS.len() - 1)];
        f64::from(service.in_flight) < (service.limit * factor).max(1.0)
    }

    /// Counts a request as in flight.
    pub fn begin(&mut self, name: &str) {
        self.service(name).in_flight += 1;
    }

    /// Records the end of a request. `good` is the response time of a successful one as a fraction of its
    /// target.
    pub fn end(&mut self, now: Millis, name: &str, good: Option<f64>) {
        let service = self.service(name);
        let is_limit_in_use = f64::from(service.in_flight) >= IN_USE_FRACTION * service.limit;
        let in_flight = f64::from(service.in_flight);
        service.in_flight = service.in_flight.saturating_sub(1);
        let Some(fraction) = good else { return };
        service.average += (fraction.min(3.0) - service.average) * AVERAGE_WEIGHT;
        if service.average > AVERAGE_THRESHOLDS.0 && now >= service.decreased_at + DECREASE.1 {
            service.limit = (service.limit.min(in_flight + 1.0) * DECREASE.0).max(LIMIT_BOUNDS.0);
            service.decreased_at = now;
        } else if service.average < AVERAGE_THRESHOLDS.1 && is_limit_in_use {
            service.limit = (service.limit + INCREASE).min(LIMIT_BOUNDS.1);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use googletest::prelude::*;

    /// Offers `a_second` requests per second to a service that processes eight at a time, 100 ms each, with a
    /// target latency of 300 ms. Returns the mean response time as a fraction of the target, and the number
    /// of admitted requests, in the last of ten seconds.
    fn offer(limits: &mut ConcurrencyLimits, from: Millis, a_second: u64) -> (f64, usize) {
        let (mut free, mut ends, mut last) = (vec![from; 8], Vec::<(Millis, f64)>::new(), Vec::new());
        for now in from..from + 10_000 {
            ends.sort_by_key(|(at, _)| std::cmp::Reverse(*at));
            while ends.last().is_some_and(|(at, _)| *at <= now) {
                let (_, fraction) = ends.pop().unwrap();
                limits.end(now, "s", Some(fraction));
            }
            if (now - from) * a_second / 1_000 > (now - from).saturating_sub(1) * a_second / 1_000
                && limits.has_capacity("s", 2)
            {
                limits.begin("s");
                let slot = free.iter_mut().min().unwrap();
                *slot = now.max(*slot) + 100;
                ends.push((*slot, (*slot - now) as f64 / 300.0));
                if now >= from + 9_000 {
                    last.push((*slot - now) as f64 / 300.0);
                }
            }
        }
        ends.into_iter().for_each(|(at, fraction)| limits.end(at, "s", Some(fraction)));
        (last.iter().sum::<f64>() / last.len() as f64, last.len())
    }

    #[gtest]
    fn overload_is_rejected_so_that_the_rest_is_in_time_and_the_limit_recovers() {
        let mut limits = ConcurrencyLimits::default();
        let (fraction, served) = offer(&mut limits, 0, 60);
        expect_that!(fraction, le(0.5));
        expect_that!(served, ge(59));
        let (fraction, served) = offer(&mut limits, 10_000, 120);
        expect_that!(fraction, le(0.8));
        expect_that!(served, ge(72));
        let (_, served) = offer(&mut limits, 20_000, 70);
        expect_that!(served, ge(69));
    }

    #[gtest]
    fn higher_priorities_are_admitted_where_lower_ones_are_not() {
        let mut limits = ConcurrencyLimits::default();
        limits.service("s").limit = 10.0;
        (0..10).for_each(|_| limits.begin("s"));
        expect_that!(
            [0, 1, 2, 9].map(|priority| limits.has_capacity("s", priority)),
            eq([true, true, false, false])
        );
    }
}
