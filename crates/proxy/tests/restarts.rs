//! What a server or an operator was told before a restart of one, or of all, still holds after it, in the
//! simulation of `common`, which documents the cells. A disk write takes 5 ms; one that is still in progress
//! when the process ends is lost.

mod common;

use common::{play, Simulation};
use googletest::prelude::*;

/// Guards against a deregistration that was acknowledged and then forgotten when all processes ended at once:
/// the server was listed as ready again and was sent requests until it ended.
#[gtest]
fn an_acknowledged_deregistration_survives_the_end_of_all_processes() {
    for end in ["kill", "power"] {
        play(&format!(
            "ms    | m1    | m2    | m3    | g1    | g2    | g3    | outside
             0     | up    | up    | up    | up    | up    | up    |
             1000  |       |       |       |       |       |       | put 1 m1
             1200  |       |       |       |       |       |       | keep s1
             1200  |       |       |       |       |       |       | keep s2
             4000  |       |       |       |       |       |       | keep s3
             4100  |       |       |       |       |       |       | leave s1 m1
             4130  |       |       |       |       |       |       | says s1 200
             4130  | {end} | {end} | {end} | {end} | {end} | {end} |
             4800  | up    | up    | up    | up    | up    | up    |
             7000  |       |       |       |       |       |       | touch
             7000  |       |       |       |       |       |       | know 2
             9000  |       |       |       |       |       |       | know 2"
        ));
    }
}

/// Guards against the same loss of `draining`, of which the server that said it may not remind anyone.
#[gtest]
fn an_acknowledged_drain_survives_the_end_of_all_processes() {
    play(
        "ms    | m1    | m2    | m3    | g1    | g2    | g3    | outside
         0     | up    | up    | up    | up    | up    | up    |
         1000  |       |       |       |       |       |       | put 1 m1
         1200  |       |       |       |       |       |       | keep s1
         1200  |       |       |       |       |       |       | keep s2
         4000  |       |       |       |       |       |       | keep s3
         4100  |       |       |       |       |       |       | drain s1 m3
         4130  |       |       |       |       |       |       | says s1 200
         4130  | power | power | power | power | power | power |
         4800  | up    | up    | up    | up    | up    | up    |
         7000  |       |       |       |       |       |       | touch
         7000  |       |       |       |       |       |       | know 2
         11000 |       |       |       |       |       |       | know 2",
    );
}

/// Guards against an acknowledgement that only the disk of one machine remembers: as many disks as may be lost
/// are lost, whichever they are, and all other machines lose power.
#[gtest]
fn an_acknowledged_deregistration_survives_the_loss_of_a_disk_and_of_all_power() {
    for wiped in 0..3 {
        let wipe = |n: usize| if n == wiped { "wipe" } else { "" };
        let (a, b, c) = (wipe(0), wipe(1), wipe(2));
        play(&format!(
            "ms    | m1    | m2    | m3    | g1    | g2    | g3    | outside
             0     | up    | up    | up    | up    | up    | up    |
             1000  |       |       |       |       |       |       | put 1 m1
             1200  |       |       |       |       |       |       | keep s1
             1200  |       |       |       |       |       |       | keep s2
             4000  |       |       |       |       |       |       | keep s3
             4100  |       |       |       |       |       |       | leave s1 m1
             4130  |       |       |       |       |       |       | says s1 200
             4130  | power | power | power | power | power | power |
             4800  | {a}   | {b}   | {c}   |       |       |       |
             4800  | up    | up    | up    | up    | up    | up    |
             12000 |       |       |       |       |       |       | have 1
             12000 |       |       |       |       |       |       | know 2"
        ));
    }
}

/// Guards against an acknowledgement that is given before most of the core has the change on disk.
#[gtest]
fn a_deregistration_is_acknowledged_only_when_a_majority_has_it_on_disk() {
    for (hang, code) in [(["hang", "", ""], 200), (["", "hang", ""], 200), (["hang", "hang", ""], 503)] {
        let [a, b, c] = hang;
        play(&format!(
            "ms    | m1    | m2    | m3    | g1    | g2    | g3    | outside
             0     | up    | up    | up    | up    | up    | up    |
             1000  |       |       |       |       |       |       | put 1 m1
             1200  |       |       |       |       |       |       | keep s1
             4000  | {a}   | {b}   | {c}   |       |       |       |
             4100  |       |       |       |       |       |       | leave s1 m1
             4130  |       |       |       |       |       |       | waits s1
             4700  |       |       |       |       |       |       | says s1 {code}
             4700  |       |       |       |       |       |       | know 0"
        ));
    }
}

/// Guards against a marker that was down for long and lists, from its disk, a server whose deregistration was
/// acknowledged meanwhile.
#[gtest]
fn a_marker_that_was_down_for_long_does_not_bring_back_a_server_that_has_deregistered() {
    play(
        "ms     | m1 | m2 | m3   | g1   | g2 | g3 | outside
         0      | up | up | up   | up   | up | up |
         1000   |    |    |      |      |    |    | put 1 m1
         1200   |    |    |      |      |    |    | keep s1
         1200   |    |    |      |      |    |    | keep s2
         4000   |    |    | kill |      |    |    |
         5000   |    |    |      |      |    |    | leave s1 m1
         5700   |    |    |      |      |    |    | says s1 200
         100000 |    |    |      | kill |    |    |
         100000 |    |    | up   | up   |    |    |
         100600 |    |    |      |      |    |    | know 1
         103000 |    |    |      |      |    |    | know 1
         103000 |    |    |      |      |    |    | lists m3 1
         103000 |    |    |      |      |    |    | lists m1 1",
    );
}

/// Guards against a member that was counted, and then forgotten when all markers ended at once: the others took
/// the whole of each quota while that gatekeeper, cut off, went on with its part.
#[gtest]
fn a_gatekeeper_that_was_counted_is_still_counted_after_the_end_of_all_markers() {
    let mut simulation = Simulation::new(3, 4);
    (0..6).for_each(|n| simulation.act(n, "up"));
    simulation.run(6_000);
    let members = |simulation: &Simulation, g: usize| {
        let gate: &granitelead_proxy::gate::Gate = simulation.gatekeepers[g].gate.as_ref().unwrap();
        gate.control.gatekeepers()
    };
    assert_that!(members(&simulation, 0), some(eq((3, 0))));
    simulation.act(6, "up");
    while (0..4).all(|g| members(&simulation, g) != Some((4, 0))) {
        let next = simulation.now + 1;
        simulation.run(next);
        assert!(next < 12_000, "the fourth gatekeeper is never counted");
    }
    (0..3).for_each(|n| simulation.act(n, "power"));
    simulation.act(6, "cut");
    (0..3).for_each(|n| simulation.act(n, "up"));
    let until = simulation.now + 6_000;
    simulation.run(until);
    for g in 0..3 {
        expect_that!(members(&simulation, g), some(eq((4, 1))), "g{}", g + 1);
    }
}
