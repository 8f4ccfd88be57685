//! The ledger of numbers and contents.

use googletest::prelude::*;
use granitelead_control_protocol::ledger::{Known, NUMBERS_MAX};
use granitelead_control_protocol::words::{Digest, Ledger};

#[gtest]
fn a_number_stands_for_its_first_content() {
    let mut ledger = Ledger::default();
    ledger.enter(5, Digest([1; 16]));
    ledger.enter(5, Digest([2; 16]));
    expect_that!(ledger.known(5), eq(Known::Content(Digest([1; 16]))));
    expect_that!((ledger.known(4), ledger.known(6)), eq((Known::Free, Known::Free)));
}

#[gtest]
fn the_highest_numbers_are_remembered_whatever_the_order_they_come_in() {
    let most = NUMBERS_MAX as u32;
    let mut numbers: Vec<u32> = (10..most + 30).chain(20..40).collect();
    let enter = |numbers: &[u32]| {
        let mut ledger = Ledger::default();
        numbers
            .iter()
            .for_each(|number| ledger.enter(*number, Digest::from(u128::MAX - u128::from(*number))));
        ledger
    };
    let up = enter(&numbers);
    expect_that!(up.entries().len(), eq(NUMBERS_MAX));
    expect_that!(up.forgotten(), some(eq(29)));
    // Below the lowest that is remembered nothing is free: another content may have been confirmed there.
    expect_that!((up.known(0), up.known(29)), eq((Known::Forgotten, Known::Forgotten)));
    expect_that!(up.known(30), eq(Known::Content(Digest::from(u128::MAX - 30))));
    let mut rng = fastrand::Rng::with_seed(7);
    for _ in 0..20 {
        rng.shuffle(&mut numbers);
        expect_that!(enter(&numbers), eq(&up));
    }
    // What a copy costs, bytes: a digest in 16 of them, not as a list of numbers.
    let mut bytes = Vec::new();
    ciborium::into_writer(&up, &mut bytes).unwrap();
    expect_that!(bytes.len(), le(48_000));
    let mut late = up.clone();
    late.enter(3, Digest([9; 16]));
    expect_that!(late, eq(&up));
}

#[gtest]
fn a_digest_is_the_first_half_of_the_sha256_of_the_bytes() {
    // The first test vector of FIPS 180-4.
    expect_that!(Digest::of(b"abc").to_string(), eq("ba7816bf8f01cfea414140de5dae2223"));
}
