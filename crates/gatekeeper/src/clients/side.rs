//! The clients' side: connections and their number, requests read and checked, answers written.

use crate::body::{self, Broken, Reply, BODY_MAX};
use crate::clients::connections::{Clients, Entry, Limits, Reason};
use crate::clients::framing::Framing;
use crate::clients::turns::NetworkTurns;
use crate::config::Config;
use crate::driver::{self, Answer, Driver, Taken};
use crate::servers::side::Parts;
use crate::times;
use bytes::Bytes;
use granitelead_base::linger::Linger;
use granitelead_base::{log_throttled, parse_positive_decimal, set_user_timeout, ACCEPT_PAUSE};
use granitelead_decisions::settings::Names;
use granitelead_decisions::{ClassId, CustomerId, Effect, PlanId};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, HeaderValue, CONNECTION, CONTENT_TYPE, COOKIE, RETRY_AFTER};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use rustix::net::RecvFlags;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::io;
use std::net::IpAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, Notify};
use tokio::time::Instant;

/// The largest head of a request, bytes.
const HEAD_MAX: usize = 16 * 1024;
/// How long new connections are taken in after the call to stop.
const STILL_ACCEPT: Duration = Duration::from_millis(500);
/// How long clients keep idle connections after the call to evacuate, and how often the rest is looked at.
const EVACUATE_IDLE: Duration = Duration::from_millis(1_500);
/// See `EVACUATE_IDLE`.
const EVACUATE_AGAIN: Duration = Duration::from_millis(100);
/// How long idle connections are kept once a successor takes the new ones.
const RETIRE_IDLE: Duration = Duration::from_millis(500);
/// How often a process that leaves looks whether its last client has.
const LEFT_AGAIN: Duration = Duration::from_millis(20);
/// Multiple of the longest deadline past which a client's patience counts for nothing: the records of its
/// requests would otherwise be kept for as long as it pleases.
const PATIENCE_MAX: u32 = 4;

/// One client's connection, as its task and its sockets see it.
struct Client {
    number: u64,
    source: IpAddr,
    since: Instant,
    /// Whether a request of it is at work, and whether one is being read.
    busy: Cell<bool>,
    in_head: Cell<bool>,
    framing: RefCell<Framing>,
    /// Whether it lingers behind its last answer, and whether it makes room and so must not.
    lingers: Cell<bool>,
    yields: Cell<bool>,
    /// Asks for an end between two requests, or at once.
    close: Notify,
    end: Notify,
}

/// A client's connection as the HTTP library reads and writes it.
struct ClientIo {
    stream: TcpStream,
    client: Rc<Client>,
    side: Rc<ClientSide>,
    linger: Option<Linger>,
}

impl ClientIo {
    fn note_write(&self, polled: &Poll<io::Result<usize>>) {
        if matches!(polled, Poll::Ready(Ok(_))) && self.client.busy.get() {
            self.side.manager.borrow_mut().took(self.client.number, now());
        }
    }
}

impl AsyncRead for ClientIo {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let before = buf.filled().len();
        let polled = Pin::new(&mut this.stream).poll_read(cx, buf);
        let read = &buf.filled()[before..];
        if !(this.client.busy.get() || read.is_empty()) {
            if !this.client.in_head.replace(true) {
                this.side.head_begins(&this.client);
            }
            this.client.framing.borrow_mut().feed(read);
        }
        polled
    }
}

impl AsyncWrite for ClientIo {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let polled = Pin::new(&mut this.stream).poll_write(cx, buf);
        this.note_write(&polled);
        polled
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context,
        bufs: &[io::IoSlice],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let polled = Pin::new(&mut this.stream).poll_write_vectored(cx, bufs);
        this.note_write(&polled);
        polled
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.linger.is_none() {
            ready!(Pin::new(&mut this.stream).poll_shutdown(cx))?;
            if this.client.yields.get() {
                return Poll::Ready(Ok(()));
            }
            this.client.lingers.set(true);
        }
        this.linger.get_or_insert_with(|| Linger::new(false)).poll(cx, &mut this.stream)
    }
}

/// What the clients' side is about.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Mode {
    Serving,
    /// Clients are sent away until an operator calls it off.
    Evacuating,
    /// The process ends.
    Stopping,
}

/// The clients' side.
pub struct ClientSide {
    driver: Rc<Driver>,
    names: Names,
    effects: Vec<Effect>,
    instances: u32,
    patience_max: Duration,
    half_close: bool,
    /// Who may stay; and the connections themselves, with a place and without.
    manager: RefCell<Clients>,
    clients: RefCell<BTreeMap<u64, Rc<Client>>>,
    waiting: RefCell<BTreeMap<u64, (TcpStream, IpAddr)>>,
    left: Notify,
    /// Requests that are there whole, until it is their turn.
    turns: RefCell<NetworkTurns<oneshot::Sender<()>>>,
    due: Notify,
    ready: Cell<bool>,
    /// Whether this process takes connections; what changes of that, or of readiness, is told by `turned`.
    accepts: Cell<bool>,
    retired: Cell<bool>,
    /// Whether a successor knows all that it needs.
    may_leave: Cell<bool>,
    turned: Notify,
    told: Notify,
    mode: Cell<Mode>,
    /// Counts evacuations, so that an earlier one's end does not end the next.
    evacuations: Cell<u64>,
    odd: Cell<u64>,
    refused: Cell<u64>,
}

impl ClientSide {
    /// A server without clients, not ready yet.
    pub fn new(driver: Rc<Driver>, config: &Config) -> Rc<ClientSide> {
        let waiting = waiting(config.clients_max);
        let limits = Limits {
            all: config.clients_max - waiting,
            waiting,
            per_source: config.per_source_max,
            heads: config.heads_max,
            max_age: config.max_age,
        };
        Rc::new(ClientSide {
            driver,
            names: config.names.clone(),
            effects: config.settings.classes.iter().map(|class| class.effect).collect(),
            instances: config.settings.instances.max(1),
            patience_max: config.longest_deadline() * PATIENCE_MAX,
            half_close: config.half_close,
            manager: RefCell::new(Clients::new(limits, config.seed)),
            clients: RefCell::default(),
            waiting: RefCell::default(),
            left: Notify::new(),
            turns: RefCell::default(),
            due: Notify::new(),
            ready: Cell::new(false),
            accepts: Cell::new(true),
            retired: Cell::new(false),
            may_leave: Cell::new(false),
            turned: Notify::new(),
            told: Notify::new(),
            mode: Cell::new(Mode::Serving),
            evacuations: Cell::new(0),
            odd: Cell::new(0),
            refused: Cell::new(0),
        })
    }

    /// Says from now on that requests can be served.
    pub fn set_ready(&self) {
        self.ready.set(true);
        self.told.notify_one();
    }

    /// Returns once requests can be served.
    pub async fn until_ready(&self) {
        while !self.ready.get() {
            self.told.notified().await;
        }
    }

    /// Whether connections are taken from now on.
    pub fn set_accepts(&self, accepts: bool) {
        self.accepts.set(accepts);
        self.retired.set(false);
        self.may_leave.set(false);
        self.turned.notify_one();
    }

    /// How many clients there may be from now on, waiting or not; those that idle beyond it are closed, the
    /// longest idle first.
    pub fn set_clients_max(&self, most: usize) {
        let beyond = self.manager.borrow_mut().set_all(most.saturating_sub(waiting(most)).max(1));
        beyond.into_iter().for_each(|number| self.tell(number, Reason::Room));
    }

    /// Lets the process end once its last client has left.
    pub fn let_leave(&self) {
        self.may_leave.set(true);
    }

    /// Whether a successor takes the connections.
    pub fn is_retired(&self) -> bool {
        self.retired.get()
    }

    /// How many clients there are.
    pub fn clients(&self) -> usize {
        self.manager.borrow().len()
    }

    /// The figures of the clients' side.
    pub fn figures(&self) -> Vec<(String, u64)> {
        self.manager.borrow().figures()
    }

    /// Returns once a successor takes the connections and the last client here has left.
    pub async fn until_left(&self) {
        while !self.may_leave.get() || !self.manager.borrow().is_empty() {
            tokio::time::sleep(LEFT_AGAIN).await;
        }
    }

    /// Leaves the clients to a successor: no connection is taken any more, and those there are end with their
    /// next answer, or when they have idled for a moment.
    pub fn retire(self: &Rc<Self>) {
        self.set_accepts(false);
        self.retired.set(true);
        let side = self.clone();
        tokio::task::spawn_local(async move {
            tokio::time::sleep(RETIRE_IDLE).await;
            while side.retired.get() {
                side.close_idle(false);
                tokio::time::sleep(EVACUATE_AGAIN).await;
            }
        });
    }

    /// Whether newcomers are wanted and can be served, here or by a successor.
    pub fn is_up(&self) -> bool {
        let mode = self.mode.get();
        self.ready.get() && (mode == Mode::Serving || (mode == Mode::Stopping && self.retired.get()))
    }

    /// Whether an operator has had clients sent away.
    pub fn evacuates(&self) -> bool {
        self.mode.get() == Mode::Evacuating
    }

    /// Whether this process takes clients, wanted or not.
    pub fn takes_clients(&self) -> bool {
        self.ready.get() && self.accepts.get() && self.mode.get() != Mode::Stopping
    }

    /// Sends clients away, without an end to what was taken: newcomers are served once, idle clients are
    /// closed when the front has had its time to learn of it.
    pub fn evacuate(self: &Rc<Self>) {
        if self.mode.get() != Mode::Serving {
            return;
        }
        self.mode.set(Mode::Evacuating);
        self.evacuations.set(self.evacuations.get() + 1);
        let (side, this) = (self.clone(), self.evacuations.get());
        tokio::task::spawn_local(async move {
            tokio::time::sleep(EVACUATE_IDLE).await;
            while side.mode.get() == Mode::Evacuating && side.evacuations.get() == this {
                side.close_idle(false);
                tokio::time::sleep(EVACUATE_AGAIN).await;
            }
        });
    }

    /// Ends the evacuation.
    pub fn activate(&self) {
        if self.mode.get() == Mode::Evacuating {
            self.mode.set(Mode::Serving);
        }
    }

    /// Takes connections in for ever.
    pub async fn accept(self: &Rc<Self>, listener: &TcpListener) {
        loop {
            while !self.accepts.get() {
                self.turned.notified().await;
            }
            let looks = self.manager.borrow_mut().accepts(now());
            let waits = !self.waiting.borrow().is_empty();
            let accepted = tokio::select! {
                accepted = listener.accept(), if looks => accepted,
                () = self.turned.notified() => continue,
                () = self.left.notified(), if !looks => continue,
                () = tokio::time::sleep(times::ROOM), if waits => {
                    self.make_room();
                    continue;
                }
            };
            match accepted {
                Ok((stream, from)) => self.arrive(stream, from.ip()),
                // Out of descriptors, or the client has gone already: neither may end the gatekeeper.
                Err(e) => {
                    log_throttled(&self.odd, format_args!("accept: {e}"));
                    self.shed();
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    fn arrive(self: &Rc<Self>, stream: TcpStream, from: IpAddr) {
        let waiting = self.waiting.borrow();
        let silent = |number: u64| is_silent(waiting.get(&number).map_or(&stream, |(stream, _)| stream));
        let (number, entry) = self.manager.borrow_mut().arrive(now(), from, silent);
        drop(waiting);
        if entry == Entry::In {
            return self.admit(number, stream, from);
        }
        self.waiting.borrow_mut().insert(number, (stream, from));
        if let Entry::Crowded(number) = entry {
            self.tell(number, Reason::Crowd);
        }
        self.make_room();
    }

    /// Ends connections for those that wait.
    fn make_room(self: &Rc<Self>) {
        let victims = self.manager.borrow_mut().make_room(now());
        victims.into_iter().for_each(|number| self.tell(number, Reason::Room));
    }

    /// The system has no descriptor left: ends a connection that can be.
    pub fn shed(&self) {
        if let Some(number) = self.manager.borrow_mut().shed(now()) {
            self.tell(number, Reason::Room);
        }
    }

    /// Ends what has had its time, and goes on making room. To be called every [`times::LOOK`].
    pub fn look(self: &Rc<Self>) {
        let due = self.manager.borrow_mut().due(now());
        for (number, reason) in due {
            self.tell(number, reason);
        }
        self.make_room();
    }

    /// Lets a connection know that it is to end.
    fn tell(&self, number: u64, reason: Reason) {
        // One without a place ends with its socket.
        if self.waiting.borrow_mut().remove(&number).is_some() {
            self.manager.borrow_mut().gone(number);
        } else if let Some(client) = self.clients.borrow().get(&number) {
            if reason.is_gentle() {
                client.close.notify_one();
            } else {
                client.end.notify_one();
            }
        }
    }

    fn head_begins(&self, client: &Client) {
        let too_many = self.manager.borrow_mut().read(client.number, now());
        if let Some(number) = too_many {
            self.tell(number, Reason::Heads);
        }
    }

    /// Gives requests that are there whole their turns, for ever: one of each network, then others are read.
    pub async fn take_turns(self: Rc<Self>) {
        loop {
            self.due.notified().await;
            loop {
                tokio::task::yield_now().await;
                let round = self.turns.borrow().networks();
                if round == 0 {
                    break;
                }
                for _ in 0..round {
                    let next = self.turns.borrow_mut().pop();
                    // Who has left meanwhile needs no turn.
                    let _ = next.map(|turn| turn.send(()));
                }
            }
        }
    }

    async fn turn_of(&self, source: IpAddr) {
        let (turn, due) = oneshot::channel();
        self.turns.borrow_mut().push(source, turn);
        self.due.notify_one();
        // The sender is kept until it has sent.
        let _ = due.await;
    }

    /// Stops as the deployment expects it: connections still come for a while and are taken in; all that was
    /// taken is answered; those between requests are closed at once, while there is still someone to take in
    /// a request that crosses the closing. Where a successor takes connections, those here are left to idle a
    /// moment longer: each that ends with an answer can't cross anything.
    pub async fn stop(self: &Rc<Self>, listener: Rc<TcpListener>, longest: Duration) {
        self.mode.set(Mode::Stopping);
        let until = Instant::now() + longest;
        if !self.retired.get() {
            self.close_idle(true);
            let _ = tokio::time::timeout(STILL_ACCEPT, self.accept(&listener)).await;
            drop(listener);
            self.close_idle(false);
        }
        while !self.manager.borrow().is_empty() && Instant::now() < until {
            let left = self.left.notified();
            let _ = tokio::time::timeout_at(until, left).await;
        }
    }

    fn close_idle(&self, served: bool) {
        let clients = self.clients.borrow();
        let idle = self.manager.borrow().idle(served);
        idle.iter().filter_map(|number| clients.get(number)).for_each(|client| client.close.notify_one());
    }

    fn admit(self: &Rc<Self>, number: u64, stream: TcpStream, source: IpAddr) {
        let _ = stream.set_nodelay(true);
        set_user_timeout(&stream, times::FLOW_STALL, &self.refused);
        let client = Rc::new(Client {
            number,
            source,
            since: Instant::now(),
            busy: Cell::default(),
            in_head: Cell::default(),
            framing: RefCell::default(),
            lingers: Cell::new(false),
            yields: Cell::new(false),
            close: Notify::new(),
            end: Notify::new(),
        });
        self.clients.borrow_mut().insert(number, client.clone());
        let side = self.clone();
        tokio::task::spawn_local(async move {
            side.serve(stream, &client).await;
            side.clients.borrow_mut().remove(&number);
            let let_in = side.manager.borrow_mut().gone(number);
            for number in let_in {
                let waiting = side.waiting.borrow_mut().remove(&number);
                if let Some((stream, from)) = waiting {
                    side.admit(number, stream, from);
                }
            }
            side.left.notify_one();
        });
    }

    async fn serve(self: &Rc<Self>, stream: TcpStream, client: &Rc<Client>) {
        let number = client.number;
        let service = service_fn(|request| {
            let (side, client) = (self.clone(), client.clone());
            client.busy.set(true);
            client.in_head.set(false);
            side.manager.borrow_mut().begin(number);
            let framing = client.framing.take();
            async move {
                let mut answer = side.answer(request, &client, framing.conflicts()).await;
                let old = side.manager.borrow().is_old(number, now());
                if old || side.mode.get() != Mode::Serving || side.retired.get() {
                    answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                }
                side.manager.borrow_mut().answers(number, now());
                answer.body_mut().on_done(move || {
                    client.busy.set(false);
                    side.manager.borrow_mut().done(number, now());
                    // Those that wait may have found none that idles: now there is one.
                    side.make_room();
                    side.left.notify_one();
                });
                Ok::<_, Infallible>(answer)
            }
        });
        let io = ClientIo { stream, client: client.clone(), side: self.clone(), linger: None };
        let conn = hyper::server::conn::http1::Builder::new()
            .header_read_timeout(None)
            .half_close(self.half_close)
            .max_buf_size(HEAD_MAX)
            .serve_connection(TokioIo::new(io), service);
        let mut conn = std::pin::pin!(conn);
        // A client that misbehaves or leaves ends its own connection and nothing else.
        tokio::select! {
            ended = conn.as_mut() => return drop(ended),
            () = client.end.notified() => return,
            () = client.close.notified() => {
                let makes_room = self.mode.get() != Mode::Stopping && !self.retired.get();
                // One that makes room may hang in the middle of a head, or linger.
                let between = self.manager.borrow().is_between(number);
                if makes_room && (!between || client.lingers.get()) {
                    return;
                }
                // It idles: no answer is on its way that a reset could destroy.
                client.yields.set(makes_room);
                conn.as_mut().graceful_shutdown()
            }
        }
        tokio::select! {
            _ = conn => {}
            () = client.end.notified() => {}
        }
    }

    async fn answer(
        self: &Rc<Self>,
        request: Request<Incoming>,
        client: &Client,
        conflicts: bool,
    ) -> Response<Reply> {
        if request.uri().path() == "/up" && request.method() == Method::GET {
            self.manager.borrow_mut().taken(client.number);
            return plain(if self.is_up() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }, "");
        }
        let read = async {
            match conflicts {
                true => Err(bad("two framings")),
                false => self.read(request, client).await,
            }
        };
        let taken = match read.await {
            Ok(taken) => taken,
            Err((status, what)) => {
                let mut answer = plain(status, what);
                // What is left of it on the connection can't be told from a next request.
                answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                return answer;
            }
        };
        self.turn_of(client.source).await;
        let upload = taken.parts.upload().cloned();
        // The ticket ends with this call: dropped early it says that the client has left.
        let (_ticket, answer) = self.driver.take(taken);
        let answer = match answer.await {
            Ok(answer) => respond(answer),
            Err(_) => plain(StatusCode::BAD_GATEWAY, "no answer"),
        };
        if let Some(upload) = upload.filter(|upload| upload.ended().is_none()) {
            // A client that still sends would not read its answer from a connection that is reset.
            tokio::task::spawn_local(async move { upload.drain().await });
        }
        answer
    }

    /// Reads a request, and its body as far as that is held. Nothing that is malformed goes any further.
    async fn read(&self, request: Request<Incoming>, client: &Client) -> Result<Taken, Bad> {
        let (head, body) = request.into_parts();
        if body.size_hint().lower() > BODY_MAX {
            return Err((StatusCode::PAYLOAD_TOO_LARGE, "body too large"));
        }
        let class_name = header(&head.headers, "request-class")?;
        let class = place(&self.names.classes, class_name).ok_or(bad("unknown class"))?;
        let plan = place(&self.names.plans, header(&head.headers, "x-tier")?).ok_or(bad("unknown plan"))?;
        if head.uri.path().split('/').nth(1) != Some(class_name) {
            return Err(bad("path and class differ"));
        }
        let safe = self.effects.get(class) == Some(&Effect::Idempotent);
        if head.method != if safe { Method::GET } else { Method::POST } {
            return Err(bad("method and class differ"));
        }
        let customer = customer(&head.headers)?;
        let (units, gatekeepers) = terms(header(&head.headers, "x-call-terms")?, self.instances)?;
        let patience = parse_positive_decimal(header(&head.headers, "request-timeout")?);
        let patience = patience.and_then(|s| Duration::try_from_secs_f64(s).ok());
        let patience = patience.ok_or(bad("bad Request-Timeout"))?;
        header(&head.headers, "request-id")?;
        let id = head.headers.get("request-id").cloned().ok_or(bad("no Request-Id"))?;
        let key = head.headers.get("idempotency-key").cloned();
        // Without its key a repeat would run twice, with two there is no telling which one counts.
        if key.is_some() || self.effects.get(class) == Some(&Effect::Deduplicated) {
            header(&head.headers, "idempotency-key")?;
        }
        let uri = head.uri.path_and_query().and_then(|path| path.as_str().parse().ok());
        let body = if body.is_end_stream() {
            body::Request::empty(&self.driver.room)
        } else {
            // From here on the body's own time counts; on a new connection it began with that.
            let first = self.manager.borrow_mut().taken(client.number);
            let since = if first { client.since } else { Instant::now() };
            body::Request::begin(body, &self.driver.room, since).await.map_err(|broken| match broken {
                Broken::Stalled => (StatusCode::REQUEST_TIMEOUT, "the body takes too long"),
                Broken::Connection | Broken::TooLong => bad("bad framing"),
            })?
        };
        self.manager.borrow_mut().taken(client.number);
        if safe && !(body.held.is_empty() && body.rest.is_none()) {
            return Err(bad("a body where none belongs"));
        }
        Ok(Taken {
            customer,
            class: ClassId(class),
            plan: PlanId(plan),
            units,
            gatekeepers,
            // Counted from the request's last byte.
            until: Instant::now() + patience.min(self.patience_max),
            parts: Parts {
                method: head.method,
                uri: uri.ok_or(bad("bad path"))?,
                id,
                key,
                content_type: head.headers.get(CONTENT_TYPE).cloned(),
                body,
            },
        })
    }
}

fn now() -> std::time::Instant {
    Instant::now().into_std()
}

/// Whether nothing has come on a connection that is not read yet, or nothing more will.
fn is_silent(stream: &TcpStream) -> bool {
    let peeked = rustix::net::recv(stream, &mut [0; 1], RecvFlags::PEEK | RecvFlags::DONTWAIT);
    !matches!(peeked, Ok((1.., _)))
}

/// Of so many connections, those of newcomers that wait for a place.
fn waiting(all: usize) -> usize {
    (all / 16).clamp(1, 16)
}

type Bad = (StatusCode, &'static str);

fn bad(what: &'static str) -> Bad {
    (StatusCode::BAD_REQUEST, what)
}

/// A header that must be there once, as text.
fn header<'a>(headers: &'a HeaderMap, name: &str) -> Result<&'a str, Bad> {
    let mut values = headers.get_all(name).iter();
    match (values.next().and_then(|value| value.to_str().ok()), values.next()) {
        (Some(value), None) if !value.is_empty() => Ok(value),
        _ => Err(bad("a header is missing or bad")),
    }
}

fn place(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}

/// The customer: the cookie `client`, 16 hexadecimal digits below 2^33.
fn customer(headers: &HeaderMap) -> Result<CustomerId, Bad> {
    let cookies = headers.get_all(COOKIE).iter().filter_map(|value| value.to_str().ok());
    let mut clients =
        cookies.flat_map(|value| value.split(';')).filter_map(|c| c.trim().strip_prefix("client="));
    let (Some(client), None) = (clients.next(), clients.next()) else { return Err(bad("no client")) };
    let digits = client.len() == 16 && client.bytes().all(|b| b.is_ascii_hexdigit());
    match u64::from_str_radix(client, 16) {
        Ok(number) if digits && number < 1 << 33 => Ok(CustomerId(format!("{number:x}"))),
        _ => Err(bad("bad client")),
    }
}

/// Units and number of gatekeepers, from `units=2,spread=3,first=1`.
fn terms(text: &str, instances: u32) -> Result<(f64, u32), Bad> {
    let (mut units, mut spread) = (None, None);
    for term in text.split(',') {
        match term.trim().split_once('=') {
            Some(("units", value)) => units = parse_positive_decimal(value),
            Some(("spread", value)) => spread = value.parse().ok().filter(|n| (1..=instances).contains(n)),
            Some(("first", value)) if value.parse::<u32>().is_ok_and(|n| n < instances) => {}
            Some((name, _)) if name != "first" => {}
            _ => return Err(bad("bad X-Call-Terms")),
        }
    }
    units.zip(spread).ok_or(bad("bad X-Call-Terms"))
}

fn plain(status: StatusCode, what: &'static str) -> Response<Reply> {
    let mut response = Response::new(Reply::whole(Bytes::from_static(what.as_bytes())));
    *response.status_mut() = status;
    response
}

fn respond(answer: Answer) -> Response<Reply> {
    match answer {
        Answer::Served(body, content_type) => {
            let mut response = Response::new(match body {
                driver::Body::Whole(body) => Reply::whole(body),
                driver::Body::Flow(flow) => Reply::flow(flow),
            });
            if let Some(value) = content_type {
                response.headers_mut().insert(CONTENT_TYPE, value);
            }
            response
        }
        Answer::Refused(wait) => {
            let mut response = plain(StatusCode::TOO_MANY_REQUESTS, "refused: trying again is harmless");
            let value = HeaderValue::from_str(&format!("{:.3}", wait as f64 / 1e6));
            if let (Ok(value), true) = (value, wait > 0) {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
            response
        }
        Answer::Failed { late: true } => plain(StatusCode::GATEWAY_TIMEOUT, "no answer in time"),
        Answer::Failed { late: false } => plain(StatusCode::BAD_GATEWAY, "failed"),
    }
}
