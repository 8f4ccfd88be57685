//! What all requests of a gatekeeper share, and the answers that it gives itself.

use crate::break_offs::BreakOffs;
use crate::drain::Drain;
use crate::gate::{Gate, Pass, Refusal};
use crate::messages::{whole, ResponseBody};
use crate::pool::ConnectionPool;
use crate::Millis;
use bytes::Bytes;
use granitelead_common::configuration::RetrySafety;
use granitelead_common::error_kinds::ErrorKind;
use hyper::header::{HeaderValue, HOST, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::Response;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// What all requests of a gatekeeper share.
pub struct Front {
    /// What it holds.
    pub gate: RefCell<Gate>,
    /// Its connections to servers.
    pub pool: Rc<ConnectionPool>,
    /// Told when a server has room again, or there is another.
    pub room: Notify,
    /// Told when a marker has told something.
    pub news: Notify,
    /// Requests that are not answered yet.
    pub open: Cell<usize>,
    /// Bytes of requests held at once, and how many there may be.
    pub held: Cell<usize>,
    /// See [`Front::held`].
    pub held_max: usize,
    /// Requests that were broken off at servers.
    pub break_offs: BreakOffs,
    drain_begun: Notify,
    begun: Instant,
}

impl Front {
    /// With nothing under way; the bytes of requests held at once are bounded.
    pub fn new(gate: Gate, pool: ConnectionPool, held_max: usize) -> Front {
        Front {
            gate: RefCell::new(gate),
            pool: Rc::new(pool),
            room: Notify::new(),
            news: Notify::new(),
            open: Cell::new(0),
            held: Cell::new(0),
            held_max,
            break_offs: BreakOffs::default(),
            drain_begun: Notify::new(),
            begun: Instant::now(),
        }
    }

    /// The time on this process's clock.
    pub fn now(&self) -> Millis {
        self.begun.elapsed().as_millis() as Millis
    }

    /// Whether the work on a request may start before its turn: only if its route's requests may run more than once.
    pub fn may_start_early(&self, parts: &Parts) -> bool {
        let host = parts.headers.get(HOST).and_then(|host| host.to_str().ok()).unwrap_or_default();
        let gate = self.gate.borrow();
        let route = gate.configuration.as_ref().and_then(|c| c.route(host, parts.uri.path()));
        route.is_some_and(|route| route.retry_safety == RetrySafety::Idempotent)
    }

    /// Completes at this time of the process's clock.
    pub async fn sleep_until(&self, at: Millis) {
        tokio::time::sleep_until(self.begun + Duration::from_millis(at)).await;
    }

    /// Begins to end: clients are led elsewhere, and what can't be answered in the grace period is refused.
    pub fn begin_drain(&self, grace: Duration) -> Drain {
        let drain = Drain::new(self.now(), grace.as_millis() as Millis);
        self.gate.borrow_mut().drain = Some(drain);
        self.drain_begun.notify_waiters();
        drain
    }

    /// How the process ends, once it has been told to.
    pub fn drain(&self) -> Option<Drain> {
        self.gate.borrow().drain
    }

    /// Completes when [`Front::begin_drain`] is called.
    pub async fn draining(&self) {
        self.drain_begun.notified().await;
    }

    /// The final answer where no server's is passed on.
    pub fn refuse(&self, kind: ErrorKind, pass: Option<&Pass>) -> Response<ResponseBody> {
        self.refuse_for(kind.into(), pass)
    }

    /// The same, with what is known of when to come back.
    pub fn refuse_for(&self, refusal: Refusal, pass: Option<&Pass>) -> Response<ResponseBody> {
        let row = refusal.kind.response();
        let mut response = Response::new(whole(Bytes::from(format!("{}: {}\n", row.name, row.advice))));
        *response.status_mut() = hyper::StatusCode::from_u16(row.status).unwrap_or_default();
        if row.not_executed {
            let aim = pass.map_or(200, |pass| pass.route().target.as_millis() as Millis);
            let wait = self.gate.borrow_mut().come_back(aim, refusal.wait);
            let text = format!("{:.3}", wait as f64 / 1e3);
            if let Ok(value) = HeaderValue::from_str(&text) {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
        }
        response
    }
}
