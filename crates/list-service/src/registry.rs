//! Who holds a lease, and when it ends. No I/O; time is passed in, in ms of a clock that never goes back.

use granitelead_list::forms::{Leased, OnLease, Register, Target};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use thiserror::Error;

/// Leases at once: the list of the longest entries is a line that every gatekeeper takes.
pub const LEASES_MAX: usize = 8_000;
/// The shortest and the longest time to live.
pub const TTL_MS: (u64, u64) = (1_000, 30_000);
/// The longest name of a server, and of a zone or model.
const UID_MAX: usize = 128;
/// See `UID_MAX`.
const WORD_MAX: usize = 64;
/// How far ahead of our clock another machine's may be.
const CLOCKS_MS: u64 = 60_000;
/// A gap between two looks at the clock that tells of a pause of our own.
const PAUSE_MS: u64 = 1_000;
/// Lapses count together with what is overdue for so long.
const TOGETHER_MS: u64 = 30_000;
/// Holders renew after so many parts of a lease's time.
const RENEW_PART: u64 = 3;

/// A change of the list, as it is told and kept.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Record {
    /// The list's version with it.
    pub rev: u64,
    /// The lease's number.
    pub lease: u64,
    /// The lease's time to live.
    pub ttl_ms: u64,
    /// The server as listed from now on.
    pub target: Target,
}

/// Why a call changes nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Refusal {
    /// A field's value can't be.
    #[error("field `{0}` has no proper value")]
    Bad(&'static str),
    /// The lease is known to nobody: register.
    #[error("no such lease; register")]
    UnknownLease,
    /// A later process of this server, or one elsewhere, holds it now: do not register again.
    #[error("another process of this server is registered")]
    Superseded,
    /// There are as many leases as there may be.
    #[error("there are too many leases")]
    Full,
}

/// Something for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Noted {
    /// This process stood still for so many ms.
    Paused(u64),
    /// Most leases are overdue: so many of so many.
    Guarded(usize, usize),
    /// Renewals come again.
    SeesAgain,
    /// The guard's time is over: so many servers go.
    GaveUp(usize),
}

struct Lease {
    number: u64,
    ttl_ms: u64,
    renewed: u64,
    target: Target,
    /// The version in which it was last changed.
    rev: u64,
}

impl Lease {
    fn lapsed(&self, now: u64) -> bool {
        now >= self.renewed + self.ttl_ms
    }

    fn overdue(&self, now: u64) -> bool {
        now > self.renewed + self.ttl_ms / 2
    }

    fn told(&self) -> Leased {
        let (ttl_ms, renew_ms) = (self.ttl_ms, self.ttl_ms / RENEW_PART);
        Leased { lease: self.number, rev: self.rev, ttl_ms, renew_ms }
    }
}

/// All leases.
pub struct Registry {
    rev: u64,
    /// The next change is of this version at the least.
    least: u64,
    next_lease: u64,
    leases: BTreeMap<String, Lease>,
    /// When leases have lapsed, lately.
    lapses: VecDeque<u64>,
    lapsed_in_all: u64,
    guard_ms: u64,
    guarded_until: Option<u64>,
    looked: u64,
}

impl Registry {
    /// Goes on from what was kept; every lease has its whole time again.
    pub fn new(
        (rev, next_lease): (u64, u64),
        kept: impl IntoIterator<Item = Record>,
        guard_ms: u64,
        now: u64,
    ) -> Registry {
        let lease = |r: Record| {
            let lease =
                Lease { number: r.lease, ttl_ms: r.ttl_ms, renewed: now, target: r.target, rev: r.rev };
            (lease.target.uid.clone(), lease)
        };
        Registry {
            rev,
            least: 0,
            next_lease,
            leases: kept.into_iter().map(lease).collect(),
            lapses: VecDeque::new(),
            lapsed_in_all: 0,
            guard_ms,
            guarded_until: None,
            looked: now,
        }
    }

    /// The next change is of that version or a later one, whatever the last one was.
    pub fn leaps_to(&mut self, least: u64) {
        self.least = least;
    }

    fn next_rev(&self) -> u64 {
        self.least.max(self.rev + 1)
    }

    /// Versions and leases go on from these, or from where they are if that is later; gives the next lease's number.
    pub fn go_on_from(&mut self, rev: u64, lease: u64) -> u64 {
        self.rev = self.rev.max(rev);
        self.next_lease = self.next_lease.max(lease);
        self.next_lease
    }

    /// The newest version and lease number.
    #[cfg(test)]
    pub fn at(&self) -> (u64, u64) {
        (self.rev, self.next_lease)
    }

    /// How many leases there are.
    pub fn leases(&self) -> usize {
        self.leases.len()
    }

    /// How many have lapsed since the start.
    pub fn lapsed_in_all(&self) -> u64 {
        self.lapsed_in_all
    }

    /// Whether servers stay listed though their leases have lapsed.
    pub fn is_guarded(&self) -> bool {
        self.guarded_until.is_some()
    }

    /// A server asks to be listed. `unix_ms` is the time of day.
    pub fn register(
        &mut self,
        now: u64,
        unix_ms: u64,
        call: Register,
    ) -> Result<(Leased, Option<Record>), Refusal> {
        check(&call, unix_ms)?;
        let mut target = Target {
            uid: call.uid,
            endpoint: call.endpoint,
            az: call.az,
            model: call.model,
            pod_group: call.pod_group,
            state: "up".into(),
            capacity_hint: Some(call.capacity_hint),
            boot_ms: call.boot_ms,
        };
        let full = self.leases.len() >= LEASES_MAX;
        let number = match self.leases.get_mut(&target.uid) {
            None if full => return Err(Refusal::Full),
            None => None,
            Some(held) if held.target.boot_ms > target.boot_ms => return Err(Refusal::Superseded),
            Some(held)
                if (held.target.boot_ms, &held.target.endpoint) == (target.boot_ms, &target.endpoint) =>
            {
                held.renewed = now;
                // The same process: a call that comes late must not undo its drain.
                target.state.clone_from(&held.target.state);
                if held.target == target && held.ttl_ms == call.ttl_ms {
                    return Ok((held.told(), None));
                }
                Some(held.number)
            }
            Some(_) => None,
        };
        let number = number.unwrap_or_else(|| {
            self.next_lease += 1;
            self.next_lease
        });
        self.rev = self.next_rev();
        let lease = Lease { number, ttl_ms: call.ttl_ms, renewed: now, target, rev: self.rev };
        let (told, record) = (lease.told(), record(&lease));
        self.leases.insert(lease.target.uid.clone(), lease);
        Ok((told, Some(record)))
    }

    /// The holder lives.
    pub fn renew(&mut self, now: u64, call: &OnLease) -> Result<Leased, Refusal> {
        let lease = self.held(call)?.ok_or(Refusal::UnknownLease)?;
        lease.renewed = now;
        Ok(lease.told())
    }

    /// The holder finishes what it has and wants nothing new.
    pub fn drain(&mut self, now: u64, call: &OnLease) -> Result<(Leased, Option<Record>), Refusal> {
        let next = self.next_rev();
        let lease = self.held(call)?.ok_or(Refusal::UnknownLease)?;
        lease.renewed = now;
        if !lease.target.is_up() {
            return Ok((lease.told(), None));
        }
        lease.target.state = "draining".into();
        lease.rev = next;
        let done = (lease.told(), Some(record(lease)));
        self.rev = next;
        Ok(done)
    }

    /// The holder leaves.
    pub fn deregister(&mut self, call: &OnLease) -> Result<(Leased, Option<Record>), Refusal> {
        let gone = self.held(call)?.is_some().then(|| self.remove(&call.uid)).flatten();
        Ok((Leased { lease: call.lease, rev: self.rev, ttl_ms: 0, renew_ms: 0 }, gone))
    }

    /// The lease that a call names; none where nobody of that name holds any.
    fn held(&mut self, call: &OnLease) -> Result<Option<&mut Lease>, Refusal> {
        match self.leases.get_mut(&call.uid) {
            Some(lease) if lease.number != call.lease => Err(Refusal::Superseded),
            held => Ok(held),
        }
    }

    fn remove(&mut self, uid: &str) -> Option<Record> {
        let mut lease = self.leases.remove(uid)?;
        self.rev = self.next_rev();
        (lease.rev, lease.target.state) = (self.rev, "removed".into());
        Some(record(&lease))
    }

    /// Looks at the clock, several times a second: what has lapsed, and whether that can be believed.
    pub fn look(&mut self, now: u64) -> (Vec<Record>, Option<Noted>) {
        let gap = now.saturating_sub(self.looked);
        self.looked = now;
        if gap > PAUSE_MS {
            // Renewals could not be heard meanwhile.
            self.leases.values_mut().for_each(|lease| lease.renewed = now);
            return (Vec::new(), Some(Noted::Paused(gap)));
        }
        while self.lapses.front().is_some_and(|at| now - at > TOGETHER_MS) {
            self.lapses.pop_front();
        }
        let lapsed: Vec<String> =
            self.leases.iter().filter(|(_, lease)| lease.lapsed(now)).map(|(uid, _)| uid.clone()).collect();
        let overdue = self.leases.values().filter(|lease| lease.overdue(now)).count() + self.lapses.len();
        let all = self.leases.len() + self.lapses.len();
        let most = overdue > 1 && overdue * 2 > all;
        match self.guarded_until {
            Some(until) if now >= until => {
                self.guarded_until = None;
                // These are accounted for; who lapses from now on is judged anew.
                self.lapses.clear();
                (self.lapse(&lapsed), Some(Noted::GaveUp(lapsed.len())))
            }
            Some(_) if most => (Vec::new(), None),
            Some(_) => {
                self.guarded_until = None;
                for uid in &lapsed {
                    self.leases.entry(uid.clone()).and_modify(|lease| lease.renewed = now);
                }
                (Vec::new(), Some(Noted::SeesAgain))
            }
            None if lapsed.is_empty() => (Vec::new(), None),
            None if most => {
                self.guarded_until = Some(now + self.guard_ms);
                (Vec::new(), Some(Noted::Guarded(overdue, all)))
            }
            None => {
                self.lapses.extend(lapsed.iter().map(|_| now));
                (self.lapse(&lapsed), None)
            }
        }
    }

    fn lapse(&mut self, uids: &[String]) -> Vec<Record> {
        self.lapsed_in_all += uids.len() as u64;
        uids.iter().filter_map(|uid| self.remove(uid)).collect()
    }
}

fn record(lease: &Lease) -> Record {
    Record { rev: lease.rev, lease: lease.number, ttl_ms: lease.ttl_ms, target: lease.target.clone() }
}

fn check(call: &Register, unix_ms: u64) -> Result<(), Refusal> {
    let name = |text: &str| text.bytes().all(|b| b.is_ascii_alphanumeric() || b"-._:/@+".contains(&b));
    let proper = [
        ("uid", (1..=UID_MAX).contains(&call.uid.len()) && name(&call.uid)),
        ("endpoint", call.endpoint.parse::<SocketAddr>().is_ok_and(|at| at.port() > 0)),
        ("az", call.az.len() <= WORD_MAX && name(&call.az)),
        ("model", call.model.len() <= WORD_MAX && name(&call.model)),
        ("capacity_hint", call.capacity_hint.is_finite() && (1e-3..=1e6).contains(&call.capacity_hint)),
        ("boot_ms", call.boot_ms <= unix_ms + CLOCKS_MS),
        ("ttl_ms", (TTL_MS.0..=TTL_MS.1).contains(&call.ttl_ms)),
    ];
    match proper.iter().find(|(_, proper)| !proper) {
        Some((field, _)) => Err(Refusal::Bad(field)),
        None => Ok(()),
    }
}

#[cfg(test)]
pub mod tests {
    use super::*;
    use granitelead_list::follower::LINE_MAX;

    pub const UNIX: u64 = 1_800_000_000_000;
    const TTL: u64 = 10_000;
    const GUARD: u64 = 60_000;

    pub fn call(uid: &str, boot_ms: u64) -> Register {
        let text =
            format!(r#"{{"uid":"{uid}","endpoint":"127.0.0.1:3000","boot_ms":{boot_ms},"ttl_ms":{TTL}}}"#);
        serde_json::from_str(&text).unwrap()
    }

    fn on(uid: &str, lease: u64) -> OnLease {
        OnLease { uid: uid.into(), lease }
    }

    fn registry() -> Registry {
        Registry::new((0, 0), [], GUARD, 0)
    }

    /// So many servers, all registered at 0.
    fn fleet(n: usize) -> (Registry, Vec<OnLease>) {
        let mut it = registry();
        let leases = (0..n).map(|i| {
            let uid = format!("s{i}");
            let lease = it.register(0, UNIX, call(&uid, 0)).unwrap().0.lease;
            on(&uid, lease)
        });
        let leases = leases.collect();
        (it, leases)
    }

    type Gone = Vec<(u64, String)>;

    /// Lets time pass, with these renewing at a third of their time; gives who has gone, and what was noted.
    fn pass(it: &mut Registry, from: u64, to: u64, alive: &[OnLease]) -> (Gone, Vec<(u64, Noted)>) {
        let (mut gone, mut noted) = (Vec::new(), Vec::new());
        for now in (from..to).step_by(100) {
            if now % (TTL / 3) < 100 {
                alive.iter().for_each(|lease| drop(it.renew(now, lease)));
            }
            let (records, what) = it.look(now);
            gone.extend(records.into_iter().map(|r| (now, r.target.uid)));
            noted.extend(what.map(|what| (now, what)));
        }
        (gone, noted)
    }

    #[test]
    fn registering_again_with_the_same_words_changes_nothing() {
        let mut it = registry();
        let (first, record) = it.register(0, UNIX, call("a", 5)).unwrap();
        assert_eq!(record.unwrap().rev, 1);
        assert_eq!(it.register(1, UNIX, call("a", 5)).unwrap(), (first.clone(), None));
        assert!(it.drain(2, &on("a", first.lease)).unwrap().1.is_some());
        let (late, record) = it.register(3, UNIX, call("a", 5)).unwrap();
        assert_eq!(
            (late.lease, late.rev, record),
            (first.lease, 2, None),
            "a late call does not undo a drain"
        );
        let (again, record) = it.drain(4, &on("a", first.lease)).unwrap();
        assert_eq!((again.rev, record), (2, None));
        for _ in 0..2 {
            assert_eq!(it.deregister(&on("a", first.lease)).unwrap().0.rev, 3);
        }
        assert_eq!(it.renew(5, &on("a", first.lease)), Err(Refusal::UnknownLease));
    }

    #[test]
    fn a_new_start_and_a_new_place_are_one_change_that_the_old_process_cannot_undo() {
        let mut it = registry();
        let old = it.register(0, UNIX, call("a", 5)).unwrap().0;
        let moved = Register { endpoint: "127.0.0.1:3001".into(), ..call("a", 5) };
        for (rev, call) in [(2, moved), (3, call("a", 6))] {
            let (new, record) = it.register(1, UNIX, call).unwrap();
            let record = record.unwrap();
            assert_eq!((record.rev, record.target.is_up()), (rev, true));
            assert_ne!(new.lease, old.lease);
            assert_eq!(it.renew(2, &on("a", old.lease)), Err(Refusal::Superseded));
            assert_eq!(it.drain(2, &on("a", old.lease)), Err(Refusal::Superseded));
            assert_eq!(it.deregister(&on("a", old.lease)), Err(Refusal::Superseded));
        }
        assert_eq!(it.register(3, UNIX, call("a", 5)), Err(Refusal::Superseded));
        assert_eq!((it.rev, it.leases()), (3, 1));
    }

    #[test]
    fn words_that_cannot_be_change_nothing() {
        let long = |n: usize| "x".repeat(n);
        let bad = [
            ("uid", Register { uid: "".into(), ..call("a", 0) }),
            ("uid", Register { uid: "a b".into(), ..call("a", 0) }),
            ("uid", Register { uid: "a\"".into(), ..call("a", 0) }),
            ("uid", Register { uid: long(129), ..call("a", 0) }),
            ("endpoint", Register { endpoint: "nowhere".into(), ..call("a", 0) }),
            ("endpoint", Register { endpoint: "127.0.0.1:0".into(), ..call("a", 0) }),
            ("az", Register { az: long(65), ..call("a", 0) }),
            ("model", Register { model: "\n".into(), ..call("a", 0) }),
            ("capacity_hint", Register { capacity_hint: -1.0, ..call("a", 0) }),
            ("capacity_hint", Register { capacity_hint: f64::NAN, ..call("a", 0) }),
            ("capacity_hint", Register { capacity_hint: 1e300, ..call("a", 0) }),
            ("boot_ms", call("a", UNIX + CLOCKS_MS + 1)),
            ("boot_ms", call("a", u64::MAX)),
            ("ttl_ms", Register { ttl_ms: 0, ..call("a", 0) }),
            ("ttl_ms", Register { ttl_ms: u64::MAX, ..call("a", 0) }),
        ];
        for (field, call) in bad {
            let mut it = registry();
            assert_eq!(it.register(0, UNIX, call), Err(Refusal::Bad(field)));
            assert_eq!((it.rev, it.leases()), (0, 0));
        }
    }

    #[test]
    fn leases_are_bounded() {
        let (mut it, leases) = fleet(LEASES_MAX);
        assert_eq!(it.register(0, UNIX, call("more", 0)), Err(Refusal::Full));
        assert!(it.register(0, UNIX, call("s0", 1)).is_ok(), "a restart is no further lease");
        it.deregister(&leases[1]).unwrap();
        assert!(it.register(0, UNIX, call("more", 0)).is_ok());
    }

    #[test]
    fn the_longest_list_is_a_line_that_gatekeepers_take() {
        let mut it = registry();
        let longest = Register {
            uid: "x".repeat(UID_MAX),
            endpoint: "[ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff]:65535".into(),
            az: "x".repeat(WORD_MAX),
            model: "x".repeat(WORD_MAX),
            pod_group: u64::MAX,
            capacity_hint: 0.001_234_567_890_123_456_7,
            ..call("a", UNIX)
        };
        let lease = it.register(0, UNIX, longest.clone()).unwrap().0.lease;
        let drained = it.drain(0, &on(&longest.uid, lease)).unwrap().1.unwrap();
        let entry = serde_json::to_vec(&drained.target).unwrap().len() + 1;
        assert!((entry + 1) * LEASES_MAX < LINE_MAX, "{entry}");
    }

    #[test]
    fn single_deaths_go_within_their_time() {
        for n in [1, 2, 3, 10] {
            let (mut it, leases) = fleet(n);
            let (gone, noted) = pass(&mut it, 0, 3 * TTL, &leases[1..]);
            assert_eq!(gone, [(TTL, "s0".into())], "of {n}");
            assert_eq!(noted, []);
        }
    }

    #[test]
    fn deaths_one_after_the_other_go_until_they_are_most() {
        let (mut it, leases) = fleet(10);
        // One falls silent every 4 s.
        let mut gone = Vec::new();
        for dead in 0..10 {
            gone.extend(pass(&mut it, dead as u64 * 4_000, (dead as u64 + 1) * 4_000, &leases[dead..]).0);
        }
        assert!((3..=6).contains(&gone.len()), "{gone:?}");
        assert!(it.is_guarded());
    }

    #[test]
    fn most_that_lapse_together_stay_listed_and_live_on_when_heard_again() {
        let (mut it, leases) = fleet(10);
        // Only three are heard for 40 s.
        let (gone, noted) = pass(&mut it, 0, 40_000, &leases[..3]);
        assert_eq!(gone, []);
        assert_eq!(noted, [(TTL, Noted::Guarded(7, 10))]);
        assert!(it.is_guarded());
        // Six of ten again: the other four have their time once more, then go.
        let (gone, noted) = pass(&mut it, 40_000, 70_000, &leases[..6]);
        assert_eq!(noted.iter().map(|(_, what)| *what).collect::<Vec<_>>(), [Noted::SeesAgain]);
        let seen = noted[0].0;
        assert_eq!(gone.len(), 4);
        assert!(gone.iter().all(|(at, _)| *at >= seen + TTL), "{gone:?}");
        assert_eq!(it.leases(), 6);
    }

    #[test]
    fn the_guard_ends_at_its_time() {
        let (mut it, leases) = fleet(10);
        let (gone, noted) = pass(&mut it, 0, TTL + GUARD + TTL, &leases[..2]);
        assert_eq!(noted, [(TTL, Noted::Guarded(8, 10)), (TTL + GUARD, Noted::GaveUp(8))]);
        assert_eq!(gone.len(), 8);
        // Who dies after that is judged by those that are left.
        let (gone, _) = pass(&mut it, TTL + GUARD + TTL, 2 * GUARD, &leases[..1]);
        assert_eq!(gone.len(), 1);
    }

    #[test]
    fn a_pause_of_our_own_and_a_restart_end_no_lease() {
        let (mut it, leases) = fleet(10);
        pass(&mut it, 0, 5_000, &leases);
        let (gone, noted) = it.look(100_000);
        assert_eq!((gone.len(), noted), (0, Some(Noted::Paused(95_100))));
        let (gone, _) = pass(&mut it, 100_100, 100_000 + TTL, &[]);
        assert_eq!(gone, []);
        let kept: Vec<Record> = it.leases.values().map(record).collect();
        let mut it = Registry::new((it.rev, it.next_lease), kept, GUARD, 500_000);
        assert_eq!(pass(&mut it, 500_000, 500_000 + TTL, &[]).0, []);
        assert!(it.renew(500_000, &leases[0]).is_ok(), "a lease outlives a restart");
    }
}
