//! State shared by all requests of a gatekeeper, and the error responses that it generates itself.

use crate::aborts::AbortCounts;
use crate::drain::Drain;
use crate::gate::{AdmittedRequest, Gate, Refusal};
use crate::messages::{full_body, ResponseBody};
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

/// State shared by all requests of a gatekeeper.
pub struct SharedState {
    /// Configuration, servers, quotas and limits, by which requests are admitted.
    pub gate: RefCell<Gate>,
    /// Connections to servers.
    pub pool: Rc<ConnectionPool>,
    /// Notified when a request has ended at a server or an update of the servers has arrived.
    pub capacity_freed: Notify,
    /// Notified when a message from a marker has been processed.
    pub marker_updates: Notify,
    /// Requests in progress.
    pub open_requests: Cell<usize>,
    /// Bytes of request bodies that are buffered now.
    pub buffered_bytes: Cell<usize>,
    /// Most bytes of request bodies that may be buffered at once.
    pub buffered_bytes_max: usize,
    /// Counts of aborted attempts at servers.
    pub aborts: AbortCounts,
    drain_started: Notify,
    started_at: Instant,
}

impl SharedState {
    /// Creates the state without any requests; `buffered_bytes_max` limits the buffered bytes of request
    /// bodies.
    pub fn new(gate: Gate, pool: ConnectionPool, buffered_bytes_max: usize) -> SharedState {
        SharedState {
            gate: RefCell::new(gate),
            pool: Rc::new(pool),
            capacity_freed: Notify::new(),
            marker_updates: Notify::new(),
            open_requests: Cell::new(0),
            buffered_bytes: Cell::new(0),
            buffered_bytes_max,
            aborts: AbortCounts::default(),
            drain_started: Notify::new(),
            started_at: Instant::now(),
        }
    }

    /// Time since the start of the gatekeeper.
    pub fn now(&self) -> Millis {
        self.started_at.elapsed().as_millis() as Millis
    }

    /// Whether work on a pipelined request may start ahead of its turn: only if its route's requests are
    /// idempotent.
    pub fn may_start_early(&self, parts: &Parts) -> bool {
        let host = parts.headers.get(HOST).and_then(|host| host.to_str().ok()).unwrap_or_default();
        let gate = self.gate.borrow();
        let route = gate.configuration.as_ref().and_then(|c| c.route(host, parts.uri.path()));
        route.is_some_and(|route| route.retry_safety == RetrySafety::Idempotent)
    }

    /// Completes at this time, as given by [`SharedState::now`].
    pub async fn sleep_until(&self, at: Millis) {
        tokio::time::sleep_until(self.started_at + Duration::from_millis(at)).await;
    }

    /// Begins the drain: readiness fails, and requests that can't be answered in the grace period are
    /// rejected.
    pub fn begin_drain(&self, grace: Duration) -> Drain {
        let drain = Drain::new(self.now(), grace.as_millis() as Millis);
        self.gate.borrow_mut().drain = Some(drain);
        self.drain_started.notify_waiters();
        drain
    }

    /// The schedule of the drain, once it has begun.
    pub fn drain(&self) -> Option<Drain> {
        self.gate.borrow().drain
    }

    /// Completes when [`SharedState::begin_drain`] is called.
    pub async fn drain_started(&self) {
        self.drain_started.notified().await;
    }

    /// The error response of this kind, for a request that gets no response from a server.
    pub fn refuse(&self, kind: ErrorKind, pass: Option<&AdmittedRequest>) -> Response<ResponseBody> {
        self.refuse_for(kind.into(), pass)
    }

    /// Like [`SharedState::refuse`], with `Retry-After` computed from the refusal's wait.
    pub fn refuse_for(&self, refusal: Refusal, pass: Option<&AdmittedRequest>) -> Response<ResponseBody> {
        let error_response = refusal.kind.response();
        let mut response = Response::new(full_body(Bytes::from(format!(
            "{}: {}\n",
            error_response.name, error_response.advice
        ))));
        *response.status_mut() = hyper::StatusCode::from_u16(error_response.status).unwrap_or_default();
        if error_response.not_executed {
            let target_latency = pass.map_or(200, |pass| pass.route().target.as_millis() as Millis);
            let wait = self.gate.borrow_mut().retry_delay(target_latency, refusal.retry_after);
            let text = format!("{:.3}", wait as f64 / 1e3);
            if let Ok(value) = HeaderValue::from_str(&text) {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
        }
        response
    }
}
