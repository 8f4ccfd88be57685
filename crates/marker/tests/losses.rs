//! Consecutive losses, members that shut down, and the placement of the core, in the simulator of
//! `common/world.rs`.

mod common;

use common::world::{ip, play, Call, ProcessState, World};
use googletest::prelude::*;
use std::collections::BTreeSet;

/// A deployment as in a site file, with two markers in each zone, of which the first `disks` have a
/// disk, and the number of losses to tolerate. The platform chooses the `seeds`.
fn deployment(losses: usize, zones: &[&'static str], disks: usize, seeds: &[usize], seed: u64) -> World {
    let mut world = World::new(2 * zones.len(), 0, seed);
    world.losses = losses;
    for (n, machine) in world.machines.iter_mut().enumerate() {
        (machine.zone, machine.diskless) = (zones[n / 2], n % 2 >= disks);
        machine.founder = seeds.contains(&n);
    }
    (0..world.machines.len()).for_each(|n| world.inject(n, "up"));
    world
}

fn core_of(world: &World) -> Vec<usize> {
    let primary = world.primary().expect("there is no primary");
    let epoch = world.machines[primary].core.as_ref().unwrap().view().epoch.unwrap();
    assert_eq!(epoch.core, epoch.previous_core, "a change of the core is in progress");
    (0..world.machines.len()).filter(|n| epoch.core.iter().any(|node| node.ip == ip(*n))).collect()
}

fn replicas_of(world: &World) -> Vec<usize> {
    let primary = world.primary().expect("there is no primary");
    let epoch = world.machines[primary].core.as_ref().unwrap().view().epoch.unwrap();
    let holds = |n: &usize| epoch.primary.iter().chain(&epoch.backups).any(|node| node.ip == ip(*n));
    (0..world.machines.len()).filter(holds).collect()
}

/// Traffic starts 8 or 10 s after the deployment. By then the core must have its full size, with
/// disks only, whichever three machines the platform chose as seeds.
#[gtest]
fn the_core_has_full_redundancy_before_traffic_starts_on_each_deployment() {
    let four = ["gent-noord", "antwerpen-dok", "leuven-oost", "brugge-west"];
    for (losses, zones, disks) in [(1, &four[..3], 1), (2, &four[..4], 2), (2, &four[..3], 2)] {
        let mut longest = 0;
        for seed in 0..60 {
            let mut seeds: Vec<usize> = (0..2 * zones.len()).collect();
            fastrand::Rng::with_seed(seed).shuffle(&mut seeds);
            let mut world = deployment(losses, zones, disks, &seeds[..3], seed);
            let is_complete = |world: &World| {
                let Some(primary) = world.primary() else { return false };
                let epoch = world.machines[primary].core.as_ref().unwrap().view().epoch.unwrap();
                let diskless = |ip| world.machines.iter().any(|p| p.ip == ip && p.diskless);
                epoch.core == epoch.previous_core
                    && epoch.core.len() == 2 * losses + 1
                    && !epoch.core.iter().any(|node| diskless(node.ip))
            };
            while !is_complete(&world) {
                world.run(world.now + 25);
                assert!(world.now < 8_000, "seed {seed}: {seeds:?}");
            }
            longest = longest.max(world.now);
            // The core is stable from then on.
            let core = core_of(&world);
            world.run(40_000);
            expect_that!(core_of(&world), eq(&core));
            let replica_zones: BTreeSet<&str> =
                replicas_of(&world).iter().map(|n| world.machines[*n].zone).collect();
            expect_that!(replica_zones.len(), eq(losses + 1), "replicas {:?}", replicas_of(&world));
        }
        println!(
            "{losses} losses to tolerate in {} zones: full redundancy after at most {longest} ms",
            zones.len()
        );
    }
}

/// A backup that is told to shut down is replaced as a backup while it still runs; after its
/// restart it is still a member of the core.
#[gtest]
fn a_backup_that_shuts_down_is_replaced_while_it_runs_and_stays_in_the_core() {
    let mut world = play(
        3,
        "ms   | a  | b    | c  | operator
         0    | up | up   | up |
         600  |    |      |    | put 1 a
         800  |    | stop |    | acked 1
         900  |    |      |    | primary a",
    );
    expect_that!(replicas_of(&world), eq(&vec![0, 2]));
    expect_that!(world.machines[1].state, eq(ProcessState::Up));
    world.run(1_300);
    expect_that!(world.machines[1].state, eq(ProcessState::Down));
    world.inject(1, "up");
    world.run(6_000);
    expect_that!(core_of(&world), eq(&vec![0, 1, 2]));
    expect_that!(shortages(&world), eq(&Vec::<String>::new()));
}

/// The primary is lost with its disk while the backup, which then has the only copy, is told to
/// shut down. The backup keeps running until two others have the copy.
#[gtest]
fn a_member_that_shuts_down_with_the_only_copy_runs_until_others_have_it() {
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
    expect_that!(world.machines[1].state, eq(ProcessState::Down));
    expect_that!(replicas_of(&world), eq(&vec![0, 2]));
}

/// A primary that shuts down hands over to a backup that has just died. It takes over again, and
/// exits once other markers store everything.
#[gtest]
fn a_primary_that_hands_over_to_a_dead_marker_continues() {
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
    expect_that!(world.machines[0].state, eq(ProcessState::Down));
    expect_that!(replicas_of(&world), eq(&vec![1, 2]));
}

/// All markers shut down at once: none waits for another, and all start again quickly.
#[gtest]
fn markers_that_shut_down_together_do_not_wait_for_each_other() {
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
        .map_or(vec!["there is no primary".into()], |n| world.machines[n].core.as_ref().unwrap().shortages())
}

/// How long fewer than `losses + 1` running markers store a confirmed change after one loss or
/// shutdown.
#[test]
fn all_copies_are_restored_soon_after_one_loss() {
    for (what, longest) in [("kill", 1_000), ("power", 1_500), ("stop", 0)] {
        let mut took = Vec::new();
        for seed in 0..200 {
            let mut world = deployment(1, &["a", "b", "c"], 1, &[0, 2, 4], seed);
            world.run(5_000 + seed);
            world.put(1, "", 0);
            world.run(5_600 + seed);
            // A backup, or in every fourth case the primary.
            let primary = world.primary().unwrap();
            let backup = replicas_of(&world).into_iter().find(|n| *n != primary).unwrap();
            world.inject(if seed % 4 == 0 { primary } else { backup }, what);
            let (began, mut last) = (world.now, world.now);
            while world.now < began + 4_000 {
                world.run(world.now + 5);
                let holds = |p: &&common::world::Machine| {
                    let held = p.disk.as_ref().and_then(|disk| disk.document.as_ref());
                    p.state == ProcessState::Up && held.is_some_and(|d| d.version >= 1)
                };
                if world.machines.iter().filter(holds).count() < 2 {
                    last = world.now;
                }
            }
            took.push(last - began);
        }
        took.sort();
        println!("{what}: fewer than two copies for {} ms (median), {} ms (maximum)", took[100], took[199]);
        assert!(took[199] <= longest, "{what}: {} ms", took[199]);
    }
}

/// Consecutive losses and shutdowns, as many at a time as must be tolerated, each as soon as the
/// primary reports full redundancy: nothing confirmed is lost, and redundancy is restored within
/// `catch-up-s`.
fn consecutive_losses(seed: u64) {
    let two = seed % 2 == 1;
    let (losses, zones): (usize, &[&str]) = if two { (2, &["a", "b", "c"]) } else { (1, &["a", "b", "c"]) };
    let mut world = deployment(losses, zones, losses, &[0, 2, 4], seed);
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x1055);
    let disks: Vec<usize> = (0..6).filter(|n| !world.machines[*n].diskless).collect();
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
            world.inject(*n, kinds[rng.usize(0..kinds.len())]);
        }
        world.run(world.now + rng.u64(450..4_000));
        // A marker that still waits for others to take over its state is restarted once it has
        // exited.
        while hit.iter().any(|n| world.machines[*n].state == ProcessState::Up) {
            world.run(world.now + 25);
        }
        hit.iter().for_each(|n| world.inject(*n, "up"));
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
fn consecutive_losses_and_shutdowns_lose_no_confirmed_change() {
    let next = std::sync::atomic::AtomicU64::new(0);
    std::thread::scope(|scope| {
        for _ in 0..8 {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                if seed >= 2_000 {
                    return;
                }
                consecutive_losses(seed);
            });
        }
    });
}
