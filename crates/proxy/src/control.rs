//! Sessions with markers: applies and acknowledges what they send, and reports admitted requests to one of
//! them.
//!
//! A gatekeeper has sessions with several markers, so that no update is lost when one of them fails. One of
//! them, preferably in the gatekeeper's own zone, is its attached marker: it counts the requests admitted here and
//! returns the totals of all gatekeepers. A gatekeeper that doesn't reach any marker continues with its last
//! known state.
//!
//! A marker without a quorum (it can't reach most of the core) doesn't become the attached marker. The initial
//! configuration and the ready servers that it sends are deferred until it has a quorum, or until no marker
//! has had one for [`QUORUM_TIMEOUT`]. Later configurations are ordered by version, and the end of a server
//! is final, so these are accepted from any marker.

use crate::Millis;
use granitelead_common::recent_use::WindowUsage;
use granitelead_control_protocol::messages::{
    Difference, Document, Instance, InstanceState, Revision, ToGatekeeper, ToMarker, Update,
};
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

/// Number of sessions with markers that have a quorum.
pub const SESSIONS: usize = 3;
/// Maximum number of further sessions with markers that have none.
const WITHOUT_QUORUM_MAX: usize = 3;
/// How long a new session counts as one with a quorum, before its marker has reported one.
const NEW_SESSION_GRACE: Millis = 1_000;
/// If no marker has had a quorum for this long, since the start or since the last one lost it, a marker
/// without a quorum is accepted.
const QUORUM_TIMEOUT: Millis = 3_000;
/// An attached marker that sends nothing for this long may be cut off: it normally answers four times within it.
const SILENCE_MAX: Millis = 600;
/// Reports that aren't acknowledged are merged when there are more than this.
const UNACKNOWLEDGED_MAX: usize = 64;

/// A change to apply, from a marker's message.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A configuration to put in force.
    Configuration(Document),
    /// The same as a difference from the configuration in force.
    Difference(Difference),
    /// Updates of servers.
    Servers(Vec<Instance>),
    /// The initial transfer of state is complete.
    InitialSyncComplete,
    /// The number of gatekeepers, and how many of them are missing.
    Gatekeepers(u32, u32),
    /// Recent usage of all gatekeepers that the attached marker reaches.
    RecentUse(WindowUsage),
    /// Requests that all other gatekeepers have admitted since the previous update, by tenant.
    OthersUse(Vec<(String, u64)>),
}

#[derive(Default)]
struct Session {
    zone: Option<String>,
    /// Whether the marker reports that it has a quorum.
    has_quorum: bool,
    /// Whether anything was received from it since the attached marker reported the loss of its quorum: the same
    /// fault may have cut off this marker too.
    received_since_loss: bool,
    /// The initial configuration, deferred while the marker has no quorum.
    initial: Option<Document>,
    /// Ready servers reported by the marker, deferred likewise; bounded by the number of servers that a
    /// marker accepts.
    deferred_ready: BTreeMap<String, Instance>,
    opened_at: Millis,
    /// Whether it was told that it is no longer the attached marker because it was silent.
    detached: bool,
    /// Whether it has sent the recent usage since it became the attached marker. Totals before that belong to a
    /// previous attached marker.
    sent_recent: bool,
    /// The others' admitted requests by the latest totals, once received.
    others: Option<BTreeMap<String, u64>>,
    last_received: Millis,
    /// The number of gatekeepers according to this marker, and how many of them are missing.
    gatekeepers: Option<(u32, u32)>,
}

/// All sessions of a gatekeeper with markers.
pub struct Control {
    incarnation: u64,
    name: String,
    zone: String,
    seeds: Vec<Ipv4Addr>,
    known_markers: BTreeSet<Ipv4Addr>,
    sessions: BTreeMap<Ipv4Addr, Session>,
    attached: Option<Ipv4Addr>,
    /// When a marker last had a quorum, initially the first time seen.
    quorum_at: Option<Millis>,
    now: Millis,
    /// Whether an initial configuration, and the complete initial state, were accepted.
    has_initial: bool,
    is_complete: bool,
    number: u64,
    unacknowledged: Vec<(u64, BTreeMap<String, u64>)>,
    admitted: BTreeMap<String, u64>,
    rng: fastrand::Rng,
}

impl Control {
    /// Creates the state of a process that starts; `seed` determines its incarnation.
    pub fn new(name: &str, zone: &str, seeds: Vec<Ipv4Addr>, seed: u64) -> Control {
        let mut rng = fastrand::Rng::with_seed(seed);
        Control {
            incarnation: rng.u64(1..),
            name: name.to_owned(),
            zone: zone.to_owned(),
            seeds,
            known_markers: BTreeSet::new(),
            sessions: BTreeMap::new(),
            attached: None,
            quorum_at: None,
            now: 0,
            has_initial: false,
            is_complete: false,
            number: 0,
            unacknowledged: Vec::new(),
            admitted: BTreeMap::new(),
            rng,
        }
    }

    /// Replaces the seed addresses after a change of the settings.
    pub fn reseed(&mut self, seeds: Vec<Ipv4Addr>) {
        self.seeds = seeds;
    }

    /// Whether the attached marker is reachable, and so the usage of the others is known.
    pub fn in_sync(&self, now: Millis) -> bool {
        let attached = self.attached.and_then(|ip| self.sessions.get(&ip));
        attached.is_some_and(|s| s.others.is_some() && now < s.last_received + SILENCE_MAX)
    }

    /// The number of gatekeepers according to the attached marker, and how many of them are missing, if
    /// reported.
    pub fn gatekeepers(&self) -> Option<(u32, u32)> {
        self.attached.and_then(|ip| self.sessions.get(&ip)?.gatekeepers)
    }

    /// The marker that counts the requests admitted here.
    pub fn attached_marker(&self) -> Option<Ipv4Addr> {
        self.attached
    }

    /// The marker to connect to next, if another session is needed; `busy` are being connected to.
    pub fn next_marker(&mut self, busy: &BTreeSet<Ipv4Addr>) -> Option<Ipv4Addr> {
        // A new session gets some time: after a restart of all markers none has a quorum yet.
        let counts = |s: &&Session| s.has_quorum || self.now < s.opened_at + NEW_SESSION_GRACE;
        let with_quorum = self.sessions.values().filter(counts).count();
        let all = self.sessions.len() + busy.len();
        if with_quorum + busy.len() >= SESSIONS || all >= SESSIONS + WITHOUT_QUORUM_MAX {
            return None;
        }
        let free = |ip: &&Ipv4Addr| !self.sessions.contains_key(*ip) && !busy.contains(*ip);
        let candidates: Vec<Ipv4Addr> =
            self.known_markers.iter().chain(&self.seeds).filter(free).copied().collect();
        self.rng.choice(candidates)
    }

    /// A session to close, if markers have regained their quorum and there are more sessions than needed: the
    /// newest one that isn't with the attached marker.
    pub fn surplus(&self) -> Option<Ipv4Addr> {
        let with_quorum = || self.sessions.iter().filter(|(_, s)| s.has_quorum);
        let newest = with_quorum()
            .filter(|(ip, _)| self.attached != Some(**ip))
            .max_by_key(|(ip, s)| (s.opened_at, **ip));
        newest.filter(|_| with_quorum().count() > SESSIONS).map(|(ip, _)| *ip)
    }

    /// Registers a new session. Returns the first message to send.
    pub fn open(
        &mut self,
        now: Millis,
        ip: Ipv4Addr,
        has: Option<Revision>,
        servers: Vec<Instance>,
    ) -> ToMarker {
        self.advance(now);
        self.sessions.insert(ip, Session { opened_at: now, last_received: now, ..Session::default() });
        ToMarker::Hello { incarnation: self.incarnation, name: self.name.clone(), in_force: has, servers }
    }

    /// Removes a session. Returns the messages to send.
    pub fn close(&mut self, ip: Ipv4Addr) -> Vec<(Ipv4Addr, ToMarker)> {
        self.sessions.remove(&ip);
        if self.attached == Some(ip) {
            self.attached = None;
        }
        self.select_attached()
    }

    /// Runs the periodic work. Returns messages about a change of the attached marker.
    pub fn on_tick(&mut self, now: Millis) -> Vec<(Ipv4Addr, ToMarker)> {
        self.advance(now);
        let mut messages = self.detach_if_silent();
        messages.extend(self.select_attached());
        messages
    }

    /// A silent attached marker may still receive messages: it is told that further requests won't be reported to
    /// it.
    fn detach_if_silent(&mut self) -> Vec<(Ipv4Addr, ToMarker)> {
        let now = self.now;
        let attached = self.attached.and_then(|ip| Some((ip, self.sessions.get_mut(&ip)?)));
        let silent = attached
            .filter(|(_, s)| !s.detached && s.others.is_some() && now >= s.last_received + SILENCE_MAX);
        let Some((ip, session)) = silent else { return Vec::new() };
        (session.detached, session.sent_recent, session.others) = (true, false, None);
        vec![(ip, ToMarker::Attach(false))]
    }

    /// Reinstates an attached marker that was silent and sends again.
    fn reattach(&mut self, ip: Ipv4Addr) -> Vec<(Ipv4Addr, ToMarker)> {
        let session = self.sessions.get_mut(&ip).filter(|_| self.attached == Some(ip));
        match session.map(|s| std::mem::take(&mut s.detached)) {
            Some(true) => vec![(ip, ToMarker::Attach(true))],
            _ => Vec::new(),
        }
    }

    fn advance(&mut self, now: Millis) {
        self.now = self.now.max(now);
        let has_quorum =
            self.sessions.values().any(|s| s.has_quorum && self.now < s.last_received + SILENCE_MAX);
        if has_quorum || self.quorum_at.is_none() {
            self.quorum_at = Some(self.now);
        }
    }

    /// Whether no marker has had a quorum for so long that one without is accepted.
    fn is_without_quorum(&self) -> bool {
        self.quorum_at.is_some_and(|at| self.now >= at + QUORUM_TIMEOUT)
    }

    /// The next deferred change that is due: the newest initial configuration, then servers, then the
    /// completion of the initial transfer.
    pub fn next_deferred(&mut self) -> Option<(Ipv4Addr, Change)> {
        let accepts_any = self.is_without_quorum();
        let is_eligible = |s: &Session| s.has_quorum || accepts_any;
        let first = self.sessions.iter().filter(|(_, s)| is_eligible(s) && !self.has_initial);
        let version = |s: &Session| s.initial.as_ref().map(|d| d.version);
        let first =
            first.filter(|(_, s)| s.initial.is_some()).max_by_key(|(_, s)| version(s)).map(|(ip, _)| *ip);
        if let Some(ip) = first {
            let document = self.sessions.get_mut(&ip).and_then(|s| s.initial.take())?;
            self.has_initial = true;
            self.sessions.values_mut().for_each(|s| s.initial = None);
            return Some((ip, Change::Configuration(document)));
        }
        if let Some((ip, session)) =
            self.sessions.iter_mut().find(|(_, s)| is_eligible(s) && !s.deferred_ready.is_empty())
        {
            let servers = std::mem::take(&mut session.deferred_ready).into_values().collect();
            return Some((*ip, Change::Servers(servers)));
        }
        let complete =
            self.sessions.iter().find(|(_, s)| is_eligible(s) && s.zone.is_some() && !self.is_complete);
        let ip = complete.map(|(ip, _)| *ip)?;
        self.is_complete = true;
        Some((ip, Change::InitialSyncComplete))
    }

    /// Selects the attached marker: a marker of this zone that has completed its initial transfer, else the one
    /// with the oldest session. A marker without a quorum keeps the role only while no other has a quorum,
    /// and gets it only if none has had one for [`QUORUM_TIMEOUT`].
    fn select_attached(&mut self) -> Vec<(Ipv4Addr, ToMarker)> {
        let is_local = |s: &Session| s.zone.as_ref() == Some(&self.zone);
        let is_eligible = |s: &Session| s.has_quorum && s.received_since_loss;
        let may = |ip: &Ipv4Addr, s: &Session| {
            is_eligible(s) || self.attached == Some(*ip) || self.is_without_quorum()
        };
        let complete = self.sessions.iter().filter(|(ip, s)| s.zone.is_some() && may(ip, s));
        let best = complete
            .min_by_key(|(ip, s)| {
                (!is_eligible(s), !is_local(s), self.attached != Some(**ip), s.opened_at, **ip)
            })
            .map(|(ip, _)| *ip);
        if best == self.attached {
            return Vec::new();
        }
        let mut messages: Vec<(Ipv4Addr, ToMarker)> =
            self.attached.into_iter().map(|ip| (ip, ToMarker::Attach(false))).collect();
        self.attached = best;
        if let Some(session) = best.and_then(|ip| self.sessions.get_mut(&ip)) {
            (session.others, session.detached, session.sent_recent) = (None, false, false);
        }
        if let Some(ip) = best {
            messages.push((ip, ToMarker::Attach(true)));
            // Reports that the previous attached marker may not have counted are sent again: counting twice is
            // preferred to losing them.
            let resent = std::mem::take(&mut self.unacknowledged).into_iter().flat_map(|(_, adds)| adds);
            for (tenant, n) in resent {
                *self.admitted.entry(tenant).or_default() += n;
            }
        }
        messages
    }

    /// Addresses a message to all markers.
    pub fn broadcast(&self, message: &ToMarker) -> Vec<(Ipv4Addr, ToMarker)> {
        self.sessions.keys().map(|ip| (*ip, message.clone())).collect()
    }

    /// Defers the ready servers reported by a marker without a quorum. Returns the other updates.
    fn defer_ready(&mut self, ip: Ipv4Addr, servers: Vec<Instance>) -> Vec<Instance> {
        let accepts_any = self.is_without_quorum();
        let Some(session) = self.sessions.get_mut(&ip) else { return servers };
        // The new report replaces deferred ones.
        servers.iter().for_each(|server| drop(session.deferred_ready.remove(&server.id)));
        if session.has_quorum || accepts_any {
            return servers;
        }
        let (ready, others): (Vec<_>, Vec<_>) =
            servers.into_iter().partition(|s| s.state == InstanceState::Ready);
        session.deferred_ready.extend(ready.into_iter().map(|server| (server.id.clone(), server)));
        others
    }

    /// Handles a message from a marker. Returns the change to apply and the messages to send.
    pub fn on_message(
        &mut self,
        now: Millis,
        ip: Ipv4Addr,
        message: ToGatekeeper,
    ) -> (Option<Change>, Vec<(Ipv4Addr, ToMarker)>) {
        if let Some(session) = self.sessions.get_mut(&ip) {
            (session.last_received, session.received_since_loss) = (now, true);
        }
        self.advance(now);
        let back = self.reattach(ip);
        let (change, mut messages) = self.handle(now, ip, message);
        messages.extend(back);
        (change, messages)
    }

    fn handle(
        &mut self,
        now: Millis,
        ip: Ipv4Addr,
        message: ToGatekeeper,
    ) -> (Option<Change>, Vec<(Ipv4Addr, ToMarker)>) {
        match message {
            ToGatekeeper::Pong => (None, Vec::new()),
            ToGatekeeper::Update(number, news) => {
                let mut messages = vec![(ip, ToMarker::Acknowledge(number))];
                let change = match news {
                    Update::Configuration(document) if self.has_initial => {
                        Some(Change::Configuration(document))
                    }
                    Update::Configuration(document) => {
                        if let Some(session) = self.sessions.get_mut(&ip) {
                            session.initial = Some(document);
                        }
                        None
                    }
                    Update::ConfigurationDifference(difference) if self.has_initial => {
                        Some(Change::Difference(difference))
                    }
                    Update::ConfigurationDifference(difference) => {
                        // The difference applies to the deferred configuration if that is its base.
                        let session = self.sessions.get_mut(&ip);
                        let first = session.and_then(|s| s.initial.as_mut());
                        match first.and_then(|d| difference.apply(d).ok().map(|next| (d, next))) {
                            Some((first, next)) => *first = next,
                            None => messages.push((ip, ToMarker::RequestFull(None))),
                        }
                        None
                    }
                    Update::Contact(has_quorum) => {
                        if self.attached == Some(ip) && !has_quorum {
                            self.sessions.values_mut().for_each(|s| s.received_since_loss = false);
                        }
                        if let Some(session) = self.sessions.get_mut(&ip) {
                            session.has_quorum = has_quorum;
                        }
                        self.advance(now);
                        messages.extend(self.select_attached());
                        None
                    }
                    Update::Servers(servers) => {
                        let servers = self.defer_ready(ip, servers);
                        (!servers.is_empty()).then_some(Change::Servers(servers))
                    }
                    Update::Markers(markers) => {
                        // A marker without a quorum lists only the markers that it still reaches.
                        let has_quorum = |s: &Session| s.has_quorum;
                        if !self.sessions.values().any(has_quorum)
                            || self.sessions.get(&ip).is_some_and(has_quorum)
                        {
                            self.known_markers = markers.into_iter().collect();
                        }
                        None
                    }
                    Update::Gatekeepers(n, missed) => {
                        if let Some(session) = self.sessions.get_mut(&ip) {
                            session.gatekeepers = Some((n, missed));
                        }
                        // In a partition of the markers each side counts the other's gatekeepers as
                        // missing.
                        (self.attached == Some(ip)).then_some(Change::Gatekeepers(n, missed))
                    }
                    Update::Synchronized(zone) => {
                        if let Some(session) = self.sessions.get_mut(&ip) {
                            session.zone = Some(zone);
                        }
                        messages.extend(self.select_attached());
                        None
                    }
                };
                (change, messages)
            }
            ToGatekeeper::Recent(recent) => {
                let is_attached = self.attached == Some(ip);
                if let Some(session) = self.sessions.get_mut(&ip) {
                    session.sent_recent = is_attached && !session.detached;
                }
                (is_attached.then_some(Change::RecentUse(recent)), Vec::new())
            }
            ToGatekeeper::Totals(counted, totals) => {
                let attached =
                    self.sessions.get_mut(&ip).filter(|s| self.attached == Some(ip) && s.sent_recent);
                let Some(session) = attached else { return (None, Vec::new()) };
                self.unacknowledged.retain(|(number, _)| *number > counted);
                let first = session.others.is_none();
                let known = session.others.get_or_insert_with(BTreeMap::new);
                let mut increments = Vec::new();
                for (tenant, total, own) in totals {
                    let others = total.saturating_sub(own);
                    let before = known.insert(tenant.clone(), others).unwrap_or(0);
                    // The first totals include everything since the marker's start; only later increments are
                    // recent usage.
                    if !first && others > before {
                        increments.push((tenant, others - before));
                    }
                }
                (Some(Change::OthersUse(increments)), Vec::new())
            }
        }
    }

    /// Counts an admitted request of a tenant.
    pub fn count_admitted(&mut self, tenant: &str) {
        if let Some(n) = self.admitted.get_mut(tenant) {
            *n += 1;
        } else {
            self.admitted.insert(tenant.to_owned(), 1);
        }
    }

    /// The report of requests admitted since the previous report, addressed to the attached marker.
    pub fn usage_report(&mut self, now: Millis) -> Option<(Ipv4Addr, ToMarker)> {
        if !self.in_sync(now) {
            // They were admitted from the share that the others leave to missing gatekeepers.
            self.admitted.clear();
            self.unacknowledged.clear();
            return None;
        }
        let attached = self.attached?;
        if self.admitted.is_empty() {
            return None;
        }
        let adds = std::mem::take(&mut self.admitted);
        self.number += 1;
        let up = ToMarker::Usage(self.number, adds.iter().map(|(tenant, n)| (tenant.clone(), *n)).collect());
        if self.unacknowledged.len() >= UNACKNOWLEDGED_MAX {
            if let Some((_, oldest)) = self.unacknowledged.first_mut() {
                adds.into_iter().for_each(|(tenant, n)| *oldest.entry(tenant).or_default() += n);
            }
        } else {
            self.unacknowledged.push((self.number, adds));
        }
        Some((attached, up))
    }
}
