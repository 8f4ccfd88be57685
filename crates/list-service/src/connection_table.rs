//! Whose connections may stay where there are as many as there may be. No I/O.

use std::collections::BTreeMap;

/// One connection's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Nothing whole has come since this turn.
    Waits(u64),
    /// A call of it is at work, or a watch.
    Works,
}

/// All connections, by number.
pub struct Doors {
    most: usize,
    turn: u64,
    all: BTreeMap<u64, State>,
}

/// What becomes of a newcomer.
#[derive(Debug, PartialEq, Eq)]
pub enum Admitted {
    /// It has this number.
    As(u64),
    /// It has the first number, and the second one's connection is to be closed for it.
    InPlaceOf(u64, u64),
    /// All others are at work.
    No,
}

impl Doors {
    /// For so many connections.
    pub fn new(most: usize) -> Doors {
        Doors { most, turn: 0, all: BTreeMap::new() }
    }

    /// How many there are.
    pub fn open(&self) -> usize {
        self.all.len()
    }

    /// Whether lists may still be served: the last quarter is for those that write.
    pub fn has_room_for_lists(&self) -> bool {
        self.all.len() <= self.most - self.most / 4
    }

    /// Somebody connects.
    pub fn admit(&mut self) -> Admitted {
        self.turn += 1;
        let number = self.turn;
        let mut longest = None;
        if self.all.len() >= self.most {
            let waits = self.all.iter().filter_map(|(number, state)| match state {
                State::Waits(since) => Some((*since, *number)),
                State::Works => None,
            });
            let Some((_, number)) = waits.min() else { return Admitted::No };
            self.all.remove(&number);
            longest = Some(number);
        }
        self.all.insert(number, State::Waits(number));
        match longest {
            Some(other) => Admitted::InPlaceOf(number, other),
            None => Admitted::As(number),
        }
    }

    /// A call has come, or is done with.
    pub fn works(&mut self, number: u64, works: bool) {
        self.turn += 1;
        let state = if works { State::Works } else { State::Waits(self.turn) };
        self.all.entry(number).and_modify(|it| *it = state);
    }

    /// It has ended.
    pub fn leaves(&mut self, number: u64) {
        self.all.remove(&number);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_one_that_waits_the_longest_makes_room_and_none_at_work_does() {
        let mut doors = Doors::new(4);
        for number in 1..=4 {
            assert_eq!(doors.admit(), Admitted::As(number));
        }
        assert!(!doors.has_room_for_lists());
        doors.works(1, true);
        doors.works(2, true);
        doors.works(2, false);
        assert_eq!(doors.admit(), Admitted::InPlaceOf(7 + 1, 3));
        assert_eq!(doors.open(), 4);
        doors.works(2, true);
        doors.works(4, true);
        doors.works(8, true);
        assert_eq!(doors.admit(), Admitted::No);
        doors.leaves(8);
        doors.works(3, true);
        assert_eq!(doors.open(), 3, "one that was sent away does not come back");
        assert!(doors.has_room_for_lists());
    }
}
