//! Hundreds of changes, as markers push them to gatekeepers: what they cost, and that whoever was away has the newest.

mod common;

use common::World;
use googletest::prelude::*;
use granitelead_control_protocol::messages::{Difference, Document, ToMarker};
use granitelead_proxy::control::Change;
use marker::state::Call;

/// What a long history asks of the world.
trait Long {
    /// An operator sends a change to the primary, once there is one, and hears that it was taken.
    fn replace(&mut self, version: u32);
    /// What all gatekeepers that are reached have in force is this one, byte for byte.
    fn all_have(&self, version: u32);
}

/// A configuration of some ten thousand bytes, in which one time-out differs from version to version.
fn routes(version: u32) -> Vec<u8> {
    let rule = |n: u32| {
        let (name, timeout) =
            (n.wrapping_mul(2_654_435_761), if version % 36 == n { 900 + version } else { 600 });
        format!(
            r#"{{"name":"r-{name:x}","route-kind":"safe_method","target-latency-ms":250,"priority":2,"match-conditions":{{"path-prefix":"/{name}/"}},"route-action":{{"service-name":"s{}","timeout-ms":{timeout},"max-attempts":2}}}}"#,
            n % 7
        )
    };
    let rules: Vec<String> = (0..36).map(rule).collect();
    let services: Vec<String> =
        (0..7).map(|n| format!(r#"{{"name":"s{n}","connection-limit":140}}"#)).collect();
    format!(
        r#"{{"version":"{version:08x}","listeners":[{{"host-name":"a.example","rules":[{}]}}],"upstream-clusters":[{}]}}"#,
        rules.join(","),
        services.join(",")
    )
    .into_bytes()
}

impl Long for World {
    fn replace(&mut self, version: u32) {
        let leads = |world: &World, n: usize| {
            world.others(n).len() * 2 + 1 >= world.boards.len()
                && world.boards[n].marker.as_ref().is_some_and(|m| m.view().is_primary)
        };
        let until = self.now + 3_000;
        while self.now < until {
            if let Some(n) = (0..self.boards.len()).find(|n| leads(self, *n)) {
                let id = self.call_at(n, "operator", Call::Replace { body: routes(version) });
                while self.waits(id) && leads(self, n) {
                    self.run(self.now + 1);
                }
                if !self.waits(id) {
                    return;
                }
                self.forget(id);
            }
            self.run(self.now + 10);
        }
        panic!("{version} is not taken at {}", self.now);
    }

    fn all_have(&self, version: u32) {
        let wanted = Document { version, bytes: routes(version) }.revision();
        for gate in self.reached() {
            assert_eq!(gate.revision(), Some(wanted), "at {}", self.now);
        }
    }
}

/// Point 4: hundreds of changes. Each costs its own size, also where sessions are lost, others come, and bases differ;
/// and what all have at the end is the newest, byte for byte.
#[gtest]
fn five_hundred_changes_cost_their_own_size_and_reach_whoever_was_away() {
    let mut world = World::new(3, 11);
    (0..14).for_each(|n| world.act(n, "up"));
    world.run(2_000);
    world.replace(1);
    world.run(3_000);
    world.all_have(1);
    // What sessions cost besides.
    (world.bytes, world.between) = ((0, 0), 0);
    world.run(13_000);
    let calm = (world.bytes.0 + world.bytes.1) as f64 / 10_000.0;
    let mut spent = Vec::new();
    let mut version = 1;
    for step in 0..5 {
        (world.bytes, world.between) = ((0, 0), 0);
        let begun = world.now;
        for _ in 0..100 {
            version += 1;
            world.replace(version);
            world.run(world.now + 97);
            match (step, version % 100) {
                // A marker, the home of a third, is killed and comes back; one is cut off, one loses power.
                (1, 20) => world.act(0, "kill"),
                (1, 60) => world.act(0, "up"),
                (2, 20) => world.act(1, "cut"),
                (2, 80) => world.act(1, "join"),
                (3, 20) => world.act(2, "power"),
                (3, 70) => world.act(2, "up"),
                // Gatekeepers that are cut off for long, and one that begins anew.
                (4, 10) => (3..6).for_each(|g| world.act(g, "cut")),
                (4, 70) => (3..6).for_each(|g| world.act(g, "join")),
                (4, 80) => world.act(6, "kill"),
                (4, 85) => world.act(6, "up"),
                _ => {}
            }
        }
        let news = (world.bytes.0 + world.bytes.1) as f64 - calm * (world.now - begun) as f64;
        let (each, whole) = (news / 1_100.0, routes(version).len());
        println!(
            "changes {} to {version} of {whole} bytes: {each:.0} bytes for each gatekeeper and change",
            version - 99
        );
        println!("  and {} between markers for each change", world.between / 100);
        spent.push(each);
        world.run(world.now + 2_000);
        world.all_have(version);
    }
    // One session in three, a change of some hundred bytes, and a word to each marker that it is in force.
    expect_that!(spent[0], lt(500.0));
    // Whoever comes back is told the whole once for each session, however much it missed.
    for each in &spent[1..] {
        expect_that!(*each, lt(1_200.0));
    }
}

/// The home does not tell a gatekeeper anything, as it is frozen or cut off: the others do, in a part of the 2,000 ms.
#[gtest]
fn a_home_that_is_cut_off_does_not_hold_up_a_change() {
    for (n, what) in [(0, "cut"), (1, "cut"), (2, "power")] {
        let mut world = World::new(3, 6);
        (0..9).for_each(|n| world.act(n, "up"));
        world.run(2_000);
        world.replace(1);
        world.run(4_000);
        world.act(n, what);
        // Where the primary is cut off another takes over; the time begins with the answer.
        world.run(7_000);
        world.replace(2);
        world.run(world.now + 300);
        world.all_have(2);
    }
}

/// A gatekeeper whose base is not the one that a marker takes it to have says so, and is told the whole at once.
#[gtest]
fn a_base_that_differs_is_said_and_the_whole_comes() {
    let mut world = World::new(3, 3);
    (0..6).for_each(|n| world.act(n, "up"));
    world.run(2_000);
    world.replace(1);
    world.run(3_000);
    // One that no marker keeps is in force there, and none was told.
    let mut other = routes(2);
    other.push(b' ');
    let (now, ip) = (world.now, world.boards[0].ip);
    let gate = world.columns[1].gate.as_mut().unwrap();
    let said = gate.take(now, ip, Change::Configuration(Document { version: 2, bytes: other.clone() }));
    expect_that!(said.len(), eq(3));
    (world.bytes, world.between) = ((0, 0), 0);
    world.replace(3);
    world.run(3_250);
    world.all_have(3);
    expect_that!(world.bytes.0, gt(routes(3).len()));
    expect_that!(world.bytes.0, lt(2 * routes(3).len()));
    // Nor does anything bring it back, whole or not.
    let (old, older) = (Document { version: 2, bytes: other }, Document { version: 1, bytes: routes(1) });
    let back = Difference::between(&old, &older).unwrap();
    let gate = world.columns[1].gate.as_mut().unwrap();
    let has = ToMarker::InForce(gate.revision().unwrap());
    expect_that!(gate.take(now, ip, Change::Configuration(old)), eq(&vec![(ip, has.clone())]));
    expect_that!(gate.take(now, ip, Change::Difference(back)), eq(&vec![(ip, has)]));
    world.all_have(3);
}
