//! The servers' side: pooled connections, attempts, and what an attempt's end proves.

use crate::body::{self, gather, Broken, Gathered, Outgoing, Room, Upload};
use crate::config::Config;
use crate::servers::dials::{Ask, Dialed, Dials};
use crate::times::{FLOW_STALL, SERVER_ACK};
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

/// The name under which servers serve.
const SERVICE: &str = "backend.local";
/// Idle connections kept to one server.
const IDLE_MAX: usize = 32;
/// How often the time of an attempt whose body still comes is looked at.
const LOOK_AGAIN: Duration = Duration::from_millis(50);
/// The largest buffer of a connection, bytes.
const BUFFER_MAX: usize = 16 * 1024;
/// How long a connection may take to be ready again once its answer has been read.
const SETTLE: Duration = Duration::from_millis(250);

/// What goes on to a server unchanged.
pub struct Parts {
    /// `GET` or `POST`.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// The client's id for it.
    pub id: HeaderValue,
    /// The client's key, by which servers drop repeats.
    pub key: Option<HeaderValue>,
    /// The client's word on what the body is.
    pub content_type: Option<HeaderValue>,
    /// The body.
    pub body: body::Request,
}

impl Parts {
    /// The part of the body that is still at the client.
    pub fn upload(&self) -> Option<&Rc<Upload>> {
        self.body.rest.as_ref()
    }

    /// Whether some of it can't be sent again.
    pub fn is_spent(&self) -> bool {
        self.upload().is_some_and(|upload| upload.is_spent())
    }
}

/// A server's good answer.
pub struct Served {
    /// The body, unchanged.
    pub body: Gathered,
    /// What it is.
    pub content_type: Option<HeaderValue>,
}

/// The end of an attempt.
pub struct Attempted {
    /// How it ended.
    pub outcome: Outcome,
    /// The true units, if told.
    pub true_units: Option<f64>,
    /// The answer, if good.
    pub served: Option<Served>,
    /// The connection, where it can serve again.
    conn: Option<Conn>,
}

impl Attempted {
    /// What is left to give back once the answer's body has come.
    pub fn connection(&mut self) -> Attempted {
        Attempted { conn: self.conn.take(), ..Attempted::from(self.outcome) }
    }
}

impl From<Outcome> for Attempted {
    fn from(outcome: Outcome) -> Self {
        Attempted { outcome, true_units: None, served: None, conn: None }
    }
}

/// How far an attempt has come, for those who may call it off.
#[derive(Default)]
pub struct Progress {
    wire: RefCell<Option<(Rc<ConnectionHandle>, Sent)>>,
}

/// What tells whether a request has been written whole.
enum Sent {
    /// So many bytes have been written on its connection.
    Least(u64),
    /// The client's last byte has been passed on.
    Upload(Rc<Upload>),
}

impl Progress {
    /// Whether it still waits for a connection.
    pub fn waits(&self) -> bool {
        self.wire.borrow().is_none()
    }

    /// Ends the attempt's connection at once, and tells whether a server may have the whole request.
    pub fn give_up(&self) -> bool {
        match self.wire.borrow_mut().take() {
            None => false,
            Some((wire, sent)) => {
                wire.close();
                match sent {
                    Sent::Least(least) => wire.bytes_written() >= least,
                    Sent::Upload(upload) => upload.ended().is_some(),
                }
            }
        }
    }

    /// From here on the request may be written.
    fn begin(&self, wire: &Rc<ConnectionHandle>, parts: &Parts) {
        let sent = match parts.upload() {
            Some(upload) => Sent::Upload(upload.clone()),
            None => {
                let least = wire.bytes_written() + 1 + parts.body.held.len() as u64;
                wire.expect_request_end(least);
                Sent::Least(least)
            }
        };
        *self.wire.borrow_mut() = Some((wire.clone(), sent));
    }
}

/// A connection between two requests.
struct Conn {
    sender: SendRequest<Outgoing>,
    wire: Rc<ConnectionHandle>,
    idle_since: Instant,
    used: bool,
    /// How long the server may leave data unacknowledged.
    ack: Duration,
    /// Its place among those to its server.
    _place: Slot,
}

impl Drop for Conn {
    fn drop(&mut self) {
        self.wire.close();
    }
}

struct Pool {
    addr: SocketAddr,
    boot_ms: u64,
    ready: bool,
    idle: Vec<Conn>,
    /// How many connections there are, idle or not, those being opened too.
    open: Rc<Cell<usize>>,
}

impl Pool {
    fn in_use(&self) -> usize {
        self.open.get() - self.idle.len()
    }
}

/// What one that waits for a connection gets.
type Given = Result<Conn, Outcome>;

/// One that waits for a connection. What it was given and has not taken goes to the next.
struct Waits {
    servers: Rc<Servers>,
    server: ServerId,
    number: u64,
    given: oneshot::Receiver<Given>,
}

impl Drop for Waits {
    fn drop(&mut self) {
        self.servers.waiting.borrow_mut().remove(&self.number);
        self.servers.dials.borrow_mut().leave(self.server, self.number);
        if let Ok(Ok(conn)) = self.given.try_recv() {
            self.servers.hand_on(self.server, conn);
        }
    }
}

/// Why a connection has not come about.
enum Undone {
    /// There is no room for it here.
    NoRoom,
    /// The server can't be reached.
    Failed,
}

/// Connections to all servers.
pub struct Servers {
    pools: RefCell<HashMap<ServerId, Pool>>,
    /// Those that get nothing new, whatever the list says.
    left_out: RefCell<HashSet<ServerId>>,
    open: Rc<Cell<usize>>,
    most: Cell<usize>,
    per_server: usize,
    dials: RefCell<Dials>,
    /// Those that wait for a connection, by number.
    waiting: RefCell<HashMap<u64, oneshot::Sender<Given>>>,
    next: Cell<u64>,
    connect_timeout: Duration,
    keep_idle: Duration,
    calls: Rc<Cell<u64>>,
    room: Room,
    odd: Cell<u64>,
    refused: Cell<u64>,
}

impl Servers {
    /// None known yet. Connections are retired at half the time after which servers close them: a request
    /// that crosses the closing would be a reset, which may have run. `calls` counts requests written whole.
    pub fn new(config: &Config, calls: Rc<Cell<u64>>, room: Room) -> Rc<Self> {
        Rc::new(Servers {
            pools: RefCell::default(),
            left_out: RefCell::default(),
            open: Rc::default(),
            most: Cell::new(config.servers_max),
            per_server: config.per_server_max,
            dials: RefCell::new(Dials::new(config.settings.instances, config.seed)),
            waiting: RefCell::default(),
            next: Cell::new(0),
            connect_timeout: config.connect_timeout,
            keep_idle: config.server_idle / 2,
            calls,
            room,
            odd: Cell::new(0),
            refused: Cell::new(0),
        })
    }

    /// Notes where a server is, when it started and whether it takes work. Idle connections to one that does
    /// not, or to a former life of it, are closed: a request written to a dead process is a reset, and an
    /// unsafe one would then be failed for nothing.
    pub fn list(&self, id: ServerId, addr: SocketAddr, boot_ms: u64, ready: bool) {
        let mut pools = self.pools.borrow_mut();
        let new = || Pool { addr, boot_ms, ready, idle: Vec::new(), open: Rc::default() };
        let pool = pools.entry(id).or_insert_with(new);
        let other = (pool.addr, pool.boot_ms) != (addr, boot_ms);
        if other || !ready {
            pool.idle.clear();
        }
        (pool.addr, pool.boot_ms, pool.ready) = (addr, boot_ms, ready);
        drop(pools);
        if other {
            self.forget(id);
        }
    }

    /// Nothing that was learned of opening connections to a server holds any more.
    fn forget(&self, id: ServerId) {
        let waited = self.dials.borrow_mut().forget(id);
        waited.into_iter().for_each(|number| drop(self.give(number, Err(Outcome::NotSent))));
    }

    /// Forgets a server.
    pub fn unlist(&self, id: ServerId) {
        self.pools.borrow_mut().remove(&id);
        self.forget(id);
    }

    /// Forgets all servers but these.
    pub fn keep_only(&self, named: &HashSet<ServerId>) {
        let others = self.pools.borrow().keys().filter(|id| !named.contains(id)).copied().collect::<Vec<_>>();
        others.into_iter().for_each(|id| self.unlist(id));
    }

    /// Whether the list names this server, or it is left out by hand.
    pub fn keeps(&self, id: ServerId) -> bool {
        self.pools.borrow().contains_key(&id) || self.left_out.borrow().contains(&id)
    }

    /// How many connections there may be from now on; those that idle beyond it are closed.
    pub fn set_most(&self, most: usize) {
        self.most.set(most);
        let mut pools = self.pools.borrow_mut();
        for pool in pools.values_mut() {
            while self.open.get() > most && pool.idle.pop().is_some() {}
        }
    }

    /// How many connections are open.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// How many servers the list names.
    pub fn listed(&self) -> usize {
        self.pools.borrow().len()
    }

    /// Leaves a server out, or no longer.
    pub fn set_left_out(&self, id: ServerId, out: bool) {
        if !out {
            self.left_out.borrow_mut().remove(&id);
        } else if self.left_out.borrow_mut().insert(id) {
            // It will be another process when it is put back.
            self.pools.borrow_mut().entry(id).and_modify(|pool| pool.idle.clear());
        }
    }

    /// Whether anything new may go to this server, as far as the list and operators have told.
    pub fn takes_work(&self, id: ServerId) -> bool {
        let listed = self.pools.borrow().get(&id).is_some_and(|pool| pool.ready);
        listed && !self.left_out.borrow().contains(&id)
    }

    /// Closes connections that have been idle for long, or that recent use does not want.
    pub fn retire_idle(&self) {
        let mut dials = self.dials.borrow_mut();
        dials.look(now());
        for (id, pool) in self.pools.borrow_mut().iter_mut() {
            pool.idle.retain(|conn| conn.idle_since.elapsed() < self.keep_idle && !conn.sender.is_closed());
            let spare = dials.wanted(*id).saturating_sub(pool.in_use());
            pool.idle.drain(..pool.idle.len().saturating_sub(spare));
        }
    }

    /// The figures of connections to servers.
    pub fn figures(&self) -> Vec<(String, u64)> {
        let idle: usize = self.pools.borrow().values().map(|pool| pool.idle.len()).sum();
        let Dialed { begun, failed, waited, held_off } = self.dials.borrow().dialed;
        [
            ("server_connections", self.open.get() as u64),
            ("server_connections_idle", idle as u64),
            ("handshakes", begun),
            ("handshakes_failed", failed),
            ("handshakes_waited_for", waited),
            ("handshakes_held_off", held_off),
        ]
        .map(|(name, value)| (name.to_owned(), value))
        .to_vec()
    }

    /// Sends a request once and waits for its answer: the whole of a short one, the beginning of a long one.
    pub async fn attempt(
        self: &Rc<Self>,
        server: ServerId,
        parts: &Parts,
        time: Duration,
        progress: &Progress,
    ) -> Attempted {
        let deadline = Instant::now() + time;
        loop {
            if parts.is_spent() {
                return Outcome::NotSent.into();
            }
            let mut conn = match self.connection(server, deadline).await {
                Ok(conn) => conn,
                Err(outcome) => return outcome.into(),
            };
            // The connection may have taken its time: the list of now decides, not that of the send.
            if !self.takes_work(server) {
                return Outcome::NotSent.into();
            }
            let ack = if parts.upload().is_some() { FLOW_STALL } else { SERVER_ACK };
            if std::mem::replace(&mut conn.ack, ack) != ack {
                conn.wire.set_user_timeout(ack, &self.refused);
            }
            progress.begin(&conn.wire, parts);
            let ended = tokio::select! {
                ended = exchange(&mut conn.sender, parts, deadline, &self.room) => Some(ended),
                () = over(parts, deadline, time) => None,
            };
            if let Some(Ok(answer)) = ended {
                return self.judge(answer, conn);
            }
            let (used, whole) = (conn.used, progress.give_up());
            if conn.wire.has_timed_out() {
                // The others lead to the same machine.
                self.pools.borrow_mut().entry(server).and_modify(|pool| pool.idle.clear());
            }
            drop(conn);
            match ended {
                // A kept connection turned out to be closed before anything was written: that was no attempt.
                Some(Err(_)) if used && !whole && !parts.is_spent() => continue,
                _ if !whole => return Outcome::ConnectFailed.into(),
                Some(Err(Broken::TooLong)) => {
                    log_throttled(&self.odd, format_args!("server {}: answer too large", server.0));
                    return Outcome::Error.into();
                }
                Some(_) => return Outcome::Reset.into(),
                None => return Outcome::Timeout.into(),
            }
        }
    }

    /// Takes a connection back once it is ready for another request.
    pub async fn give_back(self: &Rc<Self>, server: ServerId, attempted: Attempted) {
        let Some(mut conn) = attempted.conn else {
            // One has ended, and others may be opened in its place.
            return self.open_wanted();
        };
        if !matches!(timeout(SETTLE, conn.sender.ready()).await, Ok(Ok(()))) {
            return;
        }
        conn.used = true;
        self.hand_on(server, conn);
    }

    /// A connection is free: the first that waits gets it, or it is kept.
    fn hand_on(&self, server: ServerId, mut conn: Conn) {
        if !self.takes_work(server) {
            return;
        }
        loop {
            let Some(number) = self.dials.borrow_mut().first(server) else { break };
            match self.give(number, Ok(conn)) {
                Some(Ok(back)) => conn = back,
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

    /// Gives one that waits what it waits for; what it does not take comes back.
    fn give(&self, number: u64, given: Given) -> Option<Given> {
        let waits = self.waiting.borrow_mut().remove(&number);
        match waits {
            Some(waits) => waits.send(given).err(),
            None => Some(given),
        }
    }

    /// A kept connection, the last used first.
    fn kept(&self, server: ServerId) -> Option<Conn> {
        let mut pools = self.pools.borrow_mut();
        let pool = pools.get_mut(&server)?;
        while let Some(conn) = pool.idle.pop() {
            if conn.idle_since.elapsed() < self.keep_idle && conn.sender.is_ready() {
                return Some(conn);
            }
        }
        None
    }

    /// A kept connection, or the first that comes free: one that is given back, or a new one.
    async fn connection(self: &Rc<Self>, server: ServerId, deadline: Instant) -> Result<Conn, Outcome> {
        if !self.takes_work(server) {
            return Err(Outcome::NotSent);
        }
        let given = match self.kept(server) {
            Some(conn) => Ok(conn),
            None => self.wait_for_one(server, deadline).await,
        };
        if let Some(pool) = self.pools.borrow().get(&server) {
            self.dials.borrow_mut().uses(server, pool.in_use());
        }
        given
    }

    async fn wait_for_one(self: &Rc<Self>, server: ServerId, deadline: Instant) -> Given {
        self.next.set(self.next.get() + 1);
        let number = self.next.get();
        let ask = self.dials.borrow_mut().ask(server, number, self.may_open(server), now());
        if ask == Ask::HeldOff {
            return Err(Outcome::ConnectFailed);
        }
        let (give, given) = oneshot::channel();
        self.waiting.borrow_mut().insert(number, give);
        let mut waits = Waits { servers: self.clone(), server, number, given };
        if ask == Ask::Open {
            self.begin_one(server);
        }
        // A machine that is cut off says nothing: the time-out is ours.
        let until = deadline.min(Instant::now() + self.connect_timeout);
        match timeout_at(until, &mut waits.given).await {
            Ok(Ok(given)) => given,
            Ok(Err(_)) => Err(Outcome::NotSent),
            Err(_) => Err(Outcome::ConnectFailed),
        }
    }

    /// Opens a connection for whoever waits the longest by then.
    fn begin_one(self: &Rc<Self>, server: ServerId) {
        let place =
            self.pools.borrow().get(&server).and_then(|pool| Slot::acquire(&pool.open, self.per_server));
        let this = self.clone();
        tokio::task::spawn_local(async move {
            let opened = this.dial(server, place).await;
            let lost = match &opened {
                Ok(_) => this.dials.borrow_mut().opened(server, true, now()),
                Err(Undone::Failed) => this.dials.borrow_mut().opened(server, false, now()),
                Err(Undone::NoRoom) => this.dials.borrow_mut().no_room(server).into_iter().collect(),
            };
            let why = match &opened {
                Err(Undone::NoRoom) => Outcome::NotSent,
                _ => Outcome::ConnectFailed,
            };
            lost.into_iter().for_each(|number| drop(this.give(number, Err(why))));
            if let Ok(conn) = opened {
                this.hand_on(server, conn);
            }
            this.open_wanted();
        });
    }

    /// Opens what those that wait need, as far as the bounds let it.
    fn open_wanted(self: &Rc<Self>) {
        let wanting = self.dials.borrow().wanting();
        for server in wanting {
            while self.may_open(server) && self.dials.borrow_mut().open_one(server) {
                self.begin_one(server);
            }
        }
    }

    /// Whether a server's limit leaves room for a further connection.
    fn may_open(&self, server: ServerId) -> bool {
        self.pools.borrow().get(&server).is_some_and(|pool| pool.open.get() < self.per_server)
    }

    async fn dial(&self, server: ServerId, to_it: Option<Slot>) -> Result<Conn, Undone> {
        let (addr, boot_ms) = {
            let pools = self.pools.borrow();
            let pool = pools.get(&server).ok_or(Undone::NoRoom)?;
            (pool.addr, pool.boot_ms)
        };
        let to_it = to_it.ok_or(Undone::NoRoom)?;
        let place = Slot::acquire(&self.open, self.most.get()).or_else(|| {
            self.close_an_idle_one();
            Slot::acquire(&self.open, self.most.get())
        });
        let place = place.ok_or(Undone::NoRoom)?;
        let connected = timeout(self.connect_timeout, TcpStream::connect(addr)).await;
        let Ok(Ok(stream)) = connected else { return Err(Undone::Failed) };
        let is_there = |pool: &Pool| (pool.addr, pool.boot_ms) == (addr, boot_ms);
        if !self.pools.borrow().get(&server).is_some_and(is_there) {
            // It leads to a former life of the server.
            return Err(Undone::NoRoom);
        }
        let _ = stream.set_nodelay(true);
        let wire = ConnectionHandle::with_request_counter(stream, place, self.calls.clone());
        let io = TokioIo::new(ConnectionIo(wire.clone()));
        let built = http1::Builder::new().max_buf_size(BUFFER_MAX).handshake(io).await;
        let (sender, driver) = built.map_err(|_| Undone::Failed)?;
        let task = tokio::task::spawn_local(async move {
            // How it ends is told to the attempt that it carries.
            let _ = driver.await;
        });
        wire.set_driver(task.abort_handle());
        let (idle_since, ack) = (Instant::now(), Duration::ZERO);
        Ok(Conn { sender, wire, idle_since, used: false, ack, _place: to_it })
    }

    fn close_an_idle_one(&self) {
        let mut pools = self.pools.borrow_mut();
        let oldest =
            pools.values_mut().filter(|pool| !pool.idle.is_empty()).min_by_key(|p| p.idle[0].idle_since);
        if let Some(pool) = oldest {
            pool.idle.remove(0);
        }
    }

    /// What a whole answer says.
    fn judge(&self, (status, headers, body): Answer, conn: Conn) -> Attempted {
        let not_started = headers.get("not-started").is_some_and(|value| value == "1");
        let outcome = match status {
            StatusCode::OK => Outcome::Ok,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if not_started => Outcome::Full,
            // Without the word that it never began, it may have run.
            _ => Outcome::Error,
        };
        let good = outcome == Outcome::Ok;
        let served = good.then(|| Served { body, content_type: headers.get(CONTENT_TYPE).cloned() });
        let true_units = headers
            .get("x-cost-units")
            .filter(|_| good)
            .and_then(|v| parse_positive_decimal(v.to_str().ok()?));
        Attempted { outcome, true_units, served, conn: Some(conn) }
    }
}

fn now() -> std::time::Instant {
    Instant::now().into_std()
}

type Answer = (StatusCode, HeaderMap, Gathered);

/// Returns when an attempt has had its time, which begins with the request's last byte; before that, when
/// nothing of it has moved for long.
async fn over(parts: &Parts, deadline: Instant, time: Duration) {
    let Some(upload) = parts.upload() else { return sleep_until(deadline).await };
    loop {
        let until = upload.ended().map_or(upload.moved().max(deadline - time) + FLOW_STALL, |at| at + time);
        if Instant::now() >= until {
            return;
        }
        // It may end meanwhile, with less time left.
        sleep_until(until.min(Instant::now() + LOOK_AGAIN)).await;
    }
}

async fn exchange(
    sender: &mut SendRequest<Outgoing>,
    parts: &Parts,
    deadline: Instant,
    room: &Room,
) -> Result<Answer, Broken> {
    let mut request = Request::new(Outgoing::new(&parts.body));
    *request.method_mut() = parts.method.clone();
    *request.uri_mut() = parts.uri.clone();
    let headers = request.headers_mut();
    headers.insert(HOST, HeaderValue::from_static(SERVICE));
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
    let answer: Response<Incoming> = sender.send_request(request).await.map_err(|_| Broken::Connection)?;
    let (head, body) = answer.into_parts();
    if head.headers.contains_key(CONTENT_LENGTH) && head.headers.contains_key(TRANSFER_ENCODING) {
        // Which of the two framings holds can't be told.
        return Err(Broken::Connection);
    }
    let body = gather(body, room, head.status == StatusCode::OK).await?;
    Ok((head.status, head.headers, body))
}
