//! Markers and gatekeepers together on timelines: one column for each, time downwards. `common` documents the
//! cells.

mod common;

use common::{play, Simulation, RATE};
use googletest::prelude::*;

/// Requests that the rule permits in five seconds.
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
fn a_configuration_reaches_gatekeepers_after_a_cut_and_none_reverts_to_an_older_one() {
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
fn a_server_registers_drains_and_leaves_and_is_answered_once_all_gatekeepers_know() {
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

const WITHOUT_FAULTS: &str = "ms | m1 | m2 | m3 | g1 | g2 | g3 | g4 | g5 | g6 | g7 | outside
         0     | up | up | up | up | up | up | up | up | up | up |
         2000  |    |    |    |    |    |    |    |    |    |    | load 9";

#[gtest]
fn a_marker_that_missed_the_end_of_a_server_learns_it_from_the_others() {
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
fn a_returning_gatekeeper_does_not_bring_back_a_server_whose_address_was_reused() {
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
fn the_reaper_duty_is_handed_over_and_never_performed_by_a_marker_that_is_cut_off() {
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

/// Bytes on established connections: the traffic per gatekeeper is the same with 11 or 91 gatekeepers, and
/// stays far below a link of 2 Mbit/s (250,000 bytes per second).
#[gtest]
fn traffic_per_gatekeeper_does_not_grow_with_the_fleet() {
    let mut idle = Vec::new();
    for gatekeepers in [11, 91] {
        let mut simulation = Simulation::new(3, gatekeepers);
        (0..3 + gatekeepers).for_each(|n| simulation.act(n, "up"));
        simulation.run(3_000);
        for n in 1..=36 {
            simulation.execute(&["keep", &format!("s{n}")]);
        }
        simulation.execute(&["put", "1"]);
        simulation.run(6_000);
        let count = |simulation: &mut Simulation, ms: u64| {
            (simulation.bytes, simulation.bytes_between) = ((0, 0), 0);
            simulation.run(simulation.now + ms);
            let seconds = ms as f64 / 1_000.0;
            let each = |bytes: usize| bytes as f64 / gatekeepers as f64 / seconds;
            (
                each(simulation.bytes.0),
                each(simulation.bytes.1),
                simulation.bytes_between as f64 / 3.0 / seconds,
            )
        };
        let quiet = count(&mut simulation, 4_500);
        simulation.execute(&["load", "9"]);
        let busy = count(&mut simulation, 4_500);
        simulation.execute(&["load", "0"]);
        simulation.run(simulation.now + 4_500);
        simulation.execute(&["put", "2"]);
        let change = count(&mut simulation, 1_000);
        println!("{gatekeepers}: bytes per second from and to markers for each gatekeeper, and between markers for each marker:");
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
fn without_faults_no_request_within_a_quota_is_refused() {
    let mut simulation = play(WITHOUT_FAULTS);
    simulation.run(3_500);
    let before = simulation.refused;
    simulation.run(20_000);
    expect_that!(simulation.refused - before, eq(0));
}

#[gtest]
fn a_tenant_at_eight_times_its_usual_load_gets_its_quota_and_no_more() {
    let mut simulation = play(WITHOUT_FAULTS);
    simulation.run(8_000);
    simulation.load = 72.0;
    simulation.run(24_000);
    expect_that!(simulation.max_in_window(), le(allowed()));
    let late = simulation.admitted.iter().filter(|at| **at >= 14_000).count();
    expect_that!(late, ge((RATE * 10.0 * 0.85) as usize));
}

#[gtest]
fn a_quota_holds_on_both_sides_of_a_cut_at_any_time() {
    for after in [0, 300, 600, 900, 1_500, 2_500] {
        let mut simulation = play(WITHOUT_FAULTS);
        simulation.run(8_000);
        simulation.load = 72.0;
        simulation.run(8_000 + after);
        (0..3).for_each(|g| simulation.act(3 + g, "cut"));
        simulation.run(14_000);
        (0..3).for_each(|g| simulation.act(3 + g, "join"));
        simulation.run(20_000);
        expect_that!(simulation.max_in_window(), le(allowed()), "cut after {after} ms");
    }
}

#[gtest]
fn a_quota_holds_while_markers_are_partitioned_and_gatekeepers_restart() {
    let mut simulation = play(WITHOUT_FAULTS);
    simulation.run(8_000);
    simulation.load = 72.0;
    simulation.run(9_000);
    simulation.act(0, "cut");
    simulation.run(10_000);
    simulation.act(4, "kill");
    simulation.act(5, "power");
    simulation.run(10_200);
    simulation.act(4, "up");
    simulation.run(12_000);
    simulation.act(5, "up");
    simulation.run(14_000);
    simulation.act(0, "join");
    simulation.run(20_000);
    expect_that!(simulation.max_in_window(), le(allowed()));
}

#[gtest]
fn a_quota_holds_while_a_marker_is_cut_from_the_others_but_not_from_gatekeepers() {
    let mut simulation = Simulation::new(3, 11);
    (0..14).for_each(|n| simulation.act(n, "up"));
    simulation.run(2_000);
    simulation.load = 5.7;
    simulation.run(8_000);
    simulation.load = 45.0;
    simulation.run(10_000);
    simulation.act(1, "cut");
    simulation.act(3 + 10, "cut");
    simulation.run(10_500);
    simulation.act(2, "power");
    simulation.act(3 + 2, "power");
    simulation.run(14_200);
    simulation.act(2, "up");
    simulation.act(3 + 2, "up");
    simulation.run(16_000);
    simulation.act(1, "join");
    simulation.act(3 + 10, "join");
    simulation.run(22_000);
    expect_that!(simulation.max_in_window(), le(allowed()));
    let steady =
        |from: u64| simulation.admitted.iter().filter(|at| (from..from + 2_000).contains(*at)).count();
    expect_that!(steady(12_000), le((RATE * 2.0 * 1.1) as usize));
    expect_that!(steady(20_000), ge((RATE * 2.0 * 0.8) as usize));
}
