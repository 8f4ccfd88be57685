//! Who asks, when, and for what: customers by plan, each with its own use, through its own gatekeepers; arrivals that
//! don't wait for answers.

use crate::experiment::{Effect, Experiment};
use granitelead_decisions::Micros;
use rand::{Rng, RngExt};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1, LogNormal};

/// Units of a request and how often each comes.
const UNITS: [(f64, f64); 4] = [(1.0, 0.4), (2.0, 0.3), (3.0, 0.2), (4.0, 0.1)];
/// Part of the requests whose guess is off by one unit.
const GUESS_OFF: f64 = 0.3;
/// Customers at most: a plan of tiny rates asks for no more.
const CUSTOMERS_MAX: usize = 200_000;

/// A customer.
#[derive(Clone, Debug)]
pub struct Customer {
    /// Its plan's place.
    pub plan: usize,
    /// Its gatekeepers in a row, from this one on, counted round.
    pub first: usize,
    /// How many.
    pub spread: usize,
    /// How its requests are spread over them: cumulative.
    shares: Vec<f64>,
}

impl Customer {
    fn draw(rng: &mut ChaCha8Rng, plan: usize, gatekeepers: usize, spread: usize) -> Customer {
        let mut sum = 0.0;
        let shares = (0..spread).map(|_| {
            let weight: f64 = rng.random_range(0.2..1.0);
            sum += weight * weight;
            sum
        });
        let shares = shares.collect();
        Customer { plan, first: rng.random_range(0..gatekeepers), spread, shares }
    }

    /// Draws one of its gatekeepers, as its place in the row.
    pub fn draws(&self, rng: &mut ChaCha8Rng) -> usize {
        let all = self.shares.last().copied().unwrap_or(1.0);
        let at = rng.random_range(0.0..all);
        self.shares.partition_point(|share| *share <= at).min(self.spread - 1)
    }
}

/// What a client asks for.
#[derive(Clone, Copy, Debug)]
pub struct Asked {
    /// The customer's number; none for one that is seen once.
    pub customer: Option<usize>,
    /// Its plan.
    pub plan: usize,
    /// The class.
    pub class: usize,
    /// Units, as guessed.
    pub guess: f64,
    /// Units, in truth.
    pub units: f64,
    /// Work, µs of one core.
    pub work: f64,
}

/// All customers, and how often they ask.
#[derive(Debug)]
pub struct Traffic {
    customers: Vec<Customer>,
    /// By plan: its customers' numbers and, cumulative, how often each asks, requests a second.
    plans: Vec<(Vec<usize>, Vec<f64>)>,
    classes: Vec<(f64, f64, LogNormal<f64>)>,
    spread: (usize, usize),
    gatekeepers: usize,
}

impl Traffic {
    /// Draws the customers of an experiment with `rng`, and with `sets` the gatekeepers that each comes through: so they
    /// ask the same however many gatekeepers there are.
    pub fn draw(
        experiment: &Experiment,
        gatekeepers: usize,
        rng: &mut ChaCha8Rng,
        sets: &mut ChaCha8Rng,
    ) -> Traffic {
        let traffic = &experiment.traffic;
        let most = gatekeepers.min(traffic.spread_max.0 as usize);
        let part = |share: f64| ((most as f64 * share).ceil() as usize).clamp(1, most);
        let spread = (part(traffic.spread.0 .0), part(traffic.spread.1 .0));
        let mean_units: f64 = UNITS.iter().map(|(units, often)| units * often).sum();
        let (mut customers, mut plans) = (Vec::new(), Vec::new());
        for (number, plan) in experiment.plans.iter().enumerate() {
            let units_a_second = experiment.rate() * mean_units * plan.share.0;
            let (heavy, times) = (traffic.heavy.0 .0, traffic.heavy.1 .0);
            let inside = traffic.calm_use.0 * (1.0 - heavy) + heavy;
            let n = (units_a_second / (plan.rate.0 * inside)).ceil().max(1.0) as usize;
            let (mut numbers, mut often, mut sum) = (Vec::new(), Vec::new(), 0.0);
            for _ in 0..n.min(CUSTOMERS_MAX) {
                let asks = match rng.random_bool(heavy) {
                    true => plan.rate.0 * times,
                    false => plan.rate.0 * traffic.calm_use.0 * rng.random_range(0.4..1.6),
                };
                sum += asks / mean_units;
                numbers.push(customers.len());
                often.push(sum);
                let spread = sets.random_range(spread.0.min(spread.1)..=spread.1);
                customers.push(Customer::draw(sets, number, gatekeepers, spread));
            }
            plans.push((numbers, often));
        }
        let classes = experiment.classes.iter().map(|class| {
            let variance = (1.0 + class.cv.0 * class.cv.0).ln();
            // Finite for any finite spread.
            let size = LogNormal::new(-variance / 2.0, variance.sqrt()).unwrap_or_else(|_| unit_size());
            (class.share.0, class.work_ms.0 * 1e3 / mean_units, size)
        });
        Traffic { customers, plans, classes: classes.collect(), spread, gatekeepers }
    }

    /// A customer by its number.
    pub fn customer(&self, number: usize) -> &Customer {
        &self.customers[number]
    }

    /// Somebody who is seen once.
    pub fn stranger(&self, plan: usize, rng: &mut ChaCha8Rng) -> Customer {
        Customer::draw(rng, plan, self.gatekeepers, self.spread.0)
    }

    /// Requests a second of each plan's customers.
    pub fn rates(&self) -> Vec<f64> {
        self.plans.iter().map(|(_, often)| often.last().copied().unwrap_or(0.0)).collect()
    }

    /// The time to the next request, where so many come a second.
    pub fn gap(rate: f64, rng: &mut ChaCha8Rng) -> Micros {
        let gap: f64 = Exp1.sample(rng);
        ((gap / rate.max(1e-9) * 1e6) as Micros).max(1)
    }

    /// What the next one asks for. `rates` are those of the plans at present, `one_offs` that of strangers.
    pub fn next(&self, rates: &[f64], one_offs: f64, rng: &mut ChaCha8Rng) -> Asked {
        let sum: f64 = rates.iter().sum();
        let mut at = rng.random_range(0.0..(sum + one_offs).max(f64::MIN_POSITIVE));
        let known = rates.iter().position(|rate| {
            let here = at < *rate;
            at -= rate;
            here
        });
        let customer = known.map(|plan| {
            let (numbers, often) = &self.plans[plan];
            let at = rng.random_range(0.0..often.last().copied().unwrap_or(1.0));
            numbers[often.partition_point(|sum| *sum <= at).min(numbers.len() - 1)]
        });
        let plan = known.unwrap_or_else(|| rng.random_range(0..rates.len()));
        let mut at = rng.random_range(0.0..1.0);
        let mut class = self.classes.len() - 1;
        for (n, (share, _, _)) in self.classes.iter().enumerate() {
            if at < *share {
                class = n;
                break;
            }
            at -= share;
        }
        let units = draw_units(rng);
        let guess = match rng.random_bool(GUESS_OFF) {
            true if units < 2.0 => units + 1.0,
            true => units - 1.0,
            false => units,
        };
        let (_, work, size) = &self.classes[class];
        Asked { customer, plan, class, guess, units, work: work * units * size.sample(rng) }
    }
}

fn draw_units(rng: &mut impl Rng) -> f64 {
    let mut at: f64 = rng.random_range(0.0..1.0);
    for (units, often) in UNITS {
        if at < often {
            return units;
        }
        at -= often;
    }
    UNITS[0].0
}

fn unit_size() -> LogNormal<f64> {
    LogNormal::new(0.0, 0.0).expect("a spread of 0 is one")
}

/// The decisions' word for how often a request may run.
pub fn effect(effect: Effect) -> granitelead_decisions::Effect {
    match effect {
        Effect::Idempotent => granitelead_decisions::Effect::Idempotent,
        Effect::Deduplicated => granitelead_decisions::Effect::Deduplicated,
        Effect::AtMostOnce => granitelead_decisions::Effect::AtMostOnce,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::experiment::Mode;
    use rand::SeedableRng;
    use std::path::Path;

    /// Requests come as often as the experiment says, each with the work and units it says on the mean, and through
    /// gatekeepers of its customer's own.
    #[test]
    fn traffic_is_what_the_experiment_says() {
        let text = "ask = 'x'\nseconds = 10\n[traffic]\nload = 0.5\nheavy = [0.0, 2.0]\n";
        let experiment = Experiment::parse(text, Path::new("x"), Mode::VirtualTime).unwrap();
        for seed in 0..5 {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            let traffic = Traffic::draw(&experiment, 30, &mut rng, &mut ChaCha8Rng::seed_from_u64(seed));
            let rates = traffic.rates();
            let sum: f64 = rates.iter().sum();
            assert!((sum / experiment.rate() - 1.0).abs() < 0.15, "{sum} of {}", experiment.rate());
            let (mut work, mut by_class, mut strangers) = (0.0, [0.0, 0.0], 0);
            let n = 20_000;
            for _ in 0..n {
                let asked = traffic.next(&rates, sum, &mut rng);
                work += asked.work;
                by_class[asked.class] += 1.0;
                strangers += usize::from(asked.customer.is_none());
                if let Some(number) = asked.customer {
                    let customer = traffic.customer(number);
                    assert_eq!(customer.plan, asked.plan);
                    assert!(customer.draws(&mut rng) < customer.spread && customer.spread <= 8);
                }
            }
            let n = n as f64;
            assert!((work / n / 1e6 / experiment.mean_work() - 1.0).abs() < 0.1, "{}", work / n);
            assert!((by_class[0] / n - 0.68).abs() < 0.02, "{by_class:?}");
            assert!((strangers as f64 / n - 0.5).abs() < 0.02, "{strangers}");
        }
    }
}
