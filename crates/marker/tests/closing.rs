//! Losses right after an answer: whatever was going on, what was confirmed is read back once the machines have returned.
//!
//! Each drawn day has rounds of planned work and single losses, and each round ends as a closing fault does: in the very
//! millisecond in which a change is confirmed, as many machines as are still to be borne lose their disks, and all
//! others lose power, or all processes are killed. Disks take 5 ms a write.

mod common;

use common::world::{ip, Call, Life, World};

/// How long a machine counts as lost after it is back, ms: `catch-up-s`.
const CATCH_UP: u64 = 6_000;
/// Machines that may join later, with an empty disk.
const SPARES: usize = 4;

/// A deployment: zones, markers with a disk in each, markers without one in each, losses to be borne at once.
#[derive(Clone, Copy)]
struct Site {
    zones: &'static [&'static str],
    disks: usize,
    others: usize,
    losses: usize,
}

const SITES: [Site; 4] = [
    Site { zones: &["a", "b", "c"], disks: 1, others: 0, losses: 1 },
    Site { zones: &["a", "b", "c"], disks: 1, others: 1, losses: 1 },
    Site { zones: &["a", "b", "c", "d", "e"], disks: 1, others: 0, losses: 2 },
    Site { zones: &["a", "b", "c", "d"], disks: 2, others: 0, losses: 2 },
];

/// One drawn day.
struct Day {
    world: World,
    rng: fastrand::Rng,
    losses: usize,
    /// Machines with a disk, as long as they are there.
    disks: Vec<usize>,
    spares: Vec<usize>,
    version: u32,
    /// Machines that count as lost, and until when; `u64::MAX` while they are down.
    lost: Vec<(usize, u64)>,
    seed: u64,
    /// Closing faults that struck.
    closed: u64,
}

impl Day {
    fn new(seed: u64) -> Day {
        let site = SITES[(seed % SITES.len() as u64) as usize];
        let each = site.disks + site.others;
        let count = each * site.zones.len();
        let mut world = World::new(count + SPARES, 0, seed);
        world.losses = site.losses;
        for (n, place) in world.places.iter_mut().enumerate() {
            place.zone = site.zones[(n / each) % site.zones.len()];
            place.forgets = n < count && n % each >= site.disks;
        }
        let mut rng = fastrand::Rng::with_seed(seed ^ 0xc105);
        let mut founders: Vec<usize> = (0..count).collect();
        rng.shuffle(&mut founders);
        founders.iter().take(3).for_each(|n| world.places[*n].founder = true);
        (0..count).for_each(|n| world.act(n, "up"));
        let disks = (0..count).filter(|n| !world.places[*n].forgets).collect();
        let spares = (count..count + SPARES).collect();
        let (losses, version, lost) = (site.losses, 0, Vec::new());
        Day { world, rng, losses, disks, spares, version, lost, seed, closed: 0 }
    }

    fn lost_now(&mut self) -> usize {
        let now = self.world.now;
        self.lost.retain(|(_, until)| *until > now);
        self.lost.len()
    }

    fn draw_disk(&mut self) -> usize {
        self.disks[self.rng.usize(0..self.disks.len())]
    }

    /// Waits until nothing counts as lost any more.
    fn calm(&mut self) {
        let until = self.lost.iter().map(|(_, until)| *until).max().unwrap_or(0);
        assert_ne!(until, u64::MAX, "seed {}: {:?} is still down", self.seed, self.lost);
        self.world.run(self.world.now.max(until));
        self.lost.clear();
    }

    /// Sends a change, to any machine; gives whether it was confirmed within so long, to the millisecond.
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

    /// One machine is worked on, or lost, within what must be borne.
    fn disturb(&mut self) {
        if self.lost_now() >= self.losses {
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
                self.world.act(n, what);
                self.world.run(self.world.now + self.rng.u64(20..3_000));
                self.undo(n);
            }
        }
    }

    fn undo(&mut self, n: usize) {
        if self.world.places[n].life == Life::Frozen {
            self.world.act(n, "thaw");
        }
        self.world.act(n, "join");
        self.world.act(n, "quick");
        self.returned(n);
    }

    fn returned(&mut self, n: usize) {
        let until = self.world.now + CATCH_UP;
        self.lost.iter_mut().filter(|(lost, _)| *lost == n).for_each(|(_, back)| *back = until);
    }

    fn restart(&mut self, n: usize, how: &str) {
        self.lost.push((n, u64::MAX));
        self.world.act(n, how);
        self.world.run(self.world.now + self.rng.u64(1..1_500));
        while self.world.places[n].life == Life::Up {
            self.world.run(self.world.now + 25);
        }
        self.world.act(n, "up");
        self.returned(n);
    }

    /// A machine goes for good, told or not, and another one comes with an empty disk; the platform may name it a seed.
    fn replace(&mut self, n: usize) {
        let Some(new) = self.spares.pop() else { return };
        self.lost.push((n, u64::MAX));
        if self.rng.bool() {
            self.world.act(n, "stop");
            while self.world.places[n].life == Life::Up {
                self.world.run(self.world.now + 25);
            }
        }
        self.world.act(n, "wipe");
        self.world.places[new].zone = self.world.places[n].zone;
        let was_founder = std::mem::take(&mut self.world.places[n].founder);
        self.world.places[new].founder = was_founder || self.rng.bool();
        self.world.run(self.world.now + self.rng.u64(1..2_500));
        self.world.act(new, "up");
        self.disks.retain(|disk| *disk != n);
        self.disks.push(new);
        // The one that is gone counts until its successor has caught up.
        self.returned(n);
        for (lost, _) in &mut self.lost {
            if *lost == n {
                *lost = new;
            }
        }
    }

    /// A change is confirmed, and that moment as much is lost as must be borne, while all others lose power.
    fn close(&mut self) {
        if !self.change(4_000) {
            return;
        }
        self.closed += 1;
        let mut wiped = self.disks.clone();
        self.rng.shuffle(&mut wiped);
        // Most often the one that has just answered.
        if let Some(primary) = self.world.primary().filter(|_| self.rng.u32(0..4) > 0) {
            wiped.retain(|n| *n != primary);
            wiped.insert(0, primary);
        }
        let lost: Vec<usize> = self.lost.iter().map(|(n, _)| *n).collect();
        let may_lose = self.losses - self.lost_now();
        wiped.retain(|n| !lost.contains(n) && self.disks.contains(n));
        wiped.truncate(may_lose);
        let all = ["power", "kill"][self.rng.usize(0..2)];
        let wipes = self.rng.u32(0..3) > 0;
        self.world.run(self.world.now + self.rng.u64(0..4));
        for n in 0..self.world.places.len() {
            if self.world.places[n].life != Life::Down {
                self.world.act(n, if wipes && wiped.contains(&n) { "wipe" } else { all });
            }
        }
        let down: Vec<usize> = (0..self.world.places.len())
            .filter(|n| self.disks.contains(n) || self.world.places[*n].forgets)
            .collect();
        self.world.run(self.world.now + self.rng.u64(1..1_200));
        for n in down {
            self.world.run(self.world.now + self.rng.u64(0..100));
            self.world.act(n, "up");
        }
        let until = self.world.now + 2 * CATCH_UP;
        self.lost = self.disks.iter().map(|n| (*n, until)).collect();
        self.read_back();
    }

    /// What was confirmed is there: reading it back is answered, and by nothing older.
    fn read_back(&mut self) {
        let (since, at) = (self.world.acked, self.draw_disk());
        self.world.read = None;
        self.world.call(Call::Get { since }, at);
        let until = self.world.now + 10_000;
        while self.world.read.is_none() {
            let places: Vec<_> = self.world.places.iter().map(|place| (place.ip, place.life)).collect();
            let primary = self.world.primary().map(ip);
            let (seed, now) = (self.seed, self.world.now);
            assert!(now < until, "seed {seed}, {now} ms: no answer after {since}, {primary:?}, {places:?}");
            self.world.run(now + 25);
        }
    }

    /// Gives how many closing faults struck.
    fn play(mut self) -> u64 {
        self.world.run(4_000);
        for _ in 0..3 {
            for _ in 0..self.rng.u32(0..4) {
                self.disturb();
                if self.rng.bool() {
                    let within = self.rng.u64(1..400);
                    self.change(within);
                }
                self.world.run(self.world.now + self.rng.u64(0..1_000));
            }
            self.close();
            self.calm();
        }
        assert!(self.change(4_000), "seed {}: no change is confirmed any more", self.seed);
        self.closed
    }
}

/// Plays as many days as are asked for, from this seed on, on all cores. Gives how
/// many closing faults struck.
fn days(from: u64, count: u64) -> u64 {
    use std::sync::atomic::{AtomicU64, Ordering};
    let (next, closed) = (AtomicU64::new(from), AtomicU64::new(0));
    std::thread::scope(|scope| {
        for _ in 0..8 {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= from + count {
                    return;
                }
                closed.fetch_add(Day::new(seed).play(), Ordering::Relaxed);
            });
        }
    });
    closed.into_inner()
}

/// GRANITELEAD_CASES asks for more than the usual days.
#[test]
fn what_is_confirmed_survives_losses_right_after_it() {
    let count = std::env::var("GRANITELEAD_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(2_000);
    let closed = days(0, count);
    println!("{closed} closing faults in {count} days");
    assert!(closed >= 2 * count, "{closed} closing faults in {count} days");
}
