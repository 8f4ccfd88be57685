//! Markers and gatekeepers together on timelines: a column for each, time downwards. What cells mean stands in `common`.

mod common;

use common::{play, World, RATE};
use googletest::prelude::*;

/// What the rule allows in five seconds.
fn allowed() -> usize {
    ((RATE * 5.0 + RATE) * 1.1 + 20.0) as usize
}

#[gtest]
fn gatekeepers_find_markers_and_are_ready_once_a_configuration_is_there() {
    play(
        "ms   | m1 | m2   | m3 | g1 | g2 | g3   | outside
         0    | up | up   | up | up | up |      |
         1000 |    |      |    |    |    |      | unready
         1000 |    |      |    |    |    |      | touch
         1000 |    |      |    |    |    |      | put 1
         1100 |    |      |    |    |    |      | have 1
         1100 |    | kill |    |    |    | up   |
         1500 |    |      |    |    |    |      | have 1
         1500 |    |      |    |    |    | kill | put 2
         3500 |    |      |    |    |    | up   |
         4000 |    |      |    |    |    |      | have 2
         4000 |    |      |    |    |    |      | touch",
    );
}

#[gtest]
fn a_configuration_reaches_those_who_were_cut_off_once_they_are_back_and_nobody_goes_back() {
    play(
        "ms    | m1 | m2 | m3 | g1  | g2   | outside
         0     | up | up | up | up  | up   |
         1000  |    |    |    |     |      | put 1
         1500  |    |    |    | cut |      | have 1
         1600  |    |    |    |     |      | put 3
         1700  |    |    |    |     |      | put 2
         2000  |    |    |    |     |      | have 3
         6000  |    |    |    | join |     |
         8500  |    |    |    |     |      | have 3",
    );
}

#[gtest]
fn a_server_starts_drains_and_goes_and_is_answered_once_all_know() {
    play(
        "ms    | m1 | m2   | m3 | g1  | g2 | g3 | outside
         0     | up | up   | up | up  | up | up |
         1000  |    |      |    |     |    |    | put 1
         1100  |    |      |    |     |    |    | beat s1
         1200  |    |      |    |     |    |    | beat s2
         1210  |    |      |    |     |    |    | know 2
         2000  |    |      |    |     |    |    | drain s1
         2001  |    |      |    |     |    |    | waits s1
         2010  |    |      |    |     |    |    | know 1
         2010  |    |      |    |     |    |    | answered s1
         3000  |    |      |    |     |    |    | leave s1
         3500  |    |      |    | cut |    |    | beat s1
         3510  |    |      |    |     |    |    | know 1
         3600  |    |      |    |     |    |    | drain s2
         3900  |    |      |    |     |    |    | waits s2
         4200  |    |      |    |     |    |    | answered s2
         4200  |    |      |    |     |    |    | know 0",
    );
}

#[gtest]
fn the_markers_know_all_servers_again_after_all_of_them_were_killed() {
    play(
        "ms    | m1   | m2   | m3   | g1 | g2 | outside
         0     | up   | up   | up   | up | up |
         1000  |      |      |      |    |    | put 1
         1100  |      |      |      |    |    | beat s1
         2000  | kill | kill | kill |    |    | know 1
         3000  | up   | up   | up   |    |    | know 1
         4500  |      |      |      |    | kill |
         4600  |      |      |      |    | up |
         5500  |      |      |      |    |    | know 1
         5500  |      |      |      |    |    | have 1",
    );
}

const CALM: &str = "ms | m1 | m2 | m3 | g1 | g2 | g3 | g4 | g5 | g6 | g7 | outside
         0     | up | up | up | up | up | up | up | up | up | up |
         2000  |    |    |    |    |    |    |    |    |    |    | load 9";

#[gtest]
fn a_marker_that_missed_the_end_of_a_server_has_it_handed_over() {
    play(
        "ms   | m1 | m2 | m3   | g1 | outside
         0    | up | up | up   | up |
         1000 |    |    |      |    | keep s1
         1000 |    |    |      |    | keep s2
         1500 |    |    | cut  |    | lists m3 2
         1600 |    |    |      |    | dies s1
         1600 |    |    |      |    | leave s1
         4000 |    |    |      |    | lists m1 1
         4000 |    |    | back |    | lists m3 2
         4200 |    |    |      |    | lists m3 1
         4200 |    |    |      |    | know 1",
    );
}

#[gtest]
fn whoever_was_away_does_not_bring_back_a_server_whose_address_is_anothers() {
    play(
        "ms    | m1 | m2 | m3 | g1   | g2 | outside
         0     | up | up | up | up   | up |
         1000  |    |    |    |      |    | keep s1
         1500  |    |    |    | cut  |    | know 1
         1600  |    |    |    |      |    | dies s1
         3600  |    |    |    |      |    | keep ss1
         3700  |    |    |    |      |    | know 1
         40000 |    |    |    | join |    | lists m1 1
         42000 |    |    |    |      |    | know 1
         42000 |    |    |    |      |    | lists m1 1",
    );
}

#[gtest]
fn the_duty_to_end_silent_servers_passes_on_and_is_never_done_by_one_that_is_cut_off() {
    play(
        "ms    | m1   | m2 | m3 | g1 | outside
         0     | up   | up | up | up |
         1000  |      |    |    |    | keep s1
         1000  |      |    |    |    | keep s2
         3000  |      |    |    |    | reaper m3
         4000  |      |    | cut |   | dies s2
         7000  |      |    |    |    | reaper m1
         14000 |      |    |    |    | lists m3 2
         14000 |      |    |    |    | lists m1 1
         14000 |      |    | join |  |
         15000 |      |    |    |    | reaper m1
         15000 |      |    |    |    | lists m3 1
         15000 | kill |    |    |    | know 1
         18000 |      |    |    |    | reaper m2",
    );
}

/// Bytes on held connections: a member's part is the same whether there are 11 of them or 91, and stays far below a link
/// of 2 Mbit/s (250,000 bytes a second).
#[gtest]
fn what_a_member_costs_does_not_grow_with_the_fleet() {
    let mut idle = Vec::new();
    for members in [11, 91] {
        let mut world = World::new(3, members);
        (0..3 + members).for_each(|n| world.act(n, "up"));
        world.run(3_000);
        for n in 1..=36 {
            world.happen(&["keep", &format!("s{n}")]);
        }
        world.happen(&["put", "1"]);
        world.run(6_000);
        let count = |world: &mut World, ms: u64| {
            (world.bytes, world.between) = ((0, 0), 0);
            world.run(world.now + ms);
            let seconds = ms as f64 / 1_000.0;
            let each = |bytes: usize| bytes as f64 / members as f64 / seconds;
            (each(world.bytes.0), each(world.bytes.1), world.between as f64 / 3.0 / seconds)
        };
        let quiet = count(&mut world, 4_500);
        world.happen(&["load", "9"]);
        let busy = count(&mut world, 4_500);
        world.happen(&["load", "0"]);
        world.run(world.now + 4_500);
        world.happen(&["put", "2"]);
        let change = count(&mut world, 1_000);
        println!("{members}: bytes a second down and up for each member, between markers for each marker:");
        println!(
            "  quiet {quiet:.0?}, 9 requests a second each {busy:.0?}, a second with a change {change:.0?}"
        );
        expect_that!(quiet.0 + quiet.1, lt(1_500.0));
        expect_that!(busy.0 + busy.1, lt(6_000.0));
        idle.push(quiet.0 + quiet.1);
    }
    expect_that!(idle[1], lt(idle[0] * 1.2));
}

#[gtest]
fn in_calm_times_nothing_inside_a_quota_is_refused() {
    let mut world = play(CALM);
    world.run(3_500);
    let before = world.refused;
    world.run(20_000);
    expect_that!(world.refused - before, eq(0));
}

#[gtest]
fn a_tenant_at_eight_times_its_usual_has_its_quota_and_no_more() {
    let mut world = play(CALM);
    world.run(8_000);
    world.load = 72.0;
    world.run(24_000);
    expect_that!(world.most(), le(allowed()));
    let late = world.ran.iter().filter(|at| **at >= 14_000).count();
    expect_that!(late, ge((RATE * 10.0 * 0.85) as usize));
}

#[gtest]
fn on_both_sides_of_a_cut_a_quota_holds_whenever_the_cut_comes() {
    for after in [0, 300, 600, 900, 1_500, 2_500] {
        let mut world = play(CALM);
        world.run(8_000);
        world.load = 72.0;
        world.run(8_000 + after);
        (0..3).for_each(|g| world.act(3 + g, "cut"));
        world.run(14_000);
        (0..3).for_each(|g| world.act(3 + g, "join"));
        world.run(20_000);
        expect_that!(world.most(), le(allowed()), "cut after {after} ms");
    }
}

#[gtest]
fn a_quota_holds_while_the_markers_are_cut_apart_and_gatekeepers_start_again() {
    let mut world = play(CALM);
    world.run(8_000);
    world.load = 72.0;
    world.run(9_000);
    world.act(0, "cut");
    world.run(10_000);
    world.act(4, "kill");
    world.act(5, "power");
    world.run(10_200);
    world.act(4, "up");
    world.run(12_000);
    world.act(5, "up");
    world.run(14_000);
    world.act(0, "join");
    world.run(20_000);
    expect_that!(world.most(), le(allowed()));
}

#[gtest]
fn a_quota_holds_while_a_marker_is_cut_from_the_others_but_not_from_gatekeepers() {
    let mut world = World::new(3, 11);
    (0..14).for_each(|n| world.act(n, "up"));
    world.run(2_000);
    world.load = 5.7;
    world.run(8_000);
    world.load = 45.0;
    world.run(10_000);
    world.act(1, "cut");
    world.act(3 + 10, "cut");
    world.run(10_500);
    world.act(2, "power");
    world.act(3 + 2, "power");
    world.run(14_200);
    world.act(2, "up");
    world.act(3 + 2, "up");
    world.run(16_000);
    world.act(1, "join");
    world.act(3 + 10, "join");
    world.run(22_000);
    expect_that!(world.most(), le(allowed()));
    let steady = |from: u64| world.ran.iter().filter(|at| (from..from + 2_000).contains(*at)).count();
    expect_that!(steady(12_000), le((RATE * 2.0 * 1.1) as usize));
    expect_that!(steady(20_000), ge((RATE * 2.0 * 0.8) as usize));
}
