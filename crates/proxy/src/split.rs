//! Traffic splitting: selects the service of a route for each request, in proportion to the weights and with
//! less deviation than independent random draws.
//!
//! Each route has a position on a circle that the weights divide into arcs, and advances by the golden ratio
//! with each request. Any run of such steps covers the circle evenly: after n requests the deviation of a
//! share is a small constant number of requests, not proportional to the root of n. The initial position is
//! random, so that a few requests at each of many gatekeepers are spread as well.

use granitelead_common::configuration::Route;
use std::collections::HashMap;

/// The step around the circle. The golden ratio is the irrational number that rational numbers approximate
/// worst, so the positions stay evenly spread.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;

/// The positions of all routes that split their traffic, under one configuration version, by host and route
/// index.
#[derive(Default)]
pub struct Splits {
    version: u32,
    positions: HashMap<(String, usize), f64>,
}

impl Splits {
    /// Selects the service of a route's next request, as its index in the configuration; `None` if the route
    /// has no service. `initial_position`, from 0 to 1, sets the initial position of a route.
    pub fn next(
        &mut self,
        version: u32,
        host: &str,
        rule_index: usize,
        route: &Route,
        initial_position: f64,
    ) -> Option<usize> {
        if route.split.len() < 2 {
            return route.split.first().map(|(service, _)| *service);
        }
        if self.version != version {
            (self.version, self.positions) = (version, HashMap::new());
        }
        let position = self.positions.entry((host.to_owned(), rule_index)).or_insert(initial_position);
        *position = (*position + GOLDEN_RATIO).fract();
        let sum: f64 = route.split.iter().map(|(_, weight)| weight).sum();
        let mut offset = *position * sum;
        let selected = route.split.iter().find(|(_, weight)| {
            offset -= weight;
            offset < 0.0 && *weight > 0.0
        });
        selected.or(route.split.first()).map(|(service, _)| *service)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use googletest::prelude::*;
    use granitelead_common::configuration::{parse, Configuration};

    fn configuration(weights: &[f64]) -> Configuration {
        let name = |n: usize| format!("s{n}");
        let split: Vec<_> = weights
            .iter()
            .enumerate()
            .map(|(n, weight)| serde_json::json!({"service-name": name(n), "weight": weight}))
            .collect();
        let clusters: Vec<_> = (0..weights.len()).map(|n| serde_json::json!({"name": name(n)})).collect();
        let text = serde_json::json!({
            "version": "00000001", "tenants": [], "upstream-clusters": clusters,
            "listeners": [{"host-name": "h", "rules": [{
                "name": "r", "route-kind": "safe_method", "target-latency-ms": 100, "public-access": true,
                "match-conditions": {"path-prefix": "/"},
                "route-action": {"traffic-split": split, "timeout-ms": 500, "max-attempts": 2}}]}],
        });
        parse(text.to_string().as_bytes()).unwrap()
    }

    /// Counts the requests that each service gets in total from gatekeepers with different initial positions.
    fn shares(weights: &[f64], gatekeepers: usize, requests: usize) -> Vec<usize> {
        let read = configuration(weights);
        let route = read.route("h", "/a").unwrap();
        let (mut counts, mut rng) = (vec![0; weights.len()], fastrand::Rng::with_seed(7));
        for _ in 0..gatekeepers {
            let (mut splits, initial_position) = (Splits::default(), rng.f64());
            for _ in 0..requests {
                counts[splits.next(1, "h", 0, route, initial_position).unwrap()] += 1;
            }
        }
        counts
    }

    #[gtest]
    fn each_service_gets_the_share_of_its_weight() {
        for weights in [vec![90.0, 10.0], vec![50.0, 50.0], vec![1.0, 2.0, 97.0], vec![0.0, 3.0, 1.0]] {
            let sum: f64 = weights.iter().sum();
            for (gatekeepers, requests) in [(1, 300), (13, 24), (300, 1)] {
                let all = (gatekeepers * requests) as f64;
                for (n, count) in shares(&weights, gatekeepers, requests).into_iter().enumerate() {
                    let expected = weights[n] / sum;
                    let tolerance = if gatekeepers == 300 { 0.06 } else { 0.02 };
                    expect_that!(count as f64 / all, near(expected, tolerance), "{weights:?}, {gatekeepers}");
                }
            }
        }
    }

    #[gtest]
    fn a_service_without_weight_gets_nothing() {
        expect_that!(shares(&[0.0, 3.0, 0.0], 3, 100), eq(&vec![0, 300, 0]));
    }
}
