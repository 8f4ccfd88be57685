//! Messages between processes take effect only for the wait or session that they belong to, and once, also
//! when they arrive late or repeated.

use googletest::prelude::*;
use marker::core::{initial_state, Core};
use marker::sessions::{Sessions, Waiter};
use marker::tally::Tally;
use std::net::Ipv4Addr;

const PEER: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 2);

/// The sessions of a process that starts.
fn sessions(seed: u64) -> Sessions {
    let me = Ipv4Addr::new(10, 0, 0, 1);
    Sessions::new(Core::new(initial_state(me, &[me], true, seed), &[me], 0, seed, 0).draw_nonce())
}

/// The waiters whose waits have ended.
fn ended(sessions: &mut Sessions) -> Vec<Waiter> {
    sessions.finished_waits(200, 0).into_iter().map(|wait| wait.waiter).collect()
}

#[gtest]
fn a_late_confirmation_for_an_earlier_incarnation_ends_no_wait_of_this_one() {
    // A draining server waits until the gatekeepers of the other marker know; that marker confirms within
    // 0.55 s. By then this marker may have restarted and wait on behalf of another server.
    let mut earlier = sessions(1);
    let ticket = earlier.start_wait(0, Waiter::Call(1), &[PEER], 0);
    let mut restarted = sessions(2);
    let own = restarted.start_wait(100, Waiter::Call(2), &[PEER], 0);
    restarted.on_confirmed(PEER, ticket);
    expect_that!(ended(&mut restarted), is_empty());
    restarted.on_confirmed(Ipv4Addr::new(10, 0, 0, 3), own);
    expect_that!(ended(&mut restarted), is_empty());
    restarted.on_confirmed(PEER, own);
    expect_that!(ended(&mut restarted), elements_are![eq(&Waiter::Call(2))]);
    // A repeated confirmation finds no wait.
    restarted.on_confirmed(PEER, own);
    expect_that!(ended(&mut restarted), is_empty());
}

#[gtest]
fn usage_reports_count_once_in_a_session_if_repeated_or_reordered() {
    let adds = |n: u64| vec![("t".to_owned(), n)];
    let mut tally = Tally::default();
    tally.attach(1, 11);
    for (session, number, n) in [(1, 1, 5), (1, 1, 5), (1, 2, 3), (1, 1, 5), (1, 2, 3), (2, 7, 9), (1, 3, 1)]
    {
        tally.on_usage(0, session, number, &adds(n));
    }
    expect_that!(tally.take_updates(100), elements_are![eq(&(1, 3, vec![("t".to_owned(), 9, 9)]))]);
    // The batch for the other markers includes each report once as well.
    expect_that!(tally.take_batch(), elements_are![eq(&("t".to_owned(), 9))]);
    expect_that!(tally.take_batch(), is_empty());
}
