//! The leases of the registered servers and their expiry. Performs no I/O; the caller passes the time in, in
//! ms of a monotonic clock.

use granitelead_list::messages::{LeaseRequest, LeaseResponse, RegisterRequest, Target};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use thiserror::Error;

/// Maximum number of leases: a full list of entries of maximum length stays below the line length that
/// gatekeepers accept.
pub const LEASES_MAX: usize = 8_000;
/// Minimum and maximum time to live of a lease, in ms.
pub const TTL_MS: (u64, u64) = (1_000, 30_000);
/// Maximum length of a server's name, in bytes.
const UID_MAX: usize = 128;
/// Maximum length of the name of a zone or model, in bytes.
const LABEL_MAX: usize = 64;
/// Maximum time by which the clock of another machine may be ahead of ours, in ms.
const CLOCK_SKEW_MAX_MS: u64 = 60_000;
/// Interval between two expiry checks, in ms, above which this process is assumed to have been paused.
const PAUSE_THRESHOLD_MS: u64 = 1_000;
/// Time for which expired leases count as overdue when it is decided whether most servers are silent, in ms.
const EXPIRY_WINDOW_MS: u64 = 30_000;
/// Number of renewals that holders attempt within the time to live of a lease.
const RENEWALS_PER_TTL: u64 = 3;

/// A change of the list, as it is published and saved.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Record {
    /// Version of the list with this change.
    pub rev: u64,
    /// Id of the lease.
    pub lease: u64,
    /// Time to live of the lease, in ms.
    pub ttl_ms: u64,
    /// The server as listed after this change.
    pub target: Target,
}

/// Why a request is refused; a refused request changes nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RegistryError {
    /// A field has an invalid value.
    #[error("invalid value of field `{0}`")]
    InvalidField(&'static str),
    /// The lease doesn't exist; the server has to register.
    #[error("unknown lease, register again")]
    UnknownLease,
    /// The name is registered by a later process, or by one at another address; the server must not register
    /// again.
    #[error("another process of this server is registered")]
    Superseded,
    /// The maximum number of leases is reached.
    #[error("too many leases")]
    TooManyLeases,
}

/// An event for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// This process was paused for this time, in ms.
    Paused(u64),
    /// Most leases are overdue, so none expires for now: number of overdue leases, and of all.
    Guarded(usize, usize),
    /// Most servers renew their leases again.
    GuardLifted,
    /// The guard period is over; this number of leases has expired.
    GuardExpired(usize),
}

struct Lease {
    number: u64,
    ttl_ms: u64,
    /// Time of the last renewal.
    renewed: u64,
    target: Target,
    /// Version in which the entry last changed.
    rev: u64,
}

impl Lease {
    fn is_expired(&self, now: u64) -> bool {
        now >= self.renewed + self.ttl_ms
    }

    fn is_overdue(&self, now: u64) -> bool {
        now > self.renewed + self.ttl_ms / 2
    }

    fn grant(&self) -> LeaseResponse {
        let (ttl_ms, renew_ms) = (self.ttl_ms, self.ttl_ms / RENEWALS_PER_TTL);
        LeaseResponse { lease: self.number, rev: self.rev, ttl_ms, renew_ms }
    }
}

/// All leases.
pub struct Registry {
    rev: u64,
    /// Minimum version of the next change.
    min_next_rev: u64,
    /// Id of the last lease granted.
    last_lease: u64,
    leases: BTreeMap<String, Lease>,
    /// Expiry times of the leases that have expired within `EXPIRY_WINDOW_MS`.
    recent_expiries: VecDeque<u64>,
    /// Number of leases that have expired since the start.
    expired_count: u64,
    guard_ms: u64,
    /// End of the guard period, if one is active.
    guarded_until: Option<u64>,
    /// Time of the last expiry check.
    last_check: u64,
}

impl Registry {
    /// Restores the saved state: the last version, the id of the last lease, and the leases, each with its
    /// full time to live. Expiry is suspended for at most `guard_ms` while most leases are overdue.
    pub fn new(
        (rev, last_lease): (u64, u64),
        saved: impl IntoIterator<Item = Record>,
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
            min_next_rev: 0,
            last_lease,
            leases: saved.into_iter().map(lease).collect(),
            recent_expiries: VecDeque::new(),
            expired_count: 0,
            guard_ms,
            guarded_until: None,
            last_check: now,
        }
    }

    /// Sets the minimum version of the next change.
    pub fn set_min_next_rev(&mut self, min_next_rev: u64) {
        self.min_next_rev = min_next_rev;
    }

    fn next_rev(&self) -> u64 {
        self.min_next_rev.max(self.rev + 1)
    }

    /// Raises the last version and the id of the last lease to at least these values; returns the latter.
    pub fn advance_counters(&mut self, rev: u64, lease: u64) -> u64 {
        self.rev = self.rev.max(rev);
        self.last_lease = self.last_lease.max(lease);
        self.last_lease
    }

    /// The last version and the id of the last lease.
    #[cfg(test)]
    pub fn counters(&self) -> (u64, u64) {
        (self.rev, self.last_lease)
    }

    /// Number of leases.
    pub fn leases(&self) -> usize {
        self.leases.len()
    }

    /// Number of leases that have expired since the start.
    pub fn expired_count(&self) -> u64 {
        self.expired_count
    }

    /// Whether expiry is suspended because most leases are overdue.
    pub fn is_guarded(&self) -> bool {
        self.guarded_until.is_some()
    }

    /// Registers a server and returns its lease, and the change if there is one. `unix_ms` is the wall-clock
    /// time.
    pub fn register(
        &mut self,
        now: u64,
        unix_ms: u64,
        call: RegisterRequest,
    ) -> Result<(LeaseResponse, Option<Record>), RegistryError> {
        validate(&call, unix_ms)?;
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
        let is_full = self.leases.len() >= LEASES_MAX;
        let number = match self.leases.get_mut(&target.uid) {
            None if is_full => return Err(RegistryError::TooManyLeases),
            None => None,
            Some(held) if held.target.boot_ms > target.boot_ms => return Err(RegistryError::Superseded),
            Some(held)
                if (held.target.boot_ms, &held.target.endpoint) == (target.boot_ms, &target.endpoint) =>
            {
                held.renewed = now;
                // The same process: a delayed request must not undo its drain.
                target.state.clone_from(&held.target.state);
                if held.target == target && held.ttl_ms == call.ttl_ms {
                    return Ok((held.grant(), None));
                }
                Some(held.number)
            }
            Some(_) => None,
        };
        let number = number.unwrap_or_else(|| {
            self.last_lease += 1;
            self.last_lease
        });
        self.rev = self.next_rev();
        let lease = Lease { number, ttl_ms: call.ttl_ms, renewed: now, target, rev: self.rev };
        let (grant, record) = (lease.grant(), record(&lease));
        self.leases.insert(lease.target.uid.clone(), lease);
        Ok((grant, Some(record)))
    }

    /// Renews a lease.
    pub fn renew(&mut self, now: u64, call: &LeaseRequest) -> Result<LeaseResponse, RegistryError> {
        let lease = self.find(call)?.ok_or(RegistryError::UnknownLease)?;
        lease.renewed = now;
        Ok(lease.grant())
    }

    /// Marks a server as draining: it finishes its requests and accepts no new ones.
    pub fn drain(
        &mut self,
        now: u64,
        call: &LeaseRequest,
    ) -> Result<(LeaseResponse, Option<Record>), RegistryError> {
        let next_rev = self.next_rev();
        let lease = self.find(call)?.ok_or(RegistryError::UnknownLease)?;
        lease.renewed = now;
        if !lease.target.is_up() {
            return Ok((lease.grant(), None));
        }
        lease.target.state = "draining".into();
        lease.rev = next_rev;
        let result = (lease.grant(), Some(record(lease)));
        self.rev = next_rev;
        Ok(result)
    }

    /// Removes a server. The request succeeds as well if the server is not registered.
    pub fn deregister(
        &mut self,
        call: &LeaseRequest,
    ) -> Result<(LeaseResponse, Option<Record>), RegistryError> {
        let removed = self.find(call)?.is_some().then(|| self.remove(&call.uid)).flatten();
        Ok((LeaseResponse { lease: call.lease, rev: self.rev, ttl_ms: 0, renew_ms: 0 }, removed))
    }

    /// The lease that a request names; none if the server holds no lease.
    fn find(&mut self, call: &LeaseRequest) -> Result<Option<&mut Lease>, RegistryError> {
        match self.leases.get_mut(&call.uid) {
            Some(lease) if lease.number != call.lease => Err(RegistryError::Superseded),
            held => Ok(held),
        }
    }

    fn remove(&mut self, uid: &str) -> Option<Record> {
        let mut lease = self.leases.remove(uid)?;
        self.rev = self.next_rev();
        (lease.rev, lease.target.state) = (self.rev, "removed".into());
        Some(record(&lease))
    }

    /// Removes expired leases. If most leases are overdue, that is not taken as a failure of the servers, and
    /// expiry is suspended for the guard period. To be called several times a second.
    pub fn check_expiry(&mut self, now: u64) -> (Vec<Record>, Option<Event>) {
        let gap = now.saturating_sub(self.last_check);
        self.last_check = now;
        if gap > PAUSE_THRESHOLD_MS {
            // Renewals could not be received during the pause.
            self.leases.values_mut().for_each(|lease| lease.renewed = now);
            return (Vec::new(), Some(Event::Paused(gap)));
        }
        while self.recent_expiries.front().is_some_and(|at| now - at > EXPIRY_WINDOW_MS) {
            self.recent_expiries.pop_front();
        }
        let expired: Vec<String> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.is_expired(now))
            .map(|(uid, _)| uid.clone())
            .collect();
        let overdue =
            self.leases.values().filter(|lease| lease.is_overdue(now)).count() + self.recent_expiries.len();
        let all = self.leases.len() + self.recent_expiries.len();
        let are_most_overdue = overdue > 1 && overdue * 2 > all;
        match self.guarded_until {
            Some(until) if now >= until => {
                self.guarded_until = None;
                // These leases no longer count when later expiries are assessed.
                self.recent_expiries.clear();
                (self.expire(&expired), Some(Event::GuardExpired(expired.len())))
            }
            Some(_) if are_most_overdue => (Vec::new(), None),
            Some(_) => {
                self.guarded_until = None;
                for uid in &expired {
                    self.leases.entry(uid.clone()).and_modify(|lease| lease.renewed = now);
                }
                (Vec::new(), Some(Event::GuardLifted))
            }
            None if expired.is_empty() => (Vec::new(), None),
            None if are_most_overdue => {
                self.guarded_until = Some(now + self.guard_ms);
                (Vec::new(), Some(Event::Guarded(overdue, all)))
            }
            None => {
                self.recent_expiries.extend(expired.iter().map(|_| now));
                (self.expire(&expired), None)
            }
        }
    }

    fn expire(&mut self, uids: &[String]) -> Vec<Record> {
        self.expired_count += uids.len() as u64;
        uids.iter().filter_map(|uid| self.remove(uid)).collect()
    }
}

fn record(lease: &Lease) -> Record {
    Record { rev: lease.rev, lease: lease.number, ttl_ms: lease.ttl_ms, target: lease.target.clone() }
}

fn validate(call: &RegisterRequest, unix_ms: u64) -> Result<(), RegistryError> {
    let is_name = |text: &str| text.bytes().all(|b| b.is_ascii_alphanumeric() || b"-._:/@+".contains(&b));
    let checks = [
        ("uid", (1..=UID_MAX).contains(&call.uid.len()) && is_name(&call.uid)),
        ("endpoint", call.endpoint.parse::<SocketAddr>().is_ok_and(|at| at.port() > 0)),
        ("az", call.az.len() <= LABEL_MAX && is_name(&call.az)),
        ("model", call.model.len() <= LABEL_MAX && is_name(&call.model)),
        ("capacity_hint", call.capacity_hint.is_finite() && (1e-3..=1e6).contains(&call.capacity_hint)),
        ("boot_ms", call.boot_ms <= unix_ms + CLOCK_SKEW_MAX_MS),
        ("ttl_ms", (TTL_MS.0..=TTL_MS.1).contains(&call.ttl_ms)),
    ];
    match checks.iter().find(|(_, is_valid)| !is_valid) {
        Some((field, _)) => Err(RegistryError::InvalidField(field)),
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

    pub fn call(uid: &str, boot_ms: u64) -> RegisterRequest {
        let text =
            format!(r#"{{"uid":"{uid}","endpoint":"127.0.0.1:3000","boot_ms":{boot_ms},"ttl_ms":{TTL}}}"#);
        serde_json::from_str(&text).unwrap()
    }

    fn on(uid: &str, lease: u64) -> LeaseRequest {
        LeaseRequest { uid: uid.into(), lease }
    }

    fn new_registry() -> Registry {
        Registry::new((0, 0), [], GUARD, 0)
    }

    /// A registry with `n` servers, all registered at time 0.
    fn fleet(n: usize) -> (Registry, Vec<LeaseRequest>) {
        let mut registry = new_registry();
        let leases = (0..n).map(|i| {
            let uid = format!("s{i}");
            let lease = registry.register(0, UNIX, call(&uid, 0)).unwrap().0.lease;
            on(&uid, lease)
        });
        let leases = leases.collect();
        (registry, leases)
    }

    type Expired = Vec<(u64, String)>;

    /// Lets time pass while the servers in `alive` renew their leases after each third of the time to live.
    /// Returns the expired servers and the events, each with its time.
    fn run(
        registry: &mut Registry,
        from: u64,
        to: u64,
        alive: &[LeaseRequest],
    ) -> (Expired, Vec<(u64, Event)>) {
        let (mut expired, mut events) = (Vec::new(), Vec::new());
        for now in (from..to).step_by(100) {
            if now % (TTL / 3) < 100 {
                alive.iter().for_each(|lease| drop(registry.renew(now, lease)));
            }
            let (records, event) = registry.check_expiry(now);
            expired.extend(records.into_iter().map(|r| (now, r.target.uid)));
            events.extend(event.map(|event| (now, event)));
        }
        (expired, events)
    }

    #[test]
    fn a_repeated_registration_with_the_same_values_changes_nothing() {
        let mut registry = new_registry();
        let (first, record) = registry.register(0, UNIX, call("a", 5)).unwrap();
        assert_eq!(record.unwrap().rev, 1);
        assert_eq!(registry.register(1, UNIX, call("a", 5)).unwrap(), (first.clone(), None));
        assert!(registry.drain(2, &on("a", first.lease)).unwrap().1.is_some());
        let (late, record) = registry.register(3, UNIX, call("a", 5)).unwrap();
        assert_eq!(
            (late.lease, late.rev, record),
            (first.lease, 2, None),
            "a delayed request does not undo a drain"
        );
        let (again, record) = registry.drain(4, &on("a", first.lease)).unwrap();
        assert_eq!((again.rev, record), (2, None));
        for _ in 0..2 {
            assert_eq!(registry.deregister(&on("a", first.lease)).unwrap().0.rev, 3);
        }
        assert_eq!(registry.renew(5, &on("a", first.lease)), Err(RegistryError::UnknownLease));
    }

    #[test]
    fn a_restart_or_a_new_address_is_one_change_that_the_former_process_cannot_undo() {
        let mut registry = new_registry();
        let old = registry.register(0, UNIX, call("a", 5)).unwrap().0;
        let moved = RegisterRequest { endpoint: "127.0.0.1:3001".into(), ..call("a", 5) };
        for (rev, call) in [(2, moved), (3, call("a", 6))] {
            let (new, record) = registry.register(1, UNIX, call).unwrap();
            let record = record.unwrap();
            assert_eq!((record.rev, record.target.is_up()), (rev, true));
            assert_ne!(new.lease, old.lease);
            assert_eq!(registry.renew(2, &on("a", old.lease)), Err(RegistryError::Superseded));
            assert_eq!(registry.drain(2, &on("a", old.lease)), Err(RegistryError::Superseded));
            assert_eq!(registry.deregister(&on("a", old.lease)), Err(RegistryError::Superseded));
        }
        assert_eq!(registry.register(3, UNIX, call("a", 5)), Err(RegistryError::Superseded));
        assert_eq!((registry.rev, registry.leases()), (3, 1));
    }

    #[test]
    fn invalid_fields_are_refused_and_change_nothing() {
        let long = |n: usize| "x".repeat(n);
        let bad = [
            ("uid", RegisterRequest { uid: "".into(), ..call("a", 0) }),
            ("uid", RegisterRequest { uid: "a b".into(), ..call("a", 0) }),
            ("uid", RegisterRequest { uid: "a\"".into(), ..call("a", 0) }),
            ("uid", RegisterRequest { uid: long(129), ..call("a", 0) }),
            ("endpoint", RegisterRequest { endpoint: "nowhere".into(), ..call("a", 0) }),
            ("endpoint", RegisterRequest { endpoint: "127.0.0.1:0".into(), ..call("a", 0) }),
            ("az", RegisterRequest { az: long(65), ..call("a", 0) }),
            ("model", RegisterRequest { model: "\n".into(), ..call("a", 0) }),
            ("capacity_hint", RegisterRequest { capacity_hint: -1.0, ..call("a", 0) }),
            ("capacity_hint", RegisterRequest { capacity_hint: f64::NAN, ..call("a", 0) }),
            ("capacity_hint", RegisterRequest { capacity_hint: 1e300, ..call("a", 0) }),
            ("boot_ms", call("a", UNIX + CLOCK_SKEW_MAX_MS + 1)),
            ("boot_ms", call("a", u64::MAX)),
            ("ttl_ms", RegisterRequest { ttl_ms: 0, ..call("a", 0) }),
            ("ttl_ms", RegisterRequest { ttl_ms: u64::MAX, ..call("a", 0) }),
        ];
        for (field, call) in bad {
            let mut registry = new_registry();
            assert_eq!(registry.register(0, UNIX, call), Err(RegistryError::InvalidField(field)));
            assert_eq!((registry.rev, registry.leases()), (0, 0));
        }
    }

    #[test]
    fn the_number_of_leases_is_bounded() {
        let (mut registry, leases) = fleet(LEASES_MAX);
        assert_eq!(registry.register(0, UNIX, call("more", 0)), Err(RegistryError::TooManyLeases));
        assert!(registry.register(0, UNIX, call("s0", 1)).is_ok(), "a restart takes no additional lease");
        registry.deregister(&leases[1]).unwrap();
        assert!(registry.register(0, UNIX, call("more", 0)).is_ok());
    }

    #[test]
    fn the_largest_full_list_fits_in_the_line_length_that_gatekeepers_accept() {
        let mut registry = new_registry();
        let longest = RegisterRequest {
            uid: "x".repeat(UID_MAX),
            endpoint: "[ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff]:65535".into(),
            az: "x".repeat(LABEL_MAX),
            model: "x".repeat(LABEL_MAX),
            pod_group: u64::MAX,
            capacity_hint: 0.001_234_567_890_123_456_7,
            ..call("a", UNIX)
        };
        let lease = registry.register(0, UNIX, longest.clone()).unwrap().0.lease;
        let drained = registry.drain(0, &on(&longest.uid, lease)).unwrap().1.unwrap();
        let entry = serde_json::to_vec(&drained.target).unwrap().len() + 1;
        assert!((entry + 1) * LEASES_MAX < LINE_MAX, "{entry}");
    }

    #[test]
    fn a_single_silent_server_expires_after_its_time_to_live() {
        for n in [1, 2, 3, 10] {
            let (mut registry, leases) = fleet(n);
            let (expired, events) = run(&mut registry, 0, 3 * TTL, &leases[1..]);
            assert_eq!(expired, [(TTL, "s0".into())], "of {n}");
            assert_eq!(events, []);
        }
    }

    #[test]
    fn servers_that_fail_one_after_another_expire_until_most_have_failed() {
        let (mut registry, leases) = fleet(10);
        // A further server stops renewing every 4 s.
        let mut expired = Vec::new();
        for dead in 0..10 {
            expired.extend(
                run(&mut registry, dead as u64 * 4_000, (dead as u64 + 1) * 4_000, &leases[dead..]).0,
            );
        }
        assert!((3..=6).contains(&expired.len()), "{expired:?}");
        assert!(registry.is_guarded());
    }

    #[test]
    fn most_servers_falling_silent_together_stay_listed_and_keep_their_leases_on_renewal() {
        let (mut registry, leases) = fleet(10);
        // Only three servers renew for 40 s.
        let (expired, events) = run(&mut registry, 0, 40_000, &leases[..3]);
        assert_eq!(expired, []);
        assert_eq!(events, [(TTL, Event::Guarded(7, 10))]);
        assert!(registry.is_guarded());
        // Six of ten servers renew again: the other four get their full time to live once more, then expire.
        let (expired, events) = run(&mut registry, 40_000, 70_000, &leases[..6]);
        assert_eq!(events.iter().map(|(_, event)| *event).collect::<Vec<_>>(), [Event::GuardLifted]);
        let lifted = events[0].0;
        assert_eq!(expired.len(), 4);
        assert!(expired.iter().all(|(at, _)| *at >= lifted + TTL), "{expired:?}");
        assert_eq!(registry.leases(), 6);
    }

    #[test]
    fn the_guard_period_is_bounded() {
        let (mut registry, leases) = fleet(10);
        let (expired, events) = run(&mut registry, 0, TTL + GUARD + TTL, &leases[..2]);
        assert_eq!(events, [(TTL, Event::Guarded(8, 10)), (TTL + GUARD, Event::GuardExpired(8))]);
        assert_eq!(expired.len(), 8);
        // Later expiries are compared with the servers that are left.
        let (expired, _) = run(&mut registry, TTL + GUARD + TTL, 2 * GUARD, &leases[..1]);
        assert_eq!(expired.len(), 1);
    }

    #[test]
    fn neither_a_pause_nor_a_restart_of_the_service_ends_a_lease() {
        let (mut registry, leases) = fleet(10);
        run(&mut registry, 0, 5_000, &leases);
        let (expired, event) = registry.check_expiry(100_000);
        assert_eq!((expired.len(), event), (0, Some(Event::Paused(95_100))));
        let (expired, _) = run(&mut registry, 100_100, 100_000 + TTL, &[]);
        assert_eq!(expired, []);
        let saved: Vec<Record> = registry.leases.values().map(record).collect();
        let mut registry = Registry::new((registry.rev, registry.last_lease), saved, GUARD, 500_000);
        assert_eq!(run(&mut registry, 500_000, 500_000 + TTL, &[]).0, []);
        assert!(registry.renew(500_000, &leases[0]).is_ok(), "a lease survives a restart");
    }
}
