//! What outlives the process: a snapshot of the leases and a log of what changed since, lines with a checksum
//! each.

use crate::registry::{Record, LEASES_MAX};
use rustix::fs::{flock, FlockOperation};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// A log of so many bytes gives way to a new snapshot.
pub const LOG_MAX: u64 = 1 << 20;
/// The longest file that is read: more than the largest snapshot or log.
const FILE_MAX: u64 = 64 << 20;
const SNAPSHOT: &str = "snapshot";
const LOG: &str = "log";
const LOCK: &str = "lock";

/// The first line of a snapshot.
#[derive(Serialize, Deserialize)]
struct Head {
    epoch: u64,
    rev: u64,
    lease: u64,
    leases: usize,
}

/// The first line of a log.
#[derive(Serialize, Deserialize)]
struct LogHead {
    epoch: u64,
    /// The first change here is of this version, where that is not the one after the snapshot's.
    #[serde(default)]
    first: u64,
}

/// What was found in the folder.
#[derive(Debug, Default)]
pub struct Kept {
    /// Which line of versions it is; none where there was nothing.
    pub epoch: Option<u64>,
    /// The newest version.
    pub rev: u64,
    /// The newest lease's number.
    pub lease: u64,
    /// The leases, by uid.
    pub leases: BTreeMap<String, Record>,
    /// What was not as it had been written.
    pub damage: Option<&'static str>,
}

impl Kept {
    fn apply(&mut self, record: Record) {
        self.rev = record.rev;
        self.lease = self.lease.max(record.lease);
        if record.target.is_removed() {
            self.leases.remove(&record.target.uid);
        } else {
            self.leases.insert(record.target.uid.clone(), record);
        }
    }

    /// Reads what two files hold: all that is whole before the first damage.
    fn read(snapshot: &[u8], log: &[u8]) -> Kept {
        let mut kept = Kept::default();
        if snapshot.is_empty() && log.is_empty() {
            return kept;
        }
        let mut lines = Lines(snapshot);
        let Some(head) = lines.read::<Head>() else {
            kept.damage = Some("the snapshot has no head");
            return kept;
        };
        for _ in 0..head.leases.min(LEASES_MAX) {
            match lines.read::<Record>() {
                Some(record) => kept.apply(record),
                None => kept.damage = Some("the snapshot is cut or corrupt"),
            }
        }
        (kept.epoch, kept.rev, kept.lease) = (Some(head.epoch), head.rev, kept.lease.max(head.lease));
        if !lines.0.is_empty() && kept.damage.is_none() {
            kept.damage = Some("the snapshot has more than it should");
        }
        let mut lines = Lines(log);
        let mut first = 0;
        match lines.read::<LogHead>() {
            // Left from before the snapshot began a new line of versions.
            Some(log) if log.epoch < head.epoch => return kept,
            Some(log) if log.epoch == head.epoch => first = log.first,
            _ => kept.damage = Some("the log has no head"),
        }
        while kept.damage.is_none() && !lines.0.is_empty() {
            match lines.read::<Record>() {
                // The snapshot has it already.
                Some(record) if record.rev <= head.rev => {}
                Some(record) if record.rev == first.max(kept.rev + 1) => kept.apply(record),
                Some(_) => kept.damage = Some("the log lacks a version"),
                None => kept.damage = Some("the log is cut or corrupt"),
            }
        }
        kept
    }
}

/// Lines with a checksum each.
struct Lines<'a>(&'a [u8]);

impl Lines<'_> {
    /// The next line; none where it is not as it was written.
    fn read<T: DeserializeOwned>(&mut self) -> Option<T> {
        let end = self.0.iter().position(|b| *b == b'\n')?;
        let (line, rest) = (&self.0[..end], &self.0[end + 1..]);
        let (sum, text) = (line.get(..8)?, line.get(8..)?.strip_prefix(b" ")?);
        let sum = u32::from_str_radix(std::str::from_utf8(sum).ok()?, 16).ok()?;
        let value = (sum == crc32fast::hash(text)).then(|| serde_json::from_slice(text).ok()).flatten()?;
        self.0 = rest;
        Some(value)
    }
}

fn write_line(into: &mut Vec<u8>, what: &impl Serialize) -> io::Result<()> {
    let text = serde_json::to_vec(what)?;
    write!(into, "{:08x} ", crc32fast::hash(&text))?;
    into.extend_from_slice(&text);
    into.push(b'\n');
    Ok(())
}

/// The folder, which is this process's alone.
pub struct Store {
    folder: PathBuf,
    log: File,
    /// How much of the log is whole.
    length: u64,
    log_max: u64,
    epoch: u64,
    first: u64,
    kept: Kept,
    _lock: File,
}

impl Store {
    /// Reads a folder, which is made where there is none.
    pub fn read(folder: &Path) -> io::Result<(Kept, File)> {
        std::fs::create_dir_all(folder)?;
        let lock = OpenOptions::new().create(true).truncate(false).write(true).open(folder.join(LOCK))?;
        flock(&lock, FlockOperation::NonBlockingLockExclusive)
            .map_err(|_| io::Error::other("another process uses it"))?;
        let read = |name: &str| match std::fs::metadata(folder.join(name)) {
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(Vec::new()),
            Err(e) => Err(e),
            Ok(data) if !data.is_file() || data.len() > FILE_MAX => {
                Err(io::Error::other(format!("`{name}` is no file that was written here")))
            }
            Ok(_) => std::fs::read(folder.join(name)),
        };
        Ok((Kept::read(&read(SNAPSHOT)?, &read(LOG)?), lock))
    }

    /// Goes on with a folder that has been read, in an epoch, with that version: writes all of it anew.
    pub fn begin(
        folder: &Path,
        lock: File,
        kept: Kept,
        (epoch, first): (u64, u64),
        log_max: u64,
    ) -> io::Result<Store> {
        // No file is there yet to write to.
        let log = lock.try_clone()?;
        let folder = folder.to_owned();
        let mut store = Store { folder, log, length: 0, log_max, epoch, first, kept, _lock: lock };
        store.compact()?;
        Ok(store)
    }

    /// Begins another line of versions with what is kept: all of it is written anew. After an error it is to be called
    /// again.
    pub fn begin_anew(&mut self, epoch: u64, rev: u64, lease: u64) -> io::Result<()> {
        (self.epoch, self.kept.rev, self.kept.lease) = (epoch, rev, lease);
        self.compact()
    }

    /// Keeps changes: they are on the disk when this returns. After an error nothing of them is.
    pub fn append(&mut self, records: &[Record]) -> io::Result<()> {
        if self.length > self.log_max {
            self.compact()?;
        }
        let mut text = Vec::new();
        for record in records {
            write_line(&mut text, record)?;
        }
        let written = self.log.write_all(&text).and_then(|()| self.log.sync_data());
        if let Err(e) = written {
            // A line begun would hide what comes after it: the next call begins a new log.
            self.length = u64::MAX;
            return Err(e);
        }
        self.length += text.len() as u64;
        records.iter().for_each(|record| self.kept.apply(record.clone()));
        Ok(())
    }

    /// Writes a snapshot and begins a new log.
    fn compact(&mut self) -> io::Result<()> {
        let (rev, lease, leases) = (self.kept.rev, self.kept.lease, self.kept.leases.len());
        let mut text = Vec::new();
        write_line(&mut text, &Head { epoch: self.epoch, rev, lease, leases })?;
        for record in self.kept.leases.values() {
            write_line(&mut text, record)?;
        }
        self.replace(SNAPSHOT, &text)?;
        text.clear();
        write_line(&mut text, &LogHead { epoch: self.epoch, first: self.first })?;
        self.log = self.replace(LOG, &text)?;
        self.length = text.len() as u64;
        Ok(())
    }

    fn replace(&self, name: &str, text: &[u8]) -> io::Result<File> {
        let (place, new) = (self.folder.join(name), self.folder.join(format!("{name}.new")));
        let mut file = File::create(&new)?;
        file.write_all(text)?;
        file.sync_all()?;
        std::fs::rename(&new, &place)?;
        // The name is on the disk with its folder only.
        File::open(&self.folder)?.sync_all()?;
        Ok(file)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use granitelead_list::forms::Target;

    /// A folder of its own, gone with the test.
    struct Folder(PathBuf);

    impl Folder {
        fn new(name: &str) -> Folder {
            let folder = std::env::temp_dir().join(format!("hingestage-{name}-{}", std::process::id()));
            drop(std::fs::remove_dir_all(&folder));
            Folder(folder)
        }

        fn file(&self, name: &str) -> Vec<u8> {
            std::fs::read(self.0.join(name)).unwrap()
        }
    }

    impl Drop for Folder {
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

    fn begin(folder: &Folder, epoch: u64, log_max: u64) -> Store {
        let (kept, lock) = Store::read(&folder.0).unwrap();
        assert_eq!(kept.damage, None);
        Store::begin(&folder.0, lock, kept, (epoch, 0), log_max).unwrap()
    }

    /// Changes of a small fleet: starts, drains and ends.
    fn changes(n: u64) -> Vec<Record> {
        let state = |rev| ["up", "draining", "removed", "up"][rev as usize % 4];
        (1..=n).map(|rev| record(rev, rev % 7, state(rev))).collect()
    }

    fn after(records: &[Record]) -> BTreeMap<String, Record> {
        let mut kept = Kept::default();
        records.iter().for_each(|r| kept.apply(r.clone()));
        kept.leases
    }

    #[test]
    fn a_folder_gives_back_what_was_kept_through_many_snapshots() {
        let folder = Folder::new("keeps");
        let all = changes(500);
        for part in all.chunks(50) {
            let mut store = begin(&folder, 7, 2_000);
            part.chunks(3).for_each(|some| store.append(some).unwrap());
            assert!(folder.file(LOG).len() < 2_000 + 3 * 200, "the log is bounded");
        }
        let (kept, _lock) = Store::read(&folder.0).unwrap();
        assert_eq!((kept.epoch, kept.rev, kept.lease, kept.damage), (Some(7), 500, 500, None));
        assert_eq!(kept.leases, after(&all));
    }

    #[test]
    fn a_log_cut_at_any_byte_keeps_what_came_before_and_tells() {
        let folder = Folder::new("cut");
        let all = changes(20);
        let mut ends = Vec::new();
        let mut store = begin(&folder, 7, LOG_MAX);
        for record in &all {
            ends.push(folder.file(LOG).len());
            store.append(std::slice::from_ref(record)).unwrap();
        }
        let (snapshot, log) = (folder.file(SNAPSHOT), folder.file(LOG));
        ends.push(log.len());
        for cut in 0..=log.len() {
            let kept = Kept::read(&snapshot, &log[..cut]);
            let whole = ends.iter().rposition(|end| *end <= cut).unwrap_or(0);
            assert_eq!(kept.leases, after(&all[..whole]), "cut at {cut}");
            assert_eq!((kept.epoch, kept.rev), (Some(7), whole as u64));
            assert_eq!(kept.damage.is_none(), ends.contains(&cut), "cut at {cut}");
        }
        for cut in 1..snapshot.len() {
            assert!(Kept::read(&snapshot[..cut], &log).damage.is_some(), "snapshot cut at {cut}");
        }
    }

    #[test]
    fn a_byte_that_has_changed_anywhere_is_noticed() {
        let folder = Folder::new("corrupt");
        let mut store = begin(&folder, 7, LOG_MAX);
        store.append(&changes(6)).unwrap();
        drop(store);
        let mut store = begin(&folder, 7, LOG_MAX);
        let more: Vec<Record> = (7..12).map(|rev| record(rev, rev, "up")).collect();
        store.append(&more).unwrap();
        let (snapshot, log) = (folder.file(SNAPSHOT), folder.file(LOG));
        assert_eq!(Kept::read(&snapshot, &log).damage, None);
        for at in 0..log.len() {
            let mut bad = log.clone();
            bad[at] ^= 0x15;
            let kept = Kept::read(&snapshot, &bad);
            assert!(kept.damage.is_some() && kept.rev < 11, "log at {at}");
        }
        for at in 0..snapshot.len() {
            let mut bad = snapshot.clone();
            bad[at] ^= 0x15;
            assert!(Kept::read(&bad, &log).damage.is_some(), "snapshot at {at}");
        }
    }

    #[test]
    fn a_folder_is_one_process_s_and_has_to_be_one() {
        let folder = Folder::new("lock");
        let store = begin(&folder, 7, LOG_MAX);
        assert!(Store::read(&folder.0).unwrap_err().to_string().contains("another process"));
        drop(store);
        std::fs::remove_file(folder.0.join(LOG)).unwrap();
        std::fs::create_dir(folder.0.join(LOG)).unwrap();
        assert!(Store::read(&folder.0).unwrap_err().to_string().contains("`log`"));
        let file = Folder::new("file");
        std::fs::write(&file.0, "x").unwrap();
        assert!(Store::read(&file.0).is_err());
        std::fs::remove_file(&file.0).unwrap();
    }

    #[test]
    fn a_lost_file_is_damage_and_a_log_from_before_a_new_epoch_is_none() {
        let folder = Folder::new("lost");
        let mut store = begin(&folder, 7, LOG_MAX);
        store.append(&changes(5)).unwrap();
        let (snapshot, log) = (folder.file(SNAPSHOT), folder.file(LOG));
        assert!(Kept::read(&[], &log).damage.is_some());
        assert!(Kept::read(&snapshot, &[]).damage.is_some());
        drop(store);
        let (kept, lock) = Store::read(&folder.0).unwrap();
        let kept = Kept { rev: 900, ..kept };
        drop(Store::begin(&folder.0, lock, kept, (8, 0), LOG_MAX).unwrap());
        let kept = Kept::read(&folder.file(SNAPSHOT), &log);
        assert_eq!((kept.epoch, kept.rev, kept.damage), (Some(8), 900, None));
    }

    #[test]
    fn a_log_begins_at_the_version_that_its_head_names_and_lacks_none_from_there_on() {
        let folder = Folder::new("leaps");
        drop(begin(&folder, 7, LOG_MAX));
        let (kept, lock) = Store::read(&folder.0).unwrap();
        let mut store = Store::begin(&folder.0, lock, kept, (7, 900), LOG_MAX).unwrap();
        store.append(&[record(900, 1, "up"), record(901, 2, "up")]).unwrap();
        let kept = Kept::read(&folder.file(SNAPSHOT), &folder.file(LOG));
        assert_eq!((kept.rev, kept.leases.len(), kept.damage), (901, 2, None));
        store.append(&[record(903, 3, "up")]).unwrap();
        let kept = Kept::read(&folder.file(SNAPSHOT), &folder.file(LOG));
        assert_eq!((kept.rev, kept.damage), (901, Some("the log lacks a version")));
    }

    #[test]
    fn what_could_not_be_written_hides_nothing_that_is_written_later() {
        let folder = Folder::new("fails");
        let mut store = begin(&folder, 7, LOG_MAX);
        store.append(&changes(3)).unwrap();
        // A log that takes nothing, as a full disk, with half a line in it.
        let mut text = folder.file(LOG);
        text.extend_from_slice(b"0123");
        std::fs::write(folder.0.join(LOG), text).unwrap();
        store.log = File::open(folder.0.join(LOG)).unwrap();
        let next = record(4, 4, "up");
        assert!(store.append(std::slice::from_ref(&next)).is_err());
        store.append(std::slice::from_ref(&next)).unwrap();
        drop(store);
        let (kept, _lock) = Store::read(&folder.0).unwrap();
        assert_eq!((kept.rev, kept.damage), (4, None));
    }
}
