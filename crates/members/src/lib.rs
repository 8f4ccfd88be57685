//! Which gatekeepers of a fleet live, as far as one of them knows: SWIM (the crate `foca`) over datagrams of the platform's
//! size. No I/O; time is passed in. What is sent is constant for each gatekeeper, whatever the fleet's size.

pub mod envelope;
mod id;
mod wire;

use envelope::{Dropped, Opener, Sealer, DATAGRAM_MAX, OVERHEAD};
use foca::{Config, Foca, Member, NoCustomBroadcast, Notification, PeriodicParams, Runtime, State, Timer};
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;
use wire::Wire;

pub use id::Id;

/// One of those that nothing was heard of is asked so often, on the mean.
const SEEKS: Duration = Duration::from_secs(1);

/// How another gatekeeper stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Nothing was heard of it since this process started.
    Unknown,
    /// It answers, itself or through others.
    Alive,
    /// Somebody got no answer from it; it may say otherwise.
    Doubted,
    /// It was silent for too long, or has left.
    Dead,
}

/// Calls put off until their time.
type Timers = BTreeMap<(u64, u64), Timer<Id>>;

/// What the core asks for, gathered.
struct Gathers<'a> {
    now: u64,
    turn: &'a mut u64,
    timers: &'a mut Timers,
    sends: &'a mut Vec<(Id, Vec<u8>)>,
    changes: &'a mut Vec<(u16, bool)>,
}

impl Runtime<Id> for Gathers<'_> {
    fn notify(&mut self, notification: Notification<'_, Id>) {
        match notification {
            Notification::MemberUp(id) => self.changes.push((id.number, true)),
            Notification::MemberDown(id) => self.changes.push((id.number, false)),
            _ => {}
        }
    }

    fn send_to(&mut self, to: Id, data: &[u8]) {
        self.sends.push((to, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<Id>, after: Duration) {
        *self.turn += 1;
        self.timers.insert((self.now + after.as_micros() as u64, *self.turn), event);
    }
}

/// How often what is done, whatever the fleet's size.
fn pace(of: u16) -> Config {
    let one = NonZeroUsize::MIN;
    let every = |ms| Some(PeriodicParams { frequency: Duration::from_millis(ms), num_members: one });
    // News has to reach all: a few times the logarithm of their number.
    let times = 3 * (u32::from(of).max(2).ilog2() as u8 + 1);
    Config {
        probe_period: Duration::from_millis(1_000),
        probe_rtt: Duration::from_millis(300),
        num_indirect_probes: NonZeroUsize::MIN.saturating_add(2),
        max_transmissions: NonZeroU8::MIN.saturating_add(times),
        suspect_to_down_after: Duration::from_secs(4),
        // One that is back has another start, and is known again at once.
        remove_down_after: Some(Duration::from_secs(3_600)),
        max_packet_size: NonZeroUsize::MIN.saturating_add(DATAGRAM_MAX - OVERHEAD - 1),
        notify_down_members: true,
        periodic_announce: every(5_000),
        periodic_announce_to_down_members: every(2_500),
        periodic_gossip: every(500),
    }
}

/// What one gatekeeper knows of the fleet.
pub struct Members {
    foca: Foca<Id, Wire, ChaCha8Rng, NoCustomBroadcast>,
    of: u16,
    sealer: Sealer,
    opener: Opener,
    timers: Timers,
    turn: u64,
    sends: Vec<(Id, Vec<u8>)>,
    changes: Vec<(u16, bool)>,
    /// When one of those that nothing was heard of is asked next.
    seeks: u64,
    rng: ChaCha8Rng,
    /// Times at which the core refused what it was given: an error of a peer's, which does no harm.
    refused: u64,
}

impl Members {
    /// Gatekeeper `me` of so many in the fleet of that name, whose process began at `start` (Unix time, ms); `first` are
    /// others that are asked at once who is there.
    pub fn new(now: u64, me: Id, of: u16, fleet: &str, seed: u64, first: &[u16]) -> Members {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let mut it = Members {
            foca: Foca::new(me, pace(of), rng, Wire),
            of,
            sealer: Sealer::new(fleet, me.start),
            opener: Opener::new(fleet),
            timers: BTreeMap::new(),
            turn: 0,
            sends: Vec::new(),
            changes: Vec::new(),
            seeks: 0,
            rng: ChaCha8Rng::seed_from_u64(!seed),
            refused: 0,
        };
        it.seeks = now + it.draws_wait();
        for number in first.iter().copied().filter(|number| *number != me.number) {
            // Which process of it that is will be known from its answer.
            it.calls(now, |foca, gathers| foca.announce(Id { number, start: 0 }, gathers));
        }
        it
    }

    fn calls(
        &mut self,
        now: u64,
        call: impl FnOnce(
            &mut Foca<Id, Wire, ChaCha8Rng, NoCustomBroadcast>,
            &mut Gathers,
        ) -> Result<(), foca::Error>,
    ) {
        let Members { foca, timers, turn, sends, changes, .. } = self;
        let mut gathers = Gathers { now, turn, timers, sends, changes };
        if call(foca, &mut gathers).is_err() {
            self.refused += 1;
        }
    }

    /// A datagram has come from the address of that gatekeeper.
    pub fn hears(&mut self, now: u64, from: u16, datagram: &[u8]) -> Result<(), Dropped> {
        let data = self.opener.open(from, datagram)?;
        if !wire::is_of(data, from, self.of) {
            return Err(Dropped::Stranger);
        }
        self.calls(now, |foca, gathers| foca.handle_data(data, gathers));
        Ok(())
    }

    fn draws_wait(&mut self) -> u64 {
        SEEKS.mul_f64(self.rng.random_range(0.5..1.5)).as_micros() as u64
    }

    /// Asks one of those that nothing was heard of, so that two groups that started apart find each other.
    fn seeks(&mut self, now: u64) {
        self.seeks = now + self.draws_wait();
        let me = self.foca.identity().number;
        let known: BTreeSet<u16> = self.foca.iter_membership_state().map(|it| it.id().number).collect();
        let unknown: Vec<u16> = (0..self.of).filter(|n| *n != me && !known.contains(n)).collect();
        if let Some(number) = unknown.choose(&mut self.rng).copied() {
            self.calls(now, |foca, gathers| foca.announce(Id { number, start: 0 }, gathers));
        }
    }

    /// When something is due next, µs.
    pub fn next(&self) -> u64 {
        self.timers.keys().next().map_or(self.seeks, |(at, _)| self.seeks.min(*at))
    }

    /// Does what is due.
    pub fn due(&mut self, now: u64) {
        if now >= self.seeks {
            self.seeks(now);
        }
        while let Some((key, timer)) = self.timers.pop_first() {
            if key.0 > now {
                self.timers.insert(key, timer);
                return;
            }
            self.calls(now, |foca, gathers| foca.handle_timer(timer, gathers));
        }
    }

    /// It ends: some others are told, who tell the rest.
    pub fn leaves(&mut self, now: u64) {
        self.calls(now, |foca, gathers| foca.leave_cluster(gathers));
    }

    /// What is to be sent, each to a gatekeeper by number.
    pub fn sends(&mut self) -> Vec<(u16, Vec<u8>)> {
        let sends = std::mem::take(&mut self.sends);
        sends.into_iter().map(|(to, data)| (to.number, self.sealer.seal(&data))).collect()
    }

    /// Gatekeepers that have come to be alive, or dead, since this was last asked.
    pub fn changes(&mut self) -> Vec<(u16, bool)> {
        std::mem::take(&mut self.changes)
    }

    /// How another one stands.
    pub fn standing(&self, number: u16) -> Standing {
        let known = self.foca.iter_membership_state().find(|member| member.id().number == number);
        match known.map(Member::state) {
            None => Standing::Unknown,
            Some(State::Alive) => Standing::Alive,
            Some(State::Suspect) => Standing::Doubted,
            Some(State::Down) => Standing::Dead,
        }
    }

    /// How many others stand in each way: alive, doubted, dead, unknown.
    pub fn count(&self) -> [usize; 4] {
        let mut count = [0; 4];
        for member in self.foca.iter_membership_state() {
            count[match member.state() {
                State::Alive => 0,
                State::Suspect => 1,
                State::Down => 2,
            }] += 1;
        }
        count[3] = (usize::from(self.of) - 1).saturating_sub(count[..3].iter().sum());
        count
    }

    /// Times at which a peer's word made no sense here.
    pub fn refused(&self) -> u64 {
        self.refused
    }
}
