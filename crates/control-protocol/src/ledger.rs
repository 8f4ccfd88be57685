//! Which content each number of a configuration stands for.
//!
//! Owed to others: [`Ledger`] never names a second content under a number, and says where it no longer knows. It is the
//! same whatever the order in which the same entries come, and however often, so that a primary and its backups can't
//! come apart by words that are doubled or late.

use crate::words::{Digest, Ledger};
use std::collections::BTreeMap;

/// Numbers that are remembered, the highest of them: twice the changes of a day of hundreds, so that whatever an
/// operator still sends again is among them, and some 47 kB at most in a copy, a fifth of a second on 2 Mbit/s.
pub const NUMBERS_MAX: usize = 2_048;

/// What a ledger knows of a number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Known {
    /// It stands for no content yet.
    Free,
    /// It stands for this content.
    Content(Digest),
    /// It may stand for one, which is no longer remembered.
    Forgotten,
}

impl Ledger {
    /// One that holds these entries and knows nothing of other numbers up to `forgotten`.
    pub fn new(forgotten: Option<u32>, entries: BTreeMap<u32, Digest>) -> Ledger {
        let mut ledger = Ledger { forgotten, entries };
        ledger.forget();
        ledger
    }

    /// What is known of a number.
    pub fn known(&self, version: u32) -> Known {
        match self.entries.get(&version) {
            Some(digest) => Known::Content(*digest),
            None if self.forgotten.is_some_and(|forgotten| version <= forgotten) => Known::Forgotten,
            None => Known::Free,
        }
    }

    /// Has a number that is free stand for a content; the lowest are forgotten where there are too many. Whatever is
    /// known of a number stays.
    pub fn enter(&mut self, version: u32, digest: Digest) {
        if self.known(version) == Known::Free {
            self.entries.insert(version, digest);
            self.forget();
        }
    }

    fn forget(&mut self) {
        while self.entries.len() > NUMBERS_MAX {
            let lowest = self.entries.pop_first().map(|(version, _)| version);
            self.forgotten = self.forgotten.max(lowest);
        }
    }

    /// The highest number of which nothing is known.
    pub fn forgotten(&self) -> Option<u32> {
        self.forgotten
    }

    /// All that is known.
    pub fn entries(&self) -> &BTreeMap<u32, Digest> {
        &self.entries
    }
}
