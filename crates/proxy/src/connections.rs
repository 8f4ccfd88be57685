//! Clients' connections: how many there are, what each is doing, and when each may close.
//!
//! A connection that is to close first answers every request that it has read: the requests behind the one that is
//! being answered may be at servers already. Each way to close a connection (idle for too long, a head that takes too
//! long, too many connections, the end of the process) goes through [`ClientConnection::request_close`]. From then on
//! the answer behind which nothing has been read closes it; after `CLOSE_WINDOW` nothing more is taken, so that a
//! client that always sends on is led away too.

use crate::pipeline::{EarlyWork, Pipeline, StartEarly};
use hyper::http::request::Parts;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Pipelined requests of a connection whose work may be under way before their turn.
const EARLY_MAX: usize = 8;

/// Connections past which a newcomer evicts whichever has been idle for longest, if it has been idle for at least
/// `EVICTABLE_AFTER`: each takes memory, and clients that are refused come back on new ones.
const COMFORTABLE: usize = 160;
const EVICTABLE_AFTER: Duration = Duration::from_millis(1_500);

/// How long a connection that is to close still takes requests that come behind others.
const CLOSE_WINDOW: Duration = Duration::from_secs(1);

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Nothing, since then.
    Idle(Instant),
    /// The head of a request is coming in, since then.
    Head(Instant),
    /// A request is being answered.
    Busy,
}

/// One client's connection, apart from its socket.
pub struct ClientConnection {
    phase: Cell<Phase>,
    /// Requests that the HTTP library has handed over.
    started: Cell<u64>,
    pipeline: RefCell<Pipeline>,
    /// Since when it is to close.
    closing_since: Cell<Option<Instant>>,
    /// Once nothing more is taken: it closes after the answer to this many requests.
    closes_after: Cell<Option<u64>>,
    close_now: Notify,
    /// The last request was answered before its body was read to its end.
    body_unread: Cell<bool>,
}

impl ClientConnection {
    fn new() -> ClientConnection {
        ClientConnection {
            phase: Cell::new(Phase::Idle(Instant::now())),
            started: Cell::new(0),
            pipeline: RefCell::default(),
            closing_since: Cell::new(None),
            closes_after: Cell::new(None),
            close_now: Notify::new(),
            body_unread: Cell::new(false),
        }
    }

    /// The HTTP library has read a request. It is answered when the result is dropped.
    pub fn begin(self: &Rc<Self>) -> OngoingRequest {
        self.phase.set(Phase::Busy);
        self.started.set(self.started.get() + 1);
        OngoingRequest { connection: self.clone(), number: self.started.get() }
    }

    /// The work on the request that has just begun, if it was started early.
    pub fn take_early(&self, parts: &Parts) -> Option<EarlyWork> {
        let place = self.started.get().checked_sub(1)?;
        self.pipeline.borrow_mut().take(place, parts)
    }

    /// Bytes have come. Pipelined requests among them are started early, unless the connection takes none any more.
    pub fn on_bytes(&self, bytes: &[u8], start_early: &StartEarly) {
        let last = self.last_request();
        if matches!(self.phase.get(), Phase::Idle(_)) {
            self.phase.set(Phase::Head(Instant::now()));
        }
        let mut pipeline = self.pipeline.borrow_mut();
        for (place, parts) in pipeline.feed(bytes) {
            let is_next = place == self.started.get() && self.phase.get() != Phase::Busy;
            let is_past = place < self.started.get();
            let is_taken = last.is_none_or(|last| place < last);
            if is_next || is_past || !is_taken || pipeline.early_count() >= EARLY_MAX {
                continue;
            }
            if let Some(work) = start_early(&parts) {
                pipeline.add_early(EarlyWork::new(place, parts, work));
            }
        }
    }

    /// Has the connection close once every request that it has read is answered. One that is idle closes at once if it
    /// has been so for `patience`.
    pub fn request_close(&self, patience: Duration) {
        if self.closing_since.get().is_none() {
            self.closing_since.set(Some(Instant::now()));
        }
        let is_idle = match self.phase.get() {
            Phase::Busy => false,
            Phase::Idle(since) | Phase::Head(since) => {
                !self.has_waiting_requests() && since.elapsed() >= patience
            }
        };
        if is_idle {
            self.close_now.notify_one();
        }
    }

    /// The number of the last request that is taken, once no more are.
    fn last_request(&self) -> Option<u64> {
        let since = self.closing_since.get()?;
        if self.closes_after.get().is_none() && since.elapsed() >= CLOSE_WINDOW {
            // One that comes to an idle connection is taken as long as that stands.
            self.closes_after.set(Some(self.read().max(self.started.get() + 1)));
        }
        self.closes_after.get()
    }

    /// Completes when the connection is to close at once, or after the request that has just begun.
    pub async fn close_is_due(&self) {
        self.close_now.notified().await;
    }

    /// Whether the last request was answered before its body was read to its end.
    pub fn is_body_unread(&self) -> bool {
        self.body_unread.get()
    }

    /// Notes whether the body of the last request is left unread.
    pub fn set_body_unread(&self, unread: bool) {
        self.body_unread.set(unread);
    }

    fn is_closing(&self) -> bool {
        self.closing_since.get().is_some()
    }

    /// Requests whose whole heads have been read.
    fn read(&self) -> u64 {
        self.pipeline.borrow().heads_read()
    }

    fn has_waiting_requests(&self) -> bool {
        self.read() > self.started.get()
    }
}

/// A request that is being answered.
pub struct OngoingRequest {
    connection: Rc<ClientConnection>,
    /// How many requests of its connection have been started, this one included.
    number: u64,
}

impl OngoingRequest {
    /// Whether the connection closes after its answer, if that is given now.
    pub fn is_last(&self) -> bool {
        let connection = &self.connection;
        let is_past_window = connection.last_request().is_some_and(|last| self.number >= last);
        connection.is_closing() && (connection.read() <= self.number || is_past_window)
    }
}

impl Drop for OngoingRequest {
    fn drop(&mut self) {
        self.connection.phase.set(Phase::Idle(Instant::now()));
    }
}

/// All clients' connections.
#[derive(Default)]
pub struct ClientConnections {
    all: RefCell<BTreeMap<u64, Rc<ClientConnection>>>,
    next_id: Cell<u64>,
}

/// A connection's place among all; free again when dropped.
pub struct ConnectionSlot {
    connections: Rc<ClientConnections>,
    id: u64,
    /// The connection.
    pub connection: Rc<ClientConnection>,
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.connections.all.borrow_mut().remove(&self.id);
    }
}

impl ClientConnections {
    /// A client connects. Where there are many connections, the one that has been idle for longest is told to close.
    pub fn accept(self: &Rc<Self>, most: usize) -> Option<ConnectionSlot> {
        let mut all = self.all.borrow_mut();
        if all.len() >= most.min(COMFORTABLE) {
            let evictable_after = if all.len() >= most { Duration::ZERO } else { EVICTABLE_AFTER };
            if let Some(connection) = longest_idle(all.values(), evictable_after) {
                connection.request_close(Duration::ZERO);
            }
            if all.len() >= most + most / 16 {
                return None;
            }
        }
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let connection = Rc::new(ClientConnection::new());
        all.insert(id, connection.clone());
        Some(ConnectionSlot { connections: self.clone(), id, connection })
    }

    /// Closes those that are idle, or whose head takes, for longer than these times.
    pub fn close_stale(&self, head: Duration, idle: Duration) {
        for connection in self.all.borrow().values() {
            let is_stale = match connection.phase.get() {
                Phase::Idle(since) => since.elapsed() > idle,
                Phase::Head(since) => since.elapsed() > head,
                Phase::Busy => false,
            };
            if is_stale {
                connection.request_close(Duration::ZERO);
            }
        }
    }

    /// Has all close: see [`ClientConnection::request_close`].
    pub fn close_all(&self, patience: Duration) {
        for connection in self.all.borrow().values() {
            connection.request_close(patience);
        }
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.all.borrow().len()
    }
}

fn longest_idle<'c>(
    all: impl Iterator<Item = &'c Rc<ClientConnection>>,
    least: Duration,
) -> Option<&'c Rc<ClientConnection>> {
    let idle = all.filter_map(|connection| match connection.phase.get() {
        Phase::Idle(since) if !connection.is_closing() && since.elapsed() >= least => {
            Some((since, connection))
        }
        _ => None,
    });
    idle.min_by_key(|(since, _)| *since).map(|(_, connection)| connection)
}
