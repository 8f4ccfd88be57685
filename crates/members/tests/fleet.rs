//! Simulates whole fleets in virtual time, with datagrams delayed, lost, duplicated and reordered, and with
//! processes that crash, pause and restart.

use granitelead_members::{MemberId, MemberState, Membership};
use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

const MS: u64 = 1_000;
const S: u64 = 1_000_000;
/// Upper bound of the time until all members know about a failure: a round of probes, the suspicion timeout
/// and the dissemination.
const DETECTION_TIME: u64 = 25 * S;

struct Fleet {
    now: u64,
    members: Vec<Option<Membership>>,
    start_times: Vec<u64>,
    paused: Vec<bool>,
    /// Datagrams in transit, by delivery time and sequence number: receiver, sender, bytes.
    in_transit: BTreeMap<(u64, u64), (usize, usize, Vec<u8>)>,
    sequence: u64,
    rng: ChaCha8Rng,
    loss_rate: f64,
    /// Whether the first gatekeeper receives datagrams from the second.
    is_reachable: Box<dyn Fn(usize, usize) -> bool>,
    sent: Vec<u64>,
    received: Vec<u64>,
    bytes: u64,
}

impl Fleet {
    fn new(size: usize, seed: u64, loss_rate: f64) -> Fleet {
        let mut fleet = Fleet {
            now: 0,
            members: Vec::new(),
            start_times: vec![0; size],
            paused: vec![false; size],
            in_transit: BTreeMap::new(),
            sequence: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            loss_rate,
            is_reachable: Box::new(|_, _| true),
            sent: vec![0; size],
            received: vec![0; size],
            bytes: 0,
        };
        fleet.members = (0..size).map(|_| None).collect();
        (0..size).for_each(|number| fleet.start(number));
        fleet
    }

    fn start(&mut self, number: usize) {
        self.start_times[number] = 1_000_000 + self.now / MS;
        let me = MemberId { number: number as u16, start: self.start_times[number] };
        let size = self.members.len() as u16;
        let seed_members = [self.rng.random_range(0..size), self.rng.random_range(0..size)];
        let seed = self.rng.random_range(0..u64::MAX);
        self.members[number] = Some(Membership::new(self.now, me, size, "test", seed, &seed_members));
        self.send_pending(number);
    }

    fn send_pending(&mut self, number: usize) {
        let Some(members) = self.members[number].as_mut() else { return };
        for (to, bytes) in members.take_outgoing() {
            self.sent[number] += 1;
            self.bytes += bytes.len() as u64;
            assert!(bytes.len() <= 256);
            let copies = if self.rng.random_bool(self.loss_rate) {
                0
            } else {
                1 + usize::from(self.rng.random_bool(0.02))
            };
            for _ in 0..copies {
                self.sequence += 1;
                let delay = self.rng.random_range(1_400..32_000);
                self.in_transit
                    .insert((self.now + delay, self.sequence), (usize::from(to), number, bytes.clone()));
            }
        }
    }

    fn run(&mut self, until: u64) {
        loop {
            let is_running = |n: &usize| !self.paused[*n];
            let due = (0..self.members.len()).filter(is_running);
            let due = due.filter_map(|n| Some((self.members[n].as_ref()?.next_timer(), n))).min();
            let next = self.in_transit.keys().next().map(|(at, _)| *at);
            match (due, next) {
                (Some((at, n)), next) if at < until && next.is_none_or(|next| at <= next) => {
                    self.now = self.now.max(at);
                    let now = self.now;
                    self.members[n].as_mut().unwrap().run_timers(now);
                    self.send_pending(n);
                }
                (_, Some(at)) if at < until => {
                    let (_, (to, from, bytes)) = self.in_transit.pop_first().unwrap();
                    self.now = self.now.max(at);
                    let now = self.now;
                    if !(self.is_reachable)(to, from) {
                        continue;
                    }
                    if self.paused[to] {
                        // It stays in the receiver's socket buffer.
                        self.sequence += 1;
                        self.in_transit.insert((at + 100 * MS, self.sequence), (to, from, bytes));
                        continue;
                    }
                    if let Some(members) = self.members[to].as_mut() {
                        self.received[to] += 1;
                        let _ = members.receive(now, from as u16, &bytes);
                    }
                    self.send_pending(to);
                }
                _ => break,
            }
        }
        self.now = until;
    }

    fn run_for(&mut self, time: u64) {
        self.run(self.now + time);
    }

    /// Checks that each running gatekeeper sees exactly the other running ones as alive or suspect.
    fn check_agreement(&self) -> Result<(), String> {
        for (n, members) in self.members.iter().enumerate() {
            let Some(members) = members else { continue };
            for other in (0..self.members.len()).filter(|other| *other != n) {
                let state = members.state(other as u16);
                let is_alive = matches!(state, MemberState::Alive | MemberState::Suspect);
                if is_alive != self.members[other].is_some() {
                    return Err(format!("{n} sees {other} as {state:?}"));
                }
            }
        }
        Ok(())
    }
}

#[test]
fn all_members_converge_and_traffic_per_member_does_not_grow_with_the_fleet() {
    for size in [5usize, 30, 300] {
        let mut fleet = Fleet::new(size, 3, 0.08);
        fleet.run_for(60 * S);
        fleet.check_agreement().unwrap_or_else(|error| panic!("{size}: {error}"));
        let before = (fleet.sent.clone(), fleet.received.clone(), fleet.bytes);
        fleet.run_for(60 * S);
        let max_rate = |now: &[u64], before: &[u64]| {
            now.iter().zip(before).map(|(now, before)| (now - before) as f64 / 60.0).fold(0.0, f64::max)
        };
        let (sent, received) = (max_rate(&fleet.sent, &before.0), max_rate(&fleet.received, &before.1));
        let bytes = (fleet.bytes - before.2) as f64 / 60.0 / size as f64;
        println!("{size}: at most {sent:.1} sent, {received:.1} received per second; {bytes:.0} bytes");
        // The platform lets a gatekeeper receive 40 datagrams per second.
        assert!(sent <= 8.0 && received <= 10.0, "{size}: {sent} {received}");
        fleet.check_agreement().unwrap_or_else(|error| panic!("{size}: {error}"));
    }
}

#[test]
fn crashes_restarts_and_departures_become_known_to_all() {
    let mut fleet = Fleet::new(30, 5, 0.08);
    fleet.run_for(30 * S);
    let killed = [3, 11, 12, 25];
    killed.iter().for_each(|n| fleet.members[*n] = None);
    fleet.run_for(DETECTION_TIME);
    fleet.check_agreement().unwrap();
    killed.iter().for_each(|n| fleet.start(*n));
    fleet.run_for(DETECTION_TIME);
    fleet.check_agreement().unwrap();
    let now = fleet.now;
    fleet.members[7].as_mut().unwrap().leave(now);
    fleet.send_pending(7);
    fleet.members[7] = None;
    fleet.run_for(3 * S);
    fleet.check_agreement().unwrap();
    // All restart at once, so that no member is left that knows the fleet.
    (0..30).for_each(|n| fleet.members[n] = None);
    fleet.run_for(2 * S);
    (0..30).for_each(|n| fleet.start(n));
    fleet.run_for(DETECTION_TIME);
    fleet.check_agreement().unwrap();
}

/// Covers a partition into two halves, three groups of which only the middle one reaches both others, a
/// member whose datagrams are all lost, and a paused process.
#[test]
fn members_recover_from_partitions_and_pauses() {
    let mut fleet = Fleet::new(9, 7, 0.05);
    fleet.run_for(20 * S);
    fleet.is_reachable = Box::new(|a, b| (a < 4) == (b < 4));
    fleet.run_for(DETECTION_TIME);
    assert!((4..9).all(|n| fleet.members[0].as_ref().unwrap().state(n) == MemberState::Dead));
    assert!((0..4).all(|n| fleet.members[8].as_ref().unwrap().state(n) == MemberState::Dead));
    fleet.is_reachable = Box::new(|_, _| true);
    fleet.run_for(2 * DETECTION_TIME);
    fleet.check_agreement().unwrap();
    // The middle group relays indirect probes, so no member is considered dead.
    fleet.is_reachable = Box::new(|a, b| a / 3 == b / 3 || a / 3 == 1 || b / 3 == 1);
    fleet.run_for(DETECTION_TIME);
    fleet.check_agreement().unwrap();
    fleet.is_reachable = Box::new(|_, from| from != 2);
    fleet.run_for(DETECTION_TIME);
    assert!((0..9)
        .filter(|n| *n != 2)
        .all(|n| fleet.members[n].as_ref().unwrap().state(2) == MemberState::Dead));
    fleet.is_reachable = Box::new(|_, _| true);
    fleet.run_for(2 * DETECTION_TIME);
    fleet.check_agreement().unwrap();
    fleet.paused[4] = true;
    fleet.run_for(30 * S);
    assert_eq!(fleet.members[0].as_ref().unwrap().state(4), MemberState::Dead);
    fleet.paused[4] = false;
    fleet.run_for(2 * DETECTION_TIME);
    fleet.check_agreement().unwrap();
}

#[test]
fn a_datagram_with_a_wrong_sender_or_a_member_outside_the_fleet_is_dropped() {
    use granitelead_members::envelope::DropReason;
    let id = |number| MemberId { number, start: 9 };
    let mut from = Membership::new(0, id(5), 9, "test", 1, &[1]);
    let (receiver, datagram) = from.take_outgoing().remove(0);
    assert_eq!(receiver, 1);
    let mut to = Membership::new(0, id(1), 9, "test", 2, &[]);
    assert_eq!(to.receive(0, 4, &datagram), Err(DropReason::InvalidSender));
    let mut smaller_fleet = Membership::new(0, id(1), 3, "test", 2, &[]);
    assert_eq!(smaller_fleet.receive(0, 5, &datagram), Err(DropReason::InvalidSender));
    assert_eq!(to.receive(0, 5, &datagram), Ok(()));
    assert_eq!((to.state(5), to.count_by_state()), (MemberState::Alive, [1, 0, 0, 7]));
}

proptest! {
    // The cases are the same on each run; GRANITELEAD_CASES sets their number.
    #![proptest_config(ProptestConfig {
        cases: std::env::var("GRANITELEAD_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(24),
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]
    /// After any sequence of crashes, restarts and pauses, with datagrams lost, all running members agree
    /// again.
    #[test]
    fn all_members_agree_after_faults_end(seed in 0u64..1_000_000, steps in proptest::collection::vec((0u8..4, 0usize..7, 1u64..9), 0..12)) {
        let mut fleet = Fleet::new(7, seed, 0.1);
        fleet.run_for(5 * S);
        for (action, number, seconds) in steps {
            match action {
                0 => fleet.members[number] = None,
                1 if fleet.members[number].is_none() => fleet.start(number),
                2 => fleet.paused[number] = true,
                _ => fleet.paused[number] = false,
            }
            fleet.run_for(seconds * S);
        }
        fleet.paused = vec![false; 7];
        fleet.run_for(3 * DETECTION_TIME);
        prop_assert_eq!(fleet.check_agreement(), Ok(()));
    }
}
