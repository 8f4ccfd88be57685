//! The persistent storage of a marker, an SQLite database written by a thread of its own, so that a slow disk
//! blocks nothing else.
//!
//! Each write of the state holds a full [`PersistentState`]. Of the pending writes only the newest is made, and
//! its ticket acknowledges the earlier ones too. Of the ledger only changed entries are written, one row for
//! each version. Servers have one row each; pending writes of them are merged. A write that fails is retried:
//! what is not on disk is never acknowledged.
//!
//! Earlier programs of the same format kept all servers in one value, without those that had ended, and ignore
//! the rows. Where that value is found, such a program has run since: its live servers replace those of the
//! rows.
//!
//! A database of format 1, which had no ledger, is migrated when it is opened: the ledger then holds the
//! stored configuration only, and all lower versions count as forgotten.

use crate::types::{PersistentState, ServerWrite, Written};
use granitelead_control_protocol::messages::{Digest, Document, Epoch, Instance, InstanceState, Ledger};
use rusqlite::{params, Connection, ErrorCode, OptionalExtension};
use serde::de::DeserializeOwned;
use serde::Serialize;
use snafu::{ResultExt, Snafu};
use std::path::Path;
use std::sync::mpsc;
use std::sync::Arc;
use std::time::Duration;

/// The format of the database, stored as its `user_version`. Unknown formats are refused.
const FORMAT: i64 = 2;
/// The previous format, which is migrated.
const PREVIOUS_FORMAT: i64 = 1;
/// Creates the table of the ledger, for new and for migrated databases.
const CREATE_NUMBERS: &str = "CREATE TABLE numbers (version INTEGER PRIMARY KEY, digest BLOB NOT NULL)";
/// Creates the table of servers where an earlier program of this format has left none.
const CREATE_SERVERS: &str =
    "CREATE TABLE IF NOT EXISTS servers (id TEXT PRIMARY KEY, value BLOB NOT NULL) WITHOUT ROWID";
/// The name of the value in which earlier programs of this format kept all servers.
const EARLIER_SERVERS: &str = "servers";
/// The database file in the data directory.
const FILE: &str = "marker.sqlite";
/// The name that a damaged file is renamed to. An older file of that name is overwritten.
const BROKEN_FILE: &str = "marker.sqlite.broken";
/// Delay before a failed write is retried.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Why the data directory can't be used.
#[derive(Debug, Snafu)]
pub enum Fault {
    /// SQLite returned an error.
    #[snafu(display("{file}: {source}"))]
    Disk {
        /// The path of the file.
        file: String,
        /// The cause.
        source: rusqlite::Error,
    },
    /// The database has a format that this version does not support.
    #[snafu(display(
        "{file}: format {format} is not supported, expected format {FORMAT}; \
         move the folder away to start with an empty one"
    ))]
    Format {
        /// The path of the file.
        file: String,
        /// The format of the file.
        format: i64,
    },
    /// The file is damaged and can't be renamed.
    #[snafu(display("{file}: damaged and can't be renamed: {source}"))]
    Rename {
        /// The path of the file.
        file: String,
        /// The cause.
        source: std::io::Error,
    },
    /// A stored value can't be decoded.
    #[snafu(display("{file}: can't decode {name}: {text}"))]
    Content {
        /// The path of the file.
        file: String,
        /// The name of the value.
        name: String,
        /// The cause.
        text: String,
    },
}

impl Fault {
    /// Whether the file is damaged, so that a retry can't succeed.
    fn is_damage(&self) -> bool {
        match self {
            Fault::Disk { source: rusqlite::Error::SqliteFailure(e, _), .. } => {
                matches!(e.code, ErrorCode::DatabaseCorrupt | ErrorCode::NotADatabase)
            }
            Fault::Content { .. } => true,
            _ => false,
        }
    }

    /// Whether a retry may succeed, as after an I/O error or on a full disk.
    pub fn may_pass(&self) -> bool {
        matches!(self, Fault::Disk { .. }) && !self.is_damage()
    }
}

/// The contents of a data directory when it was opened.
pub struct Found {
    /// The open store.
    pub store: Store,
    /// The stored state, unless the store is empty.
    pub state: Option<PersistentState>,
    /// The stored servers, with those that have ended and are remembered.
    pub servers: Vec<Instance>,
    /// The names of the gatekeepers that were stored last.
    pub gatekeepers: Vec<String>,
    /// Whether a damaged file was replaced, so that the promises of this marker are lost.
    pub was_damaged: bool,
}

/// The database of a marker.
pub struct Store {
    disk: Connection,
    file: String,
    /// The document that is on disk.
    document: Option<Arc<Document>>,
    /// The ledger that is on disk.
    ledger: Arc<Ledger>,
}

impl Store {
    /// Opens the store in a data directory, which may be empty.
    ///
    /// # Errors
    ///
    /// The database can't be opened or has an unsupported format.
    pub fn open(directory: &Path) -> Result<Store, Fault> {
        let path = directory.join(FILE);
        let file = path.display().to_string();
        let disk = Connection::open(&path).context(DiskSnafu { file: &file })?;
        Store::from_connection(disk, file)
    }

    /// Opens the store in a data directory and reads it. A damaged file is renamed, and the marker starts
    /// with an empty store.
    ///
    /// # Errors
    ///
    /// The store can't be opened or read; see [`Fault::may_pass`].
    pub fn find(directory: &Path) -> Result<Found, Fault> {
        let found = |was_damaged| {
            let mut store = Store::open(directory)?;
            let (state, servers, gatekeepers) = (store.read()?, store.servers()?, store.gatekeepers()?);
            Ok(Found { store, state, servers, gatekeepers, was_damaged })
        };
        match found(false) {
            Err(fault) if Fault::is_damage(&fault) => {
                log::error!(
                    "{fault}; the file is renamed to {BROKEN_FILE}, this marker starts with an empty store"
                );
                let (file, renamed) = (directory.join(FILE), directory.join(BROKEN_FILE));
                let moved = std::fs::rename(&file, renamed).and_then(|()| {
                    for log in ["marker.sqlite-wal", "marker.sqlite-shm", "marker.sqlite-journal"] {
                        match std::fs::remove_file(directory.join(log)) {
                            Err(e) if e.kind() != std::io::ErrorKind::NotFound => return Err(e),
                            _ => {}
                        }
                    }
                    std::fs::File::open(directory)?.sync_all()
                });
                moved.context(RenameSnafu { file: file.display().to_string() })?;
                found(true)
            }
            other => other,
        }
    }

    /// Opens a store in memory, for markers without a data directory.
    ///
    /// # Errors
    ///
    /// See [`Store::open`].
    pub fn in_memory() -> Result<Store, Fault> {
        let file = "memory".to_owned();
        let disk = Connection::open_in_memory().context(DiskSnafu { file: &file })?;
        Store::from_connection(disk, file)
    }

    fn from_connection(disk: Connection, file: String) -> Result<Store, Fault> {
        let initialize = || -> rusqlite::Result<i64> {
            // One process uses the database. The cache is small (256 KiB) as the memory of a marker is
            // limited.
            disk.pragma_update(None, "locking_mode", "EXCLUSIVE")?;
            disk.pragma_update(None, "journal_mode", "WAL")?;
            disk.pragma_update(None, "synchronous", "FULL")?;
            disk.pragma_update(None, "cache_size", -256)?;
            disk.pragma_update(None, "wal_autocheckpoint", 64)?;
            let format: i64 = disk.pragma_query_value(None, "user_version", |row| row.get(0))?;
            let empty: bool =
                disk.query_row("SELECT count(*) = 0 FROM sqlite_master", [], |row| row.get(0))?;
            if format == 0 && empty {
                disk.execute_batch(&format!(
                    "BEGIN; CREATE TABLE kept (name TEXT PRIMARY KEY, value BLOB NOT NULL) WITHOUT ROWID;
                     {CREATE_NUMBERS}; PRAGMA user_version = {FORMAT}; COMMIT;"
                ))?;
                return Ok(FORMAT);
            }
            Ok(format)
        };
        let format = initialize().context(DiskSnafu { file: &file })?;
        let mut store = Store { disk, file, document: None, ledger: Arc::default() };
        match format {
            FORMAT => {}
            PREVIOUS_FORMAT => store.migrate()?,
            format => return FormatSnafu { file: store.file, format }.fail(),
        }
        store.disk.execute(CREATE_SERVERS, []).context(DiskSnafu { file: &store.file })?;
        store.take_over_earlier_servers()?;
        Ok(store)
    }

    /// Migrates the previous format to this one.
    fn migrate(&mut self) -> Result<(), Fault> {
        let document = self.get::<Option<Document>>("document")?.flatten();
        let ledger = document.map_or_else(Ledger::default, |d| {
            let entries = [(d.version, Digest::of(&d.bytes))].into();
            Ledger::new(d.version.checked_sub(1), entries)
        });
        let mut write_migrated = || -> rusqlite::Result<()> {
            let transaction = self.disk.transaction()?;
            transaction.execute(CREATE_NUMBERS, [])?;
            write_ledger(&transaction, &Ledger::default(), &ledger)?;
            transaction.pragma_update(None, "user_version", FORMAT)?;
            transaction.commit()
        };
        write_migrated().context(DiskSnafu { file: &self.file })?;
        log::info!("{}: migrated from format {PREVIOUS_FORMAT}", self.file);
        Ok(())
    }

    fn get<T: DeserializeOwned>(&self, name: &str) -> Result<Option<T>, Fault> {
        let query = "SELECT value FROM kept WHERE name = ?1";
        let read = self.disk.query_row(query, params![name], |row| row.get::<_, Vec<u8>>(0)).optional();
        let Some(bytes) = read.context(DiskSnafu { file: &self.file })? else { return Ok(None) };
        self.decode(name, &bytes).map(Some)
    }

    fn decode<T: DeserializeOwned>(&self, name: &str, bytes: &[u8]) -> Result<T, Fault> {
        ciborium::from_reader(bytes).map_err(|e| Fault::Content {
            file: self.file.clone(),
            name: name.to_owned(),
            text: e.to_string(),
        })
    }

    /// Reads the stored state, unless the store is empty.
    ///
    /// # Errors
    ///
    /// The state can't be read or decoded.
    pub fn read(&mut self) -> Result<Option<PersistentState>, Fault> {
        let (Some(node), Some(promised)) = (self.get("node")?, self.get("promised")?) else {
            return Ok(None);
        };
        // Optional values are stored as `Option`, so they are unwrapped twice.
        let epoch = self.get::<Option<Epoch>>("epoch")?.flatten();
        let sure = self.get::<Option<u32>>("sure")?.flatten();
        // The first programs of this format did not store these values.
        let copied = self.get("copied")?.unwrap_or_default();
        let duty_promises = self.get("ballots")?.unwrap_or_default();
        let document = self.get::<Option<Document>>("document")?.flatten();
        self.document = document.map(Arc::new);
        self.ledger = Arc::new(self.read_ledger()?);
        let (document, ledger) = (self.document.clone(), self.ledger.clone());
        Ok(Some(PersistentState { node, promised, copied, epoch, document, ledger, sure, duty_promises }))
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

    /// Reads the stored servers, with those that have ended and are remembered.
    ///
    /// # Errors
    ///
    /// A row can't be read or decoded.
    pub fn servers(&self) -> Result<Vec<Instance>, Fault> {
        let read = || -> rusqlite::Result<Vec<(String, Vec<u8>)>> {
            let mut rows = self.disk.prepare("SELECT id, value FROM servers")?;
            let rows = rows.query_map([], |row| Ok((row.get(0)?, row.get(1)?)))?;
            rows.collect()
        };
        let rows = read().context(DiskSnafu { file: &self.file })?;
        rows.into_iter().map(|(id, value)| self.decode(&format!("server {id}"), &value)).collect()
    }

    /// Writes records of servers and syncs them to disk.
    ///
    /// # Errors
    ///
    /// The write failed; the earlier records are still stored.
    pub fn write_servers(&mut self, write: &ServerWrite) -> Result<(), Fault> {
        let put_all = |disk: &mut Connection| -> rusqlite::Result<()> {
            let transaction = disk.transaction()?;
            for (id, record) in &write.records {
                match record {
                    Some(instance) => put_server(&transaction, instance)?,
                    None => drop(transaction.execute("DELETE FROM servers WHERE id = ?1", params![id])?),
                }
            }
            transaction.commit()
        };
        put_all(&mut self.disk).context(DiskSnafu { file: &self.file })
    }

    /// Takes over the servers that an earlier program of this format stored in one value, if any.
    fn take_over_earlier_servers(&mut self) -> Result<(), Fault> {
        let Some(earlier) = self.get::<Vec<Instance>>(EARLIER_SERVERS)? else { return Ok(()) };
        let stored = self.servers()?;
        let replace = |disk: &mut Connection| -> rusqlite::Result<()> {
            let transaction = disk.transaction()?;
            for live in stored.iter().filter(|server| server.state != InstanceState::Gone) {
                transaction.execute("DELETE FROM servers WHERE id = ?1", params![live.id])?;
            }
            let has_ended = |id: &String| stored.iter().any(|s| s.id == *id && s.sequence == u64::MAX);
            for server in earlier.iter().filter(|server| !has_ended(&server.id)) {
                put_server(&transaction, server)?;
            }
            transaction.execute("DELETE FROM kept WHERE name = ?1", params![EARLIER_SERVERS])?;
            transaction.commit()
        };
        replace(&mut self.disk).context(DiskSnafu { file: &self.file })
    }

    /// Reads the names of the gatekeepers that were stored last.
    ///
    /// # Errors
    ///
    /// The value can't be read or decoded.
    pub fn gatekeepers(&self) -> Result<Vec<String>, Fault> {
        Ok(self.get("gatekeepers")?.unwrap_or_default())
    }

    /// Stores the names of the gatekeepers.
    ///
    /// # Errors
    ///
    /// The write failed.
    pub fn write_gatekeepers(&self, names: &[String]) -> Result<(), Fault> {
        let put = "INSERT OR REPLACE INTO kept (name, value) VALUES ('gatekeepers', ?1)";
        self.disk.execute(put, params![bytes(&names)]).context(DiskSnafu { file: &self.file })?;
        Ok(())
    }

    /// Writes the state and syncs it to disk.
    ///
    /// # Errors
    ///
    /// The write failed; the earlier state is still stored.
    pub fn write(&mut self, state: &PersistentState) -> Result<(), Fault> {
        self.write_state(state).context(DiskSnafu { file: &self.file })?;
        self.document.clone_from(&state.document);
        self.ledger.clone_from(&state.ledger);
        Ok(())
    }

    fn write_state(&mut self, state: &PersistentState) -> rusqlite::Result<()> {
        let is_unchanged = match (&self.document, &state.document) {
            (Some(a), Some(b)) => Arc::ptr_eq(a, b),
            (None, None) => true,
            _ => false,
        };
        let transaction = self.disk.transaction()?;
        {
            let mut put =
                transaction.prepare_cached("INSERT OR REPLACE INTO kept (name, value) VALUES (?1, ?2)")?;
            put.execute(params!["node", bytes(&state.node)])?;
            put.execute(params!["promised", bytes(&state.promised)])?;
            put.execute(params!["copied", bytes(&state.copied)])?;
            put.execute(params!["ballots", bytes(&state.duty_promises)])?;
            put.execute(params!["epoch", bytes(&state.epoch)])?;
            put.execute(params!["sure", bytes(&state.sure)])?;
            if !is_unchanged {
                put.execute(params!["document", bytes(&state.document.as_deref())])?;
            }
        }
        if !Arc::ptr_eq(&self.ledger, &state.ledger) {
            write_ledger(&transaction, &self.ledger, &state.ledger)?;
        }
        transaction.commit()
    }
}

/// Writes the differences between two ledgers, of which the first is on disk.
fn write_ledger(disk: &Connection, stored: &Ledger, ledger: &Ledger) -> rusqlite::Result<()> {
    let mut put = disk.prepare_cached("INSERT OR REPLACE INTO numbers (version, digest) VALUES (?1, ?2)")?;
    for (version, digest) in ledger.entries() {
        if stored.entries().get(version) != Some(digest) {
            put.execute(params![version, digest.0])?;
        }
    }
    let mut remove = disk.prepare_cached("DELETE FROM numbers WHERE version = ?1")?;
    for version in stored.entries().keys().filter(|version| !ledger.entries().contains_key(version)) {
        remove.execute(params![version])?;
    }
    if stored.forgotten() != ledger.forgotten() {
        let mut put =
            disk.prepare_cached("INSERT OR REPLACE INTO kept (name, value) VALUES ('forgotten', ?1)")?;
        put.execute(params![bytes(&ledger.forgotten())])?;
    }
    Ok(())
}

fn bytes(value: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::new();
    // Writing to memory can't fail.
    let _ = ciborium::into_writer(value, &mut bytes);
    bytes
}

fn put_server(disk: &Connection, instance: &Instance) -> rusqlite::Result<()> {
    let mut put = disk.prepare_cached("INSERT OR REPLACE INTO servers (id, value) VALUES (?1, ?2)")?;
    put.execute(params![instance.id, bytes(instance)]).map(drop)
}

/// A write for the thread that owns the store. Its ticket is reported once it is on disk.
#[derive(Debug)]
pub enum Job {
    /// The state of the marker.
    State(u64, PersistentState),
    /// Records of servers.
    Servers(ServerWrite),
    /// The names of the gatekeepers.
    Gatekeepers(u64, Vec<String>),
}

/// The pending writes of each kind: the newest state and names, and the newest record of each server.
#[derive(Default)]
struct Pending {
    state: Option<(u64, PersistentState)>,
    servers: Option<ServerWrite>,
    gatekeepers: Option<(u64, Vec<String>)>,
}

impl Pending {
    fn take(&mut self, job: Job) {
        match job {
            Job::State(ticket, state) => self.state = Some((ticket, state)),
            Job::Servers(write) => {
                let servers = self.servers.get_or_insert_default();
                servers.ticket = write.ticket;
                servers.records.extend(write.records);
            }
            Job::Gatekeepers(ticket, names) => self.gatekeepers = Some((ticket, names)),
        }
    }

    fn is_empty(&self) -> bool {
        self.state.is_none() && self.servers.is_none() && self.gatekeepers.is_none()
    }

    /// Makes the writes and reports each that is on disk; what remains after a failure is still pending.
    fn write(&mut self, store: &mut Store, written: &mut impl FnMut(Written)) -> Result<(), Fault> {
        if let Some((ticket, state)) = &self.state {
            store.write(state)?;
            written(Written::State(*ticket));
            self.state = None;
        }
        if let Some(write) = &self.servers {
            store.write_servers(write)?;
            written(Written::Servers(write.ticket));
            self.servers = None;
        }
        if let Some((ticket, names)) = &self.gatekeepers {
            store.write_gatekeepers(names)?;
            written(Written::Gatekeepers(*ticket));
            self.gatekeepers = None;
        }
        Ok(())
    }
}

/// Performs writes until all senders are dropped, and reports each that is on disk.
pub fn run(mut store: Store, jobs: &mpsc::Receiver<Job>, mut written: impl FnMut(Written)) {
    let (mut pending, mut failing) = (Pending::default(), false);
    while let Ok(job) = jobs.recv() {
        pending.take(job);
        while !pending.is_empty() {
            jobs.try_iter().for_each(|job| pending.take(job));
            match pending.write(&mut store, &mut written) {
                Ok(()) => failing = false,
                Err(fault) => {
                    if !std::mem::replace(&mut failing, true) {
                        log::error!("write failed, retrying until it succeeds: {fault}");
                    }
                    std::thread::sleep(RETRY_DELAY);
                }
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::core;
    use googletest::prelude::*;

    fn state(version: u32) -> PersistentState {
        let ip = [10, 1, 0, 2].into();
        let document = Some(Arc::new(Document { version, bytes: vec![7; 100_000] }));
        PersistentState { document, ..core::initial_state(ip, &[ip], true, 5) }
    }

    #[gtest]
    fn written_state_is_read_back_and_an_empty_store_reads_as_none() {
        let mut store = Store::in_memory().unwrap();
        expect_that!(store.read().unwrap(), none());
        let outside = core::initial_state([10, 1, 0, 2].into(), &[], false, 5);
        for state in [state(1), PersistentState { sure: Some(2), ..state(2) }, outside] {
            store.write(&state).unwrap();
            expect_that!(store.read().unwrap(), some(eq(&state)));
        }
    }

    /// A data directory that is removed at the end of a test.
    struct TestDirectory(std::path::PathBuf);

    impl TestDirectory {
        fn new(name: &str) -> TestDirectory {
            let path = std::env::temp_dir().join(format!("marker-{name}-{}", std::process::id()));
            std::fs::create_dir_all(&path).unwrap();
            TestDirectory(path)
        }

        fn file(&self, name: &str) -> std::path::PathBuf {
            self.0.join(name)
        }
    }

    impl Drop for TestDirectory {
        fn drop(&mut self) {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }

    #[gtest]
    fn a_log_truncated_at_any_point_leaves_an_earlier_state() {
        let (written, truncated) = (TestDirectory::new("written"), TestDirectory::new("torn"));
        let mut store = Store::open(&written.0).unwrap();
        let small = |version| {
            let document = Some(Arc::new(Document { version, bytes: vec![7; 6_000] }));
            PersistentState { document, ..state(version) }
        };
        store.write(&small(1)).unwrap();
        store.write(&small(2)).unwrap();
        let (base, log) = ("marker.sqlite", "marker.sqlite-wal");
        let whole = std::fs::read(written.file(log)).unwrap();
        let mut seen = std::collections::BTreeSet::new();
        for length in (0..=whole.len()).rev().step_by(257) {
            std::fs::copy(written.file(base), truncated.file(base)).unwrap();
            std::fs::write(truncated.file(log), &whole[..length]).unwrap();
            let found = Store::find(&truncated.0).unwrap();
            expect_false!(found.was_damaged);
            let version = found.state.map(|state| {
                let document = state.document.clone().unwrap();
                assert_eq!(state, small(document.version));
                document.version
            });
            seen.insert(version);
        }
        expect_that!(seen, eq(&[None, Some(1), Some(2)].into()));
    }

    #[gtest]
    fn a_damaged_file_is_renamed_and_its_promises_count_as_lost() {
        let directory = TestDirectory::new("damaged");
        let mut store = Store::open(&directory.0).unwrap();
        store.write(&state(1)).unwrap();
        drop(store);
        let mut bytes = std::fs::read(directory.file(FILE)).unwrap();
        bytes[..200].fill(0x5a);
        std::fs::write(directory.file(FILE), bytes).unwrap();
        let mut found = Store::find(&directory.0).unwrap();
        expect_true!(found.was_damaged && found.state.is_none() && directory.file(BROKEN_FILE).exists());
        found.store.write(&state(2)).unwrap();
        drop(found);
        let again = Store::find(&directory.0).unwrap();
        expect_that!(again.state, some(eq(&state(2))));
        expect_false!(again.was_damaged);
    }

    #[gtest]
    fn a_write_on_a_full_disk_fails_and_keeps_the_earlier_state_until_space_is_free() {
        let mut store = Store::in_memory().unwrap();
        store.write(&state(1)).unwrap();
        let pages: i64 = store.disk.pragma_query_value(None, "page_count", |row| row.get(0)).unwrap();
        store.disk.pragma_update(None, "max_page_count", pages + 1).unwrap();
        let large = Some(Arc::new(Document { version: 2, bytes: vec![8; 400_000] }));
        let larger = PersistentState { document: large, ..state(2) };
        let fault = store.write(&larger).unwrap_err();
        expect_true!(fault.may_pass());
        expect_that!(store.read().unwrap(), some(eq(&state(1))));
        store.disk.pragma_update(None, "max_page_count", 10_000).unwrap();
        store.write(&larger).unwrap();
        expect_that!(store.read().unwrap(), some(eq(&larger)));
    }

    #[gtest]
    fn an_unsupported_format_is_refused_with_instructions() {
        let disk = Connection::open_in_memory().unwrap();
        disk.pragma_update(None, "user_version", FORMAT + 1).unwrap();
        let fault = Store::from_connection(disk, "x".into()).err().unwrap();
        expect_that!(fault.to_string(), contains_substring("move the folder away"));
    }

    #[gtest]
    fn only_the_newest_pending_write_is_made_and_its_ticket_reported() {
        let (send, writes) = mpsc::channel();
        for ticket in 1..=5 {
            send.send(Job::State(ticket, state(ticket as u32))).unwrap();
        }
        drop(send);
        let mut reported = Vec::new();
        run(Store::in_memory().unwrap(), &writes, |written| reported.push(written));
        expect_that!(reported, eq(&vec![Written::State(5)]));
    }
}
