//! Losses in a row, members that leave, and where the core is placed, as `common/world.rs` plays them.

mod common;

use common::world::{ip, play, Call, Life, World};
use googletest::prelude::*;
use std::collections::BTreeSet;

/// A deployment as its site file names it: how many markers each zone has (two, where it has so many machines), the first
/// `disks` of them with a disk, and how many losses are to be borne. The platform names three of them as seeds.
fn deployment(losses: usize, zones: &[&'static str], disks: usize, seeds: &[usize], seed: u64) -> World {
    let mut world = World::new(2 * zones.len(), 0, seed);
    world.losses = losses;
    for (n, place) in world.places.iter_mut().enumerate() {
        (place.zone, place.forgets) = (zones[n / 2], n % 2 >= disks);
        place.founder = seeds.contains(&n);
    }
    (0..world.places.len()).for_each(|n| world.act(n, "up"));
    world
}

fn core_of(world: &World) -> Vec<usize> {
    let primary = world.primary().expect("somebody leads");
    let epoch = world.places[primary].core.as_ref().unwrap().view().epoch.unwrap();
    assert_eq!(epoch.core, epoch.previous_core, "a change of the core is under way");
    (0..world.places.len()).filter(|n| epoch.core.iter().any(|node| node.ip == ip(*n))).collect()
}

fn holders_of(world: &World) -> Vec<usize> {
    let primary = world.primary().expect("somebody leads");
    let epoch = world.places[primary].core.as_ref().unwrap().view().epoch.unwrap();
    let holds = |n: &usize| epoch.primary.iter().chain(&epoch.backups).any(|node| node.ip == ip(*n));
    (0..world.places.len()).filter(holds).collect()
}

/// Traffic begins 8 or 10 s after the start; by then the core is as large as the losses need, on disks only, whichever
/// three machines the platform names.
#[gtest]
fn the_core_is_whole_before_traffic_begins_on_each_deployment() {
    let four = ["gent-noord", "antwerpen-dok", "leuven-oost", "brugge-west"];
    for (losses, zones, disks) in [(1, &four[..3], 1), (2, &four[..4], 2), (2, &four[..3], 2)] {
        let mut longest = 0;
        for seed in 0..60 {
            let mut seeds: Vec<usize> = (0..2 * zones.len()).collect();
            fastrand::Rng::with_seed(seed).shuffle(&mut seeds);
            let mut world = deployment(losses, zones, disks, &seeds[..3], seed);
            let whole = |world: &World| {
                let Some(primary) = world.primary() else { return false };
                let epoch = world.places[primary].core.as_ref().unwrap().view().epoch.unwrap();
                let forgets = |ip| world.places.iter().any(|p| p.ip == ip && p.forgets);
                epoch.core == epoch.previous_core
                    && epoch.core.len() == 2 * losses + 1
                    && !epoch.core.iter().any(|node| forgets(node.ip))
            };
            while !whole(&world) {
                world.run(world.now + 25);
                assert!(world.now < 8_000, "seed {seed}: {seeds:?}");
            }
            longest = longest.max(world.now);
            // Nothing changes any more.
            let core = core_of(&world);
            world.run(40_000);
            expect_that!(core_of(&world), eq(&core));
            let places: BTreeSet<&str> = holders_of(&world).iter().map(|n| world.places[*n].zone).collect();
            expect_that!(places.len(), eq(losses + 1), "holders {:?}", holders_of(&world));
        }
        println!("{losses} to be borne in {} zones: whole after {longest} ms at the longest", zones.len());
    }
}

/// A backup that is told to end says so, and is replaced while it still runs; back in place, it is in the core as before.
#[gtest]
fn a_backup_that_leaves_is_replaced_as_holder_while_it_runs_and_stays_in_the_core() {
    let mut world = play(
        3,
        "ms   | a  | b    | c  | operator
         0    | up | up   | up |
         600  |    |      |    | put 1 a
         800  |    | stop |    | acked 1
         900  |    |      |    | primary a",
    );
    expect_that!(holders_of(&world), eq(&vec![0, 2]));
    expect_that!(world.places[1].life, eq(Life::Up));
    world.run(1_300);
    expect_that!(world.places[1].life, eq(Life::Down));
    world.act(1, "up");
    world.run(6_000);
    expect_that!(core_of(&world), eq(&vec![0, 1, 2]));
    expect_that!(shortages(&world), eq(&Vec::<String>::new()));
}

/// The primary is gone with its disk; the backup, told to end meanwhile, holds the only copy, and goes on until it is held
/// by two others.
#[gtest]
fn a_member_that_leaves_with_the_only_copy_goes_on_until_others_hold_it() {
    let world = play(
        3,
        "ms   | a    | b    | c  | operator
         0    | up   | up   | up |
         600  |      |      |    | put 1 a
         800  | wipe |      |    | acked 1
         850  |      | stop |    |
         3000 | up   |      |    |
         5500 |      |      |    | get c
         6400 |      |      |    | has 1
         6400 |      |      |    | put 2 c
         7000 |      |      |    | acked 2",
    );
    expect_that!(world.places[1].life, eq(Life::Down));
    expect_that!(holders_of(&world), eq(&vec![0, 2]));
}

/// The primary leaves and hands over to a backup that has just died: it takes over again, and ends once others hold all.
#[gtest]
fn a_primary_that_hands_over_to_a_dead_one_goes_on() {
    let world = play(
        3,
        "ms   | a    | b     | c  | operator
         0    | up   | up    | up |
         600  |      |       |    | put 1 a
         800  |      | power |    | acked 1
         850  | stop |       |    |
         3500 |      |       |    | primary c
         4000 |      | up    |    | put 2 c
         5500 |      |       |    | acked 2",
    );
    expect_that!(world.places[0].life, eq(Life::Down));
    expect_that!(holders_of(&world), eq(&vec![1, 2]));
}

/// All are told to end at once: nobody waits for anybody, and all begin again at once.
#[gtest]
fn all_that_leave_at_once_do_not_wait_for_each_other() {
    play(
        3,
        "ms   | a    | b    | c    | operator
         0    | up   | up   | up   |
         600  |      |      |      | put 1 a
         800  | stop | stop | stop | acked 1
         1300 |      |      |      | none
         1900 | up   | up   | up   |
         2300 |      |      |      | get c
         2600 |      |      |      | has 1",
    );
}

fn shortages(world: &World) -> Vec<String> {
    world
        .primary()
        .map_or(vec!["nobody leads".into()], |n| world.places[n].core.as_ref().unwrap().shortages())
}

/// For how long fewer running markers than `losses` and one hold what was answered, after one loss or leave.
#[test]
fn copies_are_whole_again_soon_after_one_loss() {
    for (what, longest) in [("kill", 1_000), ("power", 1_500), ("stop", 0)] {
        let mut took = Vec::new();
        for seed in 0..200 {
            let mut world = deployment(1, &["a", "b", "c"], 1, &[0, 2, 4], seed);
            world.run(5_000 + seed);
            world.put(1, "", 0);
            world.run(5_600 + seed);
            // A backup, and in every fourth the primary.
            let primary = world.primary().unwrap();
            let backup = holders_of(&world).into_iter().find(|n| *n != primary).unwrap();
            world.act(if seed % 4 == 0 { primary } else { backup }, what);
            let (began, mut last) = (world.now, world.now);
            while world.now < began + 4_000 {
                world.run(world.now + 5);
                let holds = |p: &&common::world::Place| {
                    let held = p.disk.as_ref().and_then(|disk| disk.document.as_ref());
                    p.life == Life::Up && held.is_some_and(|d| d.version >= 1)
                };
                if world.places.iter().filter(holds).count() < 2 {
                    last = world.now;
                }
            }
            took.push(last - began);
        }
        took.sort();
        println!(
            "{what}: fewer copies than two for {} ms on the median, {} at the longest",
            took[100], took[199]
        );
        assert!(took[199] <= longest, "{what}: {} ms", took[199]);
    }
}

/// Losses and leaves in a row, as many at a time as must be borne, each as soon as the primary says that nothing is missing
/// any more: nothing answered is lost, and all is whole again within `catch-up-s`.
fn in_a_row(seed: u64) {
    let two = seed % 2 == 1;
    let (losses, zones): (usize, &[&str]) = if two { (2, &["a", "b", "c"]) } else { (1, &["a", "b", "c"]) };
    let mut world = deployment(losses, zones, losses, &[0, 2, 4], seed);
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x1055);
    let disks: Vec<usize> = (0..6).filter(|n| !world.places[*n].forgets).collect();
    world.run(4_000);
    let mut version = 0;
    for _ in 0..8 {
        let by = world.now + 6_000;
        while !shortages(&world).is_empty() {
            world.run(world.now + 5);
            assert!(world.now < by, "seed {seed}, at {}: {:?}", world.now, shortages(&world));
        }
        world.run(world.now + rng.u64(0..40));
        let mut hit = disks.clone();
        rng.shuffle(&mut hit);
        hit.truncate(rng.usize(1..=losses));
        for _ in 0..rng.u32(0..3) {
            version += 1;
            world.put(version, "", disks[rng.usize(0..disks.len())]);
            world.run(world.now + rng.u64(0..30));
        }
        let kinds = ["kill", "power", "wipe", "stop", "stop"];
        for n in &hit {
            world.act(*n, kinds[rng.usize(0..kinds.len())]);
        }
        world.run(world.now + rng.u64(450..4_000));
        // One that still waits for others to hold what it holds is started once it has ended.
        while hit.iter().any(|n| world.places[*n].life == Life::Up) {
            world.run(world.now + 25);
        }
        hit.iter().for_each(|n| world.act(*n, "up"));
        let since = world.acked;
        world.call(Call::Get { since }, disks[rng.usize(0..disks.len())]);
        world.run(world.now + 100);
    }
    let by = world.now + 6_000;
    world.put(version + 1, "", disks[0]);
    world.run(by);
    assert_eq!(world.acked, version + 1, "seed {seed}");
    assert_eq!(shortages(&world), Vec::<String>::new(), "seed {seed}");
}

#[test]
fn losses_and_leaves_in_a_row_lose_nothing_that_was_answered() {
    let next = std::sync::atomic::AtomicU64::new(0);
    std::thread::scope(|scope| {
        for _ in 0..8 {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                if seed >= 2_000 {
                    return;
                }
                in_a_row(seed);
            });
        }
    });
}
