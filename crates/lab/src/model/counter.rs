//! The counter service: numbers by name on a few parts, each of which serves calls in turn, only so many a second, and
//! turns calls away when its line is long. It also works on calls that nobody waits for any more.

use granitelead_decisions::{hash, Micros};
use std::collections::BTreeMap;

/// Names kept before those that have lapsed are swept.
const SWEEP_AT: usize = 50_000;
/// The longest life of a name.
const KEEP_MAX: Micros = 60_000_000;

/// How a call ends at the service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Called {
    /// Added; the total.
    Total(f64),
    /// Nothing added.
    Busy,
}

/// The service.
#[derive(Debug)]
pub struct CounterService {
    /// When each part is free.
    free: Vec<Micros>,
    /// Time of a call.
    each: Micros,
    /// The longest wait of a call that is taken.
    longest: Micros,
    numbers: BTreeMap<String, (f64, Micros)>,
}

impl CounterService {
    /// One of so many calls a second on so many parts.
    pub fn new(per_s: f64, parts: usize, longest: Micros) -> CounterService {
        let each = (1e6 * parts as f64 / per_s).round().max(1.0) as Micros;
        CounterService { free: vec![0; parts.max(1)], each, longest, numbers: BTreeMap::new() }
    }

    /// A call reaches it; when its answer leaves, and what it says.
    pub fn call(&mut self, now: Micros, name: &str, amount: f64, keep: Micros) -> (Micros, Called) {
        let part = (hash(name) % self.free.len() as u64) as usize;
        let begins = self.free[part].max(now);
        if begins - now > self.longest {
            return (now, Called::Busy);
        }
        self.free[part] = begins + self.each;
        if self.numbers.len() >= SWEEP_AT {
            self.numbers.retain(|_, (_, until)| *until > now);
        }
        let number = self.numbers.entry(name.to_owned()).or_insert((0.0, begins + keep.min(KEEP_MAX)));
        if number.1 <= begins {
            *number = (0.0, begins + keep.min(KEEP_MAX));
        }
        number.0 += amount;
        (self.free[part], Called::Total(number.0))
    }

    /// It comes back elsewhere, empty.
    pub fn restart(&mut self, now: Micros) {
        self.numbers.clear();
        self.free.iter_mut().for_each(|free| *free = now);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn it_adds_up_by_name_for_a_time_and_forgets() {
        let mut it = CounterService::new(1_000.0, 1, 10_000);
        assert_eq!(it.call(0, "a", 2.0, 5_000).1, Called::Total(2.0));
        assert_eq!(it.call(2_000, "a", -0.5, 5_000).1, Called::Total(1.5));
        assert_eq!(it.call(2_000, "b", 1.0, 5_000).1, Called::Total(1.0));
        assert_eq!(it.call(9_000, "a", 1.0, 5_000).1, Called::Total(1.0));
        it.restart(9_000);
        assert_eq!(it.call(20_000, "b", 0.0, 5_000).1, Called::Total(0.0));
    }

    #[test]
    fn it_does_so_many_calls_a_second_and_turns_the_rest_away() {
        let mut it = CounterService::new(1_000.0, 2, 20_000);
        let (mut done, mut last) = (0, 0);
        for n in 0..10_000u64 {
            let now = n * 100;
            if let (at, Called::Total(_)) = it.call(now, &format!("c{n}"), 1.0, 1_000_000) {
                assert!(at <= now + 20_000 + 2_000, "it waits for too long");
                (done, last) = (done + 1, last.max(at));
            }
        }
        let per_s = f64::from(done) / (last as f64 / 1e6);
        assert!((900.0..=1_001.0).contains(&per_s), "{per_s}");
    }
}
