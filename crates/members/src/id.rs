//! Who a gatekeeper's process is.

use foca::Identity;

/// One process of a gatekeeper: its number in the fleet, and when it started, Unix time in ms. Of two with the same number
/// the one that started later is believed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Id {
    /// Its number, from 0.
    pub number: u16,
    /// When it started.
    pub start: u64,
}

impl Identity for Id {
    type Addr = u16;

    fn renew(&self) -> Option<Id> {
        Some(Id { start: self.start + 1, ..*self })
    }

    fn addr(&self) -> u16 {
        self.number
    }

    fn win_addr_conflict(&self, other: &Id) -> bool {
        self.start > other.start
    }
}
