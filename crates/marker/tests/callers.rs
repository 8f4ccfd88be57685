//! What one process says to another counts for what it was meant for, and once, also when it comes late or again.

use googletest::prelude::*;
use marker::core::{initial_state, Core};
use marker::sessions::{Sessions, Waiter};
use marker::tally::Tally;
use std::net::Ipv4Addr;

const PEER: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 2);

/// Those of a process that starts.
fn sessions(seed: u64) -> Sessions {
    let me = Ipv4Addr::new(10, 0, 0, 1);
    Sessions::new(Core::new(initial_state(me, &[me], true, seed), &[me], 0, seed, 0).draw_nonce())
}

/// Whose waits have ended.
fn ended(sessions: &mut Sessions) -> Vec<Waiter> {
    sessions.known(200).into_iter().map(|(waiter, _)| waiter).collect()
}

#[gtest]
fn what_is_told_late_to_a_process_that_was_here_before_ends_no_wait_of_this_one() {
    // A server that drains waits until the gatekeepers of the other marker know; that one says so within 0.55 s. By
    // then this marker may have started again, and wait for another server.
    let mut before = sessions(1);
    let ticket = before.wait(0, Waiter::Call(1), &[PEER]);
    let mut after = sessions(2);
    let own = after.wait(100, Waiter::Call(2), &[PEER]);
    after.on_told(PEER, ticket);
    expect_that!(ended(&mut after), is_empty());
    after.on_told(Ipv4Addr::new(10, 0, 0, 3), own);
    expect_that!(ended(&mut after), is_empty());
    after.on_told(PEER, own);
    expect_that!(ended(&mut after), elements_are![eq(&Waiter::Call(2))]);
    // It is said again: nobody waits.
    after.on_told(PEER, own);
    expect_that!(ended(&mut after), is_empty());
}

#[gtest]
fn adds_count_once_in_a_session_however_often_and_in_whatever_order_they_come() {
    let adds = |n: u64| vec![("t".to_owned(), n)];
    let mut tally = Tally::default();
    tally.open(1, 11);
    for (session, number, n) in [(1, 1, 5), (1, 1, 5), (1, 2, 3), (1, 1, 5), (1, 2, 3), (2, 7, 9), (1, 3, 1)]
    {
        tally.on_adds(0, session, number, &adds(n));
    }
    expect_that!(tally.news(100), elements_are![eq(&(1, 3, vec![("t".to_owned(), 9, 9)]))]);
    // To the other markers, each once as well.
    expect_that!(tally.batch(), elements_are![eq(&("t".to_owned(), 9))]);
    expect_that!(tally.batch(), is_empty());
}
