//! Operators that send up to eight calls at once, with several contents under one number, and send again what had no
//! answer, while markers fail: drawn schedules in virtual time, judged by what the operators saw.

mod common;

use common::world::{Asked, Call, Clear, Seen, World, FAULTS};
use googletest::prelude::*;
use granitelead_control_protocol::messages::{Ledger, PeerMessage};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU64, Ordering};

/// Calls of operators that are under way at once.
const AT_ONCE: usize = 8;
/// Schedules in CI; more by hand with `SCHEDULES=100000`.
const SCHEDULES: u64 = 10_000;

/// Whether a history keeps the rules: one content a number; refused is only what was never confirmed, and for another
/// order; confirmed orders and reads can be put in one order in which each read has the highest number before it.
fn judge(seen: &[Seen], confirmed: &BTreeSet<(u32, String)>) -> std::result::Result<(), String> {
    let mut contents: BTreeMap<u32, &str> = BTreeMap::new();
    let ended = || seen.iter().filter_map(|s| s.end.as_ref().map(|(at, end)| (s, *at, end)));
    let told = ended().filter_map(|(s, _, end)| match (&s.call, end) {
        (Asked::Put(version, content), Clear::Confirmed) => Some((*version, content.as_str())),
        (Asked::Get, Clear::Read(version, content)) => Some((*version, content.as_str())),
        _ => None,
    });
    for (version, content) in told.chain(confirmed.iter().map(|(v, c)| (*v, c.as_str()))) {
        let other = *contents.entry(version).or_insert(content);
        if other != content {
            return Err(format!("{version} stands for {other} and for {content}"));
        }
    }
    // The highest number that everybody who asks from then on must see.
    let known: Vec<(u64, u32)> = ended()
        .filter_map(|(s, at, end)| match (&s.call, end) {
            (Asked::Put(version, _), Clear::Confirmed) | (_, Clear::Read(version, _)) => Some((at, *version)),
            _ => None,
        })
        .collect();
    for (s, at, end) in ended() {
        let before = known.iter().filter(|(end, _)| *end < s.sent).map(|(_, version)| *version).max();
        let sent = |meant: &dyn Fn(u32, &str) -> bool| {
            let orders = seen.iter().filter(|o| o.sent <= at);
            orders.into_iter().any(|o| matches!(&o.call, Asked::Put(v, c) if meant(*v, c)))
        };
        match (&s.call, end) {
            (Asked::Put(version, content), Clear::Refused) => {
                if contents.get(version) == Some(&content.as_str()) {
                    return Err(format!("{version} {content} is refused and confirmed"));
                }
                if !sent(&|v, c| v == *version && c != content) {
                    return Err(format!("{version} {content} is refused for nothing"));
                }
            }
            (_, Clear::Read(version, content)) => {
                if !sent(&|v, c| v == *version && c == content) {
                    return Err(format!("{version} {content} is read and was never sent"));
                }
                if before.is_some_and(|before| *version < before) {
                    return Err(format!("{version} is read after {before:?}"));
                }
            }
            (_, Clear::Nothing) if before.is_some() => {
                return Err(format!("nothing is read after {before:?}"))
            }
            _ => {}
        }
    }
    Ok(())
}

/// Draws what the operators send next.
fn send(world: &mut World, rng: &mut fastrand::Rng, places: usize) {
    let free = AT_ONCE.saturating_sub(world.calls.len());
    for _ in 0..rng.usize(0..=free) {
        let orders: Vec<(u32, String)> = world
            .seen
            .values()
            .filter_map(|s| match &s.call {
                Asked::Put(version, content) => Some((*version, content.clone())),
                Asked::Get => None,
            })
            .collect();
        let top = orders.iter().map(|(version, _)| *version).max().unwrap_or(5);
        let fresh = format!("c{}", world.seen.len());
        let at = rng.usize(0..places);
        match rng.u32(0..20) {
            0..7 => world.put(top + rng.u32(1..4), &fresh, at),
            7..10 => world.put(top.saturating_sub(rng.u32(0..2)), &fresh, at),
            10..13 => world.put(top.saturating_sub(rng.u32(0..8)), &fresh, at),
            13..17 if !orders.is_empty() => {
                let (version, content) = &orders[rng.usize(0..orders.len())];
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

/// Plays one schedule; what is wrong with its history.
fn drawn(seed: u64, tamper: Option<fn(&mut PeerMessage)>) -> std::result::Result<(), String> {
    let (losses, places) = if seed % 8 == 7 { (2, 6) } else { (1, 3) };
    let mut world = World::new(places, 3, seed);
    (world.losses, world.tamper) = (losses, tamper);
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x0de5);
    world.lossy = if seed.is_multiple_of(3) { 0.05 } else { 0.0 };
    world.answers_lost = 0.2;
    (0..places).for_each(|n| world.act(n, "up"));
    let mut now = if losses > 1 { 4_000 } else { 500 };
    for _ in 0..if losses > 1 { 2 } else { 3 } {
        world.run(now);
        send(&mut world, &mut rng, places);
        let mut hit: Vec<usize> = (0..places).collect();
        rng.shuffle(&mut hit);
        hit.truncate(rng.usize(1..=losses));
        let hit: Vec<_> = hit.into_iter().map(|n| (n, FAULTS[rng.usize(0..FAULTS.len())])).collect();
        hit.iter().for_each(|(n, (begin, _))| world.act(*n, begin));
        send(&mut world, &mut rng, places);
        let until = world.now + rng.u64(20..2_500);
        world.run(until);
        send(&mut world, &mut rng, places);
        hit.iter().for_each(|(n, (_, end))| world.act(*n, end));
        // They count as lost until they have caught up; the operators go on.
        let rest = if losses > 1 { 8_000 } else { 5_000 };
        let middle = world.now + rng.u64(0..rest / 2);
        world.run(middle);
        send(&mut world, &mut rng, places);
        now = until + rest;
    }
    world.run(now);
    world.answers_lost = 0.0;
    world.call(Call::Get { since: 0 }, rng.usize(0..places));
    world.run(now + 6_000);
    let open: Vec<&Seen> = world.seen.values().filter(|s| s.end.is_none()).collect();
    if !open.is_empty() {
        return Err(format!("no clear answer to {open:?}"));
    }
    let seen: Vec<Seen> = world.seen.into_values().collect();
    judge(&seen, &world.confirmed)
}

#[test]
fn ten_thousand_drawn_schedules_confirm_one_content_a_number() {
    let schedules = std::env::var("SCHEDULES").map_or(SCHEDULES, |n| n.parse().unwrap());
    let next = AtomicU64::new(0);
    std::thread::scope(|scope| {
        for _ in 0..8 {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= schedules {
                    return;
                }
                drawn(seed, None).unwrap_or_else(|wrong| panic!("seed {seed}: {wrong}"));
            });
        }
    });
}

/// The judge is no use unless it sees markers that forget.
#[gtest]
fn markers_that_lose_parts_of_the_ledger_are_caught() {
    let without: fn(&mut PeerMessage) = |word| {
        if let PeerMessage::InstallSnapshot(_, whole) = word {
            whole.ledger = Ledger::default();
        }
    };
    let newest_only: fn(&mut PeerMessage) = |word| {
        if let PeerMessage::Replicate(_, change) = word {
            change.entries = change.entries.pop_last().into_iter().collect();
        }
    };
    for tamper in [without, newest_only] {
        expect_true!((0..200).any(|seed| drawn(seed, Some(tamper)).is_err()));
    }
}

fn put(sent: u64, end: u64, version: u32, content: &str, clear: Clear) -> Seen {
    Seen { call: Asked::Put(version, content.into()), sent, end: Some((end, clear)) }
}

fn get(sent: u64, end: u64, clear: Clear) -> Seen {
    Seen { call: Asked::Get, sent, end: Some((end, clear)) }
}

#[gtest]
fn a_history_is_judged_by_every_rule() {
    use Clear::{Confirmed, Nothing, Read, Refused};
    let read = |sent, end, version, content: &str| get(sent, end, Read(version, content.into()));
    let whole = vec![
        get(0, 1, Nothing),
        put(2, 5, 5, "a", Confirmed),
        put(2, 9, 5, "b", Refused),
        put(6, 8, 4, "c", Confirmed),
        read(6, 8, 5, "a"),
        put(10, 20, 7, "d", Confirmed),
        // One that is not confirmed yet may be read, or not.
        read(11, 12, 7, "d"),
        read(11, 13, 5, "a"),
        put(21, 22, 5, "a", Confirmed),
    ];
    let none = BTreeSet::new();
    expect_that!(judge(&whole, &none), ok(eq(&())));
    for (more, wrong) in [
        (put(30, 31, 5, "b", Confirmed), "stands for"),
        (put(30, 31, 5, "a", Refused), "refused and confirmed"),
        (put(30, 31, 8, "e", Refused), "refused for nothing"),
        (read(30, 31, 5, "a"), "is read after"),
        (read(14, 15, 5, "a"), "is read after"),
        (read(30, 31, 7, "x"), "stands for"),
        (read(30, 31, 9, "x"), "never sent"),
        (get(30, 31, Nothing), "nothing is read after"),
    ] {
        let history: Vec<Seen> = whole.iter().cloned().chain([more]).collect();
        expect_that!(judge(&history, &none), err(contains_substring(wrong)));
    }
    // What was confirmed and not seen counts as well.
    let unseen = BTreeSet::from([(5, "b".to_owned())]);
    expect_that!(judge(&whole, &unseen), err(contains_substring("stands for")));
}
