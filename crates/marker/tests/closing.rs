//! Losses right after a confirmation: a confirmed change must be readable once the machines have
//! returned, whatever was in progress.
//!
//! Each random run has rounds of maintenance and single losses. Each round ends with a final fault:
//! within a few milliseconds after a change is confirmed, as many machines as may still be lost
//! lose their disks, and all others lose power, or all processes are killed. A disk write takes 5
//! ms.

mod common;

use common::world::{ip, Call, ProcessState, World};

/// How long a machine counts as lost after its return, ms: `catch-up-s`.
const CATCH_UP: u64 = 6_000;
/// ProposalNumber of machines that may join later, with an empty disk.
const SPARES: usize = 4;

/// A deployment: its zones, the markers per zone with and without a disk, and the number of
/// simultaneous losses to tolerate.
#[derive(Clone, Copy)]
struct Deployment {
    zones: &'static [&'static str],
    disks: usize,
    diskless: usize,
    losses: usize,
}

const DEPLOYMENTS: [Deployment; 4] = [
    Deployment { zones: &["a", "b", "c"], disks: 1, diskless: 0, losses: 1 },
    Deployment { zones: &["a", "b", "c"], disks: 1, diskless: 1, losses: 1 },
    Deployment { zones: &["a", "b", "c", "d", "e"], disks: 1, diskless: 0, losses: 2 },
    Deployment { zones: &["a", "b", "c", "d"], disks: 2, diskless: 0, losses: 2 },
];

/// One random run.
struct Run {
    world: World,
    rng: fastrand::Rng,
    losses: usize,
    /// Machines with a disk that are still part of the deployment.
    disks: Vec<usize>,
    spares: Vec<usize>,
    version: u32,
    /// Machines that count as lost, and until when, ms; `u64::MAX` while they are down.
    lost: Vec<(usize, u64)>,
    seed: u64,
    /// The number of final faults that were injected.
    final_faults: u64,
}

impl Run {
    fn new(seed: u64) -> Run {
        let deployment = DEPLOYMENTS[(seed % DEPLOYMENTS.len() as u64) as usize];
        let each = deployment.disks + deployment.diskless;
        let count = each * deployment.zones.len();
        let mut world = World::new(count + SPARES, 0, seed);
        world.losses = deployment.losses;
        for (n, machine) in world.machines.iter_mut().enumerate() {
            machine.zone = deployment.zones[(n / each) % deployment.zones.len()];
            machine.diskless = n < count && n % each >= deployment.disks;
        }
        let mut rng = fastrand::Rng::with_seed(seed ^ 0xc105);
        let mut founders: Vec<usize> = (0..count).collect();
        rng.shuffle(&mut founders);
        founders.iter().take(3).for_each(|n| world.machines[*n].founder = true);
        (0..count).for_each(|n| world.inject(n, "up"));
        let disks = (0..count).filter(|n| !world.machines[*n].diskless).collect();
        let spares = (count..count + SPARES).collect();
        let (losses, version, lost) = (deployment.losses, 0, Vec::new());
        Run { world, rng, losses, disks, spares, version, lost, seed, final_faults: 0 }
    }

    fn count_lost(&mut self) -> usize {
        let now = self.world.now;
        self.lost.retain(|(_, until)| *until > now);
        self.lost.len()
    }

    fn draw_disk(&mut self) -> usize {
        self.disks[self.rng.usize(0..self.disks.len())]
    }

    /// Waits until no machine counts as lost any more.
    fn wait_until_recovered(&mut self) {
        let until = self.lost.iter().map(|(_, until)| *until).max().unwrap_or(0);
        assert_ne!(until, u64::MAX, "seed {}: {:?} is still down", self.seed, self.lost);
        self.world.run(self.world.now.max(until));
        self.lost.clear();
    }

    /// Sends a change to a random machine. Returns whether it was confirmed within `within` ms,
    /// checking every millisecond.
    fn change(&mut self, within: u64) -> bool {
        self.version += 1;
        let at = self.draw_disk();
        self.world.put(self.version, "", at);
        let until = self.world.now + within;
        while self.world.acked < self.version && self.world.now < until {
            self.world.run(self.world.now + 1);
        }
        self.world.acked == self.version
    }

    /// Maintains or breaks one machine, within the number of losses to tolerate.
    fn inject_fault(&mut self) {
        if self.count_lost() >= self.losses {
            return;
        }
        let n = self.draw_disk();
        if self.lost.iter().any(|(lost, _)| *lost == n) {
            return;
        }
        match self.rng.u32(0..6) {
            0 => self.restart(n, "stop"),
            1 => self.restart(n, "kill"),
            2 => self.restart(n, "power"),
            3 => self.restart(n, "wipe"),
            4 => self.replace(n),
            _ => {
                let what = ["cut", "deaf", "freeze", "slow"][self.rng.usize(0..4)];
                self.lost.push((n, u64::MAX));
                self.world.inject(n, what);
                self.world.run(self.world.now + self.rng.u64(20..3_000));
                self.end_fault(n);
            }
        }
    }

    fn end_fault(&mut self, n: usize) {
        if self.world.machines[n].state == ProcessState::Frozen {
            self.world.inject(n, "thaw");
        }
        self.world.inject(n, "join");
        self.world.inject(n, "quick");
        self.mark_returned(n);
    }

    fn mark_returned(&mut self, n: usize) {
        let until = self.world.now + CATCH_UP;
        self.lost.iter_mut().filter(|(lost, _)| *lost == n).for_each(|(_, back)| *back = until);
    }

    fn restart(&mut self, n: usize, how: &str) {
        self.lost.push((n, u64::MAX));
        self.world.inject(n, how);
        self.world.run(self.world.now + self.rng.u64(1..1_500));
        while self.world.machines[n].state == ProcessState::Up {
            self.world.run(self.world.now + 25);
        }
        self.world.inject(n, "up");
        self.mark_returned(n);
    }

    /// Removes a machine for good, with or without a shutdown, and adds another one with an empty
    /// disk, which the platform may name as a seed.
    fn replace(&mut self, n: usize) {
        let Some(new) = self.spares.pop() else { return };
        self.lost.push((n, u64::MAX));
        if self.rng.bool() {
            self.world.inject(n, "stop");
            while self.world.machines[n].state == ProcessState::Up {
                self.world.run(self.world.now + 25);
            }
        }
        self.world.inject(n, "wipe");
        self.world.machines[new].zone = self.world.machines[n].zone;
        let was_founder = std::mem::take(&mut self.world.machines[n].founder);
        self.world.machines[new].founder = was_founder || self.rng.bool();
        self.world.run(self.world.now + self.rng.u64(1..2_500));
        self.world.inject(new, "up");
        self.disks.retain(|disk| *disk != n);
        self.disks.push(new);
        // The removed machine counts as lost until its replacement has caught up.
        self.mark_returned(n);
        for (lost, _) in &mut self.lost {
            if *lost == n {
                *lost = new;
            }
        }
    }

    /// Confirms a change and, at that moment, wipes as many machines as may still be lost, while
    /// all others lose power or are killed.
    fn inject_final_fault(&mut self) {
        if !self.change(4_000) {
            return;
        }
        self.final_faults += 1;
        let mut wiped = self.disks.clone();
        self.rng.shuffle(&mut wiped);
        // In three of four cases this includes the primary that has just confirmed the change.
        if let Some(primary) = self.world.primary().filter(|_| self.rng.u32(0..4) > 0) {
            wiped.retain(|n| *n != primary);
            wiped.insert(0, primary);
        }
        let lost: Vec<usize> = self.lost.iter().map(|(n, _)| *n).collect();
        let may_lose = self.losses - self.count_lost();
        wiped.retain(|n| !lost.contains(n) && self.disks.contains(n));
        wiped.truncate(may_lose);
        let all = ["power", "kill"][self.rng.usize(0..2)];
        let wipes = self.rng.u32(0..3) > 0;
        self.world.run(self.world.now + self.rng.u64(0..4));
        for n in 0..self.world.machines.len() {
            if self.world.machines[n].state != ProcessState::Down {
                self.world.inject(n, if wipes && wiped.contains(&n) { "wipe" } else { all });
            }
        }
        let down: Vec<usize> = (0..self.world.machines.len())
            .filter(|n| self.disks.contains(n) || self.world.machines[*n].diskless)
            .collect();
        self.world.run(self.world.now + self.rng.u64(1..1_200));
        for n in down {
            self.world.run(self.world.now + self.rng.u64(0..100));
            self.world.inject(n, "up");
        }
        let until = self.world.now + 2 * CATCH_UP;
        self.lost = self.disks.iter().map(|n| (*n, until)).collect();
        self.read_back();
    }

    /// Reads the confirmed change back: the read must be answered, with nothing older.
    fn read_back(&mut self) {
        let (since, at) = (self.world.acked, self.draw_disk());
        self.world.read = None;
        self.world.call(Call::Get { since }, at);
        let until = self.world.now + 10_000;
        while self.world.read.is_none() {
            let machines: Vec<_> =
                self.world.machines.iter().map(|machine| (machine.ip, machine.state)).collect();
            let primary = self.world.primary().map(ip);
            let (seed, now) = (self.seed, self.world.now);
            assert!(now < until, "seed {seed}, {now} ms: no answer after {since}, {primary:?}, {machines:?}");
            self.world.run(now + 25);
        }
    }

    /// Returns the number of final faults that were injected.
    fn play(mut self) -> u64 {
        self.world.run(4_000);
        for _ in 0..3 {
            for _ in 0..self.rng.u32(0..4) {
                self.inject_fault();
                if self.rng.bool() {
                    let within = self.rng.u64(1..400);
                    self.change(within);
                }
                self.world.run(self.world.now + self.rng.u64(0..1_000));
            }
            self.inject_final_fault();
            self.wait_until_recovered();
        }
        assert!(self.change(4_000), "seed {}: changes are no longer confirmed", self.seed);
        self.final_faults
    }
}

/// Plays `count` runs, from the seed `from` on, in parallel. Returns the number of final faults
/// that were injected.
fn play_runs(from: u64, count: u64) -> u64 {
    use std::sync::atomic::{AtomicU64, Ordering};
    let (next, final_faults) = (AtomicU64::new(from), AtomicU64::new(0));
    std::thread::scope(|scope| {
        for _ in 0..8 {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= from + count {
                    return;
                }
                final_faults.fetch_add(Run::new(seed).play(), Ordering::Relaxed);
            });
        }
    });
    final_faults.into_inner()
}

/// `GRANITELEAD_CASES` sets another number of runs.
#[test]
fn a_confirmed_change_survives_losses_right_after_it() {
    let count = std::env::var("GRANITELEAD_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(2_000);
    let final_faults = play_runs(0, count);
    println!("{final_faults} final faults in {count} runs");
    assert!(final_faults >= 2 * count, "{final_faults} final faults in {count} runs");
}
