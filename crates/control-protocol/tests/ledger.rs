//! Tests of the ledger that maps configuration versions to contents.

use googletest::prelude::*;
use granitelead_control_protocol::ledger::{VersionState, VERSIONS_MAX};
use granitelead_control_protocol::messages::{Digest, Ledger};

#[gtest]
fn a_version_identifies_its_first_content() {
    let mut ledger = Ledger::default();
    ledger.record(5, Digest([1; 16]));
    ledger.record(5, Digest([2; 16]));
    expect_that!(ledger.lookup(5), eq(VersionState::Content(Digest([1; 16]))));
    expect_that!((ledger.lookup(4), ledger.lookup(6)), eq((VersionState::Free, VersionState::Free)));
}

#[gtest]
fn the_highest_versions_are_remembered_in_any_order_of_arrival() {
    let most = VERSIONS_MAX as u32;
    let mut versions: Vec<u32> = (10..most + 30).chain(20..40).collect();
    let record_all = |versions: &[u32]| {
        let mut ledger = Ledger::default();
        versions
            .iter()
            .for_each(|version| ledger.record(*version, Digest::from(u128::MAX - u128::from(*version))));
        ledger
    };
    let expected = record_all(&versions);
    expect_that!(expected.entries().len(), eq(VERSIONS_MAX));
    expect_that!(expected.forgotten(), some(eq(29)));
    // No version below the lowest remembered one is free: it may have been confirmed with another content.
    expect_that!(
        (expected.lookup(0), expected.lookup(29)),
        eq((VersionState::Forgotten, VersionState::Forgotten))
    );
    expect_that!(expected.lookup(30), eq(VersionState::Content(Digest::from(u128::MAX - 30))));
    let mut rng = fastrand::Rng::with_seed(7);
    for _ in 0..20 {
        rng.shuffle(&mut versions);
        expect_that!(record_all(&versions), eq(&expected));
    }
    // Encoded size of a full ledger, bytes: a digest takes 16 of them and is not a list of numbers.
    let mut bytes = Vec::new();
    ciborium::into_writer(&expected, &mut bytes).unwrap();
    expect_that!(bytes.len(), le(48_000));
    let mut late = expected.clone();
    late.record(3, Digest([9; 16]));
    expect_that!(late, eq(&expected));
}

#[gtest]
fn a_digest_is_the_first_half_of_the_sha256_of_the_bytes() {
    // The first test vector of FIPS 180-4.
    expect_that!(Digest::of(b"abc").to_string(), eq("ba7816bf8f01cfea414140de5dae2223"));
}
