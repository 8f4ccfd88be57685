//! Counts of aborted attempts, by cause.
//!
//! An attempt in progress at a server is aborted only for one of these causes. The process logs the counts
//! when it exits.

use std::cell::Cell;
use std::fmt;

/// Why an attempt was aborted before the server responded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AbortCause {
    /// The client's connection was closed.
    ClientGone,
    /// The client's deadline or the timeout of the route has passed.
    Deadline,
    /// Another attempt of the same request has been answered.
    Superseded,
    /// The grace period of the shutdown is about to end.
    GracePeriod,
}

/// Number of aborted attempts by cause.
#[derive(Clone, Default)]
pub struct AbortCounts {
    counts: [Cell<u64>; 4],
}

impl AbortCounts {
    /// Counts one aborted attempt.
    pub fn count(&self, cause: AbortCause) {
        let count = &self.counts[cause as usize];
        count.set(count.get() + 1);
    }

    /// Returns the count for a cause.
    pub fn get(&self, cause: AbortCause) -> u64 {
        self.counts[cause as usize].get()
    }
}

impl fmt::Display for AbortCounts {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(
            f,
            "client gone {}, deadline {}, superseded {}, grace period {}",
            self.get(AbortCause::ClientGone),
            self.get(AbortCause::Deadline),
            self.get(AbortCause::Superseded),
            self.get(AbortCause::GracePeriod),
        )
    }
}
