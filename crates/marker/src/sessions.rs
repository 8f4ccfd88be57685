//! Sessions of gatekeepers: the configuration and acknowledgement state of each, and the calls that wait
//! until all gatekeepers have acknowledged a change.

use crate::pushes::Pushes;
use crate::types::{Millis, Output, SessionId};
use granitelead_control_protocol::messages::{Document, Instance, Revision, ToGatekeeper, Update};
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::sync::Arc;

/// Maximum wait of a server's call for the acknowledgements of all gatekeepers, ms; servers time out after a
/// second.
const CALL_WAIT: Millis = 550;
/// The same for a change that another marker passed on, ms: that marker must receive the confirmation before
/// its own wait times out.
const FORWARDED_WAIT: Millis = 350;
/// A session without a ping for this long does not count as connected, ms; gatekeepers ping four times as
/// often.
const SESSION_TIMEOUT: Millis = 600;
/// A marker leaves sending a configuration to a gatekeeper's attached marker for this long, ms: most often
/// the gatekeeper has it by then. If the attached marker is cut off or frozen, this and one tick are lost of
/// the 2,000 ms that a change may take.
const ATTACHED_HEAD_START: Millis = 200;
/// Maximum number of concurrent waits. Beyond it the changes of other markers are not confirmed to them.
const WAITS_MAX: usize = 4_096;
/// Maximum number of concurrent sessions.
pub const SESSIONS_MAX: usize = 2_000;

/// The party to answer once all gatekeepers have acknowledged a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Waiter {
    /// The server that made this call.
    Call(u64),
    /// The marker that passed the change on, under its ticket.
    Marker(Ipv4Addr, u64),
}

struct Session {
    incarnation: u64,
    name: String,
    last_sent: u64,
    last_acknowledged: u64,
    /// The configuration that it reports as in force.
    in_force: Option<Revision>,
    /// The newest configuration that was sent over this session.
    last_configuration: Option<Revision>,
    /// Whether the gatekeeper is attached to this marker.
    is_attached: bool,
    /// The number of the message that carried it. Until that is acknowledged no other configuration is sent,
    /// and then only the newest: otherwise the queue of a link slower than the rate of changes would grow
    /// without bound.
    carrier_number: u64,
    /// Whether a newer configuration is held back until then.
    is_held_back: bool,
    /// When to send the newest configuration, unless the gatekeeper reports it as in force before.
    due_at: Option<Millis>,
    last_heard: Millis,
}

impl Session {
    fn is_behind(&self, version: u32) -> bool {
        self.in_force.is_none_or(|has| has.version < version)
    }
}

struct Wait {
    waiter: Waiter,
    sessions: BTreeMap<SessionId, u64>,
    markers: BTreeSet<Ipv4Addr>,
    /// Markers that have confirmed that all their gatekeepers know and that the change is on their disk.
    confirmed: BTreeSet<Ipv4Addr>,
    ticket: u64,
    /// The ticket of the write after which the change is on the disk of this marker.
    write: u64,
    deadline: Millis,
}

impl Wait {
    fn is_delivered(&self, now: Millis) -> bool {
        (self.sessions.is_empty() && self.markers.is_empty()) || now >= self.deadline
    }

    /// Whether it can be answered. A confirmation to another marker states that the change is on disk here,
    /// so it is not given before; the call of a server is answered at its deadline in any case.
    fn is_over(&self, now: Millis, is_durable: bool) -> bool {
        let needs_write = match self.waiter {
            Waiter::Call(_) => now < self.deadline,
            Waiter::Marker(..) => true,
        };
        self.is_delivered(now) && (is_durable || !needs_write)
    }
}

/// A wait that is over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FinishedWait {
    /// The party to answer.
    pub waiter: Waiter,
    /// The markers that have confirmed the change.
    pub confirmed_by: BTreeSet<Ipv4Addr>,
    /// Whether the change is on the disk of this marker.
    pub is_durable: bool,
}

/// All sessions of a marker, and the calls that wait for acknowledgements.
#[derive(Default)]
pub struct Sessions {
    sessions: BTreeMap<SessionId, Session>,
    waits: Vec<Wait>,
    last_ticket: u64,
    pushes: Pushes,
}

impl Sessions {
    /// Creates an empty set. Tickets start after this number, so that a confirmation meant for an earlier
    /// incarnation of the process is ignored.
    pub fn new(ticket: u64) -> Sessions {
        Sessions { last_ticket: ticket, ..Sessions::default() }
    }

    /// Opens a session and sends the gatekeeper the committed configuration, the servers and the markers.
    /// Beyond the session limit the session is closed instead.
    #[allow(clippy::too_many_arguments)] // The whole initial state of a session.
    pub fn open(
        &mut self,
        now: Millis,
        id: SessionId,
        incarnation: u64,
        name: String,
        has: Option<Revision>,
        committed: Option<&Arc<Document>>,
        servers: Vec<Instance>,
        markers: Vec<Ipv4Addr>,
        zone: &str,
        out: &mut Vec<Output>,
    ) {
        if self.sessions.len() >= SESSIONS_MAX {
            log::error!("session limit of {SESSIONS_MAX} reached: closing the session of gatekeeper {name}");
            // Left open, the connection would look like a session to the gatekeeper, which would receive
            // nothing over it.
            return out.push(Output::CloseSession(id));
        }
        let session = Session {
            incarnation,
            name,
            last_sent: 0,
            last_acknowledged: 0,
            in_force: has,
            last_configuration: None,
            carrier_number: 0,
            is_held_back: false,
            is_attached: false,
            due_at: None,
            last_heard: now,
        };
        self.sessions.insert(id, session);
        if let Some(document) = committed {
            self.pushes.set_newest(document);
            self.push(id, out);
        }
        self.send(id, Update::Servers(servers), out);
        self.send(id, Update::Markers(markers), out);
        self.send(id, Update::Synchronized(zone.to_owned()), out);
    }

    /// Removes a session; nothing waits for it any more.
    pub fn close(&mut self, id: SessionId) {
        self.sessions.remove(&id);
        for wait in &mut self.waits {
            wait.sessions.remove(&id);
        }
    }

    /// The incarnation of a session's gatekeeper.
    pub fn incarnation(&self, id: SessionId) -> Option<u64> {
        self.sessions.get(&id).map(|s| s.incarnation)
    }

    /// The name of a session's gatekeeper.
    pub fn name(&self, id: SessionId) -> Option<String> {
        self.sessions.get(&id).map(|s| s.name.clone())
    }

    /// Records a gatekeeper's ping.
    pub fn on_ping(&mut self, now: Millis, id: SessionId) {
        if let Some(session) = self.sessions.get_mut(&id) {
            session.last_heard = now;
        }
    }

    /// The names of the connected gatekeepers among these incarnations.
    pub fn names(&self, now: Millis, incarnations: &[u64]) -> Vec<String> {
        let connected = self.sessions.values().filter(|s| now < s.last_heard + SESSION_TIMEOUT);
        let matching = connected.filter(|s| incarnations.contains(&s.incarnation));
        matching.map(|s| s.name.clone()).collect()
    }

    /// The number of sessions whose gatekeeper has this configuration or a newer one in force, and the
    /// number of all sessions.
    pub fn count_in_force(&self, version: u32) -> (usize, usize) {
        (self.sessions.values().filter(|s| !s.is_behind(version)).count(), self.sessions.len())
    }

    /// Distributes a committed configuration: gatekeepers attached to this marker get it at once, the others
    /// after a delay if they still lack it.
    pub fn on_committed(&mut self, now: Millis, document: &Arc<Document>, out: &mut Vec<Output>) {
        self.pushes.set_newest(document);
        let mut at_once = Vec::new();
        for (id, session) in &mut self.sessions {
            if session.is_attached {
                at_once.push(*id);
            } else if session.is_behind(document.version) {
                session.due_at = session.due_at.or(Some(now + ATTACHED_HEAD_START));
            }
        }
        at_once.into_iter().for_each(|id| self.push(id, out));
    }

    /// Sends the newest configuration to the gatekeepers that have not got it from their attached markers in
    /// time.
    pub fn on_tick(&mut self, now: Millis, out: &mut Vec<Output>) {
        let due = self.sessions.iter().filter(|(_, s)| s.due_at.is_some_and(|due| now >= due));
        let due: Vec<SessionId> = due.map(|(id, _)| *id).collect();
        due.into_iter().for_each(|id| self.push(id, out));
    }

    /// Sends a gatekeeper the newest configuration, unless it has it already or another one is still
    /// unacknowledged.
    fn push(&mut self, id: SessionId, out: &mut Vec<Output>) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        session.due_at = None;
        session.is_held_back = session.carrier_number > session.last_acknowledged;
        if session.is_held_back {
            return;
        }
        let Some(newest) = self.pushes.revision().filter(|newest| session.is_behind(newest.version)) else {
            return;
        };
        // What was sent over this session has arrived before this message does; from another marker the
        // gatekeeper may have something newer.
        let base = session.last_configuration.max(session.in_force);
        if base == Some(newest) {
            return;
        }
        if let Some(news) = self.pushes.update_for(base) {
            self.send_configuration(id, newest, news, out);
        }
    }

    /// Sends a gatekeeper a message that carries a configuration, and records which one.
    fn send_configuration(&mut self, id: SessionId, newest: Revision, news: Update, out: &mut Vec<Output>) {
        self.send(id, news, out);
        if let Some(session) = self.sessions.get_mut(&id) {
            (session.last_configuration, session.carrier_number) = (Some(newest), session.last_sent);
        }
    }

    /// Sends a gatekeeper a numbered message.
    pub fn send(&mut self, id: SessionId, news: Update, out: &mut Vec<Output>) {
        if let Some(session) = self.sessions.get_mut(&id) {
            session.last_sent += 1;
            out.push(Output::SendToGatekeeper(id, ToGatekeeper::Update(session.last_sent, news)));
        }
    }

    /// Sends all gatekeepers a message.
    pub fn send_all(&mut self, news: &Update, out: &mut Vec<Output>) {
        let ids: Vec<SessionId> = self.sessions.keys().copied().collect();
        for id in ids {
            self.send(id, news.clone(), out);
        }
    }

    /// A gatekeeper acknowledges all messages up to this number.
    pub fn on_acknowledged(&mut self, id: SessionId, number: u64, out: &mut Vec<Output>) {
        if let Some(session) = self.sessions.get_mut(&id) {
            session.last_acknowledged = session.last_acknowledged.max(number.min(session.last_sent));
            let acknowledged = session.last_acknowledged;
            for wait in &mut self.waits {
                if wait.sessions.get(&id).is_some_and(|sent| *sent <= acknowledged) {
                    wait.sessions.remove(&id);
                }
            }
            let is_held_back = session.is_held_back;
            if is_held_back {
                self.push(id, out);
            }
        }
    }

    /// A gatekeeper reports the configuration that it has in force.
    pub fn on_in_force(&mut self, id: SessionId, has: Revision) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        session.in_force = session.in_force.max(Some(has));
        let newest = self.pushes.revision();
        if newest.is_some_and(|newest| !session.is_behind(newest.version)) {
            session.due_at = None;
        }
    }

    /// A gatekeeper can't apply a difference, as it has another configuration in force: it is sent the whole
    /// newest one.
    pub fn on_difference_failed(&mut self, id: SessionId, has: Option<Revision>, out: &mut Vec<Output>) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        (session.in_force, session.last_configuration, session.due_at) = (has, None, None);
        let newest = self.pushes.revision().filter(|newest| session.is_behind(newest.version));
        if let (Some(newest), Some(news)) = (newest, self.pushes.update_for(None)) {
            self.send_configuration(id, newest, news, out);
        }
    }

    /// Records whether a gatekeeper is attached to this marker.
    pub fn on_attached(&mut self, id: SessionId, is_attached: bool) {
        if let Some(session) = self.sessions.get_mut(&id) {
            session.is_attached = is_attached;
        }
    }

    /// Starts a wait until all gatekeepers with sessions here have acknowledged what was sent to them so
    /// far, these markers have confirmed the same for theirs, and the write with the ticket `write` is on
    /// disk. Returns the ticket for those confirmations.
    pub fn start_wait(&mut self, now: Millis, waiter: Waiter, markers: &[Ipv4Addr], write: u64) -> u64 {
        let ticket = self.next_ticket();
        if matches!(waiter, Waiter::Marker(..)) && self.waits.len() >= WAITS_MAX {
            return ticket;
        }
        let behind = self.sessions.iter().filter(|(_, s)| s.last_acknowledged < s.last_sent);
        let sessions = behind.map(|(id, s)| (*id, s.last_sent)).collect();
        let markers = markers.iter().copied().collect();
        let deadline = match waiter {
            Waiter::Call(_) => now + CALL_WAIT,
            Waiter::Marker(..) => now + FORWARDED_WAIT,
        };
        self.waits.push(Wait {
            waiter,
            sessions,
            markers,
            confirmed: BTreeSet::new(),
            ticket,
            write,
            deadline,
        });
        ticket
    }

    /// A new ticket under which another marker can confirm something that no call waits for.
    pub fn next_ticket(&mut self) -> u64 {
        self.last_ticket += 1;
        self.last_ticket
    }

    /// Another marker confirms that all its gatekeepers know what was sent to it under this ticket.
    pub fn on_confirmed(&mut self, from: Ipv4Addr, ticket: u64) {
        for wait in self.waits.iter_mut().filter(|wait| wait.ticket == ticket) {
            wait.markers.remove(&from);
            wait.confirmed.insert(from);
        }
    }

    /// Removes the waits that are over and returns them. All writes up to `durable_ticket` are on disk.
    pub fn finished_waits(&mut self, now: Millis, durable_ticket: u64) -> Vec<FinishedWait> {
        let mut finished = Vec::new();
        self.waits.retain_mut(|wait| {
            let is_durable = wait.write <= durable_ticket;
            let is_over = wait.is_over(now, is_durable);
            if is_over {
                let confirmed_by = std::mem::take(&mut wait.confirmed);
                finished.push(FinishedWait { waiter: wait.waiter, confirmed_by, is_durable });
            }
            !is_over
        });
        finished
    }
}
