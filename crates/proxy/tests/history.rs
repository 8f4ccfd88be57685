//! Hundreds of configuration changes that markers push to gatekeepers: their cost in bytes, and that
//! gatekeepers and markers that were away get the newest.

mod common;

use common::Simulation;
use googletest::prelude::*;
use granitelead_control_protocol::messages::{Difference, Document, ToMarker};
use granitelead_proxy::control::Change;
use marker::state::Call;

/// Helpers for a long series of changes.
trait ConfigurationChanges {
    /// An operator sends a change to the primary, once there is one, until it is confirmed.
    fn replace(&mut self, version: u32);
    /// Checks that all reachable gatekeepers have exactly this version in force, byte for byte.
    fn assert_all_have(&self, version: u32);
}

/// A configuration of about 10,000 bytes, in which one timeout differs from version to version.
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

impl ConfigurationChanges for Simulation {
    fn replace(&mut self, version: u32) {
        let leads = |simulation: &Simulation, n: usize| {
            simulation.others(n).len() * 2 + 1 >= simulation.markers.len()
                && simulation.markers[n].marker.as_ref().is_some_and(|m| m.view().is_primary)
        };
        let until = self.now + 3_000;
        while self.now < until {
            if let Some(n) = (0..self.markers.len()).find(|n| leads(self, *n)) {
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

    fn assert_all_have(&self, version: u32) {
        let wanted = Document { version, bytes: routes(version) }.revision();
        for gate in self.reached() {
            assert_eq!(gate.revision(), Some(wanted), "at {}", self.now);
        }
    }
}

/// Hundreds of changes: each costs only its own size, also while sessions are lost and replaced and base
/// versions differ, and at the end all have the newest, byte for byte.
#[gtest]
fn five_hundred_changes_cost_their_own_size_and_reach_nodes_that_were_away() {
    let mut simulation = Simulation::new(3, 11);
    (0..14).for_each(|n| simulation.act(n, "up"));
    simulation.run(2_000);
    simulation.replace(1);
    simulation.run(3_000);
    simulation.assert_all_have(1);
    // The baseline traffic of the sessions.
    (simulation.bytes, simulation.bytes_between) = ((0, 0), 0);
    simulation.run(13_000);
    let baseline = (simulation.bytes.0 + simulation.bytes.1) as f64 / 10_000.0;
    let mut spent = Vec::new();
    let mut version = 1;
    for step in 0..5 {
        (simulation.bytes, simulation.bytes_between) = ((0, 0), 0);
        let begun = simulation.now;
        for _ in 0..100 {
            version += 1;
            simulation.replace(version);
            simulation.run(simulation.now + 97);
            match (step, version % 100) {
                // The attached marker of a third of the gatekeepers is killed and restarted; one marker is cut
                // off, one loses power.
                (1, 20) => simulation.act(0, "kill"),
                (1, 60) => simulation.act(0, "up"),
                (2, 20) => simulation.act(1, "cut"),
                (2, 80) => simulation.act(1, "join"),
                (3, 20) => simulation.act(2, "power"),
                (3, 70) => simulation.act(2, "up"),
                // Gatekeepers that are cut off for long, and one that restarts.
                (4, 10) => (3..6).for_each(|g| simulation.act(g, "cut")),
                (4, 70) => (3..6).for_each(|g| simulation.act(g, "join")),
                (4, 80) => simulation.act(6, "kill"),
                (4, 85) => simulation.act(6, "up"),
                _ => {}
            }
        }
        let cost =
            (simulation.bytes.0 + simulation.bytes.1) as f64 - baseline * (simulation.now - begun) as f64;
        let (each, whole) = (cost / 1_100.0, routes(version).len());
        println!(
            "changes {} to {version} of {whole} bytes: {each:.0} bytes for each gatekeeper and change",
            version - 99
        );
        println!("  and {} between markers for each change", simulation.bytes_between / 100);
        spent.push(each);
        simulation.run(simulation.now + 2_000);
        simulation.assert_all_have(version);
    }
    // One session in three carries a change of some hundred bytes; each marker is told that it is in force.
    expect_that!(spent[0], lt(500.0));
    // Whoever returns gets the whole configuration once per session, however many changes it missed.
    for each in &spent[1..] {
        expect_that!(*each, lt(1_200.0));
    }
}

/// The attached marker sends a gatekeeper nothing, because it is frozen or cut off: the other markers deliver the
/// change, well within the 2,000 ms.
#[gtest]
fn an_attached_marker_that_is_cut_off_does_not_delay_a_change() {
    for (n, what) in [(0, "cut"), (1, "cut"), (2, "power")] {
        let mut simulation = Simulation::new(3, 6);
        (0..9).for_each(|n| simulation.act(n, "up"));
        simulation.run(2_000);
        simulation.replace(1);
        simulation.run(4_000);
        simulation.act(n, what);
        // If the primary is cut off another takes over; the time counts from the answer.
        simulation.run(7_000);
        simulation.replace(2);
        simulation.run(simulation.now + 300);
        simulation.assert_all_have(2);
    }
}

/// A gatekeeper whose base version differs from what a marker assumes reports it, and gets the whole
/// configuration at once.
#[gtest]
fn a_gatekeeper_with_another_base_version_gets_the_whole_configuration() {
    let mut simulation = Simulation::new(3, 3);
    (0..6).for_each(|n| simulation.act(n, "up"));
    simulation.run(2_000);
    simulation.replace(1);
    simulation.run(3_000);
    // The gatekeeper has a version in force that no marker has, and the markers weren't told.
    let mut other = routes(2);
    other.push(b' ');
    let (now, ip) = (simulation.now, simulation.markers[0].ip);
    let gate = simulation.gatekeepers[1].gate.as_mut().unwrap();
    let messages = gate.apply(now, ip, Change::Configuration(Document { version: 2, bytes: other.clone() }));
    expect_that!(messages.len(), eq(3));
    (simulation.bytes, simulation.bytes_between) = ((0, 0), 0);
    simulation.replace(3);
    simulation.run(3_250);
    simulation.assert_all_have(3);
    expect_that!(simulation.bytes.0, gt(routes(3).len()));
    expect_that!(simulation.bytes.0, lt(2 * routes(3).len()));
    // Older versions are rejected, whole or as a difference.
    let (old, older) = (Document { version: 2, bytes: other }, Document { version: 1, bytes: routes(1) });
    let back = Difference::between(&old, &older).unwrap();
    let gate = simulation.gatekeepers[1].gate.as_mut().unwrap();
    let has = ToMarker::InForce(gate.revision().unwrap());
    expect_that!(gate.apply(now, ip, Change::Configuration(old)), eq(&vec![(ip, has.clone())]));
    expect_that!(gate.apply(now, ip, Change::Difference(back)), eq(&vec![(ip, has)]));
    simulation.assert_all_have(3);
}
