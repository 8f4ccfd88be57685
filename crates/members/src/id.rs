//! Identity of a gatekeeper process.

use foca::Identity;

/// One incarnation of a gatekeeper: its number in the fleet and the start time of its process. Of two
/// processes with the same number the one that started later wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MemberId {
    /// Number of the gatekeeper, counted from 0.
    pub number: u16,
    /// Start time of the process, Unix time in ms.
    pub start: u64,
}

impl Identity for MemberId {
    type Addr = u16;

    fn renew(&self) -> Option<MemberId> {
        Some(MemberId { start: self.start + 1, ..*self })
    }

    fn addr(&self) -> u16 {
        self.number
    }

    fn win_addr_conflict(&self, other: &MemberId) -> bool {
        self.start > other.start
    }
}
