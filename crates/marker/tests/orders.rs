//! Consistency of operators' calls under faults: operators send up to eight calls at once, with
//! several contents under one version, and retry calls without an answer while markers fail. Random
//! schedules run in virtual time, and the history that the operators observed is checked.

mod common;

use common::world::{Call, ObservedCall, Operation, Outcome, World, FAULTS};
use googletest::prelude::*;
use granitelead_control_protocol::messages::{Ledger, PeerMessage};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU64, Ordering};

/// Largest number of operators' calls in flight.
const MAX_IN_FLIGHT: usize = 8;
/// ProposalNumber of schedules by default, as in CI; the variable `SCHEDULES` sets another.
const SCHEDULES: u64 = 10_000;

/// Checks a history: each version has one content; only a change that was never confirmed is
/// refused, and only because of another change under its version; the confirmed changes and the
/// reads can be ordered such that each read returns the highest version before it.
fn check_history(
    seen: &[ObservedCall],
    confirmed: &BTreeSet<(u32, String)>,
) -> std::result::Result<(), String> {
    let mut contents: BTreeMap<u32, &str> = BTreeMap::new();
    let ended = || seen.iter().filter_map(|s| s.outcome.as_ref().map(|(at, outcome)| (s, *at, outcome)));
    let answered = ended().filter_map(|(s, _, end)| match (&s.operation, end) {
        (Operation::Put(version, content), Outcome::Confirmed) => Some((*version, content.as_str())),
        (Operation::Get, Outcome::Read(version, content)) => Some((*version, content.as_str())),
        _ => None,
    });
    for (version, content) in answered.chain(confirmed.iter().map(|(v, c)| (*v, c.as_str()))) {
        let other = *contents.entry(version).or_insert(content);
        if other != content {
            return Err(format!("{version} stands for {other} and for {content}"));
        }
    }
    // For each point in time, the highest version that any later call must observe.
    let known: Vec<(u64, u32)> = ended()
        .filter_map(|(s, at, end)| match (&s.operation, end) {
            (Operation::Put(version, _), Outcome::Confirmed) | (_, Outcome::Read(version, _)) => {
                Some((at, *version))
            }
            _ => None,
        })
        .collect();
    for (s, at, end) in ended() {
        let before = known.iter().filter(|(end, _)| *end < s.sent).map(|(_, version)| *version).max();
        let sent = |matches: &dyn Fn(u32, &str) -> bool| {
            let changes = seen.iter().filter(|o| o.sent <= at);
            changes.into_iter().any(|o| matches!(&o.operation, Operation::Put(v, c) if matches(*v, c)))
        };
        match (&s.operation, end) {
            (Operation::Put(version, content), Outcome::Refused) => {
                if contents.get(version) == Some(&content.as_str()) {
                    return Err(format!("{version} {content} is refused and confirmed"));
                }
                if !sent(&|v, c| v == *version && c != content) {
                    return Err(format!("{version} {content} is refused for nothing"));
                }
            }
            (_, Outcome::Read(version, content)) => {
                if !sent(&|v, c| v == *version && c == content) {
                    return Err(format!("{version} {content} is read and was never sent"));
                }
                if before.is_some_and(|before| *version < before) {
                    return Err(format!("{version} is read after {before:?}"));
                }
            }
            (_, Outcome::NotConfigured) if before.is_some() => {
                return Err(format!("nothing is read after {before:?}"))
            }
            _ => {}
        }
    }
    Ok(())
}

/// Sends a random set of operators' calls.
fn send_calls(world: &mut World, rng: &mut fastrand::Rng, machines: usize) {
    let free = MAX_IN_FLIGHT.saturating_sub(world.calls.len());
    for _ in 0..rng.usize(0..=free) {
        let changes: Vec<(u32, String)> = world
            .observed
            .values()
            .filter_map(|s| match &s.operation {
                Operation::Put(version, content) => Some((*version, content.clone())),
                Operation::Get => None,
            })
            .collect();
        let top = changes.iter().map(|(version, _)| *version).max().unwrap_or(5);
        let content = format!("c{}", world.observed.len());
        let at = rng.usize(0..machines);
        match rng.u32(0..20) {
            0..7 => world.put(top + rng.u32(1..4), &content, at),
            7..10 => world.put(top.saturating_sub(rng.u32(0..2)), &content, at),
            10..13 => world.put(top.saturating_sub(rng.u32(0..8)), &content, at),
            13..17 if !changes.is_empty() => {
                let (version, content) = &changes[rng.usize(0..changes.len())];
                world.put(*version, content, at);
            }
            _ => world.call(Call::Get { since: 0 }, at),
        }
        if rng.bool() {
            let now = world.now + rng.u64(0..20);
            world.run(now);
        }
    }
}

/// Runs one schedule; returns the violation in its history, if any.
fn run_schedule(seed: u64, tamper: Option<fn(&mut PeerMessage)>) -> std::result::Result<(), String> {
    let (losses, machines) = if seed % 8 == 7 { (2, 6) } else { (1, 3) };
    let mut world = World::new(machines, 3, seed);
    (world.losses, world.tamper) = (losses, tamper);
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x0de5);
    world.message_loss = if seed.is_multiple_of(3) { 0.05 } else { 0.0 };
    world.answer_loss = 0.2;
    (0..machines).for_each(|n| world.inject(n, "up"));
    let mut now = if losses > 1 { 4_000 } else { 500 };
    for _ in 0..if losses > 1 { 2 } else { 3 } {
        world.run(now);
        send_calls(&mut world, &mut rng, machines);
        let mut hit: Vec<usize> = (0..machines).collect();
        rng.shuffle(&mut hit);
        hit.truncate(rng.usize(1..=losses));
        let hit: Vec<_> = hit.into_iter().map(|n| (n, FAULTS[rng.usize(0..FAULTS.len())])).collect();
        hit.iter().for_each(|(n, (begin, _))| world.inject(*n, begin));
        send_calls(&mut world, &mut rng, machines);
        let until = world.now + rng.u64(20..2_500);
        world.run(until);
        send_calls(&mut world, &mut rng, machines);
        hit.iter().for_each(|(n, (_, end))| world.inject(*n, end));
        // The markers count as lost until they have caught up; the operators continue meanwhile.
        let rest = if losses > 1 { 8_000 } else { 5_000 };
        let middle = world.now + rng.u64(0..rest / 2);
        world.run(middle);
        send_calls(&mut world, &mut rng, machines);
        now = until + rest;
    }
    world.run(now);
    world.answer_loss = 0.0;
    world.call(Call::Get { since: 0 }, rng.usize(0..machines));
    world.run(now + 6_000);
    let open: Vec<&ObservedCall> = world.observed.values().filter(|s| s.outcome.is_none()).collect();
    if !open.is_empty() {
        return Err(format!("no definite answer to {open:?}"));
    }
    let seen: Vec<ObservedCall> = world.observed.into_values().collect();
    check_history(&seen, &world.confirmed)
}

#[test]
fn ten_thousand_random_schedules_confirm_one_content_per_version() {
    let schedules = std::env::var("SCHEDULES").map_or(SCHEDULES, |n| n.parse().unwrap());
    let next = AtomicU64::new(0);
    std::thread::scope(|scope| {
        for _ in 0..8 {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= schedules {
                    return;
                }
                run_schedule(seed, None).unwrap_or_else(|wrong| panic!("seed {seed}: {wrong}"));
            });
        }
    });
}

/// Guards the checker itself: it must detect markers that lose parts of the ledger.
#[gtest]
fn the_checker_detects_markers_that_lose_parts_of_the_ledger() {
    let without: fn(&mut PeerMessage) = |message| {
        if let PeerMessage::InstallSnapshot(_, whole) = message {
            whole.ledger = Ledger::default();
        }
    };
    let newest_only: fn(&mut PeerMessage) = |message| {
        if let PeerMessage::Replicate(_, change) = message {
            change.entries = change.entries.pop_last().into_iter().collect();
        }
    };
    for tamper in [without, newest_only] {
        expect_true!((0..200).any(|seed| run_schedule(seed, Some(tamper)).is_err()));
    }
}

fn put(sent: u64, end: u64, version: u32, content: &str, outcome: Outcome) -> ObservedCall {
    ObservedCall { operation: Operation::Put(version, content.into()), sent, outcome: Some((end, outcome)) }
}

fn get(sent: u64, end: u64, outcome: Outcome) -> ObservedCall {
    ObservedCall { operation: Operation::Get, sent, outcome: Some((end, outcome)) }
}

#[gtest]
fn the_checker_applies_every_rule_to_a_history() {
    use Outcome::{Confirmed, NotConfigured, Read, Refused};
    let read = |sent, end, version, content: &str| get(sent, end, Read(version, content.into()));
    let valid = vec![
        get(0, 1, NotConfigured),
        put(2, 5, 5, "a", Confirmed),
        put(2, 9, 5, "b", Refused),
        put(6, 8, 4, "c", Confirmed),
        read(6, 8, 5, "a"),
        put(10, 20, 7, "d", Confirmed),
        // A read may or may not return a change that is not confirmed yet.
        read(11, 12, 7, "d"),
        read(11, 13, 5, "a"),
        put(21, 22, 5, "a", Confirmed),
    ];
    let none = BTreeSet::new();
    expect_that!(check_history(&valid, &none), ok(eq(&())));
    for (more, wrong) in [
        (put(30, 31, 5, "b", Confirmed), "stands for"),
        (put(30, 31, 5, "a", Refused), "refused and confirmed"),
        (put(30, 31, 8, "e", Refused), "refused for nothing"),
        (read(30, 31, 5, "a"), "is read after"),
        (read(14, 15, 5, "a"), "is read after"),
        (read(30, 31, 7, "x"), "stands for"),
        (read(30, 31, 9, "x"), "never sent"),
        (get(30, 31, NotConfigured), "nothing is read after"),
    ] {
        let history: Vec<ObservedCall> = valid.iter().cloned().chain([more]).collect();
        expect_that!(check_history(&history, &none), err(contains_substring(wrong)));
    }
    // A change that was confirmed counts even if its operator did not receive the answer.
    let unseen = BTreeSet::from([(5, "b".to_owned())]);
    expect_that!(check_history(&valid, &unseen), err(contains_substring("stands for")));
}
