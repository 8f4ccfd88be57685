//! Client connections: their number, their state, and when each may close.
//!
//! A connection that is to close first answers every request that it has read, since pipelined requests
//! behind the current one may already have been forwarded. Every reason to close a connection (idle timeout,
//! header timeout, too many connections, shutdown) goes through [`ClientConnection::request_close`]. From
//! then on the connection closes after a response if no further request has been read. After `CLOSE_WINDOW`
//! it accepts no more requests, so that a client that keeps sending is disconnected too.

use crate::pipeline::{EarlyWork, Pipeline, StartEarly};
use hyper::http::request::Parts;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Pipelined requests of a connection that may be processed ahead of their turn.
const EARLY_MAX: usize = 8;

/// Number of connections from which a new one evicts the longest idle one, if that has been idle for at least
/// `EVICTABLE_IDLE`: each connection takes memory, and refused clients reconnect.
const EVICTION_THRESHOLD: usize = 160;
const EVICTABLE_IDLE: Duration = Duration::from_millis(1_500);

/// How long a connection that is to close still accepts pipelined requests.
const CLOSE_WINDOW: Duration = Duration::from_secs(1);

/// The state of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// No request in progress, since then.
    Idle(Instant),
    /// Receiving the head of a request, since then.
    Head(Instant),
    /// A request is being answered.
    Busy,
}

/// The state of one client connection, without its socket.
pub struct ClientConnection {
    phase: Cell<Phase>,
    /// Requests that hyper has passed to the service.
    started: Cell<u64>,
    pipeline: RefCell<Pipeline>,
    /// When its close was requested.
    closing_since: Cell<Option<Instant>>,
    /// Set once no more requests are accepted: it closes after responding to this many requests.
    closes_after: Cell<Option<u64>>,
    close_now: Notify,
    /// Whether the last request was answered before its body was read completely.
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

    /// Marks the start of a request that hyper has read. It ends when the result is dropped.
    pub fn begin(self: &Rc<Self>) -> OngoingRequest {
        self.phase.set(Phase::Busy);
        self.started.set(self.started.get() + 1);
        OngoingRequest { connection: self.clone(), number: self.started.get() }
    }

    /// Takes the early work on the request that has just begun, if there is any.
    pub fn take_early(&self, parts: &Parts) -> Option<EarlyWork> {
        let index = self.started.get().checked_sub(1)?;
        self.pipeline.borrow_mut().take(index, parts)
    }

    /// Handles received bytes. Starts work on pipelined requests among them, unless the connection accepts no
    /// more.
    pub fn on_bytes(&self, bytes: &[u8], start_early: &StartEarly) {
        let last = self.last_request();
        if matches!(self.phase.get(), Phase::Idle(_)) {
            self.phase.set(Phase::Head(Instant::now()));
        }
        let mut pipeline = self.pipeline.borrow_mut();
        for (index, parts) in pipeline.feed(bytes) {
            let is_next = index == self.started.get() && self.phase.get() != Phase::Busy;
            let is_past = index < self.started.get();
            let is_accepted = last.is_none_or(|last| index < last);
            if is_next || is_past || !is_accepted || pipeline.early_count() >= EARLY_MAX {
                continue;
            }
            if let Some(work) = start_early(&parts) {
                pipeline.add_early(EarlyWork::new(index, parts, work));
            }
        }
    }

    /// Requests that the connection closes once every request that it has read is answered. An idle
    /// connection closes at once if it has been idle for at least `idle_min`.
    pub fn request_close(&self, idle_min: Duration) {
        if self.closing_since.get().is_none() {
            self.closing_since.set(Some(Instant::now()));
        }
        let is_idle = match self.phase.get() {
            Phase::Busy => false,
            Phase::Idle(since) | Phase::Head(since) => {
                !self.has_waiting_requests() && since.elapsed() >= idle_min
            }
        };
        if is_idle {
            self.close_now.notify_one();
        }
    }

    /// The number of the last request that is accepted, once that is fixed.
    fn last_request(&self) -> Option<u64> {
        let since = self.closing_since.get()?;
        if self.closes_after.get().is_none() && since.elapsed() >= CLOSE_WINDOW {
            // While an idle connection is open, the next request on it is still accepted.
            self.closes_after.set(Some(self.heads_read().max(self.started.get() + 1)));
        }
        self.closes_after.get()
    }

    /// Completes when the connection is to close immediately, or after the request that has just begun.
    pub async fn close_is_due(&self) {
        self.close_now.notified().await;
    }

    /// Whether the last request was answered before its body was read completely.
    pub fn is_body_unread(&self) -> bool {
        self.body_unread.get()
    }

    /// Records whether the body of the last request was left unread.
    pub fn set_body_unread(&self, unread: bool) {
        self.body_unread.set(unread);
    }

    fn is_closing(&self) -> bool {
        self.closing_since.get().is_some()
    }

    /// Number of requests whose complete heads have been read.
    fn heads_read(&self) -> u64 {
        self.pipeline.borrow().heads_read()
    }

    fn has_waiting_requests(&self) -> bool {
        self.heads_read() > self.started.get()
    }
}

/// A request in progress on a connection.
pub struct OngoingRequest {
    connection: Rc<ClientConnection>,
    /// Number of the request on its connection, counted from 1.
    number: u64,
}

impl OngoingRequest {
    /// Whether the connection closes after the response, if it is sent now.
    pub fn is_last(&self) -> bool {
        let connection = &self.connection;
        let is_past_window = connection.last_request().is_some_and(|last| self.number >= last);
        connection.is_closing() && (connection.heads_read() <= self.number || is_past_window)
    }
}

impl Drop for OngoingRequest {
    fn drop(&mut self) {
        self.connection.phase.set(Phase::Idle(Instant::now()));
    }
}

/// All client connections.
#[derive(Default)]
pub struct ClientConnections {
    all: RefCell<BTreeMap<u64, Rc<ClientConnection>>>,
    next_id: Cell<u64>,
}

/// A connection's entry in [`ClientConnections`]; removed when dropped.
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
    /// Registers a new connection; `None` if there are too many. If there are many, requests that the longest
    /// idle one closes.
    pub fn accept(self: &Rc<Self>, connections_max: usize) -> Option<ConnectionSlot> {
        let mut all = self.all.borrow_mut();
        if all.len() >= connections_max.min(EVICTION_THRESHOLD) {
            let evictable_idle = if all.len() >= connections_max { Duration::ZERO } else { EVICTABLE_IDLE };
            if let Some(connection) = longest_idle(all.values(), evictable_idle) {
                connection.request_close(Duration::ZERO);
            }
            if all.len() >= connections_max + connections_max / 16 {
                return None;
            }
        }
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let connection = Rc::new(ClientConnection::new());
        all.insert(id, connection.clone());
        Some(ConnectionSlot { connections: self.clone(), id, connection })
    }

    /// Closes connections that have been idle, or receiving a request head, for longer than these times.
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

    /// Requests that all connections close, see [`ClientConnection::request_close`].
    pub fn close_all(&self, idle_min: Duration) {
        for connection in self.all.borrow().values() {
            connection.request_close(idle_min);
        }
    }

    /// Number of open connections.
    pub fn count(&self) -> usize {
        self.all.borrow().len()
    }
}

fn longest_idle<'c>(
    all: impl Iterator<Item = &'c Rc<ClientConnection>>,
    idle_min: Duration,
) -> Option<&'c Rc<ClientConnection>> {
    let idle = all.filter_map(|connection| match connection.phase.get() {
        Phase::Idle(since) if !connection.is_closing() && since.elapsed() >= idle_min => {
            Some((since, connection))
        }
        _ => None,
    });
    idle.min_by_key(|(since, _)| *since).map(|(_, connection)| connection)
}
