//! Markers without a quorum (they can't reach most of the core), checked from outside: by what operators,
//! servers and gatekeepers are answered and sent. `common` documents the cells. zone-0 is the zone of m1, g1
//! and g4, zone-1 that of m2 and g2, and so on.

mod common;

use common::{beat, configuration, play, status, Simulation};
use googletest::prelude::*;
use granitelead_control_protocol::messages::InstanceState;
use marker::state::Call;
use marker::types::Reply;

/// The primary, which answers operators, is cut off in both directions while a change is partly replicated:
/// it confirms neither that change nor anything else, the others continue, and 2 s after its return it is
/// current.
#[gtest]
fn a_primary_cut_off_during_replication_confirms_nothing_and_is_current_after_its_return() {
    play(
        "ms    | m1   | m2 | m3 | g1 | g2 | g3 | outside
         0     | up   | up | up | up | up | up |
         1000  |      |    |    |    |    |    | put 1 m1
         1100  |      |    |    |    |    |    | says put 200
         1200  |      |    |    |    |    |    | keep s1
         1200  |      |    |    |    |    |    | keep s2
         2000  |      |    |    |    |    |    | home g1 m1
         2000  |      |    |    |    |    |    | contact m1 yes
         2001  |      |    |    |    |    |    | put 2 m1
         2001  | cut  |    |    |    |    |    |
         2100  |      |    |    |    |    |    | have 1
         2500  |      |    |    |    |    |    | drain s1 m1
         2850  |      |    |    |    |    |    | contact m1 no
         2900  |      |    |    |    |    |    | tells m1 g1 no
         2950  |      |    |    |    |    |    | says put 503
         3100  |      |    |    |    |    |    | says s1 503
         3500  |      |    |    |    |    |    | home g1 !m1
         3500  |      |    |    |    |    |    | read m1
         4500  |      |    |    |    |    |    | says read 503
         4500  |      |    |    |    |    |    | put 3 m1
         5500  |      |    |    |    |    |    | says put 503
         5500  |      |    |    |    |    |    | order 4
         7500  |      |    |    |    |    |    | confirmed 4
         7500  |      |    |    |    |    |    | drain s1 m2
         8100  |      |    |    |    |    |    | says s1 200
         9600  |      |    |    |    |    |    | leave s1 m2
         10200 |      |    |    |    |    |    | says s1 200
         10200 |      |    |    |    |    |    | keep s3
         11000 |      |    |    |    |    |    | order 5
         12000 |      |    |    |    |    |    | confirmed 5
         22000 |      |    |    |    |    |    | have 5
         22000 |      |    |    |    |    |    | contact m1 no
         22000 | join |    |    |    |    |    |
         24000 |      |    |    |    |    |    | contact m1 yes
         24000 |      |    |    |    |    |    | tells m1 g1 yes
         24000 |      |    |    |    |    |    | home g1 m1
         24000 |      |    |    |    |    |    | lists m1 2
         24000 |      |    |    |    |    |    | lists m2 2
         24000 |      |    |    |    |    |    | have 5
         24000 |      |    |    |    |    |    | read m2
         24100 |      |    |    |    |    |    | reads 5",
    );
}

/// Reports of servers to a marker without a quorum are accepted and forwarded, but not acknowledged: the
/// servers turn to a marker that reaches most of the core. A configuration change and a read are answered as
/// undecided, never as refused.
#[gtest]
fn a_backup_that_is_cut_off_refers_servers_and_operators_to_other_markers() {
    play(
        "ms    | m1 | m2   | m3 | g1 | g2 | outside
         0     | up | up   | up | up | up |
         1000  |    |      |    |    |    | put 1 m1
         1200  |    |      |    |    |    | keep s1
         3000  |    | cut  |    |    |    | home g2 m2
         4000  |    |      |    |    |    | contact m2 no
         4200  |    |      |    |    |    | home g2 !m2
         4200  |    |      |    |    |    | beat s9 m2
         4200  |    |      |    |    |    | says s9 503
         4250  |    |      |    |    |    | lists m2 2
         4250  |    |      |    |    |    | know 1
         4300  |    |      |    |    |    | drain s9 m2
         4300  |    |      |    |    |    | says s9 503
         4350  |    |      |    |    |    | know 1
         4400  |    |      |    |    |    | leave s9 m2
         4400  |    |      |    |    |    | says s9 503
         4400  |    |      |    |    |    | put 1 m2
         5400  |    |      |    |    |    | says put 503
         5400  |    |      |    |    |    | order 2
         7300  |    |      |    |    |    | confirmed 2
         7300  |    |      |    |    |    | read m2
         8300  |    |      |    |    |    | says read 503
         23000 |    | join |    |    |    | have 2
         25000 |    |      |    |    |    | contact m2 yes
         25000 |    |      |    |    |    | home g2 m2
         25000 |    |      |    |    |    | read m2
         25100 |    |      |    |    |    | says read 307",
    );
}

/// Cut in one direction only: a marker that receives nothing but is received, and one that receives all but
/// isn't received.
#[gtest]
fn a_marker_that_is_cut_off_in_one_direction_has_no_quorum() {
    // A marker that knows the current primary redirects to it.
    for (way, code) in [("deaf", 503), ("mute", 307), ("cut", 503)] {
        play(&format!(
            "ms    | m1    | m2 | m3 | g1 | g2 | outside
             0     | up    | up | up | up | up |
             1000  |       |    |    |    |    | put 1 m1
             1200  |       |    |    |    |    | keep s1
             3000  | {way} |    |    |    |    | home g1 m1
             4500  |       |    |    |    |    | contact m1 no
             4500  |       |    |    |    |    | contact m2 yes
             4500  |       |    |    |    |    | tells m1 g1 no
             4500  |       |    |    |    |    | drain s1 m1
             4500  |       |    |    |    |    | says s1 503
             4500  |       |    |    |    |    | put 2 m1
             5500  |       |    |    |    |    | says put {code}
             5500  |       |    |    |    |    | order 3
             8500  |       |    |    |    |    | confirmed 3
             8500  |       |    |    |    |    | read m1
             9500  |       |    |    |    |    | says read 503
             22900 |       |    |    |    |    | lists m2 0
             22900 |       |    |    |    |    | lists m1 1
             23000 |       |    |    |    |    | contact m1 no
             23000 | join  |    |    |    |    | have 3
             25000 |       |    |    |    |    | contact m1 yes
             25000 |       |    |    |    |    | know 0
             25000 |       |    |    |    |    | have 3
             34000 |       |    |    |    |    | lists m1 0"
        ));
    }
}

/// Cut off from gatekeepers, servers or operators only, a marker keeps its quorum. A drain is acknowledged
/// within a second, as the gatekeepers that it can't reach learn of it from the others.
#[gtest]
fn a_marker_that_is_cut_off_from_its_callers_only_keeps_its_quorum_and_acknowledges() {
    play(
        "ms    | m1 | m2        | m3            | g1 | g2 | outside
         0     | up | up        | up            | up | up |
         1000  |    |           |               |    |    | put 1 m1
         1200  |    |           |               |    |    | keep s1
         1200  |    |           |               |    |    | keep s2
         3000  |    | cut gates |               |    |    | home g2 m2
         3100  |    |           |               |    |    | drain s1 m2
         4000  |    |           |               |    |    | says s1 200
         4000  |    |           |               |    |    | contact m2 yes
         6000  |    |           |               |    |    | home g2 m1
         6000  |    | join      | cut servers   |    |    |
         8500  |    |           |               |    |    | know 1
         8500  |    |           |               |    |    | contact m3 yes
         8500  |    |           |               |    |    | drain s2 m3
         9500  |    |           |               |    |    | waits s2
         9500  |    |           |               |    |    | drain s2 m1
         9520  |    |           |               |    |    | says s2 200
         9520  |    |           |               |    |    | know 0
         9600  |    |           | join          |    |    |
         9700  |    |           | cut operators |    |    |
         9800  |    |           |               |    |    | put 2 m3
         10900 |    |           |               |    |    | waits put
         10900 |    |           |               |    |    | contact m3 yes
         10900 |    |           |               |    |    | order 3
         13000 |    |           |               |    |    | confirmed 3
         13000 |    |           |               |    |    | have 3",
    );
}

/// Without faults, and while a gatekeeper or one marker is silent, a drain is acknowledged within a second. A
/// marker that lost its majority less than a second ago doesn't acknowledge it; when the drain is sent again,
/// to another marker, all are informed again.
#[gtest]
fn a_drain_is_acknowledged_only_by_markers_with_a_quorum() {
    play(
        "ms    | m1  | m2  | m3    | g1 | g2  | g3 | outside
         0     | up  | up  | up    | up | up  | up |
         1000  |     |     |       |    |     |    | put 1 m1
         1200  |     |     |       |    |     |    | keep s1
         1200  |     |     |       |    |     |    | keep s2
         1200  |     |     |       |    |     |    | keep s3
         1200  |     |     |       |    |     |    | keep s4
         2000  |     |     |       |    |     |    | drain s1 m2
         2020  |     |     |       |    |     |    | says s1 200
         3000  |     |     |       |    | cut |    | drain s2 m1
         3700  |     |     |       |    |     |    | says s2 200
         5000  |     |     | power |    |     |    | drain s3 m1
         5700  |     |     |       |    |     |    | says s3 200
         8000  |     | cut |       |    |     |    | drain s4 m1
         8600  |     |     |       |    |     |    | says s4 503
         9000  |     |     |       |    |     |    | drain s4 m1
         9000  |     |     |       |    |     |    | says s4 503
         12000 |     |     | up    |    |     |    |
         14000 |     |     |       |    |     |    | contact m1 yes
         14000 |     |     |       |    |     |    | drain s4 m3
         14020 |     |     |       |    |     |    | says s4 200
         14020 |     |     |       |    |     |    | know 0",
    );
}

/// A marker that is restarted while it is cut off has what its disk holds. A gatekeeper that starts meanwhile
/// takes its initial configuration and its attached marker from the others; one that reaches no other marker is
/// ready after 3 s with the older configuration, and catches up when it can.
#[gtest]
fn gatekeepers_do_not_start_with_the_state_of_a_marker_that_restarted_while_cut_off() {
    play(
        "ms    | m1 | m2    | m3 | g1 | g2   | g3 | g4     | outside
         0     | up | up    | up | up | up   | up |        |
         1000  |    |       |    |    |      |    |        | put 1 m1
         1200  |    |       |    |    |      |    |        | keep s1
         3000  |    | cut   |    |    |      |    |        | home g2 m2
         4000  |    |       |    |    |      |    |        | order 2
         6000  |    | power |    |    |      |    |        | confirmed 2
         6000  |    |       |    |    | kill |    |        | have 2
         7000  |    | up    |    |    |      |    |        |
         8000  |    |       |    |    | up   |    | cut m1 |
         8000  |    |       |    |    |      |    | cut m3 |
         8000  |    |       |    |    |      |    | up     |
         8300  |    |       |    |    |      |    |        | holds g2 2
         8300  |    |       |    |    |      |    |        | ready g2
         8300  |    |       |    |    |      |    |        | home g2 !m2
         8300  |    |       |    |    |      |    |        | tells m2 g2 no
         10900 |    |       |    |    |      |    |        | holds g4 -
         10900 |    |       |    |    |      |    |        | unready g4
         10900 |    |       |    |    |      |    |        | home g4 -
         11200 |    |       |    |    |      |    |        | holds g4 1
         11200 |    |       |    |    |      |    |        | ready g4
         11200 |    |       |    |    |      |    |        | home g4 m2
         23000 |    | join  |    |    |      |    |        |
         25000 |    |       |    |    |      |    |        | contact m2 yes
         25000 |    |       |    |    |      |    |        | holds g4 2
         25000 |    |       |    |    |      |    | join   | lists m2 1
         27000 |    |       |    |    |      |    |        | have 2
         27000 |    |       |    |    |      |    |        | home g2 m2",
    );
}

/// If all markers are without a quorum, as after the loss of most, running gatekeepers continue, and one that
/// starts becomes ready after 3 s with the newest configuration that any marker holds.
#[gtest]
fn without_any_quorum_a_gatekeeper_starts_with_the_newest_known_configuration() {
    play(
        "ms    | m1  | m2    | m3    | g1 | g2   | outside
         0     | up  | up    | up    | up | up   |
         1000  |     |       |       |    |      | put 1 m1
         2000  |     | power | power |    | kill |
         3000  |     |       |       |    | up   | contact m1 no
         3000  |     |       |       |    |      | home g1 m1
         5900  |     |       |       |    |      | unready g2
         6200  |     |       |       |    |      | ready g2
         6200  |     |       |       |    |      | holds g2 1
         7000  |     | up    |       |    |      |
         9000  |     |       |       |    |      | contact m1 yes
         9000  |     |       |       |    |      | contact m2 yes
         9000  |     |       |       |    |      | touch
         9000  |     |       |       |    |      | order 2
         11000 |     |       |       |    |      | have 2",
    );
}

/// A marker that reaches most of the core again, but not the primary, has the newest configuration of the
/// others before it reports a quorum.
#[gtest]
fn a_marker_reconnected_to_all_but_the_primary_is_current_before_it_reports_a_quorum() {
    play(
        "ms    | m1 | m2 | m3      | g1 | g2 | g3 | outside
         0     | up | up | up      | up | up | up |
         1000  |    |    |         |    |    |    | put 1 m1
         3000  |    |    | cut     |    |    |    | home g3 m3
         4000  |    |    |         |    |    |    | order 2
         6000  |    |    |         |    |    |    | confirmed 2
         9000  |    |    | join m2 |    |    |    | contact m3 no
         11000 |    |    |         |    |    |    | contact m3 yes
         11000 |    |    |         |    |    |    | home g3 m3
         11000 |    |    |         |    |    |    | version m3 2",
    );
}

/// If there are more markers than sessions, a gatekeeper opens sessions beside those with markers without a
/// quorum, and is back to three when these have a quorum again.
#[gtest]
fn sessions_with_markers_without_a_quorum_do_not_count_among_the_three() {
    play(
        "ms    | m1   | m2   | m3 | m4 | m5 | g1 | g2 | g3 | g4 | g5 | g6 | outside
         0     | up   | up   | up | up | up | up | up | up | up | up | up |
         2000  |      |      |    |    |    |    |    |    |    |    |    | put 1 m1
         2900  |      |      |    |    |    |    |    |    |    |    |    | sessions 3 3
         3000  | cut  |      |    |    |    |    |    |    |    |    |    |
         3000  |      | cut  |    |    |    |    |    |    |    |    |    |
         5000  |      |      |    |    |    |    |    |    |    |    |    | sessions 3 5
         5000  |      |      |    |    |    |    |    |    |    |    |    | touch
         8000  | join |      |    |    |    |    |    |    |    |    |    |
         8000  |      | join |    |    |    |    |    |    |    |    |    |
         12000 |      |      |    |    |    |    |    |    |    |    |    | sessions 3 3
         12000 |      |      |    |    |    |    |    |    |    |    |    | have 1",
    );
}

/// The reaper isn't received any more, or receives nothing, or both: it ends no server, though no other has
/// its duty yet.
#[gtest]
fn a_reaper_without_a_quorum_ends_no_server() {
    for way in ["cut", "deaf", "mute"] {
        play(&format!(
            "ms    | m1 | m2 | m3    | g1 | g2 | g3 | outside
             0     | up | up | up    | up | up | up |
             1000  |    |    |       |    |    |    | put 1 m1
             1200  |    |    |       |    |    |    | keep s1
             1200  |    |    |       |    |    |    | keep s2
             3000  |    |    |       |    |    |    | reaper m3
             4000  |    |    | {way} |    |    |    |
             5000  |    |    |       |    |    |    | contact m3 no
             8000  |    |    |       |    |    |    | reaper m1
             14000 |    |    |       |    |    |    | lists m3 2
             20000 |    |    |       |    |    |    | know 2
             24000 |    |    | join  |    |    |    |
             24001 |    |    |       |    |    |    | dies s2
             26000 |    |    |       |    |    |    | contact m3 yes
             26000 |    |    |       |    |    |    | know 2
             33500 |    |    |       |    |    |    | lists m3 1
             33500 |    |    |       |    |    |    | know 1"
        ));
    }
}

/// A server of the random schedules: it sends heartbeats, drains at times, and ends.
struct Server {
    id: String,
    sequence: u64,
    marker: usize,
    next: u64,
    /// The pending call, and when it times out.
    call: Option<(u64, u64)>,
    state: ServerState,
    /// Since when heartbeats were acknowledged without a gap, and when the last was.
    heartbeats_since: Option<u64>,
    last_heartbeat: Option<u64>,
}

#[derive(Clone, Copy, PartialEq)]
enum ServerState {
    Ready,
    Draining,
    Leaving,
}

/// An operator's call: a version to put in force (a read if none), the version that was confirmed before it,
/// the marker, and when it times out.
struct Order {
    put: Option<u32>,
    since: u32,
    marker: usize,
    call: Option<(u64, u64)>,
    next: u64,
}

struct RandomSchedule {
    simulation: Simulation,
    rng: fastrand::Rng,
    servers: Vec<Server>,
    servers_started: u32,
    orders: Vec<Order>,
    last_version: u32,
    confirmed: u32,
    /// The version in force at each gatekeeper's process.
    versions: Vec<Option<u32>>,
    /// Since when each gatekeeper has been connected to all markers of the majority.
    connected_since: Vec<u64>,
    /// When each marker was last connected in both directions to a majority.
    majority_at: Vec<u64>,
    /// Acknowledged drains, and when each was acknowledged.
    drains: Vec<(String, u64)>,
    counts: [usize; 4],
}

/// Time until everything is current after the end of the faults, ms: a line is dialled again within 0.8 and
/// 0.5 s, and missed messages take less than 0.7 s.
const RECOVERY_TIME: u64 = 2_000;
/// How long a marker that lost its majority may acknowledge heartbeats, ms: 0.7 s until it notices the
/// silence and 0.15 s until another marker reports it, and a further 2 s for which TCP may hold earlier
/// messages that arrive late.
const ACKNOWLEDGE_MAX: u64 = 950 + 2_000;

impl RandomSchedule {
    fn new(seed: u64) -> RandomSchedule {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (markers, gatekeepers) = (if rng.u32(0..4) == 0 { 5 } else { 3 }, 4);
        let mut simulation = Simulation::with_seed(markers, gatekeepers, rng.u64(..));
        (simulation.counts_bytes, simulation.redial_max) = (false, 1_300);
        (0..markers + gatekeepers).for_each(|n| simulation.act(n, "up"));
        RandomSchedule {
            simulation,
            rng,
            servers: Vec::new(),
            servers_started: 0,
            orders: Vec::new(),
            last_version: 0,
            confirmed: 0,
            versions: vec![None; gatekeepers],
            connected_since: vec![0; gatekeepers],
            majority_at: vec![0; markers],
            drains: Vec::new(),
            counts: [0; 4],
        }
    }

    fn markers(&self) -> usize {
        self.simulation.markers.len()
    }

    fn is_running(&self, m: usize) -> bool {
        self.simulation.markers[m].marker.is_some()
    }

    fn is_cut_either_way(&self, a: usize, b: usize) -> bool {
        self.simulation.is_cut(a, b) || self.simulation.is_cut(b, a)
    }

    /// Whether a marker runs and is connected in both directions to a majority.
    fn has_majority(&self, m: usize) -> bool {
        let with = |n: &usize| *n == m || self.is_running(*n) && !self.is_cut_either_way(m, *n);
        self.is_running(m) && (0..self.markers()).filter(with).count() * 2 > self.markers()
    }

    fn inject_fault(&mut self) {
        let (markers, gatekeepers) = (self.markers(), self.simulation.gatekeepers.len());
        let m = self.rng.usize(0..markers);
        let g = markers + self.rng.usize(0..gatekeepers);
        let down = (0..markers).filter(|m| !self.is_running(*m)).count();
        let act = match self.rng.u32(0..19) {
            0 => (m, "cut"),
            1 => (m, "deaf"),
            2 => (m, "mute"),
            3 => (m, "alone"),
            4 => (m, "cut gates"),
            5 => (m, "cut servers"),
            6 => (m, "cut operators"),
            7 => (g, "cut"),
            8 => {
                // One direction between two nodes.
                let other = self.rng.usize(0..markers + gatekeepers);
                if other != m {
                    self.simulation.cut(m, other);
                }
                return;
            }
            9 => {
                let other = self.rng.usize(0..markers + gatekeepers);
                if other != m {
                    self.simulation.cut(other, m);
                }
                return;
            }
            10 if self.is_running(m) && down == 0 => (m, if self.rng.bool() { "kill" } else { "power" }),
            11 if self.simulation.gatekeepers[g - markers].gate.is_some() => {
                self.versions[g - markers] = None;
                (g, if self.rng.bool() { "kill" } else { "power" })
            }
            18 => return self.restart_all(),
            _ => {
                self.end_some_faults();
                return;
            }
        };
        self.simulation.act(act.0, act.1);
    }

    /// All processes end at the same moment, often right after an acknowledgement, and start within a second.
    fn restart_all(&mut self) {
        let all = self.markers() + self.simulation.gatekeepers.len();
        if self.rng.bool() {
            let (known, until) = (self.counts[0], self.simulation.now + 3_000);
            while self.counts[0] == known && self.simulation.now < until {
                let next = self.simulation.now + 25;
                self.run(next, false);
            }
        }
        let way = if self.rng.bool() { "kill" } else { "power" };
        (0..all).for_each(|n| self.simulation.act(n, way));
        self.versions.fill(None);
        let until = self.simulation.now + self.rng.u64(25..1_000);
        self.run(until, false);
        (0..all).for_each(|n| self.start(n));
    }

    /// Ends a random part of the faults.
    fn end_some_faults(&mut self) {
        let all = self.markers() + self.simulation.gatekeepers.len();
        for n in 0..all {
            if self.rng.bool() {
                self.simulation.act(n, "join");
                self.start(n);
            }
        }
    }

    fn start(&mut self, n: usize) {
        let markers = self.markers();
        let down = match n.checked_sub(markers) {
            None => !self.is_running(n),
            Some(g) => self.simulation.gatekeepers[g].gate.is_none(),
        };
        if down {
            self.simulation.act(n, "up");
        }
    }

    /// What servers and operators do in each step of 25 ms.
    fn run_callers(&mut self, calm: bool) {
        let now = self.simulation.now;
        for (id, m, reply) in std::mem::take(&mut self.simulation.answers) {
            self.answered(id, m, &reply);
        }
        if self.servers.len() < 4 && self.rng.u32(0..10) == 0 {
            self.servers_started += 1;
            self.servers.push(Server {
                id: format!("s{}", self.servers_started),
                sequence: 0,
                marker: self.rng.usize(0..self.markers()),
                next: now,
                call: None,
                state: ServerState::Ready,
                heartbeats_since: None,
                last_heartbeat: None,
            });
        }
        let markers = self.markers();
        for server in &mut self.servers {
            if let Some((id, until)) = server.call {
                if now < until {
                    continue;
                }
                // Timeout after a second.
                self.simulation.forget(id);
                (server.call, server.marker, server.next) = (None, (server.marker + 1) % markers, now);
            }
            let may = server.last_heartbeat.is_some() && !calm && server.state == ServerState::Ready;
            if may && self.rng.u32(0..400) == 0 {
                // Some servers deregister without draining before.
                let drains = self.rng.bool();
                server.state = if drains { ServerState::Draining } else { ServerState::Leaving };
                server.next = now;
            }
            if now < server.next {
                continue;
            }
            server.sequence += 1;
            let call = match server.state {
                ServerState::Ready => beat(&server.id, "ready", server.sequence),
                ServerState::Draining => beat(&server.id, "draining", server.sequence),
                ServerState::Leaving => Call::Leave { id: server.id.clone() },
            };
            let id = self.simulation.call_at(server.marker, &server.id, call);
            server.call = Some((id, now + 1_000));
        }
        if self.orders.len() < 3 && !calm && self.rng.u32(0..20) == 0 {
            let put = self.rng.bool().then(|| {
                self.last_version += 1;
                self.last_version
            });
            let at = self.rng.usize(0..markers);
            self.orders.push(Order { put, since: self.confirmed, marker: at, call: None, next: now });
        }
        for order in &mut self.orders {
            if let Some((id, until)) = order.call {
                if now < until {
                    continue;
                }
                self.simulation.forget(id);
                (order.call, order.marker, order.next) = (None, (order.marker + 1) % markers, now + 50);
            }
            if now >= order.next {
                let call = match order.put {
                    Some(version) => Call::Replace { body: configuration(version) },
                    None => Call::Read,
                };
                order.since = order.since.max(if order.put.is_none() { self.confirmed } else { 0 });
                let id = self.simulation.call_at(order.marker, "operator", call);
                order.call = Some((id, now + 1_000));
            }
        }
        // Some calls were answered at once.
        for (id, m, reply) in std::mem::take(&mut self.simulation.answers) {
            self.answered(id, m, &reply);
        }
    }

    fn answered(&mut self, id: u64, m: usize, reply: &Reply) {
        let (now, code, markers) = (self.simulation.now, status(reply), self.markers());
        if let Some(at) = self.servers.iter().position(|s| s.call.is_some_and(|(call, _)| call == id)) {
            let server = &mut self.servers[at];
            server.call = None;
            if code != 200 {
                assert_eq!(code, 503, "a server at {now}");
                (server.marker, server.next) = ((server.marker + 1) % markers, now + 100);
                return;
            }
            match server.state {
                ServerState::Ready => {
                    let late = now.saturating_sub(self.majority_at[m]);
                    assert!(
                        late <= ACKNOWLEDGE_MAX,
                        "m{} acknowledges a heartbeat at {now}, {late} ms after it lost its majority",
                        m + 1
                    );
                    if server.last_heartbeat.is_none_or(|at| now > at + 2_000) {
                        server.heartbeats_since = Some(now);
                    }
                    (server.last_heartbeat, server.next) = (Some(now), now + 1_500);
                }
                ServerState::Draining => {
                    self.counts[0] += 1;
                    self.drains.push((server.id.clone(), now));
                    (server.state, server.next) = (ServerState::Leaving, now + 2_000);
                }
                ServerState::Leaving => {
                    let id = self.servers.remove(at).id;
                    if !self.drains.iter().any(|(drained, _)| *drained == id) {
                        self.counts[0] += 1;
                        self.drains.push((id, now));
                    }
                }
            }
            return;
        }
        let Some(at) = self.orders.iter().position(|o| o.call.is_some_and(|(call, _)| call == id)) else {
            return;
        };
        let order = &mut self.orders[at];
        order.call = None;
        match (reply, order.put) {
            (Reply::Redirect(ip), _) => {
                let ip = *ip;
                order.next = now;
                order.marker = self.simulation.markers.iter().position(|b| b.ip == ip).unwrap();
            }
            (Reply::Document(document), None) => {
                assert!(
                    document.version >= order.since,
                    "at {now} {} is read after {}",
                    document.version,
                    order.since
                );
                assert_eq!(document.bytes, configuration(document.version));
                self.counts[1] += 1;
                self.orders.remove(at);
            }
            (_, None) if code == 404 => {
                assert_eq!(order.since, 0, "no configuration is read at {now}");
                self.orders.remove(at);
            }
            (_, Some(version)) if code == 200 => {
                self.confirmed = self.confirmed.max(version);
                self.counts[2] += 1;
                self.orders.remove(at);
            }
            _ => {
                assert_eq!(code, 503, "an operator at {now}");
                (order.marker, order.next) = ((order.marker + 1) % markers, now + 50);
            }
        }
    }

    /// Checks the invariants that hold at any time.
    fn check_invariants(&mut self) {
        let (now, markers) = (self.simulation.now, self.markers());
        // A marker that reports a quorum must have reported drains and deregistrations before.
        for (m, g, ready) in std::mem::take(&mut self.simulation.quorum_reports) {
            let mut stale = self.drains.iter().filter(|(id, at)| now > at + 1_000 && ready.contains(id));
            // Messages that waited on a cut link describe the time before it.
            let stale = stale.find(|_| now > self.connected_since[g] + 3_000);
            assert!(stale.is_none(), "m{} reports a quorum to g{} at {now} without {stale:?}", m + 1, g + 1);
        }
        let has_majority: Vec<bool> = (0..markers).map(|m| self.has_majority(m)).collect();
        for (m, _) in has_majority.iter().enumerate().filter(|(_, has_majority)| **has_majority) {
            self.majority_at[m] = now;
        }
        for g in 0..self.simulation.gatekeepers.len() {
            let is_apart = (0..markers).any(|m| has_majority[m] && self.is_cut_either_way(markers + g, m));
            if is_apart || self.simulation.gatekeepers[g].gate.is_none() || !has_majority.contains(&true) {
                self.connected_since[g] = now;
            }
            let Some(gate) = self.simulation.gatekeepers[g].gate.as_ref() else { continue };
            let has = gate.configuration.as_ref().map(|c| c.version);
            assert!(has >= self.versions[g], "g{} reverts to {has:?} at {now}", g + 1);
            self.versions[g] = has;
            if now < self.connected_since[g] + 3_000 {
                continue;
            }
            // A gatekeeper that has been connected for as long as the rules require knows each acknowledged
            // drain.
            for (id, at) in &self.drains {
                let state = gate.servers.get(id).map_or(InstanceState::Gone, |s| s.instance.state);
                assert!(
                    state != InstanceState::Ready,
                    "g{} does not know the drain of {id}, of {at}, at {now}",
                    g + 1
                );
            }
            // No server whose heartbeats are received is missing there.
            for server in self.servers.iter().filter(|s| s.state == ServerState::Ready) {
                let sends_heartbeats = server.last_heartbeat.is_some_and(|at| now < at + 1_600)
                    && server.heartbeats_since.is_some_and(|at| now > at + 3_500);
                let known = gate.servers.get(&server.id).map(|s| s.instance.state);
                assert!(
                    !sends_heartbeats || known == Some(InstanceState::Ready),
                    "g{} misses {} at {now}: {known:?}",
                    g + 1,
                    server.id
                );
            }
        }
        self.drains.retain(|(_, at)| now < at + 20_000);
    }

    fn run(&mut self, until: u64, calm: bool) {
        while self.simulation.now < until {
            let next = self.simulation.now + 25;
            self.simulation.run(next);
            self.run_callers(calm);
            self.check_invariants();
        }
    }

    /// Up to half a minute of faults, then checks the state once they are over.
    fn play(mut self) -> [usize; 4] {
        self.run(1_500, false);
        let end = 1_500 + self.rng.u64(5_000..30_000);
        while self.simulation.now < end {
            self.inject_fault();
            // Some intervals are long enough for every fault to take full effect.
            let wait = if self.rng.u32(0..4) == 0 { 8_000 } else { 1_500 };
            let until = self.simulation.now + self.rng.u64(50..wait);
            self.run(until, false);
        }
        let all = self.markers() + self.simulation.gatekeepers.len();
        self.simulation.join(|_, _| true);
        (0..all).for_each(|n| self.start(n));
        // A start takes as long as a return, plus the first random wait of a round.
        let until = self.simulation.now + RECOVERY_TIME;
        self.run(until, true);
        let names: Vec<String> = (1..=self.markers()).map(|m| format!("m{m}")).collect();
        for name in &names {
            let contact = self.simulation.status(name)["contact"].as_bool();
            assert_eq!(contact, Some(true), "{name} at {}", self.simulation.now);
            self.counts[3] += 1;
        }
        // All sessions are open again, and pending calls are answered.
        let until = self.simulation.now + 10_000;
        self.run(until, true);
        assert!(self.orders.is_empty(), "orders are pending at {}", self.simulation.now);
        let versions: Vec<_> =
            names.iter().map(|name| self.simulation.status(name)["version"].to_string()).collect();
        assert!(versions.iter().all(|version| *version == versions[0]), "{versions:?}");
        for (g, node) in self.simulation.gatekeepers.iter().enumerate() {
            let gate = node.gate.as_ref().unwrap();
            let has = gate.configuration.as_ref().map_or(0, |c| c.version);
            assert!(has >= self.confirmed, "g{} has {has}, confirmed is {}", g + 1, self.confirmed);
            assert!(gate.is_ready() || self.confirmed == 0, "g{}", g + 1);
            let ready = self.servers.iter().filter(|s| s.state == ServerState::Ready).count();
            assert_eq!(gate.servers.ready("s"), ready, "g{}", g + 1);
            assert!(gate.control.in_sync(self.simulation.now), "g{}", g + 1);
        }
        self.counts
    }
}

/// Number of random schedules; each has 3 or 5 markers, 4 gatekeepers, servers that drain and deregister, and
/// up to three concurrent changes and reads that are retried.
const SCHEDULES: u64 = 3_000;

#[gtest]
fn thousands_of_random_partitions_lose_nothing_and_confirm_nothing_unknown_to_the_majority() {
    // Environment variables: the seed of a single schedule, or another count.
    let given = |name: &str| std::env::var(name).ok().map(|n| n.parse::<u64>().unwrap());
    let (only, count) = (given("SCHEDULE"), given("SCHEDULES").unwrap_or(SCHEDULES));
    let seeds = only.map_or(0..count, |seed| seed..seed + 1);
    let threads = std::thread::available_parallelism().map_or(1, |n| n.get() as u64).min(8);
    let (counts, failed) = std::thread::scope(|scope| {
        let run = |thread: u64| {
            let seeds = seeds.clone();
            scope.spawn(move || {
                let (mut counts, mut failed) = ([0; 4], Vec::new());
                for seed in seeds.filter(|seed| seed % threads == thread) {
                    match std::panic::catch_unwind(|| RandomSchedule::new(seed).play()) {
                        Ok(each) => counts.iter_mut().zip(each).for_each(|(all, n)| *all += n),
                        Err(_) => failed.push(seed),
                    }
                }
                (counts, failed)
            })
        };
        let threads: Vec<_> = (0..threads).map(run).collect();
        threads.into_iter().map(|thread| thread.join().unwrap()).fold(
            ([0; 4], Vec::new()),
            |mut all, each| {
                all.0.iter_mut().zip(each.0).for_each(|(all, n): (&mut usize, usize)| *all += n);
                all.1.extend(each.1);
                all
            },
        )
    });
    println!("confirmed drains, reads and orders, markers that regained a quorum: {counts:?}");
    assert!(failed.is_empty(), "{} schedules failed: {failed:?}", failed.len());
    if only.is_none() {
        assert!(counts.iter().all(|n| *n as u64 > count), "{counts:?}");
    }
}

#[gtest]
fn a_deregistration_at_a_marker_without_the_server_reaches_the_markers_that_know_it() {
    let mut simulation = Simulation::new(3, 3);
    (0..6).for_each(|n| simulation.act(n, "up"));
    simulation.run(1_000);
    simulation.execute(&["put", "1"]);
    simulation.run(2_000);
    // Messages from the second marker don't reach the first, which keeps its quorum through the third.
    simulation.cut(1, 0);
    simulation.execute(&["beat", "s1", "m2"]);
    simulation.run(2_100);
    simulation.execute(&["lists", "m1", "0"]);
    simulation.execute(&["lists", "m3", "1"]);
    simulation.execute(&["leave", "s1", "m1"]);
    simulation.run(2_900);
    simulation.execute(&["answered", "s1"]);
    for node in &simulation.gatekeepers {
        expect_that!(node.gate.as_ref().unwrap().servers.ready("s"), eq(0));
    }
}
