//! The published list and a bounded history of its changes, which all watchers share. Performs no I/O.

use bytes::Bytes;
use granitelead_list::messages::{HostList, Revision, Target};
use std::collections::{BTreeMap, HashSet, VecDeque};

/// Number of changes kept for watchers that reconnect.
pub const HISTORY_MAX: usize = 4_096;
/// Maximum number of rendered deltas that are cached.
const CACHED_DELTAS_MAX: usize = 64;

/// A position in the sequence of versions, such as the one up to which a watcher has received the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// See [`HostList::epoch`].
    pub epoch: u64,
    /// Version of the list.
    pub rev: u64,
}

struct Entry {
    /// Version in which the server last changed.
    rev: u64,
    target: Target,
}

/// The published list and its recent changes.
pub struct ChangeFeed {
    position: Position,
    is_mirror: bool,
    /// The servers by uid; a removed one stays as long as the history contains it.
    entries: BTreeMap<String, Entry>,
    /// The last changes: version and uid.
    history: VecDeque<(u64, String)>,
    history_max: usize,
    /// Watchers at an older version than this need the full list.
    oldest_rev: u64,
    /// The rendered full list, if it is cached.
    full_list: Option<Bytes>,
    /// Rendered deltas to the current version, by the version from which they start.
    cached_deltas: Vec<(u64, Bytes)>,
}

impl ChangeFeed {
    /// Starts with `list` at `position` and an empty history of at most `history_max` changes.
    pub fn new(
        position: Position,
        list: impl IntoIterator<Item = Target>,
        is_mirror: bool,
        history_max: usize,
    ) -> ChangeFeed {
        let entry = |target: Target| (target.uid.clone(), Entry { rev: position.rev, target });
        ChangeFeed {
            position,
            is_mirror,
            entries: list.into_iter().map(entry).collect(),
            history: VecDeque::new(),
            history_max,
            oldest_rev: position.rev,
            full_list: None,
            cached_deltas: Vec::new(),
        }
    }

    /// The newest version.
    pub fn position(&self) -> Position {
        self.position
    }

    /// The servers listed.
    pub fn listed(&self) -> impl Iterator<Item = &Target> {
        self.entries.values().map(|entry| &entry.target).filter(|target| !target.is_removed())
    }

    /// Publishes the state of a server in version `rev`, which is a new version or the newest one.
    pub fn publish(&mut self, rev: u64, target: Target) {
        self.history.push_back((rev, target.uid.clone()));
        self.entries.insert(target.uid.clone(), Entry { rev, target });
        self.advance_to(rev);
    }

    /// Sets the newest version, clears the caches and trims the history.
    fn advance_to(&mut self, rev: u64) {
        self.position.rev = rev;
        self.full_list = None;
        self.cached_deltas.clear();
        while self.history.len() > self.history_max {
            let Some((rev, uid)) = self.history.pop_front() else { break };
            self.oldest_rev = rev;
            // No watcher can need this removal any more.
            if self.entries.get(&uid).is_some_and(|entry| entry.rev <= rev && entry.target.is_removed()) {
                self.entries.remove(&uid);
            }
        }
    }

    /// Applies a full list or a delta received from another list service.
    pub fn apply(&mut self, list: HostList) {
        let epoch = list.epoch.unwrap_or(0);
        if epoch != self.position.epoch {
            let position = Position { epoch, rev: list.rev };
            *self = ChangeFeed::new(position, list.targets, self.is_mirror, self.history_max);
            return;
        }
        if list.all {
            let listed: HashSet<&str> = list.targets.iter().map(|target| target.uid.as_str()).collect();
            let removed: Vec<Target> =
                self.listed().filter(|target| !listed.contains(target.uid.as_str())).cloned().collect();
            for target in removed {
                self.publish(list.rev, Target { state: "removed".into(), ..target });
            }
        }
        for target in list.targets {
            if self.entries.get(&target.uid).is_none_or(|entry| entry.target != target) {
                self.publish(list.rev, target);
            }
        }
        self.advance_to(list.rev);
    }

    /// The newest version as a response.
    pub fn revision(&self, stale_ms: u64) -> Revision {
        Revision { rev: self.position.rev, epoch: self.position.epoch, stale_ms }
    }

    /// The full list as a JSON line.
    pub fn full_list(&mut self) -> Bytes {
        let line = self.full_list.take().unwrap_or_else(|| self.render_full_list(None));
        self.full_list = Some(line.clone());
        line
    }

    /// The full list as a JSON line that states how stale it is.
    pub fn stale_full_list(&self, stale_ms: u64) -> Bytes {
        self.render_full_list(Some(stale_ms))
    }

    fn render_full_list(&self, stale_ms: Option<u64>) -> Bytes {
        let targets = self.listed().cloned().collect();
        self.render(HostList { all: true, stale_ms, targets, ..HostList::default() })
    }

    /// Returns the line that brings a watcher at `position` to the newest version, or none if it is already
    /// there, and advances `position` to the newest version.
    pub fn next_line(&mut self, position: &mut Position) -> Option<Bytes> {
        let from = std::mem::replace(position, self.position);
        if from.epoch != self.position.epoch || from.rev < self.oldest_rev {
            return Some(self.full_list());
        }
        if from.rev >= self.position.rev {
            return None;
        }
        if let Some((_, line)) = self.cached_deltas.iter().find(|(rev, _)| *rev == from.rev) {
            return Some(line.clone());
        }
        let first = self.history.partition_point(|(rev, _)| *rev <= from.rev);
        let mut seen = HashSet::new();
        let changed = self.history.range(first..).filter(|(_, uid)| seen.insert(uid.as_str()));
        let targets = changed.filter_map(|(_, uid)| Some(self.entries.get(uid)?.target.clone())).collect();
        let line = self.render(HostList { targets, ..HostList::default() });
        if self.cached_deltas.len() < CACHED_DELTAS_MAX {
            self.cached_deltas.push((from.rev, line.clone()));
        }
        Some(line)
    }

    /// An empty delta that states how stale the list is.
    pub fn stale_heartbeat(&self, stale_ms: u64) -> Bytes {
        self.render(HostList { stale_ms: Some(stale_ms), ..HostList::default() })
    }

    fn render(&self, list: HostList) -> Bytes {
        let list = HostList {
            rev: self.position.rev,
            epoch: Some(self.position.epoch),
            mirror: self.is_mirror,
            ..list
        };
        // Serializing a list can't fail.
        let mut line = serde_json::to_vec(&list).unwrap_or_default();
        line.push(b'\n');
        line.into()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::registry::tests::{call, UNIX};
    use crate::registry::{Record, Registry};
    use granitelead_list::messages::{LeaseRequest, RegisterRequest};

    /// The list as received by one watcher.
    #[derive(Default)]
    struct Watcher {
        position: Option<Position>,
        list: BTreeMap<String, Target>,
    }

    impl Watcher {
        /// Reads all pending lines and checks that no change is received twice.
        fn read(&mut self, feed: &mut ChangeFeed) {
            let mut position = self.position.unwrap_or(Position { epoch: 0, rev: 0 });
            while let Some(line) = feed.next_line(&mut position) {
                assert_eq!(line.last(), Some(&b'\n'));
                let list: HostList = serde_json::from_slice(&line).unwrap();
                assert!(self
                    .position
                    .is_none_or(|position| list.rev > position.rev || list.epoch != Some(position.epoch)));
                if list.all {
                    self.list.clear();
                }
                for target in list.targets {
                    let uid = target.uid.clone();
                    let is_new = self.position.is_none_or(|position| feed.entries[&uid].rev > position.rev);
                    assert!(list.all || is_new, "change sent twice");
                    if target.is_removed() {
                        self.list.remove(&uid);
                    } else {
                        self.list.insert(uid, target);
                    }
                }
                self.position = Some(position);
            }
        }

        fn matches(&self, feed: &ChangeFeed) -> bool {
            self.list.values().eq(feed.listed())
        }
    }

    /// Makes a random request to the registry; returns the resulting changes.
    fn random_request(
        rng: &mut fastrand::Rng,
        registry: &mut Registry,
        leases: &mut Vec<LeaseRequest>,
    ) -> Vec<Record> {
        let uid = format!("s{}", rng.u32(..12));
        let held = leases.iter().position(|lease| lease.uid == uid);
        let result = match (rng.u32(..4), held) {
            (0 | 1, _) | (_, None) => {
                let boot_ms = registry.counters().0 * u64::from(rng.bool());
                let call = RegisterRequest { capacity_hint: f64::from(rng.u32(1..3)), ..call(&uid, boot_ms) };
                registry.register(0, UNIX, call).map(|(grant, record)| {
                    leases.retain(|lease| lease.uid != uid);
                    leases.push(LeaseRequest { uid, lease: grant.lease });
                    record
                })
            }
            (2, Some(held)) => registry.drain(0, &leases[held]).map(|(_, record)| record),
            (_, Some(held)) => registry.deregister(&leases.swap_remove(held)).map(|(_, record)| record),
        };
        // A request of a former process is refused and changes nothing.
        result.ok().flatten().into_iter().collect()
    }

    /// Covers random orders of changes, delayed disk writes, watchers that read at any time and switch to a
    /// mirror and back, short histories, and restarts with or without a new epoch.
    #[test]
    fn every_watcher_converges_to_the_list_in_any_order_of_events() {
        for seed in 0..300 {
            let mut rng = fastrand::Rng::with_seed(seed);
            let history = rng.usize(1..20);
            let mut epoch = 100;
            let mut registry = Registry::new((0, 0), [], 1_000, 0);
            let mut feed = ChangeFeed::new(Position { epoch, rev: 0 }, [], false, history);
            let mut mirror = ChangeFeed::new(Position { epoch: 0, rev: 0 }, [], true, history);
            let mut mirror_position = Position { epoch: 0, rev: 0 };
            let (mut leases, mut pending) = (Vec::new(), Vec::new());
            let mut watchers: Vec<Watcher> = (0..6).map(|_| Watcher::default()).collect();
            let mut highest = 0;
            for _ in 0..200 {
                match rng.u32(..10) {
                    0..=4 => pending.extend(random_request(&mut rng, &mut registry, &mut leases)),
                    5 => {
                        for record in pending.drain(..) {
                            assert!(record.rev > highest, "a version is used twice");
                            highest = record.rev;
                            feed.publish(record.rev, record.target);
                        }
                    }
                    6 => {
                        if let Some(line) = feed.next_line(&mut mirror_position) {
                            mirror.apply(serde_json::from_slice(&line).unwrap());
                        }
                    }
                    7 | 8 => {
                        let one = rng.usize(..watchers.len());
                        watchers[one].read(&mut feed);
                        assert!(watchers[one].matches(&feed), "seed {seed}");
                    }
                    _ if rng.u32(..8) == 0 => {
                        // A restart: changes that were not on disk had not been published.
                        pending.clear();
                        let saved: Vec<Target> = feed.listed().cloned().collect();
                        let rev = highest.max(registry.counters().0) + 10;
                        epoch += u64::from(rng.bool());
                        let record = |target: Target| Record { rev, lease: 1, ttl_ms: 5_000, target };
                        registry = Registry::new((rev, rev), saved.iter().cloned().map(record), 1_000, 0);
                        leases.clear();
                        feed = ChangeFeed::new(Position { epoch, rev }, saved, false, history);
                    }
                    _ => {
                        // A watcher switches to the mirror, unless that lags behind the watcher.
                        let one = rng.usize(..watchers.len());
                        if watchers[one].position.is_none_or(|p| {
                            p.epoch == mirror.position().epoch && p.rev <= mirror.position().rev
                        }) && mirror.position().epoch > 0
                        {
                            watchers[one].position = None;
                            watchers[one].list.clear();
                            watchers[one].read(&mut mirror);
                            assert!(watchers[one].matches(&mirror), "seed {seed}");
                        }
                    }
                }
                assert!(feed.history.len() <= history && feed.entries.len() <= 12 + history);
                assert!(mirror.history.len() <= history.max(12) && mirror.entries.len() <= 24 + history);
            }
            pending.drain(..).for_each(|record| feed.publish(record.rev, record.target));
            while let Some(line) = feed.next_line(&mut mirror_position) {
                mirror.apply(serde_json::from_slice(&line).unwrap());
            }
            assert_eq!(
                (mirror.position(), mirror.listed().count()),
                (feed.position(), feed.listed().count())
            );
            for watcher in &mut watchers {
                watcher.read(&mut feed);
                assert!(watcher.matches(&feed) && watcher.matches(&mirror), "seed {seed}");
            }
        }
    }

    #[test]
    fn changes_are_merged_and_a_version_before_the_history_gets_the_full_list() {
        let mut feed = ChangeFeed::new(Position { epoch: 9, rev: 0 }, [], false, 4);
        let target = |uid: &str, state: &str| -> Target {
            serde_json::from_str(&format!(r#"{{"uid":"{uid}","state":"{state}"}}"#)).unwrap()
        };
        for rev in 1..=3 {
            feed.publish(rev, target("a", "up"));
        }
        feed.publish(4, target("b", "removed"));
        let mut position = Position { epoch: 9, rev: 1 };
        let line: HostList = serde_json::from_slice(&feed.next_line(&mut position).unwrap()).unwrap();
        let uids: Vec<_> = line.targets.iter().map(|t| t.uid.as_str()).collect();
        assert_eq!((line.rev, line.all, uids), (4, false, vec!["a", "b"]));
        assert_eq!((position.rev, feed.next_line(&mut position)), (4, None));
        feed.publish(5, target("c", "up"));
        let mut position = Position { epoch: 9, rev: 0 };
        let line: HostList = serde_json::from_slice(&feed.next_line(&mut position).unwrap()).unwrap();
        assert!(line.all && line.targets.len() == 2);
        // The same version of another epoch is a different one.
        let mut position = Position { epoch: 8, rev: 5 };
        let line: HostList = serde_json::from_slice(&feed.next_line(&mut position).unwrap()).unwrap();
        assert!(line.all && position == feed.position());
    }
}
