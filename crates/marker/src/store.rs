//! What a marker keeps on disk: one writer, in a thread of its own, so that a slow disk holds up nothing else.
//!
//! Each write is a whole [`Keeping`]; of those that wait only the newest is written, and all of them are then said to
//! be there. Of the ledger only what has changed is written, a row a number. A write that fails is tried again: what
//! can't be kept is never answered for.
//!
//! A folder of the first form, which kept no ledger, is carried over as it is opened: the configuration that it holds
//! is the one content known, and of the numbers below that nothing is.

use crate::parts::Keeping;
use granitelead_control_protocol::messages::{Digest, Document, Epoch, Instance, Ledger};
use rusqlite::{params, Connection, ErrorCode, OptionalExtension};
use serde::de::DeserializeOwned;
use serde::Serialize;
use snafu::{ResultExt, Snafu};
use std::path::Path;
use std::sync::mpsc;
use std::sync::Arc;
use std::time::Duration;

/// The form of the folder. Another form is not read.
const FORM: i64 = 2;
/// The form before, which is carried over.
const FORM_BEFORE: i64 = 1;
/// What both forms are made with.
const NUMBERS: &str = "CREATE TABLE numbers (version INTEGER PRIMARY KEY, digest BLOB NOT NULL)";
/// The file in the folder.
const FILE: &str = "marker.sqlite";
/// What a file that can't be used is renamed to; the one before it is lost.
const BROKEN: &str = "marker.sqlite.broken";
/// Pause after a write that failed.
const AGAIN: Duration = Duration::from_millis(100);

/// Why the folder can't be used.
#[derive(Debug, Snafu)]
pub enum Fault {
    /// SQLite says no.
    #[snafu(display("{file}: {source}"))]
    Disk {
        /// Which file.
        file: String,
        /// Why.
        source: rusqlite::Error,
    },
    /// It was written by another form of the program.
    #[snafu(display(
        "{file}: its form is {form}, this program writes form {FORM}; move the folder away to begin anew"
    ))]
    Form {
        /// Which file.
        file: String,
        /// Its form.
        form: i64,
    },
    /// It is damaged, and can't be set aside.
    #[snafu(display("{file}: damaged, and can't be renamed: {source}"))]
    Aside {
        /// Which file.
        file: String,
        /// Why.
        source: std::io::Error,
    },
    /// It holds what this program does not write.
    #[snafu(display("{file}: {name} can't be read: {text}"))]
    Content {
        /// Which file.
        file: String,
        /// Which value.
        name: String,
        /// Why.
        text: String,
    },
}

impl Fault {
    /// Whether the file is damaged, so that trying again can't help.
    fn is_damage(&self) -> bool {
        match self {
            Fault::Disk { source: rusqlite::Error::SqliteFailure(e, _), .. } => {
                matches!(e.code, ErrorCode::DatabaseCorrupt | ErrorCode::NotADatabase)
            }
            Fault::Content { .. } => true,
            _ => false,
        }
    }

    /// Whether trying again may help: the disk refuses, or is full.
    pub fn may_pass(&self) -> bool {
        matches!(self, Fault::Disk { .. }) && !self.is_damage()
    }
}

/// What a folder held when it was opened.
pub struct Found {
    /// The folder, open.
    pub store: Store,
    /// What was kept, unless it is empty.
    pub kept: Option<Keeping>,
    /// The servers that were known last.
    pub servers: Vec<Instance>,
    /// The gatekeepers that were known last, by name.
    pub gatekeepers: Vec<String>,
    /// Whether there was a file that can't be used: what this marker promised is forgotten.
    pub forgot: bool,
}

/// The folder of a marker.
pub struct Store {
    disk: Connection,
    file: String,
    /// The document that is there.
    document: Option<Arc<Document>>,
    /// The ledger that is there.
    ledger: Arc<Ledger>,
}

impl Store {
    /// Opens the folder, which may be empty.
    ///
    /// # Errors
    ///
    /// Why it can't be used.
    pub fn open(folder: &Path) -> Result<Store, Fault> {
        let path = folder.join(FILE);
        let file = path.display().to_string();
        let disk = Connection::open(&path).context(DiskSnafu { file: &file })?;
        Store::of(disk, file)
    }

    /// Opens a folder and reads it. A damaged file is set aside: the marker then is an empty one.
    ///
    /// # Errors
    ///
    /// Why it can't be used; see [`Fault::may_pass`].
    pub fn find(folder: &Path) -> Result<Found, Fault> {
        let found = |forgot| {
            let mut store = Store::open(folder)?;
            let (kept, servers, gatekeepers) = (store.read()?, store.servers()?, store.gatekeepers()?);
            Ok(Found { store, kept, servers, gatekeepers, forgot })
        };
        match found(false) {
            Err(fault) if Fault::is_damage(&fault) => {
                log::error!("{fault}; the file is set aside as {BROKEN}, this marker begins as an empty one");
                let (file, aside) = (folder.join(FILE), folder.join(BROKEN));
                let moved = std::fs::rename(&file, aside).and_then(|()| {
                    for log in ["marker.sqlite-wal", "marker.sqlite-shm", "marker.sqlite-journal"] {
                        match std::fs::remove_file(folder.join(log)) {
                            Err(e) if e.kind() != std::io::ErrorKind::NotFound => return Err(e),
                            _ => {}
                        }
                    }
                    std::fs::File::open(folder)?.sync_all()
                });
                moved.context(AsideSnafu { file: file.display().to_string() })?;
                found(true)
            }
            other => other,
        }
    }

    /// A store in memory, for markers without a folder.
    ///
    /// # Errors
    ///
    /// As [`Store::open`].
    pub fn in_memory() -> Result<Store, Fault> {
        let file = "memory".to_owned();
        let disk = Connection::open_in_memory().context(DiskSnafu { file: &file })?;
        Store::of(disk, file)
    }

    fn of(disk: Connection, file: String) -> Result<Store, Fault> {
        let begin = || -> rusqlite::Result<i64> {
            // One process has the folder, and its memory is little.
            disk.pragma_update(None, "locking_mode", "EXCLUSIVE")?;
            disk.pragma_update(None, "journal_mode", "WAL")?;
            disk.pragma_update(None, "synchronous", "FULL")?;
            disk.pragma_update(None, "cache_size", -256)?;
            disk.pragma_update(None, "wal_autocheckpoint", 64)?;
            let form: i64 = disk.pragma_query_value(None, "user_version", |row| row.get(0))?;
            let empty: bool =
                disk.query_row("SELECT count(*) = 0 FROM sqlite_master", [], |row| row.get(0))?;
            if form == 0 && empty {
                disk.execute_batch(&format!(
                    "BEGIN; CREATE TABLE kept (name TEXT PRIMARY KEY, value BLOB NOT NULL) WITHOUT ROWID;
                     {NUMBERS}; PRAGMA user_version = {FORM}; COMMIT;"
                ))?;
                return Ok(FORM);
            }
            Ok(form)
        };
        let form = begin().context(DiskSnafu { file: &file })?;
        let mut store = Store { disk, file, document: None, ledger: Arc::default() };
        match form {
            FORM => {}
            FORM_BEFORE => store.carry_over()?,
            form => return FormSnafu { file: store.file, form }.fail(),
        }
        Ok(store)
    }

    /// Makes this form of the one before.
    fn carry_over(&mut self) -> Result<(), Fault> {
        let document = self.get::<Option<Document>>("document")?.flatten();
        let ledger = document.map_or_else(Ledger::default, |d| {
            let entries = [(d.version, Digest::of(&d.bytes))].into();
            Ledger::new(d.version.checked_sub(1), entries)
        });
        let mut carry = || -> rusqlite::Result<()> {
            let change = self.disk.transaction()?;
            change.execute(NUMBERS, [])?;
            put_ledger(&change, &Ledger::default(), &ledger)?;
            change.pragma_update(None, "user_version", FORM)?;
            change.commit()
        };
        carry().context(DiskSnafu { file: &self.file })?;
        log::info!("{}: carried over from form {FORM_BEFORE}", self.file);
        Ok(())
    }

    fn get<T: DeserializeOwned>(&self, name: &str) -> Result<Option<T>, Fault> {
        let query = "SELECT value FROM kept WHERE name = ?1";
        let read = self.disk.query_row(query, params![name], |row| row.get::<_, Vec<u8>>(0)).optional();
        let Some(bytes) = read.context(DiskSnafu { file: &self.file })? else { return Ok(None) };
        ciborium::from_reader(bytes.as_slice()).map(Some).map_err(|e| Fault::Content {
            file: self.file.clone(),
            name: name.to_owned(),
            text: e.to_string(),
        })
    }

    /// What was kept, unless the folder is empty.
    ///
    /// # Errors
    ///
    /// Why it can't be read.
    pub fn read(&mut self) -> Result<Option<Keeping>, Fault> {
        let (Some(node), Some(promised)) = (self.get("node")?, self.get("promised")?) else {
            return Ok(None);
        };
        // What there may be none of is kept as such.
        let epoch = self.get::<Option<Epoch>>("epoch")?.flatten();
        let sure = self.get::<Option<u32>>("sure")?.flatten();
        // Not kept by the first programs of this form.
        let copied = self.get("copied")?.unwrap_or_default();
        let ballots = self.get("ballots")?.unwrap_or_default();
        let document = self.get::<Option<Document>>("document")?.flatten();
        self.document = document.map(Arc::new);
        self.ledger = Arc::new(self.read_ledger()?);
        let (document, ledger) = (self.document.clone(), self.ledger.clone());
        Ok(Some(Keeping { node, promised, copied, epoch, document, ledger, sure, ballots }))
    }

    fn read_ledger(&self) -> Result<Ledger, Fault> {
        let forgotten = self.get::<Option<u32>>("forgotten")?.flatten();
        let read = || -> rusqlite::Result<Vec<(u32, Vec<u8>)>> {
            let mut rows = self.disk.prepare("SELECT version, digest FROM numbers")?;
            let rows = rows.query_map([], |row| Ok((row.get(0)?, row.get(1)?)))?;
            rows.collect()
        };
        let rows = read().context(DiskSnafu { file: &self.file })?;
        let entry = |(version, digest): (u32, Vec<u8>)| {
            let digest = <[u8; 16]>::try_from(digest).map_err(|digest| Fault::Content {
                file: self.file.clone(),
                name: format!("the digest of {version}"),
                text: format!("{} bytes", digest.len()),
            });
            digest.map(|bytes| (version, Digest(bytes)))
        };
        let entries = rows.into_iter().map(entry).collect::<Result<_, Fault>>()?;
        Ok(Ledger::new(forgotten, entries))
    }

    /// The servers that were known last.
    ///
    /// # Errors
    ///
    /// Why they can't be read.
    pub fn servers(&self) -> Result<Vec<Instance>, Fault> {
        Ok(self.get("servers")?.unwrap_or_default())
    }

    /// Keeps the servers.
    ///
    /// # Errors
    ///
    /// Why they are not kept.
    pub fn write_servers(&self, servers: &[Instance]) -> Result<(), Fault> {
        self.write_part("servers", bytes(&servers))
    }

    /// The gatekeepers that were known last, by name.
    ///
    /// # Errors
    ///
    /// Why they can't be read.
    pub fn gatekeepers(&self) -> Result<Vec<String>, Fault> {
        Ok(self.get("gatekeepers")?.unwrap_or_default())
    }

    /// Keeps the names of the gatekeepers.
    ///
    /// # Errors
    ///
    /// Why they are not kept.
    pub fn write_gatekeepers(&self, names: &[String]) -> Result<(), Fault> {
        self.write_part("gatekeepers", bytes(&names))
    }

    fn write_part(&self, name: &str, value: Vec<u8>) -> Result<(), Fault> {
        let put = "INSERT OR REPLACE INTO kept (name, value) VALUES (?1, ?2)";
        self.disk.execute(put, params![name, value]).context(DiskSnafu { file: &self.file })?;
        Ok(())
    }

    /// Keeps this, synced.
    ///
    /// # Errors
    ///
    /// Why it is not kept.
    pub fn write(&mut self, keeping: &Keeping) -> Result<(), Fault> {
        self.put(keeping).context(DiskSnafu { file: &self.file })?;
        self.document.clone_from(&keeping.document);
        self.ledger.clone_from(&keeping.ledger);
        Ok(())
    }

    fn put(&mut self, keeping: &Keeping) -> rusqlite::Result<()> {
        let same = match (&self.document, &keeping.document) {
            (Some(a), Some(b)) => Arc::ptr_eq(a, b),
            (None, None) => true,
            _ => false,
        };
        let change = self.disk.transaction()?;
        {
            let mut put =
                change.prepare_cached("INSERT OR REPLACE INTO kept (name, value) VALUES (?1, ?2)")?;
            put.execute(params!["node", bytes(&keeping.node)])?;
            put.execute(params!["promised", bytes(&keeping.promised)])?;
            put.execute(params!["copied", bytes(&keeping.copied)])?;
            put.execute(params!["ballots", bytes(&keeping.ballots)])?;
            put.execute(params!["epoch", bytes(&keeping.epoch)])?;
            put.execute(params!["sure", bytes(&keeping.sure)])?;
            if !same {
                put.execute(params!["document", bytes(&keeping.document.as_deref())])?;
            }
        }
        if !Arc::ptr_eq(&self.ledger, &keeping.ledger) {
            put_ledger(&change, &self.ledger, &keeping.ledger)?;
        }
        change.commit()
    }
}

/// Writes what differs between two ledgers, of which the first is there.
fn put_ledger(disk: &Connection, there: &Ledger, ledger: &Ledger) -> rusqlite::Result<()> {
    let mut put = disk.prepare_cached("INSERT OR REPLACE INTO numbers (version, digest) VALUES (?1, ?2)")?;
    for (version, digest) in ledger.entries() {
        if there.entries().get(version) != Some(digest) {
            put.execute(params![version, digest.0])?;
        }
    }
    let mut remove = disk.prepare_cached("DELETE FROM numbers WHERE version = ?1")?;
    for version in there.entries().keys().filter(|version| !ledger.entries().contains_key(version)) {
        remove.execute(params![version])?;
    }
    if there.forgotten() != ledger.forgotten() {
        let mut put =
            disk.prepare_cached("INSERT OR REPLACE INTO kept (name, value) VALUES ('forgotten', ?1)")?;
        put.execute(params![bytes(&ledger.forgotten())])?;
    }
    Ok(())
}

fn bytes(value: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::new();
    // Writing to memory does not fail.
    let _ = ciborium::into_writer(value, &mut bytes);
    bytes
}

/// What is to be written.
#[derive(Debug)]
pub enum Job {
    /// What has to last, under a ticket.
    Keep(u64, Keeping),
    /// The servers, which may be lost.
    Servers(Vec<Instance>),
    /// The names of the gatekeepers, which may be lost.
    Gatekeepers(Vec<String>),
}

/// What waits to be written: of each kind the newest alone.
#[derive(Default)]
struct Pending {
    keep: Option<(u64, Keeping)>,
    servers: Option<Vec<Instance>>,
    gatekeepers: Option<Vec<String>>,
}

impl Pending {
    fn take(&mut self, job: Job) {
        match job {
            Job::Keep(ticket, keeping) => self.keep = Some((ticket, keeping)),
            Job::Servers(known) => self.servers = Some(known),
            Job::Gatekeepers(names) => self.gatekeepers = Some(names),
        }
    }
}

/// Writes what comes until nobody sends any more; tells the ticket of each write once it is there.
pub fn run(mut store: Store, jobs: &mpsc::Receiver<Job>, mut written: impl FnMut(u64)) {
    let (mut pending, mut failing) = (Pending::default(), false);
    while let Ok(job) = jobs.recv() {
        for job in std::iter::once(job).chain(jobs.try_iter()) {
            pending.take(job);
        }
        while let Some((ticket, keeping)) = pending.keep.take() {
            match store.write(&keeping) {
                Ok(()) => {
                    failing = false;
                    written(ticket);
                }
                Err(fault) => {
                    if !std::mem::replace(&mut failing, true) {
                        log::error!("not kept, tried again until it is: {fault}");
                    }
                    std::thread::sleep(AGAIN);
                    pending.keep = Some((ticket, keeping));
                    jobs.try_iter().for_each(|job| pending.take(job));
                }
            }
        }
        if let Some(Err(fault)) = pending.servers.take().map(|known| store.write_servers(&known)) {
            log::warn!("servers not kept: {fault}");
        }
        if let Some(Err(fault)) = pending.gatekeepers.take().map(|names| store.write_gatekeepers(&names)) {
            log::warn!("gatekeepers not kept: {fault}");
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::core;
    use googletest::prelude::*;

    fn keeping(version: u32) -> Keeping {
        let ip = [10, 1, 0, 2].into();
        let document = Some(Arc::new(Document { version, bytes: vec![7; 100_000] }));
        Keeping { document, ..core::initial_state(ip, &[ip], true, 5) }
    }

    #[gtest]
    fn what_is_written_is_read_back_and_an_empty_folder_is_told_from_it() {
        let mut store = Store::in_memory().unwrap();
        expect_that!(store.read().unwrap(), none());
        let outside = core::initial_state([10, 1, 0, 2].into(), &[], false, 5);
        for kept in [keeping(1), Keeping { sure: Some(2), ..keeping(2) }, outside] {
            store.write(&kept).unwrap();
            expect_that!(store.read().unwrap(), some(eq(&kept)));
        }
    }

    /// A folder of a test, gone with it.
    struct Folder(std::path::PathBuf);

    impl Folder {
        fn new(name: &str) -> Folder {
            let path = std::env::temp_dir().join(format!("marker-{name}-{}", std::process::id()));
            std::fs::create_dir_all(&path).unwrap();
            Folder(path)
        }

        fn file(&self, name: &str) -> std::path::PathBuf {
            self.0.join(name)
        }
    }

    impl Drop for Folder {
        fn drop(&mut self) {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }

    #[gtest]
    fn a_log_torn_anywhere_leaves_what_was_kept_before() {
        let (written, torn) = (Folder::new("written"), Folder::new("torn"));
        let mut store = Store::open(&written.0).unwrap();
        let small = |version| {
            let document = Some(Arc::new(Document { version, bytes: vec![7; 6_000] }));
            Keeping { document, ..keeping(version) }
        };
        store.write(&small(1)).unwrap();
        store.write(&small(2)).unwrap();
        let (base, log) = ("marker.sqlite", "marker.sqlite-wal");
        let whole = std::fs::read(written.file(log)).unwrap();
        let mut seen = std::collections::BTreeSet::new();
        for length in (0..=whole.len()).rev().step_by(257) {
            std::fs::copy(written.file(base), torn.file(base)).unwrap();
            std::fs::write(torn.file(log), &whole[..length]).unwrap();
            let found = Store::find(&torn.0).unwrap();
            expect_false!(found.forgot);
            let version = found.kept.map(|kept| {
                let document = kept.document.clone().unwrap();
                assert_eq!(kept, small(document.version));
                document.version
            });
            seen.insert(version);
        }
        expect_that!(seen, eq(&[None, Some(1), Some(2)].into()));
    }

    #[gtest]
    fn a_damaged_file_is_set_aside_and_what_was_promised_counts_as_forgotten() {
        let folder = Folder::new("damaged");
        let mut store = Store::open(&folder.0).unwrap();
        store.write(&keeping(1)).unwrap();
        drop(store);
        let mut bytes = std::fs::read(folder.file(FILE)).unwrap();
        bytes[..200].fill(0x5a);
        std::fs::write(folder.file(FILE), bytes).unwrap();
        let mut found = Store::find(&folder.0).unwrap();
        expect_true!(found.forgot && found.kept.is_none() && folder.file(BROKEN).exists());
        found.store.write(&keeping(2)).unwrap();
        drop(found);
        let again = Store::find(&folder.0).unwrap();
        expect_that!(again.kept, some(eq(&keeping(2))));
        expect_false!(again.forgot);
    }

    #[gtest]
    fn a_full_disk_keeps_nothing_and_answers_for_nothing_until_there_is_room() {
        let mut store = Store::in_memory().unwrap();
        store.write(&keeping(1)).unwrap();
        let pages: i64 = store.disk.pragma_query_value(None, "page_count", |row| row.get(0)).unwrap();
        store.disk.pragma_update(None, "max_page_count", pages + 1).unwrap();
        let large = Some(Arc::new(Document { version: 2, bytes: vec![8; 400_000] }));
        let larger = Keeping { document: large, ..keeping(2) };
        let fault = store.write(&larger).unwrap_err();
        expect_true!(fault.may_pass());
        expect_that!(store.read().unwrap(), some(eq(&keeping(1))));
        store.disk.pragma_update(None, "max_page_count", 10_000).unwrap();
        store.write(&larger).unwrap();
        expect_that!(store.read().unwrap(), some(eq(&larger)));
    }

    #[gtest]
    fn another_form_is_refused_with_what_to_do() {
        let disk = Connection::open_in_memory().unwrap();
        disk.pragma_update(None, "user_version", FORM + 1).unwrap();
        let fault = Store::of(disk, "x".into()).err().unwrap();
        expect_that!(fault.to_string(), contains_substring("move the folder away"));
    }

    #[gtest]
    fn of_writes_that_wait_the_newest_is_written_and_its_ticket_told() {
        let (send, writes) = mpsc::channel();
        for ticket in 1..=5 {
            send.send(Job::Keep(ticket, keeping(ticket as u32))).unwrap();
        }
        drop(send);
        let mut told = Vec::new();
        run(Store::in_memory().unwrap(), &writes, |ticket| told.push(ticket));
        expect_that!(told, eq(&vec![5]));
    }
}
