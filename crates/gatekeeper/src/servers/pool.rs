//! Connection pools for the servers: sends request attempts over pooled connections and classifies how they
//! end.

use crate::body::{self, read_response_body, BodyError, BufferBudget, OutgoingBody, ReceivedBody, Upload};
use crate::config::Config;
use crate::servers::dial_queue::{DialDecision, DialMetrics, DialQueue};
use crate::timeouts::{SERVER_ACK_TIMEOUT, STREAM_STALL_TIMEOUT};
use granitelead_base::connection::{ConnectionHandle, ConnectionIo, Slot};
use granitelead_base::{log_throttled, parse_positive_decimal};
use granitelead_decisions::{Outcome, ServerId};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HeaderMap, HeaderValue, CONTENT_LENGTH, CONTENT_TYPE, HOST, TRANSFER_ENCODING};
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::{sleep_until, timeout, timeout_at, Duration, Instant};

/// Value of the Host header in requests to servers.
const SERVER_HOST: &str = "backend.local";
/// Maximum number of idle connections to one server.
const IDLE_MAX: usize = 32;
/// Interval at which the timeout of an attempt is checked while its body is still being uploaded.
const UPLOAD_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum buffer size of a connection, in bytes.
const BUFFER_MAX: usize = 16 * 1024;
/// Timeout for a connection to become ready again after its response has been read.
const READY_TIMEOUT: Duration = Duration::from_millis(250);

/// The parts of a client request that are forwarded to a server unchanged.
pub struct Parts {
    /// `GET` or `POST`.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// The client's request id.
    pub id: HeaderValue,
    /// The client's idempotency key, by which servers detect duplicates.
    pub key: Option<HeaderValue>,
    /// Content type of the body, if the client sent one.
    pub content_type: Option<HeaderValue>,
    /// The body.
    pub body: body::RequestBody,
}

impl Parts {
    /// Returns the part of the body that the client has yet to send.
    pub fn upload(&self) -> Option<&Rc<Upload>> {
        self.body.rest.as_ref()
    }

    /// Returns whether a part of the body has been consumed and cannot be sent again.
    pub fn is_consumed(&self) -> bool {
        self.upload().is_some_and(|upload| upload.is_consumed())
    }
}

/// A successful response of a server.
pub struct Served {
    /// The body, unchanged.
    pub body: ReceivedBody,
    /// Content type of the body.
    pub content_type: Option<HeaderValue>,
}

/// The result of an attempt.
pub struct AttemptResult {
    /// How the attempt ended.
    pub outcome: Outcome,
    /// The actual cost of the request in units, if the server reported it.
    pub true_units: Option<f64>,
    /// The response, if successful.
    pub served: Option<Served>,
    /// The connection, if it can be reused.
    conn: Option<Conn>,
}

impl AttemptResult {
    /// Splits off the connection, which is given back once the response body has been received.
    pub fn connection(&mut self) -> AttemptResult {
        AttemptResult { conn: self.conn.take(), ..AttemptResult::from(self.outcome) }
    }
}

impl From<Outcome> for AttemptResult {
    fn from(outcome: Outcome) -> Self {
        AttemptResult { outcome, true_units: None, served: None, conn: None }
    }
}

/// Progress of an attempt, for code that may cancel it.
#[derive(Default)]
pub struct Progress {
    handle: RefCell<Option<(Rc<ConnectionHandle>, WriteCompletion)>>,
}

/// Condition under which a request counts as completely written.
enum WriteCompletion {
    /// This many bytes have been written on its connection.
    BytesWritten(u64),
    /// The last byte of the client's upload has been forwarded.
    Upload(Rc<Upload>),
}

impl Progress {
    /// Returns whether the attempt is still waiting for a connection.
    pub fn awaits_connection(&self) -> bool {
        self.handle.borrow().is_none()
    }

    /// Closes the attempt's connection immediately. Returns whether a server may have received the whole
    /// request.
    pub fn abort(&self) -> bool {
        match self.handle.borrow_mut().take() {
            None => false,
            Some((handle, completion)) => {
                handle.close();
                match completion {
                    WriteCompletion::BytesWritten(threshold) => handle.bytes_written() >= threshold,
                    WriteCompletion::Upload(upload) => upload.completed_at().is_some(),
                }
            }
        }
    }

    /// Records the connection of the attempt; from here on the request may be written.
    fn begin(&self, handle: &Rc<ConnectionHandle>, parts: &Parts) {
        let completion = match parts.upload() {
            Some(upload) => WriteCompletion::Upload(upload.clone()),
            None => {
                let threshold = handle.bytes_written() + 1 + parts.body.buffered.len() as u64;
                handle.expect_request_end(threshold);
                WriteCompletion::BytesWritten(threshold)
            }
        };
        *self.handle.borrow_mut() = Some((handle.clone(), completion));
    }
}

/// An established HTTP connection to a server.
struct Conn {
    sender: SendRequest<OutgoingBody>,
    handle: Rc<ConnectionHandle>,
    idle_since: Instant,
    used: bool,
    /// Current TCP user timeout: how long the server may leave data unacknowledged.
    ack_timeout: Duration,
    /// The connection's slot in the limit of its server.
    _server_slot: Slot,
}

impl Drop for Conn {
    fn drop(&mut self) {
        self.handle.close();
    }
}

struct Pool {
    addr: SocketAddr,
    boot_ms: u64,
    ready: bool,
    idle: Vec<Conn>,
    /// Number of connections: idle, in use and being dialed.
    open: Rc<Cell<usize>>,
}

impl Pool {
    fn in_use(&self) -> usize {
        self.open.get() - self.idle.len()
    }
}

/// What a waiter receives: a connection, or the outcome of its attempt.
type Assignment = Result<Conn, Outcome>;

/// An attempt that waits for a connection. When dropped, a connection that was assigned but not taken goes
/// to the next waiter.
struct Waiter {
    servers: Rc<Servers>,
    server: ServerId,
    number: u64,
    assignment: oneshot::Receiver<Assignment>,
}

impl Drop for Waiter {
    fn drop(&mut self) {
        self.servers.waiters.borrow_mut().remove(&self.number);
        self.servers.dials.borrow_mut().remove_waiter(self.server, self.number);
        if let Ok(Ok(conn)) = self.assignment.try_recv() {
            self.servers.release(self.server, conn);
        }
    }
}

/// Why a connection was not established.
enum DialError {
    /// The connection limit is reached, or the server's instance is no longer listed.
    NoCapacity,
    /// The server is unreachable.
    Unreachable,
}

/// Connection pools of all servers.
pub struct Servers {
    pools: RefCell<HashMap<ServerId, Pool>>,
    /// Servers excluded by operators: they get no new requests, whatever the list says.
    excluded: RefCell<HashSet<ServerId>>,
    open: Rc<Cell<usize>>,
    max_connections: Cell<usize>,
    per_server: usize,
    dials: RefCell<DialQueue>,
    /// Channels to the attempts that wait for a connection, by number.
    waiters: RefCell<HashMap<u64, oneshot::Sender<Assignment>>>,
    last_waiter: Cell<u64>,
    connect_timeout: Duration,
    idle_timeout: Duration,
    requests_written: Rc<Cell<u64>>,
    buffer_budget: BufferBudget,
    event_count: Cell<u64>,
    socket_option_errors: Cell<u64>,
}

impl Servers {
    /// Creates the pools without any server. Idle connections are closed after half of the servers' own idle
    /// timeout: a request sent while the server closes the connection ends in a reset, after which it may
    /// or may not have run. `requests_written` counts completely written requests.
    pub fn new(config: &Config, requests_written: Rc<Cell<u64>>, buffer_budget: BufferBudget) -> Rc<Self> {
        Rc::new(Servers {
            pools: RefCell::default(),
            excluded: RefCell::default(),
            open: Rc::default(),
            max_connections: Cell::new(config.servers_max),
            per_server: config.per_server_max,
            dials: RefCell::new(DialQueue::new(config.settings.instances, config.seed)),
            waiters: RefCell::default(),
            last_waiter: Cell::new(0),
            connect_timeout: config.connect_timeout,
            idle_timeout: config.server_idle / 2,
            requests_written,
            buffer_budget,
            event_count: Cell::new(0),
            socket_option_errors: Cell::new(0),
        })
    }

    /// Records the address, start time and readiness of a server. Idle connections to a server that is not
    /// ready, or to a former instance of it, are closed: a request written to a dead process ends in a
    /// reset, and a non-idempotent one would then fail needlessly.
    pub fn list(&self, id: ServerId, addr: SocketAddr, boot_ms: u64, ready: bool) {
        let mut pools = self.pools.borrow_mut();
        let new = || Pool { addr, boot_ms, ready, idle: Vec::new(), open: Rc::default() };
        let pool = pools.entry(id).or_insert_with(new);
        let replaced = (pool.addr, pool.boot_ms) != (addr, boot_ms);
        if replaced || !ready {
            pool.idle.clear();
        }
        (pool.addr, pool.boot_ms, pool.ready) = (addr, boot_ms, ready);
        drop(pools);
        if replaced {
            self.reset_dials(id);
        }
    }

    /// Discards the dial state of a server and fails the attempts that wait for it.
    fn reset_dials(&self, id: ServerId) {
        let waiters = self.dials.borrow_mut().reset(id);
        waiters.into_iter().for_each(|number| drop(self.assign(number, Err(Outcome::NotSent))));
    }

    /// Removes a server.
    pub fn unlist(&self, id: ServerId) {
        self.pools.borrow_mut().remove(&id);
        self.reset_dials(id);
    }

    /// Removes all servers except these.
    pub fn retain(&self, listed: &HashSet<ServerId>) {
        let others =
            self.pools.borrow().keys().filter(|id| !listed.contains(id)).copied().collect::<Vec<_>>();
        others.into_iter().for_each(|id| self.unlist(id));
    }

    /// Returns whether the server is listed or excluded by operators.
    pub fn is_known(&self, id: ServerId) -> bool {
        self.pools.borrow().contains_key(&id) || self.excluded.borrow().contains(&id)
    }

    /// Sets the maximum number of connections and closes idle ones in excess of it.
    pub fn set_max_connections(&self, max: usize) {
        self.max_connections.set(max);
        let mut pools = self.pools.borrow_mut();
        for pool in pools.values_mut() {
            while self.open.get() > max && pool.idle.pop().is_some() {}
        }
    }

    /// Returns the number of open connections.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Returns the number of listed servers.
    pub fn listed(&self) -> usize {
        self.pools.borrow().len()
    }

    /// Excludes a server or includes it again.
    pub fn set_excluded(&self, id: ServerId, excluded: bool) {
        if !excluded {
            self.excluded.borrow_mut().remove(&id);
        } else if self.excluded.borrow_mut().insert(id) {
            // The server may have been restarted by the time it is included again.
            self.pools.borrow_mut().entry(id).and_modify(|pool| pool.idle.clear());
        }
    }

    /// Returns whether new requests may be sent to this server: it is listed as ready and not excluded.
    pub fn takes_work(&self, id: ServerId) -> bool {
        let listed = self.pools.borrow().get(&id).is_some_and(|pool| pool.ready);
        listed && !self.excluded.borrow().contains(&id)
    }

    /// Closes idle connections that have timed out or that exceed the recent peak usage.
    pub fn retire_idle(&self) {
        let mut dials = self.dials.borrow_mut();
        dials.advance(now());
        for (id, pool) in self.pools.borrow_mut().iter_mut() {
            pool.idle
                .retain(|conn| conn.idle_since.elapsed() < self.idle_timeout && !conn.sender.is_closed());
            let spare = dials.recent_peak(*id).saturating_sub(pool.in_use());
            pool.idle.drain(..pool.idle.len().saturating_sub(spare));
        }
    }

    /// Returns the metrics of connections to servers.
    pub fn metrics(&self) -> Vec<(String, u64)> {
        let idle: usize = self.pools.borrow().values().map(|pool| pool.idle.len()).sum();
        let DialMetrics { started, failed, waited, rejected } = self.dials.borrow().metrics;
        [
            ("server_connections", self.open.get() as u64),
            ("server_connections_idle", idle as u64),
            ("handshakes", started),
            ("handshakes_failed", failed),
            ("handshakes_waited_for", waited),
            ("handshakes_held_off", rejected),
        ]
        .map(|(name, value)| (name.to_owned(), value))
        .to_vec()
    }

    /// Sends a request once and waits for its response: the whole body if it is short, else its beginning.
    pub async fn attempt(
        self: &Rc<Self>,
        server: ServerId,
        parts: &Parts,
        time: Duration,
        progress: &Progress,
    ) -> AttemptResult {
        let deadline = Instant::now() + time;
        loop {
            if parts.is_consumed() {
                return Outcome::NotSent.into();
            }
            let mut conn = match self.acquire(server, deadline).await {
                Ok(conn) => conn,
                Err(outcome) => return outcome.into(),
            };
            // The list may have changed while the attempt waited for a connection; its current state decides.
            if !self.takes_work(server) {
                return Outcome::NotSent.into();
            }
            let ack_timeout =
                if parts.upload().is_some() { STREAM_STALL_TIMEOUT } else { SERVER_ACK_TIMEOUT };
            if std::mem::replace(&mut conn.ack_timeout, ack_timeout) != ack_timeout {
                conn.handle.set_user_timeout(ack_timeout, &self.socket_option_errors);
            }
            progress.begin(&conn.handle, parts);
            let ended = tokio::select! {
                ended = exchange(&mut conn.sender, parts, deadline, &self.buffer_budget) => Some(ended),
                () = expired(parts, deadline, time) => None,
            };
            if let Some(Ok(response)) = ended {
                return self.classify(response, conn);
            }
            let (used, written) = (conn.used, progress.abort());
            if conn.handle.has_timed_out() {
                // The other connections lead to the same unresponsive machine.
                self.pools.borrow_mut().entry(server).and_modify(|pool| pool.idle.clear());
            }
            drop(conn);
            match ended {
                // A reused connection was closed by the server before the request was completely written:
                // this does not count as an attempt.
                Some(Err(_)) if used && !written && !parts.is_consumed() => continue,
                _ if !written => return Outcome::ConnectFailed.into(),
                Some(Err(BodyError::TooLong)) => {
                    log_throttled(&self.event_count, format_args!("server {}: response too large", server.0));
                    return Outcome::Error.into();
                }
                Some(_) => return Outcome::Reset.into(),
                None => return Outcome::Timeout.into(),
            }
        }
    }

    /// Returns the connection of an attempt to the pool once it is ready for another request.
    pub async fn give_back(self: &Rc<Self>, server: ServerId, attempted: AttemptResult) {
        let Some(mut conn) = attempted.conn else {
            // A connection was closed, which may make capacity for another.
            return self.dial_for_waiters();
        };
        if !matches!(timeout(READY_TIMEOUT, conn.sender.ready()).await, Ok(Ok(()))) {
            return;
        }
        conn.used = true;
        self.release(server, conn);
    }

    /// Assigns a free connection to the oldest waiter, or adds it to the idle connections.
    fn release(&self, server: ServerId, mut conn: Conn) {
        if !self.takes_work(server) {
            return;
        }
        loop {
            let Some(number) = self.dials.borrow_mut().next_waiter(server) else { break };
            match self.assign(number, Ok(conn)) {
                Some(Ok(returned)) => conn = returned,
                _ => return,
            }
        }
        if let Some(pool) = self.pools.borrow_mut().get_mut(&server) {
            if pool.idle.len() < IDLE_MAX {
                (conn.idle_since, conn.used) = (Instant::now(), true);
                pool.idle.push(conn);
            }
        }
    }

    /// Sends an assignment to a waiter; returns it if the waiter no longer exists.
    fn assign(&self, number: u64, assignment: Assignment) -> Option<Assignment> {
        let waiter = self.waiters.borrow_mut().remove(&number);
        match waiter {
            Some(waiter) => waiter.send(assignment).err(),
            None => Some(assignment),
        }
    }

    /// Takes the most recently used idle connection that is still usable.
    fn take_idle(&self, server: ServerId) -> Option<Conn> {
        let mut pools = self.pools.borrow_mut();
        let pool = pools.get_mut(&server)?;
        while let Some(conn) = pool.idle.pop() {
            if conn.idle_since.elapsed() < self.idle_timeout && conn.sender.is_ready() {
                return Some(conn);
            }
        }
        None
    }

    /// Takes an idle connection, or waits for the first that is returned or dialed.
    async fn acquire(self: &Rc<Self>, server: ServerId, deadline: Instant) -> Result<Conn, Outcome> {
        if !self.takes_work(server) {
            return Err(Outcome::NotSent);
        }
        let assignment = match self.take_idle(server) {
            Some(conn) => Ok(conn),
            None => self.wait_for_connection(server, deadline).await,
        };
        if let Some(pool) = self.pools.borrow().get(&server) {
            self.dials.borrow_mut().record_in_use(server, pool.in_use());
        }
        assignment
    }

    async fn wait_for_connection(self: &Rc<Self>, server: ServerId, deadline: Instant) -> Assignment {
        self.last_waiter.set(self.last_waiter.get() + 1);
        let number = self.last_waiter.get();
        let decision = self.dials.borrow_mut().request(server, number, self.may_open(server), now());
        if decision == DialDecision::Backoff {
            return Err(Outcome::ConnectFailed);
        }
        let (sender, assignment) = oneshot::channel();
        self.waiters.borrow_mut().insert(number, sender);
        let mut waiter = Waiter { servers: self.clone(), server, number, assignment };
        if decision == DialDecision::Open {
            self.spawn_dial(server);
        }
        // An unreachable machine may never refuse the connection, so the wait needs its own timeout.
        let until = deadline.min(Instant::now() + self.connect_timeout);
        match timeout_at(until, &mut waiter.assignment).await {
            Ok(Ok(assignment)) => assignment,
            Ok(Err(_)) => Err(Outcome::NotSent),
            Err(_) => Err(Outcome::ConnectFailed),
        }
    }

    /// Dials a connection in the background, for the oldest waiter at the time when it is established.
    fn spawn_dial(self: &Rc<Self>, server: ServerId) {
        let server_slot =
            self.pools.borrow().get(&server).and_then(|pool| Slot::acquire(&pool.open, self.per_server));
        let this = self.clone();
        tokio::task::spawn_local(async move {
            let dialed = this.dial(server, server_slot).await;
            let failed = match &dialed {
                Ok(_) => this.dials.borrow_mut().dial_finished(server, true, now()),
                Err(DialError::Unreachable) => this.dials.borrow_mut().dial_finished(server, false, now()),
                Err(DialError::NoCapacity) => {
                    this.dials.borrow_mut().dial_skipped(server).into_iter().collect()
                }
            };
            let outcome = match &dialed {
                Err(DialError::NoCapacity) => Outcome::NotSent,
                _ => Outcome::ConnectFailed,
            };
            failed.into_iter().for_each(|number| drop(this.assign(number, Err(outcome))));
            if let Ok(conn) = dialed {
                this.release(server, conn);
            }
            this.dial_for_waiters();
        });
    }

    /// Dials connections for waiters, within the limits.
    fn dial_for_waiters(self: &Rc<Self>) {
        let servers = self.dials.borrow().servers_to_dial();
        for server in servers {
            while self.may_open(server) && self.dials.borrow_mut().start_dial(server) {
                self.spawn_dial(server);
            }
        }
    }

    /// Returns whether the server's connection limit allows a further connection.
    fn may_open(&self, server: ServerId) -> bool {
        self.pools.borrow().get(&server).is_some_and(|pool| pool.open.get() < self.per_server)
    }

    async fn dial(&self, server: ServerId, server_slot: Option<Slot>) -> Result<Conn, DialError> {
        let (addr, boot_ms) = {
            let pools = self.pools.borrow();
            let pool = pools.get(&server).ok_or(DialError::NoCapacity)?;
            (pool.addr, pool.boot_ms)
        };
        let server_slot = server_slot.ok_or(DialError::NoCapacity)?;
        let slot = Slot::acquire(&self.open, self.max_connections.get()).or_else(|| {
            self.close_oldest_idle();
            Slot::acquire(&self.open, self.max_connections.get())
        });
        let slot = slot.ok_or(DialError::NoCapacity)?;
        let connected = timeout(self.connect_timeout, TcpStream::connect(addr)).await;
        let Ok(Ok(stream)) = connected else { return Err(DialError::Unreachable) };
        let is_same_instance = |pool: &Pool| (pool.addr, pool.boot_ms) == (addr, boot_ms);
        if !self.pools.borrow().get(&server).is_some_and(is_same_instance) {
            // The connection leads to a former instance of the server.
            return Err(DialError::NoCapacity);
        }
        let _ = stream.set_nodelay(true);
        let handle = ConnectionHandle::with_request_counter(stream, slot, self.requests_written.clone());
        let io = TokioIo::new(ConnectionIo(handle.clone()));
        let built = http1::Builder::new().max_buf_size(BUFFER_MAX).handshake(io).await;
        let (sender, driver) = built.map_err(|_| DialError::Unreachable)?;
        let task = tokio::task::spawn_local(async move {
            // The attempt that uses the connection gets the error through its sender.
            let _ = driver.await;
        });
        handle.set_driver(task.abort_handle());
        let (idle_since, ack_timeout) = (Instant::now(), Duration::ZERO);
        Ok(Conn { sender, handle, idle_since, used: false, ack_timeout, _server_slot: server_slot })
    }

    fn close_oldest_idle(&self) {
        let mut pools = self.pools.borrow_mut();
        let oldest =
            pools.values_mut().filter(|pool| !pool.idle.is_empty()).min_by_key(|p| p.idle[0].idle_since);
        if let Some(pool) = oldest {
            pool.idle.remove(0);
        }
    }

    /// Derives the result of an attempt from a complete response.
    fn classify(&self, (status, headers, body): ServerResponse, conn: Conn) -> AttemptResult {
        let not_started = headers.get("not-started").is_some_and(|value| value == "1");
        let outcome = match status {
            StatusCode::OK => Outcome::Ok,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if not_started => Outcome::Full,
            // Unless the server states that the request was not started, it may have run.
            _ => Outcome::Error,
        };
        let good = outcome == Outcome::Ok;
        let served = good.then(|| Served { body, content_type: headers.get(CONTENT_TYPE).cloned() });
        let true_units = headers
            .get("x-cost-units")
            .filter(|_| good)
            .and_then(|v| parse_positive_decimal(v.to_str().ok()?));
        AttemptResult { outcome, true_units, served, conn: Some(conn) }
    }
}

fn now() -> std::time::Instant {
    Instant::now().into_std()
}

type ServerResponse = (StatusCode, HeaderMap, ReceivedBody);

/// Returns when an attempt has timed out. Its time starts with the last byte of the request; while the body
/// is being uploaded, only a stalled upload times out.
async fn expired(parts: &Parts, deadline: Instant, time: Duration) {
    let Some(upload) = parts.upload() else { return sleep_until(deadline).await };
    loop {
        let until = upload
            .completed_at()
            .map_or(upload.last_progress().max(deadline - time) + STREAM_STALL_TIMEOUT, |at| at + time);
        if Instant::now() >= until {
            return;
        }
        // The upload may end meanwhile, which can shorten the time left.
        sleep_until(until.min(Instant::now() + UPLOAD_POLL_INTERVAL)).await;
    }
}

async fn exchange(
    sender: &mut SendRequest<OutgoingBody>,
    parts: &Parts,
    deadline: Instant,
    buffer_budget: &BufferBudget,
) -> Result<ServerResponse, BodyError> {
    let mut request = Request::new(OutgoingBody::new(&parts.body));
    *request.method_mut() = parts.method.clone();
    *request.uri_mut() = parts.uri.clone();
    let headers = request.headers_mut();
    headers.insert(HOST, HeaderValue::from_static(SERVER_HOST));
    headers.insert("request-id", parts.id.clone());
    if let Some(key) = &parts.key {
        headers.insert("idempotency-key", key.clone());
    }
    let left = deadline.saturating_duration_since(Instant::now());
    if let Ok(value) = HeaderValue::from_str(&format!("{:.3}", left.as_secs_f64())) {
        headers.insert("request-timeout", value);
    }
    if let Some(value) = &parts.content_type {
        headers.insert(CONTENT_TYPE, value.clone());
    }
    let response: Response<Incoming> =
        sender.send_request(request).await.map_err(|_| BodyError::Connection)?;
    let (head, body) = response.into_parts();
    if head.headers.contains_key(CONTENT_LENGTH) && head.headers.contains_key(TRANSFER_ENCODING) {
        // With both framing headers it is ambiguous where the body ends.
        return Err(BodyError::Connection);
    }
    let body = read_response_body(body, buffer_budget, head.status == StatusCode::OK).await?;
    Ok((head.status, head.headers, body))
}
