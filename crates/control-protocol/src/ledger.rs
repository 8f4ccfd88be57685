//! Records which content each configuration version identifies.
//!
//! [`Ledger`] guarantees that a version never identifies a second content, and reports when it no longer
//! knows. Its state doesn't depend on the order in which entries arrive or how often, so that a primary and
//! its backups stay identical when messages are duplicated or delayed.

use crate::messages::{Digest, Ledger};
use std::collections::BTreeMap;

/// Versions that are remembered, the highest ones. This is twice the number of changes on a day with hundreds
/// of them, so that a change which an operator still resends is among them. A snapshot then takes some 47 kB
/// at most, which is a fifth of a second at 2 Mbit/s.
pub const VERSIONS_MAX: usize = 2_048;

/// What a ledger knows about a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionState {
    /// It identifies no content yet.
    Free,
    /// It identifies this content.
    Content(Digest),
    /// It may identify a content, but the entry has been evicted.
    Forgotten,
}

impl Ledger {
    /// Creates a ledger with these entries. Other versions up to `forgotten` count as evicted.
    pub fn new(forgotten: Option<u32>, entries: BTreeMap<u32, Digest>) -> Ledger {
        let mut ledger = Ledger { forgotten, entries };
        ledger.evict();
        ledger
    }

    /// Looks up a version.
    pub fn lookup(&self, version: u32) -> VersionState {
        match self.entries.get(&version) {
            Some(digest) => VersionState::Content(*digest),
            None if self.forgotten.is_some_and(|forgotten| version <= forgotten) => VersionState::Forgotten,
            None => VersionState::Free,
        }
    }

    /// Binds a free version to a content and evicts the lowest versions above the limit. A version that is
    /// not free is left unchanged.
    pub fn record(&mut self, version: u32, digest: Digest) {
        if self.lookup(version) == VersionState::Free {
            self.entries.insert(version, digest);
            self.evict();
        }
    }

    fn evict(&mut self) {
        while self.entries.len() > VERSIONS_MAX {
            let lowest = self.entries.pop_first().map(|(version, _)| version);
            self.forgotten = self.forgotten.max(lowest);
        }
    }

    /// The highest version whose entry may have been evicted.
    pub fn forgotten(&self) -> Option<u32> {
        self.forgotten
    }

    /// All entries, by version.
    pub fn entries(&self) -> &BTreeMap<u32, Digest> {
        &self.entries
    }
}
