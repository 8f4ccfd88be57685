//! Events in the order of their time, and of their making where times are the same.

use granitelead_decisions::Micros;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

struct Due<T> {
    at: Micros,
    turn: u64,
    what: T,
}

impl<T> PartialEq for Due<T> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<T> Eq for Due<T> {}

impl<T> PartialOrd for Due<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Due<T> {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.turn).cmp(&(other.at, other.turn))
    }
}

/// What is to happen, soonest first.
pub struct Queue<T> {
    due: BinaryHeap<Reverse<Due<T>>>,
    turn: u64,
}

impl<T> Queue<T> {
    /// Nothing is to happen.
    pub fn new() -> Queue<T> {
        Queue { due: BinaryHeap::new(), turn: 0 }
    }

    /// Something happens then.
    pub fn push(&mut self, at: Micros, what: T) {
        self.turn += 1;
        self.due.push(Reverse(Due { at, turn: self.turn, what }));
    }

    /// What happens next, and when.
    pub fn pop(&mut self) -> Option<(Micros, T)> {
        self.due.pop().map(|Reverse(due)| (due.at, due.what))
    }
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Queue::new()
    }
}

#[cfg(test)]
mod tests {
    use super::Queue;

    #[test]
    fn the_soonest_comes_first_and_equals_in_turn() {
        let mut queue = Queue::new();
        [(5, 'a'), (3, 'b'), (5, 'c'), (1, 'd'), (3, 'e')]
            .into_iter()
            .for_each(|(at, what)| queue.push(at, what));
        let order: String = std::iter::from_fn(|| queue.pop()).map(|(_, what)| what).collect();
        assert_eq!(order, "dbeac");
    }
}
