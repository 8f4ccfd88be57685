//! The folder of a marker: how it keeps which content each number stands for.

use googletest::prelude::*;
use granitelead_control_protocol::ledger::{VersionState, VERSIONS_MAX};
use granitelead_control_protocol::messages::{Digest, Document, Ledger};
use marker::core::initial_state;
use marker::parts::Keeping;
use marker::store::Store;
use rusqlite::Connection;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::Arc;

/// A folder of a test, gone with it.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("marker-store-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Folder(path)
    }

    fn disk(&self) -> Connection {
        Connection::open(self.0.join("marker.sqlite")).unwrap()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn keeping(version: u32, ledger: &Ledger) -> Keeping {
    let ip = [10, 1, 0, 2].into();
    let document = Some(Arc::new(Document { version, bytes: vec![7; 100] }));
    Keeping { document, ledger: Arc::new(ledger.clone()), ..initial_state(ip, &[ip], true, 5) }
}

#[gtest]
fn the_ledger_is_read_back_and_of_a_change_only_what_changed_is_written() {
    let folder = Folder::new("ledger");
    let mut store = Store::open(&folder.0).unwrap();
    let mut ledger = Ledger::default();
    for version in 1..=VERSIONS_MAX as u32 + 3 {
        ledger.record(version, Digest::from(u128::MAX - u128::from(version)));
    }
    store.write(&keeping(9_000, &ledger)).unwrap();
    drop(store);
    // A row is written again only where it differs.
    folder.disk().execute("CREATE TRIGGER t AFTER INSERT ON numbers BEGIN SELECT RAISE(ABORT, 'again') WHERE NEW.version < 5000; END", []).unwrap();
    let mut store = Store::open(&folder.0).unwrap();
    expect_that!(store.read().unwrap(), some(eq(&keeping(9_000, &ledger))));
    ledger.record(9_001, Digest([1; 16]));
    store.write(&keeping(9_001, &ledger)).unwrap();
    expect_that!(store.read().unwrap(), some(eq(&keeping(9_001, &ledger))));
    // What a copy hands over replaces all.
    let other =
        Ledger::new(Some(8_000), BTreeMap::from([(8_001, Digest([3; 16])), (9_001, Digest([2; 16]))]));
    store.write(&keeping(9_001, &other)).unwrap();
    drop(store);
    let mut store = Store::open(&folder.0).unwrap();
    expect_that!(store.read().unwrap(), some(eq(&keeping(9_001, &other))));
}

#[gtest]
fn a_folder_of_the_form_before_is_carried_over_and_below_what_it_holds_nothing_is_known() {
    for (version, forgotten) in [(7, Some(6)), (0, None)] {
        let folder = Folder::new(&format!("before-{version}"));
        let mut store = Store::open(&folder.0).unwrap();
        store.write(&keeping(version, &Ledger::default())).unwrap();
        drop(store);
        let old = "DROP TABLE numbers; DELETE FROM kept WHERE name = 'forgotten'; PRAGMA user_version = 1";
        folder.disk().execute_batch(old).unwrap();
        let digest = Digest::of(&[7; 100]);
        let carried = keeping(version, &Ledger::new(forgotten, BTreeMap::from([(version, digest)])));
        for _ in 0..2 {
            let read = Store::open(&folder.0).unwrap().read().unwrap();
            expect_that!(read, some(eq(&carried)));
        }
        expect_that!(carried.ledger.lookup(version), eq(VersionState::Content(digest)));
    }
}
