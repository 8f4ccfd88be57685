//! Round-robin queues: each source in turn gets one of its items served. No I/O.

use crate::clients::connections::network_of;
use std::collections::{HashMap, VecDeque};
use std::hash::Hash;
use std::net::IpAddr;

/// A FIFO queue for each source, served round-robin.
pub struct FairQueue<S, T> {
    queues: HashMap<S, VecDeque<T>>,
    /// The sources with queued items, the next to be served first.
    order: VecDeque<S>,
}

impl<S: Copy + Eq + Hash, T> FairQueue<S, T> {
    /// An empty queue.
    pub fn new() -> FairQueue<S, T> {
        FairQueue { queues: HashMap::new(), order: VecDeque::new() }
    }

    /// Queues an item of a source.
    pub fn push(&mut self, source: S, item: T) {
        let queue = self.queues.entry(source).or_default();
        if queue.is_empty() {
            self.order.push_back(source);
        }
        queue.push_back(item);
    }

    /// The number of sources with queued items, which is the length of a round.
    pub fn sources(&self) -> usize {
        self.order.len()
    }

    /// Removes the next item in round-robin order.
    pub fn pop(&mut self) -> Option<T> {
        let source = self.order.pop_front()?;
        let queue = self.queues.get_mut(&source)?;
        let item = queue.pop_front();
        if queue.is_empty() {
            self.queues.remove(&source);
        } else {
            self.order.push_back(source);
        }
        item
    }
}

impl<S: Copy + Eq + Hash, T> Default for FairQueue<S, T> {
    fn default() -> Self {
        FairQueue::new()
    }
}

/// Round-robin among networks, and in each network among its addresses, so that a client that uses a whole
/// network gets no larger share.
pub struct NetworkFairQueue<T> {
    networks: FairQueue<IpAddr, IpAddr>,
    within: HashMap<IpAddr, FairQueue<IpAddr, T>>,
}

impl<T> NetworkFairQueue<T> {
    /// An empty queue.
    pub fn new() -> NetworkFairQueue<T> {
        NetworkFairQueue { networks: FairQueue::new(), within: HashMap::new() }
    }

    /// Queues an item of an address.
    pub fn push(&mut self, from: IpAddr, item: T) {
        self.networks.push(network_of(from), network_of(from));
        self.within.entry(network_of(from)).or_default().push(from, item);
    }

    /// The number of networks with queued items, which is the length of a round.
    pub fn networks(&self) -> usize {
        self.networks.sources()
    }

    /// Removes the next item in round-robin order.
    pub fn pop(&mut self) -> Option<T> {
        let network = self.networks.pop()?;
        let within = self.within.get_mut(&network)?;
        let item = within.pop();
        if within.sources() == 0 {
            self.within.remove(&network);
        }
        item
    }
}

impl<T> Default for NetworkFairQueue<T> {
    fn default() -> Self {
        NetworkFairQueue::new()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_item_of_a_quiet_source_waits_for_at_most_one_of_each_other_source() {
        let mut queue = FairQueue::new();
        (0..1_000).for_each(|n| queue.push('a', n));
        (0..10).for_each(|n| queue.push('b', 1_000 + n));
        queue.push('c', 5_000);
        assert_eq!(queue.sources(), 3);
        let first: Vec<i32> = (0..7).filter_map(|_| queue.pop()).collect();
        assert_eq!(first, [0, 1_000, 5_000, 1, 1_001, 2, 1_002]);
        queue.push('d', 7_000);
        assert!([queue.pop(), queue.pop(), queue.pop()].contains(&Some(7_000)));
        let rest = std::iter::from_fn(|| queue.pop()).count();
        assert_eq!(rest, 1_000 + 10 + 1 + 1 - 7 - 3, "each item is served once");
        assert!(queue.queues.is_empty() && queue.order.is_empty());
    }

    #[test]
    fn a_whole_network_is_served_as_often_as_a_single_address() {
        let mut queue = NetworkFairQueue::new();
        (1..=200).for_each(|host| queue.push(IpAddr::from([127, 0, 9, host]), host));
        (0..10).for_each(|_| queue.push(IpAddr::from([127, 0, 9, 1]), 250));
        (0..3).for_each(|n| queue.push(IpAddr::from([127, 0, 0, 1]), n));
        assert_eq!(queue.networks(), 2);
        let first: Vec<u8> = (0..7).filter_map(|_| queue.pop()).collect();
        assert_eq!(first, [1, 0, 2, 1, 3, 2, 4]);
        assert_eq!(
            std::iter::from_fn(|| queue.pop()).last(),
            Some(250),
            "an address with many items delays only its own network"
        );
        assert!(queue.within.is_empty() && queue.networks() == 0);
    }
}
