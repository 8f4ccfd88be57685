//! Turns among sources: one of each that has something, then the next of each. No I/O.

use std::collections::{HashMap, VecDeque};
use std::hash::Hash;

/// Queues by source.
pub struct Turns<S, T> {
    queues: HashMap<S, VecDeque<T>>,
    /// The sources that have something, the next first.
    order: VecDeque<S>,
}

impl<S: Copy + Eq + Hash, T> Turns<S, T> {
    /// Nobody has anything.
    pub fn new() -> Turns<S, T> {
        Turns { queues: HashMap::new(), order: VecDeque::new() }
    }

    /// A source has something more.
    pub fn push(&mut self, source: S, what: T) {
        let queue = self.queues.entry(source).or_default();
        if queue.is_empty() {
            self.order.push_back(source);
        }
        queue.push_back(what);
    }

    /// How many sources have something: the length of a round.
    pub fn sources(&self) -> usize {
        self.order.len()
    }

    /// Whose turn it is.
    pub fn pop(&mut self) -> Option<T> {
        let source = self.order.pop_front()?;
        let queue = self.queues.get_mut(&source)?;
        let what = queue.pop_front();
        if queue.is_empty() {
            self.queues.remove(&source);
        } else {
            self.order.push_back(source);
        }
        what
    }
}

impl<S: Copy + Eq + Hash, T> Default for Turns<S, T> {
    fn default() -> Self {
        Turns::new()
    }
}

#[cfg(test)]
mod tests {
    use super::Turns;

    #[test]
    fn a_quiet_source_waits_for_one_of_each_other_at_most() {
        let mut turns = Turns::new();
        (0..1_000).for_each(|n| turns.push('a', n));
        (0..10).for_each(|n| turns.push('b', 1_000 + n));
        turns.push('c', 5_000);
        assert_eq!(turns.sources(), 3);
        let first: Vec<i32> = (0..7).filter_map(|_| turns.pop()).collect();
        assert_eq!(first, [0, 1_000, 5_000, 1, 1_001, 2, 1_002]);
        turns.push('d', 7_000);
        assert!([turns.pop(), turns.pop(), turns.pop()].contains(&Some(7_000)));
        let rest = std::iter::from_fn(|| turns.pop()).count();
        assert_eq!(rest, 1_000 + 10 + 1 + 1 - 7 - 3, "each its turn, once");
        assert!(turns.queues.is_empty() && turns.order.is_empty());
    }
}
