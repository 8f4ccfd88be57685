//! Group membership of the gatekeepers of a fleet as seen by one of them: SWIM (the crate `foca`) over
//! datagrams of the platform's size. Performs no I/O; the caller passes the time in. The traffic that each
//! gatekeeper sends does not depend on the size of the fleet.

pub mod envelope;
mod id;
mod wire;

use envelope::{DatagramDecoder, DatagramEncoder, DropReason, DATAGRAM_MAX, OVERHEAD};
use foca::{Config, Foca, Member, NoCustomBroadcast, Notification, PeriodicParams, Runtime, State, Timer};
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;
use wire::WireCodec;

pub use id::MemberId;

/// Mean interval between announcements to a gatekeeper of unknown state.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);

/// State of another gatekeeper.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberState {
    /// Nothing has been received about it since this process started.
    Unknown,
    /// It answers probes, directly or through others.
    Alive,
    /// It left a probe of some member unanswered, and may still refute the suspicion.
    Suspect,
    /// It has not answered for too long, or has left.
    Dead,
}

/// Timers of `foca` by due time, in µs, and a sequence number that keeps those of the same time in order.
type Timers = BTreeMap<(u64, u64), Timer<MemberId>>;

/// Collects the effects that a call of `foca` requests: timers, datagrams to send and membership changes.
struct EffectCollector<'a> {
    now: u64,
    sequence: &'a mut u64,
    timers: &'a mut Timers,
    outgoing: &'a mut Vec<(MemberId, Vec<u8>)>,
    changes: &'a mut Vec<(u16, bool)>,
}

impl Runtime<MemberId> for EffectCollector<'_> {
    fn notify(&mut self, notification: Notification<'_, MemberId>) {
        match notification {
            Notification::MemberUp(id) => self.changes.push((id.number, true)),
            Notification::MemberDown(id) => self.changes.push((id.number, false)),
            _ => {}
        }
    }

    fn send_to(&mut self, to: MemberId, data: &[u8]) {
        self.outgoing.push((to, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<MemberId>, after: Duration) {
        *self.sequence += 1;
        self.timers.insert((self.now + after.as_micros() as u64, *self.sequence), event);
    }
}

/// Periods and limits of the protocol for a fleet of `fleet_size` gatekeepers.
fn swim_config(fleet_size: u16) -> Config {
    let one = NonZeroUsize::MIN;
    let every = |ms| Some(PeriodicParams { frequency: Duration::from_millis(ms), num_members: one });
    // An update needs a number of transmissions proportional to the logarithm of the fleet's size to reach
    // all members.
    let transmissions = 3 * (u32::from(fleet_size).max(2).ilog2() as u8 + 1);
    Config {
        probe_period: Duration::from_millis(1_000),
        probe_rtt: Duration::from_millis(300),
        num_indirect_probes: NonZeroUsize::MIN.saturating_add(2),
        max_transmissions: NonZeroU8::MIN.saturating_add(transmissions),
        suspect_to_down_after: Duration::from_secs(4),
        // A restarted gatekeeper has another start time and so is accepted again at once.
        remove_down_after: Some(Duration::from_secs(3_600)),
        max_packet_size: NonZeroUsize::MIN.saturating_add(DATAGRAM_MAX - OVERHEAD - 1),
        notify_down_members: true,
        periodic_announce: every(5_000),
        periodic_announce_to_down_members: every(2_500),
        periodic_gossip: every(500),
    }
}

/// The membership of the fleet as known to one gatekeeper.
pub struct Membership {
    foca: Foca<MemberId, WireCodec, ChaCha8Rng, NoCustomBroadcast>,
    fleet_size: u16,
    encoder: DatagramEncoder,
    decoder: DatagramDecoder,
    timers: Timers,
    sequence: u64,
    outgoing: Vec<(MemberId, Vec<u8>)>,
    changes: Vec<(u16, bool)>,
    /// Time of the next announcement to a gatekeeper of unknown state, in µs.
    next_announce: u64,
    rng: ChaCha8Rng,
    /// Number of calls that `foca` rejected, caused by invalid messages of peers and harmless.
    rejected_count: u64,
}

impl Membership {
    /// Starts the membership of gatekeeper `me` in the fleet named `fleet` of `fleet_size` gatekeepers, and
    /// announces it at once to the gatekeepers in `seed_members`, which answer with the members they know.
    /// Times are in µs.
    pub fn new(
        now: u64,
        me: MemberId,
        fleet_size: u16,
        fleet: &str,
        seed: u64,
        seed_members: &[u16],
    ) -> Membership {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let mut members = Membership {
            foca: Foca::new(me, swim_config(fleet_size), rng, WireCodec),
            fleet_size,
            encoder: DatagramEncoder::new(fleet, me.start),
            decoder: DatagramDecoder::new(fleet),
            timers: BTreeMap::new(),
            sequence: 0,
            outgoing: Vec::new(),
            changes: Vec::new(),
            next_announce: 0,
            rng: ChaCha8Rng::seed_from_u64(!seed),
            rejected_count: 0,
        };
        members.next_announce = now + members.draw_announce_wait();
        for number in seed_members.iter().copied().filter(|number| *number != me.number) {
            // The start time of its process is learned from its answer.
            members.call_foca(now, |foca, effects| foca.announce(MemberId { number, start: 0 }, effects));
        }
        members
    }

    /// Calls `foca` and collects the effects. An error is counted as rejected.
    fn call_foca(
        &mut self,
        now: u64,
        call: impl FnOnce(
            &mut Foca<MemberId, WireCodec, ChaCha8Rng, NoCustomBroadcast>,
            &mut EffectCollector,
        ) -> Result<(), foca::Error>,
    ) {
        let Membership { foca, timers, sequence, outgoing, changes, .. } = self;
        let mut effects = EffectCollector { now, sequence, timers, outgoing, changes };
        if call(foca, &mut effects).is_err() {
            self.rejected_count += 1;
        }
    }

    /// Handles a datagram received from the address of gatekeeper `from`.
    pub fn receive(&mut self, now: u64, from: u16, datagram: &[u8]) -> Result<(), DropReason> {
        let data = self.decoder.decode(from, datagram)?;
        if !wire::is_valid(data, from, self.fleet_size) {
            return Err(DropReason::InvalidSender);
        }
        self.call_foca(now, |foca, effects| foca.handle_data(data, effects));
        Ok(())
    }

    fn draw_announce_wait(&mut self) -> u64 {
        ANNOUNCE_INTERVAL.mul_f64(self.rng.random_range(0.5..1.5)).as_micros() as u64
    }

    /// Announces this member to a random gatekeeper of unknown state, so that two groups that started
    /// separately discover each other.
    fn announce_to_unknown(&mut self, now: u64) {
        self.next_announce = now + self.draw_announce_wait();
        let me = self.foca.identity().number;
        let known: BTreeSet<u16> =
            self.foca.iter_membership_state().map(|member| member.id().number).collect();
        let unknown: Vec<u16> = (0..self.fleet_size).filter(|n| *n != me && !known.contains(n)).collect();
        if let Some(number) = unknown.choose(&mut self.rng).copied() {
            self.call_foca(now, |foca, effects| foca.announce(MemberId { number, start: 0 }, effects));
        }
    }

    /// Time of the next timer, in µs.
    pub fn next_timer(&self) -> u64 {
        self.timers.keys().next().map_or(self.next_announce, |(at, _)| self.next_announce.min(*at))
    }

    /// Runs all timers that are due at `now`.
    pub fn run_timers(&mut self, now: u64) {
        if now >= self.next_announce {
            self.announce_to_unknown(now);
        }
        while let Some((key, timer)) = self.timers.pop_first() {
            if key.0 > now {
                self.timers.insert(key, timer);
                return;
            }
            self.call_foca(now, |foca, effects| foca.handle_timer(timer, effects));
        }
    }

    /// Leaves the fleet: some other members are notified, who pass it on to the rest.
    pub fn leave(&mut self, now: u64) {
        self.call_foca(now, |foca, effects| foca.leave_cluster(effects));
    }

    /// Takes the datagrams to send, each with the number of its receiver.
    pub fn take_outgoing(&mut self) -> Vec<(u16, Vec<u8>)> {
        let outgoing = std::mem::take(&mut self.outgoing);
        outgoing.into_iter().map(|(to, data)| (to.number, self.encoder.encode(&data))).collect()
    }

    /// Takes the changes since the last call: the number of a gatekeeper, and whether it is now alive (or
    /// dead).
    pub fn take_changes(&mut self) -> Vec<(u16, bool)> {
        std::mem::take(&mut self.changes)
    }

    /// State of gatekeeper `number`.
    pub fn state(&self, number: u16) -> MemberState {
        let known = self.foca.iter_membership_state().find(|member| member.id().number == number);
        match known.map(Member::state) {
            None => MemberState::Unknown,
            Some(State::Alive) => MemberState::Alive,
            Some(State::Suspect) => MemberState::Suspect,
            Some(State::Down) => MemberState::Dead,
        }
    }

    /// Number of other gatekeepers in each state: alive, suspect, dead, unknown.
    pub fn count_by_state(&self) -> [usize; 4] {
        let mut count = [0; 4];
        for member in self.foca.iter_membership_state() {
            count[match member.state() {
                State::Alive => 0,
                State::Suspect => 1,
                State::Down => 2,
            }] += 1;
        }
        count[3] = (usize::from(self.fleet_size) - 1).saturating_sub(count[..3].iter().sum());
        count
    }

    /// Number of messages and timers that `foca` rejected.
    pub fn rejected_count(&self) -> u64 {
        self.rejected_count
    }
}
