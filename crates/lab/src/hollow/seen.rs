//! What hollow gatekeepers and servers of all threads have seen.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicI64, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Counts and times.
#[derive(Default)]
pub struct Seen {
    joins: Mutex<Vec<Duration>>,
    versions: Mutex<BTreeMap<u32, Vec<Instant>>>,
    said: Mutex<BTreeMap<&'static str, (u64, u64)>>,
    came: AtomicU64,
    sessions: AtomicI64,
    beats: AtomicU64,
    lost_beats: AtomicU64,
    first_beats: AtomicUsize,
}

/// Nobody panics with one of these locks held.
fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Seen {
    /// A gatekeeper said a word of so many bytes.
    pub fn said(&self, kind: &'static str, bytes: usize) {
        if bytes > 0 {
            let mut said = lock(&self.said);
            let (words, sum) = said.entry(kind).or_default();
            (*words, *sum) = (*words + 1, *sum + bytes as u64);
        }
    }

    /// So many bytes came to a gatekeeper.
    pub fn came(&self, bytes: u64) {
        self.came.fetch_add(bytes, Ordering::Relaxed);
    }

    /// A session is whole, or a whole one has ended.
    pub fn session(&self, up: bool) {
        self.sessions.fetch_add(if up { 1 } else { -1 }, Ordering::Relaxed);
    }

    /// A gatekeeper is ready, so long after its start.
    pub fn joined(&self, after: Duration) {
        lock(&self.joins).push(after);
    }

    /// A gatekeeper has a configuration in force.
    pub fn in_force(&self, version: u32) {
        lock(&self.versions).entry(version).or_default().push(Instant::now());
    }

    /// A server's beat was acknowledged, or not; the first one of a server.
    pub fn beat(&self, good: bool, first: bool) {
        if good {
            self.beats.fetch_add(1, Ordering::Relaxed);
            self.first_beats.fetch_add(usize::from(first), Ordering::Relaxed);
        } else {
            self.lost_beats.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Words and bytes that gatekeepers said so far, by kind.
    pub fn all_said(&self) -> BTreeMap<String, (u64, u64)> {
        lock(&self.said).iter().map(|(kind, counts)| ((*kind).to_owned(), *counts)).collect()
    }

    /// Bytes that came so far.
    pub fn all_came(&self) -> u64 {
        self.came.load(Ordering::Relaxed)
    }

    /// Sessions that are whole.
    pub fn sessions(&self) -> i64 {
        self.sessions.load(Ordering::Relaxed)
    }

    /// Beats so far that were acknowledged, and that were not.
    pub fn beats(&self) -> (u64, u64) {
        (self.beats.load(Ordering::Relaxed), self.lost_beats.load(Ordering::Relaxed))
    }

    /// Servers of which a beat was acknowledged.
    pub fn servers(&self) -> usize {
        self.first_beats.load(Ordering::Relaxed)
    }

    /// How long each ready gatekeeper took.
    pub fn joins(&self) -> Vec<Duration> {
        lock(&self.joins).clone()
    }

    /// When each gatekeeper had a version in force.
    pub fn times(&self, version: u32) -> Vec<Instant> {
        lock(&self.versions).get(&version).cloned().unwrap_or_default()
    }
}
