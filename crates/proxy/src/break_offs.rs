//! Counts of requests that were broken off at servers, by cause.
//!
//! A server that is at work on a request is left only for one of these reasons. The counts are part of what the
//! process reports when it ends.

use std::cell::Cell;
use std::fmt;

/// Why a request is broken off at a server that has not answered it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BreakOff {
    /// The client's connection is gone.
    ClientGone,
    /// The client's deadline, or the time that its route allows, is over.
    Deadline,
    /// Another server's answer has come.
    Superseded,
    /// The process is about to be killed.
    GracePeriod,
}

/// How often each has happened.
#[derive(Clone, Default)]
pub struct BreakOffs {
    counts: [Cell<u64>; 4],
}

impl BreakOffs {
    /// Counts one.
    pub fn count(&self, cause: BreakOff) {
        let count = &self.counts[cause as usize];
        count.set(count.get() + 1);
    }

    /// How often this has happened.
    pub fn get(&self, cause: BreakOff) -> u64 {
        self.counts[cause as usize].get()
    }
}

impl fmt::Display for BreakOffs {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(
            f,
            "client gone {}, deadline {}, superseded {}, grace period {}",
            self.get(BreakOff::ClientGone),
            self.get(BreakOff::Deadline),
            self.get(BreakOff::Superseded),
            self.get(BreakOff::GracePeriod),
        )
    }
}
