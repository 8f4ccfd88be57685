//! The HTTP server for clients: accepts connections, reads and validates requests and writes responses.

use crate::body::{self, BodyError, ResponseBody, BODY_MAX};
use crate::clients::connections::{Admission, CloseReason, ConnectionManager, Limits};
use crate::clients::fair_queue::NetworkFairQueue;
use crate::clients::framing::Framing;
use crate::config::Config;
use crate::driver::{self, Answer, ClientRequest, Driver};
use crate::servers::pool::Parts;
use crate::timeouts;
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

/// The largest request head, in bytes.
const HEAD_MAX: usize = 16 * 1024;
/// How long new connections are still accepted after the signal to stop.
const STOP_ACCEPT: Duration = Duration::from_millis(500);
/// How long idle connections are kept after an evacuation begins.
const EVACUATE_IDLE: Duration = Duration::from_millis(1_500);
/// How often idle connections are closed after `EVACUATE_IDLE` or `RETIRE_IDLE`.
const CLOSE_IDLE_INTERVAL: Duration = Duration::from_millis(100);
/// How long idle connections are kept once the next process accepts the new ones.
const RETIRE_IDLE: Duration = Duration::from_millis(500);
/// How often a process that hands over checks whether its last client has disconnected.
const DRAINED_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// The longest client timeout, as a multiple of the longest deadline; longer ones are cut to it. The records
/// of a request would otherwise be kept for as long as a client asks.
const CLIENT_TIMEOUT_FACTOR_MAX: u32 = 4;

/// A client connection's state, shared by its task and its socket.
struct Client {
    number: u64,
    source: IpAddr,
    connected_at: Instant,
    /// Whether a request is being served, and whether a request head is being read.
    busy: Cell<bool>,
    reading_head: Cell<bool>,
    framing: RefCell<Framing>,
    /// Whether the connection lingers after its last response, and whether it is being evicted, so that it
    /// must not linger.
    lingers: Cell<bool>,
    evicted: Cell<bool>,
    /// Requests a close between two requests, or an immediate one.
    close_when_idle: Notify,
    close_now: Notify,
}

/// A client's socket as the HTTP library reads and writes it.
struct ClientIo {
    stream: TcpStream,
    client: Rc<Client>,
    http_server: Rc<HttpServer>,
    linger: Option<Linger>,
}

impl ClientIo {
    fn record_progress(&self, polled: &Poll<io::Result<usize>>) {
        if matches!(polled, Poll::Ready(Ok(_))) && self.client.busy.get() {
            self.http_server.manager.borrow_mut().on_response_progress(self.client.number, now());
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
            if !this.client.reading_head.replace(true) {
                this.http_server.on_head_begin(&this.client);
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
        this.record_progress(&polled);
        polled
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context,
        bufs: &[io::IoSlice],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let polled = Pin::new(&mut this.stream).poll_write_vectored(cx, bufs);
        this.record_progress(&polled);
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
            if this.client.evicted.get() {
                return Poll::Ready(Ok(()));
            }
            this.client.lingers.set(true);
        }
        this.linger.get_or_insert_with(|| Linger::new(false)).poll(cx, &mut this.stream)
    }
}

/// The operating mode of the server.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Mode {
    Serving,
    /// Clients are disconnected until an operator activates the gatekeeper again.
    Evacuating,
    /// The process is shutting down.
    Stopping,
}

/// The HTTP server for clients.
pub struct HttpServer {
    driver: Rc<Driver>,
    names: Names,
    effects: Vec<Effect>,
    instances: u32,
    client_timeout_max: Duration,
    half_close: bool,
    /// Admission and eviction; and the connections themselves, active and waiting.
    manager: RefCell<ConnectionManager>,
    clients: RefCell<BTreeMap<u64, Rc<Client>>>,
    waiting: RefCell<BTreeMap<u64, (TcpStream, IpAddr)>>,
    disconnected: Notify,
    /// Requests that have been read, until it is their turn.
    queue: RefCell<NetworkFairQueue<oneshot::Sender<()>>>,
    queue_signal: Notify,
    ready: Cell<bool>,
    /// Whether this process accepts connections; `accepts_changed` signals changes.
    accepting: Cell<bool>,
    retired: Cell<bool>,
    /// Whether the next process has received all state, so that this one may exit.
    may_exit: Cell<bool>,
    accepts_changed: Notify,
    ready_changed: Notify,
    mode: Cell<Mode>,
    /// Counts evacuations, so that the task of an earlier one does not act on a later one.
    evacuations: Cell<u64>,
    accept_errors: Cell<u64>,
    socket_option_errors: Cell<u64>,
}

impl HttpServer {
    /// A server without connections, not ready yet.
    pub fn new(driver: Rc<Driver>, config: &Config) -> Rc<HttpServer> {
        let waiting = waiting_share(config.clients_max);
        let limits = Limits {
            all: config.clients_max - waiting,
            waiting,
            per_source: config.per_source_max,
            heads: config.heads_max,
            max_age: config.max_age,
        };
        Rc::new(HttpServer {
            driver,
            names: config.names.clone(),
            effects: config.settings.classes.iter().map(|class| class.effect).collect(),
            instances: config.settings.instances.max(1),
            client_timeout_max: config.longest_deadline() * CLIENT_TIMEOUT_FACTOR_MAX,
            half_close: config.half_close,
            manager: RefCell::new(ConnectionManager::new(limits, config.seed)),
            clients: RefCell::default(),
            waiting: RefCell::default(),
            disconnected: Notify::new(),
            queue: RefCell::default(),
            queue_signal: Notify::new(),
            ready: Cell::new(false),
            accepting: Cell::new(true),
            retired: Cell::new(false),
            may_exit: Cell::new(false),
            accepts_changed: Notify::new(),
            ready_changed: Notify::new(),
            mode: Cell::new(Mode::Serving),
            evacuations: Cell::new(0),
            accept_errors: Cell::new(0),
            socket_option_errors: Cell::new(0),
        })
    }

    /// Marks the server as ready to serve requests.
    pub fn set_ready(&self) {
        self.ready.set(true);
        self.ready_changed.notify_one();
    }

    /// Returns once requests can be served.
    pub async fn until_ready(&self) {
        while !self.ready.get() {
            self.ready_changed.notified().await;
        }
    }

    /// Starts or stops accepting connections.
    pub fn set_accepting(&self, accepting: bool) {
        self.accepting.set(accepting);
        self.retired.set(false);
        self.may_exit.set(false);
        self.accepts_changed.notify_one();
    }

    /// Changes the limit of connections, active and waiting; idle connections beyond it are closed, the
    /// longest idle first.
    pub fn set_clients_max(&self, limit: usize) {
        let excess =
            self.manager.borrow_mut().set_capacity(limit.saturating_sub(waiting_share(limit)).max(1));
        excess.into_iter().for_each(|number| self.close(number, CloseReason::Evicted));
    }

    /// Allows the process to exit once its last client has disconnected.
    pub fn allow_exit(&self) {
        self.may_exit.set(true);
    }

    /// Whether the next process accepts the connections.
    pub fn is_retired(&self) -> bool {
        self.retired.get()
    }

    /// The number of client connections, active and waiting.
    pub fn connection_count(&self) -> usize {
        self.manager.borrow().len()
    }

    /// The metrics of client connections.
    pub fn metrics(&self) -> Vec<(String, u64)> {
        self.manager.borrow().metrics()
    }

    /// Returns once the next process has taken over and the last client of this one has disconnected.
    pub async fn until_drained(&self) {
        while !self.may_exit.get() || !self.manager.borrow().is_empty() {
            tokio::time::sleep(DRAINED_CHECK_INTERVAL).await;
        }
    }

    /// Leaves clients to the next process: no connection is accepted any more, and open ones are closed with
    /// their next response, or when idle after `RETIRE_IDLE`.
    pub fn retire(self: &Rc<Self>) {
        self.set_accepting(false);
        self.retired.set(true);
        let http_server = self.clone();
        tokio::task::spawn_local(async move {
            tokio::time::sleep(RETIRE_IDLE).await;
            while http_server.retired.get() {
                http_server.close_idle(false);
                tokio::time::sleep(CLOSE_IDLE_INTERVAL).await;
            }
        });
    }

    /// Whether new clients are welcome and can be served, by this process or the next.
    pub fn is_up(&self) -> bool {
        let mode = self.mode.get();
        self.ready.get() && (mode == Mode::Serving || (mode == Mode::Stopping && self.retired.get()))
    }

    /// Whether an operator has started an evacuation.
    pub fn is_evacuating(&self) -> bool {
        self.mode.get() == Mode::Evacuating
    }

    /// Whether this process accepts clients, also during an evacuation.
    pub fn accepts_clients(&self) -> bool {
        self.ready.get() && self.accepting.get() && self.mode.get() != Mode::Stopping
    }

    /// Moves clients to other gatekeepers without aborting requests: new connections serve one request, idle
    /// ones are closed after the front load balancer has had time to notice.
    pub fn evacuate(self: &Rc<Self>) {
        if self.mode.get() != Mode::Serving {
            return;
        }
        self.mode.set(Mode::Evacuating);
        self.evacuations.set(self.evacuations.get() + 1);
        let (http_server, this) = (self.clone(), self.evacuations.get());
        tokio::task::spawn_local(async move {
            tokio::time::sleep(EVACUATE_IDLE).await;
            while http_server.mode.get() == Mode::Evacuating && http_server.evacuations.get() == this {
                http_server.close_idle(false);
                tokio::time::sleep(CLOSE_IDLE_INTERVAL).await;
            }
        });
    }

    /// Ends the evacuation.
    pub fn activate(&self) {
        if self.mode.get() == Mode::Evacuating {
            self.mode.set(Mode::Serving);
        }
    }

    /// Accepts connections for ever.
    pub async fn accept(self: &Rc<Self>, listener: &TcpListener) {
        loop {
            while !self.accepting.get() {
                self.accepts_changed.notified().await;
            }
            let may_accept = self.manager.borrow_mut().should_accept(now());
            let any_waiting = !self.waiting.borrow().is_empty();
            let accepted = tokio::select! {
                accepted = listener.accept(), if may_accept => accepted,
                () = self.accepts_changed.notified() => continue,
                () = self.disconnected.notified(), if !may_accept => continue,
                () = tokio::time::sleep(timeouts::EVICTION_INTERVAL), if any_waiting => {
                    self.evict_for_waiting();
                    continue;
                }
            };
            match accepted {
                Ok((stream, from)) => self.on_connection(stream, from.ip()),
                // Out of file descriptors, or the client has already gone: neither may stop the gatekeeper.
                Err(e) => {
                    log_throttled(&self.accept_errors, format_args!("accept: {e}"));
                    self.evict_for_descriptors();
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    fn on_connection(self: &Rc<Self>, stream: TcpStream, from: IpAddr) {
        let waiting = self.waiting.borrow();
        let silent = |number: u64| is_silent(waiting.get(&number).map_or(&stream, |(stream, _)| stream));
        let (number, admission) = self.manager.borrow_mut().on_connect(now(), from, silent);
        drop(waiting);
        if admission == Admission::Admitted {
            return self.admit(number, stream, from);
        }
        self.waiting.borrow_mut().insert(number, (stream, from));
        if let Admission::Rejected(number) = admission {
            self.close(number, CloseReason::QueueFull);
        }
        self.evict_for_waiting();
    }

    /// Evicts connections in favour of waiting ones.
    fn evict_for_waiting(self: &Rc<Self>) {
        let victims = self.manager.borrow_mut().evict_for_waiting(now());
        victims.into_iter().for_each(|number| self.close(number, CloseReason::Evicted));
    }

    /// Evicts a connection, if one can be, because the process is out of file descriptors.
    pub fn evict_for_descriptors(&self) {
        if let Some(number) = self.manager.borrow_mut().evict_for_descriptors(now()) {
            self.close(number, CloseReason::Evicted);
        }
    }

    /// Closes connections that exceed a time limit, and evicts for waiting ones. To be called every
    /// [`timeouts::CHECK_INTERVAL`].
    pub fn check_connections(self: &Rc<Self>) {
        let expired = self.manager.borrow_mut().close_expired(now());
        for (number, reason) in expired {
            self.close(number, reason);
        }
        self.evict_for_waiting();
    }

    /// Closes a connection for the given reason.
    fn close(&self, number: u64, reason: CloseReason) {
        // A waiting connection has no task: dropping its socket closes it.
        if self.waiting.borrow_mut().remove(&number).is_some() {
            self.manager.borrow_mut().on_closed(number);
        } else if let Some(client) = self.clients.borrow().get(&number) {
            if reason.is_gentle() {
                client.close_when_idle.notify_one();
            } else {
                client.close_now.notify_one();
            }
        }
    }

    fn on_head_begin(&self, client: &Client) {
        let too_many = self.manager.borrow_mut().on_head_bytes(client.number, now());
        if let Some(number) = too_many {
            self.close(number, CloseReason::TooManyHeads);
        }
    }

    /// Starts queued requests for ever, one of each network a round; yields between rounds so that more
    /// requests can be read.
    pub async fn run_queue(self: Rc<Self>) {
        loop {
            self.queue_signal.notified().await;
            loop {
                tokio::task::yield_now().await;
                let round = self.queue.borrow().networks();
                if round == 0 {
                    break;
                }
                for _ in 0..round {
                    let next = self.queue.borrow_mut().pop();
                    // The client may have disconnected meanwhile.
                    let _ = next.map(|turn| turn.send(()));
                }
            }
        }
    }

    async fn wait_for_turn(&self, source: IpAddr) {
        let (turn, granted) = oneshot::channel();
        self.queue.borrow_mut().push(source, turn);
        self.queue_signal.notify_one();
        // The queue keeps the sender until it has sent.
        let _ = granted.await;
    }

    /// Stops gracefully: connections are still accepted for a while, and all accepted requests are answered.
    /// Idle connections are closed at once, while a request that crosses the close can still be retried on a
    /// new connection. If the next process accepts connections, idle ones here are kept a little longer: a
    /// connection that is closed with a response can't cross a request.
    pub async fn stop(self: &Rc<Self>, listener: Rc<TcpListener>, drain_timeout: Duration) {
        self.mode.set(Mode::Stopping);
        let until = Instant::now() + drain_timeout;
        if !self.retired.get() {
            self.close_idle(true);
            let _ = tokio::time::timeout(STOP_ACCEPT, self.accept(&listener)).await;
            drop(listener);
            self.close_idle(false);
        }
        while !self.manager.borrow().is_empty() && Instant::now() < until {
            let disconnected = self.disconnected.notified();
            let _ = tokio::time::timeout_at(until, disconnected).await;
        }
    }

    fn close_idle(&self, answered_only: bool) {
        let clients = self.clients.borrow();
        let idle = self.manager.borrow().idle(answered_only);
        idle.iter()
            .filter_map(|number| clients.get(number))
            .for_each(|client| client.close_when_idle.notify_one());
    }

    fn admit(self: &Rc<Self>, number: u64, stream: TcpStream, source: IpAddr) {
        let _ = stream.set_nodelay(true);
        set_user_timeout(&stream, timeouts::STREAM_STALL_TIMEOUT, &self.socket_option_errors);
        let client = Rc::new(Client {
            number,
            source,
            connected_at: Instant::now(),
            busy: Cell::default(),
            reading_head: Cell::default(),
            framing: RefCell::default(),
            lingers: Cell::new(false),
            evicted: Cell::new(false),
            close_when_idle: Notify::new(),
            close_now: Notify::new(),
        });
        self.clients.borrow_mut().insert(number, client.clone());
        let http_server = self.clone();
        tokio::task::spawn_local(async move {
            http_server.serve(stream, &client).await;
            http_server.clients.borrow_mut().remove(&number);
            let admitted = http_server.manager.borrow_mut().on_closed(number);
            for number in admitted {
                let waiting = http_server.waiting.borrow_mut().remove(&number);
                if let Some((stream, from)) = waiting {
                    http_server.admit(number, stream, from);
                }
            }
            http_server.disconnected.notify_one();
        });
    }

    async fn serve(self: &Rc<Self>, stream: TcpStream, client: &Rc<Client>) {
        let number = client.number;
        let service = service_fn(|request| {
            let (http_server, client) = (self.clone(), client.clone());
            client.busy.set(true);
            client.reading_head.set(false);
            http_server.manager.borrow_mut().on_head_complete(number);
            let framing = client.framing.take();
            async move {
                let mut answer = http_server.answer(request, &client, framing.conflicts()).await;
                let past_max_age = http_server.manager.borrow().is_past_max_age(number, now());
                if past_max_age || http_server.mode.get() != Mode::Serving || http_server.retired.get() {
                    answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                }
                http_server.manager.borrow_mut().on_response_start(number, now());
                answer.body_mut().on_drop(move || {
                    client.busy.set(false);
                    http_server.manager.borrow_mut().on_response_complete(number, now());
                    // Waiting connections may have found no idle one to evict; now there is one.
                    http_server.evict_for_waiting();
                    http_server.disconnected.notify_one();
                });
                Ok::<_, Infallible>(answer)
            }
        });
        let io = ClientIo { stream, client: client.clone(), http_server: self.clone(), linger: None };
        let connection = hyper::server::conn::http1::Builder::new()
            .header_read_timeout(None)
            .half_close(self.half_close)
            .max_buf_size(HEAD_MAX)
            .serve_connection(TokioIo::new(io), service);
        let mut connection = std::pin::pin!(connection);
        // An error closes only this connection.
        tokio::select! {
            ended = connection.as_mut() => return drop(ended),
            () = client.close_now.notified() => return,
            () = client.close_when_idle.notified() => {
                let evicts = self.mode.get() != Mode::Stopping && !self.retired.get();
                // An evicted connection may be stalled in the middle of a head, or linger.
                let between = self.manager.borrow().is_between_requests(number);
                if evicts && (!between || client.lingers.get()) {
                    return;
                }
                // The connection is idle: there is no response in transit that a reset could destroy.
                client.evicted.set(evicts);
                connection.as_mut().graceful_shutdown()
            }
        }
        tokio::select! {
            _ = connection => {}
            () = client.close_now.notified() => {}
        }
    }

    async fn answer(
        self: &Rc<Self>,
        request: Request<Incoming>,
        client: &Client,
        conflicts: bool,
    ) -> Response<ResponseBody> {
        if request.uri().path() == "/up" && request.method() == Method::GET {
            self.manager.borrow_mut().on_request(client.number);
            return text_response(
                if self.is_up() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE },
                "",
            );
        }
        let read = async {
            match conflicts {
                true => Err(bad("two framings")),
                false => self.read(request, client).await,
            }
        };
        let client_request = match read.await {
            Ok(client_request) => client_request,
            Err((status, text)) => {
                let mut answer = text_response(status, text);
                // The rest of this request on the connection can't be told from a next request.
                answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                return answer;
            }
        };
        self.wait_for_turn(client.source).await;
        let upload = client_request.parts.upload().cloned();
        // Dropping the guard before the answer signals that the client has disconnected.
        let (_guard, answer) = self.driver.submit(client_request);
        let answer = match answer.await {
            Ok(answer) => to_response(answer),
            Err(_) => text_response(StatusCode::BAD_GATEWAY, "no answer"),
        };
        if let Some(upload) = upload.filter(|upload| upload.completed_at().is_none()) {
            // A client that is still sending would lose its response to a connection reset.
            tokio::task::spawn_local(async move { upload.drain().await });
        }
        answer
    }

    /// Reads and validates a request, and buffers the beginning of its body. Returns the response's status
    /// and text for a malformed one.
    async fn read(&self, request: Request<Incoming>, client: &Client) -> Result<ClientRequest, Rejection> {
        let (head, body) = request.into_parts();
        if body.size_hint().lower() > BODY_MAX {
            return Err((StatusCode::PAYLOAD_TOO_LARGE, "body too large"));
        }
        let class_name = header(&head.headers, "request-class")?;
        let class = position(&self.names.classes, class_name).ok_or(bad("unknown class"))?;
        let plan =
            position(&self.names.plans, header(&head.headers, "x-tier")?).ok_or(bad("unknown plan"))?;
        if head.uri.path().split('/').nth(1) != Some(class_name) {
            return Err(bad("path and class differ"));
        }
        let idempotent = self.effects.get(class) == Some(&Effect::Idempotent);
        if head.method != if idempotent { Method::GET } else { Method::POST } {
            return Err(bad("method and class differ"));
        }
        let customer = customer(&head.headers)?;
        let (units, gatekeepers) = parse_call_terms(header(&head.headers, "x-call-terms")?, self.instances)?;
        let client_timeout = parse_positive_decimal(header(&head.headers, "request-timeout")?);
        let client_timeout = client_timeout.and_then(|s| Duration::try_from_secs_f64(s).ok());
        let client_timeout = client_timeout.ok_or(bad("bad Request-Timeout"))?;
        header(&head.headers, "request-id")?;
        let id = head.headers.get("request-id").cloned().ok_or(bad("no Request-Id"))?;
        let key = head.headers.get("idempotency-key").cloned();
        // Without a key a repeated request would run twice; with two keys it is undefined which one counts.
        if key.is_some() || self.effects.get(class) == Some(&Effect::Deduplicated) {
            header(&head.headers, "idempotency-key")?;
        }
        let uri = head.uri.path_and_query().and_then(|path| path.as_str().parse().ok());
        let body = if body.is_end_stream() {
            body::RequestBody::empty(&self.driver.buffer_budget)
        } else {
            // From here on the time limit of the body applies; for a connection's first request it counts
            // from connecting.
            let first = self.manager.borrow_mut().on_request(client.number);
            let began = if first { client.connected_at } else { Instant::now() };
            body::RequestBody::begin(body, &self.driver.buffer_budget, began).await.map_err(|error| {
                match error {
                    BodyError::Stalled => (StatusCode::REQUEST_TIMEOUT, "the body takes too long"),
                    BodyError::Connection | BodyError::TooLong => bad("bad framing"),
                }
            })?
        };
        self.manager.borrow_mut().on_request(client.number);
        if idempotent && !(body.buffered.is_empty() && body.rest.is_none()) {
            return Err(bad("a body where none belongs"));
        }
        Ok(ClientRequest {
            customer,
            class: ClassId(class),
            plan: PlanId(plan),
            units,
            gatekeepers,
            // Counted from the end of reading: for a body that is buffered whole, from its last byte.
            until: Instant::now() + client_timeout.min(self.client_timeout_max),
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

/// Whether a connection that is not read yet has received nothing, or has ended.
fn is_silent(stream: &TcpStream) -> bool {
    let peeked = rustix::net::recv(stream, &mut [0; 1], RecvFlags::PEEK | RecvFlags::DONTWAIT);
    !matches!(peeked, Ok((1.., _)))
}

/// The part of a limit of connections that is set aside for waiting ones.
fn waiting_share(all: usize) -> usize {
    (all / 16).clamp(1, 16)
}

type Rejection = (StatusCode, &'static str);

fn bad(text: &'static str) -> Rejection {
    (StatusCode::BAD_REQUEST, text)
}

/// The text of a header that must be present exactly once.
fn header<'a>(headers: &'a HeaderMap, name: &str) -> Result<&'a str, Rejection> {
    let mut values = headers.get_all(name).iter();
    match (values.next().and_then(|value| value.to_str().ok()), values.next()) {
        (Some(value), None) if !value.is_empty() => Ok(value),
        _ => Err(bad("a header is missing or bad")),
    }
}

fn position(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}

/// The customer's id from the cookie `client`: 16 hexadecimal digits below 2^33.
fn customer(headers: &HeaderMap) -> Result<CustomerId, Rejection> {
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

/// The units and the number of gatekeepers from a header value like `units=2,spread=3,first=1`.
fn parse_call_terms(text: &str, instances: u32) -> Result<(f64, u32), Rejection> {
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

fn text_response(status: StatusCode, text: &'static str) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::complete(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}

fn to_response(answer: Answer) -> Response<ResponseBody> {
    match answer {
        Answer::Served(body, content_type) => {
            let mut response = Response::new(match body {
                driver::Body::Complete(body) => ResponseBody::complete(body),
                driver::Body::Streamed(streamed) => ResponseBody::streamed(streamed),
            });
            if let Some(value) = content_type {
                response.headers_mut().insert(CONTENT_TYPE, value);
            }
            response
        }
        Answer::Refused(wait) => {
            let mut response =
                text_response(StatusCode::TOO_MANY_REQUESTS, "refused: trying again is harmless");
            let value = HeaderValue::from_str(&format!("{:.3}", wait as f64 / 1e6));
            if let (Ok(value), true) = (value, wait > 0) {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
            response
        }
        Answer::Failed { late: true } => text_response(StatusCode::GATEWAY_TIMEOUT, "no answer in time"),
        Answer::Failed { late: false } => text_response(StatusCode::BAD_GATEWAY, "failed"),
    }
}
