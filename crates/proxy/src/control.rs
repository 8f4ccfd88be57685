//! Sessions with markers: what they tell is taken in and acknowledged, and what was let in is told to one of them.
//!
//! A gatekeeper holds sessions with a few markers, so that nothing is missed when one of them goes. One is its home: of
//! its own zone if there is one. A gatekeeper that hears no marker goes on with what it last knew.
//!
//! A marker that is out of contact with most of the core is no home, and gives neither a first configuration nor servers to
//! use while another may: these are kept aside until it is in contact, or until none has been for [`ALONE`]. Later
//! configurations are newer by their number, and a server that leaves does so, whoever tells it: they are taken from all.

use crate::Millis;
use granitelead_common::recent_use::WindowUsage;
use granitelead_control_protocol::messages::{
    Difference, Document, Instance, InstanceState, Revision, ToGatekeeper, ToMarker, Update,
};
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

/// Sessions at once.
pub const SESSIONS: usize = 3;
/// And those with markers that are out of contact, beyond them.
const OUT_OF_CONTACT_MAX: usize = 3;
/// How long a new session may be with one that is not in contact yet before others are looked for beside it.
const BEGINS: Millis = 1_000;
/// When no marker has been in contact for so long, since the start or of those that were, one that is not has to do.
const ALONE: Millis = 3_000;
/// A home that says nothing for so long may be cut off: it answers four times as often.
const TOUCH: Millis = 600;
/// Adds that are not yet counted are merged beyond so many batches.
const UNCOUNTED_MAX: usize = 64;

/// What a word of a marker changes here.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A configuration to have in force.
    Configuration(Document),
    /// The same, as what differs from the one that is in force.
    Difference(Difference),
    /// What has changed of servers.
    Servers(Vec<Instance>),
    /// All is told that a marker knows.
    Whole,
    /// How many gatekeepers there are, and how many of them are missed.
    Gatekeepers(u32, u32),
    /// What all gatekeepers that the home hears have let in of late.
    Recent(WindowUsage),
    /// What all others have let in since this was last told, by tenant.
    Others(Vec<(String, u64)>),
}

#[derive(Default)]
struct Session {
    zone: Option<String>,
    /// Whether it is in contact with most of the core, by what it says.
    contact: bool,
    /// Whether it was heard since the home said last that it is out of contact: what took that may have taken this one.
    heard_since: bool,
    /// The first configuration, kept aside while it is not.
    first: Option<Document>,
    /// Servers that are ready by what it says, kept aside likewise: as many as a marker knows at the most.
    ready: BTreeMap<String, Instance>,
    opened: Millis,
    /// Whether it was told that it is not the home any more, as it was silent.
    left: bool,
    /// Whether it has told what was let in of late, since it is the home: totals of before are another home's.
    began: bool,
    /// What the others had let in by the newest totals, once there were some.
    others: Option<BTreeMap<String, u64>>,
    heard: Millis,
    /// How many gatekeepers there are by this marker, and how many of them are missed.
    members: Option<(u32, u32)>,
}

/// All sessions of a gatekeeper.
pub struct Control {
    life: u64,
    name: String,
    zone: String,
    seeds: Vec<Ipv4Addr>,
    told: BTreeSet<Ipv4Addr>,
    sessions: BTreeMap<Ipv4Addr, Session>,
    home: Option<Ipv4Addr>,
    /// When a marker was in contact last, or this was begun.
    contact_at: Option<Millis>,
    now: Millis,
    /// Whether a first configuration was taken, and all that a marker knows.
    begun: bool,
    whole: bool,
    number: u64,
    uncounted: Vec<(u64, BTreeMap<String, u64>)>,
    let_in: BTreeMap<String, u64>,
    rng: fastrand::Rng,
}

impl Control {
    /// For a process that starts; `seed` draws its life.
    pub fn new(name: &str, zone: &str, seeds: Vec<Ipv4Addr>, seed: u64) -> Control {
        let mut rng = fastrand::Rng::with_seed(seed);
        Control {
            life: rng.u64(1..),
            name: name.to_owned(),
            zone: zone.to_owned(),
            seeds,
            told: BTreeSet::new(),
            sessions: BTreeMap::new(),
            home: None,
            contact_at: None,
            now: 0,
            begun: false,
            whole: false,
            number: 0,
            uncounted: Vec::new(),
            let_in: BTreeMap::new(),
            rng,
        }
    }

    /// The settings name other seeds.
    pub fn reseed(&mut self, seeds: Vec<Ipv4Addr>) {
        self.seeds = seeds;
    }

    /// Whether the home is heard, and so what the others let in.
    pub fn in_touch(&self, now: Millis) -> bool {
        let home = self.home.and_then(|ip| self.sessions.get(&ip));
        home.is_some_and(|s| s.others.is_some() && now < s.heard + TOUCH)
    }

    /// How many gatekeepers there are by the home, and how many of them are missed, where it has told.
    pub fn members(&self) -> Option<(u32, u32)> {
        self.home.and_then(|ip| self.sessions.get(&ip)?.members)
    }

    /// The marker that counts what is let in here.
    pub fn home(&self) -> Option<Ipv4Addr> {
        self.home
    }

    /// Which marker to try for a further session, if one is wanted; `busy` are being tried.
    pub fn wanted(&mut self, busy: &BTreeSet<Ipv4Addr>) -> Option<Ipv4Addr> {
        // A new one has its time: after a start of all nobody is in contact yet.
        let counts = |s: &&Session| s.contact || self.now < s.opened + BEGINS;
        let near = self.sessions.values().filter(counts).count();
        let all = self.sessions.len() + busy.len();
        if near + busy.len() >= SESSIONS || all >= SESSIONS + OUT_OF_CONTACT_MAX {
            return None;
        }
        let free = |ip: &&Ipv4Addr| !self.sessions.contains_key(*ip) && !busy.contains(*ip);
        let told: Vec<Ipv4Addr> = self.told.iter().chain(&self.seeds).filter(free).copied().collect();
        self.rng.choice(told)
    }

    /// A session to be ended, where those that were out of contact have come back and are more than are wanted: the
    /// newest that is not the home.
    pub fn surplus(&self) -> Option<Ipv4Addr> {
        let near = || self.sessions.iter().filter(|(_, s)| s.contact);
        let newest = near().filter(|(ip, _)| self.home != Some(**ip)).max_by_key(|(ip, s)| (s.opened, **ip));
        newest.filter(|_| near().count() > SESSIONS).map(|(ip, _)| *ip)
    }

    /// A session is up. Gives what to say first.
    pub fn open(
        &mut self,
        now: Millis,
        ip: Ipv4Addr,
        has: Option<Revision>,
        servers: Vec<Instance>,
    ) -> ToMarker {
        self.pass(now);
        self.sessions.insert(ip, Session { opened: now, heard: now, ..Session::default() });
        ToMarker::Hello { incarnation: self.life, name: self.name.clone(), in_force: has, servers }
    }

    /// A session has ended.
    pub fn close(&mut self, ip: Ipv4Addr) -> Vec<(Ipv4Addr, ToMarker)> {
        self.sessions.remove(&ip);
        if self.home == Some(ip) {
            self.home = None;
        }
        self.find_home()
    }

    /// Time passes. Gives what to say of a home that is due now.
    pub fn look(&mut self, now: Millis) -> Vec<(Ipv4Addr, ToMarker)> {
        self.pass(now);
        let mut say = self.leave_silent_home();
        say.extend(self.find_home());
        say
    }

    /// A home that is silent may still hear: it is told that what is let in from now on is not told to it.
    fn leave_silent_home(&mut self) -> Vec<(Ipv4Addr, ToMarker)> {
        let now = self.now;
        let home = self.home.and_then(|ip| Some((ip, self.sessions.get_mut(&ip)?)));
        let silent = home.filter(|(_, s)| !s.left && s.others.is_some() && now >= s.heard + TOUCH);
        let Some((ip, session)) = silent else { return Vec::new() };
        (session.left, session.began, session.others) = (true, false, None);
        vec![(ip, ToMarker::Attach(false))]
    }

    /// A home that was silent is heard again.
    fn return_to_home(&mut self, ip: Ipv4Addr) -> Vec<(Ipv4Addr, ToMarker)> {
        let session = self.sessions.get_mut(&ip).filter(|_| self.home == Some(ip));
        match session.map(|s| std::mem::take(&mut s.left)) {
            Some(true) => vec![(ip, ToMarker::Attach(true))],
            _ => Vec::new(),
        }
    }

    fn pass(&mut self, now: Millis) {
        self.now = self.now.max(now);
        let contact = self.sessions.values().any(|s| s.contact && self.now < s.heard + TOUCH);
        if contact || self.contact_at.is_none() {
            self.contact_at = Some(self.now);
        }
    }

    /// Whether no marker has been in contact for so long that one which is not has to do.
    fn is_alone(&self) -> bool {
        self.contact_at.is_some_and(|at| self.now >= at + ALONE)
    }

    /// What was kept aside and is due now: the newest first configuration, servers, then that all is told.
    pub fn due(&mut self) -> Option<(Ipv4Addr, Change)> {
        let alone = self.is_alone();
        let good = |s: &Session| s.contact || alone;
        let first = self.sessions.iter().filter(|(_, s)| good(s) && !self.begun);
        let version = |s: &Session| s.first.as_ref().map(|d| d.version);
        let first =
            first.filter(|(_, s)| s.first.is_some()).max_by_key(|(_, s)| version(s)).map(|(ip, _)| *ip);
        if let Some(ip) = first {
            let document = self.sessions.get_mut(&ip).and_then(|s| s.first.take())?;
            self.begun = true;
            self.sessions.values_mut().for_each(|s| s.first = None);
            return Some((ip, Change::Configuration(document)));
        }
        if let Some((ip, session)) = self.sessions.iter_mut().find(|(_, s)| good(s) && !s.ready.is_empty()) {
            let servers = std::mem::take(&mut session.ready).into_values().collect();
            return Some((*ip, Change::Servers(servers)));
        }
        let told = self.sessions.iter().find(|(_, s)| good(s) && s.zone.is_some() && !self.whole);
        let ip = told.map(|(ip, _)| *ip)?;
        self.whole = true;
        Some((ip, Change::Whole))
    }

    /// The home is a marker of this zone that has told all, else whichever has for longest. One that is out of contact
    /// stays it only while no other is in contact, and becomes it only if none has been for [`ALONE`].
    fn find_home(&mut self) -> Vec<(Ipv4Addr, ToMarker)> {
        let near = |s: &Session| s.zone.as_ref() == Some(&self.zone);
        let good = |s: &Session| s.contact && s.heard_since;
        let may = |ip: &Ipv4Addr, s: &Session| good(s) || self.home == Some(*ip) || self.is_alone();
        let told = self.sessions.iter().filter(|(ip, s)| s.zone.is_some() && may(ip, s));
        let best = told
            .min_by_key(|(ip, s)| (!good(s), !near(s), self.home != Some(**ip), s.opened, **ip))
            .map(|(ip, _)| *ip);
        if best == self.home {
            return Vec::new();
        }
        let mut say: Vec<(Ipv4Addr, ToMarker)> =
            self.home.into_iter().map(|ip| (ip, ToMarker::Attach(false))).collect();
        self.home = best;
        if let Some(session) = best.and_then(|ip| self.sessions.get_mut(&ip)) {
            (session.others, session.left, session.began) = (None, false, false);
        }
        if let Some(ip) = best {
            say.push((ip, ToMarker::Attach(true)));
            // What the former home may not have counted is told again: rather twice than never.
            let again = std::mem::take(&mut self.uncounted).into_iter().flat_map(|(_, adds)| adds);
            for (tenant, n) in again {
                *self.let_in.entry(tenant).or_default() += n;
            }
        }
        say
    }

    /// The same for all markers.
    pub fn tell_all(&self, word: &ToMarker) -> Vec<(Ipv4Addr, ToMarker)> {
        self.sessions.keys().map(|ip| (*ip, word.clone())).collect()
    }

    /// Keeps aside the servers that are ready by a marker that is out of contact. Gives the others.
    fn keep_aside(&mut self, ip: Ipv4Addr, servers: Vec<Instance>) -> Vec<Instance> {
        let alone = self.is_alone();
        let Some(session) = self.sessions.get_mut(&ip) else { return servers };
        // What it says now is newer than what it said before.
        servers.iter().for_each(|server| drop(session.ready.remove(&server.id)));
        if session.contact || alone {
            return servers;
        }
        let (ready, leave): (Vec<_>, Vec<_>) =
            servers.into_iter().partition(|s| s.state == InstanceState::Ready);
        session.ready.extend(ready.into_iter().map(|server| (server.id.clone(), server)));
        leave
    }

    /// A marker says something. Gives what it changes, and what to say.
    pub fn take(
        &mut self,
        now: Millis,
        ip: Ipv4Addr,
        word: ToGatekeeper,
    ) -> (Option<Change>, Vec<(Ipv4Addr, ToMarker)>) {
        if let Some(session) = self.sessions.get_mut(&ip) {
            (session.heard, session.heard_since) = (now, true);
        }
        self.pass(now);
        let back = self.return_to_home(ip);
        let (change, mut say) = self.take_word(now, ip, word);
        say.extend(back);
        (change, say)
    }

    fn take_word(
        &mut self,
        now: Millis,
        ip: Ipv4Addr,
        word: ToGatekeeper,
    ) -> (Option<Change>, Vec<(Ipv4Addr, ToMarker)>) {
        match word {
            ToGatekeeper::Pong => (None, Vec::new()),
            ToGatekeeper::Update(number, news) => {
                let mut say = vec![(ip, ToMarker::Acknowledge(number))];
                let change = match news {
                    Update::Configuration(document) if self.begun => Some(Change::Configuration(document)),
                    Update::Configuration(document) => {
                        if let Some(session) = self.sessions.get_mut(&ip) {
                            session.first = Some(document);
                        }
                        None
                    }
                    Update::ConfigurationDifference(difference) if self.begun => {
                        Some(Change::Difference(difference))
                    }
                    Update::ConfigurationDifference(difference) => {
                        // Of what was kept aside, if it was told from that.
                        let session = self.sessions.get_mut(&ip);
                        let first = session.and_then(|s| s.first.as_mut());
                        match first.and_then(|d| difference.apply(d).ok().map(|next| (d, next))) {
                            Some((first, next)) => *first = next,
                            None => say.push((ip, ToMarker::RequestFull(None))),
                        }
                        None
                    }
                    Update::Contact(contact) => {
                        if self.home == Some(ip) && !contact {
                            self.sessions.values_mut().for_each(|s| s.heard_since = false);
                        }
                        if let Some(session) = self.sessions.get_mut(&ip) {
                            session.contact = contact;
                        }
                        self.pass(now);
                        say.extend(self.find_home());
                        None
                    }
                    Update::Servers(servers) => {
                        let servers = self.keep_aside(ip, servers);
                        (!servers.is_empty()).then_some(Change::Servers(servers))
                    }
                    Update::Markers(markers) => {
                        // One that is out of contact names whom it hears still: too few.
                        let contact = |s: &Session| s.contact;
                        if !self.sessions.values().any(contact) || self.sessions.get(&ip).is_some_and(contact)
                        {
                            self.told = markers.into_iter().collect();
                        }
                        None
                    }
                    Update::Gatekeepers(n, missed) => {
                        if let Some(session) = self.sessions.get_mut(&ip) {
                            session.members = Some((n, missed));
                        }
                        // Where markers are cut apart each counts the others' gatekeepers as missed.
                        (self.home == Some(ip)).then_some(Change::Gatekeepers(n, missed))
                    }
                    Update::Synchronized(zone) => {
                        if let Some(session) = self.sessions.get_mut(&ip) {
                            session.zone = Some(zone);
                        }
                        say.extend(self.find_home());
                        None
                    }
                };
                (change, say)
            }
            ToGatekeeper::Recent(recent) => {
                let is_home = self.home == Some(ip);
                if let Some(session) = self.sessions.get_mut(&ip) {
                    session.began = is_home && !session.left;
                }
                (is_home.then_some(Change::Recent(recent)), Vec::new())
            }
            ToGatekeeper::Totals(counted, totals) => {
                let home = self.sessions.get_mut(&ip).filter(|s| self.home == Some(ip) && s.began);
                let Some(session) = home else { return (None, Vec::new()) };
                self.uncounted.retain(|(number, _)| *number > counted);
                let first = session.others.is_none();
                let known = session.others.get_or_insert_with(BTreeMap::new);
                let mut news = Vec::new();
                for (tenant, total, own) in totals {
                    let others = total.saturating_sub(own);
                    let before = known.insert(tenant.clone(), others).unwrap_or(0);
                    // The first totals hold all since the marker's start: only what comes after tells of now.
                    if !first && others > before {
                        news.push((tenant, others - before));
                    }
                }
                (Some(Change::Others(news)), Vec::new())
            }
        }
    }

    /// A request of a tenant is let in.
    pub fn add(&mut self, tenant: &str) {
        if let Some(n) = self.let_in.get_mut(tenant) {
            *n += 1;
        } else {
            self.let_in.insert(tenant.to_owned(), 1);
        }
    }

    /// What to tell the home of what was let in since the last time.
    pub fn batch(&mut self, now: Millis) -> Option<(Ipv4Addr, ToMarker)> {
        if !self.in_touch(now) {
            // It was let in from the part that the others leave to whoever they miss.
            self.let_in.clear();
            self.uncounted.clear();
            return None;
        }
        let home = self.home?;
        if self.let_in.is_empty() {
            return None;
        }
        let adds = std::mem::take(&mut self.let_in);
        self.number += 1;
        let up = ToMarker::Usage(self.number, adds.iter().map(|(tenant, n)| (tenant.clone(), *n)).collect());
        if self.uncounted.len() >= UNCOUNTED_MAX {
            if let Some((_, oldest)) = self.uncounted.first_mut() {
                adds.into_iter().for_each(|(tenant, n)| *oldest.entry(tenant).or_default() += n);
            }
        } else {
            self.uncounted.push((self.number, adds));
        }
        Some((home, up))
    }
}
