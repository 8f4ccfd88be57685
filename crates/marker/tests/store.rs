//! Tests of the marker's store: how the ledger of configuration versions and their digests and the records of servers are
//! written and migrated.

use googletest::prelude::*;
use granitelead_control_protocol::ledger::{VersionState, VERSIONS_MAX};
use granitelead_control_protocol::messages::{Digest, Document, Instance, InstanceState, Ledger};
use marker::core::initial_state;
use marker::store::Store;
use marker::types::{PersistentState, ServerWrite};
use rusqlite::Connection;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::Arc;

/// A data directory that is removed at the end of a test.
struct TestDirectory(PathBuf);

impl TestDirectory {
    fn new(name: &str) -> TestDirectory {
        let path = std::env::temp_dir().join(format!("marker-store-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        TestDirectory(path)
    }

    fn connection(&self) -> Connection {
        Connection::open(self.0.join("marker.sqlite")).unwrap()
    }
}

impl Drop for TestDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn state(version: u32, ledger: &Ledger) -> PersistentState {
    let ip = [10, 1, 0, 2].into();
    let document = Some(Arc::new(Document { version, bytes: vec![7; 100] }));
    PersistentState { document, ledger: Arc::new(ledger.clone()), ..initial_state(ip, &[ip], true, 5) }
}

#[gtest]
fn the_ledger_is_read_back_and_only_changed_entries_are_written() {
    let directory = TestDirectory::new("ledger");
    let mut store = Store::open(&directory.0).unwrap();
    let mut ledger = Ledger::default();
    for version in 1..=VERSIONS_MAX as u32 + 3 {
        ledger.record(version, Digest::from(u128::MAX - u128::from(version)));
    }
    store.write(&state(9_000, &ledger)).unwrap();
    drop(store);
    // The trigger fails the test if a row is written again that has not changed.
    directory.connection().execute("CREATE TRIGGER t AFTER INSERT ON numbers BEGIN SELECT RAISE(ABORT, 'again') WHERE NEW.version < 5000; END", []).unwrap();
    let mut store = Store::open(&directory.0).unwrap();
    expect_that!(store.read().unwrap(), some(eq(&state(9_000, &ledger))));
    ledger.record(9_001, Digest([1; 16]));
    store.write(&state(9_001, &ledger)).unwrap();
    expect_that!(store.read().unwrap(), some(eq(&state(9_001, &ledger))));
    // A ledger received from another marker replaces all entries.
    let other =
        Ledger::new(Some(8_000), BTreeMap::from([(8_001, Digest([3; 16])), (9_001, Digest([2; 16]))]));
    store.write(&state(9_001, &other)).unwrap();
    drop(store);
    let mut store = Store::open(&directory.0).unwrap();
    expect_that!(store.read().unwrap(), some(eq(&state(9_001, &other))));
}

#[gtest]
fn a_store_of_the_previous_format_is_migrated_and_lower_versions_count_as_forgotten() {
    for (version, forgotten) in [(7, Some(6)), (0, None)] {
        let directory = TestDirectory::new(&format!("before-{version}"));
        let mut store = Store::open(&directory.0).unwrap();
        store.write(&state(version, &Ledger::default())).unwrap();
        drop(store);
        let to_previous_format =
            "DROP TABLE numbers; DELETE FROM kept WHERE name = 'forgotten'; PRAGMA user_version = 1";
        directory.connection().execute_batch(to_previous_format).unwrap();
        let digest = Digest::of(&[7; 100]);
        let migrated = state(version, &Ledger::new(forgotten, BTreeMap::from([(version, digest)])));
        for _ in 0..2 {
            let read = Store::open(&directory.0).unwrap().read().unwrap();
            expect_that!(read, some(eq(&migrated)));
        }
        expect_that!(migrated.ledger.lookup(version), eq(VersionState::Content(digest)));
    }
}

fn server(id: &str, sequence: u64, state: InstanceState) -> Instance {
    Instance { service: "s".into(), sequence, state, ..Instance::ended(id) }
}

fn servers(store: &Store) -> Vec<(String, u64, InstanceState)> {
    let stored = store.servers().unwrap();
    stored.into_iter().map(|server| (server.id, server.sequence, server.state)).collect()
}

fn write_of(records: Vec<(&str, Option<Instance>)>) -> ServerWrite {
    let records = records.into_iter().map(|(id, record)| (id.to_owned(), record)).collect();
    ServerWrite { ticket: 1, records }
}

#[gtest]
fn each_server_has_a_record_that_is_replaced_and_removed_alone() {
    let directory = TestDirectory::new("servers");
    let mut store = Store::open(&directory.0).unwrap();
    let ready = |id| Some(server(id, 1, InstanceState::Ready));
    store.write_servers(&write_of(vec![("x", ready("x")), ("y", ready("y")), ("z", ready("z"))])).unwrap();
    store.write_servers(&write_of(vec![("x", Some(Instance::ended("x"))), ("y", None)])).unwrap();
    drop(store);
    let store = Store::open(&directory.0).unwrap();
    let gone = ("x".to_owned(), u64::MAX, InstanceState::Gone);
    expect_that!(servers(&store), eq(&vec![gone, ("z".to_owned(), 1, InstanceState::Ready)]));
}

/// Guards against records that bring a server back which ended while an earlier program used the directory.
#[gtest]
fn the_list_of_an_earlier_program_replaces_the_live_records_and_no_deregistration() {
    let directory = TestDirectory::new("earlier-servers");
    let mut store = Store::open(&directory.0).unwrap();
    let records = vec![
        ("x", Some(Instance::ended("x"))),
        ("y", Some(server("y", 5, InstanceState::Ready))),
        ("z", Some(server("z", 5, InstanceState::Ready))),
    ];
    store.write_servers(&write_of(records)).unwrap();
    drop(store);
    let listed = vec![server("x", 4, InstanceState::Ready), server("z", 9, InstanceState::Draining)];
    let mut value = Vec::new();
    ciborium::into_writer(&listed, &mut value).unwrap();
    let put = "INSERT INTO kept (name, value) VALUES ('servers', ?1)";
    directory.connection().execute(put, [value]).unwrap();
    for _ in 0..2 {
        let store = Store::open(&directory.0).unwrap();
        let gone = ("x".to_owned(), u64::MAX, InstanceState::Gone);
        expect_that!(servers(&store), eq(&vec![gone, ("z".to_owned(), 9, InstanceState::Draining)]));
    }
}
