//! Sessions of gatekeepers: who is a member, what each was told, and what waits until all know it.

use crate::parts::{Millis, Output, SessionId};
use crate::pushes::Pushes;
use granitelead_control_protocol::messages::{Document, Instance, Revision, ToGatekeeper, Update};
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::sync::Arc;

/// How long a server's call may wait until all know what it says; servers wait a second for their answer.
const KNOWN: Millis = 550;
/// The same for what another marker passed on: it has to hear of it before its own time is over.
const KNOWN_HERE: Millis = 350;
/// A session that says nothing for so long is not heard: it says that it stands four times as often.
const HEARD: Millis = 600;
/// Whoever is not the home of a gatekeeper leaves a configuration to that for so long: most often it has it by then. A
/// home that is cut off or frozen costs this and a tick, of the 2,000 that there are.
const OTHERS: Millis = 200;
/// Sessions at once.
pub const SESSIONS_MAX: usize = 2_000;

/// Who is told once all know.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Waiter {
    /// The server that made this call.
    Call(u64),
    /// The marker that passed it on, under its ticket.
    Marker(Ipv4Addr, u64),
}

struct Session {
    life: u64,
    name: String,
    sent: u64,
    got: u64,
    /// What it has in force, as it says.
    has: Option<Revision>,
    /// The newest that it was told here.
    told: Option<Revision>,
    /// Whether this marker is its home.
    home: bool,
    /// The news that carried it: until they are taken in no other configuration is sent, and then the newest alone. A link
    /// that is slower than the changes would have ever more waiting.
    carrier: u64,
    /// Whether one waits for that.
    waits: bool,
    /// When it is told the newest, unless it says before that it has it.
    due: Option<Millis>,
    heard: Millis,
}

impl Session {
    fn is_behind(&self, version: u32) -> bool {
        self.has.is_none_or(|has| has.version < version)
    }
}

struct Wait {
    waiter: Waiter,
    sessions: BTreeMap<SessionId, u64>,
    markers: BTreeSet<Ipv4Addr>,
    /// Markers that have said that all there know.
    told: BTreeSet<Ipv4Addr>,
    ticket: u64,
    until: Millis,
}

/// All sessions at a marker.
#[derive(Default)]
pub struct Sessions {
    sessions: BTreeMap<SessionId, Session>,
    waits: Vec<Wait>,
    ticket: u64,
    pushes: Pushes,
}

impl Sessions {
    /// Without any; tickets begin after this number, so that a word for a former life of the process counts for nothing.
    pub fn new(ticket: u64) -> Sessions {
        Sessions { ticket, ..Sessions::default() }
    }

    /// A gatekeeper opens a session; it is told all.
    #[allow(clippy::too_many_arguments)] // All that a session begins with.
    pub fn open(
        &mut self,
        now: Millis,
        id: SessionId,
        life: u64,
        name: String,
        has: Option<Revision>,
        sure: Option<&Arc<Document>>,
        servers: Vec<Instance>,
        markers: Vec<Ipv4Addr>,
        zone: &str,
        out: &mut Vec<Output>,
    ) {
        if self.sessions.len() >= SESSIONS_MAX {
            log::error!("more than {SESSIONS_MAX} sessions: {name} is not taken in");
            // It would take a line that stands for a session, and be told nothing over it.
            return out.push(Output::End(id));
        }
        let session = Session {
            life,
            name,
            sent: 0,
            got: 0,
            has,
            told: None,
            carrier: 0,
            waits: false,
            home: false,
            due: None,
            heard: now,
        };
        self.sessions.insert(id, session);
        if let Some(document) = sure {
            self.pushes.newest(document);
            self.push(id, out);
        }
        self.tell(id, Update::Servers(servers), out);
        self.tell(id, Update::Markers(markers), out);
        self.tell(id, Update::Synchronized(zone.to_owned()), out);
    }

    /// A session ends.
    pub fn close(&mut self, id: SessionId) {
        self.sessions.remove(&id);
        for wait in &mut self.waits {
            wait.sessions.remove(&id);
        }
    }

    /// The life of a session's gatekeeper.
    pub fn life(&self, id: SessionId) -> Option<u64> {
        self.sessions.get(&id).map(|s| s.life)
    }

    /// The name of a session's gatekeeper.
    pub fn name(&self, id: SessionId) -> Option<String> {
        self.sessions.get(&id).map(|s| s.name.clone())
    }

    /// A gatekeeper says that its session stands.
    pub fn on_ping(&mut self, now: Millis, id: SessionId) {
        if let Some(session) = self.sessions.get_mut(&id) {
            session.heard = now;
        }
    }

    /// Names of the gatekeepers with these lives that are heard.
    pub fn names(&self, now: Millis, lives: &[u64]) -> Vec<String> {
        let heard = self.sessions.values().filter(|s| now < s.heard + HEARD);
        let meant = heard.filter(|s| lives.contains(&s.life));
        meant.map(|s| s.name.clone()).collect()
    }

    /// How many of all sessions have this configuration in force.
    pub fn have(&self, version: u32) -> (usize, usize) {
        (self.sessions.values().filter(|s| !s.is_behind(version)).count(), self.sessions.len())
    }

    /// A configuration can't be lost any more: those whose home is here are told at once, the others if they have not
    /// got it soon.
    pub fn configure(&mut self, now: Millis, document: &Arc<Document>, out: &mut Vec<Output>) {
        self.pushes.newest(document);
        let mut at_once = Vec::new();
        for (id, session) in &mut self.sessions {
            if session.home {
                at_once.push(*id);
            } else if session.is_behind(document.version) {
                session.due = session.due.or(Some(now + OTHERS));
            }
        }
        at_once.into_iter().for_each(|id| self.push(id, out));
    }

    /// Time passes: those that are told now have not got it from their homes.
    pub fn on_tick(&mut self, now: Millis, out: &mut Vec<Output>) {
        let due = self.sessions.iter().filter(|(_, s)| s.due.is_some_and(|due| now >= due));
        let due: Vec<SessionId> = due.map(|(id, _)| *id).collect();
        due.into_iter().for_each(|id| self.push(id, out));
    }

    /// Tells one the newest configuration, unless it has it or was told.
    fn push(&mut self, id: SessionId, out: &mut Vec<Output>) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        session.due = None;
        session.waits = session.carrier > session.got;
        if session.waits {
            return;
        }
        let Some(newest) = self.pushes.revision().filter(|newest| session.is_behind(newest.version)) else {
            return;
        };
        // What is on its way here has come by then; from elsewhere it may have newer.
        let base = session.told.max(session.has);
        if base == Some(newest) {
            return;
        }
        if let Some(news) = self.pushes.news(base) {
            self.carry(id, newest, news, out);
        }
    }

    /// Tells one a configuration.
    fn carry(&mut self, id: SessionId, newest: Revision, news: Update, out: &mut Vec<Output>) {
        self.tell(id, news, out);
        if let Some(session) = self.sessions.get_mut(&id) {
            (session.told, session.carrier) = (Some(newest), session.sent);
        }
    }

    /// Tells one.
    pub fn tell(&mut self, id: SessionId, news: Update, out: &mut Vec<Output>) {
        if let Some(session) = self.sessions.get_mut(&id) {
            session.sent += 1;
            out.push(Output::Tell(id, ToGatekeeper::Update(session.sent, news)));
        }
    }

    /// Tells all.
    pub fn tell_all(&mut self, news: &Update, out: &mut Vec<Output>) {
        let ids: Vec<SessionId> = self.sessions.keys().copied().collect();
        for id in ids {
            self.tell(id, news.clone(), out);
        }
    }

    /// A gatekeeper has taken in all news up to this number.
    pub fn on_got(&mut self, id: SessionId, number: u64, out: &mut Vec<Output>) {
        if let Some(session) = self.sessions.get_mut(&id) {
            session.got = session.got.max(number.min(session.sent));
            let got = session.got;
            for wait in &mut self.waits {
                if wait.sessions.get(&id).is_some_and(|sent| *sent <= got) {
                    wait.sessions.remove(&id);
                }
            }
            let waits = session.waits;
            if waits {
                self.push(id, out);
            }
        }
    }

    /// A gatekeeper has a configuration in force.
    pub fn on_has(&mut self, id: SessionId, has: Revision) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        session.has = session.has.max(Some(has));
        let newest = self.pushes.revision();
        if newest.is_some_and(|newest| !session.is_behind(newest.version)) {
            session.due = None;
        }
    }

    /// A gatekeeper can't apply a change, as something else is in force there: it is told the newest whole.
    pub fn on_lacks(&mut self, id: SessionId, has: Option<Revision>, out: &mut Vec<Output>) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        (session.has, session.told, session.due) = (has, None, None);
        let newest = self.pushes.revision().filter(|newest| session.is_behind(newest.version));
        if let (Some(newest), Some(news)) = (newest, self.pushes.news(None)) {
            self.carry(id, newest, news, out);
        }
    }

    /// Whether this marker is a gatekeeper's home.
    pub fn on_home(&mut self, id: SessionId, home: bool) {
        if let Some(session) = self.sessions.get_mut(&id) {
            session.home = home;
        }
    }

    /// Waits until all gatekeepers with sessions here know what they were told so far, and these markers say the
    /// same of theirs. Gives the ticket under which the markers are to say so.
    pub fn wait(&mut self, now: Millis, waiter: Waiter, markers: &[Ipv4Addr]) -> u64 {
        let ticket = self.ticket();
        let behind = self.sessions.iter().filter(|(_, s)| s.got < s.sent);
        let sessions = behind.map(|(id, s)| (*id, s.sent)).collect();
        let markers = markers.iter().copied().collect();
        let until = match waiter {
            Waiter::Call(_) => now + KNOWN,
            Waiter::Marker(..) => now + KNOWN_HERE,
        };
        self.waits.push(Wait { waiter, sessions, markers, told: BTreeSet::new(), ticket, until });
        ticket
    }

    /// A ticket under which another marker says that it has something, where nobody waits for it.
    pub fn ticket(&mut self) -> u64 {
        self.ticket += 1;
        self.ticket
    }

    /// All gatekeepers of another marker know what it was told under this ticket.
    pub fn on_told(&mut self, from: Ipv4Addr, ticket: u64) {
        for wait in self.waits.iter_mut().filter(|wait| wait.ticket == ticket) {
            wait.markers.remove(&from);
            wait.told.insert(from);
        }
    }

    /// Those who wait no longer: because all know, or because somebody is not in touch; and which markers have said that
    /// all there know.
    pub fn known(&mut self, now: Millis) -> Vec<(Waiter, BTreeSet<Ipv4Addr>)> {
        let mut known = Vec::new();
        self.waits.retain_mut(|wait| {
            let ends = (wait.sessions.is_empty() && wait.markers.is_empty()) || now >= wait.until;
            if ends {
                known.push((wait.waiter, std::mem::take(&mut wait.told)));
            }
            !ends
        });
        known
    }
}
