//! Turns among sources: one of each that has something, then the next of each. No I/O.

use crate::clients::connections::network;
use std::collections::{HashMap, VecDeque};
use std::hash::Hash;
use std::net::IpAddr;

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

/// Turns among networks, and in each among its addresses: whoever has a whole network gets no more of them.
pub struct NetworkTurns<T> {
    networks: Turns<IpAddr, IpAddr>,
    within: HashMap<IpAddr, Turns<IpAddr, T>>,
}

impl<T> NetworkTurns<T> {
    /// Nobody has anything.
    pub fn new() -> NetworkTurns<T> {
        NetworkTurns { networks: Turns::new(), within: HashMap::new() }
    }

    /// An address has something more.
    pub fn push(&mut self, from: IpAddr, what: T) {
        self.networks.push(network(from), network(from));
        self.within.entry(network(from)).or_default().push(from, what);
    }

    /// How many networks have something: the length of a round.
    pub fn networks(&self) -> usize {
        self.networks.sources()
    }

    /// Whose turn it is.
    pub fn pop(&mut self) -> Option<T> {
        let network = self.networks.pop()?;
        let within = self.within.get_mut(&network)?;
        let what = within.pop();
        if within.sources() == 0 {
            self.within.remove(&network);
        }
        what
    }
}

impl<T> Default for NetworkTurns<T> {
    fn default() -> Self {
        NetworkTurns::new()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

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

    #[test]
    fn a_whole_network_gets_no_more_turns_than_one_address_of_another() {
        let mut turns = NetworkTurns::new();
        (1..=200).for_each(|host| turns.push(IpAddr::from([127, 0, 9, host]), host));
        (0..10).for_each(|_| turns.push(IpAddr::from([127, 0, 9, 1]), 250));
        (0..3).for_each(|n| turns.push(IpAddr::from([127, 0, 0, 1]), n));
        assert_eq!(turns.networks(), 2);
        let first: Vec<u8> = (0..7).filter_map(|_| turns.pop()).collect();
        assert_eq!(first, [1, 0, 2, 1, 3, 2, 4]);
        assert_eq!(std::iter::from_fn(|| turns.pop()).last(), Some(250), "its own stand in line there");
        assert!(turns.within.is_empty() && turns.networks() == 0);
    }
}
