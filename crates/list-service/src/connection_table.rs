//! Limits the number of connections: when the limit is reached, a new connection replaces the one that has
//! been idle longest. Performs no I/O.

use std::collections::BTreeMap;

/// State of one connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// No complete request has been received since this sequence number.
    Idle(u64),
    /// A request or a watch is being served.
    Busy,
}

/// The open connections.
pub struct ConnectionTable {
    limit: usize,
    /// Sequence number of the last event.
    sequence: u64,
    /// State of each connection, by its number.
    connections: BTreeMap<u64, State>,
}

/// Decision about a new connection.
#[derive(Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is accepted under this number.
    Accepted(u64),
    /// It is accepted under the first number, and the connection with the second number has to be closed.
    Replaced(u64, u64),
    /// It is refused, as all other connections are busy.
    Refused,
}

impl ConnectionTable {
    /// A table for at most `limit` connections.
    pub fn new(limit: usize) -> ConnectionTable {
        ConnectionTable { limit, sequence: 0, connections: BTreeMap::new() }
    }

    /// Number of open connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Whether requests for the list are accepted; the last quarter of the connections is reserved for
    /// servers that register, renew, drain or deregister.
    pub fn accepts_list_requests(&self) -> bool {
        self.connections.len() <= self.limit - self.limit / 4
    }

    /// Decides about a new connection and adds it to the table if it is accepted.
    pub fn admit(&mut self) -> Admission {
        self.sequence += 1;
        let number = self.sequence;
        let mut evicted = None;
        if self.connections.len() >= self.limit {
            let idle = self.connections.iter().filter_map(|(number, state)| match state {
                State::Idle(since) => Some((*since, *number)),
                State::Busy => None,
            });
            let Some((_, number)) = idle.min() else { return Admission::Refused };
            self.connections.remove(&number);
            evicted = Some(number);
        }
        self.connections.insert(number, State::Idle(number));
        match evicted {
            Some(other) => Admission::Replaced(number, other),
            None => Admission::Accepted(number),
        }
    }

    /// Marks a connection as busy when a request arrives, and as idle when the response has been written.
    pub fn set_busy(&mut self, number: u64, is_busy: bool) {
        self.sequence += 1;
        let state = if is_busy { State::Busy } else { State::Idle(self.sequence) };
        self.connections.entry(number).and_modify(|current| *current = state);
    }

    /// Removes a connection that has ended.
    pub fn remove(&mut self, number: u64) {
        self.connections.remove(&number);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_connection_idle_longest_is_replaced_and_a_busy_one_never_is() {
        let mut table = ConnectionTable::new(4);
        for number in 1..=4 {
            assert_eq!(table.admit(), Admission::Accepted(number));
        }
        assert!(!table.accepts_list_requests());
        table.set_busy(1, true);
        table.set_busy(2, true);
        table.set_busy(2, false);
        assert_eq!(table.admit(), Admission::Replaced(7 + 1, 3));
        assert_eq!(table.len(), 4);
        table.set_busy(2, true);
        table.set_busy(4, true);
        table.set_busy(8, true);
        assert_eq!(table.admit(), Admission::Refused);
        table.remove(8);
        table.set_busy(3, true);
        assert_eq!(table.len(), 3, "a closed connection is not added again");
        assert!(table.accepts_list_requests());
    }
}
