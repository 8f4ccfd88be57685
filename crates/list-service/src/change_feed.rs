//! The list as it is told, and the last changes in one ring that all watchers share. No I/O.

use bytes::Bytes;
use granitelead_list::forms::{HostList, Revision, Target};
use std::collections::{BTreeMap, HashSet, VecDeque};

/// Changes kept for watchers that were away.
pub const RING: usize = 4_096;
/// Lines of changes kept once rendered.
const RENDERED_MAX: usize = 64;

/// Up to where a watcher has been told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// See [`HostList::epoch`].
    pub epoch: u64,
    /// The version.
    pub rev: u64,
}

struct Entry {
    rev: u64,
    target: Target,
}

/// What is told.
pub struct Board {
    at: Position,
    mirror: bool,
    /// By uid; those removed for as long as the ring names them.
    entries: BTreeMap<String, Entry>,
    ring: VecDeque<(u64, String)>,
    ring_max: usize,
    /// Watchers up to here need the whole list.
    floor: u64,
    whole: Option<Bytes>,
    changes: Vec<(u64, Bytes)>,
}

impl Board {
    /// Begins with a list at a version.
    pub fn new(at: Position, list: impl IntoIterator<Item = Target>, mirror: bool, ring_max: usize) -> Board {
        let entry = |target: Target| (target.uid.clone(), Entry { rev: at.rev, target });
        Board {
            at,
            mirror,
            entries: list.into_iter().map(entry).collect(),
            ring: VecDeque::new(),
            ring_max,
            floor: at.rev,
            whole: None,
            changes: Vec::new(),
        }
    }

    /// The newest version.
    pub fn at(&self) -> Position {
        self.at
    }

    /// The servers listed.
    pub fn listed(&self) -> impl Iterator<Item = &Target> {
        self.entries.values().map(|entry| &entry.target).filter(|target| !target.is_removed())
    }

    /// A server is listed like this from a version on, which is the newest, or the newest already.
    pub fn publish(&mut self, rev: u64, target: Target) {
        self.ring.push_back((rev, target.uid.clone()));
        self.entries.insert(target.uid.clone(), Entry { rev, target });
        self.come_to(rev);
    }

    fn come_to(&mut self, rev: u64) {
        self.at.rev = rev;
        self.whole = None;
        self.changes.clear();
        while self.ring.len() > self.ring_max {
            let Some((rev, uid)) = self.ring.pop_front() else { break };
            self.floor = rev;
            // Nobody can ask any more what has become of it.
            if self.entries.get(&uid).is_some_and(|entry| entry.rev <= rev && entry.target.is_removed()) {
                self.entries.remove(&uid);
            }
        }
    }

    /// Takes in what another board tells.
    pub fn follow(&mut self, list: HostList) {
        let epoch = list.epoch.unwrap_or(0);
        if epoch != self.at.epoch {
            let at = Position { epoch, rev: list.rev };
            *self = Board::new(at, list.targets, self.mirror, self.ring_max);
            return;
        }
        if list.all {
            let named: HashSet<&str> = list.targets.iter().map(|target| target.uid.as_str()).collect();
            let gone: Vec<Target> =
                self.listed().filter(|target| !named.contains(target.uid.as_str())).cloned().collect();
            for target in gone {
                self.publish(list.rev, Target { state: "removed".into(), ..target });
            }
        }
        for target in list.targets {
            if self.entries.get(&target.uid).is_none_or(|entry| entry.target != target) {
                self.publish(list.rev, target);
            }
        }
        self.come_to(list.rev);
    }

    /// The version alone.
    pub fn revision(&self, stale_ms: u64) -> Revision {
        Revision { rev: self.at.rev, epoch: self.at.epoch, stale_ms }
    }

    /// The whole list.
    pub fn whole(&mut self) -> Bytes {
        let line = self.whole.take().unwrap_or_else(|| self.whole_line(None));
        self.whole = Some(line.clone());
        line
    }

    /// The same, with how stale it is.
    pub fn stale_whole(&self, stale_ms: u64) -> Bytes {
        self.whole_line(Some(stale_ms))
    }

    fn whole_line(&self, stale_ms: Option<u64>) -> Bytes {
        let targets = self.listed().cloned().collect();
        self.line(HostList { all: true, stale_ms, targets, ..HostList::default() })
    }

    /// What a watcher has yet to be told, in one line; none if nothing. It is then at the newest version.
    pub fn next(&mut self, told: &mut Position) -> Option<Bytes> {
        let from = std::mem::replace(told, self.at);
        if from.epoch != self.at.epoch || from.rev < self.floor {
            return Some(self.whole());
        }
        if from.rev >= self.at.rev {
            return None;
        }
        if let Some((_, line)) = self.changes.iter().find(|(rev, _)| *rev == from.rev) {
            return Some(line.clone());
        }
        let first = self.ring.partition_point(|(rev, _)| *rev <= from.rev);
        let mut named = HashSet::new();
        let changed = self.ring.range(first..).filter(|(_, uid)| named.insert(uid.as_str()));
        let targets = changed.filter_map(|(_, uid)| Some(self.entries.get(uid)?.target.clone())).collect();
        let line = self.line(HostList { targets, ..HostList::default() });
        if self.changes.len() < RENDERED_MAX {
            self.changes.push((from.rev, line.clone()));
        }
        Some(line)
    }

    /// A change of nothing that tells how stale the list is.
    pub fn stale(&self, stale_ms: u64) -> Bytes {
        self.line(HostList { stale_ms: Some(stale_ms), ..HostList::default() })
    }

    fn line(&self, list: HostList) -> Bytes {
        let list = HostList { rev: self.at.rev, epoch: Some(self.at.epoch), mirror: self.mirror, ..list };
        // Such a list always has a form.
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
    use granitelead_list::forms::{OnLease, Register};

    /// What a watcher has of the list.
    #[derive(Default)]
    struct Watcher {
        told: Option<Position>,
        list: BTreeMap<String, Target>,
    }

    impl Watcher {
        /// Reads all that there is for it; a change that it has been told already is none.
        fn read(&mut self, board: &mut Board) {
            let mut told = self.told.unwrap_or(Position { epoch: 0, rev: 0 });
            while let Some(line) = board.next(&mut told) {
                assert_eq!(line.last(), Some(&b'\n'));
                let list: HostList = serde_json::from_slice(&line).unwrap();
                assert!(self.told.is_none_or(|told| list.rev > told.rev || list.epoch != Some(told.epoch)));
                if list.all {
                    self.list.clear();
                }
                for target in list.targets {
                    let uid = target.uid.clone();
                    let after = self.told.is_none_or(|told| board.entries[&uid].rev > told.rev);
                    assert!(list.all || after, "shown twice");
                    if target.is_removed() {
                        self.list.remove(&uid);
                    } else {
                        self.list.insert(uid, target);
                    }
                }
                self.told = Some(told);
            }
        }

        fn has(&self, board: &Board) -> bool {
            self.list.values().eq(board.listed())
        }
    }

    /// Does something to the leases at random; gives what has changed.
    fn change(rng: &mut fastrand::Rng, registry: &mut Registry, leases: &mut Vec<OnLease>) -> Vec<Record> {
        let uid = format!("s{}", rng.u32(..12));
        let held = leases.iter().position(|lease| lease.uid == uid);
        let done = match (rng.u32(..4), held) {
            (0 | 1, _) | (_, None) => {
                let boot_ms = registry.at().0 * u64::from(rng.bool());
                let call = Register { capacity_hint: f64::from(rng.u32(1..3)), ..call(&uid, boot_ms) };
                registry.register(0, UNIX, call).map(|(told, record)| {
                    leases.retain(|lease| lease.uid != uid);
                    leases.push(OnLease { uid, lease: told.lease });
                    record
                })
            }
            (2, Some(held)) => registry.drain(0, &leases[held]).map(|(_, record)| record),
            (_, Some(held)) => registry.deregister(&leases.swap_remove(held)).map(|(_, record)| record),
        };
        // What an old process asks for is refused, and no change.
        done.ok().flatten().into_iter().collect()
    }

    /// Any order of changes, of disks written late, of watchers that read when they like, break off and go to
    /// a mirror and back, of a small ring, and of starts with the leases that were kept or without.
    #[test]
    fn every_watcher_comes_to_the_list_whatever_the_order() {
        for seed in 0..300 {
            let mut rng = fastrand::Rng::with_seed(seed);
            let ring = rng.usize(1..20);
            let mut epoch = 100;
            let mut registry = Registry::new((0, 0), [], 1_000, 0);
            let mut board = Board::new(Position { epoch, rev: 0 }, [], false, ring);
            let mut mirror = Board::new(Position { epoch: 0, rev: 0 }, [], true, ring);
            let mut mirrored = Position { epoch: 0, rev: 0 };
            let (mut leases, mut pending) = (Vec::new(), Vec::new());
            let mut watchers: Vec<Watcher> = (0..6).map(|_| Watcher::default()).collect();
            let mut highest = 0;
            for _ in 0..200 {
                match rng.u32(..10) {
                    0..=4 => pending.extend(change(&mut rng, &mut registry, &mut leases)),
                    5 => {
                        for record in pending.drain(..) {
                            assert!(record.rev > highest, "a version is used twice");
                            highest = record.rev;
                            board.publish(record.rev, record.target);
                        }
                    }
                    6 => {
                        if let Some(line) = board.next(&mut mirrored) {
                            mirror.follow(serde_json::from_slice(&line).unwrap());
                        }
                    }
                    7 | 8 => {
                        let one = rng.usize(..watchers.len());
                        watchers[one].read(&mut board);
                        assert!(watchers[one].has(&board), "seed {seed}");
                    }
                    _ if rng.u32(..8) == 0 => {
                        // A start: what was not on the disk was told to nobody.
                        pending.clear();
                        let kept: Vec<Target> = board.listed().cloned().collect();
                        let rev = highest.max(registry.at().0) + 10;
                        epoch += u64::from(rng.bool());
                        let record = |target: Target| Record { rev, lease: 1, ttl_ms: 5_000, target };
                        registry = Registry::new((rev, rev), kept.iter().cloned().map(record), 1_000, 0);
                        leases.clear();
                        board = Board::new(Position { epoch, rev }, kept, false, ring);
                    }
                    _ => {
                        // A watcher that goes to the mirror, which may lag and is then of no use to it.
                        let one = rng.usize(..watchers.len());
                        if watchers[one]
                            .told
                            .is_none_or(|t| t.epoch == mirror.at().epoch && t.rev <= mirror.at().rev)
                            && mirror.at().epoch > 0
                        {
                            watchers[one].told = None;
                            watchers[one].list.clear();
                            watchers[one].read(&mut mirror);
                            assert!(watchers[one].has(&mirror), "seed {seed}");
                        }
                    }
                }
                assert!(board.ring.len() <= ring && board.entries.len() <= 12 + ring);
                assert!(mirror.ring.len() <= ring.max(12) && mirror.entries.len() <= 24 + ring);
            }
            pending.drain(..).for_each(|record| board.publish(record.rev, record.target));
            while let Some(line) = board.next(&mut mirrored) {
                mirror.follow(serde_json::from_slice(&line).unwrap());
            }
            assert_eq!((mirror.at(), mirror.listed().count()), (board.at(), board.listed().count()));
            for watcher in &mut watchers {
                watcher.read(&mut board);
                assert!(watcher.has(&board) && watcher.has(&mirror), "seed {seed}");
            }
        }
    }

    #[test]
    fn changes_are_merged_and_too_old_a_version_gets_the_whole_list() {
        let mut board = Board::new(Position { epoch: 9, rev: 0 }, [], false, 4);
        let target = |uid: &str, state: &str| -> Target {
            serde_json::from_str(&format!(r#"{{"uid":"{uid}","state":"{state}"}}"#)).unwrap()
        };
        for rev in 1..=3 {
            board.publish(rev, target("a", "up"));
        }
        board.publish(4, target("b", "removed"));
        let mut at = Position { epoch: 9, rev: 1 };
        let line: HostList = serde_json::from_slice(&board.next(&mut at).unwrap()).unwrap();
        let uids: Vec<_> = line.targets.iter().map(|t| t.uid.as_str()).collect();
        assert_eq!((line.rev, line.all, uids), (4, false, vec!["a", "b"]));
        assert_eq!((at.rev, board.next(&mut at)), (4, None));
        board.publish(5, target("c", "up"));
        let mut at = Position { epoch: 9, rev: 0 };
        let line: HostList = serde_json::from_slice(&board.next(&mut at).unwrap()).unwrap();
        assert!(line.all && line.targets.len() == 2);
        // The same version of another list is not this one.
        let mut at = Position { epoch: 8, rev: 5 };
        let line: HostList = serde_json::from_slice(&board.next(&mut at).unwrap()).unwrap();
        assert!(line.all && at == board.at());
    }
}
