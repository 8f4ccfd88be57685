//! Persistent state of the list service: a snapshot of the leases and a log of the changes since. Each line
//! of these files has a checksum.

use crate::registry::{Record, LEASES_MAX};
use rustix::fs::{flock, FlockOperation};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// Size of the log, in bytes, above which a new snapshot is written and the log is restarted.
pub const LOG_SIZE_MAX: u64 = 1 << 20;
/// Maximum size of a file that is read, in bytes; larger than any snapshot or log that is written.
const FILE_SIZE_MAX: u64 = 64 << 20;
const SNAPSHOT: &str = "snapshot";
const LOG: &str = "log";
const LOCK: &str = "lock";

/// The first line of a snapshot.
#[derive(Serialize, Deserialize)]
struct SnapshotHead {
    epoch: u64,
    rev: u64,
    lease: u64,
    leases: usize,
}

/// The first line of a log.
#[derive(Serialize, Deserialize)]
struct LogHead {
    epoch: u64,
    /// Version of the first change in this log, unless it is the one after the snapshot's version.
    #[serde(default)]
    first: u64,
}

/// The state read from the data directory.
#[derive(Debug, Default)]
pub struct SavedState {
    /// Epoch of the list; none if the data directory was empty.
    pub epoch: Option<u64>,
    /// The last version.
    pub rev: u64,
    /// Id of the last lease.
    pub lease: u64,
    /// The leases, by uid.
    pub leases: BTreeMap<String, Record>,
    /// Description of the first damage found, if there is any.
    pub damage: Option<&'static str>,
}

impl SavedState {
    fn apply(&mut self, record: Record) {
        self.rev = record.rev;
        self.lease = self.lease.max(record.lease);
        if record.target.is_removed() {
            self.leases.remove(&record.target.uid);
        } else {
            self.leases.insert(record.target.uid.clone(), record);
        }
    }

    /// Reads the contents of the snapshot and the log up to the first damage.
    fn read(snapshot: &[u8], log: &[u8]) -> SavedState {
        let mut state = SavedState::default();
        if snapshot.is_empty() && log.is_empty() {
            return state;
        }
        let mut lines = LineReader(snapshot);
        let Some(head) = lines.read::<SnapshotHead>() else {
            state.damage = Some("the snapshot has no head");
            return state;
        };
        for _ in 0..head.leases.min(LEASES_MAX) {
            match lines.read::<Record>() {
                Some(record) => state.apply(record),
                None => state.damage = Some("the snapshot is truncated or corrupt"),
            }
        }
        (state.epoch, state.rev, state.lease) = (Some(head.epoch), head.rev, state.lease.max(head.lease));
        if !lines.0.is_empty() && state.damage.is_none() {
            state.damage = Some("the snapshot has extra data at its end");
        }
        let mut lines = LineReader(log);
        let mut first = 0;
        match lines.read::<LogHead>() {
            // The log belongs to a former epoch: the process ended before it was replaced.
            Some(log) if log.epoch < head.epoch => return state,
            Some(log) if log.epoch == head.epoch => first = log.first,
            _ => state.damage = Some("the log has no head"),
        }
        while state.damage.is_none() && !lines.0.is_empty() {
            match lines.read::<Record>() {
                // The snapshot contains this change already.
                Some(record) if record.rev <= head.rev => {}
                Some(record) if record.rev == first.max(state.rev + 1) => state.apply(record),
                Some(_) => state.damage = Some("the log lacks a version"),
                None => state.damage = Some("the log is truncated or corrupt"),
            }
        }
        state
    }
}

/// Reads JSON lines, each of which is preceded by its checksum.
struct LineReader<'a>(&'a [u8]);

impl LineReader<'_> {
    /// Reads the next line; none if it is incomplete or its checksum doesn't match.
    fn read<T: DeserializeOwned>(&mut self) -> Option<T> {
        let end = self.0.iter().position(|b| *b == b'\n')?;
        let (line, rest) = (&self.0[..end], &self.0[end + 1..]);
        let (checksum, text) = (line.get(..8)?, line.get(8..)?.strip_prefix(b" ")?);
        let checksum = u32::from_str_radix(std::str::from_utf8(checksum).ok()?, 16).ok()?;
        let value =
            (checksum == crc32fast::hash(text)).then(|| serde_json::from_slice(text).ok()).flatten()?;
        self.0 = rest;
        Some(value)
    }
}

fn write_line(buffer: &mut Vec<u8>, value: &impl Serialize) -> io::Result<()> {
    let text = serde_json::to_vec(value)?;
    write!(buffer, "{:08x} ", crc32fast::hash(&text))?;
    buffer.extend_from_slice(&text);
    buffer.push(b'\n');
    Ok(())
}

/// The open data directory, locked by this process.
pub struct Store {
    data_dir: PathBuf,
    log: File,
    /// Size of the log, in bytes; `u64::MAX` after a failed write, so that the next one starts a new log.
    log_size: u64,
    log_size_max: u64,
    epoch: u64,
    /// Version of the first change after the start of this process.
    first_rev: u64,
    /// The state that is on disk.
    state: SavedState,
    _lock: File,
}

impl Store {
    /// Locks and reads a data directory, which is created if it doesn't exist.
    pub fn read(data_dir: &Path) -> io::Result<(SavedState, File)> {
        std::fs::create_dir_all(data_dir)?;
        let lock = OpenOptions::new().create(true).truncate(false).write(true).open(data_dir.join(LOCK))?;
        flock(&lock, FlockOperation::NonBlockingLockExclusive)
            .map_err(|_| io::Error::other("the directory is in use by another process"))?;
        let read = |name: &str| match std::fs::metadata(data_dir.join(name)) {
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(Vec::new()),
            Err(e) => Err(e),
            Ok(data) if !data.is_file() || data.len() > FILE_SIZE_MAX => {
                Err(io::Error::other(format!("`{name}` is not a regular file or is too large")))
            }
            Ok(_) => std::fs::read(data_dir.join(name)),
        };
        Ok((SavedState::read(&read(SNAPSHOT)?, &read(LOG)?), lock))
    }

    /// Opens a data directory that has been read, with the epoch and the first version from now on, and
    /// rewrites its files.
    pub fn open(
        data_dir: &Path,
        lock: File,
        state: SavedState,
        (epoch, first_rev): (u64, u64),
        log_size_max: u64,
    ) -> io::Result<Store> {
        // A placeholder until `compact` creates the log.
        let log = lock.try_clone()?;
        let data_dir = data_dir.to_owned();
        let mut store =
            Store { data_dir, log, log_size: 0, log_size_max, epoch, first_rev, state, _lock: lock };
        store.compact()?;
        Ok(store)
    }

    /// Starts a new epoch with the current leases and rewrites the files. After an error it has to be called
    /// again.
    pub fn start_epoch(&mut self, epoch: u64, rev: u64, lease: u64) -> io::Result<()> {
        (self.epoch, self.state.rev, self.state.lease) = (epoch, rev, lease);
        self.compact()
    }

    /// Appends changes to the log. They are on disk when this returns; after an error none of them is.
    pub fn append(&mut self, records: &[Record]) -> io::Result<()> {
        if self.log_size > self.log_size_max {
            self.compact()?;
        }
        let mut text = Vec::new();
        for record in records {
            write_line(&mut text, record)?;
        }
        let written = self.log.write_all(&text).and_then(|()| self.log.sync_data());
        if let Err(e) = written {
            // A partial line would make later lines unreadable, so the next call starts a new log.
            self.log_size = u64::MAX;
            return Err(e);
        }
        self.log_size += text.len() as u64;
        records.iter().for_each(|record| self.state.apply(record.clone()));
        Ok(())
    }

    /// Writes a snapshot and starts a new log.
    fn compact(&mut self) -> io::Result<()> {
        let (rev, lease, leases) = (self.state.rev, self.state.lease, self.state.leases.len());
        let mut text = Vec::new();
        write_line(&mut text, &SnapshotHead { epoch: self.epoch, rev, lease, leases })?;
        for record in self.state.leases.values() {
            write_line(&mut text, record)?;
        }
        self.replace(SNAPSHOT, &text)?;
        text.clear();
        write_line(&mut text, &LogHead { epoch: self.epoch, first: self.first_rev })?;
        self.log = self.replace(LOG, &text)?;
        self.log_size = text.len() as u64;
        Ok(())
    }

    fn replace(&self, name: &str, text: &[u8]) -> io::Result<File> {
        let (path, new_path) = (self.data_dir.join(name), self.data_dir.join(format!("{name}.new")));
        let mut file = File::create(&new_path)?;
        file.write_all(text)?;
        file.sync_all()?;
        std::fs::rename(&new_path, &path)?;
        // The rename is durable only after the directory has been synced.
        File::open(&self.data_dir)?.sync_all()?;
        Ok(file)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use granitelead_list::messages::Target;

    /// A temporary directory, removed when dropped.
    struct TestDir(PathBuf);

    impl TestDir {
        fn new(name: &str) -> TestDir {
            let data_dir = std::env::temp_dir().join(format!("hingestage-{name}-{}", std::process::id()));
            drop(std::fs::remove_dir_all(&data_dir));
            TestDir(data_dir)
        }

        fn file(&self, name: &str) -> Vec<u8> {
            std::fs::read(self.0.join(name)).unwrap()
        }
    }

    impl Drop for TestDir {
        fn drop(&mut self) {
            drop(std::fs::remove_dir_all(&self.0));
        }
    }

    fn record(rev: u64, uid: u64, state: &str) -> Record {
        let text =
            format!(r#"{{"uid":"s{uid}","endpoint":"127.0.0.1:3000","state":"{state}","boot_ms":{rev}}}"#);
        let target: Target = serde_json::from_str(&text).unwrap();
        Record { rev, lease: rev, ttl_ms: 5_000, target }
    }

    fn open(data_dir: &TestDir, epoch: u64, log_size_max: u64) -> Store {
        let (state, lock) = Store::read(&data_dir.0).unwrap();
        assert_eq!(state.damage, None);
        Store::open(&data_dir.0, lock, state, (epoch, 0), log_size_max).unwrap()
    }

    /// Changes of a small fleet: registrations, drains and removals.
    fn changes(n: u64) -> Vec<Record> {
        let state = |rev| ["up", "draining", "removed", "up"][rev as usize % 4];
        (1..=n).map(|rev| record(rev, rev % 7, state(rev))).collect()
    }

    fn leases_after(records: &[Record]) -> BTreeMap<String, Record> {
        let mut state = SavedState::default();
        records.iter().for_each(|r| state.apply(r.clone()));
        state.leases
    }

    #[test]
    fn the_saved_state_is_restored_after_many_snapshots() {
        let data_dir = TestDir::new("keeps");
        let all = changes(500);
        for part in all.chunks(50) {
            let mut store = open(&data_dir, 7, 2_000);
            part.chunks(3).for_each(|records| store.append(records).unwrap());
            assert!(data_dir.file(LOG).len() < 2_000 + 3 * 200, "the log is bounded");
        }
        let (state, _lock) = Store::read(&data_dir.0).unwrap();
        assert_eq!((state.epoch, state.rev, state.lease, state.damage), (Some(7), 500, 500, None));
        assert_eq!(state.leases, leases_after(&all));
    }

    #[test]
    fn a_log_truncated_at_any_byte_keeps_the_earlier_changes_and_is_reported() {
        let data_dir = TestDir::new("cut");
        let all = changes(20);
        let mut ends = Vec::new();
        let mut store = open(&data_dir, 7, LOG_SIZE_MAX);
        for record in &all {
            ends.push(data_dir.file(LOG).len());
            store.append(std::slice::from_ref(record)).unwrap();
        }
        let (snapshot, log) = (data_dir.file(SNAPSHOT), data_dir.file(LOG));
        ends.push(log.len());
        for cut in 0..=log.len() {
            let state = SavedState::read(&snapshot, &log[..cut]);
            let complete = ends.iter().rposition(|end| *end <= cut).unwrap_or(0);
            assert_eq!(state.leases, leases_after(&all[..complete]), "truncated at {cut}");
            assert_eq!((state.epoch, state.rev), (Some(7), complete as u64));
            assert_eq!(state.damage.is_none(), ends.contains(&cut), "truncated at {cut}");
        }
        for cut in 1..snapshot.len() {
            assert!(SavedState::read(&snapshot[..cut], &log).damage.is_some(), "snapshot truncated at {cut}");
        }
    }

    #[test]
    fn a_corrupt_byte_anywhere_is_detected() {
        let data_dir = TestDir::new("corrupt");
        let mut store = open(&data_dir, 7, LOG_SIZE_MAX);
        store.append(&changes(6)).unwrap();
        drop(store);
        let mut store = open(&data_dir, 7, LOG_SIZE_MAX);
        let more: Vec<Record> = (7..12).map(|rev| record(rev, rev, "up")).collect();
        store.append(&more).unwrap();
        let (snapshot, log) = (data_dir.file(SNAPSHOT), data_dir.file(LOG));
        assert_eq!(SavedState::read(&snapshot, &log).damage, None);
        for at in 0..log.len() {
            let mut bad = log.clone();
            bad[at] ^= 0x15;
            let state = SavedState::read(&snapshot, &bad);
            assert!(state.damage.is_some() && state.rev < 11, "log at {at}");
        }
        for at in 0..snapshot.len() {
            let mut bad = snapshot.clone();
            bad[at] ^= 0x15;
            assert!(SavedState::read(&bad, &log).damage.is_some(), "snapshot at {at}");
        }
    }

    #[test]
    fn a_data_directory_is_locked_and_its_files_are_checked() {
        let data_dir = TestDir::new("lock");
        let store = open(&data_dir, 7, LOG_SIZE_MAX);
        assert!(Store::read(&data_dir.0).unwrap_err().to_string().contains("another process"));
        drop(store);
        std::fs::remove_file(data_dir.0.join(LOG)).unwrap();
        std::fs::create_dir(data_dir.0.join(LOG)).unwrap();
        assert!(Store::read(&data_dir.0).unwrap_err().to_string().contains("`log`"));
        let file = TestDir::new("file");
        std::fs::write(&file.0, "x").unwrap();
        assert!(Store::read(&file.0).is_err());
        std::fs::remove_file(&file.0).unwrap();
    }

    #[test]
    fn a_missing_file_is_damage_and_a_log_of_a_former_epoch_is_not() {
        let data_dir = TestDir::new("lost");
        let mut store = open(&data_dir, 7, LOG_SIZE_MAX);
        store.append(&changes(5)).unwrap();
        let (snapshot, log) = (data_dir.file(SNAPSHOT), data_dir.file(LOG));
        assert!(SavedState::read(&[], &log).damage.is_some());
        assert!(SavedState::read(&snapshot, &[]).damage.is_some());
        drop(store);
        let (state, lock) = Store::read(&data_dir.0).unwrap();
        let state = SavedState { rev: 900, ..state };
        drop(Store::open(&data_dir.0, lock, state, (8, 0), LOG_SIZE_MAX).unwrap());
        let state = SavedState::read(&data_dir.file(SNAPSHOT), &log);
        assert_eq!((state.epoch, state.rev, state.damage), (Some(8), 900, None));
    }

    #[test]
    fn a_log_starts_at_the_version_in_its_head_and_has_no_gaps() {
        let data_dir = TestDir::new("leaps");
        drop(open(&data_dir, 7, LOG_SIZE_MAX));
        let (state, lock) = Store::read(&data_dir.0).unwrap();
        let mut store = Store::open(&data_dir.0, lock, state, (7, 900), LOG_SIZE_MAX).unwrap();
        store.append(&[record(900, 1, "up"), record(901, 2, "up")]).unwrap();
        let state = SavedState::read(&data_dir.file(SNAPSHOT), &data_dir.file(LOG));
        assert_eq!((state.rev, state.leases.len(), state.damage), (901, 2, None));
        store.append(&[record(903, 3, "up")]).unwrap();
        let state = SavedState::read(&data_dir.file(SNAPSHOT), &data_dir.file(LOG));
        assert_eq!((state.rev, state.damage), (901, Some("the log lacks a version")));
    }

    #[test]
    fn a_failed_write_does_not_hide_later_changes() {
        let data_dir = TestDir::new("fails");
        let mut store = open(&data_dir, 7, LOG_SIZE_MAX);
        store.append(&changes(3)).unwrap();
        // A log that ends with a partial line and rejects writes, as on a full disk.
        let mut text = data_dir.file(LOG);
        text.extend_from_slice(b"0123");
        std::fs::write(data_dir.0.join(LOG), text).unwrap();
        store.log = File::open(data_dir.0.join(LOG)).unwrap();
        let next = record(4, 4, "up");
        assert!(store.append(std::slice::from_ref(&next)).is_err());
        store.append(std::slice::from_ref(&next)).unwrap();
        drop(store);
        let (state, _lock) = Store::read(&data_dir.0).unwrap();
        assert_eq!((state.rev, state.damage), (4, None));
    }
}
